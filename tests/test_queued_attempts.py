"""Tests of attempts that wait for room at a target, where there are customers.

The order itself is tested in `test_targetqueues`.
"""

import orjson
import testtools
import trio

from tarragonchute import errors
from tarragonchute.exchanges import Exchange, FailureKind, TargetReactor
from tarragonchute.fanout import DelegatedQuery
from tarragonchute.gatewaymetrics import QUEUE_REFUSALS, QUEUED_ATTEMPTS
from tarragonchute.httpio import HttpRequest
from tarragonchute.platform.decoding import decode_configuration
from tarragonchute.replicas import ReplyTimes
from tarragonchute.subsearches import SubsearchAnswer
from tarragonchute.targetadmission import QueuePolicy, RefusalReason
from tarragonchute.targetqueues import WaitTerms

from .test_customers import build_configuration_with_customers
from .test_exchanges import REQUEST, RecordingOwner, ScriptedTarget, build_reply
from .test_fanout import DelegatedSearch, FakeDelegate
from .test_notices import open_gateway
from .test_queries import FakePool, QueryHarness, build_search, build_single, finish
from .test_subsearches import build_subsearch
from .trial import run_async, run_in_virtual_time


class RecordingObserver:
    """Records waits and refusals."""

    def __init__(self):
        self.waits = []
        self.refusals = []

    def record_wait(self, wait_s):
        self.waits.append(wait_s)

    def record_refusal(self, reason):
        self.refusals.append(reason)


class WaitingOwner(RecordingOwner):
    """Names itself in its request when that is sent after a wait."""

    def update_request(self, exchange, now):
        exchange.request = REQUEST.replace(b"/x", b"/" + self.name)


class PoolHarness:
    """One target that replies on command, and a pool with customers."""

    def __init__(self, nursery, listener, slots, max_connections):
        self.observer = RecordingObserver()
        self.policy = QueuePolicy(self.observer)
        self.policy.is_active = True
        self.reactor = TargetReactor(b"request-id")
        address = listener.socket.getsockname()
        self.pool = self.reactor.open_pool(address, max_connections, self.policy, "s")
        self.pool.load.slots = slots
        self.pool.load.is_assigned = True
        self.usual_s = 0.02
        self.refuses = False
        self.permits = trio.Semaphore(0)
        self.target = ScriptedTarget([self._reply_on_command] * 50)
        nursery.start_soon(trio.serve_listeners, self.target.serve, [listener])
        nursery.start_soon(self.reactor.run)

    async def _reply_on_command(self, stream):
        await self.permits.acquire()
        reply = build_reply()
        if self.refuses:
            reply = reply.replace(b"200 OK", b"503 Busy")
        await stream.send_all(reply)

    def start(self, name, priority=1, limit_s=9.0, **terms):
        """Start an exchange; return its owner."""
        owner = WaitingOwner()
        owner.name = name
        now = trio.current_time()
        terms = WaitTerms(priority, "c", 1.0, now + limit_s, **terms)
        owner.exchange = Exchange(
            REQUEST, b"GET", b"r1", owner, now, None, self.usual_s, terms
        )
        self.pool.start(owner.exchange, now)
        return owner

    def list_paths(self):
        """Return the paths of the requests that the target has received."""
        return [data.split(b" ")[1] for data in self.target.requests]


def run_with_pool(slots=1, max_connections=8):
    """Wrap a test method to run with a `PoolHarness`."""

    def wrap(test):
        @run_async
        async def run(self):
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    harness = PoolHarness(nursery, listener, slots, max_connections)
                    await test(self, harness)
                    nursery.cancel_scope.cancel()
            harness.reactor.close()

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return wrap


