"""Callers' requests in flight: the base class, and requests to a single target."""

import math

import trio

from .delegation import NoDelegation
from .errors import (
    NoTargetError,
    OverloadedError,
    TargetFailedError,
    TargetTimeoutError,
)
from .httpio import ForwardedResponse
from .replies import list_end_to_end_headers
from .rollouts import Rollouts
from .subrequests import ReplyClass, Subrequest, SubrequestState
from .subsearches import OutgoingRequest
from .targetadmission import QueuePolicy

RESPONSE_MARGIN_S = 0.012
"""Time reserved before the caller's time limit for the response to reach the caller."""

LAG_WEIGHT = 0.2
"""Weight of the newest sample in the moving average of the timer lag."""

MIN_RETRY_TIME_S = 0.003
"""Minimum time left until the deadline for another attempt to be made."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses from which a caller concludes that the request has not run."""

RETRY_AFTER_S = 0.1
"""Retry delay sent to a caller if no target was available. A registration change or a
reconnect, after which a target may be available, typically completes within this
time."""


RETRY_SPREAD_FRACTION = 0.5
"""Maximum random increase of a retry delay that follows from the end of a pause, as a
fraction of it, so that the callers do not return together."""


class CallerIdentity:
    """Who sent a request, where the configuration has customers.

    Parameters
    ----------
    customer : customers.Customer or None
        None for a request without a valid key on a public route.
    """

    __slots__ = ("customer",)

    def __init__(self, customer):
        self.customer = customer


class QueryContext:
    """Dependencies and state shared by all requests of a VM.

    Parameters
    ----------
    registry : registry.Registry
    chooser : replicas.ReplicaChooser
    header_names : headernames.HeaderNames
    get_retry_budget : callable
        Returns the `budgets.WindowBudget` of a service.
    poll : callable
        Called with the time; processes the replies that have arrived.
    delegation : delegation.Delegation or None
        Chooses other VMs to which shards of searches are delegated.
    queue_policy : targetadmission.QueuePolicy or None
    rollouts : rollouts.Rollouts or None

    Attributes
    ----------
    lag_s : float
        Moving average of how late this process's timers fire.
    """

    __slots__ = (
        "registry",
        "chooser",
        "header_names",
        "get_retry_budget",
        "poll",
        "delegation",
        "queue_policy",
        "rollouts",
        "lag_s",
        "_lowercase_names",
    )

    def __init__(
        self,
        registry,
        chooser,
        header_names,
        get_retry_budget,
        poll,
        delegation=None,
        queue_policy=None,
        rollouts=None,
    ):
        self.registry = registry
        self.chooser = chooser
        self.header_names = header_names
        self.get_retry_budget = get_retry_budget
        self.poll = poll
        self.delegation = delegation or NoDelegation()
        self.queue_policy = queue_policy or QueuePolicy()
        self.rollouts = rollouts or Rollouts()
        self.lag_s = 0.0
        self._lowercase_names = header_names.lowercase

    def record_lag(self, lag_s):
        """Add one sample to the average lag of the timers."""
        self.lag_s += LAG_WEIGHT * (lag_s - self.lag_s)

    def classify(self, reply):
        """Return the `ReplyClass` of a reply."""
        names = self._lowercase_names
        if reply.status == 421 or reply.get(names.not_run) is not None:
            return ReplyClass.REFUSED
        if not 200 <= reply.status < 300 or reply.get(names.digest) is None:
            return ReplyClass.FAILED
        # Callers request no content coding. If the body is encoded all the same, for
        # example by a proxy, it is not the body that the digest covers.
        coding = reply.get(b"content-encoding")
        if coding is not None and coding.lower() != b"identity":
            return ReplyClass.FAILED
        return ReplyClass.GOOD


