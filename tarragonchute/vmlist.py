"""The platform's list of VMs: interface, in-memory fake and HTTP client."""

import enum
import math
from typing import Protocol

import trio

from .errors import ProtocolError, StoreUnavailableError
from .httpio import ConnectionPool


class VmState(enum.StrEnum):
    """State of a VM in the platform's list, which lags behind the actual state."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmList(Protocol):
    """Operations that the project needs from the platform's VM list."""

    async def fetch(self):
        """Return the states of all listed VMs, a dict of vm_id to `VmState`.

        Raises
        ------
        StoreUnavailableError
            If the list cannot be read or is malformed.
        """


class MemoryVmList:
    """In-memory fake of the VM list, with fault injection.

    Parameters
    ----------
    domains : dict of str to str
        Failure domain by vm_id, for the VMs that are initially live.
    clock : callable or None
        Returns monotonic seconds; by default trio's clock.

    Attributes
    ----------
    lag_s : float
        Age in seconds of the list that `fetch` returns.
    is_unavailable : bool
        Whether `fetch` raises `StoreUnavailableError`.
    calls : int
        Number of calls to `fetch`.
    """

    def __init__(self, domains=None, clock=None):
        self._clock = clock or trio.current_time
        self.domains = dict(domains or {})
        self._history = [(-math.inf, dict.fromkeys(self.domains, VmState.LIVE))]
        self.calls = 0
        self.lag_s = 0.0
        self.is_unavailable = False

    def set_state(self, vm_id, state, domain=None):
        """Set the `VmState` of a VM; None removes it from the list."""
        states = dict(self._history[-1][1])
        states.pop(vm_id, None)
        if state is not None:
            states[vm_id] = VmState(state)
        if domain is not None:
            self.domains[vm_id] = domain
        self._history.append((self._clock(), states))

    async def fetch(self):
        """Return the states as of `lag_s` seconds ago; see `VmList.fetch`."""
        self.calls += 1
        if self.is_unavailable:
            raise StoreUnavailableError("the VM list is unavailable")
        as_of = self._clock() - self.lag_s
        return dict([states for at, states in self._history if at <= as_of][-1])


class HttpVmList:
    """HTTP client of the platform's VM list.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        Longest wait in seconds for one call.
    """

    def __init__(self, address, timeout_s=1.0):
        self._timeout_s = timeout_s
        self._pool = ConnectionPool(address, 1, timeout_s)

    async def fetch(self):
        """Return the states of all listed VMs; see `VmList.fetch`."""
        try:
            with trio.fail_after(self._timeout_s):
                response = await self._request_list()
            if response.status != 200:
                raise ProtocolError(f"status {response.status}")
            rows = response.parse_json()["vms"]
            return {row["vm_id"]: VmState(row["state"]) for row in rows}
        except (OSError, trio.TooSlowError, ProtocolError) as error:
            text = f"the VM list cannot be read: {error}"
            raise StoreUnavailableError(text) from error
        except (KeyError, TypeError, ValueError) as error:
            text = f"the VM list is malformed: {error!r}"
            raise StoreUnavailableError(text) from error

    def close(self):
        """Close the connection."""
        self._pool.close()

    async def _request_list(self):
        connection = None
        await self._pool.reserve()
        try:
            connection = await self._pool.connect()
            return await connection.exchange("GET", "/v1/vms")
        finally:
            self._pool.release(connection)
