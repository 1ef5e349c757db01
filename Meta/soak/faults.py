"""The faults of the soak. Each function is one round: it disturbs, waits and mends. Rounds of several faults run at
one time and may meet on one process, as kills, stops and restarts do in practice."""

import asyncio
import signal

from fleet import GRACE_SECONDS

FAULTS = {}


def fault(function):
    FAULTS[function.__name__.replace("_", "-")] = function
    return function


def _third_of_nodes(fleet, source):
    return source.sample(fleet.nodes, max(1, len(fleet.nodes) // 3))


async def _kill_and_start(programs, source, low, high):
    await asyncio.gather(*(program.kill() for program in programs))
    await asyncio.sleep(source.uniform(low, high))
    await asyncio.gather(*(program.start() for program in programs))


@fault
async def kill_node(fleet, source):
    await _kill_and_start([source.choice(fleet.nodes)], source, 0.0, 3.5)


@fault
async def kill_nodes(fleet, source):
    """A third of the nodes die at one moment."""
    await _kill_and_start(_third_of_nodes(fleet, source), source, 0.5, 3.5)


async def _freeze(programs, source, low, high):
    for program in programs:
        program.send(signal.SIGSTOP)
    await asyncio.sleep(source.uniform(low, high))
    for program in programs:
        program.send(signal.SIGCONT)


@fault
async def freeze_node(fleet, source):
    await _freeze([source.choice(fleet.nodes)], source, 0.1, 4.0)


@fault
async def freeze_nodes_briefly(fleet, source):
    """Shorter than the time after which a silent peer is given up."""
    await _freeze(_third_of_nodes(fleet, source), source, 0.05, 0.7)


@fault
async def freeze_server(fleet, source):
    await _freeze([source.choice(fleet.servers)], source, 0.1, 2.0)


@fault
async def restart_node(fleet, source):
    node = source.choice(fleet.nodes)
    if node.is_running():
        await node.terminate(GRACE_SECONDS)
    await asyncio.sleep(source.uniform(0.0, 1.0))
    await node.start()


@fault
async def restart_frozen_node(fleet, source):
    """SIGTERM reaches a process that is stopped, and takes effect when it goes on."""
    node = source.choice(fleet.nodes)
    node.send(signal.SIGSTOP)
    await asyncio.sleep(source.uniform(0.1, 1.0))
    node.send(signal.SIGTERM)
    await asyncio.sleep(source.uniform(0.1, 2.0))
    node.send(signal.SIGCONT)
    await asyncio.sleep(source.uniform(0.0, 4.0))
    await _kill_and_start([node], source, 0.0, 1.0)


@fault
async def reload_settings(fleet, source):
    source.choice(fleet.nodes).send(signal.SIGHUP)


@fault
async def crash_server(fleet, source):
    server = source.choice(fleet.servers)
    await server.kill()
    await asyncio.sleep(source.uniform(0.0, 1.5))
    await server.start(new_instance=source.random() < 0.7)


@fault
async def release_server(fleet, source):
    server = source.choice(fleet.servers)
    if server.is_running():
        await server.terminate(10.0)
    await server.start()


async def _server_faults(fleet, source, seconds, share=0.5, **settings):
    """On `share` of the servers of one service."""
    service = source.choice(fleet.deployment.services).name
    servers = [server for server in fleet.servers if server.machine.service == service]
    chosen = source.sample(servers, max(1, round(len(servers) * share)))
    seeds = [source.randrange(1 << 30) for _ in chosen]
    await asyncio.gather(*(server.faults(seed=seed, **settings) for server, seed in zip(chosen, seeds)))
    await asyncio.sleep(seconds)
    await asyncio.gather(*(server.faults() for server in chosen))


@fault
async def reject(fleet, source):
    """Servers reject a part of their requests, and repeat some of the rejections late."""
    await _server_faults(fleet, source, source.uniform(2.0, 6.0), 1.0, shed_share=0.3,
                         shed_double_late_share=0.25, double_late_share=0.05)


@fault
async def garble(fleet, source):
    await _server_faults(fleet, source, source.uniform(2.0, 5.0), 0.5, cut_share=0.1, spoil_share=0.1,
                         unframed_share=0.1, double_share=0.1, double_late_share=0.1,
                         shed_double_late_share=0.1, invalid_status_share=0.05, folded_share=0.05, early_share=0.2)


@fault
async def lose_answers(fleet, source):
    await _server_faults(fleet, source, source.uniform(1.0, 4.0), 0.5, drop_share=0.4, fail_share=0.1)


@fault
async def slow_servers(fleet, source):
    await _server_faults(fleet, source, source.uniform(2.0, 5.0), 0.7, slow_factor=source.uniform(2.0, 8.0))


@fault
async def hang(fleet, source):
    await _server_faults(fleet, source, source.uniform(1.0, 3.0), 0.3, hang_share=0.3)


@fault
async def change_configuration(fleet, source):
    for _ in range(source.randint(1, 4)):
        await fleet.configure()
        await asyncio.sleep(source.uniform(0.05, 0.5))


@fault
async def disturb_store(fleet, source):
    kinds = ({"down": True}, {"delay_ms": 800}, {"lose_answers": 0.3}, {"late_writes": 0.3, "late_ms": 1000})
    await fleet.store_faults(seed=source.randrange(1 << 30), **source.choice(kinds))
    await asyncio.sleep(source.uniform(1.0, 5.0))
    await fleet.store_faults()
