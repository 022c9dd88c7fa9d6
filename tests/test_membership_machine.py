"""Random sequences of faults and changes, checked by the handover oracles.

``run_machine(seed, steps)`` executes a longer seeded sequence.
"""

import logging
import random
import sys

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tarragonchute import configuration
from tests.test_handover_faults import (
    GROUPS,
    SETTINGS_KEY,
    TARGETS,
    TICK_S,
    VIEW_KEY,
    AcceptsLowerVersions,
    NoIncarnationCheck,
    NoLeaseExpiryWait,
    SimulationTestCase,
    World,
    list_violations,
)

VM_IDS = "abcdefg"
FIRST_VM_IDS = "abcd"
RECOVERY_S = 25.0
"""Longest time from the end of all faults to full service.

It covers the report and confirmation of gone VMs, their removal, and two consecutive
lease expiry waits.
"""


def start_vm(world, vm_id):
    """Start a VM that isn't running, with a new process."""
    if vm_id not in world.vms:
        world.start(vm_id)
    elif world.vms[vm_id].has_left:
        world.restart(vm_id)


def kill_vm(world, vm_id):
    """Kill a VM unless only the store would hold the settings afterwards."""
    if len(world.vms) > 1:
        world.kill(vm_id)


def restart_vm(world, vm_id):
    """Replace the process of a VM by a new one."""
    if vm_id in world.vms:
        world.restart(vm_id)


def pause_vm(world, vm_id):
    """Pause a process."""
    if vm_id in world.vms:
        world.vms[vm_id].pause()


def suspend_vm(world, vm_id):
    """Pause a process and stop its clocks."""
    if vm_id in world.vms:
        world.vms[vm_id].pause(is_suspended=True)


def resume_vms(world, vm_id):
    """Resume all paused processes."""
    for vm in world.vms.values():
        vm.resume()


def cut_vm(world, vm_id):
    """Partition a VM from the others and from the store."""
    world.split([vm_id])


def split_vms(world, vm_id):
    """Partition the VMs with ids up to the given one from the others."""
    world.split([other_id for other_id in VM_IDS if other_id <= vm_id])


def cut_from_store(world, vm_id):
    """Partition a VM from the store and the VM list only."""
    world.cut_off.add(vm_id)


def cut_incoming(world, vm_id):
    """Drop messages to a VM, but not those from it."""
    world.network.cuts |= {(sender, vm_id) for sender in VM_IDS if sender != vm_id}


def heal_network(world, vm_id):
    """End all partitions."""
    world.network.heal()
    world.cut_off.clear()


def drain_vm(world, vm_id):
    """Start draining a VM."""
    if vm_id in world.vms:
        world.vms[vm_id].is_draining = True


def take_domain_out(world, vm_id):
    """Take the failure domain of a VM out of service."""
    if vm_id in world.vms:
        world.vms[vm_id].is_out = True


def return_domains(world, vm_id):
    """Return all failure domains to service."""
    for vm in world.vms.values():
        vm.is_out = False


def propose(world, vm_id):
    """Propose a settings change at a VM."""
    if vm_id in world.vms:
        world.vms[vm_id].propose()


def change_layout(world, vm_id):
    """Change which targets are replicas of each other."""
    count = ord(vm_id) - ord(VM_IDS[0])
    mixed = list(zip(TARGETS[:count], reversed(TARGETS[:count]), strict=True))
    world.groups = [*GROUPS, *mixed]


def disorder_messages(world, vm_id):
    """Duplicate and reorder messages from now on."""
    world.network.duplicates = world.network.reorders = True


def delay_messages(world, vm_id):
    """Deliver messages late from now on."""
    world.is_delayed = True


def restore_messages(world, vm_id):
    """Deliver messages once, in order and at once."""
    world.network.duplicates = world.network.reorders = world.is_delayed = False


def stop_store(world, vm_id):
    """Start an outage of the store."""
    world.store.is_down = True


def start_store(world, vm_id):
    """End an outage of the store."""
    world.store.is_down = False


def lose_answers(world, vm_id):
    """Lose the answers to the next two writes."""
    world.store.lost_answers = 2


def regress_store(world, vm_id):
    """Make the store return the settings from before the last change for a second.

    If no VM has written the newer settings back by then, the store returns them
    again. Without that limit, all members that know an accepted version could be
    partitioned until VMs that read the older settings have replaced them. No VM can
    detect this, so it is excluded from the guarantee.
    """
    newer = world.store.entries.get(SETTINGS_KEY)
    if world.older_settings is None or world.store.is_down:
        return
    world.store.entries[SETTINGS_KEY] = older = world.older_settings
    world.run(1.0)
    if world.store.entries[SETTINGS_KEY] is older:
        world.store.entries[SETTINGS_KEY] = newer


def regress_view(world, vm_id):
    """Make the store return an older view from now on, and start a VM."""
    if world.older_view is not None and not world.store.is_down:
        world.store.entries[VIEW_KEY] = world.older_view
        start_vm(world, vm_id)


def wait(world, vm_id):
    """Let a second pass."""
    world.run(1.0)


def wait_long(world, vm_id):
    """Let more time pass than a lease expiry wait takes."""
    world.run(4.0)


