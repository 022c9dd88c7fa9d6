"""Revisions of a store that may come back from an older copy of itself.

Such a store gives revisions out again. It counts its restores, and states the count,
the era, in its answers. Revisions are ordered by era first. The store's client composes
both into one integer, so that all comparisons elsewhere need no change. This module
also decides what a VM keeps of the content it had accepted before a restore.
"""

import collections
import logging
import math

import trio

from .store import Entry

logger = logging.getLogger(__name__)

REVISIONS_PER_ERA = 2**48
"""Revisions of one era; at 1,200 writes a second they last for 7,000 years."""

MAX_ERA = 2**15 - 1
"""Larger eras are malformed: their revisions would not fit into 63 bits, and JSON
decoders return larger integers as floats."""

MAX_REVISION = (MAX_ERA + 1) * REVISIONS_PER_ERA - 1
"""Largest composed revision."""

RESTORED_KEY_RETENTION_S = 10.0
"""Time for which what operators had set stays in force although the restored copy
differs. They write it again within this time."""

MAX_REMEMBERED_KEYS = 4096
MAX_REMEMBERED_VERSIONS = 4
"""Keys, and earlier versions of each key, by which an entry of a restored copy is told
from one that was written after the restore."""

CURRENT = 0.0
"""Retention of content that is not kept."""


def compose_revision(era, revision):
    """Return the integer that orders a store's revision by era, then by revision."""
    return era * REVISIONS_PER_ERA + revision


def split_revision(composed):
    """Return the era and the store's own revision of a composed revision."""
    return divmod(composed, REVISIONS_PER_ERA)


def get_era(composed):
    """Return the era of a composed revision."""
    return composed // REVISIONS_PER_ERA


class StoreLease:
    """A lease of the store.

    Parameters
    ----------
    number : object
        The store's id of the lease. It may be given to another VM in the next era.
    era : int
    """

    __slots__ = ("number", "era")

    def __init__(self, number, era):
        self.number = number
        self.era = era


class StoreEras:
    """The newest era of the store that this VM has heard of, from the store or a VM.

    Attributes
    ----------
    current : int
        0 if none was ever stated.
    is_known : bool
        Whether an answer of the store, or content of another VM, was seen.
    """

    __slots__ = ("current", "is_known", "_changed", "_has_logged_malformed")

    def __init__(self):
        self.current = 0
        self.is_known = False
        self._changed = trio.Event()
        self._has_logged_malformed = False

    def read(self, text):
        """Return the era that an answer of the store states, as text or None.

        An answer without a valid era counts as one of the current era.
        """
        if text is None:
            return self.current
        if text.isascii() and text.isdecimal() and len(text) <= len(str(MAX_ERA)):
            era = int(text)
            if era <= MAX_ERA:
                return era
        if not self._has_logged_malformed:
            self._has_logged_malformed = True
            logger.warning("the store states a malformed era", extra={"era": text[:40]})
        return self.current

    def observe(self, era):
        """Record an era; return whether it is the current one and not an older one."""
        if era > self.current:
            if self.is_known:
                extra = {"before": self.current, "era": era}
                logger.warning("the store came back from an older copy", extra=extra)
            self.current = era
            self._changed.set()
            self._changed = trio.Event()
        self.is_known = True
        return era == self.current

    async def wait_for_newer(self, era):
        """Wait until the current era is newer than another one."""
        while self.current <= era:
            await self._changed.wait()


class RetainedEntry:
    """Content that is kept in place of the store's.

    Parameters
    ----------
    key : str
    value : str or None
        None if the key is regarded as absent.
    restored_revision : int
        Composed revision of the key in the store; 0 if the store does not have it. A
        key with another revision was written since.
    until : float
        Monotonic seconds; infinity if it is kept until a newer value is written.
    """

    __slots__ = ("key", "value", "restored_revision", "until")

    def __init__(self, key, value, restored_revision, until):
        self.key = key
        self.value = value
        self.restored_revision = restored_revision
        self.until = until


