"""Order in which attempts wait for room at a target, and which of them are refused.

The decisions take effect only where the configuration has customers. Otherwise a
`TargetQueue` is first-in-first-out, and nothing is bounded or refused here.

Attempts of a more urgent priority go first, customers of one priority share the room by
start-time fair queueing (Goyal, Vin and Cheng 1996), and hedges and retries go last.
"""

import collections
import enum
import math

BOUND_FACTOR = 2.0
"""Attempts in flight per slot of a target: one that runs and one that waits, so that
the target does not idle for a round trip between two attempts."""

LESS_URGENT_SHARE = 0.05
"""Share of the first attempts sent under pressure that less urgent ones get while they
wait. It serves customers with too few requests to be behind their least share by a
whole attempt. With 0.3, urgent requests got less than all others in a test where they
alone exceeded the room."""

OWED_FRACTION = 0.3
"""Fraction of the served share of all requests below which a customer's own share makes
it go first. The rule is a quarter; the rest covers the time until a slot is free.
Without this, customers of weight 1 beside others of weight 120 were served a tenth as
often as all, with it 0.27 to 0.30 as often."""

OWED_WINDOW_S = 5.0
"""Time after which the counts of requests and of those served are halved. Pressure
lasts some seconds; older counts say nothing about it."""

LEAST_COUNT = 0.1
"""Halved count below which a customer is forgotten."""

WORK_WEIGHT = 0.2
"""Weight of the newest reply in the moving average of a target's work per attempt. Slow
phases of targets last some seconds, that is dozens of replies under pressure."""

SEND_MARGIN = 1.25
"""Factor on the estimated answer time of an attempt that is about to be sent; with less
time left it is not sent. Reply times vary by a third. In the test of one customer at
seven times its usual load, 97 of its 893 attempts were answered too late with a factor
of 0.75, and 1 of 895 with 1.25."""

INTERVAL_WEIGHT = 0.1
"""Weight of the newest interval in the moving average of the time between two attempts
of one customer that waits."""

SLOW_REPLY_FACTOR = 3.0
"""Multiple of the route's average reply time above which the work of an attempt reduces
the bound. A short search that waits behind longer ones takes up to three times its
average, without the share of this VM's own attempts in that."""

REFUSAL_FACTOR = 0.5
SLOW_REPLY_BOUND_FACTOR = 0.8
"""Factors on the bound after a refusal and after a slow reply. A refusal states that
the target's queue is full; a slow reply may have been one long request."""

RECOVERY_S_PER_ATTEMPT = 0.5
"""Time after which a reduced bound rises by one attempt. Overloaded targets recover
within seconds, and VMs with few requests get too few replies to learn of it."""

USUAL_REPLY_GAIN = 1.0
"""Increase of a reduced bound by as many replies at usual speed as it allows attempts,
which doubles it at most once per round of replies."""


class RefusalReason(enum.Enum):
    """Why an attempt was not sent although its target is usable."""

    TOO_LATE = "too_late"
    """It could not have been answered in time behind those that wait."""

    EXPIRED = "expired"
    """It waited until it could no longer be answered in time."""

    RESERVATION = "reservation"
    """Its reservation at a cold target holds only for the moment it was made."""


class WaitTerms:
    """What decides how long an attempt may wait, and before which others it goes.

    Parameters
    ----------
    priority : int
        0 is the most urgent.
    customer_name : str
    weight : float
        Share of the customer when customers compete.
    deadline : float
        Monotonic seconds.
    is_extra : bool
        Whether it is a hedge, or a retry after an attempt that was sent.
    is_reserved : bool
        Whether it may be sent now only, because the target is cold.
    """

    __slots__ = (
        "priority",
        "customer_name",
        "weight",
        "deadline",
        "is_extra",
        "is_reserved",
    )

    def __init__(
        self,
        priority,
        customer_name,
        weight,
        deadline,
        is_extra=False,
        is_reserved=False,
    ):
        self.priority = priority
        self.customer_name = customer_name
        self.weight = weight if weight > 0 else 1.0
        self.deadline = deadline
        self.is_extra = is_extra
        self.is_reserved = is_reserved


