"""Concurrency limit of each target, from slots, slow start, shedding and connections.

All functions work on a `tables.TargetRow`. Only the target's holder has such a row,
so the limits apply to the whole fleet.
"""

COLD = "cold"
WARM = "warm"
DRAINING = "draining"
DEAD = "dead"

COLD_LIMIT = 1  # requests in flight that any cold target can handle
GOOD_ANSWERS_TO_DOUBLE = 8  # consecutive good answers per doubling in slow start
MAX_SUCCESSIVE_HOLDERS = 4  # a target's connection limit must suffice for all of them
CONTROL_CONNECTIONS = 1  # for cancels and status reads while all slots are busy
SHED_FACTOR = 0.5  # multiplicative decrease of the limit
SHED_INCREASE = 1.0  # additive increase of the limit per `limit` good answers

SAFE_IDLE_S = 0.05
"""Longest idle time during which a target cannot have restarted unnoticed.

A restart closes idle connections, but that goes unnoticed until the next request, so
several concurrent requests could be the first ones of a cold target. The time must be
shorter than the fastest restart: 0.1 s missed a restart that took 0.1 s.
"""


def compute_connection_limit(slots, max_connections):
    """Return how many connections one holder may open to a target.

    This is at most a quarter of the target's limit: a paused holder keeps its
    connections open, so the connections of four successive holders must fit. It is
    at most one per slot and one for control, because more would never be used. It is
    at least one, because the target could not be served otherwise. If a quarter is
    less than the number of slots, the concurrency limit is lowered to it, so that no
    dispatched request has to wait for a connection until its deadline.
    """
    connections_per_holder = max_connections // MAX_SUCCESSIVE_HOLDERS
    return max(1, min(connections_per_holder, slots + CONTROL_CONNECTIONS))


class TargetLimiter:
    """Updates the concurrency limit of each target.

    The limit is the minimum of the slots, the connections, the slow-start limit and
    the limit that shed answers lower. It is 0 for a draining or dead target, and at
    most the cold limit until a target that was idle has answered.
    """

    __slots__ = ()

    def restart(self, row):
        """Restart slow start at the cold limit."""
        row.slow_start_limit = COLD_LIMIT
        row.good_answers = 0
        self.update(row)

    def update(self, row):
        """Recompute the limit after a change of the row."""
        row.connection_limit = compute_connection_limit(row.slots, row.max_connections)
        if row.pending_settings is not None or row.state in (DRAINING, DEAD):
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
        """Allow only one request after an idle period until it is answered."""
        if row.in_flight == 1 and now - row.idle_since > SAFE_IDLE_S:
            row.is_unproven = True
            self.update(row)

    def record_response(self, row):
        """End the limit of `record_start`: an answer has shown the target's state."""
        if row.is_unproven:
            row.is_unproven = False
            self.update(row)

    def release(self, row):
        """Count one request less; the target must have finished or stopped it."""
        row.in_flight -= 1

    def record_good_answer(self, row):
        """Increase the slow-start and shed limits after a good answer.

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
        """Reset the count of consecutive good answers."""
        row.good_answers = 0

    def record_shed(self, row, sequence):
        """Lower the limit after a shed answer.

        Parameters
        ----------
        row : TargetRow
        sequence : int
            Number of the dispatch that was shed. Dispatches from before the last
            decrease are ignored, so that one overload halves the limit only once.
        """
        row.good_answers = 0
        if sequence <= row.lowered_sequence:
            return
        row.lowered_sequence = row.sequence
        row.shed_limit = max(1.0, min(row.shed_limit, row.limit) * SHED_FACTOR)
        self.update(row)
