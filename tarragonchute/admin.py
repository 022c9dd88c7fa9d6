"""HTTP routes of the admin port and the interface of their backend.

All responses are JSON. They contain a placeholder instead of the digest of each
operator's token; an edit that contains the placeholder keeps the digest in force.
"""

import hashlib
import hmac
import logging
import re
import secrets
from typing import Protocol

import orjson

from .configuration import ProposalState
from .errors import (
    BadRequestError,
    FindingsError,
    NotAuthorizedError,
    NotRunError,
    SettingsConflictError,
    SettingsTooLargeError,
    TarragonchuteError,
)
from .settings import (
    FleetSettings,
    SettingsTree,
    check_tree,
    parse_subtree,
    parse_subtree_name,
    replace_subtree,
)

logger = logging.getLogger(__name__)

BOOTSTRAP_OPERATOR = "bootstrap"
"""Operator name in the audit records of changes made with a VM's bootstrap token."""

HIDDEN_DIGEST = "hidden"
"""Placeholder for a token's digest; in an edit it means to keep the digest."""

MAX_CONTENT_BYTES = 900_000
"""Maximum size of a subtree's text; audit records share the store's limit of 1 MB."""

REQUEST_ID_BYTES = 16

_DIGEST_LINE = re.compile(r"^(\s*token_sha256\s*=\s*)(\S+)\s*$")
_OPERATOR_HEADER = re.compile(r"^\s*\[\s*operator\s+(\S+)\s*\]\s*$")
_REQUEST_ID_PATTERN = re.compile(r"[0-9A-Za-z_-]{1,64}")


_PROPOSAL_STATUS = {
    ProposalState.ACCEPTED: 200,
    ProposalState.PENDING: 202,
    ProposalState.UNKNOWN: 504,
    ProposalState.CONFLICT: 409,
}


