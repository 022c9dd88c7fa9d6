"""Tests with real processes: crashes, pauses, drains and outages of the platform."""

import json
import signal
import tempfile

import orjson
import testtools
import trio
from testtools.content import text_content

from tarragonchute import commands
from tarragonchute.errors import TarragonchuteError
from tools.deployment import TOKEN, DatasetPlan, Deployment
from tools.load import LoadBalancer, LoadGenerator, PhaseReport

DOMAINS = ["d1", "d2", "d3"]
DATASETS = [
    DatasetPlan("catalogue", "hollowmere", 6, 2, 2, 25),
    DatasetPlan("schedules", "hollowmere", 1, 3, 4, 100),
]
TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
DOMAIN_OUT_S = 3.0


class ProcessTestCase(testtools.TestCase):
    """Starts three entry VMs, and stand-ins of targets and platform, for each test."""

    def run_scenario(self, scenario, log_level="info"):
        """Run ``scenario(deployment, balancer)`` once all VMs serve with full coverage.

        Checks the limits of the targets afterwards.
        """
        trio.run(self._run, scenario, log_level)

    async def _run(self, scenario, log_level):
        with tempfile.TemporaryDirectory() as directory:
            deployment = Deployment(directory, DOMAINS, DATASETS, 3, log_level)
            async with deployment, trio.open_nursery() as nursery:
                balancer = LoadBalancer(deployment.callers)
                nursery.start_soon(balancer.run)
                await self._load_settings(deployment)
                try:
                    await balancer.wait_healthy(3, TIMEOUT_S)
                    await self._wait_until_covered(balancer, deployment)
                    await scenario(deployment, balancer)
                    await self._check_targets(deployment)
                except BaseException:
                    self._attach_logs(deployment)
                    raise
                nursery.cancel_scope.cancel()

    def _attach_logs(self, deployment):
        """Add the VMs' logs to the report of a failed test."""
        for vm_id, text in deployment.read_logs().items():
            self.addDetail(f"log of {vm_id}", text_content(text))

    async def _load_settings(self, deployment):
        last_error = None
        with trio.move_on_after(TIMEOUT_S):
            while True:
                try:
                    results = await deployment.load_settings("vm-1")
                    last_error = [result.error for result in results]
                    if not any(last_error):
                        return
                except TarragonchuteError as error:
                    last_error = error
                await trio.sleep(POLL_INTERVAL_S)
        self.fail(
            f"settings not loaded: {last_error!r}; logs: {deployment.read_logs()}"
        )

    async def _wait_until_covered(self, balancer, deployment):
        """Wait until a search through every VM has full coverage."""
        with trio.fail_after(TIMEOUT_S):
            for vm_id in deployment.vm_ids:
                while (await self.search(balancer, vm_id))[1].get("code", "ok") != "ok":
                    await trio.sleep(POLL_INTERVAL_S)

    async def _check_targets(self, deployment):
        """Check that no target saw a violated limit or a key that ran twice.

        The targets keep these counts themselves, so a fault in a VM cannot hide one.
        """
        counters = await deployment.read_target_counters()
        for target, counts in counters.items():
            self.assertEqual(0, counts["slot_breaches"], target)
            self.assertEqual(0, counts["cold_breaches"], target)
            self.assertEqual(0, counts["connection_breaches"], target)
            for key, runs in counts["runs"].items():
                self.assertEqual(1, runs, key)

    async def search(self, balancer, vm_id, least_coverage=1.0):
        """Return HTTP status and body of one search through a VM."""
        fields = {
            "team": "hollowmere",
            "dataset": "catalogue",
            "query": {"text": "lantern"},
            "deadline_ms": 2000,
            "least_coverage": least_coverage,
        }
        body = orjson.dumps(fields)
        response = await balancer.exchange(vm_id, "POST", "/v1/search", body)
        if response is None:
            return None, {"code": "connection"}
        return response.status, orjson.loads(response.body)

    async def book(self, balancer, vm_id, key, order=1):
        """Return the outcome of one booking through a VM."""
        fields = {
            "team": "hollowmere",
            "dataset": "schedules",
            "shard": "s0",
            "order": {"guide": order},
            "deadline_ms": 2000,
        }
        headers = {"idempotency-key": key}
        response = await balancer.exchange(
            vm_id, "POST", "/v1/bookings", orjson.dumps(fields), headers
        )
        if response is None:
            return "connection"
        return orjson.loads(response.body)["outcome"]

    async def wait_for(self, condition):
        """Wait until the async condition is true."""
        with trio.fail_after(TIMEOUT_S):
            while not await condition():
                await trio.sleep(POLL_INTERVAL_S)

    async def read_runs(self, deployment):
        """Return how often each idempotency key ran, summed over all targets."""
        counters = await deployment.control_targets("schedules")
        runs = {}
        for counts in counters.values():
            for key, count in counts["runs"].items():
                runs[key] = runs.get(key, 0) + count
        return runs


