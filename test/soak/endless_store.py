#!/usr/bin/env python3
"""Sends a host replies of the store that never end; prints whether the memory
of the host stays bounded.

Usage: endless_store.py NUTMEGPICKD
"""
import argparse
import asyncio
import os
import signal
import sys

from soak import Soak
from standins import Server
from withdraw import wait_for_record

# A store reply holds up to a megabyte of values; the host itself needs 10 MB.
MEMORY_MAX_KB = 64 * 1024


class EndlessStore(Server):
    """Replies to every request with a head and a body that never ends."""

    def __init__(self):
        self.replies = 0

    async def handle(self, request, writer):
        self.replies += 1
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            writer.write(b"[" * 65536)
            await writer.drain()


def peak_memory_kb(pid):
    with open(f"/proc/{pid}/status") as status:
        for line in status:
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    return 0


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=1,
                                   port=18400))
    await soak.start()
    await wait_for_record(soak)
    await soak.stop_host(0, signal.SIGTERM)
    endless = EndlessStore()
    await endless.start("127.0.0.1")
    soak.proxies[0].address, store_address = (endless.address,
                                              soak.proxies[0].address)
    await soak.start_host(0)
    while endless.replies < 3 and soak.processes[0].returncode is None:
        await asyncio.sleep(0.02)
    peak = peak_memory_kb(soak.processes[0].pid)
    print("memory bounded:", peak < MEMORY_MAX_KB)
    await soak.stop_host(0, signal.SIGTERM)
    print("status:", soak.processes[0].returncode)
    soak.proxies[0].address = store_address


asyncio.run(main())
