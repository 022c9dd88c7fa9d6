"""Tests of the parser of replies from targets."""

import contextlib
import time

import testtools

from tarragonchute.errors import ProtocolError
from tarragonchute.exchanges import RECEIVE_BYTES, SWEEP_PERIOD_S
from tarragonchute.replies import ReplyReader, list_end_to_end_headers

PLAIN = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhello"


class ReplyReaderTests(testtools.TestCase):
    """Framing, malformed replies and reuse of the connection."""

    def read(self, data, method=b"GET"):
        reader = ReplyReader()
        reader.start(method)
        return reader, reader.receive(data)

    def test_every_split_gives_the_same_reply(self):
        """Guards against losing a reply that arrives in several TCP segments."""
        for data in (PLAIN, CHUNKED):
            for cut in range(1, len(data)):
                reader, reply = self.read(data[:cut])
                self.assertIsNone(reply, cut)
                reply = reader.receive(data[cut:])
                self.assertEqual((200, b"hello"), (reply.status, reply.body))
                self.assertTrue(reader.is_reusable)
                self.assertFalse(reader.has_data)

    def test_reply_without_length_ends_with_its_connection(self):
        """Guards against delivering a truncated reply as a complete one.

        Only the end of the connection completes a reply without a length.
        """
        reader, reply = self.read(UNFRAMED)
        self.assertIsNone(reply)
        reply = reader.receive_eof()
        self.assertEqual(b"hello", reply.body)
        self.assertFalse(reader.is_reusable)

    def test_end_within_a_reply_is_an_error(self):
        """Guards against forwarding a truncated body as a complete reply.

        The target closes the connection before all announced bytes are sent.
        """
        for data in (PLAIN, CHUNKED):
            for cut in range(1, len(data)):
                reader, _ = self.read(data[:cut])
                self.assertRaises(ProtocolError, reader.receive_eof)

    def test_end_before_a_reply_is_an_error(self):
        """Guards against an empty reply made up for a closed connection."""
        reader = ReplyReader()
        reader.start(b"GET")
        self.assertRaises(ProtocolError, reader.receive_eof)

    def test_bytes_that_are_not_http(self):
        """Guards against accepting arbitrary bytes as a reply."""
        for data in (b"\x00\x01\x02garbage\r\n\r\n", b"HTTP/1.1 abc OK\r\n\r\n"):
            reader = ReplyReader()
            reader.start(b"GET")
            self.assertRaises(ProtocolError, reader.receive, data)

    def test_conflicting_lengths(self):
        """Guards against response smuggling with two ``Content-Length`` headers."""
        data = PLAIN.replace(b"\r\n\r\n", b"\r\nContent-Length: 9\r\n\r\n")
        reader = ReplyReader()
        reader.start(b"GET")
        self.assertRaises(ProtocolError, reader.receive, data)

    def test_connection_close_prevents_reuse(self):
        """Guards against sending a request on a connection that the target closes."""
        data = PLAIN.replace(b"\r\n\r\n", b"\r\nConnection: Close\r\n\r\n")
        reader, reply = self.read(data)
        self.assertEqual(b"hello", reply.body)
        self.assertFalse(reader.is_reusable)

    def test_extra_bytes_stay_visible(self):
        """Guards against delivering a surplus reply to the next request."""
        reader, reply = self.read(PLAIN + PLAIN)
        self.assertEqual(b"hello", reply.body)
        self.assertTrue(reader.has_data)

    def test_interim_responses_are_skipped(self):
        """Guards against accepting an interim response (100, 103) as the reply."""
        reader, reply = self.read(b"HTTP/1.1 100 Continue\r\n\r\n" + PLAIN)
        self.assertEqual((200, b"hello"), (reply.status, reply.body))

    def test_reply_to_head_request_has_no_body(self):
        """Guards against waiting for a body that the target does not send.

        The reply to ``HEAD`` states the length of the body that ``GET`` would return.
        """
        data = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        _, reply = self.read(data, b"HEAD")
        self.assertEqual(b"", reply.body)

    def test_chunked_reply_with_an_unusual_head(self):
        """Guards against a chunked body that only one of the two head parsers reads.

        A length beside the chunks, or the older protocol version, prevents reuse.
        """
        heads = (
            (b"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n", True),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding:\tChunked\r\n\r\n", True),
            (
                CHUNKED_HEAD.replace(b"\r\n\r\n", b"\r\nContent-Length: 9\r\n\r\n"),
                False,
            ),
            (CHUNKED_HEAD.replace(b"HTTP/1.1", b"HTTP/1.0"), False),
        )
        body = b"2;note=x\r\nhe\r\n3\r\nllo\r\n0\r\nX-Check: 1\r\n\r\n"
        for head, is_reusable in heads:
            data = head + body
            for cut in range(1, len(data)):
                reader, _ = self.read(data[:cut])
                reply = reader.receive(data[cut:])
                self.assertEqual((200, b"hello"), (reply.status, reply.body))
                self.assertEqual(is_reusable, reader.is_reusable)


class SmallPieceTests(testtools.TestCase):
    """Replies in many small pieces, each of which takes time to parse."""

    def check_processor_time(self, start, piece):
        """Check the time for one receive of as many pieces as fit into it."""
        reader = ReplyReader()
        reader.start(b"GET")
        data = start + piece * ((RECEIVE_BYTES - len(start)) // len(piece))
        started_at = time.thread_time()
        with contextlib.suppress(ProtocolError):
            reader.receive(data)
        self.assertLess(time.thread_time() - started_at, SWEEP_PERIOD_S, piece[:20])

    def test_one_receive_takes_less_time_than_a_sweep_period(self):
        """Guards against one target that keeps a VM busy with few bytes.

        Time limits take effect at the sweeps, which wait for each receive.
        """
        self.check_processor_time(CHUNKED_HEAD, b"1\r\nx\r\n")
        self.check_processor_time(CHUNKED_HEAD, b"10\r\n" + b"x" * 16 + b"\r\n")
        self.check_processor_time(CHUNKED_HEAD.replace(b"\r", b""), b"1\r\nx\r\n")
        self.check_processor_time(CHUNKED_HEAD + b"0\r\n", b"a:b\r\n")
        interim = b"HTTP/1.1 102 Processing\r\n%b\r\n" % (b"a:b\r\n" * 700)
        self.check_processor_time(b"", interim)
        self.check_processor_time(b"", interim.replace(b"\r", b""))
        head = b"HTTP/1.1 200 OK\r\n%b\r\n" % (b"a:b\r\n" * 10_000)
        self.check_processor_time(head, b"x")
        self.check_processor_time(head.replace(b"\r", b""), b"x")

    def test_head_of_many_lines(self):
        """Guards against a head whose lines take long to parse."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%b\r\n"
        reader = ReplyReader()
        reader.start(b"GET")
        self.assertIsNotNone(reader.receive(head % (b"a:b\r\n" * 900)))
        reader.start(b"GET")
        self.assertRaises(ProtocolError, reader.receive, head % (b"a:b\r\n" * 2000))


class EndToEndTests(testtools.TestCase):
    """Headers that are forwarded."""

    def test_connection_headers_are_dropped(self):
        """Guards against forwarding hop-by-hop headers to another connection."""
        lines = [
            (b"Connection", b"close, X-Hop"),
            (b"x-hop", b"1"),
            (b"Keep-Alive", b"timeout=5"),
            (b"Transfer-Encoding", b"chunked"),
            (b"X-Kept", b"1"),
        ]
        self.assertEqual([(b"X-Kept", b"1")], list_end_to_end_headers(lines))
