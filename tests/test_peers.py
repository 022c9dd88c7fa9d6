"""Tests of the exchange of store content between VMs, over loopback sockets."""

import contextlib
import zlib
from unittest import mock

import testtools
import trio

from tarragonchute import httpio, peers
from tarragonchute.errors import RelayUnavailableError, RelayWithoutStoreError
from tarragonchute.fleet import Fleet, VmInfo
from tarragonchute.peers import PeerServer, PeerSnapshots, Relay, RelayChooser
from tarragonchute.revisions import RetainedEntry
from tarragonchute.store import Entry, MemoryStore
from tarragonchute.storecontent import StoreUpdateHandler
from tarragonchute.storewatcher import StoreWatcher

from .test_httpio import TEST_TIMEOUT_S, reserve_closed_port, start_server
from .trial import run_async, run_in_virtual_time

FIRST_PORT = 1000
"""Port of ``vm-0`` in the fleets of these tests."""


class RecordingHandler(StoreUpdateHandler):
    """Records the values that a watcher delivers."""

    def __init__(self):
        self.values = {}

    def apply_snapshot(self, entries, is_after_outage):
        self.values = {entry.key: entry.value for entry in entries}

    def apply_change(self, key, value):
        self.values[key] = value


@contextlib.asynccontextmanager
async def open_relay():
    """Yield ``(store, watcher, address)`` of a VM that watches a store."""
    store = MemoryStore()
    await store.put("a", "1", 0)
    watcher = StoreWatcher(store, RecordingHandler())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watcher.run)
        while watcher.revision is None or not watcher.is_watching_store:
            await trio.sleep(0.01)
        async with start_server(PeerServer(watcher).handle) as address:
            yield store, watcher, address
        nursery.cancel_scope.cancel()


def build_fleet(own, others=0):
    """Return a fleet of VMs named ``vm-0`` and up, as one of them sees it."""
    fleet = Fleet(VmInfo(own, "d", f"10.0.0.1:{FIRST_PORT + int(own[3:])}"))
    for number in range(others):
        key = f'{{"domain": "d", "address": "10.0.0.1:{FIRST_PORT + number}"}}'
        fleet.apply(f"vm-{number}", key, 0.0)
    return fleet


