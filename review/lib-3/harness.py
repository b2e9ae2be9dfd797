"""Stand-ins for the platform's store, leaves and clients, and real hosts.

Each case of this review describes its days in a script that uses these. The
hosts are started with the command and the template of the deploy file.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "../.."))
ZONES = {"sudvestur-a": "sudvestur", "nordurland-a": "nordurland",
         "austurland-a": "austurland"}
# Bounds of litaleit, the small deployment whose settings the cases use.
BOUNDS = {"contact_ms": 5000, "drain_ms": 3000, "grace_s": 6,
          "config_apply_ms": 3000, "max_skew_ms": 15000,
          "retry_budget_extra": 54, "revoke_strict": False,
          "revoke_ms": 5000}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 1048576,
          "header_timeout_ms": 10000, "idle_timeout_ms": 60000}
HEARTBEAT_S = 1.2
RECOVERY_S = 12
# Of a page of the store and of a value in it.
PAGE_ITEMS = 500
PAGE_BYTES = 1000000
VALUE_BYTES = 1048576
CONTACT_S = BOUNDS["contact_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000
SKEW_S = BOUNDS["max_skew_ms"] / 1000


class Record:
    """Writes what is sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(f"{self.now():8.3f} {text}", flush=True)


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    first, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def reply_bytes(status, body, headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers]
    return "\r\n".join(lines + ["", ""]).encode() + body


class Server:
    """Serves whole requests, one at a time on a connection."""

    def __init__(self):
        self.writers = set()
        self.server = None

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                if not await self.handle(first, headers, body, writer):
                    break
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            # Before Python 3.12, asyncio logs a cancelled handler as a fault.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Ends as a process that is killed: connections are cut."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store, as PROTOCOL.md and the news page describe it."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.era = 1
        self.items = {}
        self.history = []
        self.revision = 100
        self.compacted = 100
        self.leases = {}
        self.next_lease = 1
        self.is_away = False
        self.changed = asyncio.Event()
        self.calls = {}
        # Called before a call is answered; may return a status or delay it.
        self.fault = None

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)
        self.wake()
        return self.revision

    def put(self, key, value):
        """Writes as the operator or a leaf."""
        return self.write(key, json.dumps(value).encode())

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})
            self.wake()

    def end_lease(self, lease):
        if not self.leases.pop(lease, None):
            return False
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)
        return True

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.1)
            if self.is_away:
                continue
            for lease, (ttl, end) in list(self.leases.items()):
                if end < time.monotonic():
                    self.end_lease(lease)

    # Drills

    def copy(self):
        return (dict(self.items), list(self.history), self.revision,
                dict(self.leases))

    def leave(self):
        self.is_away = True
        self.wake()
        for writer in list(self.writers):
            writer.transport.abort()

    def restore(self, copy):
        """Comes back from a copy. Leases of the copy run anew."""
        self.items, self.history = dict(copy[0]), list(copy[1])
        self.revision = copy[2]
        now = time.monotonic()
        self.leases = {k: (ttl, now + ttl / 1000)
                       for k, (ttl, _) in copy[3].items()}
        self.era += 1
        self.is_away = False

    # Calls

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while not self.is_away:
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = [e for e in self.history if e["revision"] > after
                      and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        raise EOFError

    def read_page(self, prefix, after):
        keys = sorted(k for k in self.items
                      if k.startswith(prefix) and k > after)
        page = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key]["value"]) * 3 // 4
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        return {"items": page, "has_more": len(page) < len(keys),
                "current_rev": self.revision}

    def transact(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [
                    self.items[r["key"]] for r in body["expected"]
                    if r["key"] in self.items]}
        writes = body.get("writes", [])
        keys = [w["key"] for w in writes] + body.get("remove", [])
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        if any(w.get("lease", 0) and w["lease"] not in self.leases
               for w in writes):
            return 404, {}
        for w in writes:
            self.write(w["key"], base64.b64decode(w["value"]),
                       w.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def lease_call(self, path, body):
        now = time.monotonic()
        if path == "/-/kv-lease":
            lease = self.era * 1000000 + self.next_lease
            self.next_lease += 1
            self.leases[lease] = (body["ttl_ms"], now + body["ttl_ms"] / 1000)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/-/kv-lease-end/"):
            return (200, {}) if self.end_lease(lease) else (404, {})
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, now + ttl / 1000)
        return 200, {"lease": lease, "ttl_ms": ttl}

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        name = url.path.split("/")[2] if url.path.count("/") > 1 else url.path
        self.calls[name] = self.calls.get(name, 0) + 1
        if url.path == "/-/kv-range":
            return 200, self.read_page(query.get("prefix", ""),
                                       query.get("after", ""))
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if url.path == "/-/kv-watch":
            return await self.watch(query.get("prefix", ""),
                                    int(query["after"]),
                                    int(query.get("wait_ms", 0)))
        parsed = json.loads(body or b"{}")
        if url.path == "/-/kv-txn":
            return self.transact(parsed)
        return self.lease_call(url.path, parsed)

    async def serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        await super().serve(reader, writer)

    async def handle(self, first, headers, body, writer):
        method, target = first.split(" ")[:2]
        if self.fault:
            status = await self.fault(method, target, body)
            if status:
                writer.write(reply_bytes(status, b"{}",
                                         [("Store-Era", self.era)]))
                return True
        # The platform answers after some ms.
        await asyncio.sleep(0.004)
        if self.is_away:
            return False
        status, answer = await self.answer(method, target, body)
        if self.is_away:
            return False
        writer.write(reply_bytes(status, json.dumps(answer).encode(), [
            ("Content-Type", "application/json"), ("Store-Era", self.era)]))
        return True


