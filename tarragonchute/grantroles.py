"""Which VMs may grant tokens of a customer's allowance, and when.

Each customer has one grantor, and a deputy in some failure domains that grants from a
small part of its own while the grantor does not answer. Every VM derives them from the
list of VMs by rendezvous hashing among the leaders, so nobody elects them.
"""

import math

from .leaders import hash_to_fraction, list_leaders

HANDOVER_S = 6.0
"""Time that a VM waits before it grants after it has become first in its own list. The
VM before it continues for `CONTINUE_S`, lists may differ by a second, and tokens have
a lease of 2 s (`grants.TOKEN_LEASE_S`)."""

EXPIRED_HANDOVER_S = 3.0
"""Time that a VM waits if the key of the grantor before it has expired. That one stops
as soon as it learns of this, up to 1.5 s later through a relay."""

CONTINUE_S = 3.0
"""Time for which a VM continues to grant after it has seen that another is first."""

RELIST_S = 3.0
"""Time that a grantor waits after it was out of contact with the store or paused, until
its list of VMs is certainly current again."""

MIN_DEPUTY_PART = 2.0
"""Smallest part of a deputy per window. Tokens are whole, so a deputy with a smaller
part could grant almost none; there are then fewer deputies than failure domains."""


class CustomerRoles:
    """Grantor and deputies of one customer, by this VM's list of VMs.

    Attributes
    ----------
    grantor_id : str or None
        None if no VM accepts channels.
    previous_id : str or None
        The grantor before; it may continue until `CONTINUE_S` after `changed_at`.
    changed_at : float
        Time when the grantor changed; minus infinity if it has not since the start.
    continued_since : float
        If this VM is the one before, the time since which it has had authority.
    deputy_ids : dict of str to str
        VM id of the deputy by failure domain, in the order in which a VM without a
        deputy in its own domain asks them.
    """

    __slots__ = (
        "grantor_id",
        "previous_id",
        "changed_at",
        "continued_since",
        "deputy_ids",
    )

    def __init__(self):
        self.grantor_id = None
        self.previous_id = None
        self.changed_at = -math.inf
        self.continued_since = math.inf
        self.deputy_ids = {}


def rank_candidates(customer_name, vms):
    """Return the VMs in the order in which they become grantor of a customer."""
    return sorted(
        vms,
        key=lambda vm: hash_to_fraction(f"{customer_name} {vm.vm_id}"),
        reverse=True,
    )


def choose_deputies(ranked_vms, max_deputies):
    """Return the deputies of a customer by failure domain.

    A failure domain whose only leader is the grantor has this one as its deputy. The
    part of the deputy is granted even without authority, so that a fleet of one VM
    serves something at any time.

    Parameters
    ----------
    ranked_vms : list of fleet.VmInfo
        As `rank_candidates` returns them.
    max_deputies : int
    """
    deputy_ids = {}
    for vm in ranked_vms[1:] + ranked_vms[:1]:
        deputy_ids.setdefault(vm.domain, vm.vm_id)
    return dict(list(deputy_ids.items())[:max_deputies])


