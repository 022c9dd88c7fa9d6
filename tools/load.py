"""Load generators and a small load balancer, for the demo and the process tests."""

import random
import statistics

import orjson
import trio

from tarragonchute.errors import TarragonchuteError
from tarragonchute.httpio import HttpConnection

HEALTH_CHECK_PERIOD_S = 0.2
CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 3.0
MAX_BOOKING_ATTEMPTS = 8
BOOKING_RETRY_DELAY_S = 0.2


class PhaseReport:
    """Responses that callers received during one phase.

    Attributes
    ----------
    latencies_ms : list of float
        Of the successful searches.
    coverages : list of float
        Fraction of shards that answered, for each successful search.
    errors : dict of str to int
        Failed searches by error code, or ``connection`` if the connection failed.
    bookings : dict of str to str
        Last outcome that the caller received, by idempotency key.
    """

    __slots__ = ("name", "latencies_ms", "coverages", "errors", "bookings", "late")

    def __init__(self, name):
        self.name = name
        self.latencies_ms = []
        self.coverages = []
        self.errors = {}
        self.bookings = {}
        self.late = 0

    def record_error(self, code):
        """Count a failed search."""
        self.errors[code] = self.errors.get(code, 0) + 1

    @property
    def requests(self):
        """Number of searches, both successful and failed."""
        return len(self.latencies_ms) + sum(self.errors.values())

    def compute_quantile_ms(self, fraction):
        """Return a latency quantile in milliseconds; 0 without successful searches."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return 0.0
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]

    def compute_mean_and_min_coverage(self):
        """Return the mean and minimum coverage of the successful searches."""
        if not self.coverages:
            return 0.0, 0.0
        return statistics.fmean(self.coverages), min(self.coverages)


class LoadBalancer:
    """Tracks which VMs are healthy, as the platform's load balancer does.

    Parameters
    ----------
    addresses : dict of str to str
        Address for callers by vm_id.
    """

    def __init__(self, addresses):
        self.addresses = dict(addresses)
        self.healthy = set()
        self._idle_connections = {vm_id: [] for vm_id in addresses}
        self._health_checked = trio.Event()

    async def run(self):
        """Check the health of all VMs periodically until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for vm_id in self.addresses:
                    nursery.start_soon(self._check_health, vm_id)
            self._health_checked.set()
            self._health_checked = trio.Event()
            await trio.sleep(HEALTH_CHECK_PERIOD_S)

    async def wait_healthy(self, count, timeout_s=20.0):
        """Wait until at least `count` VMs are healthy.

        Raises
        ------
        trio.TooSlowError
        """
        with trio.fail_after(timeout_s):
            while len(self.healthy) < count:
                await self._health_checked.wait()

    async def exchange(self, vm_id, method, path, body=b"", headers=None):
        """Send a request to a VM; return None if the connection fails or times out."""
        connection = None
        try:
            with trio.fail_after(RESPONSE_TIMEOUT_S):
                connection = await self._connect(vm_id)
                response = await connection.exchange(
                    method, path, list((headers or {}).items()), body
                )
        except (OSError, trio.TooSlowError, TarragonchuteError):
            if connection is not None:
                connection.close()
            return None
        self._idle_connections[vm_id].append(connection)
        return response

    async def _connect(self, vm_id):
        idle_connections = self._idle_connections[vm_id]
        while idle_connections:
            connection = idle_connections.pop()
            if connection.is_reusable:
                return connection
            connection.close()
        return await HttpConnection.open(self.addresses[vm_id], CONNECT_TIMEOUT_S)

    async def _check_health(self, vm_id):
        response = await self.exchange(vm_id, "GET", "/healthz")
        if response is not None and response.status == 200:
            self.healthy.add(vm_id)
        else:
            self.healthy.discard(vm_id)


class LoadGenerator:
    """Sends searches and bookings at a fixed rate.

    Parameters
    ----------
    balancer : LoadBalancer
    team, dataset : str
        Of the searches; bookings use the same team.
    booking_dataset : str
    booking_shards : list of str
        Each booking goes to one of them, chosen at random.
    deadline_ms : int
        Of each request.
    seed : int
        Of the choice of VMs and shards.
    """

    def __init__(
        self,
        balancer,
        team,
        dataset,
        booking_dataset,
        booking_shards,
        deadline_ms=1000,
        seed=1,
    ):
        self._balancer = balancer
        self._team = team
        self._dataset = dataset
        self._booking_dataset = booking_dataset
        self._booking_shards = booking_shards
        self._deadline_ms = deadline_ms
        self._random = random.Random(seed)
        self._booking_count = 0

    async def run(self, report, searches, interval_s, searches_per_booking=5):
        """Send searches at a fixed interval, whether or not responses have arrived.

        Parameters
        ----------
        report : PhaseReport
        searches : int
        interval_s : float
            Seconds between two searches.
        searches_per_booking : int
            A booking accompanies one search in this many, starting with the first.
        """
        async with trio.open_nursery() as nursery:
            for number in range(searches):
                nursery.start_soon(self._search, report)
                if number % searches_per_booking == 0:
                    nursery.start_soon(self._book, report)
                await trio.sleep(interval_s)

    def _choose_vm(self):
        healthy = sorted(self._balancer.healthy)
        return self._random.choice(healthy or sorted(self._balancer.addresses))

    async def _search(self, report):
        body_fields = {
            "team": self._team,
            "dataset": self._dataset,
            "query": {"text": "lantern"},
            "deadline_ms": self._deadline_ms,
            "least_coverage": 0.0,
        }
        started_at = trio.current_time()
        vm_id = self._choose_vm()
        body = orjson.dumps(body_fields)
        response = await self._balancer.exchange(vm_id, "POST", "/v1/search", body)
        elapsed_ms = (trio.current_time() - started_at) * 1000
        if response is None:
            report.record_error("connection")
            return
        answer = orjson.loads(response.body)
        if response.status != 200:
            report.record_error(answer["code"])
            return
        report.latencies_ms.append(elapsed_ms)
        coverage = answer["coverage"]
        report.coverages.append(coverage["answered"] / coverage["total"])

    async def _book(self, report):
        self._booking_count += 1
        key = f"{self._team}-{report.name}-{self._booking_count}".replace(" ", "-")
        body_fields = {
            "team": self._team,
            "dataset": self._booking_dataset,
            "shard": self._random.choice(self._booking_shards),
            "order": {"guide": self._booking_count},
            "deadline_ms": self._deadline_ms,
        }
        report.bookings[key] = await self._book_until_known(
            key, orjson.dumps(body_fields)
        )

    async def _book_until_known(self, key, body):
        """Retry a booking with the same key until its outcome is known.

        Retries after a failed connection and after the outcome ``not_run``, up to
        `MAX_BOOKING_ATTEMPTS` attempts; returns the last outcome.
        """
        outcome = "unsent"
        for _ in range(MAX_BOOKING_ATTEMPTS):
            vm_id = self._choose_vm()
            headers = {"idempotency-key": key}
            response = await self._balancer.exchange(
                vm_id, "POST", "/v1/bookings", body, headers
            )
            if response is None:
                outcome = "unknown"
            else:
                outcome = orjson.loads(response.body)["outcome"]
                if outcome != "not_run":
                    return outcome
            await trio.sleep(BOOKING_RETRY_DELAY_S)
        return outcome
