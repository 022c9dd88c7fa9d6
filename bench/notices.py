"""Load patterns with targets that leave or ask for a pause, without a network.

Several VMs with their own registries send searches to the same simulated targets in
virtual time. Prints how many requests targets get that they did not want.
"""

import argparse
import heapq
import itertools
import random

import trio
import trio.testing

from tarragonchute.budgets import WindowBudget, WindowLimits
from tarragonchute.errors import TarragonchuteError
from tarragonchute.fanout import SearchQuery
from tarragonchute.notices import NoticeReader
from tarragonchute.queries import QueryContext
from tarragonchute.registry import Registration, Registry
from tarragonchute.replicas import ReplicaChooser, ReplyTimes
from tarragonchute.replies import Reply
from tarragonchute.routes import Route
from tarragonchute.subsearches import OutgoingRequest

from .fanout import HEADER_NAMES

SHARDS = 20
REPLICAS = 2
LEAST_COVERAGE = 0.89
ONE_WAY_S = 0.001
WORK_S = 0.006
GOAL_S = 0.09
TIME_LIMIT_S = 0.4
RETRY_RATIO = 0.2
RETRY_SLACK = 52.0
RETRY_WINDOW_S = 10.0

NOTICE_GRACE_S = 0.5
"""Time after a notice within which requests may still be on their way."""

BUCKET_S = 1.0
"""Interval over which the arrivals at a target are counted."""


class Events:
    """Calls in the order of their virtual times.

    Searches read trio's clock, so each call is made with this clock at its time.
    """

    def __init__(self):
        self.clock = trio.testing.MockClock()
        self.now = 0.0
        self._queue = []
        self._numbers = itertools.count()

    def add(self, at, call, *arguments):
        """Call a function at a time in seconds."""
        heapq.heappush(self._queue, (at, next(self._numbers), call, arguments))

    def run(self):
        """Make all calls, and those that they add."""
        while self._queue:
            at, _, call, arguments = heapq.heappop(self._queue)
            self.clock.jump(at - self.now)
            self.now = at
            call(*arguments)


class SimulatedTarget:
    """A target process, and what has reached it.

    Attributes
    ----------
    leaves_at : float or None
        Time from which its replies state that it leaves.
    pause : tuple of (float, float) or None
        Start and end of the time in which it refuses requests and asks for a pause.
    unwanted : int
        Requests that reached it from a VM although it had told that VM not to send
        any, at least `NOTICE_GRACE_S` before.
    arrivals : collections of int
        Number of requests in each interval of `BUCKET_S`.
    """

    def __init__(self, target_id, service):
        self.target_id = target_id
        self.service = service
        self.leaves_at = None
        self.pause = None
        self.unwanted = 0
        self.arrivals = {}
        self._told_at = {}

    def receive(self, vm, now):
        """Return the status and the headers of the reply to a request of a VM."""
        bucket = int(now / BUCKET_S)
        self.arrivals[bucket] = self.arrivals.get(bucket, 0) + 1
        is_paused = self.pause is not None and self.pause[0] <= now < self.pause[1]
        is_leaving = self.leaves_at is not None and now >= self.leaves_at
        told_at = self._told_at.get(vm)
        if (is_paused or is_leaving) and told_at is not None:
            self.unwanted += now > told_at + NOTICE_GRACE_S
        if is_leaving or is_paused:
            self._told_at.setdefault(vm, now)
        headers = [b"Request-Id: r1"]
        if is_leaving:
            headers.append(b"Leaving: 1")
        if is_paused:
            headers += [b"Not-Run: 1", b"Retry-After: %.3f" % (self.pause[1] - now)]
        return (503 if is_paused else 200), headers

    def count_arrivals(self, start, end):
        """Return the number of requests between two times in whole intervals."""
        buckets = range(int(start / BUCKET_S), int(end / BUCKET_S))
        return sum(self.arrivals.get(bucket, 0) for bucket in buckets)


