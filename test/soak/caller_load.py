#!/usr/bin/env python3
"""Loads real hosts with callers of organisations; prints what callers get.

Hosts share leaves of limited capacity, which are asyncio stand-ins. Requests
arrive at random at a rate that does not depend on the answers. After a warm-up
at 0.7 of the capacity the load is offered; its callers count. The output is a
line as that of bench/triage-load, for bench/triage-load.jq. The figures depend
on the machine; this is no test.

Usage: caller_load.py NUTMEGPICKD [--mode MODE] [--load X] [--seed N]
                      [--organisations N] [--quota FACTOR] [--regional]
                      [--unknown SHARE] [--excess FACTOR] [--port P]
"""
import argparse
import asyncio
import collections
import json
import math
import signal
import time

from soak import Soak
from standins import HEALTH_PATH, Leaf, read_message, write_reply

HOSTS = 3
SHARDS = 3
DOMAINS = {"d0": "north", "d1": "south", "d2": "west"}
SLOTS = 1
QUEUE_MAX = 6
WARM_UP_LOAD = 0.7
WARM_UP_S = 12
RUN_S = 10
START_S = 3
SKEW = 1.2
LATE_WORTH = 0.15
WORK_SPREAD = 0.25

Route = collections.namedtuple("Route", "share work_s goal_s timeout_s "
                               "priority coverage")
ROUTES = {"large": Route(0.57, 0.028, 0.4, 4, 1, 0.95),
          "small": Route(0.43, 0.0092, 0.12, 2, 0, 0.6)}


class LoadLeaf(Leaf):
    """Runs SLOTS calls at a time, for the time that their route takes."""

    def __init__(self, *args):
        super().__init__(*args)
        self.slots = asyncio.Semaphore(SLOTS)
        self.running = 0
        self.waiting = 0

    def register(self, store):
        self.sequence += 1
        store.put(self.key, {
            "service": self.service, "address": self.address,
            "zone": self.domain, "version": "v1", "slots": SLOTS,
            "state": "ready", "warmup_left_ms": 0,
            "sequence": self.sequence, "born": 1})

    async def handle(self, request, writer):
        if request.target == HEALTH_PATH:
            write_reply(writer, 200, b"")
            return True
        request_id = request.headers.get("nutmegpick-request-id", "")
        headers = [("Nutmegpick-Request-Id", request_id)]
        self.owner.check_region(self, request)
        if self.waiting >= QUEUE_MAX:
            write_reply(writer, 503, b"", headers +
                        [("Nutmegpick-Not-Executed", "1")])
            return True
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            self.running += 1
            await asyncio.sleep(self.owner.work(request_id))
            self.running -= 1
        write_reply(writer, 200, b"", headers + [
            ("Nutmegpick-Response-Stamp", f"{self.service}.{request_id}"),
            ("Nutmegpick-Server-Load",
             f"{self.running},{self.waiting},{SLOTS}")])
        return True


