"""Exchange of the store's content between VMs.

A VM that watches the store serves its changes to others, as their relay. It answers
each request within `MAX_POLL_HOLD_S`, even without changes, and with an error at once
if it cannot reach the store. A follower thus detects within about a second that its
relay has stopped, or cannot reach the store. A VM that starts loads the snapshot of
another VM, because listing the store takes many billed calls; if the store is
unreachable, it loads the newest snapshot that any VM has.
"""

import logging
import math
import zlib

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
from .revisions import MAX_REVISION, RESTORED_KEY_RETENTION_S, RetainedEntry
from .store import Entry

logger = logging.getLogger(__name__)

SNAPSHOT_PATH = "/v1/snapshot"
CHANGES_PATH = "/v1/changes"
REVISION_PATH = "/v1/revision"

PEER_TIMEOUT_S = 0.5
"""Timeout of a request to a peer, on top of the time for which the peer may hold it;
within a region, peers answer in milliseconds."""

MAX_POLL_HOLD_S = 0.8
"""Longest time for which a relay holds a long poll while nothing changes."""

VMS_PER_RELAY = 8
"""One in this many VMs of a failure domain, but at least one, watches the store and
relays its changes. The answers of one relay then stay below the 5 KB/s that a VM may
use for control traffic."""

MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
"""Largest snapshot that is decompressed."""

START_TIMEOUT_S = 0.06
"""Longest time for which a starting VM waits for the snapshot of a seed, which takes
some 20 ms. Listing the store takes less than 0.1 s, and callers are refused
meanwhile."""

START_STAGGER_S = 0.02
"""Delay after which the next seed is asked, too."""

EXPIRING_SNAPSHOT_AGE_S = 0.5
"""Time for which a compressed snapshot with expiring entries is sent again. Receivers
keep these entries for that much longer, which is little of their retention."""

COMPRESSION_LEVEL = 1
COMPRESSION = "deflate"
"""Content coding of snapshots. They consist of similar registrations, so that even the
fastest level reduces them to about a fifth."""

RELAY_EXCLUSION_S = 10.0
"""Time for which a relay is not chosen after a failure."""

_PEER_ERRORS = (
    OSError,
    ProtocolError,
    trio.TooSlowError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
)


class PeerServer:
    """Serves the known store content to other VMs.

    Parameters
    ----------
    watcher : storewatcher.StoreWatcher
    """

    __slots__ = ("_watcher", "_compressed", "_compressed_key", "_compressed_at")

    def __init__(self, watcher):
        self._watcher = watcher
        # Compressed snapshot, and the state for which it was built: all VMs of the
        # fleet may ask for it at the same time.
        self._compressed = None
        self._compressed_key = None
        self._compressed_at = -math.inf

    async def handle(self, request):
        """Return the response to one `HttpRequest`."""
        if request.path == SNAPSHOT_PATH:
            return self._answer_snapshot(request)
        if request.path in (CHANGES_PATH, REVISION_PATH):
            return await self._answer_poll(request)
        return HttpResponse(404)

    def _answer_snapshot(self, request):
        watcher = self._watcher
        if not watcher.is_loaded:
            return HttpResponse(503)
        if COMPRESSION not in request.headers.get("accept-encoding", ""):
            return HttpResponse.from_json(self._build_snapshot())
        retained = watcher.list_retained()
        is_expiring = any(entry.until < math.inf for entry in retained)
        revision = watcher.last_applied_revision
        key = (revision, self._is_current(), len(retained), is_expiring)
        # The time that is left changes without a new revision.
        age_s = trio.current_time() - self._compressed_at
        is_outdated = is_expiring and age_s >= EXPIRING_SNAPSHOT_AGE_S
        if key != self._compressed_key or is_outdated:
            data = orjson.dumps(self._build_snapshot())
            self._compressed = zlib.compress(data, COMPRESSION_LEVEL)
            self._compressed_key = key
            self._compressed_at = trio.current_time()
        return HttpResponse(200, self._compressed, {"Content-Encoding": COMPRESSION})

    def _build_snapshot(self):
        watcher = self._watcher
        return {
            "revision": watcher.last_applied_revision,
            "rows": [_encode_entry(entry) for entry in watcher.list_entries()],
            "current": self._is_current(),
            "retained": self._list_retained(),
        }

    def _list_retained(self):
        now = trio.current_time()
        return [
            [
                entry.key,
                entry.value,
                entry.restored_revision,
                None if entry.until == math.inf else entry.until - now,
            ]
            for entry in self._watcher.list_retained()
        ]

    def _is_current(self):
        """Whether a VM may start with this one's content in place of a listing."""
        watcher = self._watcher
        return watcher.is_connected and watcher.revision is not None

    async def _answer_poll(self, request):
        """Answer once there are changes after the given revision, or after a while."""
        text = request.query.get("after", "")
        if not text.isdecimal():
            return HttpResponse(400)
        after = int(text)
        if self._can_relay() and self._watcher.revision <= after:
            with trio.move_on_after(MAX_POLL_HOLD_S):
                await self._watcher.wait_for_change()
        if not self._can_relay():
            return HttpResponse(503)
        if request.path == REVISION_PATH:
            return HttpResponse.from_json({"revision": self._watcher.revision})
        return self._build_changes(after)

    def _build_changes(self, after):
        entries = self._watcher.list_changes(after)
        is_snapshot = entries is None
        if is_snapshot:
            entries = self._watcher.list_entries()
        rows = [_encode_entry(entry) for entry in entries]
        body = {"revision": self._watcher.revision, "rows": rows, "all": is_snapshot}
        return HttpResponse.from_json(body)

    def _can_relay(self):
        """Whether this VM watches the store and reaches it.

        A follower must not relay, because VMs could then follow each other in a cycle.
        """
        watcher = self._watcher
        return (
            watcher.is_watching_store
            and watcher.is_connected
            and watcher.revision is not None
        )


