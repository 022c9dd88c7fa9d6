"""Records and digests in the answer of a search."""

import math
import struct

RECORD_BYTES = 16
"""Size of a record in the reply of a shard; shorter remainders are no records."""

MAX_DIGEST_LINE_BYTES = 3000
"""Length at which the list of digests goes on in another header line."""


def count_least(share, total):
    """Return the smallest number of shards that makes up a share, at least one."""
    return max(math.ceil(share * total - 1e-9), 1)


class RecordMerge:
    """The greatest records of the parts that have arrived.

    Parameters
    ----------
    top : int
        Number of records to keep.
    """

    __slots__ = ("_top", "_records", "_least")

    def __init__(self, top):
        self._top = top
        self._records = []
        self._least = b""

    def add(self, body):
        """Take the records of one part; a shorter remainder is no record."""
        count = len(body) // RECORD_BYTES
        records = struct.unpack_from("16s" * count, body)
        least = self._least
        # A record equal to the least one kept would not change the result.
        self._records += [record for record in records if record > least]
        if len(self._records) > 2 * self._top:
            self._trim()

    def build(self):
        """Return the records, greatest first."""
        self._trim()
        return b"".join(self._records)

    def _trim(self):
        self._records.sort(reverse=True)
        del self._records[self._top :]
        if len(self._records) == self._top and self._top:
            self._least = self._records[-1]


def join_digests(digests):
    """Return the digests as values of one or more header lines."""
    lines = []
    current = []
    size = 0
    for digest in digests:
        if current and size + len(digest) > MAX_DIGEST_LINE_BYTES:
            lines.append(b", ".join(current))
            current, size = [], 0
        current.append(digest)
        size += len(digest) + 2
    lines.append(b", ".join(current))
    return lines
