"""Waits for many sockets in one task and calls their owners back.

A task for each connection would cost more than most of the exchanges that it carries.
"""

import select
from typing import Protocol

import trio

COALESCE_MIN_EXCHANGES = 12
COALESCE_S = 0.001
"""With so many exchanges in flight, events are collected for this time. Each wake-up
of the loop costs about as much as the handling of one reply."""


class Watched(Protocol):
    """A socket's owner.

    Attributes
    ----------
    fd : int
    is_closed : bool
        Whether events that were reported together with others must be dropped.
    """

    def handle_event(self, events, now):
        """Take the epoll events of the socket and the time in monotonic seconds."""


class Reactor:
    """An epoll set with the owners of its sockets.

    Attributes
    ----------
    in_flight : int
        Exchanges whose end somebody waits for.
    """

    __slots__ = ("_epoll", "_by_fd", "in_flight")

    def __init__(self):
        self.in_flight = 0
        self._epoll = select.epoll()
        self._by_fd = {}

    def add(self, watched, events):
        """Call `Watched.handle_event` whenever one of the epoll events occurs."""
        self._by_fd[watched.fd] = watched
        self._epoll.register(watched.fd, events)

    def watch(self, watched, events):
        """Change the events that a socket is watched for."""
        self._epoll.modify(watched.fd, events)

    def remove(self, watched):
        """Stop watching a socket that is about to be closed."""
        if self._by_fd.pop(watched.fd, None) is not None:
            self._epoll.unregister(watched.fd)

    async def run(self):
        """Handle events until cancelled."""
        fd = self._epoll.fileno()
        while True:
            await trio.lowlevel.wait_readable(fd)
            self.poll(trio.current_time())
            if self.in_flight >= COALESCE_MIN_EXCHANGES:
                await trio.sleep(COALESCE_S)

    def poll(self, now):
        """Handle the events that are ready, without waiting."""
        ready = [(self._by_fd.get(fd), events) for fd, events in self._epoll.poll(0)]
        for watched, events in ready:
            # An earlier event of the batch may have closed this socket, and its
            # descriptor may belong to a new one already.
            if watched is not None and not watched.is_closed:
                watched.handle_event(events, now)

    def close(self):
        """Release the epoll set."""
        self._epoll.close()
