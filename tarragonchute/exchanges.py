"""HTTP exchanges with targets over pooled connections, driven by one event loop.

A search starts dozens of exchanges at once. A task for each would cost more than the
exchange itself, so one task waits on an epoll set with all connections and advances one
state machine per connection.
"""

import collections
import enum
import errno
import logging
import math
import select
import socket

from .errors import ProtocolError
from .reactor import Reactor
from .replies import ReplyReader
from .targetadmission import QueuePolicy, RefusalReason, TargetAdmission
from .targetqueues import WaitTerms

logger = logging.getLogger(__name__)

RECEIVE_BYTES = 64 * 1024

CONNECT_TIMEOUT_S = 0.6
"""Connecting within a region takes milliseconds. A lost SYN packet is sent again only
after a second, so a longer timeout would only occupy one of the `max_connections`."""

ABANDON_GRACE_S = 0.15
"""Time that an abandoned exchange has to complete before its connection is closed.
Closing the connection makes the target cancel the request, but the next exchange then
needs a new connection."""

TCP_USER_TIMEOUT_S = 15
"""Time that sent data may remain unacknowledged until the kernel closes a connection.
Requests have shorter time limits; this only removes connections to unreachable
hosts."""

MIN_CONNECTION_LIFE_S = 1.0
"""A connection that the target closes sooner than this is not replaced until the next
exchange needs one."""

DEFAULT_IDLE_TIMEOUT_S = 30.0
"""Idle time after which a connection is closed if the target sends no
``Keep-Alive``."""

KEEP_ALIVE_MARGIN_S = 1.0
"""Time by which a connection's idle timeout is shorter than the one that the target
states. Otherwise the target could close the connection while a request is in
transit."""

MIN_IDLE_TIMEOUT_S = 0.001
"""Idle timeout of connections whose targets state a second or less."""

MAX_DROPPED_REPLIES = 4
"""Replies to other requests that are dropped before one exchange fails. A target may
send a late second copy of a reply, but not an endless series."""

MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""Bytes of incomplete replies that all connections may hold together, unless
`memory.MemoryLimits` states less."""

SWEEP_PERIOD_S = 0.05
"""Interval between calls of `Gateway.sweep`, and so between the checks for connect
timeouts and overdue abandoned exchanges."""

UNKNOWN_TERMS = WaitTerms(0, "", 1.0, math.inf)
"""Terms of exchanges whose owner states none."""

IDLE_SWEEP_PERIOD_S = 1.0
"""Interval between checks for idle connections whose timeout has passed."""


class FailureKind(enum.Enum):
    """Whether a request whose exchange failed may have run on the target."""

    UNSENT = "unsent"
    """No byte of the request was sent, so it did not run."""

    NO_ROOM = "no_room"
    """This VM did not send it, because it could not have been answered in time. That
    does not show that the target has failed."""

    LOST = "lost"
    """Sending had begun and no valid reply arrived, so it may have run."""


class Exchange:
    """One request to one target and its outcome.

    Parameters
    ----------
    request : bytes
        The complete HTTP message.
    method : bytes
    request_id : bytes
        A reply that states another request id is discarded.
    owner : ExchangeOwner
        Notified of the outcome, unless the exchange is abandoned.
    started_at : float
        Monotonic seconds.
    target : registry.RegisteredTarget or None
        Notified of the reply and of the end, also if the exchange is abandoned.
    mean_reply_time_s : float
        Average reply time of the route, with which the time of this one is compared.
    terms : targetqueues.WaitTerms or None
        Used where the configuration has customers.

    Attributes
    ----------
    sent_at : float or None
        When the first attempt to send the request was made, in monotonic seconds. From
        then on the request counts as possibly sent.
    finished_at : float or None
        When the exchange ended, in monotonic seconds.
    abandoned_at : float or None
        When the exchange was abandoned, in monotonic seconds.
    pool : TargetPool or None
        Set when the exchange is started.
    is_aborted : bool
        Whether the exchange was abandoned and its connection then closed, because no
        reply had arrived within `ABANDON_GRACE_S`.
    has_waited_for_room : bool
        Whether it was queued because enough attempts were in flight at the target.
    drain_s : float or None
        Time until the target's queue is expected to drain, if the exchange failed as
        `FailureKind.NO_ROOM`.
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
        "pool",
        "connection",
        "target",
        "mean_reply_time_s",
        "is_aborted",
        "terms",
        "has_waited_for_room",
        "drain_s",
    )

    def __init__(
        self,
        request,
        method,
        request_id,
        owner,
        started_at,
        target=None,
        mean_reply_time_s=0.0,
        terms=None,
    ):
        self.request = request
        self.method = method
        self.request_id = request_id
        self.owner = owner
        self.started_at = started_at
        self.sent_at = None
        self.finished_at = None
        self.abandoned_at = None
        self.pool = None
        self.connection = None
        self.target = target
        self.mean_reply_time_s = mean_reply_time_s
        self.is_aborted = False
        self.terms = terms or UNKNOWN_TERMS
        self.has_waited_for_room = False
        self.drain_s = None


