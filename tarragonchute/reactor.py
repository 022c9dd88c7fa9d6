"""Reactor: one task waits for events on many sockets and calls their handlers.

A task per connection would use more processor time than most of the exchanges on the
connection.
"""

import logging
import select
import time
from typing import Protocol

import trio

logger = logging.getLogger(__name__)

COALESCE_MIN_EXCHANGES = 12
COALESCE_DELAY_S = 0.001
"""With at least `COALESCE_MIN_EXCHANGES` in flight, the loop sleeps for
`COALESCE_DELAY_S` after each poll, so that one wake-up handles several events. A
wake-up costs about as much processor time as the handling of one reply."""

SLOW_POLL_S = 0.1
"""Duration of one poll above which it is logged. Meanwhile no caller is answered and no
time limit takes effect."""


class EventHandler(Protocol):
    """Callback interface for the events of one socket.

    Attributes
    ----------
    fd : int
        File descriptor of the socket.
    is_closed : bool
        Whether the socket was closed; events that the same poll reported for it are
        then dropped.
    """

    def handle_event(self, events, now):
        """Handle epoll events of the socket.

        Parameters
        ----------
        events : int
            Mask of ``EPOLL*`` bits.
        now : float
            Monotonic seconds.
        """

    def abort(self, reason, now):
        """Close the socket after `handle_event` raised an unexpected error.

        Parameters
        ----------
        reason : str
            Text for the log.
        now : float
            Monotonic seconds.
        """


class Reactor:
    """An epoll set and the handlers of its sockets.

    Attributes
    ----------
    in_flight : int
        Number of exchanges that were started and have neither ended nor been abandoned.
    """

    __slots__ = ("_epoll", "_handlers_by_fd", "in_flight")

    def __init__(self):
        self.in_flight = 0
        self._epoll = select.epoll()
        self._handlers_by_fd = {}

    def add(self, handler, events):
        """Call `EventHandler.handle_event` whenever one of the epoll events occurs."""
        self._handlers_by_fd[handler.fd] = handler
        self._epoll.register(handler.fd, events)

    def set_events(self, handler, events):
        """Replace the mask of epoll events for which the handler is called."""
        self._epoll.modify(handler.fd, events)

    def remove(self, handler):
        """Unregister a socket; must be called before the socket is closed."""
        if self._handlers_by_fd.pop(handler.fd, None) is not None:
            self._epoll.unregister(handler.fd)

    async def run(self):
        """Wait for events and handle them until cancelled."""
        fd = self._epoll.fileno()
        while True:
            await trio.lowlevel.wait_readable(fd)
            self.poll(trio.current_time())
            if self.in_flight >= COALESCE_MIN_EXCHANGES:
                await trio.sleep(COALESCE_DELAY_S)

    def poll(self, now):
        """Handle the events that are ready, without waiting."""
        ready = [
            (self._handlers_by_fd.get(fd), events) for fd, events in self._epoll.poll(0)
        ]
        if not ready:
            return
        started_at = time.perf_counter()
        for handler, events in ready:
            # Handling an earlier event of this batch may have closed this socket, and a
            # new socket may already use its file descriptor.
            if handler is not None and not handler.is_closed:
                self._call_handler(handler, events, now)
        duration_s = time.perf_counter() - started_at
        if duration_s > SLOW_POLL_S:
            fields = {"events": len(ready), "duration_s": round(duration_s, 3)}
            logger.warning("events took long to handle", extra=fields)

    def _call_handler(self, handler, events, now):
        try:
            handler.handle_event(events, now)
        except Exception as error:
            # An error on one connection must not end all others with the process.
            logger.exception("unexpected error on a connection")
            self._abort(handler, f"unexpected error: {error!r}", now)

    def _abort(self, handler, reason, now):
        try:
            handler.abort(reason, now)
        except Exception:
            logger.exception("cannot abort a connection")

    def close(self):
        """Close the epoll set; the sockets stay open."""
        self._epoll.close()