class Query:
    """One caller's request in flight.

    Parameters
    ----------
    context : QueryContext
    route : routes.Route
    version : int
        Version of the configuration that was in force when the request arrived.
    outgoing : OutgoingRequest
    time_limit_s : float
        Time that the caller waits for the response, from `now`.
    reply_times : replicas.ReplyTimes
    now : float
        Monotonic seconds.

    Attributes
    ----------
    subrequests : list of Subrequest
    deadline : float
        Time at which the gateway stops waiting for replies and builds the response.
    target_deadline : float
        Deadline that is sent to the targets. It may be later than `deadline`, because
        no time is reserved in it for the response.
    priority : int
        0 is the most urgent.
    customer_name : str
        Customer of the caller; empty if there is none.
    weight : float
        Share of the customer when customers compete for a target.
    """

    __slots__ = (
        "route",
        "version",
        "outgoing",
        "reply_times",
        "started_at",
        "target_deadline",
        "deadline",
        "subrequests",
        "is_finished",
        "priority",
        "customer_name",
        "weight",
        "_context",
        "_wakeup",
        "_open_subrequests",
        "_closed_at",
    )

    def __init__(
        self, context, route, version, outgoing, time_limit_s, reply_times, now
    ):
        self.route = route
        self.version = version
        self.outgoing = outgoing
        self.reply_times = reply_times
        self.started_at = now
        self.target_deadline = now + min(time_limit_s, route.timeout_s)
        # The response must reach the caller within the caller's time limit, so time for
        # it is reserved. No time is reserved before the route's own timeout, because
        # the caller does not stop waiting then.
        self.deadline = now + min(time_limit_s - RESPONSE_MARGIN_S, route.timeout_s)
        self.subrequests = []
        self.is_finished = False
        self.priority = route.priority
        self.customer_name = ""
        self.weight = 1.0
        self._context = context
        self._wakeup = trio.Event()
        self._open_subrequests = 0
        self._closed_at = now

    async def run(self):
        """Return the response for the caller.

        Raises
        ------
        TarragonchuteError
            If there is no response. The error states whether the request may have run.
        """
        try:
            self.start(trio.current_time())
            while not self.is_finished:
                due_at = self.get_next_due_time()
                with trio.move_on_at(due_at) as scope:
                    await self._wakeup.wait()
                if scope.cancelled_caught:
                    self._handle_timeout(due_at, trio.current_time())
                elif not self.is_finished:
                    self._wakeup = trio.Event()
        finally:
            self.close(trio.current_time())
        return self.build_response()

    def _handle_timeout(self, due_at, now):
        self._context.record_lag(now - due_at)
        # Replies may be unread in the sockets because this process was busy.
        self._context.poll(now)
        self.advance(now)

    def start(self, now):
        """Send the first attempts."""
        subrequests = self._add_subrequests(
            self.list_services(), self.route.max_attempts
        )
        self.check_target_count(
            sum(subrequest.choose_first_target(now) for subrequest in subrequests)
        )
        self._start_subrequests(subrequests, now)

    def _add_subrequests(self, services, max_attempts):
        context = self._context
        subrequests = [
            Subrequest(service, self, context, max_attempts) for service in services
        ]
        self.subrequests += subrequests
        self._open_subrequests += len(subrequests)
        return subrequests

    def _start_subrequests(self, subrequests, now, uses_retry_budget=False):
        for subrequest in subrequests:
            if self.is_finished:
                break
            subrequest.start(now, uses_retry_budget)

    def check_target_count(self, services_with_target):
        """Raise if too few services have a usable target.

        Called before anything is sent.

        Parameters
        ----------
        services_with_target : int
            Number of services for which a usable target was found.
        """
        if not services_with_target:
            raise self._build_no_target_error("no usable target")

    def get_next_due_time(self):
        """Return the time at which `advance` must be called next."""
        due_at = self.deadline
        for subrequest in self.subrequests:
            if (
                subrequest.hedge_at is not None
                and subrequest.state is SubrequestState.OPEN
            ):
                due_at = min(due_at, subrequest.hedge_at)
        return due_at

    def advance(self, now):
        """Send the hedges that are due, and finish the request at its deadline."""
        if self.is_finished:
            return
        if now >= self.deadline:
            # Checked first: after a pause of this process, hedges are due as well.
            self._finish()
            return
        for subrequest in self.subrequests:
            subrequest.hedge(now)

    def set_customer(self, customer):
        """Set whose request it is; the customer's priority goes before the route's.

        Parameters
        ----------
        customer : customers.Customer
        """
        self.customer_name = customer.name
        self.weight = customer.rate or 1.0
        if customer.priority is not None:
            self.priority = customer.priority

    def limit_deadline(self, deadline):
        """Finish the request at a time (monotonic seconds), if not earlier."""
        if deadline < self.deadline:
            self.deadline = deadline
            self.target_deadline = min(self.target_deadline, deadline)
            self.wake()

    def close(self, now):
        """Cancel all attempts that are still in flight."""
        self.is_finished = True
        self._closed_at = now
        for subrequest in self.subrequests:
            subrequest.cancel(now)
        # The query and its subrequests refer to each other, so that they are freed only
        # when garbage is collected.
        self.outgoing.body = b""

    def wake(self):
        """Wake up `run`, because the next due time is now earlier."""
        self._wakeup.set()

    def has_time_for_retry(self, now):
        """Return whether another attempt can be answered before the deadline."""
        return self.deadline - now > MIN_RETRY_TIME_S

    def handle_subrequest_end(self, subrequest, now):
        """Finish the request when its last subrequest has ended."""
        if self.is_finished:
            return
        self._open_subrequests -= 1
        if not self._open_subrequests:
            self._finish()

    def build_message(self, target, now):
        """Return the request to one target as bytes."""
        remaining_ms = max(int((self.target_deadline - now) * 1000), 1)
        header_names = self._context.header_names
        outgoing = self.outgoing
        return b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
            outgoing.head,
            header_names.time_limit,
            remaining_ms,
            header_names.expected_identity,
            target.encoded_id,
            outgoing.body,
        )

    def list_services(self):
        """Return the services that take part; there is one subrequest for each."""
        raise NotImplementedError

    def build_response(self):
        """Return the response for the caller, or raise a `TarragonchuteError`."""
        raise NotImplementedError

    def describe(self):
        """Return the fields for the log line at the end of the request."""
        raise NotImplementedError

    def estimate_return_s(self, now):
        """Return the time until targets that asked for a pause can serve the request.

        Returns
        -------
        float
            Seconds; 0 if no pause prevents it, infinity if targets are missing.
        """
        return self._context.registry.estimate_return_s(self.list_services()[0], now)

    def _build_no_target_error(self, reason):
        """Return the error for a request that has not run on any target."""
        drain_s = self._estimate_drain_s()
        if drain_s is not None:
            return self._build_overloaded_error(reason, drain_s)
        error = NoTargetError(reason)
        error.retry_after_s = RETRY_AFTER_S
        wait_s = self.estimate_return_s(self._closed_at)
        if RETRY_AFTER_S < wait_s < math.inf:
            chooser = self._context.chooser
            error.retry_after_s = chooser.add_jitter(wait_s, RETRY_SPREAD_FRACTION)
        return error

    def _build_overloaded_error(self, reason, drain_s):
        error = OverloadedError(reason)
        wait_s = max(drain_s, RETRY_AFTER_S)
        chooser = self._context.chooser
        error.retry_after_s = chooser.add_jitter(wait_s, RETRY_SPREAD_FRACTION)
        return error

    def _estimate_drain_s(self):
        """Return the time until all queues that had no room drain, or None."""
        drains = (subrequest.drain_s for subrequest in self.subrequests)
        return max((d for d in drains if d is not None), default=None)

    def describe_queues(self):
        """Return the fields for the log line of a request that had to wait."""
        wait_s = max((s.wait_s for s in self.subrequests), default=0.0)
        fields = {
            "queued_ms": round(wait_s * 1000, 1),
            "moves": sum(subrequest.moves for subrequest in self.subrequests),
            "no_room": sum(subrequest.no_room for subrequest in self.subrequests),
        }
        return {name: value for name, value in fields.items() if value}

    def _finish(self):
        self.is_finished = True
        self._wakeup.set()


