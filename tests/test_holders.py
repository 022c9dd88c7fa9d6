"""Tests of `HolderCore` and `Holder` in virtual time."""

import random

import testtools
import trio
import trio.testing

from tarragonchute import holdercore
from tarragonchute.dispatches import Abort, Answer, CloseClient, Dispatch, Probe
from tarragonchute.errors import (
    BadRequestError,
    DomainOutError,
    NoLeaseError,
    NotHolderError,
    Outcome,
)
from tarragonchute.holdercore import HolderCore
from tarragonchute.holders import Holder
from tarragonchute.limits import SAFE_IDLE_S
from tarragonchute.messages import BOOKING, ShardCancel, ShardGroup, ShardItem
from tarragonchute.settings import TargetSettings
from tarragonchute.targets import TargetAnswer
from tarragonchute.timers import TimerService


class FakePermission:
    """A `Permission` that raises the error which a test sets."""

    def __init__(self):
        self.error = None

    def check_target(self, target_id, now):
        if self.error is not None:
            raise self.error


def build_group(attempts, target="t1", remaining_ms=500, team="a", **more):
    items = [ShardItem(n, f"s{n}", target) for n in attempts]
    request_id = more.pop("request_id", "r1")
    return ShardGroup(request_id, team, "ds", "v1", {}, remaining_ms, items, **more)


def build_target(target_id="t1", slots=2, max_connections=25, domain="d1"):
    return TargetSettings(target_id, "127.0.0.1:1", domain, slots, max_connections)


