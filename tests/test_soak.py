"""Tests of the soak test: its oracle, its proxy, and a short seeded run."""

import pathlib
import tempfile

import testtools
import trio

from tools.soak.__main__ import soak
from tools.soak.oracle import CallerRequest, Oracle, Run
from tools.soak.proxy import ENDLESS_HEAD, Proxy, ProxyMode
from tools.soak.world import World

from .trial import run_async

SHARDS = ("s0", "s1", "s2", "s3")
SEARCH = ("GET", b"/search/1", b"")
ORDER = ("POST", b"/order/1", b"book")
SEEDS = (7, 8, 9)
SECONDS = 4.0


class OracleTestCase(testtools.TestCase):
    """Short helpers that record observations at the oracle."""

    def setUp(self):
        super().setUp()
        self.oracle = Oracle(top=2, least_coverage=0.5)
        self.oracle.record_version(1, SHARDS)

    def send(self, request_id="r1", is_search=False, at=0.0, vm="vm"):
        message = SEARCH if is_search else ORDER
        request = CallerRequest(request_id, vm, message, is_search, is_search, at, 1.0)
        self.oracle.record_request(request)

    def run_on(self, service="desk", request_id="r1", message=ORDER, at=0.1, body=b""):
        digest = f"{service}.{request_id}.{at}"
        run = Run(request_id, service, f"i-{service}", digest, body, message, at)
        self.oracle.record_run(run)
        return digest

    def answer(self, status=200, request_id="r1", body=b"", **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        self.oracle.record_response(request_id, status, names, body, 0.2)

    def search(self, services=SHARDS, missing=0, at=0.0, body=None, request_id="r1"):
        """Record a search to which some shards respond with one record each."""
        self.send(request_id, is_search=True, at=at)
        parts = [service.encode().rjust(16, b"x") for service in services]
        digests = [
            self.run_on(service, request_id, SEARCH, at, part + b"rest")
            for service, part in zip(services, parts, strict=True)
        ]
        if body is None:
            body = b"".join(sorted(parts, reverse=True)[:2])
        stamps = {"part_stamps": ", ".join(digests), "missing_parts": str(missing)}
        self.answer(200, request_id, body, **stamps)

    def assert_finds(self, words):
        self.assertEqual(1, len(self.oracle.findings), self.oracle.findings)
        self.assertIn(words, self.oracle.findings[0])


class OracleTests(OracleTestCase):
    """Each violated guarantee yields one finding."""

    def test_valid_responses_yield_no_findings(self):
        """Guards against checks that report allowed behavior."""
        self.search()
        self.search(SHARDS[:2], missing=2, request_id="r2")
        self.send("r3")
        self.answer(503, "r3")
        self.send("r4")
        digest = self.run_on(request_id="r4", body=b"book")
        self.answer(200, "r4", b"book", response_stamp=digest)
        self.assertEqual([], self.oracle.findings)
        self.assertEqual(1, self.oracle.complete_searches)

    def test_order_that_runs_twice(self):
        """Guards against a second run of a booking that is not reported."""
        self.send()
        self.run_on()
        self.run_on()
        self.assert_finds("ran 2 times")

    def test_request_that_nobody_sent(self):
        """Guards against a run without a request that is not reported."""
        self.run_on()
        self.assert_finds("nobody sent")

    def test_request_that_was_changed(self):
        """Guards against a request altered in transit that is not reported."""
        self.send()
        self.run_on(message=("POST", b"/order/1", b"boo"))
        self.assert_finds("changed on its way")

    def test_refusal_after_a_run(self):
        """Guards against a refused booking that ran before, unreported."""
        self.send()
        self.run_on()
        self.answer(503)
        self.assert_finds("and had run")

    def test_run_after_a_refusal(self):
        """Guards against a refused booking that runs later, unreported."""
        self.send()
        self.answer(503)
        self.run_on()
        self.assert_finds("ran after it was answered")

    def test_request_to_a_removed_target(self):
        """Guards against a request to a removed target that is not reported."""
        self.oracle.record_target_removal("i-desk", 5.0)
        self.send()
        self.run_on(at=5.1)
        self.assert_finds("after it had left")

    def test_answer_of_another_request(self):
        """Guards against a response to another request that is not reported."""
        self.send()
        self.send("r2")
        digest = self.run_on(request_id="r2")
        self.answer(200, response_stamp=digest)
        self.assert_finds("no target gave")

    def test_truncated_body(self):
        """Guards against a truncated body that is not reported."""
        self.send()
        digest = self.run_on(body=b"whole")
        self.answer(200, body=b"who", response_stamp=digest)
        self.assert_finds("another body")

    def test_part_of_another_search(self):
        """Guards against a part of another search that is not reported."""
        self.search()
        self.send("r2", is_search=True)
        self.answer(200, "r2", part_stamps="s0.r1.0.0")
        self.assert_finds("not its own")

    def test_parts_of_two_versions(self):
        """Guards against mixed configuration versions that are not reported."""
        self.oracle.record_version(2, ("t0", "t1", "t2", "t3"))
        self.search(("s0", "s1", "t2", "t3"))
        self.assert_finds("no version names together")

    def test_coverage_that_is_stated_wrongly(self):
        """Guards against a wrong number of missing parts, unreported."""
        self.search(SHARDS[:2], missing=0)
        self.assert_finds("no version names together")

    def test_coverage_that_is_too_low(self):
        """Guards against a response below the minimum coverage, unreported."""
        self.search(SHARDS[:1], missing=3)
        self.assert_finds("1 of 4 parts")

    def test_records_that_are_not_the_greatest(self):
        """Guards against a wrong merge of the records that is not reported."""
        self.search(body=b"s0".rjust(16, b"x") + b"s1".rjust(16, b"x"))
        self.assert_finds("other records")

    def test_rollback_to_an_older_version(self):
        """Guards against a return to an older version that is not reported."""
        self.oracle.record_version(2, ("t0", "t1", "t2", "t3"))
        self.search(("t0", "t1", "t2", "t3"))
        self.search(at=9.0, request_id="r2")
        self.assert_finds("saw version 1 after 2")

    def test_response_matching_two_versions_proves_the_older_one(self):
        """Guards against a false rollback report.

        A partial response matches both versions, so it proves only the older one.
        """
        self.oracle.record_version(2, ("s1", "s2", "s3", "s4"))
        self.search(("s1", "s2", "s3"), missing=1)
        self.search(at=9.0, request_id="r2")
        self.assertEqual([], self.oracle.findings)

    def test_version_that_was_never_in_force(self):
        """Guards against an oracle that misses a lost configuration."""
        self.oracle.record_version(2, ("t0", "t1", "t2", "t3"))
        self.oracle.record_version_in_force(2, ["vm"], 5.0)
        self.search(at=4.9)
        self.assertEqual([], self.oracle.findings)
        self.search(at=5.1, request_id="r2")
        self.assert_finds("saw version 1 after 2")

    def test_late_stand_ins_suspend_the_check_of_removed_targets(self):
        """Guards against findings that only the load of the machine causes."""
        self.oracle.record_target_removal("i-desk", 5.0)
        self.oracle.timing_unreliable_until = 6.0
        self.send()
        self.run_on(at=5.1)
        self.assertEqual([], self.oracle.findings)
        self.send("r2")
        self.run_on(request_id="r2", at=6.1)
        self.assert_finds("after it had left")

    def test_request_after_the_notice_of_a_target(self):
        """Guards against an oracle that misses requests to a target that leaves."""
        self.send()
        digest = self.run_on(body=b"b")
        self.answer(200, body=b"b", response_stamp=digest, server_leaving="1")
        self.send("r2", at=3.1)
        self.run_on(request_id="r2", at=3.15)
        self.send("r3", at=3.3, vm="another VM")
        self.run_on(request_id="r3", at=3.35)
        self.assertEqual([], self.oracle.findings)
        self.send("r4", at=3.3)
        self.run_on(request_id="r4", at=3.35)
        self.assert_finds("after it had said that it leaves")

    def test_requests_during_a_pause(self):
        """Guards against an oracle that misses requests to a paused target."""
        self.oracle.check_pause("t1", {"vm": 2})
        self.assertEqual([], self.oracle.findings)
        self.oracle.check_pause("t1", {"vm": 3})
        self.assertEqual(1, len(self.oracle.findings))

    def test_late_and_cut_requests(self):
        """Guards against missing or cut responses that are not reported."""
        self.oracle.report_missing_response("r1", 3.0)
        self.oracle.report_lost_connection("r2")
        self.assertEqual(2, len(self.oracle.findings))

    def test_fleet_that_does_not_recover(self):
        """Guards against a failed recovery that is not reported."""
        self.oracle.check_recovery(1, 10)
        self.assert_finds("1 of 10")


class ProxyTests(testtools.TestCase):
    """Connection faults of the proxy."""

    async def _open(self, nursery, mode):
        async def echo(stream):
            while data := await stream.receive_some(100):
                await stream.send_all(data)

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, echo, listeners)
        port = listeners[0].socket.getsockname()[1]
        proxy = Proxy(f"127.0.0.1:{port}")
        await nursery.start(proxy.run)
        proxy.mode = mode
        stream = await trio.open_tcp_stream("127.0.0.1", int(proxy.address[10:]))
        await stream.send_all(b"x")
        return proxy, stream

    @run_async
    async def test_modes(self):
        """Guards against proxy modes without effect."""
        for mode in ProxyMode:
            async with trio.open_nursery() as nursery:
                _, stream = await self._open(nursery, mode)
                data = None
                with trio.move_on_after(0.3):
                    data = await stream.receive_some(100)
                expected = {
                    ProxyMode.PASS: b"x",
                    ProxyMode.DELAY: b"x",
                    ProxyMode.ENDLESS: ENDLESS_HEAD,
                }.get(mode)
                self.assertEqual(expected, data and data[: len(expected or data)], mode)
                nursery.cancel_scope.cancel()

    @run_async
    async def test_endless_mode_ends_with_the_client(self):
        """Guards against stand-ins that go on sending after a client has closed."""
        async with trio.open_nursery() as nursery:
            proxy, stream = await self._open(nursery, ProxyMode.ENDLESS)
            received = 0
            while received < 100_000:
                received += len(await stream.receive_some(65536))
            await stream.aclose()
            with trio.fail_after(2.0):
                while proxy._streams:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    @run_async
    async def test_reset(self):
        """Guards against a reset that does not reach the client."""
        async with trio.open_nursery() as nursery:
            proxy, stream = await self._open(nursery, ProxyMode.PASS)
            self.assertEqual(b"x", await stream.receive_some(100))
            proxy.reset_connections()
            with testtools.ExpectedException(trio.BrokenResourceError):
                while await stream.receive_some(100):
                    pass
            nursery.cancel_scope.cancel()


class ExitedVm:
    """A VM whose process exited before it was ready."""

    vm_id = "vm-0"

    def __init__(self):
        self.process = self

    def poll(self):
        return -1

    async def is_ready(self):
        return False


class StartTests(testtools.TestCase):
    """Restarted VMs."""

    def test_exited_process_is_reported(self):
        """Guards against an endless wait for a process that has exited (seed 317)."""
        oracle = Oracle(top=2, least_coverage=0.5)
        world = World(None, None, oracle, 1)
        self.addCleanup(world.close)
        trio.run(world.wait_until_ready, ExitedVm())
        self.assertEqual(["vm-0 was started and ended with -1"], oracle.findings)


class SeededRunTests(testtools.TestCase):
    """Short runs of real processes, about a minute in all."""

    def test_no_guarantee_is_violated(self):
        """Guards against a guarantee that is violated under overlapping faults."""
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                oracle, played = trio.run(soak, seed, SECONDS, pathlib.Path(folder))
            self.assertEqual([], oracle.findings, (seed, played))
            self.assertGreater(oracle.complete_searches, 0, seed)
