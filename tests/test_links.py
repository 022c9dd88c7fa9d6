"""Tests of the message transport between VMs."""

import random

import testtools
import trio

from tarragonchute import links, wire


async def open_listeners():
    """Return the listeners on a free loopback port, and their address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()
    return listeners, f"{host}:{port}"


class Receiver:
    """Collects envelopes, for tests that wait for a number of them."""

    def __init__(self):
        self.envelopes = []
        self._arrived = trio.Event()

    def handle(self, envelope):
        """Store an envelope."""
        self.envelopes.append(envelope)
        self._arrived.set()

    async def wait_for(self, count):
        """Wait until `count` envelopes have arrived."""
        with trio.fail_after(5):
            while len(self.envelopes) < count:
                self._arrived = trio.Event()
                await self._arrived.wait()


class TcpLinksTests(testtools.TestCase):
    """Messages over real sockets on loopback."""

    def test_messages_arrive_after_the_peer_restarts(self):
        """Guards against a link that doesn't reconnect after its peer restarted."""
        trio.run(self._send_across_restart)

    async def _send_across_restart(self):
        receiver = Receiver()
        sender = links.TcpLinks("vm-1", lambda envelope: None)
        own_listeners, _ = await open_listeners()
        listeners, address = await open_listeners()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sender.run, own_listeners)
            sender.set_peers({"vm-2": address})
            cancel_scope = self._run_peer(nursery, receiver, listeners)
            await self._send_until(sender, receiver, 1)
            cancel_scope.cancel()
            host, _, port = address.rpartition(":")
            listeners = await trio.open_tcp_listeners(int(port), host=host)
            self._run_peer(nursery, receiver, listeners)
            await self._send_until(sender, receiver, len(receiver.envelopes) + 1)
            nursery.cancel_scope.cancel()
        self.assertEqual("vm-1", receiver.envelopes[0].sender)

    def _run_peer(self, nursery, receiver, listeners):
        cancel_scope = trio.CancelScope()

        async def run():
            with cancel_scope:
                await links.TcpLinks("vm-2", receiver.handle).run(listeners)

        nursery.start_soon(run)
        return cancel_scope

    async def _send_until(self, sender, receiver, count):
        with trio.fail_after(5):
            while len(receiver.envelopes) < count:
                sender.send("vm-2", "test", {"n": 1}, number=9)
                await trio.sleep(0.01)

    def test_invalid_frame_closes_only_its_connection(self):
        """Guards against invalid data on one connection that stops the server."""
        trio.run(self._send_invalid_frame)

    async def _send_invalid_frame(self):
        receiver = Receiver()
        listeners, address = await open_listeners()
        host, _, port = address.rpartition(":")
        async with trio.open_nursery() as nursery:
            server = links.TcpLinks("vm-2", receiver.handle)
            nursery.start_soon(server.run, listeners)
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(b"\xff" * 64)
            with trio.fail_after(5):
                self.assertEqual(b"", await stream.receive_some(10))
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(wire.encode_envelope("test", "vm-1", 1, None))
            await receiver.wait_for(1)
            nursery.cancel_scope.cancel()

    def test_send_to_unknown_vm_is_reported(self):
        """Guards against a message to an unknown VM that counts as sent."""
        sender = links.TcpLinks("vm-1", lambda envelope: None)
        self.assertFalse(sender.send("vm-9", "test", None))


class MemoryNetworkTests(testtools.TestCase):
    """Faults of the in-memory transport."""

    def test_cut_and_heal(self):
        """Guards against a partition that delivers messages."""
        network = links.MemoryNetwork(random.Random(1))
        received = []
        sender = network.connect("vm-1", received.append)
        network.connect("vm-2", received.append)
        network.cut("vm-1", "vm-2")
        self.assertFalse(sender.send("vm-2", "test", None))
        network.heal()
        self.assertTrue(sender.send("vm-2", "test", None))
        network.duplicates = True
        sender.send("vm-2", "test", None)
        network.deliver()
        self.assertEqual(3, len(received))
