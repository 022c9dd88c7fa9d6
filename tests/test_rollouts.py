"""Tests of one VM's part in rollouts: allowed versions, exposure, evidence, reports."""

import math

import orjson
import testtools

from tarragonchute.rolloutcoordinator import build_withdrawal
from tarragonchute.rolloutevidence import (
    AnswerCounts,
    Outcome,
    compare,
    decode_counts,
)
from tarragonchute.rolloutreports import Reporter, VmReport, decode_report
from tarragonchute.rollouts import Rollouts
from tarragonchute.rolloutstates import (
    ERA_BITS,
    Phase,
    RolloutLimits,
    RolloutOrder,
    RolloutState,
    decode_state,
)
from tarragonchute.servicerollouts import (
    CANARY_SLACK_FRACTION,
    SlackPart,
)

from .rolloutworld import Target

LIMITS = RolloutLimits(0.1, 50.0, 5.0, 5.0)
CANARY_SLACK = LIMITS.expose_slack * CANARY_SLACK_FRACTION
OLD, NEW = frozenset(("v1",)), frozenset(("v2",))
V1, V2, V3 = Target("v1"), Target("v2"), Target("v3")


def build_state(phase=Phase.CANARY, share=0.1, order_revision=7, elapsed_s=0.1):
    """Return the state of a rollout from v1 to v2."""
    return RolloutState(order_revision, "v2", ("v1",), phase, share, elapsed_s)


def build_order(version="v2", revision=7, duration_s=12.0):
    """Return an order for service ``s``."""
    return RolloutOrder("s", version, duration_s, revision)


class RolloutsCase(testtools.TestCase):
    """Base class: a VM that uses v1 of a service."""

    def setUp(self):
        super().setUp()
        self.changed = []
        self.rollouts = self.build()
        self.filter(V1)

    def build(self, requests=0.0):
        return Rollouts(
            LIMITS,
            lambda service: SlackPart(requests / CANARY_SLACK, 0, 1),
            lambda service, now: self.changed.append(service),
        )

    def filter(self, *targets, usable=None):
        usable = targets if usable is None else usable
        found = self.rollouts.filter("s", list(usable), list(targets))
        return [target.software_version for target in found]

    def choose(self, now=1.0, **arguments):
        return self.rollouts.choose_version("s", now, **arguments)


