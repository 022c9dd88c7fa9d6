"""Which VMs search the shards of wide searches for the others.

A search over dozens of shards costs a small VM more time than its targets need, and a
VM that asks each target once in many seconds neither learns which of them is slow nor
has a useful part of the retry budget. So a few VMs of each failure domain, the fastest
ones, ask the targets for all the others. All VMs derive them from the list of VMs.
"""

import collections
import hashlib
import math

WIDE_SHARDS = 48
"""Shards from which a search is shared. One of 30 shards costs a VM with one core 2 to
3 ms, about as much as asking another VM."""

VMS_PER_LEADER = 16
LEAST_LEADERS = 2
"""Leaders of a failure domain: one in so many VMs, and at least so many, so that a
domain keeps one when a VM is lost."""

SHARD_CPU_S = 90e-6
"""Processor time of a shard request on one core, from bench.fanout."""

SHARD_BITS = 9600
"""Usual size of a shard's reply with its headers."""


def estimate_rate(cores, link_mbps):
    """Return the shard requests a second that a VM can make, one after the other.

    Parameters
    ----------
    cores : float
        Processor time a second that the VM has.
    link_mbps : float
        Bandwidth of its link, in Mbit/s.
    """
    return 1 / (SHARD_CPU_S / cores + SHARD_BITS / (link_mbps * 1e6))


def rank_vms(vms):
    """Return the VMs that can search for others, the fastest ones first."""
    able = [vm for vm in vms if vm.search_address]
    return sorted(able, key=lambda vm: (-vm.rate, hash_text(vm.vm_id), vm.vm_id))


def count_leaders(vms):
    """Return the number of leaders among so many VMs of a failure domain."""
    return min(vms, max(LEAST_LEADERS, math.ceil(vms / VMS_PER_LEADER)))


def list_leaders(vms):
    """Return the ids of the leaders of all failure domains, as a set."""
    by_domain = collections.defaultdict(list)
    for vm in vms:
        by_domain[vm.domain].append(vm)
    ids = set()
    for members in by_domain.values():
        ranked = rank_vms(members)
        ids.update(vm.vm_id for vm in ranked[: count_leaders(len(ranked))])
    return ids


def assign_shards(services, vms):
    """Deal services out to VMs by their rates, the same way for each caller.

    A VM that is added or removed moves only services of its own.

    Parameters
    ----------
    services : tuple of str
    vms : list of fleet.VmInfo

    Returns
    -------
    dict of str to list of str
        Services by VM id.
    """
    assigned = {vm.vm_id: [] for vm in vms}
    for service in services:
        best = max(vms, key=lambda vm: _weigh(service, vm))
        assigned[best.vm_id].append(service)
    return {vm_id: names for vm_id, names in assigned.items() if names}


def _weigh(service, vm):
    """Weighted rendezvous hashing."""
    return -vm.rate / math.log(hash_text(f"{service} {vm.vm_id}"))


def hash_text(text):
    """Return a number between 0 and 1, without both."""
    digest = hashlib.blake2b(text.encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 0.5) / (1 << 48)
