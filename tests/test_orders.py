"""Tests of the orders of bookings and of sending them."""

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
    """Keys, digests and errors of orders."""

    def test_different_requests_have_different_keys_and_digests(self):
        """Guards against one caller's outcome told to another."""
        variants = [
            orders.BookingOrder("id", *fields)
            for fields in itertools.product(
                ("a", "b"), ("k", "k/l", "k%2Fl"), ("d", "e"), ("s", "t"), (1, "1")
            )
        ]
        self.assertEqual(6, len({order.record_key() for order in variants}))
        self.assertEqual(8, len({order.digest() for order in variants}))

    def test_digest_ignores_the_order_of_fields(self):
        """Guards against a conflict for the same order, serialized otherwise."""
        digests = {
            orders.BookingOrder("id", "t", "k", "d", "s", order).digest()
            for order in ({"a": 1, "b": 2}, {"b": 2, "a": 1})
        }
        self.assertEqual(1, len(digests))

    def test_errors_carry_outcome_and_code(self):
        """Guards against an outcome without a code, or a wrong outcome."""
        for outcome, code in (
            ("not_run", "shedding"),
            ("not_run", "overloaded"),
            ("unknown", "connection_lost"),
            ("unknown", "overloaded"),
        ):
            error = orders.DispatchResult(outcome, code).to_error()
            self.assertEqual((outcome, code), (str(error.outcome), error.code))


SENDS = (
    # answers of the first and the second target, and what is told
    ([("draining", "not_run"), ("ok", "done")], ("done", "ok")),
    ([("overloaded", "not_run"), ("ok", "done")], ("done", "ok")),
    ([("timed_out", "unknown")], ("unknown", "timed_out")),
    ([("connection_lost", "unknown")], ("unknown", "connection_lost")),
    ([("draining", "not_run")] * 2, ("not_run", "draining")),
    ([("version_missing", "not_run")] * 2, ("not_run", "version_missing")),
    ([None], ("unknown", "outcome_unknown")),
    ([False, ("ok", "done")], ("done", "ok")),
    # Four rounds over both replicas fit into the time for retries.
    ([False] * 8, ("not_run", "not_sent")),
    ([("not_holder", "not_run")] * 2 + [("ok", "done")], ("done", "ok")),
    ([("not_holder", "not_run")] * 2 + [None], ("unknown", "outcome_unknown")),
)


class BookingSenderTests(testtools.TestCase):
    """Sending an order to one replica after the other."""

    def send_order(self, script, shard="s0"):
        """Send an order; each target takes its answer from the script."""
        chooser = SnapshotChooser()
        chooser.set_layouts("guides", {"v1": {"s0": ["t0", "t1"]}})
        numbers = itertools.count(1)
        self.sent = 0

        def send(vm_id, kind, body, number=0):
            answer = script[self.sent]
            self.sent += 1
            if answer:
                # A foreign, a wrong and a late answer must all be ignored.
                good = ShardAnswer(1, *answer)
                bad = ShardAnswer(1, "ok", "done", "foreign")
                wrong = ShardAnswer(2, "ok", "done", "wrong attempt")
                sender.handle_answers(vm_id, number, ShardAnswers("other", [bad]))
                sender.handle_answers("vm9", number, ShardAnswers("id", [bad]))
                sender.handle_answers(vm_id, number, ShardAnswers("id", [wrong, good]))
                sender.handle_answers(vm_id, number, ShardAnswers("id", [bad]))
            return answer is not False

        self.send = send
        router = Router(lambda target: f"vm-{target}", random.Random(1))
        sender = orders.BookingSender(self, chooser, router, Budgets(), numbers)
        order = orders.BookingOrder("id", "team", "key", "guides", shard, 1)

        async def dispatch():
            return await sender(order, trio.current_time() + 0.1)

        return run_in_virtual_time(dispatch)

    def test_second_replica_only_after_a_proof_that_the_first_did_not_run(self):
        """Guards against an order that runs on both replicas."""
        for script, expected in SENDS:
            result = self.send_order(script)
            self.assertEqual(expected, (str(result.outcome), result.code), script)
            self.assertEqual(len(script), self.sent, script)
            self.assertIsNone(result.result, script)

    def test_order_between_two_holders_waits_for_the_hand_over(self):
        """Guards against a refusal while a view is being adopted."""
        refusal = ("no_lease", "not_run")
        result = self.send_order([refusal] * 6 + [("ok", "done")])
        self.assertEqual(errors.Outcome.DONE, result.outcome)

    def test_unknown_shard_is_not_run(self):
        """Guards against an order that waits for a shard that does not exist."""
        result = self.send_order([], shard="s9")
        self.assertEqual(("not_run", "shard_unknown"), (result.outcome, result.code))
