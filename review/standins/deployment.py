"""Stand-ins for the scripts under review/: store, servers, consumers and VM processes.

They use the standard library alone and follow PROTOCOL.md and DEPLOY.md. Every address
is a loopback address.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qsl, unquote

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-m", "tarragonchute", "gateway"]
"""The start command of deploy/system.toml."""

HEARTBEAT_S = 1.2
GRACE_S = 6
ZONES = ("brisbane-a", "ipswich-b", "logan-c")
HOST = "pupu76.example"
RECORD_BYTES = 16


class Record:
    """Writes what was sent, answered and run to record.txt, each with its time."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._started_at

    def write(self, text):
        """Write one line."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()


class Request:
    """A request as a stand-in server has read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end of input."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Return the next `Request` of a connection, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Request(method, target, headers, body)


def encode_response(status, headers=(), body=b""):
    """Return a complete HTTP/1.1 response with a length."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Status'}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def get_address(server):
    """Return the ``host:port`` at which an asyncio server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def list_free_ports(host, count):
    """Return numbers of ports that are free on a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((host, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Store:
    """The platform's metadata store."""

    PAGE_ITEMS = 500

    def __init__(self, staleness_s=0.0, history_s=None):
        self.staleness_s = staleness_s
        self.history_s = history_s
        self._dropped_revision = 0
        self.revision = 1
        self.items = {}
        self.events = []
        self._event_times = []
        self.leases = {}
        self.address = ""
        self._numbers = itertools.count(77120)
        self._changed = asyncio.Event()

    async def start(self, host):
        """Listen on a free port of a loopback address."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = get_address(server)
        return server

    def put(self, key, value, lease=0):
        """Write a key as the operator or a server does; return the revision."""
        if not isinstance(value, str):
            value = json.dumps(value)
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value.encode()).decode(),
            "revision": self.revision,
            "create-revision": self.revision,
            "lease": lease,
        }
        old = self.items.get(key)
        if old is not None:
            item["create-revision"] = old["create-revision"]
        self.items[key] = item
        self._append(item)
        return self.revision

    def delete(self, key):
        """Remove a key; return the revision."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._append(event)
        return self.revision

    def _append(self, event):
        self.events.append(event)
        self._event_times.append(time.monotonic())
        self._drop_history()
        self._changed.set()
        self._changed = asyncio.Event()

    def _drop_history(self):
        if self.history_s is None:
            return
        oldest = time.monotonic() - self.history_s
        while self._event_times[0] < oldest:
            self._dropped_revision = self.events.pop(0)["revision"]
            self._event_times.pop(0)

    async def expire_leases(self):
        """Remove the keys of ended leases until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for number in [n for n, (_, end) in self.leases.items() if end <= now]:
                self._end_lease(number)

    def _end_lease(self, number):
        del self.leases[number]
        for key in [k for k, i in self.items.items() if i["lease"] == number]:
            self.delete(key)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(request)
                headers = [("Content-Type", "application/json")]
                writer.write(
                    encode_response(status, headers, json.dumps(body).encode())
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request):
        path, _, query = request.target.partition("?")
        query = dict(parse_qsl(query, keep_blank_values=True))
        body = json.loads(request.body) if request.body else {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, {**item, "store-revision": self.revision}
        if path == "/kv-range":
            return 200, self._list(query)
        if path == "/kv-watch":
            if int(query["after"]) < self._dropped_revision:
                return 410, {}
            return 200, await self._watch(query)
        if path == "/kv-txn":
            return self._commit(body)
        if path == "/kv-lease":
            number = next(self._numbers)
            ttl_ms = body["ttl-ms"]
            self.leases[number] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": number, "ttl-ms": ttl_ms}
        number = int(unquote(path.rpartition("/")[2]) or 0)
        if number not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl_ms, _ = self.leases[number]
            self.leases[number] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"ttl-ms": ttl_ms}
        self._end_lease(number)
        return 200, {}

    def _list(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        items, revision = self.items, self.revision
        if query.get("stale-ok") == "1" and self.staleness_s:
            items, revision = self._restore(time.monotonic() - self.staleness_s)
        keys = sorted(k for k in items if k.startswith(prefix) and k > after)
        page = keys[: self.PAGE_ITEMS]
        return {
            "items": [items[key] for key in page],
            "truncated": len(keys) > len(page),
            "store-revision": revision,
        }

    def _restore(self, at):
        """Return the items and the revision that held at a time."""
        items, revision = {}, 1
        for event, changed_at in zip(self.events, self._event_times, strict=True):
            if changed_at > at:
                break
            revision = event["revision"]
            if event.get("removed"):
                items.pop(event["key"], None)
            else:
                items[event["key"]] = event
        return items, revision

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        ends_at = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "store-revision": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _commit(self, body):
        for row in body["expected-rev"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for write in body["writes"]:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body["writes"]:
            value = base64.b64decode(write["value"]).decode()
            self.put(write["key"], value, write.get("lease") or 0)
        for key in body["deletes"]:
            self.delete(key)
        return 200, {"revision": self.revision}


class Server:
    """One server of a service.

    `behave`, if set, is called instead of `run` with the request, its number, the
    reader and the writer; it returns whether the connection goes on.
    """

    def __init__(self, store, record, service, zone, number, work_s=0.01):
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.target_id = f"i-{service}-{number}"
        self.work_s = work_s
        self.address = ""
        self.behave = None
        self.ran = []
        self.connections = 0
        self.cold_left_ms = 0
        self._born = int(time.time() * 1000)

    async def start(self, host="127.0.0.1"):
        """Listen on a free port and register in the store."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = get_address(server)
        self.register()
        return server

    def register(self, state="ready"):
        """Write the registration, as the server does at its start."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": 2,
            "state": state,
            "warmup-left-ms": self.cold_left_ms,
            "call-seq": 1,
            "born": self._born,
        }
        return self.store.put(f"servers/{self.target_id}", entry)

    def stamp(self, request):
        """Return the digest of a response, which names the server and the request."""
        return f"{self.target_id}.{request.headers.get('request-id', '')}"

    def build_body(self, request):
        """Return the body of a success: four records of 16 bytes."""
        text = self.stamp(request).encode()
        return b"".join((b"%d" % n + text)[-16:].rjust(16, b"0") for n in range(4))

    async def run(self, request):
        """Run a request and return the bytes of the response."""
        request_id = request.headers.get("request-id", "")
        self.ran.append(request_id)
        self.record.write(f"run {self.target_id} {request.method} {request_id}")
        await asyncio.sleep(self.work_s)
        headers = [("Request-Id", request_id), ("Response-Stamp", self.stamp(request))]
        return encode_response(200, headers, self.build_body(request))

    async def _serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            for number in itertools.count():
                request = await read_request(reader)
                if request is None:
                    break
                expected = request.headers.get("expect-instance")
                if expected not in (None, self.target_id):
                    headers = [("Instance-Id", self.target_id)]
                    writer.write(encode_response(421, headers))
                elif self.behave is not None:
                    if not await self.behave(self, request, number, reader, writer):
                        break
                else:
                    writer.write(await self.run(request))
                await writer.drain()
        self.connections -= 1
        with contextlib.suppress(Exception):
            writer.close()


class StoreProxy:
    """Proxy between one VM and the store, which can lose the answer to a watch."""

    def __init__(self, store_address, record):
        self.address = ""
        self.loses_next_watch_answer = False
        self.lost_at = None
        self.watches = 0
        """Number of watch calls that were passed on."""
        self._store_address = store_address
        self._record = record

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = get_address(server)
        return server

    async def _serve(self, reader, writer):
        host, _, port = self._store_address.rpartition(":")
        store = await asyncio.open_connection(host, int(port))
        # Whether the latest call on this connection is a watch, and whether an answer
        # was lost on it: it returns nothing further then.
        state = {"is_watch": False, "is_silent": False}
        try:
            await asyncio.gather(
                self._pass(reader, store[1], state, True),
                self._pass(store[0], writer, state, False),
            )
        except asyncio.CancelledError:
            pass
        finally:
            store[1].transport.abort()
            writer.transport.abort()

    async def _pass(self, reader, writer, state, is_call):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if is_call and not state["is_silent"]:
                    state["is_watch"] = data.startswith(b"GET /kv-watch")
                    self.watches += state["is_watch"]
                elif state["is_watch"] and self.loses_next_watch_answer:
                    self.loses_next_watch_answer = False
                    self.lost_at = time.monotonic()
                    state["is_silent"] = True
                    self._record.write("the store's answer to a watch is lost")
                if not state["is_silent"]:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(ConnectionError):
            writer.close()


class Vm:
    """One entry VM: a gateway process with its settings file."""

    def __init__(self, number, zone, folder, store_address):
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        # Each VM has a loopback address of its own, as on a real network; the process
        # id keeps concurrent scripts apart.
        pid = os.getpid()
        self.ip = f"127.{pid // 250 % 250 + 1}.{pid % 250 + 1}.{number + 1}"
        self.front, self.ready, self.control, search = (
            f"{self.ip}:{port}" for port in list_free_ports(self.ip, 4)
        )
        self._search_port = search.rpartition(":")[2]
        self.process = None
        self._folder = folder
        self._store_address = store_address
        self._log = open(folder / f"{self.name}.log", "ab")

    def start(self, seeds):
        """Write the settings and start the program of the deploy file."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(self._format_settings(seeds))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TARRAGONCHUTE_NODE_FILE"] = str(path)
        self.process = subprocess.Popen(
            COMMAND,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def read_log(self):
        """Return what all processes of this VM have written."""
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    async def is_ready(self):
        """Return whether the readiness probe is answered with 200."""
        try:
            status, _, _ = await exchange(self.ready, "GET", "/ready", timeout_s=1.0)
        except (OSError, asyncio.TimeoutError, EOFError):
            return False
        return status == 200

    def end(self):
        """Kill the process if it still runs, and reap it."""
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        if self.process is not None:
            self.process.wait()
        self._log.close()

    def _format_settings(self, seeds):
        zones = "\n".join(f'{zone} = "qld-south"' for zone in ZONES)
        return f"""node-name = "{self.name}"
role = "gateway"
machine-class = "front"
serves = ["front", "control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "qld-south"
port-range = [{self._search_port}, {self._search_port}]
seeds = {json.dumps(seeds)}
bootstrap = true
loss-counts = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
invariants = [
  "base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"
]
[zones]
{zones}
[listen-addrs]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.control}"
[limits]
cpu-share = 0.537
cpu-cores = 2
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-staleness-s = 3
addr-reuse-s = 2
contact-ms = 4000
ack-ms = 5000
catch-up-s = 4
drain-ms = 3000
grace-s = {GRACE_S}
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-skew-ms = 12000
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 52
warmup-overshoot = 1.5
warmup-slack = 5
evacuate-ms = 5000
recovery-s = 12
[platform]
address = "{self._store_address}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""


def build_service(name, max_conns):
    """Return one service of a configuration."""
    return {
        "name": name,
        "health-path": "/health",
        "max-conns": max_conns,
        "protocol": "h1",
        "tls": False,
        "warmup-s": 3.0,
        "warmup-per-s": 0.0,
    }


def build_configuration(version, shards, single, single_names):
    """Return a configuration with the routes of the small deployment and an order."""

    def route(name, prefix, kind, timeout_ms, goal_ms, **more):
        return {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "timeout-ms": timeout_ms,
            "goal-ms": goal_ms,
            "priority": 1,
            "max-attempts": 2,
            **more,
        }

    listing = {"gather": shards, "top-k": 20, "min-coverage": 0.89}
    check = {"gather": shards, "top-k": 5, "min-coverage": 0.75}
    return {
        "version": version,
        "routes": [
            route("list-build", "/list/", "idempotent", 400, 92, **listing),
            route("aisle-check", "/check/", "idempotent", 250, 44, **check),
            route("plan-fetch", "/plan/", "idempotent", 1500, 277, service=single),
            route("order", "/order/", "non_idempotent", 1500, 277, service=single),
        ],
        "services": [build_service(name, 25) for name in shards]
        + [build_service(name, 34) for name in single_names],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


class Connection:
    """A consumer's connection to a VM."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def exchange(self, method, path, headers=(), body=b""):
        """Send a request and return the status, the headers and the body."""
        self.send(method, path, headers, body)
        return await self.receive()

    def send(self, method, path, headers=(), body=b""):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def receive(self):
        """Return the next response; raises EOFError if the connection ends before."""
        try:
            head = await read_head(self.reader)
            if head is None:
                raise EOFError("the connection ended without a response")
            status = int(head[0].split(" ")[1])
            length = int(head[1].get("content-length", "0"))
            return status, head[1], await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise EOFError(f"the connection ended early: {error!r}") from error

    def close(self):
        self.writer.close()


async def exchange(address, method, path, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new connection; return status, headers and body."""

    async def run():
        connection = await Connection.open(address)
        try:
            return await connection.exchange(method, path, headers, body)
        finally:
            connection.close()

    return await asyncio.wait_for(run(), timeout_s)


def run_case(main):
    """Run a case and end the process with its exit code.

    `main` returns 1 if the rule was broken, 0 if it held, 2 if the case proves nothing.
    SIGTERM ends the VMs, too.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = asyncio.run(main())
    except (RuntimeError, OSError) as error:
        print(f"the case could not run: {error}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    # Skips the finalizers of connections that were cut; they only complain.
    os._exit(code)


class Deployment:
    """A store, servers and VMs; an async context manager that ends all of them."""

    def __init__(
        self,
        folder,
        vm_zones=ZONES,
        shard_count=20,
        single_counts=(("planshelf", 4),),
        staleness_s=0.0,
        uses_store_proxies=False,
        history_s=None,
    ):
        self.record = Record(folder)
        self.store = Store(staleness_s, history_s)
        self.shards = [f"listmaker{number}" for number in range(shard_count)]
        self.servers = []
        self.vms = []
        self._vm_zones = vm_zones
        self._single_counts = single_counts
        self._uses_store_proxies = uses_store_proxies
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self._listeners = []
        self._tasks = []

    @property
    def seeds(self):
        return [vm.control for vm in self.vms[:3]]

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        self._listeners.append(await self.store.start("127.0.0.1"))
        self._tasks.append(asyncio.create_task(self.store.expire_leases()))
        for service in self.shards:
            for number in range(2):
                await self.add_server(service, ZONES[number], number)
        for service, count in self._single_counts:
            for number in range(count):
                await self.add_server(service, ZONES[number % 3], number, 0.07)
        self.store.put("op/config", self.build_configuration(7))
        for number, zone in enumerate(self._vm_zones):
            proxy = None
            if self._uses_store_proxies:
                proxy = StoreProxy(self.store.address, self.record)
                self._listeners.append(await proxy.start())
            address = proxy.address if proxy else self.store.address
            vm = Vm(number, zone, self.folder, address)
            vm.store_proxy = proxy
            self.vms.append(vm)
        for vm in self.vms:
            vm.start(self.seeds)
        await asyncio.gather(*(self.wait_until_ready(vm) for vm in self.vms))
        # VMs need a moment to learn of each other.
        await asyncio.sleep(2.0)

    def build_configuration(self, version, single="planshelf"):
        """Return a version that sends single requests to a service."""
        names = [service for service, _ in self._single_counts]
        return build_configuration(version, self.shards, single, names)

    async def add_server(self, service, zone, number, work_s=0.01):
        server = Server(self.store, self.record, service, zone, number, work_s)
        self._listeners.append(await server.start())
        self.servers.append(server)
        return server

    def list_servers(self, service):
        return [server for server in self.servers if server.service == service]

    async def wait_until_ready(self, vm, limit_s=30.0):
        """Wait for a VM; raises RuntimeError if it does not get ready."""
        ends_at = time.monotonic() + limit_s
        while not await vm.is_ready():
            if vm.process.poll() is not None or time.monotonic() > ends_at:
                raise RuntimeError(f"{vm.name} did not get ready:\n{vm.read_log()}")
            await asyncio.sleep(0.05)

    async def __aexit__(self, *_):
        for vm in self.vms:
            vm.end()
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            listener.close()
        self.record.close()
        self._temporary.cleanup()
