"""Faults at every step of a handover: no target may have two senders at a time.

The simulation runs whole VMs (membership, settings, held targets) on one virtual
clock. `SendOracle` checks the requirement itself: it does not use epochs or leases,
only which process may send to which target at which time.
"""

import itertools
import logging
import math
import random
import sys

import testtools

from tarragonchute import configuration
from tarragonchute.configuration import (
    Configuration,
    SubtreeValue,
    compute_vector_digest,
)
from tarragonchute.errors import StoreOutcomeUnknownError, StoreUnavailableError
from tarragonchute.links import MemoryNetwork
from tarragonchute.membership import (
    HEARTBEAT_PERIOD_S,
    MAX_SHARD_TIME_S,
    Member,
    Membership,
    MemberState,
    View,
)
from tarragonchute.messages import Heartbeat
from tarragonchute.placement import HeldTargets
from tarragonchute.store import Entry

TICK_S = 0.1
STORE_PERIOD_S = 0.2
VM_LIST_PERIOD_S = 1.0
VM_LIST_DELAY_S = 2.0
MAX_ACTIVATION_S = 6.0  # from acceptance of a settings version to its use everywhere
MAX_RATE_ERROR = 0.01
VIEW_KEY = "members/cell"
SETTINGS_KEY = "settings/fleet"
SUBTREE = "fleet"
GROUPS = [(f"t{n}a", f"t{n}b") for n in range(6)]
TARGETS = sorted(itertools.chain(*GROUPS))


class SendOracle:
    """Checks that no two processes may send to one target at the same time.

    Attributes
    ----------
    violations : list of str
    """

    def __init__(self):
        self.violations = []
        self._intervals = {}

    def permit(self, target, process, start, end):
        """Record that a process may send from `start`; its requests run until `end`."""
        intervals = self._intervals.setdefault(target, {})
        for other, (other_start, other_end) in intervals.items():
            if other != process and start < other_end and other_start < end:
                text = f"{target}: {process} at {start:.2f}, {other} to {other_end:.2f}"
                self.violations.append(text)
        known = intervals.get(process)
        if known is not None and known[1] >= start:
            start, end = known[0], max(known[1], end)
        intervals[process] = (start, end)

    def finish(self, target, process, now):
        """Record that the process has no unfinished request to the target."""
        intervals = self._intervals.get(target, {})
        if process in intervals:
            start, end = intervals[process]
            intervals[process] = (start, min(end, now))


class SettingsOracle:
    """Checks that no process goes back to older settings or uses them too long.

    Attributes
    ----------
    violations : list of str
    """

    def __init__(self):
        self.violations = []
        self.accepted = []
        self._highest = {}

    def accept(self, version, now):
        self.accepted.append((version, now))

    def observe(self, process, version, may_work, now):
        """Check the version of the settings that a process uses."""
        if version < self._highest.get(process, 0):
            self.violations.append(f"{process} went back to {version} at {now:.2f}")
        self._highest[process] = max(version, self._highest.get(process, 0))
        due = [v for v, at in self.accepted if now > at + MAX_ACTIVATION_S]
        if may_work and due and version < max(due):
            text = f"{process} works with {version} at {now:.2f}, accepted {max(due)}"
            self.violations.append(text)


class FakeStore:
    """A compare-and-swap store with outages and lost answers."""

    def __init__(self):
        self.entries = {}
        self.revision = 0
        self.is_down = False
        self.lost_answers = 0

    def get(self, key):
        if self.is_down:
            raise StoreUnavailableError
        return self.entries.get(key)

    def put(self, key, value, expect):
        """Write a value and return whether the compare-and-swap succeeded."""
        if self.is_down:
            raise StoreUnavailableError
        entry = self.entries.get(key)
        is_swapped = (entry.revision if entry else 0) == expect
        if is_swapped:
            self.revision += 1
            self.entries[key] = Entry(key, value, self.revision)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreOutcomeUnknownError
        return is_swapped


