"""The user verbs as plain functions, for the command line and for programs.

The client side uses ``http.client``: a command is one short exchange, and this keeps
trio out of its start time.
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
"""Longer than the 3 s for an acceptance and a read-back from a slow store."""

CALLER_TIMEOUT_S = 35.0
"""Longer than the longest deadline that a team may have, 30 s."""

SHOWN_HEAD = re.compile(r"# \S+, version [0-9]+, by [^\n]*\n")
"""First line that ``settings show SUBTREE`` puts before the text."""

DOMAIN_EDIT_TRIES = 3
KEY_BYTES = 16


class UnreachableError(NotRunError):
    """No connection to the VM, so nothing was changed."""

    code = "unreachable"


class RemoteError(TarragonchuteError):
    """An error that a VM reported.

    Parameters
    ----------
    body : dict
        The VM's answer.
    status : int
        Its HTTP status.
    """

    def __init__(self, body, status):
        self.code = body.get("code", "internal")
        self.outcome = _read_outcome(body)
        self.status = status
        self.body = body
        super().__init__(body.get("message") or f"HTTP status {status}")


class LoadResult:
    """What became of one subtree of a loaded directory.

    Parameters
    ----------
    subtree : str
    proposal : ProposalResult or None
        None if the text was in force already, or was refused.
    error : TarragonchuteError or None
        Why the text was refused.
    """

    __slots__ = ("subtree", "proposal", "error")

    def __init__(self, subtree, proposal=None, error=None):
        self.subtree = subtree
        self.proposal = proposal
        self.error = error


class DomainChange:
    """What became of a change of a failure domain's state.

    Parameters
    ----------
    domain : str
    state : str
        ``in`` or ``out``, as asked for.
    proposal : ProposalResult or None
        None if the domain was in that state already.
    """

    __slots__ = ("domain", "state", "proposal")

    def __init__(self, domain, state, proposal=None):
        self.domain = domain
        self.state = state
        self.proposal = proposal


class CallerAnswer:
    """Answer of the caller port.

    Parameters
    ----------
    status : int
        HTTP status.
    body : dict
    idempotency_key : str or None
        Key of a booking; needed to ask again safely.
    """

    __slots__ = ("status", "body", "idempotency_key")

    def __init__(self, status, body, idempotency_key=None):
        self.status = status
        self.body = body
        self.idempotency_key = idempotency_key

    @property
    def outcome(self):
        """`Outcome` of the request."""
        return _read_outcome(self.body)

    @property
    def code(self):
        """Code of the error; ``ok`` for a success."""
        return "ok" if self.status == 200 else self.body.get("code", "internal")


def check_files(paths):
    """Check settings files and whole directories without contacting a VM.

    Parameters
    ----------
    paths : list of str
        A directory is checked as a whole tree, with its VM files.

    Returns
    -------
    list of str
        Files that were checked.

    Raises
    ------
    FindingsError
        With the faults of all files.
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
    """Return the text of a file that holds a valid subtree.

    The line with which ``settings show`` begins is left out; otherwise each round of
    showing and proposing would add one.

    Raises
    ------
    FindingsError
        With every fault, except for hidden digests, which the VM fills in.
    """
    text = _read_text(pathlib.Path(path))
    parse_subtree_name(subtree)
    filler = iter(range(1, 1_000_000))
    filled = re.sub(
        r"(?m)^(\s*token_sha256\s*=\s*)hidden\s*$",
        lambda match: f"{match[1]}{next(filler):064x}",
        text,
    )
    parse_subtree(subtree, filled, str(path))
    head = SHOWN_HEAD.match(text)
    return text[head.end() :] if head else text


def show_settings(admin, token):
    """Return a `SettingsReport` of the VM whose admin address is given."""
    return SettingsReport.from_body(_ask_admin(admin, token, "GET", "settings"))


