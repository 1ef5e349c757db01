"""A server leaves with DELETE; its node is killed while the store is silent; two check-ins that the server had
sent before it left arrive late at the node's next process.

With TROUBLE=0 the node isn't killed and the store answers; the check-ins are late all the same.
"""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

import time  # noqa: E402

from platform_standin import Client, Delay, Machine, Server, Store, configuration, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICE = "despacho"
ZONE = "miraflores"
DRAIN_S = 2.0  # The bound `drain`.
SETTLE_S = 3.0  # The bound `settleWindow`.
BEAT_S = 0.87
LATE_S = 3.3  # How late the two check-ins arrive.
STORE_SILENT_S = 8.0
RESTART_S = 0.5  # From the kill of the node until it is started again.
SERVES_AFTER_LEAVING_S = 8.0  # The server goes on for `drain` and some seconds, then exits.


async def check_in_forever(server):
    while True:
        await server.check_in()
        await asyncio.sleep(BEAT_S)


async def case(record, folder):
    store = Store()
    await store.start()
    store.configure(configuration(1, [("book", "/book/", "unsafe", SERVICE, 1200)], [SERVICE]))
    machines = [Machine(folder, store, f"sidecar-{ZONE}-{number}", ZONE, SERVICE) for number in (1, 2, 3)]
    for machine in machines:
        await machine.start()
    try:
        return await play(record, store, machines)
    finally:
        for machine in machines:
            await machine.stop()


async def play(record, store, machines):
    servers = []
    beats = []
    for number, machine in enumerate(machines, 1):
        await machine.wait_until_ready()
        servers.append(Server(machine, record, f"i-{number}", 0.16))
        await servers[-1].start()
        beats.append(asyncio.ensure_future(check_in_forever(servers[-1])))
    machine, leaving = machines[0], servers[0]
    client = Client(machine, record, "a")
    load = asyncio.ensure_future(client.stream("POST", "/book/2f", 1200, 0.05, record.now() + 18))
    await asyncio.sleep(4)
    if not leaving.arrivals:
        raise RuntimeError("nothing is served before the server leaves")
    late = Delay(machine.control_address, LATE_S)
    await late.start()
    beats[0].cancel()
    for _ in range(2):
        asyncio.ensure_future(leaving.check_in(late.address))
        await asyncio.sleep(BEAT_S)
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
    for beat in beats:
        beat.cancel()
    bound = max(confirmed + DRAIN_S, calm_from)
    after = [(at, attempt) for at, attempt in leaving.arrivals if at > bound]
    lost = [attempt for _, attempt in after if client.answers.get(attempt) != 200]
    record.write(f"confirmed at {confirmed:.3f}; {len(after)} requests reached the server later than "
                 f"{DRAIN_S} s after it and {SETTLE_S} s after the start of the node, the last "
                 f"{max((at for at, _ in after), default=confirmed) - confirmed:.3f} s after it; "
                 f"{len(lost)} of them ended without its answer")
    return not after


sys.exit(run_case(FOLDER, case))
