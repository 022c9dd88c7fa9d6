"""Tests of the VM list: the fake, and the client against the stand-in."""

import testtools
import trio
from trio.testing import MockClock

from standins.vmlist import VmListServer
from tarragonchute.errors import StoreUnavailableError
from tarragonchute.httpio import HttpResponse
from tarragonchute.vmlist import HttpVmList, MemoryVmList, VmState
from tests.test_httpio import start_server


class MemoryVmListTests(testtools.TestCase):
    """The in-memory fake, in virtual time."""

    def test_changes_appear_after_the_lag(self):
        """Guards against a fake that shows changes without the platform's lag."""

        async def main():
            vm_list = MemoryVmList({"vm-1": "a"})
            vm_list.lag_s = 5.0
            await trio.sleep(10.0)
            vm_list.set_state("vm-1", VmState.GONE)
            await trio.sleep(4.0)
            before = await vm_list.fetch()
            await trio.sleep(1.0)
            return before, await vm_list.fetch()

        before, after = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertEqual({"vm-1": VmState.LIVE}, before)
        self.assertEqual({"vm-1": VmState.GONE}, after)


class HttpVmListTests(testtools.TestCase):
    """The HTTP client against a server on a loopback socket."""

    def run_test(self, handler, test):
        async def main():
            async with start_server(handler) as address:
                vm_list = HttpVmList(address)
                await test(vm_list)
                vm_list.close()

        trio.run(main)

    def test_states_and_unavailable_list(self):
        """Guards against an unavailable list that is read as an empty one."""
        server = VmListServer({"vm-1": "a", "vm-2": "b"})

        async def test(vm_list):
            server.vm_list.set_state("vm-2", VmState.LEAVING)
            expected = {"vm-1": VmState.LIVE, "vm-2": VmState.LEAVING}
            self.assertEqual(expected, await vm_list.fetch())
            server.vm_list.is_unavailable = True
            with testtools.ExpectedException(StoreUnavailableError):
                await vm_list.fetch()
            server.vm_list.is_unavailable = False
            self.assertEqual(expected, await vm_list.fetch())

        self.run_test(server.handle, test)

    def test_malformed_list_is_rejected(self):
        """Guards against a crash, and against an unknown state read as gone."""
        bodies = [b"{}", b"[]", b"x", b'{"vms": [{"vm_id": "a", "state": "odd"}]}']

        async def handle(request):
            return HttpResponse(200, bodies.pop())

        async def test(vm_list):
            while bodies:
                with testtools.ExpectedException(StoreUnavailableError):
                    await vm_list.fetch()

        self.run_test(handle, test)
