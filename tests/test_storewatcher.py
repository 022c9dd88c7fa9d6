"""Tests of keeping a VM in sync with the store."""

import tracemalloc

import testtools
import trio

from tarragonchute import pacing, storewatcher
from tarragonchute.errors import (
    HistoryLostError,
    RelayUnavailableError,
    StoreUnavailableError,
)
from tarragonchute.peers import PeerSnapshot
from tarragonchute.store import MAX_VALUE_BYTES, Entry, MemoryStore
from tarragonchute.storewatcher import StoreWatcher

from .trial import run_in_virtual_time


class RecordingHandler:
    """Records the snapshots and changes that a watcher delivers."""

    def __init__(self):
        self.values = {}
        self.snapshots = []

    def apply_snapshot(self, entries, is_after_outage):
        self.values = {entry.key: entry.value for entry in entries}
        self.snapshots.append(is_after_outage)

    def apply_change(self, key, value):
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = value


class FaultyStore(MemoryStore):
    """A store whose watches can report lost history, or hang while probes fail."""

    def __init__(self):
        super().__init__()
        self.has_lost_history = False
        self.is_hung = False

    async def watch(self, prefix, after, wait_s):
        if self.has_lost_history:
            self.has_lost_history = False
            raise HistoryLostError("compacted")
        if self.is_hung:
            await trio.sleep_forever()
        return await super().watch(prefix, after, wait_s)

    async def probe(self):
        if self.is_hung:
            raise StoreUnavailableError("silent")


class SilentStore(FaultyStore):
    """A store whose probes are not answered either while it hangs."""

    async def probe(self):
        if self.is_hung:
            await trio.sleep_forever()


class MissedChangesStore(MemoryStore):
    """A store whose watches miss changes, as they may while it drops its history."""

    def __init__(self):
        super().__init__()
        self.is_missing_changes = False

    async def watch(self, prefix, after, wait_s):
        if self.is_missing_changes:
            await trio.sleep(wait_s)
            return [], after
        return await super().watch(prefix, after, wait_s)


class HungWatchStore(MemoryStore):
    """A store whose next watch hangs while all other calls work."""

    def __init__(self):
        super().__init__()
        self.is_hung = False
        self.listings = 0

    async def list(self, prefix):
        self.listings += 1
        return await super().list(prefix)

    async def watch(self, prefix, after, wait_s):
        if self.is_hung:
            self.is_hung = False
            await trio.sleep_forever()
        return await super().watch(prefix, after, wait_s)


class LostAnswerStore(MemoryStore):
    """A store that can lose the answer to the waiting watch, with probes that are old.

    Parameters
    ----------
    probed_revision : int
        Revision that all probes return.

    Attributes
    ----------
    losses : int
        Number of the next answers with changes that are lost.
    """

    def __init__(self, probed_revision=0):
        super().__init__()
        self.losses = 0
        self.listings = 0
        self._probed_revision = probed_revision

    async def list(self, prefix):
        self.listings += 1
        return await super().list(prefix)

    async def watch(self, prefix, after, wait_s):
        answer = await super().watch(prefix, after, wait_s)
        if answer[0] and self.losses:
            self.losses -= 1
            await trio.sleep_forever()
        return answer

    async def probe(self):
        return self._probed_revision


class FakeOtherWatchers:
    """Another VM that watches a store and receives each change at once.

    Parameters
    ----------
    store : MemoryStore or None
        None if no other VM answers.
    extra : int
        Added to the revisions of the store.
    """

    def __init__(self, store, extra=0):
        self.store = store
        self.extra = extra

    def count(self):
        return 2

    async def wait_for_revision(self, after):
        for _ in range(8):
            if self.store is None:
                raise RelayUnavailableError("no other VM")
            if self.store.revision + self.extra > after:
                break
            await trio.sleep(0.1)
        return self.store.revision + self.extra


class SingleRelay:
    """A relay, and the chooser that returns it until its first failure."""

    def __init__(self, store):
        self.store = store
        self.error = None

    def choose(self, now):
        return self if self.error is None else None

    async def watch(self, after):
        with trio.move_on_after(0.8):
            entries, revision = await self.store.watch("", after, 0.8)
            return entries, revision, False
        return [], after, False

    def record_failure(self, error, now):
        self.error = error
        return False

    def record_success(self):
        pass


class FallbackRelay(SingleRelay):
    """A relay that the store serves while it refuses the calls of this VM."""

    def choose(self, now):
        return None

    def choose_fallback(self, now):
        return self if self.error is None else None

    def exclude(self, relay, now):
        self.error = RelayUnavailableError("excluded by the watcher")


