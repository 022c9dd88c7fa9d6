"""The platform's key-value service: interface, in-memory fake and HTTP client."""

import math
import operator
from typing import Protocol
from urllib.parse import quote

import orjson
import trio

from .errors import (
    BadRequestError,
    LeaseNotFoundError,
    ProtocolError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TarragonchuteError,
)
from .httpio import ConnectionPool

MAX_VALUE_BYTES = 1_000_000
MAX_STORE_CONNECTIONS = 32
# Bounds the memory of `MemoryStore`: it drops the oldest deleted keys beyond this.
MAX_DELETED_KEYS = 10_000


class Entry:
    """A key with its value and revision.

    Parameters
    ----------
    key : str
    value : str or None
        At most `MAX_VALUE_BYTES` in UTF-8. None in a watch if the key was deleted.
    revision : int
        Store-wide revision of the last change of the key.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class Store(Protocol):
    """Operations that the project needs from the key-value service.

    Every call may raise `StoreUnavailableError`. A write may also raise
    `StoreOutcomeUnknownError`: it may or may not have taken effect.
    """

    async def get(self, key):
        """Return the `Entry`, or None if the key does not exist."""

    async def put(self, key, value, expect, lease=None):
        """Write a key by compare-and-swap and return the new revision.

        Parameters
        ----------
        key, value : str
        expect : int
            Revision that the key must have; 0 if it must not exist.
        lease : str or None
            Id of the lease with which the key expires.

        Raises
        ------
        StoreConflictError
            If the key has another revision; the error holds the current entry.
        """

    async def put_all(self, writes, conditions=()):
        """Write several keys by compare-and-swap in one transaction.

        Only rollouts on the platform need it; `HttpStore` does not have it.

        Parameters
        ----------
        writes : list of (str, str, int)
            Key, value, and the revision that the key must have, as for `put`.
        conditions : list of (str, int)
            Keys that are not written, and the revisions that they must have.

        Returns
        -------
        int
            New revision of all these keys.

        Raises
        ------
        StoreConflictError
            If a key has another revision; then none is written.
        """

    async def delete(self, key, expect):
        """Delete a key by compare-and-swap; raises the errors of `put`."""

    async def list(self, prefix):
        """Return ``(entries, revision)`` of a prefix, with the store's revision."""

    async def watch(self, prefix, after, wait_s):
        """Wait for changes under a prefix and return ``(entries, revision)``.

        Parameters
        ----------
        prefix : str
        after : int
            Only changes with a higher revision are returned. If the store's own
            revision is lower, as after a restore from a backup, the call returns
            immediately with no entries and that revision.
        wait_s : float
            Longest wait in seconds; the list is empty if nothing changed.
        """

    async def probe(self):
        """Check that the store responds, as cheaply as possible and without content.

        Returns
        -------
        int or None
            A revision that the store has reached; None if it reports none.
        """

    async def grant_lease(self, ttl_s):
        """Create a lease that ends after `ttl_s` seconds and return its id."""

    async def renew_lease(self, lease):
        """Renew a lease for its time to live."""


class InstrumentedStore:
    """Forwards every call to a store and reports the result.

    Parameters
    ----------
    store : Store
    record_result : callable
        Called with the operation (``get``, ``put``, ``delete``, ``list``, ``watch``,
        ``probe`` or ``lease``) and the result: ``ok``, the code of the error, or
        ``cancelled`` if the call was cancelled or failed in another way.
    """

    __slots__ = ("_store", "_record_result")

    def __init__(self, store, record_result):
        self._store = store
        self._record_result = record_result

    async def get(self, key):
        """See `Store`."""
        return await self._call("get", self._store.get(key))

    async def put(self, key, value, expect, lease=None):
        """See `Store`."""
        return await self._call("put", self._store.put(key, value, expect, lease))

    async def put_all(self, writes, conditions=()):
        """See `Store`."""
        return await self._call("put", self._store.put_all(writes, conditions))

    async def delete(self, key, expect):
        """See `Store`."""
        return await self._call("delete", self._store.delete(key, expect))

    async def list(self, prefix):
        """See `Store`."""
        return await self._call("list", self._store.list(prefix))

    async def watch(self, prefix, after, wait_s):
        """See `Store`."""
        return await self._call("watch", self._store.watch(prefix, after, wait_s))

    async def probe(self):
        """See `Store`."""
        return await self._call("probe", self._store.probe())

    async def grant_lease(self, ttl_s):
        """See `Store`."""
        return await self._call("lease", self._store.grant_lease(ttl_s))

    async def renew_lease(self, lease):
        """See `Store`."""
        return await self._call("lease", self._store.renew_lease(lease))

    async def _call(self, operation, call):
        result = "cancelled"
        try:
            value = await call
            result = "ok"
            return value
        except TarragonchuteError as error:
            result = error.code
            raise
        finally:
            self._record_result(operation, result)


