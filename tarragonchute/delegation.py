"""Delegates shards of a wide search to the leaders of a failure domain.

A search does not wait for an unresponsive leader. Shards whose leader does not
acknowledge them within a short timeout are reassigned to the next VM, or are asked by
this VM itself if there is none.
"""

import enum
from typing import Protocol

ACK_TIMEOUT_S = 0.015
ACK_GOAL_FRACTION = 0.25
"""Acknowledgement timeout: the larger of `ACK_TIMEOUT_S` and this fraction of the
route's response time goal. Within a region, an acknowledgement takes 1 to 6 ms. The
timeout is longer because a VM that processes replies of other searches is busy for some
milliseconds, and because reassigning its shards spends retry budget."""


class Delegation(Protocol):
    """Chooses the VMs that query the shards of a search."""

    def plan(self, services, now):
        """Divide the shards of a search among this VM and others.

        Parameters
        ----------
        services : tuple of str
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of (list of str, list of (Delegate, list of str))
            Services that this VM asks itself, and the services for each other VM.
        """

    def choose_other(self, tried, now):
        """Return a usable `Delegate` that was not tried yet, or None."""


class NoDelegation:
    """Delegates no shards; this VM asks all targets itself."""

    __slots__ = ()

    def plan(self, services, now):
        """See `Delegation`."""
        return services, ()

    def choose_other(self, tried, now):
        """See `Delegation`."""
        return


class SubsearchState(enum.Enum):
    """Progress of the subsearch that was sent to one VM."""

    SENT = "sent"
    ACKNOWLEDGED = "acknowledged"
    ENDED = "ended"


class DelegatedShards:
    """Shards of a search that are delegated to another VM.

    Parameters
    ----------
    services : list of str
    query : fanout.SearchQuery
        Builds the subsearch messages and is notified of answers and failures.
    delegation : Delegation

    Attributes
    ----------
    number : int
        Number of the subsearch in flight.
    answer : SubsearchAnswer or None
        The newest answer.
    reason : str
        Why the shards were reassigned or lost, for the log.
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
        self._ack_timeout_s = max(ACK_TIMEOUT_S, ACK_GOAL_FRACTION * query.route.goal_s)
        self._attempts = query.route.max_attempts
        self.number = 0
        self.answer = None
        self.reason = ""
        self._query = query
        self._delegation = delegation
        self._delegate = None
        self._tried = []
        self._state = SubsearchState.SENT
        self._started_at = 0.0

    @property
    def included(self):
        """Number of shards whose replies are in the newest answer."""
        return len(self.answer.digests) if self.answer else 0

    def count_open(self):
        """Return the number of shards whose replies may still arrive."""
        if self._state is SubsearchState.ENDED:
            return 0
        return len(self.services) - self.included

    @property
    def may_have_run(self):
        """Whether a target may have run the request; assumed so without an answer."""
        return self.answer is None or self.answer.has_run

    def describe(self):
        """Return details for the log line that ends the search."""
        return {
            "vms": [delegate.vm.vm_id for delegate in self._tried],
            "shards": len(self.services),
            "included": self.included,
            "state": self._state.value,
            "reason": self.reason,
        }

    def start(self, delegate, now, is_extra=False):
        """Send the subsearch to a VM.

        With `is_extra`, another VM may already have sent a first attempt.
        """
        self._delegate = delegate
        self._tried.append(delegate)
        self._state = SubsearchState.SENT
        self._started_at = now
        subsearch = self._query.build_subsearch(
            self.services, self._attempts, is_extra, now
        )
        delegate.start(self, subsearch, now)

    def reassign_from(self, previous, now):
        """Send the subsearch to a VM that was not tried for the previous one."""
        self._tried = list(previous._tried)
        self._reassign("no target known to the VM before", now, is_extra=False)

    def next_due(self):
        """Return when `advance` is to be called next, or None."""
        if self._state is SubsearchState.SENT:
            return self._started_at + self._ack_timeout_s
        return None

    def advance(self, now):
        """Reassign the shards if the VM has not acknowledged in time."""
        due = self.next_due()
        if due is not None and now >= due:
            self._delegate.record_ack_timeout(now)
            self._delegate.cancel(self.number, now)
            self._reassign("no acknowledgement", now)

    def cancel(self, now):
        """Cancel the subsearch, because the search has ended."""
        if self._state is not SubsearchState.ENDED:
            self._state = SubsearchState.ENDED
            self._delegate.cancel(self.number, now)

    def handle_acknowledged(self, now):
        """Record the acknowledgement and permit retries."""
        if self._state is SubsearchState.SENT:
            self._state = SubsearchState.ACKNOWLEDGED
            self._delegate.record_acknowledgement(now - self._started_at, now)
            self._delegate.permit_retries(self.number, now)

    def handle_answer(self, answer, now):
        """Store an answer, which replaces earlier ones, and reassign unasked shards."""
        if answer.is_final and not answer.digests and not answer.has_run:
            self._reassign("the VM could not ask any target", now, is_extra=False)
            return
        unasked = [name for name in answer.unasked if name in self.services]
        if unasked:
            self.services = [name for name in self.services if name not in unasked]
            self._query.reassign_shards(self, unasked, now)
        self.answer = answer
        if answer.is_final:
            self._state = SubsearchState.ENDED
        self._query.handle_delegated_result(now)

    def handle_channel_loss(self, reason, now):
        """Reassign the shards, or end if the VM had acknowledged them."""
        if self._state is SubsearchState.SENT:
            self._reassign(reason, now)
        elif self._state is SubsearchState.ACKNOWLEDGED:
            # Not reassigned: the VM may have used all attempts of a shard already.
            self.reason = reason
            self._state = SubsearchState.ENDED
            self._query.handle_delegated_result(now)

    def _reassign(self, reason, now, is_extra=True):
        """Send the subsearch to the next VM, or ask the targets if there is none.

        With `is_extra`, the previous VM may have sent a first attempt, which counts.
        """
        self.reason = reason
        self._state = SubsearchState.ENDED
        self._attempts -= is_extra
        if self._query.is_finished:
            return
        if self._attempts < 1:
            self._query.handle_delegated_result(now)
            return
        other = self._delegation.choose_other(self._tried, now)
        if other is not None:
            self.start(other, now, is_extra)
        else:
            self._query.query_shards_directly(
                self.services, self._attempts, is_extra, now
            )