class SimulatedPool:
    """Connections of one VM to one target; see `exchanges.TargetPool`."""

    def __init__(self, simulation, vm, target):
        self.in_flight = {}
        self.has_connect_failed = False
        self._simulation = simulation
        self._vm = vm
        self._target = target

    def start(self, exchange, now):
        """Send a request; its reply arrives later."""
        exchange.pool = self
        exchange.sent_at = now
        self.in_flight[exchange] = None
        self._simulation.events.add(now + ONE_WAY_S, self._arrive, exchange)

    def abandon(self, exchange, now):
        """Do not pass the reply on."""
        exchange.owner = None
        exchange.abandoned_at = now

    def oldest_exchange_age(self, now):
        """Return the age of the oldest exchange in seconds, or 0."""
        return next((now - exchange.started_at for exchange in self.in_flight), 0.0)

    def fail_queued(self, now, reason):
        """Do nothing, as no request waits for a connection."""

    def _arrive(self, exchange):
        events = self._simulation.events
        status, headers = self._target.receive(self._vm, events.now)
        work_s = 0.0
        if status == 200:
            work_s = WORK_S * self._simulation.random.uniform(0.7, 1.3)
            digest = next(self._simulation.digests)
            headers.append(b"Digest: %d" % digest)
        head = b"\r\n" + b"\r\n".join(headers) + b"\r\n"
        reply = Reply(status, head, b"")
        events.add(events.now + work_s + ONE_WAY_S, self._reply, exchange, reply)

    def _reply(self, exchange, reply):
        now = self._simulation.events.now
        exchange.finished_at = now
        del self.in_flight[exchange]
        exchange.target.handle_reply(reply, now)
        exchange.target.handle_exchange_end(exchange, now)
        owner = exchange.owner
        if owner is not None:
            owner.handle_reply(exchange, reply)
            self._simulation.check_ended_queries()


class SimulatedVm:
    """One VM: its registry, choice of targets and retry budgets."""

    def __init__(self, simulation, name, reads_notices):
        self.name = name
        limits = WindowLimits(
            RETRY_RATIO, RETRY_SLACK / simulation.vm_count, RETRY_WINDOW_S
        )
        budgets = {service: WindowBudget(limits) for service in simulation.route.shards}
        chooser = ReplicaChooser("d", lambda target, now: True, simulation.random)
        self.registry = Registry(
            lambda registration: SimulatedPool(
                simulation, name, simulation.targets[registration.target_id]
            ),
            lambda pool, now: None,
            lambda service, targets: None,
            chooser.record_exchange_end,
            simulation.random,
        )
        if reads_notices:
            self.registry.on_reply = NoticeReader(self.registry, HEADER_NAMES).read
        self.context = QueryContext(
            self.registry, chooser, HEADER_NAMES, budgets.get, lambda now: None
        )
        self.reply_times = ReplyTimes(GOAL_S, 0.02)


class Simulation:
    """VMs, targets, and searches at a steady rate.

    Parameters
    ----------
    vm_count : int
    rate : float
        Searches per second of all VMs together.
    seed : int
    reads_notices : bool
        False for the behaviour of VMs that do not read notices.

    Attributes
    ----------
    answered, refused, failed : int
        Searches by their ends; a refused one has not run.
    """

    def __init__(self, vm_count, rate, seed, reads_notices=True):
        self.events = Events()
        self.random = random.Random(seed)
        self.digests = itertools.count()
        self.vm_count = vm_count
        self.rate = rate
        services = [f"s{number}" for number in range(SHARDS)]
        self.route = Route(
            "r",
            "h",
            "/",
            timeout_s=TIME_LIMIT_S,
            goal_s=GOAL_S,
            max_attempts=2,
            shards=services,
            top=5,
            least_coverage=LEAST_COVERAGE,
        )
        self.targets = {}
        for service in services:
            for number in range(REPLICAS):
                target_id = f"{service}-{number}"
                self.targets[target_id] = SimulatedTarget(target_id, service)
        self.vms = [
            SimulatedVm(self, number, reads_notices) for number in range(vm_count)
        ]
        for target in self.targets.values():
            self.register(target)
        self.answered = self.refused = self.failed = 0
        self._running = {}

    def register(self, target, is_draining=False):
        """Let all VMs read the registration of a target."""
        for vm in self.vms:
            registration = Registration(
                target.target_id,
                target.service,
                ("10.0.0.1", 80),
                "d",
                is_draining=is_draining,
            )
            vm.registry.apply(target.target_id, registration, self.events.now)

    def run(self, duration_s):
        """Play the given time."""
        count = int(duration_s * self.rate)
        for number in range(count):
            self.events.add(number / self.rate, self._start_search)
        trio.run(self._run_events, clock=self.events.clock)

    async def _run_events(self):
        self.events.run()

    def check_ended_queries(self):
        """Record the ends of searches that have just finished."""
        for query in [query for query in self._running if query.is_finished]:
            self._end(query)

    def _start_search(self):
        vm = self.random.choice(self.vms)
        now = self.events.now
        outgoing = OutgoingRequest(b"GET", b"r1", b"GET / HTTP/1.1\r\n", b"")
        query = SearchQuery(
            vm.context, self.route, 1, outgoing, TIME_LIMIT_S, vm.reply_times, now
        )
        try:
            query.start(now)
        except TarragonchuteError:
            self.refused += 1
            return
        self._running[query] = None
        self._schedule(query)

    def _schedule(self, query):
        # A retry may make a hedge due earlier than this; it is then sent somewhat late.
        due_at = max(query.get_next_due_time(), self.events.now)
        self.events.add(due_at, self._advance, query)

    def _advance(self, query):
        if query not in self._running:
            return
        query.advance(self.events.now)
        if query.is_finished:
            self._end(query)
        else:
            self._schedule(query)

    def _end(self, query):
        del self._running[query]
        query.close(self.events.now)
        try:
            query.build_response()
        except TarragonchuteError as error:
            if error.status == 503:
                self.refused += 1
            else:
                self.failed += 1
        else:
            self.answered += 1


