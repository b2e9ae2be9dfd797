#!/usr/bin/env python3
"""Lets the store come back from copies of itself; prints whether hosts follow
what is written afterwards.

Usage: store_return.py NUTMEGPICKD
"""
import argparse
import asyncio
import signal
import sys
import time

from soak import Soak
from standins import Leaf

HOSTS = 3
# Versions that each return loses.
LOST_VERSIONS = 6
AWAY_S = 1
# A version is in force on every host after this time.
APPLY_S = 3
# Leaves are back in the store after at most this time.
REGISTER_S = 2
# A host is in touch with the store again after this time.
CONTACT_S = 4
# Hosts have renewed their leases, or written their records, by this time.
RENEW_S = 8
OTHER_HOST = "nutmegpick/hosts/other"


class Drill:
    def __init__(self, soak):
        self.soak = soak
        self.store = soak.store
        self.requests = 0

    async def count_serving(self):
        """Returns how many hosts serve the route of the last version."""
        count = 0
        for i in range(HOSTS):
            self.requests += 1
            try:
                reply = await self.soak.call(
                    i, "GET", f"/v{self.soak.version}/x", f"{i}-{self.requests}")
                count += reply.status == 200
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
        return count

    async def lose_versions(self):
        for _ in range(LOST_VERSIONS):
            await self.soak.publish()
            await asyncio.sleep(0.1)

    async def come_back(self, copy):
        """Is away, and comes back; the operator writes its last version."""
        config = self.store.read("op/config")
        self.store.leave()
        await asyncio.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.put("op/config", config)

    async def check_news(self, name):
        await self.soak.publish()
        await asyncio.sleep(APPLY_S)
        records = [f"nutmegpick/hosts/host-{i}" in self.store.items
                   for i in range(HOSTS)]
        print(f"{name}: {await self.count_serving()} hosts serve the next "
              f"version, {sum(records)} have written their records")

    async def lose_and_return(self):
        copy = self.store.copy()
        await self.lose_versions()
        await self.come_back(copy)

    async def run_start(self):
        copy = self.store.copy()
        await self.lose_versions()
        await self.soak.stop_host(2, signal.SIGKILL)
        config = self.store.read("op/config")
        self.store.leave()
        await self.soak.start_host(2)
        await asyncio.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.put("op/config", config)
        await asyncio.sleep(1)

    async def run_frozen(self, host):
        copy = self.store.copy()
        await self.lose_versions()
        self.soak.send(host, signal.SIGSTOP)
        await self.come_back(copy)
        await asyncio.sleep(2)
        self.soak.send(host, signal.SIGCONT)

    async def run_leaves(self):
        """The copy lacks all leaves of a service, which are alive."""
        leaves = [leaf for leaf in self.soak.leaves if leaf.service == "book"]
        for leaf in leaves:
            self.store.remove(leaf.key)
        copy = self.store.copy()
        for leaf in leaves:
            leaf.register(self.store)
        await asyncio.sleep(1)
        await self.come_back(copy)
        end = time.monotonic() + REGISTER_S - 0.2
        served = []
        while time.monotonic() < end:
            served.append(await self.count_serving())
            await asyncio.sleep(0.1)
        for leaf in leaves:
            leaf.register(self.store)
        print("leaves that the copy lacks, hosts that serve at least:",
              min(served))

    async def run_gone(self):
        """The copy lacks a leaf, which is not written again."""
        copy = self.store.copy()
        leaf = Leaf("book", "leaf-gone", "d0", self.soak)
        await leaf.start("127.0.4.1")
        leaf.register(self.store)
        await asyncio.sleep(1)
        await self.come_back(copy)
        await asyncio.sleep(CONTACT_S)
        known = len(leaf.arrivals)
        for _ in range(10):
            await self.count_serving()
        print("calls to a leaf that is not written again:",
              len(leaf.arrivals) - known)

    def lose_record(self, host):
        """Loses a host's record; another one gets the number of its lease.

        Returns the number.
        """
        key = f"nutmegpick/hosts/host-{host}"
        lease = self.store.items[key]["lease"]
        copy = self.store.copy()
        del copy[0][key]
        self.store.restore(copy)
        self.store.leases[lease] = time.monotonic() + 60
        self.store.put(OTHER_HOST, {"address": "127.0.0.99:1", "domain": "d0",
                                    "capacity": 1, "lease": lease}, lease)
        return lease

    async def run_lease(self, host):
        lease = self.lose_record(host)
        await asyncio.sleep(RENEW_S)
        item = self.store.items.get(f"nutmegpick/hosts/host-{host}")
        print("a lease whose number is another host's: the record is",
              "not written" if not item else
              "under that lease" if item["lease"] == lease else
              "under a new lease")
        self.store.remove(OTHER_HOST)

    async def run_stop(self, host):
        self.lose_record(host)
        await self.soak.stop_host(host, signal.SIGTERM)
        print("a host stops then: the record of the other host is",
              "kept" if OTHER_HOST in self.store.items else "removed")
        await self.soak.start_host(host)
        await asyncio.sleep(1)


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=HOSTS,
                                   port=18660))
    soak.store.era = 1
    await soak.start()
    await asyncio.sleep(2)
    drill = Drill(soak)
    await drill.lose_and_return()
    await drill.check_news("one return")
    await drill.lose_and_return()
    await drill.lose_and_return()
    await drill.check_news("two returns in a row")
    await drill.run_start()
    await drill.check_news("a host starts meanwhile")
    for host in range(HOSTS):
        await drill.run_frozen(host)
        await drill.check_news("a host is frozen meanwhile")
    await drill.run_leaves()
    await drill.run_gone()
    await drill.run_lease(1)
    await drill.run_stop(1)
    await drill.check_news("a lease was another host's")
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("faults:", soak.failures)


asyncio.run(main())
