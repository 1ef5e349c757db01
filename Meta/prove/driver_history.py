"""The driver's own history: what it launched, disturbed and published, in the format of LibHistory."""

import json
import os
import threading
import time


class DriverHistory:
    """Writes one event on a line; safe to use from every thread."""

    def __init__(self, path, process="driver"):
        self.file = open(path, "w", buffering=1)
        self.process = process
        self.lock = threading.Lock()
        self.sequence = 0
        self.record("process.started", pid=os.getpid())

    def record(self, event, **fields):
        with self.lock:
            self.sequence += 1
            line = {"t": time.monotonic_ns(), "p": self.process, "n": self.sequence, "e": event, **fields}
            self.file.write(json.dumps(line) + "\n")

    def launched(self, target, role, address="", node=""):
        self.record("process.launched", target=target, role=role, address=address, node=node)

    def exited(self, target, status):
        self.record("process.exited", target=target, status=status)

    def fault_began(self, fault, target):
        self.record("fault.began", fault=fault, target=target)

    def fault_ended(self, fault, target):
        self.record("fault.ended", fault=fault, target=target)

    def close(self):
        self.file.close()
