"""This VM's share of the limits that apply to all VMs together.

Each VM computes its share from the list of VMs alone. The shares of all VMs add up to
less than the limit, so that the limit is kept even while some VMs still use an older
list.
"""

import collections
import zlib

from .leaders import choose_assignee, list_leaders
from .servicerollouts import SlackPart

ASSUMED_VMS = 16
"""Number of VMs assumed until the list of VMs is known."""

RETRY_SLACK_SHARE = 0.8
"""Fraction of the retry slack that is distributed. The rest covers restarts: a
restarted VM does not know how much of its share it has already spent in the current
window."""

ASSIGNED_RETRY_SHARE = 0.45
LEADER_RETRY_SHARE = 0.15
OTHERS_RETRY_SHARE = 0.15
"""Fractions of the retry slack of a wide-search shard. The first is divided among the
leaders to which the shard is assigned, one in each failure domain that has a target of
it; they normally send all its requests. The second is divided among all leaders, the
third among all VMs, which send requests to such a shard only if no leader answers."""

COLD_SHARE = 0.5
"""Fraction of a cold target's rate limit that is distributed. The rest covers requests
that were sent at different times but arrive together."""

CONNECTION_SHARE = 0.9
"""Fraction of a target's connection limit that is used. The rest covers connections
that a VM has closed but the target still counts."""

LEADER_COLD_SHARE = 0.4
OTHERS_COLD_SHARE = 0.1
"""Fractions of the rate limit of a cold wide-search target. The first is divided among
the leaders of the target's own failure domain, the second among all VMs."""

ASSIGNED_CONNECTION_SHARE = 0.12
LEADER_CONNECTION_SHARE = 0.2
"""Fractions of the connections to a wide-search target. The first is divided among the
leaders to which the shard is assigned, the second among all leaders. The others are for
VMs that receive no answer from any leader."""


class ColdLimits:
    """Limit on the request rate to a cold target, for all VMs together.

    Parameters
    ----------
    factor : float
        Factor on the `cold_rate` in the service's configuration.
    slack : float
        Requests per second that are allowed in addition.
    """

    __slots__ = ("factor", "slack")

    def __init__(self, factor, slack):
        self.factor = factor
        self.slack = slack


