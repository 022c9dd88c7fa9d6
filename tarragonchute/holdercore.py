"""Decisions of a VM that holds targets: admission, queueing, dispatch and health.

`HolderCore` does no I/O: it gets the time as an argument, in seconds of the local
monotonic clock, and returns actions, which `holders.Holder` performs.
"""

import logging
import math
import random
from typing import Protocol

from . import messages
from .dispatches import (
    ENDED,
    QUEUED,
    RUNNING,
    Abort,
    Answer,
    CloseClient,
    Dispatch,
    FairQueue,
    OriginRequest,
    Probe,
)
from .errors import (
    BadRequestError,
    DeadlinePassedError,
    DomainOutError,
    NotHolderError,
    NotRunError,
    Outcome,
    OverloadedError,
)
from .health import FIRST_STATUS_WAIT_S, TargetHealth
from .limits import COLD, DEAD, DRAINING, TargetLimiter
from .membership import MAX_SHARD_TIME_S, SKEW_S
from .messages import LoadEstimate, ShardAnswer
from .tables import Table, TargetRow
from .targets import TargetAnswer

logger = logging.getLogger(__name__)

MAX_QUEUED_PER_TEAM = 64  # requests queued for one target
SEARCH_DEDUP_WINDOW_S = 10.0  # far longer than a search runs; a repeat is harmless
BOOKING_DEDUP_WINDOW_S = 600.0  # a repeat would charge twice, and bookings are few
MIN_REMAINING_SERVICE_TIMES = 3.0  # time needed to the deadline, in median latencies
MIN_CONNECT_TIME_S = 0.05  # ten times what opening a connection takes
DEFAULT_SERVICE_TIME_S = 0.02  # median latency assumed until a target has answered

CANCELLED = "cancelled"
"""Code of a cancelled attempt; its outcome says whether it may have run."""

_FINISHED_CODES = frozenset(
    {
        messages.ANSWERED,
        CANCELLED,
        BadRequestError.code,
        "shedding",
        "draining",
        "deadline_passed",
        "version_missing",
        "shard_unknown",
        "connect_failed",
    }
)
"""Codes which prove that the target no longer works on the request."""


class Permission(Protocol):
    """Decides whether this VM may send to a target now."""

    def check_target(self, target_id, now):
        """Return normally if a request may be sent to the target, else raise.

        Parameters
        ----------
        target_id : str
        now : float
            Seconds on the local monotonic clock.

        Raises
        ------
        NoLeaseError
            If the lease of this VM has expired.
        NotHolderError
            If another VM holds the target, or may still do so.
        DomainOutError
            If the target's failure domain is out of service.
        """


