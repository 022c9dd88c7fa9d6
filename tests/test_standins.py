"""Tests of the fake servers as processes."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time

import orjson
import testtools
import trio

from standins.target import SWITCHES
from tarragonchute.errors import StoreOutcomeUnknownError, StoreUnavailableError
from tarragonchute.httpio import HttpConnection
from tarragonchute.store import HttpStore
from tarragonchute.targets import HttpTargetClient, TargetRequest
from tarragonchute.vmlist import HttpVmList

TEST_TIMEOUT_S = 20


@contextlib.contextmanager
def start_process(module, *arguments, ready=1):
    """Run a fake server and yield the addresses that it prints as ready.

    Parameters
    ----------
    module : str
    *arguments : str
        Command line of the module.
    ready : int
        Number of addresses.
    """
    command = [sys.executable, "-m", f"standins.{module}", *arguments]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            lines = [process.stdout.readline().split() for _ in range(ready)]
            assert all(line[0] == "ready" for line in lines), lines
            yield [line[1] for line in lines]
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait(TEST_TIMEOUT_S)


async def control(address, body=None, path="/control"):
    """Send a control body, or read the counters if it is None, on a new connection."""
    connection = await HttpConnection.open(address, 1.0)
    method = "GET" if body is None else "POST"
    data = b"" if body is None else orjson.dumps(body)
    response = await connection.exchange(method, path, (), data)
    connection.close()
    return response


def run(test, *arguments):
    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            return await test(*arguments)

    return trio.run(main)


class StoreProcessTests(testtools.TestCase):
    """`standins.store`."""

    def test_control_injects_faults(self):
        """Guards against fault switches without effect.

        A demo or a test that sets such a switch would pass without its fault.
        """

        async def test(address):
            store = HttpStore(address, timeout_s=1.0)
            await store.put("k", "1", 0)
            await control(address, {"backup": True, "lose_answers": 1})
            with testtools.ExpectedException(StoreOutcomeUnknownError):
                await store.put("k", "2", 1)
            self.assertEqual("2", (await store.get("k")).value)
            await control(address, {"restore": True})
            self.assertEqual("1", (await store.get("k")).value)
            for outage in ("refuse", "close"):
                await control(address, {"outage": outage})
                with testtools.ExpectedException(StoreUnavailableError):
                    await store.get("k")
            await control(address, {"outage": ""})
            self.assertEqual(1, (await store.get("k")).revision)
            refused = await control(address, {"outage": "odd"})
            self.assertEqual(400, refused.status)
            counters = (await control(address)).parse_json()
            self.assertEqual(2, counters["calls"]["put"])

        with start_process("store", "--address", "127.0.0.1:0") as (address,):
            run(test, address)


class VmListProcessTests(testtools.TestCase):
    """`standins.vmlist`."""

    def test_control_sets_vm_states(self):
        """Guards against dropping VMs of the command line or of a control body."""

        async def test(address):
            vm_list = HttpVmList(address)
            before = await vm_list.fetch()
            vms = [{"vm_id": "vm-1", "state": "gone"}, {"vm_id": "vm-2", "state": None}]
            await control(address, {"vms": vms})
            self.assertEqual({"vm-1": "live", "vm-2": "live"}, before)
            self.assertEqual({"vm-1": "gone"}, await vm_list.fetch())

        arguments = ["--address", "127.0.0.1:0", "--vm", "vm-1=a", "--vm", "vm-2=b"]
        with start_process("vmlist", *arguments) as (address,):
            run(test, address)


class TargetProcessTests(testtools.TestCase):
    """`standins.target`."""

    def test_several_targets_and_control(self):
        """Guards against faults or counters shared by the targets of one process."""
        arguments = ["--target", "t1=127.0.0.1:0=s0,s1", "--control", "127.0.0.1:0"]
        with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as spec:
            spec.write("[t2]\naddress = 127.0.0.1:0\nshards = s2\nslots = 4\n")
        self.addCleanup(os.unlink, spec.name)
        arguments += ["--spec", spec.name, "--versions", "1,2"]
        with start_process("target", *arguments, ready=3) as addresses:
            run(self.check_targets, *addresses)

    async def check_targets(self, first, second, control_address):
        body = {"target": "t1", "shedding": True, "restart": True}
        await control(control_address, body)
        codes = []
        for address, shard in ((first, "s1"), (second, "s2")):
            client = HttpTargetClient(shard, address, 1)
            request = TargetRequest("r1", shard, "2", "query", time.time() + 5)
            codes.append((await client.exchange(request)).code)
        self.assertEqual(["shedding", "ok"], codes)
        counters = (await control(control_address)).parse_json()
        self.assertEqual("cold", counters["t1"]["state"])
        self.assertEqual({"shedding": 1}, counters["t1"]["refused"])
        self.assertEqual(4, counters["t2"]["slots"])
        self.assertEqual(1, counters["t2"]["finished"])
        own = (await control(second)).parse_json()
        self.assertEqual("t2", own["target"])

    def test_control_rejects_unknown_switches_and_types(self):
        """Guards against ignoring a misspelt switch or a value of the wrong type.

        A test with such a control body would pass without its fault.
        """

        async def test(address):
            invalid_bodies = [{"sheding": True}, {"service_ms": "5"}, {"slots": True}]
            for body in (*invalid_bodies, [], {"shedding": 1}):
                self.assertEqual(400, (await control(address, body)).status)
            state = (await control(address)).parse_json()
            switches = {name: state[name] for name in SWITCHES}
            again = (await control(address, switches)).parse_json()
            # Each control request uses a new connection. The target may see the next
            # connection open before it sees the previous one close.
            for name in ("connections", "connections_peak"):
                self.assertIn(state.pop(name), (1, 2))
                self.assertIn(again.pop(name), (1, 2))
            self.assertEqual(state, again)

        arguments = ["--target-id", "t1", "--address", "127.0.0.1:0", "--shards", "s0"]
        with start_process("target", *arguments) as (address,):
            run(test, address)
