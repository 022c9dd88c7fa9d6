"""Exchanges with one target: interface, HTTP client and in-memory simulation."""

import collections
import contextlib
import time
import uuid
from typing import Protocol
from urllib.parse import quote

import orjson
import trio

from .errors import ProtocolError
from .httpio import ConnectionPool
from .messages import BOOKING, SEARCH

CONNECT_TIMEOUT_S = 0.25
STATUS_TIMEOUT_S = 0.5
MAX_CLOCK_SKEW_S = 0.25
"""Largest expected offset between the wall clocks of this VM and the target."""

COLD_LIMIT = 1
"""Concurrent requests that a cold `MemoryTarget` can handle."""
COLD_SLOWDOWN_FACTOR = 5.0
"""Factor on the service time of a `MemoryTarget` while it is cold."""
SHED_FACTOR = 2
"""A `MemoryTarget` sheds load at this multiple of its slots."""
MAX_CANCELLED_IDS = 10_000
"""Limit of cancelled request ids that a `MemoryTarget` remembers."""


class TargetRequest:
    """One request to a target.

    Parameters
    ----------
    request_id : str
    shard : str
    version : str
        Snapshot version that must answer.
    payload : object
        JSON of the query or of the order.
    deadline : float
        Wall-clock Unix time in seconds after which the target must refuse the request.
    operation : str
        `messages.SEARCH` or `messages.BOOKING`.
    idempotency_key : str or None
    """

    __slots__ = (
        "request_id",
        "shard",
        "version",
        "payload",
        "deadline",
        "operation",
        "idempotency_key",
    )

    def __init__(
        self,
        request_id,
        shard,
        version,
        payload,
        deadline,
        operation="search",
        idempotency_key=None,
    ):
        self.request_id = request_id
        self.shard = shard
        self.version = version
        self.payload = payload
        self.deadline = deadline
        self.operation = operation
        self.idempotency_key = idempotency_key


class TargetAnswer:
    """Answer of a target, or the failure of the exchange.

    Parameters
    ----------
    code : str
        ``ok``; a refusal before the request ran: ``shedding``, ``draining``,
        ``deadline_passed``, ``version_missing``, ``shard_unknown``; or a failure:
        ``connect_failed`` (nothing was sent), ``connection_lost`` (may have run),
        ``timed_out`` (may have run), ``wrong_answer`` (ids do not match).
    result : object
        JSON of the result, or None.
    state : str or None
        ``cold``, ``warm`` or ``draining`` from `X-State`.
    boot_id : str or None
        Changes when the target restarts.
    versions : list of str
        With ``version_missing``: the versions that the target has.
    is_over : bool
        With ``timed_out``: whether the target confirmed that the request has ended.
    """

    __slots__ = ("code", "result", "state", "boot_id", "versions", "is_over")

    def __init__(
        self,
        code,
        result=None,
        state=None,
        boot_id=None,
        versions=(),
        is_over=False,
    ):
        self.code = code
        self.result = result
        self.state = state
        self.boot_id = boot_id
        self.versions = list(versions)
        self.is_over = is_over

    @property
    def is_provably_not_run(self):
        """Whether it is certain that the target did not run the request."""
        return self.code in _NOT_RUN_CODES


_NOT_RUN_CODES = frozenset(
    {
        "shedding",
        "draining",
        "deadline_passed",
        "version_missing",
        "shard_unknown",
        "connect_failed",
    }
)


class TargetClient(Protocol):
    """Exchanges with one target over a bounded set of connections.

    Cancelling the surrounding trio scope cancels the request at the target and
    closes the connection; a connection is reused only after a complete exchange.
    """

    async def exchange(self, request):
        """Send one `TargetRequest` and return its `TargetAnswer`.

        A failed exchange is reported by the code of the answer, not by an exception.
        """

    async def fetch_status(self):
        """Return the state that the target reports, or None if it cannot be fetched.

        It is ``cold``, ``warm`` or ``draining``; it may be outdated or wrong.
        """

    @property
    def connections(self):
        """Number of open connections."""

    async def aclose(self):
        """Close all connections."""


