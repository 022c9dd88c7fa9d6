"""Dispatches of requests to targets, other actions of a `HolderCore`, and queues."""

import heapq
import itertools

from .targets import TargetRequest

NEW = 0
QUEUED = 1
RUNNING = 2
ENDED = 3
"""States of a `Dispatch`. One that is removed from the queue is `NEW` again."""


class Dispatch:
    """One attempt to send a request to a target, from its receipt to its answer.

    It is also the action of sending the request.

    Attributes
    ----------
    origin : OriginRequest
    group : messages.ShardGroup
        Message in which the attempt arrived; it holds the query and its options.
    attempt : int
        Number of the attempt within the origin request.
    shard : str
    target_id : str
    expires_at : float
        Time at which the sender no longer needs the answer, in seconds of the
        local monotonic clock.
    deadline : float or None
        Latest time at which the target may accept the request; set at dispatch.
    started_at : float or None
        Time of the permission check that allowed the dispatch.
    gained_epoch : int
        `TargetRow.gained_epoch` at dispatch.
    wall_deadline : float or None
        `deadline` as Unix time in seconds; set by `Holder`.
    worker : object or None
        Worker task of `Holder` that runs it.
    row : tables.TargetRow or None
        Row of the target; None if this VM does not hold it on receipt.
    sequence : int
        Number of the dispatch among those to this target.
    started_alone : bool
        Whether no other request to the target was in flight at dispatch.
    is_abort_issued : bool
        Whether an `Abort` was issued; a cancelled attempt that was still queued gets
        none.
    state : int
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
        "started_alone",
        "is_abort_issued",
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
        self.started_alone = False
        self.is_abort_issued = False
        self.state = NEW

    @property
    def is_running(self):
        """Whether the attempt was dispatched and is not answered yet."""
        return self.state == RUNNING

    def set_wall_deadline(self, wall_time, now):
        """Set `wall_deadline`, which is at most the group's `dispatch_before`.

        Parameters
        ----------
        wall_time : float
            Unix time in seconds, read before `now`, so that a pause between the
            two readings can only make the deadline earlier.
        now : float
            Seconds of the local monotonic clock.
        """
        self.wall_deadline = wall_time + (self.deadline - now)
        if self.group.dispatch_before is not None:
            self.wall_deadline = min(self.wall_deadline, self.group.dispatch_before)

    def build_request(self):
        """Return the `TargetRequest` to send.

        The request id includes the attempt, because a target refuses an id once it
        was cancelled, and a later attempt of the same request may go to it.
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
    """Action: send the answer to one attempt to the entry VM.

    Attributes
    ----------
    origin : OriginRequest
    answer : messages.ShardAnswer
    is_last : bool
        Whether this VM has no other unanswered attempt of the same request.
    """

    __slots__ = ("origin", "answer", "is_last")

    def __init__(self, origin, answer, is_last):
        self.origin = origin
        self.answer = answer
        self.is_last = is_last


class Abort:
    """Action: cancel the exchange of a dispatch with its target."""

    __slots__ = ("dispatch",)

    def __init__(self, dispatch):
        self.dispatch = dispatch


class Probe:
    """Action: read a target's status and pass it to `HolderCore.handle_status`."""

    __slots__ = ("target_id",)

    def __init__(self, target_id):
        self.target_id = target_id


class CloseClient:
    """Action: close the client of a target to which nothing is in flight."""

    __slots__ = ("target_id",)

    def __init__(self, target_id):
        self.target_id = target_id


class OriginRequest:
    """A request of an entry VM, and the attempts of it that were sent to this VM.

    Attributes
    ----------
    sender : str
        Entry VM.
    number : int
        Number of the request, unique until the entry VM restarts.
    request_id : str
        Distinguishes requests with the same number from before and after a restart
        of the entry VM.
    attempts : dict of int to (Dispatch or None)
        By attempt number; None once answered.
    cancelled : set of int or None
        Attempts that were cancelled before they arrived.
    open_attempts : int
        Attempts that are not answered yet.
    retained_until : float
        Time in seconds of the local monotonic clock until which the request is kept,
        so that attempts received again are recognized.
    """

    __slots__ = (
        "sender",
        "number",
        "request_id",
        "attempts",
        "cancelled",
        "open_attempts",
        "retained_until",
    )

    def __init__(self, sender, number, request_id):
        self.sender = sender
        self.number = number
        self.request_id = request_id
        self.attempts = {}
        self.cancelled = None
        self.open_attempts = 0
        self.retained_until = 0.0


class _TeamQueue:
    """One team's queued requests to one target, ordered by deadline."""

    __slots__ = ("heap", "virtual_time", "waiting")

    def __init__(self):
        self.heap = []
        self.virtual_time = 0.0
        self.waiting = 0


class FairQueue:
    """Queue of one target: fair between teams, by deadline within a team.

    The team with the lowest virtual time is served next. Each request served
    advances it by one. A team with an empty queue accumulates no credit: its virtual
    time is raised to that of the queue when it queues a request again.
    """

    __slots__ = ("waiting", "_teams", "_sequence", "_virtual_time")

    def __init__(self):
        self.waiting = 0
        self._teams = {}
        self._sequence = itertools.count()
        self._virtual_time = 0.0

    def count_team(self, team):
        """Return the number of queued requests of a team."""
        queue = self._teams.get(team)
        return queue.waiting if queue is not None else 0

    def count_ahead(self, team):
        """Return how many queued requests will probably be served before a new one.

        This assumes equal virtual times: of each other team, at most one request is
        served before each request of this team.
        """
        own = self.count_team(team)
        return own + sum(
            min(queue.waiting, own + 1)
            for name, queue in self._teams.items()
            if name != team
        )

    def push(self, dispatch):
        """Queue a request."""
        team = dispatch.group.team
        queue = self._teams.get(team)
        if queue is None:
            queue = self._teams[team] = _TeamQueue()
        if not queue.waiting:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        entry = (dispatch.expires_at, next(self._sequence), dispatch)
        heapq.heappush(queue.heap, entry)
        queue.waiting += 1
        self.waiting += 1
        dispatch.state = QUEUED

    def pop(self):
        """Remove and return the next request, or None if the queue is empty."""
        if not self.waiting:
            return None
        queue = min(
            (queue for queue in self._teams.values() if queue.waiting),
            key=lambda queue: queue.virtual_time,
        )
        self._virtual_time = queue.virtual_time
        queue.virtual_time += 1.0
        return self._pop_from(queue)

    def pop_expired(self, now):
        """Remove and return the requests that expired."""
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
        """Remove and return all requests."""
        dispatches = []
        for queue in self._teams.values():
            while queue.waiting:
                dispatches.append(self._pop_from(queue))
        return dispatches

    def discard(self, dispatch):
        """Remove one request; its heap entry is skipped when it is reached."""
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
