"""Tests for each VM's share of the fleet-wide limits."""

import collections

import testtools

from tarragonchute.fleet import VmInfo
from tarragonchute.registry import RegisteredTarget, Registration
from tarragonchute.shares import COLD_SHARE, ColdLimits, FleetShares


def build_fleet(size, retry_slack=58.0, domains=("a", "b", "c", "d")):
    """Return the shares of each VM of a fleet spread over failure domains."""
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
    """Return one target for each given failure domain."""
    return [
        RegisteredTarget(Registration(f"i-{n}", "s", ("10.0.0.1", n), domain), None)
        for n, domain in enumerate(domains)
    ]


def build_wide_fleet(size=79):
    """Return the shares of each VM of a fleet that accepts subsearches."""
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


class WideSharesTests(testtools.TestCase):
    """Shares for wide-search shards, whose requests come mostly from the leaders."""

    def test_retry_slack_adds_up(self):
        """Guards against a fleet that exceeds a shard's retry limit."""
        for domains in (("a",), ("a", "b"), ("a", "b", "c")):
            targets = build_targets(*domains)
            for size in (1, 9, 79, 195):
                fleet = build_wide_fleet(size)
                slacks = [vm.compute_wide_retry_slack("s", targets) for vm in fleet]
                self.assertLessEqual(sum(slacks), 198.0)
                parts = [vm.compute_wide_exposure_part("s", targets) for vm in fleet]
                self.assertLessEqual(sum(part.fraction for part in parts), 1.0)
        # A leader can hedge its requests while each of the replicas pauses.
        self.assertGreater(max(slacks), 10)

    def test_assigned_leader_has_most_of_a_shards_retries(self):
        """Guards against retries reserved for leaders that send no requests.

        Load pattern: hundreds of VMs over two targets of each shard, one of which has
        stopped without a word. The one leader of its domain that asks it has to hedge
        every request until the target is known to be bad, 15 a second for seconds.
        """
        fleet = build_wide_fleet(195)
        targets = build_targets("a", "b")
        slacks = sorted(vm.compute_wide_retry_slack("s", targets) for vm in fleet)
        self.assertGreater(slacks[-2], 40)
        self.assertLess(slacks[-3], 10)

    def test_cold_sends_add_up(self):
        """Guards against exceeding the rate limit of a cold wide-search target.

        That happens if the leaders of all failure domains send to it, and not only
        those of its own.
        """
        for size in (1, 9, 79):
            fleet = build_wide_fleet(size)
            rate = sum(1 / vm.compute_wide_cold_interval_s(2.0, "a") for vm in fleet)
            self.assertLessEqual(rate, (2.0 * 1.5 + 5.0) * COLD_SHARE * 1.01)

    def test_connections_add_up(self):
        """Guards against opening more connections than a target accepts.

        Targets reset connections beyond their limit.
        """
        for size, limit, domains in ((79, 62, "abc"), (195, 120, "ab")):
            fleet = build_wide_fleet(size)
            targets = build_targets(*domains)
            for number in range(20):
                opened = collections.Counter()
                for vm in fleet:
                    preferred, count = vm.assign_wide_targets(
                        f"s{number}", targets, limit
                    )
                    for target in preferred:
                        opened[target.registration.target_id] += count
                self.assertLessEqual(max(opened.values()), limit)
                self.assertEqual(len(domains), len(opened))


