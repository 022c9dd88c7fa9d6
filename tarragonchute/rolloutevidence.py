"""Evidence about the versions of a service, and the comparison of a new version.

A bad answer is a failure, or a reply far slower than the old versions' median on the
same route. The share of bad answers of the new version is compared with that of the old
versions, which contains their own slow replies, by a one-sided test.
"""

import enum
import math

BUCKET_BASE = 1.1
"""Ratio between the bounds of neighbouring buckets of reply times."""

MIN_BUCKET_S = 1e-4
"""Shorter reply times are counted in the lowest bucket."""

SLOW_FACTOR = 2.5
"""A reply is slow if it takes this many times the median of the old versions. Requests
are hedged at about twice the usual time, so that a larger factor would not count most
of the replies that lose against their hedge."""

SLOW_BUCKETS = math.ceil(math.log(SLOW_FACTOR) / math.log(BUCKET_BASE))

MIN_TIMED_REPLIES = 6
"""Timed replies of the old versions below which their median is not used; with fewer,
the median often varies by more than half."""

MIN_BAD_ANSWERS = 3
"""Bad answers below which a version is never judged bad; one or two may be
lost replies."""

MIN_BAD_SHARE = 0.02
"""Lowest share of bad answers that a good version is assumed to have. Otherwise,
a few lost replies would suffice for a verdict if the old versions had none."""

SHARE_DEVIATIONS = 1.5
"""Standard deviations by which the old versions' share is raised before the test."""

PRIOR_BAD, PRIOR_REPLIES = 0.25, 10.0
"""Added to the old versions' counts, because a share from few replies is not exact."""

BAD_PROBABILITY = 1e-3
"""A version is bad if a good one would show as many bad answers with less than this
probability. The test runs with each report on a few routes. In `bench.rollouts`, 2 of
120 good versions were rolled back, and 38 of 600 bad ones were not, 34 of them at 3
requests/s. With 5e-4 and half of `LAST_PROBABILITY`, and recent answers not compared
alone at the end, it was 2 and 59."""

SUSPECT_PROBABILITY = 0.02
MIN_SUSPECT_ANSWERS = 2
"""As `BAD_PROBABILITY` and `MIN_BAD_ANSWERS`, for a version that must not get more
traffic yet."""

LAST_PROBABILITY = 0.01
"""As `BAD_PROBABILITY`, for the one test before the old version is given up."""


class Outcome(enum.Enum):
    """How an attempt at a target ended, as evidence about the target's version."""

    GOOD = "good"
    FAILED = "failed"
    """The request may have run and failed."""

    ABANDONED = "abandoned"
    """Another attempt was quicker, or the time limit passed."""

    NOT_RUN = "not run"
    """The target refused the request, or it was not sent."""

    IGNORED = "ignored"
    """The request may have run, but says nothing about the version."""


class AnswerCounts:
    """Answers of one version on one route.

    Parameters
    ----------
    failures : int
    untimed : int
        Good replies whose times do not count, because the target was cold.
    times : dict of int to int
        Number of replies by bucket of their times.
    """

    __slots__ = ("failures", "untimed", "times")

    def __init__(self, failures=0, untimed=0, times=None):
        self.failures = failures
        self.untimed = untimed
        self.times = times if times is not None else {}

    def record_time(self, elapsed_s):
        """Count a reply, or an attempt that was abandoned after this time."""
        bucket = find_bucket(elapsed_s)
        self.times[bucket] = self.times.get(bucket, 0) + 1

    def add(self, other):
        """Add the counts of another VM or version."""
        self.failures += other.failures
        self.untimed += other.untimed
        for bucket, count in other.times.items():
            self.times[bucket] = self.times.get(bucket, 0) + count

    def subtract(self, earlier):
        """Return the counts since earlier ones; a restarted VM may have fewer."""
        difference = AnswerCounts(
            max(self.failures - earlier.failures, 0),
            max(self.untimed - earlier.untimed, 0),
        )
        for bucket, count in self.times.items():
            if count > earlier.times.get(bucket, 0):
                difference.times[bucket] = count - earlier.times.get(bucket, 0)
        return difference

    def count_timed(self):
        """Return the number of answers with a time."""
        return sum(self.times.values())

    def count_all(self):
        """Return the number of answers."""
        return self.failures + self.untimed + self.count_timed()

    def find_slow_bucket(self):
        """Return the lowest bucket of slow replies by these answers, or None."""
        timed = self.count_timed()
        if timed < MIN_TIMED_REPLIES:
            return None
        left = timed / 2
        for bucket in sorted(self.times):
            left -= self.times[bucket]
            if left <= 0:
                return bucket + SLOW_BUCKETS
        return None

    def count_bad(self, slow_bucket):
        """Return the number of bad answers; without a bucket, of failures."""
        if slow_bucket is None:
            return self.failures
        slow = sum(n for bucket, n in self.times.items() if bucket >= slow_bucket)
        return self.failures + slow

    def encode(self):
        """Return the counts as JSON."""
        times = [[bucket, count] for bucket, count in self.times.items()]
        return [self.failures, self.untimed, times]


