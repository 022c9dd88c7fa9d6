"""Tests of port reservations."""

import testtools

from tarragonchute.httpio import bind_listeners, get_address
from tools.ports import PortReservations

from .trial import run_async


class PortReservationTests(testtools.TestCase):
    """Loopback ports reserved for processes that are not yet started."""

    def setUp(self):
        super().setUp()
        self.ports = PortReservations()
        self.addCleanup(self.ports.close)

    def test_no_port_is_assigned_twice(self):
        """Guards against assigning one port to two servers of a deployment.

        The kernel chooses among about 14,000 ports, so 900 ports that were not reserved
        would almost certainly include a duplicate.
        """
        addresses = [self.ports.reserve() for _ in range(900)]
        self.assertEqual(len(addresses), len(set(addresses)))

    @run_async
    async def test_server_can_listen_repeatedly(self):
        """Guards against a reservation that prevents its own server from listening.

        A restarted server listens on the same port again.
        """
        address = self.ports.reserve()
        for _ in range(3):
            listeners = await bind_listeners(address)
            self.assertEqual(address, get_address(listeners))
            for listener in listeners:
                await listener.aclose()
