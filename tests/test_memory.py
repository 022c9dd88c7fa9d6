"""Tests of the account of connections and of the bytes held for them."""

import testtools

from tarragonchute.memory import (
    ANSWER_DROPPED,
    CONNECTION_CLOSED,
    CONNECTION_REFUSED,
    MIN_INACTIVE_S,
    MIN_UNUSED_S,
    REQUEST_REFUSED,
    RESERVED_DESCRIPTORS,
    SMALL_BYTES,
    MemoryAccount,
    MemoryLimits,
    Phase,
    Source,
)

LARGE_BYTES = 1_000_000


class LimitTests(testtools.TestCase):
    """Limits from the memory and the descriptors in the settings."""

    def test_parts_fit_into_the_machine(self):
        """Guards against limits that add up to more than the memory of the machine."""
        for memory_mb in (160, 200, 300, 552):
            for descriptors in (256, 1024, 4096, 65_536):
                limits = MemoryLimits(memory_mb, descriptors)
                connection = 24 * 1024 + 2 * limits.kernel_buffer_bytes
                used = limits.held_bytes + limits.reply_bytes
                used += limits.caller_connections * connection
                self.assertLess(used + 48e6, memory_mb * 1e6)
                self.assertGreaterEqual(limits.caller_connections, 32)

    def test_largest_request_fits_into_the_smallest_machine(self):
        """Guards against a single request inside the limits that is refused.

        Its body is held twice while it runs; its answer may have 8 MB.
        """
        for memory_mb in (0, 160):
            account = MemoryAccount(MemoryLimits(memory_mb, 1024))
            holding = account.open(Source.CALLER, None, 0.0)
            size = 16_384 + 2 * 262_144
            self.assertTrue(account.enter(holding, Phase.READING, size, 0.0))
            self.assertFalse(account.must_pause(holding))
            self.assertTrue(account.enter(holding, Phase.RUNNING, size, 0.0))
            answer = 6 * 1024 * 1024
            self.assertTrue(account.enter(holding, Phase.SENDING, answer, 0.0))


class Crowd:
    """An account of 100 large connections, and their closed connections."""

    def __init__(self, descriptors=1024):
        limits = MemoryLimits(160, descriptors)
        limits.held_bytes = 100 * LARGE_BYTES
        self.account = MemoryAccount(limits)
        self.closed = []

    def add(self, name, phase, size, now, source=Source.CALLER):
        """Add a connection; returns its holding, or None if it is refused."""
        holding = self.account.open(source, lambda: self.closed.append(name), now)
        if holding is not None and phase is not Phase.UNUSED:
            self.account.enter(holding, phase, size, now)
        return holding


class HeldBytesTests(testtools.TestCase):
    """Who waits, is refused or closed when the held bytes reach the limit."""

    def test_largest_and_slowest_is_closed_first(self):
        """Guards against closing an ordinary caller for one that does not read."""
        crowd = Crowd()
        crowd.add("small", Phase.SENDING, SMALL_BYTES, 0.0)
        crowd.add("stalled", Phase.SENDING, 30 * LARGE_BYTES, 0.0)
        crowd.add("fresh", Phase.SENDING, 40 * LARGE_BYTES, 9.9)
        holding = crowd.add("new", Phase.READING, 10 * LARGE_BYTES, 10.0)
        self.assertEqual(["stalled"], crowd.closed)
        self.assertEqual(30 * LARGE_BYTES, crowd.account.closing_bytes)
        self.assertFalse(holding.is_closing)
        self.assertEqual({ANSWER_DROPPED: 1}, crowd.account.list_new_events())
        self.assertEqual({}, crowd.account.list_new_events())

    def test_dripping_body_counts_as_slow(self):
        """Guards against a body that stays because a byte arrives now and then."""
        crowd = Crowd()
        dripping = crowd.add("dripping", Phase.READING, 30 * LARGE_BYTES, 0.0)
        crowd.account.resize(dripping, 30 * LARGE_BYTES + 1, 9.9)
        crowd.add("fresh", Phase.READING, 44 * LARGE_BYTES, 9.9)
        crowd.add("new", Phase.READING, 2 * LARGE_BYTES, 10.0)
        self.assertEqual(["dripping"], crowd.closed)
        self.assertTrue(dripping.is_refused)
        self.assertEqual({REQUEST_REFUSED: 1}, crowd.account.list_new_events())

    def test_running_request_is_not_closed(self):
        """Guards against a refusal of a request that may have run."""
        crowd = Crowd()
        for number in range(74):
            crowd.add(number, Phase.RUNNING, LARGE_BYTES, 0.0)
        refused = crowd.add("new", Phase.READING, 2 * LARGE_BYTES, 10.0)
        self.assertTrue(refused.is_refused)
        self.assertEqual([], crowd.closed)
        self.assertFalse(crowd.account.enter(refused, Phase.RUNNING, 0, 10.0))
        crowd.account.release(refused)
        self.assertEqual(0, crowd.account.closing_bytes)
        self.assertEqual(74 * LARGE_BYTES, crowd.account.held_bytes)

    def test_small_requests_have_room_beside_large_ones(self):
        """Guards against ordinary callers who are refused while large requests run."""
        crowd = Crowd()
        for number in range(90):
            crowd.add(number, Phase.RUNNING, LARGE_BYTES, 0.0)
        small = crowd.add("small", Phase.READING, SMALL_BYTES, 1.0)
        self.assertTrue(crowd.account.enter(small, Phase.RUNNING, SMALL_BYTES, 1.0))

    def test_large_request_waits_before_it_is_read_on(self):
        """Guards against reading a crowd of bodies until some have to be refused."""
        crowd = Crowd()
        large = crowd.add("large", Phase.READING, LARGE_BYTES, 0.0)
        small = crowd.add("small", Phase.READING, SMALL_BYTES, 0.0)
        self.assertFalse(crowd.account.must_pause(large))
        running = crowd.add("running", Phase.RUNNING, 50 * LARGE_BYTES, 0.0)
        self.assertTrue(crowd.account.must_pause(large))
        self.assertFalse(crowd.account.must_pause(small))
        crowd.account.release(running)
        self.assertFalse(crowd.account.must_pause(large))

    def test_reservation_for_a_subsearch(self):
        """Guards against requests of other VMs that have no limit."""
        account = Crowd().account
        self.assertTrue(account.reserve(70 * LARGE_BYTES))
        self.assertFalse(account.reserve(10 * LARGE_BYTES))
        account.cancel_reservation(70 * LARGE_BYTES)
        self.assertEqual(0, account.held_bytes)


