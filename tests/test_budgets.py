"""Tests for the budgets of hedges and retries."""

import testtools

from tarragonchute import budgets


def spend_all(bucket, now):
    """Spend all tokens of a bucket at time `now`; return their number."""
    count = 0
    while bucket.try_spend(now):
        count += 1
    return count


class BudgetTests(testtools.TestCase):
    """Tokens earned by attempts and by time, and the maximum of a bucket."""

    def test_extra_load_stays_within_the_ratio(self):
        """Guards against hedges and retries that double the load on slow targets."""
        for name, ratio in (("hedges", 0.05), ("retries", 0.10)):
            budget = budgets.Budget(0.0)
            bucket = getattr(budget, name)
            spend_all(bucket, 0.0)
            spent = 0
            for _ in range(100):
                budget.earn(110)
                spent += spend_all(bucket, 0.0)
            self.assertAlmostEqual(11_000 * ratio, spent, delta=1, msg=name)

    def test_small_deployment_can_hedge(self):
        """Guards against a slow target that delays every query at a low query rate.

        First attempts alone would earn a hedge only once in many queries.
        """
        bucket = budgets.Budget(0.0).hedges
        spend_all(bucket, 0.0)
        self.assertEqual(10, spend_all(bucket, 10.0 / budgets.BASE_TOKENS_PER_S))

    def test_burst_after_idle_period_is_bounded(self):
        """Guards against tokens that accumulate without limit during an idle period."""
        budget = budgets.Budget(0.0)
        budget.earn(1_000_000)
        self.assertEqual(budgets.MAX_TOKENS, spend_all(budget.hedges, 1e6))

    def test_datasets_do_not_share_a_budget(self):
        """Guards against one dataset's slow targets using up another's hedges."""
        budgets_by_dataset = budgets.Budgets()
        spend_all(budgets_by_dataset.find("books", 0.0).hedges, 0.0)
        self.assertTrue(budgets_by_dataset.find("plans", 0.0).hedges.try_spend(0.0))
        self.assertIs(
            budgets_by_dataset.find("books", 0.0), budgets_by_dataset.find("books", 9.0)
        )
