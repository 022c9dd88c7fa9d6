"""What the tests of asynchronous parts share."""

import functools

import trio
import trio.testing


def run_async(test):
    """Run an async test method under trio."""

    @functools.wraps(test)
    def run(self):
        trio.run(test, self)

    return run


def run_in_virtual_time(test):
    """Run an async test method under trio with a clock that skips waits."""

    @functools.wraps(test)
    def run(self):
        trio.run(test, self, clock=trio.testing.MockClock(autojump_threshold=0.005))

    return run
