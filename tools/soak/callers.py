"""Callers of the soak test; each reuses its connection until that is closed."""

import trio

from tarragonchute.errors import TarragonchuteError
from tarragonchute.httpio import HttpConnection

from .oracle import CallerRequest
from .world import GRACE_S

HOST = "h.example"

LATE_USE_FRACTION = 0.2
"""Fraction of the connections that are used some time after they were opened, also
while their VM stops."""

RESPONSE_MARGIN_S = 2.0
"""Time after the deadline in which an undisturbed VM may still respond; the machine may
be busy."""


class Caller:
    """Sends requests one at a time.

    Parameters
    ----------
    number : int
    world : world.World
    random_source : random.Random

    Attributes
    ----------
    is_counted_for_recovery : bool
        Whether its searches are counted for the recovery check after the faults.
    complete_searches, total_searches : int
        Searches that returned all shards, and all searches, counted since then.
    """

    def __init__(self, number, world, random_source):
        self.is_counted_for_recovery = False
        self.complete_searches = 0
        self.total_searches = 0
        self._number = number
        self._world = world
        self._random = random_source
        self._count = 0
        self._connection = None
        self._vm = None
        self._lifetime = None
        self._is_used_late = False

    async def run(self):
        """Send requests until cancelled."""
        while True:
            await self._send_one()
            await trio.sleep(self._random.uniform(0.05, 0.5))

    async def _send_one(self):
        if self._connection is None and not await self._connect():
            await trio.sleep(0.1)
            return
        request = self._build_request()
        self._world.oracle.record_request(request)
        lifetime = self._lifetime
        response = None
        with trio.move_on_after(request.timeout_s + RESPONSE_MARGIN_S) as scope:
            response = await self._exchange(request)
        now = trio.current_time()
        if scope.cancelled_caught:
            if self._is_undisturbed(request, lifetime):
                self._world.oracle.report_missing_response(
                    request.request_id, now - request.at
                )
        elif response is None:
            self._world.oracle.record_closed_connection(request.request_id)
            # A request may cross the end of a connection that was idle for long.
            is_lost = not self._is_used_late or self._world.oracle.has_run(
                request.request_id
            )
            if is_lost and self._is_undisturbed(request, lifetime):
                self._world.oracle.report_lost_connection(request.request_id)
        self._is_used_late = False
        if response is None:
            self._close()
        if self.is_counted_for_recovery and request.is_search:
            self._count_recovery_search(response)

    def _is_undisturbed(self, request, lifetime):
        vm = self._vm
        if self._world.oracle.timing_unreliable_until > request.at:
            return False
        return vm.lifetime is lifetime and vm.disturbed_until < request.at

    def _count_recovery_search(self, response):
        self.total_searches += 1
        if response is not None and response.status == 200:
            self.complete_searches += "missing-parts" not in response.headers

    def _build_request(self):
        self._count += 1
        request_id = f"c{self._number}-{self._count}"
        is_search = self._random.random() < 0.6
        timeout_s = self._random.uniform(0.3, 1.5)
        if is_search:
            message = ("GET", b"/search/1?q=%2F", b"")
        else:
            body = request_id.encode() * self._random.randint(1, 40)
            message = ("POST", b"/order/1", body)
        now = trio.current_time()
        return CallerRequest(
            request_id, self._lifetime, message, is_search, is_search, now, timeout_s
        )

    async def _connect(self):
        self._vm = self._random.choice(self._world.vms)
        lifetime = self._vm.lifetime
        host, port = self._vm.caller_address.split(":")
        try:
            with trio.fail_after(1.0):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return False
        self._connection = HttpConnection(stream, HOST)
        self._lifetime = lifetime
        if self._random.random() < LATE_USE_FRACTION:
            self._is_used_late = True
            await trio.sleep(self._random.uniform(0.0, GRACE_S))
        return True

    async def _exchange(self, request):
        """Return the response, or None if the connection failed."""
        method, path, body = request.message
        headers = [
            ("Request-Id", request.request_id),
            ("Request-Deadline", str(int(request.timeout_s * 1000))),
        ]
        connection = self._connection
        try:
            response = await connection.exchange(method, path, headers, body)
        except (OSError, TarragonchuteError):
            return None
        self._world.oracle.record_response(
            request.request_id,
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
