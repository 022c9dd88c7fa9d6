"""Envelopes of the messages between VMs."""

import pathlib

import capnp
import orjson

from .errors import ProtocolError
from .frames import encode_frame

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("messages.capnp")))


class Envelope:
    """One decoded message.

    Parameters
    ----------
    kind : str
        Which message this is, for example ``heartbeat``.
    sender : str
        VM that sent it.
    number : int
        Request number of the sender, repeated in the answer; 0 if none.
    body : object
        Decoded JSON.
    """

    __slots__ = ("kind", "sender", "number", "body")

    def __init__(self, kind, sender, number, body):
        self.kind = kind
        self.sender = sender
        self.number = number
        self.body = body


def encode_envelope(kind, sender, number, body):
    """Return one frame, length prefix included.

    Raises
    ------
    ProtocolError
        If the frame would exceed `frames.MAX_FRAME_BYTES`.
    """
    message = _schema.Envelope.new_message(
        kind=kind, sender=sender, number=number, body=orjson.dumps(body)
    )
    return encode_frame(message.to_bytes())


def decode_envelope(payload):
    """Decode the payload of one frame.

    Parameters
    ----------
    payload : bytes
        Without the length prefix.

    Raises
    ------
    ProtocolError
        If the payload is not an envelope with a JSON body.
    """
    try:
        with _schema.Envelope.from_bytes(payload) as message:
            return Envelope(
                message.kind,
                message.sender,
                message.number,
                orjson.loads(message.body),
            )
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(f"malformed envelope: {error}") from error
