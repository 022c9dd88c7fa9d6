"""Typed bodies of the messages between VMs.

Each message class has a `KIND`. `to_body` encodes a message as a JSON body;
`from_body` decodes it and raises `ProtocolError` if the body is malformed.
"""

import functools

from .errors import ProtocolError

SEARCH = "search"
BOOKING = "booking"

ANSWERED = "ok"
"""Code of a shard answer with a result; other answers have an error code."""


def _convert_errors(decode):
    """Convert the exceptions that a malformed body causes into a `ProtocolError`."""

    @functools.wraps(decode)
    def wrapper(cls, body):
        try:
            return decode(cls, body)
        except (KeyError, TypeError, ValueError, IndexError) as error:
            text = f"malformed {cls.KIND}: {error!r}"
            raise ProtocolError(text) from error

    return wrapper


class Heartbeat:
    """Grants the addressee a lease, and reports the state of the sender.

    Parameters
    ----------
    incarnation : str
        Random id of the sending process.
    epoch : int
        Epoch of the view that the sender has adopted.
    released_epoch : int
        Highest epoch for which the sender has finished all requests to targets
        that it no longer holds.
    sent_at : float
        Seconds on the sender's monotonic clock.
    echo : float or None
        Newest `sent_at` that the sender received from the addressee. It grants the
        addressee a lease that is counted from that time; None grants none.
    settings_digest : str
        Digest of the sender's settings version vector.
    store_revision : int
        Highest store revision that the sender has seen.
    """

    KIND = "heartbeat"
    __slots__ = (
        "incarnation",
        "epoch",
        "released_epoch",
        "sent_at",
        "echo",
        "settings_digest",
        "store_revision",
    )

    def __init__(
        self,
        incarnation,
        epoch,
        released_epoch,
        sent_at,
        echo,
        settings_digest,
        store_revision=0,
    ):
        self.incarnation = incarnation
        self.epoch = epoch
        self.released_epoch = released_epoch
        self.sent_at = sent_at
        self.echo = echo
        self.settings_digest = settings_digest
        self.store_revision = store_revision

    def to_body(self):
        """Return the JSON body."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    @_convert_errors
    def from_body(cls, body):
        """Decode the message; raises `ProtocolError` if the body is malformed."""
        return cls(*body)


class ShardItem:
    """One attempt at one shard on one target.

    Parameters
    ----------
    attempt : int
        Number of the attempt, unique within the entry VM's request.
    shard : str
    target : str
    """

    __slots__ = ("attempt", "shard", "target")

    def __init__(self, attempt, shard, target):
        self.attempt = attempt
        self.shard = shard
        self.target = target


class ShardGroup:
    """The attempts of one request that are sent to one holder.

    Parameters
    ----------
    request_id : str
        128 random bits in hexadecimal.
    team : str
    dataset : str
    version : str
        Version of the snapshot on which the request must run.
    query : object
        JSON of the caller's query, or of the order to book.
    remaining_ms : float
        Time left for the request in milliseconds, counted from its receipt at the
        holder.
    items : list of ShardItem
    operation : str
        `SEARCH` or `BOOKING`.
    idempotency_key : str or None
        Set only for a booking.
    dispatch_before : float or None
        Set only for a booking: Unix time in seconds after which it must not be
        dispatched.
    """

    KIND = "shard_group"
    __slots__ = (
        "request_id",
        "team",
        "dataset",
        "version",
        "query",
        "remaining_ms",
        "items",
        "operation",
        "idempotency_key",
        "dispatch_before",
    )

    def __init__(
        self,
        request_id,
        team,
        dataset,
        version,
        query,
        remaining_ms,
        items,
        operation=SEARCH,
        idempotency_key=None,
        dispatch_before=None,
    ):
        self.request_id = request_id
        self.team = team
        self.dataset = dataset
        self.version = version
        self.query = query
        self.remaining_ms = remaining_ms
        self.items = items
        self.operation = operation
        self.idempotency_key = idempotency_key
        self.dispatch_before = dispatch_before

    def to_body(self):
        """Return the JSON body."""
        body = {name: getattr(self, name) for name in self.__slots__}
        body["items"] = [[i.attempt, i.shard, i.target] for i in self.items]
        return body

    @classmethod
    @_convert_errors
    def from_body(cls, body):
        """Decode the message; raises `ProtocolError` if the body is malformed."""
        fields = dict(body)
        fields["items"] = [ShardItem(*item) for item in body["items"]]
        if fields["operation"] not in (SEARCH, BOOKING):
            raise ValueError(fields["operation"])
        if not isinstance(fields.get("dispatch_before"), (int, float, type(None))):
            raise ValueError(fields["dispatch_before"])
        return cls(**fields)


class LoadEstimate:
    """A holder's load estimate for one target, sent with each of its answers.

    Parameters
    ----------
    limit : int
        Current concurrency limit of the target.
    waiting : int
        Requests queued and in flight.
    service_ms : float
        Recent median service time in milliseconds.
    """

    __slots__ = ("limit", "waiting", "service_ms")

    def __init__(self, limit, waiting, service_ms):
        self.limit = limit
        self.waiting = waiting
        self.service_ms = service_ms


class ShardAnswer:
    """Outcome of one attempt.

    Parameters
    ----------
    attempt : int
    code : str
        `ANSWERED` or an error code.
    outcome : str
        ``done``, ``not_run`` or ``unknown``.
    result : object
        JSON of the target's result, or None.
    load : LoadEstimate or None
    versions : list of str
        Versions that the target has; set only with code ``version_missing``.
    """

    __slots__ = ("attempt", "code", "outcome", "result", "load", "versions")

    def __init__(self, attempt, code, outcome, result=None, load=None, versions=()):
        self.attempt = attempt
        self.code = code
        self.outcome = outcome
        self.result = result
        self.load = load
        self.versions = list(versions)

    def to_body(self):
        """Return the JSON form."""
        load = self.load
        estimate = load and [load.limit, load.waiting, load.service_ms]
        return [
            self.attempt,
            self.code,
            self.outcome,
            self.result,
            estimate,
            self.versions,
        ]

    @classmethod
    def from_body(cls, body):
        """Decode the answer from its JSON form."""
        attempt, code, outcome, result, estimate, versions = body
        load = LoadEstimate(*estimate) if estimate else None
        return cls(attempt, code, outcome, result, load, versions)


class ShardAnswers:
    """Answers to some of the attempts of one request, sent as they become known.

    Parameters
    ----------
    request_id : str
    answers : list of ShardAnswer
    """

    KIND = "shard_answers"
    __slots__ = ("request_id", "answers")

    def __init__(self, request_id, answers):
        self.request_id = request_id
        self.answers = answers

    def to_body(self):
        """Return the JSON body."""
        return [self.request_id, [a.to_body() for a in self.answers]]

    @classmethod
    @_convert_errors
    def from_body(cls, body):
        """Decode the message; raises `ProtocolError` if the body is malformed."""
        request_id, answers = body
        return cls(request_id, [ShardAnswer.from_body(a) for a in answers])


class ShardCancel:
    """Cancels attempts that the entry VM no longer needs.

    Parameters
    ----------
    request_id : str
    attempts : list of int
    """

    KIND = "shard_cancel"
    __slots__ = ("request_id", "attempts")

    def __init__(self, request_id, attempts):
        self.request_id = request_id
        self.attempts = attempts

    def to_body(self):
        """Return the JSON body."""
        return [self.request_id, self.attempts]

    @classmethod
    @_convert_errors
    def from_body(cls, body):
        """Decode the message; raises `ProtocolError` if the body is malformed."""
        request_id, attempts = body
        return cls(request_id, [int(attempt) for attempt in attempts])
