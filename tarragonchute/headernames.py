"""Header names of the protocol that is forwarded.

A platform adapter creates one `HeaderNames`. The code that forwards requests uses only
its attributes, so that no header name of a platform is written there.
"""


class HeaderNames:
    """Header names used between callers, this VM and targets.

    Parameters
    ----------
    request_id : bytes
        Id of a caller's request, on requests and replies.
    time_limit : bytes
        Milliseconds that the sender will wait for the reply.
    expected_identity : bytes
        Identity of the process that must run the request; any other process refuses it.
    not_run : bytes
        Present on a reply if the target states that it did not run the request.
    digest : bytes
        Digest by which a target proves its work on a request.
    included_digests : bytes
        Digests of the shards that a search's answer includes.
    missing_shards : bytes
        Number of shards that a search's answer does not include.
    identity : bytes
        Identity of the process that sent a reply.
    cold_left : bytes
        Milliseconds for which the replying target stays cold.
    leaving : bytes
        Value 1 on all replies of a target that shuts down.
    customer : bytes
        Name of the customer whose key a caller's request carries. Set by this VM, never
        by a caller.
    credentials : bytes
        Holds a caller's key; never sent to a target.
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
        "leaving",
        "customer",
        "credentials",
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
        leaving,
        customer=b"Customer",
        credentials=b"Authorization",
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
        self.leaving = leaving
        self.customer = customer
        self.credentials = credentials
        self._lower = None

    @property
    def lowercase(self):
        """`HeaderNames` in lower case, to look up received headers."""
        if self._lower is None:
            names = (getattr(self, name).lower() for name in self.__slots__[:-1])
            self._lower = HeaderNames(*names)
        return self._lower
