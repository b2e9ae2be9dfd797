"""Stand-ins for leaves, clients and the path to the store, and the hosts.

The store is the project's own stand-in, test/soak/standins.py.
"""
import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "test", "soak"))

from standins import Server, Store, read_message, write_reply  # noqa: E402,F401

PROGRAM = os.path.join(ROOT, "target", "nutmegpickd", "nutmegpickd")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.toml.in")


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class Record:
    """Writes record.txt: one line for each thing that was seen."""

    def __init__(self, path):
        self.out = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.out.write(f"{self.now():8.3f} {text}\n")


class SlotLeaf(Server):
    """Leaf that runs up to `slots` requests and queues up to `queue` more.

    It drops a request whose connection closes, and rejects one that finds the
    queue full or whose deadline has passed in the queue. work_s holds the
    shortest and the longest time of a run.
    """

    def __init__(self, service, name, zone, record, slots, queue, work_s):
        self.service = service
        self.name = name
        self.zone = zone
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.random = random.Random(name)
        self.running = 0
        self.waiting = []
        self.readers = {}
        self.sequence = 0
        # Time of arrival, begin and end of the runs, by request id.
        self.arrived = {}
        self.began = {}
        self.ended = {}

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": state, "warmup_left_ms": 0,
                "sequence": self.sequence, "born": 1700000000000}

    def register(self, store, state="ready"):
        store.put(f"servers/{self.name}", self.entry(state))

    def load(self):
        return ("Nutmegpick-Server-Load",
                f"{self.running},{len(self.waiting)},{self.slots}")

    def body(self, request_id):
        return f"{self.service} {request_id}\n".encode() * 8

    async def serve(self, reader, writer):
        self.readers[writer] = reader
        try:
            await super().serve(reader, writer)
        finally:
            del self.readers[writer]

    async def wait_for_slot(self, request_id, deadline_s, writer):
        """Returns whether a slot was taken before the caller has gone."""
        end = time.monotonic() + deadline_s
        self.waiting.append(request_id)
        try:
            while time.monotonic() < end and \
                    not self.readers[writer].at_eof():
                if self.running < self.slots and \
                        self.waiting[0] == request_id:
                    return True
                await asyncio.sleep(0.002)
            return False
        finally:
            self.waiting.remove(request_id)

    async def run(self, request_id, deadline_s, writer):
        """Returns whether the request was run."""
        if not await self.wait_for_slot(request_id, deadline_s, writer):
            return False
        self.running += 1
        self.began[request_id] = self.record.now()
        self.record(f"leaf {self.name} begins {request_id}")
        try:
            await asyncio.sleep(self.random.uniform(*self.work_s))
        finally:
            self.running -= 1
            self.ended[request_id] = self.record.now()
            self.record(f"leaf {self.name} ends {request_id}")
        return True

    async def handle(self, request, writer):
        request_id = request.headers.get("nutmegpick-request-id", "")
        echo = [("Nutmegpick-Request-Id", request_id)]
        if request.headers.get("nutmegpick-expect-instance") != self.name:
            write_reply(writer, 421, b"", echo)
            return True
        self.arrived[request_id] = self.record.now()
        self.record(f"leaf {self.name} gets {request_id}")
        deadline_s = int(request.headers.get("nutmegpick-request-deadline",
                                             "60000")) / 1000
        full = self.running >= self.slots and len(self.waiting) >= self.queue
        if full or not await self.run(request_id, deadline_s, writer):
            self.record(f"leaf {self.name} rejects {request_id}")
            write_reply(writer, 503, b"", echo + [
                ("Nutmegpick-Not-Executed", "1"), self.load()])
            return True
        write_reply(writer, 200, self.body(request_id), echo + [
            ("Nutmegpick-Response-Stamp", f"{self.service}.{request_id}"),
            self.load()])
        return True


class StorePath:
    """TCP proxy between one host and the store; silent while it is cut."""

    def __init__(self, target):
        self.target = target
        self.opened = asyncio.Event()
        self.opened.set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def cut(self):
        self.opened.clear()

    def heal(self):
        self.opened.set()

    async def copy(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.opened.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        await self.opened.wait()
        ip, port = self.target.rsplit(":", 1)
        try:
            there = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.copy(reader, there[1]),
                             self.copy(there[0], writer))


class Host:
    """One nutmegpickd, started as the deploy file says."""

    def __init__(self, folder, name, ip, zone, zones, store, extra_calls=54,
                 cores=0.25, grace_s=6):
        self.folder = folder
        self.name = name
        self.ip = ip
        self.process = None
        self.http = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.metrics = f"{ip}:{free_port(ip)}"
        self.peer = f"{ip}:{free_port(ip)}"
        domains = ",".join(f'"{z}={r}"' for z, r in zones.items())
        self.path = os.path.join(folder, f"{name}.toml")
        with open(self.path, "w") as out:
            out.write(f'[host]\nid = "{name}"\ndomain = "{zone}"\n'
                      f'domains = [ {domains} ]\ncores = "{cores}"\n\n'
                      f'[listen]\nhttp = "{self.http}"\n'
                      f'ready = "{self.ready}"\n'
                      f'metrics = "{self.metrics}"\n'
                      f'peer = "{self.peer}"\n\n'
                      f'[registry]\nstore = "{store}"\n\n'
                      f'[budget]\nextra_calls = "{extra_calls}"\n\n'
                      '[lifecycle]\ndrain_delay = "2200ms"\n'
                      f'grace = "{grace_s}s"\n')

    async def start(self):
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, stdout=log, stderr=log, cwd=ROOT,
            env={"NUTMEGPICK_BOOT": self.path,
                 "PATH": os.environ.get("PATH", "")})
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self):
        ip, port = self.ready.rsplit(":", 1)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            reply = await asyncio.wait_for(read_message(reader), 1)
            return reply.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    async def end(self):
        if not self.process or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.process.kill()
        await self.process.wait()


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="review-")


def run_case(folder, run):
    """Runs a case and exits with its code, or with 2 if it fails itself.

    run() gets the record and a temporary folder; it ends what it starts.
    """
    async def main():
        # run.sh ends a case that takes too long; run() then ends its hosts.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        record = Record(os.path.join(folder, "record.txt"))
        with temporary_folder() as temporary:
            return await run(record, temporary)

    try:
        code = asyncio.run(main())
    except asyncio.CancelledError:
        code = 2
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
