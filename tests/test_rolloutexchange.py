"""Tests of the transport of evidence, the writing of states, and the wiring."""

import contextlib
import types

import orjson
import testtools
import trio

from standins.platform import PlatformStoreServer, build_configuration
from tarragonchute.errors import StoreConflictError, StoreOutcomeUnknownError
from tarragonchute.exchanges import FailureKind
from tarragonchute.fleet import VM_PREFIX, VmInfo
from tarragonchute.gateway import Gateway
from tarragonchute.httpio import HttpRequest, ServerOptions
from tarragonchute.platform import decoding, settings
from tarragonchute.platform.main import GatewayUpdater
from tarragonchute.platform.names import (
    HEADER_NAMES,
    ROLLOUT_ORDER_PREFIX,
    ROLLOUT_STATUS_PREFIX,
)
from tarragonchute.platform.store import PlatformStore
from tarragonchute.registry import Registration
from tarragonchute.rolloutexchange import REPORTS_PATH, RolloutExchange
from tarragonchute.rollouts import Rollouts
from tarragonchute.rolloutstates import (
    STATE_PREFIX,
    Phase,
    RolloutLimits,
    RolloutOrder,
    RolloutState,
)
from tarragonchute.store import MemoryStore
from tarragonchute.storewatcher import StoreWatcher

from .test_gateway import build_settings
from .test_httpio import start_server
from .test_platform import REGISTRATION
from .test_queries import QueryHarness, build_single
from .trial import run_async, run_in_virtual_time

ORDER_KEY = "op/rollout/desk"
STATUS_KEY = ROLLOUT_STATUS_PREFIX + "desk"
STATE_KEY = STATE_PREFIX + "desk"
DURATION_S = 12.0
ORDER = {"service": "desk", "target-version": "v2", "duration-s": DURATION_S}
LIMITS = RolloutLimits(0.1, 50)


def encode(body):
    """Return an object as JSON text."""
    return orjson.dumps(body).decode()


class Vm:
    """The parts of one VM that take part in rollouts, without callers."""

    def __init__(self, store, name="vm-1"):
        values = build_settings()
        values.vm_id = name
        values.rollout_limits = LIMITS
        self.gateway = Gateway(values, HEADER_NAMES, ServerOptions())
        updater = GatewayUpdater(self.gateway)
        self.watcher = StoreWatcher(store, updater)
        updater.get_entry = self.watcher.get_entry
        self.exchange = RolloutExchange(
            self.gateway,
            store,
            self.watcher,
            ROLLOUT_ORDER_PREFIX,
            ROLLOUT_STATUS_PREFIX,
            decoding.encode_rollout_status,
        )

    def list_versions(self):
        """Return the versions of the targets that may get requests."""
        usable = self.gateway.registry.list_usable("desk")
        return [target.registration.software_version for target in usable]


