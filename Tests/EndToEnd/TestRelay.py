"""The relay disturbs exactly the connections that it is told to, so that a fault in a proof run is the one named."""

import re
import socket
import subprocess
import sys
import threading
import unittest

BIN = sys.argv.pop(1)
WAIT = 10.0  # Seconds for what must arrive.
SILENCE = 0.3  # Seconds in which what must not arrive would have come on loopback.


def start_relay(target_port, *options):
    """Returns the process and the ports for traffic and commands. The relay takes ports of the kernel's choice and
    names them: a port that a test probes and lets go can be handed out again before the relay has it."""
    relay = subprocess.Popen(
        [f"{BIN}/sagecrank-relay", "--listen", "127.0.0.1:0", "--to", f"127.0.0.1:{target_port}", "--control",
         "127.0.0.1:0", *options], stderr=subprocess.PIPE)
    line = relay.stderr.readline().decode()
    found = re.fullmatch(r"relay listens on 127\.0\.0\.1:(\d+), takes commands on 127\.0\.0\.1:(\d+)\n", line)
    if found is None:
        raise AssertionError(f"the relay did not start, it says: {line!r}")
    return relay, int(found[1]), int(found[2])


class EchoServer:
    """Sends back whatever it gets, on any number of connections."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.echo, args=(connection,), daemon=True).start()

    @staticmethod
    def echo(connection):
        try:
            while data := connection.recv(65536):
                connection.sendall(data)
        except OSError:
            pass
        connection.close()


class RelayTest(unittest.TestCase):
    def setUp(self):
        self.server = EchoServer()
        self.relay, self.port, control_port = start_relay(self.server.port)
        self.control = socket.create_connection(("127.0.0.1", control_port), WAIT)

    def tearDown(self):
        self.control.close()
        self.server.listener.close()
        self.relay.terminate()
        self.assertEqual(self.relay.wait(WAIT), 0)
        self.relay.stderr.close()

    def command(self, line):
        self.control.sendall(line.encode() + b"\n")
        return self.control.recv(256).decode().strip()

    def connect(self):
        connection = socket.create_connection(("127.0.0.1", self.port), WAIT)
        self.addCleanup(connection.close)
        self.assertEqual(self.echo(connection), b"hello")
        return connection

    @staticmethod
    def echo(connection, data=b"hello", wait=WAIT):
        connection.settimeout(wait)
        try:
            connection.sendall(data)
            return connection.recv(65536)
        except socket.timeout:
            return None

    def test_silence_is_for_good_and_only_for_what_was_open(self):
        before = self.connect()
        self.assertEqual(self.command("silence"), "ok")
        self.assertIsNone(self.echo(before, wait=SILENCE))
        self.connect()
        self.assertEqual(self.command("pass"), "ok")
        self.assertIsNone(self.echo(before, wait=SILENCE))

    def test_hole_holds_new_connections_too(self):
        before = self.connect()
        self.assertEqual(self.command("hole"), "ok")
        self.assertIsNone(self.echo(before, wait=SILENCE))
        new = socket.create_connection(("127.0.0.1", self.port), WAIT)
        self.addCleanup(new.close)
        self.assertIsNone(self.echo(new, wait=SILENCE))

    def test_cut_resets_what_was_open(self):
        before = self.connect()
        self.assertEqual(self.command("cut"), "ok")
        with self.assertRaises(ConnectionError):
            before.recv(1)
        self.connect()

    def test_delay_keeps_the_order(self):
        connection = self.connect()
        self.assertEqual(self.command("delay down 50"), "ok")
        connection.sendall(b"first ")
        self.assertEqual(self.command("delay down 0"), "ok")
        connection.sendall(b"second")
        received = b""
        while len(received) < len(b"first second"):
            received += connection.recv(64)
        self.assertEqual(received, b"first second")

    def test_bad_commands_are_refused(self):
        for line in ("", "nothing", "delay up", "delay left 3", "drop 2", "cut now"):
            with self.subTest(line=line):
                self.assertTrue(self.command(line).startswith("not a command"))


class UdpRelayTest(unittest.TestCase):
    def received_numbers(self, seed):
        target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        target.bind(("127.0.0.1", 0))
        target.settimeout(WAIT)
        relay, port, control_port = start_relay(target.getsockname()[1], "--udp", "--seed", str(seed))
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with socket.create_connection(("127.0.0.1", control_port), WAIT) as control, target, sender:
            control.sendall(b"drop 0.5\n")
            control.recv(16)
            for number in range(40):
                sender.sendto(bytes([number]), ("127.0.0.1", port))
            numbers = []
            target.settimeout(1.0)
            try:
                while True:
                    numbers.append(target.recv(16)[0])
            except socket.timeout:
                pass
        relay.terminate()
        relay.wait(WAIT)
        relay.stderr.close()
        return sorted(numbers)

    def test_the_seed_chooses_what_is_dropped(self):
        first = self.received_numbers(7)
        self.assertTrue(0 < len(first) < 40)
        self.assertEqual(first, self.received_numbers(7))
        self.assertNotEqual(first, self.received_numbers(8))


if __name__ == "__main__":
    unittest.main()
