"""The part of a VM that forwards callers' requests to targets.

It joins the configuration, the registered targets and the requests in flight, and
holds no protocol of its own: an adapter feeds it and names its headers.
"""

import logging
import random

import trio

from . import exchanges, replicas
from .budgets import WindowBudget, WindowLimits
from .delegates import Delegates
from .errors import (
    BadRequestError,
    NoConfigurationError,
    NoTargetError,
    RouteNotFoundError,
    TarragonchuteError,
)
from .fanout import SearchQuery
from .fleet import Fleet, VmInfo
from .gatewaymetrics import (
    CONFIGURATION_VERSION,
    CONNECTIONS,
    DELEGATES,
    LOG_LINES_DROPPED,
    NO_ROUTE,
    SEARCH,
    SEARCH_COVERAGE,
    SINGLE,
    SUBSEARCHES,
    TARGETS,
    VMS,
    GatewayMetrics,
)
from .leaders import estimate_rate, hash_to_fraction
from .queries import QueryContext, SingleQuery, build_outgoing
from .registry import Registry
from .routes import WeightedChoice
from .shardserver import ShardServer
from .shares import ColdLimits, FleetShares

logger = logging.getLogger(__name__)
decisions = logging.getLogger("tarragonchute.decisions")

SEARCH_TIMES_WEIGHT = 0.02
SINGLE_TIMES_WEIGHT = 0.1
"""Weight of one reply in a route's usual reply time; a search gives many at once."""

REFRESH_PER_TICK = 40
"""Services whose changed targets are arranged at each tick, before a request does."""

SETTLE_S = 2.0
"""Time after the start before connections are opened ahead. VMs that start together see
each other's keys only after a moment, and would open too many."""

WARM_UP_PER_TICK = 10
"""Connections that are opened ahead of use at each tick. A target may hold a slot for
each new connection, so they must not all come at once."""

KEEP_WARM_S = 20.0
"""Time without requests after which ended connections are not replaced any more."""

DOMAIN_CHECK_S = 1.0
"""Period at which the failure domain whose leaders are used is chosen again."""

SAMPLED_SHARDS = 8
"""Shards whose targets are looked at for that."""

NO_CONFIGURATION_RETRY_S = 0.2
"""When a caller is asked to come back to a VM that has just started."""


