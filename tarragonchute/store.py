"""The platform's key-value service: interface, in-memory twin and HTTP client."""

import itertools
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
# The twin forgets the oldest deleted keys beyond this, to bound its memory.
MAX_DELETED_KEYS = 10_000


class Entry:
    """One key of the store.

    Parameters
    ----------
    key : str
    value : str or None
        At most one megabyte in UTF-8. None in a watch: the key was deleted.
    revision : int
        Store-wide revision of the last write to this key.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class Store(Protocol):
    """What the project needs from the key-value service.

    Every call may raise `StoreUnavailableError`; a write may also raise
    `StoreOutcomeUnknownError`, after which it may or may not have taken effect.
    """

    async def get(self, key):
        """Return the `Entry`, or None if the key does not exist."""

    async def put(self, key, value, expect, lease=None):
        """Write by compare-and-swap and return the new revision.

        Parameters
        ----------
        key, value : str
        expect : int
            Revision that the key must have; 0 to create it.
        lease : str or None
            Lease with which the key expires.

        Raises
        ------
        StoreConflictError
            If the key has another revision. Carries the current entry.
        """

    async def delete(self, key, expect):
        """Delete by compare-and-swap; raises like `put`."""

    async def list(self, prefix):
        """Return ``(entries, revision)`` of all keys with this prefix."""

    async def watch(self, prefix, after, wait_s):
        """Wait for changes and return ``(entries, revision)``.

        Parameters
        ----------
        prefix : str
        after : int
            Only changes with a higher revision are returned. If the store's own
            revision is lower, as after a restore from a backup, the call returns
            at once with no entries and that revision.
        wait_s : float
            Longest wait in seconds; then the list is empty.
        """

    async def probe(self):
        """Return a revision that the store has had; at the least cost, with no content.

        Returns
        -------
        int or None
            None if the store does not tell.
        """

    async def grant_lease(self, ttl_s):
        """Return the id of a new lease that ends after `ttl_s` seconds."""

    async def renew_lease(self, lease):
        """Extend the lease by its time to live."""


class ObservedStore:
    """Passes every call on and reports how it ended.

    Parameters
    ----------
    store : Store
    observe : callable
        Called with the operation (``get``, ``put``, ``delete``, ``list``, ``watch``
        or ``lease``) and ``ok`` or the code of the error.
    """

    __slots__ = ("_store", "_observe")

    def __init__(self, store, observe):
        self._store = store
        self._observe = observe

    async def get(self, key):
        """See `Store`."""
        return await self._call("get", self._store.get(key))

    async def put(self, key, value, expect, lease=None):
        """See `Store`."""
        return await self._call("put", self._store.put(key, value, expect, lease))

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
            answer = await call
            result = "ok"
            return answer
        except TarragonchuteError as error:
            result = error.code
            raise
        finally:
            self._observe(operation, result)


class MemoryStore:
    """In-memory twin of the key-value service, with faults.

    Parameters
    ----------
    clock : callable or None
        Returns monotonic seconds; by default trio's clock.

    Attributes
    ----------
    is_unavailable : bool
        Each call raises `StoreUnavailableError` and has no effect.
    delay_s : float
        Seconds that each call waits before it is carried out.
    lose_answers : int
        So many of the next writes take effect and raise `StoreOutcomeUnknownError`.
    lose_writes : int
        So many of the next writes raise it and take no effect.
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
        self._lease_numbers = itertools.count(1)
        self._changed = trio.Event()
        self.is_unavailable = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_writes = 0
        self.revision = 0
        self.calls = {}

    async def get(self, key):
        """Return the `Entry`, or None."""
        await self._begin("get")
        return self._find(key)

    async def put(self, key, value, expect, lease=None):
        """Write by compare-and-swap; see `Store.put`."""
        await self._begin("put")
        _check_value(value)
        if lease is not None:
            self._find_lease(lease)
        self._check_revision(key, expect)
        self._begin_write()
        self.revision += 1
        self._deleted.pop(key, None)
        self._entries[key] = _StoredEntry(key, value, self.revision, lease)
        return self._end_write()

    async def delete(self, key, expect):
        """Delete by compare-and-swap; return the new revision."""
        await self._begin("delete")
        self._check_revision(key, expect)
        self._begin_write()
        self._remove(key)
        return self._end_write()

    async def list(self, prefix):
        """Return ``(entries, revision)``."""
        await self._begin("list")
        self._expire_leases()
        return self._select(self._entries, prefix, 0), self.revision

    async def watch(self, prefix, after, wait_s):
        """Wait for changes; see `Store.watch`."""
        await self._begin("watch")
        with trio.move_on_after(wait_s):
            while not self._list_changes(prefix, after) and after <= self.revision:
                await self._wait_for_change()
        self._check_available()
        return self._list_changes(prefix, after), self.revision

    async def probe(self):
        """Return the revision."""
        await self._begin("probe")
        return self.revision

    async def grant_lease(self, ttl_s):
        """Return the id of a new lease."""
        await self._begin("grant_lease")
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = _Lease(ttl_s, self._clock() + ttl_s)
        return lease

    async def renew_lease(self, lease):
        """Extend the lease; raises `LeaseNotFoundError` if it has ended."""
        await self._begin("renew_lease")
        row = self._find_lease(lease)
        row.ends_at = self._clock() + row.ttl_s
        self._notify()

    def save_backup(self):
        """Return the present data for a later `restore_backup`."""
        self._expire_leases()
        leases = _copy_leases(self._leases)
        return dict(self._entries), dict(self._deleted), leases, self.revision

    def restore_backup(self, backup):
        """Return to older data; revisions are used again, as by a real restore."""
        entries, deleted, leases, self.revision = backup
        self._entries = dict(entries)
        self._deleted = dict(deleted)
        self._leases = _copy_leases(leases)
        self._notify()

    def expire_leases(self):
        """End all leases now, with their keys."""
        for lease in self._leases.values():
            lease.ends_at = -math.inf
        self._expire_leases()

    async def _begin(self, name):
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.delay_s:
            await trio.sleep(self.delay_s)
        self._check_available()

    def _check_available(self):
        if self.is_unavailable:
            raise StoreUnavailableError("the store refuses calls")

    def _begin_write(self):
        if self.lose_writes:
            self.lose_writes -= 1
            raise StoreOutcomeUnknownError("the write was lost")

    def _end_write(self):
        self._notify()
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreOutcomeUnknownError("the answer to the write was lost")
        return self.revision

    def _find(self, key):
        self._expire_leases()
        return self._entries.get(key)

    def _check_revision(self, key, expect):
        entry = self._find(key)
        revision = entry.revision if entry else 0
        if revision != expect:
            text = f"{key} has revision {revision}, not {expect}"
            raise StoreConflictError(text, entry)

    def _remove(self, key):
        del self._entries[key]
        self.revision += 1
        self._deleted[key] = Entry(key, None, self.revision)
        if len(self._deleted) > MAX_DELETED_KEYS:
            del self._deleted[next(iter(self._deleted))]

    def _select(self, entries, prefix, after):
        return [
            entry
            for key, entry in sorted(entries.items())
            if key.startswith(prefix) and entry.revision > after
        ]

    def _list_changes(self, prefix, after):
        self._expire_leases()
        changes = self._select(self._entries, prefix, after)
        return changes + self._select(self._deleted, prefix, after)

    async def _wait_for_change(self):
        ends = [lease.ends_at for lease in self._leases.values()]
        with trio.move_on_after(max(min(ends, default=math.inf) - self._clock(), 0)):
            await self._changed.wait()

    def _notify(self):
        self._changed.set()
        self._changed = trio.Event()

    def _find_lease(self, lease):
        self._expire_leases()
        if lease not in self._leases:
            raise LeaseNotFoundError(f"{lease} does not exist or has ended")
        return self._leases[lease]

    def _expire_leases(self):
        now = self._clock()
        ended = {name for name, row in self._leases.items() if row.ends_at <= now}
        if not ended:
            return
        for name in ended:
            del self._leases[name]
        for key in [k for k, e in self._entries.items() if e.lease in ended]:
            self._remove(key)
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
    return {name: _Lease(row.ttl_s, row.ends_at) for name, row in leases.items()}


