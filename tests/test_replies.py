"""Tests of the parser of replies from targets."""

import testtools

from tarragonchute.errors import ProtocolError
from tarragonchute.replies import ReplyReader, list_end_to_end_headers

PLAIN = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)
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
