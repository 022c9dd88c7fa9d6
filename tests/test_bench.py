"""Tests of the policy bench."""

import testtools

from bench import policy

SCALE = 0.04
ROWS = ("steady 50%", "cold restarts, 5%")


class PolicyTests(testtools.TestCase):
    """Short runs of two rows."""

    def measure(self, row, variant=policy.PRODUCT, seed=7):
        return policy.measure(row, "queensland", variant, seed, SCALE)

    def test_two_rows_are_reproducible_and_break_no_promise(self):
        """Guards against figures by chance, and limits that are exceeded."""
        for row in ROWS:
            figures = self.measure(row)
            self.assertEqual(figures.list_values(), self.measure(row).list_values())
            wrong = (figures.breaches, figures.doubled, figures.lost, figures.late)
            self.assertEqual((0, 0, 0, 0), wrong, row)
            self.assertGreater(figures.queries, 0)

    def test_seed_changes_the_figures(self):
        """Guards against a seed that is not used."""
        first = self.measure(ROWS[1]).list_values()
        self.assertNotEqual(first, self.measure(ROWS[1], seed=8).list_values())

    def test_targets_notice_the_baseline(self):
        """Guards against fakes that would not notice a breach."""
        figures = self.measure(ROWS[0], policy.BASELINE)
        self.assertGreater(figures.breaches, 0)
