"""The list of live VMs, among which fleet-wide limits are divided.

Each VM keeps one key in the store under a lease and sees the keys of the others through
its store watcher. Leaders and relays are also chosen from this list. No request waits
until it is current.
"""

import ipaddress
import logging
import math
import random

import orjson
import trio

from .errors import (
    LeaseNotFoundError,
    NotRunError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    TarragonchuteError,
)
from .httpio import split_address
from .revisions import StoreEras

logger = logging.getLogger(__name__)

VM_PREFIX = "tarragonchute/vms/"

KEY_LEASE_S = 20.0
"""Lease time of a VM's key. Renewals are billed, and a VM that is listed for some
seconds too long only lowers the limits of the others. The store may turn a VM away for
some ten seconds, which must not end its roles."""

RENEW_INTERVAL_S = 4.0
"""Interval of lease renewals; two may fail before the lease expires."""

NEEDED_RENEW_INTERVAL_S = 2.0
"""Interval on a VM that may grant tokens of allowances. Its authority ends soon after
the last renewal (`TRUSTED_RENEWAL_S`), so that one that fails must not end it."""

RETRY_DELAY_S = 1.0
"""Delay before another attempt to write the key or renew its lease."""

MAX_RESTORE_GAP_S = 4.0
"""Time after a restore of the store within which this VM's key counts as never gone.
Another VM that takes over a role waits longer before it acts (`grantroles`)."""

REGISTRATION_SPREAD_S = 2.0
MAX_REGISTRATIONS_PER_S = 200
"""Time over which the VMs write their keys again after a restore of the store, and the
number of VMs per second for which it is longer: a registration takes up to three
billed writes, which then use half of what the store accepts."""

MISSING_VM_GRACE_S = 22.0
"""Time for which a VM whose key is gone is still listed. It may only be unable to reach
the store, and still send requests."""

MIN_RATE = 1e-3
"""Lower bound of a VM's rate; the assignment of shards requires positive rates."""


TRUSTED_RENEWAL_S = 5.5
"""Time after a renewal for which a VM relies on its list of VMs. A VM that joins waits
for longer (`grantroles.HANDOVER_S`), so that one that is cut off from the store has
stopped by then; the whole lease of the key would be too long."""


TRUSTED_CONTACT_S = 3.0
"""Time for which a VM relies on its list of VMs after an answer of the store or of a
relay. A relay may have lost the store 1.5 s before it stops answering."""


