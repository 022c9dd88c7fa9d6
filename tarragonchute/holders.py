"""The holder: the one VM that sends to a target.

`HolderCore` is pure: it takes the time as an argument, in seconds of the local
monotonic clock, and returns actions. `Holder` performs them under trio.
"""

import heapq
import itertools
import logging
import math
import random
import time
from typing import Protocol

import trio

from . import messages
from .errors import (
    BadRequestError,
    DeadlinePassedError,
    DomainOutError,
    NotHolderError,
    NotRunError,
    Outcome,
    OverloadedError,
    ProtocolError,
)
from .health import FIRST_STATUS_WAIT_S, TargetHealth
from .limits import COLD, DEAD, DRAINING, TargetLimiter
from .membership import MAX_SHARD_TIME_S, SKEW_S
from .messages import LoadEstimate, ShardAnswer, ShardAnswers, ShardCancel, ShardGroup
from .settings import TargetSettings
from .tables import Table, TargetRow
from .targets import TargetAnswer, TargetRequest

logger = logging.getLogger(__name__)

MAX_QUEUED_PER_TEAM = 64  # requests queued for one target
SEARCH_MEMORY_S = 10.0  # far longer than a search lives; a repeat is harmless
BOOKING_MEMORY_S = 600.0  # a repeat would charge twice, and bookings are few
SERVICE_MARGIN = 3.0  # median service times that a queued request still needs
SHORTEST_CONNECT_S = 0.05  # ten times what a new connection takes
DEFAULT_SERVICE_S = 0.02  # service time of a target that has not answered yet
ADVANCE_PERIOD_S = 0.01
IDLE_ADVANCE_PERIOD_S = 0.1  # a tick each 10 ms costs an idle VM 3% of a core
ANSWER_BATCH_S = 0.001
STATUS_TIMEOUT_S = 1.0

CANCELLED = "cancelled"
"""Code of an attempt that was cancelled; its outcome tells whether it may have run."""

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
"""Codes that prove that the target no longer works on the request."""

_NEW = 0
_QUEUED = 1
_RUNNING = 2
_ANSWERED = 3


class Permission(Protocol):
    """Tells whether this VM may send to a target now."""

    def check_target(self, target_id, now):
        """Return if a request may be sent to the target.

        Parameters
        ----------
        target_id : str
        now : float
            Seconds on the local monotonic clock.

        Raises
        ------
        NoLeaseError
            If the lease of this VM has lapsed.
        NotHolderError
            If another VM holds the target, or may still do so.
        DomainOutError
            If the target's failure domain is out of service.
        """


class Dispatch:
    """One attempt, from its receipt to its answer; also the action to send it.

    Attributes
    ----------
    group : messages.ShardGroup
        What to send.
    attempt : int
    shard : str
    target_id : str
    expires_at : float
        Time at which the sender no longer needs the answer, in seconds of the
        local monotonic clock.
    deadline : float or None
        Latest time at which the target may take the request; set at dispatch.
    started_at : float or None
        Time of the check of permission that allowed the dispatch.
    gained_epoch : int
        `TargetRow.gained_epoch` at dispatch.
    wall_deadline : float or None
        `deadline` as Unix time in seconds; set by `Holder`.
    worker : object or None
        Task of `Holder` that runs it.
    """

    __slots__ = (
        "origin",
        "group",
        "attempt",
        "shard",
        "target_id",
        "expires_at",
        "deadline",
        "started_at",
        "gained_epoch",
        "wall_deadline",
        "worker",
        "row",
        "sequence",
        "is_alone",
        "is_cancelled",
        "state",
    )

    def __init__(self, origin, group, item, expires_at):
        self.origin = origin
        self.group = group
        self.attempt = item.attempt
        self.shard = item.shard
        self.target_id = item.target
        self.expires_at = expires_at
        self.deadline = None
        self.started_at = None
        self.gained_epoch = 0
        self.wall_deadline = None
        self.worker = None
        self.row = None
        self.sequence = 0
        self.is_alone = False
        self.is_cancelled = False
        self.state = _NEW

    @property
    def is_running(self):
        """Whether it was dispatched and has no answer yet."""
        return self.state == _RUNNING

    def set_wall_deadline(self, wall, now):
        """Set `wall_deadline`; a booking's is at most its `dispatch_before`.

        Parameters
        ----------
        wall : float
            Unix time in seconds, read before `now`. A pause between the readings
            then makes the deadline earlier and never later.
        now : float
            Seconds of the local monotonic clock.
        """
        self.wall_deadline = wall + (self.deadline - now)
        if self.group.dispatch_before is not None:
            self.wall_deadline = min(self.wall_deadline, self.group.dispatch_before)

    def build_request(self):
        """Return the `TargetRequest` to send.

        Its request id has the attempt in it: a target refuses a cancelled id from
        then on, and another attempt of the same request may reach it later.
        """
        group = self.group
        return TargetRequest(
            f"{group.request_id}.{self.attempt}",
            self.shard,
            group.version,
            group.query,
            self.wall_deadline,
            group.operation,
            group.idempotency_key,
        )


