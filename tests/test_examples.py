"""Tests of the example settings and of the generated pages."""

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
    """Settings below examples/."""

    def test_examples_pass_the_check(self):
        """Guards against examples that a schema change has broken."""
        checked = check_files([EXAMPLES / "hollowmere", EXAMPLES / "shedlist"])
        self.assertEqual(14, len(checked))

    def test_committed_files_are_the_generated_ones(self):
        """Guards against edits by hand that the next run of the tool undoes."""
        with tempfile.TemporaryDirectory() as folder:
            for path in write_examples(pathlib.Path(folder)):
                committed = EXAMPLES / path.relative_to(folder)
                self.assertEqual(path.read_text(), committed.read_text(), committed)

    def test_sizes_and_spread(self):
        """Guards against examples that do not show the size of the deployments."""
        for name, targets, domains in (("hollowmere", 108, 4), ("shedlist", 107, 3)):
            tree = load_tree_files(EXAMPLES / name).tree
            self.assertEqual(targets, len(tree.list_targets()))
            self.assertEqual(domains, len(tree.fleet.domains))
            for dataset in tree.datasets.values():
                for layout in dataset.layouts.values():
                    for shard, ids in layout.items():
                        places = {dataset.targets[one].domain for one in ids}
                        # One failure domain must never hold a whole shard.
                        self.assertEqual(len(ids), len(places), shard)


class PageTests(testtools.TestCase):
    """Pages that repeat what the code says."""

    def test_settings_page_is_the_generated_one(self):
        """Guards against a page that describes other options than the parser."""
        self.assertEqual(render_page(), PAGE.read_text())

    def test_operators_page_lists_every_metric(self):
        """Guards against alerts on metrics that do not exist."""
        text = (PAGE.parent / "OPERATIONS.md").read_text()
        listed = set(re.findall(r"`(tarragonchute_\w+)`", text))
        specs = [*METRIC_SPECS, *gatewaymetrics.SPECS]
        self.assertEqual({spec.name for spec in specs}, listed)


class LauncherTests(testtools.TestCase):
    """Temporary folders of the shipped file."""

    def test_only_folders_of_ended_processes_are_removed(self):
        """Guards against a start that deletes the modules of a running VM."""
        with tempfile.TemporaryDirectory() as parent:
            parent = pathlib.Path(parent)
            live, live_lock = create_folder(parent)
            killed, killed_lock = create_folder(parent)
            os.close(killed_lock)
            remove_stale_folders(parent)
            self.assertEqual((True, False), (live.exists(), killed.exists()))
            remove_folder(live, live_lock)
            self.assertEqual([], list(parent.iterdir()))
