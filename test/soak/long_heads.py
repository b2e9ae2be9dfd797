#!/usr/bin/env python3
"""Sends requests whose heads reach max_header_bytes in many shapes, under
several values of that limit; prints how many are answered, and whether longer
ones are refused.

Usage: long_heads.py NUTMEGPICKD
"""
import argparse
import asyncio
import base64
import json
import signal
import sys

from soak import WAIT_MS, Soak
from standins import read_message
from withdraw import wait_for_record

LIMITS = [16384, 1024, 40000]
STEPS = 24
# Longest time until a configuration is in force.
APPLY_S = 3
ANSWER_S = 5
SHAPES = {
    "arguments": ("?", "a&", ""),
    "cookies": ("\r\nCookie: ", "c=v; ", ""),
    "headers": ("\r\n", "Name: v\r\n", "Last: v"),
    "one header": ("\r\nLong: ", "v", ""),
    "request id": ("\r\nNutmegpick-Request-Id: 0-", "i", ""),
}


def build(name, kind, size, request_id):
    """Returns a request with a head of about a size, and its id."""
    before, part, after = SHAPES[name]
    method = "POST" if kind == "b" else "GET"
    head = (f"Nutmegpick-Request-Deadline: {WAIT_MS}\r\n"
            f"Host: soak.example\r\nContent-Length: 0\r\n\r\n")
    if name != "request id":
        head = f"Nutmegpick-Request-Id: {request_id}\r\n" + head
    start = f"{method} /{kind}/x"
    version = " HTTP/1.1"
    room = size - len(head + start + version + before + after) - 2
    fill = part * (room // len(part))
    if name == "request id":
        fill = request_id + fill[len(request_id):]
        request_id = "0-" + fill
    text = before + fill + after
    if name == "arguments":
        return (start + text + version + "\r\n" + head).encode(), request_id
    return (start + version + text + "\r\n" + head).encode(), request_id


class LongHeads:
    def __init__(self):
        self.soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1,
                                            hosts=2, port=18440))
        self.number = 0

    async def ask(self, name, kind, size):
        self.number += 1
        text, request_id = build(name, kind, size, f"0-{self.number:x}-")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                self.soak.host_address(self.number % 2), self.soak.args.port,
                limit=1 << 20)
            writer.write(text)
            reply = await asyncio.wait_for(read_message(reader), ANSWER_S)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer:
                writer.close()
        if reply.status == 200 and kind == "g":
            self.soak.check_gather(request_id, reply)
        elif reply.status == 200:
            self.soak.check_single(request_id, reply)
        return reply.status

    async def set_limit(self, limit):
        soak = self.soak
        config = json.loads(base64.b64decode(
            soak.store.items["op/config"]["value"]))
        config["version"] += 1
        config["limits"]["max_header_bytes"] = limit
        soak.store.put("op/config", config)
        await asyncio.sleep(APPLY_S)

    async def run_limit(self, limit):
        await self.set_limit(limit)
        for name in SHAPES:
            statuses = []
            for step in range(STEPS):
                # The shortest heads have no room for a repeated part.
                size = 256 + (limit - 256) * (step + 1) // STEPS
                statuses.append(await self.ask(name, "gb"[step % 2], size))
            above = [await self.ask(name, kind, limit + 64) for kind in "gb"]
            print(f"limit {limit}, {name}: "
                  f"{statuses.count(200)} of {len(statuses)} answered, "
                  f"above the limit {above}", flush=True)

    async def run(self):
        await self.soak.start()
        await wait_for_record(self.soak)
        while await self.ask("one header", "b", 300) != 200:
            await asyncio.sleep(0.05)
        for limit in LIMITS:
            await self.run_limit(limit)
        print("wrong answers:", self.soak.failures)
        for i in range(2):
            await self.soak.stop_host(i, signal.SIGTERM)


asyncio.run(LongHeads().run())
