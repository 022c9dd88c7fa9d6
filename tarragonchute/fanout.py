"""Searches in flight: one request to a target of each shard."""

import trio

from .delegation import DelegatedShards
from .errors import TargetFailedError, TooFewShardsError
from .httpio import ForwardedResponse
from .queries import Query
from .records import RecordMerge, compute_min_shards, join_digests
from .routes import Route
from .subrequests import SubrequestState
from .subsearches import Subsearch, SubsearchAnswer

GOAL_MARGIN_S = 0.006
"""Time reserved before the goal for one network round trip between caller and VM."""

GOAL_MARGIN_FRACTION = 0.05
"""Fraction of the goal reserved in addition, for the merge and a busy processor."""

MAX_LAG_FRACTION = 0.2
"""Maximum fraction of the goal reserved for late timers."""

ANSWER_MARGIN_S = 0.003
"""Time reserved before the goal for the merge at another VM, in addition to the time
that its acknowledgements take."""

SKIP_SPREAD = 1.0
"""Maximum random increase of an expected reply time, as a fraction of it, when the
shards to skip are chosen. It spreads the requests over all overloaded shards."""

RESUME_FRACTION = 0.6
"""Fraction of the time limit after which skipped shards are asked as well, if the
others do not suffice. Sooner would add their load again to that of the overloaded
shards."""

MAX_LOGGED_SHARDS = 8
"""Maximum number of missing shards in the log line of a search."""