class RetainedEntries:
    """Decides what is kept when the store comes back from an older copy.

    Parameters
    ----------
    rules : storecontent.StoreUpdateHandler
        Its `choose_retention_s` is called for entries that differ after a restore.
    """

    __slots__ = ("_rules", "_kept", "_earlier", "_followed_from")

    def __init__(self, rules):
        self._rules = rules
        self._kept = {}
        # Earlier versions in this era of keys that were changed or removed: by key, a
        # list of the revision and the hash of the value.
        self._earlier = collections.OrderedDict()
        # Composed revision from which all changes of its era were seen.
        self._followed_from = 0

    def __len__(self):
        return len(self._kept)

    def list_entries(self):
        """Return all `RetainedEntry`."""
        return list(self._kept.values())

    def get_next_expiry(self):
        """Return when the next entry expires; infinity if none does."""
        return min((entry.until for entry in self._kept.values()), default=math.inf)

    def apply_to(self, entries):
        """Return the entries by key that count, given those of the store."""
        if not self._kept:
            return entries
        entries = dict(entries)
        for key, kept in self._kept.items():
            if kept.value is None:
                entries.pop(key, None)
            else:
                entries[key] = Entry(key, kept.value, kept.restored_revision)
        return entries

    def begin_era(self, before, restored, revision, now):
        """Choose what is kept of the content from before a restore.

        Parameters
        ----------
        before, restored : dict of str to Entry
            Content of the store as known before, and as listed after the restore.
        revision : int
            Composed revision of the listing.
        now : float
            Monotonic seconds.
        """
        accepted = self.apply_to(before)
        lost_from = _find_lost_revision(before, restored)
        kept = {}
        for key in accepted.keys() | restored.keys():
            entry = restored.get(key)
            old_value = _get_value(accepted.get(key))
            new_value = _get_value(entry)
            if new_value == old_value:
                continue
            retention_s = self._rules.choose_retention_s(key, old_value, new_value)
            if retention_s == CURRENT:
                continue
            is_written_since = entry is not None and self._is_written_since(
                before.get(key), entry, lost_from
            )
            if is_written_since and retention_s < math.inf:
                continue
            restored_revision = 0 if entry is None else entry.revision
            until = now + retention_s
            kept[key] = RetainedEntry(key, old_value, restored_revision, until)
        self._kept = kept
        self._earlier.clear()
        self._followed_from = revision

    def continue_era(self, entries, revision):
        """Apply another listing of the same era: drop what was written since."""
        self._earlier.clear()
        self._followed_from = revision
        for key, kept in list(self._kept.items()):
            entry = entries.get(key)
            found = 0 if entry is None else entry.revision
            if found != kept.restored_revision:
                self._replace(kept, _get_value(entry), found)

    def adopt(self, entries):
        """Add what another VM keeps of content that this VM has never had."""
        for entry in entries:
            self._kept.setdefault(entry.key, entry)

    def apply_change(self, previous, entry):
        """Apply a change that the store reports; return whether it counts at once.

        Parameters
        ----------
        previous : Entry or None
            The store's entry before the change.
        entry : Entry
        """
        if previous is not None:
            self._remember(previous)
        kept = self._kept.get(entry.key)
        if kept is None:
            return True
        revision = 0 if entry.value is None else entry.revision
        return self._replace(kept, entry.value, revision)

    def remove_expired(self, now):
        """Remove the entries whose time is over, and return their keys."""
        expired = [key for key, kept in self._kept.items() if kept.until <= now]
        for key in expired:
            del self._kept[key]
        return expired

    def _replace(self, kept, value, revision):
        """Drop an entry unless the value written since is older than the kept one."""
        if kept.until == math.inf:
            retention_s = self._rules.choose_retention_s(kept.key, kept.value, value)
            if retention_s == math.inf:
                kept.restored_revision = revision
                return False
        del self._kept[kept.key]
        return True

    def _remember(self, entry):
        versions = self._earlier.pop(entry.key, [])
        versions.append((split_revision(entry.revision)[1], hash(entry.value)))
        self._earlier[entry.key] = versions[-MAX_REMEMBERED_VERSIONS:]
        if len(self._earlier) > MAX_REMEMBERED_KEYS:
            self._earlier.popitem(last=False)

    def _is_written_since(self, before, entry, lost_from):
        """Whether an entry was written after the restore, and is not of the copy.

        All changes since `_followed_from` were seen, so an entry with a later revision
        is of the copy only if it was seen with this revision.
        """
        number = split_revision(entry.revision)[1]
        if number >= lost_from:
            return True
        versions = self._earlier.get(entry.key, ())
        if (number, hash(entry.value)) in versions:
            return False
        if before is not None and number >= split_revision(before.revision)[1]:
            # With the same revision the value differs, so it was given out again.
            return True
        return number > split_revision(self._followed_from)[1]


def _get_value(entry):
    return None if entry is None else entry.value


def _find_lost_revision(before, restored):
    """Return a revision, without its era, that the restored copy cannot have.

    If a key has an earlier revision than before, its later one was lost, and all
    revisions from that on are of the new era.
    """
    lost_from = math.inf
    for key, entry in restored.items():
        if key in before:
            known = split_revision(before[key].revision)[1]
            if split_revision(entry.revision)[1] < known:
                lost_from = min(lost_from, known)
    return lost_from
