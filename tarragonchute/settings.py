"""The settings: typed classes of the operators' tree and of one VM.

The tree has the subtrees ``fleet``, ``team/<name>`` and ``dataset/<name>``. Each is
an INI text in the store; each VM has one INI file of its own with its addresses.
"""


class VmSettings:
    """One VM's own file.

    Parameters
    ----------
    vm_id, domain, cell : str
    caller_address, peer_address, admin_address : str
        ``host:port`` on which the VM listens.
    store_address, vm_list_address : str
        ``host:port`` of the platform's services.
    log_format : str
        ``json`` or ``text``.
    log_level : str
    drain_timeout_s : float
        Longest wait in seconds for requests in flight at shutdown.
    """

    __slots__ = (
        "vm_id",
        "domain",
        "cell",
        "caller_address",
        "peer_address",
        "admin_address",
        "store_address",
        "vm_list_address",
        "log_format",
        "log_level",
        "drain_timeout_s",
    )

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values[name])


class OperatorSettings:
    """Who may change which subtrees.

    Parameters
    ----------
    name : str
    token_sha256 : str
        Hexadecimal digest of the operator's token.
    subtrees : list of str
        Names, or patterns such as ``dataset/*``.
    """

    __slots__ = ("name", "token_sha256", "subtrees")

    def __init__(self, name, token_sha256, subtrees):
        self.name = name
        self.token_sha256 = token_sha256
        self.subtrees = subtrees


class FleetSettings:
    """Subtree ``fleet``.

    Parameters
    ----------
    domains : dict of str to bool
        Failure domain to whether it is in service.
    operators : dict of str to OperatorSettings
    max_in_flight : int
        Requests of callers that one VM works on at the same time.
    """

    __slots__ = ("domains", "operators", "max_in_flight")

    def __init__(self, domains, operators, max_in_flight):
        self.domains = domains
        self.operators = operators
        self.max_in_flight = max_in_flight


class TeamSettings:
    """Subtree ``team/<name>``.

    Parameters
    ----------
    name : str
    weight : int
        Share of each VM relative to other teams.
    least_coverage : float
        Fraction from 0 to 1 that a search must reach unless it says otherwise.
    default_deadline_ms, max_deadline_ms : int
    datasets : list of str
        Datasets that the team may use.
    """

    __slots__ = (
        "name",
        "weight",
        "least_coverage",
        "default_deadline_ms",
        "max_deadline_ms",
        "datasets",
    )

    def __init__(
        self,
        name,
        weight,
        least_coverage,
        default_deadline_ms,
        max_deadline_ms,
        datasets,
    ):
        self.name = name
        self.weight = weight
        self.least_coverage = least_coverage
        self.default_deadline_ms = default_deadline_ms
        self.max_deadline_ms = max_deadline_ms
        self.datasets = datasets


class TargetSettings:
    """One target of a dataset.

    Parameters
    ----------
    target_id : str
    address : str
        ``host:port``.
    domain : str
        Failure domain.
    slots : int
        Requests that it runs at the same time.
    max_connections : int
        Connections that it accepts from the whole fleet.
    """

    __slots__ = ("target_id", "address", "domain", "slots", "max_connections")

    def __init__(self, target_id, address, domain, slots, max_connections):
        self.target_id = target_id
        self.address = address
        self.domain = domain
        self.slots = slots
        self.max_connections = max_connections


class DatasetSettings:
    """Subtree ``dataset/<name>``.

    Parameters
    ----------
    name : str
    targets : dict of str to TargetSettings
    layouts : dict of str to dict
        Version to its layout: shard to the list of ids of its targets. Versions
        are in ascending order of publication.
    """

    __slots__ = ("name", "targets", "layouts")

    def __init__(self, name, targets, layouts):
        self.name = name
        self.targets = targets
        self.layouts = layouts


class Tree:
    """All subtrees that are in force.

    Attributes
    ----------
    fleet : FleetSettings
    teams : dict of str to TeamSettings
    datasets : dict of str to DatasetSettings
    """

    __slots__ = ("fleet", "teams", "datasets")

    def __init__(self, fleet=None, teams=None, datasets=None):
        self.fleet = fleet or FleetSettings({}, {}, 256)
        self.teams = teams or {}
        self.datasets = datasets or {}

    def list_targets(self):
        """Return a dict of target id to `TargetSettings` over all datasets."""
        targets = {}
        for dataset in self.datasets.values():
            targets.update(dataset.targets)
        return targets

    def is_domain_in(self, domain):
        """Whether a failure domain may receive new work."""
        return self.fleet.domains.get(domain, True)
