"""A timer service that parts subscribe to."""

import heapq
import itertools
import logging
import math

import trio

logger = logging.getLogger(__name__)


class Subscription:
    """One callback that is due at a fixed period.

    Parameters
    ----------
    name : str
        Shown in the log when the callback fails.
    period : float
        Seconds between two calls.
    callback : callable
        Called with the current time in seconds. It must not block.
    """

    __slots__ = ("name", "period", "callback", "due", "is_active")

    def __init__(self, name, period, callback, due):
        self.name = name
        self.period = period
        self.callback = callback
        self.due = due
        self.is_active = True

    def cancel(self):
        """Stop further calls."""
        self.is_active = False


class TimerService:
    """Calls subscribers at their period, in the order in which they are due.

    Parameters
    ----------
    now : float
        Start time in seconds on the clock that later calls use.
    """

    def __init__(self, now=0.0):
        self._now = now
        self._queue = []
        self._sequence = itertools.count()

    def subscribe(self, name, period, callback):
        """Call `callback(now)` every `period` seconds, first after one period.

        Parameters
        ----------
        name : str
            Shown in the log when the callback fails.
        period : float
            Seconds, above zero.
        callback : callable
            Takes the current time in seconds.

        Returns
        -------
        Subscription

        Raises
        ------
        ValueError
            If the period is not above zero.
        """
        if period <= 0:
            raise ValueError(f"period of timer {name!r} must be above zero")
        subscription = Subscription(name, period, callback, self._now + period)
        self._push(subscription)
        return subscription

    async def wait_until(self, name, period, condition):
        """Return once `condition()` is true, checked every `period` seconds.

        Parameters
        ----------
        name : str
        period : float
            Seconds.
        condition : callable
            Returns a truth value; cheap and without side effects.
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
        """Call everything that is due at `now`.

        A subscriber that missed several periods, for example while the process
        was stopped, is called once and not once for each missed period.

        Returns
        -------
        float
            Time in seconds at which the next subscriber is due, or infinity.
        """
        self._now = max(self._now, now)
        while self._queue and self._queue[0][0] <= self._now:
            subscription = heapq.heappop(self._queue)[2]
            if not subscription.is_active:
                continue
            subscription.due = self._now + subscription.period
            self._push(subscription)
            self._call(subscription)
        return self._queue[0][0] if self._queue else math.inf

    async def run(self):
        """Call subscribers by trio's clock until cancelled."""
        while True:
            due = self.advance(trio.current_time())
            # A subscriber added meanwhile must not wait for a distant one.
            await trio.sleep_until(min(due, trio.current_time() + _MAX_SLEEP_S))

    def _push(self, subscription):
        entry = (subscription.due, next(self._sequence), subscription)
        heapq.heappush(self._queue, entry)

    def _call(self, subscription):
        try:
            subscription.callback(self._now)
        except Exception:
            # One failing part must not stop the timers of the others.
            logger.exception("timer %s failed", subscription.name)


_MAX_SLEEP_S = 0.05
