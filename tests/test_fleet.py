"""Tests of the list of VMs that share allowances."""

import testtools
import trio

from tarragonchute.fleet import (
    HOLD_S,
    LEASE_S,
    RENEW_S,
    VM_PREFIX,
    Fleet,
    FleetMember,
    VmInfo,
)
from tarragonchute.store import MemoryStore

from .trial import run_in_virtual_time

KEY = '{"domain": "d", "address": "10.0.0.1:80"}'


def build_fleet():
    """Return the fleet as VM ``a`` sees it at its start."""
    return Fleet(VmInfo("a", "d", "10.0.0.1:80"))


def list_ids(fleet, now):
    """Return the ids of the VMs that count."""
    return [vm.vm_id for vm in fleet.list_vms(now)]


class FleetTests(testtools.TestCase):
    """Who counts."""

    def test_vanished_vm_counts_for_a_while(self):
        """Guards against shares that grow while a cut-off VM still sends."""
        fleet = build_fleet()
        fleet.replace_all({"a": KEY, "b": KEY, "c": KEY}, 0.0)
        fleet.apply("b", None, 1.0)
        self.assertEqual(["a", "b", "c"], list_ids(fleet, HOLD_S))
        self.assertEqual(["a", "c"], list_ids(fleet, HOLD_S + 2.0))

    def test_own_id_always_counts(self):
        """Guards against a VM without a share after its key was removed."""
        fleet = build_fleet()
        fleet.replace_all({"b": KEY}, 0.0)
        self.assertEqual(["a", "b"], list_ids(fleet, 0.0))
        self.assertTrue(fleet.is_own_key_missing)

    def test_unreadable_key_still_counts(self):
        """Guards against a share that is too large beside a VM of another release."""
        fleet = build_fleet()
        fleet.apply("b", "{not json", 0.0)
        self.assertEqual(["a", "b"], list_ids(fleet, 0.0))
        self.assertEqual("", fleet.list_vms(0.0)[1].address)


class FleetMemberTests(testtools.TestCase):
    """The VM's key in the store."""

    async def start(self, nursery, store, fleet):
        member = FleetMember(store, fleet)
        nursery.start_soon(member.run)
        await trio.sleep(0.1)
        return member

    @run_in_virtual_time
    async def test_key_lives_while_the_vm_does(self):
        """Guards against VMs that count for ever, or lapse while they live."""
        store = MemoryStore()
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, build_fleet())
            await trio.sleep(3 * LEASE_S)
            self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
            nursery.cancel_scope.cancel()
        await trio.sleep(LEASE_S + 1)
        self.assertIsNone(await store.get(VM_PREFIX + "a"))

    @run_in_virtual_time
    async def test_predecessors_key_is_taken_over(self):
        """Guards against a restarted VM that lapses with its old lease."""
        store = MemoryStore()
        lease = await store.grant_lease(LEASE_S)
        await store.put(VM_PREFIX + "a", "old", 0, lease)
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, build_fleet())
            await trio.sleep(2 * LEASE_S)
            entry = await store.get(VM_PREFIX + "a")
            self.assertIn("domain", entry.value)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_lost_answer_is_not_an_end(self):
        """Guards against a VM that never registers after one lost answer."""
        store = MemoryStore()
        store.lose_answers = 1
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, build_fleet())
            await trio.sleep(3 * LEASE_S)
            self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_key_that_vanished_is_written_again(self):
        """Guards against a key that the store dropped while the lease is renewed."""
        store = MemoryStore()
        fleet = build_fleet()
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, fleet)
            entry = await store.get(VM_PREFIX + "a")
            await store.delete(VM_PREFIX + "a", entry.revision)
            fleet.apply("a", None, trio.current_time())
            await trio.sleep(2 * RENEW_S)
            self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
            nursery.cancel_scope.cancel()
