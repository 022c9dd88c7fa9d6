"""Tests of `SearchRun`: first attempts, hedges, retries, restart and the end."""

import itertools
import random

import testtools
import trio

from tarragonchute import errors, searches
from tarragonchute.budgets import Budget, Budgets
from tarragonchute.messages import LoadEstimate, ShardAnswer, ShardAnswers
from tarragonchute.routing import Router
from tarragonchute.searches import SendCancel, SendGroup
from tarragonchute.snapshots import SnapshotChooser
from tests.test_search_faults import run_in_virtual_time

DEADLINE_S = 0.1
ANSWER_DUE_S = 0.095
SHARDS = 6


class SearchHarness:
    """A run over shards ``s0``..; replicas ``a`` and ``b`` have different holders."""

    def __init__(self, shards=SHARDS, least_coverage=1.0, replicas="ab"):
        layout = {f"s{n}": [f"{r}{n}" for r in replicas] for n in range(shards)}
        self.chooser = SnapshotChooser()
        self.chooser.set_layouts("books", {"v1": layout, "v2": layout})
        self.router = Router(lambda target: f"vm-{target[0]}", random.Random(1))
        self.budget = Budget()
        self.sent = {}
        self.cancelled = []
        self.groups = []
        self.run = searches.SearchRun(
            "id",
            "team",
            "books",
            {"q": 1},
            DEADLINE_S,
            least_coverage,
            self.chooser,
            self.router,
            self.budget,
        )

    def record_actions(self, actions):
        """Record the actions and return the items that were sent."""
        items = []
        for action in actions:
            if isinstance(action, SendCancel):
                self.cancelled += action.message.attempts
            elif isinstance(action, SendGroup):
                self.groups.append(action)
                items += action.message.items
        self.sent.update({item.attempt: item for item in items})
        return items

    def start(self, now=0.0):
        return self.record_actions(self.run.start(now))

    def answer(self, item, now, code="ok", outcome="done", versions=()):
        answer = ShardAnswer(
            item.attempt, code, outcome, item.shard, LoadEstimate(2, 1, 5.0), versions
        )
        return self.record_actions(self.run.handle_answer(answer, now))

    def answer_all(self, items, now):
        for item in items:
            self.answer(item, now)

    def spend_all(self, bucket):
        while bucket.try_spend(0.0):
            pass


class FirstAttemptTests(testtools.TestCase):
    """First attempts at all shards."""

    def test_one_message_for_each_holder(self):
        """Guards against a message per shard instead of one per holder."""
        harness = SearchHarness(shards=110)
        self.assertEqual(110, len(harness.start()))
        self.assertEqual({"vm-a", "vm-b"}, {group.vm_id for group in harness.groups})
        self.assertEqual(2, len(harness.groups))
        message = harness.groups[0].message
        self.assertEqual(("v2", {"q": 1}), (message.version, message.query))
        self.assertAlmostEqual(94.0, message.remaining_ms)

    def test_complete_answer_ends_the_run(self):
        """Guards against waiting for the deadline once all shards have answered."""
        harness = SearchHarness()
        harness.answer_all(harness.start(), 0.01)
        result = harness.run.result()
        self.assertEqual([f"s{n}" for n in range(SHARDS)], result.results)
        self.assertEqual("6 of 6 shards answered", str(result.coverage))
        self.assertEqual([], harness.cancelled)

    def test_layout_without_shards_is_covered(self):
        """Guards against a division by zero in the coverage of an empty layout."""
        harness = SearchHarness(shards=0)
        harness.start()
        self.assertEqual(1.0, harness.run.result().coverage.fraction)


