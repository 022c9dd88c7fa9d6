"""Metrics of one VM, rendered in the Prometheus text format.

Recording updates plain Python numbers only. The collectors of aioprometheus encode
their labels as JSON on every call, so a registry is filled only when /metrics is read.
"""

import bisect
import collections
import enum
import itertools
import os
import resource

from . import __version__

LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.125,
    0.15,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
)
"""Upper bounds in seconds; closely spaced around the latency goal of 150 ms."""

COVERAGE_BUCKETS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)
"""Upper bounds; a search falls into the first bucket whose bound it does not exceed."""

FIRST = "first"
HEDGE = "hedge"
RETRY = "retry"


class MetricKind(enum.StrEnum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


class MetricSpec:
    """Name, type, help text and labels of one metric.

    Parameters
    ----------
    name : str
        Without the prefix ``tarragonchute_``; ends in the unit.
    kind : MetricKind
    help : str
    labels : tuple of str
        Names of the labels.
    buckets : tuple of float
        Upper bounds of a histogram's buckets; empty for other kinds.
    """

    __slots__ = ("name", "kind", "help", "labels", "buckets")

    def __init__(self, name, kind, help, labels=(), buckets=()):
        self.name = f"tarragonchute_{name}"
        self.kind = kind
        self.help = help
        self.labels = labels
        self.buckets = buckets


SEARCH_DURATION = MetricSpec(
    "search_duration_seconds",
    MetricKind.HISTOGRAM,
    "Time from a search's arrival to its answer.",
    ("team", "code"),
    LATENCY_BUCKETS_S,
)
BOOKING_DURATION = MetricSpec(
    "booking_duration_seconds",
    MetricKind.HISTOGRAM,
    "Time from a booking's arrival to its answer.",
    ("team", "code"),
    LATENCY_BUCKETS_S,
)
COVERAGE = MetricSpec(
    "search_coverage_ratio",
    MetricKind.HISTOGRAM,
    "Shards that answered divided by shards of the pinned layout.",
    ("team",),
    COVERAGE_BUCKETS,
)
ATTEMPTS = MetricSpec(
    "shard_attempts_total",
    MetricKind.COUNTER,
    "Shard requests that this VM started as entry, by kind.",
    ("kind",),
)
EXTRA_LOAD = MetricSpec(
    "extra_load_ratio",
    MetricKind.GAUGE,
    "Hedges and retries divided by first attempts, since the start.",
)
REFUSALS = MetricSpec(
    "refusals_total",
    MetricKind.COUNTER,
    "Requests and shard requests that were refused, by code.",
    ("code",),
)
DOMAIN_REQUESTS = MetricSpec(
    "domain_requests_total",
    MetricKind.COUNTER,
    "Requests that this VM sent to targets, by the targets' failure domain.",
    ("domain", "code"),
)
STORE_CALLS = MetricSpec(
    "store_calls_total",
    MetricKind.COUNTER,
    "Calls to the key-value service.",
    ("operation", "result"),
)
SETTINGS_VERSION = MetricSpec(
    "settings_version",
    MetricKind.GAUGE,
    "Version of each settings subtree that is in force.",
    ("subtree",),
)
SETTINGS_AGE = MetricSpec(
    "settings_age_seconds",
    MetricKind.GAUGE,
    "Time since this VM received that version.",
    ("subtree",),
)
HELD_TARGETS = MetricSpec(
    "held_targets", MetricKind.GAUGE, "Targets to which this VM alone may send."
)
LEASE_REMAINING = MetricSpec(
    "lease_remaining_seconds",
    MetricKind.GAUGE,
    "Time until this VM's lease ends; zero or less without a lease.",
)
VIEW_EPOCH = MetricSpec(
    "view_epoch", MetricKind.GAUGE, "Epoch of the view that this VM has adopted."
)
VIEW_MEMBERS = MetricSpec(
    "view_members", MetricKind.GAUGE, "Members of that view, leaving ones included."
)
IN_FLIGHT = MetricSpec(
    "in_flight_requests", MetricKind.GAUGE, "Callers' requests in progress."
)
ADMISSION_LIMIT = MetricSpec(
    "admission_limit_requests",
    MetricKind.GAUGE,
    "Callers' requests that this VM admits at the same time.",
)
CPU_SECONDS = MetricSpec(
    "cpu_seconds_total", MetricKind.COUNTER, "CPU time of this process."
)
RESIDENT_MEMORY = MetricSpec(
    "resident_memory_bytes", MetricKind.GAUGE, "Resident memory of this process."
)
BUILD_INFO = MetricSpec(
    "build_info", MetricKind.GAUGE, "Always 1; the label has the version.", ("version",)
)

METRIC_SPECS = (
    SEARCH_DURATION,
    BOOKING_DURATION,
    COVERAGE,
    ATTEMPTS,
    EXTRA_LOAD,
    REFUSALS,
    DOMAIN_REQUESTS,
    STORE_CALLS,
    SETTINGS_VERSION,
    SETTINGS_AGE,
    HELD_TARGETS,
    LEASE_REMAINING,
    VIEW_EPOCH,
    VIEW_MEMBERS,
    IN_FLIGHT,
    ADMISSION_LIMIT,
    CPU_SECONDS,
    RESIDENT_MEMORY,
    BUILD_INFO,
)
"""All metrics, in the order in which the operators' documentation lists them."""


class GaugeValues:
    """Gauge values of one VM, sampled when metrics are rendered.

    Attributes
    ----------
    settings_versions : dict of str to int
        Version in force, by subtree.
    settings_ages_s : dict of str to float
        Seconds since the VM received that version, by subtree.
    held_targets, view_epoch, view_members, in_flight, admission_limit : int
    lease_remaining_s : float
        Seconds until the VM's lease ends.
    """

    __slots__ = (
        "settings_versions",
        "settings_ages_s",
        "held_targets",
        "lease_remaining_s",
        "view_epoch",
        "view_members",
        "in_flight",
        "admission_limit",
    )

    def __init__(self):
        self.settings_versions = {}
        self.settings_ages_s = {}
        self.held_targets = 0
        self.lease_remaining_s = 0.0
        self.view_epoch = 0
        self.view_members = 0
        self.in_flight = 0
        self.admission_limit = 0


class _HistogramSeries:
    """Observations of one histogram series; its bucket counts are not cumulative."""

    __slots__ = ("bounds", "counts", "sum")

    def __init__(self, bounds):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def observe(self, value):
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.sum += value

    def to_value(self):
        from aioprometheus.histogram import Histogram as HistogramValue

        value = HistogramValue(*self.bounds)
        totals = itertools.accumulate(self.counts)
        for bound, total in zip(value.buckets, totals, strict=True):
            value.buckets[bound] = total
        value.observations = sum(self.counts)
        value.sum = self.sum
        return value


class MetricSet:
    """Counters and histograms, keyed by `MetricSpec` and label values.

    aioprometheus is imported on the first rendering, so that a VM whose metrics are
    never scraped does not spend memory on it.

    Parameters
    ----------
    specs : tuple of MetricSpec
        Every metric that may be recorded or rendered.
    """

    def __init__(self, specs):
        self._specs = specs
        self._counts = collections.defaultdict(int)
        self._histograms = {}

    def count(self, spec, labels=(), count=1):
        """Increment a counter by `count`."""
        self._counts[spec, labels] += count

    def observe(self, spec, labels, value):
        """Add an observation to a histogram."""
        series = self._histograms.get((spec, labels))
        if series is None:
            series = self._histograms[spec, labels] = _HistogramSeries(spec.buckets)
        series.observe(value)

    def get_count(self, spec, *labels):
        """Return the value of one counter; 0 if it was never incremented."""
        return self._counts.get((spec, labels), 0)

    def list_gauges(self):
        """Return ``(spec, labels, value)`` of metrics sampled at rendering."""
        return []

    def render_metrics(self):
        """Render all metrics for /metrics and return the body and its content type.

        Returns
        -------
        tuple of (bytes, str)
        """
        import aioprometheus

        registry = aioprometheus.Registry()
        collectors = {spec: _add_collector(registry, spec) for spec in self._specs}
        for (spec, labels), count in self._counts.items():
            collectors[spec].set(_build_labels(spec, labels), count)
        for (spec, labels), series in self._histograms.items():
            value = series.to_value()
            collectors[spec].set_value(_build_labels(spec, labels), value)
        for spec, labels, value in self.list_gauges():
            collectors[spec].set(_build_labels(spec, labels), value)
        body, headers = aioprometheus.render(registry, ())
        return body, headers["Content-Type"]


class Metrics(MetricSet):
    """Metrics of one VM.

    Label values come from settings and from error codes, never from callers'
    input, so the number of series is bounded.

    Parameters
    ----------
    read_gauges : callable or None
        Receives a `GaugeValues` and fills it in; called when metrics are rendered.
    """

    def __init__(self, read_gauges=None):
        super().__init__(METRIC_SPECS)
        self.read_gauges = read_gauges

    def observe_search(self, team, seconds, code, answered=0, total=0):
        """Record duration and coverage of a search that was answered.

        Parameters
        ----------
        team : str
            Name from the settings; empty if the caller's team is unknown.
        seconds : float
        code : str
            ``ok`` or the code of the error.
        answered, total : int
            Shards that answered and shards of the pinned layout. If no layout
            version was pinned, total is 0 and no coverage is recorded.
        """
        self.observe(SEARCH_DURATION, (team, code), seconds)
        if total:
            self.observe(COVERAGE, (team,), answered / total)

    def observe_booking(self, team, seconds, code):
        """Record a booking that was answered; parameters as in `observe_search`."""
        self.observe(BOOKING_DURATION, (team, code), seconds)

    def count_attempts(self, kind, count=1):
        """Record shard requests that were started.

        Parameters
        ----------
        kind : str
            `FIRST`, `HEDGE` or `RETRY`.
        count : int
        """
        self._counts[ATTEMPTS, (kind,)] += count

    def count_refusal(self, code, count=1):
        """Record requests that were refused with an error code."""
        self._counts[REFUSALS, (code,)] += count

    def count_target_request(self, domain, code):
        """Record one exchange with a target.

        Parameters
        ----------
        domain : str
            Failure domain of the target.
        code : str
            ``ok`` or the code of its `TargetAnswer`.
        """
        self._counts[DOMAIN_REQUESTS, (domain, code)] += 1

    def count_store_call(self, operation, result):
        """Record one call to the key-value service.

        Parameters
        ----------
        operation : str
            ``get``, ``put``, ``delete``, ``list``, ``watch`` or ``lease``.
        result : str
            ``ok`` or the code of the error.
        """
        self._counts[STORE_CALLS, (operation, result)] += 1

    def compute_extra_load(self):
        """Return the ratio of hedges and retries to first attempts."""
        extra = self.get_count(ATTEMPTS, HEDGE) + self.get_count(ATTEMPTS, RETRY)
        first = self.get_count(ATTEMPTS, FIRST)
        return extra / first if first else 0.0

    def list_gauges(self):
        """Return the gauges of the VM and its process; see `MetricSet`."""
        values = GaugeValues()
        if self.read_gauges is not None:
            self.read_gauges(values)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        gauges = [
            (HELD_TARGETS, (), values.held_targets),
            (LEASE_REMAINING, (), values.lease_remaining_s),
            (VIEW_EPOCH, (), values.view_epoch),
            (VIEW_MEMBERS, (), values.view_members),
            (IN_FLIGHT, (), values.in_flight),
            (ADMISSION_LIMIT, (), values.admission_limit),
            (EXTRA_LOAD, (), self.compute_extra_load()),
            (CPU_SECONDS, (), usage.ru_utime + usage.ru_stime),
            (RESIDENT_MEMORY, (), read_resident_memory()),
            (BUILD_INFO, (__version__,), 1),
        ]
        for subtree, version in values.settings_versions.items():
            gauges.append((SETTINGS_VERSION, (subtree,), version))
        for subtree, age in values.settings_ages_s.items():
            gauges.append((SETTINGS_AGE, (subtree,), age))
        return gauges


def _add_collector(registry, spec):
    import aioprometheus

    collectors = {
        MetricKind.COUNTER: aioprometheus.Counter,
        MetricKind.GAUGE: aioprometheus.Gauge,
        MetricKind.HISTOGRAM: aioprometheus.Histogram,
    }
    return collectors[spec.kind](spec.name, spec.help, registry=registry)


def _build_labels(spec, labels):
    return {
        name: _escape(value) for name, value in zip(spec.labels, labels, strict=True)
    }


def _escape(value):
    """Escape a label value; aioprometheus writes label values unescaped."""
    text = value.replace("\\", "\\\\").replace('"', '\\"')
    return text.replace("\n", "\\n")


def read_resident_memory():
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
