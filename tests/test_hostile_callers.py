"""Tests of the gateway process with callers outside the limits.

Small crowds meet a process whose settings state little memory and few descriptors. The
crowds and the bounds were fixed on the code that had no account of its memory. No time
and no share of served requests is checked.
"""

import contextlib
import os
import pathlib

import testtools
import trio

from tarragonchute.httpio import HttpConnection, split_address

from .test_platform import open_deployment
from .trial import run_async

MEMORY_MB = 96
"""Memory of the machine in the settings. A process at rest has 28 MB."""

MAX_DESCRIPTORS = 300
"""Descriptors in the settings of the tests with many silent connections."""

MANY_CONNECTIONS = 400
FEW_CONNECTIONS = 40

BODY_BYTES = 200 * 1024
LARGE_RESPONSE_BYTES = 4 * 1024 * 1024
PIPELINED_REQUESTS = 30

CROWD_S = 4.0
"""Time for which a crowd sends; its connections stay open until the test ends."""

SAMPLE_PERIOD_S = 0.02
DRIP_PERIOD_S = 0.1
MAX_ORDINARY_ATTEMPTS = 60
ORDINARY_RETRY_DELAY_S = 0.25

TCP_TABLE = pathlib.Path("/proc/net/tcp")


class ProcessSampler:
    """Samples the memory and the descriptors of a process while a crowd is there.

    Attributes
    ----------
    greatest_bytes : int
        Resident memory, and the bytes that wait in the kernel for the process.
    greatest_descriptors : int
    """

    def __init__(self, pid, address):
        self.greatest_bytes = 0
        self.greatest_descriptors = 0
        self._pid = pid
        self._local_port = f":{split_address(address)[1]:04X}"

    async def run(self):
        """Take samples until cancelled."""
        while True:
            self.take()
            await trio.sleep(SAMPLE_PERIOD_S)

    def take(self):
        """Take one sample; raises `OSError` if the process has ended."""
        statm = pathlib.Path(f"/proc/{self._pid}/statm").read_text()
        resident = int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")
        size = resident + self._count_unread_bytes()
        self.greatest_bytes = max(self.greatest_bytes, size)
        descriptors = len(os.listdir(f"/proc/{self._pid}/fd"))
        self.greatest_descriptors = max(self.greatest_descriptors, descriptors)

    def _count_unread_bytes(self):
        total = 0
        for line in TCP_TABLE.read_text().splitlines()[1:]:
            fields = line.split()
            is_listening = fields[3] == "0A"
            if fields[1].endswith(self._local_port) and not is_listening:
                total += int(fields[4].partition(":")[2], 16)
        return total


