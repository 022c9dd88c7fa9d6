"""Tests of allowances over a fleet of VMs, in virtual time and without network."""

import time
from unittest import mock

import testtools

from tarragonchute.allowances import GOAL_PART, MAX_ASKED_VMS
from tarragonchute.fleet import VmInfo
from tarragonchute.grants import HELD_ASKS_PER_S, MAX_HOLD_S
from tests.allowancefleet import (
    DELAY_S,
    GOAL_S,
    WINDOW_S,
    SimulatedFleet,
    compute_limit,
)

RATE = 20
BURST = 20
"""The customer of most tests: larger than most, and small enough for quick tests."""

ROUND_TRIP_S = 2 * DELAY_S + 0.0005
"""Time until the fleet has noticed the answer to an ask."""

KEY_LEASE_S = 12.0
"""Time for which others list a VM that has ended."""


def start_fleet(vm_count=58, rate=RATE, burst=BURST, **options):
    """Return a fleet that has run long enough for full buckets."""
    fleet = SimulatedFleet(vm_count, **options)
    fleet.set_customer(rate, burst)
    fleet.run(10.0)
    return fleet


class AllowanceTestCase(testtools.TestCase):
    """Base of the tests; `check` compares all windows with the limit."""

    def check(self, fleet, rate=RATE, burst=BURST):
        self.assertLessEqual(fleet.find_fullest_window(), compute_limit(rate, burst))

    def count_since(self, fleet, since):
        return sum(at >= since for at in fleet.granted)