class KeyLease:
    """Since when and for how long other VMs have listed this VM.

    Attributes
    ----------
    since : float
        Time since which the key has been in the store without a gap, in seconds since
        the boot of the VM. A restarted process reads it from the key.
    valid_since, valid_until : float
        Interval in which this VM has been in contact with the store without a gap;
        `valid_since` is minus infinity if there has been none since the start.
    is_missing : bool
        Whether the key was reported as removed.
    is_needed : bool
        Whether this VM may do something only while the lease is valid.
    """

    __slots__ = ("since", "valid_since", "valid_until", "is_missing", "is_needed")

    def __init__(self, valid_until=-math.inf, since=math.inf):
        self.since = since
        self.valid_since = -math.inf
        self.valid_until = valid_until
        self.is_missing = False
        self.is_needed = False

    def is_valid(self, now):
        """Whether this VM is in contact with the store, and its key is in it."""
        return now < self.valid_until and not self.is_missing

    def renew(self, started_at, now):
        """Record a successful renewal that began at `started_at`."""
        self._extend(started_at + TRUSTED_RENEWAL_S, now)

    def confirm(self, contact_at, now):
        """Record that the list of VMs was current at a time.

        The store may turn this VM away while other VMs relay its changes, among them
        the removal of this VM's key.
        """
        if self.since < math.inf:
            self._extend(contact_at + TRUSTED_CONTACT_S, now)

    def _extend(self, until, now):
        if until <= max(self.valid_until, now):
            return
        if -math.inf < self.valid_until <= now:
            self.valid_since = now
        self.valid_until = until


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
    keeps_allowances : bool
        Whether it can be asked for tokens of customers' allowances.
    """

    __slots__ = (
        "vm_id",
        "domain",
        "address",
        "search_address",
        "rate",
        "keeps_allowances",
    )

    def __init__(
        self,
        vm_id,
        domain="",
        address="",
        search_address="",
        rate=1.0,
        keeps_allowances=False,
    ):
        self.vm_id = vm_id
        self.domain = domain
        self.address = address
        self.search_address = search_address
        self.rate = rate
        self.keeps_allowances = keeps_allowances

    def encode(self, listed_since=0.0):
        """Return the value of the VM's key.

        Parameters
        ----------
        listed_since : float
            See `KeyLease.since`; written only if the VM keeps allowances.
        """
        body = {
            "domain": self.domain,
            "address": self.address,
            "search_address": self.search_address,
            "rate": self.rate,
        }
        if self.keeps_allowances:
            body["listed_since"] = listed_since
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
    key_lease : KeyLease
        Set by `VmRegistration`.
    """

    __slots__ = (
        "own_vm",
        "_present",
        "_missing",
        "_sorted_vms",
        "_present_vms",
        "is_own_key_missing",
        "key_lease",
    )

    def __init__(self, own_vm):
        self.own_vm = own_vm
        self._present = {own_vm.vm_id: own_vm}
        self._missing = {}
        self._sorted_vms = None
        self._present_vms = None
        self.is_own_key_missing = False
        self.key_lease = KeyLease()

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
        self._sorted_vms = self._present_vms = None
        if vm_id == self.own_vm.vm_id:
            self.is_own_key_missing = self.key_lease.is_missing = value is None
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

    def list_present(self):
        """Return the VMs whose keys are in the store, and this VM, sorted by id.

        It is the same list object as long as nothing has changed.
        """
        if self._present_vms is None:
            self._present_vms = sorted(self._present.values(), key=lambda vm: vm.vm_id)
        return self._present_vms

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
            "listed_since" in body,
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
    eras : revisions.StoreEras or None
        Eras of the store, if it has any. The key is written again in each new one.
    random_source : random.Random or None
    """

    def __init__(self, store, fleet, eras=None, random_source=None):
        self._eras = eras or StoreEras()
        # Era in which the lease was granted.
        self._era = 0
        self._random = random_source or random.Random()
        self._store = store
        self._fleet = fleet
        self._key = VM_PREFIX + fleet.own_vm.vm_id
        self._lease = None
        self._revision = 0
        self._restored_at = -math.inf

    async def run(self):
        """Register and renew until cancelled."""
        while True:
            try:
                await self._discard_lease_of_earlier_era()
                await self._renew_or_register()
                is_needed = self._fleet.key_lease.is_needed
                wait_s = NEEDED_RENEW_INTERVAL_S if is_needed else RENEW_INTERVAL_S
                with trio.move_on_after(wait_s):
                    await self._eras.wait_for_newer(self._era)
            except LeaseNotFoundError:
                if self._eras.current == self._era:
                    logger.info("the lease of this VM's key has expired")
                    self._lease = None
            except TarragonchuteError as error:
                logger.info("cannot register this VM or renew its lease: %s", error)
                await trio.sleep(RETRY_DELAY_S)

    async def _discard_lease_of_earlier_era(self):
        """After a restore of the store, wait for this VM's turn to register again."""
        if self._lease is None or self._eras.current == self._era:
            return
        self._restored_at = trio.current_time()
        vm_count = len(self._fleet.list_vms(self._restored_at))
        spread_s = max(REGISTRATION_SPREAD_S, vm_count / MAX_REGISTRATIONS_PER_S)
        await trio.sleep(spread_s * self._random.random())
        logger.info("registering this VM again in a new era of the store")
        self._lease = None
        self._revision = 0

    async def _renew_or_register(self):
        started_at = trio.current_time()
        key_lease = self._fleet.key_lease
        if self._lease is not None and not self._fleet.is_own_key_missing:
            await self._store.renew_lease(self._lease)
        else:
            self._fleet.is_own_key_missing = key_lease.is_missing = False
            lease = await self._store.grant_lease(KEY_LEASE_S)
            era = self._eras.current
            await self._write_key(lease)
            self._lease = lease
            self._era = era
        key_lease.renew(started_at, trio.current_time())

    def _is_lost_by_restore(self, now):
        """Whether the key was lost by a restore so lately that no VM has its role."""
        return now - self._restored_at < MAX_RESTORE_GAP_S

    async def _write_key(self, lease):
        key_lease = self._fleet.key_lease
        now = trio.current_time()
        is_lost_by_restore = self._is_lost_by_restore(now)
        known_since = key_lease.since
        if is_lost_by_restore:
            # The other VMs have kept the key in their lists.
            now = min(known_since, now)
        # Until the key is written, it is not known to be in the store.
        key_lease.since = math.inf
        try:
            key_lease.since = await self._put_key(lease, now)
        except NotRunError:
            if is_lost_by_restore:
                # Nothing was written, and the other VMs still have the key.
                key_lease.since = known_since
            raise

    async def _put_key(self, lease, now):
        """Write the key; return since when it has been in the store."""
        value = self._fleet.own_vm.encode(now)
        try:
            self._revision = await self._store.put(
                self._key, value, self._revision, lease
            )
        except StoreConflictError as error:
            # The key is from an earlier run, or from a write whose answer was lost.
            self._revision = 0
            expect = 0 if error.entry is None else error.entry.revision
            if error.entry is not None:
                now = self._read_listed_since(error.entry.value, now)
                value = self._fleet.own_vm.encode(now)
            self._revision = await self._store.put(self._key, value, expect, lease)
        except StoreOutcomeUnknownError:
            self._revision = 0
            raise
        return now

    def _read_listed_since(self, value, now):
        """Return since when a key of this VM has been in the store; `now` if unknown.

        A key with other properties had another rank. After a boot of the VM itself, the
        time is in the future, or later than it was.
        """
        try:
            since = min(float(orjson.loads(value)["listed_since"]), now)
        except (ValueError, KeyError, TypeError):
            return now
        return since if value == self._fleet.own_vm.encode(since) else now


def decode_vm_key(key):
    """Return the VM id in a store key, or None if it is not the key of a VM."""
    return key[len(VM_PREFIX) :] if key.startswith(VM_PREFIX) else None
