"""Log of the store's recent changes, from which a VM answers its followers."""

MAX_KEYS = 4000
"""Keys whose latest change is kept; a follower that missed more gets a snapshot."""


class ChangeLog:
    """The latest change of each key that changed since a revision.

    Earlier changes of a key are not kept: followers need the current content only, and
    values may have up to 1 MB. So no value is held that is not current.

    Parameters
    ----------
    start : float
        Revision after which all changes are recorded; infinity if none is known.
    """

    __slots__ = ("_start", "_entries")

    def __init__(self, start):
        self._start = start
        # By key, in the order of their revisions.
        self._entries = {}

    def record(self, entry):
        """Add an `Entry` with a higher revision than all entries before it."""
        self._entries.pop(entry.key, None)
        if len(self._entries) == MAX_KEYS:
            oldest = next(iter(self._entries.values()))
            del self._entries[oldest.key]
            self._start = oldest.revision
        self._entries[entry.key] = entry

    def list_after(self, revision):
        """Return the latest entries of all keys that changed after a revision.

        Returns
        -------
        list of Entry or None
            In the order of their revisions; None if the log does not go back so far.
        """
        if revision < self._start:
            return None
        return [entry for entry in self._entries.values() if entry.revision > revision]
