"""Every fault at every step of a search, judged by what the fakes answered."""

import itertools
import random
from unittest import mock

import testtools
import trio
import trio.testing

from tarragonchute import errors, searches
from tarragonchute.budgets import Budgets
from tarragonchute.messages import (
    ShardAnswer,
    ShardAnswers,
    ShardCancel,
    ShardGroup,
)
from tarragonchute.routing import Router
from tarragonchute.snapshots import SnapshotChooser

SHARDS = 8
HOLDERS = 4
DEADLINE_S = 0.2
SERVICE_S = 0.004
STRAGGLER = "t0-0"

STEPS = ("before", "sent", "first answer", "half", "resent", "last answer", "late")


def run_in_virtual_time(function, *args, seed=1):
    """Run trio with a clock that jumps, and tasks in the same order each time.

    Trio shuffles tasks at random, and a failing cell must be repeatable.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    run = trio._core._run
    with (
        mock.patch.object(run, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(run, "_r", random.Random(seed)),
    ):
        return trio.run(function, *args, clock=clock)


class Violation(AssertionError):
    """A promise to callers that was broken."""


def build_layout(count):
    """Return shards with two replicas each."""
    return {f"s{n}": [f"t{n}-0", f"t{n}-1"] for n in range(count)}


class Call:
    """One caller's request and what the fakes did for it."""

    def __init__(self, name):
        self.name = name
        self.query = {"caller": name}
        self.request_id = f"id-{name}"
        self.number = None
        self.working = {}
        self.left_working = {}
        self.seen_shards = set()
        self.delivered = []
        self.cancelled = []
        self.scope = trio.CancelScope()
        self.started_at = None
        self.finished_at = None
        self.result = None
        self.error = None


