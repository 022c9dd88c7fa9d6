"""Choice among the targets of a service, from what this VM has observed of each."""

import math
import random

from .backoff import compute_backoff_s

SLOWNESS_WEIGHT = 0.3
"""Weight of the newest observation in a target's average slowness."""

MAX_SLOWNESS = 8.0
"""Bound on one observation, so that one lost reply does not exclude a target."""

LATE_SLOWNESS = 2.0
"""Observation from which a reply was late."""

FIRST_LATE_SLOWNESS = 3.0
"""Bound on the first late observation in a row. Targets pause for a moment now and
then; staying away for seconds from each that did sends most requests to other domains.
A target in this VM's domain is left for half a second."""

FORGET_S = 3.0
"""Time constant with which an unused target's slowness returns to the usual. Pauses
and slow spells of targets last some seconds."""

LOAD_WEIGHT = 0.5
"""Slowness that each request in flight from this VM adds; a target has few slots."""

REMOTE_DOMAIN_FACTOR = 1.5
"""Preference for targets in this VM's failure domain, where the two are about as
quick. Traffic between domains is paid for, and reply times vary by a third from one
request to the next."""

JITTER = 0.2
"""Random part of a score, so that VMs do not all choose the same target."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest outcome in a target's share of failures."""

FAILURE_FACTOR = 5.0
"""Growth of a score with the share of failures. A target that fails some of its
requests is not suspect for long, as the others succeed."""

TOLERATED_FAILURE_SHARE = 0.1
"""Share of failures that does not matter; a single failure counts for three seconds,
so that a lost reply does not send the traffic of seconds to other domains."""

FAILURE_FORGET_S = 5.0
"""Time constant with which the share of failures falls; targets fail for seconds."""

SUSPECT_BASE_S = 0.25
SUSPECT_MAX_S = 2.0
"""First and longest time for which a target that failed is avoided; it doubles."""


SUSPECT_PENALTY = 1000.0
COLD_PENALTY = 100.0
OTHERS_PENALTY = 50.0
"""Added to a score, so that such a target is chosen after all others, in this order."""


class ReplicaChooser:
    """Chooses targets and learns from the exchanges with them.

    Parameters
    ----------
    domain : str
        Failure domain of this VM.
    allow_cold : callable
        Takes a target and the time; whether a cold target may take a request now.
        It is asked only for the target that would be chosen.
    random_source : random.Random or None
    """

    __slots__ = ("_domain", "_allow_cold", "_random")

    def __init__(self, domain, allow_cold, random_source=None):
        self._domain = domain
        self._allow_cold = allow_cold
        self._random = random_source or random.Random()

    def choose(self, targets, now, usual_s, tried=()):
        """Return the best target that was not tried, or None.

        Parameters
        ----------
        targets : list of RegisteredTarget
        now : float
            Monotonic seconds.
        usual_s : float
            Usual reply time of such requests.
        tried : collection of RegisteredTarget
        """
        scored = [
            (self._score(target, now, usual_s), index)
            for index, target in enumerate(targets)
            if target not in tried
        ]
        scored.sort()
        for _, index in scored:
            target = targets[index]
            if target.cold_until <= now or self._allow_cold(target, now):
                return target
        return None

    def observe(self, target, exchange, now):
        """Learn from an exchange that ended in any way."""
        if exchange.sent_at is None or exchange.usual_s <= 0:
            return
        if exchange.is_cut:
            note_failure(target, now)
        elapsed = now - exchange.sent_at
        sample = elapsed / exchange.usual_s
        is_late = sample > LATE_SLOWNESS
        if is_late:
            sample = min(
                sample, MAX_SLOWNESS if target.was_late else FIRST_LATE_SLOWNESS
            )
        target.was_late = is_late
        current = estimate_slowness(target, now)
        target.slowness = current + SLOWNESS_WEIGHT * (sample - current)
        target.observed_at = now

    def _score(self, target, now, usual_s):
        link = target.link
        slowness = estimate_slowness(target, now)
        wait_s = link.oldest_wait(now)
        if wait_s > 2 * usual_s:
            slowness = max(slowness, wait_s / usual_s)
        score = slowness * (1 + LOAD_WEIGHT * len(link.in_flight))
        if target.registration.domain != self._domain:
            score *= REMOTE_DOMAIN_FACTOR
        if target.failure_share > TOLERATED_FAILURE_SHARE:
            share = _estimate_failure_share(target, now)
            score *= 1 + FAILURE_FACTOR * max(share - TOLERATED_FAILURE_SHARE, 0.0)
        score *= 1 + JITTER * self._random.random()
        if now < target.suspect_until or link.is_broken:
            score += SUSPECT_PENALTY
        if now < target.cold_until:
            score += COLD_PENALTY
        if not target.is_preferred:
            score += OTHERS_PENALTY
        return score


def estimate_slowness(target, now):
    """Return a target's slowness; 1 is usual. Old observations count less."""
    age = now - target.observed_at
    return 1.0 + (target.slowness - 1.0) * math.exp(-age / FORGET_S)


def note_success(target, now):
    """Clear the suspicion against a target that gave a good reply."""
    target.failures = 0
    target.suspect_until = -math.inf
    _blend_failure_share(target, 0.0, now)


def note_refusal(target, now):
    """Suspect a target for a time that doubles with each failure in a row."""
    delay_s = compute_backoff_s(target.failures, SUSPECT_BASE_S, SUSPECT_MAX_S)
    target.failures += 1
    target.suspect_until = now + delay_s


def note_failure(target, now):
    """Suspect a target, and prefer others also when the suspicion has ended."""
    note_refusal(target, now)
    _blend_failure_share(target, 1.0, now)
    # A target that fails at once is not a quick one.
    target.slowness = max(target.slowness, 1.0)


def _blend_failure_share(target, outcome, now):
    share = _estimate_failure_share(target, now)
    share += FAILURE_WEIGHT * (outcome - share)
    target.failure_share = share
    target.judged_at = now


def _estimate_failure_share(target, now):
    return target.failure_share * math.exp((target.judged_at - now) / FAILURE_FORGET_S)


class ReplyTimes:
    """Usual reply time of one route and its spread, as moving averages.

    Parameters
    ----------
    goal_s : float
        Goal of the route; the first estimates are parts of it.
    weight : float
        Weight of the newest reply.
    """

    __slots__ = ("mean_s", "deviation_s", "_weight", "_goal_s")

    def __init__(self, goal_s, weight):
        self.mean_s = goal_s * 0.2
        self.deviation_s = goal_s * 0.05
        self._weight = weight
        self._goal_s = goal_s

    def note(self, elapsed_s):
        """Take the time of one reply; stragglers are clipped."""
        clipped = min(elapsed_s, 4 * self.mean_s + 0.001)
        difference = clipped - self.mean_s
        self.mean_s += self._weight * difference
        self.deviation_s += self._weight * (abs(difference) - self.deviation_s)

    def hedge_after_s(self):
        """Return the time after which a reply counts as late."""
        late_s = self.mean_s + HEDGE_DEVIATIONS * self.deviation_s
        return min(max(late_s, 0.08 * self._goal_s), HEDGE_GOAL_SHARE * self._goal_s)


HEDGE_DEVIATIONS = 4.0
"""Mean deviations above the mean; about 3% of the replies of a skewed distribution
take longer."""

HEDGE_GOAL_SHARE = 0.4
"""Part of the goal after which a hedge is sent at the latest: the second target needs
time to answer, too."""
