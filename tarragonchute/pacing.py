"""Pauses between the watch calls to the store, which are billed."""

import math

BATCH_PAUSE_MIN_S = 0.2
BATCH_PAUSE_MAX_S = 0.7
"""Bounds of the pause after a watch that returned changes; it doubles during a burst.
The pause saves billed calls, but configurations and drains must take effect within
seconds."""

PROMPT_PERIOD_S = 1.5
"""Time after an urgent change in which pauses are short. Targets that lose their caches
together report it within one heartbeat."""

PROMPT_PAUSE_PER_VM_S = 0.005
"""Short pause, for each VM that watches the store. Together they make at most 200 calls
a second, a tenth of what the store accepts."""


class WatchPacer:
    """Chooses the pause after each watch call that returned changes."""

    __slots__ = ("_batch_pause_s", "_prompt_until")

    def __init__(self):
        self._batch_pause_s = BATCH_PAUSE_MIN_S
        self._prompt_until = -math.inf

    def choose_pause_s(self, now, is_burst, is_urgent, watching_vms):
        """Return the pause before the next watch call in seconds.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        is_burst : bool
            Whether the watch returned right after it had started.
        is_urgent : bool
            Whether it returned a change that others are likely to follow which must be
            applied at once.
        watching_vms : int
            Number of VMs that watch the store, including this one.
        """
        if is_urgent:
            self._prompt_until = now + PROMPT_PERIOD_S
        if now < self._prompt_until:
            return min(watching_vms * PROMPT_PAUSE_PER_VM_S, BATCH_PAUSE_MIN_S)
        doubled_s = min(2 * self._batch_pause_s, BATCH_PAUSE_MAX_S)
        self._batch_pause_s = doubled_s if is_burst else BATCH_PAUSE_MIN_S
        return self._batch_pause_s
