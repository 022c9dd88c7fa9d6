"""Fakes of the targets and the network in virtual time, for `bench.policy`.

Targets behave like `targets.MemoryTarget`, with random service times.
"""

import heapq
import itertools
import math

from tarragonchute.targets import (
    COLD_LIMIT,
    COLD_SLOWDOWN_FACTOR,
    SHED_FACTOR,
    TargetAnswer,
)

SERVICE_SIGMA = 0.3  # of the logarithm; p99 is about twice the median
STRAGGLER_FACTOR = 10.0
RESTART_S = 0.1  # connections to a restarting target fail for this time
REQUESTS_UNTIL_WARM = 20  # as in MemoryTarget


class EventQueue:
    """Scheduled calls in the order of virtual time.

    Attributes
    ----------
    now : float
        Virtual seconds.
    """

    __slots__ = ("now", "_events", "_sequence")

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._sequence = itertools.count()

    def schedule(self, time, call, *arguments):
        """Schedule a call at a time in virtual seconds."""
        heapq.heappush(self._events, (time, next(self._sequence), call, arguments))

    def run(self, until):
        """Run the calls that are due up to a time."""
        events = self._events
        while events and events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(events)
            call(*arguments)
        self.now = until


class FakeNetwork:
    """Network with a constant delay per pair of machines, so messages stay in order.

    Parameters
    ----------
    random : random.Random
    least_s, most_s : float
        Bounds of the one-way delay in seconds.
    """

    __slots__ = ("_random", "_least_s", "_most_s", "_delays")

    def __init__(self, random, least_s, most_s):
        self._random = random
        self._least_s = least_s
        self._most_s = most_s
        self._delays = {}

    def delay(self, first, second):
        """Return the one-way delay in seconds; 0 within one machine."""
        if first == second:
            return 0.0
        key = (first, second) if first < second else (second, first)
        delay = self._delays.get(key)
        if delay is None:
            delay = self._random.uniform(self._least_s, self._most_s)
            self._delays[key] = delay
        return delay


