"""Lets a VM that starts while the store is away begin with another VM's knowledge.

A VM serves the entries that its feed holds on its control address. A starting VM that
cannot reach the store asks the addresses in its settings and starts with the newest
answer; its feed goes on trying the store.
"""

import logging

import orjson
import trio

from .errors import ProtocolError, StoreUnavailableError
from .httpio import HttpConnection, HttpResponse
from .store import Entry

logger = logging.getLogger(__name__)

SNAPSHOT_PATH = "/v1/snapshot"

PEER_TIMEOUT_S = 0.5
"""Longest wait for one peer; within a region it answers in milliseconds."""


_PEER_ERRORS = (OSError, ProtocolError, trio.TooSlowError, ValueError, KeyError)


class SnapshotServer:
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
        if request.path != SNAPSHOT_PATH:
            return HttpResponse(404)
        if self._feed.revision is None:
            return HttpResponse(503)
        rows = [[entry.key, entry.value] for entry in self._feed.list_entries()]
        return HttpResponse.from_json({"revision": self._feed.revision, "rows": rows})


class PeerSnapshots:
    """Asks other VMs for what they know.

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
        _, address, rows = max(answers)
        logger.info("starting with the snapshot of another VM", extra={"peer": address})
        return [Entry(key, value, 0) for key, value in rows]

    async def _ask(self, address, answers):
        connection = None
        try:
            with trio.fail_after(PEER_TIMEOUT_S):
                connection = await HttpConnection.open(address, PEER_TIMEOUT_S)
                response = await connection.exchange("GET", SNAPSHOT_PATH)
            if response.status == 200:
                body = orjson.loads(response.body)
                answers.append((body["revision"], address, body["rows"]))
        except (
            OSError,
            ProtocolError,
            trio.TooSlowError,
            ValueError,
            KeyError,
        ) as error:
            logger.info("no snapshot from %s: %s", address, error)
        finally:
            if connection is not None:
                connection.close()
