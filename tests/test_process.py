"""Tests of the start of a gateway process."""

import testtools
import trio

from tarragonchute import process
from tarragonchute.gateway import Gateway
from tarragonchute.memory import Source
from tarragonchute.process import (
    GatewayProcess,
    build_server_options,
    run_supervised,
)

from .test_gateway import build_settings
from .test_queries import HEADER_NAMES
from .trial import run_in_virtual_time


class StartAbortedError(Exception):
    """Aborts the start at the first listener."""


class GatewayProcessTests(testtools.TestCase):
    """Order of the listeners at the start."""

    @run_in_virtual_time
    async def test_callers_can_connect_before_probes_succeed(self):
        """Guards against a VM that reports ready while it refuses callers.

        This happens if the listener for probes is bound before the one for callers.
        """
        bound = []

        async def bind(address):
            bound.append(address)
            raise StartAbortedError

        self.patch(process, "bind_listeners", bind)
        settings = build_settings()
        options = build_server_options(settings)
        gateway = Gateway(settings, HEADER_NAMES, options)
        self.addCleanup(gateway.reactor.close)
        gateway_process = GatewayProcess(
            gateway, options, [], None, "/ready", lambda: None
        )
        try:
            await gateway_process.run()
        except* StartAbortedError:
            pass
        self.assertEqual([settings.caller_address], bound)


class MemoryReportTests(testtools.TestCase):
    """Log line and metrics of refused and closed callers."""

    @run_in_virtual_time
    async def test_events_are_logged_once_and_counted(self):
        """Guards against a log line for each refused caller, and against none."""
        settings = build_settings()
        options = build_server_options(settings)
        gateway = Gateway(settings, HEADER_NAMES, options)
        self.addCleanup(gateway.reactor.close)
        gateway_process = GatewayProcess(gateway, options, [], None, "", None)
        memory = options.memory
        memory.open(Source.CALLER, None, 0.0)
        for _ in range(1000):
            memory.record_stall()
        with self.assertLogs(process.logger, "WARNING") as logs:
            for now in (1.0, 2.0):
                gateway_process._check_memory(now)
        (record,) = logs.records
        self.assertEqual(1000, record.answer_not_taken)
        text = gateway.metrics.render_metrics()[0].decode()
        self.assertIn('events_total{kind="answer_not_taken"} 1000', text)
        self.assertIn('opened_connections{source="caller"} 1', text)


class SupervisionTests(testtools.TestCase):
    """Background tasks that raise unexpected errors."""

    @run_in_virtual_time
    async def test_failed_task_runs_again(self):
        """Guards against one error in a task that ends the whole process."""
        runs = []

        async def fail_once():
            runs.append(trio.current_time())
            if len(runs) == 1:
                raise KeyError("injected")

        await run_supervised(fail_once)
        self.assertEqual(2, len(runs))

    @run_in_virtual_time
    async def test_cancelled_task_ends(self):
        """Guards against a task that cannot be stopped."""
        with trio.move_on_after(1) as scope:
            await run_supervised(trio.sleep_forever)
        self.assertTrue(scope.cancelled_caught)