class RefusingStore:
    """Passes calls on to a store, but refuses them while `is_refusing` is set."""

    def __init__(self, store):
        self.store = store
        self.is_refusing = False

    def _check(self):
        if self.is_refusing:
            raise StoreUnavailableError("call refused")

    async def list(self, prefix):
        self._check()
        return await self.store.list(prefix)

    async def watch(self, prefix, after, wait_s):
        self._check()
        with trio.move_on_after(0.5):
            return await self.store.watch(prefix, after, wait_s)
        return [], after

    async def probe(self):
        self._check()


class SnapshotRelay(SingleRelay):
    """A relay without the requested history, which answers with a snapshot."""

    def __init__(self):
        super().__init__(None)

    async def watch(self, after):
        return [Entry("a", "1", 40)], 50, True


class FailingRelay(SingleRelay):
    """A relay whose connection fails once the store's watches miss changes."""

    async def watch(self, after):
        await trio.sleep(0.8)
        if self.store.is_missing_changes:
            raise RelayUnavailableError("cut")
        return await super().watch(after)


class FakePeers:
    """Other VMs whose snapshot has one entry.

    `revision` is that of a current snapshot, or None if no VM has one.
    """

    def __init__(self, revision=None):
        self.revision = revision

    async def fetch_at_start(self):
        if self.revision is None:
            return None
        return PeerSnapshot([Entry("a", "from a peer", 1)], self.revision, True)

    async def fetch(self):
        return PeerSnapshot([Entry("a", "from a peer", 0)], 0, False)


MEMORY_BUDGET_BYTES = 128_000_000
"""Memory that a VM may use for control; see the target size in DEVELOPERS.md."""


async def start_watcher(nursery, store, **options):
    """Start a watcher and wait for its first listing; return it and its handler."""
    handler = RecordingHandler()
    watcher = StoreWatcher(store, handler, **options)
    nursery.start_soon(watcher.run)
    await trio.sleep(0.1)
    return watcher, handler


