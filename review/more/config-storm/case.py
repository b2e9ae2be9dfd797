"""Versions of a large configuration come in quick succession."""
import asyncio
import json
import os
import sys
import time
from urllib.parse import urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib"))
from deployment import (Host, SlotLeaf, Store,  # noqa: E402
                        read_message, run_case, write_reply)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"sudvestur-a": "sudvestur", "nordurland-a": "nordurland",
         "austurland-a": "austurland"}
VALUE_BYTES = 1048576
HISTORY_S = 20
# The answers of the store share its link of 1,000 Mbit/s.
LINK_BYTES_PER_S = 125e6
CONFIG_APPLY_S = 3
# config_storm: a change each 0.06 s for 1.5 s.
STORM_VERSIONS = 25
STORM_GAP_S = 0.06
STORM_AT_S = 5
WATCHED_S = 30
PROBE_S = 0.25
DEADLINE_MS = 1500


class ShortStore(Store):
    """Store that keeps its history of changes for HISTORY_S only."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.link = asyncio.Lock()

    def forget(self):
        end = time.monotonic() - HISTORY_S
        while self.history and self.history[0]["at"] < end:
            self.compacted_revision = self.history.pop(0)["revision"]

    def record_event(self, event):
        # Encoded once: the store would be slower than the pages say.
        super().record_event(dict(event, at=time.monotonic(),
                                  text=json.dumps(event)))
        self.forget()

    async def handle(self, request, writer):
        self.forget()
        status, body = await self.answer(request)
        if "events" in body:
            events = ",".join(e["text"] for e in body["events"])
            data = (f'{{"events":[{events}],'
                    f'"current_rev":{body["current_rev"]}}}').encode()
        else:
            data = json.dumps(body).encode()
        if status == 410 or len(data) > 100000:
            self.record(f"store answers {urlsplit(request.target).path}: "
                        f"{status}, {len(body.get('events', []))} events, "
                        f"{len(data)} bytes")
        async with self.link:
            await asyncio.sleep(len(data) / LINK_BYTES_PER_S)
        write_reply(writer, status, data)
        return True


class Case:
    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.hosts = []
        self.leaves = {}
        self.counts = {}
        self.stale = 0
        self.next_id = 0
        self.acked = None

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def config(self, version, service):
        """A configuration of almost VALUE_BYTES: most routes are idle."""
        def route(name, prefix, service):
            return {"name": name, "host": "hufi27.example", "prefix": prefix,
                    "kind": "safe", "timeout_ms": DEADLINE_MS,
                    "latency_goal_ms": 1000, "priority": 2,
                    "service": service, "max_attempts": 2}

        routes = [route("r-moved", "/goka902/", service),
                  route(f"r-{version}", f"/v{version}/", "boka")]
        out = {"version": version, "routes": routes,
               "services": [{"name": n, "health_path": "/health",
                             "max_conns": 100} for n in ("boka", "malarar")],
               "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                          "header_timeout_ms": 3000,
                          "idle_timeout_ms": 15000}}
        each = len(json.dumps(route("r-idle-0000", "/idle0000/", "boka"))) + 2
        room = VALUE_BYTES - len(json.dumps(out)) - 64
        routes += [route(f"r-idle-{i:04d}", f"/idle{i:04d}/", "boka")
                   for i in range(room // each)]
        return out

    def publish(self, version, value):
        assert len(value) <= VALUE_BYTES
        self.store.put_bytes("op/config", value)
        self.acked = self.record.now()
        self.record(f"operator: version {version} acknowledged, "
                    f"{len(value)} bytes")

    def encode(self, version, service):
        return json.dumps(self.config(version, service)).encode()

    async def start(self):
        self.store = ShortStore(self.record)
        await self.store.start("127.0.1.1")
        zones = list(ZONES)
        for i in range(6):
            service = ("boka", "malarar")[i % 2]
            leaf = SlotLeaf(service, f"i-{i + 1:08x}", zones[i // 2],
                            lambda text: None, 2, 6, (0.002, 0.01))
            leaf.record = self
            await leaf.start(f"127.0.2.{i + 1}")
            leaf.register(self.store)
            self.leaves[leaf.name] = leaf
        self.publish(1, self.encode(1, "boka"))
        for i, zone in enumerate(zones):
            host = Host(self.folder, f"front-{zone}-1", f"127.0.3.{i + 1}",
                        zone, ZONES, self.store.address)
            self.hosts.append(host)
            await host.start()
        return all([await h.wait_ready() for h in self.hosts])

    # Leaves record through the case: their lines would only repeat the answers.
    def __call__(self, text):
        pass

    def now(self):
        return self.record.now()

    async def call(self, host, path):
        self.next_id += 1
        request_id = f"{self.next_id:016x}"
        ip, port = host.http.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write((f"GET {path} HTTP/1.1\r\nHost: hufi27.example\r\n"
                          f"Nutmegpick-Request-Id: {request_id}\r\n"
                          f"Nutmegpick-Request-Deadline: {DEADLINE_MS}\r\n"
                          "\r\n").encode())
            return await asyncio.wait_for(read_message(reader), 3)
        finally:
            writer.close()

    async def probe(self, host, version, service):
        """Returns why a request is handled as only an older version allows."""
        added = await self.call(host, f"/v{version}/2f")
        moved = await self.call(host, "/goka902/2f")
        self.count(str(added.status))
        self.count(str(moved.status))
        stamp = moved.headers.get("nutmegpick-response-stamp", "")
        if added.status == 404:
            return f"404 for the route added by version {version}"
        if moved.status == 200 and stamp.split(".")[0] != service:
            return f"run by {stamp.split('.')[0]} instead of {service}"
        return None

    async def watch_host(self, host, version, service, until):
        last = None
        while self.record.now() < until:
            sent = self.record.now()
            seen = await self.probe(host, version, service)
            late = sent - self.acked > CONFIG_APPLY_S
            if seen and late:
                self.stale += 1
            if seen != last or (seen and late and self.stale % 40 == 1):
                self.record(f"{'CONFIG ' if seen and late else ''}"
                            f"{host.name}: {seen or 'as the new version'}, "
                            f"{sent - self.acked:.2f} s after the "
                            "acknowledgement")
            last = seen
            await asyncio.sleep(PROBE_S)

    async def run(self):
        if not await self.start():
            print("the hosts did not become ready")
            return 2
        for h in self.hosts:
            if await self.probe(h, 1, "boka"):
                print("the first version is not in force")
                return 2
        version = STORM_VERSIONS + 1
        first = 2 if TROUBLE else version
        values = [self.encode(v, "malarar") for v in range(first, version + 1)]
        at = max(STORM_AT_S, self.record.now())
        for i, value in enumerate(values):
            await asyncio.sleep(at + i * STORM_GAP_S - self.record.now())
            self.publish(first + i, value)
        until = self.record.now() + WATCHED_S
        await asyncio.gather(*[self.watch_host(h, version, "malarar", until)
                               for h in self.hosts])
        text = f"{self.stale} stale answers; {self.counts}"
        self.record(text)
        print(text)
        return 1 if self.stale else 0


async def run(record, folder):
    case = Case(record, folder)
    try:
        return await case.run()
    finally:
        for h in case.hosts:
            await h.end()


run_case(HERE, run)
