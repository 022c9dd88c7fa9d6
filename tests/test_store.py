"""Tests of the key-value service: the twin, and the client against the stand-in."""

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
    """Yield ``(store, twin)``, here the same object."""
    twin = MemoryStore()
    yield twin, twin


@contextlib.asynccontextmanager
async def open_http_store():
    """Yield ``(store, twin)``: a client, and the twin inside its stand-in."""
    server = StoreServer()
    async with start_server(server.handle) as address:
        store = HttpStore(address)
        yield store, server.store
        store.close()


def with_store(test):
    """Run an async test with the store under test and the twin behind it."""

    @functools.wraps(test)
    def run(self):
        async def main():
            async with self.open_store() as (store, twin):
                await test(self, store, twin)

        trio.run(main, clock=self.make_clock())

    return run


class StoreTests:
    """What both implementations must do."""

    @with_store
    async def test_compare_and_swap(self, store, twin):
        """Guards against a lost update and against a wrong current entry."""
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
            self.fail("the second writer was not refused")
        await store.delete("a/b c", second)
        self.assertIsNone(await store.get("a/b c"))
        with testtools.ExpectedException(errors.StoreConflictError):
            await store.delete("a/b c", second)
        await store.put("a/b c", "4", 0)
        self.assertEqual(5, store.calls["put"])

    @with_store
    async def test_list_and_watch(self, store, twin):
        """Guards against missed changes and deletions."""
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
    async def test_lost_answer_and_lost_write(self, store, twin):
        """Guards against a write of unknown outcome reported as not run."""
        twin.lose_answers = 1
        with testtools.ExpectedException(errors.StoreOutcomeUnknownError):
            await store.put("k", "1", 0)
        self.assertEqual("1", (await store.get("k")).value)
        twin.lose_writes = 1
        with testtools.ExpectedException(errors.StoreOutcomeUnknownError):
            await store.put("k", "2", 1)
        self.assertEqual("1", (await store.get("k")).value)

    @with_store
    async def test_outage(self, store, twin):
        """Guards against an effect of a refused call."""
        twin.is_unavailable = True
        for call in (store.get("k"), store.put("k", "1", 0), store.watch("", 0, 1)):
            with testtools.ExpectedException(errors.StoreUnavailableError):
                await call
        twin.is_unavailable = False
        self.assertIsNone(await store.get("k"))

    @with_store
    async def test_restored_backup_shows_a_lower_revision(self, store, twin):
        """Guards against a watcher that waits without end after a restore."""
        await store.put("k", "1", 0)
        backup = twin.save_backup()
        await store.put("k", "2", 1)
        twin.restore_backup(backup)
        self.assertEqual("1", (await store.get("k")).value)
        self.assertEqual(([], 1), await store.watch("", 2, 60.0))

    @with_store
    async def test_leases(self, store, twin):
        """Guards against keys that outlive their lease, and unseen expiries."""
        lease = await store.grant_lease(60.0)
        revision = await store.put("k", "1", 0, lease)
        await store.renew_lease(lease)
        twin.expire_leases()
        entries, _ = await store.watch("", revision, 5.0)
        self.assertEqual([("k", None)], [(e.key, e.value) for e in entries])
        with testtools.ExpectedException(LeaseNotFoundError):
            await store.renew_lease(lease)
        with testtools.ExpectedException(LeaseNotFoundError):
            await store.put("k", "1", 0, lease)

    @with_store
    async def test_large_value(self, store, twin):
        """Guards against a value that the store cannot hold."""
        await store.put("k", "\u00e9" * (MAX_VALUE_BYTES // 2), 0)
        with testtools.ExpectedException(errors.BadRequestError):
            await store.put("k2", "x" * (MAX_VALUE_BYTES + 1), 0)


class MemoryStoreTests(StoreTests, testtools.TestCase):
    """The in-memory twin, in virtual time."""

    open_store = staticmethod(open_memory_store)

    def make_clock(self):
        return MockClock(autojump_threshold=0)

    @with_store
    async def test_lease_ends_by_time(self, store, twin):
        """Guards against a waiting watch that does not see a key expire."""
        lease = await store.grant_lease(1.0)
        revision = await store.put("k", "1", 0, lease)
        await trio.sleep(0.5)
        await store.renew_lease(lease)
        started_at = trio.current_time()
        entries, _ = await store.watch("k", revision, 60.0)
        self.assertIsNone(entries[0].value)
        self.assertEqual(1.0, trio.current_time() - started_at)


class HttpStoreTests(StoreTests, testtools.TestCase):
    """The client against the stand-in in this process."""

    open_store = staticmethod(open_http_store)

    def make_clock(self):
        return None

    @with_store
    async def test_slow_store(self, store, twin):
        """Guards against a timeout that is taken for a write that did not run."""
        twin.delay_s = 60.0
        store._timeout_s = 0.02
        with testtools.ExpectedException(errors.StoreUnavailableError):
            await store.get("k")
        with testtools.ExpectedException(errors.StoreOutcomeUnknownError):
            await store.put("k", "1", 0)

    @with_store
    async def test_dead_store(self, store, twin):
        """Guards against an unsent write whose outcome is called unknown."""
        with testtools.ExpectedException(errors.StoreUnavailableError):
            await HttpStore(await reserve_closed_port()).put("k", "1", 0)

    @with_store
    async def test_connections_are_reused(self, store, twin):
        """Guards against a new connection for each call, and against waiting calls."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(store.watch, "w", 0, 5.0)
            for number in range(5):
                await store.put(f"k{number}", "1", 0)
            await store.put("w", "1", 0)
        self.assertEqual(1, store._caller._pool.connections)
        self.assertEqual(1, store._caller._watch_pool.connections)

    @with_store
    async def test_malformed_answers(self, store, twin):
        """Guards against an odd answer to a write that is taken for a success."""

        async def handle(request):
            return HttpResponse(*answers[-1])

        answers = [(200, b"{}"), (200, b"[]"), (500, b"{}"), (502, b"<html>")]
        async with start_server(handle) as address:
            odd = HttpStore(address)
            while answers:
                with testtools.ExpectedException(errors.StoreOutcomeUnknownError):
                    await odd.put("k", "1", 0)
                with testtools.ExpectedException(errors.StoreUnavailableError):
                    await odd.get("k")
                answers.pop()
