"""What VMs tell each other about the store's content.

A VM that watches the store serves the changes to others. Each answer comes within
`HEARTBEAT_S`, with or without changes, and only while the store answers; so a follower
notices in about a second that its relay has ended or has lost the store. A VM that
starts while the store is away begins with the newest snapshot of another VM.
"""

import logging

import orjson
import trio

from .errors import (
    ProtocolError,
    RelayUnavailableError,
    RelayWithoutStoreError,
    StoreUnavailableError,
)
from .httpio import HttpConnection, HttpResponse
from .leaders import hash_to_fraction
from .store import Entry

logger = logging.getLogger(__name__)

SNAPSHOT_PATH = "/v1/snapshot"
CHANGES_PATH = "/v1/changes"

PEER_TIMEOUT_S = 0.5
"""Longest wait for a peer beyond what it was asked to wait; within a region it answers
in milliseconds."""

HEARTBEAT_S = 0.8
"""Longest time between two answers of a relay."""

VMS_PER_RELAY = 8
"""In each failure domain, one VM in so many watches the store; its answers to others
stay below the 5 KB/s that a node may use for control."""

RELAY_PENALTY_S = 10.0
"""Time for which a relay that failed is not asked again."""

_PEER_ERRORS = (
    OSError,
    ProtocolError,
    trio.TooSlowError,
    ValueError,
    KeyError,
    TypeError,
)


class PeerServer:
    """Answers other VMs.

    Parameters
    ----------
    feed : feeds.Feed
    """

    __slots__ = ("_feed",)

    def __init__(self, feed):
        self._feed = feed

    async def handle(self, request):
        """Answer one `HttpRequest`."""
        if request.path == SNAPSHOT_PATH:
            return self._answer_snapshot()
        if request.path == CHANGES_PATH:
            return await self._answer_changes(request)
        return HttpResponse(404)

    def _answer_snapshot(self):
        feed = self._feed
        if feed.revision is None:
            return HttpResponse(503)
        rows = [_encode_entry(entry) for entry in feed.list_entries()]
        return HttpResponse.from_json({"revision": feed.revision, "rows": rows})

    async def _answer_changes(self, request):
        text = request.query.get("after", "")
        if not text.isdecimal():
            return HttpResponse(400)
        after = int(text)
        if self._can_relay() and self._feed.revision <= after:
            with trio.move_on_after(HEARTBEAT_S):
                await self._feed.wait_for_change()
        if not self._can_relay():
            return HttpResponse(503)
        entries = self._feed.list_changes(after)
        is_snapshot = entries is None
        if is_snapshot:
            entries = self._feed.list_entries()
        rows = [_encode_entry(entry) for entry in entries]
        body = {"revision": self._feed.revision, "rows": rows, "all": is_snapshot}
        return HttpResponse.from_json(body)

    def _can_relay(self):
        """Only a VM that watches the store itself; chains could go in circles."""
        feed = self._feed
        return feed.is_direct and feed.is_connected and feed.revision is not None


class PeerSnapshots:
    """Asks other VMs for all that they know.

    Parameters
    ----------
    addresses : tuple of str
        ``host:port``; they may be stale.
    own_address : str
    """

    __slots__ = ("_addresses",)

    def __init__(self, addresses, own_address):
        self._addresses = [a for a in addresses if a != own_address]

    async def fetch(self):
        """Return the entries of the VM with the newest revision.

        Raises
        ------
        StoreUnavailableError
            If no VM gave any.
        """
        answers = []
        async with trio.open_nursery() as nursery:
            for address in self._addresses:
                nursery.start_soon(self._ask, address, answers)
        if not answers:
            raise StoreUnavailableError("no other VM has a snapshot")
        _, address, entries = max(answers, key=lambda answer: answer[0])
        logger.info("starting with the snapshot of another VM", extra={"peer": address})
        return entries

    async def _ask(self, address, answers):
        connection = None
        try:
            with trio.fail_after(PEER_TIMEOUT_S):
                connection = await HttpConnection.open(address, PEER_TIMEOUT_S)
                response = await connection.exchange("GET", SNAPSHOT_PATH)
            if response.status == 200:
                entries, revision = _decode_answer(response)
                answers.append((revision, address, entries))
        except _PEER_ERRORS as error:
            logger.info("no snapshot from %s: %r", address, error)
        finally:
            if connection is not None:
                connection.close()


