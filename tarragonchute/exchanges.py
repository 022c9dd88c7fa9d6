"""Exchanges with targets over pooled connections, driven by one event loop.

A search starts dozens of exchanges at once. A task for each would cost more than the
exchange itself, so one task waits on an epoll set with all connections and calls
back into state machines.
"""

import collections
import enum
import errno
import logging
import select
import socket

from .errors import ProtocolError
from .reactor import Reactor
from .replies import ReplyReader

logger = logging.getLogger(__name__)

RECEIVE_BYTES = 64 * 1024

CONNECT_TIMEOUT_S = 0.6
"""A connection within a region takes milliseconds; a lost opening packet is sent
again after a second, so waiting longer than this only holds the place."""

ABANDON_GRACE_S = 0.15
"""Time for an exchange that nobody waits for any more to end by itself. Closing its
connection would cost a new one, and the target drops the request at the close."""

SILENCE_TIMEOUT_S = 15
"""Seconds of unacknowledged data after which the kernel closes a connection; requests
have shorter limits, so this only frees connections that fell silent."""

MIN_CONNECTION_LIFE_S = 1.0
"""A connection that ends sooner than this is not replaced ahead of its use."""

IDLE_LIFETIME_S = 30.0
"""Idle time after which an unused connection is closed, if the target names none."""

KEEP_ALIVE_MARGIN_S = 1.0
"""A connection is not used in the last second of the idle time that its target
stated, because the request could cross the target's close."""

MIN_IDLE_S = 0.001
"""Idle time of connections whose targets state a second or less."""

SWEEP_PERIOD_S = 0.05
"""Period at which overdue connections in use are looked for."""

IDLE_SWEEP_PERIOD_S = 1.0
"""Period at which idle connections beyond their time are looked for."""


class FailureKind(enum.Enum):
    """What is known about a request whose exchange failed."""

    UNSENT = "unsent"
    """No byte of it reached the target, so it did not run."""

    LOST = "lost"
    """It was sent and no usable reply came, so it may have run."""


class Exchange:
    """One request to one target.

    Parameters
    ----------
    request : bytes
        The whole message.
    method : bytes
    request_id : bytes
        The reply must carry it; a reply with another id belongs to another request.
    owner : ExchangeOwner
    started_at : float
        Monotonic seconds.
    target : registry.RegisteredTarget or None
        Told the end of the exchange.
    usual_s : float
        Usual reply time of such requests, to judge this one by.

    Attributes
    ----------
    sent_at : float or None
        When its first byte was sent.
    finished_at : float or None
    link : TargetLink or None
    is_cut : bool
        Whether it was ended without a reply, after nobody waited for it any more.
    """

    __slots__ = (
        "request",
        "method",
        "request_id",
        "owner",
        "started_at",
        "sent_at",
        "finished_at",
        "abandoned_at",
        "link",
        "connection",
        "target",
        "usual_s",
        "is_cut",
    )

    def __init__(
        self,
        request,
        method,
        request_id,
        owner,
        started_at,
        target=None,
        usual_s=0.0,
    ):
        self.request = request
        self.method = method
        self.request_id = request_id
        self.owner = owner
        self.started_at = started_at
        self.sent_at = None
        self.finished_at = None
        self.abandoned_at = None
        self.link = None
        self.connection = None
        self.target = target
        self.usual_s = usual_s
        self.is_cut = False


class ExchangeOwner:
    """What is told the end of an exchange; each is called at most once."""

    __slots__ = ()

    def handle_reply(self, exchange, reply):
        """Take the `Reply` whose id matches."""

    def handle_failure(self, exchange, kind, reason):
        """Take a `FailureKind` and a text for the log."""


class _Phase(enum.Enum):
    CONNECTING = 1
    IDLE = 2
    BUSY = 3
    CLOSED = 4


class _Connection:
    """One connection to a target."""

    __slots__ = (
        "link",
        "sock",
        "fd",
        "phase",
        "exchange",
        "reader",
        "unsent",
        "opened_at",
        "idle_since",
        "idle_limit_s",
    )

    def __init__(self, link, sock, now):
        self.link = link
        self.sock = sock
        self.fd = sock.fileno()
        self.phase = _Phase.CONNECTING
        self.exchange = None
        self.reader = ReplyReader()
        self.unsent = None
        self.opened_at = now
        self.idle_since = now
        self.idle_limit_s = None

    @property
    def is_closed(self):
        """See `reactor.Watched`."""
        return self.phase is _Phase.CLOSED

    def handle_event(self, events, now):
        """See `reactor.Watched`."""
        self.link.handle_event(self, events, now)