ACTIONS = [
    start_vm,
    kill_vm,
    restart_vm,
    pause_vm,
    suspend_vm,
    resume_vms,
    cut_vm,
    split_vms,
    cut_from_store,
    cut_incoming,
    heal_network,
    drain_vm,
    take_domain_out,
    return_domains,
    propose,
    change_layout,
    disorder_messages,
    delay_messages,
    restore_messages,
    stop_store,
    start_store,
    lose_answers,
    regress_store,
    regress_view,
    wait,
    wait_long,
]

REPAIR_ACTIONS = [
    start_vm,
    resume_vms,
    heal_network,
    return_domains,
    restore_messages,
    start_store,
    propose,
    wait,
]
"""Chosen more often, so that the targets are in service for much of the time."""

WEIGHTED_ACTIONS = ACTIONS + 3 * REPAIR_ACTIONS


class ActionRunner:
    """Executes actions on a world and records the store's former settings and view.

    Parameters
    ----------
    seed : int
    classes
        Passed to `World`.
    """

    def __init__(self, seed, **classes):
        self.world = World(seed, **classes)
        self.world.older_settings = None
        self.world.older_view = None
        self.world.begin(FIRST_VM_IDS)
        self.world.run(1.5)

    def execute(self, action, vm_id, ticks):
        """Execute one action and let some ticks pass."""
        before = self.world.store.entries.get(SETTINGS_KEY)
        view = self.world.store.entries[VIEW_KEY]
        action(self.world, vm_id)
        self.world.run(ticks * TICK_S)
        if self.world.store.entries.get(SETTINGS_KEY) is not before:
            self.world.older_settings = before
        if self.world.store.entries[VIEW_KEY] is not view:
            self.world.older_view = view

    def recover(self):
        """End all faults and return the targets that are still unserved."""
        self.world.heal()
        for vm in list(self.world.vms.values()):
            vm.is_draining = vm.is_out = False
            if vm.has_left:
                self.world.restart(vm.vm_id)
        self.world.run(RECOVERY_S)
        return self.world.list_unserved()


def run_machine(seed, steps, **classes):
    """Execute random actions.

    Parameters
    ----------
    seed : int
    steps : int
        Actions, with up to a second of virtual time after each.
    classes
        Subclasses with a mechanism disabled, passed to `World`.

    Returns
    -------
    list of str
        Violations found by the oracles; empty if all guarantees held.
    """
    source = random.Random(seed)
    runner = ActionRunner(seed, **classes)
    executed = []
    for _ in range(steps):
        action = source.choice(WEIGHTED_ACTIONS)
        vm_id = source.choice(VM_IDS)
        ticks = source.choice([0, 1, 3, 10])
        executed.append(f"{action.__name__}({vm_id}) {ticks}")
        runner.execute(action, vm_id, ticks)
        violations = list_violations(runner.world)
        if violations:
            return [*violations, f"seed {seed}, after: {'; '.join(executed)}"]
    unserved = runner.recover()
    found = list_violations(runner.world)
    if unserved:
        found.append(f"seed {seed}: {unserved} remain unserved")
    return found


class MembershipMachine(RuleBasedStateMachine):
    """Lets Hypothesis choose the actions and shrink a failing sequence."""

    def __init__(self):
        super().__init__()
        self.runner = ActionRunner(1)

    @rule(
        action=st.sampled_from(WEIGHTED_ACTIONS),
        vm_id=st.sampled_from(VM_IDS),
        ticks=st.sampled_from([0, 1, 3, 10]),
    )
    def act(self, action, vm_id, ticks):
        """Execute one action."""
        self.runner.execute(action, vm_id, ticks)

    @invariant()
    def check_guarantees(self):
        """Check both oracles."""
        found = list_violations(self.runner.world)
        assert not found, found

    def teardown(self):
        """Check that all targets are served again after the faults end."""
        unserved = self.runner.recover()
        assert not unserved, unserved
        self.check_guarantees()


class MachineTests(SimulationTestCase):
    """Short random sequences for CI; `run_machine` executes longer ones."""

    def test_hypothesis_finds_no_violation(self):
        """Guards against two senders to a target, and against reverted settings."""
        run_state_machine_as_test(
            MembershipMachine,
            settings=settings(
                max_examples=10,
                stateful_step_count=25,
                derandomize=True,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )

    def test_seeded_runs_find_no_violation(self):
        """Guards against violations that the sequences of Hypothesis don't reach."""
        for seed in range(3):
            self.assertEqual([], run_machine(seed, 60))

    def test_machine_sees_a_missing_mechanism(self):
        """Guards against random sequences that miss violations.

        Each class has one mechanism disabled, and a violation must be found.
        """
        for classes in (
            {"membership_class": NoLeaseExpiryWait},
            {"membership_class": NoIncarnationCheck},
            {"settings_class": AcceptsLowerVersions},
        ):
            self.assertNotEqual([], run_machine(0, 80, **classes), classes)


if __name__ == "__main__":
    configuration.logger.setLevel(logging.ERROR)
    first, last, steps = (int(argument) for argument in sys.argv[1:4])
    failed = 0
    for seed in range(first, last):
        found = run_machine(seed, steps)
        failed += bool(found)
        if found:
            print(seed, *found[:2], found[-1], sep="\n  ")
    print(f"{failed} of {last - first} runs of {steps} steps failed")
