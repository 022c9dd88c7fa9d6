"""Tests of the list of VMs that share limits, and of their registration."""

import math
from unittest import mock

import testtools
import trio

from tarragonchute.errors import StoreBusyError, StoreOutcomeUnknownError
from tarragonchute.fleet import (
    KEY_LEASE_S,
    MISSING_VM_GRACE_S,
    RENEW_INTERVAL_S,
    RETRY_DELAY_S,
    TRUSTED_RENEWAL_S,
    VM_PREFIX,
    Fleet,
    VmInfo,
    VmRegistration,
)
from tarragonchute.revisions import StoreEras
from tarragonchute.store import MemoryStore

from .trial import run_in_virtual_time

KEY = '{"domain": "d", "address": "10.0.0.1:80"}'


def build_fleet():
    """Return the fleet of VM ``a``, which knows no others yet."""
    return Fleet(VmInfo("a", "d", "10.0.0.1:80"))


def list_ids(fleet, now):
    """Return the ids of the listed VMs."""
    return [vm.vm_id for vm in fleet.list_vms(now)]


class InTouchTests(testtools.TestCase):
    """Which VMs have to acknowledge a state."""

    def test_vm_without_a_key(self):
        """Guards against a rollout that waits for a VM that is gone."""
        fleet = Fleet(VmInfo("vm-1"))
        fleet.apply("vm-2", VmInfo("vm-2").encode(), 0.0)
        fleet.apply("vm-2", None, 10.0)
        for now, count in ((10.0, 2), (14.9, 2), (15.1, 1)):
            self.assertEqual(count, len(fleet.list_in_touch(now, 5.0)), now)
        self.assertEqual(2, len(fleet.list_vms(15.1)))


class FleetTests(testtools.TestCase):
    """Which VMs are listed."""

    def test_missing_vm_is_listed_for_a_grace_period(self):
        """Guards against exceeding a limit that is divided by the number of VMs.

        A VM that cannot reach the store loses its key, but still sends requests.
        """
        fleet = build_fleet()
        fleet.replace_all({"a": KEY, "b": KEY, "c": KEY}, 0.0)
        fleet.apply("b", None, 1.0)
        self.assertEqual(["a", "b", "c"], list_ids(fleet, MISSING_VM_GRACE_S))
        self.assertEqual(["a", "c"], list_ids(fleet, MISSING_VM_GRACE_S + 2.0))

    def test_own_vm_is_always_listed(self):
        """Guards against a VM that has no share once its key is removed."""
        fleet = build_fleet()
        fleet.replace_all({"b": KEY}, 0.0)
        self.assertEqual(["a", "b"], list_ids(fleet, 0.0))
        self.assertTrue(fleet.is_own_key_missing)

    def test_vm_with_invalid_key_is_listed(self):
        """Guards against omitting a VM whose release writes another format."""
        fleet = build_fleet()
        fleet.apply("b", "{not json", 0.0)
        self.assertEqual(["a", "b"], list_ids(fleet, 0.0))
        self.assertEqual("", fleet.list_vms(0.0)[1].address)