class ExchangeTests(testtools.TestCase):
    """One VM with a store that has faults, in virtual time."""

    @contextlib.asynccontextmanager
    async def open_vm(self):
        """Yield ``(store, vm)`` with a configuration and a target of v1 and of v2."""
        store = MemoryStore()
        await store.put("op/config", build_configuration(1, ["s0"], "desk"), 0)
        for version in ("v1", "v2"):
            await self.put_target(store, version)
            await trio.sleep(0.1)
            if version == "v1":
                vm = Vm(store)
                self.addCleanup(vm.gateway.reactor.close)
                nursery_manager = trio.open_nursery()
                nursery = await nursery_manager.__aenter__()
                nursery.start_soon(vm.watcher.run)
                nursery.start_soon(vm.exchange.run)
                await trio.sleep(1.0)
                vm.list_versions()
        await trio.sleep(1.0)
        try:
            yield store, vm
        finally:
            nursery.cancel_scope.cancel()
            await nursery_manager.__aexit__(None, None, None)

    async def put_target(self, store, version):
        body = {**REGISTRATION, "service": "desk", "version": version}
        body["warmup-left-ms"] = 0
        await store.put(f"servers/i-{version}", encode(body), 0)

    async def read_status(self, store):
        entry = await store.get(STATUS_KEY)
        return entry and orjson.loads(entry.value)

    @run_in_virtual_time
    async def test_order_is_carried_out(self):
        """Guards against a state or status that is not written, or too often."""
        async with self.open_vm() as (store, vm):
            self.assertEqual(["v1"], vm.list_versions())
            await store.put(ORDER_KEY, encode(ORDER), 0)
            await trio.sleep(1.0)
            expected = {"state": "running", "target-version": "v2"}
            self.assertEqual(expected, await self.read_status(store))
            self.assertEqual(["v1", "v2"], vm.list_versions())
            await trio.sleep(DURATION_S - 1.0)
            self.assertEqual("done", (await self.read_status(store))["state"])
            self.assertEqual(["v2"], vm.list_versions())
            self.assertLess(store.calls["put_all"], 8)

    @run_in_virtual_time
    async def test_answers_to_writes_are_lost(self):
        """Guards against a rollout that stops after a write of unknown outcome."""
        async with self.open_vm() as (store, vm):
            await store.put(ORDER_KEY, encode(ORDER), 0)
            for name in ("lose_answers", "lose_writes") * 3:
                setattr(store, name, 1)
                await trio.sleep(DURATION_S / 6)
            self.assertEqual("done", (await self.read_status(store))["state"])
            self.assertEqual(["v2"], vm.list_versions())

    @run_in_virtual_time
    async def test_conflict_with_another_coordinator(self):
        """Guards against a state that replaces the one of another VM."""
        async with self.open_vm() as (store, vm):
            await store.put(ORDER_KEY, encode(ORDER), 0)
            await trio.sleep(1.0)
            known = await store.get(STATE_KEY)
            state = orjson.loads(known.value)
            text = encode({**state, "phase": "rolled_back"})
            # The change is written between judging and writing.
            change = RolloutState(state["order"], "v2", ["v1"], Phase.FULL, 1.0, 8.0)
            store.delay_s = 0.05
            async with trio.open_nursery() as nursery:
                nursery.start_soon(store.put, STATE_KEY, text, known.revision)
                await trio.sleep(0.01)
                nursery.start_soon(self.write, vm, change)
            self.assertEqual(["v1"], vm.list_versions())
            self.assertEqual(text, (await store.get(STATE_KEY)).value)

    @run_in_virtual_time
    async def test_order_changes_before_a_write(self):
        """Guards against `DONE` for an order that was withdrawn or replaced."""
        for is_replaced in (False, True):
            async with self.open_vm() as (store, vm):
                order = await store.put(ORDER_KEY, encode(ORDER), 0)
                await trio.sleep(1.0)
                before = await store.get(STATE_KEY)
                done = RolloutState(order, "v2", ["v1"], Phase.DONE, 1.0, 8.0)
                known = vm.watcher.get_entry(ORDER_KEY)
                vm.watcher.get_entry = {ORDER_KEY: known, STATE_KEY: before}.get
                if is_replaced:
                    text = encode({**ORDER, "target-version": "v3"})
                    await store.put(ORDER_KEY, text, order)
                else:
                    await store.delete(ORDER_KEY, order)
                await self.write(vm, done)
                state = orjson.loads((await store.get(STATE_KEY)).value)
                self.assertEqual("canary", state["phase"])

    @run_in_virtual_time
    async def test_state_changes_after_planning(self):
        """Guards against a newer state that is overwritten unjudged."""
        async with self.open_vm() as (store, vm):
            order = await store.put(ORDER_KEY, encode(ORDER), 0)
            await trio.sleep(1.0)
            known = {key: vm.watcher.get_entry(key) for key in (ORDER_KEY, STATE_KEY)}
            state = orjson.loads(known[STATE_KEY].value)
            text = encode({**state, "phase": "rolled_back"})
            vm.watcher.get_entry = known.get
            revision = await store.put(STATE_KEY, text, known[STATE_KEY].revision)
            done = RolloutState(order, "v2", ["v1"], Phase.DONE, 1.0, 8.0)
            plans = [([], [self.build_change(done)])]
            agent = types.SimpleNamespace(
                advance=lambda now: plans.pop() if plans else ([], [])
            )
            vm.exchange._agent = agent
            async with trio.open_nursery() as nursery:
                vm.exchange._advance(nursery, trio.current_time())
                # The watch delivers the newer state before the write starts.
                vm.exchange._revisions[STATE_KEY] = revision
            self.assertEqual(text, (await store.get(STATE_KEY)).value)

    def build_change(self, state):
        change = type("Change", (), {})()
        change.service, change.state = "desk", state
        change.status, change.reason = None, ""
        return change

    async def write(self, vm, state):
        change = self.build_change(state)
        await vm.exchange._write(change, *vm.exchange._prepare(change))

    @run_in_virtual_time
    async def test_order_withdrawn(self):
        """Guards against requests to a version whose order is gone."""
        async with self.open_vm() as (store, vm):
            revision = await store.put(ORDER_KEY, encode(ORDER), 0)
            await trio.sleep(1.0)
            await store.delete(ORDER_KEY, revision)
            await trio.sleep(1.0)
            self.assertEqual(["v1"], vm.list_versions())
            later = Vm(store)
            self.addCleanup(later.gateway.reactor.close)
            entries, _ = await store.list("")
            GatewayUpdater(later.gateway).apply_snapshot(entries, False)
            self.assertEqual(["v1"], later.list_versions())

    @run_in_virtual_time
    async def test_malformed_evidence(self):
        """Guards against a message that ends the task, or changes the verdict."""
        async with self.open_vm() as (store, vm):
            await store.put(ORDER_KEY, encode(ORDER), 0)
            await trio.sleep(1.0)
            report = {"service": "desk", "order": 1, "step": [], "drained": 1}
            for reports in (None, 5, [5], [report], [{**report, "counts": [[1]]}]):
                body = orjson.dumps({"vm": "x", "process": "p", "reports": reports})
                self.assertEqual(400, await self.post(vm, body))
            for body in (b"", b"[]", b"{", b"\xff", b"[" * 10000):
                self.assertEqual(400, await self.post(vm, body))
            await trio.sleep(DURATION_S - 1.0)
            self.assertEqual("done", (await self.read_status(store))["state"])

    async def post(self, vm, body):
        request = HttpRequest("POST", REPORTS_PATH, body=body)
        return (await vm.exchange.handle(request)).status

    @run_async
    async def test_evidence_reaches_the_coordinator(self):
        """Guards against evidence that is not sent, or not decoded, over a socket."""
        store = MemoryStore()
        vms = [Vm(store, f"vm-{number}") for number in range(2)]
        async with contextlib.AsyncExitStack() as stack:
            for vm in vms:
                self.addCleanup(vm.gateway.reactor.close)
                address = await stack.enter_async_context(
                    start_server(vm.exchange.handle)
                )
                value = VmInfo(vm.gateway.settings.vm_id, "d", address).encode()
                await store.put(VM_PREFIX + vm.gateway.settings.vm_id, value, 0)
                vm.gateway.fleet.own_vm.address = address
            nursery = await stack.enter_async_context(trio.open_nursery())
            stack.callback(nursery.cancel_scope.cancel)
            await self.put_target(store, "v1")
            for vm in vms:
                nursery.start_soon(vm.watcher.run)
                nursery.start_soon(vm.exchange.run)
            await trio.sleep(0.3)
            for vm in vms:
                vm.list_versions()
            await store.put(ORDER_KEY, encode(ORDER), 0)
            with trio.fail_after(10.0):
                while not all(self.list_reporting(vm) == 2 for vm in vms):
                    await trio.sleep(0.05)

    def list_reporting(self, vm):
        coordinations = vm.exchange._agent._coordinator._coordinations
        reports = coordinations["desk"].reports if "desk" in coordinations else {}
        return len({vm_id for vm_id, _ in reports})


