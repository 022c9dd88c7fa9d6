"""The list of live VMs, among which fleet-wide limits are divided.

Each VM keeps one key in the store under a lease and sees the keys of the others through
its store watcher. Leaders and relays are also chosen from this list. No request waits
until it is current.
"""

import ipaddress
import logging
import math

import orjson
import trio

from .errors import (
    LeaseNotFoundError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    TarragonchuteError,
)
from .httpio import split_address

logger = logging.getLogger(__name__)

VM_PREFIX = "tarragonchute/vms/"

KEY_LEASE_S = 12.0
"""Lease time of a VM's key. Renewals are billed, and a VM that is listed for some
seconds too long only lowers the limits of the others."""

RENEW_INTERVAL_S = 4.0
"""Interval of lease renewals; two may fail before the lease expires."""

RETRY_DELAY_S = 1.0
"""Delay before another attempt to write the key or renew its lease."""

MISSING_VM_GRACE_S = 30.0
"""Time for which a VM whose key is gone is still listed. It may only be unable to reach
the store, and still send requests."""

MIN_RATE = 1e-3
"""Lower bound of a VM's rate; the assignment of shards requires positive rates."""


class VmInfo:
    """Properties that a VM publishes to the others.

    Parameters
    ----------
    vm_id : str
    domain : str
        Failure domain; empty if it is unknown.
    address : str
        ``host:port`` for other VMs; empty if it is unknown.
    search_address : str
        ``host:port`` for subsearches; empty if it accepts none.
    rate : float
        Number of shard requests per second that it can make.
    """

    __slots__ = ("vm_id", "domain", "address", "search_address", "rate")

    def __init__(self, vm_id, domain="", address="", search_address="", rate=1.0):
        self.vm_id = vm_id
        self.domain = domain
        self.address = address
        self.search_address = search_address
        self.rate = rate

    def encode(self):
        """Return the value of the VM's key."""
        body = {
            "domain": self.domain,
            "address": self.address,
            "search_address": self.search_address,
            "rate": self.rate,
        }
        return orjson.dumps(body).decode()


class Fleet:
    """The VMs that may be running.

    Parameters
    ----------
    own_vm : VmInfo
        This VM; always in the list.

    Attributes
    ----------
    is_own_key_missing : bool
        Whether this VM's key was reported as removed.
    """

    __slots__ = ("own_vm", "_present", "_missing", "_sorted_vms", "is_own_key_missing")

    def __init__(self, own_vm):
        self.own_vm = own_vm
        self._present = {own_vm.vm_id: own_vm}
        self._missing = {}
        self._sorted_vms = None
        self.is_own_key_missing = False

    def apply(self, vm_id, value, now):
        """Apply a change of one VM's key.

        Parameters
        ----------
        vm_id : str
        value : str or None
            Value of the key; None if it was removed.
        now : float
            Monotonic seconds.
        """
        self._sorted_vms = None
        if vm_id == self.own_vm.vm_id:
            self.is_own_key_missing = value is None
        elif value is not None:
            self._present[vm_id] = decode_vm(vm_id, value)
            self._missing.pop(vm_id, None)
        elif vm_id in self._present:
            self._missing[vm_id] = (now, self._present.pop(vm_id))

    def replace_all(self, values, now):
        """Apply a full listing: the values of all VM keys by VM id."""
        for vm_id in set(self._present) - set(values):
            self.apply(vm_id, None, now)
        for vm_id, value in values.items():
            self.apply(vm_id, value, now)

    def list_in_touch(self, now, contact_s):
        """Return the VMs that may be in touch with the store, sorted by id.

        A VM is not after its key has been missing for `contact_s` seconds.
        """
        gone = {
            vm_id
            for vm_id, (since, _) in self._missing.items()
            if now - since > contact_s
        }
        vms = self.list_vms(now)
        return [vm for vm in vms if vm.vm_id not in gone] if gone else vms

    def list_vms(self, now):
        """Return the VMs that may be running, sorted by id.

        A VM is listed until its key has been missing for `MISSING_VM_GRACE_S`.
        """
        for vm_id, (since, _) in list(self._missing.items()):
            if now - since > MISSING_VM_GRACE_S:
                del self._missing[vm_id]
                self._sorted_vms = None
        if self._sorted_vms is None:
            vms = [*self._present.values(), *(vm for _, vm in self._missing.values())]
            self._sorted_vms = sorted(vms, key=lambda vm: vm.vm_id)
        return self._sorted_vms


def decode_vm(vm_id, value):
    """Return the `VmInfo` that a key holds; if it is invalid, one with only the id."""
    try:
        body = orjson.loads(value)
        domain = body["domain"]
        if not isinstance(domain, str):
            raise TypeError("the domain is not a string")
        return VmInfo(
            vm_id,
            domain,
            _check_address(body["address"]),
            _check_address(body.get("search_address", "")),
            max(_check_rate(body.get("rate", 1.0)), MIN_RATE),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        logger.warning("cannot decode the key of VM %s: %r", vm_id, error)
        return VmInfo(vm_id)


def _check_address(text):
    """Return an address if it is empty or an IP address with a port.

    Looking up a name would block the process.
    """
    if not isinstance(text, str):
        raise TypeError("the address is not a string")
    if text:
        host, port = split_address(text)
        ipaddress.ip_address(host)
        if not port:
            raise ValueError("the port is 0")
    return text


def _check_rate(rate):
    if not isinstance(rate, (int, float)) or not math.isfinite(rate):
        raise TypeError("the rate is not a finite number")
    return float(rate)


class VmRegistration:
    """Registers this VM in the store and renews the lease of its key.

    Parameters
    ----------
    store : store.Store
    fleet : Fleet
        Provides this VM's properties, and whether its key was removed.
    """

    def __init__(self, store, fleet):
        self._store = store
        self._fleet = fleet
        self._key = VM_PREFIX + fleet.own_vm.vm_id
        self._value = fleet.own_vm.encode()
        self._lease = None
        self._revision = 0

    async def run(self):
        """Register and renew until cancelled."""
        while True:
            try:
                await self._renew_or_register()
                await trio.sleep(RENEW_INTERVAL_S)
            except LeaseNotFoundError:
                logger.info("the lease of this VM's key has expired")
                self._lease = None
            except TarragonchuteError as error:
                logger.info("cannot register this VM or renew its lease: %s", error)
                await trio.sleep(RETRY_DELAY_S)

    async def _renew_or_register(self):
        if self._lease is not None and not self._fleet.is_own_key_missing:
            await self._store.renew_lease(self._lease)
            return
        self._fleet.is_own_key_missing = False
        lease = await self._store.grant_lease(KEY_LEASE_S)
        await self._write_key(lease)
        self._lease = lease

    async def _write_key(self, lease):
        try:
            self._revision = await self._store.put(
                self._key, self._value, self._revision, lease
            )
        except StoreConflictError as error:
            # The key is from an earlier run, or from a write whose answer was lost.
            expect = 0 if error.entry is None else error.entry.revision
            self._revision = await self._store.put(
                self._key, self._value, expect, lease
            )
        except StoreOutcomeUnknownError:
            self._revision = 0
            raise


def decode_vm_key(key):
    """Return the VM id in a store key, or None if it is not the key of a VM."""
    return key[len(VM_PREFIX) :] if key.startswith(VM_PREFIX) else None