class VmRegistrationTests(testtools.TestCase):
    """Writing this VM's key and renewing its lease."""

    async def start(self, nursery, store, fleet):
        registration = VmRegistration(store, fleet)
        nursery.start_soon(registration.run)
        await trio.sleep(0.1)
        return registration

    @run_in_virtual_time
    async def test_key_exists_while_the_vm_runs(self):
        """Guards against a key that outlives its VM, or expires while the VM runs."""
        store = MemoryStore()
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, build_fleet())
            await trio.sleep(3 * KEY_LEASE_S)
            self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
            nursery.cancel_scope.cancel()
        await trio.sleep(KEY_LEASE_S + 1)
        self.assertIsNone(await store.get(VM_PREFIX + "a"))

    @run_in_virtual_time
    async def test_key_of_an_earlier_run_is_overwritten(self):
        """Guards against a restarted VM whose key expires with the earlier lease."""
        store = MemoryStore()
        lease = await store.grant_lease(KEY_LEASE_S)
        await store.put(VM_PREFIX + "a", "old", 0, lease)
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, build_fleet())
            await trio.sleep(2 * KEY_LEASE_S)
            entry = await store.get(VM_PREFIX + "a")
            self.assertIn("domain", entry.value)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_registration_is_retried_after_a_lost_answer(self):
        """Guards against a VM that never registers because one answer was lost."""
        store = MemoryStore()
        store.lose_answers = 1
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, build_fleet())
            await trio.sleep(3 * KEY_LEASE_S)
            self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_removed_key_is_written_again(self):
        """Guards against renewing the lease of a key that the store has dropped."""
        store = MemoryStore()
        fleet = build_fleet()
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, fleet)
            entry = await store.get(VM_PREFIX + "a")
            await store.delete(VM_PREFIX + "a", entry.revision)
            fleet.apply("a", None, trio.current_time())
            await trio.sleep(2 * RENEW_INTERVAL_S)
            self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_lease_of_the_key_is_known(self):
        """Guards against grants of a VM whose key others no longer see."""
        store = MemoryStore()
        fleet = build_fleet()
        lease = fleet.key_lease
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, fleet)
            now = trio.current_time()
            self.assertTrue(now - 0.2 < lease.since <= now)
            store.is_unavailable = True
            await trio.sleep(TRUSTED_RENEWAL_S - 0.3)
            self.assertTrue(lease.is_valid(trio.current_time()))
            await trio.sleep(0.3)
            self.assertFalse(lease.is_valid(trio.current_time()))
            self.assertEqual(-math.inf, lease.valid_since)
            store.is_unavailable = False
            await trio.sleep(RETRY_DELAY_S + 0.1)
            self.assertTrue(lease.is_valid(trio.current_time()))
            self.assertGreater(lease.valid_since, now + TRUSTED_RENEWAL_S - 0.2)
            fleet.apply("a", None, trio.current_time())
            self.assertFalse(lease.is_valid(trio.current_time()))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_time_since_which_the_key_exists_is_known(self):
        """Guards against a VM that believes others have listed it for longer.

        A VM that had joined and was restarted within seconds was a second grantor.
        """
        for has_key, lost_answers in ((True, 0), (False, 0), (False, 1), (True, 1)):
            store = MemoryStore()
            fleet = build_fleet()
            fleet.own_vm.keeps_allowances = True
            since = trio.current_time()
            if has_key:
                since -= 5.0
                value = fleet.own_vm.encode(since)
                await store.put(VM_PREFIX + "a", value, 0)
            store.lose_answers = lost_answers
            async with trio.open_nursery() as nursery:
                await self.start(nursery, store, fleet)
                await trio.sleep(3 * RETRY_DELAY_S)
                self.assertAlmostEqual(since, fleet.key_lease.since, delta=0.2)
                nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_refused_write_after_a_restore_keeps_the_time(self):
        """Guards against a grantor that waits because the store was busy once.

        The restored store lacks the key, and refuses or loses its first write.
        """
        for error, is_kept in (
            (StoreBusyError, True),
            (StoreOutcomeUnknownError, False),
        ):
            store, fleet, eras = MemoryStore(), build_fleet(), StoreEras()
            registration = VmRegistration(store, fleet, eras, mock.Mock())
            registration._random.random.return_value = 0.0
            async with trio.open_nursery() as nursery:
                nursery.start_soon(registration.run)
                await trio.sleep(0.1)
                since = fleet.key_lease.since
                await trio.sleep(10.0)
                entry = await store.get(VM_PREFIX + "a")
                await store.delete(VM_PREFIX + "a", entry.revision)
                with mock.patch.object(store, "put", side_effect=error("no")):
                    eras.observe(1)
                    await trio.sleep(0.1)
                await trio.sleep(2 * RETRY_DELAY_S)
                self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
                self.assertEqual(is_kept, since == fleet.key_lease.since)
                nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_earlier_key_that_tells_nothing(self):
        """Guards against a restarted VM that trusts a key of other properties."""
        now = trio.current_time()
        other = VmInfo("a", "other", "10.0.0.1:80", "", 1.0, True).encode(now - 5.0)
        own = VmInfo("a", "d", "10.0.0.1:80", "", 1.0, True)
        future = own.encode(now + 1000.0)
        older_version = build_fleet().own_vm.encode()
        for value in (
            other,
            future,
            older_version,
            "{}",
            '{"listed_since": "x"}',
            "[]",
            "old",
        ):
            store = MemoryStore()
            fleet = build_fleet()
            fleet.own_vm.keeps_allowances = True
            await store.put(VM_PREFIX + "a", value, 0)
            async with trio.open_nursery() as nursery:
                started_at = trio.current_time()
                await self.start(nursery, store, fleet)
                self.assertGreaterEqual(fleet.key_lease.since, started_at)
                self.assertLess(fleet.key_lease.since, started_at + 0.2)
                nursery.cancel_scope.cancel()
