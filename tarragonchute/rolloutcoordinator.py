"""Decides the next state of each rollout that this VM coordinates.

The coordinator of a service is derived from the list of VMs by rendezvous hashing; the
next VM, of another failure domain if there is one, is its deputy. Both get the evidence
of all VMs. The deputy acts `DEPUTY_DELAY_S` after the coordinator should have. States
are written under the condition that the last one is still there, so that it does no
harm if several VMs believe that they are coordinator.
"""

from .leaders import hash_to_fraction
from .rolloutevidence import AnswerCounts, compare
from .rolloutreports import MAX_REPORTING_VMS
from .rolloutstates import NO_ORDER, Phase, RolloutState
from .servicerollouts import CANARY_SLACK_FRACTION, SLACK_RELEASE_FRACTION

CANARY_SHARE_FRACTION = 0.5
"""Part of `expose_share` that VMs may send to the new version in `CANARY`. The rest is
for the time in which bad answers in `FULL` are not noticed yet."""

EARLY_SHARE = 0.5
EARLY_FRACTION = 1 / 6
"""Largest share of an early step, and the part of the duration after which the request
rate is known well enough for it. With few requests, more of them may go to the new
version; otherwise a canary has too few answers for a verdict."""

USABLE_FRACTION = 0.8
"""Part of the permitted exposure that phases and steps are planned for."""

NOTICE_S = 2.0
"""Time until bad answers are noticed and the change is in force everywhere."""

MAX_STEP_SHARE = 0.3
"""Largest share of a step between `CANARY` and `FULL`."""

NO_BASE_FRACTION = 0.25
"""Part of the duration for which old targets are awaited."""

FULL_FRACTION = 2 / 3
"""Part of the duration after which all traffic goes to the new version."""

LATEST_FULL_FRACTION = 0.8
"""Part of the duration after which a version is no longer given all traffic; it is
rolled back instead."""

DONE_FRACTION = 0.9
DONE_MARGIN_S = 1.0
"""`DONE` is written after this part of the duration, at least this long before its end,
so that a deputy or a slow store still meets it."""

DEPUTY_LEAD_S = 0.3
"""Time by which late decisions are due earlier for the deputy, whose delay would
otherwise leave 0.3 s before a limit of 8 s or less."""

LAST_MOMENT_S = 0.8
"""Time before the end at which `DONE` is written although VMs have not acknowledged
`FULL`, so that a deputy meets the end too. The key of a VM that was killed stays for
the rest of its lease of 12 s; one that is in touch with the store has applied `FULL`
by then."""

MIN_FULL_S = 1.0
MIN_FULL_FRACTION = 1 / 12
"""Shortest time in `FULL` before `DONE` is written although VMs have not acknowledged
it, and its largest part of the duration: the state reaches a VM in 0.5 s, and its
evidence the coordinator in another 0.5 s."""

MIN_UNANSWERED = 5
"""Requests to a version without an answer after which it is not trusted. It may refuse
all of them, and requests that have not run are no evidence."""

MIN_CAPACITY = 0.6
"""Slots of the new targets, as a part of those of the old ones, that are enough to give
them all traffic before `LATEST_FULL_FRACTION`."""

MIN_CANARY_FRACTION = 0.15
"""Part of the duration for which the first new target is observed before `FULL`."""

RECENT_S = 2.0
SAMPLE_INTERVAL_S = 0.5
"""The answers of the last `RECENT_S` are also compared alone, so that good answers from
before do not hide that a version has turned bad; for that, sums are kept in intervals
of `SAMPLE_INTERVAL_S`."""

CHECKPOINT_FRACTION = 0.25
"""Part of the duration after which the state is written again with the time used, from
which the next coordinator continues if no VM sends evidence."""

DEPUTY_DELAY_S = 0.7
"""Time for which a change is due before the deputy writes it; the coordinator takes
0.1 s, the store 4 ms, and the change reaches the deputy in 0.5 s."""

CANDIDATES = 2
"""Coordinator and deputy."""

FRESH_S = 2.5
"""Time for which a VM that begins to coordinate gives no version more traffic. VMs
repeat their evidence every 2 s."""


class TargetSummary:
    """The registered targets of a service, by whether they have the new version.

    Parameters
    ----------
    old_slots, new_slots : int
        Slots of the usable old and new targets.
    warm_slots : int
        Slots of the new targets that are not cold.
    """

    __slots__ = ("old_slots", "new_slots", "warm_slots")

    def __init__(self, old_slots, new_slots, warm_slots):
        self.old_slots = old_slots
        self.new_slots = new_slots
        self.warm_slots = warm_slots


