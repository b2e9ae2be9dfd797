#!/usr/bin/env python3
"""Opens more connections than a host has descriptors for; prints whether the
callers that it has accepted are served.

Usage: many_callers.py NUTMEGPICKD
"""
import argparse
import asyncio
import os
import signal
import sys

from paused import REQUEST, served
from soak import Soak
from standins import read_message
from withdraw import wait_for_record

DESCRIPTORS = 300
CALLERS = 330
ASKED = 40
# Idle connections to leaves are closed after three seconds.
SETTLE_S = 4
ANSWER_S = 5


def limit_descriptors(program, folder):
    """Returns a program that starts the given one with few descriptors."""
    path = os.path.join(folder, "limited")
    with open(path, "w") as script:
        script.write(f"#!/bin/sh\nulimit -n {DESCRIPTORS}\n"
                     f'exec {os.path.realpath(program)} "$@"\n')
    os.chmod(path, 0o700)
    return path


async def ask(reader, writer, number):
    writer.write(REQUEST.format(id=f"0-many-{number}").encode())
    reply = await asyncio.wait_for(read_message(reader), ANSWER_S)
    return reply.status


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=1,
                                   port=18360))
    soak.args.program = limit_descriptors(sys.argv[1], soak.folder.name)
    await soak.start()
    await wait_for_record(soak)
    number = 0
    while not await served(soak, f"ready-{number}"):
        number += 1
    callers = [await asyncio.open_connection(soak.host_address(0),
                                             soak.args.port)
               for _ in range(CALLERS)]
    await asyncio.sleep(SETTLE_S)
    statuses = [await ask(*callers[i], i) for i in range(ASKED)]
    print("served:", statuses.count(200), "of", ASKED)
    for _, writer in callers:
        writer.close()
    await asyncio.sleep(1)
    print("serves others after:", await served(soak, "after"))
    await soak.stop_host(0, signal.SIGTERM)
    print("status:", soak.processes[0].returncode)


asyncio.run(main())
