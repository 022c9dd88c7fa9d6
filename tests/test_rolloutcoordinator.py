"""Tests of rollouts by a simulated fleet, in virtual time and without network."""

import logging
import random

import testtools

from tarragonchute.rolloutcoordinator import choose_coordinators
from tarragonchute.rolloutstates import Phase

from .rolloutworld import DURATION_S, SHARE, SLACK, World

SETTLE_S = 1.0
ROLLBACK_S = 5.0
FIFTIETH = 49


def answer_well(version, route, since_order_s):
    """Answer as a good version does."""
    return True, 1.0


def answer_badly(fail=0.0, slow=0.0, start_s=0.0, route=None, seed=1):
    """Return how targets answer if the new version is bad.

    Parameters
    ----------
    fail, slow : float
        Share of its requests that fail, or take four times as long.
    start_s : float
        Time since the order from which it is bad.
    route : str or None
        The only route on which it is bad.
    seed : int
    """
    source = random.Random(seed)

    def answer(version, asked_route, since_order_s):
        is_bad = version == "v2" and since_order_s >= start_s
        if not is_bad or route not in (None, asked_route):
            return source.random() > 0.005, 1.0
        if source.random() < fail:
            return False, 1.0
        return True, 4.0 if source.random() < slow else 1.0

    return answer


class RolloutCase(testtools.TestCase):
    """Base class: starts simulations and checks the rules."""

    def setUp(self):
        super().setUp()
        logger = logging.getLogger("tarragonchute")
        level = logger.level
        logger.setLevel(logging.CRITICAL)
        self.addCleanup(logger.setLevel, level)

    def start(self, answer=answer_well, order="v2", **arguments):
        """Return a `World` in which an order has just been written."""
        world = World(answer, **arguments)
        world.run(SETTLE_S)
        self.assertNotIn("v2", [version for _, _, version in world.events])
        world.order(order)
        return world

    def check_rolled_back(self, world):
        """Check the rules for a bad version."""
        self.assertEqual("rolled_back", world.get_status())
        self.assertLess(world.statuses[-1][0], DURATION_S)
        total = world.count_sent("v1", 0.0) + world.count_sent("v2", 0.0)
        self.assertLessEqual(world.count_sent("v2"), SHARE * total + SLACK)
        if len(world.bad_answers) > FIFTIETH:
            last_at = max(at for at, _, sent in world.events if sent == "v2")
            self.assertLessEqual(last_at, world.bad_answers[FIFTIETH] + ROLLBACK_S)

    def check_done(self, world):
        """Check the rules for a good version."""
        self.assertEqual("done", world.get_status())
        done_at = world.statuses[-1][0]
        self.assertLess(done_at, DURATION_S)
        self.assertEqual(0, world.count_sent("v1", done_at))


class PatternTests(RolloutCase):
    """Verdicts on good versions and on bad ones of each kind."""

    SIZES = ({"size": 6}, {"size": 58}, {"size": 6, "rate": 200.0})

    def test_good_version(self):
        """Guards against a good version that is not in use by the time limit."""
        for arguments in self.SIZES:
            world = self.start(**arguments)
            world.run(DURATION_S + 1)
            self.check_done(world)

    def check_pattern(self, **behaviour):
        for arguments in self.SIZES:
            world = self.start(answer_badly(**behaviour), **arguments)
            world.run(DURATION_S + 1)
            self.check_rolled_back(world)

    def test_bad_at_once(self):
        """Guards against a version that fails or is slow and gets all traffic."""
        self.check_pattern(fail=0.4)
        self.check_pattern(slow=0.5)
        self.check_pattern(slow=1.0)

    def test_bad_after_seconds(self):
        """Guards against a verdict from the first seconds alone."""
        self.check_pattern(fail=0.5, start_s=4.0)

    def test_bad_on_one_route(self):
        """Guards against bad answers on one route that the others hide."""
        self.check_pattern(fail=0.8, route="r1")

    def test_bad_under_load(self):
        """Guards against a version that is not watched once it has all traffic."""
        for arguments in self.SIZES:
            world = self.start(**arguments)
            source = random.Random(2)

            def answer(version, route, since_s, world=world, source=source):
                recent = [sent for _, _, sent in world.events[-30:]]
                is_loaded = recent.count("v2") > len(recent) / 2
                is_bad = version == "v2" and is_loaded
                return not is_bad or source.random() > 0.6, 1.0

            world.answer = answer
            world.run(DURATION_S + 1)
            self.assertEqual("rolled_back", world.get_status())
            last_at = max(at for at, _, sent in world.events if sent == "v2")
            self.assertLess(last_at - world.bad_answers[0], ROLLBACK_S)

    def test_large_fleet(self):
        """Guards against a rollout that waits for VMs that send no requests."""
        world = self.start(size=240, rate=10.0)
        world.run(DURATION_S + 1)
        self.check_done(world)
        self.assertLess(world.statuses[-1][0], DURATION_S - 0.5)

    def test_few_requests(self):
        """Guards against a verdict that waits for replies that do not come."""
        world = self.start(size=58, rate=0.5)
        world.run(DURATION_S + 1)
        self.check_done(world)

    def test_noisy_service(self):
        """Guards against a rollback because of failures that the old version has."""
        source = random.Random(3)

        def answer(version, route, since_order_s):
            return source.random() > 0.05, 4.0 if source.random() < 0.05 else 1.0

        world = self.start(answer)
        world.run(DURATION_S + 1)
        self.check_done(world)

    def test_exposure_before_all_traffic(self):
        """Guards against parts of the VMs that add up to more than the limit."""
        for size, rate in ((1, 24.0), (6, 24.0), (58, 24.0), (195, 48.0), (3, 500.0)):
            world = self.start(size=size, rate=rate)
            world.run(DURATION_S * 0.5)
            total = world.count_sent("v1", 0.0) + world.count_sent("v2", 0.0)
            limit = 0.8 * (SHARE * total + SLACK)
            self.assertLessEqual(world.count_sent("v2"), limit, (size, rate))
            self.assertGreater(world.count_sent("v2"), 8, (size, rate))


