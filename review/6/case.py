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

from platform_standin import Client, Deployment, Server, judge_drain, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0  # The bound `drain`.
SETTLE_S = 3.0  # The bound `settleWindow`.
DOWN_S = 1.0  # From the crash of the server until it runs again.
STORE_BUSY_S = 4.5
CALM_S = 6.0  # From the end of the store's disturbance until the server leaves.
KILLED_AFTER_S = 1.0  # From the confirmation until the node is killed.
RESTART_S = 0.5  # From the kill of the node until it is started again.
SERVES_AFTER_LEAVING_S = 6.5  # The server goes on for `drain` and some seconds, then exits.


async def case(record, folder):
    deployment = Deployment(folder, record)
    try:
        await deployment.start()
        return await play(record, deployment)
    finally:
        await deployment.stop()


async def play(record, deployment):
    machine, store = deployment.machine, deployment.store
    first = Server(machine, record, "i-server", 0.16)
    await first.start()
    beats = deployment.check_in_forever(first)
    client = Client(machine, record, "a")
    load = asyncio.ensure_future(client.stream("POST", "/book/2f", 1200, 0.05, record.now() + 4))
    await asyncio.sleep(4)
    if not first.arrivals:
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
    beats = deployment.check_in_forever(second)
    await asyncio.sleep(STORE_BUSY_S - 0.5 - DOWN_S)
    record.write("the store answers")
    neighbour = Client(deployment.neighbour, record, "b")
    more = asyncio.ensure_future(neighbour.stream("POST", "/book/2f", 1200, 0.05, record.now() + 15))
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
    await asyncio.gather(load, more)
    return judge_drain(record, second, [client, neighbour], confirmed, max(confirmed + DRAIN_S, calm_from))


sys.exit(run_case(FOLDER, case))