class Fleet:
    """Holders and targets as a searcher sees them, with one fault at one step."""

    def __init__(self, fault, step, seed=1):
        self.random = random.Random(seed)
        self.fault = fault
        self.step = step
        self.chooser = SnapshotChooser()
        self.layouts = {v: build_layout(SHARDS) for v in ("v1", "v2")}
        self.publish()
        self.lacking = set()
        self.dead = set()
        self.dead_targets = set()
        self.refusal = None
        self.delay_s = self.copies = 0
        self.loses = self.reorders = self.forges = False
        self.calls = {}
        self.steps_seen = set()
        router = Router(self.find_holder, random.Random(seed))
        numbers = itertools.count(1)
        self.searcher = searches.Searcher(
            self, self.chooser, router, Budgets(), numbers
        )

    def publish(self):
        """Give the chooser the layouts that are in force."""
        self.chooser.set_layouts("books", self.layouts)

    def find_holder(self, target):
        """Spread targets over holders; the replicas of a shard differ."""
        shard, replica = target[1:].split("-")
        return f"vm{(int(shard) + int(replica)) % HOLDERS}"

    def reach(self, step):
        """Cause the fault when its step comes."""
        if step not in self.steps_seen:
            self.steps_seen.add(step)
            if step == self.step:
                FAULTS[self.fault](self)

    # Link

    def send(self, vm_id, kind, body, number=0):
        if vm_id in self.dead:
            return False
        if kind == ShardCancel.KIND:
            message = ShardCancel.from_body(body)
            call = self.calls[message.request_id]
            now = trio.current_time()
            for attempt in message.attempts:
                shard = call.working.pop(attempt, None)
                call.cancelled.append((now, shard))
            return True
        group = ShardGroup.from_body(body)
        call = self.calls[group.request_id]
        call.number = number
        for item in group.items:
            call.working[item.attempt] = item.shard
            is_resent = (group.version, item.shard) in call.seen_shards
            call.seen_shards.add((group.version, item.shard))
            self.nursery.start_soon(self.serve, vm_id, call, group, item)
            if is_resent:
                self.reach("resent")
        self.reach("sent")
        return True

    async def serve(self, vm_id, call, group, item):
        """Work on one attempt as a holder and its target do."""
        is_slow = item.target == STRAGGLER
        answer = self.answer(group, item)
        # Refusals come sooner, so that a restart meets answers both before and after.
        span = 6 if answer.code == "ok" else 2
        factor = 30 if is_slow else 1 + span * self.random.random()
        await trio.sleep(SERVICE_S * factor)
        if item.target in self.dead_targets:
            return
        if self.reorders:
            await trio.sleep(self.random.random() * SERVICE_S * 4)
        await trio.sleep(self.delay_s)
        if self.loses and self.random.random() < 0.5:
            return
        for _ in range(1 + self.copies):
            if vm_id in self.dead:
                return
            if self.forges:
                self.forge(vm_id, call, answer)
            self.deliver(vm_id, call, answer, group.version, item.shard)

    def answer(self, group, item):
        if self.refusal and self.random.random() < 0.5:
            return ShardAnswer(item.attempt, self.refusal, "not_run")
        if (item.shard, group.version) in self.lacking:
            others = [v for v in self.layouts if (item.shard, v) not in self.lacking]
            code = "version_missing"
            return ShardAnswer(item.attempt, code, "not_run", versions=others)
        result = [item.shard, group.version, group.query]
        return ShardAnswer(item.attempt, "ok", "done", result)

    def deliver(self, vm_id, call, answer, version, shard):
        message = ShardAnswers(call.request_id, [answer])
        if call.finished_at is None and answer.code == "ok":
            call.delivered.append((version, shard, answer.attempt))
        if answer.code != "ok":
            call.working.pop(answer.attempt, None)
        self.searcher.handle_answers(vm_id, call.number, message)
        call.working.pop(answer.attempt, None)
        done = len({shard for _, shard, _ in call.delivered})
        if done >= 1:
            self.reach("first answer")
        if done >= SHARDS // 2:
            self.reach("half")
        if done >= SHARDS - 1:
            self.reach("last answer")

    def forge(self, vm_id, call, answer):
        """Deliver another caller's answer under this request's number."""
        other = "id-b" if call.request_id == "id-a" else "id-a"
        result = ["s0", "v2", self.calls[other].query]
        foreign = ShardAnswer(answer.attempt, "ok", "done", result)
        message = ShardAnswers(other, [foreign])
        self.searcher.handle_answers(vm_id, call.number, message)
        self.searcher.handle_answers(vm_id, 999, message)

    # Run

    async def play(self):
        """Run two callers at once and return their calls."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.reach("before")
            async with trio.open_nursery() as callers:
                for name in ("a", "b"):
                    call = Call(name)
                    self.calls[call.request_id] = call
                    callers.start_soon(self.ask, call)
                await trio.sleep(DEADLINE_S * 0.9)
                self.reach("late")
            nursery.cancel_scope.cancel()
        return list(self.calls.values())

    async def ask(self, call):
        call.started_at = trio.current_time()
        with call.scope:
            try:
                call.result = await self.searcher.search(
                    "team", "books", call.query, DEADLINE_S, 0.5, call.request_id
                )
            except errors.TarragonchuteError as error:
                call.error = error
        call.finished_at = trio.current_time()
        call.left_working = dict(call.working)


def kill_holder(fleet):
    fleet.dead.add("vm1")
    fleet.searcher.handle_holder_lost("vm1")


def drop_version(fleet):
    """Publish a version; some shards no longer have the pinned one."""
    fleet.layouts["v3"] = build_layout(SHARDS)
    fleet.lacking |= {("s0", "v2"), ("s1", "v2")}
    fleet.publish()


def repartition(fleet):
    fleet.layouts["v3"] = build_layout(SHARDS * 2)
    fleet.lacking |= {(f"s{n}", "v2") for n in range(SHARDS // 2)}
    fleet.publish()


FAULTS = {
    "none": lambda fleet: None,
    "answers late": lambda fleet: setattr(fleet, "delay_s", DEADLINE_S),
    "answers lost": lambda fleet: setattr(fleet, "loses", True),
    "answers doubled": lambda fleet: setattr(fleet, "copies", 2),
    "answers reordered": lambda fleet: setattr(fleet, "reorders", True),
    "answers for another request": lambda fleet: setattr(fleet, "forges", True),
    "answers of another version": drop_version,
    "holder killed": kill_holder,
    "targets refuse": lambda fleet: setattr(fleet, "refusal", "shedding"),
    "targets drain": lambda fleet: setattr(fleet, "refusal", "draining"),
    "version unknown to its targets": lambda fleet: fleet.lacking.add(("s3", "v2")),
    "version switched": lambda fleet: (
        fleet.layouts.update(v3=build_layout(SHARDS)),
        fleet.publish(),
    ),
    "data repartitioned": repartition,
    "replica lost": lambda fleet: fleet.dead_targets.add("t3-0"),
    "replicas lost": lambda fleet: fleet.dead_targets.update(
        f"t{n}-0" for n in range(SHARDS)
    ),
    "both replicas lost": lambda fleet: fleet.dead_targets.update(["t3-0", "t3-1"]),
    "caller gone": lambda fleet: (
        fleet.calls["id-a"].scope.cancel() if "id-a" in fleet.calls else None
    ),
}


def check_call(fleet, call):
    """Compare an answer with what the fakes delivered."""
    if call.finished_at > call.started_at + DEADLINE_S:
        raise Violation("answered after the deadline")
    if call.left_working and not fleet.dead:
        raise Violation(f"work goes on after the end: {call.left_working}")
    if call.result is None and call.error is None:
        return
    coverage = (call.result or call.error).coverage
    delivered = {}
    for version, shard, _ in call.delivered:
        delivered.setdefault(version, set()).add(shard)
    if call.result is not None:
        check_result(call, delivered)
    is_early = call.finished_at < call.started_at + DEADLINE_S * 0.9
    # Work on a missing shard that was cancelled only because the run ended.
    lost = {shard for at, shard in call.cancelled if at == call.finished_at}
    lost = (lost | set(call.working.values())) & set(coverage.missing)
    if is_early and lost:
        raise Violation(f"gave up shards that were being worked on: {sorted(lost)}")
    if coverage.answered + len(coverage.missing) != coverage.total:
        raise Violation(f"coverage does not add up: {coverage}")
    if coverage.missing != sorted(coverage.missing):
        raise Violation("missing shards are not sorted")


def check_result(call, delivered):
    """Check the snapshot, the coverage and the owner of a result."""
    result, coverage = call.result, call.result.coverage
    if any(query != call.query for _, _, query in result.results):
        raise Violation("a result carries another caller's query")
    if {version for _, version, _ in result.results} - {result.version}:
        raise Violation("results of several versions in one answer")
    shards = [shard for shard, _, _ in result.results]
    if len(set(shards)) != len(shards):
        raise Violation("a shard appears twice")
    truth = delivered.get(result.version, set())
    if set(shards) != truth or coverage.answered != len(truth):
        raise Violation(f"states {coverage}, but {sorted(truth)} answered")
    count = SHARDS * 2 if len(truth | set(coverage.missing)) > SHARDS else SHARDS
    if truth | set(coverage.missing) != set(build_layout(count)):
        raise Violation("answered and missing shards are not the whole layout")


def play(fault, step):
    """Run one cell of the matrix and raise `Violation` if a promise broke."""
    fleet = Fleet(fault, step)
    calls = run_in_virtual_time(fleet.play)
    try:
        for call in calls:
            check_call(fleet, call)
    except Violation as violation:
        raise Violation(f"{fault} at {step}: {violation}") from None
    return fleet, calls


class SearchFaultTests(testtools.TestCase):
    """The matrix of faults and steps."""

    def test_every_fault_at_every_step(self):
        """Guards against a wrong, mixed, late or foreign answer under any fault."""
        reached = set()
        for fault, step in itertools.product(FAULTS, STEPS):
            fleet, _ = play(fault, step)
            reached |= fleet.steps_seen
        self.assertEqual(set(STEPS), reached)

    def test_faults_that_leave_one_replica_cost_no_coverage(self):
        """Guards against giving up a shard that another replica could answer."""
        for fault in ("none", "answers doubled", "holder killed", "replica lost"):
            _, calls = play(fault, "before")
            for call in calls:
                self.assertEqual([], call.result.coverage.missing, fault)

    def test_restart_answers_whole_from_the_other_version(self):
        """Guards against a partial answer where another version is complete."""
        for fault in ("answers of another version", "data repartitioned"):
            _, calls = play(fault, "sent")
            for call in calls:
                self.assertEqual("v3", call.result.version, fault)
                self.assertEqual([], call.result.coverage.missing, fault)


def take_again(self, number, vm_id, taken={}):  # noqa: B006
    """Take an attempt again for a second answer."""
    attempt = REAL_POP(self, number, vm_id)
    if attempt is not None:
        # Keeps the run alive too, so that its id is not used again.
        taken[id(self), number] = self, attempt
    elif (id(self), number) in taken:
        attempt = taken[id(self), number][1]
        attempt.shard_state.open_attempts.append(attempt)
        self._open_count += 1
    return attempt


def handle_any(self, vm_id, number, answers):
    """Accept answers without a look at the request id."""
    search = self._open_searches.get(number)
    if search is not None:
        now = trio.current_time()
        self._perform(search, search.run.handle_answers(answers.answers, now, vm_id))


def hide_missing(self):
    answered = sum(shard.is_answered for shard in self._shards)
    return searches.Coverage(answered, answered, [])


def resume_on(self, layout, now):
    """Restart only the shards that have no answer yet."""
    answered = {s.name: s for s in self._shards if s.is_answered}
    REAL_RESTART(self, layout, now)
    for shard in self._shards:
        if shard.name in answered:
            shard.is_answered, shard.result = True, answered[shard.name].result
            self._unanswered_count -= 1


REAL_POP = searches.SearchRun._pop_attempt
REAL_RESTART = searches.SearchRun._restart

RUN = searches.SearchRun
OLD = ("answers of another version", "sent")

MECHANISMS = (
    (RUN, "_is_current", lambda self, attempt: True, OLD, "gave up shards"),
    (RUN, "_restart", resume_on, OLD, "several versions in one answer"),
    (RUN, "_pop_attempt", take_again, ("answers doubled", "sent"), "gave up shards"),
    (RUN, "cancel", lambda self, now: (), ("caller gone", "sent"), "after the end"),
    (RUN, "coverage", hide_missing, ("answers lost", "sent"), "not the whole layout"),
    (
        searches.Searcher,
        "handle_answers",
        handle_any,
        ("answers for another request", "sent"),
        "another caller's query",
    ),
)


class MechanismTests(testtools.TestCase):
    """The oracles see each mechanism's absence."""

    def test_promise_breaks_without_each_mechanism(self):
        """Guards against oracles that would pass whatever the code does."""
        for owner, attribute, broken, cell, text in MECHANISMS:
            play(*cell)
            with mock.patch.object(owner, attribute, broken):
                violation = self.assertRaises(Violation, play, *cell)
            self.assertIn(text, str(violation), attribute)