class CallerLoad(Soak):
    def __init__(self, args):
        args.features = ""
        args.hosts = HOSTS
        super().__init__(args)
        self.domains = DOMAINS
        # The mean of a log-normal distribution exceeds its median.
        mean = sum(r.share * r.work_s for r in ROUTES.values()) * \
            math.exp(WORK_SPREAD ** 2 / 2)
        self.capacity_per_s = len(DOMAINS) * SLOTS / mean
        weights = [(n + 1) ** -SKEW for n in range(args.organisations)]
        self.shares = [w / sum(weights) for w in weights]
        self.works = {}
        self.outside = 0
        self.number = 0
        self.routes = {}
        self.organisations = {}

    # Leaves

    def work(self, request_id):
        return self.works.get(request_id, 0)

    def check_region(self, leaf, request):
        if self.args.regional and leaf.domain != "d0" and \
                request.headers.get("nutmegpick-tenant-id") == "o0":
            self.outside += 1

    # Configuration

    async def publish(self):
        shards = [f"shard{i}" for i in range(SHARDS)]
        config = {
            "version": 1,
            "services": [{"name": s, "health_path": HEALTH_PATH,
                          "max_conns": 64} for s in shards],
            "routes": [
                {"name": name, "host": "load.example", "prefix": f"/{name}/",
                 "kind": "safe", "timeout_ms": r.timeout_s * 1000,
                 "latency_goal_ms": round(r.goal_s * 1000),
                 "priority": r.priority, "gather": shards, "max_attempts": 2,
                 "top_k": 1, "min_shard_share": r.coverage}
                for name, r in ROUTES.items()]}
        if self.shares:
            config["tenants"] = [self.organisation(n)
                                 for n in range(len(self.shares))]
        self.store.put("op/config", config)

    def organisation(self, n):
        out = {"name": f"o{n}", "api_keys": [f"key-{n}"]}
        usual = WARM_UP_LOAD * self.capacity_per_s * self.shares[n]
        if self.args.quota:
            out["rate_per_s"] = out["burst"] = self.args.quota * usual
        if self.args.regional and n == 0:
            out["allowed_regions"] = [DOMAINS["d0"]]
        return out

    def write_settings(self, i):
        path = super().write_settings(i)
        with open(path, "a") as out:
            out.write(f'[triage]\nmode = "{self.args.mode}"\n')
        return path

    async def start(self):
        await self.store.start("127.0.1.1")
        for n in range(SHARDS * len(DOMAINS)):
            leaf = LoadLeaf(f"shard{n // len(DOMAINS)}", f"leaf-{n}",
                            f"d{n % len(DOMAINS)}", self)
            await leaf.start(f"127.0.2.{n + 1}")
            leaf.register(self.store)
            self.leaves.append(leaf)
        await self.start_proxies()
        await self.publish()
        for i in range(HOSTS):
            await self.start_host(i)

    # Callers

    async def request(self, name, key, left_s):
        self.number += 1
        i = self.number % HOSTS
        request_id = f"{i}-load-{self.number}"
        self.works[request_id] = self.random.lognormvariate(
            math.log(ROUTES[name].work_s), WORK_SPREAD)
        lines = [f"GET /{name}/x HTTP/1.1", "Host: load.example",
                 f"Nutmegpick-Request-Id: {request_id}",
                 f"Nutmegpick-Request-Deadline: {left_s * 1000:.0f}"]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                self.host_address(i), self.args.port)
            writer.write("\r\n".join(lines + ["", ""]).encode())
            return await asyncio.wait_for(read_message(reader), left_s + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            del self.works[request_id]
            if writer:
                writer.close()

    async def run_request(self, name, organisation, is_counted):
        """Sends a request, and once more if it is refused for a short time."""
        route = ROUTES[name]
        start = time.monotonic()
        key = None
        if organisation is not None:
            key = f"key-{organisation}"
            if self.random.random() < self.args.unknown:
                key = "removed"
        for attempt in range(2):
            left = start + route.timeout_s - time.monotonic()
            reply = await self.request(name, key, left)
            if attempt or reply is None or reply.status not in (429, 503):
                break
            left = start + route.timeout_s - time.monotonic()
            after = float(reply.headers.get("retry-after", left))
            if after > left / 3:
                break
            await asyncio.sleep(after)
        if is_counted:
            self.count_outcome(name, organisation, reply,
                               time.monotonic() - start <= route.goal_s)

    def count_outcome(self, name, organisation, reply, is_in_goal):
        groups = [self.routes.setdefault(name, collections.Counter())]
        if organisation is not None:
            groups.append(self.organisations.setdefault(
                f"o{organisation}", collections.Counter()))
        worth = 0
        cause = f"{reply.status if reply else 502}"
        if reply and reply.status == 200:
            missing = int(reply.headers.get("nutmegpick-missing-parts", "0"))
            worth = (1 - missing / SHARDS) ** 2 * \
                (1 if is_in_goal else LATE_WORTH)
            cause = "in_goal" if is_in_goal else "late"
        for group in groups:
            group.update({"callers": 1, "worth": worth, cause: 1})

    def rates(self, load):
        """Returns the requests a second by route and organisation."""
        per_s = load * self.capacity_per_s
        return {(name, n): per_s * r.share * (share or 1)
                for name, r in ROUTES.items()
                for n, share in enumerate(self.shares or [0])}

    async def press(self, rates, seconds, is_counted):
        """Sends requests at the times of a Poisson process."""
        kinds = list(rates)
        total = sum(rates.values())
        tasks = []
        at = time.monotonic()
        end = at + seconds
        while (at := at + self.random.expovariate(total)) < end:
            await asyncio.sleep(max(0, at - time.monotonic()))
            name, n = self.random.choices(kinds, list(rates.values()))[0]
            tasks.append(asyncio.create_task(self.run_request(
                name, n if self.shares else None, is_counted)))
        return tasks

    async def run_load(self):
        await self.start()
        await asyncio.sleep(START_S)
        tasks = await self.press(self.rates(WARM_UP_LOAD), WARM_UP_S, False)
        rates = self.rates(self.args.load)
        if self.args.excess:
            rates = {k: v * (self.args.excess if k[1] == 0 else 1)
                     for k, v in rates.items()}
        tasks += await self.press(rates, RUN_S, True)
        await asyncio.gather(*tasks)
        for i in range(HOSTS):
            await self.stop_host(i, signal.SIGTERM)
        counts = self.routes.values()
        print(json.dumps({
            "case": self.args.case, "mode": self.args.mode,
            "load": self.args.load, "seed": self.args.seed, "seconds": RUN_S,
            "callers": sum(c["callers"] for c in counts),
            "worth": sum(c["worth"] for c in counts), "outside": self.outside,
            "routes": self.routes, "organisations": self.organisations}))


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--case", default="daemon")
    parser.add_argument("--mode", default="organisations")
    parser.add_argument("--load", type=float, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--organisations", type=int, default=0)
    parser.add_argument("--quota", type=float, default=0)
    parser.add_argument("--regional", action="store_true")
    parser.add_argument("--unknown", type=float, default=0)
    parser.add_argument("--excess", type=float, default=0)
    parser.add_argument("--port", type=int, default=19640)
    asyncio.run(CallerLoad(parser.parse_args()).run_load())


if __name__ == "__main__":
    main()