class CoreTests(testtools.TestCase):
    """Admission, queueing, dispatch and answers of `HolderCore`."""

    def setUp(self):
        super().setUp()
        self._start_core()

    def _start_core(self):
        self.permission = FakePermission()
        self.core = HolderCore(self.permission, random.Random(1))
        self.now = 100.0
        self._gain_target(1)

    def _gain_target(self, epoch, state="warm"):
        """Gain the target and return its status immediately."""
        actions = self.core.set_targets([build_target()], epoch, self.now)
        self.assertEqual([Probe], [type(action) for action in actions])
        return self.core.handle_status("t1", state, self.now)

    def _submit(self, attempts, number=1, **more):
        return self.core.submit("e1", number, build_group(attempts, **more), self.now)

    def _complete(self, dispatch, code="ok", after=0.01, **more):
        self.now += after
        return self.core.complete(dispatch, TargetAnswer(code, **more), self.now)

    def _warm_up(self):
        (dispatch,) = self._submit([9000], number=9000, request_id="w")
        for n in range(9001, 9010):
            self._complete(dispatch)
            (dispatch,) = self._submit([n], number=n, request_id="w")
        self._complete(dispatch)
        self.assertEqual(2, self.core.get_row("t1").limit)

    def _answers(self, actions):
        return [
            (action.answer.attempt, action.answer.code, str(action.answer.outcome))
            for action in actions
            if type(action) is Answer
        ]

    def _dispatched(self, actions):
        return [action.attempt for action in actions if type(action) is Dispatch]

    def test_outcome_of_each_code(self):
        """Guards against reporting a request as not run that may have run."""
        codes = {
            "ok": Outcome.DONE,
            "shedding": Outcome.NOT_RUN,
            "draining": Outcome.NOT_RUN,
            "deadline_passed": Outcome.NOT_RUN,
            "version_missing": Outcome.NOT_RUN,
            "shard_unknown": Outcome.NOT_RUN,
            "connect_failed": Outcome.NOT_RUN,
            "bad_request": Outcome.NOT_RUN,
            "connection_lost": Outcome.UNKNOWN,
            "timed_out": Outcome.UNKNOWN,
            "wrong_answer": Outcome.UNKNOWN,
            "cancelled": Outcome.UNKNOWN,
            "a_new_code": Outcome.UNKNOWN,
        }
        for code, outcome in codes.items():
            self._start_core()
            (dispatch,) = self._submit([1], operation=BOOKING, idempotency_key="k")
            actions = self._complete(dispatch, code, versions=["v0"])
            self.assertEqual([(1, code, outcome)], self._answers(actions))
            self.assertEqual([], self._complete(dispatch, code), "answered twice")

    def test_cold_target_gets_one_request_at_a_time(self):
        """Guards against concurrent requests to a cold target."""
        actions = self._submit([1, 2, 3])
        self.assertEqual([1], self._dispatched(actions))
        actions = self._complete(actions[0])
        self.assertEqual([2], self._dispatched(actions))

    def test_first_request_after_an_idle_time_is_the_only_one(self):
        """Guards against concurrent requests to a target that restarted unnoticed.

        A restart of an idle target shows only in the next answer. An answer without
        a state, as after a cancel, does not end the limit of one request.
        """
        self._warm_up()
        self.now += SAFE_IDLE_S + 0.001
        (first, *_) = actions = self._submit([1, 2], number=1)
        self.assertEqual([1], self._dispatched(actions))
        self.core.cancel("e1", 1, ShardCancel("r1", [1]), self.now)
        actions = self._complete(first, "cancelled")
        self.assertEqual([2], self._dispatched(actions))
        self.assertEqual([], self._dispatched(self._submit([3], number=2)))
        (second,) = [action for action in actions if type(action) is Dispatch]
        actions = self._complete(second, state="cold", boot_id="b2")
        self.assertEqual([3], self._dispatched(actions))
        self.assertEqual(1, self.core.get_row("t1").limit)

    def test_warm_target_serves_all_slots_after_a_short_pause(self):
        """Guards against halving the throughput of a target that is in use."""
        self._warm_up()
        self.now += SAFE_IDLE_S / 2
        self.assertEqual([1, 2], self._dispatched(self._submit([1, 2])))

    def test_answer_after_an_idle_time_restores_all_slots(self):
        """Guards against a target that stays limited to one request forever."""
        self._warm_up()
        self.now += SAFE_IDLE_S + 0.001
        (first, *_) = self._submit([1, 2, 3], number=1)
        actions = self._complete(first, state="warm", boot_id="b1")
        self.assertEqual([2, 3], self._dispatched(actions))

    def test_deadline_of_a_dispatch_is_bounded(self):
        """Guards against a paused holder whose request arrives after the handover."""
        for remaining_ms, expected in ((200, 0.2), (5000, holdercore.MAX_SHARD_TIME_S)):
            self._start_core()
            (dispatch,) = self._submit([1], remaining_ms=remaining_ms)
            self.assertAlmostEqual(expected, dispatch.deadline - self.now)

    def test_refusals_at_submit(self):
        """Guards against dispatching a request that is not permitted or is too late."""
        cases = [
            (NoLeaseError(), {}, "no_lease"),
            (NotHolderError(), {}, "not_holder"),
            (DomainOutError(), {}, "domain_out"),
            (None, {"target": "t9"}, "not_holder"),
            (None, {"remaining_ms": 0}, "deadline_passed"),
            (None, {"remaining_ms": float("nan")}, "deadline_passed"),
        ]
        for error, more, code in cases:
            self._start_core()
            self.permission.error = error
            actions = self._submit([1], **more)
            self.assertEqual([(1, code, "not_run")], self._answers(actions))
            self.assertEqual({code: 1}, self.core.refused)

    def test_permission_is_checked_again_before_a_queued_request(self):
        """Guards against sending a request whose lease expired while it was queued."""
        (first,) = self._submit([1, 2])
        self.permission.error = NoLeaseError()
        actions = self._complete(first)
        self.assertEqual(
            [(1, "ok", "done"), (2, "no_lease", "not_run")], self._answers(actions)
        )

    def test_request_with_too_long_an_expected_wait_is_refused(self):
        """Guards against queueing a request that would be answered too late."""
        actions = self._submit(range(1, 20), remaining_ms=205)
        refused = self._answers(actions)
        # Each request takes 20 ms. One is in flight, so the seventh in the queue waits
        # for seven others, and three more service times are required.
        self.assertEqual(11, len(refused))
        self.assertEqual({"overloaded"}, {code for _, code, _ in refused})

    def test_queue_is_bounded_for_each_team(self):
        """Guards against unbounded memory, and a team that fills another's queue."""
        bound = holdercore.MAX_QUEUED_PER_TEAM
        actions = self._submit(range(bound + 9), remaining_ms=60000)
        self.assertEqual(8, len(self._answers(actions)))
        actions = self._submit([1], number=2, remaining_ms=60000, team="b")
        self.assertEqual([], actions)

    def test_order_by_deadline_within_a_team_and_fair_between_teams(self):
        """Guards against a busy team that delays the requests of other teams."""
        (dispatch,) = self._submit([1])
        self._submit([11, 12, 13, 14], number=2, remaining_ms=900)
        self._submit([15], number=3, remaining_ms=800)
        self._submit([21, 22], number=4, remaining_ms=950, team="b")
        order = []
        while dispatch is not None:
            actions = self._complete(dispatch)
            dispatch = actions[1] if len(actions) > 1 else None
            order += self._dispatched(actions)
        self.assertEqual([15, 21, 11, 22, 12, 13, 14], order)

    def test_queued_request_that_would_time_out_is_refused(self):
        """Guards against a slot that is occupied for long by a late answer."""
        (first,) = self._submit([1])
        self._submit([2], number=2, remaining_ms=100)
        actions = self._complete(first, after=0.05)
        self.assertEqual((2, "overloaded", "not_run"), self._answers(actions)[1])

    def test_connect_failure_at_the_deadline_does_not_change_the_state(self):
        """Guards against classifying a target as dead after a request timed out.

        A connection attempt that its deadline ended early says nothing about the
        target.
        """
        for remaining_ms, state in ((4, "cold"), (200, "dead")):
            self._start_core()
            (dispatch,) = self._submit([1], remaining_ms=remaining_ms)
            self._complete(dispatch, "connect_failed", after=remaining_ms / 1000)
            self.assertEqual(state, self.core.get_row("t1").state)

    def test_queued_request_expires(self):
        """Guards against a request that stays queued after its deadline."""
        self._submit([1])
        self._submit([2], number=2, remaining_ms=100)
        self.assertEqual([], self._answers(self.core.advance(self.now + 0.09)))
        actions = self.core.advance(self.now + 0.1)
        self.assertEqual([(2, "deadline_passed", "not_run")], self._answers(actions))
        self.assertEqual(0, self.core.count_queued())

    def test_slot_is_occupied_until_the_target_has_stopped(self):
        """Guards against two requests at a target that can handle one.

        After a lost connection the target may run the request until the deadline on
        its own clock.
        """
        times = {"ok": 0, "shedding": 0, "cancelled": 0}
        lost = dict.fromkeys(("connection_lost", "timed_out", "wrong_answer"), 0.45)
        for code, delay in {**times, **lost}.items():
            self._start_core()
            (dispatch,) = self._submit([1], remaining_ms=200)
            start = self.now
            self._complete(dispatch, code, after=0)
            self.assertEqual(1 if delay else 0, self.core.get_row("t1").in_flight)
            self.core.advance(start + delay - 0.01)
            self.assertEqual(1 if delay else 0, self.core.get_row("t1").in_flight)
            self.core.advance(start + delay + 0.001)
            self.assertEqual(0, self.core.get_row("t1").in_flight)

    def test_acknowledged_timeout_frees_the_slot_immediately(self):
        """Guards against a slot that stays occupied by a request that has ended."""
        for is_over, dispatched in ((True, [2]), (False, [])):
            self._start_core()
            (first,) = self._submit([1], remaining_ms=200)
            self._submit([2], number=2, remaining_ms=900)
            actions = self._complete(first, "timed_out", after=0.2, is_over=is_over)
            self.assertIn((1, "timed_out", "unknown"), self._answers(actions))
            self.assertEqual(dispatched, self._dispatched(actions))

    def test_exchange_that_never_ends(self):
        """Guards against a slot that is never freed when a client hangs."""
        (dispatch,) = self._submit([1], remaining_ms=200)
        actions = self.core.advance(self.now + 0.46)
        self.assertEqual([(1, "timed_out", "unknown")], self._answers(actions))
        self.assertIn(Abort, [type(action) for action in actions])
        self.assertEqual([], self._complete(dispatch))
        self.assertEqual(0, self.core.invariant_violations)

    def test_cancel(self):
        """Guards against requests for a caller that disconnected, and lost bookings."""
        cases = [
            # time of the cancellation, operation, its actions, requests in flight after
            ("before", "search", [], 0),
            ("queued", "search", [Answer], 1),
            ("in flight", "search", [Abort], 1),
            ("in flight", BOOKING, [], 1),
            ("after", "search", [], 0),
        ]
        for when, operation, expected, in_flight in cases:
            self._start_core()
            cancel = ShardCancel("r1", [2])
            if when == "before":
                self.core.cancel("e1", 1, cancel, self.now)
            if when == "queued":
                self._submit([1])
            sent = self._submit([2], operation=operation)
            if when == "after":
                self._complete(sent[0])
            actions = self.core.cancel("e1", 1, cancel, self.now)
            self.assertEqual(expected, [type(action) for action in actions], when)
            self.assertEqual(in_flight, self.core.get_row("t1").in_flight, when)
            if when == "before":
                self.assertEqual([(2, "cancelled", "not_run")], self._answers(sent))

    def test_duplicate_group(self):
        """Guards against running a request twice."""
        self._submit([1, 2])
        self.assertEqual([], self._submit([1, 2]))
        self.assertEqual(2, self.core.duplicates)
        actions = self._submit([1], request_id="r2")
        self.assertEqual([], actions, "a restarted VM may reuse a number")
        self.assertEqual(2, self.core.count_queued())

    def test_duplicate_window(self):
        """Guards against a repeated booking, and memory that grows without bound."""
        for operation, retention_s in (("search", 10.0), (BOOKING, 600.0)):
            self._start_core()
            self.core.cancel("e1", 1, ShardCancel("r1", [2]), self.now)
            (dispatch,) = self._submit([1], operation=operation)
            self._complete(dispatch)
            self.core.advance(self.now + retention_s - 1)
            self.assertEqual([], self._submit([1], operation=operation), operation)
            self.core.advance(self.now + retention_s + 1)
            actions = self._submit([1], operation=operation)
            self.assertEqual([1], self._dispatched(actions), operation)

    def test_removed_target(self):
        """Guards against reporting a release while requests are in flight."""
        (first,) = self._submit([1, 2])
        actions = self.core.set_targets([], 2, self.now)
        self.assertEqual([(2, "not_holder", "not_run")], self._answers(actions))
        self.assertEqual(1, self.core.released_epoch)
        self.assertEqual(["t1"], self.core.list_removed_in_flight())
        actions = self._complete(first)
        self.assertEqual([Answer, CloseClient], sorted(map(type, actions), key=str))
        self.assertEqual(2, self.core.released_epoch)
        self.assertEqual([], self.core.list_removed_in_flight())

    def test_target_regained_while_its_requests_are_in_flight(self):
        """Guards against not counting requests that still occupy slots."""
        self._submit([1])
        self.core.set_targets([], 2, self.now)
        self._gain_target(3)
        self.assertEqual(3, self.core.released_epoch)
        self.assertEqual([], self._dispatched(self._submit([5], number=5)))

    def test_gained_target_gets_no_work_before_its_status(self):
        """Guards against sending to a target that is not yet known to be draining."""
        cases = {
            "draining": [Answer, Answer],
            "warm": [Dispatch],
            None: [Dispatch],
        }
        for state, expected in cases.items():
            self.core.set_targets([], 2, self.now)
            self.core.set_targets([build_target()], 3, self.now)
            self.assertEqual([], self._submit([1, 2], number=state))
            self.assertEqual([], self.core.advance(self.now + 0.09))
            actions = self.core.handle_status("t1", state, self.now + 0.09)
            self.assertEqual(expected, [type(action) for action in actions], state)
            self._start_core()

    def test_gained_target_whose_status_does_not_come(self):
        """Guards against a target that gets no requests while its status read hangs."""
        self.core.set_targets([], 2, self.now)
        self.core.set_targets([build_target()], 3, self.now)
        self._submit([2], number=2, remaining_ms=85)
        self._submit([1])
        self.core.advance(self.now + 0.05)
        actions = self.core.advance(self.now + 0.09)
        self.assertEqual([(2, "deadline_passed", "not_run")], self._answers(actions))
        actions = self.core.advance(self.now + 0.1)
        self.assertEqual([1], self._dispatched(actions))

    def test_pause_does_not_count_as_wait_for_the_status(self):
        """Guards against sending to a draining target when a paused VM resumes.

        The pause lasts longer than the wait for the status, which then restarts.
        """
        self.core.advance(self.now)
        self.core.set_targets([], 2, self.now)
        self.core.set_targets([build_target()], 3, self.now)
        self.now += 0.7
        self.assertEqual([], self._submit([1]))
        self.assertEqual([], self.core.advance(self.now))
        self.assertEqual([], self.core.advance(self.now + 0.09))
        actions = self.core.handle_status("t1", "draining", self.now + 0.09)
        self.assertEqual([(1, "draining", "not_run")], self._answers(actions))

    def test_changed_settings_do_not_end_draining(self):
        """Guards against sending to a draining target whose slots were changed."""
        self.core.handle_status("t1", "draining", self.now)
        self.core.set_targets([build_target(slots=3)], 2, self.now)
        actions = self._submit([1])
        self.assertEqual([(1, "draining", "not_run")], self._answers(actions))
        self.core.handle_status("t1", "warm", self.now)
        self.assertEqual([2], self._dispatched(self._submit([2])))

    def test_changed_settings_wait_for_requests_in_flight(self):
        """Guards against two clients that together open too many connections."""
        self._warm_up()
        (first,) = self._submit([1])
        changed = [build_target(slots=1)]
        self.core.set_targets(changed, 2, self.now)
        self.assertEqual([], self._submit([2]))
        actions = self._complete(first)
        kinds = [type(action) for action in actions]
        self.assertEqual([CloseClient, Answer, Dispatch], kinds)
        self.assertEqual(1, self.core.get_row("t1").slots)

    def test_domain_out_and_in(self):
        """Guards against sending to a domain that is out, or full load afterwards."""
        self._warm_up()
        self._submit([1, 2, 3])
        actions = self.core.set_domain_out("d1", self.now)
        self.assertEqual([(3, "domain_out", "not_run")], self._answers(actions))
        actions = self._submit([4])
        self.assertEqual([(4, "domain_out", "not_run")], self._answers(actions))
        self.core.set_domain_in("d1", self.now)
        self.assertEqual(1, self.core.get_row("t1").limit)

    def test_unavailable_target_refuses_its_queue(self):
        """Guards against requests queued for a target that cannot serve them."""
        for code in ("draining", "connect_failed"):
            self._start_core()
            (first,) = self._submit([1, 2])
            actions = self._complete(first, code)
            expected = [(1, code, "not_run"), (2, code, "not_run")]
            self.assertEqual(expected, sorted(self._answers(actions)))
            actions = self._submit([3])
            self.assertEqual([(3, code, "not_run")], self._answers(actions))

    def test_probe_makes_a_dead_target_cold(self):
        """Guards against a dead target that is never used again."""
        (first,) = self._submit([1])
        self._complete(first, "connect_failed")
        self.now += 0.2
        actions = self.core.advance(self.now)
        self.assertEqual([Probe], [type(action) for action in actions])
        self.assertEqual([], self.core.advance(self.now + 9), "one at a time")
        self.core.handle_status("t1", "warm", self.now)
        self.assertEqual(1, self.core.get_row("t1").limit)

    def test_answers_carry_the_load(self):
        """Guards against routing that is unaware of a growing queue."""
        (first,) = self._submit([1, 2, 3])
        (answer, _) = self._complete(first)
        load = answer.answer.load
        self.assertEqual((1, 2), (load.limit, load.waiting))
        self.assertAlmostEqual(10.0, load.service_ms)