class EndToEndTests(ProcessTestCase):
    """Searches and bookings across processes."""

    def test_search_leaves_a_trace_in_two_vms(self):
        """Guards against a request that cannot be traced across VMs."""
        self.run_scenario(self._trace_search, log_level="debug")

    async def _trace_search(self, deployment, balancer):
        # A VM that holds a target of each shard needs no other VM. Six shards have
        # twelve targets, so not all three VMs hold one of each: at least one search
        # involves two VMs.
        traced_by_search = []
        for asked in deployment.vm_ids:
            status, answer = await self.search(balancer, asked)
            self.assertEqual(200, status)
            coverage = {"answered": 6, "total": 6, "missing": []}
            self.assertEqual(coverage, answer["coverage"])
            self.assertEqual("1", answer["snapshot"])
            request_id = answer["request_id"]
            found = [
                vm_id
                for vm_id in deployment.vm_ids
                if request_id in deployment.processes[vm_id].read_log()
            ]
            self.assertIn(asked, found)
            explained = await trio.to_thread.run_sync(
                commands.explain_request, deployment.admins["vm-3"], TOKEN, request_id
            )
            traced = [trace.vm_id for trace in explained if trace.trace]
            self.assertEqual(found, sorted(traced))
            traced_by_search.append(traced)
        self.assertGreaterEqual(max(len(traced) for traced in traced_by_search), 2)

    def test_metrics_are_recorded(self):
        """Guards against metrics that no component records."""
        self.run_scenario(self._check_metrics)

    async def _check_metrics(self, deployment, balancer):
        await self.search(balancer, "vm-1")
        response = await balancer.exchange("vm-1", "GET", "/metrics")
        lines = response.body.decode().splitlines()
        for name in ("shard_attempts_total", "store_calls_total", "lease_remaining"):
            values = [
                float(line.rpartition(" ")[2])
                for line in lines
                if name in line and not line.startswith("#")
            ]
            self.assertTrue(any(value > 0 for value in values), name)

    def test_same_key_through_all_vms_at_once_runs_once(self):
        """Guards against a duplicate booking if a caller retries through another VM."""
        self.run_scenario(self._book_everywhere)

    async def _book_everywhere(self, deployment, balancer):
        outcomes = []

        async def book(vm_id):
            outcomes.append(await self.book(balancer, vm_id, "k-1"))

        async with trio.open_nursery() as nursery:
            for vm_id in deployment.vm_ids:
                nursery.start_soon(book, vm_id)
        self.assertEqual(["done"] * 3, outcomes)
        self.assertEqual({"k-1": 1}, await self.read_runs(deployment))


