"""Assignment of targets to active members by rendezvous hashing."""

import functools
import hashlib

_SCORE_BYTES = 8

_MAX_CACHED_SCORES = 131_072
"""Enough for 10 members and 13,000 targets; the cache then takes about 20 MB."""


@functools.lru_cache(maxsize=_MAX_CACHED_SCORES)
def score(target_id, vm_id):
    """Return the 64-bit rendezvous score of a VM for a target."""
    text = f"{target_id}\0{vm_id}".encode()
    digest = hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank(target_id, vm_ids):
    """Return the VMs by descending score for a target; ties go to the lower id."""
    return sorted(vm_ids, key=lambda vm_id: (-score(target_id, vm_id), vm_id))


def assign_holders(groups, vm_ids):
    """Assign each target to one VM.

    The replicas of one shard get different holders if there are enough members.
    The result is independent of the order of the groups and of the VMs. When a VM
    joins or leaves, only the targets that it gains or loses move, and occasionally
    a replica whose sibling (another replica of one of its shards) moved to its
    holder.

    Parameters
    ----------
    groups : iterable of iterable of str
        Each group contains the ids of the targets that serve one shard. A target
        may be in several groups.
    vm_ids : iterable of str
        Active members of the view.

    Returns
    -------
    dict of str to str
        Target id to vm_id; empty if there are no members.
    """
    members = sorted(set(vm_ids))
    if not members:
        return {}
    holders = {}
    siblings = _find_siblings(groups)
    for target_id in sorted(siblings):
        sibling_holders = _list_sibling_holders(target_id, siblings, holders)
        holders[target_id] = _choose_holder(target_id, members, sibling_holders)
    return holders


def update_holders(groups, vm_ids, current):
    """Assign each target to one VM, moving as few targets as possible.

    A target keeps its holder while that VM is a member and holds no other replica of
    the same shards. A member without targets gains those for which it ranks first.
    With `assign_holders` alone, the crash of one of three VMs moved both replicas of
    17% of the shards: the replica that had lost its holder was assigned to the
    holder of the other replica, which therefore moved as well. Such a shard is
    unavailable until the handover of one of them has ended.

    Parameters
    ----------
    groups, vm_ids : see `assign_holders`
    current : dict of str to str
        Target id to vm_id in the preceding view.

    Returns
    -------
    dict of str to str
        Target id to vm_id. The function is idempotent: with this result as
        `current` it returns the same.
    """
    members = sorted(set(vm_ids))
    siblings = _find_siblings(groups) if members else {}
    members_without_targets = set(members) - set(current.values())
    holders = {}
    for target_id in sorted(siblings):
        sibling_holders = _list_sibling_holders(target_id, siblings, holders)
        first = _find_first(target_id, members) if members_without_targets else None
        candidates = [first] if first in members_without_targets else []
        for vm_id in [*candidates, current.get(target_id)]:
            if vm_id in members and vm_id not in sibling_holders:
                holders[target_id] = vm_id
                break
    for target_id in sorted(siblings.keys() - holders.keys()):
        sibling_holders = _list_sibling_holders(target_id, siblings, holders)
        holders[target_id] = _reassign_holder(
            target_id, members, sibling_holders, current
        )
    return holders


def _find_first(target_id, members):
    return max(members, key=lambda vm_id: score(target_id, vm_id))


def _list_sibling_holders(target_id, siblings, holders):
    return [holders[other] for other in siblings[target_id] if other in holders]


def _reassign_holder(target_id, members, sibling_holders, current):
    """Choose a holder, but keep the current one if every member holds a sibling."""
    vm_id = current.get(target_id)
    if vm_id in members and all(other in sibling_holders for other in members):
        return vm_id
    return _choose_holder(target_id, members, sibling_holders)


def _find_siblings(groups):
    """Return a dict of each target to the others that share a group with it."""
    siblings = {}
    for group in {frozenset(group) for group in groups}:
        for target_id in group:
            siblings.setdefault(target_id, set()).update(group - {target_id})
    return siblings


def _choose_holder(target_id, members, sibling_holders):
    """Return the highest-scoring member of those that hold the fewest siblings."""
    free = [vm_id for vm_id in members if vm_id not in sibling_holders]
    if free:
        return max(free, key=lambda vm_id: score(target_id, vm_id))
    ranked = rank(target_id, members)
    return min(ranked, key=sibling_holders.count)


class HeldTargets:
    """Targets that one VM holds, and the epoch at which it gained each.

    Parameters
    ----------
    vm_id : str
        This VM.

    Attributes
    ----------
    gained_epochs : dict of str to int
        Held target to the epoch at which it was gained, for
        `Membership.may_serve`.
    """

    __slots__ = ("_vm_id", "gained_epochs")

    def __init__(self, vm_id):
        self._vm_id = vm_id
        self.gained_epochs = {}

    def update(self, holders, epoch, is_direct_successor):
        """Apply the assignment of a newly adopted view.

        Parameters
        ----------
        holders : dict of str to str
            `View.holders` of the view.
        epoch : int
            Epoch of the view.
        is_direct_successor : bool
            `Membership.is_direct_successor`. If views were skipped, another VM may have
            held any target in between, so all targets count as newly gained.

        Returns
        -------
        set of str
            Targets that are no longer held.
        """
        former_epochs = self.gained_epochs
        held = [target for target, vm_id in holders.items() if vm_id == self._vm_id]
        kept_epochs = former_epochs if is_direct_successor else {}
        self.gained_epochs = {target: kept_epochs.get(target, epoch) for target in held}
        return set(former_epochs) - set(self.gained_epochs)

    def may_report_release(self, in_flight):
        """Whether this VM has released all targets that it lost up to the last update.

        If so, the caller may call `Membership.record_release` with the epoch of the
        last update.

        A request sent before the target was lost prevents the release even if the
        target has been gained again: the holder in between may still be waiting for
        this release.

        Parameters
        ----------
        in_flight : iterable of (str, int)
            For each unfinished request, its target and the target's value in
            `gained_epochs` when the request was dispatched.
        """
        return all(
            self.gained_epochs.get(target) == epoch for target, epoch in in_flight
        )
