"""One service's part in a caller's request: which target, retries and hedges."""

import enum

from . import replicas
from .exchanges import Exchange, FailureKind

MAX_UNSENT_ATTEMPTS = 3
"""Targets that are tried in a row when connections fail; each failure is quick."""

MAX_REFUSALS = 2
"""Refusals after which a request is not offered again; refusing targets are full."""

SEARCH_MAX_REFUSALS = 4
"""The same for a shard of a search, which may be worth nothing without this shard.
Targets that refuse half of all requests take one of five with a chance of 97%."""

CONNECT_HEDGE_FACTOR = 2.0
"""An attempt that still waits for its connection is hedged after this many times the
usual delay: a new connection takes some milliseconds besides."""

HEDGE_RESOLUTION_S = 0.0005
"""Timers are late by about this much; a shorter wait is not worth another one."""


class SubrequestState(enum.Enum):
    """Progress of a leg."""

    OPEN = "open"
    DONE = "done"
    FAILED = "failed"


class ReplyClass(enum.Enum):
    """What a reply says about the request."""

    GOOD = "good"
    REFUSED = "refused"
    FAILED = "failed"


class Subrequest:
    """Gets one reply for a request from one of the targets of a service.

    Parameters
    ----------
    service : str
    query : queries.Query
        Told when the leg ends.
    context : queries.QueryContext
    max_attempts : int
        Targets on which the request may run.

    Attributes
    ----------
    state : SubrequestState
    reply : replies.Reply or None
        The good reply, or the last one that reports a failure.
    possible_runs : int
        Targets on which the request may have run.
    refusals, hedges, retries : int
    reason : str
        Why it failed, for the log.
    hedge_at : float or None
        When the next hedge is due.
    is_cancelled : bool
        Whether it failed because the request ended first.
    """

    __slots__ = (
        "service",
        "state",
        "reply",
        "possible_runs",
        "refusals",
        "unsent",
        "hedges",
        "retries",
        "reason",
        "hedge_at",
        "is_cancelled",
        "_query",
        "_context",
        "_budget",
        "_max_attempts",
        "_is_limited_to_one",
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
        self.unsent = 0
        self.hedges = 0
        self.retries = 0
        self.reason = ""
        self.hedge_at = None
        self.is_cancelled = False
        self._query = query
        self._context = context
        self._budget = context.get_retry_budget(service)
        self._max_attempts = max_attempts
        self._is_limited_to_one = False
        self._deferred_retry_reason = None
        self._first_target = None
        self._in_flight = []
        self._tried_targets = []
        self._refusing_targets = []

    @property
    def is_attempted(self):
        """Whether the request was offered to any target."""
        return bool(self._tried_targets)

    @property
    def has_run(self):
        """Whether the request may have run on a target."""
        return self.possible_runs > 0

    def prepare(self, now):
        """Choose the first target; return whether there is one."""
        self._first_target = self._choose(now)
        return self._first_target is not None

    def start(self, now, is_extra=False):
        """Send the first attempt to the target that `prepare` chose.

        Parameters
        ----------
        now : float
        is_extra : bool
            Whether another VM may have sent an attempt before.
        """
        if self._first_target is None:
            self._fail("no target may take the request")
            return
        if not is_extra:
            self._budget.record_first_attempt(now)
        elif not self._budget.try_spend(now):
            self._fail("no budget to ask in place of another VM")
            return
        self._send(self._first_target, now)

    def hedge(self, now):
        """Send a second attempt if the reply is late and the budget allows it."""
        if self.state is not SubrequestState.OPEN or self.hedge_at is None:
            return
        if now < self.hedge_at or self._postpone_hedge(now):
            return
        self.hedge_at = None
        if not self._query.route.is_idempotent or len(self._in_flight) != 1:
            return
        if self.possible_runs >= self._get_allowed_attempts():
            return
        target = self._choose(now)
        if target is None:
            self.reason = "no other target for a hedge"
            return
        if not self._budget.try_spend(now):
            self.reason = "no budget for a hedge"
            return
        self.hedges += 1
        self._send(target, now)

    def _postpone_hedge(self, now):
        """Return whether the attempt waited for its connection, not for its target."""
        if not self._in_flight:
            return False
        exchange = self._in_flight[0]
        late_s = self._query.times.hedge_after_s()
        if exchange.sent_at is None:
            due = exchange.started_at + CONNECT_HEDGE_FACTOR * late_s
        else:
            due = exchange.sent_at + late_s
        if now >= due - HEDGE_RESOLUTION_S:
            return False
        self.hedge_at = due
        return True

    def limit_to_one_attempt(self):
        """Make one attempt only, until `permit` is called."""
        self._is_limited_to_one = self._max_attempts > 1

    def permit(self, now):
        """Allow all attempts; a retry that had to wait is made now."""
        if not self._is_limited_to_one:
            return
        self._is_limited_to_one = False
        if self.state is not SubrequestState.OPEN:
            return
        if self._in_flight:
            # The hedge that was due meanwhile was not sent.
            self.hedge_at = self.hedge_at or now
        elif self._deferred_retry_reason is not None:
            self._retry(self._deferred_retry_reason, now)

    def _get_allowed_attempts(self):
        return 1 if self._is_limited_to_one else self._max_attempts

    def list_target_ids(self):
        """Return the ids of the targets that were tried, in their order."""
        return [target.registration.target_id for target in self._tried_targets]

    def cancel(self, now):
        """Give up all attempts in flight."""
        if self.state is SubrequestState.OPEN:
            attempts = (
                f"{len(self._in_flight)} of {len(self._tried_targets)} attempts open"
            )
            self.is_cancelled = True
            self._fail("; ".join(filter(None, (self.reason, attempts))))
        self._abandon_in_flight(now)

    def handle_reply(self, exchange, reply):
        """See `exchanges.ExchangeOwner`."""
        now = exchange.finished_at
        self._in_flight.remove(exchange)
        reply_class = self._context.classify(reply)
        if reply_class is ReplyClass.GOOD:
            replicas.note_success(exchange.target, now)
            self._query.times.note(now - exchange.started_at)
            self._finish(reply, now)
        elif reply_class is ReplyClass.REFUSED:
            self._handle_refusal(exchange, reply, now)
        else:
            self.reply = reply
            replicas.note_failure(exchange.target, now)
            self._retry(f"target answered {reply.status}", now)

    def handle_failure(self, exchange, kind, reason):
        """See `exchanges.ExchangeOwner`."""
        now = exchange.finished_at
        self._in_flight.remove(exchange)
        replicas.note_failure(exchange.target, now)
        if kind is FailureKind.UNSENT:
            self.possible_runs -= 1
            self.unsent += 1
            self._resend(
                reason, now, self.unsent < MAX_UNSENT_ATTEMPTS, needs_budget=False
            )
        else:
            self._retry(reason, now)

    def _handle_refusal(self, exchange, reply, now):
        self.possible_runs -= 1
        self.refusals += 1
        self._refusing_targets.append(exchange.target)
        if reply.status == 421:
            self._context.registry.note_wrong_process(exchange.target, now)
        else:
            replicas.note_refusal(exchange.target, now)
        reason = f"target refused with {reply.status}"
        is_search = self._query.route.is_search
        limit = SEARCH_MAX_REFUSALS if is_search else MAX_REFUSALS
        self._resend(reason, now, self.refusals <= limit, needs_budget=True)

    def _retry(self, reason, now):
        """Try again after an attempt that may have run."""
        route = self._query.route
        if self._is_limited_to_one and self.possible_runs:
            self._deferred_retry_reason = reason
            return
        may_retry = route.is_idempotent and self.possible_runs < self._max_attempts
        self._resend(reason, now, may_retry, needs_budget=True)

    def _resend(self, reason, now, is_allowed, needs_budget):
        if self.state is not SubrequestState.OPEN or self._in_flight:
            return
        if not is_allowed or not self._query.has_time_for_retry(now):
            self._fail(reason)
            return
        target = self._choose(now)
        if target is None:
            self._fail(reason)
        elif needs_budget and not self._budget.try_spend(now):
            self._fail(f"{reason}; the retry budget is used up")
        else:
            self.retries += 1
            self._send(target, now)

    def _choose(self, now):
        targets = self._context.registry.list_usable(self.service)
        usual_time_s = self._query.times.mean_s
        chooser = self._context.chooser
        target = chooser.choose(targets, now, usual_time_s, self._tried_targets)
        if target is None and self._refusing_targets and self._query.route.is_search:
            # All have been tried; one that refused may have room by now.
            ran = [
                tried
                for tried in self._tried_targets
                if tried not in self._refusing_targets
            ]
            target = chooser.choose(targets, now, usual_time_s, ran)
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
            query.times.mean_s,
        )
        self.possible_runs += 1
        self._tried_targets.append(target)
        self._in_flight.append(exchange)
        self.hedge_at = now + query.times.hedge_after_s()
        target.link.start(exchange, now)

    def _finish(self, reply, now):
        self.state = SubrequestState.DONE
        self.reply = reply
        self._abandon_in_flight(now)
        self._query.handle_subrequest_end(self, now)

    def _fail(self, reason):
        self.state = SubrequestState.FAILED
        self.reason = reason
        self._query.handle_subrequest_end(self, None)

    def _abandon_in_flight(self, now):
        for exchange in self._in_flight:
            exchange.link.abandon(exchange, now)
            if exchange.sent_at is None:
                self.possible_runs -= 1
        self._in_flight.clear()
