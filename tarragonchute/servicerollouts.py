"""The rollout of one service at one VM: which versions it uses, and its evidence.

The VM sends at most a share of its own requests to a version that is not trusted yet,
and its part of a slack for the whole fleet. No message is needed for that.
"""

import logging
import math

from .leaders import hash_to_fraction
from .rolloutevidence import AnswerCounts, Outcome, compare
from .rolloutstates import ERA_BITS, NO_ORDER, Phase

logger = logging.getLogger(__name__)

CANARY_SLACK_FRACTION = 0.3
"""Part of `expose_slack` that is divided among the VMs; at most 0.8, because VMs whose
lists differ round their parts differently. With 0.5, a version that turned bad in
`FULL` exceeded the permitted exposure in the simulation at 24 requests/s."""

SLACK_RELEASE_FRACTION = 0.5
"""Fraction of the duration over which a VM's part of the slack becomes usable. A
version that turns bad after seconds is noticed only if it still gets requests then."""

LATE_JOIN_S = 1.0
"""A VM that first learns of a rollout that is older than this gets no part of the
slack: it may have used it before a restart."""

ABANDONED_FACTOR = 2.0
"""An attempt that was abandoned counts as an answer after this many times the route's
usual reply time. Sooner, it says nothing about the target."""

ROUNDING = 1e-6
"""Inaccuracy of a sum of shares."""

BRAKE_INTERVAL_S = 0.1
"""Shortest interval between two comparisons by this VM's own evidence."""


class SlackPart:
    """This VM's part of the requests that a new version may get beyond the share.

    Parameters
    ----------
    fraction : float
        The parts of all VMs add up to at most 1.
    rank : int
        Place of this VM among those that share the slack.
    vm_count : int
    """

    __slots__ = ("fraction", "rank", "vm_count")

    def __init__(self, fraction, rank, vm_count):
        self.fraction = fraction
        self.rank = rank
        self.vm_count = vm_count

    def choose_offset(self, seed):
        """Return the number from 0 to 1 that is added before rounding down.

        The numbers of all VMs are spread evenly, so that parts below one request add up
        to the same number of requests over all VMs.
        """
        shift = int(hash_to_fraction(seed) * self.vm_count)
        return ((self.rank + shift) % self.vm_count + 0.5) / self.vm_count