class Answer:
    """Action: send the answer of one attempt to the VM that asked.

    Attributes
    ----------
    origin : Origin
    answer : messages.ShardAnswer
    is_last : bool
        Whether no other attempt of the same request is open here.
    """

    __slots__ = ("origin", "answer", "is_last")

    def __init__(self, origin, answer, is_last):
        self.origin = origin
        self.answer = answer
        self.is_last = is_last


class Abort:
    """Action: cancel the exchange of a dispatch at the target."""

    __slots__ = ("dispatch",)

    def __init__(self, dispatch):
        self.dispatch = dispatch


class Probe:
    """Action: read the status of a target, then call `handle_status`."""

    __slots__ = ("target_id",)

    def __init__(self, target_id):
        self.target_id = target_id


class Retire:
    """Action: close the client of a target with which nothing is in flight."""

    __slots__ = ("target_id",)

    def __init__(self, target_id):
        self.target_id = target_id


class Origin:
    """The request of an entry VM to which attempts belong.

    Attributes
    ----------
    sender : str
    number : int
    request_id : str
        Tells apart equal numbers of a VM that was restarted.
    """

    __slots__ = (
        "sender",
        "number",
        "request_id",
        "attempts",
        "cancelled",
        "open",
        "forget_at",
    )

    def __init__(self, sender, number, request_id):
        self.sender = sender
        self.number = number
        self.request_id = request_id
        self.attempts = {}
        self.cancelled = None
        self.open = 0
        self.forget_at = 0.0


class _TeamQueue:
    """One team's waiting requests to one target, by deadline."""

    __slots__ = ("heap", "served", "waiting")

    def __init__(self):
        self.heap = []
        self.served = 0.0
        self.waiting = 0


class FairQueue:
    """Requests that wait for one target: fair between teams, then by deadline.

    The team that has been served least goes next. A team that was idle does not
    save up turns.
    """

    __slots__ = ("waiting", "_teams", "_sequence", "_served")

    def __init__(self):
        self.waiting = 0
        self._teams = {}
        self._sequence = itertools.count()
        self._served = 0.0

    def count_team(self, team):
        """Return how many requests of a team wait."""
        queue = self._teams.get(team)
        return queue.waiting if queue is not None else 0

    def count_ahead(self, team):
        """Return how many waiting requests go before a new one of a team."""
        own = self.count_team(team)
        return own + sum(
            min(queue.waiting, own + 1)
            for name, queue in self._teams.items()
            if name != team
        )

    def push(self, dispatch):
        """Add a request."""
        team = dispatch.group.team
        queue = self._teams.get(team)
        if queue is None:
            queue = self._teams[team] = _TeamQueue()
        if not queue.waiting:
            queue.served = max(queue.served, self._served)
        entry = (dispatch.expires_at, next(self._sequence), dispatch)
        heapq.heappush(queue.heap, entry)
        queue.waiting += 1
        self.waiting += 1
        dispatch.state = _QUEUED

    def pop(self):
        """Remove and return the next request, or None if none waits."""
        if not self.waiting:
            return None
        queue = min(
            (queue for queue in self._teams.values() if queue.waiting),
            key=lambda queue: queue.served,
        )
        self._served = queue.served
        queue.served += 1.0
        return self._pop_from(queue)

    def pop_expired(self, now):
        """Remove and return the requests whose time is over."""
        expired = []
        for queue in self._teams.values():
            while queue.waiting:
                due, _, dispatch = queue.heap[0]
                if dispatch.state != _QUEUED:
                    heapq.heappop(queue.heap)
                elif due <= now:
                    expired.append(self._pop_from(queue))
                else:
                    break
        return expired

    def pop_all(self):
        """Remove and return all requests, for a refusal."""
        dispatches = []
        for queue in self._teams.values():
            while queue.waiting:
                dispatches.append(self._pop_from(queue))
        return dispatches

    def discard(self, dispatch):
        """Remove one request; its entry in the heap is skipped later."""
        queue = self._teams[dispatch.group.team]
        queue.waiting -= 1
        self.waiting -= 1
        dispatch.state = _NEW
        if not queue.waiting:
            queue.heap.clear()

    def _pop_from(self, queue):
        while True:
            dispatch = heapq.heappop(queue.heap)[2]
            if dispatch.state == _QUEUED:
                break
        queue.waiting -= 1
        self.waiting -= 1
        dispatch.state = _NEW
        if not queue.waiting:
            queue.heap.clear()
        return dispatch


