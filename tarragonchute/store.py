"""The platform's key-value service: interface, in-memory twin and HTTP client."""

from typing import Protocol


class Entry:
    """One key of the store.

    Parameters
    ----------
    key : str
    value : str
        At most one megabyte in UTF-8.
    revision : int
        Store-wide revision of the last write to this key.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class Store(Protocol):
    """What the project needs from the key-value service.

    Every call may raise `StoreUnavailableError`; a write may also raise
    `StoreOutcomeUnknownError`, after which it may or may not have taken effect.
    """

    async def get(self, key):
        """Return the `Entry`, or None if the key does not exist."""

    async def put(self, key, value, expect, lease=None):
        """Write by compare-and-swap and return the new revision.

        Parameters
        ----------
        key, value : str
        expect : int
            Revision that the key must have; 0 to create it.
        lease : str or None
            Lease with which the key expires.

        Raises
        ------
        StoreConflictError
            If the key has another revision. Carries the current entry.
        """

    async def delete(self, key, expect):
        """Delete by compare-and-swap; raises like `put`."""

    async def list(self, prefix):
        """Return ``(entries, revision)`` of all keys with this prefix."""

    async def watch(self, prefix, after, wait_s):
        """Wait for changes and return ``(entries, revision)``.

        Parameters
        ----------
        prefix : str
        after : int
            Only changes with a higher revision are returned.
        wait_s : float
            Longest wait in seconds; then the list is empty.
        """

    async def grant_lease(self, ttl_s):
        """Return the id of a new lease that ends after `ttl_s` seconds."""

    async def renew_lease(self, lease):
        """Extend the lease by its time to live."""
