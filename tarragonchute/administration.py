"""The backend of the admin routes: reports and changes over the components of a VM."""

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
"""Error of a VM that did not reply to a request of this VM."""

_CHANGE_ID_BYTES = 8


class Administration:
    """The `AdminBackend` of a running VM.

    Parameters
    ----------
    components : node.VmComponents
    """

    def __init__(self, components):
        self._components = components

    # Topics of requests from other VMs.

    def list_topics(self):
        """Return the handler of each topic of `PeerRequests`, by topic."""
        return {
            VERSIONS: self._answer_versions,
            TARGETS: self._answer_targets,
            TRACE: self._answer_trace,
        }

    def _answer_versions(self, _argument):
        components = self._components
        versions = components.configuration.version_vector()
        ages = components.settings_sync.get_ages(trio.current_time())
        return [versions, ages]

    def _answer_targets(self, _argument):
        return self._components.describe_targets()

    def _answer_trace(self, request_id):
        trace = self._components.traces.get(request_id)
        return {"trace": trace and trace.to_body()}

    # The `AdminBackend` interface.

    def get_tree(self):
        """Return the `SettingsTree` in force, or None before settings are loaded."""
        settings_sync = self._components.settings_sync
        return settings_sync.tree if settings_sync.is_loaded else None

    async def read_settings(self):
        """Return a `SettingsReport` with the versions on all members."""
        subtrees = self._components.configuration.subtrees()
        entries = [self._build_entry(subtree) for subtree in subtrees]
        answers = await self._query_members(VERSIONS, self._answer_versions)
        vms = [
            _build_versions(vm_id, answer) for vm_id, answer in sorted(answers.items())
        ]
        return admin.SettingsReport(entries, vms)

    async def propose_change(self, subtree, content, base_version, operator):
        """Propose a new text for a subtree and return an `admin.ProposalResult`."""
        proposal = configuration.Proposal(
            subtree,
            base_version,
            content,
            operator,
            secrets.token_hex(_CHANGE_ID_BYTES),
            time.time(),
        )
        result = await self._components.settings_sync.propose(proposal)
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
        """Return a `StatusReport` with the targets of all members."""
        components = self._components
        now = trio.current_time()
        membership = components.membership
        targets = await self._query_members(TARGETS, self._answer_targets)
        lease_s = membership.lease_until(now) - now if membership.view else 0.0
        return admin.StatusReport(
            membership.vm_id,
            membership.view.number if membership.view else 0,
            membership.is_activated,
            max(lease_s, 0.0),
            "ok" if components.views.is_store_reached else "store_unavailable",
            self._describe_members(now),
            self._describe_targets(targets),
            self._describe_domains(),
        )

    async def read_audit(self, subtree):
        """Return a list of `AuditRow`, newest first."""
        vm_configuration = self._components.configuration
        names = vm_configuration.subtrees() if subtree is None else [subtree]
        rows = []
        for name in names:
            value = vm_configuration.get(name)
            rows += [
                _build_audit_row(record) for record in (value.records if value else ())
            ]
        return sorted(rows, key=lambda row: row.at, reverse=True)

    async def explain_request(self, request_id):
        """Return the traces of a request as a list of `VmTrace`, one for each VM."""

        def answer_own(_argument):
            return self._answer_trace(request_id)

        answers = await self._query_members(TRACE, answer_own, request_id)
        return [
            admin.VmTrace(vm_id, answer["trace"])
            if answer is not None
            else admin.VmTrace(vm_id, error=NO_ANSWER)
            for vm_id, answer in sorted(answers.items())
        ]

    async def remove_member(self, vm_id, operator):
        """Remove a member by force and return the new epoch.

        Raises
        ------
        BadRequestError
            If the view has no such member.
        StoreOutcomeUnknownError
            If the member is still in the view after the attempt.
        """
        view = self._components.membership.view
        if view is None or vm_id not in view.members:
            raise BadRequestError(f"the view has no member {vm_id!r}")
        epoch = await self._components.views.remove_member(vm_id)
        if vm_id in self._components.membership.view.members:
            raise StoreOutcomeUnknownError(
                "another change of the view came first; try again"
            )
        return epoch

    async def _query_members(self, topic, answer_own, argument=None):
        """Send a request to all members and return a dict of vm_id to JSON answer.

        The answer is None for a member that does not reply in time. This VM's own
        answer comes from `answer_own`.
        """
        components = self._components
        view = components.membership.view
        others = [
            vm_id
            for vm_id in (view.members if view else ())
            if vm_id != components.vm_id
        ]
        answers = await components.peer_requests.send_request_to_all(
            others, topic, argument
        )
        answers[components.vm_id] = answer_own(argument)
        return answers

    def _build_entry(self, subtree):
        value = self._components.configuration.get(subtree)
        record = value.records[-1] if value.records else None
        return admin.SettingsEntry(
            subtree,
            value.version,
            value.content,
            record.who if record else "",
            record.when if record else 0.0,
        )

    async def _build_conflict(self, subtree):
        entry = await self._components.store.get(configuration.KEY_PREFIX + subtree)
        if entry is not None:
            value = configuration.SubtreeValue.from_value(entry.value)
            self._components.settings_sync.apply({subtree: value}, trio.current_time())
        known_value = self._components.configuration.get(subtree)
        current = self._build_entry(subtree) if known_value else None
        version = known_value.version if known_value else 0
        state = admin.ProposalState.CONFLICT
        return admin.ProposalResult(state, subtree, version, current=current)

    def _count_acknowledged(self, subtree, version):
        view = self._components.membership.view
        members = list(view.members) if view else []
        count = self._components.configuration.count_acknowledged(
            subtree, version, members
        )
        return count, len(members)

    def _describe_members(self, now):
        components = self._components
        view = components.membership.view
        if view is None:
            return []
        held_counts = {}
        for holder in components.holders_by_target.values():
            held_counts[holder] = held_counts.get(holder, 0) + 1
        return [
            admin.MemberStatus(
                vm_id,
                member.address,
                member.domain,
                str(member.state),
                components.membership.get_heartbeat_age(vm_id, now),
                held_counts.get(vm_id, 0),
            )
            for vm_id, member in sorted(view.members.items())
        ]

    def _describe_targets(self, answers):
        reports = {}
        for rows in answers.values():
            for target_id, state, limit, in_flight in rows or ():
                reports[target_id] = (state, limit, in_flight)
        components = self._components
        return [
            admin.TargetStatus(
                target_id,
                target.domain,
                components.holders_by_target.get(target_id, ""),
                *reports.get(target_id, ("unknown", 0, 0)),
            )
            for target_id, target in sorted(
                components.settings_sync.tree.list_targets().items()
            )
        ]

    def _describe_domains(self):
        tree = self._components.settings_sync.tree
        names = set(tree.fleet.domains)
        names |= {target.domain for target in tree.list_targets().values()}
        return {
            name: "in" if tree.is_domain_in_service(name) else "out"
            for name in sorted(names)
        }


def _build_versions(vm_id, answer):
    if answer is None:
        return admin.VmVersions(vm_id, error=NO_ANSWER)
    versions, ages = answer
    return admin.VmVersions(vm_id, versions, ages)


def _build_audit_row(record):
    shown = [
        f"{change.option}: {change.old!r} -> {change.new!r}"
        for change in record.changes
        if not is_secret(change.option)
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
