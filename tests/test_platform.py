"""Tests of the platform adapter: decoding, store client and gateway process."""

import contextlib
import logging
import pathlib
import signal
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
from tarragonchute.errors import (
    FindingsError,
    HistoryLostError,
    LeaseNotFoundError,
    PortInUseError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tarragonchute.fleet import VM_PREFIX, VmInfo
from tarragonchute.gateway import Gateway
from tarragonchute.httpio import (
    HttpConnection,
    HttpResponse,
    ServerOptions,
    bind_listeners,
    get_address,
    serve_http,
)
from tarragonchute.platform import decoding, settings
from tarragonchute.platform.main import GatewayUpdater
from tarragonchute.platform.names import HEADER_NAMES
from tarragonchute.platform.store import PlatformStore
from tarragonchute.process import DRAIN_ACCEPT_FRACTION, METRICS_PORT
from tarragonchute.store import MemoryStore
from tarragonchute.storewatcher import StoreWatcher

from .test_gateway import build_settings as build_gateway_settings
from .test_httpio import reserve_closed_port, start_server
from .test_lost_answers import CONFIGURATION_BOUND_S
from .trial import run_async, run_in_virtual_time

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20
GRACE_S = 3

REGISTRATION = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "d",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmup-left-ms": 1500,
    "call-seq": 4,
    "born": 1770000000000,
}


class DecodingTests(testtools.TestCase):
    """Decoding of registrations and configurations, also of invalid ones."""

    def test_registration(self):
        """Guards against a field decoded into the wrong attribute or unit."""
        registration = decoding.decode_registration("i-1", orjson.dumps(REGISTRATION))
        self.assertEqual(("10.0.0.1", 80), registration.address)
        self.assertEqual(
            ("s", "d", 2),
            (registration.service, registration.domain, registration.slots),
        )
        self.assertEqual(1.5, registration.cold_left_s)
        self.assertFalse(registration.is_draining)

    def test_malformed_registration_is_rejected(self):
        """Guards against requests to an address from a malformed entry.

        Other programs can write to the store, so fields may be missing or have a wrong
        type.
        """
        malformed = [
            {**REGISTRATION, "state": "sleepy"},
            {**REGISTRATION, "capacity": "2"},
            {**REGISTRATION, "address": "nowhere"},
            {**REGISTRATION, "address": 7},
            {**REGISTRATION, "address": "target.example:80"},
            {**REGISTRATION, "address": "x" * 70 + ".example:80"},
            {**REGISTRATION, "service": None},
            {**REGISTRATION, "born": 1.5},
            {**REGISTRATION, "warmup-left-ms": True},
            [REGISTRATION],
            "text",
        ]
        for name in ("service", "address", "zone", "capacity", "state", "born"):
            malformed.append({k: v for k, v in REGISTRATION.items() if k != name})
        for body in malformed:
            text = orjson.dumps(body).decode()
            self.assertIsNone(decoding.decode_registration("i-1", text), body)
        self.assertIsNone(decoding.decode_registration("i-1", ""))

    def test_malformed_target_id_is_rejected(self):
        """Guards against an id that adds headers to the requests to a target."""
        text = orjson.dumps(REGISTRATION).decode()
        for target_id in ("i\r\nX-Added: 1", "i 1", "\xe4", "i" * 300):
            self.assertIsNone(decoding.decode_registration(target_id, text), target_id)

    def test_configuration(self):
        """Guards against a route without its kind, shards or limits."""
        table = decoding.decode_configuration(build_configuration(7, ["a", "b"], "c"))
        search, order = table.routes
        self.assertEqual(7, table.version)
        self.assertEqual((("a", "b"), 5, 0.5), (search.shards, search.top, 0.5))
        self.assertFalse(order.is_idempotent)
        self.assertEqual([("c", 1.0)], order.weighted_services)
        self.assertEqual(26, table.services["a"].max_connections)
        self.assertEqual(3.0, table.limits.header_timeout_s)

    def test_invalid_configuration_is_rejected(self):
        """Guards against an invalid configuration that is applied or raises."""
        for text in ("", "{", "[]", '{"version": 1}'):
            self.assertIsNone(decoding.decode_configuration(text))

    def test_keys(self):
        """Guards against a key that is decoded as one of another kind."""
        self.assertEqual("i-1", decoding.decode_target_key("servers/i-1"))
        self.assertIsNone(decoding.decode_target_key("op/config"))
        self.assertEqual("d", decoding.decode_evacuated_domain("op/evacuate/d"))
        self.assertIsNone(decoding.decode_evacuated_domain("op/config"))