def summarize_targets(rollout, targets, now):
    """Return the `TargetSummary` of the service of a rollout.

    Parameters
    ----------
    rollout : servicerollouts.ServiceRollout
    targets : list of registry.RegisteredTarget
        Its usable targets.
    now : float
    """
    old = new = warm = 0
    for target in targets:
        slots = target.registration.slots
        if target.registration.software_version != rollout.order.version:
            old += slots
        else:
            new += slots
            warm += slots * (target.cold_until <= now)
    return TargetSummary(old, new, warm)


class StateChange:
    """A state to be written, and the status for the operator if it changes.

    Parameters
    ----------
    service : str
    state : rolloutstates.RolloutState
    status : str or None
        ``running``, ``done`` or ``rolled_back``; None if no status is to be written.
    reason : str
        For the log.
    """

    __slots__ = ("service", "state", "status", "reason")

    def __init__(self, service, state, status, reason):
        self.service = service
        self.state = state
        self.status = status
        self.reason = reason


class _Coordination:
    """What this VM keeps of a rollout that it coordinates."""

    __slots__ = (
        "order_revision",
        "began_at",
        "reports",
        "due_step",
        "due_since",
        "rank",
        "samples",
        "step",
        "step_since",
        "first_target_at",
    )

    def __init__(self, order_revision, now):
        self.order_revision = order_revision
        self.began_at = now
        # By VM id and process.
        self.reports = {}
        self.due_step = None
        self.due_since = now
        self.rank = 0
        # Times and sums of the new version's counts, the oldest first.
        self.samples = []
        # Step of the state, and when this VM saw it first.
        self.step = None
        self.step_since = now
        # Time since the order at which the first new target was seen.
        self.first_target_at = None

    def select_recent(self, new, now):
        """Return the part of the counts by route that is not older than `RECENT_S`."""
        samples = self.samples
        if not samples or now - samples[-1][0] >= SAMPLE_INTERVAL_S:
            samples.append((now, new))
        while len(samples) > 1 and now - samples[1][0] >= RECENT_S:
            samples.pop(0)
        earlier = samples[0][1]
        nothing = AnswerCounts()
        return {
            route: counts.subtract(earlier.get(route, nothing))
            for route, counts in new.items()
        }


