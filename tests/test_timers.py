"""Tests of the timer service."""

import testtools

from tarragonchute.timers import TimerService


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
