"""Reads the platform's settings file of one process."""

import tomllib

from ..errors import Finding, FindingsError
from ..gateway import GatewaySettings


def load_settings(path):
    """Return the `GatewaySettings` in a file.

    Raises
    ------
    FindingsError
        If the file cannot be read, or lacks what is needed; all findings at once.
    """
    try:
        with open(path, "rb") as file:
            content = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise FindingsError([Finding(path, str(error))]) from error
    return decode_settings(content, path)


def decode_settings(content, path="settings"):
    """Return the `GatewaySettings` of a parsed file; raises like `load_settings`."""
    findings = []

    def read(section, name, kind, default=None):
        place = f"{section}.{name}" if section else name
        table = content.get(section, {}) if section else content
        value = table.get(name, default)
        is_right = isinstance(value, kind) and not isinstance(value, bool)
        if not is_right:
            text = f"{place} must be {kind}, not {value!r}"
            findings.append(Finding(f"{path}: {place}", text))
            return default
        return value

    number = (int, float)
    settings = GatewaySettings(
        vm_id=read("", "node-name", str),
        domain=read("", "zone", str),
        host=read("", "ip", str),
        caller_address=read("listen-addrs", "front", str),
        ready_address=read("listen-addrs", "ready", str),
        # The address that nobody outside calls serves the traffic between VMs.
        peer_address=read("listen-addrs", "control", str),
        peers=tuple(read("", "seeds", list, [])),
        store_address=read("platform", "address", str),
        search_address=_choose_search_address(content),
        # A share of one core's time, on a core that is so many times as fast.
        cores=read("limits", "cpu-share", number, 1.0)
        * read("limits", "cpu-cores", number, 1),
        link_mbps=read("limits", "link-mbps", number, 1000.0),
        max_descriptors=read("limits", "max-fds", int, 1024),
        # Time from SIGTERM to SIGKILL.
        stop_grace_s=read("bounds", "grace-s", number, 6),
        retry_share=read("bounds", "retry-ratio", number, 0.1),
        retry_window_s=read("bounds", "retry-window-s", number, 10),
        # Extra requests of one service in a window, for all VMs together.
        retry_slack=read("bounds", "retry-slack", number, 0),
        # Requests a second to a cold target: the service's rate times this factor,
        # plus the slack, for all VMs together.
        cold_factor=read("bounds", "warmup-overshoot", number, 1.0),
        cold_slack=read("bounds", "warmup-slack", number, 0),
    )
    if findings:
        raise FindingsError(findings)
    return settings


def _choose_search_address(content):
    """Return an address on one of the ports that are free for traffic between VMs."""
    ports = content.get("port-range")
    host = content.get("ip")
    if not host or not isinstance(ports, list) or not ports:
        return ""
    return f"{host}:{ports[0]}"
