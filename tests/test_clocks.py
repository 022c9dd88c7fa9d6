"""Tests of the gateway's clock."""

import time

import testtools
import trio

from tarragonchute.clocks import BootTimeClock


class BootTimeClockTests(testtools.TestCase):
    """A clock that counts the time for which the VM was suspended."""

    def test_suspension_ends_waits(self):
        """Guards against a deadline that moves by the length of a suspension."""
        boot_time = 100.0
        self.patch(time, "clock_gettime", lambda clock: boot_time)
        clock = BootTimeClock()
        deadline = clock.current_time() + 5.0
        boot_time += 60.0
        self.assertEqual(-55.0, clock.deadline_to_sleep_time(deadline))

    def test_trio_runs_on_it(self):
        """Guards against a clock that trio cannot use."""

        async def sleep():
            started_at = trio.current_time()
            await trio.sleep(0.02)
            return trio.current_time() - started_at

        self.assertGreaterEqual(trio.run(sleep, clock=BootTimeClock()), 0.02)