class Relay:
    """Another VM that this VM follows.

    Parameters
    ----------
    address : str
    """

    __slots__ = ("address", "failed_at", "was_without_store", "_connection")

    def __init__(self, address):
        self.address = address
        self.failed_at = None
        self.was_without_store = False
        self._connection = None

    async def watch(self, after):
        """Return the changes after a revision, maybe none.

        Returns
        -------
        tuple of (list of Entry, int, bool)
            Entries, revision, and whether these are all entries because the VM does
            not have the history any more.

        Raises
        ------
        RelayUnavailableError
            If the VM does not answer in time.
        RelayWithoutStoreError
            If it does not watch the store, or does not reach it.
        """
        path = f"{CHANGES_PATH}?after={after}"
        try:
            with trio.fail_after(HEARTBEAT_S + PEER_TIMEOUT_S):
                response = await self._exchange(path)
            if response.status != 200:
                text = f"{self.address} does not watch the store"
                raise RelayWithoutStoreError(text)
            return *_decode_answer(response), response.parse_json()["all"]
        except _PEER_ERRORS as error:
            text = f"{self.address} does not answer: {error!r}"
            raise RelayUnavailableError(text) from error

    def close(self):
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _exchange(self, path):
        connection = self._connection
        self._connection = None
        try:
            if connection is None or not connection.is_reusable:
                connection = await HttpConnection.open(self.address, PEER_TIMEOUT_S)
            response = await connection.exchange("GET", path)
            self._connection, connection = connection, None
            return response
        finally:
            if connection is not None:
                connection.close()


class Relays:
    """Chooses the VM to follow, in the same failure domain, or the store.

    Parameters
    ----------
    fleet : fleet.Fleet
    vm_id : str
    """

    __slots__ = ("_fleet", "_vm_id", "_relays", "_current")

    def __init__(self, fleet, vm_id):
        self._fleet = fleet
        self._vm_id = vm_id
        self._relays = {}
        self._current = None

    def choose(self, now):
        """Return the `Relay` to follow, or None to watch the store.

        A relay that was chosen before and is asked for again has answered; one that
        failed must have been reported with `note_failure`.
        """
        leading = self._list_leading(self._fleet.own.domain, now)
        if any(vm.vm_id == self._vm_id for vm in leading):
            self._forget_except(())
            return None
        candidates = [vm for vm in leading if vm.address and self._is_usable(vm, now)]
        if not candidates:
            return None
        self._forget_except([vm.vm_id for vm in leading])
        self._current = self._open(candidates)
        return self._current

    def choose_substitute(self, now):
        """Return the `Relay` of any failure domain that has not failed lately, or None.

        For a VM that the store does not answer; those that watch the store may be
        answered.
        """
        vms = self._fleet.list_vms(now)
        leading = [
            vm
            for domain in sorted({vm.domain for vm in vms})
            for vm in self._list_leading(domain, now)
        ]
        candidates = [
            vm
            for vm in leading
            if vm.address and vm.vm_id != self._vm_id and self._is_usable(vm, now)
        ]
        return self._open(candidates) if candidates else None

    def pass_over(self, relay, now):
        """Do not choose a relay for `RELAY_PENALTY_S`."""
        relay.was_without_store = False
        relay.failed_at = now
        relay.close()

    def note_failure(self, error, now):
        """Take the error of the VM that was chosen last; return whether to ask again.

        A VM that lost the store for a moment is asked once more. Otherwise it is not
        asked for `RELAY_PENALTY_S`.
        """
        relay = self._current
        if isinstance(error, RelayWithoutStoreError) and not relay.was_without_store:
            relay.was_without_store = True
            return True
        self.pass_over(relay, now)
        return False

    def note_success(self):
        """Take an answer of the VM that was chosen last."""
        self._current.was_without_store = False

    def _list_leading(self, domain, now):
        """Return the VMs of a failure domain that watch the store."""
        vms = [vm for vm in self._fleet.list_vms(now) if vm.domain == domain]
        count = max(1, len(vms) // VMS_PER_RELAY)
        return sorted(vms, key=lambda vm: hash_to_fraction(vm.vm_id))[:count]

    def _open(self, candidates):
        """Return the relay that this VM prefers; each VM prefers another one."""
        best = min(candidates, key=lambda vm: hash_to_fraction(vm.vm_id + self._vm_id))
        relay = self._relays.get(best.vm_id)
        if relay is None or relay.address != best.address:
            relay = self._relays[best.vm_id] = Relay(best.address)
        return relay

    def _is_usable(self, vm, now):
        relay = self._relays.get(vm.vm_id)
        if relay is None or relay.failed_at is None:
            return True
        return now - relay.failed_at > RELAY_PENALTY_S

    def _forget_except(self, vm_ids):
        for vm_id in [key for key in self._relays if key not in vm_ids]:
            self._relays.pop(vm_id).close()


def _encode_entry(entry):
    return [entry.key, entry.value, entry.revision]


def _decode_answer(response):
    body = orjson.loads(response.body)
    return [Entry(*row) for row in body["rows"]], body["revision"]
