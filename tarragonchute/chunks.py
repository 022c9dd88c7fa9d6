"""Chunked transfer coding of HTTP/1.1, and limits on its processing.

h11 takes some 30 microseconds for each chunk, whatever its size. A peer that sends tiny
chunks could thus keep a process busy with few bytes.
"""

import re

from .errors import ProtocolError

MAX_SMALL_CHUNKS = 4096
"""Chunks of any size that one body may have."""

MIN_MEAN_CHUNK_BYTES = 16
"""Mean size of the chunks beyond `MAX_SMALL_CHUNKS`. A record of a search has 16
bytes, and a target may send each in a chunk of its own."""

MAX_CHUNK_HEADER_BYTES = 4 * 1024
"""Maximum size of the line before a chunk, with its extensions."""

MAX_TRAILER_BYTES = 16 * 1024
"""Maximum size of the fields after the last chunk."""

_CHUNK_HEADER = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t \x21-\x7e\x80-\xff]*)?\r\n"
)
_TRAILER = re.compile(
    rb"(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t \x21-\x7e\x80-\xff]*\r\n)*\r\n"
)


def check_chunk_count(count, size):
    """Check the number of chunks in which a body, or its beginning, was sent.

    Parameters
    ----------
    count : int
    size : int
        Bytes of content in these chunks.

    Raises
    ------
    ProtocolError
        If the chunks are too small to be processed in a reasonable time.
    """
    if count > MAX_SMALL_CHUNKS + size // MIN_MEAN_CHUNK_BYTES:
        raise ProtocolError(f"{size} bytes were sent in {count} chunks")


class ChunkedBody:
    """Incremental decoder of one chunked body.

    Parameters
    ----------
    max_size : int
        Maximum size of the content in bytes.

    Attributes
    ----------
    content : bytearray
        Content of the chunks decoded so far.
    """

    __slots__ = ("content", "_max_size", "_buffer", "_count", "_is_in_trailer")

    def __init__(self, max_size):
        self.content = bytearray()
        self._max_size = max_size
        self._buffer = bytearray()
        self._count = 0
        self._is_in_trailer = False

    @property
    def buffered_bytes(self):
        """Number of bytes held, decoded or not."""
        return len(self.content) + len(self._buffer)

    def receive(self, data):
        """Decode received bytes.

        Returns
        -------
        bytes or None
            The bytes after the body once it is complete, else None.

        Raises
        ------
        ProtocolError
            If the bytes are not a chunked body, or exceed a limit.
        """
        self._buffer += data
        if not self._is_in_trailer:
            self._read_chunks()
        return self._read_trailer() if self._is_in_trailer else None

    def _read_chunks(self):
        buffer = self._buffer
        content = self.content
        position = 0
        match_header = _CHUNK_HEADER.match
        while (match := match_header(buffer, position)) is not None:
            start = match.end()
            end = start + int(match[1], 16)
            if end == start:
                self._is_in_trailer = True
                position = start
                break
            if len(content) + end - start > self._max_size:
                raise ProtocolError(f"the body exceeds {self._max_size} bytes")
            if len(buffer) < end + 2:
                break
            if buffer[end : end + 2] != b"\r\n":
                raise ProtocolError("a chunk is longer than its stated size")
            content += buffer[start:end]
            self._count += 1
            position = end + 2
        del buffer[:position]
        check_chunk_count(self._count, len(content))
        if match is None:
            self._check_incomplete_header()

    def _check_incomplete_header(self):
        if b"\n" in self._buffer:
            raise ProtocolError("the line before a chunk is malformed")
        if len(self._buffer) > MAX_CHUNK_HEADER_BYTES:
            raise ProtocolError(
                f"the line before a chunk exceeds {MAX_CHUNK_HEADER_BYTES} bytes"
            )

    def _read_trailer(self):
        buffer = self._buffer
        match = _TRAILER.match(buffer)
        if match is not None:
            return bytes(buffer[match.end() :])
        if b"\r\n\r\n" in buffer or b"\n\n" in buffer:
            raise ProtocolError("the trailer of a chunked body is malformed")
        if len(buffer) > MAX_TRAILER_BYTES:
            raise ProtocolError(f"the trailer exceeds {MAX_TRAILER_BYTES} bytes")
        return None
