"""Tests of frames."""

import struct

import testtools

from tarragonchute import errors, frames, wire


class FrameReaderTests(testtools.TestCase):
    """Splitting of a byte stream."""

    def test_any_split_gives_the_same_frames(self):
        """Guards against frames lost where a TCP segment ends inside one."""
        sent = [
            wire.encode_envelope("view", "vm-2", n, list(range(n))) for n in range(4)
        ]
        stream = b"".join(sent)
        for step in (1, 3, 50, len(stream)):
            reader = frames.FrameReader()
            payloads = []
            for start in range(0, len(stream), step):
                payloads += reader.feed(stream[start : start + step])
            numbers = [wire.decode_envelope(p).number for p in payloads]
            self.assertEqual([0, 1, 2, 3], numbers)

    def test_oversized_frame_is_refused_before_it_is_buffered(self):
        """Guards against a peer that makes this VM buffer without bound."""
        reader = frames.FrameReader()
        header = struct.pack(">I", frames.MAX_FRAME_BYTES + 1)
        self.assertRaises(errors.ProtocolError, reader.feed, header)
