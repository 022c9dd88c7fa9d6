"""Hands shards of a wide search to the leaders of a failure domain.

Nothing waits for a leader that may be gone. One that does not acknowledge at once is
passed over for the next one, and for this VM itself where there is none.
"""

import enum
import itertools
import logging
from typing import Protocol

from . import leaders
from .channels import Channel
from .errors import ProtocolError
from .subsearches import (
    Acknowledgement,
    Cancellation,
    Farewell,
    Greeting,
    SubsearchAnswer,
    decode_message,
)

logger = logging.getLogger(__name__)

SPARES = 2
"""VMs after the leaders to which a channel is kept, to take a lost leader's place."""

ACK_TIMEOUT_S = 0.015
ACK_GOAL_SHARE = 0.25
"""Wait for an acknowledgement: this time, or this part of a longer goal. Within a
region it takes 1 to 6 ms; a VM that handles the replies of other searches is busy for
some milliseconds, and asking its shards again costs retry budget."""

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


class Delegation(Protocol):
    """Finds other VMs for the shards of a search."""

    def plan(self, services, now):
        """Divide the shards of a search.

        Parameters
        ----------
        services : tuple of str
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of (list of str, list of (Delegate, list of str))
            Services that this VM asks itself, and those for other VMs.
        """

    def choose_other(self, tried, now):
        """Return a usable `Delegate` that is not among those tried, or None."""


class NoDelegation:
    """A VM that asks all targets itself."""

    __slots__ = ()

    def plan(self, services, now):
        """See `Delegation`."""
        return services, ()

    def choose_other(self, tried, now):
        """See `Delegation`."""
        return


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
        delay_s = min(SUSPECT_MIN_S * 2**self._failures, SUSPECT_MAX_S)
        self._failures = min(self._failures + 1, 8)
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
        if isinstance(message, Greeting):
            if not self._is_greeted:
                logger.info("channel to another VM", extra={"vm": self.vm.vm_id})
            self._is_greeted = True
            self._connect_failures = 0
        elif isinstance(message, Farewell):
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
        self._send(Greeting(self._own_id), now)

    def _schedule_connect(self, now):
        delay_s = min(RECONNECT_MIN_S * 2**self._connect_failures, RECONNECT_MAX_S)
        self._connect_failures = min(self._connect_failures + 1, 8)
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
        usable = [vm for vm in self.vms if is_usable(vm)]
        chosen = [vm for vm in self.vms[: self._count] if vm in usable]
        return chosen or usable


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
        if len(services) < leaders.WIDE_SHARDS:
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
        near = [name for name in services if self._is_served_in(name, self._home)]
        far = [name for name in services if name not in near]
        return {
            **leaders.assign_shards(near, groups[0]),
            **leaders.assign_shards(far, groups[1]),
        }


class ShareState(enum.Enum):
    """Progress of the shards that one VM was handed."""

    SENT = "sent"
    ACKNOWLEDGED = "acknowledged"
    ENDED = "ended"


class DelegatedShards:
    """Shards of a search that another VM asks.

    Parameters
    ----------
    services : list of str
    query : fanout.SearchQuery
        Builds the messages, and is told what happens.
    delegation : Delegation

    Attributes
    ----------
    number : int
        Of the subsearch in flight.
    answer : SubsearchAnswer or None
        The newest one.
    reason : str
        Why the VM was passed over, for the log.
    """

    __slots__ = (
        "services",
        "number",
        "answer",
        "reason",
        "_query",
        "_delegation",
        "_attempts",
        "_delegate",
        "_tried",
        "_state",
        "_started_at",
        "_ack_timeout_s",
    )

    def __init__(self, services, query, delegation):
        self.services = services
        self._ack_timeout_s = max(ACK_TIMEOUT_S, ACK_GOAL_SHARE * query.route.goal_s)
        self._attempts = query.route.max_attempts
        self.number = 0
        self.answer = None
        self.reason = ""
        self._query = query
        self._delegation = delegation
        self._delegate = None
        self._tried = []
        self._state = ShareState.SENT
        self._started_at = 0.0

    @property
    def included(self):
        """Number of shards whose replies are in the answer so far."""
        return len(self.answer.digests) if self.answer else 0

    def count_open(self):
        """Return the number of shards whose replies may still come."""
        if self._state is ShareState.ENDED:
            return 0
        return len(self.services) - self.included

    @property
    def may_have_run(self):
        """Whether a target may have been asked; without an answer nobody knows."""
        return self.answer is None or self.answer.has_run

    def describe(self):
        """Return details for the log line of the search's end."""
        return {
            "vms": [delegate.vm.vm_id for delegate in self._tried],
            "shards": len(self.services),
            "included": self.included,
            "state": self._state.value,
            "reason": self.reason,
        }

    def start(self, delegate, now, is_extra=False):
        """Ask a VM."""
        self._delegate = delegate
        self._tried.append(delegate)
        self._state = ShareState.SENT
        self._started_at = now
        subsearch = self._query.build_subsearch(
            self.services, self._attempts, is_extra, now
        )
        delegate.start(self, subsearch, now)

    def take_over(self, share, now):
        """Ask another VM than those that another share was handed to."""
        self._tried = list(share._tried)
        self._hand_over("no target known to the VM before", now, is_extra=False)

    def next_due(self):
        """Return when `advance` has something to do, or None."""
        if self._state is ShareState.SENT:
            return self._started_at + self._ack_timeout_s
        return None

    def advance(self, now):
        """Pass a VM over that has not acknowledged in time."""
        due = self.next_due()
        if due is not None and now >= due:
            self._delegate.note_silent(now)
            self._delegate.cancel(self.number, now)
            self._hand_over("no acknowledgement", now)

    def cancel(self, now):
        """End the subsearch, because the search has ended."""
        if self._state is not ShareState.ENDED:
            self._state = ShareState.ENDED
            self._delegate.cancel(self.number, now)

    def handle_acknowledged(self, now):
        """Take the acknowledgement."""
        if self._state is ShareState.SENT:
            self._state = ShareState.ACKNOWLEDGED
            self._delegate.note_acknowledged(now - self._started_at, now)

    def handle_answer(self, answer, now):
        """Take an answer; only the newest one counts."""
        if answer.is_final and not answer.digests and not answer.has_run:
            self._hand_over("the VM could not ask any target", now, is_extra=False)
            return
        unasked = [name for name in answer.unasked if name in self.services]
        if unasked:
            self.services = [name for name in self.services if name not in unasked]
            self._query.divide_share(self, unasked, now)
        self.answer = answer
        if answer.is_final:
            self._state = ShareState.ENDED
        self._query.note_share(now)

    def handle_lost(self, reason, now):
        """Take the end of the channel."""
        if self._state is ShareState.SENT:
            self._hand_over(reason, now)
        elif self._state is ShareState.ACKNOWLEDGED:
            # The VM may have used all attempts of a shard already.
            self.reason = reason
            self._state = ShareState.ENDED
            self._query.note_share(now)

    def _hand_over(self, reason, now, is_extra=True):
        """Ask the next VM, or the targets themselves if there is none.

        With `is_extra`, the VM that is passed over may have sent a first attempt.
        """
        self.reason = reason
        self._state = ShareState.ENDED
        self._attempts -= is_extra
        if self._query.is_finished:
            return
        if self._attempts < 1:
            self._query.note_share(now)
            return
        other = self._delegation.choose_other(self._tried, now)
        if other is not None:
            self.start(other, now, is_extra)
        else:
            self._query.ask_targets(self.services, self._attempts, is_extra, now)
