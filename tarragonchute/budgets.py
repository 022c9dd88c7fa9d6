"""Budgets that limit the extra load caused by hedges and retries."""

HEDGE_RATIO = 0.05
"""Hedge tokens earned per first attempt."""

RETRY_RATIO = 0.10
"""Retry tokens earned per first attempt."""

BASE_TOKENS_PER_S = 1.0
"""Tokens earned per second, independent of load.

Without them, a deployment with 20 shards and a query every few seconds would earn a
hedge only once in many queries, and a single slow target would delay most responses.
"""

MAX_TOKENS = 100.0
"""Maximum tokens in a bucket; limits a burst after an idle period to about one attempt
for each shard of a query."""

INITIAL_TOKENS = 5.0


class TokenBucket:
    """A token bucket that is filled by first attempts and by the passage of time.

    Parameters
    ----------
    ratio : float
        Tokens earned per first attempt.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_ratio", "_tokens", "_refilled_at")

    def __init__(self, ratio, now=0.0):
        self._ratio = ratio
        self._tokens = INITIAL_TOKENS
        self._refilled_at = now

    def earn(self, attempts):
        """Add the tokens earned by `attempts` first attempts."""
        self._tokens = min(MAX_TOKENS, self._tokens + attempts * self._ratio)

    def try_spend(self, now):
        """Spend one token; return False if there is none.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        earned = max(0.0, now - self._refilled_at) * BASE_TOKENS_PER_S
        self._refilled_at = max(now, self._refilled_at)
        self._tokens = min(MAX_TOKENS, self._tokens + earned)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Budget:
    """Token buckets for the hedges and the retries of one dataset.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = ("hedges", "retries")

    def __init__(self, now=0.0):
        self.hedges = TokenBucket(HEDGE_RATIO, now)
        self.retries = TokenBucket(RETRY_RATIO, now)

    def earn(self, attempts):
        """Add the tokens earned by `attempts` first attempts to both buckets."""
        self.hedges.earn(attempts)
        self.retries.earn(attempts)


class Budgets:
    """The budgets of all datasets, each created on first use."""

    __slots__ = ("_budgets",)

    def __init__(self):
        self._budgets = {}

    def find(self, dataset, now):
        """Return the `Budget` of a dataset, creating it if necessary."""
        budget = self._budgets.get(dataset)
        if budget is None:
            budget = self._budgets[dataset] = Budget(now)
        return budget


class WindowLimits:
    """Limits on the retries and hedges of a service within a sliding window.

    Parameters
    ----------
    ratio : float
        Retries and hedges allowed per first attempt.
    slack : float
        Retries and hedges allowed to this VM in each window in addition.
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = ("ratio", "slack", "window_s")

    def __init__(self, ratio, slack, window_s):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s


class WindowBudget:
    """Limits the retries and hedges of one service within a sliding window.

    Each VM is limited to `ratio` times its own first attempts plus its share of the
    slack, so the total over all VMs stays within the limit without coordination.

    Parameters
    ----------
    limits : WindowLimits
        May be shared by the budgets of many services; changes take effect immediately.
    """

    __slots__ = ("limits", "_slot", "_first_attempts", "_extra_attempts")

    def __init__(self, limits):
        self.limits = limits
        self._slot = 0
        self._first_attempts = [0] * _WINDOW_SLOTS
        self._extra_attempts = [0] * _WINDOW_SLOTS

    def record_first_attempt(self, now):
        """Count a first attempt."""
        self._advance_window(now)
        self._first_attempts[self._slot % _WINDOW_SLOTS] += 1

    def try_spend(self, now):
        """Count a retry or hedge if the limits allow it; return whether they do.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self._advance_window(now)
        allowed = self.limits.ratio * sum(self._first_attempts) + self.limits.slack
        if sum(self._extra_attempts) + 1 > allowed:
            return False
        self._extra_attempts[self._slot % _WINDOW_SLOTS] += 1
        return True

    def _advance_window(self, now):
        slot = int(now / self.limits.window_s * (_WINDOW_SLOTS - 1))
        if slot <= self._slot:
            return
        for expired in range(self._slot + 1, min(slot, self._slot + _WINDOW_SLOTS) + 1):
            self._first_attempts[expired % _WINDOW_SLOTS] = 0
            self._extra_attempts[expired % _WINDOW_SLOTS] = 0
        self._slot = slot


_WINDOW_SLOTS = 11
"""Ten slots make up one window; the eleventh is the slot currently being filled. The
sums therefore always cover at least one whole window."""
