"""Cell membership: views, majority leases and the handover of targets.

`Membership` is a state machine without I/O. Every `now` is in seconds of the local
monotonic clock; values of two VMs' clocks are never compared.
"""

import enum
import hashlib
import math

import orjson

from .errors import ProtocolError
from .messages import Heartbeat
from .placement import update_holders
from .tables import MemberRow, Table

HEARTBEAT_PERIOD_S = 0.3
LEASE_S = 1.5
MAX_SHARD_TIME_S = 1.0
"""Maximum time from the permission check of a request to its deadline at the target."""

SKEW_S = 0.25
"""Allowance for clock drift over one lease, and for the offset of wall clocks."""

LEASE_EXPIRY_WAIT_S = LEASE_S + MAX_SHARD_TIME_S + SKEW_S
"""Time from the activation of a view until all leases of older views, and all
requests sent under them, have ended."""

EVICT_AFTER_S = LEASE_S + SKEW_S
"""A member without heartbeats for this long may be evicted."""

PROPOSAL_STAGGER_S = 0.5
"""Additional delay of an eviction proposal for each responsive active member with a
lower id."""

GONE_REPORT_VALIDITY_S = 3.0
"""How long a report of the VM list stays valid.

The list must be read at shorter intervals.
"""

GONE_CONFIRMATION_S = 5.0
"""How long a process must be known and unresponsive before its VM counts as gone.

A restarted VM joins only once the VM list shows it as live. An older report that the VM
is gone expires before it could be applied to the new process.
"""

_OBSERVER_TIMEOUT_S = 3.0
_MAX_OBSERVERS = 16
_MAX_ROWS = 64
_MAX_HANDOVERS = 16
_MAX_PREVIOUS_SETS = 16
_MAX_DIGESTS = 256
_MAX_HISTORY = 32

_EPOCH_HASH_BITS = 32
"""Number of low bits of an epoch that hold a hash of the view's content.

The high bits hold the number of the view. If the store returns an older view, a VM can
write a different view under a number that is already in use. The hash distinguishes the
two in heartbeats.
"""

_SEND_TIME_SPREAD_S = 0.001
"""Upper bound of the offset that each process subtracts from its send times.

The offsets differ, so that a send time of one process does not equal one of another
process of the same VM.
"""