class GatewaySettings:
    """What one VM's gateway is told by its settings file.

    Parameters
    ----------
    vm_id, domain, host : str
    caller_address, ready_address, peer_address, store_address : str
        ``host:port``.
    search_address : str
        Where other VMs hand over shards; empty if this VM takes none.
    cores, link_mbps : float
        Processor time a second and bandwidth that this VM has.
    peers : tuple of str
        Peer addresses of some VMs; they may be stale.
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
        "peer_address",
        "search_address",
        "cores",
        "link_mbps",
        "peers",
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
    fleet : fleet.Fleet
        The VMs that share the fleet-wide allowances.
    count_dropped_lines : callable
        Returns the log lines that were dropped since the start.
    """

    def __init__(self, settings, dialect, server_options, random_source=None):
        self.settings = settings
        self.table = None
        self._started_at = trio.current_time()
        self._last_request_at = None
        own = VmInfo(
            settings.vm_id,
            settings.domain,
            settings.peer_address,
            settings.search_address,
            estimate_rate(settings.cores, settings.link_mbps),
        )
        self.fleet = Fleet(own)
        self.metrics = GatewayMetrics()
        self.metrics.read_gauges = self._list_gauges
        self.is_draining = False
        self.count_dropped_lines = int
        self._dialect = dialect
        self._server_options = server_options
        self._random = random_source or random.Random()
        cold_limits = ColdLimits(settings.cold_factor, settings.cold_slack)
        self._shares = FleetShares(
            settings.vm_id, settings.domain, settings.retry_slack, cold_limits
        )
        self._window = WindowLimits(
            settings.retry_share,
            self._shares.count_retry_slack(),
            settings.retry_window_s,
        )
        self._wide_window = WindowLimits(
            settings.retry_share,
            self._shares.count_wide_retry_slack(),
            settings.retry_window_s,
        )
        self._budgets = {}
        self._times = {}
        self._weighted = {}
        self.reactor = exchanges.TargetReactor(dialect.fields.request_id)
        self.chooser = replicas.ReplicaChooser(
            settings.domain, self._allow_cold, self._random
        )
        self.registry = Registry(
            self._open_pool,
            self.reactor.close_pool,
            self._arrange,
            self.chooser.observe,
        )
        self._delegates = Delegates(own, self.reactor, self._is_served_in)
        self._leader_domains = None
        self._next_domain_check = 0.0
        self._context = QueryContext(
            self.registry,
            self.chooser,
            dialect,
            self._find_budget,
            self.reactor.poll,
            self._delegates,
        )
        self.shard_server = ShardServer(
            settings.vm_id, self._context, self._find_times, self._count_subsearch
        )

    def apply_table(self, table):
        """Take a configuration; an older one than that in force is ignored."""
        if self.table is not None and table.version <= self.table.version:
            return
        before = None if self.table is None else self.table.version
        self.table = table
        self._weighted.clear()
        self._forget_removed(table)
        self._apply_limits(table.limits)
        self.registry.invalidate_all()
        now = trio.current_time()
        self._update_shares(now)
        if not self.is_draining:
            self.shard_server.start_accepting(now)
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

    def drain(self, now):
        """Report not ready, and ask other VMs for no new work."""
        self.is_draining = True
        self.shard_server.start_draining(now)

    def sweep(self, now):
        """Run the systems over the tables; called by the timer service."""
        self.reactor.sweep(now)
        self.registry.sweep(now)
        if self.table is None:
            return
        self._update_shares(now)
        self._update_delegates(now)
        self._delegates.maintain_channels(now)
        if now - self._started_at > SETTLE_S:
            self.registry.refresh(REFRESH_PER_TICK)
            self._warm_up(now)

    async def handle(self, request):
        """Answer one caller's `httpio.HttpRequest`."""
        started_at = self._last_request_at = trio.current_time()
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
            elapsed_s = trio.current_time() - started_at
            self._log_end(request, request_id, query, response, error, elapsed_s)
            self._count_end(query, response, error, elapsed_s)

    def _build_query(self, request, request_id, now):
        table = self.table
        if table is None:
            error = NoConfigurationError("no configuration was received yet")
            error.retry_after_s = NO_CONFIGURATION_RETRY_S
            raise error
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = table.find_route(request.headers.get("host", ""), path)
        if route is None:
            raise RouteNotFoundError(f"no route in version {table.version}")
        if not request_id:
            raise BadRequestError("the request has no id")
        arguments = (
            self._context,
            route,
            table.version,
            build_outgoing(request, request_id.encode("latin-1"), self._dialect),
            self._read_time_limit(request, route),
            self._find_times(route.name, route.goal_s, route.is_search),
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
            choice = WeightedChoice(route.weighted_services, self._random.random())
            self._weighted[route.name] = choice
        service = choice.choose()
        if service is None:
            raise NoTargetError(f"route {route.name} names no service")
        return service

    def _find_times(self, route_name, goal_s, is_search=True):
        key = (route_name, goal_s)
        times = self._times.get(key)
        if times is None:
            weight = SEARCH_TIMES_WEIGHT if is_search else SINGLE_TIMES_WEIGHT
            times = self._times[key] = replicas.ReplyTimes(goal_s, weight)
        return times

    def _find_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            is_wide = self.table is not None and self.table.is_wide_shard(service)
            limits = self._wide_window if is_wide else self._window
            budget = self._budgets[service] = WindowBudget(limits)
        return budget

    def _update_shares(self, now):
        """Take the list of VMs, if it has changed."""
        if self._shares.set_vms(self.fleet.list_vms(now)):
            self._window.slack = self._shares.count_retry_slack()
            self._wide_window.slack = self._shares.count_wide_retry_slack()
            self.registry.invalidate_all()
            self._next_domain_check = now
            logger.info(
                "fleet changed",
                extra={"vms": self._shares.vms, "is_leader": self._shares.is_leader},
            )

    def _update_delegates(self, now):
        """Follow the fleet and the failure domain whose leaders are used."""
        if now < self._next_domain_check:
            return
        self._next_domain_check = now + DOMAIN_CHECK_S
        vms = self.fleet.list_vms(now) if self.table.wide_shards else []
        domains = self._choose_leader_domains()
        if domains != self._leader_domains:
            logger.info("leaders of domains are used", extra={"domains": domains})
            self._leader_domains = domains
        self._delegates.update(vms, domains, now)

    def _choose_leader_domains(self):
        """Return the home domain, and another one for shards without a replica there.

        The home domain is this VM's own one, unless it has no targets.
        """
        own = self.settings.domain
        domains = {
            target.registration.domain
            for service in self.table.wide_shards[:SAMPLED_SHARDS]
            for target in self.registry.list_usable(service)
        }
        others = sorted(
            domains - {own},
            key=lambda domain: hash_to_fraction(domain + self.settings.vm_id),
        )
        if own in domains or not others:
            return [own, *others[:1]]
        return others[:2]

    def _is_served_in(self, service, domain):
        return any(
            target.registration.domain == domain
            for target in self.registry.list_usable(service)
        )

    def _forget_removed(self, table):
        """Drop what is kept for routes and services that no longer exist."""
        routes = {(route.name, route.goal_s) for route in table.routes}
        for key in [key for key in self._times if key not in routes]:
            del self._times[key]
        for service in [name for name in self._budgets if name not in table.services]:
            del self._budgets[service]

    def _apply_limits(self, limits):
        options = self._server_options
        if limits is None:
            return
        options.max_header_bytes = limits.max_header_bytes
        options.max_body_bytes = limits.max_body_bytes
        options.request_timeout_s = limits.header_timeout_s
        options.idle_timeout_s = limits.idle_timeout_s

    def _open_pool(self, registration):
        return self.reactor.open_pool(registration.address, 1)

    def _warm_up(self, now):
        """Open the first connections to new targets, some at each tick."""
        disconnected_pools = self.reactor.disconnected_pools
        if self._last_request_at is not None and (
            now - self._last_request_at > KEEP_WARM_S
        ):
            disconnected_pools.clear()
        opened = 0
        while disconnected_pools and opened < WARM_UP_PER_TICK:
            opened += disconnected_pools.popleft().preconnect(now)

    def _arrange(self, service, targets):
        """Set which targets this VM prefers and how many connections it opens."""
        table = self.table
        policy = table and table.services.get(service)
        if not policy:
            return
        limit = policy.max_connections
        shares = self._shares
        is_kept_connected = True
        if table.is_wide_shard(service) and self.settings.search_address:
            preferred, connections = shares.arrange_wide(service, targets, limit)
            is_kept_connected = shares.is_leader
        else:
            preferred = shares.prefer(service, targets, limit)
            connections = shares.count_connections(limit, len(targets))
        for target in targets:
            target.is_preferred = target in preferred
            target.pool.is_kept_connected = target.is_preferred and is_kept_connected
            if target.pool.is_kept_connected and not target.pool.connections_opened:
                self.reactor.disconnected_pools.append(target.pool)
            target.pool.max_connections = connections if target.is_preferred else 1

    def _allow_cold(self, target, now):
        """Whether this VM's part of a cold target's allowance permits a request."""
        interval_s = self._find_cold_interval_s(target.registration)
        if interval_s is None:
            return False
        if target.next_cold_send_at is None:
            # VMs that see a new target at the same time must not all send at once.
            target.next_cold_send_at = now + interval_s * self._random.random()
        if now < target.next_cold_send_at:
            return False
        target.next_cold_send_at = now + interval_s * (
            0.8 + 0.4 * self._random.random()
        )
        return True

    def _find_cold_interval_s(self, registration):
        table = self.table
        policy = table and table.services.get(registration.service)
        rate = policy.cold_rate if policy else 0.0
        if table is not None and table.is_wide_shard(registration.service):
            return self._shares.find_wide_cold_interval_s(rate, registration.domain)
        return self._shares.find_cold_interval_s(rate)

    def _count_end(self, query, response, error, elapsed_s):
        result = "caller_left"
        if response is not None:
            result = "ok" if response.status < 400 else "target_error"
        elif error is not None:
            result = error.code
        kind = NO_ROUTE
        if query is not None:
            kind = SEARCH if query.route.is_search else SINGLE
            self.metrics.count_subrequests(query.legs)
        self.metrics.observe_request(kind, result, elapsed_s)
        if kind is SEARCH and response is not None:
            coverage = query.included / query.total
            self.metrics.observe(SEARCH_COVERAGE, (), coverage)

    def _count_subsearch(self, query):
        self.metrics.count_subrequests(query.legs)
        self.metrics.count(SUBSEARCHES, ())

    def _list_gauges(self):
        pools = self.reactor.pools
        connections = sum(pool.count_connections() for pool in pools)
        version = self.table.version if self.table else 0
        return [
            (CONFIGURATION_VERSION, (), version),
            (TARGETS, (), len(self.registry)),
            (VMS, (), self._shares.vms),
            (CONNECTIONS, (), connections),
            (DELEGATES, (), self._delegates.count_usable(trio.current_time())),
            (LOG_LINES_DROPPED, (), self.count_dropped_lines()),
        ]

    def _log_end(self, request, request_id, query, response, error, elapsed_s):
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
        fields["ms"] = round(elapsed_s * 1000, 1)
        decisions.info("request ended", extra=fields)
