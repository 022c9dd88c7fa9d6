"""Tests of the budgets for hedges and retries."""

import testtools

from tarragonchute import budgets


def spend_all(bucket, now):
    """Return how many tokens a bucket gives at one time."""
    count = 0
    while bucket.try_spend(now):
        count += 1
    return count


class BudgetTests(testtools.TestCase):
    """Shares, floor and bound."""

    def test_extra_load_stays_within_the_share(self):
        """Guards against hedges that double the load on slow targets."""
        for name, share in (("hedges", 0.05), ("retries", 0.10)):
            budget = budgets.Budget(0.0)
            bucket = getattr(budget, name)
            spend_all(bucket, 0.0)
            spent = 0
            for _ in range(100):
                budget.earn(110)
                spent += spend_all(bucket, 0.0)
            self.assertAlmostEqual(11_000 * share, spent, delta=1, msg=name)

    def test_small_deployment_can_hedge(self):
        """Guards against a straggler that decides every rare query."""
        bucket = budgets.Budget(0.0).hedges
        spend_all(bucket, 0.0)
        self.assertEqual(10, spend_all(bucket, 10.0 / budgets.FLOOR_PER_S))

    def test_quiet_time_allows_no_unbounded_burst(self):
        """Guards against a wave of hedges after an idle night."""
        budget = budgets.Budget(0.0)
        budget.earn(1_000_000)
        self.assertEqual(budgets.CAPACITY, spend_all(budget.hedges, 1e6))

    def test_datasets_do_not_share_a_budget(self):
        """Guards against one dataset's stragglers using up another's hedges."""
        found = budgets.Budgets()
        spend_all(found.find("books", 0.0).hedges, 0.0)
        self.assertTrue(found.find("plans", 0.0).hedges.try_spend(0.0))
        self.assertIs(found.find("books", 0.0), found.find("books", 9.0))
