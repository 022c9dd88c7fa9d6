"""Tests of the allowances that all VMs share."""

import collections

import testtools

from tarragonchute.shares import ColdLimits, FleetShares


def build_fleet(size, retry_slack=58.0):
    """Return the shares of each VM of a fleet."""
    vm_ids = [f"vm-{number:03}" for number in range(size)]
    fleet = []
    for vm_id in vm_ids:
        shares = FleetShares(vm_id, retry_slack, ColdLimits(1.5, 5.0))
        shares.set_vms(vm_ids)
        fleet.append(shares)
    return fleet


class FleetSharesTests(testtools.TestCase):
    """Parts that add up to less than the whole."""

    def test_retry_slack_adds_up(self):
        """Guards against a fleet that exceeds the retry bound of a service."""
        for size in (1, 6, 9, 94):
            total = sum(vm.count_retry_slack() for vm in build_fleet(size))
            self.assertLessEqual(total, 58.0)

    def test_cold_sends_add_up(self):
        """Guards against a cold target that all VMs send to at once."""
        for size in (1, 9, 94):
            rate = sum(1 / vm.find_cold_interval_s(2.0) for vm in build_fleet(size))
            self.assertLessEqual(rate, 2.0 * 1.5 + 5.0)

    def test_no_allowance_means_never(self):
        """Guards against a division by an allowance of zero."""
        shares = FleetShares("vm", 0.0, ColdLimits(1.0, 0.0))
        self.assertIsNone(shares.find_cold_interval_s(0.0))

    def test_connections_of_a_target_add_up(self):
        """Guards against connections that targets reset, in a large fleet."""
        for size, limit, replicas in ((9, 26, 2), (13, 26, 2), (79, 62, 3)):
            fleet = build_fleet(size)
            for service in ("a", "b", "c"):
                targets = [f"{service}-{n}" for n in range(replicas)]
                opened = collections.Counter()
                for vm in fleet:
                    for target in vm.prefer(service, targets, limit):
                        opened[target] += vm.count_connections(limit, replicas)
                self.assertEqual(replicas, len(opened))
                self.assertLessEqual(max(opened.values()), limit)

    def test_every_vm_has_a_target(self):
        """Guards against a VM that cannot serve in a very large fleet."""
        for vm in build_fleet(300):
            self.assertEqual(1, len(vm.prefer("a", ["x", "y"], 26)))

    def test_change_is_reported_once(self):
        """Guards against rearranging all targets at each tick."""
        shares = FleetShares("a", 1.0, ColdLimits(1.0, 1.0))
        self.assertTrue(shares.set_vms(["a", "b"]))
        self.assertFalse(shares.set_vms(["a", "b"]))
        self.assertFalse(shares.set_vms(["b"]))
