#!/usr/bin/env python3
"""Changes the settings of a host, sends SIGHUP and prints the log line.

Usage: reload.py NUTMEGPICKD
"""
import argparse
import asyncio
import os
import re
import signal
import sys

from soak import Soak
from withdraw import wait_for_record


async def wait_for_line(path, event, count):
    """Waits until the log has count lines of an event; returns the last one.

    The limit on tries only ends a broken run.
    """
    for _ in range(500):
        with open(path) as log:
            lines = [line for line in log if f"event={event}" in line]
        if len(lines) >= count:
            return re.sub(r"path=\S+", "path=...", lines[-1].split("msg=")[1])
        await asyncio.sleep(0.02)
    return f"no {event}\n"


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=1,
                                   port=18390))
    await soak.start()
    await wait_for_record(soak)
    settings = os.path.join(soak.folder.name, "host0.toml")
    log = os.path.join(soak.folder.name, "host0.log")
    with open(settings) as file:
        text = file.read()
    for change, event, count in [
            (('extra_calls = "50"', 'extra_calls = "70"'), "N106", 1),
            (('extra_calls = "50"', 'extra_calls = "many"'), "N104", 1),
            (('id = "host-0"', 'id = "host-9"'), "N106", 2)]:
        with open(settings, "w") as file:
            file.write(text.replace(*change))
        soak.processes[0].send_signal(signal.SIGHUP)
        print(await wait_for_line(log, event, count), end="")
    await soak.stop_host(0, signal.SIGTERM)
    print("status:", soak.processes[0].returncode)


asyncio.run(main())
