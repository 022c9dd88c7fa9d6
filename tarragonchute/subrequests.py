"""One service's part of a caller's request: choice of targets, retries and hedges."""

import enum

from . import replicas
from .exchanges import Exchange, FailureKind
from .rolloutevidence import Outcome
from .servicerollouts import ABANDONED_FACTOR
from .targetqueues import WaitTerms

MAX_UNSENT_ATTEMPTS = 3
"""A subrequest fails after this many attempts that did not send the request, for
example because connecting failed. Such attempts usually fail quickly."""

MAX_REFUSALS = 2
"""Maximum number of refusals after which another target is tried. A service whose
targets refuse more often probably has no capacity left."""

SEARCH_MAX_REFUSALS = 4
"""Maximum number of refusals for a shard of a search; a missing shard can make the
whole response useless. If targets refuse half of all requests, at least one of five
attempts is accepted with a probability of 97%."""

CONNECT_HEDGE_FACTOR = 2.0
"""Factor on the hedge delay while an attempt waits for its connection. Opening a new
connection takes some additional milliseconds."""

HEDGE_TOLERANCE_S = 0.0005
"""A hedge that is due within this time is sent at once. Timers typically fire this
late, so another wait would not be more precise."""


class SubrequestState(enum.Enum):
    """State of a subrequest."""

    OPEN = "open"
    SKIPPED = "skipped"
    DONE = "done"
    FAILED = "failed"


class ReplyClass(enum.Enum):
    """Classification of a target's reply."""

    GOOD = "good"
    """The request succeeded, and the reply can be used."""

    REFUSED = "refused"
    """The target states that it did not run the request, so a retry is safe."""

    FAILED = "failed"
    """The request may have run but failed, or the reply cannot be used."""


OUTCOMES = {
    ReplyClass.GOOD: Outcome.GOOD,
    ReplyClass.REFUSED: Outcome.NOT_RUN,
    ReplyClass.FAILED: Outcome.FAILED,
}
"""What each class of replies tells about the version of a target."""