class HolderCore:
    """Queues, admits and answers the shard requests for the held targets.

    Methods that take `now` (seconds of the local monotonic clock) return a list of
    actions, to be performed in order: `Dispatch`, `Answer`, `Abort`, `Probe` and
    `Retire`.

    Parameters
    ----------
    permission : Permission
    random : random.Random or None
        Source of jitter; seed it for a repeatable run.

    Attributes
    ----------
    dispatched, cancelled, duplicates : int
        Counts since the start.
    refused : dict of str to int
        Code to count of the requests that were refused here.
    breaches : int
        Violations of an invariant that are impossible by design; always 0.
    """

    def __init__(self, permission, random=random):
        self._permission = permission
        self._limiter = TargetLimiter()
        self._health = TargetHealth(self._limiter, random)
        self._targets = Table("targets")
        self._departed = {}
        self._origins = {}
        self._booked = {}
        self._old_keys = []
        self._occupied = {}
        self._domains_out = set()
        self._epoch = 0
        self._released_epoch = 0
        self._advanced_at = math.inf
        self.dispatched = 0
        self.cancelled = 0
        self.duplicates = 0
        self.refused = {}
        self.breaches = 0

    # Requests.

    def submit(self, sender, number, group, now, wall=None):
        """Take a group of attempts; each gets exactly one `Answer`.

        Parameters
        ----------
        sender : str
            VM that asks.
        number : int
            Its request number.
        group : messages.ShardGroup
        now : float
        wall : float or None
            Unix time in seconds, read before `now`; needed if the group has a
            `dispatch_before`.
        """
        actions = []
        is_booking = group.operation == messages.BOOKING
        key = (sender, number, group.request_id)
        origin = self._get_origin(key, now, is_booking)
        expires_at = now + group.remaining_ms / 1000
        if group.dispatch_before is not None:
            expires_at = min(expires_at, now + (group.dispatch_before - wall))
        for item in group.items:
            if item.attempt in origin.attempts:
                self.duplicates += 1
                continue
            dispatch = Dispatch(origin, group, item, expires_at)
            origin.attempts[item.attempt] = dispatch
            origin.open += 1
            self._admit(dispatch, now, actions)
        return actions

    def cancel(self, sender, number, cancel, now):
        """Cancel attempts, also ones that have not arrived yet.

        A booking in flight is not cancelled: its outcome still has to be recorded.
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
        """Take the end of an exchange.

        Parameters
        ----------
        dispatch : Dispatch
        answer : targets.TargetAnswer
            The code ``cancelled`` says that the target acknowledged the cancel.
        now : float
        """
        actions = []
        if dispatch.state != _RUNNING:
            return actions
        row = dispatch.row
        if _is_surely_over(answer):
            self._free_slot(dispatch, now, actions)
        self._judge(dispatch, answer, now, actions)
        self._answer_exchange(dispatch, answer, actions)
        self._drain(row, now, actions)
        return actions

    def handle_status(self, target_id, state, now):
        """Take the result of a `Probe`; None if the status could not be read."""
        actions = []
        row = self._targets.get(target_id)
        if row is not None:
            self._health.handle_status(row, state, now)
            self._refuse_if_unfit(row, actions)
            self._drain(row, now, actions)
        return actions

    def advance(self, now):
        """Expire queued requests, free slots, and plan status reads."""
        actions = []
        for dispatch in list(self._occupied):
            if now >= dispatch.deadline + SKEW_S:
                self._end_overdue(dispatch, now, actions)
        was_paused = now - self._advanced_at >= FIRST_STATUS_WAIT_S
        self._advanced_at = now
        for row in self._targets:
            self._health.end_first_wait(row, now, was_paused)
            if row.queue.waiting:
                self._expire_queue(row, now, actions)
                self._drain(row, now, actions)
            if self._health.take_due_probe(row, now):
                actions.append(Probe(row.target_id))
        self._forget_origins(self._origins, now)
        self._forget_origins(self._booked, now)
        return actions

    # Targets.

    def set_targets(self, targets, epoch, now):
        """Replace the held targets.

        Queued requests to a removed target are refused; those in flight go on.
        Requests to a gained target wait in its queue until the returned `Probe` is
        answered or `health.FIRST_STATUS_WAIT_S` is over.

        Parameters
        ----------
        targets : iterable of settings.TargetSettings
        epoch : int
            Epoch of the view that assigns them.
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
        """Serve a failure domain again; all its targets start cold."""
        if domain in self._domains_out:
            self._domains_out.discard(domain)
            for row in self._targets:
                if row.domain == domain and row.state not in (DEAD, DRAINING):
                    self._health.begin(row, now, "its failure domain is back")
        return []

    @property
    def released_epoch(self):
        """Highest epoch for which no request to a target not held is in flight."""
        return self._released_epoch

    def list_in_flight_elsewhere(self):
        """Return the ids of targets no longer held that still work for this VM."""
        return list(self._departed)

    def count_in_flight(self):
        """Return the number of requests that may occupy a slot of a target."""
        return len(self._occupied)

    def count_queued(self):
        """Return the number of requests that wait."""
        return sum(row.queue.waiting for row in self._targets)

    def list_in_flight(self):
        """Return target and `Dispatch.gained_epoch` of what is not surely over."""
        return [(one.target_id, one.gained_epoch) for one in self._occupied]

    def get_row(self, target_id):
        """Return the `TargetRow` of a held target, or None."""
        return self._targets.get(target_id)

    def list_rows(self):
        """Return the rows of all held targets."""
        return list(self._targets)

    # Admission.

    def _get_origin(self, key, now, is_booking):
        """Return what is known of a request; bookings are remembered longer."""
        origin = self._origins.get(key) or self._booked.get(key)
        if origin is None:
            origin = self._origins[key] = Origin(*key)
        if is_booking and key in self._origins:
            # Also one that a cancel has announced without its operation.
            self._booked[key] = self._origins.pop(key)
        memory = BOOKING_MEMORY_S if key in self._booked else SEARCH_MEMORY_S
        origin.forget_at = now + memory
        return origin

    def _forget_origins(self, origins, now):
        """Drop old requests, oldest first; an open one holds back the others."""
        for key, origin in origins.items():
            if origin.forget_at > now or origin.open:
                break
            self._old_keys.append(key)
        for key in self._old_keys:
            del origins[key]
        self._old_keys.clear()

    def _admit(self, dispatch, now, actions):
        row = self._targets.get(dispatch.target_id)
        code = self._find_refusal(dispatch, row, now)
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

    def _find_refusal(self, dispatch, row, now):
        """Return the code with which a request is refused, or None."""
        cancelled = dispatch.origin.cancelled
        if cancelled and dispatch.attempt in cancelled:
            self.cancelled += 1
            return CANCELLED
        if row is None:
            return NotHolderError.code
        if row.domain in self._domains_out:
            return DomainOutError.code
        # Written so that a remaining time that is not a number is refused too.
        if not dispatch.expires_at > now:
            return DeadlinePassedError.code
        return _UNFIT_CODES.get(row.state)

    def _check_permission(self, target_id, now):
        """Return the code of the error that forbids sending, or None."""
        try:
            self._permission.check_target(target_id, now)
        except NotRunError as error:
            return error.code
        return None

    def _is_overloaded(self, dispatch, row, now):
        """Whether the request would be answered too late."""
        team = dispatch.group.team
        if row.queue.count_team(team) >= MAX_QUEUED_PER_TEAM:
            return True
        service = row.median_latency or DEFAULT_SERVICE_S
        rounds = (row.queue.count_ahead(team) + 1) / max(1, row.limit)
        return now + (rounds + SERVICE_MARGIN) * service > dispatch.expires_at

    def _is_too_late(self, dispatch, row, now):
        """Whether a queued request would probably time out if it were sent now.

        A request that times out keeps its slot until the deadline plus `SKEW_S`,
        so under overload a few of them would take all slots.
        """
        service = row.median_latency or 0.0
        return now + SERVICE_MARGIN * service > dispatch.expires_at

    def _start(self, dispatch, now, actions):
        """Check permission, then dispatch a request for which there is room."""
        code = self._check_permission(dispatch.target_id, now)
        if code is not None:
            self._refuse(dispatch, code, actions)
            return
        row = dispatch.row
        if not self._limiter.try_acquire(row):
            self._note_breach(f"no room for a dispatch to {row.target_id}")
            self._refuse(dispatch, OverloadedError.code, actions)
            return
        self._limiter.note_start(row, now)
        dispatch.state = _RUNNING
        dispatch.started_at = now
        dispatch.gained_epoch = row.gained_epoch
        dispatch.deadline = min(dispatch.expires_at, now + MAX_SHARD_TIME_S)
        dispatch.sequence = row.sequence
        dispatch.is_alone = row.in_flight == 1
        self._occupied[dispatch] = None
        self.dispatched += 1
        actions.append(dispatch)

    def _drain(self, row, now, actions):
        """Dispatch queued requests while there is room."""
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
        """Answer a request that was not dispatched."""
        self.refused[code] = self.refused.get(code, 0) + 1
        answer = ShardAnswer(dispatch.attempt, code, Outcome.NOT_RUN)
        self._answer(dispatch, answer, actions)

    def _refuse_queue(self, row, code, actions):
        for dispatch in row.queue.pop_all():
            self._refuse(dispatch, code, actions)

    def _refuse_if_unfit(self, row, actions):
        code = _UNFIT_CODES.get(row.state)
        if code is not None and row.queue.waiting:
            self._refuse_queue(row, code, actions)

    def _answer_exchange(self, dispatch, answer, actions):
        """Answer a request that was dispatched."""
        code = answer.code
        if code == messages.ANSWERED:
            end = Outcome.DONE
        elif answer.is_provably_not_run or code == BadRequestError.code:
            end = Outcome.NOT_RUN
        else:
            end = Outcome.UNKNOWN
        reply = ShardAnswer(
            dispatch.attempt, code, end, answer.result, None, answer.versions
        )
        self._answer(dispatch, reply, actions)

    def _answer(self, dispatch, answer, actions):
        dispatch.state = _ANSWERED
        origin = dispatch.origin
        origin.attempts[dispatch.attempt] = None
        origin.open -= 1
        if origin.open < 0:
            self._note_breach("an attempt was answered twice")
        row = dispatch.row
        if row is not None:
            waiting = row.queue.waiting + row.in_flight
            service_ms = (row.median_latency or DEFAULT_SERVICE_S) * 1000
            answer.load = LoadEstimate(row.limit, waiting, service_ms)
        actions.append(Answer(origin, answer, not origin.open))

    def _cancel(self, dispatch, actions):
        if dispatch.state == _QUEUED:
            self.cancelled += 1
            dispatch.row.queue.discard(dispatch)
            self._refuse(dispatch, CANCELLED, actions)
        elif dispatch.is_cancelled or dispatch.group.operation == messages.BOOKING:
            return
        else:
            self.cancelled += 1
            dispatch.is_cancelled = True
            actions.append(Abort(dispatch))

    def _judge(self, dispatch, answer, now, actions):
        row = dispatch.row
        latency = now - dispatch.started_at
        if (
            answer.code == "connect_failed"
            and now >= dispatch.deadline
            and latency < SHORTEST_CONNECT_S
        ):
            # The deadline cut the attempt short, which says nothing of the target.
            return
        is_alone = dispatch.is_alone and row.sequence == dispatch.sequence
        self._health.handle_answer(
            row, answer, latency, is_alone, dispatch.sequence, now
        )
        self._refuse_if_unfit(row, actions)

    def _end_overdue(self, dispatch, now, actions):
        """Free the slot of a request that the target must have ended by now."""
        row = dispatch.row
        self._free_slot(dispatch, now, actions)
        if dispatch.state == _RUNNING:
            answer = TargetAnswer("timed_out")
            actions.append(Abort(dispatch))
            self._answer_exchange(dispatch, answer, actions)
        self._drain(row, now, actions)

    def _free_slot(self, dispatch, now, actions):
        row = dispatch.row
        del self._occupied[dispatch]
        self._limiter.release(row)
        if row.in_flight < 0:
            self._note_breach(f"negative count of requests to {row.target_id}")
        if row.in_flight:
            return
        row.idle_since = now
        if not row.is_held:
            del self._departed[row.target_id]
            actions.append(Retire(row.target_id))
            self._note_release()
        elif row.pending is not None:
            self._apply_pending(row, actions)

    def _note_breach(self, text):
        self.breaches += 1
        logger.error("impossible state: %s", text)

    # Changes of targets.

    def _remove_target(self, target_id, actions):
        row = self._targets.remove(target_id)
        row.is_held = False
        row.pending = None
        self._refuse_queue(row, NotHolderError.code, actions)
        if row.in_flight:
            self._departed[target_id] = row
        else:
            actions.append(Retire(target_id))

    def _set_target(self, target, epoch, now, actions):
        row = self._targets.get(target.target_id)
        if row is None:
            row = self._departed.pop(target.target_id, None)
            if row is None:
                row = _build_row(target)
            # A target regained while its requests are still in flight keeps
            # counting them, but may have been restarted meanwhile.
            row.is_held = True
            row.gained_epoch = epoch
            self._targets.add(target.target_id, row)
            row.state = COLD
            self._health.begin_gained(row, now)
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
            row.pending = None
            self._limiter.update(row)
            return
        row.pending = target
        self._limiter.update(row)
        if not row.in_flight:
            self._apply_pending(row, actions)

    def _apply_pending(self, row, actions):
        """Start with changed settings; the client must be created anew."""
        target = row.pending
        row.pending = None
        row.address = target.address
        row.slots = target.slots
        row.max_connections = target.max_connections
        row.boot_id = None
        self._limiter.restart(row)
        # Changed settings do not say that a target which drains takes work again;
        # only its status does.
        if row.state != DRAINING:
            row.state = COLD
        actions.append(Retire(row.target_id))

    def _note_release(self):
        if not self._departed:
            self._released_epoch = self._epoch


