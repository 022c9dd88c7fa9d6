"""Tests of booking orders and of sending them to replicas."""

import itertools
import random

import testtools
import trio

from tarragonchute import errors, orders
from tarragonchute.budgets import Budgets
from tarragonchute.messages import ShardAnswer, ShardAnswers
from tarragonchute.routing import Router
from tarragonchute.snapshots import SnapshotChooser
from tests.test_search_faults import run_in_virtual_time


class BookingOrderTests(testtools.TestCase):
    """Record keys, digests and errors of orders."""

    def test_different_requests_have_different_keys_and_digests(self):
        """Guards against returning one caller's outcome to another.

        That would happen if two teams or escaped keys shared a record, or two
        bodies a digest.
        """
        variants = [
            orders.BookingOrder("id", *fields)
            for fields in itertools.product(
                ("a", "b"), ("k", "k/l", "k%2Fl"), ("d", "e"), ("s", "t"), (1, "1")
            )
        ]
        self.assertEqual(6, len({order.record_key() for order in variants}))
        self.assertEqual(8, len({order.digest() for order in variants}))

    def test_digest_ignores_the_sequence_of_fields(self):
        """Guards against a key conflict for an order with its fields rearranged."""
        digests = {
            orders.BookingOrder("id", "t", "k", "d", "s", order).digest()
            for order in ({"a": 1, "b": 2}, {"b": 2, "a": 1})
        }
        self.assertEqual(1, len(digests))

    def test_errors_carry_outcome_and_code(self):
        """Guards against an exception that loses the code or has the wrong outcome.

        The class of a code like `overloaded` implies an outcome, which may differ
        from that of the dispatch.
        """
        for outcome, code in (
            ("not_run", "shedding"),
            ("not_run", "overloaded"),
            ("unknown", "connection_lost"),
            ("unknown", "overloaded"),
        ):
            error = orders.DispatchResult(outcome, code).to_error()
            self.assertEqual((outcome, code), (str(error.outcome), error.code))


SEND_CASES = (
    # Answers of the targets in turn, and the result. None: no answer; False: not sent.
    ([("draining", "not_run"), ("ok", "done")], ("done", "ok")),
    ([("overloaded", "not_run"), ("ok", "done")], ("done", "ok")),
    ([("timed_out", "unknown")], ("unknown", "timed_out")),
    ([("connection_lost", "unknown")], ("unknown", "connection_lost")),
    ([("draining", "not_run")] * 2, ("not_run", "draining")),
    ([("version_missing", "not_run")] * 2, ("not_run", "version_missing")),
    ([None], ("unknown", "outcome_unknown")),
    ([False, ("ok", "done")], ("done", "ok")),
    # The retry time allows four rounds over both replicas.
    ([False] * 8, ("not_run", "not_sent")),
    ([("not_holder", "not_run")] * 2 + [("ok", "done")], ("done", "ok")),
    ([("not_holder", "not_run")] * 2 + [None], ("unknown", "outcome_unknown")),
)


class BookingSenderTests(testtools.TestCase):
    """Sending an order to one replica after another."""

    def send_order(self, answers, shard="s0"):
        """Send an order; each send gets the next of `answers`."""
        chooser = SnapshotChooser()
        chooser.set_layouts("guides", {"v1": {"s0": ["t0", "t1"]}})
        request_numbers = itertools.count(1)
        self.sent = 0

        def send(vm_id, kind, body, number=0):
            answer = answers[self.sent]
            self.sent += 1
            if answer:
                # Must be ignored: an answer for another request, from another VM or
                # with another attempt number, and any after the first.
                own_answer = ShardAnswer(1, *answer)
                ignored_answer = ShardAnswer(1, "ok", "done", "foreign")
                other_attempt = ShardAnswer(2, "ok", "done", "wrong attempt")
                sender.handle_answers(
                    vm_id, number, ShardAnswers("other", [ignored_answer])
                )
                sender.handle_answers(
                    "vm9", number, ShardAnswers("id", [ignored_answer])
                )
                sender.handle_answers(
                    vm_id, number, ShardAnswers("id", [other_attempt, own_answer])
                )
                sender.handle_answers(
                    vm_id, number, ShardAnswers("id", [ignored_answer])
                )
            return answer is not False

        self.send = send
        router = Router(lambda target: f"vm-{target}", random.Random(1))
        sender = orders.BookingSender(self, chooser, router, Budgets(), request_numbers)
        order = orders.BookingOrder("id", "team", "key", "guides", shard, 1)

        async def dispatch():
            return await sender(order, trio.current_time() + 0.1)

        return run_in_virtual_time(dispatch)

    def test_second_replica_only_if_the_first_provably_did_not_run(self):
        """Guards against an order that runs on both replicas.

        That happens if it is sent again after an answer, or a lost answer, that
        leaves open whether the first replica ran it.
        """
        for answers, expected in SEND_CASES:
            result = self.send_order(answers)
            self.assertEqual(expected, (str(result.outcome), result.code), answers)
            self.assertEqual(len(answers), self.sent, answers)
            self.assertIsNone(result.result, answers)

    def test_order_is_retried_during_a_handover(self):
        """Guards against failing a booking while a target moves to another holder."""
        refusal = ("no_lease", "not_run")
        result = self.send_order([refusal] * 6 + [("ok", "done")])
        self.assertEqual(errors.Outcome.DONE, result.outcome)

    def test_unknown_shard_is_not_run(self):
        """Guards against waiting until the deadline for an unknown shard."""
        result = self.send_order([], shard="s9")
        self.assertEqual(("not_run", "shard_unknown"), (result.outcome, result.code))
