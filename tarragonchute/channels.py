"""TCP connections between VMs that carry frames, driven by a reactor.

A channel delivers frames in order and reports its end. It does not report a peer that
has stopped responding: a caller that needs an answer in time must use its own timeout.
"""

import errno
import logging
import select
import socket
from typing import Protocol

import trio

from .errors import ProtocolError
from .frames import FrameReader, encode_frame
from .httpio import KeepAlive, split_address
from .memory import Phase, Source

logger = logging.getLogger(__name__)

RECEIVE_BYTES = 256 * 1024

MAX_UNSENT_BYTES = 1024 * 1024
"""Largest send buffer of a channel. If the peer does not read and the buffer exceeds
this size, the channel is closed."""

LISTEN_BACKLOG = 256

KEEP_ALIVE = KeepAlive(idle_s=5, interval_s=2, probes=3)
"""Detects within 11 s that a peer has lost power; the channel is then closed."""


class ChannelOwner(Protocol):
    """Callback interface for the frames and the end of a channel."""

    def handle_frames(self, channel, payloads, now):
        """Handle the payloads of the frames that one read completed, in order."""

    def handle_close(self, channel, reason, now):
        """Handle the end of the channel.

        Called at most once, and not after `Channel.close`.

        Parameters
        ----------
        channel : Channel
        reason : str
            Text for the log.
        now : float
            Monotonic seconds.
        """


