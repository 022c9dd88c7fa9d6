"""Choice of the target for a request, based on this VM's own observations.

The slowness of a target is a moving average of its reply times, each divided by the
average reply time of the route. A slowness of 1 is average.
"""

import math
import random

from .backoff import compute_backoff_s

SLOWNESS_WEIGHT = 0.3
"""Weight of the newest observation in the moving average of the slowness."""

MAX_SLOWNESS = 8.0
"""Upper limit of one observation, so that one lost reply does not exclude a target."""

LATE_REPLY_SLOWNESS = 2.0
"""Observation above which a reply counts as late."""

MAX_FIRST_LATE_SLOWNESS = 3.0
"""Upper limit of a late observation if the previous one was not late. Targets
occasionally pause for a short time. Avoiding each of them for seconds would send most
requests to other domains; with this limit a target in this VM's domain is avoided for
half a second."""

SLOWNESS_DECAY_S = 3.0
"""Time constant of the exponential decay of an unused target's slowness towards 1.
Pauses and slow phases of targets last some seconds."""

LOAD_WEIGHT = 0.5
"""Relative increase of a score per request that this VM has in flight to the target;
targets have few slots."""

REMOTE_DOMAIN_FACTOR = 1.5
"""Factor on the score of a target in another failure domain. A target in this VM's
domain is preferred if both are about equally fast, because traffic between domains is
charged. Reply times vary by a third from one request to the next."""

JITTER = 0.2
"""Maximum random increase of a score, as a fraction of it, so that VMs do not all
choose the same target."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in the moving average of a target's failure share."""

FAILURE_FACTOR = 5.0
"""Relative increase of a score per unit of failure share above the tolerated one. A
target that fails only some requests is avoided only by this, because each success ends
its time as a suspect."""

TOLERATED_FAILURE_SHARE = 0.1
"""Failure share up to which a score does not increase. A single failure affects the
score for three seconds, so that one lost reply does not send the traffic of many
seconds to other domains."""

FAILURE_DECAY_S = 5.0
"""Time constant of the exponential decay of the failure share; faults of targets last
some seconds."""

SUSPECT_BASE_S = 0.25
SUSPECT_MAX_S = 2.0
"""A target is avoided for `SUSPECT_BASE_S` after its first failure. The time doubles
with each further failure in a row, up to `SUSPECT_MAX_S`."""

SUSPECT_PENALTY = 1000.0
COLD_PENALTY = 100.0
RETURNING_PENALTY = 75.0
NOT_PREFERRED_PENALTY = 50.0
"""Added to the score of a suspect, cold or not preferred target, and of one that
returns from a pause. Targets without a penalty are chosen first, then not preferred,
returning, cold and suspect ones, in this order."""


class ReplicaChooser:
    """Chooses the target of each request by a score; the lowest score wins.

    Parameters
    ----------
    domain : str
        Failure domain of this VM.
    try_reserve_cold_request : callable
        Called with a cold target and the time; returns whether a request may be sent to
        it now, and counts that request. Called only for a target that is then chosen if
        the result is true.
    random_source : random.Random or None
        Source of the jitter; None for a new one.
    """

    __slots__ = ("_domain", "_try_reserve_cold_request", "_random")

    def __init__(self, domain, try_reserve_cold_request, random_source=None):
        self._domain = domain
        self._try_reserve_cold_request = try_reserve_cold_request
        self._random = random_source or random.Random()

    def choose(self, targets, now, mean_reply_time_s, excluded=()):
        """Return the target with the lowest score, or None if no target may be used.

        Parameters
        ----------
        targets : list of RegisteredTarget
        now : float
            Monotonic seconds.
        mean_reply_time_s : float
            Average reply time of the route.
        excluded : collection of RegisteredTarget
            Targets to exclude.
        """
        scored = [
            (self._score(target, now, mean_reply_time_s), index)
            for index, target in enumerate(targets)
            if target not in excluded and target.resumes_at <= now
        ]
        scored.sort()
        for _, index in scored:
            target = targets[index]
            if target.cold_until <= now or self._try_reserve_cold_request(target, now):
                return target
        return None

    def add_jitter(self, value, fraction):
        """Return the value increased at random by up to a fraction of it."""
        return value * (1 + fraction * self._random.random())

    def estimate_reply_s(self, targets, now, mean_reply_time_s):
        """Return the expected reply time of the quickest target of a service.

        Returns
        -------
        float
            Seconds; infinity if all targets are suspect or cold.
        """
        return min(
            (
                self._estimate_slowness_under_load(target, now, mean_reply_time_s)
                * mean_reply_time_s
                for target in targets
                if not _is_suspect(target, now)
                and now >= target.cold_until
                and now >= target.resumes_at
            ),
            default=math.inf,
        )

    def record_exchange_end(self, target, exchange, now):
        """Update the statistics of a target from an exchange that ended in any way."""
        if exchange.sent_at is None or exchange.mean_reply_time_s <= 0:
            return
        if target.is_withdrawn(now):
            # The refusal with which it asked for a pause is quicker than a reply.
            return
        if exchange.is_aborted:
            record_failure(target, now)
        elapsed_s = now - exchange.sent_at
        slowness_sample = elapsed_s / exchange.mean_reply_time_s
        is_late = slowness_sample > LATE_REPLY_SLOWNESS
        if is_late:
            slowness_sample = min(
                slowness_sample,
                MAX_SLOWNESS if target.was_late else MAX_FIRST_LATE_SLOWNESS,
            )
        target.was_late = is_late
        current = estimate_slowness(target, now)
        target.slowness = current + SLOWNESS_WEIGHT * (slowness_sample - current)
        target.slowness_updated_at = now

    def _score(self, target, now, mean_reply_time_s):
        score = self._estimate_slowness_under_load(target, now, mean_reply_time_s)
        if target.registration.domain != self._domain:
            score *= REMOTE_DOMAIN_FACTOR
        if target.failure_share > TOLERATED_FAILURE_SHARE:
            share = _estimate_failure_share(target, now)
            score *= 1 + FAILURE_FACTOR * max(share - TOLERATED_FAILURE_SHARE, 0.0)
        score = self.add_jitter(score, JITTER)
        if _is_suspect(target, now):
            score += SUSPECT_PENALTY
        if now < target.cold_until:
            score += COLD_PENALTY
        if now < target.fully_used_at and not self._draw_return(target, now):
            score += RETURNING_PENALTY
        if not target.is_preferred:
            score += NOT_PREFERRED_PENALTY
        return score

    def _draw_return(self, target, now):
        """Draw whether a target that returns from a pause takes part in a choice."""
        ramp_s = target.fully_used_at - target.resumes_at
        return self._random.random() < (now - target.resumes_at) / ramp_s

    def _estimate_slowness_under_load(self, target, now, mean_reply_time_s):
        pool = target.pool
        slowness = estimate_slowness(target, now)
        oldest_age_s = pool.oldest_exchange_age(now)
        if oldest_age_s > 2 * mean_reply_time_s:
            slowness = max(slowness, oldest_age_s / mean_reply_time_s)
        return slowness * (1 + LOAD_WEIGHT * len(pool.in_flight))


