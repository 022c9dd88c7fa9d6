"""Parser of the HTTP replies from targets, and the headers that are forwarded.

Most replies have a simple head and a ``Content-Length``. These are parsed with one
regular expression that uses the header grammar of h11; h11 parses all other replies.
"""

import re

import h11

from .errors import ProtocolError

MAX_REPLY_BYTES = 8 * 1024 * 1024
"""Maximum size of a reply body; limits the memory that one faulty target can use."""

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of a reply head; limits the memory for the same reason."""

MAX_INTERIM_RESPONSES = 16
"""Maximum number of interim responses (1xx) before a reply."""

_HEAD = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9][0-9])(?: [\t \x21-\x7e\x80-\xff]*)?"
    rb"(\r\n(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t \x21-\x7e\x80-\xff]*\r\n)+)\r\n"
)
_BODILESS_STATUSES = (204, 304)


class Reply:
    """One complete reply of a target.

    The head is not parsed in advance: a search reads few headers of each reply, and
    `get` looks them up in the received bytes.

    Parameters
    ----------
    status : int
    head : bytes
        Header lines, each preceded by CR LF, and a CR LF after the last one.
    body : bytes
    """

    __slots__ = ("status", "body", "_head", "_lowercase_head")

    def __init__(self, status, head, body):
        self.status = status
        self.body = body
        self._head = head
        self._lowercase_head = head.lower()

    def discard_body(self):
        """Free the memory of the body; the head can still be read."""
        self.body = b""

    def get(self, name):
        """Return the value of the first header with a name, or None.

        Parameters
        ----------
        name : bytes
            In lower case.
        """
        start = self._lowercase_head.find(b"\r\n%b:" % name)
        if start < 0:
            return None
        start += len(name) + 3
        return self._head[start : self._head.index(b"\r\n", start)].strip(b" \t")

    def list_header_lines(self):
        """Return all headers as pairs of name and value, in the received order.

        The names keep the received case.
        """
        lines = []
        for line in self._head.split(b"\r\n")[1:-1]:
            name, _, value = line.partition(b":")
            lines.append((name, value.strip(b" \t")))
        return lines


class ReplyReader:
    """Incremental parser of the replies on one connection, without pipelining.

    Attributes
    ----------
    is_reusable : bool
        Whether another request may be sent on the connection after the latest reply.
    """

    __slots__ = ("_method", "_buffer", "_head", "_h11_reader", "is_reusable")

    def __init__(self):
        self._method = b"GET"
        self._buffer = b""
        self._head = None
        self._h11_reader = None
        self.is_reusable = True

    @property
    def has_data(self):
        """Whether bytes beyond the last complete reply are buffered."""
        return bool(self._buffer) or self._h11_reader is not None

    @property
    def buffered_bytes(self):
        """Number of bytes held of a reply that is not complete yet."""
        if self._h11_reader is not None:
            return self._h11_reader.size
        return len(self._buffer)

    def start(self, method):
        """Prepare to read the reply to a request with this method (bytes)."""
        self._method = method
        self._head = None
        self._h11_reader = None

    def receive(self, data):
        """Process received bytes and return the `Reply` if it is complete, else None.

        Raises
        ------
        ProtocolError
            If the bytes are not an HTTP response, or the reply is too large.
        """
        if self._h11_reader is not None:
            self._h11_reader.receive_data(data)
            return self._read_with_h11()
        if not self._buffer:
            self._buffer = data
        else:
            if type(self._buffer) is bytes:
                # Appending to bytes would copy a large reply once for each segment.
                self._buffer = bytearray(self._buffer)
            self._buffer += data
        return self._read_buffer()

    def read_buffered(self):
        """Return the next `Reply` if the buffered bytes hold a complete one, else None.

        Called after a reply to another request was dropped.
        """
        return self._read_buffer() if self._buffer else None

    def receive_eof(self):
        """Handle the end of the connection and return the reply that it completes.

        The end of the connection completes a reply only if the reply states no length
        and is not chunked.

        Raises
        ------
        ProtocolError
            If the reply is incomplete.
        """
        if self._h11_reader is None:
            raise ProtocolError("the connection ended before the reply was complete")
        self._h11_reader.receive_data(b"")
        reply = self._read_with_h11()
        if reply is None:
            raise ProtocolError("the connection ended before the reply was complete")
        self.is_reusable = False
        return reply

    def _read_buffer(self):
        if self._head is None and not self._read_head():
            return None
        if self._h11_reader is not None:
            return self._read_with_h11()
        status, head, start, length = self._head
        buffer = self._buffer
        end = start + length
        if len(buffer) < end:
            return None
        reply = Reply(status, head, bytes(buffer[start:end]))
        self._buffer = bytes(buffer[end:])
        self._head = None
        self.is_reusable = not _requests_close(reply)
        return reply

    def _read_head(self):
        buffer = self._buffer
        if buffer.find(b"\r\n\r\n") < 0 and buffer.find(b"\n\n") < 0:
            if len(buffer) > MAX_HEAD_BYTES:
                raise ProtocolError(f"the reply head exceeds {MAX_HEAD_BYTES} bytes")
            if not b"HTTP/1.".startswith(buffer[:7]):
                raise ProtocolError("the bytes are not an HTTP response")
            return False
        head = self._parse_simple_head()
        if head is None:
            self._start_h11_reader()
        else:
            self._head = head
        return True

    def _parse_simple_head(self):
        """Return the parsed head, or None if h11 has to parse this reply.

        The head is a tuple of the status, the header lines, the offset of the body in
        the buffer and the length of the body.
        """
        match = _HEAD.match(self._buffer)
        if match is None:
            return None
        status = int(match[1])
        if status in _BODILESS_STATUSES or self._method == b"HEAD":
            return None
        head = bytes(match[2])
        length = _parse_content_length(head)
        if length is None:
            return None
        if length > MAX_REPLY_BYTES:
            raise ProtocolError(f"the reply body exceeds {MAX_REPLY_BYTES} bytes")
        return status, head, match.end(), length

    def _start_h11_reader(self):
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=self._method, target=b"/", headers=[(b"Host", b"target")]
        )
        connection.send(request)
        connection.send(h11.EndOfMessage())
        connection.receive_data(bytes(self._buffer))
        self._buffer = b""
        self._h11_reader = _H11ReplyReader(connection)

    def _read_with_h11(self):
        reply = self._h11_reader.read()
        if reply is not None:
            connection = self._h11_reader.connection
            self._buffer = bytes(connection.trailing_data[0])
            self.is_reusable = connection.their_state is h11.DONE
            self._h11_reader = None
        return reply


class _H11ReplyReader:
    """Reads one reply with h11."""

    __slots__ = ("connection", "size", "_response", "_parts", "_interim_responses")

    def __init__(self, connection):
        self.connection = connection
        self._response = None
        self._parts = []
        self._interim_responses = 0
        self.size = 0

    def receive_data(self, data):
        try:
            self.connection.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as error:
            raise ProtocolError(f"the reply violates HTTP: {error}") from error

    def read(self):
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError as error:
                raise ProtocolError(f"the reply violates HTTP: {error}") from error
            kind = type(event)
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if kind is h11.Response:
                self._response = event
            elif kind is h11.InformationalResponse:
                self._count_interim_response()
            elif kind is h11.Data:
                self._append_body(event.data)
            elif kind is h11.EndOfMessage:
                return self._build()
            elif kind is h11.ConnectionClosed:
                raise ProtocolError("the connection ended before a reply")

    def _count_interim_response(self):
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise ProtocolError(
                f"more than {MAX_INTERIM_RESPONSES} interim responses before the reply"
            )

    def _append_body(self, data):
        self.size += len(data)
        if self.size > MAX_REPLY_BYTES:
            raise ProtocolError(f"the reply body exceeds {MAX_REPLY_BYTES} bytes")
        self._parts.append(bytes(data))

    def _build(self):
        response = self._response
        lines = [b"\r\n%b: %b" % pair for pair in response.headers.raw_items()]
        head = b"".join(lines) + b"\r\n"
        return Reply(response.status_code, head, b"".join(self._parts))


def _parse_content_length(head):
    """Return the ``Content-Length`` of a head, or None if h11 has to parse the reply.

    None stands for a missing, repeated or invalid ``Content-Length``, and for any
    ``Transfer-Encoding``.
    """
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


def _requests_close(reply):
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
    """Return the headers to forward, in their order.

    Hop-by-hop headers, headers listed in ``Connection`` and ``Content-Length`` are left
    out; the sender of the forwarded message sets ``Content-Length`` itself.
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