class LoadPatternTests(AllowanceTestCase):
    """How many requests run for each pattern of load."""

    def test_uneven_callers_far_below_the_limit_are_served(self):
        """Guards against refusals within the allowance, and against slow grants.

        With even shares, each VM would have 0.3 requests/s.
        """
        for vm_count in (1, 6, 58):
            fleet = start_fleet(vm_count)
            fleet.send_load(12, fleet.now + 30, lambda: "vm0")
            fleet.send_load(3, fleet.now + 30)
            fleet.run(31)
            self.assertEqual([], fleet.refusals)
            self.assertLessEqual(max(fleet.waits), ROUND_TRIP_S)
            self.check(fleet)

    def test_busy_vm_seldom_waits(self):
        """Guards against a round trip for each request."""
        fleet = start_fleet(6, 200, 100)
        caller = next(v for v in fleet.vms if v != fleet.get_grantor_id())
        fleet.send_load(100, fleet.now + 20, lambda: caller)
        fleet.run(21)
        waiting = sum(wait > 0 for wait in fleet.waits)
        self.assertLess(waiting, 0.3 * len(fleet.waits))

    def test_caller_with_little_traffic_seldom_waits(self):
        """Guards against a round trip for each request of a small customer."""
        fleet = start_fleet(58, 2, 4)
        caller = next(v for v in fleet.vms if v != fleet.get_grantor_id())
        for _ in range(20):
            fleet.request(caller)
            fleet.run(4.0)
        self.assertEqual(1, sum(wait > 0 for wait in fleet.waits))

    def test_seven_times_the_allowance(self):
        """Guards against too many requests, too few, and costly refusals."""
        for rate, burst in ((2, 4), (RATE, BURST), (200, 100)):
            fleet = start_fleet(58, rate, burst)
            duration_s = 30
            fleet.send_load(7 * rate, fleet.now + duration_s)
            fleet.run(duration_s)
            self.check(fleet, rate, burst)
            self.assertGreater(len(fleet.granted), 0.97 * rate * duration_s)
            self.assertEqual(0, fleet.count_unknown())
            asks_per_s = fleet.messages / duration_s
            held_asks_per_s = max(2 * min(rate, HELD_ASKS_PER_S), 58 / MAX_HOLD_S)
            self.assertLess(asks_per_s, rate + held_asks_per_s)

    def test_refused_callers_are_spread(self):
        """Guards against callers that all come back at the same moment."""
        fleet = start_fleet()
        fleet.send_load(7 * RATE, fleet.now + 20)
        fleet.run(20)
        delays = [error.retry_after_s for _, error in fleet.refusals[-500:]]
        self.assertGreater(max(delays) - min(delays), 2.0)
        self.assertEqual({429}, {error.status for _, error in fleet.refusals})

    def test_vm_refuses_without_asking_while_a_refusal_holds(self):
        """Guards against an ask for each refused request."""
        fleet = start_fleet(6, 1, 1)
        caller = next(v for v in fleet.vms if v != fleet.get_grantor_id())
        for _ in range(1000):
            fleet.request(caller)
        fleet.run(0.1)
        messages = fleet.messages
        for _ in range(1000):
            fleet.request(caller)
        self.assertEqual(messages, fleet.messages)
        self.assertGreater(fleet.count_refused(), 1900)

    def test_burst_after_idle_time(self):
        """Guards against a customer that does not get its burst."""
        for vm_count in (1, 58):
            fleet = start_fleet(vm_count, 2, 40)
            fleet.run(20)
            for _ in range(40):
                fleet.request(fleet.random.choice(list(fleet.vms)))
            fleet.run(0.1)
            self.assertEqual(40, len(fleet.granted))
            fleet.send_load(14, fleet.now + 20)
            fleet.run(21)
            self.check(fleet, 2, 40)

    def test_lowered_limit_binds_after_one_window(self):
        """Guards against VMs that keep to an earlier, higher limit."""
        fleet = start_fleet()
        fleet.send_load(200, fleet.now + 40)
        fleet.run(10)
        fleet.set_customer(4, 4, delay_s=5.0)
        fleet.run(5.0 + WINDOW_S)
        fleet.granted.clear()
        fleet.run(20)
        self.check(fleet, 4, 4)
        self.assertGreater(len(fleet.granted), 0.9 * 4 * 20)

    def test_raised_limit_serves_at_once(self):
        """Guards against refusals until the grantor has read the configuration."""
        fleet = start_fleet(6, 2, 2)
        others = [v for v in fleet.vms if v != fleet.get_grantor_id()]
        fleet.send_load(100, fleet.now + 30, lambda: fleet.random.choice(others))
        fleet.run(10)
        grantor = fleet.vms[fleet.get_grantor_id()]
        with mock.patch.object(grantor.allowances, "apply_customers") as unread:
            fleet.set_customer(200, 200)
            fleet.run(2 * ROUND_TRIP_S)
            fleet.refusals.clear()
            fleet.run(5)
            unread.assert_called_once()
        self.assertEqual([], fleet.refusals)

    def test_customers_do_not_use_up_the_allowances_of_others(self):
        """Guards against refusals of one customer because of another one's load."""
        fleet = start_fleet()
        fleet.set_customer(RATE, BURST, "other")
        fleet.run(1)
        fleet.send_load(7 * RATE, fleet.now + 10)
        fleet.run(10)
        fleet.refusals.clear()
        for _ in range(BURST):
            fleet.request(fleet.random.choice(list(fleet.vms)), "other")
        fleet.run(0.05)
        names = {str(error) for _, error in fleet.refusals if "other" in str(error)}
        self.assertEqual(set(), names)

    def test_released_token_is_used_again(self):
        """Guards against a customer charged for requests that did not run."""
        fleet = start_fleet(6, 0.01, 5)
        vm = fleet.vms["vm0"]
        for _ in range(50):
            fleet.request("vm0")
            fleet.run(0.01)
            vm.allowances.release(fleet.customers["c"], fleet.now)
        self.assertEqual(50, len(fleet.granted))

    def test_fleet_without_search_addresses_has_even_shares(self):
        """Guards against a VM that cannot be asked and grants the whole limit."""
        fleet = SimulatedFleet(4)
        fleet.infos = {vm_id: VmInfo(vm_id) for vm_id in fleet.infos}
        fleet.set_customer(RATE, BURST)
        for vm_id in fleet.infos:
            fleet.update_list(vm_id, list(fleet.infos.values()))
        fleet.run(30)
        fleet.send_load(7 * RATE, fleet.now + 20)
        fleet.run(20)
        self.check(fleet)
        self.assertGreater(len(fleet.granted), 0.9 * RATE * 20)


