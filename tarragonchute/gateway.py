"""Forwards callers' requests to targets.

`Gateway` connects the configuration, the registered targets and the requests in flight.
It is independent of the platform: an adapter supplies requests, configuration and
targets, and the names of headers.
"""

import logging
import math
import random

import trio

from . import exchanges, replicas
from .budgets import WindowBudget, WindowLimits
from .delegates import Delegates
from .errors import (
    BadRequestError,
    NoConfigurationError,
    NoTargetError,
    Outcome,
    RouteNotFoundError,
    StoppingError,
    TarragonchuteError,
    UnknownKeyError,
)
from .fanout import SearchQuery
from .fleet import Fleet, VmInfo
from .gatewaymetrics import (
    CONFIGURATION_VERSION,
    CONNECTIONS,
    DELEGATES,
    HELD_ALLOWANCES,
    HELD_BYTES,
    LEAVING_TARGETS,
    LOG_LINES_DROPPED,
    OPENED_CONNECTIONS,
    PAUSED_TARGETS,
    QUEUED_ATTEMPTS,
    RETAINED_ENTRIES,
    ROLLOUTS,
    STORE_ERA,
    SUBSEARCHES,
    TARGETS,
    VMS,
    GatewayMetrics,
)
from .grantlinks import build_allowances
from .leaders import estimate_rate, order_domains
from .memory import Source
from .notices import NoticeReader
from .queries import CallerIdentity, QueryContext, SingleQuery, build_outgoing
from .registry import Registry
from .requestrecords import RequestRecord
from .revisions import StoreEras
from .rollouts import Rollouts
from .routes import WeightedChoice
from .shardserver import ShardServer
from .shares import ColdLimits, FleetShares
from .targetadmission import QueuePolicy

logger = logging.getLogger(__name__)

SEARCH_REPLY_TIME_WEIGHT = 0.02
SINGLE_REPLY_TIME_WEIGHT = 0.1
"""Weights of one reply in the moving average of a route's reply times. The weight is
smaller for searches, which receive many replies at once."""

MAX_REFRESHED_SERVICES_PER_TICK = 40
"""Maximum number of services per tick whose preferred targets are recomputed after a
change, so that no request has to wait for it."""

PRECONNECT_DELAY_S = 2.0
"""Time after the start before connections are opened in advance. VMs that start at the
same time need a moment to discover each other. Until then, each assumes a smaller fleet
and would open too many connections."""

MAX_PRECONNECTS_PER_TICK = 10
"""Maximum number of connections opened in advance per tick. A target may reserve a slot
for each new connection, so they must not all be opened at once."""

KEEP_CONNECTED_IDLE_S = 20.0
"""Time without requests after which closed connections are no longer replaced."""

DOMAIN_CHECK_INTERVAL_S = 1.0
"""Interval between updates of the failure domains from which leaders are chosen."""

COLD_WINDOW_S = 1.0
"""Window in which the requests to a cold target are limited."""

NO_CONFIGURATION_RETRY_S = 0.2
"""Retry delay sent to a caller of a VM that has not received its configuration yet."""