class ExchangeOwner:
    """Callback interface for the outcome of an exchange.

    At most one of `handle_reply` and `handle_failure` is called, once.
    """

    __slots__ = ()

    def update_request(self, exchange, now):
        """Build the message of an exchange again, as it has waited and is sent now."""

    def handle_reply(self, exchange, reply):
        """Handle the `Reply` of the target."""

    def handle_failure(self, exchange, kind, reason):
        """Handle a failure.

        Parameters
        ----------
        exchange : Exchange
        kind : FailureKind
        reason : str
            Text for the log.
        """


class _Phase(enum.Enum):
    CONNECTING = 1
    IDLE = 2
    BUSY = 3
    CLOSED = 4


class _Connection:
    """One connection to a target and the state of its exchange, if any."""

    __slots__ = (
        "pool",
        "sock",
        "fd",
        "phase",
        "exchange",
        "reader",
        "unsent_data",
        "opened_at",
        "idle_since",
        "idle_timeout_s",
        "last_request_id",
        "dropped_replies",
    )

    def __init__(self, pool, sock, now):
        self.pool = pool
        self.sock = sock
        self.fd = sock.fileno()
        self.phase = _Phase.CONNECTING
        self.exchange = None
        self.reader = ReplyReader()
        self.unsent_data = None
        self.opened_at = now
        self.idle_since = now
        self.idle_timeout_s = None
        # Id of the latest answered request; None before the first one.
        self.last_request_id = None
        self.dropped_replies = 0

    @property
    def is_closed(self):
        """See `reactor.EventHandler`."""
        return self.phase is _Phase.CLOSED

    def handle_event(self, events, now):
        """See `reactor.EventHandler`."""
        self.pool.handle_event(self, events, now)

    def abort(self, reason, now):
        """See `reactor.EventHandler`; its exchange, if any, fails."""
        self.pool.abort_connection(self, reason, now)


