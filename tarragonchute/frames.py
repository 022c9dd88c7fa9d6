"""Frames: messages with a length prefix on a byte stream between VMs."""

import struct

from .errors import ProtocolError

MAX_FRAME_BYTES = 8 * 1024 * 1024
_HEADER = struct.Struct(">I")


def encode_frame(payload):
    """Return the payload with its length prefix.

    Raises
    ------
    ProtocolError
        If the payload exceeds `MAX_FRAME_BYTES`.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise ProtocolError(f"frame of {len(payload)} bytes is too large")
    return _HEADER.pack(len(payload)) + payload


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
