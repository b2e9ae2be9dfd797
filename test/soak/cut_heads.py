#!/usr/bin/env python3
"""Lets leaves close their connections within the heads of their replies;
prints what callers get.

Usage: cut_heads.py NUTMEGPICKD NUTMEGPICK
"""
import argparse
import asyncio
import signal
import sys

from soak import Soak
from standins import Server

CALLS = 300


class CutQueryHost(Server):
    """Takes queries like a host and closes within the head of each reply."""

    async def handle(self, request, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
        return False


async def call_all(soak, counts):
    for n in range(CALLS):
        kind = "gb"[n % 2]
        method = "POST" if kind == "b" else "GET"
        request_id = f"0-cut-{n:x}"
        reply = await soak.call(0, method, f"/{kind}/x", request_id)
        is_success = reply.status == 200
        counts[kind, is_success] = counts.get((kind, is_success), 0) + 1
        if is_success and kind == "g":
            soak.check_gather(request_id, reply)
        elif is_success:
            soak.check_single(request_id, reply)


async def run_query(program, address):
    process = await asyncio.create_subprocess_exec(
        program, "query", "--host", address, "any", "text",
        stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL)
    return await process.wait()


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=1,
                                   port=18480))
    counts = {}
    await soak.start()
    await asyncio.sleep(2)
    # The leaves of two shards of six, and one of the three that book.
    cut = [leaf for leaf in soak.leaves
           if leaf.service in ("shard1", "shard4")] + soak.leaves[-1:]
    for leaf in cut:
        leaf.mode = "head"
    await call_all(soak, counts)
    print("whole successes of gathers:", counts.get(("g", True), 0) > 0)
    print("whole successes of bookings:", counts.get(("b", True), 0) > 0)
    print("failed bookings:", counts.get(("b", False), 0) > 0)
    print("wrong answers:", soak.failures)
    await soak.stop_host(0, signal.SIGTERM)
    host = CutQueryHost()
    await host.start("127.0.0.1")
    print("query of the command line:",
          await run_query(sys.argv[2], host.address))


asyncio.run(main())
