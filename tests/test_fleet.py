"""Tests of the list of VMs that share allowances."""

import testtools
import trio

from tarragonchute.fleet import HOLD_S, LEASE_S, RENEW_S, VM_PREFIX, Fleet, FleetMember
from tarragonchute.store import MemoryStore

from .trial import run_in_virtual_time


class FleetTests(testtools.TestCase):
    """Who counts."""

    def test_vanished_vm_counts_for_a_while(self):
        """Guards against shares that grow while a cut-off VM still sends."""
        fleet = Fleet("a")
        fleet.replace_all(["a", "b", "c"], 0.0)
        fleet.apply("b", False, 1.0)
        self.assertEqual(["a", "b", "c"], fleet.list_vms(HOLD_S))
        self.assertEqual(["a", "c"], fleet.list_vms(HOLD_S + 2.0))

    def test_own_id_always_counts(self):
        """Guards against a VM without a share after its key was removed."""
        fleet = Fleet("a")
        fleet.replace_all(["b"], 0.0)
        self.assertEqual(["a", "b"], fleet.list_vms(0.0))
        self.assertTrue(fleet.is_own_key_missing)


class FleetMemberTests(testtools.TestCase):
    """The VM's key in the store."""

    async def start(self, nursery, store, fleet):
        member = FleetMember(store, fleet, "a", {"domain": "d"})
        nursery.start_soon(member.run)
        await trio.sleep(0.1)
        return member

    @run_in_virtual_time
    async def test_key_lives_while_the_vm_does(self):
        """Guards against VMs that count for ever, or lapse while they live."""
        store = MemoryStore()
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, Fleet("a"))
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
            await self.start(nursery, store, Fleet("a"))
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
            await self.start(nursery, store, Fleet("a"))
            await trio.sleep(3 * LEASE_S)
            self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_key_that_vanished_is_written_again(self):
        """Guards against a key that the store dropped while the lease is renewed."""
        store = MemoryStore()
        fleet = Fleet("a")
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store, fleet)
            entry = await store.get(VM_PREFIX + "a")
            await store.delete(VM_PREFIX + "a", entry.revision)
            fleet.apply("a", False, trio.current_time())
            await trio.sleep(2 * RENEW_S)
            self.assertIsNotNone(await store.get(VM_PREFIX + "a"))
            nursery.cancel_scope.cancel()
