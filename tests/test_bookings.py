"""Tests of the parts of a booking; faults are in `test_booking_faults`."""

from unittest import mock

import testtools
import trio

from tarragonchute import bookings, claims
from tests.test_booking_faults import HEAL_S, HEARTBEAT_S, World


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
            entry = await world.store.get(f"{claims.RECORD_PREFIX}team/key")
            record = claims.Record.from_text(entry.value)
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
        booker._lost_revision, booker._restored_revision = None, 200
        for revision in (190, 200, -200):
            booker.observe_peer_revision(revision)
            self.assertEqual(150, booker.heartbeat_revision, revision)
        booker.observe_peer_revision(-201)
        self.assertEqual(-201, booker.heartbeat_revision)
