"""The evidence that a VM sends to the coordinators of rollouts, and when it does."""

import math

from .rolloutevidence import check_count, decode_counts

REPORT_INTERVAL_S = 0.5
"""Shortest interval between two reports to one VM about one rollout."""

REPEAT_INTERVAL_S = 2.0
REPEAT_INTERVAL_PER_VM_S = 0.01
"""Interval after which a report is repeated without a change, because the coordinator
may have changed or started again, and its minimum for each VM of the fleet: a
coordinator then gets at most 100 unchanged reports a second."""


MAX_REPORTING_VMS = 200
"""Size of the fleet up to which each VM acknowledges each state. In a larger one, only
the VMs do that have sent requests to the service: 1,600 acknowledgements would take a
VM more than a second of processor time."""


class VmReport:
    """Evidence of one VM process about one rollout, and what it has acknowledged.

    Parameters
    ----------
    vm_id, incarnation, service : str
    order_revision : int
    step : list
        `RolloutState.step` of the state that the VM applies.
    is_drained : bool
        Whether it has no request in flight at old targets, and sends no more to them.
    elapsed_s : float
        Time since the order, as far as the VM knows.
    sent, candidate_sent : int
    counts : dict of (str, str) to AnswerCounts
        All its evidence since the order, by route and version.

    Attributes
    ----------
    received_at : float
        In monotonic seconds.
    """

    __slots__ = (
        "vm_id",
        "incarnation",
        "service",
        "order_revision",
        "step",
        "is_drained",
        "elapsed_s",
        "sent",
        "candidate_sent",
        "counts",
        "received_at",
    )

    def __init__(self, vm_id, incarnation, rollout, now):
        self.vm_id = vm_id
        self.incarnation = incarnation
        self.service = rollout.service
        self.order_revision = rollout.order.revision
        state = rollout.get_current_state()
        self.step = state.step if state is not None else []
        self.is_drained = not (rollout.is_braked or rollout.count_old_in_flight())
        self.elapsed_s = rollout.get_elapsed_s(now)
        self.sent = rollout.sent
        self.candidate_sent = rollout.candidate_sent
        self.counts = rollout.counts
        self.received_at = now

    def encode(self):
        """Return the report as JSON; the VM and its process are stated once."""
        return {
            "service": self.service,
            "order": self.order_revision,
            "step": self.step,
            "drained": self.is_drained,
            "elapsed_s": round(self.elapsed_s, 3),
            "sent": self.sent,
            "candidate_sent": self.candidate_sent,
            "counts": [[*key, counts.encode()] for key, counts in self.counts.items()],
        }


def decode_report(vm_id, incarnation, body, now):
    """Return the `VmReport` of a message; raises ValueError, KeyError or TypeError."""
    report = VmReport.__new__(VmReport)
    report.vm_id = vm_id
    report.incarnation = incarnation
    report.service = body["service"]
    if not isinstance(report.service, str):
        raise TypeError("the service is not a string")
    report.order_revision = check_count(body["order"])
    report.step = list(body["step"])
    report.is_drained = body["drained"] is True
    report.elapsed_s = float(body["elapsed_s"])
    report.sent = check_count(body["sent"])
    report.candidate_sent = check_count(body["candidate_sent"])
    report.counts = {}
    for route, version, counts in body["counts"]:
        report.counts[str(route), str(version)] = decode_counts(counts)
    report.received_at = now
    return report


class Reporter:
    """Decides when a report about a rollout is sent to a coordinator.

    Parameters
    ----------
    repeat_interval_s : float
    """

    __slots__ = ("repeat_interval_s", "_are_all_reporting", "_sent")

    def __init__(self):
        self.repeat_interval_s = REPEAT_INTERVAL_S
        self._are_all_reporting = True
        # Time and content of the latest report by service and VM id.
        self._sent = {}

    def set_vm_count(self, vm_count):
        """Set the size of the fleet, on which the interval of repeats depends."""
        interval_s = vm_count * REPEAT_INTERVAL_PER_VM_S
        self.repeat_interval_s = max(interval_s, REPEAT_INTERVAL_S)
        self._are_all_reporting = vm_count <= MAX_REPORTING_VMS

    def is_due(self, rollout, vm_id, now):
        """Return whether a report about a `ServiceRollout` is due to a coordinator."""
        if not rollout.sent and not self._are_all_reporting:
            return False
        sent_at, content = self._sent.get((rollout.service, vm_id), (-math.inf, None))
        if now - sent_at < REPORT_INTERVAL_S:
            return False
        if now - sent_at >= self.repeat_interval_s:
            return True
        return content != _describe(rollout)

    def record_sent(self, rollout, vm_id, now):
        """Record that a report is on its way."""
        self._sent[rollout.service, vm_id] = (now, _describe(rollout))

    def record_failure(self, service, vm_id):
        """Record that a report has not arrived; it is due again after the interval."""
        sent_at, _ = self._sent.get((service, vm_id), (-math.inf, None))
        self._sent[service, vm_id] = (sent_at, None)

    def forget(self, services):
        """Forget the reports about other services than those given."""
        for key in [key for key in self._sent if key[0] not in services]:
            del self._sent[key]


def _describe(rollout):
    """Return what a report states apart from the time."""
    state = rollout.get_current_state()
    step = state.step if state is not None else None
    return (rollout.order.revision, rollout.changes, step)
