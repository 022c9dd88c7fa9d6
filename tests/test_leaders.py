"""Tests of the choice of leaders and their shards."""

import collections

import testtools

from tarragonchute import leaders
from tarragonchute.fleet import VmInfo

SERVICES = tuple(f"s{number}" for number in range(135))


def build_vms(count, domain="a", rate=1000.0, start=0):
    """Return VMs that can search for others."""
    return [
        VmInfo(f"vm-{domain}-{n}", domain, "10.0.0.1:1", f"10.0.0.1:{n + 2}", rate)
        for n in range(start, start + count)
    ]


class LeaderTests(testtools.TestCase):
    """Which VMs are leaders."""

    def test_fastest_vms_lead(self):
        """Guards against searches that wait for the smallest VMs of a fleet."""
        vms = build_vms(19) + build_vms(2, rate=7000.0, start=50)
        self.assertEqual({"vm-a-50", "vm-a-51"}, leaders.list_leaders(vms))

    def test_all_vms_derive_the_same_leaders(self):
        """Guards against VMs that ask different leaders for the same shards."""
        vms = build_vms(40)
        self.assertEqual(leaders.list_leaders(vms), leaders.list_leaders(vms[::-1]))

    def test_each_domain_has_leaders_of_its_own(self):
        """Guards against a failure domain without leaders."""
        vms = build_vms(20) + build_vms(1, "b") + build_vms(200, "c")
        domains = collections.Counter(
            vm_id.split("-")[1] for vm_id in leaders.list_leaders(vms)
        )
        self.assertEqual({"a": 2, "b": 1, "c": 13}, dict(domains))

    def test_vm_without_an_address_is_no_leader(self):
        """Guards against shards that are handed to a VM that takes none."""
        self.assertEqual(set(), leaders.list_leaders([VmInfo("vm-1", "a")]))

    def test_bandwidth_counts(self):
        """Guards against a leader whose link is slower than its processor."""
        fast = leaders.estimate_rate(2.15, 100.0)
        self.assertGreater(fast, 3 * leaders.estimate_rate(2.15, 12.5))
        self.assertGreater(fast, 3 * leaders.estimate_rate(0.5, 22.5))


class AssignmentTests(testtools.TestCase):
    """Which leader asks which shards."""

    def test_every_shard_once_in_proportion(self):
        """Guards against a shard that nobody asks, or that two VMs ask."""
        vms = build_vms(1) + build_vms(1, rate=3000.0, start=1)
        assigned = leaders.assign_shards(SERVICES, vms)
        names = [name for part in assigned.values() for name in part]
        self.assertEqual(sorted(SERVICES), sorted(names))
        self.assertAlmostEqual(135 / 4, len(assigned["vm-a-0"]), delta=15)

    def test_lost_vm_moves_only_its_own_shards(self):
        """Guards against leaders that lose what they know of all targets at once."""
        vms = build_vms(4)
        before = leaders.assign_shards(SERVICES, vms)
        after = leaders.assign_shards(SERVICES, vms[1:])
        for vm in vms[1:]:
            self.assertLessEqual(set(before[vm.vm_id]), set(after[vm.vm_id]))
