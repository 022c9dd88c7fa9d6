"""Tests of admission control."""

import testtools

from tarragonchute import admission, errors
from tarragonchute.settings import FleetSettings, SettingsTree, TeamSettings

MAX_IN_FLIGHT = 40


def build_admission(**weights):
    """Return an `Admission` for teams with these weights."""
    teams = {
        name: TeamSettings(name, weight, 1.0, 100, 1000, [])
        for name, weight in weights.items()
    }
    controller = admission.Admission(MAX_IN_FLIGHT)
    controller.set_tree(SettingsTree(FleetSettings({}, {}, MAX_IN_FLIGHT), teams))
    return controller


def fill(controller, team, now, max_count=1000):
    """Admit requests until one is rejected; return the count and the error."""
    for count in range(max_count):
        try:
            controller.admit(team, now)
        except errors.OverloadedError as error:
            return count, error
    return max_count, None


def release_many(controller, team, count, now, is_late=False, is_overloaded=False):
    """Release a number of requests."""
    for _ in range(count):
        controller.release(team, is_late, is_overloaded, now)


class AdmissionTests(testtools.TestCase):
    """Adaptive limit and fair shares."""

    def test_limit_is_never_exceeded(self):
        """Guards against more requests in flight than the fleet setting allows."""
        controller = build_admission(one=1)
        count, error = fill(controller, "one", 0.0)
        self.assertEqual(MAX_IN_FLIGHT, count)
        self.assertEqual("not_run", error.outcome)
        release_many(controller, "one", count, 0.0)
        self.assertEqual(0, controller.in_flight)

    def test_active_teams_get_shares_by_weight(self):
        """Guards against one team's burst crowding out another."""
        for weights in ((1, 1), (3, 1), (1, 4)):
            controller = build_admission(one=weights[0], two=weights[1])
            controller.admit("two", 0.0)
            count, error = fill(controller, "one", 0.0)
            self.assertIsInstance(error, errors.TeamOverloadedError)
            share = MAX_IN_FLIGHT * weights[0] / sum(weights)
            self.assertAlmostEqual(share, count, delta=1, msg=weights)
            rest, _ = fill(controller, "two", 0.0)
            self.assertEqual(MAX_IN_FLIGHT, count + rest + 1, weights)

    def test_idle_share_is_usable_except_for_a_reserve(self):
        """Guards against rejecting one team while the other teams use nothing."""
        controller = build_admission(one=1, two=1)
        count, _ = fill(controller, "one", 0.0)
        self.assertEqual(int(MAX_IN_FLIGHT * (1 - admission.RESERVE_FRACTION)), count)
        controller.admit("two", 0.0)

    def test_returning_team_regains_its_share(self):
        """Guards against a team that keeps the shares of others after they return.

        While they were idle, it used their shares; as its requests end, they must get
        the capacity.
        """
        controller = build_admission(one=1, two=1)
        count, _ = fill(controller, "one", 0.0)
        team_two_count = fill(controller, "two", 0.0)[0]
        for _ in range(count):
            controller.release("one", False, False, 0.1)
            fill(controller, "one", 0.1)
            team_two_count += fill(controller, "two", 0.1)[0]
        self.assertEqual(MAX_IN_FLIGHT // 2, team_two_count)

    def test_lateness_and_overload_lower_the_limit_once_per_interval(self):
        """Guards against one burst of late answers lowering the limit to its floor."""
        for late in (True, False):
            controller = build_admission(one=1)
            fill(controller, "one", 0.0)
            release_many(controller, "one", 20, 1.0, late, not late)
            self.assertEqual(
                int(MAX_IN_FLIGHT * admission.DECREASE_FACTOR), controller.limit
            )
            release_many(controller, "one", 1, 2.0, late, not late)
            expected = int(MAX_IN_FLIGHT * admission.DECREASE_FACTOR**2)
            self.assertEqual(expected, controller.limit)

    def test_limit_falls_to_a_floor_and_rises_again_to_the_bound(self):
        """Guards against a limit that never recovers, or exceeds the fleet setting."""
        controller = build_admission(one=1)
        for now in range(100):
            controller.admit("one", now)
            controller.release("one", True, False, now)
        self.assertEqual(admission.MIN_LIMIT, controller.limit)
        for now in range(100, 400):
            count, _ = fill(controller, "one", now)
            release_many(controller, "one", count, now)
        self.assertEqual(MAX_IN_FLIGHT, controller.limit)

    def test_idle_vm_does_not_raise_its_limit(self):
        """Guards against raising the limit without load that shows it is safe."""
        controller = build_admission(one=1)
        controller.admit("one", 0.0)
        controller.release("one", True, False, 0.0)
        before = controller.limit
        for now in range(1, 1000):
            controller.admit("one", now)
            controller.release("one", False, False, now)
        self.assertEqual(before, controller.limit)

    def test_smaller_bound_takes_effect_at_once(self):
        """Guards against a lower max_in_flight that only takes effect on a restart."""
        controller = build_admission(one=1)
        controller.set_tree(SettingsTree(FleetSettings({}, {}, 3)))
        self.assertEqual(3, fill(controller, "one", 0.0)[0])
