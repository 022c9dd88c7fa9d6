"""The other VMs that search shards for this one: channels to them, and their choice."""

import itertools
import logging

from . import leaders
from .backoff import compute_backoff_s
from .channels import Channel
from .errors import ProtocolError
from .subsearches import (
    Acknowledgement,
    Cancellation,
    GoAway,
    Hello,
    RetryPermission,
    SubsearchAnswer,
    decode_message,
)

logger = logging.getLogger(__name__)

SPARES = 2
"""VMs after the leaders to which a channel is kept, to take a lost leader's place."""

SLOW_ACK_S = 0.02
"""Usual time to an acknowledgement above which a VM is passed over."""

ACK_WEIGHT = 0.3
"""Weight of the newest acknowledgement in a VM's usual time."""

ACK_MEMORY_S = 2.0
"""Time after which a VM that was passed over as slow is tried again."""

GREETING_TIMEOUT_S = 0.8
"""Wait for the answer to a greeting before the channel is opened anew."""

RECONNECT_MIN_S = 0.25
RECONNECT_MAX_S = 2.0
"""Shortest and longest time between two attempts to open a channel."""

SUSPECT_MIN_S = 0.25
SUSPECT_MAX_S = 4.0
"""First and longest time for which a silent VM is passed over; it doubles."""

MAX_PLANS = 64
"""Assignments that are kept; there is one for each route and set of leaders."""


class Delegate:
    """Another VM that searches shards for this one.

    Parameters
    ----------
    vm : fleet.VmInfo
    own_id : str
    reactor : reactor.Reactor

    Attributes
    ----------
    open_shares : dict of int to DelegatedShards
        By the number of the subsearch.
    """

    __slots__ = (
        "vm",
        "open_shares",
        "_own_id",
        "_reactor",
        "_channel",
        "_numbers",
        "_is_greeted",
        "_is_leaving",
        "_greeted_at",
        "_suspect_until",
        "_failures",
        "_ack_s",
        "_acked_at",
        "_connect_at",
        "_connect_failures",
    )

    def __init__(self, vm, own_id, reactor):
        self.vm = vm
        self.open_shares = {}
        self._own_id = own_id
        self._reactor = reactor
        self._channel = None
        self._numbers = itertools.count(1)
        self._is_greeted = False
        self._is_leaving = False
        self._greeted_at = 0.0
        self._suspect_until = 0.0
        self._failures = 0
        self._ack_s = 0.0
        self._acked_at = 0.0
        self._connect_at = 0.0
        self._connect_failures = 0

    def is_usable(self, now):
        """Whether it answered, does not stop and is not slow."""
        if not self._is_greeted or self._is_leaving or now < self._suspect_until:
            return False
        return self._ack_s < SLOW_ACK_S or now - self._acked_at > ACK_MEMORY_S

    def start(self, share, subsearch, now):
        """Send a `Subsearch` whose answers go to a `DelegatedShards`."""
        subsearch.number = next(self._numbers)
        self.open_shares[subsearch.number] = share
        share.number = subsearch.number
        self._send(subsearch, now)

    def permit(self, number, now):
        """Let the VM try shards of a subsearch again."""
        self._send(RetryPermission(number), now)

    def cancel(self, number, now):
        """End a subsearch; its answers are dropped from now on."""
        if self.open_shares.pop(number, None) is not None:
            self._send(Cancellation(number), now)

    def note_acknowledged(self, elapsed_s, now):
        """Learn how long it took to acknowledge."""
        if now - self._acked_at > ACK_MEMORY_S:
            self._ack_s = elapsed_s
        self._ack_s += ACK_WEIGHT * (elapsed_s - self._ack_s)
        self._acked_at = now
        self._failures = 0

    def note_silent(self, now):
        """Pass the VM over until it has answered a greeting, and for a time."""
        delay_s = compute_backoff_s(self._failures, SUSPECT_MIN_S, SUSPECT_MAX_S)
        self._failures += 1
        self._suspect_until = now + delay_s
        if self._is_greeted:
            logger.warning("VM %s does not acknowledge a subsearch", self.vm.vm_id)
            self._greet(now)

    def sweep(self, now):
        """Open the channel, or open it anew if nobody answers on it."""
        if self._channel is None:
            if now >= self._connect_at:
                self._connect(now)
        elif not self._is_greeted and now - self._greeted_at > GREETING_TIMEOUT_S:
            self._channel.close()
            self.handle_close(self._channel, "no answer to a greeting", now)

    def close(self, now):
        """Close the channel; what is open on it is lost."""
        if self._channel is not None:
            self._channel.close()
            self.handle_close(self._channel, "not needed any more", now)

    def handle_frames(self, channel, payloads, now):
        """See `channels.ChannelOwner`."""
        if channel is not self._channel:
            return
        try:
            messages = [decode_message(payload) for payload in payloads]
        except ProtocolError as error:
            channel.close()
            self.handle_close(channel, str(error), now)
            return
        for message in messages:
            self._take(message, now)

    def handle_close(self, channel, reason, now):
        """See `channels.ChannelOwner`."""
        if channel is not self._channel:
            return
        if self._is_greeted:
            logger.info(
                "channel to another VM ended",
                extra={"vm": self.vm.vm_id, "reason": reason},
            )
        self._channel = None
        self._is_greeted = False
        self._is_leaving = False
        self._schedule_connect(now)
        lost = list(self.open_shares.values())
        self.open_shares.clear()
        for share in lost:
            share.handle_lost(reason, now)

    def _take(self, message, now):
        if isinstance(message, Hello):
            if not self._is_greeted:
                logger.info("channel to another VM", extra={"vm": self.vm.vm_id})
            self._is_greeted = True
            self._connect_failures = 0
        elif isinstance(message, GoAway):
            self._is_leaving = True
        elif isinstance(message, Acknowledgement):
            share = self.open_shares.get(message.number)
            if share is not None:
                share.handle_acknowledged(now)
        elif isinstance(message, SubsearchAnswer):
            share = self.open_shares.get(message.number)
            if message.is_final:
                self.open_shares.pop(message.number, None)
            if share is not None:
                share.handle_answer(message, now)

    def _connect(self, now):
        self._schedule_connect(now)
        try:
            address = self.vm.search_address
            self._channel = Channel.open(self._reactor, address, self)
        except (OSError, ValueError) as error:
            logger.warning("no channel to VM %s: %s", self.vm.vm_id, error)
            return
        self._greet(now)

    def _greet(self, now):
        self._is_greeted = False
        self._greeted_at = now
        self._send(Hello(self._own_id), now)

    def _schedule_connect(self, now):
        failures = self._connect_failures
        delay_s = compute_backoff_s(failures, RECONNECT_MIN_S, RECONNECT_MAX_S)
        self._connect_failures += 1
        self._connect_at = now + delay_s

    def _send(self, message, now):
        if self._channel is not None:
            self._channel.send(message.encode(), now)