class _JsonBody:
    """Base class of JSON bodies, which have one field for each slot."""

    __slots__ = ()

    def to_body(self):
        """Return the JSON body."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    def from_body(cls, body):
        """Create the object from its JSON body; unknown fields are ignored."""
        return cls(**{name: body[name] for name in cls.__slots__ if name in body})


class SettingsEntry(_JsonBody):
    """Version of a settings subtree that is in force.

    Parameters
    ----------
    subtree : str
    version : int
    content : str
        The settings text.
    operator : str
        Author of this version.
    changed_at : float
        Unix time in seconds.
    content_sha256 : str
        Digest of the stored text, before digests are hidden. Set by the routes.
    """

    __slots__ = (
        "subtree",
        "version",
        "content",
        "operator",
        "changed_at",
        "content_sha256",
    )

    def __init__(
        self, subtree, version, content, operator, changed_at, content_sha256=""
    ):
        self.subtree = subtree
        self.version = version
        self.content = content
        self.operator = operator
        self.changed_at = changed_at
        self.content_sha256 = content_sha256


class VmVersions(_JsonBody):
    """Versions of the settings that one VM has in force.

    Parameters
    ----------
    vm_id : str
    versions : dict of str to int
        Version, by subtree.
    ages_s : dict of str to float
        Seconds since the VM received that version, by subtree.
    error : str
        Why the VM did not respond; empty if it did.
    """

    __slots__ = ("vm_id", "versions", "ages_s", "error")

    def __init__(self, vm_id, versions=None, ages_s=None, error=""):
        self.vm_id = vm_id
        self.versions = versions or {}
        self.ages_s = ages_s or {}
        self.error = error


class SettingsReport:
    """The settings of the responding VM and the versions on every VM.

    Parameters
    ----------
    entries : list of SettingsEntry
    vms : list of VmVersions
    """

    __slots__ = ("entries", "vms")

    def __init__(self, entries, vms):
        self.entries = entries
        self.vms = vms

    def to_body(self):
        """Return the JSON body."""
        return {
            "entries": [entry.to_body() for entry in self.entries],
            "vms": [vm.to_body() for vm in self.vms],
        }

    @classmethod
    def from_body(cls, body):
        """Create the report from its JSON body."""
        entries = [SettingsEntry.from_body(entry) for entry in body["entries"]]
        return cls(entries, [VmVersions.from_body(vm) for vm in body["vms"]])

    def find_entry(self, subtree):
        """Return the `SettingsEntry` of a subtree, or None."""
        matches = [entry for entry in self.entries if entry.subtree == subtree]
        return matches[0] if matches else None


class ProposalResult:
    """Result of a proposed change.

    Parameters
    ----------
    state : ProposalState
    subtree : str
    version : int
        Version of the change, or of the current entry after a conflict; 0 if
        the outcome is unknown.
    acknowledged, members : int
        Members of the view that have acknowledged the version, and all members.
    current : SettingsEntry or None
        After a conflict: the version in force, with its author.
    yours : SettingsEntry or None
        After a conflict: the refused edit with its base version. Set by the routes.
    """

    __slots__ = (
        "state",
        "subtree",
        "version",
        "acknowledged",
        "members",
        "current",
        "yours",
    )

    def __init__(
        self,
        state,
        subtree,
        version,
        acknowledged=0,
        members=0,
        current=None,
        yours=None,
    ):
        self.state = ProposalState(state)
        self.subtree = subtree
        self.version = version
        self.acknowledged = acknowledged
        self.members = members
        self.current = current
        self.yours = yours

    def to_body(self):
        """Return the JSON body."""
        body = {name: getattr(self, name) for name in self.__slots__}
        body["current"] = self.current and self.current.to_body()
        body["yours"] = self.yours and self.yours.to_body()
        return body

    @classmethod
    def from_body(cls, body):
        """Create the result from its JSON body."""
        fields = {name: body[name] for name in cls.__slots__}
        for name in ("current", "yours"):
            if fields[name]:
                fields[name] = SettingsEntry.from_body(fields[name])
        return cls(**fields)


class MemberStatus(_JsonBody):
    """State of one member of the view.

    Parameters
    ----------
    vm_id, address, domain : str
    state : str
        ``active`` or ``leaving``.
    heard_ago_s : float or None
        Seconds since the last heartbeat of the member; None for the responding VM
        itself, or if there was none.
    held_targets : int
        Number of targets that the view assigns to the member.
    """

    __slots__ = ("vm_id", "address", "domain", "state", "heard_ago_s", "held_targets")

    def __init__(self, vm_id, address, domain, state, heard_ago_s=None, held_targets=0):
        self.vm_id = vm_id
        self.address = address
        self.domain = domain
        self.state = state
        self.heard_ago_s = heard_ago_s
        self.held_targets = held_targets


class TargetStatus(_JsonBody):
    """State of one target as its holder reported it.

    Parameters
    ----------
    target_id, domain : str
    holder : str
        Only member that may send to the target; empty if there is none.
    state : str
        ``cold``, ``warm``, ``draining``, ``dead``, or ``unknown`` if the holder
        did not report it.
    limit, in_flight : int
        Concurrency limit and requests in progress.
    """

    __slots__ = ("target_id", "domain", "holder", "state", "limit", "in_flight")

    def __init__(
        self, target_id, domain, holder="", state="unknown", limit=0, in_flight=0
    ):
        self.target_id = target_id
        self.domain = domain
        self.holder = holder
        self.state = state
        self.limit = limit
        self.in_flight = in_flight


class StatusReport(_JsonBody):
    """State of the fleet as the responding VM knows it.

    Parameters
    ----------
    vm_id : str
        The responding VM.
    epoch : int
        Epoch of its view.
    is_activated : bool
        Whether that epoch is activated.
    lease_remaining_s : float
        Seconds; zero or less without a lease.
    store : str
        ``ok``, or the code of the last error.
    members : list of MemberStatus
    targets : list of TargetStatus
    domains : dict of str to str
        ``in`` or ``out``, by failure domain.
    """

    __slots__ = (
        "vm_id",
        "epoch",
        "is_activated",
        "lease_remaining_s",
        "store",
        "members",
        "targets",
        "domains",
    )

    def __init__(
        self,
        vm_id,
        epoch,
        is_activated,
        lease_remaining_s,
        store,
        members,
        targets,
        domains,
    ):
        self.vm_id = vm_id
        self.epoch = epoch
        self.is_activated = is_activated
        self.lease_remaining_s = lease_remaining_s
        self.store = store
        self.members = members
        self.targets = targets
        self.domains = domains

    def to_body(self):
        """Return the JSON body."""
        body = super().to_body()
        body["members"] = [member.to_body() for member in self.members]
        body["targets"] = [target.to_body() for target in self.targets]
        return body

    @classmethod
    def from_body(cls, body):
        """Create the report from its JSON body."""
        members = [MemberStatus.from_body(member) for member in body["members"]]
        targets = [TargetStatus.from_body(target) for target in body["targets"]]
        return super().from_body({**body, "members": members, "targets": targets})


class AuditRow(_JsonBody):
    """Audit record of one accepted change of a subtree.

    Parameters
    ----------
    at : float
        Unix time in seconds.
    operator, subtree : str
    version, base_version : int
    change_id : str
        Random id of the proposed change.
    summary : str
        The changed options, in one line.
    """

    __slots__ = (
        "at",
        "operator",
        "subtree",
        "version",
        "base_version",
        "change_id",
        "summary",
    )

    def __init__(
        self, at, operator, subtree, version, base_version, change_id, summary=""
    ):
        self.at = at
        self.operator = operator
        self.subtree = subtree
        self.version = version
        self.base_version = base_version
        self.change_id = change_id
        self.summary = summary


class VmTrace(_JsonBody):
    """Trace of a request that one VM has recorded.

    Parameters
    ----------
    vm_id : str
    trace : dict or None
        Result of `logs.Trace.to_body`; None if the VM has no trace of the request.
    error : str
        Why the VM did not respond; empty if it did.
    """

    __slots__ = ("vm_id", "trace", "error")

    def __init__(self, vm_id, trace=None, error=""):
        self.vm_id = vm_id
        self.trace = trace
        self.error = error


class AdminBackend(Protocol):
    """Interface between the admin routes and the VM.

    Every async method may raise a `TarragonchuteError`, which becomes the response.
    """

    def get_tree(self):
        """Return the `SettingsTree` in force, or None before settings are loaded.

        If the store was read and is empty, the `SettingsTree` is empty.
        """

    async def read_settings(self):
        """Return a `SettingsReport`: this VM's entries and the versions on every VM."""

    async def propose_change(self, subtree, content, base_version, operator):
        """Propose a new text for a subtree and wait for its acceptance.

        Parameters
        ----------
        subtree, content : str
            Already validated.
        base_version : int
            Version that was edited; 0 if the subtree is new.
        operator : str
            Name for the audit record.

        Returns
        -------
        ProposalResult
        """

    async def read_status(self):
        """Return a `StatusReport`."""

    async def read_audit(self, subtree):
        """Return a list of `AuditRow`, newest first.

        Parameters
        ----------
        subtree : str or None
            None for all subtrees.
        """

    async def explain_request(self, request_id):
        """Collect the traces of a request as a list of `VmTrace`, one for each VM."""

    async def remove_member(self, vm_id, operator):
        """Remove a member from the view by force and return the new epoch.

        Raises
        ------
        BadRequestError
            If the view has no such member.
        """