class OddEntryTests(testtools.TestCase):
    """Entries of other writers among those of targets and VMs.

    Reported by operators of similar systems: one odd entry ended the processes that
    read the list again and again, or they stopped following it.
    """

    NUMBERS = ("1e400", "1e308", "-1e308", "1" + "0" * 30, "1" + "0" * 400, "NaN")
    ADDRESSES = (
        "10.0.0.1:65536",
        "10.0.0.1:0",
        "10.0.0.1:-1",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:\N{SUPERSCRIPT TWO}",
        "10.0.0.1",
        "[::1]:80",
        "localhost:80",
        "255.255.255.255:80",
        "0.0.0.0:80",
        "",
    )

    def list_odd_texts(self, body, address_field):
        """Return texts with one odd field each, and texts that are no object."""
        texts = ["", "{", "[]", "7", "null", '"x"', "\x00", "NaN"]
        for depth in (500, 1000, 100_000):
            nested = "[" * depth + "]" * depth
            texts += [nested, '{"a":' * depth + "1" + "}" * depth]
            texts += [self.replace(body, name, nested) for name in (*body, "other")]
        for name in body:
            texts += [self.replace(body, name, number) for number in self.NUMBERS]
            texts += [self.replace(body, name, "null"), self.replace(body, name, "{}")]
            texts.append(orjson.dumps({k: body[k] for k in body if k != name}).decode())
        for address in self.ADDRESSES:
            texts.append(orjson.dumps({**body, address_field: address}).decode())
        return texts

    def replace(self, body, name, text):
        """Return a JSON object in which one field has this text as its value."""
        fields = {key: orjson.dumps(body[key]).decode() for key in body}
        fields[name] = text
        return "{" + ",".join(f'"{key}":{fields[key]}' for key in fields) + "}"

    def list_odd_entries(self):
        """Return odd entries as pairs of key and text."""
        vm = VmInfo("vm-2", "d", "10.0.0.2:7", "10.0.0.2:8").encode()
        targets = self.list_odd_texts(REGISTRATION, "address")
        vms = self.list_odd_texts(orjson.loads(vm), "address")
        vms += self.list_odd_texts(orjson.loads(vm), "search_address")
        entries = [(f"servers/i-{n}", text) for n, text in enumerate(targets, 10)]
        entries += [(f"{VM_PREFIX}vm-{n}", text) for n, text in enumerate(vms, 10)]
        return [*entries, ("op/evacuate/", "{}"), ("other", "[" * 10_000)]

    def build(self):
        """Return a gateway with wide searches, and the updater of its content."""
        settings = build_gateway_settings()
        settings.search_address = "127.0.0.1:5"
        gateway = Gateway(settings, HEADER_NAMES, ServerOptions())
        self.addCleanup(gateway.reactor.close)
        shards = [f"s{number}" for number in range(60)]
        text = build_configuration(1, shards, "desk")
        gateway.apply_table(decoding.decode_configuration(text))
        return gateway, GatewayUpdater(gateway)

    async def check_that_changes_arrive(self, gateway, updater, store):
        """Check that a target that registers now is used, and that all timers run."""
        watcher = StoreWatcher(store, updater)
        with self.assertNoLogs(level=logging.ERROR):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watcher.run)
                await trio.sleep(1.0)
                self.assertTrue(watcher.is_loaded)
                text = orjson.dumps({**REGISTRATION, "service": "s1"}).decode()
                await store.put("servers/i-1", text, 0)
                for _ in range(20):
                    await trio.sleep(0.5)
                    gateway.sweep(trio.current_time())
                nursery.cancel_scope.cancel()
        usable = [t.registration.target_id for t in gateway.registry.list_usable("s1")]
        self.assertEqual(["i-1"], usable)

    @run_in_virtual_time
    async def test_listing(self):
        """Guards against a process that fails at each listing of the store."""
        gateway, updater = self.build()
        store = MemoryStore()
        for key, text in self.list_odd_entries():
            await store.put(key, text, 0)
        await self.check_that_changes_arrive(gateway, updater, store)

    @run_in_virtual_time
    async def test_changes(self):
        """Guards against a change after which the store is not followed any more."""
        gateway, updater = self.build()
        with self.assertNoLogs(level=logging.ERROR):
            for key, text in self.list_odd_entries():
                updater.apply_change(key, text)
                gateway.sweep(trio.current_time())
        await self.check_that_changes_arrive(gateway, updater, MemoryStore())

    def test_odd_registration_names_no_target(self):
        """Guards against requests to an address from an odd entry."""
        for address in self.ADDRESSES:
            text = orjson.dumps({**REGISTRATION, "address": address})
            self.assertIsNone(decoding.decode_registration("i-1", text), address)
        for name in ("warmup-left-ms", "capacity", "born"):
            for number in self.NUMBERS:
                text = self.replace(REGISTRATION, name, number)
                self.assertIsNone(decoding.decode_registration("i-1", text), text)


