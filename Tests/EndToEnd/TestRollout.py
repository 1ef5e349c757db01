"""An operator rolls out a version of a service by sagecrankctl: a good one takes all calls, a bad one none."""

import http.client
import http.server
import json
import threading
import time
import unittest

from mesh_test import WAIT, MeshTest
from processes import post_json

HOSTS_PER_VERSION = 3
CALLERS = 8
PAUSE = 0.03  # Between the calls of one caller.
DURATION_MS = 20000
EXPOSURE_SHARE = 0.1

SETTINGS = f"""[rollout]
exposure_share = {EXPOSURE_SHARE}
"""

CONFIGURATION = """[mesh]
name = "rollout"
[cluster.booking]
[[route]]
name = "slots"
prefix = "/slots"
methods = ["GET"]
cluster = "booking"
idempotent = true
timeout_ms = 20000
"""


class Upstream:
    """A server of one version that counts its calls and announces itself to its node."""

    def __init__(self, version, fails):
        self.version = version
        self.fails = fails
        self.calls = 0
        self.stopped = threading.Event()
        upstream = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                upstream.calls += 1
                self.send_response(500 if upstream.fails else 200)
                self.send_header("Content-Length", "0")
                # A gate believes only answers that repeat the id of the call.
                if call := self.headers.get("Sagecrank-Call-Id"):
                    self.send_header("Sagecrank-Call-Id", call)
                self.end_headers()

            def log_message(self, *arguments):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def announce(self, admin):
        announcement = json.dumps({"cluster": "booking", "address": f"127.0.0.1:{self.server.server_port}",
                                   "state": "ready", "slots": 4, "version": self.version})
        def renew():
            while not self.stopped.wait(0.5):
                try:
                    post_json(admin, "/v1/upstream", announcement)
                except OSError:
                    pass
        threading.Thread(target=renew, daemon=True).start()

    def stop(self):
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()


class Caller(threading.Thread):
    """Calls one node again and again, on a kept connection."""

    def __init__(self, address, statuses):
        super().__init__(daemon=True)
        self.address = address
        self.statuses = statuses
        self.stopped = threading.Event()

    def run(self):
        connection = http.client.HTTPConnection(self.address, timeout=WAIT)
        while not self.stopped.wait(PAUSE):
            try:
                connection.request("GET", "/slots")
                response = connection.getresponse()
                response.read()
                self.statuses.append(response.status)
            except (OSError, http.client.HTTPException):
                connection.close()
        connection.close()


class RolloutTest(MeshTest):
    CONFIGURATION = CONFIGURATION

    def setUp(self):
        super().setUp()
        self.seeds = []

    def start_hosts(self, version, fails=False):
        upstreams = []
        nodes = []
        for index in range(HOSTS_PER_VERSION):
            _, node = self.start_node(f"{version}-{index}", self.seeds, SETTINGS)
            self.seeds = self.seeds or [node["gossip"]]
            upstream = Upstream(version, fails)
            self.addCleanup(upstream.stop)
            upstream.announce(node["admin"])
            upstreams.append(upstream)
            nodes.append(node)
        return nodes, upstreams

    def start_callers(self, nodes):
        statuses = []
        for index in range(CALLERS):
            caller = Caller(nodes[index % len(nodes)]["callers"], statuses)
            caller.start()
            self.addCleanup(caller.join, WAIT)
            self.addCleanup(caller.stopped.set)
        return statuses

    def roll_out(self, expected):
        """Orders the roll-out of v2 and waits until it has ended as expected."""
        self.control("rollout", "start", "--service", "booking", "--target", "v2", "--duration-ms", str(DURATION_MS),
                     "--operator", "test")
        ended = lambda: self.control("rollout", "status")["rollouts"][0]["state"] != "running"
        self.await_condition(ended, "the end of the roll-out", DURATION_MS / 1000 + 5)
        self.assertEqual(self.control("rollout", "status")["rollouts"][0]["state"], expected)

    def play(self, target_fails, expected):
        nodes, established = self.start_hosts("v1")
        statuses = self.start_callers(nodes)
        self.await_condition(lambda: statuses.count(200) > 100, "answers")
        _, target = self.start_hosts("v2", target_fails)
        time.sleep(3)
        self.assertEqual(sum(upstream.calls for upstream in target), 0, "calls before the order")
        del statuses[:]
        self.roll_out(expected)
        return established, target, statuses

    def test_a_good_version_takes_all_calls(self):
        established, target, statuses = self.play(False, "completed")
        time.sleep(1)
        before = sum(upstream.calls for upstream in established)
        served = len(statuses)
        time.sleep(1)
        self.assertEqual(sum(upstream.calls for upstream in established), before, "calls to the old version")
        self.assertGreater(len(statuses), served)
        self.assertGreater(sum(upstream.calls for upstream in target), 0)
        self.assertLess(len(statuses) - statuses.count(200), 0.01 * len(statuses), "failures during the move")

    def test_a_bad_version_is_rolled_back(self):
        _, target, statuses = self.play(True, "rolled_back")
        self.assertLess(sum(upstream.calls for upstream in target), EXPOSURE_SHARE * len(statuses) + 1)
        time.sleep(1)
        calls = sum(upstream.calls for upstream in target)
        time.sleep(1)
        self.assertEqual(sum(upstream.calls for upstream in target), calls, "calls after the verdict")


if __name__ == "__main__":
    unittest.main()
