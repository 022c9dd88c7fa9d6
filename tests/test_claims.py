"""Tests of the records, the memory and the write budget of claims."""

import testtools

from tarragonchute import claims, errors


class RecordTests(testtools.TestCase):
    """Records in the store."""

    def test_round_trip_and_garbage(self):
        """Guards against a record that cannot be read back after a VM's death."""
        record = claims.Record("done", "claim", "vm", "digest", 1.5, {"seat": 1})
        again = claims.Record.from_text(record.to_text())
        self.assertEqual(record.to_text(), again.to_text())
        for text in ("", "[]", "{}", '{"state": "done"}', "1"):
            self.assertRaises(errors.ProtocolError, claims.Record.from_text, text)


class WriteBudgetTests(testtools.TestCase):
    """The share of the store's writes."""

    def test_members_share_135_bookings_a_second(self):
        """Guards against bookings that starve views and settings of writes."""
        for members in (1, 3, 9, 270, 1600):
            budget = claims.WriteBudget(lambda members=members: members)
            while budget.try_spend(2, 0.0):
                pass
            spent = sum(budget.try_spend(2, step / 1000) for step in range(10_000))
            self.assertAlmostEqual(135 * 10 / members, spent, delta=1)


class ClaimMemoryTests(testtools.TestCase):
    """The claims that a VM remembers."""

    def test_memory_of_claims_is_bounded(self):
        """Guards against a VM that runs out of memory over a day."""
        memory = claims.ClaimMemory()
        for number in range(claims.REMEMBERED_CLAIMS + 5):
            record = claims.Record("done", "c", "vm", "digest", 0.0, "x" * 4000)
            memory.put(str(number), claims.Claim(record, 0.0), 0.0)
        self.assertLessEqual(memory._bytes, claims.REMEMBERED_BYTES)
        self.assertIsNone(memory.get("0"))
        memory.put("new", claims.Claim(record, 1e6), 1e6)
        self.assertEqual(["new"], memory.keys())