class HedgeTests(testtools.TestCase):
    """Hedges: second attempts for stragglers."""

    def hedge(self, harness, now):
        items = harness.start(now)
        harness.answer_all(items[1:], now + 0.005)
        due = harness.run.next_due()
        return items[0], due, harness.record_actions(harness.run.advance(due))

    def test_straggler_is_hedged_on_the_other_replica_after_the_p95(self):
        """Guards against a query that takes as long as its slowest target."""
        harness = SearchHarness()
        for sample in range(128):
            harness.router.get_shard_latencies("books").record(sample / 10_000)
        straggler, due, hedges = self.hedge(harness, 1.0)
        self.assertAlmostEqual(1.0 + 0.0121, due)
        (hedge,) = hedges
        self.assertEqual(straggler.shard, hedge.shard)
        self.assertNotEqual(straggler.target, hedge.target)
        harness.answer(hedge, due + 0.002)
        self.assertEqual([straggler.attempt], harness.cancelled)
        self.assertTrue(harness.run.is_finished)
        self.assertEqual(1, harness.run.extra_attempts)

    def test_no_hedge_without_budget_or_other_replica(self):
        """Guards against hedges beyond the budget or on the same replica."""
        harness = SearchHarness()
        harness.spend_all(harness.budget.hedges)
        self.assertEqual([], self.hedge(harness, 0.0)[2])
        self.assertEqual([], self.hedge(SearchHarness(replicas="a"), 0.0)[2])

    def test_no_hedge_to_a_replica_without_room(self):
        """Guards against hedges that add to the queues of replicas under high load."""
        harness = SearchHarness()
        for waiting, hedges in ((30, 0), (1, 1)):
            report = LoadEstimate(2, waiting, 5.0)
            for n in range(SHARDS):
                for replica in "ab":
                    harness.router.choose([f"{replica}{n}"], 0.0)
                    harness.router.record_sent(f"{replica}{n}")
                    harness.router.record_answer(f"{replica}{n}", "ok", report, 0.0)
            self.assertEqual(hedges, len(self.hedge(harness, 0.0)[2]), waiting)
            harness = SearchHarness()

    def test_hedge_without_budget_is_tried_again_soon(self):
        """Guards against a straggler that is never hedged.

        There is no hedge budget when its hedge is due, but soon after.
        """
        harness = SearchHarness()
        harness.spend_all(harness.budget.hedges)
        _, due, _ = self.hedge(harness, 0.0)
        retry_due = harness.run.next_due()
        self.assertAlmostEqual(due + searches.HEDGE_RECHECK_S, retry_due)
        harness.budget.hedges.earn(100)
        self.assertEqual(1, len(harness.record_actions(harness.run.advance(retry_due))))

    def test_each_shard_is_hedged_once(self):
        """Guards against a second hedge of the same shard."""
        harness = SearchHarness(replicas="abc")
        _, due, hedges = self.hedge(harness, 0.0)
        self.assertEqual(1, len(hedges))
        self.assertEqual([], harness.record_actions(harness.run.advance(due + 0.05)))


RETRIES = (
    # code, outcome, time in s, retry tokens left, is another replica tried at once
    ("draining", "not_run", 0.09, False, True),
    ("not_holder", "not_run", 0.01, False, True),
    ("domain_out", "not_run", 0.01, False, True),
    ("overloaded", "not_run", 0.01, True, True),
    ("overloaded", "not_run", 0.01, False, False),
    ("overloaded", "not_run", 0.08, True, False),
    ("shedding", "not_run", 0.01, False, False),
    ("connection_lost", "unknown", 0.01, True, True),
    ("connection_lost", "unknown", 0.01, False, False),
    ("timed_out", "unknown", 0.08, True, False),
)


