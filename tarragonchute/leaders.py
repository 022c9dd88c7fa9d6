"""Choice of the leaders: the VMs that search the shards of wide searches for others.

A search over dozens of shards takes a small VM longer than it takes the targets. A VM
that rarely sends a request to a given target also cannot tell whether it is slow, and
its part of the retry budget is too small to be useful. So a few VMs of each failure
domain, the fastest ones, send the shard requests for all the others. Every VM computes
the leaders from the list of VMs, so all agree without exchanging messages.
"""

import collections
import hashlib
import math

MIN_WIDE_SEARCH_SHARDS = 48
"""Smallest number of shards at which a search is delegated to leaders. A search over 30
shards costs a VM with one core 2 to 3 ms, about as much as delegating it."""

VMS_PER_LEADER = 16
MIN_LEADERS = 2
"""A failure domain has one leader per `VMS_PER_LEADER` VMs, but at least `MIN_LEADERS`,
so that it still has one when a VM fails."""

SHARD_CPU_S = 90e-6
"""Processor time that one shard request takes on one core; see bench.fanout."""

SHARD_BITS = 9600
"""Typical size of a shard reply with its headers, in bits."""


def estimate_rate(cores, link_mbps):
    """Return the number of shard requests per second that a VM can make.

    Parameters
    ----------
    cores : float
        Processor seconds per second that the VM may use.
    link_mbps : float
        Network bandwidth of the VM, in Mbit/s.
    """
    return 1 / (SHARD_CPU_S / cores + SHARD_BITS / (link_mbps * 1e6))


def rank_vms(vms):
    """Return the VMs that accept subsearches, sorted by rate, fastest first.

    Equal rates are ordered by a hash of the VM id.
    """
    accepting = [vm for vm in vms if vm.search_address]
    return sorted(
        accepting, key=lambda vm: (-vm.rate, hash_to_fraction(vm.vm_id), vm.vm_id)
    )


def count_leaders(vm_count):
    """Return the number of leaders of a failure domain with `vm_count` VMs."""
    return min(vm_count, max(MIN_LEADERS, math.ceil(vm_count / VMS_PER_LEADER)))


def list_leaders(vms):
    """Return the set of the VM ids of the leaders of all failure domains."""
    by_domain = collections.defaultdict(list)
    for vm in vms:
        by_domain[vm.domain].append(vm)
    leader_ids = set()
    for domain_vms in by_domain.values():
        ranked = rank_vms(domain_vms)
        leader_ids.update(vm.vm_id for vm in ranked[: count_leaders(len(ranked))])
    return leader_ids


def order_domains(served_domains, own_domain, vm_id):
    """Return the failure domains whose leaders a VM uses, its own one first.

    The own domain is left out if only others have targets of wide searches.

    Parameters
    ----------
    served_domains : set of str
        Domains with targets of wide searches.
    own_domain, vm_id : str
        Of the VM; the order of the other domains differs from VM to VM.
    """
    others = sorted(
        served_domains - {own_domain},
        key=lambda domain: hash_to_fraction(domain + vm_id),
    )
    if own_domain in served_domains or not others:
        return [own_domain, *others]
    return others


def assign_shards(services, vms):
    """Distribute services over VMs in proportion to their rates.

    The result depends only on the arguments, so all VMs compute the same. Adding or
    removing a VM moves only the services that this VM gains or loses.

    Parameters
    ----------
    services : tuple of str
    vms : list of fleet.VmInfo

    Returns
    -------
    dict of str to list of str
        Services by VM id; VMs without a service are left out.
    """
    assigned = {vm.vm_id: [] for vm in vms}
    for service in services:
        assigned[choose_assignee(service, vms).vm_id].append(service)
    return {
        vm_id: vm_services for vm_id, vm_services in assigned.items() if vm_services
    }


def choose_assignee(service, vms):
    """Return the VM to which `assign_shards` assigns a service."""
    return max(vms, key=lambda vm: _compute_rendezvous_score(service, vm))


def _compute_rendezvous_score(service, vm):
    """Return the score of a VM for a service in weighted rendezvous hashing."""
    return -vm.rate / math.log(hash_to_fraction(f"{service} {vm.vm_id}"))


def hash_to_fraction(text):
    """Return a hash of the text as a number greater than 0 and less than 1."""
    digest = hashlib.blake2b(text.encode(), digest_size=6).digest()
    return (int.from_bytes(digest, "big") + 0.5) / (1 << 48)
