"""Routes of callers' requests, and the configuration version that defines them."""

import itertools

from .leaders import MIN_WIDE_SEARCH_SHARDS


class Route:
    """How requests with one host and path prefix are served.

    Parameters
    ----------
    name : str
    host : str
        In lower case, without a port.
    prefix : str
        Path prefix; begins and ends with a slash.
    is_idempotent : bool
        Whether a request may run more than once, and thus be retried or hedged.
    timeout_s : float
        Time limit of a request.
    goal_s : float
        Response time goal; a later answer is worth less to the caller.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Maximum number of targets on which one request may run; for a search, the limit
        applies to each shard.
    weighted_services : list of (str, float)
        Services among which requests are distributed, and their weights. Empty for a
        search.
    shards : tuple of str
        Services that one search queries; empty for other routes.
    top : int
        Maximum number of records in the answer of a search.
    least_coverage : float
        Least fraction of the shards that an answer must cover.
    is_public : bool
        Whether requests need no key of a customer.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "is_idempotent",
        "timeout_s",
        "goal_s",
        "priority",
        "max_attempts",
        "weighted_services",
        "shards",
        "top",
        "least_coverage",
        "is_public",
    )

    def __init__(
        self,
        name,
        host,
        prefix,
        is_idempotent=True,
        timeout_s=1.0,
        goal_s=1.0,
        priority=0,
        max_attempts=1,
        weighted_services=(),
        shards=(),
        top=0,
        least_coverage=0.0,
        is_public=False,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.is_idempotent = is_idempotent
        self.timeout_s = timeout_s
        self.goal_s = goal_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.weighted_services = list(weighted_services)
        self.shards = tuple(shards)
        self.top = top
        self.least_coverage = least_coverage
        self.is_public = is_public

    @property
    def is_search(self):
        """Whether a request goes to one target of each shard."""
        return bool(self.shards)

    @property
    def is_wide(self):
        """Whether it is a wide search, whose shards are divided among VMs."""
        return len(self.shards) >= MIN_WIDE_SEARCH_SHARDS


class ServicePolicy:
    """Configured properties of the targets of one service.

    Parameters
    ----------
    name : str
    health_path : str
    max_connections : int
        Maximum number of connections that one target accepts from all VMs together.
    cold_s : float
        Seconds for which a target stays cold after its start.
    cold_rate : float
        Requests per second that a cold target can handle from all VMs together; 0 if
        the configuration sets no rate.
    """

    __slots__ = ("name", "health_path", "max_connections", "cold_s", "cold_rate")

    def __init__(self, name, health_path, max_connections, cold_s=0.0, cold_rate=0.0):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.cold_s = cold_s
        self.cold_rate = cold_rate


class CallerLimits:
    """Size and time limits for callers' requests.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
    header_timeout_s, idle_timeout_s : float
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_s",
        "idle_timeout_s",
    )

    def __init__(
        self, max_header_bytes, max_body_bytes, header_timeout_s, idle_timeout_s
    ):
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


class RouteTable:
    """One version of the configuration, with lookup of routes.

    Parameters
    ----------
    version : int
    routes : list of Route
    services : dict of str to ServicePolicy
    limits : CallerLimits or None
    customers : customers.CustomerTable or None
        None if callers need no keys.

    Attributes
    ----------
    wide_shards : tuple of str
        Services that any wide search queries.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "limits",
        "customers",
        "wide_shards",
        "_wide_shard_set",
        "_routed_services",
        "_routes_by_host",
    )

    def __init__(self, version, routes, services, limits=None, customers=None):
        self.version = version
        self.routes = list(routes)
        self.services = services
        self.limits = limits
        self.customers = customers
        wide = [route.shards for route in self.routes if route.is_wide]
        self.wide_shards = tuple(dict.fromkeys(itertools.chain.from_iterable(wide)))
        self._wide_shard_set = frozenset(self.wide_shards)
        self._routed_services = set()
        self._routes_by_host = {}
        for route in self.routes:
            self._routed_services.update(route.shards)
            self._routed_services.update(name for name, _ in route.weighted_services)
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route

    def is_wide_shard(self, service):
        """Whether a service is a shard of a wide search."""
        return service in self._wide_shard_set

    def is_routed(self, service):
        """Whether any route sends requests to a service.

        None does for the shards of an index that is not in force yet or any more.
        """
        return service in self._routed_services

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; its port and case are ignored.
        path : str
            Path as received, without the query string.
        """
        prefixes = self._routes_by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def normalize_host(host):
    """Return a host name in lower case and without its port."""
    return host.strip().lower().partition(":")[0]


class WeightedChoice:
    """Distributes requests among services in proportion to their weights.

    This is smooth weighted round robin: after any number of requests, each service is
    within one request of its share.

    Parameters
    ----------
    weighted_services : list of (str, float)
    offset : float
        Fraction of a round, from 0 to 1, at which this VM starts. With equal offsets,
        all VMs would send their first requests to the same service.
    """

    __slots__ = ("_weighted_services", "_credits")

    def __init__(self, weighted_services, offset=0.0):
        self._weighted_services = [
            (name, weight) for name, weight in weighted_services if weight > 0
        ]
        total = sum(weight for _, weight in self._weighted_services)
        self._credits = [0.0] * len(self._weighted_services)
        if self._weighted_services:
            chosen = int(offset * len(self._weighted_services)) % len(
                self._weighted_services
            )
            self._credits[chosen] = total * offset

    def choose(self):
        """Return the name of the next service, or None if no weight is positive."""
        if not self._weighted_services:
            return None
        total = 0.0
        for index, (_, weight) in enumerate(self._weighted_services):
            self._credits[index] += weight
            total += weight
        best = max(range(len(self._weighted_services)), key=self._credits.__getitem__)
        self._credits[best] -= total
        return self._weighted_services[best][0]
