"""Tests of the typed messages between VMs."""

import testtools

from tarragonchute import errors, messages


def build_group():
    """Return a group with two attempts."""
    items = [
        messages.ShardItem(1, "s0", "cat-0a"),
        messages.ShardItem(2, "s1", "cat-1b"),
    ]
    return messages.ShardGroup(
        "ab" * 16, "hollowmere", "catalogue", "42", {"q": "x"}, 120.5, items
    )


class RoundTripTests(testtools.TestCase):
    """Messages that are encoded and decoded."""

    def test_group(self):
        """Guards against attempts whose shard and target are mixed up."""
        group = messages.ShardGroup.from_body(build_group().to_body())
        found = [(i.attempt, i.shard, i.target) for i in group.items]
        self.assertEqual([(1, "s0", "cat-0a"), (2, "s1", "cat-1b")], found)
        self.assertEqual("42", group.version)
        self.assertIsNone(group.dispatch_before)

    def test_time_limit_of_a_booking(self):
        """Guards against a booking whose time limit is lost or malformed."""
        body = {**build_group().to_body(), "dispatch_before": 1.5}
        self.assertEqual(1.5, messages.ShardGroup.from_body(body).dispatch_before)
        del body["dispatch_before"]
        self.assertIsNone(messages.ShardGroup.from_body(body).dispatch_before)
        body["dispatch_before"] = "soon"
        self.assertRaises(errors.ProtocolError, messages.ShardGroup.from_body, body)

    def test_answers(self):
        """Guards against a load estimate or version list that encoding loses."""
        load = messages.LoadEstimate(2, 1, 4.5)
        answer = messages.ShardAnswer(3, "version_missing", "not_run", None, load, "4")
        body = messages.ShardAnswers("id", [answer]).to_body()
        (found,) = messages.ShardAnswers.from_body(body).answers
        self.assertEqual((3, "version_missing"), (found.attempt, found.code))
        self.assertEqual((2, 1, 4.5), (found.load.limit, 1, found.load.service_ms))
        self.assertEqual(["4"], found.versions)


class MalformedBodyTests(testtools.TestCase):
    """Bodies that violate the protocol."""

    def test_each_message_raises_protocol_error(self):
        """Guards against a peer's malformed message that crashes the VM."""
        kinds = (
            messages.Heartbeat,
            messages.ShardGroup,
            messages.ShardAnswers,
            messages.ShardCancel,
        )
        for kind in kinds:
            for body in (None, [], {}, 7, ["x"], {"items": 3}, [1, 2, 3, 4]):
                self.assertRaises(errors.ProtocolError, kind.from_body, body)
