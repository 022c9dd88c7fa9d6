"""Parser of the HTTP replies from targets, and the headers that are forwarded.

Most heads are parsed with one regular expression that uses the header grammar of h11;
h11 parses all others, and bodies that end with their connection.
"""

import re

import h11

from .chunks import ChunkedBody
from .errors import ProtocolError

MAX_REPLY_BYTES = 8 * 1024 * 1024
"""Maximum size of a reply body; limits the memory that one faulty target can use."""

MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of a reply head; limits the memory for the same reason."""

MAX_HEAD_LINES = 1000
"""Maximum number of lines in a reply head; limits the time that h11 takes for it."""

MAX_INTERIM_RESPONSES = 16
"""Maximum number of interim responses (1xx) before a reply."""

MAX_STATUS = 599
"""A target in trouble may send a greater one. Callers would not understand it."""

_REASON = rb"(?: [\t \x21-\x7e\x80-\xff]*)?"
_FIELD = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\t \x21-\x7e\x80-\xff]*\r\n"
_HEAD = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9][0-9])%b(\r\n(?:%b)+)\r\n" % (_REASON, _FIELD)
)
# 101 changes the protocol of the connection, which no request asks for.
_INTERIM_HEAD = re.compile(
    rb"HTTP/1\.1 1(?!01)[0-9][0-9]%b\r\n(?:%b)*\r\n" % (_REASON, _FIELD)
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

    def list_values(self, name):
        """Return the values of all headers with a name (bytes, in lower case)."""
        return [
            value for line, value in self.list_header_lines() if line.lower() == name
        ]

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

    __slots__ = (
        "_method",
        "_buffer",
        "_head",
        "_interim_responses",
        "_chunked_body",
        "_h11_reader",
        "is_reusable",
    )

    def __init__(self):
        self._method = b"GET"
        self._buffer = b""
        self._head = None
        self._interim_responses = 0
        self._chunked_body = None
        self._h11_reader = None
        self.is_reusable = True

    @property
    def has_data(self):
        """Whether bytes beyond the last complete reply are buffered."""
        return (
            bool(self._buffer)
            or self._chunked_body is not None
            or self._h11_reader is not None
        )

    @property
    def buffered_bytes(self):
        """Number of bytes held of a reply that is not complete yet."""
        if self._chunked_body is not None:
            return self._chunked_body.buffered_bytes
        if self._h11_reader is not None:
            return self._h11_reader.size
        return len(self._buffer)

    def start(self, method):
        """Prepare to read the reply to a request with this method (bytes)."""
        self._method = method
        self._head = None
        self._interim_responses = 0
        self._chunked_body = None
        self._h11_reader = None

    def receive(self, data):
        """Process received bytes and return the `Reply` if it is complete, else None.

        Raises
        ------
        ProtocolError
            If the bytes are not an HTTP response, or the reply exceeds a limit.
        """
        if self._chunked_body is not None:
            return self._read_chunks(data)
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
        head, start = self._head
        buffer = self._buffer
        if head.is_chunked:
            self._buffer = b""
            self._chunked_body = ChunkedBody(MAX_REPLY_BYTES)
            return self._read_chunks(buffer[start:])
        end = start + head.length
        if len(buffer) < end:
            return None
        return self._complete(bytes(buffer[start:end]), bytes(buffer[end:]))

    def _read_chunks(self, data):
        body = self._chunked_body
        rest = body.receive(data)
        if rest is None:
            return None
        self._chunked_body = None
        return self._complete(bytes(body.content), rest)

    def _complete(self, body, rest):
        """Return the reply with the head that was read; keep the bytes after it."""
        head, _ = self._head
        reply = Reply(head.status, head.lines, body)
        self._head = None
        self._buffer = rest
        self.is_reusable = head.allows_reuse and not _requests_close(reply)
        return reply

    def _read_head(self):
        while True:
            buffer = self._buffer
            end = _find_head_end(buffer)
            if end < 0:
                self._check_incomplete_head()
                return False
            if end > MAX_HEAD_LINES and buffer.count(b"\n", 0, end) > MAX_HEAD_LINES:
                raise ProtocolError(f"the reply head exceeds {MAX_HEAD_LINES} lines")
            match = _INTERIM_HEAD.match(buffer)
            if match is None:
                break
            self._interim_responses += 1
            _check_interim_responses(self._interim_responses)
            self._buffer = buffer[match.end() :]
        self._head = self._parse_simple_head()
        if self._head is None:
            self._start_h11_reader()
        return True

    def _check_incomplete_head(self):
        buffer = self._buffer
        if len(buffer) > MAX_HEAD_BYTES:
            raise ProtocolError(f"the reply head exceeds {MAX_HEAD_BYTES} bytes")
        if not b"HTTP/1.".startswith(buffer[:7]):
            raise ProtocolError("the bytes are not an HTTP response")

    def _parse_simple_head(self):
        """Return the parsed head, or None if h11 has to parse it.

        The result is a tuple of the `_Head` and the offset of the body in the buffer.
        """
        match = _HEAD.match(self._buffer)
        if match is None:
            return None
        status = int(match[1])
        if status in _BODILESS_STATUSES or self._method == b"HEAD":
            return None
        lines = bytes(match[2])
        if _is_simply_chunked(lines):
            return _Head(status, lines, is_chunked=True), match.end()
        length = _parse_content_length(lines)
        if length is None:
            return None
        if length > MAX_REPLY_BYTES:
            raise ProtocolError(f"the reply body exceeds {MAX_REPLY_BYTES} bytes")
        return _Head(status, lines, length), match.end()

    def _start_h11_reader(self):
        connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=self._method, target=b"/", headers=[(b"Host", b"target")]
        )
        connection.send(request)
        connection.send(h11.EndOfMessage())
        connection.receive_data(bytes(self._buffer))
        self._buffer = b""
        self._h11_reader = _H11ReplyReader(connection, self._method)

    def _read_with_h11(self):
        reader = self._h11_reader
        reply = reader.read()
        connection = reader.connection
        if reader.chunked_head is not None:
            # h11 would take long for a body of many small chunks.
            self._h11_reader = None
            self._head = reader.chunked_head, 0
            self._chunked_body = ChunkedBody(MAX_REPLY_BYTES)
            return self._read_chunks(connection.trailing_data[0])
        if reply is not None:
            self._buffer = bytes(connection.trailing_data[0])
            self.is_reusable = connection.their_state is h11.DONE
            self._h11_reader = None
        return reply


class _Head:
    """Parsed head of a reply whose body has a length or is chunked."""

    __slots__ = ("status", "lines", "length", "is_chunked", "allows_reuse")

    def __init__(self, status, lines, length=0, is_chunked=False, allows_reuse=True):
        self.status = status
        self.lines = lines
        self.length = length
        self.is_chunked = is_chunked
        self.allows_reuse = allows_reuse


class _H11ReplyReader:
    """Reads one reply with h11, or the head of a chunked reply.

    Attributes
    ----------
    chunked_head : _Head or None
        Head of the reply, if its body is chunked; the body is not read.
    """

    __slots__ = (
        "connection",
        "chunked_head",
        "size",
        "_method",
        "_response",
        "_parts",
        "_interim_responses",
    )

    def __init__(self, connection, method):
        self.connection = connection
        self.chunked_head = None
        self.size = 0
        self._method = method
        self._response = None
        self._parts = []
        self._interim_responses = 0

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
                check_status(event.status_code)
                self._response = event
                if self._is_chunked():
                    self.chunked_head = self._build_chunked_head()
                    return None
            elif kind is h11.InformationalResponse:
                self._interim_responses += 1
                _check_interim_responses(self._interim_responses)
            elif kind is h11.Data:
                self._append_body(event.data)
            elif kind is h11.EndOfMessage:
                return self._build()
            elif kind is h11.ConnectionClosed:
                raise ProtocolError("the connection ended before a reply")

    def _is_chunked(self):
        response = self._response
        if self._method == b"HEAD" or response.status_code in _BODILESS_STATUSES:
            return False
        # h11 rejects all codings but "chunked".
        return any(name == b"transfer-encoding" for name, _ in response.headers)

    def _build_chunked_head(self):
        response = self._response
        # A length beside the chunks may mean that a proxy reads the reply otherwise.
        has_length = any(name == b"content-length" for name, _ in response.headers)
        allows_reuse = response.http_version == b"1.1" and not has_length
        return _Head(
            response.status_code,
            self._format_lines(),
            is_chunked=True,
            allows_reuse=allows_reuse,
        )

    def _append_body(self, data):
        self.size += len(data)
        if self.size > MAX_REPLY_BYTES:
            raise ProtocolError(f"the reply body exceeds {MAX_REPLY_BYTES} bytes")
        self._parts.append(bytes(data))

    def _build(self):
        status = self._response.status_code
        return Reply(status, self._format_lines(), b"".join(self._parts))

    def _format_lines(self):
        lines = [b"\r\n%b: %b" % pair for pair in self._response.headers.raw_items()]
        return b"".join(lines) + b"\r\n"


def check_status(status):
    """Check the status of a reply.

    Statuses below 100 are rejected by h11, which accepts those up to 999.

    Raises
    ------
    ProtocolError
        If the status is above `MAX_STATUS`.
    """
    if status > MAX_STATUS:
        raise ProtocolError(f"the reply has status {status}")


def _find_head_end(buffer):
    """Return the offset of the empty line that ends a head, or -1."""
    end = buffer.find(b"\r\n\r\n")
    bare_end = buffer.find(b"\n\n", 0, end) if end >= 0 else buffer.find(b"\n\n")
    return bare_end if bare_end >= 0 else end


def _check_interim_responses(count):
    if count > MAX_INTERIM_RESPONSES:
        raise ProtocolError(
            f"more than {MAX_INTERIM_RESPONSES} interim responses before the reply"
        )


def _is_simply_chunked(head):
    """Whether a head has just one ``Transfer-Encoding: chunked`` and no length."""
    lower = head.lower()
    if _CONTENT_LENGTH_FIELD in lower:
        return False
    if lower.count(b"\r\ntransfer-encoding:") != 1:
        return False
    start = lower.index(b"\r\ntransfer-encoding:") + len(b"\r\ntransfer-encoding:")
    return lower[start : lower.index(b"\r\n", start)].strip(b" \t") == b"chunked"


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