class FaultTests(AllowanceTestCase):
    """No fault lets more requests run than the limit, at seven times the allowance."""

    def setUp(self):
        super().setUp()
        self.fleet = start_fleet()
        self.fleet.send_load(7 * RATE, self.fleet.now + 60)
        self.fleet.run(8)
        self.grantor_id = self.fleet.get_grantor_id()

    def remove_later(self, vm_ids, delay_s=KEY_LEASE_S):
        self.fleet.call_later(delay_s, lambda: self.fleet.remove_from_lists(vm_ids))

    def check_recovered(self, duration_s=10):
        """Check all windows, and that the whole rate is granted again."""
        since = self.fleet.now
        self.fleet.run(duration_s)
        self.check(self.fleet)
        self.assertGreater(self.count_since(self.fleet, since), 0.9 * RATE * duration_s)

    def check_deputies(self, duration_s):
        """Check that something is served without the grantor."""
        since = self.fleet.now
        self.fleet.run(duration_s)
        self.assertGreater(self.count_since(self.fleet, since), duration_s)
        self.check(self.fleet)

    def test_grantor_killed(self):
        """Guards against the burst that a new grantor grants once more."""
        del self.fleet.vms[self.grantor_id]
        self.remove_later({self.grantor_id})
        self.check_deputies(KEY_LEASE_S)
        self.assertNotEqual(self.grantor_id, self.fleet.get_grantor_id())
        self.fleet.run(7)
        self.check_recovered()

    def test_grantor_restarted(self):
        """Guards against the burst that a restarted grantor grants once more."""
        for _ in range(3):
            del self.fleet.vms[self.grantor_id]
            self.fleet.call_later(0.3, lambda: self.fleet.start(self.grantor_id))
            self.fleet.run(4)
        self.check_recovered()

    def test_first_requests_after_a_dead_grantor_wait_little(self):
        """Guards against each request waiting for a VM that does not answer."""
        fleet = start_fleet()
        del fleet.vms[fleet.get_grantor_id()]
        fleet.send_load(2, fleet.now + 10)
        fleet.run(10)
        round_trips_s = (MAX_ASKED_VMS - 1) * ROUND_TRIP_S
        self.assertLess(max(fleet.waits), GOAL_PART * GOAL_S + round_trips_s)

    def test_slow_grantor_within_the_allowance(self):
        """Guards against refusals because a busy grantor answers after the timeout.

        The parts of the deputies do not suffice for this load.
        """
        fleet = start_fleet()
        fleet.vms[fleet.get_grantor_id()].delay_s = 1.5 * GOAL_PART * GOAL_S
        fleet.send_load(0.6 * RATE, fleet.now + 20)
        fleet.run(21)
        self.assertEqual([], fleet.refusals)
        self.assertLess(max(fleet.waits), 0.6 * GOAL_S)

    def test_grantor_paused_past_its_lease(self):
        """Guards against a VM that wakes up and grants beside its successor."""
        old = self.fleet.vms[self.grantor_id]
        for pause_s in (4.0, 30.0):
            old.paused_until = self.fleet.now + pause_s
            if pause_s > KEY_LEASE_S:
                self.remove_later({self.grantor_id})
                # The list of the paused VM does not change.
                infos = list(self.fleet.infos.values())
                self.fleet.call_later(
                    KEY_LEASE_S,
                    lambda infos=infos: self.fleet.update_list(self.grantor_id, infos),
                )
            # At its end, the lease is still the one from before the pause.
            self.fleet.out_of_touch.add(self.grantor_id)
            self.fleet.run(pause_s + 1)
            self.check(self.fleet)
            self.fleet.out_of_touch.clear()
            if pause_s < KEY_LEASE_S:
                self.check_recovered(5)
        self.assertFalse(old.key_lease.is_valid(self.fleet.now))

    def test_grantor_cut_off_from_the_store(self):
        """Guards against two grantors when one can be reached but not renew."""
        self.fleet.out_of_touch.add(self.grantor_id)
        infos = list(self.fleet.infos.values())
        self.remove_later({self.grantor_id})
        self.fleet.call_later(
            KEY_LEASE_S, lambda: self.fleet.update_list(self.grantor_id, infos)
        )
        self.fleet.run(KEY_LEASE_S + 7)
        self.check_recovered()

    def test_grantor_cut_off_from_the_other_vms(self):
        """Guards against a grantor and deputies that together grant too much."""
        self.fleet.cuts.add(self.grantor_id)
        self.check_deputies(10)
        # The callers of the grantor's own VM use the whole rate.
        self.fleet.send_load(7 * RATE, self.fleet.now + 10, lambda: self.grantor_id)
        self.fleet.run(10)
        self.check(self.fleet)

    def test_all_vms_cut_off_from_the_store(self):
        """Guards against grants without a valid lease, and against no service."""
        self.fleet.out_of_touch.update(self.fleet.vms)
        self.fleet.run(10)
        self.check_deputies(20)
        self.fleet.out_of_touch.clear()
        self.fleet.run(3)
        self.check_recovered()

    def test_lists_that_disagree(self):
        """Guards against two VMs that are first in the lists of different halves."""
        removed = {self.grantor_id}
        infos = [i for i in self.fleet.infos.values() if i.vm_id != self.grantor_id]
        for _ in range(5):
            for vm_id in list(self.fleet.vms)[::2]:
                if vm_id not in removed:
                    self.fleet.update_list(vm_id, infos)
            self.fleet.run(2.5)
            for vm_id in self.fleet.vms:
                self.fleet.update_list(vm_id, list(self.fleet.infos.values()))
            self.fleet.run(0.5)
        self.check_recovered()

    def test_vm_that_becomes_first_waits(self):
        """Guards against two grantors when a VM joins that ranks first.

        The others learn of it within a second.
        """
        new_id = self.grantor_id
        infos = [i for i in self.fleet.infos.values() if i.vm_id != new_id]
        fleet = SimulatedFleet()
        del fleet.vms[new_id]
        for vm_id in fleet.vms:
            fleet.update_list(vm_id, infos)
        fleet.set_customer(RATE, BURST)
        fleet.run(10)
        fleet.send_load(7 * RATE, fleet.now + 40)
        fleet.run(10)
        fleet.start(new_id, is_restart=False)
        everyone = list(fleet.infos.values())
        for vm_id in fleet.vms:
            fleet.call_later(
                fleet.random.random(),
                lambda vm_id=vm_id: fleet.update_list(vm_id, everyone),
            )
        fleet.run(8)
        since = fleet.now
        fleet.run(10)
        self.check(fleet)
        self.assertGreater(self.count_since(fleet, since), 0.9 * RATE * 10)

    def test_half_of_the_vms_without_power(self):
        """Guards against too many grants, and against no service until leases end."""
        lost = set(list(self.fleet.vms)[::2]) | {self.grantor_id}
        for vm_id in lost:
            del self.fleet.vms[vm_id]
        self.remove_later(lost)
        self.check_deputies(KEY_LEASE_S)
        self.fleet.run(7)
        self.check_recovered()

    def test_new_deployment_serves_before_the_handover_time_is_over(self):
        """Guards against a start at which all requests are refused."""
        fleet = SimulatedFleet(is_restart=False)
        fleet.set_customer(2, 4)
        fleet.run(0.1)
        fleet.send_load(0.5, fleet.now + 30)
        fleet.run(30)
        self.assertLessEqual(len(fleet.refusals), 2)
        self.check(fleet, 2, 4)

    def test_time_of_day_is_not_used(self):
        """Guards against decisions that follow a clock that jumps."""
        with mock.patch.object(time, "time", side_effect=AssertionError):
            self.fleet.run(2)
        self.check_recovered(5)

    def test_customer_load_that_falls_is_served_soon(self):
        """Guards against refusals that hold long after an overload."""
        fleet = start_fleet()
        fleet.send_load(7 * RATE, fleet.now + 10)
        fleet.run(10 + MAX_HOLD_S)
        fleet.refusals.clear()
        fleet.send_load(RATE / 4, fleet.now + 10)
        fleet.run(10)
        self.assertEqual([], fleet.refusals)
