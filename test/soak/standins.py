"""Stand-ins for the platform's store and leaves, and a proxy with faults."""
import asyncio
import base64
import json
import math
import time
from urllib.parse import parse_qs, urlsplit


HEALTH_PATH = "/health"


class Message:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body
        words = first.split(" ")
        self.method = words[0]
        self.target = words[1] if len(words) > 1 else ""
        self.status = int(words[1]) if first.startswith("HTTP/") else 0


async def read_message(reader):
    """Reads a whole HTTP message.

    Raises IncompleteReadError if the connection ends first.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0], headers, body)


def write_reply(writer, status, body, headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k}: {v}" for k, v in headers]
    writer.write("\r\n".join(lines + ["", ""]).encode() + body)


class Server:
    """Accepts connections and passes each whole request to handle()."""

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.ip = ip
        self.address = "%s:%d" % server.sockets[0].getsockname()
        self.server = server

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if not await self.handle(request, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Server):
    """Store with revisions, watches and leases.

    The PROTOCOL file of the platform defines its calls.
    """

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.compacted_revision = 0
        self.changed = asyncio.Event()
        self.leases = {}
        # Stated in all replies, unless it is None.
        self.era = None
        self.is_away = False
        self.refuses_watches = False
        # Called with the text of each reply, returns the bytes that are sent.
        self.encode = str.encode
        # Returns whether the reply to a call, by its path and its prefix, is
        # complete for HTTP and cut within its JSON.
        self.is_cut = lambda path, prefix: False
        # Calls by the last part of their path.
        self.calls = {}

    def copy(self):
        return (dict(self.items), list(self.history), self.revision,
                dict(self.leases))

    def leave(self):
        """Is away until restore(): calls end without a reply."""
        self.is_away = True
        self.changed.set()
        self.changed = asyncio.Event()

    def restore(self, copy):
        """Comes back from a copy; its leases run anew."""
        items, history, self.revision, leases = copy
        self.items, self.history = dict(items), list(history)
        self.leases = {k: time.monotonic() + 15 for k in leases}
        if self.era is not None:
            self.era += 1
        self.is_away = False

    def record_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.put_bytes(key, json.dumps(value).encode(), lease)

    def put_bytes(self, key, value, lease=0):
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "lease": lease}
        self.items[key] = item
        self.record_event(item)

    def read(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"]))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.record_event({"key": key, "revision": self.revision,
                               "deleted": True})

    async def compact(self):
        self.history = []
        self.compacted_revision = self.revision

    def expire(self):
        for lease, end in list(self.leases.items()):
            if end < time.monotonic():
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if self.refuses_watches or after < self.compacted_revision or \
                    after > self.revision:
                return 410, {}
            events = [e for e in self.history
                      if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except asyncio.TimeoutError:
                self.expire()
            if self.is_away:
                return 0, {}

    async def answer(self, request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in
                 parse_qs(url.query, keep_blank_values=True).items()}
        body = json.loads(request.body or b"{}")
        if url.path == "/-/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            page = [self.items[k] for k in keys[:10]]
            return 200, {"items": page, "has_more": len(keys) > 10,
                         "current_rev": self.revision}
        if url.path == "/-/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]),
                                    int(query["wait_ms"]))
        if url.path == "/-/kv-lease":
            lease = self.revision * 1000 + len(self.leases) + 1
            self.leases[lease] = time.monotonic() + body["ttl_ms"] / 1000
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if url.path.startswith("/-/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = time.monotonic() + 15
            return 200, {"ttl_ms": 15000}
        if url.path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(url.path.rsplit("/", 1)[1]))
            return 200, {}
        if url.path == "/-/kv-txn":
            for w in body["writes"]:
                if w["lease"] not in self.leases:
                    return 404, {}
                self.put_bytes(w["key"], base64.b64decode(w["value"]),
                               w["lease"])
            return 200, {"revision": self.revision}
        return 404, {}

    async def handle(self, request, writer):
        name = urlsplit(request.target).path.split("/")[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        if not self.is_away:
            status, body = await self.answer(request)
        if self.is_away:
            writer.transport.abort()
            return False
        headers = [] if self.era is None else [("Store-Era", self.era)]
        text = json.dumps(body)
        url = urlsplit(request.target)
        prefix = parse_qs(url.query, keep_blank_values=True).get("prefix")
        if prefix and self.is_cut(url.path, prefix[0]):
            text = text[:-2]
        write_reply(writer, status, self.encode(text), headers)
        return True


class Leaf(Server):
    def __init__(self, service, name, domain, owner):
        self.service = service
        self.name = name
        self.domain = domain
        self.owner = owner
        self.mode = "ok"
        self.sequence = 0
        self.key = f"servers/{name}"
        # Calls a second from all hosts that the leaf names as its limit.
        self.limit = None
        self.arrivals = []
        # When the leaf told each host of the limit, and the calls that count.
        self.told = {}
        self.counted = []
        # Until when the leaf is cold, and from when all hosts know it.
        self.cold_until = 0
        self.cold_known_at = 0
        self.cold_calls = []

    def warm_up_ms(self):
        left = max(0, self.cold_until - time.monotonic())
        return math.ceil(left * 1000)

    def register(self, store):
        self.sequence += 1
        store.put(self.key, {
            "service": self.service, "address": self.address,
            "zone": self.domain, "version": "v1", "slots": 4,
            "state": "ready", "warmup_left_ms": self.warm_up_ms(),
            "sequence": self.sequence, "born": 1})

    def note_limit_told(self, request, limit):
        """Notes a whole reply that has named a limit which is in force."""
        if limit is not None and limit == self.limit:
            self.owner.note_limit_told(self, request)

    def write_cut_head(self, writer, body, headers):
        """Sends a reply up to a random place in its head."""
        lines = ["HTTP/1.1 200 X"] + [f"{k}: {v}" for k, v in headers]
        lines.insert(self.owner.random.randrange(1, len(lines) + 1),
                     f"Content-Length: {len(body)}")
        head = "\r\n".join(lines + ["", ""]).encode()
        writer.write(head[:self.owner.random.randrange(1, len(head))])

    async def handle(self, request, writer):
        if request.target == HEALTH_PATH:
            write_reply(writer, 200, b"", [("Nutmegpick-Warmup-Ms",
                                            self.warm_up_ms())])
            return True
        echo = [("Nutmegpick-Request-Id",
                 request.headers.get("nutmegpick-request-id", ""))]
        if request.headers.get("nutmegpick-expect-instance") != self.name:
            write_reply(writer, 421, b"", echo)
            return True
        self.arrivals.append(time.monotonic())
        self.owner.check_arrival(self, request,
                                 (writer.get_extra_info("peername"),
                                  writer.get_extra_info("sockname")))
        if self.cold_until:
            echo.append(("Nutmegpick-Warmup-Ms", self.warm_up_ms()))
        limit = self.limit
        if limit is not None:
            self.owner.check_rate(self, request)
            echo.append(("Server-Limit", f"{limit:g}"))
        if self.mode == "shed":
            write_reply(writer, 503, b"", echo + [("Nutmegpick-Not-Executed",
                                                   "1")])
            self.note_limit_told(request, limit)
            return True
        stamp, body = self.owner.handle_run(self, request)
        if self.mode == "slow":
            await asyncio.sleep(0.5)
        if self.mode == "silent":
            await asyncio.sleep(3)
        if self.mode == "reset":
            writer.transport.abort()
            return False
        headers = echo + [("Nutmegpick-Response-Stamp", stamp),
                          ("Nutmegpick-Server-Load", self.owner.leaf_load())]
        if self.mode == "cut":
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 128\r\n\r\nshort")
            return False
        if self.mode == "head":
            self.write_cut_head(writer, body, headers)
            return False
        write_reply(writer, 500 if self.mode == "error" else 200, body, headers)
        self.note_limit_told(request, limit)
        if self.mode == "duplicate":
            write_reply(writer, 200, body, headers)
        if self.mode == "extra":
            write_reply(writer, 200, b"z" * 32,
                        [("Nutmegpick-Response-Stamp", "other")])
        return True


class Proxy:
    """Forwards connections, or resets, stalls or delays them."""

    def __init__(self, target):
        self.target = target
        self.mode = "ok"
        self.ok_since = 0

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()
        self.server = server

    async def copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data or self.mode == "reset":
                    break
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def serve(self, reader, writer):
        ip, port = self.target.rsplit(":", 1)
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(ip, int(port))
            await asyncio.gather(self.copy(reader, upstream[1]),
                                 self.copy(upstream[0], writer))
        except OSError:
            writer.transport.abort()
        except asyncio.CancelledError:
            # asyncio before Python 3.12 logs the cancellation of a handler at
            # the end of the loop as an exception in a callback.
            writer.transport.abort()
