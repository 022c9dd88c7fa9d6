"""HTTP/1.1 client connections and a connection pool, on h11 and trio.

The names of `httpmessages` and `httpserver` that other modules use can be imported from
here.
"""

import select
import socket

import h11
import trio

from .errors import BadRequestError, ProtocolError
from .httpmessages import (
    MAX_BODY_BYTES,
    RECEIVE_BYTES,
    BodyCollector,
    ForwardedResponse,
    HttpRequest,
    HttpResponse,
    bind_listeners,
    build_error_response,
    decode_headers,
    get_address,
    split_address,
)
from .httpserver import ServerOptions, serve_http
from .replies import check_status

__all__ = [
    "ConnectionPool",
    "ForwardedResponse",
    "HttpConnection",
    "HttpRequest",
    "HttpResponse",
    "KeepAlive",
    "ServerOptions",
    "bind_listeners",
    "build_error_response",
    "get_address",
    "serve_http",
    "split_address",
]

MAX_INTERIM_RESPONSES = 16


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
        headers = decode_headers(head.headers)
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
                check_status(event.status_code)
                return event
        raise ProtocolError(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    async def _read_body(self):
        body = BodyCollector()
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
