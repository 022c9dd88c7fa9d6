"""Callers of the soak: each keeps its connection until the process is gone."""

import trio

from tarragonchute.errors import TarragonchuteError
from tarragonchute.httpio import HttpConnection

from .oracle import Sent

HOST = "h.example"
LATE_S = 2.0
"""Time beyond its limit that an undisturbed VM is given on a busy machine."""


class Caller:
    """Sends requests one after the other.

    Parameters
    ----------
    number : int
    world : world.World
    random_source : random.Random

    Attributes
    ----------
    is_settled : bool
        Whether its searches count for the recovery after the faults.
    full, total : int
        Searches that were whole, and all, since then.
    """

    def __init__(self, number, world, random_source):
        self.is_settled = False
        self.full = 0
        self.total = 0
        self._number = number
        self._world = world
        self._random = random_source
        self._count = 0
        self._connection = None
        self._vm = None

    async def run(self):
        """Send until cancelled."""
        while True:
            await self._send_one()
            await trio.sleep(self._random.uniform(0.05, 0.5))

    async def _send_one(self):
        if self._connection is None and not await self._connect():
            await trio.sleep(0.1)
            return
        sent = self._build_request()
        self._world.oracle.note_sent(sent)
        lifetime = self._vm.lifetime
        response = None
        with trio.move_on_after(sent.limit_s + LATE_S) as scope:
            response = await self._exchange(sent)
        now = trio.current_time()
        if scope.cancelled_caught:
            if self._is_undisturbed(sent, lifetime):
                self._world.oracle.note_late(sent.request_id, now - sent.at)
        elif response is None:
            self._world.oracle.note_closed(sent.request_id)
            if self._is_undisturbed(sent, lifetime):
                self._world.oracle.note_cut(sent.request_id)
        if response is None:
            self._close()
        if self.is_settled and sent.is_search:
            self._count_settled(response)

    def _is_undisturbed(self, sent, lifetime):
        vm = self._vm
        if self._world.oracle.blind_until > sent.at:
            return False
        return vm.lifetime is lifetime and vm.disturbed_until < sent.at

    def _count_settled(self, response):
        self.total += 1
        if response is not None and response.status == 200:
            self.full += "missing-parts" not in response.headers

    def _build_request(self):
        self._count += 1
        request_id = f"c{self._number}-{self._count}"
        is_search = self._random.random() < 0.6
        limit_s = self._random.uniform(0.3, 1.5)
        if is_search:
            message = ("GET", b"/search/1?q=%2F", b"")
        else:
            body = request_id.encode() * self._random.randint(1, 40)
            message = ("POST", b"/order/1", body)
        now = trio.current_time()
        lifetime = self._vm.lifetime
        return Sent(request_id, lifetime, message, is_search, is_search, now, limit_s)

    async def _connect(self):
        self._vm = self._random.choice(self._world.vms)
        host, port = self._vm.callers.split(":")
        try:
            with trio.fail_after(1.0):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return False
        self._connection = HttpConnection(stream, HOST)
        return True

    async def _exchange(self, sent):
        """Return the response, or None if the connection ended."""
        method, path, body = sent.message
        headers = [
            ("Request-Id", sent.request_id),
            ("Request-Deadline", str(int(sent.limit_s * 1000))),
        ]
        connection = self._connection
        try:
            response = await connection.exchange(method, path, headers, body)
        except (OSError, TarragonchuteError):
            return None
        self._world.oracle.note_answer(
            sent.request_id,
            response.status,
            response.headers,
            response.body,
            trio.current_time(),
        )
        if not connection.is_reusable:
            self._close()
        return response

    def _close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None
