"""The operators' and callers' commands as functions, for the command line and scripts.

Requests are sent with ``http.client``: a command needs few requests, one at a time, and
starts faster without importing trio.
"""

import hashlib
import http.client
import json
import pathlib
import re
import secrets
import urllib.parse

from .admin import (
    AuditRow,
    ProposalResult,
    ProposalState,
    SettingsReport,
    StatusReport,
    VmTrace,
)
from .errors import (
    BadRequestError,
    Finding,
    FindingsError,
    NotRunError,
    Outcome,
    OutcomeUnknownError,
    SettingsConflictError,
    TarragonchuteError,
)
from .settings import (
    find_subtree_of_file,
    is_vm_file,
    load_tree_files,
    parse_subtree,
    parse_subtree_name,
    parse_vm_settings,
)

ADMIN_TIMEOUT_S = 15.0
"""Exceeds the 3 s for an acceptance plus a read-back from a slow store."""

CALLER_TIMEOUT_S = 35.0
"""Exceeds the longest deadline that a team may have, 30 s."""

SHOWN_TEXT_HEADER = re.compile(r"# \S+, version [0-9]+, by [^\n]*\n")
"""Line that ``settings show SUBTREE`` prints before the text."""

MAX_DOMAIN_EDIT_ATTEMPTS = 3
IDEMPOTENCY_KEY_BYTES = 16


class UnreachableError(NotRunError):
    """The VM could not be reached, so nothing was changed."""

    code = "unreachable"


class RemoteError(TarragonchuteError):
    """The error response of a VM.

    Parameters
    ----------
    body : dict
        JSON body of the response.
    status : int
        HTTP status of the response.
    """

    def __init__(self, body, status):
        self.code = body.get("code", "internal")
        self.outcome = _parse_outcome(body)
        self.status = status
        self.body = body
        super().__init__(body.get("message") or f"HTTP status {status}")


class LoadResult:
    """Result of loading one subtree of a directory.

    Parameters
    ----------
    subtree : str
    proposal : ProposalResult or None
        None if the text was already in force, or was refused.
    error : TarragonchuteError or None
        Why the text was refused.
    """

    __slots__ = ("subtree", "proposal", "error")

    def __init__(self, subtree, proposal=None, error=None):
        self.subtree = subtree
        self.proposal = proposal
        self.error = error


class DomainChange:
    """Result of changing the state of a failure domain.

    Parameters
    ----------
    domain : str
    state : str
        Requested state, ``in`` or ``out``.
    proposal : ProposalResult or None
        None if the domain was already in that state.
    """

    __slots__ = ("domain", "state", "proposal")

    def __init__(self, domain, state, proposal=None):
        self.domain = domain
        self.state = state
        self.proposal = proposal


class VmResponse:
    """HTTP response of a VM's caller port or admin port.

    Parameters
    ----------
    status : int
        HTTP status.
    body : dict
    idempotency_key : str or None
        Key of a booking, with which it can be retried safely.
    """

    __slots__ = ("status", "body", "idempotency_key")

    def __init__(self, status, body, idempotency_key=None):
        self.status = status
        self.body = body
        self.idempotency_key = idempotency_key

    @property
    def outcome(self):
        """`Outcome` of the request; unknown if the body names none."""
        return _parse_outcome(self.body)

    @property
    def code(self):
        """Error code; ``ok`` if the request succeeded."""
        return "ok" if self.status == 200 else self.body.get("code", "internal")


def check_files(paths):
    """Validate settings files and whole directories without contacting a VM.

    Parameters
    ----------
    paths : list of str
        Files or directories. A directory is validated as a whole tree, with its VM
        files.

    Returns
    -------
    list of str
        Validated files and subtrees.

    Raises
    ------
    FindingsError
        With the findings of all files.
    OSError
        If a file cannot be read.
    """
    checked, findings = [], []
    for path in map(pathlib.Path, paths):
        try:
            checked += _check_directory(path) if path.is_dir() else _check_file(path)
        except FindingsError as error:
            findings += error.findings
    if findings:
        raise FindingsError(findings)
    return checked


