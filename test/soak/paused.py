#!/usr/bin/env python3
"""Pauses a host while a caller sends a request and disconnects; prints whether
a leaf runs the request after the host resumes.

Usage: paused.py NUTMEGPICKD
"""
import argparse
import asyncio
import os
import signal
import sys

from soak import Soak
from withdraw import wait_for_record

REQUEST = ("POST /b/1 HTTP/1.1\r\nHost: soak.example\r\n"
           "Nutmegpick-Request-Id: {id}\r\n"
           "Nutmegpick-Request-Deadline: 500\r\nContent-Length: 2\r\n\r\nhi")


async def send(soak, name):
    ip = soak.host_address(0)
    reader, writer = await asyncio.open_connection(ip, soak.args.port)
    writer.write(REQUEST.format(id=name).encode())
    await writer.drain()
    return reader, writer


async def served(soak, name):
    reader, writer = await send(soak, name)
    line = await reader.readline()
    writer.close()
    return line.split()[1:2] == [b"200"]


def is_stopped(pid, thread):
    with open(f"/proc/{pid}/task/{thread}/stat", encoding="ascii") as stat:
        return stat.read().rpartition(")")[2].split()[0] == "T"


async def pause(process):
    """Returns once every thread has stopped, which is after the signal."""
    process.send_signal(signal.SIGSTOP)
    while not all(is_stopped(process.pid, thread)
                  for thread in os.listdir(f"/proc/{process.pid}/task")):
        await asyncio.sleep(0.001)


async def main():
    soak = Soak(argparse.Namespace(program=sys.argv[1], seed=1, hosts=1,
                                   port=18410))
    await soak.start()
    await wait_for_record(soak)
    number = 0
    while not await served(soak, f"ready-{number}"):
        number += 1
    print("serves")
    await pause(soak.processes[0])
    _, writer = await send(soak, "left")
    writer.close()
    await asyncio.sleep(1)
    soak.processes[0].send_signal(signal.SIGCONT)
    # The host serves these requests after the earlier one, so when they are
    # done, the earlier one has been run or dropped.
    for number in range(5):
        await served(soak, f"after-{number}")
    ran = [key for key in soak.runs if key[0] == "left"]
    print("ran for a caller that had left:", bool(ran))
    await soak.stop_host(0, signal.SIGTERM)
    print("status:", soak.processes[0].returncode)


if __name__ == "__main__":
    asyncio.run(main())
