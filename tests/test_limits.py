"""Tests of the concurrency and connection limits of a target."""

import testtools

from tarragonchute.limits import DEAD, DRAINING, TargetLimiter, compute_connection_limit
from tarragonchute.tables import TargetRow


def _build_row(slots=4, max_connections=100):
    row = TargetRow("t1", "127.0.0.1:1", "d1", slots, max_connections)
    TargetLimiter().restart(row)
    return row


class ConnectionTests(testtools.TestCase):
    """Connections of one holder."""

    def test_four_holders_fit(self):
        """Guards against a refused new holder while paused ones keep connections."""
        for slots in (1, 2, 4, 50):
            for limit in range(4, 120):
                count = compute_connection_limit(slots, limit)
                self.assertTrue(1 <= count <= limit // 4, (slots, limit))

    def test_at_least_one(self):
        """Guards against a target that can never be served."""
        self.assertEqual([1, 1, 1], [compute_connection_limit(2, n) for n in (1, 2, 3)])


class LimiterTests(testtools.TestCase):
    """Concurrency limit of one target."""

    def setUp(self):
        super().setUp()
        self.limiter = TargetLimiter()

    def _answer(self, row, count):
        for _ in range(count):
            self.limiter.record_good_answer(row)

    def test_slow_start_doubles_after_eight_good_answers(self):
        """Guards against full load on a cold target."""
        row = _build_row(slots=4)
        limits = []
        for _ in range(4):
            limits.append(row.limit)
            self._answer(row, 7)
            limits.append(row.limit)
            self._answer(row, 1)
        self.assertEqual([1, 1, 2, 2, 4, 4, 4, 4], limits)

    def test_bad_answer_resets_the_count(self):
        """Guards against counting good answers that are not consecutive."""
        row = _build_row()
        self._answer(row, 7)
        self.limiter.record_bad_answer(row)
        self._answer(row, 7)
        self.assertEqual(1, row.limit)

    def test_limit_never_exceeds_slots_or_connections(self):
        """Guards against requests that wait for a connection or a slot."""
        for slots, connections in ((4, 100), (4, 8), (2, 1), (3, 25)):
            row = _build_row(slots, connections)
            for _ in range(100):
                self._answer(row, 1)
                bound = min(slots, compute_connection_limit(slots, connections))
                self.assertLessEqual(row.limit, bound)
            self.assertEqual(bound, row.limit)

    def test_shed_answers_halve_and_good_answers_restore(self):
        """Guards against an unchanged load on a target that sheds requests."""
        row = _build_row(slots=4)
        self._answer(row, 16)
        row.sequence = 4
        limits = [row.limit]
        for sequence in (1, 2, 3, 4):
            self.limiter.record_shed(row, sequence)
            limits.append(row.limit)
        row.sequence = 5
        self.limiter.record_shed(row, 5)
        limits.append(row.limit)
        self.limiter.record_shed(row, 6)
        limits.append(row.limit)
        self._answer(row, 1)
        limits.append(row.limit)
        self._answer(row, 40)
        limits.append(row.limit)
        self.assertEqual([4, 2, 2, 2, 2, 1, 1, 2, 4], limits)

    def test_draining_and_dead_targets_get_nothing(self):
        """Guards against new requests to a target that is draining or dead."""
        for state in (DRAINING, DEAD):
            row = _build_row()
            row.state = state
            self.limiter.update(row)
            self.assertFalse(self.limiter.try_acquire(row))
            self.assertEqual(0, row.in_flight)