class HttpTargetClient:
    """HTTP client of one target with a bounded set of connections.

    Parameters
    ----------
    target_id : str
    address : str
        ``host:port``.
    max_connections : int
        Connections that this client may open; values below 1 count as 1.
    wall_clock : callable
        Returns Unix time in seconds.
    """

    def __init__(self, target_id, address, max_connections, wall_clock=time.time):
        self.target_id = target_id
        self._wall_clock = wall_clock
        self._pool = ConnectionPool(address, max(max_connections, 1), CONNECT_TIMEOUT_S)

    @property
    def connections(self):
        """Number of connections that are open or being opened."""
        return self._pool.connections

    async def exchange(self, request):
        """Send one `TargetRequest`; see `TargetClient.exchange`.

        The request id must be unique to this attempt, since a cancel names only it.
        A cancelled exchange ends when the target has acknowledged the cancel or
        answered, at the latest `MAX_CLOCK_SKEW_S` after the deadline. The caller
        may then count the target's slot as free. An exchange that reaches its
        deadline ends in the same way; `TargetAnswer.is_over` says whether the target
        confirmed the end.

        Raises
        ------
        BadRequestError
            If an id or the idempotency key is not a valid header value.
        """
        remaining = request.deadline - self._wall_clock()
        code = "deadline_passed"
        is_over = False
        if remaining <= 0:
            return TargetAnswer(code)
        with trio.move_on_after(remaining):
            await self._pool.reserve()
            connection = None
            code = "connect_failed"
            try:
                connection = await self._pool.connect()
                code = "timed_out"
                return await self._exchange_on(connection, request)
            except OSError:
                return TargetAnswer("connection_lost" if connection else code)
            except ProtocolError:
                return TargetAnswer("wrong_answer")
            except trio.Cancelled:
                if connection and connection.is_request_sent:
                    is_over = await self._cancel_at_target(connection, request)
                raise
            finally:
                self._pool.release(connection)
        return TargetAnswer(code, is_over=is_over)

    async def fetch_status(self):
        """Return the state that the target reports, or None if it cannot be fetched."""
        if not self._pool.try_reserve():
            return None
        with trio.move_on_after(STATUS_TIMEOUT_S):
            response = await self._call_reserved("GET", "/v1/status")
            with contextlib.suppress(ProtocolError, KeyError, TypeError):
                return response and response.parse_json()["state"]
        return None

    async def aclose(self):
        """Close idle connections now and the others after their exchange."""
        self._pool.close()

    async def _exchange_on(self, connection, request):
        response = await connection.exchange(
            "POST",
            f"/v1/shards/{quote(request.shard, safe='')}/{_ROUTES[request.operation]}",
            _build_headers(request),
            orjson.dumps(request.payload),
        )
        answer = _parse_answer(request, response)
        if answer.code == "wrong_answer":
            # The answer to this request may still follow on the connection.
            connection.close()
        return answer

    async def _cancel_at_target(self, connection, request):
        """Cancel a request; keep its connection reserved until the target ended it.

        Returns
        -------
        bool
            Whether the target confirmed the end, by its response to the cancel or
            to the request. A lost connection does not confirm it.
        """
        has_ended = trio.Event()
        remaining = max(request.deadline - self._wall_clock(), 0)
        with trio.move_on_after(remaining + MAX_CLOCK_SKEW_S, shield=True):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_cancel, request, has_ended)
                nursery.start_soon(_await_response, connection, request, has_ended)
                await has_ended.wait()
                nursery.cancel_scope.cancel()
        return has_ended.is_set()

    async def _send_cancel(self, request, has_ended):
        body = orjson.dumps({"request_id": request.request_id})
        await self._pool.reserve()
        response = await self._call_reserved("POST", "/v1/cancel", body)
        with contextlib.suppress(ProtocolError, KeyError, TypeError):
            if response and response.parse_json()["cancelled"] is True:
                has_ended.set()

    async def _call_reserved(self, method, path, body=b""):
        """Send a request on a reserved connection; return None if it fails."""
        connection = None
        try:
            connection = await self._pool.connect()
            response = await connection.exchange(method, path, (), body)
        except (OSError, ProtocolError):
            return None
        finally:
            self._pool.release(connection)
        return response if response.status == 200 else None


async def _await_response(connection, request, has_ended):
    with contextlib.suppress(OSError, ProtocolError):
        if await connection.skip_response() == request.request_id:
            has_ended.set()