def decode_counts(row):
    """Return the `AnswerCounts` of a message; raises ValueError or TypeError."""
    failures, untimed, times = row
    counts = AnswerCounts(check_count(failures), check_count(untimed))
    for bucket, count in times:
        if not isinstance(bucket, int):
            raise TypeError(f"{bucket!r} is not a bucket")
        counts.times[bucket] = check_count(count)
    return counts


def check_count(value):
    """Return a number of events; raises ValueError if it is none."""
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{value!r} is not a count")
    return value


def find_bucket(elapsed_s):
    """Return the bucket of a reply time."""
    return int(math.log(max(elapsed_s / MIN_BUCKET_S, 1.0)) / math.log(BUCKET_BASE))


class Comparison:
    """Result of comparing a new version with the old ones.

    Parameters
    ----------
    answers, bad : int
        Answers of the new version, and how many of them are bad.
    probability : float
        Probability that a good version shows as many bad answers, on the route on which
        it is lowest, or on all together.
    route : str
        That route; empty for all together.
    """

    __slots__ = ("answers", "bad", "probability", "route")

    def __init__(self, answers, bad, probability, route):
        self.answers = answers
        self.bad = bad
        self.probability = probability
        self.route = route

    @property
    def is_bad(self):
        """Whether the new version has to be rolled back."""
        return self.bad >= MIN_BAD_ANSWERS and self.probability < BAD_PROBABILITY

    @property
    def is_bad_at_last(self):
        """Whether the new version has to be rolled back rather than be `DONE`."""
        return self.bad >= MIN_BAD_ANSWERS and self.probability < LAST_PROBABILITY

    @property
    def is_suspect(self):
        """Whether the new version must not get more traffic yet."""
        if self.bad < MIN_SUSPECT_ANSWERS:
            return False
        return self.probability < SUSPECT_PROBABILITY


def compare(old, new):
    """Return the `Comparison` of a new version with the old ones.

    Parameters
    ----------
    old, new : dict of str to AnswerCounts
        Counts by route.
    """
    answers = bad = 0
    expected = 0.0
    lowest, lowest_route = 1.0, ""
    for route, counts in new.items():
        reference = old.get(route) or AnswerCounts()
        slow_bucket = reference.find_slow_bucket()
        route_answers = counts.count_all()
        route_bad = counts.count_bad(slow_bucket)
        share = _estimate_highest_share(reference, slow_bucket)
        probability = _compute_probability(route_answers, route_bad, share)
        if probability < lowest:
            lowest, lowest_route = probability, route
        answers += route_answers
        bad += route_bad
        expected += route_answers * share
    if answers:
        probability = _compute_probability(answers, bad, expected / answers)
        if probability < lowest:
            lowest, lowest_route = probability, ""
    return Comparison(answers, bad, lowest, lowest_route)


def _estimate_highest_share(reference, slow_bucket):
    """Return the highest likely share of bad answers of a good version."""
    answers = reference.count_all() + PRIOR_REPLIES
    share = (reference.count_bad(slow_bucket) + PRIOR_BAD) / answers
    share += SHARE_DEVIATIONS * math.sqrt(share * (1 - share) / answers)
    return min(max(share, MIN_BAD_SHARE), 1.0)


def _compute_probability(answers, bad, share):
    """Return the probability of at least `bad` bad answers at a share of them."""
    if bad <= answers * share or share >= 1.0:
        return 1.0
    term = math.exp(
        math.lgamma(answers + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(answers - bad + 1)
        + bad * math.log(share)
        + (answers - bad) * math.log1p(-share)
    )
    total = 0.0
    odds = share / (1 - share)
    for count in range(bad, answers + 1):
        total += term
        term *= odds * (answers - count) / (count + 1)
        if term < total * 1e-6:
            break
    return total