class MemberState(enum.StrEnum):
    """Whether a member may hold targets."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Member:
    """A VM's process that belongs to a view.

    Parameters
    ----------
    incarnation : str
        Random id of the VM's process.
    address : str
        ``host:port`` for messages between VMs.
    domain : str
        Failure domain.
    state : MemberState
    """

    __slots__ = ("incarnation", "address", "domain", "state")

    def __init__(self, incarnation, address, domain, state=MemberState.ACTIVE):
        self.incarnation = incarnation
        self.address = address
        self.domain = domain
        self.state = MemberState(state)

    def to_body(self):
        """Return the JSON form."""
        return {name: getattr(self, name) for name in self.__slots__}

    def with_state(self, state):
        """Return a copy in another state."""
        return Member(self.incarnation, self.address, self.domain, state)


class View:
    """The members of a cell, as agreed in the store. Never changed in place.

    Parameters
    ----------
    epoch : int
        `number`, which rises by one with each change, and a hash of the content.
    members : dict of str to Member
    previous : list of dict of str to str
        Member sets (vm_id to incarnation) of earlier views that may still have
        leases or requests in flight.
    groups : iterable of iterable of str
        Targets that are replicas of one shard, as the placement uses them. They
        are part of the view because two VMs with different settings would
        otherwise compute different holders for one epoch.
    dead : iterable of (str, str)
        Processes (vm_id and incarnation) in `previous` that the VM list or an
        operator confirmed to have ended.
    history : iterable of int
        Epochs of the ancestors of this view, newest last. The last is 0 if this
        view merges two branches.
    holders : dict of str to str
        Target to the active member that holds it, in the preceding view. The view
        carries the assignment so that a change moves as few targets as possible.
    """

    __slots__ = (
        "epoch",
        "members",
        "previous",
        "groups",
        "dead",
        "history",
        "holders",
    )

    def __init__(
        self,
        epoch,
        members,
        previous=(),
        groups=(),
        dead=(),
        history=(),
        holders=None,
    ):
        self.epoch = epoch
        self.members = dict(members)
        self.previous = [dict(member_set) for member_set in previous]
        self.groups = normalize_groups(groups)
        self.dead = {(vm_id, incarnation) for vm_id, incarnation in dead}
        self.history = list(history)[-_MAX_HISTORY:]
        self.holders = update_holders(self.groups, self.list_active(), holders or {})

    @property
    def number(self):
        """Version number of the view, as shown to operators."""
        return self.epoch >> _EPOCH_HASH_BITS

    @property
    def base(self):
        """Epoch of the view that this one replaced; 0 for a first or a merged view."""
        return self.history[-1] if self.history else 0

    def descends_from(self, epoch):
        """Whether the view of an epoch is an ancestor of this one."""
        return epoch > 0 and epoch in self.history

    def list_active(self):
        """Return the sorted ids of the members that may hold targets."""
        members = self.members.items()
        return sorted(k for k, m in members if m.state is MemberState.ACTIVE)

    def incarnations(self):
        """Return a dict of vm_id to incarnation."""
        return {vm_id: member.incarnation for vm_id, member in self.members.items()}

    def addresses(self):
        """Return a dict of vm_id to ``host:port``."""
        return {vm_id: member.address for vm_id, member in self.members.items()}

    def has_process(self, vm_id, incarnation):
        """Whether this process of this VM is a member."""
        member = self.members.get(vm_id)
        return member is not None and member.incarnation == incarnation

    def is_active(self, vm_id, incarnation):
        """Whether this process of this VM may hold targets."""
        if not self.has_process(vm_id, incarnation):
            return False
        return self.members[vm_id].state is MemberState.ACTIVE

    def to_body(self):
        """Return the JSON body."""
        members = {vm_id: m.to_body() for vm_id, m in sorted(self.members.items())}
        return {
            "epoch": self.epoch,
            "members": members,
            "previous": self.previous,
            "groups": self.groups,
            "dead": sorted(self.dead),
            "history": self.history,
            "holders": self.holders,
        }

    def to_value(self):
        """Return the text that the store keeps."""
        return orjson.dumps(self.to_body()).decode()

    @classmethod
    def from_body(cls, body):
        """Rebuild the view from its JSON body.

        Raises
        ------
        ProtocolError
            If the body is malformed.
        """
        try:
            members = {k: Member(**m) for k, m in body["members"].items()}
            epoch = int(body["epoch"])
            rest = [body.get(name, ()) for name in ("groups", "dead", "history")]
            holders = body.get("holders")
            return cls(epoch, members, body["previous"], *rest, holders)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ProtocolError(f"malformed view: {error!r}") from error

    @classmethod
    def from_value(cls, text):
        """Rebuild the view from the store's text; raises `ProtocolError`."""
        try:
            body = orjson.loads(text)
        except ValueError as error:
            raise ProtocolError(f"malformed view: {error}") from error
        return cls.from_body(body)


def normalize_groups(groups):
    """Return the groups sorted, without duplicates and subsets of other groups."""
    by_size = sorted({frozenset(group) for group in groups}, key=len, reverse=True)
    kept = []
    kept_by_target = {}
    for group in by_size:
        # A superset contains each target of this group, so it suffices to check
        # the groups of any one of its targets.
        candidates = kept_by_target.get(next(iter(group), None), ())
        if any(group <= other for other in candidates):
            continue
        kept.append(group)
        for target in group:
            kept_by_target.setdefault(target, []).append(group)
    return sorted(sorted(group) for group in kept)


def majority(size):
    """Return the smallest number that is more than half of `size`."""
    return size // 2 + 1


def add_to_view(view, vm_id, member):
    """Return the successor of a view with a process of a VM as a member.

    It keeps all previous sets, because the caller may not know whether their
    leases have ended.

    Parameters
    ----------
    view : View or None
        None to create the first view.
    vm_id : str
    member : Member
    """
    if view is None:
        return _make_view([], {vm_id: member}, [], [], [])
    members = {**view.members, vm_id: member}
    return _make_view(
        [view], members, _list_sets_with_current(view), view.groups, view.dead
    )


def remove_from_view(view, vm_ids):
    """Return the successor of a view without some members, for a forced removal.

    The operator confirms that the processes of these members have ended. They then
    count as stopped in the majorities of the previous sets.

    Parameters
    ----------
    view : View
    vm_ids : iterable of str
    """
    removed = set(vm_ids)
    members = {k: m for k, m in view.members.items() if k not in removed}
    previous = _list_sets_with_current(view)
    processes = {process for member_set in previous for process in member_set.items()}
    dead = view.dead | {process for process in processes if process[0] in removed}
    return _make_view([view], members, previous, view.groups, dead)


