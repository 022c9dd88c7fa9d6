"""This VM's part of the allowances that all VMs share.

Each part follows from the list of VMs alone. Parts add up to less than the whole, so
that VMs with lists of different age stay within it together.
"""

import collections
import zlib

from .leaders import list_leaders

ASSUMED_VMS = 16
"""VMs that are assumed until the list is known."""

RETRY_SLACK_SHARE = 0.8
"""Part of the retry slack that is used. A VM that restarts has forgotten what its
predecessor spent within the window."""

LEADER_RETRY_SHARE = 0.65
OTHERS_RETRY_SHARE = 0.15
"""Parts of the retry slack of a shard of wide searches for the leaders, and for all
VMs, which ask such a shard only if no leader answers."""

COLD_SHARE = 0.5
"""Part of a cold target's allowance that is used. The rest covers requests that were
sent at intervals and arrive together."""

CONNECTION_SHARE = 0.9
"""Part of a target's connections that is used. The rest covers closes that have not
reached the target yet."""

LEADER_COLD_SHARE = 0.4
OTHERS_COLD_SHARE = 0.1
"""Parts of the allowance of a cold shard of wide searches for the leaders of its own
failure domain, and for all VMs."""

LEADER_CONNECTION_SHARE = 0.5
"""Part of the used connections to a shard of wide searches that the leaders divide.
The others are for VMs that no leader answers."""


class ColdLimits:
    """Bound on the requests a second to a cold target, from all VMs together.

    Parameters
    ----------
    factor : float
        Applies to the rate that the service's configuration states.
    slack : float
        Requests a second that are added.
    """

    __slots__ = ("factor", "slack")

    def __init__(self, factor, slack):
        self.factor = factor
        self.slack = slack


class FleetShares:
    """The parts of one VM.

    Parameters
    ----------
    vm_id, domain : str
    retry_slack : float
        Extra requests of one service in a window, for all VMs together.
    cold_limits : ColdLimits

    Attributes
    ----------
    vms : int
        VMs that share the allowances.
    is_leader : bool
        Whether this VM asks the shards of wide searches for others.
    """

    __slots__ = (
        "vms",
        "is_leader",
        "_leaders",
        "_domain_leaders",
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
        self.vms = ASSUMED_VMS
        self.is_leader = False
        self._leaders = frozenset()
        self._domain_leaders = 0
        self._rank = zlib.crc32(vm_id.encode())

    def set_vms(self, vms):
        """Take the `fleet.VmInfo` of all VMs, sorted; return whether it matters."""
        vm_ids = [vm.vm_id for vm in vms]
        if self._vm_id not in vm_ids:
            return False
        rank = vm_ids.index(self._vm_id)
        by_domain = collections.Counter(vm.domain for vm in vms)
        leaders = list_leaders(vms)
        is_same_place = rank == self._rank and by_domain == self._vms_by_domain
        if is_same_place and leaders == self._leaders:
            return False
        self._leaders = leaders
        self._domain_leaders = sum(
            vm.domain == self._domain and vm.vm_id in leaders for vm in vms
        )
        self.is_leader = self._vm_id in leaders
        self._rank = rank
        self._vms_by_domain = by_domain
        self.vms = len(vm_ids)
        return True

    def count_retry_slack(self):
        """Return the extra requests of one service in a window."""
        return self._retry_slack * RETRY_SLACK_SHARE / self.vms

    def count_wide_retry_slack(self):
        """Return those of a shard of wide searches."""
        slack = OTHERS_RETRY_SHARE / self.vms
        if self.is_leader:
            slack += LEADER_RETRY_SHARE / len(self._leaders)
        return self._retry_slack * slack

    def find_cold_interval_s(self, rate):
        """Return the time between two requests to a cold target, or None for never.

        Parameters
        ----------
        rate : float
            Requests a second that the service's configuration states.
        """
        return self._find_interval_s(rate, COLD_SHARE / self.vms)

    def find_wide_cold_interval_s(self, rate, domain):
        """Return that for a cold shard of wide searches in a failure domain.

        Its own domain has few leaders, so that each of them can send often enough to
        be of use.
        """
        share = OTHERS_COLD_SHARE / self.vms
        if self.is_leader and domain == self._domain:
            share += LEADER_COLD_SHARE / self._domain_leaders
        return self._find_interval_s(rate, share)

    def _find_interval_s(self, rate, share):
        limits = self._cold_limits
        allowed = (rate * limits.factor + limits.slack) * share
        return 1 / allowed if allowed > 0 else None

    def count_connections(self, max_connections, replicas):
        """Return the connections to each target that `prefer` chooses.

        Parameters
        ----------
        max_connections : int
            Connections that one target accepts.
        replicas : int
            Targets of the service.
        """
        chosen = self._count_preferred(max_connections, replicas)
        if chosen < replicas:
            return 1
        usable = max_connections * CONNECTION_SHARE
        return max(int(usable // self.vms), 1)

    def arrange_wide(self, service, targets, max_connections):
        """Return the preferred targets of a shard of wide searches.

        Parameters
        ----------
        service, targets, max_connections
            As for `prefer`.

        Returns
        -------
        tuple of (list of RegisteredTarget, int)
            Targets, and connections to each of them. Leaders use all targets.
        """
        for_leaders = max_connections * LEADER_CONNECTION_SHARE
        if self.is_leader:
            usable = for_leaders * CONNECTION_SHARE
            return list(targets), max(int(usable // len(self._leaders)), 1)
        rest = max_connections - for_leaders
        return self.prefer(service, targets, rest), 1

    def prefer(self, service, targets, max_connections):
        """Return those targets of a service that this VM normally uses.

        With more VMs than a target has connections, each VM uses some of the targets:
        one in its own failure domain, if that leaves enough connections, and others
        by the ranks of the VMs, which deal the targets out evenly.

        Parameters
        ----------
        service : str
        targets : list of RegisteredTarget
            All targets of the service, in an order that all VMs share.
        max_connections : int
        """
        total = len(targets)
        chosen = self._count_preferred(max_connections, total)
        if chosen >= total:
            return list(targets)
        first = self._rank + zlib.crc32(service.encode())
        local = [t for t in targets if t.registration.domain == self._domain]
        if local and self._fits_local_first(targets, chosen, max_connections):
            near = local[first % len(local)]
            rest = [target for target in targets if target is not near]
            return [near, *_take_cyclic(rest, first, chosen - 1)]
        return _take_cyclic(targets, first, chosen)

    def _fits_local_first(self, targets, chosen, max_connections):
        """Whether each target bears it if all VMs prefer one in their domain."""
        total = len(targets)
        per_domain = collections.Counter(t.registration.domain for t in targets)
        near_vms = sum(self._vms_by_domain[domain] for domain in per_domain)
        far_vms = self.vms - near_vms
        for domain, count in per_domain.items():
            own_vms = self._vms_by_domain[domain]
            expected = own_vms / count
            expected += (near_vms - own_vms) * (chosen - 1) / (total - 1)
            expected += far_vms * chosen / total
            if expected > max_connections * CONNECTION_SHARE:
                return False
        return True

    def _count_preferred(self, max_connections, replicas):
        usable = max_connections * CONNECTION_SHARE * replicas
        return max(min(int(usable // self.vms), replicas), 1)


def _take_cyclic(items, first, count):
    return [items[(first + step) % len(items)] for step in range(count)]
