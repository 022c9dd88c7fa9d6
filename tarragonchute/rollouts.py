"""Which versions of a service may get a request while its traffic moves to a new one.

An order names the new version. The coordinator (`rolloutcoordinator`) keeps the state
of the rollout in the store, so that each VM knows it. From order and state, and without
waiting for anything, each VM derives for itself how many of its requests go to the new
version; the parts of all VMs add up to less than the limit.
"""

import logging
import math

from .servicerollouts import ServiceRollout

logger = logging.getLogger(__name__)


class Rollouts:
    """The rollouts of all services, as this VM knows them.

    Parameters
    ----------
    limits : RolloutLimits or None
        None if rollouts are off; then every version may be used.
    compute_part : callable or None
        Returns the `SlackPart` of this VM for a service.
    handle_change : callable or None
        Called with a service and the time after the versions that it may use have
        changed.

    Attributes
    ----------
    last_heard_at : callable
        Returns when the store or a relay last answered, in monotonic seconds.
    """

    def __init__(self, limits=None, compute_part=None, handle_change=None):
        self.limits = limits
        self.last_heard_at = lambda: math.inf
        self._compute_part = compute_part
        self._handle_change = handle_change
        # Services with an order or a state, now or earlier.
        self._services = {}
        self._running = {}
        self._withdrawn = {}
        self._established = {}
        self._held_back = set()

    def get(self, service):
        """Return the `ServiceRollout`, or None if there is neither order nor state."""
        return self._services.get(service)

    def list_running(self):
        """Return the `ServiceRollout` of each order that needs a coordinator."""
        return list(self._running.values())

    def list_withdrawn(self):
        """Return the `ServiceRollout` of each order that was withdrawn before `DONE`.

        See `ServiceRollout.is_withdrawal_unknown`.
        """
        return list(self._withdrawn.values())

    def set_order(self, service, order, now):
        """Apply an order; None if it was withdrawn. Ignored if rollouts are off."""
        known = self._services.get(service)
        if self.limits is None or known is None and order is None:
            return
        rollout = known or self._open(service)
        if rollout.set_order(order, now):
            self._update(rollout, now)

    def set_state(self, service, state, now, revision=None):
        """Apply a state from the store; None, for a removed key, changes nothing.

        Parameters
        ----------
        service : str
        state : rolloutstates.RolloutState or None
        now : float
        revision : int or None
            Revision of the state's key, if it is known.
        """
        known = self._services.get(service)
        if self.limits is None or known is None and state is None:
            return
        rollout = known or self._open(service)
        if rollout.set_state(state, now, revision):
            self._update(rollout, now)

    def replace_all(self, orders, states, now):
        """Apply a full listing.

        Parameters
        ----------
        orders : dict of str to RolloutOrder
            By service.
        states : dict of str to (RolloutState, int)
            States and the revisions of their keys, by service.
        now : float
        """
        for service in {*self._services, *orders, *states}:
            self.set_order(service, orders.get(service), now)
            state, revision = states.get(service, (None, None))
            if service in self._services:
                self._services[service].forget_revision()
            self.set_state(service, state, now, revision)

    def _open(self, service):
        established = self._established.get(service, frozenset())
        rollout = self._services[service] = ServiceRollout(service, established)
        return rollout

    def _update(self, rollout, now):
        if rollout.is_running or rollout.has_rewritten_order:
            self._running[rollout.service] = rollout
        else:
            self._running.pop(rollout.service, None)
        if rollout.is_withdrawal_unknown:
            self._withdrawn[rollout.service] = rollout
        else:
            self._withdrawn.pop(rollout.service, None)
        if self._compute_part is not None:
            rollout.set_part(self._compute_part(rollout.service))
        state = rollout.get_current_state()
        logger.info(
            "versions of a service",
            extra={
                "service": rollout.service,
                "allowed": sorted(rollout.base),
                "new": rollout.candidate,
                "phase": state.phase.value if state else None,
                "share": state.share if state else None,
            },
        )
        if self._handle_change is not None:
            self._handle_change(rollout.service, now)

    def update_parts(self):
        """Compute this VM's parts again after a change of the list of VMs."""
        for rollout in self.list_running():
            rollout.set_part(self._compute_part(rollout.service))

    def filter(self, service, usable, registered):
        """Return the targets of versions that may get a request.

        Parameters
        ----------
        service : str
        usable : list of registry.RegisteredTarget
            Usable targets of the service.
        registered : iterable of registry.RegisteredTarget
            All its targets; a version is in use as long as it has any.
        """
        if self.limits is None:
            return usable
        rollout = self._services.get(service)
        if rollout is None:
            allowed = self._find_established(service, None, registered)
        else:
            if not rollout.established:
                rollout.set_established(
                    self._find_established(service, rollout.order, registered)
                )
            allowed = {*rollout.base, rollout.candidate}
        return [t for t in usable if t.registration.software_version in allowed]

    def _find_established(self, service, order, registered):
        """Return the versions that a service without order and state may use.

        These are the first ones that are known. Others are used only when no target of
        the first ones is left.
        """
        present = {target.registration.software_version for target in registered}
        known = self._established.get(service, frozenset())
        if order is not None:
            present.discard(order.version)
        if not known & present:
            known = self._established[service] = known | present
        elif present - known and service not in self._held_back:
            self._held_back.add(service)
            logger.warning(
                "targets of a version that no order names get no requests",
                extra={"service": service, "versions": sorted(present - known)},
            )
        return known

    def group_by_version(self, service, targets):
        """Return the targets in groups, each of which can serve all requests."""
        rollout = self._services.get(service)
        if rollout is None or rollout.candidate is None:
            return [targets]
        old, new = [], []
        for target in targets:
            is_new = target.registration.software_version == rollout.candidate
            (new if is_new else old).append(target)
        return [group for group in (old, new) if group]

    def choose_version(self, service, now, is_retry=False):
        """Return the sets of versions for one attempt, the preferred set first.

        Parameters
        ----------
        service : str
        now : float
            Monotonic seconds.
        is_retry : bool
            Whether it is a retry or hedge, for which old versions are preferred.

        Returns
        -------
        tuple of frozenset of str, or None
            None if all targets that `filter` returns may be used.
        """
        rollout = self._services.get(service)
        if rollout is None:
            return None
        silence_s = now - self.last_heard_at()
        return rollout.list_choices(now, is_retry, silence_s, self.limits)

    def record_sent(self, service, version):
        """Count an attempt, for the limit of the new version."""
        rollout = self._services.get(service)
        if rollout is not None:
            rollout.record_sent(version)

    def record(self, route_name, service, version, outcome, elapsed_s, now):
        """Collect evidence from the end of an attempt.

        Parameters
        ----------
        route_name, service, version : str
        outcome : rolloutevidence.Outcome
        elapsed_s : float or None
            Time since the request was sent; None if it says nothing about the version.
        now : float
            Monotonic seconds.
        """
        rollout = self._services.get(service)
        if rollout is not None:
            rollout.record_end(route_name, version, outcome, elapsed_s, now)
