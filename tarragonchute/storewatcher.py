"""Keeps a VM's configuration and registrations in sync with the store.

One listing and one watch cover all keys. A few VMs of the fleet watch the store and
relay its changes to the others, because each store call is billed and the store's rate
limits grow more slowly than the fleet. A VM whose relay is unresponsive or cannot reach
the store watches the store itself.
"""

import logging
import math
import random

import trio

from .backoff import compute_backoff_s
from .errors import (
    HistoryLostError,
    RelayUnavailableError,
    RelayWithoutStoreError,
    StoreEraChangedError,
    StoreUnavailableError,
    TarragonchuteError,
)
from .pacing import WatchPacer
from .revisions import StoreEras, get_era
from .storecontent import StoreContent

# JSON log lines carry this name, so it stays although the module was renamed.
logger = logging.getLogger("tarragonchute.feeds")

ALL_KEYS = ""
"""Prefix of all keys that VMs need; one watch costs less than one per kind of key."""

WATCH_TIMEOUT_S = 25.0
"""Longest duration of one watch call; a watch that hangs is detected by probes and by
comparison with the watches of other VMs."""

COMPARISON_TIMEOUT_S = 2.0
"""Time without an answer of another VM after which a watch is restarted. Probes may be
stale, so they may take seconds to show that the answer to a watch was lost. A new
configuration must take effect within three seconds."""

UNCOMPARED_WATCH_TIMEOUT_S = 1.5
"""Longest duration of one watch call while no other VM answers; the watch ends before
`COMPARISON_TIMEOUT_S`, so that its connection is kept."""

WATCH_LAG_S = 0.8
"""Time that a watch has to deliver a change that another VM has received. It is longer
than `PROBE_TIMEOUT_S`, so that a slow store is not listed again."""

COMPARISON_RETRY_DELAY_S = 0.4
"""Delay before another VM is asked after one could not tell its revision."""

PROBE_INTERVAL_S = 0.8
"""Interval of probes: cheap reads that may be stale. After a failed probe, the first
one that succeeds restarts the watch, because the store may have dropped it. If a probe
returns a revision that the watch has not delivered by the next probe, the watch is
treated as hung and restarted."""

MAX_FAILED_PROBES = 2
"""Consecutive failed probes after which a watch that still waits is abandoned, so that
the VM follows another one that the store answers."""

PROBE_TIMEOUT_S = 0.6
"""Timeout of a probe. It is short so that a relay that cannot reach the store soon
stops serving its followers. They then watch the store themselves, in time to apply a
new configuration."""

RETRY_DELAY_MIN_S = 0.2
RETRY_DELAY_MAX_S = 1.0
"""Bounds of the delay before a retry; jitter spreads the calls of the VMs."""

RELAY_RETRY_DELAY_S = 0.3
"""Mean delay between the failure of a relay and the next attempt. The relay may reach
the store again by then. Jitter keeps its followers from all switching at once."""

ERA_LISTING_SPREAD_S = 0.5
MAX_ERA_LISTINGS_PER_S = 200
"""Time over which the VMs that watch the store list it again in a new era, and the
number of VMs per second for which it is longer. A listing takes some 25 pages at the
target size, so that the listings make at most 5,000 billed reads a second."""

BURST_WINDOW_S = 0.2
"""A watch that returns changes within this time counts as part of a burst."""

LONG_OUTAGE_S = 2.5
"""Time without a successful call after which missing registrations may have expired
because of the store outage rather than because the targets stopped. It is longer than
a probe takes to fail, and shorter than three heartbeat intervals of a target."""