class AllowedVersionTests(RolloutsCase):
    """Which versions of a service may get requests."""

    def test_service_without_order(self):
        """Guards against a change for services that no order names."""
        self.assertEqual(["v1", "v1"], self.filter(V1, V1))
        self.assertIsNone(self.choose())
        self.assertEqual([], self.rollouts.list_running())

    def test_rollouts_are_off(self):
        """Guards against held back targets on deployments without the settings."""
        self.rollouts = Rollouts()
        self.rollouts.set_order("s", build_order(), 0.0)
        self.assertEqual(["v1", "v2"], self.filter(V1, V2))
        self.assertIsNone(self.choose())

    def test_version_without_order(self):
        """Guards against requests to a version before an order names it."""
        self.assertEqual(["v1"], self.filter(V1, V2))
        # Without usable targets of the old version, they are still registered.
        self.assertEqual([], self.filter(V1, V2, usable=[V2]))
        self.assertEqual(["v2"], self.filter(V2))

    def test_order_without_state(self):
        """Guards against requests that no state limits yet."""
        self.rollouts.set_order("s", build_order(), 0.0)
        self.assertEqual(["v1"], self.filter(V1, V2))
        self.assertIsNone(self.choose())

    def test_start_after_the_order(self):
        """Guards against a VM that takes the new version for the old one."""
        self.rollouts = self.build()
        self.rollouts.set_order("s", build_order(), 0.0)
        self.assertEqual(["v1"], self.filter(V1, V2))

    def test_phases(self):
        """Guards against a version that is used in the wrong phase."""
        cases = (
            (Phase.CANARY, ["v1", "v2"]),
            (Phase.FULL, ["v1", "v2"]),
            (Phase.DONE, ["v2"]),
            (Phase.ROLLED_BACK, ["v1"]),
        )
        for phase, expected in cases:
            self.rollouts = self.build()
            self.rollouts.set_order("s", build_order(), 0.0)
            self.rollouts.set_state("s", build_state(phase), 0.1)
            self.assertEqual(expected, self.filter(V1, V2, V3), phase)
        self.assertEqual(["s", "s"] * 4, self.changed)

    def test_full_prefers_the_new_version(self):
        """Guards against old targets that get requests until they are stopped."""
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(Phase.FULL, 1.0), 0.1)
        self.rollouts.last_heard_at = lambda: 1.0
        self.assertEqual((NEW, OLD), self.choose(1.0))
        self.assertEqual((OLD,), self.choose(1.0 + LIMITS.max_silence_s + 0.1))
        self.assertEqual((OLD, NEW), self.choose(1.0 + LIMITS.contact_s + 0.1))

    def test_order_withdrawn(self):
        """Guards against requests to a version whose order is gone."""
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_order("s", None, 0.1)
        self.assertEqual(["v1"], self.filter(V1, V2))
        self.rollouts.set_order("s", build_order(revision=8), 0.2)
        self.rollouts.set_state("s", build_state(Phase.FULL, 1.0, 8), 0.3)
        self.rollouts.set_order("s", None, 0.4)
        self.assertEqual(["v1"], self.filter(V1, V2))
        self.assertEqual([], self.rollouts.list_running())

    def test_order_removed_after_done(self):
        """Guards against a return to the old version once the order is deleted."""
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(Phase.DONE, 1.0), 0.1)
        self.rollouts.set_order("s", None, 0.2)
        self.assertEqual(["v2"], self.filter(V1, V2))

    def test_order_replaced(self):
        """Guards against the state of one order that is applied to another."""
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(Phase.FULL, 1.0), 0.1)
        for version in ("v3", "v2"):
            self.rollouts.set_order("s", build_order(version, 9), 0.2)
            self.assertEqual(["v1"], self.filter(V1, V2, V3), version)

    def test_end_is_not_forgotten(self):
        """Guards against a store copy from before the end of a rollout."""
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(Phase.ROLLED_BACK), 0.1)
        later = (1 << ERA_BITS) + 5
        self.rollouts.set_order("s", build_order(revision=later), 0.2)
        self.rollouts.set_state("s", build_state(Phase.CANARY), 0.3, later + 1)
        self.rollouts.set_state("s", None, 0.4)
        self.assertEqual(["v1"], self.filter(V1, V2))

    def test_retained_order(self):
        """Guards against a second start because a restored copy lacks the order."""
        for phase in (Phase.CANARY, Phase.ROLLED_BACK):
            self.rollouts = self.build()
            self.filter(V1)
            self.rollouts.set_order("s", build_order(), 0.0)
            self.rollouts.set_state("s", build_state(phase), 0.1)
            rollout = self.rollouts.get("s")
            self.rollouts.record_sent("s", "v2")
            self.rollouts.replace_all({"s": build_order(revision=0)}, {}, 5.0)
            self.assertEqual(phase, rollout.get_current_state().phase)
            self.assertEqual((1, 7), (rollout.candidate_sent, rollout.order.revision))
            self.assertEqual(6.0, rollout.get_elapsed_s(6.0))
        self.rollouts = self.build()
        self.filter(V1)
        self.rollouts.replace_all({"s": build_order(revision=0)}, {}, 5.0)
        self.assertEqual([], self.rollouts.list_running())

    def test_version_ordered_again_in_a_later_era(self):
        """Guards against an order that inherits the traffic of a withdrawn one."""
        later = (1 << ERA_BITS) + 5
        for phase in (Phase.FULL, Phase.ROLLED_BACK):
            self.rollouts = self.build()
            self.rollouts.set_order("s", build_order(), 0.0)
            state = build_state(phase, 1.0)
            self.rollouts.set_state("s", state, 0.1)
            self.rollouts.set_order("s", None, 0.2)
            (rollout,) = self.rollouts.list_withdrawn()
            withdrawal = build_withdrawal(rollout).state
            for known in (None, withdrawal):
                self.rollouts.set_state("s", known, 0.3)
                self.rollouts.set_order("s", build_order(revision=later), 0.4)
                self.assertEqual(["v1"], self.filter(V1, V2))
                self.assertIsNone(rollout.get_current_state())
                self.assertTrue(rollout.is_running)
                self.rollouts.set_order("s", None, 0.5)
            self.assertEqual([], self.rollouts.list_withdrawn())
            # A VM that has started since.
            for known in (state, withdrawal):
                self.rollouts = self.build()
                orders = {"s": build_order(revision=later)}
                self.rollouts.replace_all(orders, {"s": (known, 9)}, 1.0)
                self.assertEqual(["v1"], self.filter(V1, V2))

    def test_order_is_held_across_a_restore(self):
        """Guards against a rollout that starts again with the store's next era."""
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(Phase.FULL, 1.0), 0.1)
        for era in (1, 2):
            order = build_order(revision=(era << ERA_BITS) + 5)
            self.rollouts.set_order("s", order, 0.2)
            self.assertEqual((NEW, OLD), self.choose())

    def test_state_of_an_earlier_order(self):
        """Guards against a restored state that replaces the end of a later rollout."""
        for phase, expected in ((Phase.DONE, "v2"), (Phase.ROLLED_BACK, "v1")):
            self.rollouts = self.build()
            self.rollouts.set_order("s", build_order(), 0.0)
            self.rollouts.set_state("s", build_state(phase), 0.1, 9)
            base = ("v0",) if phase is Phase.DONE else ("v2",)
            earlier = RolloutState(3, "v1", base, phase, 1.0, 0.0)
            later = 1 << ERA_BITS
            self.rollouts.set_state("s", earlier, 0.2, later + 4)
            self.assertEqual([expected], self.filter(V1, V2))
            self.rollouts.set_order("s", build_order(revision=later + 5), 0.3)
            self.assertTrue(self.rollouts.get("s").has_rewritten_order)

    def test_older_state_is_ignored(self):
        """Guards against a change that arrives after a newer one was read."""
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(Phase.FULL, 1.0), 0.1, 9)
        self.rollouts.set_state("s", build_state(Phase.CANARY), 0.2, 8)
        self.assertEqual((NEW, OLD), self.choose())

    def test_listing(self):
        """Guards against a listing that restarts what it repeats."""
        order, state = build_order(), build_state(Phase.FULL, 1.0, elapsed_s=8.0)
        for now in (0.0, 1.0, 2.0):
            self.rollouts.replace_all({"s": order}, {"s": (state, 9)}, now)
        self.assertEqual(10.0, self.rollouts.get("s").get_elapsed_s(2.0))
        self.rollouts.replace_all({}, {}, 3.0)
        self.assertIsNone(self.choose())

    def test_odd_states(self):
        """Guards against an entry of another writer that stops the watch."""
        for text in ("", "{", "[]", "7", "null", '{"order": "x"}', '{"order": 1}'):
            self.assertIsNone(decode_state(text), text)
        body = orjson.loads(build_state().encode())
        for name in body:
            for value in (None, [7], {}, "\ud7ff", 1e300):
                text = orjson.dumps({**body, name: value}).decode()
                state = decode_state(text)
                self.assertTrue(state is None or state.encode(), text)
        self.assertEqual(body, orjson.loads(decode_state(orjson.dumps(body)).encode()))