class SettingsTests(testtools.TestCase):
    """The platform's settings file."""

    def test_all_findings_are_reported_together(self):
        """Guards against a start that reports only the first missing field."""
        try:
            settings.decode_settings({"zone": 5})
        except FindingsError as error:
            places = [finding.place for finding in error.findings]
        self.assertIn("settings: zone", places)
        self.assertIn("settings: platform.address", places)

    def test_malformed_file_is_a_finding(self):
        """Guards against a changed settings file that ends the process."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.toml"
            for content in (b"\xff", b"limits = 3\n", b"[platform"):
                path.write_bytes(content)
                self.assertRaises(FindingsError, settings.load_settings, str(path))

    def test_missing_file_is_a_finding(self):
        """Guards against an unreadable file that raises no FindingsError."""
        self.assertRaises(FindingsError, settings.load_settings, "/nonexistent")


@contextlib.asynccontextmanager
async def open_store():
    """Yield ``(client, server)``: a `PlatformStore` and its stand-in server."""
    server = PlatformStoreServer()
    async with start_server(server.handle) as address:
        store = PlatformStore(address)
        yield store, server
        store.close()


class PlatformStoreTests(testtools.TestCase):
    """The store client against the stand-in server."""

    @run_async
    async def test_compare_and_swap(self):
        """Guards against a lost update, and a conflict without the current entry."""
        async with open_store() as (store, _):
            self.assertIsNone(await store.get("a"))
            first = await store.put("a", "1", 0)
            try:
                await store.put("a", "2", 0)
            except StoreConflictError as error:
                self.assertEqual(first, error.entry.revision)
            else:
                self.fail("the second write did not raise a conflict")
            second = await store.put("a", "2", first)
            await store.delete("a", second)
            self.assertIsNone(await store.get("a"))

    @run_async
    async def test_listing_reads_all_pages(self):
        """Guards against treating targets beyond the first page as removed."""
        async with open_store() as (store, server):
            for number in range(120):
                await server.store.put(f"k{number:03}", "v", 0)
            entries, revision = await store.list("k")
            self.assertEqual(120, len(entries))
            self.assertEqual(server.store.revision, revision)

    @run_async
    async def test_watch_returns_changes_and_deletions(self):
        """Guards against a deletion that is decoded as an empty value."""
        async with open_store() as (store, server):
            revision = await server.store.put("a", "1", 0)
            await server.store.delete("a", revision)
            await server.store.put("b", "2", 0)
            entries, _ = await store.watch("", 0, 1.0)
            values = {entry.key: entry.value for entry in entries}
            self.assertEqual({"a": None, "b": "2"}, values)

    @run_async
    async def test_compacted_history_is_reported(self):
        """Guards against a watch that skips changes which the store has compacted."""
        async with open_store() as (store, server):
            await server.store.put("a", "1", 0)
            server.compact()
            try:
                await store.watch("", 0, 1.0)
            except HistoryLostError:
                return
        self.fail("the watch did not raise HistoryLostError")

    @run_async
    async def test_rejected_write_is_reported(self):
        """Guards against a rejected write that is reported as successful."""
        async with open_store() as (store, server):
            server.refuses = True
            try:
                await store.put("a", "1", 0)
            except StoreUnavailableError:
                return
        self.fail("the write was not rejected")

    @run_async
    async def test_ended_lease_is_reported(self):
        """Guards against an ended lease whose renewal seems to succeed."""
        async with open_store() as (store, server):
            lease = await store.grant_lease(5.0)
            await store.renew_lease(lease)
            server.store.expire_leases()
            try:
                await store.renew_lease(lease)
            except LeaseNotFoundError:
                return
        self.fail("the renewal did not raise LeaseNotFoundError")

    @run_async
    async def test_probe(self):
        """Guards against a probe that fails because no key has its prefix."""
        async with open_store() as (store, server):
            self.assertEqual(server.store.revision, await store.probe())
            server.refuses = True
            try:
                await store.probe()
            except StoreUnavailableError:
                return
        self.fail("the probe did not raise StoreUnavailableError")


class MalformedResponseTests(testtools.TestCase):
    """Responses of the store that are JSON but not what the protocol promises.

    Reported by operators of similar systems: one malformed message took a whole process
    down.
    """

    @run_async
    async def test_reads_raise_a_store_error(self):
        """Guards against an exception that nothing handles."""
        for body in (
            {},
            {"items": 5, "events": 5, "truncated": False, "store-revision": 1},
            {"items": [7], "events": [7], "truncated": False, "store-revision": 1},
            {"items": [{}], "events": [{}], "truncated": True, "store-revision": 1},
            {"items": [], "events": [], "truncated": False, "store-revision": "x"},
        ):

            async def handle(_request, body=body):
                return HttpResponse.from_json(body)

            async with start_server(handle) as address:
                store = PlatformStore(address)
                await self.check_error(StoreUnavailableError, store.list, "")
                await self.check_error(StoreUnavailableError, store.watch, "", 1, 0.1)
                if body.get("store-revision") != 1:
                    await self.check_error(StoreUnavailableError, store.probe)
                store.close()

    @run_async
    async def test_writes_have_an_unknown_outcome(self):
        """Guards against treating a malformed answer as a confirmation or a refusal."""
        for status, body in ((200, {}), (200, {"revision": "x"}), (412, {"items": 5})):

            async def handle(_request, status=status, body=body):
                return HttpResponse.from_json(body, status)

            async with start_server(handle) as address:
                store = PlatformStore(address)
                await self.check_error(StoreOutcomeUnknownError, store.put, "k", "v", 0)
                store.close()

    async def check_error(self, error_type, call, *arguments):
        try:
            await call(*arguments)
        except error_type:
            return
        self.fail(f"{call} did not raise {error_type}")


class Deployment:
    """A stand-in store and targets in this process, and one gateway process.

    Parameters
    ----------
    nursery : trio.Nursery
    folder : pathlib.Path
        For the settings file.
    limits : dict of str to int
        Section ``limits`` of the settings file.
    """

    def __init__(self, nursery, folder, limits=None):
        self.nursery = nursery
        self.folder = folder
        self.limits = limits or {}
        self.server = PlatformStoreServer()
        self.targets = []
        self.process = None
        self.callers = self.ready = self.peers = self.server_address = ""

    async def start(self, services):
        """Start all parts and return once the gateway is ready."""
        listeners = await bind_listeners("127.0.0.1:0")
        self.nursery.start_soon(serve_http, self.server.handle, listeners)
        for service in services:
            for domain in ("a", "b"):
                await self.add_target(service, domain)
        shards = [name for name in services if name != "desk"]
        configuration = build_configuration(1, shards, "desk")
        await self.server.store.put("op/config", configuration, 0)
        self.server_address = get_address(listeners)
        await self.start_gateway(self.server_address)
        await self.wait_until_ready()

    async def add_target(self, service, domain):
        """Start a target and register it in the store."""
        target = PlatformTarget(service, domain)
        listeners = await bind_listeners("127.0.0.1:0")
        target.address = get_address(listeners)
        self.nursery.start_soon(serve_http, target.handle, listeners)
        self.nursery.start_soon(target.register, self.server.store)
        self.targets.append(target)
        return target

    async def start_gateway(
        self, store_address, vm_id="vm-1", addresses=None, seeds=()
    ):
        """Write the settings file and start the gateway process.

        `addresses` are those for callers, the readiness probe and other VMs.
        """
        if addresses is None:
            addresses = [await reserve_closed_port() for _ in range(3)]
        self.callers, self.ready, self.peers = addresses
        path = self.folder / "node.toml"
        limits = "".join(f"{name} = {self.limits[name]}\n" for name in self.limits)
        path.write_text(
            f"""node-name = "{vm_id}"