class PeerSnapshot:
    """The store's content as another VM knows it.

    Parameters
    ----------
    entries : list of store.Entry
    revision : int
    is_current : bool
        Whether that VM reaches the store, or a relay that does.
    retained : list of revisions.RetainedEntry
        What counts in place of the store's entries after a restore.
    """

    __slots__ = ("entries", "revision", "is_current", "retained")

    def __init__(self, entries, revision, is_current, retained=()):
        self.entries = entries
        self.revision = revision
        self.is_current = is_current
        self.retained = retained


class PeerSnapshots:
    """Fetches a snapshot of the store from other VMs.

    Parameters
    ----------
    addresses : tuple of str
        ``host:port`` of other VMs; some may be stale.
    own_address : str
    start_timeout_s : float
        Longest time for which `fetch_at_start` waits.
    """

    __slots__ = ("_addresses", "_is_seed", "_start_timeout_s")

    def __init__(self, addresses, own_address, start_timeout_s=START_TIMEOUT_S):
        self._start_timeout_s = start_timeout_s
        self._is_seed = own_address in addresses
        # The order differs from VM to VM, so that the seeds share the requests.
        self._addresses = sorted(
            (address for address in addresses if address != own_address),
            key=lambda address: hash_to_fraction(address + own_address),
        )

    async def fetch_at_start(self):
        """Return a current `PeerSnapshot`, or None to list the store.

        The seeds list the store themselves. The seeds are asked one after the other
        until one has a current snapshot; the next one is asked after `START_STAGGER_S`
        even if the one before has not answered. If all VMs start at once, no seed has a
        snapshot, and each VM lists the store without waiting for one.
        """
        if self._is_seed or not self._addresses:
            return None
        found = await self._fetch_first(
            lambda snapshot: snapshot.is_current, self._start_timeout_s
        )
        if found is None:
            logger.info("no other VM has a current snapshot; listing the store")
        return found

    async def fetch_any(self):
        """Return the first `PeerSnapshot` that a VM has, current or not, or None.

        Used by a VM that starts after a restore of the store, for what the others have
        accepted before. So busy VMs are waited for, too, up to `PEER_TIMEOUT_S`; those
        that have no snapshot say so at once.
        """
        return await self._fetch_first(lambda snapshot: True, PEER_TIMEOUT_S)

    async def _fetch_first(self, is_acceptable, timeout_s):
        found = None

        async def ask(address, delay_s):
            nonlocal found
            await trio.sleep(delay_s)
            try:
                snapshot = await self._fetch_from(address)
            except _PEER_ERRORS as error:
                logger.debug("no snapshot from %s: %r", address, error)
                return
            if snapshot is not None and found is None and is_acceptable(snapshot):
                found = snapshot
                _log_start(address, snapshot)
                nursery.cancel_scope.cancel()

        with trio.move_on_after(timeout_s):
            async with trio.open_nursery() as nursery:
                for index, address in enumerate(self._addresses):
                    nursery.start_soon(ask, address, index * START_STAGGER_S)
        return found

    async def fetch(self):
        """Return the `PeerSnapshot` with the newest revision, current or not.

        Raises
        ------
        StoreUnavailableError
            If no VM returned a snapshot.
        """
        snapshots = []

        async def fetch_from(address):
            try:
                snapshot = await self._fetch_from(address)
            except _PEER_ERRORS as error:
                logger.info("no snapshot from %s: %r", address, error)
                return
            if snapshot is not None:
                snapshots.append((snapshot.revision, address, snapshot))

        async with trio.open_nursery() as nursery:
            for address in self._addresses:
                nursery.start_soon(fetch_from, address)
        if not snapshots:
            raise StoreUnavailableError("no other VM has a snapshot")
        _, address, snapshot = max(snapshots, key=lambda item: item[:2])
        _log_start(address, snapshot)
        return snapshot

    async def _fetch_from(self, address):
        """Return the `PeerSnapshot` of one VM, or None if it has none yet."""
        connection = None
        try:
            with trio.fail_after(PEER_TIMEOUT_S):
                connection = await HttpConnection.open(address, PEER_TIMEOUT_S)
                headers = [("Accept-Encoding", COMPRESSION)]
                response = await connection.exchange("GET", SNAPSHOT_PATH, headers)
        finally:
            if connection is not None:
                connection.close()
        if response.status != 200:
            return None
        return _decode_snapshot(response)


