"""The platform's list of VMs: interface, in-memory twin and HTTP client."""

import enum
from typing import Protocol


class VmState(enum.StrEnum):
    """State of a VM as the platform lists it. The list lags."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmList(Protocol):
    """What the project needs from the platform's VM list."""

    async def fetch(self):
        """Return a dict of vm_id to `VmState`.

        Raises
        ------
        StoreUnavailableError
            If the list cannot be read.
        """
