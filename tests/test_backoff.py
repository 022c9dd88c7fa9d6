"""Tests of waits that double."""

import testtools

from tarragonchute.backoff import find_backoff_s


class BackoffTests(testtools.TestCase):
    """The wait after failures in a row."""

    def test_wait_doubles_up_to_its_bound(self):
        """Guards against a wait that grows without end, or a power that overflows."""
        waits = [find_backoff_s(failures, 0.25, 2.0) for failures in (0, 1, 2, 3, 4)]
        self.assertEqual([0.25, 0.5, 1.0, 2.0, 2.0], waits)
        self.assertEqual(2.0, find_backoff_s(1_000_000, 0.25, 2.0))