zone = "a"
ip = "127.0.0.1"
seeds = {orjson.dumps(seeds).decode()}
[listen-addrs]
front = "{self.callers}"
ready = "{self.ready}"
control = "{self.peers}"
[bounds]
grace-s = {GRACE_S}
retry-ratio = 0.2
retry-slack = 50
warmup-slack = 5
[platform]
address = "{store_address}"
[limits]
{limits}"""
        )
        await self.restart_gateway()

    async def restart_gateway(self):
        """Start the gateway process with the settings file that was written."""
        self.process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "tarragonchute", "gateway"],
            cwd=ROOT,
            env={"TARRAGONCHUTE_NODE_FILE": str(self.folder / "node.toml"), "PATH": ""},
            stdout=subprocess.DEVNULL,
        )

    async def wait_until_ready(self):
        """Wait until the readiness probe returns 200."""
        with trio.fail_after(START_TIMEOUT_S):
            while await self.probe() != 200:
                await trio.sleep(0.05)

    async def probe(self):
        """Return the status of the readiness probe; 0 if it cannot be reached."""
        try:
            connection = await HttpConnection.open(self.ready, 1.0)
            response = await connection.exchange("GET", "/ready")
            connection.close()
        except OSError:
            return 0
        return response.status

    async def move_orders(self):
        """Write a version in which the route of the orders has another prefix."""
        store = self.server.store
        entry = await store.get("op/config")
        text = entry.value.replace("/order/", "/moved/")
        text = text.replace('"version":1', '"version":3')
        await store.put("op/config", text, entry.revision)

    async def call(self, path, method="GET", body=b"", request_id="r1"):
        """Send one request as a caller and return the response."""
        connection = await HttpConnection.open(self.callers, 1.0)
        headers = [
            ("Host", "h.example"),
            ("Request-Id", request_id),
            ("Request-Deadline", "900"),
        ]
        connection._host = b"h.example"
        try:
            return await connection.exchange(method, path, headers[1:], body)
        finally:
            connection.close()


@contextlib.asynccontextmanager
async def open_deployment(
    services=("s0", "s1", "s2", "desk"), limits=None, deployment_type=Deployment
):
    """Yield a `Deployment` that is ready, and kill its process at the end."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            deployment = deployment_type(nursery, pathlib.Path(folder), limits)
            try:
                await deployment.start(services)
                yield deployment
            finally:
                if deployment.process and deployment.process.returncode is None:
                    deployment.process.kill()
                    await deployment.process.wait()
                nursery.cancel_scope.cancel()


