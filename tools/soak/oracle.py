"""Checks the gateway's guarantees from the observations of callers and targets.

The oracle has no access to the gateway. It records what callers sent and received, what
targets ran, and what the operator wrote; each check covers one documented guarantee.
"""

RECORD_BYTES = 16
NOT_RUN_STATUSES = (408, 421, 429, 503)

ROLLBACK_SLACK_S = 0.25
"""Time after a response from one version during which an older version may still be
seen."""


LEAVING_TIME_S = 3.0
"""Time after an answer which says that its target leaves, from which the process that
passed it on must send the target nothing."""

MAX_UNWANTED = 2
"""Requests that may reach a target from one process during a pause it asked for."""


class Run:
    """One execution of a request by a target.

    Parameters
    ----------
    request_id, service, target_id : str
    digest : str
        Response digest; empty if the target responded with an error.
    body : bytes
        Body of the response.
    message : tuple of (str, bytes, bytes)
        Method, path with query, and body as the target received them.
    at : float
        Start time on the `trio` clock.
    """

    __slots__ = (
        "request_id",
        "service",
        "target_id",
        "digest",
        "body",
        "message",
        "at",
    )

    def __init__(self, request_id, service, target_id, digest, body, message, at):
        self.request_id = request_id
        self.service = service
        self.target_id = target_id
        self.digest = digest
        self.body = body
        self.message = message
        self.at = at


