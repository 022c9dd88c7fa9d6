"""Load-aware replica choice, and the latency quantiles that hedging needs."""

import math

REPORT_DECAY_S = 2.0
"""Age of a load report at which the requests from other entry VMs no longer count.

Their weight falls linearly from 1 to 0 over this time.
"""

REPORT_EXPIRY_S = 5.0
"""Age at which a load report is ignored, so that a replica that was slow is tried
again."""

DEFAULT_SERVICE_TIME_MS = 1.0
"""Service time assumed without a load report; low, so that unknown replicas are
tried."""

DELAY_JITTER = 0.1
"""Greatest random addition to an estimated delay, as a fraction of it.

Replicas whose estimates differ by less share the load, so that the entry VMs don't
all choose the same one.
"""

SKIP_TIMES_S = {
    "connect_failed": 0.5,
    "connection_lost": 0.5,
    "timed_out": 0.5,
    "wrong_answer": 0.5,
    "draining": 2.0,
    "not_holder": 0.1,
    "no_lease": 0.3,
    "not_sent": 0.2,
    "domain_out": 0.5,
}
"""Seconds for which a target is chosen last after an attempt ended with this code.

``draining`` equals the holder's probe interval; ``not_holder`` is about the
shortest time in which a target changes holders.
"""

MAX_UNANSWERED_ATTEMPTS = 3
"""Number of consecutive overdue attempts after which a target is skipped.

The peers of a VM that loses its network detect this only after 1.75 s. Until then each
query would wait for the shards of that VM, and the hedge budget covers only part of
them.
"""

MAX_ATTEMPTS_PER_SLOT_FOR_HEDGE = 3
"""Running and queued attempts per slot up to which a target gets hedges.

At 80% load of targets with 2 slots, hedges without this limit made the median query
take four times as long. With 1 instead of 3, most slow shards in searches of
110 shards got no hedge even at 50% load, because load reports lag behind.
"""

MAX_SAMPLES = 512
"""Latency samples that are kept; the newest replace the oldest."""

SAMPLES_PER_SORT = 64
"""New samples after which the quantiles are computed again."""


class LatencyTracker:
    """Quantiles of the newest latency samples.

    The samples are sorted once for every 64 new ones, not for each query: sorting 512
    samples then costs less than 1 microsecond per new sample.
    """

    __slots__ = ("_samples", "_count", "_sorted")

    def __init__(self):
        self._samples = []
        self._count = 0
        self._sorted = []

    def record(self, seconds):
        """Add a latency sample in seconds."""
        samples = self._samples
        if len(samples) < MAX_SAMPLES:
            samples.append(seconds)
        else:
            samples[self._count % MAX_SAMPLES] = seconds
        self._count += 1
        if self._count % SAMPLES_PER_SORT == 0:
            self._sorted = sorted(samples)

    def quantile(self, fraction):
        """Return a quantile in seconds, or None before there are 64 samples."""
        if not self._sorted:
            return None
        index = int(fraction * len(self._sorted))
        return self._sorted[min(index, len(self._sorted) - 1)]


class _TargetLoad:
    """The load of one target, as known to this entry VM.

    Attributes
    ----------
    limit : int
        Concurrent requests that the target accepts, as last reported.
    requests_from_others : float
        Requests of other entry VMs, queued or in flight, as last reported.
    service_ms : float
        Service time of one request, as last reported.
    reported_at : float
        When the last load report arrived, in monotonic seconds.
    outstanding : int
        Attempts of this entry VM that have not ended.
    skip_until : float
        Monotonic seconds until which other replicas are preferred.
    unanswered : int
        Overdue attempts that were cancelled since the last answer or skip.
    """

    __slots__ = (
        "limit",
        "requests_from_others",
        "service_ms",
        "reported_at",
        "outstanding",
        "skip_until",
        "unanswered",
    )

    def __init__(self):
        self.limit = 1
        self.requests_from_others = 0.0
        self.service_ms = DEFAULT_SERVICE_TIME_MS
        self.reported_at = -REPORT_EXPIRY_S
        self.outstanding = 0
        self.skip_until = 0.0
        self.unanswered = 0

    def count_attempts(self, now):
        """Return the running and queued attempts at the target, plus one more."""
        age = now - self.reported_at
        attempts = self.outstanding + 1
        if age < REPORT_DECAY_S:
            attempts += self.requests_from_others * (1.0 - age / REPORT_DECAY_S)
        return attempts

    def estimate_delay_ms(self, now):
        """Return the expected delay of one more attempt in milliseconds."""
        service = self.service_ms
        if now - self.reported_at >= REPORT_EXPIRY_S:
            service = DEFAULT_SERVICE_TIME_MS
        # A limit of 0 (no requests accepted) counts as 0.1 and ranks the target low.
        delay = self.count_attempts(now) * service / (self.limit or 0.1)
        return delay if now >= self.skip_until else delay + _SKIPPED_DELAY_MS


