"""Tests of one query's plan: hedges, retries, restart and the end."""

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


class Runs:
    """A run over shards ``s0``.. with replicas ``a`` and ``b`` on two holders."""

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

    def take(self, actions):
        """Keep the actions and return the items that were sent."""
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
        return self.take(self.run.start(now))

    def answer(self, item, now, code="ok", outcome="done", versions=()):
        answer = ShardAnswer(
            item.attempt, code, outcome, item.shard, LoadEstimate(2, 1, 5.0), versions
        )
        return self.take(self.run.handle_answer(answer, now))

    def answer_all(self, items, now):
        for item in items:
            self.answer(item, now)

    def spend(self, bucket):
        while bucket.try_spend(0.0):
            pass


class PlanTests(testtools.TestCase):
    """First attempts."""

    def test_one_message_for_each_holder(self):
        """Guards against one message for each shard."""
        runs = Runs(shards=110)
        self.assertEqual(110, len(runs.start()))
        self.assertEqual({"vm-a", "vm-b"}, {group.vm_id for group in runs.groups})
        self.assertEqual(2, len(runs.groups))
        message = runs.groups[0].message
        self.assertEqual(("v2", {"q": 1}), (message.version, message.query))
        self.assertAlmostEqual(94.0, message.remaining_ms)

    def test_whole_answer_ends_the_run(self):
        """Guards against waiting for the deadline after the last answer."""
        runs = Runs()
        runs.answer_all(runs.start(), 0.01)
        result = runs.run.result()
        self.assertEqual([f"s{n}" for n in range(SHARDS)], result.results)
        self.assertEqual("6 of 6 shards answered", str(result.coverage))
        self.assertEqual([], runs.cancelled)

    def test_layout_without_shards_is_covered(self):
        """Guards against a division by zero."""
        runs = Runs(shards=0)
        runs.start()
        self.assertEqual(1.0, runs.run.result().coverage.fraction)


class HedgeTests(testtools.TestCase):
    """Second attempts for stragglers."""

    def hedge(self, runs, now):
        items = runs.start(now)
        runs.answer_all(items[1:], now + 0.005)
        due = runs.run.next_due()
        return items[0], due, runs.take(runs.run.advance(due))

    def test_straggler_is_hedged_on_the_other_replica_after_the_p95(self):
        """Guards against a straggler that decides the latency of a query."""
        runs = Runs()
        for sample in range(128):
            runs.router.get_shard_latencies("books").record(sample / 10_000)
        slow, due, hedges = self.hedge(runs, 1.0)
        self.assertAlmostEqual(1.0 + 0.0121, due)
        (hedge,) = hedges
        self.assertEqual(slow.shard, hedge.shard)
        self.assertNotEqual(slow.target, hedge.target)
        runs.answer(hedge, due + 0.002)
        self.assertEqual([slow.attempt], runs.cancelled)
        self.assertTrue(runs.run.is_finished)
        self.assertEqual(1, runs.run.extra_attempts)

    def test_no_hedge_without_budget_or_other_replica(self):
        """Guards against extra load beyond the budget."""
        runs = Runs()
        runs.spend(runs.budget.hedges)
        self.assertEqual([], self.hedge(runs, 0.0)[2])
        self.assertEqual([], self.hedge(Runs(replicas="a"), 0.0)[2])

    def test_no_hedge_to_a_full_replica(self):
        """Guards against hedges that lengthen the queues of a loaded dataset."""
        runs = Runs()
        for waiting, hedges in ((30, 0), (1, 1)):
            report = LoadEstimate(2, waiting, 5.0)
            for n in range(SHARDS):
                for replica in "ab":
                    runs.router.choose([f"{replica}{n}"], 0.0)
                    runs.router.record_sent(f"{replica}{n}")
                    runs.router.record_answer(f"{replica}{n}", "ok", report, 0.0)
            self.assertEqual(hedges, len(self.hedge(runs, 0.0)[2]), waiting)
            runs = Runs()

    def test_hedge_without_room_is_tried_again_soon(self):
        """Guards against a straggler without a hedge once a replica has room."""
        runs = Runs()
        runs.spend(runs.budget.hedges)
        _, due, _ = self.hedge(runs, 0.0)
        again = runs.run.next_due()
        self.assertAlmostEqual(due + searches.HEDGE_RECHECK_S, again)
        runs.budget.hedges.earn(100)
        self.assertEqual(1, len(runs.take(runs.run.advance(again))))

    def test_each_shard_is_hedged_once(self):
        """Guards against hedges of hedges."""
        runs = Runs(replicas="abc")
        _, due, hedges = self.hedge(runs, 0.0)
        self.assertEqual(1, len(hedges))
        self.assertEqual([], runs.take(runs.run.advance(due + 0.05)))