def merge_views(view, other):
    """Return a successor of two diverged views, with the members of the first.

    Parameters
    ----------
    view : View
        View whose members are kept.
    other : View
        View of a branch that started when the store returned an older view. Its
        processes may hold leases, so they are added to the previous sets.
    """
    previous = _list_sets_with_current(view)
    previous += [
        member_set
        for member_set in _list_sets_with_current(other)
        if member_set not in previous
    ]
    dead = view.dead | other.dead
    return _make_view([view, other], view.members, previous, view.groups, dead)


def _make_view(replaced, members, previous, groups, dead):
    """Return a new view that replaces no view, one view, or two merged ones."""
    history = [epoch for view in replaced for epoch in [*view.history, view.epoch]]
    if len(replaced) > 1:
        history.append(0)
    number = max([view.number for view in replaced], default=0) + 1
    holders = replaced[0].holders if replaced else {}
    view = View(0, members, previous, groups, dead, history, holders)
    digest = hashlib.blake2b(view.to_value().encode(), digest_size=8).digest()
    low = int.from_bytes(digest, "big") % (1 << _EPOCH_HASH_BITS)
    view.epoch = (number << _EPOCH_HASH_BITS) + low
    return view


def _list_sets_with_current(view):
    """Return the previous sets of a view and its own member set."""
    previous = list(view.previous)
    replaced = view.incarnations()
    if replaced not in previous:
        previous.append(replaced)
    return previous


class _Handover:
    """Processes that must release their targets before those gained in a view are used.

    The wait for the releases ends `LEASE_EXPIRY_WAIT_S` after `activated_at`.
    """

    __slots__ = ("epoch", "sets", "processes", "activated_at")

    def __init__(self, view):
        self.epoch = view.epoch
        self.sets = [view.incarnations(), *view.previous]
        self.processes = {
            process for member_set in self.sets for process in member_set.items()
        }
        self.activated_at = None


