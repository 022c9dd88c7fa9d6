"""Messages by which one VM has another one search some of the shards of a search.

The sender asks with a `Subsearch`. The other VM confirms at once with an
`Acknowledgement`, so that a silent VM is noticed long before an answer is due. It makes
one attempt for each shard until it has the sender's `Permission` for more. It sends
a `SubsearchAnswer` when all shards have replied. At the goal, and with each
later reply, it sends one that is not final.
"""

import base64
import binascii

import orjson

from .errors import ProtocolError


class OutgoingRequest:
    """What all attempts of a caller's request share.

    Parameters
    ----------
    method, request_id : bytes
    head : bytes
        Request line and headers, without those that differ between attempts.
    body : bytes
    """

    __slots__ = ("method", "request_id", "head", "body")

    def __init__(self, method, request_id, head, body):
        self.method = method
        self.request_id = request_id
        self.head = head
        self.body = body


class Greeting:
    """Asks whether the peer takes subsearches, or says that it does.

    Parameters
    ----------
    vm_id : str
        Sender.
    """

    __slots__ = ("vm_id",)
    kind = "greeting"

    def __init__(self, vm_id):
        self.vm_id = vm_id

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps([self.kind, self.vm_id])


class Farewell:
    """Says that the sender is about to stop and should get no new subsearch."""

    __slots__ = ()
    kind = "farewell"

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps([self.kind])


class _NumberedMessage:
    """A message that names a subsearch and nothing else.

    Parameters
    ----------
    number : int
        Of the subsearch.
    """

    __slots__ = ("number",)
    kind = ""

    def __init__(self, number):
        self.number = number

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps([self.kind, self.number])


class Acknowledgement(_NumberedMessage):
    """Confirms that a subsearch has begun."""

    __slots__ = ()
    kind = "acknowledgement"


class Permission(_NumberedMessage):
    """Lets a VM try shards again that it has tried once.

    A VM that began late may have been passed over. It never gets the permission, so
    that its attempts and those of the next VM stay within what the route allows.
    """

    __slots__ = ()
    kind = "permission"


class Cancellation(_NumberedMessage):
    """Ends a subsearch whose answer is not needed any more."""

    __slots__ = ()
    kind = "cancellation"


class Subsearch:
    """Some shards of a search.

    Parameters
    ----------
    number : int
        Unique on the channel.
    route_name : str
    goal_s : float
        Goal of the whole search, from which the route's usual times follow.
    goal_left_s : float
        Time until an answer with the parts at hand is wanted.
    limit_left_s : float
        Time until the sender needs no answer any more.
    target_limit_left_s : float
        Time limit that the targets are given.
    max_attempts : int
        Targets of each shard on which the request may run.
    top : int
        Records in the answer.
    is_extra : bool
        Whether these shards may have been asked before, so that the requests count
        against the budget of retries.
    services : list of str
    outgoing : OutgoingRequest
    """

    __slots__ = (
        "number",
        "route_name",
        "goal_s",
        "goal_left_s",
        "limit_left_s",
        "target_limit_left_s",
        "max_attempts",
        "top",
        "is_extra",
        "services",
        "outgoing",
    )
    kind = "subsearch"

    def __init__(self, *values):
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)

    def encode(self):
        """Return the payload of a frame."""
        values = [getattr(self, name) for name in self.__slots__[:-1]]
        outgoing = self.outgoing
        return orjson.dumps(
            [
                self.kind,
                *values,
                outgoing.method.decode("latin-1"),
                outgoing.request_id.decode("latin-1"),
                outgoing.head.decode("latin-1"),
                base64.b64encode(outgoing.body).decode(),
            ]
        )

    @classmethod
    def decode(cls, fields):
        """Return the message in the fields that follow the kind."""
        *values, method, request_id, head, body = fields
        outgoing = OutgoingRequest(
            method.encode("latin-1"),
            request_id.encode("latin-1"),
            head.encode("latin-1"),
            base64.b64decode(body, validate=True),
        )
        return cls(*values, outgoing)


class SubsearchAnswer:
    """What a subsearch has found.

    Parameters
    ----------
    number : int
    is_final : bool
        Whether no shard is still asked.
    has_run : bool
        Whether the request may have run on any target.
    digests : list of bytes
        One for each part that is included.
    records : bytes
        The greatest records of these parts, greatest first.
    missing : list of str
        For the log: shards without a reply, each with the reason.
    unasked : list of str
        Services for which the VM knows no target that it may use; nobody was asked.
    """

    __slots__ = (
        "number",
        "is_final",
        "has_run",
        "digests",
        "records",
        "missing",
        "unasked",
    )
    kind = "answer"

    def __init__(
        self, number, is_final, has_run, digests, records, missing, unasked=()
    ):
        self.number = number
        self.is_final = is_final
        self.has_run = has_run
        self.digests = digests
        self.records = records
        self.missing = missing
        self.unasked = list(unasked)

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps(
            [
                self.kind,
                self.number,
                self.is_final,
                self.has_run,
                [digest.decode("latin-1") for digest in self.digests],
                base64.b64encode(self.records).decode(),
                self.missing,
                self.unasked,
            ]
        )

    @classmethod
    def decode(cls, fields):
        """Return the message in the fields that follow the kind."""
        number, is_final, has_run, digests, records, missing, unasked = fields
        return cls(
            number,
            is_final,
            has_run,
            [digest.encode("latin-1") for digest in digests],
            base64.b64decode(records, validate=True),
            missing,
            unasked,
        )


_DECODERS = {
    Greeting.kind: lambda fields: Greeting(*fields),
    Farewell.kind: lambda fields: Farewell(*fields),
    Acknowledgement.kind: lambda fields: Acknowledgement(*fields),
    Permission.kind: lambda fields: Permission(*fields),
    Cancellation.kind: lambda fields: Cancellation(*fields),
    Subsearch.kind: Subsearch.decode,
    SubsearchAnswer.kind: SubsearchAnswer.decode,
}


def decode_message(payload):
    """Return the message in the payload of a frame.

    Raises
    ------
    ProtocolError
        If there is none.
    """
    try:
        kind, *fields = orjson.loads(payload)
        return _DECODERS[kind](fields)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        binascii.Error,
    ) as error:
        raise ProtocolError(f"malformed message of a VM: {error!r}") from error