class MemoryStore:
    """In-memory fake of the key-value service, with fault injection.

    Parameters
    ----------
    clock : callable or None
        Returns monotonic seconds; by default trio's clock.

    Attributes
    ----------
    is_unavailable : bool
        Whether each call raises `StoreUnavailableError` and has no effect.
    delay_s : float
        Seconds that each call waits before it takes effect.
    lose_answers : int
        Number of the next writes that take effect and raise
        `StoreOutcomeUnknownError`.
    lose_writes : int
        Number of the next writes that raise it without taking effect.
    revision : int
        Store-wide revision of the last change.
    calls : dict of str to int
        Number of calls by method name.
    """

    def __init__(self, clock=None):
        self._clock = clock or trio.current_time
        self._entries = {}
        self._deleted = {}
        self._leases = {}
        self._last_lease = 0
        self._changed = trio.Event()
        self.is_unavailable = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_writes = 0
        self.revision = 0
        self.calls = {}

    async def get(self, key):
        """Return the `Entry`, or None if the key does not exist."""
        await self._begin_call("get")
        return self._get_entry(key)

    async def put(self, key, value, expect, lease=None):
        """Write by compare-and-swap; see `Store.put`."""
        await self._begin_call("put")
        _check_value(value)
        if lease is not None:
            self._get_lease(lease)
        self._check_revision(key, expect)
        self._inject_lost_write()
        self.revision += 1
        self._deleted.pop(key, None)
        self._entries[key] = _StoredEntry(key, value, self.revision, lease)
        return self._finish_write()

    async def put_all(self, writes, conditions=()):
        """Write several keys by compare-and-swap; see `Store.put_all`."""
        await self._begin_call("put_all")
        for key, expect in conditions:
            self._check_revision(key, expect)
        for key, value, expect in writes:
            _check_value(value)
            self._check_revision(key, expect)
        self._inject_lost_write()
        self.revision += 1
        for key, value, _ in writes:
            self._deleted.pop(key, None)
            self._entries[key] = _StoredEntry(key, value, self.revision, None)
        return self._finish_write()

    async def delete(self, key, expect):
        """Delete by compare-and-swap; return the new revision."""
        await self._begin_call("delete")
        self._check_revision(key, expect)
        self._inject_lost_write()
        self._delete_entry(key)
        return self._finish_write()

    async def list(self, prefix):
        """Return ``(entries, revision)``; see `Store.list`."""
        await self._begin_call("list")
        self._expire_leases()
        return self._select_entries(self._entries, prefix, 0), self.revision

    async def watch(self, prefix, after, wait_s):
        """Wait for changes; see `Store.watch`."""
        await self._begin_call("watch")
        with trio.move_on_after(wait_s):
            while not self._list_changes(prefix, after) and after <= self.revision:
                await self._wait_for_change()
        self._check_available()
        return self._list_changes(prefix, after), self.revision

    async def probe(self):
        """Return the store's revision."""
        await self._begin_call("probe")
        return self.revision

    async def grant_lease(self, ttl_s):
        """Create a lease and return its id; see `Store.grant_lease`."""
        await self._begin_call("grant_lease")
        self._last_lease += 1
        lease = f"lease-{self._last_lease}"
        self._leases[lease] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease

    async def renew_lease(self, lease):
        """Renew a lease; raises `LeaseNotFoundError` if it has ended."""
        await self._begin_call("renew_lease")
        record = self._get_lease(lease)
        record.ends_at = self._clock() + record.ttl_s
        self._notify()

    def save_backup(self):
        """Return a copy of the data for `restore_backup`."""
        self._expire_leases()
        leases = _copy_leases(self._leases)
        counters = self.revision, self._last_lease
        return dict(self._entries), dict(self._deleted), leases, counters

    def restore_backup(self, backup, restarts_leases=False):
        """Restore older data; revisions and lease ids are then reused.

        With `restarts_leases`, the time to live of all restored leases begins again.
        """
        entries, deleted, leases, counters = backup
        self.revision, self._last_lease = counters
        self._entries = dict(entries)
        self._deleted = dict(deleted)
        self._leases = _copy_leases(leases)
        if restarts_leases:
            for lease in self._leases.values():
                lease.ends_at = self._clock() + lease.ttl_s
        self._notify()

    def expire_leases(self):
        """End all leases now and delete their keys."""
        for lease in self._leases.values():
            lease.ends_at = -math.inf
        self._expire_leases()

    async def _begin_call(self, name):
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.delay_s:
            await trio.sleep(self.delay_s)
        self._check_available()

    def _check_available(self):
        if self.is_unavailable:
            raise StoreUnavailableError("the store is unavailable")

    def _inject_lost_write(self):
        if self.lose_writes:
            self.lose_writes -= 1
            raise StoreOutcomeUnknownError("the write was lost on the way to the store")

    def _finish_write(self):
        self._notify()
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreOutcomeUnknownError("the response to the write was lost")
        return self.revision

    def _get_entry(self, key):
        self._expire_leases()
        return self._entries.get(key)

    def _check_revision(self, key, expect):
        entry = self._get_entry(key)
        revision = entry.revision if entry else 0
        if revision != expect:
            text = f"{key} has revision {revision}, not {expect}"
            raise StoreConflictError(text, entry)

    def _delete_entry(self, key):
        del self._entries[key]
        self.revision += 1
        self._deleted[key] = Entry(key, None, self.revision)
        if len(self._deleted) > MAX_DELETED_KEYS:
            del self._deleted[next(iter(self._deleted))]

    def _select_entries(self, entries, prefix, after):
        return [
            entry
            for key, entry in sorted(entries.items())
            if key.startswith(prefix) and entry.revision > after
        ]

    def _list_changes(self, prefix, after):
        self._expire_leases()
        changes = self._select_entries(self._entries, prefix, after)
        return changes + self._select_entries(self._deleted, prefix, after)

    async def _wait_for_change(self):
        ends = [lease.ends_at for lease in self._leases.values()]
        # The end of a lease is a change too, since it deletes the keys of the lease.
        with trio.move_on_after(max(min(ends, default=math.inf) - self._clock(), 0)):
            await self._changed.wait()

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()

    def _get_lease(self, lease):
        self._expire_leases()
        if lease not in self._leases:
            raise LeaseNotFoundError(f"{lease} does not exist or has ended")
        return self._leases[lease]

    def _expire_leases(self):
        now = self._clock()
        ended = {id_ for id_, lease in self._leases.items() if lease.ends_at <= now}
        if not ended:
            return
        for id_ in ended:
            del self._leases[id_]
        for key in [k for k, e in self._entries.items() if e.lease in ended]:
            self._delete_entry(key)
        self._notify()