class KillTests(ProcessTestCase):
    """An entry VM whose process is killed."""

    def test_bookings_of_a_killed_vm_run_at_most_once(self):
        """Guards against a second run after the VM that dispatched a booking crashed.

        The killed VM has not recorded the outcome when the caller retries elsewhere.
        """
        self.run_scenario(self._kill_while_booking)

    async def _kill_while_booking(self, deployment, balancer):
        await deployment.control_targets("schedules", service_ms=300)
        keys = [f"k-{number}" for number in range(8)]
        async with trio.open_nursery() as nursery:
            for key in keys:
                nursery.start_soon(self.book, balancer, "vm-1", key)

            async def has_runs():
                return len(await self.read_runs(deployment)) >= 2

            await self.wait_for(has_runs)
            deployment.kill_vm("vm-1")
        await deployment.control_targets("schedules", service_ms=4)
        for key in keys:
            await self._resend(deployment, balancer, key)
        runs = await self.read_runs(deployment)
        self.assertEqual({1}, set(runs.values()))

    async def _resend(self, deployment, balancer, key):
        async def is_settled():
            return await self.book(balancer, "vm-2", key) in ("done", "unknown")

        await self.wait_for(is_settled)

    def test_targets_of_a_killed_vm_are_served_again(self):
        """Guards against targets without a holder after a crash."""
        self.run_scenario(self._kill_and_recover)

    async def _kill_and_recover(self, deployment, balancer):
        deployment.kill_vm("vm-3")

        async def has_moved():
            status = await self._read_status(deployment)
            holders = {target.holder for target in status.targets}
            return holders == {"vm-1", "vm-2"}

        await self.wait_for(has_moved)

        async def is_covered():
            status, _ = await self.search(balancer, "vm-1")
            return status == 200

        await self.wait_for(is_covered)

    async def _read_status(self, deployment):
        return await trio.to_thread.run_sync(
            commands.read_status, deployment.admins["vm-1"], TOKEN
        )


class PauseTests(ProcessTestCase):
    """A holder whose process is suspended and resumed."""

    def test_paused_holder_never_exceeds_a_target_limit_after_resuming(self):
        """Guards against two VMs that send to one target around a pause.

        The paused VM is evicted and its targets move; after resuming it must not send
        under its old lease. The targets count every violated limit.
        """
        self.run_scenario(self._pause_under_load)

    async def _pause_under_load(self, deployment, balancer):
        callers = LoadGenerator(
            balancer, "hollowmere", "catalogue", "schedules", ["s0"]
        )
        report = PhaseReport("pause")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run, report, 150, 0.05)
            deployment.pause_vm("vm-2")

            async def is_evicted():
                return "vm-2" not in await self._read_members(deployment)

            await self.wait_for(is_evicted)
            deployment.resume_vm("vm-2")

            async def is_back():
                return "vm-2" in await self._read_members(deployment)

            await self.wait_for(is_back)
        self.assertNotIn("unsent", report.bookings.values())

    async def _read_members(self, deployment):
        status = await trio.to_thread.run_sync(
            commands.read_status, deployment.admins["vm-1"], TOKEN
        )
        return {member.vm_id for member in status.members}


class DrainTests(ProcessTestCase):
    """Graceful shutdown of a VM."""

    def test_drain_finishes_requests_in_flight_and_exits_0(self):
        """Guards against requests that are aborted when a VM is replaced."""
        self.run_scenario(self._drain_under_load)

    async def _drain_under_load(self, deployment, balancer):
        await deployment.control_targets("catalogue", service_ms=200)
        answers = []

        async def search():
            answers.append((await self.search(balancer, "vm-1", 0.0))[0])

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(search)

            async def is_working():
                counters = await deployment.control_targets("catalogue")
                return any(counts["work"] for counts in counters.values())

            await self.wait_for(is_working)
            code = await deployment.drain_vm("vm-1")
        self.assertEqual(0, code)
        self.assertEqual([200] * 5, answers)


