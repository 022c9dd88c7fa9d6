"""Tests of the key-value service: the fake, and the client against the stand-in."""

import contextlib
import functools

import testtools
import trio
from trio.testing import MockClock

from standins.store import StoreServer
from tarragonchute import errors
from tarragonchute.httpio import HttpResponse
from tarragonchute.store import (
    MAX_VALUE_BYTES,
    HttpStore,
    LeaseNotFoundError,
    MemoryStore,
)
from tests.test_httpio import reserve_closed_port, start_server


@contextlib.asynccontextmanager
async def open_memory_store():
    """Yield ``(store, fake)``, here the same object."""
    fake = MemoryStore()
    yield fake, fake


@contextlib.asynccontextmanager
async def open_http_store():
    """Yield ``(store, fake)``: a client, and the fake inside the stand-in server."""
    server = StoreServer()
    async with start_server(server.handle) as address:
        store = HttpStore(address)
        yield store, server.store
        store.close()


def with_store(test):
    """Run an async test with the store under test and the fake behind it."""

    @functools.wraps(test)
    def run(self):
        async def main():
            async with self.open_store() as (store, fake):
                await test(self, store, fake)

        trio.run(main, clock=self.make_clock())

    return run


class StoreTests:
    """Behaviour that both implementations must have."""

    @with_store
    async def test_compare_and_swap(self, store, fake):
        """Guards against a lost update, and a conflict without the current entry."""
        self.assertIsNone(await store.get("a/b c"))
        first = await store.put("a/b c", "1", 0)
        with testtools.ExpectedException(errors.StoreConflictError):
            await store.put("a/b c", "2", 0)
        second = await store.put("a/b c", "2", first)
        self.assertGreater(second, first)
        try:
            await store.put("a/b c", "3", first)
        except errors.StoreConflictError as error:
            self.assertEqual("2", error.entry.value)
            self.assertEqual(second, error.entry.revision)
        else:
            self.fail("the second write did not raise a conflict")
        await store.delete("a/b c", second)
        self.assertIsNone(await store.get("a/b c"))
        with testtools.ExpectedException(errors.StoreConflictError):
            await store.delete("a/b c", second)
        await store.put("a/b c", "4", 0)
        self.assertEqual(5, store.calls["put"])

    @with_store
    async def test_list_and_watch(self, store, fake):
        """Guards against changes and deletions that a watch misses."""
        await store.put("x/1", "a", 0)
        await store.put("y/1", "a", 0)
        entries, revision = await store.list("x/")
        self.assertEqual(["x/1"], [entry.key for entry in entries])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.put, "x/2", "b", 0)
            entries, after = await store.watch("x/", revision, 5.0)
        self.assertEqual([("x/2", "b")], [(e.key, e.value) for e in entries])
        await store.delete("x/2", after)
        entries, after = await store.watch("x/", after, 5.0)
        self.assertEqual([("x/2", None)], [(e.key, e.value) for e in entries])
        self.assertEqual(([], after), await store.watch("x/", after, 0.01))

    @with_store
    async def test_lost_response_and_lost_write(self, store, fake):
        """Guards against a write of unknown outcome reported as not executed."""
        fake.lose_answers = 1
        with testtools.ExpectedException(errors.StoreOutcomeUnknownError):
            await store.put("k", "1", 0)
        self.assertEqual("1", (await store.get("k")).value)
        fake.lose_writes = 1
        with testtools.ExpectedException(errors.StoreOutcomeUnknownError):
            await store.put("k", "2", 1)
        self.assertEqual("1", (await store.get("k")).value)

    @with_store
    async def test_unavailable_store(self, store, fake):
        """Guards against a write that is reported as not executed and takes effect."""
        fake.is_unavailable = True
        for call in (store.get("k"), store.put("k", "1", 0), store.watch("", 0, 1)):
            with testtools.ExpectedException(errors.StoreUnavailableError):
                await call
        fake.is_unavailable = False
        self.assertIsNone(await store.get("k"))

    @with_store
    async def test_restored_backup_shows_a_lower_revision(self, store, fake):
        """Guards against a watch that never returns after a restore from a backup.

        The revision then falls below the one after which the watch waits.
        """
        await store.put("k", "1", 0)
        backup = fake.save_backup()
        await store.put("k", "2", 1)
        fake.restore_backup(backup)
        self.assertEqual("1", (await store.get("k")).value)
        self.assertEqual(([], 1), await store.watch("", 2, 60.0))

    @with_store
    async def test_leases(self, store, fake):
        """Guards against keys that outlive their lease, and an unreported expiry."""
        lease = await store.grant_lease(60.0)
        revision = await store.put("k", "1", 0, lease)
        await store.renew_lease(lease)
        fake.expire_leases()
        entries, _ = await store.watch("", revision, 5.0)
        self.assertEqual([("k", None)], [(e.key, e.value) for e in entries])
        with testtools.ExpectedException(LeaseNotFoundError):
            await store.renew_lease(lease)
        with testtools.ExpectedException(LeaseNotFoundError):
            await store.put("k", "1", 0, lease)

    @with_store
    async def test_value_size_is_limited(self, store, fake):
        """Guards against a value above the store's limit; it is in bytes of UTF-8."""
        await store.put("k", "\u00e9" * (MAX_VALUE_BYTES // 2), 0)
        with testtools.ExpectedException(errors.BadRequestError):
            await store.put("k2", "x" * (MAX_VALUE_BYTES + 1), 0)


class MemoryStoreTests(StoreTests, testtools.TestCase):
    """The in-memory fake, in virtual time."""

    open_store = staticmethod(open_memory_store)

    def make_clock(self):
        return MockClock(autojump_threshold=0)

    @with_store
    async def test_lease_ends_by_time(self, store, fake):
        """Guards against a waiting watch that does not notice the end of a lease."""
        lease = await store.grant_lease(1.0)
        revision = await store.put("k", "1", 0, lease)
        await trio.sleep(0.5)
        await store.renew_lease(lease)
        started_at = trio.current_time()
        entries, _ = await store.watch("k", revision, 60.0)
        self.assertIsNone(entries[0].value)
        self.assertEqual(1.0, trio.current_time() - started_at)


class HttpStoreTests(StoreTests, testtools.TestCase):
    """The HTTP client against the stand-in server in this process."""

    open_store = staticmethod(open_http_store)

    def make_clock(self):
        return None

    @with_store
    async def test_slow_store(self, store, fake):
        """Guards against a timed-out write that is reported as not executed."""
        fake.delay_s = 60.0
        store._timeout_s = 0.02
        with testtools.ExpectedException(errors.StoreUnavailableError):
            await store.get("k")
        with testtools.ExpectedException(errors.StoreOutcomeUnknownError):
            await store.put("k", "1", 0)

    @with_store
    async def test_unreachable_store(self, store, fake):
        """Guards against an unsent write that is reported with an unknown outcome."""
        with testtools.ExpectedException(errors.StoreUnavailableError):
            await HttpStore(await reserve_closed_port()).put("k", "1", 0)

    @with_store
    async def test_connections_are_reused(self, store, fake):
        """Guards against a connection per call, and calls that wait behind a watch."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.watch, "w", 0, 5.0)
            for number in range(5):
                await store.put(f"k{number}", "1", 0)
            await store.put("w", "1", 0)
        self.assertEqual(1, store._transport._pool.connections)
        self.assertEqual(1, store._transport._watch_pool.connections)

    @with_store
    async def test_malformed_responses(self, store, fake):
        """Guards against a malformed response to a write that is taken as a success."""

        async def handle(request):
            return HttpResponse(*responses[-1])

        responses = [(200, b"{}"), (200, b"[]"), (500, b"{}"), (502, b"<html>")]
        async with start_server(handle) as address:
            client = HttpStore(address)
            while responses:
                with testtools.ExpectedException(errors.StoreOutcomeUnknownError):
                    await client.put("k", "1", 0)
                with testtools.ExpectedException(errors.StoreUnavailableError):
                    await client.get("k")
                responses.pop()
