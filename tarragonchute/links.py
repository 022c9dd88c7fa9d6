"""Message transport between VMs: interface, TCP links and an in-memory fake."""

import functools
import logging
from typing import Protocol

import trio

from . import wire
from .errors import ProtocolError
from .frames import FrameReader

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.2
MAX_QUEUED_FRAMES = 4096


class Link(Protocol):
    """Sends messages to other VMs, without a guarantee of delivery."""

    def send(self, vm_id, kind, body, number=0):
        """Queue a message.

        Returns
        -------
        bool
            False if it was dropped: the VM is unknown, not connected, or its queue
            is full. True does not guarantee delivery.
        """

    def set_peers(self, addresses):
        """Replace the known VMs by a dict of vm_id to ``host:port``."""


class TcpLinks:
    """Keeps one outgoing TCP connection to each peer, and accepts theirs.

    Messages to a VM that is not a known peer, such as one that is about to join, are
    sent over the connection that it opened.

    Parameters
    ----------
    vm_id : str
        This VM.
    handle : callable
        Called with each received `wire.Envelope`. It must not block.
    handle_lost : callable or None
        Called with the vm_id of a peer whose outgoing connection ended.
    """

    def __init__(self, vm_id, handle, handle_lost=None):
        self._vm_id = vm_id
        self._handle = handle
        self._handle_lost = handle_lost
        self._peers = {}
        self._inbound = {}
        self._nursery = None

    async def run(self, listeners):
        """Accept and open connections until cancelled.

        Parameters
        ----------
        listeners : list of trio.SocketListener
            Bound by the caller, so that a port in use is reported at startup.
        """
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for peer in self._peers.values():
                nursery.start_soon(peer.run)
            await trio.serve_listeners(self._serve_peer, listeners)

    def set_peers(self, addresses):
        """Replace the known VMs by a dict of vm_id to ``host:port``."""
        for vm_id in list(self._peers):
            if addresses.get(vm_id) != self._peers[vm_id].address:
                self._peers.pop(vm_id).stop()
        for vm_id, address in addresses.items():
            if vm_id != self._vm_id and vm_id not in self._peers:
                self._add_peer(vm_id, address)

    def send(self, vm_id, kind, body, number=0):
        """Queue a message; one to this VM itself is handled immediately."""
        if vm_id == self._vm_id:
            self._handle(wire.Envelope(kind, vm_id, number, body))
            return True
        connection = self._find_connection(vm_id)
        if connection is None:
            return False
        return connection.send(wire.encode_envelope(kind, self._vm_id, number, body))

    def _find_connection(self, vm_id):
        peer = self._peers.get(vm_id)
        if peer is not None and peer.connection is not None:
            return peer.connection
        return self._inbound.get(vm_id)

    def _add_peer(self, vm_id, address):
        peer = _Peer(vm_id, address, self)
        self._peers[vm_id] = peer
        if self._nursery is not None:
            self._nursery.start_soon(peer.run)

    async def _serve_peer(self, stream):
        connection = _Connection(stream)
        try:
            await connection.run(functools.partial(self._receive_inbound, connection))
        finally:
            self._remove_inbound(connection)

    def _receive_inbound(self, connection, envelope):
        self._inbound[envelope.sender] = connection
        self._handle(envelope)

    def _remove_inbound(self, connection):
        lost_vm_ids = [
            k
            for k, inbound_connection in self._inbound.items()
            if inbound_connection is connection
        ]
        for vm_id in lost_vm_ids:
            del self._inbound[vm_id]

    def handle_envelope(self, envelope):
        """Handle an envelope received on an outgoing connection."""
        self._handle(envelope)

    def handle_connection_lost(self, vm_id):
        """Notify the owner that the connection to a peer ended."""
        if self._handle_lost is not None:
            self._handle_lost(vm_id)


