"""Tests of synchronizing the settings of VMs, without processes."""

import testtools
import trio

from tarragonchute.configuration import Configuration, SubtreeValue
from tarragonchute.distribution import (
    SETTINGS_PULL,
    SETTINGS_PUSH,
    SettingsSynchronizer,
)
from tarragonchute.membership import (
    Member,
    Membership,
    View,
    add_to_view,
    remove_from_view,
)
from tarragonchute.store import MemoryStore

from .test_storewatcher import LostAnswerStore
from .trial import run_in_virtual_time


class RecordingLink:
    """Records the messages that are sent to other VMs."""

    def __init__(self):
        self.sent = []

    def send(self, vm_id, kind, body):
        self.sent.append((vm_id, kind, body))


def build_synchronizer(membership, store, link):
    """Return the synchronizer of one VM, which nothing else of the VM listens to."""
    return SettingsSynchronizer(
        Configuration(),
        membership,
        store,
        link,
        lambda: None,
        lambda revision, known_revision: None,
        lambda: 0,
    )


def build_view(vm_ids):
    """Return a view with the first process of each VM."""
    view = None
    for vm_id in vm_ids:
        view = add_to_view(view, vm_id, Member(f"{vm_id}-1", "h:1", "d"))
    return view


class AcknowledgementTests(testtools.TestCase):
    """Which VMs count towards the majority that has a version of the settings."""

    def start(self):
        """Create VM ``a`` in a view with ``b`` and ``c``, which all have version 5."""
        self.membership = Membership("a", "a-1", "h:1", "d")
        self.sync = build_synchronizer(self.membership, MemoryStore(), RecordingLink())
        self.configuration = self.sync._configuration
        self.adopt(build_view("abc"))
        value = SubtreeValue(5, "")
        self.sync.apply({"fleet": value}, 0.0)
        for vm_id in "bc":
            self.sync.handle_ack(vm_id, {"fleet": 5})

    def adopt(self, view):
        now = trio.current_time()
        self.membership.adopt_view(view, now)
        self.sync.handle_view_change(now)

    def restart(self, vm_id, number=2):
        """Adopt a view with another process of a VM."""
        member = Member(f"{vm_id}-{number}", "h:1", "d")
        self.adopt(add_to_view(self.membership.view, vm_id, member))

    def count_acknowledged(self):
        return self.configuration.count_acknowledged("fleet", 5, "abc")

    @run_in_virtual_time
    async def test_restarted_vm_does_not_count(self):
        """Guards against an accepted version that most VMs do not have.

        A VM that restarts has lost what it had, and the store may have lost it too.
        """
        self.start()
        self.assertEqual(3, self.count_acknowledged())
        self.restart("b")
        self.assertEqual(2, self.count_acknowledged())
        self.restart("c")
        self.assertEqual(1, self.count_acknowledged())
        self.assertFalse(self.configuration.is_accepted("fleet", 5, [set("abc")]))

    @run_in_virtual_time
    async def test_restarted_vm_counts_once_it_has_the_version(self):
        """Guards against a change that is never accepted after a restart."""
        self.start()
        self.restart("b")
        self.restart("c")
        self.sync.handle_ack("b", {"fleet": 5})
        self.assertTrue(self.configuration.is_accepted("fleet", 5, [set("abc")]))

    @run_in_virtual_time
    async def test_vm_that_joins_again_with_the_same_process_counts(self):
        """Guards against dropping what a VM still has that was evicted and returns."""
        self.start()
        view = self.membership.view
        self.adopt(remove_from_view(view, ["b"]))
        member = Member("b-1", "h:1", "d")
        self.adopt(add_to_view(self.membership.view, "b", member))
        self.assertEqual(3, self.count_acknowledged())

    @run_in_virtual_time
    async def test_vms_that_are_gone_are_forgotten(self):
        """Guards against memory that grows with each VM that is replaced."""
        self.start()
        for number in range(2, 40):
            self.restart("b", number)
        view = View(self.membership.epoch + 1, {"a": Member("a-1", "h:1", "d")})
        view.history.append(self.membership.epoch)
        self.adopt(view)
        self.assertEqual(["a"], list(self.sync._incarnations))
        self.assertEqual(1, self.count_acknowledged())


class RoutedLink:
    """Delivers settings messages to the synchronizers of other VMs at once."""

    def __init__(self, vm_id, synchronizers):
        self.vm_id = vm_id
        self.synchronizers = synchronizers

    def send(self, vm_id, kind, body):
        receiver = self.synchronizers[vm_id]
        if kind == SETTINGS_PULL:
            receiver.handle_pull(self.vm_id, body)
        elif kind == SETTINGS_PUSH:
            receiver.handle_settings(self.vm_id, body, trio.current_time())
        else:
            receiver.handle_ack(self.vm_id, body)


class LostAnswerTests(testtools.TestCase):
    """The store's answer to the watch of one VM is lost."""

    @run_in_virtual_time
    async def test_version_arrives_from_another_vm(self):
        """Guards against a VM that keeps old settings after one lost answer.

        On the platform all VMs of a failure domain did (review/3). Here VMs compare
        their versions with each heartbeat.
        """
        synchronizers = {}
        memberships = {}
        for vm_id in "ab":
            membership = memberships[vm_id] = Membership(vm_id, f"{vm_id}-1")
            link = RoutedLink(vm_id, synchronizers)
            synchronizers[vm_id] = build_synchronizer(
                membership, LostAnswerStore(), link
            )
        view = build_view("ab")
        for membership in memberships.values():
            membership.adopt_view(view, trio.current_time())
        store = synchronizers["a"]._store
        store.losses = 1
        value = SubtreeValue(5, "")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(synchronizers["a"].run)
            await trio.sleep(0.1)
            await store.put("settings/fleet", value.to_value(), 0)
            await trio.sleep(1.0)
            self.assertEqual(0, store.losses)
            self.assertEqual({}, synchronizers["a"].get_ages(0.0))
            synchronizers["b"].apply({"fleet": value}, trio.current_time())
            ((_, heartbeat),) = memberships["b"].build_heartbeats(trio.current_time())
            now = trio.current_time()
            memberships["a"].handle_heartbeat("b", heartbeat, now)
            synchronizers["a"].request_newer_settings(now)
            self.assertEqual({"fleet": 0.0}, synchronizers["a"].get_ages(now))
            nursery.cancel_scope.cancel()


class LogTests(testtools.TestCase):
    """What operators read about a change of the settings."""

    def list_lines(self, text):
        """Return the log lines of applying a text as the settings of the fleet."""
        membership = Membership("a", "a-1")
        sync = build_synchronizer(membership, MemoryStore(), RecordingLink())
        with self.assertLogs("tarragonchute.distribution") as logs:
            sync.apply({"fleet": SubtreeValue(5, text)}, 0.0)
        return [record.getMessage() for record in logs.records]

    def test_invalid_settings_are_not_reported_in_force(self):
        """Guards against a log that claims settings to be in force that are not."""
        (line,) = self.list_lines("[fleet")
        self.assertIn("are invalid, kept the old", line)

    def test_valid_settings_are_reported_in_force(self):
        """Guards against a change that leaves no line in the log."""
        lines = self.list_lines("")
        self.assertEqual(["settings fleet version 5 are in force"], lines)
