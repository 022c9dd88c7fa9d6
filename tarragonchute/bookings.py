"""Bookings, which run at most once for each idempotency key.

The claim of a key is a record in the store, made before anything is dispatched.
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
    Record,
    WriteBudget,
)
from .membership import MAX_SHARD_TIME_S
from .orders import BookingOrder, DispatchResult
from .searches import split_deadline

logger = logging.getLogger(__name__)

RESTORED_PREFIX = "operations_restored/"

LEASE_TTL_S = 25 * 3600.0
"""Life of a record. A lease is shared for an hour, so each record lives 24 h."""

LEASE_SHARED_S = 3600.0

MAX_PENDING = 10_000
"""Outcome records that wait for the store. Beyond it bookings are refused."""

CLAIM_SHARE = 0.5
"""Part of the deadline after which a claim without an answer is given up."""

CLAIM_ATTEMPTS = 2
"""A store that fell back has forgotten the lease, so a second one may be needed."""

READ_BACK_SHARE = 0.75
"""Part of the deadline after which an unanswered claim is no longer looked for."""

FLUSH_DELAY_S = 0.2
"""Pause between two attempts to write what is pending."""

WATCH_RETRY_S = 0.05

RESTORE_POLL_S = 0.5
"""Pause between two looks at which members have restored their claims."""

MAX_KEY_LENGTH = 200

_REGRESSED_TEXT = "the store lost writes; claims are being restored"


class _Booking:
    """One call of `Booker.book`."""

    __slots__ = (
        "order",
        "record_key",
        "digest",
        "claim_id",
        "claim_due",
        "read_back_due",
        "answer_due",
        "is_finished",
        "result",
        "error",
    )

    def __init__(self, order, now, deadline_s):
        self.order = order
        self.record_key = order.record_key()
        self.digest = order.digest()
        self.claim_id = None
        self.claim_due = now + deadline_s * CLAIM_SHARE
        self.read_back_due = now + deadline_s * READ_BACK_SHARE
        self.answer_due = now + split_deadline(deadline_s)
        self.is_finished = trio.Event()
        self.result = None
        # Stays so if the task is cancelled before it has settled the booking.
        self.error = errors.OutcomeUnknownError("the VM stopped during the booking")


class Booker:
    """Claims keys, dispatches their orders and records the outcomes.

    A booking runs in a task of `run`, so a caller that leaves does not end it.

    Parameters
    ----------
    vm_id : str
    store : Store
    dispatch : callable
        ``await dispatch(order, answer_due)`` sends a `BookingOrder` to a target and
        returns a `DispatchResult` by `answer_due` (trio time in seconds). It sends
        again only while every earlier send provably did not run.
    list_members : callable
        Returns the vm_ids of the view.
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
        self._wake = trio.Event()
        self._nursery = None
        self._open = 0
        self._lease = None
        self._lease_at = 0.0
        self._seen = 0
        self._lost = None
        self._settled = 0
        self._to_restore = None

    @property
    def heartbeat_revision(self):
        """Highest store revision seen, for the heartbeats.

        It is negative while the store counts as regressed; its amount is then the
        revision up to which writes may be lost.
        """
        return self._seen if self._lost is None else -self._lost

    @property
    def is_regressed(self):
        """Whether bookings are refused because the store lost writes."""
        return self._lost is not None

    @property
    def open_bookings(self):
        """Number of bookings under way."""
        return self._open

    @property
    def pending_writes(self):
        """Number of outcome records that wait for the store."""
        return len(self._pending)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Work on bookings and late writes until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            try:
                await self._write_late()
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
        KeyRequiredError, KeyConflictError, BadRequestError
        NotRunError
            This request did not run; see `code`.
        OutcomeUnknownError
            It is unknown whether the order ran. It never runs again.
        """
        if not key:
            raise errors.KeyRequiredError("a booking needs an idempotency key")
        if len(key) > MAX_KEY_LENGTH:
            text = f"the idempotency key is longer than {MAX_KEY_LENGTH} characters"
            raise errors.BadRequestError(text)
        if self._nursery is None:
            raise errors.DrainingError("this VM takes no bookings")
        booking = _Booking(
            BookingOrder(request_id, team, key, dataset, shard, order),
            trio.current_time(),
            deadline_s,
        )
        self._open += 1
        self._nursery.start_soon(self._execute, booking)
        await booking.is_finished.wait()
        if booking.error is not None:
            raise booking.error
        return booking.result

    def observe_peer_revision(self, revision):
        """Take the `heartbeat_revision` of another VM."""
        if revision < 0:
            if -revision > max(self._settled, self._lost or 0):
                self._begin_restore(-revision, 0)
        elif not self.is_regressed and revision > self._settled:
            # Up to the last regression a revision tells nothing, since it may have
            # been seen before it or after it.
            self._seen = max(self._seen, revision)

    def observe_store_revision(self, revision, revision_when_asked):
        """Take a store-wide revision from the answer to a read or a watch.

        Parameters
        ----------
        revision : int
        revision_when_asked : int
            `heartbeat_revision` when the call was sent; a lower answer means that
            the store lost writes.
        """
        if revision_when_asked >= 0 and not self.is_regressed:
            self._observe(revision, revision_when_asked - 1)

    # One booking

    async def _execute(self, booking):
        try:
            booking.result = await self._settle(booking)
            booking.error = None
        except errors.TarragonchuteError as error:
            booking.error = error
        except Exception:
            logger.exception("booking %s failed", booking.order.request_id)
            booking.error = errors.OutcomeUnknownError("internal fault")
        finally:
            self._open -= 1
            booking.is_finished.set()

    async def _settle(self, booking):
        """Return the result of a key, claiming it if nobody has."""
        own = self._claims.get(booking.record_key)
        if own is not None:
            record = await self._wait_for_own(booking, own)
            if record.state == errors.Outcome.DONE:
                return record.result
        expect = 0
        while True:
            record, revision = await self._claim(booking, expect)
            if self._is_own_claim(record, booking):
                return await self._run_claimed(booking, record, revision)
            record = self._apply_memory(booking, record)
            self._check_body(booking, record)
            if record.state == STARTED:
                record, revision = await self._wait_for_outcome(
                    booking, record, revision
                )
            if record.state == errors.Outcome.DONE:
                return record.result
            expect = revision

    async def _wait_for_own(self, booking, claim):
        """Return the outcome of this VM's own claim.

        It is known here even while the store is down.
        """
        self._check_body(booking, claim.record)
        with trio.move_on_at(booking.answer_due):
            await claim.is_settled.wait()
        if claim.record.state == STARTED:
            raise errors.OutcomeUnknownError("the key was claimed and may have run")
        return claim.record

    def _apply_memory(self, booking, record):
        """Return the newer state of a record whose late write is pending."""
        own = self._claims.get(booking.record_key)
        if own is not None and own.record.claim_id == record.claim_id:
            return own.record
        return record

    def _check_body(self, booking, record):
        if record.body_digest != booking.digest:
            raise errors.KeyConflictError("the key was used with another body")

    def _is_own_claim(self, record, booking):
        """Whether the record in force is the claim that this booking made."""
        return record.claim_id == booking.claim_id

    # Claim

    def _check_may_claim(self, booking):
        now = trio.current_time()
        if now >= booking.claim_due:
            raise errors.DeadlinePassedError("too little time is left to dispatch")
        if self.is_regressed:
            raise errors.StoreRegressedError(_REGRESSED_TEXT)
        if len(self._pending) >= MAX_PENDING:
            raise errors.StoreUnavailableError("too many outcomes wait for the store")
        if not self._budget.try_spend(WRITES_PER_BOOKING, now):
            raise errors.StoreBusyError("this VM's share of store writes is used up")

    async def _claim(self, booking, expect):
        """Create the record and return the one in force, with its revision."""
        self._check_may_claim(booking)
        booking.claim_id = secrets.token_hex(16)
        left = booking.answer_due - trio.current_time()
        record = Record(
            STARTED,
            booking.claim_id,
            self._vm_id,
            booking.digest,
            self._wall_clock() + left,
        )
        seen = self._seen
        revision = None
        try:
            revision = await self._put_claim(booking, record, expect)
        except errors.StoreConflictError as conflict:
            return _read_conflict(conflict)
        except errors.StoreOutcomeUnknownError:
            logger.info("the answer to the claim of %s was lost", booking.record_key)
        if revision is None:
            return await self._read_back(booking, record)
        # A peer may have told of a regression while the claim was under way.
        if not self._observe(revision, seen) or self.is_regressed:
            self._forgo(booking, record)
            raise errors.StoreRegressedError(_REGRESSED_TEXT)
        return record, revision

    async def _put_claim(self, booking, record, expect):
        """Write a claim; return its revision, or None if no answer came in time."""
        for _ in range(CLAIM_ATTEMPTS):
            lease = await self._share_lease(booking.claim_due)
            try:
                with trio.move_on_at(booking.claim_due):
                    return await self._store.put(
                        booking.record_key, record.to_text(), expect, lease
                    )
                return None
            except errors.LeaseNotFoundError:
                self._lease = None
        raise errors.StoreUnavailableError("the store forgets its leases")

    async def _read_back(self, booking, record):
        """Return the record in force after the answer to a claim was lost."""
        entry = None
        with trio.move_on_at(booking.read_back_due):
            try:
                entry = await self._store.get(booking.record_key)
            except errors.StoreUnavailableError:
                logger.info("claim of %s cannot be read back", booking.record_key)
        if entry is None:
            self._forgo(booking, record)
            raise errors.StoreUnavailableError("the claim could not be confirmed")
        found = Record.from_text(entry.value)
        if not self._is_own_claim(found, booking):
            # The write may still be on its way; it must not stay as a claim.
            self._forgo(booking, record)
        return found, entry.revision

    def _forgo(self, booking, record):
        """Record later that a claim which may exist will never be dispatched."""
        self._add_pending(booking.record_key, record.with_outcome(_NOT_RUN), None)

    async def _share_lease(self, due):
        """Return the lease of this hour.

        Raises
        ------
        StoreUnavailableError
            If no lease was granted by `due`, in trio time.
        """
        now = trio.current_time()
        if self._lease is not None and now - self._lease_at < LEASE_SHARED_S:
            return self._lease
        lease = None
        with trio.move_on_at(due):
            try:
                lease = await self._store.grant_lease(LEASE_TTL_S)
            except errors.StoreOutcomeUnknownError:
                logger.info("the answer to a lease grant was lost")
        if lease is None:
            raise errors.StoreUnavailableError("the store granted no lease")
        self._lease = lease
        self._lease_at = now
        return lease

    # Dispatch and outcome

    async def _run_claimed(self, booking, record, revision):
        now = trio.current_time()
        claim = Claim(record, now)
        self._claims.put(booking.record_key, claim, now)
        try:
            answer = await self._dispatch_claimed(booking, record)
            if answer.outcome != errors.Outcome.UNKNOWN:
                claim.record = record.with_outcome(str(answer.outcome), answer.result)
                self._claims.put(booking.record_key, claim, now)
        finally:
            claim.is_settled.set()
        if answer.outcome != errors.Outcome.UNKNOWN:
            await self._record_outcome(booking, claim.record, revision)
        if answer.outcome != errors.Outcome.DONE:
            raise answer.to_error()
        return answer.result

    async def _dispatch_claimed(self, booking, record):
        if self._wall_clock() >= record.dispatch_before:
            return DispatchResult(errors.Outcome.NOT_RUN, "deadline_passed")
        booking.order.dispatch_before = record.dispatch_before
        answer = DispatchResult(errors.Outcome.UNKNOWN, "outcome_unknown")
        with trio.move_on_at(booking.answer_due):
            try:
                answer = await self._dispatch(booking.order, booking.answer_due)
            except Exception:
                logger.exception("dispatch of %s failed", booking.order.request_id)
        return answer

    async def _record_outcome(self, booking, record, revision):
        """Write an outcome in the time that is left, else leave it for later."""
        is_written = False
        with trio.move_on_at(booking.answer_due):
            is_written = await self._try_write(booking.record_key, record, revision)
        if not is_written:
            self._add_pending(booking.record_key, record, revision)

    # Late writes

    def _add_pending(self, record_key, record, revision):
        self._pending[record_key, record.claim_id] = (record, revision)
        self._wake.set()

    async def _write_late(self):
        while True:
            if not self._pending and not self.is_regressed:
                self._wake = trio.Event()
                await self._wake.wait()
            try:
                await self._write_pending()
                if self.is_regressed:
                    await self._restore()
            except Exception:
                # One fault here must not end the VM; the next pass tries again.
                logger.exception("late writes failed")
            if self._pending or self.is_regressed:
                await trio.sleep(FLUSH_DELAY_S)

    async def _write_pending(self):
        """Write what is pending until the store fails."""
        for key in list(self._pending):
            record, revision = self._pending[key]
            if not await self._try_write(key[0], record, revision):
                return
            self._pending.pop(key, None)

    async def _try_write(self, record_key, record, revision):
        """Write a final record; return False to try again later."""
        try:
            if revision is None:
                expect = await self._find_expected(record_key, record)
            else:
                expect = revision
            while expect is not None:
                expect = await self._put_final(record_key, record, expect)
        except errors.StoreOutcomeUnknownError:
            return False
        except errors.BadRequestError:
            # The result is larger than the store's values; the key reads as unknown.
            logger.exception("gave up the outcome of %s", record_key)
        except errors.LeaseNotFoundError:
            self._lease = None
            return False
        except errors.NotRunError:
            return False
        except errors.ProtocolError:
            logger.exception("gave up the outcome of %s", record_key)
        return True

    async def _put_final(self, record_key, record, expect):
        """Put a record; return None when settled, or the revision to expect."""
        lease = await self._share_lease(trio.current_time() + MAX_SHARD_TIME_S)
        seen = self._seen
        try:
            revision = await self._store.put(
                record_key, record.to_text(), expect, lease
            )
        except errors.StoreConflictError as conflict:
            return _choose_expected(conflict.entry, record)
        self._observe(revision, seen)
        return None

    async def _find_expected(self, record_key, record):
        return _choose_expected(await self._store.get(record_key), record)

    # Store regression

    def _observe(self, revision, seen_when_asked):
        """Take a revision that must be above an earlier one.

        Returns
        -------
        bool
            False if it is not, so the store has lost writes.
        """
        if revision > seen_when_asked:
            self._seen = max(self._seen, revision)
            return True
        # Otherwise another call has found the same regression already.
        if seen_when_asked <= self._seen:
            # Above any earlier regression, so that the marks which the members
            # left after that one do not count for this one.
            lost = max(self._seen, self._settled + 1, (self._lost or 0) + 1)
            self._begin_restore(lost, revision)
        return False

    def _begin_restore(self, lost, revision):
        """Refuse bookings until every member has created its claims again.

        Parameters
        ----------
        lost : int
            Revision up to which writes may be lost.
        revision : int
            What the store has reached again, as far as is known.
        """
        logger.warning("store fell back from %d to %d", lost, revision)
        self._lost = lost
        self._seen = revision
        self._lease = None
        self._to_restore = self._claims.keys()
        self._wake.set()

    async def _restore(self):
        try:
            while self._to_restore:
                if not self._budget.try_spend(1, trio.current_time()):
                    return
                await self._restore_claim(self._to_restore[-1])
                self._to_restore.pop()
            await self._end_restore()
        except errors.LeaseNotFoundError:
            self._lease = None
        except (errors.StoreOutcomeUnknownError, errors.NotRunError):
            return

    async def _restore_claim(self, record_key):
        claim = self._claims.get(record_key)
        if claim is None or claim.record.state == errors.Outcome.NOT_RUN:
            return
        entry = await self._store.get(record_key)
        try:
            expect = _choose_expected(entry, claim.record)
        except errors.ProtocolError:
            logger.exception("left the record of %s as it is", record_key)
            return
        if expect is not None:
            await self._put_final(record_key, claim.record, expect)

    async def _end_restore(self):
        """Tell that this VM is ready, and go on when every member is."""
        lost = self._lost
        marks = await self._read_marks()
        if marks.get(self._vm_id, _NO_MARK)[0] < lost:
            await self._write_mark(lost, marks.get(self._vm_id, _NO_MARK)[1])
            return
        if lost != self._lost:
            return
        members = set(self._list_members())
        if all(marks.get(vm_id, _NO_MARK)[0] >= lost for vm_id in members):
            logger.warning("claims of %d members are restored", len(members))
            self._settled = lost
            self._lost = None
        else:
            await trio.sleep(RESTORE_POLL_S)

    async def _write_mark(self, lost, expect):
        with contextlib.suppress(errors.StoreConflictError):
            await self._store.put(RESTORED_PREFIX + self._vm_id, str(lost), expect)

    async def _read_marks(self):
        """Return vm_id to (lost revision, revision of the mark)."""
        entries, _ = await self._store.list(RESTORED_PREFIX)
        marks = {}
        for entry in entries:
            lost = int(entry.value) if entry.value.isdecimal() else 0
            marks[entry.key[len(RESTORED_PREFIX) :]] = (lost, entry.revision)
        return marks

    # Another VM's claim

    async def _wait_for_outcome(self, booking, record, revision):
        """Return the final record of a claim that another VM is working on.

        Raises
        ------
        OutcomeUnknownError
            If the caller's deadline comes first, or the claim's time is over.
        """
        while record.state == STARTED:
            left = min(
                booking.answer_due - trio.current_time(),
                record.compute_outcome_deadline() - self._wall_clock(),
            )
            if left <= 0:
                text = "the key was claimed and its outcome is not recorded"
                raise errors.OutcomeUnknownError(text)
            entry = None
            with trio.move_on_after(left):
                entry = await self._watch(booking.record_key, revision, left)
            if entry is not None:
                record, revision = _read_change(entry), entry.revision
                self._check_body(booking, record)
        return record, revision

    async def _watch(self, record_key, revision, wait_s):
        """Return the changed entry, or None after a while."""
        entries = []
        asked = self.heartbeat_revision
        try:
            entries, reached = await self._store.watch(record_key, revision, wait_s)
            self.observe_store_revision(reached, asked)
        except errors.StoreUnavailableError:
            logger.info("cannot watch %s", record_key)
        for entry in entries:
            if entry.key == record_key:
                return entry
        # Keeps a store that answers at once from being called in a tight loop.
        await trio.sleep(WATCH_RETRY_S)
        return None


def _read_conflict(conflict):
    """Return the record in force and its revision."""
    entry = conflict.entry
    if entry is None:
        raise errors.StoreUnavailableError("the key changed while it was claimed")
    return Record.from_text(entry.value), entry.revision


def _read_change(entry):
    """Return the record of a changed entry."""
    if entry.value is None:
        raise errors.OutcomeUnknownError("the record of the key has gone")
    return Record.from_text(entry.value)


def _choose_expected(entry, record):
    """Return the revision that a record may replace, or None to leave the entry.

    A claim replaces nothing but its own earlier state, an absent key, and a claim
    of which its owner says that it did not run.
    """
    if entry is None:
        return 0
    found = Record.from_text(entry.value)
    if found.claim_id == record.claim_id:
        is_older = found.state == STARTED and record.state != STARTED
        return entry.revision if is_older else None
    if found.state == _NOT_RUN and record.state != _NOT_RUN:
        return entry.revision
    return None


_NOT_RUN = str(errors.Outcome.NOT_RUN)

_NO_MARK = (0, 0)
"""Lost revision and store revision of a mark that does not exist."""
