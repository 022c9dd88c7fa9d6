"""Choice of replica, and the latency figures that hedging needs."""

import math

FRESH_S = 2.0
"""Age at which the reported queue of other entry VMs is no longer counted."""

FORGET_S = 5.0
"""Age at which a report is dropped, so that a replica that was slow is tried again."""

UNKNOWN_SERVICE_MS = 1.0
"""Service time assumed without a report; low, so that unknown replicas get tried."""

SPREAD = 0.1
"""Relative width within which two estimates count as equal and chance decides."""

SKIP_S = {
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
"""Seconds for which a target is passed over after an answer with this code.

``draining`` equals the holder's probe interval; ``not_holder`` is about one
hand-over of a target.
"""

SILENT_ATTEMPTS = 3
"""Attempts without an answer after which a target is passed over.

A VM that is cut off is noticed by its peers only after 1.75 s. Until then each query
would wait for its shards, and the hedge budget covers only part of them.
"""

ROOM_ROUNDS = 3
"""Attempts for each slot up to which a target has room for a hedge.

At 80% load of targets with 2 slots, hedges without this bound made the median query
take four times as long. With a bound of 1, most stragglers of 110 shards had no hedge
already at 50% load, because the reports of the queue are old.
"""

SAMPLES = 512
REFRESH_EVERY = 64


class LatencyTracker:
    """Quantiles of the newest samples, recomputed now and then.

    Sorting 512 samples for every 64 new ones costs less than 1 microsecond for each
    sample.
    """

    __slots__ = ("_samples", "_count", "_sorted")

    def __init__(self):
        self._samples = []
        self._count = 0
        self._sorted = []

    def record(self, seconds):
        """Add a sample in seconds."""
        samples = self._samples
        if len(samples) < SAMPLES:
            samples.append(seconds)
        else:
            samples[self._count % SAMPLES] = seconds
        self._count += 1
        if self._count % REFRESH_EVERY == 0:
            self._sorted = sorted(samples)

    def quantile(self, fraction):
        """Return a quantile in seconds, or None before 64 samples."""
        if not self._sorted:
            return None
        index = int(fraction * len(self._sorted))
        return self._sorted[min(index, len(self._sorted) - 1)]


class _TargetLoad:
    """What this entry VM knows about one target."""

    __slots__ = (
        "limit",
        "others",
        "service_ms",
        "at",
        "outstanding",
        "skip_until",
        "silent",
    )

    def __init__(self):
        self.limit = 1
        self.others = 0.0
        self.service_ms = UNKNOWN_SERVICE_MS
        self.at = -FORGET_S
        self.outstanding = 0
        self.skip_until = 0.0
        self.silent = 0

    def count_queue(self, now):
        """Return how many attempts would be at the target with one more."""
        age = now - self.at
        queue = self.outstanding + 1
        if age < FRESH_S:
            queue += self.others * (1.0 - age / FRESH_S)
        return queue

    def estimate(self, now):
        """Return the expected delay in milliseconds of one more attempt."""
        service = self.service_ms
        if now - self.at >= FORGET_S:
            service = UNKNOWN_SERVICE_MS
        # A limit of 0 is a target that takes nothing at present.
        delay = self.count_queue(now) * service / (self.limit or 0.1)
        return delay if now >= self.skip_until else delay + _SKIPPED_MS


class Router:
    """Chooses replicas by estimated delay.

    Parameters
    ----------
    find_holder : callable
        Takes a target id and returns the vm_id of its holder, or None.
    random : random.Random
        Decides between replicas with equal estimates; seed it for a repeatable run.
    """

    __slots__ = ("_find_holder", "_random", "_loads", "_out", "_latencies", "_queries")

    def __init__(self, find_holder, random):
        self._find_holder = find_holder
        self._random = random.random
        self._loads = {}
        self._out = frozenset()
        self._latencies = {}
        self._queries = {}

    def set_tree(self, tree):
        """Take failure domains and targets from a `SettingsTree`."""
        targets = tree.list_targets()
        self._out = frozenset(
            name
            for name, target in targets.items()
            if not tree.is_domain_in_service(target.domain)
        )
        for name in [name for name in self._loads if name not in targets]:
            if self._loads[name].outstanding == 0:
                del self._loads[name]

    def choose(self, targets, now):
        """Return ``(target, vm_id)`` of the best replica, or None.

        Targets in a failure domain that is out and targets without a holder are
        never chosen; a target that failed lately only if there is no other.

        Parameters
        ----------
        targets : iterable of str
        now : float
            Monotonic seconds.
        """
        best = None
        best_delay = math.inf
        for target in targets:
            if target in self._out:
                continue
            load = self._loads.get(target) or self._add(target)
            delay = load.estimate(now) * (1.0 + SPREAD * self._random())
            if delay < best_delay:
                best, best_delay = target, delay
        if best is None:
            return None
        vm_id = self._find_holder(best)
        if vm_id is not None:
            return best, vm_id
        return self.choose([t for t in targets if t != best], now)

    def has_room(self, target, now):
        """Whether one more attempt would wait for at most `ROOM_ROUNDS` others.

        Parameters
        ----------
        target : str
        now : float
            Monotonic seconds.
        """
        load = self._loads.get(target)
        if load is None or now - load.at >= FORGET_S:
            return True
        return load.count_queue(now) <= ROOM_ROUNDS * load.limit

    def note_sent(self, target):
        """Count an attempt as outstanding; call after `choose`."""
        self._loads[target].outstanding += 1

    def note_cancelled(self, target, is_overdue, now):
        """Count an attempt as no longer outstanding, without an answer.

        Parameters
        ----------
        target : str
        is_overdue : bool
            Whether an answer was to be expected by now.
        now : float
            Monotonic seconds.
        """
        load = self._loads.get(target)
        if load is None:
            return
        load.outstanding -= 1
        load.silent += is_overdue
        if load.silent >= SILENT_ATTEMPTS:
            load.silent = 0
            load.skip_until = now + SKIP_S["timed_out"]

    def note_answer(self, target, code, report, now):
        """Count an attempt as answered, and take what that tells about its target.

        Parameters
        ----------
        target : str
        code : str
            Code of the answer.
        report : LoadEstimate or None
        now : float
            Monotonic seconds.
        """
        load = self._loads.get(target)
        if load is None:
            return
        load.outstanding -= 1
        load.silent = 0
        if report is not None:
            load.limit = report.limit
            load.others = max(0, report.waiting - load.outstanding)
            load.service_ms = report.service_ms
            load.at = now
        if code in SKIP_S:
            load.skip_until = now + SKIP_S[code]

    def find_latencies(self, dataset):
        """Return the `LatencyTracker` of a dataset's shard attempts."""
        return self._find_tracker(self._latencies, dataset)

    def record_query(self, dataset, seconds):
        """Add the time of one whole query."""
        self._find_tracker(self._queries, dataset).record(seconds)

    def shard_latency(self, dataset, fraction):
        """Return a quantile of shard attempts in seconds, or None if unknown."""
        return self.find_latencies(dataset).quantile(fraction)

    def query_latency(self, dataset, fraction):
        """Return a quantile of whole queries in seconds, or None if unknown."""
        return self._find_tracker(self._queries, dataset).quantile(fraction)

    def _find_tracker(self, trackers, dataset):
        tracker = trackers.get(dataset)
        if tracker is None:
            tracker = trackers[dataset] = LatencyTracker()
        return tracker

    def _add(self, target):
        load = self._loads[target] = _TargetLoad()
        return load


_SKIPPED_MS = 1e9
"""Added to the estimate of a target that failed lately, to put it last."""
