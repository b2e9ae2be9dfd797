#!/usr/bin/env python3
"""Writes entries whose keys hosts cannot read; prints whether they follow what
is written later.

Usage: unread_keys.py NUTMEGPICKD
"""
import argparse
import asyncio
import signal
import sys

from soak import Soak

HOSTS = 3
# Of a page of the store.
PAGE_ITEMS = 10
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
                                   port=18860))
    await soak.start()
    await asyncio.sleep(2)
    # Alone in the reply to a watch.
    soak.store.put_bytes("servers/odd\0entry", b"odd")
    await asyncio.sleep(2)
    await soak.publish()
    await asyncio.sleep(APPLY_S)
    print("after an entry that a watch cannot read:",
          await count_serving(soak), "hosts serve the next version")
    # Whole pages of a list, before the entries of all leaves.
    for k in range(3 * PAGE_ITEMS):
        soak.store.put_bytes(f"servers/a\0{k:02}", b"odd")
    await asyncio.sleep(1)
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGKILL)
        await soak.start_host(i)
    await asyncio.sleep(2)
    print("after a restart behind pages that a list cannot read:",
          await count_serving(soak), "hosts serve")
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("faults:", soak.failures)


asyncio.run(main())