class Operator:
    """Authenticated operator of one admin request.

    Parameters
    ----------
    name : str
    settings : OperatorSettings or None
        None for the bootstrap token, which may change every subtree.
    """

    __slots__ = ("name", "settings")

    def __init__(self, name, settings=None):
        self.name = name
        self.settings = settings

    def check_subtree(self, subtree):
        """Raise `NotAuthorizedError` unless the operator may change the subtree."""
        if self.settings is not None and not self.settings.may_change(subtree):
            raise NotAuthorizedError(
                f"operator {self.name} may not change {subtree}; allowed: "
                f"{' '.join(self.settings.subtrees)}"
            )


class _UnknownTokenError(NotAuthorizedError):
    """The request has no token, or one that belongs to no operator."""

    status = 401


class _UnknownRouteError(BadRequestError):
    """The admin port has no such path."""

    code = "unknown_route"
    status = 404


class _WrongMethodError(BadRequestError):
    """The path exists but does not support the request's method."""

    code = "wrong_method"
    status = 405


class _SettingsUnknownError(NotRunError):
    """This VM has loaded no settings yet, so it cannot authenticate operators."""

    code = "settings_unknown"


class AdminRoutes:
    """Handles the HTTP requests of the admin port.

    Parameters
    ----------
    backend : AdminBackend
    make_response : callable
        Receives a JSON value, ``status=`` and ``headers=`` and returns a response
        object, as `httpio.HttpResponse.from_json` does.
    bootstrap_token_sha256 : str
        Digest from the VM's own settings file; empty if there is no such token.
    """

    def __init__(self, backend, make_response, bootstrap_token_sha256=""):
        self._backend = backend
        self._make_response = make_response
        self._bootstrap_token_sha256 = bootstrap_token_sha256

    async def handle(self, request):
        """Authenticate and answer one request.

        Parameters
        ----------
        request : httpio.HttpRequest
            Uses `method`, `path`, `query`, `headers` (names in lower case) and
            `body`.

        Returns
        -------
        object
            Result of `make_response`. A `TarragonchuteError` becomes an error
            response; any other exception propagates.
        """
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        try:
            operator = self._authenticate(request)
            return await self._dispatch(request, operator)
        except TarragonchuteError as error:
            logger.info(
                "admin request refused",
                extra={
                    "request_id": request_id,
                    "method": request.method,
                    "path": request.path,
                    "code": error.code,
                },
            )
            return self._respond_with_error(error, request_id)

    def _authenticate(self, request):
        tree = self._backend.get_tree()
        if tree is None:
            raise _SettingsUnknownError(
                "this VM has not loaded settings yet; try again"
            )
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            raise _UnknownTokenError("a bearer token is required")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        operator = self._find_operator_by_digest(tree, digest)
        if operator is None:
            raise _UnknownTokenError("the token belongs to no operator")
        return operator

    def _find_operator_by_digest(self, tree, digest):
        match = None
        # All digests are compared, so that the time taken does not reveal a match.
        for settings in tree.fleet.operators.values():
            if hmac.compare_digest(settings.token_sha256, digest):
                match = Operator(settings.name, settings)
        if tree.fleet.operators or not self._bootstrap_token_sha256:
            return match
        is_bootstrap = hmac.compare_digest(self._bootstrap_token_sha256, digest)
        return Operator(BOOTSTRAP_OPERATOR) if is_bootstrap else None

    async def _dispatch(self, request, operator):
        resource, _, argument = request.path.removeprefix("/v1/").partition("/")
        handlers = _ROUTES.get((resource, bool(argument)))
        if handlers is None or not request.path.startswith("/v1/"):
            raise _UnknownRouteError(f"no such path: {request.path}")
        handler = handlers.get(request.method)
        if handler is None:
            raise _WrongMethodError(
                f"{request.path} supports only {', '.join(handlers)}"
            )
        return await handler(self, request, operator, argument)

    async def _show_settings(self, request, operator, argument):
        report = await self._backend.read_settings()
        report.entries = [hide_entry(entry) for entry in report.entries]
        return self._respond(report.to_body())

    async def _show_subtree(self, request, operator, subtree):
        entry = (await self._backend.read_settings()).find_entry(subtree)
        if entry is None:
            raise _UnknownRouteError(f"there is no subtree {subtree}")
        return self._respond(hide_entry(entry).to_body())

    async def _change_subtree(self, request, operator, subtree):
        parse_subtree_name(subtree)
        operator.check_subtree(subtree)
        content, base_version = _read_edit(request)
        if subtree == "fleet" and has_hidden_digest(content):
            entry = (await self._backend.read_settings()).find_entry(subtree)
            if entry is None or entry.version != base_version:
                version = entry.version if entry else 0
                result = ProposalResult(
                    ProposalState.CONFLICT, subtree, version, current=entry
                )
                return self._respond_to_proposal(
                    result, operator, content, base_version
                )
            content = restore_digests(content, entry.content)
        self._check_edit(subtree, content)
        result = await self._backend.propose_change(
            subtree, content, base_version, operator.name
        )
        logger.info(
            "settings change proposed",
            extra={
                "subtree": subtree,
                "operator": operator.name,
                "state": str(result.state),
                "version": result.version,
            },
        )
        return self._respond_to_proposal(result, operator, content, base_version)

    def _check_edit(self, subtree, content):
        """Raise `FindingsError` for faults that the edit adds to the tree."""
        settings = parse_subtree(subtree, content, subtree)
        current_tree = self._backend.get_tree()
        edited_tree = SettingsTree(
            current_tree.fleet, dict(current_tree.teams), dict(current_tree.datasets)
        )
        replace_subtree(edited_tree, subtree, settings)
        # Faults that the tree already has must not block an unrelated edit.
        current_findings = set(_list_findings(current_tree))
        findings = [
            finding
            for finding in _list_findings(edited_tree)
            if finding not in current_findings
        ]
        if findings:
            raise FindingsError(findings)

    def _respond_to_proposal(self, result, operator, content, base_version):
        if result.current is not None:
            result.current = hide_entry(result.current)
        if result.state is ProposalState.CONFLICT:
            yours = SettingsEntry(
                result.subtree, base_version, content, operator.name, 0.0
            )
            result.yours = hide_entry(yours)
        body = result.to_body()
        if result.state is ProposalState.CONFLICT:
            body["code"] = SettingsConflictError.code
        return self._respond(body, _PROPOSAL_STATUS[result.state])

    async def _show_status(self, request, operator, argument):
        report = await self._backend.read_status()
        return self._respond(report.to_body())

    async def _show_audit(self, request, operator, argument):
        subtree = request.query.get("subtree")
        if subtree is not None:
            parse_subtree_name(subtree)
        rows = await self._backend.read_audit(subtree)
        return self._respond({"records": [row.to_body() for row in rows]})

    async def _explain_request(self, request, operator, request_id):
        if not _REQUEST_ID_PATTERN.fullmatch(request_id):
            raise BadRequestError("malformed request id")
        traces = await self._backend.explain_request(request_id)
        return self._respond({"vms": [trace.to_body() for trace in traces]})

    async def _remove_member(self, request, operator, vm_id):
        operator.check_subtree("fleet")
        if request.query.get("force") != "1":
            raise BadRequestError("removing a member needs ?force=1")
        epoch = await self._backend.remove_member(vm_id, operator.name)
        logger.warning(
            "member removed by force",
            extra={"member": vm_id, "operator": operator.name, "epoch": epoch},
        )
        return self._respond({"vm_id": vm_id, "epoch": epoch})

    def _respond(self, value, status=200, headers=None):
        return self._make_response(value, status=status, headers=headers or {})

    def _respond_with_error(self, error, request_id):
        body = error.describe(request_id)
        if isinstance(error, FindingsError):
            body["findings"] = [
                {"place": finding.place, "message": finding.message}
                for finding in error.findings
            ]
        headers = {"WWW-Authenticate": "Bearer"} if error.status == 401 else {}
        return self._respond(body, error.status, headers)


