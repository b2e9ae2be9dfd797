#!/usr/bin/env python3
"""Publishes large versions in quick succession; prints when hosts serve the
last one.

Usage: config_storm.py NUTMEGPICKD
"""
import argparse
import asyncio
import base64
import json
import signal
import sys
import time

from soak import Soak

HOSTS = 4
# Bytes of a version, number of versions and seconds between them.
STORMS = [(1040000, 25, 0.02), (1040000, 9, 0.1), (300000, 60, 0.02),
          (1040000, 40, 0.1), (20000, 600, 0.005)]
# A version is in force on every host after this time.
APPLY_S = 3


def publish_large(soak, config, size):
    """Publishes the next version, with a route of its own, at a given size."""
    soak.version += 1
    config["version"] = soak.version
    config["routes"][-1].update(name=f"v{soak.version}",
                                prefix=f"/v{soak.version}/")
    config["padding"] = ""
    config["padding"] = "x" * (size - len(json.dumps(config)))
    soak.store.put("op/config", config)


async def count_serving(soak):
    """Returns how many hosts serve the route of the last version."""
    path = f"/v{soak.version}/x"
    count = 0
    for i in range(HOSTS):
        request_id = f"{i}-{soak.version}-{time.monotonic_ns():x}"
        reply = await soak.call(i, "GET", path, request_id)
        count += reply.status == 200
    return count


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=HOSTS,
                                   port=18560))
    await soak.start()
    await asyncio.sleep(2)
    config = json.loads(
        base64.b64decode(soak.store.items["op/config"]["value"]))
    for size, versions, gap in STORMS:
        for _ in range(versions):
            publish_large(soak, config, size)
            await asyncio.sleep(gap)
        await asyncio.sleep(APPLY_S)
        print(f"{versions} versions of {size} bytes: "
              f"{await count_serving(soak)} of {HOSTS} hosts")
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("faults:", soak.failures)


asyncio.run(main())
