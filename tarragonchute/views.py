"""Synchronizes this VM's view with the store and with its peers."""

import logging
import random

import trio

from .errors import ProtocolError, StoreConflictError, TarragonchuteError
from .membership import MemberState, View, remove_from_view

logger = logging.getLogger(__name__)

VIEW_PULL = "view_pull"
VIEW = "view"
HEARTBEAT = "heartbeat"

WATCH_TIMEOUT_S = 10.0
PROPOSAL_CHECK_PERIOD_S = 0.1
RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 1.0
VM_LIST_PERIOD_S = 1.0


class ViewSynchronizer:
    """Reads, watches and updates the view of one cell.

    Parameters
    ----------
    cell : str
    membership : membership.Membership
    store : store.Store
    vm_list : vmlist.VmList
    link : links.Link
    list_groups : callable
        Returns the replica groups that the settings define.
    is_domain_in_service : callable
        Returns whether this VM's failure domain is in service.
    handle_change : callable
        Called after a view was adopted, with the time of the adoption in seconds of
        the local monotonic clock.
    observe_revision : callable
        Called with a store revision, and the highest revision known before the
        store was asked for it.
    get_known_revision : callable
        Returns the highest store revision that this VM has seen.
    seeds : dict of str to str
        Addresses (by vm_id) of VMs to request a view from until one is known.

    Attributes
    ----------
    is_draining : bool
        Set to make this VM leave the view.
    is_store_reached : bool
        Whether the last attempt to watch the view in the store succeeded.
    """

    def __init__(
        self,
        cell,
        membership,
        store,
        vm_list,
        link,
        list_groups,
        is_domain_in_service,
        handle_change,
        observe_revision,
        get_known_revision,
        seeds,
    ):
        self._seeds = seeds
        self.key = f"members/{cell}"
        self.is_draining = False
        self.is_store_reached = False
        self._must_read_store = False
        self._membership = membership
        self._store = store
        self._vm_list = vm_list
        self._link = link
        self._list_groups = list_groups
        self._is_domain_in_service = is_domain_in_service
        self._handle_change = handle_change
        self._observe_revision = observe_revision
        self._get_known_revision = get_known_revision

    async def run(self):
        """Watch the store and poll the VM list until cancelled."""
        self._link.set_peers(self._seeds)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._propose_changes)
            nursery.start_soon(self._poll_vm_list)

    # Messages between VMs.

    def send_heartbeats(self, now):
        """Send the heartbeats that are due, and requests for a view."""
        for vm_id, heartbeat in self._membership.build_heartbeats(now):
            self._link.send(vm_id, HEARTBEAT, heartbeat.to_body())
        if self._membership.view is None:
            for vm_id in self._seeds:
                self._link.send(vm_id, VIEW_PULL, None)
        self.request_newer_view()

    def request_newer_view(self):
        """Request the view from a peer that has a newer one."""
        vm_id = self._membership.find_vm_with_newer_view()
        if vm_id is not None:
            self._link.send(vm_id, VIEW_PULL, None)

    def handle_pull(self, sender):
        """Send the adopted view to a peer."""
        if self._membership.view is not None:
            self._link.send(sender, VIEW, self._membership.view.to_body())

    def handle_view(self, body, now):
        """Adopt a view from a peer if it is newer.

        Raises
        ------
        ProtocolError
            If the view is malformed.
        """
        self.adopt(View.from_body(body), now)

    def adopt(self, view, now):
        """Adopt a view if it is newer, and notify the other components."""
        if not self._membership.adopt_view(view, now):
            return
        logger.info(
            "adopted view %d with members %s", view.number, sorted(view.members)
        )
        self._link.set_peers(view.addresses())
        self._handle_change(now)

    # Store.

    async def _watch(self):
        after = 0
        while True:
            revision_before = self._get_known_revision()
            try:
                entries, revision = await self._store.watch(
                    self.key, after, WATCH_TIMEOUT_S
                )
                self._observe_revision(revision, revision_before)
                self._apply_entries(entries)
                # A store restored from a backup continues at a lower revision.
                self._must_read_store |= revision < after
                after = revision
                self.is_store_reached = True
            except TarragonchuteError as error:
                self.is_store_reached = False
                logger.debug("failed to watch %s: %s", self.key, error)
                await trio.sleep(RETRY_DELAY_S)

    def _apply_entries(self, entries):
        for entry in entries:
            if entry.key != self.key:
                continue
            try:
                view = View.from_value(entry.value)
            except ProtocolError as error:
                logger.error("ignored a malformed view in the store: %s", error)
                continue
            self.adopt(view, trio.current_time())
            self._must_read_store |= view.epoch != self._membership.epoch

    async def _propose_changes(self):
        """Write the next view to the store whenever a change is due."""
        delay = PROPOSAL_CHECK_PERIOD_S
        while True:
            is_due = self._choose_next_view(trio.current_time()) is not None
            if is_due or self._must_read_store:
                try:
                    await self._propose(self._choose_next_view)
                    delay = PROPOSAL_CHECK_PERIOD_S
                except TarragonchuteError as error:
                    logger.debug("failed to change the view: %s", error)
                    # When an outage ends, all VMs may have a change due: jitter
                    # spreads their retries.
                    delay = min(delay * 2, MAX_RETRY_DELAY_S) * random.uniform(0.8, 1.2)
            await trio.sleep(delay)

    def _choose_next_view(self, now, stored=None):
        """Return the view to write in place of the adopted one, or None."""
        membership = self._membership
        if not membership.is_member:
            if self.is_draining:
                return None
            state = self._choose_member_state()
            return membership.plan_join(stored or membership.view, now, state)
        if self.is_draining or not self._is_domain_in_service():
            return self._plan_departure(now)
        return (
            membership.plan_mark_active(now)
            or membership.plan_cleanup(now)
            or membership.plan_groups(self._list_groups(), now)
        )

    def _choose_member_state(self):
        return (
            MemberState.ACTIVE if self._is_domain_in_service() else MemberState.LEAVING
        )

    def _plan_departure(self, now):
        membership = self._membership
        next_view = membership.plan_mark_leaving(now)
        if next_view is None and self.is_draining:
            next_view = membership.plan_leave(now)
        return next_view

    async def _propose(self, choose_next_view):
        """Read the view from the store, and write the next one if a change is due.

        A write whose answer is lost needs no special handling, because the next
        call reads the view again.

        Parameters
        ----------
        choose_next_view : callable
            Called with the time in seconds of the local monotonic clock and the view
            in the store, or None; returns the view to write, or None.
        """
        revision_before = self._get_known_revision()
        entry = await self._store.get(self.key)
        stored = View.from_value(entry.value) if entry else None
        now = trio.current_time()
        if stored is not None:
            self.adopt(stored, now)
        next_view = self._membership.plan_restore(stored, now)
        if next_view is not None:
            logger.warning("store_regressed: writing view %d", next_view.number)
        else:
            next_view = choose_next_view(now, stored)
        self._must_read_store = False
        if next_view is None:
            return
        expect = entry.revision if entry else 0
        try:
            revision = await self._store.put(self.key, next_view.to_value(), expect)
        except StoreConflictError as error:
            if error.entry is not None:
                self.adopt(View.from_value(error.entry.value), trio.current_time())
            return
        self._observe_revision(revision, revision_before)
        logger.info(
            "wrote view %d: members %s",
            next_view.number,
            _list_member_states(next_view),
        )
        self.adopt(next_view, trio.current_time())

    async def remove_member(self, vm_id):
        """Remove a member whose process an operator confirms to have ended.

        Returns
        -------
        int
            Number of the view that is adopted after the attempt. It may still have
            the member, if another VM changed the view at the same time.

        Raises
        ------
        TarragonchuteError
            If the store could not be read or written.
        """

        def plan_removal(now, stored):
            return remove_from_view(stored, [vm_id]) if stored else None

        await self._propose(plan_removal)
        return self._membership.view.number

    async def _poll_vm_list(self):
        while True:
            try:
                vms = await self._vm_list.fetch()
                gone = [vm_id for vm_id, state in vms.items() if state == "gone"]
                self._membership.set_gone_vms(gone, trio.current_time())
            except TarragonchuteError as error:
                logger.debug("failed to read the VM list: %s", error)
            await trio.sleep(VM_LIST_PERIOD_S)


def _list_member_states(view):
    return {vm_id: str(member.state) for vm_id, member in view.members.items()}
