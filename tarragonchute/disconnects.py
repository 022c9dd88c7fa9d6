"""Notices that callers close their connections, without reading from these.

Reading would notice it too, but only after all bytes that the caller has sent ahead.
Bytes sent ahead that exceed the buffers of the kernel still hide a close, because they
arrive before it.
"""

import select

import trio

_EVENTS = select.EPOLLRDHUP | select.EPOLLET


class DisconnectWatcher:
    """Calls a function when the other side closes a connection.

    It is called also if the other side closes only its sending half.
    """

    __slots__ = ("_epoll", "_callbacks")

    def __init__(self):
        self._epoll = select.epoll()
        self._callbacks = {}

    def add(self, fd, callback):
        """Watch a socket; `callback` is called without arguments, at most once."""
        self._epoll.register(fd, _EVENTS)
        self._callbacks[fd] = callback

    def remove(self, fd):
        """Stop watching a socket; must be called before the socket is closed."""
        self._epoll.unregister(fd)
        self._callbacks.pop(fd, None)

    async def run(self):
        """Watch until cancelled."""
        while True:
            await trio.lowlevel.wait_readable(self._epoll.fileno())
            for fd, _ in self._epoll.poll(0):
                callback = self._callbacks.pop(fd, None)
                if callback is not None:
                    callback()

    def close(self):
        """Close the epoll set, after all sockets were removed."""
        self._epoll.close()
