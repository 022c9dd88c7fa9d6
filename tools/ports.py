"""Reserves loopback ports for processes that are about to be started."""

import socket


class PortReservations:
    """Loopback ports that the kernel assigns to no other socket while reserved.

    While a socket is bound to a port, even without listening, the kernel chooses that
    port for no other socket. A server that sets ``SO_REUSEADDR`` can still listen on
    the port.
    """

    def __init__(self):
        self._sockets = []

    def reserve(self):
        """Reserve a free port until `close`; return it as ``host:port``."""
        bound_socket = socket.socket()
        self._sockets.append(bound_socket)
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{bound_socket.getsockname()[1]}"

    def close(self):
        """Release all reserved ports."""
        while self._sockets:
            self._sockets.pop().close()
