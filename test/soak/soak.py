#!/usr/bin/env python3
"""Runs real hosts against stand-ins, injects faults and checks for failures.

All checks are for safety: an answer is complete and belongs to its request, a
non-idempotent request runs at most once, a request reported as not run did not
run, and the version of a host never falls.
The seed chooses the features of the platform that a run enables.
Usage: soak.py NUTMEGPICKD [--seed N] [--seconds S] [--hosts N]
               [--features NAME,...] [--port P] [--logs FOLDER]
"""
import argparse
import asyncio
import atexit
import hashlib
import os
import random
import shutil
import signal
import sys
import tempfile
import time

import features
from feature_organisations import Organisations, Quotas
from feature_places import REGIONS, ColdLeaves, Evacuations, Regions
from feature_returns import Returns
from heads import Heads
from lives import Life, Load, Lost, find_socket
from standins import HEALTH_PATH, Leaf, Proxy, Store, read_message

SHARDS = 6
TOP_K = 5
WAIT_MS = 2000
# The platform's rule on calls to a leaf that names a rate limit.
RATE_WINDOW_S = 4
RATE_TOLD_S = 0.5
RATE_EXCUSED_S = 3
STOP_GRACE_S = 6
START_S = 0.5
# Time after which a request counts as never answered. A busy machine stopped
# all hosts for up to 3.6 s, so answers may come later than their deadline.
ANSWER_MAX_S = 30
# Features by name, in the order in which they add to a configuration.
FEATURES = {"organisations": Organisations, "quotas": Quotas,
            "regions": Regions, "evacuations": Evacuations,
            "cold": ColdLeaves, "returns": Returns}
# Routes that gather; the others have one upstream.
GATHER_KINDS = "gn"
# Longest pause of a caller; its connections stay open meanwhile.
PAUSE_MAX_S = 1.5


def records(service, request_id):
    """Returns the records with which any leaf of a service replies."""
    out = []
    for i in range(8):
        digest = hashlib.md5(f"{service}/{request_id}/{i}".encode()).digest()
        out.append(digest)
    return out


