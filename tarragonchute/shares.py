"""This VM's part of the allowances that all VMs share.

Each part follows from the list of VMs alone. Parts add up to less than the whole, so
that VMs with lists of different age stay within it together.
"""

import zlib

ASSUMED_VMS = 16
"""VMs that are assumed until the list is known."""

RETRY_SLACK_SHARE = 0.8
"""Part of the retry slack that is used. A VM that restarts has forgotten what its
predecessor spent within the window."""

COLD_SHARE = 0.5
"""Part of a cold target's allowance that is used. The rest covers requests that were
sent at intervals and arrive together."""

CONNECTION_SHARE = 0.9
"""Part of a target's connections that is used. The rest covers closes that have not
reached the target yet."""


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
    vm_id : str
    retry_slack : float
        Extra requests of one service in a window, for all VMs together.
    cold_limits : ColdLimits

    Attributes
    ----------
    vms : int
        VMs that share the allowances.
    """

    __slots__ = ("vms", "_vm_id", "_rank", "_retry_slack", "_cold_limits")

    def __init__(self, vm_id, retry_slack, cold_limits):
        self._vm_id = vm_id
        self._retry_slack = retry_slack
        self._cold_limits = cold_limits
        self.vms = ASSUMED_VMS
        self._rank = zlib.crc32(vm_id.encode())

    def set_vms(self, vm_ids):
        """Take the sorted ids of all VMs; return whether anything changed."""
        if self._vm_id not in vm_ids:
            return False
        rank = vm_ids.index(self._vm_id)
        if (rank, len(vm_ids)) == (self._rank, self.vms):
            return False
        self._rank = rank
        self.vms = len(vm_ids)
        return True

    def count_retry_slack(self):
        """Return the extra requests of one service in a window."""
        return self._retry_slack * RETRY_SLACK_SHARE / self.vms

    def find_cold_interval_s(self, rate):
        """Return the time between two requests to a cold target, or None for never.

        Parameters
        ----------
        rate : float
            Requests a second that the service's configuration states.
        """
        limits = self._cold_limits
        allowed = (rate * limits.factor + limits.slack) * COLD_SHARE
        return self.vms / allowed if allowed > 0 else None

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

    def prefer(self, service, targets, max_connections):
        """Return those targets of a service that this VM normally uses.

        With more VMs than a target has connections, each VM uses some of the targets.
        The ranks of the VMs deal the targets out evenly.

        Parameters
        ----------
        service : str
        targets : list
            All targets of the service, in an order that all VMs share.
        max_connections : int
        """
        total = len(targets)
        chosen = self._count_preferred(max_connections, total)
        if chosen >= total:
            return list(targets)
        first = self._rank + zlib.crc32(service.encode())
        return [targets[(first + step) % total] for step in range(chosen)]

    def _count_preferred(self, max_connections, replicas):
        usable = max_connections * CONNECTION_SHARE * replicas
        return max(min(int(usable // self.vms), replicas), 1)
