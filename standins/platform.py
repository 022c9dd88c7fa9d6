"""Fake server of the users' platform: its store, and the targets of its services.

The store serves the platform's key-value protocol from a `MemoryStore`, as
`standins.store` does for its own protocol. It can inject that protocol's faults: a
compacted history, lost responses and rejected calls. Targets run in the same process,
each on its own address. Each target registers under a lease, and its responses carry a
stamp derived from the target and the request.
"""

import argparse
import base64
import random
import secrets

import orjson
import trio

from tarragonchute.errors import (
    LeaseNotFoundError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tarragonchute.httpio import (
    HttpResponse,
    bind_listeners,
    get_address,
    serve_http,
)
from tarragonchute.store import MemoryStore

PAGE_ITEMS = 50
RECORDS_PER_RESPONSE = 20
RECORD_BYTES = 16
LEASE_RENEWAL_PERIOD_S = 1.2
RENEWALS_PER_LEASE_TTL = 3

RESTORED_WATCH_PERIOD_S = 0.05
"""Interval at which a watch that waits across a restore looks for changes."""


class StoreCopy:
    """A copy of a store's content.

    Parameters
    ----------
    content : object
    revision : int
        Newest revision in the copy.
    """

    __slots__ = ("content", "revision")

    def __init__(self, content, revision):
        self.content = content
        self.revision = revision


class PlatformStoreServer:
    """Serves the HTTP routes of the platform's store from a `MemoryStore`.

    Attributes
    ----------
    store : MemoryStore
    compacted_revision : int
        Changes up to this revision are compacted; a watch from before it gets 410.
    refuses : bool
        Whether every call is answered with 503.
    lost_watch_answers : int
        How many of the next answers to watches that have changes are lost. Their
        connections stay open.
    stale_revision : int or None
        Revision that stale reads return; None for the current one.
    era : int or None
        Value of the header ``Store-Era``, which rises with each `restore`; None if the
        store does not send it.
    restores : int
        Number of calls of `restore`.
    hides_era : bool
        Whether the header is left out of the answers for now.
    """

    def __init__(self):
        self.era = None
        self.hides_era = False
        self.restores = 0
        self.store = MemoryStore()
        self.compacted_revision = 0
        self.refuses = False
        self.lost_watch_answers = 0
        self.stale_revision = None

    def compact(self):
        """Drop all changes up to the current revision from the watch history."""
        self.compacted_revision = self.store.revision

    def copy(self):
        """Return a `StoreCopy` of the content."""
        return StoreCopy(self.store.save_backup(), self.store.revision)

    async def restore(self, copy, away_s=0.0):
        """Return to an earlier copy, after an outage of some seconds.

        Revisions and lease ids are given out again. Watches that wait go on waiting for
        a change after their revision.
        """
        self.refuses = away_s > 0
        await trio.sleep(away_s)
        self.restores += 1
        if self.era is not None:
            self.era += 1
        self.store.restore_backup(copy.content, restarts_leases=True)
        self.compacted_revision = min(self.compacted_revision, self.store.revision)
        self.refuses = False

    async def handle(self, request):
        """Answer one `HttpRequest`."""
        response = await self._answer(request)
        if response is not None and self.era is not None and not self.hides_era:
            response.headers["Store-Era"] = str(self.era)
        return response

    async def _answer(self, request):
        if self.refuses:
            return HttpResponse(503)
        try:
            return await self._route(request)
        except StoreOutcomeUnknownError:
            return None
        except StoreUnavailableError:
            return HttpResponse(503)
        except LeaseNotFoundError:
            return HttpResponse(404)
        except StoreConflictError as error:
            items = [_encode_item(error.entry)] if error.entry else []
            return HttpResponse.from_json({"items": items}, 412)

    async def _route(self, request):
        path = request.path
        if path == "/kv-key":
            return await self._answer_key(request.query["key"])
        if path == "/kv-range":
            return await self._answer_range(request.query)
        if path == "/kv-watch":
            return await self._answer_watch(request.query)
        if path == "/kv-txn":
            return await self._answer_commit(request.parse_json())
        if path == "/kv-lease":
            ttl_ms = request.parse_json()["ttl-ms"]
            lease = await self.store.grant_lease(ttl_ms / 1000)
            return HttpResponse.from_json({"lease": lease, "ttl-ms": ttl_ms})
        if path.startswith("/kv-keep/"):
            await self.store.renew_lease(path.rpartition("/")[2])
            return HttpResponse.from_json({"ttl-ms": 0})
        return HttpResponse(404)

    async def _answer_key(self, key):
        entry = await self.store.get(key)
        if entry is None:
            return HttpResponse.from_json({"store-revision": self.store.revision}, 404)
        item = _encode_item(entry)
        return HttpResponse.from_json({**item, "store-revision": self.store.revision})

    async def _answer_range(self, query):
        entries, revision = await self.store.list(query.get("prefix", ""))
        if query.get("stale-ok") == "1" and self.stale_revision is not None:
            revision = self.stale_revision
        after = query.get("after", "")
        entries = [entry for entry in entries if entry.key > after or not after]
        page = entries[:PAGE_ITEMS]
        body = {
            "items": [_encode_item(entry) for entry in page],
            "truncated": len(entries) > len(page),
            "store-revision": revision,
        }
        return HttpResponse.from_json(body)

    async def _answer_watch(self, query):
        after = int(query["after"])
        if after < self.compacted_revision:
            return HttpResponse(410)
        if self.era is not None and after > self.store.revision:
            return HttpResponse(410)
        era = self.era
        ends_at = trio.current_time() + int(query["wait-ms"]) / 1000
        entries, revision = await self._wait_for_changes(
            query["prefix"], after, ends_at
        )
        while era != self.era and not entries and trio.current_time() < ends_at:
            # Restored meanwhile; the store's revision may be lower than `after`.
            await trio.sleep(RESTORED_WATCH_PERIOD_S)
            entries, revision = await self._wait_for_changes(
                query["prefix"], after, ends_at
            )
        if entries and self.lost_watch_answers:
            self.lost_watch_answers -= 1
            await trio.sleep_forever()
        events = [_encode_event(entry) for entry in entries]
        return HttpResponse.from_json({"events": events, "store-revision": revision})

    async def _wait_for_changes(self, prefix, after, ends_at):
        wait_s = max(ends_at - trio.current_time(), 0.0)
        return await self.store.watch(prefix, after, wait_s)

    async def _answer_commit(self, body):
        if len(body["expected-rev"]) > 1:
            return await self._answer_commit_of_several(body)
        (expected,) = body["expected-rev"]
        if body["deletes"]:
            revision = await self.store.delete(expected["key"], expected["revision"])
        else:
            (write,) = body["writes"]
            revision = await self.store.put(
                write["key"],
                base64.b64decode(write["value"]).decode(),
                expected["revision"],
                write.get("lease"),
            )
        return HttpResponse.from_json({"revision": revision})

    async def _answer_commit_of_several(self, body):
        expected = {row["key"]: row["revision"] for row in body["expected-rev"]}
        writes = [
            (
                row["key"],
                base64.b64decode(row["value"]).decode(),
                expected.pop(row["key"]),
            )
            for row in body["writes"]
        ]
        revision = await self.store.put_all(writes, list(expected.items()))
        return HttpResponse.from_json({"revision": revision})


class PlatformOperator:
    """Writes configurations and evacuations, and those again that the store has lost.

    Parameters
    ----------
    server : PlatformStoreServer
    """

    def __init__(self, server):
        self._server = server
        # Latest value and revision of each key, and the number of restores before.
        self._written = {}

    async def write(self, key, value):
        """Write a key, or delete it if the value is None."""
        store = self._server.store
        entry = await store.get(key)
        expect = 0 if entry is None else entry.revision
        if value is not None:
            revision = await store.put(key, value, expect)
        elif entry is not None:
            revision = await store.delete(key, expect)
        else:
            revision = store.revision
        self._written[key] = (value, revision, self._server.restores)

    async def write_again(self, copy):
        """Write what the latest restore to a `StoreCopy` has lost, in its order."""
        lost = [
            (revision, key, value)
            for key, (value, revision, restores) in self._written.items()
            if revision > copy.revision and restores < self._server.restores
        ]
        for _, key, value in sorted(lost, key=lambda item: item[0]):
            await self.write(key, value)


class PlatformTarget:
    """One target of a service.

    Parameters
    ----------
    service : str
    domain : str
        Failure domain.
    version : str
        Version of its software.

    Attributes
    ----------
    ran : list of str
        Ids of the executed requests, in order of execution.
    delay_s : float
        Seconds between the start of a request and its response.
    fail_share : float
        Fraction of its requests that run and fail with 500.
    refuses : bool
        Whether every request is rejected with 503 and ``Not-Executed``.
    refused : list of str
        Ids of the rejected requests.
    refusal_delay_s : float
        Seconds between the start of a request and its rejection.
    extra_headers : dict of str to str
        Headers added to every response, also to failures and refusals.
    response_bytes : int
        Size of the response to a request without a body.
    state : str
        State that it last wrote into its registration.
    sequence : int
        Number of its latest registration.
    """

    def __init__(self, service, domain, version="v1"):
        self.version = version
        self.target_id = f"i-{secrets.token_hex(5)}"
        self.service = service
        self.domain = domain
        self.address = ""
        self.ran = []
        self.delay_s = 0.0
        self.fail_share = 0.0
        self.refuses = False
        self.refused = []
        self.refusal_delay_s = 0.0
        self.extra_headers = {}
        self.response_bytes = RECORDS_PER_RESPONSE * RECORD_BYTES
        self.state = "ready"
        self.sequence = 1
        self._lease = None
        self._started_ms = int(trio.current_time() * 1000)

    async def handle(self, request):
        """Answer one `HttpRequest`."""
        response = await self._run(request)
        response.headers.update(self.extra_headers)
        return response

    async def _run(self, request):
        expected = request.headers.get("expect-instance")
        if expected is not None and expected != self.target_id:
            return HttpResponse(421, b"", {"Instance-Id": self.target_id})
        request_id = request.headers.get("request-id", "")
        echoed_headers = {"Request-Id": request_id}
        if self.refuses:
            self.refused.append(request_id)
            await trio.sleep(self.refusal_delay_s)
            return HttpResponse(503, b"", {**echoed_headers, "Not-Executed": "1"})
        self.ran.append(request_id)
        await trio.sleep(self.delay_s)
        if random.random() < self.fail_share:
            return HttpResponse(500, b"", echoed_headers)
        stamp = f"{self.target_id}.{request_id}"
        body = request.body or secrets.token_bytes(self.response_bytes)
        return HttpResponse(200, body, {**echoed_headers, "Response-Stamp": stamp})

    def describe(self, state="ready", warmup_left_ms=0):
        """Return the value of the target's registration key, as JSON text.

        Parameters
        ----------
        state : str
        warmup_left_ms : int
            Remaining warm-up time in milliseconds.
        """
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.domain,
            "version": self.version,
            "capacity": 2,
            "state": state,
            "warmup-left-ms": warmup_left_ms,
            "call-seq": self.sequence,
            "born": self._started_ms,
        }
        return orjson.dumps(body).decode()

    async def register(self, store):
        """Register the target under a lease and renew the lease until cancelled."""
        await self._write_registration(store, is_new_lease=True)
        while True:
            await trio.sleep(LEASE_RENEWAL_PERIOD_S)
            try:
                await store.renew_lease(self._lease)
            except LeaseNotFoundError:
                # A restored copy of the store does not have the lease.
                self.sequence += 1
                await self._write_registration(store, is_new_lease=True)

    async def change_state(self, store, state):
        """Write the registration again with another state."""
        self.state = state
        self.sequence += 1
        await self._write_registration(store)

    async def _write_registration(self, store, is_new_lease=False):
        if is_new_lease:
            ttl_s = RENEWALS_PER_LEASE_TTL * LEASE_RENEWAL_PERIOD_S
            self._lease = await store.grant_lease(ttl_s)
        key = f"servers/{self.target_id}"
        entry = await store.get(key)
        expect = 0 if entry is None else entry.revision
        await store.put(key, self.describe(self.state), expect, self._lease)


