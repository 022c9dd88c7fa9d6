"""Faults injected at each step of a search.

The results are compared with what the fake holders and targets answered.
"""

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
SLOW_TARGET = "t0-0"

STEPS = ("before", "sent", "first answer", "half", "resent", "last answer", "late")


def run_in_virtual_time(function, *args, seed=1):
    """Run trio with a virtual clock and a repeatable order of tasks.

    Trio shuffles the order of runnable tasks; a fixed seed makes failures repeatable.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    run = trio._core._run
    with (
        mock.patch.object(run, "_ALLOW_DETERMINISTIC_SCHEDULING", True),
        mock.patch.object(run, "_r", random.Random(seed)),
    ):
        return trio.run(function, *args, clock=clock)


class Violation(AssertionError):
    """A guarantee to callers that was broken."""


def build_layout(count):
    """Return a layout of shards with two replicas each."""
    return {f"s{n}": [f"t{n}-0", f"t{n}-1"] for n in range(count)}


class Call:
    """One caller's search and what the fakes did for it.

    Attributes
    ----------
    open_attempts : dict of int to str
        Attempts on which the targets work, with their shards.
    open_at_end : dict of int to str
        The open attempts when the search ended.
    sent_shards : set of tuple of str
        Version and shard of all attempts.
    delivered : list of tuple
        Version, shard and attempt of each result delivered before the search ended.
    cancelled : list of tuple
        Time and shard of each cancelled attempt.
    """

    def __init__(self, name):
        self.name = name
        self.query = {"caller": name}
        self.request_id = f"id-{name}"
        self.number = None
        self.open_attempts = {}
        self.open_at_end = {}
        self.sent_shards = set()
        self.delivered = []
        self.cancelled = []
        self.scope = trio.CancelScope()
        self.started_at = None
        self.finished_at = None
        self.result = None
        self.error = None


class Fleet:
    """Fake holders and targets behind the link, with one fault at one step."""

    def __init__(self, fault, step, seed=1):
        self.random = random.Random(seed)
        self.fault = fault
        self.step = step
        self.chooser = SnapshotChooser()
        self.layouts = {v: build_layout(SHARDS) for v in ("v1", "v2")}
        self.publish()
        self.missing_versions = set()
        self.dead_vms = set()
        self.dead_targets = set()
        self.refusal = None
        self.delay_s = self.extra_copies = 0
        self.loses_answers = self.reorders_answers = self.sends_foreign_answers = False
        self.calls = {}
        self.steps_reached = set()
        router = Router(self.find_holder, random.Random(seed))
        numbers = itertools.count(1)
        self.searcher = searches.Searcher(
            self, self.chooser, router, Budgets(), numbers
        )

    def publish(self):
        """Pass the current layouts to the chooser."""
        self.chooser.set_layouts("books", self.layouts)

    def find_holder(self, target):
        """Return the holder of a target; replicas of a shard have different ones."""
        shard, replica = target[1:].split("-")
        return f"vm{(int(shard) + int(replica)) % HOLDERS}"

    def reach_step(self, step):
        """Inject the fault if this is its step, the first time it is reached."""
        if step not in self.steps_reached:
            self.steps_reached.add(step)
            if step == self.step:
                FAULTS[self.fault](self)

    # Link

    def send(self, vm_id, kind, body, number=0):
        if vm_id in self.dead_vms:
            return False
        if kind == ShardCancel.KIND:
            message = ShardCancel.from_body(body)
            call = self.calls[message.request_id]
            now = trio.current_time()
            for attempt in message.attempts:
                shard = call.open_attempts.pop(attempt, None)
                call.cancelled.append((now, shard))
            return True
        group = ShardGroup.from_body(body)
        call = self.calls[group.request_id]
        call.number = number
        for item in group.items:
            call.open_attempts[item.attempt] = item.shard
            is_resent = (group.version, item.shard) in call.sent_shards
            call.sent_shards.add((group.version, item.shard))
            self.nursery.start_soon(self.serve, vm_id, call, group, item)
            if is_resent:
                self.reach_step("resent")
        self.reach_step("sent")
        return True

    async def serve(self, vm_id, call, group, item):
        """Simulate the holder and the target of one attempt."""
        is_slow = item.target == SLOW_TARGET
        answer = self.build_answer(group, item)
        # Refusals arrive sooner, so that results arrive before and after a restart.
        span = 6 if answer.code == "ok" else 2
        factor = 30 if is_slow else 1 + span * self.random.random()
        await trio.sleep(SERVICE_S * factor)
        if item.target in self.dead_targets:
            return
        if self.reorders_answers:
            await trio.sleep(self.random.random() * SERVICE_S * 4)
        await trio.sleep(self.delay_s)
        if self.loses_answers and self.random.random() < 0.5:
            return
        for _ in range(1 + self.extra_copies):
            if vm_id in self.dead_vms:
                return
            if self.sends_foreign_answers:
                self.deliver_foreign_answer(vm_id, call, answer)
            self.deliver(vm_id, call, answer, group.version, item.shard)

    def build_answer(self, group, item):
        if self.refusal and self.random.random() < 0.5:
            return ShardAnswer(item.attempt, self.refusal, "not_run")
        if (item.shard, group.version) in self.missing_versions:
            others = [
                v for v in self.layouts if (item.shard, v) not in self.missing_versions
            ]
            code = "version_missing"
            return ShardAnswer(item.attempt, code, "not_run", versions=others)
        result = [item.shard, group.version, group.query]
        return ShardAnswer(item.attempt, "ok", "done", result)

    def deliver(self, vm_id, call, answer, version, shard):
        message = ShardAnswers(call.request_id, [answer])
        if call.finished_at is None and answer.code == "ok":
            call.delivered.append((version, shard, answer.attempt))
        if answer.code != "ok":
            call.open_attempts.pop(answer.attempt, None)
        self.searcher.handle_answers(vm_id, call.number, message)
        call.open_attempts.pop(answer.attempt, None)
        answered_count = len({shard for _, shard, _ in call.delivered})
        if answered_count >= 1:
            self.reach_step("first answer")
        if answered_count >= SHARDS // 2:
            self.reach_step("half")
        if answered_count >= SHARDS - 1:
            self.reach_step("last answer")

    def deliver_foreign_answer(self, vm_id, call, answer):
        """Deliver another caller's answer with this request's and an unused number."""
        other = "id-b" if call.request_id == "id-a" else "id-a"
        result = ["s0", "v2", self.calls[other].query]
        foreign = ShardAnswer(answer.attempt, "ok", "done", result)
        message = ShardAnswers(other, [foreign])
        self.searcher.handle_answers(vm_id, call.number, message)
        self.searcher.handle_answers(vm_id, 999, message)

    # Run

    async def run_searches(self):
        """Run the searches of two callers at once and return their calls."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.reach_step("before")
            async with trio.open_nursery() as callers:
                for name in ("a", "b"):
                    call = Call(name)
                    self.calls[call.request_id] = call
                    callers.start_soon(self.search, call)
                await trio.sleep(DEADLINE_S * 0.9)
                self.reach_step("late")
            nursery.cancel_scope.cancel()
        return list(self.calls.values())

    async def search(self, call):
        call.started_at = trio.current_time()
        with call.scope:
            try:
                call.result = await self.searcher.search(
                    "team", "books", call.query, DEADLINE_S, 0.5, call.request_id
                )
            except errors.TarragonchuteError as error:
                call.error = error
        call.finished_at = trio.current_time()
        call.open_at_end = dict(call.open_attempts)