class Router:
    """Chooses the replica with the lowest estimated delay.

    Parameters
    ----------
    find_holder : callable
        Returns the vm_id of the holder of a target id, or None.
    random : random.Random
        Source of the jitter; seed it for a repeatable run.
    """

    __slots__ = (
        "_find_holder",
        "_random",
        "_loads",
        "_out_of_service",
        "_shard_latencies",
        "_query_latencies",
    )

    def __init__(self, find_holder, random):
        self._find_holder = find_holder
        self._random = random.random
        self._loads = {}
        self._out_of_service = frozenset()
        self._shard_latencies = {}
        self._query_latencies = {}

    def set_tree(self, tree):
        """Apply the failure domains and targets of a `SettingsTree`."""
        targets = tree.list_targets()
        self._out_of_service = frozenset(
            name
            for name, target in targets.items()
            if not tree.is_domain_in_service(target.domain)
        )
        for name in [name for name in self._loads if name not in targets]:
            if self._loads[name].outstanding == 0:
                del self._loads[name]

    def choose(self, targets, now):
        """Return ``(target, vm_id)`` of the best replica, or None.

        Targets in a failure domain that is out of service and targets without a
        holder are never chosen; a target that failed recently only if there is no
        other.

        Parameters
        ----------
        targets : iterable of str
        now : float
            Monotonic seconds.
        """
        best = None
        best_delay = math.inf
        for target in targets:
            if target in self._out_of_service:
                continue
            load = self._loads.get(target) or self._add(target)
            delay = load.estimate_delay_ms(now) * (1.0 + DELAY_JITTER * self._random())
            if delay < best_delay:
                best, best_delay = target, delay
        if best is None:
            return None
        vm_id = self._find_holder(best)
        if vm_id is not None:
            return best, vm_id
        return self.choose([t for t in targets if t != best], now)

    def has_room(self, target, now):
        """Whether a target has room for a hedge; see `MAX_ATTEMPTS_PER_SLOT_FOR_HEDGE`.

        Parameters
        ----------
        target : str
        now : float
            Monotonic seconds.
        """
        load = self._loads.get(target)
        if load is None or now - load.reported_at >= REPORT_EXPIRY_S:
            return True
        return load.count_attempts(now) <= MAX_ATTEMPTS_PER_SLOT_FOR_HEDGE * load.limit

    def record_sent(self, target):
        """Count an attempt as outstanding; the target comes from `choose`."""
        self._loads[target].outstanding += 1

    def record_cancelled(self, target, is_overdue, now):
        """Count an attempt as cancelled before it was answered.

        Parameters
        ----------
        target : str
        is_overdue : bool
            Whether the attempt was open for at least the hedge delay.
        now : float
            Monotonic seconds.
        """
        load = self._loads.get(target)
        if load is None:
            return
        load.outstanding -= 1
        load.unanswered += is_overdue
        if load.unanswered >= MAX_UNANSWERED_ATTEMPTS:
            load.unanswered = 0
            load.skip_until = now + SKIP_TIMES_S["timed_out"]

    def record_answer(self, target, code, report, now):
        """Count an attempt as ended, and update the load and state of its target.

        Parameters
        ----------
        target : str
        code : str
            Code of the answer, or of the failure of an attempt without one.
        report : LoadEstimate or None
        now : float
            Monotonic seconds.
        """
        load = self._loads.get(target)
        if load is None:
            return
        load.outstanding -= 1
        load.unanswered = 0
        if report is not None:
            load.limit = report.limit
            load.requests_from_others = max(0, report.waiting - load.outstanding)
            load.service_ms = report.service_ms
            load.reported_at = now
        if code in SKIP_TIMES_S:
            load.skip_until = now + SKIP_TIMES_S[code]

    def get_shard_latencies(self, dataset):
        """Return the `LatencyTracker` of a dataset's shard attempts."""
        return self._get_tracker(self._shard_latencies, dataset)

    def record_query_latency(self, dataset, seconds):
        """Add the time of a completed query in seconds."""
        self._get_tracker(self._query_latencies, dataset).record(seconds)

    def get_shard_latency_quantile(self, dataset, fraction):
        """Return a latency quantile of shard attempts in seconds, None if unknown."""
        return self.get_shard_latencies(dataset).quantile(fraction)

    def get_query_latency_quantile(self, dataset, fraction):
        """Return a latency quantile of whole queries in seconds, None if unknown."""
        return self._get_tracker(self._query_latencies, dataset).quantile(fraction)

    def _get_tracker(self, trackers, dataset):
        tracker = trackers.get(dataset)
        if tracker is None:
            tracker = trackers[dataset] = LatencyTracker()
        return tracker

    def _add(self, target):
        load = self._loads[target] = _TargetLoad()
        return load


_SKIPPED_DELAY_MS = 1e9
"""Added to the estimated delay of a skipped target, so that it is chosen last."""
