"""Tests of the example settings and of the generated pages."""

import pathlib
import tempfile

import testtools

from tarragonchute.commands import check_files
from tarragonchute.settings import load_tree_files
from tools.generate_examples import EXAMPLES, write_examples


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
