"""Grants tokens of customers' allowances to the VMs of the fleet.

A token permits one request. The limit holds by construction: in a window a grantor
gives out at most the capacity of its bucket and what flows in, and tokens that are
granted but not spent count as part of the capacity.
"""

import collections
import math

from .grantmessages import Answer
from .grantroles import MIN_DEPUTY_PART

TOKEN_LEASE_S = 2.0
"""Time for which a token is valid, counted by its holder from its ask, and by the
grantor from its answer, which is later."""

SPARE_LEASE_S = 10.0
"""Lease of a single spare token. Most VMs see a request of a customer only each few
seconds. Single spares take at most `CAPACITY_PART` of the permitted excess, also where
a grantor that has ended cannot count them any more."""

EXPIRY_CHECK_INTERVAL_S = 0.1
"""Interval between checks for expired tokens, which go through all of their holders."""

CAPACITY_PART = 0.2
FIRST_TOKENS_PART = 0.25
DEPUTIES_PART = 0.35
"""Parts of the permitted excess: for the capacity of a grantor's bucket above the
burst, for the first tokens of a grantor that does not know what was granted before, and
for all deputies together. The rest covers lists of VMs that differ for a moment."""

SPARE_LEVEL = 0.5
"""Fraction of the capacity above which spare tokens are granted, and which spare tokens
may take up at most. The rest stays available to all VMs."""

AHEAD_S = 0.1
MAX_AHEAD_S = 1.0
"""Time for which a VM gets tokens in advance, and its upper bound, half of the lease.
It grows from the first to the second with the asks per second for a customer."""

AHEAD_ASKS_PER_S = 100.0
"""Asks per second for one customer above which VMs get more tokens in advance. An ask
costs the grantor 17 us without the socket calls, so these take less than 1% of a
core."""

HELD_ASKS_PER_S = 200.0
"""Asks per second that refused VMs send together for one customer."""

MAX_HOLD_S = 2.0
"""Longest time for which a VM refuses without asking. The customer's load may have
fallen meanwhile."""

DECLINED_HOLD_S = 0.5
"""Time after which a VM is asked again that does not have the role."""

RATE_MEMORY_S = 1.0
"""Time constant of the averages of asks and refusals."""

MAX_SPREAD_S = 5.0
"""Longest time over which refused callers are spread. It is a few times what callers
usually wait, so longer values would only lose requests."""


class AllowanceBounds:
    """How far the requests of a customer may exceed its allowance in a window.

    Parameters
    ----------
    window_s : float
    overshoot : float
        Fraction of the requests that the allowance permits in a window.
    slack : float
        Requests per window in addition.
    """

    __slots__ = ("window_s", "overshoot", "slack")

    def __init__(self, window_s, overshoot, slack):
        self.window_s = window_s
        self.overshoot = overshoot
        self.slack = slack

    def compute_excess(self, rate, burst):
        """Return the requests per window that are permitted beyond the allowance."""
        return self.overshoot * (rate * self.window_s + burst) + self.slack

    def compute_max_deputies(self, rate, burst):
        """Return the number of deputies whose parts allow whole tokens."""
        part = DEPUTIES_PART * self.compute_excess(rate, burst)
        return max(int(part / MIN_DEPUTY_PART), 1)


