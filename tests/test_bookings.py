"""Tests of the parts of a booking; faults are in `test_booking_faults`."""

import itertools
import random
from unittest import mock

import testtools
import trio

from tarragonchute import bookings, errors
from tarragonchute.budgets import Budgets
from tarragonchute.messages import ShardAnswer, ShardAnswers
from tarragonchute.routing import Router
from tarragonchute.snapshots import SnapshotChooser
from tests.test_booking_faults import HEAL_S, HEARTBEAT_S, World, run_in_virtual_time


class RecordTests(testtools.TestCase):
    """Records, keys and digests."""

    def test_round_trip_and_garbage(self):
        """Guards against a record that cannot be read back after a VM's death."""
        record = bookings.Record("done", "claim", "vm", "digest", 1.5, {"seat": 1})
        again = bookings.Record.from_text(record.to_text())
        self.assertEqual(record.to_text(), again.to_text())
        for text in ("", "[]", "{}", '{"state": "done"}', "1"):
            self.assertRaises(errors.ProtocolError, bookings.Record.from_text, text)

    def test_different_requests_have_different_keys_and_digests(self):
        """Guards against one caller's outcome told to another."""
        orders = [
            bookings.BookingOrder("id", *fields)
            for fields in itertools.product(
                ("a", "b"), ("k", "k/l", "k%2Fl"), ("d", "e"), ("s", "t"), (1, "1")
            )
        ]
        self.assertEqual(6, len({order.record_key() for order in orders}))
        self.assertEqual(8, len({order.digest() for order in orders}))

    def test_digest_ignores_the_order_of_fields(self):
        """Guards against a conflict for the same order, serialized otherwise."""
        digests = {
            bookings.BookingOrder("id", "t", "k", "d", "s", order).digest()
            for order in ({"a": 1, "b": 2}, {"b": 2, "a": 1})
        }
        self.assertEqual(1, len(digests))

    def test_errors_carry_outcome_and_code(self):
        """Guards against an outcome without a code, or a wrong outcome."""
        for outcome, code in (
            ("not_run", "shedding"),
            ("not_run", "overloaded"),
            ("unknown", "connection_lost"),
            ("unknown", "overloaded"),
        ):
            error = bookings.DispatchResult(outcome, code).to_error()
            self.assertEqual((outcome, code), (str(error.outcome), error.code))


class WriteBudgetTests(testtools.TestCase):
    """The share of the store's writes."""

    def test_members_share_135_bookings_a_second(self):
        """Guards against bookings that starve views and settings of writes."""
        for members in (1, 3, 9, 270, 1600):
            budget = bookings.WriteBudget(lambda members=members: members)
            while budget.try_spend(2, 0.0):
                pass
            spent = sum(budget.try_spend(2, step / 1000) for step in range(10_000))
            self.assertAlmostEqual(135 * 10 / members, spent, delta=1)


