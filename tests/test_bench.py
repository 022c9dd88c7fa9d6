"""Tests of the policy benchmark."""

import testtools

from bench import policy

SCALE = 0.04
ROWS = ("steady 50%", "cold restarts, 5%")


class PolicyTests(testtools.TestCase):
    """Short runs of two rows of the table."""

    def measure(self, row, variant=policy.PRODUCT, seed=7):
        return policy.measure(row, "queensland", variant, seed, SCALE)

    def test_two_rows_are_reproducible_without_breaches(self):
        """Guards against nondeterministic figures and exceeded limits."""
        for row in ROWS:
            figures = self.measure(row)
            self.assertEqual(figures.list_values(), self.measure(row).list_values())
            wrong = (figures.breaches, figures.doubled, figures.lost, figures.late)
            self.assertEqual((0, 0, 0, 0), wrong, row)
            self.assertGreater(figures.queries, 0)

    def test_seed_changes_the_figures(self):
        """Guards against a seed that is ignored."""
        first = self.measure(ROWS[1]).list_values()
        self.assertNotEqual(first, self.measure(ROWS[1], seed=8).list_values())

    def test_targets_count_breaches_of_the_baseline(self):
        """Guards against fake targets that do not count breaches."""
        figures = self.measure(ROWS[0], policy.BASELINE)
        self.assertGreater(figures.breaches, 0)
