"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import json
import time
import urllib.parse

from .wire import encode_response, read_message

PAGE_ITEMS = 500
HEARTBEAT_S = 1.2
FIRST_REVISION = 100


class Item:
    """A stored key."""

    def __init__(self, key, value, revision, create_revision, lease):
        self.key = key
        self.value = value
        self.revision = revision
        self.create_revision = create_revision
        self.lease = lease

    def encode(self):
        """Return the item as the store sends it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "create-revision": self.create_revision,
            "lease": self.lease,
        }


class Store:
    """Keeps keys, leases and the history of changes, and serves them over HTTP.

    The operator and the servers use `write` and `remove` directly.

    Attributes
    ----------
    is_down : bool
        Whether every call is answered with 503.
    """

    def __init__(self):
        self.revision = FIRST_REVISION
        self.is_down = False
        self.address = None
        self._items = {}
        self._history = []
        self._compacted = FIRST_REVISION
        self._leases = {}
        self._next_lease = 7000
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._expiry = asyncio.create_task(self._expire())

    def write(self, key, value, lease=0):
        """Write a key and return the revision."""
        self.revision += 1
        old = self._items.get(key)
        created = self.revision if old is None else old.create_revision
        item = Item(key, value, self.revision, created, lease)
        self._items[key] = item
        if lease:
            self._leases[lease][2].add(key)
        self._record(item.encode())
        return self.revision

    def remove(self, key):
        """Remove a key if it exists."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "removed": True})

    def list_keys(self, prefix):
        """Return the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _record(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (_, ends_at, keys) in list(self._leases.items()):
                if ends_at <= now:
                    del self._leases[lease]
                    for key in keys:
                        item = self._items.get(key)
                        if item is not None and item.lease == lease:
                            self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                status, body = await self._answer(request)
                data = b"" if body is None else json.dumps(body).encode()
                headers = [("Content-Type", "application/json")]
                writer.write(encode_response(status, headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        if self.is_down:
            return 503, None
        method, target, _ = request.start
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if method == "GET" and path == "/kv-key":
            return self._answer_key(query["key"])
        if method == "GET" and path == "/kv-range":
            return self._answer_range(query)
        if method == "GET" and path == "/kv-watch":
            return await self._answer_watch(query)
        if method == "POST" and path == "/kv-txn":
            return self._answer_txn(json.loads(request.body))
        if method == "POST" and path == "/kv-lease":
            return self._answer_lease(json.loads(request.body))
        if method == "POST" and path.startswith("/kv-keep/"):
            return self._answer_keep(int(path.rpartition("/")[2]))
        return 404, None

    def _answer_key(self, key):
        item = self._items.get(key)
        if item is None:
            return 404, {"store-revision": self.revision}
        return 200, {**item.encode(), "store-revision": self.revision}

    def _answer_range(self, query):
        keys = self.list_keys(query.get("prefix", ""))
        keys = [key for key in keys if key > query.get("after", "")]
        body = {
            "items": [self._items[key].encode() for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "store-revision": self.revision,
        }
        return 200, body

    async def _answer_watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends_at = time.monotonic() + int(query["wait-ms"]) / 1000
        if after < self._compacted:
            return 410, None
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
            if self.is_down:
                return 503, None

    def _answer_txn(self, body):
        rows = body.get("expected-rev", ())
        writes, deletes = body.get("writes", ()), body.get("deletes", ())
        keys = [row["key"] for row in writes] + list(deletes)
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, None
        found = [self._items.get(row["key"]) for row in rows]
        if any(
            row["revision"] != (0 if item is None else item.revision)
            for row, item in zip(rows, found, strict=True)
        ):
            items = [item.encode() for item in found if item is not None]
            return 412, {"items": items}
        if any(row.get("lease") and row["lease"] not in self._leases for row in writes):
            return 404, None
        for row in writes:
            value = base64.b64decode(row["value"])
            self.write(row["key"], value, row.get("lease") or 0)
        for key in deletes:
            self.remove(key)
        return 200, {"revision": self.revision}

    def _answer_lease(self, body):
        self._next_lease += 1
        ttl_s = body["ttl-ms"] / 1000
        self._leases[self._next_lease] = [ttl_s, time.monotonic() + ttl_s, set()]
        return 200, {"lease": self._next_lease, "ttl-ms": body["ttl-ms"]}

    def _answer_keep(self, lease):
        record = self._leases.get(lease)
        if record is None:
            return 404, None
        record[1] = time.monotonic() + record[0]
        return 200, {"ttl-ms": int(record[0] * 1000)}
