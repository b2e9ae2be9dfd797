#!/usr/bin/env python3
"""Answers watches at once without news, then lists with two pages that lead to
each other; prints whether hosts space out their calls.

Usage: unpaced_store.py NUTMEGPICKD
"""
import asyncio
import signal
import sys

from follow import HOSTS, FollowSoak

# Lists and watches of one host, a second.
CALLS_PER_S = 5
TEST_S = 4


async def check_calls(soak, what):
    soak.store.calls.clear()
    await asyncio.sleep(TEST_S)
    calls = sum(soak.store.calls.get(c, 0) for c in ("kv-range", "kv-watch"))
    is_spaced = calls <= HOSTS * CALLS_PER_S * TEST_S
    print(f"{what}, calls are spaced out:",
          is_spaced if is_spaced else f"no, {calls} in {TEST_S} s")


async def main():
    soak = FollowSoak(sys.argv[1], 19260)
    await soak.start()
    await asyncio.sleep(2)
    answer = soak.store.answer
    pages = 0

    async def answer_at_once(request):
        if "kv-watch" in request.target:
            return 200, {"events": [], "current_rev": soak.store.revision}
        return await answer(request)

    async def answer_in_a_circle(request):
        nonlocal pages
        if "kv-watch" in request.target:
            return 410, {}
        if "kv-range" not in request.target:
            return await answer(request)
        pages += 1
        item = {"key": f"servers/{pages % 2}", "value": "", "revision": 1}
        return 200, {"items": [item], "has_more": True,
                     "current_rev": soak.store.revision}

    soak.store.answer = answer_at_once
    await check_calls(soak, "watches without news")
    soak.store.answer = answer_in_a_circle
    await check_calls(soak, "pages in a circle")
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGKILL)


asyncio.run(main())