class _Client:
    """A client whose exchanges take a fixed time."""

    def __init__(self, seconds=0.05, answer="ok"):
        self.seconds = seconds
        self.answer = answer
        self.requests = []
        self.connections = 0
        self.cancels = 0
        self.is_closed = False

    async def exchange(self, request):
        self.requests.append(request)
        try:
            await trio.sleep(self.seconds)
        except trio.Cancelled:
            self.cancels += 1
            raise
        if isinstance(self.answer, Exception):
            raise self.answer
        return TargetAnswer(self.answer)

    async def fetch_status(self):
        return "warm"

    async def aclose(self):
        self.is_closed = True


class _RecordingLink:
    """A link that records the messages sent."""

    def __init__(self):
        self.sent = []

    def send(self, vm_id, kind, body, number=0):
        self.sent.append((vm_id, kind, body, number))
        return True


class HolderTests(testtools.TestCase):
    """`Holder` under trio on a virtual clock."""

    def _run(self, scenario, client):
        async def main():
            link = _RecordingLink()
            holder = Holder(
                FakePermission(),
                link,
                lambda settings, connections: client,
                wall_clock=lambda: 1000.0 + trio.current_time(),
            )
            service = TimerService(trio.current_time())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(service.run)
                await nursery.start(holder.run, service)
                holder.set_targets([build_target()], 1)
                await trio.testing.wait_all_tasks_blocked()
                self.assertIsNone(holder.core.get_row("t1").first_status_by)
                await scenario(holder, link)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_answers_come_back_and_the_deadline_is_wall_clock(self):
        """Guards against lost answers and a deadline taken from the wrong clock."""
        client = _Client()

        async def scenario(holder, link):
            start = trio.current_time()
            holder.submit("e1", 7, build_group([1, 2, 3]))
            await trio.sleep(0.2)
            answers = [item for _, _, body, _ in link.sent for item in body[1]]
            self.assertEqual([1, 2, 3], [item[0] for item in answers])
            self.assertEqual({("e1", 7)}, {(x[0], x[3]) for x in link.sent})
            expected = 1000.0 + start + 0.5
            self.assertAlmostEqual(expected, client.requests[0].deadline)

        self._run(scenario, client)

    def test_answers_are_batched(self):
        """Guards against a message for each refusal."""

        async def scenario(holder, link):
            holder.submit("e1", 7, build_group(range(1, 60), remaining_ms=100))
            await trio.sleep(0.01)
            self.assertEqual(1, len(link.sent))
            self.assertGreater(len(link.sent[0][2][1]), 50)

        self._run(scenario, _Client())

    def test_cancel_frees_the_slot_once_acknowledged(self):
        """Guards against a slot that is never freed, or freed too early."""

        async def scenario(holder, link):
            holder.submit("e1", 7, build_group([1, 2]))
            await trio.sleep(0.001)
            holder.cancel("e1", 7, ShardCancel("r1", [1]))
            self.assertEqual(1, holder.core.get_row("t1").in_flight)
            await trio.sleep(0.002)
            self.assertEqual(2, len(client.requests))
            self.assertEqual(1, client.cancels)

        client = _Client()
        self._run(scenario, client)

    def test_booking_that_comes_late_is_not_sent(self):
        """Guards against a booking that runs after its outcome became unknown."""

        async def scenario(holder, link):
            wall = 1000.0 + trio.current_time()
            for number, before in ((7, wall), (8, wall + 0.3), (9, wall + 60.0)):
                more = {"operation": BOOKING, "dispatch_before": before}
                holder.submit("e1", number, build_group([1], **more))
                await trio.sleep(0.1)
            (answer,) = link.sent[0][2][1]
            self.assertEqual([1, "deadline_passed", "not_run"], answer[:3])
            deadlines = [request.deadline for request in client.requests]
            self.assertEqual(2, len(deadlines))
            self.assertAlmostEqual(wall + 0.3, deadlines[0])
            self.assertAlmostEqual(wall + 0.2 + 0.5, deadlines[1])

        client = _Client()
        self._run(scenario, client)

    def test_pause_between_the_clocks_does_not_move_dispatch_before(self):
        """Guards against a holder that sends a booking late.

        The process pauses between the readings of the wall clock and the monotonic
        clock.
        """

        async def scenario(holder, link):
            holder.submit("e1", 7, build_group([1]))
            wall = 996.0 + trio.current_time()
            more = {"operation": BOOKING, "dispatch_before": wall + 0.5}
            wall_clock, holder._wall_clock = holder._wall_clock, lambda: wall
            holder.submit("e1", 8, build_group([1], remaining_ms=900, **more))
            holder._wall_clock = wall_clock
            self.assertEqual(1, holder.core.count_queued())
            await trio.sleep(0.1)
            self.assertEqual(wall + 0.5, client.requests[1].deadline)

        client = _Client()
        self._run(scenario, client)

    def test_dispatch_past_its_deadline_is_not_sent(self):
        """Guards against a request that is sent late.

        The process pauses between the permission check and the write.
        """

        async def scenario(holder, link):
            holder.submit("e1", 7, build_group([1]))
            holder._clock = lambda: trio.current_time() + 5.0
            await trio.sleep(0.001)
            self.assertEqual([], client.requests)
            (answer,) = link.sent[0][2][1]
            self.assertEqual([1, "deadline_passed", "not_run"], answer[:3])

        client = _Client()
        self._run(scenario, client)

    def test_client_error_ends_one_exchange_only(self):
        """Guards against an exception in one client that stops the whole holder."""

        async def scenario(holder, link):
            holder.submit("e1", 7, build_group([1], remaining_ms=100))
            await trio.sleep(0.5)
            client.answer = "ok"
            holder.submit("e1", 8, build_group([1], request_id="r2"))
            await trio.sleep(0.1)
            codes.extend(item[1] for _, _, body, _ in link.sent for item in body[1])

        cases = ((RuntimeError, "wrong_answer"), (BadRequestError, "bad_request"))
        for error, code in cases:
            codes = []
            client = _Client(answer=error("client fault"))
            with self.assertLogs("tarragonchute.holders", "WARNING"):
                self._run(scenario, client)
            self.assertEqual([code, "ok"], codes)

    def test_client_of_a_removed_target_is_closed(self):
        """Guards against open connections to targets that other VMs hold."""
        client = _Client()

        async def scenario(holder, link):
            holder.submit("e1", 7, build_group([1]))
            await trio.sleep(0.01)
            holder.set_targets([], 2)
            self.assertFalse(client.is_closed)
            await trio.sleep(0.1)
            self.assertTrue(client.is_closed)
            self.assertEqual(2, holder.core.released_epoch)

        self._run(scenario, client)
