"""A server restarts after a crash, its first check-ins are late, and it leaves with DELETE at once.

With TROUBLE=0 the check-ins are in time; all else is the same.
"""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from platform_standin import Client, Delay, Machine, Server, Store, configuration, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "despacho"
DRAIN_S = 2.0  # The bound `drain`.
BEAT_S = 0.87
LATE_S = 3.0  # How late a check-in arrives.
DOWN_S = 1.0  # From the crash of the server until it runs again.
SERVES_AFTER_LEAVING_S = 8.0  # The server goes on for `drain` and some seconds, then exits.


async def check_in_forever(server):
    while True:
        await server.check_in()
        await asyncio.sleep(BEAT_S)


async def case(record, folder):
    store = Store()
    await store.start()
    store.configure(configuration(1, [("book", "/book/", "unsafe", SERVICE, 1200)], [SERVICE]))
    machine = Machine(folder, store, "sidecar-miraflores-1", "miraflores", SERVICE)
    await machine.start()
    try:
        return await play(record, machine)
    finally:
        await machine.stop()


async def play(record, machine):
    await machine.wait_until_ready()
    first = Server(machine, record, "i-first", 0.16)
    await first.start()
    beats = asyncio.ensure_future(check_in_forever(first))
    client = Client(machine, record, "a")
    load = asyncio.ensure_future(client.stream("POST", "/book/2f", 1200, 0.05, record.now() + 20))
    await asyncio.sleep(4)
    if not any(status == 200 for status in client.answers.values()):
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
    await asyncio.sleep(SERVES_AFTER_LEAVING_S)
    second.crash()
    await load
    after = [(at, attempt) for at, attempt in second.arrivals if at > confirmed + DRAIN_S]
    lost = [attempt for _, attempt in after if client.answers.get(attempt) != 200]
    record.write(f"confirmed at {confirmed:.3f}; {len(after)} requests reached the server later than "
                 f"{DRAIN_S} s after it, the last {max((at for at, _ in after), default=confirmed) - confirmed:.3f}"
                 f" s after it; {len(lost)} of them ended without its answer")
    return not after


sys.exit(run_case(FOLDER, case))