class SearchQuery(Query):
    """A request to one target of each shard.

    The response contains the `top` highest-ranked records of all shards.

    Attributes
    ----------
    goal_at : float
        Time from which a partial response may be sent.
    delegated_shards : list of DelegatedShards
        Shards delegated to other VMs; `subrequests` holds those that this VM queries
        itself.
    """

    __slots__ = (
        "goal_at",
        "delegated_shards",
        "_included_directly",
        "_merge",
        "_skipped",
        "_resume_at",
    )

    def __init__(self, *args):
        super().__init__(*args)
        goal_s = self.route.goal_s
        margin_s = GOAL_MARGIN_S + GOAL_MARGIN_FRACTION * goal_s
        margin_s += min(self._context.lag_s, MAX_LAG_FRACTION * goal_s)
        self.goal_at = self.started_at + self.route.goal_s - margin_s
        self.delegated_shards = []
        self._included_directly = 0
        self._merge = RecordMerge(self.route.top)
        self._skipped = []
        time_left_s = self.deadline - self.started_at
        self._resume_at = self.started_at + RESUME_FRACTION * time_left_s

    @property
    def total(self):
        """Number of shards of the route."""
        return len(self.route.shards)

    @property
    def included(self):
        """Number of shards whose replies are included so far."""
        return self._included_directly + sum(
            delegated.included_count for delegated in self.delegated_shards
        )

    def start(self, now):
        """See `Query`; subsearches are sent first, as their answers take longer."""
        delegation = self._context.delegation
        services, delegated_services = delegation.plan(self.route.shards, now)
        subrequests = self._add_subrequests(services, self.route.max_attempts)
        services_with_target = sum(
            subrequest.choose_first_target(now) for subrequest in subrequests
        )
        self.check_target_count(
            services_with_target + sum(len(names) for _, names in delegated_services)
        )
        for delegate, names in delegated_services:
            delegated = DelegatedShards(names, self, delegation)
            self.delegated_shards.append(delegated)
            delegated.start(delegate, now)
        if not delegated_services:
            self._skip_late_shards(subrequests, services_with_target, now)
            subrequests = [s for s in subrequests if s not in self._skipped]
        self._start_subrequests(subrequests, now)

    def _skip_late_shards(self, subrequests, services_with_target, now):
        """Skip some of the overloaded shards if there are more than may be missing.

        Each search then asks only as many of them as it needs, so that they can reply
        to a part of all searches. If fewer are overloaded, the answer does not depend
        on them, and those that reply before the goal improve it.
        """
        skippable = services_with_target - self._count_required()
        if skippable <= 0:
            return
        goal_left_s = self.goal_at - now
        late = []
        for subrequest in subrequests:
            if not subrequest.has_first_target:
                continue
            expected_s = subrequest.estimate_reply_s(now)
            if expected_s > goal_left_s:
                rank = self._context.chooser.add_jitter(expected_s, SKIP_SPREAD)
                late.append((rank, len(late), subrequest))
        if len(late) <= skippable:
            return
        for _, _, subrequest in sorted(late, reverse=True)[:skippable]:
            subrequest.skip("skipped, as its reply is expected after the goal")
            self._skipped.append(subrequest)
            self._open_subrequests -= 1

    def _resume_skipped(self, count, now):
        """Send requests for skipped shards, because the others do not suffice."""
        resumed = self._skipped[:count]
        del self._skipped[:count]
        self._open_subrequests += len(resumed)
        for subrequest in resumed:
            if not self.is_finished:
                subrequest.resume(now)
        self.wake()

    def check_target_count(self, services_with_target):
        """See `Query`."""
        if services_with_target < self._count_required():
            total = self.total
            text = f"{services_with_target} of {total} shards have a usable target"
            raise self._build_no_target_error(text)

    def build_subsearch(
        self, services, max_attempts, uses_retry_budget, round_trip_s, now
    ):
        """Return the message that delegates some of the shards to another VM.

        Parameters
        ----------
        services : list of str
        max_attempts : int
        uses_retry_budget : bool
            Whether its first attempts count against the retry budget, because another
            VM may have sent first attempts already.
        round_trip_s : float
            Time until the other VM usually acknowledges a message, in seconds. A
            partial answer has to be sent that much before the goal to be in time.
        now : float
        """
        route = self.route
        return Subsearch(
            0,
            route.name,
            route.goal_s,
            self.goal_at - ANSWER_MARGIN_S - round_trip_s - now,
            self.deadline - now,
            self.target_deadline - now,
            max_attempts,
            route.top,
            uses_retry_budget,
            services,
            # Without customers, priorities have no effect, and the message is one that
            # earlier versions accept.
            self.priority if self._context.queue_policy.is_active else 0,
            self.customer_name,
            self.weight,
            self.outgoing,
        )

    def reassign_shards(self, delegated, services, now):
        """Delegate shards to another VM, as the first one knows no targets for them.

        Parameters
        ----------
        delegated : DelegatedShards
            Group to which the shards belonged until now.
        services : list of str
            Services of these shards.
        now : float
        """
        rest = DelegatedShards(services, self, self._context.delegation)
        self.delegated_shards.append(rest)
        rest.reassign_from(delegated, now)

    def query_shards_directly(self, services, max_attempts, uses_retry_budget, now):
        """Send requests for shards from this VM because their delegation failed."""
        subrequests = self._add_subrequests(services, max_attempts)
        for subrequest in subrequests:
            subrequest.choose_first_target(now)
        self._start_subrequests(subrequests, now, uses_retry_budget)
        self.wake()

    def get_next_due_time(self):
        """See `Query`."""
        due_at = super().get_next_due_time()
        for delegated in self.delegated_shards:
            delegated_due_at = delegated.next_due()
            if delegated_due_at is not None:
                due_at = min(due_at, delegated_due_at)
        now = trio.current_time()
        if self.goal_at > now:
            due_at = min(due_at, self.goal_at)
        if self._skipped and self._resume_at > now:
            due_at = min(due_at, self._resume_at)
        return due_at

    def advance(self, now):
        """See `Query`; after the goal time, a partial response is sufficient."""
        for delegated in self.delegated_shards:
            delegated.advance(now)
        super().advance(now)
        self._check_end(now)

    def close(self, now):
        """See `Query`."""
        super().close(now)
        for delegated in self.delegated_shards:
            delegated.cancel(now)

    def handle_subrequest_end(self, subrequest, now):
        """See `Query`."""
        if subrequest.state is SubrequestState.DONE:
            self._included_directly += 1
            self._merge.add(subrequest.reply.body)
            subrequest.reply.discard_body()
        if not self.is_finished:
            self._open_subrequests -= 1
            self._check_end(now)

    def handle_delegated_result(self, now):
        """Check whether the search ends, after an answer or a failed subsearch."""
        self._check_end(now)

    def build_response(self):
        """See `Query`."""
        digests = self._list_digests()
        if not self._is_sufficient() or not digests:
            self._raise_failure()
        if len(set(digests)) != len(digests):
            raise TargetFailedError("two shards replied with the same digest")
        header_names = self._context.header_names
        lines = [
            (header_names.included_digests, value) for value in join_digests(digests)
        ]
        missing = self.total - len(digests)
        if missing:
            lines.append((header_names.missing_shards, b"%d" % missing))
        lines.append((header_names.request_id, self.outgoing.request_id))
        return ForwardedResponse(200, lines, self._build_records())

    def describe(self):
        """See `Query`."""
        return {
            "shards": self.total,
            "included": self.included,
            "missing": self.list_missing()[:MAX_LOGGED_SHARDS],
            "usual_ms": round(self.reply_times.mean_s * 1000, 1),
            "lag_ms": round(self._context.lag_s * 1000, 1),
            "retries": sum(subrequest.retries for subrequest in self.subrequests),
            "hedges": sum(subrequest.hedges for subrequest in self.subrequests),
            "refusals": sum(subrequest.refusals for subrequest in self.subrequests),
            "delegated": [delegated.describe() for delegated in self.delegated_shards],
            **self.describe_queues(),
        }

    def estimate_return_s(self, now):
        """See `Query`; the time until enough shards have a target."""
        registry = self._context.registry
        waits = sorted(
            registry.estimate_return_s(service, now) for service in self.route.shards
        )
        return waits[max(self._count_required(), 1) - 1]

    def list_missing(self):
        """Return a text with the reason for each shard that is known to be missing."""
        missing = [
            f"{subrequest.service}: {subrequest.reason} "
            f"({', '.join(subrequest.list_target_ids())})"
            for subrequest in self.subrequests
            if subrequest.state is not SubrequestState.DONE
        ]
        for delegated in self.delegated_shards:
            if delegated.answer is not None:
                missing += delegated.answer.missing
        return missing

    def _list_digests(self):
        digest_field = self._context.header_names.lowercase.digest
        digests = [
            subrequest.reply.get(digest_field)
            for subrequest in self.subrequests
            if subrequest.state is SubrequestState.DONE
        ]
        for delegated in self.delegated_shards:
            if delegated.answer is not None:
                digests += delegated.answer.digests
        return digests

    def _build_records(self):
        for delegated in self.delegated_shards:
            if delegated.answer is not None:
                self._merge.add(delegated.answer.records)
        return self._merge.build()

    def _check_end(self, now):
        """Finish the search if it should not wait for further replies.

        It should not wait if no shard is open, if the open shards cannot bring it to
        the required coverage, or if that coverage is reached and the goal time has
        passed.
        """
        if self.is_finished:
            return
        is_late = now >= self.goal_at
        lacking = self._count_required() - self.included - self._count_open()
        if now >= self._resume_at and not self._is_sufficient():
            lacking = len(self._skipped)
        if lacking > 0 and self._skipped:
            self._resume_skipped(lacking, now)
            if self.is_finished:
                return
        open_shards = self._count_open()
        can_suffice = self.included + open_shards >= self._count_required()
        if not open_shards or not can_suffice or is_late and self._is_sufficient():
            self._finish()

    def _estimate_drain_s(self):
        """See `Query`; includes the shards that were delegated."""
        drains = [super()._estimate_drain_s()]
        drains += [d.answer.drain_s for d in self.delegated_shards if d.answer]
        return max((d for d in drains if d is not None), default=None)

    def _count_open(self):
        return self._open_subrequests + sum(
            delegated.count_open() for delegated in self.delegated_shards
        )

    def _is_sufficient(self):
        return self.included >= self._count_required()

    def _count_required(self):
        return compute_min_shards(self.route.least_coverage, self.total)

    def _may_have_run(self):
        if any(subrequest.has_possible_runs for subrequest in self.subrequests):
            return True
        return any(delegated.may_have_run for delegated in self.delegated_shards)

    def _raise_failure(self):
        included, total = self.included, self.total
        if not self._may_have_run():
            raise self._build_no_target_error(
                f"no target ran the request for any of {total} shards"
            )
        raise TooFewShardsError(
            f"{included} of {total} shards replied; "
            f"{self._count_required()} are required"
        )


