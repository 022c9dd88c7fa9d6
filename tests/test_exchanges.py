"""Tests of exchanges with targets, on real loopback sockets."""

import contextlib
import socket
import struct

import testtools
import trio

from tarragonchute import exchanges
from tarragonchute.exchanges import Exchange, FailureKind, TargetReactor

from .trial import run_async

REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\nRequest-Id: r1\r\n\r\n"


def build_reply(request_id=b"r1", body=b"hello", extra=b""):
    """Return the bytes of a reply."""
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n%bContent-Length: %d\r\n\r\n"
    return head % (request_id, extra, len(body)) + body


class RecordingOwner:
    """Keeps how its exchange ended."""

    def __init__(self):
        self.reply = None
        self.failure = None
        self.ended = trio.Event()

    def handle_reply(self, exchange, reply):
        self.reply = reply
        self.ended.set()

    def handle_failure(self, exchange, kind, reason):
        self.failure = kind
        self.ended.set()


class ScriptedTarget:
    """Answers each request with the next item of a script.

    Items are bytes to send, or a function that takes the stream. A connection is
    closed after an item that is followed by None.
    """

    def __init__(self, script):
        self.script = list(script)
        self.requests = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some(65536):
                self.requests.append(data)
                item = self.script.pop(0)
                if callable(item):
                    await item(stream)
                elif item is not None:
                    await stream.send_all(item)
                if self.script and self.script[0] is None:
                    self.script.pop(0)
                    break
        await stream.aclose()


async def reset(stream):
    """End a connection with a reset."""
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


async def never_reply(stream):
    """Keep a request unanswered until the connection ends."""
    await stream.receive_some(1)


@contextlib.asynccontextmanager
async def open_pool(script, max_connections=1):
    """Yield ``(target, pool)`` with a reactor that runs."""
    target = ScriptedTarget(script)
    reactor = TargetReactor(b"request-id")
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, target.serve, [listener])
            nursery.start_soon(reactor.run)
            address = listener.socket.getsockname()
            yield target, reactor.open_pool(address, max_connections)
            nursery.cancel_scope.cancel()
    reactor.close()


def start(pool, request_id=b"r1"):
    """Start an exchange and return its owner."""
    owner = RecordingOwner()
    now = trio.current_time()
    owner.exchange = Exchange(REQUEST, b"GET", request_id, owner, now)
    pool.start(owner.exchange, now)
    return owner


async def run_exchange(pool, request_id=b"r1"):
    """Run one exchange to its end and return the owner."""
    owner = start(pool, request_id)
    await owner.ended.wait()
    return owner


