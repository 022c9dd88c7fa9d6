"""Typed settings of the fleet and of one VM, and their parser.

The settings tree consists of the subtrees ``fleet``, ``team/<name>`` and
``dataset/<name>``, each stored as INI text in the store. In addition, each VM has its
own INI file, with its addresses.
"""

import fnmatch
import ipaddress
import math
import pathlib
import re

from .errors import Finding, FindingsError
from .schema import KIND_HELP, SUBTREE_SCHEMAS, VM_SCHEMA, Kind

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_DIGEST_PATTERN = re.compile(r"[0-9a-fA-F]{64}")
_HEADER_PATTERN = re.compile(r"\[([^\[\]]*)\]")


class VmSettings:
    """Settings of one VM, from its own file.

    Parameters
    ----------
    vm_id, domain, cell : str
    caller_address, peer_address, admin_address : str
        ``host:port`` on which the VM listens.
    store_address, vm_list_address : str
        ``host:port`` of the platform's store and VM list service.
    log_format : str
        ``json`` or ``text``.
    log_level : str
    drain_timeout_s : float
        Maximum wait in seconds for requests in flight at shutdown.
    bootstrap_token_sha256 : str
        Hexadecimal digest of a token with full access to the admin port while
        subtree ``fleet`` has no operators; empty for none.
    peers : dict of str to str
        VM id to address of other VMs, used if the store is down at startup.
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
        "bootstrap_token_sha256",
        "peers",
    )

    def __init__(self, bootstrap_token_sha256="", peers=None, **values):
        values["bootstrap_token_sha256"] = bootstrap_token_sha256
        values["peers"] = peers or {}
        for name in self.__slots__:
            setattr(self, name, values[name])


class OperatorSettings:
    """One operator: token and subtrees that it may change.

    Parameters
    ----------
    name : str
    token_sha256 : str
        Hexadecimal digest of the operator's token.
    subtrees : list of str
        Names of subtrees, or patterns such as ``dataset/*``.
    """

    __slots__ = ("name", "token_sha256", "subtrees")

    def __init__(self, name, token_sha256, subtrees):
        self.name = name
        self.token_sha256 = token_sha256
        self.subtrees = subtrees

    def may_change(self, subtree):
        """Whether one of the operator's patterns matches the subtree."""
        return any(fnmatch.fnmatchcase(subtree, one) for one in self.subtrees)


class FleetSettings:
    """Subtree ``fleet``.

    Parameters
    ----------
    domains : dict of str to bool
        Failure domain to whether it is in service.
    operators : dict of str to OperatorSettings
    max_in_flight : int
        Maximum number of concurrent callers' requests on one VM.
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
        Share of each VM's capacity, relative to other teams.
    least_coverage : float
        Minimum fraction of shards, from 0 to 1, that must answer a search, unless
        the request sets its own.
    default_deadline_ms, max_deadline_ms : int
    datasets : list of str
        Names of the datasets that the team may use.
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
        Maximum number of concurrent requests on the target.
    max_connections : int
        Maximum number of connections to the target from the whole fleet.
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
        Version to layout, in order of publication, the newest last. A layout maps
        each shard to the list of its target ids.
    """

    __slots__ = ("name", "targets", "layouts")

    def __init__(self, name, targets, layouts):
        self.name = name
        self.targets = targets
        self.layouts = layouts


class SettingsTree:
    """All settings subtrees in force.

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
        """Return a dict of target id to `TargetSettings` of all datasets."""
        targets = {}
        for dataset in self.datasets.values():
            targets.update(dataset.targets)
        return targets

    def is_domain_in_service(self, domain):
        """Whether a failure domain is in service; True if it is not configured."""
        return self.fleet.domains.get(domain, True)


class ParsedTree:
    """The settings files of a directory, parsed and validated.

    Parameters
    ----------
    tree : SettingsTree
    texts : dict of str to str
        Subtree to its INI text: ``fleet`` first, then datasets, then teams, so that
        each subtree refers only to those before it.
    """

    __slots__ = ("tree", "texts")

    def __init__(self, tree, texts):
        self.tree = tree
        self.texts = texts


def parse_vm_settings(text, file_name):
    """Parse the settings file of one VM.

    Parameters
    ----------
    text : str
    file_name : str
        Shown in findings.

    Returns
    -------
    VmSettings

    Raises
    ------
    FindingsError
        With all errors in the file.
    """
    document = _parse_document(text, file_name, VM_SCHEMA)
    document.raise_findings()
    values = dict(document.values["vm"])
    values["store_address"] = document.values["store"]["address"]
    values["vm_list_address"] = document.values["vm_list"]["address"]
    log = document.values.get("log") or _get_defaults(VM_SCHEMA.sections["log"])
    values["log_format"] = log["format"]
    values["log_level"] = log["level"]
    values["peers"] = document.values.get("peers")
    return VmSettings(**values)


def parse_subtree(subtree, text, file_name):
    """Parse one subtree of the settings tree.

    Parameters
    ----------
    subtree : str
        ``fleet``, ``team/<name>`` or ``dataset/<name>``.
    text : str
    file_name : str
        Shown in findings.

    Returns
    -------
    FleetSettings, TeamSettings or DatasetSettings

    Raises
    ------
    FindingsError
        With all errors in the text, or if the subtree's name is invalid.
    """
    return _parse_subtree_document(subtree, text, file_name).settings


def parse_subtree_name(subtree):
    """Split a subtree's name into kind and name, e.g. ``team`` and ``hollowmere``.

    The name of ``fleet`` is empty.

    Raises
    ------
    FindingsError
        If the subtree is neither ``fleet`` nor ``team/<name>`` or
        ``dataset/<name>``.
    """
    kind, _, name = subtree.partition("/")
    is_fleet = subtree == "fleet"
    is_named = kind in ("team", "dataset") and _NAME_PATTERN.fullmatch(name)
    if is_fleet or is_named:
        return kind, name
    message = "expected fleet, team/NAME or dataset/NAME"
    raise FindingsError([Finding(subtree, message)])


def check_tree(tree, locations=None):
    """Check references between subtrees and return the findings.

    Parameters
    ----------
    tree : SettingsTree
    locations : dict or None
        ``(subtree, section, option)`` to ``FILE:LINE``. If None, findings name the
        subtree instead of file and line.

    Returns
    -------
    list of Finding
    """
    checker = _TreeChecker(locations or {})
    for team in tree.teams.values():
        checker.check_team(team, tree.datasets)
    for dataset in tree.datasets.values():
        checker.check_dataset(dataset, tree.fleet.domains)
    return checker.findings


def load_tree_files(directory):
    """Read and validate a directory of settings files.

    Skips ``vm.ini`` and ``vm.NAME.ini``, which are not part of the tree. Any other
    unexpected ``.ini`` file is a finding, because a subtree whose file name is
    misspelt would otherwise be ignored silently.

    Parameters
    ----------
    directory : str or pathlib.Path

    Returns
    -------
    ParsedTree

    Raises
    ------
    FindingsError
        With the errors in all files.
    OSError
        If the directory or a file cannot be read.
    """
    tree, texts, locations, findings = SettingsTree(), {}, {}, []
    for path in sorted(pathlib.Path(directory).glob("*.ini"), key=_sort_key):
        if is_vm_file(path.name):
            continue
        try:
            subtree = find_subtree_of_file(path.name)
            text = path.read_text(encoding="utf-8")
            document = _parse_subtree_document(subtree, text, str(path))
        except UnicodeDecodeError:
            findings.append(Finding(f"{path}:1", "is not UTF-8 text"))
        except FindingsError as error:
            findings.extend(error.findings)
        else:
            texts[subtree] = text
            replace_subtree(tree, subtree, document.settings)
            locations.update(document.get_locations(subtree))
    # If a file is invalid, its subtree is missing and every reference to it would be
    # reported as well.
    findings = findings or check_tree(tree, locations)
    if findings:
        raise FindingsError(findings)
    return ParsedTree(tree, texts)


def is_vm_file(name):
    """Whether a file of this name contains the settings of one VM."""
    return name == "vm.ini" or (name.startswith("vm.") and name.endswith(".ini"))


def find_subtree_of_file(name):
    """Return the subtree that a file of this name contains.

    Raises
    ------
    FindingsError
        If the name is neither ``fleet.ini`` nor ``team.NAME.ini`` or
        ``dataset.NAME.ini``.
    """
    subtree = name.removesuffix(".ini").replace(".", "/", 1)
    try:
        parse_subtree_name(subtree)
    except FindingsError as error:
        message = "expected fleet.ini, team.NAME.ini, dataset.NAME.ini or vm.NAME.ini"
        raise FindingsError([Finding(f"{name}:1", message)]) from error
    return subtree


def replace_subtree(tree, subtree, settings):
    """Replace one subtree of a `SettingsTree`; None removes it.

    Parameters
    ----------
    tree : SettingsTree
    subtree : str
    settings : FleetSettings, TeamSettings, DatasetSettings or None
    """
    kind, name = parse_subtree_name(subtree)
    if kind == "fleet":
        tree.fleet = settings or SettingsTree().fleet
        return
    subtrees = tree.teams if kind == "team" else tree.datasets
    subtrees.pop(name, None)
    if settings is not None:
        subtrees[name] = settings


def _sort_key(path):
    kind = path.name.partition(".")[0]
    order = ("fleet", "dataset", "team")
    return (order.index(kind) if kind in order else len(order), path.name)


class _TreeChecker:
    """Checks references between subtrees and collects the findings."""

    def __init__(self, locations):
        self.findings = []
        self._locations = locations
        self._first_subtrees = {}

    def check_team(self, team, datasets):
        for name in team.datasets:
            if name not in datasets:
                self._add(
                    f"team/{team.name}",
                    "team",
                    "datasets",
                    f"dataset {name!r} does not exist",
                )

    def check_dataset(self, dataset, domains):
        subtree = f"dataset/{dataset.name}"
        for target in dataset.targets.values():
            section = f"target {target.target_id}"
            if target.domain not in domains:
                message = f"subtree fleet has no [domain {target.domain}]"
                self._add(subtree, section, "domain", message)
            first = self._first_subtrees.setdefault(target.target_id, subtree)
            if first != subtree:
                self._add(subtree, section, "", f"target id is also in {first}")

    def _add(self, subtree, section, option, message):
        location = self._locations.get((subtree, section, option), subtree)
        option_path = f"{section}.{option}" if option else section
        self.findings.append(Finding(f"{location}: {option_path}", message))


class _Document:
    """One parsed INI text with the line number of each section and option.

    `configparser` is not used, because it keeps no line numbers and stops at the first
    duplicate, so it cannot report all findings with their lines.
    """

    def __init__(self, file_name):
        self.file_name = file_name
        self.sections = {}
        self.values = {}
        self.lines = {}
        self.findings = []
        self.settings = None

    def add_finding(self, section, option, message, line=None):
        line = line or self.lines.get((section, option))
        line = line or self.lines.get((section, "")) or 1
        location = f"{self.file_name}:{line}"
        option_path = f"{section}.{option}" if option else section
        if option_path:
            location = f"{location}: {option_path}"
        self.findings.append((line, Finding(location, message)))

    def raise_findings(self):
        if self.findings:
            ordered = sorted(self.findings, key=lambda entry: entry[0])
            raise FindingsError([finding for _, finding in ordered])

    def get_locations(self, subtree):
        return {
            (subtree, section, option): f"{self.file_name}:{line}"
            for (section, option), line in self.lines.items()
        }

    def list_sections(self, kind):
        """Return a list of ``(name, section, values)`` for the sections of one kind."""
        prefix = f"{kind} "
        return [
            (section.removeprefix(prefix), section, values)
            for section, values in self.values.items()
            if section.startswith(prefix)
        ]


def _parse_document(text, file_name, schema):
    document = _Document(file_name)
    _parse_lines(document, text)
    for section in document.sections:
        _check_section(document, section, schema)
    _check_missing_sections(document, schema)
    return document


def _parse_lines(document, text):
    section, option = None, None
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        if not line or line[0] in "#;":
            continue
        if line[0] == "[":
            section, option = _parse_header(document, line, number), None
        elif raw[0].isspace() and option is not None:
            document.sections[section][option] += f" {line}"
        elif section is None:
            document.add_finding("", "", "option outside of a section", number)
        else:
            option = _parse_option(document, section, line, number)


def _parse_header(document, line, number):
    match = _HEADER_PATTERN.fullmatch(line)
    if match is None:
        document.add_finding("", "", "expected a section header such as [name]", number)
        return None
    section = " ".join(match[1].split())
    if section in document.sections:
        first = document.lines[section, ""]
        message = f"duplicate section, first defined in line {first}"
        document.add_finding(section, "", message, number)
        # Options of the duplicate are added to the first section, to check them too.
        return section
    document.sections[section] = {}
    document.lines[section, ""] = number
    return section


def _parse_option(document, section, line, number):
    name, separator, value = line.partition("=")
    name = name.strip()
    if not separator or not name:
        document.add_finding(section, "", "expected option = value", number)
        return None
    if name in document.sections[section]:
        first = document.lines[section, name]
        message = f"duplicate option, first defined in line {first}"
        document.add_finding(section, name, message, number)
        return None
    document.sections[section][name] = value.strip()
    document.lines[section, name] = number
    return name


def _check_section(document, section, schema):
    kind, _, name = section.partition(" ")
    section_schema = schema.sections.get(kind)
    if section_schema is None or bool(name) != bool(section_schema.label):
        known = ", ".join(one.header for one in schema.sections.values())
        document.add_finding(section, "", f"unknown section; expected {known}")
        return
    if name and not _NAME_PATTERN.fullmatch(name):
        message = f"the name must be {KIND_HELP[Kind.NAME]}"
        document.add_finding(section, "", message)
    document.values[section] = _parse_values(document, section, section_schema)


def _parse_values(document, section, schema):
    values = _get_defaults(schema)
    for name, text in document.sections[section].items():
        option = schema.options.get(name) or schema.wildcard_option
        if option is None:
            known = ", ".join(schema.options)
            document.add_finding(section, name, f"unknown option; expected {known}")
            continue
        if option is schema.wildcard_option and not _NAME_PATTERN.fullmatch(name):
            message = f"the name must be {KIND_HELP[Kind.NAME]}"
            document.add_finding(section, name, message)
        try:
            values[name] = _parse_value(option, text)
        except ValueError as error:
            document.add_finding(section, name, str(error))
    for name, option in schema.options.items():
        if option.is_required and name not in document.sections[section]:
            document.add_finding(section, name, "option is missing")
    return values


def _check_missing_sections(document, schema):
    kinds = {section.partition(" ")[0] for section in document.sections}
    for section in schema.sections.values():
        if section.is_required and section.name not in kinds:
            document.add_finding(section.name, "", "section is missing")


def _get_defaults(schema):
    return {
        name: option.default
        for name, option in schema.options.items()
        if not option.is_required
    }


def _parse_value(option, text):
    """Return the typed value, or raise a `ValueError` that says what is expected."""
    value = _PARSERS[option.kind](option, text)
    too_small = option.minimum is not None and value < option.minimum
    too_large = option.maximum is not None and value > option.maximum
    if too_small or too_large:
        unit = f" {option.unit}" if option.unit else ""
        raise ValueError(
            f"{text} is out of range; expected {option.minimum:g} to "
            f"{option.maximum:g}{unit}"
        )
    return value


def _parse_name(option, text):
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError(f"{text!r} is not valid; expected {KIND_HELP[Kind.NAME]}")
    return text


def _parse_names(option, text):
    names = [_parse_name(option, word) for word in text.split()]
    return _check_names(names)


def _check_names(names):
    if not names:
        raise ValueError("expected at least one name")
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
        raise ValueError(f"duplicate names: {' '.join(duplicates)}")
    return names


def _parse_patterns(option, text):
    patterns = text.split()
    for pattern in patterns:
        kind = pattern.partition("/")[0]
        if pattern not in ("*", "fleet") and kind not in ("team", "dataset"):
            raise ValueError(
                f"{pattern!r} matches no subtree; expected *, fleet, team/NAME or "
                "dataset/NAME"
            )
    return _check_names(patterns)


def _parse_integer(option, text):
    if not re.fullmatch(r"[+-]?[0-9]{1,18}", text):
        raise ValueError(f"{text!r} is not a whole number")
    return int(text)


def _parse_number(option, text):
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ValueError(f"{text!r} is not a decimal number")
    return value


def _parse_choice(option, text):
    if text not in option.choices:
        raise ValueError(f"{text!r} is not one of {', '.join(option.choices)}")
    return text


def _parse_address(option, text):
    host, _, port = text.rpartition(":")
    try:
        ip = ipaddress.ip_address(_strip_brackets(host))
        is_valid = port.isascii() and port.isdigit() and 0 < int(port) < 65536
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError(f"{text!r} is not valid; expected {KIND_HELP[option.kind]}")
    if option.kind is Kind.ADDRESS and ip.is_unspecified:
        raise ValueError(f"{text!r} cannot be reached from other machines")
    return text


def _strip_brackets(host):
    if host.startswith("[") and host.endswith("]"):
        return host[1:-1]
    if ":" in host:
        raise ValueError(host)
    return host


def _parse_digest(option, text):
    if not _DIGEST_PATTERN.fullmatch(text):
        # The message omits the value, which may be a token entered by mistake.
        raise ValueError(f"expected {KIND_HELP[Kind.DIGEST]}")
    return text.lower()


_PARSERS = {
    Kind.NAME: _parse_name,
    Kind.NAMES: _parse_names,
    Kind.PATTERNS: _parse_patterns,
    Kind.INTEGER: _parse_integer,
    Kind.NUMBER: _parse_number,
    Kind.CHOICE: _parse_choice,
    Kind.ADDRESS: _parse_address,
    Kind.LISTEN: _parse_address,
    Kind.DIGEST: _parse_digest,
}


def _parse_subtree_document(subtree, text, file_name):
    """Return the `_Document` with its `settings`; raise `FindingsError` if invalid."""
    kind, name = parse_subtree_name(subtree)
    document = _parse_document(text, file_name, SUBTREE_SCHEMAS[kind])
    _CHECKS[kind](document)
    document.raise_findings()
    document.settings = _BUILDERS[kind](document, name)
    return document


def _check_fleet(document):
    digests, patterns = {}, []
    for name, section, values in document.list_sections("operator"):
        patterns += values.get("subtrees", [])
        digest = values.get("token_sha256")
        first_operator = digests.setdefault(digest, name)
        if digest and first_operator != name:
            message = f"operator {first_operator} has the same token"
            document.add_finding(section, "token_sha256", message)
    # The operators are part of subtree fleet: if no operator may change it, no token
    # can correct the list of operators.
    if patterns and not any(fnmatch.fnmatchcase("fleet", one) for one in patterns):
        message = "at least one operator must be allowed to change subtree fleet"
        section = document.list_sections("operator")[0][1]
        document.add_finding(section, "subtrees", message)


def _check_team(document):
    values = document.values.get("team", {})
    default, maximum = values.get("default_deadline_ms"), values.get("max_deadline_ms")
    if default is not None and maximum is not None and default > maximum:
        message = f"{default} ms exceeds max_deadline_ms, {maximum} ms"
        document.add_finding("team", "default_deadline_ms", message)


def _check_dataset(document):
    targets = {name for name, _, _ in document.list_sections("target")}
    addresses = {}
    for name, section, values in document.list_sections("target"):
        address = values.get("address")
        first_target = addresses.setdefault(address, name)
        if address and first_target != name:
            # Two holders would each send up to the configured limit to the same server
            # and exceed it together.
            document.add_finding(
                section, "address", f"target {first_target} has the same address"
            )
    for _, section, shards in document.list_sections("layout"):
        if not document.sections[section]:
            document.add_finding(section, "", "expected at least one shard")
        for shard, names in shards.items():
            for unknown in [name for name in names if name not in targets]:
                message = f"there is no [target {unknown}]"
                document.add_finding(section, shard, message)


def _build_fleet(document, name):
    domains = {
        domain: values["state"] == "in"
        for domain, _, values in document.list_sections("domain")
    }
    operators = {
        operator: OperatorSettings(operator, **values)
        for operator, _, values in document.list_sections("operator")
    }
    limits = document.values.get("limits") or _get_defaults(
        SUBTREE_SCHEMAS["fleet"].sections["limits"]
    )
    return FleetSettings(domains, operators, limits["max_in_flight"])


def _build_team(document, name):
    return TeamSettings(name, **document.values["team"])


def _build_dataset(document, name):
    targets = {
        target_id: TargetSettings(target_id, **values)
        for target_id, _, values in document.list_sections("target")
    }
    layouts = {
        version: shards for version, _, shards in document.list_sections("layout")
    }
    return DatasetSettings(name, targets, layouts)


_CHECKS = {"fleet": _check_fleet, "team": _check_team, "dataset": _check_dataset}
_BUILDERS = {"fleet": _build_fleet, "team": _build_team, "dataset": _build_dataset}
