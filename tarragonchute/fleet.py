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


class Fleet:
    """The VMs that may be at work.

    Parameters
    ----------
    vm_id : str
        This VM; always counted.

    Attributes
    ----------
    is_own_key_missing : bool
        Whether this VM's key was seen to vanish.
    """

    __slots__ = ("_vm_id", "_present", "_vanished", "is_own_key_missing")

    def __init__(self, vm_id):
        self._vm_id = vm_id
        self._present = {vm_id}
        self._vanished = {}
        self.is_own_key_missing = False

    def apply(self, vm_id, is_present, now):
        """Take a change of one VM's key; `now` is in monotonic seconds."""
        if is_present:
            self._present.add(vm_id)
            self._vanished.pop(vm_id, None)
        elif vm_id == self._vm_id:
            self.is_own_key_missing = True
        elif vm_id in self._present:
            self._present.discard(vm_id)
            self._vanished[vm_id] = now

    def replace_all(self, vm_ids, now):
        """Take a whole listing."""
        for vm_id in self._present - set(vm_ids):
            self.apply(vm_id, False, now)
        for vm_id in vm_ids:
            self.apply(vm_id, True, now)

    def list_vms(self, now):
        """Return the ids of the VMs seen within `HOLD_S`, sorted."""
        for vm_id, since in list(self._vanished.items()):
            if now - since > HOLD_S:
                del self._vanished[vm_id]
        return sorted(self._present.union(self._vanished))


class FleetMember:
    """Keeps this VM's key in the store.

    Parameters
    ----------
    store : store.Store
    fleet : Fleet
        Shows if the key vanished.
    vm_id : str
    details : dict
        What other VMs may read: JSON values.
    """

    def __init__(self, store, fleet, vm_id, details):
        self._store = store
        self._fleet = fleet
        self._key = VM_PREFIX + vm_id
        self._value = orjson.dumps(details).decode()
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