class TargetLink:
    """The connections to one address, and the exchanges that use them.

    Parameters
    ----------
    reactor : TargetReactor
    address : tuple of (str, int)
    max_connections : int
        Connections that this VM may have open at a time.

    Attributes
    ----------
    in_flight : collections.OrderedDict
        Exchanges that were started and have not ended, oldest first.
    opened : int
        Connections opened since the start.
    is_broken : bool
        Whether the latest attempt to connect failed.
    is_kept_warm : bool
        Whether a connection that ended while idle is reported for replacement.
    """

    __slots__ = (
        "_reactor",
        "address",
        "max_connections",
        "in_flight",
        "opened",
        "is_broken",
        "is_kept_warm",
        "_idle",
        "_connections",
        "_waiting",
        "_is_closed",
    )

    def __init__(self, reactor, address, max_connections):
        self._reactor = reactor
        self.address = address
        self.max_connections = max_connections
        self.in_flight = collections.OrderedDict()
        self.opened = 0
        self.is_broken = False
        self.is_kept_warm = False
        self._idle = []
        self._connections = {}
        self._waiting = collections.deque()
        self._is_closed = False

    def start(self, exchange, now):
        """Send the request now, or as soon as a connection is ready.

        The owner may be called before this returns.
        """
        exchange.link = self
        self.in_flight[exchange] = None
        self._reactor.note_start(self)
        connection = self._take_idle(now)
        if connection is not None:
            self._send(connection, exchange, now)
            return
        self._waiting.append(exchange)
        self._open_for_waiting(now)

    def abandon(self, exchange, now):
        """Stop caring for the end of an exchange.

        One that has not been sent is withdrawn; one that was sent is given
        `ABANDON_GRACE_S` to end.
        """
        if exchange.finished_at is not None or exchange.abandoned_at is not None:
            return
        exchange.owner = None
        exchange.abandoned_at = now
        self._reactor.note_end()
        if exchange.connection is None:
            self._waiting.remove(exchange)
            self._finish(exchange, now)

    def oldest_wait(self, now):
        """Return the age in seconds of the oldest exchange in flight, or 0."""
        for exchange in self.in_flight:
            return now - exchange.started_at
        return 0.0

    def count_connections(self):
        """Return the number of open connections."""
        return len(self._connections)

    def is_finished(self):
        """Return whether the link was closed and its last connection too."""
        return self._is_closed and not self._connections

    def close(self, now):
        """Close idle connections, and the others as their exchanges end."""
        self._is_closed = True
        while self._idle:
            self._drop(self._idle.pop())
        if not self._connections:
            self._fail_waiting(now, "the target is gone")

    def warm_up(self, now):
        """Open one connection if there is none; return whether one was opened."""
        if self._connections or self._is_closed or not self._open(now):
            return False
        self._reactor.note_active(self)
        return True

    def sweep(self, now):
        """Close connections that are overdue; return whether any is in use."""
        is_active = bool(self.in_flight)
        for connection in list(self._connections.values()):
            if connection.phase is _Phase.CONNECTING:
                is_active = True
                if now - connection.opened_at > CONNECT_TIMEOUT_S:
                    self._fail_connect(connection, "no connection in time", now)
            elif connection.phase is _Phase.BUSY:
                self._sweep_busy(connection, now)
        return is_active

    def sweep_idle(self, now):
        """Close connections that have been idle for their time."""
        for connection in [c for c in self._idle if self._is_stale(c, now)]:
            self._drop_idle(connection, now)

    def handle_event(self, connection, events, now):
        """Advance one connection after epoll reported it."""
        if connection.phase is _Phase.CONNECTING:
            self._finish_connect(connection, now)
        elif connection.phase is _Phase.IDLE:
            # Bytes on an idle connection answer no request; its end is as final.
            self._drop_idle(connection, now)
        elif connection.phase is _Phase.BUSY:
            if events & select.EPOLLOUT and connection.unsent is not None:
                self._send_rest(connection, now)
            if events & ~select.EPOLLOUT and connection.phase is _Phase.BUSY:
                self._receive(connection, now)

    def _sweep_busy(self, connection, now):
        exchange = connection.exchange
        if exchange.abandoned_at is None:
            return
        if now - exchange.abandoned_at > ABANDON_GRACE_S:
            exchange.is_cut = True
            self._end_busy(connection, now)
            self._finish(exchange, now)
            self._open_for_waiting(now)

    def _take_idle(self, now):
        while self._idle:
            connection = self._idle.pop()
            if not self._is_stale(connection, now):
                return connection
            self._drop(connection)
        return None

    def _is_stale(self, connection, now):
        limit_s = connection.idle_limit_s or IDLE_LIFETIME_S
        return now - connection.idle_since > limit_s

    def _open_for_waiting(self, now):
        connecting = sum(
            c.phase is _Phase.CONNECTING for c in self._connections.values()
        )
        while len(self._waiting) > connecting:
            if self._is_closed or len(self._connections) >= self.max_connections:
                break
            if not self._open(now):
                break
            connecting += 1
        if self._waiting and not self._connections:
            self._fail_waiting(now, "no connection can be opened")

    def _open(self, now):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            limit_ms = SILENCE_TIMEOUT_S * 1000
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
            code = sock.connect_ex(self.address)
        except OSError as error:
            logger.warning("cannot open a connection to %s: %s", self.address, error)
            sock.close()
            return False
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            self.is_broken = True
            return False
        connection = _Connection(self, sock, now)
        self._connections[connection.fd] = connection
        self.opened += 1
        self._reactor.add(connection, select.EPOLLOUT)
        return True

    def _finish_connect(self, connection, now):
        code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail_connect(connection, errno.errorcode.get(code, str(code)), now)
            return
        self.is_broken = False
        self._reactor.watch(connection, select.EPOLLIN)
        self._make_idle(connection, now)

    def _fail_connect(self, connection, reason, now):
        self.is_broken = True
        self._drop(connection)
        if not self._connections:
            self._fail_waiting(now, reason)

    def _make_idle(self, connection, now):
        """Use a free connection for the next waiting exchange, or keep it."""
        if self._waiting:
            self._send(connection, self._waiting.popleft(), now)
        elif self._is_closed:
            self._drop(connection)
        else:
            connection.phase = _Phase.IDLE
            connection.idle_since = now
            self._idle.append(connection)

    def _send(self, connection, exchange, now):
        connection.phase = _Phase.BUSY
        connection.exchange = exchange
        connection.reader.start(exchange.method)
        exchange.connection = connection
        try:
            sent = connection.sock.send(exchange.request)
        except BlockingIOError:
            sent = 0
        except OSError:
            # Nothing of this request was taken, so another connection may carry it.
            connection.exchange = None
            exchange.connection = None
            self._drop(connection)
            self._waiting.appendleft(exchange)
            self._open_for_waiting(now)
            return
        exchange.sent_at = now
        if sent < len(exchange.request):
            connection.unsent = memoryview(exchange.request)[sent:]
            self._reactor.watch(connection, select.EPOLLIN | select.EPOLLOUT)

    def _send_rest(self, connection, now):
        try:
            sent = connection.sock.send(connection.unsent)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_exchange(connection, f"sending failed: {error}", now)
            return
        connection.unsent = connection.unsent[sent:]
        if not connection.unsent:
            connection.unsent = None
            self._reactor.watch(connection, select.EPOLLIN)

    def _receive(self, connection, now):
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_exchange(connection, f"receiving failed: {error}", now)
            return
        try:
            if data:
                reply = connection.reader.receive(data)
            else:
                reply = connection.reader.finish()
            while reply is not None and not self._take_reply(connection, reply, now):
                reply = connection.reader.resume()
        except ProtocolError as error:
            self._fail_exchange(connection, str(error), now)

    def _take_reply(self, connection, reply, now):
        """Deliver a reply; return False if it belongs to another request."""
        exchange = connection.exchange
        reply_id = reply.get(self._reactor.reply_id_field)
        if reply_id is not None and reply_id != exchange.request_id:
            logger.info(
                "dropped a reply to another request",
                extra={"request_id": exchange.request_id.decode("latin-1")},
            )
            if not connection.reader.is_reusable:
                raise ProtocolError("the connection ended with another request's reply")
            return False
        self._release(connection, reply, now)
        owner = exchange.owner
        self._finish(exchange, now)
        if owner is not None:
            owner.handle_reply(exchange, reply)
        return True

    def _release(self, connection, reply, now):
        connection.exchange = None
        reader = connection.reader
        is_clean = reader.is_reusable and not reader.has_data
        if not is_clean or connection.unsent is not None:
            self._drop(connection)
            self._open_for_waiting(now)
            return
        if connection.idle_limit_s is None:
            connection.idle_limit_s = _read_idle_limit(reply)
        self._make_idle(connection, now)

    def _fail_exchange(self, connection, reason, now):
        exchange = self._end_busy(connection, now)
        owner = exchange.owner
        self._finish(exchange, now)
        if owner is not None:
            owner.handle_failure(exchange, FailureKind.LOST, reason)
        self._open_for_waiting(now)

    def _end_busy(self, connection, now):
        exchange = connection.exchange
        connection.exchange = None
        self._drop(connection)
        return exchange

    def _fail_waiting(self, now, reason):
        waiting = list(self._waiting)
        self._waiting.clear()
        for exchange in waiting:
            owner = exchange.owner
            self._finish(exchange, now)
            if owner is not None:
                owner.handle_failure(exchange, FailureKind.UNSENT, reason)

    def _finish(self, exchange, now):
        exchange.finished_at = now
        exchange.connection = None
        self.in_flight.pop(exchange, None)
        if exchange.abandoned_at is None:
            self._reactor.note_end()
        if exchange.target is not None:
            exchange.target.handle_exchange_end(exchange, now)

    def _drop_idle(self, connection, now):
        self._idle.remove(connection)
        self._drop(connection)
        # A target that closes new connections at once has too many of them.
        is_refused = now - connection.opened_at < MIN_CONNECTION_LIFE_S
        if self._connections or self._is_closed or is_refused:
            return
        if self.is_kept_warm:
            self._reactor.cold_links.append(self)

    def _drop(self, connection):
        connection.phase = _Phase.CLOSED
        self._connections.pop(connection.fd, None)
        self._reactor.remove(connection)
        connection.sock.close()


