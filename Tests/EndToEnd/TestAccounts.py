"""Callers with keys on two real nodes: who gets through, what reaches the upstream, and one allowance for both."""

import http.client
import http.server
import json
import threading
import time
import unittest

from mesh_test import MeshTest
from processes import get, post_json

RATE = 20
BURST = 20
SECONDS = 4.0

CONFIGURATION = f"""[mesh]
name = "accounts"
[cluster.booking]
[[route]]
name = "slots"
prefix = "/slots"
cluster = "booking"
[[route]]
name = "open"
prefix = "/open"
cluster = "booking"
public = true
[[account]]
name = "tours"
keys = ["tours-key"]
[[account]]
name = "schools"
keys = ["schools-key"]
rate_per_second = {RATE}
burst = {BURST}
"""


class Upstream(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    seen = []  # Headers of the requests that ran.

    def do_GET(self):
        self.seen.append(dict(self.headers.items()))
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments):
        pass


class AccountsTest(MeshTest):
    CONFIGURATION = CONFIGURATION

    def setUp(self):
        super().setUp()
        Upstream.seen = []
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Upstream)
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        _, first = self.start_node("a1", [])
        _, second = self.start_node("a2", [first["gossip"]])
        self.nodes = [first, second]
        self.announcing = threading.Event()
        self.addCleanup(self.announcing.set)
        threading.Thread(target=self.announce, args=(f"127.0.0.1:{server.server_port}",), daemon=True).start()
        for node in self.nodes:
            self.await_condition(lambda: self.call(node, "/open")[0] == 200, "a node that serves")

    def announce(self, address):
        text = json.dumps({"cluster": "booking", "address": address, "state": "ready", "slots": 64})
        while not self.announcing.wait(0.5):
            try:
                post_json(self.nodes[0]["admin"], "/v1/upstream", text)
            except OSError:
                pass

    def call(self, node, path, headers=None):
        connection = http.client.HTTPConnection(*node["callers"].split(":"), timeout=3.0)
        try:
            connection.request("GET", path, headers=headers or {})
            response = connection.getresponse()
            response.read()
            return response.status, response.getheader("Retry-After")
        finally:
            connection.close()

    def test_a_key_decides_who_runs_and_ends_at_the_first_node(self):
        """Guards against keys that reach upstreams, and against callers who name an account themselves."""
        for node in self.nodes:
            self.assertEqual(self.call(node, "/slots")[0], 401)
            self.assertEqual(self.call(node, "/slots", {"Authorization": "Bearer other"})[0], 401)
            self.assertEqual(self.call(node, "/slots", {"Sagecrank-Account": "tours"})[0], 401)
            Upstream.seen = []
            headers = {"Authorization": "Bearer tours-key", "Sagecrank-Account": "schools"}
            self.assertEqual(self.call(node, "/slots", headers)[0], 200)
            self.assertEqual(self.call(node, "/open", headers)[0], 200)
            accounts = [seen.get("Sagecrank-Account") for seen in Upstream.seen]
            self.assertEqual(accounts, ["tours", None])
            self.assertNotIn("tours-key", json.dumps(Upstream.seen))

    def test_both_nodes_together_keep_to_one_allowance(self):
        """Guards against an account that gets its allowance from each node."""
        key = {"Authorization": "Bearer schools-key"}
        Upstream.seen = []
        began = time.monotonic()
        refused = 0
        while time.monotonic() - began < SECONDS:
            for node in self.nodes:
                status, retry_after = self.call(node, "/slots", key)
                self.assertIn(status, (200, 429, 503))
                if status == 429:
                    refused += 1
                    self.assertIsNotNone(retry_after)
            time.sleep(0.005)
        length = time.monotonic() - began
        ran = len(Upstream.seen)
        self.assertGreater(refused, 0)
        self.assertLessEqual(ran, (RATE * length + BURST) * 1.1 + 20)
        self.assertGreaterEqual(ran, RATE * SECONDS / 2)

    def test_keys_stand_in_no_page_of_a_node(self):
        """Guards against keys in what a node shows of itself."""
        self.call(self.nodes[0], "/slots", {"Authorization": "Bearer tours-key"})
        for path in ("/status", "/metrics", "/spans"):
            self.assertNotIn(b"tours-key", get(self.nodes[0]["admin"], path)[1])
        listed = json.dumps(self.control("account", "list"))
        self.assertIn("schools", listed)
        self.assertNotIn("schools-key", listed)


if __name__ == "__main__":
    unittest.main()
