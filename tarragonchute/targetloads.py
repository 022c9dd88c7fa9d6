"""What a target can take from this VM: attempts in flight, and time per attempt."""

import math

BOUND_FACTOR = 2.0
"""Attempts in flight per slot of a target: one that runs and one that waits, so that
the target does not idle for a round trip between two attempts."""

WORK_WEIGHT = 0.2
"""Weight of the newest reply in the moving average of a target's work per attempt. Slow
phases of targets last some seconds, that is dozens of replies under pressure."""

WORK_HALF_LIFE_S = 2.0
"""Time without a reply after which the excess of the work per attempt over the usual
one counts half. Without replies it is not known whether a slow phase lasts."""

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

    __slots__ = (
        "slots",
        "is_assigned",
        "_work_s",
        "_replied_at",
        "_reduction",
        "_updated_at",
    )

    def __init__(self, slots=1, is_assigned=False):
        self.slots = slots
        self.is_assigned = is_assigned
        self._work_s = None
        self._replied_at = 0.0
        # Attempts by which the bound is reduced, as of `_updated_at`.
        self._reduction = 0.0
        self._updated_at = 0.0

    def compute_bound(self, now):
        """Return the number of attempts that may be in flight at the target."""
        # The small term is for sums of fractions such as a third.
        bound = int(self._get_ceiling() - self._get_reduction(now) + 1e-9)
        # The number of slots may have changed since the reduction.
        return max(bound, self._get_least())

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
        self._replied_at = now
        if usual_s > 0 and work_s > SLOW_REPLY_FACTOR * usual_s:
            self._reduce(SLOW_REPLY_BOUND_FACTOR, now)
        elif self._reduction:
            gain = USUAL_REPLY_GAIN / max(self.compute_bound(now), 1)
            self._set_reduction(self._get_reduction(now) - gain, now)

    def record_refusal(self, now):
        """Learn that the target has refused a request."""
        self._reduce(REFUSAL_FACTOR, now)

    def estimate_answer_s(self, ahead, usual_s, now, connections=math.inf):
        """Return the time until a new attempt is answered.

        Parameters
        ----------
        ahead : int
            Attempts that are in flight or go first.
        usual_s : float
            Assumed work if the target has not replied yet, or not for long.
        now : float
        connections : float
            Number of connections that this VM may open to the target.
        """
        work_s = self._estimate_work_s(usual_s, now)
        return max(1.0, (ahead + 1) / min(self.slots, connections)) * work_s

    def _estimate_work_s(self, usual_s, now):
        if self._work_s is None:
            return usual_s
        excess_s = max(self._work_s - usual_s, 0.0)
        left = 0.5 ** (max(now - self._replied_at, 0.0) / WORK_HALF_LIFE_S)
        return self._work_s - excess_s * (1.0 - left)

    def _get_ceiling(self):
        return max(int(self.slots * BOUND_FACTOR), 1)

    def _get_least(self):
        return max(self.slots, 1) if self.is_assigned else 1

    def _get_reduction(self, now):
        recovered = (now - self._updated_at) / RECOVERY_S_PER_ATTEMPT
        return max(self._reduction - recovered, 0.0)

    def _reduce(self, factor, now):
        ceiling = self._get_ceiling()
        bound = ceiling - self._get_reduction(now)
        self._set_reduction(ceiling - factor * bound, now)

    def _set_reduction(self, reduction, now):
        largest = self._get_ceiling() - self._get_least()
        self._reduction = min(max(reduction, 0.0), largest)
        self._updated_at = now