class PoolTests(testtools.TestCase):
    """Bound, order and refusals of a pool, over real sockets."""

    @run_with_pool()
    async def test_order_beyond_the_bound(self, harness):
        """Guards against a target's own queue that decides the order.

        Two attempts are sent to a target with one slot. Of the others, hedges and
        retries go last, and the message of each is built when it is sent.
        """
        harness.usual_s = 0.5  # No reply is slow, so the bound stays the same.
        owners = [harness.start(b"x") for _ in range(2)]
        await trio.sleep(0.05)
        rows = [(b"retry", 0, True), (b"long", 1, False), (b"urgent", 0, False)]
        owners += [harness.start(name, p, is_extra=extra) for name, p, extra in rows]
        await trio.sleep(0.05)
        self.assertEqual([b"/x"] * 2, harness.list_paths())
        self.assertEqual(3, harness.pool.count_queued())
        for _ in range(len(owners)):
            harness.permits.release()
            await trio.sleep(0.02)
        for owner in owners:
            await owner.ended.wait()
        expected = [b"/urgent", b"/long", b"/retry"]
        self.assertEqual(expected, harness.list_paths()[2:])
        self.assertEqual(3, len(harness.observer.waits))

    @run_with_pool()
    async def test_no_bound_without_customers(self, harness):
        """Guards against any change where the configuration has no customers."""
        harness.policy.is_active = False
        owners = [harness.start(b"%d" % n, is_extra=n < 3) for n in range(9)]
        await trio.sleep(0.05)
        self.assertEqual(8, len(harness.target.requests))
        self.assertEqual(1, harness.pool.count_queued())
        for _ in owners:
            harness.permits.release()
        for owner in owners:
            await owner.ended.wait()
        self.assertEqual({b"/x"}, set(harness.list_paths()))

    @run_with_pool()
    async def test_attempt_that_would_be_late_is_refused(self, harness):
        """Guards against waits that cannot end within the time limit."""
        for _ in range(6):
            harness.start(b"x")
        refused = harness.start(b"late", limit_s=0.1)
        self.assertIs(FailureKind.NO_ROOM, refused.failure)
        self.assertEqual([RefusalReason.TOO_LATE], harness.observer.refusals)
        self.assertGreater(refused.exchange.drain_s, 0.05)
        self.assertIsNone(refused.exchange.sent_at)
        self.assertIsNone(harness.start(b"urgent", priority=0, limit_s=0.1).failure)

    @run_with_pool()
    async def test_attempt_that_has_become_late_is_refused(self, harness):
        """Guards against waiting until the time limit for a target that hangs."""
        for _ in range(2):
            harness.start(b"x")
        waiting = harness.start(b"late", limit_s=0.1)
        self.assertIsNone(waiting.failure)
        harness.pool.sweep(trio.current_time() + 0.2)
        self.assertIs(FailureKind.NO_ROOM, waiting.failure)
        self.assertEqual([RefusalReason.EXPIRED], harness.observer.refusals)

    @run_with_pool()
    async def test_cold_target_gets_no_late_attempt(self, harness):
        """Guards against reservations that are used together, after a wait."""
        for _ in range(2):
            harness.start(b"x")
        refused = harness.start(b"cold", is_reserved=True)
        self.assertIs(FailureKind.NO_ROOM, refused.failure)
        self.assertEqual([RefusalReason.RESERVATION], harness.observer.refusals)

    @run_with_pool()
    async def test_attempt_of_a_caller_who_left_is_not_sent(self, harness):
        """Guards against running requests for which no caller waits any more."""
        for _ in range(2):
            harness.start(b"x")
        left, next_one = harness.start(b"left"), harness.start(b"next")
        await trio.sleep(0.02)
        harness.pool.abandon(left.exchange, trio.current_time())
        for _ in range(3):
            harness.permits.release()
        await next_one.ended.wait()
        self.assertNotIn(b"/left", harness.list_paths())
        self.assertEqual(0, harness.pool.count_queued())

    @run_with_pool()
    async def test_new_connection_replaces_one_that_ended(self, harness):
        """Guards against attempts that wait for ever after a connection was lost."""
        owners = [harness.start(b"x") for _ in range(2)]
        waiting = harness.start(b"waiting")
        await trio.sleep(0.02)
        now = trio.current_time()
        harness.pool.abort_connection(owners[0].exchange.connection, "lost", now)
        # The task of the lost connection takes one permit.
        for _ in range(3):
            harness.permits.release()
        await waiting.ended.wait()
        self.assertIsNotNone(waiting.reply)

    @run_with_pool(slots=2)
    async def test_refusals_of_the_target_reduce_the_bound(self, harness):
        """Guards against a VM that keeps sending to a target which has no room."""
        harness.pool.load.is_assigned = False
        harness.refuses = True
        owners = [harness.start(b"x") for _ in range(3)]
        for owner in owners:
            harness.permits.release()
            await owner.ended.wait()
        self.assertEqual(1, harness.pool.load.compute_bound(trio.current_time()))
        harness.start(b"x")
        harness.start(b"waiting")
        await trio.sleep(0.02)
        self.assertEqual(1, harness.pool.count_queued())

    @run_with_pool(slots=2, max_connections=1)
    async def test_first_come_below_the_pressure(self, harness):
        """Guards against another order while a target has room.

        Attempts wait for the only connection, but fewer than the target has slots.
        """
        harness.start(b"x")
        await trio.sleep(0.02)
        for priority in (2, 1):
            harness.start(b"p%d" % priority, priority)
        for _ in range(3):
            harness.permits.release()
            await trio.sleep(0.02)
        self.assertEqual([b"/x", b"/p2", b"/p1"], harness.list_paths())