class StoreWatcherTests(testtools.TestCase):
    """Listings, watches, lost history and outages of the store."""

    async def start(self, nursery, store, peers=None):
        return await start_watcher(nursery, store, peers=peers)

    @run_in_virtual_time
    async def test_changes_arrive(self):
        """Guards against changes of the configuration that take effect too late."""
        store = MemoryStore()
        await store.put("a", "1", 0)
        async with trio.open_nursery() as nursery:
            _, handler = await self.start(nursery, store)
            revision = await store.put("b", "2", 0)
            await trio.sleep(0.1)
            self.assertEqual({"a": "1", "b": "2"}, handler.values)
            await store.delete("b", revision)
            await trio.sleep(pacing.BATCH_PAUSE_MAX_S + 0.1)
            self.assertEqual({"a": "1"}, handler.values)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_lost_history_lists_again(self):
        """Guards against missing changes whose history the store has dropped."""
        store = FaultyStore()
        async with trio.open_nursery() as nursery:
            _, handler = await self.start(nursery, store)
            store.has_lost_history = True
            await store.put("a", "1", 0)
            await store.put("b", "1", 0)
            await trio.sleep(2.0)
            self.assertEqual({"a": "1", "b": "1"}, handler.values)
            self.assertEqual([False, False], handler.snapshots)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_listing_after_an_outage_is_marked(self):
        """Guards against dropping targets whose leases expired in a store outage."""
        store = MemoryStore()
        await store.put("a", "1", 0)
        async with trio.open_nursery() as nursery:
            _, handler = await self.start(nursery, store)
            store.is_unavailable = True
            await trio.sleep(40.0)
            store.is_unavailable = False
            await trio.sleep(5.0)
            self.assertEqual([False, True], handler.snapshots)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_hung_watch_is_restarted_after_an_outage(self):
        """Guards against a watch that never returns because an outage ended it."""
        store = FaultyStore()
        async with trio.open_nursery() as nursery:
            _, handler = await self.start(nursery, store)
            store.is_hung = True
            await store.put("x", "1", 0)
            await trio.sleep(10.0)
            store.is_hung = False
            await store.put("a", "1", 0)
            await trio.sleep(3.5)
            self.assertIn("a", handler.values)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_hung_watch_is_detected_while_probes_succeed(self):
        """Guards against a VM that keeps an old configuration while probes succeed.

        One connection hung between two probes (soak seed 319).
        """
        store = HungWatchStore()
        store.is_hung = True
        async with trio.open_nursery() as nursery:
            _, handler = await self.start(nursery, store)
            await store.put("a", "1", 0)
            await trio.sleep(2 * storewatcher.PROBE_INTERVAL_S + 0.1)
            self.assertEqual({"a": "1"}, handler.values)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_watch_that_delivers_changes_is_kept(self):
        """Guards against needless listings of a store that changes often."""
        store = HungWatchStore()
        async with trio.open_nursery() as nursery:
            _, handler = await self.start(nursery, store)
            for number in range(100):
                await store.put(f"k{number}", "1", 0)
                await trio.sleep(0.17)
            await trio.sleep(pacing.BATCH_PAUSE_MAX_S + 0.1)
            self.assertEqual(100, len(handler.values))
            self.assertEqual(1, store.listings)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_start_without_the_store_uses_a_peer_snapshot(self):
        """Guards against a VM without configuration after a restart in an outage."""
        store = MemoryStore()
        store.is_unavailable = True
        async with trio.open_nursery() as nursery:
            watcher, handler = await self.start(nursery, store, FakePeers())
            self.assertEqual({"a": "from a peer"}, handler.values)
            self.assertIsNone(watcher.revision)
            store.is_unavailable = False
            await store.put("a", "from the store", 0)
            await trio.sleep(2.0)
            self.assertEqual({"a": "from the store"}, handler.values)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_start_from_a_current_peer_needs_no_listing(self):
        """Guards against many VMs that list the store when all start at once.

        Changes after the snapshot's revision must arrive, removals included.
        """
        store = HungWatchStore()
        await store.put("a", "1", 0)
        await store.put("b", "2", 0)
        async with trio.open_nursery() as nursery:
            watcher, handler = await self.start(nursery, store, FakePeers(1))
            self.assertTrue(watcher.is_connected)
            await trio.sleep(0.5)
            self.assertEqual({"a": "from a peer", "b": "2"}, handler.values)
            await store.delete("a", 1)
            await trio.sleep(pacing.BATCH_PAUSE_MAX_S + 0.1)
            self.assertEqual({"b": "2"}, handler.values)
            self.assertEqual(0, store.listings)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_change_during_a_relay_failure_is_not_missed(self):
        """Guards against missing a change made after a relay failed.

        A watch of the store that starts then may silently miss it, so the store is
        listed first.
        """
        store = MissedChangesStore()
        handler = RecordingHandler()
        watcher = StoreWatcher(store, handler, relays=FailingRelay(store))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(1.0)
            self.assertFalse(watcher.is_watching_store)
            store.is_missing_changes = True
            await store.put("op", "7", 0)
            await trio.sleep(3.0)
            self.assertTrue(watcher.is_watching_store)
            self.assertEqual({"op": "7"}, handler.values)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_history_restarts_with_a_snapshot_of_a_relay(self):
        """Guards against serving followers a history that lacks some changes."""
        watcher = StoreWatcher(MemoryStore(), RecordingHandler())
        await watcher._load_listing()
        relay = SnapshotRelay()
        watcher._relays = relay
        await watcher._watch_relay(relay)
        self.assertEqual(50, watcher.revision)
        self.assertEqual([], watcher.list_changes(50))
        self.assertIsNone(watcher.list_changes(10))

    @run_in_virtual_time
    async def test_versions_of_one_key_do_not_add_up_in_memory(self):
        """Guards against a VM that is killed for its memory after many changes.

        Each VM saw the same versions, so all were killed at about the same time.
        """
        watcher = StoreWatcher(MemoryStore(), RecordingHandler())
        await watcher._load_listing()
        start = watcher.revision
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for revision in range(start + 1, start + 301):
            text = f"{revision}".rjust(MAX_VALUE_BYTES)
            watcher._apply_changes([Entry("configuration", text, revision)], revision)
        used_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(used_bytes, MEMORY_BUDGET_BYTES)
        (entry,) = watcher.list_changes(start)
        self.assertEqual((text, revision), (entry.value, entry.revision))

    @run_in_virtual_time
    async def test_superseded_changes_of_one_batch_are_not_applied(self):
        """Guards against decoding each version of a configuration in one go.

        Callers get no answer meanwhile.
        """
        applied = []

        class ListingHandler(RecordingHandler):
            def apply_change(self, key, value):
                applied.append((key, value))

        watcher = StoreWatcher(MemoryStore(), ListingHandler())
        await watcher._load_listing()
        batch = [("a", "1"), ("b", "1"), ("c", "1"), ("a", "2"), ("b", None)]
        entries = [Entry(*change, 100 + index) for index, change in enumerate(batch)]
        watcher._apply_changes(entries, 104)
        self.assertEqual([("c", "1"), ("a", "2"), ("b", None)], applied)
        self.assertEqual({"a", "c"}, {entry.key for entry in watcher.list_entries()})

    @run_in_virtual_time
    async def test_idle_store_gets_few_calls(self):
        """Guards against billed calls while nothing changes."""
        store = MemoryStore()
        async with trio.open_nursery() as nursery:
            await self.start(nursery, store)
            await trio.sleep(100.0)
            self.assertLessEqual(store.calls["watch"], 5)
            self.assertEqual(1, store.calls["list"])
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_restored_store_is_listed_again(self):
        """Guards against watching from a revision that a restored store lacks."""
        store = MemoryStore()
        backup = store.save_backup()
        await store.put("a", "1", 0)
        async with trio.open_nursery() as nursery:
            _, handler = await self.start(nursery, store)
            store.restore_backup(backup)
            await trio.sleep(2.0)
            self.assertEqual({}, handler.values)
            nursery.cancel_scope.cancel()