class DecayingRate:
    """Events per second, averaged over `RATE_MEMORY_S`."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self):
        self._rate = 0.0
        self._updated_at = -math.inf

    def record(self, count, now):
        """Record `count` events."""
        self._rate = self.get(now) + count / RATE_MEMORY_S
        self._updated_at = now

    def get(self, now):
        """Return the events per second."""
        return self._rate * math.exp(-max(now - self._updated_at, 0) / RATE_MEMORY_S)


class TokenBucket:
    """A token bucket that counts unspent tokens of VMs as part of its capacity.

    Parameters
    ----------
    rate : float
        Tokens per second that flow in.
    capacity : float
        At least 1 is used, because tokens are whole.
    level : float
        Tokens at the start.
    max_single_spares : float
        Spare tokens that may be out without a demand for them. They may go to VMs that
        never use them, so that they must not take up the burst.
    now : float
    """

    __slots__ = (
        "rate",
        "capacity",
        "_level",
        "_max_single_spares",
        "_updated_at",
        "_spares",
        "_spare_count",
        "_next_expiry_at",
    )

    def __init__(self, rate, capacity, level, max_single_spares, now):
        self.rate = rate
        self.capacity = max(capacity, 1.0)
        self._max_single_spares = max_single_spares
        self._level = min(level, self.capacity)
        self._updated_at = now
        self._spares = {}
        self._spare_count = 0
        self._next_expiry_at = -math.inf

    def set_limits(self, rate, capacity, max_single_spares, now):
        """Change the limits; a higher capacity is available at once."""
        self._max_single_spares = max_single_spares
        self.refill(now)
        capacity = max(capacity, 1.0)
        self._level += max(capacity - self.capacity, 0.0)
        self.rate = rate
        self.capacity = capacity
        self.refill(now)

    def refill(self, now):
        """Add what has flown in, and return the level."""
        if now >= self._next_expiry_at:
            self._remove_expired(now)
        elapsed_s = max(now - self._updated_at, 0.0)
        self._updated_at = max(now, self._updated_at)
        self._level = min(
            self._level + self.rate * elapsed_s, self.capacity - self._spare_count
        )
        return self._level

    def _remove_expired(self, now):
        for holder_id, (expires_at, count) in list(self._spares.items()):
            if now >= expires_at:
                del self._spares[holder_id]
                self._spare_count -= count
        self._next_expiry_at = now + EXPIRY_CHECK_INTERVAL_S

    def take(self, holder_id, wanted, ahead, now):
        """Take tokens for waiting requests of a VM, and some in advance.

        A VM that asks holds no tokens any more.

        Parameters
        ----------
        holder_id : str
        wanted : int
        ahead : float
            Tokens that it may get in advance.
        now : float

        Returns
        -------
        tuple of (int, float)
            Number of tokens, and their lease in seconds.
        """
        self._spare_count -= self._spares.pop(holder_id, (0.0, 0))[1]
        level = self.refill(now)
        # Tolerates the rounding of a level that has just reached the next token.
        available = max(int(level + 1e-9), 0)
        granted = min(wanted, available)
        lease_s = TOKEN_LEASE_S
        spares = min(int(ahead), int(SPARE_LEVEL * self.capacity) - self._spare_count)
        if spares < 1 and level > SPARE_LEVEL * self.capacity:
            spares = 1 if self._spare_count + 1 <= self._max_single_spares else 0
            lease_s = SPARE_LEASE_S
        spares = min(spares, available - granted)
        if spares > 0:
            self._spares[holder_id] = (now + lease_s, spares)
            self._spare_count += spares
            granted += spares
        self._level -= granted
        return granted, lease_s

    def put_back(self, count, now):
        """Put back unspent tokens."""
        self._level += count
        self.refill(now)

    def compute_wait_s(self, now):
        """Return the time until there is a token."""
        missing = 1.0 - self.refill(now)
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else MAX_HOLD_S


class WindowGrants:
    """Grants at most a number of tokens in each window; the source of a deputy.

    Half of the first window counts as granted, because this VM may have just been
    restarted or another one may have been the deputy.

    Parameters
    ----------
    part : float
        Tokens per window.
    window_s : float
    now : float
    """

    __slots__ = ("part", "_window_s", "_grants", "_granted")

    def __init__(self, part, window_s, now):
        self.part = part
        self._window_s = window_s
        self._grants = collections.deque([(now, part / 2)])
        self._granted = part / 2

    @property
    def rate(self):
        """Tokens per second."""
        return self.part / self._window_s

    def take(self, holder_id, wanted, ahead, now):
        """See `TokenBucket.take`; grants no tokens in advance."""
        granted = max(min(wanted, int(self._compute_room(now) + 1e-9)), 0)
        if granted:
            self._grants.append((now, granted))
            self._granted += granted
        return granted, TOKEN_LEASE_S

    def put_back(self, count, now):
        """Drop unspent tokens."""

    def compute_wait_s(self, now):
        """Return the time until there may be a token."""
        if self._compute_room(now) >= 1 or not self._grants:
            return 0.0
        return self._grants[0][0] + self._window_s - now

    def _compute_room(self, now):
        while self._grants and now - self._grants[0][0] >= self._window_s:
            self._granted -= self._grants.popleft()[1]
        return self.part - self._granted


class _Account:
    """Grants of one customer in one role: the source of tokens and the load on it.

    `since` is the time from which a token bucket has filled.
    """

    __slots__ = ("source", "since", "asks", "refusals", "refused_at")

    def __init__(self, source, since):
        self.source = source
        self.since = since
        self.asks = DecayingRate()
        self.refusals = DecayingRate()
        # Time of the latest refusal by VM id, the oldest first.
        self.refused_at = {}

    def answer(self, ask, random_source, now):
        """Grant tokens or refuse; return the `Answer`."""
        self.asks.record(1, now)
        self.refusals.record(ask.refused, now)
        source = self.source
        source.put_back(ask.returned, now)
        ahead_s = AHEAD_S * max(self.asks.get(now) / AHEAD_ASKS_PER_S, 1.0)
        ahead = ask.demand * min(ahead_s, MAX_AHEAD_S)
        granted, lease_s = source.take(ask.sender_id, ask.wanted, ahead, now)
        if self.asks.get(now) > AHEAD_ASKS_PER_S:
            # VMs ask in advance only for spares with the longer lease.
            lease_s = TOKEN_LEASE_S
        if granted >= ask.wanted:
            self.refused_at.pop(ask.sender_id, None)
            return Answer(ask.number, False, granted, lease_s)
        self.refusals.record(ask.wanted - granted, now)
        self._record_refusal(ask.sender_id, now)
        hold_s = self._compute_hold_s(random_source, now)
        spread_s = self.refusals.get(now) * RATE_MEMORY_S / max(source.rate, 1e-3)
        spread_s = min(spread_s, MAX_SPREAD_S)
        return Answer(ask.number, False, granted, lease_s, hold_s, spread_s)

    def _record_refusal(self, vm_id, now):
        self.refused_at.pop(vm_id, None)
        self.refused_at[vm_id] = now
        while now - next(iter(self.refused_at.values())) > MAX_HOLD_S:
            del self.refused_at[next(iter(self.refused_at))]

    def _compute_hold_s(self, random_source, now):
        """Return how long the asking VM should refuse without asking.

        The VMs that are refused ask again at different times, about as often together
        as there are tokens.
        """
        asks_per_s = max(min(self.source.rate, HELD_ASKS_PER_S), 1 / MAX_HOLD_S)
        others = len(self.refused_at) - 1
        hold_s = self.source.compute_wait_s(now)
        hold_s += 2 * random_source.random() * others / asks_per_s
        return min(hold_s, MAX_HOLD_S)


class _Limits:
    """Newest known allowance of a customer."""

    __slots__ = ("version", "rate", "burst")

    def __init__(self, version, rate, burst):
        self.version = version
        self.rate = rate
        self.burst = burst


class GrantBook:
    """What this VM grants as grantor or deputy.

    Parameters
    ----------
    own_id, own_domain : str
    bounds : AllowanceBounds
    roles : grantroles.RoleTable
    random_source : random.Random
    """

    __slots__ = (
        "_own_id",
        "_own_domain",
        "_bounds",
        "_roles",
        "_random",
        "_limits",
        "_grantor_accounts",
        "_deputy_accounts",
    )

    def __init__(self, own_id, own_domain, bounds, roles, random_source):
        self._own_id = own_id
        self._own_domain = own_domain
        self._bounds = bounds
        self._roles = roles
        self._random = random_source
        self._limits = {}
        self._grantor_accounts = {}
        self._deputy_accounts = {}

    def set_limits(self, customer_name, version, rate, burst, now):
        """Set a customer's allowance, unless a newer version is known."""
        limits = self._limits.get(customer_name)
        if limits is not None and version <= limits.version:
            return
        self._limits[customer_name] = _Limits(version, rate, burst)
        max_deputies = self._bounds.compute_max_deputies(rate, burst)
        self._roles.set_max_deputies(customer_name, max_deputies, now)
        account = self._grantor_accounts.get(customer_name)
        if account is not None:
            account.source.set_limits(
                *self._compute_bucket_limits(customer_name, now), now
            )

    def remove_customers(self, kept_names, version):
        """Forget the customers that are not in a version of the configuration."""
        for name, limits in list(self._limits.items()):
            if name not in kept_names and limits.version < version:
                del self._limits[name]
                self._grantor_accounts.pop(name, None)
                self._deputy_accounts.pop(name, None)
                self._roles.remove(name)

    def answer(self, ask, now):
        """Return the `Answer` to an `Ask`, of this VM or another one.

        Parameters
        ----------
        ask : Ask
        now : float
            Must be read after the ask, because this VM may have been paused.
        """
        self.set_limits(ask.customer_name, ask.version, ask.rate, ask.burst, now)
        roles = self._roles.get(ask.customer_name, now)
        # Without any VM that can be asked, each grants its own even share.
        is_alone = roles.grantor_id is None and ask.sender_id == self._own_id
        if ask.is_for_deputy:
            if self._own_id not in roles.deputy_ids.values():
                return Answer(ask.number, True, 0, 0.0, DECLINED_HOLD_S)
        elif not is_alone:
            wait_s = self._roles.compute_wait_s(ask.customer_name, now)
            if wait_s > 0:
                return Answer(ask.number, True, 0, 0.0, min(wait_s, DECLINED_HOLD_S))
        if ask.is_for_deputy:
            account = self._get_deputy_account(ask.customer_name, roles, now)
        else:
            account = self._get_grantor_account(ask.customer_name, now)
            if is_alone:
                limits = self._compute_bucket_limits(ask.customer_name, now)
                account.source.set_limits(*limits, now)
        return account.answer(ask, self._random, now)

    def _get_deputy_account(self, name, roles, now):
        limits = self._limits[name]
        excess = self._bounds.compute_excess(limits.rate, limits.burst)
        part = DEPUTIES_PART * excess / len(roles.deputy_ids)
        account = self._deputy_accounts.get(name)
        if account is None:
            source = WindowGrants(part, self._bounds.window_s, now)
            account = self._deputy_accounts[name] = _Account(source, now)
        account.source.part = part
        return account

    def _get_grantor_account(self, name, now):
        """Return the account of a customer that has this VM as grantor.

        A grantor that lost its authority and has it again does not know what others
        granted meanwhile, so that its bucket begins with the first tokens.
        """
        since = self._roles.get_granting_since(name, now)
        account = self._grantor_accounts.get(name)
        if account is None or since > account.since:
            rate, capacity, spares = self._compute_bucket_limits(name, now)
            limits = self._limits[name]
            excess = self._bounds.compute_excess(limits.rate, limits.burst)
            first_tokens = min(FIRST_TOKENS_PART * excess, limits.burst)
            level = first_tokens + rate * max(now - since, 0.0)
            bucket = TokenBucket(rate, capacity, level, spares, now)
            account = _Account(bucket, since)
            self._grantor_accounts[name] = account
        return account

    def _compute_bucket_limits(self, customer_name, now):
        """Return the rate, the capacity and the single spares of a grantor's bucket."""
        limits = self._limits[customer_name]
        excess = self._bounds.compute_excess(limits.rate, limits.burst)
        roles = self._roles.get(customer_name, now)
        share = 1.0 if roles.grantor_id is not None else 1 / self._roles.vm_count
        spares = CAPACITY_PART * excess
        return limits.rate * share, (limits.burst + spares) * share, spares * share
