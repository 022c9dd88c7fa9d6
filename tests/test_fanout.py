"""Tests for searches that other VMs take part in, with fake VMs and no network.

Load and failure patterns covered here: a search over many shards at a small VM, a
leader that is paused, killed or slow, leaders that know no targets yet, and shards that
a leader has no reply for at the goal.
"""

import testtools

from tarragonchute.delegation import (
    ACK_GOAL_FRACTION,
    DelegatedShards,
    NoDelegation,
)
from tarragonchute.errors import TarragonchuteError
from tarragonchute.fanout import DelegatedQuery, SearchQuery
from tarragonchute.queries import build_outgoing
from tarragonchute.replicas import ReplyTimes
from tarragonchute.routes import Route
from tarragonchute.subsearches import SubsearchAnswer

from .test_queries import HEADER_NAMES, QueryHarness, build_request, finish
from .test_subsearches import build_subsearch
from .trial import run_in_virtual_time

SHARDS = [f"s{number}" for number in range(10)]
GOAL_S = 0.1
ACK_TIMEOUT_S = ACK_GOAL_FRACTION * GOAL_S


class FakeDelegate:
    """A VM that answers when the test calls `answer`."""

    def __init__(self, vm_id):
        self.vm = type("Vm", (), {"vm_id": vm_id})
        self.subsearches = []
        self.delegated_shards = []
        self.cancelled = []
        self.permitted = []
        self.is_unresponsive = False
        self.mean_ack_s = 0.0

    def send_subsearch(self, delegated, subsearch, now):
        subsearch.number = delegated.number = len(self.subsearches) + 1
        self.subsearches.append(subsearch)
        self.delegated_shards.append(delegated)

    def cancel(self, number, now):
        self.cancelled.append(number)

    def permit_retries(self, number, now):
        self.permitted.append(number)

    def record_ack_timeout(self, now):
        self.is_unresponsive = True

    def record_acknowledgement(self, elapsed_s, now):
        pass

    def answer(self, now, count=None, is_final=True, has_run=True, index=-1):
        """Acknowledge a subsearch, and answer with its first `count` shards."""
        delegated = self.delegated_shards[index]
        services = delegated.services if count is None else delegated.services[:count]
        digests = [f"d-{name}".encode() for name in services]
        records = b"".join(name.encode().rjust(16, b"r") for name in services)
        missing = [f"{name}: late" for name in delegated.services[len(services) :]]
        delegated.handle_acknowledged(now)
        delegated.handle_answer(
            SubsearchAnswer(1, is_final, has_run, digests, records, missing), now
        )


class FakeDelegation:
    """Keeps the first `own_count` shards, and delegates the others to one VM."""

    def __init__(self, own_count, *delegates):
        self.own_count = own_count
        self.delegates = delegates
        self.used = 1

    def plan(self, services, now):
        return services[: self.own_count], [
            (self.delegates[0], services[self.own_count :])
        ]

    def choose_untried(self, tried, now):
        return next((d for d in self.delegates if d not in tried), None)


class DelegatedSearch(QueryHarness):
    """A started search, some of whose shards are delegated."""

    def __init__(self, own_count, *delegates, max_attempts=2, slack=100.0):
        super().__init__(SHARDS, slack=slack)
        self.context.delegation = FakeDelegation(own_count, *delegates)
        route = Route(
            "r",
            "h",
            "/x/",
            timeout_s=0.4,
            goal_s=GOAL_S,
            max_attempts=max_attempts,
            shards=SHARDS,
            top=3,
            least_coverage=0.8,
        )
        outgoing = build_outgoing(build_request(), b"r1", HEADER_NAMES)
        reply_times = ReplyTimes(GOAL_S, 0.1)
        self.query = SearchQuery(
            self.context, route, 1, outgoing, 0.4, reply_times, 0.0
        )
        self.query.start(0.0)

    def answer_own(self, now):
        """Reply to all open requests that this VM sent itself."""
        for number, exchange in enumerate(list(self.started)):
            if exchange.owner is not None and exchange.finished_at is None:
                digest = f"own-{number}".encode()
                self.reply(exchange, now, digest=digest, body=b"o" * 16)


