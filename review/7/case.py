"""A server leaves with DELETE; its node is killed while the store is silent; two check-ins that the server had
sent before it left arrive late at the node's next process.

With TROUBLE=0 the node isn't killed and the store answers; the check-ins are late all the same.
"""
import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from platform_standin import Client, Delay, Deployment, Server, judge_drain, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0  # The bound `drain`.
SETTLE_S = 3.0  # The bound `settleWindow`.
LATE_S = 3.3  # How late the two check-ins arrive.
STORE_SILENT_S = 8.0
RESTART_S = 0.5  # From the kill of the node until it is started again.
SERVES_AFTER_LEAVING_S = 8.0  # The server goes on for `drain` and some seconds, then exits.


async def case(record, folder):
    deployment = Deployment(folder, record)
    try:
        await deployment.start()
        return await play(record, deployment)
    finally:
        await deployment.stop()


async def play(record, deployment):
    machine, store = deployment.machine, deployment.store
    leaving = Server(machine, record, "i-server", 0.16)
    await leaving.start()
    beats = deployment.check_in_forever(leaving)
    # Only requests of this machine's clients count: it has confirmed the leaving itself.
    client = Client(machine, record, "a")
    load = asyncio.ensure_future(client.stream("POST", "/book/2f", 1200, 0.05, record.now() + 16))
    await asyncio.sleep(4)
    if not leaving.arrivals:
        raise RuntimeError("nothing is served before the server leaves")
    late = Delay(machine.control_address, LATE_S)
    await late.start()
    beats.cancel()
    for _ in range(2):
        asyncio.ensure_future(leaving.check_in(late.address))
        await asyncio.sleep(deployment.BEAT_S)
    if await leaving.leave() != 200:
        raise RuntimeError("the leaving was not confirmed")
    confirmed = record.now()
    calm_from = confirmed
    if TROUBLE:
        await asyncio.sleep(0.3)
        store.silent_until = time.monotonic() + STORE_SILENT_S
        record.write("the store falls silent")
        machine.send_signal(signal.SIGKILL)
        record.write("the node is killed")
        await machine.process.wait()
        await asyncio.sleep(RESTART_S)
        await machine.start()
        record.write("the node is started")
        calm_from = record.now() + SETTLE_S
    await asyncio.sleep(confirmed + SERVES_AFTER_LEAVING_S - record.now())
    leaving.crash()
    await load
    return judge_drain(record, leaving, [client], confirmed, max(confirmed + DRAIN_S, calm_from))


sys.exit(run_case(FOLDER, case))
