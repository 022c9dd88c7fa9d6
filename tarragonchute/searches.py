"""One query over all shards: attempts, hedges, retries, merge and coverage."""

import itertools
import math

import trio

from . import errors
from .messages import ANSWERED, ShardCancel, ShardGroup, ShardItem

MERGE_RESERVE_FRACTION = 0.05
"""Part of the deadline that is kept for the merge."""

MIN_MERGE_RESERVE_S = 0.002

HOP_ALLOWANCE_MS = 1.0
"""Subtracted from the remaining time that is passed on to a holder."""

MIN_RETRY_TIME_FRACTION = 0.25
"""Part of the deadline that must remain for a retry."""

MIN_RESTART_TIME_FRACTION = 0.5
"""Part of the deadline that must remain for a restart on another version."""

RETRY_DELAY_S = 0.02
"""Pause before a replica that was tried already is tried again.

A target is unserved for 0.1 to 0.4 s while it changes holders, so faster retries
would spend the budget on refusals.
"""

HEDGE_QUANTILE = 0.95

HEDGE_RECHECK_S = 0.02
"""Pause before a hedge is tried again that had no budget or no room."""

RESTART_QUANTILE = 0.5

MIN_HEDGE_DELAY_S = 0.001

DEFAULT_HEDGE_DELAY_FRACTION = 0.25
"""Hedge delay as a part of the deadline until latencies have been measured."""

NOT_SENT = "not_sent"
"""Code of an attempt that the link did not take."""

HOLDER_LOST = "connection_lost"
"""Code of an attempt whose holder was lost before it answered."""

VERSION_MISSING = "version_missing"

LOAD_REFUSALS = frozenset({"overloaded", "shedding"})
"""Refusals that must not be sent on freely, since that would add to an overload."""

HOLDER_REFUSALS = frozenset({"not_holder", "no_lease", NOT_SENT})
"""Refusals during a hand-over. No target saw the attempt, so trying again after a
short delay costs no retry token; without this, a few searches during a hand-over used
up the tokens and later ones gave up shards that were served again 0.2 s later."""


def subtract_merge_reserve(deadline_s):
    """Return the seconds until the answer must be merged.

    Parameters
    ----------
    deadline_s : float
        Seconds that the caller grants for the whole request.
    """
    return deadline_s - max(deadline_s * MERGE_RESERVE_FRACTION, MIN_MERGE_RESERVE_S)


class Coverage:
    """How much of the snapshot an answer covers.

    Parameters
    ----------
    answered, total : int
        Numbers of shards.
    missing : list of str
        Shards that did not answer, sorted.
    """

    __slots__ = ("answered", "total", "missing")

    def __init__(self, answered, total, missing):
        self.answered = answered
        self.total = total
        self.missing = missing

    @property
    def fraction(self):
        """Part of the shards that answered, from 0 to 1."""
        return self.answered / self.total if self.total else 1.0

    def __str__(self):
        text = f"{self.answered} of {self.total} shards answered"
        return f"{text}; missing: {', '.join(self.missing)}" if self.missing else text


class SearchResult:
    """The answer to one query.

    Parameters
    ----------
    request_id : str
    version : str
        The one snapshot from which all results come.
    coverage : Coverage
    results : list
        JSON of each shard's result, in the order of the layout.
    load_refusals : int
        Attempts that were refused for overload, for the admission.
    """

    __slots__ = ("request_id", "version", "coverage", "results", "load_refusals")

    def __init__(self, request_id, version, coverage, results, load_refusals=0):
        self.request_id = request_id
        self.version = version
        self.coverage = coverage
        self.results = results
        self.load_refusals = load_refusals


class SendGroup:
    """Action: send a group of attempts to a holder.

    Parameters
    ----------
    vm_id : str
    message : ShardGroup
    """

    __slots__ = ("vm_id", "message")

    def __init__(self, vm_id, message):
        self.vm_id = vm_id
        self.message = message


class SendCancel:
    """Action: tell a holder that attempts are no longer needed.

    Parameters
    ----------
    vm_id : str
    message : ShardCancel
    """

    __slots__ = ("vm_id", "message")

    def __init__(self, vm_id, message):
        self.vm_id = vm_id
        self.message = message


