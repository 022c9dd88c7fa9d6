"""Tests of frames and envelopes."""

import struct

import testtools

from tarragonchute import errors, wire


class EnvelopeTests(testtools.TestCase):
    """Encoding and decoding of one message."""

    def test_round_trip(self):
        """Guards against a field lost or altered between two VMs."""
        frame = wire.encode_envelope("heartbeat", "vm-1", 7, {"epoch": 3})
        (payload,) = wire.FrameReader().feed(frame)
        envelope = wire.decode_envelope(payload)
        self.assertEqual("heartbeat", envelope.kind)
        self.assertEqual("vm-1", envelope.sender)
        self.assertEqual(7, envelope.number)
        self.assertEqual({"epoch": 3}, envelope.body)

    def test_garbage_is_a_protocol_error(self):
        """Guards against a decoder exception that would end the VM."""
        for payload in (b"", b"x", b"\xff" * 64, b"\0" * 64):
            self.assertRaises(errors.ProtocolError, wire.decode_envelope, payload)


class FrameReaderTests(testtools.TestCase):
    """Splitting of a byte stream."""

    def test_any_split_gives_the_same_frames(self):
        """Guards against frames lost where a TCP segment ends inside one."""
        frames = [
            wire.encode_envelope("view", "vm-2", n, list(range(n))) for n in range(4)
        ]
        stream = b"".join(frames)
        for step in (1, 3, 50, len(stream)):
            reader = wire.FrameReader()
            payloads = []
            for start in range(0, len(stream), step):
                payloads += reader.feed(stream[start : start + step])
            numbers = [wire.decode_envelope(p).number for p in payloads]
            self.assertEqual([0, 1, 2, 3], numbers)

    def test_oversized_frame_is_refused_before_it_is_buffered(self):
        """Guards against a peer that makes this VM buffer without bound."""
        reader = wire.FrameReader()
        header = struct.pack(">I", wire.MAX_FRAME_BYTES + 1)
        self.assertRaises(errors.ProtocolError, reader.feed, header)
