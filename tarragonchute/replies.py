"""Replies of targets: reading them from a connection and judging them.

Most replies have a plain head and a ``Content-Length``; these are read with one
regular expression that admits what h11 admits. All others are read by h11.
"""

import re

import h11

from .errors import ProtocolError

MAX_REPLY_BYTES = 8 * 1024 * 1024
"""Largest body; bounds what one faulty target can take of the memory."""

MAX_HEAD_BYTES = 64 * 1024
"""Largest head; the same bound."""

_HEAD = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [\t \x21-\x7e\x80-\xff]*)?"
    rb"(\r\n(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t \x21-\x7e\x80-\xff]*\r\n)+)\r\n"
)
_BODILESS_STATUSES = (204, 304)


class Reply:
    """One complete response of a target.

    A search reads few of the headers of each reply, so they are looked up in the
    head as it was received.

    Parameters
    ----------
    status : int
    head : bytes
        Header lines, each after a line end, and a line end after the last.
    body : bytes
    """

    __slots__ = ("status", "body", "_head", "_lower")

    def __init__(self, status, head, body):
        self.status = status
        self.body = body
        self._head = head
        self._lower = head.lower()

    def get(self, name):
        """Return the value of the first header with a name in lower case, or None."""
        start = self._lower.find(b"\r\n%b:" % name)
        if start < 0:
            return None
        start += len(name) + 3
        return self._head[start : self._head.index(b"\r\n", start)].strip(b" \t")

    def list_header_lines(self):
        """Return all headers in their order, names as received."""
        lines = []
        for line in self._head.split(b"\r\n")[1:-1]:
            name, _, value = line.partition(b":")
            lines.append((name, value.strip(b" \t")))
        return lines


class ReplyReader:
    """Reads the replies that arrive on one connection, one request at a time.

    Attributes
    ----------
    is_reusable : bool
        Whether another request may follow the latest reply.
    """

    __slots__ = ("_method", "_buffer", "_head", "_fallback", "is_reusable")

    def __init__(self):
        self._method = b"GET"
        self._buffer = b""
        self._head = None
        self._fallback = None
        self.is_reusable = True

    @property
    def has_data(self):
        """Whether bytes of a reply, or after one, have been received."""
        return bool(self._buffer) or self._fallback is not None

    def start(self, method):
        """Expect the reply to a request with this method (bytes)."""
        self._method = method
        self._head = None
        self._fallback = None

    def receive(self, data):
        """Take received bytes and return the `Reply` once it is complete, or None.

        Raises
        ------
        ProtocolError
            If the bytes are no reply, or the reply is too large.
        """
        if self._fallback is not None:
            self._fallback.receive_data(data)
            return self._read_fallback()
        self._buffer = self._buffer + data if self._buffer else data
        return self._read_buffer()

    def read_buffered(self):
        """Return the next `Reply` if bytes received earlier complete one, or None."""
        return self._read_buffer() if self._buffer else None

    def receive_eof(self):
        """Take the end of the connection and return the reply that it completes.

        Only a reply without a length ends with its connection.

        Raises
        ------
        ProtocolError
            If the reply is incomplete.
        """
        if self._fallback is None:
            raise ProtocolError("the connection ended within a reply")
        self._fallback.receive_data(b"")
        reply = self._read_fallback()
        if reply is None:
            raise ProtocolError("the connection ended within a reply")
        self.is_reusable = False
        return reply

    def _read_buffer(self):
        if self._head is None and not self._read_head():
            return None
        if self._fallback is not None:
            return self._read_fallback()
        status, head, start, length = self._head
        buffer = self._buffer
        end = start + length
        if len(buffer) < end:
            return None
        reply = Reply(status, head, buffer[start:end])
        self._buffer = buffer[end:]
        self._head = None
        self.is_reusable = not _asks_to_close(reply)
        return reply

    def _read_head(self):
        buffer = self._buffer
        if buffer.find(b"\r\n\r\n") < 0 and buffer.find(b"\n\n") < 0:
            if len(buffer) > MAX_HEAD_BYTES:
                raise ProtocolError(f"the head exceeds {MAX_HEAD_BYTES} bytes")
            if not buffer.startswith(b"HTTP/1."[: len(buffer)]):
                raise ProtocolError("the bytes are not an HTTP response")
            return False
        head = self._parse_plain_head()
        if head is None:
            self._start_fallback()
        else:
            self._head = head
        return True

    def _parse_plain_head(self):
        """Return the parsed head, or None if h11 has to read this reply."""
        match = _HEAD.match(self._buffer)
        if match is None:
            return None
        status = int(match[1])
        if status in _BODILESS_STATUSES or self._method == b"HEAD":
            return None
        length = _read_length(match[2])
        if length is None:
            return None
        if length > MAX_REPLY_BYTES:
            raise ProtocolError(f"the reply exceeds {MAX_REPLY_BYTES} bytes")
        return status, match[2], match.end(), length

    def _start_fallback(self):
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=self._method, target=b"/", headers=[(b"Host", b"target")]
        )
        connection.send(request)
        connection.send(h11.EndOfMessage())
        connection.receive_data(self._buffer)
        self._buffer = b""
        self._fallback = _H11ReplyReader(connection)

    def _read_fallback(self):
        reply = self._fallback.read()
        if reply is not None:
            connection = self._fallback.connection
            self._buffer = bytes(connection.trailing_data[0])
            self.is_reusable = connection.their_state is h11.DONE
            self._fallback = None
        return reply