class RetryTests(testtools.TestCase):
    """Retries after failed attempts."""

    def test_retry_rules(self):
        """Guards against retry storms, and against shards that are never retried."""
        for code, outcome, now, has_tokens, expected in RETRIES:
            harness = SearchHarness()
            (first, *_) = harness.start()
            if not has_tokens:
                harness.spend_all(harness.budget.retries)
            retries = harness.answer(first, now, code, outcome)
            case = (code, outcome, now, has_tokens)
            self.assertEqual(expected, bool(retries), case)
            if retries:
                self.assertNotEqual(first.target, retries[0].target, case)

    def test_no_retry_while_a_hedge_is_open(self):
        """Guards against a third attempt while the second one is still open."""
        harness = SearchHarness(shards=1, replicas="abc")
        (first,) = harness.start()
        harness.record_actions(harness.run.advance(harness.run.next_due()))
        self.assertEqual([], harness.answer(first, 0.03, "draining", "not_run"))

    def test_unsent_attempt_counts_as_not_run(self):
        """Guards against waiting for a holder to which the message was not sent."""
        harness = SearchHarness()
        (first, *_) = harness.start()
        actions = harness.run.handle_not_sent([first.attempt], 0.0)
        self.assertEqual(
            [first.shard], [i.shard for i in harness.record_actions(actions)]
        )

    def test_attempts_at_a_lost_holder_are_retried(self):
        """Guards against waiting for answers of a holder that was lost."""
        harness = SearchHarness(shards=4)
        lost = [i for i in harness.start() if i.target[0] == "a"]
        actions = harness.run.handle_holder_lost("vm-a", 0.001)
        retries = harness.record_actions(actions)
        self.assertEqual({i.shard for i in lost}, {i.shard for i in retries})
        self.assertEqual({"b"}, {i.target[0] for i in retries})

    def test_refused_replicas_are_tried_again_after_a_pause(self):
        """Guards against a missing shard because its targets change holders.

        Both replicas refuse at first and are served again after the handover.
        """
        harness = SearchHarness(shards=1)
        (first,) = harness.start()
        (second,) = harness.answer(first, 0.001, "not_holder", "not_run")
        self.assertEqual([], harness.answer(second, 0.002, "not_holder", "not_run"))
        due = harness.run.next_due()
        self.assertAlmostEqual(0.002 + searches.RETRY_DELAY_S, due)
        (third,) = harness.record_actions(harness.run.advance(due))
        harness.answer(third, due + 0.001)
        self.assertEqual(1, harness.run.result().coverage.answered)

    def test_refusals_of_a_handover_cost_no_retry_tokens(self):
        """Guards against a missing shard because other searches spent the retry tokens.

        During a handover, all searches are refused by the same holders.
        """
        harness = SearchHarness(shards=1)
        (attempt,) = harness.start()
        harness.spend_all(harness.budget.retries)
        now = 0.001
        for _ in range(3):
            retries = harness.answer(attempt, now, "not_holder", "not_run")
            while not retries and now < DEADLINE_S:
                now = harness.run.next_due()
                retries = harness.record_actions(harness.run.advance(now))
            (attempt,) = retries
        harness.answer(attempt, now + 0.001)
        self.assertEqual(1, harness.run.result().coverage.answered)


class RestartTests(testtools.TestCase):
    """Restart on another version if no replica has the pinned one."""

    def refuse(self, harness, now, shard="s0", versions=("v1",)):
        """Refuse the pinned version on both replicas of a shard."""
        items = [i for i in harness.sent.values() if i.shard == shard]
        while items:
            items = harness.answer(
                items[0], now, "version_missing", "not_run", versions
            )
            if len(items) > 1:
                return items
        return []

    def test_restart_rules(self):
        """Guards against a restart without enough time or on a version nobody has."""
        for now, median, versions, expected in (
            (0.02, None, ("v1",), "v1"),
            (0.02, 0.07, ("v1",), "v1"),
            (0.02, 0.09, ("v1",), None),
            (0.06, None, ("v1",), None),
            (0.02, None, ("v0",), None),
        ):
            harness = SearchHarness()
            for _ in range(64 if median else 0):
                harness.router.record_query_latency("books", median)
            harness.start()
            restarted = self.refuse(harness, now, versions=versions)
            case = (now, median, versions)
            self.assertEqual(SHARDS if expected else 0, len(restarted), case)
            last = harness.groups[-1].message.version
            self.assertEqual(expected or "v2", last, case)

    def test_refused_version_is_reported(self):
        """Guards against the next query pinning a version that no replica has."""
        harness = SearchHarness()
        harness.start()
        self.refuse(harness, 0.001)
        self.assertEqual("v1", harness.chooser.pin("books", 0.002).version)

    def test_only_one_restart_then_a_partial_answer(self):
        """Guards against endless restarts between versions that are all missing."""
        harness = SearchHarness(least_coverage=0.5)
        harness.start()
        restarted = self.refuse(harness, 0.001)
        harness.sent = {i.attempt: i for i in restarted}
        self.assertEqual([], self.refuse(harness, 0.002, versions=("v2",)))
        harness.answer_all([i for i in restarted if i.shard != "s0"], 0.01)
        result = harness.run.result()
        self.assertEqual(("v1", ["s0"]), (result.version, result.coverage.missing))


