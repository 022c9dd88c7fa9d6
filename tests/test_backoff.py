"""Tests for the exponential backoff."""

import testtools

from tarragonchute.backoff import compute_backoff_s


class BackoffTests(testtools.TestCase):
    """The delay after consecutive failures."""

    def test_delay_doubles_up_to_its_maximum(self):
        """Guards against a delay without a maximum, and against a power that overflows.

        The power overflows after a very long series of failures.
        """
        delays_s = [
            compute_backoff_s(failures, 0.25, 2.0) for failures in (0, 1, 2, 3, 4)
        ]
        self.assertEqual([0.25, 0.5, 1.0, 2.0, 2.0], delays_s)
        self.assertEqual(2.0, compute_backoff_s(1_000_000, 0.25, 2.0))