class Soak:
    def __init__(self, args):
        self.args = args
        self.random = random.Random(args.seed)
        self.failures = []
        self.runs = {}
        self.refused = set()
        self.counts = {}
        self.version = 0
        self.seen_versions = {}
        self.started = {}
        self.faulty_hosts = set()
        # Process that a host runs now, by its number.
        self.lives = {}
        # End of the last fault of a host, by its number as text.
        self.excused = {}
        self.all_processes = []
        atexit.register(self.kill_remaining)
        self.store = Store()
        self.leaves = []
        self.proxies = []
        self.processes = [None] * args.hosts
        self.ended = False
        names = features.choose(args.seed, FEATURES,
                                getattr(args, "features", ""))
        # Regions of the failure domains.
        self.domains = REGIONS if {"regions", "evacuations"} & set(names) \
            else {"d0": "north", "d1": "north"}
        self.features = [FEATURES[name](self) for name in names]
        self.kinds = ["n", "s"] if "regions" in names else []
        self.fault_gap_s = 0.4
        if names:
            args.seconds = max(args.seconds, features.RUN_S)
        if "quotas" in names:
            args.seconds = max(args.seconds, features.QUOTA_RUN_S)
            self.fault_gap_s = features.QUOTA_FAULT_GAP_S
        self.calls = {}
        # Processes that have called leaves, by the ends of the connection.
        self.callers = {}
        self.load = Load(self)
        self.heads = Heads(self)
        self.verdicts = []
        self.folder = tempfile.TemporaryDirectory()

    def kill_remaining(self):
        """Kills the hosts that still run when the soak exits.

        A later run uses the same addresses.
        """
        for process in self.all_processes:
            if process.returncode is None:
                try:
                    os.kill(process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass

    def fail(self, text):
        self.failures.append(text)
        print("FAULT", text, flush=True)
        self.note(f"FAULT {text}")

    def note(self, text):
        """Adds a line to the log of the run, which is kept if it fails."""
        with open(os.path.join(self.folder.name, "soak.log"), "a") as log:
            log.write(f"{time.time():.4f} {text}\n")

    def suspect(self, text, at, since_s, host=None):
        """Fails for the breach of a time bound, unless load explains it.

        The bound holds if the soak, and the host if one is given, got the
        processor in the time since_s before the breach.
        """
        self.verdicts.append(asyncio.create_task(
            self.judge(text, at, since_s, host)))

    async def judge(self, text, at, since_s, host):
        await asyncio.sleep(1)
        if self.load.was_short(at - since_s, at, host):
            self.count("excused_load")
            self.note(f"excused by load: {text}")
        else:
            self.fail(text)

    def was_faulty(self, host, within_s, now):
        """Returns whether a host or its way to the store had a fault lately.

        None stands for a host that has ended.
        """
        if host is None:
            return True
        proxy = self.proxies[host]
        return host in self.faulty_hosts or proxy.mode != "ok" or \
            now < self.excused.get(str(host), 0) + within_s or \
            now < proxy.ok_since + within_s or \
            now < self.lives[host].started_at + within_s

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def keep_logs(self):
        target = os.path.realpath(os.path.join(
            self.args.logs, f"{self.args.seed}-{self.args.port}-{os.getpid()}"))
        shutil.copytree(self.folder.name, target)
        print(f"seed {self.args.seed}: logs in {target}")

    # Leaves

    def check_arrival(self, leaf, request, link):
        call = self.calls.get(request.headers.get("nutmegpick-request-id"))
        if call:
            call.link = link
        for feature in self.features if call else ():
            feature.check_arrival(leaf, request, call, time.monotonic())

    def find_caller(self, link, is_fresh=True):
        """Returns the number of the host that has called a leaf.

        It need not be the host of the caller, as hosts gather for others. None
        if that process has ended. If not is_fresh, an earlier connection with
        the same ends may be meant.
        """
        if is_fresh or self.callers.get(link) not in self.lives.values():
            inode = find_socket(*link)
            self.callers[link] = next(
                (life for life in self.lives.values()
                 if inode and life.owns(inode)), None)
        life = self.callers[link]
        return life and life.host

    def leaf_load(self):
        """Returns the load that a leaf tells, sometimes with its slowness."""
        if not self.features:
            return "1,0,4"
        return "1,0,4" + self.random.choice(["", ",100", ",250", ",0", ",x"])

    def has_run(self, request_id):
        return any(self.runs.get((request_id, leaf.service))
                   for leaf in self.leaves)

    def handle_run(self, leaf, request):
        request_id = request.headers.get("nutmegpick-request-id", "")
        key = (request_id, leaf.service)
        self.runs[key] = self.runs.get(key, 0) + 1
        if request.method == "POST" and self.runs[key] > 1:
            self.fail(f"{request_id} ran {self.runs[key]} times")
        if request_id in self.refused and request.method == "POST":
            self.fail(f"{request_id} ran after a refusal")
        call = self.calls.get(request_id)
        for feature in self.features if call else ():
            feature.check_run(leaf, call, time.monotonic())
        body = b"".join(records(leaf.service, request_id))
        return f"{leaf.service}.{request_id}", body

    def check_rate(self, leaf, request):
        """Checks the calls to a leaf with a limit in each window of the rule.

        Calls count from half a second after the leaf has told their host, but
        not those of a host that was faulty shortly before.
        """
        now = time.monotonic()
        host = self.request_host(request)
        told = leaf.told.get(host, now)
        excused = self.excused.get(host, 0)
        if now < told + RATE_TOLD_S or now < excused + RATE_EXCUSED_S or \
                self.is_faulty(host):
            return
        leaf.counted = [t for t in leaf.counted if t > now - RATE_WINDOW_S]
        leaf.counted.append(now)
        most = 1.5 * leaf.limit * RATE_WINDOW_S + 5
        if len(leaf.counted) > most:
            self.fail(f"{leaf.name} got {len(leaf.counted)} calls in "
                      f"{RATE_WINDOW_S} s with a limit of {leaf.limit:g}")

    def request_host(self, request):
        """Returns the number of the host that a caller asked, as text."""
        return request.headers.get("nutmegpick-request-id", "").split("-")[0]

    def note_limit_told(self, leaf, request):
        """Notes that a whole reply has named the rate limit of a leaf."""
        leaf.told.setdefault(self.request_host(request), time.monotonic())

    def is_faulty(self, host):
        return host.isdecimal() and int(host) in self.faulty_hosts

    # Configuration

    async def publish(self):
        self.version += self.random.choice([1, 1, 3])
        shards = [f"shard{i}" for i in range(SHARDS)]
        routes = [
            {"name": "gather", "host": "soak.example", "prefix": "/g/",
             "kind": "safe", "timeout_ms": WAIT_MS, "latency_goal_ms": 400,
             "priority": 1, "gather": shards, "max_attempts": 2,
             "top_k": TOP_K, "min_shard_share": 0.6},
            {"name": "book", "host": "soak.example", "prefix": "/b/",
             "kind": "unsafe", "timeout_ms": WAIT_MS, "latency_goal_ms": 800,
             "priority": 1, "service": "book", "max_attempts": 2},
            {"name": f"v{self.version}", "host": "soak.example",
             "prefix": f"/v{self.version}/", "kind": "safe",
             "timeout_ms": WAIT_MS, "latency_goal_ms": 800, "priority": 1,
             "service": "book", "max_attempts": 2},
        ]
        services = [{"name": s, "health_path": HEALTH_PATH, "max_conns": 64}
                    for s in shards + ["book"]]
        config = {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        for feature in self.features:
            feature.configure(config)
        self.store.put("op/config", config)

    # Hosts

    def host_region(self, i):
        return self.domains[f"d{i % len(self.domains)}"]

    def host_address(self, i):
        return f"127.0.0.{11 + i}"

    def write_settings(self, i):
        path = os.path.join(self.folder.name, f"host{i}.toml")
        ip = self.host_address(i)
        domains = ", ".join(f'"{d}={r}"' for d, r in self.domains.items())
        with open(path, "w") as out:
            out.write(
                f'[host]\nid = "host-{i}"\n'
                f'domain = "d{i % len(self.domains)}"\n'
                f'domains = [{domains}]\ncores = "1"\n'
                f'[listen]\nhttp = "{ip}:{self.args.port}"\n'
                f'ready = "{ip}:{self.args.port + 1}"\n'
                f'peer = "{ip}:{self.args.port + 2}"\n'
                f'metrics = "{ip}:{self.args.port + 3}"\n'
                f'[registry]\nstore = "{self.proxies[i].address}"\n'
                '[budget]\nextra_calls = "50"\n'
                '[lifecycle]\ndrain_delay = "300ms"\nstop_timeout = "2500ms"\n')
        return path

    async def start_host(self, i):
        path = os.path.join(self.folder.name, f"host{i}.log")
        log = open(path, "ab")
        self.seen_versions[i] = 0
        self.started[i] = time.monotonic()
        self.processes[i] = await asyncio.create_subprocess_exec(
            self.args.program, "--settings", self.write_settings(i),
            stdout=log, stderr=log)
        self.all_processes.append(self.processes[i])
        log.close()
        self.lives[i] = Life(i, self.processes[i], path)
        self.note(f"host {i} started as {self.processes[i].pid}")

    def send(self, i, sig):
        self.note(f"host {i} is sent {sig.name}")
        self.lives[i].send(sig)

    async def stop_host(self, i, sig):
        process = self.processes[i]
        self.send(i, sig)
        try:
            await asyncio.wait_for(process.wait(), STOP_GRACE_S)
        except asyncio.TimeoutError:
            self.count("stop_too_long")
            self.send(i, signal.SIGKILL)
            await process.wait()
        self.note(f"host {i} ended with {process.returncode}")
        # Until main() blocks SIGTERM, the signal kills the process.
        is_young = time.monotonic() - self.started[i] < START_S
        if sig == signal.SIGTERM and process.returncode not in (0, -9) and \
                not (is_young and process.returncode == -signal.SIGTERM):
            self.fail(f"host {i} ended with {process.returncode}")

    async def pause_host(self, i, seconds):
        process = self.processes[i]
        self.send(i, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.returncode is None:
            self.send(i, signal.SIGCONT)

    # Callers

    async def connect(self, i, kept):
        """Returns the connection that a caller has kept, or a new one."""
        life = self.lives[i]
        connection = kept.pop(i, None)
        if connection and connection[2] is life and \
                time.monotonic() < connection[3]:
            self.count("reused")
            return (*connection[:2], True)
        if connection:
            connection[1].close()
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(self.host_address(i), self.args.port), 1)
        if self.lives[i] is not life:
            writer.close()
            raise ConnectionError("the host was replaced meanwhile")
        return reader, writer, False

    def keep(self, i, kept, life, connection, sent_at, reply):
        """Keeps a connection for as long as the host has told the caller."""
        told = reply.headers.get("keep-alive", "")
        if reply.headers.get("connection") == "close" or \
                not told.startswith("timeout="):
            connection[1].close()
            return
        kept[i] = (*connection[:2], life,
                   sent_at + float(told[len("timeout="):]))

    async def note_no_answer(self, lost):
        """A host answers what callers send it, unless it was killed."""
        if lost.life.sent_before(signal.SIGKILL, lost.lost_at):
            await lost.life.watcher
        if lost.is_killed():
            self.count("lost_killed")
            self.note(f"killed: {lost.describe()}")
        else:
            self.fail(lost.describe())

    async def call(self, i, method, path, request_id, kept=None, call=None):
        connection = await self.connect(i, {} if kept is None else kept)
        life = self.lives[i]
        reader, writer, is_kept = connection
        sent_at = time.monotonic()
        reply = None
        try:
            body = b"x" * 20 if method == "POST" else b""
            headers = ""
            if call:
                call.sent_at = sent_at
                headers = "".join(f"{k}: {v}\r\n" for k, v in call.headers)
            writer.write((
                f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\n"
                f"Nutmegpick-Request-Id: {request_id}\r\n"
                f"Nutmegpick-Request-Deadline: {WAIT_MS}\r\n"
                f"{headers}Content-Length: {len(body)}\r\n\r\n").encode() +
                body)
            reply = await asyncio.wait_for(read_message(reader), ANSWER_MAX_S)
            if time.monotonic() > sent_at + WAIT_MS / 1000 + 1:
                self.count("late_answer")
            return reply
        except (OSError, asyncio.TimeoutError,
                asyncio.IncompleteReadError) as error:
            await self.note_no_answer(
                Lost(life, request_id, sent_at, is_kept, error))
            raise
        finally:
            if reply and kept is not None:
                self.keep(i, kept, life, connection, sent_at, reply)
            else:
                writer.close()

    def check_gather(self, request_id, reply):
        stamps = reply.headers.get("nutmegpick-part-stamps", "")
        names = [s.strip() for s in stamps.split(",") if s.strip()]
        missing = int(reply.headers.get("nutmegpick-missing-parts", "0"))
        if len(set(names)) != len(names) or len(names) + missing != SHARDS:
            self.fail(f"{request_id}: parts {names}, {missing} missing")
        if len(names) < 0.6 * SHARDS:
            self.fail(f"{request_id}: too few parts {names}")
        expected = []
        for name in names:
            service, _, stamped = name.partition(".")
            if stamped != request_id:
                self.fail(f"{request_id}: part of another request {name}")
            expected += records(service, request_id)
        expected = b"".join(sorted(expected, reverse=True)[:TOP_K])
        if reply.body != expected:
            self.fail(f"{request_id}: wrong records of {names}")

    def check_single(self, request_id, reply):
        stamp = reply.headers.get("nutmegpick-response-stamp", "")
        if stamp != f"book.{request_id}":
            self.fail(f"{request_id}: stamp {stamp}")
        if reply.body != b"".join(records("book", request_id)):
            self.fail(f"{request_id}: wrong body")

    def check_version(self, i, version, reply):
        """Checks that a host which has served a version still has it."""
        if reply.status == 404 and version == self.version and \
                self.seen_versions[i] >= version:
            self.fail(f"host {i} went back below version {version}")
        if reply.status == 200:
            self.seen_versions[i] = max(self.seen_versions[i], version)

    async def run_caller(self, n):
        # Open connections, by the number of the host.
        kept = {}
        while not self.ended:
            i = self.random.randrange(self.args.hosts)
            request_id = (f"{i}-{self.args.seed:x}-{n}-"
                          f"{self.random.getrandbits(48):x}")
            kind = self.random.choice(["g", "g", "b", "v"] + self.kinds)
            version = self.version
            path = f"/v{version}/x" if kind == "v" else f"/{kind}/x?a=b"
            method = "POST" if kind == "b" else "GET"
            process = self.processes[i]
            call = features.Call(i, kind, request_id)
            for feature in self.features:
                feature.prepare(call)
            self.heads.lengthen(call)
            self.calls[request_id] = call
            try:
                reply = await self.call(i, method, path, request_id, kept, call)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
                    ValueError):
                self.count("no_answer")
                await asyncio.sleep(0.05)
                continue
            self.count(f"{kind}_{reply.status}")
            if kind == "v" and process is self.processes[i]:
                self.check_version(i, version, reply)
            for feature in self.features:
                feature.check_reply(call, reply)
            if reply.status == 200 and kind in GATHER_KINDS:
                self.check_gather(request_id, reply)
            elif reply.status == 200:
                self.check_single(request_id, reply)
            elif reply.status in (408, 421, 429, 503) and kind == "b":
                self.refused.add(request_id)
                if self.runs.get((request_id, "book")):
                    self.fail(f"{request_id} refused, but had run")
            await asyncio.sleep(self.random.uniform(
                0, self.random.choice([0.02] * 9 + [PAUSE_MAX_S])))
        for connection in kept.values():
            connection[1].close()

    # Faults

    async def fault_host(self):
        # Faults overlap, but a host has only one at a time.
        free = [i for i in range(self.args.hosts) if i not in self.faulty_hosts]
        i = self.random.choice(free)
        what = self.random.choice(["term", "kill", "pause"])
        if self.processes[i].returncode is not None:
            self.fail(f"host {i} ended by itself: "
                      f"{self.processes[i].returncode}")
            await self.start_host(i)
        self.count(f"fault_{what}")
        self.faulty_hosts.add(i)
        if what == "pause":
            await self.pause_host(i, self.random.uniform(0.2, 1.5))
        else:
            await self.stop_host(
                i, signal.SIGTERM if what == "term" else signal.SIGKILL)
            await self.start_host(i)
        self.excused[str(i)] = time.monotonic()
        self.faulty_hosts.discard(i)

    async def fault_leaf(self):
        # Only few leaves run non-idempotent requests; these leaves get at least
        # half of the faults.
        booking_leaves = [leaf for leaf in self.leaves
                          if leaf.service == "book"]
        leaf = self.random.choice(
            self.random.choice([self.leaves, booking_leaves]))
        leaf.mode = self.random.choice(
            ["slow", "reset", "cut", "head", "shed", "silent", "extra", "error",
             "duplicate"])
        self.count(f"fault_{leaf.mode}")
        await asyncio.sleep(self.random.uniform(0.2, 1.5))
        leaf.mode = "ok"

    async def fault_limit(self):
        """Lets a leaf that is called by every host name a rate limit."""
        leaf = self.random.choice([leaf for leaf in self.leaves
                                   if leaf.service == "book"])
        if leaf.limit is not None:
            return
        leaf.told = {}
        leaf.counted = []
        leaf.limit = self.random.choice([0.5, 1, 5, 20, 50])
        self.count("fault_limit")
        await asyncio.sleep(self.random.uniform(2, 8))
        leaf.limit = None

    async def run_limits(self):
        while not self.ended:
            await self.fault_limit()
            await asyncio.sleep(self.random.uniform(0, 1))

    async def fault_store(self):
        proxy = self.random.choice(self.proxies)
        proxy.mode = self.random.choice(["reset", "silent", "delay"])
        self.count(f"fault_store_{proxy.mode}")
        await asyncio.sleep(self.random.uniform(0.2, 2))
        proxy.mode = "ok"
        proxy.ok_since = time.monotonic()

    async def fault_registry(self):
        leaf = self.random.choice(self.leaves)
        self.store.remove(leaf.key)
        self.count("fault_lapse")
        await asyncio.sleep(self.random.uniform(0.1, 1))
        leaf.register(self.store)

    async def run_faults(self):
        kinds = [self.fault_host, self.fault_leaf, self.fault_leaf,
                 self.fault_store, self.fault_registry, self.publish,
                 self.store.compact]
        while not self.ended:
            await self.random.choice(kinds)()
            await asyncio.sleep(self.random.uniform(0, self.fault_gap_s))

    async def start_proxies(self):
        for i in range(self.args.hosts):
            proxy = Proxy(self.store.address)
            await proxy.start(f"127.0.3.{i + 1}")
            self.proxies.append(proxy)

    async def start(self):
        await self.store.start("127.0.1.1")
        services = [f"shard{i}" for i in range(SHARDS)] + ["book"]
        for n, service in enumerate(s for s in services for _ in range(3)):
            leaf = Leaf(service, f"leaf-{n}", f"d{n % len(self.domains)}",
                        self)
            await leaf.start(f"127.0.2.{n + 1}")
            leaf.register(self.store)
            self.leaves.append(leaf)
        await self.start_proxies()
        await self.publish()
        for i in range(self.args.hosts):
            await self.start_host(i)

    async def run(self):
        """Runs the soak and kills all hosts at its end, also if it fails."""
        try:
            await self.run_all()
        finally:
            for process in self.all_processes:
                if process.returncode is None:
                    process.kill()
                    await process.wait()

    async def run_all(self):
        await self.start()
        tasks = [asyncio.create_task(self.run_caller(n)) for n in range(12)]
        tasks += [asyncio.create_task(self.run_faults()) for _ in range(2)]
        tasks += [asyncio.create_task(self.run_limits()) for _ in range(2)]
        tasks += [asyncio.create_task(self.heads.run()) for _ in range(3)]
        changes = [asyncio.create_task(feature.run())
                   for feature in self.features]
        changes.append(asyncio.create_task(self.load.watch()))
        await asyncio.sleep(self.args.seconds)
        self.ended = True
        results = await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.gather(*self.verdicts)
        for task in changes:
            task.cancel()
        results += await asyncio.gather(*changes, return_exceptions=True)
        for r in results:
            if isinstance(r, Exception) and \
                    not isinstance(r, asyncio.CancelledError):
                self.fail(f"soak itself: {r!r}")
        for i, process in enumerate(self.processes):
            if process.returncode is None:
                await self.stop_host(i, signal.SIGTERM)
            else:
                self.fail(f"host {i} ended by itself: {process.returncode}")
        if not self.counts.get("g_200") or not self.counts.get("b_200"):
            self.fail("nothing was served")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--hosts", type=int, default=6)
    parser.add_argument("--port", type=int, default=18080)
    parser.add_argument("--logs", default=os.path.join(
        os.path.dirname(__file__), "../../out/soak"),
        help="folder for the logs of runs that fail")
    parser.add_argument("--features", help="features of the run in place of "
                        "the seed's choice: " + ",".join(FEATURES))
    soak = Soak(parser.parse_args())
    asyncio.run(soak.run())
    counts = " ".join(f"{k}={v}" for k, v in sorted(soak.counts.items()))
    names = ",".join(name for name, feature in FEATURES.items()
                     if any(isinstance(f, feature) for f in soak.features))
    print(f"seed {soak.args.seed}: {len(soak.failures)} faults; "
          f"features={names or 'none'} {counts}")
    if soak.failures:
        soak.keep_logs()
        sys.exit(1)


if __name__ == "__main__":
    main()