class FakeTarget:
    """A target with slots, service times, cold starts, shedding and deadlines.

    Parameters
    ----------
    queue : EventQueue
    random : random.Random
    settings : settings.TargetSettings
    service_s : float
        Mean service time when warm and within the slots, without stragglers.
    straggler_share : float
        Fraction of the requests that take `STRAGGLER_FACTOR` times as long.

    Attributes
    ----------
    is_unreachable : bool
    reported_state : str or None
        State that the status endpoint reports in place of the actual one.
    no_new_work_after : float or None
        Virtual time after which new requests count as breaches, because the failure
        domain was removed.
    boot : int
        Number of the current process, incremented at each restart.
    slot_breaches, cold_breaches, domain_breaches, connection_breaches : int
        Requests beyond the slots, beyond the limit of a cold target, and after
        `no_new_work_after`; connections beyond the limit.
    """

    __slots__ = (
        "target_id",
        "slots",
        "max_connections",
        "domain",
        "state",
        "is_unreachable",
        "reported_state",
        "no_new_work_after",
        "boot",
        "restarted_at",
        "connections",
        "received",
        "slot_breaches",
        "cold_breaches",
        "domain_breaches",
        "connection_breaches",
        "running_exchanges",
        "_queue",
        "_random",
        "_log_mean",
        "_straggler_share",
        "_warm_up_count",
    )

    def __init__(self, queue, random, settings, service_s, straggler_share):
        self.target_id = settings.target_id
        self.slots = settings.slots
        self.max_connections = settings.max_connections
        self.domain = settings.domain
        self.state = "warm"
        self.is_unreachable = False
        self.reported_state = None
        self.no_new_work_after = None
        self.boot = 1
        self.restarted_at = 0.0
        self.connections = 0
        self.received = 0
        self.slot_breaches = 0
        self.cold_breaches = 0
        self.domain_breaches = 0
        self.connection_breaches = 0
        self.running_exchanges = set()
        self._queue = queue
        self._random = random
        self._log_mean = math.log(service_s) - SERVICE_SIGMA**2 / 2
        self._straggler_share = straggler_share
        self._warm_up_count = 0

    def restart(self):
        """Restart cold; connections and running requests are lost."""
        self.boot += 1
        self.restarted_at = self._queue.now
        self.state = "cold"
        self._warm_up_count = 0
        self.connections = 0
        for exchange in list(self.running_exchanges):
            exchange.end_at_target("connection_lost")

    def is_up(self):
        """Return whether it accepts connections."""
        is_starting = self.boot > 1 and self._queue.now < self.restarted_at + RESTART_S
        return not (self.is_unreachable or is_starting)

    def read_status(self):
        """Return the state that the status endpoint reports, or None if unreachable."""
        if not self.is_up():
            return None
        return self.reported_state or self.state

    def open_connection(self):
        """Count a new connection; return whether it was accepted."""
        if not self.is_up():
            return False
        if self.connections >= self.max_connections:
            self.connection_breaches += 1
            return False
        self.connections += 1
        return True

    def close_connection(self, boot):
        """Count the end of a connection that was opened to process `boot`."""
        if boot == self.boot:
            self.connections -= 1

    def receive(self, exchange):
        """Refuse or start a request that arrives on an open connection."""
        self.received += 1
        now = self._queue.now
        if now > exchange.deadline:
            exchange.end_at_target("deadline_passed")
            return
        if len(self.running_exchanges) >= self.slots * SHED_FACTOR:
            exchange.end_at_target("shedding")
            return
        self.running_exchanges.add(exchange)
        self._count_start(now)
        due = now + self._choose_service_time()
        code = "ok" if due <= exchange.deadline else "timed_out"
        self._queue.schedule(min(due, exchange.deadline), self._finish, exchange, code)

    def _finish(self, exchange, code):
        if exchange not in self.running_exchanges:
            return
        if code == "ok":
            self._warm_up_count += 1
            if self.state == "cold" and self._warm_up_count >= REQUESTS_UNTIL_WARM:
                self.state = "warm"
        exchange.end_at_target(code)

    def _count_start(self, now):
        running_count = len(self.running_exchanges)
        self.slot_breaches += running_count > self.slots
        if self.state == "cold" and running_count > COLD_LIMIT:
            self.cold_breaches += 1
            self._warm_up_count = 0
        if self.no_new_work_after is not None and now > self.no_new_work_after:
            self.domain_breaches += 1

    def _choose_service_time(self):
        time_s = math.exp(self._random.gauss(self._log_mean, SERVICE_SIGMA))
        if self._straggler_share and self._random.random() < self._straggler_share:
            time_s *= STRAGGLER_FACTOR
        running_count = len(self.running_exchanges)
        if self.state == "cold":
            return time_s * COLD_SLOWDOWN_FACTOR * running_count**2
        return time_s * max(running_count / self.slots, 1)


class FakeClient:
    """Connections of one VM to one target; idle ones are reused.

    Parameters
    ----------
    queue : EventQueue
    target : FakeTarget
    delay_s : float
        One-way network delay.
    connect_s : float
        Time that a new connection takes.

    Attributes
    ----------
    idle : list of int
        Boot number of the target for each idle connection.
    """

    __slots__ = ("queue", "target", "delay_s", "connect_s", "idle")

    def __init__(self, queue, target, delay_s, connect_s):
        self.queue = queue
        self.target = target
        self.delay_s = delay_s
        self.connect_s = connect_s
        self.idle = []

    def pop_idle_connection(self):
        """Return the boot number of an idle connection, or None.

        As in `httpio.ConnectionPool`, a connection whose close has arrived is dropped
        silently.
        """
        target = self.target
        while self.idle:
            boot = self.idle.pop()
            is_end_known = self.queue.now >= target.restarted_at + self.delay_s
            if boot == target.boot or not is_end_known:
                return boot
        return None

    def close(self):
        """Close the idle connections."""
        while self.idle:
            self.target.close_connection(self.idle.pop())


