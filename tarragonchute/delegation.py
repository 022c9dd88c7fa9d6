"""Delegates shards of a wide search to the leaders of a failure domain.

A search does not wait for an unresponsive leader. Shards whose leader does not
acknowledge them within a short timeout are reassigned to the next VM. If there is none,
this VM sends the requests to their targets itself.
"""

import enum
from typing import Protocol

MIN_ACK_TIMEOUT_S = 0.015
ACK_GOAL_FRACTION = 0.25
"""Acknowledgement timeout: the larger of `MIN_ACK_TIMEOUT_S` and this fraction of the
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
            Services whose targets this VM queries itself, and the services that it
            delegates to each other VM.
        """

    def choose_untried(self, tried, now):
        """Return a usable `Delegate` that is not in the list `tried`, or None."""


class NoDelegation:
    """Delegates no shards; this VM sends the requests to all targets itself."""

    __slots__ = ()

    def plan(self, services, now):
        """See `Delegation`."""
        return services, ()

    def choose_untried(self, tried, now):
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
        "_attempts_left",
        "_may_have_sent",
        "_delegate",
        "_tried",
        "_state",
        "_started_at",
        "_ack_timeout_s",
    )

    def __init__(self, services, query, delegation):
        self.services = services
        self._ack_timeout_s = max(
            MIN_ACK_TIMEOUT_S, ACK_GOAL_FRACTION * query.route.goal_s
        )
        self._attempts_left = query.route.max_attempts
        # Whether an earlier VM may have sent first attempts.
        self._may_have_sent = False
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
    def included_count(self):
        """Number of shards whose replies the newest answer includes."""
        return len(self.answer.digests) if self.answer else 0

    def count_open(self):
        """Return the number of shards whose replies may still arrive."""
        if self._state is SubsearchState.ENDED:
            return 0
        return len(self.services) - self.included_count

    @property
    def may_have_run(self):
        """Whether a target may have run the request; true if no answer says otherwise.

        Without any answer, the VM may have sent requests before it was lost.
        """
        return self.answer is None or self.answer.has_run

    def describe(self):
        """Return details for the log event at the end of the search."""
        return {
            "vms": [delegate.vm.vm_id for delegate in self._tried],
            "shards": len(self.services),
            "included": self.included_count,
            "state": self._state.value,
            "reason": self.reason,
        }

    def start(self, delegate, now):
        """Send the subsearch to a VM."""
        self._delegate = delegate
        self._tried.append(delegate)
        self._state = SubsearchState.SENT
        self._started_at = now
        subsearch = self._query.build_subsearch(
            self.services,
            self._attempts_left,
            self._may_have_sent,
            delegate.mean_ack_s,
            now,
        )
        delegate.send_subsearch(self, subsearch, now)

    def reassign_from(self, previous, now):
        """Send a subsearch for shards that were split off from other `DelegatedShards`.

        It goes to a VM that `previous`, which had the shards before, has not tried.
        """
        self._tried = list(previous._tried)
        self._attempts_left = previous._attempts_left
        self._may_have_sent = previous._may_have_sent
        self._reassign(
            "the previous VM sent no request for these shards",
            now,
            may_have_sent=False,
        )

    def next_due(self):
        """Return the time at which `advance` is to be called next, or None."""
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
        """Store an answer, which replaces earlier ones, and reassign unasked shards.

        Unasked shards are those for which the VM sent no request to a target. Where
        there was no room at the targets, another VM would only add to their load.
        """
        has_no_room = answer.drain_s is not None
        if (
            answer.is_final
            and not answer.digests
            and not answer.has_run
            and not has_no_room
        ):
            self._reassign(
                "no target of the previous VM ran the request", now, may_have_sent=False
            )
            return
        unasked = [service for service in answer.unasked if service in self.services]
        if unasked:
            self.services = [
                service for service in self.services if service not in unasked
            ]
            self._query.reassign_shards(self, unasked, now)
        self.answer = answer
        if answer.is_final:
            self._state = SubsearchState.ENDED
        self._query.handle_delegated_result(now)

    def handle_channel_loss(self, reason, now):
        """Reassign the shards, or end the subsearch if the VM had acknowledged it."""
        if self._state is SubsearchState.SENT:
            self._reassign(reason, now)
        elif self._state is SubsearchState.ACKNOWLEDGED:
            # Not reassigned: the VM may have used all attempts of a shard already.
            self.reason = reason
            self._state = SubsearchState.ENDED
            self._query.handle_delegated_result(now)

    def _reassign(self, reason, now, may_have_sent=True):
        """Send the subsearch to the next VM, or query the targets if there is none.

        With `may_have_sent`, the previous VM may have made one attempt, which counts
        toward the attempt limit of the route. The requests of all later VMs then count
        against the retry budget.
        """
        self.reason = reason
        self._state = SubsearchState.ENDED
        self._attempts_left -= may_have_sent
        self._may_have_sent |= may_have_sent
        if self._query.is_finished:
            return
        if self._attempts_left < 1:
            self._query.handle_delegated_result(now)
            return
        other = self._delegation.choose_untried(self._tried, now)
        if other is not None:
            self.start(other, now)
        else:
            self._query.query_shards_directly(
                self.services, self._attempts_left, self._may_have_sent, now
            )