_ROUTES = {SEARCH: "search", BOOKING: "bookings"}
_REFUSAL_STATUS_CODES = {
    "shedding": 503,
    "draining": 503,
    "deadline_passed": 504,
    "version_missing": 409,
    "shard_unknown": 404,
    "timed_out": 504,
}


def _build_headers(request):
    headers = [
        ("X-Request-Id", request.request_id),
        ("X-Deadline-Ms", str(int(request.deadline * 1000))),
        ("X-Snapshot", request.version),
    ]
    if request.idempotency_key is not None:
        headers.append(("X-Idempotency-Key", request.idempotency_key))
    return headers


def _parse_answer(request, response):
    headers = response.headers
    # Refusals must match too: one for another request does not apply to this one.
    if (
        headers.get("x-request-id") != request.request_id
        or headers.get("x-shard") != request.shard
        or headers.get("x-snapshot") != request.version
    ):
        return TargetAnswer("wrong_answer")
    body = response.parse_json()
    state = headers.get("x-state")
    boot_id = headers.get("x-boot-id")
    if response.status == 200:
        return TargetAnswer("ok", body, state, boot_id)
    code = body.get("code") if isinstance(body, dict) else None
    if _REFUSAL_STATUS_CODES.get(code) != response.status:
        return TargetAnswer("wrong_answer", None, state, boot_id)
    versions = body.get("versions")
    versions = versions if isinstance(versions, list) else ()
    is_over = code == "timed_out"
    return TargetAnswer(code, None, state, boot_id, versions, is_over)


