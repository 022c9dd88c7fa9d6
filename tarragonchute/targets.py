"""Exchanges with one target: interface, HTTP client and in-memory twin."""

from typing import Protocol


class TargetRequest:
    """One request to a target.

    Parameters
    ----------
    request_id : str
    shard : str
    version : str
        Snapshot that must answer.
    payload : object
        JSON of the query or of the order.
    deadline : float
        Wall-clock Unix time in seconds after which the target must refuse it.
    operation : str
        `messages.SEARCH` or `messages.BOOKING`.
    idempotency_key : str or None
    """

    __slots__ = (
        "request_id",
        "shard",
        "version",
        "payload",
        "deadline",
        "operation",
        "idempotency_key",
    )

    def __init__(
        self,
        request_id,
        shard,
        version,
        payload,
        deadline,
        operation="search",
        idempotency_key=None,
    ):
        self.request_id = request_id
        self.shard = shard
        self.version = version
        self.payload = payload
        self.deadline = deadline
        self.operation = operation
        self.idempotency_key = idempotency_key


class TargetAnswer:
    """What a target answered, or how the exchange failed.

    Parameters
    ----------
    code : str
        ``ok``; a refusal before the run: ``shedding``, ``draining``,
        ``deadline_passed``, ``version_missing``, ``shard_unknown``; or a failure:
        ``connect_failed`` (nothing was sent), ``connection_lost`` (it may have run),
        ``timed_out`` (it may have run), ``wrong_answer`` (ids do not match).
    result : object
        JSON of the result, or None.
    state : str or None
        ``cold``, ``warm`` or ``draining`` from `X-State`.
    boot_id : str or None
        Changes when the target restarts.
    versions : list of str
        With ``version_missing``: the versions that the target has.
    """

    __slots__ = ("code", "result", "state", "boot_id", "versions")

    def __init__(self, code, result=None, state=None, boot_id=None, versions=()):
        self.code = code
        self.result = result
        self.state = state
        self.boot_id = boot_id
        self.versions = list(versions)

    @property
    def is_provably_not_run(self):
        """Whether the target cannot have run the request."""
        return self.code in _NOT_RUN_CODES


_NOT_RUN_CODES = frozenset(
    {
        "shedding",
        "draining",
        "deadline_passed",
        "version_missing",
        "shard_unknown",
        "connect_failed",
    }
)


class TargetClient(Protocol):
    """Exchanges with one target over a bounded set of connections.

    Cancelling the surrounding trio scope cancels the request at the target and
    closes the connection; a connection is reused only after a whole exchange.
    """

    async def exchange(self, request):
        """Send one `TargetRequest` and return its `TargetAnswer`.

        A failed exchange is an answer with a failure code, not an exception.
        """

    async def fetch_status(self):
        """Return the state that the target reports of itself, or None.

        It is ``cold``, ``warm`` or ``draining``; it lags and may mislead.
        """

    @property
    def connections(self):
        """Number of open connections."""

    async def aclose(self):
        """Close all connections."""
