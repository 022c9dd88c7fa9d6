"""Tests of the gateway: configuration in force, allowances, logs and metrics."""

import socket

import testtools
import trio

from tarragonchute import errors, gatewaymetrics
from tarragonchute.gateway import Gateway, GatewaySettings
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
        stop_grace_s=3.0,
        retry_share=0.2,
        retry_window_s=10.0,
        retry_slack=50.0,
        cold_factor=1.5,
        cold_slack=5.0,
    )


def build_table(version, prefix="/x/"):
    """Return a configuration with one route to service ``s``."""
    route = Route("r", "h", prefix, parts=[("s", 1.0)])
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
    """What a VM does with its configuration."""

    def build(self):
        self.options = ServerOptions()
        gateway = Gateway(build_settings(), HEADER_NAMES, self.options)
        self.addCleanup(gateway.reactor.close)
        return gateway

    def build_among_nine(self):
        """Return a gateway that knows nine VMs, and its one target."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        registration = Registration("i-1", "s", ("127.0.0.1", 9), "d")
        gateway.registry.apply("i-1", registration, 0.0)
        for number in range(9):
            key = f'{{"domain": "d", "address": "10.0.0.1:{number}"}}'
            gateway.fleet.apply(f"vm-{number}", key, 0.0)
        gateway.sweep(0.0)
        (target,) = gateway.registry.list_targets()
        return gateway, target

    async def find_error(self, gateway, request):
        """Return the error that ends a request."""
        try:
            await gateway.handle(request)
        except errors.TarragonchuteError as error:
            return error
        return None

    @run_in_virtual_time
    async def test_unknown_configuration_is_503(self):
        """Guards against 404 for a route that this VM has not heard of yet."""
        gateway = self.build()
        error = await self.find_error(gateway, build_request())
        self.assertEqual(503, error.status)
        self.assertIsNotNone(error.retry_after_s)
        self.assertFalse(gateway.is_ready())

    @run_in_virtual_time
    async def test_configuration_never_goes_back(self):
        """Guards against an older version that arrives late."""
        gateway = self.build()
        gateway.apply_table(build_table(7, "/new/"))
        gateway.apply_table(build_table(5, "/old/"))
        gateway.apply_table(build_table(7, "/same/"))
        self.assertEqual(7, gateway.table.version)
        self.assertIsNotNone(gateway.table.find("h", "/new/1"))

    @run_in_virtual_time
    async def test_missing_route_and_missing_id(self):
        """Guards against a request that is forwarded without a route or an id."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        error = await self.find_error(gateway, build_request("/none/1"))
        self.assertEqual(404, error.status)
        error = await self.find_error(gateway, build_request(request_id=None))
        self.assertEqual(400, error.status)

    @run_in_virtual_time
    async def test_limits_of_callers_follow_the_configuration(self):
        """Guards against limits that stay as they were at the start."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        options = self.options
        self.assertEqual(900, options.max_header_bytes)
        self.assertEqual(800, options.max_body_bytes)
        self.assertEqual(15.0, options.idle_timeout_s)

    @run_in_virtual_time
    async def test_draining_vm_is_not_ready(self):
        """Guards against new callers at a VM that stops."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        self.assertTrue(gateway.is_ready())
        gateway.is_draining = True
        self.assertFalse(gateway.is_ready())

    @run_in_virtual_time
    async def test_cold_target_gets_this_vms_part(self):
        """A mass cold start: guards against all VMs that send at once."""
        gateway, target = self.build_among_nine()
        allowed = 0
        for tick in range(10_000):
            allowed += gateway._allow_cold(target, tick / 100)
        # Nine VMs, and the slack of five requests a second for all of them.
        self.assertLessEqual(allowed, 100 * 5 / 9)
        self.assertGreater(allowed, 10)

    @run_in_virtual_time
    async def test_cold_target_is_not_sent_to_at_once(self):
        """A mass cold start: guards against VMs that all see it at the same time."""
        firsts = []
        for _ in range(100):
            gateway, target = self.build_among_nine()
            ticks = (tick / 100 for tick in range(2000))
            firsts.append(
                next(now for now in ticks if gateway._allow_cold(target, now))
            )
        # Of nine VMs, five may send within a second.
        self.assertLess(sum(now < 1.0 for now in firsts), 55)

    @run_in_virtual_time
    async def test_state_of_removed_routes_is_dropped(self):
        """Guards against memory that grows with each changed route."""
        gateway = self.build()
        for version in range(1, 50):
            prefix = f"/{version}/"
            table = build_table(version, prefix)
            table.routes[0].name = f"r-{version}"
            gateway.apply_table(table)
            await self.find_error(gateway, build_request(f"/{version}/1"))
        self.assertLessEqual(len(gateway._times), 1)
        self.assertLessEqual(len(gateway._weighted), 1)

    @run_in_virtual_time
    async def test_caller_that_leaves_is_logged(self):
        """Guards against requests that end without a line in the log."""
        gateway = self.build()
        gateway.apply_table(build_table(1))
        with socket.create_server(("127.0.0.1", 0)) as silent:
            registration = Registration("i-1", "s", silent.getsockname(), "d")
            gateway.registry.apply("i-1", registration, 0.0)
            with self.assertLogs("tarragonchute.decisions", "INFO") as caught:
                with trio.move_on_after(0.01):
                    await gateway.handle(build_request())
        (record,) = caught.records
        self.assertEqual("caller_left", record.code)
        self.assertEqual(["i-1"], record.targets)
        body, _ = gateway.metrics.render_metrics()
        self.assertIn(b'result="caller_left"', body)


class GatewayMetricsTests(testtools.TestCase):
    """Rendered metrics."""

    def test_every_metric_is_rendered(self):
        """Guards against a metric that fails when it is read."""
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