def _is_surely_over(answer):
    """Whether the target no longer works on the request."""
    return answer.code in _FINISHED_CODES or answer.is_over


_UNFIT_CODES = {DRAINING: "draining", DEAD: "connect_failed"}


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


class _Worker:
    """A task that runs one dispatch after another.

    Starting a trio task for each dispatch would cost more than waking this one.
    """

    __slots__ = ("task", "scope", "dispatch", "_idle")

    def __init__(self, idle):
        self.task = None
        self.scope = None
        self.dispatch = None
        self._idle = idle

    def take(self, dispatch):
        """Make a dispatch the next to run."""
        self.dispatch = dispatch
        dispatch.worker = self

    async def wait(self):
        """Be idle until rescheduled with a dispatch."""
        self._idle.append(self)
        await trio.lowlevel.wait_task_rescheduled(self._stop_waiting)

    def _stop_waiting(self, _raise_cancel):
        self._idle.remove(self)
        return trio.lowlevel.Abort.SUCCEEDED


class Holder:
    """Runs a `HolderCore` under trio.

    Parameters
    ----------
    permission : Permission
    link : links.Link
        Carries the answers.
    create_client : callable
        Called with `TargetSettings` and the number of connections that the client
        may open; returns a `TargetClient`. A cancelled exchange must not return
        before the target acknowledged the cancel or the deadline has passed.
    wall_clock : callable
        Returns Unix time in seconds.
    clock : callable
        Returns seconds of the monotonic clock that `permission` uses too.
    random : random.Random or None
        Source of jitter.
    observe_exchange : callable or None
        Called with failure domain and code of each exchange, for metrics.

    Attributes
    ----------
    core : HolderCore
        Also has the counts for metrics.
    """

    def __init__(
        self,
        permission,
        link,
        create_client,
        wall_clock=time.time,
        clock=trio.current_time,
        random=random,
        observe_exchange=None,
    ):
        self.core = HolderCore(permission, random)
        self._observe_exchange = observe_exchange
        self._link = link
        self._create_client = create_client
        self._wall_clock = wall_clock
        self._clock = clock
        self._clients = {}
        self._nursery = None
        self._idle = []
        self._batches = {}
        self._wake = None
        self._ticks = None

    async def run(self, timers, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled.

        Parameters
        ----------
        timers : timers.TimerService
        task_status : trio.TaskStatus
            Started once requests are taken.
        """
        self._ticks = timers.subscribe("holder", ADVANCE_PERIOD_S, self._advance)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await self._send_batches()
        finally:
            self._ticks.cancel()
            self._nursery = None

    def handle(self, envelope):
        """Take a `shard_group` or `shard_cancel` message.

        Raises
        ------
        ProtocolError
            If the message is of another kind or malformed.
        """
        if envelope.kind == ShardGroup.KIND:
            group = ShardGroup.from_body(envelope.body)
            self.submit(envelope.sender, envelope.number, group)
        elif envelope.kind == ShardCancel.KIND:
            cancel = ShardCancel.from_body(envelope.body)
            self.cancel(envelope.sender, envelope.number, cancel)
        else:
            raise ProtocolError(f"unexpected message {envelope.kind}")

    def submit(self, sender, number, group):
        """Take a group of attempts; see `HolderCore.submit`."""
        # The wall clock is read first: a pause between the two readings then
        # makes the deadline earlier and never later.
        wall, now = self._wall_clock(), self._clock()
        actions = self.core.submit(sender, number, group, now, wall)
        self._perform(actions, wall, now)

    def cancel(self, sender, number, cancel):
        """Cancel attempts; see `HolderCore.cancel`."""
        wall, now = self._wall_clock(), self._clock()
        self._perform(self.core.cancel(sender, number, cancel, now), wall, now)

    def set_targets(self, targets, epoch):
        """Replace the held targets; see `HolderCore.set_targets`."""
        wall, now = self._wall_clock(), self._clock()
        self._perform(self.core.set_targets(targets, epoch, now), wall, now)

    def set_domain_out(self, domain):
        """Refuse work to a failure domain."""
        wall, now = self._wall_clock(), self._clock()
        self._perform(self.core.set_domain_out(domain, now), wall, now)

    def set_domain_in(self, domain):
        """Serve a failure domain again."""
        wall, now = self._wall_clock(), self._clock()
        self._perform(self.core.set_domain_in(domain, now), wall, now)

    def _advance(self, _now):
        wall, now = self._wall_clock(), self._clock()
        self._perform(self.core.advance(now), wall, now)
        is_idle = not (self.core.count_in_flight() or self.core.count_queued())
        self._ticks.period = IDLE_ADVANCE_PERIOD_S if is_idle else ADVANCE_PERIOD_S

    def _perform(self, actions, wall, now, worker=None):
        """Perform actions; `worker` is free to take the first dispatch itself."""
        for action in actions:
            kind = type(action)
            if kind is Dispatch:
                action.set_wall_deadline(wall, now)
                self._begin(action, worker)
                worker = None
            elif kind is Answer:
                self._add_answer(action)
            elif kind is Abort:
                self._abort(action.dispatch)
            elif kind is Probe:
                self._nursery.start_soon(self._probe, action.target_id)
            else:
                self._retire(action.target_id)

    # Exchanges.

    def _begin(self, dispatch, worker):
        """Hand a dispatch to the given worker, an idle one or a new one."""
        if worker is not None:
            worker.take(dispatch)
        elif self._idle:
            worker = self._idle.pop()
            worker.take(dispatch)
            trio.lowlevel.reschedule(worker.task)
        else:
            worker = _Worker(self._idle)
            worker.take(dispatch)
            self._nursery.start_soon(self._work, worker)

    def _abort(self, dispatch):
        worker = dispatch.worker
        if worker.dispatch is dispatch and worker.scope is not None:
            worker.scope.cancel()

    async def _work(self, worker):
        worker.task = trio.lowlevel.current_task()
        while True:
            with trio.CancelScope() as worker.scope:
                await self._run_dispatches(worker)
            if worker.scope.cancelled_caught:
                is_early = self._clock() < worker.dispatch.deadline
                answer = TargetAnswer(CANCELLED if is_early else "timed_out")
                self._finish(worker, answer)

    async def _run_dispatches(self, worker):
        """Run dispatches until one of them is cancelled.

        One cancel scope serves many dispatches, since a scope for each would cost
        10 µs. After a cancel the scope is left even if the exchange ended in time,
        so that the cancel cannot reach the next dispatch.
        """
        while not worker.scope.cancel_called:
            if worker.dispatch is None:
                await worker.wait()
            answer = await self._exchange(worker.dispatch)
            self._finish(worker, answer)

    def _finish(self, worker, answer):
        dispatch = worker.dispatch
        worker.dispatch = None
        if self._observe_exchange is not None:
            self._observe_exchange(dispatch.row.domain, answer.code)
        wall, now = self._wall_clock(), self._clock()
        actions = self.core.complete(dispatch, answer, now)
        self._perform(actions, wall, now, worker)

    async def _exchange(self, dispatch):
        if dispatch.is_cancelled or not dispatch.is_running:
            return TargetAnswer(CANCELLED)
        if self._clock() >= dispatch.deadline:
            # Nothing was sent, so it is provable that the target did not run it.
            return TargetAnswer("deadline_passed")
        try:
            client = self._get_client(dispatch.row)
            return await client.exchange(dispatch.build_request())
        except BadRequestError as error:
            logger.warning("request for %s not sent: %s", dispatch.target_id, error)
            return TargetAnswer(error.code)
        except Exception:
            # A fault of one client must not end the service of the others.
            logger.exception("exchange with %s failed", dispatch.target_id)
            return TargetAnswer("wrong_answer")

    def _get_client(self, row):
        client = self._clients.get(row.target_id)
        if client is None:
            settings = TargetSettings(
                row.target_id,
                row.address,
                row.domain,
                row.slots,
                row.max_connections,
            )
            client = self._create_client(settings, row.connection_limit)
            self._clients[row.target_id] = client
        return client

    def _retire(self, target_id):
        client = self._clients.pop(target_id, None)
        if client is not None:
            self._nursery.start_soon(client.aclose)

    async def _probe(self, target_id):
        row = self.core.get_row(target_id)
        if row is None:
            return
        state = None
        client = self._get_client(row)
        try:
            with trio.move_on_after(STATUS_TIMEOUT_S):
                state = await client.fetch_status()
        except Exception:
            logger.exception("reading the status of %s failed", target_id)
        row.connections = client.connections
        wall, now = self._wall_clock(), self._clock()
        self._perform(self.core.handle_status(target_id, state, now), wall, now)

    # Answers.

    def _add_answer(self, action):
        """Send a request's last answer at once, others within a batch."""
        origin = action.origin
        batch = self._batches.get(origin)
        if batch is None:
            batch = self._batches[origin] = []
        batch.append(action.answer)
        if action.is_last:
            del self._batches[origin]
            self._send(origin, batch)
        elif self._wake is not None:
            self._wake.set()

    async def _send_batches(self):
        while True:
            self._wake = trio.Event()
            if not self._batches:
                await self._wake.wait()
            await trio.sleep(ANSWER_BATCH_S)
            batches, self._batches = self._batches, {}
            for origin, batch in batches.items():
                self._send(origin, batch)

    def _send(self, origin, batch):
        body = ShardAnswers(origin.request_id, batch).to_body()
        try:
            self._link.send(origin.sender, ShardAnswers.KIND, body, origin.number)
        except ProtocolError as error:
            logger.error("answers to %s were not sent: %s", origin.sender, error)