class _Attempt(ShardItem):
    """A sent item; `state` is the `_Shard` that it belongs to."""

    __slots__ = ("state", "vm_id", "layout", "sent_at")

    def __init__(self, attempt, target, state, vm_id, layout, sent_at):
        self.attempt = attempt
        self.shard = state.name
        self.target = target
        self.state = state
        self.vm_id = vm_id
        self.layout = layout
        self.sent_at = sent_at


class _Shard:
    __slots__ = (
        "name",
        "replicas",
        "open",
        "tried",
        "lacking",
        "offered",
        "is_hedged",
        "is_refused_early",
        "is_answered",
        "result",
    )

    def __init__(self, name, replicas):
        self.name = name
        self.replicas = replicas
        self.open = []
        self.tried = []
        self.lacking = ()
        self.offered = frozenset()
        self.is_hedged = False
        self.is_refused_early = False
        self.is_answered = False
        self.result = None


class SearchRun:
    """The state of one query. Pure: times are arguments, messages are returned.

    Parameters
    ----------
    request_id : str
        128 random bits in hexadecimal.
    team, dataset : str
    query : object
        JSON of the query.
    deadline_s : float
        Seconds from `start` within which the caller must have the answer.
    least_coverage : float
        Fraction from 0 to 1.
    chooser : SnapshotChooser
    router : Router
    budget : Budget
    """

    __slots__ = (
        "request_id",
        "is_finished",
        "extra_attempts",
        "hedges",
        "_team",
        "_dataset",
        "_query",
        "_deadline_s",
        "_least_coverage",
        "_chooser",
        "_router",
        "_budget",
        "_record_latency",
        "_numbers",
        "_layout",
        "_shards",
        "_attempts",
        "_open",
        "_unanswered",
        "_idle",
        "_idle_due",
        "_hedge_due",
        "_started_at",
        "_answer_due",
        "_retry_until",
        "_has_restarted",
        "_may_have_run",
        "_refusal",
        "_load_refusals",
        "_sends",
        "_cancels",
    )

    def __init__(
        self,
        request_id,
        team,
        dataset,
        query,
        deadline_s,
        least_coverage,
        chooser,
        router,
        budget,
    ):
        self.request_id = request_id
        self.is_finished = False
        self.extra_attempts = 0
        self.hedges = 0
        self._team = team
        self._dataset = dataset
        self._query = query
        self._deadline_s = deadline_s
        self._least_coverage = least_coverage
        self._chooser = chooser
        self._router = router
        self._budget = budget
        self._record_latency = router.get_shard_latencies(dataset).record
        self._numbers = itertools.count(1)
        self._layout = None
        self._shards = []
        self._attempts = {}
        self._open = 0
        self._unanswered = 0
        self._idle = []
        self._idle_due = math.inf
        self._hedge_due = math.inf
        self._has_restarted = False
        self._may_have_run = False
        self._refusal = None
        self._load_refusals = 0
        self._sends = {}
        self._cancels = {}

    def start(self, now):
        """Pin a version and return the first actions.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        list of SendGroup or SendCancel

        Raises
        ------
        UnknownDatasetError
            If the dataset is unknown or has no published version.
        DeadlinePassedError
            If the deadline leaves no time beyond the merge.
        """
        if subtract_merge_reserve(self._deadline_s) <= 0:
            raise errors.DeadlinePassedError("the deadline leaves no time to search")
        self._started_at = now
        self._answer_due = now + subtract_merge_reserve(self._deadline_s)
        self._retry_until = now + self._deadline_s * (1.0 - MIN_RETRY_TIME_FRACTION)
        layout = self._chooser.pin(self._dataset, now)
        self._budget.earn(len(layout.shards))
        self._begin(layout, now)
        return self._flush(now)

    def handle_answer(self, answer, now, vm_id=None):
        """Take one answer and return the actions that follow from it.

        Parameters
        ----------
        answer : ShardAnswer
            Ignored unless its attempt is open.
        now : float
            Monotonic seconds.
        vm_id : str or None
            Sender of the answer; None skips the check that it is the holder to
            which the attempt was sent.
        """
        return self.handle_answers((answer,), now, vm_id)

    def handle_answers(self, answers, now, vm_id=None):
        """Take several answers at once; see `handle_answer`."""
        if now >= self._answer_due:
            return self.advance(now)
        for answer in answers:
            attempt = self._take_attempt(answer.attempt, vm_id)
            if attempt is not None:
                self._handle(attempt, answer, now)
        return self._flush(now)

    def handle_holder_lost(self, vm_id, now):
        """Treat the open attempts at a holder as lost; they may have run."""
        numbers = [n for n, a in self._attempts.items() if a.vm_id == vm_id]
        self._fail(numbers, _Failure(HOLDER_LOST, errors.Outcome.UNKNOWN), now)
        return self._flush(now)

    def handle_not_sent(self, attempts, now):
        """Treat attempts as refused by the link; they provably did not run.

        Parameters
        ----------
        attempts : list of int
        now : float
            Monotonic seconds.
        """
        self._fail(attempts, _Failure(NOT_SENT, errors.Outcome.NOT_RUN), now)
        return self._flush(now)

    def advance(self, now):
        """Do what is due: hedges, delayed retries, the answer at the deadline."""
        if self.is_finished:
            return ()
        if now >= self._answer_due:
            self._finish(now)
            return self._flush(now)
        if now >= self._hedge_due:
            self._hedge(now)
        if now >= self._idle_due:
            self._retry_idle(now)
        self._finish_if_settled(now)
        return self._flush(now)

    def cancel(self, now):
        """End the run because the caller has gone; return the cancellations."""
        if not self.is_finished:
            self._finish(now)
        return self._flush(now)

    def next_due(self):
        """Return the time in monotonic seconds at which `advance` is due."""
        if self.is_finished:
            return math.inf
        return min(self._answer_due, self._hedge_due, self._idle_due)

    @property
    def first_attempts(self):
        """Number of shards, each of which has a first attempt."""
        return len(self._shards)

    def result(self):
        """Return the `SearchResult` of a finished run.

        Raises
        ------
        CoverageTooLowError
            If fewer shards answered than the caller accepts. Its attributes
            `coverage` and `load_refusals` are as in a `SearchResult`.
        NotRunError
            If moreover no attempt can have run on any target.
        """
        coverage = self.coverage()
        if coverage.fraction < self._least_coverage:
            raise self._build_error(coverage)
        results = [s.result for s in self._shards if s.is_answered]
        version = self._layout.version
        return SearchResult(
            self.request_id, version, coverage, results, self._load_refusals
        )

    def coverage(self):
        """Return the `Coverage` of the pinned version so far."""
        missing = sorted(s.name for s in self._shards if not s.is_answered)
        total = len(self._shards)
        return Coverage(total - len(missing), total, missing)

    # Attempts

    def _begin(self, layout, now):
        self._layout = layout
        self._shards = [_Shard(name, reps) for name, reps in layout.shards.items()]
        self._unanswered = len(self._shards)
        self._open = 0
        self._idle = []
        self._idle_due = math.inf
        self._hedge_due = now + self._hedge_delay()
        for shard in self._shards:
            if not self._try_send(shard, shard.replicas, now):
                self._wait(shard, now)
        self._finish_if_settled(now)

    def _try_send(self, shard, targets, now):
        choice = self._router.choose(targets, now)
        if choice is None:
            return False
        target, vm_id = choice
        number = next(self._numbers)
        attempt = _Attempt(number, target, shard, vm_id, self._layout, now)
        self._attempts[number] = attempt
        self._open += 1
        shard.open.append(attempt)
        shard.tried.append(target)
        self._router.record_sent(target)
        group = self._sends.get(vm_id)
        if group is None:
            self._sends[vm_id] = [attempt]
        else:
            group.append(attempt)
        return True

    def _take_attempt(self, number, vm_id):
        """Return an open attempt and close it for further answers."""
        attempt = self._attempts.get(number)
        if attempt is None or vm_id not in (None, attempt.vm_id):
            return None
        del self._attempts[number]
        return attempt

    def _is_current(self, attempt):
        """Whether an answer may count: it must be of the pinned version."""
        return attempt.layout is self._layout and not self.is_finished

    def _handle(self, attempt, answer, now):
        self._close(attempt, answer, now)
        if answer.outcome != errors.Outcome.NOT_RUN:
            self._may_have_run = True
        if not self._is_current(attempt):
            return
        if answer.code == ANSWERED:
            self._accept(attempt, answer.result, now)
        else:
            self._handle_failure(attempt, answer, now)

    def _close(self, attempt, answer, now):
        self._router.record_answer(attempt.target, answer.code, answer.load, now)
        attempt.state.open.remove(attempt)
        if attempt.layout is self._layout:
            self._open -= 1

    def _accept(self, attempt, result, now):
        shard = attempt.state
        shard.is_answered = True
        shard.result = result
        self._unanswered -= 1
        self._record_latency(now - attempt.sent_at)
        if shard.open:
            self._cancel_losers(shard, now)
        if not self._unanswered or not self._open:
            self._finish_if_settled(now)

    def _cancel_losers(self, shard, now):
        for attempt in list(shard.open):
            self._abandon(attempt, now)
            # The loser took at least this long; leaving it out would lower the
            # hedge delay with each hedge.
            self._record_latency(now - attempt.sent_at)

    def _abandon(self, attempt, now):
        """Close an attempt that nobody waits for, and have it cancelled."""
        del self._attempts[attempt.attempt]
        self._may_have_run = True
        is_overdue = now - attempt.sent_at >= self._hedge_delay()
        self._router.record_cancelled(attempt.target, is_overdue, now)
        attempt.state.open.remove(attempt)
        if attempt.layout is self._layout:
            self._open -= 1
        self._cancels.setdefault(attempt.vm_id, []).append(attempt.attempt)

    # Failures

    def _fail(self, numbers, failure, now):
        for number in numbers:
            attempt = self._take_attempt(number, None)
            if attempt is not None:
                self._handle(attempt, failure, now)

    def _handle_failure(self, attempt, answer, now):
        shard = attempt.state
        self._refusal = answer.code
        self._load_refusals += answer.code in LOAD_REFUSALS
        shard.is_refused_early = answer.code in HOLDER_REFUSALS
        if answer.code == VERSION_MISSING:
            shard.lacking = (*shard.lacking, attempt.target)
            shard.offered = shard.offered.union(answer.versions)
        if shard.is_answered or shard.open:
            return
        if not self._try_other_replica(shard, answer, now):
            self._wait(shard, now)
        if not self._open:
            self._finish_if_settled(now)

    def _try_other_replica(self, shard, answer, now):
        untried = [t for t in shard.replicas if t not in shard.tried]
        if not untried:
            return False
        is_refusal = answer.outcome == errors.Outcome.NOT_RUN
        is_free = is_refusal and answer.code not in LOAD_REFUSALS
        if not is_free and not self._may_retry(now):
            return False
        if not self._try_send(shard, untried, now):
            return False
        self.extra_attempts += 1
        return True

    def _may_retry(self, now):
        return now <= self._retry_until and self._budget.retries.try_spend(now)

    def _wait(self, shard, now):
        """Try a shard again later, or restart if its version is unobtainable."""
        if shard.lacking and self._is_unobtainable(shard, now):
            self._handle_unobtainable(shard, now)
            return
        due = now + RETRY_DELAY_S
        if due <= self._retry_until:
            self._idle.append(shard)
            self._idle_due = min(self._idle_due, due)

    def _is_unobtainable(self, shard, now):
        others = [t for t in shard.replicas if t not in shard.lacking]
        return not others or self._router.choose(others, now) is None

    def _handle_unobtainable(self, shard, now):
        layout = self._layout
        self._chooser.report_missing(
            self._dataset, layout.version, shard.name, shard.offered, now
        )
        if self._has_restarted or not self._has_time_to_restart(now):
            return
        other = self._chooser.choose_alternative(
            self._dataset, layout.version, shard.offered, now
        )
        if other is not None:
            self._restart(other, now)

    def _has_time_to_restart(self, now):
        left = self._started_at + self._deadline_s - now
        median = (
            self._router.get_query_latency_quantile(self._dataset, RESTART_QUANTILE)
            or 0.0
        )
        return left >= self._deadline_s * MIN_RESTART_TIME_FRACTION and left >= median

    def _restart(self, layout, now):
        """Drop every result and begin again on another version.

        The open attempts stay known until they are answered, since they still load
        their targets; `_is_current` refuses their results.
        """
        self._has_restarted = True
        self._sends.clear()
        for attempt in self._attempts.values():
            self._cancels.setdefault(attempt.vm_id, []).append(attempt.attempt)
        self.extra_attempts += len(layout.shards)
        self._begin(layout, now)

    # Timed steps

    def _hedge_delay(self):
        delay = self._router.get_shard_latency_quantile(self._dataset, HEDGE_QUANTILE)
        if delay is None:
            return self._deadline_s * DEFAULT_HEDGE_DELAY_FRACTION
        return max(delay, MIN_HEDGE_DELAY_S)

    def _hedge(self, now):
        delay = self._hedge_delay()
        self._hedge_due = math.inf
        for shard in self._shards:
            if shard.is_answered or shard.is_hedged or not shard.open:
                continue
            sent_at = shard.open[-1].sent_at
            if sent_at + delay > now:
                self._hedge_due = min(self._hedge_due, sent_at + delay)
            elif not self._hedge_shard(shard, now):
                self._hedge_due = min(self._hedge_due, now + HEDGE_RECHECK_S)

    def _hedge_shard(self, shard, now):
        """Send a second attempt; return False if there is no room or budget."""
        untried = [t for t in shard.replicas if t not in shard.tried]
        if not untried:
            shard.is_hedged = True
            return True
        untried = [t for t in untried if self._router.has_room(t, now)]
        if not untried or not self._budget.hedges.try_spend(now):
            return False
        shard.is_hedged = True
        if self._try_send(shard, untried, now):
            self.extra_attempts += 1
            self.hedges += 1
        return True

    def _retry_idle(self, now):
        shards, self._idle = self._idle, []
        self._idle_due = math.inf
        layout = self._layout
        for shard in shards:
            if layout is not self._layout:
                return
            self._retry_shard(shard, now)

    def _retry_shard(self, shard, now):
        is_free = shard.is_refused_early or not shard.tried
        if not is_free and not self._budget.retries.try_spend(now):
            self._wait(shard, now)
            return
        targets = [t for t in shard.replicas if t not in shard.lacking]
        if not self._try_send(shard, targets, now):
            self._wait(shard, now)
        elif not is_free:
            self.extra_attempts += 1

    # End

    def _finish_if_settled(self, now):
        """Finish when nothing more can be gained by waiting."""
        if self.is_finished or (self._unanswered and (self._open or self._idle)):
            return
        self._finish(now)

    def _finish(self, now):
        self.is_finished = True
        self._sends.clear()
        for attempt in list(self._attempts.values()):
            self._abandon(attempt, now)
        if not self._unanswered:
            self._router.record_query_latency(self._dataset, now - self._started_at)

    def _build_error(self, coverage):
        cls = errors.CoverageTooLowError
        if not self._may_have_run and coverage.answered == 0:
            cls = errors.find_error_class(self._refusal)
            if cls is None or not issubclass(cls, errors.NotRunError):
                cls = errors.NotRunError
        error = cls(f"{coverage.fraction:.4f} covered: {coverage}")
        error.coverage = coverage
        error.load_refusals = self._load_refusals
        return error

    def _flush(self, now):
        """Return the collected messages as actions."""
        if not self._sends and not self._cancels:
            return ()
        actions = []
        for vm_id, numbers in self._cancels.items():
            message = ShardCancel(self.request_id, numbers)
            actions.append(SendCancel(vm_id, message))
        left_ms = (self._answer_due - now) * 1000.0 - HOP_ALLOWANCE_MS
        for vm_id, items in self._sends.items():
            actions.append(SendGroup(vm_id, self._build_group(items, left_ms)))
        self._sends = {}
        self._cancels = {}
        return actions

    def _build_group(self, items, left_ms):
        return ShardGroup(
            self.request_id,
            self._team,
            self._dataset,
            self._layout.version,
            self._query,
            left_ms,
            items,
        )


