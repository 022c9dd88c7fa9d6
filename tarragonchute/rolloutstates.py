"""Orders of rollouts, and their states as kept in the store."""

import enum

import orjson

STATE_PREFIX = "tarragonchute/rollouts/"
"""Prefix of the store keys that hold the states."""

ERA_BITS = 48
"""Bits of a revision below the number of the store's era."""

ROLLBACK_MARGIN_S = 2.0
"""Part of `rollback-ms` for what goes before the change reaches a VM: the evidence
takes up to 0.5 s, the decision of a deputy 0.8 s, and a relay lags up to 0.7 s."""

NO_ORDER = 0
"""In place of the revision of an order in a state that belongs to none, because its
order was withdrawn."""

MAX_REVISION = 2**63
"""Integers above this are not encoded."""


class Phase(enum.Enum):
    """Phase of a rollout."""

    CANARY = "canary"
    """The new version gets at most a share of the requests."""

    FULL = "full"
    """All requests go to the new version; the old targets still run."""

    DONE = "done"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self):
        """Whether the rollout has ended."""
        return self in (Phase.DONE, Phase.ROLLED_BACK)


class RolloutLimits:
    """Bounds of all rollouts.

    Parameters
    ----------
    expose_share : float
        Fraction of a service's requests that a bad version may get.
    expose_slack : float
        Requests that it may get in addition.
    rollback_s : float
        Time after its fiftieth bad answer after which it may get none.
    contact_s : float
        Time after which a VM that has run undisturbed counts as in touch.

    Attributes
    ----------
    max_silence_s : float
        Time without the store or a relay after which a VM does not use a version that
        is not `DONE`.
    """

    __slots__ = (
        "expose_share",
        "expose_slack",
        "rollback_s",
        "contact_s",
        "max_silence_s",
    )

    def __init__(self, expose_share, expose_slack, rollback_s=5.0, contact_s=5.0):
        self.max_silence_s = max(rollback_s - ROLLBACK_MARGIN_S, 0.0)
        self.expose_share = expose_share
        self.expose_slack = expose_slack
        self.rollback_s = rollback_s
        self.contact_s = contact_s


class RolloutOrder:
    """The operators' order to move a service to the targets of a version.

    Parameters
    ----------
    service, version : str
    duration_s : float
        Time by which the rollout must have ended.
    revision : int
        Revision of the order's key in the store.
    """

    __slots__ = ("service", "version", "duration_s", "revision")

    def __init__(self, service, version, duration_s, revision):
        self.service = service
        self.version = version
        self.duration_s = duration_s
        self.revision = revision


class RolloutState:
    """State of the latest rollout of a service, as kept in the store.

    Parameters
    ----------
    order_revision : int
        Revision of the order to which the state belongs.
    version : str
    base : tuple of str
        Versions that served the service before.
    phase : Phase
    share : float
        Fraction of its requests that a VM may send to the version in `CANARY`.
    elapsed_s : float
        Time since the order when the state was written.
    """

    __slots__ = ("order_revision", "version", "base", "phase", "share", "elapsed_s")

    def __init__(self, order_revision, version, base, phase, share, elapsed_s):
        self.order_revision = order_revision
        self.version = version
        self.base = tuple(base)
        self.phase = phase
        self.share = share
        self.elapsed_s = elapsed_s

    @property
    def step(self):
        """What VMs acknowledge: changes of `elapsed_s` alone need none."""
        return [self.order_revision, self.phase.value, self.share]

    def encode(self):
        """Return the value of the state's key."""
        body = {
            "order": self.order_revision,
            "version": self.version,
            "base": list(self.base),
            "phase": self.phase.value,
            "share": self.share,
            "elapsed_s": round(self.elapsed_s, 3),
        }
        return orjson.dumps(body).decode()

    def belongs_to(self, order):
        """Return whether it is the state of an order.

        An order that was written again after the store came back from an older copy has
        a revision of a later era.
        """
        if order is None or order.version != self.version:
            return False
        if self.order_revision == NO_ORDER:
            return False
        if order.revision == self.order_revision:
            return True
        return order.revision >> ERA_BITS > self.order_revision >> ERA_BITS


def decode_state(text):
    """Return the `RolloutState` of a key's value, or None if it is invalid."""
    try:
        body = orjson.loads(text)
        base = body["base"]
        texts = [body["version"], *base]
        numbers = [body[name] for name in ("order", "share", "elapsed_s")]
        if not all(isinstance(value, str) for value in texts):
            return None
        if not all(0 <= number < MAX_REVISION for number in numbers):
            return None
        return RolloutState(
            int(body["order"]),
            body["version"],
            base,
            Phase(body["phase"]),
            float(body["share"]),
            float(body["elapsed_s"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
        return None


def decode_state_key(key):
    """Return the service whose state a key holds, or None for other keys."""
    if not key.startswith(STATE_PREFIX):
        return None
    return key[len(STATE_PREFIX) :] or None
