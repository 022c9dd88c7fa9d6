"""Tests of the records in the answer of a search."""

import random

import testtools

from tarragonchute import records
from tarragonchute.records import RecordMerge


class RecordMergeTests(testtools.TestCase):
    """The greatest records of all parts."""

    def test_result_equals_a_sort_of_everything(self):
        """Guards against a record that is lost or out of order."""
        source = random.Random(5)
        for top in (0, 1, 5, 50, 5000):
            merge = RecordMerge(top)
            sent = []
            for _ in range(30):
                part = [source.randbytes(16) for _ in range(source.randrange(90))]
                sent += part
                merge.add(b"".join(part) + b"short")
            expected = b"".join(sorted(sent, reverse=True)[:top])
            self.assertEqual(expected, merge.build())

    def test_equal_records_all_count(self):
        """Guards against records that are dropped because they are equal."""
        merge = RecordMerge(3)
        for _ in range(4):
            merge.add(b"a" * records.RECORD_BYTES)
        self.assertEqual(b"a" * 48, merge.build())
