"""HTTP/1.1 on h11 and trio: a server, client connections and a connection pool.

Addresses are ``host:port`` with an IP address as host; an IPv6 address is enclosed in
brackets.
"""

import contextlib
import errno
import logging
import os
import select
import socket
from urllib.parse import parse_qsl, unquote

import h11
import orjson
import trio

from .chunks import check_chunk_count
from .errors import BadRequestError, PortInUseError, ProtocolError, TarragonchuteError

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_INTERIM_RESPONSES = 16
RECEIVE_BYTES = 64 * 1024
IDLE_TIMEOUT_S = 75.0
REQUEST_TIMEOUT_S = 10.0
ACCEPT_GRACE_S = 0.25
LINGER_TIMEOUT_S = 1.0
# How long a closing server still waits for a request on an idle connection. A
# connection that has not carried a request waits `FIRST_REQUEST_GRACE_S`, because its
# client probably opened it to send one.
CLOSING_READ_TIMEOUT_S = 0.02
FIRST_REQUEST_GRACE_S = 1.0
ACCEPT_RETRY_DELAY_S = 0.1
# File descriptors, memory or buffers are exhausted; accepting is retried later.
_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
# Bounds the memory for pipelined data: a client that sends more while the handler runs
# is no longer watched for a disconnect.
MAX_PIPELINED_BYTES = 256 * 1024

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


