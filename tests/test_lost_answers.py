"""Tests of store watches whose answers are lost while their connections stay open."""

import testtools
import trio

from .test_storewatcher import FakeOtherWatchers, LostAnswerStore, start_watcher
from .trial import run_in_virtual_time

CONFIGURATION_BOUND_S = 3.0
"""Time within which a VM must apply a change of the configuration."""


class LostAnswerTests(testtools.TestCase):
    """The store's answer to a watch is lost, and probes are answered from old content.

    VMs of one failure domain sent orders to a service that a configuration had replaced
    seconds before (review/3).
    """

    async def measure_delay_s(self, store, other_watchers, wait_s, losses=1):
        """Return the time until a change arrives whose answer was lost."""
        async with trio.open_nursery() as nursery:
            _, handler = await start_watcher(
                nursery, store, other_watchers=other_watchers
            )
            await trio.sleep(wait_s)
            store.losses = losses
            await store.put("a", "1", 0)
            started_at = trio.current_time()
            with trio.move_on_after(30.0):
                while "a" not in handler.values:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        self.assertEqual(0, store.losses)
        return trio.current_time() - started_at

    @run_in_virtual_time
    async def test_change_that_another_vm_has_received_arrives(self):
        """Guards against an old configuration after one lost answer of the store."""
        for wait_s in (0.0, 0.4, 3.0, 11.0):
            store = LostAnswerStore()
            delay_s = await self.measure_delay_s(
                store, FakeOtherWatchers(store), wait_s
            )
            self.assertLess(delay_s, CONFIGURATION_BOUND_S)
            # A listing takes more calls than another watch.
            self.assertEqual(1, store.listings)

    @run_in_virtual_time
    async def test_change_that_the_next_watch_misses_too_arrives(self):
        """Guards against watches that miss a change each time.

        The store may have dropped it from its history.
        """
        store = LostAnswerStore()
        other_watchers = FakeOtherWatchers(store)
        delay_s = await self.measure_delay_s(store, other_watchers, 3.0, losses=2)
        self.assertLess(delay_s, CONFIGURATION_BOUND_S)
        self.assertEqual(2, store.listings)

    @run_in_virtual_time
    async def test_change_arrives_without_another_vm(self):
        """Guards against the same on a VM whose watch cannot be compared."""
        for wait_s in (0.0, 0.4, 3.0, 11.0):
            store = LostAnswerStore()
            delay_s = await self.measure_delay_s(store, FakeOtherWatchers(None), wait_s)
            self.assertLess(delay_s, CONFIGURATION_BOUND_S)

    @run_in_virtual_time
    async def test_other_vm_that_stops_answering(self):
        """Guards against a long watch that no VM can be compared with any more."""
        store = LostAnswerStore()
        other_watchers = FakeOtherWatchers(store)
        async with trio.open_nursery() as nursery:
            _, handler = await start_watcher(
                nursery, store, other_watchers=other_watchers
            )
            await trio.sleep(3.0)
            other_watchers.store = None
            store.losses = 1
            await store.put("a", "1", 0)
            await trio.sleep(CONFIGURATION_BOUND_S)
            self.assertEqual({"a": "1"}, handler.values)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_watch_that_is_a_little_slower_is_kept(self):
        """Guards against a listing for each change that another VM receives first."""
        store = LostAnswerStore()
        async with trio.open_nursery() as nursery:
            _, handler = await start_watcher(
                nursery,
                store,
                other_watchers=FakeOtherWatchers(store, extra=1),
            )
            await trio.sleep(2.0)
            listings = store.listings
            for number in range(20):
                await store.put(f"k{number}", "1", 0)
                await trio.sleep(0.5)
            self.assertEqual(20, len(handler.values))
            self.assertEqual(listings, store.listings)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_revision_that_a_listing_disproved_is_ignored(self):
        """Guards against listing the store again and again.

        Another VM may name a revision that a restored store does not have.
        """
        store = LostAnswerStore()
        async with trio.open_nursery() as nursery:
            await start_watcher(
                nursery, store, other_watchers=FakeOtherWatchers(store, extra=1000)
            )
            await trio.sleep(60.0)
            self.assertLessEqual(store.listings, 2)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_few_calls_while_other_vms_answer(self):
        """Guards against billed calls while nothing changes."""
        store = LostAnswerStore()
        async with trio.open_nursery() as nursery:
            await start_watcher(nursery, store, other_watchers=FakeOtherWatchers(store))
            await trio.sleep(100.0)
            self.assertLessEqual(store.calls["watch"], 5)
            self.assertEqual(1, store.listings)
            nursery.cancel_scope.cancel()
