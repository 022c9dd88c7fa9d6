"""Tests of admission at the entry."""

import testtools

from tarragonchute import admission, errors
from tarragonchute.settings import FleetSettings, SettingsTree, TeamSettings

MAX_IN_FLIGHT = 40


def build_admission(**weights):
    """Return an admission for teams with these weights."""
    teams = {
        name: TeamSettings(name, weight, 1.0, 100, 1000, [])
        for name, weight in weights.items()
    }
    admitted = admission.Admission(MAX_IN_FLIGHT)
    admitted.set_tree(SettingsTree(FleetSettings({}, {}, MAX_IN_FLIGHT), teams))
    return admitted


def fill(admitted, team, now, most=1000):
    """Enter until refused; return the count and the error."""
    for count in range(most):
        try:
            admitted.enter(team, now)
        except errors.OverloadedError as error:
            return count, error
    return most, None


def drain(admitted, team, count, now, is_late=False, is_overloaded=False):
    """Leave a number of times."""
    for _ in range(count):
        admitted.leave(team, is_late, is_overloaded, now)


class AdmissionTests(testtools.TestCase):
    """Limit and fair shares."""

    def test_limit_is_never_exceeded(self):
        """Guards against more work than the fleet setting allows."""
        admitted = build_admission(one=1)
        count, error = fill(admitted, "one", 0.0)
        self.assertEqual(MAX_IN_FLIGHT, count)
        self.assertEqual("not_run", error.outcome)
        drain(admitted, "one", count, 0.0)
        self.assertEqual(0, admitted.in_flight)

    def test_active_teams_get_shares_by_weight(self):
        """Guards against one team's burst crowding out another."""
        for weights in ((1, 1), (3, 1), (1, 4)):
            admitted = build_admission(one=weights[0], two=weights[1])
            admitted.enter("two", 0.0)
            count, error = fill(admitted, "one", 0.0)
            self.assertIsInstance(error, errors.TeamOverloadedError)
            share = MAX_IN_FLIGHT * weights[0] / sum(weights)
            self.assertAlmostEqual(share, count, delta=1, msg=weights)
            rest, _ = fill(admitted, "two", 0.0)
            self.assertEqual(MAX_IN_FLIGHT, count + rest + 1, weights)

    def test_idle_share_is_usable_but_for_a_reserve(self):
        """Guards against capacity left unused while one team waits."""
        admitted = build_admission(one=1, two=1)
        count, _ = fill(admitted, "one", 0.0)
        self.assertEqual(int(MAX_IN_FLIGHT * (1 - admission.RESERVE)), count)
        admitted.enter("two", 0.0)

    def test_returning_team_regains_its_share(self):
        """Guards against a share that stays lent out."""
        admitted = build_admission(one=1, two=1)
        count, _ = fill(admitted, "one", 0.0)
        mine = fill(admitted, "two", 0.0)[0]
        for _ in range(count):
            admitted.leave("one", False, False, 0.1)
            fill(admitted, "one", 0.1)
            mine += fill(admitted, "two", 0.1)[0]
        self.assertEqual(MAX_IN_FLIGHT // 2, mine)

    def test_lateness_and_overload_lower_the_limit_once_each_pause(self):
        """Guards against a collapse of the limit by one burst of late answers."""
        for late in (True, False):
            admitted = build_admission(one=1)
            fill(admitted, "one", 0.0)
            drain(admitted, "one", 20, 1.0, late, not late)
            self.assertEqual(int(MAX_IN_FLIGHT * admission.DECREASE), admitted.limit)
            drain(admitted, "one", 1, 2.0, late, not late)
            expected = int(MAX_IN_FLIGHT * admission.DECREASE**2)
            self.assertEqual(expected, admitted.limit)

    def test_limit_falls_to_a_floor_and_rises_again_to_the_bound(self):
        """Guards against a VM that never recovers, or exceeds the setting."""
        admitted = build_admission(one=1)
        for now in range(100):
            admitted.enter("one", now)
            admitted.leave("one", True, False, now)
        self.assertEqual(admission.MIN_LIMIT, admitted.limit)
        for now in range(100, 400):
            count, _ = fill(admitted, "one", now)
            drain(admitted, "one", count, now)
        self.assertEqual(MAX_IN_FLIGHT, admitted.limit)

    def test_idle_vm_does_not_raise_its_limit(self):
        """Guards against a limit raised by answers that tested nothing."""
        admitted = build_admission(one=1)
        admitted.enter("one", 0.0)
        admitted.leave("one", True, False, 0.0)
        before = admitted.limit
        for now in range(1, 1000):
            admitted.enter("one", now)
            admitted.leave("one", False, False, now)
        self.assertEqual(before, admitted.limit)

    def test_smaller_bound_takes_effect_at_once(self):
        """Guards against an operator's lower bound that waits for a restart."""
        admitted = build_admission(one=1)
        admitted.set_tree(SettingsTree(FleetSettings({}, {}, 3)))
        self.assertEqual(3, fill(admitted, "one", 0.0)[0])