class RelayTests(testtools.TestCase):
    """Requests to one relay."""

    @run_async
    async def test_malformed_answer_makes_the_relay_unavailable(self):
        """Guards against a malformed answer that ends the follower's process."""
        for body in (
            {"rows": [[1, "v", 2]], "revision": 3, "all": False},
            {"rows": [["k", 7, 2]], "revision": 3, "all": False},
            {"rows": [["k"]], "revision": 3, "all": False},
            {"rows": [], "revision": "3", "all": False},
            {"rows": [], "revision": 2**63, "all": False},
            {"rows": [], "revision": -1, "all": False},
            [],
        ):

            async def handle(_request, body=body):
                return httpio.HttpResponse.from_json(body)

            async with start_server(handle) as address:
                try:
                    await Relay(address).watch(1)
                except RelayUnavailableError:
                    continue
                self.fail(f"{body} was accepted")

    @run_async
    async def test_changes_come_through(self):
        """Guards against a follower that misses a change of the configuration."""
        async with open_relay() as (store, watcher, address):
            relay = Relay(address)
            after = watcher.revision
            await store.put("b", "2", 0)
            entries, revision, is_snapshot = await relay.watch(after)
            self.assertFalse(is_snapshot)
            self.assertEqual([("b", "2")], [(e.key, e.value) for e in entries])
            self.assertGreater(revision, after)
            relay.close()

    @run_async
    async def test_follower_gets_the_latest_version_only(self):
        """Guards against answers that grow with each version a follower missed."""
        async with open_relay() as (store, watcher, address):
            relay = Relay(address)
            after = watcher.revision
            for number in range(3):
                await store.put("a", str(number), watcher.revision)
                while watcher.list_entries()[0].value != str(number):
                    await trio.sleep(0.01)
            entries, _, is_snapshot = await relay.watch(after)
            self.assertFalse(is_snapshot)
            self.assertEqual([("a", "2")], [(e.key, e.value) for e in entries])
            relay.close()

    @run_async
    async def test_listing_of_the_relay_is_passed_on_at_once(self):
        """Guards against followers that wait when their relay lists the store again.

        A relay lists it after a watch has missed a change.
        """
        async with open_relay() as (store, watcher, address):
            relay = Relay(address)
            revision = watcher.revision
            answer = []

            async def follow():
                answer.extend(await relay.watch(revision))

            with trio.fail_after(peers.MAX_POLL_HOLD_S - 0.1):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(follow)
                    await trio.sleep(0.1)
                    listed = [Entry("a", "2", revision + 1)]
                    watcher._apply_snapshot(listed, revision + 1, False)
            entries, revision, is_snapshot = answer
            self.assertEqual(["2"], [entry.value for entry in entries])
            self.assertTrue(is_snapshot)
            relay.close()

    @run_async
    async def test_poll_without_changes_is_answered(self):
        """Guards against treating a relay without changes as unresponsive."""
        async with open_relay() as (_, watcher, address):
            relay = Relay(address)
            entries, _, _ = await relay.watch(watcher.revision)
            self.assertEqual([], entries)
            relay.close()

    @run_async
    async def test_relay_that_cannot_reach_the_store_reports_it(self):
        """Guards against followers that stay with a relay that gets no changes."""
        async with open_relay() as (store, watcher, address):
            relay = Relay(address)
            with trio.fail_after(5.0):
                store.is_unavailable = True
                while watcher.is_connected:
                    await trio.sleep(0.05)
                error = None
                try:
                    await relay.watch(watcher.revision or 10)
                except RelayUnavailableError as caught:
                    error = caught
            self.assertIsNotNone(error)
            relay.close()

    @run_async
    async def test_missing_relay_is_detected(self):
        """Guards against waiting for a relay whose VM was killed."""
        relay = Relay(await reserve_closed_port())
        with trio.fail_after(peers.MAX_POLL_HOLD_S + 2 * peers.PEER_TIMEOUT_S):
            try:
                await relay.watch(1)
            except RelayUnavailableError:
                return
        self.fail("the relay answered")

    @run_async
    async def test_missing_history_returns_a_snapshot(self):
        """Guards against missing changes that the relay's history no longer covers."""
        async with open_relay() as (_, watcher, address):
            relay = Relay(address)
            entries, revision, is_snapshot = await relay.watch(0)
            self.assertTrue(is_snapshot)
            self.assertEqual({"a"}, {entry.key for entry in entries})
            self.assertEqual(watcher.revision, revision)
            relay.close()


