"""HTTP routes of the admin port, and what they need from the rest of the VM.

All answers are JSON. Digests of operators' tokens are replaced by a placeholder in
every answer; an edit that carries the placeholder keeps the digest in force.
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
"""Name in the audit trail of whoever uses a VM's bootstrap token."""

HIDDEN_DIGEST = "hidden"
"""Stands for a token's digest in answers, and for "as before" in an edit."""

MAX_CONTENT_BYTES = 900_000
"""Largest text of a subtree; the store takes 1 MB with the audit records."""

REQUEST_ID_BYTES = 16

_DIGEST_LINE = re.compile(r"^(\s*token_sha256\s*=\s*)(\S+)\s*$")
_OPERATOR_HEADER = re.compile(r"^\s*\[\s*operator\s+(\S+)\s*\]\s*$")
_REQUEST_ID = re.compile(r"[0-9A-Za-z_-]{1,64}")


_PROPOSAL_STATUS = {
    ProposalState.ACCEPTED: 200,
    ProposalState.PENDING: 202,
    ProposalState.UNKNOWN: 504,
    ProposalState.CONFLICT: 409,
}


class _Body:
    """Base of the typed bodies: the JSON form has one field for each slot."""

    __slots__ = ()

    def to_body(self):
        """Return the JSON form."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    def from_body(cls, body):
        """Rebuild the object; fields that this version does not know are ignored."""
        return cls(**{name: body[name] for name in cls.__slots__ if name in body})


class SettingsEntry(_Body):
    """One subtree that is in force.

    Parameters
    ----------
    subtree : str
    version : int
    content : str
        The text.
    operator : str
        Who made this version.
    changed_at : float
        Unix time in seconds.
    content_sha256 : str
        Digest of the text as stored. Filled in by the routes.
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


class VmVersions(_Body):
    """Which settings one VM has in force.

    Parameters
    ----------
    vm_id : str
    versions : dict of str to int
        Version by subtree.
    ages_s : dict of str to float
        Seconds since the VM received that version, by subtree.
    error : str
        Why the VM did not answer; empty if it did.
    """

    __slots__ = ("vm_id", "versions", "ages_s", "error")

    def __init__(self, vm_id, versions=None, ages_s=None, error=""):
        self.vm_id = vm_id
        self.versions = versions or {}
        self.ages_s = ages_s or {}
        self.error = error


class SettingsReport:
    """The settings of this VM, and the versions on every VM.

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
        """Return the JSON form."""
        return {
            "entries": [entry.to_body() for entry in self.entries],
            "vms": [vm.to_body() for vm in self.vms],
        }

    @classmethod
    def from_body(cls, body):
        """Rebuild the report from its JSON form."""
        entries = [SettingsEntry.from_body(one) for one in body["entries"]]
        return cls(entries, [VmVersions.from_body(one) for one in body["vms"]])

    def find(self, subtree):
        """Return the `SettingsEntry` of a subtree, or None."""
        found = [entry for entry in self.entries if entry.subtree == subtree]
        return found[0] if found else None


class ProposalResult:
    """What became of a proposed change.

    Parameters
    ----------
    state : ProposalState
    subtree : str
    version : int
        Version of the change, or of the current entry after a conflict; 0 if
        the outcome is unknown.
    acknowledged, members : int
        Members of the view that have the version, and all of them.
    current : SettingsEntry or None
        After a conflict: the edit of the other operator.
    yours : SettingsEntry or None
        After a conflict: the refused edit with its base version. Filled in by the
        routes.
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
        """Return the JSON form."""
        body = {name: getattr(self, name) for name in self.__slots__}
        body["current"] = self.current and self.current.to_body()
        body["yours"] = self.yours and self.yours.to_body()
        return body

    @classmethod
    def from_body(cls, body):
        """Rebuild the result from its JSON form."""
        fields = {name: body[name] for name in cls.__slots__}
        for name in ("current", "yours"):
            if fields[name]:
                fields[name] = SettingsEntry.from_body(fields[name])
        return cls(**fields)


