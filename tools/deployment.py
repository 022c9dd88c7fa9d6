"""Starts a small deployment of real processes on loopback, for demo and tests.

The package itself starts no processes; in place of an init system, this tool does.
"""

import contextlib
import hashlib
import pathlib
import signal
import subprocess
import sys

import orjson
import trio

from tarragonchute import commands
from tarragonchute.httpio import HttpConnection
from tools.ports import PortReservations

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOKEN = "demo-token"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
MAX_TARGETS_PER_PROCESS = 60


class DatasetPlan:
    """Size of one dataset of a deployment.

    Parameters
    ----------
    name, team : str
    shards : int
    replicas : int
        Number of targets of each shard; with one shard, of the whole dataset.
    slots, max_connections : int
        Limits of each target.
    service_ms : float
        Service time of a request in milliseconds.
    """

    __slots__ = (
        "name",
        "team",
        "shards",
        "replicas",
        "slots",
        "max_connections",
        "service_ms",
    )

    def __init__(
        self, name, team, shards, replicas, slots, max_connections, service_ms=4
    ):
        self.name = name
        self.team = team
        self.shards = shards
        self.replicas = replicas
        self.slots = slots
        self.max_connections = max_connections
        self.service_ms = service_ms

    def list_shards(self):
        """Return the names of the shards."""
        return [f"s{number}" for number in range(self.shards)]

    def list_replicas(self, shard):
        """Return the ids of a shard's targets."""
        return [f"{self.name}-{shard}-{n}" for n in range(self.replicas)]


