"""Admission of callers' requests: one limit for the VM, shared fairly by teams."""

from . import errors

MIN_LIMIT = 4
"""The limit never falls below this, so that recovery can be noticed."""

DECREASE = 0.8
DECREASE_PAUSE_S = 0.1
"""Pause after a decrease; one overload makes many requests late at once."""

ACTIVE_S = 1.0
"""How long a team's unused share is kept free after its last request."""

RESERVE = 0.05
"""Part of the limit that a team over its share leaves free for other teams."""


class _TeamLoad:
    __slots__ = ("in_flight", "weight", "active_until")

    def __init__(self):
        self.in_flight = 0
        self.weight = 1
        self.active_until = 0.0


class Admission:
    """Decides at once whether a request may start.

    Parameters
    ----------
    max_in_flight : int
        Bound of the limit, from subtree ``fleet``.
    """

    __slots__ = (
        "_max",
        "_limit",
        "_teams",
        "_weights",
        "_in_flight",
        "_decreased_at",
    )

    def __init__(self, max_in_flight):
        self._max = max_in_flight
        self._limit = float(max_in_flight)
        self._teams = {}
        self._weights = 0
        self._in_flight = 0
        self._decreased_at = -DECREASE_PAUSE_S

    @property
    def limit(self):
        """Requests that may be in flight at present."""
        return int(self._limit)

    @property
    def in_flight(self):
        """Requests in flight."""
        return self._in_flight

    def set_tree(self, tree):
        """Take the bound and the weights from a `SettingsTree`."""
        bound = max(1, tree.fleet.max_in_flight)
        if self._limit >= self._max:
            self._limit = float(bound)
        self._max = bound
        self._limit = min(self._limit, float(bound))
        for name, team in tree.teams.items():
            self._find(name).weight = max(1, team.weight)
        for name in [name for name in self._teams if name not in tree.teams]:
            if self._teams[name].in_flight == 0:
                del self._teams[name]
        self._weights = sum(team.weight for team in self._teams.values())

    def enter(self, team, now):
        """Count a request as started; `leave` must follow.

        Parameters
        ----------
        team : str
        now : float
            Monotonic seconds.

        Raises
        ------
        TeamOverloadedError
            If the team has used its share and no idle share is left.
        OverloadedError
            If the VM is at its limit.
        """
        load = self._find(team)
        load.active_until = now + ACTIVE_S
        is_over = load.in_flight >= self._limit * load.weight / self._weights
        if is_over and not self._has_idle(load, now):
            raise errors.TeamOverloadedError(f"team {team} has used its share")
        if self._in_flight >= self.limit:
            raise errors.OverloadedError("this VM is at its limit")
        load.in_flight += 1
        self._in_flight += 1

    def leave(self, team, is_late, is_overloaded, now):
        """Count a request as ended and adjust the limit.

        Parameters
        ----------
        team : str
        is_late : bool
            Whether the answer came after the deadline or was cut off by it.
        is_overloaded : bool
            Whether holders refused it as ``overloaded``.
        now : float
            Monotonic seconds.
        """
        self._find(team).in_flight -= 1
        if is_late or is_overloaded:
            self._decrease(now)
        elif self._in_flight >= self._limit * _BUSY:
            self._limit = min(self._max, self._limit + 1.0 / self._limit)
        self._in_flight -= 1

    def _decrease(self, now):
        if now - self._decreased_at < DECREASE_PAUSE_S:
            return
        self._decreased_at = now
        floor = min(MIN_LIMIT, self._max)
        self._limit = max(floor, self._limit * DECREASE)

    def _find(self, team):
        load = self._teams.get(team)
        if load is None:
            load = self._teams[team] = _TeamLoad()
            self._weights += load.weight
        return load

    def _has_idle(self, load, now):
        """Whether a team over its share may use what the others leave free.

        Shares that no active team uses are again divided by weight.
        """
        others = [team for team in self._teams.values() if team is not load]
        active = [team for team in others if team.active_until > now]
        unit = self._limit / (load.weight + sum(team.weight for team in active))
        kept = sum(max(0.0, unit * t.weight - t.in_flight) for t in active)
        if others:
            kept = max(kept, self._limit * RESERVE, 1.0)
        return self._in_flight + kept < self._limit


_BUSY = 0.5
"""Part of the limit that must be in use for it to rise; an idle VM learns nothing."""
