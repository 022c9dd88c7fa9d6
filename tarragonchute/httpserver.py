"""HTTP/1.1 server on h11 and trio.

A connection reads no more than the request that it serves next needs: what a caller
sends ahead waits in the kernel, whose buffers are bounded. `memory.MemoryAccount`
decides when a connection waits, is refused or is closed because of its bytes.
"""

import errno
import logging
import select
import socket
import struct

import h11
import trio

from .disconnects import DisconnectWatcher
from .errors import (
    BadRequestError,
    ProtocolError,
    TarragonchuteError,
)
from .httpmessages import (
    RECEIVE_BYTES,
    BodyCollector,
    build_error_response,
    build_no_room_error,
    build_request,
    build_request_error,
    close_listener,
    get_stated_length,
)
from .memory import (
    SMALL_BYTES,
    MemoryAccount,
    MemoryLimits,
    Phase,
    Source,
)
from .serveroptions import ServerOptions

logger = logging.getLogger(__name__)

LINGER_TIMEOUT_S = 1.0

UNREAD_LINGER_S = 0.25
"""As `LINGER_TIMEOUT_S`, after an answer that closes its connection before requests
that were sent ahead. It is shorter because many connections may need it at once, and
because a server that shuts down waits for it."""

# How long a closing server still waits for a request on an idle connection. A
# connection that has not carried a request waits `FIRST_REQUEST_GRACE_S`, because its
# client probably opened it to send one.
CLOSING_READ_TIMEOUT_S = 0.02
FIRST_REQUEST_GRACE_S = 1.0
ACCEPT_RETRY_DELAY_S = 0.1
# File descriptors, memory or buffers are exhausted; accepting is retried later.
_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)

HEAD_RECEIVE_BYTES = 16 * 1024
"""Bytes read at once of a request whose size is not known yet. Bounds the pipelined
requests that a connection holds."""

CALLER_BACKLOG = 512
"""Connections that wait to be accepted, with the bytes that their callers have sent.
Enough for a pause of 3 s with 162 requests/s on new connections (target size)."""

SEND_BYTES = 64 * 1024
"""Bytes of an answer that a caller has to take within `send_timeout_s`; answers up to
this size are sent in one piece."""

PAUSE_S = 0.02
MAX_PAUSES = 25
"""A request waits for room in up to 25 pauses of 20 ms. It is then read on, and others
are refused or closed for it. Most requests end sooner."""

BODY_COPIES = 2
"""The body of a request that runs is held twice: as received, and as forwarded."""

REFUSAL_TIMEOUT_S = 0.05
"""Time for the refusal of a new connection; its send buffer is empty."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value with which closing drops the unsent bytes in the kernel."""


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
    try:
        await _run_server(server, listeners, shutdown)
    finally:
        if server.watcher is not None:
            server.watcher.close()


async def _run_server(server, listeners, shutdown):
    async with trio.open_nursery() as nursery:
        if server.watcher is not None:
            nursery.start_soon(server.watcher.run)
        async with trio.open_nursery() as connections:
            for listener in listeners:
                server.limit_kernel_buffers(listener)
                connections.start_soon(server.accept, listener, connections)
            if shutdown is not None:
                await shutdown.wait()
                await server.drain()
        nursery.cancel_scope.cancel()