class HolderCore:
    """Admits, queues, dispatches and answers shard requests to the held targets.

    Methods with a parameter `now` (seconds of the local monotonic clock) return a
    list of actions, to be performed in order: `Dispatch`, `Answer`, `Abort`, `Probe`
    and `CloseClient`.

    Parameters
    ----------
    permission : Permission
    random : random.Random, optional
        Source of jitter, by default the module `random`; pass a seeded one for a
        repeatable run.

    Attributes
    ----------
    dispatched, cancelled, duplicates : int
        Numbers of requests dispatched, of attempts cancelled, and of attempts
        ignored because they were received again, since the start of the process.
    refused : dict of str to int
        Number of requests that this VM refused, by code.
    invariant_violations : int
        Count of states that the design rules out; anything but 0 is a bug.
    """

    def __init__(self, permission, random=random):
        self._permission = permission
        self._limiter = TargetLimiter()
        self._health = TargetHealth(self._limiter, random)
        self._targets = Table("targets")
        self._removed_rows = {}
        self._origins = {}
        self._booking_origins = {}
        self._expired_keys = []
        self._in_flight = {}
        self._domains_out = set()
        self._epoch = 0
        self._released_epoch = 0
        self._last_advance_at = math.inf
        self.dispatched = 0
        self.cancelled = 0
        self.duplicates = 0
        self.refused = {}
        self.invariant_violations = 0

    # Requests.

    def submit(self, sender, number, group, now, wall_time=None):
        """Accept a group of attempts.

        Each attempt gets exactly one `Answer`, now or later. One that is received
        again is ignored.

        Parameters
        ----------
        sender : str
            Entry VM.
        number : int
            Request number at the entry VM.
        group : messages.ShardGroup
        now : float
        wall_time : float or None
            Unix time in seconds, read before `now`; required if the group has a
            `dispatch_before`.
        """
        actions = []
        is_booking = group.operation == messages.BOOKING
        key = (sender, number, group.request_id)
        origin = self._get_origin(key, now, is_booking)
        expires_at = now + group.remaining_ms / 1000
        if group.dispatch_before is not None:
            expires_at = min(expires_at, now + (group.dispatch_before - wall_time))
        for item in group.items:
            if item.attempt in origin.attempts:
                self.duplicates += 1
                continue
            dispatch = Dispatch(origin, group, item, expires_at)
            origin.attempts[item.attempt] = dispatch
            origin.open_attempts += 1
            self._admit(dispatch, now, actions)
        return actions

    def cancel(self, sender, number, cancel, now):
        """Cancel attempts, including those that have not arrived yet.

        A booking in flight is not cancelled, because its outcome must be recorded.
        """
        actions = []
        origin = self._get_origin((sender, number, cancel.request_id), now, False)
        for attempt in cancel.attempts:
            if attempt not in origin.attempts:
                origin.cancelled = origin.cancelled or set()
                origin.cancelled.add(attempt)
            elif origin.attempts[attempt] is not None:
                self._cancel(origin.attempts[attempt], actions)
        return actions

    def complete(self, dispatch, answer, now):
        """Process the end of an exchange.

        Parameters
        ----------
        dispatch : Dispatch
        answer : targets.TargetAnswer
            The code ``cancelled`` means that the target acknowledged the
            cancellation.
        now : float
        """
        actions = []
        if dispatch.state != RUNNING:
            return actions
        row = dispatch.row
        if _is_surely_over(answer):
            self._free_slot(dispatch, now, actions)
        self._update_health(dispatch, answer, now, actions)
        self._answer_exchange(dispatch, answer, actions)
        self._dispatch_queued(row, now, actions)
        return actions

    def handle_status(self, target_id, state, now):
        """Process the result of a `Probe`; None if the status could not be read."""
        actions = []
        row = self._targets.get(target_id)
        if row is not None:
            self._health.handle_status(row, state, now)
            self._refuse_queue_if_unavailable(row, actions)
            self._dispatch_queued(row, now, actions)
        return actions

    def advance(self, now):
        """Process the passage of time; to be called at short intervals.

        Expires queued requests, frees the slots of overdue exchanges, dispatches
        requests for which there is room, and issues the probes that are due.
        """
        actions = []
        for dispatch in list(self._in_flight):
            if now >= dispatch.deadline + SKEW_S:
                self._expire_in_flight(dispatch, now, actions)
        was_paused = now - self._last_advance_at >= FIRST_STATUS_WAIT_S
        self._last_advance_at = now
        for row in self._targets:
            self._health.end_first_status_wait(row, now, was_paused)
            if row.queue.waiting:
                self._expire_queue(row, now, actions)
                self._dispatch_queued(row, now, actions)
            if self._health.start_due_probe(row, now):
                actions.append(Probe(row.target_id))
        self._remove_expired_origins(self._origins, now)
        self._remove_expired_origins(self._booking_origins, now)
        return actions

    # Targets.

    def set_targets(self, targets, epoch, now):
        """Replace the held targets.

        Queued requests to a removed target are refused; those in flight continue.
        Requests to a gained target are queued until the returned `Probe` completes
        or `health.FIRST_STATUS_WAIT_S` has passed.

        Parameters
        ----------
        targets : iterable of settings.TargetSettings
        epoch : int
            Epoch of the view that assigns the targets.
        now : float
        """
        actions = []
        wanted = {target.target_id: target for target in targets}
        for row in self._targets:
            if row.target_id not in wanted:
                self._remove_target(row.target_id, actions)
        for target in wanted.values():
            self._set_target(target, epoch, now, actions)
        self._epoch = epoch
        self._note_release()
        return actions

    def set_domain_out(self, domain, now):
        """Refuse queued and new requests to the targets of a failure domain."""
        actions = []
        self._domains_out.add(domain)
        for row in self._targets:
            if row.domain == domain:
                self._refuse_queue(row, DomainOutError.code, actions)
        return actions

    def set_domain_in(self, domain, now):
        """Resume sending to a failure domain; its targets start cold."""
        if domain in self._domains_out:
            self._domains_out.discard(domain)
            for row in self._targets:
                if row.domain == domain and row.state not in (DEAD, DRAINING):
                    self._health.reset(row, now, "its failure domain is back")
        return []

    @property
    def released_epoch(self):
        """Highest epoch for which all requests to targets not held have finished."""
        return self._released_epoch

    def list_removed_in_flight(self):
        """Return the ids of removed targets that have requests in flight."""
        return list(self._removed_rows)

    def count_in_flight(self):
        """Return the number of requests that may occupy a slot of a target."""
        return len(self._in_flight)

    def count_queued(self):
        """Return the number of queued requests."""
        return sum(row.queue.waiting for row in self._targets)

    def list_in_flight(self):
        """Return (target id, `Dispatch.gained_epoch`) of each request in flight."""
        return [
            (dispatch.target_id, dispatch.gained_epoch) for dispatch in self._in_flight
        ]

    def get_row(self, target_id):
        """Return the `TargetRow` of a held target, or None."""
        return self._targets.get(target_id)

    def list_rows(self):
        """Return the rows of all held targets."""
        return list(self._targets)

    # Admission.

    def _get_origin(self, key, now, is_booking):
        """Return or create the `OriginRequest`, and extend its retention."""
        origin = self._origins.get(key) or self._booking_origins.get(key)
        if origin is None:
            origin = self._origins[key] = OriginRequest(*key)
        if is_booking and key in self._origins:
            # A cancellation that arrived before the booking has created the request
            # among the searches, because it does not state the operation.
            self._booking_origins[key] = self._origins.pop(key)
        retention_s = (
            BOOKING_DEDUP_WINDOW_S
            if key in self._booking_origins
            else SEARCH_DEDUP_WINDOW_S
        )
        origin.retained_until = now + retention_s
        return origin

    def _remove_expired_origins(self, origins, now):
        """Remove requests whose retention has ended, oldest first.

        Stops at the first that must still be kept or has an unanswered attempt.
        """
        for key, origin in origins.items():
            if origin.retained_until > now or origin.open_attempts:
                break
            self._expired_keys.append(key)
        for key in self._expired_keys:
            del origins[key]
        self._expired_keys.clear()

    def _admit(self, dispatch, now, actions):
        row = self._targets.get(dispatch.target_id)
        code = self._find_refusal_code(dispatch, row, now)
        if code is not None:
            self._refuse(dispatch, code, actions)
            return
        dispatch.row = row
        if not row.queue.waiting and self._has_room(row):
            self._start(dispatch, now, actions)
            return
        code = self._check_permission(row.target_id, now)
        if code is None and self._is_overloaded(dispatch, row, now):
            code = OverloadedError.code
        if code is not None:
            self._refuse(dispatch, code, actions)
            return
        row.queue.push(dispatch)

    def _has_room(self, row):
        return row.first_status_by is None and self._limiter.has_room(row)

    def _find_refusal_code(self, dispatch, row, now):
        """Return the code with which a request is refused, or None."""
        cancelled = dispatch.origin.cancelled
        if cancelled and dispatch.attempt in cancelled:
            self.cancelled += 1
            return CANCELLED
        if row is None:
            return NotHolderError.code
        if row.domain in self._domains_out:
            return DomainOutError.code
        # Negated, so that NaN as the remaining time is refused as well.
        if not dispatch.expires_at > now:
            return DeadlinePassedError.code
        return _UNAVAILABLE_CODES.get(row.state)

    def _check_permission(self, target_id, now):
        """Return the error code if sending is not permitted, else None."""
        try:
            self._permission.check_target(target_id, now)
        except NotRunError as error:
            return error.code
        return None

    def _is_overloaded(self, dispatch, row, now):
        """Whether the team's queue is full or the request would probably time out."""
        team = dispatch.group.team
        if row.queue.count_team(team) >= MAX_QUEUED_PER_TEAM:
            return True
        service_time_s = row.median_latency or DEFAULT_SERVICE_TIME_S
        wait_in_service_times = (row.queue.count_ahead(team) + 1) / max(1, row.limit)
        return (
            now + (wait_in_service_times + MIN_REMAINING_SERVICE_TIMES) * service_time_s
            > dispatch.expires_at
        )

    def _is_too_late(self, dispatch, row, now):
        """Whether a queued request would probably time out if it were sent now.

        A request that times out occupies its slot until the deadline plus `SKEW_S`,
        so a few of them would occupy all slots under overload.
        """
        service_time_s = row.median_latency or 0.0
        return now + MIN_REMAINING_SERVICE_TIMES * service_time_s > dispatch.expires_at

    def _start(self, dispatch, now, actions):
        """Check permission and dispatch a request; there must be room for it."""
        code = self._check_permission(dispatch.target_id, now)
        if code is not None:
            self._refuse(dispatch, code, actions)
            return
        row = dispatch.row
        if not self._limiter.try_acquire(row):
            self._record_violation(f"no room for a dispatch to {row.target_id}")
            self._refuse(dispatch, OverloadedError.code, actions)
            return
        self._limiter.record_start(row, now)
        dispatch.state = RUNNING
        dispatch.started_at = now
        dispatch.gained_epoch = row.gained_epoch
        dispatch.deadline = min(dispatch.expires_at, now + MAX_SHARD_TIME_S)
        dispatch.sequence = row.sequence
        dispatch.started_alone = row.in_flight == 1
        self._in_flight[dispatch] = None
        self.dispatched += 1
        actions.append(dispatch)

    def _dispatch_queued(self, row, now, actions):
        """Dispatch queued requests up to the target's limit."""
        while row.queue.waiting and self._has_room(row):
            dispatch = row.queue.pop()
            if dispatch.expires_at <= now:
                self._refuse(dispatch, DeadlinePassedError.code, actions)
            elif self._is_too_late(dispatch, row, now):
                self._refuse(dispatch, OverloadedError.code, actions)
            else:
                self._start(dispatch, now, actions)

    def _expire_queue(self, row, now, actions):
        code = self._check_permission(row.target_id, now)
        if code is not None:
            self._refuse_queue(row, code, actions)
        for dispatch in row.queue.pop_expired(now):
            self._refuse(dispatch, DeadlinePassedError.code, actions)

    # Ends of requests.

    def _refuse(self, dispatch, code, actions):
        """Answer an attempt that was not dispatched."""
        self.refused[code] = self.refused.get(code, 0) + 1
        answer = ShardAnswer(dispatch.attempt, code, Outcome.NOT_RUN)
        self._answer(dispatch, answer, actions)

    def _refuse_queue(self, row, code, actions):
        for dispatch in row.queue.pop_all():
            self._refuse(dispatch, code, actions)

    def _refuse_queue_if_unavailable(self, row, actions):
        code = _UNAVAILABLE_CODES.get(row.state)
        if code is not None and row.queue.waiting:
            self._refuse_queue(row, code, actions)

    def _answer_exchange(self, dispatch, answer, actions):
        """Answer an attempt that was dispatched."""
        code = answer.code
        if code == messages.ANSWERED:
            outcome = Outcome.DONE
        elif answer.is_provably_not_run or code == BadRequestError.code:
            outcome = Outcome.NOT_RUN
        else:
            outcome = Outcome.UNKNOWN
        shard_answer = ShardAnswer(
            dispatch.attempt, code, outcome, answer.result, None, answer.versions
        )
        self._answer(dispatch, shard_answer, actions)

    def _answer(self, dispatch, answer, actions):
        dispatch.state = ENDED
        origin = dispatch.origin
        origin.attempts[dispatch.attempt] = None
        origin.open_attempts -= 1
        if origin.open_attempts < 0:
            self._record_violation("an attempt was answered twice")
        row = dispatch.row
        if row is not None:
            waiting = row.queue.waiting + row.in_flight
            service_ms = (row.median_latency or DEFAULT_SERVICE_TIME_S) * 1000
            answer.load = LoadEstimate(row.limit, waiting, service_ms)
        actions.append(Answer(origin, answer, not origin.open_attempts))

    def _cancel(self, dispatch, actions):
        if dispatch.state == QUEUED:
            self.cancelled += 1
            dispatch.row.queue.discard(dispatch)
            self._refuse(dispatch, CANCELLED, actions)
        elif dispatch.is_abort_issued or dispatch.group.operation == messages.BOOKING:
            return
        else:
            self.cancelled += 1
            dispatch.is_abort_issued = True
            actions.append(Abort(dispatch))

    def _update_health(self, dispatch, answer, now, actions):
        row = dispatch.row
        latency = now - dispatch.started_at
        if (
            answer.code == "connect_failed"
            and now >= dispatch.deadline
            and latency < MIN_CONNECT_TIME_S
        ):
            # The deadline ended the connection attempt early, so the failure says
            # nothing about the target.
            return
        # An equal sequence number means that no later request was dispatched.
        was_alone = dispatch.started_alone and row.sequence == dispatch.sequence
        self._health.handle_answer(
            row, answer, latency, was_alone, dispatch.sequence, now
        )
        self._refuse_queue_if_unavailable(row, actions)

    def _expire_in_flight(self, dispatch, now, actions):
        """Free the slot of a request whose deadline at the target has passed."""
        row = dispatch.row
        self._free_slot(dispatch, now, actions)
        if dispatch.state == RUNNING:
            answer = TargetAnswer("timed_out")
            actions.append(Abort(dispatch))
            self._answer_exchange(dispatch, answer, actions)
        self._dispatch_queued(row, now, actions)

    def _free_slot(self, dispatch, now, actions):
        row = dispatch.row
        del self._in_flight[dispatch]
        self._limiter.release(row)
        if row.in_flight < 0:
            self._record_violation(f"negative count of requests to {row.target_id}")
        if row.in_flight:
            return
        row.idle_since = now
        if not row.is_held:
            del self._removed_rows[row.target_id]
            actions.append(CloseClient(row.target_id))
            self._note_release()
        elif row.pending_settings is not None:
            self._apply_pending_settings(row, actions)

    def _record_violation(self, text):
        self.invariant_violations += 1
        logger.error("invariant violated: %s", text)

    # Changes of targets.

    def _remove_target(self, target_id, actions):
        row = self._targets.remove(target_id)
        row.is_held = False
        row.pending_settings = None
        self._refuse_queue(row, NotHolderError.code, actions)
        if row.in_flight:
            self._removed_rows[target_id] = row
        else:
            actions.append(CloseClient(target_id))

    def _set_target(self, target, epoch, now, actions):
        row = self._targets.get(target.target_id)
        if row is None:
            row = self._removed_rows.pop(target.target_id, None)
            if row is None:
                row = _build_row(target)
            # A row with requests in flight is used again, so that these requests
            # keep their slots. The target may have restarted since it was removed,
            # so it becomes cold.
            row.is_held = True
            row.gained_epoch = epoch
            self._targets.add(target.target_id, row)
            row.state = COLD
            self._health.reset_gained(row, now)
            actions.append(Probe(row.target_id))
        self._change_settings(row, target, actions)

    def _change_settings(self, row, target, actions):
        is_same = (row.address, row.slots, row.max_connections) == (
            target.address,
            target.slots,
            target.max_connections,
        )
        row.domain = target.domain
        if is_same:
            row.pending_settings = None
            self._limiter.update(row)
            return
        row.pending_settings = target
        self._limiter.update(row)
        if not row.in_flight:
            self._apply_pending_settings(row, actions)

    def _apply_pending_settings(self, row, actions):
        """Apply changed settings; the client is closed so that a new one is created."""
        target = row.pending_settings
        row.pending_settings = None
        row.address = target.address
        row.slots = target.slots
        row.max_connections = target.max_connections
        row.boot_id = None
        self._limiter.restart(row)
        # A draining target stays draining: only its status can say that it accepts
        # work again.
        if row.state != DRAINING:
            row.state = COLD
        actions.append(CloseClient(row.target_id))

    def _note_release(self):
        """Release the current epoch unless removed targets have requests in flight."""
        if not self._removed_rows:
            self._released_epoch = self._epoch


def _is_surely_over(answer):
    """Whether an answer proves that the target no longer works on the request."""
    return answer.code in _FINISHED_CODES or answer.is_over


_UNAVAILABLE_CODES = {DRAINING: "draining", DEAD: "connect_failed"}


def _build_row(target):
    row = TargetRow(
        target.target_id,
        target.address,
        target.domain,
        target.slots,
        target.max_connections,
    )
    row.queue = FairQueue()
    return row
