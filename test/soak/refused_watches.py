#!/usr/bin/env python3
"""Refuses all watches of the store; prints whether hosts space out their calls
and follow the store again afterwards.

Usage: refused_watches.py NUTMEGPICKD
"""
import asyncio
import signal
import sys

from follow import APPLY_S, HOSTS, FollowSoak

# Lists and watches of one host, a second.
CALLS_PER_S = 5
REFUSED_S = 6


async def main():
    soak = FollowSoak(sys.argv[1], 18760)
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
    print("hosts that list the last version:", await soak.count_serving())
    print("calls are spaced out:",
          is_spaced if is_spaced else f"no, {calls} in {REFUSED_S} s")
    soak.store.refuses_watches = False
    await asyncio.sleep(1)
    await soak.publish()
    await asyncio.sleep(APPLY_S)
    print("hosts that follow the store again:", await soak.count_serving())
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("faults:", soak.failures)


asyncio.run(main())