class DelegatedSearchTests(testtools.TestCase):
    """Shards of a search that are delegated to other VMs."""

    def test_priority_is_sent_only_with_customers(self):
        """Guards against messages that earlier versions do not accept.

        A public route of a configuration with customers keeps its priority.
        """
        delegate = FakeDelegate("vm-2")
        search = DelegatedSearch(4, delegate)
        search.query.priority = 2
        for is_active, expected in ((False, 0), (True, 2)):
            search.context.queue_policy.is_active = is_active
            subsearch = search.query.build_subsearch(SHARDS, 1, False, 0.0, 0.0)
            self.assertEqual(expected, subsearch.priority)

    @run_in_virtual_time
    async def test_answers_are_merged(self):
        """Guards against a response without the shards of this VM or of the leader.

        A small VM delegates some shards of a search over many.
        """
        leader = FakeDelegate("a")
        search = DelegatedSearch(4, leader)
        self.assertEqual(4, len(search.started))
        self.assertEqual(SHARDS[4:], list(leader.subsearches[0].services))
        search.answer_own(0.01)
        leader.answer(0.02)
        self.assertTrue(search.query.is_finished)
        response = finish(search.query, 0.02)
        digests = dict(response.header_lines)[b"Digests"].split(b", ")
        self.assertEqual(10, len(set(digests)))
        self.assertNotIn(b"Missing", dict(response.header_lines))
        self.assertEqual(3 * 16, len(response.body))
        self.assertEqual(b"s9".rjust(16, b"r"), response.body[:16])

    @run_in_virtual_time
    async def test_paused_leader_is_skipped(self):
        """Guards against searches that wait for a paused leader.

        It does not acknowledge, so the shards are delegated to another leader.
        """
        first, second = FakeDelegate("a"), FakeDelegate("b")
        search = DelegatedSearch(0, first, second)
        self.assertLessEqual(search.query.get_next_due_time(), ACK_TIMEOUT_S)
        search.query.advance(ACK_TIMEOUT_S)
        self.assertTrue(first.is_unresponsive)
        self.assertEqual([1], first.cancelled)
        # It may begin late, and must then make only one attempt for each shard.
        self.assertEqual([], first.permitted)
        self.assertTrue(second.subsearches[0].is_extra)
        self.assertEqual(1, second.subsearches[0].max_attempts)
        second.answer(0.03)
        self.assertEqual([1], second.permitted)
        self.assertEqual(200, finish(search.query, 0.03).status)

    @run_in_virtual_time
    async def test_without_another_leader_requests_go_to_targets(self):
        """Guards against searches that fail because all leaders were killed at once."""
        leader = FakeDelegate("a")
        search = DelegatedSearch(0, leader)
        leader.delegated_shards[0].handle_channel_loss("reset", 0.002)
        self.assertEqual(10, len(search.started))
        search.answer_own(0.02)
        self.assertEqual(200, finish(search.query, 0.02).status)

    @run_in_virtual_time
    async def test_replacing_a_leader_uses_the_retry_budget(self):
        """Guards against doubling the load of all targets when a leader is lost.

        The leader may have sent its requests already, so the new ones count as retries.
        """
        leader = FakeDelegate("a")
        search = DelegatedSearch(0, leader, slack=0.0)
        leader.delegated_shards[0].handle_channel_loss("reset", 0.002)
        self.assertEqual([], search.started)
        self.assertEqual(504, finish(search.query, 0.01).status)

    @run_in_virtual_time
    async def test_attempts_of_a_lost_leader_are_counted(self):
        """Guards against a shard that runs on more targets than its route permits."""
        leader = FakeDelegate("a")
        search = DelegatedSearch(0, leader, max_attempts=1)
        leader.delegated_shards[0].handle_channel_loss("reset", 0.002)
        self.assertEqual([], search.started)
        self.assertTrue(search.query.is_finished)

    @run_in_virtual_time
    async def test_losing_an_acknowledged_leader_fails_the_search(self):
        """Guards against more attempts than permitted if a working leader is killed.

        It may have used all attempts already. The search fails at once, so that the
        caller can retry in time.
        """
        first, second = FakeDelegate("a"), FakeDelegate("b")
        search = DelegatedSearch(0, first, second)
        first.delegated_shards[0].handle_acknowledged(0.002)
        first.delegated_shards[0].handle_channel_loss("reset", 0.01)
        self.assertTrue(search.query.is_finished)
        self.assertEqual([], second.subsearches)
        self.assertEqual(504, finish(search.query, 0.01).status)

    @run_in_virtual_time
    async def test_replacing_a_leader_without_targets_uses_no_budget(self):
        """Guards against failing searches after a mass restart.

        A leader that knows no targets yet has sent nothing, so that requests in its
        place are first attempts and need no retry budget.
        """
        leader = FakeDelegate("a")
        search = DelegatedSearch(0, leader, slack=0.0)
        leader.answer(0.003, count=0, has_run=False)
        self.assertEqual(10, len(search.started))

    @run_in_virtual_time
    async def test_shards_unknown_to_a_leader_are_reassigned(self):
        """Guards against missing shards whose targets a leader does not know.

        That happens to a leader whose requests the store rejects.
        """
        first, second = FakeDelegate("a"), FakeDelegate("b")
        search = DelegatedSearch(0, first, second, slack=0.0)
        (delegated,) = first.delegated_shards
        delegated.handle_acknowledged(0.002)
        unasked = SubsearchAnswer(1, False, True, [], b"", [], SHARDS[:4])
        delegated.handle_answer(unasked, 0.003)
        self.assertEqual(SHARDS[:4], second.subsearches[0].services)
        self.assertFalse(second.subsearches[0].is_extra)
        self.assertEqual(2, second.subsearches[0].max_attempts)
        first.answer(0.01)
        second.answer(0.02)
        self.assertEqual(10, search.query.included)
        self.assertEqual(200, finish(search.query, 0.02).status)

    @run_in_virtual_time
    async def test_attempts_of_a_paused_leader_count_for_shards_that_are_split_off(
        self,
    ):
        """Guards against a shard that runs on more targets than its route permits.

        The first leader may have asked for all shards. The second one, which replaces
        it, does not know targets of some.
        """
        first, second, third = (FakeDelegate(name) for name in "abc")
        search = DelegatedSearch(0, first, second, third)
        search.query.advance(ACK_TIMEOUT_S)
        (delegated,) = second.delegated_shards
        delegated.handle_acknowledged(0.03)
        unasked = SubsearchAnswer(1, False, True, [], b"", [], SHARDS[:4])
        delegated.handle_answer(unasked, 0.03)
        (subsearch,) = third.subsearches
        self.assertEqual(SHARDS[:4], subsearch.services)
        self.assertTrue(subsearch.is_extra)
        self.assertEqual(1, subsearch.max_attempts)

    @run_in_virtual_time
    async def test_requests_after_a_paused_leader_use_the_retry_budget(self):
        """Guards against doubling the load of all targets when a leader is paused.

        The second leader, which replaces it, has sent no request.
        """
        first, second, third = (FakeDelegate(name) for name in "abc")
        search = DelegatedSearch(0, first, second, third)
        search.query.advance(ACK_TIMEOUT_S)
        second.answer(0.03, count=0, has_run=False)
        (subsearch,) = third.subsearches
        self.assertTrue(subsearch.is_extra)
        self.assertEqual(1, subsearch.max_attempts)

    @run_in_virtual_time
    async def test_progress_at_the_goal_permits_a_partial_response(self):
        """Guards against waiting beyond the goal for one shard whose target pauses."""
        leader = FakeDelegate("a")
        search = DelegatedSearch(0, leader)
        leader.answer(0.05, count=9, is_final=False)
        self.assertFalse(search.query.is_finished)
        search.query.advance(search.query.goal_at)
        self.assertTrue(search.query.is_finished)
        response = finish(search.query, search.query.goal_at)
        self.assertEqual(b"1", dict(response.header_lines)[b"Missing"])
        self.assertEqual([1], leader.cancelled)

    @run_in_virtual_time
    async def test_too_few_shards_at_the_goal_wait_for_more(self):
        """Guards against failing a search that can still reach its coverage late."""
        leader = FakeDelegate("a")
        search = DelegatedSearch(0, leader)
        leader.answer(0.05, count=7, is_final=False)
        search.query.advance(search.query.goal_at)
        self.assertFalse(search.query.is_finished)
        leader.answer(0.2, count=8, is_final=False)
        self.assertTrue(search.query.is_finished)
        self.assertEqual(200, finish(search.query, 0.2).status)

    @run_in_virtual_time
    async def test_disconnected_caller_cancels_subsearches(self):
        """Guards against targets that work for a caller that has disconnected."""
        leader = FakeDelegate("a")
        search = DelegatedSearch(2, leader)
        search.query.close(0.02)
        self.assertEqual([1], leader.cancelled)

    @run_in_virtual_time
    async def test_partial_answer_is_due_early_enough_to_arrive(self):
        """Guards against losing all shards of a leader at the goal.

        Load pattern: some targets of most leaders are slow, so that each leader has a
        partial answer at the goal. It takes one way and the other VM's processing, as
        long as the subsearch took on its way there.
        """
        leader = FakeDelegate("a")
        leader.mean_ack_s = 0.005
        search = DelegatedSearch(0, leader)
        subsearch = leader.subsearches[0]
        arrival_at = subsearch.goal_left_s + leader.mean_ack_s
        self.assertLess(arrival_at, search.query.goal_at)

    @run_in_virtual_time
    async def test_time_limits_are_passed_to_the_leader(self):
        """Guards against giving targets more time than the caller has."""
        leader = FakeDelegate("a")
        search = DelegatedSearch(0, leader)
        subsearch = leader.subsearches[0]
        self.assertLessEqual(subsearch.target_limit_left_s, 0.4)
        self.assertLess(subsearch.goal_left_s, search.query.goal_at)
        self.assertLessEqual(subsearch.limit_left_s, search.query.deadline)


