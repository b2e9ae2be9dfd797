#!/usr/bin/env python3
"""Lets all leaves of a service be cold while callers press on three hosts, one
of which is killed and started again, and one paused; prints whether the calls
of all hosts together keep within the limit on cold leaves.

Usage: cold_leaf.py NUTMEGPICKD
"""
import argparse
import asyncio
import json
import base64
import signal
import sys
import time

from rate_limit import HOSTS, RateLimitTest
from soak import Soak
from withdraw import wait_for_record

PER_S = 10
WINDOW_S = 1
RATE_FACTOR = 1.5
EXTRA_CALLS = 5
# Time for all hosts to have the records of all others.
JOIN_S = 2
COLD_MS = 120000


def set_cold(soak, leaf):
    leaf.sequence += 1
    item = json.loads(base64.b64decode(soak.store.items[leaf.key]["value"]))
    item.update(sequence=leaf.sequence, warmup_left_ms=COLD_MS)
    soak.store.put(leaf.key, item)
    leaf.arrivals = []


def set_limit(soak):
    item = json.loads(base64.b64decode(soak.store.items["op/config"]["value"]))
    soak.version += 1
    item["version"] = soak.version
    for service in item["services"]:
        if service["name"] == "book":
            service["warmup_per_s"] = PER_S
    soak.store.put("op/config", item)


def most_in_window(leaf):
    most = first = 0
    for last, at in enumerate(leaf.arrivals):
        while at - leaf.arrivals[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def is_within(leaf):
    return most_in_window(leaf) <= PER_S * RATE_FACTOR + EXTRA_CALLS


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=HOSTS,
                                   port=18450))
    await soak.start()
    await wait_for_record(soak)
    test = RateLimitTest(soak)
    path = f"/v{soak.version}/x"
    book = [leaf for leaf in soak.leaves if leaf.service == "book"]
    set_limit(soak)
    for leaf in book:
        set_cold(soak, leaf)
    await asyncio.sleep(JOIN_S)

    start = time.monotonic()
    await test.press(path, seconds=8)
    calls = sum(len(leaf.arrivals) for leaf in book)
    print("cold: within the limit:", all(is_within(leaf) for leaf in book),
          "most:", [most_in_window(leaf) for leaf in book],
          "calls a second: %.1f" % (calls / (time.monotonic() - start)))

    press = asyncio.create_task(test.press(path, seconds=20))
    await asyncio.sleep(1)
    await soak.stop_host(0, signal.SIGKILL)
    await asyncio.sleep(1)
    await soak.start_host(0)
    await soak.pause_host(1, 3)
    await press
    print("faults: within the limit:", all(is_within(leaf) for leaf in book),
          "most:", [most_in_window(leaf) for leaf in book])

    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("status:", [p.returncode for p in soak.processes])


if __name__ == "__main__":
    asyncio.run(main())
