"""Tests for the gateway: configuration in force, rate limits, logs and metrics."""

import socket

import testtools
import trio

from tarragonchute import errors, gatewaymetrics
from tarragonchute.gateway import Gateway
from tarragonchute.gatewaysettings import GatewaySettings
from tarragonchute.httpio import HttpRequest, ServerOptions
from tarragonchute.registry import Registration
from tarragonchute.routes import CallerLimits, Route, RouteTable, ServicePolicy

from .test_queries import HEADER_NAMES
from .trial import run_in_virtual_time


def build_settings():
    """Return the settings of one VM."""
    return GatewaySettings(
        vm_id="vm-1",
        domain="d",
        host="127.0.0.1",
        caller_address="127.0.0.1:1",
        ready_address="127.0.0.1:2",
        peer_address="127.0.0.1:3",
        search_address="",
        cores=1.0,
        link_mbps=1000.0,
        peers=(),
        store_address="127.0.0.1:4",
        max_descriptors=100,
        memory_mb=160,
        stop_grace_s=3.0,
        retry_share=0.2,
        retry_window_s=10.0,
        retry_slack=50.0,
        cold_factor=1.5,
        cold_slack=5.0,
        allowance_bounds=None,
    )


def build_table(version, prefix="/x/", goal_s=1.0):
    """Return a configuration with one route to service ``s``."""
    route = Route("r", "h", prefix, goal_s=goal_s, weighted_services=[("s", 1.0)])
    services = {"s": ServicePolicy("s", "/health", 26, 3.0, 0.0)}
    return RouteTable(version, [route], services, CallerLimits(900, 800, 3.0, 15.0))


def build_request(path="/x/1", request_id="r1"):
    """Return a caller's request."""
    lines = [(b"host", b"h")]
    headers = {"host": "h"}
    if request_id:
        headers["request-id"] = request_id
        lines.append((b"request-id", request_id.encode()))
    return HttpRequest("GET", path, {}, headers, b"", path.encode(), lines)