class CustomerShares:
    """What the customers that wait for one service have got, by weight.

    The queues of all targets of the service share it. In each rank, a customer's time
    advances by 1 / weight with each attempt sent; the one with the earliest time goes
    first. A customer that begins to wait starts at the time of the one served last, so
    that it gains nothing from having been idle.

    It also counts the requests of each customer and those that were sent. Weights and
    priorities alone would starve customers without an allowance, whose weight is 1.
    """

    __slots__ = (
        "_times",
        "_waiting",
        "_rank_times",
        "_intervals",
        "_asked",
        "_served",
        "_asked_in_all",
        "_served_in_all",
        "_halved_at",
    )

    def __init__(self):
        # First attempts of each customer, and those of them that were sent.
        self._asked = collections.Counter()
        self._served = collections.Counter()
        self._asked_in_all = 0.0
        self._served_in_all = 0.0
        self._halved_at = 0.0
        self._times = {}
        # Time of the newest attempt sent, and average time between two, of customers
        # that wait.
        self._intervals = {}
        self._waiting = collections.Counter()
        self._rank_times = {}

    def record_asked(self, name, now):
        """Count a first attempt, whether or not it has to wait."""
        if now - self._halved_at > OWED_WINDOW_S:
            self._halved_at = now
            self._halve_counts()
        self._asked[name] += 1
        self._asked_in_all += 1

    def record_served(self, name):
        """Count a first attempt that was sent."""
        self._served[name] += 1
        self._served_in_all += 1

    def _halve_counts(self):
        for counts in (self._asked, self._served):
            for name in list(counts):
                counts[name] /= 2
                if counts[name] < LEAST_COUNT:
                    del counts[name]
        self._asked_in_all = sum(self._asked.values())
        self._served_in_all = sum(self._served.values())

    def compute_owed(self, name):
        """Return by how many attempts a customer is behind its least share."""
        served_share = self._served_in_all / max(self._asked_in_all, 1.0)
        least = OWED_FRACTION * served_share * self._asked[name]
        return least - self._served[name]

    def is_owed(self, name):
        """Return whether a customer is behind its least share by a whole attempt."""
        return self.compute_owed(name) >= 1.0

    def add(self, rank, name):
        """Count an attempt that begins to wait."""
        key = (rank, name)
        if not self._waiting[key]:
            self._times[key] = self.get_time(rank, name)
        self._waiting[key] += 1

    def discard(self, rank, name):
        """Count an attempt that no longer waits; forget all times if none does."""
        key = (rank, name)
        self._waiting[key] -= 1
        if self._waiting[key] > 0:
            return
        del self._waiting[key]
        self._intervals.pop(key, None)
        if not self._waiting:
            self._times.clear()
            self._rank_times.clear()

    def get_time(self, rank, name):
        """Return the time of a customer, also of one that does not wait yet."""
        key = (rank, name)
        if key in self._waiting:
            return self._times[key]
        return max(self._times.get(key, 0.0), self._rank_times.get(rank, 0.0))

    def estimate_wait_s(self, rank, name):
        """Return how long a new attempt of a customer would wait at its present pace.

        Unlike `TargetQueue.count_ahead`, it covers attempts of others that will come
        and go first. 0 if the pace is unknown.
        """
        key = (rank, name)
        interval_s = self._intervals.get(key, (0.0, 0.0))[1]
        return interval_s * self._waiting[key]

    def record_sent(self, rank, name, weight, now):
        """Advance a customer's time; it must still be counted as waiting."""
        key = (rank, name)
        start = self._times[key]
        self._rank_times[rank] = max(self._rank_times.get(rank, 0.0), start)
        self._times[key] = start + 1 / weight
        sent_at, interval_s = self._intervals.get(key, (now, 0.0))
        interval_s += INTERVAL_WEIGHT * (now - sent_at - interval_s)
        self._intervals[key] = (now, interval_s)


