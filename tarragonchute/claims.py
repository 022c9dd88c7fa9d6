"""Claims of idempotency keys: their records in the store, and a local cache."""

import collections

import orjson
import trio

from . import errors
from .membership import MAX_SHARD_TIME_S, SKEW_S

RECORD_PREFIX = "operations/"
"""Prefix of the store keys of claim records."""

MAX_CACHED_CLAIMS = 10_000

MAX_CACHED_BYTES = 32_000_000
"""Limit of the claim cache; a quarter of the VM's memory budget for control data."""

MAX_CACHED_AGE_S = 24 * 3600.0

STORE_WRITES_PER_S = 300.0

BOOKING_WRITE_FRACTION = 0.9
"""Fraction of the store's writes for bookings; the rest is for views and settings."""

WRITES_PER_BOOKING = 2
"""A booking writes its claim and its outcome."""

STARTED = "started"


class ClaimRecord:
    """The claim record of one idempotency key in the store.

    Parameters
    ----------
    state : str
        ``started``, ``done`` or ``not_run``.
    claim_id : str
        Random id of the claim; only the VM that made it may dispatch the order.
    vm_id : str
        VM that made the claim.
    body_digest : str
        Digest of the request, see `BookingOrder.digest`.
    dispatch_before : float
        Unix time in seconds after which the order must not be dispatched.
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
        """Return the record as the JSON text that the store holds."""
        return orjson.dumps(
            {name: getattr(self, name) for name in self.__slots__}
        ).decode()

    @classmethod
    def from_text(cls, text):
        """Parse a record from the store.

        Raises
        ------
        ProtocolError
            If the text is not valid JSON or its fields are not those of a record.
        """
        try:
            return cls(**orjson.loads(text))
        except (TypeError, ValueError) as error:
            raise errors.ProtocolError(f"malformed claim record: {error}") from error

    def with_outcome(self, state, result=None):
        """Return a copy of this record with its final state and result."""
        return ClaimRecord(
            state,
            self.claim_id,
            self.vm_id,
            self.body_digest,
            self.dispatch_before,
            result,
        )

    def compute_outcome_deadline(self):
        """Return the Unix time at which a claim without an outcome counts as unknown.

        By then a shard request dispatched by `dispatch_before` has ended, with
        allowance for clock skew between VMs.
        """
        return self.dispatch_before + MAX_SHARD_TIME_S + SKEW_S


class WriteBudget:
    """Token bucket for this VM's share of the store's writes.

    Parameters
    ----------
    count_members : callable
        Returns the number of VMs that share the store's write rate.
    """

    __slots__ = ("_count_members", "_tokens", "_refilled_at")

    def __init__(self, count_members):
        self._count_members = count_members
        self._tokens = None
        self._refilled_at = 0.0

    def try_spend(self, writes, now):
        """Spend tokens for a number of writes and return True if there are enough.

        Parameters
        ----------
        writes : int
        now : float
            Monotonic seconds.
        """
        rate = (
            STORE_WRITES_PER_S * BOOKING_WRITE_FRACTION / max(1, self._count_members())
        )
        # The bucket holds the writes of one booking, however many VMs share the rate.
        capacity = max(rate, float(WRITES_PER_BOOKING))
        if self._tokens is None:
            self._tokens = capacity
        refill = max(0.0, now - self._refilled_at) * rate
        self._tokens = min(capacity, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < writes:
            return False
        self._tokens -= writes
        return True


class Claim:
    """A key that this VM has claimed, kept in case the store loses its record.

    Parameters
    ----------
    record : ClaimRecord
        Has the final state as soon as this VM knows it.
    at : float
        Monotonic seconds when the key was claimed.

    Attributes
    ----------
    is_settled : trio.Event
        Set when the dispatch has ended, also if the outcome stays unknown.
    size : int
        Bytes that count towards the limit of the cache.
    """

    __slots__ = ("record", "at", "size", "is_settled")

    def __init__(self, record, at):
        self.record = record
        self.at = at
        self.size = 0
        self.is_settled = trio.Event()


class ClaimCache:
    """This VM's most recent claims, bounded in number, size and age.

    After the store has lost writes, the VM restores its claims from here.
    """

    __slots__ = ("_claims", "_bytes")

    def __init__(self):
        self._claims = collections.OrderedDict()
        self._bytes = 0

    def get(self, key):
        """Return the claim with this record key, or None if it is not cached."""
        return self._claims.get(key)

    def keys(self):
        """Return the record keys, oldest first."""
        return list(self._claims)

    def put(self, key, claim, now):
        """Add or replace a claim as the newest, and evict old ones over the limits.

        Parameters
        ----------
        key : str
            Key of the record in the store.
        claim : Claim
        now : float
            Monotonic seconds.
        """
        self._remove(key)
        claim.size = len(key) + len(claim.record.to_text())
        self._claims[key] = claim
        self._bytes += claim.size
        self._enforce_limits(now)

    def _enforce_limits(self, now):
        while self._claims:
            key, oldest = next(iter(self._claims.items()))
            is_over_limit = len(self._claims) > MAX_CACHED_CLAIMS
            is_over_limit = is_over_limit or self._bytes > MAX_CACHED_BYTES
            if not is_over_limit and now - oldest.at < MAX_CACHED_AGE_S:
                return
            self._remove(key)

    def _remove(self, key):
        claim = self._claims.pop(key, None)
        if claim is not None:
            self._bytes -= claim.size
