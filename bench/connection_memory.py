#!/usr/bin/env python3
"""Measures the memory of a host with many connections of callers.

Prints the resident memory with no connection, with all connections kept after a
request each, with half a head sent on each, after the rest of the heads, and
with heads at the limit of which one byte is missing.

Usage: connection_memory.py NUTMEGPICKD [--connections N] [--limit BYTES]
"""
import argparse
import asyncio
import base64
import json
import os
import resource
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "test", "soak"))
from paused import served  # noqa: E402
from soak import Soak  # noqa: E402
from standins import read_message  # noqa: E402
from withdraw import wait_for_record  # noqa: E402

SETTLE_S = 1
# Requests that are answered one after the other at a time.
AT_ONCE = 50
REPLY_S = 5


def resident_kib(pid):
    with open(f"/proc/{pid}/status") as f:
        return next(int(line.split()[1]) for line in f
                    if line.startswith("VmRSS:"))


def request(number, head_bytes=0):
    """Returns a GET that the host itself answers, with a head of a size."""
    head = (f"GET /unknown HTTP/1.1\r\nHost: soak.example\r\n"
            f"Nutmegpick-Request-Id: 0-{number:x}\r\n")
    fill = head_bytes - len(head) - len("Cookie: \r\n\r\n")
    if fill > 0:
        pairs = "".join(f"c{i:05d}=v; " for i in range(fill // 10 + 1))
        head += f"Cookie: {pairs[:fill]}\r\n"
    return (head + "\r\n").encode()


async def read_reply(reader):
    return await asyncio.wait_for(read_message(reader), REPLY_S)


class Measurement:
    def __init__(self, args):
        self.args = args
        self.soak = Soak(argparse.Namespace(program=args.program, seed=1,
                                            hosts=1, port=18700))
        self.connections = []

    async def report(self, text):
        await asyncio.sleep(SETTLE_S)
        if self.soak.processes[0].returncode is not None:
            raise SystemExit(f"{text}: the host has ended")
        kib = resident_kib(self.soak.processes[0].pid)
        if not self.connections:
            self.empty_kib = kib
        each = (kib - self.empty_kib) / max(len(self.connections), 1)
        print(f"{text}: {kib / 1024:.1f} MiB, {each:.1f} KiB a connection",
              flush=True)

    async def for_all(self, act):
        """Runs act() on all connections; returns the number that failed."""
        failed = 0
        for i in range(0, len(self.connections), AT_ONCE):
            results = await asyncio.gather(
                *(act(k, *self.connections[k]) for k in
                  range(i, min(i + AT_ONCE, len(self.connections)))),
                return_exceptions=True)
            failed += sum(isinstance(r, Exception) for r in results)
        return failed

    async def ask(self, k, reader, writer):
        writer.write(request(k))
        await read_reply(reader)

    async def send_part(self, k, reader, writer, size):
        writer.write(request(k, self.args.limit)[:size])
        await writer.drain()

    async def send_rest(self, k, reader, writer, size):
        writer.write(request(k, self.args.limit)[size:])
        await read_reply(reader)

    async def start(self):
        await self.soak.start()
        await wait_for_record(self.soak)
        number = 0
        while not await served(self.soak, f"ready-{number}"):
            number += 1
        config = json.loads(base64.b64decode(
            self.soak.store.items["op/config"]["value"]))
        config["version"] += 1
        config["limits"].update(max_header_bytes=self.args.limit,
                                header_timeout_ms=60000,
                                idle_timeout_ms=60000)
        self.soak.store.put("op/config", config)

    async def run(self):
        await self.start()
        await self.report("no connection")
        for _ in range(self.args.connections):
            self.connections.append(await asyncio.open_connection(
                self.soak.host_address(0), self.soak.args.port))
        await self.report(f"{len(self.connections)} new connections")
        failed = await self.for_all(self.ask)
        await self.report(f"kept, {failed} requests unanswered")
        half = self.args.limit // 2
        await self.for_all(lambda k, r, w: self.send_part(k, r, w, half))
        await self.report(f"{half} bytes of a head on each")
        failed = await self.for_all(
            lambda k, r, w: self.send_rest(k, r, w, half))
        await self.report(f"kept again, {failed} requests unanswered")
        last = self.args.limit - 1
        await self.for_all(lambda k, r, w: self.send_part(k, r, w, last))
        await self.report(f"{last} bytes of a head on each")
        for _, writer in self.connections:
            writer.close()
        await asyncio.sleep(SETTLE_S)
        print("serves:", await served(self.soak, "after"))
        await self.soak.stop_host(0, signal.SIGTERM)


def main():
    p = argparse.ArgumentParser()
    p.add_argument("program")
    p.add_argument("--connections", type=int, default=2600)
    p.add_argument("--limit", type=int, default=16384)
    files = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (files[1], files[1]))
    asyncio.run(Measurement(p.parse_args()).run())


main()
