"""Channels to the VMs that run subsearches for this one, and the choice among them."""

import collections
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

SPARE_VMS = 2
"""Number of spare VMs per failure domain. They rank next after the leaders, and
channels to them are kept open for failover."""

SLOW_ACK_S = 0.02
"""A VM whose mean acknowledgement time reaches this threshold is not used."""

ACK_WEIGHT = 0.3
"""Weight of the newest acknowledgement time in a VM's moving average."""

SLOW_ACK_EXPIRY_S = 2.0
"""Time since its latest acknowledgement after which a slow VM is used again."""

HELLO_TIMEOUT_S = 0.8
"""Time to wait for the answer to a hello message before the channel is reopened."""

RECONNECT_MIN_S = 0.25
RECONNECT_MAX_S = 2.0
"""Bounds of the delay between two attempts to open a channel."""

SUSPECT_MIN_S = 0.25
SUSPECT_MAX_S = 4.0
"""Bounds of the time for which a VM is not used after an acknowledgement timeout. The
time doubles with each consecutive timeout."""

MAX_CACHED_ASSIGNMENTS = 64
"""Maximum number of cached assignments. There is one for each combination of services
and usable VMs."""


class Delegate:
    """Another VM that runs subsearches for this one.

    Parameters
    ----------
    vm : fleet.VmInfo
    own_id : str
    reactor : reactor.Reactor

    Attributes
    ----------
    open_subsearches : dict of int to DelegatedShards
        Shards whose final answer is pending, by the number of their subsearch.
    mean_ack_s : float
        Moving average of the time from a subsearch to its acknowledgement, in seconds.
    """

    __slots__ = (
        "vm",
        "open_subsearches",
        "mean_ack_s",
        "_own_id",
        "_reactor",
        "_channel",
        "_numbers",
        "_is_hello_answered",
        "_is_going_away",
        "_hello_sent_at",
        "_suspect_until",
        "_ack_timeouts",
        "_last_ack_at",
        "_next_connect_at",
        "_connect_attempts",
    )

    def __init__(self, vm, own_id, reactor):
        self.vm = vm
        self.open_subsearches = {}
        self._own_id = own_id
        self._reactor = reactor
        self._channel = None
        self._numbers = itertools.count(1)
        self._is_hello_answered = False
        self._is_going_away = False
        self._hello_sent_at = 0.0
        self._suspect_until = 0.0
        self._ack_timeouts = 0
        self.mean_ack_s = 0.0
        self._last_ack_at = 0.0
        self._next_connect_at = 0.0
        self._connect_attempts = 0

    def is_usable(self, now):
        """Whether the VM can be sent a subsearch.

        It must have answered a hello message, and must not be shutting down, suspect
        after an acknowledgement timeout, or slow.
        """
        if (
            not self._is_hello_answered
            or self._is_going_away
            or now < self._suspect_until
        ):
            return False
        return (
            self.mean_ack_s < SLOW_ACK_S or now - self._last_ack_at > SLOW_ACK_EXPIRY_S
        )

    def send_subsearch(self, shards, subsearch, now):
        """Send a subsearch and register its shards for the answers.

        Parameters
        ----------
        shards : DelegatedShards
            Receives the number of the subsearch, and is notified of its answers.
        subsearch : Subsearch
        now : float
        """
        subsearch.number = next(self._numbers)
        self.open_subsearches[subsearch.number] = shards
        shards.number = subsearch.number
        self._send(subsearch, now)

    def permit_retries(self, number, now):
        """Permit the VM to retry shards of a subsearch."""
        self._send(RetryPermission(number), now)

    def cancel(self, number, now):
        """Cancel a subsearch; later answers to it are dropped."""
        if self.open_subsearches.pop(number, None) is not None:
            self._send(Cancellation(number), now)

    def record_acknowledgement(self, elapsed_s, now):
        """Update the mean acknowledgement time."""
        if now - self._last_ack_at > SLOW_ACK_EXPIRY_S:
            self.mean_ack_s = elapsed_s
        self.mean_ack_s += ACK_WEIGHT * (elapsed_s - self.mean_ack_s)
        self._last_ack_at = now
        self._ack_timeouts = 0

    def record_ack_timeout(self, now):
        """Stop using the VM until a backoff delay has passed and it answers a hello."""
        delay_s = compute_backoff_s(self._ack_timeouts, SUSPECT_MIN_S, SUSPECT_MAX_S)
        self._ack_timeouts += 1
        self._suspect_until = now + delay_s
        if self._is_hello_answered:
            logger.warning("VM %s does not acknowledge a subsearch", self.vm.vm_id)
            self._send_hello(now)

    def maintain_channel(self, now):
        """Open the channel, or close it if its hello message is not answered."""
        if self._channel is None:
            if now >= self._next_connect_at:
                self._connect(now)
        elif (
            not self._is_hello_answered and now - self._hello_sent_at > HELLO_TIMEOUT_S
        ):
            self._channel.close()
            self.handle_close(self._channel, "no answer to a hello message", now)

    def close(self, now):
        """Close the channel and report its open subsearches as lost."""
        if self._channel is not None:
            self._channel.close()
            self.handle_close(self._channel, "no longer needed", now)

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
            self._handle_message(message, now)

    def handle_close(self, channel, reason, now):
        """See `channels.ChannelOwner`."""
        if channel is not self._channel:
            return
        if self._is_hello_answered:
            logger.info(
                "channel to another VM ended",
                extra={"vm": self.vm.vm_id, "reason": reason},
            )
        self._channel = None
        self._is_hello_answered = False
        self._is_going_away = False
        self._schedule_connect(now)
        lost = list(self.open_subsearches.values())
        self.open_subsearches.clear()
        for shards in lost:
            shards.handle_channel_loss(reason, now)

    def _handle_message(self, message, now):
        if isinstance(message, Hello):
            if not self._is_hello_answered:
                logger.info("channel to another VM", extra={"vm": self.vm.vm_id})
            self._is_hello_answered = True
            self._connect_attempts = 0
        elif isinstance(message, GoAway):
            self._is_going_away = True
        elif isinstance(message, Acknowledgement):
            shards = self.open_subsearches.get(message.number)
            if shards is not None:
                shards.handle_acknowledged(now)
        elif isinstance(message, SubsearchAnswer):
            shards = self.open_subsearches.get(message.number)
            if message.is_final:
                self.open_subsearches.pop(message.number, None)
            if shards is not None:
                shards.handle_answer(message, now)

    def _connect(self, now):
        self._schedule_connect(now)
        try:
            address = self.vm.search_address
            self._channel = Channel.open(self._reactor, address, self)
        except (OSError, ValueError) as error:
            logger.warning("cannot open a channel to VM %s: %s", self.vm.vm_id, error)
            return
        self._send_hello(now)

    def _send_hello(self, now):
        self._is_hello_answered = False
        self._hello_sent_at = now
        self._send(Hello(self._own_id), now)

    def _schedule_connect(self, now):
        attempts = self._connect_attempts
        delay_s = compute_backoff_s(attempts, RECONNECT_MIN_S, RECONNECT_MAX_S)
        self._connect_attempts += 1
        self._next_connect_at = now + delay_s

    def _send(self, message, now):
        if self._channel is not None:
            self._channel.send(message.encode(), now)


