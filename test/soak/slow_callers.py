#!/usr/bin/env python3
"""Opens connections that never send a whole request; prints whether the host
closes these and still serves other callers.

Usage: slow_callers.py NUTMEGPICKD
"""
import argparse
import asyncio
import base64
import json
import signal
import sys

from paused import served
from soak import Soak
from withdraw import wait_for_record

# With the limits below the host closes a connection within 0.6 s. This longer
# limit only ends a broken run.
CLOSED_WITHIN_S = 60


async def dribble(writer):
    """Sends a head that never ends, one byte at a time."""
    writer.write(b"GET /b/1 HTTP/1.1\r\nHost: soak.example\r\nX: ")
    while True:
        writer.write(b"x")
        await asyncio.sleep(0.05)


async def is_closed(soak, send):
    reader, writer = await asyncio.open_connection(soak.host_address(0),
                                                   soak.args.port)
    task = asyncio.ensure_future(send(writer))
    try:
        await asyncio.wait_for(reader.read(), CLOSED_WITHIN_S)
        return True
    except ConnectionError:
        return True
    except asyncio.TimeoutError:
        return False
    finally:
        task.cancel()
        writer.close()


async def silent(writer):
    pass


async def half(writer):
    writer.write(b"GET /b/1 HT")


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=1,
                                   port=18420))
    await soak.start()
    await wait_for_record(soak)
    number = 0
    while not await served(soak, f"ready-{number}"):
        number += 1
    config = json.loads(base64.b64decode(
        soak.store.items["op/config"]["value"]))
    config["version"] += 1
    config["limits"].update(header_timeout_ms=300, idle_timeout_ms=300)
    soak.store.put("op/config", config)
    results = await asyncio.gather(*(is_closed(soak, send)
                                     for send in (silent, half, dribble)))
    print("closed:", results)
    print("serves:", await served(soak, "after"))
    await soak.stop_host(0, signal.SIGTERM)
    print("status:", soak.processes[0].returncode)


asyncio.run(main())
