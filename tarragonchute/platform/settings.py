"""Reads the settings file that the platform writes for one gateway process."""

import tomllib

from ..errors import Finding, FindingsError
from ..gatewaysettings import GatewaySettings
from ..grants import AllowanceBounds
from ..memory import DEFAULT_MEMORY_MB, read_descriptor_limit
from ..rolloutstates import RolloutLimits


def load_settings(path):
    """Read a settings file and return its `GatewaySettings`.

    Raises
    ------
    FindingsError
        If the file cannot be read, or if fields are missing or have a wrong type;
        holds all findings.
    """
    try:
        with open(path, "rb") as file:
            content = tomllib.load(file)
    except (OSError, ValueError) as error:
        raise FindingsError([Finding(path, str(error))]) from error
    return decode_settings(content, path)


def decode_settings(content, path="settings"):
    """Return the `GatewaySettings` of a parsed file; see `load_settings`."""
    findings = []

    def read(section, name, expected_type, default=None):
        field_path = f"{section}.{name}" if section else name
        table = content.get(section, {}) if section else content
        value = table.get(name, default) if isinstance(table, dict) else None
        is_valid = isinstance(value, expected_type) and not isinstance(value, bool)
        if not is_valid:
            text = f"{field_path} must be {expected_type}, not {value!r}"
            findings.append(Finding(f"{path}: {field_path}", text))
            return default
        return value

    number = (int, float)
    settings = GatewaySettings(
        vm_id=read("", "node-name", str),
        domain=read("", "zone", str),
        host=read("", "ip", str),
        caller_address=read("listen-addrs", "front", str),
        ready_address=read("listen-addrs", "ready", str),
        # Traffic between VMs uses the control address, which callers do not use.
        peer_address=read("listen-addrs", "control", str),
        peers=tuple(read("", "seeds", list, [])),
        store_address=read("platform", "address", str),
        search_address=_choose_search_address(content),
        # "cpu-share" is a fraction of one core's time; "cpu-cores" is a factor for the
        # speed of that core.
        cores=read("limits", "cpu-share", number, 1.0)
        * read("limits", "cpu-cores", number, 1),
        link_mbps=read("limits", "link-mbps", number, 1000.0),
        max_descriptors=read("limits", "max-fds", int, read_descriptor_limit()),
        # Memory of this VM in units of 1,000,000 bytes; callers get a part of it.
        memory_mb=read("limits", "memory-mb", number, DEFAULT_MEMORY_MB),
        # Time from SIGTERM to SIGKILL.
        stop_grace_s=read("bounds", "grace-s", number, 6),
        retry_share=read("bounds", "retry-ratio", number, 0.1),
        retry_window_s=read("bounds", "retry-window-s", number, 10),
        # Extra requests for one service in a window, for all VMs together.
        retry_slack=read("bounds", "retry-slack", number, 0),
        # Limit on requests per second to a cold target, for all VMs together: the
        # service's rate times this factor, plus the slack.
        cold_factor=read("bounds", "warmup-overshoot", number, 1.0),
        cold_slack=read("bounds", "warmup-slack", number, 0),
        allowance_bounds=_read_allowance_bounds(read),
        rollout_limits=_read_rollout_limits(content.get("bounds"), read),
    )
    if findings:
        raise FindingsError(findings)
    return settings


def _read_allowance_bounds(read):
    """Return the `AllowanceBounds`; None unless all three settings are present."""
    number = (int, float)
    # Requests of a customer beyond its allowance in a window, for all VMs together.
    window_s = read("bounds", "quota-window-s", number, 0)
    overshoot = read("bounds", "quota-overshoot", number, -1)
    slack = read("bounds", "quota-slack", number, -1)
    if window_s <= 0 or overshoot < 0 or slack < 0:
        return None
    return AllowanceBounds(window_s, overshoot, slack)


def _read_rollout_limits(bounds, read):
    """Return the `RolloutLimits`, or None if any of their settings is absent."""
    names = ("expose-share", "expose-slack", "rollback-ms")
    if not isinstance(bounds, dict) or any(name not in bounds for name in names):
        return None
    number = (int, float)
    return RolloutLimits(
        read("bounds", "expose-share", number, 0.0),
        read("bounds", "expose-slack", number, 0),
        read("bounds", "rollback-ms", number, 5000) / 1000,
        # Time after which a VM without a path to the store is out of touch.
        read("bounds", "contact-ms", number, 5000) / 1000,
    )


def _choose_search_address(content):
    """Return the address for searches: the first port of the range for other VMs."""
    ports = content.get("port-range")
    host = content.get("ip")
    if not host or not isinstance(ports, list) or not ports:
        return ""
    return f"{host}:{ports[0]}"
