"""Records and digests in the answer to a search over several shards."""

import math
import struct

RECORD_BYTES = 16
"""Size of a record in the reply of a shard. A shorter remainder is ignored."""

MAX_DIGEST_LINE_BYTES = 3000
"""Greatest length of a digest header line; longer lists use several lines."""


def compute_min_shards(coverage, total):
    """Return the smallest number of shards that reaches a coverage, at least one.

    Parameters
    ----------
    coverage : float
        Fraction of all shards, from 0 to 1.
    total : int
        Number of all shards.
    """
    # The subtraction keeps rounding errors of the product from adding a shard.
    return max(math.ceil(coverage * total - 1e-9), 1)


class RecordMerge:
    """Merges shard replies and keeps the greatest records in byte order.

    Parameters
    ----------
    top : int
        Number of records to keep.
    """

    __slots__ = ("_top", "_records", "_smallest_kept")

    def __init__(self, top):
        self._top = top
        self._records = []
        self._smallest_kept = b""

    def add(self, body):
        """Add the records of one shard's reply body."""
        count = len(body) // RECORD_BYTES
        records = struct.unpack_from("16s" * count, body)
        smallest_kept = self._smallest_kept
        # A record equal to the smallest one kept would not change the result.
        self._records += [record for record in records if record > smallest_kept]
        if len(self._records) > 2 * self._top:
            self._trim()

    def build(self):
        """Return the kept records joined, greatest first."""
        self._trim()
        return b"".join(self._records)

    def _trim(self):
        self._records.sort(reverse=True)
        del self._records[self._top :]
        if len(self._records) == self._top and self._top:
            self._smallest_kept = self._records[-1]


def join_digests(digests):
    """Return the comma-separated digests as values of one or more header lines."""
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