class CallerRequest:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
    vm : object
        Lifetime object of the VM process that receives it; compared by identity.
    message : tuple of (str, bytes, bytes)
    is_search, is_idempotent : bool
    at, timeout_s : float
        Send time on the `trio` clock, and seconds until the deadline.
    """

    __slots__ = (
        "request_id",
        "vm",
        "message",
        "is_search",
        "is_idempotent",
        "at",
        "timeout_s",
        "status",
    )

    def __init__(
        self, request_id, vm, message, is_search, is_idempotent, at, timeout_s
    ):
        self.request_id = request_id
        self.vm = vm
        self.message = message
        self.is_search = is_search
        self.is_idempotent = is_idempotent
        self.at = at
        self.timeout_s = timeout_s
        self.status = None


class Oracle:
    """Records observations and collects violated guarantees.

    Attributes
    ----------
    findings : list of str
        Descriptions of the violations.
    responses_by_status : dict of int to int
        Number of responses by status; 0 for a connection that closed without one.
    complete_searches : int
        Number of searches whose response had all shards.
    timing_unreliable_until : float
        Until this time the stand-ins themselves run late, so that a late response
        cannot be attributed to a VM.
    """

    def __init__(self, top, least_coverage):
        self.findings = []
        self.responses_by_status = {}
        self.complete_searches = 0
        self.timing_unreliable_until = 0.0
        self._top = top
        self._least_coverage = least_coverage
        self._requests = {}
        self._runs = {}
        self._by_digest = {}
        self._shard_sets = {}
        self._newest_seen = {}
        self._removal_deadlines = {}
        self._leaving_since = {}

    # Observations.

    def record_version(self, version, shards):
        """Record the shards of a version that the operator is about to write."""
        self._shard_sets[version] = frozenset(shards)

    def record_request(self, request):
        """Record a request of a caller, before its first byte is sent."""
        self._requests[request.request_id] = request

    def record_target_removal(self, target_id, deadline):
        """Record the time from which a removed target must receive no new requests."""
        self._removal_deadlines[target_id] = deadline

    def record_version_in_force(self, version, processes, at):
        """Record that processes must have applied a version by a time."""
        for process in processes:
            if self._newest_seen.get(process, (0, 0.0))[0] < version:
                self._newest_seen[process] = (version, at)

    def delay_target_removal(self, target_id, deadline):
        """Delay the time of `record_target_removal`, if it was recorded."""
        if target_id in self._removal_deadlines:
            self._removal_deadlines[target_id] = deadline

    def find_process_of_order(self, request_id):
        """Return the process that passes an order on; None for searches.

        The shards of a search may be delegated to other VMs.
        """
        request = self._requests.get(request_id)
        return None if request is None or request.is_search else request.vm

    def has_run(self, request_id):
        """Return whether a request has run on any target."""
        return request_id in self._runs

    def check_pause(self, target_id, unwanted):
        """Check the orders that a target got during a pause, by process."""
        if max(unwanted.values(), default=0) > MAX_UNWANTED:
            self._add_finding(f"{target_id} got {unwanted} during a pause")

    def record_run(self, run):
        """Record an execution; check that it was requested and is allowed."""
        request = self._requests.get(run.request_id)
        if request is None:
            self._add_finding(
                f"{run.target_id} ran {run.request_id}, which nobody sent"
            )
            return
        if request.message != run.message:
            self._add_finding(f"{run.request_id} was changed on its way: {run.message}")
        is_late = run.at > self._removal_deadlines.get(run.target_id, run.at)
        if is_late and run.at > self.timing_unreliable_until:
            self._add_finding(f"{run.target_id} got {run.request_id} after it had left")
        leaving_since = self._leaving_since.get((run.target_id, request.vm))
        if leaving_since is not None and request.at > leaving_since + LEAVING_TIME_S:
            self._add_finding(
                f"{run.target_id} got {run.request_id} after it had said that it leaves"
            )
        runs = self._runs.setdefault(run.request_id, [])
        runs.append(run)
        if len(runs) > 1 and not request.is_idempotent:
            self._add_finding(
                f"{run.request_id} may run once and ran {len(runs)} times"
            )
        if request.status in NOT_RUN_STATUSES and not request.is_idempotent:
            self._add_finding(
                f"{run.request_id} ran after it was answered {request.status}"
            )
        if run.digest:
            self._by_digest[run.digest] = run

    def report_missing_response(self, request_id, waited_s):
        """Report a request without a response from a VM that ran undisturbed."""
        self._add_finding(f"{request_id} had no answer after {waited_s:.1f} s")

    def report_failed_start(self, vm_id, reason):
        """Report a VM that did not become ready after its start."""
        self._add_finding(f"{vm_id} was started and {reason}")

    def report_lost_connection(self, request_id):
        """Report a connection that closed without a response and without a fault."""
        self._add_finding(f"{request_id} was cut off by a planned stop")

    def record_closed_connection(self, request_id):
        """Record a connection that closed without a response."""
        self._count(0)

    def record_response(self, request_id, status, headers, body, at):
        """Record a response; check it against the executions."""
        self._count(status)
        request = self._requests[request_id]
        request.status = status
        runs = self._runs.get(request_id, [])
        if status in NOT_RUN_STATUSES and runs and not request.is_idempotent:
            self._add_finding(f"{request_id} was answered {status} and had run")
        if not 200 <= status < 300:
            return
        if request.is_search:
            self._check_search(request, headers, body, at)
        else:
            self._check_single(request, headers, body, at)

    def check_recovery(self, complete_searches, total):
        """Check that at least a quarter of the final searches had all shards."""
        if complete_searches < total / 4:
            self._add_finding(
                f"only {complete_searches} of {total} searches were whole "
                "after the faults"
            )

    # Checks.

    def _check_single(self, request, headers, body, at):
        run = self._by_digest.get(headers.get("response-stamp", ""))
        if run is None or run.request_id != request.request_id:
            self._add_finding(
                f"{request.request_id} got an answer that no target gave to it"
            )
            return
        if "server-leaving" in headers:
            self._leaving_since.setdefault((run.target_id, request.vm), at)
        if body != run.body:
            self._add_finding(
                f"{request.request_id} got another body than its target sent"
            )

    def _check_search(self, request, headers, body, at):
        digests = headers.get("part-stamps", "").split(", ")
        runs = [self._by_digest.get(digest) for digest in digests]
        if any(run is None or run.request_id != request.request_id for run in runs):
            self._add_finding(f"{request.request_id} got a part that is not its own")
            return
        services = {run.service for run in runs}
        if len(services) != len(runs):
            self._add_finding(f"{request.request_id} got two parts of one shard")
        missing = int(headers.get("missing-parts", "0"))
        total = len(runs) + missing
        versions = [
            version
            for version, shards in self._shard_sets.items()
            if services <= shards and len(shards) == total
        ]
        if not versions:
            self._add_finding(
                f"{request.request_id} got parts that no version names together"
            )
            return
        if len(runs) < self._least_coverage * total:
            self._add_finding(f"{request.request_id} got {len(runs)} of {total} parts")
        if body != self._merge(runs):
            self._add_finding(
                f"{request.request_id} got other records than its parts have"
            )
        self._check_rollback(request, versions, at)
        self.complete_searches += not missing

    def _check_rollback(self, request, versions, at):
        """Check that a VM process never returns to an older version.

        A response without some shards may match several versions. It proves only the
        oldest of them, and is a rollback only if even the newest is too old.
        """
        newest, enforced_from = self._newest_seen.get(request.vm, (0, 0.0))
        if max(versions) < newest and request.at > enforced_from:
            self._add_finding(
                f"{request.request_id} saw version {max(versions)} after {newest}"
            )
        if min(versions) > newest:
            self._newest_seen[request.vm] = (min(versions), at + ROLLBACK_SLACK_S)

    def _merge(self, runs):
        records = []
        for run in runs:
            count = len(run.body) // RECORD_BYTES
            records += [run.body[i * 16 : i * 16 + 16] for i in range(count)]
        return b"".join(sorted(records, reverse=True)[: self._top])

    def _count(self, status):
        self.responses_by_status[status] = self.responses_by_status.get(status, 0) + 1

    def _add_finding(self, text):
        self.findings.append(text)
