"""The faults of a run. Each one disturbs, waits a seeded time and mends, again and again until the run's
disturbed part is over, and writes down when it began and ended."""

import contextlib
import time

import platform_rows

FAULTS = {}
DRAIN_SECONDS = 70.0  # Longer than a draining process may take at most.


def fault(function):
    """Registers one round of a fault under its name; a round gets (fleet, random, pause)."""
    FAULTS[function.__name__.replace("_", "-")] = function
    return function


class Round:
    """What a round of a fault works with. `pause` returns early, with False, when the run is cut short."""

    def __init__(self, fleet, random, stopping):
        self.fleet, self.random, self.stopping = fleet, random, stopping

    def pause(self, low, high=None):
        seconds = low if high is None else self.random.uniform(low, high)
        return not self.stopping.wait(seconds)

    @contextlib.contextmanager
    def node_seats(self, count=1, among=None):
        """Seats whose nodes nobody else disturbs meanwhile, so that two faults never fight over one process."""
        with self._held(self.random.sample(among or self.fleet.seats, count), "node_lock") as seats:
            yield seats

    @contextlib.contextmanager
    def upstream_seat(self):
        with self._held([self.random.choice(self.fleet.seats)], "upstream_lock") as seats:
            yield seats[0]

    @contextlib.contextmanager
    def _held(self, seats, lock_name):
        ordered = sorted(seats, key=lambda seat: seat.name)
        with contextlib.ExitStack() as stack:
            for seat in ordered:
                stack.enter_context(getattr(seat, lock_name))
            yield ordered

    def began(self, name, *targets):
        for target in targets:
            self.fleet.history.fault_began(name, target)

    def ended(self, name, *targets):
        for target in targets:
            self.fleet.history.fault_ended(name, target)


def run_fault(name, fleet, random, until, stopping):
    """Repeats the fault until the time is over; every round is mended before this returns."""
    this_round = Round(fleet, random, stopping)
    while time.monotonic() < until and not stopping.is_set():
        FAULTS[name](this_round)
        this_round.pause(0.3, 1.2)


@fault
def none(this_round):
    this_round.pause(1)


def _kill_and_return(this_round, seats, low, high):
    names = [seat.name for seat in seats]
    this_round.began("kill", *names)
    for seat in seats:
        seat.node.kill()
    this_round.pause(low, high)
    for seat in seats:
        this_round.fleet.launch_node(seat)
    # Until it has come up, a call to it is refused by the kernel.
    this_round.pause(1.0)
    this_round.ended("kill", *names)


@fault
def kill_node(this_round):
    with this_round.node_seats() as seats:
        _kill_and_return(this_round, seats, 0.2, 3.0)
    this_round.pause(1.0, 3.0)