class RoleTable:
    """The roles of all VMs for the limited customers.

    Parameters
    ----------
    own_id : str
    key_lease : fleet.KeyLease
        Without a valid lease of its key, this VM has no authority as grantor.

    Attributes
    ----------
    vm_count : int
        Number of VMs present.
    """

    __slots__ = (
        "vm_count",
        "_own_id",
        "_key_lease",
        "_present_ids",
        "_leaders",
        "_leaders_changed_at",
        "_started_at",
        "_max_deputies",
        "_roles",
    )

    def __init__(self, own_id, key_lease):
        self.vm_count = 1
        self._own_id = own_id
        self._key_lease = key_lease
        self._present_ids = frozenset()
        self._leaders = None
        self._leaders_changed_at = -math.inf
        self._started_at = -math.inf
        self._max_deputies = {}
        self._roles = {}

    def set_vms(self, vms, now):
        """Update the list of present VMs; return whether the leaders have changed."""
        self.vm_count = len(vms)
        self._present_ids = frozenset(vm.vm_id for vm in vms)
        # A VM of an earlier version, or without the settings, cannot be asked.
        vms = [vm for vm in vms if vm.keeps_allowances]
        leader_ids = list_leaders(vms)
        leaders = {vm.vm_id: vm for vm in vms if vm.vm_id in leader_ids}
        self._key_lease.is_needed = self._own_id in leaders
        domains = {vm_id: vm.domain for vm_id, vm in leaders.items()}
        if self._leaders is not None:
            if domains == {vm_id: vm.domain for vm_id, vm in self._leaders.items()}:
                self._leaders = leaders
                return False
            self._leaders_changed_at = now
        else:
            # The first list says nothing about the time before the start; that follows
            # from `fleet.KeyLease.since`.
            self._started_at = now
        self._leaders = leaders
        for name, roles in self._roles.items():
            self._update(name, roles, now)
        return True

    def set_max_deputies(self, customer_name, max_deputies, now):
        """Set the number of deputies that a customer's allowance pays for."""
        if self._max_deputies.get(customer_name) != max_deputies:
            self._max_deputies[customer_name] = max_deputies
            roles = self._roles.get(customer_name)
            if roles is not None:
                self._update(customer_name, roles, now)

    def remove(self, customer_name):
        """Forget a customer that has no limit any more."""
        self._roles.pop(customer_name, None)
        self._max_deputies.pop(customer_name, None)

    def get(self, customer_name, now):
        """Return the `CustomerRoles` of a customer."""
        roles = self._roles.get(customer_name)
        if roles is None:
            roles = self._roles[customer_name] = CustomerRoles()
            self._update(customer_name, roles, now)
            # This VM was not asked for the customer before. It may have been first
            # since the leaders changed, but not longer.
            roles.changed_at = self._leaders_changed_at
        return roles

    def list_vms(self):
        """Return the VMs that may have a role, by id."""
        return self._leaders or {}

    def compute_wait_s(self, customer_name, now):
        """Return the time until this VM has authority as grantor; 0 if it has it.

        Infinity if it is not the grantor or its lease is not valid.
        """
        roles = self.get(customer_name, now)
        if not self._key_lease.is_valid(now):
            return math.inf
        if roles.grantor_id == self._own_id:
            return max(self._compute_begin(roles) - now, 0.0)
        is_continuing = (
            roles.previous_id == self._own_id and now < roles.changed_at + CONTINUE_S
        )
        return 0.0 if is_continuing else math.inf

    def get_granting_since(self, customer_name, now):
        """Return the time since which this VM, which has authority, has had it.

        A process whose key was in the store before has had it since its start.
        """
        roles = self.get(customer_name, now)
        if roles.grantor_id is None:
            return self._started_at
        if roles.grantor_id != self._own_id:
            return roles.continued_since
        return max(self._compute_begin(roles), self._started_at)

    def count_held(self, now):
        """Return the number of customers that have this VM as grantor."""
        names = list(self._roles)
        return sum(self.compute_wait_s(name, now) == 0.0 for name in names)

    def _compute_begin(self, roles):
        """Return the time from which this VM, which is first, has authority."""
        key_lease = self._key_lease
        return max(
            roles.changed_at + HANDOVER_S,
            key_lease.since + HANDOVER_S,
            key_lease.valid_since + RELIST_S,
        )

    def _update(self, customer_name, roles, now):
        ranked = rank_candidates(customer_name, (self._leaders or {}).values())
        grantor_id = ranked[0].vm_id if ranked else None
        if grantor_id != roles.grantor_id:
            self._change_grantor(customer_name, roles, grantor_id, now)
        max_deputies = self._max_deputies.get(customer_name, len(ranked))
        roles.deputy_ids = choose_deputies(ranked, max_deputies)

    def _change_grantor(self, customer_name, roles, grantor_id, now):
        """Replace the grantor, and remember the one that may continue to grant.

        A VM that is first again while its successor still waits has never lost its
        authority. A VM that waits itself when another becomes first does not continue.
        """
        was_granting = (
            roles.grantor_id == self._own_id
            and self.compute_wait_s(customer_name, now) == 0.0
        )
        if was_granting:
            roles.continued_since = self.get_granting_since(customer_name, now)
        is_back = (
            grantor_id == self._own_id
            and roles.previous_id == self._own_id
            and now < roles.changed_at + CONTINUE_S
        )
        is_other_before = roles.grantor_id not in (None, self._own_id)
        roles.previous_id = (
            roles.grantor_id if was_granting or is_other_before else None
        )
        roles.changed_at = -math.inf if is_back else now
        if is_other_before and roles.grantor_id not in self._present_ids:
            roles.previous_id = None
            roles.changed_at = now - HANDOVER_S + EXPIRED_HANDOVER_S
        roles.grantor_id = grantor_id
