"""A small deployment: settings files, gateway processes and configurations."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time

from .wire import encode_request, read_message

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
COMMAND = ["python3", "-m", "tarragonchute", "gateway"]
START_TIMEOUT_S = 20.0

BOUNDS = {
    "seed-staleness-s": 3,
    "addr-reuse-s": 2,
    "contact-ms": 4000,
    "ack-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 3000,
    "rollback-slack-ms": 250,
    "max-skew-ms": 12000,
    "retry-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 58,
    "warmup-overshoot": 1.5,
    "warmup-slack": 5,
    "evacuate-ms": 5000,
    "recovery-s": 12,
}
"""Bounds of the small sites."""

LIMITS = {
    "cpu-share": 0.537,
    "cpu-cores": 2,
    "memory-mb": 300,
    "max-fds": 4100,
    "link-mbps": 1000.0,
    "disk-mb": 0,
}
"""Machines of hollowmere-chute."""


def find_free_port(host):
    """Return a port that no socket on the host uses."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Gateway:
    """One process of the role ``gateway``, started with the command of the deploy file.

    Parameters
    ----------
    name, host, zone : str
        The host is a loopback address of its own.
    store_address : str
    folder : pathlib.Path
        For the settings file and the log.
    seeds : list of str
    bounds, limits : dict
    """

    def __init__(self, name, host, zone, store_address, folder, bounds, limits):
        self.name = name
        self.host = host
        self.zone = zone
        ports = [find_free_port(host) for _ in range(4)]
        self.front, self.ready, self.control = (f"{host}:{p}" for p in ports[:3])
        self._port = ports[3]
        self._store_address = store_address
        self._bounds = bounds
        self._limits = limits
        self._settings_path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process = None

    def write_settings(self, seeds, zones):
        """Write the settings file as the platform does."""
        fields = {
            "node-name": self.name,
            "role": "gateway",
            "machine-class": "front",
            "serves": ["front", "control"],
            "ip": self.host,
            "zone": self.zone,
            "region": "region-1",
            "port-range": [self._port, self._port],
            "seeds": seeds,
            "bootstrap": True,
            "loss-counts": False,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat-ms": 1200,
        }
        tables = {
            "zones": dict.fromkeys(zones, "region-1"),
            "listen-addrs": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "limits": self._limits,
            "fault-tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": self._bounds,
            "platform": {
                "address": self._store_address,
                "form": "kv",
                "writes-per-s": 400,
                "reads-per-s": 2000,
                "history-s": 20,
                "value-bytes": 1048576,
                "ttl-min-ms": 1000,
            },
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
        for table, values in tables.items():
            lines.append(f"[{table}]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in values.items()]
        self._settings_path.write_text("\n".join(lines) + "\n")

    def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TARRAGONCHUTE_NODE_FILE"] = str(self._settings_path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    @property
    def is_running(self):
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def read_resident_bytes(self):
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            statm = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
            return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0

    async def is_ready(self):
        """Whether the probe of the balancer gets 200."""
        try:
            host, _, port = self.ready.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        try:
            headers = [("Host", self.ready), ("Connection", "close")]
            writer.write(encode_request("GET", "/ready", headers))
            response = await asyncio.wait_for(read_message(reader), 1.0)
            return response is not None and response.status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def open_front(self):
        """Open a connection of a consumer; return its reader and writer."""
        host, _, port = self.front.rpartition(":")
        return await asyncio.open_connection(host, int(port))

    def stop(self):
        """Kill the process if it still runs."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Deployment:
    """Gateways in zones, in front of a store.

    Parameters
    ----------
    store : store.Store
    zones : list of str
        The zone of each gateway.
    bounds, limits : dict or None
        Replace single values of `BOUNDS` and `LIMITS`.
    """

    def __init__(self, store, zones, bounds=None, limits=None):
        self._folder = tempfile.TemporaryDirectory(prefix="tarragonchute-review-")
        folder = pathlib.Path(self._folder.name)
        self.gateways = [
            Gateway(
                f"front-{zone}-{number}",
                f"127.1.{number}.1",
                zone,
                store.address,
                folder,
                {**BOUNDS, **(bounds or {})},
                {**LIMITS, **(limits or {})},
            )
            for number, zone in enumerate(zones, 1)
        ]
        self._zones = list(dict.fromkeys(zones))

    async def start(self):
        """Start all gateways and wait until each is ready."""
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write_settings(seeds, self._zones)
            gateway.start()
        ends_at = time.monotonic() + START_TIMEOUT_S
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > ends_at or not gateway.is_running:
                    raise RuntimeError(f"{gateway.name} does not become ready")
                await asyncio.sleep(0.1)

    def stop(self):
        """End all processes and remove the folder."""
        for gateway in self.gateways:
            gateway.stop()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                target = pathlib.Path(os.environ["KEEP_LOGS"])
                target.mkdir(parents=True, exist_ok=True)
                (target / gateway.log_path.name).write_bytes(
                    gateway.log_path.read_bytes()
                )
        self._folder.cleanup()


def build_service(name, max_connections=26):
    """Return a service of a configuration."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": max_connections,
        "protocol": "h1",
        "tls": False,
        "warmup-s": 3.0,
        "warmup-per-s": 0.0,
    }


def build_configuration(version, routes, services, tenants=None):
    """Return the value of the key ``op/config``."""
    body = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
    if tenants is not None:
        body["tenants"] = tenants
    return json.dumps(body).encode()
