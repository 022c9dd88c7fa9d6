"""Tests of the start of a gateway process."""

import testtools

from tarragonchute import process
from tarragonchute.gateway import Gateway
from tarragonchute.process import GatewayProcess, build_server_options

from .test_gateway import build_settings
from .test_queries import HEADER_NAMES
from .trial import run_in_virtual_time


class StartAbortedError(Exception):
    """Aborts the start at the first listener."""


class GatewayProcessTests(testtools.TestCase):
    """Order of the listeners at the start."""

    @run_in_virtual_time
    async def test_callers_can_connect_before_probes_succeed(self):
        """Guards against a VM that reports ready while it refuses callers.

        This happens if the listener for probes is bound before the one for callers.
        """
        bound = []

        async def bind(address):
            bound.append(address)
            raise StartAbortedError

        self.patch(process, "bind_listeners", bind)
        settings = build_settings()
        options = build_server_options(settings.stop_grace_s)
        gateway = Gateway(settings, HEADER_NAMES, options)
        self.addCleanup(gateway.reactor.close)
        gateway_process = GatewayProcess(
            gateway, options, [], None, "/ready", lambda: None
        )
        try:
            await gateway_process.run()
        except* StartAbortedError:
            pass
        self.assertEqual([settings.caller_address], bound)
