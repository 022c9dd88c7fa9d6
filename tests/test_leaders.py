"""Tests of the choice of leaders and of the shards assigned to each."""

import collections

import testtools

from tarragonchute import leaders
from tarragonchute.fleet import VmInfo

SERVICES = tuple(f"s{number}" for number in range(135))


def build_vms(count, domain="a", rate=1000.0, start=0):
    """Return VMs that accept subsearches."""
    return [
        VmInfo(f"vm-{domain}-{n}", domain, "10.0.0.1:1", f"10.0.0.1:{n + 2}", rate)
        for n in range(start, start + count)
    ]


class LeaderTests(testtools.TestCase):
    """Which VMs are leaders."""

    def test_fastest_vms_are_leaders(self):
        """Guards against wide searches that wait for the slowest VMs of a fleet."""
        vms = build_vms(19) + build_vms(2, rate=7000.0, start=50)
        self.assertEqual({"vm-a-50", "vm-a-51"}, leaders.list_leaders(vms))

    def test_order_of_the_list_does_not_change_the_leaders(self):
        """Guards against VMs that compute different leaders from the same VMs."""
        vms = build_vms(40)
        self.assertEqual(leaders.list_leaders(vms), leaders.list_leaders(vms[::-1]))

    def test_each_domain_has_its_own_leaders(self):
        """Guards against a failure domain without a leader."""
        vms = build_vms(20) + build_vms(1, "b") + build_vms(200, "c")
        domains = collections.Counter(
            vm_id.split("-")[1] for vm_id in leaders.list_leaders(vms)
        )
        self.assertEqual({"a": 2, "b": 1, "c": 13}, dict(domains))

    def test_vm_without_search_address_is_no_leader(self):
        """Guards against delegating shards to a VM that accepts no subsearches."""
        self.assertEqual(set(), leaders.list_leaders([VmInfo("vm-1", "a")]))

    def test_rate_depends_on_bandwidth(self):
        """Guards against choosing a leader with a fast processor and a slow network."""
        fast = leaders.estimate_rate(2.15, 100.0)
        self.assertGreater(fast, 3 * leaders.estimate_rate(2.15, 12.5))
        self.assertGreater(fast, 3 * leaders.estimate_rate(0.5, 22.5))


class AssignmentTests(testtools.TestCase):
    """Which leader searches which shards."""

    def test_each_shard_is_assigned_once_in_proportion_to_rates(self):
        """Guards against a shard that no VM or more than one VM searches."""
        vms = build_vms(1) + build_vms(1, rate=3000.0, start=1)
        assigned = leaders.assign_shards(SERVICES, vms)
        names = [name for services in assigned.values() for name in services]
        self.assertEqual(sorted(SERVICES), sorted(names))
        self.assertAlmostEqual(135 / 4, len(assigned["vm-a-0"]), delta=15)

    def test_lost_vm_moves_only_its_own_shards(self):
        """Guards against reassigning the shards of all leaders when one VM is lost.

        A leader that gets other shards has no statistics of their targets yet.
        """
        vms = build_vms(4)
        before = leaders.assign_shards(SERVICES, vms)
        after = leaders.assign_shards(SERVICES, vms[1:])
        for vm in vms[1:]:
            self.assertLessEqual(set(before[vm.vm_id]), set(after[vm.vm_id]))
