"""Test of rollouts with gateway processes, a stand-in store and targets."""

import collections
import pathlib
import subprocess
import sys
import tempfile

import orjson
import testtools
import trio

from standins.platform import (
    PlatformStoreServer,
    PlatformTarget,
    build_configuration,
)
from tarragonchute.errors import TarragonchuteError
from tarragonchute.httpio import (
    HttpConnection,
    bind_listeners,
    get_address,
    serve_http,
)

from .test_httpio import reserve_closed_port
from .trial import run_async

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30.0
DURATION_S = 8.0
REQUEST_INTERVAL_S = 0.04
CHANGE_S = 1.5
"""Time until a state has reached all VMs, also on a busy machine."""

SHARE, SLACK = 0.1, 50

SETTINGS = """node-name = "{name}"
zone = "{domain}"
ip = "127.0.0.1"
seeds = []
[listen-addrs]
front = "{callers}"
ready = "{ready}"
control = "{control}"
[bounds]
grace-s = 3
retry-ratio = 0.2
retry-slack = 50
warmup-slack = 5
expose-share = {share}
expose-slack = {slack}
rollback-ms = 5000
contact-ms = 5000
max-skew-ms = 15000
[platform]
address = "{store}"
"""


class Deployment:
    """A stand-in store and targets in this process, and gateway processes."""

    def __init__(self, nursery, folder):
        self.nursery = nursery
        self.folder = folder
        self.server = PlatformStoreServer()
        self.processes = []
        self.callers = []
        self.scopes = collections.defaultdict(list)
        self.targets = collections.defaultdict(list)
        self.statuses = collections.Counter()
        self.is_calling = True

    async def start(self):
        """Start the store, the targets of v1, the VMs and a caller."""
        store = self.server.store
        await store.put("op/config", build_configuration(1, ["s0"], "desk"), 0)
        listeners = await bind_listeners("127.0.0.1:0")
        self.nursery.start_soon(serve_http, self.server.handle, listeners)
        await self.start_targets("v1")
        ready = [
            await self.start_vm(number, get_address(listeners)) for number in range(3)
        ]
        with trio.fail_after(START_TIMEOUT_S):
            for address in ready:
                while not await self.is_ready(address):
                    await trio.sleep(0.1)
        self.nursery.start_soon(self.call_repeatedly)

    async def start_targets(self, version, fail_share=0.0):
        """Start three targets of a version."""
        for domain in ("a", "b", "c"):
            target = PlatformTarget("desk", domain, version)
            target.fail_share = fail_share
            target.delay_s = 0.005
            listeners = await bind_listeners("127.0.0.1:0")
            target.address = get_address(listeners)
            self.targets[version].append(target)
            scope = trio.CancelScope()
            self.scopes[version].append(scope)
            self.nursery.start_soon(self.run_target, scope, target, listeners)

    async def run_target(self, scope, target, listeners):
        """Serve a target and keep it registered until its version is stopped."""
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(target.register, self.server.store)
                nursery.start_soon(serve_http, target.handle, listeners)

    def stop_targets(self, version):
        """Stop the targets of a version at once."""
        for scope in self.scopes[version]:
            scope.cancel()

    async def start_vm(self, number, store_address):
        """Start a gateway process; return the address of its readiness probe."""
        callers, ready, control = [await reserve_closed_port() for _ in range(3)]
        path = self.folder / f"node-{number}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"vm-{number}",
                domain="abc"[number],
                callers=callers,
                ready=ready,
                control=control,
                share=SHARE,
                slack=SLACK,
                store=store_address,
            )
        )
        self.processes.append(
            await trio.lowlevel.open_process(
                [sys.executable, "-m", "tarragonchute", "gateway"],
                cwd=ROOT,
                env={"TARRAGONCHUTE_NODE_FILE": str(path), "PATH": ""},
                stdout=subprocess.DEVNULL,
            )
        )
        self.callers.append(callers)
        return ready

    async def is_ready(self, address):
        """Return whether a VM is ready."""
        try:
            connection = await HttpConnection.open(address, 1.0)
            response = await connection.exchange("GET", "/ready")
            connection.close()
        except OSError:
            return False
        return response.status == 200

    async def call_repeatedly(self):
        """Send orders to the VMs in turn."""
        number = 0
        while self.is_calling:
            number += 1
            address = self.callers[number % len(self.callers)]
            self.nursery.start_soon(self.call, address, f"o{number}")
            await trio.sleep(REQUEST_INTERVAL_S)

    async def call(self, address, request_id):
        """Send one order and count the status of its response."""
        status = 0
        try:
            connection = await HttpConnection.open(address, 1.0)
            connection._host = b"h.example"
            headers = [("Request-Id", request_id), ("Request-Deadline", "900")]
            with trio.move_on_after(3.0):
                response = await connection.exchange(
                    "POST", "/order/1", headers, b"book"
                )
                status = response.status
            connection.close()
        except (OSError, TarragonchuteError):
            pass
        self.statuses[status] += 1

    async def order(self, version):
        """Write an order, replacing an earlier one."""
        store = self.server.store
        known = await store.get("op/rollout/desk")
        body = {
            "service": "desk",
            "target-version": version,
            "duration-s": DURATION_S,
        }
        revision = 0 if known is None else known.revision
        await store.put("op/rollout/desk", orjson.dumps(body).decode(), revision)

    async def wait_for_end(self, version):
        """Wait for the end of a rollout and return its status."""
        with trio.fail_after(DURATION_S + CHANGE_S):
            while True:
                entry = await self.server.store.get("status/rollout/desk")
                body = orjson.loads(entry.value) if entry is not None else {}
                is_current = body.get("target-version") == version
                if is_current and body["state"] != "running":
                    return body["state"]
                await trio.sleep(0.02)

    def count(self, version):
        """Return the number of requests that the targets of a version have run."""
        return sum(len(target.ran) for target in self.targets[version])

    async def stop(self):
        """End all processes."""
        self.is_calling = False
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


