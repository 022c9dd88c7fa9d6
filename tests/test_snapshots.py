"""Tests of the choice of a snapshot version."""

import testtools

from tarragonchute import errors
from tarragonchute.settings import DatasetSettings, SettingsTree
from tarragonchute.snapshots import REFUSAL_EXPIRY_S, SnapshotChooser

LAYOUT = {"s0": ["t0", "t1"]}


class SnapshotChooserTests(testtools.TestCase):
    """Pinning a version, and alternatives to one that is missing."""

    def setUp(self):
        super().setUp()
        self.chooser = SnapshotChooser()
        layouts = {"v1": LAYOUT, "v2": LAYOUT, "v3": LAYOUT}
        self.chooser.set_tree(
            SettingsTree(datasets={"books": DatasetSettings("books", {}, layouts)})
        )

    def pin(self, now):
        return self.chooser.pin("books", now).version

    def refuse(self, version, now):
        self.chooser.report_missing("books", version, "s0", ["v1"], now)

    def test_newest_version_is_pinned(self):
        """Guards against answers from an outdated version."""
        self.assertEqual("v3", self.pin(0.0))

    def test_refused_version_is_avoided_for_a_while(self):
        """Guards against restarting every query because of the same missing version."""
        self.refuse("v3", 10.0)
        self.assertEqual("v2", self.pin(10.0 + REFUSAL_EXPIRY_S - 0.1))
        self.assertEqual("v3", self.pin(10.0 + REFUSAL_EXPIRY_S))

    def test_oldest_refusal_is_chosen_if_all_were_refused(self):
        """Guards against failing every query when all versions were refused."""
        for now, version in enumerate(("v2", "v1", "v3")):
            self.refuse(version, now)
        self.assertEqual("v2", self.pin(3.0))

    def test_alternative_is_the_newest_that_targets_offer(self):
        """Guards against a restart on a version that the targets lack."""
        cases = (({"v1", "v2"}, "v2"), ({"v1"}, "v1"), ({"v3", "v9"}, None))
        for offered, expected in cases:
            layout = self.chooser.choose_alternative("books", "v3", offered, 0.0)
            self.assertEqual(expected, layout and layout.version, offered)

    def test_alternative_was_not_refused_itself(self):
        """Guards against a restart on a version known to be missing."""
        self.refuse("v2", 0.0)
        layout = self.chooser.choose_alternative("books", "v3", {"v1", "v2"}, 1.0)
        self.assertEqual("v1", layout.version)

    def test_dataset_without_versions_is_unknown(self):
        """Guards against answering a query of an unknown dataset with no records.

        Such an answer would look complete.
        """
        self.chooser.set_tree(SettingsTree())
        self.assertRaises(errors.UnknownDatasetError, self.pin, 0.0)

    def test_pinned_layout_survives_a_repartition(self):
        """Guards against a wrong coverage because the shard count changed.

        The coverage of an answer is a fraction of the shard count, which must stay the
        same while a query runs.
        """
        pinned = self.chooser.pin("books", 0.0)
        self.chooser.set_layouts("books", {"v3": {"s0": ["t0"], "s1": ["t1"]}})
        self.assertEqual(LAYOUT, pinned.shards)