def kill_holder(fleet):
    fleet.dead_vms.add("vm1")
    fleet.searcher.handle_holder_lost("vm1")


def drop_version(fleet):
    """Publish a new version; targets of some shards drop the pinned one."""
    fleet.layouts["v3"] = build_layout(SHARDS)
    fleet.missing_versions |= {("s0", "v2"), ("s1", "v2")}
    fleet.publish()


def repartition_data(fleet):
    fleet.layouts["v3"] = build_layout(SHARDS * 2)
    fleet.missing_versions |= {(f"s{n}", "v2") for n in range(SHARDS // 2)}
    fleet.publish()


FAULTS = {
    "none": lambda fleet: None,
    "answers late": lambda fleet: setattr(fleet, "delay_s", DEADLINE_S),
    "answers lost": lambda fleet: setattr(fleet, "loses_answers", True),
    "answers duplicated": lambda fleet: setattr(fleet, "extra_copies", 2),
    "answers reordered": lambda fleet: setattr(fleet, "reorders_answers", True),
    "answers for another request": lambda fleet: setattr(
        fleet, "sends_foreign_answers", True
    ),
    "pinned version dropped": drop_version,
    "holder killed": kill_holder,
    "targets overloaded": lambda fleet: setattr(fleet, "refusal", "shedding"),
    "targets draining": lambda fleet: setattr(fleet, "refusal", "draining"),
    "version missing on its targets": lambda fleet: fleet.missing_versions.add(
        ("s3", "v2")
    ),
    "new version published": lambda fleet: (
        fleet.layouts.update(v3=build_layout(SHARDS)),
        fleet.publish(),
    ),
    "data repartitioned": repartition_data,
    "replica lost": lambda fleet: fleet.dead_targets.add("t3-0"),
    "replicas lost": lambda fleet: fleet.dead_targets.update(
        f"t{n}-0" for n in range(SHARDS)
    ),
    "both replicas lost": lambda fleet: fleet.dead_targets.update(["t3-0", "t3-1"]),
    "caller left": lambda fleet: (
        fleet.calls["id-a"].scope.cancel() if "id-a" in fleet.calls else None
    ),
}


def check_call(fleet, call):
    """Raise `Violation` if a call disagrees with what the fakes did."""
    if call.finished_at > call.started_at + DEADLINE_S:
        raise Violation("answered after the deadline")
    if call.open_at_end and not fleet.dead_vms:
        raise Violation(f"attempts are open after the search ended: {call.open_at_end}")
    if call.result is None and call.error is None:
        return
    coverage = (call.result or call.error).coverage
    delivered = {}
    for version, shard, _ in call.delivered:
        delivered.setdefault(version, set()).add(shard)
    if call.result is not None:
        check_result(call, delivered)
    is_early = call.finished_at < call.started_at + DEADLINE_S * 0.9
    # Missing shards whose attempts were only cancelled because the run ended.
    lost = {shard for at, shard in call.cancelled if at == call.finished_at}
    lost = (lost | set(call.open_attempts.values())) & set(coverage.missing)
    if is_early and lost:
        raise Violation(f"ended while shards had open attempts: {sorted(lost)}")
    if coverage.answered + len(coverage.missing) != coverage.total:
        raise Violation(f"coverage does not add up: {coverage}")
    if coverage.missing != sorted(coverage.missing):
        raise Violation("missing shards are not sorted")


def check_result(call, delivered):
    """Raise `Violation` if a result has a wrong snapshot, coverage or query."""
    result, coverage = call.result, call.result.coverage
    if any(query != call.query for _, _, query in result.results):
        raise Violation("a result carries another caller's query")
    if {version for _, version, _ in result.results} - {result.version}:
        raise Violation("results of several versions in one answer")
    shards = [shard for shard, _, _ in result.results]
    if len(set(shards)) != len(shards):
        raise Violation("a shard appears twice")
    answered = delivered.get(result.version, set())
    if set(shards) != answered or coverage.answered != len(answered):
        raise Violation(f"reports {coverage}, but {sorted(answered)} answered")
    count = SHARDS * 2 if len(answered | set(coverage.missing)) > SHARDS else SHARDS
    if answered | set(coverage.missing) != set(build_layout(count)):
        raise Violation("answered and missing shards are not the whole layout")


def run_case(fault, step):
    """Run one case of the matrix; raise `Violation` if a guarantee was broken."""
    fleet = Fleet(fault, step)
    calls = run_in_virtual_time(fleet.run_searches)
    try:
        for call in calls:
            check_call(fleet, call)
    except Violation as violation:
        raise Violation(f"{fault} at {step}: {violation}") from None
    return fleet, calls


class SearchFaultTests(testtools.TestCase):
    """All combinations of faults and steps."""

    def test_every_fault_at_every_step(self):
        """Guards against wrong answers under any fault.

        An answer must not be late, mix versions, misreport its coverage or hold results
        of another caller's query.
        """
        reached = set()
        for fault, step in itertools.product(FAULTS, STEPS):
            fleet, _ = run_case(fault, step)
            reached |= fleet.steps_reached
        self.assertEqual(set(STEPS), reached)

    def test_faults_that_leave_one_replica_keep_full_coverage(self):
        """Guards against a missing shard that another replica could answer."""
        for fault in ("none", "answers duplicated", "holder killed", "replica lost"):
            _, calls = run_case(fault, "before")
            for call in calls:
                self.assertEqual([], call.result.coverage.missing, fault)

    def test_restart_returns_all_shards_of_the_other_version(self):
        """Guards against a partial answer while another version is complete."""
        for fault in ("pinned version dropped", "data repartitioned"):
            _, calls = run_case(fault, "sent")
            for call in calls:
                self.assertEqual("v3", call.result.version, fault)
                self.assertEqual([], call.result.coverage.missing, fault)


def pop_again(self, number, vm_id, popped={}):  # noqa: B006
    """Accept a second answer to an attempt."""
    attempt = REAL_POP(self, number, vm_id)
    if attempt is not None:
        # The reference keeps the run alive, so that its `id` is not reused.
        popped[id(self), number] = self, attempt
    elif (id(self), number) in popped:
        attempt = popped[id(self), number][1]
        attempt.shard_state.open_attempts.append(attempt)
        self._current_open_count += 1
    return attempt


def handle_answers_of_any_request(self, vm_id, number, answers):
    """Accept answers without checking their request id."""
    search = self._open_searches.get(number)
    if search is not None:
        now = trio.current_time()
        self._send_messages(
            search, search.run.handle_answers(answers.answers, now, vm_id)
        )


def hide_missing_shards(self):
    answered = sum(shard.is_answered for shard in self._shards)
    return searches.Coverage(answered, answered, [])


def restart_unanswered_shards(self, layout, now):
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
VERSION_DROPPED = ("pinned version dropped", "sent")

MECHANISMS = (
    (
        RUN,
        "_is_current",
        lambda self, attempt: True,
        VERSION_DROPPED,
        "ended while shards",
    ),
    (
        RUN,
        "_restart",
        restart_unanswered_shards,
        VERSION_DROPPED,
        "several versions in one answer",
    ),
    (
        RUN,
        "_pop_attempt",
        pop_again,
        ("answers duplicated", "sent"),
        "ended while shards",
    ),
    (
        RUN,
        "cancel",
        lambda self, now: (),
        ("caller left", "sent"),
        "after the search ended",
    ),
    (
        RUN,
        "coverage",
        hide_missing_shards,
        ("answers lost", "sent"),
        "not the whole layout",
    ),
    (
        searches.Searcher,
        "handle_answers",
        handle_answers_of_any_request,
        ("answers for another request", "sent"),
        "another caller's query",
    ),
)


class MechanismTests(testtools.TestCase):
    """The checks detect each mechanism that is switched off."""

    def test_checks_fail_without_each_mechanism(self):
        """Guards against checks that pass whatever the code does."""
        for owner, attribute, replacement, case, text in MECHANISMS:
            run_case(*case)
            with mock.patch.object(owner, attribute, replacement):
                violation = self.assertRaises(Violation, run_case, *case)
            self.assertIn(text, str(violation), attribute)
