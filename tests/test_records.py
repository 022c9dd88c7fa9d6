"""Tests of merging the records of shard replies."""

import random

import testtools

from tarragonchute import records
from tarragonchute.records import RecordMerge


class RecordMergeTests(testtools.TestCase):
    """The greatest records of all replies."""

    def test_result_equals_a_sort_of_all_records(self):
        """Guards against records lost or out of order when the merge trims its list."""
        generator = random.Random(5)
        for top in (0, 1, 5, 50, 5000):
            merge = RecordMerge(top)
            sent = []
            for _ in range(30):
                reply = [
                    generator.randbytes(16) for _ in range(generator.randrange(90))
                ]
                sent += reply
                merge.add(b"".join(reply) + b"short")
            expected = b"".join(sorted(sent, reverse=True)[:top])
            self.assertEqual(expected, merge.build())

    def test_equal_records_are_all_kept(self):
        """Guards against dropping records because they are equal."""
        merge = RecordMerge(3)
        for _ in range(4):
            merge.add(b"a" * records.RECORD_BYTES)
        self.assertEqual(b"a" * 48, merge.build())