class ExposureTests(RolloutsCase):
    """How many requests a VM sends to a version that is not trusted yet."""

    def send(self, count, now=1.0, is_retry=False):
        """Choose a version for some requests, and return how many go to v2."""
        sent = 0
        for _ in range(count):
            choices = self.choose(now, is_retry=is_retry)
            version = "v2" if choices[0] == NEW else "v1"
            self.rollouts.record_sent("s", version)
            sent += version == "v2"
        return sent

    def order(self, requests=0.0, share=0.1, rank=0, vm_count=1):
        self.rollouts = Rollouts(
            LIMITS, lambda service: SlackPart(requests / CANARY_SLACK, rank, vm_count)
        )
        self.filter(V1)
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(share=share), 0.1)
        self.rollouts.last_heard_at = lambda: math.inf

    def test_share(self):
        """Guards against more requests than the share allows."""
        self.order()
        self.assertIn(self.send(100), (10, 11))

    def test_higher_share_does_not_count_earlier_requests(self):
        """Guards against a burst at the begin of a step."""
        self.order()
        self.send(1000)
        self.rollouts.set_state("s", build_state(share=0.5), 2.0)
        self.assertIn(self.send(10, 2.0), (4, 5, 6))

    def test_parts_of_the_slack_add_up(self):
        """Guards against VMs that round their parts up together."""
        for vm_count in (1, 7, 58, 195):
            total = 0
            for rank in range(vm_count):
                self.order(15.0 / vm_count, 0.0, rank, vm_count)
                total += self.send(20, 11.0)
            self.assertIn(total, (14, 15, 16), vm_count)

    def test_slack_is_released_over_time(self):
        """Guards against a slack that is used up before a version turns bad."""
        self.order(10.0, 0.0)
        self.assertLess(self.send(100, 0.6), 4)
        self.assertIn(self.send(100, 11.0), range(6, 11))

    def test_late_vm_has_no_part(self):
        """Guards against a part that a restarted process uses again."""
        self.rollouts = self.build(10.0)
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(share=0.1, elapsed_s=5.0), 0.0)
        self.filter(V1, V2)
        self.assertEqual(1, self.send(10))

    def test_retries_prefer_the_old_version(self):
        """Guards against a retry that fails because the version is bad."""
        self.order(share=1.0)
        self.assertEqual((OLD, NEW), self.choose(is_retry=True))

    def test_silence(self):
        """Guards against requests to a version that may have been rolled back."""
        self.order(share=1.0)
        self.rollouts.last_heard_at = lambda: 1.0
        self.assertEqual((NEW, OLD), self.choose(1.0 + LIMITS.max_silence_s))
        self.assertEqual((OLD,), self.choose(1.0 + LIMITS.max_silence_s + 0.1))

    def test_time_limit(self):
        """Guards against a canary that goes on after its time limit."""
        self.order(share=1.0)
        self.assertEqual((OLD,), self.choose(12.5))

    def test_refused_requests_do_not_raise_the_limit(self):
        """Guards against a limit that follows from requests that never ran."""
        self.order()
        for _ in range(100):
            self.rollouts.record_sent("s", "v1")
            self.rollouts.record("r", "s", "v1", Outcome.NOT_RUN, 0.0, 1.0)
        self.assertLess(self.send(9), 2)

    def test_own_evidence_stops_a_bad_version(self):
        """Guards against requests to it until the coordinator has decided."""
        self.order(share=1.0)
        for number in range(30):
            now = 1.0 + number * 0.2
            for version, outcome in (("v1", Outcome.GOOD), ("v2", Outcome.FAILED)):
                self.rollouts.record_sent("s", version)
                self.rollouts.record("r", "s", version, outcome, 0.01, now)
        self.assertEqual((OLD,), self.choose(8.0))


