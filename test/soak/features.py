"""What features of the platform have in common, and their seeded choice."""
import random

# Seeds below this were recorded before the features existed.
FIRST_SEED = 2000
# Bounds of the platform on evacuations, removed keys and new versions.
BOUND_S = 5
# Such a bound holds for hosts without a fault in this time.
CALM_S = 6
# The bounds take seconds, so that a run with features lasts longer.
RUN_S = 16
# A host that begins to grant the tokens of a quota grants none for 8 s. With
# shorter gaps between faults the quotas are hardly used at all.
QUOTA_RUN_S = 40
QUOTA_FAULT_GAP_S = 4


class Call:
    """A request of a caller; leaves look up here what they may expect."""

    def __init__(self, host, kind, request_id):
        self.host = host
        self.kind = kind
        self.request_id = request_id
        # Caller's headers, a list of name and value.
        self.headers = []
        self.sent_at = 0
        # Ends of the connection by which a host calls a leaf for this.
        self.link = None
        self.key = None
        self.organisation = None


class Feature:
    """A feature that a run enables; every method may be overridden."""

    def __init__(self, soak):
        self.soak = soak
        self.random = soak.random

    def configure(self, config):
        """Adds the feature to a configuration that is about to be stored."""

    def prepare(self, call):
        """Adds to a request before it is sent."""

    def check_arrival(self, leaf, request, call, now):
        """Checks a request that reaches a leaf and is not answered with 421."""

    def check_run(self, leaf, call, now):
        """Checks a request that a leaf runs."""

    def check_reply(self, call, reply):
        """Checks what the caller got."""

    async def run(self):
        """Changes the feature until the run ends and this is cancelled."""


def choose(seed, names, text):
    """Returns the names of the features of a run, in the order of names."""
    if text is not None:
        chosen = [name for name in text.split(",") if name]
    elif seed < FIRST_SEED:
        chosen = []
    else:
        draw = random.Random(f"features {seed}")
        chosen = [name for name in names if draw.random() < 0.5]
    if "quotas" in chosen and "organisations" not in chosen:
        chosen.append("organisations")
    unknown = set(chosen) - set(names)
    if unknown:
        raise SystemExit(f"unknown features: {', '.join(sorted(unknown))}")
    return [name for name in names if name in chosen]
