"""Tests of the log of the store's changes."""

import math

import testtools

from tarragonchute import changes
from tarragonchute.changes import ChangeLog
from tarragonchute.store import Entry


def build_log(*entries, start=10):
    """Return a log with changes given as (key, value, revision)."""
    log = ChangeLog(start)
    for entry in entries:
        log.record(Entry(*entry))
    return log


def list_after(log, revision):
    """Return the changes after a revision as (key, value, revision), or None."""
    entries = log.list_after(revision)
    if entries is None:
        return None
    return [(entry.key, entry.value, entry.revision) for entry in entries]


class ChangeLogTests(testtools.TestCase):
    """What followers get, and what is kept for them."""

    def test_latest_change_of_each_key_is_kept(self):
        """Guards against keeping each version of a configuration in memory."""
        log = build_log(("a", "1", 11), ("b", "2", 12), ("a", "3", 13))
        expected = [("b", "2", 12), ("a", "3", 13)]
        for revision in (10, 11):
            self.assertEqual(expected, list_after(log, revision))
        self.assertEqual([("a", "3", 13)], list_after(log, 12))
        self.assertEqual([], list_after(log, 13))

    def test_removed_key_is_reported(self):
        """Guards against followers that keep a target which has left."""
        log = build_log(("a", "1", 11), ("a", None, 12))
        self.assertEqual([("a", None, 12)], list_after(log, 10))

    def test_earlier_revision_needs_a_snapshot(self):
        """Guards against followers that miss changes from before the log began."""
        self.assertIsNone(list_after(build_log(("a", "1", 11)), 9))
        self.assertIsNone(list_after(ChangeLog(math.inf), 10**9))

    def test_dropped_keys_need_a_snapshot(self):
        """Guards against followers that miss the changes which were dropped."""
        self.patch(changes, "MAX_KEYS", 2)
        log = build_log(("a", "1", 11), ("b", "2", 12), ("c", "3", 13))
        self.assertIsNone(list_after(log, 10))
        self.assertEqual([("b", "2", 12), ("c", "3", 13)], list_after(log, 11))
        log.record(Entry("b", "4", 14))
        self.assertEqual([("c", "3", 13), ("b", "4", 14)], list_after(log, 11))
