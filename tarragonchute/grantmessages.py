"""Messages with which VMs ask for tokens of a customer's allowance."""

import math

import orjson

from .errors import ProtocolError


class Ask:
    """Asks for tokens.

    The parameters are positional, in the order of `__slots__`.

    Parameters
    ----------
    number : int
        Unique among the asks of the sender.
    sender_id : str
        VM id of the sender.
    customer_name : str
    version : int
        Version of the configuration from which `rate` and `burst` are.
    rate, burst : float
        The customer's allowance. The newest version that a grantor has heard of counts,
        so that a raised allowance serves before the grantor has read it.
    is_for_deputy : bool
        Whether the receiver is asked as deputy and not as grantor.
    wanted : int
        Number of waiting requests; 0 if only spare tokens are asked for.
    returned : int
        Unspent tokens that the receiver granted in the same role.
    demand : float
        Requests per second of this customer at the sender.
    refused : int
        Requests that the sender refused since its last ask.
    """

    __slots__ = (
        "number",
        "sender_id",
        "customer_name",
        "version",
        "rate",
        "burst",
        "is_for_deputy",
        "wanted",
        "returned",
        "demand",
        "refused",
    )
    kind = "allowance-ask"

    def __init__(self, *values):
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps(
            [self.kind, *(getattr(self, name) for name in self.__slots__)]
        )


class Answer:
    """Answers an `Ask`.

    Parameters
    ----------
    number : int
        Number of the ask.
    is_declined : bool
        Whether the receiver does not have the role in which it was asked.
    granted : int
        Number of tokens.
    lease_s : float
        Time for which the tokens are valid, counted from the ask.
    hold_s : float
        Time after which the sender may ask again, if it got fewer tokens than it
        wanted or was declined.
    spread_s : float
        Time over which callers that are refused should spread their next attempts.
    """

    __slots__ = (
        "number",
        "is_declined",
        "granted",
        "lease_s",
        "hold_s",
        "spread_s",
    )
    kind = "allowance-answer"

    def __init__(
        self, number, is_declined, granted, lease_s=0.0, hold_s=0.0, spread_s=0.0
    ):
        self.number = number
        self.is_declined = is_declined
        self.granted = granted
        self.lease_s = lease_s
        self.hold_s = hold_s
        self.spread_s = spread_s

    def encode(self):
        """Return the payload of a frame."""
        return orjson.dumps(
            [self.kind, *(getattr(self, name) for name in self.__slots__)]
        )


_NUMBER = (int, float)
_MESSAGES = {Ask.kind: Ask, Answer.kind: Answer}
_TYPES = {
    Ask: (
        int,
        str,
        str,
        int,
        _NUMBER,
        _NUMBER,
        bool,
        int,
        int,
        _NUMBER,
        int,
    ),
    Answer: (int, bool, int, _NUMBER, _NUMBER, _NUMBER),
}

ASK_PREFIX = b'["' + Ask.kind.encode() + b'"'
"""First bytes of an encoded `Ask`, by which a listener tells it from other messages."""


def decode_grant_message(payload):
    """Return the `Ask` or `Answer` that the payload of a frame holds.

    Raises
    ------
    ProtocolError
        If the payload is not a valid message.
    """
    try:
        kind, *values = orjson.loads(payload)
        message_type = _MESSAGES[kind]
        for value, expected in zip(values, _TYPES[message_type], strict=True):
            if not _is_valid(value, expected):
                raise TypeError(f"{value!r} is not a valid {expected}")
        return message_type(*values)
    except (ValueError, TypeError, KeyError) as error:
        raise ProtocolError(f"malformed message from another VM: {error!r}") from error


def _is_valid(value, expected):
    """Whether a value has a type; numbers must be finite and not negative."""
    if isinstance(value, bool) or expected in (bool, str):
        return isinstance(value, expected) and isinstance(value, bool) == (
            expected is bool
        )
    return isinstance(value, expected) and value >= 0 and math.isfinite(value)