class ServiceRollout:
    """What this VM knows of the rollout of one service, and what it has sent.

    Parameters
    ----------
    service : str
    established : frozenset of str
        Versions that were in use before the first order.

    Attributes
    ----------
    base : frozenset of str
        Versions that are allowed without regard to a running rollout.
    candidate : str or None
        Version that the rollout moves to, if it may get requests.
    order : RolloutOrder or None
    order_seen_at : float
        When this VM learned of the order, in monotonic seconds.
    state : RolloutState or None
    state_seen_at : float
    sent, candidate_sent : int
        Attempts of this VM since it has learned of the order: all, and those at the new
        version.
    credit : float
        Sum of the shares that were in force at these attempts.
    counts : dict of (str, str) to AnswerCounts
        Evidence by route and version.
    in_flight : dict of str to int
        Attempts in flight by version.
    changes : int
        Rises with each new evidence.
    bad_answers : int
        Failures and abandoned attempts of the new version.
    withdrawn_order : RolloutOrder or None
        The latest order, if it was withdrawn.
    is_braked : bool
        Whether this VM's own evidence shows that the version is bad.
    """

    def __init__(self, service, established=frozenset()):
        self.service = service
        self.established = established
        self.base = established
        self.candidate = None
        self.order = None
        self.order_seen_at = 0.0
        self.state = None
        self.state_seen_at = 0.0
        self.in_flight = {}
        self.changes = 0
        self._state_revision = 0
        self.withdrawn_order = None
        self._withdrawn = set()
        # Revisions of the order: it gets another one when it is written again after a
        # restore of the store.
        self._order_revisions = set()
        self._has_known_order = False
        self._inherits_end = False
        self._part = None
        self._is_late = False
        self._start_counting()

    def _start_counting(self):
        self.sent = 0
        self.candidate_sent = 0
        self.credit = 0.0
        self.counts = {}
        self.bad_answers = 0
        self.is_braked = False
        self._compared_at = -math.inf
        self.changes += 1

    def set_order(self, order, now):
        """Apply a new, replaced or withdrawn order; return whether it has changed."""
        known = self.order
        if _get_revision(known) == _get_revision(order) or is_retained(known, order):
            return False
        if known is not None and not self._is_allowed_without_order(known.version):
            self._withdrawn.add(known.version)
        self.withdrawn_order = known if order is None else None
        is_first = not self._has_known_order
        if order is not None:
            self._has_known_order = True
            self._withdrawn.discard(order.version)
        is_rewritten = is_written_again(known, order)
        if not is_rewritten:
            self._order_revisions.clear()
            self._inherits_end = is_first
        if order is not None:
            self._order_revisions.add(order.revision)
        self.order = order
        if not is_rewritten or self.get_current_state() is None:
            self.order_seen_at = now
            self._start_counting()
            self._is_late = False
        self._derive_versions()
        return True

    def set_state(self, state, now, revision=None):
        """Apply a state; an ended rollout does not continue under the same order.

        The store may come back from a copy that is older than the end, or than the
        state; no VM removes one. A state of an older revision than the known one is
        ignored.

        Returns
        -------
        bool
            Whether more than the time used has changed.
        """
        known = self.state
        if state is None:
            return False
        if revision is not None:
            if revision < self._state_revision:
                return False
            self._state_revision = revision
        if _encode(known) == _encode(state):
            return False
        if is_renewal(known, state):
            self.state = state
            self.state_seen_at = now
            return False
        is_current = known is not None and self._is_of_order(known)
        if is_current and state.order_revision < known.order_revision:
            # A restored copy has the state of an earlier order.
            return False
        if known is not None and known.phase.is_final:
            is_same = self._is_of_order(known) and self._is_of_order(state)
            if is_same and not state.phase.is_final:
                return False
        self.state = state
        self.state_seen_at = now
        if known is None and self.order is not None:
            self._is_late |= state.elapsed_s > now - self.order_seen_at + LATE_JOIN_S
        self._derive_versions()
        return True

    def forget_revision(self):
        """Accept a state of any revision next, because it comes from a listing."""
        self._state_revision = 0

    def set_established(self, established):
        """Set the versions that were in use before the first order."""
        self.established = established
        self._derive_versions()

    def set_part(self, part):
        """Set this VM's `SlackPart`."""
        self._part = part

    def _is_allowed_without_order(self, version):
        state = self.state
        if state is None:
            return version in self.established
        if state.phase is Phase.DONE and version == state.version:
            return True
        return version in state.base

    @property
    def is_withdrawal_unknown(self):
        """Whether an order was withdrawn before `DONE`, and no state says so.

        A VM that starts later would not know which versions were in use before, or
        would take the state for one of a later order.
        """
        if self.withdrawn_order is None:
            return False
        state = self.state
        if state is None:
            return True
        return state.phase is not Phase.DONE and state.order_revision != NO_ORDER

    @property
    def has_rewritten_order(self):
        """Whether the state has to be written for an order of a later era."""
        state = self.get_current_state()
        return state is not None and state.order_revision != self.order.revision

    @property
    def is_running(self):
        """Whether there is an order whose rollout has not ended."""
        # A retained order that this VM has not known before is not started.
        if self.order is None or not self.order.revision:
            return False
        return self.get_current_state() is None or not self.state.phase.is_final

    def get_current_state(self):
        """Return the state of the current order, or None."""
        state = self.state
        return state if state is not None and self._is_of_order(state) else None

    def _is_of_order(self, state):
        """Return whether a state is one of the order.

        A VM that has held the order without interruption knows all its revisions. One
        that has started since takes over only the end of an order that was written
        again: another order of the version must not begin with all traffic.
        """
        if not state.belongs_to(self.order):
            return False
        if state.order_revision in self._order_revisions:
            return True
        return self._inherits_end and state.phase.is_final

    def _derive_versions(self):
        state = self.state
        if state is None:
            named = self.order.version if self.order is not None else None
            others = self.established - {named} - self._withdrawn
            # A service whose only known version is ordered stays in service.
            self.base = others or self.established - self._withdrawn
        elif state.phase is Phase.DONE:
            self.base = frozenset((state.version,))
        else:
            self.base = frozenset(state.base)
        current = self.get_current_state()
        self.candidate = None
        is_running = current is not None and not current.phase.is_final
        if is_running and current.version not in self.base:
            self.candidate = current.version

    def get_elapsed_s(self, now):
        """Return the time since the order, as far as this VM knows."""
        elapsed_s = now - self.order_seen_at
        if self.get_current_state() is not None:
            since_state_s = now - self.state_seen_at
            elapsed_s = max(elapsed_s, self.state.elapsed_s + since_state_s)
        return elapsed_s

    def list_choices(self, now, is_retry, silence_s, limits):
        """Return the sets of versions for an attempt, the preferred set first.

        None if any version may be used that the registry returns.
        """
        candidate = self.candidate
        if candidate is None:
            return None
        old, new = self.base, frozenset((candidate,))
        if self.is_braked:
            return (old,)
        if self.state.phase is Phase.FULL:
            if silence_s <= limits.max_silence_s:
                return (new, old)
            # The old targets may have been stopped since.
            return (old, new) if silence_s > limits.contact_s else (old,)
        is_over = self.get_elapsed_s(now) > self.order.duration_s
        if is_over or silence_s > limits.max_silence_s:
            return (old,)
        if not self._has_credit(now, limits):
            return (old,)
        return (old, new) if is_retry else (new, old)

    def _has_credit(self, now, limits):
        """Return whether one more request to the new version is within the limit."""
        part = self._part
        allowed = self.credit + self.state.share
        if part is not None and not self._is_late:
            release_s = SLACK_RELEASE_FRACTION * self.order.duration_s
            released = min(self.get_elapsed_s(now) / release_s, 1.0)
            seed = f"{self.service} {self.state.order_revision}"
            slack = limits.expose_slack * CANARY_SLACK_FRACTION
            allowed += part.fraction * slack * released + part.choose_offset(seed)
        return self.candidate_sent + 1 <= allowed + ROUNDING

    def record_sent(self, version):
        """Count an attempt at a target of a version."""
        self.sent += 1
        self.credit += self._get_share()
        if self.order is not None and version == self.order.version:
            self.candidate_sent += 1
        self.in_flight[version] = self.in_flight.get(version, 0) + 1

    def record_end(self, route_name, version, outcome, elapsed_s, now):
        """Count the end of an attempt; see `rollouts.Rollouts.record`."""
        left = self.in_flight.get(version, 0) - 1
        if left > 0:
            self.in_flight[version] = left
        else:
            self.in_flight.pop(version, None)
        self.changes += 1
        if outcome is Outcome.NOT_RUN:
            # It does not count as one that has reached the service.
            self.sent = max(self.sent - 1, 0)
            self.credit = max(self.credit - self._get_share(), 0.0)
            return
        if outcome is Outcome.IGNORED or not self.is_running:
            return
        counts = self.counts.setdefault((route_name, version), AnswerCounts())
        if outcome is Outcome.FAILED:
            counts.failures += 1
        elif elapsed_s is None:
            counts.untimed += 1
        else:
            counts.record_time(elapsed_s)
        if version == self.order.version:
            self.bad_answers += outcome in (Outcome.FAILED, Outcome.ABANDONED)
            self._update_brake(now)

    def _update_brake(self, now):
        """Stop using a version that this VM's own evidence shows to be bad."""
        if self.is_braked or now - self._compared_at < BRAKE_INTERVAL_S:
            return
        self._compared_at = now
        old, new = split_counts(self.counts, self.order.version)
        comparison = compare(old, new)
        if comparison.is_bad:
            self.is_braked = True
            logger.info(
                "this VM stops using a version that it has found to be bad",
                extra={
                    "service": self.service,
                    "version": self.order.version,
                    "answers": comparison.answers,
                    "bad": comparison.bad,
                },
            )

    def _get_share(self):
        return self.state.share if self.candidate is not None else 0.0

    def count_old_in_flight(self):
        """Return the number of attempts in flight at the old versions."""
        version = self.order.version
        return sum(n for name, n in self.in_flight.items() if name != version)


def split_counts(counts, version):
    """Return the counts by route of the old versions and of the new version.

    Parameters
    ----------
    counts : dict of (str, str) to AnswerCounts
    version : str
        The new version.
    """
    old, new = {}, {}
    for (route, counted_version), answers in counts.items():
        by_route = new if counted_version == version else old
        by_route.setdefault(route, AnswerCounts()).add(answers)
    return old, new


def _get_revision(order):
    return order and order.revision


def is_retained(known, order):
    """Return whether an order is the known one, retained after a restore of the store.

    Such an order has revision 0 if the restored copy does not have it.
    """
    if known is None or order is None or order.revision:
        return False
    return (known.version, known.duration_s) == (order.version, order.duration_s)


def is_written_again(known, order):
    """Return whether an order is the known one, written again after a restore."""
    if known is None or order is None or order.version != known.version:
        return False
    return order.revision >> ERA_BITS > known.revision >> ERA_BITS


def is_renewal(known, state):
    """Return whether two states differ only in the time used."""
    if known is None or state is None:
        return False
    return known.step == state.step and known.base == state.base


def _encode(state):
    return state and state.encode()