class FleetShares:
    """Computes one VM's share of each fleet-wide limit.

    Parameters
    ----------
    vm_id, domain : str
    retry_slack : float
        Retries and hedges allowed per service and window in addition to the ratio, over
        all VMs.
    cold_limits : ColdLimits

    Attributes
    ----------
    vm_count : int
        Number of VMs that share the limits.
    is_leader : bool
        Whether other VMs delegate shards of wide searches to this one.
    """

    __slots__ = (
        "vm_count",
        "is_leader",
        "_leaders",
        "_own_domain_leaders",
        "_vm_id",
        "_domain",
        "_rank",
        "_vms_by_domain",
        "_retry_slack",
        "_cold_limits",
    )

    def __init__(self, vm_id, domain, retry_slack, cold_limits):
        self._vm_id = vm_id
        self._domain = domain
        self._vms_by_domain = collections.Counter()
        self._retry_slack = retry_slack
        self._cold_limits = cold_limits
        self.vm_count = ASSUMED_VMS
        self.is_leader = False
        self._leaders = frozenset()
        self._own_domain_leaders = []
        self._rank = zlib.crc32(vm_id.encode())

    def set_vms(self, vms):
        """Update the list of VMs; return whether shares may change.

        Parameters
        ----------
        vms : list of fleet.VmInfo
            All VMs, sorted. A list without this VM is ignored.
        """
        vm_ids = [vm.vm_id for vm in vms]
        if self._vm_id not in vm_ids:
            return False
        rank = vm_ids.index(self._vm_id)
        vms_by_domain = collections.Counter(vm.domain for vm in vms)
        leaders = list_leaders(vms)
        is_same_place = rank == self._rank and vms_by_domain == self._vms_by_domain
        if is_same_place and leaders == self._leaders:
            return False
        self._leaders = leaders
        self._own_domain_leaders = [
            vm for vm in vms if vm.domain == self._domain and vm.vm_id in leaders
        ]
        self.is_leader = self._vm_id in leaders
        self._rank = rank
        self._vms_by_domain = vms_by_domain
        self.vm_count = len(vm_ids)
        return True

    def compute_retry_slack(self):
        """Return this VM's share of the retry slack of a service."""
        return self._retry_slack * RETRY_SLACK_SHARE / self.vm_count

    def compute_wide_retry_slack(self, service, targets):
        """Return this VM's share of the retry slack of a wide-search shard.

        Parameters
        ----------
        service : str
        targets : list of RegisteredTarget
            All usable targets of the service.
        """
        return self._retry_slack * self._compute_wide_part(service, targets)

    def compute_exposure_part(self):
        """Return this VM's `SlackPart` of the requests to a new version."""
        return SlackPart(1 / self.vm_count, self._rank, self.vm_count)

    def compute_wide_exposure_part(self, service, targets):
        """Return this VM's `SlackPart` for a new version of a wide-search shard.

        It is divided as the retry slack is.

        Parameters
        ----------
        service, targets
            As for `compute_wide_retry_slack`.
        """
        part = self._compute_wide_part(service, targets)
        return SlackPart(part, self._rank, self.vm_count)

    def _compute_wide_part(self, service, targets):
        part = OTHERS_RETRY_SHARE / self.vm_count
        if self.is_leader:
            part += LEADER_RETRY_SHARE / len(self._leaders)
        if self.is_assigned(service, targets):
            part += ASSIGNED_RETRY_SHARE / _count_domains(targets)
        return part

    def compute_cold_interval_s(self, rate):
        """Return the interval between this VM's requests to a cold target.

        Parameters
        ----------
        rate : float
            The `cold_rate` in the service's configuration, in requests per second.

        Returns
        -------
        float or None
            Seconds; None if this VM must not send any.
        """
        return self._compute_interval_s(rate, COLD_SHARE / self.vm_count)

    def compute_wide_cold_interval_s(self, rate, domain):
        """Return the interval for a cold wide-search target in a failure domain.

        Only the leaders of that domain receive the larger share. There are few of them,
        so each can send requests often enough for the target to be of use.

        Parameters
        ----------
        rate : float
            As for `compute_cold_interval_s`.
        domain : str
            Failure domain of the target.

        Returns
        -------
        float or None
            Seconds; None if this VM must not send any.
        """
        share = OTHERS_COLD_SHARE / self.vm_count
        if self.is_leader and domain == self._domain:
            share += LEADER_COLD_SHARE / len(self._own_domain_leaders)
        return self._compute_interval_s(rate, share)

    def _compute_interval_s(self, rate, share):
        limits = self._cold_limits
        allowed = (rate * limits.factor + limits.slack) * share
        return 1 / allowed if allowed > 0 else None

    def compute_connection_limit(self, max_connections, replica_count):
        """Return this VM's connection limit for each preferred target.

        Parameters
        ----------
        max_connections : int
            Connections that one target accepts.
        replica_count : int
            Number of targets of the service.
        """
        preferred_count = self._compute_preferred_count(max_connections, replica_count)
        if preferred_count < replica_count:
            return 1
        usable = max_connections * CONNECTION_SHARE
        return max(int(usable // self.vm_count), 1)

    def assign_wide_targets(self, service, targets, max_connections):
        """Choose the preferred targets of a wide-search shard.

        Parameters
        ----------
        service, targets, max_connections
            As for `choose_preferred`.

        Returns
        -------
        tuple of (list of RegisteredTarget, int)
            Preferred targets, and this VM's connection limit for each. Leaders prefer
            all targets.
        """
        if self.is_leader:
            share = LEADER_CONNECTION_SHARE / len(self._leaders)
            if self.is_assigned(service, targets):
                share += ASSIGNED_CONNECTION_SHARE / _count_domains(targets)
            usable = max_connections * CONNECTION_SHARE * share
            return list(targets), max(int(usable), 1)
        others_share = 1 - ASSIGNED_CONNECTION_SHARE - LEADER_CONNECTION_SHARE
        rest = max_connections * others_share
        return self.choose_preferred(service, targets, rest), 1

    def is_assigned(self, service, targets):
        """Return whether this VM normally sends the requests of a wide-search shard.

        It does if it is the leader of its failure domain to which the service is
        assigned, and the service has a target in that domain.
        """
        if not self.is_leader:
            return False
        if not any(t.registration.domain == self._domain for t in targets):
            return False
        return choose_assignee(service, self._own_domain_leaders).vm_id == self._vm_id

    def choose_preferred(self, service, targets, max_connections):
        """Return the targets of a service that this VM normally uses.

        If there are more VMs than connections to a target, each VM uses a subset: one
        target in its own failure domain, if the connection limit permits that, and
        further ones chosen by the VM's rank in the list of VMs, which spreads the VMs
        evenly over the targets.

        Parameters
        ----------
        service : str
        targets : list of RegisteredTarget
            All targets of the service, in the same order on all VMs.
        max_connections : int
            Connections that one target accepts.
        """
        total = len(targets)
        preferred_count = self._compute_preferred_count(max_connections, total)
        if preferred_count >= total:
            return list(targets)
        first = self._rank + zlib.crc32(service.encode())
        local = [t for t in targets if t.registration.domain == self._domain]
        if local and self._can_prefer_local(targets, preferred_count, max_connections):
            local_target = local[first % len(local)]
            rest = [target for target in targets if target is not local_target]
            return [local_target, *_select_cyclic(rest, first, preferred_count - 1)]
        return _select_cyclic(targets, first, preferred_count)

    def _can_prefer_local(self, targets, preferred_count, max_connections):
        """Return whether all VMs can prefer a target in their own failure domain.

        They can if no target is expected to receive more connections than the usable
        fraction of its limit.
        """
        total = len(targets)
        targets_per_domain = collections.Counter(t.registration.domain for t in targets)
        vms_with_local = sum(
            self._vms_by_domain[domain] for domain in targets_per_domain
        )
        vms_without_local = self.vm_count - vms_with_local
        for domain, count in targets_per_domain.items():
            domain_vms = self._vms_by_domain[domain]
            expected_connections = domain_vms / count
            expected_connections += (
                (vms_with_local - domain_vms) * (preferred_count - 1) / (total - 1)
            )
            expected_connections += vms_without_local * preferred_count / total
            if expected_connections > max_connections * CONNECTION_SHARE:
                return False
        return True

    def _compute_preferred_count(self, max_connections, replica_count):
        usable = max_connections * CONNECTION_SHARE * replica_count
        return max(min(int(usable // self.vm_count), replica_count), 1)


def _count_domains(targets):
    return len({target.registration.domain for target in targets})


def _select_cyclic(items, first, count):
    return [items[(first + step) % len(items)] for step in range(count)]
