#!/usr/bin/env python3
"""Stops hosts that hold requests until they have their first routes.

The store is silent, so the hold lasts as long as it can. Each request gets a
true refusal, however short the stop is and whichever signals come again.
Usage: held_stop.py NUTMEGPICKD SEED...
"""
import argparse
import asyncio
import signal
import sys
import time

from soak import Soak
from standins import read_message

ROUNDS = 4
CALLERS = 5
# Of the settings: every request is answered by then.
REFUSED_S = 0.1
# Shorter than the hold.
SETTINGS = 'drain_delay = "0s"\nstop_timeout = "100ms"\n'


class HeldStop(Soak):
    def write_settings(self, i):
        path = super().write_settings(i)
        with open(path) as settings:
            text = settings.read()
        with open(path, "w") as out:
            out.write(text[:text.index("drain_delay")] + SETTINGS)
        return path

    async def connect(self):
        while True:
            try:
                return await asyncio.open_connection(self.host_address(0),
                                                     self.args.port)
            except OSError:
                await asyncio.sleep(0.005)

    async def call(self, n):
        reader, writer = await self.connect()
        writer.write((f"GET /g/x HTTP/1.1\r\nHost: soak.example\r\n"
                      f"Nutmegpick-Request-Id: {n}\r\n\r\n").encode())
        try:
            reply = await read_message(reader)
            return reply.status, time.monotonic(), reply.headers
        except (OSError, asyncio.IncompleteReadError):
            return None, time.monotonic(), {}
        finally:
            writer.close()

    async def run_round(self):
        await self.start_host(0)
        (await self.connect())[1].close()
        calls = [asyncio.create_task(self.call(n)) for n in range(CALLERS)]
        await asyncio.sleep(self.random.uniform(0.02, 0.08))
        stopped_at = time.monotonic()
        for _ in range(self.random.randrange(1, 3)):
            self.processes[0].send_signal(signal.SIGTERM)
        for call in calls:
            status, at, headers = await call
            self.count(status)
            if status != 503 or "retry-after" not in headers or \
                    at > stopped_at + REFUSED_S:
                self.fail(f"status {status}, {at - stopped_at:.3f} s after "
                          "the stop")
        if await self.processes[0].wait():
            self.fail(f"the host ended with {self.processes[0].returncode}")

    async def run_all(self):
        await self.store.start("127.0.1.1")
        await self.start_proxies()
        self.proxies[0].mode = "silent"
        for _ in range(ROUNDS):
            await self.run_round()


async def main():
    for seed in sys.argv[2:]:
        stop = HeldStop(argparse.Namespace(program=sys.argv[1], hosts=1,
                                           seed=int(seed),
                                           port=18760 + int(seed) % 10))
        await stop.run()
        print(f"seed {seed}: {len(stop.failures)} failures")
        print(stop.counts, file=sys.stderr)


asyncio.run(main())
