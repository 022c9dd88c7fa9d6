"""Stand-in of a server of a service."""

import asyncio
import hashlib
import json
import random
import time

from .wire import encode_response, read_message

RECORD_BYTES = 16


class Server:
    """Runs requests, a few at a time, and registers itself in the store.

    Parameters
    ----------
    store : store.Store
    record : record.Record
    service, zone : str
    number : int
        Distinguishes the servers of a service.
    capacity, queue : int
        Requests that run at once, and that wait.
    work_s : float
        Time for one request.
    part_bytes : int
        Size of an answer.

    Attributes
    ----------
    runs : list of (float, str)
        Time at which each request began to run, and its id.
    arrivals : list of (float, str)
        The same for each request that arrived, also those that were rejected.
    """

    def __init__(
        self,
        store,
        record,
        service,
        zone,
        number=0,
        capacity=2,
        queue=12,
        work_s=0.01,
        part_bytes=1000,
    ):
        self.server_id = f"i-{service}-{number}"
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.capacity = capacity
        self.runs = []
        self.arrivals = []
        self._store = store
        self._record = record
        self._queue = queue
        self._part_bytes = part_bytes
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(capacity)
        self._tasks = set()
        self.address = None

    async def start(self):
        """Listen on a free port and register as ready."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.register("ready")

    def register(self, state):
        """Write the entry of the server; return the revision."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmup-left-ms": 0,
            "call-seq": self._sequence,
            "born": self._born,
        }
        return self._store.write(f"servers/{self.server_id}", json.dumps(body).encode())

    def exit(self):
        """End the server: its listener and its connections are closed."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request, reader))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request, reader):
        request_id = request.get("request-id")
        if request.start[1] == "/health":
            return encode_response(200, [("Instance-Id", self.server_id)])
        if request_id is None:
            return encode_response(400, [("Not-Executed", "1")])
        self.arrivals.append((time.monotonic(), request_id))
        echoed = [("Request-Id", request_id)]
        expected = request.get("expect-instance")
        if expected is not None and expected != self.server_id:
            return encode_response(421, [*echoed, ("Instance-Id", self.server_id)])
        limit_s = float(request.get("request-deadline", "30000")) / 1000
        ends_at = time.monotonic() + limit_s
        if self._slots.locked():
            if self._waiting >= self._queue:
                return encode_response(503, [*echoed, ("Not-Executed", "1")])
            self._waiting += 1
            try:
                await asyncio.wait_for(self._slots.acquire(), limit_s)
            except TimeoutError:
                return encode_response(503, [*echoed, ("Not-Executed", "1")])
            finally:
                self._waiting -= 1
        else:
            await self._slots.acquire()
        try:
            return await self._run(request, request_id, echoed, ends_at, reader)
        finally:
            self._slots.release()

    async def _run(self, request, request_id, echoed, ends_at, reader):
        if reader.at_eof():
            raise ConnectionError
        self.runs.append((time.monotonic(), request_id))
        self._record.write(
            "run", id=request_id, server=self.server_id, tenant=request.get("tenant")
        )
        left_s = ends_at - time.monotonic()
        if self.work_s > left_s:
            await asyncio.sleep(max(left_s, 0))
            return encode_response(504, [*echoed, ("Response-Stamp", "timeout")])
        await asyncio.sleep(self.work_s)
        count = self._part_bytes // RECORD_BYTES
        body = random.randbytes(count * RECORD_BYTES)
        digest = hashlib.sha256(self.server_id.encode() + request_id.encode() + body)
        stamp = digest.hexdigest()[:24]
        return encode_response(200, [*echoed, ("Response-Stamp", stamp)], body)
