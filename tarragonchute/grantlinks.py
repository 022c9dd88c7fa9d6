"""Channels over which VMs ask each other for tokens of allowances."""

import logging
import math
import random

import trio

from .allowances import Allowances
from .backoff import compute_backoff_s
from .channels import Channel
from .errors import ProtocolError
from .gatewaymetrics import ALLOWANCE_ASKS
from .grantmessages import ASK_PREFIX, Answer, Ask, decode_grant_message
from .grantroles import RoleTable
from .grants import GrantBook

logger = logging.getLogger(__name__)

SUSPECT_MIN_S = 0.25
SUSPECT_MAX_S = 2.0
"""Bounds of the time for which a VM is not asked after it has not answered or the
channel was lost. The time doubles with each consecutive failure."""

MAX_TIMEOUTS = 2
"""Consecutive timeouts after which a channel is opened anew. The network may have
dropped it, and TCP would repeat the data only after ever longer times."""

MAX_IDLE_S = 60.0
"""Time without an ask after which a channel is closed, to save descriptors."""


class GrantLink:
    """The channel to one VM, opened by the first ask.

    Parameters
    ----------
    vm : fleet.VmInfo
    reactor : reactor.Reactor
    links : GrantLinks
    """

    __slots__ = (
        "vm",
        "_reactor",
        "_links",
        "_channel",
        "_failures",
        "_suspect_until",
        "_timeouts",
        "_used_at",
    )

    def __init__(self, vm, reactor, links):
        self.vm = vm
        self._reactor = reactor
        self._links = links
        self._channel = None
        self._failures = 0
        self._suspect_until = -math.inf
        self._timeouts = 0
        self._used_at = -math.inf

    def is_usable(self, now):
        """Whether the VM may be asked now."""
        return now >= self._suspect_until

    def send(self, ask, now):
        """Send an ask; return whether it was sent or will be once connected.

        After a failure one ask tests whether the VM answers again; until then, no
        other request waits for it.
        """
        self._used_at = now
        if self._failures:
            self._suspect(now)
        if self._channel is None:
            try:
                self._channel = Channel.open(
                    self._reactor, self.vm.search_address, self
                )
            except (OSError, ValueError) as error:
                logger.warning("cannot reach VM %s: %s", self.vm.vm_id, error)
                self._record_failure(now)
                return False
        self._channel.send(ask.encode(), now)
        return True

    def record_timeout(self, now):
        """Suspect the VM, which has not answered in time."""
        self._record_failure(now)
        self._timeouts += 1
        if self._timeouts >= MAX_TIMEOUTS:
            self.close("no answer", now)

    def close_if_idle(self, now):
        """Close a channel that was not used for a while."""
        if self._channel is not None and now - self._used_at > MAX_IDLE_S:
            self.close("idle", now)

    def close(self, reason, now):
        """Close the channel; its open asks are lost."""
        channel, self._channel = self._channel, None
        self._timeouts = 0
        if channel is not None:
            channel.close()
            self._links.handle_loss(self.vm.vm_id, reason, now)

    def handle_frames(self, channel, payloads, now):
        """See `channels.ChannelOwner`."""
        if channel is not self._channel:
            return
        try:
            answers = [decode_grant_message(payload) for payload in payloads]
        except ProtocolError as error:
            self._record_failure(now)
            self.close(str(error), now)
            return
        self._failures = self._timeouts = 0
        self._suspect_until = -math.inf
        for answer in answers:
            if isinstance(answer, Answer):
                self._links.handle_answer(self.vm.vm_id, answer, now)

    def handle_close(self, channel, reason, now):
        """See `channels.ChannelOwner`."""
        if channel is self._channel:
            self._channel = None
            self._timeouts = 0
            self._record_failure(now)
            self._links.handle_loss(self.vm.vm_id, reason, now)

    def _record_failure(self, now):
        self._failures += 1
        self._suspect(now)

    def _suspect(self, now):
        failures = max(self._failures - 1, 0)
        delay_s = compute_backoff_s(failures, SUSPECT_MIN_S, SUSPECT_MAX_S)
        self._suspect_until = now + delay_s


