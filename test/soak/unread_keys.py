#!/usr/bin/env python3
"""Writes entries that hosts cannot read, one at a time; prints whether they
follow what is written later.

Usage: unread_keys.py NUTMEGPICKD
"""
import asyncio
import signal
import sys

from follow import APPLY_S, HOSTS, FollowSoak

# Of a page of the store.
PAGE_ITEMS = 10
DEPTH = 5000
# Stands in an entry for what its reply has as text that json cannot write.
MARKS = {
    "@bytes": b"\xff\xfe",
    "@nul": b"\0",
    '"@large"': b"1" + b"0" * 40,
    '"@overflow"': b"1e999",
    '"@deep"': b"[" * DEPTH + b"]" * DEPTH,
}
# Key, and fields beside those of the store, by name of the entry.
ENTRIES = {
    "a NUL in its key": ("servers/odd\0entry", {}),
    "a NUL as it is": ("servers/odd@nul", {}),
    "half a surrogate pair in its key": ("servers/odd\ud800x", {}),
    "other bytes in its key": ("servers/odd@bytes", {}),
    "a large number": ("servers/odd1", {"created": "@large"}),
    "an overflow": ("servers/odd2", {"lease": "@overflow"}),
    "deep nesting": ("servers/odd3", {"note": "@deep"}),
    "no readable revision": ("other/odd", {"revision": "@overflow"}),
}


def encode(text):
    data = text.encode()
    for mark, token in MARKS.items():
        data = data.replace(mark.encode(), token)
    return data


def put_odd(store, key, fields):
    store.put_bytes(key, b"odd")
    # The stand-in itself reads the revisions of its history.
    store.items[key] = {**store.items[key], **fields}
    fields = {k: v for k, v in fields.items() if k != "revision"}
    store.history[-1].update(fields)


async def main():
    soak = FollowSoak(sys.argv[1], 18860)
    await soak.start()
    soak.store.encode = encode
    await asyncio.sleep(2)
    for name, (key, fields) in ENTRIES.items():
        # Alone in the reply to a watch.
        put_odd(soak.store, key, fields)
        await asyncio.sleep(1)
        await soak.publish()
        await asyncio.sleep(APPLY_S)
        print(f"after an entry with {name}:", await soak.count_serving(),
              "hosts serve the next version")
    # Whole pages of a list, before the entries of all leaves.
    for k in range(3 * PAGE_ITEMS):
        soak.store.put_bytes(f"servers/a\0{k:02}", b"odd")
        soak.store.put_bytes(f"servers/a\ud800{k:02}", b"odd")
    await asyncio.sleep(1)
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGKILL)
        await soak.start_host(i)
    await asyncio.sleep(2)
    print("after a restart behind all of these, and behind pages of unreadable "
          "keys:", await soak.count_serving(), "hosts serve")
    print("hosts that log and count what they leave out:",
          soak.count_lines("N779"),
          soak.count_metric("nutmegpick_store_entries_unreadable_total"))
    for i in range(HOSTS):
        await soak.stop_host(i, signal.SIGTERM)
    print("faults:", soak.failures)


asyncio.run(main())
