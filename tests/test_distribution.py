"""Tests of synchronizing the settings of VMs, without processes."""

import testtools
import trio

from tarragonchute.configuration import Configuration, SubtreeValue
from tarragonchute.distribution import SettingsSynchronizer
from tarragonchute.membership import (
    Member,
    Membership,
    View,
    add_to_view,
    remove_from_view,
)
from tarragonchute.store import MemoryStore

from .trial import run_in_virtual_time


class RecordingLink:
    """Records the messages that are sent to other VMs."""

    def __init__(self):
        self.sent = []

    def send(self, vm_id, kind, body):
        self.sent.append((vm_id, kind, body))


class AcknowledgementTests(testtools.TestCase):
    """Which VMs count towards the majority that has a version of the settings."""

    def start(self):
        """Create VM ``a`` in a view with ``b`` and ``c``, which all have version 5."""
        self.membership = Membership("a", "a-1", "h:1", "d")
        self.configuration = Configuration()
        self.sync = SettingsSynchronizer(
            self.configuration,
            self.membership,
            MemoryStore(),
            RecordingLink(),
            lambda: None,
            lambda revision, known_revision: None,
            lambda: 0,
        )
        view = None
        for vm_id in "abc":
            view = add_to_view(view, vm_id, Member(f"{vm_id}-1", "h:1", "d"))
        self.adopt(view)
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


class LogTests(testtools.TestCase):
    """What operators read about a change of the settings."""

    def list_lines(self, text):
        """Return the log lines of applying a text as the settings of the fleet."""
        sync = SettingsSynchronizer(
            Configuration(),
            Membership("a", "a-1"),
            MemoryStore(),
            RecordingLink(),
            lambda: None,
            lambda revision, known_revision: None,
            lambda: 0,
        )
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
