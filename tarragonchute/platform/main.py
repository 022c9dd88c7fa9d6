"""Starts the gateway on the platform: ``python3 -m tarragonchute gateway``."""

import logging
import math
import os
import sys

import trio

from ..clocks import BootTimeClock
from ..errors import FindingsError
from ..fleet import VM_PREFIX, VmRegistration, decode_vm_key
from ..gateway import Gateway
from ..logs import NonBlockingStream, configure_logging
from ..otherwatchers import OtherWatchers
from ..peers import PeerServer, PeerSnapshots, RelayChooser
from ..process import (
    GatewayProcess,
    build_server_options,
    fix_allocation_threshold,
)
from ..registry import REGISTRATION_GRACE_S
from ..revisions import RESTORED_KEY_RETENTION_S
from ..rolloutexchange import REPORTS_PATH, RolloutExchange
from ..rolloutstates import decode_state, decode_state_key
from ..store import InstrumentedStore
from ..storecontent import StoreUpdateHandler
from ..storewatcher import StoreWatcher
from .decoding import (
    decode_configuration,
    decode_evacuated_domain,
    decode_registration,
    decode_rollout_key,
    decode_rollout_order,
    decode_target_key,
    encode_rollout_status,
)
from .names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    HEADER_NAMES,
    READY_PATH,
    ROLLOUT_ORDER_PREFIX,
    ROLLOUT_STATUS_PREFIX,
    SETTINGS_VARIABLE,
)
from .settings import load_settings
from .store import PlatformStore

logger = logging.getLogger(__name__)

RETAINED_PREFIXES = (
    EVACUATION_PREFIX,
    ROLLOUT_ORDER_PREFIX,
    VM_PREFIX,
)
"""Keys of operators, and of VMs, which write theirs again. They neither appear nor
disappear because the store came back from an older copy; see `revisions`."""


class GatewayUpdater(StoreUpdateHandler):
    """Decodes the entries of the store and applies them to a gateway.

    Parameters
    ----------
    gateway : gateway.Gateway

    Attributes
    ----------
    get_entry : callable
        Returns the `store.Entry` of a key, or None.
    """

    __slots__ = ("get_entry", "_gateway", "_evacuated")

    def __init__(self, gateway):
        self.get_entry = lambda key: None
        self._gateway = gateway
        self._evacuated = set()

    def apply_snapshot(self, entries, is_after_outage):
        """Apply all entries; see `StoreUpdateHandler.apply_snapshot`."""
        registrations = {}
        vms = {}
        other_entries = []
        self._evacuated = set()
        orders = {}
        states = {}
        for entry in entries:
            service = decode_rollout_key(entry.key)
            if service is not None:
                orders[service] = self._decode_order(service, entry)
                continue
            service = decode_state_key(entry.key)
            if service is not None:
                states[service] = (_decode_state(entry), entry.revision)
                continue
            target_id = decode_target_key(entry.key)
            vm_id = decode_vm_key(entry.key)
            if vm_id is not None:
                vms[vm_id] = entry.value
            elif target_id is None:
                other_entries.append(entry)
            elif registration := decode_registration(target_id, entry.value):
                registrations[target_id] = registration
            else:
                _log_invalid_entry(entry.key)
        now = trio.current_time()
        self._gateway.fleet.replace_all(vms, now)
        # Before the registrations: they may have a version that only an order allows.
        self._gateway.rollouts.replace_all(orders, states, now)
        self._gateway.registry.replace_all(registrations, now, is_after_outage)
        # The configuration is applied last, because it makes this VM ready for callers.
        for entry in other_entries:
            self.apply_change(entry.key, entry.value)
        self._gateway.registry.set_evacuated(self._evacuated)

    def apply_change(self, key, value):
        """Apply one changed entry; see `StoreUpdateHandler.apply_change`."""
        target_id = decode_target_key(key)
        domain = decode_evacuated_domain(key)
        vm_id = decode_vm_key(key)
        if vm_id is not None:
            now = trio.current_time()
            self._gateway.fleet.apply(vm_id, value, now)
        elif target_id is not None:
            return self._apply_target_entry(target_id, key, value)
        elif key == CONFIGURATION_KEY and value is not None:
            table = decode_configuration(value)
            if table is None:
                _log_invalid_entry(key)
            else:
                self._gateway.apply_table(table)
        elif domain is not None:
            if value is None:
                self._evacuated.discard(domain)
            else:
                self._evacuated.add(domain)
            self._gateway.registry.set_evacuated(self._evacuated)
        else:
            return self._apply_rollout_entry(key)
        return False

    def choose_retention_s(self, key, known, restored):
        """Choose what is kept; see `StoreUpdateHandler.choose_retention_s`."""
        if key == CONFIGURATION_KEY and known is not None:
            return math.inf if _is_older_configuration(restored, known) else 0.0
        if (target_id := decode_target_key(key)) is not None:
            return _choose_target_retention_s(target_id, known, restored)
        if key.startswith(RETAINED_PREFIXES):
            return RESTORED_KEY_RETENTION_S
        return 0.0

    def _apply_rollout_entry(self, key):
        """Apply an order or a state; return whether the change is urgent."""
        entry = self.get_entry(key)
        rollouts = self._gateway.rollouts
        now = trio.current_time()
        if (service := decode_rollout_key(key)) is not None:
            order = None if entry is None else self._decode_order(service, entry)
            rollouts.set_order(service, order, now)
        elif (service := decode_state_key(key)) is not None:
            state = None if entry is None else _decode_state(entry)
            revision = None if entry is None else entry.revision
            rollouts.set_state(service, state, now, revision)
        else:
            return False
        return rollouts.limits is not None

    def _decode_order(self, service, entry):
        order = decode_rollout_order(service, entry.value, entry.revision)
        if order is None:
            _log_invalid_entry(entry.key)
        return order

    def _apply_target_entry(self, target_id, key, value):
        registration = None
        if value is not None:
            registration = decode_registration(target_id, value)
            if registration is None:
                _log_invalid_entry(key)
        now = trio.current_time()
        return self._gateway.registry.apply(target_id, registration, now)


