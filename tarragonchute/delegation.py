"""Hands shards of a wide search to the leaders of a failure domain.

Nothing waits for a leader that may be gone. One that does not acknowledge at once is
passed over for the next one, and for this VM itself where there is none.
"""

import enum
from typing import Protocol

ACK_TIMEOUT_S = 0.015
ACK_GOAL_SHARE = 0.25
"""Wait for an acknowledgement: this time, or this part of a longer goal. Within a
region it takes 1 to 6 ms; a VM that handles the replies of other searches is busy for
some milliseconds, and asking its shards again costs retry budget."""


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
            self._delegate.permit(self.number, now)

    def handle_answer(self, answer, now):
        """Take an answer; only the newest one counts."""
        if answer.is_final and not answer.digests and not answer.has_run:
            self._hand_over("the VM could not ask any target", now, is_extra=False)
            return
        unasked = [name for name in answer.unasked if name in self.services]
        if unasked:
            self.services = [name for name in self.services if name not in unasked]
            self._query.reassign_shards(self, unasked, now)
        self.answer = answer
        if answer.is_final:
            self._state = ShareState.ENDED
        self._query.handle_delegated_result(now)

    def handle_lost(self, reason, now):
        """Take the end of the channel."""
        if self._state is ShareState.SENT:
            self._hand_over(reason, now)
        elif self._state is ShareState.ACKNOWLEDGED:
            # The VM may have used all attempts of a shard already.
            self.reason = reason
            self._state = ShareState.ENDED
            self._query.handle_delegated_result(now)

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
            self._query.handle_delegated_result(now)
            return
        other = self._delegation.choose_other(self._tried, now)
        if other is not None:
            self.start(other, now, is_extra)
        else:
            self._query.ask_targets(self.services, self._attempts, is_extra, now)
