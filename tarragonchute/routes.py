"""Routes of callers' requests, and the versioned configuration that names them."""

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
        Begins and ends with a slash.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time for which a caller is kept waiting.
    goal_s : float
        Time within which an answer has its full worth.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Targets on which one request may run; for a search, in each shard.
    parts : list of (str, float)
        Services and their weights. A route to one service has one part. Empty for
        a search.
    shards : tuple of str
        Services that are searched together; empty for other routes.
    top : int
        Records in the answer of a search.
    least_coverage : float
        Fraction of the shards that an answer must contain.
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
        "parts",
        "shards",
        "top",
        "least_coverage",
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
        parts=(),
        shards=(),
        top=0,
        least_coverage=0.0,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.is_idempotent = is_idempotent
        self.timeout_s = timeout_s
        self.goal_s = goal_s
        self.priority = priority
        self.max_attempts = max_attempts
        self.parts = list(parts)
        self.shards = tuple(shards)
        self.top = top
        self.least_coverage = least_coverage

    @property
    def is_search(self):
        """Whether the request goes to one target of each shard."""
        return bool(self.shards)

    @property
    def is_wide(self):
        """Whether it is a search that is shared among VMs."""
        return len(self.shards) >= MIN_WIDE_SEARCH_SHARDS


class ServicePolicy:
    """What the configuration says about the targets of one service.

    Parameters
    ----------
    name : str
    health_path : str
    max_connections : int
        Connections that one target accepts from all VMs together.
    cold_s : float
        Seconds for which a target stays cold after its start.
    cold_rate : float
        Requests a second that a cold target bears from all VMs together; 0 if the
        configuration sets no rate.
    """

    __slots__ = ("name", "health_path", "max_connections", "cold_s", "cold_rate")

    def __init__(self, name, health_path, max_connections, cold_s=0.0, cold_rate=0.0):
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.cold_s = cold_s
        self.cold_rate = cold_rate


class CallerLimits:
    """Bounds on what callers may send.

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
    """One version of the configuration.

    Parameters
    ----------
    version : int
    routes : list of Route
    services : dict of str to ServicePolicy
    limits : CallerLimits or None

    Attributes
    ----------
    wide_shards : tuple of str
        Services of all searches that are shared among VMs.
    """

    __slots__ = (
        "version",
        "routes",
        "services",
        "limits",
        "wide_shards",
        "_wide",
        "_by_host",
    )

    def __init__(self, version, routes, services, limits=None):
        self.version = version
        self.routes = list(routes)
        self.services = services
        self.limits = limits
        wide = [route.shards for route in self.routes if route.is_wide]
        self.wide_shards = tuple(dict.fromkeys(itertools.chain.from_iterable(wide)))
        self._wide = frozenset(self.wide_shards)
        self._by_host = {}
        for route in self.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def is_wide_shard(self, service):
        """Whether a service is a shard of a search that is shared among VMs."""
        return service in self._wide

    def find(self, host, path):
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Value of the ``Host`` header; a port and the case are ignored.
        path : str
            As received, without the query.
        """
        prefixes = self._by_host.get(normalize_host(host))
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
    """Deals requests to the parts of a route in proportion to their weights.

    The order is smooth: after any number of requests each part is within one
    request of its share.

    Parameters
    ----------
    parts : list of (str, float)
    offset : float
        Fraction of a round, from 0 to 1, at which this VM starts. VMs that start
        alike would send their first requests to the same part.
    """

    __slots__ = ("_parts", "_credits")

    def __init__(self, parts, offset=0.0):
        self._parts = [(name, weight) for name, weight in parts if weight > 0]
        total = sum(weight for _, weight in self._parts)
        self._credits = [0.0] * len(self._parts)
        if self._parts:
            chosen = int(offset * len(self._parts)) % len(self._parts)
            self._credits[chosen] = total * offset

    def choose(self):
        """Return the name of the next part, or None if none has a weight."""
        if not self._parts:
            return None
        total = 0.0
        for index, (_, weight) in enumerate(self._parts):
            self._credits[index] += weight
            total += weight
        best = max(range(len(self._parts)), key=self._credits.__getitem__)
        self._credits[best] -= total
        return self._parts[best][0]
