"""Tests of the example settings, the generated pages and the launcher's folders."""

import os
import pathlib
import re
import tempfile

import testtools

from tarragonchute import gatewaymetrics
from tarragonchute.commands import check_files
from tarragonchute.metrics import METRIC_SPECS
from tarragonchute.settings import load_tree_files
from tools.dist_launcher import create_folder, remove_folder, remove_stale_folders
from tools.generate_examples import EXAMPLES, write_examples
from tools.generate_settings_doc import PAGE, render_page


class ExampleTests(testtools.TestCase):
    """Settings files below examples/."""

    def test_examples_pass_the_check(self):
        """Guards against examples that became invalid by a schema change."""
        checked = check_files([EXAMPLES / "hollowmere", EXAMPLES / "shedlist"])
        self.assertEqual(14, len(checked))

    def test_committed_files_are_the_generated_ones(self):
        """Guards against manual edits that the next run of the generator overwrites."""
        with tempfile.TemporaryDirectory() as folder:
            for path in write_examples(pathlib.Path(folder)):
                committed = EXAMPLES / path.relative_to(folder)
                self.assertEqual(path.read_text(), committed.read_text(), committed)

    def test_sizes_and_domains(self):
        """Guards against examples whose size differs from that of the deployments.

        Also checks that no failure domain holds all replicas of a shard.
        """
        for name, targets, domains in (("hollowmere", 108, 4), ("shedlist", 107, 3)):
            tree = load_tree_files(EXAMPLES / name).tree
            self.assertEqual(targets, len(tree.list_targets()))
            self.assertEqual(domains, len(tree.fleet.domains))
            for dataset in tree.datasets.values():
                for layout in dataset.layouts.values():
                    for shard, ids in layout.items():
                        replica_domains = {dataset.targets[one].domain for one in ids}
                        # The replicas of a shard are in distinct failure domains.
                        self.assertEqual(len(ids), len(replica_domains), shard)


class PageTests(testtools.TestCase):
    """Pages generated from the code or checked against it."""

    def test_settings_page_is_the_generated_one(self):
        """Guards against a settings page that differs from the parser's options."""
        self.assertEqual(render_page(), PAGE.read_text())

    def test_operators_page_lists_every_metric(self):
        """Guards against documented metrics that do not exist, and missing ones.

        An alert on a nonexistent metric never fires.
        """
        text = (PAGE.parent / "OPERATIONS.md").read_text()
        listed = set(re.findall(r"`(tarragonchute_\w+)`", text))
        specs = [*METRIC_SPECS, *gatewaymetrics.SPECS]
        self.assertEqual({spec.name for spec in specs}, listed)


class LauncherTests(testtools.TestCase):
    """Temporary folders of the distribution file."""

    def test_only_folders_of_ended_processes_are_removed(self):
        """Guards against a start that removes the unpacked modules of a running VM.

        Folders of killed processes are removed; closing the lock's file descriptor
        stands for the kill.
        """
        with tempfile.TemporaryDirectory() as parent:
            parent = pathlib.Path(parent)
            live, live_lock = create_folder(parent)
            killed, killed_lock = create_folder(parent)
            os.close(killed_lock)
            remove_stale_folders(parent)
            self.assertEqual((True, False), (live.exists(), killed.exists()))
            remove_folder(live, live_lock)
            self.assertEqual([], list(parent.iterdir()))
