#!/usr/bin/env python3
"""Measures the memory of a node while a server, or callers, send bytes without end, and what callers get.

Usage: Meta/measure-endless-input.py, after the build of deploy/system.toml. Starts two nodes beside stand-ins of the
reviews, one play a row, and prints a table. With --beside it measures how long the calls of other callers take beside
such connections instead.
"""
import asyncio
import json
import os
import random
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "review", "standins"))
from standins import Client, Deployment, Record, Server, configuration, http_call, now, read_message  # noqa: E402

SERVICES = ["entry", "entry"]
DEADLINE_MS = 1000
SERVER_REQUESTS = 8
CALLER_CONNECTIONS = 4
SEND_S = 7.0
OTHER_CALLS = 1000
OTHER_CALLS_PER_S = 150

LONG = b"a" * 65536
LINE = b"X: " + b"a" * 1000 + b"\r\n"
SMALL_CHUNK = b"1;x=" + b"a" * 8000 + b"\r\nb\r\n"
CHUNK = b"400\r\n" + b"a" * 1024 + b"\r\n"

# What is sent after the chunked header, and then without end.
CHUNKED_PARTS = {
    "chunk extension": (b"5;x=", LONG),
    "one trailer line": (b"5\r\nhello\r\n0\r\nX: ", LONG),
    "trailer lines": (b"5\r\nhello\r\n0\r\n", LINE * 64),
    "small chunks with long extensions": (b"", SMALL_CHUNK * 8),
    "chunks": (b"", CHUNK * 64),
}