class TargetPool:
    """Pool of the connections to one target address, and queue of its exchanges.

    Parameters
    ----------
    reactor : TargetReactor
    address : tuple of (str, int)
    max_connections : int
        Maximum number of open connections.
    policy : targetadmission.QueuePolicy or None
        Without customers, exchanges wait first-in-first-out for a connection.
    service : str

    Attributes
    ----------
    load : targetloads.TargetLoad
        Bounds the exchanges in flight where the configuration has customers.
    in_flight : collections.OrderedDict
        Exchanges that were started and have not ended, oldest first, as keys. Unlike in
        `reactor.Reactor.in_flight`, abandoned exchanges are included.
    connections_opened : int
        Number of connections opened since the pool was created.
    has_connect_failed : bool
        Whether the latest connection attempt failed.
    is_kept_connected : bool
        Whether the pool reconnects when its only connection is closed while idle.
    """

    __slots__ = (
        "_reactor",
        "address",
        "max_connections",
        "in_flight",
        "connections_opened",
        "has_connect_failed",
        "is_kept_connected",
        "_idle",
        "_connections",
        "_queue",
        "_admission",
        "_policy",
        "load",
        "_is_closed",
    )

    def __init__(self, reactor, address, max_connections, policy=None, service=""):
        self._reactor = reactor
        self.address = address
        self.max_connections = max_connections
        self.in_flight = collections.OrderedDict()
        self.connections_opened = 0
        self.has_connect_failed = False
        self.is_kept_connected = False
        self._idle = []
        self._connections = {}
        self._policy = policy or QueuePolicy()
        self._admission = TargetAdmission(self._policy, service)
        self._queue = self._admission.queue
        self.load = self._admission.load
        self._is_closed = False

    def start(self, exchange, now):
        """Send the request on an idle connection, or queue it until one is ready.

        Where the configuration has customers, it is also queued, or refused, if enough
        attempts are in flight already.

        The owner may be notified of a failure before this returns.
        """
        exchange.pool = self
        self.in_flight[exchange] = None
        self._reactor.record_start(self)
        if self._policy.is_active:
            self._admission.record_start(exchange, now)
            if not self.has_room(now):
                self._wait_for_room(exchange, now)
                return
        connection = self._pop_idle_for(exchange, now)
        if connection is not None:
            self._send(connection, exchange, now)
            return
        self._admission.offer(exchange, now)
        self._open_connections_for_queue(now)

    def has_room(self, now):
        """Return whether an exchange started now need not wait for another one."""
        return self._count_busy() + len(self._queue) < self._compute_bound(now)

    def count_queued(self):
        """Return the number of exchanges that wait for room or for a connection."""
        return len(self._queue)

    def abandon(self, exchange, now):
        """Abandon an exchange; its owner is not notified of the outcome.

        If its request was not sent yet, it is removed from the queue. Otherwise the
        exchange has `ABANDON_GRACE_S` to complete before it is aborted.
        """
        if exchange.finished_at is not None or exchange.abandoned_at is not None:
            return
        exchange.owner = None
        exchange.abandoned_at = now
        self._reactor.record_end()
        # It is not in the queue any more if all queued ones are just being failed.
        if exchange.connection is None and exchange in self._queue:
            self._queue.remove(exchange)
            self._finish(exchange, now)

    def oldest_exchange_age(self, now):
        """Return the age in seconds of the oldest exchange in flight, or 0."""
        for exchange in self.in_flight:
            return now - exchange.started_at
        return 0.0

    def count_connections(self):
        """Return the number of open connections."""
        return len(self._connections)

    def is_finished(self):
        """Return whether the pool was closed and has no open connection."""
        return self._is_closed and not self._connections

    def close(self, now):
        """Close idle connections now, and the others when their exchanges end."""
        self._is_closed = True
        while self._idle:
            self._close_connection(self._idle.pop())
        if not self._connections:
            self._fail_queued_exchanges(now, "the target was removed")

    def fail_queued(self, now, reason):
        """Fail the exchanges that wait for a connection; their requests were not sent.

        Parameters
        ----------
        now : float
        reason : str
            Text for the log.
        """
        self._fail_queued_exchanges(now, reason)

    def preconnect(self, now):
        """Open a connection if the pool has none; return whether one was opened."""
        if self._connections or self._is_closed or not self._open(now):
            return False
        self._reactor.include_in_next_sweep(self)
        return True

    def sweep(self, now):
        """Close overdue connections; return whether the pool has to be swept again.

        A connection is overdue if it was not established within `CONNECT_TIMEOUT_S`, or
        if its exchange was abandoned more than `ABANDON_GRACE_S` ago.
        """
        if self._policy.is_active and self._queue:
            self._open_connections_for_queue(now)
        needs_sweep = bool(self.in_flight)
        for connection in list(self._connections.values()):
            if connection.phase is _Phase.CONNECTING:
                needs_sweep = True
                if now - connection.opened_at > CONNECT_TIMEOUT_S:
                    self._fail_connect(connection, "connecting timed out", now)
            elif connection.phase is _Phase.BUSY:
                self._sweep_busy(connection, now)
        return needs_sweep

    def sweep_idle(self, now):
        """Close connections whose idle timeout has passed."""
        for connection in [c for c in self._idle if self._is_stale(c, now)]:
            self._close_idle(connection, now)

    def handle_event(self, connection, events, now):
        """Advance the state machine of a connection that epoll reported."""
        if connection.phase is _Phase.CONNECTING:
            self._finish_connect(connection, now)
        elif connection.phase is _Phase.IDLE:
            # The target closed the connection or sent bytes that belong to no request;
            # in both cases the connection cannot be reused.
            self._close_idle(connection, now)
        elif connection.phase is _Phase.BUSY:
            if events & select.EPOLLOUT and connection.unsent_data is not None:
                self._send_rest(connection, now)
            if events & ~select.EPOLLOUT and connection.phase is _Phase.BUSY:
                self._receive(connection, now)

    def abort_connection(self, connection, reason, now):
        """Close a connection at once; its exchange, if any, fails."""
        if connection.phase is _Phase.CONNECTING:
            self._fail_connect(connection, reason, now)
        elif connection.phase is _Phase.IDLE:
            self._close_idle(connection, now)
        elif connection.phase is _Phase.BUSY:
            self._fail_exchange(connection, reason, now)

    def _sweep_busy(self, connection, now):
        exchange = connection.exchange
        if exchange.abandoned_at is None:
            return
        if now - exchange.abandoned_at > ABANDON_GRACE_S:
            exchange.is_aborted = True
            self._close_busy(connection, now)
            self._finish(exchange, now)
            self._open_connections_for_queue(now)

    def _pop_idle(self, now):
        while self._idle:
            connection = self._idle.pop()
            if not self._is_stale(connection, now):
                return connection
            self._close_connection(connection)
        return None

    def _pop_idle_for(self, exchange, now):
        connection = self._pop_idle(now)
        if connection is None or connection.last_request_id != exchange.request_id:
            return connection
        # A late second copy of the earlier reply would state the expected id.
        self._close_connection(connection)
        return None

    def _count_busy(self):
        return sum(c.exchange is not None for c in self._connections.values())

    def _compute_bound(self, now):
        return self._admission.compute_bound(self.max_connections, now)

    def _wait_for_room(self, exchange, now):
        """Queue an exchange, or refuse it if it could not be answered in time."""
        exchange.has_waited_for_room = True
        reason = self._admission.find_refusal(
            exchange, self._count_busy(), self.max_connections, now
        )
        if reason is not None:
            self._refuse(exchange, reason, now)
            return
        self._admission.offer(exchange, now)
        self._open_connections_for_queue(now)

    def _refuse(self, exchange, reason, now):
        """Fail an exchange that is not queued, because there is no room."""
        self._admission.record_refusal(exchange, reason, self.max_connections, now)
        owner = exchange.owner
        self._finish(exchange, now)
        if owner is not None:
            text = f"no room at the target: {reason.value}"
            owner.handle_failure(exchange, FailureKind.NO_ROOM, text)

    def _take_queued(self, now):
        """Remove and return the exchange to be sent next, or None if there is none."""
        if not self._queue:
            return None
        if not self._policy.is_active:
            return self._queue.take_first()
        return self._admission.take(self._count_busy(), self.max_connections, now)

    def _send_queued(self, now):
        """Refuse what cannot be answered any more, and send what there is room for."""
        expired = self._admission.take_expired(
            self._count_busy(), self.max_connections, now
        )
        for exchange in expired:
            self._refuse(exchange, RefusalReason.EXPIRED, now)
        while self._queue and self._idle:
            exchange = self._take_queued(now)
            if exchange is None:
                return
            connection = self._pop_idle_for(exchange, now)
            if connection is None:
                self._queue.put_back(exchange)
                continue
            self._send(connection, exchange, now)

    def _is_stale(self, connection, now):
        idle_timeout_s = connection.idle_timeout_s or DEFAULT_IDLE_TIMEOUT_S
        return now - connection.idle_since > idle_timeout_s

    def _open_connections_for_queue(self, now):
        needed = len(self._queue)
        if self._policy.is_active:
            self._send_queued(now)
            unused = self._compute_bound(now) - self._count_busy()
            needed = min(len(self._queue), unused)
        connecting = sum(
            c.phase is _Phase.CONNECTING for c in self._connections.values()
        )
        while needed > connecting:
            if self._is_closed or len(self._connections) >= self.max_connections:
                break
            if not self._open(now):
                break
            connecting += 1
        if self._queue and not self._connections:
            self._fail_queued_exchanges(now, "no connection could be opened")

    def _open(self, now):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            limit_ms = TCP_USER_TIMEOUT_S * 1000
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
            code = sock.connect_ex(self.address)
        except OSError as error:
            logger.warning("cannot open a connection to %s: %s", self.address, error)
            sock.close()
            return False
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            self.has_connect_failed = True
            return False
        connection = _Connection(self, sock, now)
        self._connections[connection.fd] = connection
        self.connections_opened += 1
        self._reactor.add(connection, select.EPOLLOUT)
        return True

    def _finish_connect(self, connection, now):
        code = connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail_connect(connection, errno.errorcode.get(code, str(code)), now)
            return
        self.has_connect_failed = False
        self._reactor.set_events(connection, select.EPOLLIN)
        self._assign_connection(connection, now)

    def _fail_connect(self, connection, reason, now):
        self.has_connect_failed = True
        self._close_connection(connection)
        if not self._connections:
            self._fail_queued_exchanges(now, reason)

    def _assign_connection(self, connection, now):
        """Send the next queued request on a connection, or mark the connection idle."""
        exchange = self._take_queued(now)
        if exchange is not None:
            self._send(connection, exchange, now)
        elif self._is_closed:
            self._close_connection(connection)
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
            # No byte was sent, so the request may be sent on another connection.
            connection.exchange = None
            exchange.connection = None
            self._close_connection(connection)
            self._queue.put_back(exchange)
            self._open_connections_for_queue(now)
            return
        exchange.sent_at = now
        if self._policy.is_active:
            self._admission.record_sent(exchange)
        if sent < len(exchange.request):
            connection.unsent_data = memoryview(exchange.request)[sent:]
            self._reactor.set_events(connection, select.EPOLLIN | select.EPOLLOUT)

    def _send_rest(self, connection, now):
        try:
            sent = connection.sock.send(connection.unsent_data)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail_exchange(connection, f"sending failed: {error}", now)
            return
        connection.unsent_data = connection.unsent_data[sent:]
        if not connection.unsent_data:
            connection.unsent_data = None
            self._reactor.set_events(connection, select.EPOLLIN)

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
                reply = connection.reader.receive_eof()
            while reply is not None and not self._deliver_reply(connection, reply, now):
                reply = connection.reader.read_buffered()
            if reply is None:
                self._reactor.record_buffered_bytes(connection, now)
        except ProtocolError as error:
            self._fail_exchange(connection, str(error), now)

    def _deliver_reply(self, connection, reply, now):
        """Pass a reply to the owner and return True, or discard it and return False.

        A reply is discarded if it states the id of another request.

        Raises
        ------
        ProtocolError
            If the reply cannot be attributed to a request, or if too many replies were
            discarded.
        """
        exchange = connection.exchange
        reply_id = reply.get(self._reactor.reply_id_field)
        if reply_id is None and connection.last_request_id is not None:
            raise ProtocolError(
                "a reply without a request id may belong to an earlier request"
            )
        if reply_id is not None and reply_id != exchange.request_id:
            self._drop_reply(connection, exchange)
            return False
        if exchange.target is not None:
            # Before the connection is used again, because the target may be leaving.
            exchange.target.handle_reply(reply, now)
        if self._policy.is_active:
            self._admission.record_reply(
                exchange, reply.status, self._count_busy(), now
            )
        self._release(connection, reply, now)
        owner = exchange.owner
        self._finish(exchange, now)
        if owner is not None:
            owner.handle_reply(exchange, reply)
        return True

    def _drop_reply(self, connection, exchange):
        logger.info(
            "dropped a reply to another request",
            extra={"request_id": exchange.request_id.decode("latin-1")},
        )
        if not connection.reader.is_reusable:
            raise ProtocolError("the connection ended with a reply to another request")
        connection.dropped_replies += 1
        if connection.dropped_replies > MAX_DROPPED_REPLIES:
            raise ProtocolError("too many replies to other requests")

    def _release(self, connection, reply, now):
        connection.last_request_id = connection.exchange.request_id
        connection.exchange = None
        connection.dropped_replies = 0
        self._reactor.forget_buffered_bytes(connection)
        reader = connection.reader
        is_reusable = reader.is_reusable and not reader.has_data
        if not is_reusable or connection.unsent_data is not None:
            self._close_connection(connection)
            self._open_connections_for_queue(now)
            return
        if connection.idle_timeout_s is None:
            connection.idle_timeout_s = _read_idle_timeout_s(reply)
        self._assign_connection(connection, now)
        if self._policy.is_active and self._queue:
            # The reply may have raised the bound, so that there is room for more.
            self._open_connections_for_queue(now)

    def _fail_exchange(self, connection, reason, now):
        exchange = self._close_busy(connection, now)
        owner = exchange.owner
        self._finish(exchange, now)
        if owner is not None:
            owner.handle_failure(exchange, FailureKind.LOST, reason)
        self._open_connections_for_queue(now)

    def _close_busy(self, connection, now):
        exchange = connection.exchange
        connection.exchange = None
        self._close_connection(connection)
        return exchange

    def _fail_queued_exchanges(self, now, reason):
        for exchange in self._queue.take_all():
            owner = exchange.owner
            self._finish(exchange, now)
            if owner is not None:
                owner.handle_failure(exchange, FailureKind.UNSENT, reason)

    def _finish(self, exchange, now):
        exchange.finished_at = now
        exchange.connection = None
        exchange.request = b""  # Frees the body; the exchange is kept for longer.
        self.in_flight.pop(exchange, None)
        if exchange.abandoned_at is None:
            self._reactor.record_end()
        if exchange.target is not None:
            exchange.target.handle_exchange_end(exchange, now)

    def _close_idle(self, connection, now):
        self._idle.remove(connection)
        self._close_connection(connection)
        # A target that closes a connection right after it was opened has probably
        # reached its connection limit.
        was_closed_early = now - connection.opened_at < MIN_CONNECTION_LIFE_S
        if self._connections or self._is_closed or was_closed_early:
            return
        if self.is_kept_connected:
            self._reactor.disconnected_pools.append(self)

    def _close_connection(self, connection):
        connection.phase = _Phase.CLOSED
        self._reactor.forget_buffered_bytes(connection)
        self._connections.pop(connection.fd, None)
        self._reactor.remove(connection)
        connection.sock.close()


