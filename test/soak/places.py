#!/usr/bin/env python3
"""Limits regions, evacuates failure domains and lets a leaf become cold while
callers press on three hosts; prints whether any leaf got a call it must not.

Usage: places.py NUTMEGPICKD
"""
import argparse
import asyncio
import signal
import sys
import time

from rate_limit import RateLimitTest
from soak import Soak
from withdraw import wait_for_record

HOSTS = 3
PHASE_S = 2
# Time for all hosts to put a change in force; the bound is 5 s.
SETTLE_S = 3
WARM_UP_PER_S = 4
WARM_UP_MS = 6000
# The platform's rule on the calls that a cold leaf gets in a second.
RATE_FACTOR = 1.5
EXTRA_CALLS = 5


class PlacesSoak(Soak):
    """Two failure domains, each a region of its own."""

    def write_settings(self, i):
        path = super().write_settings(i)
        with open(path) as settings:
            text = settings.read()
        with open(path, "w") as out:
            out.write(text.replace("d1=north", "d1=south"))
        return path

    async def publish_with(self, regions, warm_up_per_s=0):
        await self.publish()
        config = self.store.read("op/config")
        config["version"] += 1
        self.version += 1
        for route in config["routes"]:
            route["allowed_regions"] = regions
        for service in config["services"]:
            service["warmup_per_s"] = warm_up_per_s
        self.store.put("op/config", config)


class PlacesTest(RateLimitTest):
    async def calls_by_domain(self, path, seconds=PHASE_S):
        """Returns the calls to the leaves of each failure domain."""
        self.set_limit(self.soak.leaves, None)
        await self.press(path, seconds=seconds)
        counts = {"d0": 0, "d1": 0}
        for leaf in self.soak.leaves:
            counts[leaf.domain] += len(leaf.arrivals)
        return counts

    async def check(self, name, path, excluded):
        counts = await self.calls_by_domain(path)
        print(f"{name}:", "excluded got none:",
              not any(counts[d] for d in excluded), "others got calls:",
              all(n for d, n in counts.items() if d not in excluded),
              "all answered:", self.all_answered())


def is_slow_enough(leaf, since):
    """Checks every second of the platform's rule on cold leaves."""
    most = RATE_FACTOR * WARM_UP_PER_S + EXTRA_CALLS
    times = [t for t in leaf.arrivals
             if since <= t < since + WARM_UP_MS / 1000 - SETTLE_S]
    return all(sum(t <= u < t + 1 for u in times) <= most for t in times)


def is_called_freely(leaf):
    """Returns whether a leaf gets more calls than a cold one may."""
    return len(leaf.arrivals) > \
        RATE_FACTOR * WARM_UP_PER_S * PHASE_S + EXTRA_CALLS


async def run_evacuations(soak, test):
    soak.store.put("op/evacuate/unheard-of", {})
    soak.store.put("op/evacuate/d1", {})
    await asyncio.sleep(SETTLE_S)
    await test.check("one domain evacuated", "/g/x", ["d1"])

    await soak.stop_host(2, signal.SIGTERM)
    await soak.start_host(2)
    await asyncio.sleep(SETTLE_S)
    await test.check("host started since", "/g/x", ["d1"])

    soak.store.put("op/evacuate/d0", {})
    await asyncio.sleep(SETTLE_S)
    counts = await test.calls_by_domain("/g/x", 1)
    print("both evacuated: no calls:", not any(counts.values()),
          "refused truly:", test.refused_truly())

    # The hosts learn of the end from a listing: no history is left.
    soak.store.remove("op/evacuate/d0")
    soak.store.remove("op/evacuate/d1")
    await soak.store.compact()
    await asyncio.sleep(SETTLE_S)
    await test.check("evacuation over", "/g/x", [])


async def run_cold_leaf(soak, test):
    await soak.publish_with([], WARM_UP_PER_S)
    await asyncio.sleep(SETTLE_S)
    cold = [leaf for leaf in soak.leaves if leaf.service == "book"][0]
    cold.cold_until = time.monotonic() + WARM_UP_MS / 1000
    cold.register(soak.store)
    await asyncio.sleep(SETTLE_S)
    since = time.monotonic()
    path = f"/v{soak.version - 1}/x"
    await test.press(path, seconds=WARM_UP_MS / 1000)
    print("cold leaf: slow enough:", is_slow_enough(cold, since),
          "all answered:", test.all_answered())
    cold.cold_until = 0
    cold.register(soak.store)
    # Hosts may prefer other leaves as long as there are any.
    for leaf in soak.leaves:
        if leaf.service == "book" and leaf is not cold:
            soak.store.remove(leaf.key)
    await asyncio.sleep(SETTLE_S)
    cold.arrivals = []
    await test.press(path, seconds=PHASE_S)
    print("warm again: gets calls:", is_called_freely(cold),
          "all answered:", test.all_answered())


async def main():
    soak = PlacesSoak(argparse.Namespace(program=sys.argv[1], seed=1,
                                         hosts=HOSTS, port=18600))
    await soak.start()
    await wait_for_record(soak)
    test = PlacesTest(soak)
    await asyncio.sleep(SETTLE_S)
    await test.check("no limits", "/g/x", [])

    await soak.publish_with(["south"])
    await asyncio.sleep(SETTLE_S)
    await test.check("one region", "/g/x", ["d0"])
    await soak.publish_with(["west"])
    await asyncio.sleep(SETTLE_S)
    counts = await test.calls_by_domain("/g/x", 1)
    print("no region: no calls:", not any(counts.values()),
          "refused truly:", test.refused_truly())
    await soak.publish_with([])
    await asyncio.sleep(SETTLE_S)

    await run_evacuations(soak, test)
    await run_cold_leaf(soak, test)

    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("status:", [p.returncode for p in soak.processes],
          "failures:", len(soak.failures))


if __name__ == "__main__":
    asyncio.run(main())
