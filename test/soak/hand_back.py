#!/usr/bin/env python3
"""Overloads hosts of which two gather for the others.

A request that a gathering host hands back for lack of capacity is tried once
more at most; one that is answered with 503 has run nowhere, although several
hosts have decided on it.
Usage: hand_back.py NUTMEGPICKD SEED...
"""
import argparse
import asyncio
import hashlib
import os
import re
import signal
import sys

from soak import SHARDS, Soak, records
from standins import Leaf, read_message

# More than gather their own requests in a region.
HOSTS = 6
SLOTS = 4
WORK_S = 0.06
GOAL_MS = 300
WAIT_MS = 1000
REQUESTS = 600
# About four times the capacity.
INTERVAL_S = 0.004
START_S = 3


class BusyLeaf(Leaf):
    """Leaf that runs as many calls at once as it has slots."""

    def __init__(self, *args):
        super().__init__(*args)
        self.slots = asyncio.Semaphore(SLOTS)

    async def handle(self, request, writer):
        if request.target != "/health":
            async with self.slots:
                await asyncio.sleep(WORK_S)
        return await super().handle(request, writer)


class HandBack(Soak):
    def __init__(self, program, seed):
        super().__init__(argparse.Namespace(program=program, seed=seed,
                                            hosts=HOSTS,
                                            port=18900 + 4 * (seed % 20)))

    def write_settings(self, i):
        path = super().write_settings(i)
        with open(path, "a") as out:
            out.write('[triage]\nmode = "always"\n')
        return path

    def publish_routes(self):
        shards = [f"shard{i}" for i in range(SHARDS)]
        self.store.put("op/config", {
            "version": 1,
            "routes": [{"name": "gather", "host": "soak.example",
                        "prefix": "/g/", "kind": "safe", "gather": shards,
                        "timeout_ms": WAIT_MS, "latency_goal_ms": GOAL_MS,
                        "priority": 1, "max_attempts": 2, "top_k": 5,
                        "min_shard_share": 0.95}],
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": 64} for s in shards],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    def handle_run(self, leaf, request):
        request_id = request.headers["nutmegpick-request-id"]
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        return (f"{leaf.service}.{request_id}",
                b"".join(records(leaf.service, request_id)))

    async def call(self, i, request_id):
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                self.host_address(i), self.args.port)
            writer.write((f"GET /g/x HTTP/1.1\r\nHost: soak.example\r\n"
                          "Connection: close\r\n"
                          f"Nutmegpick-Request-Id: {request_id}\r\n"
                          f"Nutmegpick-Request-Deadline: {WAIT_MS}\r\n\r\n"
                          ).encode())
            status = (await read_message(reader)).status
        except (OSError, asyncio.IncompleteReadError):
            status = None
        finally:
            if writer:
                writer.close()
        self.count(status)
        if status == 503:
            self.refused.add(request_id)

    def read_logs(self, event):
        """Returns the lines of an event in the logs of all hosts."""
        lines = []
        for i in range(HOSTS):
            path = os.path.join(self.folder.name, f"host{i}.log")
            with open(path, errors="replace") as log:
                lines += [line for line in log if f"{event} " in line]
        return lines

    def check_logs(self):
        retried = {}
        for line in self.read_logs("N772"):
            request_id = re.search(r"request=(\S+)", line)[1]
            self.count("handed_back")
            retried.setdefault(request_id, 0)
            retried[request_id] += "retry=1" in line
        for request_id, times in retried.items():
            if times > 1:
                self.fail(f"{request_id} was tried again {times} times")
        if not any(retried.values()):
            self.fail("no request was tried again")
        self.counts["refused_here"] = len(self.read_logs("N773"))
        self.counts["tried_again"] = sum(retried.values())

    async def run_all(self):
        await self.store.start("127.0.1.1")
        for n in range(SHARDS):
            leaf = BusyLeaf(f"shard{n}", f"leaf-{n}", f"d{n % 2}", self)
            await leaf.start(f"127.0.2.{n + 1}")
            leaf.register(self.store)
            self.leaves.append(leaf)
        await self.start_proxies()
        self.publish_routes()
        for i in range(HOSTS):
            await self.start_host(i)
        await asyncio.sleep(START_S)
        calls = []
        for k in range(REQUESTS):
            request_id = hashlib.md5(
                f"{self.args.seed} {k}".encode()).hexdigest()
            calls.append(asyncio.create_task(
                self.call(self.random.randrange(HOSTS), request_id)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*calls)
        for request_id in self.refused:
            if self.runs.get(request_id):
                self.fail(f"{request_id} ran, but was answered with 503")
        for i in range(HOSTS):
            await self.stop_host(i, signal.SIGTERM)
        self.check_logs()


async def main():
    for seed in sys.argv[2:]:
        run = HandBack(sys.argv[1], int(seed))
        await run.run()
        print(f"seed {seed}: {len(run.failures)} failures")
        print(run.counts, file=sys.stderr)


asyncio.run(main())