RETRIES = (
    # code, outcome, time, tokens, whether another replica is tried at once
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
    """Further attempts after failures."""

    def test_retry_rules(self):
        """Guards against retry storms, and against shards given up too early."""
        for code, outcome, now, has_tokens, expected in RETRIES:
            runs = Runs()
            (first, *_) = runs.start()
            if not has_tokens:
                runs.spend(runs.budget.retries)
            retries = runs.answer(first, now, code, outcome)
            case = (code, outcome, now, has_tokens)
            self.assertEqual(expected, bool(retries), case)
            if retries:
                self.assertNotEqual(first.target, retries[0].target, case)

    def test_no_retry_while_a_hedge_is_open(self):
        """Guards against three attempts at one shard."""
        runs = Runs(shards=1, replicas="abc")
        (first,) = runs.start()
        runs.take(runs.run.advance(runs.run.next_due()))
        self.assertEqual([], runs.answer(first, 0.03, "draining", "not_run"))

    def test_link_that_takes_nothing_counts_as_not_run(self):
        """Guards against waiting for a holder that never got the message."""
        runs = Runs()
        (first, *_) = runs.start()
        actions = runs.run.handle_not_sent([first.attempt], 0.0)
        self.assertEqual([first.shard], [i.shard for i in runs.take(actions)])

    def test_lost_holder_is_replaced(self):
        """Guards against waiting for a holder that is gone."""
        runs = Runs(shards=4)
        lost = [i for i in runs.start() if i.target[0] == "a"]
        actions = runs.run.handle_holder_lost("vm-a", 0.001)
        retries = runs.take(actions)
        self.assertEqual({i.shard for i in lost}, {i.shard for i in retries})
        self.assertEqual({"b"}, {i.target[0] for i in retries})

    def test_refused_replicas_are_tried_again_after_a_pause(self):
        """Guards against a shard given up while its target changes holders."""
        runs = Runs(shards=1)
        (first,) = runs.start()
        (second,) = runs.answer(first, 0.001, "not_holder", "not_run")
        self.assertEqual([], runs.answer(second, 0.002, "not_holder", "not_run"))
        due = runs.run.next_due()
        self.assertAlmostEqual(0.002 + searches.RETRY_DELAY_S, due)
        (third,) = runs.take(runs.run.advance(due))
        runs.answer(third, due + 0.001)
        self.assertEqual(1, runs.run.result().coverage.answered)

    def test_hand_over_costs_no_retry_tokens(self):
        """Guards against a shard given up in a hand-over that others also saw."""
        runs = Runs(shards=1)
        (attempt,) = runs.start()
        runs.spend(runs.budget.retries)
        now = 0.001
        for _ in range(3):
            retries = runs.answer(attempt, now, "not_holder", "not_run")
            while not retries and now < DEADLINE_S:
                now = runs.run.next_due()
                retries = runs.take(runs.run.advance(now))
            (attempt,) = retries
        runs.answer(attempt, now + 0.001)
        self.assertEqual(1, runs.run.result().coverage.answered)


class RestartTests(testtools.TestCase):
    """Another version after one that cannot be obtained."""

    def refuse(self, runs, now, shard="s0", versions=("v1",)):
        """Refuse the pinned version on both replicas of a shard."""
        items = [i for i in runs.sent.values() if i.shard == shard]
        while items:
            items = runs.answer(items[0], now, "version_missing", "not_run", versions)
            if len(items) > 1:
                return items
        return []

    def test_restart_rules(self):
        """Guards against a restart that cannot end in time, or on nothing."""
        for now, median, versions, expected in (
            (0.02, None, ("v1",), "v1"),
            (0.02, 0.07, ("v1",), "v1"),
            (0.02, 0.09, ("v1",), None),
            (0.06, None, ("v1",), None),
            (0.02, None, ("v0",), None),
        ):
            runs = Runs()
            for _ in range(64 if median else 0):
                runs.router.record_query_latency("books", median)
            runs.start()
            restarted = self.refuse(runs, now, versions=versions)
            case = (now, median, versions)
            self.assertEqual(SHARDS if expected else 0, len(restarted), case)
            last = runs.groups[-1].message.version
            self.assertEqual(expected or "v2", last, case)

    def test_refused_version_is_reported(self):
        """Guards against the next query pinning the same version."""
        runs = Runs()
        runs.start()
        self.refuse(runs, 0.001)
        self.assertEqual("v1", runs.chooser.pin("books", 0.002).version)

    def test_only_one_restart_and_then_a_partial_answer(self):
        """Guards against restarts in a circle."""
        runs = Runs(least_coverage=0.5)
        runs.start()
        restarted = self.refuse(runs, 0.001)
        runs.sent = {i.attempt: i for i in restarted}
        self.assertEqual([], self.refuse(runs, 0.002, versions=("v2",)))
        runs.answer_all([i for i in restarted if i.shard != "s0"], 0.01)
        result = runs.run.result()
        self.assertEqual(("v1", ["s0"]), (result.version, result.coverage.missing))


class EndTests(testtools.TestCase):
    """Partial answers and errors."""

    def test_partial_answer_at_the_deadline_less_the_merge_reserve(self):
        """Guards against a late answer, and against work that goes on after it."""
        runs = Runs(least_coverage=0.5)
        items = runs.start()
        runs.answer_all(items[:4], 0.01)
        due = 0.0
        while not runs.run.is_finished:
            due = runs.run.next_due()
            runs.take(runs.run.advance(due))
        self.assertAlmostEqual(ANSWER_DUE_S, due)
        coverage = runs.run.result().coverage
        self.assertEqual(["s4", "s5"], coverage.missing)
        late = {i.attempt for i in runs.sent.values() if i.shard in coverage.missing}
        self.assertEqual(late, set(runs.cancelled))

    def test_error_states_the_coverage(self):
        """Guards against an operator who cannot tell how much was missing."""
        runs = Runs()
        runs.answer_all(runs.start()[:4], 0.01)
        runs.run.advance(ANSWER_DUE_S)
        error = self.assertRaises(errors.CoverageTooLowError, runs.run.result)
        self.assertIn("4 of 6 shards answered; missing: s4, s5", str(error))
        self.assertEqual(4, error.coverage.answered)

    def test_outcome_is_not_run_only_if_nothing_ran(self):
        """Guards against an untrue "not run"."""
        for first, expected in (
            (("overloaded", "not_run"), errors.OverloadedError),
            (("timed_out", "unknown"), errors.CoverageTooLowError),
            (None, errors.CoverageTooLowError),
        ):
            runs = Runs(shards=2, replicas="a")
            items = runs.start()
            if first:
                runs.answer(items[0], 0.09, *first)
            runs.answer(items[1], 0.09, "overloaded", "not_run")
            runs.run.advance(ANSWER_DUE_S)
            error = self.assertRaises(errors.TarragonchuteError, runs.run.result)
            self.assertIs(expected, type(error), first)

    def test_run_ends_early_if_nothing_more_can_come(self):
        """Guards against callers who wait for shards that nobody works on."""
        runs = Runs(shards=2, least_coverage=0.5)
        items = runs.start()
        runs.answer(items[0], 0.01)
        (second,) = runs.answer(items[1], 0.08, "draining", "not_run")
        runs.answer(second, 0.081, "timed_out", "unknown")
        self.assertTrue(runs.run.is_finished)
        self.assertEqual(["s1"], runs.run.result().coverage.missing)

    def test_deadline_within_the_merge_reserve_is_refused(self):
        """Guards against attempts that nobody can wait for."""
        runs = Runs()
        runs.run._deadline_s = searches.MIN_MERGE_RESERVE_S
        self.assertRaises(errors.DeadlinePassedError, runs.start)

    def test_load_refusals_are_counted_for_the_admission(self):
        """Guards against an admission that takes a dead shard for overload."""
        runs = Runs(shards=3, least_coverage=0.0, replicas="a")
        for item, code in zip(
            runs.start(), ("overloaded", "shedding", "draining"), strict=True
        ):
            runs.answer(item, 0.09, code, "not_run")
        self.assertEqual(2, runs.run.result().load_refusals)

    def test_no_version_is_an_error_before_anything_is_sent(self):
        """Guards against a search of an unknown dataset that reads as empty."""
        runs = Runs()
        runs.chooser.set_layouts("books", {})
        self.assertRaises(errors.UnknownDatasetError, runs.start)


class LocalLink:
    """Answers each group within `send`, as this VM's own holder may do."""

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
    """The task around a run; faults are in `test_search_faults`."""

    def test_holder_may_answer_within_the_send(self):
        """Guards against a run that misses the answers of its own VM."""
        runs = Runs()
        link = LocalLink()
        searcher = link.searcher = searches.Searcher(
            link, runs.chooser, runs.router, Budgets(), itertools.count(1)
        )

        async def search():
            with trio.fail_after(0.01):
                return await searcher.search("t", "books", {}, DEADLINE_S, 1.0, "id")

        result = run_in_virtual_time(search)
        self.assertEqual((SHARDS, 2), (result.coverage.answered, link.groups))