class TargetReactor(Reactor):
    """Waits for all target connections in one task.

    Parameters
    ----------
    reply_id_field : bytes
        Header, in lower case, in which a reply carries its request's id.

    Attributes
    ----------
    links : set of TargetLink
    cold_links : collections.deque of TargetLink
        Links that should have a connection ahead of their next use.
    """

    __slots__ = (
        "_active",
        "_next_idle_sweep",
        "links",
        "cold_links",
        "reply_id_field",
    )

    def __init__(self, reply_id_field):
        super().__init__()
        self.reply_id_field = reply_id_field
        self._active = {}
        self._next_idle_sweep = 0.0
        self.links = set()
        self.cold_links = collections.deque()

    def open_link(self, address, max_connections):
        """Return a new `TargetLink`."""
        link = TargetLink(self, address, max_connections)
        self.links.add(link)
        return link

    def close_link(self, link, now):
        """Close a link; its exchanges in flight may end."""
        link.close(now)

    def note_start(self, link):
        """Count an exchange that was started."""
        self.in_flight += 1
        self._active[link] = None

    def note_end(self):
        """Count an exchange that ended or was abandoned."""
        self.in_flight -= 1

    def note_active(self, link):
        """Include a link in the next sweep."""
        self._active[link] = None

    def sweep(self, now):
        """Close what is overdue on all links."""
        for link in list(self._active):
            if not link.sweep(now):
                del self._active[link]
        if now < self._next_idle_sweep:
            return
        self._next_idle_sweep = now + IDLE_SWEEP_PERIOD_S
        for link in list(self.links):
            link.sweep_idle(now)
            if link.is_finished():
                self.links.discard(link)


def _read_idle_limit(reply):
    stated_s = parse_keep_alive(reply.get(b"keep-alive"))
    if stated_s is None:
        return IDLE_LIFETIME_S
    return max(stated_s - KEEP_ALIVE_MARGIN_S, MIN_IDLE_S)


def parse_keep_alive(value):
    """Return the idle seconds of a ``Keep-Alive`` header, or None without any."""
    if value is None:
        return None
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
