"""Prometheus metrics of the gateway."""

import resource

from . import __version__
from .metrics import (
    ATTEMPTS,
    BUILD_INFO,
    COVERAGE_BUCKETS,
    CPU_SECONDS,
    FIRST,
    HEDGE,
    LATENCY_BUCKETS_S,
    RESIDENT_MEMORY,
    RETRY,
    STORE_CALLS,
    MetricKind,
    MetricSet,
    MetricSpec,
    read_resident_memory,
)

REQUEST_DURATION = MetricSpec(
    "gateway_request_duration_seconds",
    MetricKind.HISTOGRAM,
    "Time from a caller's request to its answer.",
    ("kind", "result"),
    LATENCY_BUCKETS_S,
)
SEARCH_COVERAGE = MetricSpec(
    "gateway_search_coverage_ratio",
    MetricKind.HISTOGRAM,
    "Shards in the answer of a search divided by the shards of its route.",
    (),
    COVERAGE_BUCKETS,
)
CONFIGURATION_VERSION = MetricSpec(
    "gateway_configuration_version",
    MetricKind.GAUGE,
    "Version of the configuration in force.",
)
TARGETS = MetricSpec(
    "gateway_targets",
    MetricKind.GAUGE,
    "Registered targets.",
)
VMS = MetricSpec(
    "gateway_vms",
    MetricKind.GAUGE,
    "VMs that share the fleet-wide allowances.",
)
CONNECTIONS = MetricSpec(
    "gateway_target_connections",
    MetricKind.GAUGE,
    "Open connections to targets.",
)
DELEGATES = MetricSpec(
    "gateway_delegates",
    MetricKind.GAUGE,
    "Other VMs that would take shards of a search now.",
)
SUBSEARCHES = MetricSpec(
    "gateway_subsearches_total",
    MetricKind.COUNTER,
    "Parts of searches that were run for other VMs.",
)
PAUSED_TARGETS = MetricSpec(
    "gateway_paused_targets",
    MetricKind.GAUGE,
    "Targets that get no requests now because they asked for a pause.",
)
LEAVING_TARGETS = MetricSpec(
    "gateway_leaving_targets",
    MetricKind.GAUGE,
    "Registered targets that get no requests because their replies say they leave.",
)
ALLOWANCE_REQUESTS = MetricSpec(
    "gateway_allowance_requests_total",
    MetricKind.COUNTER,
    "Requests of customers that have an allowance.",
    ("result",),
)
ALLOWANCE_WAIT = MetricSpec(
    "gateway_allowance_wait_seconds",
    MetricKind.HISTOGRAM,
    "Time that granted requests waited for a token of their customer's allowance.",
    (),
    LATENCY_BUCKETS_S,
)
ALLOWANCE_ASKS = MetricSpec(
    "gateway_allowance_asks_total",
    MetricKind.COUNTER,
    "Asks of other VMs for tokens that this VM has answered.",
)
HELD_ALLOWANCES = MetricSpec(
    "gateway_held_allowances",
    MetricKind.GAUGE,
    "Customers whose allowance this VM keeps for all VMs.",
)
QUEUED_ATTEMPTS = MetricSpec(
    "gateway_queued_attempts",
    MetricKind.GAUGE,
    "Attempts that wait for room at a target, or for a connection to it.",
)
QUEUE_WAIT = MetricSpec(
    "gateway_queue_wait_seconds",
    MetricKind.HISTOGRAM,
    "Time that attempts waited for room at a target before they were sent.",
    (),
    LATENCY_BUCKETS_S,
)
QUEUE_REFUSALS = MetricSpec(
    "gateway_queue_refusals_total",
    MetricKind.COUNTER,
    "Attempts that were not sent because there was no room at the target.",
    ("reason",),
)
ROLLOUTS = MetricSpec(
    "gateway_rollouts",
    MetricKind.GAUGE,
    "Rollouts that were ordered and have not ended.",
)
ROLLOUT_STATES = MetricSpec(
    "gateway_rollout_states_total",
    MetricKind.COUNTER,
    "States of rollouts that this VM has tried to write.",
    ("phase", "result"),
)
ROLLOUT_REPORTS = MetricSpec(
    "gateway_rollout_reports_total",
    MetricKind.COUNTER,
    "Messages with evidence about rollouts: sent, failed or received.",
    ("result",),
)
LOG_LINES_DROPPED = MetricSpec(
    "gateway_log_lines_dropped",
    MetricKind.GAUGE,
    "Log lines dropped because their reader is slow, since the start.",
)
HELD_BYTES = MetricSpec(
    "gateway_held_bytes",
    MetricKind.GAUGE,
    "Bytes read and not yet answered, and of answers not yet taken.",
)
OPENED_CONNECTIONS = MetricSpec(
    "gateway_opened_connections",
    MetricKind.GAUGE,
    "Open connections that callers or other VMs have opened.",
    ("source",),
)
MEMORY_EVENTS = MetricSpec(
    "gateway_memory_events_total",
    MetricKind.COUNTER,
    "Connections and requests that were refused or closed for lack of room.",
    ("kind",),
)
STORE_ERA = MetricSpec(
    "gateway_store_era",
    MetricKind.GAUGE,
    "Number of times that the store has come back from an older copy, as it states.",
)
RETAINED_ENTRIES = MetricSpec(
    "gateway_retained_entries",
    MetricKind.GAUGE,
    "Entries that are kept in place of those of a restored store.",
)

