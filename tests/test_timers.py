"""Tests of the timer service."""

import logging
import time

import testtools
import trio

from tarragonchute.timers import LOGGED_DELAY_S, TimerService

from .trial import run_async


def block_event_loop(duration_s):
    """Keep the processor without giving up control."""
    time.sleep(duration_s)


class TimerServiceTests(testtools.TestCase):
    """Calls of subscribers as time advances."""

    def test_missed_periods_cause_one_call(self):
        """Guards against a burst of heartbeats after the process was suspended."""
        service = TimerService(now=0.0)
        calls = []
        service.subscribe("test", 1.0, calls.append)
        service.advance(1.0)
        service.advance(60.0)
        self.assertEqual([1.0, 60.0], calls)

    def test_failing_subscriber_does_not_stop_the_others(self):
        """Guards against an exception in one callback that stops the heartbeats."""
        service = TimerService()
        calls = []
        service.subscribe("bad", 1.0, lambda now: 1 / 0)
        service.subscribe("good", 1.0, calls.append)
        service.advance(1.0)
        service.advance(2.0)
        self.assertEqual([1.0, 2.0], calls)

    def test_cancelled_subscriber_is_not_called(self):
        """Guards against calls into an object that has been closed."""
        service = TimerService()
        calls = []
        subscription = service.subscribe("test", 1.0, calls.append)
        subscription.cancel()
        service.advance(5.0)
        self.assertEqual([], calls)


class PauseTests(testtools.TestCase):
    """Detection of a pause of the process."""

    def build(self):
        timers = TimerService(0.0)
        for number in range(1, 21):
            timers.advance(number * 0.05)
        return timers

    def test_running_process_is_not_paused(self):
        """Guards against treating every message as old."""
        self.assertEqual(0.0, self.build().get_pause_s(1.05))

    def test_pause_is_seen_before_and_after_the_timers_are_called(self):
        """Guards against reading old data as new after a pause.

        Either the sockets or the timers may be handled first.
        """
        timers = self.build()
        self.assertGreaterEqual(timers.get_pause_s(4.0), 3.0)
        timers.advance(4.0)
        self.assertGreaterEqual(timers.get_pause_s(4.01), 3.0)
        timers.advance(4.05)
        self.assertEqual(0.0, timers.get_pause_s(4.06))

    @run_async
    async def test_task_that_does_not_give_up_control_is_logged(self):
        """Guards against late answers whose logs show no cause.

        The logs then tell a VM that was busy from one that waited for others.
        """
        with self.assertLogs("tarragonchute.timers", logging.WARNING) as logs:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(TimerService(trio.current_time()).run)
                await trio.sleep(0.01)
                block_event_loop(LOGGED_DELAY_S + 0.1)
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
        self.assertEqual("timers were late", logs.records[0].getMessage())
