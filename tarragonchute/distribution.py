"""Synchronizes the settings of all VMs, through the store and from VM to VM.

While the store is unreachable, VMs still get newer settings from each other.
"""

import logging

import trio

from .configuration import (
    KEY_PREFIX,
    SubtreeValue,
    compute_vector_digest,
    propose_change,
)
from .errors import (
    FindingsError,
    NoLeaseError,
    ProtocolError,
    StoreConflictError,
    TarragonchuteError,
)
from .membership import majority
from .settings import SettingsTree, parse_subtree, replace_subtree

logger = logging.getLogger(__name__)

SETTINGS_PULL = "settings_pull"
SETTINGS_PUSH = "settings"
SETTINGS_ACK = "settings_ack"

WATCH_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.3
SYNC_INTERVAL_S = 0.1
ACCEPT_POLL_INTERVAL_S = 0.02


class SettingsSynchronizer:
    """Synchronizes the settings of this VM with the store and with other VMs.

    Parameters
    ----------
    configuration : configuration.Configuration
    membership : membership.Membership
    store : store.Store
    link : links.Link
    handle_change : callable
        Called without arguments after newer subtrees were applied.
    observe_revision : callable
        Called with the revision that the store reported and the highest one that was
        known when the request was sent, to detect a store that has lost writes.
    get_known_revision : callable
        Returns the highest store revision that this VM has seen.

    Attributes
    ----------
    tree : settings.SettingsTree
        The settings in force at this VM.
    is_loaded : bool
        Whether this VM has received the settings from the store or from a peer.
    """

    def __init__(
        self,
        configuration,
        membership,
        store,
        link,
        handle_change,
        observe_revision,
        get_known_revision,
    ):
        self.tree = SettingsTree()
        self.is_loaded = False
        self._configuration = configuration
        self._membership = membership
        self._store = store
        self._link = link
        self._handle_change = handle_change
        self._observe_revision = observe_revision
        self._get_known_revision = get_known_revision
        self._applied_at = {}
        self._pulled_at = {}
        self._compared_epochs = {}
        # The newest known process of each VM.
        self._incarnations = {}
        self._watch_scope = None
        self._must_read_all = True

    def get_ages(self, now):
        """Return a dict of subtree to the seconds since its version was applied."""
        return {name: now - at for name, at in self._applied_at.items()}

    def handle_view_change(self, now):
        """Compare all settings again after a new view was adopted.

        The members of the new view may lack a version that a majority of the old
        view has acknowledged. This VM obtains it by reading the store, or by
        comparing settings with a majority of each previous member set: any two
        majorities of a set have a member in common.
        """
        self._must_read_all = True
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        view = self._membership.view
        vm_ids = set(view.members).union(*view.previous)
        self._drop_old_acknowledgements(view.incarnations(), vm_ids)
        for vm_id in vm_ids - {self._membership.vm_id}:
            self._send_pull(vm_id)
        # This VM counts towards the majority of each set that contains it.
        self._record_comparison(self._membership.vm_id)

    def _drop_old_acknowledgements(self, incarnations, vm_ids):
        """Drop what earlier processes of VMs, and VMs that are gone, acknowledged.

        A new process starts without it. The pulls that follow a view change ask it for
        the versions that it has.

        Parameters
        ----------
        incarnations : dict of str to str
            Processes of the members.
        vm_ids : set of str
            Members of the view and of its previous sets.
        """
        known = self._incarnations
        own = self._membership.vm_id
        outdated = [
            vm_id
            for vm_id, incarnation in known.items()
            if vm_id not in vm_ids
            or incarnations.get(vm_id, incarnation) != incarnation
            and vm_id != own
        ]
        self._configuration.drop_acknowledgements(outdated)
        kept = {vm_id: known[vm_id] for vm_id in known if vm_id in vm_ids}
        self._incarnations = {**kept, **incarnations}

    # Messages.

    def request_newer_settings(self, now):
        """Request newer settings from the peers whose digest was not compared yet."""
        for vm_id in self._membership.list_vms_to_compare(now):
            if now - self._pulled_at.get(vm_id, -SYNC_INTERVAL_S) >= SYNC_INTERVAL_S:
                self._pulled_at[vm_id] = now
                self._send_pull(vm_id)

    def handle_pull(self, sender, body):
        """Send a peer the subtrees that it lacks, and record its versions."""
        vector = _parse_vector(body)
        self._record_vector(sender, vector)
        newer = self._configuration.list_newer_than(vector)
        self._send_values(sender, newer)

    def handle_settings(self, sender, body, now):
        """Apply newer subtrees from a peer and acknowledge them."""
        try:
            vector = _parse_vector(body["vector"])
            items = body["values"].items()
            values = {name: SubtreeValue.from_body(one) for name, one in items}
        except (KeyError, TypeError, AttributeError) as error:
            raise ProtocolError(f"malformed settings: {error!r}") from error
        self.apply(values, now)
        self._record_vector(sender, vector)
        if values:
            body = self._configuration.version_vector()
            self._link.send(sender, SETTINGS_ACK, body)

    def handle_ack(self, sender, body):
        """Record the versions that a peer has."""
        self._record_vector(sender, _parse_vector(body))

    def _send_pull(self, vm_id):
        vector = self._configuration.version_vector()
        self._link.send(vm_id, SETTINGS_PULL, vector)

    def _send_values(self, vm_id, values):
        body = {
            "vector": self._configuration.version_vector(),
            "values": {name: value.to_body() for name, value in values.items()},
        }
        self._link.send(vm_id, SETTINGS_PUSH, body)

    def _record_vector(self, vm_id, vector):
        self._configuration.record_acknowledgement(vm_id, vector)
        has_newer = self._configuration.is_behind(vector)
        self._membership.record_settings_comparison(
            compute_vector_digest(vector), has_newer
        )
        if not has_newer:
            self._record_comparison(vm_id)

    def _record_comparison(self, vm_id):
        """Record that a VM has no newer settings than this one in the current epoch.

        Once a majority of each previous member set has been compared, the settings
        count as read.
        """
        epoch = self._membership.epoch
        self._compared_epochs[vm_id] = epoch
        view = self._membership.view
        if view is None or not self.is_loaded:
            return
        if all(self._is_majority_compared(one, epoch) for one in view.previous):
            self._membership.record_settings_read(epoch)

    def _is_majority_compared(self, vm_ids, epoch):
        compared = [k for k in vm_ids if self._compared_epochs.get(k) == epoch]
        return len(compared) >= majority(len(vm_ids))

    def _send_to_members(self, subtree, value):
        view = self._membership.view
        for vm_id in view.members if view else ():
            if vm_id != self._membership.vm_id:
                self._send_values(vm_id, {subtree: value})

    # Changes.

    def apply(self, values, now):
        """Apply each subtree whose version is higher than the known one.

        Parameters
        ----------
        values : dict of str to SubtreeValue
        now : float
        """
        applied = [n for n, value in values.items() if self._apply_one(n, value, now)]
        if not applied:
            return
        self.is_loaded = True
        self._membership.set_settings(self._configuration.digest())
        vector = self._configuration.version_vector()
        self._configuration.record_acknowledgement(self._membership.vm_id, vector)
        self._handle_change()

    def _apply_one(self, subtree, value, now):
        if not self._configuration.apply(subtree, value):
            return False
        self._applied_at[subtree] = now
        try:
            parsed = parse_subtree(subtree, value.content, subtree)
            replace_subtree(self.tree, subtree, parsed)
        except FindingsError as error:
            # The admin port rejects invalid text, but an operator may have written this
            # directly to the store.
            logger.error("settings %s are invalid, kept the old: %s", subtree, error)
        else:
            logger.info("settings %s version %d are in force", subtree, value.version)
        return True

    async def propose(self, proposal):
        """Write a change to the store and wait until a majority has applied it.

        Returns
        -------
        configuration.ProposalResult

        Raises
        ------
        NoLeaseError
            If this VM holds no lease; nothing was written.
        """
        if not self._membership.has_lease(trio.current_time()):
            raise NoLeaseError("this VM has no lease from a majority of the members")
        known = self._configuration.version_of(proposal.subtree)
        result = await propose_change(
            self._store, proposal, self._wait_for_majority, known
        )
        logger.info(
            "settings change %s of subtree %s by operator %s: %s",
            proposal.change_id,
            proposal.subtree,
            proposal.author,
            result.state,
        )
        return result

    async def _wait_for_majority(self, subtree, value):
        self.apply({subtree: value}, trio.current_time())
        while True:
            self._send_to_members(subtree, value)
            for _ in range(round(SYNC_INTERVAL_S / ACCEPT_POLL_INTERVAL_S)):
                if self._is_accepted(subtree, value.version):
                    return
                await trio.sleep(ACCEPT_POLL_INTERVAL_S)

    def _is_accepted(self, subtree, version):
        sets = self._membership.list_quorum_sets()
        return self._configuration.is_accepted(subtree, version, sets)

    # Store.

    async def run(self):
        """Read all settings and watch them in the store, until cancelled."""
        revision = 0
        while True:
            try:
                if self._must_read_all:
                    revision = await self._read_all()
                else:
                    revision = await self._watch(revision)
            except TarragonchuteError as error:
                logger.debug("cannot read or watch settings in the store: %s", error)
                self._must_read_all = True
                await trio.sleep(RETRY_DELAY_S)

    async def _read_all(self):
        """Read and apply every subtree; return the store's revision."""
        self._must_read_all = False
        known_revision = self._get_known_revision()
        epoch = self._membership.epoch
        entries, revision = await self._store.list(KEY_PREFIX)
        self._observe_revision(revision, known_revision)
        values = _parse_entries(entries)
        self.apply(values, trio.current_time())
        # An empty list counts as loaded: the store has no settings yet.
        self.is_loaded = True
        self._membership.record_settings_read(epoch)
        await self._write_back(entries, values)
        return revision

    async def _watch(self, after):
        """Wait for a change after a revision and apply it; return the new revision.

        Returns `after` if a view change cancels the watch.
        """
        known_revision = self._get_known_revision()
        with trio.CancelScope() as self._watch_scope:
            entries, revision = await self._store.watch(
                KEY_PREFIX, after, WATCH_TIMEOUT_S
            )
            self._observe_revision(revision, known_revision)
            self.apply(_parse_entries(entries), trio.current_time())
            # A lower revision than before means that the store was restored from a
            # backup, so all settings must be read again.
            self._must_read_all |= revision < after
            return revision
        return after

    async def _write_back(self, entries, values):
        """Write known subtrees back where the store has older versions."""
        revisions = {entry.key[len(KEY_PREFIX) :]: entry.revision for entry in entries}
        for name in self._configuration.subtrees():
            newer = self._configuration.find_value_to_write_back(name, values.get(name))
            if newer is None or not self._membership.is_first_proposer(
                trio.current_time()
            ):
                continue
            try:
                await self._store.put(
                    KEY_PREFIX + name, newer.to_value(), revisions.get(name, 0)
                )
            except StoreConflictError:
                logger.info(
                    "subtree %s was changed in the store before it was written back",
                    name,
                )


def _parse_vector(body):
    if not isinstance(body, dict):
        raise ProtocolError("malformed version vector")
    try:
        return {str(name): int(version) for name, version in body.items()}
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"malformed version vector: {error}") from error


def _parse_entries(entries):
    values = {}
    for entry in entries:
        try:
            values[entry.key[len(KEY_PREFIX) :]] = SubtreeValue.from_value(entry.value)
        except ProtocolError as error:
            logger.error("ignoring malformed store entry %s: %s", entry.key, error)
    return values