class Subrequest:
    """Obtains one reply to a request from any of a service's targets.

    Parameters
    ----------
    service : str
    query : queries.Query
        Notified when the subrequest ends.
    context : queries.QueryContext
    max_attempts : int
        Maximum number of targets on which the request may run.

    Attributes
    ----------
    state : SubrequestState
    reply : replies.Reply or None
        The successful reply, or the last one that reports a failure.
    possible_runs : int
        Number of targets on which the request may have run.
    refusals, hedges, retries : int
    unsent_attempts : int
        Attempts that failed before the request was sent.
    no_room : int
        Attempts that this VM did not send, because there was no room at the target.
    moves : int
        Attempts that waited for room and were sent to another target instead.
    wait_s : float
        Longest time that an attempt waited for room.
    drain_s : float or None
        Shortest time until the queue of a target without room drains.
    reason : str
        Why the subrequest failed or why a hedge was not sent, for the log.
    hedge_at : float or None
        Time at which the next hedge is due.
    is_cancelled : bool
        Whether the subrequest failed because the query was closed first, for example
        at its deadline.
    """

    __slots__ = (
        "service",
        "state",
        "reply",
        "possible_runs",
        "refusals",
        "unsent_attempts",
        "hedges",
        "retries",
        "no_room",
        "moves",
        "wait_s",
        "drain_s",
        "reason",
        "hedge_at",
        "is_cancelled",
        "_query",
        "_context",
        "_budget",
        "_max_attempts",
        "_is_extra",
        "_is_limited_to_one_attempt",
        "_deferred_retry_reason",
        "_first_target",
        "_in_flight",
        "_tried_targets",
        "_refusing_targets",
    )

    def __init__(self, service, query, context, max_attempts):
        self.service = service
        self.state = SubrequestState.OPEN
        self.reply = None
        self.possible_runs = 0
        self.refusals = 0
        self.unsent_attempts = 0
        self.hedges = 0
        self.retries = 0
        self.no_room = 0
        self.moves = 0
        self.wait_s = 0.0
        self.drain_s = None
        self.reason = ""
        self.hedge_at = None
        self.is_cancelled = False
        self._query = query
        self._context = context
        self._budget = context.get_retry_budget(service)
        self._max_attempts = max_attempts
        # Whether another VM may have made the first attempt.
        self._is_extra = False
        self._is_limited_to_one_attempt = False
        self._deferred_retry_reason = None
        self._first_target = None
        self._in_flight = []
        self._tried_targets = []
        self._refusing_targets = []

    @property
    def is_attempted(self):
        """Whether an attempt was made on any target."""
        return bool(self._tried_targets)

    @property
    def has_possible_runs(self):
        """Whether the request may have run on a target."""
        return self.possible_runs > 0

    @property
    def has_first_target(self):
        """Whether `choose_first_target` found a target."""
        return self._first_target is not None

    def choose_first_target(self, now):
        """Choose the target of the first attempt; return whether there is one."""
        self._first_target = self._choose_target(now)
        return self._first_target is not None

    def start(self, now, uses_retry_budget=False):
        """Send the first attempt to the target that `choose_first_target` chose.

        Parameters
        ----------
        now : float
        uses_retry_budget : bool
            Whether this attempt counts against the retry budget, because another VM may
            have sent a first attempt already.
        """
        if self._first_target is None:
            self._fail("no usable target", now)
            return
        self._is_extra = uses_retry_budget
        if not uses_retry_budget:
            self._budget.record_first_attempt(now)
        elif not self._budget.try_spend(now):
            self._fail("no retry budget to replace another VM's attempt", now)
            return
        self._send(self._first_target, now)

    def estimate_reply_s(self, now):
        """Return the expected time until a reply in seconds; infinity if unknown."""
        return self._context.chooser.estimate_reply_s(
            self._context.registry.list_usable(self.service),
            now,
            self._query.reply_times.mean_s,
        )

    def skip(self, reason):
        """Send no request unless `resume` is called; the query is not notified."""
        self.state = SubrequestState.SKIPPED
        self.reason = reason

    def resume(self, now):
        """Send the first attempt of a skipped subrequest."""
        self.state = SubrequestState.OPEN
        self.reason = ""
        self.choose_first_target(now)
        self.start(now)

    def hedge(self, now):
        """Send another attempt if the reply is late and the retry budget allows it."""
        if self.state is not SubrequestState.OPEN or self.hedge_at is None:
            return
        if now < self.hedge_at or self._postpone_hedge(now):
            return
        self.hedge_at = None
        if not self._query.route.is_idempotent or len(self._in_flight) != 1:
            return
        if not self._query.has_time_for_retry(now):
            return
        if self.possible_runs >= self._get_allowed_attempts():
            return
        full_targets = self._list_full_targets(now)
        target = self._choose_target(now, full_targets)
        if target is None:
            self.reason = "no other usable target for a hedge"
            if any(target not in self._tried_targets for target in full_targets):
                self.reason = "no room at another target for a hedge"
                self._look_for_room_later(now)
            return
        if not self._budget.try_spend(now):
            self.reason = "no retry budget for a hedge"
            return
        self.hedges += 1
        self._send(target, now)

    def _postpone_hedge(self, now):
        """Postpone a hedge whose delay began before the request was sent.

        The time that an attempt waits for its connection does not show that the target
        is slow. Return whether the hedge was postponed.
        """
        if not self._in_flight:
            return False
        exchange = self._in_flight[0]
        hedge_delay_s = self._query.reply_times.compute_hedge_delay_s()
        if exchange.sent_at is None and exchange.has_waited_for_room:
            if not self._move(exchange, now):
                self._look_for_room_later(now)
            return True
        if exchange.sent_at is None:
            due_at = exchange.started_at + CONNECT_HEDGE_FACTOR * hedge_delay_s
        else:
            due_at = exchange.sent_at + hedge_delay_s
        if now >= due_at - HEDGE_TOLERANCE_S:
            return False
        self.hedge_at = due_at
        return True

    def _look_for_room_later(self, now):
        """Postpone a hedge or move; each interval is as long as the time so far.

        Looking for room at the targets of dozens of shards costs milliseconds.
        """
        delay_s = self._query.reply_times.compute_hedge_delay_s()
        self.hedge_at = now + max(delay_s, now - self._in_flight[0].started_at)

    def _move(self, exchange, now):
        """Send an attempt that waits for room to another target that has room.

        It was not sent yet, so that this is no retry. Return whether it was moved.
        """
        targets = self._context.registry.list_usable(self.service)
        unsuitable = [
            target
            for target in targets
            if now < max(target.cold_until, target.suspect_until)
            or target.pool.has_connect_failed
        ]
        unsuitable += self._list_full_targets(now)
        if all(target in unsuitable for target in targets):
            return False
        target = self._choose_target(now, unsuitable)
        if target is None:
            return False
        exchange.pool.abandon(exchange, now)
        self._record_outcome(exchange, Outcome.NOT_RUN, now)
        self._in_flight.remove(exchange)
        self._tried_targets.remove(exchange.target)
        self.possible_runs -= 1
        self.moves += 1
        self._send(target, now)
        return True

    def _list_full_targets(self, now):
        has_room = self._context.queue_policy.has_room
        return [
            target
            for target in self._context.registry.list_usable(self.service)
            if not has_room(target, now)
        ]

    def limit_to_one_attempt(self):
        """Limit the subrequest to one attempt until `permit_retries` is called."""
        self._is_limited_to_one_attempt = self._max_attempts > 1

    def permit_retries(self, now):
        """Allow `max_attempts` attempts, and make a retry that was deferred."""
        if not self._is_limited_to_one_attempt:
            return
        self._is_limited_to_one_attempt = False
        if self.state is not SubrequestState.OPEN:
            return
        if self._in_flight:
            # A hedge that came due while only one attempt was allowed was skipped;
            # make it due now.
            self.hedge_at = self.hedge_at or now
        elif self._deferred_retry_reason is not None:
            self._retry_after_possible_run(self._deferred_retry_reason, now)

    def _get_allowed_attempts(self):
        return 1 if self._is_limited_to_one_attempt else self._max_attempts

    def list_target_ids(self):
        """Return the ids of the targets tried so far, in order."""
        return [target.registration.target_id for target in self._tried_targets]

    def cancel(self, now):
        """Cancel all attempts in flight; an open subrequest fails."""
        if self.state is SubrequestState.OPEN:
            attempts = (
                f"{len(self._in_flight)} of {len(self._tried_targets)} "
                "attempts in flight"
            )
            self.is_cancelled = True
            self._fail("; ".join(filter(None, (self.reason, attempts))), now)
        self._abandon_in_flight(now)

    def handle_reply(self, exchange, reply):
        """See `exchanges.ExchangeOwner`."""
        now = exchange.finished_at
        self._in_flight.remove(exchange)
        reply_class = self._context.classify(reply)
        self._record_outcome(exchange, OUTCOMES[reply_class], now)
        if reply_class is ReplyClass.GOOD:
            replicas.record_success(exchange.target, now)
            self._query.reply_times.record(now - self._find_start(exchange))
            self._finish(reply, now)
        elif reply_class is ReplyClass.REFUSED:
            self._handle_refusal(exchange, reply, now)
        else:
            self.reply = reply
            if not exchange.target.is_withdrawn(now):
                replicas.record_failure(exchange.target, now)
            self._retry_after_possible_run(f"target answered {reply.status}", now)

    def update_request(self, exchange, now):
        """See `exchanges.ExchangeOwner`."""
        exchange.request = self._query.build_message(exchange.target, now)
        due_at = now + self._query.reply_times.compute_hedge_delay_s()
        if self.hedge_at is not None and self.hedge_at > due_at:
            self.hedge_at = due_at
            self._query.wake()

    def _find_start(self, exchange):
        """Return when an exchange started; the wait for room is not part of it."""
        if not exchange.has_waited_for_room:
            return exchange.started_at
        self.wait_s = max(self.wait_s, exchange.sent_at - exchange.started_at)
        return exchange.sent_at

    def handle_failure(self, exchange, kind, reason):
        """See `exchanges.ExchangeOwner`."""
        now = exchange.finished_at
        self._in_flight.remove(exchange)
        is_unsent = kind in (FailureKind.UNSENT, FailureKind.NO_ROOM)
        self._record_outcome(
            exchange, Outcome.NOT_RUN if is_unsent else Outcome.FAILED, now
        )
        if kind is FailureKind.NO_ROOM:
            self._handle_no_room(exchange, reason, now)
            return
        if not exchange.target.is_withdrawn(now):
            replicas.record_failure(exchange.target, now)
        if kind is FailureKind.UNSENT:
            self.possible_runs -= 1
            self.unsent_attempts += 1
            self._send_next_attempt(
                reason,
                now,
                self.unsent_attempts < MAX_UNSENT_ATTEMPTS,
                needs_budget=False,
            )
        else:
            self._retry_after_possible_run(reason, now)

    def _handle_no_room(self, exchange, reason, now):
        """Try another target; the attempt was not sent and its target is not at fault.

        If it was a hedge or retry, the budget has been spent on it already.
        """
        self.possible_runs -= 1
        self.no_room += 1
        self.wait_s = max(self.wait_s, now - exchange.started_at)
        self.drain_s = min(self.drain_s or exchange.drain_s, exchange.drain_s)
        is_allowed = self.no_room < MAX_UNSENT_ATTEMPTS
        self._send_next_attempt(
            reason, now, is_allowed, needs_budget=False, is_retry=False
        )

    def _handle_refusal(self, exchange, reply, now):
        self.possible_runs -= 1
        self.refusals += 1
        self._refusing_targets.append(exchange.target)
        if reply.status == 421:
            self._context.registry.record_address_reuse(exchange.target, now)
        elif not exchange.target.is_withdrawn(now):
            replicas.record_refusal(exchange.target, now)
        reason = f"target refused with {reply.status}"
        is_search = self._query.route.is_search
        limit = SEARCH_MAX_REFUSALS if is_search else MAX_REFUSALS
        self._send_next_attempt(reason, now, self.refusals <= limit, needs_budget=True)

    def _retry_after_possible_run(self, reason, now):
        """Retry after an attempt that may have run, if the route is idempotent."""
        route = self._query.route
        if self._is_limited_to_one_attempt and self.possible_runs:
            self._deferred_retry_reason = reason
            return
        may_retry = route.is_idempotent and self.possible_runs < self._max_attempts
        self._send_next_attempt(reason, now, may_retry, needs_budget=True)

    def _send_next_attempt(self, reason, now, is_allowed, needs_budget, is_retry=True):
        """Send another attempt, or fail if that is not possible.

        Nothing happens while another attempt is still in flight.
        """
        if self.state is not SubrequestState.OPEN or self._in_flight:
            return
        if not is_allowed or not self._query.has_time_for_retry(now):
            self._fail(reason, now)
            return
        target = self._choose_target(now)
        if target is None:
            self._fail(reason, now)
        elif needs_budget and not self._budget.try_spend(now):
            self._fail(f"{reason}; the retry budget is exhausted", now)
        else:
            self.retries += is_retry
            self._send(target, now)

    def _record_outcome(self, exchange, outcome, now):
        """Record what an attempt tells about the version of its target."""
        target = exchange.target
        elapsed_s = None
        if exchange.sent_at is None:
            outcome = Outcome.NOT_RUN
        elif outcome is Outcome.FAILED and target.is_withdrawn(now):
            outcome = Outcome.IGNORED
        else:
            elapsed_s = now - exchange.sent_at
            usual_s = self._query.reply_times.mean_s
            if outcome is Outcome.ABANDONED and elapsed_s < ABANDONED_FACTOR * usual_s:
                outcome = Outcome.IGNORED
            if target.cold_until > now:
                # A cold target may be slow whatever its version.
                elapsed_s = None
        self._context.rollouts.record(
            self._query.route.name,
            self.service,
            target.registration.software_version,
            outcome,
            elapsed_s,
            now,
        )

    def _choose_target(self, now, excluded=()):
        targets = self._context.registry.list_usable(self.service)
        choices = self._context.rollouts.choose_version(
            self.service, now, bool(self._tried_targets)
        )
        if choices is None:
            return self._choose_among(targets, now, excluded)
        for versions in choices:
            allowed = [
                t for t in targets if t.registration.software_version in versions
            ]
            chosen = self._choose_among(allowed, now, excluded)
            if chosen is not None:
                return chosen
        return None

    def _choose_among(self, targets, now, excluded):
        mean_reply_time_s = self._query.reply_times.mean_s
        chooser = self._context.chooser
        target = chooser.choose(
            targets, now, mean_reply_time_s, [*self._tried_targets, *excluded]
        )
        if target is None and self._refusing_targets and self._query.route.is_search:
            # All targets were tried. One that refused may have capacity by now.
            targets_that_may_have_run = [
                tried
                for tried in self._tried_targets
                if tried not in self._refusing_targets
            ]
            targets_that_may_have_run += excluded
            target = chooser.choose(
                targets, now, mean_reply_time_s, targets_that_may_have_run
            )
        return target

    def _send(self, target, now):
        query = self._query
        request = query.build_message(target, now)
        exchange = Exchange(
            request,
            query.outgoing.method,
            query.outgoing.request_id,
            self,
            now,
            target,
            query.reply_times.mean_s,
            WaitTerms(
                query.priority,
                query.customer_name,
                query.weight,
                query.deadline,
                is_extra=self._is_extra or self.has_possible_runs or self.refusals > 0,
                is_reserved=now < target.cold_until,
            ),
        )
        self.possible_runs += 1
        version = target.registration.software_version
        self._context.rollouts.record_sent(self.service, version)
        self._tried_targets.append(target)
        self._in_flight.append(exchange)
        self.hedge_at = now + query.reply_times.compute_hedge_delay_s()
        target.pool.start(exchange, now)

    def _finish(self, reply, now):
        self.state = SubrequestState.DONE
        self.reply = reply
        self._abandon_in_flight(now)
        self._query.handle_subrequest_end(self, now)

    def _fail(self, reason, now):
        self.state = SubrequestState.FAILED
        self.reason = reason
        self._query.handle_subrequest_end(self, now)

    def _abandon_in_flight(self, now):
        for exchange in self._in_flight:
            exchange.pool.abandon(exchange, now)
            self._record_outcome(exchange, Outcome.ABANDONED, now)
            if exchange.sent_at is None:
                self.possible_runs -= 1
        self._in_flight.clear()
