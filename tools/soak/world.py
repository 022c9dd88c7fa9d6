"""Environment of the soak test: store, targets, operator and VM processes."""

import collections
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
    PlatformOperator,
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
SHARD_COUNT = 48
"""The smallest number of shards for which a VM delegates subsearches to other VMs."""

GRACE_S = 3
DRAIN_TIMEOUT_S = 3.0
"""Time after its removal from which a target must receive no new requests."""

START_TIMEOUT_S = 20.0

UNSEEN_CHANGE_S = 1.5
"""Time that VMs may take to see a change, which a restored store may have lost then."""

NOTICE_GRACE_S = 0.5
"""Time after a target's notice in which requests may still be on their way."""

LAG_CHECK_INTERVAL_S = 0.05
MAX_LAG_S = 0.1
UNRELIABLE_TIMING_S = 4.0
"""The stand-ins run late if a timer is late by more than `MAX_LAG_S`. For this time
afterwards their observations say nothing about the response time of a VM."""


class SoakTarget(PlatformTarget):
    """A target that reports its executions to the oracle.

    Attributes
    ----------
    fails : bool
        Whether it runs requests and responds with 500.
    is_leaving, is_gone : bool
        Whether it no longer renews its registration, and whether it has ended.
    pause_until : float
        Time until which it refuses requests and asks for a pause.
    unwanted : collections.Counter
        Orders that it got from each process although it had told that process some
        time before to send none.
    """

    def __init__(self, service, domain, oracle):
        super().__init__(service, domain)
        self.oracle = oracle
        self.fails = False
        self.is_gone = False
        self.is_leaving = False
        self.pause_until = 0.0
        self.unwanted = collections.Counter()
        self._told_at = {}

    def start_pause(self, duration_s):
        """Refuse requests and ask for a pause for a time in seconds."""
        self.pause_until = trio.current_time() + duration_s
        self.unwanted.clear()
        self._told_at.clear()

    def _refuse_until_end_of_pause(self, request_id):
        now = trio.current_time()
        process = self.oracle.find_process_of_order(request_id)
        if process is not None:
            told_at = self._told_at.setdefault(process, now)
            self.unwanted[process] += now - told_at > NOTICE_GRACE_S
        wait_s = f"{self.pause_until - now:.3f}"
        headers = {"Request-Id": request_id, "Not-Executed": "1", "Retry-After": wait_s}
        return HttpResponse(503, b"", headers)

    async def _run(self, request):
        """Respond to one `HttpRequest`; record the execution before the response."""
        expected = request.headers.get("expect-instance")
        if self.is_gone or expected not in (None, self.target_id):
            return HttpResponse(421, b"", {"Instance-Id": self.target_id})
        request_id = request.headers.get("request-id", "")
        echoed = {"Request-Id": request_id}
        if trio.current_time() < self.pause_until:
            return self._refuse_until_end_of_pause(request_id)
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
        self.oracle.record_run(Run(*arguments, answered, body, message, now))
        await trio.sleep(self.delay_s)
        if fails:
            return HttpResponse(500, b"", {**echoed, "Response-Stamp": digest})
        return HttpResponse(200, body, {**echoed, "Response-Stamp": digest})


class Vm:
    """One VM of the deployment; its process may be restarted many times.

    Attributes
    ----------
    lifetime : object
        Identifies the current process; replaced at each start.
    disturbed_until : float
        Until this time its responses may be late or its connections may break.
    was_ready : bool
        Whether this process has been ready. Before that a signal may end it, because
        its signal handlers are not installed yet.
    """

    def __init__(self, number, folder, store_address, ports):
        self.vm_id = f"vm-{number}"
        # The metrics port is fixed, so concurrent runs need different hosts.
        pid = os.getpid()
        self.host = f"127.{pid // 250 % 250 + 1}.{pid % 250}.{number + 1}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.store_proxy = Proxy(store_address)
        self.lifetime = object()
        self.disturbed_until = 0.0
        self.was_ready = False
        self.process = None
        self._folder = folder
        self._ports = [ports.reserve().split(":")[1] for _ in range(4)]
        self._log = (folder / f"{self.vm_id}.log").open("ab")

    @property
    def caller_address(self):
        """Address that callers connect to."""
        return f"{self.host}:{self._ports[0]}"

    @property
    def control_address(self):
        """Address that other VMs connect to."""
        return f"{self.host}:{self._ports[2]}"

    def start(self, seeds):
        """Write the settings and start the process."""
        path = self._folder / f"{self.vm_id}.toml"
        path.write_text(self._format_settings(seeds))
        self.lifetime = object()
        self.was_ready = False
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tarragonchute", "gateway"],
            cwd=ROOT,
            env={"TARRAGONCHUTE_NODE_FILE": str(path), "PATH": ""},
            stdout=self._log,
            stderr=self._log,
        )

    def send_signal(self, number):
        """Send a signal if the process is still running."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait(self):
        """Wait until the process has ended."""
        while self.process.poll() is None:
            await trio.sleep(0.02)

    async def is_ready(self):
        """Return whether the readiness endpoint responds with 200."""
        address = f"{self.host}:{self._ports[1]}"
        try:
            with trio.move_on_after(1.0):
                connection = await HttpConnection.open(address, 1.0)
                response = await connection.exchange("GET", "/ready")
                connection.close()
                self.was_ready = self.was_ready or response.status == 200
                return response.status == 200
        except (OSError, TarragonchuteError):
            pass
        return False

    def close(self):
        """Kill the process if it is still running, and reap it."""
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
address = "{self.store_proxy.address}"
"""