class GatewayTests(testtools.TestCase):
    """How a gateway applies its configuration."""

    def build(self):
        self.options = ServerOptions()
        gateway = Gateway(build_settings(), HEADER_NAMES, self.options)
        self.addCleanup(gateway.reactor.close)
        return gateway

    def build_in_fleet_of_nine(self):
        """Return a gateway in a fleet of nine VMs, and its only target."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        registration = Registration("i-1", "s", ("127.0.0.1", 9), "d")
        gateway.registry.apply("i-1", registration, 0.0)
        for number in range(9):
            key = f'{{"domain": "d", "address": "10.0.0.1:{number + 1}"}}'
            gateway.fleet.apply(f"vm-{number}", key, 0.0)
        gateway.sweep(0.0)
        (target,) = gateway.registry.list_targets()
        return gateway, target

    async def get_error(self, gateway, request):
        """Return the error that a request raises, or None."""
        try:
            await gateway.handle(request)
        except errors.TarragonchuteError as error:
            return error
        return None

    @run_in_virtual_time
    async def test_missing_configuration_is_503(self):
        """Guards against status 404 for routes that a new VM has not received yet."""
        gateway = self.build()
        error = await self.get_error(gateway, build_request())
        self.assertEqual(503, error.status)
        self.assertIsNotNone(error.retry_after_s)
        self.assertFalse(gateway.is_ready())

    @run_in_virtual_time
    async def test_configuration_version_never_decreases(self):
        """Guards against applying an older version that arrives late."""
        gateway = self.build()
        gateway.apply_table(build_table(7, "/new/"))
        gateway.apply_table(build_table(5, "/old/"))
        gateway.apply_table(build_table(7, "/same/"))
        self.assertEqual(7, gateway.table.version)
        self.assertIsNotNone(gateway.table.find_route("h", "/new/1"))

    async def build_with_silent_target(self):
        """Return a gateway, and the listener of a target that never replies."""
        gateway = self.build()
        gateway.apply_table(build_table(1, goal_s=0.3))
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = listener.socket.getsockname()
        gateway.registry.apply("i-1", Registration("i-1", "s", address, "d"), 0.0)
        return gateway, listener

    @run_in_virtual_time
    async def test_requests_are_answered_before_the_process_stops(self):
        """Guards against a connection that ends without an answer at a stop.

        One request is in flight when the stop begins, one comes during it. Both may
        have run, and their time limits end later than the process.
        """
        gateway, listener = await self.build_with_silent_target()
        ended = []

        async def call(request_id):
            error = await self.get_error(gateway, build_request(request_id=request_id))
            ended.append((error.status, error.code, trio.current_time()))

        async with listener, trio.open_nursery() as nursery:
            nursery.start_soon(gateway.reactor.run)
            started_at = trio.current_time()
            nursery.start_soon(call, "r1")
            await trio.sleep(0.1)
            stop_at = started_at + 0.9
            gateway.drain(trio.current_time(), stop_at)
            nursery.start_soon(call, "r2")
            while len(ended) < 2:
                await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        for status, code, ended_at in ended:
            self.assertEqual((504, "target_timeout"), (status, code))
            self.assertLessEqual(ended_at, stop_at + 0.001)

    @run_in_virtual_time
    async def test_request_that_comes_too_late_in_a_stop_is_refused(self):
        """Guards against a request that is sent on although no reply can be waited for.

        The refusal states that it has not run, so the caller can go to another VM.
        """
        gateway, listener = await self.build_with_silent_target()
        async with listener:
            now = trio.current_time()
            goal_s = gateway.table.routes[0].goal_s
            gateway.drain(now, now + 0.9 * goal_s)
            error = await self.get_error(gateway, build_request())
        self.assertEqual((503, "stopping"), (error.status, error.code))
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)
        (target,) = gateway.registry.list_targets()
        self.assertEqual(0, target.pool.connections_opened)

    @run_in_virtual_time
    async def test_missing_route_and_missing_id(self):
        """Guards against forwarding a request without a route or a request id."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        error = await self.get_error(gateway, build_request("/none/1"))
        self.assertEqual(404, error.status)
        error = await self.get_error(gateway, build_request(request_id=None))
        self.assertEqual(400, error.status)

    @run_in_virtual_time
    async def test_limits_of_callers_follow_the_configuration(self):
        """Guards against caller limits that keep the values set at the start."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        options = self.options
        self.assertEqual(900, options.max_header_bytes)
        self.assertEqual(800, options.max_body_bytes)
        self.assertEqual(15.0, options.idle_timeout_s)

    @run_in_virtual_time
    async def test_draining_vm_is_not_ready(self):
        """Guards against sending new callers to a VM that is stopping."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        self.assertTrue(gateway.is_ready())
        gateway.is_draining = True
        self.assertFalse(gateway.is_ready())

    @run_in_virtual_time
    async def test_cold_requests_stay_within_this_vms_share(self):
        """Guards against exceeding the rate limit of a cold target.

        In a mass cold start all VMs send to it, each within its share.
        """
        gateway, target = self.build_in_fleet_of_nine()
        allowed = 0
        for tick in range(10_000):
            allowed += gateway._try_reserve_cold_request(target, tick / 100)
        # The cold slack is five requests per second for all nine VMs together.
        self.assertLessEqual(allowed, 100 * 5 / 9)
        self.assertGreater(allowed, 10)

    @run_in_virtual_time
    async def test_first_cold_requests_are_spread(self):
        """Guards against a burst of requests to a cold target that is new.

        In a mass cold start all VMs see it at about the same time.
        """
        first_sends = []
        for _ in range(100):
            gateway, target = self.build_in_fleet_of_nine()
            ticks = (tick / 100 for tick in range(2000))
            first_sends.append(
                next(
                    now
                    for now in ticks
                    if gateway._try_reserve_cold_request(target, now)
                )
            )
        # Five of nine VMs may send within a second.
        self.assertLess(sum(now < 1.0 for now in first_sends), 55)

    @run_in_virtual_time
    async def test_target_that_turns_cold_again_gets_no_burst(self):
        """Guards against all VMs sending at once to a target that turns cold again.

        They learn of it at about the same time, and the requests that they sent it
        while it was warm arrive in the same second.
        """
        cold = Registration("i-1", "s", ("127.0.0.1", 9), "d", cold_left_s=3.0)
        warm = Registration("i-1", "s", ("127.0.0.1", 9), "d")
        sends = []
        for _ in range(9):
            gateway, target = self.build_in_fleet_of_nine()
            gateway.registry.apply("i-1", cold, 10.0)
            for tick in range(1000, 1300):
                gateway._try_reserve_cold_request(target, tick / 100)
            gateway.registry.apply("i-1", warm, 13.0)
            gateway.registry.apply("i-1", cold, 50.0)
            sends += [
                tick / 100
                for tick in range(5000, 5500)
                if gateway._try_reserve_cold_request(target, tick / 100)
            ]
        self.assertEqual([], [at for at in sends if at < 51.0])
        self.assertGreaterEqual(len(sends), 9)

    @run_in_virtual_time
    async def test_state_of_removed_routes_is_dropped(self):
        """Guards against memory that grows with each change of a route."""
        gateway = self.build()
        for version in range(1, 50):
            prefix = f"/{version}/"
            table = build_table(version, prefix)
            table.routes[0].name = f"r-{version}"
            gateway.apply_table(table)
            await self.get_error(gateway, build_request(f"/{version}/1"))
        self.assertLessEqual(len(gateway._reply_times), 1)
        self.assertLessEqual(len(gateway._service_choices), 1)

    @run_in_virtual_time
    async def test_disconnected_caller_is_logged(self):
        """Guards against requests that end without a log line.

        The caller disconnects while the target has not answered.
        """
        gateway = self.build()
        gateway.apply_table(build_table(1))
        with socket.create_server(("127.0.0.1", 0)) as unresponsive_target:
            registration = Registration(
                "i-1", "s", unresponsive_target.getsockname(), "d"
            )
            gateway.registry.apply("i-1", registration, 0.0)
            with self.assertLogs("tarragonchute.decisions", "INFO") as caught:
                with trio.move_on_after(0.01):
                    await gateway.handle(build_request())
        (record,) = caught.records
        self.assertEqual("caller_left", record.code)
        self.assertEqual(["i-1"], record.targets)
        body, _ = gateway.metrics.render_metrics()
        self.assertIn(b'result="caller_left"', body)


