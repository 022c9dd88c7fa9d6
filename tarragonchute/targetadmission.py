"""Attempts for which there is no room at a target: which may wait, and when they go.

The decisions take effect only where the configuration has customers.
"""

import enum

from .targetloads import TargetLoad
from .targetqueues import CustomerShares, TargetQueue

SEND_MARGIN = 1.25
"""Factor on the estimated answer time of an attempt that is about to be sent; with less
time left it is not sent. Reply times vary by a third. In the test of one customer at
seven times its usual load, 97 of its 893 attempts were answered too late with a factor
of 0.75, and 1 of 895 with 1.25."""

BACKPRESSURE_STATUSES = frozenset((429, 503))
"""Statuses with which a target states that it has no room."""


class RefusalReason(enum.Enum):
    """Why an attempt was not sent although its target is usable."""

    TOO_LATE = "too_late"
    """It could not have been answered in time behind those that wait."""

    EXPIRED = "expired"
    """It waited until it could no longer be answered in time."""

    RESERVATION = "reservation"
    """Its reservation at a cold target holds only for the moment it was made."""


class QueueObserver:
    """Callback interface for the metrics of the queues."""

    __slots__ = ()

    def record_wait(self, wait_s):
        """Record how long an attempt waited that was then sent."""

    def record_refusal(self, reason):
        """Record a refusal, with its `RefusalReason`."""


class QueuePolicy:
    """Whether the decisions of this module are in force, and what the queues share.

    Parameters
    ----------
    observer : QueueObserver or None

    Attributes
    ----------
    is_active : bool
        Whether the configuration has customers.
    get_pause_s : callable
        As `shardserver.ShardServer.get_pause_s`.
    """

    __slots__ = ("is_active", "observer", "get_pause_s", "_shares_by_service")

    def __init__(self, observer=None):
        self.is_active = False
        self.observer = observer or QueueObserver()
        self.get_pause_s = lambda now: 0.0
        self._shares_by_service = {}

    def get_shares(self, service):
        """Return the `CustomerShares` of a service."""
        return self._shares_by_service.setdefault(service, CustomerShares())

    def has_room(self, target, now):
        """Return whether an attempt at a target would not have to wait for others."""
        return not self.is_active or target.pool.has_room(now)

    def delete_except(self, services):
        """Delete the state of services that no longer exist."""
        for service in [s for s in self._shares_by_service if s not in services]:
            del self._shares_by_service[service]


class TargetAdmission:
    """The attempts of this VM at one target: those that wait, and how many may go.

    Parameters
    ----------
    policy : QueuePolicy
    service : str

    Attributes
    ----------
    load : targetloads.TargetLoad
    queue : targetqueues.TargetQueue
    """

    __slots__ = ("load", "queue", "_policy")

    def __init__(self, policy, service):
        self.load = TargetLoad()
        self.queue = TargetQueue(policy.get_shares(service))
        self._policy = policy

    def compute_bound(self, connections, now):
        """Return the number of attempts that may be in flight.

        Parameters
        ----------
        connections : int
            Number of connections that this VM may open to the target.
        now : float
        """
        return min(self.load.compute_bound(now), connections)

    def offer(self, exchange, now):
        """Let an attempt wait."""
        if not self._policy.is_active:
            self.queue.append(exchange)
            return
        terms = exchange.terms
        self.queue.offer(
            exchange,
            terms.priority,
            terms.customer_name,
            terms.weight,
            terms.deadline,
            now,
            terms.is_extra,
        )

    def find_refusal(self, exchange, in_flight, connections, now):
        """Return why an attempt for which there is no room may not wait, or None.

        Parameters
        ----------
        exchange : exchanges.Exchange
        in_flight : int
            This VM's attempts that the target has not answered yet.
        connections : int
            See `compute_bound`.
        now : float
        """
        terms = exchange.terms
        if terms.is_reserved:
            return RefusalReason.RESERVATION
        ahead = in_flight + self.queue.count_ahead(terms)
        usual_s = exchange.mean_reply_time_s
        answer_s = self.load.estimate_answer_s(ahead, usual_s, now, connections)
        answer_s = max(answer_s, self.queue.estimate_wait_s(terms))
        if now + answer_s > terms.deadline:
            return RefusalReason.TOO_LATE
        return None

    def record_refusal(self, exchange, reason, connections, now):
        """Count a refusal, and note when there will be room for the attempt."""
        self._policy.observer.record_refusal(reason)
        exchange.drain_s = self.load.estimate_answer_s(
            len(self.queue), exchange.mean_reply_time_s, now, connections
        )

    def take(self, in_flight, connections, now):
        """Remove and return the attempt to be sent next.

        None if none waits, if none has time, or if the bound is reached.
        """
        if in_flight >= self.compute_bound(connections, now):
            return None
        # The bound leaves one attempt per slot waiting at the target, or fewer if the
        # target is slow or refuses requests.
        waiting = len(self.queue)
        bound = self.load.compute_bound(now)
        is_pressed = waiting > self.load.slots or in_flight + waiting > bound
        needed_s = self._estimate_least_s(in_flight, connections, now)
        exchange = self.queue.take(now, needed_s, is_pressed)
        if exchange is None:
            return None
        if exchange.has_waited_for_room:
            self._policy.observer.record_wait(now - exchange.started_at)
        if exchange.owner is not None:
            exchange.owner.update_request(exchange, now)
        return exchange

    def take_expired(self, in_flight, connections, now):
        """Remove and return the attempts that can no longer be answered in time."""
        needed_s = self._estimate_least_s(in_flight, connections, now)
        return self.queue.take_expired(now, needed_s)

    def record_start(self, exchange, now):
        """Count an attempt for the least share of its customer."""
        self.queue.record_asked(exchange.terms, now)

    def record_sent(self, exchange):
        """Count an attempt that is sent."""
        self.queue.record_served(exchange.terms)

    def record_reply(self, exchange, status, in_flight, now):
        """Learn from a reply; `in_flight` includes its exchange."""
        if status in BACKPRESSURE_STATUSES:
            self.load.record_refusal(now)
            return
        if self._policy.get_pause_s(now):
            # The reply may have waited for this process.
            return
        elapsed_s = now - exchange.sent_at
        self.load.record_reply(elapsed_s, exchange.mean_reply_time_s, in_flight, now)

    def _estimate_least_s(self, in_flight, connections, now):
        """Return the least time in which an attempt sent now can be answered.

        0 if the target has not replied yet, or if nothing is in flight: otherwise no
        reply could correct an estimate that exceeds the time limits.
        """
        if not in_flight:
            return 0.0
        answer_s = self.load.estimate_answer_s(in_flight, 0.0, now, connections)
        return SEND_MARGIN * answer_s
