"""Token buckets that bound the extra load of hedges and retries."""

HEDGE_SHARE = 0.05
"""Hedges for each first attempt."""

RETRY_SHARE = 0.10
"""Retries for each first attempt."""

FLOOR_PER_S = 1.0
"""Tokens earned for each second without regard to load.

A deployment with 20 shards and a query every few seconds would otherwise earn one
hedge in many queries, and a single straggler would decide most of its answers.
"""

CAPACITY = 100.0
"""Most tokens kept; bounds a burst after a quiet time to about one query's shards."""

INITIAL_TOKENS = 5.0


class TokenBucket:
    """Tokens earned by first attempts and by time.

    Parameters
    ----------
    share : float
        Tokens earned for each first attempt.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_share", "_tokens", "_at")

    def __init__(self, share, now=0.0):
        self._share = share
        self._tokens = INITIAL_TOKENS
        self._at = now

    def earn(self, attempts):
        """Add the tokens of a number of first attempts."""
        self._tokens = min(CAPACITY, self._tokens + attempts * self._share)

    def try_spend(self, now):
        """Take one token if there is one.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        earned = max(0.0, now - self._at) * FLOOR_PER_S
        self._at = max(now, self._at)
        self._tokens = min(CAPACITY, self._tokens + earned)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Budget:
    """The hedges and retries of one dataset.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = ("hedges", "retries")

    def __init__(self, now=0.0):
        self.hedges = TokenBucket(HEDGE_SHARE, now)
        self.retries = TokenBucket(RETRY_SHARE, now)

    def earn(self, attempts):
        """Credit both buckets with a number of first attempts."""
        self.hedges.earn(attempts)
        self.retries.earn(attempts)


class Budgets:
    """The budget of each dataset, made on first use."""

    __slots__ = ("_budgets",)

    def __init__(self):
        self._budgets = {}

    def find(self, dataset, now):
        """Return the `Budget` of a dataset."""
        budget = self._budgets.get(dataset)
        if budget is None:
            budget = self._budgets[dataset] = Budget(now)
        return budget


class WindowLimits:
    """How much extra load a sliding window allows.

    Parameters
    ----------
    share : float
        Extra requests for each first request.
    slack : float
        Extra requests beyond the share that this VM may use in one window.
    window_s : float
        Length in seconds.
    """

    __slots__ = ("share", "slack", "window_s")

    def __init__(self, share, slack, window_s):
        self.share = share
        self.slack = slack
        self.window_s = window_s


class WindowBudget:
    """Extra requests of one service within a sliding window.

    Each VM stays within the share of its own first requests and its part of the
    slack, so the sum over all VMs stays within the bound without any exchange
    between them.

    Parameters
    ----------
    limits : WindowLimits
        Shared by all services; a change takes effect at once.
    """

    __slots__ = ("_limits", "_slot", "_firsts", "_extras")

    def __init__(self, limits):
        self._limits = limits
        self._slot = 0
        self._firsts = [0] * _WINDOW_SLOTS
        self._extras = [0] * _WINDOW_SLOTS

    def note_first(self, now):
        """Count a first request."""
        self._advance(now)
        self._firsts[self._slot % _WINDOW_SLOTS] += 1

    def try_spend(self, now):
        """Count an extra request if it is within the bound.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._advance(now)
        allowed = self._limits.share * sum(self._firsts) + self._limits.slack
        if sum(self._extras) + 1 > allowed:
            return False
        self._extras[self._slot % _WINDOW_SLOTS] += 1
        return True

    def _advance(self, now):
        slot = int(now / self._limits.window_s * (_WINDOW_SLOTS - 1))
        if slot <= self._slot:
            return
        for passed in range(self._slot + 1, min(slot, self._slot + _WINDOW_SLOTS) + 1):
            self._firsts[passed % _WINDOW_SLOTS] = 0
            self._extras[passed % _WINDOW_SLOTS] = 0
        self._slot = slot


_WINDOW_SLOTS = 11
"""Ten parts of a window, and the part that is being filled. The sum always covers at
least one whole window, for extras and for first requests alike."""
