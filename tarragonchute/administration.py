"""What the admin routes need, answered from the parts of one VM."""

import secrets
import time

import trio

from . import admin, configuration
from .audit import is_secret
from .errors import BadRequestError, StoreOutcomeUnknownError

VERSIONS = "versions"
TARGETS = "targets"
TRACE = "trace"

NO_ANSWER = "no answer"

_CHANGE_ID_BYTES = 8


class Administration:
    """The `AdminBackend` of a running VM.

    Parameters
    ----------
    parts : node.Parts
    """

    def __init__(self, parts):
        self._parts = parts

    # Topics that other VMs ask about.

    def list_topics(self):
        """Return the topics that this VM answers, for `PeerRequests`."""
        return {
            VERSIONS: self._answer_versions,
            TARGETS: self._answer_targets,
            TRACE: self._answer_trace,
        }

    def _answer_versions(self, _argument):
        parts = self._parts
        versions = parts.configuration.version_vector()
        ages = parts.settings_sync.list_ages(trio.current_time())
        return [versions, ages]

    def _answer_targets(self, _argument):
        return self._parts.describe_targets()

    def _answer_trace(self, request_id):
        trace = self._parts.traces.get(request_id)
        return {"trace": trace and trace.to_body()}

    # The interface of the admin routes.

    def get_tree(self):
        """Return the `SettingsTree` in force, or None before any settings are known."""
        settings_sync = self._parts.settings_sync
        return settings_sync.tree if settings_sync.is_loaded else None

    async def read_settings(self):
        """Return a `SettingsReport`."""
        subtrees = self._parts.configuration.subtrees()
        entries = [self._build_entry(subtree) for subtree in subtrees]
        answers = await self._ask_all(VERSIONS, self._answer_versions)
        vms = [_build_versions(vm_id, one) for vm_id, one in sorted(answers.items())]
        return admin.SettingsReport(entries, vms)

    async def propose_change(self, subtree, content, base_version, operator):
        """Propose a change; return an `admin.ProposalResult`."""
        proposal = configuration.Proposal(
            subtree,
            base_version,
            content,
            operator,
            secrets.token_hex(_CHANGE_ID_BYTES),
            time.time(),
        )
        result = await self._parts.settings_sync.propose(proposal)
        if result.state == configuration.ProposalState.NOT_RUN:
            raise result.error
        if result.state == configuration.ProposalState.CONFLICT:
            return await self._build_conflict(subtree)
        state = admin.ProposalState(str(result.state))
        acknowledged, members = self._count_acknowledged(subtree, result.version)
        version = result.version
        if state == admin.ProposalState.UNKNOWN:
            version = 0
        return admin.ProposalResult(state, subtree, version, acknowledged, members)

    async def read_status(self):
        """Return a `StatusReport`."""
        parts = self._parts
        now = trio.current_time()
        membership = parts.membership
        targets = await self._ask_all(TARGETS, self._answer_targets)
        lease_s = membership.lease_until(now) - now if membership.view else 0.0
        return admin.StatusReport(
            membership.vm_id,
            membership.view.number if membership.view else 0,
            membership.is_activated,
            max(lease_s, 0.0),
            "ok" if parts.views.is_store_reached else "store_unavailable",
            self._describe_members(now),
            self._describe_targets(targets),
            self._describe_domains(),
        )

    async def read_audit(self, subtree):
        """Return a list of `AuditRow`, newest first."""
        known = self._parts.configuration
        names = known.subtrees() if subtree is None else [subtree]
        rows = []
        for name in names:
            value = known.get(name)
            rows += [_build_audit_row(one) for one in (value.records if value else ())]
        return sorted(rows, key=lambda row: row.at, reverse=True)

    async def explain_request(self, request_id):
        """Return a list of `VmTrace`, one for each VM."""

        def answer_own(_argument):
            return self._answer_trace(request_id)

        answers = await self._ask_all(TRACE, answer_own, request_id)
        return [
            admin.VmTrace(vm_id, one["trace"])
            if one is not None
            else admin.VmTrace(vm_id, error=NO_ANSWER)
            for vm_id, one in sorted(answers.items())
        ]

    async def remove_member(self, vm_id, operator):
        """Remove a member by force and return the new epoch."""
        view = self._parts.membership.view
        if view is None or vm_id not in view.members:
            raise BadRequestError(f"the view has no member {vm_id!r}")
        epoch = await self._parts.views.remove_member(vm_id)
        if vm_id in self._parts.membership.view.members:
            raise StoreOutcomeUnknownError("another change came first; try again")
        return epoch

    async def _ask_all(self, topic, answer_own, argument=None):
        """Return a dict of vm_id to JSON answer, None where there is none."""
        parts = self._parts
        view = parts.membership.view
        others = [k for k in (view.members if view else ()) if k != parts.vm_id]
        answers = await parts.peer_requests.send_request_to_all(others, topic, argument)
        answers[parts.vm_id] = answer_own(argument)
        return answers

    def _build_entry(self, subtree):
        value = self._parts.configuration.get(subtree)
        record = value.records[-1] if value.records else None
        return admin.SettingsEntry(
            subtree,
            value.version,
            value.content,
            record.who if record else "",
            record.when if record else 0.0,
        )

    async def _build_conflict(self, subtree):
        entry = await self._parts.store.get(configuration.KEY_PREFIX + subtree)
        if entry is not None:
            value = configuration.SubtreeValue.from_value(entry.value)
            self._parts.settings_sync.apply({subtree: value}, trio.current_time())
        known = self._parts.configuration.get(subtree)
        current = self._build_entry(subtree) if known else None
        version = known.version if known else 0
        state = admin.ProposalState.CONFLICT
        return admin.ProposalResult(state, subtree, version, current=current)

    def _count_acknowledged(self, subtree, version):
        view = self._parts.membership.view
        members = list(view.members) if view else []
        count = self._parts.configuration.count_acknowledged(subtree, version, members)
        return count, len(members)

    def _describe_members(self, now):
        parts = self._parts
        view = parts.membership.view
        if view is None:
            return []
        held = {}
        for holder in parts.holders_by_target.values():
            held[holder] = held.get(holder, 0) + 1
        return [
            admin.MemberStatus(
                vm_id,
                member.address,
                member.domain,
                str(member.state),
                parts.membership.get_heartbeat_age(vm_id, now),
                held.get(vm_id, 0),
            )
            for vm_id, member in sorted(view.members.items())
        ]

    def _describe_targets(self, answers):
        reports = {}
        for rows in answers.values():
            for target_id, state, limit, in_flight in rows or ():
                reports[target_id] = (state, limit, in_flight)
        parts = self._parts
        return [
            admin.TargetStatus(
                target_id,
                target.domain,
                parts.holders_by_target.get(target_id, ""),
                *reports.get(target_id, ("unknown", 0, 0)),
            )
            for target_id, target in sorted(
                parts.settings_sync.tree.list_targets().items()
            )
        ]

    def _describe_domains(self):
        tree = self._parts.settings_sync.tree
        names = set(tree.fleet.domains)
        names |= {target.domain for target in tree.list_targets().values()}
        return {
            n: "in" if tree.is_domain_in_service(n) else "out" for n in sorted(names)
        }


def _build_versions(vm_id, answer):
    if answer is None:
        return admin.VmVersions(vm_id, error=NO_ANSWER)
    versions, ages = answer
    return admin.VmVersions(vm_id, versions, ages)


def _build_audit_row(record):
    shown = [
        f"{one.option}: {one.old!r} -> {one.new!r}"
        for one in record.changes
        if not is_secret(one.option)
    ]
    hidden = len(record.changes) - len(shown)
    if hidden:
        shown.append(f"{hidden} secret options")
    return admin.AuditRow(
        record.when,
        record.who,
        record.subtree,
        record.to_version,
        record.from_version,
        record.change_id,
        "; ".join(shown),
    )
