#!/usr/bin/env python3
"""Stops hosts that gather for each other, with requests between them.

All leaves are in the failure domain of host 1, so host 0 sends it batches. A
request that was sent before the stop and ends before it does gets all parts,
whichever host stops, and also if signals come again or both hosts stop.
Usage: gather_stop.py NUTMEGPICKD SEED...
"""
import argparse
import asyncio
import hashlib
import signal
import sys
import time

from soak import SHARDS, Soak, records
from standins import Leaf, read_message

# Of the settings that Soak writes: drain_delay and stop_timeout together.
STOP_S = 2.8
# Time between the end of a request and the stop, at least.
MARGIN_S = 0.4
WORK_S = (0.6, 2.2)
ROUNDS = 4
# Fewer than the slots of a leaf.
CALLS = 3
WAIT_MS = 6000
# By this time the hosts know each other and all leaves.
START_S = 2


class SlowLeaf(Leaf):
    """Leaf whose requests take the time that their path names, in ms."""

    async def handle(self, request, writer):
        await asyncio.sleep(int(request.target.rsplit("/", 1)[1]) / 1000)
        return await super().handle(request, writer)


class GatherStop(Soak):
    def __init__(self, program, seed):
        super().__init__(argparse.Namespace(program=program, seed=seed,
                                            hosts=2, port=18700 + seed % 50))

    def publish_routes(self):
        shards = [f"shard{i}" for i in range(SHARDS)]
        self.store.put("op/config", {
            "version": 1,
            "routes": [{"name": "gather", "host": "soak.example",
                        "prefix": "/g/", "kind": "safe", "gather": shards,
                        "timeout_ms": WAIT_MS, "latency_goal_ms": 3000,
                        "priority": 1, "max_attempts": 1, "top_k": 5,
                        "min_shard_share": 0.5}],
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": 64} for s in shards],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def handle_run(self, leaf, request):
        request_id = request.headers["nutmegpick-request-id"]
        return (f"{leaf.service}.{request_id}",
                b"".join(records(leaf.service, request_id)))

    async def call(self, request_id, work_s):
        """Sends a request to host 0; returns the status and missing parts."""
        reader, writer = await asyncio.open_connection(self.host_address(0),
                                                       self.args.port)
        writer.write((f"GET /g/{work_s * 1000:.0f} HTTP/1.1\r\n"
                      "Host: soak.example\r\nConnection: close\r\n"
                      f"Nutmegpick-Request-Id: {request_id}\r\n"
                      f"Nutmegpick-Request-Deadline: {WAIT_MS}\r\n\r\n"
                      ).encode())
        try:
            reply = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None, 0
        finally:
            writer.close()
        return (reply.status,
                int(reply.headers.get("nutmegpick-missing-parts", "0")))

    async def stop(self, i):
        """Stops a host; further signals come while it stops."""
        process = self.processes[i]
        process.send_signal(signal.SIGTERM)
        for _ in range(self.random.randrange(3)):
            await asyncio.sleep(self.random.uniform(0, 0.3))
            if process.returncode is None:
                process.send_signal(self.random.choice(
                    [signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))
        if await process.wait():
            self.fail(f"host {i} ended with {process.returncode}")

    async def run_round(self, k):
        stopped = self.random.choice([[0], [1], [1], [0, 1], [1, 0]])
        lead_s = self.random.uniform(0.1, 0.5)
        calls = []
        for n in range(CALLS):
            work_s = self.random.uniform(
                WORK_S[0], min(WORK_S[1], lead_s + STOP_S - MARGIN_S))
            request_id = hashlib.md5(
                f"{self.args.seed} {k} {n}".encode()).hexdigest()
            calls.append((work_s, asyncio.create_task(
                self.call(request_id, work_s))))
        await asyncio.sleep(lead_s)
        stops = []
        for i in stopped:
            stops.append(asyncio.create_task(self.stop(i)))
            await asyncio.sleep(self.random.uniform(0, 0.2))
        for work_s, task in calls:
            status, missing = await task
            self.count(f"{status}_{missing}")
            if status != 200 or missing:
                self.fail(f"round {k}, hosts {stopped} stop {lead_s:.3f} s "
                          f"after the request, {work_s:.3f} s of work: "
                          f"status {status}, {missing} parts missing")
        began = time.monotonic()
        await asyncio.gather(*stops)
        if time.monotonic() - began > STOP_S + 1:
            self.fail("a host stops for too long")
        for i in stopped:
            await self.start_host(i)
        await asyncio.sleep(START_S)

    async def run_all(self):
        await self.store.start("127.0.1.1")
        for n in range(SHARDS):
            leaf = SlowLeaf(f"shard{n}", f"leaf-{n}", "d1", self)
            await leaf.start(f"127.0.2.{n + 1}")
            leaf.register(self.store)
            self.leaves.append(leaf)
        await self.start_proxies()
        self.publish_routes()
        for i in range(2):
            await self.start_host(i)
        await asyncio.sleep(START_S)
        for k in range(ROUNDS):
            await self.run_round(k)
        for i in range(2):
            await self.stop_host(i, signal.SIGTERM)


async def main():
    for seed in sys.argv[2:]:
        stop = GatherStop(sys.argv[1], int(seed))
        await stop.run()
        print(f"seed {seed}: {len(stop.failures)} failures")
        print(stop.counts, file=sys.stderr)


asyncio.run(main())
