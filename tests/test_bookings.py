"""Tests of single properties of `Booker`; `test_booking_faults` has the matrix."""

from unittest import mock

import testtools
import trio

from tarragonchute import bookings, claims
from tests.test_booking_faults import HEARTBEAT_S, RECOVERY_S, BookingSimulation


class BookerTests(testtools.TestCase):
    """Claims, cached claims and pending writes."""

    def book(self, script):
        """Run a script in a simulation with the VMs a and b."""
        sim = BookingSimulation()
        sim.run(script)
        return sim

    def test_bookings_over_the_write_budget_do_not_run(self):
        """Guards against overloading the store by a burst of bookings.

        Two VMs share 135 bookings/s, so each admits 67 at once and refuses the
        rest before dispatch.
        """

        async def script(sim):
            for number in range(200):
                sim.start(sim.submit_booking, "a", f"key-{number}")
            await trio.sleep(1.0)

        sim = self.book(script)
        codes = [call.code for call in sim.calls]
        self.assertEqual({"ok", "store_busy"}, set(codes))
        self.assertAlmostEqual(67, codes.count("ok"), delta=2)
        self.assertEqual(codes.count("ok"), len(sim.runs))

    def test_group_carries_the_time_limit_of_its_claim(self):
        """Guards against a delayed order that runs after its outcome counts as unknown.

        The group must carry the time limit of the claim record to the target.
        """
        limits = []

        async def script(sim):
            serve_group = sim.serve_group

            def watch(vm, holder, number, group):
                limits.append(group.dispatch_before)
                return serve_group(vm, holder, number, group)

            sim.serve_group = watch
            await sim.submit_booking("a")
            entry = await sim.store.get(f"{claims.RECORD_PREFIX}team/key")
            record = claims.ClaimRecord.from_text(entry.value)
            self.assertEqual([record.dispatch_before], limits)

        self.book(script)

    def test_same_key_at_once_in_one_vm_runs_once(self):
        """Guards against a second run if a caller repeats a pending request."""

        async def script(sim):
            for _ in range(5):
                sim.start(sim.submit_booking, "a")
            await trio.sleep(1.0)

        sim = self.book(script)
        self.assertEqual(["done"] * 5, [call.outcome for call in sim.calls])

    def test_own_outcome_is_known_while_the_store_is_down(self):
        """Guards against "not run" for a key that this VM has run.

        With the store down, only the VM that made the claim knows the outcome.
        """

        async def script(sim):
            await sim.submit_booking("a")
            sim.store.is_unavailable = True
            await sim.submit_booking("a")
            await sim.submit_booking("b")

        calls = self.book(script).calls
        self.assertEqual(["done", "done", "not_run"], [c.outcome for c in calls])

    def test_pending_writes_are_paced_while_the_store_is_down(self):
        """Guards against retries that keep a failing store from recovering."""

        async def script(sim):
            sim.start(sim.submit_booking, "a")
            await trio.sleep(0.012)
            sim.store.is_unavailable = True
            await trio.sleep(0.4)
            self.assertEqual(1, sim.vms["a"].booker.pending_writes)
            before = sum(sim.store.calls.values())
            await trio.sleep(10.0)
            self.assertLessEqual(sum(sim.store.calls.values()) - before, 100)
            sim.clear_faults()
            await trio.sleep(1.0)
            self.assertEqual(0, sim.vms["a"].booker.pending_writes)
            await sim.submit_booking("b")

        self.assertEqual(["done"] * 2, [c.outcome for c in self.book(script).calls])

    def test_records_share_a_lease(self):
        """Guards against a store lease per booking, and against records without one."""

        async def script(sim):
            for _ in range(3):
                for number in range(5):
                    await sim.submit_booking("a", f"{trio.current_time()}-{number}")
                await trio.sleep(6.0)

        with mock.patch.object(bookings, "LEASE_SHARED_S", 10.0):
            store = self.book(script).store
        self.assertEqual(2, store.calls["grant_lease"])
        self.assertEqual({"lease-1", "lease-2"}, store.used_leases)

    def test_missing_and_long_keys_are_refused(self):
        """Guards against records without a key, and store keys that are too long."""

        async def script(sim):
            for key in ("", "x" * (bookings.MAX_KEY_LENGTH + 1)):
                await sim.submit_booking("a", key)

        codes = [call.code for call in self.book(script).calls]
        self.assertEqual(["key_required", "bad_request"], codes)

    def test_oversized_result_blocks_no_other_write(self):
        """Guards against pending outcomes stuck behind one that is too large to write.

        Its outcome counts as unknown at other VMs, since its claim has no outcome.
        """

        async def script(sim):
            await sim.submit_booking("a", "large", "x" * 1_100_000)
            await sim.submit_booking("a", "small")
            await trio.sleep(1.0)
            self.assertEqual(0, sim.vms["a"].booker.pending_writes)
            await sim.submit_booking("b", "large", "x" * 1_100_000)
            await sim.submit_booking("b", "small")

        outcomes = [call.outcome for call in self.book(script).calls]
        self.assertEqual(["done", "done", "unknown", "done"], outcomes)

    def test_outcome_is_unknown_if_the_record_expires_during_the_wait(self):
        """Guards against claiming a key anew that another VM may have dispatched."""

        async def script(sim):
            sim.lose_target_answers = 1
            sim.start(sim.submit_booking, "a")
            await trio.sleep(0.1)
            sim.start(sim.submit_booking, "b")
            await trio.sleep(0.1)
            sim.store.expire_leases()
            await trio.sleep(0.1)

        sim = self.book(script)
        self.assertEqual("unknown", sim.calls[1].outcome)


