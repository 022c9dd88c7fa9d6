"""HTTP messages, their limits, and addresses; for the server and the client.

Addresses are ``host:port`` with an IP address as host; an IPv6 address is enclosed in
brackets.
"""

import contextlib
import errno
import os
import random
import socket
from urllib.parse import parse_qsl, unquote

import orjson
import trio

from .chunks import check_chunk_count
from .errors import BadRequestError, OverloadedError, PortInUseError, ProtocolError
from .memory import RETRY_AFTER_S

MAX_BODY_BYTES = 8 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024

CHUNKS_PER_CHECKPOINT = 64
"""Chunks of one body after which other tasks run. h11 takes some 30 microseconds for
each, and one receive may hold thousands of them."""

JSON_TYPE = "application/json"


def split_address(address):
    """Split a ``host:port`` string into ``(host, port)``.

    Raises
    ------
    ValueError
        If the host or the port is missing, or the port is not a number from 0 to
        65535.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{address!r} is not an address of the form host:port")
    return host.strip("[]"), int(port)


async def bind_listeners(address):
    """Listen on an address and return a list of `trio.SocketListener`.

    Parameters
    ----------
    address : str
        ``host:port``; port 0 selects a free port, which `get_address` returns.

    Raises
    ------
    PortInUseError
        If another socket already listens on the address.
    ValueError
        If the address is malformed.
    """
    host, port = split_address(address)
    try:
        return await trio.open_tcp_listeners(port, host=host)
    except OSError as error:
        if error.errno != errno.EADDRINUSE:
            raise
        raise PortInUseError(
            f"cannot listen on {address}: the port is in use; stop the process that "
            "uses it or set another port"
        ) from error


def get_address(listeners):
    """Return the address of the first listener as ``host:port``."""
    host, port = listeners[0].socket.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def close_listener(listener):
    """Close a listener and return streams for the connections in its backlog.

    Closing a listening socket resets the connections that have not been accepted, so
    they are accepted first. No checkpoint may occur between the last accept and the
    close, because another connection could arrive meanwhile.
    """
    streams = []
    with socket.socket(fileno=os.dup(listener.socket.fileno())) as backlog:
        backlog.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                accepted = trio.socket.from_stdlib_socket(backlog.accept()[0])
                streams.append(trio.SocketStream(accepted))
        listener.socket.close()
    return streams


class HttpRequest:
    """A request as the server passes it to its handler.

    Parameters
    ----------
    method : str
    path : str
        Percent-decoded, without the query.
    query : dict of str to str
        For a repeated name, the last value.
    headers : dict of str to str
        Names in lower case.
    body : bytes
    target : bytes
        Path and query as received, still percent-encoded.
    header_lines : list of (bytes, bytes)
        All headers in the order received; names in lower case.
    """

    __slots__ = (
        "method",
        "path",
        "query",
        "headers",
        "body",
        "target",
        "header_lines",
    )

    def __init__(
        self,
        method,
        path,
        query=None,
        headers=None,
        body=b"",
        target=b"",
        header_lines=(),
    ):
        self.method = method
        self.path = path
        self.query = query or {}
        self.headers = headers or {}
        self.body = body
        self.target = target
        self.header_lines = header_lines

    def parse_json(self):
        """Return the body as JSON.

        Raises
        ------
        BadRequestError
            If the body is not JSON.
        """
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise BadRequestError(f"the body is not JSON: {error}") from error


class HttpResponse:
    """A response, for the server and for the client.

    Parameters
    ----------
    status : int
    body : bytes
    headers : dict of str to str
        Names are in lower case on the client. The server adds ``Content-Length``.
    """

    __slots__ = ("status", "body", "headers")

    def __init__(self, status, body=b"", headers=None):
        self.status = status
        self.body = body
        self.headers = headers or {}

    def list_header_lines(self):
        """Return the headers to send, without ``Content-Length``."""
        return list(self.headers.items())

    @classmethod
    def from_json(cls, value, status=200, headers=None):
        """Return a response whose body is JSON."""
        headers = {"Content-Type": JSON_TYPE, **(headers or {})}
        return cls(status, orjson.dumps(value), headers)

    def parse_json(self):
        """Return the body as JSON.

        Raises
        ------
        ProtocolError
            If the body is not JSON.
        """
        try:
            return orjson.loads(self.body)
        except orjson.JSONDecodeError as error:
            raise ProtocolError(f"the body is not JSON: {error}") from error


class ForwardedResponse(HttpResponse):
    """A response whose status, headers and body come from a target.

    Parameters
    ----------
    status : int
    header_lines : list of (bytes, bytes)
        In the order received, without hop-by-hop headers and those for the framing.
    body : bytes
    """

    __slots__ = ("header_lines",)

    def __init__(self, status, header_lines, body=b""):
        super().__init__(status, body)
        self.header_lines = header_lines

    def list_header_lines(self):
        """Return the headers to send; see `HttpResponse.list_header_lines`."""
        return list(self.header_lines)


def build_error_response(error, request_id=None):
    """Build the response that reports a `TarragonchuteError` to a caller."""
    response = HttpResponse.from_json(error.describe(request_id), error.status)
    if error.retry_after_s is not None:
        response.headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    if error.status == 401:
        response.headers["WWW-Authenticate"] = "Bearer"
    return response


class BodyCollector:
    """Collects the content of one body and bounds the time that its chunks take."""

    __slots__ = ("size", "_parts", "_chunks")

    def __init__(self):
        self.size = 0
        self._parts = []
        self._chunks = 0

    async def append(self, event):
        """Add the content of an `h11.Data` event.

        Raises
        ------
        ProtocolError
            If the body has too many small chunks.
        """
        self._parts.append(bytes(event.data))
        self.size += len(event.data)
        if not event.chunk_end:
            return
        self._chunks += 1
        check_chunk_count(self._chunks, self.size)
        if self._chunks % CHUNKS_PER_CHECKPOINT == 0:
            await trio.lowlevel.checkpoint()

    def join(self):
        """Return the whole content."""
        return b"".join(self._parts)


def decode_headers(headers):
    """Return headers of h11 as a dict of str to str; of a repeated one, the last."""
    return {name.decode("ascii"): value.decode("latin-1") for name, value in headers}


def build_request_error(status, message):
    """Build a `BadRequestError` with another status."""
    error = BadRequestError(message)
    error.status = status
    return error


def build_request(event, body):
    """Build the `HttpRequest` of an `h11.Request` and its body (bytes)."""
    path, _, query = event.target.decode("ascii").partition("?")
    return HttpRequest(
        event.method.decode("ascii"),
        unquote(path),
        dict(parse_qsl(query, keep_blank_values=True)) if query else {},
        decode_headers(event.headers),
        body,
        event.target,
        list(event.headers),
    )


def build_no_room_error():
    """Build the error for a request that is refused without being read or run."""
    error = OverloadedError("no room for the request, which has not run")
    error.retry_after_s = RETRY_AFTER_S * random.uniform(0.5, 1.5)
    return error


def get_stated_length(event):
    """Return the stated length of a request's body, or None if it is chunked."""
    headers = dict(event.headers)
    if b"transfer-encoding" in headers:
        return None
    return int(headers.get(b"content-length", 0))