def propose_change(admin, token, subtree, text, base_version):
    """Propose a new text for a subtree.

    Parameters
    ----------
    admin : str
        ``host:port`` of a VM's admin port.
    token : str
    subtree, text : str
    base_version : int
        Version that was edited; 0 for a new subtree.

    Returns
    -------
    ProposalResult
        With state unknown if the answer was lost.

    Raises
    ------
    FindingsError
        If the VM found faults in the text.
    TarragonchuteError
        If the VM could not be reached or refused.
    """
    body = {"content": text, "base_version": base_version}
    try:
        answer = _ask_admin(admin, token, "PUT", f"settings/{subtree}", body)
    except (OutcomeUnknownError, RemoteError) as error:
        if error.outcome is not Outcome.UNKNOWN:
            raise
        return ProposalResult(ProposalState.UNKNOWN, subtree, 0)
    return ProposalResult.from_body(answer)


def load_directory(admin, token, directory):
    """Propose every subtree of a directory that differs from the one in force.

    Parameters
    ----------
    admin, token : str
    directory : str

    Returns
    -------
    list of LoadResult
        One for each subtree. A refused subtree does not stop the later ones.

    Raises
    ------
    FindingsError
        If the directory has faults; then nothing was proposed.
    """
    texts = load_tree_files(directory).texts
    report = show_settings(admin, token)
    subtrees = list(texts)
    if report.find("fleet") is None and "fleet" in texts:
        # The first fleet subtree ends the bootstrap token, so it goes last.
        subtrees.sort(key=lambda subtree: subtree == "fleet")
    return [
        _load_subtree(admin, token, subtree, texts[subtree], report.find(subtree))
        for subtree in subtrees
    ]


