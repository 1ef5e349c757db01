"""A node that ends while an answer is still on its way, because whoever waits for it takes it slowly."""

import http.server
import json
import socket
import threading
import time
import unittest

from mesh_test import WAIT, MeshTest
from processes import post_json

LINGER_MS = 1000
# No callers are left and nothing runs: a node that waits for nothing else has ended by then.
AFTER_LINGER = 2.5
# Pending calls are withdrawn then. After it, a node ends within a second.
DRAIN_SECONDS = 4
BODY = 12 << 20  # More than the kernel's buffers hold on loopback.
SMALL_BUFFER = 65536
LONG = "/slots/long"

SETTINGS = f"""[requests]
peer_silence_ms = 60000
maximum_timeout_ms = 60000
[drain]
linger_ms = {LINGER_MS}
"""

CONFIGURATION = """[mesh]
name = "drain"
[cluster.booking]
[[route]]
name = "pay"
prefix = "/pay"
methods = ["POST"]
cluster = "booking"
timeout_ms = 60000
[[route]]
name = "slots"
prefix = "/slots"
methods = ["GET"]
cluster = "booking"
timeout_ms = 60000
"""


class Upstream(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        size = BODY if self.path == LONG else 0
        self.send_response(200)
        self.send_header("Content-Length", str(size))
        self.end_headers()
        self.wfile.write(b"x" * size)

    def do_POST(self):
        """Works for longer than a drain lasts."""
        self.server.payments += 1
        time.sleep(DRAIN_SECONDS + 2)

    def log_message(self, *arguments):
        pass


class Path:
    """Passes connections on. While it holds, nothing comes back from their far end."""

    def __init__(self, target):
        self.target = target
        self.flows = threading.Event()
        self.flows.set()
        self.held = False  # Something has come since it holds.
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.serve, daemon=True).start()

    def hold(self):
        self.flows.clear()

    def go(self):
        self.flows.set()

    def serve(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            far = connect(self.target)
            threading.Thread(target=self.pump, args=(near, far, False), daemon=True).start()
            threading.Thread(target=self.pump, args=(far, near, True), daemon=True).start()

    def pump(self, source, sink, holds):
        source.settimeout(None)
        with source:
            try:
                while data := source.recv(65536):
                    if holds and not self.flows.is_set():
                        self.held = True
                        self.flows.wait()
                    sink.sendall(data)
                sink.shutdown(socket.SHUT_WR)
            except OSError:
                pass


def connect(address):
    """A connection that takes little before somebody reads it."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    host, port = address.split(":")
    connection.connect((host, int(port)))
    connection.settimeout(WAIT)
    return connection


def ask(address, target):
    connection = connect(address)
    connection.sendall(f"GET {target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
    return connection


def begin_upload(address):
    """Sends a request but for the last byte of its body."""
    connection = connect(address)
    connection.sendall(b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nbody")
    return connection


def read_answer(connection, answer=b""):
    try:
        while data := connection.recv(65536):
            answer += data
    except OSError:
        pass
    return answer


class DrainTest(MeshTest):
    CONFIGURATION = CONFIGURATION

    def setUp(self):
        super().setUp()
        upstream = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Upstream)
        upstream.daemon_threads = True
        upstream.payments = 0
        self.server = upstream
        self.upstream = f"127.0.0.1:{upstream.server_port}"
        threading.Thread(target=upstream.serve_forever, daemon=True).start()
        self.addCleanup(upstream.server_close)
        self.addCleanup(upstream.shutdown)

    def start_draining_node(self, name, seeds, peers=None, advertised=None, maximum_seconds=30):
        advertise = f'[advertise]\npeers = "{advertised}"\n' if advertised else ""
        settings = SETTINGS + f"maximum_ms = {maximum_seconds * 1000}\n"
        return self.start_node(name, seeds, advertise + settings, peers)

    def announce_upstream(self, node):
        announcement = json.dumps({"cluster": "booking", "address": self.upstream, "state": "ready", "slots": 4})
        self.await_condition(lambda: post_json(node["admin"], "/v1/upstream", announcement)[0] == 200, "the admin port")

    def await_route(self, node):
        """Waits until the node places calls."""
        def served():
            with ask(node["callers"], "/slots") as caller:
                return read_answer(caller).startswith(b"HTTP/1.1 200 ")
        self.await_condition(served, "the route and the upstream")

    def assert_whole(self, answer):
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head[:200])
        self.assertEqual(len(body), BODY)

    def test_a_caller_that_reads_slowly_gets_its_whole_answer(self):
        ending, node = self.start_draining_node("ending", [])
        self.announce_upstream(node)
        self.await_route(node)
        with ask(node["callers"], LONG) as caller:
            answer = caller.recv(1024)
            ending.terminate()
            time.sleep(LINGER_MS / 1000 + AFTER_LINGER)
            self.assert_whole(read_answer(caller, answer))
        self.assertEqual(ending.wait(WAIT), 0)

    def test_an_answer_reaches_a_peer_over_a_slow_path(self):
        peers = self.address()
        path = Path(peers)
        self.addCleanup(path.listener.close)
        ending, near = self.start_draining_node("ending", [], peers, path.address)
        _, far = self.start_draining_node("calling", [near["gossip"]])
        self.announce_upstream(near)
        self.await_route(far)
        path.hold()
        with ask(far["callers"], LONG) as caller:
            self.await_condition(lambda: path.held, "the answer")
            ending.terminate()
            time.sleep(LINGER_MS / 1000 + AFTER_LINGER)
            path.go()
            self.assert_whole(read_answer(caller))
        self.assertEqual(ending.wait(WAIT), 0)

    def assert_rejected(self, answer):
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer[:200])
        self.assertIn(b"\r\nSagecrank-Outcome: not-run\r\n", answer)
        self.assertEqual(self.server.payments, 0)

    def start_busy_node(self):
        """A node that a slow reader keeps from ending before the maximum of its drain. The upstream is at another
        node, since a node that ends sends nothing more to its own."""
        _, serving = self.start_draining_node("serving", [])
        ending, node = self.start_draining_node("ending", [serving["gossip"]], maximum_seconds=DRAIN_SECONDS)
        self.announce_upstream(serving)
        self.await_route(node)
        slow = ask(node["callers"], LONG)
        self.addCleanup(slow.close)
        slow.recv(1024)
        return ending, node

    def test_an_upload_that_ends_late_in_a_drain_is_rejected(self):
        """Guards against starting a call that the end of the process would cut off."""
        ending, node = self.start_busy_node()
        with begin_upload(node["callers"]) as caller:
            ending.terminate()
            time.sleep(LINGER_MS / 1000 + 1)
            caller.sendall(b"!")
            self.assert_rejected(read_answer(caller))
        self.assertEqual(ending.wait(WAIT), 0)

    def test_an_upload_that_does_not_end_in_a_drain_is_rejected(self):
        """Guards against ending a busy node without a response to a request that it has read in part."""
        ending, node = self.start_busy_node()
        with begin_upload(node["callers"]) as caller:
            ending.terminate()
            self.assert_rejected(read_answer(caller))
        self.assertEqual(ending.wait(WAIT), 0)

    def test_an_upload_to_an_idle_node_that_ends_is_rejected(self):
        """The same for a node that waits for nothing else."""
        ending, node = self.start_draining_node("ending", [])
        self.announce_upstream(node)
        self.await_route(node)
        with begin_upload(node["callers"]) as caller:
            ending.terminate()
            self.assert_rejected(read_answer(caller))
        self.assertEqual(ending.wait(WAIT), 0)


if __name__ == "__main__":
    unittest.main()
