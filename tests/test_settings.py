"""Tests of the settings parser."""

import pathlib
import tempfile

import testtools

from tarragonchute.errors import FindingsError
from tarragonchute.settings import (
    check_tree,
    load_tree_files,
    parse_subtree,
    parse_vm_settings,
)

VM_TEXT = """[vm]
vm_id = vm-1
domain = north
caller_address = 0.0.0.0:8080
peer_address = 10.0.0.1:7000
admin_address = 127.0.0.1:9090
[store]
address = 10.0.0.2:4000
[vm_list]
address = 10.0.0.2:4001
"""

DATASET_TEXT = """[target a]
address = 10.0.1.1:80
domain = north
slots = 2
max_connections = 25
[layout v2]
s1 = a
[layout v1]
s1 = a
"""


def list_findings(function, *arguments):
    """Return the findings as texts; none if the call succeeds."""
    try:
        function(*arguments)
    except FindingsError as error:
        return [str(finding) for finding in error.findings]
    return []


class VmSettingsTests(testtools.TestCase):
    """Settings file of one VM."""

    def test_defaults(self):
        """Guards against a failed start because of a missing [log] section."""
        settings = parse_vm_settings(VM_TEXT, "vm.ini")
        self.assertEqual("json", settings.log_format)
        self.assertEqual("10.0.0.2:4001", settings.vm_list_address)
        self.assertEqual("", settings.bootstrap_token_sha256)

    def test_unreachable_peer_address_is_a_finding(self):
        """Guards against a wildcard address in the view, which no VM can connect to."""
        text = VM_TEXT.replace("10.0.0.1:7000", "0.0.0.0:7000")
        self.assertEqual(
            [
                "vm.ini:5: vm.peer_address: '0.0.0.0:7000' cannot be reached from "
                "other machines"
            ],
            list_findings(parse_vm_settings, text, "vm.ini"),
        )


class SubtreeTests(testtools.TestCase):
    """Parsing of one subtree."""

    def test_all_findings_of_a_file_are_reported_at_once(self):
        """Guards against stopping at the first error in a file."""
        text = (
            "[team]\nweight = 0\nweight = 2\ncolour = red\ndatasets = d d\n"
            "default_deadline_ms = 900\nmax_deadline_ms = 100\n[team]\n"
        )
        findings = list_findings(parse_subtree, "team/t", text, "t.ini")
        starts = [finding.rsplit(":", 1)[0] for finding in findings]
        self.assertEqual(
            [
                "t.ini:2: team.weight",
                "t.ini:3: team.weight",
                "t.ini:4: team.colour",
                "t.ini:5: team.datasets: duplicate names",
                "t.ini:6: team.default_deadline_ms",
                "t.ini:8: team",
            ],
            starts,
        )

    def test_layouts_keep_the_order_of_the_file(self):
        """Guards against choosing an older version as the newest."""
        dataset = parse_subtree("dataset/d", DATASET_TEXT, "d.ini")
        self.assertEqual(["v2", "v1"], list(dataset.layouts))
        self.assertEqual({"s1": ["a"]}, dataset.layouts["v1"])

    def test_layout_with_unknown_target_is_a_finding(self):
        """Guards against a shard that no target can answer."""
        text = DATASET_TEXT.replace("s1 = a", "s1 = a b", 1)
        self.assertEqual(
            ["d.ini:7: layout v2.s1: there is no [target b]"],
            list_findings(parse_subtree, "dataset/d", text, "d.ini"),
        )

    def test_a_token_is_not_repeated_in_a_finding(self):
        """Guards against logging a token that was entered in place of its digest."""
        text = "[operator o]\ntoken_sha256 = hunter2\nsubtrees = *\n"
        findings = list_findings(parse_subtree, "fleet", text, "f.ini")
        self.assertEqual(1, len(findings))
        self.assertNotIn("hunter2", findings[0])

    def test_operators_cannot_lock_themselves_out(self):
        """Guards against operators none of whom may change subtree fleet."""
        text = f"[operator o]\ntoken_sha256 = {'a' * 64}\nsubtrees = team/*\n"
        self.assertEqual(
            [
                "f.ini:3: operator o.subtrees: at least one operator must be "
                "allowed to change subtree fleet"
            ],
            list_findings(parse_subtree, "fleet", text, "f.ini"),
        )

    def test_an_empty_fleet_is_valid(self):
        """Guards against a VM that cannot start with an empty store."""
        fleet = parse_subtree("fleet", "", "fleet")
        self.assertEqual(({}, 256), (fleet.operators, fleet.max_in_flight))

    def test_invalid_subtree_names(self):
        """Guards against writes to store keys outside of the settings tree."""
        for subtree in ("", "team/", "team/a/b", "members/main", "fleet/x", "team/.."):
            self.assertEqual(1, len(list_findings(parse_subtree, subtree, "", "x")))


class TreeTests(testtools.TestCase):
    """Settings directories and references between subtrees."""

    def write_files(self, **texts):
        """Write files to a temporary directory and return its path."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        directory = pathlib.Path(folder.name)
        for name, text in texts.items():
            (directory / f"{name.replace('__', '.')}.ini").write_text(text)
        return directory

    def test_findings_across_subtrees_have_lines(self):
        """Guards against dangling references between the files of a directory."""
        directory = self.write_files(
            fleet="[domain south]\n",
            dataset__d=DATASET_TEXT,
            dataset__e=DATASET_TEXT,
            team__t="[team]\ndatasets = d f\n",
        )
        self.assertEqual(
            [
                f"{directory}/team.t.ini:2: team.datasets: dataset 'f' does not exist",
                f"{directory}/dataset.d.ini:3: target a.domain: subtree fleet has no "
                "[domain north]",
                f"{directory}/dataset.e.ini:3: target a.domain: subtree fleet has no "
                "[domain north]",
                f"{directory}/dataset.e.ini:1: target a: target id is also in "
                "dataset/d",
            ],
            list_findings(load_tree_files, directory),
        )

    def test_valid_directory(self):
        """Guards against loading a team before the dataset that it refers to."""
        directory = self.write_files(
            fleet="[domain north]\n",
            dataset__d=DATASET_TEXT,
            team__a="[team]\ndatasets = d\n",
            vm="not a subtree",
        )
        files = load_tree_files(directory)
        self.assertEqual(["fleet", "dataset/d", "team/a"], list(files.texts))
        self.assertEqual([], check_tree(files.tree))

    def test_misspelt_file_name_is_a_finding(self):
        """Guards against a subtree that is ignored silently."""
        directory = self.write_files(teams__a="[team]\ndatasets = d\n")
        self.assertEqual(1, len(list_findings(load_tree_files, directory)))
