"""Messages with which one VM delegates some shards of a search to another VM.

The sender sends a `Subsearch`. The receiver confirms it at once with an
`Acknowledgement`, so that the sender detects an unresponsive VM long before the answer
is due. The receiver makes one attempt per shard; it makes further ones only after the
sender's `RetryPermission`. It sends the final `SubsearchAnswer` when all shards have
replied or failed. If shards are still open when the response time goal has passed, it
sends a partial `SubsearchAnswer` then and after each later reply. It also sends one at
the start if there are shards that it cannot query, so that these are reassigned.
"""

import base64
import binascii

import orjson

from .errors import ProtocolError


class OutgoingRequest:
    """The parts of a caller's request that are the same in every attempt.

    Parameters
    ----------
    method, request_id : bytes
    head : bytes
        Request line and headers, except the headers that differ between attempts.
    body : bytes
    """

    __slots__ = ("method", "request_id", "head", "body")

    def __init__(self, method, request_id, head, body):
        self.method = method
        self.request_id = request_id
        self.head = head
        self.body = body


class Hello:
    """Checks whether the peer on a channel accepts subsearches.

    The delegating VM sends it after opening a channel and after an acknowledgement
    timeout. The peer replies with its own once it accepts subsearches.

    Parameters
    ----------
    vm_id : str
        Id of the sender.
    """

    __slots__ = ("vm_id",)
    kind = "greeting"

    def __init__(self, vm_id):
        self.vm_id = vm_id

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps([self.kind, self.vm_id])


class GoAway:
    """Announces that the sender is shutting down and accepts no new subsearches."""

    __slots__ = ()
    kind = "farewell"

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps([self.kind])


class _SubsearchMessage:
    """Base of the messages whose only field is the number of a subsearch.

    Parameters
    ----------
    number : int
        Number of the subsearch.
    """

    __slots__ = ("number",)
    kind = ""

    def __init__(self, number):
        self.number = number

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps([self.kind, self.number])


class Acknowledgement(_SubsearchMessage):
    """Confirms that the receiver of a subsearch has started it."""

    __slots__ = ()
    kind = "acknowledgement"


class RetryPermission(_SubsearchMessage):
    """Allows a VM to make more than one attempt for each shard of a subsearch.

    It is sent when the subsearch is acknowledged in time. If a VM acknowledges it too
    late, its shards may already have been reassigned to another VM. It then never
    receives the permission, so that the attempts of both VMs together stay within the
    attempt limit of the route.
    """

    __slots__ = ()
    kind = "permission"


class Cancellation(_SubsearchMessage):
    """Cancels a subsearch whose answer is no longer needed."""

    __slots__ = ()
    kind = "cancellation"