class RolloutProcessTests(testtools.TestCase):
    """A good and a bad version on a fleet of three VMs."""

    @run_async
    async def test_good_version_and_bad_version(self):
        """Guards against a break on the way from the order to the verdict."""
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                deployment = Deployment(nursery, pathlib.Path(folder))
                try:
                    await deployment.start()
                    await self.check_good_version(deployment)
                    await self.check_bad_version(deployment)
                finally:
                    await deployment.stop()
                    nursery.cancel_scope.cancel()

    async def check_good_version(self, deployment):
        """Order v2, which is good, and stop the targets of v1 once it is done."""
        await deployment.start_targets("v2")
        await trio.sleep(CHANGE_S)
        self.assertEqual(0, deployment.count("v2"))
        await deployment.order("v2")
        self.assertEqual("done", await deployment.wait_for_end("v2"))
        deployment.stop_targets("v1")
        await trio.sleep(CHANGE_S)
        self.assertGreater(deployment.count("v2"), 50)
        self.assertEqual({200}, set(deployment.statuses))

    async def check_bad_version(self, deployment):
        """Order v3, which fails half of its requests."""
        before = deployment.count("v2")
        await deployment.order("v3")
        await deployment.start_targets("v3", fail_share=0.5)
        self.assertEqual("rolled_back", await deployment.wait_for_end("v3"))
        total = deployment.count("v2") - before + deployment.count("v3")
        self.assertLessEqual(deployment.count("v3"), SHARE * total + SLACK)
        await trio.sleep(CHANGE_S)
        old, new = deployment.count("v2"), deployment.count("v3")
        await trio.sleep(CHANGE_S)
        self.assertEqual(new, deployment.count("v3"))
        self.assertGreater(deployment.count("v2"), old + 10)