class Leaf(Server):
    """A sound leaf. Subclasses change run()."""

    def __init__(self, record, service, name, zone, slots=8, work_s=0.01):
        super().__init__()
        self.record = record
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.warmup_ms = 0
        self.running = 0
        self.runs = []

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "warmup_left_ms": self.warmup_ms,
                "sequence": self.sequence, "born": self.born}

    def register(self, store):
        return store.put(f"servers/{self.name}", self.entry())

    def stamp(self, request_id):
        return f"{self.service}.{self.name}.{request_id}"

    def answer_body(self, request_id):
        return f"{self.service} {request_id}".encode()

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def run(self, first, headers, body, writer):
        await asyncio.sleep(self.work_s)
        request_id = headers.get("nutmegpick-request-id", "")
        writer.write(reply_bytes(200, self.answer_body(request_id), [
            ("Nutmegpick-Request-Id", request_id),
            ("Nutmegpick-Response-Stamp", self.stamp(request_id)),
            ("Nutmegpick-Server-Load", self.load())]))
        return True

    async def handle(self, first, headers, body, writer):
        target = first.split(" ")[1]
        request_id = headers.get("nutmegpick-request-id", "")
        if target == "/health":
            writer.write(reply_bytes(200, b"", [
                ("Nutmegpick-Instance-Id", self.name)]))
            return True
        echo = ("Nutmegpick-Request-Id", request_id)
        expected = headers.get("nutmegpick-expect-instance")
        if expected is not None and expected != self.name:
            writer.write(reply_bytes(421, b"", [
                echo, ("Nutmegpick-Not-Executed", "1")]))
            return True
        if not request_id:
            writer.write(reply_bytes(400, b"", [
                ("Nutmegpick-Not-Executed", "1")]))
            return True
        if self.running >= self.slots:
            writer.write(reply_bytes(503, b"", [
                echo, ("Nutmegpick-Not-Executed", "1"),
                ("Nutmegpick-Server-Load", self.load())]))
            return True
        self.running += 1
        self.runs.append((time.monotonic(), request_id, headers))
        self.record.note(f"run {request_id} by {self.service}/{self.name}")
        try:
            return await self.run(first, headers, body, writer)
        finally:
            self.running -= 1


# Hosts

def read_path(values, path):
    for word in path.split("."):
        if isinstance(values, list):
            values = values[int(word)]
        else:
            values = values.get(word) if isinstance(values, dict) else None
    return values


def fill_in(template, values):
    """Fills in a template as far as DEPLOY.md describes what ours uses."""
    def section(match):
        entries = read_path(values, match[1])
        parts = []
        for n, (key, value) in enumerate(entries.items()):
            comma = "," if n + 1 < len(entries) else ""
            parts.append(match[2].replace("{{@}}", key)
                         .replace("{{.}}", str(value))
                         .replace("{{,}}", comma))
        return "".join(parts)

    def value_text(match):
        value = read_path(values, match[1])
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value_text, text)


