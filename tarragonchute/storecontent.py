"""The store's content as a VM knows it, and what it keeps in place of some of it."""

import logging
import math

from .changes import ChangeLog
from .revisions import RetainedEntries, get_era

logger = logging.getLogger(__name__)


class StoreUpdateHandler:
    """Callback interface for the content of the store and its changes."""

    __slots__ = ()

    def apply_snapshot(self, entries, is_after_outage):
        """Replace all known entries by those given.

        With `is_after_outage`, keys may be missing because their leases expired during
        a store outage.
        """

    def apply_change(self, key, value):
        """Apply one change; `value` is None if the key was removed.

        Returns
        -------
        bool
            Whether the change is urgent: similar ones are likely to follow, and each
            must be applied at once.
        """

    def choose_retention_s(self, key, known, restored):
        """Choose how long to keep what was known before a restore of the store.

        Called for a key that differs in a store which came back from an older copy.

        Parameters
        ----------
        key : str
        known, restored : str or None
            Value as known before, and as the store has it; None if the key is absent.

        Returns
        -------
        float
            Seconds, unless the key is written meanwhile; 0 if the store's value counts
            at once. Infinity if the store's value is older, whenever it was written.
        """
        return 0.0


class StoreContent:
    """Applies listings and changes of the store to a handler.

    Parameters
    ----------
    handler : StoreUpdateHandler

    Attributes
    ----------
    revision : int
        Composed revision of the content, wherever it came from; see `revisions`.
    is_loaded : bool
        Whether a first snapshot was applied.
    """

    __slots__ = (
        "revision",
        "is_loaded",
        "_handler",
        "_entries",
        "_change_log",
        "_retained",
    )

    def __init__(self, handler):
        self.revision = 0
        self.is_loaded = False
        self._handler = handler
        self._entries = {}
        self._change_log = ChangeLog(math.inf)
        self._retained = RetainedEntries(handler)

    @property
    def era(self):
        """Era of the content."""
        return get_era(self.revision)

    def list_entries(self):
        """Return all entries of the store, without what is retained."""
        return list(self._entries.values())

    def get_entry(self, key):
        """Return the store's `Entry` of a key, or None."""
        return self._entries.get(key)

    def list_retained(self):
        """Return the `RetainedEntry` that count in place of the store's entries."""
        return self._retained.list_entries()

    def list_changes(self, after):
        """Return the latest entries of the keys that changed after a revision.

        Returns
        -------
        list of Entry or None
            None if the log of changes does not go back so far.
        """
        return self._change_log.list_after(after)

    def get_next_expiry(self):
        """Return when the next retained entry expires; infinity if none does."""
        return self._retained.get_next_expiry()

    def replace_all(
        self, entries, revision, now, is_after_outage, is_complete=True, retained=()
    ):
        """Apply a listing of all entries.

        Parameters
        ----------
        entries : list of Entry
        revision : int
        now : float
            Monotonic seconds.
        is_after_outage : bool
            See `StoreUpdateHandler.apply_snapshot`.
        is_complete : bool
            Whether all later changes follow; if not, there is no log of changes.
        retained : list of revisions.RetainedEntry
            What the VM that sent the listing keeps.
        """
        before = self._entries
        self._entries = {entry.key: entry for entry in entries}
        self._change_log = ChangeLog(revision if is_complete else math.inf)
        if self.is_loaded and get_era(revision) > self.era:
            self._retained.begin_era(before, self._entries, revision, now)
            extra = {"era": get_era(revision), "retained": len(self._retained)}
            logger.info("content of a new era of the store applied", extra=extra)
        else:
            self._retained.continue_era(self._entries, revision)
        self._retained.adopt(retained)
        self.revision = revision
        accepted = list(self._retained.apply_to(self._entries).values())
        self._handler.apply_snapshot(accepted, is_after_outage)
        self.is_loaded = True

    def apply_changes(self, entries, revision):
        """Apply changes in the order of their revisions.

        Returns
        -------
        bool
            Whether one of them is urgent; see `StoreUpdateHandler`.
        """
        is_urgent = False
        for entry in _list_latest(entries):
            previous = self._entries.get(entry.key)
            if entry.value is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry
            if self._retained.apply_change(previous, entry):
                is_urgent |= self._apply_change(entry.key, entry.value)
            self._change_log.record(entry)
        self.revision = revision
        return is_urgent

    def release_expired(self, now):
        """Apply the store's entries in place of retained ones that have expired."""
        for key in self._retained.remove_expired(now):
            logger.info("retained entry expired", extra={"key": key})
            entry = self._entries.get(key)
            self._apply_change(key, None if entry is None else entry.value)

    def _apply_change(self, key, value):
        try:
            return bool(self._handler.apply_change(key, value))
        except Exception:
            # One entry that cannot be applied must not stop all later changes.
            logger.exception("cannot apply a change", extra={"key": key})
            return False


def _list_latest(entries):
    """Return the last entry of each key, in the order of these entries."""
    latest = {}
    for entry in entries:
        latest.pop(entry.key, None)
        latest[entry.key] = entry
    return list(latest.values())
