"""Frames and envelopes of the messages between VMs."""

import pathlib
import struct

import capnp
import orjson

from .errors import ProtocolError

MAX_FRAME_BYTES = 8 * 1024 * 1024
_HEADER = struct.Struct(">I")

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
        If the frame would exceed `MAX_FRAME_BYTES`.
    """
    message = _schema.Envelope.new_message(
        kind=kind, sender=sender, number=number, body=orjson.dumps(body)
    )
    payload = message.to_bytes()
    if len(payload) > MAX_FRAME_BYTES:
        raise ProtocolError(f"frame of {len(payload)} bytes is too large")
    return _HEADER.pack(len(payload)) + payload


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


class FrameReader:
    """Splits a byte stream into frames."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Add bytes and return the payloads that are now whole.

        Raises
        ------
        ProtocolError
            If a frame announces more than `MAX_FRAME_BYTES`.
        """
        self._buffer += data
        payloads = []
        while len(self._buffer) >= _HEADER.size:
            (length,) = _HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(f"frame of {length} bytes is too large")
            end = _HEADER.size + length
            if len(self._buffer) < end:
                break
            payloads.append(bytes(self._buffer[_HEADER.size : end]))
            del self._buffer[:end]
        return payloads
