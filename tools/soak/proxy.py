"""A loopback proxy that delays or discards data and resets connections."""

import enum
import socket
import struct

import trio

RECEIVE_BYTES = 64 * 1024

ENDLESS_PAUSE_S = 0.02
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_PIECES = (
    b"1\r\nx\r\n" * 10_000,
    b"10\r\n0123456789abcdef\r\n" * 3000,
    b"1000\r\n" + b"x" * 4096 + b"\r\n",
    b"HTTP/1.1 102 Processing\r\n\r\n" * 100,
)


class ProxyMode(enum.Enum):
    """How the proxy treats data."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    """Discards all data. A connection that lost data stays silent, also after the mode
    changes."""
    CUT_TO_SERVER = "cut_to_server"
    """Discards data from the client only."""
    CUT_TO_CLIENT = "cut_to_client"
    """Discards data from the server only, so that responses are lost."""
    ENDLESS = "endless"
    """Replaces responses by bytes without end, until the client closes."""


class Proxy:
    """Forwards connections to one address.

    Attributes
    ----------
    address : str
        Listen address, set once `run` has started.
    mode : ProxyMode
    delay_s : float
        Delay of each received chunk in mode `ProxyMode.DELAY`.
    """

    def __init__(self, target_address):
        self._target_address = target_address
        self._streams = set()
        self.address = ""
        self.mode = ProxyMode.PASS
        self.delay_s = 0.1

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Forward connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    def reset_connections(self):
        """Reset all open connections."""
        for stream in list(self._streams):
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()

    async def _serve(self, client):
        host, port = self._target_address.split(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(client)
            return
        self._streams |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, client, server, True, nursery)
                nursery.start_soon(self._forward, server, client, False, nursery)
        finally:
            self._streams -= {client, server}
            await trio.aclose_forcefully(client)
            await trio.aclose_forcefully(server)

    async def _forward(self, source, sink, is_to_server, nursery):
        is_discarding = False
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await trio.sleep(self.delay_s)
                if self.mode is ProxyMode.ENDLESS and not is_to_server:
                    await self._send_endlessly(sink)
                is_discarding = is_discarding or self._must_discard(is_to_server)
                if not is_discarding:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            pass
        if not is_discarding:
            nursery.cancel_scope.cancel()

    async def _send_endlessly(self, sink):
        """Send until the client closes the connection, which raises."""
        piece = ENDLESS_PIECES[len(self._streams) % len(ENDLESS_PIECES)]
        await sink.send_all(ENDLESS_HEAD)
        while True:
            await sink.send_all(piece)
            await trio.sleep(ENDLESS_PAUSE_S)

    def _must_discard(self, is_to_server):
        if self.mode is ProxyMode.CUT_TO_SERVER:
            return is_to_server
        if self.mode is ProxyMode.CUT_TO_CLIENT:
            return not is_to_server
        return self.mode is ProxyMode.SILENT
