"""Periodic timers with callbacks."""

import heapq
import itertools
import logging
import math

import trio

logger = logging.getLogger(__name__)


MIN_PAUSE_S = 0.4
"""Time without a call of the timers after which the process counts as paused."""

LOGGED_DELAY_S = 0.2
"""Delay of the timers above which it is logged."""


class Subscription:
    """A callback that is called periodically.

    Parameters
    ----------
    name : str
        Logged if the callback raises.
    period : float
        Seconds between two calls.
    callback : callable
        Called with the current time in seconds. It must not block.
    due_at : float
        Time in seconds of the next call.
    """

    __slots__ = ("name", "period", "callback", "due_at", "is_active")

    def __init__(self, name, period, callback, due_at):
        self.name = name
        self.period = period
        self.callback = callback
        self.due_at = due_at
        self.is_active = True

    def cancel(self):
        """Prevent all further calls."""
        self.is_active = False


class TimerService:
    """Calls subscribers periodically, in the order of their due times.

    Parameters
    ----------
    now : float
        Start time in seconds, on the clock of later `advance` calls.
    """

    def __init__(self, now=0.0):
        self._now = now
        self._advanced_at = now
        self._previously_advanced_at = now
        self._queue = []
        self._sequence = itertools.count()

    def subscribe(self, name, period, callback):
        """Call `callback(now)` every `period` seconds, starting after one period.

        Parameters
        ----------
        name : str
            Logged if the callback raises.
        period : float
            Seconds, greater than zero.
        callback : callable
            Takes the current time in seconds.

        Returns
        -------
        Subscription

        Raises
        ------
        ValueError
            If the period is not greater than zero.
        """
        if period <= 0:
            raise ValueError(f"period of timer {name!r} must be greater than zero")
        subscription = Subscription(name, period, callback, self._now + period)
        self._push(subscription)
        return subscription

    async def wait_until(self, name, period, condition):
        """Wait until `condition()` is true; it is checked every `period` seconds.

        Parameters
        ----------
        name : str
        period : float
            Seconds.
        condition : callable
            Returns a truth value; must be cheap and free of side effects.
        """
        is_met = trio.Event()

        def check(_now):
            if condition():
                is_met.set()

        subscription = self.subscribe(name, period, check)
        try:
            await is_met.wait()
        finally:
            subscription.cancel()

    def advance(self, now):
        """Call all subscribers that are due at `now`.

        A subscriber that missed several periods, for example while the process
        was suspended, is called only once.

        Returns
        -------
        float
            Time in seconds at which the next subscriber is due, or infinity.
        """
        self._now = max(self._now, now)
        self._previously_advanced_at = self._advanced_at
        self._advanced_at = self._now
        while self._queue and self._queue[0][0] <= self._now:
            subscription = heapq.heappop(self._queue)[2]
            if not subscription.is_active:
                continue
            subscription.due_at = self._now + subscription.period
            self._push(subscription)
            self._call(subscription)
        return self._queue[0][0] if self._queue else math.inf

    def get_pause_s(self, now):
        """Return for how long this process has just been paused, in seconds.

        Data that is read now may have waited for that long. The result is 0 unless the
        timers were late by more than `MIN_PAUSE_S`.
        """
        # The timers may have been called first after the pause, so the time before
        # their latest call counts as well.
        pause_s = now - self._previously_advanced_at
        return pause_s if pause_s > MIN_PAUSE_S else 0.0

    async def run(self):
        """Call subscribers on trio's clock until cancelled."""
        while True:
            due_at = self.advance(trio.current_time())
            # Bounded, because a subscriber added meanwhile may be due earlier.
            wake_at = min(due_at, trio.current_time() + _MAX_SLEEP_S)
            await trio.sleep_until(wake_at)
            delay_s = trio.current_time() - wake_at
            if delay_s > LOGGED_DELAY_S:
                fields = {"duration_s": round(delay_s, 3)}
                logger.warning("timers were late", extra=fields)

    def _push(self, subscription):
        entry = (subscription.due_at, next(self._sequence), subscription)
        heapq.heappush(self._queue, entry)

    def _call(self, subscription):
        try:
            subscription.callback(self._now)
        except Exception:
            # An error in one callback must not stop the other timers.
            logger.exception("timer %s failed", subscription.name)


_MAX_SLEEP_S = 0.05
