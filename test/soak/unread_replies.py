#!/usr/bin/env python3
"""Cuts replies of the store within their JSON; prints whether hosts find a way
past them, and how often they call the store meanwhile.

Usage: unread_replies.py NUTMEGPICKD
"""
import asyncio
import signal
import sys

from follow import APPLY_S, HOSTS, FollowSoak

# Lists and watches of one host, a second.
CALLS_PER_S = 5
CUT_S = 6


async def check_version(soak, what):
    """Publishes a version and prints how many hosts serve it in time."""
    soak.store.calls.clear()
    await soak.publish()
    await asyncio.sleep(APPLY_S)
    print(f"{what}: {await soak.count_serving()} hosts serve the next version")
    await asyncio.sleep(CUT_S - APPLY_S)
    calls = sum(soak.store.calls.get(c, 0) for c in ("kv-range", "kv-watch"))
    if calls > HOSTS * CALLS_PER_S * CUT_S:
        print(f"calls are not spaced out: {calls} in {CUT_S} s")


async def restart_all(soak, what):
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGKILL)
        await soak.start_host(i)
    await asyncio.sleep(APPLY_S)
    print(f"{what}, after a restart: {await soak.count_serving()} hosts serve")


async def main():
    soak = FollowSoak(sys.argv[1], 19060)
    await soak.start()
    await asyncio.sleep(2)
    soak.store.is_cut = lambda path, prefix: path == "/-/kv-watch"
    await asyncio.sleep(1)
    await check_version(soak, "watches cut")
    await restart_all(soak, "watches cut")
    soak.store.is_cut = lambda path, prefix: not prefix
    await check_version(soak, "lists of all keys cut as well")
    await restart_all(soak, "lists of all keys cut as well")
    soak.store.is_cut = lambda path, prefix: prefix in ("", "servers/")
    await check_version(soak, "lists of leaves cut as well")
    soak.store.is_cut = lambda path, prefix: False
    await asyncio.sleep(1)
    await check_version(soak, "no reply cut")
    print("hosts that log and count such replies:", soak.count_lines("N781"),
          soak.count_metric("nutmegpick_store_replies_unreadable_total"))
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("faults:", soak.failures)


asyncio.run(main())
