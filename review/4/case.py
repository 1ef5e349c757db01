"""A server restarts after a crash, its first check-in is late, and it leaves with DELETE at once.

With TROUBLE=0 the check-in is in time; all else is the same.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from platform_standin import Client, Delay, Deployment, Server, judge_drain, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0  # The bound `drain`.
LATE_S = 3.0  # How late a check-in arrives.
DOWN_S = 1.0  # From the crash of the server until it runs again.
SERVES_AFTER_LEAVING_S = 7.0  # The server goes on for `drain` and some seconds, then exits.


async def case(record, folder):
    deployment = Deployment(folder, record)
    try:
        await deployment.start()
        return await play(record, deployment)
    finally:
        await deployment.stop()


async def play(record, deployment):
    machine = deployment.machine
    first = Server(machine, record, "i-first", 0.16)
    await first.start()
    beats = deployment.check_in_forever(first)
    client = Client(machine, record, "a")
    load = asyncio.ensure_future(client.stream("POST", "/book/2f", 1200, 0.05, record.now() + 4))
    await asyncio.sleep(4)
    if not first.arrivals:
        raise RuntimeError("nothing is served before the crash")
    beats.cancel()
    first.crash()
    await asyncio.sleep(DOWN_S)

    second = Server(machine, record, "i-second", 0.16)
    await second.start()
    late = Delay(machine.control_address, LATE_S)
    await late.start()
    # A check-in that is not answered within a second counts as failed.
    await second.check_in(late.address if TROUBLE else None)
    if await second.leave() != 200:
        raise RuntimeError("the leaving was not confirmed")
    confirmed = record.now()
    neighbour = Client(deployment.neighbour, record, "b")
    more = asyncio.ensure_future(neighbour.stream("POST", "/book/2f", 1200, 0.05, confirmed + 9))
    await asyncio.sleep(SERVES_AFTER_LEAVING_S)
    second.crash()
    await asyncio.gather(load, more)
    return judge_drain(record, second, [client, neighbour], confirmed, confirmed + DRAIN_S)


sys.exit(run_case(FOLDER, case))
