"""A rejected request is sent to the same server once more, and the late copy of its first rejection is believed.

Two servers of "entry" reject part of their requests, as they do while they are full, and one of them repeats some of
its answers late. The node beside the other one is killed, so a rejected request finds no other server and comes back
to the first one, on the same connection. See claim.txt.
"""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import Client, Deployment, Record, Server, configuration, now, play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["entry", "entry", "booking", "booking"]
LENGTH_S = 90.0
REQUESTS_PER_S = 110
DEADLINE_MS = 1000
PROMISES_NOT_RUN = (408, 421, 429, 503)

# The disruptions, at doses that the site files name; see claim.txt.
REJECTED_SHARE = 0.55
REPEATED_SHARE = 0.03
NODE_DOWN_S = 3.5
PAUSE_S = 1.5


def work(_request):
    return 0.042 * random.lognormvariate(-0.045, 0.3)


async def disrupt(deployment, record, until):
    machines = [0, 1]
    while now() < until - NODE_DOWN_S - 4:
        machines.reverse()
        faulty, node = deployment.servers[machines[0]], deployment.nodes[machines[1]]
        record.write(f"disruption: the servers of entry reject, {faulty.name} repeats, the node of "
                     f"{node.machine.name} is killed")
        for server in deployment.servers[:2]:
            server.shed_share = REJECTED_SHARE
        faulty.extra_share = REPEATED_SHARE
        node.signal(signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(NODE_DOWN_S)
        await node.start()
        faulty.extra_share = 0.0
        for server in deployment.servers[:2]:
            server.shed_share = 0.0
        record.write("the disruption ends")
        await asyncio.sleep(PAUSE_S)


async def send_requests(clients, until):
    tasks = []
    while now() < until:
        tasks.append(asyncio.create_task(random.choice(clients).request("POST", "/refund/x", DEADLINE_MS, b"x")))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    return await asyncio.gather(*tasks)


async def main(folder):
    record = Record(folder)
    async with Deployment(SERVICES, record) as deployment:
        routes = [("/refund/", "unsafe", "entry", 150, 1000, 2, 0)]
        deployment.store.put("op", "", "config", configuration(1, routes, ["entry", "booking"]))
        for number, machine in enumerate(deployment.machines):
            deployment.servers.append(Server(f"s{number}", machine.service, machine, record, slots=12, work=work))
        await deployment.start()
        clients = [Client(machine, record, f"c{number}") for number, machine in enumerate(deployment.machines)]
        until = now() + LENGTH_S
        tasks = [send_requests(clients, until)]
        if TROUBLE:
            tasks.append(disrupt(deployment, record, until))
        answers = (await asyncio.gather(*tasks))[0]
        await asyncio.sleep(1.0)  # A request that is refused may run later.
        runs = set().union(*(server.runs for server in deployment.servers))
    refused = [answer for answer in answers if answer.status in PROMISES_NOT_RUN]
    broken = [answer for answer in refused if answer.attempt in runs]
    print(f"{len(answers)} requests, {len(runs)} ran, {len(refused)} were refused as not run, "
          f"{len(broken)} of these have run")
    for answer in broken:
        record.write(f"REFUSED is broken: {answer.attempt} got {answer.status} and has run")
        print(f"  {answer.attempt} got {answer.status} and has run")
    record.close()
    if not runs:
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(play(main, os.path.dirname(os.path.abspath(__file__))))