class _Server:
    """State that all connections of one server share.

    Attributes
    ----------
    is_draining : bool
        Whether each response closes its connection.
    is_closing : bool
        Whether the listeners are closed and idle connections time out early.
    memory : memory.MemoryAccount
    watcher : disconnects.DisconnectWatcher or None
    """

    __slots__ = (
        "handler",
        "options",
        "is_draining",
        "is_closing",
        "memory",
        "watcher",
        "idle_connections",
        "_accept_scopes",
    )

    def __init__(self, handler, options):
        self.handler = handler
        self.options = options
        self.is_draining = False
        self.is_closing = False
        self.memory = options.memory or MemoryAccount(MemoryLimits.from_process())
        self.watcher = DisconnectWatcher() if options.cancel_on_disconnect else None
        self.idle_connections = set()
        self._accept_scopes = []

    def limit_kernel_buffers(self, listener):
        """Bound the number of waiting connections and the buffers of all connections.

        The kernel would let thousands wait, and a receive buffer grow to megabytes.
        """
        is_limited = self.options.memory and self.options.source is Source.CALLER
        if is_limited and isinstance(listener, trio.SocketListener):
            size = self.memory.limits.kernel_buffer_bytes
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                listener.socket.setsockopt(socket.SOL_SOCKET, option, size)
            # Replaces the backlog with which the socket began to listen.
            listener.socket.listen(CALLER_BACKLOG)

    async def accept(self, listener, nursery):
        async with listener:
            with trio.CancelScope() as scope:
                self._accept_scopes.append(scope)
                while True:
                    await self._accept_connection(listener, nursery)
            if isinstance(listener, trio.SocketListener):
                for stream in close_listener(listener):
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
            await self._run_connection(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            # An error in one connection must not stop the server.
            logger.exception("unexpected error on a server connection")
        finally:
            await trio.aclose_forcefully(stream)

    async def _run_connection(self, stream):
        connection = _ServerConnection(self, stream)
        try:
            await connection.run()
        finally:
            connection.close()


class _ClosingError(Exception):
    """The account has asked for the connection to be closed, or refused its request."""


class _StalledError(Exception):
    """The client takes no bytes of its response."""


class _ServerConnection:
    """Reads requests from one accepted connection and sends the responses."""

    __slots__ = (
        "_server",
        "_stream",
        "_memory",
        "_holding",
        "_h11",
        "_scope",
        "_idle_scope",
        "_handler_scope",
        "_read_bytes",
        "_pauses_left",
        "_watched_fd",
        "_is_unused",
        "_is_disconnected",
    )

    def __init__(self, server, stream):
        self._server = server
        self._stream = stream
        self._memory = server.memory
        self._scope = trio.CancelScope()
        self._idle_scope = None
        self._handler_scope = None
        # Bytes received of the request that is being read, and behind it.
        self._read_bytes = 0
        self._pauses_left = MAX_PAUSES
        self._is_unused = True
        self._is_disconnected = False
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.options.max_header_bytes
        )
        self._watched_fd = None
        self._holding = self._memory.open(
            server.options.source, self._scope.cancel, trio.current_time()
        )

    async def run(self):
        if self._holding is None:
            with trio.move_on_after(REFUSAL_TIMEOUT_S):
                await self._send_error(build_no_room_error(), lingers=False)
            return
        self._watch_disconnect()
        with self._scope:
            await self._serve_requests()
        if self._holding.is_refused:
            with trio.move_on_after(LINGER_TIMEOUT_S):
                await self._send_error(build_no_room_error())
        elif self._holding.is_closing:
            self._reset_on_close()

    def _watch_disconnect(self):
        watcher = self._server.watcher
        if watcher is not None and isinstance(self._stream, trio.SocketStream):
            fd = self._stream.socket.fileno()
            watcher.add(fd, self._handle_disconnect)
            self._watched_fd = fd

    def close(self):
        """Give up what the connection holds; the stream is closed afterwards."""
        if self._watched_fd is not None:
            self._server.watcher.remove(self._watched_fd)
        if self._holding is not None:
            self._memory.release(self._holding)

    async def _serve_requests(self):
        try:
            await self._serve_until_bad_request()
        except _ClosingError:
            pass  # `run` sends the refusal, or closes the connection.
        except _StalledError:
            self._memory.record_stall()
            self._reset_on_close()

    async def _serve_until_bad_request(self):
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
        is_head = request.method == "HEAD"
        size = len(request.body) * BODY_COPIES + self._count_buffered_bytes()
        self._enter(Phase.RUNNING, size)
        response = await self._run_handler(request)
        # The body is not needed any more: sending may take long, and other objects that
        # hold the request may be garbage that is collected only much later.
        request.body = b""
        if response is None:
            return False
        await self._send(response, is_head)
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            return True
        if self._has_unread_data():
            await self._linger(UNREAD_LINGER_S)
        return False

    async def _read_request(self):
        self._read_bytes = self._count_buffered_bytes()
        self._pauses_left = MAX_PAUSES
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            if not self._read_bytes and not await self._wait_for_data():
                return None
            event = None
        self._enter(Phase.READING, self._read_bytes)
        with trio.move_on_after(self._server.options.request_timeout_s):
            return await self._read_message(event)
        raise build_request_error(408, "the request was not received in time")

    async def _wait_for_data(self):
        """Wait for data on an idle connection; return False on a timeout or EOF."""
        server = self._server
        data = b""
        if not self._is_unused:
            self._enter(Phase.IDLE, 0)
        with trio.move_on_after(server.options.idle_timeout_s) as self._idle_scope:
            server.idle_connections.add(self)
            try:
                if server.is_closing:
                    self.shorten_idle_timeout()
                data = await self._stream.receive_some(HEAD_RECEIVE_BYTES)
            finally:
                server.idle_connections.discard(self)
        self._is_unused = False
        if data:
            self._read_bytes = len(data)
            self._h11.receive_data(data)
        return bool(data)

    def shorten_idle_timeout(self):
        """Shorten the wait for the next request because the server is closing."""
        wait_s = FIRST_REQUEST_GRACE_S if self._is_unused else CLOSING_READ_TIMEOUT_S
        scope = self._idle_scope
        scope.deadline = min(scope.deadline, trio.current_time() + wait_s)

    def _enter(self, phase, size):
        """Change the phase; raises `_ClosingError` if there is no room for `size`."""
        if not self._memory.enter(self._holding, phase, size, trio.current_time()):
            raise _ClosingError

    def _count_buffered_bytes(self):
        return len(self._h11.trailing_data[0])

    async def _receive(self, max_bytes):
        """Read bytes of a request, once there is room for them."""
        if self._read_bytes + max_bytes > SMALL_BYTES:
            await self._wait_for_room(max_bytes)
        data = await self._stream.receive_some(max_bytes)
        self._h11.receive_data(data)
        self._read_bytes += len(data)
        self._resize(self._read_bytes)

    async def _wait_for_room(self, max_bytes):
        """Wait until bytes have arrived and there is room, and hold that many.

        Many connections may become readable at once. Each has to see what the others
        are about to read.
        """
        if isinstance(self._stream, trio.SocketStream):
            await trio.lowlevel.wait_readable(self._stream.socket)
        while self._pauses_left and self._memory.must_pause(self._holding):
            self._pauses_left -= 1
            await trio.sleep(PAUSE_S)
        self._resize(self._read_bytes + max_bytes)

    def _resize(self, size):
        """Change the held bytes; raises `_ClosingError` if there is no room."""
        if not self._memory.resize(self._holding, size, trio.current_time()):
            raise _ClosingError

    async def _read_message(self, event):
        event = event or await self._next_event()
        if type(event) is h11.ConnectionClosed:
            return None
        self._check_headers(event)
        if self._h11.they_are_waiting_for_100_continue:
            reply = h11.InformationalResponse(status_code=100, headers=[])
            await self._send_bytes(self._h11.send(reply))
        return build_request(event, await self._read_body(get_stated_length(event)))

    async def _read_body(self, length):
        body = BodyCollector()
        try:
            while type(event := await self._next_event(length, body.size)) is h11.Data:
                await body.append(event)
                self._check_body_size(body.size)
        except ProtocolError as error:
            raise build_request_error(400, str(error)) from error
        return body.join()

    async def _next_event(self, length=None, size=0):
        """Return the next event of the request.

        Of a body with a stated length, nothing beyond its end is read.
        """
        while (event := self._h11.next_event()) is h11.NEED_DATA:
            if length is None:
                await self._receive(HEAD_RECEIVE_BYTES)
            else:
                await self._receive(min(max(length - size, 1), RECEIVE_BYTES))
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
            raise build_request_error(413, f"the body exceeds {limit} bytes")

    def _convert_protocol_error(self, error):
        status = error.error_status_hint
        if status == 431:
            return self._build_header_size_error()
        return build_request_error(status, f"the request breaks HTTP: {error}")

    def _build_header_size_error(self):
        limit = self._server.options.max_header_bytes
        return build_request_error(431, f"the headers exceed {limit} bytes")

    async def _run_handler(self, request):
        if self._server.watcher is None:
            return await self._call_handler(request)
        response = None
        with trio.CancelScope() as self._handler_scope:
            if self._is_disconnected:
                self._handler_scope.cancel()
            response = await self._call_handler(request)
        self._handler_scope = None
        return response

    def _handle_disconnect(self):
        self._is_disconnected = True
        if self._handler_scope is not None:
            self._handler_scope.cancel()

    async def _call_handler(self, request):
        try:
            return await self._server.handler(request)
        except TarragonchuteError as error:
            # The frames of the traceback hold the request and, through the record of
            # its outcome, this error: a cycle that is freed only much later.
            error.__traceback__ = None
            return build_error_response(error)
        except Exception:
            logger.exception("handler of %s %s failed", request.method, request.path)
            return build_error_response(TarragonchuteError("internal error"))

    async def _send(self, response, is_head=False):
        headers = response.list_header_lines()
        headers.append(("Content-Length", str(len(response.body))))
        is_crowded = self._memory.is_crowded(
            self._server.options.source, trio.current_time()
        )
        if self._server.is_draining or is_crowded:
            headers.append(("Connection", "close"))
        parts = [
            self._h11.send(h11.Response(status_code=response.status, headers=headers))
        ]
        if response.body and not is_head:
            parts.append(self._h11.send(h11.Data(data=response.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        size = sum(map(len, parts))
        buffered = self._count_buffered_bytes()
        if self._holding is not None and not self._holding.is_closing:
            self._enter(Phase.SENDING, size + buffered)
        if size <= SEND_BYTES:
            parts = [b"".join(parts)]
        for part in parts:
            await self._send_bytes(part)

    async def _send_bytes(self, data):
        if len(data) > SEND_BYTES:
            data = memoryview(data)
        for start in range(0, len(data), SEND_BYTES):
            with trio.move_on_after(self._server.options.send_timeout_s) as scope:
                await self._stream.send_all(data[start : start + SEND_BYTES])
            if scope.cancelled_caught:
                raise _StalledError
            if self._holding:
                self._memory.record_progress(self._holding, trio.current_time())

    async def _send_error(self, error, lingers=True):
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = build_error_response(error)
        response.headers["Connection"] = "close"
        await self._send(response)
        if lingers:
            await self._linger()

    def _reset_on_close(self):
        if isinstance(self._stream, trio.SocketStream):
            self._stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    def _has_unread_data(self):
        if self._count_buffered_bytes():
            return True
        if not isinstance(self._stream, trio.SocketStream):
            return False
        poll = select.poll()
        poll.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def _linger(self, timeout_s=LINGER_TIMEOUT_S):
        """Discard incoming data until the client closes or a timeout passes.

        Closing a socket with unread data resets the connection, and the client may
        then lose the response.
        """
        if isinstance(self._stream, trio.abc.HalfCloseableStream):
            await self._stream.send_eof()
        with trio.move_on_after(timeout_s):
            while await self._stream.receive_some(RECEIVE_BYTES):
                pass
