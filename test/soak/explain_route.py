#!/usr/bin/env python3
"""Asks hosts with 'nutmegpick explain-route' where requests would go, and prints
the answers without their times. Checks that no leaf is called for a question.

Usage: explain_route.py NUTMEGPICKD NUTMEGPICK
"""
import argparse
import asyncio
import json
import re
import signal
import sys

from rate_limit import RateLimitTest
from soak import Soak
from withdraw import wait_for_record

HOSTS = 1
PORT = 18900
SETTLE_S = 2
KEY = "k3y-acme-77b1f0"
QUESTIONS = 50
# Hosts that only accept connections. With them only some hosts of the region
# gather, those with the most capacity.
OTHERS = 4
OTHER_CAPACITY = 1000000


class ExplainSoak(Soak):
    async def publish_organisations(self):
        config = self.store.read("op/config")
        config["version"] += 1
        self.version = config["version"]
        config["tenants"] = [{"name": "acme", "api_keys": [KEY],
                              "rate_per_s": 20, "burst": 20,
                              "allowed_regions": ["north"]},
                             {"name": "bolt", "api_keys": [KEY + "b"],
                              "allowed_regions": ["south"]}]
        for route in config["routes"]:
            route["public"] = route["name"] == "gather"
        self.store.put("op/config", config)

    async def ignore(self, reader, _):
        while await reader.read(65536):
            pass

    async def start_others(self):
        for i in range(OTHERS):
            ip = f"127.0.4.{i + 1}"
            await asyncio.start_server(self.ignore, ip, PORT)
            self.store.put(f"nutmegpick/hosts/other-{i}", {
                "address": f"{ip}:{PORT}", "domain": f"d{i % 2}",
                "capacity": OTHER_CAPACITY})


class Asker:
    def __init__(self, soak, program):
        self.ip = soak.host_address(0)
        self.port = PORT + 3
        self.program = program

    async def ask(self, *args):
        """Returns the exit status and the output of the command."""
        process = await asyncio.create_subprocess_exec(
            self.program, "explain-route", "--host",
            f"{self.ip}:{self.port}", *args,
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        out = (await process.communicate())[0].decode()
        return process.returncode, out

    async def show(self, *args):
        """Prints the text of an answer, with all figures but counts removed."""
        status, out = await self.ask(*args)
        print("$ nutmegpick explain-route", *args)
        out = re.sub(r"version \d+", "version N", out)
        out = re.sub(r"/v\d+/", "/vN/", out)
        out = re.sub(r"-?[\d.]+( ms|/s)", r"N\1", out)
        # The order among leaves that may be called depends on their figures.
        out = re.sub(r"^  [* ] .* allowed,.*\n", "", out, flags=re.M)
        out = re.sub(r"^(upstream \S+: leaf) \S+,", r"\1 L,", out,
                     flags=re.M)
        print(out, end="")
        print("exit", status, "key shown:", KEY in out)

    async def decide(self, *args):
        """Returns the decision of an answer in JSON, and the exit status."""
        status, out = await self.ask("--json", *args)
        answer = json.loads(out)
        decision = answer.get("decision", answer)
        access = {leaf["access"] for part in answer.get("parts", [])
                  for leaf in part["leaves"]}
        return (decision.get("outcome", "-"), decision.get("error", "-"),
                sorted(access), status)


def calls(soak):
    return sum(len(leaf.arrivals) for leaf in soak.leaves)


async def check_silence(soak, asker):
    before = calls(soak)
    await asyncio.gather(*[asker.ask("soak.example", "/g/x")
                           for _ in range(QUESTIONS)])
    print("calls to leaves for", QUESTIONS, "questions:", calls(soak) - before)


async def main():
    soak = ExplainSoak(argparse.Namespace(program=sys.argv[1], seed=1,
                                          hosts=HOSTS, port=PORT))
    asker = Asker(soak, sys.argv[2])
    await soak.start()
    await wait_for_record(soak)
    await asyncio.sleep(SETTLE_S)
    # Leaves note their calls only with a limit.
    RateLimitTest(soak).set_limit(soak.leaves, None)
    print("gather:", *await asker.decide("soak.example", "/g/x"))
    print("unknown host:", *await asker.decide("other.example", "/g/x"))
    print("unknown path:", *await asker.decide("soak.example", "/none/x"))
    await check_silence(soak, asker)
    soak.store.put("op/evacuate/d0", {})
    await asyncio.sleep(SETTLE_S)
    print("domain evacuated:", *await asker.decide("soak.example", "/g/x",
                                                   "--all"))
    soak.store.put("op/evacuate/d1", {})
    await asyncio.sleep(SETTLE_S)
    await asker.show("soak.example", "/b/x?secret=1")
    soak.store.remove("op/evacuate/d0")
    soak.store.remove("op/evacuate/d1")
    await soak.publish_organisations()
    await asyncio.sleep(SETTLE_S)
    await asker.show("soak.example", "/g/x", "--organisation", "acme")
    print("other region:", *await asker.decide("soak.example", "/g/x", "-o",
                                               "bolt"))
    await soak.start_others()
    await asyncio.sleep(SETTLE_S)
    print("gathered elsewhere:", *await asker.decide("soak.example", "/g/x"))
    await asker.show("soak.example", "/g/x", "-o", "bolt")
    print("no key:", *await asker.decide("soak.example", "/b/x"))
    print("key as name:", *await asker.decide("soak.example", "/b/x", "-o",
                                              KEY))

    asker.port = PORT + 1
    print("other server:", *await asker.decide("soak.example", "/g/x"))
    asker.port = PORT + 3
    soak.send(0, signal.SIGSTOP)
    print("paused:", *await asker.decide("soak.example", "/g/x"))
    soak.send(0, signal.SIGCONT)
    await asyncio.sleep(0.2)
    soak.send(0, signal.SIGTERM)
    await asyncio.sleep(0.1)
    stopping = await asker.decide("soak.example", "/g/x")
    print("stopping:", stopping[3])
    await soak.processes[0].wait()
    print("ended:", *await asker.decide("soak.example", "/g/x"))

    soak.store.remove("op/config")
    await soak.start_host(0)
    await asyncio.sleep(SETTLE_S)
    _, error, _, status = await asker.decide("soak.example", "/g/x")
    print("no configuration:", error, status)
    await soak.stop_host(0, signal.SIGTERM)
    print("status:", soak.processes[0].returncode,
          "failures:", len(soak.failures))


asyncio.run(main())
