"""Exponential backoff."""

MAX_DOUBLINGS = 8
"""Limits the exponent, so that the power cannot overflow. Every backoff in this project
reaches its maximum after fewer doublings."""


def compute_backoff_s(failures, shortest_s, longest_s):
    """Return the delay in seconds before the next try.

    Parameters
    ----------
    failures : int
        Consecutive earlier failures; the delay doubles with each of them.
    shortest_s, longest_s : float
        Delay without earlier failures, and the maximum.
    """
    return min(shortest_s * 2 ** min(failures, MAX_DOUBLINGS), longest_s)
