"""Tests of the encoding of messages between VMs."""

import testtools

from tarragonchute import errors, wire
from tarragonchute.frames import FrameReader


class EnvelopeTests(testtools.TestCase):
    """Encoding and decoding of envelopes."""

    def test_round_trip(self):
        """Guards against a field that encoding or decoding loses or alters."""
        frame = wire.encode_envelope("heartbeat", "vm-1", 7, {"epoch": 3})
        (payload,) = FrameReader().feed(frame)
        envelope = wire.decode_envelope(payload)
        self.assertEqual("heartbeat", envelope.kind)
        self.assertEqual("vm-1", envelope.sender)
        self.assertEqual(7, envelope.number)
        self.assertEqual({"epoch": 3}, envelope.body)

    def test_malformed_payload_raises_protocol_error(self):
        """Guards against a decoder exception that crashes the VM."""
        for payload in (b"", b"x", b"\xff" * 64, b"\0" * 64):
            self.assertRaises(errors.ProtocolError, wire.decode_envelope, payload)