def _check_value(value):
    size = len(value.encode())
    if size > MAX_VALUE_BYTES:
        raise BadRequestError(
            f"the value has {size} bytes, above the store's {MAX_VALUE_BYTES}"
        )


class StoreCaller:
    """Sends calls to a store over pooled connections, each with a time limit.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        Longest wait in seconds for one call, with its connection. A watch may take
        this much longer than its own wait.
    keep_alive : httpio.KeepAlive or None

    Attributes
    ----------
    calls : dict of str to int
        Number of calls by name. A waiting watch counts once.
    """

    __slots__ = ("_timeout_s", "_pool", "_watch_pool", "calls")

    def __init__(self, address, timeout_s, keep_alive=None):
        self._timeout_s = timeout_s
        limits = (address, MAX_STORE_CONNECTIONS, timeout_s, keep_alive)
        self._pool = ConnectionPool(*limits)
        # A waiting watch must not take a connection that a call needs.
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
            raise NotSentError("no connection in time")
        raise TimeoutError(f"no answer within {self._timeout_s + wait_s} s")

    async def read(self, name, path, wait_s=0.0):
        """Return the `HttpResponse` to a call that changes nothing.

        Raises
        ------
        StoreUnavailableError
            If there is no answer.
        """
        try:
            return await self._call(name, "GET", path, b"", wait_s)
        except (OSError, ProtocolError) as error:
            text = f"{name} from the store failed: {error}"
            raise StoreUnavailableError(text) from error

    async def write(self, name, method, path, body):
        """Return the `HttpResponse` to a call that may change something.

        Raises
        ------
        StoreUnavailableError
            If no byte of the call was sent.
        StoreOutcomeUnknownError
            If it was sent and there is no answer.
        """
        try:
            return await self._call(name, method, path, body)
        except NotSentError as error:
            text = f"{name} did not reach the store: {error}"
            raise StoreUnavailableError(text) from error
        except (OSError, ProtocolError) as error:
            text = f"the answer to {name} was lost: {error}"
            raise StoreOutcomeUnknownError(text) from error

    def close(self):
        """Close all connections."""
        self._pool.close()
        self._watch_pool.close()