def build_configuration(version, shards, single_service):
    """Return a configuration with a search route and a route to a single service.

    Parameters
    ----------
    version : int
    shards : list of str
        Services that a search is sent to.
    single_service : str
        Service of the route whose requests go to one target.
    """
    common = {"timeout-ms": 1000, "goal-ms": 200, "priority": 1, "max-attempts": 2}
    search = {
        "name": "search",
        "host": "h.example",
        "prefix": "/search/",
        "kind": "idempotent",
        "gather": shards,
        "top-k": 5,
        "min-coverage": 0.5,
        **common,
    }
    order = {
        "name": "order",
        "host": "h.example",
        "prefix": "/order/",
        "kind": "non_idempotent",
        "service": single_service,
        **common,
    }
    services = [
        {
            "name": name,
            "health-path": "/health",
            "max-conns": 26,
            "protocol": "h1",
            "tls": False,
            "warmup-s": 3.0,
            "warmup-per-s": 0.0,
        }
        for name in [*shards, single_service]
    ]
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 262144,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    body = {
        "version": version,
        "routes": [search, order],
        "services": services,
        "limits": limits,
    }
    return orjson.dumps(body).decode()


def _encode_item(entry):
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value.encode()).decode(),
        "revision": entry.revision,
        "create-revision": entry.revision,
        "lease": 0,
    }


