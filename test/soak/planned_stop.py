#!/usr/bin/env python3
"""Stops a host under load on open connections; checks what callers get.

A request that the host has read gets a whole answer, a refused one does not
run, and what cannot end before the host does is not passed on to a leaf.
Usage: planned_stop.py NUTMEGPICKD SEED...
"""
import argparse
import asyncio
import signal
import sys
import time

from soak import Soak
from standins import Leaf, read_message, write_reply

DOMAIN = "d0"
# Of the settings that Soak writes: drain_delay and stop_timeout together.
STOP_S = 2.8
# A host ends at most this much later.
EXIT_S = 1.0
DEADLINE_MS = 12000
CALLERS = 60
WARM_UP_S = 4
# Requests learn how long a route takes; the slow one outlasts a late stop.
ROUTES = {"fast": (0.01, 0.05), "slow": (1.0, 1.4), "lasting": (5.0, 6.0)}


class WorkLeaf(Leaf):
    """Leaf whose requests take the time of their route; it has few slots."""

    def __init__(self, owner, name, slots):
        super().__init__("work", name, DOMAIN, owner)
        self.running = 0
        self.slots = slots

    async def handle(self, request, writer):
        request_id = request.headers.get("nutmegpick-request-id", "")
        headers = [("Nutmegpick-Request-Id", request_id),
                   ("Nutmegpick-Server-Load", f"{self.running},0,{self.slots}")]
        if self.running >= self.slots:
            write_reply(writer, 503, b"",
                        headers + [("Nutmegpick-Not-Executed", "1")])
            return True
        self.owner.ran[request_id] = time.monotonic()
        route = request.target.split("/")[1]
        self.running += 1
        try:
            await asyncio.sleep(self.owner.random.uniform(*ROUTES[route]))
        finally:
            self.running -= 1
        write_reply(writer, 200, b"done", headers + [
            ("Nutmegpick-Response-Stamp", request_id)])
        return True


class PlannedStop(Soak):
    # A request that crosses the end of its connection may stay unanswered.
    crossing_s = 0.2
    # Shorter than the idle time after which a stop closes a connection.
    pause_max_s = 0.95
    # Time between a request and the look at its connection.
    notice_s = 0

    def __init__(self, program, seed):
        super().__init__(argparse.Namespace(program=program, seed=seed,
                                            hosts=1, port=18500 + seed % 50))
        self.ran = {}
        self.stopped_at = None
        self.kinds = list(ROUTES)

    async def publish(self):
        self.store.put("op/config", {
            "version": 1, "services": [
                {"name": "work", "health_path": "/health", "max_conns": 512}],
            "routes": [
                {"name": name, "host": "soak.example", "prefix": f"/{name}/",
                 "kind": "unsafe", "timeout_ms": DEADLINE_MS,
                 "latency_goal_ms": 1000 * max(times), "priority": 1,
                 "service": "work", "max_attempts": 2}
                for name, times in ROUTES.items()],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})

    async def send(self, reader, writer, kind, request_id):
        """Sends one request; returns whether the connection stays open."""
        sent_at = time.monotonic()
        reply = None
        try:
            writer.write((
                f"POST /{kind}/x HTTP/1.1\r\nHost: soak.example\r\n"
                f"Nutmegpick-Request-Id: {request_id}\r\n"
                f"Nutmegpick-Request-Deadline: {DEADLINE_MS}\r\n"
                f"Content-Length: 4\r\n\r\nbody").encode())
            await asyncio.sleep(self.notice_s)
            reply = await read_message(reader)
            self.note_reply(reply)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.check(kind, request_id, sent_at, reply and reply.status)
        return reply and reply.headers.get("connection") != "close"

    def note_reply(self, reply):
        pass

    def check(self, kind, request_id, sent_at, status):
        self.count(f"{kind}_{status}")
        has_run = request_id in self.ran
        is_crossing = time.monotonic() < sent_at + self.crossing_s
        if status is None and (has_run or not is_crossing):
            self.fail(f"{kind} request without an answer, sent "
                      f"{sent_at - self.stopped_at:.3f} s after the stop, "
                      f"ended after {time.monotonic() - sent_at:.3f} s, "
                      f"{'run' if has_run else 'not run'}")
        if status in (408, 421, 429, 503) and has_run:
            self.fail(f"{kind} request refused, but run")
        shortest = ROUTES[kind][0]
        if self.stopped_at and has_run and kind != "lasting" and \
                self.ran[request_id] + shortest > self.stopped_at + STOP_S:
            self.fail(f"{kind} request passed on in vain, "
                      f"{self.ran[request_id] - self.stopped_at:.3f} s after "
                      "the stop")

    async def pause(self, is_new):
        await asyncio.sleep(self.random.uniform(0, self.pause_max_s))

    async def run_connection(self, n, k):
        """Sends requests until the connection ends; returns their number."""
        reader, writer = await asyncio.open_connection(
            self.host_address(0), self.args.port)
        kind = "slow" if n % 2 else "fast"
        is_open = True
        is_new = True
        while is_open:
            await self.pause(is_new)
            is_new = False
            if self.stopped_at:
                kind = self.random.choice(self.kinds)
            k += 1
            is_open = await self.send(reader, writer, kind,
                                      f"{self.args.seed:x}-{n}-{k}")
        writer.close()
        return k

    async def run_caller(self, n):
        """Opens a new connection after each one, until none is accepted."""
        k = 0
        while True:
            try:
                k = await self.run_connection(n, k)
            except OSError:
                return

    async def start(self):
        await self.store.start("127.0.1.1")
        slots = self.random.choice([4, 8, 24])
        for n in range(3):
            leaf = WorkLeaf(self, f"leaf-{n}", slots)
            await leaf.start(f"127.0.2.{n + 1}")
            leaf.register(self.store)
            self.leaves.append(leaf)
        await self.start_proxies()
        await self.publish()
        await self.start_host(0)

    async def run_all(self):
        await self.start()
        await asyncio.sleep(1)
        tasks = [asyncio.create_task(self.run_caller(n))
                 for n in range(CALLERS)]
        await asyncio.sleep(WARM_UP_S)
        self.stopped_at = time.monotonic()
        self.processes[0].send_signal(signal.SIGTERM)
        status = await self.processes[0].wait()
        took = time.monotonic() - self.stopped_at
        if status or took > STOP_S + EXIT_S:
            self.fail(f"the host ended with {status} after {took:.3f} s")
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                self.fail(f"the check itself: {result!r}")


async def main():
    for seed in sys.argv[2:]:
        stop = PlannedStop(sys.argv[1], int(seed))
        await stop.run()
        print(f"seed {seed}: {len(stop.failures)} failures")
        print(stop.counts, file=sys.stderr)


if __name__ == "__main__":
    asyncio.run(main())