class Host:
    """One real host, started with the command of the deploy file."""

    def __init__(self, case, number, store_address, cores=0.25):
        self.case = case
        zones = list(ZONES)
        self.name = f"front-{zones[number % 3]}-{number // 3 + 1}"
        self.ip = f"127.0.0.{11 + number}"
        self.front = free_port(self.ip)
        self.ready = free_port(self.ip)
        self.values = {
            "node_name": self.name, "role": "entry", "machine_class": "front",
            "serves": ["front"], "ip": self.ip, "zone": zones[number % 3],
            "region": ZONES[zones[number % 3]], "zones": ZONES,
            "listen": {"front": f"{self.ip}:{self.front}",
                       "ready": f"{self.ip}:{self.ready}"},
            "internal_ports": [free_port(self.ip)],
            "limits": {"cpu_share": cores}, "bounds": BOUNDS,
            "platform": {"address": store_address}}
        self.process = None
        self.starts = 0

    async def start(self):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"])) as f:
            text = fill_in(f.read(), self.values)
        # The metrics port of the deploy file is the same on all machines.
        path = os.path.join(self.case.folder, f"{self.name}.toml")
        with open(path, "w") as f:
            f.write(text)
        self.starts += 1
        self.log_path = os.path.join(self.case.folder,
                                     f"{self.name}.{self.starts}.log")
        log = open(self.log_path, "wb")
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(" "), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": self.case.folder,
                 "LANG": "C", "NUTMEGPICK_BOOT": path})
        log.close()
        self.case.processes.append(self.process)
        self.case.record.note(f"host {self.name} starts")

    def send(self, sig):
        self.case.record.note(f"host {self.name} gets {sig.name}")
        self.process.send_signal(sig)

    def log(self):
        with open(self.log_path, errors="replace") as f:
            return f.read()

    async def is_ready(self):
        try:
            status, _, _ = await exchange(self.ip, self.ready, "GET",
                                          "/-/ready", {"Host": "x"})
            return status == 200
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout_s=10):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def exchange(ip, port, method, target, headers, body=b"", timeout_s=3):
    """Sends one request on a new connection; returns status, headers, body."""
    async def talk():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines + ["", ""]).encode() + body)
            first, found, answer = await read_message(reader)
            return int(first.split(" ")[1]), found, answer
        finally:
            writer.close()
    return await asyncio.wait_for(talk(), timeout_s)


class Case:
    """Runs one script: `await main(case)` returns whether the rule held."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.processes = []
        self.requests = 0

    async def request(self, host, route_host, target, method="GET",
                      deadline_ms=2000, headers=None, body=b""):
        """Sends a client attempt; returns its id, status, headers, body."""
        self.requests += 1
        request_id = f"q{self.requests:06d}"
        self.record.note(f"send {request_id} {method} {route_host}{target} "
                         f"to {host.name}")
        try:
            status, found, answer = await exchange(
                host.ip, host.front, method, target, {
                    "Host": route_host, "Nutmegpick-Request-Id": request_id,
                    "Nutmegpick-Request-Deadline": deadline_ms,
                    **(headers or {})}, body, deadline_ms / 1000 + 1)
        except (OSError, EOFError, asyncio.TimeoutError) as e:
            self.record.note(f"end {request_id} without answer: {e!r}")
            return request_id, 0, {}, b""
        self.record.note(
            f"answer {request_id} {status} "
            f"{found.get('nutmegpick-response-stamp', '')}"
            f"{found.get('nutmegpick-part-stamps', '')}")
        return request_id, status, found, answer

    async def finish(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()


class CannotRun(Exception):
    pass


def run_case(script, main):
    """Runs a case; exits with 1 if the rule was broken, 0 or 2 if not run."""
    case = Case(os.path.dirname(os.path.realpath(script)))

    async def run():
        try:
            return await asyncio.wait_for(main(case), 110)
        finally:
            await case.finish()

    code = 2
    try:
        code = 0 if asyncio.run(run()) else 1
    except CannotRun as e:
        case.record.say(f"cannot run: {e}")
    except asyncio.TimeoutError:
        case.record.say("cannot run: over 110 s")
    case.record.say({0: "the rule held", 1: "THE RULE WAS BROKEN",
                     2: "not run"}[code])
    if not os.environ.get("KEEP_LOGS"):
        shutil.rmtree(case.folder, ignore_errors=True)
    else:
        print(case.folder)
    sys.exit(code)


def route(name, prefix, kind="safe", timeout_ms=2000, goal_ms=1000, **target):
    return {"name": name, "host": "leno.example", "prefix": prefix,
            "kind": kind, "timeout_ms": timeout_ms,
            "latency_goal_ms": goal_ms, "priority": 1, "max_attempts": 2,
            **target}


def configuration(version, routes, services, max_conns=100, **more):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": max_conns} for s in services],
            "limits": LIMITS, **more}
