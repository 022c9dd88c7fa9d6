"""Tests of the framing of messages between VMs."""

import struct

import testtools

from tarragonchute import errors, frames, wire


class FrameReaderTests(testtools.TestCase):
    """`FrameReader` splits a byte stream into frames."""

    def test_any_split_gives_the_same_frames(self):
        """Guards against losing a frame that arrives in several TCP segments."""
        sent = [
            wire.encode_envelope("view", "vm-2", n, list(range(n))) for n in range(4)
        ]
        stream = b"".join(sent)
        for segment_bytes in (1, 3, 50, len(stream)):
            reader = frames.FrameReader()
            payloads = []
            for start in range(0, len(stream), segment_bytes):
                payloads += reader.feed(stream[start : start + segment_bytes])
            numbers = [wire.decode_envelope(p).number for p in payloads]
            self.assertEqual([0, 1, 2, 3], numbers)

    def test_oversized_frame_is_rejected_before_it_is_buffered(self):
        """Guards against unbounded buffering for a peer that sends a huge length."""
        reader = frames.FrameReader()
        header = struct.pack(">I", frames.MAX_FRAME_BYTES + 1)
        self.assertRaises(errors.ProtocolError, reader.feed, header)
