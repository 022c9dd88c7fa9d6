"""Tests of exchanges with a target: HTTP client, in-memory client and model."""

import contextlib
import functools
import time

import testtools
import trio
from trio.testing import MockClock

from standins.target import TargetServer
from tarragonchute.errors import BadRequestError
from tarragonchute.messages import BOOKING
from tarragonchute.targets import (
    HttpTargetClient,
    MemoryTarget,
    MemoryTargetClient,
    TargetRequest,
)
from tests.test_httpio import reserve_closed_port, start_server


def make_request(clock, request_id="r1", shard="s0", version="1", ttl_s=5.0, key=None):
    operation = BOOKING if key else "search"
    return TargetRequest(
        request_id, shard, version, "query", clock() + ttl_s, operation, key
    )


@contextlib.asynccontextmanager
async def open_memory_client(target, max_connections):
    yield MemoryTargetClient(target, max_connections, delay_s=0.001)


@contextlib.asynccontextmanager
async def open_http_client(target, max_connections):
    """Yield a client of a stand-in target that runs in this process."""
    async with start_server(None, serve=TargetServer(target).run) as address:
        client = HttpTargetClient("t1", address, max_connections)
        yield client
        await client.aclose()


def with_target(max_connections=4, service_s=0.005):
    """Run an async test with a `MemoryTarget` and a client of it."""

    def decorate(test):
        @functools.wraps(test)
        def run(self):
            async def main():
                target = MemoryTarget("t1", ["s0"], ["1", "2"], service_s=service_s)
                target.wall_clock = self.wall_clock
                async with self.open_client(target, max_connections) as client:
                    await test(self, target, client)

            trio.run(main, clock=self.make_clock())

        return run

    return decorate


