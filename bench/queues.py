"""Load patterns with more requests than targets have room for, without a network.

One VM sends searches of many customers to simulated targets in virtual time. The
gateway is the real one, with the connection pools; only sockets and targets are
simulated. Prints what callers get with and without `tarragonchute.targetadmission`.
"""

import argparse
import collections
import itertools
import random

import orjson
import trio
import trio.testing

from standins.platform import build_configuration
from tarragonchute import gateway as gateway_module
from tarragonchute.errors import TarragonchuteError
from tarragonchute.exchanges import TargetPool, TargetReactor, _Connection, _Phase
from tarragonchute.gateway import Gateway
from tarragonchute.gatewaymetrics import ATTEMPTS, QUEUE_REFUSALS
from tarragonchute.gatewaysettings import GatewaySettings
from tarragonchute.httpio import HttpRequest, ServerOptions
from tarragonchute.platform.decoding import decode_configuration
from tarragonchute.platform.names import HEADER_NAMES
from tarragonchute.registry import Registration
from tarragonchute.replies import Reply

REPLICAS = 3
SLOTS = 2
TARGET_QUEUE = 10
CUSTOMERS = 12
CONNECT_S = 0.006
ONE_WAY_S = 0.001
WORK_SPREAD = 0.4
SWEEP_S = 0.05
CHANGE_FRACTION = 0.25
"""Part of a run after which targets become slow or are lost."""

SLOW_FACTOR = 5.0
URGENT_FRACTION = 0.4
LEAST_COVERAGE = 0.8
MAX_CONNECTIONS = 26


class Search:
    """One of the two search routes."""

    __slots__ = ("name", "priority", "work_s", "goal_s", "limit_s")

    def __init__(self, name, priority, work_s, goal_s, limit_s):
        self.name = name
        self.priority = priority
        self.work_s = work_s
        self.goal_s = goal_s
        self.limit_s = limit_s


URGENT = Search("urgent", 0, 0.0057, 0.059, 0.236)
LONG = Search("long", 1, 0.0165, 0.171, 0.684)


class Pattern:
    """A load pattern.

    Parameters
    ----------
    rate : float
        Searches per second.
    slow_share, lost_share : float
        Shares of the targets that become slow and that are lost.
    large_share : float
        Share of the searches that one customer adds to its part of the others.
    """

    __slots__ = ("rate", "slow_share", "lost_share", "large_share")

    def __init__(self, rate, slow_share=0.0, lost_share=0.0, large_share=0.0):
        self.rate = rate
        self.slow_share = slow_share
        self.lost_share = lost_share
        self.large_share = large_share


PATTERNS = {
    "usual": Pattern(22),
    "hot": Pattern(74, large_share=0.5),
    "hot, slow": Pattern(74, 0.15, large_share=0.5),
    "hot, third lost": Pattern(74, lost_share=1 / 3, large_share=0.5),
    "hot, slow, third lost": Pattern(74, 0.15, 1 / 3, 0.5),
    "85% of the room": Pattern(420, large_share=0.4),
    "90%, third lost": Pattern(300, lost_share=1 / 3, large_share=0.4),
    "130% of the room": Pattern(650, large_share=0.4),
    "128%, third lost": Pattern(420, lost_share=1 / 3, large_share=0.4),
}


class SimulatedTarget:
    """A target with slots, a short queue, and refusals beyond that."""

    def __init__(self, target_id, generator):
        self.encoded_id = target_id.encode()
        self.slowness = 1.0
        self.is_lost = False
        self.refusals = 0
        self.runs = 0
        self._generator = generator
        self._slots = trio.Semaphore(SLOTS)
        self._requests = 0

    async def serve(self, sock, message):
        """Run or refuse one request; its reply arrives at the pool."""
        await trio.sleep(ONE_WAY_S)
        connection = sock.connection
        if self.is_lost:
            if not connection.is_closed:
                sock.pool.abort_connection(connection, "reset", trio.current_time())
            return
        state = b"Not-Executed: 1"
        status = 503
        if self._requests < SLOTS + TARGET_QUEUE:
            status = 200
            await self._run(sock, message)
        else:
            self.refusals += 1
        await trio.sleep(ONE_WAY_S)
        if connection.is_closed or connection.exchange is None:
            return
        request_id = connection.exchange.request_id
        if status == 200:
            state = b"Response-Stamp: %b.%b" % (self.encoded_id, request_id)
        head = b"\r\nRequest-Id: %b\r\n%b\r\n" % (request_id, state)
        sock.pool.deliver(connection, Reply(status, head, b""))

    async def _run(self, sock, message):
        self._requests += 1
        async with self._slots:
            if not sock.connection.is_closed:
                self.runs += 1
                search = URGENT if b"/urgent/" in message else LONG
                spread = self._generator.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
                await trio.sleep(search.work_s * self.slowness * spread)
        self._requests -= 1