SPECS = (
    REQUEST_DURATION,
    SEARCH_COVERAGE,
    CONFIGURATION_VERSION,
    TARGETS,
    VMS,
    CONNECTIONS,
    DELEGATES,
    SUBSEARCHES,
    PAUSED_TARGETS,
    LEAVING_TARGETS,
    ALLOWANCE_REQUESTS,
    ALLOWANCE_WAIT,
    ALLOWANCE_ASKS,
    HELD_ALLOWANCES,
    QUEUED_ATTEMPTS,
    QUEUE_WAIT,
    QUEUE_REFUSALS,
    ROLLOUTS,
    ROLLOUT_STATES,
    ROLLOUT_REPORTS,
    LOG_LINES_DROPPED,
    HELD_BYTES,
    OPENED_CONNECTIONS,
    MEMORY_EVENTS,
    STORE_ERA,
    RETAINED_ENTRIES,
    ATTEMPTS,
    STORE_CALLS,
    CPU_SECONDS,
    RESIDENT_MEMORY,
    BUILD_INFO,
)

SEARCH = "search"
SINGLE = "single"
NO_ROUTE = "none"


class GatewayMetrics(MetricSet):
    """Metrics of one gateway process.

    Attributes
    ----------
    read_gauges : callable or None
        Returns a list of ``(spec, labels, value)``; called when metrics are rendered.
    """

    def __init__(self):
        super().__init__(SPECS)
        self.read_gauges = None

    def observe_request(self, kind, result, seconds):
        """Record the duration of one caller's request.

        Parameters
        ----------
        kind : str
            `SEARCH`, `SINGLE`, or `NO_ROUTE` if no route matched.
        result : str
            ``ok`` or the code of the error.
        seconds : float
        """
        self.observe(REQUEST_DURATION, (kind, result), seconds)

    def count_subrequests(self, subrequests):
        """Record the attempts of all subrequests of one caller's request."""
        self.count(ATTEMPTS, (FIRST,), len(subrequests))
        self.count(
            ATTEMPTS, (HEDGE,), sum(subrequest.hedges for subrequest in subrequests)
        )
        self.count(
            ATTEMPTS, (RETRY,), sum(subrequest.retries for subrequest in subrequests)
        )

    def record_wait(self, wait_s):
        """See `targetadmission.QueueObserver`."""
        self.observe(QUEUE_WAIT, (), wait_s)

    def record_refusal(self, reason):
        """See `targetadmission.QueueObserver`."""
        self.count(QUEUE_REFUSALS, (reason.value,))

    def count_rollout_state(self, phase, result):
        """Record an attempt to write the state of a rollout."""
        self.count(ROLLOUT_STATES, (phase, result))

    def count_rollout_report(self, result):
        """Record a message with evidence: ``sent``, ``failed`` or ``received``."""
        self.count(ROLLOUT_REPORTS, (result,))

    def count_store_call(self, operation, result):
        """Record one call to the key-value service."""
        self.count(STORE_CALLS, (operation, result))

    def list_gauges(self):
        """Return process gauges and those of `read_gauges`; see `MetricSet`."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        gauges = [
            (CPU_SECONDS, (), usage.ru_utime + usage.ru_stime),
            (RESIDENT_MEMORY, (), read_resident_memory()),
            (BUILD_INFO, (__version__,), 1),
        ]
        return gauges + (self.read_gauges() if self.read_gauges else [])
