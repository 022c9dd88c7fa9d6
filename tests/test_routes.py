"""Tests of the route lookup and of the choice among weighted services."""

import testtools

from tarragonchute.routes import Route, RouteTable, WeightedChoice


def build_table(*prefixes):
    """Return a table with one route for each ``(host, prefix)``."""
    routes = [Route(prefix, host, prefix) for host, prefix in prefixes]
    return RouteTable(1, routes, {})


class RouteTableTests(testtools.TestCase):
    """Lookup by host and longest path prefix."""

    def find(self, table, host, path):
        route = table.find_route(host, path)
        return None if route is None else route.prefix

    def test_longest_prefix_wins(self):
        """Guards against using a general route where a more specific one exists."""
        table = build_table(("a.example", "/x/"), ("a.example", "/x/y/"))
        self.assertEqual("/x/y/", self.find(table, "a.example", "/x/y/1"))
        self.assertEqual("/x/", self.find(table, "a.example", "/x/yy/1"))

    def test_prefix_ends_at_a_slash(self):
        """Guards against a route that matches part of a path segment."""
        table = build_table(("a.example", "/x/"))
        self.assertIsNone(self.find(table, "a.example", "/xa/1"))
        self.assertIsNone(self.find(table, "a.example", "/x"))

    def test_host_is_compared_without_case_and_port(self):
        """Guards against a 404 for a client that sends a port in its ``Host`` field."""
        table = build_table(("a.example", "/x/"))
        self.assertEqual("/x/", self.find(table, "A.Example:8080", "/x/1"))
        self.assertIsNone(self.find(table, "b.example", "/x/1"))

    def test_root_prefix(self):
        """Guards against a host-wide route that never matches."""
        table = build_table(("a.example", "/"))
        self.assertEqual("/", self.find(table, "a.example", "/any/thing"))


class WeightedChoiceTests(testtools.TestCase):
    """How requests are distributed among services."""

    def test_shares_follow_the_weights(self):
        """Guards against sending a service more requests than its weight allows."""
        choice = WeightedChoice([("a", 3.0), ("b", 1.0)], 0.7)
        chosen = [choice.choose() for _ in range(400)]
        self.assertAlmostEqual(300, chosen.count("a"), delta=2)

    def test_zero_weight_gets_no_requests(self):
        """Guards against requests to a service whose weight is zero."""
        choice = WeightedChoice([("a", 0.0), ("b", 1.0)])
        self.assertEqual({"b"}, {choice.choose() for _ in range(10)})
        self.assertIsNone(WeightedChoice([]).choose())