class RolloutCoordinator:
    """Decides the states of rollouts from the evidence of all VMs.

    Parameters
    ----------
    limits : rolloutstates.RolloutLimits
    rollouts : rollouts.Rollouts
    """

    def __init__(self, limits, rollouts):
        self._limits = limits
        self._rollouts = rollouts
        self._coordinations = {}

    def receive(self, report, now):
        """Take in the `VmReport` of a VM, this one included."""
        rollout = self._rollouts.get(report.service)
        if rollout is None or rollout.order is None:
            return
        if report.order_revision != rollout.order.revision:
            return
        coordination = self._get_coordination(rollout, now)
        coordination.reports[report.vm_id, report.incarnation] = report

    def plan(self, service, rank, vms, targets, now):
        """Return the `StateChange` that this VM should write now, or None.

        Parameters
        ----------
        service : str
        rank : int or None
            Place of this VM in `choose_coordinators`.
        vms : list of fleet.VmInfo
            The VMs whose acknowledgements are needed, this one included.
        targets : TargetSummary
        now : float
            Monotonic seconds.
        """
        rollout = self._rollouts.get(service)
        is_needed = rollout is not None and (
            rollout.is_running or rollout.has_rewritten_order
        )
        if not is_needed or rank is None:
            self._coordinations.pop(service, None)
            return None
        coordination = self._get_coordination(rollout, now)
        coordination.rank = rank
        change = self._choose_change(rollout, coordination, vms, targets, now)
        if change is None:
            coordination.due_step = None
            return None
        step = (change.state.phase, change.state.share)
        if step != coordination.due_step:
            coordination.due_step = step
            coordination.due_since = now
        if now - coordination.due_since < rank * DEPUTY_DELAY_S:
            return None
        return change

    def _get_coordination(self, rollout, now):
        coordination = self._coordinations.get(rollout.service)
        revision = rollout.order.revision
        if coordination is None or coordination.order_revision != revision:
            coordination = _Coordination(revision, now)
            self._coordinations[rollout.service] = coordination
        return coordination

    def _choose_change(self, rollout, coordination, vms, targets, now):
        state = rollout.get_current_state()
        elapsed_s = self._estimate_elapsed_s(rollout, coordination, now)
        if state is None:
            return self._start(rollout, elapsed_s)
        if rollout.has_rewritten_order:
            return self._adopt(rollout, elapsed_s)
        if state.step != coordination.step:
            coordination.step = state.step
            coordination.step_since = now
        old, new = self._sum_counts(coordination, state)
        comparison = compare(old, new)
        recent = compare(old, coordination.select_recent(new, now))
        if recent.probability < comparison.probability and not comparison.is_bad:
            comparison = recent
        if comparison.is_bad:
            reason = (
                f"{comparison.bad} of {comparison.answers} answers are bad, "
                f"route {comparison.route or 'any'}"
            )
            return _end(rollout, Phase.ROLLED_BACK, elapsed_s, reason)
        unanswered = _count_unanswered(coordination, new)
        if state.phase is Phase.FULL:
            full_s = now - coordination.step_since
            if unanswered and full_s >= _choose_shortest_full_time(
                rollout.order.duration_s
            ):
                reason = f"none of {unanswered} requests was answered"
                return _end(rollout, Phase.ROLLED_BACK, elapsed_s, reason)
            change = self._finish(
                rollout, coordination, vms, targets, comparison, elapsed_s, now
            )
        else:
            change = self._advance(
                rollout, coordination, targets, comparison, unanswered, elapsed_s, now
            )
        return change or self._renew(rollout, elapsed_s)

    def _start(self, rollout, elapsed_s):
        """Return the first state of a rollout."""
        order, base = rollout.order, sorted(rollout.base)
        if order.version in rollout.base:
            reason = "the service already uses the version"
            return _build_change(rollout, Phase.DONE, 1.0, elapsed_s, "done", reason)
        if not base:
            return self._start_without_old_targets(rollout, elapsed_s)
        share = self._get_canary_share()
        state = RolloutState(
            order.revision, order.version, base, Phase.CANARY, share, elapsed_s
        )
        return StateChange(rollout.service, state, "running", "a new order")

    def _adopt(self, rollout, elapsed_s):
        """Return the known state for an order that was written again in a later era.

        The store may have lost the state and the status.
        """
        state = rollout.state
        status = state.phase.value if state.phase.is_final else "running"
        reason = "the order was written again after the store came back from a copy"
        change = _build_change(
            rollout, state.phase, state.share, elapsed_s, status, reason
        )
        change.state.base = state.base
        return change

    def _start_without_old_targets(self, rollout, elapsed_s):
        """Return the first state of a service without old versions.

        This VM may only not know the old targets yet, so it waits. Then all traffic
        goes to the new version, because nothing else can serve it.
        """
        if elapsed_s < NO_BASE_FRACTION * rollout.order.duration_s:
            return None
        reason = "there are no old targets"
        status = "running"
        return _build_change(rollout, Phase.FULL, 1.0, elapsed_s, status, reason)

    def _advance(
        self, rollout, coordination, targets, comparison, unanswered, elapsed_s, now
    ):
        """Return the change to a step, to `FULL` or to the end of a canary, or None."""
        duration_s = rollout.order.duration_s
        full_at = choose_full_time(duration_s)
        latest_at = LATEST_FULL_FRACTION * choose_done_time(duration_s) / DONE_FRACTION
        if targets.new_slots and coordination.first_target_at is None:
            coordination.first_target_at = elapsed_s
        lead_s = coordination.rank * DEPUTY_LEAD_S
        if elapsed_s >= max(latest_at - lead_s, full_at + NOTICE_S / 4):
            return self._decide_late(
                rollout, targets, comparison, unanswered, elapsed_s
            )
        if not targets.new_slots or comparison.is_suspect or unanswered:
            return None
        if now - coordination.began_at < FRESH_S:
            return None
        share = self._choose_step_share(rollout, coordination, elapsed_s)
        if share is not None:
            reason = f"more traffic, after {comparison.answers} answers"
            return _build_change(rollout, Phase.CANARY, share, elapsed_s, None, reason)
        is_observed = elapsed_s >= min(
            coordination.first_target_at + MIN_CANARY_FRACTION * duration_s, latest_at
        )
        if rollout.state.share > self._get_canary_share():
            is_observed &= now - coordination.step_since >= NOTICE_S
        has_capacity = targets.warm_slots >= MIN_CAPACITY * targets.old_slots
        if elapsed_s < full_at or not is_observed or not has_capacity:
            return None
        return self._give_all_traffic(rollout, comparison, elapsed_s)

    def _decide_late(self, rollout, targets, comparison, unanswered, elapsed_s):
        """Return the change for a canary that has lasted as long as it may."""
        if elapsed_s >= rollout.order.duration_s:
            reason = "no verdict before the time limit"
        elif not targets.new_slots:
            if elapsed_s < choose_done_time(rollout.order.duration_s):
                return None
            reason = "no target of the version has registered"
        elif unanswered:
            reason = f"none of {unanswered} requests was answered"
        elif comparison.is_suspect:
            reason = f"{comparison.bad} of {comparison.answers} answers are bad"
        elif elapsed_s > _choose_latest_full_time(rollout.order.duration_s):
            reason = "too little time is left to observe it with all traffic"
        else:
            return self._give_all_traffic(rollout, comparison, elapsed_s)
        return _end(rollout, Phase.ROLLED_BACK, elapsed_s, reason)

    def _give_all_traffic(self, rollout, comparison, elapsed_s):
        reason = f"{comparison.bad} of {comparison.answers} answers are bad"
        return _build_change(rollout, Phase.FULL, 1.0, elapsed_s, None, reason)

    def _get_canary_share(self):
        return round(self._limits.expose_share * CANARY_SHARE_FRACTION, 4)

    def _choose_step_share(self, rollout, coordination, elapsed_s):
        """Return the share of the next step of a canary, or None.

        A step before `FULL` is made if a version that turns bad under full load would
        exceed the permitted exposure before that is noticed. An early one is made if
        more of the permitted exposure is left than that takes.
        """
        duration_s, share = rollout.order.duration_s, rollout.state.share
        reports = coordination.reports.values()
        rate = sum(report.sent for report in reports) / max(elapsed_s, NOTICE_S)
        used = sum(report.candidate_sent for report in reports)
        limits = self._limits
        permitted = limits.expose_share * rate * duration_s + limits.expose_slack
        left = USABLE_FRACTION * permitted - used
        until_full_s = choose_full_time(duration_s) - elapsed_s
        if not rate:
            return None
        if until_full_s <= NOTICE_S:
            if rate * NOTICE_S <= left:
                return None
            next_share = min(MAX_STEP_SHARE, left / (rate * NOTICE_S))
        elif self._can_step_early(share, elapsed_s / duration_s):
            unreleased = 1 - min(elapsed_s / (SLACK_RELEASE_FRACTION * duration_s), 1)
            left -= limits.expose_slack * CANARY_SLACK_FRACTION * unreleased
            left -= rate * NOTICE_S
            next_share = min(EARLY_SHARE, left / (rate * until_full_s))
        else:
            return None
        return round(next_share, 3) if next_share >= 2 * share else None

    def _can_step_early(self, share, used_fraction):
        is_first = share <= self._get_canary_share()
        return is_first and used_fraction >= EARLY_FRACTION

    def _finish(self, rollout, coordination, vms, targets, comparison, elapsed_s, now):
        """Return the change to `DONE` once no VM uses the old versions, or None."""
        duration_s = rollout.order.duration_s
        lead_s = coordination.rank * DEPUTY_LEAD_S
        if elapsed_s < choose_done_time(duration_s) - lead_s:
            return None
        if not targets.new_slots:
            reason = "no target of the version is left"
            return _end(rollout, Phase.ROLLED_BACK, elapsed_s, reason)
        if comparison.is_bad_at_last:
            reason = f"{comparison.bad} of {comparison.answers} answers are bad"
            return _end(rollout, Phase.ROLLED_BACK, elapsed_s, reason)
        missing = self._list_missing_acknowledgements(rollout, coordination, vms)
        delay_s = coordination.rank * DEPUTY_DELAY_S
        last_moment_s = duration_s - LAST_MOMENT_S - delay_s
        # Renewals of the state state a later time.
        full_s = max(elapsed_s - rollout.state.elapsed_s, now - coordination.step_since)
        is_observed = full_s + delay_s >= _choose_shortest_full_time(duration_s)
        if missing and (elapsed_s < last_moment_s or not is_observed):
            return None
        reason = "all traffic was served well"
        if missing:
            reason += f"; {len(missing)} VMs have not acknowledged it: {missing[:5]}"
        return _end(rollout, Phase.DONE, elapsed_s, reason)

    def _list_missing_acknowledgements(self, rollout, coordination, vms):
        step = rollout.state.step
        # What an earlier process of a VM acknowledged does not count.
        latest = {}
        for report in coordination.reports.values():
            known = latest.get(report.vm_id)
            if known is None or known.received_at <= report.received_at:
                latest[report.vm_id] = report
        acknowledged = {
            vm_id
            for vm_id, report in latest.items()
            if report.step == step and report.is_drained
        }
        needed = [vm.vm_id for vm in vms]
        if len(needed) > MAX_REPORTING_VMS:
            needed = [vm_id for vm_id in needed if vm_id in latest]
        return [vm_id for vm_id in needed if vm_id not in acknowledged]

    def _renew(self, rollout, elapsed_s):
        """Return the same state with the time used, if it was written long ago."""
        state = rollout.state
        if state.elapsed_s + CHECKPOINT_FRACTION * rollout.order.duration_s > elapsed_s:
            return None
        if elapsed_s > rollout.order.duration_s:
            return None
        reason = "the time used"
        return _build_change(rollout, state.phase, state.share, elapsed_s, None, reason)

    def _estimate_elapsed_s(self, rollout, coordination, now):
        """Return the time since the order; a VM that has just started knows too little.

        The VM that has seen the order first knows best.
        """
        return max(
            rollout.get_elapsed_s(now),
            *(
                report.elapsed_s + now - report.received_at
                for report in coordination.reports.values()
            ),
            0.0,
        )

    def _sum_counts(self, coordination, state):
        """Return the counts by route of the old and of the new versions."""
        old, new = {}, {}
        for report in coordination.reports.values():
            for (route, version), counts in report.counts.items():
                if version == state.version:
                    new.setdefault(route, AnswerCounts()).add(counts)
                elif version in state.base:
                    old.setdefault(route, AnswerCounts()).add(counts)
        return old, new