def read_subtree_file(subtree, path):
    """Return the text of a file after validating it as a subtree.

    The header line that ``settings show`` prints is removed; otherwise each cycle of
    showing, editing and proposing a text would add one.

    Raises
    ------
    FindingsError
        With every finding. Hidden digests are accepted, because the VM restores them.
    """
    text = _read_text_file(pathlib.Path(path))
    parse_subtree_name(subtree)
    placeholder_numbers = iter(range(1, 1_000_000))
    parsable_text = re.sub(
        r"(?m)^(\s*token_sha256\s*=\s*)hidden\s*$",
        lambda match: f"{match[1]}{next(placeholder_numbers):064x}",
        text,
    )
    parse_subtree(subtree, parsable_text, str(path))
    header = SHOWN_TEXT_HEADER.match(text)
    return text[header.end() :] if header else text


def show_settings(admin_address, token):
    """Return the `SettingsReport` of the VM at an admin address."""
    return SettingsReport.from_body(
        _send_admin_request(admin_address, token, "GET", "settings")
    )


def propose_change(admin_address, token, subtree, text, base_version):
    """Propose a new text for a subtree.

    Parameters
    ----------
    admin_address : str
        ``host:port`` of a VM's admin port.
    token : str
    subtree, text : str
    base_version : int
        Version on which the edit is based; 0 for a new subtree.

    Returns
    -------
    ProposalResult
        With state unknown if the response was lost.

    Raises
    ------
    FindingsError
        If the VM found the text invalid.
    TarragonchuteError
        If the VM could not be reached or refused the change.
    """
    body = {"content": text, "base_version": base_version}
    try:
        response = _send_admin_request(
            admin_address, token, "PUT", f"settings/{subtree}", body
        )
    except (OutcomeUnknownError, RemoteError) as error:
        if error.outcome is not Outcome.UNKNOWN:
            raise
        return ProposalResult(ProposalState.UNKNOWN, subtree, 0)
    return ProposalResult.from_body(response)


def load_directory(admin_address, token, directory):
    """Propose every subtree of a directory that differs from the one in force.

    Parameters
    ----------
    admin_address, token : str
    directory : str

    Returns
    -------
    list of LoadResult
        One for each subtree. A refused subtree does not prevent the later ones.

    Raises
    ------
    FindingsError
        If the directory is invalid; nothing was proposed.
    """
    texts = load_tree_files(directory).texts
    report = show_settings(admin_address, token)
    subtrees = list(texts)
    if report.find_entry("fleet") is None and "fleet" in texts:
        # The first fleet subtree invalidates the bootstrap token, so it comes last.
        subtrees.sort(key=lambda subtree: subtree == "fleet")
    return [
        _load_subtree(
            admin_address, token, subtree, texts[subtree], report.find_entry(subtree)
        )
        for subtree in subtrees
    ]


def set_domain_state(admin_address, token, domain, state):
    """Take a failure domain out, or bring it back.

    After a conflict the edit is repeated on the new text, unless that text changed
    the state of the same domain.

    Parameters
    ----------
    admin_address, token, domain : str
    state : str
        ``in`` or ``out``.

    Returns
    -------
    DomainChange

    Raises
    ------
    BadRequestError
        If subtree fleet has no such domain.
    """
    first_state, proposal = None, None
    for _ in range(MAX_DOMAIN_EDIT_ATTEMPTS):
        entry = show_settings(admin_address, token).find_entry("fleet")
        text = entry.content if entry else ""
        current = find_domain_state(text, domain)
        if current is None:
            raise BadRequestError(f"subtree fleet has no [domain {domain}]")
        if current == state:
            return DomainChange(domain, state)
        first_state = first_state or current
        if current != first_state:
            break
        edited = edit_domain_state(text, domain, state)
        proposal = propose_change(admin_address, token, "fleet", edited, entry.version)
        if proposal.state is not ProposalState.CONFLICT:
            break
    return DomainChange(domain, state, proposal)


