"""Organisations with keys that come and go, and their quotas."""
import asyncio
import time

from features import BOUND_S, CALM_S, Feature

# The first organisation sends most of the requests.
NAMES = ["acorn", "birch", "cedar", "dogwood"]
WEIGHTS = [8, 2, 1, 1]
STABLE_KEYS = 2
# Requests with a good key, a removed key, an unknown key, a malformed header
# and no header.
KEY_KINDS = ["good", "removed", "unknown", "malformed", "none"]
KEY_WEIGHTS = [16, 2, 1, 1, 1]
# Rule on the requests of an organisation in any window.
WINDOW_S = 5
EXCESS = 1.1
SLACK = 20


class Organisations(Feature):
    def __init__(self, soak):
        super().__init__(soak)
        self.sequence = 0
        # Keys that every version has, and keys with the time of their version.
        self.stable = {name: [self.new_key(name) for _ in range(STABLE_KEYS)]
                       for name in NAMES}
        self.added = {name: {} for name in NAMES}
        self.removed = {name: {} for name in NAMES}
        self.refused = set()

    def new_key(self, name):
        self.sequence += 1
        return f"{name}-key-{self.sequence}-{self.random.getrandbits(64):x}"

    def configure(self, config):
        config["tenants"] = [
            {"name": name, "priority": n % 3,
             "api_keys": self.stable[name] + list(self.added[name])}
            for n, name in enumerate(NAMES)]
        for route in config["routes"]:
            # The routes whose names change with the version need no key.
            route["public"] = route["name"].startswith("v")

    # Callers

    def prepare(self, call):
        name = self.random.choices(NAMES, WEIGHTS)[0]
        kind = self.random.choices(KEY_KINDS, KEY_WEIGHTS)[0]
        if kind == "removed" and not self.removed[name]:
            kind = "good"
        call.is_refused = kind in ("unknown", "malformed") or \
            kind == "none" and call.kind != "v"
        if kind in ("good", "removed"):
            call.organisation = name
            call.key = self.random.choice(
                list(self.removed[name]) if kind == "removed"
                else self.stable[name] + list(self.added[name]))
        else:
            call.key = self.new_key("other")
        call.headers += self.write_key(kind, call.key)
        if self.random.random() < 0.2:
            call.headers.append(("Nutmegpick-Tenant-Id",
                                 self.random.choice(NAMES + [""])))

    def write_key(self, kind, key):
        if kind == "none":
            return []
        if kind != "malformed":
            scheme = self.random.choice(["Bearer ", "bearer ", "BEARER  \t"])
            return [("Authorization", scheme + key)]
        good = self.stable[NAMES[0]][0]
        return self.random.choice([
            [("Authorization", "Bearer")],
            [("Authorization", "Bearer  ")],
            [("Authorization", f"Basic {good}")],
            [("Authorization", f"Bearer {good}"),
             ("Authorization", f"Bearer {key}")]])

    # Checks

    def check_arrival(self, leaf, request, call, now):
        who = f"{call.request_id} at {leaf.name}"
        if "authorization" in request.headers or \
                any(call.key in value for value in request.headers.values()):
            self.soak.fail(f"{who} carries its key")
        told = request.headers.get("nutmegpick-tenant-id")
        if told != call.organisation:
            self.soak.fail(f"{who} is of {call.organisation}, but is said to "
                           f"be of {told}")
        if call.is_refused:
            self.soak.fail(f"{who} has no key of an organisation")
        removed_at = self.removed.get(call.organisation, {}).get(call.key)
        if removed_at and self.is_calm(call, removed_at, now):
            self.soak.suspect(
                f"{who} was sent {call.sent_at - removed_at:.1f} s after the "
                "removal of its key", now, CALM_S, call.host)

    def is_calm(self, call, changed_at, now):
        """Returns whether the host of a request must know of a change."""
        return call.sent_at > changed_at + BOUND_S and \
            not self.soak.was_faulty(call.host, CALM_S, now)

    def check_run(self, leaf, call, now):
        if call.request_id in self.refused:
            self.soak.fail(f"{call.request_id} ran after 401 or 429")

    def check_reply(self, call, reply):
        now = time.monotonic()
        # A host without a configuration, and a version that it lacks.
        allowed = (401, 503, 404) if call.kind == "v" else (401, 503)
        if call.is_refused and reply.status not in allowed:
            self.soak.fail(f"{call.request_id} without a known key got "
                           f"{reply.status}")
        if reply.status in (401, 429):
            self.refused.add(call.request_id)
            if self.soak.has_run(call.request_id):
                self.soak.fail(f"{call.request_id} got {reply.status}, but had "
                               "run")
        removed_at = self.removed.get(call.organisation, {}).get(call.key)
        if removed_at and self.is_calm(call, removed_at, now):
            self.soak.count("checked_removed")
        if reply.status != 401 or not call.organisation:
            return
        if call.key in self.stable[call.organisation]:
            self.soak.fail(f"{call.request_id} got 401 with a key that every "
                           "version has")
        added_at = self.added[call.organisation].get(call.key)
        if added_at and self.is_calm(call, added_at, now):
            self.soak.suspect(
                f"{call.request_id} got 401 with a key that was added "
                f"{call.sent_at - added_at:.1f} s before", now, CALM_S,
                call.host)

    async def run(self):
        while True:
            await asyncio.sleep(self.random.uniform(0.1, 2))
            name = self.random.choices(NAMES, WEIGHTS)[0]
            if self.added[name] and self.random.random() < 0.6:
                key = self.random.choice(list(self.added[name]))
                del self.added[name][key]
                where = self.removed
                self.soak.count("key_removed")
            else:
                key = self.new_key(name)
                where = self.added
            where[name][key] = time.monotonic()
            await self.soak.publish()
            where[name][key] = time.monotonic()