class MemberStatus(_Body):
    """One member of the view.

    Parameters
    ----------
    vm_id, address, domain : str
    state : str
        ``active`` or ``leaving``.
    heard_ago_s : float or None
        Seconds since this VM heard from the member; None for itself or never.
    held_targets : int
        Targets that the view gives to the member.
    """

    __slots__ = ("vm_id", "address", "domain", "state", "heard_ago_s", "held_targets")

    def __init__(self, vm_id, address, domain, state, heard_ago_s=None, held_targets=0):
        self.vm_id = vm_id
        self.address = address
        self.domain = domain
        self.state = state
        self.heard_ago_s = heard_ago_s
        self.held_targets = held_targets


class TargetStatus(_Body):
    """One target as its holder last described it.

    Parameters
    ----------
    target_id, domain : str
    holder : str
        Member that alone may send to the target; empty if there is none.
    state : str
        ``cold``, ``warm``, ``draining``, ``dead``, or ``unknown`` if this VM has
        no word from the holder.
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


class StatusReport(_Body):
    """What the asked VM knows of the fleet.

    Parameters
    ----------
    vm_id : str
        The VM that answers.
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
        Failure domain to ``in`` or ``out``.
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
        """Return the JSON form."""
        body = super().to_body()
        body["members"] = [member.to_body() for member in self.members]
        body["targets"] = [target.to_body() for target in self.targets]
        return body

    @classmethod
    def from_body(cls, body):
        """Rebuild the report from its JSON form."""
        members = [MemberStatus.from_body(one) for one in body["members"]]
        targets = [TargetStatus.from_body(one) for one in body["targets"]]
        return super().from_body({**body, "members": members, "targets": targets})


class AuditRow(_Body):
    """One accepted write to a subtree.

    Parameters
    ----------
    at : float
        Unix time in seconds.
    operator, subtree : str
    version, base_version : int
    change_id : str
        Random id of the proposal.
    summary : str
        What changed, in one line.
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


class VmTrace(_Body):
    """What one VM remembers of a request.

    Parameters
    ----------
    vm_id : str
    trace : dict or None
        `logs.Trace.to_body`, or None if the VM does not know the request.
    error : str
        Why the VM did not answer; empty if it did.
    """

    __slots__ = ("vm_id", "trace", "error")

    def __init__(self, vm_id, trace=None, error=""):
        self.vm_id = vm_id
        self.trace = trace
        self.error = error


class AdminBackend(Protocol):
    """What the admin routes need from the VM.

    Every async method may raise a `TarragonchuteError`, which becomes the answer.
    """

    def get_tree(self):
        """Return the `SettingsTree` in force, or None before any settings are known.

        A store that was read and found empty gives an empty `SettingsTree`.
        """

    async def read_settings(self):
        """Return a `SettingsReport`: this VM's entries, versions on every VM."""

    async def propose_change(self, subtree, content, base_version, operator):
        """Propose a new text for a subtree and wait for its acceptance.

        Parameters
        ----------
        subtree, content : str
            Checked already.
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
        """Ask this VM and its peers; return a list of `VmTrace`, one for each."""

    async def remove_member(self, vm_id, operator):
        """Remove a member from the view by force and return the new epoch.

        Raises
        ------
        BadRequestError
            If the view has no such member.
        """


class Operator:
    """Whoever a token identifies.

    Parameters
    ----------
    name : str
    settings : OperatorSettings or None
        None for the bootstrap token, which opens everything.
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
    """No token, or one that identifies nobody."""

    status = 401


class _UnknownRouteError(BadRequestError):
    """The admin port has no such path."""

    code = "unknown_route"
    status = 404


class _WrongMethodError(BadRequestError):
    """The path exists and takes another method."""

    code = "wrong_method"
    status = 405


class _SettingsUnknownError(NotRunError):
    """This VM has no settings yet, so it cannot tell who is an operator."""

    code = "settings_unknown"


