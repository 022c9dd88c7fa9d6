"""Claims of idempotency keys: their records in the store, and a memory of them."""

import collections

import orjson
import trio

from . import errors
from .membership import MAX_SHARD_TIME_S, SKEW_S

PREFIX = "operations/"

REMEMBERED_CLAIMS = 10_000

REMEMBERED_BYTES = 32_000_000
"""Most memory for remembered claims; a quarter of the VM's budget for control."""

REMEMBERED_S = 24 * 3600.0

STORE_WRITES_PER_S = 300.0

BOOKING_SHARE = 0.9
"""Part of the store's writes for bookings; the rest is for views and settings."""

WRITES_PER_BOOKING = 2

STARTED = "started"


class Record:
    """The state of one key in the store.

    Parameters
    ----------
    state : str
        ``started``, ``done`` or ``not_run``.
    claim_id : str
        Random id of the claim; only its owner may dispatch.
    vm_id : str
    body_digest : str
    dispatch_before : float
        Unix time in seconds after which the owner dispatches nothing.
    result : object
        JSON of the target's result when done.
    """

    __slots__ = (
        "state",
        "claim_id",
        "vm_id",
        "body_digest",
        "dispatch_before",
        "result",
    )

    def __init__(
        self, state, claim_id, vm_id, body_digest, dispatch_before, result=None
    ):
        self.state = state
        self.claim_id = claim_id
        self.vm_id = vm_id
        self.body_digest = body_digest
        self.dispatch_before = dispatch_before
        self.result = result

    def to_text(self):
        """Return the value for the store."""
        return orjson.dumps({n: getattr(self, n) for n in self.__slots__}).decode()

    @classmethod
    def from_text(cls, text):
        """Rebuild a record.

        Raises
        ------
        ProtocolError
            If the value is not one that `to_text` makes.
        """
        try:
            return cls(**orjson.loads(text))
        except (TypeError, ValueError) as error:
            raise errors.ProtocolError(f"malformed booking record: {error}") from error

    def with_outcome(self, state, result=None):
        """Return a copy with a final state."""
        return Record(
            state,
            self.claim_id,
            self.vm_id,
            self.body_digest,
            self.dispatch_before,
            result,
        )

    def unknown_at(self):
        """Return the Unix time from which a started record reads as unknown."""
        return self.dispatch_before + MAX_SHARD_TIME_S + SKEW_S


class WriteBudget:
    """This VM's share of the store's writes.

    Parameters
    ----------
    count_members : callable
        Returns the number of VMs that share the budget.
    """

    __slots__ = ("_count_members", "_tokens", "_at")

    def __init__(self, count_members):
        self._count_members = count_members
        self._tokens = None
        self._at = 0.0

    def try_spend(self, writes, now):
        """Take the tokens for a number of writes if there are enough.

        Parameters
        ----------
        writes : int
        now : float
            Monotonic seconds.
        """
        rate = STORE_WRITES_PER_S * BOOKING_SHARE / max(1, self._count_members())
        # At least one booking must fit, however many VMs share the budget.
        capacity = max(rate, float(WRITES_PER_BOOKING))
        if self._tokens is None:
            self._tokens = capacity
        earned = max(0.0, now - self._at) * rate
        self._tokens = min(capacity, self._tokens + earned)
        self._at = now
        if self._tokens < writes:
            return False
        self._tokens -= writes
        return True


class Claim:
    """A key that this VM has claimed, kept in case the store loses it.

    Parameters
    ----------
    record : Record
        Has the final state as soon as it is known here.
    at : float
        Monotonic seconds.

    Attributes
    ----------
    is_settled : trio.Event
        Set also for a claim whose outcome stays unknown.
    """

    __slots__ = ("record", "at", "size", "is_settled")

    def __init__(self, record, at):
        self.record = record
        self.at = at
        self.size = 0
        self.is_settled = trio.Event()


class ClaimMemory:
    """The newest claims, bounded in number, size and age."""

    __slots__ = ("_claims", "_bytes")

    def __init__(self):
        self._claims = collections.OrderedDict()
        self._bytes = 0

    def get(self, key):
        """Return the claim of a record key, or None."""
        return self._claims.get(key)

    def keys(self):
        """Return the record keys, oldest first."""
        return list(self._claims)

    def put(self, key, claim, now):
        """Keep a claim as the newest.

        Parameters
        ----------
        key : str
            Key of the record.
        claim : Claim
        now : float
            Monotonic seconds.
        """
        self._drop(key)
        claim.size = len(key) + len(claim.record.to_text())
        self._claims[key] = claim
        self._bytes += claim.size
        self._trim(now)

    def _trim(self, now):
        while self._claims:
            key, oldest = next(iter(self._claims.items()))
            is_full = len(self._claims) > REMEMBERED_CLAIMS
            is_full = is_full or self._bytes > REMEMBERED_BYTES
            if not is_full and now - oldest.at < REMEMBERED_S:
                return
            self._drop(key)

    def _drop(self, key):
        claim = self._claims.pop(key, None)
        if claim is not None:
            self._bytes -= claim.size