class Quotas(Feature):
    """Rates of organisations. All requests count, in any state of hosts."""

    def __init__(self, soak):
        super().__init__(soak)
        self.rates = {name: self.draw_rate() for name in NAMES}
        # Times from which rates of an organisation held, in order.
        self.history = {name: [(0, rate)] for name, rate in self.rates.items()}
        self.runs = {name: [] for name in NAMES}
        self.seen = set()

    def draw_rate(self):
        return (self.random.choice([0.5, 2, 5, 10]),
                self.random.choice([1, 5, 20]))

    def configure(self, config):
        for organisation in config["tenants"]:
            rate, burst = self.rates[organisation["name"]]
            organisation["rate_per_s"] = rate
            organisation["burst"] = burst

    def most(self, name, now):
        """Returns the bound of the rates that may hold in the last window.

        A rate ends one window after the next one is in force everywhere.
        """
        history = self.history[name]
        rates = [rate for n, (_, rate) in enumerate(history)
                 if n + 1 == len(history) or
                 history[n + 1][0] + BOUND_S + WINDOW_S > now]
        return max(rate * WINDOW_S + burst for rate, burst in rates) * \
            EXCESS + SLACK

    def check_run(self, leaf, call, now):
        if not call.organisation or call.request_id in self.seen:
            return
        self.seen.add(call.request_id)
        self.soak.count("checked_quota")
        runs = [t for t in self.runs[call.organisation] if t > now - WINDOW_S]
        runs.append(now)
        self.runs[call.organisation] = runs
        most = self.most(call.organisation, now)
        if len(runs) > most:
            self.soak.suspect(f"{call.organisation} ran {len(runs)} requests "
                              f"in {WINDOW_S} s, at most {most:.0f} may",
                              now, WINDOW_S)

    async def run(self):
        while True:
            await asyncio.sleep(self.random.uniform(2, 5))
            name = self.random.choices(NAMES, WEIGHTS)[0]
            self.rates[name] = self.draw_rate()
            await self.soak.publish()
            self.history[name].append((time.monotonic(), self.rates[name]))
            self.soak.count("quota_changed")