def set_domain_state(admin, token, domain, state):
    """Take a failure domain out, or bring it back.

    After a clash the edit is made again on the new text, unless the other operator
    changed the state of the same domain.

    Parameters
    ----------
    admin, token, domain : str
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
    for _ in range(DOMAIN_EDIT_TRIES):
        entry = show_settings(admin, token).find("fleet")
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
        proposal = propose_change(admin, token, "fleet", edited, entry.version)
        if proposal.state is not ProposalState.CONFLICT:
            break
    return DomainChange(domain, state, proposal)


def find_domain_state(text, domain):
    """Return ``in`` or ``out``, or None if the fleet text lacks the domain."""
    state = None
    for _, section, option, value in _walk_lines(text):
        if section == f"domain {domain}":
            state = value if option == "state" else state or "in"
    return state


def edit_domain_state(text, domain, state):
    """Return the fleet text with another state of one domain.

    All other lines, comments included, stay as they are.
    """
    lines = text.splitlines()
    header = None
    for number, section, option, _ in _walk_lines(text):
        if section != f"domain {domain}":
            continue
        if option == "state":
            lines[number] = f"state = {state}"
            return "\n".join(lines) + "\n"
        header = number if header is None else header
    lines.insert(header + 1, f"state = {state}")
    return "\n".join(lines) + "\n"


def list_audit(admin, token, subtree=None):
    """Return a list of `AuditRow`, newest first, of one subtree or of all."""
    query = {"subtree": subtree} if subtree else None
    answer = _ask_admin(admin, token, "GET", "audit", query=query)
    return [AuditRow.from_body(row) for row in answer["records"]]


def read_status(admin, token):
    """Return the `StatusReport` of a VM."""
    return StatusReport.from_body(_ask_admin(admin, token, "GET", "status"))


def explain_request(admin, token, request_id):
    """Return a list of `VmTrace`: what each VM remembers of a request."""
    quoted = urllib.parse.quote(request_id, safe="")
    answer = _ask_admin(admin, token, "GET", f"requests/{quoted}")
    return [VmTrace.from_body(trace) for trace in answer["vms"]]


def remove_member(admin, token, vm_id):
    """Remove a member from the view by force and return the new epoch."""
    quoted = urllib.parse.quote(vm_id, safe="")
    query = {"force": "1"}
    return _ask_admin(admin, token, "DELETE", f"members/{quoted}", query=query)["epoch"]


def run_search(caller, team, dataset, query, deadline_ms=None, least_coverage=None):
    """Send one search to a VM's caller port.

    Parameters
    ----------
    caller : str
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
    CallerAnswer
    """
    body = {"team": team, "dataset": dataset, "query": query}
    if least_coverage is not None:
        body["least_coverage"] = least_coverage
    body = _add_deadline(body, deadline_ms)
    try:
        return _exchange(caller, "POST", "/v1/search", {}, body, CALLER_TIMEOUT_S)
    except OutcomeUnknownError as error:
        # A search changes nothing, so it does not matter whether it ran.
        raise UnreachableError(str(error)) from error


def run_booking(caller, team, dataset, shard, order, key=None, deadline_ms=None):
    """Send one booking to a VM's caller port.

    Parameters
    ----------
    caller, team, dataset, shard : str
    order : object
        JSON value.
    key : str or None
        Idempotency key; a random one by default.
    deadline_ms : int or None

    Returns
    -------
    CallerAnswer
        With outcome unknown if the answer was lost.
    """
    key = key or secrets.token_hex(KEY_BYTES)
    body = {"team": team, "dataset": dataset, "shard": shard, "order": order}
    headers = {"Idempotency-Key": key}
    try:
        body = _add_deadline(body, deadline_ms)
        answer = _exchange(
            caller, "POST", "/v1/bookings", headers, body, CALLER_TIMEOUT_S
        )
    except OutcomeUnknownError as error:
        lost = {"outcome": "unknown", "code": error.code, "message": str(error)}
        answer = CallerAnswer(OutcomeUnknownError.status, lost)
    answer.idempotency_key = key
    return answer


def _check_directory(path):
    findings, checked = [], []
    vm_files = [one for one in sorted(path.glob("vm*.ini")) if is_vm_file(one.name)]
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
    text = _read_text(path)
    if is_vm_file(path.name):
        parse_vm_settings(text, str(path))
    else:
        parse_subtree(find_subtree_of_file(path.name), text, str(path))
    return [str(path)]


def _read_text(path):
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        raise FindingsError([Finding(f"{path}:1", "is not UTF-8 text")]) from error


def _load_subtree(admin, token, subtree, text, entry):
    digest = hashlib.sha256(text.encode()).hexdigest()
    if entry is not None and entry.content_sha256 == digest:
        return LoadResult(subtree)
    version = entry.version if entry else 0
    try:
        proposal = propose_change(admin, token, subtree, text, version)
    except TarragonchuteError as error:
        return LoadResult(subtree, error=error)
    return LoadResult(subtree, proposal)


def _walk_lines(text):
    """Yield ``(line index, section, option, value)``; a header has no option."""
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


def _read_outcome(body):
    try:
        return Outcome(body.get("outcome"))
    except ValueError:
        return Outcome.UNKNOWN


def _ask_admin(admin, token, method, path, body=None, query=None):
    headers = {"Authorization": f"Bearer {token}"}
    target = f"/v1/{path}"
    if query:
        target = f"{target}?{urllib.parse.urlencode(query)}"
    try:
        answer = _exchange(admin, method, target, headers, body, ADMIN_TIMEOUT_S)
    except OutcomeUnknownError as error:
        if method == "GET":
            raise UnreachableError(str(error)) from error
        raise
    is_proposal = "state" in answer.body and method == "PUT"
    if answer.status < 300 or is_proposal:
        return answer.body
    if answer.body.get("findings"):
        raise FindingsError([Finding(**one) for one in answer.body["findings"]])
    if answer.body.get("code") == SettingsConflictError.code:
        raise SettingsConflictError(answer.body.get("message", ""))
    raise RemoteError(answer.body, answer.status)


def _exchange(address, method, target, headers, body, timeout_s):
    """Return a `CallerAnswer`.

    Raises `UnreachableError` if nothing was sent, and `OutcomeUnknownError` if the
    connection broke afterwards.
    """
    connection = _connect(address, timeout_s)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(
            method, target, data, {"Content-Type": "application/json", **headers}
        )
        response = connection.getresponse()
        return CallerAnswer(response.status, _read_object(response.read()))
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


def _read_object(data):
    try:
        body = json.loads(data)
    except ValueError:
        body = None
    # An answer that is no JSON object came from something else than a VM.
    if not isinstance(body, dict):
        return {"code": "protocol_error", "message": "the answer is not from a VM"}
    return body
