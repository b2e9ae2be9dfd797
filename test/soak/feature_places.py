"""Allowed regions, evacuated failure domains and cold leaves."""
import asyncio
import time

from features import BOUND_S, CALM_S, Feature
from lives import ANY_HOST
from standins import Leaf

NORTH, SOUTH = "north", "south"
# Region of each failure domain. One leaf of each service is in each domain.
REGIONS = {"d0": NORTH, "d1": NORTH, "d2": SOUTH}
# Rule on the requests to a cold leaf in any second.
COLD_EXCESS = 1.5
COLD_SLACK = 5


class Regions(Feature):
    """Routes, and an organisation, that are limited to a region."""

    def __init__(self, soak):
        super().__init__(soak)
        self.routes = {"n": [NORTH], "s": [SOUTH]}
        self.organisations = {}

    def configure(self, config):
        by_name = {route["name"]: route for route in config["routes"]}
        config["routes"] += [
            {**by_name["gather"], "name": "north", "prefix": "/n/",
             "allowed_regions": self.routes["n"]},
            {**by_name["book"], "name": "south", "prefix": "/s/",
             "kind": "safe", "allowed_regions": self.routes["s"]}]
        by_name["gather"]["allowed_regions"] = []
        for organisation in config.get("tenants", [])[1:2]:
            organisation["allowed_regions"] = [SOUTH]
            self.organisations[organisation["name"]] = [SOUTH]

    def check_arrival(self, leaf, request, call, now):
        for limit in (self.routes.get(call.kind),
                      self.organisations.get(call.organisation)):
            if not limit:
                continue
            self.soak.count("checked_region")
            if REGIONS[leaf.domain] not in limit:
                self.soak.fail(f"{call.request_id} of {call.organisation} "
                               f"reached {leaf.name} in "
                               f"{REGIONS[leaf.domain]}, not {limit}")
            if not self.may_gather(call, limit, False) and \
                    not self.may_gather(call, limit, True):
                self.soak.fail(
                    f"{call.request_id}, limited to {limit}, was passed on to "
                    f"host {self.soak.find_caller(call.link)}")

    def may_gather(self, call, limit, is_fresh):
        """Returns whether the host that calls the leaf may have the request."""
        host = self.soak.find_caller(call.link, is_fresh)
        return host in (None, call.host) or \
            self.soak.host_region(host) in \
            limit + [self.soak.host_region(call.host)]


class Evacuations(Feature):
    def __init__(self, soak):
        super().__init__(soak)
        # Time of the key of each domain that is evacuated.
        self.since = {}

    def check_arrival(self, leaf, request, call, now):
        since = self.since.get(leaf.domain)
        if not since or now < since + BOUND_S:
            return
        host = self.soak.find_caller(call.link)
        if self.soak.was_faulty(host, CALM_S, now):
            self.soak.count("excused_evacuation")
        else:
            self.soak.suspect(
                f"{call.request_id} reached {leaf.name} in {leaf.domain} from "
                f"host {host}, evacuated {now - since:.1f} s before", now,
                CALM_S, host)

    async def run(self):
        while True:
            # One domain is left; an unknown one changes nothing.
            domains = self.random.sample(["d0", "d1", "d2", "d9"],
                                         self.random.choice([1, 1, 2]))
            for domain in domains:
                self.soak.store.put(f"op/evacuate/{domain}", {})
                self.since[domain] = time.monotonic()
            self.soak.count("evacuation")
            await asyncio.sleep(self.random.uniform(BOUND_S + 1, BOUND_S + 5))
            for domain in domains:
                del self.since[domain]
                self.soak.store.remove(f"op/evacuate/{domain}")
            await asyncio.sleep(self.random.uniform(0.1, 2))


class ColdLeaves(Feature):
    def __init__(self, soak):
        super().__init__(soak)
        self.rates = {}
        self.replaced = 0

    def configure(self, config):
        for service in config["services"]:
            rate = self.rates.setdefault(service["name"],
                                         self.random.choice([1, 5, 10]))
            service.update(warmup_s=BOUND_S, warmup_per_s=rate)

    def check_arrival(self, leaf, request, call, now):
        """Counts the requests of all hosts that know that the leaf is cold.

        All hosts know it of a leaf that was registered as cold; of a leaf that
        was warm before, hosts without faults know it after the bound.
        """
        if now > leaf.cold_until or now < leaf.cold_known_at:
            return
        if leaf.cold_known_at and self.soak.was_faulty(
                self.soak.find_caller(call.link), CALM_S, now):
            return
        self.soak.count("checked_cold")
        leaf.cold_calls = [t for t in leaf.cold_calls if t > now - 1] + [now]
        most = self.rates[leaf.service] * COLD_EXCESS + COLD_SLACK
        if len(leaf.cold_calls) > most:
            self.soak.suspect(f"cold {leaf.name} got {len(leaf.cold_calls)} "
                              f"requests in a second, at most {most:g} may",
                              now, *((CALM_S, ANY_HOST) if leaf.cold_known_at
                                     else (1, None)))

    async def replace(self, old):
        """Replaces a leaf by a cold one at another address."""
        self.replaced += 1
        leaf = Leaf(old.service, f"leaf-new-{self.replaced}", old.domain,
                    self.soak)
        await leaf.start(old.ip)
        leaf.cold_until = time.monotonic() + self.random.uniform(2, 6)
        self.soak.leaves[self.soak.leaves.index(old)] = leaf
        self.soak.store.remove(old.key)
        leaf.register(self.soak.store)
        self.soak.count("leaf_replaced")

    async def run(self):
        while True:
            await asyncio.sleep(self.random.uniform(0.1, 1))
            leaf = self.random.choice(self.soak.leaves)
            if self.random.random() < 0.7:
                await self.replace(leaf)
                continue
            now = time.monotonic()
            leaf.cold_until = now + BOUND_S + self.random.uniform(2, 5)
            leaf.cold_known_at = now + BOUND_S
            leaf.register(self.soak.store)
            self.soak.count("leaf_cold_again")