class DomainLeaders:
    """The leaders of one failure domain, and the spare VMs that can replace them.

    Parameters
    ----------
    vms : list of fleet.VmInfo
        All VMs of the domain.

    Attributes
    ----------
    ranked_vms : list of fleet.VmInfo
        The leaders, then the spare VMs.
    """

    __slots__ = ("ranked_vms", "_leader_count")

    def __init__(self, vms):
        ranked = leaders.rank_vms(vms)
        self._leader_count = leaders.count_leaders(len(ranked))
        self.ranked_vms = ranked[: self._leader_count + SPARE_VMS]

    def choose(self, is_usable):
        """Return the usable leaders, or the usable spare VMs if no leader is usable.

        If only some leaders are usable, no spare VM is added to them, because spare VMs
        are slower and have fewer recent measurements of the targets.
        """
        for vms in (
            self.ranked_vms[: self._leader_count],
            self.ranked_vms[self._leader_count :],
        ):
            usable = [vm for vm in vms if is_usable(vm)]
            if usable:
                return usable
        return []


class Delegates:
    """The VMs to which this VM delegates shards.

    Each shard goes to the leaders of a failure domain that has a target of it: this
    VM's own domain if possible, otherwise one that all VMs of this domain choose alike.
    So a target is normally asked by one leader in its own domain, which learns how fast
    it is, and only merged answers are sent between domains.

    Parameters
    ----------
    own_vm : fleet.VmInfo
    reactor : reactor.Reactor
    list_served_domains : callable
        Takes a service; returns the set of failure domains with a usable target of it.
    """

    __slots__ = (
        "_own_vm",
        "_reactor",
        "_list_served_domains",
        "_domain_leaders",
        "_delegates",
        "_assignments",
    )

    def __init__(self, own_vm, reactor, list_served_domains):
        self._own_vm = own_vm
        self._reactor = reactor
        self._list_served_domains = list_served_domains
        self._domain_leaders = {}
        self._delegates = {}
        self._assignments = {}

    def update(self, vms, domains, now):
        """Update the VMs, and the failure domains whose leaders are used.

        Parameters
        ----------
        vms : list of fleet.VmInfo
        domains : list of str
            The first one replaces a VM that fails, so long as its leaders are usable.
        now : float
        """
        self._domain_leaders = {
            domain: DomainLeaders([vm for vm in vms if vm.domain == domain])
            for domain in domains
        }
        wanted = {
            vm.vm_id: vm
            for domain_leaders in self._domain_leaders.values()
            for vm in domain_leaders.ranked_vms
        }
        wanted.pop(self._own_vm.vm_id, None)
        for vm_id, delegate in list(self._delegates.items()):
            vm = wanted.get(vm_id)
            if vm is None or vm.search_address != delegate.vm.search_address:
                del self._delegates[vm_id]
                delegate.close(now)
        for vm_id, vm in wanted.items():
            if vm_id not in self._delegates:
                self._delegates[vm_id] = Delegate(vm, self._own_vm.vm_id, self._reactor)
        self._assignments.clear()

    def plan(self, services, now):
        """See `Delegation`."""
        if len(services) < leaders.MIN_WIDE_SEARCH_SHARDS:
            return services, ()
        usable_by_domain = {}
        for domain, domain_leaders in self._domain_leaders.items():
            usable = domain_leaders.choose(lambda vm: self._is_usable(vm, now))
            if usable:
                usable_by_domain[domain] = usable
        if not usable_by_domain:
            return services, ()
        assigned = self._get_assignment(services, usable_by_domain)
        own_services = assigned.get(self._own_vm.vm_id, ())
        delegated_services = [
            (self._delegates[vm_id], vm_services)
            for vm_id, vm_services in assigned.items()
            if vm_id != self._own_vm.vm_id
        ]
        return own_services, delegated_services

    def choose_untried(self, tried, now):
        """See `Delegation`."""
        for domain_leaders in self._domain_leaders.values():
            for vm in domain_leaders.ranked_vms:
                delegate = self._delegates.get(vm.vm_id)
                if delegate is None or delegate in tried:
                    continue
                if delegate.is_usable(now):
                    return delegate
        return None

    def count_usable(self, now):
        """Return the number of other VMs that can be sent a subsearch now."""
        return sum(delegate.is_usable(now) for delegate in self._delegates.values())

    def maintain_channels(self, now):
        """Keep the channels of all delegates open."""
        for delegate in self._delegates.values():
            delegate.maintain_channel(now)

    def _is_usable(self, vm, now):
        if vm.vm_id == self._own_vm.vm_id:
            return True
        return self._delegates[vm.vm_id].is_usable(now)

    def _get_assignment(self, services, usable_by_domain):
        usable_ids = (vm.vm_id for vms in usable_by_domain.values() for vm in vms)
        key = (services, *usable_ids)
        assigned = self._assignments.get(key)
        if assigned is None:
            if len(self._assignments) >= MAX_CACHED_ASSIGNMENTS:
                self._assignments.clear()
            assigned = self._assignments[key] = self._compute_assignment(
                services, usable_by_domain
            )
        return assigned

    def _compute_assignment(self, services, usable_by_domain):
        """Return the services by the id of the VM that sends requests to their targets.

        `usable_by_domain` has a list of VMs for each domain with a usable VM.
        """
        services_by_domain = collections.defaultdict(list)
        for service in services:
            domain = self._choose_domain(service, usable_by_domain)
            services_by_domain[domain].append(service)
        assigned = {}
        for domain, domain_services in services_by_domain.items():
            usable = usable_by_domain[domain]
            assigned.update(leaders.assign_shards(domain_services, usable))
        return assigned

    def _choose_domain(self, service, usable_by_domain):
        """Return the domain whose leaders send the requests for a shard.

        The VMs of different domains choose differently, so that the requests are spread
        over the targets of the shard.
        """
        served = self._list_served_domains(service)
        domains = [domain for domain in usable_by_domain if domain in served]
        if not domains:
            domains = list(usable_by_domain)
        own_domain = self._own_vm.domain
        if own_domain in domains:
            return own_domain
        return max(
            domains,
            key=lambda domain: leaders.hash_to_fraction(
                f"{service} {domain} {own_domain}"
            ),
        )
