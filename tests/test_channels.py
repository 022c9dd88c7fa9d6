"""Tests of channels between VMs, on real loopback sockets."""

import contextlib
import socket

import testtools
import trio
import trio.lowlevel

from tarragonchute.channels import MAX_UNSENT_BYTES, Channel, ChannelListener
from tarragonchute.memory import MemoryAccount, MemoryLimits, Source
from tarragonchute.reactor import Reactor
from tools.ports import PortReservations

from .trial import run_async

ANY_PORT = "127.0.0.1:0"


class RecordingOwner:
    """Records the frames and the ends of channels."""

    def __init__(self):
        self.payloads = []
        self.channels = []
        self.closes = []

    def handle_frames(self, channel, payloads, now):
        if channel not in self.channels:
            self.channels.append(channel)
        self.payloads += payloads

    def handle_close(self, channel, reason, now):
        self.closes.append(reason)


async def wait_for(condition):
    """Return once the condition holds; raise after 5 s."""
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.001)


@contextlib.asynccontextmanager
async def open_reactor():
    """Yield a running reactor."""
    reactor = Reactor()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reactor.run)
        yield reactor
        nursery.cancel_scope.cancel()
    reactor.close()


class ChannelTests(testtools.TestCase):
    """Channels deliver frames in order and report their end once."""

    @run_async
    async def test_frames_arrive_whole_and_in_order(self):
        """Guards against lost or mixed frames when a send fills the socket buffer."""
        async with open_reactor() as reactor:
            server, client = RecordingOwner(), RecordingOwner()
            listener = ChannelListener(reactor, ANY_PORT, server)
            channel = Channel.open(reactor, listener.address, client)
            sent = [bytes([number]) * (number * 3000) for number in range(1, 15)]
            for payload in sent:
                channel.send(payload, 0.0)
            await wait_for(lambda: len(server.payloads) == len(sent))
            self.assertEqual(sent, server.payloads)
            server.channels[0].send(b"back", 0.0)
            await wait_for(lambda: client.payloads)
            self.assertEqual([b"back"], client.payloads)
            channel.close()
            await wait_for(lambda: server.closes)
            self.assertEqual([], client.closes)
            listener.close()

    @run_async
    async def test_refused_connection_is_reported(self):
        """Guards against shards that wait for a VM that refused the connection.

        The refusal arrives after `Channel.open` has returned.
        """
        ports = PortReservations()
        self.addCleanup(ports.close)
        async with open_reactor() as reactor:
            client = RecordingOwner()
            channel = Channel.open(reactor, ports.reserve(), client)
            channel.send(b"x", 0.0)
            await wait_for(lambda: client.closes)
            self.assertEqual(["ECONNREFUSED"], client.closes)

    @run_async
    async def test_channel_to_peer_that_does_not_read_is_closed(self):
        """Guards against a send buffer that grows without bound.

        A paused VM keeps its connections open but does not read from them.
        """
        with socket.create_server(("127.0.0.1", 0)) as non_reading_peer:
            host, port = non_reading_peer.getsockname()
            async with open_reactor() as reactor:
                client = RecordingOwner()
                channel = Channel.open(reactor, f"{host}:{port}", client)
                while not client.closes:
                    channel.send(bytes(MAX_UNSENT_BYTES // 4), 0.0)
                    await trio.lowlevel.checkpoint()
                channel.send(b"more", 0.0)
                self.assertEqual(
                    ["the peer does not read from the connection"], client.closes
                )

    @run_async
    async def test_channels_of_other_vms_are_bounded(self):
        """Guards against frames that never end and fill the memory of a VM.

        The largest is closed at the limit of the bytes, and a channel beyond the limit
        of the number is closed at once.
        """
        limits = MemoryLimits(160, 1024)
        limits.held_bytes, limits.channels = 1_000_000, 2
        memory = MemoryAccount(limits)
        async with open_reactor() as reactor:
            server = RecordingOwner()
            listener = ChannelListener(reactor, ANY_PORT, server, memory)
            host, port = listener.address.split(":")
            streams = [await trio.open_tcp_stream(host, int(port)) for _ in range(3)]
            with trio.fail_after(5):
                self.assertEqual(b"", await streams[2].receive_some(1))
            for stream, size in zip(streams, (600_000, 300_000), strict=False):
                await stream.send_all((8_000_000).to_bytes(4, "big") + bytes(size))
            await wait_for(lambda: server.closes)
            self.assertEqual(["no room for its buffered bytes"], server.closes)
            await wait_for(lambda: memory.held_bytes == 300_004)
            await streams[1].aclose()
            await wait_for(lambda: memory.held_bytes == 0)
            self.assertEqual(0, memory.count_connections(Source.CHANNEL))
            for stream in streams:
                await stream.aclose()
            listener.close()

    @run_async
    async def test_oversized_length_prefix_closes_the_channel(self):
        """Guards against buffering a frame whose length prefix is too large."""
        async with open_reactor() as reactor:
            server = RecordingOwner()
            listener = ChannelListener(reactor, ANY_PORT, server)
            host, port = listener.address.split(":")
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(b"\xff\xff\xff\xff")
            await wait_for(lambda: server.closes)
            await stream.aclose()
            listener.close()
