"""Reserves loopback ports for processes that are about to be started."""

import socket


class PortReservations:
    """Loopback ports that no other socket is given while they are reserved.

    A bound socket that does not listen keeps the port from being chosen for another
    socket. A server that sets ``SO_REUSEADDR`` can still listen on it.
    """

    def __init__(self):
        self._sockets = []

    def reserve(self):
        """Return ``host:port`` of a port that is reserved until `close`."""
        probe = socket.socket()
        self._sockets.append(probe)
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"

    def close(self):
        """Release all ports."""
        while self._sockets:
            self._sockets.pop().close()
