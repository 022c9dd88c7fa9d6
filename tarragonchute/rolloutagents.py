"""One VM's part in the rollouts: its reports, and the states that it has to write."""

import logging

from .rolloutcoordinator import (
    RolloutCoordinator,
    build_withdrawal,
    choose_coordinators,
)
from .rolloutreports import Reporter, VmReport, decode_report

logger = logging.getLogger(__name__)


class RolloutMessage:
    """Reports to one coordinator.

    Parameters
    ----------
    vm : fleet.VmInfo
        The coordinator.
    services : list of str
    body : dict
        JSON.
    """

    __slots__ = ("vm", "services", "body")

    def __init__(self, vm, services, body):
        self.vm = vm
        self.services = services
        self.body = body


class RolloutAgent:
    """Decides which reports this VM sends and which states it writes.

    Parameters
    ----------
    vm_id, incarnation : str
        The latter differs from one process of the VM to the next.
    rollouts : rollouts.Rollouts
    list_vms : callable
        Takes the time; returns the VMs whose acknowledgements are needed, sorted.
    summarize_targets : callable
        Takes a `servicerollouts.ServiceRollout`; returns a `TargetSummary`.
    """

    __slots__ = (
        "_vm_id",
        "_incarnation",
        "_rollouts",
        "_list_vms",
        "_summarize_targets",
        "_coordinator",
        "_reporter",
        "_vms",
        "_coordinators",
    )

    def __init__(self, vm_id, incarnation, rollouts, list_vms, summarize_targets):
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._rollouts = rollouts
        self._list_vms = list_vms
        self._summarize_targets = summarize_targets
        self._coordinator = RolloutCoordinator(rollouts.limits, rollouts)
        self._reporter = Reporter()
        self._vms = None
        self._coordinators = {}

    def advance(self, now):
        """Return the `RolloutMessage`s and `StateChange`s that are due now.

        Returns
        -------
        tuple of (list of RolloutMessage, list of StateChange)
        """
        running = self._rollouts.list_running()
        withdrawn = self._rollouts.list_withdrawn()
        services = {rollout.service for rollout in running + withdrawn}
        self._update_vms(services, now)
        self._reporter.forget(services)
        reports = {}
        changes = []
        for rollout in running:
            coordinators = self._choose_coordinators(rollout.service)
            rank = None
            for place, vm in enumerate(coordinators):
                if vm.vm_id == self._vm_id:
                    rank = place
                    self._coordinator.receive(self._build_report(rollout, now), now)
                elif self._reporter.is_due(rollout, vm.vm_id, now):
                    self._reporter.record_sent(rollout, vm.vm_id, now)
                    report = self._build_report(rollout, now)
                    reports.setdefault(vm.vm_id, (vm, []))[1].append(report)
            targets = self._summarize_targets(rollout)
            change = self._coordinator.plan(
                rollout.service, rank, self._vms, targets, now
            )
            if change is not None:
                changes.append(change)
        for rollout in withdrawn:
            coordinators = self._choose_coordinators(rollout.service)
            if any(vm.vm_id == self._vm_id for vm in coordinators) and rollout.base:
                changes.append(build_withdrawal(rollout))
        return [self._build_message(*item) for item in reports.values()], changes

    def receive(self, body, now):
        """Take in the body of another VM's `RolloutMessage`.

        Raises ValueError, KeyError, TypeError or AttributeError if it is malformed.
        """
        vm_id, incarnation = body["vm"], body["process"]
        for row in body["reports"]:
            report = decode_report(str(vm_id), str(incarnation), row, now)
            self._coordinator.receive(report, now)

    def record_failure(self, message):
        """Record that a message has not arrived."""
        for service in message.services:
            self._reporter.record_failure(service, message.vm.vm_id)

    def _update_vms(self, services, now):
        vms = self._list_vms(now)
        if vms != self._vms:
            self._vms = vms
            self._coordinators.clear()
            self._reporter.set_vm_count(len(vms))
        for service in [name for name in self._coordinators if name not in services]:
            del self._coordinators[service]

    def _choose_coordinators(self, service):
        coordinators = self._coordinators.get(service)
        if coordinators is None:
            coordinators = choose_coordinators(service, self._vms)
            self._coordinators[service] = coordinators
        return coordinators

    def _build_report(self, rollout, now):
        return VmReport(self._vm_id, self._incarnation, rollout, now)

    def _build_message(self, vm, reports):
        body = {
            "vm": self._vm_id,
            "process": self._incarnation,
            "reports": [report.encode() for report in reports],
        }
        return RolloutMessage(vm, [report.service for report in reports], body)