class FaultTests(RolloutCase):
    """Verdicts and exposure while VMs or the store fail."""

    def test_coordinator_killed(self):
        """Guards against a rollout that waits until the lease of a dead VM ends."""
        for after_s in (0.1, 3.0, 7.0, 9.0):
            world = self.start()
            world.run(after_s)
            world.kill(world.get_coordinators()[0])
            world.run(DURATION_S + 1 - after_s)
            self.check_done(world)
            world = self.start(answer_badly(fail=0.5, start_s=4.0))
            world.run(after_s)
            if world.get_status() != "rolled_back":
                world.kill(world.get_coordinators()[0])
            world.run(DURATION_S + 1 - after_s)
            self.check_rolled_back(world)

    def test_coordinator_paused_between_judging_and_writing(self):
        """Guards against an old judgement that overwrites a newer one."""
        world = self.start(answer_badly(fail=0.5, start_s=4.0))
        coordinator = world.get_coordinators()[0]
        world.run(3.0)
        coordinator.holds_writes = True
        world.run(DURATION_S - 3.0)
        self.check_rolled_back(world)
        self.assertTrue(coordinator.held)
        for change, revisions in coordinator.held:
            world.write(coordinator, change, revisions)
        self.assertEqual(Phase.ROLLED_BACK, world.get_phase())

    def test_coordinator_paused(self):
        """Guards against a VM that continues with an old state after a pause."""
        world = self.start(answer_badly(fail=0.9))
        coordinator = world.get_coordinators()[0]
        world.run(0.8)
        coordinator.is_paused = True
        world.run(6.0)
        self.assertEqual("rolled_back", world.get_status())
        coordinator.is_paused = False
        resumed_at = world.now - world.ordered_at
        world.run(DURATION_S)
        self.assertEqual(0, world.count_sent("v2", resumed_at + 0.2))
        self.check_rolled_back(world)

    def test_coordinator_cut_off(self):
        """Guards against a coordinator that judges but cannot write, or cannot hear."""
        for place in ("is_cut_from_store", "is_cut_from_peers"):
            for answer in (answer_well, answer_badly(fail=0.5, start_s=4.0)):
                world = self.start(answer)
                world.run(1.0)
                setattr(world.get_coordinators()[0], place, True)
                world.run(DURATION_S)
                if answer is answer_well:
                    self.assertEqual("done", world.get_status(), place)
                else:
                    self.check_rolled_back(world)

    def test_two_coordinators(self):
        """Guards against two VMs that both advance the state."""
        for answer in (answer_well, answer_badly(fail=0.5, start_s=4.0)):
            world = self.start(answer)
            for number, vm in enumerate(world.vms):
                # Each half of the fleet believes that the other one is gone.
                half = [v.info for v in world.vms[number % 2 :: 2]]
                vm.list_vms = lambda half=half: half
            phases = []
            while world.now < world.ordered_at + DURATION_S:
                world.run(0.1)
                phases.append(world.get_phase())
            final = Phase.DONE if answer is answer_well else Phase.ROLLED_BACK
            order = [None, Phase.CANARY, Phase.FULL, final]
            ranks = [order.index(phase) for phase in phases]
            self.assertEqual(sorted(ranks), ranks)
            self.assertEqual(final, phases[-1])
            self.assertEqual(1, len({s for _, s in world.statuses} - {"running"}))

    def test_store_away_until_the_time_limit(self):
        """Guards against requests to a version while no rollback could arrive."""
        world = self.start(answer_badly(fail=0.2, start_s=1.0))
        world.run(1.0)
        world.is_store_up = False
        world.run(DURATION_S)
        self.assertEqual(0, world.count_sent("v2", 1.0 + 3.2))
        self.assertEqual("running", world.get_status())
        world.is_store_up = True
        world.run(2.0)
        self.assertEqual("rolled_back", world.get_status())
        self.assertEqual(0, world.count_sent("v2", 1.0 + 3.2))

    def test_order_replaced(self):
        """Guards against a new version that inherits the traffic of another one."""
        world = self.start(versions=("v1", "v2", "v3"))
        world.run(9.0)
        self.assertEqual(Phase.FULL, world.get_phase())
        world.order("v3")
        world.run(1.0)
        self.assertEqual(0, world.count_sent("v2", 0.6))
        world.run(4.0)
        self.assertEqual(Phase.CANARY, world.get_phase())
        self.assertLess(world.count_sent("v3"), 30)
        self.assertGreater(world.count_sent("v1", 1.0), 50)
        world.run(DURATION_S)
        self.check_done(world)

    def test_order_withdrawn(self):
        """Guards against requests to a version whose order is gone."""
        for after_s in (0.05, 2.0, 9.0):
            world = self.start()
            world.run(after_s)
            statuses = list(world.statuses)
            world.order(None)
            world.run(DURATION_S)
            self.assertEqual(0, world.count_sent("v2", 0.6))
            self.assertGreater(world.count_sent("v1", 1.0), 100)
            self.assertEqual(len(statuses), len(world.statuses))
            # A VM that starts later knows which version was in use.
            world.restart(world.vms[0])
            world.run(1.0)
            self.assertEqual(0, world.count_sent("v2", 0.6))

    def test_new_targets_never_come(self):
        """Guards against a service that is left to a version without targets."""
        world = self.start(versions=("v1",))
        world.run(DURATION_S)
        self.check_rolled_back(world)
        self.assertGreater(world.count_sent("v1"), 200)

    def test_new_targets_come_late(self):
        """Guards against a rollback because targets take seconds to start."""
        world = self.start(versions=("v1",))
        world.run(4.0)
        world.targets += World(answer_well, versions=("v2",)).targets
        world.run(DURATION_S - 3.0)
        self.check_done(world)

    def test_new_targets_gone(self):
        """Guards against old targets that are stopped although no new one is left."""
        world = self.start()
        world.run(9.0)
        self.assertEqual(Phase.FULL, world.get_phase())
        world.targets = [t for t in world.targets if t.software_version == "v1"]
        world.run(DURATION_S - 9.0)
        self.check_rolled_back(world)

    def test_first_targets(self):
        """Guards against a service whose first version gets a part of the requests."""
        world = World(answer_well, versions=("v2",))
        world.order("v2")
        world.run(DURATION_S)
        self.assertEqual("done", world.get_status())
        self.assertGreater(world.count_sent("v2", 4.0), 150)

    def test_answer_to_a_write_lost(self):
        """Guards against a state that is written again after its answer was lost."""
        world = self.start()
        for _ in range(20):
            world.lost_answers = 1
            world.run(DURATION_S / 20)
        self.check_done(world)
        self.assertEqual(["running", "done"], [status for _, status in world.statuses])

    def test_store_comes_back_from_an_older_copy(self):
        """Guards against a verdict that is lost with the store's latest content."""
        cases = (
            (answer_well, "done", (3.0, 9.0, 11.8)),
            (answer_badly(fail=0.9), "rolled_back", (0.6, 5.0, 9.0)),
        )
        for answer, expected, times in cases:
            for after_s in times:
                for keys in ((), ("state", "status")):
                    world = self.start(answer)
                    world.run(after_s)
                    sent = world.count_sent("v2")
                    known = world.get_status()
                    world.restore(keys)
                    world.run(DURATION_S + 1 - after_s)
                    self.assertEqual(expected, world.get_status(), (after_s, keys))
                    self.assertIsNotNone(world.get_phase())
                    if known == "rolled_back":
                        self.assertEqual(sent, world.count_sent("v2"))

    def test_vms_restart_or_join(self):
        """Guards against a part of the slack that each new process uses again."""
        world = self.start(answer_badly(fail=0.04), size=12)
        world.run(3.0)
        for vm in list(world.vms):
            world.restart(vm)
            world.run(0.3)
        self.assertEqual(12, len(world.vms))
        total = world.count_sent("v1", 0.0) + world.count_sent("v2", 0.0)
        self.assertLessEqual(world.count_sent("v2"), SHARE * total + 0.8 * SLACK)
        world.run(DURATION_S - 6.0)
        self.assertIn(world.get_status(), ("done", "rolled_back"))

    def test_restarted_coordinators_keep_the_time(self):
        """Guards against a rollout that misses its limit after a restart."""
        for after_s in (4.0, 7.9, 9.0, 10.0):
            world = self.start(rate=0.2)
            world.run(after_s)
            for vm in world.get_coordinators():
                world.restart(vm)
            world.run(DURATION_S + 0.5 - after_s)
            self.check_done(world)


