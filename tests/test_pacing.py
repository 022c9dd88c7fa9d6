"""Tests of the pauses between watch calls."""

import testtools

from tarragonchute import pacing
from tarragonchute.pacing import WatchPacer

STORE_CALLS_PER_S = 2000
"""Reads that the store accepts in a second; see the target size in DEVELOPERS.md."""


class WatchPacerTests(testtools.TestCase):
    """Pauses after urgent and other changes, in fleets of different sizes."""

    def test_pause_doubles_during_a_burst(self):
        """Guards against many billed calls while the store changes all the time."""
        pacer = WatchPacer()
        pauses = [pacer.choose_pause_s(0.0, True, False, 3) for _ in range(4)]
        self.assertEqual([0.4, 0.7, 0.7, 0.7], pauses)
        self.assertEqual(0.2, pacer.choose_pause_s(0.0, False, False, 3))

    def test_pauses_stay_short_for_a_while(self):
        """Guards against missing the next target that turns cold."""
        pacer = WatchPacer()
        self.assertLess(pacer.choose_pause_s(5.0, True, True, 3), 0.05)
        self.assertLess(pacer.choose_pause_s(6.0, True, False, 3), 0.05)
        later = 5.0 + pacing.PROMPT_PERIOD_S
        self.assertGreaterEqual(pacer.choose_pause_s(later, True, False, 3), 0.2)

    def test_calls_of_large_fleets_are_bounded(self):
        """Guards against exceeding the store's call rate while targets turn cold."""
        for watching_vms in (1, 3, 24, 200):
            pause_s = WatchPacer().choose_pause_s(0.0, True, True, watching_vms)
            self.assertLess(watching_vms / pause_s, STORE_CALLS_PER_S)