class TargetLoad:
    """What one target can take from this VM, learned from its replies.

    Attributes
    ----------
    slots : int
        Number of requests that the target runs concurrently.
    is_assigned : bool
        Whether this VM normally sends all requests of the target. Its bound then stays
        at one attempt per slot or more; that of other VMs may fall to one attempt.
    """

    __slots__ = ("slots", "is_assigned", "_work_s", "_reduction", "_updated_at")

    def __init__(self, slots=1, is_assigned=False):
        self.slots = slots
        self.is_assigned = is_assigned
        self._work_s = None
        # Attempts by which the bound is reduced, as of `_updated_at`.
        self._reduction = 0.0
        self._updated_at = 0.0

    def compute_bound(self, now):
        """Return the number of attempts that may be in flight at the target."""
        # The small term is for sums of fractions such as a third.
        return int(self._get_ceiling() - self._get_reduction(now) + 1e-9)

    def record_reply(self, elapsed_s, usual_s, in_flight, now):
        """Learn from a reply.

        Parameters
        ----------
        elapsed_s : float
            Time since the request was sent.
        usual_s : float
            Average reply time of the route; 0 if unknown.
        in_flight : int
            This VM's attempts in flight at the target, including this one.
        now : float
        """
        # Those beyond the slots waited in the target's queue.
        work_s = elapsed_s * min(1.0, self.slots / in_flight)
        if self._work_s is None:
            self._work_s = work_s
        self._work_s += WORK_WEIGHT * (work_s - self._work_s)
        if usual_s > 0 and work_s > SLOW_REPLY_FACTOR * usual_s:
            self._reduce(SLOW_REPLY_BOUND_FACTOR, now)
        elif self._reduction:
            gain = USUAL_REPLY_GAIN / max(self.compute_bound(now), 1)
            self._set_reduction(self._get_reduction(now) - gain, now)

    def record_refusal(self, now):
        """Learn that the target has refused a request."""
        self._reduce(REFUSAL_FACTOR, now)

    def estimate_answer_s(self, ahead, usual_s, connections=math.inf):
        """Return the time until a new attempt is answered.

        Parameters
        ----------
        ahead : int
            Attempts that are in flight or go first.
        usual_s : float
            Assumed work if the target has not replied yet.
        connections : float
            Number of connections that this VM may open to the target.
        """
        work_s = usual_s if self._work_s is None else self._work_s
        return max(1.0, (ahead + 1) / min(self.slots, connections)) * work_s

    def _get_ceiling(self):
        return max(int(self.slots * BOUND_FACTOR), 1)

    def _get_reduction(self, now):
        recovered = (now - self._updated_at) / RECOVERY_S_PER_ATTEMPT
        return max(self._reduction - recovered, 0.0)

    def _reduce(self, factor, now):
        ceiling = self._get_ceiling()
        bound = ceiling - self._get_reduction(now)
        self._set_reduction(ceiling - factor * bound, now)

    def _set_reduction(self, reduction, now):
        least = self.slots if self.is_assigned else 1
        self._reduction = min(max(reduction, 0.0), self._get_ceiling() - least)
        self._updated_at = now


class _Entry:
    """A waiting attempt."""

    __slots__ = (
        "exchange",
        "rank",
        "customer_name",
        "weight",
        "deadline",
        "offered_at",
    )

    def __init__(self, exchange, rank, customer_name, weight, deadline, offered_at):
        self.exchange = exchange
        self.rank = rank
        self.customer_name = customer_name
        self.weight = weight
        self.deadline = deadline
        self.offered_at = offered_at