class RefusalTests(RolloutCase):
    """Versions that refuse requests."""

    def test_version_refuses_everything(self):
        """Guards against `DONE` for a version that has never answered."""
        for size, rate in ((6, 24.0), (58, 24.0), (6, 200.0)):
            for start_s in (0.0, 5.0):
                # The targets come late in the second case.
                versions = ("v1",) if start_s else ("v1", "v2")
                answer = self.refuse_after(DURATION_S)
                world = self.start(answer, size=size, rate=rate, versions=versions)
                world.run(start_s)
                if start_s:
                    world.targets += World(answer, versions=("v2",)).targets
                world.run(DURATION_S + 0.5 - start_s)
                self.assertEqual("rolled_back", world.get_status(), (size, rate))
                self.assertLess(world.statuses[-1][0], DURATION_S)

    def test_version_refuses_while_it_starts(self):
        """Guards against a rollback of a version that needs seconds to start."""
        world = self.start(self.refuse_after(4.0))
        world.run(DURATION_S + 1)
        self.check_done(world)

    def test_refused_requests_only(self):
        """Guards against a division by zero if no request counts."""
        world = self.start(lambda version, route, since_order_s: None, rate=200.0)
        world.run(7.0)
        vm = world.get_coordinators()[0]
        coordinator = vm.agent._coordinator
        coordination = coordinator._coordinations["s"]
        for report in coordination.reports.values():
            report.sent, report.candidate_sent = 0, 100
        rollout = vm.rollouts.get("s")
        self.assertIsNone(coordinator._choose_step_share(rollout, coordination, 7.0))
        world.run(DURATION_S - 6.0)
        self.assertEqual("rolled_back", world.get_status())

    def refuse_after(self, until_s):
        def answer(version, route, since_order_s):
            is_refused = version == "v2" and since_order_s < until_s
            return None if is_refused else (True, 1.0)

        return answer


