"""Random sequences of faults, changes and moves, checked by the same oracles.

``run_machine(seed, steps)`` plays a longer seeded sequence.
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
"""From the end of all faults to full service: report and confirmation of gone VMs,
removal, and two wait-outs one after the other."""


def start_vm(world, vm_id):
    """Start a VM that does not run, in place of its former process."""
    if vm_id not in world.vms:
        world.start(vm_id)
    elif world.vms[vm_id].has_left:
        world.restart(vm_id)


def kill_vm(world, vm_id):
    """Kill a VM, unless it is the last: the settings live in the store then."""
    if len(world.vms) > 1:
        world.kill(vm_id)


def restart_vm(world, vm_id):
    """Replace a process by one of the same VM."""
    if vm_id in world.vms:
        world.restart(vm_id)


def pause_vm(world, vm_id):
    """Stop a process."""
    if vm_id in world.vms:
        world.vms[vm_id].pause()


def suspend_vm(world, vm_id):
    """Stop a process and its clocks."""
    if vm_id in world.vms:
        world.vms[vm_id].pause(is_suspended=True)


def resume_vms(world, vm_id):
    """Let all paused processes go on."""
    for vm in world.vms.values():
        vm.resume()


def cut_vm(world, vm_id):
    """Cut a VM off from the others and from the store."""
    world.split([vm_id])


def split_vms(world, vm_id):
    """Cut the VMs up to one off from the rest."""
    world.split([one for one in VM_IDS if one <= vm_id])


def cut_from_store(world, vm_id):
    """Cut a VM off from the platform only."""
    world.cut_off.add(vm_id)


def cut_incoming(world, vm_id):
    """Drop what is sent to a VM, but not what it sends."""
    world.network.cuts |= {(one, vm_id) for one in VM_IDS if one != vm_id}


def heal_network(world, vm_id):
    """End all cuts."""
    world.network.heal()
    world.cut_off.clear()


def drain_vm(world, vm_id):
    """Begin the shutdown of a VM."""
    if vm_id in world.vms:
        world.vms[vm_id].is_draining = True


def take_out(world, vm_id):
    """Take the failure domain of a VM out."""
    if vm_id in world.vms:
        world.vms[vm_id].is_out = True


def bring_back(world, vm_id):
    """Bring all failure domains back."""
    for vm in world.vms.values():
        vm.is_out = False


def propose(world, vm_id):
    """Change the settings through a VM."""
    if vm_id in world.vms:
        world.vms[vm_id].propose()


def change_layout(world, vm_id):
    """Make other targets replicas of each other."""
    count = ord(vm_id) - ord(VM_IDS[0])
    mixed = list(zip(TARGETS[:count], reversed(TARGETS[:count]), strict=True))
    world.groups = [*GROUPS, *mixed]


def garble(world, vm_id):
    """Duplicate and reorder messages from now on."""
    world.network.duplicates = world.network.reorders = True


def delay(world, vm_id):
    """Deliver messages late from now on."""
    world.is_delayed = True


def ungarble(world, vm_id):
    """Deliver messages once, in order and at once."""
    world.network.duplicates = world.network.reorders = world.is_delayed = False


def stop_store(world, vm_id):
    """Begin an outage of the store."""
    world.store.is_down = True


def start_store(world, vm_id):
    """End an outage of the store."""
    world.store.is_down = False


def lose_answers(world, vm_id):
    """Lose the answers to the next two writes."""
    world.store.lost_answers = 2


def regress_store(world, vm_id):
    """Let the store return the settings of before the last change for a second.

    If nobody could write the newer ones back by then, the store finds them again.
    Without that limit, members that know an accepted version can be cut off until
    all of them are replaced by VMs that read the older settings. No VM can detect
    this, so the promise does not hold for it.
    """
    newer = world.store.entries.get(SETTINGS_KEY)
    if world.older_settings is None or world.store.is_down:
        return
    world.store.entries[SETTINGS_KEY] = older = world.older_settings
    world.run(1.0)
    if world.store.entries[SETTINGS_KEY] is older:
        world.store.entries[SETTINGS_KEY] = newer


def regress_view(world, vm_id):
    """Let the store return an older view from now on."""
    if world.older_view is not None and not world.store.is_down:
        world.store.entries[VIEW_KEY] = world.older_view
        start_vm(world, vm_id)


def wait(world, vm_id):
    """Let some time pass."""
    world.run(1.0)


def wait_long(world, vm_id):
    """Let more than a wait-out pass."""
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
    take_out,
    bring_back,
    propose,
    change_layout,
    garble,
    delay,
    ungarble,
    stop_store,
    start_store,
    lose_answers,
    regress_store,
    regress_view,
    wait,
    wait_long,
]

REPAIRS = [
    start_vm,
    resume_vms,
    heal_network,
    bring_back,
    ungarble,
    start_store,
    propose,
    wait,
]
"""Come more often, so that a good part of the time has service to interrupt."""

CHOICES = ACTIONS + 3 * REPAIRS


class Player:
    """Plays actions on a world and keeps the store's settings of before.

    Parameters
    ----------
    seed : int
    classes
        Passed on to `World`.
    """

    def __init__(self, seed, **classes):
        self.world = World(seed, **classes)
        self.world.older_settings = None
        self.world.older_view = None
        self.world.begin(FIRST_VM_IDS)
        self.world.run(1.5)

    def play(self, action, vm_id, ticks):
        """Play one action and let some ticks pass."""
        before = self.world.store.entries.get(SETTINGS_KEY)
        view = self.world.store.entries[VIEW_KEY]
        action(self.world, vm_id)
        self.world.run(ticks * TICK_S)
        if self.world.store.entries.get(SETTINGS_KEY) is not before:
            self.world.older_settings = before
        if self.world.store.entries[VIEW_KEY] is not view:
            self.world.older_view = view

    def recover(self):
        """End all faults and return the targets that stay without a sender."""
        self.world.heal()
        for vm in list(self.world.vms.values()):
            vm.is_draining = vm.is_out = False
            if vm.has_left:
                self.world.restart(vm.vm_id)
        self.world.run(RECOVERY_S)
        return self.world.list_unserved()


def run_machine(seed, steps, **classes):
    """Play random actions.

    Parameters
    ----------
    seed : int
    steps : int
        Actions, with up to a second of virtual time after each.
    classes
        Subclasses with a mechanism switched off, passed on to `World`.

    Returns
    -------
    list of str
        What the oracles found; empty if all promises held.
    """
    source = random.Random(seed)
    player = Player(seed, **classes)
    played = []
    for _ in range(steps):
        action = source.choice(CHOICES)
        vm_id = source.choice(VM_IDS)
        ticks = source.choice([0, 1, 3, 10])
        played.append(f"{action.__name__}({vm_id}) {ticks}")
        player.play(action, vm_id, ticks)
        violations = list_violations(player.world)
        if violations:
            return [*violations, f"seed {seed}, after: {'; '.join(played)}"]
    unserved = player.recover()
    found = list_violations(player.world)
    if unserved:
        found.append(f"seed {seed}: {unserved} stay without a sender")
    return found


class MembershipMachine(RuleBasedStateMachine):
    """Hypothesis chooses the actions, and shortens a sequence that fails."""

    def __init__(self):
        super().__init__()
        self.player = Player(1)

    @rule(
        action=st.sampled_from(CHOICES),
        vm_id=st.sampled_from(VM_IDS),
        ticks=st.sampled_from([0, 1, 3, 10]),
    )
    def act(self, action, vm_id, ticks):
        """Play one action."""
        self.player.play(action, vm_id, ticks)

    @invariant()
    def promises_hold(self):
        """Check both oracles."""
        found = list_violations(self.player.world)
        assert not found, found

    def teardown(self):
        """Check that service returns."""
        unserved = self.player.recover()
        assert not unserved, unserved
        self.promises_hold()


class MachineTests(SimulationTestCase):
    """Random sequences in CI; `run_machine` takes longer ones."""

    def test_hypothesis_finds_no_violation(self):
        """Guards against two senders, and against settings that revert."""
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
        """Guards against a machine that works only as Hypothesis drives it."""
        for seed in range(3):
            self.assertEqual([], run_machine(seed, 60))

    def test_machine_sees_a_missing_mechanism(self):
        """Guards against random sequences that never reach a dangerous state."""
        for classes in (
            {"membership_class": NoLeaseExpiryWait},
            {"membership_class": NoIncarnationCheck},
            {"settings_class": AcceptsLowerVersions},
        ):
            self.assertNotEqual([], run_machine(0, 80, **classes), classes)


if __name__ == "__main__":
    configuration.logger.setLevel(logging.ERROR)
    first, last, steps = (int(one) for one in sys.argv[1:4])
    failed = 0
    for seed in range(first, last):
        found = run_machine(seed, steps)
        failed += bool(found)
        if found:
            print(seed, *found[:2], found[-1], sep="\n  ")
    print(f"{failed} of {last - first} runs of {steps} steps failed")