class AdminRoutes:
    """Handler of the admin port.

    Parameters
    ----------
    backend : AdminBackend
    make_response : callable
        Takes a JSON value, ``status=`` and ``headers=`` and returns the response
        object, as `httpio.HttpResponse.from_json` does.
    bootstrap_token_sha256 : str
        From the VM's own file; empty for none.
    """

    def __init__(self, backend, make_response, bootstrap_token_sha256=""):
        self._backend = backend
        self._make_response = make_response
        self._bootstrap_token_sha256 = bootstrap_token_sha256

    async def handle(self, request):
        """Answer one request.

        Parameters
        ----------
        request : httpio.HttpRequest
            Uses `method`, `path`, `query`, `headers` (names in lower case) and
            `body`.

        Returns
        -------
        object
            What `make_response` returned. Errors of the project become answers;
            any other exception passes through.
        """
        request_id = secrets.token_hex(REQUEST_ID_BYTES)
        try:
            operator = self._identify(request)
            return await self._route(request, operator)
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
            return self._answer_error(error, request_id)

    def _identify(self, request):
        tree = self._backend.get_tree()
        if tree is None:
            raise _SettingsUnknownError("this VM has no settings yet; try again")
        scheme, _, token = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not token.strip():
            raise _UnknownTokenError("a bearer token is required")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        operator = self._find_operator(tree, digest)
        if operator is None:
            raise _UnknownTokenError("the token identifies no operator")
        return operator

    def _find_operator(self, tree, digest):
        found = None
        # Every entry is compared, so the time does not tell which one matched.
        for settings in tree.fleet.operators.values():
            if hmac.compare_digest(settings.token_sha256, digest):
                found = Operator(settings.name, settings)
        if tree.fleet.operators or not self._bootstrap_token_sha256:
            return found
        is_bootstrap = hmac.compare_digest(self._bootstrap_token_sha256, digest)
        return Operator(BOOTSTRAP_OPERATOR) if is_bootstrap else None

    async def _route(self, request, operator):
        head, _, rest = request.path.removeprefix("/v1/").partition("/")
        route = _ROUTES.get((head, bool(rest)))
        if route is None or not request.path.startswith("/v1/"):
            raise _UnknownRouteError(f"no such path: {request.path}")
        handler = route.get(request.method)
        if handler is None:
            raise _WrongMethodError(f"{request.path} takes {', '.join(route)}")
        return await handler(self, request, operator, rest)

    async def _show_settings(self, request, operator, rest):
        report = await self._backend.read_settings()
        report.entries = [hide_entry(entry) for entry in report.entries]
        return self._answer(report.to_body())

    async def _show_subtree(self, request, operator, subtree):
        entry = (await self._backend.read_settings()).find(subtree)
        if entry is None:
            raise _UnknownRouteError(f"there is no subtree {subtree}")
        return self._answer(hide_entry(entry).to_body())

    async def _change_subtree(self, request, operator, subtree):
        parse_subtree_name(subtree)
        operator.check_subtree(subtree)
        content, base_version = _read_edit(request)
        if subtree == "fleet" and has_hidden_digest(content):
            entry = (await self._backend.read_settings()).find(subtree)
            if entry is None or entry.version != base_version:
                version = entry.version if entry else 0
                result = ProposalResult(
                    ProposalState.CONFLICT, subtree, version, current=entry
                )
                return self._answer_proposal(result, operator, content, base_version)
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
        return self._answer_proposal(result, operator, content, base_version)

    def _check_edit(self, subtree, content):
        """Raise `FindingsError` for faults that the edit brings into the tree."""
        settings = parse_subtree(subtree, content, subtree)
        before = self._backend.get_tree()
        after = SettingsTree(before.fleet, dict(before.teams), dict(before.datasets))
        replace_subtree(after, subtree, settings)
        # Faults that are there already must not block an unrelated edit.
        known = set(_list_findings(before))
        findings = [one for one in _list_findings(after) if one not in known]
        if findings:
            raise FindingsError(findings)

    def _answer_proposal(self, result, operator, content, base_version):
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
        return self._answer(body, _PROPOSAL_STATUS[result.state])

    async def _show_status(self, request, operator, rest):
        report = await self._backend.read_status()
        return self._answer(report.to_body())

    async def _show_audit(self, request, operator, rest):
        subtree = request.query.get("subtree")
        if subtree is not None:
            parse_subtree_name(subtree)
        rows = await self._backend.read_audit(subtree)
        return self._answer({"records": [row.to_body() for row in rows]})

    async def _explain_request(self, request, operator, request_id):
        if not _REQUEST_ID.fullmatch(request_id):
            raise BadRequestError("not a request id")
        traces = await self._backend.explain_request(request_id)
        return self._answer({"vms": [trace.to_body() for trace in traces]})

    async def _remove_member(self, request, operator, vm_id):
        operator.check_subtree("fleet")
        if request.query.get("force") != "1":
            raise BadRequestError("removing a member needs ?force=1")
        epoch = await self._backend.remove_member(vm_id, operator.name)
        logger.warning(
            "member removed by force",
            extra={"member": vm_id, "operator": operator.name, "epoch": epoch},
        )
        return self._answer({"vm_id": vm_id, "epoch": epoch})

    def _answer(self, value, status=200, headers=None):
        return self._make_response(value, status=status, headers=headers or {})

    def _answer_error(self, error, request_id):
        body = error.describe(request_id)
        if isinstance(error, FindingsError):
            body["findings"] = [
                {"place": finding.place, "message": finding.message}
                for finding in error.findings
            ]
        headers = {"WWW-Authenticate": "Bearer"} if error.status == 401 else {}
        return self._answer(body, error.status, headers)


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
    """Return a fleet text with the placeholder in place of each token's digest."""
    lines = content.splitlines(keepends=True)
    return "".join(
        _replace_digest(line, HIDDEN_DIGEST) if _DIGEST_LINE.match(line) else line
        for line in lines
    )