class BookerTests(testtools.TestCase):
    """Claims, memory and late writes in one VM."""

    def book(self, script):
        """Run a script in a world with the VMs a and b."""
        world = World()
        world.run(script)
        return world

    def test_busy_store_refuses_before_anything_runs(self):
        """Guards against a store overloaded by bookings."""

        async def script(world):
            for number in range(200):
                world.start(world.ask, "a", f"key-{number}")
            await trio.sleep(1.0)

        world = self.book(script)
        codes = [call.code for call in world.calls]
        self.assertEqual({"ok", "store_busy"}, set(codes))
        self.assertAlmostEqual(67, codes.count("ok"), delta=2)
        self.assertEqual(codes.count("ok"), len(world.runs))

    def test_group_carries_the_time_limit_of_its_claim(self):
        """Guards against a late group that runs after its record reads unknown."""
        limits = []

        async def script(world):
            serve = world.serve

            def watch(vm, holder, number, group):
                limits.append(group.dispatch_before)
                return serve(vm, holder, number, group)

            world.serve = watch
            await world.ask("a")
            entry = await world.store.get(f"{bookings.PREFIX}team/key")
            record = bookings.Record.from_text(entry.value)
            self.assertEqual([record.dispatch_before], limits)

        self.book(script)

    def test_same_key_at_once_in_one_vm_runs_once(self):
        """Guards against a double order by an impatient caller."""

        async def script(world):
            for _ in range(5):
                world.start(world.ask, "a")
            await trio.sleep(1.0)

        world = self.book(script)
        self.assertEqual(["done"] * 5, [call.outcome for call in world.calls])

    def test_own_outcome_is_known_while_the_store_is_down(self):
        """Guards against "not run" for a key that this VM has run."""

        async def script(world):
            await world.ask("a")
            world.store.is_unavailable = True
            await world.ask("a")
            await world.ask("b")

        calls = self.book(script).calls
        self.assertEqual(["done", "done", "not_run"], [c.outcome for c in calls])

    def test_late_writes_are_few_while_the_store_is_down(self):
        """Guards against calls that keep a failing store from recovering."""

        async def script(world):
            world.start(world.ask, "a")
            await trio.sleep(0.012)
            world.store.is_unavailable = True
            await trio.sleep(0.4)
            self.assertEqual(1, world.vms["a"].booker.pending_writes)
            before = sum(world.store.calls.values())
            await trio.sleep(10.0)
            self.assertLessEqual(sum(world.store.calls.values()) - before, 100)
            world.heal()
            await trio.sleep(1.0)
            self.assertEqual(0, world.vms["a"].booker.pending_writes)
            await world.ask("b")

        self.assertEqual(["done"] * 2, [c.outcome for c in self.book(script).calls])

    def test_one_lease_serves_an_hour(self):
        """Guards against a lease for each booking, and records without one."""

        async def script(world):
            for _ in range(3):
                for number in range(5):
                    await world.ask("a", f"{trio.current_time()}-{number}")
                await trio.sleep(6.0)

        with mock.patch.object(bookings, "LEASE_SHARED_S", 10.0):
            store = self.book(script).store
        self.assertEqual(2, store.calls["grant_lease"])
        self.assertEqual({"lease-1", "lease-2"}, store.used_leases)

    def test_keys_are_checked(self):
        """Guards against records without a key, or beyond the store's limits."""

        async def script(world):
            for key in ("", "x" * (bookings.MAX_KEY_LENGTH + 1)):
                await world.ask("a", key)

        codes = [call.code for call in self.book(script).calls]
        self.assertEqual(["key_required", "bad_request"], codes)

    def test_result_beyond_the_size_of_a_record_blocks_no_other(self):
        """Guards against outcomes stuck behind one that cannot be written."""

        async def script(world):
            await world.ask("a", "large", "x" * 1_100_000)
            await world.ask("a", "small")
            await trio.sleep(1.0)
            self.assertEqual(0, world.vms["a"].booker.pending_writes)
            await world.ask("b", "large", "x" * 1_100_000)
            await world.ask("b", "small")

        outcomes = [call.outcome for call in self.book(script).calls]
        self.assertEqual(["done", "done", "unknown", "done"], outcomes)

    def test_record_that_goes_while_waiting_reads_as_unknown(self):
        """Guards against a new claim of a key that another VM may be running."""

        async def script(world):
            world.lose_target_answers = 1
            world.start(world.ask, "a")
            await trio.sleep(0.1)
            world.start(world.ask, "b")
            await trio.sleep(0.1)
            world.store.expire_leases()
            await trio.sleep(0.1)

        world = self.book(script)
        self.assertEqual("unknown", world.calls[1].outcome)

    def test_memory_of_claims_is_bounded(self):
        """Guards against a VM that runs out of memory over a day."""
        memory = bookings._ClaimMemory()
        for number in range(bookings.REMEMBERED_CLAIMS + 5):
            record = bookings.Record("done", "c", "vm", "digest", 0.0, "x" * 4000)
            memory.put(str(number), bookings._Claim(record, 0.0), 0.0)
        self.assertLessEqual(memory._bytes, bookings.REMEMBERED_BYTES)
        self.assertIsNone(memory.get("0"))
        memory.put("new", bookings._Claim(record, 1e6), 1e6)
        self.assertEqual(["new"], memory.keys())


