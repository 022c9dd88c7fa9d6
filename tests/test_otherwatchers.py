"""Tests of asking other VMs for the revision that they have received."""

import testtools
import trio

from tarragonchute import httpio, otherwatchers
from tarragonchute.errors import RelayUnavailableError
from tarragonchute.fleet import Fleet, VmInfo
from tarragonchute.otherwatchers import OtherWatchers
from tarragonchute.peers import MAX_POLL_HOLD_S, PEER_TIMEOUT_S

from .test_httpio import reserve_closed_port, start_server
from .test_peers import open_relay
from .trial import run_async


def build_fleet(*others):
    """Return the fleet of ``vm-own`` in domain ``d`` and others as (domain, address).

    Each other VM is the only one of its domain, or shares domain ``d``.
    """
    fleet = Fleet(VmInfo("vm-own", "d", "127.0.0.1:1"))
    for number, (domain, address) in enumerate(others):
        key = f'{{"domain": "{domain}", "address": "{address}"}}'
        fleet.apply(f"vm-{number}", key, 0.0)
    return fleet


async def find_error(watchers, after):
    """Return the error of asking for a revision, or None."""
    try:
        await watchers.wait_for_revision(after)
    except RelayUnavailableError as error:
        return error
    return None


class OtherWatchersTests(testtools.TestCase):
    """Which VM is asked, and what follows from its answers."""

    @run_async
    async def test_revision_is_told_when_it_changes(self):
        """Guards against a VM that does not learn that its watch misses a change."""
        async with open_relay() as (store, watcher, address):
            watchers = OtherWatchers(build_fleet(("e", address)))
            after = watcher.revision
            with trio.fail_after(MAX_POLL_HOLD_S + PEER_TIMEOUT_S):
                self.assertEqual(after, await watchers.wait_for_revision(after))
            await store.put("b", "2", 0)
            with trio.fail_after(PEER_TIMEOUT_S):
                revision = await watchers.wait_for_revision(after)
            self.assertGreater(revision, after)

    @run_async
    async def test_vm_that_cannot_tell_is_not_asked_again_at_once(self):
        """Guards against asking a VM that is gone or cut off instead of another one."""
        async with open_relay() as (_, watcher, address):
            after = watcher.revision - 1
            closed = await reserve_closed_port()

            async def refuse(_request):
                return httpio.HttpResponse(503)

            async with start_server(refuse) as refusing:
                others = [("e", closed), ("f", refusing), ("g", address)]
                watchers = OtherWatchers(build_fleet(*others))
                revision = None
                for _ in others:
                    if await find_error(watchers, after) is None:
                        revision = await watchers.wait_for_revision(after)
                        break
                self.assertEqual(watcher.revision, revision)

    @run_async
    async def test_malformed_answer_is_an_error(self):
        """Guards against a malformed answer that ends the process."""
        for body in ({}, [], {"revision": "7"}, {"revision": None}):

            async def handle(_request, body=body):
                return httpio.HttpResponse.from_json(body)

            async with start_server(handle) as address:
                watchers = OtherWatchers(build_fleet(("e", address)))
                self.assertIsNotNone(await find_error(watchers, 1))

    @run_async
    async def test_other_domains_are_asked_first(self):
        """Guards against comparing with a VM that the same fault affects."""
        now = 0.0
        asked = []
        watchers = OtherWatchers(
            build_fleet(
                *(("d", f"127.0.0.2:{port}") for port in range(1, 40)),
                ("e", "127.0.0.3:1"),
                ("f", "127.0.0.3:2"),
            ),
            clock=lambda: now,
        )
        while (address := watchers._choose_address()) is not None:
            asked.append(address)
            watchers._excluded_at[address] = now
        self.assertEqual({"127.0.0.3:1", "127.0.0.3:2"}, set(asked[:2]))
        self.assertGreater(len(asked), 2)
        now += otherwatchers.EXCLUSION_S
        self.assertEqual(asked[0], watchers._choose_address())

    @run_async
    async def test_single_vm_has_no_other(self):
        """Guards against a VM that compares its watch with itself."""
        self.assertIsNotNone(await find_error(OtherWatchers(build_fleet()), 1))