class ProcessTests(testtools.TestCase):
    """The gateway process, with callers, a store and targets."""

    @run_async
    async def test_search_and_order(self):
        """Guards against a break anywhere on the way from caller to target."""
        async with open_deployment() as deployment:
            response = await deployment.call("/search/1")
            self.assertEqual(200, response.status)
            self.assertEqual(3, len(response.headers["part-stamps"].split(",")))
            self.assertEqual(5 * 16, len(response.body))
            response = await deployment.call("/order/1", "POST", b"book")
            self.assertEqual((200, b"book"), (response.status, response.body))
            self.assertIn("response-stamp", response.headers)
            response = await deployment.call("/none/1")
            self.assertEqual(404, response.status)

    @run_async
    async def test_metrics_port_in_use_does_not_stop_the_gateway(self):
        """Guards against a VM that fails to start when the metrics port is in use."""
        listeners = []
        with contextlib.suppress(PortInUseError):
            listeners = await bind_listeners(f"127.0.0.1:{METRICS_PORT}")
        async with open_deployment() as deployment:
            self.assertEqual(200, (await deployment.call("/search/1")).status)
        for listener in listeners:
            await listener.aclose()

    @run_async
    async def test_store_changes_take_effect(self):
        """Guards against evacuations and configurations that are not applied.

        Targets of the evacuated domain must get no requests, and the route of the new
        configuration must replace the old one.
        """
        async with open_deployment() as deployment:
            store = deployment.server.store
            await store.put("op/evacuate/a", "{}", 0)
            await trio.sleep(1.0)
            before = [len(target.ran) for target in deployment.targets]
            for number in range(4):
                await deployment.call("/search/1", request_id=f"e{number}")
            for target, count in zip(deployment.targets, before, strict=True):
                if target.domain == "a":
                    self.assertEqual(count, len(target.ran))
            await deployment.move_orders()
            await trio.sleep(1.5)
            self.assertEqual(404, (await deployment.call("/order/1", "POST")).status)
            self.assertEqual(200, (await deployment.call("/moved/1", "POST")).status)

    @run_async
    async def test_change_whose_answer_is_lost_takes_effect(self):
        """Guards against an old configuration after one lost answer of the store.

        The connection of the watch stays open, and stale reads show old content
        (review/3).
        """
        async with open_deployment() as deployment:
            server = deployment.server
            server.stale_revision = server.store.revision
            server.lost_watch_answers = 1
            await deployment.move_orders()
            with trio.fail_after(CONFIGURATION_BOUND_S):
                while (await deployment.call("/moved/1", "POST")).status != 200:
                    await trio.sleep(0.05)
            self.assertEqual(0, server.lost_watch_answers)
            self.assertEqual(404, (await deployment.call("/order/1", "POST")).status)

    @run_async
    async def test_stop_finishes_requests_in_flight(self):
        """Guards against a stop that aborts requests in flight.

        The readiness probe must fail at once, so that no new callers arrive.
        """
        async with open_deployment() as deployment:
            for target in deployment.targets:
                target.delay_s = 0.5
            responses = []

            async def order(number):
                responses.append(
                    await deployment.call("/order/1", "POST", b"x", f"o{number}")
                )

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(order, number)
                await trio.sleep(0.2)
                deployment.process.send_signal(signal.SIGTERM)
                await trio.sleep(0.1)
                self.assertEqual(503, await deployment.probe())
            self.assertEqual([200] * 4, [response.status for response in responses])
            with trio.fail_after(4.0):
                self.assertEqual(0, await deployment.process.wait())

    @run_async
    async def test_request_late_in_the_stop_is_answered(self):
        """Guards against a request that is sent on, then cut when the process exits.

        Reported by operators of similar systems. The request comes on a connection
        that was opened before the stop and not used yet; its target replies after the
        exit. It may not be repeated, so the caller needs an answer.
        """
        async with open_deployment() as deployment:
            for target in deployment.targets:
                target.delay_s = 0.8
            connection = await HttpConnection.open(deployment.callers, 1.0)
            connection._host = b"h.example"
            deployment.process.send_signal(signal.SIGTERM)
            await trio.sleep(GRACE_S * DRAIN_ACCEPT_FRACTION + 0.7)
            headers = [("Request-Id", "late"), ("Request-Deadline", "900")]
            response = await connection.exchange("POST", "/order/1", headers, b"x")
            connection.close()
            self.assertIn(response.status, (503, 504))
            ran = [rid for target in deployment.targets for rid in target.ran]
            if response.status == 503:
                self.assertEqual([], ran)
            with trio.fail_after(2.0):
                self.assertEqual(0, await deployment.process.wait())

    @run_async
    async def test_request_without_configuration_gets_503(self):
        """Guards against a 404 for every route before a configuration was read."""
        with tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                deployment = Deployment(nursery, pathlib.Path(folder))
                await deployment.start_gateway(await reserve_closed_port())
                with trio.fail_after(START_TIMEOUT_S):
                    while await deployment.probe() == 0:
                        await trio.sleep(0.05)
                response = await deployment.call("/search/1")
                self.assertEqual(503, response.status)
                self.assertIn("retry-after", response.headers)
                deployment.process.kill()
                await deployment.process.wait()
                nursery.cancel_scope.cancel()

    @run_async
    async def test_hangup_during_the_start_does_not_end_the_process(self):
        """Guards against SIGHUP that arrives before its handler is installed.

        The imports of the gateway take longer than its entry point; the signal is sent
        while they run.
        """
        async with open_deployment() as deployment:
            store_address = deployment.server_address
            for delay_s in (0.0, 0.03, 0.06, 0.1):
                deployment.process.kill()
                await deployment.process.wait()
                await deployment.start_gateway(store_address)
                await self.wait_for_imports(deployment.process.pid)
                await trio.sleep(delay_s)
                deployment.process.send_signal(signal.SIGHUP)
                await deployment.wait_until_ready()
                self.assertIsNone(deployment.process.returncode)

    async def wait_for_imports(self, pid):
        """Wait until the process has loaded a library that the gateway imports."""
        with trio.fail_after(START_TIMEOUT_S):
            while b"orjson" not in await trio.Path(f"/proc/{pid}/maps").read_bytes():
                await trio.sleep(0.001)