class Vm:
    """One simulated process of a VM.

    Parameters
    ----------
    world : World
    vm_id, incarnation : str
    membership : Membership
    settings : Configuration
    """

    def __init__(self, world, vm_id, incarnation, membership, settings):
        self.world = world
        self.vm_id = vm_id
        self.process = f"{vm_id}/{incarnation}"
        self.membership = membership
        self.settings = settings
        self.held = world.held_class(vm_id)
        self.link = world.network.connect(vm_id, self._receive)
        source = world.random
        self.clock_offset = source.uniform(0, 1000)
        self.clock_rate = 1 + source.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)
        self.request_time = source.uniform(0.05, 0.5)
        self.wall_lag = 0.0
        self.is_paused = False
        self.paused_at = None
        self.is_suspended = False
        self.is_draining = False
        self.is_out = False
        self.has_left = False
        self.inbox = []
        self.in_flight = {}
        self.pending_write = None
        self.proposal = None
        phase = source.uniform(0, HEARTBEAT_PERIOD_S)
        self.next_heartbeat = world.now + phase
        self.next_store = world.now
        self.next_vm_list = world.now + source.uniform(0, VM_LIST_PERIOD_S)

    @property
    def clock(self):
        """Seconds of the local monotonic clock."""
        return self.clock_offset + self.clock_rate * self.world.now

    # Faults.

    def pause(self, is_suspended=False):
        """Pause the process; suspension also stops its clocks."""
        if not self.is_paused:
            self.is_paused = True
            self.is_suspended = is_suspended
            self.paused_at = self.world.now

    def resume(self):
        if not self.is_paused:
            return
        self.is_paused = False
        if self.is_suspended:
            lag = self.world.now - self.paused_at
            self.wall_lag = lag
            self.clock_offset -= self.clock_rate * lag

    # One tick.

    def step(self):
        if self.is_paused or self.has_left:
            return
        # The first step after a suspension still uses the old wall clock and lease.
        # The clock check detects the suspension before the next step.
        self._check_permissions()
        if self.wall_lag:
            self.wall_lag = 0.0
            self.membership.drop_grants()
        inbox, self.inbox = self.inbox, []
        for envelope in inbox:
            self._handle(envelope)
        self._read_vm_list()
        self._use_store()
        self._finish_requests()
        self._send_heartbeats()
        self._check_permissions()

    def _check_permissions(self):
        now, clock = self.world.now, self.clock
        member = self.membership
        step = min(TICK_S, (member.lease_until(clock) - clock) / self.clock_rate)
        for target, gained in self.held.gained_epochs.items():
            if not member.may_serve(gained, clock):
                continue
            end = now + max(step, 0) + MAX_SHARD_TIME_S - self.wall_lag
            if end > now:
                self.world.send_oracle.permit(target, self.process, now, end)
                ends_at = now + max(step, 0) + self.request_time
                self.in_flight[target, gained] = ends_at
                self.world.last_served[target] = (self.process, now)

    def _finish_requests(self):
        now = self.world.now
        for (target, gained), ends_at in list(self.in_flight.items()):
            if ends_at > now or self.held.gained_epochs.get(target) == gained:
                continue
            del self.in_flight[target, gained]
            if all(target != other for other, _ in self.in_flight):
                self.world.send_oracle.finish(target, self.process, now)
        if self.held.may_report_release(self.in_flight):
            self.membership.record_release(self.membership.epoch, self.clock)

    def _send_heartbeats(self):
        if self.world.now < self.next_heartbeat:
            return
        self.next_heartbeat = self.world.now + HEARTBEAT_PERIOD_S
        self.membership.set_settings(self.settings.digest())
        for vm_id, heartbeat in self.membership.build_heartbeats(self.clock):
            self.link.send(vm_id, Heartbeat.KIND, heartbeat.to_body())
        newer = self.membership.find_vm_with_newer_view()
        if newer is not None:
            self.link.send(newer, "view_pull", None)
        for vm_id in self.membership.list_vms_to_compare(self.clock):
            self.link.send(vm_id, "settings_pull", self.settings.version_vector())

    # Messages.

    def _receive(self, envelope):
        if self.has_left:
            return
        if self.is_paused:
            self.inbox.append(envelope)
        else:
            self._handle(envelope)

    def _handle(self, envelope):
        handle = getattr(self, f"_on_{envelope.kind}")
        handle(envelope.sender, envelope.body)

    def _on_heartbeat(self, sender, body):
        heartbeat = Heartbeat.from_body(body)
        self.membership.handle_heartbeat(sender, heartbeat, self.clock)

    def _on_view_pull(self, sender, body):
        if self.membership.view is not None:
            self.link.send(sender, "view", self.membership.view.to_body())

    def _on_view(self, sender, body):
        self._adopt(View.from_body(body))

    def _on_settings_pull(self, sender, body):
        newer = self.settings.list_newer_than(body)
        values = {name: value.to_body() for name, value in newer.items()}
        answer = [self.settings.version_vector(), values]
        self.link.send(sender, "settings", answer)

    def _on_settings(self, sender, body):
        vector, values = body
        for name, value in values.items():
            self._apply(name, SubtreeValue.from_body(value))
        has_newer = self.settings.is_behind(vector)
        self.membership.record_settings_comparison(
            compute_vector_digest(vector), has_newer
        )

    def _on_settings_ack(self, sender, body):
        self.settings.record_acknowledgement(sender, body)

    def _apply(self, name, value):
        if self.settings.apply(name, value):
            self.membership.set_settings(self.settings.digest())
            vector = self.settings.version_vector()
            self.settings.record_acknowledgement(self.vm_id, vector)
            for vm_id in self.membership.view.members if self.membership.view else ():
                if vm_id != self.vm_id:
                    self.link.send(vm_id, "settings_ack", vector)

    # Store and VM list.

    def _read_vm_list(self):
        if self.world.now >= self.next_vm_list and not self._is_cut_off():
            self.next_vm_list = self.world.now + VM_LIST_PERIOD_S
            self.membership.set_gone_vms(self.world.list_gone(), self.clock)

    def _is_cut_off(self):
        return self.vm_id in self.world.cut_off

    def _use_store(self):
        if self._is_cut_off():
            return
        try:
            self._write_pending_view()
            if self.world.now >= self.next_store:
                self.next_store = self.world.now + STORE_PERIOD_S
                self._read_settings()
                self._check_proposal()
                self._read_view()
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            pass

    def _read_settings(self):
        epoch = self.membership.epoch
        entry = self.world.store.get(SETTINGS_KEY)
        value = entry and SubtreeValue.from_value(entry.value)
        older = self.settings.find_write_back(SUBTREE, value)
        if value is not None:
            self._apply(SUBTREE, value)
        self.membership.record_settings_read(epoch)
        if older is not None and self.membership.is_first_proposer(self.clock):
            expect = entry.revision if entry else 0
            self.world.store.put(SETTINGS_KEY, older.to_value(), expect)

    def _check_proposal(self):
        if self.proposal is None:
            return
        entry = self.world.store.get(VIEW_KEY)
        if entry is None:
            return
        if View.from_value(entry.value).epoch != self.membership.epoch:
            return
        sets = self.membership.list_quorum_sets()
        if self.settings.is_accepted(SUBTREE, self.proposal, sets):
            self.world.settings_oracle.accept(self.proposal, self.world.now)
            self.proposal = None

    def propose(self):
        """Write a settings change, as an operator's call to this VM does."""
        if self._is_cut_off() or self.is_paused or self.has_left:
            return
        if not self.membership.has_lease(self.clock):
            return
        try:
            entry = self.world.store.get(SETTINGS_KEY)
            value = entry and SubtreeValue.from_value(entry.value)
            stored = value.version if value else 0
            if stored < self.settings.version_of(SUBTREE):
                return
            new = SubtreeValue(stored + 1, f"[a]\nb = {self.world.now}\n")
            expect = entry.revision if entry else 0
            if self.world.store.put(SETTINGS_KEY, new.to_value(), expect):
                self.proposal = new.version
                self._apply(SUBTREE, new)
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            pass

    def _read_view(self):
        entry = self.world.store.get(VIEW_KEY)
        stored = None if entry is None else View.from_value(entry.value)
        if stored is not None:
            self._adopt(stored)
        next_view = self.membership.plan_restore(stored, self.clock)
        if next_view is None and (
            stored is None or stored.epoch == self.membership.epoch
        ):
            next_view = self._plan_next_view(stored)
        if next_view is not None:
            self.pending_write = (next_view, entry.revision if entry else 0)

    def _write_pending_view(self):
        if self.pending_write is None:
            return
        next_view, expect = self.pending_write
        self.pending_write = None
        if self.world.store.put(VIEW_KEY, next_view.to_value(), expect):
            self._adopt(next_view)
            self.has_left = self.is_draining and self.vm_id not in next_view.members

    def _plan_next_view(self, stored):
        member, now = self.membership, self.clock
        if not member.is_member:
            if self.is_draining:
                self.has_left = True
                return None
            state = MemberState.LEAVING if self.is_out else MemberState.ACTIVE
            return member.plan_join(stored, now, state)
        if self.is_draining or self.is_out:
            next_view = member.plan_mark_leaving(now)
            if next_view is not None:
                return next_view
            return member.plan_leave(now) if self.is_draining else None
        return (
            member.plan_mark_active(now)
            or member.plan_groups(self.world.groups, now)
            or member.plan_cleanup(now)
        )

    def _adopt(self, view):
        if not self.membership.adopt_view(view, self.clock):
            return
        holders = view.holders
        self.held.update(holders, view.epoch, self.membership.is_direct_successor)