class _StoredEntry(Entry):
    __slots__ = ("lease",)

    def __init__(self, key, value, revision, lease):
        super().__init__(key, value, revision)
        self.lease = lease


class _Lease:
    __slots__ = ("ttl_s", "ends_at")

    def __init__(self, ttl_s, ends_at):
        self.ttl_s = ttl_s
        self.ends_at = ends_at


def _copy_leases(leases):
    return {id_: _Lease(lease.ttl_s, lease.ends_at) for id_, lease in leases.items()}


def _check_value(value):
    size = len(value.encode())
    if size > MAX_VALUE_BYTES:
        raise BadRequestError(
            f"the value has {size} bytes; the store accepts {MAX_VALUE_BYTES}"
        )


class StoreTransport:
    """Sends calls to a store over pooled connections, each with a timeout.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        Timeout in seconds of one call, including the wait for a connection. A watch
        may take this much longer than its own wait.
    keep_alive : httpio.KeepAlive or None

    Attributes
    ----------
    calls : dict of str to int
        Number of calls by name; a waiting watch counts once.
    """

    __slots__ = ("_timeout_s", "_pool", "_watch_pool", "calls")

    def __init__(self, address, timeout_s, keep_alive=None):
        self._timeout_s = timeout_s
        limits = (address, MAX_STORE_CONNECTIONS, timeout_s, keep_alive)
        self._pool = ConnectionPool(*limits)
        # Separate, so that waiting watches cannot use up the connections for calls.
        self._watch_pool = ConnectionPool(*limits)
        self.calls = {}

    async def _call(self, name, method, path, body, wait_s=0.0):
        self.calls[name] = self.calls.get(name, 0) + 1
        pool = self._watch_pool if name == "watch" else self._pool
        connection = None
        with trio.move_on_after(self._timeout_s + wait_s):
            await pool.reserve()
            try:
                connection = await _connect(pool)
                return await connection.exchange(method, path, (), body)
            finally:
                pool.release(connection)
        if connection is None:
            raise NotSentError("no connection before the timeout")
        raise TimeoutError(f"no response within {self._timeout_s + wait_s} s")

    async def read(self, name, path, wait_s=0.0):
        """Send a call that changes nothing and return its `HttpResponse`.

        Raises
        ------
        StoreUnavailableError
            If there is no response.
        """
        try:
            return await self._call(name, "GET", path, b"", wait_s)
        except (OSError, ProtocolError) as error:
            text = f"{name} request to the store failed: {error}"
            raise StoreUnavailableError(text) from error

    async def write(self, name, method, path, body):
        """Send a call that may change data and return its `HttpResponse`.

        Raises
        ------
        StoreUnavailableError
            If nothing was sent.
        StoreOutcomeUnknownError
            If the call may have been sent and there is no response.
        """
        try:
            return await self._call(name, method, path, body)
        except NotSentError as error:
            text = f"{name} request was not sent to the store: {error}"
            raise StoreUnavailableError(text) from error
        except (OSError, ProtocolError) as error:
            text = f"no response to the {name} request to the store: {error}"
            raise StoreOutcomeUnknownError(text) from error

    def close(self):
        """Close all connections."""
        self._pool.close()
        self._watch_pool.close()


