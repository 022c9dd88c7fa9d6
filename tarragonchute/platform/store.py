"""Client of the platform's metadata store, behind the `Store` interface.

All revisions that it returns and takes are composed of the store's era and its own
revision; see `revisions`.
"""

import base64
import binascii
import contextlib
from urllib.parse import urlencode

import orjson

from ..errors import (
    ConditionOutdatedError,
    HistoryLostError,
    LeaseNotFoundError,
    ProtocolError,
    StoreBusyError,
    StoreConflictError,
    StoreEraChangedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..httpio import KeepAlive
from ..revisions import (
    REVISIONS_PER_ERA,
    StoreEras,
    StoreLease,
    compose_revision,
    get_era,
    split_revision,
)
from ..store import Entry, StoreTransport
from .names import ERA_HEADER

KEEP_ALIVE = KeepAlive(idle_s=1, interval_s=1, probes=2)
"""Detects a dead connection within 3 s. A waiting watch must not be cut off for longer
than a configuration change may take to reach a VM."""

PROBE_PREFIX = "tarragonchute/probe"
"""The project writes no key with this prefix, so a listing of it is small."""

MAX_PAGES = 200
"""Pages of one listing, as a guard against a store that never ends it."""


class PlatformStore:
    """HTTP client of the platform's metadata store; implements `store.Store`.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        Longest wait in seconds for one call. A watch may take this much longer than its
        own wait.
    eras : revisions.StoreEras or None
        Receives the eras that the store states.
    """

    def __init__(self, address, timeout_s=1.5, eras=None):
        self._eras = eras or StoreEras()
        self._transport = StoreTransport(address, timeout_s, KEEP_ALIVE)

    @property
    def calls(self):
        """Number of calls by name; a waiting watch counts once."""
        return self._transport.calls

    async def get(self, key):
        """Return the `Entry`, or None if the key does not exist."""
        content, era = await self._read("get", "/kv-key", {"key": key})
        if content is None:
            return None
        with _report_malformed(StoreUnavailableError):
            return _decode_item(content, era)

    async def probe(self):
        """Return the store's revision by a stale read, at a tenth of the usual cost."""
        query = {"prefix": PROBE_PREFIX, "stale-ok": 1}
        content, era = await self._read("probe", "/kv-range", query)
        with _report_malformed(StoreUnavailableError):
            return _decode_revision(content["store-revision"], era)

    async def list(self, prefix):
        """Return ``(entries, revision)``; see `Store.list`."""
        entries = []
        after = None
        revision = None
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after is not None:
                query["after"] = after
            content, era = await self._read("list", "/kv-range", query)
            with _report_malformed(StoreUnavailableError):
                items = [_decode_item(item, era) for item in content["items"]]
                page_revision = _decode_revision(content["store-revision"], era)
                is_last = not content["truncated"] or not items
            if revision is not None and get_era(revision) != era:
                raise StoreEraChangedError("the era changed between two pages")
            entries += items
            # The pages are not one snapshot. A watch from the first page's revision
            # returns all changes after that page.
            revision = page_revision if revision is None else revision
            if is_last:
                return entries, revision
            after = items[-1].key
        raise StoreUnavailableError(f"{prefix!r} has more than {MAX_PAGES} pages")

    async def watch(self, prefix, after, wait_s):
        """Wait for changes; see `Store.watch`.

        Raises
        ------
        HistoryLostError
            If the store no longer has all changes after the revision `after`.
        StoreEraChangedError
            If the revision is of an earlier era. If that is known, nothing is sent.
        """
        watched_era, number = split_revision(after)
        if not self._eras.observe(watched_era):
            raise StoreEraChangedError("the revision is of an earlier era")
        query = {"prefix": prefix, "after": number, "wait-ms": int(wait_s * 1000)}
        content, era = await self._read("watch", "/kv-watch", query, wait_s)
        if era != watched_era:
            raise StoreEraChangedError("the era changed during the watch")
        with _report_malformed(StoreUnavailableError):
            entries = [_decode_item(event, era) for event in content["events"]]
            return entries, _decode_revision(content["store-revision"], era)

    async def put(self, key, value, expect, lease=None):
        """Write by compare-and-swap and return the new revision; see `Store.put`."""
        write = _encode_write(key, value)
        if lease is not None:
            self._check_lease(lease)
            write["lease"] = lease.number
        return await self._commit("put", [(key, expect)], writes=[write])

    async def put_all(self, writes, conditions=()):
        """Write several keys in one transaction; see `store.Store.put_all`."""
        expected = [(key, expect) for key, _, expect in writes]
        encoded = [_encode_write(key, value) for key, value, _ in writes]
        return await self._commit("put", [*expected, *conditions], writes=encoded)

    async def delete(self, key, expect):
        """Delete by compare-and-swap and return the new revision."""
        return await self._commit("delete", [(key, expect)], deletes=[key])

    async def grant_lease(self, ttl_s):
        """Create a lease and return its id; see `Store.grant_lease`."""
        content, era = await self._write(
            "grant_lease", "POST", "/kv-lease", {"ttl-ms": int(ttl_s * 1000)}
        )
        with _report_malformed(StoreOutcomeUnknownError):
            return StoreLease(content["lease"], era)

    async def renew_lease(self, lease):
        """Renew a lease; raises `LeaseNotFoundError` if it has ended.

        A lease of an earlier era is not renewed: its id may have been given out again.
        """
        self._check_lease(lease)
        path = f"/kv-keep/{lease.number}"
        _, era = await self._write("renew_lease", "POST", path, {})
        if era != lease.era:
            raise LeaseNotFoundError("the lease is of an earlier era")

    def close(self):
        """Close all connections."""
        self._transport.close()

    async def _commit(self, name, conditions, writes=(), deletes=()):
        """Write if each key has its expected revision.

        `conditions` has pairs of a key and a revision.
        """
        era = self._eras.current
        is_era_known = self._eras.is_known
        expected = []
        for key, expect in conditions:
            expected_era, number = split_revision(expect)
            if expect and not self._eras.observe(expected_era):
                raise ConditionOutdatedError("the condition is of an earlier era")
            era = max(era, expected_era)
            expected.append({"key": key, "revision": number})
        body = {
            "expected-rev": expected,
            "writes": list(writes),
            "deletes": list(deletes),
        }
        content, answered_era = await self._write(name, "POST", "/kv-txn", body)
        if is_era_known and answered_era > era:
            # The revision in the condition may have been given out again.
            raise StoreOutcomeUnknownError("the era changed during the write")
        with _report_malformed(StoreOutcomeUnknownError):
            return _decode_revision(content["revision"], answered_era)

    def _check_lease(self, lease):
        if lease.era < self._eras.current:
            raise LeaseNotFoundError("the lease is of an earlier era")

    async def _read(self, name, path, query, wait_s=0.0):
        """Return the content and the era of an answer."""
        target = f"{path}?{urlencode(query)}"
        response = await self._transport.read(name, target, wait_s)
        era = self._check_era(response, StoreUnavailableError)
        if response.status == 404 and name == "get":
            return None, era
        if response.status == 410:
            raise HistoryLostError(
                "the store no longer has the changes after this revision"
            )
        return _decode_response(response, StoreUnavailableError), era

    async def _write(self, name, method, path, body):
        """Return the content and the era of an answer."""
        data = orjson.dumps(body)
        response = await self._transport.write(name, method, path, data)
        era = self._check_era(response, StoreOutcomeUnknownError)
        if response.status == 404:
            raise LeaseNotFoundError("the lease does not exist or has ended")
        if response.status == 412:
            with _report_malformed(StoreOutcomeUnknownError):
                raise _build_conflict_error(response, era)
        return _decode_response(response, StoreOutcomeUnknownError), era

    def _check_era(self, response, old_answer_error):
        """Return the era of an answer; raise the given error if it is an earlier one.

        A write in an earlier era may be in the copy or not.
        """
        era = self._eras.read(response.headers.get(ERA_HEADER))
        if not self._eras.observe(era):
            raise old_answer_error(f"the answer is of the earlier era {era}")
        return era


def _encode_write(key, value):
    return {"key": key, "value": base64.b64encode(value.encode()).decode()}


def _decode_response(response, unknown_result_error):
    """Return the JSON object of a response, or raise the error for its status.

    Parameters
    ----------
    response : httpio.HttpResponse
    unknown_result_error : type
        Raised for a response from which the result of the call cannot be determined.
    """
    if response.status == 429:
        raise StoreBusyError("the store's rate limit is exceeded")
    if response.status == 503:
        raise StoreUnavailableError("the store is unavailable")
    if response.status != 200:
        raise unknown_result_error(f"the store responded {response.status}")
    try:
        content = response.parse_json()
    except ProtocolError as error:
        raise unknown_result_error(str(error)) from error
    if not isinstance(content, dict):
        raise unknown_result_error("the store's response is not a JSON object")
    return content


def _build_conflict_error(response, era):
    try:
        items = response.parse_json()["items"] or []
    except ProtocolError as error:
        raise ValueError(str(error)) from error
    entry = None
    if items and items[0]["revision"] != 0:
        entry = _decode_item(items[0], era)
    return StoreConflictError("the key has another revision", entry)


def _decode_item(item, era):
    """Return the `Entry` of an item or event.

    A value that is not base64 of UTF-8 is replaced by the empty string: the key exists,
    but its value cannot be decoded.
    """
    key = item["key"]
    revision = _decode_revision(item["revision"], era)
    if not isinstance(key, str):
        raise TypeError(f"the key {key!r} is not a string")
    if item.get("removed"):
        return Entry(key, None, revision)
    try:
        value = base64.b64decode(item.get("value") or "", validate=True).decode()
    except (binascii.Error, UnicodeDecodeError, TypeError):
        value = ""
    return Entry(key, value, revision)


def _decode_revision(revision, era):
    """Return the composed revision of one that the store states."""
    if not isinstance(revision, int):
        raise TypeError(f"the revision {revision!r} is not an integer")
    if not 0 <= revision < REVISIONS_PER_ERA:
        raise ValueError(f"the revision {revision!r} is out of range")
    return compose_revision(era, revision)


@contextlib.contextmanager
def _report_malformed(error_type):
    """Raise a store error in place of the errors of decoding a malformed response.

    Parameters
    ----------
    error_type : type
        Error to raise.
    """
    try:
        yield
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise error_type(f"the store's response is malformed: {error!r}") from error