class ConnectionLimitTests(testtools.TestCase):
    """Who is closed or refused when the number of connections reaches the limit."""

    CONNECTIONS = 40

    def build(self, phase, source=Source.CALLER):
        crowd = Crowd(RESERVED_DESCRIPTORS + self.CONNECTIONS)
        limit = crowd.account.get_connection_limit(source)
        for number in range(limit):
            crowd.add(number, phase, 10, number / 1000, source)
        return crowd

    def test_longest_inactive_is_closed_for_a_new_one(self):
        """Guards against silent or dripping connections that keep callers out."""
        for phase in (Phase.UNUSED, Phase.READING, Phase.SENDING, Phase.IDLE):
            crowd = self.build(phase)
            self.assertIsNone(crowd.add("early", Phase.UNUSED, 0, MIN_UNUSED_S / 2))
            self.assertIsNotNone(crowd.add("new", Phase.UNUSED, 0, MIN_INACTIVE_S))
            self.assertEqual([0], crowd.closed, phase)
            events = {CONNECTION_REFUSED: 1, CONNECTION_CLOSED: 1}
            self.assertEqual(events, crowd.account.list_new_events())

    def test_answers_end_connections_after_a_refusal(self):
        """Guards against busy connections that keep all new callers out."""
        account = self.build(Phase.RUNNING).account
        self.assertFalse(account.is_crowded(Source.CALLER, 1.0))
        self.assertIsNone(account.open(Source.CALLER, None, 1.0))
        self.assertTrue(account.is_crowded(Source.CALLER, 1.5))
        self.assertFalse(account.is_crowded(Source.INTERNAL, 1.5))
        self.assertFalse(account.is_crowded(Source.CALLER, 3.0))

    def test_reader_of_a_long_answer_is_kept(self):
        """Guards against closing a caller that takes its answer all the time."""
        crowd = self.build(Phase.RUNNING)
        taking = crowd.add("taking", Phase.SENDING, 10, 0.0)
        self.assertIsNone(taking)
        account = crowd.account
        (first, *_) = account.list_holdings(Source.CALLER, Phase.RUNNING)
        account.enter(first, Phase.SENDING, 10, 0.0)
        account.record_progress(first, 1.5)
        self.assertIsNone(crowd.add("new", Phase.UNUSED, 0, 2.0))
        self.assertIsNotNone(crowd.add("new", Phase.UNUSED, 0, 2.5))
        self.assertEqual([0], crowd.closed)

    def test_idle_channels_are_kept(self):
        """Guards against channels of other VMs that are closed while they work."""
        crowd = self.build(Phase.IDLE, Source.CHANNEL)
        self.assertIsNone(crowd.add("new", Phase.UNUSED, 0, 60.0, Source.CHANNEL))
        self.assertEqual([], crowd.closed)

    def test_other_descriptors_leave_less_for_callers(self):
        """Guards against callers that take the descriptors of targets."""
        account = Crowd(1024).account
        before = account.get_connection_limit(Source.CALLER)
        account.other_descriptors = 500
        limit = account.get_connection_limit(Source.CALLER)
        self.assertLess(limit, min(before, 524))
        account.other_descriptors = 5000
        self.assertEqual(32, account.get_connection_limit(Source.CALLER))