class RelayChooserTests(testtools.TestCase):
    """Which VMs watch the store, and which relay the others follow."""

    def test_few_vms_watch_the_store(self):
        """Guards against store calls that grow in proportion to the fleet."""
        for size in (9, 79, 400):
            choices = [
                RelayChooser(build_fleet(f"vm-{n}", size), f"vm-{n}").choose(0.0)
                for n in range(size)
            ]
            watching = choices.count(None)
            self.assertEqual(max(1, size // peers.VMS_PER_RELAY), watching)

    def test_domains_do_not_follow_each_other(self):
        """Guards against relay traffic between domains, and outages that span them."""
        fleet = build_fleet("vm-0", 1)
        for number in range(1, 9):
            key = f'{{"domain": "e", "address": "10.0.0.1:{number}"}}'
            fleet.apply(f"vm-{number}", key, 0.0)
        self.assertIsNone(RelayChooser(fleet, "vm-0").choose(0.0))

    def test_followers_spread_over_relays(self):
        """Guards against one relay that serves the whole fleet."""
        followed = []
        for number in range(79):
            relays = RelayChooser(build_fleet(f"vm-{number}", 79), f"vm-{number}")
            relay = relays.choose(0.0)
            if relay is not None:
                followed.append(relay.address)
        busiest = max(followed.count(address) for address in set(followed))
        self.assertLessEqual(busiest, 3 * peers.VMS_PER_RELAY)

    def test_failed_relay_is_replaced(self):
        """Guards against repeated requests to a VM that is gone."""
        fleets = (build_fleet(f"vm-{n}", 9) for n in range(9))
        for fleet in fleets:
            relays = RelayChooser(fleet, fleet.own_vm.vm_id)
            first = relays.choose(0.0)
            if first is None:
                continue
            self.assertFalse(relays.record_failure(RelayUnavailableError("x"), 0.0))
            self.assertIsNone(relays.choose(1.0))
            self.assertIs(first, relays.choose(peers.RELAY_EXCLUSION_S + 0.5))

    def test_relay_that_cannot_reach_the_store_gets_one_retry(self):
        """Guards against a store listing by every follower after a short outage."""
        relays = RelayChooser(build_fleet("vm-1", 9), "vm-1")
        self.assertIsNotNone(relays.choose(0.0))
        error = RelayWithoutStoreError("x")
        self.assertTrue(relays.record_failure(error, 0.0))
        self.assertIsNotNone(relays.choose(0.5))
        self.assertFalse(relays.record_failure(error, 0.5))
        self.assertIsNone(relays.choose(1.0))

    def test_fallback_relays_of_all_domains_in_turn(self):
        """Guards against VMs without updates while the store refuses their calls.

        They try all relays one after the other, also those in other failure domains.
        """
        fleet = build_fleet("vm-0", 9)
        for number in range(20, 40):
            key = f'{{"domain": "e", "address": "10.0.0.1:{number}"}}'
            fleet.apply(f"vm-{number}", key, 0.0)
        relays = RelayChooser(fleet, "vm-0")
        found = []
        while (relay := relays.choose_fallback(0.0)) is not None:
            self.assertNotIn(relay, found)
            found.append(relay)
            relays.exclude(relay, 0.0)
        self.assertGreater(len(found), 1)
        self.assertNotIn(f"10.0.0.1:{FIRST_PORT}", {relay.address for relay in found})
        again = relays.choose_fallback(peers.RELAY_EXCLUSION_S + 0.1)
        self.assertIn(again, found)

    def test_single_vm_watches_the_store(self):
        """Guards against a single VM that neither follows a relay nor watches."""
        self.assertIsNone(RelayChooser(build_fleet("vm-0"), "vm-0").choose(0.0))


class PeerServerTests(testtools.TestCase):
    """Snapshots for many VMs."""

    @run_in_virtual_time
    async def test_compressed_snapshot_is_shared_while_entries_expire(self):
        """Guards against a VM that compresses its content for each VM of the fleet.

        Load pattern: after a restore of the store, all VMs ask for the snapshot.
        """
        entry = RetainedEntry("a", "1", 1, 20.0)
        watcher = mock.Mock(is_loaded=True, last_applied_revision=1, revision=1)
        watcher.list_retained.return_value = [entry]
        watcher.list_entries.return_value = []
        request = mock.Mock(
            path=peers.SNAPSHOT_PATH, headers={"accept-encoding": peers.COMPRESSION}
        )
        server = PeerServer(watcher)
        compress = mock.Mock(wraps=zlib.compress)
        with mock.patch.object(peers.zlib, "compress", compress):
            for _ in range(20):
                await server.handle(request)
            self.assertEqual(1, compress.call_count)
            await trio.sleep(0.6)
            first = await server.handle(request)
            self.assertEqual(2, compress.call_count)
            watcher.list_retained.return_value = []
            second = await server.handle(request)
        self.assertNotEqual(first.body, second.body)


class PeerSnapshotsTests(testtools.TestCase):
    """Starting during a store outage, and bad requests to a peer."""

    @run_async
    async def test_newest_snapshot_is_used(self):
        """Guards against starting with an older configuration than a peer has."""
        async with open_relay() as (store, watcher, address):
            await store.put("b", "2", 0)
            while "b" not in {entry.key for entry in watcher.list_entries()}:
                await trio.sleep(0.05)
            dead = await reserve_closed_port()
            snapshots = PeerSnapshots((dead, address), "10.0.0.1:1")
            snapshot = await snapshots.fetch()
            keys = {entry.key for entry in snapshot.entries}
            self.assertEqual({"a", "b"}, keys)

    @run_async
    async def test_start_uses_the_snapshot_of_a_connected_vm(self):
        """Guards against a VM that lists the store although a seed has its content."""
        async with open_relay() as (_, watcher, address):
            dead = await reserve_closed_port()
            snapshots = PeerSnapshots(
                (dead, address), "10.0.0.1:1", start_timeout_s=TEST_TIMEOUT_S
            )
            snapshot = await snapshots.fetch_at_start()
            self.assertEqual(watcher.revision, snapshot.revision)
            self.assertEqual(["a"], [entry.key for entry in snapshot.entries])

    @run_async
    async def test_start_does_not_use_a_vm_without_the_store(self):
        """Guards against a restart that brings back a target that had left.

        The seed is cut off from the store and does not know what has changed.
        """
        async with open_relay() as (_, watcher, address):
            watcher.is_connected = False
            snapshots = PeerSnapshots(
                (address,), "10.0.0.1:1", start_timeout_s=TEST_TIMEOUT_S
            )
            self.assertIsNone(await snapshots.fetch_at_start())

    @run_async
    async def test_start_does_not_wait_for_a_seed_that_starts_too(self):
        """Guards against refusing callers while a VM waits for a seed's listing.

        Load pattern: all VMs start at the same time after a loss of power.
        """
        async with open_relay() as (_, watcher, address):
            watcher.revision = None
            watcher.is_loaded = False
            snapshots = PeerSnapshots(
                (address,), "10.0.0.1:1", start_timeout_s=10 * TEST_TIMEOUT_S
            )
            with trio.fail_after(peers.PEER_TIMEOUT_S):
                self.assertIsNone(await snapshots.fetch_at_start())

    @run_async
    async def test_content_from_before_an_outage_is_offered(self):
        """Guards against a VM that cannot start during an outage of the store.

        The other VM has given up its watch, but still knows the content.
        """
        async with open_relay() as (_, watcher, address):
            watcher.revision = None
            watcher.is_connected = False
            snapshot = await PeerSnapshots((address,), "10.0.0.1:1").fetch()
            self.assertFalse(snapshot.is_current)
            self.assertEqual(["a"], [entry.key for entry in snapshot.entries])

    @run_async
    async def test_start_after_a_restore_waits_for_a_busy_vm(self):
        """Guards against an older configuration because another VM answered late.

        The store came back from an older copy; test_restored_store found it beside a
        soak, when a VM took longer than `START_TIMEOUT_S`.
        """
        async with open_relay() as (_, watcher, _):

            async def answer_late(request):
                await trio.sleep(3 * peers.START_TIMEOUT_S)
                return await PeerServer(watcher).handle(request)

            async with start_server(answer_late) as address:
                snapshots = PeerSnapshots((address,), "10.0.0.1:1")
                self.assertIsNone(await snapshots.fetch_at_start())
                snapshot = await snapshots.fetch_any()
                self.assertEqual(["a"], [entry.key for entry in snapshot.entries])

    @run_async
    async def test_wait_at_the_start_is_bounded(self):
        """Guards against a VM that never starts when its seeds are gone or stuck."""
        dead = await reserve_closed_port()
        stuck = trio.socket.socket()
        await stuck.bind(("127.0.0.1", 0))
        stuck.listen()
        stuck_address = f"127.0.0.1:{stuck.getsockname()[1]}"
        for addresses, bound_s in (
            ((dead,), 0.15),
            ((stuck_address,), peers.PEER_TIMEOUT_S),
            ((dead, stuck_address), peers.PEER_TIMEOUT_S),
        ):
            snapshots = PeerSnapshots(addresses, "10.0.0.1:1")
            with trio.fail_after(bound_s):
                self.assertIsNone(await snapshots.fetch_at_start())
        stuck.close()
        seed = PeerSnapshots((dead, "10.0.0.1:1"), "10.0.0.1:1")
        with trio.fail_after(0.1):
            self.assertIsNone(await seed.fetch_at_start())

    @run_async
    async def test_bad_requests_are_refused(self):
        """Guards against an exception on requests that another release sends."""
        async with open_relay() as (_, _, address):
            connection = await httpio.HttpConnection.open(address, 1.0)
            for path, status in (("/v1/changes", 400), ("/other", 404)):
                response = await connection.exchange("GET", path)
                self.assertEqual(status, response.status)
            connection.close()
