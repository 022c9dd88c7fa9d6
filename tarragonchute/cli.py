"""The command line interface, on top of the `commands` module."""

import argparse
import contextlib
import datetime
import difflib
import json
import os
import pathlib
import sys

from . import __version__, commands
from .admin import ProposalState, hide_digests
from .errors import (
    BadRequestError,
    FindingsError,
    KeyConflictError,
    Outcome,
    OutcomeUnknownError,
    SettingsConflictError,
    TarragonchuteError,
)
from .logs import configure_logging
from .settings import parse_vm_settings

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_FINDINGS = 2
EXIT_CONFLICT = 3
EXIT_UNCONFIRMED = 4

EXIT_CODES_HELP = """exit codes:
  0  done: accepted, unchanged or answered
  1  failure: unreachable, refused, not run
  2  findings in a file, or wrong usage
  3  conflict: another operator's edit, or another booking with the same key
  4  pending or unknown: the change or booking may take, or have taken, effect"""

ADMIN_VARIABLE = "TARRAGONCHUTE_ADMIN"
CALLER_VARIABLE = "TARRAGONCHUTE_CALLER"
TOKEN_VARIABLE = "TARRAGONCHUTE_TOKEN"
TOKEN_FILE_VARIABLE = "TARRAGONCHUTE_TOKEN_FILE"

_PROPOSAL_EXIT_CODES = {
    ProposalState.ACCEPTED: EXIT_OK,
    ProposalState.PENDING: EXIT_UNCONFIRMED,
    ProposalState.UNKNOWN: EXIT_UNCONFIRMED,
    ProposalState.CONFLICT: EXIT_CONFLICT,
}

_CONFLICT_CODES = (SettingsConflictError.code, KeyConflictError.code)


class UsageError(Exception):
    """The command line or the environment lacks a required value."""


def main(argv=None):
    """Parse the command line and run one command.

    Parameters
    ----------
    argv : list of str or None
        Arguments without the program name; None for the process's own.

    Returns
    -------
    int
        Exit code as listed in `EXIT_CODES_HELP`.
    """
    try:
        arguments = build_parser().parse_args(argv)
    except SystemExit as error:
        return error.code
    try:
        code = arguments.run(arguments)
        sys.stdout.flush()
        return code
    except BrokenPipeError:
        # The reader closed the pipe. Redirect standard output, so that the interpreter
        # does not report the error again when it flushes at exit.
        with contextlib.suppress(OSError):
            os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILURE
    except KeyboardInterrupt:
        return EXIT_FAILURE
    except (TarragonchuteError, UsageError, OSError) as error:
        return _report_error(error, getattr(arguments, "json", False))