_CONNECTING = 0
_SENT = 1
_WORKING = 2
_ENDED = 3


class Exchange:
    """One request to a target on one connection.

    Parameters
    ----------
    client : FakeClient
    deadline : float
        Virtual time until which the target may run it.
    key : str or None
        Idempotency key of a booking.
    subject : object
        Context of the caller, read back in `on_end`.
    on_end : callable
        Called with the exchange and its `TargetAnswer`, once.

    Attributes
    ----------
    is_abandoned : bool
        Whether the caller no longer waits; `on_end` is still called if the request was
        sent.
    """

    __slots__ = (
        "client",
        "deadline",
        "key",
        "subject",
        "state",
        "is_abandoned",
        "_on_end",
        "_boot",
        "_is_cancelled",
    )

    def __init__(self, client, deadline, key, subject, on_end):
        self.client = client
        self.deadline = deadline
        self.key = key
        self.subject = subject
        self._on_end = on_end
        self._is_cancelled = False
        self.is_abandoned = False
        queue = client.queue
        boot = client.pop_idle_connection()
        if boot is not None:
            self._send(boot)
        else:
            self.state = _CONNECTING
            queue.schedule(queue.now + client.connect_s, self._connect)

    @property
    def is_ended(self):
        """Return whether the exchange has ended."""
        return self.state == _ENDED

    def cancel(self):
        """Cancel the request; it ends once the target has acknowledged."""
        if self._is_cancelled or self.state == _ENDED:
            return
        self._is_cancelled = True
        client = self.client
        if self.state == _CONNECTING:
            self._end("cancelled", None)
        else:
            client.queue.schedule(
                client.queue.now + client.delay_s, self._cancel_at_target
            )

    def abandon(self):
        """Stop waiting without notifying the target, which continues the request."""
        self._is_cancelled = True
        self.is_abandoned = True
        if self.state == _CONNECTING:
            self.state = _ENDED

    def end_at_target(self, code):
        """End the request at the target and send the answer."""
        client = self.client
        target = client.target
        target.running_exchanges.discard(self)
        self.state = _SENT
        answer = TargetAnswer(code, None, target.state, str(target.boot))
        if code in ("connection_lost", "timed_out"):
            # The client sees no answer: its own timer or the lost connection ends the
            # request first.
            answer = TargetAnswer(code)
        client.queue.schedule(
            client.queue.now + client.delay_s, self._end, code, answer
        )

    def _connect(self):
        if self.state == _ENDED:
            return
        if self.client.target.open_connection():
            self._send(self.client.target.boot)
        else:
            self._end("connect_failed", None)

    def _send(self, boot):
        self.state = _SENT
        self._boot = boot
        queue = self.client.queue
        queue.schedule(queue.now + self.client.delay_s, self._arrive)

    def _arrive(self):
        target = self.client.target
        if self.state == _ENDED:
            return
        if target.boot != self._boot or not target.is_up():
            self.end_at_target("connection_lost")
            return
        self.state = _WORKING
        target.receive(self)

    def _cancel_at_target(self):
        if self.state == _WORKING:
            self.end_at_target("cancelled")

    def _end(self, code, answer):
        if self.state == _ENDED:
            return
        is_connected = self.state != _CONNECTING
        self.state = _ENDED
        if is_connected:
            self._release(code)
        is_lost = code in ("connect_failed", "connection_lost")
        if self._is_cancelled and not self.is_abandoned and not is_lost:
            answer = TargetAnswer("cancelled")
        self._on_end(self, answer or TargetAnswer(code))

    def _release(self, code):
        """Reuse the connection only after a complete exchange."""
        client = self.client
        if self._is_cancelled or code == "connection_lost":
            client.target.close_connection(self._boot)
        else:
            client.idle.append(self._boot)