class Relay:
    """Another VM from which this VM gets the changes of the store.

    Parameters
    ----------
    address : str
        ``host:port``.

    Attributes
    ----------
    excluded_at : float or None
        When it was last excluded, in monotonic seconds.
    is_retry_used : bool
        Whether the one retry after it answered that it cannot relay the store was used.
    """

    __slots__ = ("address", "excluded_at", "is_retry_used", "_connection")

    def __init__(self, address):
        self.address = address
        self.excluded_at = None
        self.is_retry_used = False
        self._connection = None

    async def watch(self, after):
        """Return the changes after a revision; none if nothing changes for a while.

        Returns
        -------
        tuple of (list of Entry, int, bool)
            Entries, revision, and whether the entries are a full snapshot because the
            relay's history no longer covers the revision.

        Raises
        ------
        RelayUnavailableError
            If the relay does not answer in time.
        RelayWithoutStoreError
            If the relay answers with an error status, because it does not watch the
            store or cannot reach it.
        """
        return await self._poll(CHANGES_PATH, after, _decode_answer)

    async def wait_for_revision(self, after):
        """Return the relay's revision once it exceeds another one, or after a while.

        Raises
        ------
        RelayUnavailableError, RelayWithoutStoreError
            As for `watch`.
        """
        return await self._poll(REVISION_PATH, after, _decode_revision)

    async def _poll(self, path, after, decode):
        try:
            with trio.fail_after(MAX_POLL_HOLD_S + PEER_TIMEOUT_S):
                response = await self._exchange(f"{path}?after={after}")
            if response.status != 200:
                text = f"{self.address} cannot relay the store"
                raise RelayWithoutStoreError(text)
            return decode(response)
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