_ROUTES = {
    ("settings", False): {"GET": AdminRoutes._show_settings},
    ("settings", True): {
        "GET": AdminRoutes._show_subtree,
        "PUT": AdminRoutes._change_subtree,
    },
    ("status", False): {"GET": AdminRoutes._show_status},
    ("audit", False): {"GET": AdminRoutes._show_audit},
    ("requests", True): {"GET": AdminRoutes._explain_request},
    ("members", True): {"DELETE": AdminRoutes._remove_member},
}


def hide_digests(content):
    """Return a fleet text with every token's digest replaced by the placeholder."""
    lines = content.splitlines(keepends=True)
    return "".join(
        _replace_digest(line, HIDDEN_DIGEST) if _DIGEST_LINE.match(line) else line
        for line in lines
    )


def hide_entry(entry):
    """Return a copy of a `SettingsEntry` with digests hidden, and its checksum set."""
    digest = hashlib.sha256(entry.content.encode()).hexdigest()
    hidden = SettingsEntry.from_body(entry.to_body())
    hidden.content = hide_digests(entry.content)
    hidden.content_sha256 = digest
    return hidden


def has_hidden_digest(content):
    """Whether a text contains the placeholder for a token's digest."""
    matches = [_DIGEST_LINE.match(line) for line in content.splitlines()]
    return any(match and match[2] == HIDDEN_DIGEST for match in matches)


