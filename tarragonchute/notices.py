"""What targets state about themselves in their replies.

A notice speaks for the process that sent the reply. That is the target of the exchange,
also if the reply reports a failure; a refusal by another process at the target's
address speaks for that process. Replies that are incomplete, or that belong to another
request, are not read: a target repeats its notice in each reply.
"""

import logging
import re

logger = logging.getLogger(__name__)

LEAVING_VALUE = b"1"

MISDIRECTED_STATUS = 421

UNAVAILABLE_STATUS = 503

RETRY_AFTER = b"retry-after"

MAX_PAUSE_S = 3600.0
"""Longest pause that is granted. A target that asks for more by mistake is tried again
after it; one that has more to do than that leaves."""

_SECONDS = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{1,15})?")

MAX_LOGGED_VALUE_BYTES = 100


class NoticeReader:
    """Reads the notices in replies and applies them to the registry.

    Parameters
    ----------
    registry : registry.Registry
    header_names : headernames.HeaderNames
    """

    __slots__ = ("_registry", "_names")

    def __init__(self, registry, header_names):
        self._registry = registry
        self._names = header_names.lowercase

    def read(self, target, reply, now):
        """Apply the notices in a reply.

        Parameters
        ----------
        target : registry.RegisteredTarget
            The target to which the request was sent.
        reply : replies.Reply
        now : float
            Monotonic seconds.
        """
        if reply.get(self._names.leaving) is not None:
            self._read_leaving(target, reply, now)
        if reply.status == UNAVAILABLE_STATUS and reply.get(RETRY_AFTER) is not None:
            self._read_pause(target, reply, now)

    def _read_leaving(self, target, reply, now):
        sender = self._find_sender(target, reply)
        if sender is None:
            return
        values = reply.list_values(self._names.leaving)
        if values == [LEAVING_VALUE]:
            self._registry.record_leaving(sender, now)
        else:
            _log_invalid_value(sender, self._names.leaving, values)

    def _read_pause(self, target, reply, now):
        values = reply.list_values(RETRY_AFTER)
        pause_s = parse_pause_s(values[0]) if len(values) == 1 else None
        if pause_s is None:
            _log_invalid_value(target, RETRY_AFTER, values)
        elif pause_s > 0:
            self._registry.record_pause(target, pause_s, now)

    def _find_sender(self, target, reply):
        """Return the target that sent a reply, or None if it is not registered."""
        if reply.status != MISDIRECTED_STATUS:
            return target
        identity = reply.get(self._names.identity)
        return identity and self._registry.get(identity.decode("latin-1"))


def parse_pause_s(value):
    """Return the seconds in a ``Retry-After`` value, or None if it has another form.

    The form is that of whole or fractional seconds. A date is not accepted, because the
    time of day may differ between VMs and targets. At most `MAX_PAUSE_S` are returned.
    """
    if _SECONDS.fullmatch(value) is None:
        return None
    return min(float(value), MAX_PAUSE_S)


def _log_invalid_value(target, name, values):
    """Log values that are ignored, once for each target."""
    if target.has_invalid_notice:
        return
    target.has_invalid_notice = True
    logger.warning(
        "ignored a header of a target's reply",
        extra={
            "target": target.registration.target_id,
            "header": name.decode("latin-1"),
            "value": b", ".join(values)[:MAX_LOGGED_VALUE_BYTES].decode("latin-1"),
        },
    )
