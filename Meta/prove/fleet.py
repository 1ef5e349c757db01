"""A small fleet of real processes on loopback: the platform's emulator, nodes in three zones, their upstreams,
relays and callers."""

import json
import os
import socket
import threading
import time

import configuration
from processes import Process, choose_ports, get, post_json, stop_all

ZONES = ("zone-a", "zone-b", "zone-c")
START_SECONDS = 15.0
PORTS = 400
RECORDING_ROLES = ("node", "upstream", "caller", "operator")


class NodeSeat:
    """Where one node and the upstream beside it stand; both may be launched there again and again."""

    def __init__(self, number, zone, cluster, ports):
        self.name = f"{zone[-1]}{number}"
        self.zone = zone
        self.cluster = cluster
        self.upstream_name = f"upstream-{self.name}"
        self.callers, self.peers, self.gossip, self.control, self.admin, self.upstream = (
            f"127.0.0.1:{next(ports)}" for _ in range(6))
        self.platform = ""  # Where the node reaches the platform; set by the fleet.
        self.advertised_peers = self.peers  # Where other nodes reach it.
        self.node = None
        self.upstream_process = None
        self.node_lock, self.upstream_lock = threading.Lock(), threading.Lock()


class Relay:
    """A relay between two processes and the port that commands it."""

    def __init__(self, name, listen, to, control):
        self.name, self.listen, self.to, self.control = name, listen, to, control

    def command(self, line):
        host, port = self.control.split(":")
        with socket.create_connection((host, int(port)), 5.0) as connection:
            connection.sendall(line.encode() + b"\n")
            answer = connection.recv(256).decode().strip()
        if answer != "ok":
            raise RuntimeError(f"{self.name}: {line}: {answer}")


