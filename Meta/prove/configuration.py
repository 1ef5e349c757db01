"""The files that a run's fleet is configured by, and the operators who publish them."""

import json
import os
import subprocess
import threading


def node_settings(seat, seeds):
    """One node's settings file."""
    quoted = ", ".join(f'"{seed}"' for seed in seeds)
    return f"""[node]
id = "{seat.name}"
region = "loopback"
zone = "{seat.zone}"
site = "{seat.zone}"
threads = 2

[listen]
callers = "{seat.callers}"
peers = "{seat.peers}"
gossip = "{seat.gossip}"
control = "{seat.control}"
admin = "{seat.admin}"

[advertise]
peers = "{seat.advertised_peers}"

[platform]
table = "{seat.platform}"
objects = "{seat.platform}"

[gossip]
seeds = [{quoted}]

[history]
enabled = true
"""


BASE = """[mesh]
name = "proof"

[cluster.booking]
maximum_queue = {queue}
timeout_ms = 2000

[cluster.entry]
maximum_queue = {queue}

[[route]]
name = "reserve"
prefix = "/booking/reserve"
methods = ["POST"]
cluster = "booking"
class = "non_idempotent"

[[route]]
name = "slots"
prefix = "/booking/slots"
methods = ["GET"]
cluster = "booking"
timeout_ms = 1000
maximum_retries = 1
hedged = true

[[route]]
name = "refund"
prefix = "/entry/refund"
methods = ["POST"]
cluster = "entry"
class = "non_idempotent"
timeout_ms = 2000

[[route]]
name = "gate"
prefix = "/entry/gate"
methods = ["GET"]
cluster = "entry"
"""

# Sites differ, so that their versions have different content.
OVERLAY = """[cluster.entry]
maximum_queue = {queue}
"""

PUBLISH_SECONDS = 30.0
FEWEST_QUEUED = 32


class Operators:
    """Publish by sagecrankctl. Each publish changes something that every site sees."""

    def __init__(self, fleet, sites):
        self.fleet, self.sites = fleet, sites
        self.lock = threading.Lock()
        self.publishes = 0

    def publish(self, operator):
        """Returns sagecrankctl's exit code."""
        with self.lock:
            self.publishes += 1
            number = self.publishes
        folder = os.path.join(self.fleet.folder, f"publish-{number}")
        os.makedirs(os.path.join(folder, "sites"))
        with open(os.path.join(folder, "base.toml"), "w") as file:
            file.write(BASE.format(queue=FEWEST_QUEUED + number))
        for offset, site in enumerate(self.sites):
            with open(os.path.join(folder, "sites", f"{site}.toml"), "w") as file:
                file.write(OVERLAY.format(queue=FEWEST_QUEUED + number + offset))
        return self._control(f"operator-{number}", "publish", "--base", os.path.join(folder, "base.toml"),
                             "--overlays", os.path.join(folder, "sites"), "--operator", operator, "--expect", "current", "--events")

    def rollback(self, to):
        with self.lock:
            self.publishes += 1
            number = self.publishes
        return self._control(f"operator-{number}", "rollback", "--to", str(to), "--operator", "night", "--expect", "current",
                             "--events")

    def publish_two(self):
        threads = [threading.Thread(target=self.publish, args=(name,)) for name in ("left", "right")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def record_truth(self, history):
        """Writes down what the platform itself says was accepted, so that an operator who was told "refused" or
        "accepted" wrongly shows."""
        result = subprocess.run(
            [f"{self.fleet.binaries}/sagecrankctl", "history", "--json", "--limit", "1000", "--platform",
             self.fleet.platform_address], capture_output=True, text=True, timeout=PUBLISH_SECONDS, check=True)
        for row in json.loads(result.stdout)["history"]:
            history.record("publish.accepted", version=row["version"], publish=row["publish_id"])

    def _control(self, name, *arguments):
        process = self.fleet.launch(name, "operator", [
            f"{self.fleet.binaries}/sagecrankctl", *arguments, "--platform", self.fleet.platform_address])
        if not process.wait(PUBLISH_SECONDS):
            raise RuntimeError(f"{name} did not end")
        return process.popen.returncode
