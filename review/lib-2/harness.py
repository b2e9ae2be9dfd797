"""Stand-ins for the platform's store, leaves and clients, and hosts.

Everything listens on loopback addresses. The stand-ins follow PROTOCOL.md.
"""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TEMPLATE = os.path.join(ROOT, "deploy", "settings.toml.in")
HOST_HEADER = "review.example"
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
RULE_BROKEN, RULE_HELD, NOT_RUN = 1, 0, 2
# contact_ms of sites/litaleit.
CONTACT_S = 5


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Log of what was sent, answered and run, in record.txt of the case."""

    def __init__(self, script):
        folder = os.path.dirname(os.path.abspath(script))
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body
        words = first.split(" ", 2)
        self.method = words[0]
        self.target = words[1] if len(words) > 1 else ""

    def header(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.target) if self.first.startswith("HTTP/") else 0


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head[:-4].split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers, b"")


async def read_message(reader, method="GET"):
    """Reads a whole message with a length or in chunks."""
    m = await read_head(reader)
    if m.header("Transfer-Encoding").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            m.body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif method != "HEAD":
        m.body = await reader.readexactly(int(m.header("Content-Length", "0")))
    return m


def encode(first, headers, body=b"", with_length=True):
    lines = [first] + [f"{k}: {v}" for k, v in headers]
    if with_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode("latin-1") + body


class Server:
    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0,
                                                 limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if not await self.handle(request, reader, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store: revisions, conditions, watches and leases."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()

    def note_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_raw(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": value, "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.note_event(item)

    def put(self, key, value):
        """Writes what the operator or a leaf says."""
        self.put_raw(key, base64.b64encode(json.dumps(value).encode())
                     .decode())

    def remove(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
        del self.items[key]
        self.note_event({"key": key, "revision": self.revision,
                         "deleted": True})

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def expire(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end < now:
                self.end_lease(lease)

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.2))
            except asyncio.TimeoutError:
                self.expire()

    def txn(self, body):
        expected = body.get("expected", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in expected
                                       if r["key"] in self.items]}
        writes = body.get("writes", [])
        if any(w.get("lease") and w["lease"] not in self.leases
               for w in writes):
            return 404, {}
        if any(w["key"].startswith(("op/", "servers/")) for w in writes):
            return 403, {}
        if writes or body.get("remove"):
            self.revision += 1
        for w in writes:
            self.put_raw(w["key"], w["value"], w.get("lease", 0),
                         self.revision)
        for key in body.get("remove", []):
            self.remove(key, self.revision)
        return 200, {"revision": self.revision}

    async def answer(self, r):
        path, _, query = r.target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        args = {k: re.sub("%([0-9A-Fa-f]{2})",
                          lambda m: chr(int(m.group(1), 16)), v)
                for k, v in args.items()}
        body = json.loads(r.body or b"{}")
        self.expire()
        if path == "/-/kv-key":
            item = self.items.get(args["key"])
            return (200, dict(item, current_rev=self.revision)) if item \
                else (404, {"current_rev": self.revision})
        if path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(args["prefix"])
                          and k > args.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500,
                         "current_rev": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(args["prefix"], int(args["after"]),
                                    int(args["wait_ms"]))
        if path == "/-/kv-txn":
            return self.txn(body)
        if path == "/-/kv-lease":
            self.last_lease += 1
            ttl = max(1000, min(600000, body["ttl_ms"]))
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def handle(self, request, reader, writer):
        status, body = await self.answer(request)
        writer.write(encode(f"HTTP/1.1 {status} X",
                            [("Content-Type", "application/json")],
                            json.dumps(body).encode()))
        return True


class Leaf(Server):
    """A sound leaf; run() makes its answer."""

    def __init__(self, service, name, record, zone="zone-a", slots=8,
                 work_s=0.01, run=None, headers=()):
        self.service = service
        self.name = name
        self.record = record
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.run = run
        self.extra_headers = list(headers)
        self.ran = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"

    def register(self, store):
        self.sequence += 1
        store.put(f"servers/{self.name}", {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warmup_left_ms": 0,
            "sequence": self.sequence, "born": self.born})

    async def handle(self, request, reader, writer):
        if request.target == "/health":
            writer.write(encode("HTTP/1.1 200 OK",
                                [("Nutmegpick-Instance-Id", self.name)]))
            return True
        request_id = request.header("Nutmegpick-Request-Id")
        echo = [("Nutmegpick-Request-Id", request_id)]
        expected = request.header("Nutmegpick-Expect-Instance")
        if expected and expected != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                echo + [("Nutmegpick-Instance-Id",
                                         self.name)]))
            return True
        self.ran.append(request_id)
        self.record.note(f"leaf {self.name} runs {request_id} "
                         f"{request.method} {request.target}")
        await asyncio.sleep(self.work_s)
        body = self.run(self, request) if self.run else b"done " + \
            request_id.encode()
        headers = echo + [("Nutmegpick-Response-Stamp",
                           f"{self.name}.{request_id}"),
                          ("Nutmegpick-Server-Load", f"1,0,{self.slots}")]
        writer.write(encode("HTTP/1.1 200 OK", headers + self.extra_headers,
                            body))
        return True


def free_port(ip="127.0.0.1"):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Host:
    """A host, started with the command and the template of the deploy file."""

    def __init__(self, name, store, record, folder, zone="zone-a",
                 zones=None, bounds=None, ip="127.0.0.1"):
        self.name = name
        self.ip = ip
        self.record = record
        self.path = os.path.join(folder, f"{name}.toml")
        self.log_path = os.path.join(folder, f"{name}.log")
        ports = [free_port(ip) for _ in range(4)]
        self.http, self.ready, self.metrics, self.peer = (
            f"{ip}:{p}" for p in ports)
        zones = zones or {"zone-a": "region-a"}
        bounds = {"grace_s": 6, "retry_budget_extra": 54, **(bounds or {})}
        with open(TEMPLATE) as f:
            text = f.read()
        text = text.replace(
            '[ {{#zones}}"{{@}}={{.}}"{{,}}{{/zones}} ]',
            "[ " + ",".join(f'"{z}={r}"' for z, r in zones.items()) + " ]")
        values = {"node_name": name, "zone": zone, "limits.cpu_share": "0.25",
                  "listen.front": self.http, "listen.ready": self.ready,
                  "{ip}:9464": self.metrics,
                  "platform.address": store.address,
                  **{f"bounds.{k}": str(v) for k, v in bounds.items()}}
        text = text.replace("{{ip}}:9464", self.metrics)
        text = text.replace("{{ip}}:{{internal_ports.0}}", self.peer)
        text = re.sub(r"{{([a-z_.]+)}}",
                      lambda m: values.get(m.group(1), ""), text)
        with open(self.path, "w") as f:
            f.write(text)
        self.process = None

    async def start(self):
        program = os.environ.get("NUTMEGPICKD") or os.path.join(
            ROOT, "target", "nutmegpickd", "nutmegpickd")
        if not os.path.exists(program):
            raise FileNotFoundError("the build of the deploy file is missing")
        self.log = open(self.log_path, "a")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env.update({k: v for k, v in os.environ.items()
                    if k.endswith("SAN_OPTIONS")})
        env["NUTMEGPICK_BOOT"] = self.path
        self.process = subprocess.Popen([program], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)
        self.record.note(f"{self.name} starts, pid {self.process.pid}")
        return self

    async def is_ready(self):
        try:
            r, w = await connect(self.ready)
        except OSError:
            return False
        try:
            w.write(encode("GET /-/ready HTTP/1.1", [("Host", "x")]))
            return (await asyncio.wait_for(read_message(r), 1)).status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        finally:
            w.close()

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready")
            await asyncio.sleep(0.05)
        return self

    async def wait_in_touch(self):
        """Waits until the host is ready and in touch: contact_ms, and a bit."""
        await self.wait_ready()
        await asyncio.sleep(CONTACT_S + 0.5)
        return self

    def signal(self, number):
        self.record.note(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def read_log(self):
        with open(self.log_path, errors="replace") as f:
            return f.read()


async def connect(address):
    ip, port = address.rsplit(":", 1)
    return await asyncio.open_connection(ip, int(port), limit=1 << 20)


class Answer:
    def __init__(self, status, message=None, cause="", after_s=0):
        self.status = status
        self.message = message
        self.cause = cause
        self.after_s = after_s


async def ask(record, conn, request_id, method="GET", target="/r/x",
              headers=(), body=b"", deadline_ms=3000, limit_s=8, sends=True):
    """Sends one request on an open connection and reads its answer."""
    reader, writer = conn
    lines = [("Host", HOST_HEADER), ("Nutmegpick-Request-Id", request_id),
             ("Nutmegpick-Request-Deadline", deadline_ms)] + list(headers)
    start = time.monotonic()
    record.note(f"client sends {request_id} {method} {target}")
    try:
        writer.write(encode(f"{method} {target} HTTP/1.1", lines, body,
                            bool(body) or method in ("POST", "PUT")))
        m = await asyncio.wait_for(read_message(reader, method), limit_s)
        a = Answer(m.status, m, "", time.monotonic() - start)
    except asyncio.TimeoutError:
        a = Answer(0, None, "no answer", time.monotonic() - start)
    except (OSError, asyncio.IncompleteReadError) as e:
        a = Answer(0, None, f"connection closed ({type(e).__name__})",
                   time.monotonic() - start)
    record.note(f"client gets {request_id} {a.status or a.cause} after "
                f"{a.after_s:.3f} s")
    return a


def route(name, kind="safe", timeout_ms=3000, goal_ms=1000, **fields):
    return {"name": name, "host": HOST_HEADER, "prefix": f"/{name}/",
            "kind": kind, "timeout_ms": timeout_ms,
            "latency_goal_ms": goal_ms, "priority": 1, "max_attempts": 2,
            **fields}


def config(version, routes, services, **fields):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health_path": "/health",
                          "max_conns": 64, "protocol": "h1", "tls": False}
                         for s in services],
            "limits": LIMITS, **fields}


def run_case(script, play, limit_s=110):
    """Runs play(record, folder, hosts) and exits with its verdict."""
    record = Record(script)
    folder = tempfile.mkdtemp()
    hosts = []
    verdict = NOT_RUN

    async def run():
        try:
            return await asyncio.wait_for(play(record, folder, hosts), limit_s)
        except Exception as e:  # the case could not run
            record.note(f"could not run: {type(e).__name__} {e}")
            print(f"could not run: {type(e).__name__} {e}", file=sys.stderr)
            return NOT_RUN
        finally:
            for h in hosts:
                h.kill()

    loop = asyncio.new_event_loop()
    try:
        verdict = loop.run_until_complete(run())
    finally:
        if os.environ.get("KEEP_LOGS"):
            for h in hosts:
                sys.stderr.write(f"== {h.name}\n{h.read_log()}")
        shutil.rmtree(folder, ignore_errors=True)
        record.note(f"verdict {verdict}")
        sys.stdout.flush()
        sys.stderr.flush()
        # The stand-ins still wait for hosts that are gone; nothing to close.
        os._exit(verdict)
