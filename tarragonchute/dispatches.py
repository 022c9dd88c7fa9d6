"""Attempts at a target, the actions on them, and the queue in which they wait."""

import heapq
import itertools

from .targets import TargetRequest

NEW = 0
QUEUED = 1
RUNNING = 2
ENDED = 3
"""States of a `Dispatch`, in their order."""


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
        self.state = NEW

    @property
    def is_running(self):
        """Whether it was dispatched and has no answer yet."""
        return self.state == RUNNING

    def set_wall_deadline(self, wall_time, now):
        """Set `wall_deadline`; a booking's is at most its `dispatch_before`.

        Parameters
        ----------
        wall_time : float
            Unix time in seconds, read before `now`. A pause between the readings
            then makes the deadline earlier and never later.
        now : float
            Seconds of the local monotonic clock.
        """
        self.wall_deadline = wall_time + (self.deadline - now)
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


class CloseClient:
    """Action: close the client of a target with which nothing is in flight."""

    __slots__ = ("target_id",)

    def __init__(self, target_id):
        self.target_id = target_id


class OriginRequest:
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
        "open_attempts",
        "forget_at",
    )

    def __init__(self, sender, number, request_id):
        self.sender = sender
        self.number = number
        self.request_id = request_id
        self.attempts = {}
        self.cancelled = None
        self.open_attempts = 0
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
        dispatch.state = QUEUED

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
                if dispatch.state != QUEUED:
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
        dispatch.state = NEW
        if not queue.waiting:
            queue.heap.clear()

    def _pop_from(self, queue):
        while True:
            dispatch = heapq.heappop(queue.heap)[2]
            if dispatch.state == QUEUED:
                break
        queue.waiting -= 1
        self.waiting -= 1
        dispatch.state = NEW
        if not queue.waiting:
            queue.heap.clear()
        return dispatch