def _encode_event(entry):
    if entry.value is None:
        return {"key": entry.key, "revision": entry.revision, "removed": True}
    return _encode_item(entry)


async def serve(address, shards):
    """Serve a store, and two targets of each service, until cancelled.

    Parameters
    ----------
    address : str
        Of the store; targets listen on any free port.
    shards : int
        Number of services that the search route queries.
    """
    server = PlatformStoreServer()
    names = [f"shard-{number}" for number in range(shards)]
    await server.store.put("op/config", build_configuration(1, names, "desk"), 0)
    listeners = await bind_listeners(address)
    async with trio.open_nursery() as nursery:
        for name in [*names, "desk"]:
            for domain in ("a", "b"):
                target = PlatformTarget(name, domain)
                target_listeners = await bind_listeners("127.0.0.1:0")
                target.address = get_address(target_listeners)
                nursery.start_soon(serve_http, target.handle, target_listeners)
                nursery.start_soon(target.register, server.store)
        print(f"ready {get_address(listeners)}", flush=True)
        await serve_http(server.handle, listeners)


def main(arguments=None):
    """Parse the command line and serve until interrupted."""
    parser = argparse.ArgumentParser(prog="standins.platform")
    parser.add_argument("--address", required=True, help="e.g. 127.0.0.1:7000")
    parser.add_argument("--shards", type=int, default=4)
    options = parser.parse_args(arguments)
    trio.run(serve, options.address, options.shards)


if __name__ == "__main__":
    main()
