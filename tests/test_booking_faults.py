"""Fault matrix of bookings: every fault at every step, checked by counted runs."""

import itertools
import logging
import random
from unittest import mock

import testtools
import trio

from tarragonchute import bookings, claims, errors, orders
from tarragonchute.budgets import Budgets
from tarragonchute.messages import ShardAnswer, ShardAnswers, ShardGroup
from tarragonchute.routing import Router
from tarragonchute.snapshots import SnapshotChooser
from tarragonchute.store import MemoryStore
from tests.test_search_faults import Violation, run_in_virtual_time

# Regressions are logged as warnings; these tests cause them on purpose.
logging.getLogger("tarragonchute.bookings").addHandler(logging.NullHandler())

DEADLINE_S = 0.4
PAUSE_S = 3.0
RECOVERY_S = 5.0
HEARTBEAT_S = 0.3
START_UNIX_S = 1.7e9

STEPS = (
    "before claim",
    "claim sent",
    "claimed",
    "dispatched",
    "answered",
    "outcome write",
    "recorded",
)


class ObservedStore(MemoryStore):
    """Reports each write, and can become unavailable after a lost response."""

    def __init__(self, on_write):
        super().__init__()
        self.on_write = on_write
        self.delay_s = 0.002
        self.goes_down_after_loss = False
        self.used_leases = set()

    async def put(self, key, value, expect, lease=None):
        self.on_write("put", value)
        if key.startswith(claims.RECORD_PREFIX):
            self.used_leases.add(lease)
        try:
            revision = await super().put(key, value, expect, lease)
        except errors.StoreOutcomeUnknownError:
            self.is_unavailable |= self.goes_down_after_loss
            raise
        self.on_write("was put", value)
        return revision

    def lose_all_writes(self):
        """Return to the initial, empty state, as after a restore from an old backup."""
        self.restore_backup(self.empty)


class BookingCall:
    """One caller's request and the response to it; no outcome if its VM died."""

    def __init__(self, number, key, order):
        self.request_id = f"request-{number}"
        self.key = key
        self.order = order
        self.outcome = self.code = self.result = None
        self.is_late = False


class SimulatedVm:
    """Bookings of one entry VM, and its connections to the store and the holders."""

    def __init__(self, sim, vm_id, clock_offset_s=0.0):
        self.sim = sim
        self.scope = trio.CancelScope()
        self.is_dead = False
        self.paused_until = 0.0
        self.sender = orders.BookingSender(
            self,
            sim.chooser,
            Router(lambda target: f"holder-{target}", random.Random(1)),
            Budgets(),
            itertools.count(1),
        )
        self.booker = bookings.Booker(
            vm_id,
            self,
            self.sender,
            lambda: [name for name, vm in sim.vms.items() if not vm.is_dead],
            lambda: START_UNIX_S + clock_offset_s + trio.current_time(),
        )

    def kill(self):
        self.is_dead = True
        self.scope.cancel()

    async def run(self):
        with self.scope:
            await self.booker.run()

    def __getattr__(self, name):
        """Return a method of the store that waits while this VM is paused."""
        method = getattr(self.sim.store, name)

        async def call(*args):
            await trio.sleep_until(self.paused_until)
            answer = await method(*args)
            await trio.sleep_until(self.paused_until)
            return answer

        return call

    def send(self, vm_id, kind, body, number=0):
        group = ShardGroup.from_body(body)
        sim = self.sim
        sim.nursery.start_soon(sim.serve_group, self, vm_id, number, group)
        return True


