"""Length-prefixed framing of messages on the byte streams between VMs."""

import struct

from .errors import ProtocolError

MAX_FRAME_BYTES = 8 * 1024 * 1024
_HEADER = struct.Struct(">I")


def encode_frame(payload):
    """Return a frame: the payload after its length as a 4-byte big-endian integer.

    Raises
    ------
    ProtocolError
        If the payload exceeds `MAX_FRAME_BYTES`.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise ProtocolError(
            f"payload of {len(payload)} bytes exceeds the maximum frame size"
        )
    return _HEADER.pack(len(payload)) + payload


class FrameReader:
    """Incremental parser that splits a byte stream into frames."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = bytearray()

    @property
    def buffered_bytes(self):
        """Number of bytes held of a frame that is not complete yet."""
        return len(self._buffer)

    def feed(self, data):
        """Append received bytes and return the payloads of the completed frames.

        Raises
        ------
        ProtocolError
            If the length prefix of a frame exceeds `MAX_FRAME_BYTES`.
        """
        self._buffer += data
        payloads = []
        while len(self._buffer) >= _HEADER.size:
            (length,) = _HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(
                    f"received frame of {length} bytes exceeds the maximum frame size"
                )
            end = _HEADER.size + length
            if len(self._buffer) < end:
                break
            payloads.append(bytes(self._buffer[_HEADER.size : end]))
            del self._buffer[:end]
        return payloads
