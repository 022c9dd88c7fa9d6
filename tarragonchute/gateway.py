"""The part of a VM that forwards callers' requests to targets.

It joins the configuration, the registered targets and the requests in flight, and
holds no protocol of its own: an adapter feeds it and names its headers.
"""

import logging
import random

import trio

from . import exchanges, replicas
from .budgets import WindowBudget, WindowLimits
from .errors import (
    BadRequestError,
    NoConfigurationError,
    NoTargetError,
    RouteNotFoundError,
    TarragonchuteError,
)
from .queries import QueryContext, SearchQuery, SingleQuery
from .registry import COLD_SHARE, Registry
from .routes import WeightedChoice

logger = logging.getLogger(__name__)
decisions = logging.getLogger("tarragonchute.decisions")

ASSUMED_VMS = 16
"""VMs that share fleet-wide allowances while the real number is unknown."""

RETRY_SLACK_SHARE = 0.5
"""Part of the retry slack that is used. A VM that restarts has forgotten what its
predecessor spent within the window."""

SEARCH_TIMES_WEIGHT = 0.02
SINGLE_TIMES_WEIGHT = 0.1
"""Weight of one reply in a route's usual reply time; a search gives many at once."""

NO_CONFIGURATION_RETRY_S = 0.2
"""When a caller is asked to come back to a VM that has just started."""


