"""A small deployment whose operator adds a route that must not be repeated.

Version 20 gives a part of the paths of a safe route, /r1/pay/, to a route of
the kind unsafe, and moves /r0/ to another service. Hosts that stay on an older
version take payments for safe requests.
"""
import asyncio
import time

import harness as h

HOSTS = 3
TEST_S = 12.0
# Work of a payment, and of other requests.
PAY_S = 0.45
BROWSE_S = 0.01


class Leaf(h.Leaf):
    async def run(self, first, headers, body, writer):
        is_pay = "/pay/" in first
        self.work_s = PAY_S if is_pay else BROWSE_S
        return await super().run(first, headers, body, writer)


class Deployment:
    def __init__(self, case):
        self.case = case
        self.store = h.Store(case.record)
        self.leaves = []
        self.hosts = []
        self.tasks = []

    def write_config(self, version, is_new=False, timeout_ms=2000):
        routes = [h.route("r1", "/r1/", goal_ms=300, timeout_ms=timeout_ms,
                          service="alpha"),
                  h.route("r0", "/r0/", goal_ms=300,
                          service="beta" if is_new else "alpha")]
        if is_new:
            routes.append(h.route("pay", "/r1/pay/", kind="unsafe",
                                  service="alpha"))
        config = h.configuration(version, routes, ["alpha", "beta"])
        revision = self.store.put("op/config", config)
        self.case.record.say(f"operator wrote version {version}, revision "
                             f"{revision}")
        return config

    async def start(self):
        await self.store.listen("127.0.1.1")
        self.tasks.append(asyncio.create_task(self.store.run_leases()))
        for service in ("alpha", "beta"):
            for n, zone in enumerate(h.ZONES):
                leaf = Leaf(self.case.record, service, f"i-{service}-{n}",
                            zone, slots=16)
                await leaf.listen(f"127.0.2.{len(self.leaves) + 1}")
                leaf.register(self.store)
                self.leaves.append(leaf)
        self.write_config(10)
        self.hosts = [h.Host(self.case, i, self.store.address)
                      for i in range(HOSTS)]
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            if not await host.wait_ready():
                raise h.CannotRun(f"{host.name} isn't ready")

    async def browse(self, host, end):
        while time.monotonic() < end:
            await self.case.request(host, "leno.example", "/r1/x")
            await asyncio.sleep(0.03)

    async def pay(self, host, end, ids):
        while time.monotonic() < end:
            request_id, _, _, _ = await self.case.request(
                host, "leno.example", "/r1/pay/x", method="POST", body=b"pay")
            ids.append(request_id)
            await asyncio.sleep(0.2)

    async def move(self, host, end, services):
        while time.monotonic() < end:
            _, _, found, _ = await self.case.request(host, "leno.example",
                                                     "/r0/x")
            services.append(found.get("nutmegpick-response-stamp",
                                      "-").split(".")[0])
            await asyncio.sleep(0.3)

    async def check(self):
        """Sends requests; returns how many payments ran more than once."""
        end = time.monotonic() + TEST_S
        ids = []
        services = []
        await asyncio.gather(
            *[self.browse(host, end) for host in self.hosts],
            *[self.pay(host, end, ids) for host in self.hosts],
            *[self.move(host, end, services) for host in self.hosts])
        runs = {}
        for leaf in self.leaves:
            for _, request_id, _ in leaf.runs:
                runs[request_id] = runs.get(request_id, 0) + 1
        twice = [i for i in ids if runs.get(i, 0) > 1]
        self.case.record.say(
            f"payments sent: {len(ids)}; run more than once: {len(twice)}")
        self.case.record.note(f"run more than once: {' '.join(twice)}")
        self.case.record.say(
            f"requests on the moved route: {len(services)}; run by the old "
            f"service: {services.count('alpha')}")
        return len(twice)

    def stop(self):
        for task in self.tasks:
            task.cancel()
