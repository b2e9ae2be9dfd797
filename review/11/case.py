"""Store drill: a configuration written after it never comes into force."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../lib-3"))
import harness as h  # noqa: E402

HOSTS = 3
AWAY_S = 1.0
TEST_S = 8.0


def routes(service, more=()):
    return [h.route("r1", "/r1/", service=service)] + list(more)


async def start_leaves(case, store):
    leaves = []
    for service in ("alpha", "beta"):
        for n, zone in enumerate(h.ZONES):
            leaf = h.Leaf(case.record, service, f"i-{service}-{n}", zone)
            await leaf.listen(f"127.0.2.{len(leaves) + 1}")
            leaf.register(store)
            leaves.append(leaf)
    return leaves


async def warm_up(leaf, store):
    """Registers a leaf that has just started and is slow for two seconds."""
    for left in (2000, 1000, 0):
        leaf.warmup_ms = left
        leaf.register(store)
        await asyncio.sleep(h.HEARTBEAT_S if left else 0)


def cpu_s(host):
    with open(f"/proc/{host.process.pid}/stat") as f:
        words = f.read().rsplit(")", 1)[1].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


async def main(case):
    note = case.record.say
    store = h.Store(case.record)
    await store.listen("127.0.1.1")
    leases = asyncio.create_task(store.run_leases())
    leaves = await start_leaves(case, store)
    services = ["alpha", "beta"]

    def write_config(version, service, more=(), timeout_ms=2000):
        config = h.configuration(version, routes(service, more), services)
        config["routes"][0]["timeout_ms"] = timeout_ms
        revision = store.put("op/config", config)
        note(f"operator wrote version {version}, revision {revision}")
        return config

    write_config(10, "alpha")
    hosts = [h.Host(case, i, store.address) for i in range(HOSTS)]
    for host in hosts:
        await host.start()
    for host in hosts:
        if not await host.wait_ready():
            raise h.CannotRun(f"{host.name} isn't ready")
    await asyncio.sleep(4)

    # Four seconds of ordinary work, which a drill loses.
    copy = store.copy()
    note(f"the store is copied at revision {store.revision}")
    new = h.Leaf(case.record, "alpha", "i-alpha-3", "sudvestur-a")
    await new.listen("127.0.2.20")
    warming = asyncio.create_task(warm_up(new, store))
    for n, timeout in enumerate((1900, 1800, 1700)):
        config = write_config(11 + n, "alpha", timeout_ms=timeout)
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
    cpu = {host.name: cpu_s(host) for host in hosts}

    # The change: /r1/ moves to another service, and a route is added.
    write_config(20, "beta", [h.route("r2", "/r2/", service="beta")], 1700)
    acknowledged = time.monotonic()
    await asyncio.sleep(h.APPLY_S + h.SKEW_S + 0.5)

    sent = old = missing = other = 0
    end = time.monotonic() + TEST_S
    while time.monotonic() < end:
        for host in hosts:
            for path in ("/r1/x", "/r2/x"):
                _, status, found, _ = await case.request(host, "leno.example",
                                                         path)
                stamp = found.get("nutmegpick-response-stamp", "")
                sent += 1
                old += path == "/r1/x" and stamp.startswith("alpha.")
                missing += path == "/r2/x" and status == 404
                other += status not in (200, 404)
        await asyncio.sleep(0.2)
    span = time.monotonic() - acknowledged
    note(f"requests sent {h.APPLY_S + h.SKEW_S:g} s and more after version "
         f"20: {sent}; run by the old service: {old}; refused with 404: "
         f"{missing}; other failures: {other}")
    note(f"calls of {HOSTS} hosts to the store in {span:.0f} s: "
         f"{sorted(store.calls.items())}")
    used = [round(cpu_s(host) - cpu[host.name], 1) for host in hosts]
    note(f"processor time of the hosts in these seconds: {used}")
    # The revision passes the one before the drill: version 20 stays unknown.
    for leaf in leaves[:3]:
        await warm_up(leaf, store)
    note(f"leaves have written, revision {store.revision}")
    await asyncio.sleep(h.APPLY_S)
    late = 0
    for host in hosts:
        _, status, _, _ = await case.request(host, "leno.example", "/r2/x")
        late += status == 404
    note(f"hosts that still refuse the added route then: {late} of {HOSTS}")
    # Not judged: a restart of one host.
    hosts[0].send(signal.SIGTERM)
    await hosts[0].process.wait()
    await hosts[0].start()
    await hosts[0].wait_ready()
    await asyncio.sleep(h.APPLY_S)
    _, status, _, _ = await case.request(hosts[0], "leno.example", "/r2/x")
    note(f"after a restart {hosts[0].name} answers {status}")
    leases.cancel()
    return old + missing + late == 0


h.run_case(__file__, main)