def find_domain_state(text, domain):
    """Return a domain's state, ``in`` or ``out``; None if the fleet text lacks it."""
    state = None
    for _, section, option, value in _iterate_ini_lines(text):
        if section == f"domain {domain}":
            state = value if option == "state" else state or "in"
    return state


def edit_domain_state(text, domain, state):
    """Return the fleet text with the state of one domain replaced.

    All other lines, including comments, are unchanged.
    """
    lines = text.splitlines()
    header = None
    for number, section, option, _ in _iterate_ini_lines(text):
        if section != f"domain {domain}":
            continue
        if option == "state":
            lines[number] = f"state = {state}"
            return "\n".join(lines) + "\n"
        header = number if header is None else header
    lines.insert(header + 1, f"state = {state}")
    return "\n".join(lines) + "\n"


def list_audit(admin_address, token, subtree=None):
    """Return a list of `AuditRow`, newest first, of one subtree or of all."""
    query = {"subtree": subtree} if subtree else None
    response = _send_admin_request(admin_address, token, "GET", "audit", query=query)
    return [AuditRow.from_body(row) for row in response["records"]]


def read_status(admin_address, token):
    """Return the `StatusReport` of a VM."""
    return StatusReport.from_body(
        _send_admin_request(admin_address, token, "GET", "status")
    )


def explain_request(admin_address, token, request_id):
    """Return the traces of a request as a list of `VmTrace`, one for each VM."""
    quoted = urllib.parse.quote(request_id, safe="")
    response = _send_admin_request(admin_address, token, "GET", f"requests/{quoted}")
    return [VmTrace.from_body(trace) for trace in response["vms"]]


def remove_member(admin_address, token, vm_id):
    """Remove a member from the view by force and return the new epoch."""
    quoted = urllib.parse.quote(vm_id, safe="")
    query = {"force": "1"}
    return _send_admin_request(
        admin_address, token, "DELETE", f"members/{quoted}", query=query
    )["epoch"]


def run_search(
    caller_address, team, dataset, query, deadline_ms=None, least_coverage=None
):
    """Send one search to a VM's caller port.

    Parameters
    ----------
    caller_address : str
        ``host:port``.
    team, dataset : str
    query : object
        JSON value.
    deadline_ms : int or None
        Milliseconds; None for the team's default.
    least_coverage : float or None
        Fraction from 0 to 1; None for the team's setting.

    Returns
    -------
    VmResponse
    """
    body = {"team": team, "dataset": dataset, "query": query}
    if least_coverage is not None:
        body["least_coverage"] = least_coverage
    body = _add_deadline(body, deadline_ms)
    try:
        return _send_request(
            caller_address, "POST", "/v1/search", {}, body, CALLER_TIMEOUT_S
        )
    except OutcomeUnknownError as error:
        # A search has no side effects, so it does not matter whether it ran.
        raise UnreachableError(str(error)) from error


def run_booking(
    caller_address, team, dataset, shard, order, key=None, deadline_ms=None
):
    """Send one booking to a VM's caller port.

    Parameters
    ----------
    caller_address, team, dataset, shard : str
    order : object
        JSON value.
    key : str or None
        Idempotency key; a random one by default.
    deadline_ms : int or None

    Returns
    -------
    VmResponse
        With outcome unknown if the response was lost.
    """
    key = key or secrets.token_hex(IDEMPOTENCY_KEY_BYTES)
    body = {"team": team, "dataset": dataset, "shard": shard, "order": order}
    headers = {"Idempotency-Key": key}
    try:
        body = _add_deadline(body, deadline_ms)
        response = _send_request(
            caller_address, "POST", "/v1/bookings", headers, body, CALLER_TIMEOUT_S
        )
    except OutcomeUnknownError as error:
        error_body = {"outcome": "unknown", "code": error.code, "message": str(error)}
        response = VmResponse(OutcomeUnknownError.status, error_body)
    response.idempotency_key = key
    return response


