"""Store drill: hosts repeat requests by a configuration of before it."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../lib-3"))
import harness as h  # noqa: E402
import stale  # noqa: E402

AWAY_S = 1.0


def cpu_s(host):
    with open(f"/proc/{host.process.pid}/stat") as f:
        words = f.read().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


async def warm_up(leaf, store):
    """Registers a leaf that has just started and is slow for two seconds."""
    for left in (2000, 1000, 0):
        leaf.warmup_ms = left
        leaf.register(store)
        await asyncio.sleep(h.HEARTBEAT_S if left else 0)


async def main(case):
    note = case.record.say
    d = stale.Deployment(case)
    await d.start()
    store = d.store
    await asyncio.sleep(4)

    # Four seconds of ordinary work, which a drill loses.
    copy = store.copy()
    note(f"the store is copied at revision {store.revision}")
    new = stale.Leaf(case.record, "alpha", "i-alpha-3", "sudvestur-a",
                     slots=16)
    await new.listen("127.0.2.20")
    d.leaves.append(new)
    warming = asyncio.create_task(warm_up(new, store))
    for n, timeout in enumerate((1900, 1800, 1700)):
        config = d.write_config(11 + n, timeout_ms=timeout)
        await asyncio.sleep(1.2)
    await warming
    note(f"the store is at revision {store.revision}")
    if case.trouble:
        store.leave()
        note("the store is away")
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.put("op/config", config)
        new.register(store)
        note("the store is back from the copy; the operator and the leaf "
             f"have written again, revision {store.revision}")
    await asyncio.sleep(h.CONTACT_S + 2)
    store.calls.clear()
    cpu = {host.name: cpu_s(host) for host in d.hosts}

    d.write_config(20, is_new=True, timeout_ms=1700)
    await asyncio.sleep(h.APPLY_S + h.SKEW_S + 0.5)
    note(f"calls of the hosts to the store since then: "
         f"{sorted(store.calls.items())}")
    used = [round(cpu_s(host) - cpu[host.name], 1) for host in d.hosts]
    note(f"processor time of the hosts, s: {used}")
    twice = await d.check()

    # Not judged: the revision passes the one of before the drill.
    for leaf in d.leaves[:3]:
        await warm_up(leaf, store)
    note(f"leaves have written, revision {store.revision}")
    await asyncio.sleep(h.APPLY_S)
    for host in d.hosts:
        _, _, found, _ = await case.request(host, "leno.example", "/r0/x")
        stamp = found.get("nutmegpick-response-stamp", "-")
        note(f"{host.name}: the moved route is run by {stamp.split('.')[0]}")
    d.stop()
    return twice == 0


h.run_case(__file__, main)
