"""Runs a gateway process: listeners, timers, signals and shutdown."""

import ctypes
import gc
import logging
import signal

import trio

from .channels import ChannelListener
from .errors import PortInUseError
from .exchanges import SWEEP_PERIOD_S
from .gatewaymetrics import MEMORY_EVENTS
from .httpio import HttpResponse, ServerOptions, bind_listeners, serve_http
from .memory import MemoryAccount, MemoryLimits, Source
from .timers import TimerService

logger = logging.getLogger(__name__)

DRAIN_ACCEPT_FRACTION = 0.55
"""Fraction of the stop grace for which a draining VM still accepts connections. The
load balancer removes a VM only after two failed probes, one second apart."""

EXIT_MARGIN_S = 0.4
"""Time before SIGKILL at which the process exits even if requests are in flight."""

ANSWER_MARGIN_S = 0.2
"""Time before the exit at which requests that are still in flight are answered."""

_M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 128 * 1024
"""Size from which blocks are mapped apart and returned to the machine when freed. This
is the value at the start of the C library, which otherwise raises it with each block
freed; bodies and answers then leave gaps in the heap. Measured with 40 callers who do
not read answers of 4 MB: 66 MB in place of 84 MB."""

METRICS_PORT = 9464
METRICS_PATH = "/metrics"

SETTINGS_CHECK_PERIOD_S = 2.0
"""Period at which the settings file is checked for changes."""

TASK_RESTART_DELAY_S = 0.5
"""Delay before a background task that raised an unexpected error runs again."""


MEMORY_CHECK_PERIOD_S = 1.0
"""Period at which the descriptors of targets are counted, and refused or closed callers
are logged."""


def build_server_options(settings):
    """Return the options of the HTTP server for callers.

    Parameters
    ----------
    settings : gateway.GatewaySettings
    """
    limits = MemoryLimits(settings.memory_mb, settings.max_descriptors)
    return ServerOptions(
        cancel_on_disconnect=True,
        accept_grace_s=settings.stop_grace_s * DRAIN_ACCEPT_FRACTION,
        memory=MemoryAccount(limits),
    )


class GatewayProcess:
    """Runs a `gateway.Gateway` and its listeners until SIGTERM.

    Parameters
    ----------
    gateway : gateway.Gateway
    server_options : httpio.ServerOptions
        Options of the server for callers; the gateway adjusts them. Its account of
        the memory is used for all servers and channels.
    tasks : list
        Objects with an async `run` method, started before the listeners.
    peer_handler : callable
        HTTP handler for requests of other VMs.
    ready_path : str
        Path of the readiness probe.
    reload_settings : callable
        Validates the settings file if it changed; called on SIGHUP and
        periodically.
    """

    def __init__(
        self,
        gateway,
        server_options,
        tasks,
        peer_handler,
        ready_path,
        reload_settings,
    ):
        self._gateway = gateway
        self._options = server_options
        self._tasks = tasks
        self._peer_handler = peer_handler
        self._ready_path = ready_path
        self._reload_settings = reload_settings
        self._shutdown = trio.Event()
        self._scope = None

    async def run(self):
        """Serve until SIGTERM, then finish the requests in flight."""
        gateway = self._gateway
        settings = gateway.settings
        logger.info("started", extra={"domain": settings.domain})
        timers = TimerService(trio.current_time())
        gateway.shard_server.get_pause_s = timers.get_pause_s
        gateway.queue_policy.get_pause_s = timers.get_pause_s
        gateway.shard_server.memory = self._options.memory
        timers.subscribe("sweep", SWEEP_PERIOD_S, gateway.sweep)
        timers.subscribe("settings", SETTINGS_CHECK_PERIOD_S, self._check_settings)
        timers.subscribe("memory", MEMORY_CHECK_PERIOD_S, self._check_memory)
        async with trio.open_nursery() as nursery:
            self._scope = nursery.cancel_scope
            nursery.start_soon(self._handle_signals)
            nursery.start_soon(timers.run)
            nursery.start_soon(run_supervised, gateway.reactor.run)
            nursery.start_soon(gateway.shard_server.run)
            for task in self._tasks:
                nursery.start_soon(run_supervised, task.run)
            # Bound before the probe's listener: a VM must not report ready while
            # callers are refused. Until they are served, they wait in the backlog.
            listeners = await bind_listeners(settings.caller_address)
            await self._listen(nursery, settings.ready_address, self._serve_probe)
            await self._listen(nursery, settings.peer_address, self._peer_handler)
            if settings.search_address:
                ChannelListener(
                    gateway.reactor,
                    settings.search_address,
                    gateway.channel_owner,
                    self._options.memory,
                )
            await self._listen_for_metrics(nursery)
            # Objects created at start-up live as long as the process, so the garbage
            # collector need not traverse them again.
            gc.collect()
            gc.freeze()
            await serve_http(gateway.handle, listeners, self._options, self._shutdown)
            # Other VMs still wait for the subsearches that this VM has acknowledged.
            await gateway.shard_server.wait_until_idle()
            nursery.cancel_scope.cancel()
        logger.info("stopped")

    async def _listen(self, nursery, address, handler):
        listeners = await bind_listeners(address)
        options = ServerOptions(memory=self._options.memory, source=Source.INTERNAL)
        nursery.start_soon(serve_http, handler, listeners, options)

    async def _listen_for_metrics(self, nursery):
        address = f"{self._gateway.settings.host}:{METRICS_PORT}"
        try:
            await self._listen(nursery, address, self._serve_metrics)
        except PortInUseError as error:
            # The port is fixed. Callers can be served without metrics.
            logger.error("metrics are not served: %s", error)

    async def _serve_metrics(self, request):
        if request.path != METRICS_PATH:
            return HttpResponse(404)
        body, content_type = self._gateway.metrics.render_metrics()
        return HttpResponse(200, body, {"Content-Type": content_type})

    async def _serve_probe(self, request):
        if request.path != self._ready_path:
            return HttpResponse(404)
        return HttpResponse(200 if self._gateway.is_ready() else 503)

    async def _handle_signals(self):
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self._reload_settings()
                elif not self._shutdown.is_set():
                    self._stop(trio.current_time())

    def _stop(self, now):
        logger.info("stop requested")
        exit_at = now + self._gateway.settings.stop_grace_s - EXIT_MARGIN_S
        self._gateway.drain(now, exit_at - ANSWER_MARGIN_S)
        self._shutdown.set()
        self._scope.deadline = exit_at

    def _check_settings(self, _now):
        self._reload_settings()

    def _check_memory(self, _now):
        memory = self._options.memory
        memory.other_descriptors = self._gateway.count_target_connections()
        events = memory.list_new_events()
        for kind, count in events.items():
            self._gateway.metrics.count(MEMORY_EVENTS, (kind,), count)
        if events:
            fields = {"held_bytes": memory.held_bytes, **events}
            logger.warning(
                "refused or closed connections for lack of room", extra=fields
            )


def fix_allocation_threshold():
    """Keep the C library's threshold at `MMAP_THRESHOLD_BYTES`, if it has one."""
    library = ctypes.CDLL(None)
    if hasattr(library, "mallopt"):
        library.mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


async def run_supervised(run):
    """Run a background task, and again after an unexpected error.

    One malformed message or an error in the code must not end the process, which has
    requests of other callers in flight.

    Parameters
    ----------
    run : callable
        Async; returns or runs until cancelled.
    """
    while True:
        try:
            return await run()
        except Exception:
            logger.exception("a background task failed; it is started again")
            await trio.sleep(TASK_RESTART_DELAY_S)