STARTS_AT = 5.0
PAUSE_S = 4.0
DURATION_S = 20.0


def play_pauses_in_turn(simulation):
    """One target of half of the shards asks for pauses, one each half a second."""
    for number in range(SHARDS // 2):
        start = STARTS_AT + 0.5 * number
        target = simulation.targets[f"s{number}-0"]
        target.pause = (start, start + PAUSE_S)
    simulation.run(DURATION_S)


def play_pause_of_whole_services(simulation):
    """All targets of three shards ask for a pause at once; the coverage is too low."""
    for number in range(3):
        for replica in range(REPLICAS):
            target = simulation.targets[f"s{number}-{replica}"]
            target.pause = (STARTS_AT, STARTS_AT + PAUSE_S)
    simulation.run(DURATION_S)


def play_release(simulation):
    """Eleven targets state that they leave, 5 s before the store does."""
    for number in range(11):
        target = simulation.targets[f"s{number}-0"]
        target.leaves_at = STARTS_AT
        arguments = (target, True)
        simulation.events.add(STARTS_AT + 5.0, simulation.register, *arguments)
    simulation.run(DURATION_S)


PATTERNS = {
    "pauses in turn": play_pauses_in_turn,
    "whole services pause": play_pause_of_whole_services,
    "release": play_release,
}


class Figures:
    """Results of one pattern.

    Parameters
    ----------
    simulation : Simulation
        After its run.

    Attributes
    ----------
    unwanted : int
        See `SimulatedTarget`; over all targets.
    first_second : int
        Largest number of requests that a target got in the interval in which its
        pause ended, or in the next one.
    return_s : float or None
        Longest time from the end of a pause until a target had half of an equal share
        of its shard's requests; None if one had it never again, or none paused.
    answered, refused, failed : int
    """

    __slots__ = (
        "unwanted",
        "first_second",
        "return_s",
        "answered",
        "refused",
        "failed",
    )

    def __init__(self, simulation):
        targets = list(simulation.targets.values())
        self.unwanted = sum(target.unwanted for target in targets)
        paused = [target for target in targets if target.pause is not None]
        self.first_second = max(
            (target.count_arrivals(t := target.pause[1], t + 2) for target in paused),
            default=0,
        )
        waits = [_find_return_s(simulation, target) for target in paused]
        self.return_s = None if not waits or None in waits else max(waits)
        self.answered = simulation.answered
        self.refused = simulation.refused
        self.failed = simulation.failed


def _find_return_s(simulation, target):
    equal_share = simulation.rate * BUCKET_S / REPLICAS
    end = target.pause[1]
    for bucket in range(int(end / BUCKET_S), int(DURATION_S / BUCKET_S)):
        if target.arrivals.get(bucket, 0) >= equal_share / 2:
            return max(bucket * BUCKET_S - end, 0.0)
    return None


def measure(pattern, vm_count, rate, seed=1, reads_notices=True):
    """Play one pattern and return its `Figures`."""
    simulation = Simulation(vm_count, rate, seed, reads_notices)
    PATTERNS[pattern](simulation)
    return Figures(simulation)


def main():
    """Print a table of all patterns, with and without reading the notices."""
    parser = argparse.ArgumentParser(prog="bench.notices", description=__doc__)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--rate", type=float, default=60.0, help="searches per second")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for pattern in PATTERNS:
        for reads_notices in (False, True):
            figures = measure(
                pattern, arguments.vms, arguments.rate, arguments.seed, reads_notices
            )
            values = [f"{name} {getattr(figures, name)}" for name in figures.__slots__]
            label = "notices read" if reads_notices else "not read"
            print(f"{pattern}, {label}: {', '.join(values)}")


if __name__ == "__main__":
    main()
