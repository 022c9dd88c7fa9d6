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
    """Records the outcome of its exchange."""

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
    """Replies to each request with the next item of a script.

    An item is the bytes to send or an async function that is called with the stream. An
    item None closes the connection after the item before it.
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
    """Close a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


async def never_reply(stream):
    """Send no reply, and wait until the connection ends."""
    await stream.receive_some(1)


@contextlib.asynccontextmanager
async def open_pool(script, max_connections=1):
    """Yield ``(target, pool)`` with a running reactor."""
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
    """Replies and failures, and whether the request may have run."""

    @run_async
    async def test_connection_is_reused(self):
        """Guards against opening a new connection for each request."""
        async with open_pool([build_reply(), build_reply(b"r2")]) as (target, pool):
            for request_id in (b"r1", b"r2"):
                owner = await run_exchange(pool, request_id)
                self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(1, target.connections)

    @run_async
    async def test_reply_to_another_request_is_dropped(self):
        """Guards against giving a caller the reply to another caller's request.

        The target sends the reply to an earlier request first.
        """
        late = build_reply(b"r0", b"other") + build_reply()
        async with open_pool([late]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertEqual(b"hello", owner.reply.body)

    @run_async
    async def test_connection_with_extra_reply_is_not_reused(self):
        """Guards against delivering a surplus reply to the next request."""
        doubled = build_reply() + build_reply(body=b"again")
        async with open_pool([doubled, build_reply(b"r2")]) as (target, pool):
            for request_id in (b"r1", b"r2"):
                owner = await run_exchange(pool, request_id)
                self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_idle_connection_with_extra_reply_is_not_reused(self):
        """Guards against delivering bytes that arrived while a connection was idle."""

        async def send_later(stream):
            await stream.send_all(build_reply())
            await trio.sleep(0.02)
            await stream.send_all(build_reply(body=b"again"))

        async with open_pool([send_later, build_reply(b"r2")]) as (target, pool):
            await run_exchange(pool)
            await trio.sleep(0.05)
            owner = await run_exchange(pool, b"r2")
            self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_reset_after_sending_may_have_run(self):
        """Guards against repeating a request that may have run on the target."""
        async with open_pool([reset]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertIs(FailureKind.LOST, owner.failure)

    @run_async
    async def test_truncated_reply_is_a_failure(self):
        """Guards against forwarding a truncated body."""
        async with open_pool([build_reply()[:-2], None]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertIs(FailureKind.LOST, owner.failure)

    @run_async
    async def test_reset_of_a_reply_without_length_is_a_failure(self):
        """Guards against mistaking a connection reset for the end of a body.

        Only an orderly close ends a reply that states no length.
        """

        async def send_and_reset(stream):
            await stream.send_all(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhel")
            await trio.sleep(0.02)
            await reset(stream)

        async with open_pool([send_and_reset]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertIs(FailureKind.LOST, owner.failure)

    @run_async
    async def test_refused_connection_did_not_run(self):
        """Guards against 502 for a request that was never sent."""
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
        """Guards against losing a request on a connection that the target closed."""
        script = [build_reply(), None, build_reply(b"r2")]
        async with open_pool(script) as (target, pool):
            await run_exchange(pool)
            await trio.sleep(0.02)
            owner = await run_exchange(pool, b"r2")
            self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_idle_timeout_of_the_target_is_respected(self):
        """Guards against sending a request while the target closes the connection."""
        extra = b"Keep-Alive: timeout=1\r\n"
        script = [build_reply(extra=extra), build_reply(b"r2")]
        async with open_pool(script) as (target, pool):
            await run_exchange(pool)
            await trio.sleep(0.02)
            await run_exchange(pool, b"r2")
            self.assertEqual(2, target.connections)

    @run_async
    async def test_closed_idle_connection_is_queued_for_reconnect(self):
        """Guards against a search that has to open dozens of connections first.

        The target closes a connection while it is idle.
        """
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
    async def test_connection_closed_early_is_not_replaced(self):
        """Guards against reconnecting in a loop to a target at its connection limit.

        Such a target closes each new connection at once.
        """
        async with open_pool([build_reply(), None]) as (_, pool):
            pool.is_kept_connected = True
            await run_exchange(pool)
            await trio.sleep(0.02)
            self.assertEqual([], list(pool._reactor.disconnected_pools))

    @run_async
    async def test_connections_stay_within_the_limit(self):
        """Guards against opening more connections than the target allows.

        The target resets those beyond its limit.
        """
        replies = [build_reply()] * 6
        async with open_pool(replies, max_connections=2) as (target, pool):
            owners = [start(pool) for _ in range(6)]
            for owner in owners:
                await owner.ended.wait()
                self.assertEqual(b"hello", owner.reply.body)
            self.assertEqual(2, target.connections)

    @run_async
    async def test_queued_exchange_is_removed_when_abandoned(self):
        """Guards against running a request whose caller no longer waits for it."""
        async with open_pool([never_reply]) as (target, pool):
            start(pool)
            queued = start(pool)
            await trio.sleep(0.02)
            pool.abandon(queued.exchange, trio.current_time())
            self.assertIsNone(queued.exchange.sent_at)
            pool.sweep(trio.current_time())
            self.assertEqual(1, len(target.requests))

    @run_async
    async def test_abandoned_exchange_is_aborted_after_grace_period(self):
        """Guards against targets that continue to work after the caller has left."""
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
        """Guards against truncating a body that does not fit the socket buffer."""
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
    async def test_reply_before_the_end_of_the_request_closes_the_connection(self):
        """Guards against the target reading the rest of a body as the next request."""

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


class ForeignReplyTests(testtools.TestCase):
    """Replies that may belong to an earlier request on the same connection.

    Reported by operators of similar systems: a target sent a second copy of an answer
    late, on a connection that was in use again, and the next caller got it.
    """

    @run_async
    async def test_late_second_copy_is_not_the_next_answer(self):
        """Guards against delivering a copy that arrives during the next exchange."""

        async def send_copy_first(stream):
            await stream.send_all(build_reply(b"r1", b"first"))
            await trio.sleep(0.02)
            await stream.send_all(build_reply(b"r2", b"second"))

        script = [build_reply(b"r1", b"first"), send_copy_first]
        async with open_pool(script) as (_, pool):
            await run_exchange(pool, b"r1")
            owner = await run_exchange(pool, b"r2")
            self.assertEqual(b"second", owner.reply.body)

    @run_async
    async def test_late_copy_without_an_id_is_not_the_next_answer(self):
        """Guards against delivering a copy that states no request id."""
        anonymous = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
        async with open_pool([build_reply(b"r1"), anonymous]) as (_, pool):
            await run_exchange(pool, b"r1")
            owner = await run_exchange(pool, b"r2")
            self.assertIsNone(owner.reply)
            self.assertIs(FailureKind.LOST, owner.failure)
            self.assertEqual(0, pool.count_connections())

    @run_async
    async def test_reply_without_an_id_on_a_new_connection_is_accepted(self):
        """Guards against rejecting the only reply that a connection has carried."""
        anonymous = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
        async with open_pool([anonymous]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertEqual(b"first", owner.reply.body)

    @run_async
    async def test_same_request_is_not_sent_again_on_its_connection(self):
        """Guards against mistaking a late copy of a refusal for the second reply.

        A target that refused a request may be asked again under the same id.
        """
        async with open_pool([build_reply(), build_reply()]) as (target, pool):
            await run_exchange(pool)
            await run_exchange(pool)
            self.assertEqual(2, target.connections)


class EndlessReplyTests(testtools.TestCase):
    """Bytes without end, in a head or a body, until the caller closes."""

    async def send_endlessly(self, stream, start, piece):
        """Send `start`, then `piece` again and again until the connection ends."""
        await stream.send_all(start)
        while True:
            await stream.send_all(piece)

    async def check_failure(self, start, piece):
        """Check that the exchange fails and that its connection is closed."""

        async def send(stream):
            await self.send_endlessly(stream, start, piece)

        async with open_pool([send]) as (_, pool):
            owner = await run_exchange(pool)
            self.assertIs(FailureKind.LOST, owner.failure)
            self.assertEqual(0, pool.count_connections())

    @run_async
    async def test_head_without_end(self):
        """Guards against reading header lines for ever."""
        await self.check_failure(b"HTTP/1.1 200 OK\r\n", b"X-Filler: 1\r\n" * 100)

    @run_async
    async def test_header_line_without_end(self):
        """Guards against reading one header value for ever."""
        await self.check_failure(b"HTTP/1.1 200 OK\r\nX-Filler: ", b"x" * 1000)

    @run_async
    async def test_body_without_end(self):
        """Guards against a body without a length that fills the memory."""
        await self.check_failure(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 60_000)

    @run_async
    async def test_chunks_without_end(self):
        """Guards against a chunked body that fills the memory."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.check_failure(head, b"8000\r\n" + b"x" * 0x8000 + b"\r\n")

    @run_async
    async def test_chunks_of_one_byte_without_end(self):
        """Guards against a body of tiny chunks that keeps a VM busy until 8 MB came.

        Callers of all other targets got no answer in time meanwhile.
        """
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.check_failure(head, b"1\r\nx\r\n" * 10_000)

    @run_async
    async def test_chunk_header_without_end(self):
        """Guards against reading the extension of one chunk for ever."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x="
        await self.check_failure(head, b"x" * 1000)

    @run_async
    async def test_interim_responses_without_end(self):
        """Guards against interim responses that occupy the processor for ever."""
        await self.check_failure(b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 10)

    @run_async
    async def test_replies_to_other_requests_without_end(self):
        """Guards against dropping foreign replies for ever."""
        await self.check_failure(b"", build_reply(b"r0", b"x" * 1000))

    @run_async
    async def test_bytes_that_are_no_reply_without_end(self):
        """Guards against waiting for a head in bytes that cannot be one."""
        await self.check_failure(b"", b"\x00" * 1000)

    @run_async
    async def test_largest_of_many_incomplete_replies_fails_first(self):
        """Guards against endless replies that together exceed the memory of a VM.

        Each stays below the limit of one reply. The exchange with a small incomplete
        reply continues.
        """
        self.patch(exchanges, "MAX_BUFFERED_BYTES", 1_000_000)
        release = trio.Event()

        async def send_small(stream):
            reply = build_reply(body=b"small")
            await stream.send_all(reply[:-2])
            await release.wait()
            await stream.send_all(reply[-2:])

        async def send_large(stream):
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 7000000\r\n\r\n")
            await stream.send_all(b"x" * 600_000)
            await stream.receive_some(1)

        script = [send_small, send_large, send_large]
        async with open_pool(script, max_connections=3) as (_, pool):
            small = start(pool)
            await trio.sleep(0.05)
            large = [start(pool) for _ in range(2)]
            while not any(owner.failure for owner in large):
                await trio.sleep(0.01)
            self.assertEqual(1, sum(owner.failure is not None for owner in large))
            release.set()
            await small.ended.wait()
            self.assertEqual(b"small", small.reply.body)


class TruncatedReplyTests(testtools.TestCase):
    """A target stops in the middle of its reply and closes the connection.

    Reported by operators of similar systems: callers got a 200 with an empty or short
    body that was framed as complete.
    """

    async def check_every_cut(self, data, last_cut):
        for cut in range(1, last_cut):
            async with open_pool([data[:cut], None]) as (_, pool):
                owner = await run_exchange(pool)
                self.assertIsNone(owner.reply, cut)
                self.assertIs(FailureKind.LOST, owner.failure)

    @run_async
    async def test_head_with_length(self):
        """Guards against an empty reply made of a head that was cut."""
        data = build_reply(extra=b"Response-Stamp: s\r\n")
        await self.check_every_cut(data, len(data))

    @run_async
    async def test_head_without_length(self):
        """Guards against taking the close for the end of a body without a length.

        The head itself is incomplete here.
        """
        data = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: s\r\n\r\n"
        await self.check_every_cut(data, len(data))

    @run_async
    async def test_chunked_body(self):
        """Guards against a short body without its last chunk."""
        data = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nhello\r\n0\r\n\r\n"
        )
        await self.check_every_cut(data, len(data))


class HandlerErrorTests(testtools.TestCase):
    """Unexpected errors while a reply is handled."""

    @run_async
    async def test_error_in_one_owner_does_not_stop_the_others(self):
        """Guards against one unexpected error that ends all exchanges."""

        class FailingOwner(RecordingOwner):
            def handle_reply(self, exchange, reply):
                raise RuntimeError("injected")

        async with open_pool([build_reply(), build_reply()]) as (_, pool):
            now = trio.current_time()
            pool.start(Exchange(REQUEST, b"GET", b"r1", FailingOwner(), now), now)
            await trio.sleep(0.02)
            owner = await run_exchange(pool, b"r1")
            self.assertEqual(b"hello", owner.reply.body)