class TargetReactor(Reactor):
    """Reactor of the connections to all targets.

    Parameters
    ----------
    reply_id_field : bytes
        Name, in lower case, of the reply header that holds the id of the request.

    Attributes
    ----------
    pools : set of TargetPool
    disconnected_pools : collections.deque of TargetPool
        Pools without a connection that should reconnect before their next exchange.
    max_buffered_bytes : int
        Limit of the incomplete replies on all connections.
    """

    __slots__ = (
        "max_buffered_bytes",
        "_pools_to_sweep",
        "_next_idle_sweep_at",
        "_buffered_bytes",
        "pools",
        "disconnected_pools",
        "reply_id_field",
    )

    def __init__(self, reply_id_field):
        super().__init__()
        self.reply_id_field = reply_id_field
        self._pools_to_sweep = {}
        self._next_idle_sweep_at = 0.0
        self.max_buffered_bytes = MAX_BUFFERED_BYTES
        # Bytes of the incomplete reply on each connection that has received any.
        self._buffered_bytes = {}
        self.pools = set()
        self.disconnected_pools = collections.deque()

    def open_pool(self, address, max_connections, policy=None, service=""):
        """Return a new `TargetPool`."""
        pool = TargetPool(self, address, max_connections, policy, service)
        self.pools.add(pool)
        return pool

    def close_pool(self, pool, now):
        """Close a pool; its exchanges in flight continue."""
        pool.close(now)

    def record_start(self, pool):
        """Count a started exchange, and check its pool at the next sweep."""
        self.in_flight += 1
        self._pools_to_sweep[pool] = None

    def record_end(self):
        """Count an exchange that ended or was abandoned."""
        self.in_flight -= 1

    def record_buffered_bytes(self, connection, now):
        """Update the size of a connection's incomplete reply.

        If all incomplete replies together exceed `max_buffered_bytes`, the exchanges
        with the largest ones fail.
        """
        self._buffered_bytes[connection] = connection.reader.buffered_bytes
        while sum(self._buffered_bytes.values()) > self.max_buffered_bytes:
            largest = max(self._buffered_bytes, key=self._buffered_bytes.get)
            largest.pool.abort_connection(
                largest, "incomplete replies exceed the memory limit", now
            )

    def forget_buffered_bytes(self, connection):
        """Stop counting a connection whose reply is complete or given up."""
        self._buffered_bytes.pop(connection, None)

    def include_in_next_sweep(self, pool):
        """Check the connections of a pool at the next sweep."""
        self._pools_to_sweep[pool] = None

    def sweep(self, now):
        """Close overdue connections.

        Every `IDLE_SWEEP_PERIOD_S`, also close connections that were idle for too long,
        and discard closed pools.
        """
        for pool in list(self._pools_to_sweep):
            if not pool.sweep(now):
                del self._pools_to_sweep[pool]
        if now < self._next_idle_sweep_at:
            return
        self._next_idle_sweep_at = now + IDLE_SWEEP_PERIOD_S
        for pool in list(self.pools):
            pool.sweep_idle(now)
            if pool.is_finished():
                self.pools.discard(pool)


def _read_idle_timeout_s(reply):
    stated_s = parse_keep_alive(reply.get(b"keep-alive"))
    if stated_s is None:
        return DEFAULT_IDLE_TIMEOUT_S
    return max(stated_s - KEEP_ALIVE_MARGIN_S, MIN_IDLE_TIMEOUT_S)


def parse_keep_alive(value):
    """Return the timeout of a ``Keep-Alive`` header value in seconds.

    None if there is no header (`value` is None) or if it states no timeout.
    """
    if value is None:
        return None
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None