def _is_suspect(target, now):
    return now < target.suspect_until or target.pool.has_connect_failed


def estimate_slowness(target, now):
    """Return the slowness of a target, decayed towards 1 since its last observation."""
    age = now - target.slowness_updated_at
    return 1.0 + (target.slowness - 1.0) * math.exp(-age / SLOWNESS_DECAY_S)


def record_success(target, now):
    """Record a good reply: the target is no longer suspect."""
    target.failures = 0
    target.suspect_until = -math.inf
    _update_failure_share(target, 0.0, now)


def record_refusal(target, now):
    """Record a refusal: the target is suspect for an exponentially growing time."""
    delay_s = compute_backoff_s(target.failures, SUSPECT_BASE_S, SUSPECT_MAX_S)
    target.failures += 1
    target.suspect_until = now + delay_s


def record_failure(target, now):
    """Record a failure: the target is suspect, and its failure share grows.

    The failure share lowers its preference also after it is no longer suspect.
    """
    record_refusal(target, now)
    _update_failure_share(target, 1.0, now)
    # A fast error reply must not make the target look faster than usual.
    target.slowness = max(target.slowness, 1.0)


def _update_failure_share(target, outcome, now):
    share = _estimate_failure_share(target, now)
    share += FAILURE_WEIGHT * (outcome - share)
    target.failure_share = share
    target.failure_share_updated_at = now


def _estimate_failure_share(target, now):
    return target.failure_share * math.exp(
        (target.failure_share_updated_at - now) / FAILURE_DECAY_S
    )


class ReplyTimes:
    """Moving averages of the reply times of one route and of their deviation.

    Parameters
    ----------
    goal_s : float
        Goal of the route; the initial estimates are fractions of it.
    weight : float
        Weight of the newest reply.

    Attributes
    ----------
    mean_s : float
        Average reply time.
    deviation_s : float
        Mean absolute deviation from `mean_s`.
    """

    __slots__ = ("mean_s", "deviation_s", "_weight", "_goal_s")

    def __init__(self, goal_s, weight):
        self.mean_s = goal_s * 0.2
        self.deviation_s = goal_s * 0.05
        self._weight = weight
        self._goal_s = goal_s

    def record(self, elapsed_s):
        """Update the averages with the time of one reply; outliers are clipped."""
        clipped_s = min(elapsed_s, 4 * self.mean_s + 0.001)
        difference_s = clipped_s - self.mean_s
        self.mean_s += self._weight * difference_s
        self.deviation_s += self._weight * (abs(difference_s) - self.deviation_s)

    def compute_hedge_delay_s(self):
        """Return the time after which a hedge is sent for an open request."""
        late_s = self.mean_s + HEDGE_DEVIATIONS * self.deviation_s
        return min(
            max(late_s, 0.08 * self._goal_s), MAX_HEDGE_GOAL_FRACTION * self._goal_s
        )


HEDGE_DEVIATIONS = 4.0
"""Number of mean deviations above the mean at which a hedge is sent. About 3% of the
replies of a skewed distribution take longer."""

MAX_HEDGE_GOAL_FRACTION = 0.4
"""Share of the goal after which a hedge is sent at the latest, because the second
target also needs time to answer."""
