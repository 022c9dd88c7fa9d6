"""Random sequences of faults, checked by the oracle of `test_holder_faults`."""

import testtools
from hypothesis import HealthCheck, Phase, seed as set_seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tarragonchute.messages import BOOKING, SEARCH

from .test_holder_faults import FAULTS, Simulation

MAX_EXAMPLES = 40
STEPS = 40
LOAD_REMAINING_MS = (300, 8000)
MAX_COPY_AGE_S = 5.0  # plus a 4 s pause is less than the 10 s deduplication window


class _SentGroup:
    """A group sent earlier, as the subject of a fault."""

    def __init__(self, sim, sent, submitted_at):
        self.sim = sim
        self.sent = sent
        self.submitted_at = submitted_at

    def repeat(self):
        # A search may run again if its copy arrives after the window in which
        # repeated attempts are recognized.
        is_old = self.sim.now > self.submitted_at + MAX_COPY_AGE_S
        if self.sent[2].operation == BOOKING or not is_old:
            self.sim.deliver(*self.sent)

    def cancel(self):
        self.sim.cancel(*self.sent)


class HolderMachine(RuleBasedStateMachine):
    """Applies any fault at any time to two holders and two targets."""

    def __init__(self):
        super().__init__()
        # The delay lets a pause begin between the permission check and the write.
        self.sim = Simulation(("t1", "t2"), write_delay_s=0.002)
        self.sim.load_remaining_ms = LOAD_REMAINING_MS
        self.sent = []

    @initialize(is_warm=st.booleans())
    def warm_up(self, is_warm):
        if is_warm:
            self.sim.start_load()
            self.sim.run_until(self.sim.now + 1.0)

    @rule(
        count=st.integers(1, 6),
        operation=st.sampled_from((SEARCH, BOOKING)),
        team=st.sampled_from("abc"),
        remaining_ms=st.sampled_from((30, 150, 600, 8000)),
        to=st.sampled_from((None, "A", "B")),
    )
    def submit(self, count, operation, team, remaining_ms, to):
        if operation == BOOKING:
            count = 1
        attempts = range(1, count + 1)
        sent = self.sim.submit(attempts, operation, team, remaining_ms, to)
        self.sent.append((sent, self.sim.now))

    @precondition(lambda self: self.sent)
    @rule(fault=st.sampled_from(sorted(FAULTS)), data=st.data())
    def cause_fault(self, fault, data):
        index = data.draw(st.integers(0, min(5, len(self.sent) - 1)))
        FAULTS[fault](self.sim, _SentGroup(self.sim, *self.sent[-1 - index]))

    @rule(milliseconds=st.sampled_from((1, 5, 20, 100, 400, 1500, 4000)))
    def wait(self, milliseconds):
        self.sim.run_until(self.sim.now + milliseconds / 1000)

    @rule()
    def start_load(self):
        if not self.sim.has_load:
            self.sim.start_load()

    @invariant()
    def no_violation(self):
        assert not self.sim.violations, self.sim.violations[:3]

    def teardown(self):
        violations = self.sim.settle()
        assert not violations, violations[:3]


def run_machine(seed, steps, examples=MAX_EXAMPLES):
    """Run random sequences of faults.

    Parameters
    ----------
    seed : int or None
        None runs the same sequences each time.
    steps : int
        Maximum length of a sequence.
    examples : int

    Raises
    ------
    AssertionError
        If the oracle found a violation; Hypothesis prints a minimal sequence.
    """
    machine = type("SeededHolderMachine", (HolderMachine,), {})
    if seed is not None:
        machine = set_seed(seed)(machine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=seed is None,
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            phases=(Phase.generate, Phase.shrink),
            suppress_health_check=list(HealthCheck),
        ),
    )


class MachineTests(testtools.TestCase):
    """Runs the machine with fixed seeds."""

    def test_any_fault_at_any_time(self):
        """Guards against violations of the guarantees when several faults coincide.

        They are those of section 1.2 of the design page.
        """
        run_machine(seed=None, steps=STEPS)

    def test_draining_target_that_is_gained(self):
        """Guards against a new holder that sends to a draining target.

        Only the previous holder knew that the target drains.
        """
        run_machine(seed=91, steps=60, examples=100)
