"""Requests with many cookies: the leaf runs them, the callers get nothing."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-2"))
from harness import (Host, Leaf, Store, RULE_BROKEN, RULE_HELD, ask, config,
                     connect, route, run_case, with_trouble)

# Length of one "name=value; " and the lengths of the header, in bytes. With
# the other headers every head stays below max_header_bytes, which is 16384.
SHAPES = {30: range(7000, 8200, 20), 100: range(11700, 12700, 20)}
CALM_BYTES = 600
# The rule allows three.
CUT_MAX = 3


def cookies(length, total):
    return "; ".join(f"c{i:03d}=" + "v" * (length - 7)
                     for i in range(total // length))


async def play(record, folder, hosts):
    store = await Store().start()
    leaf = await Leaf("booking", "i-7f3a91c2", record).start()
    store.put("op/config", config(
        1, [route("r", kind="unsafe", service="booking")], ["booking"]))
    leaf.register(store)
    host = Host("front-1", store, record, folder)
    hosts.append(host)
    await host.start()
    await host.wait_in_touch()
    cut = refused = answered = n = 0
    for length, totals in SHAPES.items():
        for total in totals:
            n += 1
            conn = await connect(host.http)
            first = await ask(record, conn, f"{n:08x}a", "POST", body=b"book")
            if first.status != 200:
                raise RuntimeError(f"a plain request got {first.status}")
            value = cookies(length, total if with_trouble() else CALM_BYTES)
            request_id = f"{n:08x}b"
            a = await ask(record, conn, request_id, "POST", body=b"book",
                          headers=[("Cookie", value)])
            conn[1].close()
            has_run = request_id in leaf.ran
            record.note(f"{request_id}: cookies of {len(value)} bytes, "
                        f"{'run' if has_run else 'not run'}, "
                        f"{a.status or a.cause}")
            cut += has_run and not a.status
            refused += a.status == 431
            answered += a.status == 200
    record.note(f"{n} requests: {answered} answered, {refused} refused with "
                f"431, {cut} run by the leaf and cut without an answer")
    print(f"{n} requests: {answered} answered, {refused} refused with 431, "
          f"{cut} run by the leaf and cut without an answer")
    if answered + refused + cut != n:
        raise RuntimeError("some requests ended in another way")
    return RULE_BROKEN if cut > CUT_MAX else RULE_HELD


run_case(__file__, play)