class FullPool(FakePool):
    """Has room for nothing, and keeps what is started or refuses it."""

    is_full = False
    refuses = False

    def has_room(self, now):
        return not self.is_full

    def start(self, exchange, now):
        super().start(exchange, now)
        if self.is_full:
            exchange.sent_at = None
            exchange.has_waited_for_room = True
            if self.refuses:
                exchange.finished_at = now
                exchange.drain_s = 0.4
                exchange.owner.handle_failure(exchange, FailureKind.NO_ROOM, "full")


class SubrequestTests(testtools.TestCase):
    """Retries, hedges and moves of attempts that wait."""

    def build_harness(self, services=("s",), full=(), refuses=True):
        """Return a harness whose targets with a number in `full` have no room."""
        harness = QueryHarness(list(services), replicas=2)
        harness.context.queue_policy.is_active = True
        for target in harness.registry.list_targets():
            target.pool = FullPool(harness.started)
            target.pool.refuses = refuses
            number = int(target.registration.target_id.rpartition("-")[2])
            target.pool.is_full = number in full
        return harness

    def get_target(self, harness, number):
        return harness.registry.get(f"s-{number}")

    def test_no_room_anywhere_is_503_with_a_delay(self):
        """Guards against callers that return before there is room, all at once."""
        harness = self.build_harness(full=(0, 1))
        query = build_single(harness, is_idempotent=False)
        error = finish(query, 0.0)
        self.assertIsInstance(error, errors.OverloadedError)
        self.assertEqual((503, errors.Outcome.NOT_RUN), (error.status, error.outcome))
        self.assertTrue(0.4 <= error.retry_after_s <= 0.6)
        self.assertEqual(2, query.describe()["no_room"])

    def test_other_target_is_tried_without_fault_or_budget(self):
        """Guards against blaming a full target, and against a lost request."""
        for full in (0, 1):
            harness = self.build_harness(full=(full,))
            query = build_single(harness, is_idempotent=False)
            sent = harness.started[-1]
            self.assertIs(self.get_target(harness, 1 - full), sent.target)
            self.assertFalse(sent.terms.is_extra)
            harness.reply(sent, 0.01, body=b"ok")
            self.assertEqual(b"ok", finish(query, 0.02).body)
            self.assertEqual(0, self.get_target(harness, full).failures)

    def test_shards_without_room_are_left_out(self):
        """Guards against an error where enough other shards reply."""
        harness = self.build_harness(["s", "t", "u", "v", "w"])
        for number in (0, 1):
            self.get_target(harness, number).pool.is_full = True
        query = build_search(harness, ["s", "t", "u", "v", "w"])
        for exchange in list(harness.started):
            if exchange.target.registration.service != "s":
                digest = exchange.target.encoded_id
                harness.reply(exchange, 0.01, digest=digest)
        self.assertTrue(query.is_finished)
        self.assertEqual(200, finish(query, 0.02).status)

    def test_delegated_shards_keep_the_terms_of_the_caller(self):
        """Guards against shards of other VMs that wait as if nobody's.

        Shards without room are not handed on either: a leader that is assigned them
        has no room for them anywhere.
        """
        harness = self.build_harness(["s", "t"])
        for number in (0, 1):
            self.get_target(harness, number).pool.is_full = True
        subsearch = build_subsearch(services=["s", "t"])
        subsearch.priority, subsearch.customer_name = 0, "c1"
        subsearch.weight = 4.0
        reports = []
        times = ReplyTimes(0.1, 0.1)
        query = DelegatedQuery(subsearch, harness.context, times, reports.append, 0.0)
        query.start(0.0)
        terms = harness.started[-1].terms
        expected = (0, "c1", 4.0, query.deadline)
        values = (terms.priority, terms.customer_name, terms.weight, terms.deadline)
        self.assertEqual(expected, values)
        self.assertEqual([], reports)
        answer = query.build_response()
        self.assertEqual((0.4, []), (answer.drain_s, answer.unasked))

    @run_in_virtual_time
    async def test_shards_without_room_go_to_no_other_leader(self):
        """Guards against leaders that add to the load of targets which have no room."""
        first, second = FakeDelegate("a"), FakeDelegate("b")
        search = DelegatedSearch(0, first, second)
        (delegated,) = first.delegated_shards
        delegated.handle_acknowledged(0.002)
        answer = SubsearchAnswer(1, True, False, [], b"", ["s0: no room"], [], 0.5)
        delegated.handle_answer(answer, 0.003)
        self.assertEqual([], second.subsearches)
        error = finish(search.query, 0.01)
        self.assertIsInstance(error, errors.OverloadedError)
        self.assertTrue(0.5 <= error.retry_after_s <= 0.75)

    def test_retry_is_marked(self):
        """Guards against retries that overtake first attempts."""
        harness = self.build_harness()
        build_single(harness)
        first = harness.started[0]
        harness.reply(first, 0.01, status=503, digest=None, Not_Run="1")
        marks = [exchange.terms.is_extra for exchange in harness.started]
        self.assertEqual([False, True], marks)

    def test_waiting_attempt_is_not_hedged(self):
        """Guards against hedges because of a wait here; the delay starts at sending."""
        harness = self.build_harness(full=(0, 1), refuses=False)
        query = build_single(harness)
        delay_s = query.reply_times.compute_hedge_delay_s()
        for step in range(1, 4):
            query.advance(step * delay_s + 0.001)
        self.assertEqual(1, len(harness.started))
        for number in (0, 1):
            self.get_target(harness, number).pool.is_full = False
        (exchange,) = harness.started
        exchange.sent_at = sent_at = 3.5 * delay_s
        exchange.owner.update_request(exchange, sent_at)
        self.assertIn(b"Time-Limit: %d" % (400 - sent_at * 1000), exchange.request)
        query.advance(4 * delay_s + 0.001)
        self.assertEqual(1, len(harness.started))
        self.assertAlmostEqual(sent_at + delay_s, query.get_next_due_time())
        query.advance(sent_at + delay_s)
        marks = [exchange.terms.is_extra for exchange in harness.started]
        self.assertEqual([False, True], marks)

    def test_hedge_waits_for_room(self):
        """Guards against hedges that spend the budget and then wait or are refused."""
        harness = self.build_harness()
        query = build_single(harness)
        other = self.get_target(harness, 0)
        if other is harness.started[0].target:
            other = self.get_target(harness, 1)
        other.pool.is_full = True
        delay_s = query.reply_times.compute_hedge_delay_s()
        query.advance(delay_s)
        self.assertEqual((1, 0), (len(harness.started), query.subrequests[0].hedges))
        other.pool.is_full = False
        query.advance(query.get_next_due_time())
        self.assertEqual((2, 1), (len(harness.started), query.subrequests[0].hedges))

    def test_waiting_attempt_is_moved(self):
        """Guards against a wait at a slow target while another has room."""
        harness = self.build_harness(full=(0, 1), refuses=False)
        query = build_single(harness, is_idempotent=False, max_attempts=1)
        waiting = harness.started[0]
        other = self.get_target(harness, 0)
        if other is waiting.target:
            other = self.get_target(harness, 1)
        other.pool.is_full = False
        other.suspect_until = 0.03
        query.advance(0.025)
        self.assertEqual(1, len(harness.started))
        query.advance(0.1)
        moved = harness.started[1]
        self.assertIs(other, moved.target)
        self.assertFalse(moved.terms.is_extra)
        self.assertEqual([waiting], waiting.pool.abandoned)
        harness.reply(moved, 0.11, body=b"ok")
        self.assertEqual(b"ok", finish(query, 0.12).body)

    def test_wait_does_not_count_as_reply_time(self):
        """Guards against later hedges because of a queue in this VM."""
        harness = self.build_harness(full=(0, 1), refuses=False)
        query = build_single(harness)
        exchange = harness.started[0]
        usual_s = query.reply_times.mean_s
        exchange.sent_at = 0.2
        harness.reply(exchange, 0.2 + usual_s)
        self.assertAlmostEqual(usual_s, query.reply_times.mean_s)
        self.assertEqual(200.0, query.describe()["queued_ms"])

    def test_no_fields_without_a_wait(self):
        """Guards against fields in the log lines of requests that did not wait."""
        harness = self.build_harness()
        query = build_single(harness)
        harness.reply(harness.started[0], 0.01)
        self.assertNotIn("queued_ms", query.describe())


