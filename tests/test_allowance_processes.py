"""Test of an allowance over several gateway processes."""

import contextlib
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
from tarragonchute.fleet import VM_PREFIX, VmInfo
from tarragonchute.grantroles import HANDOVER_S, rank_candidates
from tarragonchute.httpio import (
    HttpConnection,
    bind_listeners,
    get_address,
    serve_http,
)

from .test_httpio import reserve_closed_port
from .trial import run_async

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 30
RATE = 10
BURST = 10
WINDOW_S = 5
LIMIT = (RATE * WINDOW_S + BURST) * 1.1 + 20
HEADERS = [("Request-Deadline", "900"), ("Authorization", "Bearer key")]


class GatewayVm:
    """One gateway process; it keeps its addresses when it is started again."""

    def __init__(self, number):
        self.vm_id = f"vm-{number}"
        self.domain = f"d{number % 2}"
        self.process = None
        self.callers = self.ready = ""
        self.path = None

    async def write_settings(self, folder, store_address):
        self.callers = await reserve_closed_port()
        self.ready = await reserve_closed_port()
        control = await reserve_closed_port()
        search_port = (await reserve_closed_port()).split(":")[1]
        self.path = pathlib.Path(folder) / f"{self.vm_id}.toml"
        self.path.write_text(
            f"""node-name = "{self.vm_id}"
zone = "{self.domain}"
ip = "127.0.0.1"
port-range = [{search_port}, {search_port}]
seeds = []
[listen-addrs]
front = "{self.callers}"
ready = "{self.ready}"
control = "{control}"
[bounds]
grace-s = 3
quota-window-s = {WINDOW_S}
quota-overshoot = 0.1
quota-slack = 20
[platform]
address = "{store_address}"
"""
        )

    async def start(self):
        """Start the process and return once it is ready."""
        self.process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "tarragonchute", "gateway"],
            cwd=ROOT,
            env={"TARRAGONCHUTE_NODE_FILE": str(self.path), "PATH": ""},
            stdout=subprocess.DEVNULL,
        )
        with trio.fail_after(START_TIMEOUT_S):
            while not await self.is_ready():
                await trio.sleep(0.05)

    async def is_ready(self):
        try:
            connection = await HttpConnection.open(self.ready, 1.0)
            response = await connection.exchange("GET", "/ready")
            connection.close()
        except OSError:
            return False
        return response.status == 200

    async def kill(self):
        self.process.kill()
        await self.process.wait()


class Site:
    """A stand-in store, two targets and gateways in two failure domains."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.server = PlatformStoreServer()
        self.targets = []
        self.vms = [GatewayVm(number) for number in range(4)]
        self.answers = []
        self.numbers = iter(range(1_000_000))

    async def start(self, folder):
        listeners = await bind_listeners("127.0.0.1:0")
        self.nursery.start_soon(serve_http, self.server.handle, listeners)
        for domain in ("d0", "d1"):
            target = PlatformTarget("desk", domain)
            target_listeners = await bind_listeners("127.0.0.1:0")
            target.address = get_address(target_listeners)
            self.nursery.start_soon(serve_http, target.handle, target_listeners)
            self.nursery.start_soon(target.register, self.server.store)
            self.targets.append(target)
        body = orjson.loads(build_configuration(1, [], "desk"))
        body["routes"] = [route for route in body["routes"] if "service" in route]
        body["tenants"] = [
            {"name": "c", "api-keys": ["key"], "rate-per-s": RATE, "burst": BURST}
        ]
        text = orjson.dumps(body).decode()
        await self.server.store.put("op/config", text, 0)
        async with trio.open_nursery() as nursery:
            for vm in self.vms:
                await vm.write_settings(folder, get_address(listeners))
                nursery.start_soon(vm.start)

    async def get_grantor(self):
        """Return the VM that all VMs, which are leaders, choose as grantor."""
        entries, _ = await self.server.store.list(VM_PREFIX)
        infos = [VmInfo(entry.key[len(VM_PREFIX) :]) for entry in entries]
        grantor_id = rank_candidates("c", infos)[0].vm_id
        return next(vm for vm in self.vms if vm.vm_id == grantor_id)

    async def send_load(self, rate, duration_s, vms):
        """Send requests to VMs, most of them to the first."""
        async with trio.open_nursery() as nursery:
            for number in range(int(rate * duration_s)):
                vm = vms[0 if number % 2 else number // 2 % len(vms)]
                nursery.start_soon(self.call, vm)
                await trio.sleep(1 / rate)

    async def call(self, vm):
        headers = [("Request-Id", f"r{next(self.numbers)}"), *HEADERS]
        with contextlib.suppress(OSError):
            connection = await HttpConnection.open(vm.callers, 1.0)
            connection._host = b"h.example"
            try:
                response = await connection.exchange("GET", "/order/1", headers)
            finally:
                connection.close()
            self.answers.append((trio.current_time(), response))

    def count(self, status, since=0.0):
        return sum(
            response.status == status for at, response in self.answers if at >= since
        )

    def find_fullest_window(self):
        times = sorted(at for at, response in self.answers if response.status == 200)
        return max(sum(0 <= at - first < WINDOW_S for at in times) for first in times)


class AllowanceProcessTests(testtools.TestCase):
    """Gateway processes that share an allowance, with uneven callers."""

    @run_async
    async def test_allowance_is_shared(self):
        """Guards against a limit for each VM, also while a grantor is killed."""
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                site = Site(nursery)
                try:
                    await site.start(folder)
                    await trio.sleep(HANDOVER_S + 1.5)
                    await self.check(site)
                finally:
                    for vm in site.vms:
                        if vm.process and vm.process.returncode is None:
                            await vm.kill()
                nursery.cancel_scope.cancel()

    async def check(self, site):
        await site.send_load(RATE / 2, 2, site.vms)
        self.assertEqual({200}, {answer.status for _, answer in site.answers})
        started_at = trio.current_time()
        await site.send_load(7 * RATE, 4, site.vms)
        self.assertGreater(site.count(200, started_at), 0.8 * RATE * 4)
        refusals = [answer for _, answer in site.answers if answer.status == 429]
        self.assertGreater(len(refusals), 4 * RATE * 4)
        for answer in refusals:
            self.assertGreater(float(answer.headers["retry-after"]), 0)

        grantor = await site.get_grantor()
        others = [vm for vm in site.vms if vm is not grantor]
        await grantor.kill()
        started_at = trio.current_time()
        await site.send_load(7 * RATE, 2, others)
        self.assertGreater(site.count(200, started_at), 0)
        await grantor.start()
        await trio.sleep(2.0)
        started_at = trio.current_time()
        await site.send_load(7 * RATE, 4, site.vms)
        self.assertGreater(site.count(200, started_at), 0.8 * RATE * 4)

        self.assertLessEqual(site.find_fullest_window(), LIMIT)
        statuses = {answer.status for _, answer in site.answers}
        self.assertLessEqual(statuses, {200, 429, 503})
        ran = sum(len(target.ran) for target in site.targets)
        self.assertEqual(site.count(200), ran)
