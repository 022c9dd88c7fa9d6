"""Tests of the policy benchmark."""

import testtools

from bench import notices, policy

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


class NoticePatternTests(testtools.TestCase):
    """Load patterns with targets that leave or ask for a pause, without a network."""

    def measure(self, pattern):
        return notices.measure(pattern, vm_count=3, rate=30.0)

    def test_pauses_in_turn(self):
        """Guards against requests inside a pause, and against work that stays away.

        One target of half of the shards asks for a pause, one after the other.
        """
        figures = self.measure("pauses in turn")
        self.assertEqual((0, 0, 0), (figures.unwanted, figures.refused, figures.failed))
        self.assertLessEqual(figures.return_s, 6.0)
        # Less than an equal share of the shard's requests within two seconds.
        self.assertLess(figures.first_second, 30)

    def test_whole_services_pause(self):
        """Guards against searches that are sent although shards want nothing.

        Only the first search of each VM may fail; all others are refused at once.
        """
        figures = self.measure("whole services pause")
        self.assertEqual(0, figures.unwanted)
        self.assertLessEqual(figures.failed, 3)
        self.assertGreater(figures.refused, 0)
        self.assertLessEqual(figures.return_s, 6.0)

    def test_release_that_targets_announce_before_the_store(self):
        """Guards against requests to targets that leave and have said so."""
        figures = self.measure("release")
        self.assertEqual((0, 0, 0), (figures.unwanted, figures.refused, figures.failed))

    def test_requests_are_counted_that_targets_do_not_want(self):
        """Guards against simulated targets that count nothing."""
        for pattern in notices.PATTERNS:
            figures = notices.measure(pattern, 3, 30.0, reads_notices=False)
            self.assertGreater(figures.unwanted, 10, pattern)