class _H11ReplyReader:
    """A reply that h11 reads."""

    __slots__ = ("connection", "_response", "_parts", "_size")

    def __init__(self, connection):
        self.connection = connection
        self._response = None
        self._parts = []
        self._size = 0

    def receive_data(self, data):
        try:
            self.connection.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            raise ProtocolError(f"the reply breaks HTTP: {error}") from error

    def read(self):
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                raise ProtocolError(f"the reply breaks HTTP: {error}") from error
            kind = type(event)
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if kind is h11.Response:
                self._response = event
            elif kind is h11.Data:
                self._append_body(event.data)
            elif kind is h11.EndOfMessage:
                return self._build()
            elif kind is h11.ConnectionClosed:
                raise ProtocolError("the connection ended without a reply")

    def _append_body(self, data):
        self._size += len(data)
        if self._size > MAX_REPLY_BYTES:
            raise ProtocolError(f"the reply exceeds {MAX_REPLY_BYTES} bytes")
        self._parts.append(bytes(data))

    def _build(self):
        response = self._response
        lines = [b"\r\n%b: %b" % pair for pair in response.headers.raw_items()]
        head = b"".join(lines) + b"\r\n"
        return Reply(response.status_code, head, b"".join(self._parts))


def _read_length(head):
    """Return the only ``Content-Length`` of a head, or None if h11 must decide."""
    lower = head.lower()
    start = lower.find(_CONTENT_LENGTH_FIELD)
    if start < 0 or b"\r\ntransfer-encoding:" in lower:
        return None
    start += len(_CONTENT_LENGTH_FIELD)
    if lower.find(_CONTENT_LENGTH_FIELD, start) >= 0:
        return None
    value = lower[start : lower.index(b"\r\n", start)].strip(b" \t")
    return int(value) if value.isdigit() and len(value) <= 10 else None


_CONTENT_LENGTH_FIELD = b"\r\ncontent-length:"


def _asks_to_close(reply):
    connection = reply.get(b"connection")
    return connection is not None and b"close" in connection.lower()


_NOT_FORWARDED_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


def list_end_to_end_headers(header_lines):
    """Return the headers that are passed on, in their order.

    Headers that concern one connection, and those that ``Connection`` names, are
    left out, and so is the length, which the sender sets again.
    """
    listed_in_connection = set()
    for name, value in header_lines:
        if name.lower() == b"connection":
            listed_in_connection.update(
                item.strip().lower() for item in value.split(b",")
            )
    return [
        (name, value)
        for name, value in header_lines
        if name.lower() not in _NOT_FORWARDED_HEADERS
        and name.lower() not in listed_in_connection
    ]
