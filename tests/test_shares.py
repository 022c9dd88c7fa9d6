"""Tests of the allowances that all VMs share."""

import collections

import testtools

from tarragonchute.fleet import VmInfo
from tarragonchute.registry import RegisteredTarget, Registration
from tarragonchute.shares import COLD_SHARE, ColdLimits, FleetShares


def build_fleet(size, retry_slack=58.0, domains=("a", "b", "c", "d")):
    """Return the shares of each VM of a fleet that is spread over domains."""
    vms = [
        VmInfo(f"vm-{number:03}", domains[number % len(domains)])
        for number in range(size)
    ]
    fleet = []
    for vm in vms:
        shares = FleetShares(vm.vm_id, vm.domain, retry_slack, ColdLimits(1.5, 5.0))
        shares.set_vms(vms)
        fleet.append(shares)
    return fleet


def build_targets(*domains):
    """Return a target in each of the failure domains."""
    return [
        RegisteredTarget(Registration(f"i-{n}", "s", ("10.0.0.1", n), domain), None)
        for n, domain in enumerate(domains)
    ]


class WideSharesTests(testtools.TestCase):
    """Parts of the shards of wide searches, which mostly the leaders ask."""

    def build(self, size=79):
        domains = ("a", "b", "c", "d")
        vms = [
            VmInfo(f"vm-{n:03}", domains[n % 4], "10.0.0.1:1", f"10.0.0.1:{n + 2}", 9.0)
            for n in range(size)
        ]
        fleet = []
        for vm in vms:
            shares = FleetShares(vm.vm_id, vm.domain, 198.0, ColdLimits(1.5, 5.0))
            shares.set_vms(vms)
            fleet.append(shares)
        return fleet

    def test_retry_slack_adds_up(self):
        """Guards against a fleet that exceeds the retry bound of a shard."""
        for size in (1, 9, 79):
            parts = [vm.count_wide_retry_slack() for vm in self.build(size)]
            self.assertLessEqual(sum(parts), 198.0)
        # A leader has enough to hedge a pause of each replica.
        self.assertGreater(max(parts), 10)

    def test_cold_sends_add_up(self):
        """Guards against a cold shard that leaders of all domains send to."""
        for size in (1, 9, 79):
            fleet = self.build(size)
            rate = sum(1 / vm.find_wide_cold_interval_s(2.0, "a") for vm in fleet)
            self.assertLessEqual(rate, (2.0 * 1.5 + 5.0) * COLD_SHARE * 1.01)

    def test_connections_add_up(self):
        """Guards against targets that reset connections beyond their limit."""
        fleet = self.build()
        targets = build_targets("a", "b", "c")
        for number in range(20):
            opened = collections.Counter()
            for vm in fleet:
                preferred, count = vm.arrange_wide(f"s{number}", targets, 62)
                for target in preferred:
                    opened[target.registration.target_id] += count
            self.assertLessEqual(max(opened.values()), 62)
            self.assertEqual(3, len(opened))


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
        shares = FleetShares("vm", "d", 0.0, ColdLimits(1.0, 0.0))
        self.assertIsNone(shares.find_cold_interval_s(0.0))

    def test_connections_of_a_target_add_up(self):
        """Guards against connections that targets reset, in a large fleet."""
        for size, limit, replicas in ((9, 26, 2), (13, 26, 2), (79, 62, 3)):
            fleet = build_fleet(size)
            targets = build_targets(*"abc"[:replicas])
            for service in ("a", "b", "c"):
                opened = collections.Counter()
                for vm in fleet:
                    for target in vm.prefer(service, targets, limit):
                        opened[target] += vm.count_connections(limit, replicas)
                self.assertEqual(replicas, len(opened))
                self.assertLessEqual(max(opened.values()), limit)

    def test_vms_of_one_domain_are_spread(self):
        """Guards against a fleet in one domain that overloads the target there."""
        targets = build_targets("a", "b", "c")
        opened = collections.Counter()
        for vm in build_fleet(79, domains=("a",)):
            opened.update(vm.prefer("s", targets, 62))
        self.assertLessEqual(max(opened.values()), 62)

    def test_near_target_is_among_the_preferred(self):
        """Guards against traffic between domains that a choice could avoid."""
        targets = build_targets("a", "b", "c")
        for number, vm in enumerate(build_fleet(79)):
            preferred = vm.prefer("s", targets, 62)
            domains = [target.registration.domain for target in preferred]
            if number % 4 < 3:
                self.assertIn("abcd"[number % 4], domains)

    def test_every_vm_has_a_target(self):
        """Guards against a VM that cannot serve in a very large fleet."""
        for vm in build_fleet(300):
            self.assertEqual(1, len(vm.prefer("s", build_targets("a", "b"), 26)))

    def test_change_is_reported_once(self):
        """Guards against rearranging all targets at each tick."""
        shares = FleetShares("a", "d", 1.0, ColdLimits(1.0, 1.0))
        self.assertTrue(shares.set_vms([VmInfo("a"), VmInfo("b")]))
        self.assertFalse(shares.set_vms([VmInfo("a"), VmInfo("b")]))
        self.assertFalse(shares.set_vms([VmInfo("b")]))
