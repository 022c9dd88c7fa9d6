"""Tests of the classification of targets."""

import random

import testtools

from tarragonchute import health
from tarragonchute.health import TargetHealth
from tarragonchute.limits import COLD, DEAD, DRAINING, WARM
from tarragonchute.tables import TargetRow
from tarragonchute.targets import TargetAnswer

SERVICE_S = 0.01


class HealthTests(testtools.TestCase):
    """State after answers and status reads."""

    def setUp(self):
        super().setUp()
        self.health = TargetHealth(random=random.Random(1))
        self.now = 100.0

    def _build_row(self, state=COLD):
        row = TargetRow("t1", "127.0.0.1:1", "d1", 2, 25)
        self.health.reset(row, self.now, "test")
        if state == WARM:
            self._answer(row, count=24, state=WARM, boot_id="b1")
        elif state == DRAINING:
            self._answer(row, "draining")
        elif state == DEAD:
            self._answer(row, "connect_failed")
        self.assertEqual(state, row.state)
        return row

    def _answer(
        self, row, code="ok", count=1, latency=SERVICE_S, is_alone=True, **more
    ):
        for _ in range(count):
            self.now += latency
            row.sequence += 1
            answer = TargetAnswer(code, **more)
            self.health.handle_answer(
                row, answer, latency, is_alone, row.sequence, self.now
            )

    def test_answers(self):
        """Guards against full load on a target whose answers show another state."""
        same = {"boot_id": "b1"}
        cases = [
            (WARM, "ok", {**same, "state": WARM}, WARM),
            (WARM, "ok", {**same, "state": COLD}, COLD),
            (WARM, "ok", {**same, "state": DRAINING}, DRAINING),
            (WARM, "ok", {"state": WARM, "boot_id": "b2"}, COLD),
            (WARM, "draining", same, DRAINING),
            (WARM, "shedding", {**same, "state": COLD}, COLD),
            (WARM, "version_missing", same, WARM),
            (WARM, "connection_lost", {}, COLD),
            (WARM, "connect_failed", {}, DEAD),
            (WARM, "wrong_answer", {}, WARM),
            (COLD, "draining", {}, DRAINING),
            (DRAINING, "ok", {"state": WARM}, DRAINING),
            (DRAINING, "connect_failed", {}, DEAD),
            (DEAD, "ok", {"state": WARM}, DEAD),
        ]
        for before, code, more, after in cases:
            row = self._build_row(before)
            self._answer(row, code, **more)
            self.assertEqual(after, row.state, (before, code, more))
            expected = {WARM: 2, COLD: 1, DRAINING: 0, DEAD: 0}[after]
            self.assertEqual(expected, row.limit, (before, code, more))

    def test_status_only_lowers(self):
        """Guards against an outdated status that raises the limit."""
        cases = [
            (WARM, WARM, WARM),
            (WARM, COLD, COLD),
            (WARM, DRAINING, DRAINING),
            (WARM, None, WARM),
            (COLD, WARM, COLD),
            (DRAINING, DRAINING, DRAINING),
            (DRAINING, None, DRAINING),
            (DRAINING, WARM, COLD),
            (DEAD, None, DEAD),
            (DEAD, WARM, COLD),
            (DEAD, DRAINING, DRAINING),
        ]
        for before, status, after in cases:
            row = self._build_row(before)
            self.health.handle_status(row, status, self.now)
            self.assertEqual(after, row.state, (before, status))

    def test_latency_over_five_times_the_warm_median(self):
        """Guards against full load on a target that became cold without saying so."""
        cases = [(4.9, True, WARM), (5.1, True, COLD), (5.1, False, WARM)]
        for code in ("ok", "timed_out"):
            for factor, is_alone, after in cases:
                row = self._build_row(WARM)
                self._answer(row, code, latency=factor * SERVICE_S, is_alone=is_alone)
                self.assertEqual(after, row.state, (code, factor, is_alone))

    def test_cold_target_is_expected_to_be_slow(self):
        """Guards against long queues at a cold target that is expected to be fast."""
        row = self._build_row(WARM)
        self._answer(row, "connection_lost")
        expected = health.SLOW_FACTOR * SERVICE_S
        self.assertAlmostEqual(expected, row.median_latency)
        self._answer(row, latency=3 * SERVICE_S, state=COLD)
        self.assertAlmostEqual(3 * SERVICE_S, row.median_latency)
        self.assertAlmostEqual(SERVICE_S, row.warm_median)

    def test_slow_answers_do_not_end_a_cold_start(self):
        """Guards against raising the limit of a target that still answers slowly."""
        row = self._build_row(WARM)
        count = health.SLOW_ANSWERS_TO_RELEARN - 1
        self._answer(row, count=count, latency=6 * SERVICE_S)
        self.assertEqual((COLD, 1), (row.state, row.limit))

    def test_lasting_change_of_speed_is_learned(self):
        """Guards against a target that stays at its cold limit forever."""
        row = self._build_row(WARM)
        count = health.SLOW_ANSWERS_TO_RELEARN + 24
        self._answer(row, count=count, latency=6 * SERVICE_S)
        self.assertEqual((WARM, 2), (row.state, row.limit))

    def test_back_off_grows_with_jitter_up_to_a_bound(self):
        """Guards against too frequent probes of a target that is down."""
        row = self._build_row(DEAD)
        delays = []
        for _ in range(10):
            delays.append(row.probe_due_at - self.now)
            self.assertFalse(self.health.start_due_probe(row, self.now))
            self.now = row.probe_due_at
            self.assertTrue(self.health.start_due_probe(row, self.now))
            self.assertFalse(self.health.start_due_probe(row, self.now + 60))
            self.health.handle_status(row, None, self.now)
        for n, delay in enumerate(delays):
            nominal = min(health.FIRST_BACKOFF_S * 2**n, health.MAX_BACKOFF_S)
            self.assertTrue(0.5 * nominal <= delay <= 1.5 * nominal, delays)
        self.assertGreater(len(set(delays)), 5)

    def test_burst_of_failures_counts_once(self):
        """Guards against a probe delay that grows with the number of requests."""
        row = self._build_row(DEAD)
        due = row.probe_due_at
        self._answer(row, "connect_failed", count=5, latency=0.0)
        self.assertEqual(due, row.probe_due_at)

    def test_probe_periods(self):
        """Guards against noticing late that a target is draining."""
        for state, period in ((WARM, 1.0), (COLD, 1.0), (DRAINING, 2.0)):
            row = self._build_row(state)
            self.now = row.probe_due_at
            self.health.start_due_probe(row, self.now)
            self.assertAlmostEqual(period, row.probe_due_at - self.now)

    def test_each_state_change_is_logged_with_its_reason(self):
        """Guards against state changes that operators cannot explain."""
        row = self._build_row(WARM)
        with self.assertLogs("tarragonchute.health", "INFO") as logs:
            self._answer(row, state=COLD, boot_id="b1")
        self.assertIn("t1 judged cold, was warm: an answer says cold", logs.output[0])