class RelayChooser:
    """Chooses whether to watch the store or to follow a relay, and which one.

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
        """Return a `Relay` of this failure domain, or None to watch the store.

        A failure of the returned relay must be reported with `record_failure` before
        the next call.
        """
        vms = self._fleet.list_vms(now)
        relay_vms = list_relay_vms(vms, self._fleet.own_vm.domain)
        if any(vm.vm_id == self._vm_id for vm in relay_vms):
            self._close_relays_except(())
            return None
        candidates = [vm for vm in relay_vms if vm.address and self._is_usable(vm, now)]
        if not candidates:
            return None
        self._close_relays_except([vm.vm_id for vm in relay_vms])
        self._current = self._get_relay(candidates)
        return self._current

    def choose_fallback(self, now):
        """Return a `Relay` of any failure domain that is not excluded, or None.

        Used while this VM cannot reach the store, which relays may still reach.
        """
        candidates = [
            vm
            for vm in list_all_relay_vms(self._fleet.list_vms(now))
            if vm.address and vm.vm_id != self._vm_id and self._is_usable(vm, now)
        ]
        return self._get_relay(candidates) if candidates else None

    def exclude(self, relay, now):
        """Exclude a relay from the choice for `RELAY_EXCLUSION_S`."""
        relay.is_retry_used = False
        relay.excluded_at = now
        relay.close()

    def record_failure(self, error, now):
        """Record an error of the relay chosen last; return whether to retry with it.

        A relay that cannot reach the store gets one retry, because its outage may be
        short. After a second such error in a row, or any other error, it is excluded
        for `RELAY_EXCLUSION_S`.
        """
        relay = self._current
        if isinstance(error, RelayWithoutStoreError) and not relay.is_retry_used:
            relay.is_retry_used = True
            return True
        self.exclude(relay, now)
        return False

    def record_success(self):
        """Record an answer of the relay chosen last."""
        self._current.is_retry_used = False

    def _get_relay(self, candidates):
        """Return the candidate that ranks first for this VM.

        The rank is a hash, which distributes the followers over the relays.
        """
        best = min(candidates, key=lambda vm: hash_to_fraction(vm.vm_id + self._vm_id))
        relay = self._relays.get(best.vm_id)
        if relay is None or relay.address != best.address:
            relay = self._relays[best.vm_id] = Relay(best.address)
        return relay

    def _is_usable(self, vm, now):
        relay = self._relays.get(vm.vm_id)
        if relay is None or relay.excluded_at is None:
            return True
        return now - relay.excluded_at > RELAY_EXCLUSION_S

    def _close_relays_except(self, vm_ids):
        for vm_id in [key for key in self._relays if key not in vm_ids]:
            self._relays.pop(vm_id).close()


def list_relay_vms(vms, domain):
    """Return the VMs of a failure domain that watch the store and act as relays."""
    own_vms = [vm for vm in vms if vm.domain == domain]
    count = max(1, len(own_vms) // VMS_PER_RELAY)
    return sorted(own_vms, key=lambda vm: hash_to_fraction(vm.vm_id))[:count]


def list_all_relay_vms(vms):
    """Return the relays of all failure domains."""
    domains = sorted({vm.domain for vm in vms})
    return [vm for domain in domains for vm in list_relay_vms(vms, domain)]


def _encode_entry(entry):
    return [entry.key, entry.value, entry.revision]


def _log_start(address, snapshot):
    logger.info(
        "starting with the snapshot of another VM",
        extra={"peer": address, "revision": snapshot.revision},
    )


def _decode_snapshot(response):
    data = response.body
    if response.headers.get("content-encoding") == COMPRESSION:
        data = _decompress(data)
    body = orjson.loads(data)
    entries, revision = _decode_rows(body)
    # Releases without store eras do not send what is retained.
    retained = [_decode_retained(row) for row in body.get("retained", ())]
    return PeerSnapshot(entries, revision, body.get("current") is True, retained)


def _decode_retained(row):
    key, value, revision, left_s = row
    _decode_entry((key, value, revision))
    if left_s is None:
        return RetainedEntry(key, value, revision, math.inf)
    left_s = min(float(left_s), RESTORED_KEY_RETENTION_S)
    return RetainedEntry(key, value, revision, trio.current_time() + left_s)


def _decompress(data):
    """Return the decompressed data; raises ValueError if it is too large or invalid."""
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise ValueError(f"invalid compressed data: {error}") from error
    if not decompressor.eof:
        raise ValueError(f"the snapshot exceeds {MAX_SNAPSHOT_BYTES} bytes or is cut")
    return plain


def _decode_entry(row):
    key, value, revision = row
    if not isinstance(key, str) or not isinstance(revision, int):
        raise TypeError(f"{row!r} is not an entry")
    if value is not None and not isinstance(value, str):
        raise TypeError(f"the value of {key!r} is not a string")
    return Entry(key, value, revision)


def _decode_answer(response):
    """Return the entries, the revision, and whether they are a full snapshot."""
    body = orjson.loads(response.body)
    return *_decode_rows(body), bool(body["all"])


def _decode_rows(body):
    """Return the entries and the revision of an answer."""
    revision = _check_revision(body["revision"])
    return [_decode_entry(row) for row in body["rows"]], revision


def _decode_revision(response):
    return _check_revision(orjson.loads(response.body)["revision"])


def _check_revision(revision):
    if not isinstance(revision, int):
        raise TypeError(f"the revision {revision!r} is not an integer")
    if not 0 <= revision <= MAX_REVISION:
        # An era that no store states would make all its answers seem old.
        raise ValueError(f"the revision {revision!r} is out of range")
    return revision
