#!/usr/bin/env python3
"""Refuses all watches of the store; prints whether hosts space out their calls
and follow the store again afterwards.

Usage: refused_watches.py NUTMEGPICKD
"""
import argparse
import asyncio
import signal
import sys

from soak import Soak

HOSTS = 3
# Lists and watches of one host, a second.
CALLS_PER_S = 5
REFUSED_S = 6
# A version is in force on every host after this time.
APPLY_S = 3


async def count_serving(soak):
    """Returns how many hosts serve the route of the last version."""
    count = 0
    for i in range(HOSTS):
        reply = await soak.call(i, "GET", f"/v{soak.version}/x",
                                f"{i}-{soak.version}")
        count += reply.status == 200
    return count


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=HOSTS,
                                   port=18760))
    await soak.start()
    await asyncio.sleep(2)
    soak.store.refuses_watches = True
    await asyncio.sleep(1)
    soak.store.calls.clear()
    await soak.publish()
    await asyncio.sleep(REFUSED_S)
    calls = soak.store.calls.get("kv-range", 0) + \
        soak.store.calls.get("kv-watch", 0)
    is_spaced = calls <= HOSTS * CALLS_PER_S * REFUSED_S
    print("hosts that list the last version:", await count_serving(soak))
    print("calls are spaced out:",
          is_spaced if is_spaced else f"no, {calls} in {REFUSED_S} s")
    soak.store.refuses_watches = False
    await asyncio.sleep(1)
    await soak.publish()
    await asyncio.sleep(APPLY_S)
    print("hosts that follow the store again:", await count_serving(soak))
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("faults:", soak.failures)


asyncio.run(main())
