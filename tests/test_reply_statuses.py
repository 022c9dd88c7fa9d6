"""Tests of replies whose status is outside of 100 to 599, over real sockets."""

import functools
import time

import testtools
import trio

from standins.platform import PlatformTarget
from tarragonchute.errors import ProtocolError
from tarragonchute.httpio import bind_listeners, get_address
from tarragonchute.replies import ReplyReader
from tarragonchute.targets import HttpTargetClient

from .test_httpio import start_server
from .test_platform import Deployment, open_deployment
from .test_targets import make_request
from .trial import run_async

STATUSES = (b"000", b"099", b"600", b"999")
RAW_SERVICES = ("s0", "desk")
FAILURE_STATUSES = (502, 503, 504)


async def serve_status(get_status, extra_lines, stream):
    """Answer each request of a connection with a fixed status and an echo of its id."""
    data = b""
    async with stream:
        while part := await stream.receive_some(65536):
            data += part
            if b"\r\n\r\n" not in data:
                continue
            lines = data.split(b"\r\n")
            ids = [line for line in lines if line.lower().startswith(b"request-id:")]
            head = [b"HTTP/1.1 %b Odd" % get_status(), *ids, *extra_lines]
            data = b""
            await stream.send_all(
                b"\r\n".join([*head, b"Content-Length: 2", b"", b"{}"])
            )


class RawDeployment(Deployment):
    """A deployment in which some services' targets send any status."""

    status = b"200"

    async def add_target(self, service, domain):
        """See `Deployment.add_target`."""
        if service not in RAW_SERVICES:
            return await super().add_target(service, domain)
        target = PlatformTarget(service, domain)
        listeners = await bind_listeners("127.0.0.1:0")
        target.address = get_address(listeners)
        serve = functools.partial(
            serve_status, lambda: self.status, [b"Response-Stamp: stamp"]
        )
        self.nursery.start_soon(trio.serve_listeners, serve, listeners)
        self.nursery.start_soon(target.register, self.server.store)
        return target


class StatusTests(testtools.TestCase):
    """Such a status is a malformed reply and never reaches a caller."""

    @run_async
    async def test_single_requests(self):
        """Guards against a status that no caller understands, as sent by a target."""
        async with open_deployment(deployment_type=RawDeployment) as deployment:
            deployment.status = b"200"
            response = await deployment.call("/order/1", request_id="good")
            self.assertEqual(200, response.status)
            for status in STATUSES:
                deployment.status = status
                for method in ("GET", "POST"):
                    request_id = f"{method}-{status.decode()}"
                    response = await deployment.call(
                        "/order/1", method, request_id=request_id
                    )
                    self.assertIn(response.status, FAILURE_STATUSES, request_id)

    @run_async
    async def test_shards(self):
        """Guards against a shard whose malformed reply counts as an answer."""
        async with open_deployment(deployment_type=RawDeployment) as deployment:
            for status in STATUSES:
                deployment.status = status
                request_id = status.decode()
                response = await deployment.call("/search/1", request_id=request_id)
                self.assertEqual(200, response.status)
                stamps = response.headers["part-stamps"].split(",")
                self.assertEqual(2, len(stamps), stamps)
                self.assertNotIn("stamp", stamps)

    def test_reader(self):
        """Guards against a status that only one of the two head parsers rejects."""
        for status in STATUSES:
            for end in (b"\r\n", b"\n"):
                head = (b"HTTP/1.1 %b Odd" % status, b"Content-Length: 0", b"", b"")
                reader = ReplyReader()
                reader.start(b"GET")
                self.assertRaises(ProtocolError, reader.receive, end.join(head))

    @run_async
    async def test_older_program(self):
        """Guards against an answer of a target with such a status that is used."""
        request = make_request(time.time)
        lines = [
            b"X-Request-Id: r1",
            b"X-Shard: s0",
            b"X-Snapshot: 1",
        ]
        for status in STATUSES:
            handler = functools.partial(serve_status, lambda s=status: s, lines)
            serve = functools.partial(trio.serve_listeners, handler)
            async with start_server(None, serve=serve) as address:
                client = HttpTargetClient("t1", address, 2)
                answer = await client.exchange(request)
                self.assertEqual("wrong_answer", answer.code)
                self.assertFalse(answer.is_provably_not_run)
                self.assertIsNone(await client.fetch_status())
                self.assertEqual(0, client.connections)
                await client.aclose()