def _check_directory(path):
    findings, checked = [], []
    vm_files = [
        found for found in sorted(path.glob("vm*.ini")) if is_vm_file(found.name)
    ]
    for check in [lambda: _check_tree_files(path)] + [
        lambda file=file: _check_file(file) for file in vm_files
    ]:
        try:
            checked += check()
        except FindingsError as error:
            findings += error.findings
    if not checked and not findings:
        findings.append(Finding(str(path), "has no settings files"))
    if findings:
        raise FindingsError(findings)
    return checked


def _check_tree_files(path):
    return [f"{path}: {subtree}" for subtree in load_tree_files(path).texts]


def _check_file(path):
    text = _read_text_file(path)
    if is_vm_file(path.name):
        parse_vm_settings(text, str(path))
    else:
        parse_subtree(find_subtree_of_file(path.name), text, str(path))
    return [str(path)]


def _read_text_file(path):
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise FindingsError([Finding(f"{path}:1", "is not UTF-8 text")]) from error


def _load_subtree(admin_address, token, subtree, text, entry):
    digest = hashlib.sha256(text.encode()).hexdigest()
    if entry is not None and entry.content_sha256 == digest:
        return LoadResult(subtree)
    version = entry.version if entry else 0
    try:
        proposal = propose_change(admin_address, token, subtree, text, version)
    except TarragonchuteError as error:
        return LoadResult(subtree, error=error)
    return LoadResult(subtree, proposal)


def _iterate_ini_lines(text):
    """Yield ``(line index, section, option, value)`` of an INI text.

    Option and value are None for a section header.
    """
    section = None
    for number, line in enumerate(text.splitlines()):
        line = line.strip()
        if line.startswith("[") and line.endswith("]"):
            section = " ".join(line[1:-1].split())
            yield number, section, None, None
        elif line and line[0] not in "#;":
            option, _, value = line.partition("=")
            yield number, section, option.strip(), value.strip()


def _add_deadline(body, deadline_ms):
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    return body


def _parse_outcome(body):
    try:
        return Outcome(body.get("outcome"))
    except ValueError:
        return Outcome.UNKNOWN


def _send_admin_request(admin_address, token, method, path, body=None, query=None):
    headers = {"Authorization": f"Bearer {token}"}
    request_target = f"/v1/{path}"
    if query:
        request_target = f"{request_target}?{urllib.parse.urlencode(query)}"
    try:
        response = _send_request(
            admin_address, method, request_target, headers, body, ADMIN_TIMEOUT_S
        )
    except OutcomeUnknownError as error:
        if method == "GET":
            raise UnreachableError(str(error)) from error
        raise
    is_proposal = "state" in response.body and method == "PUT"
    if response.status < 300 or is_proposal:
        return response.body
    if response.body.get("findings"):
        raise FindingsError(
            [Finding(**finding) for finding in response.body["findings"]]
        )
    if response.body.get("code") == SettingsConflictError.code:
        raise SettingsConflictError(response.body.get("message", ""))
    raise RemoteError(response.body, response.status)


def _send_request(address, method, request_target, headers, body, timeout_s):
    """Send one HTTP request and return a `VmResponse`.

    Raises
    ------
    UnreachableError
        If the connection could not be opened; nothing was sent.
    OutcomeUnknownError
        If the connection failed afterwards.
    """
    connection = _connect(address, timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(
            method,
            request_target,
            data,
            {"Content-Type": "application/json", **headers},
        )
        response = connection.getresponse()
        return VmResponse(response.status, _parse_json_object(response.read()))
    except (OSError, http.client.HTTPException) as error:
        text = f"the connection to {address} broke: {error!r}"
        raise OutcomeUnknownError(text) from error
    finally:
        connection.close()


def _connect(address, timeout_s):
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise BadRequestError(f"{address!r} is not an address of the form IP:PORT")
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout_s)
    try:
        connection.connect()
    except (OSError, OverflowError) as error:
        raise UnreachableError(f"cannot connect to {address}: {error}") from error
    return connection


def _parse_json_object(data):
    try:
        body = json.loads(data)
    except ValueError:
        body = None
    # A response that is not a JSON object did not come from a VM.
    if not isinstance(body, dict):
        return {"code": "protocol_error", "message": "the response is not from a VM"}
    return body