def build_withdrawal(rollout):
    """Return the change for an order that was withdrawn before `DONE`."""
    order = rollout.withdrawn_order
    base = sorted(rollout.base)
    phase = Phase.ROLLED_BACK
    state = RolloutState(NO_ORDER, order.version, base, phase, 1.0, 0.0)
    return StateChange(rollout.service, state, None, "the order was withdrawn")


def choose_coordinators(service, vms):
    """Return the coordinator of a service and its deputy.

    Parameters
    ----------
    service : str
    vms : list of fleet.VmInfo
    """
    ranked = sorted(
        (vm for vm in vms if vm.address),
        key=lambda vm: hash_to_fraction(f"rollout {service} {vm.vm_id}"),
    )
    if not ranked:
        return []
    first = ranked[0]
    others = [vm for vm in ranked[1:] if vm.domain != first.domain] or ranked[1:]
    return [first, *others[: CANDIDATES - 1]]


def choose_done_time(duration_s):
    """Return the time since the order at which a rollout may be `DONE`."""
    latest_s = max(duration_s - DONE_MARGIN_S, duration_s / 2)
    return min(DONE_FRACTION * duration_s, latest_s)


def choose_full_time(duration_s):
    """Return the time since the order at which a version gets all traffic."""
    return min(FULL_FRACTION * duration_s, 0.75 * choose_done_time(duration_s))


def _count_unanswered(coordination, new):
    """Return the requests to a new version that has never answered, if not too few."""
    if any(counts.count_all() for counts in new.values()):
        return 0
    sent = sum(report.candidate_sent for report in coordination.reports.values())
    return sent if sent >= MIN_UNANSWERED else 0


def _choose_shortest_full_time(duration_s):
    return min(MIN_FULL_S, MIN_FULL_FRACTION * duration_s)


def _choose_latest_full_time(duration_s):
    """Return the time since the order until which a version may get all traffic."""
    return duration_s - LAST_MOMENT_S - _choose_shortest_full_time(duration_s)


def _build_change(rollout, phase, share, elapsed_s, status, reason):
    order = rollout.order
    base = sorted(rollout.base)
    state = RolloutState(order.revision, order.version, base, phase, share, elapsed_s)
    return StateChange(rollout.service, state, status, reason)


def _end(rollout, phase, elapsed_s, reason):
    return _build_change(rollout, phase, 1.0, elapsed_s, phase.value, reason)