class RegressionTests(testtools.TestCase):
    """What a VM does when the store falls back."""

    def test_second_fallback_is_noticed_too(self):
        """Guards against marks of an old fallback that end a new one."""

        async def script(world):
            for key in ("k1", "k2"):
                await world.ask("a", key)
                await trio.sleep(HEARTBEAT_S)
                world.store.fall_back()
                await world.ask("b", key)
                await trio.sleep(HEAL_S)
                await world.ask("b", key)

        world = World()
        world.run(script)
        codes = [call.code for call in world.calls]
        self.assertEqual(["ok", "store_regressed", "ok"] * 2, codes)

    def test_garbage_in_the_store_blocks_only_its_own_key(self):
        """Guards against bookings refused for ever because of one bad record."""

        async def script(world):
            await world.ask("a")
            await trio.sleep(HEARTBEAT_S)
            world.store.fall_back()
            await world.store.put("operations/team/key", "garbage", 0)
            for key in ("other", "other", "key"):
                await world.ask("b", key)
                await trio.sleep(HEAL_S)

        world = World()
        world.run(script)
        codes = [call.code for call in world.calls]
        self.assertEqual(["ok", "store_regressed", "ok", "protocol_error"], codes)
        self.assertEqual("unknown", world.calls[-1].outcome)

    def test_bookings_wait_for_every_member(self):
        """Guards against a claim that a slow member has not restored yet."""

        async def script(world):
            await world.ask("a")
            await trio.sleep(HEARTBEAT_S)
            world.vms["a"].paused_until = trio.current_time() + HEAL_S
            world.store.fall_back()
            for _ in range(3):
                await world.ask("b")
                await trio.sleep(1.0)
            await trio.sleep(HEAL_S)
            await world.ask("b")

        world = World()
        world.run(script)
        codes = [call.code for call in world.calls[1:]]
        self.assertEqual(["store_regressed"] * 3 + ["ok"], codes)

    def test_late_revisions_of_others_cause_no_new_fallback(self):
        """Guards against bookings refused for ever after one fallback."""
        booker = World().vms["a"].booker
        booker.observe_store_revision(200, 0)
        booker.observe_store_revision(150, 200)
        self.assertEqual((-200, True), (booker.heartbeat_revision, booker.is_regressed))
        booker._lost, booker._settled = None, 200
        for revision in (190, 200, -200):
            booker.observe_peer_revision(revision)
            self.assertEqual(150, booker.heartbeat_revision, revision)
        booker.observe_peer_revision(-201)
        self.assertEqual(-201, booker.heartbeat_revision)


SENDS = (
    # answers of the first and the second target, and what is told
    ([("draining", "not_run"), ("ok", "done")], ("done", "ok")),
    ([("overloaded", "not_run"), ("ok", "done")], ("done", "ok")),
    ([("timed_out", "unknown")], ("unknown", "timed_out")),
    ([("connection_lost", "unknown")], ("unknown", "connection_lost")),
    ([("draining", "not_run")] * 2, ("not_run", "draining")),
    ([("version_missing", "not_run")] * 2, ("not_run", "version_missing")),
    ([None], ("unknown", "outcome_unknown")),
    ([False, ("ok", "done")], ("done", "ok")),
    # Four rounds over both replicas fit into the time for retries.
    ([False] * 8, ("not_run", "not_sent")),
    ([("not_holder", "not_run")] * 2 + [("ok", "done")], ("done", "ok")),
    ([("not_holder", "not_run")] * 2 + [None], ("unknown", "outcome_unknown")),
)


class BookingSenderTests(testtools.TestCase):
    """Sending an order to one replica after the other."""

    def send_order(self, script, shard="s0"):
        """Send an order; each target takes its answer from the script."""
        chooser = SnapshotChooser()
        chooser.set_layouts("guides", {"v1": {"s0": ["t0", "t1"]}})
        numbers = itertools.count(1)
        self.sent = 0

        def send(vm_id, kind, body, number=0):
            answer = script[self.sent]
            self.sent += 1
            if answer:
                # A foreign, a wrong and a late answer must all be ignored.
                good = ShardAnswer(1, *answer)
                bad = ShardAnswer(1, "ok", "done", "foreign")
                wrong = ShardAnswer(2, "ok", "done", "wrong attempt")
                sender.handle_answers(vm_id, number, ShardAnswers("other", [bad]))
                sender.handle_answers("vm9", number, ShardAnswers("id", [bad]))
                sender.handle_answers(vm_id, number, ShardAnswers("id", [wrong, good]))
                sender.handle_answers(vm_id, number, ShardAnswers("id", [bad]))
            return answer is not False

        self.send = send
        router = Router(lambda target: f"vm-{target}", random.Random(1))
        sender = bookings.BookingSender(self, chooser, router, Budgets(), numbers)
        order = bookings.BookingOrder("id", "team", "key", "guides", shard, 1)

        async def dispatch():
            return await sender(order, trio.current_time() + 0.1)

        return run_in_virtual_time(dispatch)

    def test_second_replica_only_after_a_proof_that_the_first_did_not_run(self):
        """Guards against an order that runs on both replicas."""
        for script, expected in SENDS:
            result = self.send_order(script)
            self.assertEqual(expected, (str(result.outcome), result.code), script)
            self.assertEqual(len(script), self.sent, script)
            self.assertIsNone(result.result, script)

    def test_order_between_two_holders_waits_for_the_hand_over(self):
        """Guards against a refusal while a view is being adopted."""
        refusal = ("no_lease", "not_run")
        result = self.send_order([refusal] * 6 + [("ok", "done")])
        self.assertEqual(errors.Outcome.DONE, result.outcome)

    def test_unknown_shard_is_not_run(self):
        """Guards against an order that waits for a shard that does not exist."""
        result = self.send_order([], shard="s9")
        self.assertEqual(("not_run", "shard_unknown"), (result.outcome, result.code))
