"""Tests of the soak: its oracle sees each broken promise, and a short seeded run."""

import pathlib
import tempfile

import testtools
import trio

from tools.soak.__main__ import soak
from tools.soak.oracle import Oracle, Run, Sent
from tools.soak.proxy import Proxy, ProxyMode
from tools.soak.world import World

from .trial import run_async

SHARDS = ("s0", "s1", "s2", "s3")
SEARCH = ("GET", b"/search/1", b"")
ORDER = ("POST", b"/order/1", b"book")
SEED = 7
SECONDS = 4.0


class OracleTestCase(testtools.TestCase):
    """What the oracle is told, in short."""

    def setUp(self):
        super().setUp()
        self.oracle = Oracle(top=2, least_coverage=0.5)
        self.oracle.note_version(1, SHARDS)

    def send(self, request_id="r1", is_search=False, at=0.0, vm="vm"):
        message = SEARCH if is_search else ORDER
        sent = Sent(request_id, vm, message, is_search, is_search, at, 1.0)
        self.oracle.note_sent(sent)

    def run_on(self, service="desk", request_id="r1", message=ORDER, at=0.1, body=b""):
        digest = f"{service}.{request_id}.{at}"
        run = Run(request_id, service, f"i-{service}", digest, body, message, at)
        self.oracle.note_run(run)
        return digest

    def answer(self, status=200, request_id="r1", body=b"", **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        self.oracle.note_answer(request_id, status, names, body, 0.2)

    def search(self, services=SHARDS, missing=0, at=0.0, body=None, request_id="r1"):
        """Play a search that some shards answer with one record each."""
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
    """One deliberate fault for each promise."""

    def test_true_answers_are_no_findings(self):
        """Guards against a check that fails for what is allowed."""
        self.search()
        self.search(SHARDS[:2], missing=2, request_id="r2")
        self.send("r3")
        self.answer(503, "r3")
        self.send("r4")
        digest = self.run_on(request_id="r4", body=b"book")
        self.answer(200, "r4", b"book", response_stamp=digest)
        self.assertEqual([], self.oracle.findings)
        self.assertEqual(1, self.oracle.full)

    def test_order_that_runs_twice(self):
        """Guards against a check that cannot fail."""
        self.send()
        self.run_on()
        self.run_on()
        self.assert_finds("ran 2 times")

    def test_request_that_nobody_sent(self):
        """Guards against a check that cannot fail."""
        self.run_on()
        self.assert_finds("nobody sent")

    def test_request_that_was_changed(self):
        """Guards against a check that cannot fail."""
        self.send()
        self.run_on(message=("POST", b"/order/1", b"boo"))
        self.assert_finds("changed on its way")

    def test_refusal_after_a_run(self):
        """Guards against a check that cannot fail."""
        self.send()
        self.run_on()
        self.answer(503)
        self.assert_finds("and had run")

    def test_run_after_a_refusal(self):
        """Guards against a check that cannot fail."""
        self.send()
        self.answer(503)
        self.run_on()
        self.assert_finds("ran after it was answered")

    def test_target_that_has_left(self):
        """Guards against a check that cannot fail."""
        self.oracle.note_leaving("i-desk", 5.0)
        self.send()
        self.run_on(at=5.1)
        self.assert_finds("after it had left")

    def test_answer_of_another_request(self):
        """Guards against a check that cannot fail."""
        self.send()
        self.send("r2")
        digest = self.run_on(request_id="r2")
        self.answer(200, response_stamp=digest)
        self.assert_finds("no target gave")

    def test_body_that_is_cut(self):
        """Guards against a check that cannot fail."""
        self.send()
        digest = self.run_on(body=b"whole")
        self.answer(200, body=b"who", response_stamp=digest)
        self.assert_finds("another body")

    def test_part_of_another_search(self):
        """Guards against a check that cannot fail."""
        self.search()
        self.send("r2", is_search=True)
        self.answer(200, "r2", part_stamps="s0.r1.0.0")
        self.assert_finds("not its own")

    def test_parts_of_two_versions(self):
        """Guards against a check that cannot fail."""
        self.oracle.note_version(2, ("t0", "t1", "t2", "t3"))
        self.search(("s0", "s1", "t2", "t3"))
        self.assert_finds("no version names together")

    def test_coverage_that_is_stated_wrongly(self):
        """Guards against a check that cannot fail."""
        self.search(SHARDS[:2], missing=0)
        self.assert_finds("no version names together")

    def test_coverage_that_is_too_low(self):
        """Guards against a check that cannot fail."""
        self.search(SHARDS[:1], missing=3)
        self.assert_finds("1 of 4 parts")

    def test_records_that_are_not_the_greatest(self):
        """Guards against a check that cannot fail."""
        self.search(body=b"s0".rjust(16, b"x") + b"s1".rjust(16, b"x"))
        self.assert_finds("other records")

    def test_configuration_that_goes_back(self):
        """Guards against a check that cannot fail."""
        self.oracle.note_version(2, ("t0", "t1", "t2", "t3"))
        self.search(("t0", "t1", "t2", "t3"))
        self.search(at=9.0, request_id="r2")
        self.assert_finds("saw version 1 after 2")

    def test_answer_that_fits_two_versions_shows_the_older_one(self):
        """Guards against a finding where nothing went back."""
        self.oracle.note_version(2, ("s1", "s2", "s3", "s4"))
        self.search(("s1", "s2", "s3"), missing=1)
        self.search(at=9.0, request_id="r2")
        self.assertEqual([], self.oracle.findings)

    def test_late_stand_ins_blind_the_check_of_leaving_targets(self):
        """Guards against a finding that the machine's load has made."""
        self.oracle.note_leaving("i-desk", 5.0)
        self.oracle.blind_until = 6.0
        self.send()
        self.run_on(at=5.1)
        self.assertEqual([], self.oracle.findings)
        self.send("r2")
        self.run_on(request_id="r2", at=6.1)
        self.assert_finds("after it had left")

    def test_late_and_cut_requests(self):
        """Guards against callers that are left without an answer."""
        self.oracle.note_late("r1", 3.0)
        self.oracle.note_cut("r2")
        self.assertEqual(2, len(self.oracle.findings))

    def test_fleet_that_does_not_recover(self):
        """Guards against a check that cannot fail."""
        self.oracle.check_recovery(1, 10)
        self.assert_finds("1 of 10")


class ProxyTests(testtools.TestCase):
    """Faults of connections."""

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
        """Guards against faults that are not played."""
        for mode in ProxyMode:
            async with trio.open_nursery() as nursery:
                _, stream = await self._open(nursery, mode)
                data = None
                with trio.move_on_after(0.3):
                    data = await stream.receive_some(100)
                passes = mode in (ProxyMode.PASS, ProxyMode.DELAY)
                self.assertEqual(b"x" if passes else None, data, mode)
                nursery.cancel_scope.cancel()

    @run_async
    async def test_reset(self):
        """Guards against a reset that is not seen by the client."""
        async with trio.open_nursery() as nursery:
            proxy, stream = await self._open(nursery, ProxyMode.PASS)
            self.assertEqual(b"x", await stream.receive_some(100))
            proxy.reset_all()
            with testtools.ExpectedException(trio.BrokenResourceError):
                while await stream.receive_some(100):
                    pass
            nursery.cancel_scope.cancel()


class EndedVm:
    """A VM whose process ended before it was ready."""

    vm_id = "vm-0"

    def __init__(self):
        self.process = self

    def poll(self):
        return -1

    async def is_ready(self):
        return False


class StartTests(testtools.TestCase):
    """VMs that are started again."""

    def test_process_that_ends_is_found(self):
        """Guards against a soak that waits for it without end (seed 317)."""
        oracle = Oracle(top=2, least_coverage=0.5)
        world = World(None, None, oracle, 1)
        self.addCleanup(world.close)
        trio.run(world.wait_until_ready, EndedVm())
        self.assertEqual(["vm-0 was started and ended with -1"], oracle.findings)


class SeededRunTests(testtools.TestCase):
    """A short run of real processes."""

    def test_no_promise_is_broken(self):
        """Guards against a gateway that breaks a promise under overlapping faults."""
        with tempfile.TemporaryDirectory() as folder:
            oracle, played = trio.run(soak, SEED, SECONDS, pathlib.Path(folder))
        self.assertEqual([], oracle.findings, played)
        self.assertGreater(oracle.full, 0)
