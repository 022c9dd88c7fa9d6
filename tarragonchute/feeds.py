"""Keeps a VM's configuration and registrations equal to the store's.

One listing and one watch cover all keys. A few VMs of the fleet watch the store; the
others follow one of these, because each call to the store has a price and its rates
grow more slowly than the fleet. A VM whose relay is silent or has lost the store
watches the store itself.
"""

import collections
import logging
import math
import random

import trio

from .backoff import compute_backoff_s
from .errors import (
    HistoryLostError,
    RelayUnavailableError,
    StoreUnavailableError,
    TarragonchuteError,
)

logger = logging.getLogger(__name__)

ALL_KEYS = ""
"""Prefix of everything that VMs need. One watch is cheaper than one for each kind."""

WATCH_WAIT_S = 25.0
"""Longest wait of one watch. A watch that fell silent is noticed by the probes."""

PROBE_S = 0.8
"""Period of reads that may be stale and cost little. After one that failed, the first
that succeeds restarts the watch, which the store may have forgotten. If one tells a
revision that the watch has not brought by the next probe, the watch fell silent."""

PROBE_TIMEOUT_S = 0.6
"""Longest wait for a probe. Followers must change to the store themselves in time for
a configuration to be in force."""

RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
"""Wait before another call after a failure, with jitter so that VMs spread."""

RELAY_RETRY_S = 0.3
"""Mean wait after a relay failed. A relay that lost the store for a moment has it again
by then, and VMs that leave one relay spread."""

BATCH_MIN_S = 0.2
BATCH_MAX_S = 0.7
"""Pause after a watch that returned changes; it doubles while they keep coming. Each
call has a price, and configurations and drains must be in force within seconds."""

BURST_S = 0.2
"""A watch that returned changes within this time is part of a burst."""

OUTAGE_S = 2.5
"""Time without a successful call after which registrations may have lapsed because the
store was away, and not because the targets ended. Longer than a probe takes to fail,
and shorter than three heartbeats of a target."""

