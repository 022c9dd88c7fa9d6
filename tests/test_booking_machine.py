"""Random histories of bookings, store faults and deaths of VMs."""

import hypothesis
import testtools
import trio
from hypothesis import stateful, strategies

from tests.test_booking_faults import HEAL_S, Vm, World

KEYS = strategies.sampled_from(["k1", "k2", "k3"])
ORDERS = strategies.sampled_from([1, 1, 1, 2])
NAMES = strategies.sampled_from(["a", "b", "c"])
DELAYS_S = strategies.sampled_from([0.0, 0.001, 0.002, 0.005, 0.02, 0.3, 2.0])
COUNTS = strategies.integers(1, 2)

CI_EXAMPLES = 60
CI_STEPS = 25


class BookingMachine(stateful.RuleBasedStateMachine):
    """Collects a history; `teardown` plays it in virtual time and judges it.

    The store loses no writes here: a fallback is covered only as far as the
    heartbeats have told of it, which the fault matrix tests.
    """

    def __init__(self):
        super().__init__()
        self.history = []

    @stateful.rule(name=NAMES, key=KEYS, order=ORDERS)
    def book(self, name, key, order):
        self.history.append(("book", name, key, order))

    @stateful.rule(name=NAMES)
    def kill(self, name):
        self.history.append(("kill", name))

    @stateful.rule(name=NAMES)
    def pause(self, name):
        self.history.append(("pause", name))

    @stateful.rule(seconds=DELAYS_S)
    def wait(self, seconds):
        self.history.append(("wait", seconds))

    @stateful.rule(is_down=strategies.booleans())
    def switch_store(self, is_down):
        self.history.append(("store", "is_unavailable", is_down))

    @stateful.rule(delay=strategies.sampled_from([0.002, 0.1, 1.0]))
    def slow_store(self, delay):
        self.history.append(("store", "delay_s", delay))

    @stateful.rule(count=COUNTS, name=strategies.sampled_from(["answers", "writes"]))
    def lose_in_store(self, count, name):
        self.history.append(("store", f"lose_{name}", count))

    @stateful.rule(
        count=COUNTS,
        name=strategies.sampled_from(["lose_target_answers", "refusals"]),
    )
    def disturb_targets(self, count, name):
        self.history.append(("targets", name, count))

    @stateful.rule()
    def lose_holders(self):
        self.history.append(("holders",))

    def teardown(self):
        World(names=("a", "b", "c")).run(self.play)

    async def play(self, world):
        for event, *values in self.history:
            await getattr(self, f"do_{event}")(world, *values)
        world.heal()
        await trio.sleep(HEAL_S)
        for key in sorted({call.key for call in world.calls}):
            for name in world.vms:
                await world.ask(name, key)

    async def do_book(self, world, name, key, order):
        world.start(world.ask, name, key, order)

    async def do_kill(self, world, name):
        """Kill a VM and start another process in its place."""
        world.vms[name].kill()
        world.vms[name] = Vm(world, name)
        world.start(world.vms[name].run)
        await trio.sleep(0.001)

    async def do_pause(self, world, name):
        world.vms[name].paused_until = trio.current_time() + 1.0

    async def do_wait(self, world, seconds):
        await trio.sleep(seconds)

    async def do_store(self, world, name, value):
        setattr(world.store, name, value)

    async def do_targets(self, world, name, count):
        setattr(world, name, count)

    async def do_holders(self, world):
        world.start(world.lose_holders)


def run_machine(seed, steps, examples=CI_EXAMPLES):
    """Play random histories.

    Parameters
    ----------
    seed : int or None
        None for the fixed choice of CI.
    steps : int
        Longest history.
    examples : int
        Number of histories.
    """
    settings = hypothesis.settings(
        derandomize=seed is None,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=steps,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = BookingMachine
    if seed is not None:
        machine = hypothesis.seed(seed)(type("SeededMachine", (BookingMachine,), {}))
    stateful.run_state_machine_as_test(machine, settings=settings)


class BookingMachineTests(testtools.TestCase):
    """Random histories."""

    def test_random_histories(self):
        """Guards against a second run under combinations of faults."""
        run_machine(None, CI_STEPS)