def build_request(target, request_id=None, body=b"", method="GET"):
    """Return the bytes of one request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: h.example"]
    if request_id is not None:
        lines.append(f"Request-Id: {request_id}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class HostileCallerTests(testtools.TestCase):
    """Crowds of callers that do not read answers, or send more than is answered."""

    async def check_crowd(
        self,
        behave,
        connections,
        max_descriptors=1024,
        prepare=None,
        listener="callers",
    ):
        """Run a crowd and check the process and one ordinary request after it.

        Parameters
        ----------
        behave : callable
            Async; called with the stream and the number of each connection.
        connections : int
        max_descriptors : int
        prepare : callable or None
            Called with the deployment before the crowd.
        listener : str
            Attribute of the deployment with the address to which the crowd connects.
        """
        limits = {"memory-mb": MEMORY_MB, "max-fds": max_descriptors}
        async with open_deployment(limits=limits) as deployment:
            if prepare is not None:
                prepare(deployment)
            process = deployment.process
            address = getattr(deployment, listener)
            sampler = ProcessSampler(process.pid, address)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sampler.run)
                for number in range(connections):
                    nursery.start_soon(self.run_caller, address, behave, number)
                await trio.sleep(CROWD_S)
                status = await self.send_ordinary_request(deployment)
                sampler.take()
                nursery.cancel_scope.cancel()
            returncode = process.returncode
        megabytes = round(sampler.greatest_bytes / 1e6, 1)
        text = f"{megabytes} MB, {sampler.greatest_descriptors} descriptors"
        self.addDetail("sample", testtools.content.text_content(text))
        self.assertIsNone(returncode, text)
        self.assertEqual(200, status, text)
        self.assertLess(megabytes, MEMORY_MB, text)
        self.assertLessEqual(sampler.greatest_descriptors, max_descriptors, text)

    async def run_caller(self, address, behave, number):
        """Connect, behave, and keep the connection without reading from it."""
        host, port = split_address(address)
        with contextlib.suppress(OSError, trio.BrokenResourceError):
            stream = await trio.open_tcp_stream(host, port)
            async with stream:
                with contextlib.suppress(trio.BrokenResourceError):
                    await behave(stream, number)
                await trio.sleep_forever()

    async def send_ordinary_request(self, deployment):
        """Send one ordinary request, again if it is refused; return its status."""
        status = 0
        for attempt in range(MAX_ORDINARY_ATTEMPTS):
            with contextlib.suppress(OSError), trio.move_on_after(2.0):
                response = await deployment.call("/search/1", request_id=f"o{attempt}")
                status = response.status
            if status == 200:
                break
            await trio.sleep(ORDINARY_RETRY_DELAY_S)
        return status

    @run_async
    async def test_bodies_sent_ahead(self):
        """Guards against bodies that are read before the answer ahead of them is taken.

        Many connections; no request states an id or a time limit.
        """
        request = build_request("/order/1", None, b"x" * BODY_BYTES, "POST")

        async def behave(stream, _number):
            for _ in range(PIPELINED_REQUESTS):
                await stream.send_all(request)

        await self.check_crowd(behave, MANY_CONNECTIONS)

    @run_async
    async def test_bodies_for_the_peer_listener(self):
        """Guards against a crowd on the address for other VMs, which has no customers.

        Both the memory and the descriptors are used up.
        """
        request = build_request("/none", None, b"x" * BODY_BYTES, "POST")

        async def behave(stream, _number):
            for _ in range(PIPELINED_REQUESTS):
                await stream.send_all(request)

        await self.check_crowd(
            behave, MANY_CONNECTIONS, MAX_DESCRIPTORS, listener="peers"
        )

    @run_async
    async def test_bodies_behind_running_requests(self):
        """Guards against bodies that are read while an earlier request runs."""
        body = b"x" * BODY_BYTES

        async def behave(stream, number):
            for index in range(PIPELINED_REQUESTS):
                request_id = f"b{number}-{index}"
                request = build_request("/order/1", request_id, body, "POST")
                await stream.send_all(request)

        def prepare(deployment):
            for target in deployment.targets:
                target.delay_s = 0.8

        await self.check_crowd(behave, MANY_CONNECTIONS, prepare=prepare)

    @run_async
    async def test_large_answers_that_are_not_read(self):
        """Guards against large answers that are held for callers who do not read.

        Few connections with many small requests on each.
        """

        async def behave(stream, number):
            for index in range(PIPELINED_REQUESTS):
                await stream.send_all(build_request("/order/1", f"l{number}-{index}"))

        def prepare(deployment):
            for target in deployment.targets:
                if target.service == "desk":
                    target.response_bytes = LARGE_RESPONSE_BYTES

        await self.check_crowd(behave, FEW_CONNECTIONS, prepare=prepare)

    @run_async
    async def test_large_bodies_on_few_connections(self):
        """Guards against bodies and their echoes that pile up on a few connections."""
        body = b"x" * BODY_BYTES

        async def behave(stream, number):
            for index in range(PIPELINED_REQUESTS):
                request_id = f"f{number}-{index}"
                request = build_request("/order/1", request_id, body, "POST")
                await stream.send_all(request)

        await self.check_crowd(behave, FEW_CONNECTIONS)

    @run_async
    async def test_largest_request_is_served_by_the_smallest_vm(self):
        """Guards against limits that refuse a single request inside the limits."""
        limits = {"memory-mb": 160, "max-fds": 256}
        async with open_deployment(limits=limits) as deployment:
            connection = await HttpConnection.open(deployment.callers, 1.0)
            connection._host = b"h.example"
            headers = [("Request-Id", "large"), ("X-Large", "x" * 16_000)]
            body = b"x" * 262_144
            response = await connection.exchange("POST", "/order/1", headers, body)
            connection.close()
        self.assertEqual((200, body), (response.status, response.body))

    @run_async
    async def test_silent_connections(self):
        """Guards against connections without a request that use all descriptors."""

        async def behave(_stream, _number):
            await trio.sleep_forever()

        await self.check_crowd(behave, MANY_CONNECTIONS, MAX_DESCRIPTORS)

    @run_async
    async def test_header_bytes_that_drip_in(self):
        """Guards against requests that never end and use all descriptors."""

        async def behave(stream, _number):
            await stream.send_all(b"GET /search/1 HTTP/1.1\r\nHost: h.example\r\nX: ")
            while True:
                await trio.sleep(DRIP_PERIOD_S)
                await stream.send_all(b"x")

        await self.check_crowd(behave, MANY_CONNECTIONS, MAX_DESCRIPTORS)