class Fleet:
    """Launches and stops everything of one run. Only what it started is ever signalled."""

    def __init__(self, binaries, folder, history, random, nodes, work_ms):
        self.binaries, self.folder, self.history, self.random = binaries, folder, history, random
        base = choose_ports(random, PORTS)
        ports = iter(range(base, base + PORTS))
        self.platform_address = f"127.0.0.1:{next(ports)}"
        self.booking_work = f"{work_ms}:exponential"
        self.processes = []
        self.platform = None
        self.operators = configuration.Operators(self, ZONES)
        # Two of three seats serve bookings and the third the entry service, in every zone.
        self.seats = [NodeSeat(number, ZONES[number % len(ZONES)],
                               "booking" if number < (2 * nodes + 2) // 3 else "entry", ports)
                      for number in range(nodes)]
        # One zone reaches the platform, and callers reach one node, through a relay.
        relayed_zone = ZONES[0]
        self.platform_relay = self._relay("relay-platform", self.platform_address, ports)
        for seat in self.seats:
            relayed = seat.zone == relayed_zone
            seat.platform = self.platform_relay.listen if relayed else self.platform_address
        self.caller_relay = self._relay("relay-callers", self.seats[1].callers, ports)
        # Calls to the nodes of another zone go through relays of their own.
        self.peer_relays = []
        for seat in self.seats:
            if seat.zone == ZONES[2]:
                relay = self._relay(f"relay-{seat.name}", seat.peers, ports)
                seat.advertised_peers = relay.listen
                self.peer_relays.append(relay)

    @staticmethod
    def _relay(name, to, ports):
        return Relay(name, f"127.0.0.1:{next(ports)}", to, f"127.0.0.1:{next(ports)}")

    def launch(self, name, role, arguments, **places):
        process = Process(name, role, arguments, self.folder, self.history, **places)
        self.processes.append(process)
        return process

    def start(self):
        self.platform = self.launch("platform", "platform", [
            f"{self.binaries}/sagecrank-platform-emulator", "--listen", self.platform_address])
        self._await(self._platform_answers, "the platform's emulator")
        for relay in (self.platform_relay, self.caller_relay, *self.peer_relays):
            self.launch(relay.name, "relay", [
                f"{self.binaries}/sagecrank-relay", "--listen", relay.listen, "--to", relay.to,
                "--control", relay.control])
        if self.operators.publish("first") != 0:
            raise RuntimeError("the first version was not accepted")
        for seat in self.seats:
            self.launch_node(seat)
        for seat in self.seats:
            self.launch_upstream(seat)
        for seat in self.seats:
            self._await(lambda seat=seat: self._ready(seat), f"node {seat.name}")

    def launch_node(self, seat):
        seeds = [other.gossip for other in self.seats if other is not seat][:3]
        path = os.path.join(self.folder, f"{seat.name}.toml")
        with open(path, "w") as file:
            file.write(configuration.node_settings(seat, seeds))
        seat.node = self.launch(seat.name, "node", [f"{self.binaries}/sagecrank-node", "--settings", path],
                                address=seat.callers)

    def launch_upstream(self, seat, *extra):
        seat.upstream_process = self.launch(seat.upstream_name, "upstream", [
            f"{self.binaries}/sagecrank-upstream-emulator", "--listen", seat.upstream,
            "--name", seat.upstream_name, "--cluster", seat.cluster, "--node-admin", seat.admin,
            "--slots", "4", "--work", f"/booking/reserve={self.booking_work}",
            "--work", f"/entry/refund={self.booking_work}", "--work", "/=8:exponential",
            "--history", *extra], node=seat.name)

    def launch_callers(self, seconds, seed, visitors, pause_ms):
        """The relayed node is also called through its relay, under the same address in the history."""
        arguments = [f"{self.binaries}/sagecrank-caller", "--name", "callers", "--seconds", str(seconds),
                     "--visitors", str(visitors), "--seed", str(seed), "--pause-ms", str(pause_ms),
                     "--book", "/booking/reserve", "--book", "/entry/refund",
                     "--look-up", "/booking/slots", "--look-up", "/entry/gate"]
        for seat in self.seats:
            relayed = seat.callers == self.caller_relay.to
            arguments += ["--node", self.caller_relay.listen if relayed else seat.callers]
        # A call through the relay names the relay's address, so the relay stands for its node.
        self.history.launched(self.caller_relay_node().name, "address", self.caller_relay.listen)
        return self.launch("callers", "caller", arguments)

    def caller_relay_node(self):
        return next(seat for seat in self.seats if seat.callers == self.caller_relay.to)

    def platform_relay_seats(self):
        return [seat for seat in self.seats if seat.platform == self.platform_relay.listen]

    def platform_faults(self, **faults):
        post_json(self.platform_address, "/emulator/faults", json.dumps(faults))

    def platform_counters(self):
        return json.loads(get(self.platform_address, "/emulator/counters")[1])

    def upstream_faults(self, seat, **faults):
        """Another fault may have launched the upstream a moment ago; then it does not listen yet."""
        end = time.monotonic() + START_SECONDS
        while True:
            try:
                return post_json(seat.upstream, "/emulator/faults", json.dumps(faults))
            except ConnectionRefusedError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.02)

    def stop(self):
        stop_all([process for process in self.processes if process.running()])

    def snapshot_histories(self):
        """Copies what the driver, nodes, upstreams and callers have written so far, and names the copies."""
        streams = [(self.history.file.name, "driver")]
        streams += [(process.history_path, process.role) for process in self.processes
                    if process.role in RECORDING_ROLES]
        copies = []
        for path, role in streams:
            copies.append(path + ".judged")
            with open(path, "rb") as source, open(copies[-1], "wb") as target:
                # sagecrankctl prints its report for people after its events; nobody else may print anything.
                target.writelines(line for line in source if role != "operator" or line.startswith(b'{"t":'))
        return copies

    def _platform_answers(self):
        return get(self.platform_address, "/emulator/counters")[0] == 200

    def _ready(self, seat):
        return get(seat.admin, "/ready")[0] == 200

    @staticmethod
    def _await(condition, what):
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError(f"{what} did not come up")
