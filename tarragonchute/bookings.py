"""Bookings: requests that run at most once per idempotency key.

A VM claims the key by creating a record in the store before it dispatches anything.
"""

import collections
import contextlib
import logging
import secrets
import time

import trio

from . import errors
from .claims import (
    STARTED,
    WRITES_PER_BOOKING,
    Claim,
    ClaimCache,
    ClaimRecord,
    WriteBudget,
)
from .membership import MAX_SHARD_TIME_S
from .orders import BookingOrder, DispatchResult
from .searches import subtract_merge_reserve

logger = logging.getLogger(__name__)

RESTORE_MARKER_PREFIX = "operations_restored/"
"""Prefix of the store keys with which members report that their claims are restored."""

RECORD_LEASE_TTL_S = 25 * 3600.0
"""TTL of a store lease.

Records are attached to it for the first hour, so each is kept for at least 24 h.
"""

LEASE_SHARED_S = 3600.0
"""Time for which new records are attached to the same store lease."""

MAX_PENDING_OUTCOMES = 10_000
"""Limit of pending outcome records; at the limit bookings are refused."""

CLAIM_TIMEOUT_FRACTION = 0.5
"""Fraction of the deadline after which an unanswered claim write is abandoned."""

MAX_CLAIM_ATTEMPTS = 2
"""The store rejects a lease that it has lost; the second attempt uses a new one."""

READ_BACK_TIMEOUT_FRACTION = 0.75
"""Fraction of the deadline after which an unanswered claim is no longer read back."""

FLUSH_INTERVAL_S = 0.2
"""Delay between attempts to write the pending outcome records."""

WATCH_RETRY_DELAY_S = 0.05
"""Delay before a watch that returned no change is repeated."""

RESTORE_POLL_INTERVAL_S = 0.5
"""Interval between checks whether all members have restored their claims."""

MAX_KEY_LENGTH = 200

_REGRESSED_TEXT = "the store lost writes; claims are being restored"


class _Booking:
    """One call of `Booker.book`."""

    __slots__ = (
        "order",
        "record_key",
        "digest",
        "claim_id",
        "claim_deadline",
        "read_back_deadline",
        "answer_deadline",
        "finished_event",
        "result",
        "error",
    )

    def __init__(self, order, now, deadline_s):
        self.order = order
        self.record_key = order.record_key()
        self.digest = order.digest()
        self.claim_id = None
        self.claim_deadline = now + deadline_s * CLAIM_TIMEOUT_FRACTION
        self.read_back_deadline = now + deadline_s * READ_BACK_TIMEOUT_FRACTION
        self.answer_deadline = now + subtract_merge_reserve(deadline_s)
        self.finished_event = trio.Event()
        self.result = None
        # Raised if the task is cancelled before the booking has an outcome.
        self.error = errors.OutcomeUnknownError("the VM stopped during the booking")