class GrantLinks:
    """The channels to the VMs that may grant tokens.

    Parameters
    ----------
    own_id : str
    reactor : reactor.Reactor

    Attributes
    ----------
    handler : allowances.Allowances or None
        Is told the answers and the loss of channels.
    """

    __slots__ = ("handler", "_own_id", "_reactor", "_links")

    def __init__(self, own_id, reactor):
        self.handler = None
        self._own_id = own_id
        self._reactor = reactor
        self._links = {}

    def set_vms(self, vms_by_id, now):
        """Set the VMs that may be asked."""
        for vm_id, link in list(self._links.items()):
            vm = vms_by_id.get(vm_id)
            if vm is None or vm.search_address != link.vm.search_address:
                del self._links[vm_id]
                link.close("no longer needed", now)
        for vm_id, vm in vms_by_id.items():
            if vm_id not in self._links and vm_id != self._own_id:
                self._links[vm_id] = GrantLink(vm, self._reactor, self)

    def is_usable(self, vm_id, now):
        """Whether a VM may be asked now."""
        link = self._links.get(vm_id)
        return link is not None and link.is_usable(now)

    def send(self, vm_id, ask, now):
        """Send an ask to a VM; return whether it was sent."""
        return self._links[vm_id].send(ask, now)

    def record_timeout(self, vm_id, now):
        """Suspect a VM that has not answered in time."""
        link = self._links.get(vm_id)
        if link is not None:
            link.record_timeout(now)

    def sweep(self, now):
        """Close idle channels."""
        for link in self._links.values():
            link.close_if_idle(now)

    def handle_answer(self, vm_id, answer, now):
        """Pass on an answer."""
        self.handler.handle_answer(vm_id, answer, now)

    def handle_loss(self, vm_id, reason, now):
        """Report the loss of a channel."""
        logger.info(
            "channel for allowances ended", extra={"vm": vm_id, "reason": reason}
        )
        self.handler.handle_link_loss(vm_id, now)


class GrantServer:
    """Answers the asks that arrive on channels from other VMs.

    Parameters
    ----------
    book : grants.GrantBook
    metrics : gatewaymetrics.GatewayMetrics
    clock : callable
        Returns monotonic seconds. It is read for each answer, because the process may
        have been paused after the asks were read.
    get_pause_s : callable
        As `shardserver.ShardServer.get_pause_s`.
    """

    __slots__ = ("_book", "_metrics", "_clock", "_get_pause_s")

    def __init__(self, book, metrics, clock, get_pause_s):
        self._book = book
        self._metrics = metrics
        self._clock = clock
        self._get_pause_s = get_pause_s

    def handle_frames(self, channel, payloads, now):
        """See `channels.ChannelOwner`."""
        try:
            asks = [decode_grant_message(payload) for payload in payloads]
        except ProtocolError as error:
            logger.warning("closed a channel from another VM: %s", error)
            channel.close()
            return
        for ask in asks:
            if isinstance(ask, Ask):
                self._answer(channel, ask)

    def handle_close(self, channel, reason, now):
        """See `channels.ChannelOwner`."""

    def _answer(self, channel, ask):
        self._metrics.count(ALLOWANCE_ASKS)
        now = self._clock()
        if self._get_pause_s(now):
            # The sender has asked another VM meanwhile.
            answer = Answer(ask.number, True, 0)
        else:
            answer = self._book.answer(ask, now)
        channel.send(answer.encode(), now)


class ChannelDispatcher:
    """Hands each accepted channel to its owner, which its first message tells.

    Parameters
    ----------
    grant_server : GrantServer
    other_owner : channels.ChannelOwner
        Owner of all channels that do not begin with an `Ask`.
    """

    __slots__ = ("_grant_server", "_other_owner")

    def __init__(self, grant_server, other_owner):
        self._grant_server = grant_server
        self._other_owner = other_owner

    def handle_frames(self, channel, payloads, now):
        """See `channels.ChannelOwner`; not called again for the channel."""
        is_ask = payloads[0].startswith(ASK_PREFIX)
        owner = self._grant_server if is_ask else self._other_owner
        channel.set_owner(owner)
        owner.handle_frames(channel, payloads, now)

    def handle_close(self, channel, reason, now):
        """See `channels.ChannelOwner`; the channel ended before its first message."""


def build_allowances(bounds, fleet, reactor, shard_server, metrics):
    """Return the `Allowances` of a VM, and the owner of the channels that it accepts.

    Parameters
    ----------
    bounds : grants.AllowanceBounds
    fleet : fleet.Fleet
    reactor : reactor.Reactor
    shard_server : shardserver.ShardServer
    metrics : gatewaymetrics.GatewayMetrics
    """
    own_vm = fleet.own_vm
    own_vm.keeps_allowances = True
    source = random.Random()
    roles = RoleTable(own_vm.vm_id, fleet.key_lease)
    book = GrantBook(own_vm.vm_id, own_vm.domain, bounds, roles, source)
    links = GrantLinks(own_vm.vm_id, reactor)
    allowances = Allowances(own_vm, roles, book, links, metrics, source)
    links.handler = allowances

    def get_pause_s(now):
        return shard_server.get_pause_s(now)

    server = GrantServer(book, metrics, trio.current_time, get_pause_s)
    return allowances, ChannelDispatcher(server, shard_server)
