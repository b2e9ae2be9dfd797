#!/usr/bin/env python3
"""Sends requests with and without keys to hosts whose configuration names
organisations; prints who is served, what leaves and other hosts get to see, and
whether a key shows up anywhere.

Usage: organisations.py NUTMEGPICKD
"""
import argparse
import asyncio
import glob
import os
import re
import signal
import sys
import urllib.request

from soak import SHARDS, WAIT_MS, Soak
from standins import read_message

HOSTS = 3
# Hosts of this test that only record what other hosts send to them. With all of
# them the region is so large that only some hosts gather. With TAP_BATCH alone,
# which is in the domain d1, every host gathers and sends batches there.
TAPS = 4
TAP_BATCH = 1
ACME = "k3y-acme-5d0c11"
BOLT = "k3y-bolt-e7f204"
UNKNOWN = "k3y-none-90aa3e"
# A version is in force on every host after this time.
APPLY_S = 2
REVOKE_MS = 2500
# Frame of the type 85 with its 13 fields, and the bit that marks a batch.
GATHER_HEAD = b"\x9e\x55"
BATCH_BIT = 1 << 62


class Organisations(Soak):
    def __init__(self, program):
        super().__init__(argparse.Namespace(program=program, seed=1,
                                            hosts=HOSTS, port=18800))
        self.tenants = None
        self.requests = []
        self.recorded = bytearray()
        self.number = 0

    def handle_run(self, leaf, request):
        self.requests.append(request.headers)
        return super().handle_run(leaf, request)

    def route(self, name, target):
        return {"name": name, "host": "soak.example", "prefix": f"/{name}/",
                "kind": "safe", "timeout_ms": WAIT_MS, "latency_goal_ms": 400,
                "priority": 1, "max_attempts": 2, "top_k": 5,
                "min_shard_share": 0.6, **target}

    def configuration(self):
        shards = [f"shard{i}" for i in range(SHARDS)]
        self.version += 1
        config = {
            "version": self.version,
            "routes": [self.route("g", {"gather": shards}),
                       self.route("b", {"service": "book"}),
                       self.route("open", {"service": "book",
                                           "public": True})],
            "services": [{"name": s, "max_conns": 64}
                         for s in shards + ["book"]]}
        if self.tenants is not None:
            config["tenants"] = [{"name": n, "api_keys": k}
                                 for n, k in self.tenants.items()]
        return config

    async def publish(self):
        self.store.put("op/config", self.configuration())

    async def apply(self, tenants):
        self.tenants = tenants
        await self.publish()
        await asyncio.sleep(APPLY_S)

    def write_settings(self, i):
        path = super().write_settings(i)
        with open(path, "a") as out:
            out.write('[organisations]\nrevoke_strict = "true"\n'
                      f'revoke_ms = "{REVOKE_MS}"\n[log]\nlevel = "debug"\n')
        return path

    async def send_request(self, i, path, headers):
        self.number += 1
        reader, writer = await asyncio.open_connection(self.host_address(i),
                                                       self.args.port)
        lines = [f"GET /{path}/x HTTP/1.1", "Host: soak.example",
                 f"Nutmegpick-Request-Id: {i}-{self.number}",
                 f"Nutmegpick-Request-Deadline: {WAIT_MS}",
                 "Nutmegpick-Tenant-Id: forged", *headers, "", ""]
        writer.write("\r\n".join(lines).encode())
        reply = await asyncio.wait_for(read_message(reader), WAIT_MS / 1000 + 1)
        writer.close()
        if any(k in reply.body.decode("latin-1") for k in
               (ACME, BOLT, UNKNOWN)):
            self.fail(f"{path}: a key in the answer")
        return reply

    async def send_to_all(self, path, key=None):
        """Returns the statuses of all hosts, and what leaves were told."""
        self.requests = []
        headers = [f"Authorization: Bearer {key}"] if key else []
        replies = await asyncio.gather(*[self.send_request(i, path, headers)
                                         for i in range(HOSTS)])
        told = {(r.get("authorization", "-"),
                 r.get("nutmegpick-tenant-id", "-")) for r in self.requests}
        return sorted({r.status for r in replies}), sorted(told)

    async def record(self, reader, _):
        while data := await reader.read(65536):
            self.recorded += data

    def tap_ip(self, i):
        return f"127.0.4.{i + 1}"

    async def start_taps(self):
        for i in range(TAPS):
            await asyncio.start_server(self.record, self.tap_ip(i),
                                       self.args.port)

    def register_taps(self, numbers, capacity):
        """Leaves the region with these taps.

        The hosts with the largest capacity gather for the others.
        """
        for i in range(TAPS):
            if i not in numbers:
                self.store.remove(f"nutmegpick/hosts/tap-{i}")
                continue
            self.store.put(f"nutmegpick/hosts/tap-{i}", {
                "address": f"{self.tap_ip(i)}:{self.args.port}",
                "domain": f"d{i % 2}", "capacity": capacity})

    def keep_to_domain(self, domain):
        """Leaves the shards with leaves of one failure domain only."""
        for leaf in self.leaves:
            if leaf.domain != domain and leaf.service != "book":
                self.store.remove(leaf.key)

    def recorded_ids(self):
        """Returns the ids of the recorded requests of other hosts."""
        parts = bytes(self.recorded).split(GATHER_HEAD)[1:]
        return [int.from_bytes(p[1:9], "big") if p[0] == 0xcf else p[0]
                for p in parts]

    def logs(self):
        out = ""
        for path in glob.glob(os.path.join(self.folder.name, "*.log")):
            with open(path) as file:
                out += file.read()
        return out

    def metrics(self):
        out = ""
        for i in range(HOSTS):
            url = (f"http://{self.host_address(i)}:{self.args.port + 3}"
                   "/metrics")
            out += urllib.request.urlopen(url, timeout=5).read().decode()
        return out