class TargetQueue:
    """The attempts of this VM that wait for one target.

    Parameters
    ----------
    shares : CustomerShares or None
        Shared by the targets of a service; None for one of its own.
    """

    __slots__ = ("_shares", "_entries", "_flows", "_credit")

    def __init__(self, shares=None):
        self._shares = shares or CustomerShares()
        # By exchange, in the order of their offers.
        self._entries = {}
        # Entries by exchange, by customer, by rank: hedges and retries have the ranks
        # after all first attempts.
        self._flows = {}
        # What less urgent first attempts are owed, in attempts.
        self._credit = 0.0

    def __len__(self):
        return len(self._entries)

    def __contains__(self, exchange):
        return exchange in self._entries

    def record_asked(self, terms, now):
        """Count an attempt for the least share of its customer."""
        if not terms.is_extra:
            self._shares.record_asked(terms.customer_name, now)

    def record_served(self, terms):
        """Count an attempt that is sent."""
        if not terms.is_extra:
            self._shares.record_served(terms.customer_name)

    def offer(
        self,
        exchange,
        priority,
        customer_name,
        weight,
        deadline,
        now,
        is_extra=False,
    ):
        """Add an attempt that has to wait.

        Parameters
        ----------
        exchange : exchanges.Exchange
        priority, customer_name, weight, deadline, is_extra
            See `WaitTerms`.
        now : float
            Monotonic seconds.
        """
        rank = (is_extra, priority)
        entry = _Entry(exchange, rank, customer_name, weight, deadline, now)
        self._entries[exchange] = entry
        self._shares.add(entry.rank, customer_name)
        flows = self._flows.setdefault(entry.rank, {})
        flows.setdefault(customer_name, {})[exchange] = entry

    def put_back(self, exchange):
        """Put an attempt that could not be sent before all others."""
        terms = exchange.terms
        others = self._entries
        self._entries = {}
        # The rank below 0 is before that of every priority.
        self.offer(
            exchange,
            -1,
            terms.customer_name,
            terms.weight,
            terms.deadline,
            exchange.started_at,
        )
        self._entries.update(others)

    def take(self, now, needed_s=0.0, is_pressed=True):
        """Remove and return the attempt to be sent next, or None if there is none.

        Parameters
        ----------
        now : float
        needed_s : float
            Attempts with less time left than this stay in the queue, for
            `take_expired`.
        is_pressed : bool
            Whether more attempts wait than the target has slots. If not, the one that
            came first is sent.
        """
        if is_pressed:
            entry = self._choose_under_pressure(now + needed_s)
        else:
            latest = now + needed_s
            waiting = self._entries.values()
            entry = next((e for e in waiting if e.deadline >= latest), None)
        if entry is None:
            return None
        self._shares.record_sent(entry.rank, entry.customer_name, entry.weight, now)
        self.remove(entry.exchange)
        return entry.exchange

    def take_first(self):
        """Remove and return the attempt that came first; for use without customers."""
        exchange = next(iter(self._entries))
        self.remove(exchange)
        return exchange

    def take_expired(self, now, needed_s):
        """Remove and return the attempts that have less time left than `needed_s`."""
        latest = now + needed_s
        expired = [e.exchange for e in self._entries.values() if e.deadline < latest]
        for exchange in expired:
            self.remove(exchange)
        return expired

    def take_all(self):
        """Remove and return all attempts, in the order of their offers."""
        exchanges = list(self._entries)
        for exchange in exchanges:
            self.remove(exchange)
        return exchanges

    def remove(self, exchange):
        """Remove an attempt, for example because its caller left."""
        entry = self._entries.pop(exchange)
        flows = self._flows[entry.rank]
        flow = flows[entry.customer_name]
        del flow[exchange]
        if not flow:
            del flows[entry.customer_name]
        if not flows:
            del self._flows[entry.rank]
        self._shares.discard(entry.rank, entry.customer_name)

    def count_ahead(self, terms):
        """Return how many of the waiting attempts would be sent before a new one.

        Parameters
        ----------
        terms : WaitTerms
        """
        rank = (terms.is_extra, terms.priority)
        if not terms.is_extra and self._shares.is_owed(terms.customer_name):
            flows = self._flows.get(rank, {})
            return len(flows.get(terms.customer_name, ()))
        before = sum(
            len(flow)
            for other_rank, flows in self._flows.items()
            for flow in flows.values()
            if other_rank < rank
        )
        beside = self._count_ahead_in_rank(rank, terms)
        if terms.is_extra or not before:
            return before + beside
        return min(before + beside, int((beside + 1) / LESS_URGENT_SHARE))

    def estimate_wait_s(self, terms):
        """See `CustomerShares.estimate_wait_s`."""
        rank = (terms.is_extra, terms.priority)
        return self._shares.estimate_wait_s(rank, terms.customer_name)

    def _count_ahead_in_rank(self, rank, terms):
        flows = self._flows.get(rank, {})
        own = len(flows.get(terms.customer_name, ()))
        own_start = (
            self._shares.get_time(rank, terms.customer_name) + own / terms.weight
        )
        ahead = own
        for name, flow in flows.items():
            if name == terms.customer_name:
                continue
            weight = next(iter(flow.values())).weight
            lead = own_start - self._shares.get_time(rank, name)
            # The small term keeps a customer with the same start time ahead.
            ahead += min(len(flow), max(int(lead * weight + 1e-9) + 1, 0))
        return ahead

    def _choose_under_pressure(self, latest):
        """Return the entry to be sent next; see `take`."""
        owed = self._find_owed(latest)
        if owed is not None:
            return owed
        candidates = self._list_candidates(latest)
        if not candidates:
            return None
        ranks = [rank for rank, _ in candidates]
        less_urgent = [
            entry for rank, entry in candidates[1:] if not rank[0] and rank != ranks[0]
        ]
        if not less_urgent:
            # Nothing is owed to those that did not wait.
            self._credit = 0.0
            return candidates[0][1]
        self._credit += LESS_URGENT_SHARE
        if self._credit < 1.0:
            return candidates[0][1]
        self._credit -= 1.0
        return min(less_urgent, key=lambda entry: entry.offered_at)

    def _find_owed(self, latest):
        """Return an entry of the customer that is farthest behind its least share."""
        names = {
            name
            for (is_extra, _), flows in self._flows.items()
            if not is_extra
            for name in flows
            if self._shares.is_owed(name)
        }
        for name in sorted(names, key=self._shares.compute_owed, reverse=True):
            for entry in self._entries.values():
                is_first = not entry.rank[0] and entry.customer_name == name
                if is_first and entry.deadline >= latest:
                    return entry
        return None

    def _list_candidates(self, latest):
        """Return the entry of each rank that goes first, the most urgent rank first."""
        candidates = []
        for rank in sorted(self._flows):
            heads = []
            for name, flow in self._flows[rank].items():
                entry = next((e for e in flow.values() if e.deadline >= latest), None)
                if entry is not None:
                    heads.append((self._shares.get_time(rank, name), len(heads), entry))
            if heads:
                candidates.append((rank, min(heads)[2]))
        return candidates


