"""Every fault at every step of a booking, judged by the runs that a fake counts."""

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

# Regressions are logged as warnings; here they are wanted.
logging.getLogger("tarragonchute.bookings").addHandler(logging.NullHandler())

DEADLINE_S = 0.4
PAUSE_S = 3.0
HEAL_S = 5.0
HEARTBEAT_S = 0.3
WALL_S = 1.7e9

STEPS = (
    "before claim",
    "claim sent",
    "claimed",
    "dispatched",
    "answered",
    "outcome write",
    "recorded",
)


class WatchedStore(MemoryStore):
    """Tells of each write, and can go down after a lost answer."""

    def __init__(self, hook):
        super().__init__()
        self.hook = hook
        self.delay_s = 0.002
        self.goes_down_after_loss = False
        self.used_leases = set()

    async def put(self, key, value, expect, lease=None):
        self.hook("put", value)
        if key.startswith(claims.RECORD_PREFIX):
            self.used_leases.add(lease)
        try:
            revision = await super().put(key, value, expect, lease)
        except errors.StoreOutcomeUnknownError:
            self.is_unavailable |= self.goes_down_after_loss
            raise
        self.hook("was put", value)
        return revision

    def fall_back(self):
        """Return to the empty state of the start, as from an old backup."""
        self.restore_backup(self.empty)


class Call:
    """One caller's request and what it was told; no outcome if its VM died."""

    def __init__(self, number, key, order):
        self.request_id = f"request-{number}"
        self.key = key
        self.order = order
        self.outcome = self.code = self.result = None
        self.is_late = False


class Vm:
    """The booking side of one entry VM, and its view of store and holders."""

    def __init__(self, world, vm_id, offset=0.0):
        self.world = world
        self.scope = trio.CancelScope()
        self.is_dead = False
        self.paused_until = 0.0
        self.sender = orders.BookingSender(
            self,
            world.chooser,
            Router(lambda target: f"holder-{target}", random.Random(1)),
            Budgets(),
            itertools.count(1),
        )
        self.booker = bookings.Booker(
            vm_id,
            self,
            self.sender,
            lambda: [name for name, vm in world.vms.items() if not vm.is_dead],
            lambda: WALL_S + offset + trio.current_time(),
        )

    def kill(self):
        self.is_dead = True
        self.scope.cancel()

    async def run(self):
        with self.scope:
            await self.booker.run()

    def __getattr__(self, name):
        """Return a method of the store that waits while this VM is paused."""
        method = getattr(self.world.store, name)

        async def call(*args):
            await trio.sleep_until(self.paused_until)
            answer = await method(*args)
            await trio.sleep_until(self.paused_until)
            return answer

        return call

    def send(self, vm_id, kind, body, number=0):
        group = ShardGroup.from_body(body)
        world = self.world
        world.nursery.start_soon(world.serve, self, vm_id, number, group)
        return True


