"""A server restarts under its id while the store is busy. Later it leaves with DELETE, and its node is killed
and started again.

With TROUBLE=0 the server restarts and leaves all the same; the store isn't busy and the node isn't killed.
"""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from platform_standin import Client, Machine, Server, Store, configuration, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "despacho"
DRAIN_S = 2.0  # The bound `drain`.
SETTLE_S = 3.0  # The bound `settleWindow`.
BEAT_S = 0.87
DOWN_S = 1.0  # From the crash of the server until it runs again.
STORE_BUSY_S = 4.5
CALM_S = 6.0  # From the end of the store's disturbance until the server leaves.
KILLED_AFTER_S = 1.0  # From the confirmation until the node is killed.
RESTART_S = 0.5  # From the kill of the node until it is started again.
SERVES_AFTER_LEAVING_S = 6.5  # The server goes on for `drain` and some seconds, then exits.


async def check_in_forever(server):
    while True:
        await server.check_in()
        await asyncio.sleep(BEAT_S)


async def case(record, folder):
    store = Store()
    await store.start()
    store.configure(configuration(1, [("book", "/book/", "unsafe", SERVICE, 1200)], [SERVICE]))
    machine = Machine(folder, store, "sidecar-ate-1", "ate", SERVICE)
    await machine.start()
    try:
        return await play(record, store, machine)
    finally:
        await machine.stop()


async def play(record, store, machine):
    await machine.wait_until_ready()
    first = Server(machine, record, "i-server", 0.16)
    await first.start()
    beats = asyncio.ensure_future(check_in_forever(first))
    client = Client(machine, record, "a")
    load = asyncio.ensure_future(client.stream("POST", "/book/2f", 1200, 0.05, record.now() + 28))
    await asyncio.sleep(4)
    if not any(status == 200 for status in client.answers.values()):
        raise RuntimeError("nothing is served before the crash")
    if TROUBLE:
        store.busy_until = time.monotonic() + STORE_BUSY_S
        record.write("the store answers 503 from now on")
    await asyncio.sleep(0.5)
    beats.cancel()
    first.crash()
    await asyncio.sleep(DOWN_S)
    second = Server(machine, record, "i-server", 0.16)
    await second.start()
    beats = asyncio.ensure_future(check_in_forever(second))
    await asyncio.sleep(STORE_BUSY_S - 0.5 - DOWN_S)
    record.write("the store answers")
    await asyncio.sleep(CALM_S)
    if not second.arrivals:
        raise RuntimeError("nothing is served after the restart of the server")

    beats.cancel()
    if await second.leave() != 200:
        raise RuntimeError("the leaving was not confirmed")
    confirmed = record.now()
    calm_from = confirmed
    if TROUBLE:
        await asyncio.sleep(KILLED_AFTER_S)
        machine.send_signal(signal.SIGKILL)
        record.write("the node is killed")
        await machine.process.wait()
        await asyncio.sleep(RESTART_S)
        await machine.start()
        record.write("the node is started")
        calm_from = record.now() + SETTLE_S
    await asyncio.sleep(confirmed + SERVES_AFTER_LEAVING_S - record.now())
    second.crash()
    await load
    bound = max(confirmed + DRAIN_S, calm_from)
    after = [(at, attempt) for at, attempt in second.arrivals if at > bound]
    lost = [attempt for _, attempt in after if client.answers.get(attempt) != 200]
    record.write(f"confirmed at {confirmed:.3f}; {len(after)} requests reached the server later than "
                 f"{DRAIN_S} s after it and {SETTLE_S} s after the start of the node, the last "
                 f"{max((at for at, _ in after), default=confirmed) - confirmed:.3f} s after it; "
                 f"{len(lost)} of them ended without its answer")
    return not after


sys.exit(run_case(FOLDER, case))