async def check_callers(soak):
    print("no organisations:", await soak.send_to_all("b", ACME))
    await soak.apply({"acme": [ACME], "bolt": [BOLT]})
    print("acme:", await soak.send_to_all("b", ACME))
    print("bolt, gathered:", await soak.send_to_all("g", BOLT))
    print("public:", await soak.send_to_all("open"))
    print("no key:", await soak.send_to_all("b"))
    print("unknown key:", await soak.send_to_all("open", UNKNOWN))


async def check_forwarded(soak):
    """Lets two of the hosts gather for the others."""
    await soak.start_taps()
    soak.register_taps(range(TAPS), 0)
    await asyncio.sleep(APPLY_S)
    for _ in range(5):
        result = await soak.send_to_all("g", ACME)
        await asyncio.sleep(0.2)
    log = soak.logs()
    print("forwarded:", result, "handed on", "N721" in log,
          "refused", log.count("N740"), log.count("reason=refused"))


async def check_frames(soak):
    """Lets hosts hand requests to hosts that record them."""
    soak.register_taps(range(TAPS), 1000000)
    await asyncio.sleep(APPLY_S)
    for _ in range(8):
        await soak.send_to_all("g", ACME)
        await asyncio.sleep(0.5)
    soak.register_taps([TAP_BATCH], 1000000)
    soak.keep_to_domain("d1")
    await asyncio.sleep(APPLY_S + 3)
    for _ in range(8):
        await soak.send_to_all("g", ACME)
        await asyncio.sleep(0.5)
    soak.register_taps([], 0)
    for leaf in soak.leaves:
        leaf.register(soak.store)
    ids = soak.recorded_ids()
    print("recorded: forwarded", any(not n & BATCH_BIT for n in ids),
          "batches", any(n & BATCH_BIT for n in ids),
          "organisation", b"\xa4acme" in soak.recorded,
          "key", ACME.encode() in soak.recorded,
          "forged", b"forged" in soak.recorded)
    await asyncio.sleep(APPLY_S)


async def check_revoked(soak):
    await soak.apply({"acme": [], "bolt": [BOLT]})
    print("revoked:", await soak.send_to_all("b", ACME))
    print("not revoked:", await soak.send_to_all("b", BOLT))


async def check_refused(soak):
    """Publishes configurations with faults beside a key."""
    soak.tenants = {"acme": [ACME], "bolt": [ACME]}
    await soak.publish()
    await asyncio.sleep(APPLY_S)
    soak.store.put_bytes("op/config", b'{"tenants":[{"api_keys":["%s" "x"]}]}'
                         % ACME.encode())
    await asyncio.sleep(APPLY_S)
    log = soak.logs()
    print("refused:", "organisations acme and bolt have the same key" in log,
          log.count("N702") == 2 * HOSTS)


async def check_stale(soak):
    """Cuts all hosts off the store."""
    for proxy in soak.proxies:
        proxy.mode = "reset"
    await asyncio.sleep(REVOKE_MS / 1000 + 4)
    print("cut off:", await soak.send_to_all("b", BOLT))
    print("cut off, public:", await soak.send_to_all("open"))
    for proxy in soak.proxies:
        proxy.mode = "ok"
    for _ in range(100):
        statuses, _ = await soak.send_to_all("b", BOLT)
        if statuses == [200]:
            break
        await asyncio.sleep(0.1)
    print("back:", statuses)


async def main():
    soak = Organisations(sys.argv[1])
    await soak.start()
    await asyncio.sleep(APPLY_S)
    await check_callers(soak)
    await check_forwarded(soak)
    await check_frames(soak)
    await check_revoked(soak)
    await check_refused(soak)
    await check_stale(soak)
    metrics = soak.metrics()
    print("metrics:", all(re.search(text, metrics) for text in (
        'organisation_answers_total{organisation="bolt",status="2xx"} [1-9]',
        'nutmegpick_caller_refusals_total{cause="unknown"} [1-9]')))
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    text = soak.logs() + metrics
    print("keys in logs and metrics:",
          [k for k in (ACME, BOLT, UNKNOWN, "k3y") if k in text])
    print("faults:", soak.failures)


if __name__ == "__main__":
    asyncio.run(main())