class FallbackRelayTests(testtools.TestCase):
    """The store refuses the calls of this VM and serves the others."""

    @run_in_virtual_time
    async def test_changes_come_from_a_fallback_relay(self):
        """Guards against a VM that misses changes which other VMs have applied."""
        store = MemoryStore()
        await store.put("a", "1", 0)
        refusing_store = RefusingStore(store)
        handler = RecordingHandler()
        relay = FallbackRelay(store)
        watcher = StoreWatcher(refusing_store, handler, relays=relay)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(1.0)
            refusing_store.is_refusing = True
            await store.put("b", "2", 0)
            await trio.sleep(4.0)
            self.assertEqual({"a": "1", "b": "2"}, handler.values)
            self.assertTrue(watcher.is_connected)
            self.assertFalse(watcher.is_watching_store)
            listings = len(handler.snapshots)
            refusing_store.is_refusing = False
            await trio.sleep(3.0)
            self.assertEqual(listings + 1, len(handler.snapshots))
            self.assertTrue(watcher.is_watching_store)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_vm_that_the_store_ignores_follows_another(self):
        """Guards against a VM that misses an index change while its watch hangs.

        Pattern: the store falls silent for a third of the VMs just before a reshard.
        Their searches then asked the old targets until the store returned.
        """
        store = FaultyStore()
        await store.put("a", "1", 0)
        handler = RecordingHandler()
        # The relay sees the same content as the store, but its watches do not hang.
        relay = FallbackRelay(MemoryStore())
        await relay.store.put("a", "1", 0)
        watcher = StoreWatcher(store, handler, relays=relay)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(1.0)
            store.is_hung = True
            await relay.store.put("b", "2", 0)
            await trio.sleep(4.0)
            self.assertEqual({"a": "1", "b": "2"}, handler.values)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_vm_without_the_store_and_other_watchers_follows_another(self):
        """Guards against restarting a watch so often that failed probes are forgotten.

        The store and the VMs that watch it are silent for this VM.
        """
        store = SilentStore()
        relay = FallbackRelay(MemoryStore())
        watcher = StoreWatcher(
            store,
            RecordingHandler(),
            relays=relay,
            other_watchers=FakeOtherWatchers(None),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(5.0)
            self.assertTrue(watcher.is_watching_store)
            store.is_hung = True
            await trio.sleep(4.0)
            self.assertFalse(watcher.is_watching_store)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_failed_fallback_relay_is_excluded(self):
        """Guards against waiting for a relay that is gone."""
        store = MemoryStore()
        refusing_store = RefusingStore(store)
        relay = FallbackRelay(store)
        watcher = StoreWatcher(refusing_store, RecordingHandler(), relays=relay)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(1.0)
            refusing_store.is_refusing = True

            async def fail(after):
                raise RelayUnavailableError("gone")

            relay.watch = fail
            await trio.sleep(3.0)
            self.assertIsNotNone(relay.error)
            self.assertFalse(watcher.is_connected)
            refusing_store.is_refusing = False
            await trio.sleep(3.0)
            self.assertTrue(watcher.is_connected)
            nursery.cancel_scope.cancel()


class UnexpectedErrorTests(testtools.TestCase):
    """Changes that the handler cannot apply."""

    @run_in_virtual_time
    async def test_later_changes_are_applied(self):
        """Guards against one entry that stops a VM from following the store."""

        class FailingHandler(RecordingHandler):
            def apply_change(self, key, value):
                if key == "bad":
                    raise RuntimeError("injected")
                super().apply_change(key, value)

        store = MemoryStore()
        handler = FailingHandler()
        watcher = StoreWatcher(store, handler)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(1)
            await store.put("bad", "1", 0)
            await store.put("good", "1", 0)
            await trio.sleep(2)
            nursery.cancel_scope.cancel()
        self.assertEqual({"good": "1"}, handler.values)
