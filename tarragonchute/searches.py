"""Searches: one query sent to all shards of a dataset, with hedges and retries."""

import itertools
import math

import trio

from . import errors
from .messages import ANSWERED, ShardCancel, ShardGroup, ShardItem

MERGE_RESERVE_FRACTION = 0.05
"""Fraction of the deadline that is reserved for merging the results."""

MIN_MERGE_RESERVE_S = 0.002

HOP_ALLOWANCE_MS = 1.0
"""Subtracted from the remaining time that is sent to a holder, for the network hop."""

MIN_RETRY_TIME_FRACTION = 0.25
"""Fraction of the deadline that must remain for a retry."""

MIN_RESTART_TIME_FRACTION = 0.5
"""Fraction of the deadline that must remain for a restart on another version."""

RETRY_DELAY_S = 0.02
"""Delay before a shard whose replicas were all tried is tried again.

While a target changes holders, no VM serves it for 0.1 to 0.4 s. Faster retries would
only be refused again.
"""

HEDGE_QUANTILE = 0.95
"""Quantile of the dataset's shard latency that is used as hedge delay."""

HEDGE_RECHECK_S = 0.02
"""Delay before retrying a hedge that the budget or the replicas' load prevented."""

RESTART_QUANTILE = 0.5
"""A restart needs this quantile of the dataset's query latency as remaining time."""

MIN_HEDGE_DELAY_S = 0.001

DEFAULT_HEDGE_DELAY_FRACTION = 0.25
"""Hedge delay, as a fraction of the deadline, used until latencies are measured."""

NOT_SENT = "not_sent"
"""Code of an attempt whose message the link could not send."""

HOLDER_LOST = "connection_lost"
"""Code of an attempt whose holder was lost before it answered."""

VERSION_MISSING = "version_missing"
"""Code of a target that does not have the requested version of its shard."""

LOAD_REFUSALS = frozenset({"overloaded", "shedding"})
"""Codes of overload. A retry after one costs a retry token, since it adds load."""

FREE_RETRY_CODES = frozenset({"not_holder", "no_lease", NOT_SENT})
"""Codes of attempts that never reached a target, mostly because it changed holders.

A retry after a short delay costs no retry token. When these retries cost tokens, a few
searches during a handover used them all up, and the following searches lacked shards
that were available again after 0.2 s.
"""


def subtract_merge_reserve(deadline_s):
    """Return the deadline less the time reserved for merging and answering.

    Parameters
    ----------
    deadline_s : float
        Deadline of the whole request in seconds from now.
    """
    return deadline_s - max(deadline_s * MERGE_RESERVE_FRACTION, MIN_MERGE_RESERVE_S)