class EvidenceTests(testtools.TestCase):
    """Comparison of a new version with the old one."""

    def build(self, fast=0, slow=0, failures=0):
        counts = AnswerCounts(failures)
        for number in range(fast + slow):
            # Times of good replies differ by half, as on real targets.
            usual_s = 0.02 * (0.75 + 0.5 * (number % 5) / 4)
            counts.record_time(usual_s * (4 if number < slow else 1))
        return counts

    def compare(self, old, new):
        return compare({"r": old}, {"r": new})

    def test_equal_versions(self):
        """Guards against a verdict on a version that is as good as the old one."""
        for old, new in (((100,), (20,)), ((90, 5, 5), (18, 1, 1)), ((0,), (20,))):
            result = self.compare(self.build(*old), self.build(*new))
            self.assertFalse(result.is_suspect, (old, new))

    def test_failures_and_slow_replies(self):
        """Guards against a bad version without a verdict."""
        for new in ((14, 0, 6), (12, 8, 0), (13, 4, 3), (0, 10, 0)):
            result = self.compare(self.build(100), self.build(*new))
            self.assertTrue(result.is_bad, new)

    def test_few_bad_answers(self):
        """Guards against a verdict on one or two lost replies."""
        result = self.compare(self.build(100), self.build(0, 0, 2))
        self.assertFalse(result.is_bad)
        self.assertTrue(result.is_suspect)
        result = self.compare(self.build(100), self.build(20, 0, 1))
        self.assertFalse(result.is_suspect)

    def test_slow_service(self):
        """Guards against slow replies that the old version has as often."""
        result = self.compare(self.build(70, 30), self.build(14, 6))
        self.assertFalse(result.is_suspect)

    def test_untimed_replies_count_as_good(self):
        """Guards against a share of failures without the replies of cold targets."""
        counts = AnswerCounts(1, 60)
        self.assertFalse(self.compare(self.build(100), counts).is_suspect)

    def test_many_answers(self):
        """Guards against a number that overflows at a high request rate."""
        good = self.compare(AnswerCounts(3000, 10**6), AnswerCounts(300, 10**5))
        bad = self.compare(AnswerCounts(3000, 10**6), AnswerCounts(10**5, 10**5))
        self.assertEqual((False, True), (good.is_bad, bad.is_bad))