class LateDecisionTests(RolloutCase):
    """Decisions shortly before the time limit."""

    def test_all_traffic_only_if_it_can_be_observed(self):
        """Guards against `DONE` for a version that nobody observed with all traffic."""
        for duration_s in (12.0, 8.0, 4.0):
            for late_by_s in (1.8, 1.2, 0.5):
                self.check_late_targets(duration_s, late_by_s)

    def check_late_targets(self, duration_s, late_by_s):
        world = self.start(versions=("v1",))
        world.order("v2", duration_s)
        # A VM whose key is still listed does not acknowledge anything.
        others = [vm for vm in world.vms if vm not in world.get_coordinators()]
        world.kill(others[0])
        world.run(duration_s - late_by_s)
        world.targets += World(answer_well, versions=("v2",)).targets
        phases = []
        while world.now < world.ordered_at + duration_s:
            world.run(0.1)
            phases.append(world.get_phase())
        self.assertTrue(phases[-1].is_final, (duration_s, late_by_s))
        if phases[-1] is Phase.DONE:
            shortest = 10 * min(1.0, duration_s / 12) - 1
            self.assertGreater(phases.count(Phase.FULL), shortest)


class CoordinatorChoiceTests(testtools.TestCase):
    """Which VMs coordinate a service."""

    def test_deputy_is_in_another_failure_domain(self):
        """Guards against a coordinator and a deputy that fail together."""
        vms = [vm.info for vm in World(answer_well, size=9).vms]
        firsts = set()
        for number in range(40):
            first, deputy = choose_coordinators(f"s{number}", vms)
            self.assertNotEqual(first.domain, deputy.domain)
            firsts.add(first.vm_id)
        self.assertGreater(len(firsts), 6)
        self.assertEqual([], choose_coordinators("s", []))