class DomainLeaders:
    """The leaders of one failure domain, and the spare VMs behind them.

    Parameters
    ----------
    vms : list of fleet.VmInfo
        All VMs of the domain.
    """

    __slots__ = ("vms", "_count")

    def __init__(self, vms):
        ranked = leaders.rank_vms(vms)
        self._count = leaders.count_leaders(len(ranked))
        self.vms = ranked[: self._count + SPARES]

    def choose(self, is_usable):
        """Return the usable leaders, or the usable spare VMs if there is none.

        A spare VM is slower and knows less of the targets than a leader that is left.
        """
        for vms in (self.vms[: self._count], self.vms[self._count :]):
            usable = [vm for vm in vms if is_usable(vm)]
            if usable:
                return usable
        return []


class Delegates:
    """The leaders that this VM uses.

    Shards with a replica in the home domain go to its leaders, the others to those of
    another domain, because one merged answer costs far less than the replies that it
    is made of.

    Parameters
    ----------
    own : fleet.VmInfo
    reactor : reactor.Reactor
    is_served_in : callable
        Takes a service and a failure domain; whether the service has a target there.
    """

    __slots__ = (
        "_own",
        "_reactor",
        "_is_served_in",
        "_home",
        "_domains",
        "_delegates",
        "_plans",
    )

    def __init__(self, own, reactor, is_served_in):
        self._own = own
        self._reactor = reactor
        self._is_served_in = is_served_in
        self._home = None
        self._domains = []
        self._delegates = {}
        self._plans = {}

    def update(self, vms, domains, now):
        """Take the list of VMs and the failure domains whose leaders are used.

        Parameters
        ----------
        vms : list of fleet.VmInfo
        domains : list of str
            The home domain first.
        now : float
        """
        self._home = domains[0]
        self._domains = [
            DomainLeaders([vm for vm in vms if vm.domain == domain])
            for domain in domains
        ]
        wanted = {vm.vm_id: vm for group in self._domains for vm in group.vms}
        wanted.pop(self._own.vm_id, None)
        for vm_id, delegate in list(self._delegates.items()):
            vm = wanted.get(vm_id)
            if vm is None or vm.search_address != delegate.vm.search_address:
                del self._delegates[vm_id]
                delegate.close(now)
        for vm_id, vm in wanted.items():
            if vm_id not in self._delegates:
                self._delegates[vm_id] = Delegate(vm, self._own.vm_id, self._reactor)
        self._plans.clear()

    def plan(self, services, now):
        """See `Delegation`."""
        if len(services) < leaders.MIN_WIDE_SEARCH_SHARDS:
            return services, ()
        groups = [
            group.choose(lambda vm: self._is_usable(vm, now)) for group in self._domains
        ]
        groups = [vms for vms in groups if vms]
        if not groups:
            return services, ()
        assigned = self._assign(services, groups)
        own = assigned.get(self._own.vm_id, ())
        others = [
            (self._delegates[vm_id], names)
            for vm_id, names in assigned.items()
            if vm_id != self._own.vm_id
        ]
        return own, others

    def choose_other(self, tried, now):
        """See `Delegation`."""
        for group in self._domains:
            for vm in group.vms:
                delegate = self._delegates.get(vm.vm_id)
                if delegate is None or delegate in tried:
                    continue
                if delegate.is_usable(now):
                    return delegate
        return None

    def count_usable(self, now):
        """Return the number of VMs that would take a subsearch now."""
        return sum(delegate.is_usable(now) for delegate in self._delegates.values())

    def sweep(self, now):
        """Keep the channels open."""
        for delegate in self._delegates.values():
            delegate.sweep(now)

    def _is_usable(self, vm, now):
        if vm.vm_id == self._own.vm_id:
            return True
        return self._delegates[vm.vm_id].is_usable(now)

    def _assign(self, services, groups):
        key = (services, *(vm.vm_id for vms in groups for vm in vms))
        assigned = self._plans.get(key)
        if assigned is None:
            if len(self._plans) >= MAX_PLANS:
                self._plans.clear()
            assigned = self._plans[key] = self._deal(services, groups)
        return assigned

    def _deal(self, services, groups):
        """Return the services by VM id."""
        if len(groups) == 1:
            return leaders.assign_shards(services, groups[0])
        near, far = [], []
        for name in services:
            (near if self._is_served_in(name, self._home) else far).append(name)
        return {
            **leaders.assign_shards(near, groups[0]),
            **leaders.assign_shards(far, groups[1]),
        }