class ReportTests(RolloutsCase):
    """Messages with evidence."""

    def start(self):
        self.rollouts.set_order("s", build_order(), 0.0)
        self.rollouts.set_state("s", build_state(share=1.0), 0.1)
        return self.rollouts.get("s")

    def record(self, rollout, outcome=Outcome.GOOD):
        self.rollouts.record_sent("s", "v2")
        self.rollouts.record("r", "s", "v2", outcome, 0.02, 1.0)

    def test_report_survives_encoding(self):
        """Guards against evidence that is lost on its way."""
        rollout = self.start()
        self.record(rollout)
        self.record(rollout, Outcome.FAILED)
        self.rollouts.record_sent("s", "v1")
        body = orjson.loads(orjson.dumps(VmReport("vm", "p", rollout, 2.0).encode()))
        report = decode_report("vm", "p", body, 5.0)
        self.assertEqual(rollout.get_current_state().step, report.step)
        self.assertEqual((3, 2, False, 2.0), self.describe(report))
        counts = report.counts["r", "v2"]
        self.assertEqual((1, 1), (counts.failures, counts.count_timed()))

    def describe(self, report):
        fields = (report.sent, report.candidate_sent, report.is_drained)
        return (*fields, round(report.elapsed_s, 1))

    def test_braked_vm_is_not_drained(self):
        """Guards against `DONE` while a VM still sends requests to the old version."""
        rollout = self.start()
        self.assertTrue(VmReport("vm", "p", rollout, 2.0).is_drained)
        rollout.is_braked = True
        self.assertFalse(VmReport("vm", "p", rollout, 2.0).is_drained)

    def test_malformed_counts(self):
        """Guards against a message that raises an unexpected error."""
        for row in ([], [1], [1, 2, 3], [-1, 0, []], [0, 0, [[1.5, 1]]], None):
            self.assertRaises((ValueError, TypeError), decode_counts, row)

    def test_reports_are_sent_when_needed(self):
        """Guards against too many messages, and against news that wait."""
        rollout = self.start()
        reporter = Reporter()
        self.assertTrue(reporter.is_due(rollout, "vm", 0.2))
        reporter.record_sent(rollout, "vm", 0.2)
        self.assertTrue(reporter.is_due(rollout, "other", 0.2))
        self.assertFalse(reporter.is_due(rollout, "vm", 1.0))
        self.record(rollout)
        self.assertFalse(reporter.is_due(rollout, "vm", 0.6))
        self.assertTrue(reporter.is_due(rollout, "vm", 0.8))
        reporter.record_sent(rollout, "vm", 0.8)
        reporter.record_failure("s", "vm")
        self.assertTrue(reporter.is_due(rollout, "vm", 1.4))
        reporter.record_sent(rollout, "vm", 1.4)
        self.rollouts.set_state("s", build_state(Phase.FULL, 1.0), 1.5)
        self.assertTrue(reporter.is_due(rollout, "vm", 2.0))
        reporter.record_sent(rollout, "vm", 2.0)
        self.assertTrue(reporter.is_due(rollout, "vm", 4.1))