class Membership:
    """Membership state of one VM in its cell.

    Parameters
    ----------
    vm_id : str
    incarnation : str
        Random id of this process, never reused.
    address : str
        ``host:port`` for messages between VMs.
    domain : str
        Failure domain.

    Attributes
    ----------
    view : View or None
        The adopted view.
    is_direct_successor : bool
        Whether the adopted view directly succeeds the one adopted before it.
    is_member, is_active : bool
        Whether this process is a member, and whether it may hold targets.
    released_epoch : int
        Highest epoch for which this VM has finished its requests to targets that
        it does not hold.
    settings_digest : str
        Digest of this VM's settings.
    store_revision : int
        Highest store revision that this VM has seen.
    """

    def __init__(self, vm_id, incarnation, address="", domain=""):
        self.vm_id = vm_id
        self.incarnation = incarnation
        self.address = address
        self.domain = domain
        self._own_process = (vm_id, incarnation)
        self.view = None
        self.is_direct_successor = False
        self.is_member = False
        self.is_active = False
        self.released_epoch = 0
        self.settings_digest = ""
        self.store_revision = 0
        self._rows = Table("processes of other VMs")
        self._send_times = []
        self._send_offset = _compute_send_offset(incarnation)
        self._carried_lease_end = -math.inf
        self._lease_end = None
        self._handovers = []
        self._activated_epoch = 0
        self._settled_epoch = 0
        self._gone_vm_ids = frozenset()
        self._gone_reported_at = -math.inf
        self._settings_read_epoch = 0
        self._required_settings_epoch = 0
        self._usable_digests = {}
        self._adopted_at = -math.inf
        self._known_since = {}
        self._lease_since = -math.inf
        self._lease_seen_until = -math.inf

    # State of this VM.

    @property
    def epoch(self):
        """Epoch of the adopted view; 0 if there is none."""
        return 0 if self.view is None else self.view.epoch

    @property
    def is_activated(self):
        """Whether majorities have stopped granting leases for older views.

        This requires a majority of the adopted view's members, and one of each of
        its previous sets.
        """
        return self.view is not None and self._activated_epoch >= self.epoch

    @property
    def is_settled(self):
        """Whether no lease or request of a superseded view can still exist."""
        return self.view is not None and self._settled_epoch >= self.epoch

    @property
    def may_grant_leases(self):
        """Whether this VM's settings are recent enough to grant leases.

        After a process has left, a settings version that a majority acknowledged
        may be known to only a few of the remaining members. Each member then reads
        the settings again before it grants leases, and so does a VM that joins.
        """
        return self._settings_read_epoch >= self._required_settings_epoch

    # Heartbeats.

    def build_heartbeats(self, now):
        """Return the heartbeats to send now.

        They are addressed to the other members, and to observers (VMs that are not
        members) that sent a heartbeat within `_OBSERVER_TIMEOUT_S`. An observer
        accepts callers' requests only while members grant it a lease.

        Returns
        -------
        list of (str, Heartbeat)
        """
        if self.view is None:
            return []
        self._record_lease(now)
        self._update_handovers(now)
        sent_at = now - self._send_offset
        oldest = now - LEASE_S - SKEW_S
        self._send_times = [time for time in self._send_times if time >= oldest] + [
            sent_at
        ]
        vm_ids = set(self.view.members) - {self.vm_id} | self._list_observers(now)
        return [(k, self._build_heartbeat(k, sent_at)) for k in sorted(vm_ids)]

    def handle_heartbeat(self, vm_id, heartbeat, now):
        """Process a heartbeat from another VM.

        Parameters
        ----------
        vm_id : str
            Sender.
        heartbeat : Heartbeat
        now : float
        """
        if vm_id == self.vm_id:
            return
        row = self._get_row(vm_id, heartbeat.incarnation, now)
        if row.sent_at is not None and heartbeat.sent_at < row.sent_at:
            # A reordered heartbeat is ignored: its outdated settings digest could
            # block or allow the grant of a newer heartbeat.
            return
        row.sent_at = heartbeat.sent_at
        row.heard_at = now
        row.epoch = max(row.epoch, heartbeat.epoch)
        row.released_epoch = max(row.released_epoch, heartbeat.released_epoch)
        row.digest = heartbeat.settings_digest
        self._record_echo(row, heartbeat.echo)
        self._update_grant(row)
        self._record_lease(now)
        self._update_handovers(now)

    def find_vm_with_newer_view(self):
        """Return the id of a VM with a newer view than the adopted one, or None.

        Of several, the one heard most recently is the most likely to answer.
        """
        rows = [row for row in self._rows if row.epoch > self.epoch]
        last_heard = max(rows, key=lambda row: row.heard_at, default=None)
        return None if last_heard is None else last_heard.vm_id

    def list_quorum_sets(self):
        """Return the member sets whose majorities must acknowledge a settings change.

        These are the members of the adopted view, and of its predecessors as long
        as they may still grant leases. The result is valid for
        `Configuration.is_accepted` if the store, read after the change was written,
        still has the adopted view.
        """
        if self.view is None:
            return []
        previous = [] if self.is_settled else self.view.previous
        return [set(self.view.members), *(set(member_set) for member_set in previous)]

    def get_heartbeat_age(self, vm_id, now):
        """Return the seconds since the last heartbeat of a VM.

        None for this VM, and for one that was never heard.
        """
        heard = [row.heard_at for row in self._rows if row.vm_id == vm_id]
        return now - max(heard) if heard else None

    def list_unresponsive(self, now):
        """Return the ids of the other members without heartbeat for `EVICT_AFTER_S`."""
        if self.view is None:
            return []
        return self._list_unresponsive(now, EVICT_AFTER_S)

    def _build_heartbeat(self, vm_id, sent_at):
        rows = [row for row in self._rows if row.vm_id == vm_id]
        last_heard = max(rows, key=lambda row: row.heard_at, default=None)
        return Heartbeat(
            incarnation=self.incarnation,
            epoch=self.epoch,
            released_epoch=self.released_epoch,
            sent_at=sent_at,
            echo=last_heard.sent_at if last_heard and self.may_grant_leases else None,
            settings_digest=self.settings_digest,
            store_revision=self.store_revision,
        )

    def _list_observers(self, now):
        rows = sorted(self._rows, key=lambda row: -row.heard_at)
        recent = [r.vm_id for r in rows if now - r.heard_at <= _OBSERVER_TIMEOUT_S]
        return set([k for k in recent if k not in self.view.members][:_MAX_OBSERVERS])

    def _get_row(self, vm_id, incarnation, now):
        key = (vm_id, incarnation)
        row = self._rows.get(key)
        if row is None:
            self._prune_rows()
            row = self._rows.add(key, MemberRow(vm_id, incarnation))
            row.heard_at = now
        return row

    def _prune_rows(self):
        """Remove the least recently heard processes, except those still needed."""
        if len(self._rows) < _MAX_ROWS:
            return
        needed = set(self.view.incarnations().items()) if self.view else set()
        for handover in self._handovers:
            needed |= handover.processes
        spare = [r for r in self._rows if (r.vm_id, r.incarnation) not in needed]
        spare.sort(key=lambda row: row.heard_at)
        for row in spare[: len(self._rows) - _MAX_ROWS + 1]:
            self._rows.remove((row.vm_id, row.incarnation))

    # Leases.

    def lease_until(self, now):
        """Return the end of the lease in seconds; minus infinity if there is none.

        It is the q-th latest end of a grant, where q is a majority of all members
        of the view. Members that the VM list reports gone are still counted:
        another VM may not know that they are gone, and majorities of different
        sets need not overlap. If the processes of a majority have ended, a view
        change removes them (`plan_removal_of_gone`); the store serializes view
        changes.
        """
        if self._lease_end is None:
            self._lease_end = self._compute_lease_end()
        return min(self._lease_end, now + LEASE_S)

    def has_lease(self, now):
        """Whether this VM holds a valid lease at `now`."""
        return self.lease_until(now) > now

    def may_serve(self, gained_epoch, now):
        """Whether this VM may send to a target that it holds.

        Parameters
        ----------
        gained_epoch : int
            From `placement.HeldTargets.gained_epochs`.
        now : float
            The request's deadline at the target must be at most `MAX_SHARD_TIME_S`
            after this time.
        """
        if not self.is_active or not self.has_lease(now):
            return False
        if self._settled_epoch < gained_epoch:
            self._update_handovers(now)
        return self._settled_epoch >= gained_epoch

    def drop_grants(self):
        """Drop all grants received, and with them the lease.

        Call this before sending again when the wall clock jumped ahead of the
        monotonic clock, which may have stopped while the VM was suspended.
        """
        self._carried_lease_end = -math.inf
        self._lease_end = None
        self._send_times = []
        for row in self._rows:
            row.echoed = None
            row.granted_until = None

    def _compute_lease_end(self):
        """Return the end of the lease; infinity if this VM's own grant suffices.

        The VM's own grant has no fixed end, as `lease_until` limits it to
        `LEASE_S` from now. So it is always the latest, and the result stays valid
        until the next grant or view.
        """
        if self.view is None:
            return -math.inf
        ends = self._list_grants()
        needed = self._majority(len(self.view.members))
        until = ends[needed - 1] if len(ends) >= needed else -math.inf
        return max(until, self._carried_lease_end)

    def _list_grants(self):
        """Return the end times of the members' grants, latest first."""
        ends = []
        for process in self.view.incarnations().items():
            row = self._find_process(*process)
            if process == self._own_process and self.may_grant_leases:
                ends.append(math.inf)
            elif row is not None and row.granted_until is not None:
                ends.append(row.granted_until)
        return sorted(ends, reverse=True)

    def _record_echo(self, row, echo):
        # Only send times of this process count: a peer may echo one of this VM's
        # earlier process, whose clock may have been ahead.
        if echo in self._send_times and (row.echoed is None or echo > row.echoed):
            row.echoed = echo

    def _update_grant(self, row):
        """Extend a peer's grant from its newest echo, if the peer may grant a lease."""
        if row.echoed is None or not self._is_current_or_ancestor(row.epoch):
            return
        if not self._has_usable_settings(row):
            return
        until = row.echoed + LEASE_S
        if row.granted_until is None or until > row.granted_until:
            row.granted_until = until
            self._lease_end = None

    def _is_current_or_ancestor(self, epoch):
        """Whether an epoch is that of the adopted view or of an ancestor.

        A newer view must be adopted first; one of another branch never counts.
        """
        return epoch == self.epoch or (
            self.view is not None and self.view.descends_from(epoch)
        )

    def _has_usable_settings(self, row):
        """Whether the peer is known not to have newer settings than this VM."""
        digest = row.digest
        return digest == self.settings_digest or digest in self._usable_digests

    def _find_process(self, vm_id, incarnation):
        return self._rows.get((vm_id, incarnation))

    def _majority(self, size):
        return majority(size)

    def _record_lease(self, now):
        if now > self._lease_seen_until:
            self._lease_since = now
        self._lease_seen_until = self.lease_until(now)

    # Settings.

    def set_settings(self, digest):
        """Set the digest of this VM's own settings; call after each change.

        Parameters
        ----------
        digest : str
            `Configuration.digest()`.
        """
        self.settings_digest = digest
        self.record_settings_comparison(digest, has_newer=False)

    def record_settings_comparison(self, digest, has_newer):
        """Record the result of comparing a peer's settings with this VM's own.

        Parameters
        ----------
        digest : str
            Digest of the peer's version vector that was compared.
        has_newer : bool
            Whether that vector has a newer version of any subtree.
        """
        self._usable_digests.pop(digest, None)
        if has_newer:
            return
        self._usable_digests[digest] = None
        while len(self._usable_digests) > _MAX_DIGESTS:
            del self._usable_digests[next(iter(self._usable_digests))]
        for row in self._rows:
            self._update_grant(row)

    def record_settings_read(self, epoch):
        """Record that all settings were read from the store and applied.

        Parameters
        ----------
        epoch : int
            Value of `self.epoch` when the reading began.
        """
        self._settings_read_epoch = max(self._settings_read_epoch, epoch)
        self._lease_end = None

    def _update_required_settings(self, view):
        """Require a new reading of the settings if this VM joins or a process left."""
        old = {} if self.view is None else self.view.incarnations()
        new = view.incarnations()
        joins = view.has_process(*self._own_process) and not self.is_member
        if joins or not old.items() <= new.items():
            self._required_settings_epoch = view.epoch

    def list_vms_to_compare(self, now):
        """Return the ids of recently heard VMs whose settings may be newer than here.

        The caller must compare them with its own, and read those that are newer.
        """
        rows = [row for row in self._rows if now - row.heard_at <= _OBSERVER_TIMEOUT_S]
        unknown = [row.vm_id for row in rows if not self._has_usable_settings(row)]
        return sorted(set(unknown))

    # Views and the handover of targets.

    def adopt_view(self, view, now):
        """Adopt a view that descends from the adopted one; ignore any other.

        A valid lease is kept to its end if this VM is an active member of the new
        view, so that targets which did not move stay in service.

        Returns
        -------
        bool
            Whether the view was adopted. If so, the caller must update its held
            targets before it sends again, and call `record_release` once no request
            to any other target is in flight.
        """
        if not self._may_adopt(view):
            return False
        carried_lease_end = self.lease_until(now)
        self.is_direct_successor = self.view is not None and view.base == self.epoch
        self._update_required_settings(view)
        self.view = view
        self.is_member = view.has_process(*self._own_process)
        self.is_active = view.is_active(*self._own_process)
        self._lease_end = None
        self._adopted_at = now
        self._carried_lease_end = carried_lease_end if self.is_active else -math.inf
        self._handovers.append(_Handover(view))
        # When a later handover settles, the earlier ones have settled as well.
        del self._handovers[:-_MAX_HANDOVERS]
        known = set().union(*(h.processes for h in self._handovers))
        self._known_since = {k: self._known_since.get(k, now) for k in known}
        for row in self._rows:
            self._update_grant(row)
        self._record_lease(now)
        self._update_handovers(now)
        return True

    def _may_adopt(self, view):
        """Whether a view may replace the adopted one.

        A member adopts only descendants of its view: the previous sets of a view
        on another branch lack the processes that may hold leases under this view.
        Descent can't be checked beyond the length of the history. A view that is
        further ahead is adopted, because members write back the views that a store
        lost before so many changes are made.
        """
        if self.view is None or view.descends_from(self.epoch):
            return True
        if not self.is_member:
            return view.epoch > self.epoch
        return view.number > self.view.number + _MAX_HISTORY

    def record_release(self, epoch, now):
        """Record that all requests to targets not held at `epoch` have finished.

        Parameters
        ----------
        epoch : int
            The epoch for which the caller checked this with
            `placement.HeldTargets.may_report_release`. A request that ended without
            an answer counts as in flight until its deadline.
        now : float
        """
        self.released_epoch = max(self.released_epoch, min(epoch, self.epoch))
        self._update_handovers(now)

    def set_gone_vms(self, vm_ids, now):
        """Set the ids of the VMs that the VM list reports gone.

        Call this after each reading of the VM list, at intervals shorter than
        `GONE_REPORT_VALIDITY_S`.
        """
        self._gone_vm_ids = frozenset(vm_ids)
        self._gone_reported_at = now
        self._update_handovers(now)

    def _update_handovers(self, now):
        """Activate handovers and remove those that have settled."""
        for handover in self._handovers:
            if handover.activated_at is None and self._have_majorities_stopped_granting(
                handover, now
            ):
                handover.activated_at = now
                self._activated_epoch = max(self._activated_epoch, handover.epoch)
            if self._have_all_released(handover) or self._has_lease_wait_passed(
                handover, now
            ):
                self._settled_epoch = max(self._settled_epoch, handover.epoch)
        self._activated_epoch = max(self._activated_epoch, self._settled_epoch)
        unsettled = [h for h in self._handovers if h.epoch > self._settled_epoch]
        self._handovers = unsettled

    def _have_majorities_stopped_granting(self, handover, now):
        """Whether majorities of all sets no longer grant leases for older views."""
        current, *previous = handover.sets
        reached = [
            self._has_process_reached(process, handover.epoch)
            for process in current.items()
        ]
        if sum(reached) < self._majority(len(current)):
            return False
        return all(
            self._has_majority_stopped_granting(member_set, handover.epoch, now)
            for member_set in previous
        )

    def _has_majority_stopped_granting(self, processes, epoch, now):
        """Whether a majority of a previous set no longer grants leases for its view."""
        stopped = [
            self._has_process_reached(process, epoch) or self._has_ended(process, now)
            for process in processes.items()
        ]
        return sum(stopped) >= self._majority(len(processes))

    def _has_ended(self, process, now):
        """Whether a process is known to have ended.

        This is so if the VM list or an operator reported it, or if another process
        of the VM has joined: that one could only bind the address after the old
        process had ended.
        """
        vm_id, incarnation = process
        if process in self.view.dead or self._is_reported_gone(process, now):
            return True
        member = self.view.members.get(vm_id)
        return member is not None and member.incarnation != incarnation

    def _is_reported_gone(self, process, now):
        """Whether the VM list confirms that a process has ended.

        The report must be recent, and the process unresponsive for
        `GONE_CONFIRMATION_S`.
        """
        if (
            process[0] not in self._gone_vm_ids
            or now - self._gone_reported_at > GONE_REPORT_VALIDITY_S
        ):
            return False
        row = self._find_process(*process)
        heard_at = -math.inf if row is None else row.heard_at
        since = max(heard_at, self._known_since.get(process, now))
        return now - since >= GONE_CONFIRMATION_S

    def _has_process_reached(self, process, epoch):
        if process == self._own_process:
            return self.epoch >= epoch
        row = self._find_process(*process)
        return row is not None and self._has_reached(row.epoch, epoch)

    def _has_reached(self, reported, epoch):
        """Whether a reported epoch, on the adopted view's branch, reaches `epoch`."""
        return reported >= epoch and self._is_current_or_ancestor(reported)

    def _have_all_released(self, handover):
        """Whether every process in the handover has reported its release."""
        epoch = handover.epoch
        return all(self._has_released(process, epoch) for process in handover.processes)

    def _has_released(self, process, epoch):
        if process == self._own_process:
            return self.released_epoch >= epoch
        row = self._find_process(*process)
        return row is not None and self._has_reached(row.released_epoch, epoch)

    def _has_lease_wait_passed(self, handover, now):
        """Whether all leases and requests of older views must have expired."""
        if handover.activated_at is None:
            return False
        return now >= handover.activated_at + LEASE_EXPIRY_WAIT_S

    # Methods that plan the next view. Each returns the view to write in place of the
    # adopted one by compare-and-swap, or None. The adopted view must be the one that
    # the caller has just read from the store.

    def plan_join(self, view, now, state=MemberState.ACTIVE):
        """Return the view in which this VM is a member, or None.

        Parameters
        ----------
        view : View or None
            As just read from the store.
        now : float
        state : MemberState
            `LEAVING` while the failure domain of this VM is out of service.
        """
        if self.vm_id in self._gone_vm_ids:
            # The VM list still reports this VM gone, so the other members could
            # take the new process for one that has ended.
            return None
        if view is not None and view.has_process(*self._own_process):
            return None
        if self.view is not None and (view is None or view.epoch != self.epoch):
            return None
        member = Member(self.incarnation, self.address, self.domain, state)
        return add_to_view(view, self.vm_id, member)

    def plan_mark_leaving(self, now):
        """Return the view in which this VM is leaving and holds no targets, or None.

        Used before a shutdown, or while the failure domain is out of service.
        """
        return self._plan_member_state(MemberState.LEAVING)

    def plan_mark_active(self, now):
        """Return the view in which this VM may hold targets again, or None."""
        return self._plan_member_state(MemberState.ACTIVE)

    def plan_leave(self, now):
        """Return the view without this VM once it has no request in flight, or None.

        The view in which this VM is leaving must have settled, or the lease expiry
        wait must have passed: otherwise the other VMs would wait for the release of
        a process that has ended.
        """
        if not self.is_member or self.is_active:
            return None
        if self.released_epoch < self.epoch:
            return None
        if not self.is_settled and now < self._adopted_at + LEASE_EXPIRY_WAIT_S:
            return None
        return self._plan_removal([self.vm_id])

    def plan_eviction(self, now):
        """Return the view without unresponsive members, or None.

        Only VMs with a lease propose this, staggered in the order of their ids.
        """
        if not self.is_active or not self.has_lease(now):
            return None
        order = self._compute_proposal_order(now)
        unresponsive = self._list_unresponsive(
            now, EVICT_AFTER_S + order * PROPOSAL_STAGGER_S
        )
        return self._plan_removal(unresponsive) if unresponsive else None

    def plan_removal_of_gone(self, now):
        """Return the view without members reported gone, or None.

        Used when no majority is left to grant a lease. The proposer needs no lease,
        because the VM list confirms that the members' processes have ended.
        """
        if not self.is_member or self.has_lease(now):
            return None
        others = [p for p in self.view.incarnations().items() if p != self._own_process]
        gone = [
            process[0] for process in others if self._is_reported_gone(process, now)
        ]
        return remove_from_view(self.view, gone) if gone else None

    def plan_cleanup(self, now):
        """Return the view after the next due eviction, removal or compaction, or None.

        The removal is that of members which the VM list reports gone.
        """
        return (
            self.plan_eviction(now)
            or self.plan_removal_of_gone(now)
            or self.plan_compaction(now)
        )

    def plan_restore(self, stored, now):
        """Return the view to write after the store lost newer views, or None.

        This is the adopted view if the store has none, or one of its ancestors. If
        the store has a view of another branch, because a VM changed the older view
        that the store returned, it is a merged view.

        Parameters
        ----------
        stored : View or None
            As just read from the store.
        now : float
        """
        if not self.is_member or (
            self.has_lease(now) and not self.is_first_proposer(now)
        ):
            return None
        if stored is None or self.view.descends_from(stored.epoch):
            return self.view
        if stored.epoch == self.epoch or self._may_adopt(stored):
            return None
        return merge_views(self.view, stored)

    def plan_groups(self, groups, now):
        """Return the view with changed replica groups, or None.

        Used after a change of the layouts in the settings.
        """
        if not self.is_first_proposer(now):
            return None
        if groups == self.view.groups:
            return None
        if normalize_groups(groups) == self.view.groups:
            return None
        return self._plan_view(self.view.members, groups=groups)

    def plan_compaction(self, now):
        """Return the view without previous sets accumulated by restarts, or None."""
        is_long = self.view is not None and len(self.view.previous) > _MAX_PREVIOUS_SETS
        if not is_long or not self.is_settled or not self.is_first_proposer(now):
            return None
        return self._plan_view(self.view.members)

    def is_first_proposer(self, now):
        """Whether this VM has a lease and the lowest id of the responsive members."""
        return (
            self.is_active
            and self.has_lease(now)
            and self._compute_proposal_order(now) == 0
        )

    def _plan_member_state(self, state):
        if not self.is_member or self.view.members[self.vm_id].state is state:
            return None
        member = self.view.members[self.vm_id].with_state(state)
        return self._plan_view({**self.view.members, self.vm_id: member})

    def _plan_removal(self, vm_ids):
        members = {k: m for k, m in self.view.members.items() if k not in vm_ids}
        return self._plan_view(members)

    def _plan_view(self, members, groups=None):
        groups = self.view.groups if groups is None else groups
        previous = self._list_previous_sets(members)
        dead = () if self.is_settled else self.view.dead
        return _make_view([self.view], members, previous, groups, dead)

    def _list_previous_sets(self, members):
        """Return the previous sets of the next view.

        The older sets are dropped once the adopted view has settled. Its activation
        does not suffice: a VM that skips the adopted view would wait only for the
        releases of the remaining members, although an evicted VM may still hold a
        lease.
        """
        replaced = self.view.incarnations()
        if self._has_released_all() and self.vm_id not in members:
            del replaced[self.vm_id]
        if self.is_settled:
            return [replaced] if replaced else []
        previous = list(self.view.previous)
        if replaced and replaced not in previous:
            previous.append(replaced)
        return previous

    def _has_released_all(self):
        return not self.is_active and self.released_epoch >= self.epoch

    def _compute_proposal_order(self, now):
        """Return the number of responsive active members with ids below this VM's."""
        unresponsive = set(self._list_unresponsive(now, EVICT_AFTER_S))
        active = self.view.list_active()
        return sum(1 for k in active if k < self.vm_id and k not in unresponsive)

    def _list_unresponsive(self, now, limit):
        """Return the ids of the other members without heartbeat for `limit` seconds.

        Time before this VM got its lease doesn't count: a VM that resumes after a
        pause has heard no heartbeats.
        """
        unresponsive = []
        for process in self.view.incarnations().items():
            row = self._find_process(*process)
            heard_at = -math.inf if row is None else row.heard_at
            since = max(heard_at, self._known_since[process], self._lease_since)
            if process[0] != self.vm_id and now - since > limit:
                unresponsive.append(process[0])
        return unresponsive


def _compute_send_offset(incarnation):
    """Return the offset in seconds that makes send times of processes differ."""
    digest = hashlib.blake2b(incarnation.encode(), digest_size=6).digest()
    return int.from_bytes(digest, "big") / 2**48 * _SEND_TIME_SPREAD_S
