"""Limits of each target: slots, slow start, shed answers and connections.

All functions work on a `tables.TargetRow`. Only the target's holder has such a row,
so its limits hold for the whole fleet.
"""

COLD = "cold"
WARM = "warm"
DRAINING = "draining"
DEAD = "dead"

COLD_LIMIT = 1  # requests in flight that any cold target can bear
GOOD_ANSWERS_TO_DOUBLE = 8  # answers in a row
MAX_SUCCESSIVE_HOLDERS = 4  # holders in succession whose connections must fit
CONTROL_CONNECTIONS = 1  # for cancels and status reads while all slots are busy
SHED_FACTOR = 0.5  # multiplicative decrease
SHED_INCREASE = 1.0  # requests in flight gained for each full round of good answers

SAFE_IDLE_S = 0.05
"""Idle time within which a target cannot have restarted unnoticed.

A restart ends its idle connections, but nobody reads them until the next request, so
several requests at once would be the first work of a cold target. The time must be
shorter than the fastest restart; with 0.1 s and restarts of 0.1 s one was missed.
"""


def count_connections(slots, max_connections):
    """Return how many connections one holder may open.

    At most a quarter of the target's limit: a paused holder keeps its connections
    open, and so those of four successive holders fit. At most one for each slot
    and one for control, because more would never be used. At least one, because
    the target could not be served otherwise. A quarter below the number of slots
    is not rounded up; the concurrency limit is lowered to it instead, so that no
    dispatched request waits for a connection while its deadline runs.
    """
    share = max_connections // MAX_SUCCESSIVE_HOLDERS
    return max(1, min(share, slots + CONTROL_CONNECTIONS))


class TargetLimiter:
    """Keeps the concurrency limit of each target.

    The limit is the least of the slots, the connections, the slow-start limit and
    the limit that shed answers set. It is 0 for a draining or dead target, and the
    cold limit while a target that was idle has not answered.
    """

    __slots__ = ()

    def restart(self, row):
        """Fall back to the cold limit and start slow start again."""
        row.slow_start_limit = COLD_LIMIT
        row.good_answers = 0
        self.update(row)

    def update(self, row):
        """Recompute the limit after a change of the row."""
        row.connection_limit = count_connections(row.slots, row.max_connections)
        if row.pending is not None or row.state in (DRAINING, DEAD):
            row.limit = 0
            return
        row.shed_limit = min(row.shed_limit, float(row.slots))
        row.limit = min(
            row.slots,
            row.connection_limit,
            row.slow_start_limit,
            int(row.shed_limit),
            COLD_LIMIT if row.is_unproven else row.slots,
        )

    def has_room(self, row):
        """Whether one more request may be in flight."""
        return row.in_flight < row.limit

    def try_acquire(self, row):
        """Count one more request in flight, or return False at the limit."""
        if row.in_flight >= row.limit:
            return False
        row.in_flight += 1
        row.sequence += 1
        return True

    def record_start(self, row, now):
        """Let the first request after an idle time go alone until it is answered."""
        if row.in_flight == 1 and now - row.idle_since > SAFE_IDLE_S:
            row.is_unproven = True
            self.update(row)

    def record_response(self, row):
        """End that restriction: an answer has told the state of the target."""
        if row.is_unproven:
            row.is_unproven = False
            self.update(row)

    def release(self, row):
        """Count one request less; it must surely be over at the target."""
        row.in_flight -= 1

    def record_good_answer(self, row):
        """Let slow start and the shed limit grow.

        Returns
        -------
        bool
            Whether slow start has reached the full limit.
        """
        if row.shed_limit < row.slots:
            row.shed_limit += SHED_INCREASE / max(1, row.limit)
        row.good_answers += 1
        if row.good_answers >= GOOD_ANSWERS_TO_DOUBLE:
            row.good_answers = 0
            if row.slow_start_limit < row.slots:
                row.slow_start_limit = min(row.slots, row.slow_start_limit * 2)
                self.update(row)
            if row.slow_start_limit >= row.slots:
                return True
        if row.shed_limit >= row.limit + 1:
            self.update(row)
        return False

    def record_bad_answer(self, row):
        """Break the run of good answers."""
        row.good_answers = 0

    def record_shed(self, row, sequence):
        """Lower the limit after a shed answer.

        Parameters
        ----------
        row : TargetRow
        sequence : int
            Number of the dispatch that was shed. Those sent before the last
            decrease do not count, so that one overload halves the limit once.
        """
        row.good_answers = 0
        if sequence <= row.lowered_sequence:
            return
        row.lowered_sequence = row.sequence
        row.shed_limit = max(1.0, min(row.shed_limit, row.limit) * SHED_FACTOR)
        self.update(row)