class AdapterTests(testtools.TestCase):
    """Orders, status, settings and transactions on the platform."""

    def test_order(self):
        """Guards against an order that is decoded wrongly, or not refused."""
        order = decoding.decode_rollout_order("desk", encode(ORDER), 7)
        self.assertEqual(("v2", 12.0, 7), self.describe(order))
        for name in ORDER:
            for value in ("", [], {}, -1, True):
                text = encode({**ORDER, name: value})
                self.assertIsNone(decoding.decode_rollout_order("desk", text, 7), text)
        for text in ("", "[]", "{}", "5"):
            self.assertIsNone(decoding.decode_rollout_order("desk", text, 7))
        self.assertEqual("desk", decoding.decode_rollout_key(ORDER_KEY))
        self.assertIsNone(decoding.decode_rollout_key("op/config"))

    def describe(self, order):
        return order.version, order.duration_s, order.revision

    def test_settings(self):
        """Guards against rollouts on deployments that do not ask for them."""
        bounds = {"expose-share": 0.1, "expose-slack": 50, "rollback-ms": 5000}
        content = {
            "node-name": "vm",
            "zone": "d",
            "ip": "127.0.0.1",
            "platform": {"address": "127.0.0.1:1"},
            "listen-addrs": dict.fromkeys(("front", "ready", "control"), "a:1"),
            "bounds": bounds,
        }
        limits = settings.decode_settings(content).rollout_limits
        self.assertEqual((0.1, 50, 5.0), self.list_limits(limits))
        for name in bounds:
            rest = {key: bounds[key] for key in bounds if key != name}
            decoded = settings.decode_settings({**content, "bounds": rest})
            self.assertIsNone(decoded.rollout_limits, name)

    def list_limits(self, limits):
        return limits.expose_share, limits.expose_slack, limits.contact_s

    @run_async
    async def test_transaction(self):
        """Guards against a transaction of which only a part is written."""
        server = PlatformStoreServer()
        async with start_server(server.handle) as address:
            store = PlatformStore(address)
            first = await store.put_all([("a", "1", 0), ("b", "2", 0)])
            for writes in (
                [("a", "3", first), ("b", "4", 0)],
                [("a", "3", first), ("b", "4", first + 9)],
            ):
                try:
                    await store.put_all(writes)
                except StoreConflictError as error:
                    self.assertEqual(first, error.entry.revision)
                else:
                    self.fail("no conflict")
            for conditions in ([("b", first + 9)], [("c", first)]):
                try:
                    await store.put_all([("a", "3", first)], conditions)
                except StoreConflictError:
                    pass
                else:
                    self.fail("no conflict")
            self.assertEqual("1", (await store.get("a")).value)
            await store.put_all([("d", "1", 0)], [("a", first), ("c", 0)])
            server.store.lose_answers = 1
            try:
                await store.put_all([("a", "3", first), ("b", "4", first)])
            except StoreOutcomeUnknownError:
                pass
            else:
                self.fail("the outcome is not unknown")
            values = [(await store.get(key)).value for key in ("a", "b")]
            self.assertEqual(["3", "4"], values)
            store.close()