class BookingSimulation:
    """Entry VMs, a store, two holders, and targets that count their runs."""

    def __init__(self, names=("a", "b")):
        self.store = ObservedStore(self.handle_store_write)
        self.chooser = SnapshotChooser()
        self.chooser.set_layouts("guides", {"v1": {"s0": ["t0", "t1"]}})
        self.runs = []
        self.calls = []
        self.are_holders_dead = False
        self.lose_target_answers = 0
        self.refusals = 0
        self.fault = self.step = None
        self.vms = {}
        for number, name in enumerate(names):
            self.vms[name] = SimulatedVm(self, name, clock_offset_s=0.1 * number)

    # Faults and steps

    def reach_step(self, step):
        """Inject the fault when its step is reached for the first time."""
        if step == self.step:
            self.step = None
            FAULTS[self.fault](self)

    def handle_store_write(self, point, value):
        is_claim = '"state":"started"' in value
        if point == "put":
            self.reach_step("claim sent" if is_claim else "outcome write")
        else:
            self.reach_step("claimed" if is_claim else "recorded")

    def clear_faults(self):
        self.store.is_unavailable = self.are_holders_dead = False
        self.store.delay_s = 0.002
        self.store.lose_answers = self.store.lose_writes = 0
        self.lose_target_answers = self.refusals = 0

    def start(self, function, *args):
        self.nursery.start_soon(function, *args)

    # Holders and targets

    async def serve_group(self, vm, holder, number, group):
        """Act as a holder and its target, once the sending VM is not paused."""
        await trio.sleep_until(vm.paused_until)
        if vm.is_dead or self.are_holders_dead:
            return
        answer = ShardAnswer(1, "draining", "not_run")
        if self.refusals:
            self.refusals -= 1
        else:
            self.reach_step("dispatched")
            self.runs.append((group.idempotency_key, group.request_id))
            result = [group.query, len(self.runs)]
            await trio.sleep(0.01)
            answer = ShardAnswer(1, "ok", "done", result)
            self.reach_step("answered")
        if self.lose_target_answers:
            self.lose_target_answers -= 1
        elif not vm.is_dead and not self.are_holders_dead:
            message = ShardAnswers(group.request_id, [answer, answer])
            vm.sender.handle_answers(holder, number, message)

    async def lose_holders(self):
        self.are_holders_dead = True
        await trio.sleep(0.1)
        self.are_holders_dead = False
        for vm in self.vms.values():
            for holder in ("holder-t0", "holder-t1"):
                vm.sender.handle_holder_lost(holder)

    # Entry VMs and callers

    async def exchange_heartbeats(self):
        """Exchange store revisions between the VMs as heartbeats do."""
        while True:
            live = [vm.booker for vm in self.vms.values() if not vm.is_dead]
            for vm_booker, peer_booker in itertools.permutations(live, 2):
                vm_booker.observe_peer_revision(peer_booker.heartbeat_revision)
            await trio.sleep(HEARTBEAT_S)

    async def submit_booking(self, name, key="key", order=1):
        """Submit a booking to one VM and record the response to its caller."""
        vm = self.vms[name]
        call = BookingCall(len(self.calls), key, order)
        self.calls.append(call)
        deadline = trio.current_time() + DEADLINE_S
        try:
            call.result = await vm.booker.book(
                "team", key, "guides", "s0", order, DEADLINE_S, call.request_id
            )
            call.outcome, call.code = "done", "ok"
        except errors.TarragonchuteError as error:
            call.outcome, call.code = str(error.outcome), error.code
        if vm.is_dead:
            call.outcome = None
        call.is_late = trio.current_time() > max(deadline, vm.paused_until)

    async def run_script(self, script):
        """Run the VMs and their heartbeats until a script has ended."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.store.empty = self.store.save_backup()
            for vm in self.vms.values():
                nursery.start_soon(vm.run)
            nursery.start_soon(self.exchange_heartbeats)
            await trio.sleep(HEARTBEAT_S)
            await script(self)
            nursery.cancel_scope.cancel()

    def run(self, script):
        """Run a script in virtual time and check the invariants."""
        run_in_virtual_time(self.run_script, script)
        self.check()

    # Invariants

    def check(self):
        """Compare the responses to callers with the runs that the targets counted."""
        for key in {call.key for call in self.calls}:
            count = sum(1 for run_key, _ in self.runs if run_key == key)
            if count > 1:
                raise Violation(f"{key} ran {count} times")
        for call in self.calls:
            self.check_call(call)

    def check_call(self, call):
        numbers = [n for n, run in enumerate(self.runs, 1) if run[0] == call.key]
        owners = [request_id for _, request_id in self.runs]
        if call.outcome == "not_run" and call.request_id in owners:
            raise Violation(
                f"{call.request_id} ran, but its caller received not_run ({call.code})"
            )
        if call.outcome == "done" and call.result != [call.order, *numbers]:
            raise Violation(f"{call.request_id} received a result that no run returned")
        if call.outcome not in (None, "done", "not_run", "unknown"):
            raise Violation(f"{call.request_id} received the outcome {call.outcome}")
        if call.is_late:
            raise Violation(f"{call.request_id} was answered after its deadline")
        if call.outcome is not None and not call.code:
            raise Violation(f"{call.request_id} has an outcome without a code")


FAULTS = {
    "none": lambda sim: None,
    "entry VM killed": lambda sim: sim.vms["a"].kill(),
    "store down": lambda sim: setattr(sim.store, "is_unavailable", True),
    "store slow": lambda sim: setattr(sim.store, "delay_s", 1.0),
    "response to a write lost": lambda sim: setattr(sim.store, "lose_answers", 1),
    "write lost": lambda sim: setattr(sim.store, "lose_writes", 1),
    "response lost, then store down": lambda sim: (
        setattr(sim.store, "lose_answers", 1),
        setattr(sim.store, "goes_down_after_loss", True),
    ),
    "store loses all writes": lambda sim: sim.store.lose_all_writes(),
    "holders lost": lambda sim: sim.start(sim.lose_holders),
    "target answer lost": lambda sim: setattr(sim, "lose_target_answers", 1),
    "one target refuses": lambda sim: setattr(sim, "refusals", 1),
    "both targets refuse": lambda sim: setattr(sim, "refusals", 2),
    "same key through two VMs": lambda sim: sim.start(sim.submit_booking, "b"),
    "write lost, same key through another VM": lambda sim: (
        setattr(sim.store, "lose_writes", 1),
        sim.start(sim.submit_booking, "b"),
    ),
    "same key, other body": lambda sim: sim.start(sim.submit_booking, "b", "key", 2),
    "resend after the VM was killed": lambda sim: (
        sim.vms["a"].kill(),
        sim.start(sim.submit_booking, "b"),
    ),
    "pause": lambda sim: setattr(
        sim.vms["a"], "paused_until", trio.current_time() + PAUSE_S
    ),
    "pause and resend": lambda sim: (
        FAULTS["pause"](sim),
        sim.start(sim.submit_booking, "b"),
    ),
}


async def book_and_resend(sim):
    """Book, clear the fault, and resend the same key through both VMs."""
    sim.reach_step("before claim")
    sim.start(sim.submit_booking, "a")
    await trio.sleep(RECOVERY_S)
    sim.clear_faults()
    for name in ("b", "b", "a"):
        await trio.sleep(RECOVERY_S)
        if not sim.vms[name].is_dead:
            await sim.submit_booking(name)


def check_final_outcome(sim):
    """Check that the last resend got the outcome, unless a claim may be orphaned."""
    outcomes = [call.outcome for call in sim.calls[:-1]]
    final_call = sim.calls[-1]
    orders = {call.order for call in sim.calls if call.outcome == "done"}
    is_settled = "done" in outcomes or not {None, "unknown"} & set(outcomes)
    expected = "done" if final_call.order in orders else "not_run"
    if is_settled and final_call.outcome != expected:
        raise Violation(
            f"{outcomes} were followed by {final_call.outcome} ({final_call.code})"
        )


def run_case(fault, step):
    """Run one fault at one step; raise `Violation` if an invariant is broken."""
    sim = BookingSimulation()
    sim.fault, sim.step = fault, step
    try:
        sim.run(book_and_resend)
        check_final_outcome(sim)
    except Violation as violation:
        raise Violation(f"{fault} at {step}: {violation}") from None
    return sim


class BookingFaultTests(testtools.TestCase):
    """All faults at all steps."""

    def test_every_fault_at_every_step(self):
        """Guards against a second run and a wrong outcome under any fault.

        The fault comes at one step of a booking. Afterwards the caller sends the
        same key again, through the other VM and through the first.
        """
        unreached = set(STEPS)
        for fault, step in itertools.product(FAULTS, STEPS):
            sim = run_case(fault, step)
            if sim.step is None:
                unreached.discard(step)
        self.assertEqual(set(), unreached)


async def skip_claim(self, booking, expect):
    """Return a claim without writing it to the store."""
    booking.claim_id = "unclaimed"
    deadline = self._wall_clock() + DEADLINE_S
    record = claims.ClaimRecord("started", "unclaimed", "", booking.digest, deadline)
    return record, 0


async def report_unknown_as_not_run(self, *args):
    """Report an unknown outcome as not run."""
    result = await REAL_SEND_TO_REPLICA(self, *args)
    if result.outcome == "unknown":
        result.outcome = "not_run"
    return result


def replace_any_record(entry, record):
    """Let a pending record replace whatever is in the store."""
    if entry is None:
        return 0
    found = claims.ClaimRecord.from_text(entry.value)
    is_same = (found.claim_id, found.state) == (record.claim_id, record.state)
    return None if is_same else entry.revision


async def skip_restore(self, record_key):
    """Leave a claim that the store lost without a record."""


REAL_SEND_TO_REPLICA = orders.BookingSender._send_to_replica

SAME_KEY_TWO_VMS = ("same key through two VMs", "dispatched")
STORE_REGRESSION = ("store loses all writes", "recorded")
LATE_CLAIM_WRITE = ("write lost, same key through another VM", "claim sent")

SAFEGUARDS = (
    (bookings.Booker, "_claim", skip_claim, SAME_KEY_TWO_VMS),
    (bookings.Booker, "_is_own_claim", lambda *args: True, SAME_KEY_TWO_VMS),
    (
        orders.BookingSender,
        "_send_to_replica",
        report_unknown_as_not_run,
        ("holders lost", "dispatched"),
    ),
    (bookings, "_choose_expected", replace_any_record, LATE_CLAIM_WRITE),
    (bookings.Booker, "_observe", lambda *args: True, STORE_REGRESSION),
    (bookings.Booker, "_restore_claim", skip_restore, STORE_REGRESSION),
)


class SafeguardTests(testtools.TestCase):
    """The invariants detect the absence of each safeguard."""

    def test_key_runs_twice_without_each_safeguard(self):
        """Guards against invariants that hold whatever the code does.

        With one safeguard replaced, its case must show a second run.
        """
        for owner, attribute, replacement, fault_and_step in SAFEGUARDS:
            run_case(*fault_and_step)
            with mock.patch.object(owner, attribute, replacement):
                violation = self.assertRaises(Violation, run_case, *fault_and_step)
            self.assertIn("ran 2 times", str(violation), attribute)
