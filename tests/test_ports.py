"""Tests of reserved ports."""

import testtools

from tarragonchute.httpio import bind_listeners, get_address
from tools.ports import PortReservations

from .trial import run_async


class PortReservationTests(testtools.TestCase):
    """Ports of processes that are started later."""

    def setUp(self):
        super().setUp()
        self.ports = PortReservations()
        self.addCleanup(self.ports.close)

    def test_no_port_is_given_twice(self):
        """Guards against two servers of a deployment that are told the same port.

        The kernel picks among about 14,000 ports, so 900 that were not held would
        almost surely repeat one.
        """
        addresses = [self.ports.reserve() for _ in range(900)]
        self.assertEqual(len(addresses), len(set(addresses)))

    @run_async
    async def test_server_can_listen_again_and_again(self):
        """Guards against a reservation that keeps its own server out."""
        address = self.ports.reserve()
        for _ in range(3):
            listeners = await bind_listeners(address)
            self.assertEqual(address, get_address(listeners))
            for listener in listeners:
                await listener.aclose()