def find_refusal(queue, load, terms, in_flight, usual_s, now, connections=math.inf):
    """Return why an attempt for which there is no room may not wait, or None.

    Parameters
    ----------
    queue : TargetQueue
    load : TargetLoad
    terms : WaitTerms
    in_flight : int
        This VM's attempts that the target has not answered yet.
    usual_s : float
        Average reply time of the route.
    now : float
    connections : float
        See `TargetLoad.estimate_answer_s`.
    """
    if terms.is_reserved:
        return RefusalReason.RESERVATION
    ahead = in_flight + queue.count_ahead(terms)
    answer_s = load.estimate_answer_s(ahead, usual_s, connections)
    answer_s = max(answer_s, queue.estimate_wait_s(terms))
    if now + answer_s > terms.deadline:
        return RefusalReason.TOO_LATE
    return None


def estimate_least_s(load, in_flight, usual_s, connections=math.inf):
    """Return the least time in which an attempt that is sent now can be answered.

    Parameters
    ----------
    load, in_flight, usual_s, connections
        See `find_refusal`.
    """
    return SEND_MARGIN * load.estimate_answer_s(in_flight, usual_s, connections)


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
    """

    __slots__ = ("is_active", "observer", "_shares_by_service")

    def __init__(self, observer=None):
        self.is_active = False
        self.observer = observer or QueueObserver()
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
