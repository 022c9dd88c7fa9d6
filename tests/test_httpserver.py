"""Tests of the HTTP server when watches, memory and closes fail it."""

import contextlib
from unittest import mock

import testtools
import trio

from tarragonchute.disconnects import DisconnectWatcher
from tarragonchute.httpio import HttpResponse, ServerOptions
from tarragonchute.memory import MemoryAccount, MemoryLimits, Phase

from .test_httpio import CLOSING_REQUEST, echo_request, send_raw, start_server
from .trial import run_async


class MemoryWithoutSending(MemoryAccount):
    """Has no room for responses."""

    def enter(self, holding, phase, size, now):
        return phase is not Phase.SENDING and super().enter(holding, phase, size, now)


class FailureTests(testtools.TestCase):
    """Errors in one connection."""

    @run_async
    async def test_failed_watch_ends_only_its_connection(self):
        """Guards against a server that ends when the kernel refuses a watch."""
        memory = MemoryAccount(MemoryLimits(160, 1024))
        options = ServerOptions(cancel_on_disconnect=True, memory=memory)
        async with start_server(echo_request, options) as address:
            with (
                mock.patch.object(DisconnectWatcher, "add", side_effect=OSError),
                contextlib.suppress(trio.BrokenResourceError),
            ):
                self.assertEqual(b"", await send_raw(address, CLOSING_REQUEST))
            self.assertEqual(0, memory.held_bytes)
            answer = await send_raw(address, CLOSING_REQUEST)
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

    @run_async
    async def test_error_response_without_room_is_expected(self):
        """Guards against a traceback for each malformed request under pressure."""
        options = ServerOptions(memory=MemoryWithoutSending(MemoryLimits(160, 1024)))
        async with start_server(echo_request, options) as address:
            with (
                self.assertNoLogs("tarragonchute.httpserver"),
                contextlib.suppress(trio.BrokenResourceError),
            ):
                await send_raw(address, b"no http\r\n\r\n")


class CloseTests(testtools.TestCase):
    """The end of a connection that carried a response."""

    @run_async
    async def test_close_with_unread_requests_resets_no_connection(self):
        """Guards against a shutdown that loses answers before pipelined requests."""
        shutdown = trio.Event()

        async def handle(request):
            shutdown.set()
            await trio.sleep(0.05)
            return HttpResponse(200, b"whole")

        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        request = head % 50000 + b"x" * 50000
        options = ServerOptions(accept_grace_s=0.0)
        async with start_server(handle, options, shutdown) as address:
            answer = await send_raw(address, request * 2)
            self.assertTrue(answer.endswith(b"whole"), answer)