class Process:
    """A Python process that is started on construction.

    Parameters
    ----------
    name : str
    arguments : list of str
        Command line after the interpreter.
    log_path : pathlib.Path
        File to which standard error is appended.
    """

    def __init__(self, name, arguments, log_path):
        self.name = name
        self.log_path = log_path
        with log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdout=subprocess.PIPE,
                stderr=log,
            )

    @property
    def pid(self):
        """Process id."""
        return self._process.pid

    async def read_ready(self, count):
        """Return the listening addresses that the process prints as ready.

        Parameters
        ----------
        count : int

        Raises
        ------
        RuntimeError
            If the process prints another line, or exits.
        trio.TooSlowError
        """
        with trio.fail_after(START_TIMEOUT_S):
            return [await self._read_ready_line() for _ in range(count)]

    async def _read_ready_line(self):
        line = await trio.to_thread.run_sync(
            self._process.stdout.readline, abandon_on_cancel=True
        )
        word, _, address = line.decode().strip().partition(" ")
        if word != "ready":
            raise RuntimeError(
                f"process {self.name} failed to start: {self.read_log()}"
            )
        return address

    def read_log(self):
        """Return what the process wrote to standard error."""
        return self.log_path.read_text(errors="replace")

    def send_signal(self, number):
        """Send a signal, such as SIGSTOP, to this process but not to its children."""
        self._process.send_signal(number)

    async def wait(self):
        """Wait for the process to exit and return its exit code."""
        with trio.fail_after(STOP_TIMEOUT_S):
            return await trio.to_thread.run_sync(
                self._process.wait, abandon_on_cancel=True
            )

    def kill(self):
        """Kill the process if it is still running, and reap it."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        self._process.wait()
        self._process.stdout.close()


class Deployment:
    """Fake platform servers, fake targets and entry VMs on loopback.

    An async context manager that starts the processes and kills them on exit.

    Parameters
    ----------
    folder : str
        Receives settings files and logs.
    domains : list of str
        Failure domains.
    datasets : list of DatasetPlan
    vm_count : int
    log_level : str
    """

    def __init__(self, folder, domains, datasets, vm_count=3, log_level="info"):
        self._folder = pathlib.Path(folder)
        self._domains = domains
        self._log_level = log_level
        self.datasets = datasets
        self.vm_ids = [f"vm-{number}" for number in range(1, vm_count + 1)]
        self.processes = {}
        self.callers = {}
        self.admins = {}
        self.peers = {}
        self._store_address = None
        self._vm_list_address = None
        self._target_control_addresses = {}
        self._target_addresses = {}
        self._ports = PortReservations()

    async def __aenter__(self):
        try:
            await self._start_platform()
            await self._start_targets()
            self._write_settings()
            for vm_id in self.vm_ids:
                self.start_vm(vm_id)
        except BaseException:
            self.kill_all()
            raise
        return self

    async def __aexit__(self, *_):
        self.kill_all()

    def kill_all(self):
        """Kill all processes of the deployment and release the reserved ports."""
        for process in self.processes.values():
            process.kill()
        self._ports.close()

    def read_logs(self):
        """Return the contents of the entry VMs' logs by vm_id."""
        return {vm_id: self.processes[vm_id].read_log() for vm_id in self.vm_ids}

    def list_targets(self):
        """Return the failure domain of each target by target id."""
        return {target: domain for _, target, domain in self._iterate_targets()}

    def get_target_address(self, target):
        """Return the address on which a target listens."""
        return self._target_addresses[target]

    def _iterate_targets(self):
        for dataset in self.datasets:
            for index, shard in enumerate(dataset.list_shards()):
                for number, target in enumerate(dataset.list_replicas(shard)):
                    domain = self._domains[(index + number) % len(self._domains)]
                    yield dataset, target, domain

    # Process control.

    def _start(self, name, arguments):
        log_path = self._folder / f"{name}.log"
        process = Process(name, arguments, log_path)
        self.processes[name] = process
        return process

    async def _start_platform(self):
        store = self._start("store", ["-m", "standins.store", "--address", _ANY_PORT])
        (self._store_address,) = await store.read_ready(1)
        arguments = ["-m", "standins.vmlist", "--address", _ANY_PORT]
        for vm_id in self.vm_ids:
            arguments += ["--vm", f"{vm_id}={self._get_domain(vm_id)}"]
        vm_list = self._start("vmlist", arguments)
        (self._vm_list_address,) = await vm_list.read_ready(1)

    async def _start_targets(self):
        """Start processes for the targets of each dataset.

        One process serves at most `MAX_TARGETS_PER_PROCESS` targets: if a fake server
        used up its CPU, benchmarks would measure it instead of the VMs.
        """
        for dataset in self.datasets:
            targets = [t for one, t, _ in self._iterate_targets() if one is dataset]
            self._target_control_addresses[dataset.name] = []
            for start in range(0, len(targets), MAX_TARGETS_PER_PROCESS):
                chunk = targets[start : start + MAX_TARGETS_PER_PROCESS]
                await self._start_target_process(dataset, chunk)

    async def _start_target_process(self, dataset, targets):
        control_addresses = self._target_control_addresses[dataset.name]
        name = f"targets-{dataset.name}-{len(control_addresses)}"
        spec_path = self._folder / f"{name}.ini"
        spec_path.write_text(_format_target_specs(dataset, targets))
        process = self._start(
            name,
            ["-m", "standins.target", "--spec", str(spec_path), "--control", _ANY_PORT],
        )
        addresses = await process.read_ready(len(targets) + 1)
        self._target_addresses.update(zip(targets, addresses, strict=False))
        control_addresses.append(addresses[-1])

    def _get_domain(self, vm_id):
        return self._domains[self.vm_ids.index(vm_id) % len(self._domains)]

    def start_vm(self, vm_id):
        """Start or restart the process of an entry VM; a restart keeps its ports."""
        if vm_id not in self.callers:
            self.callers[vm_id] = self._ports.reserve()
            self.peers[vm_id] = self._ports.reserve()
            self.admins[vm_id] = self._ports.reserve()
        path = self._folder / f"{vm_id}.ini"
        path.write_text(self._format_vm_settings(vm_id))
        arguments = ["-m", "tarragonchute.cli", "run", str(path)]
        if vm_id in self.processes:
            self.processes[vm_id].kill()
        self._start(vm_id, arguments)

    def kill_vm(self, vm_id):
        """Kill the process of an entry VM and wait until it has exited."""
        self.processes[vm_id].kill()

    def pause_vm(self, vm_id):
        """Suspend the process of an entry VM with SIGSTOP."""
        self.processes[vm_id].send_signal(signal.SIGSTOP)

    def resume_vm(self, vm_id):
        """Resume a VM that `pause_vm` has suspended."""
        self.processes[vm_id].send_signal(signal.SIGCONT)

    async def drain_vm(self, vm_id):
        """Shut an entry VM down gracefully with SIGTERM; return its exit code."""
        self.processes[vm_id].send_signal(signal.SIGTERM)
        return await self.processes[vm_id].wait()

    # Settings.

    def _format_vm_settings(self, vm_id):
        lines = [
            "[vm]",
            f"vm_id = {vm_id}",
            f"domain = {self._get_domain(vm_id)}",
            f"caller_address = {self.callers[vm_id]}",
            f"peer_address = {self.peers[vm_id]}",
            f"admin_address = {self.admins[vm_id]}",
            f"bootstrap_token_sha256 = {hashlib.sha256(TOKEN.encode()).hexdigest()}",
            "[store]",
            f"address = {self._store_address}",
            "[vm_list]",
            f"address = {self._vm_list_address}",
            "[log]",
            "format = json",
            f"level = {self._log_level}",
            "[peers]",
        ]
        lines += [f"{k} = {address}" for k, address in self.peers.items() if k != vm_id]
        return "\n".join(lines) + "\n"

    def _write_settings(self):
        tree = self._folder / "tree"
        tree.mkdir()
        lines = [f"[domain {domain}]\nstate = in" for domain in self._domains]
        (tree / "fleet.ini").write_text("\n".join(lines) + "\n")
        for team in sorted({dataset.team for dataset in self.datasets}):
            names = [one.name for one in self.datasets if one.team == team]
            text = f"[team]\nleast_coverage = 0.5\ndatasets = {' '.join(names)}\n"
            (tree / f"team.{team}.ini").write_text(text)
        for dataset in self.datasets:
            path = tree / f"dataset.{dataset.name}.ini"
            path.write_text(self._format_dataset(dataset))

    def _format_dataset(self, dataset):
        lines = []
        for one, target, domain in self._iterate_targets():
            if one is dataset:
                lines += [
                    f"[target {target}]",
                    f"address = {self._target_addresses[target]}",
                    f"domain = {domain}",
                    f"slots = {dataset.slots}",
                    f"max_connections = {dataset.max_connections}",
                ]
        lines.append("[layout 1]")
        for shard in dataset.list_shards():
            lines.append(f"{shard} = {' '.join(dataset.list_replicas(shard))}")
        return "\n".join(lines) + "\n"

    async def load_settings(self, vm_id):
        """Propose all settings files through one VM; return the results."""
        return await trio.to_thread.run_sync(
            commands.load_directory,
            self.admins[vm_id],
            TOKEN,
            str(self._folder / "tree"),
        )

    async def set_domain_state(self, vm_id, domain, state):
        """Take a failure domain out of service (``out``) or bring it back (``in``)."""
        return await trio.to_thread.run_sync(
            commands.set_domain_state, self.admins[vm_id], TOKEN, domain, state
        )

    # Fault injection.

    async def control_store(self, **switches):
        """Set switches of the store's control route and return its counters."""
        return await post_control(self._store_address, switches)

    async def control_vm_list(self, **switches):
        """Set switches of the VM list's control route and return its counters."""
        return await post_control(self._vm_list_address, switches)

    async def control_targets(self, dataset, **switches):
        """Set switches of a dataset's targets; return their counters by target id."""
        counters = {}
        for address in self._target_control_addresses[dataset]:
            counters.update(await post_control(address, switches))
        return counters

    async def read_target_counters(self):
        """Return the counters of all targets by target id."""
        counters = {}
        for dataset in self.datasets:
            counters.update(await self.control_targets(dataset.name))
        return counters


async def post_control(address, switches):
    """Send switches to a fake server's control route.

    Parameters
    ----------
    address : str
    switches : dict

    Returns
    -------
    dict
        Counters and switches of the server.

    Raises
    ------
    RuntimeError
        If the server rejects the switches.
    """
    connection = await HttpConnection.open(address, START_TIMEOUT_S)
    try:
        response = await connection.exchange(
            "POST", "/control", [], orjson.dumps(switches)
        )
        if response.status != 200:
            raise RuntimeError(
                f"control request to {address} failed: {response.body!r}"
            )
        return response.parse_json()
    finally:
        connection.close()


_ANY_PORT = "127.0.0.1:0"


def _format_target_specs(dataset, targets):
    lines = []
    for target in targets:
        shard = target.split("-")[-2]
        lines += [
            f"[{target}]",
            f"address = {_ANY_PORT}",
            f"shards = {shard}",
            f"slots = {dataset.slots}",
            f"max_connections = {dataset.max_connections}",
            f"service_ms = {dataset.service_ms}",
        ]
    return "\n".join(lines) + "\n"