class Gateway:
    """Forwards requests according to the configuration in force.

    Parameters
    ----------
    settings : GatewaySettings
    header_names : headernames.HeaderNames
    server_options : httpio.ServerOptions
        Limits for callers' connections; updated with the configuration.
    random_source : random.Random or None

    Attributes
    ----------
    table : routes.RouteTable or None
        Newest configuration received.
    fleet : fleet.Fleet
        The VMs that share the fleet-wide limits.
    allowances : allowances.Allowances or None
        None if allowances are not enforced.
    queue_policy : targetadmission.QueuePolicy
    channel_owner : channels.ChannelOwner
        Owner of the channels that other VMs open.
    rollouts : rollouts.Rollouts
    count_dropped_lines : callable
        Returns the number of log lines dropped since the start.
    """

    def __init__(self, settings, header_names, server_options, random_source=None):
        self.settings = settings
        self.table = None
        self._started_at = trio.current_time()
        self._last_request_at = None
        own_vm = VmInfo(
            settings.vm_id,
            settings.domain,
            settings.peer_address,
            settings.search_address,
            estimate_rate(settings.cores, settings.link_mbps),
        )
        self.fleet = Fleet(own_vm)
        self.metrics = GatewayMetrics()
        self.metrics.read_gauges = self._list_gauges
        self.is_draining = False
        self._stop_at = math.inf
        self._queries = set()
        self.get_last_contact = lambda: -math.inf
        self.count_dropped_lines = self.count_retained = int  # `int()` returns 0.
        self.store_eras = StoreEras()
        self._header_names = header_names
        self._server_options = server_options
        self._random = random_source or random.Random()
        cold_limits = ColdLimits(settings.cold_factor, settings.cold_slack)
        self._shares = FleetShares(
            settings.vm_id, settings.domain, settings.retry_slack, cold_limits
        )
        self._retry_limits = WindowLimits(
            settings.retry_share,
            self._shares.compute_retry_slack(),
            settings.retry_window_s,
        )
        self._retry_budgets = {}
        self._reply_times = {}
        self._service_choices = {}
        self.queue_policy = QueuePolicy(self.metrics)
        self.reactor = exchanges.TargetReactor(header_names.lowercase.request_id)
        self._memory = server_options.memory
        if self._memory is not None:
            self.reactor.max_buffered_bytes = self._memory.limits.reply_bytes
        self.chooser = replicas.ReplicaChooser(
            settings.domain, self._try_reserve_cold_request, self._random
        )
        self.rollouts = Rollouts(
            settings.rollout_limits, self._compute_slack_part, self._apply_versions
        )
        self.registry = Registry(
            self._open_pool,
            self.reactor.close_pool,
            self._assign_targets,
            self.chooser.record_exchange_end,
            self._random,
            self.rollouts,
        )
        self.registry.on_reply = NoticeReader(self.registry, header_names).read
        self._delegates = Delegates(
            own_vm, self.reactor, self.registry.list_served_domains
        )
        self._leader_domains = None
        self._next_domain_check = 0.0
        self._context = QueryContext(
            self.registry,
            self.chooser,
            header_names,
            self._get_retry_budget,
            self.reactor.poll,
            self._delegates,
            self.queue_policy,
            self.rollouts,
        )
        self.shard_server = ShardServer(
            settings.vm_id, self._context, self._get_reply_times, self._record_subsearch
        )
        self.allowances = None
        self.channel_owner = self.shard_server
        if settings.allowance_bounds is not None:
            self.allowances, self.channel_owner = build_allowances(
                settings.allowance_bounds,
                self.fleet,
                self.reactor,
                self.shard_server,
                self.metrics,
            )

    def apply_table(self, table):
        """Put a configuration in force, unless it is not newer than the current one."""
        if self.table is not None and table.version <= self.table.version:
            return
        previous_version = None if self.table is None else self.table.version
        self.table = table
        self._service_choices.clear()
        self._delete_obsolete_state(table)
        self.queue_policy.is_active = table.customers is not None
        self._apply_server_limits(table.limits)
        self.registry.invalidate_all()
        now = trio.current_time()
        self._update_shares(now)
        if self.allowances is not None:
            self.allowances.set_vms(self.fleet.list_present(), now)
            customers = table.customers.list_customers() if table.customers else []
            self.allowances.apply_customers(customers, table.version, now)
        if not self.is_draining:
            self.shard_server.start_accepting(now)
        logger.info(
            "configuration in force",
            extra={
                "version": table.version,
                "before": previous_version,
                "routes": len(table.routes),
            },
        )

    def is_ready(self):
        """Return whether callers should be sent to this VM."""
        return self.table is not None and not self.is_draining

    def drain(self, now, stop_at):
        """Report that this VM is not ready, and ask other VMs not to delegate to it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        stop_at : float
            Time by which each request is answered, whether or not a target has replied.
        """
        self.is_draining = True
        self._stop_at = stop_at
        for query in self._queries:
            query.limit_deadline(stop_at)
        self.shard_server.start_draining(now)

    def sweep(self, now):
        """Run the periodic work of one tick.

        The timer service calls this every `exchanges.SWEEP_PERIOD_S`.
        """
        self.reactor.sweep(now)
        self.registry.remove_expired(now)
        self.registry.resume_paused(now)
        if self.table is None:
            return
        self._update_shares(now)
        self._update_delegates(now)
        self._delegates.maintain_channels(now)
        if self.allowances is not None:
            self.fleet.key_lease.confirm(self.get_last_contact(), now)
            self.allowances.set_vms(self.fleet.list_present(), now)
            self.allowances.sweep(now)
        if now - self._started_at > PRECONNECT_DELAY_S:
            self.registry.refresh(MAX_REFRESHED_SERVICES_PER_TICK)
            self._preconnect(now)

    async def handle(self, request):
        """Return the response to a caller's `httpio.HttpRequest`."""
        started_at = self._last_request_at = trio.current_time()
        request_id = request.headers.get(
            self._header_names.lowercase.request_id.decode()
        )
        record = RequestRecord(request, request_id, started_at)
        charged = None
        try:
            route, identity = self._identify(request, request_id, started_at)
            customer = identity and identity.customer
            if self.allowances is not None and customer and customer.is_limited:
                table = self.table
                await self.allowances.acquire(customer, route.goal_s, started_at)
                charged = customer
                if self.table is not table:
                    route, identity = self._identify(request, request_id, started_at)
            query = record.query = self._build_query(
                request, request_id, route, identity, started_at
            )
            self._queries.add(query)
            record.response = await query.run()
            return record.response
        except TarragonchuteError as error:
            record.error = error
            if charged is not None and error.outcome is Outcome.NOT_RUN:
                self.allowances.release(charged, trio.current_time())
            raise
        finally:
            self._queries.discard(record.query)
            record.write(self.metrics, trio.current_time())

    def _identify(self, request, request_id, now):
        """Return the route of a request, and the `CallerIdentity` or None."""
        table = self.table
        if table is None:
            error = NoConfigurationError("no configuration has been received yet")
            error.retry_after_s = NO_CONFIGURATION_RETRY_S
            raise error
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = table.find_route(request.headers.get("host", ""), path)
        if route is None:
            raise RouteNotFoundError(
                f"no route matches in configuration version {table.version}"
            )
        identity = self._identify_caller(request, route)
        if not request_id:
            raise BadRequestError("the request has no request id header")
        if self._stop_at - now < route.goal_s:
            raise StoppingError(f"this VM stops in {self._stop_at - now:.3f} s")
        return route, identity

    def _build_query(self, request, request_id, route, identity, now):
        arguments = (
            self._context,
            route,
            self.table.version,
            build_outgoing(
                request, request_id.encode("latin-1"), self._header_names, identity
            ),
            self._parse_time_limit(request, route),
            self._get_reply_times(route.name, route.goal_s, route.is_search),
            now,
        )
        if route.is_search:
            query = SearchQuery(*arguments)
        else:
            query = SingleQuery(self._choose_service(route), *arguments)
        if identity is not None and identity.customer is not None:
            query.set_customer(identity.customer)
        query.limit_deadline(self._stop_at)
        return query

    def _identify_caller(self, request, route):
        """Return the `CallerIdentity`, or None if callers need no keys.

        Raises
        ------
        UnknownKeyError
            If the route is not public and the request carries no valid key.
        """
        customers = self.table.customers
        if customers is None:
            return None
        name = self._header_names.lowercase.credentials
        credentials = [value for key, value in request.header_lines if key == name]
        customer = customers.find_by_credentials(credentials)
        if customer is None and not route.is_public:
            raise UnknownKeyError("the request carries no key of a customer")
        return CallerIdentity(customer)

    def _parse_time_limit(self, request, route):
        text = request.headers.get(self._header_names.lowercase.time_limit.decode(), "")
        try:
            limit_s = float(text) / 1000
        except ValueError:
            return route.timeout_s
        return limit_s if limit_s > 0 else route.timeout_s

    def _choose_service(self, route):
        choice = self._service_choices.get(route.name)
        if choice is None:
            choice = WeightedChoice(route.weighted_services, self._random.random())
            self._service_choices[route.name] = choice
        service = choice.choose()
        if service is None:
            raise NoTargetError(f"route {route.name} has no service")
        return service

    def _get_reply_times(self, route_name, goal_s, is_search=True):
        key = (route_name, goal_s)
        reply_times = self._reply_times.get(key)
        if reply_times is None:
            weight = SEARCH_REPLY_TIME_WEIGHT if is_search else SINGLE_REPLY_TIME_WEIGHT
            reply_times = self._reply_times[key] = replicas.ReplyTimes(goal_s, weight)
        return reply_times

    def _get_retry_budget(self, service):
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = self._retry_budgets[service] = WindowBudget(self._retry_limits)
            if self.table is not None and self.table.is_wide_shard(service):
                self._update_wide_retry_limits(
                    service, self.registry.list_usable(service)
                )
        return budget

    def _update_wide_retry_limits(self, service, targets):
        """Set the retry limits of a wide-search shard; each shard has its own."""
        budget = self._retry_budgets.get(service)
        if budget is not None:
            settings = self.settings
            budget.limits = WindowLimits(
                settings.retry_share,
                self._shares.compute_wide_retry_slack(service, targets),
                settings.retry_window_s,
            )

    def _update_shares(self, now):
        """Update the shares of fleet-wide limits if the list of VMs has changed."""
        if self._shares.set_vms(self.fleet.list_vms(now)):
            self._retry_limits.slack = self._shares.compute_retry_slack()
            self.registry.invalidate_all()
            self.rollouts.update_parts()
            self._next_domain_check = now
            logger.info(
                "fleet changed",
                extra={
                    "vms": self._shares.vm_count,
                    "is_leader": self._shares.is_leader,
                },
            )

    def _update_delegates(self, now):
        """Update the delegates to the current fleet and leader domains."""
        if now < self._next_domain_check:
            return
        self._next_domain_check = now + DOMAIN_CHECK_INTERVAL_S
        vms = self.fleet.list_vms(now) if self.table.wide_shards else []
        domains = self._choose_leader_domains()
        if domains != self._leader_domains:
            logger.info("leaders of domains are used", extra={"domains": domains})
            self._leader_domains = domains
        self._delegates.update(vms, domains, now)

    def _choose_leader_domains(self):
        domains = set()
        for service in self.table.wide_shards:
            domains |= self.registry.list_served_domains(service)
        return order_domains(domains, self.settings.domain, self.settings.vm_id)

    def _delete_obsolete_state(self, table):
        """Delete the state of routes and services that no longer exist."""
        routes = {(route.name, route.goal_s) for route in table.routes}
        for key in [key for key in self._reply_times if key not in routes]:
            del self._reply_times[key]
        for service in [
            name for name in self._retry_budgets if name not in table.services
        ]:
            del self._retry_budgets[service]
        self.queue_policy.delete_except(table.services)

    def _apply_server_limits(self, limits):
        options = self._server_options
        if limits is None:
            return
        options.max_header_bytes = limits.max_header_bytes
        options.max_body_bytes = limits.max_body_bytes
        options.request_timeout_s = limits.header_timeout_s
        options.idle_timeout_s = limits.idle_timeout_s

    def _open_pool(self, registration):
        pool = self.reactor.open_pool(
            registration.address, 1, self.queue_policy, registration.service
        )
        pool.load.slots = registration.slots
        return pool

    def _preconnect(self, now):
        """Open connections in advance of their use, a limited number per tick."""
        disconnected_pools = self.reactor.disconnected_pools
        if self._last_request_at is not None and (
            now - self._last_request_at > KEEP_CONNECTED_IDLE_S
        ):
            disconnected_pools.clear()
        opened = 0
        while disconnected_pools and opened < MAX_PRECONNECTS_PER_TICK:
            opened += disconnected_pools.popleft().preconnect(now)

    def _assign_targets(self, service, targets):
        """Set the preferred targets of a service and their connection limits."""
        table = self.table
        policy = table and table.services.get(service)
        if not policy:
            return
        limit = policy.max_connections
        for group in self.rollouts.group_by_version(service, targets):
            self._assign_group(service, group, limit)
        if table.is_wide_shard(service) and self.settings.search_address:
            self._update_wide_retry_limits(service, targets)

    def _assign_group(self, service, targets, limit):
        table, shares = self.table, self._shares
        is_kept_connected = table.is_routed(service)
        if table.is_wide_shard(service) and self.settings.search_address:
            preferred, connection_limit = shares.assign_wide_targets(
                service, targets, limit
            )
            is_kept_connected = shares.is_assigned(service, targets)
        else:
            preferred = shares.choose_preferred(service, targets, limit)
            connection_limit = shares.compute_connection_limit(limit, len(targets))
        is_assigned = table.is_wide_shard(service) and shares.is_assigned(
            service, targets
        )
        for target in targets:
            target.pool.load.slots = target.registration.slots
            target.pool.load.is_assigned = is_assigned
            target.is_preferred = target in preferred
            target.pool.is_kept_connected = target.is_preferred and is_kept_connected
            if target.pool.is_kept_connected and not target.pool.count_connections():
                self.reactor.disconnected_pools.append(target.pool)
            target.pool.max_connections = connection_limit if target.is_preferred else 1

    def _compute_slack_part(self, service):
        """Return this VM's part of the requests that a new version may get."""
        is_wide = self.table is not None and self.table.is_wide_shard(service)
        if not is_wide or not self.settings.search_address:
            return self._shares.compute_exposure_part()
        targets = self.registry.list_usable(service)
        return self._shares.compute_wide_exposure_part(service, targets)

    def _apply_versions(self, service, now):
        self.registry.apply_versions(service, now)

    def _try_reserve_cold_request(self, target, now):
        """Return whether a request may be sent to a cold target now.

        If so, the time of the next one is set. The rate limit of a cold target is
        divided among all VMs.
        """
        interval_s = self._compute_cold_interval_s(target.registration)
        if interval_s is None:
            return False
        if target.next_cold_send_at is None:
            # All VMs see a new target at about the same time, so the first request is
            # delayed by a random time. Requests that a target got just before it turned
            # cold count in the same window.
            starts_at = max(now, target.turned_cold_at + COLD_WINDOW_S)
            target.next_cold_send_at = starts_at + interval_s * self._random.random()
        if now < target.next_cold_send_at:
            return False
        target.next_cold_send_at = now + interval_s * (
            0.8 + 0.4 * self._random.random()
        )
        return True

    def _compute_cold_interval_s(self, registration):
        table = self.table
        policy = table and table.services.get(registration.service)
        rate = policy.cold_rate if policy else 0.0
        if table is not None and table.is_wide_shard(registration.service):
            return self._shares.compute_wide_cold_interval_s(rate, registration.domain)
        return self._shares.compute_cold_interval_s(rate)

    def _record_subsearch(self, query):
        self.metrics.count_subrequests(query.subrequests)
        self.metrics.count(SUBSEARCHES, ())

    def count_target_connections(self):
        """Return the number of open connections to targets."""
        return sum(pool.count_connections() for pool in self.reactor.pools)

    def _count_queued(self):
        return sum(pool.count_queued() for pool in self.reactor.pools)

    def _list_gauges(self):
        version = self.table.version if self.table else 0
        now = trio.current_time()
        held = self.allowances.count_held(now) if self.allowances else 0
        return [
            (CONFIGURATION_VERSION, (), version),
            (TARGETS, (), len(self.registry)),
            (VMS, (), self._shares.vm_count),
            (CONNECTIONS, (), self.count_target_connections()),
            (DELEGATES, (), self._delegates.count_usable(now)),
            (PAUSED_TARGETS, (), self.registry.count_paused()),
            (LEAVING_TARGETS, (), self.registry.count_leaving()),
            (QUEUED_ATTEMPTS, (), self._count_queued()),
            (ROLLOUTS, (), len(self.rollouts.list_running())),
            (LOG_LINES_DROPPED, (), self.count_dropped_lines()),
            (HELD_ALLOWANCES, (), held),
            (STORE_ERA, (), self.store_eras.current),
            (RETAINED_ENTRIES, (), self.count_retained()),
            *self._list_memory_gauges(),
        ]

    def _list_memory_gauges(self):
        memory = self._memory
        if memory is None:
            return []
        return [
            (HELD_BYTES, (), memory.held_bytes),
            *(
                (OPENED_CONNECTIONS, (source.value,), memory.count_connections(source))
                for source in Source
            ),
        ]