@fault
def herd(this_round):
    """Half of the nodes die at once and return together."""
    with this_round.node_seats((len(this_round.fleet.seats) + 1) // 2) as seats:
        _kill_and_return(this_round, seats, 0.5, 3.0)
    this_round.pause(5.0, 8.0)


@fault
def zone_lost(this_round):
    """All nodes of one zone die at once and return together."""
    with this_round.node_seats(len(this_round.fleet.seats)) as seats:
        zone = this_round.random.choice(sorted({seat.zone for seat in seats}))
        lost = [seat for seat in seats if seat.zone == zone]
        _kill_and_return(this_round, lost, 1.0, 5.0)
    this_round.pause(5.0, 8.0)


def _pause_node(this_round, low, high):
    with this_round.node_seats() as [seat]:
        this_round.began("pause", seat.name)
        seat.node.pause()
        this_round.pause(low, high)
        seat.node.wake()
        this_round.pause(0.3)
        this_round.ended("pause", seat.name)


@fault
def pause_node(this_round):
    _pause_node(this_round, 0.5, 3.0)
    this_round.pause(1.0, 2.0)


@fault
def long_pause(this_round):
    """Longer than any claim, lease, suspicion or silence lasts."""
    _pause_node(this_round, 8.0, 11.0)
    this_round.pause(2.0)


@fault
def kill_upstream(this_round):
    with this_round.upstream_seat() as seat:
        this_round.began("kill-upstream", seat.upstream_name)
        seat.upstream_process.kill()
        this_round.pause(0.2, 2.0)
        this_round.fleet.launch_upstream(seat)
        this_round.ended("kill-upstream", seat.upstream_name)
    this_round.pause(1.0, 2.0)


def _drain_upstream(seat):
    seat.upstream_process.drain()
    if not seat.upstream_process.wait(DRAIN_SECONDS):
        raise RuntimeError(f"{seat.upstream_name} did not end after SIGTERM")


@fault
def drain(this_round):
    """An upstream leaves by SIGTERM, as at each release, and another takes its place."""
    with this_round.upstream_seat() as seat:
        _drain_upstream(seat)
        this_round.pause(0.1, 0.6)
        this_round.fleet.launch_upstream(seat)
    this_round.pause(0.5, 1.0)


@fault
def drain_node(this_round):
    """A node leaves by SIGTERM while its upstream stays, as at an upgrade of the node."""
    # The relay before one node's port would go on taking connections for it, so that the caller could not see
    # whether the node itself took its call.
    relayed = this_round.fleet.caller_relay_node()
    unrelayed = [seat for seat in this_round.fleet.seats if seat is not relayed]
    with this_round.node_seats(among=unrelayed) as [seat]:
        # A node that leaves stops listening some time, so from here on callers may find it closed; what it has
        # taken it must still answer.
        this_round.began("leaving", seat.name)
        seat.node.drain()
        if not seat.node.wait(DRAIN_SECONDS):
            raise RuntimeError(f"{seat.name} did not end after SIGTERM")
        this_round.pause(0.2, 1.0)
        this_round.fleet.launch_node(seat)
        this_round.pause(1.0)
        this_round.ended("leaving", seat.name)
    this_round.pause(1.0)


def _platform_round(this_round, name, low, high, **faults):
    this_round.began(name, "platform")
    this_round.fleet.platform_faults(seed=this_round.random.randrange(1 << 30), **faults)
    this_round.pause(low, high)
    this_round.fleet.platform_faults()
    this_round.ended(name, "platform")
    this_round.pause(3.0, 5.0)


@fault
def platform_down(this_round):
    _platform_round(this_round, "platform-down", 2.0, 8.0, down=True)


@fault
def platform_slow(this_round):
    _platform_round(this_round, "platform-slow", 3.0, 6.0, delay_ms=this_round.random.choice([50, 300, 1500]))


@fault
def platform_lost(this_round):
    """Writes take effect and their answers are lost."""
    _platform_round(this_round, "platform-lost", 3.0, 6.0, lose_answers=0.3)


@fault
def platform_late(this_round):
    """A write is answered by a broken connection and takes effect a second later."""
    _platform_round(this_round, "platform-late", 3.0, 6.0, late_writes=0.3, late_ms=1000)


@fault
def platform_silent(this_round):
    """Open connections of one zone to the platform go silent for good; new ones work."""
    names = [seat.name for seat in this_round.fleet.platform_relay_seats()]
    this_round.began("platform-silent", *names)
    this_round.fleet.platform_relay.command("silence")
    this_round.pause(0.5)
    this_round.ended("platform-silent", *names)
    this_round.pause(4.0, 8.0)


@fault
def platform_cut(this_round):
    """One zone cannot reach the platform."""
    names = [seat.name for seat in this_round.fleet.platform_relay_seats()]
    this_round.began("platform-cut", *names)
    this_round.fleet.platform_relay.command("refuse")
    this_round.fleet.platform_relay.command("cut")
    this_round.pause(2.0, 6.0)
    this_round.fleet.platform_relay.command("pass")
    this_round.ended("platform-cut", *names)
    this_round.pause(2.0, 4.0)


@fault
def caller_cut(this_round):
    """The connections between the callers and one node break."""
    name = this_round.fleet.caller_relay_node().name
    this_round.began("caller-cut", name)
    this_round.fleet.caller_relay.command("cut")
    this_round.pause(0.2)
    this_round.ended("caller-cut", name)
    this_round.pause(0.5, 2.0)


def _peer_round(this_round, name, *commands):
    """Nothing is excused by a fault between two nodes, so its target is the relay and not a node."""
    relay = this_round.random.choice(this_round.fleet.peer_relays)
    this_round.began(name, relay.name)
    for command in commands:
        relay.command(command)
    this_round.pause(0.5, 2.0)
    relay.command("pass")
    this_round.ended(name, relay.name)
    this_round.pause(0.5, 1.5)


@fault
def peers_silent(this_round):
    """Open connections to a node go silent for good, in one direction or both; new ones work."""
    _peer_round(this_round, "peers-silent", this_round.random.choice(["silence", "silence up", "silence down"]))


@fault
def peers_cut(this_round):
    _peer_round(this_round, "peers-cut", "cut")


@fault
def peers_hole(this_round):
    """Nothing reaches a node from the others, on new connections either."""
    _peer_round(this_round, "peers-hole", "hole")


@fault
def peers_late(this_round):
    """Answers come late, and those of a later connection overtake them."""
    _peer_round(this_round, "peers-late", f"delay down {this_round.random.choice([30, 150, 600])}")


@fault
def two_operators(this_round):
    """Two operators publish at the same moment; exactly one may win."""
    this_round.fleet.operators.publish_two()
    this_round.pause(1.0, 2.0)


@fault
def bad_version(this_round):
    """The head moves to a version whose content is damaged or says another number, as after a broken publisher.
    No node may take any of it, and the next publish mends the head. The round publishes itself: the head names
    one version, so what was accepted just before stays hidden behind a bad one until somebody publishes."""
    platform_rows.move_head_to_bad_version(this_round.fleet.platform_address, this_round.random)
    this_round.pause(2.0, 4.0)
    this_round.fleet.operators.publish("mender")
    this_round.pause(1.0)


def _upstream_round(this_round, **faults):
    with this_round.upstream_seat() as seat:
        this_round.fleet.upstream_faults(seat, seed=this_round.random.randrange(1 << 30), **faults)
        this_round.pause(2.0, 4.0)
        this_round.fleet.upstream_faults(seat)
    this_round.pause(0.5, 1.0)


@fault
def shed(this_round):
    _upstream_round(this_round, shed_share=0.5)


@fault
def misleading(this_round):
    """Slow, and says that it is ready and idle."""
    _upstream_round(this_round, misleading_health=True, slow_factor=20)


@fault
def drop_answers(this_round):
    """The upstream does the work and closes the connection without an answer."""
    _upstream_round(this_round, drop_share=0.3)


@fault
def answers_broken(this_round):
    """Answers are broken off, spoilt, without a length or a valid status, with a folded header, or come twice, also
    where the next one is expected."""
    _upstream_round(this_round, cut_share=0.1, spoil_share=0.1, unframed_share=0.1, double_share=0.1,
                    double_late_share=0.1, invalid_status_share=0.05, folded_share=0.05)


@fault
def rejections_repeated(this_round):
    """An upstream rejects calls and repeats a rejection where the next response is expected; some responses are
    larger than a node holds."""
    _upstream_round(this_round, shed_share=0.2, shed_double_late_share=0.3, oversized_share=0.05)


@fault
def named_limit(this_round):
    """An upstream asks in its answers for few calls, for long enough that the limit must be kept meanwhile."""
    with this_round.upstream_seat() as seat:
        this_round.fleet.upstream_faults(seat, named_limit=this_round.random.choice([2, 5]))
        this_round.pause(8.0, 10.0)
        this_round.fleet.upstream_faults(seat)
    this_round.pause(0.5, 1.0)


@fault
def leaves_quietly(this_round):
    """An upstream leaves and says so in its answers only."""
    with this_round.upstream_seat() as seat:
        this_round.fleet.upstream_faults(seat, silent=True)
        _drain_upstream(seat)
        this_round.pause(0.1, 0.6)
        this_round.fleet.launch_upstream(seat)
    this_round.pause(0.5, 1.0)


@fault
def cold(this_round):
    """An upstream is replaced by one that starts cold."""
    with this_round.upstream_seat() as seat:
        _drain_upstream(seat)
        this_round.fleet.launch_upstream(seat, "--cold-ms", "4000", "--warming-ms", "500")
    this_round.pause(3.0, 5.0)
