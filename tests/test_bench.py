"""Tests of the policy bench."""

import testtools

from bench import policy

SCALE = 0.04


class PolicyTests(testtools.TestCase):
    """Short runs of two rows."""

    def measure(self, row, deployment, variant=policy.PRODUCT):
        return policy.measure(row, deployment, variant, 7, SCALE)

    def test_seed_decides_the_figures(self):
        """Guards against figures that cannot be reproduced."""
        first = self.measure("steady 50%", "midlands")
        again = self.measure("steady 50%", "midlands")
        self.assertEqual(first.list_values(), again.list_values())
        other = policy.measure("steady 50%", "midlands", policy.PRODUCT, 8, SCALE)
        self.assertNotEqual(first.list_values(), other.list_values())

    def test_promises_hold_in_two_rows(self):
        """Guards against limits that are exceeded, doubled runs and lost requests."""
        for row in ("steady 50%", "overload 120%"):
            figures = self.measure(row, "queensland")
            wrong = (figures.breaches, figures.doubled, figures.lost, figures.late)
            self.assertEqual((0, 0, 0, 0), wrong, row)
            self.assertGreater(figures.queries, 0)

    def test_targets_notice_the_baseline(self):
        """Guards against fakes that would not notice a breach."""
        figures = self.measure("steady 50%", "queensland", policy.BASELINE)
        self.assertGreater(figures.breaches, 0)