class ServerOptions:
    """Limits, timeouts and disconnect handling of a server.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Larger requests are rejected with 431 or 413 and their connection is closed.
    idle_timeout_s : float
        Seconds after which an idle connection is closed.
    request_timeout_s : float
        Seconds from the first byte of a request until it must be complete; a later
        one is rejected with 408.
    accept_grace_s : float
        Seconds for which a draining server still accepts connections and requests, so
        that those sent before the client noticed the shutdown are served.
    cancel_on_disconnect : bool
        Whether the handler is cancelled when the client closes the connection, or the
        sending half of it, before the response has been sent.
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "idle_timeout_s",
        "request_timeout_s",
        "accept_grace_s",
        "cancel_on_disconnect",
    )

    def __init__(
        self,
        max_header_bytes=MAX_HEADER_BYTES,
        max_body_bytes=MAX_BODY_BYTES,
        idle_timeout_s=IDLE_TIMEOUT_S,
        request_timeout_s=REQUEST_TIMEOUT_S,
        accept_grace_s=ACCEPT_GRACE_S,
        cancel_on_disconnect=False,
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.idle_timeout_s = idle_timeout_s
        self.request_timeout_s = request_timeout_s
        self.accept_grace_s = accept_grace_s
        self.cancel_on_disconnect = cancel_on_disconnect


async def serve_http(handler, listeners, options=None, shutdown=None):
    """Serve until cancelled, or until `shutdown` is set and all requests are done.

    Parameters
    ----------
    handler : callable
        Async; called with an `HttpRequest`. Returns an `HttpResponse`, or None to
        close the connection without a response. A `TarragonchuteError` is sent as its
        error response, any other exception as a 500.
    listeners : list of trio.abc.Listener
        Closed on return.
    options : ServerOptions or None
    shutdown : trio.Event or None
        Once set, each response closes its connection; after `accept_grace_s` the
        listeners and the idle connections are closed. The call returns when the
        response to the last request in flight has been sent.
    """
    server = _Server(handler, options or ServerOptions())
    async with trio.open_nursery() as nursery:
        for listener in listeners:
            nursery.start_soon(server.accept, listener, nursery)
        if shutdown is not None:
            await shutdown.wait()
            await server.drain()


class _Server:
    """State that all connections of one server share.

    Attributes
    ----------
    is_draining : bool
        Whether each response closes its connection.
    is_closing : bool
        Whether the listeners are closed and idle connections time out early.
    """

    __slots__ = (
        "handler",
        "options",
        "is_draining",
        "is_closing",
        "idle_connections",
        "_accept_scopes",
    )

    def __init__(self, handler, options):
        self.handler = handler
        self.options = options
        self.is_draining = False
        self.is_closing = False
        self.idle_connections = set()
        self._accept_scopes = []

    async def accept(self, listener, nursery):
        async with listener:
            with trio.CancelScope() as scope:
                self._accept_scopes.append(scope)
                while True:
                    await self._accept_connection(listener, nursery)
            if isinstance(listener, trio.SocketListener):
                for stream in _close_listener(listener):
                    nursery.start_soon(self.serve_connection, stream)

    async def drain(self):
        self.is_draining = True
        await trio.sleep(self.options.accept_grace_s)
        self.is_closing = True
        for scope in self._accept_scopes:
            scope.cancel()
        for connection in self.idle_connections:
            connection.shorten_idle_timeout()

    async def _accept_connection(self, listener, nursery):
        try:
            stream = await listener.accept()
        except OSError as error:
            if error.errno not in _RESOURCE_ERRNOS:
                raise
            logger.error("cannot accept a connection: %s", error)
            await trio.sleep(ACCEPT_RETRY_DELAY_S)
        else:
            nursery.start_soon(self.serve_connection, stream)

    async def serve_connection(self, stream):
        try:
            await _ServerConnection(self, stream).run()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            # An error in one connection must not stop the server.
            logger.exception("unexpected error on a server connection")
        finally:
            await trio.aclose_forcefully(stream)


class _ServerConnection:
    """Reads requests from one accepted connection and sends the responses."""

    __slots__ = ("_server", "_stream", "_h11", "_idle_scope", "_is_unused")

    def __init__(self, server, stream):
        self._server = server
        self._stream = stream
        self._idle_scope = None
        self._is_unused = True
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.options.max_header_bytes
        )

    async def run(self):
        try:
            while await self._serve_request():
                self._h11.start_next_cycle()
        except h11.RemoteProtocolError as error:
            await self._send_error(self._convert_protocol_error(error))
        except BadRequestError as error:
            await self._send_error(error)

    async def _serve_request(self):
        """Serve one request; return whether the connection can carry another."""
        request = await self._read_request()
        if request is None:
            return False
        response = await self._run_handler(request)
        if response is None:
            return False
        await self._send(response, is_head=request.method == "HEAD")
        return self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE

    async def _read_request(self):
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            if not await self._wait_for_data():
                return None
            event = None
        with trio.move_on_after(self._server.options.request_timeout_s):
            return await self._read_message(event)
        raise _build_request_error(408, "the request was not received in time")

    async def _wait_for_data(self):
        """Wait for data on an idle connection; return False on a timeout or EOF."""
        server = self._server
        data = b""
        with trio.move_on_after(server.options.idle_timeout_s) as self._idle_scope:
            server.idle_connections.add(self)
            try:
                if server.is_closing:
                    self.shorten_idle_timeout()
                data = await self._stream.receive_some(RECEIVE_BYTES)
            finally:
                server.idle_connections.discard(self)
        self._is_unused = False
        if data:
            self._h11.receive_data(data)
        return bool(data)

    def shorten_idle_timeout(self):
        """Shorten the wait for the next request because the server is closing."""
        wait_s = FIRST_REQUEST_GRACE_S if self._is_unused else CLOSING_READ_TIMEOUT_S
        scope = self._idle_scope
        scope.deadline = min(scope.deadline, trio.current_time() + wait_s)

    async def _read_message(self, event):
        event = event or await self._next_event()
        if type(event) is h11.ConnectionClosed:
            return None
        self._check_headers(event)
        if self._h11.they_are_waiting_for_100_continue:
            reply = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._h11.send(reply))
        return _build_request(event, await self._read_body())

    async def _read_body(self):
        body = _BodyCollector()
        try:
            while type(event := await self._next_event()) is h11.Data:
                await body.append(event)
                self._check_body_size(body.size)
        except ProtocolError as error:
            raise _build_request_error(400, str(error)) from error
        return body.join()

    async def _next_event(self):
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            self._h11.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
        return event

    def _check_headers(self, event):
        size = len(event.target)
        for name, value in event.headers:
            size += len(name) + len(value)
            if name == b"content-length":
                self._check_body_size(int(value))
        if size > self._server.options.max_header_bytes:
            raise self._build_header_size_error()

    def _check_body_size(self, size):
        limit = self._server.options.max_body_bytes
        if size > limit:
            raise _build_request_error(413, f"the body exceeds {limit} bytes")

    def _convert_protocol_error(self, error):
        status = error.error_status_hint
        if status == 431:
            return self._build_header_size_error()
        return _build_request_error(status, f"the request breaks HTTP: {error}")

    def _build_header_size_error(self):
        limit = self._server.options.max_header_bytes
        return _build_request_error(431, f"the headers exceed {limit} bytes")

    async def _run_handler(self, request):
        if not self._server.options.cancel_on_disconnect:
            return await self._call_handler(request)
        response = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            response = await self._call_handler(request)
            nursery.cancel_scope.cancel()
        return response

    async def _call_handler(self, request):
        try:
            return await self._server.handler(request)
        except TarragonchuteError as error:
            return build_error_response(error)
        except Exception:
            logger.exception("handler of %s %s failed", request.method, request.path)
            return build_error_response(TarragonchuteError("internal error"))

    async def _cancel_on_disconnect(self, scope):
        size = 0
        while size < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(RECEIVE_BYTES)
            except trio.BrokenResourceError:
                data = b""
            if not data:
                scope.cancel()
                return
            self._h11.receive_data(data)
            size += len(data)

    async def _send(self, response, is_head=False):
        headers = response.list_header_lines()
        headers.append(("Content-Length", str(len(response.body))))
        if self._server.is_draining:
            headers.append(("Connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [self._h11.send(head)]
        if response.body and not is_head:
            parts.append(self._h11.send(h11.Data(data=response.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        await self._stream.send_all(b"".join(parts))

    async def _send_error(self, error):
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = build_error_response(error)
        response.headers["Connection"] = "close"
        await self._send(response)
        await self._linger()

    async def _linger(self):
        """Discard incoming data until the client closes or `LINGER_TIMEOUT_S` passes.

        Closing a socket with unread data resets the connection, and the client may
        then lose the response.
        """
        if isinstance(self._stream, trio.abc.HalfCloseableStream):
            await self._stream.send_eof()
        with trio.move_on_after(LINGER_TIMEOUT_S):
            while await self._stream.receive_some(RECEIVE_BYTES):
                pass


class _BodyCollector:
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


def _close_listener(listener):
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


def _build_request_error(status, message):
    error = BadRequestError(message)
    error.status = status
    return error


def _build_request(event, body):
    path, _, query = event.target.decode("ascii").partition("?")
    return HttpRequest(
        event.method.decode("ascii"),
        unquote(path),
        dict(parse_qsl(query, keep_blank_values=True)) if query else {},
        _decode_headers(event.headers),
        body,
        event.target,
        list(event.headers),
    )


def _decode_headers(headers):
    return {name.decode("ascii"): value.decode("latin-1") for name, value in headers}


class KeepAlive:
    """TCP keep-alive settings that detect a peer which vanished without a reset.

    Parameters
    ----------
    idle_s, interval_s : int
        Seconds without data before the first probe, and seconds between probes.
    probes : int
        Unanswered probes after which the connection is closed.
    """

    __slots__ = ("idle_s", "interval_s", "probes")

    def __init__(self, idle_s, interval_s, probes):
        self.idle_s = idle_s
        self.interval_s = interval_s
        self.probes = probes

    def apply(self, sock):
        """Set the options of a socket.

        ``TCP_USER_TIMEOUT`` is set to the time after which failed probes close the
        connection, so that unacknowledged data closes it after the same time.
        """
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, self.idle_s)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, self.interval_s)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, self.probes)
        timeout_s = self.idle_s + self.interval_s * self.probes
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, timeout_s * 1000)


class HttpConnection:
    """A client connection that carries one exchange at a time.

    After a failed or cancelled exchange it cannot be reused and must be closed.

    Parameters
    ----------
    stream : trio.SocketStream
    host : str
        Value of the ``Host`` header.
    """

    __slots__ = ("_stream", "_h11", "_host", "_poll", "_is_idle", "is_request_sent")

    def __init__(self, stream, host):
        self._stream = stream
        self._h11 = h11.Connection(h11.CLIENT)
        self._host = host.encode("ascii")
        self._poll = select.poll()
        self._poll.register(stream.socket.fileno(), select.POLLIN)
        self._is_idle = True
        self.is_request_sent = False

    @classmethod
    async def open(cls, address, timeout_s, keep_alive=None):
        """Connect to an address and return the `HttpConnection`.

        Parameters
        ----------
        address : str
        timeout_s : float
        keep_alive : KeepAlive or None

        Raises
        ------
        OSError
            If connecting fails; `TimeoutError` after `timeout_s` seconds.
        """
        host, port = split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = trio.socket.socket(family, socket.SOCK_STREAM)
        try:
            if keep_alive is not None:
                keep_alive.apply(sock)
            with trio.move_on_after(timeout_s) as scope:
                await sock.connect((host, port))
            if scope.cancelled_caught:
                raise TimeoutError(
                    f"connecting to {address} timed out after {timeout_s} s"
                )
        except BaseException:
            sock.close()
            raise
        return cls(trio.SocketStream(sock), address)

    @property
    def is_reusable(self):
        """Whether another exchange may start.

        An idle connection that is readable holds data that belongs to no request, or
        has been closed by the peer.
        """
        return self._is_idle and not self._poll.poll(0)

    async def exchange(self, method, path, headers=(), body=b""):
        """Send one request and return its `HttpResponse`.

        Parameters
        ----------
        method, path : str
            The path must be percent-encoded and may include a query.
        headers : list of (str or bytes, str or bytes)
            Without ``Host`` and ``Content-Length``.
        body : bytes

        Raises
        ------
        ConnectionError
            If the connection was lost before the response was complete.
        ProtocolError
            If the response violates HTTP or is too large.
        BadRequestError
            If a header or the path contains characters that HTTP does not allow.
            Nothing has been sent then.
        """
        await self.send_request(method, path, headers, body)
        return await self.receive_response()

    async def send_request(self, method, path, headers=(), body=b""):
        """Send one request; raises the errors of `exchange`."""
        self._is_idle = False
        self.is_request_sent = False
        data = self._encode(method, path, headers, body)
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionResetError(str(error)) from error
        self.is_request_sent = True

    async def receive_response(self):
        """Return the response to the last request; raises the errors of `exchange`."""
        head = await self._receive_head()
        body = await self._read_body()
        self._finish_exchange()
        headers = _decode_headers(head.headers)
        return HttpResponse(head.status_code, body, headers)

    async def skip_response(self):
        """Read and discard the response, or what is left of it.

        Returns
        -------
        str or None
            Its `X-Request-Id`; None if it has none, or if the headers had been read
            before.
        """
        request_id = None
        if self._h11.their_state is h11.SEND_RESPONSE:
            head = await self._receive_head()
            request_id = dict(head.headers).get(b"x-request-id")
        await self._read_body()
        return request_id and request_id.decode("latin-1")

    def close(self):
        """Close the connection at once."""
        self._is_idle = False
        self._stream.socket.close()

    def _encode(self, method, path, headers, body):
        lines = [(b"Host", self._host), *headers]
        if body or method != "GET":
            lines.append((b"Content-Length", b"%d" % len(body)))
        try:
            head = h11.Request(method=method, target=path, headers=lines)
            data = self._h11.send(head)
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise BadRequestError(
                f"the request cannot be sent as HTTP: {error}"
            ) from error
        if body:
            data += self._h11.send(h11.Data(data=body))
        self._h11.send(h11.EndOfMessage())
        return data

    async def _receive_head(self):
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if type(event) is h11.Response:
                return event
        raise ProtocolError(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    async def _read_body(self):
        body = _BodyCollector()
        while type(event := await self._next_event()) is not h11.EndOfMessage:
            await body.append(event)
            if body.size > MAX_BODY_BYTES:
                raise ProtocolError(f"the response exceeds {MAX_BODY_BYTES} bytes")
        return body.join()

    async def _next_event(self):
        is_eof = False
        try:
            while (event := self._h11.next_event()) is h11.NEED_DATA:
                data = await self._stream.receive_some(RECEIVE_BYTES)
                is_eof = not data
                self._h11.receive_data(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionResetError(str(error)) from error
        except h11.RemoteProtocolError as error:
            if is_eof:
                raise ConnectionResetError("the peer closed the connection") from error
            raise ProtocolError(f"the response violates HTTP: {error}") from error
        if type(event) is h11.ConnectionClosed:
            raise ConnectionResetError("the peer closed the connection")
        return event

    def _finish_exchange(self):
        parser = self._h11
        is_done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        # Data after the response would be read as the response to the next request.
        if is_done and parser.trailing_data == (b"", False):
            parser.start_next_cycle()
            self._is_idle = True


class ConnectionPool:
    """Pool with a bounded number of connections to one address.

    Call `reserve`, then `connect`, then `release` once for each `reserve`.

    Parameters
    ----------
    address : str
    max_connections : int
        At least 1; includes idle connections and those being opened.
    connect_timeout_s : float
    keep_alive : KeepAlive or None
    """

    __slots__ = (
        "_address",
        "_connect_timeout_s",
        "_keep_alive",
        "_slots",
        "_idle",
        "_is_closed",
        "connections",
    )

    def __init__(self, address, max_connections, connect_timeout_s, keep_alive=None):
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._keep_alive = keep_alive
        self._slots = trio.Semaphore(max_connections)
        self._idle = []
        self._is_closed = False
        self.connections = 0

    def try_reserve(self):
        """Reserve a connection slot without waiting; return whether one was free."""
        if not self._slots.value:
            return False
        self._slots.acquire_nowait()
        return True

    async def reserve(self):
        """Reserve a connection slot, waiting until one is free."""
        if not self.try_reserve():
            await self._slots.acquire()

    async def connect(self):
        """Return an idle `HttpConnection`, or a new one.

        Raises
        ------
        OSError
            If no connection can be opened. The slot stays reserved.
        """
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            self._close(connection)
        self.connections += 1
        try:
            return await HttpConnection.open(
                self._address, self._connect_timeout_s, self._keep_alive
            )
        except BaseException:
            self.connections -= 1
            raise

    def release(self, connection):
        """Free a slot and return its connection to the pool.

        Parameters
        ----------
        connection : HttpConnection or None
            None if no connection was established.
        """
        if connection is not None:
            if connection.is_reusable and not self._is_closed:
                self._idle.append(connection)
            else:
                self._close(connection)
        self._slots.release()

    def close(self):
        """Close the idle connections now, and the others on their release."""
        self._is_closed = True
        while self._idle:
            self._close(self._idle.pop())

    def _close(self, connection):
        connection.close()
        self.connections -= 1