class Booker:
    """Claims keys, dispatches their orders and records the outcomes.

    A booking runs in a task of `run`, so it continues if its caller disconnects.

    Parameters
    ----------
    vm_id : str
    store : Store
    dispatch : callable
        ``await dispatch(order, answer_deadline)`` sends a `BookingOrder` to a target
        and returns a `DispatchResult` by `answer_deadline` (trio time in seconds). It
        sends the order again only if no earlier send can have run.
    list_members : callable
        Returns the vm_ids of the members of the current view.
    wall_clock : callable
        Returns Unix time in seconds.
    """

    def __init__(self, vm_id, store, dispatch, list_members, wall_clock=time.time):
        self._vm_id = vm_id
        self._store = store
        self._dispatch = dispatch
        self._list_members = list_members
        self._wall_clock = wall_clock
        self._budget = WriteBudget(lambda: len(list_members()))
        self._claims = ClaimCache()
        self._pending = collections.OrderedDict()
        self._wake_event = trio.Event()
        self._nursery = None
        self._open_count = 0
        self._lease = None
        self._lease_granted_at = 0.0
        self._highest_revision = 0
        self._regression_revision = None
        self._last_restored_regression = 0
        self._keys_to_restore = None

    @property
    def heartbeat_revision(self):
        """Highest store revision that this VM has seen, for the heartbeats.

        It is negative while the store counts as regressed; its absolute value is
        then the revision up to which writes may be lost.
        """
        return (
            self._highest_revision
            if self._regression_revision is None
            else -self._regression_revision
        )

    @property
    def is_regressed(self):
        """Whether bookings are refused because the store lost writes."""
        return self._regression_revision is not None

    @property
    def open_bookings(self):
        """Number of bookings in progress."""
        return self._open_count

    @property
    def pending_writes(self):
        """Number of outcome records waiting to be written to the store."""
        return len(self._pending)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Run bookings, pending writes and the restore of claims until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await self._run_pending_writes()
            finally:
                self._nursery = None

    async def book(self, team, key, dataset, shard, order, deadline_s, request_id):
        """Run an order at most once for this team and key.

        Parameters
        ----------
        team, key, dataset, shard : str
            `key` is the caller's idempotency key.
        order : object
            JSON of the order.
        deadline_s : float
            Seconds from now within which the caller must have the outcome.
        request_id : str
            128 random bits in hexadecimal.

        Returns
        -------
        object
            JSON of the target's result; the booking is done.

        Raises
        ------
        KeyRequiredError, BadRequestError
            If the key is missing or too long.
        KeyConflictError
            If the key was used with a different request body.
        NotRunError
            If this request did not run; `code` gives the reason.
        OutcomeUnknownError
            If it is unknown whether the order ran. It is never dispatched again.
        """
        if not key:
            raise errors.KeyRequiredError("a booking needs an idempotency key")
        if len(key) > MAX_KEY_LENGTH:
            text = f"the idempotency key is longer than {MAX_KEY_LENGTH} characters"
            raise errors.BadRequestError(text)
        if self._nursery is None:
            raise errors.DrainingError("this VM is not accepting bookings")
        booking = _Booking(
            BookingOrder(request_id, team, key, dataset, shard, order),
            trio.current_time(),
            deadline_s,
        )
        self._open_count += 1
        self._nursery.start_soon(self._execute, booking)
        await booking.finished_event.wait()
        if booking.error is not None:
            raise booking.error
        return booking.result

    def observe_peer_revision(self, revision):
        """Process the `heartbeat_revision` of another VM."""
        if revision < 0:
            if -revision > max(
                self._last_restored_regression, self._regression_revision or 0
            ):
                self._begin_restore(-revision, 0)
        elif not self.is_regressed and revision > self._last_restored_regression:
            # Ignores revisions up to that of the last regression: the peer may have
            # seen them before the store lost writes.
            self._highest_revision = max(self._highest_revision, revision)

    def observe_store_revision(self, revision, revision_when_sent):
        """Process the store-wide revision in the response to a read or a watch.

        Parameters
        ----------
        revision : int
        revision_when_sent : int
            `heartbeat_revision` when the call was sent. A lower `revision` means
            that the store has lost writes.
        """
        # A read may return the revision already known; only a write must exceed it.
        if revision_when_sent >= 0 and not self.is_regressed:
            self._observe(revision, revision_when_sent - 1)

    # One booking

    async def _execute(self, booking):
        """Run a booking and store its result or error for `book`."""
        try:
            booking.result = await self._resolve(booking)
            booking.error = None
        except errors.TarragonchuteError as error:
            booking.error = error
        except Exception:
            logger.exception("booking %s failed", booking.order.request_id)
            booking.error = errors.OutcomeUnknownError(
                "internal error during the booking"
            )
        finally:
            self._open_count -= 1
            booking.finished_event.set()

    async def _resolve(self, booking):
        """Return the result recorded for the key, or claim the key and run the order.

        If the record belongs to another claim, wait for its outcome. A claim that
        provably did not run is replaced.
        """
        cached_claim = self._claims.get(booking.record_key)
        if cached_claim is not None:
            record = await self._wait_for_own_claim(booking, cached_claim)
            if record.state == errors.Outcome.DONE:
                return record.result
        expected_revision = 0
        while True:
            record, revision = await self._claim(booking, expected_revision)
            if self._is_own_claim(record, booking):
                return await self._run_claimed_order(booking, record, revision)
            record = self._prefer_cached_record(booking, record)
            self._check_digest(booking, record)
            if record.state == STARTED:
                record, revision = await self._wait_for_outcome(
                    booking, record, revision
                )
            if record.state == errors.Outcome.DONE:
                return record.result
            expected_revision = revision

    async def _wait_for_own_claim(self, booking, claim):
        """Return the outcome of a claim that this VM made earlier.

        It is held in memory, so it is available even while the store is down.
        """
        self._check_digest(booking, claim.record)
        with trio.move_on_at(booking.answer_deadline):
            await claim.is_settled.wait()
        if claim.record.state == STARTED:
            raise errors.OutcomeUnknownError(
                "the key is claimed and its order may have run"
            )
        return claim.record

    def _prefer_cached_record(self, booking, record):
        """Return this VM's cached copy of a record if there is one, else the record.

        The copy is newer than the store's while the write of the outcome is pending.
        """
        cached_claim = self._claims.get(booking.record_key)
        if cached_claim is not None and cached_claim.record.claim_id == record.claim_id:
            return cached_claim.record
        return record

    def _check_digest(self, booking, record):
        if record.body_digest != booking.digest:
            raise errors.KeyConflictError(
                "the key was used with a different request body"
            )

    def _is_own_claim(self, record, booking):
        """Return whether the store's record is the claim that this booking made."""
        return record.claim_id == booking.claim_id

    # Making a claim

    def _admit_claim(self, booking):
        """Spend the store writes of a booking, or raise a `NotRunError`."""
        now = trio.current_time()
        if now >= booking.claim_deadline:
            raise errors.DeadlinePassedError("too little time is left to claim the key")
        if self.is_regressed:
            raise errors.StoreRegressedError(_REGRESSED_TEXT)
        if len(self._pending) >= MAX_PENDING_OUTCOMES:
            raise errors.StoreUnavailableError(
                "too many outcomes await their write to the store"
            )
        if not self._budget.try_spend(WRITES_PER_BOOKING, now):
            raise errors.StoreBusyError("this VM's share of store writes is used up")

    async def _claim(self, booking, expected_revision):
        """Create a claim record; return the store's record and its revision.

        The returned record belongs to another claim if that one was first.
        """
        self._admit_claim(booking)
        booking.claim_id = secrets.token_hex(16)
        remaining_s = booking.answer_deadline - trio.current_time()
        record = ClaimRecord(
            STARTED,
            booking.claim_id,
            self._vm_id,
            booking.digest,
            self._wall_clock() + remaining_s,
        )
        highest_when_sent = self._highest_revision
        revision = None
        try:
            revision = await self._put_claim(booking, record, expected_revision)
        except errors.StoreConflictError as conflict:
            return _parse_conflict(conflict)
        except errors.StoreOutcomeUnknownError:
            logger.info("lost the response to the claim of %s", booking.record_key)
        if revision is None:
            return await self._read_back(booking, record)
        # A peer may have reported a regression while the claim was being written.
        if not self._observe(revision, highest_when_sent) or self.is_regressed:
            self._abandon_claim(booking, record)
            raise errors.StoreRegressedError(_REGRESSED_TEXT)
        return record, revision

    async def _put_claim(self, booking, record, expected_revision):
        """Write a claim; return its revision, or None if no response came in time."""
        for _ in range(MAX_CLAIM_ATTEMPTS):
            lease = await self._get_shared_lease(booking.claim_deadline)
            try:
                with trio.move_on_at(booking.claim_deadline):
                    return await self._store.put(
                        booking.record_key, record.to_text(), expected_revision, lease
                    )
                return None
            except errors.LeaseNotFoundError:
                self._lease = None
        raise errors.StoreUnavailableError(
            "the store does not know the leases it granted"
        )

    async def _read_back(self, booking, record):
        """Read the store's record and its revision after a claim had no response."""
        entry = None
        with trio.move_on_at(booking.read_back_deadline):
            try:
                entry = await self._store.get(booking.record_key)
            except errors.StoreUnavailableError:
                logger.info("could not read back the claim of %s", booking.record_key)
        if entry is None:
            self._abandon_claim(booking, record)
            raise errors.StoreUnavailableError("the claim could not be confirmed")
        stored = ClaimRecord.from_text(entry.value)
        if not self._is_own_claim(stored, booking):
            # This booking's delayed write may still reach the store and block the key.
            self._abandon_claim(booking, record)
        return stored, entry.revision

    def _abandon_claim(self, booking, record):
        """Queue a not_run outcome for a claim that may exist but was not dispatched."""
        self._add_pending(booking.record_key, record.with_outcome(_NOT_RUN), None)

    async def _get_shared_lease(self, deadline):
        """Return the lease that new records share, granted anew every `LEASE_SHARED_S`.

        Raises
        ------
        StoreUnavailableError
            If no lease was granted by `deadline`, in trio time.
        """
        now = trio.current_time()
        if self._lease is not None and now - self._lease_granted_at < LEASE_SHARED_S:
            return self._lease
        lease = None
        with trio.move_on_at(deadline):
            try:
                lease = await self._store.grant_lease(RECORD_LEASE_TTL_S)
            except errors.StoreOutcomeUnknownError:
                logger.info("lost the response to a lease grant")
        if lease is None:
            raise errors.StoreUnavailableError("the store granted no lease in time")
        self._lease = lease
        self._lease_granted_at = now
        return lease

    # Dispatch and outcome

    async def _run_claimed_order(self, booking, record, revision):
        """Dispatch a claimed order, record its outcome and return its result."""
        now = trio.current_time()
        claim = Claim(record, now)
        self._claims.put(booking.record_key, claim, now)
        try:
            dispatch_result = await self._dispatch_claimed(booking, record)
            if dispatch_result.outcome != errors.Outcome.UNKNOWN:
                claim.record = record.with_outcome(
                    str(dispatch_result.outcome), dispatch_result.result
                )
                self._claims.put(booking.record_key, claim, now)
        finally:
            claim.is_settled.set()
        if dispatch_result.outcome != errors.Outcome.UNKNOWN:
            await self._record_outcome(booking, claim.record, revision)
        if dispatch_result.outcome != errors.Outcome.DONE:
            raise dispatch_result.to_error()
        return dispatch_result.result

    async def _dispatch_claimed(self, booking, record):
        """Dispatch an order within the time limit of its claim record."""
        if self._wall_clock() >= record.dispatch_before:
            return DispatchResult(errors.Outcome.NOT_RUN, "deadline_passed")
        booking.order.dispatch_before = record.dispatch_before
        dispatch_result = DispatchResult(errors.Outcome.UNKNOWN, "outcome_unknown")
        with trio.move_on_at(booking.answer_deadline):
            try:
                dispatch_result = await self._dispatch(
                    booking.order, booking.answer_deadline
                )
            except Exception:
                logger.exception("dispatch of %s failed", booking.order.request_id)
        return dispatch_result

    async def _record_outcome(self, booking, record, revision):
        """Write an outcome before the answer deadline, or queue it as pending."""
        is_settled = False
        with trio.move_on_at(booking.answer_deadline):
            is_settled = await self._try_write(booking.record_key, record, revision)
        if not is_settled:
            self._add_pending(booking.record_key, record, revision)

    # Pending writes

    def _add_pending(self, record_key, record, revision):
        self._pending[record_key, record.claim_id] = (record, revision)
        self._wake_event.set()

    async def _run_pending_writes(self):
        """Write pending outcome records and restore claims whenever there are any."""
        while True:
            if not self._pending and not self.is_regressed:
                self._wake_event = trio.Event()
                await self._wake_event.wait()
            try:
                await self._write_pending()
                if self.is_regressed:
                    await self._restore_claims()
            except Exception:
                # An error here must not end the VM; the next pass tries again.
                logger.exception(
                    "writing pending outcome records or restoring claims failed"
                )
            if self._pending or self.is_regressed:
                await trio.sleep(FLUSH_INTERVAL_S)

    async def _write_pending(self):
        """Write the pending outcome records; stop at the first to be retried."""
        for pending_id in list(self._pending):
            record, revision = self._pending[pending_id]
            if not await self._try_write(pending_id[0], record, revision):
                return
            self._pending.pop(pending_id, None)

    async def _try_write(self, record_key, record, revision):
        """Write an outcome record; return False if it has to be retried later.

        Returns True also if the record was superseded or discarded.

        `revision` is that of the claim to replace, or None to read it first.
        """
        try:
            if revision is None:
                expected_revision = await self._read_expected_revision(
                    record_key, record
                )
            else:
                expected_revision = revision
            while expected_revision is not None:
                expected_revision = await self._put_record(
                    record_key, record, expected_revision
                )
        except errors.StoreOutcomeUnknownError:
            return False
        except errors.BadRequestError:
            # The result exceeds the store's size limit; the outcome counts as unknown.
            logger.exception("discarded the unwritable outcome of %s", record_key)
        except errors.LeaseNotFoundError:
            self._lease = None
            return False
        except errors.NotRunError:
            return False
        except errors.ProtocolError:
            logger.exception("discarded the unwritable outcome of %s", record_key)
        return True

    async def _put_record(self, record_key, record, expected_revision):
        """Put a record; return None when finished, or the revision for the next try."""
        lease = await self._get_shared_lease(trio.current_time() + MAX_SHARD_TIME_S)
        highest_when_sent = self._highest_revision
        try:
            revision = await self._store.put(
                record_key, record.to_text(), expected_revision, lease
            )
        except errors.StoreConflictError as conflict:
            return _choose_expected(conflict.entry, record)
        self._observe(revision, highest_when_sent)
        return None

    async def _read_expected_revision(self, record_key, record):
        return _choose_expected(await self._store.get(record_key), record)

    # Store regression

    def _observe(self, revision, highest_when_sent):
        """Process the revision of a write, which must exceed `highest_when_sent`.

        That is the highest revision known when the write was sent.

        Returns
        -------
        bool
            False if it does not exceed it, which means that the store has lost writes.
        """
        if revision > highest_when_sent:
            self._highest_revision = max(self._highest_revision, revision)
            return True
        # A higher `highest_when_sent` means that another call has already detected this
        # regression.
        if highest_when_sent <= self._highest_revision:
            # Above the revision of any earlier regression, so that the restore
            # markers which members wrote for that one do not count for this one.
            lost_revision = max(
                self._highest_revision,
                self._last_restored_regression + 1,
                (self._regression_revision or 0) + 1,
            )
            self._begin_restore(lost_revision, revision)
        return False

    def _begin_restore(self, lost_revision, revision):
        """Refuse bookings until every member has restored its claims.

        Parameters
        ----------
        lost_revision : int
            Revision up to which writes may be lost.
        revision : int
            Highest revision that the store is known to have after it lost writes.
        """
        # The operators' page lists this text. `revision` is 0 if a peer reported it.
        logger.warning("store fell back from %d to %d", lost_revision, revision)
        self._regression_revision = lost_revision
        self._highest_revision = revision
        self._lease = None
        self._keys_to_restore = self._claims.keys()
        self._wake_event.set()

    async def _restore_claims(self):
        """Restore this VM's claims within the write budget, newest first."""
        try:
            while self._keys_to_restore:
                if not self._budget.try_spend(1, trio.current_time()):
                    return
                await self._restore_claim(self._keys_to_restore[-1])
                self._keys_to_restore.pop()
            await self._finish_restore()
        except errors.LeaseNotFoundError:
            self._lease = None
        except (errors.StoreOutcomeUnknownError, errors.NotRunError):
            return

    async def _restore_claim(self, record_key):
        """Write a cached claim to the store unless it did not run or is superseded."""
        claim = self._claims.get(record_key)
        if claim is None or claim.record.state == errors.Outcome.NOT_RUN:
            return
        entry = await self._store.get(record_key)
        try:
            expected_revision = _choose_expected(entry, claim.record)
        except errors.ProtocolError:
            logger.exception(
                "cannot restore the claim of %s: its record is malformed", record_key
            )
            return
        if expected_revision is not None:
            await self._put_record(record_key, claim.record, expected_revision)

    async def _finish_restore(self):
        """Write this VM's restore marker; accept bookings once every member has one."""
        lost_revision = self._regression_revision
        markers = await self._read_restore_markers()
        if markers.get(self._vm_id, _NO_MARKER)[0] < lost_revision:
            await self._write_restore_marker(
                lost_revision, markers.get(self._vm_id, _NO_MARKER)[1]
            )
            return
        if lost_revision != self._regression_revision:
            return
        members = set(self._list_members())
        if all(markers.get(vm_id, _NO_MARKER)[0] >= lost_revision for vm_id in members):
            logger.warning("claims of %d members are restored", len(members))
            self._last_restored_regression = lost_revision
            self._regression_revision = None
        else:
            await trio.sleep(RESTORE_POLL_INTERVAL_S)

    async def _write_restore_marker(self, lost_revision, expected_revision):
        with contextlib.suppress(errors.StoreConflictError):
            await self._store.put(
                RESTORE_MARKER_PREFIX + self._vm_id,
                str(lost_revision),
                expected_revision,
            )

    async def _read_restore_markers(self):
        """Return the (lost revision, store revision) of each vm_id's restore marker."""
        entries, _ = await self._store.list(RESTORE_MARKER_PREFIX)
        markers = {}
        for entry in entries:
            lost_revision = int(entry.value) if entry.value.isdecimal() else 0
            markers[entry.key[len(RESTORE_MARKER_PREFIX) :]] = (
                lost_revision,
                entry.revision,
            )
        return markers

    # Waiting for another booking's claim

    async def _wait_for_outcome(self, booking, record, revision):
        """Wait for the outcome of another booking's claim.

        Returns its record and revision.

        Raises
        ------
        OutcomeUnknownError
            If the caller's deadline or the outcome deadline of the claim passes first.
        """
        while record.state == STARTED:
            remaining_s = min(
                booking.answer_deadline - trio.current_time(),
                record.compute_outcome_deadline() - self._wall_clock(),
            )
            if remaining_s <= 0:
                text = "the key is claimed and no outcome was recorded in time"
                raise errors.OutcomeUnknownError(text)
            entry = None
            with trio.move_on_after(remaining_s):
                entry = await self._watch_record(
                    booking.record_key, revision, remaining_s
                )
            if entry is not None:
                record, revision = _parse_change(entry), entry.revision
                self._check_digest(booking, record)
        return record, revision

    async def _watch_record(self, record_key, revision, wait_s):
        """Return the changed entry, or None if there was no change within the wait."""
        entries = []
        revision_when_sent = self.heartbeat_revision
        try:
            entries, store_revision = await self._store.watch(
                record_key, revision, wait_s
            )
            self.observe_store_revision(store_revision, revision_when_sent)
        except errors.StoreUnavailableError:
            logger.info("could not watch %s", record_key)
        for entry in entries:
            if entry.key == record_key:
                return entry
        # Avoids a tight loop if the store answers at once.
        await trio.sleep(WATCH_RETRY_DELAY_S)
        return None