class PlatformOutageTests(ProcessTestCase):
    """The store is unavailable to all VMs."""

    def test_searches_continue_and_bookings_are_refused_as_not_run(self):
        """Guards against a store outage that stops searches.

        Bookings need the store; they must report that they did not run.
        """
        self.run_scenario(self._stop_store)

    async def _stop_store(self, deployment, balancer):
        await deployment.control_store(outage="refuse")
        for vm_id in deployment.vm_ids:
            status, _ = await self.search(balancer, vm_id)
            self.assertEqual(200, status)
            self.assertEqual("not_run", await self.book(balancer, vm_id, "k-9"))
        await deployment.control_store(outage="")

        async def is_booked():
            return await self.book(balancer, "vm-1", "k-9") == "done"

        await self.wait_for(is_booked)
        self.assertEqual({"k-9": 1}, await self.read_runs(deployment))

    def test_vm_started_during_the_outage_serves_callers(self):
        """Guards against a VM that cannot start during a store outage."""
        self.run_scenario(self._start_without_store)

    async def _start_without_store(self, deployment, balancer):
        await deployment.control_store(outage="refuse")
        deployment.kill_vm("vm-3")
        deployment.start_vm("vm-3")

        async def is_served():
            status, answer = await self.search(balancer, "vm-3", 0.5)
            return status == 200 and answer["snapshot"] == "1"

        await self.wait_for(is_served)
        await deployment.control_store(outage="")

        async def is_covered():
            return (await self.search(balancer, "vm-3"))[0] == 200

        await self.wait_for(is_covered)


class DomainTests(ProcessTestCase):
    """An operator takes a failure domain out of service."""

    def test_domain_gets_no_new_work_on_any_vm(self):
        """Guards against a VM that keeps sending to a failure domain out of service."""
        self.run_scenario(self._take_domain_out)

    async def _take_domain_out(self, deployment, balancer):
        # The VM in that domain receives the change only from its peers.
        change = await deployment.set_domain_state("vm-1", "d2", "out")
        self.assertEqual("accepted", change.proposal.state)
        targets_out = [
            target
            for target, domain in deployment.list_targets().items()
            if domain == "d2"
        ]

        async def is_applied():
            healthy = {
                await self._check_health(balancer, vm_id) for vm_id in ("vm-1", "vm-3")
            }
            return (
                healthy == {200} and await self._check_health(balancer, "vm-2") == 503
            )

        await self.wait_for(is_applied)
        before = await self._count_received(deployment, targets_out)
        for _ in range(10):
            for vm_id in ("vm-1", "vm-3"):
                status, _ = await self.search(balancer, vm_id)
                self.assertEqual(200, status)
        self.assertEqual(before, await self._count_received(deployment, targets_out))

    async def _check_health(self, balancer, vm_id):
        response = await balancer.exchange(vm_id, "GET", "/healthz")
        return response.status if response else None

    async def _count_received(self, deployment, targets):
        counters = await deployment.read_target_counters()
        return sum(counters[target]["received"] for target in targets)


class StartTests(ProcessTestCase):
    """Start of a VM's process."""

    def test_port_in_use_is_a_clear_error(self):
        """Guards against a VM that appears to start although its port is in use."""
        self.run_scenario(self._start_twice)

    async def _start_twice(self, deployment, balancer):
        first = deployment.processes["vm-1"]
        deployment.processes["vm-1-first"] = first
        deployment.processes.pop("vm-1")
        deployment.start_vm("vm-1")
        second = deployment.processes["vm-1"]
        self.assertEqual(1, await second.wait())
        self.assertIn("port_in_use", second.read_log())
        first.send_signal(signal.SIGTERM)
        self.assertEqual(0, await first.wait())

    def test_log_is_one_json_object_a_line(self):
        """Guards against log lines that a log collector cannot parse."""
        self.run_scenario(self._check_log)

    async def _check_log(self, deployment, balancer):
        lines = deployment.processes["vm-1"].read_log().splitlines()
        records = [json.loads(line) for line in lines]
        self.assertTrue(records)