class EndTests(testtools.TestCase):
    """Partial answers and errors."""

    def test_partial_answer_at_the_deadline_minus_the_merge_reserve(self):
        """Guards against a late answer, and against attempts left open after it."""
        harness = SearchHarness(least_coverage=0.5)
        items = harness.start()
        harness.answer_all(items[:4], 0.01)
        due = 0.0
        while not harness.run.is_finished:
            due = harness.run.next_due()
            harness.record_actions(harness.run.advance(due))
        self.assertAlmostEqual(ANSWER_DUE_S, due)
        coverage = harness.run.result().coverage
        self.assertEqual(["s4", "s5"], coverage.missing)
        open_attempts = {
            i.attempt for i in harness.sent.values() if i.shard in coverage.missing
        }
        self.assertEqual(open_attempts, set(harness.cancelled))

    def test_error_states_the_coverage(self):
        """Guards against an error that does not say which shards are missing."""
        harness = SearchHarness()
        harness.answer_all(harness.start()[:4], 0.01)
        harness.run.advance(ANSWER_DUE_S)
        error = self.assertRaises(errors.CoverageTooLowError, harness.run.result)
        self.assertIn("4 of 6 shards answered; missing: s4, s5", str(error))
        self.assertEqual(4, error.coverage.answered)

    def test_outcome_is_not_run_only_if_nothing_ran(self):
        """Guards against reporting `not_run` although an attempt may have run."""
        for first, expected in (
            (("overloaded", "not_run"), errors.OverloadedError),
            (("timed_out", "unknown"), errors.CoverageTooLowError),
            (None, errors.CoverageTooLowError),
        ):
            harness = SearchHarness(shards=2, replicas="a")
            items = harness.start()
            if first:
                harness.answer(items[0], 0.09, *first)
            harness.answer(items[1], 0.09, "overloaded", "not_run")
            harness.run.advance(ANSWER_DUE_S)
            error = self.assertRaises(errors.TarragonchuteError, harness.run.result)
            self.assertIs(expected, type(error), first)

    def test_run_ends_early_if_no_attempt_or_retry_is_pending(self):
        """Guards against callers waiting for the deadline without an open attempt."""
        harness = SearchHarness(shards=2, least_coverage=0.5)
        items = harness.start()
        harness.answer(items[0], 0.01)
        (second,) = harness.answer(items[1], 0.08, "draining", "not_run")
        harness.answer(second, 0.081, "timed_out", "unknown")
        self.assertTrue(harness.run.is_finished)
        self.assertEqual(["s1"], harness.run.result().coverage.missing)

    def test_deadline_within_the_merge_reserve_is_refused(self):
        """Guards against attempts whose answers would come after the answer is due."""
        harness = SearchHarness()
        harness.run._deadline_s = searches.MIN_MERGE_RESERVE_S
        self.assertRaises(errors.DeadlinePassedError, harness.start)

    def test_only_overload_refusals_are_counted_as_load_refusals(self):
        """Guards against counting failed targets as overload in admission control."""
        harness = SearchHarness(shards=3, least_coverage=0.0, replicas="a")
        for item, code in zip(
            harness.start(), ("overloaded", "shedding", "draining"), strict=True
        ):
            harness.answer(item, 0.09, code, "not_run")
        self.assertEqual(2, harness.run.result().load_refusals)

    def test_dataset_without_version_is_an_error(self):
        """Guards against an empty result for an unknown dataset."""
        harness = SearchHarness()
        harness.chooser.set_layouts("books", {})
        self.assertRaises(errors.UnknownDatasetError, harness.start)


class LocalLink:
    """Answers each group during `send`, as the holder on this VM may do."""

    def __init__(self):
        self.searcher = None
        self.groups = 0

    def send(self, vm_id, kind, body, number=0):
        if kind != "shard_group":
            return True
        self.groups += 1
        request_id, items = body["request_id"], body["items"]
        answers = [ShardAnswer(a, "ok", "done", shard) for a, shard, _ in items]
        message = ShardAnswers(request_id, answers)
        return self.searcher.handle_answers(vm_id, number, message)


class SearcherTests(testtools.TestCase):
    """The task that drives a run; its faults are tested in `test_search_faults`."""

    def test_holder_may_answer_during_send(self):
        """Guards against losing answers that arrive before `send` returns."""
        harness = SearchHarness()
        link = LocalLink()
        searcher = link.searcher = searches.Searcher(
            link, harness.chooser, harness.router, Budgets(), itertools.count(1)
        )

        async def search():
            with trio.fail_after(0.01):
                return await searcher.search("t", "books", {}, DEADLINE_S, 1.0, "id")

        result = run_in_virtual_time(search)
        self.assertEqual((SHARDS, 2), (result.coverage.answered, link.groups))
