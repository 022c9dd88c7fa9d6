"""Clock of the gateway that also counts the time for which a VM was suspended."""

import time

import trio


class BootTimeClock(trio.abc.Clock):
    """Monotonic clock that does not stop while the VM is suspended.

    A time limit, a lease or a permission also runs out while the VM is suspended. On
    the usual monotonic clock, a process that wakes up would act on it for as long as
    the suspension took.
    """

    def start_clock(self):
        """Do nothing; the clock always runs."""

    def current_time(self):
        """Return the seconds since the boot of the VM."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def deadline_to_sleep_time(self, deadline):
        """Return the seconds until a deadline."""
        return deadline - self.current_time()
