"""Fake server of the platform's key-value service.

``POST /control`` injects faults. Its body is a JSON object with any of:

- ``outage``: ``"refuse"`` answers each call with 503, ``"close"`` closes the connection
  without a response, ``"hang"`` sends no response, and ``""`` ends the outage.
- ``delay_ms``: delay of each call in milliseconds.
- ``lose_answers``: number of the next writes that take effect without a response.
- ``lose_writes``: number of the next writes that take no effect and get no response.
- ``backup``: true saves the data.
- ``restore``: true replaces the data by the saved data.
- ``expire_leases``: true expires the leases.

``GET /control`` returns the number of calls by method, the injected faults and the
revision.
"""

import argparse

import trio

from tarragonchute.errors import (
    BadRequestError,
    StoreConflictError,
    StoreOutcomeUnknownError,
)
from tarragonchute.httpio import (
    HttpResponse,
    bind_listeners,
    get_address,
    serve_http,
)
from tarragonchute.store import MemoryStore

OUTAGES = ("", "refuse", "close", "hang")


class StoreServer:
    """Serves the key-value HTTP routes from a `MemoryStore`.

    Attributes
    ----------
    store : MemoryStore
    outage : str
        One of `OUTAGES`.
    """

    def __init__(self):
        self.store = MemoryStore()
        self.outage = ""
        self._outage_ended = trio.Event()
        self._backup = None

    async def handle(self, request):
        """Answer one `HttpRequest`."""
        if request.path == "/control":
            return self._control(request)
        while self.outage == "hang":
            await self._outage_ended.wait()
        if self.outage == "close":
            return None
        response = await self._answer(request)
        # An outage that began during the call also closes this connection, so that
        # pending watches end too.
        return None if self.outage == "close" else response

    async def _answer(self, request):
        try:
            return HttpResponse.from_json(await self._route(request))
        except StoreOutcomeUnknownError:
            return None
        except StoreConflictError as error:
            return _build_conflict(error)

    async def _route(self, request):
        _, version, kind, rest = [*request.path.split("/", 3), "", ""][:4]
        if version != "v1":
            raise BadRequestError(f"unknown path {request.path}")
        if kind == "kv":
            return await self._route_key_request(request, rest)
        if kind == "leases":
            return await self._route_lease_request(request, rest)
        if kind == "list":
            return _build_list(await self.store.list(rest))
        if kind == "watch":
            after = _read_integer(request, "after")
            wait_s = _read_integer(request, "wait_ms") / 1000
            return _build_list(await self.store.watch(rest, after, wait_s))
        raise BadRequestError(f"unknown path {request.path}")

    async def _route_key_request(self, request, key):
        if request.method == "GET":
            entry = await self.store.get(key)
            if entry is None:
                raise _build_not_found(key)
            return _build_entry(entry)
        expect = _read_integer(request, "expect")
        if request.method == "DELETE":
            return {"revision": await self.store.delete(key, expect)}
        body = _read_object(request)
        value = body.get("value")
        if request.method != "PUT" or not isinstance(value, str):
            raise BadRequestError(
                "a key supports GET, DELETE, or PUT with a string value"
            )
        revision = await self.store.put(key, value, expect, body.get("lease"))
        return {"revision": revision}

    async def _route_lease_request(self, request, rest):
        lease, _, verb = rest.partition("/")
        if verb == "renew":
            await self.store.renew_lease(lease)
            return {"lease": lease}
        ttl_ms = _read_object(request).get("ttl_ms")
        if not isinstance(ttl_ms, int) or ttl_ms <= 0:
            raise BadRequestError("ttl_ms must be a positive integer")
        return {"lease": await self.store.grant_lease(ttl_ms / 1000)}

    def _control(self, request):
        if request.method == "POST":
            self._apply(_read_object(request))
        store = self.store
        return HttpResponse.from_json(
            {
                "calls": store.calls,
                "outage": self.outage,
                "delay_ms": store.delay_s * 1000,
                "lose_answers": store.lose_answers,
                "lose_writes": store.lose_writes,
                "revision": store.revision,
            }
        )

    def _apply(self, body):
        store = self.store
        if body.get("outage", "") not in OUTAGES:
            raise BadRequestError(f"outage must be one of {OUTAGES}")
        if "outage" in body:
            self.outage = body["outage"]
            store.is_unavailable = self.outage == "refuse"
            self._outage_ended.set()
            self._outage_ended = trio.Event()
        store.delay_s = body.get("delay_ms", store.delay_s * 1000) / 1000
        store.lose_answers = body.get("lose_answers", store.lose_answers)
        store.lose_writes = body.get("lose_writes", store.lose_writes)
        if body.get("backup"):
            self._backup = store.save_backup()
        if body.get("restore"):
            self._restore()
        if body.get("expire_leases"):
            store.expire_leases()

    def _restore(self):
        if self._backup is None:
            raise BadRequestError("no backup to restore; send backup first")
        self.store.restore_backup(self._backup)


def _build_conflict(error):
    body = {
        "code": error.code,
        "message": str(error),
        "entry": error.entry and _build_entry(error.entry),
    }
    return HttpResponse.from_json(body, error.status)


def _build_not_found(key):
    error = BadRequestError(f"key {key} does not exist")
    error.status = 404
    return error


def _build_entry(entry):
    return {"key": entry.key, "value": entry.value, "revision": entry.revision}


def _build_list(result):
    entries, revision = result
    return {"entries": [_build_entry(e) for e in entries], "revision": revision}


def _read_integer(request, name):
    try:
        return int(request.query[name])
    except (KeyError, ValueError) as error:
        raise BadRequestError(f"{name} must be an integer") from error


def _read_object(request):
    body = request.parse_json()
    if not isinstance(body, dict):
        raise BadRequestError("the request body must be a JSON object")
    return body


async def serve(address):
    """Serve the store on an address until cancelled."""
    listeners = await bind_listeners(address)
    print(f"ready {get_address(listeners)}", flush=True)
    await serve_http(StoreServer().handle, listeners)


def main(arguments=None):
    """Parse the command line and serve until interrupted."""
    parser = argparse.ArgumentParser(prog="standins.store")
    parser.add_argument("--address", required=True, help="e.g. 127.0.0.1:7000")
    trio.run(serve, parser.parse_args(arguments).address)


if __name__ == "__main__":
    main()