class SingleQuery(Query):
    """A request to one target of one service."""

    __slots__ = ("service",)

    def __init__(self, service, *args):
        super().__init__(*args)
        self.service = service

    def list_services(self):
        """See `Query`."""
        return (self.service,)

    def build_response(self):
        """See `Query`."""
        subrequest = self.subrequests[0]
        if subrequest.state is SubrequestState.DONE:
            return self._forward(subrequest.reply)
        if subrequest.reply is not None and not self._is_misleading_status(
            subrequest.reply
        ):
            return self._forward(subrequest.reply)
        if not subrequest.has_possible_runs:
            raise self._build_no_target_error(subrequest.reason)
        if subrequest.is_cancelled:
            raise TargetTimeoutError("the target did not reply before the deadline")
        raise TargetFailedError(subrequest.reason)

    def describe(self):
        """See `Query`."""
        subrequest = self.subrequests[0]
        return {
            "service": self.service,
            "targets": subrequest.list_target_ids(),
            "state": subrequest.state.value,
            "reason": subrequest.reason,
            "retries": subrequest.retries,
            "hedges": subrequest.hedges,
            "refusals": subrequest.refusals,
            **self.describe_queues(),
        }

    def _forward(self, reply):
        lines = list_end_to_end_headers(reply.list_header_lines())
        response = ForwardedResponse(reply.status, lines, reply.body)
        reply.discard_body()
        return response

    def _is_misleading_status(self, reply):
        """Return whether the caller would draw a wrong conclusion from the status.

        It is called for the reply of a failed subrequest. Some statuses would state
        that the request has not run, others that it succeeded.
        """
        return reply.status in NOT_RUN_STATUSES or 200 <= reply.status < 300


def build_outgoing(request, request_id, header_names, identity=None):
    """Return the `OutgoingRequest` of a caller's `HttpRequest`.

    Parameters
    ----------
    request : httpio.HttpRequest
    request_id : bytes
    header_names : headernames.HeaderNames
    identity : CallerIdentity or None
        None if callers need no keys; their headers are then forwarded as they are.
    """
    method = request.method.encode("ascii")
    head = _build_head(request, method, header_names, identity)
    return OutgoingRequest(method, request_id, head, request.body)


def _build_head(request, method, header_names, identity):
    replaced = {
        header_names.lowercase.time_limit,
        header_names.lowercase.expected_identity,
    }
    if identity is not None:
        replaced.add(header_names.lowercase.customer)
        replaced.add(header_names.lowercase.credentials)
    parts = [b"%b %b HTTP/1.1\r\n" % (method, request.target)]
    for name, value in list_end_to_end_headers(request.header_lines):
        if name.lower() not in replaced and name.lower() != b"expect":
            parts.append(b"%b: %b\r\n" % (name, value))
    if identity is not None and identity.customer is not None:
        name = identity.customer.name.encode()
        parts.append(b"%b: %b\r\n" % (header_names.customer, name))
    if request.body or b"content-length" in dict(request.header_lines):
        parts.append(b"Content-Length: %d\r\n" % len(request.body))
    return b"".join(parts)