def restore_digests(content, current):
    """Return a text with placeholders replaced by the operators' current digests.

    The placeholder of an operator that the text `current` lacks is kept; validation
    then reports it as a finding.
    """
    digests = {name: digest for name, digest, _ in _iterate_digests(current)}
    lines = content.splitlines(keepends=True)
    for name, digest, number in _iterate_digests(content):
        if digest == HIDDEN_DIGEST and name in digests:
            lines[number] = _replace_digest(lines[number], digests[name])
    return "".join(lines)


def _iterate_digests(content):
    """Yield ``(operator, digest, line index)`` of a fleet text."""
    name = None
    for number, line in enumerate(content.splitlines()):
        header = _OPERATOR_HEADER.match(line)
        digest = _DIGEST_LINE.match(line)
        if header:
            name = header[1]
        elif line.strip().startswith("["):
            name = None
        elif digest and name is not None:
            yield name, digest[2], number


def _replace_digest(line, digest):
    return _DIGEST_LINE.match(line)[1] + digest + "\n"


def _list_findings(tree):
    if not tree.fleet.domains:
        # Datasets may be loaded before the first fleet subtree, because the
        # bootstrap token is accepted only until then. Their domains are not checked.
        domains = {target.domain: True for target in tree.list_targets().values()}
        tree = SettingsTree(FleetSettings(domains, {}, 1), tree.teams, tree.datasets)
    return check_tree(tree)


def _read_edit(request):
    """Parse a request body and return the content and the base version of the edit."""
    if len(request.body) > 2 * MAX_CONTENT_BYTES:
        raise SettingsTooLargeError("the request body is too large")
    try:
        body = orjson.loads(request.body)
    except ValueError as error:
        raise BadRequestError("the body is not valid JSON") from error
    if not isinstance(body, dict):
        raise BadRequestError("the body must be a JSON object")
    content, base_version = body.get("content"), body.get("base_version")
    if not isinstance(content, str):
        raise BadRequestError("content must be a string")
    if type(base_version) is not int or base_version < 0:
        raise BadRequestError(
            "base_version must be an integer of at least 0; 0 for a new subtree"
        )
    size = len(content.encode())
    if size > MAX_CONTENT_BYTES:
        raise SettingsTooLargeError(
            f"the text has {size} bytes; the maximum is {MAX_CONTENT_BYTES}"
        )
    return content, base_version
