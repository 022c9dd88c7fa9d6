"""What surrounds the gateways: store, targets, operator, and the VM processes."""

import os
import pathlib
import secrets
import signal
import subprocess
import sys

import orjson
import trio

from standins.platform import (
    LEASE_RENEWAL_PERIOD_S,
    RENEWALS_PER_LEASE_TTL,
    PlatformStoreServer,
    PlatformTarget,
    build_configuration,
)
from tarragonchute.errors import TarragonchuteError
from tarragonchute.httpio import (
    HttpConnection,
    HttpResponse,
    bind_listeners,
    get_address,
    serve_http,
)
from tools.ports import PortReservations

from .oracle import Run
from .proxy import Proxy

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DOMAINS = ("a", "b")
SHARDS = 48
"""The least number of shards that VMs share among each other."""

GRACE_S = 3
DRAIN_S = 3.0
"""Time after which a target that left must get nothing new."""

START_TIMEOUT_S = 20.0

LAG_PERIOD_S = 0.05
MAX_LAG_S = 0.1
BLIND_S = 4.0
"""The stand-ins are late if a timer is late by this much; what they saw for some
seconds after that says nothing about the time that a VM took."""


class SoakTarget(PlatformTarget):
    """A target that tells the oracle what it runs.

    Attributes
    ----------
    fails : bool
        Answer 500 after the work.
    is_leaving, is_gone : bool
        Whether it stopped to renew its registration, and whether it has ended.
    """

    def __init__(self, service, domain, oracle):
        super().__init__(service, domain)
        self.oracle = oracle
        self.fails = False
        self.is_gone = False
        self.is_leaving = False

    async def handle(self, request):
        """Answer one `HttpRequest`, and record the run before the answer."""
        expected = request.headers.get("expect-instance")
        if self.is_gone or expected not in (None, self.target_id):
            return HttpResponse(421, b"", {"Instance-Id": self.target_id})
        request_id = request.headers.get("request-id", "")
        echoed = {"Request-Id": request_id}
        if self.refuses:
            return HttpResponse(503, b"", {**echoed, "Not-Executed": "1"})
        number = len(self.ran)
        self.ran.append(request_id)
        digest = f"{self.target_id}.{request_id}.{number}"
        body = request.body or secrets.token_bytes(4 * 16 + 3)
        message = (request.method, request.target, request.body)
        arguments = (request_id, self.service, self.target_id)
        fails = self.fails
        answered = "" if fails else digest
        now = trio.current_time()
        self.oracle.note_run(Run(*arguments, answered, body, message, now))
        await trio.sleep(self.delay_s)
        if fails:
            return HttpResponse(500, b"", {**echoed, "Response-Stamp": digest})
        return HttpResponse(200, body, {**echoed, "Response-Stamp": digest})


class Vm:
    """One VM of the deployment; its process may be started many times.

    Attributes
    ----------
    lifetime : object
        Another one for each process.
    disturbed_until : float
        Until then its requests may be late or cut.
    is_up : bool
        Whether this process was ready once. Before that a signal may end it, because
        its handlers are not there yet.
    """

    def __init__(self, number, folder, store_address, ports):
        self.vm_id = f"vm-{number}"
        # The port of the metrics is fixed, so runs side by side need other hosts.
        pid = os.getpid()
        self.host = f"127.{pid // 250 % 250 + 1}.{pid % 250}.{number + 1}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.store = Proxy(store_address)
        self.lifetime = object()
        self.disturbed_until = 0.0
        self.is_up = False
        self.process = None
        self._folder = folder
        self._ports = [ports.reserve().split(":")[1] for _ in range(4)]
        self._log = (folder / f"{self.vm_id}.log").open("ab")

    @property
    def callers(self):
        """Address for callers."""
        return f"{self.host}:{self._ports[0]}"

    @property
    def control(self):
        """Address for other VMs."""
        return f"{self.host}:{self._ports[2]}"

    def start(self, seeds):
        """Start its process."""
        path = self._folder / f"{self.vm_id}.toml"
        path.write_text(self._format_settings(seeds))
        self.lifetime = object()
        self.is_up = False
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tarragonchute", "gateway"],
            cwd=ROOT,
            env={"TARRAGONCHUTE_NODE_FILE": str(path), "PATH": ""},
            stdout=self._log,
            stderr=self._log,
        )

    def send_signal(self, number):
        """Send a signal, if the process still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self):
        """Return once the process has ended."""
        while self.process.poll() is None:
            await trio.sleep(0.02)

    async def is_ready(self):
        """Whether its readiness probe is answered with 200."""
        address = f"{self.host}:{self._ports[1]}"
        try:
            with trio.move_on_after(1.0):
                connection = await HttpConnection.open(address, 1.0)
                response = await connection.exchange("GET", "/ready")
                connection.close()
                self.is_up = self.is_up or response.status == 200
                return response.status == 200
        except (OSError, TarragonchuteError):
            pass
        return False

    def close(self):
        """Kill the process, if it still runs, and reap it."""
        if self.process is not None:
            self.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self._log.close()

    def _format_settings(self, seeds):
        front, ready, control, search = self._ports
        return f"""node-name = "{self.vm_id}"
