"""Requests with many query parameters get no answer at all."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib-2"))
from harness import (Host, Leaf, Store, RULE_BROKEN, RULE_HELD, ask, config,
                     connect, route, run_case, with_trouble)

TIMEOUT_MS = 1000
# The rule: half a second after the timeout of the route.
ANSWER_S = TIMEOUT_MS / 1000 + 0.5
DEADLINE_MS = 6000
REQUESTS = 40
# Parameters of a query; with 600 of them the head has less than 5,000 bytes.
PARAMETERS, CALM_PARAMETERS = 600, 40
# How long each caller listens. Hosts close the connections after 18 s.
LISTEN_S = 25


async def play(record, folder, hosts):
    store = await Store().start()
    leaf = await Leaf("booking", "i-7f3a91c2", record, slots=64).start()
    store.put("op/config", config(
        1, [route("r", service="booking", timeout_ms=TIMEOUT_MS)],
        ["booking"]))
    leaf.register(store)
    host = Host("front-1", store, record, folder)
    hosts.append(host)
    await host.start()
    await host.wait_in_touch()
    count = PARAMETERS if with_trouble() else CALM_PARAMETERS
    query = "&".join(f"p{i}=v" for i in range(count))

    async def send(n):
        conn = await connect(host.http)
        a = await ask(record, conn, f"{n:016x}", target=f"/r/x?{query}",
                      deadline_ms=DEADLINE_MS, limit_s=LISTEN_S)
        conn[1].close()
        return a

    answers = await asyncio.gather(*[send(n) for n in range(REQUESTS)])
    open_at_timeout = [a for a in answers
                       if not a.status or a.after_s > TIMEOUT_MS / 1000]
    late = [a for a in open_at_timeout if not a.status or a.after_s > ANSWER_S]
    text = (f"{REQUESTS} requests with a query of {len(query)} bytes: "
            f"{len(open_at_timeout)} unanswered at the timeout of the route, "
            f"{len(late)} of them half a second later; "
            f"{sum(a.status == 200 for a in answers)} answered with 200, "
            f"{len(leaf.ran)} run")
    record.note(text)
    print(text)
    # More than half of them, and eight or more.
    is_broken = len(late) >= 8 and 2 * len(late) > len(open_at_timeout)
    return RULE_BROKEN if is_broken else RULE_HELD


run_case(__file__, play)
