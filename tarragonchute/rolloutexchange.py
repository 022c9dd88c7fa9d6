"""Sends and receives evidence about rollouts, and writes their states to the store."""

import logging
import secrets

import orjson
import trio

from .errors import (
    ProtocolError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    TarragonchuteError,
)
from .httpio import HttpConnection, HttpResponse
from .rolloutagents import RolloutAgent
from .rolloutcoordinator import summarize_targets
from .rolloutstates import STATE_PREFIX, decode_state

logger = logging.getLogger(__name__)

REPORTS_PATH = "/v1/rollout-reports"

TICK_S = 0.1
"""Interval at which reports and states are checked while there is a rollout."""

SEND_TIMEOUT_S = 0.4
"""Timeout of a report; it is shorter than the interval of reports, and a VM of the same
region answers in milliseconds."""

FAILED_WRITE_DELAY_S = 0.5
"""Delay before a state is written again after an error of the store; each call is
billed."""

MAX_MESSAGE_BYTES = 1024 * 1024
"""Largest message that is decoded; usual ones have a few hundred bytes."""

_PEER_ERRORS = (
    OSError,
    ProtocolError,
    TarragonchuteError,
    trio.TooSlowError,
)

_MALFORMED_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)


class RolloutExchange:
    """Carries out what a `RolloutAgent` decides.

    Parameters
    ----------
    gateway : gateway.Gateway
    store : store.Store
    watcher : storewatcher.StoreWatcher
    order_prefix, status_prefix : str
        Prefixes of the keys of the operator's orders, and of the status for them.
    encode_status : callable
        Takes a `rolloutcoordinator.StateChange`; returns the status.
    """

    def __init__(
        self, gateway, store, watcher, order_prefix, status_prefix, encode_status
    ):
        self._rollouts = gateway.rollouts
        self._metrics = gateway.metrics
        self._fleet = gateway.fleet
        self._registry = gateway.registry
        self._store = store
        self._watcher = watcher
        self._order_prefix = order_prefix
        self._status_prefix = status_prefix
        self._encode_status = encode_status
        self._agent = RolloutAgent(
            gateway.settings.vm_id,
            secrets.token_hex(6),
            gateway.rollouts,
            self._list_vms,
            self._summarize_targets,
        )
        # Services whose state is being written, and VMs to which a report is sent.
        self._writing = set()
        self._sending = set()
        # Open connections by address, which are used again.
        self._connections = {}
        # Revisions that were read or written and that the watch may not deliver yet.
        self._revisions = {}
        gateway.rollouts.last_heard_at = watcher.get_last_success

    def _list_vms(self, now):
        return self._fleet.list_in_touch(now, self._rollouts.limits.contact_s)

    def _summarize_targets(self, rollout):
        targets = self._registry.list_usable(rollout.service)
        return summarize_targets(rollout, targets, trio.current_time())

    async def run(self):
        """Send reports and write states until cancelled."""
        if self._rollouts.limits is None:
            return
        async with trio.open_nursery() as nursery:
            while True:
                now = trio.current_time()
                if self._rollouts.list_running() or self._rollouts.list_withdrawn():
                    self._advance(nursery, now)
                elif not self._sending:
                    self._close_connections()
                await trio.sleep(TICK_S)

    def _advance(self, nursery, now):
        messages, changes = self._agent.advance(now)
        for message in messages:
            if message.vm.vm_id in self._sending:
                # The one before has not arrived yet.
                self._agent.record_failure(message)
            else:
                self._sending.add(message.vm.vm_id)
                nursery.start_soon(self._send, message)
        for change in changes:
            if change.service not in self._writing:
                self._writing.add(change.service)
                # Before anything else runs: the change was planned from these.
                writes, conditions = self._prepare(change)
                nursery.start_soon(self._write, change, writes, conditions)

    async def _send(self, message):
        result = "failed"
        try:
            with trio.fail_after(SEND_TIMEOUT_S):
                response = await self._post(message)
            if response.status == 200:
                result = "sent"
        except _PEER_ERRORS as error:
            logger.debug("cannot send evidence to %s: %r", message.vm.vm_id, error)
        finally:
            self._sending.discard(message.vm.vm_id)
            if result != "sent":
                self._agent.record_failure(message)
            self._metrics.count_rollout_report(result)

    async def _post(self, message):
        address = message.vm.address
        connection = self._connections.pop(address, None)
        try:
            if connection is None or not connection.is_reusable:
                connection = await HttpConnection.open(address, SEND_TIMEOUT_S)
            body = orjson.dumps(message.body)
            response = await connection.exchange("POST", REPORTS_PATH, (), body)
            self._connections[address], connection = connection, None
            return response
        finally:
            if connection is not None:
                connection.close()

    def _close_connections(self):
        while self._connections:
            self._connections.popitem()[1].close()

    async def handle(self, request):
        """Return the response to an `HttpRequest` with the evidence of another VM."""
        if self._rollouts.limits is None or request.method != "POST":
            return HttpResponse(404)
        if len(request.body) > MAX_MESSAGE_BYTES:
            return HttpResponse(413)
        try:
            self._agent.receive(orjson.loads(request.body), trio.current_time())
        except _MALFORMED_ERRORS as error:
            logger.warning("cannot decode evidence of another VM: %r", error)
            return HttpResponse(400)
        self._metrics.count_rollout_report("received")
        return HttpResponse(200)

    def _prepare(self, change):
        """Return what `put_all` takes for a state, and the status with it.

        Both must be as this VM knows them, and the order must be the same: it may have
        been withdrawn or replaced.
        """
        state_key = STATE_PREFIX + change.service
        status_key = self._status_prefix + change.service
        writes = [(state_key, change.state.encode(), self._get_revision(state_key))]
        if change.status is not None:
            revision = self._get_revision(status_key)
            writes.append((status_key, self._encode_status(change), revision))
        return writes, self._choose_conditions(change.service)

    async def _write(self, change, writes, conditions):
        """Write a state, and the status with it, as `_prepare` has returned them."""
        service = change.service
        result = "ok"
        try:
            revision = await self._store.put_all(writes, conditions)
            for key, _, _ in writes:
                self._revisions[key] = revision
            now = trio.current_time()
            self._rollouts.set_state(service, change.state, now, revision)
        except (StoreConflictError, StoreOutcomeUnknownError) as error:
            result = error.code
            await self._read_again(service)
            if all(self._get_revision(key) == known for key, _, known in writes):
                # Lost, or the order has changed and the watch has not delivered it.
                await trio.sleep(FAILED_WRITE_DELAY_S)
        except TarragonchuteError as error:
            result = error.code
            await trio.sleep(FAILED_WRITE_DELAY_S)
        finally:
            self._writing.discard(service)
            self._metrics.count_rollout_state(change.state.phase.value, result)
            logger.info(
                "rollout state written",
                extra={
                    "service": service,
                    "version": change.state.version,
                    "phase": change.state.phase.value,
                    "share": change.state.share,
                    "status": change.status,
                    "elapsed_s": round(change.state.elapsed_s, 1),
                    "reason": change.reason,
                    "result": result,
                },
            )

    async def _read_again(self, service):
        """Read state and status, because another VM or a lost write changed them."""
        state_key = STATE_PREFIX + service
        status_key = self._status_prefix + service
        try:
            entry = await self._store.get(state_key)
            status = await self._store.get(status_key)
        except TarragonchuteError:
            await trio.sleep(FAILED_WRITE_DELAY_S)
            return
        self._revisions[status_key] = 0 if status is None else status.revision
        self._revisions[state_key] = 0 if entry is None else entry.revision
        if entry is not None:
            state = decode_state(entry.value)
            now = trio.current_time()
            self._rollouts.set_state(service, state, now, entry.revision)

    def _choose_conditions(self, service):
        """Return the condition of a write on the order, as a list for `put_all`."""
        key = self._order_prefix + service
        entry = self._watcher.get_entry(key)
        if entry is not None:
            return [(key, entry.revision)]
        rollout = self._rollouts.get(service)
        if rollout is not None and rollout.order is not None:
            # The order is retained; the operator is about to write it again.
            return []
        return [(key, 0)]

    def _get_revision(self, key):
        """Return the revision of a key as this VM knows it; 0 if there is none."""
        entry = self._watcher.get_entry(key)
        known = 0 if entry is None else entry.revision
        return max(known, self._revisions.get(key, 0))
