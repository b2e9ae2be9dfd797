#!/usr/bin/env python3
"""Writes odd entries among those of leaves; prints whether hosts follow the
list all the same.

Usage: odd_entries.py NUTMEGPICKD
"""
import argparse
import asyncio
import json
import signal
import sys

from soak import Soak
from standins import Leaf

HOSTS = 3
ROUNDS = 5
# Time in which a host uses a leaf that has been added.
APPLY_S = 3


def odd_entries(leaf):
    """Yields values of other writers, most of them like a leaf's own."""
    entry = {"service": "book", "address": leaf.address, "zone": "d0",
             "version": "v1", "slots": 4, "state": "ready",
             "warmup_left_ms": 0, "sequence": 1, "born": 1}
    for depth in (100, 2040, 100000):
        yield b"[" * depth + b"]" * depth
        yield b'{"slots":' * depth + b"1" + b"}" * depth
        yield b"[" * depth
    for field, value in (("slots", 1 << 32), ("slots", (1 << 63) - 1),
                         ("slots", 10 ** 40), ("slots", 0),
                         ("warmup_left_ms", (1 << 63) - 1),
                         ("sequence", 10 ** 30), ("sequence", (1 << 63) - 1),
                         ("born", -1), ("born", (1 << 63) - 1),
                         ("address", "127.0.0.1:70000"),
                         ("address", "127.0.0.1:99999999999999999999"),
                         ("address", "0.0.0.0:1"), ("zone", "d0\r\nx")):
        yield json.dumps(dict(entry, **{field: value})).encode()
    yield json.dumps(entry).replace('"slots": 4', '"slots": 1e999').encode()
    yield b"\xff\xfe\x00"
    yield b""


async def serves(soak, path, request_id):
    """Returns how many hosts answer a request with success."""
    count = 0
    for i in range(HOSTS):
        try:
            reply = await soak.call(i, "GET", path, f"{request_id}-{i}")
            count += reply.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
    return count


async def replace_leaves(soak, n):
    """Replaces all leaves of a service; hosts have to follow the list."""
    old = [leaf for leaf in soak.leaves if leaf.service == "book"]
    for k in range(3):
        leaf = Leaf("book", f"new-{n}-{k}", f"d{k % 2}", soak)
        await leaf.start(f"127.0.4.{3 * n + k + 1}")
        leaf.register(soak.store)
        soak.leaves.append(leaf)
    for leaf in old:
        soak.store.remove(leaf.key)
        soak.leaves.remove(leaf)
    await asyncio.sleep(APPLY_S)
    for leaf in old:
        leaf.server.close()


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=HOSTS,
                                   port=18460))
    await soak.start()
    await asyncio.sleep(2)
    path = f"/v{soak.version}/x"
    print("served before:", await serves(soak, path, "before"))
    served = []
    for n in range(ROUNDS):
        for k, value in enumerate(odd_entries(soak.leaves[-1])):
            key = f"servers/odd-{k}"
            if n == 3:
                key = f"servers/odd {k}\r\nX: y"
            elif n == 4:
                key = soak.leaves[k % len(soak.leaves)].key
            soak.store.put_bytes(key, value)
        if n == 4:
            for leaf in soak.leaves:
                leaf.register(soak.store)
        await replace_leaves(soak, n)
        served.append(await serves(soak, path, f"r{n}"))
    print("served after each round:", served)
    print("running:", [p.returncode for p in soak.processes])
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    await soak.start_host(0)
    await asyncio.sleep(2)
    print("served after a restart:", await serves(soak, path, "restart"))
    await soak.stop_host(0, signal.SIGTERM)


asyncio.run(main())