class DelegatedQueryTests(testtools.TestCase):
    """The part of another VM's search that was delegated to this VM."""

    def start(self, slack=100.0, **values):
        self.harness = QueryHarness(SHARDS, slack=slack)
        self.reports = []
        subsearch = build_subsearch(services=SHARDS, **values)
        query = DelegatedQuery(
            subsearch,
            self.harness.context,
            ReplyTimes(0.1, 0.1),
            self.reports.append,
            0.0,
        )
        query.start(0.0)
        return query

    def reply(self, count, now):
        """Reply to the first `count` open exchanges."""
        open_exchanges = [e for e in self.harness.started if e.finished_at is None]
        for number, exchange in enumerate(open_exchanges[:count]):
            digest = f"d{len(open_exchanges)}-{number}".encode()
            self.harness.reply(exchange, now, digest=digest, body=b"b" * 16)

    @run_in_virtual_time
    async def test_one_attempt_until_permission(self):
        """Guards against a third attempt for a shard by a leader that begins late.

        A leader that was skipped may begin late, in addition to the next one. Seen in a
        run: four searches ran on 3 targets of a shard where 2 were permitted.
        """
        query = self.start()
        query.advance(0.05)
        self.assertEqual(10, len(self.harness.started))
        self.harness.fail(self.harness.started[0], 0.05)
        self.assertEqual(10, len(self.harness.started))
        query.permit_retries(0.051)
        # The lost request is retried at once, the others are hedged.
        self.assertEqual(11, len(self.harness.started))
        query.advance(0.052)
        self.assertEqual(20, len(self.harness.started))

    @run_in_virtual_time
    async def test_final_answer_has_all_shards(self):
        """Guards against a final answer that lacks or repeats a shard."""
        query = self.start()
        self.reply(10, 0.01)
        self.assertTrue(query.is_finished)
        answer = query.build_response()
        self.assertTrue(answer.is_final)
        self.assertEqual(10, len(set(answer.digests)))
        self.assertEqual([], self.reports)

    @run_in_virtual_time
    async def test_progress_is_reported_from_the_goal_on(self):
        """Guards against withholding replies that the other VM needs at its goal."""
        query = self.start()
        self.reply(8, 0.01)
        query.advance(query.goal_at)
        query.advance(query.goal_at + 0.001)
        self.assertEqual([8], [len(answer.digests) for answer in self.reports])
        self.reply(1, query.goal_at + 0.002)
        self.assertEqual([8, 9], [len(answer.digests) for answer in self.reports])
        self.assertFalse(query.is_finished)

    @run_in_virtual_time
    async def test_replacement_requests_use_the_retry_budget(self):
        """Guards against replacing another VM's requests outside the retry budget."""
        query = self.start(slack=0.0, is_extra=True)
        self.assertEqual([], self.harness.started)
        answer = query.build_response()
        self.assertFalse(answer.has_run)

    @run_in_virtual_time
    async def test_unknown_shards_are_reported_at_once(self):
        """Guards against a late report of shards without a known target.

        The delegating VM can send them to another leader only after the report.
        """
        self.harness = QueryHarness(SHARDS[:9])
        self.harness.budgets[SHARDS[9]] = self.harness.budgets[SHARDS[0]]
        reports = []
        subsearch = build_subsearch(services=SHARDS)
        reply_times = ReplyTimes(0.1, 0.1)
        query = DelegatedQuery(
            subsearch, self.harness.context, reply_times, reports.append, 0.0
        )
        query.start(0.0)
        self.assertEqual([SHARDS[9:]], [answer.unasked for answer in reports])

    @run_in_virtual_time
    async def test_vm_without_targets_raises(self):
        """Guards against a search that waits for a leader that knows no targets."""
        harness = QueryHarness([])
        harness.budgets = {}
        subsearch = build_subsearch(services=["gone"])
        harness.context.get_retry_budget = lambda service: None
        query = DelegatedQuery(
            subsearch, harness.context, ReplyTimes(0.1, 0.1), lambda answer: None, 0.0
        )
        self.assertRaises(TarragonchuteError, query.start, 0.0)


class NoDelegationTests(testtools.TestCase):
    """A VM that has no other VMs to delegate to."""

    def test_no_shard_is_delegated(self):
        """Guards against shards that are assigned to no VM."""
        services, delegated = NoDelegation().plan(SHARDS, 0.0)
        self.assertEqual(SHARDS, services)
        self.assertEqual((), delegated)
        self.assertIsNone(NoDelegation().choose_untried([], 0.0))


class DelegatedShardsTests(testtools.TestCase):
    """Log fields of delegated shards."""

    @run_in_virtual_time
    async def test_log_has_the_vms_and_the_reason(self):
        """Guards against a log line that does not name the VMs that were tried."""
        first, second = FakeDelegate("a"), FakeDelegate("b")
        search = DelegatedSearch(0, first, second)
        search.query.advance(ACK_TIMEOUT_S)
        (delegated,) = search.query.describe()["delegated"]
        self.assertEqual(["a", "b"], delegated["vms"])
        self.assertEqual("no acknowledgement", delegated["reason"])
        self.assertIsInstance(search.query.delegated_shards[0], DelegatedShards)
