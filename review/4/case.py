"""An operator takes a canary's share back; its weight is 0 from then on."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
from deployment import (Host, SlotLeaf, Store,  # noqa: E402
                        read_message, run_case)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"sudvestur-a": "sudvestur", "nordurland-a": "nordurland",
         "austurland-a": "austurland"}
DEADLINE_MS = 6000
CONFIG_APPLY_S = 3.0
CALLERS = 13
THINK_S = (0.3, 1.0)
LEAVES = 6
# Weights of boka and malarar, the canary, with and without the canary.
WITH_CANARY = (90, 10)
WITHOUT_CANARY = (1, 0)
ROUNDS = 5
CANARY_S = 5
AFTER_S = 9


class Case:
    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.random = random.Random(1)
        self.store = Store()
        self.hosts = []
        self.canaries = []
        self.counts = {}
        self.version = 6
        # When the store took the version without the canary; None with it.
        self.off_at = None
        self.late = 0
        self.checked = 0
        self.is_ending = False

    def publish(self, weights):
        self.version += 1
        self.store.put("op/config", {
            "version": self.version,
            "routes": [{"name": "r-1", "host": "hufi27.example",
                        "prefix": "/goka902/", "kind": "unsafe",
                        "timeout_ms": DEADLINE_MS, "latency_goal_ms": 1000,
                        "priority": 2, "max_attempts": 2,
                        "traffic_split": [
                            {"service": "boka", "weight": weights[0]},
                            {"service": "malarar", "weight": weights[1]}]}],
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": 100} for s in ("boka", "malarar")],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
        self.off_at = self.record.now() if not weights[1] else None
        self.record(f"operator: version {self.version} acknowledged, weights "
                    f"boka {weights[0]}, malarar {weights[1]}")

    async def start(self):
        await self.store.start("127.0.1.1")
        zones = list(ZONES)
        for i in range(LEAVES):
            service = "malarar" if i % 2 else "boka"
            leaf = SlotLeaf(service, f"i-{i + 1:08x}", zones[i // 2],
                            self.record, 4, 16, (0.02, 0.08))
            await leaf.start(f"127.0.2.{i + 1}")
            leaf.register(self.store)
            if service == "malarar":
                self.canaries.append(leaf)
        self.publish(WITH_CANARY if TROUBLE else WITHOUT_CANARY)
        for i, zone in enumerate(zones):
            host = Host(self.folder, f"front-{zone}-1", f"127.0.3.{i + 1}",
                        zone, ZONES, self.store.address)
            self.hosts.append(host)
            await host.start()
        return all([await h.wait_ready() for h in self.hosts])

    def check(self, request_id, host, sent_at, off_at):
        """CONFIG: run by a service that only an older version allows."""
        if off_at is None or off_at != self.off_at or \
                sent_at < off_at + CONFIG_APPLY_S:
            return
        self.checked += 1
        for leaf in self.canaries:
            if request_id in leaf.began:
                self.late += 1
                self.record(f"CONFIG {request_id} at {host.name}: sent "
                            f"{sent_at - off_at:.3f} s after version "
                            f"{self.version} was acknowledged, run by "
                            f"{leaf.name} of malarar")

    async def run_caller(self, n):
        host = self.hosts[n % len(self.hosts)]
        ip, port = host.http.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        k = 0
        body = b"x" * 300
        while not self.is_ending:
            k += 1
            request_id = f"{n:04x}{k:012x}"
            sent_at = self.record.now()
            off_at = self.off_at
            writer.write(
                (f"POST /goka902/2f HTTP/1.1\r\nHost: hufi27.example\r\n"
                 f"Nutmegpick-Request-Id: {request_id}\r\n"
                 f"Nutmegpick-Request-Deadline: {DEADLINE_MS}\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            reply = await asyncio.wait_for(read_message(reader),
                                           DEADLINE_MS / 1000 + 1)
            self.record(f"caller {request_id} at {host.name}: {reply.status}")
            status = str(reply.status)
            self.counts[status] = self.counts.get(status, 0) + 1
            self.check(request_id, host, sent_at, off_at)
            await asyncio.sleep(self.random.uniform(*THINK_S))
        writer.close()

    async def operate(self):
        for i in range(ROUNDS):
            if TROUBLE and i:
                self.publish(WITH_CANARY)
            await asyncio.sleep(CANARY_S)
            if TROUBLE:
                self.publish(WITHOUT_CANARY)
            await asyncio.sleep(AFTER_S)
        self.is_ending = True

    async def run(self):
        if not await self.start():
            print("the hosts did not become ready")
            return 2
        await asyncio.gather(self.operate(),
                             *[self.run_caller(n) for n in range(CALLERS)])
        text = (f"{self.late} of {self.checked} requests run by a service "
                f"without weight; {self.counts}")
        self.record(text)
        print(text)
        if not self.checked or not self.counts.get("200"):
            return 2
        return 1 if self.late else 0


async def run(record, folder):
    case = Case(record, folder)
    try:
        return await case.run()
    finally:
        for h in case.hosts:
            await h.end()


run_case(HERE, run)