class SubrequestTests(testtools.TestCase):
    """Choice of the version and evidence for callers' requests."""

    def build(self, phase, share=1.0):
        """Return a harness with one target of v1 and one of v2."""
        harness = QueryHarness(["s"], 0)
        rollouts = Rollouts(LIMITS)
        harness.registry._rollouts = harness.context.rollouts = rollouts
        rollouts.set_order("s", RolloutOrder("s", "v2", 12.0, 7), 0.0)
        rollouts.set_state("s", RolloutState(7, "v2", ["v1"], phase, share, 0.0), 0.0)
        for version in ("v1", "v2"):
            address = ("10.0.0.1", 80)
            registration = Registration(
                version, "s", address, "d", software_version=version
            )
            harness.registry.apply(version, registration, 0.0)
        return harness, rollouts.get("s")

    def list_versions(self, harness):
        return [e.target.registration.software_version for e in harness.started]

    def test_each_phase(self):
        """Guards against a request to a version that may not get it."""
        for phase, share, version in (
            (Phase.CANARY, 1.0, "v2"),
            (Phase.CANARY, 0.0, "v1"),
            (Phase.FULL, 1.0, "v2"),
            (Phase.DONE, 1.0, "v2"),
            (Phase.ROLLED_BACK, 1.0, "v1"),
        ):
            harness, _ = self.build(phase, share)
            build_single(harness)
            self.assertEqual([version], self.list_versions(harness), phase)

    def test_retry_goes_to_the_old_version(self):
        """Guards against a caller's request that a bad version fails twice."""
        harness, rollout = self.build(Phase.CANARY)
        query = build_single(harness)
        harness.reply(harness.started[0], 0.05, status=500)
        harness.reply(harness.started[1], 0.07)
        self.assertEqual(["v2", "v1"], self.list_versions(harness))
        self.assertTrue(query.is_finished)
        self.assertEqual((2, 1), (rollout.sent, rollout.candidate_sent))
        self.assertEqual(1, rollout.counts["r", "v2"].failures)
        self.assertEqual(1, rollout.counts["r", "v1"].count_timed())
        self.assertEqual({}, rollout.in_flight)

    def test_what_is_no_evidence(self):
        """Guards against refusals and unsent requests that count as bad answers."""
        harness, rollout = self.build(Phase.FULL)
        build_single(harness)
        harness.reply(harness.started[0], 0.01, status=503, Not_Run="1")
        build_single(harness)
        harness.fail(harness.started[-1], 0.02, FailureKind.UNSENT)
        self.assertFalse([key for key in rollout.counts if key[1] == "v2"])
        build_single(harness)
        harness.fail(harness.started[-1], 0.03)
        self.assertEqual(1, rollout.counts["r", "v2"].failures)

    def test_abandoned_attempts(self):
        """Guards against a version that never answers and has no bad answers."""
        for closed_at, expected in ((0.01, 0), (0.3, 1)):
            harness, rollout = self.build(Phase.FULL)
            query = build_single(harness)
            query.close(closed_at)
            counts = rollout.counts.get(("r", "v2"))
            timed = counts.count_timed() if counts else 0
            self.assertEqual(expected, timed, closed_at)
            self.assertEqual({}, rollout.in_flight)

    def test_moved_attempts(self):
        """Guards against an attempt that counts as in flight for ever."""
        harness, rollout = self.build(Phase.FULL)
        query = build_single(harness)
        exchange = harness.started[0]
        exchange.sent_at = None
        exchange.has_waited_for_room = True
        self.assertTrue(query.subrequests[0]._move(exchange, 0.05))
        self.assertEqual(["v2", "v1"], self.list_versions(harness))
        self.assertEqual({"v1": 1}, rollout.in_flight)
        self.assertEqual(1, rollout.sent)

    def test_queued_requests_fail_after_a_rollback(self):
        """Guards against a request that is sent once its connection is open."""
        harness, rollout = self.build(Phase.FULL)
        failed = []
        for target in harness.registry.list_targets():
            target.pool.fail_queued = lambda now, reason, t=target: failed.append(
                t.registration.software_version
            )
        rollout.set_state(RolloutState(7, "v2", ["v1"], Phase.ROLLED_BACK, 1, 9), 1.0)
        harness.registry.apply_versions("s", 1.0)
        self.assertEqual(["v2"], failed)