class World:
    """Store, targets and VM processes of one run.

    Parameters
    ----------
    nursery : trio.Nursery
    folder : pathlib.Path
        Receives settings and logs.
    oracle : oracle.Oracle
    vm_count : int
    """

    def __init__(self, nursery, folder, oracle, vm_count):
        self.oracle = oracle
        self.server = PlatformStoreServer()
        self.server.era = 1
        self.operator = PlatformOperator(self.server)
        self.targets = []
        # When each target left, and whether it announced that it drains.
        self.removed = {}
        self.proxies = {}
        self.vms = []
        self.version = 0
        self.shards = [f"s{number}" for number in range(SHARD_COUNT)]
        self._next_shard = SHARD_COUNT
        self._nursery = nursery
        self._folder = folder
        self._vm_count = vm_count
        self._ports = PortReservations()

    async def start(self):
        """Start store, targets and VMs, and wait until all VMs are ready."""
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
            await self._nursery.start(vm.store_proxy.run)
        for vm in self.vms:
            vm.start(self.list_seeds())
        with trio.fail_after(START_TIMEOUT_S):
            for vm in self.vms:
                while not await vm.is_ready():
                    await trio.sleep(0.05)

    async def wait_until_ready(self, vm):
        """Wait until a VM is ready, or report to the oracle why it is not."""
        with trio.move_on_after(START_TIMEOUT_S):
            while not await vm.is_ready():
                code = vm.process.poll()
                if code is not None:
                    self.oracle.report_failed_start(vm.vm_id, f"ended with {code}")
                    return
                await trio.sleep(0.1)
            return
        self.oracle.report_failed_start(
            vm.vm_id, f"not ready after {START_TIMEOUT_S} s"
        )

    def list_seeds(self):
        """Return the addresses at which VMs connect to each other."""
        return [vm.control_address for vm in self.vms]

    async def add_target(self, service, domain, address=None):
        """Start a target behind a proxy and register it."""
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
        """Remove a target: announce that it drains, or delete its registration.

        Returns
        -------
        float or None
            When the store confirmed it; None if the registration had already expired.
        """
        self.targets.remove(target)
        key = f"servers/{target.target_id}"
        store = self.server.store
        entry = await store.get(key)
        target.is_leaving = True
        if entry is None:
            return None
        target.state = "draining"
        self.removed[target] = trio.current_time(), is_announced
        await self._write_removal(target, is_announced)
        return trio.current_time()

    async def _write_removal(self, target, is_announced):
        store = self.server.store
        key = f"servers/{target.target_id}"
        entry = await store.get(key)
        if entry is None:
            return
        target.sequence += 1
        if is_announced:
            await store.put(key, target.describe(target.state), entry.revision)
        else:
            await store.delete(key, entry.revision)

    async def write_again(self, copy, lost_at):
        """Let operator and targets write again what a restored store has lost.

        Targets that are in use register again by themselves.

        Parameters
        ----------
        copy : standins.platform.StoreCopy
        lost_at : float
            When the store was lost.
        """
        await self.operator.write_again(copy)
        for target, (left_at, is_announced) in self.removed.items():
            await self._write_removal(target, is_announced)
            if left_at > lost_at - UNSEEN_CHANGE_S:
                # VMs may not have seen that it left before the store lost it.
                self.oracle.delay_target_removal(
                    target.target_id, trio.current_time() + DRAIN_TIMEOUT_S
                )

    async def watch_lag(self):
        """Report to the oracle when this process itself runs late."""
        while True:
            due = trio.current_time() + LAG_CHECK_INTERVAL_S
            await trio.sleep_until(due)
            now = trio.current_time()
            if now - due > MAX_LAG_S:
                self.oracle.timing_unreliable_until = now + UNRELIABLE_TIMING_S

    async def write_configuration(self):
        """Write the next configuration version with the current shards."""
        self.version += 1
        self.oracle.record_version(self.version, self.shards)
        text = build_configuration(self.version, self.shards, "desk")
        await self.operator.write("op/config", text)

    async def repartition(self):
        """Replace one shard by a new one, and return the targets of the old one."""
        return await self.replace_shard(await self.add_shard())

    async def add_shard(self):
        """Add the targets of a new shard, and return its name once they are known."""
        new = f"s{self._next_shard}"
        self._next_shard += 1
        for domain in DOMAINS:
            await self.add_target(new, domain)
        await trio.sleep(0.5)
        return new

    async def replace_shard(self, new):
        """Write a version with a new shard; return the targets of the old one."""
        old = self.shards[0]
        self.shards = [*self.shards[1:], new]
        await self.write_configuration()
        return [target for target in self.targets if target.service == old]

    def close(self):
        """End all VM processes and release the ports."""
        for vm in self.vms:
            vm.close()
        self._ports.close()

    async def _register(self, target):
        """Register a target and renew that, as a target on the platform does."""
        store = self.server.store
        key = f"servers/{target.target_id}"
        while not target.is_leaving:
            try:
                era = self.server.era
                lease = await store.grant_lease(
                    RENEWALS_PER_LEASE_TTL * LEASE_RENEWAL_PERIOD_S
                )
                entry = await store.get(key)
                revision = 0 if entry is None else entry.revision
                await store.put(key, target.describe(), revision, lease)
                target.sequence += 1
                # The store may give the id of a lease from before a restore to others.
                while not target.is_leaving and era == self.server.era:
                    await trio.sleep(LEASE_RENEWAL_PERIOD_S)
                    if era == self.server.era:
                        await store.renew_lease(lease)
            except TarragonchuteError:
                # The stand-in store is unavailable; the next iteration retries.
                await trio.sleep(LEASE_RENEWAL_PERIOD_S / 4)
