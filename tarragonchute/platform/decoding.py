"""Decodes the operator's configuration and the targets' registrations.

Each function returns types of the project, or None for content that cannot be decoded.
Comments give the meaning of a field where its name on the wire does not.
"""

import ipaddress

import orjson

from ..customers import Customer, CustomerTable
from ..httpio import split_address
from ..registry import Registration
from ..rolloutstates import RolloutOrder
from ..routes import CallerLimits, Route, RouteTable, ServicePolicy
from .names import EVACUATION_PREFIX, ROLLOUT_ORDER_PREFIX, TARGET_PREFIX

_VALID_STATES = ("ready", "draining")
_IDEMPOTENT_KIND = "idempotent"

# Below are addresses that mean this machine, above those of groups and broadcasts.
_MIN_ADDRESS = int(ipaddress.IPv4Address("1.0.0.0"))
_FIRST_MULTICAST_ADDRESS = int(ipaddress.IPv4Address("224.0.0.0"))

_MAX_NUMBER = 2**53
"""Larger numbers are not exact in JSON; no target states one."""

# Ids are sent in a header of each request; longer or other ones would change it.
_MAX_ID_LENGTH = 200


def decode_configuration(text):
    """Decode a configuration; return its `RouteTable`, or None if it is invalid."""
    try:
        body = orjson.loads(text)
        limits = body["limits"]
        return RouteTable(
            body["version"],
            [_decode_route(row) for row in body["routes"]],
            {row["name"]: _decode_service(row) for row in body["services"]},
            CallerLimits(
                limits["max-header-bytes"],
                limits["max-body-bytes"],
                limits["header-timeout-ms"] / 1000,
                limits["idle-timeout-ms"] / 1000,
            ),
            _decode_customers(body.get("tenants")),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def _decode_route(row):
    weighted_services = [
        (backend["service"], backend["weight"]) for backend in row.get("backends") or ()
    ]
    if row.get("service"):
        weighted_services = [(row["service"], 1.0)]
    return Route(
        row["name"],
        row["host"].lower(),
        row["prefix"],
        row["kind"] == _IDEMPOTENT_KIND,
        row["timeout-ms"] / 1000,
        row["goal-ms"] / 1000,
        int(row.get("priority") or 0),
        row.get("max-attempts", 1),
        weighted_services,
        # "gather" lists the services of a search, one for each shard.
        row.get("gather") or (),
        row.get("top-k") or 0,
        row.get("min-coverage") or 0.0,
        row.get("public") is True,
    )


def _decode_customers(rows):
    """Return the `CustomerTable`; None if the configuration has no list of customers.

    An empty list is not the same as none: then no key is valid.
    """
    if rows is None:
        return None
    return CustomerTable(
        [(_decode_customer(row), row.get("api-keys") or []) for row in rows]
    )


def _decode_customer(row):
    name = row["name"]
    if not _is_valid_id(name):
        # It is sent in a header of each request.
        raise ValueError(f"{name!r} cannot be the name of a customer")
    return Customer(
        name,
        float(row.get("rate-per-s") or 0),
        float(row.get("burst") or 0),
        None if row.get("priority") is None else int(row["priority"]),
    )


def _decode_service(row):
    return ServicePolicy(
        row["name"],
        row["health-path"],
        # "max-conns" is the limit for all VMs together, not for one VM.
        row["max-conns"],
        row.get("warmup-s") or 0.0,
        row.get("warmup-per-s") or 0.0,
    )


def decode_target_key(key):
    """Return the target id in a registration's key, or None for other keys."""
    if not key.startswith(TARGET_PREFIX):
        return None
    return key[len(TARGET_PREFIX) :] or None


def decode_registration(target_id, text):
    """Decode a target's entry; return its `Registration`, or None if it is invalid."""
    try:
        body = orjson.loads(text)
        state = body["state"]
        cold_ms = body["warmup-left-ms"]
        started_ms = body["born"]
        slots = body["capacity"]
        texts = (body["service"], body["address"], body["zone"])
        numbers = (cold_ms, started_ms, slots)
        if state not in _VALID_STATES or not all(isinstance(t, str) for t in texts):
            return None
        if not _is_valid_id(target_id):
            return None
        if not all(_is_number(n) for n in numbers) or not isinstance(started_ms, int):
            return None
        return Registration(
            target_id,
            body["service"],
            _decode_address(body["address"]),
            body["zone"],
            slots,
            state == "draining",
            cold_ms / 1000,
            started_ms,
            _read_text(body.get("version")),
            _read_count(body.get("call-seq")),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _is_valid_id(target_id):
    return (
        target_id.isascii()
        and target_id.isprintable()
        and " " not in target_id
        and len(target_id) <= _MAX_ID_LENGTH
    )


def _decode_address(text):
    """Return the host and port; the host must be an IPv4 address.

    Looking up a name would block the process, and an invalid one raises on connecting.
    """
    host, port = split_address(text)
    address = ipaddress.IPv4Address(host)
    if not port or not _MIN_ADDRESS <= int(address) < _FIRST_MULTICAST_ADDRESS:
        raise ValueError(f"{text!r} is not the address of a server")
    return str(address), port


def decode_evacuated_domain(key):
    """Return the failure domain that a key evacuates, or None for other keys."""
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key[len(EVACUATION_PREFIX) :] or None


def decode_rollout_key(key):
    """Return the service whose rollout a key orders, or None for other keys."""
    if not key.startswith(ROLLOUT_ORDER_PREFIX):
        return None
    return key[len(ROLLOUT_ORDER_PREFIX) :] or None


def decode_rollout_order(service, text, revision):
    """Decode an order; return its `RolloutOrder`, or None if it is invalid.

    Parameters
    ----------
    service, text : str
    revision : int
        Revision of the order's key.
    """
    try:
        body = orjson.loads(text)
        version, duration_s = body["target-version"], body["duration-s"]
        if not isinstance(version, str) or not version or not _is_number(duration_s):
            return None
        if duration_s <= 0 or body.get("service", service) != service:
            return None
        return RolloutOrder(service, version, float(duration_s), revision)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def encode_rollout_status(change):
    """Return the status for the operator of a `rolloutcoordinator.StateChange`."""
    body = {"state": change.status, "target-version": change.state.version}
    return orjson.dumps(body).decode()


def _read_text(value):
    return value if isinstance(value, str) else ""


def _read_count(value):
    is_count = isinstance(value, int) and _is_number(value)
    return value if is_count else 0


def _is_number(value):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return abs(value) <= _MAX_NUMBER
