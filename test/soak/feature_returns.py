"""The store comes back from copies of itself, again and again."""
import asyncio
import time

from features import Feature

# Age of a copy, and how long the store is away, in seconds.
AGE_S = (0.2, 3)
AWAY_S = (0, 1.2)
GAP_S = (0.2, 6)
# Leaves write their entries again within this time.
REGISTER_S = 1.8
# The entry of a leaf that is gone expires after three heartbeats.
EXPIRE_S = 3.6


class Returns(Feature):
    def __init__(self, soak):
        super().__init__(soak)
        soak.store.era = 1
        self.tasks = []

    def excuse_hosts(self):
        for host in range(self.soak.args.hosts):
            self.soak.excused[str(host)] = time.monotonic()

    async def register(self, leaf):
        await asyncio.sleep(self.random.uniform(0, REGISTER_S))
        if leaf in self.soak.leaves:
            leaf.register(self.soak.store)

    async def expire(self):
        await asyncio.sleep(EXPIRE_S)
        alive = {leaf.key for leaf in self.soak.leaves}
        for key in list(self.soak.store.items):
            if key.startswith("servers/") and key not in alive:
                self.soak.store.remove(key)

    async def come_back(self):
        store = self.soak.store
        copy = store.copy()
        await asyncio.sleep(self.random.uniform(*AGE_S))
        store.leave()
        self.excuse_hosts()
        await asyncio.sleep(self.random.uniform(*AWAY_S))
        written = {key: store.read(key) for key in store.items
                   if key.startswith("op/")}
        store.restore(copy)
        self.excuse_hosts()
        self.soak.count("fault_return")
        for key in list(store.items):
            if key.startswith("op/") and key not in written:
                store.remove(key)
        for key, value in written.items():
            store.put(key, value)
        for leaf in self.soak.leaves:
            self.tasks.append(asyncio.create_task(self.register(leaf)))
        self.tasks.append(asyncio.create_task(self.expire()))

    async def run(self):
        try:
            while True:
                await asyncio.sleep(self.random.uniform(*GAP_S))
                await self.come_back()
        finally:
            for task in self.tasks:
                task.cancel()
