"""Starts the processes of a run and ends exactly those, by process id."""

import http.client
import itertools
import os
import signal
import socket
import subprocess
import threading
import time

STOP_SECONDS = 8.0  # For a process to end after SIGTERM before it is killed.


class Process:
    """One launch of a named process. Its standard output is its history, its standard error a log."""

    launches = itertools.count(1)

    def __init__(self, name, role, arguments, folder, history, address="", node=""):
        self.name = name
        self.role = role
        self.history = history
        number = next(Process.launches)
        self.history_path = os.path.join(folder, f"{name}.{number}.history")
        with open(self.history_path, "wb") as out, open(os.path.join(folder, f"{name}.{number}.log"), "wb") as log:
            history.launched(name, role, address, node)
            self.popen = subprocess.Popen(arguments, stdout=out, stderr=log, stdin=subprocess.DEVNULL)
        # Waited for from the start, so that the time of its end is known and no id is used after it.
        self.ended = threading.Event()
        self.lock = threading.Lock()
        self.waiter = threading.Thread(target=self._wait, daemon=True)
        self.waiter.start()

    def _wait(self):
        status = self.popen.wait()
        with self.lock:
            self.history.exited(self.name, status)
            self.ended.set()

    def running(self):
        return not self.ended.is_set()

    def send(self, signal_number):
        """Signals this very process; nothing once it has ended."""
        with self.lock:
            if self.popen.returncode is None:
                self.popen.send_signal(signal_number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.ended.wait(STOP_SECONDS)

    def pause(self):
        self.send(signal.SIGSTOP)

    def wake(self):
        self.send(signal.SIGCONT)

    def drain(self):
        self.send(signal.SIGTERM)

    def wait(self, seconds):
        return self.ended.wait(seconds)


def stop_all(processes):
    """Ends what is left of a run; whether each one ended by itself is part of no promise here."""
    for process in processes:
        process.wake()
        process.send(signal.SIGTERM)
    until = time.monotonic() + STOP_SECONDS
    for process in processes:
        if not process.wait(max(0.0, until - time.monotonic())):
            process.kill()


def choose_ports(random, count):
    """A run of free ports below the range that the kernel hands out to clients."""
    for _ in range(100):
        base = random.randrange(10000, 32000 - count)
        if all(_is_free(base + offset) for offset in range(count)):
            return base
    raise RuntimeError("no free range of ports")


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def post_json(address, path, text, seconds=5.0):
    """A small HTTP request; returns the status and the body."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request("POST", path, body=text, headers={"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def get(address, path, seconds=2.0):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=seconds)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()
