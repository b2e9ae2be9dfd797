#!/usr/bin/env python3
"""Stops a host; prints whether the store has its record before and after.

Usage: withdraw.py NUTMEGPICKD
"""
import argparse
import asyncio
import signal
import sys

from soak import Soak


async def wait_for_record(soak):
    """Waits for the record of the host.

    The limit on tries only ends a broken run.
    """
    for _ in range(500):
        if any("/hosts/" in key for key in soak.store.items):
            print("published")
            return
        await asyncio.sleep(0.02)
    print("not published")


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=1,
                                   port=18380))
    await soak.start()
    await wait_for_record(soak)
    await soak.stop_host(0, signal.SIGTERM)
    remaining = [key for key in soak.store.items if "/hosts/" in key]
    print("left:", remaining, "status:", soak.processes[0].returncode)


if __name__ == "__main__":
    asyncio.run(main())