class EndlessServer(Server):
    """Answers each request with `start`, then `repeated` until the connection is closed."""

    start_bytes, repeated = b"", b""
    sending = 0  # Connections that the node still reads.

    async def serve(self, reader, writer):
        try:
            if await read_message(reader) is not None:
                await self.send_without_end(writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def send_without_end(self, writer):
        self.sending += 1
        try:
            writer.write(self.start_bytes)
            while True:
                writer.write(self.repeated)
                await writer.drain()
        finally:
            self.sending -= 1


def resident_mb(node):
    try:
        with open(f"/proc/{node.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return float("nan")


async def flood(address, header, start, repeated, closed):
    """Sends until the other side closes the connection or the play ends."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    began = now()
    try:
        writer.write(header + start)
        while now() - began < SEND_S:
            writer.write(repeated)
            await writer.drain()
            await asyncio.sleep(0)
    except OSError:
        closed.append(now() - began)
    finally:
        writer.transport.abort()


async def with_nodes(play, server_class=Server):
    with tempfile.TemporaryDirectory() as folder:
        record = Record(folder)
        async with Deployment(SERVICES, record) as deployment:
            routes = [("/refund/", "unsafe", "entry", 150, 1000, 2, 0), ("/look/", "safe", "entry", 150, 1000, 2, 0)]
            deployment.store.put("op", "", "config", configuration(1, routes, ["entry"]))
            for number, machine in enumerate(deployment.machines):
                deployment.servers.append(server_class(f"s{number}", machine.service, machine, record, slots=12))
            await deployment.start()
            return await play(deployment, record)


async def measure(deployment, senders):
    """Returns the memory at rest, after 3 s and after 7 s, of the node that holds most."""
    at_rest = max(resident_mb(node) for node in deployment.nodes)
    tasks = [asyncio.create_task(sender) for sender in senders]
    await asyncio.sleep(3.0)
    early = max(resident_mb(node) for node in deployment.nodes)
    await asyncio.sleep(SEND_S - 3.0)
    late = max(resident_mb(node) for node in deployment.nodes)
    return at_rest, early, late, await asyncio.gather(*tasks)


def print_row(who, what, memory, seen):
    print(f"| {who} | {what} | {memory[0]:.0f} | {memory[1]:.0f} | {memory[2]:.0f} | {seen} |", flush=True)


async def play_server(what, start, repeated):
    async def play(deployment, record):
        for server in deployment.servers:
            server.start_bytes, server.repeated = start, repeated
        client = Client(deployment.machines[0], record, "c")
        requests = [client.request("POST", "/refund/x", DEADLINE_MS + 1000, b"x") for _ in range(SERVER_REQUESTS)]
        *memory, answers = await measure(deployment, requests)
        sending = sum(server.sending for server in deployment.servers)
        statuses = sorted({answer.status or answer.failure for answer in answers}, key=str)
        print_row("a server, 8 requests", what, memory, f"callers got {statuses}; {sending} connections still read")

    await with_nodes(play, EndlessServer)


async def play_callers(what, port_name, start, repeated):
    async def play(deployment, _record):
        address = getattr(deployment.machines[0], port_name)
        header = f"POST /refund/x HTTP/1.1\r\nHost: {address}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        closed = []
        floods = [flood(address, header, start, repeated, closed) for _ in range(CALLER_CONNECTIONS)]
        *memory, _ = await measure(deployment, floods)
        ready = await deployment.nodes[0].is_ready()
        latest = f", the last after {max(closed):.1f} s" if closed else ""
        print_row(f"{port_name}, 4 connections", what, memory,
                  f"{len(closed)} closed{latest}; the node is {'ready' if ready else 'not ready'}")

    await with_nodes(play)


async def send_steadily(machine):
    """Calls at an even rate on connections of their own; prints their times in ms and what they got as JSON."""
    with tempfile.TemporaryDirectory() as folder:
        record = Record(folder)
        client = Client(machine, record, "other")
        times, statuses = [], []

        async def call():
            began = now()
            answer = await client.request("POST", "/refund/x", DEADLINE_MS, b"x")
            times.append((now() - began) * 1000)
            statuses.append(answer.status)

        tasks = []
        for _ in range(OTHER_CALLS):
            tasks.append(asyncio.create_task(call()))
            await asyncio.sleep(random.expovariate(OTHER_CALLS_PER_S))
        await asyncio.gather(*tasks)
        record.close()
    print(json.dumps({"times": sorted(times), "statuses": statuses}))


async def flood_again_and_again(address, header, start, repeated):
    while True:
        try:
            await flood(address, header, start, repeated, [])
        except OSError:
            await asyncio.sleep(0.01)


async def play_beside(what, connections, start, repeated):
    async def play(deployment, _record):
        machine = deployment.machines[0]
        header = f"POST /refund/x HTTP/1.1\r\nHost: {machine.outbound}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        floods = [asyncio.create_task(flood_again_and_again(machine.outbound, header, start, repeated))
                  for _ in range(connections)]
        # A process of its own, so that the floods do not delay its clock.
        others = await asyncio.create_subprocess_exec(sys.executable, os.path.abspath(__file__), "--send-steadily",
                                                      machine.outbound, stdout=asyncio.subprocess.PIPE)
        output, _ = await others.communicate()
        for task in floods:
            task.cancel()
        found = json.loads(output)
        times, served = found["times"], sum(status == 200 for status in found["statuses"])
        print(f"| {what} | {connections} | {served} of {len(times)} | {times[len(times) // 2]:.1f} "
              f"| {times[len(times) * 99 // 100]:.1f} | {resident_mb(deployment.nodes[0]):.0f} |", flush=True)

    await with_nodes(play)


class Outbound:
    def __init__(self, address):
        self.outbound = address


async def measure_others():
    print("| beside | connections | served | p50 ms | p99 ms | MB of the node |")
    print("| --- | --- | --- | --- | --- | --- |")
    await play_beside("none", 0, b"", b"")
    for what in ("chunk extension", "small chunks with long extensions"):
        for connections in (1, 8, 64):
            await play_beside(what, connections, *CHUNKED_PARTS[what])


async def play_trace():
    async def play(deployment, _record):
        machine = deployment.machines[0]
        answer = await http_call(machine.outbound, "TRACE", "/look/x", [("Attempt-Id", "t1")], b"abc")
        running = sum(node.process.returncode is None for node in deployment.nodes)
        status = answer.status if answer else "no answer"
        memory = [resident_mb(deployment.nodes[0])] * 3
        print_row("a caller", "TRACE with a body on a safe route", memory,
                  f"{status}; {running} of {len(deployment.nodes)} nodes run")

    await with_nodes(play)


async def main():
    print("| who sends | what | MB at rest | after 3 s | after 7 s | seen |")
    print("| --- | --- | --- | --- | --- | --- |")
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    for what, (start, repeated) in CHUNKED_PARTS.items():
        await play_server(what, chunked + start, repeated)
    await play_server("a body without length", b"HTTP/1.1 200 OK\r\n\r\n", LONG)
    await play_server("interim responses", b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000)
    for port_name in ("outbound", "control"):
        for what, (start, repeated) in CHUNKED_PARTS.items():
            await play_callers(what, port_name, start, repeated)
    await play_trace()


if __name__ == "__main__":
    if sys.argv[1:2] == ["--send-steadily"]:
        asyncio.run(send_steadily(Outbound(sys.argv[2])))
    else:
        asyncio.run(measure_others() if sys.argv[1:] == ["--beside"] else main())
