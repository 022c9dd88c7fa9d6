"""Checks the promises of the gateway from what callers and targets saw.

The oracle knows nothing of the gateway. It is told what callers sent and got, what
targets ran, and what the operator wrote; each check is a sentence of the promises.
"""

RECORD_BYTES = 16
NOT_RUN_STATUSES = (408, 421, 429, 503)

ROLLBACK_SLACK_S = 0.25
"""Time after an answer that showed a version until no older one may be seen."""


class Run:
    """One execution of a request by a target.

    Parameters
    ----------
    request_id, service, target_id : str
    digest : str
        Empty if the target answered with a failure.
    body : bytes
        Of the reply.
    message : tuple of (str, bytes, bytes)
        Method, path with query, and body as the target received them.
    at : float
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


class Sent:
    """One attempt of a caller.

    Parameters
    ----------
    request_id : str
    vm : object
        Lifetime of the VM process that was asked; compared by identity.
    message : tuple of (str, bytes, bytes)
    is_search, is_idempotent : bool
    at, limit_s : float
    """

    __slots__ = (
        "request_id",
        "vm",
        "message",
        "is_search",
        "is_idempotent",
        "at",
        "limit_s",
        "status",
    )

    def __init__(self, request_id, vm, message, is_search, is_idempotent, at, limit_s):
        self.request_id = request_id
        self.vm = vm
        self.message = message
        self.is_search = is_search
        self.is_idempotent = is_idempotent
        self.at = at
        self.limit_s = limit_s
        self.status = None


class Oracle:
    """Collects what was seen and the promises that were broken.

    Attributes
    ----------
    findings : list of str
    answered : dict of int to int
        Answers by status; 0 for a connection that ended without one.
    full : int
        Searches whose answer had all shards.
    blind_until : float
        Until then the stand-ins themselves are late, so that nobody can tell whether
        a VM was.
    """

    def __init__(self, top, least_coverage):
        self.findings = []
        self.answered = {}
        self.full = 0
        self.blind_until = 0.0
        self._top = top
        self._least_coverage = least_coverage
        self._sent = {}
        self._runs = {}
        self._by_digest = {}
        self._shard_sets = {}
        self._newest_seen = {}
        self._left = {}

    # What was seen.

    def note_version(self, version, shards):
        """Take the shards that the operator is about to name."""
        self._shard_sets[version] = frozenset(shards)

    def note_sent(self, sent):
        """Take an attempt of a caller, before its first byte."""
        self._sent[sent.request_id] = sent

    def note_leaving(self, target_id, deadline):
        """Take the time from which a target that leaves must get nothing new."""
        self._left[target_id] = deadline

    def note_run(self, run):
        """Take an execution; check that it was asked for and may happen."""
        sent = self._sent.get(run.request_id)
        if sent is None:
            self._find(f"{run.target_id} ran {run.request_id}, which nobody sent")
            return
        if sent.message != run.message:
            self._find(f"{run.request_id} was changed on its way: {run.message}")
        is_late = run.at > self._left.get(run.target_id, run.at)
        if is_late and run.at > self.blind_until:
            self._find(f"{run.target_id} got {run.request_id} after it had left")
        runs = self._runs.setdefault(run.request_id, [])
        runs.append(run)
        if len(runs) > 1 and not sent.is_idempotent:
            self._find(f"{run.request_id} may run once and ran {len(runs)} times")
        if sent.status in NOT_RUN_STATUSES and not sent.is_idempotent:
            self._find(f"{run.request_id} ran after it was answered {sent.status}")
        if run.digest:
            self._by_digest[run.digest] = run

    def note_late(self, request_id, waited_s):
        """Take a caller that waited in vain, at a VM that was at work all the time."""
        self._find(f"{request_id} had no answer after {waited_s:.1f} s")

    def note_not_started(self, vm_id, reason):
        """Take a VM that did not become ready after its start."""
        self._find(f"{vm_id} was started and {reason}")

    def note_cut(self, request_id):
        """Take a connection that ended without an answer although nothing failed."""
        self._find(f"{request_id} was cut off by a planned stop")

    def note_closed(self, request_id):
        """Take a connection that ended without an answer."""
        self._count(0)

    def note_answer(self, request_id, status, headers, body, at):
        """Take an answer; check that it is true."""
        self._count(status)
        sent = self._sent[request_id]
        sent.status = status
        runs = self._runs.get(request_id, [])
        if status in NOT_RUN_STATUSES and runs and not sent.is_idempotent:
            self._find(f"{request_id} was answered {status} and had run")
        if not 200 <= status < 300:
            return
        if sent.is_search:
            self._check_search(sent, headers, body, at)
        else:
            self._check_single(sent, headers, body)

    def check_recovery(self, full, total):
        """Check the searches that were sent after all faults had ended."""
        if full < total / 4:
            self._find(f"only {full} of {total} searches were whole after the faults")

    # Checks.

    def _check_single(self, sent, headers, body):
        run = self._by_digest.get(headers.get("response-stamp", ""))
        if run is None or run.request_id != sent.request_id:
            self._find(f"{sent.request_id} got an answer that no target gave to it")
        elif body != run.body:
            self._find(f"{sent.request_id} got another body than its target sent")

    def _check_search(self, sent, headers, body, at):
        digests = headers.get("part-stamps", "").split(", ")
        runs = [self._by_digest.get(digest) for digest in digests]
        if any(run is None or run.request_id != sent.request_id for run in runs):
            self._find(f"{sent.request_id} got a part that is not its own")
            return
        services = {run.service for run in runs}
        if len(services) != len(runs):
            self._find(f"{sent.request_id} got two parts of one shard")
        missing = int(headers.get("missing-parts", "0"))
        total = len(runs) + missing
        versions = [
            version
            for version, shards in self._shard_sets.items()
            if services <= shards and len(shards) == total
        ]
        if not versions:
            self._find(f"{sent.request_id} got parts that no version names together")
            return
        if len(runs) < self._least_coverage * total:
            self._find(f"{sent.request_id} got {len(runs)} of {total} parts")
        if body != self._merge(runs):
            self._find(f"{sent.request_id} got other records than its parts have")
        self._check_order(sent, versions, at)
        self.full += not missing

    def _check_order(self, sent, versions, at):
        """Check that a VM never goes back to an older version in its lifetime.

        An answer that lacks shards may fit several versions. It shows only the oldest
        of them, and goes back only if even the newest is too old.
        """
        newest, since = self._newest_seen.get(sent.vm, (0, 0.0))
        if max(versions) < newest and sent.at > since:
            self._find(f"{sent.request_id} saw version {max(versions)} after {newest}")
        if min(versions) > newest:
            self._newest_seen[sent.vm] = (min(versions), at + ROLLBACK_SLACK_S)

    def _merge(self, runs):
        records = []
        for run in runs:
            count = len(run.body) // RECORD_BYTES
            records += [run.body[i * 16 : i * 16 + 16] for i in range(count)]
        return b"".join(sorted(records, reverse=True)[: self._top])

    def _count(self, status):
        self.answered[status] = self.answered.get(status, 0) + 1

    def _find(self, text):
        self.findings.append(text)
