"""Tests of the chunked transfer coding."""

import testtools

from tarragonchute.chunks import (
    MAX_CHUNK_HEADER_BYTES,
    MAX_SMALL_CHUNKS,
    MAX_TRAILER_BYTES,
    MIN_MEAN_CHUNK_BYTES,
    ChunkedBody,
)
from tarragonchute.errors import ProtocolError

MAX_SIZE = 1_000_000


def decode(data):
    """Return the content of a complete body, and the bytes after it."""
    body = ChunkedBody(MAX_SIZE)
    return body, body.receive(data)


def encode(content, chunk_size):
    """Return content as chunks, without the last one."""
    chunks = (
        content[start : start + chunk_size]
        for start in range(0, len(content), chunk_size)
    )
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)


class ChunkedBodyTests(testtools.TestCase):
    """Decoding of valid bodies."""

    def test_every_split_gives_the_same_content(self):
        """Guards against losing bytes of a chunk that arrives in several segments."""
        data = b'5\r\nhello\r\n00A ;a="b"\r\n, \r\n world\r\n0\r\nX-A: 1\r\n\r\nnext'
        for cut in range(len(data) - 4):
            body, rest = decode(data[:cut])
            self.assertIsNone(rest)
            self.assertEqual(b"next", body.receive(data[cut:]))
            self.assertEqual(b"hello, \r\n world", bytes(body.content))

    def test_single_bytes_give_the_same_content(self):
        """Guards against a target whose segments each carry one byte."""
        body = ChunkedBody(MAX_SIZE)
        data = encode(b"hello", 2) + b"0\r\n\r\n"
        results = [body.receive(data[index : index + 1]) for index in range(len(data))]
        self.assertEqual([None] * (len(data) - 1) + [b""], results)
        self.assertEqual(b"hello", bytes(body.content))

    def test_records_in_chunks_of_their_own(self):
        """Guards against rejecting a reply that is sent record by record."""
        content = b"0123456789abcdef" * 20_000
        body, rest = decode(encode(content, MIN_MEAN_CHUNK_BYTES) + b"0\r\n\r\n")
        self.assertEqual(b"", rest)
        self.assertEqual(content, bytes(body.content))

    def test_short_body_in_chunks_of_one_byte(self):
        """Guards against rejecting a small reply of an unusual target."""
        content = b"x" * MAX_SMALL_CHUNKS
        body, rest = decode(encode(content, 1) + b"0\r\n\r\n")
        self.assertEqual(b"", rest)
        self.assertEqual(content, bytes(body.content))


class InvalidChunksTests(testtools.TestCase):
    """Bodies that violate HTTP or exceed a limit."""

    def check_invalid(self, *pieces):
        body = ChunkedBody(MAX_SIZE)
        for piece in pieces[:-1]:
            self.assertIsNone(body.receive(piece))
        self.assertRaises(ProtocolError, body.receive, pieces[-1])

    def test_malformed_bodies(self):
        """Guards against delivering other bytes than the target meant."""
        for data in (
            b"\r\n",
            b"-1\r\nx\r\n",
            b"0x1\r\nx\r\n",
            b"+1\r\nx\r\n",
            b"g\r\nx\r\n",
            b"1\nx\r\n",
            b"1\r\nxy\r\n",
            b"1\r\nx\n\n",
            b"11111111111111111\r\n",
            b"1;\x00\r\nx\r\n",
            b"0\r\nno field\r\n\r\n",
            b"0\r\n\n\n",
        ):
            self.check_invalid(data)

    def test_chunk_above_the_limit_is_rejected_by_its_size(self):
        """Guards against collecting a chunk that is larger than a reply may be."""
        self.check_invalid(b"f4241\r\n")
        self.check_invalid(encode(b"x" * MAX_SIZE, 50_000), b"1\r\n")

    def test_many_small_chunks(self):
        """Guards against the processor time that many small chunks take."""
        self.check_invalid(encode(b"x" * MAX_SMALL_CHUNKS, 1), encode(b"x" * 300, 1))

    def test_lines_without_end(self):
        """Guards against collecting one line or the trailer for ever."""
        self.check_invalid(b"1;", b"x" * MAX_CHUNK_HEADER_BYTES)
        self.check_invalid(b"0\r\n", b"a:b\r\n" * (MAX_TRAILER_BYTES // 5 + 1))