class World:
    """A simulated cell: several VMs, their network, the store and the VM list.

    Parameters
    ----------
    seed : int
    membership_class, settings_class, held_class : type
        Replacement classes, for example with a mechanism disabled.
    """

    def __init__(
        self,
        seed,
        membership_class=Membership,
        settings_class=Configuration,
        held_class=HeldTargets,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.membership_class = membership_class
        self.settings_class = settings_class
        self.held_class = held_class
        self.network = MemoryNetwork(self.random)
        self.store = FakeStore()
        self.send_oracle = SendOracle()
        self.settings_oracle = SettingsOracle()
        self.vms = {}
        self.dead_since = {}
        self.cut_off = set()
        self.is_delayed = False
        self.last_served = {}
        self.groups = GROUPS
        self._incarnations = itertools.count(1)

    def begin(self, vm_ids):
        """Start VMs as the members of the first view."""
        for vm_id in vm_ids:
            self.start(vm_id)
        members = {k: self._make_member(vm) for k, vm in self.vms.items()}
        view = View(1, members, groups=GROUPS)
        self.store.put(VIEW_KEY, view.to_value(), 0)

    def _make_member(self, vm):
        return Member(vm.membership.incarnation, f"{vm.vm_id}:1", "north")

    def start(self, vm_id):
        """Start a process of a VM that has none running."""
        incarnation = f"p{next(self._incarnations)}"
        self.dead_since.pop(vm_id, None)
        membership = self.membership_class(vm_id, incarnation, f"{vm_id}:1", "north")
        settings = self.settings_class()
        self.vms[vm_id] = Vm(self, vm_id, incarnation, membership, settings)

    def kill(self, vm_id):
        if self.vms.pop(vm_id, None) is not None:
            self.network.disconnect(vm_id)
            self.dead_since[vm_id] = self.now

    def restart(self, vm_id):
        self.kill(vm_id)
        self.start(vm_id)

    def cut(self, vm_id):
        """Disconnect a VM from all others and from the store and VM list."""
        self.split([vm_id])

    def split(self, vm_ids):
        """Disconnect some VMs from all others and from the store and VM list."""
        self.cut_off |= set(vm_ids)
        for vm_id, other in itertools.product(vm_ids, [*self.vms, *self.dead_since]):
            if other not in vm_ids:
                self.network.cut(vm_id, other)

    def heal(self):
        """End all faults; killed processes stay dead."""
        self.network.heal()
        self.cut_off.clear()
        self.network.duplicates = self.network.reorders = False
        self.is_delayed = False
        self.store.is_down = False
        self.store.lost_answers = 0
        for vm in self.vms.values():
            vm.resume()

    def list_gone(self):
        delay = VM_LIST_DELAY_S
        return [k for k, since in self.dead_since.items() if self.now - since > delay]

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            vms = list(self.vms.values())
            self.random.shuffle(vms)
            for vm in vms:
                vm.step()
            if not self.is_delayed or self.random.random() < 0.1:
                self.network.deliver()
            self._observe_settings()

    def _observe_settings(self):
        for vm in self.vms.values():
            if vm.is_paused or vm.has_left or vm.wall_lag:
                continue
            version = vm.settings.version_of(SUBTREE)
            may_work = vm.membership.has_lease(vm.clock)
            self.settings_oracle.observe(vm.process, version, may_work, self.now)

    def list_unserved(self):
        """Return the targets to which no process could send in the last 0.5 s."""
        recent = self.now - 0.5
        return [
            t
            for t in TARGETS
            if t not in self.last_served or self.last_served[t][1] < recent
        ]


# The matrix: every fault at every step.

VICTIM_FAULTS = {
    "kill": lambda world, vm_id: world.kill(vm_id),
    "pause": lambda world, vm_id: world.vms[vm_id].pause(),
    "suspend": lambda world, vm_id: world.vms[vm_id].pause(is_suspended=True),
    "partition": lambda world, vm_id: world.cut(vm_id),
    "restart": lambda world, vm_id: world.restart(vm_id),
}


def _duplicate_and_reorder(world):
    world.network.duplicates = world.network.reorders = True


def _delay(world):
    _duplicate_and_reorder(world)
    world.is_delayed = True


def _lose_answers(world):
    world.store.lost_answers = 3


def _stop_store(world):
    world.store.is_down = True


WORLD_FAULTS = {
    "duplicate and reorder": _duplicate_and_reorder,
    "delay": _delay,
    "store outage": _stop_store,
    "lost answer": _lose_answers,
}


def _cut_off_for_eviction(world, vm_id):
    world.cut(vm_id)


def _drain(world, vm_id):
    world.vms[vm_id].is_draining = True


def _take_domain_out(world, vm_id):
    world.vms[vm_id].is_out = True


def _bring_domain_back(world, vm_id):
    if vm_id in world.vms:
        world.vms[vm_id].is_out = False


class Step:
    """A change that moves targets between VMs.

    Parameters
    ----------
    name : str
    first, second : callable of (World, str)
        The move, and the second move of scenarios with two.
    """

    def __init__(self, name, first, second):
        self.name = name
        self.first = first
        self.second = second


STEPS = [
    Step("join", lambda w, v: w.start("e"), lambda w, v: w.start("f")),
    Step("leave", _drain, lambda w, v: w.start("e")),
    Step("expel", _cut_off_for_eviction, lambda w, v: _drain(w, "b")),
    Step("hand-over", _take_domain_out, _bring_domain_back),
]
MOVED_VM = "c"
VICTIMS = ["a", MOVED_VM, "e"]
DELAYS_S = [0.0, 0.5, 1.5]
"""From the move to the fault: before the view is written, while it is distributed,
and during the new holders' lease expiry wait."""

FAULT_LENGTHS_S = [1.2, 4.0]
"""Shorter than a lease plus its longest request, and longer than the lease expiry
wait."""

SECOND_MOVE_S = 0.7

RECOVERY_STEPS = 10
"""Seconds within which all targets must be in service after the last fault."""


def list_scenarios():
    """Return all combinations of the lists above."""
    victims = itertools.product(VICTIM_FAULTS, VICTIMS)
    faults = [*victims, *((name, None) for name in WORLD_FAULTS)]
    return list(
        itertools.product(STEPS, faults, (False, True), DELAYS_S, FAULT_LENGTHS_S)
    )


def list_reduced_matrix():
    """Return one in six scenarios, numbered: one delay and length per combination."""
    times = len(DELAYS_S) * len(FAULT_LENGTHS_S)
    return [
        (number, scenario)
        for number, scenario in enumerate(list_scenarios())
        if number % times == (number // times + number // times // times) % times
    ]


def apply_fault(world, fault, victim):
    if victim is None:
        WORLD_FAULTS[fault](world)
    elif victim in world.vms:
        VICTIM_FAULTS[fault](world, victim)


def run_scenario(scenario, seed, **classes):
    """Run one scenario, end all faults and return its `World`."""
    step, (fault, victim), is_twice, delay, length = scenario
    world = World(seed, **classes)
    world.begin("abcd")
    world.run(1.5)
    step.first(world, MOVED_VM)
    events = [(delay, lambda: apply_fault(world, fault, victim))]
    if is_twice:
        events.append((SECOND_MOVE_S, lambda: step.second(world, MOVED_VM)))
    elapsed = 0.0
    for when, act in sorted(events, key=lambda event: event[0]):
        world.run(when - elapsed)
        elapsed = when
        act()
    world.run(length)
    world.heal()
    return world


class SimulationTestCase(testtools.TestCase):
    """Suppresses the expected warnings about stores that returned older data."""

    def setUp(self):
        super().setUp()
        configuration.logger.setLevel(logging.ERROR)
        self.addCleanup(configuration.logger.setLevel, logging.NOTSET)


class FaultMatrixTests(SimulationTestCase):
    """Applies every fault at every step of one or two moves."""

    def test_never_two_senders_and_service_returns(self):
        """Guards against two senders to one target, and against a lasting outage.

        Each combination of step, fault and repetition is run with one of the six
        delays and lengths; ``python -m tests.test_handover_faults 0 1`` runs all.
        """
        for number, scenario in list_reduced_matrix():
            violations, unserved = check_scenario(scenario, number)
            self.assertEqual([], violations, scenario)
            self.assertEqual([], unserved, scenario)


class NoLeaseExpiryWait(Membership):
    """Sends to gained targets as soon as the view is activated."""

    def _has_lease_wait_passed(self, handover, now):
        return handover.activated_at is not None


class NeedsOneGrant(Membership):
    """Takes one lease grant as sufficient for a lease."""

    def _majority(self, size):
        return 1


class IgnoresPreviousSets(Membership):
    """Activates a view without waiting for the members of previous views."""

    def _has_majority_stopped_granting(self, processes, epoch, now):
        return True


class CountsGrantsOfNewerEpochs(Membership):
    """Counts the grants of peers with a newer epoch."""

    def _update_grant(self, row):
        epoch, row.epoch = row.epoch, self.epoch
        super()._update_grant(row)
        row.epoch = epoch


class CountsGrantsWithNewerSettings(Membership):
    """Counts the grants of peers with newer settings."""

    def _has_usable_settings(self, row):
        return True


class GrantsBeforeReadingSettings(Membership):
    """Grants leases before it has read the settings."""

    @property
    def may_grant_leases(self):
        return True


class NoIncarnationCheck(Membership):
    """Accepts the release report of any process of a VM."""

    def _has_released(self, process, epoch):
        if process[0] == self.vm_id:
            return self.released_epoch >= epoch
        rows = [row for row in self._rows if row.vm_id == process[0]]
        return any(row.released_epoch >= epoch for row in rows)


class DropsPreviousSetsEarly(Membership):
    """Drops the previous member sets once the view is activated, not settled."""

    @property
    def is_settled(self):
        return self.is_activated


class KeepsGrantsAfterSuspension(Membership):
    """Keeps its lease grants after its clock was suspended."""

    def drop_grants(self):
        pass


class AcceptsAnyEcho(Membership):
    """Accepts an echo of a time that this process has not sent."""

    def _record_echo(self, row, echo):
        if echo is not None and (row.echoed is None or echo > row.echoed):
            row.echoed = echo


class ExcludesGoneFromMajority(Membership):
    """Counts the majority among the members that its VM list does not report gone."""

    def _compute_lease_end(self):
        if self.view is None:
            return -math.inf
        ends = self._list_grants()
        present = [
            vm_id for vm_id in self.view.members if vm_id not in self._gone_vm_ids
        ]
        needed = self._majority(len(present))
        until = ends[needed - 1] if len(ends) >= needed else -math.inf
        return max(until, self._carried_lease_end)

    def set_gone_vms(self, vm_ids, now):
        super().set_gone_vms(vm_ids, now)
        self._lease_end = None


class ComparesEpochsBySize(Membership):
    """Compares epochs by size, even if neither view descends from the other."""

    def _is_current_or_ancestor(self, epoch):
        return epoch <= self.epoch

    def _has_reached(self, reported, epoch):
        return reported >= epoch

    def _may_adopt(self, view):
        return view.epoch > self.epoch


class KeepsTargetsOverSkippedViews(HeldTargets):
    """Treats a target as held without interruption although views were skipped."""

    def update(self, holders, epoch, is_direct_successor):
        return super().update(holders, epoch, True)


class IgnoresGainedEpoch(HeldTargets):
    """Reports a release while requests from before a target was regained still run."""

    def may_report_release(self, in_flight):
        return all(target in self.gained_epochs for target, _ in in_flight)


class AcceptsLowerVersions(Configuration):
    """Accepts any version, even a lower one."""

    def apply(self, subtree, value):
        self._values[subtree] = value
        return True


def split_with_joiners(**classes):
    """Run a partition whose minority is joined by as many VMs as the majority."""
    world = World(1, **classes)
    world.begin("abcde")
    world.run(1.5)
    world.split("abc")
    for vm_id in "fgh":
        world.start(vm_id)
        world.split("abc")
    world.run(6.0)
    return world


def miss_a_view(**classes):
    """Run a join of which one VM is not notified, while its heartbeats arrive."""
    world = World(2, **classes)
    world.begin("abcd")
    world.run(1.5)
    world.cut_off.add("c")
    world.vms["c"]._on_view = lambda sender, body: None
    world.start("e")
    world.run(5.0)
    return world


def skip_a_view(**classes):
    """Run a move of a target and back, while its first holder receives no view."""
    world = World(3, **classes)
    world.begin("abcd")
    world.run(1.5)
    world.cut_off.add("c")
    world.vms["c"]._on_view = lambda sender, body: None
    world.start("e")
    world.run(4.5)
    world.split("e")
    while "e" in View.from_value(world.store.get(VIEW_KEY).value).members:
        world.run(TICK_S)
    world.cut_off.discard("c")
    world.run(3.0)
    return world


def move_there_and_back(**classes):
    """Run a move and its reversal; only the moved VM receives the second view."""
    world = World(7, **classes)
    world.begin("abcd")
    world.run(1.5)
    world.vms["c"].request_time = 0.9
    _take_domain_out(world, "c")
    while any(vm.membership.epoch < 2 for vm in world.vms.values()):
        world.run(TICK_S)
    _bring_domain_back(world, "c")
    for vm_id in "abd":
        world.cut_off.add(vm_id)
        world.vms[vm_id]._on_view = lambda sender, body: None
    world.run(3.0)
    return world


def lose_members_of_older_view(**classes):
    """Run a partition, then kill members that know of the newer view."""
    world = World(1, **classes)
    world.begin("abcde")
    world.run(1.5)
    world.split("ab")
    for vm_id in "fgh":
        world.start(vm_id)
        world.split("ab")
    for vm in (world.vms["a"], world.vms["b"]):
        set_gone_vms = vm.membership.set_gone_vms
        vm._read_vm_list = lambda vm=vm, set_gone_vms=set_gone_vms: set_gone_vms(
            world.list_gone(), vm.clock
        )
    world.run(5.0)
    world.kill("d")
    world.kill("e")
    world.run(8.0)
    return world


def regress_view(**classes):
    """Run a join while the store returns the view from before an earlier join.

    The members cannot reach the store, so they do not restore the newer view.
    """
    world = World(10, **classes)
    world.begin("abcd")
    world.run(1.5)
    older = world.store.entries[VIEW_KEY]
    world.start("e")
    world.run(2.0)
    world.store.entries[VIEW_KEY] = older
    world.cut_off |= set("abcde")
    # With "g" the epoch of the new view, which includes a hash, is greater than that
    # of e's view. With "f" it is less: no peer would grant a lease even without the
    # check for descent.
    world.start("g")
    world.run(6.0)
    return world


def suspend_holder(**classes):
    """Suspend a VM, which stops its clocks, until others hold its targets."""
    world = World(8, **classes)
    world.begin("abcd")
    world.run(1.5)
    world.vms["c"].pause(is_suspended=True)
    world.run(6.0)
    world.cut_off.add("c")
    world.vms["c"].inbox.clear()
    world.vms["c"].resume()
    world.run(3.0)
    return world


def restart_with_other_clock(**classes):
    """Run a restart whose new process has a clock behind the old one's."""
    world = World(9, **classes)
    world.begin("abcd")
    world.vms["c"].clock_offset = 2000.0
    world.run(1.5)
    world.restart("c")
    world.run(5.0)
    world.cut("c")
    world.run(8.0)
    return world


def miss_a_settings_change(**classes):
    """Run an accepted settings change that one VM does not receive."""
    world = World(4, **classes)
    world.begin("abcd")
    world.run(1.5)
    world.cut_off.add("c")
    world.vms["c"]._on_settings = lambda sender, body: None
    world.vms["a"].propose()
    world.run(MAX_ACTIVATION_S + 2.0)
    return world


def join_without_settings(**classes):
    """Run a join of two VMs that do not read the settings after a change."""
    world = World(5, **classes)
    world.begin("a")
    world.run(1.5)
    world.vms["a"].propose()
    world.run(1.5)
    for vm_id in "bc":
        world.start(vm_id)
        world.network.cut("a", vm_id)
        world.vms[vm_id]._read_settings = lambda: None
    world.run(MAX_ACTIVATION_S + 2.0)
    return world


def regress_store(**classes):
    """Run a store that returns the settings from before an accepted change."""
    world = World(6, **classes)
    world.begin("abcd")
    world.run(1.5)
    world.vms["a"].propose()
    world.run(1.0)
    older = world.store.entries[SETTINGS_KEY]
    world.vms["a"].propose()
    world.run(1.0)
    world.store.entries[SETTINGS_KEY] = older
    world.run(2.0)
    return world


def build_matrix_run(step, fault, victim, is_twice, delay, length):
    """Return a function that runs one scenario of the matrix."""
    wanted = (step, (fault, victim), is_twice, delay, length)
    names = [(scenario[0].name, *scenario[1:]) for scenario in list_scenarios()]
    number = names.index(wanted)
    return lambda **classes: run_scenario(list_scenarios()[number], number, **classes)


MECHANISMS = [
    (
        "wait-out",
        {"membership_class": NoLeaseExpiryWait},
        build_matrix_run("join", "kill", "a", False, 0.0, 1.2),
    ),
    (
        "majority",
        {"membership_class": NeedsOneGrant},
        build_matrix_run("join", "partition", MOVED_VM, False, 0.0, 4.0),
    ),
    ("previous sets", {"membership_class": IgnoresPreviousSets}, split_with_joiners),
    ("newer epoch", {"membership_class": CountsGrantsOfNewerEpochs}, miss_a_view),
    (
        "newer settings",
        {"membership_class": CountsGrantsWithNewerSettings},
        miss_a_settings_change,
    ),
    (
        "settings read",
        {"membership_class": GrantsBeforeReadingSettings},
        join_without_settings,
    ),
    (
        "incarnation",
        {"membership_class": NoIncarnationCheck},
        build_matrix_run("join", "restart", "a", False, 0.0, 1.2),
    ),
    (
        "settled sets",
        {"membership_class": DropsPreviousSetsEarly},
        build_matrix_run("leave", "restart", "a", False, 0.5, 1.2),
    ),
    ("skipped view", {"held_class": KeepsTargetsOverSkippedViews}, skip_a_view),
    (
        "gained epoch, and descent of views, each of which suffices",
        {"held_class": IgnoresGainedEpoch, "membership_class": ComparesEpochsBySize},
        move_there_and_back,
    ),
    (
        "gone members in the majority",
        {"membership_class": ExcludesGoneFromMajority},
        lose_members_of_older_view,
    ),
    ("descent of views", {"membership_class": ComparesEpochsBySize}, regress_view),
    (
        "suspended clock",
        {"membership_class": KeepsGrantsAfterSuspension},
        suspend_holder,
    ),
    ("foreign echo", {"membership_class": AcceptsAnyEcho}, restart_with_other_clock),
    ("never lower", {"settings_class": AcceptsLowerVersions}, regress_store),
]
"""Each mechanism, the class without it, and a run that then violates an oracle."""


class MechanismTests(SimulationTestCase):
    """Disables each mechanism and expects a violation."""

    def test_oracle_detects_each_missing_mechanism(self):
        """Guards against oracles and scenarios that detect no violation."""
        for name, classes, run in MECHANISMS:
            self.assertEqual([], list_violations(run()), name)
            self.assertNotEqual([], list_violations(run(**classes)), name)


def list_violations(world):
    """Return the distinct violations that both oracles found."""
    violations = world.send_oracle.violations + world.settings_oracle.violations
    return sorted(set(violations))


def check_scenario(scenario, seed, **classes):
    """Run a scenario, wait for recovery, and return what was found.

    Returns
    -------
    (list of str, list of str)
        Violations that the oracles found, and targets that are still not served.
    """
    world = run_scenario(scenario, seed, **classes)
    for _ in range(RECOVERY_STEPS):
        world.run(1.0)
        if not world.list_unserved():
            break
    return list_violations(world), world.list_unserved()


def main():
    """Run all scenarios with several seeds and print those that failed."""
    configuration.logger.setLevel(logging.ERROR)
    first, last = int(sys.argv[1]), int(sys.argv[2])
    scenarios = list_scenarios()
    found = 0
    for seed, number in itertools.product(range(first, last), range(len(scenarios))):
        result = check_scenario(scenarios[number], seed * len(scenarios) + number)
        if any(result):
            found += 1
            print(seed, number, *scenarios[number][1:], *result)
    print(f"{found} of {(last - first) * len(scenarios)} runs failed")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