class HttpStore:
    """HTTP client of the key-value service.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        See `StoreTransport`.
    """

    def __init__(self, address, timeout_s=2.0):
        self._transport = StoreTransport(address, timeout_s)

    @property
    def calls(self):
        """Number of calls by method name; a waiting watch counts once."""
        return self._transport.calls

    async def get(self, key):
        """Return the `Entry`, or None if the key does not exist."""
        return await self._read("get", f"/v1/kv/{quote(key)}", _parse_entry)

    async def put(self, key, value, expect, lease=None):
        """Write by compare-and-swap; see `Store.put`."""
        _check_value(value)
        path = f"/v1/kv/{quote(key)}?expect={expect}"
        body = {"value": value, "lease": lease}
        return await self._write("put", "PUT", path, "revision", body)

    async def delete(self, key, expect):
        """Delete by compare-and-swap; return the new revision."""
        path = f"/v1/kv/{quote(key)}?expect={expect}"
        return await self._write("delete", "DELETE", path, "revision")

    async def list(self, prefix):
        """Return ``(entries, revision)``; see `Store.list`."""
        return await self._read("list", f"/v1/list/{quote(prefix)}", _parse_entries)

    async def watch(self, prefix, after, wait_s):
        """Wait for changes; see `Store.watch`."""
        wait_ms = int(wait_s * 1000)
        path = f"/v1/watch/{quote(prefix)}?after={after}&wait_ms={wait_ms}"
        return await self._read("watch", path, _parse_entries, wait_s)

    async def probe(self):
        """Return None if the store responds; raises otherwise."""
        # Any read serves as a probe; the key need not exist.
        await self.get("probe")

    async def grant_lease(self, ttl_s):
        """Create a lease and return its id; see `Store.grant_lease`."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        return await self._write("grant_lease", "POST", "/v1/leases", "lease", body)

    async def renew_lease(self, lease):
        """Renew a lease; raises `LeaseNotFoundError` if it has ended."""
        path = f"/v1/leases/{quote(lease, safe='')}/renew"
        await self._write("renew_lease", "POST", path, "lease")

    def close(self):
        """Close all connections."""
        self._transport.close()

    async def _read(self, name, path, parse, wait_s=0.0):
        response = await self._transport.read(name, path, wait_s)
        if response.status == 404 and name == "get":
            return None
        return _parse_response(response, parse, StoreUnavailableError)

    async def _write(self, name, method, path, field, body=None):
        data = orjson.dumps(body) if body is not None else b""
        response = await self._transport.write(name, method, path, data)
        parse = operator.itemgetter(field)
        return _parse_response(response, parse, StoreOutcomeUnknownError)


class NotSentError(OSError):
    """Nothing of a request was sent, so it cannot have taken effect."""


async def _connect(pool):
    try:
        return await pool.connect()
    except OSError as error:
        raise NotSentError(str(error)) from error


def _parse_response(response, parse, unknown_result_error):
    """Return the content of a response, or raise the error that it reports.

    Parameters
    ----------
    response : httpio.HttpResponse
    parse : callable
        Called with the parsed JSON of a successful response.
    unknown_result_error : type
        Raised for a response from which the result of the call cannot be determined.
    """
    try:
        content = response.parse_json()
        if response.status == 200:
            return parse(content)
        code = content["code"]
        text = content["message"]
        if code == StoreConflictError.code:
            entry = content["entry"]
            raise StoreConflictError(text, entry and _parse_entry(entry))
    except (ProtocolError, KeyError, TypeError) as error:
        text = f"malformed store response, status {response.status}: {error!r}"
        raise unknown_result_error(text) from error
    for error_class in (StoreUnavailableError, LeaseNotFoundError, BadRequestError):
        if code == error_class.code:
            raise error_class(text)
    raise unknown_result_error(f"the store responded {response.status} {code}: {text}")


def _parse_entry(content):
    return Entry(content["key"], content["value"], content["revision"])


def _parse_entries(content):
    return [_parse_entry(row) for row in content["entries"]], content["revision"]