class Channel:
    """One connection to another VM.

    Parameters
    ----------
    reactor : reactor.Reactor
    sock : socket.socket
        Non-blocking.
    owner : ChannelOwner
    is_connecting : bool
        Whether the connection is not established yet; frames are buffered until it is.
    memory : memory.MemoryAccount or None
        Account in which a channel of another VM holds its buffered bytes.
    """

    __slots__ = (
        "fd",
        "is_closed",
        "_reactor",
        "_sock",
        "_owner",
        "_is_connecting",
        "_reader",
        "_unsent",
        "_memory",
        "_holding",
    )

    def __init__(self, reactor, sock, owner, is_connecting, memory=None):
        self.fd = sock.fileno()
        self.is_closed = False
        self._reactor = reactor
        self._sock = sock
        self._owner = owner
        self._is_connecting = is_connecting
        self._reader = FrameReader()
        self._unsent = bytearray()
        self._memory = memory
        self._holding = None
        reactor.add(self, select.EPOLLOUT if is_connecting else select.EPOLLIN)

    @classmethod
    def accept(cls, reactor, sock, owner, memory, now):
        """Return a channel on an accepted socket, or None if the account refuses it."""
        channel = cls(reactor, sock, owner, is_connecting=False, memory=memory)
        if memory is not None:
            channel._holding = memory.open(
                Source.CHANNEL, channel._close_for_memory, now
            )
            if channel._holding is None:
                channel.close()
                return None
        return channel

    @classmethod
    def open(cls, reactor, address, owner):
        """Start connecting to ``host:port`` and return the channel.

        Raises
        ------
        OSError
            If the connection attempt fails at once.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            _set_options(sock)
            code = sock.connect_ex(split_address(address))
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, "connect failed"))
        except BaseException:
            sock.close()
            raise
        return cls(reactor, sock, owner, is_connecting=True)

    def set_owner(self, owner):
        """Replace the owner, from the next event on."""
        self._owner = owner

    def send(self, payload, now):
        """Send one frame; bytes that the socket does not accept at once are buffered.

        If the buffer would exceed `MAX_UNSENT_BYTES`, the channel is closed.
        """
        if self.is_closed:
            return
        data = encode_frame(payload)
        is_blocked = bool(self._unsent) or self._is_connecting
        self._unsent += data
        if len(self._unsent) > MAX_UNSENT_BYTES:
            self._close_and_notify("the peer does not read from the connection", now)
        elif not is_blocked:
            self._flush(now)

    def close(self):
        """Close the connection without notifying the owner."""
        if not self.is_closed:
            self.is_closed = True
            self._reactor.remove(self)
            self._sock.close()
            if self._holding is not None:
                self._memory.release(self._holding)

    def handle_event(self, events, now):
        """See `reactor.EventHandler`."""
        if self._is_connecting:
            self._finish_connect(now)
            return
        if events & select.EPOLLOUT:
            self._flush(now)
        if events & ~select.EPOLLOUT and not self.is_closed:
            self._receive(now)

    def abort(self, reason, now):
        """See `reactor.EventHandler`; the owner is notified."""
        if not self.is_closed:
            self._close_and_notify(reason, now)

    def _finish_connect(self, now):
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._close_and_notify(errno.errorcode.get(code, str(code)), now)
            return
        self._is_connecting = False
        self._reactor.set_events(self, select.EPOLLIN)
        if self._unsent:
            self._flush(now)

    def _flush(self, now):
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._close_and_notify(f"sending failed: {error}", now)
            return
        del self._unsent[:sent]
        events = select.EPOLLIN | (select.EPOLLOUT if self._unsent else 0)
        self._reactor.set_events(self, events)
        self._update_held_bytes(now)

    def _receive(self, now):
        try:
            data = self._sock.recv(RECEIVE_BYTES)
            if not data:
                self._close_and_notify("the peer closed the connection", now)
                return
            payloads = self._reader.feed(data)
        except BlockingIOError:
            return
        except OSError as error:
            self._close_and_notify(f"receiving failed: {error}", now)
            return
        except ProtocolError as error:
            self._close_and_notify(str(error), now)
            return
        self._update_held_bytes(now)
        if payloads and not self.is_closed:
            self._owner.handle_frames(self, payloads, now)

    def _update_held_bytes(self, now):
        """Hold the bytes of unsent frames and of a frame that is not complete."""
        holding = self._holding
        if holding is None:
            return
        size = len(self._unsent) + self._reader.buffered_bytes
        phase = Phase.IDLE
        if size:
            phase = Phase.SENDING if self._unsent else Phase.READING
        if phase is not holding.phase:
            is_kept = self._memory.enter(holding, phase, size, now)
        else:
            is_kept = size == holding.size or self._memory.resize(holding, size, now)
        if not is_kept and not self.is_closed:
            self._close_for_memory()

    def _close_for_memory(self):
        self._close_and_notify("no room for its buffered bytes", trio.current_time())

    def _close_and_notify(self, reason, now):
        self.close()
        self._owner.handle_close(self, reason, now)


class ChannelListener:
    """Listens on an address and accepts channels from other VMs.

    Parameters
    ----------
    reactor : reactor.Reactor
    address : str
        ``host:port``.
    owner : ChannelOwner
        Owner of all accepted channels.
    memory : memory.MemoryAccount or None
        Bounds the number of accepted channels and the bytes buffered for them.

    Raises
    ------
    OSError
        If the socket cannot be bound to the address.
    """

    __slots__ = (
        "fd",
        "is_closed",
        "address",
        "_reactor",
        "_sock",
        "_owner",
        "_memory",
    )

    def __init__(self, reactor, address, owner, memory=None):
        self._memory = memory
        self._sock = socket.create_server(
            split_address(address), backlog=LISTEN_BACKLOG
        )
        self._sock.setblocking(False)
        host, port = self._sock.getsockname()
        self.address = f"{host}:{port}"
        self.fd = self._sock.fileno()
        self.is_closed = False
        self._reactor = reactor
        self._owner = owner
        reactor.add(self, select.EPOLLIN)

    def handle_event(self, events, now):
        """See `reactor.EventHandler`."""
        while True:
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                logger.warning("cannot accept a connection from another VM: %s", error)
                return
            _set_options(sock)
            Channel.accept(self._reactor, sock, self._owner, self._memory, now)

    def abort(self, reason, now):
        """See `reactor.EventHandler`; an error on one channel ends no other."""

    def close(self):
        """Stop listening; accepted channels stay open."""
        if not self.is_closed:
            self.is_closed = True
            self._reactor.remove(self)
            self._sock.close()


def _set_options(sock):
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    KEEP_ALIVE.apply(sock)