class DelegatedQuery(SearchQuery):
    """The part of another VM's search that was delegated to this VM.

    Parameters
    ----------
    subsearch : subsearches.Subsearch
    context : queries.QueryContext
    reply_times : replicas.ReplyTimes
    report : callable
        Called with each `SubsearchAnswer` before the final one.
    now : float
    """

    __slots__ = ("_subsearch", "_report", "_reported_shards", "_are_retries_permitted")

    def __init__(self, subsearch, context, reply_times, report, now):
        route = Route(
            subsearch.route_name,
            "",
            "",
            timeout_s=subsearch.limit_left_s,
            goal_s=subsearch.goal_s,
            max_attempts=subsearch.max_attempts,
            shards=subsearch.services,
            top=subsearch.top,
        )
        outgoing = subsearch.outgoing
        limit_s = subsearch.target_limit_left_s
        super().__init__(context, route, 0, outgoing, limit_s, reply_times, now)
        self.goal_at = now + subsearch.goal_left_s
        self.deadline = now + subsearch.limit_left_s
        self.target_deadline = now + limit_s
        self.priority = subsearch.priority
        self.customer_name = subsearch.customer_name
        self.weight = subsearch.weight
        self._subsearch = subsearch
        self._report = report
        self._reported_shards = 0
        self._are_retries_permitted = False

    def start(self, now):
        """See `Query`; delegated shards are never delegated further."""
        subrequests = self._add_subrequests(self.route.shards, self.route.max_attempts)
        if not self._are_retries_permitted:
            for subrequest in subrequests:
                subrequest.limit_to_one_attempt()
        if not sum(subrequest.choose_first_target(now) for subrequest in subrequests):
            raise self._build_no_target_error("no usable target")
        self._start_subrequests(subrequests, now, self._subsearch.is_extra)
        if not self.is_finished and self._list_unattempted():
            self._report(self._build_answer(is_final=False))

    def permit_retries(self, now):
        """Allow retries and hedges, up to `max_attempts` attempts for each shard."""
        self._are_retries_permitted = True
        for subrequest in self.subrequests:
            subrequest.permit_retries(now)
        self.wake()

    def build_response(self):
        """Return the final `SubsearchAnswer`."""
        return self._build_answer(is_final=True)

    def _check_end(self, now):
        """Finish when no shard is open; after the goal time, report each new reply.

        The delegating VM decides whether a partial answer is sufficient.
        """
        if self.is_finished:
            return
        if not self._open_subrequests:
            self._finish()
        elif now >= self.goal_at:
            self._report_progress()

    def _report_progress(self):
        if self._included_directly > self._reported_shards:
            self._reported_shards = self._included_directly
            self._report(self._build_answer(is_final=False))

    def _build_answer(self, is_final):
        return SubsearchAnswer(
            self._subsearch.number,
            is_final,
            self._may_have_run(),
            self._list_digests(),
            self._merge.build(),
            self.list_missing()[:MAX_LOGGED_SHARDS],
            self._list_unattempted(),
            self._estimate_drain_s(),
        )

    def _list_unattempted(self):
        return [
            subrequest.service
            for subrequest in self.subrequests
            if subrequest.state is SubrequestState.FAILED
            and not subrequest.is_attempted
        ]