class StoreWatcher:
    """Tracks all keys of the store, directly or through a relay.

    Parameters
    ----------
    store : store.Store
    handler : storecontent.StoreUpdateHandler
    relays : peers.RelayChooser or None
        Chooses the relay to follow, if any.
    peers : peers.PeerSnapshots or None
        Source of the first snapshot.
    other_watchers : otherwatchers.OtherWatchers or None
        Other VMs that watch the store.
    eras : revisions.StoreEras or None
        Eras of the store, if it has any.
    clock : callable or None
        Returns monotonic seconds; `trio.current_time` by default.
    random_source : random.Random or None

    Attributes
    ----------
    revision : int or None
        Store revision up to which changes are known; None if the store must be listed.
    is_connected : bool
        Whether the store, or the relay that is followed, responds.
    is_watching_store : bool
        Whether this VM watches the store itself.
    is_loaded : bool
        Whether a first snapshot was applied.
    last_applied_revision : int
        Revision of the newest content that was applied, also while `revision` is None;
        0 if it came from a VM that could not reach the store.
    """

    def __init__(
        self,
        store,
        handler,
        relays=None,
        peers=None,
        other_watchers=None,
        clock=None,
        random_source=None,
        eras=None,
    ):
        self._store = store
        self._relays = relays
        self._peers = peers
        self._other_watchers = other_watchers
        # Revisions of other VMs: the newest for which the watch was restarted, and the
        # newest for which the store was listed.
        self._missed_revision = 0
        self._compared_revision = 0
        # Whether another VM answered lately.
        self._is_compared = True
        self._clock = clock or trio.current_time
        self._random = random_source or random.Random()
        self._content = StoreContent(handler)
        self._eras = eras or StoreEras()
        self._retained_changed = trio.Event()
        self._is_new_era = False
        self._changed = trio.Event()
        self._pacer = WatchPacer()
        self._last_success_at = None
        self._failures = 0
        self._registrations_may_have_expired = False
        # Kept while `revision` is None: a fallback relay is asked for later changes.
        self.last_applied_revision = 0
        self.revision = None
        self.is_connected = False
        self.is_watching_store = False
        self.is_loaded = False

    async def run(self):
        """Track the store until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._release_retained)
            while True:
                await self._follow_once()

    async def _follow_once(self):
        try:
            if self.revision is None or self._is_new_era:
                await self._load_first_content()
            await self._watch_once()
        except StoreEraChangedError as error:
            # Followers get the known content until the listing is complete.
            logger.info("listing the store in its new era: %s", error)
            self._is_new_era = True
        except HistoryLostError as error:
            logger.info("listing the store again: %s", error)
            self.revision = None
        except RelayUnavailableError as error:
            await self._handle_relay_failure(error)
        except TarragonchuteError as error:
            self._record_failure(error)
            await self._load_from_peers()
            await self._wait_for_store_or_relay()

    def list_entries(self):
        """Return all known entries of the store, without what is retained."""
        return self._content.list_entries()

    def list_retained(self):
        """Return the `RetainedEntry` that count in place of the store's entries."""
        return self._content.list_retained()

    def get_entry(self, key):
        """Return the known `Entry` of a key, or None."""
        return self._content.get_entry(key)

    def get_last_success(self):
        """Return when the store or a relay last answered, in monotonic seconds."""
        last = self._last_success_at
        return -math.inf if last is None else last

    def list_changes(self, after):
        """Return the changes after a revision; see `StoreContent.list_changes`."""
        return self._content.list_changes(after)

    async def wait_for_change(self):
        """Wait for the next change, or until the store cannot be reached."""
        await self._changed.wait()

    async def _handle_relay_failure(self, error):
        """Wait before the next attempt, and retry the relay or list the store again.

        A listing is always complete. A watch may silently miss changes if it starts
        while the store drops its history.
        """
        logger.info("not following another VM: %s", error)
        may_retry = self._relays.record_failure(error, self._clock())
        await trio.sleep(RELAY_RETRY_DELAY_S * (0.5 + self._random.random()))
        if not may_retry:
            self.revision = None

    async def _load_first_content(self):
        """Load a current snapshot of another VM at the start, or list the store.

        The snapshot has a revision, so the watch that follows delivers all later
        changes, as after a listing.
        """
        snapshot = None
        if not self.is_loaded and self._peers is not None:
            snapshot = await self._peers.fetch_at_start()
        if snapshot is None:
            await self._load_listing()
        else:
            self._apply_snapshot(
                snapshot.entries,
                snapshot.revision,
                is_after_outage=False,
                retained=snapshot.retained,
            )

    async def _load_from_peers(self):
        if self.is_loaded or self._peers is None:
            return
        try:
            snapshot = await self._peers.fetch()
        except TarragonchuteError as error:
            logger.info("no initial snapshot from other VMs: %s", error)
            return
        self._apply_outdated(snapshot)

    async def _load_listing(self):
        if self.is_loaded and self._content.era < self._eras.current:
            least_s = self._count_watching_vms() / MAX_ERA_LISTINGS_PER_S
            spread_s = max(ERA_LISTING_SPREAD_S, least_s)
            await trio.sleep(spread_s * self._random.random())
        entries, revision = await self._store.list(ALL_KEYS)
        if not self.is_loaded and self._peers is not None and get_era(revision):
            # The store may lack what other VMs have accepted.
            snapshot = await self._peers.fetch_any()
            if snapshot is not None:
                self._apply_outdated(snapshot)
        if get_era(revision) < self._content.era:
            raise StoreUnavailableError("the listing is of an earlier era")
        is_after_outage = self._registrations_may_have_expired or (
            not self.is_connected and self._was_outage_long()
        )
        self._record_success()
        self._apply_snapshot(entries, revision, is_after_outage)
        self._registrations_may_have_expired = False

    def _apply_snapshot(self, entries, revision, is_after_outage, retained=()):
        self.revision = self.last_applied_revision = revision
        self._content.replace_all(
            entries, revision, self._clock(), is_after_outage, retained=retained
        )
        self._finish_snapshot()

    def _apply_outdated(self, snapshot):
        """Apply the snapshot of a peer, which may be outdated.

        With the revision None, the store is listed before a watch starts.
        """
        self.revision = None
        self.last_applied_revision = 0
        self._content.replace_all(
            snapshot.entries,
            snapshot.revision,
            self._clock(),
            is_after_outage=True,
            is_complete=False,
            retained=snapshot.retained,
        )
        self._finish_snapshot()

    def _finish_snapshot(self):
        self.is_loaded = True
        self._eras.observe(self._content.era)
        self._is_new_era = False
        self._retained_changed.set()
        self._retained_changed = trio.Event()
        self._notify_followers()

    async def _release_retained(self):
        """Apply the store's entries once those that were kept expire."""
        while True:
            left_s = self._content.get_next_expiry() - self._clock()
            with trio.move_on_after(max(left_s, 0.0)):
                await self._retained_changed.wait()
            self._content.release_expired(self._clock())

    async def _watch_once(self):
        """Make one watch call to the store or a relay, and apply its changes."""
        relay = self._relays.choose(self._clock()) if self._relays else None
        started_at = self._clock()
        if relay is not None:
            await self._watch_relay(relay)
            return
        self.is_watching_store = True
        if self._last_success_at is None:
            # The content came from another VM. A first call shows whether this VM
            # reaches the store; a watch may wait long for its first change.
            await self._probe()
            self._record_success()
        answer = await self._watch_with_checks()
        if answer is None:
            return
        entries, revision = answer
        if revision < self.revision:
            raise HistoryLostError(f"the store's revision decreased to {revision}")
        if not self.is_connected and self._was_outage_long():
            # Removals that the watch returned may be leases that expired during the
            # outage. A listing shows which targets have registered again.
            self._registrations_may_have_expired = True
            self.revision = None
            return
        self._record_success()
        is_urgent = self._apply_changes(entries, revision)
        if entries:
            is_burst = self._clock() - started_at < BURST_WINDOW_S
            await self._pause_for_batch(is_burst, is_urgent)

    async def _watch_relay(self, relay):
        self.is_watching_store = False
        answer = await relay.watch(self.revision)
        self._check_relayed_era(answer)
        self._record_success()
        self._relays.record_success()
        self._apply_relayed(*answer)

    def _check_relayed_era(self, answer):
        """Raise an error if a relay has content of an earlier era than this VM."""
        _, revision, _ = answer
        if get_era(revision) < self._content.era:
            raise RelayWithoutStoreError("the relay is in an earlier era of the store")

    def _apply_relayed(self, entries, revision, is_snapshot):
        if is_snapshot:
            self._apply_snapshot(entries, revision, is_after_outage=False)
        else:
            # The relay's revision may be older than what this VM has applied already.
            self._apply_changes(entries, max(revision, self.last_applied_revision))

    async def _pause_for_batch(self, is_burst, is_urgent):
        """Pause, so that the next watch returns several changes at once."""
        watching_vms = self._count_watching_vms()
        await trio.sleep(
            self._pacer.choose_pause_s(self._clock(), is_burst, is_urgent, watching_vms)
        )

    def _count_watching_vms(self):
        others = self._other_watchers
        return 1 if others is None else 1 + others.count()

    def _apply_changes(self, entries, revision):
        """Apply the changes of a watch; return whether one of them is urgent."""
        is_urgent = self._content.apply_changes(entries, revision)
        self.revision = self.last_applied_revision = revision
        if entries:
            self._notify_followers()
        return is_urgent

    def _notify_followers(self):
        self._changed.set()
        self._changed = trio.Event()

    async def _watch_with_checks(self):
        """Watch the store; raise an error if checks show that the watch is broken.

        Returns
        -------
        tuple of (list of Entry, int) or None
            Changes and revision; None if the watch is to be restarted.
        """
        failure = None
        async with trio.open_nursery() as nursery:

            async def check_and_cancel_watch(check):
                nonlocal failure
                failure = await check()
                nursery.cancel_scope.cancel()

            nursery.start_soon(check_and_cancel_watch, self._probe_during_watch)
            nursery.start_soon(check_and_cancel_watch, self._wait_for_new_era)
            wait_s = WATCH_TIMEOUT_S
            if self._other_watchers is not None:
                nursery.start_soon(check_and_cancel_watch, self._compare_during_watch)
                if not self._is_compared:
                    wait_s = UNCOMPARED_WATCH_TIMEOUT_S
            try:
                return await self._store.watch(ALL_KEYS, self.revision, wait_s)
            except TarragonchuteError as error:
                # Raised outside the nursery, which would wrap it in an exception group.
                failure = error
            finally:
                nursery.cancel_scope.cancel()
        if failure is None:
            return None
        raise failure

    async def _wait_for_new_era(self):
        """Return an error once any call of this VM has shown a new era."""
        await self._eras.wait_for_newer(get_era(self.revision))
        return StoreEraChangedError("another call or VM has shown it")

    async def _probe_during_watch(self):
        """Probe the store; return an error once the watch has to be restarted.

        A single connection can hang while others work, and the store may have dropped
        a watch that started before an outage.
        """
        failed_probes = 0
        reported_revision = self.revision
        while True:
            await trio.sleep(PROBE_INTERVAL_S)
            try:
                revision = await self._probe()
            except TarragonchuteError as error:
                if not failed_probes:
                    self._record_disconnect(error)
                failed_probes += 1
                if failed_probes == MAX_FAILED_PROBES:
                    return StoreUnavailableError(f"probes fail during a watch: {error}")
                continue
            if failed_probes:
                return StoreUnavailableError("store outage during a watch")
            if reported_revision > self.revision:
                return HistoryLostError(
                    f"the watch did not deliver revision {reported_revision}"
                )
            if revision is not None:
                reported_revision = revision
            self._last_success_at = self._clock()

    async def _compare_during_watch(self):
        """Compare the watch with those of other VMs until it has to be restarted.

        Probes do not suffice: the store may answer them from old content.

        Returns
        -------
        HistoryLostError or None
            The error if the watch has missed a change again after a restart; None if it
            has missed one for the first time, or if no other VM can tell.
        """
        while True:
            after = max(self.revision, self._compared_revision)
            revision = None
            with trio.move_on_after(COMPARISON_TIMEOUT_S):
                revision = await self._fetch_other_revision(after)
            self._is_compared = revision is not None
            self._eras.observe(get_era(revision or 0))
            if revision is None:
                if not self.is_connected:
                    # Failing probes show more than a restarted watch would.
                    continue
                return None
            if revision > after:
                await trio.sleep(WATCH_LAG_S)
                text = f"the watch did not deliver revision {revision} of another VM"
                if self.revision < self._missed_revision:
                    self._compared_revision = revision
                    return HistoryLostError(text)
                self._missed_revision = revision
                logger.info("restarting the watch: %s", text)
                return None

    async def _fetch_other_revision(self, after):
        while True:
            try:
                return await self._other_watchers.wait_for_revision(after)
            except RelayUnavailableError:
                await trio.sleep(COMPARISON_RETRY_DELAY_S)

    async def _probe(self):
        with trio.move_on_after(PROBE_TIMEOUT_S):
            return await self._store.probe()
        raise StoreUnavailableError(f"no answer to a probe within {PROBE_TIMEOUT_S} s")

    async def _wait_for_store_or_relay(self):
        """Probe the store until it answers; meanwhile follow any relay that answers.

        A probe costs less than repeating the failed call.
        """
        while True:
            await trio.sleep(self._choose_retry_delay_s())
            if await self._is_store_reachable():
                return
            relay = self._choose_fallback()
            if relay is not None and await self._follow_fallback(relay):
                return

    def _choose_fallback(self):
        if self._relays is None:
            return None
        return self._relays.choose_fallback(self._clock())

    async def _follow_fallback(self, relay):
        """Follow a relay until it fails; return whether the store answers again.

        The store may refuse the calls of this VM while it serves the relay.
        """
        self.is_watching_store = False
        try:
            while True:
                answer = await relay.watch(self.last_applied_revision)
                self._check_relayed_era(answer)
                self._record_success()
                self._apply_relayed(*answer)
                if await self._is_store_reachable():
                    # The relay may lag behind the store, so the store is listed.
                    self.revision = None
                    return True
        except RelayUnavailableError as error:
            self._relays.exclude(relay, self._clock())
            self._record_failure(error)
            return False

    async def _is_store_reachable(self):
        try:
            await self._probe()
        except TarragonchuteError as error:
            self._failures += 1
            logger.debug("store still unreachable: %s", error)
            return False
        return True

    def _record_success(self):
        now = self._clock()
        last = self._last_success_at
        if not self.is_connected:
            away_s = None if last is None else round(now - last, 3)
            logger.info("store reached", extra={"away_s": away_s})
        self.is_connected = True
        self._failures = 0
        self._last_success_at = now

    def _record_disconnect(self, error):
        if self.is_connected or not self._failures:
            logger.warning("store not reached: %s", error)
        self.is_connected = False
        self._notify_followers()

    def _record_failure(self, error):
        self._record_disconnect(error)
        self._failures += 1
        # Require a new listing; `_handle_relay_failure` states why.
        self.revision = None
        if self._was_outage_long():
            self._registrations_may_have_expired = True

    def _was_outage_long(self):
        last = self._last_success_at
        return last is not None and self._clock() - last > LONG_OUTAGE_S

    def _choose_retry_delay_s(self):
        delay_s = compute_backoff_s(
            self._failures, RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S
        )
        return delay_s * (0.5 + 0.5 * self._random.random())
