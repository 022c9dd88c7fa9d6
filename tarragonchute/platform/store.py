"""Client of the platform's metadata store, behind the `Store` interface."""

import base64
import binascii
import contextlib
from urllib.parse import urlencode

import orjson

from ..errors import (
    HistoryLostError,
    LeaseNotFoundError,
    ProtocolError,
    StoreBusyError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from ..httpio import KeepAlive
from ..store import Entry, StoreTransport

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
    """

    def __init__(self, address, timeout_s=1.5):
        self._transport = StoreTransport(address, timeout_s, KEEP_ALIVE)

    @property
    def calls(self):
        """Number of calls by name; a waiting watch counts once."""
        return self._transport.calls

    async def get(self, key):
        """Return the `Entry`, or None if the key does not exist."""
        content = await self._read("get", "/kv-key", {"key": key})
        if content is None:
            return None
        with _report_malformed(StoreUnavailableError):
            return _decode_item(content)

    async def probe(self):
        """Return the store's revision by a stale read, at a tenth of the usual cost."""
        query = {"prefix": PROBE_PREFIX, "stale-ok": 1}
        content = await self._read("probe", "/kv-range", query)
        with _report_malformed(StoreUnavailableError):
            return _check_revision(content["store-revision"])

    async def list(self, prefix):
        """Return ``(entries, revision)``; see `Store.list`."""
        entries = []
        after = None
        revision = None
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after is not None:
                query["after"] = after
            content = await self._read("list", "/kv-range", query)
            with _report_malformed(StoreUnavailableError):
                items = [_decode_item(item) for item in content["items"]]
                page_revision = _check_revision(content["store-revision"])
                is_last = not content["truncated"] or not items
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
        """
        query = {"prefix": prefix, "after": after, "wait-ms": int(wait_s * 1000)}
        content = await self._read("watch", "/kv-watch", query, wait_s)
        with _report_malformed(StoreUnavailableError):
            entries = [_decode_item(event) for event in content["events"]]
            return entries, _check_revision(content["store-revision"])

    async def put(self, key, value, expect, lease=None):
        """Write by compare-and-swap and return the new revision; see `Store.put`."""
        write = _encode_write(key, value)
        if lease is not None:
            write["lease"] = lease
        return await self._commit("put", key, expect, writes=[write])

    async def put_all(self, writes):
        """Write several keys in one transaction; see `store.Store.put_all`."""
        body = {
            "expected-rev": [{"key": k, "revision": rev} for k, _, rev in writes],
            "writes": [_encode_write(key, value) for key, value, _ in writes],
            "deletes": [],
        }
        return await self._commit_body("put", body)

    async def delete(self, key, expect):
        """Delete by compare-and-swap and return the new revision."""
        return await self._commit("delete", key, expect, deletes=[key])

    async def grant_lease(self, ttl_s):
        """Create a lease and return its id; see `Store.grant_lease`."""
        content = await self._write(
            "grant_lease", "POST", "/kv-lease", {"ttl-ms": int(ttl_s * 1000)}
        )
        with _report_malformed(StoreOutcomeUnknownError):
            return content["lease"]

    async def renew_lease(self, lease):
        """Renew a lease; raises `LeaseNotFoundError` if it has ended."""
        await self._write("renew_lease", "POST", f"/kv-keep/{lease}", {})

    def close(self):
        """Close all connections."""
        self._transport.close()

    async def _commit(self, name, key, expect, writes=(), deletes=()):
        body = {
            "expected-rev": [{"key": key, "revision": expect}],
            "writes": list(writes),
            "deletes": list(deletes),
        }
        return await self._commit_body(name, body)

    async def _commit_body(self, name, body):
        content = await self._write(name, "POST", "/kv-txn", body)
        with _report_malformed(StoreOutcomeUnknownError):
            return _check_revision(content["revision"])

    async def _read(self, name, path, query, wait_s=0.0):
        target = f"{path}?{urlencode(query)}"
        response = await self._transport.read(name, target, wait_s)
        if response.status == 404 and name == "get":
            return None
        if response.status == 410:
            raise HistoryLostError(
                "the store no longer has the changes after this revision"
            )
        return _decode_response(response, StoreUnavailableError)

    async def _write(self, name, method, path, body):
        data = orjson.dumps(body)
        response = await self._transport.write(name, method, path, data)
        if response.status == 404:
            raise LeaseNotFoundError("the lease does not exist or has ended")
        if response.status == 412:
            with _report_malformed(StoreOutcomeUnknownError):
                raise _build_conflict_error(response)
        return _decode_response(response, StoreOutcomeUnknownError)


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


def _build_conflict_error(response):
    try:
        items = response.parse_json()["items"] or []
    except ProtocolError as error:
        raise ValueError(str(error)) from error
    entry = _decode_item(items[0]) if items else None
    if entry is not None and entry.revision == 0:
        entry = None
    return StoreConflictError("the key has another revision", entry)


def _decode_item(item):
    """Return the `Entry` of an item or event.

    A value that is not base64 of UTF-8 is replaced by the empty string: the key exists,
    but its value cannot be decoded.
    """
    key = item["key"]
    revision = _check_revision(item["revision"])
    if not isinstance(key, str):
        raise TypeError(f"the key {key!r} is not a string")
    if item.get("removed"):
        return Entry(key, None, revision)
    try:
        value = base64.b64decode(item.get("value") or "", validate=True).decode()
    except (binascii.Error, UnicodeDecodeError, TypeError):
        value = ""
    return Entry(key, value, revision)


def _check_revision(revision):
    if not isinstance(revision, int):
        raise TypeError(f"the revision {revision!r} is not an integer")
    return revision


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