class SimulatedSocket:
    """Hands what is sent to the target."""

    _numbers = itertools.count(1_000_000)

    def __init__(self, pool):
        self.pool = pool
        self.connection = None
        self._number = next(self._numbers)

    def fileno(self):
        """Return a number that is unique, and no file descriptor."""
        return self._number

    def send(self, data):
        """Hand a message to the target."""
        self.pool.nursery.start_soon(self.pool.target.serve, self, bytes(data))
        return len(data)

    def close(self):
        """Do nothing; the target looks at the phase of the connection."""


class SimulatedReader:
    """Stands in for the `ReplyReader` of a connection."""

    is_reusable = True
    has_data = False

    def start(self, method):
        """Do nothing; `SimulatedPool.deliver` gets whole replies."""


class SimulatedPool(TargetPool):
    """A pool whose connections lead to a `SimulatedTarget`."""

    __slots__ = ("nursery", "target")

    def deliver(self, connection, reply):
        """Handle the reply to the exchange of a connection."""
        self._deliver_reply(connection, reply, trio.current_time())

    def _open(self, now):
        sock = SimulatedSocket(self)
        connection = sock.connection = _Connection(self, sock, now)
        connection.reader = SimulatedReader()
        self._connections[connection.fd] = connection
        self.nursery.start_soon(self._connect, connection)
        return True

    async def _connect(self, connection):
        await trio.sleep(CONNECT_S)
        if connection.phase is not _Phase.CONNECTING:
            return
        now = trio.current_time()
        if self.target.is_lost:
            self._fail_connect(connection, "refused", now)
        else:
            self.has_connect_failed = False
            self._assign_connection(connection, now)


class SimulatedReactor(TargetReactor):
    """A reactor without sockets."""

    def add(self, handler, events):
        """Do nothing."""

    def set_events(self, handler, events):
        """Do nothing."""

    def remove(self, handler):
        """Do nothing."""


class SimulatedGateway(Gateway):
    """A gateway with simulated targets."""

    def __init__(self, nursery, generator, is_active):
        super().__init__(_build_settings(), HEADER_NAMES, ServerOptions(), generator)
        self.targets = {}
        self._nursery = nursery
        self._is_active = is_active

    def apply_table(self, table):
        """See `Gateway`."""
        super().apply_table(table)
        self.queue_policy.is_active = self._is_active

    def add_target(self, target_id, service, domain, generator):
        """Add a simulated target and register it."""
        self.targets[target_id] = SimulatedTarget(target_id, generator)
        registration = Registration(
            target_id, service, ("127.0.0.1", 1), domain, SLOTS, started_ms=1
        )
        self.registry.apply(target_id, registration, trio.current_time())

    def _open_pool(self, registration):
        pool = SimulatedPool(
            self.reactor,
            registration.address,
            1,
            self.queue_policy,
            registration.service,
        )
        pool.nursery = self._nursery
        pool.target = self.targets[registration.target_id]
        self.reactor.pools.add(pool)
        return pool


class Figures:
    """What the callers of one run got."""

    def __init__(self):
        self.outcomes = collections.defaultdict(list)
        self.by_customer = collections.defaultdict(list)
        self.counts = {}

    def record(self, search, customer, outcome, elapsed_s):
        """Record a status, or the code of an error."""
        self.outcomes[search.name].append((outcome, elapsed_s))
        self.by_customer[customer].append(outcome == 200)

    def describe(self):
        """Return one line for each search and one for the rest."""
        lines = []
        for search in (URGENT, LONG):
            outcomes = self.outcomes[search.name]
            served = sorted(elapsed for code, elapsed in outcomes if code == 200)
            in_goal = sum(elapsed <= search.goal_s for elapsed in served)
            failed = collections.Counter(c for c, _ in outcomes if c != 200)
            lines.append(
                f"{search.name}: served {len(served) / len(outcomes):.3f}, "
                f"within goal {in_goal / len(outcomes):.3f}, "
                f"99% within {served[int(0.99 * len(served))] * 1000:.0f} ms, "
                f"{dict(failed)}"
            )
        least = min(sum(v) / len(v) for v in self.by_customer.values())
        lines.append(f"least served customer {least:.2f}, {self.counts}")
        return lines


def _build_settings():
    values = dict.fromkeys(GatewaySettings.__slots__, "")
    values.update(
        vm_id="vm-1",
        domain="d0",
        cores=1.0,
        link_mbps=1000.0,
        peers=(),
        max_descriptors=1000,
        stop_grace_s=3.0,
        retry_share=0.2,
        retry_window_s=10.0,
        retry_slack=50.0,
        cold_factor=1.5,
        cold_slack=5.0,
        allowance_bounds=None,
        rollout_limits=None,
    )
    return GatewaySettings(**values)


