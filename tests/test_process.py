"""Tests of the process around a gateway."""

import testtools

from tarragonchute import process
from tarragonchute.gateway import Gateway
from tarragonchute.process import GatewayProcess, build_server_options

from .test_gateway import build_settings
from .test_queries import HEADER_NAMES
from .trial import run_in_virtual_time


class ListeningStoppedError(Exception):
    """Ends a start after the first listener."""


class GatewayProcessTests(testtools.TestCase):
    """The start of a process."""

    @run_in_virtual_time
    async def test_callers_can_connect_before_a_probe_is_answered(self):
        """Guards against a VM that is ready while its callers are refused."""
        bound = []

        async def bind(address):
            bound.append(address)
            raise ListeningStoppedError

        self.patch(process, "bind_listeners", bind)
        settings = build_settings()
        options = build_server_options(settings.stop_grace_s)
        gateway = Gateway(settings, HEADER_NAMES, options)
        self.addCleanup(gateway.reactor.close)
        starting = GatewayProcess(gateway, options, [], None, "/ready", lambda: None)
        try:
            await starting.run()
        except* ListeningStoppedError:
            pass
        self.assertEqual([settings.caller_address], bound)