class _Failure:
    """An attempt that ended without an answer."""

    __slots__ = ("code", "outcome", "load", "versions")

    def __init__(self, code, outcome):
        self.code = code
        self.outcome = outcome
        self.load = None
        self.versions = ()


class Searcher:
    """Runs queries over a link to the holders.

    Each query waits in its caller's own task with one deadline in trio's timer heap,
    which is moved as its next step changes; there is no timer for a shard and no
    work while nothing is due.

    Parameters
    ----------
    link : Link
    chooser : SnapshotChooser
    router : Router
    budgets : Budgets
    numbers : iterator of int
        Request numbers of this VM, shared with every other user of the link.
    observe_run : callable or None
        Called with each `SearchRun` that has ended, for metrics.
    """

    __slots__ = (
        "_link",
        "_chooser",
        "_router",
        "_budgets",
        "_numbers",
        "_observe_run",
        "_open",
    )

    def __init__(self, link, chooser, router, budgets, numbers, observe_run=None):
        self._link = link
        self._chooser = chooser
        self._router = router
        self._budgets = budgets
        self._numbers = numbers
        self._observe_run = observe_run
        self._open = {}

    async def search(
        self, team, dataset, query, deadline_s, least_coverage, request_id
    ):
        """Run one query and return its `SearchResult`.

        Cancelling the call cancels the attempts that are open.

        Parameters
        ----------
        team, dataset : str
        query : object
            JSON of the query.
        deadline_s : float
            Seconds from now within which the caller must have the answer.
        least_coverage : float
            Fraction from 0 to 1.
        request_id : str
            128 random bits in hexadecimal.

        Raises
        ------
        CoverageTooLowError, UnknownDatasetError, NotRunError
            See `SearchRun.result` and `SearchRun.start`.
        """
        now = trio.current_time()
        budget = self._budgets.find(dataset, now)
        run = SearchRun(
            request_id,
            team,
            dataset,
            query,
            deadline_s,
            least_coverage,
            self._chooser,
            self._router,
            budget,
        )
        number = next(self._numbers)
        search = self._open[number] = _OpenSearch(number, run)
        try:
            self._perform(search, run.start(now))
            await self._wait(search)
        finally:
            del self._open[number]
            self._perform(search, run.cancel(trio.current_time()))
            if self._observe_run is not None:
                self._observe_run(run)
        return run.result()

    def handle_answers(self, vm_id, number, answers):
        """Take answers from a holder.

        Parameters
        ----------
        vm_id : str
            Sender of the message.
        number : int
            Request number of the envelope.
        answers : ShardAnswers

        Returns
        -------
        bool
            False if no open query has this number and request id.
        """
        search = self._open.get(number)
        if search is None or search.run.request_id != answers.request_id:
            return False
        now = trio.current_time()
        self._perform(search, search.run.handle_answers(answers.answers, now, vm_id))
        return True

    def handle_holder_lost(self, vm_id):
        """Give up the attempts at a VM that was lost."""
        now = trio.current_time()
        for search in list(self._open.values()):
            self._perform(search, search.run.handle_holder_lost(vm_id, now))

    async def _wait(self, search):
        run = search.run
        while not run.is_finished:
            search.scope = trio.CancelScope(deadline=run.next_due())
            with search.scope:
                await search.is_finished.wait()
            if not run.is_finished:
                self._perform(search, run.advance(trio.current_time()))

    def _perform(self, search, actions):
        """Send messages; an action may make the holder answer at once."""
        for action in actions:
            is_group = type(action) is SendGroup
            if is_group and search.run.is_finished:
                continue
            message = action.message
            is_sent = self._link.send(
                action.vm_id, message.KIND, message.to_body(), search.number
            )
            if is_group and not is_sent:
                numbers = [item.attempt for item in message.items]
                now = trio.current_time()
                self._perform(search, search.run.handle_not_sent(numbers, now))
        search.update()


class _OpenSearch:
    """A query under way and the task that waits for it."""

    __slots__ = ("number", "run", "is_finished", "scope")

    def __init__(self, number, run):
        self.number = number
        self.run = run
        self.is_finished = trio.Event()
        self.scope = None

    def update(self):
        """Wake the waiting task, or move its deadline."""
        if self.run.is_finished:
            self.is_finished.set()
        elif self.scope is not None:
            due = self.run.next_due()
            if due != self.scope.deadline:
                self.scope.deadline = due
