"""Which VMs share the fleet-wide allowances.

Each VM keeps one key in the store under a lease and sees the keys of the others in its
feed. The count only divides allowances; no request waits for it, and nobody is given
work by it.
"""

import logging

import orjson
import trio

from .errors import (
    LeaseNotFoundError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    TarragonchuteError,
)

logger = logging.getLogger(__name__)

VM_PREFIX = "tarragonchute/vms/"

LEASE_S = 12.0
"""Time to live of a VM's key. Renewals are priced, and a count that is too high for
some seconds only makes the VMs more careful."""

RENEW_S = 4.0
"""Period of renewals; two may fail before the key lapses."""

RETRY_S = 1.0
"""Wait before another attempt to write the key."""

HOLD_S = 30.0
"""Time for which a VM that vanished from the store still counts. It may be cut off from
the store only, and still send requests."""


MIN_RATE = 1e-3
"""Least rate of a VM; ranks and shares divide by it."""


class VmInfo:
    """What a VM tells the others about itself.

    Parameters
    ----------
    vm_id : str
    domain : str
        Failure domain; empty if it is unknown.
    address : str
        ``host:port`` for other VMs; empty if it is unknown.
    search_address : str
        ``host:port`` for subsearches; empty if it takes none.
    rate : float
        Shard requests a second that it can make.
    """

    __slots__ = ("vm_id", "domain", "address", "search_address", "rate")

    def __init__(self, vm_id, domain="", address="", search_address="", rate=1.0):
        self.vm_id = vm_id
        self.domain = domain
        self.address = address
        self.search_address = search_address
        self.rate = rate

    def encode(self):
        """Return the content of the VM's key."""
        body = {
            "domain": self.domain,
            "address": self.address,
            "search_address": self.search_address,
            "rate": self.rate,
        }
        return orjson.dumps(body).decode()


class Fleet:
    """The VMs that may be at work.

    Parameters
    ----------
    own : VmInfo
        This VM; always in the list.

    Attributes
    ----------
    is_own_key_missing : bool
        Whether this VM's key was seen to vanish.
    """

    __slots__ = ("own", "_present", "_vanished", "_sorted", "is_own_key_missing")

    def __init__(self, own):
        self.own = own
        self._present = {own.vm_id: own}
        self._vanished = {}
        self._sorted = None
        self.is_own_key_missing = False

    def apply(self, vm_id, value, now):
        """Take a change of one VM's key.

        Parameters
        ----------
        vm_id : str
        value : str or None
            Content of the key; None if it was removed.
        now : float
            Monotonic seconds.
        """
        self._sorted = None
        if vm_id == self.own.vm_id:
            self.is_own_key_missing = value is None
        elif value is not None:
            self._present[vm_id] = decode_vm(vm_id, value)
            self._vanished.pop(vm_id, None)
        elif vm_id in self._present:
            self._vanished[vm_id] = (now, self._present.pop(vm_id))

    def replace_all(self, values, now):
        """Take a whole listing, of content by id."""
        for vm_id in set(self._present) - set(values):
            self.apply(vm_id, None, now)
        for vm_id, value in values.items():
            self.apply(vm_id, value, now)

    def list_vms(self, now):
        """Return the VMs seen within `HOLD_S`, sorted by their ids."""
        for vm_id, (since, _) in list(self._vanished.items()):
            if now - since > HOLD_S:
                del self._vanished[vm_id]
                self._sorted = None
        if self._sorted is None:
            vms = [*self._present.values(), *(vm for _, vm in self._vanished.values())]
            self._sorted = sorted(vms, key=lambda vm: vm.vm_id)
        return self._sorted


def decode_vm(vm_id, value):
    """Return the `VmInfo` in a key's content; unknown parts are empty."""
    try:
        body = orjson.loads(value)
        return VmInfo(
            vm_id,
            str(body["domain"]),
            str(body["address"]),
            str(body.get("search_address", "")),
            max(float(body.get("rate", 1.0)), MIN_RATE),
        )
    except (ValueError, KeyError, TypeError) as error:
        logger.warning("the key of VM %s cannot be read: %r", vm_id, error)
        return VmInfo(vm_id)


class FleetMember:
    """Keeps this VM's key in the store.

    Parameters
    ----------
    store : store.Store
    fleet : Fleet
        Knows what to write, and whether the key vanished.
    """

    def __init__(self, store, fleet):
        self._store = store
        self._fleet = fleet
        self._key = VM_PREFIX + fleet.own.vm_id
        self._value = fleet.own.encode()
        self._lease = None
        self._revision = 0

    async def run(self):
        """Register and renew until cancelled."""
        while True:
            try:
                await self._keep()
                await trio.sleep(RENEW_S)
            except LeaseNotFoundError:
                logger.info("the lease of this VM's key has ended")
                self._lease = None
            except TarragonchuteError as error:
                logger.info("this VM's key is not renewed: %s", error)
                await trio.sleep(RETRY_S)

    async def _keep(self):
        if self._lease is not None and not self._fleet.is_own_key_missing:
            await self._store.renew_lease(self._lease)
            return
        self._fleet.is_own_key_missing = False
        lease = await self._store.grant_lease(LEASE_S)
        await self._write(lease)
        self._lease = lease

    async def _write(self, lease):
        try:
            self._revision = await self._store.put(
                self._key, self._value, self._revision, lease
            )
        except StoreConflictError as error:
            # A predecessor's key, or this VM's own write whose answer was lost.
            expect = 0 if error.entry is None else error.entry.revision
            self._revision = await self._store.put(
                self._key, self._value, expect, lease
            )
        except StoreOutcomeUnknownError:
            self._revision = 0
            raise


def decode_vm_key(key):
    """Return the VM's id in a key of the store, or None for other keys."""
    return key[len(VM_PREFIX) :] if key.startswith(VM_PREFIX) else None
