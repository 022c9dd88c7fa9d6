"""Names of the headers that the forwarded protocol uses.

An adapter makes one `HeaderNames` for its platform; the parts that forward requests use
its fields and know no spelling.
"""


class HeaderNames:
    """Header names of callers and targets.

    Parameters
    ----------
    request_id : bytes
        Identity of one caller's request, on requests and replies.
    time_limit : bytes
        Milliseconds that the sender will wait.
    expected_identity : bytes
        Process that must run the request; any other one refuses it.
    not_run : bytes
        Present on a reply that states that the target did not run the request.
    digest : bytes
        Proof of a target's work on a request.
    included_digests : bytes
        Digests of the shards in a search's answer.
    missing_shards : bytes
        Number of shards that are not in a search's answer.
    identity : bytes
        Process that sent a reply.
    cold_left : bytes
        Milliseconds for which the replying target stays cold.
    """

    __slots__ = (
        "request_id",
        "time_limit",
        "expected_identity",
        "not_run",
        "digest",
        "included_digests",
        "missing_shards",
        "identity",
        "cold_left",
        "_lower",
    )

    def __init__(
        self,
        request_id,
        time_limit,
        expected_identity,
        not_run,
        digest,
        included_digests,
        missing_shards,
        identity,
        cold_left,
    ):
        self.request_id = request_id
        self.time_limit = time_limit
        self.expected_identity = expected_identity
        self.not_run = not_run
        self.digest = digest
        self.included_digests = included_digests
        self.missing_shards = missing_shards
        self.identity = identity
        self.cold_left = cold_left
        self._lower = None

    @property
    def lowercase(self):
        """The same names in lower case, as keys of received headers."""
        if self._lower is None:
            names = (getattr(self, name).lower() for name in self.__slots__[:-1])
            self._lower = HeaderNames(*names)
        return self._lower
