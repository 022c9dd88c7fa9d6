"""Order in which attempts wait for room at a target.

The order takes effect only where the configuration has customers. Otherwise a
`TargetQueue` is first-in-first-out.

Attempts of a more urgent priority go first, customers of one priority share the room by
start-time fair queueing (Goyal, Vin and Cheng 1996), and hedges and retries go last.
"""

import collections
import math

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

INTERVAL_WEIGHT = 0.1
"""Weight of the newest interval in the moving average of the time between two attempts
of one customer that waits."""


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
        # By rank, then by customer.
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

    def list_owed(self, names):
        """Return those customers that are behind their least share.

        They are by at least a whole attempt; the one that is farthest behind is first.
        """
        least_share = OWED_FRACTION * self._served_in_all / max(self._asked_in_all, 1.0)
        asked, served = self._asked, self._served
        owed = [
            (served[name] - least_share * asked[name], name)
            for name in names
            if least_share * asked[name] - served[name] >= 1.0
        ]
        return [name for _, name in sorted(owed)]

    def add(self, rank, name):
        """Count an attempt that begins to wait."""
        key = (rank, name)
        if not self._waiting[key]:
            self._times.setdefault(rank, {})[name] = self.get_time(rank, name)
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
        time = self._times.get(rank, {}).get(name, 0.0)
        if (rank, name) in self._waiting:
            return time
        return max(time, self._rank_times.get(rank, 0.0))

    def sort_by_time(self, rank, names):
        """Return customers that wait, the one to be served next first."""
        return sorted(names, key=self._times[rank].__getitem__)

    def find_next(self, rank, names):
        """Return the customer to be served next, of those that wait."""
        return min(names, key=self._times[rank].__getitem__)

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
        times = self._times[rank]
        start = times[name]
        self._rank_times[rank] = max(self._rank_times.get(rank, 0.0), start)
        times[name] = start + 1 / weight
        sent_at, interval_s = self._intervals.get(key, (now, 0.0))
        interval_s += INTERVAL_WEIGHT * (now - sent_at - interval_s)
        self._intervals[key] = (now, interval_s)


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

    __slots__ = (
        "_shares",
        "_unordered",
        "_entries",
        "_flows",
        "_credit",
        "_least_deadline",
    )

    def __init__(self, shares=None):
        self._shares = shares or CustomerShares()
        # Exchanges, as keys, that go before all others in the order of the keys.
        self._unordered = {}
        # By exchange, in the order of their offers.
        self._entries = {}
        # Entries by exchange, by customer, by rank: hedges and retries have the ranks
        # after all first attempts.
        self._flows = {}
        # At most the earliest deadline of all entries.
        self._least_deadline = math.inf
        # What less urgent first attempts are owed, in attempts.
        self._credit = 0.0

    def __len__(self):
        return len(self._unordered) + len(self._entries)

    def __contains__(self, exchange):
        return exchange in self._unordered or exchange in self._entries

    def append(self, exchange):
        """Add an attempt to a queue without customers, after all others."""
        self._unordered[exchange] = None

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
        self._least_deadline = min(self._least_deadline, deadline)
        self._shares.add(entry.rank, customer_name)
        flows = self._flows.setdefault(entry.rank, {})
        flows.setdefault(customer_name, {})[exchange] = entry

    def put_back(self, exchange):
        """Put an attempt that could not be sent before all others."""
        self._unordered = {exchange: None, **self._unordered}

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
        if self._unordered:
            return self.take_first()
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
        if self._unordered:
            exchange = next(iter(self._unordered))
            del self._unordered[exchange]
            return exchange
        exchange = next(iter(self._entries))
        self.remove(exchange)
        return exchange

    def take_expired(self, now, needed_s):
        """Remove and return the attempts that have less time left than `needed_s`."""
        latest = now + needed_s
        if latest <= self._least_deadline:
            return []
        expired = [e.exchange for e in self._entries.values() if e.deadline < latest]
        for exchange in expired:
            self.remove(exchange)
        self._least_deadline = min(
            (entry.deadline for entry in self._entries.values()), default=math.inf
        )
        return expired

    def take_all(self):
        """Remove and return all attempts, in the order of their offers."""
        exchanges = [*self._unordered, *self._entries]
        for exchange in exchanges:
            self.remove(exchange)
        return exchanges

    def remove(self, exchange):
        """Remove an attempt, for example because its caller left."""
        if exchange in self._unordered:
            del self._unordered[exchange]
            return
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
        return len(self._unordered) + self._count_ahead_in_order(terms)

    def _count_ahead_in_order(self, terms):
        rank = (terms.is_extra, terms.priority)
        if not terms.is_extra and self._shares.list_owed((terms.customer_name,)):
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
        ranks = sorted(self._flows)
        while ranks:
            rank = ranks.pop(0)
            first = self._find_head(rank, latest)
            if first is not None:
                break
        else:
            return None
        less_urgent = [other for other in ranks if not other[0]]
        if not less_urgent:
            # Nothing is owed to those that did not wait.
            self._credit = 0.0
            return first
        self._credit += LESS_URGENT_SHARE
        if self._credit < 1.0:
            return first
        self._credit -= 1.0
        heads = [self._find_head(other, latest) for other in less_urgent]
        heads = [head for head in heads if head is not None]
        return min(heads, key=lambda head: head.offered_at, default=first)

    def _find_owed(self, latest):
        """Return an entry of the customer that is farthest behind its least share."""
        names = {
            name
            for (is_extra, _), flows in self._flows.items()
            if not is_extra
            for name in flows
        }
        for name in self._shares.list_owed(names):
            for entry in self._entries.values():
                is_first = not entry.rank[0] and entry.customer_name == name
                if is_first and entry.deadline >= latest:
                    return entry
        return None

    def _find_head(self, rank, latest):
        """Return the entry of a rank that goes first, or None if none has time."""
        flows = self._flows[rank]
        name = self._shares.find_next(rank, flows)
        entry = next(iter(flows[name].values()))
        if entry.deadline >= latest:
            return entry
        for name in self._shares.sort_by_time(rank, flows):
            for entry in flows[name].values():
                if entry.deadline >= latest:
                    return entry
        return None
