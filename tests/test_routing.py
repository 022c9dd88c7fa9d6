"""Tests of the choice of replicas."""

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
    """Estimates, exclusions and spread."""

    def setUp(self):
        super().setUp()
        self.holders = {"t0": "vm0", "t1": "vm1"}
        self.router = routing.Router(self.holders.get, random.Random(1))

    def answer(self, target, limit, waiting, service_ms, now=0.0, code="ok"):
        """Take one answer with a load estimate."""
        self.router.choose([target], now)
        self.router.note_sent(target)
        load = LoadEstimate(limit, waiting, service_ms)
        self.router.note_answer(target, code, load, now)

    def count(self, now, chosen=100, sends=False):
        """Return how often each of two replicas is chosen."""
        counts = collections.Counter()
        for _ in range(chosen):
            target, vm_id = self.router.choose(["t0", "t1"], now)
            self.assertEqual(self.holders[target], vm_id)
            counts[target] += 1
            if sends:
                self.router.note_sent(target)
        return counts

    def test_lowest_estimated_delay_wins(self):
        """Guards against work for a replica that queues, is slow or is cold."""
        for better, worse in (
            ((2, 0, 5.0), (2, 6, 5.0)),
            ((2, 0, 5.0), (2, 0, 50.0)),
            ((2, 0, 5.0), (1, 0, 5.0)),
            ((1, 0, 5.0), (0, 0, 5.0)),
        ):
            self.answer("t0", *better)
            self.answer("t1", *worse)
            self.assertEqual(100, self.count(0.1)["t0"], (better, worse))

    def test_equal_replicas_share_the_work(self):
        """Guards against all entry VMs choosing the same replica."""
        self.answer("t0", 2, 0, 5.0)
        self.answer("t1", 2, 0, 5.0)
        self.assertGreater(self.count(0.1)["t1"], 30)

    def test_own_attempts_count_before_an_answer_tells_of_them(self):
        """Guards against a wave to one replica between two answers."""
        self.answer("t0", 2, 0, 5.0)
        self.answer("t1", 2, 0, 6.0)
        counts = self.count(0.1, sends=True)
        self.assertAlmostEqual(55, counts["t0"], delta=8)

    def test_old_estimate_is_forgotten(self):
        """Guards against never trying again a replica that was slow once."""
        self.answer("t0", 1, 0, 5.0, now=0.0)
        self.answer("t1", 1, 50, 500.0, now=0.0)
        self.assertEqual(0, self.count(routing.FORGET_S - 0.1)["t1"])
        self.answer("t0", 1, 0, 5.0, now=routing.FORGET_S)
        self.assertEqual(100, self.count(routing.FORGET_S + 0.1)["t1"])

    def test_failed_target_is_skipped_and_used_as_last_resort(self):
        """Guards against retries to a dead replica, and against giving up."""
        for code, seconds in routing.SKIP_S.items():
            self.answer("t0", 9, 0, 0.1, code=code)
            self.answer("t1", 1, 9, 50.0)
            self.assertEqual(100, self.count(seconds * 0.9)["t1"], code)
            self.assertEqual("t0", self.router.choose(["t0"], 0.0)[0], code)
            self.answer("t0", 9, 0, 0.1, now=seconds)
            self.assertEqual(100, self.count(seconds)["t0"], code)

    def test_silent_target_is_skipped_until_it_may_answer_again(self):
        """Guards against each query waiting for a VM that is cut off."""
        self.answer("t0", 9, 0, 0.1)
        self.answer("t1", 1, 9, 50.0)
        for is_overdue, expected in ((False, "t0"), (True, "t1")):
            for _ in range(routing.SILENT_ATTEMPTS):
                self.router.note_sent("t0")
                self.router.note_cancelled("t0", is_overdue, 0.0)
            self.assertEqual(100, self.count(0.1)[expected])
        self.assertEqual(100, self.count(0.1 + routing.SKIP_S["timed_out"])["t0"])

    def test_target_without_holder_or_in_a_domain_out_is_never_chosen(self):
        """Guards against work for a domain that operators have taken out."""
        targets = {
            name: TargetSettings(name, "", domain, 2, 25)
            for name, domain in (("t0", "north"), ("t1", "south"))
        }
        datasets = {"books": DatasetSettings("books", targets, {})}
        fleet = FleetSettings({"north": False}, {}, 10)
        self.router.set_tree(SettingsTree(fleet, datasets=datasets))
        self.assertEqual(100, self.count(0.0)["t1"])
        self.holders.pop("t1")
        self.assertIsNone(self.router.choose(["t0", "t1"], 0.0))
        self.router.set_tree(SettingsTree(datasets=datasets))
        self.assertEqual(("t0", "vm0"), self.router.choose(["t0", "t1"], 0.0))


class LatencyTrackerTests(testtools.TestCase):
    """Quantiles of the newest samples."""

    def test_quantiles_follow_the_newest_samples(self):
        """Guards against a hedge delay from yesterday's latencies."""
        tracker = routing.LatencyTracker()
        self.assertIsNone(tracker.quantile(0.95))
        for base in (0, 1000):
            for sample in range(routing.SAMPLES):
                tracker.record(base + sample)
            middle = base + routing.SAMPLES // 2
            self.assertEqual(middle, tracker.quantile(0.5))
            self.assertEqual(base + routing.SAMPLES - 1, tracker.quantile(1.0))
