"""Client of the platform's metadata store, behind the `Store` interface."""

import base64
import binascii
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
"""Finds a silent connection within 3 s, so that a waiting watch does not stay cut off
longer than a configuration may take."""

PROBE_KEY = "tarragonchute/probe"
"""Never written; a listing of what begins so is small."""

PAGE_LIMIT = 200
"""Pages of one listing; a bound against a store that never ends."""


class PlatformStore:
    """The metadata store.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        Longest wait for one call. A watch may take this much longer than its wait.
    """

    def __init__(self, address, timeout_s=1.5):
        self._transport = StoreTransport(address, timeout_s, KEEP_ALIVE)

    @property
    def calls(self):
        """Number of calls by name."""
        return self._transport.calls

    async def get(self, key):
        """Return the `Entry`, or None."""
        answer = await self._read("get", "/kv-key", {"key": key})
        return None if answer is None else _decode_item(answer)

    async def probe(self):
        """Return the store's revision; a stale read, which costs a tenth."""
        query = {"prefix": PROBE_KEY, "stale-ok": 1}
        answer = await self._read("probe", "/kv-range", query)
        return answer["store-revision"]

    async def list(self, prefix):
        """Return ``(entries, revision)``."""
        entries = []
        after = None
        revision = None
        for _ in range(PAGE_LIMIT):
            query = {"prefix": prefix}
            if after is not None:
                query["after"] = after
            answer = await self._read("list", "/kv-range", query)
            items = [_decode_item(item) for item in answer["items"]]
            entries += items
            # Pages are no snapshot: what changes after the first one comes with a
            # watch from the first one's revision.
            revision = answer["store-revision"] if revision is None else revision
            if not answer["truncated"] or not items:
                return entries, revision
            after = items[-1].key
        raise StoreUnavailableError(f"{prefix!r} has more than {PAGE_LIMIT} pages")

    async def watch(self, prefix, after, wait_s):
        """Wait for changes; raises `HistoryLostError` where history is missing."""
        query = {"prefix": prefix, "after": after, "wait-ms": int(wait_s * 1000)}
        answer = await self._read("watch", "/kv-watch", query, wait_s)
        entries = [_decode_item(event) for event in answer["events"]]
        return entries, answer["store-revision"]

    async def put(self, key, value, expect, lease=None):
        """Write by compare-and-swap and return the new revision."""
        write = {"key": key, "value": base64.b64encode(value.encode()).decode()}
        if lease is not None:
            write["lease"] = lease
        return await self._commit("put", key, expect, writes=[write])

    async def delete(self, key, expect):
        """Delete by compare-and-swap and return the new revision."""
        return await self._commit("delete", key, expect, deletes=[key])

    async def grant_lease(self, ttl_s):
        """Return the id of a new lease."""
        answer = await self._write(
            "grant_lease", "POST", "/kv-lease", {"ttl-ms": int(ttl_s * 1000)}
        )
        return answer["lease"]

    async def renew_lease(self, lease):
        """Extend the lease; raises `LeaseNotFoundError` if it has ended."""
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
        answer = await self._write(name, "POST", "/kv-txn", body)
        return answer["revision"]

    async def _read(self, name, path, query, wait_s=0.0):
        target = f"{path}?{urlencode(query)}"
        response = await self._transport.read(name, target, wait_s)
        if response.status == 404 and name == "get":
            return None
        if response.status == 410:
            raise HistoryLostError("the store dropped this history")
        return _decode_answer(response, StoreUnavailableError)

    async def _write(self, name, method, path, body):
        data = orjson.dumps(body)
        response = await self._transport.write(name, method, path, data)
        if response.status == 404:
            raise LeaseNotFoundError("the lease does not exist or has ended")
        if response.status == 412:
            raise _build_conflict(response)
        return _decode_answer(response, StoreOutcomeUnknownError)


def _decode_answer(response, unknown_result_error):
    """Return the JSON of a success, or raise the error that the status reports."""
    if response.status == 429:
        raise StoreBusyError("the store's rate is used up")
    if response.status == 503:
        raise StoreUnavailableError("the store refuses calls")
    if response.status != 200:
        raise unknown_result_error(f"the store answered {response.status}")
    try:
        answer = response.parse_json()
    except ProtocolError as error:
        raise unknown_result_error(str(error)) from error
    if not isinstance(answer, dict):
        raise unknown_result_error("the store's answer is not an object")
    return answer


def _build_conflict(response):
    items = response.parse_json().get("items") or []
    entry = _decode_item(items[0]) if items else None
    if entry is not None and entry.revision == 0:
        entry = None
    return StoreConflictError("the key has another revision", entry)


def _decode_item(item):
    """Return the `Entry` of an item or event.

    A value that is no text gets the empty text: it exists, and holds nothing that
    can be read.
    """
    if item.get("removed"):
        return Entry(item["key"], None, item["revision"])
    try:
        value = base64.b64decode(item.get("value") or "", validate=True).decode()
    except (binascii.Error, UnicodeDecodeError, TypeError):
        value = ""
    return Entry(item["key"], value, item["revision"])