zone = "{self.domain}"
ip = "{self.host}"
seeds = {orjson.dumps(seeds).decode()}
port-range = [{search}, {search}]
[listen-addrs]
front = "{self.host}:{front}"
ready = "{self.host}:{ready}"
control = "{self.host}:{control}"
[bounds]
grace-s = {GRACE_S}
retry-ratio = 0.2
retry-slack = 50
warmup-slack = 5
[platform]
address = "{self.store.address}"
"""


class World:
    """Everything around the gateways, and the gateways.

    Parameters
    ----------
    nursery : trio.Nursery
    folder : pathlib.Path
        For settings and logs.
    oracle : oracle.Oracle
    vm_count : int
    """

    def __init__(self, nursery, folder, oracle, vm_count):
        self.oracle = oracle
        self.server = PlatformStoreServer()
        self.targets = []
        self.proxies = {}
        self.vms = []
        self.version = 0
        self.shards = [f"s{number}" for number in range(SHARDS)]
        self._next_shard = SHARDS
        self._nursery = nursery
        self._folder = folder
        self._vm_count = vm_count
        self._ports = PortReservations()

    async def start(self):
        """Start everything and return once all VMs are ready."""
        listeners = await bind_listeners("127.0.0.1:0")
        self._nursery.start_soon(serve_http, self.server.handle, listeners)
        address = get_address(listeners)
        for service in [*self.shards, "desk"]:
            for domain in DOMAINS:
                await self.add_target(service, domain)
        await self.write_configuration()
        for number in range(self._vm_count):
            vm = Vm(number, self._folder, address, self._ports)
            self.vms.append(vm)
            await self._nursery.start(vm.store.run)
        for vm in self.vms:
            vm.start(self.list_seeds())
        with trio.fail_after(START_TIMEOUT_S):
            for vm in self.vms:
                while not await vm.is_ready():
                    await trio.sleep(0.05)

    async def wait_until_ready(self, vm):
        """Return once a VM is ready, or tell the oracle why it is not."""
        with trio.move_on_after(START_TIMEOUT_S):
            while not await vm.is_ready():
                code = vm.process.poll()
                if code is not None:
                    self.oracle.note_not_started(vm.vm_id, f"ended with {code}")
                    return
                await trio.sleep(0.1)
            return
        self.oracle.note_not_started(vm.vm_id, f"not ready after {START_TIMEOUT_S} s")

    def list_seeds(self):
        """Return the addresses of all VMs for other VMs."""
        return [vm.control for vm in self.vms]

    async def add_target(self, service, domain, address=None):
        """Start a target behind a proxy, on a given address if there is one."""
        target = SoakTarget(service, domain, self.oracle)
        listeners = await bind_listeners("127.0.0.1:0")
        proxy = Proxy(get_address(listeners))
        self._nursery.start_soon(serve_http, target.handle, listeners)
        await self._nursery.start(proxy.run)
        target.address = proxy.address
        self.targets.append(target)
        self.proxies[target.target_id] = proxy
        self._nursery.start_soon(self._register, target)
        return target

    async def remove_target(self, target, is_announced):
        """Let a target leave, after it said so or with its registration alone.

        Returns
        -------
        float or None
            When the store confirmed it; None if the registration had lapsed before.
        """
        self.targets.remove(target)
        key = f"servers/{target.target_id}"
        store = self.server.store
        entry = await store.get(key)
        target.is_leaving = True
        if entry is None:
            return None
        if is_announced:
            await store.put(key, target.describe("draining"), entry.revision)
        else:
            await store.delete(key, entry.revision)
        return trio.current_time()

    async def watch_lag(self):
        """Tell the oracle while this process is late itself."""
        while True:
            due = trio.current_time() + LAG_PERIOD_S
            await trio.sleep_until(due)
            now = trio.current_time()
            if now - due > MAX_LAG_S:
                self.oracle.blind_until = now + BLIND_S

    async def write_configuration(self):
        """Write the next version with the shards of `shards`."""
        self.version += 1
        self.oracle.note_version(self.version, self.shards)
        text = build_configuration(self.version, self.shards, "desk")
        entry = await self.server.store.get("op/config")
        revision = 0 if entry is None else entry.revision
        await self.server.store.put("op/config", text, revision)

    async def repartition(self):
        """Replace one shard by another one, and let its targets leave."""
        old = self.shards[0]
        new = f"s{self._next_shard}"
        self._next_shard += 1
        for domain in DOMAINS:
            await self.add_target(new, domain)
        await trio.sleep(0.5)
        self.shards = [*self.shards[1:], new]
        await self.write_configuration()
        return [target for target in self.targets if target.service == old]

    def close(self):
        """End all processes that were started here."""
        for vm in self.vms:
            vm.close()
        self._ports.close()

    async def _register(self, target):
        """Keep a registration alive, as a target on the platform does."""
        store = self.server.store
        while not target.is_leaving:
            try:
                lease = await store.grant_lease(
                    RENEWALS_PER_LEASE_TTL * LEASE_RENEWAL_PERIOD_S
                )
                await store.put(
                    f"servers/{target.target_id}", target.describe(), 0, lease
                )
                while not target.is_leaving:
                    await trio.sleep(LEASE_RENEWAL_PERIOD_S)
                    await store.renew_lease(lease)
            except TarragonchuteError:
                # The stand-in's store is out of order; the next turn tries again.
                await trio.sleep(LEASE_RENEWAL_PERIOD_S / 4)