class Subsearch:
    """Asks a VM to search some of the shards of a search.

    The parameters are positional, in the order of `__slots__`. They are encoded in this
    order; `outgoing` must be the last one.

    Parameters
    ----------
    number : int
        Unique on the channel.
    route_name : str
    goal_s : float
        Response time goal of the whole search; initializes the reply time estimates of
        the route.
    goal_left_s : float
        Time left until the response time goal; then the receiver sends partial answers.
    limit_left_s : float
        Time left until the deadline, after which the sender discards any answer.
    target_limit_left_s : float
        Time left until the deadline that the requests to the targets carry.
    max_attempts : int
        Maximum number of targets of each shard on which the request may run.
    top : int
        Maximum number of records in the answer.
    is_extra : bool
        Whether requests for these shards may have been sent before, so that the new
        requests count against the retry budget.
    services : list of str
        One service for each shard.
    priority : int
        0 is the most urgent.
    customer_name : str
        Customer of the caller; empty if there is none.
    weight : float
        Share of the customer when customers compete for a target.
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
        "priority",
        "customer_name",
        "weight",
        "outgoing",
    )
    kind = "subsearch"

    def __init__(self, *values):
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)

    def encode(self):
        """Return the payload of a frame."""
        values = [getattr(self, name) for name in self.__slots__[:-1]]
        if tuple(values[-len(_NO_CUSTOMER_TERMS) :]) == _NO_CUSTOMER_TERMS:
            # Earlier versions do not accept the terms of customers.
            del values[-len(_NO_CUSTOMER_TERMS) :]
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

    def age(self, elapsed_s):
        """Subtract the time for which the message has waited from the times left."""
        self.goal_left_s -= elapsed_s
        self.limit_left_s -= elapsed_s
        self.target_limit_left_s -= elapsed_s

    @classmethod
    def decode(cls, fields):
        """Return the message that the fields after the kind describe."""
        *values, method, request_id, head, body = fields
        if len(values) == len(_SUBSEARCH_TYPES) - len(_NO_CUSTOMER_TERMS):
            values += _NO_CUSTOMER_TERMS
        _check_types(values, _SUBSEARCH_TYPES)
        outgoing = OutgoingRequest(
            method.encode("latin-1"),
            request_id.encode("latin-1"),
            head.encode("latin-1"),
            base64.b64decode(body, validate=True),
        )
        return cls(*values, outgoing)


class SubsearchAnswer:
    """Final or partial result of a subsearch.

    Parameters
    ----------
    number : int
    is_final : bool
        Whether this is the last answer: all shards have replied or failed.
    has_run : bool
        Whether the request may have run on any target.
    digests : list of bytes
        For each shard reply that the answer includes, the digest from its headers, by
        which the target proves its work on the request.
    records : bytes
        The greatest records of these replies, greatest first.
    missing : list of str
        For the log: shards without a good reply, each with the reason.
    unasked : list of str
        Services of the shards for which no request was sent, because the VM has no
        usable target for them or no retry budget.
    drain_s : float or None
        Time until there is room for shards that were left out for want of it.
    """

    __slots__ = (
        "number",
        "is_final",
        "has_run",
        "digests",
        "records",
        "missing",
        "unasked",
        "drain_s",
    )
    kind = "answer"

    def __init__(
        self,
        number,
        is_final,
        has_run,
        digests,
        records,
        missing,
        unasked=(),
        drain_s=None,
    ):
        self.number = number
        self.is_final = is_final
        self.has_run = has_run
        self.digests = digests
        self.records = records
        self.missing = missing
        self.unasked = list(unasked)
        self.drain_s = drain_s

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
                # Left out without customers, as by earlier versions.
                *([] if self.drain_s is None else [self.drain_s]),
            ]
        )

    @classmethod
    def decode(cls, fields):
        """Return the message that the fields after the kind describe."""
        fields, drain_s = _split_drain_time(fields)
        _check_types(fields, _ANSWER_TYPES)
        number, is_final, has_run, digests, records, missing, unasked = fields
        return cls(
            number,
            is_final,
            has_run,
            [digest.encode("latin-1") for digest in digests],
            base64.b64decode(records, validate=True),
            missing,
            unasked,
            drain_s,
        )


def _split_drain_time(fields):
    """Return the fields of an answer without its last one, and that one or None."""
    if len(fields) <= len(_ANSWER_TYPES):
        return fields, None
    *fields, drain_s = fields
    _check_types([drain_s], [_NUMBER])
    return fields, drain_s


_NUMBER = (int, float)
_SUBSEARCH_TYPES = (
    int,
    str,
    _NUMBER,
    _NUMBER,
    _NUMBER,
    _NUMBER,
    int,
    int,
    bool,
    list,
    int,
    str,
    _NUMBER,
)
_NO_CUSTOMER_TERMS = (0, "", 1.0)
"""Priority, customer name and weight where the configuration has no customers."""

_ANSWER_TYPES = (int, bool, bool, list, str, list, list)


def _check_types(values, types):
    """Raise TypeError unless each value has the type at the same position."""
    for value, expected_type in zip(values, types, strict=True):
        if not isinstance(value, expected_type):
            raise TypeError(f"{value!r} is not {expected_type}")
        if expected_type is list and not all(isinstance(item, str) for item in value):
            raise TypeError(f"{value!r} is not a list of strings")


def _decode_number(message_type):
    def decode(fields):
        _check_types(fields, (int,))
        return message_type(*fields)

    return decode


_DECODERS = {
    Hello.kind: lambda fields: Hello(*fields),
    GoAway.kind: lambda fields: GoAway(*fields),
    Acknowledgement.kind: _decode_number(Acknowledgement),
    RetryPermission.kind: _decode_number(RetryPermission),
    Cancellation.kind: _decode_number(Cancellation),
    Subsearch.kind: Subsearch.decode,
    SubsearchAnswer.kind: SubsearchAnswer.decode,
}


def decode_message(payload):
    """Return the message that the payload of a frame holds.

    Raises
    ------
    ProtocolError
        If the payload is not a valid message.
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
        raise ProtocolError(f"malformed message from another VM: {error!r}") from error
