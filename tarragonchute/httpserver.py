"""HTTP/1.1 server on h11 and trio."""

import contextlib
import errno
import logging
import os
import socket
from urllib.parse import parse_qsl, unquote

import h11
import trio

from .errors import BadRequestError, ProtocolError, TarragonchuteError
from .httpmessages import (
    MAX_BODY_BYTES,
    RECEIVE_BYTES,
    BodyCollector,
    HttpRequest,
    build_error_response,
    decode_headers,
)

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES = 16 * 1024
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
        body = BodyCollector()
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
        decode_headers(event.headers),
        body,
        event.target,
        list(event.headers),
    )
