"""Admission control: an adaptive limit on requests in flight, divided among teams.

Additive increase, multiplicative decrease (AIMD): on a busy VM, each request that ends
in time raises the limit by 1/limit. Late requests and overloaded holders lower it by a
constant factor.
"""

from . import errors

MIN_LIMIT = 4
"""The limit never falls below this, so that some requests run and show a recovery."""

DECREASE_FACTOR = 0.8
MIN_DECREASE_INTERVAL_S = 0.1
"""One overload makes many requests late at once, but must lower the limit only once."""

TEAM_ACTIVE_S = 1.0
"""Time after its last request for which a team's unused share is reserved for it."""

RESERVE_FRACTION = 0.05
"""Fraction of the limit that a team over its share leaves free for other teams."""


class _TeamLoad:
    __slots__ = ("in_flight", "weight", "active_until")

    def __init__(self):
        self.in_flight = 0
        self.weight = 1
        self.active_until = 0.0


class Admission:
    """Admits or rejects each request immediately; there is no queue.

    Parameters
    ----------
    max_in_flight : int
        Upper bound of the limit, from the settings subtree ``fleet``.
    """

    __slots__ = (
        "_max_limit",
        "_limit",
        "_teams",
        "_total_weight",
        "_in_flight",
        "_decreased_at",
    )

    def __init__(self, max_in_flight):
        self._max_limit = max_in_flight
        self._limit = float(max_in_flight)
        self._teams = {}
        self._total_weight = 0
        self._in_flight = 0
        self._decreased_at = -MIN_DECREASE_INTERVAL_S

    @property
    def limit(self):
        """Number of requests that may be in flight now."""
        return int(self._limit)

    @property
    def in_flight(self):
        """Number of requests in flight."""
        return self._in_flight

    def set_tree(self, tree):
        """Apply the upper bound and the team weights of a `SettingsTree`."""
        bound = max(1, tree.fleet.max_in_flight)
        if self._limit >= self._max_limit:
            self._limit = float(bound)
        self._max_limit = bound
        self._limit = min(self._limit, float(bound))
        for name, team in tree.teams.items():
            self._get_load(name).weight = max(1, team.weight)
        for name in [name for name in self._teams if name not in tree.teams]:
            if self._teams[name].in_flight == 0:
                del self._teams[name]
        self._total_weight = sum(team.weight for team in self._teams.values())

    def admit(self, team, now):
        """Admit a request and count it; `release` must follow.

        Parameters
        ----------
        team : str
        now : float
            Monotonic seconds.

        Raises
        ------
        TeamOverloadedError
            If the team has used its share and the other teams leave no spare capacity.
        OverloadedError
            If the VM has reached its limit of requests in flight.
        """
        load = self._get_load(team)
        load.active_until = now + TEAM_ACTIVE_S
        is_over_share = load.in_flight >= self._limit * load.weight / self._total_weight
        if is_over_share and not self._has_spare_capacity(load, now):
            raise errors.TeamOverloadedError(
                f"team {team} has used its share of this VM's requests in flight"
            )
        if self._in_flight >= self.limit:
            raise errors.OverloadedError(
                "this VM has reached its limit of requests in flight"
            )
        load.in_flight += 1
        self._in_flight += 1

    def release(self, team, is_late, is_overloaded, now):
        """Count a request as ended and adapt the limit.

        Parameters
        ----------
        team : str
        is_late : bool
            Whether the answer was late or the request ended at its deadline.
        is_overloaded : bool
            Whether holders refused too much of it because of overload.
        now : float
            Monotonic seconds.
        """
        self._get_load(team).in_flight -= 1
        if is_late or is_overloaded:
            self._decrease(now)
        elif self._in_flight >= self._limit * _MIN_UTILIZATION:
            self._limit = min(self._max_limit, self._limit + 1.0 / self._limit)
        self._in_flight -= 1

    def _decrease(self, now):
        if now - self._decreased_at < MIN_DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        floor = min(MIN_LIMIT, self._max_limit)
        self._limit = max(floor, self._limit * DECREASE_FACTOR)

    def _get_load(self, team):
        load = self._teams.get(team)
        if load is None:
            load = self._teams[team] = _TeamLoad()
            self._total_weight += load.weight
        return load

    def _has_spare_capacity(self, load, now):
        """Whether a team over its share may use capacity that others leave free.

        Shares of inactive teams are divided by weight among the active ones. What these
        don't use of their shares stays reserved for them.
        """
        others = [team for team in self._teams.values() if team is not load]
        active = [team for team in others if team.active_until > now]
        share_per_weight = self._limit / (
            load.weight + sum(team.weight for team in active)
        )
        reserved = sum(
            max(0.0, share_per_weight * t.weight - t.in_flight) for t in active
        )
        if others:
            reserved = max(reserved, self._limit * RESERVE_FRACTION, 1.0)
        return self._in_flight + reserved < self._limit


_MIN_UTILIZATION = 0.5
"""Fraction of the limit that must be in use for it to rise.

Requests on an idle VM don't show whether it could handle more.
"""