class HttpStore:
    """Client of the key-value service.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        See `StoreCaller`.
    """

    def __init__(self, address, timeout_s=2.0):
        self._caller = StoreCaller(address, timeout_s)

    @property
    def calls(self):
        """Number of calls by method name. A waiting watch counts once."""
        return self._caller.calls

    async def get(self, key):
        """Return the `Entry`, or None."""
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
        """Return ``(entries, revision)``."""
        return await self._read("list", f"/v1/list/{quote(prefix)}", _parse_entries)

    async def watch(self, prefix, after, wait_s):
        """Wait for changes; see `Store.watch`."""
        wait_ms = int(wait_s * 1000)
        path = f"/v1/watch/{quote(prefix)}?after={after}&wait_ms={wait_ms}"
        return await self._read("watch", path, _parse_entries, wait_s)

    async def probe(self):
        """Return if the store answers."""
        await self.get("probe")

    async def grant_lease(self, ttl_s):
        """Return the id of a new lease."""
        body = {"ttl_ms": int(ttl_s * 1000)}
        return await self._write("grant_lease", "POST", "/v1/leases", "lease", body)

    async def renew_lease(self, lease):
        """Extend the lease; raises `LeaseNotFoundError` if it has ended."""
        path = f"/v1/leases/{quote(lease, safe='')}/renew"
        await self._write("renew_lease", "POST", path, "lease")

    def close(self):
        """Close all connections."""
        self._caller.close()

    async def _read(self, name, path, parse, wait_s=0.0):
        response = await self._caller.read(name, path, wait_s)
        if response.status == 404 and name == "get":
            return None
        return _parse_answer(response, parse, StoreUnavailableError)

    async def _write(self, name, method, path, field, body=None):
        data = orjson.dumps(body) if body is not None else b""
        response = await self._caller.write(name, method, path, data)
        parse = operator.itemgetter(field)
        return _parse_answer(response, parse, StoreOutcomeUnknownError)


class NotSentError(OSError):
    """No byte of the call was sent."""


async def _connect(pool):
    try:
        return await pool.connect()
    except OSError as error:
        raise NotSentError(str(error)) from error


def _parse_answer(response, parse, unclear_error):
    """Return the content of an answer, or raise the error that it reports.

    Parameters
    ----------
    response : httpio.HttpResponse
    parse : callable
        Takes the JSON of an answer that reports no error.
    unclear_error : type
        Raised for an answer that does not tell what became of the call.
    """
    try:
        answer = response.parse_json()
        if response.status == 200:
            return parse(answer)
        code = answer["code"]
        text = answer["message"]
        if code == StoreConflictError.code:
            entry = answer["entry"]
            raise StoreConflictError(text, entry and _parse_entry(entry))
    except (ProtocolError, KeyError, TypeError) as error:
        text = f"the store answered {response.status}: {error!r}"
        raise unclear_error(text) from error
    for error_class in (StoreUnavailableError, LeaseNotFoundError, BadRequestError):
        if code == error_class.code:
            raise error_class(text)
    raise unclear_error(f"the store answered {response.status} {code}: {text}")


def _parse_entry(answer):
    return Entry(answer["key"], answer["value"], answer["revision"])


def _parse_entries(answer):
    return [_parse_entry(row) for row in answer["entries"]], answer["revision"]
