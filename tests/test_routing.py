"""Tests of the load-aware replica choice and of the latency quantiles."""

import collections
import random

import testtools

from tarragonchute import routing
from tarragonchute.messages import LoadEstimate
from tarragonchute.settings import (
    DatasetSettings,
    FleetSettings,
    SettingsTree,
    TargetSettings,
)


class RouterTests(testtools.TestCase):
    """Estimated delays, skipped targets and jitter."""

    def setUp(self):
        super().setUp()
        self.holders = {"t0": "vm0", "t1": "vm1"}
        self.router = routing.Router(self.holders.get, random.Random(1))

    def answer(self, target, limit, waiting, service_ms, now=0.0, code="ok"):
        """Record one answer that carries a load estimate."""
        self.router.choose([target], now)
        self.router.record_sent(target)
        load = LoadEstimate(limit, waiting, service_ms)
        self.router.record_answer(target, code, load, now)

    def count_choices(self, now, choices=100, sends=False):
        """Return how often each of two replicas is chosen.

        With `sends`, each choice also counts as an outstanding attempt.
        """
        counts = collections.Counter()
        for _ in range(choices):
            target, vm_id = self.router.choose(["t0", "t1"], now)
            self.assertEqual(self.holders[target], vm_id)
            counts[target] += 1
            if sends:
                self.router.record_sent(target)
        return counts

    def test_lowest_estimated_delay_wins(self):
        """Guards against sending work to the worse of two replicas.

        It has a longer queue, a longer service time, fewer slots or a limit of 0.
        """
        for better, worse in (
            ((2, 0, 5.0), (2, 6, 5.0)),
            ((2, 0, 5.0), (2, 0, 50.0)),
            ((2, 0, 5.0), (1, 0, 5.0)),
            ((1, 0, 5.0), (0, 0, 5.0)),
        ):
            self.answer("t0", *better)
            self.answer("t1", *worse)
            self.assertEqual(100, self.count_choices(0.1)["t0"], (better, worse))

    def test_equal_replicas_share_the_work(self):
        """Guards against all entry VMs choosing the same one of equal replicas."""
        self.answer("t0", 2, 0, 5.0)
        self.answer("t1", 2, 0, 5.0)
        self.assertGreater(self.count_choices(0.1)["t1"], 30)

    def test_own_attempts_count_before_they_are_reported(self):
        """Guards against a burst of attempts at one replica.

        Until its next answer, the reported load doesn't include the attempts that this
        entry VM has sent since.
        """
        self.answer("t0", 2, 0, 5.0)
        self.answer("t1", 2, 0, 6.0)
        counts = self.count_choices(0.1, sends=True)
        self.assertAlmostEqual(55, counts["t0"], delta=8)

    def test_old_load_report_expires(self):
        """Guards against never trying again a replica that was slow once.

        A replica that gets no attempts sends no new load report.
        """
        self.answer("t0", 1, 0, 5.0, now=0.0)
        self.answer("t1", 1, 50, 500.0, now=0.0)
        self.assertEqual(0, self.count_choices(routing.REPORT_EXPIRY_S - 0.1)["t1"])
        self.answer("t0", 1, 0, 5.0, now=routing.REPORT_EXPIRY_S)
        self.assertEqual(100, self.count_choices(routing.REPORT_EXPIRY_S + 0.1)["t1"])

    def test_failed_target_is_skipped_and_used_as_last_resort(self):
        """Guards against retries at a failed replica and against choosing none at all.

        A failed replica is better than none if no other replica is left.
        """
        for code, seconds in routing.SKIP_TIMES_S.items():
            self.answer("t0", 9, 0, 0.1, code=code)
            self.answer("t1", 1, 9, 50.0)
            self.assertEqual(100, self.count_choices(seconds * 0.9)["t1"], code)
            self.assertEqual("t0", self.router.choose(["t0"], 0.0)[0], code)
            self.answer("t0", 9, 0, 0.1, now=seconds)
            self.assertEqual(100, self.count_choices(seconds)["t0"], code)

    def test_unresponsive_target_is_skipped_for_a_while(self):
        """Guards against each query waiting for a VM that lost its network.

        Attempts that are cancelled before they are overdue say nothing about it.
        """
        self.answer("t0", 9, 0, 0.1)
        self.answer("t1", 1, 9, 50.0)
        for is_overdue, expected in ((False, "t0"), (True, "t1")):
            for _ in range(routing.MAX_UNANSWERED_ATTEMPTS):
                self.router.record_sent("t0")
                self.router.record_cancelled("t0", is_overdue, 0.0)
            self.assertEqual(100, self.count_choices(0.1)[expected])
        self.assertEqual(
            100, self.count_choices(0.1 + routing.SKIP_TIMES_S["timed_out"])["t0"]
        )

    def test_target_without_holder_or_out_of_service_is_never_chosen(self):
        """Guards against work for a failure domain that is out of service."""
        targets = {
            name: TargetSettings(name, "", domain, 2, 25)
            for name, domain in (("t0", "north"), ("t1", "south"))
        }
        datasets = {"books": DatasetSettings("books", targets, {})}
        fleet = FleetSettings({"north": False}, {}, 10)
        self.router.set_tree(SettingsTree(fleet, datasets=datasets))
        self.assertEqual(100, self.count_choices(0.0)["t1"])
        self.holders.pop("t1")
        self.assertIsNone(self.router.choose(["t0", "t1"], 0.0))
        self.router.set_tree(SettingsTree(datasets=datasets))
        self.assertEqual(("t0", "vm0"), self.router.choose(["t0", "t1"], 0.0))


class LatencyTrackerTests(testtools.TestCase):
    """Quantiles of the newest latency samples."""

    def test_quantiles_follow_the_newest_samples(self):
        """Guards against a hedge delay computed from outdated latencies."""
        tracker = routing.LatencyTracker()
        self.assertIsNone(tracker.quantile(0.95))
        for base in (0, 1000):
            for sample in range(routing.MAX_SAMPLES):
                tracker.record(base + sample)
            middle = base + routing.MAX_SAMPLES // 2
            self.assertEqual(middle, tracker.quantile(0.5))
            self.assertEqual(base + routing.MAX_SAMPLES - 1, tracker.quantile(1.0))