class TargetCounters:
    """Counters of a `MemoryTarget`.

    Attributes
    ----------
    received : int
        Requests for a shard, including refused ones.
    refused : dict of str to int
        Refusals by code.
    cancelled : int
        Running requests that were stopped by a cancel.
    finished : int
        Requests that ran to completion.
    greatest_work, greatest_cold_work : int
        Greatest number of concurrent requests, in any state and while cold.
    slot_breaches, cold_breaches : int
        Requests that started beyond the slots or beyond the cold limit.
    connections_peak, connection_breaches : int
        Greatest number of open connections, and connections refused at the limit.
    runs : dict of str to int
        Number of runs per idempotency key.
    """

    __slots__ = (
        "received",
        "refused",
        "cancelled",
        "finished",
        "greatest_work",
        "greatest_cold_work",
        "slot_breaches",
        "cold_breaches",
        "connections_peak",
        "connection_breaches",
        "runs",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
        self.refused = {}
        self.runs = {}

    def to_body(self):
        """Return the counters as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


class MemoryTarget:
    """Model of a target, for tests and for the stand-in process.

    A cold target can handle one request; concurrent ones slow each other down and
    keep it cold.

    Parameters
    ----------
    target_id : str
    shards, versions : list of str
    slots, max_connections : int
    service_s : float
        Service time in seconds when warm and within the slots.
    wall_clock : callable
        Returns Unix time in seconds.
    state : str
        ``cold`` or ``warm``.

    Attributes
    ----------
    warm_after : int
        Completed requests after which a cold target is warm.
    straggle_factor : float
        Multiplies the service time.
    is_shedding, is_draining, is_unreachable : bool
    reported_state : str or None
        If set, the status endpoint reports it instead of the actual state.
    lose_answers, wrong_ids, duplicate_answers : int
        Number of the next answers that are lost, carry another request id, or are
        sent twice.
    delay_answers_s : float
        Seconds between the end of a request and its answer.
    counters : TargetCounters
    """

    def __init__(
        self,
        target_id,
        shards,
        versions=("1",),
        slots=2,
        max_connections=25,
        service_s=0.005,
        wall_clock=time.time,
        state="warm",
    ):
        self.target_id = target_id
        self.shards = list(shards)
        self.versions = list(versions)
        self.slots = slots
        self.max_connections = max_connections
        self.service_s = service_s
        self.wall_clock = wall_clock
        self.state = state
        self.warm_after = 20
        self.straggle_factor = 1.0
        self.is_shedding = False
        self.is_draining = False
        self.is_unreachable = False
        self.reported_state = None
        self.lose_answers = 0
        self.wrong_ids = 0
        self.duplicate_answers = 0
        self.delay_answers_s = 0.0
        self.counters = TargetCounters()
        self.connections = 0
        self._warmup_count = 0
        self._start_event = trio.Event()
        self._running = {}
        self._cancelled = collections.OrderedDict()
        self.boot_id = uuid.uuid4().hex

    @property
    def running_count(self):
        """Number of requests that are running."""
        return len(self._running)

    @property
    def advertised_state(self):
        """State that answers carry in the header `X-State`."""
        return "draining" if self.is_draining else self.state

    async def wait_until_running(self, count=1):
        """Wait until this many requests are running at the same time."""
        while self.running_count < count:
            await self._start_event.wait()

    def restart(self):
        """Restart the target: cold, with a new boot id; running requests are lost."""
        for running_request in self._running.values():
            running_request.scope.cancel()
        self.boot_id = uuid.uuid4().hex
        self.turn_cold()

    def turn_cold(self):
        """Make the target cold without announcing it."""
        self.state = "cold"
        self._warmup_count = 0

    def open_connection(self):
        """Count a new connection; return False if it exceeds the limit."""
        if self.connections >= self.max_connections:
            self.counters.connection_breaches += 1
            return False
        self.connections += 1
        peak = max(self.counters.connections_peak, self.connections)
        self.counters.connections_peak = peak
        return True

    def close_connection(self):
        """Count a closed connection."""
        self.connections -= 1

    async def handle(self, request):
        """Run one `TargetRequest`.

        Returns
        -------
        TargetAnswer or None
            None if a restart lost the request.
        """
        self.counters.received += 1
        code = self._get_refusal_code(request)
        if code is not None:
            self.counters.refused[code] = self.counters.refused.get(code, 0) + 1
            return self._build_answer(code)
        return await self._run(request)

    async def cancel(self, request_id):
        """Stop a request; return True once it no longer runs and cannot start.

        The id is remembered, so that a request that arrives after its cancel is
        refused.
        """
        self._cancelled[request_id] = None
        if len(self._cancelled) > MAX_CANCELLED_IDS:
            self._cancelled.popitem(last=False)
        running_requests = [
            r for r in self._running.values() if r.request_id == request_id
        ]
        for running_request in running_requests:
            running_request.is_cancelled = True
            running_request.scope.cancel()
            await running_request.ended.wait()
        return True

    def _get_refusal_code(self, request):
        if self.wall_clock() > request.deadline:
            return "deadline_passed"
        if request.request_id in self._cancelled:
            return "cancelled"
        if self.is_draining:
            return "draining"
        if self.is_shedding or self.running_count >= self.slots * SHED_FACTOR:
            return "shedding"
        if request.shard not in self.shards:
            return "shard_unknown"
        if request.version not in self.versions:
            return "version_missing"
        return None

    async def _run(self, request):
        running_request = _RunningRequest(request.request_id)
        run_id = object()
        self._running[run_id] = running_request
        self._start_event.set()
        self._start_event = trio.Event()
        self._record_start(request)
        remaining = request.deadline - self.wall_clock()
        is_done = False
        try:
            with running_request.scope, trio.move_on_after(remaining):
                await trio.sleep(self._compute_service_time())
                is_done = True
        except trio.Cancelled:
            # The in-memory client cancels through its surrounding scope.
            self.counters.cancelled += self.wall_clock() < request.deadline
            raise
        finally:
            del self._running[run_id]
            running_request.ended.set()
        if is_done:
            return await self._finish(request)
        return self._build_stopped_answer(running_request)

    def _record_start(self, request):
        counters = self.counters
        counters.greatest_work = max(counters.greatest_work, self.running_count)
        counters.slot_breaches += self.running_count > self.slots
        if self.state == "cold":
            max_cold_work = max(counters.greatest_cold_work, self.running_count)
            counters.greatest_cold_work = max_cold_work
            counters.cold_breaches += self.running_count > COLD_LIMIT
            if self.running_count > COLD_LIMIT:
                self._warmup_count = 0
        if request.idempotency_key is not None:
            key = request.idempotency_key
            counters.runs[key] = counters.runs.get(key, 0) + 1

    def _compute_service_time(self):
        time_s = self.service_s * self.straggle_factor
        if self.state == "cold":
            return time_s * COLD_SLOWDOWN_FACTOR * max(self.running_count, 1) ** 2
        return time_s * max(self.running_count / self.slots, 1)

    async def _finish(self, request):
        self.counters.finished += 1
        self._warmup_count += 1
        if self.state == "cold" and self._warmup_count >= self.warm_after:
            self.state = "warm"
        answer = self._build_answer("ok", _build_result(request))
        if self.delay_answers_s:
            await trio.sleep(self.delay_answers_s)
        return answer

    def _build_stopped_answer(self, running_request):
        if running_request.is_cancelled:
            self.counters.cancelled += 1
            return self._build_answer("cancelled")
        if running_request.scope.cancelled_caught:
            return None
        return self._build_answer("timed_out")

    def _build_answer(self, code, result=None):
        versions = self.versions if code == "version_missing" else ()
        is_over = code == "timed_out"
        return TargetAnswer(
            code, result, self.advertised_state, self.boot_id, versions, is_over
        )


class _RunningRequest:
    """A request that is running."""

    __slots__ = ("request_id", "scope", "ended", "is_cancelled")

    def __init__(self, request_id):
        self.request_id = request_id
        self.scope = trio.CancelScope()
        self.ended = trio.Event()
        self.is_cancelled = False


def _build_result(request):
    """Return a result that identifies its request and snapshot."""
    result = {"shard": request.shard, "version": request.version}
    if request.operation == BOOKING:
        return {**result, "order": request.payload}
    title = f"{request.payload} in {request.shard} at {request.version}"
    return {**result, "hits": [{"title": title, "score": len(title)}]}


class MemoryTargetClient:
    """Client of a `MemoryTarget`; the in-memory counterpart of `HttpTargetClient`.

    Parameters
    ----------
    target : MemoryTarget
    max_connections : int
    delay_s : float
        Network delay in seconds, each way.
    """

    def __init__(self, target, max_connections, delay_s=0.0):
        self.target = target
        self.target_id = target.target_id
        self.delay_s = delay_s
        self.connections = 0
        self._connection_slots = trio.Semaphore(max(max_connections, 1))
        self._idle_count = 0

    async def exchange(self, request):
        """Run one `TargetRequest`; see `TargetClient.exchange`."""
        remaining = request.deadline - self.target.wall_clock()
        code = "deadline_passed"
        if remaining <= 0:
            return TargetAnswer(code)
        with trio.move_on_after(remaining):
            async with self._connection_slots:
                if self.target.is_unreachable:
                    return TargetAnswer("connect_failed")
                if not self._connect():
                    return TargetAnswer("connection_lost")
                code = "timed_out"
                is_complete = False
                try:
                    await trio.sleep(self.delay_s)
                    answer = await self.target.handle(request)
                    await trio.sleep(self.delay_s)
                    answer = self._apply_faults(answer)
                    is_complete = answer.code not in ("connection_lost", "wrong_answer")
                    return answer
                finally:
                    self._disconnect(is_complete)
        # Leaving the cancel scope has also stopped the request in the `MemoryTarget`.
        return TargetAnswer(code, is_over=code == "timed_out")

    async def fetch_status(self):
        """Return the state that the target reports, or None if it is unreachable."""
        await trio.sleep(self.delay_s)
        if self.target.is_unreachable:
            return None
        return self.target.reported_state or self.target.advertised_state

    async def aclose(self):
        """Close all idle connections."""
        while self._idle_count:
            self._idle_count -= 1
            self._close()

    def _connect(self):
        if self._idle_count:
            self._idle_count -= 1
            return True
        if not self.target.open_connection():
            return False
        self.connections += 1
        return True

    def _disconnect(self, is_complete):
        if is_complete:
            self._idle_count += 1
        else:
            self._close()

    def _close(self):
        self.connections -= 1
        self.target.close_connection()

    def _apply_faults(self, answer):
        target = self.target
        if answer is None or target.is_unreachable:
            return TargetAnswer("connection_lost")
        if target.lose_answers:
            target.lose_answers -= 1
            return TargetAnswer("connection_lost")
        if target.wrong_ids:
            target.wrong_ids -= 1
            return TargetAnswer("wrong_answer")
        return answer
