"""Tests of claim records, the write budget and the claim cache."""

import testtools

from tarragonchute import claims, errors


class RecordTests(testtools.TestCase):
    """Encoding and parsing of records."""

    def test_round_trip_and_malformed_text(self):
        """Guards against a record that other VMs cannot parse.

        After the claiming VM has died, another one reads the outcome from its
        record. A malformed record must raise `ProtocolError`, no other exception.
        """
        record = claims.ClaimRecord("done", "claim", "vm", "digest", 1.5, {"seat": 1})
        parsed = claims.ClaimRecord.from_text(record.to_text())
        self.assertEqual(record.to_text(), parsed.to_text())
        for text in ("", "[]", "{}", '{"state": "done"}', "1"):
            self.assertRaises(errors.ProtocolError, claims.ClaimRecord.from_text, text)


class WriteBudgetTests(testtools.TestCase):
    """A VM's share of the store's write rate."""

    def test_members_share_135_bookings_a_second(self):
        """Guards against bookings that use up the writes for views and settings.

        300 writes/s, of which 90 % for bookings at 2 writes each, make 135
        bookings/s in all, however many members share them.
        """
        for members in (1, 3, 9, 270, 1600):
            budget = claims.WriteBudget(lambda members=members: members)
            while budget.try_spend(2, 0.0):
                pass
            spent = sum(budget.try_spend(2, step / 1000) for step in range(10_000))
            self.assertAlmostEqual(135 * 10 / members, spent, delta=1)


class ClaimCacheTests(testtools.TestCase):
    """Limits of the claim cache."""

    def test_cache_is_bounded(self):
        """Guards against a VM that runs out of cache over a day of bookings.

        Results of 4000 bytes exceed the limit in bytes before the limit in
        number. Claims past the maximum age are evicted by the next one.
        """
        cache = claims.ClaimCache()
        for number in range(claims.MAX_CACHED_CLAIMS + 5):
            record = claims.ClaimRecord("done", "c", "vm", "digest", 0.0, "x" * 4000)
            cache.put(str(number), claims.Claim(record, 0.0), 0.0)
        self.assertLessEqual(cache._bytes, claims.MAX_CACHED_BYTES)
        self.assertIsNone(cache.get("0"))
        cache.put("new", claims.Claim(record, 1e6), 1e6)
        self.assertEqual(["new"], cache.keys())