class UnroutedServiceTests(testtools.TestCase):
    """Services that no route names.

    Load pattern: an index is moved to other shards. Before and after that, the targets
    of one of the two indexes get no requests, while hundreds of VMs know them. Each new
    connection occupies a slot of its target, and targets accept a limited number.
    """

    @run_in_virtual_time
    async def test_targets_are_connected_when_a_route_names_them(self):
        """Guards against connections of all VMs to targets that get no requests."""
        gateway = Gateway(build_settings(), HEADER_NAMES, ServerOptions())
        self.addCleanup(gateway.reactor.close)
        table = build_table(1)
        table.services["next"] = ServicePolicy("next", "/health", 26, 3.0, 0.0)
        gateway.apply_table(table)
        for number, service in enumerate(("s", "next")):
            address = ("127.0.0.1", 9 + number)
            registration = Registration(f"i-{number}", service, address, "d")
            gateway.registry.apply(f"i-{number}", registration, 0.0)
        gateway.registry.refresh(10)
        pools = gateway.reactor.disconnected_pools
        self.assertEqual([("127.0.0.1", 9)], [pool.address for pool in pools])
        pools.clear()
        next_route = Route("r2", "h", "/y/", weighted_services=[("next", 1.0)])
        next_table = build_table(2)
        gateway.apply_table(
            RouteTable(2, [*next_table.routes, next_route], table.services)
        )
        gateway.registry.refresh(10)
        self.assertIn(("127.0.0.1", 10), [pool.address for pool in pools])


class GatewayMetricsTests(testtools.TestCase):
    """Rendering of the metrics."""

    def test_every_metric_is_rendered(self):
        """Guards against a metric that raises when it is rendered."""
        metrics = gatewaymetrics.GatewayMetrics()
        metrics.observe_request(gatewaymetrics.SEARCH, "ok", 0.05)
        metrics.observe(gatewaymetrics.SEARCH_COVERAGE, (), 0.95)
        metrics.count_store_call("list", "ok")
        metrics.read_gauges = lambda: [(gatewaymetrics.VMS, (), 9)]
        body, _ = metrics.render_metrics()
        text = body.decode()
        self.assertIn("tarragonchute_gateway_vms 9", text)
        self.assertIn('kind="search"', text)
        self.assertIn("tarragonchute_store_calls_total", text)
