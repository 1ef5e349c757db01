"""The processes of one run: the store of rows, and on each machine a node and an application server. Only processes
that were started here are ever signalled, by their handles."""

import asyncio
import json
import os
import random
import signal
import socket

from deployments import configuration, render, settings_fields

TEMPLATE = "deploy/node.toml.template"
GRACE_SECONDS = 6.0  # Between SIGTERM and SIGKILL, as the platform gives it.
READY_SECONDS = 20.0
SETTLE_SECONDS = 2.0
STORE_PORT_OFFSET = 30


class Machine:
    """The addresses of one machine: one loopback address, the same ports on each."""

    def __init__(self, number, net, port, zone, service):
        self.name, self.zone, self.service = f"m{number}", zone, service.name
        self.slots = service.slots
        self.ip = f"{net}.{number + 10}"
        self.outbound, self.inbound, self.ready, self.control, self.app = (
            f"{self.ip}:{port + offset}" for offset in range(5))
        self.port_range = [port + 5, port + 20]

    def addresses(self):
        return [self.outbound, self.inbound, self.ready, self.control, self.app,
                *(f"{self.ip}:{port}" for port in self.port_range)]


def _is_free(address):
    host, port = address.split(":")
    with socket.socket() as probe:
        try:
            probe.bind((host, int(port)))
        except OSError:
            return False
    return True


def choose_machines(deployment):
    services = [service for service in deployment.services for _ in range(service.servers)]
    chosen = random.Random()
    while True:
        net = f"127.{chosen.randrange(20, 250)}.{chosen.randrange(1, 250)}"
        port = chosen.randrange(10000, 30000)
        machines = [Machine(number, net, port, f"zone-{number % deployment.zones}", service)
                    for number, service in enumerate(services)]
        store = f"{net}.9:{port + STORE_PORT_OFFSET}"
        if all(_is_free(address) for machine in machines for address in machine.addresses()) and _is_free(store):
            return machines, store


async def call_http(address, method, path, body=b"", seconds=1.0):
    """Returns the status, or 0 if there is no answer."""

    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            return int((await reader.readline()).split(b" ")[1])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), seconds)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0


class Program:
    """A program that is started again and again under one name, with its output added to one file."""

    def __init__(self, name, folder):
        self.name, self.folder = name, folder
        self.process = None

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def start_program(self, *command):
        if self.is_running():
            return
        with open(os.path.join(self.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        if self.process:
            await self.process.wait()

    async def terminate(self, seconds):
        """SIGTERM, and SIGKILL after `seconds`."""
        process = self.process
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), seconds)
        except asyncio.TimeoutError:
            await self.kill()


class Node(Program):
    def __init__(self, machine, store, deployment, folder, program):
        super().__init__(f"node-{machine.name}", folder)
        self.machine, self.program = machine, program
        self.settings = os.path.join(folder, f"{self.name}.toml")
        with open(TEMPLATE) as template, open(self.settings, "w") as file:
            file.write(render(template.read(), settings_fields(machine, store, deployment)))

    async def start(self):
        await self.start_program(self.program, "--settings", self.settings)

    async def is_ready(self):
        return await call_http(self.machine.ready, "GET", "/api/readyz") == 200


class Server(Program):
    """The application server of a machine. Each start may be a new incarnation."""

    def __init__(self, machine, works, folder, program):
        super().__init__(f"server-{machine.name}", folder)
        self.machine, self.works, self.program = machine, works, program
        self.starts = 0

    async def start(self, new_instance=True):
        self.starts += new_instance
        await self.start_program(
            self.program, "--listen", self.machine.app, "--name", self.name, "--cluster", self.machine.service,
            "--node-admin", self.machine.control, "--instance", f"i-{self.machine.name}-{self.starts}",
            "--slots", str(self.machine.slots), "--queue", "8", *self.works, "--history")

    async def faults(self, **settings):
        await call_http(self.machine.app, "POST", "/emulator/faults", json.dumps(settings).encode())


class Fleet:
    """Use as an asynchronous context manager; ends all that it started, also when a run fails or is cut short."""

    def __init__(self, deployment, folder, node_program, binaries):
        self.deployment, self.folder = deployment, folder
        self.machines, self.store_address = choose_machines(deployment)
        self.store = Program("store", folder)
        self.binaries = binaries
        works = [f"--work={route.prefix}={route.work}:lognormal" for route in deployment.routes]
        self.nodes = [Node(machine, self.store_address, deployment, folder, node_program)
                      for machine in self.machines]
        self.servers = [Server(machine, works, folder, f"{binaries}/sagecrank-upstream-emulator")
                        for machine in self.machines]
        self.version = 0

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        await self.store.start_program(f"{self.binaries}/sagecrank-rows-emulator", "--listen", self.store_address)
        await self._await(self.configure)
        await asyncio.gather(*(program.start() for program in [*self.nodes, *self.servers]))
        for node in self.nodes:
            await self._await(node.is_ready)
        await asyncio.sleep(SETTLE_SECONDS)

    async def __aexit__(self, *error):
        programs = [*self.nodes, *self.servers, self.store]
        for program in programs:
            program.send(signal.SIGCONT)
            program.send(signal.SIGTERM if isinstance(program, Server) else signal.SIGKILL)
        await asyncio.gather(*(program.kill() for program in programs))

    async def configure(self):
        """Publishes the next version; returns whether the store took it."""
        self.version += 1
        return await call_http(self.store_address, "POST", "/emulator/configuration",
                               configuration(self.deployment, self.version).encode()) == 200

    async def store_faults(self, **settings):
        await call_http(self.store_address, "POST", "/emulator/faults", json.dumps(settings).encode())

    @staticmethod
    async def _await(condition):
        for _ in range(int(READY_SECONDS / 0.1)):
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{condition.__qualname__} did not hold in {READY_SECONDS} s")