def hide_entry(entry):
    """Return a copy of a `SettingsEntry` without tokens' digests."""
    digest = hashlib.sha256(entry.content.encode()).hexdigest()
    hidden = SettingsEntry.from_body(entry.to_body())
    hidden.content = hide_digests(entry.content)
    hidden.content_sha256 = digest
    return hidden


def has_hidden_digest(content):
    """Whether a text carries the placeholder of a token's digest."""
    matches = [_DIGEST_LINE.match(line) for line in content.splitlines()]
    return any(match and match[2] == HIDDEN_DIGEST for match in matches)


def restore_digests(content, current):
    """Replace placeholders by the digests of the same operators in `current`.

    A placeholder of an operator that `current` lacks stays and is a finding later.
    """
    digests = {name: digest for name, digest, _ in _walk_digests(current)}
    lines = content.splitlines(keepends=True)
    for name, digest, number in _walk_digests(content):
        if digest == HIDDEN_DIGEST and name in digests:
            lines[number] = _replace_digest(lines[number], digests[name])
    return "".join(lines)


def _walk_digests(content):
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
        # Before the first fleet subtree, datasets may be loaded without it, so
        # that the bootstrap token still opens them.
        domains = {one.domain: True for one in tree.list_targets().values()}
        tree = SettingsTree(FleetSettings(domains, {}, 1), tree.teams, tree.datasets)
    return check_tree(tree)


def _read_edit(request):
    """Return the content and the base version of an edit."""
    if len(request.body) > 2 * MAX_CONTENT_BYTES:
        raise SettingsTooLargeError("the request is too large")
    try:
        body = orjson.loads(request.body)
    except ValueError as error:
        raise BadRequestError("the body is not JSON") from error
    if not isinstance(body, dict):
        raise BadRequestError("the body must be an object")
    content, base_version = body.get("content"), body.get("base_version")
    if not isinstance(content, str):
        raise BadRequestError("content must be a text")
    if type(base_version) is not int or base_version < 0:
        raise BadRequestError(
            "base_version must be a whole number, 0 for a new subtree"
        )
    size = len(content.encode())
    if size > MAX_CONTENT_BYTES:
        raise SettingsTooLargeError(
            f"the text has {size} bytes; at most {MAX_CONTENT_BYTES} fit"
        )
    return content, base_version
