"""The registered targets, and which of them may receive requests."""

import collections
import logging
import math
import random

from .rollouts import Rollouts

logger = logging.getLogger(__name__)

REGISTRATION_GRACE_S = 2.2
"""Time after a store outage within which live targets register again. Until then, a
missing registration may have expired because of the outage."""


MAX_REMEMBERED_NOTICES = 4096
"""Removed targets whose notices and draining registrations are kept, because an old
registration may be read again, for example in the snapshot of another VM."""


RETURN_SPREAD_S = 1.0
RETURN_SPREAD_FRACTION = 0.25
"""Maximum delay, in seconds and as a fraction of a pause, after which a VM uses a
target again. Each VM chooses its delay at random, so that not all return at once."""

RETURN_RAMP_S = 3.0
"""Time over which the share of a target grows after a long pause; after a short one, it
grows for as long as the pause was."""


class Registration:
    """Properties that a target publishes when it registers.

    Parameters
    ----------
    target_id : str
    service : str
    address : tuple of (str, int)
    domain : str
        Failure domain.
    slots : int
        Number of requests that it runs concurrently.
    is_draining : bool
        Whether it is shutting down and must get no new requests.
    cold_left_s : float
        Time for which it stays cold, as of the registration.
    started_ms : int
        Start time in Unix milliseconds. A target may restart under the same id.
    software_version : str
        Empty if it states none.
    sequence : int
        Number of this registration among those of one process; rises with each of its
        writes.
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
        "software_version",
        "sequence",
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
        software_version="",
        sequence=0,
    ):
        self.target_id = target_id
        self.service = service
        self.address = address
        self.domain = domain
        self.slots = slots
        self.is_draining = is_draining
        self.cold_left_s = cold_left_s
        self.started_ms = started_ms
        self.software_version = software_version
        self.sequence = sequence

    def is_same_process(self, other):
        """Whether both describe the same process."""
        return (
            self.started_ms == other.started_ms
            and self.address == other.address
            and self.service == other.service
        )

    def is_older_than(self, other):
        """Whether the same process has written the other one later.

        Entries without a sequence number are not ordered.
        """
        return 0 < self.sequence < other.sequence and self.is_same_process(other)


class RegisteredTarget:
    """A target process, and what this VM has observed of it.

    Parameters
    ----------
    registration : Registration
    pool : exchanges.TargetPool

    Attributes
    ----------
    cold_until : float
        End of its cold period, in monotonic seconds.
    missing_since : float or None
        When its registration was found missing after a store outage.
    is_address_reused : bool
        Whether another process has answered at its address.
    slowness : float
        Moving average of its reply time divided by the route's usual reply time.
    was_late : bool
        Whether the latest exchange took far longer than usual.
    slowness_updated_at : float
        When `slowness` was last updated, in monotonic seconds.
    suspect_until : float
        Time until which other targets are preferred, because it failed or refused a
        request; in monotonic seconds.
    failures : int
        Number of consecutive failures and refusals.
    failure_share : float
        Moving average of the share of requests that failed, from 0 to 1; requests that
        the target refused to run do not count as failed.
    failure_share_updated_at : float
        When `failure_share` was last updated, in monotonic seconds.
    turned_cold_at : float
        When this VM learned that it had turned cold again, in monotonic seconds.
    next_cold_send_at : float or None
        When this VM may send it the next request while it is cold; None until this is
        first computed.
    encoded_id : bytes
        Its id, as sent in a header of each request to it.
    on_exchange_end : callable or None
        Called with the target, an ended exchange and the time.
    on_reply : callable or None
        Called with the target, a reply of it and the time.
    is_leaving : bool
        Whether it has stated in a reply that it shuts down. Until another process
        registers under its id, this holds whatever its registration says: a process
        that shuts down does not come back, and the registration may be an old one.
    resumes_at : float
        End of the pause that it has asked for, in monotonic seconds; it gets no
        requests before.
    fully_used_at : float
        Time at which it has its usual share again after a pause.
    has_invalid_notice : bool
        Whether an invalid notice of it was logged.
    is_preferred : bool
        Whether this VM normally uses it. Other targets are used only if the preferred
        ones cannot be.
    """

    __slots__ = (
        "registration",
        "pool",
        "cold_until",
        "missing_since",
        "is_address_reused",
        "slowness",
        "was_late",
        "slowness_updated_at",
        "suspect_until",
        "failures",
        "failure_share",
        "failure_share_updated_at",
        "turned_cold_at",
        "next_cold_send_at",
        "encoded_id",
        "on_exchange_end",
        "on_reply",
        "is_leaving",
        "resumes_at",
        "fully_used_at",
        "has_invalid_notice",
        "is_preferred",
        "_cold_left_s",
    )

    def __init__(self, registration, pool):
        self.registration = registration
        self.pool = pool
        self.cold_until = -math.inf
        self.missing_since = None
        self.is_address_reused = False
        self.slowness = 1.0
        self.was_late = False
        self.slowness_updated_at = 0.0
        self.suspect_until = -math.inf
        self.failures = 0
        self.failure_share = 0.0
        self.failure_share_updated_at = 0.0
        self.turned_cold_at = -math.inf
        self.next_cold_send_at = None
        self.encoded_id = registration.target_id.encode("latin-1", "replace")
        self.on_exchange_end = None
        self.on_reply = None
        self.is_leaving = False
        self.resumes_at = -math.inf
        self.fully_used_at = -math.inf
        self.has_invalid_notice = False
        self.is_preferred = True
        self._cold_left_s = 0.0

    def record_cold_report(self, left_s, now):
        """Update the end of the cold period from a report of the time left.

        Reports arrive with a delay, so the end computed from a report is never too
        early. Of all reports of one cold period, the earliest end is the most exact.

        Returns
        -------
        bool
            Whether the target was warm and has turned cold. A report of the previous
            cold period that arrives after its end states less time than the one before.
        """
        if left_s <= 0:
            self.cold_until = -math.inf
            self._cold_left_s = 0.0
            return False
        was_cold = self.cold_until > now
        has_turned_cold = not was_cold and left_s > self._cold_left_s
        is_same_cold_period = was_cold and left_s <= self._cold_left_s
        end = now + left_s
        self.cold_until = min(self.cold_until, end) if is_same_cold_period else end
        self._cold_left_s = left_s
        return has_turned_cold

    def is_withdrawn(self, now):
        """Whether it has stated that it wants no requests, which is not a failure."""
        return self.is_leaving or now < self.resumes_at

    def handle_reply(self, reply, now):
        """Call `on_reply`, if it is set."""
        if self.on_reply is not None:
            self.on_reply(self, reply, now)

    def handle_exchange_end(self, exchange, now):
        """Call `on_exchange_end`, if it is set."""
        if self.on_exchange_end is not None:
            self.on_exchange_end(self, exchange, now)


class Registry:
    """The table of registered targets.

    Parameters
    ----------
    open_pool : callable
        Takes a `Registration`; returns the `TargetPool` to its address.
    update_preferences : callable
        Called with a service and its usable targets when these are recomputed after a
        change; sets their `is_preferred` and the limits of their connection pools.
    close_pool : callable
        Takes the pool and the time.
    on_exchange_end : callable or None
        See `RegisteredTarget`.
    random_source : random.Random or None
    rollouts : rollouts.Rollouts or None
        Restricts the versions that may get requests.

    Attributes
    ----------
    evacuated : frozenset of str
        Failure domains that operators have taken out of service.
    on_reply : callable or None
        See `RegisteredTarget`; set before the first target is added.
    """

    def __init__(
        self,
        open_pool,
        close_pool,
        update_preferences,
        on_exchange_end=None,
        random_source=None,
        rollouts=None,
    ):
        self._open_pool = open_pool
        self._update_preferences = update_preferences
        self._close_pool = close_pool
        self._on_exchange_end = on_exchange_end
        self._targets = {}
        self._targets_by_service = {}
        self._usable_by_service = {}
        self._changed_services = set()
        # Notices of removed targets by id, the oldest entry first.
        self._removed_notices = collections.OrderedDict()
        self._paused = {}
        self._random = random_source or random.Random()
        self._rollouts = rollouts or Rollouts()
        self.on_reply = None
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
        """Return the targets of a service that may receive requests.

        The list is shared and must not be changed.
        """
        usable = self._usable_by_service.get(service)
        if usable is None:
            targets = self._targets_by_service.get(service, {})
            usable = [targets[key] for key in sorted(targets)]
            usable = [target for target in usable if self._is_usable(target)]
            usable = self._rollouts.filter(service, usable, targets.values())
            self._update_preferences(service, usable)
            self._usable_by_service[service] = usable
        return usable

    def estimate_return_s(self, service, now):
        """Return the time until a target of a service may get requests.

        Returns
        -------
        float
            Seconds, at least 0; infinity if the service has no usable target.
        """
        resumes_at = min(
            (target.resumes_at for target in self.list_usable(service)),
            default=math.inf,
        )
        return max(resumes_at - now, 0.0)

    def list_served_domains(self, service):
        """Return the set of failure domains with a usable target of a service."""
        usable = self._usable_by_service.get(service)
        if usable is None:
            targets = self._targets_by_service.get(service, {}).values()
            usable = [target for target in targets if self._is_usable(target)]
            usable = self._rollouts.filter(service, usable, targets)
        return {target.registration.domain for target in usable}

    def apply_versions(self, service, now):
        """Apply a change of the versions that may get requests of a service.

        Requests that wait for a connection to a target that may not get any fail as not
        sent.
        """
        self._invalidate(service)
        usable = self.list_usable(service)
        for target in list(self._targets_by_service.get(service, {}).values()):
            if self._is_usable(target) and target not in usable:
                target.pool.is_kept_connected = False
                target.pool.fail_queued(now, "its version may not get requests")

    def refresh(self, limit):
        """Recompute the usable targets of up to `limit` changed services."""
        for _ in range(min(limit, len(self._changed_services))):
            self.list_usable(self._changed_services.pop())

    def invalidate_all(self):
        """Mark the usable targets of all services to be computed again."""
        self._usable_by_service.clear()
        self._changed_services.update(self._targets_by_service)

    def _invalidate(self, service):
        self._usable_by_service.pop(service, None)
        self._changed_services.add(service)

    def apply(self, target_id, registration, now):
        """Apply a change of one registration.

        Parameters
        ----------
        target_id : str
        registration : Registration or None
            None if it was removed or cannot be decoded.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether a warm target turned cold again.
        """
        known = self._targets.get(target_id)
        if registration is None:
            self._remove(target_id, now, "registration removed")
            return False
        if known is not None and registration.is_older_than(known.registration):
            known.missing_since = None
            return False
        if known is not None and not known.registration.is_same_process(registration):
            self._remove(target_id, now, "replaced by another process")
            known = None
        is_new = known is None
        if is_new:
            registration = self._find_newest(registration)
            known = self._add(registration, now)
        elif known.registration.is_draining != registration.is_draining:
            logger.info(
                "target changed state",
                extra={
                    "target": target_id,
                    "service": registration.service,
                    "draining": registration.is_draining,
                },
            )
        has_turned_cold = known.record_cold_report(registration.cold_left_s, now)
        has_turned_cold &= not is_new
        known.registration = registration
        known.missing_since = None
        self._invalidate(registration.service)
        if has_turned_cold:
            self._limit_cold_target(known, now)
        return has_turned_cold

    def _limit_cold_target(self, target, now):
        """Limit the requests to a target that has turned cold again.

        Those that wait for a connection were not counted against the limit. They fail
        as not sent.
        """
        logger.info("target turned cold again", extra=_describe(target))
        target.turned_cold_at = now
        target.next_cold_send_at = None
        target.pool.fail_queued(now, "the target turned cold")

    def replace_all(self, registrations, now, is_after_outage):
        """Apply a full listing of registrations.

        Parameters
        ----------
        registrations : dict of str to Registration
        now : float
        is_after_outage : bool
            Whether registrations may have expired during a store outage. Missing
            targets are then kept for `REGISTRATION_GRACE_S`.
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
        """Set the failure domains that operators have taken out of service."""
        domains = frozenset(domains)
        if domains == self.evacuated:
            return
        logger.info(
            "evacuated domains changed",
            extra={"before": sorted(self.evacuated), "after": sorted(domains)},
        )
        self.evacuated = domains
        self.invalidate_all()

    def record_address_reuse(self, target, now):
        """Stop using a target whose address is now used by another process."""
        if not target.is_address_reused:
            target.is_address_reused = True
            self._invalidate(target.registration.service)
            logger.info(
                "another process answers at the address of a target",
                extra={"target": target.registration.target_id},
            )
            self._close_pool(target.pool, now)

    def record_leaving(self, target, now):
        """Stop using a target that has stated in a reply that it shuts down.

        Requests in flight continue. Those that wait for a connection fail as not sent.
        """
        if target.is_leaving:
            return
        target.is_leaving = True
        self._paused.pop(target, None)
        self._invalidate(target.registration.service)
        logger.info("target states that it leaves", extra=_describe(target))
        target.pool.fail_queued(now, "the target leaves")

    def record_pause(self, target, pause_s, now):
        """Send a target nothing for as long as it has asked for in a reply.

        Its share grows again after that. Requests in flight continue; those that wait
        for a connection fail as not sent.
        """
        spread_s = min(RETURN_SPREAD_S, RETURN_SPREAD_FRACTION * pause_s)
        resumes_at = now + pause_s + spread_s * self._random.random()
        if resumes_at <= target.resumes_at or target.is_leaving:
            return
        target.resumes_at = resumes_at
        target.fully_used_at = resumes_at + min(RETURN_RAMP_S, pause_s)
        if target not in self._paused:
            logger.info(
                "target asks for a pause",
                extra={**_describe(target), "pause_s": round(pause_s, 3)},
            )
        self._paused[target] = None
        target.pool.fail_queued(now, "the target asks for a pause")

    def count_paused(self):
        """Return the number of targets that get no requests because they asked so."""
        return len(self._paused)

    def count_leaving(self):
        """Return the number of registered targets that have stated that they leave."""
        return sum(target.is_leaving for target in self._targets.values())

    def resume_paused(self, now):
        """Log which targets are used again after a pause; called periodically."""
        for target in [t for t in self._paused if t.resumes_at <= now]:
            del self._paused[target]
            logger.info("target is used again after its pause", extra=_describe(target))

    def remove_expired(self, now):
        """Remove targets whose registration is still missing after an outage."""
        for target_id, target in list(self._targets.items()):
            since = target.missing_since
            if since is not None and now - since > REGISTRATION_GRACE_S:
                self._remove(target_id, now, "registration expired")

    def _find_newest(self, registration):
        """Return the registration of a removed draining target if it is newer."""
        notices = self._removed_notices.get(registration.target_id)
        if notices is not None and registration.is_older_than(notices[-1]):
            return notices[-1]
        return registration

    def _add(self, registration, now):
        target = RegisteredTarget(registration, self._open_pool(registration))
        target.on_exchange_end = self._on_exchange_end
        target.on_reply = self.on_reply
        notices = self._removed_notices.pop(registration.target_id, None)
        if notices is not None and notices[0] == registration.started_ms:
            _, target.is_leaving, target.resumes_at, target.fully_used_at, _ = notices
            if target.resumes_at > now and not target.is_leaving:
                self._paused[target] = None
        self._targets[registration.target_id] = target
        targets = self._targets_by_service.setdefault(registration.service, {})
        targets[registration.target_id] = target
        return target

    def _remove(self, target_id, now, reason):
        target = self._targets.pop(target_id, None)
        if target is None:
            return
        self._remove_from_index(target_id, target.registration.service)
        self._paused.pop(target, None)
        self._remember_notices(target, now)
        self._close_pool(target.pool, now)
        logger.info(
            "target removed",
            extra={
                "target": target_id,
                "service": target.registration.service,
                "reason": reason,
            },
        )

    def _remember_notices(self, target, now):
        is_withdrawn = target.is_leaving or target.registration.is_draining
        if not is_withdrawn and target.fully_used_at <= now:
            return
        self._removed_notices[target.registration.target_id] = (
            target.registration.started_ms,
            target.is_leaving,
            target.resumes_at,
            target.fully_used_at,
            target.registration,
        )
        if len(self._removed_notices) > MAX_REMEMBERED_NOTICES:
            self._removed_notices.popitem(last=False)

    def _remove_from_index(self, target_id, service):
        targets = self._targets_by_service[service]
        del targets[target_id]
        if not targets:
            del self._targets_by_service[service]
        self._invalidate(service)

    def _is_usable(self, target):
        registration = target.registration
        return not (
            registration.is_draining
            or target.is_leaving
            or target.is_address_reused
            or registration.domain in self.evacuated
        )


def _describe(target):
    """Return the fields that identify a target in the log."""
    registration = target.registration
    return {"target": registration.target_id, "service": registration.service}