class _Connection:
    """One TCP connection, used in both directions."""

    __slots__ = ("_stream", "_frames", "_frames_queued")

    def __init__(self, stream):
        self._stream = stream
        self._frames = []
        self._frames_queued = trio.Event()

    def send(self, frame):
        if len(self._frames) >= MAX_QUEUED_FRAMES:
            return False
        self._frames.append(frame)
        self._frames_queued.set()
        return True

    async def run(self, handle):
        """Receive and send frames until the connection ends."""
        try:
            async with self._stream, trio.open_nursery() as nursery:
                nursery.start_soon(self._send_frames)
                await self._receive(handle)
                nursery.cancel_scope.cancel()
        except* trio.BrokenResourceError:
            pass
        except* ProtocolError as group:
            logger.warning(
                "closed a peer connection after a protocol error: %s",
                group.exceptions[0],
            )

    async def _receive(self, handle):
        reader = FrameReader()
        async for data in self._stream:
            for payload in reader.feed(data):
                handle(wire.decode_envelope(payload))

    async def _send_frames(self):
        # Frames of a broken connection are never sent again, because it is unknown
        # whether they arrived.
        while True:
            while not self._frames:
                self._frames_queued = trio.Event()
                await self._frames_queued.wait()
            data = b"".join(self._frames)
            self._frames.clear()
            await self._stream.send_all(data)


class _Peer:
    """The outgoing connection to one VM."""

    __slots__ = ("vm_id", "address", "connection", "_links", "_scope")

    def __init__(self, vm_id, address, links):
        self.vm_id = vm_id
        self.address = address
        self.connection = None
        self._links = links
        self._scope = trio.CancelScope()

    def stop(self):
        self.connection = None
        self._scope.cancel()

    async def run(self):
        with self._scope:
            while True:
                await self._connect_and_run()
                await trio.sleep(RECONNECT_DELAY_S)

    async def _connect_and_run(self):
        host, _, port = self.address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            return
        self.connection = _Connection(stream)
        try:
            await self.connection.run(self._links.handle_envelope)
        finally:
            self.connection = None
        self._links.handle_connection_lost(self.vm_id)


class MemoryNetwork:
    """In-memory transport for tests: connects `MemoryLink` objects and injects faults.

    Parameters
    ----------
    random : random.Random
        Chooses the order of reordered messages; seed it for a reproducible run.

    Attributes
    ----------
    cuts : set of (str, str)
        Directed pairs of sender and addressee whose messages are dropped.
    duplicates : bool
        Deliver each message twice.
    reorders : bool
        Deliver queued messages in random order.
    """

    def __init__(self, random):
        self._random = random
        self._links = {}
        self._queue = []
        self.cuts = set()
        self.duplicates = False
        self.reorders = False

    def connect(self, vm_id, handle):
        """Return the link of a VM; `handle` is called with each received envelope."""
        link = MemoryLink(self, vm_id, handle)
        self._links[vm_id] = link
        return link

    def disconnect(self, vm_id):
        """Remove the link of a VM, as if it was killed."""
        self._links.pop(vm_id, None)

    def cut(self, vm_id, other_vm_id):
        """Drop messages between two VMs in both directions from now on."""
        self.cuts |= {(vm_id, other_vm_id), (other_vm_id, vm_id)}

    def heal(self):
        """Stop dropping messages."""
        self.cuts.clear()

    def queue(self, sender, addressee, kind, body, number):
        """Queue a message for `deliver`.

        Returns
        -------
        bool
            False if it was dropped.
        """
        if (sender, addressee) in self.cuts or addressee not in self._links:
            return False
        frame = wire.encode_envelope(kind, sender, number, body)
        copies = 2 if self.duplicates else 1
        self._queue += [(sender, addressee, frame)] * copies
        return True

    def deliver(self):
        """Deliver all queued messages, and those sent in response."""
        while self._queue:
            index = 0
            if self.reorders:
                index = self._random.randrange(len(self._queue))
            sender, addressee, frame = self._queue.pop(index)
            link = self._links.get(addressee)
            if link is not None and (sender, addressee) not in self.cuts:
                (payload,) = FrameReader().feed(frame)
                link.handle(wire.decode_envelope(payload))


class MemoryLink:
    """Link of one VM to a `MemoryNetwork`."""

    __slots__ = ("_network", "_vm_id", "handle")

    def __init__(self, network, vm_id, handle):
        self._network = network
        self._vm_id = vm_id
        self.handle = handle

    def send(self, vm_id, kind, body, number=0):
        """Queue a message in the network."""
        return self._network.queue(self._vm_id, vm_id, kind, body, number)

    def set_peers(self, addresses):
        """Do nothing, because the network knows all links."""