class RegressionTests(testtools.TestCase):
    """Detection of lost store writes, and the restore of claims."""

    def test_second_regression_is_detected(self):
        """Guards against old restore markers that end a later regression."""

        async def script(sim):
            for key in ("k1", "k2"):
                await sim.submit_booking("a", key)
                await trio.sleep(HEARTBEAT_S)
                sim.store.lose_all_writes()
                await sim.submit_booking("b", key)
                await trio.sleep(RECOVERY_S)
                await sim.submit_booking("b", key)

        sim = BookingSimulation()
        sim.run(script)
        codes = [call.code for call in sim.calls]
        self.assertEqual(["ok", "store_regressed", "ok"] * 2, codes)

    def test_malformed_record_blocks_only_its_own_key(self):
        """Guards against a restore that never ends because of one malformed record."""

        async def script(sim):
            await sim.submit_booking("a")
            await trio.sleep(HEARTBEAT_S)
            sim.store.lose_all_writes()
            await sim.store.put("operations/team/key", "garbage", 0)
            for key in ("other", "other", "key"):
                await sim.submit_booking("b", key)
                await trio.sleep(RECOVERY_S)

        sim = BookingSimulation()
        sim.run(script)
        codes = [call.code for call in sim.calls]
        self.assertEqual(["ok", "store_regressed", "ok", "protocol_error"], codes)
        self.assertEqual("unknown", sim.calls[-1].outcome)

    def test_bookings_are_refused_until_every_member_has_restored(self):
        """Guards against a second run of a key that a slow member has not restored."""

        async def script(sim):
            await sim.submit_booking("a")
            await trio.sleep(HEARTBEAT_S)
            sim.vms["a"].paused_until = trio.current_time() + RECOVERY_S
            sim.store.lose_all_writes()
            for _ in range(3):
                await sim.submit_booking("b")
                await trio.sleep(1.0)
            await trio.sleep(RECOVERY_S)
            await sim.submit_booking("b")

        sim = BookingSimulation()
        sim.run(script)
        codes = [call.code for call in sim.calls[1:]]
        self.assertEqual(["store_regressed"] * 3 + ["ok"], codes)

    def test_delayed_peer_revisions_cause_no_new_regression(self):
        """Guards against bookings that are refused forever after one regression.

        A delayed heartbeat may carry a revision from before the regression. Only a
        higher lost revision may start a new restore.
        """
        booker = BookingSimulation().vms["a"].booker
        booker.observe_store_revision(200, 0)
        booker.observe_store_revision(150, 200)
        self.assertEqual((-200, True), (booker.heartbeat_revision, booker.is_regressed))
        booker._regression_revision, booker._last_restored_regression = None, 200
        for revision in (190, 200, -200):
            booker.observe_peer_revision(revision)
            self.assertEqual(150, booker.heartbeat_revision, revision)
        booker.observe_peer_revision(-201)
        self.assertEqual(-201, booker.heartbeat_revision)