HISTORY_ENTRIES = 4000
"""Changes that are kept for followers; a follower that missed more starts anew."""


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
    relays : peers.Relays or None
        Chooses another VM to follow.
    peers : peers.PeerSnapshots or None
        Asked while nothing is known and the store cannot be reached.
    clock : callable or None
        Returns monotonic seconds.

    Attributes
    ----------
    revision : int or None
        Revision of the store up to which changes are known.
    is_connected : bool
        Whether the store, or the VM that is followed, answers.
    is_direct : bool
        Whether this VM watches the store itself.
    is_loaded : bool
        Whether a snapshot was applied.
    """

    def __init__(
        self,
        store,
        handler,
        relays=None,
        peers=None,
        clock=None,
        random_source=None,
    ):
        self._store = store
        self._handler = handler
        self._relays = relays
        self._peers = peers
        self._clock = clock or trio.current_time
        self._random = random_source or random.Random()
        self._entries = {}
        self._history = collections.deque(maxlen=HISTORY_ENTRIES)
        self._history_start = math.inf
        self._changed = trio.Event()
        self._batch_s = BATCH_MIN_S
        self._last_success = None
        self._failures = 0
        self._may_have_lapsed = False
        self._known_revision = 0
        self.revision = None
        self.is_connected = False
        self.is_direct = False
        self.is_loaded = False

    async def run(self):
        """Follow until cancelled."""
        while True:
            try:
                if self.revision is None:
                    await self._load()
                await self._follow()
            except HistoryLostError as error:
                logger.info("listing the store again: %s", error)
                self.revision = None
            except RelayUnavailableError as error:
                await self._leave_relay(error)
            except TarragonchuteError as error:
                self._note_failure(error)
                await self._ask_peers()
                await self._wait_for_source()

    def list_entries(self):
        """Return all entries that are known."""
        return list(self._entries.values())

    def list_changes(self, after):
        """Return the entries that changed after a revision.

        Returns
        -------
        list of Entry or None
            None if the history does not reach so far back.
        """
        if after < self._history_start:
            return None
        return [entry for entry in self._history if entry.revision > after]

    async def wait_for_change(self):
        """Return at the next change, or when the store is lost or found."""
        await self._changed.wait()

    async def _leave_relay(self, error):
        """Ask the relay once more, or list the store and watch it.

        A listing is certain. A watch that starts while the store drops its history may
        miss changes without a word.
        """
        logger.info("not following another VM: %s", error)
        may_ask_again = self._relays.note_failure(error, self._clock())
        await trio.sleep(RELAY_RETRY_S * (0.5 + self._random.random()))
        if not may_ask_again:
            self.revision = None

    async def _ask_peers(self):
        if self.is_loaded or self._peers is None:
            return
        try:
            entries = await self._peers.fetch()
        except TarragonchuteError as error:
            logger.info("nothing to start with: %s", error)
            return
        # A revision that only a peer vouches for is no start for a watch.
        self._apply_snapshot(entries, None, is_after_outage=True)

    async def _load(self):
        entries, revision = await self._store.list(ALL_KEYS)
        self._note_success()
        self._apply_snapshot(entries, revision, self._may_have_lapsed)
        self._may_have_lapsed = False

    def _apply_snapshot(self, entries, revision, is_after_outage):
        self._entries = {entry.key: entry for entry in entries}
        self._history.clear()
        self._history_start = math.inf if revision is None else revision
        self.revision = revision
        self._known_revision = revision or 0
        self._handler.apply_snapshot(entries, is_after_outage)
        self.is_loaded = True

    async def _follow(self):
        relay = self._relays.choose(self._clock()) if self._relays else None
        started_at = self._clock()
        if relay is not None:
            await self._follow_relay(relay)
            return
        self.is_direct = True
        entries, revision = await self._watch_or_restart()
        if revision < self.revision:
            raise HistoryLostError(f"the store went back to revision {revision}")
        if not self.is_connected and self._was_away_long():
            # Removals in the history may be lapses; a listing tells what is back.
            self._may_have_lapsed = True
            self.revision = None
            return
        self._note_success()
        self._apply_changes(entries, revision)
        if entries:
            is_burst = self._clock() - started_at < BURST_S
            await self._pause_for_batch(is_burst)

    async def _follow_relay(self, relay):
        self.is_direct = False
        answer = await relay.watch(self.revision)
        self._note_success()
        self._relays.note_success()
        self._apply_relayed(*answer)

    def _apply_relayed(self, entries, revision, is_snapshot):
        if is_snapshot:
            self._apply_snapshot(entries, revision, is_after_outage=False)
        else:
            # A relay may be behind what this VM has read from the store before.
            self._apply_changes(entries, max(revision, self._known_revision))

    async def _pause_for_batch(self, is_burst):
        longer_s = min(2 * self._batch_s, BATCH_MAX_S)
        self._batch_s = longer_s if is_burst else BATCH_MIN_S
        await trio.sleep(self._batch_s)

    def _apply_changes(self, entries, revision):
        for entry in entries:
            if entry.value is None:
                self._entries.pop(entry.key, None)
            else:
                self._entries[entry.key] = entry
            self._handler.apply_change(entry.key, entry.value)
            self._remember(entry)
        self.revision = self._known_revision = revision
        if entries:
            self._wake_followers()

    def _remember(self, entry):
        if len(self._history) == HISTORY_ENTRIES:
            self._history_start = self._history[0].revision
        self._history.append(entry)

    def _wake_followers(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _watch_or_restart(self):
        """Watch until changes come, or until the probes show that none would come."""
        failure = None
        async with trio.open_nursery() as nursery:

            async def end_when_useless():
                nonlocal failure
                failure = await self._probe_during_watch()
                nursery.cancel_scope.cancel()

            nursery.start_soon(end_when_useless)
            try:
                return await self._store.watch(ALL_KEYS, self.revision, WATCH_WAIT_S)
            except TarragonchuteError as error:
                # Raised outside: a nursery would wrap it in a group.
                failure = error
            finally:
                nursery.cancel_scope.cancel()
        raise failure

    async def _probe_during_watch(self):
        """Return the reason for which the watch is of no use any more.

        A connection can fall silent while others work, and a store may have forgotten
        a watch from before an outage.
        """
        is_away = False
        told = self.revision
        while True:
            await trio.sleep(PROBE_S)
            try:
                revision = await self._probe()
            except TarragonchuteError as error:
                if not is_away:
                    self._note_lost(error)
                is_away = True
                continue
            if is_away:
                return StoreUnavailableError("the store was away during a watch")
            if told > self.revision:
                return HistoryLostError(f"the watch did not bring revision {told}")
            if revision is not None:
                told = revision
            self._last_success = self._clock()

    async def _probe(self):
        with trio.move_on_after(PROBE_TIMEOUT_S):
            return await self._store.probe()
        raise StoreUnavailableError(f"no answer within {PROBE_TIMEOUT_S} s")

    async def _wait_for_source(self):
        """Return once the store answers; follow a VM that it answers meanwhile.

        Probes cost less than the lost call.
        """
        while True:
            await trio.sleep(self._retry_delay())
            if await self._is_store_back():
                return
            relay = self._choose_substitute()
            if relay is not None and await self._follow_substitute(relay):
                return

    def _choose_substitute(self):
        if self._relays is None:
            return None
        return self._relays.choose_substitute(self._clock())

    async def _follow_substitute(self, relay):
        """Follow a VM of any failure domain; return whether the store is back.

        The store may turn some VMs away while it serves the others.
        """
        self.is_direct = False
        try:
            while True:
                answer = await relay.watch(self._known_revision)
                self._note_success()
                self._apply_relayed(*answer)
                if await self._is_store_back():
                    # What the store has now is listed, whatever the relay had.
                    self.revision = None
                    return True
        except RelayUnavailableError as error:
            self._relays.pass_over(relay, self._clock())
            self._note_failure(error)
            return False

    async def _is_store_back(self):
        try:
            await self._probe()
        except TarragonchuteError as error:
            self._failures += 1
            logger.debug("store still away: %s", error)
            return False
        return True

    def _note_success(self):
        now = self._clock()
        last = self._last_success
        if not self.is_connected:
            away_s = None if last is None else round(now - last, 3)
            logger.info("store reached", extra={"away_s": away_s})
        self.is_connected = True
        self._failures = 0
        self._last_success = now

    def _note_lost(self, error):
        if self.is_connected or not self._failures:
            logger.warning("store not reached: %s", error)
        self.is_connected = False
        self._wake_followers()

    def _note_failure(self, error):
        self._note_lost(error)
        self._failures += 1
        # A watch may miss changes without a word while the store drops its history;
        # a listing is certain.
        self.revision = None
        if self._was_away_long():
            self._may_have_lapsed = True

    def _was_away_long(self):
        last = self._last_success
        return last is not None and self._clock() - last > OUTAGE_S

    def _retry_delay(self):
        delay_s = compute_backoff_s(self._failures, RETRY_MIN_S, RETRY_MAX_S)
        return delay_s * (0.5 + 0.5 * self._random.random())