class ExchangeTests:
    """Tests for both implementations of `TargetClient`."""

    def request(self, *args, **kwargs):
        return make_request(self.wall_clock, *args, **kwargs)

    async def cancel_exchange(self, target, client, **fields):
        """Cancel an exchange once the target runs its request."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.exchange, self.request(**fields))
            await target.wait_until_running()
            nursery.cancel_scope.cancel()

    @with_target()
    async def test_answer_fields_and_connection_reuse(self, target, client):
        """Guards against lost fields of an answer, and a new connection per request."""
        for _ in range(3):
            answer = await client.exchange(self.request(version="2"))
        self.assertEqual("ok", answer.code)
        self.assertEqual("2", answer.result["version"])
        self.assertEqual("warm", answer.state)
        self.assertEqual(target.boot_id, answer.boot_id)
        self.assertEqual(1, client.connections)
        self.assertEqual(1, target.counters.connections_peak)

    @with_target()
    async def test_refusals(self, target, client):
        """Guards against a refusal that counts as run or loses its code or versions."""

        async def check(code, **fields):
            answer = await client.exchange(self.request(**fields))
            self.assertEqual(code, answer.code)
            self.assertTrue(answer.is_provably_not_run)
            return answer

        answer = await check("version_missing", version="3")
        self.assertEqual(["1", "2"], answer.versions)
        await check("shard_unknown", shard="s/9")
        await check("deadline_passed", ttl_s=-1.0)
        target.is_shedding = True
        await check("shedding", key="k1")
        target.is_draining = True
        answer = await check("draining", key="k1")
        self.assertEqual("draining", answer.state)
        self.assertEqual("draining", await client.fetch_status())
        target.reported_state = "warm"
        self.assertEqual("warm", await client.fetch_status())
        self.assertEqual({}, target.counters.runs)

    @with_target()
    async def test_failures_that_may_have_run(self, target, client):
        """Guards against a booking that ran and is reported as not run.

        A lost answer, an answer with a wrong id and a timeout leave that open.
        """

        async def check(code, key, ttl_s=5.0):
            answer = await client.exchange(self.request(key=key, ttl_s=ttl_s))
            self.assertEqual(code, answer.code)
            self.assertFalse(answer.is_provably_not_run)
            self.assertEqual(code == "timed_out", answer.is_over)

        target.lose_answers = 1
        await check("connection_lost", "k1")
        target.wrong_ids = 1
        await check("wrong_answer", "k2")
        self.assertEqual(0, client.connections)
        target.service_s = 60.0
        await check("timed_out", "k3", ttl_s=0.2)
        self.assertEqual({"k1": 1, "k2": 1, "k3": 1}, target.counters.runs)

    @with_target(service_s=60.0)
    async def test_cancel_stops_the_request(self, target, client):
        """Guards against counting a slot as free while the target still uses it."""
        await self.cancel_exchange(target, client)
        self.assertEqual(0, target.running_count)
        self.assertEqual(1, target.counters.cancelled)

    @with_target(max_connections=1)
    async def test_unreachable_target(self, target, client):
        """Guards against a failed connection that keeps the only connection slot."""
        target.is_unreachable = True
        answer = await client.exchange(self.request())
        self.assertNotEqual("ok", answer.code)
        self.assertIsNone(await client.fetch_status())
        target.is_unreachable = False
        self.assertEqual("ok", (await client.exchange(self.request())).code)

    @with_target(max_connections=2)
    async def test_connection_limits(self, target, client):
        """Guards against more connections than the client or the target allows."""
        async with trio.open_nursery() as nursery:
            for number in range(6):
                request = self.request(f"r{number}")
                nursery.start_soon(client.exchange, request)
        self.assertEqual(2, target.counters.connections_peak)
        self.assertEqual(6, target.counters.finished)
        await client.aclose()
        target.max_connections = 0
        answer = await client.exchange(self.request())
        self.assertEqual("connection_lost", answer.code)

    @with_target(service_s=60.0)
    async def test_restart_loses_running_requests(self, target, client):
        """Guards against reporting a request lost in a restart as not run."""
        answers = []

        async def exchange():
            answers.append(await client.exchange(self.request(key="k1")))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(exchange)
            await target.wait_until_running()
            boot_id = target.boot_id
            target.restart()
        self.assertEqual("connection_lost", answers[0].code)
        self.assertEqual(0, client.connections)
        target.service_s = 0.0
        answer = await client.exchange(self.request())
        self.assertEqual("cold", answer.state)
        self.assertNotEqual(boot_id, answer.boot_id)


class MemoryTargetClientTests(ExchangeTests, testtools.TestCase):
    """The in-memory client, in virtual time."""

    open_client = staticmethod(open_memory_client)
    wall_clock = staticmethod(trio.current_time)

    def make_clock(self):
        return MockClock(autojump_threshold=0)


class HttpTargetClientTests(ExchangeTests, testtools.TestCase):
    """The HTTP client against a stand-in target in this process."""

    open_client = staticmethod(open_http_client)
    wall_clock = staticmethod(time.time)

    def make_clock(self):
        return None

    @with_target()
    async def test_duplicate_answer(self, target, client):
        """Guards against accepting a duplicate as the answer to the next request."""
        target.duplicate_answers = 1
        first = await client.exchange(self.request("r1", version="1"))
        second = await client.exchange(self.request("r2", version="2"))
        self.assertEqual(["1", "2"], [a.result["version"] for a in (first, second)])
        self.assertEqual(2, target.counters.finished)

    @with_target(max_connections=1, service_s=60.0)
    async def test_cancel_without_a_spare_connection(self, target, client):
        """Guards against releasing a connection before its request has ended.

        With all connections in use, no cancel can be sent; the exchange then ends
        when the target reaches the deadline.
        """
        await self.cancel_exchange(target, client, ttl_s=0.2)
        self.assertEqual(0, target.running_count)
        self.assertEqual(0, client.connections)
        self.assertEqual(1, target.counters.connections_peak)

    @with_target(service_s=60.0)
    async def test_timeout_says_whether_the_target_confirmed_the_end(
        self, target, client
    ):
        """Guards against counting a slot as free after an unconfirmed timeout."""

        async def exchange(request_id):
            started_at = trio.current_time()
            answer = await client.exchange(self.request(request_id, ttl_s=0.2))
            self.assertEqual("timed_out", answer.code)
            return answer.is_over, trio.current_time() - started_at

        is_over, seconds = await exchange("r1")
        self.assertTrue(is_over)
        self.assertLess(seconds, 0.4)
        # The target's clock is 5 s behind: it does not end the request in time, and it
        # does not acknowledge the cancel.
        target.wall_clock = lambda: self.wall_clock() - 5.0

        async def ignore_cancel(request_id):
            return False

        target.cancel = ignore_cancel
        is_over, seconds = await exchange("r2")
        self.assertFalse(is_over)
        # The deadline of 0.2 s plus MAX_CLOCK_SKEW_S.
        self.assertGreaterEqual(seconds, 0.44)
        self.assertEqual(1, target.running_count)

    @with_target(service_s=0.05)
    async def test_lost_connection_is_no_acknowledgement(self, target, client):
        """Guards against treating a lost connection as the confirmed end of a request.

        The cancel fails and the answer is lost, so the exchange must last until
        the deadline plus the allowed clock skew.
        """

        async def call_reserved(*args):
            client._pool.release(None)

        client._call_reserved = call_reserved
        target.lose_answers = 1
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            request = self.request(ttl_s=0.3)
            nursery.start_soon(client.exchange, request)
            await target.wait_until_running()
            nursery.cancel_scope.cancel()
        self.assertGreaterEqual(trio.current_time() - started_at, 0.5)

    @with_target(max_connections=1)
    async def test_key_that_is_no_valid_header_value(self, target, client):
        """Guards against header injection through a caller's key."""
        with testtools.ExpectedException(BadRequestError):
            await client.exchange(self.request(key="k\r\nX-Snapshot: 2"))
        self.assertEqual("ok", (await client.exchange(self.request())).code)

    @with_target()
    async def test_refused_connection(self, target, client):
        """Guards against treating an unsent request as one that may have run."""
        unconnected_client = HttpTargetClient("t1", await reserve_closed_port(), 1)
        self.assertEqual(
            "connect_failed", (await unconnected_client.exchange(self.request())).code
        )


