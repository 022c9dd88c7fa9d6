"""Decorators that run async test methods under trio."""

import functools

import trio
import trio.testing


def run_async(test):
    """Wrap an async test method to run under trio."""

    @functools.wraps(test)
    def run(self):
        trio.run(test, self)

    return run


def run_in_virtual_time(test):
    """Wrap an async test method to run under trio with a clock that skips waits."""

    @functools.wraps(test)
    def run(self):
        trio.run(test, self, clock=trio.testing.MockClock(autojump_threshold=0.005))

    return run
