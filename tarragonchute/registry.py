"""Targets as they register themselves, and which of them may take requests."""

import logging
import math

logger = logging.getLogger(__name__)

LAPSE_GRACE_S = 2.2
"""Time after the store's return within which live targets register again. Until then
a registration that is missing may have lapsed while the store was away."""


class Registration:
    """What a target says about itself.

    Parameters
    ----------
    target_id : str
    service : str
    address : tuple of (str, int)
    domain : str
        Failure domain.
    slots : int
        Requests that it runs at a time.
    is_draining : bool
    cold_left_s : float
        Time for which it stays cold, counted from the report.
    started_ms : int
        Unix milliseconds of its start. A target may start again under its old id.
    """

    __slots__ = (
        "target_id",
        "service",
        "address",
        "domain",
        "slots",
        "is_draining",
        "cold_left_s",
        "started_ms",
    )

    def __init__(
        self,
        target_id,
        service,
        address,
        domain,
        slots=1,
        is_draining=False,
        cold_left_s=0.0,
        started_ms=0,
    ):
        self.target_id = target_id
        self.service = service
        self.address = address
        self.domain = domain
        self.slots = slots
        self.is_draining = is_draining
        self.cold_left_s = cold_left_s
        self.started_ms = started_ms

    def is_same_process(self, other):
        """Whether both describe one lifetime of a target."""
        return (
            self.started_ms == other.started_ms
            and self.address == other.address
            and self.service == other.service
        )


class RegisteredTarget:
    """One lifetime of a target.

    Parameters
    ----------
    registration : Registration
    pool : exchanges.TargetPool

    Attributes
    ----------
    cold_until : float
        Monotonic seconds.
    missing_since : float or None
        When its registration was found missing after an outage of the store.
    is_wrong_process : bool
        Whether another process answered at its address.
    slowness : float
        Moving average of its reply time divided by the route's usual reply time.
    was_late : bool
        Whether the latest exchange took far longer than usual.
    observed_at : float
        When `slowness` was last updated, in monotonic seconds.
    suspect_until : float
        It failed; until then it is used only if nothing else can be.
    failures : int
        Failures in a row.
    failure_share : float
        Moving average of its failures, from 0 to 1; refusals do not count.
    judged_at : float
        When `failure_share` was last updated, in monotonic seconds.
    next_cold_send : float or None
        When this VM may send it the next request while it is cold; None before the
        first one was considered.
    observer : callable or None
        Called with the target, an ended exchange and the time.
    is_preferred : bool
        Whether this VM normally uses it; others serve when these fail.
    """

    __slots__ = (
        "registration",
        "pool",
        "cold_until",
        "missing_since",
        "is_wrong_process",
        "slowness",
        "was_late",
        "observed_at",
        "suspect_until",
        "failures",
        "failure_share",
        "judged_at",
        "next_cold_send",
        "identity",
        "observer",
        "is_preferred",
        "_cold_left_s",
    )

    def __init__(self, registration, pool):
        self.registration = registration
        self.pool = pool
        self.cold_until = -math.inf
        self.missing_since = None
        self.is_wrong_process = False
        self.slowness = 1.0
        self.was_late = False
        self.observed_at = 0.0
        self.suspect_until = -math.inf
        self.failures = 0
        self.failure_share = 0.0
        self.judged_at = 0.0
        self.next_cold_send = None
        self.identity = registration.target_id.encode("latin-1", "replace")
        self.observer = None
        self.is_preferred = True
        self._cold_left_s = 0.0

    def note_cold_report(self, left_s, now):
        """Take a report of how long the target stays cold.

        Reports arrive late, so each one ends the cold time too late rather than too
        early. The earliest end of all reports of one cold time is the best one.
        """
        if left_s <= 0:
            self.cold_until = -math.inf
            return
        is_same_time = self.cold_until > now and left_s <= self._cold_left_s
        end = now + left_s
        self.cold_until = min(self.cold_until, end) if is_same_time else end
        self._cold_left_s = left_s

    def note_end(self, exchange, now):
        """Pass an ended exchange to the observer."""
        if self.observer is not None:
            self.observer(self, exchange, now)


