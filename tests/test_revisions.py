"""Tests of a store that comes back from an older copy, in virtual time."""

import math

import orjson
import testtools
import trio

from standins.platform import PlatformOperator, PlatformStoreServer, build_configuration
from tarragonchute import peers
from tarragonchute.errors import (
    ConditionOutdatedError,
    LeaseNotFoundError,
    RelayWithoutStoreError,
    StoreEraChangedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tarragonchute.fleet import (
    RENEW_INTERVAL_S,
    VM_PREFIX,
    Fleet,
    VmInfo,
    VmRegistration,
)
from tarragonchute.gateway import Gateway
from tarragonchute.httpio import HttpRequest, ServerOptions
from tarragonchute.peers import PeerSnapshot
from tarragonchute.platform.main import GatewayUpdater
from tarragonchute.platform.names import HEADER_NAMES
from tarragonchute.platform.store import PlatformStore
from tarragonchute.registry import REGISTRATION_GRACE_S
from tarragonchute.revisions import (
    MAX_ERA,
    RESTORED_KEY_RETENTION_S,
    RetainedEntries,
    RetainedEntry,
    StoreEras,
    compose_revision,
    get_era,
)
from tarragonchute.store import Entry
from tarragonchute.storewatcher import PROBE_INTERVAL_S, StoreWatcher

from .test_fleet import build_fleet
from .test_gateway import build_settings
from .test_platform import REGISTRATION
from .trial import run_in_virtual_time

EVACUATION = "op/evacuate/d"
CONFIGURATION = "op/config"
TARGET = "servers/i-1"

NOTICE_S = PROBE_INTERVAL_S + 0.6
"""Time until a VM that watches the store has listed it in a new era."""


class LocalTransport:
    """Passes the calls of a `PlatformStore` to a stand-in server in this process.

    Attributes
    ----------
    calls : list of str
        Names of the calls that were sent.
    is_cut : bool
        Whether calls fail.
    """

    def __init__(self, server):
        self.server = server
        self.calls = []
        self.is_cut = False

    async def read(self, name, target, wait_s=0.0):
        path, _, text = target.partition("?")
        query = dict(part.split("=") for part in text.split("&"))
        query = {key: value.replace("%2F", "/") for key, value in query.items()}
        return await self._call(name, HttpRequest("GET", path, query), 1.5 + wait_s)

    async def write(self, name, method, path, data):
        return await self._call(name, HttpRequest(method, path, body=data), 1.5)

    async def _call(self, name, request, timeout_s):
        self.calls.append(name)
        with trio.move_on_after(timeout_s):
            while not self.is_cut:
                await trio.sleep(0.004)
                response = await self.server.handle(request)
                names = {key.lower(): value for key, value in response.headers.items()}
                response.headers = names
                return response
        raise StoreUnavailableError("cut off")


def build_store(server, eras=None):
    """Return a client of a stand-in server, and its transport."""
    store = PlatformStore("127.0.0.1:1", eras=eras)
    store._transport = LocalTransport(server)
    return store, store._transport


def build_server(era=1):
    """Return a stand-in server that states an era."""
    server = PlatformStoreServer()
    server.era = era
    return server


class StoreErasTests(testtools.TestCase):
    """Eras as the store states them."""

    def test_missing_or_malformed_era_is_the_known_one(self):
        """Guards against a new era because of one odd answer; logged once."""
        eras = StoreEras()
        self.assertEqual(0, eras.read(None))
        eras.observe(3)
        with self.assertLogs("tarragonchute.revisions") as logs:
            for text in ("", "x", "-1", "4.0", " 4", str(MAX_ERA + 1), "9" * 5000):
                self.assertEqual(3, eras.read(text), text)
        self.assertEqual(1, len(logs.records))
        self.assertEqual(3, eras.read(None))

    def test_order(self):
        """Guards against a revision of an earlier era that counts as newer."""
        eras = StoreEras()
        self.assertTrue(eras.observe(eras.read("2")))
        self.assertFalse(eras.observe(1))
        self.assertEqual(2, eras.current)
        self.assertTrue(eras.observe(7))
        self.assertLess(compose_revision(1, 2**47), compose_revision(2, 1))
        largest = compose_revision(MAX_ERA, 2**48 - 1)
        self.assertEqual(largest, orjson.loads(orjson.dumps(largest)))


class ClientTests(testtools.TestCase):
    """The store's client; see the table of cases in docs/design/store-eras.md."""

    async def check_error(self, error_type, call, *arguments):
        try:
            await call(*arguments)
        except error_type:
            return
        self.fail(f"{call} did not raise {error_type}")

    @run_in_virtual_time
    async def test_answer_of_an_earlier_era_is_not_used(self):
        """Guards against content of the lost history after a restore."""
        server = build_server(era=2)
        store, _ = build_store(server)
        await store.probe()
        server.era = 1
        await self.check_error(StoreUnavailableError, store.list, "")
        await self.check_error(StoreUnavailableError, store.probe)
        await self.check_error(StoreOutcomeUnknownError, store.put, "k", "v", 0)

    @run_in_virtual_time
    async def test_calls_with_revisions_of_an_earlier_era_are_not_sent(self):
        """Guards against a write on top of a revision that was given out again."""
        server = build_server()
        store, transport = build_store(server)
        revision = await store.put("k", "v", 0)
        lease = await store.grant_lease(12.0)
        await server.restore(server.copy())
        await store.probe()
        sent = len(transport.calls)
        await self.check_error(ConditionOutdatedError, store.put, "k", "w", revision)
        await self.check_error(ConditionOutdatedError, store.delete, "k", revision)
        await self.check_error(StoreEraChangedError, store.watch, "", revision, 1.0)
        await self.check_error(LeaseNotFoundError, store.renew_lease, lease)
        await self.check_error(LeaseNotFoundError, store.put, "m", "w", 0, lease)
        self.assertEqual(sent, len(transport.calls))

    @run_in_virtual_time
    async def test_write_during_the_restore_has_an_unknown_outcome(self):
        """Guards against a confirmed write that hit a reused revision."""
        server = build_server()
        store, _ = build_store(server)
        empty = server.copy()
        revision = await store.put("k", "v", 0)
        await server.restore(empty)
        await server.store.put("k", "of another VM", 0)
        await self.check_error(StoreOutcomeUnknownError, store.put, "k", "w", revision)

    @run_in_virtual_time
    async def test_renewal_during_the_restore_counts_as_lost(self):
        """Guards against a VM that renews the lease of another one as its own."""
        server = build_server()
        store, _ = build_store(server)
        empty = server.copy()
        lease = await store.grant_lease(12.0)
        await server.restore(empty)
        await server.store.grant_lease(12.0)
        await self.check_error(LeaseNotFoundError, store.renew_lease, lease)

    @run_in_virtual_time
    async def test_store_without_eras(self):
        """Guards against changed revisions or leases where the store has no eras."""
        server = PlatformStoreServer()
        store, _ = build_store(server)
        revision = await store.put("k", "v", 0)
        self.assertEqual(server.store.revision, revision)
        lease = await store.grant_lease(12.0)
        await server.restore(server.copy())
        await store.renew_lease(lease)
        self.assertEqual(revision + 1, await store.put("k", "w", revision))


class TimedRules:
    """Retains all keys for 10 s, but older numbers under ``n`` without limit."""

    def choose_retention_s(self, key, known, restored):
        if key != "n":
            return RESTORED_KEY_RETENTION_S
        return math.inf if restored is None or restored < known else 0.0


def build_entries(era, **rows):
    """Return entries by key from ``key=(value, revision)``."""
    return {
        key: Entry(key, value, compose_revision(era, revision))
        for key, (value, revision) in rows.items()
    }


class RetainedEntriesTests(testtools.TestCase):
    """What is kept, and until when."""

    def begin(self, before, after, removed=None, start=1):
        retained = RetainedEntries(TimedRules())
        retained.continue_era(before, compose_revision(1, start))
        if removed is not None:
            entry = Entry(removed.key, None, compose_revision(1, 90))
            retained.apply_change(removed, entry)
        retained.begin_era(before, after, compose_revision(2, 80), 0.0)
        return retained

    def get(self, retained, after, key):
        entry = retained.apply_to(after).get(key)
        return None if entry is None else entry.value

    def test_lost_key_is_kept_for_a_while(self):
        """Guards against an evacuation that ends because the copy is older."""
        before = build_entries(1, a=("x", 50))
        retained = self.begin(before, {})
        self.assertEqual("x", self.get(retained, {}, "a"))
        self.assertEqual([], retained.remove_expired(RESTORED_KEY_RETENTION_S - 0.1))
        self.assertEqual(["a"], retained.remove_expired(RESTORED_KEY_RETENTION_S))
        self.assertIsNone(self.get(retained, {}, "a"))

    def test_key_that_had_been_removed_stays_removed(self):
        """Guards against an evacuation that begins because the copy is older."""
        after = build_entries(2, a=("x", 50))
        removed = build_entries(1, a=("x", 50))["a"]
        self.assertIsNone(self.get(self.begin({}, after, removed), after, "a"))
        # From before this VM's start.
        self.assertIsNone(self.get(self.begin({}, after, start=60), after, "a"))

    def test_key_written_before_the_listing_counts(self):
        """Guards against an evacuation of the new era that begins 10 s late."""
        after = build_entries(2, a=("x", 50))
        removed = build_entries(1, a=("x", 40))["a"]
        self.assertEqual("x", self.get(self.begin({}, after, removed), after, "a"))
        self.assertEqual("x", self.get(self.begin({}, after, start=49), after, "a"))
        # The copy is older than this VM's start, as a key shows that went back.
        before = build_entries(1, z=("y", 45))
        after = build_entries(2, a=("x", 50), z=("w", 5))
        self.assertEqual("x", self.get(self.begin(before, after, start=60), after, "a"))
        # The same revision with another value was given out again.
        before = build_entries(1, a=("y", 50))
        after = build_entries(2, a=("x", 50))
        self.assertEqual("x", self.get(self.begin(before, after), after, "a"))

    def test_change_counts_at_once(self):
        """Guards against a change of the operator that waits for the retention."""
        before = build_entries(1, a=("x", 50))
        retained = self.begin(before, {})
        entry = build_entries(2, a=("z", 81))["a"]
        self.assertTrue(retained.apply_change(None, entry))
        self.assertEqual("z", self.get(retained, {"a": entry}, "a"))

    def test_older_value_is_never_used(self):
        """Guards against a return to an older configuration after 10 s."""
        before = build_entries(1, n=("3", 50))
        after = build_entries(2, n=("2", 40))
        retained = self.begin(before, after)
        self.assertEqual([], retained.remove_expired(1e6))
        entry = build_entries(2, n=("2", 90))["n"]
        self.assertFalse(retained.apply_change(after["n"], entry))
        self.assertEqual("3", self.get(retained, {"n": entry}, "n"))
        newer = build_entries(2, n=("4", 91))["n"]
        self.assertTrue(retained.apply_change(entry, newer))
        self.assertEqual(0, len(retained))

    def test_second_restore(self):
        """Guards against losing what was kept when the era changes again."""
        before = build_entries(1, a=("x", 50), n=("3", 51))
        retained = self.begin(before, {})
        retained.begin_era({}, {}, compose_revision(3, 80), 5.0)
        self.assertEqual("x", self.get(retained, {}, "a"))
        self.assertEqual("3", self.get(retained, {}, "n"))
        self.assertEqual(["a"], retained.remove_expired(15.0))


class Vm:
    """A VM's watcher and gateway state, connected to a stand-in store.

    Parameters
    ----------
    server : PlatformStoreServer
    relays, peers
        See `StoreWatcher`.
    """

    def __init__(self, server, relays=None, peers=None):
        self.eras = StoreEras()
        self.store, self.transport = build_store(server, self.eras)
        self.gateway = Gateway(build_settings(), HEADER_NAMES, ServerOptions())
        self.watcher = StoreWatcher(
            self.store,
            GatewayUpdater(self.gateway),
            relays=relays,
            peers=peers,
            eras=self.eras,
        )

    @property
    def version(self):
        return self.gateway.table and self.gateway.table.version

    @property
    def evacuated(self):
        return set(self.gateway.registry.evacuated)

    def is_usable(self):
        """Whether the target ``i-1`` may get requests."""
        return bool(self.gateway.registry.list_usable("s"))


class VmRelay:
    """Follows the watcher of another VM.

    Attributes
    ----------
    frozen_revision : int or None
        Revision that it goes on to return, without changes.
    """

    def __init__(self, vm):
        self.vm = vm
        self.errors = []
        self.frozen_revision = None

    def choose(self, now):
        return self

    async def watch(self, after):
        watcher = self.vm.watcher
        if self.frozen_revision or watcher.revision <= after:
            with trio.move_on_after(0.8):
                await watcher.wait_for_change()
        if self.frozen_revision is not None:
            return [], self.frozen_revision, False
        entries = watcher.list_changes(after)
        if entries is None:
            return watcher.list_entries(), watcher.revision, True
        return entries, watcher.revision, False

    def record_failure(self, error, now):
        self.errors.append(error)
        return True

    def record_success(self):
        pass


class VmPeers:
    """Returns the snapshot of another VM, or None."""

    def __init__(self, vm=None):
        self.vm = vm

    async def fetch_at_start(self):
        return None

    async def fetch_any(self):
        if self.vm is None:
            return None
        watcher = self.vm.watcher
        return PeerSnapshot(
            watcher.list_entries(),
            watcher.last_applied_revision,
            True,
            watcher.list_retained(),
        )


class RestoredStoreTests(testtools.TestCase):
    """VMs whose store comes back from an older copy.

    The copy has version 1, no evacuation, and a ready target. Since then, version 2 and
    an evacuation were written, and the target has reported that it drains.
    """

    async def write_registration(self, state, sequence):
        body = {**REGISTRATION, "state": state, "call-seq": sequence}
        await self.operator.write(TARGET, orjson.dumps(body).decode())

    async def start(self, nursery, **options):
        """Start a VM, write, and return the VM and the copy from before."""
        self.server = build_server(**options)
        self.operator = PlatformOperator(self.server)
        await self.write_version(1)
        await self.write_registration("ready", 4)
        vm = await self.start_vm(nursery)
        copy = self.server.copy()
        await self.write_version(2)
        await self.operator.write(EVACUATION, "{}")
        await self.write_registration("draining", 5)
        await trio.sleep(3.0)
        self.check(vm)
        return vm, copy

    async def start_vm(self, nursery, **options):
        vm = Vm(self.server, **options)
        self.addCleanup(vm.gateway.reactor.close)
        nursery.start_soon(vm.watcher.run)
        await trio.sleep(1.0)
        return vm

    async def write_version(self, version):
        text = build_configuration(version, ["s"], "desk")
        await self.operator.write(CONFIGURATION, text)

    def check(self, vm):
        """Check that a VM has kept all that it had accepted."""
        self.assertEqual((2, {"d"}), (vm.version, vm.evacuated))
        self.assertFalse(vm.is_usable())
        self.assertTrue(vm.gateway.registry.get("i-1").registration.is_draining)

    @run_in_virtual_time
    async def test_accepted_content_is_kept(self):
        """Guards against losing what the copy lacks, and against keeping it for ever.

        The evacuation ends after 10 s unless it is written again.
        """
        async with trio.open_nursery() as nursery:
            vm, copy = await self.start(nursery)
            await self.server.restore(copy)
            await trio.sleep(NOTICE_S)
            self.assertEqual(2, get_era(vm.watcher.revision))
            self.check(vm)
            await trio.sleep(RESTORED_KEY_RETENTION_S - NOTICE_S - 0.1)
            self.check(vm)
            await trio.sleep(NOTICE_S + 0.2)
            self.assertEqual((2, set()), (vm.version, vm.evacuated))
            self.assertFalse(vm.is_usable())
            await self.write_registration("ready", 6)
            await trio.sleep(1.0)
            self.assertTrue(vm.is_usable())
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_changes_of_the_new_era_take_effect(self):
        """Guards against changes that are lost at revisions given out before."""
        async with trio.open_nursery() as nursery:
            vm, copy = await self.start(nursery)
            await self.server.restore(copy)
            await self.write_version(3)
            await self.operator.write("op/evacuate/e", "{}")
            await trio.sleep(NOTICE_S)
            self.assertEqual((3, {"d", "e"}), (vm.version, vm.evacuated))
            await self.operator.write(EVACUATION, "{}")
            await self.operator.write(EVACUATION, None)
            await trio.sleep(1.0)
            self.assertEqual({"e"}, vm.evacuated)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_ended_evacuation_does_not_return(self):
        """Guards against a failure domain that loses its load because of a copy."""
        async with trio.open_nursery() as nursery:
            vm, _ = await self.start(nursery)
            copy = self.server.copy()
            await self.operator.write(EVACUATION, None)
            await trio.sleep(1.0)
            self.assertEqual(set(), vm.evacuated)
            await self.server.restore(copy)
            await trio.sleep(RESTORED_KEY_RETENTION_S)
            self.assertEqual(set(), vm.evacuated)
            # Nobody has removed it again, so the store counts.
            await trio.sleep(NOTICE_S + 0.1)
            self.assertEqual({"d"}, vm.evacuated)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_missing_registration_is_kept_for_a_grace_period(self):
        """Guards against refused requests until targets have registered again."""
        async with trio.open_nursery() as nursery:
            vm, _ = await self.start(nursery)
            copy = self.server.copy()
            other = orjson.dumps({**REGISTRATION, "zone": "e"}).decode()
            await self.operator.write("servers/i-2", other)
            await trio.sleep(1.0)
            await self.server.restore(copy)
            await trio.sleep(NOTICE_S)
            self.assertTrue(vm.is_usable())
            await trio.sleep(REGISTRATION_GRACE_S)
            self.assertFalse(vm.is_usable())
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_missing_header(self):
        """Guards against another era because of answers without the header."""
        async with trio.open_nursery() as nursery:
            vm, _ = await self.start(nursery)
            self.server.hides_era = True
            await self.write_version(3)
            await trio.sleep(5.0)
            self.assertEqual((3, 1), (vm.version, get_era(vm.watcher.revision)))
            self.assertEqual(1, vm.transport.calls.count("list"))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_store_without_eras_counts_at_once(self):
        """Guards against retention where the store has no eras."""
        async with trio.open_nursery() as nursery:
            vm, copy = await self.start(nursery, era=None)
            await self.server.restore(copy)
            await trio.sleep(3.0)
            self.assertEqual((2, set()), (vm.version, vm.evacuated))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_first_header_comes_with_the_restore(self):
        """Guards against a store that states its era only once it has one."""
        async with trio.open_nursery() as nursery:
            vm, copy = await self.start(nursery, era=None)
            self.server.era = 0
            await self.server.restore(copy)
            await trio.sleep(NOTICE_S)
            self.assertEqual(1, get_era(vm.watcher.revision))
            self.check(vm)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_era_rises_by_more_than_one(self):
        """Guards against a VM that expects to see each era."""
        async with trio.open_nursery() as nursery:
            vm, copy = await self.start(nursery)
            self.server.era += 5
            await self.server.restore(copy)
            await trio.sleep(NOTICE_S)
            self.assertEqual(7, get_era(vm.watcher.revision))
            self.check(vm)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_era_falls(self):
        """Guards against content of the lost history, for example of an old replica."""
        async with trio.open_nursery() as nursery:
            vm, _ = await self.start(nursery)
            self.server.era = 0
            await self.write_version(3)
            await trio.sleep(5.0)
            self.assertFalse(vm.watcher.is_connected)
            self.check(vm)
            self.server.era = 1
            await trio.sleep(3.0)
            self.assertEqual(3, vm.version)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_era_changes_twice(self):
        """Guards against losing what was kept at the first restore."""
        async with trio.open_nursery() as nursery:
            vm, copy = await self.start(nursery)
            for _ in range(2):
                await self.server.restore(copy)
                await trio.sleep(NOTICE_S)
            self.assertEqual(3, get_era(vm.watcher.revision))
            self.check(vm)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_era_changes_while_cut_off(self):
        """Guards against a VM that goes on in the old era when the store is back.

        A paused VM, too, makes no call for a time and then finds another era.
        """
        for restores in (1, 2):
            async with trio.open_nursery() as nursery:
                vm, copy = await self.start(nursery)
                vm.transport.is_cut = True
                for _ in range(restores):
                    await self.server.restore(copy)
                    await trio.sleep(20.0)
                self.check(vm)
                await self.write_version(3)
                vm.transport.is_cut = False
                await trio.sleep(3.0)
                self.assertEqual((3, {"d"}), (vm.version, vm.evacuated))
                self.assertFalse(vm.is_usable())
                await trio.sleep(RESTORED_KEY_RETENTION_S)
                self.assertEqual(set(), vm.evacuated)
                nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_follower_hears_of_the_era_from_its_relay(self):
        """Guards against followers that wait for a revision of the lost history."""
        async with trio.open_nursery() as nursery:
            relay, copy = await self.start(nursery)
            vm = await self.start_vm(nursery, relays=VmRelay(relay))
            await self.server.restore(copy)
            await trio.sleep(NOTICE_S + 0.2)
            self.assertEqual(2, get_era(vm.watcher.revision))
            self.assertEqual(2, vm.eras.current)
            self.check(vm)
            await self.write_version(3)
            await trio.sleep(1.5)
            self.assertEqual(3, vm.version)
            self.assertEqual(1, vm.transport.calls.count("list"))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_follower_hears_of_the_era_before_its_relay(self):
        """Guards against listings by all followers, and against a step back."""
        async with trio.open_nursery() as nursery:
            relay, copy = await self.start(nursery)
            relays = VmRelay(relay)
            vm = await self.start_vm(nursery, relays=relays)
            relays.frozen_revision = relay.watcher.revision
            await self.server.restore(copy)
            await vm.store.probe()
            await trio.sleep(0.3)
            self.assertEqual(1, get_era(vm.watcher.revision))
            self.assertEqual(1, vm.transport.calls.count("list"))
            # Once it is in the new era, a relay of the earlier one does not count.
            await vm.watcher._load_listing()
            await trio.sleep(2.0)
            self.assertEqual(2, get_era(vm.watcher.revision))
            self.assertIsInstance(relays.errors[0], RelayWithoutStoreError)
            self.check(vm)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_start_in_the_new_era(self):
        """Guards against an older configuration on a VM that starts after a restore.

        What the other VM keeps ends on both at the same time. Without another VM, the
        store counts.
        """
        async with trio.open_nursery() as nursery:
            other, copy = await self.start(nursery)
            await self.server.restore(copy)
            await trio.sleep(NOTICE_S)
            vm = await self.start_vm(nursery, peers=VmPeers(other))
            self.check(vm)
            lone = await self.start_vm(nursery, peers=VmPeers())
            self.assertEqual((1, set()), (lone.version, lone.evacuated))
            await trio.sleep(RESTORED_KEY_RETENTION_S - NOTICE_S)
            self.assertEqual(set(), vm.evacuated)
            self.assertEqual(2, vm.version)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_start_beside_a_vm_of_the_earlier_era(self):
        """Guards against the store's older content while others have not noticed."""
        async with trio.open_nursery() as nursery:
            other, copy = await self.start(nursery)
            other.transport.is_cut = True
            await self.server.restore(copy)
            vm = await self.start_vm(nursery, peers=VmPeers(other))
            self.assertEqual(2, get_era(vm.watcher.revision))
            self.check(vm)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_copy_older_than_the_start_of_all_vms(self):
        """Guards against following an empty store."""
        async with trio.open_nursery() as nursery:
            empty = PlatformStoreServer().copy()
            vm, _ = await self.start(nursery)
            await self.server.restore(empty)
            await trio.sleep(NOTICE_S)
            self.check(vm)
            await self.write_version(3)
            await trio.sleep(1.0)
            self.assertEqual(3, vm.version)
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_calls_in_normal_operation(self):
        """Guards against billed calls that eras would add while nothing changes."""
        counts = []
        for era in (None, 1):
            async with trio.open_nursery() as nursery:
                vm, _ = await self.start(nursery, era=era)
                await trio.sleep(100.0)
                counts.append(sorted(vm.transport.calls))
                nursery.cancel_scope.cancel()
        self.assertEqual(*counts)

    @run_in_virtual_time
    async def test_listings_are_spread(self):
        """Guards against all VMs that list the store at one moment."""
        async with trio.open_nursery() as nursery:
            _, copy = await self.start(nursery)
            vms = [await self.start_vm(nursery) for _ in range(8)]
            await self.server.restore(copy)
            for vm in vms:
                vm.transport.calls.clear()
                vm.eras.observe(2)
            await trio.sleep(0.2)
            early = sum("list" in vm.transport.calls for vm in vms)
            await trio.sleep(0.4)
            self.assertLess(early, len(vms))
            self.assertEqual(
                [1] * len(vms), [vm.transport.calls.count("list") for vm in vms]
            )
            nursery.cancel_scope.cancel()


class VmRegistrationEraTests(testtools.TestCase):
    """The VM's own key in a new era."""

    @run_in_virtual_time
    async def test_key_is_written_again_under_a_new_lease(self):
        """Guards against a VM that keeps the lease of another one alive.

        Its own key would expire.
        """
        server = build_server()
        eras = StoreEras()
        store, transport = build_store(server, eras)
        fleet = build_fleet()
        empty = server.copy()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(VmRegistration(store, fleet, eras).run)
            await trio.sleep(3 * RENEW_INTERVAL_S)
            self.assertEqual(1, transport.calls.count("grant_lease"))
            await server.restore(empty)
            other = await server.store.grant_lease(12.0)
            await server.store.put("other", "1", 0, other)
            await trio.sleep(30.0)
            self.assertIsNotNone(await server.store.get(VM_PREFIX + "a"))
            self.assertIsNone(await server.store.get("other"))
            self.assertEqual(2, transport.calls.count("grant_lease"))
            nursery.cancel_scope.cancel()

    @run_in_virtual_time
    async def test_registrations_are_spread(self):
        """Guards against writes of all VMs at one moment."""
        server = build_server()
        transports = []
        all_eras = [StoreEras() for _ in range(8)]
        async with trio.open_nursery() as nursery:
            for number, eras in enumerate(all_eras):
                store, transport = build_store(server, eras)
                transports.append(transport)
                fleet = Fleet(VmInfo(f"vm-{number}", "d"))
                nursery.start_soon(VmRegistration(store, fleet, eras).run)
            await trio.sleep(1.0)
            copy = server.copy()
            await server.restore(copy)
            for eras in all_eras:
                eras.observe(2)
            await trio.sleep(0.7)
            counts = [transport.calls.count("grant_lease") for transport in transports]
            self.assertIn(1, counts)
            await trio.sleep(1.5)
            counts = [transport.calls.count("grant_lease") for transport in transports]
            self.assertEqual([2] * len(counts), counts)
            nursery.cancel_scope.cancel()


class SnapshotMessageTests(testtools.TestCase):
    """What VMs tell each other of retained entries."""

    @run_in_virtual_time
    async def test_retained_entries(self):
        """Guards against a message that changes what is kept, or for how long."""
        watcher = StoreWatcher(None, TimedRules())
        revision = compose_revision(2, 7)
        kept = [
            RetainedEntry("k", None, revision, trio.current_time() + 4.0),
            RetainedEntry("n", "3", 0, math.inf),
        ]
        watcher.list_retained = lambda: kept
        request = HttpRequest("GET", peers.SNAPSHOT_PATH)
        watcher.is_loaded = True
        await trio.sleep(1.0)
        response = await peers.PeerServer(watcher).handle(request)
        snapshot = peers._decode_snapshot(response)
        self.assertEqual(
            [("k", None, revision, 3.0), ("n", "3", 0, math.inf)],
            [
                (e.key, e.value, e.restored_revision, e.until - trio.current_time())
                for e in snapshot.retained
            ],
        )
        # Another release does not send them, or in another form.
        response.body = orjson.dumps({"rows": [], "revision": 1, "retained": [[1]]})
        self.assertRaises(ValueError, peers._decode_snapshot, response)
        response.body = orjson.dumps({"rows": [], "revision": 1})
        self.assertEqual([], peers._decode_snapshot(response).retained)

    @run_in_virtual_time
    async def test_compressed_snapshot_is_current(self):
        """Guards against a cached snapshot with entries that have expired."""
        watcher = StoreWatcher(None, TimedRules())
        watcher.is_loaded = True
        server = peers.PeerServer(watcher)
        headers = {"accept-encoding": peers.COMPRESSION}
        request = HttpRequest("GET", peers.SNAPSHOT_PATH, headers=headers)
        counts = []
        for kept in ([RetainedEntry("k", None, 0, 10.0)], [], []):
            watcher.list_retained = lambda kept=kept: kept
            response = await server.handle(request)
            response.headers = {"content-encoding": peers.COMPRESSION}
            counts.append(len(peers._decode_snapshot(response).retained))
        self.assertEqual([1, 0, 0], counts)

    def test_snapshot_replaces_what_was_written_since(self):
        """Guards against a retained entry that outlives a later write."""
        retained = RetainedEntries(TimedRules())
        entry = RetainedEntry("k", None, compose_revision(2, 7), math.inf)
        retained.adopt([entry])
        self.assertEqual([entry], retained.list_entries())
        self.assertEqual({}, retained.apply_to(build_entries(2, k=("v", 7))))
        retained.continue_era(build_entries(2, k=("v", 8)), compose_revision(2, 9))
        self.assertEqual([], retained.list_entries())