class GatewayTests(testtools.TestCase):
    """A gateway whose configuration has customers, and stand-ins of targets."""

    async def call(self, deployment, key, number, limit_ms):
        headers = {
            "host": "h.example",
            "request-id": f"{key}-{number}",
            "request-deadline": str(limit_ms),
            "authorization": f"Bearer {key}",
        }
        lines = [(name.encode(), value.encode()) for name, value in headers.items()]
        path = "/order/1"
        request = HttpRequest("POST", path, {}, headers, b"", path.encode(), lines)
        try:
            return (await deployment.gateway.handle(request)).status, None
        except errors.TarragonchuteError as error:
            return error.status, error

    @run_async
    async def test_urgent_customer_goes_first_and_late_requests_are_refused(self):
        """Guards against an urgent customer behind a crowd, and silent time-outs.

        Of 30 requests of 50 ms at two slots, about 14 can be answered within 400 ms.
        """
        async with open_gateway(targets_per_service=1) as deployment:
            gateway, target = deployment.gateway, deployment.targets[0]
            body = orjson.loads(build_configuration_with_customers(2))
            gateway.apply_table(decode_configuration(orjson.dumps(body).decode()))
            target.delay_s = 0.05
            outcomes = []
            registered = gateway.registry.get(target.target_id)
            self.assertEqual(2, registered.pool.load.slots)

            async def call(key, number):
                outcome = await self.call(deployment, key, number, 400)
                outcomes.append((key, *outcome))

            await call("k2", 99)
            async with trio.open_nursery() as nursery:
                for number in range(30):
                    nursery.start_soon(call, "k2", number)
                await trio.sleep(0.02)
                self.assertGreater(self.read_gauge(gateway, QUEUED_ATTEMPTS), 5)
                nursery.start_soon(call, "k1", 0)
            self.assertIn(("k1", 200, None), outcomes)
            # Five were sent before it, and four every 50 ms if this process is late.
            self.assertLess(target.ran.index("k1-0"), 14)
            refused = [error for _, status, error in outcomes if status == 503]
            self.assertGreater(len(refused), 5)
            self.assertTrue(all(0.1 <= e.retry_after_s < 1.5 for e in refused))
            self.assertEqual({200, 503}, {status for _, status, _ in outcomes})
            self.assertEqual(32 - len(refused), len(target.ran))
            reasons = (RefusalReason.TOO_LATE, RefusalReason.EXPIRED)
            counts = [
                gateway.metrics.get_count(QUEUE_REFUSALS, reason.value)
                for reason in reasons
            ]
            self.assertEqual(len(refused), sum(counts))
            self.assertEqual(0, self.read_gauge(gateway, QUEUED_ATTEMPTS))

    def read_gauge(self, gateway, spec):
        return next(value for s, _, value in gateway.metrics.list_gauges() if s is spec)