def build_parser():
    """Return an `argparse.ArgumentParser` with all commands."""
    parser = argparse.ArgumentParser(
        prog="tarragonchute",
        description="A query tier that fans searches out over many shards.",
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_run_command(subparsers)
    _add_gateway(subparsers)
    _add_settings(subparsers)
    _add_domain(subparsers)
    _add_reports(subparsers)
    _add_members(subparsers)
    _add_search(subparsers)
    _add_book(subparsers)
    return parser


def _add_command(subparsers, name, run, help, example, admin=True):
    """Add one command with its help, example and the common options."""
    parser = subparsers.add_parser(
        name,
        help=help,
        description=help,
        epilog=f"example:\n  {example}\n\n{EXIT_CODES_HELP}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=run)
    parser.add_argument("--json", action="store_true", help="print JSON for programs")
    if admin:
        parser.add_argument(
            "--admin",
            metavar="ADDRESS",
            help=f"IP:PORT of any VM's admin port (or {ADMIN_VARIABLE})",
        )
        parser.add_argument(
            "--token-file",
            metavar="FILE",
            help=f"file with your token (or {TOKEN_VARIABLE}, {TOKEN_FILE_VARIABLE})",
        )
    return parser


def _add_gateway(subparsers):
    _add_command(
        subparsers,
        "gateway",
        _run_gateway,
        "Forward requests on the users' platform; TARRAGONCHUTE_NODE_FILE names the "
        "settings file (see docs/platform.md).",
        "tarragonchute gateway",
        admin=False,
    )


def _run_gateway(arguments):
    from .platform.main import main as run_gateway

    return run_gateway()


def _add_run_command(subparsers):
    parser = _add_command(
        subparsers,
        "run",
        _run_vm,
        "Run one VM's process until SIGTERM drains it.",
        "tarragonchute run vm.ini",
        admin=False,
    )
    parser.add_argument("file", metavar="FILE", help="the VM's own settings file")


def _add_settings(subparsers):
    parser = subparsers.add_parser("settings", help="check, show and change settings")
    subcommands = parser.add_subparsers(metavar="COMMAND", required=True)
    check = _add_command(
        subcommands,
        "check",
        _check_settings,
        "Check files or a whole directory; contacts no VM.",
        "tarragonchute settings check examples/hollowmere",
        admin=False,
    )
    check.add_argument("paths", nargs="+", metavar="FILE|DIR")
    show = _add_command(
        subcommands,
        "show",
        _show_settings,
        "Show versions and their ages on every VM, or the text of one subtree.",
        "tarragonchute settings show team/hollowmere > team.hollowmere.ini",
    )
    show.add_argument("subtree", nargs="?", metavar="SUBTREE")
    propose = _add_command(
        subcommands,
        "propose",
        _propose_change,
        "Propose a new text for one subtree.",
        "tarragonchute settings propose team/hollowmere team.hollowmere.ini --base 3",
    )
    propose.add_argument("subtree", metavar="SUBTREE")
    propose.add_argument("file", metavar="FILE")
    propose.add_argument(
        "--base",
        type=int,
        required=True,
        metavar="VERSION",
        help="version that you edited; 0 for a new subtree",
    )
    load = _add_command(
        subcommands,
        "load",
        _load_directory,
        "Propose every subtree of a directory that differs from the one in force.",
        "tarragonchute settings load examples/hollowmere",
    )
    load.add_argument("directory", metavar="DIR")


def _add_domain(subparsers):
    parser = subparsers.add_parser(
        "domain", help="take a failure domain out or back in"
    )
    subcommands = parser.add_subparsers(metavar="COMMAND", required=True)
    helps = {
        "out": "Take a failure domain out: within 3 s it receives no new work.",
        "in": "Bring a failure domain back; its targets start cold.",
    }
    for state, help in helps.items():
        command_parser = _add_command(
            subcommands, state, _set_domain, help, f"tarragonchute domain {state} north"
        )
        command_parser.add_argument("name", metavar="NAME")
        command_parser.set_defaults(state=state)


def _add_reports(subparsers):
    audit = _add_command(
        subparsers,
        "audit",
        _list_audit,
        "List who changed which subtree, newest first.",
        "tarragonchute audit fleet",
    )
    audit.add_argument("subtree", nargs="?", metavar="SUBTREE")
    _add_command(
        subparsers,
        "status",
        _show_status,
        "Show members, failure domains and the targets that are not warm.",
        "tarragonchute status --admin 10.20.0.11:9090",
    )
    explain = _add_command(
        subparsers,
        "explain",
        _explain_request,
        "Show the trace of one request on every VM.",
        "tarragonchute explain 5f0c8a3e9d1b4c7fa2e6b8d0c4f1a397",
    )
    explain.add_argument("request_id", metavar="REQUEST_ID")


def _add_members(subparsers):
    parser = subparsers.add_parser("members", help="repair the view")
    subcommands = parser.add_subparsers(metavar="COMMAND", required=True)
    remove = _add_command(
        subcommands,
        "remove",
        _remove_member,
        "Remove a dead VM from the view when its members cannot do so themselves.",
        "tarragonchute members remove vm-7 --force",
    )
    remove.add_argument("vm", metavar="VM")
    remove.add_argument(
        "--force",
        action="store_true",
        required=True,
        help="confirm that the VM is dead",
    )


def _add_search(subparsers):
    parser = _add_command(
        subparsers,
        "search",
        _run_search,
        "Send one search to a caller port.",
        "tarragonchute search --caller 10.20.0.11:8080 --team hollowmere "
        "--dataset catalogue 'river stories'",
        admin=False,
    )
    _add_caller_options(parser)
    parser.add_argument("query", metavar="QUERY", help="JSON, or else plain text")
    parser.add_argument(
        "--least-coverage", type=float, metavar="FRACTION", help="from 0 to 1"
    )


def _add_book(subparsers):
    parser = _add_command(
        subparsers,
        "book",
        _run_booking,
        "Send one booking to a caller port; it runs at most once for each key.",
        "tarragonchute book --caller 10.20.0.11:8080 --team hollowmere "
        """--dataset guides --shard guides-1 '{"guide": 7}'""",
        admin=False,
    )
    _add_caller_options(parser)
    parser.add_argument("order", metavar="ORDER", help="JSON, or else plain text")
    parser.add_argument("--shard", required=True)
    parser.add_argument(
        "--key", help="idempotency key; by default a random one, which is printed"
    )


def _add_caller_options(parser):
    parser.add_argument(
        "--caller",
        metavar="ADDRESS",
        help=f"IP:PORT of any VM's caller port (or {CALLER_VARIABLE})",
    )
    parser.add_argument("--team", required=True)
    parser.add_argument("--dataset", required=True)
    parser.add_argument("--deadline-ms", type=int, metavar="MS")


def _run_vm(arguments):
    path = pathlib.Path(arguments.file)
    settings = parse_vm_settings(path.read_text(encoding="utf-8"), str(path))
    configure_logging(settings.log_format, settings.log_level, settings.vm_id)
    # Imported here, so that the other commands start without the network modules.
    from . import node

    return node.run_vm(settings) or EXIT_OK


def _check_settings(arguments):
    checked = commands.check_files(arguments.paths)
    _print_result(arguments, {"checked": checked}, [f"ok: {name}" for name in checked])
    return EXIT_OK


def _show_settings(arguments):
    report = commands.show_settings(*_get_admin_access(arguments))
    if arguments.subtree is None:
        _print_result(arguments, report.to_body(), _describe_settings(report))
        return EXIT_OK
    entry = report.find_entry(arguments.subtree)
    if entry is None:
        raise BadRequestError(f"there is no subtree {arguments.subtree}")
    header = (
        f"# {entry.subtree}, version {entry.version}, by {entry.operator} at "
        f"{_format_time(entry.changed_at)}"
    )
    _print_result(arguments, entry.to_body(), [header, *entry.content.splitlines()])
    return EXIT_OK


def _propose_change(arguments):
    text = commands.read_subtree_file(arguments.subtree, arguments.file)
    admin_access = _get_admin_access(arguments)
    result = commands.propose_change(
        *admin_access, arguments.subtree, text, arguments.base
    )
    _print_result(arguments, result.to_body(), _describe_proposal(result))
    return _PROPOSAL_EXIT_CODES[result.state]


def _load_directory(arguments):
    results = commands.load_directory(
        *_get_admin_access(arguments), arguments.directory
    )
    body = [
        {
            "subtree": result.subtree,
            "proposal": result.proposal and result.proposal.to_body(),
            "error": result.error and _describe_error(result.error),
        }
        for result in results
    ]
    lines = [line for result in results for line in _describe_load(result)]
    _print_result(arguments, {"subtrees": body}, lines)
    return _choose_exit_code([_get_load_exit_code(result) for result in results])


def _set_domain(arguments):
    admin_access = _get_admin_access(arguments)
    change = commands.set_domain_state(*admin_access, arguments.name, arguments.state)
    body = {
        "domain": change.domain,
        "state": change.state,
        "proposal": change.proposal and change.proposal.to_body(),
    }
    if change.proposal is None:
        _print_result(
            arguments, body, [f"domain {change.domain} is {change.state} already"]
        )
        return EXIT_OK
    lines = _describe_proposal(change.proposal)
    _print_result(arguments, body, [f"domain {change.domain} {change.state}:", *lines])
    return _PROPOSAL_EXIT_CODES[change.proposal.state]


def _list_audit(arguments):
    rows = commands.list_audit(*_get_admin_access(arguments), arguments.subtree)
    lines = [
        f"{_format_time(row.at)}  {row.subtree}  version {row.version} (from "
        f"{row.base_version})  {row.operator}  {row.summary}".rstrip()
        for row in rows
    ]
    body = {"records": [row.to_body() for row in rows]}
    _print_result(arguments, body, lines or ["no records"])
    return EXIT_OK


def _show_status(arguments):
    report = commands.read_status(*_get_admin_access(arguments))
    _print_result(arguments, report.to_body(), _describe_status(report))
    return EXIT_OK


def _explain_request(arguments):
    traces = commands.explain_request(
        *_get_admin_access(arguments), arguments.request_id
    )
    lines = [line for trace in traces for line in _describe_trace(trace)]
    is_known = any(trace.trace for trace in traces)
    if not is_known:
        lines.append("no VM has a trace of this request")
    _print_result(arguments, {"vms": [trace.to_body() for trace in traces]}, lines)
    return EXIT_OK if is_known else EXIT_FAILURE


def _remove_member(arguments):
    epoch = commands.remove_member(*_get_admin_access(arguments), arguments.vm)
    body = {"vm_id": arguments.vm, "epoch": epoch}
    _print_result(
        arguments, body, [f"removed {arguments.vm}; the view has epoch {epoch}"]
    )
    return EXIT_OK


def _run_search(arguments):
    response = commands.run_search(
        _get_caller_address(arguments),
        arguments.team,
        arguments.dataset,
        _parse_json_or_text(arguments.query),
        arguments.deadline_ms,
        arguments.least_coverage,
    )
    _print_result(arguments, response.body, _describe_search(response))
    return EXIT_OK if response.code == "ok" else EXIT_FAILURE


def _run_booking(arguments):
    response = commands.run_booking(
        _get_caller_address(arguments),
        arguments.team,
        arguments.dataset,
        arguments.shard,
        _parse_json_or_text(arguments.order),
        arguments.key,
        arguments.deadline_ms,
    )
    body = {**response.body, "idempotency_key": response.idempotency_key}
    _print_result(arguments, body, _describe_booking(response))
    if response.code == "ok":
        return EXIT_OK
    if response.code in _CONFLICT_CODES:
        return EXIT_CONFLICT
    return EXIT_UNCONFIRMED if response.outcome is Outcome.UNKNOWN else EXIT_FAILURE


def _get_admin_access(arguments):
    """Return the admin address and the token from options or the environment."""
    address = arguments.admin or os.environ.get(ADMIN_VARIABLE)
    if not address:
        raise UsageError(f"give --admin ADDRESS or set {ADMIN_VARIABLE}")
    path = arguments.token_file
    token = os.environ.get(TOKEN_VARIABLE) if path is None else None
    path = path or os.environ.get(TOKEN_FILE_VARIABLE)
    if not token and path:
        token = pathlib.Path(path).read_text(encoding="utf-8").strip()
    if not token:
        raise UsageError(
            f"give --token-file FILE, or set {TOKEN_VARIABLE} or {TOKEN_FILE_VARIABLE}"
        )
    return address, token


def _get_caller_address(arguments):
    address = arguments.caller or os.environ.get(CALLER_VARIABLE)
    if not address:
        raise UsageError(f"give --caller ADDRESS or set {CALLER_VARIABLE}")
    return address


def _parse_json_or_text(text):
    try:
        return json.loads(text)
    except ValueError:
        return text


def _print_result(arguments, body, lines):
    if arguments.json:
        print(json.dumps(body))
    else:
        print("\n".join(lines))


def _report_error(error, as_json):
    if as_json:
        print(json.dumps({"error": _describe_error(error)}))
    elif isinstance(error, FindingsError):
        count = len(error.findings)
        label = "finding" if count == 1 else "findings"
        print(f"{error}\n{count} {label}", file=sys.stderr)
    else:
        code = _describe_error(error)["code"]
        print(f"tarragonchute: {code}: {error}", file=sys.stderr)
    return _get_error_exit_code(error)


def _describe_error(error):
    body = {"code": getattr(error, "code", "usage"), "message": str(error)}
    if isinstance(error, OSError):
        body["code"] = "os_error"
    if isinstance(error, FindingsError):
        body["findings"] = [
            {"place": finding.place, "message": finding.message}
            for finding in error.findings
        ]
    return body


def _get_error_exit_code(error):
    if isinstance(error, (FindingsError, UsageError)):
        return EXIT_FINDINGS
    if isinstance(error, OutcomeUnknownError):
        return EXIT_UNCONFIRMED
    is_conflict = getattr(error, "code", None) in _CONFLICT_CODES
    return EXIT_CONFLICT if is_conflict else EXIT_FAILURE


def _get_load_exit_code(result):
    if result.error is not None:
        return _get_error_exit_code(result.error)
    if result.proposal is None:
        return EXIT_OK
    return _PROPOSAL_EXIT_CODES[result.proposal.state]


def _choose_exit_code(codes):
    """Return the most severe exit code; failures and findings come first."""
    order = (EXIT_FAILURE, EXIT_FINDINGS, EXIT_CONFLICT, EXIT_UNCONFIRMED)
    return next((code for code in order if code in codes), EXIT_OK)


def _describe_settings(report):
    lines = ["subtree  version  changed by"]
    for entry in report.entries:
        lines.append(
            f"{entry.subtree}  {entry.version}  {entry.operator} at "
            f"{_format_time(entry.changed_at)}"
        )
        lines += [f"  {line}" for line in _describe_versions(entry, report.vms)]
    return lines


def _describe_versions(entry, vms):
    for vm in vms:
        if vm.error:
            yield f"{vm.vm_id}: no answer: {vm.error}"
            continue
        version = vm.versions.get(entry.subtree, 0)
        age = vm.ages_s.get(entry.subtree)
        duration = "" if age is None else f", for {age:.1f} s"
        marker = "" if version == entry.version else "  <- differs"
        yield f"{vm.vm_id}: version {version}{duration}{marker}"


def _describe_proposal(result):
    if result.state is ProposalState.ACCEPTED:
        return [
            f"accepted: {result.subtree} version {result.version}; "
            f"{result.acknowledged} of {result.members} VMs have it"
        ]
    if result.state is ProposalState.PENDING:
        return [
            f"pending: {result.subtree} version {result.version} is stored, but only "
            f"{result.acknowledged} of {result.members} VMs have it so far; look "
            "again with: tarragonchute settings show"
        ]
    if result.state is ProposalState.UNKNOWN:
        return [
            f"unknown: the change of {result.subtree} may have taken effect; look "
            f"with: tarragonchute settings show {result.subtree}"
        ]
    return _describe_conflict(result)


def _describe_conflict(result):
    lines = [f"conflict: {result.subtree} has version {result.version} now"]
    current, proposed = result.current, result.yours
    if current is None or proposed is None:
        return lines
    labels = [
        f"version {current.version} by {current.operator} at "
        f"{_format_time(current.changed_at)}",
        f"your edit of version {proposed.version} by {proposed.operator}",
    ]
    # The VM hides the digests already, but a VM of an older version may not.
    diff = difflib.unified_diff(
        hide_digests(current.content).splitlines(),
        hide_digests(proposed.content).splitlines(),
        *labels,
        lineterm="",
    )
    changes = list(diff) or [*labels, "both texts are the same"]
    advice = f"edit again from: tarragonchute settings show {result.subtree}"
    return [*lines, *changes, advice]


def _describe_load(result):
    if result.error is not None:
        text = str(result.error).replace("\n", "\n  ")
        return [f"refused: {result.subtree}: {text}"]
    if result.proposal is None:
        return [f"unchanged: {result.subtree}"]
    return _describe_proposal(result.proposal)


def _describe_status(report):
    lease = max(report.lease_remaining_s, 0.0)
    lines = [
        f"{report.vm_id}: epoch {report.epoch}"
        f"{'' if report.is_activated else ' (not activated)'}, "
        f"lease {lease:.2f} s, store {report.store}",
        "members:",
    ]
    for member in report.members:
        heartbeat_age = member.heard_ago_s
        ago = "" if heartbeat_age is None else f", heard {heartbeat_age:.1f} s ago"
        lines.append(
            f"  {member.vm_id}  {member.state}  {member.domain}  {member.address}"
            f"  holds {member.held_targets}{ago}"
        )
    lines.append("domains:")
    for domain, state in report.domains.items():
        targets = [row for row in report.targets if row.domain == domain]
        warm = sum(target.state == "warm" for target in targets)
        lines.append(f"  {domain}  {state}  {warm} of {len(targets)} targets warm")
    lines += _describe_targets(report.targets)
    return lines


def _describe_targets(targets):
    others = [target for target in targets if target.state != "warm"]
    if not others:
        return ["all targets are warm"]
    return ["targets that are not warm:"] + [
        f"  {target.target_id}  {target.state}  {target.domain}  holder "
        f"{target.holder or 'none'}  limit {target.limit}"
        for target in others
    ]


def _describe_trace(vm_trace):
    if vm_trace.error:
        return [f"{vm_trace.vm_id}: no answer: {vm_trace.error}"]
    if not vm_trace.trace:
        return []
    # A VM that served only as a holder, or is still at work, knows no outcome.
    code = vm_trace.trace.get("code") or "no outcome known here"
    started = vm_trace.trace.get("started")
    lines = [f"{vm_trace.vm_id}: {code}" + (f", started {started}" if started else "")]
    for event in vm_trace.trace["events"]:
        details = [
            f"{name}={value}"
            for name, value in event.items()
            if name not in ("ms", "event")
        ]
        lines.append(f"  {event['ms']:9.3f} ms  {event['event']}  {' '.join(details)}")
    if vm_trace.trace.get("dropped_events"):
        lines.append(f"  {vm_trace.trace['dropped_events']} later events were dropped")
    return [line.rstrip() for line in lines]


def _describe_search(response):
    body = response.body
    lines = [f"request {body.get('request_id', 'unknown')}: {response.code}"]
    coverage = body.get("coverage")
    if coverage:
        lines.append(
            f"coverage: {coverage['answered']} of {coverage['total']} shards, "
            f"snapshot {body.get('snapshot')}"
        )
        missing = coverage.get("missing")
        if missing:
            lines.append(f"missing: {' '.join(missing)}")
    if response.code != "ok":
        return [*lines, f"outcome {response.outcome}: {body.get('message', '')}"]
    return lines + [json.dumps(result) for result in body.get("results", [])]


def _describe_booking(response):
    body = response.body
    lines = [
        f"request {body.get('request_id', 'unknown')}: {response.code}",
        f"outcome: {response.outcome}",
        f"idempotency key: {response.idempotency_key}",
    ]
    if response.code == "ok":
        return [*lines, json.dumps(body.get("result"))]
    if response.outcome is Outcome.UNKNOWN:
        lines.append("retry with the same --key; the booking will not run twice")
    return [*lines, body.get("message", "")]


def _format_time(seconds):
    timestamp = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return timestamp.strftime("%Y-%m-%dT%H:%M:%SZ")


if __name__ == "__main__":
    sys.exit(main())