def _build_table(shards, max_connections):
    body = orjson.loads(build_configuration(1, shards, "desk"))
    base = body["routes"][0]
    body["routes"] = [
        {
            **base,
            "name": search.name,
            "prefix": f"/{search.name}/",
            "goal-ms": search.goal_s * 1000,
            "timeout-ms": search.limit_s * 1000,
            "priority": search.priority,
            "min-coverage": LEAST_COVERAGE,
        }
        for search in (URGENT, LONG)
    ]
    for service in body["services"]:
        service["max-conns"] = max_connections
    body["tenants"] = [
        {"name": f"c{number}", "api-keys": [f"k{number}"], "rate-per-s": 10}
        for number in range(CUSTOMERS)
    ]
    return decode_configuration(orjson.dumps(body).decode())


async def _call(gateway, figures, number, customer, search):
    path = f"/{search.name}/1"
    headers = {
        "host": "h.example",
        "request-id": f"r{number}",
        "authorization": f"Bearer k{customer}",
    }
    lines = [(name.encode(), value.encode()) for name, value in headers.items()]
    request = HttpRequest("GET", path, {}, headers, b"", path.encode(), lines)
    started_at = trio.current_time()
    try:
        outcome = (await gateway.handle(request)).status
    except TarragonchuteError as error:
        outcome = error.code
    figures.record(search, customer, outcome, trio.current_time() - started_at)


async def _sweep(gateway):
    while True:
        await trio.sleep(SWEEP_S)
        gateway.sweep(trio.current_time())


async def _change_targets(gateway, pattern, seconds, generator):
    await trio.sleep(CHANGE_FRACTION * seconds)
    targets = list(gateway.targets.values())
    for target in generator.sample(targets, int(pattern.slow_share * len(targets))):
        target.slowness = SLOW_FACTOR
    if pattern.lost_share:
        for target in targets[:: round(1 / pattern.lost_share)]:
            target.is_lost = True


async def _run(pattern, is_active, shards, seconds, seed, max_connections, figures):
    generator = random.Random(seed)
    async with trio.open_nursery() as nursery:
        gateway = SimulatedGateway(nursery, random.Random(seed), is_active)
        services = [f"s{number}" for number in range(shards)]
        gateway.apply_table(_build_table(services, max_connections))
        for service, number in itertools.product(services, range(REPLICAS)):
            name = f"{service}-{number}"
            gateway.add_target(
                name, service, f"d{number}", random.Random(f"{seed} {name}")
            )
        nursery.start_soon(_sweep, gateway)
        changes = random.Random(seed + 1)
        nursery.start_soon(_change_targets, gateway, pattern, seconds, changes)
        async with trio.open_nursery() as callers:
            ends_at = trio.current_time() + seconds
            for number in itertools.count():
                await trio.sleep(generator.expovariate(pattern.rate))
                if trio.current_time() > ends_at:
                    break
                is_large = generator.random() < pattern.large_share
                customer = 0 if is_large else generator.randrange(CUSTOMERS)
                search = URGENT if generator.random() < URGENT_FRACTION else LONG
                callers.start_soon(_call, gateway, figures, number, customer, search)
        metrics = gateway.metrics
        figures.counts = {
            "runs": sum(target.runs for target in gateway.targets.values()),
            "refusals": sum(target.refusals for target in gateway.targets.values()),
            "hedges": metrics.get_count(ATTEMPTS, "hedge"),
            "retries": metrics.get_count(ATTEMPTS, "retry"),
            "too_late": metrics.get_count(QUEUE_REFUSALS, "too_late"),
            "expired": metrics.get_count(QUEUE_REFUSALS, "expired"),
        }
        nursery.cancel_scope.cancel()


def measure(name, is_active, shards, seconds, seed, max_connections=MAX_CONNECTIONS):
    """Run one pattern; return its `Figures`.

    Parameters
    ----------
    name : str
        One of `PATTERNS`.
    is_active : bool
        Whether attempts are bounded and ordered.
    shards : int
    seconds : float
        Virtual time.
    seed : int
    max_connections : int
        Connections that a target accepts from this VM.
    """
    figures = Figures()
    reactor_class = gateway_module.exchanges.TargetReactor
    gateway_module.exchanges.TargetReactor = SimulatedReactor
    try:
        trio.run(
            _run,
            PATTERNS[name],
            is_active,
            shards,
            seconds,
            seed,
            max_connections,
            figures,
            clock=trio.testing.MockClock(autojump_threshold=0),
        )
    finally:
        gateway_module.exchanges.TargetReactor = reactor_class
    return figures


def main(arguments=None):
    """Parse the command line and print the figures of the patterns."""
    parser = argparse.ArgumentParser(prog="bench.queues")
    parser.add_argument("patterns", nargs="*", help=f"default: all of {[*PATTERNS]}")
    parser.add_argument("--shards", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--max-connections", type=int, default=MAX_CONNECTIONS)
    options = parser.parse_args(arguments)
    for name in options.patterns or PATTERNS:
        for is_active in (False, True):
            figures = measure(
                name,
                is_active,
                options.shards,
                options.seconds,
                options.seed,
                options.max_connections,
            )
            print(f"{name}, {'by priority and customer' if is_active else 'as before'}")
            for line in figures.describe():
                print(f"  {line}", flush=True)


if __name__ == "__main__":
    main()
