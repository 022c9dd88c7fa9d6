"""Tests of the messages with which VMs delegate shards of a search."""

import orjson
import testtools

from tarragonchute import errors, subsearches
from tarragonchute.subsearches import OutgoingRequest, Subsearch, SubsearchAnswer


def build_subsearch(number=1, services=("s0", "s1"), is_extra=False):
    """Return a subsearch of two shards."""
    outgoing = OutgoingRequest(b"GET", b"r1", b"GET /\xff HTTP/1.1\r\n", b"\x00\xff")
    return Subsearch(
        number,
        "r",
        0.1,
        0.08,
        0.3,
        0.39,
        2,
        5,
        is_extra,
        list(services),
        1,
        "c",
        2.5,
        outgoing,
    )


class MessageTests(testtools.TestCase):
    """Messages keep their fields when they are encoded and decoded."""

    def test_subsearch_round_trip(self):
        """Guards against changing the bytes of a request on the way between two VMs."""
        sent = build_subsearch()
        received = subsearches.decode_message(sent.encode())
        for name in Subsearch.__slots__[:-1]:
            self.assertEqual(getattr(sent, name), getattr(received, name), name)
        for name in OutgoingRequest.__slots__:
            sent_value = getattr(sent.outgoing, name)
            self.assertEqual(sent_value, getattr(received.outgoing, name), name)

    def test_answer_round_trip(self):
        """Guards against changing digests or records on the way between two VMs."""
        for drain_s in (None, 0.5):
            sent = SubsearchAnswer(
                7, False, True, [b"d1", b"d2"], bytes(range(256)), ["x"], ["s"], drain_s
            )
            received = subsearches.decode_message(sent.encode())
            for name in SubsearchAnswer.__slots__:
                self.assertEqual(getattr(sent, name), getattr(received, name), name)

    def test_malformed_message_is_a_protocol_error(self):
        """Guards against an exception of the decoder that would end the process.

        A peer may send bytes that are not JSON, an unknown kind, or missing or invalid
        fields.
        """
        for payload in (
            b"",
            b"\xff",
            b"{}",
            b"[]",
            b"7",
            b'["none"]',
            b'["greeting"]',
            b'["subsearch", 1, 2]',
            b'["answer", 1, true, true, [1], "", [], []]',
            b'["answer", 1, true, true, ["d"], "*", [], []]',
            b'["answer", 1, true, true, ["d"], "", [], [5]]',
            b'["answer", 1, true, true, ["d"], "", [], [], "x"]',
            b'["answer", 1, true, true, ["d"], "", [], [], 0.5, 0.5]',
            b'["answer", "1", true, true, [], "", [], []]',
            b'["acknowledgement", [1]]',
            b'["cancellation", {}]',
        ):
            self.assertRaises(errors.ProtocolError, subsearches.decode_message, payload)

    def test_subsearch_without_a_customer(self):
        """Guards against old and new VMs that close each other's channels.

        Earlier versions send 14 fields after the kind, and accept no others.
        """
        sent = build_subsearch()
        sent.priority, sent.customer_name, sent.weight = 0, "", 1.0
        payload = sent.encode()
        self.assertEqual(15, len(orjson.loads(payload)))
        received = subsearches.decode_message(payload)
        for name in Subsearch.__slots__[:-1]:
            self.assertEqual(getattr(sent, name), getattr(received, name), name)
        self.assertEqual(sent.outgoing.body, received.outgoing.body)

    def test_subsearch_with_a_field_of_another_type_is_a_protocol_error(self):
        """Guards against a subsearch that raises later, when it is started."""
        fields = orjson.loads(build_subsearch().encode())
        for index, value in ((1, "1"), (3, "0.1"), (5, None), (7, 1.5), (10, [1])):
            malformed = [*fields[:index], value, *fields[index + 1 :]]
            payload = orjson.dumps(malformed)
            self.assertRaises(errors.ProtocolError, subsearches.decode_message, payload)
