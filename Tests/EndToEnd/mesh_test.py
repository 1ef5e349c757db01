"""What tests with real nodes share: the emulated platform, a published configuration, and nodes on loopback."""

import json
import os
import random
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, "Meta/prove")
from processes import choose_ports, get

BIN = sys.argv.pop(1)
WAIT = 20.0  # Seconds for what must happen.
PORTS = 60


class MeshTest(unittest.TestCase):
    """Starts the platform with one site; ends every process that it started."""

    CONFIGURATION = ""  # The base file.

    def prepare(self):
        """Makes a folder and reserves ports, which are all that tests on other platforms need of setUp()."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        base = choose_ports(random.Random(), PORTS)
        self.ports = iter(range(base, base + PORTS))

    def setUp(self):
        self.prepare()
        self.platform = self.address()
        self.run_program("sagecrank-platform-emulator", "--listen", self.platform)
        self.await_condition(lambda: get(self.platform, "/emulator/counters")[0] == 200, "the platform")
        self.publish()

    def address(self):
        return f"127.0.0.1:{next(self.ports)}"

    def run_program(self, name, *arguments):
        process = subprocess.Popen([f"{BIN}/{name}", *arguments], stdout=subprocess.DEVNULL,
                                   stderr=subprocess.DEVNULL)
        self.addCleanup(process.wait, WAIT)
        self.addCleanup(process.kill)
        return process

    def await_condition(self, condition, what, seconds=WAIT):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise AssertionError(f"{what} did not come")

    def control(self, *arguments):
        """Runs sagecrankctl and returns what it prints."""
        done = subprocess.run([f"{BIN}/sagecrankctl", *arguments, "--platform", self.platform, "--json"],
                              capture_output=True, text=True)
        self.assertEqual(done.returncode, 0, done.stderr + done.stdout)
        return json.loads(done.stdout)

    def publish(self):
        base = os.path.join(self.folder, "base.toml")
        overlays = os.path.join(self.folder, "overlays")
        os.mkdir(overlays)
        with open(base, "w") as file:
            file.write(self.CONFIGURATION)
        with open(os.path.join(overlays, "zone.toml"), "w") as file:
            file.write('site = "zone"\n')
        self.control("publish", "--base", base, "--overlays", overlays, "--expect", "current", "--operator", "test")

    def start_node(self, name, seeds, settings="", peers=None):
        """Returns the process and its addresses. `settings` is added to the node's file."""
        addresses = {role: self.address() for role in ("callers", "gossip", "control", "admin")}
        addresses["peers"] = peers or self.address()
        listen = "\n".join(f'{role} = "{address}"' for role, address in addresses.items())
        path = os.path.join(self.folder, f"{name}.toml")
        with open(path, "w") as file:
            file.write(f"""[node]
id = "{name}"
region = "loopback"
zone = "zone"
site = "zone"
[listen]
{listen}
[platform]
table = "{self.platform}"
objects = "{self.platform}"
[gossip]
seeds = {json.dumps(seeds)}
{settings}
""")
        return self.run_program("sagecrank-node", "--settings", path), addresses