class Coverage:
    """How many shards of the snapshot an answer covers.

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
        """Fraction of the shards that answered, from 0 to 1."""
        return self.answered / self.total if self.total else 1.0

    def __str__(self):
        text = f"{self.answered} of {self.total} shards answered"
        return f"{text}; missing: {', '.join(self.missing)}" if self.missing else text


class SearchResult:
    """The answer to one search.

    Parameters
    ----------
    request_id : str
    version : str
        The snapshot version from which all results come.
    coverage : Coverage
    results : list
        JSON of each shard's result, in the order of the layout.
    load_refusals : int
        Attempts that were refused because of overload; an input of admission control.
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
    """Action: notify a holder that attempts are no longer needed.

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
    """One attempt at a shard, as an item of the message that is sent.

    Attributes
    ----------
    shard_state : _ShardState
        The shard that it searches.
    vm_id : str
        Holder to which it was sent.
    layout : snapshots.Layout
        Layout of the pinned version when it was sent.
    sent_at : float
        Monotonic seconds.
    """

    __slots__ = ("shard_state", "vm_id", "layout", "sent_at")

    def __init__(self, attempt, target, shard_state, vm_id, layout, sent_at):
        self.attempt = attempt
        self.shard = shard_state.name
        self.target = target
        self.shard_state = shard_state
        self.vm_id = vm_id
        self.layout = layout
        self.sent_at = sent_at


class _ShardState:
    """The progress of one shard.

    Attributes
    ----------
    name : str
    replicas : list of str
        Target ids.
    open_attempts : list of _Attempt
        Attempts that were neither answered nor cancelled.
    tried_targets : list of str
        Targets of all attempts, in order.
    targets_without_version : tuple of str
        Targets that do not have the pinned version.
    available_versions : frozenset of str
        Versions that these targets have instead.
    is_hedge_done : bool
        Whether a hedge was tried, or no replica is left for one.
    is_retry_free : bool
        Whether the last failure is one of `FREE_RETRY_CODES`.
    is_answered : bool
    result : object
        JSON of the result, once it is answered.
    """

    __slots__ = (
        "name",
        "replicas",
        "open_attempts",
        "tried_targets",
        "targets_without_version",
        "available_versions",
        "is_hedge_done",
        "is_retry_free",
        "is_answered",
        "result",
    )

    def __init__(self, name, replicas):
        self.name = name
        self.replicas = replicas
        self.open_attempts = []
        self.tried_targets = []
        self.targets_without_version = ()
        self.available_versions = frozenset()
        self.is_hedge_done = False
        self.is_retry_free = False
        self.is_answered = False
        self.result = None


class SearchRun:
    """The state machine of one search, without I/O.

    Times are arguments, and messages to send are returned as actions.

    Parameters
    ----------
    request_id : str
        128 random bits in hexadecimal.
    team, dataset : str
    query : object
        JSON of the query.
    deadline_s : float
        Seconds after `start` within which the caller must have the answer.
    least_coverage : float
        Fraction of the shards that must answer, from 0 to 1.
    chooser : SnapshotChooser
    router : Router
    budget : Budget

    Attributes
    ----------
    is_finished : bool
    extra_attempts : int
        Attempts beyond the first one at each shard: hedges, retries and the attempts of
        a restart. Delayed retries that cost no retry token are not counted.
    hedges : int
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
        "_attempt_numbers",
        "_layout",
        "_shards",
        "_open_attempts",
        "_current_open_count",
        "_unanswered_count",
        "_waiting_shards",
        "_retry_due",
        "_hedge_due",
        "_started_at",
        "_answer_deadline",
        "_retry_deadline",
        "_has_restarted",
        "_may_have_run",
        "_last_failure_code",
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
        self._attempt_numbers = itertools.count(1)
        self._layout = None
        self._shards = []
        self._open_attempts = {}
        # Open attempts of the pinned version; `_open_attempts` may hold older ones.
        self._current_open_count = 0
        self._unanswered_count = 0
        self._waiting_shards = []
        self._retry_due = math.inf
        self._hedge_due = math.inf
        self._has_restarted = False
        self._may_have_run = False
        self._last_failure_code = None
        self._load_refusals = 0
        self._sends = {}
        self._cancels = {}

    def start(self, now):
        """Pin a version and return the actions that start the search.

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
            If the deadline is not longer than the merge reserve.
        """
        if subtract_merge_reserve(self._deadline_s) <= 0:
            raise errors.DeadlinePassedError("the deadline leaves no time to search")
        self._started_at = now
        self._answer_deadline = now + subtract_merge_reserve(self._deadline_s)
        self._retry_deadline = now + self._deadline_s * (1.0 - MIN_RETRY_TIME_FRACTION)
        layout = self._chooser.pin(self._dataset, now)
        self._budget.earn(len(layout.shards))
        self._send_first_attempts(layout, now)
        return self._flush(now)

    def handle_answer(self, answer, now, vm_id=None):
        """Process one answer and return the resulting actions.

        Parameters
        ----------
        answer : ShardAnswer
            Ignored unless its attempt is open.
        now : float
            Monotonic seconds.
        vm_id : str or None
            Sender of the answer, which must be the holder to which the attempt was
            sent; None skips this check.
        """
        return self.handle_answers((answer,), now, vm_id)

    def handle_answers(self, answers, now, vm_id=None):
        """Process several answers at once; see `handle_answer`."""
        if now >= self._answer_deadline:
            return self.advance(now)
        for answer in answers:
            attempt = self._pop_attempt(answer.attempt, vm_id)
            if attempt is not None:
                self._process_answer(attempt, answer, now)
        return self._flush(now)

    def handle_holder_lost(self, vm_id, now):
        """Fail the open attempts at a lost holder; they may have run."""
        numbers = [n for n, a in self._open_attempts.items() if a.vm_id == vm_id]
        self._fail_attempts(numbers, _Failure(HOLDER_LOST, errors.Outcome.UNKNOWN), now)
        return self._flush(now)

    def handle_not_sent(self, numbers, now):
        """Fail attempts whose message the link could not send; they did not run.

        Parameters
        ----------
        numbers : list of int
            Numbers of the attempts.
        now : float
            Monotonic seconds.
        """
        self._fail_attempts(numbers, _Failure(NOT_SENT, errors.Outcome.NOT_RUN), now)
        return self._flush(now)

    def advance(self, now):
        """Send the hedges and retries that are due; finish when the answer is due."""
        if self.is_finished:
            return ()
        if now >= self._answer_deadline:
            self._finish(now)
            return self._flush(now)
        if now >= self._hedge_due:
            self._send_due_hedges(now)
        if now >= self._retry_due:
            self._retry_waiting(now)
        self._finish_if_settled(now)
        return self._flush(now)

    def cancel(self, now):
        """Finish because the caller has left; return the cancellations."""
        if not self.is_finished:
            self._finish(now)
        return self._flush(now)

    def next_due(self):
        """Return when `advance` must be called next, in monotonic seconds."""
        if self.is_finished:
            return math.inf
        return min(self._answer_deadline, self._hedge_due, self._retry_due)

    @property
    def first_attempts(self):
        """Number of first attempts, which is the number of shards."""
        return len(self._shards)

    def result(self):
        """Return the `SearchResult` of a finished run.

        Raises
        ------
        CoverageTooLowError
            If fewer shards answered than the caller accepts. Its attributes
            `coverage` and `load_refusals` are as in a `SearchResult`.
        NotRunError
            Instead of `CoverageTooLowError` if no attempt can have run on any target;
            its subclass is that of the last failure code, if the code has one.
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

    def _send_first_attempts(self, layout, now):
        self._layout = layout
        self._shards = [
            _ShardState(name, replicas) for name, replicas in layout.shards.items()
        ]
        self._unanswered_count = len(self._shards)
        self._current_open_count = 0
        self._waiting_shards = []
        self._retry_due = math.inf
        self._hedge_due = now + self._compute_hedge_delay()
        for shard in self._shards:
            if not self._try_send(shard, shard.replicas, now):
                self._retry_later_or_restart(shard, now)
        self._finish_if_settled(now)

    def _try_send(self, shard, targets, now):
        choice = self._router.choose(targets, now)
        if choice is None:
            return False
        target, vm_id = choice
        number = next(self._attempt_numbers)
        attempt = _Attempt(number, target, shard, vm_id, self._layout, now)
        self._open_attempts[number] = attempt
        self._current_open_count += 1
        shard.open_attempts.append(attempt)
        shard.tried_targets.append(target)
        self._router.record_sent(target)
        group = self._sends.get(vm_id)
        if group is None:
            self._sends[vm_id] = [attempt]
        else:
            group.append(attempt)
        return True

    def _pop_attempt(self, number, vm_id):
        """Remove and return an open attempt, so that later answers to it are ignored.

        Returns None if it is not open or was sent to another VM than `vm_id`.
        """
        attempt = self._open_attempts.get(number)
        if attempt is None or vm_id not in (None, attempt.vm_id):
            return None
        del self._open_attempts[number]
        return attempt

    def _is_current(self, attempt):
        """Whether a result counts: it must come from the pinned version."""
        return attempt.layout is self._layout and not self.is_finished

    def _process_answer(self, attempt, answer, now):
        self._close_attempt(attempt, answer, now)
        if answer.outcome != errors.Outcome.NOT_RUN:
            self._may_have_run = True
        if not self._is_current(attempt):
            return
        if answer.code == ANSWERED:
            self._accept_result(attempt, answer.result, now)
        else:
            self._handle_failure(attempt, answer, now)

    def _close_attempt(self, attempt, answer, now):
        self._router.record_answer(attempt.target, answer.code, answer.load, now)
        attempt.shard_state.open_attempts.remove(attempt)
        if attempt.layout is self._layout:
            self._current_open_count -= 1

    def _accept_result(self, attempt, result, now):
        shard = attempt.shard_state
        shard.is_answered = True
        shard.result = result
        self._unanswered_count -= 1
        self._record_latency(now - attempt.sent_at)
        if shard.open_attempts:
            self._cancel_other_attempts(shard, now)
        if not self._unanswered_count or not self._current_open_count:
            self._finish_if_settled(now)

    def _cancel_other_attempts(self, shard, now):
        for attempt in list(shard.open_attempts):
            self._cancel_attempt(attempt, now)
            # The cancelled attempt would have taken at least this long. Without it,
            # each hedge would lower the measured latency and thus the hedge delay.
            self._record_latency(now - attempt.sent_at)

    def _cancel_attempt(self, attempt, now):
        """Close an attempt whose answer is no longer needed and notify its holder."""
        del self._open_attempts[attempt.attempt]
        self._may_have_run = True
        is_overdue = now - attempt.sent_at >= self._compute_hedge_delay()
        self._router.record_cancelled(attempt.target, is_overdue, now)
        attempt.shard_state.open_attempts.remove(attempt)
        if attempt.layout is self._layout:
            self._current_open_count -= 1
        self._cancels.setdefault(attempt.vm_id, []).append(attempt.attempt)

    # Failures

    def _fail_attempts(self, numbers, failure, now):
        for number in numbers:
            attempt = self._pop_attempt(number, None)
            if attempt is not None:
                self._process_answer(attempt, failure, now)

    def _handle_failure(self, attempt, answer, now):
        shard = attempt.shard_state
        self._last_failure_code = answer.code
        self._load_refusals += answer.code in LOAD_REFUSALS
        shard.is_retry_free = answer.code in FREE_RETRY_CODES
        if answer.code == VERSION_MISSING:
            shard.targets_without_version = (
                *shard.targets_without_version,
                attempt.target,
            )
            shard.available_versions = shard.available_versions.union(answer.versions)
        if shard.is_answered or shard.open_attempts:
            return
        if not self._try_other_replica(shard, answer, now):
            self._retry_later_or_restart(shard, now)
        if not self._current_open_count:
            self._finish_if_settled(now)

    def _try_other_replica(self, shard, answer, now):
        untried_targets = [t for t in shard.replicas if t not in shard.tried_targets]
        if not untried_targets:
            return False
        is_refusal = answer.outcome == errors.Outcome.NOT_RUN
        is_exempt_from_budget = is_refusal and answer.code not in LOAD_REFUSALS
        if not is_exempt_from_budget and not self._try_spend_retry_token(now):
            return False
        if not self._try_send(shard, untried_targets, now):
            return False
        self.extra_attempts += 1
        return True

    def _try_spend_retry_token(self, now):
        """Spend a retry token unless none is left or the retry deadline has passed."""
        return now <= self._retry_deadline and self._budget.retries.try_spend(now)

    def _retry_later_or_restart(self, shard, now):
        """Schedule a retry, or restart if no available replica has the version.

        Abandons the shard if too little time remains.
        """
        if shard.targets_without_version and self._is_version_unavailable(shard, now):
            self._handle_unavailable_version(shard, now)
            return
        due = now + RETRY_DELAY_S
        if due <= self._retry_deadline:
            self._waiting_shards.append(shard)
            self._retry_due = min(self._retry_due, due)

    def _is_version_unavailable(self, shard, now):
        others = [t for t in shard.replicas if t not in shard.targets_without_version]
        return not others or self._router.choose(others, now) is None

    def _handle_unavailable_version(self, shard, now):
        layout = self._layout
        self._chooser.report_missing(
            self._dataset, layout.version, shard.name, shard.available_versions, now
        )
        if self._has_restarted or not self._has_time_to_restart(now):
            return
        other = self._chooser.choose_alternative(
            self._dataset, layout.version, shard.available_versions, now
        )
        if other is not None:
            self._restart(other, now)

    def _has_time_to_restart(self, now):
        remaining_s = self._started_at + self._deadline_s - now
        latency_s = (
            self._router.get_query_latency_quantile(self._dataset, RESTART_QUANTILE)
            or 0.0
        )
        return (
            remaining_s >= self._deadline_s * MIN_RESTART_TIME_FRACTION
            and remaining_s >= latency_s
        )

    def _restart(self, layout, now):
        """Discard all results and send first attempts for another version.

        Cancellations are sent for the open attempts. The attempts stay in
        `_open_attempts` until they are answered, so that the router still counts them
        as load. `_is_current` rejects their results.
        """
        self._has_restarted = True
        self._sends.clear()
        for attempt in self._open_attempts.values():
            self._cancels.setdefault(attempt.vm_id, []).append(attempt.attempt)
        self.extra_attempts += len(layout.shards)
        self._send_first_attempts(layout, now)

    # Hedges and delayed retries

    def _compute_hedge_delay(self):
        delay = self._router.get_shard_latency_quantile(self._dataset, HEDGE_QUANTILE)
        if delay is None:
            return self._deadline_s * DEFAULT_HEDGE_DELAY_FRACTION
        return max(delay, MIN_HEDGE_DELAY_S)

    def _send_due_hedges(self, now):
        delay = self._compute_hedge_delay()
        self._hedge_due = math.inf
        for shard in self._shards:
            if shard.is_answered or shard.is_hedge_done or not shard.open_attempts:
                continue
            sent_at = shard.open_attempts[-1].sent_at
            if sent_at + delay > now:
                self._hedge_due = min(self._hedge_due, sent_at + delay)
            elif not self._try_hedge(shard, now):
                self._hedge_due = min(self._hedge_due, now + HEDGE_RECHECK_S)

    def _try_hedge(self, shard, now):
        """Hedge a shard if another replica is left; return False to try again later.

        Returns False if no untried replica has room or no hedge token is left.
        """
        untried_targets = [t for t in shard.replicas if t not in shard.tried_targets]
        if not untried_targets:
            shard.is_hedge_done = True
            return True
        untried_targets = [t for t in untried_targets if self._router.has_room(t, now)]
        if not untried_targets or not self._budget.hedges.try_spend(now):
            return False
        shard.is_hedge_done = True
        if self._try_send(shard, untried_targets, now):
            self.extra_attempts += 1
            self.hedges += 1
        return True

    def _retry_waiting(self, now):
        shards, self._waiting_shards = self._waiting_shards, []
        self._retry_due = math.inf
        layout = self._layout
        for shard in shards:
            if layout is not self._layout:
                return
            self._retry_shard(shard, now)

    def _retry_shard(self, shard, now):
        is_exempt_from_budget = shard.is_retry_free or not shard.tried_targets
        if not is_exempt_from_budget and not self._budget.retries.try_spend(now):
            self._retry_later_or_restart(shard, now)
            return
        targets = [t for t in shard.replicas if t not in shard.targets_without_version]
        if not self._try_send(shard, targets, now):
            self._retry_later_or_restart(shard, now)
        elif not is_exempt_from_budget:
            self.extra_attempts += 1

    # End

    def _finish_if_settled(self, now):
        """Finish if all shards have answered or no attempt or retry is pending."""
        if self.is_finished or (
            self._unanswered_count
            and (self._current_open_count or self._waiting_shards)
        ):
            return
        self._finish(now)

    def _finish(self, now):
        self.is_finished = True
        self._sends.clear()
        for attempt in list(self._open_attempts.values()):
            self._cancel_attempt(attempt, now)
        if not self._unanswered_count:
            self._router.record_query_latency(self._dataset, now - self._started_at)

    def _build_error(self, coverage):
        error_class = errors.CoverageTooLowError
        if not self._may_have_run and coverage.answered == 0:
            error_class = errors.find_error_class(self._last_failure_code)
            if error_class is None or not issubclass(error_class, errors.NotRunError):
                error_class = errors.NotRunError
        error = error_class(f"{coverage.fraction:.4f} covered: {coverage}")
        error.coverage = coverage
        error.load_refusals = self._load_refusals
        return error

    def _flush(self, now):
        """Return and clear the pending messages as actions, one per holder and kind."""
        if not self._sends and not self._cancels:
            return ()
        actions = []
        for vm_id, numbers in self._cancels.items():
            message = ShardCancel(self.request_id, numbers)
            actions.append(SendCancel(vm_id, message))
        remaining_ms = (self._answer_deadline - now) * 1000.0 - HOP_ALLOWANCE_MS
        for vm_id, items in self._sends.items():
            actions.append(SendGroup(vm_id, self._build_group(items, remaining_ms)))
        self._sends = {}
        self._cancels = {}
        return actions

    def _build_group(self, items, remaining_ms):
        return ShardGroup(
            self.request_id,
            self._team,
            self._dataset,
            self._layout.version,
            self._query,
            remaining_ms,
            items,
        )


class _Failure:
    """Stands in for the answer to an attempt that failed without one."""

    __slots__ = ("code", "outcome", "load", "versions")

    def __init__(self, code, outcome):
        self.code = code
        self.outcome = outcome
        self.load = None
        self.versions = ()


class Searcher:
    """Runs searches over a link to the holders.

    Each search waits in its caller's task with a single trio deadline for its next
    step, instead of one timer per shard.

    Parameters
    ----------
    link : Link
    chooser : SnapshotChooser
    router : Router
    budgets : Budgets
    request_numbers : iterator of int
        Request numbers of this VM, shared with all other users of the link.
    on_run_end : callable or None
        Called with each finished `SearchRun`, for metrics.
    """

    __slots__ = (
        "_link",
        "_chooser",
        "_router",
        "_budgets",
        "_request_numbers",
        "_on_run_end",
        "_open_searches",
    )

    def __init__(
        self, link, chooser, router, budgets, request_numbers, on_run_end=None
    ):
        self._link = link
        self._chooser = chooser
        self._router = router
        self._budgets = budgets
        self._request_numbers = request_numbers
        self._on_run_end = on_run_end
        self._open_searches = {}

    async def search(
        self, team, dataset, query, deadline_s, least_coverage, request_id
    ):
        """Run one search and return its `SearchResult`.

        Cancelling the call cancels its open attempts.

        Parameters
        ----------
        team, dataset : str
        query : object
            JSON of the query.
        deadline_s : float
            Seconds from now within which the caller must have the answer.
        least_coverage : float
            Fraction of the shards that must answer, from 0 to 1.
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
        number = next(self._request_numbers)
        search = self._open_searches[number] = _OpenSearch(number, run)
        try:
            self._send_messages(search, run.start(now))
            await self._wait_until_finished(search)
        finally:
            del self._open_searches[number]
            self._send_messages(search, run.cancel(trio.current_time()))
            if self._on_run_end is not None:
                self._on_run_end(run)
        return run.result()

    def handle_answers(self, vm_id, number, answers):
        """Process answers from a holder.

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
            False if no open search has this number and request id.
        """
        search = self._open_searches.get(number)
        if search is None or search.run.request_id != answers.request_id:
            return False
        now = trio.current_time()
        self._send_messages(
            search, search.run.handle_answers(answers.answers, now, vm_id)
        )
        return True

    def handle_holder_lost(self, vm_id):
        """Fail the open attempts at a lost VM."""
        now = trio.current_time()
        for search in list(self._open_searches.values()):
            self._send_messages(search, search.run.handle_holder_lost(vm_id, now))

    async def _wait_until_finished(self, search):
        run = search.run
        while not run.is_finished:
            search.cancel_scope = trio.CancelScope(deadline=run.next_due())
            with search.cancel_scope:
                await search.finished_event.wait()
            if not run.is_finished:
                self._send_messages(search, run.advance(trio.current_time()))

    def _send_messages(self, search, actions):
        """Send messages. A holder on this VM may answer during the call."""
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
                self._send_messages(search, search.run.handle_not_sent(numbers, now))
        search.wake_or_reschedule()


class _OpenSearch:
    """A running search and the state of the task that waits for it."""

    __slots__ = ("number", "run", "finished_event", "cancel_scope")

    def __init__(self, number, run):
        self.number = number
        self.run = run
        self.finished_event = trio.Event()
        self.cancel_scope = None

    def wake_or_reschedule(self):
        """Wake the waiting task, or update its deadline."""
        if self.run.is_finished:
            self.finished_event.set()
        elif self.cancel_scope is not None:
            due = self.run.next_due()
            if due != self.cancel_scope.deadline:
                self.cancel_scope.deadline = due
