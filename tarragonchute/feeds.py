"""Keeps a VM's configuration and registrations equal to the store's.

One watch covers everything. After a gap in the history, or when the watch fails for
long, all keys are listed again.
"""

import logging
import random

import trio

from .errors import HistoryLostError, StoreUnavailableError, TarragonchuteError

logger = logging.getLogger(__name__)

ALL_KEYS = ""
"""Prefix of everything that VMs need. One watch is cheaper than one for each kind."""

WATCH_WAIT_S = 25.0
"""Longest wait of one watch. A watch that fell silent is noticed by the probes."""

PROBE_S = 3.0
"""Period of reads that may be stale and cost little. After one that failed, the first
that succeeds restarts the watch, which the store may have forgotten."""

RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
"""Wait before another call after a failure, with jitter so that VMs spread."""

BATCH_S = 0.7
"""Pause after a watch that returned changes. Changes come in bursts, and each call has
a price; configurations and drains must be in force within seconds."""

OUTAGE_S = 4.0
"""Time without a successful call after which registrations may have lapsed because the
store was away, and not because the targets ended. Longer than `PROBE_S`."""


class FeedHandler:
    """What is told the content of the store."""

    __slots__ = ()

    def apply_snapshot(self, entries, is_after_outage):
        """Take all entries; others do not exist."""

    def apply_change(self, key, value):
        """Take one change; `value` is None if the key was removed."""


class Feed:
    """Follows the keys of the store.

    Parameters
    ----------
    store : store.Store
    handler : FeedHandler
    peers : peers.PeerSnapshots or None
        Asked while nothing is known and the store cannot be reached.
    clock : callable or None
        Returns monotonic seconds.

    Attributes
    ----------
    revision : int or None
        Revision of the store up to which changes are known.
    is_connected : bool
        Whether the latest call succeeded.
    is_loaded : bool
        Whether a snapshot was applied.
    """

    def __init__(self, store, handler, peers=None, clock=None, random_source=None):
        self._store = store
        self._peers = peers
        self._entries = {}
        self._handler = handler
        self._clock = clock or trio.current_time
        self._random = random_source or random.Random()
        self._last_success = None
        self._failures = 0
        self._may_have_lapsed = False
        self.revision = None
        self.is_connected = False
        self.is_loaded = False

    async def run(self):
        """Follow until cancelled."""
        while True:
            try:
                if self.revision is None:
                    await self._load()
                await self._watch()
            except HistoryLostError as error:
                logger.info("listing the store again: %s", error)
                self.revision = None
            except TarragonchuteError as error:
                self._note_failure(error)
                await self._ask_peers()
                await trio.sleep(self._retry_delay())

    def list_entries(self):
        """Return all entries that are known."""
        return list(self._entries.values())

    async def _ask_peers(self):
        if self.is_loaded or self._peers is None:
            return
        try:
            entries = await self._peers.fetch()
        except TarragonchuteError as error:
            logger.info("nothing to start with: %s", error)
            return
        self._apply_snapshot(entries, is_after_outage=True)

    async def _load(self):
        entries, revision = await self._store.list(ALL_KEYS)
        self._note_success()
        self._apply_snapshot(entries, self._may_have_lapsed)
        self._may_have_lapsed = False
        self.revision = revision

    def _apply_snapshot(self, entries, is_after_outage):
        self._entries = {entry.key: entry for entry in entries}
        self._handler.apply_snapshot(entries, is_after_outage)
        self.is_loaded = True

    async def _watch(self):
        entries, revision = await self._watch_or_restart()
        self._note_success()
        if revision < self.revision:
            raise HistoryLostError(f"the store went back to revision {revision}")
        for entry in entries:
            self._apply_change(entry)
        self.revision = revision
        if entries:
            await trio.sleep(BATCH_S)

    def _apply_change(self, entry):
        if entry.value is None:
            self._entries.pop(entry.key, None)
        else:
            self._entries[entry.key] = entry
        self._handler.apply_change(entry.key, entry.value)

    async def _watch_or_restart(self):
        """Watch until changes come, or until the store is back from an outage."""
        failure = StoreUnavailableError("the store was away during a watch")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe, nursery.cancel_scope)
            try:
                return await self._store.watch(ALL_KEYS, self.revision, WATCH_WAIT_S)
            except TarragonchuteError as error:
                # Raised outside: a nursery would wrap it in a group.
                failure = error
            finally:
                nursery.cancel_scope.cancel()
        raise failure

    async def _probe(self, watch_scope):
        """End the watch when the store answers again after it did not."""
        is_away = False
        while True:
            await trio.sleep(PROBE_S if not is_away else RETRY_MAX_S)
            try:
                await self._store.probe()
            except TarragonchuteError as error:
                if not is_away:
                    logger.warning("store not reached: %s", error)
                is_away = True
                continue
            if is_away:
                watch_scope.cancel()
                return
            self._last_success = self._clock()

    def _note_success(self):
        now = self._clock()
        last = self._last_success
        if not self.is_connected:
            logger.info(
                "store reached",
                extra={"away_s": None if last is None else round(now - last, 3)},
            )
        self.is_connected = True
        self._failures = 0
        self._last_success = now

    def _note_failure(self, error):
        if self.is_connected or not self._failures:
            logger.warning("store not reached: %s", error)
        self.is_connected = False
        self._failures += 1
        last = self._last_success
        if last is not None and self._clock() - last > OUTAGE_S:
            # Removals in the history may be lapses; a listing tells what is back.
            self._may_have_lapsed = True
            self.revision = None

    def _retry_delay(self):
        delay_s = min(RETRY_MIN_S * 2 ** min(self._failures, 8), RETRY_MAX_S)
        return delay_s * (0.5 + 0.5 * self._random.random())
