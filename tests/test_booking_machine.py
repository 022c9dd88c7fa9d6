"""Random histories of bookings, store faults and kills of VMs."""

import hypothesis
import testtools
import trio
from hypothesis import stateful, strategies

from tests.test_booking_faults import RECOVERY_S, BookingSimulation, SimulatedVm

KEYS = strategies.sampled_from(["k1", "k2", "k3"])
ORDERS = strategies.sampled_from([1, 1, 1, 2])
NAMES = strategies.sampled_from(["a", "b", "c"])
DELAYS_S = strategies.sampled_from([0.0, 0.001, 0.002, 0.005, 0.02, 0.3, 2.0])
COUNTS = strategies.integers(1, 2)

CI_EXAMPLES = 60
CI_STEPS = 25


class BookingMachine(stateful.RuleBasedStateMachine):
    """Collects a history; `teardown` replays it in virtual time and checks it.

    The store loses no acknowledged writes here: VMs detect such a loss only as far as
    heartbeats have spread the lost revisions, which the fault matrix tests.
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
        BookingSimulation(names=("a", "b", "c")).run(self.replay)

    async def replay(self, sim):
        for event, *values in self.history:
            await getattr(self, f"do_{event}")(sim, *values)
        sim.clear_faults()
        await trio.sleep(RECOVERY_S)
        for key in sorted({call.key for call in sim.calls}):
            for name in sim.vms:
                await sim.submit_booking(name, key)

    async def do_book(self, sim, name, key, order):
        sim.start(sim.submit_booking, name, key, order)

    async def do_kill(self, sim, name):
        """Kill a VM and start a new process in its place."""
        sim.vms[name].kill()
        sim.vms[name] = SimulatedVm(sim, name)
        sim.start(sim.vms[name].run)
        await trio.sleep(0.001)

    async def do_pause(self, sim, name):
        sim.vms[name].paused_until = trio.current_time() + 1.0

    async def do_wait(self, sim, seconds):
        await trio.sleep(seconds)

    async def do_store(self, sim, name, value):
        setattr(sim.store, name, value)

    async def do_targets(self, sim, name, count):
        setattr(sim, name, count)

    async def do_holders(self, sim):
        sim.start(sim.lose_holders)


def run_machine(seed, steps, examples=CI_EXAMPLES):
    """Replay random histories.

    Parameters
    ----------
    seed : int or None
        None for the fixed histories of CI.
    steps : int
        Greatest number of steps in a history.
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
        """Guards against a second run or a wrong outcome under combined faults."""
        run_machine(None, CI_STEPS)