class Registry:
    """The table of registered targets.

    Parameters
    ----------
    open_pool : callable
        Takes a `Registration`; returns the `TargetPool` to its address.
    arrange : callable
        Takes a service and its usable targets, whenever they have changed; sets
        `is_preferred` and the limits of their links.
    close_pool : callable
        Takes the link and the time.
    observer : callable or None
        See `RegisteredTarget`.

    Attributes
    ----------
    evacuated : frozenset of str
        Failure domains that operators have taken out.
    """

    def __init__(self, open_pool, close_pool, arrange, observer=None):
        self._open_pool = open_pool
        self._arrange = arrange
        self._close_pool = close_pool
        self._observer = observer
        self._targets = {}
        self._by_service = {}
        self._usable = {}
        self._dirty = set()
        self.evacuated = frozenset()

    def __len__(self):
        return len(self._targets)

    def get(self, target_id):
        """Return the `RegisteredTarget`, or None."""
        return self._targets.get(target_id)

    def list_targets(self):
        """Return all targets."""
        return list(self._targets.values())

    def list_usable(self, service):
        """Return the targets of a service that may take requests.

        The list is shared and must not be changed.
        """
        usable = self._usable.get(service)
        if usable is None:
            members = self._by_service.get(service, {})
            usable = [members[key] for key in sorted(members)]
            usable = [target for target in usable if self._is_usable(target)]
            self._arrange(service, usable)
            self._usable[service] = usable
        return usable

    def refresh(self, limit):
        """Arrange up to `limit` of the services whose targets have changed."""
        for _ in range(min(limit, len(self._dirty))):
            self.list_usable(self._dirty.pop())

    def rearrange(self):
        """Arrange the targets of all services again."""
        self._usable.clear()
        self._dirty.update(self._by_service)

    def _invalidate(self, service):
        self._usable.pop(service, None)
        self._dirty.add(service)

    def apply(self, target_id, registration, now):
        """Take a change of one registration.

        Parameters
        ----------
        target_id : str
        registration : Registration or None
            None if it was removed or cannot be read.
        now : float
            Monotonic seconds.
        """
        known = self._targets.get(target_id)
        if registration is None:
            self._remove(target_id, now, "registration removed")
            return
        if known is not None and not known.registration.is_same_process(registration):
            self._remove(target_id, now, "started again")
            known = None
        if known is None:
            known = self._add(registration)
        elif known.registration.is_draining != registration.is_draining:
            logger.info(
                "target changed state",
                extra={
                    "target": target_id,
                    "service": registration.service,
                    "draining": registration.is_draining,
                },
            )
        known.note_cold_report(registration.cold_left_s, now)
        known.registration = registration
        known.missing_since = None
        self._invalidate(registration.service)

    def replace_all(self, registrations, now, is_after_outage):
        """Take a whole listing.

        Parameters
        ----------
        registrations : dict of str to Registration
        now : float
        is_after_outage : bool
            Whether registrations may have lapsed while the store was away. Missing
            targets are then kept for `LAPSE_GRACE_S`.
        """
        for target_id, registration in registrations.items():
            self.apply(target_id, registration, now)
        for target_id in [key for key in self._targets if key not in registrations]:
            target = self._targets[target_id]
            if not is_after_outage:
                self._remove(target_id, now, "registration missing")
            elif target.missing_since is None:
                target.missing_since = now

    def set_evacuated(self, domains):
        """Take the set of failure domains that operators have taken out."""
        domains = frozenset(domains)
        if domains == self.evacuated:
            return
        logger.info(
            "evacuated domains changed",
            extra={"before": sorted(self.evacuated), "after": sorted(domains)},
        )
        self.evacuated = domains
        self.rearrange()

    def note_wrong_process(self, target, now):
        """Stop using a target whose address belongs to another process now."""
        if not target.is_wrong_process:
            target.is_wrong_process = True
            self._invalidate(target.registration.service)
            logger.info(
                "another process answers at the address of a target",
                extra={"target": target.registration.target_id},
            )
            self._close_pool(target.pool, now)

    def sweep(self, now):
        """Remove targets whose registration did not come back after an outage."""
        for target_id, target in list(self._targets.items()):
            since = target.missing_since
            if since is not None and now - since > LAPSE_GRACE_S:
                self._remove(target_id, now, "registration lapsed")

    def _add(self, registration):
        target = RegisteredTarget(registration, self._open_pool(registration))
        target.observer = self._observer
        self._targets[registration.target_id] = target
        members = self._by_service.setdefault(registration.service, {})
        members[registration.target_id] = target
        return target

    def _remove(self, target_id, now, reason):
        target = self._targets.pop(target_id, None)
        if target is None:
            return
        self._forget(target_id, target.registration.service)
        self._close_pool(target.pool, now)
        logger.info(
            "target removed",
            extra={
                "target": target_id,
                "service": target.registration.service,
                "reason": reason,
            },
        )

    def _forget(self, target_id, service):
        members = self._by_service[service]
        del members[target_id]
        if not members:
            del self._by_service[service]
        self._invalidate(service)

    def _is_usable(self, target):
        registration = target.registration
        return not (
            registration.is_draining
            or target.is_wrong_process
            or registration.domain in self.evacuated
        )
