"""Hosts that follow the store, for sessions about what the store replies."""
import argparse
import os
import urllib.request

from soak import Soak

HOSTS = 3
# A version is in force on every host after this time.
APPLY_S = 3


class FollowSoak(Soak):
    def __init__(self, program, port):
        super().__init__(argparse.Namespace(program=program, seed=1,
                                            hosts=HOSTS, port=port))

    async def count_serving(self):
        """Returns how many hosts serve the route of the last version."""
        count = 0
        for i in range(HOSTS):
            reply = await self.call(i, "GET", f"/v{self.version}/x",
                                    f"{i}-{self.version}")
            count += reply.status == 200
        return count

    def count_lines(self, event):
        """Returns on how many hosts an event was logged."""
        count = 0
        for i in range(HOSTS):
            path = os.path.join(self.folder.name, f"host{i}.log")
            with open(path) as file:
                count += f"event={event} " in file.read()
        return count

    def count_metric(self, name):
        """Returns on how many hosts a counter is above 0."""
        count = 0
        for i in range(HOSTS):
            url = (f"http://{self.host_address(i)}:{self.args.port + 3}"
                   "/metrics")
            with urllib.request.urlopen(url, timeout=5) as reply:
                text = reply.read().decode()
            count += any(line.startswith(f"{name} ") and
                         float(line.split()[1]) > 0
                         for line in text.splitlines())
        return count