def _is_older_configuration(text, known_text):
    """Whether a configuration, None if it is absent, is older than a known one."""
    known_table = decode_configuration(known_text)
    if known_table is None:
        return False
    table = None if text is None else decode_configuration(text)
    return table is None or table.version < known_table.version


def _choose_target_retention_s(target_id, known_text, text):
    """Choose how long a target's known entry is kept; None is an absent entry."""
    if known_text is None or text is None:
        return REGISTRATION_GRACE_S
    known = decode_registration(target_id, known_text)
    registration = decode_registration(target_id, text)
    if known is None or registration is None:
        return 0.0
    if not registration.is_same_process(known):
        # The copy may have an earlier process; the known one registers again.
        return REGISTRATION_GRACE_S
    return math.inf if registration.is_older_than(known) else 0.0


def _decode_state(entry):
    state = decode_state(entry.value)
    if state is None:
        _log_invalid_entry(entry.key)
    return state


def _log_invalid_entry(key):
    logger.warning("an entry of the store cannot be used", extra={"key": key})


class SettingsFile:
    """Reads the platform's settings file, again when it changes.

    Parameters
    ----------
    path : str
    """

    __slots__ = ("_path", "_modified_at_ns")

    def __init__(self, path):
        self._path = path
        self._modified_at_ns = None

    def load(self):
        """Read the file and return its settings; raises `FindingsError` if invalid."""
        self._modified_at_ns = self._read_modification_time()
        return load_settings(self._path)

    def reload(self):
        """Validate the file if it changed since the last read, and log the result."""
        modified_at_ns = self._read_modification_time()
        if modified_at_ns == self._modified_at_ns:
            return
        self._modified_at_ns = modified_at_ns
        try:
            load_settings(self._path)
        except FindingsError as error:
            logger.error("the changed settings file is invalid: %s", error)
        else:
            logger.info("settings read again")

    def _read_modification_time(self):
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError as error:
            logger.warning("cannot access the settings file: %s", error)
            return None


def main():
    """Run the gateway until SIGTERM and return the exit code."""
    file = SettingsFile(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = file.load()
    except FindingsError as error:
        print(error, file=sys.stderr)
        return 2
    fix_allocation_threshold()
    stream = NonBlockingStream(1)
    configure_logging("json", "info", settings.vm_id, stream)
    trio.run(_run, settings, file, stream, clock=BootTimeClock())
    return 0


async def _run(settings, file, stream):
    options = build_server_options(settings)
    gateway = Gateway(settings, HEADER_NAMES, options)
    gateway.count_dropped_lines = lambda: stream.dropped
    eras = gateway.store_eras
    store = PlatformStore(settings.store_address, eras=eras)
    store = InstrumentedStore(store, gateway.metrics.count_store_call)
    peers = PeerSnapshots(settings.peers, settings.peer_address)
    relays = RelayChooser(gateway.fleet, settings.vm_id)
    updater = GatewayUpdater(gateway)
    watcher = StoreWatcher(
        store, updater, relays, peers, OtherWatchers(gateway.fleet), eras=eras
    )
    updater.get_entry = watcher.get_entry
    gateway.get_last_contact = watcher.get_last_success
    gateway.count_retained = lambda: len(watcher.list_retained())
    vm_registration = VmRegistration(store, gateway.fleet, eras)
    rollout_exchange = RolloutExchange(
        gateway,
        store,
        watcher,
        ROLLOUT_ORDER_PREFIX,
        ROLLOUT_STATUS_PREFIX,
        encode_rollout_status,
    )
    peer_server = PeerServer(watcher)

    async def handle_peer_request(request):
        if request.path == REPORTS_PATH:
            return await rollout_exchange.handle(request)
        return await peer_server.handle(request)

    process = GatewayProcess(
        gateway,
        options,
        [watcher, vm_registration, rollout_exchange],
        handle_peer_request,
        READY_PATH,
        file.reload,
    )
    await process.run()