class World:
    """Entry VMs, a store, two holders, and targets that count their runs."""

    def __init__(self, names=("a", "b")):
        self.store = WatchedStore(self.watch_store)
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
            self.vms[name] = Vm(self, name, offset=0.1 * number)

    # Faults and steps

    def reach(self, step):
        """Cause the fault the first time that its step comes."""
        if step == self.step:
            self.step = None
            FAULTS[self.fault](self)

    def watch_store(self, point, value):
        is_claim = '"state":"started"' in value
        if point == "put":
            self.reach("claim sent" if is_claim else "outcome write")
        else:
            self.reach("claimed" if is_claim else "recorded")

    def heal(self):
        self.store.is_unavailable = self.are_holders_dead = False
        self.store.delay_s = 0.002
        self.store.lose_answers = self.store.lose_writes = 0
        self.lose_target_answers = self.refusals = 0

    def start(self, function, *args):
        self.nursery.start_soon(function, *args)

    # Holders and targets

    async def serve(self, vm, holder, number, group):
        """Work as a holder and its target, from when the VM really sends."""
        await trio.sleep_until(vm.paused_until)
        if vm.is_dead or self.are_holders_dead:
            return
        answer = ShardAnswer(1, "draining", "not_run")
        if self.refusals:
            self.refusals -= 1
        else:
            self.reach("dispatched")
            self.runs.append((group.idempotency_key, group.request_id))
            result = [group.query, len(self.runs)]
            await trio.sleep(0.01)
            answer = ShardAnswer(1, "ok", "done", result)
            self.reach("answered")
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

    async def beat(self):
        """Exchange store revisions as the heartbeats do."""
        while True:
            live = [vm.booker for vm in self.vms.values() if not vm.is_dead]
            for one, other in itertools.permutations(live, 2):
                one.observe_peer_revision(other.heartbeat_revision)
            await trio.sleep(HEARTBEAT_S)

    async def ask(self, name, key="key", order=1):
        """Book through one VM, as a caller does."""
        vm = self.vms[name]
        call = Call(len(self.calls), key, order)
        self.calls.append(call)
        due = trio.current_time() + DEADLINE_S
        try:
            call.result = await vm.booker.book(
                "team", key, "guides", "s0", order, DEADLINE_S, call.request_id
            )
            call.outcome, call.code = "done", "ok"
        except errors.TarragonchuteError as error:
            call.outcome, call.code = str(error.outcome), error.code
        if vm.is_dead:
            call.outcome = None
        call.is_late = trio.current_time() > max(due, vm.paused_until)

    async def play(self, script):
        """Run the VMs while a script runs."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.store.empty = self.store.save_backup()
            for vm in self.vms.values():
                nursery.start_soon(vm.run)
            nursery.start_soon(self.beat)
            await trio.sleep(HEARTBEAT_S)
            await script(self)
            nursery.cancel_scope.cancel()

    def run(self, script):
        """Run a script in virtual time and check every promise."""
        run_in_virtual_time(self.play, script)
        self.check()

    # Oracles

    def check(self):
        """Compare what callers were told with the runs that were counted."""
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
            raise Violation(f"{call.request_id} ran and was told not_run ({call.code})")
        if call.outcome == "done" and call.result != [call.order, *numbers]:
            raise Violation(f"{call.request_id} was told a result of no run")
        if call.outcome not in (None, "done", "not_run", "unknown"):
            raise Violation(f"{call.request_id} was told {call.outcome}")
        if call.is_late:
            raise Violation(f"{call.request_id} was answered after its deadline")
        if call.outcome is not None and not call.code:
            raise Violation(f"{call.request_id} has an outcome without a code")


FAULTS = {
    "none": lambda world: None,
    "entry killed": lambda world: world.vms["a"].kill(),
    "store down": lambda world: setattr(world.store, "is_unavailable", True),
    "store slow": lambda world: setattr(world.store, "delay_s", 1.0),
    "answer to a write lost": lambda world: setattr(world.store, "lose_answers", 1),
    "write lost": lambda world: setattr(world.store, "lose_writes", 1),
    "answer lost, then store down": lambda world: (
        setattr(world.store, "lose_answers", 1),
        setattr(world.store, "goes_down_after_loss", True),
    ),
    "store falls back": lambda world: world.store.fall_back(),
    "holders lost": lambda world: world.start(world.lose_holders),
    "target answer lost": lambda world: setattr(world, "lose_target_answers", 1),
    "one target refuses": lambda world: setattr(world, "refusals", 1),
    "both targets refuse": lambda world: setattr(world, "refusals", 2),
    "same key through two VMs": lambda world: world.start(world.ask, "b"),
    "write lost, same key through another VM": lambda world: (
        setattr(world.store, "lose_writes", 1),
        world.start(world.ask, "b"),
    ),
    "same key, other body": lambda world: world.start(world.ask, "b", "key", 2),
    "resend after death": lambda world: (
        world.vms["a"].kill(),
        world.start(world.ask, "b"),
    ),
    "pause": lambda world: setattr(
        world.vms["a"], "paused_until", trio.current_time() + PAUSE_S
    ),
    "pause and resend": lambda world: (
        FAULTS["pause"](world),
        world.start(world.ask, "b"),
    ),
}


async def book_and_resend(world):
    """Book, let the fault pass, and book the same key again until it settles."""
    world.reach("before claim")
    world.start(world.ask, "a")
    await trio.sleep(HEAL_S)
    world.heal()
    for name in ("b", "b", "a"):
        await trio.sleep(HEAL_S)
        if not world.vms[name].is_dead:
            await world.ask(name)


def check_last(world):
    """Check that a key is done at last, unless a claim of it may be orphaned."""
    told = [call.outcome for call in world.calls[:-1]]
    last = world.calls[-1]
    orders = {call.order for call in world.calls if call.outcome == "done"}
    is_settled = "done" in told or not {None, "unknown"} & set(told)
    expected = "done" if last.order in orders else "not_run"
    if is_settled and last.outcome != expected:
        raise Violation(f"told {told}, but at last {last.outcome} ({last.code})")


def play(fault, step):
    """Run one cell of the matrix and raise `Violation` if a promise broke."""
    world = World()
    world.fault, world.step = fault, step
    try:
        world.run(book_and_resend)
        check_last(world)
    except Violation as violation:
        raise Violation(f"{fault} at {step}: {violation}") from None
    return world


class BookingFaultTests(testtools.TestCase):
    """The matrix of faults and steps."""

    def test_every_fault_at_every_step(self):
        """Guards against a second run and an untrue outcome under any fault."""
        unreached = set(STEPS)
        for fault, step in itertools.product(FAULTS, STEPS):
            world = play(fault, step)
            if world.step is None:
                unreached.discard(step)
        self.assertEqual(set(), unreached)


async def dispatch_unclaimed(self, booking, expect):
    """Return a claim that was never made in the store."""
    booking.claim_id = "unclaimed"
    due = self._wall_clock() + DEADLINE_S
    record = claims.Record("started", "unclaimed", "", booking.digest, due)
    return record, 0


async def try_and_forget(self, *args):
    """Take an unknown outcome for one that did not run."""
    result = await REAL_TRY(self, *args)
    if result.outcome == "unknown":
        result.outcome = "not_run"
    return result


def replace_any(entry, record):
    """Let a late outcome replace whatever is in the store."""
    if entry is None:
        return 0
    found = claims.Record.from_text(entry.value)
    is_same = (found.claim_id, found.state) == (record.claim_id, record.state)
    return None if is_same else entry.revision


async def restore_nothing(self, record_key):
    """Skip a claim that the store has lost."""


REAL_TRY = orders.BookingSender._send_to_replica

TWO_VMS = ("same key through two VMs", "dispatched")
FALL_BACK = ("store falls back", "recorded")
LATE_WRITE = ("write lost, same key through another VM", "claim sent")

MECHANISMS = (
    (bookings.Booker, "_claim", dispatch_unclaimed, TWO_VMS),
    (bookings.Booker, "_is_own_claim", lambda *args: True, TWO_VMS),
    (
        orders.BookingSender,
        "_send_to_replica",
        try_and_forget,
        ("holders lost", "dispatched"),
    ),
    (bookings, "_choose_expected", replace_any, LATE_WRITE),
    (bookings.Booker, "_observe", lambda *args: True, FALL_BACK),
    (bookings.Booker, "_restore_claim", restore_nothing, FALL_BACK),
)


class MechanismTests(testtools.TestCase):
    """The oracles see each mechanism's absence."""

    def test_key_runs_twice_without_each_mechanism(self):
        """Guards against oracles that would pass whatever the code does."""
        for owner, attribute, broken, cell in MECHANISMS:
            play(*cell)
            with mock.patch.object(owner, attribute, broken):
                violation = self.assertRaises(Violation, play, *cell)
            self.assertIn("ran 2 times", str(violation), attribute)
