"""Revisions that other VMs have received, to which a VM compares its own watch.

Each failure domain has VMs that watch the store on their own. If the store's answer to
one watch is lost, the others still receive the change.
"""

import logging

import trio

from .errors import RelayUnavailableError
from .leaders import hash_to_fraction
from .peers import Relay, list_all_relay_vms

logger = logging.getLogger(__name__)

EXCLUSION_S = 3.0
"""Time for which a VM is not asked after a failure. It is short, because a VM that
lists the store cannot tell its revision for a moment."""


class OtherWatchers:
    """Asks another VM that watches the store for the revision that it has received.

    Parameters
    ----------
    fleet : fleet.Fleet
    clock : callable or None
        Returns monotonic seconds; `trio.current_time` by default.
    """

    __slots__ = ("_fleet", "_clock", "_relay", "_excluded_at")

    def __init__(self, fleet, clock=None):
        self._fleet = fleet
        self._clock = clock or trio.current_time
        self._relay = None
        # Time of the last failure of each address.
        self._excluded_at = {}

    def count(self):
        """Return the number of other VMs that watch the store."""
        return len(self._list_vms(self._clock()))

    async def wait_for_revision(self, after):
        """Return another VM's revision once it exceeds `after`, or after a while.

        Raises
        ------
        RelayUnavailableError
            If no other VM watches the store, or the one that was asked cannot tell.
            The next call asks another one.
        """
        address = self._choose_address()
        if self._relay is not None and self._relay.address != address:
            self._relay.close()
            self._relay = None
        if address is None:
            raise RelayUnavailableError("no other VM watches the store")
        if self._relay is None:
            self._relay = Relay(address)
        try:
            return await self._relay.wait_for_revision(after)
        except RelayUnavailableError as error:
            logger.debug("no revision from another VM: %s", error)
            self._excluded_at[address] = self._clock()
            raise

    def _choose_address(self):
        """Return the address of the VM to ask, or None.

        VMs of other failure domains come first: a fault that affects this VM's watch
        is more likely to affect its own domain.
        """
        now = self._clock()
        self._excluded_at = {
            address: excluded_at
            for address, excluded_at in self._excluded_at.items()
            if now - excluded_at < EXCLUSION_S
        }
        own_vm = self._fleet.own_vm
        candidates = [
            vm for vm in self._list_vms(now) if vm.address not in self._excluded_at
        ]
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda vm: (
                vm.domain == own_vm.domain,
                hash_to_fraction(vm.vm_id + own_vm.vm_id),
            ),
        )
        return best.address

    def _list_vms(self, now):
        return [
            vm
            for vm in list_all_relay_vms(self._fleet.list_vms(now))
            if vm.address and vm.vm_id != self._fleet.own_vm.vm_id
        ]
