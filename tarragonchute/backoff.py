"""Waits that double with each failure in a row."""

MAX_DOUBLINGS = 8
"""Bounds the power; every wait here reaches its longest time before."""


def find_backoff_s(failures, shortest_s, longest_s):
    """Return the wait after so many earlier failures in a row, in seconds."""
    return min(shortest_s * 2 ** min(failures, MAX_DOUBLINGS), longest_s)