class MemoryTargetTests(testtools.TestCase):
    """The model of a target, in virtual time."""

    def run_requests(self, target, count):
        async def main():
            started_at = trio.current_time()
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    request = make_request(trio.current_time, f"r{number}")
                    nursery.start_soon(target.handle, request)
            return trio.current_time() - started_at

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def make_target(self, **options):
        return MemoryTarget("t1", ["s0"], wall_clock=trio.current_time, **options)

    def test_requests_beyond_the_slots_are_counted(self):
        """Guards against a model that hides requests beyond the slots from tests."""
        target = self.make_target(slots=2)
        self.run_requests(target, 5)
        self.assertEqual(4, target.counters.greatest_work)
        self.assertEqual(2, target.counters.slot_breaches)
        self.assertEqual({"shedding": 1}, target.counters.refused)

    def test_requests_beyond_the_cold_limit_are_counted(self):
        """Guards against a model that hides overload of a cold target from tests."""
        target = self.make_target(state="cold", service_s=0.01)
        target.warm_after = 2
        self.assertAlmostEqual(0.05, self.run_requests(target, 1))
        self.assertAlmostEqual(0.2, self.run_requests(target, 2))
        self.assertEqual(1, target.counters.cold_breaches)
        self.assertEqual(2, target.counters.greatest_cold_work)
        self.assertEqual("warm", target.state)
        self.assertAlmostEqual(0.01, self.run_requests(target, 1))

    def test_request_after_its_cancel_is_refused(self):
        """Guards against a request that starts after its cancel was acknowledged."""
        target = self.make_target()

        async def main():
            await target.cancel("r1")
            return await target.handle(make_request(trio.current_time))

        self.assertEqual("cancelled", trio.run(main).code)
        self.assertEqual(0, target.counters.greatest_work)
