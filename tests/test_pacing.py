"""Tests of the pauses between watch calls."""

import testtools
import trio

from tarragonchute import pacing
from tarragonchute.pacing import WatchPacer
from tarragonchute.storewatcher import StoreWatcher

from .test_storewatcher import FakeOtherWatchers, LostAnswerStore, RecordingHandler
from .trial import run_in_virtual_time

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


COLD_REQUESTS_PER_S = 5
FULL_LOAD_PER_S = 22.5
"""Requests per second that a cold target may get, and those that a warm one gets, in
the deployment of review/4."""


class UrgentHandler(RecordingHandler):
    """Reports changes of keys that start with ``cold`` as urgent, and keeps times."""

    def __init__(self):
        super().__init__()
        self.applied_at = {}

    def apply_change(self, key, value):
        self.applied_at[key] = trio.current_time()
        return key.startswith("cold")


class UrgentChangeTests(testtools.TestCase):
    """Targets that turn cold again one after the other.

    Each got its full load until the next watch, and some crashed (review/4).
    """

    async def measure_delays_s(self, prefix, count, interval_s):
        """Return the delay of each change, and the number of watch calls."""
        store = LostAnswerStore()
        handler = UrgentHandler()
        other_watchers = FakeOtherWatchers(store)
        watcher = StoreWatcher(store, handler, other_watchers=other_watchers)
        written_at = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watcher.run)
            await trio.sleep(1.0)
            for number in range(count):
                key = f"{prefix}-{number}"
                written_at[key] = trio.current_time()
                await store.put(key, "1", 0)
                await trio.sleep(interval_s)
            await trio.sleep(pacing.BATCH_PAUSE_MAX_S + 0.1)
            nursery.cancel_scope.cancel()
        applied_at = handler.applied_at
        delays = [applied_at[key] - at for key, at in written_at.items()]
        return delays, store.calls["watch"]

    @run_in_virtual_time
    async def test_urgent_changes_arrive_at_once(self):
        """Guards against the full load on targets that have reported to be cold."""
        delays, _ = await self.measure_delays_s("cold", 20, 0.1)
        # Half of the limit is for the requests that cold targets are sent.
        self.assertLess(max(delays) * FULL_LOAD_PER_S, COLD_REQUESTS_PER_S / 2)

    @run_in_virtual_time
    async def test_other_changes_are_batched(self):
        """Guards against a billed call for each change."""
        delays, calls = await self.measure_delays_s("other", 100, 0.02)
        self.assertLess(max(delays), pacing.BATCH_PAUSE_MAX_S + 0.1)
        self.assertLess(calls, 100 * 0.02 / pacing.BATCH_PAUSE_MIN_S)