class GatewaySettings:
    """What one VM's gateway is told by its settings file.

    Parameters
    ----------
    vm_id, domain, host : str
    caller_address, ready_address, store_address : str
        ``host:port``.
    peer_ports : tuple of (int, int)
        First and last port for the traffic between VMs.
    max_descriptors : int
    stop_grace_s : float
        Time from the request to stop until the process is killed.
    retry_share, retry_window_s, retry_slack : float
        Bound on extra requests of a service in a window: the share of its first
        requests plus the slack, for all VMs together.
    cold_factor, cold_slack : float
        Bound on requests a second to a cold target: the service's rate times the
        factor, plus the slack, for all VMs together.
    """

    __slots__ = (
        "vm_id",
        "domain",
        "host",
        "caller_address",
        "ready_address",
        "peer_ports",
        "store_address",
        "max_descriptors",
        "stop_grace_s",
        "retry_share",
        "retry_window_s",
        "retry_slack",
        "cold_factor",
        "cold_slack",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


class Gateway:
    """Forwards requests by the configuration in force.

    Parameters
    ----------
    settings : GatewaySettings
    dialect : dialects.Dialect
    server_options : httpio.ServerOptions
        Limits on callers; changed with the configuration.
    random_source : random.Random or None

    Attributes
    ----------
    table : routes.RouteTable or None
        Newest configuration that was received.
    vms : int
        VMs that share the fleet-wide allowances.
    """

    def __init__(self, settings, dialect, server_options, random_source=None):
        self.settings = settings
        self.table = None
        self.vms = ASSUMED_VMS
        self.is_draining = False
        self._dialect = dialect
        self._server_options = server_options
        self._random = random_source or random.Random()
        self._window = WindowLimits(settings.retry_share, 0.0, settings.retry_window_s)
        self._budgets = {}
        self._times = {}
        self._weighted = {}
        self.reactor = exchanges.TargetReactor(dialect.fields.request_id)
        self.chooser = replicas.ReplicaChooser(
            settings.domain, self._allow_cold, self._random
        )
        self.registry = Registry(
            self._open_link, self.reactor.close_link, self.chooser.observe
        )
        self._context = QueryContext(
            self.registry, self.chooser, dialect, self._find_budget
        )
        self.set_vms(ASSUMED_VMS)

    def set_vms(self, count):
        """Take the number of VMs that share the allowances."""
        self.vms = max(count, 1)
        slack = self.settings.retry_slack * RETRY_SLACK_SHARE / self.vms
        self._window.slack = slack
        for target in self.registry.list_targets():
            target.link.max_connections = self._count_connections(target.registration)

    def apply_table(self, table):
        """Take a configuration; an older one than that in force is ignored."""
        if self.table is not None and table.version <= self.table.version:
            return
        before = None if self.table is None else self.table.version
        self.table = table
        self._weighted.clear()
        self._apply_limits(table.limits)
        self.set_vms(self.vms)
        logger.info(
            "configuration in force",
            extra={
                "version": table.version,
                "before": before,
                "routes": len(table.routes),
            },
        )

    def is_ready(self):
        """Whether callers should be sent to this VM."""
        return self.table is not None and not self.is_draining

    def sweep(self, now):
        """Run the systems over the tables; called by the timer service."""
        self.reactor.sweep(now)
        self.registry.sweep(now)

    async def handle(self, request):
        """Answer one caller's `httpio.HttpRequest`."""
        started_at = trio.current_time()
        request_id = request.headers.get(self._dialect.fields.request_id.decode())
        query = None
        error = None
        response = None
        try:
            query = self._build_query(request, request_id, started_at)
            response = await query.run()
            return response
        except TarragonchuteError as caught:
            error = caught
            raise
        finally:
            self._log_end(request, request_id, query, response, error, started_at)

    def _build_query(self, request, request_id, now):
        table = self.table
        if table is None:
            error = NoConfigurationError("no configuration was received yet")
            error.retry_after_s = NO_CONFIGURATION_RETRY_S
            raise error
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = table.find(request.headers.get("host", ""), path)
        if route is None:
            raise RouteNotFoundError(f"no route in version {table.version}")
        if not request_id:
            raise BadRequestError("the request has no id")
        arguments = (
            self._context,
            route,
            table.version,
            request,
            request_id.encode("latin-1"),
            self._read_time_limit(request, route),
            self._find_times(route),
            now,
        )
        if route.is_search:
            return SearchQuery(*arguments)
        return SingleQuery(self._choose_service(route), *arguments)

    def _read_time_limit(self, request, route):
        text = request.headers.get(self._dialect.fields.time_limit.decode(), "")
        try:
            limit_s = float(text) / 1000
        except ValueError:
            return route.timeout_s
        return limit_s if limit_s > 0 else route.timeout_s

    def _choose_service(self, route):
        choice = self._weighted.get(route.name)
        if choice is None:
            choice = WeightedChoice(route.parts, self._random.random())
            self._weighted[route.name] = choice
        service = choice.choose()
        if service is None:
            raise NoTargetError(f"route {route.name} names no service")
        return service

    def _find_times(self, route):
        key = (route.name, route.goal_s)
        times = self._times.get(key)
        if times is None:
            weight = SEARCH_TIMES_WEIGHT if route.is_search else SINGLE_TIMES_WEIGHT
            times = self._times[key] = replicas.ReplyTimes(route.goal_s, weight)
        return times

    def _find_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = WindowBudget(self._window)
        return budget

    def _apply_limits(self, limits):
        options = self._server_options
        if limits is None:
            return
        options.max_header_bytes = limits.max_header_bytes
        options.max_body_bytes = limits.max_body_bytes
        options.request_timeout_s = limits.header_timeout_s
        options.idle_timeout_s = limits.idle_timeout_s

    def _open_link(self, registration):
        count = self._count_connections(registration)
        return self.reactor.open_link(registration.address, count)

    def _count_connections(self, registration):
        """Return this VM's part of the connections that a target accepts."""
        table = self.table
        policy = table and table.services.get(registration.service)
        if not policy:
            return 1
        return max(policy.max_connections // self.vms, 1)

    def _allow_cold(self, target, now):
        """Whether this VM's part of a cold target's allowance permits a request."""
        if now < target.next_cold_send:
            return False
        table = self.table
        policy = table and table.services.get(target.registration.service)
        rate = policy.cold_rate if policy else 0.0
        settings = self.settings
        allowed = (rate * settings.cold_factor + settings.cold_slack) * COLD_SHARE
        if allowed <= 0:
            return False
        interval_s = self.vms / allowed
        target.next_cold_send = now + interval_s * (0.8 + 0.4 * self._random.random())
        return True

    def _log_end(self, request, request_id, query, response, error, started_at):
        fields = {"request_id": request_id or "", "path": request.path}
        if query is not None:
            fields["route"] = query.route.name
            fields["version"] = query.version
            fields.update(query.describe())
        if response is not None:
            fields["status"] = response.status
        elif error is not None:
            fields["status"] = error.status
            fields["code"] = error.code
            fields["cause"] = str(error)
        else:
            fields["code"] = "caller_left"
        fields["ms"] = round((trio.current_time() - started_at) * 1000, 1)
        decisions.info("request ended", extra=fields)
