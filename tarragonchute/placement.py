"""Which member holds which target: rendezvous hashing over the active members."""

import functools
import hashlib

_SCORE_BYTES = 8

_MAX_CACHED_SCORES = 131_072
"""Scores of 10 members for 13,000 targets, about 20 MB."""


@functools.lru_cache(maxsize=_MAX_CACHED_SCORES)
def score(target_id, vm_id):
    """Return the 64-bit rendezvous score of a VM for a target."""
    text = f"{target_id}\0{vm_id}".encode()
    digest = hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
    return int.from_bytes(digest, "big")


def rank(target_id, vm_ids):
    """Return the VMs by falling score for a target; ties fall to the lower id."""
    return sorted(vm_ids, key=lambda vm_id: (-score(target_id, vm_id), vm_id))


def assign_holders(layout_groups, vm_ids):
    """Assign each target to one VM.

    The replicas of one shard get different holders wherever there are enough
    members. The result depends on neither the order of the groups nor that of the
    VMs. When a VM joins or leaves, the targets that move are those that the VM
    gains or loses, and now and then a replica that has to make room for one.

    Parameters
    ----------
    layout_groups : iterable of iterable of str
        Each group has the ids of the targets that serve one shard. A target may
        be in several groups.
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
    siblings = _find_siblings(layout_groups)
    for target_id in sorted(siblings):
        sibling_holders = _list_sibling_holders(target_id, siblings, holders)
        holders[target_id] = _choose_holder(target_id, members, sibling_holders)
    return holders


def update_holders(layout_groups, vm_ids, current):
    """Assign each target to one VM, and move as few as possible.

    A target stays where it is while its holder is a member and holds no other
    replica of the same shards. A member that holds nothing yet gains the targets
    for which it ranks first. With `assign_holders` alone, the crash of one of
    three VMs moved both replicas of 17% of the shards, because the second one had
    to make room; both are unserved during a hand-over.

    Parameters
    ----------
    layout_groups, vm_ids : see `assign_holders`
    current : dict of str to str
        The assignment of the view before.

    Returns
    -------
    dict of str to str
        Target id to vm_id. Given back as `current` it stays the same.
    """
    members = sorted(set(vm_ids))
    siblings = _find_siblings(layout_groups) if members else {}
    newcomers = set(members) - set(current.values())
    holders = {}
    for target_id in sorted(siblings):
        sibling_holders = _list_sibling_holders(target_id, siblings, holders)
        first = _find_first(target_id, members) if newcomers else None
        candidates = [first] if first in newcomers else []
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
    """Choose among members; with too few for all replicas, keep the holder."""
    vm_id = current.get(target_id)
    if vm_id in members and all(other in sibling_holders for other in members):
        return vm_id
    return _choose_holder(target_id, members, sibling_holders)


def _find_siblings(layout_groups):
    """Map each target to the others with which it shares a group."""
    siblings = {}
    for group in {frozenset(group) for group in layout_groups}:
        for target_id in group:
            siblings.setdefault(target_id, set()).update(group - {target_id})
    return siblings


def _choose_holder(target_id, members, sibling_holders):
    """Return the best-ranked member that holds the fewest sibling replicas."""
    free = [vm_id for vm_id in members if vm_id not in sibling_holders]
    if free:
        return max(free, key=lambda vm_id: score(target_id, vm_id))
    ranked = rank(target_id, members)
    return min(ranked, key=sibling_holders.count)


class HeldTargets:
    """The targets that one VM holds, and the epoch at which it gained each.

    Parameters
    ----------
    vm_id : str
        This VM.

    Attributes
    ----------
    gained : dict of str to int
        Held target to the epoch to pass to `Membership.may_serve`.
    """

    __slots__ = ("_vm_id", "gained")

    def __init__(self, vm_id):
        self._vm_id = vm_id
        self.gained = {}

    def update(self, holders, epoch, is_continuous):
        """Take the assignment of a newly adopted view.

        Parameters
        ----------
        holders : dict of str to str
            Result of `assign_holders` for the view.
        epoch : int
            Epoch of the view.
        is_continuous : bool
            `Membership.is_continuous`. If epochs were skipped, another VM may have
            held any target in between, so all targets count as gained.

        Returns
        -------
        set of str
            Targets that are no longer held.
        """
        before = self.gained
        held = [target for target, vm_id in holders.items() if vm_id == self._vm_id]
        kept = before if is_continuous else {}
        self.gained = {target: kept.get(target, epoch) for target in held}
        return set(before) - set(self.gained)

    def may_report_release(self, in_flight):
        """Whether this VM may report `Membership.record_release` for the epoch.

        A request that was sent before the target was lost counts against it even
        if the target has been gained again: the holder in between may still be
        waiting for the release.

        Parameters
        ----------
        in_flight : iterable of (str, int)
            Target, and `gained` of the target when the request was admitted, of
            each request that is not finished.
        """
        return all(self.gained.get(target) == epoch for target, epoch in in_flight)