def _parse_conflict(conflict):
    """Return the record that is in the store instead, and its revision."""
    entry = conflict.entry
    if entry is None:
        raise errors.StoreUnavailableError("the key's record changed during the claim")
    return ClaimRecord.from_text(entry.value), entry.revision


def _parse_change(entry):
    """Return the record of a changed entry.

    Raises
    ------
    OutcomeUnknownError
        If the entry was deleted.
    """
    if entry.value is None:
        raise errors.OutcomeUnknownError("the key's record was deleted from the store")
    return ClaimRecord.from_text(entry.value)


def _choose_expected(entry, record):
    """Return the revision to replace (0 for an absent key), or None to keep the entry.

    A record may be created for an absent key, finish its own claim, or replace a
    claim whose recorded outcome is that it did not run.
    """
    if entry is None:
        return 0
    stored = ClaimRecord.from_text(entry.value)
    if stored.claim_id == record.claim_id:
        is_superseded = stored.state == STARTED and record.state != STARTED
        return entry.revision if is_superseded else None
    if stored.state == _NOT_RUN and record.state != _NOT_RUN:
        return entry.revision
    return None


_NOT_RUN = str(errors.Outcome.NOT_RUN)

_NO_MARKER = (0, 0)
"""Lost revision and store revision for a restore marker that does not exist."""