class AssignedShardTests(testtools.TestCase):
    """Shards whose targets a leader keeps connected.

    Load pattern: more leaders than failure domains with targets, as on a fleet of
    hundreds of VMs over two domains of targets. Each new connection occupies a slot of
    its target for some milliseconds.
    """

    def test_one_leader_of_each_domain_with_a_target(self):
        """Guards against connections of all leaders to all targets."""
        fleet = build_wide_fleet(195)
        targets = build_targets("a", "b")
        for service in (f"s{number}" for number in range(87)):
            assigned = [vm for vm in fleet if vm.is_assigned(service, targets)]
            self.assertEqual(["a", "b"], sorted(vm._domain for vm in assigned))

    def test_shards_are_spread_over_the_leaders(self):
        """Guards against one leader that keeps all targets of its domain."""
        fleet = build_wide_fleet(195)
        targets = build_targets("a", "b")
        counts = collections.Counter()
        for service in (f"s{number}" for number in range(87)):
            for vm in fleet:
                counts[vm._vm_id] += vm.is_assigned(service, targets)
        leaders = [vm for vm in fleet if vm.is_leader and vm._domain in ("a", "b")]
        for vm in leaders:
            self.assertGreater(counts[vm._vm_id], 0)
            self.assertLess(counts[vm._vm_id], 87 / 2)


class FleetSharesTests(testtools.TestCase):
    """Shares that add up to at most the limit."""

    def test_retry_slack_adds_up(self):
        """Guards against a fleet that exceeds a service's retry limit."""
        for size in (1, 6, 9, 94):
            total = sum(vm.compute_retry_slack() for vm in build_fleet(size))
            self.assertLessEqual(total, 58.0)

    def test_cold_sends_add_up(self):
        """Guards against exceeding the rate limit of a cold target.

        It would be exceeded if each VM used the whole limit for itself.
        """
        for size in (1, 9, 94):
            rate = sum(1 / vm.compute_cold_interval_s(2.0) for vm in build_fleet(size))
            self.assertLessEqual(rate, 2.0 * 1.5 + 5.0)

    def test_zero_limit_permits_no_cold_requests(self):
        """Guards against a division by a limit of zero."""
        shares = FleetShares("vm", "d", 0.0, ColdLimits(1.0, 0.0))
        self.assertIsNone(shares.compute_cold_interval_s(0.0))

    def test_connections_of_a_target_add_up(self):
        """Guards against a large fleet opening more connections than targets accept."""
        for size, limit, replicas in ((9, 26, 2), (13, 26, 2), (79, 62, 3)):
            fleet = build_fleet(size)
            targets = build_targets(*"abc"[:replicas])
            for service in ("a", "b", "c"):
                opened = collections.Counter()
                for vm in fleet:
                    for target in vm.choose_preferred(service, targets, limit):
                        opened[target] += vm.compute_connection_limit(limit, replicas)
                self.assertEqual(replicas, len(opened))
                self.assertLessEqual(max(opened.values()), limit)

    def test_vms_of_one_domain_are_spread(self):
        """Guards against overloading the local target if all VMs are in one domain."""
        targets = build_targets("a", "b", "c")
        opened = collections.Counter()
        for vm in build_fleet(79, domains=("a",)):
            opened.update(vm.choose_preferred("s", targets, 62))
        self.assertLessEqual(max(opened.values()), 62)

    def test_preferred_targets_include_a_local_one(self):
        """Guards against traffic between failure domains that is avoidable."""
        targets = build_targets("a", "b", "c")
        for number, vm in enumerate(build_fleet(79)):
            preferred = vm.choose_preferred("s", targets, 62)
            domains = [target.registration.domain for target in preferred]
            if number % 4 < 3:
                self.assertIn("abcd"[number % 4], domains)

    def test_every_vm_has_a_target(self):
        """Guards against VMs without any target in a very large fleet."""
        for vm in build_fleet(300):
            self.assertEqual(
                1, len(vm.choose_preferred("s", build_targets("a", "b"), 26))
            )

    def test_change_is_reported_once(self):
        """Guards against reassigning all targets at each tick."""
        shares = FleetShares("a", "d", 1.0, ColdLimits(1.0, 1.0))
        self.assertTrue(shares.set_vms([VmInfo("a"), VmInfo("b")]))
        self.assertFalse(shares.set_vms([VmInfo("a"), VmInfo("b")]))
        self.assertFalse(shares.set_vms([VmInfo("b")]))
