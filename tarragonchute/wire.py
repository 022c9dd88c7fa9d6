"""Encoding of the messages between VMs in Cap'n Proto envelopes."""

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
        Message type, for example ``heartbeat``.
    sender : str
        Id of the VM that sent it.
    number : int
        Request number chosen by the requesting VM, repeated in the answer; 0 if
        none.
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
    """Return a message as one frame, including its length prefix.

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
        Content of the frame, without its length prefix.

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