class ExchangeTests(testtools.TestCase):
    """Replies, faults and what they say about the request."""

    @run_async
    async def test_connection_is_reused(self):
        """Guards against a new connection for each request."""
        async with open_pool([build_reply(), build_reply()]) as (target, pool):
            for _ in range(2):
                owner = await run_exchange(pool)
                self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(1, target.connections)

    @run_async
    async def test_reply_to_another_request_is_dropped(self):
        """Guards against a caller that gets another caller's answer."""
        late = build_reply(b"r0", b"other") + build_reply()
        async with open_pool([late]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertEqual(b"hello", owner.reply.body)

    @run_async
    async def test_extra_reply_spoils_the_connection(self):
        """Guards against an extra reply that answers the next request."""
        doubled = build_reply() + build_reply(body=b"again")
        async with open_pool([doubled, build_reply()]) as (target, pool):
            for _ in range(2):
                owner = await run_exchange(pool)
                self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_late_extra_reply_spoils_the_connection(self):
        """Guards against bytes that arrive while a connection is idle."""

        async def send_later(stream):
            await stream.send_all(build_reply())
            await trio.sleep(0.02)
            await stream.send_all(build_reply(body=b"again"))

        async with open_pool([send_later, build_reply()]) as (target, pool):
            await run_exchange(pool)
            await trio.sleep(0.05)
            owner = await run_exchange(pool)
            self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_reset_after_sending_may_have_run(self):
        """Guards against repeating a request that may have run."""
        async with open_pool([reset]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertIs(FailureKind.LOST, owner.failure)

    @run_async
    async def test_cut_reply_is_a_failure(self):
        """Guards against half a body that is passed on."""
        async with open_pool([build_reply()[:-2], None]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertIs(FailureKind.LOST, owner.failure)

    @run_async
    async def test_reset_of_an_unframed_reply_is_a_failure(self):
        """Guards against a reset that looks like the end of a body."""

        async def send_and_reset(stream):
            await stream.send_all(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhel")
            await trio.sleep(0.02)
            await reset(stream)

        async with open_pool([send_and_reset]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertIs(FailureKind.LOST, owner.failure)

    @run_async
    async def test_refused_connection_did_not_run(self):
        """Guards against 502 for a request that never left."""
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            reactor = TargetReactor(b"request-id")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reactor.run)
                owner = await run_exchange(reactor.open_pool(unused.getsockname(), 1))
                self.assertIs(FailureKind.UNSENT, owner.failure)
                nursery.cancel_scope.cancel()

    @run_async
    async def test_closed_idle_connection_is_not_used(self):
        """Guards against a lost request on a connection that the target closed."""
        script = [build_reply(), None, build_reply()]
        async with open_pool(script) as (target, pool):
            await run_exchange(pool)
            await trio.sleep(0.02)
            owner = await run_exchange(pool)
            self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_stated_idle_time_is_kept(self):
        """Guards against a request that crosses the target's idle close."""
        extra = b"Keep-Alive: timeout=1\r\n"
        script = [build_reply(extra=extra), build_reply()]
        async with open_pool(script) as (target, pool):
            await run_exchange(pool)
            await trio.sleep(0.02)
            await run_exchange(pool)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_ended_idle_connection_is_reported_for_replacement(self):
        """Guards against a search that waits for dozens of new connections."""
        script = [build_reply(), None, build_reply()]
        async with open_pool(script) as (target, pool):
            pool.is_kept_connected = True
            self.patch(exchanges, "MIN_CONNECTION_LIFE_S", 0.0)
            await run_exchange(pool)
            await trio.sleep(0.02)
            reactor = pool._reactor
            self.assertEqual([pool], list(reactor.disconnected_pools))
            reactor.disconnected_pools.popleft().preconnect(trio.current_time())
            await trio.sleep(0.02)
            self.assertEqual(2, target.connections)
            await run_exchange(pool)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_refused_connection_is_not_replaced(self):
        """Guards against a loop of connections that a full target resets."""
        async with open_pool([build_reply(), None]) as (_, pool):
            pool.is_kept_connected = True
            await run_exchange(pool)
            await trio.sleep(0.02)
            self.assertEqual([], list(pool._reactor.disconnected_pools))

    @run_async
    async def test_connections_stay_within_the_limit(self):
        """Guards against connections that the target resets."""
        replies = [build_reply()] * 6
        async with open_pool(replies, max_connections=2) as (target, pool):
            owners = [start(pool) for _ in range(6)]
            for owner in owners:
                await owner.ended.wait()
                self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_waiting_exchange_is_withdrawn(self):
        """Guards against a request that runs after its caller was refused."""
        async with open_pool([never_reply]) as (target, pool):
            start(pool)
            waiting = start(pool)
            await trio.sleep(0.02)
            pool.abandon(waiting.exchange, trio.current_time())
            self.assertIsNone(waiting.exchange.sent_at)
            pool.sweep(trio.current_time())
            self.assertEqual(1, len(target.requests))

    @run_async
    async def test_abandoned_exchange_is_closed(self):
        """Guards against work that goes on after its caller has left."""
        async with open_pool([never_reply]) as (_, pool):
            owner = start(pool)
            await trio.sleep(0.02)
            now = trio.current_time()
            pool.abandon(owner.exchange, now)
            pool.sweep(now + exchanges.ABANDON_GRACE_S / 2)
            self.assertEqual(1, pool.count_connections())
            pool.sweep(now + exchanges.ABANDON_GRACE_S * 1.1)
            self.assertEqual(0, pool.count_connections())

    @run_async
    async def test_large_request_is_sent_whole(self):
        """Guards against a body that is cut at a full socket buffer."""
        message = REQUEST + bytes(range(256)) * 4096
        received = bytearray()

        async def read_all(stream):
            received.extend(target.requests[0])
            while len(received) < len(message):
                received.extend(await stream.receive_some(65536))
            await stream.send_all(build_reply())

        async with open_pool([read_all]) as (target, pool):
            owner = RecordingOwner()
            now = trio.current_time()
            pool.start(Exchange(message, b"POST", b"r1", owner, now), now)
            await owner.ended.wait()
            self.assertEqual(message, bytes(received))

    @run_async
    async def test_answer_before_the_body_ends_the_connection(self):
        """Guards against the rest of a body that is read as the next request."""

        async def answer_early(stream):
            await stream.send_all(build_reply())
            await stream.receive_some(1)

        async with open_pool([answer_early]) as (_, pool):
            owner = RecordingOwner()
            now = trio.current_time()
            message = REQUEST + b"x" * 50_000_000
            pool.start(Exchange(message, b"POST", b"r1", owner, now), now)
            await owner.ended.wait()
            self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(0, pool.count_connections())
