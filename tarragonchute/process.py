"""Runs a gateway as a process: listeners, timers, signals and shutdown."""

import gc
import logging
import signal

import trio

from .exchanges import SWEEP_PERIOD_S
from .httpio import HttpResponse, ServerOptions, bind_listeners, serve_http
from .timers import TimerService

logger = logging.getLogger(__name__)

DRAIN_SHARE = 0.55
"""Part of the stop grace for which a draining VM still accepts connections. The
balancer needs two missed probes, a second apart, to take a VM out."""

EXIT_MARGIN_S = 0.4
"""Time before the kill at which the process ends even if requests are in flight."""

SETTINGS_CHECK_S = 2.0
"""Period at which the settings file is compared with what is in force."""


def build_server_options(stop_grace_s):
    """Return the options of the callers' server."""
    return ServerOptions(
        cancel_on_disconnect=True, idle_grace_s=stop_grace_s * DRAIN_SHARE
    )


class GatewayProcess:
    """One process around a `gateway.Gateway`.

    Parameters
    ----------
    gateway : gateway.Gateway
    server_options : httpio.ServerOptions
        Those that the gateway changes.
    feeds : list
        Objects with an async `run`, started before the listeners.
    ready_path : str
    reload_settings : callable
        Reads the settings file again and reports what changed.
    """

    def __init__(self, gateway, server_options, feeds, ready_path, reload_settings):
        self._gateway = gateway
        self._options = server_options
        self._feeds = feeds
        self._ready_path = ready_path
        self._reload_settings = reload_settings
        self._shutdown = trio.Event()

    async def run(self):
        """Serve until SIGTERM, then finish what is in flight."""
        gateway = self._gateway
        settings = gateway.settings
        logger.info("started", extra={"domain": settings.domain})
        timers = TimerService(trio.current_time())
        timers.subscribe("sweep", SWEEP_PERIOD_S, gateway.sweep)
        timers.subscribe("settings", SETTINGS_CHECK_S, self._check_settings)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._handle_signals)
            nursery.start_soon(timers.run)
            nursery.start_soon(gateway.reactor.run)
            for feed in self._feeds:
                nursery.start_soon(feed.run)
            ready_listeners = await bind_listeners(settings.ready_address)
            nursery.start_soon(serve_http, self._answer_probe, ready_listeners)
            listeners = await bind_listeners(settings.caller_address)
            # Start-up objects live as long as the process; the collector need not
            # visit them again.
            gc.collect()
            gc.freeze()
            await serve_http(gateway.handle, listeners, self._options, self._shutdown)
            nursery.cancel_scope.cancel()
        logger.info("stopped")

    async def _answer_probe(self, request):
        if request.path != self._ready_path:
            return HttpResponse(404)
        return HttpResponse(200 if self._gateway.is_ready() else 503)

    async def _handle_signals(self):
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGHUP:
                    self._reload_settings()
                elif not self._shutdown.is_set():
                    logger.info("stop requested")
                    self._gateway.is_draining = True
                    self._shutdown.set()

    def _check_settings(self, _now):
        self._reload_settings()
