#!/usr/bin/env python3
"""Stops a host while slow callers use their connections as long as they may.

Callers pause for up to the time that the host tells them in Keep-Alive, and
notice the end of a connection late. None may end without an answer.
Usage: kept_connections.py NUTMEGPICKD SEED...
"""
import asyncio
import sys

import planned_stop
from planned_stop import PlannedStop

# Of these settings: drain_delay, stop_timeout and the rest of the grace time.
SETTINGS = 'drain_delay = "2200ms"\ngrace = "6s"\n'
planned_stop.STOP_S = 5.04
# Before a new connection.
OPEN_PAUSE_MAX_S = 0.95


class KeptConnections(PlannedStop):
    crossing_s = 0
    # For a reply that tells no time.
    pause_max_s = 3.5
    notice_s = 0.3

    def write_settings(self, i):
        path = super().write_settings(i)
        with open(path) as settings:
            text = settings.read()
        with open(path, "w") as out:
            out.write(text[:text.index("drain_delay")] + SETTINGS)
        return path

    async def pause(self, is_new):
        if not is_new:
            await super().pause(is_new)

    async def run_connection(self, n, k):
        """Sends its first request at once: the host has told no time yet."""
        await asyncio.sleep(self.random.uniform(0, OPEN_PAUSE_MAX_S))
        return await super().run_connection(n, k)

    def note_reply(self, reply):
        told = reply.headers.get("keep-alive", "")
        if told.startswith("timeout="):
            self.pause_max_s = float(told[len("timeout="):])


async def main():
    for seed in sys.argv[2:]:
        stop = KeptConnections(sys.argv[1], int(seed))
        await stop.run()
        print(f"seed {seed}: {len(stop.failures)} failures")
        print(stop.counts, file=sys.stderr)


asyncio.run(main())
