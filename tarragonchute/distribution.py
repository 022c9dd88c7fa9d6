"""Brings each accepted settings change to every VM, with or without the store."""

import logging

import trio

from .configuration import KEY_PREFIX, SubtreeValue, digest_vector, propose_change
from .errors import (
    FindingsError,
    NoLeaseError,
    ProtocolError,
    StoreConflictError,
    TarragonchuteError,
)
from .membership import majority
from .settings import Tree, parse_subtree, replace_subtree

logger = logging.getLogger(__name__)

SETTINGS_PULL = "settings_pull"
SETTINGS = "settings"
SETTINGS_ACK = "settings_ack"

WATCH_WAIT_S = 10.0
RETRY_DELAY_S = 0.3
PULL_PERIOD_S = 0.1
ACCEPT_POLL_S = 0.02


class Distribution:
    """Exchanges settings with the store and with the other VMs.

    Parameters
    ----------
    configuration : configuration.Configuration
    membership : membership.Membership
    store : store.Store
    link : links.Link
    handle_change : callable
        Called without arguments after the tree has changed.
    observe_revision : callable
        Called with a store revision and the revision known when it was asked for.
    known_revision : callable
        Returns the highest store revision that this VM has seen.

    Attributes
    ----------
    tree : settings.Tree
        The settings in force at this VM.
    is_loaded : bool
        Whether the store or a peer has told what the settings are.
    """

    def __init__(
        self,
        configuration,
        membership,
        store,
        link,
        handle_change,
        observe_revision,
        known_revision,
    ):
        self.tree = Tree()
        self.is_loaded = False
        self._configuration = configuration
        self._membership = membership
        self._store = store
        self._link = link
        self._handle_change = handle_change
        self._observe_revision = observe_revision
        self._known_revision = known_revision
        self._received_at = {}
        self._pulled_at = {}
        self._compared_epochs = {}
        self._watch_scope = None
        self._has_to_read = True

    def list_ages(self, now):
        """Return a dict of subtree to seconds since this VM got its version."""
        return {name: now - at for name, at in self._received_at.items()}

    def refresh(self, now):
        """Compare all settings again, after a new view was adopted.

        The members of the new view may have missed a version that a majority of
        the old one acknowledged. Reading the store, or comparing with a majority
        of each previous set, finds it.
        """
        self._has_to_read = True
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        view = self._membership.view
        known = set(view.members).union(*view.previous)
        for vm_id in known - {self._membership.vm_id}:
            self._send_pull(vm_id)
        self._note_compared(self._membership.vm_id)

    # Messages.

    def pull(self, now):
        """Compare settings with the peers whose digest is not known yet."""
        for vm_id in self._membership.list_vms_to_compare(now):
            if now - self._pulled_at.get(vm_id, -PULL_PERIOD_S) >= PULL_PERIOD_S:
                self._pulled_at[vm_id] = now
                self._send_pull(vm_id)

    def handle_pull(self, sender, body):
        """Give a peer what it lacks, and take note of what it has."""
        vector = _read_vector(body)
        self._note_vector(sender, vector)
        newer = self._configuration.list_newer_than(vector)
        self._send_values(sender, newer)

    def handle_settings(self, sender, body, now):
        """Take newer subtrees from a peer and acknowledge them."""
        try:
            vector = _read_vector(body["vector"])
            items = body["values"].items()
            values = {name: SubtreeValue.from_body(one) for name, one in items}
        except (KeyError, TypeError, AttributeError) as error:
            raise ProtocolError(f"malformed settings: {error!r}") from error
        self.apply(values, now)
        self._note_vector(sender, vector)
        if values:
            body = self._configuration.version_vector()
            self._link.send(sender, SETTINGS_ACK, body)

    def handle_ack(self, sender, body):
        """Take note of what a peer has."""
        self._note_vector(sender, _read_vector(body))

    def _send_pull(self, vm_id):
        vector = self._configuration.version_vector()
        self._link.send(vm_id, SETTINGS_PULL, vector)

    def _send_values(self, vm_id, values):
        body = {
            "vector": self._configuration.version_vector(),
            "values": {name: value.to_body() for name, value in values.items()},
        }
        self._link.send(vm_id, SETTINGS, body)

    def _note_vector(self, vm_id, vector):
        self._configuration.acknowledge(vm_id, vector)
        has_newer = self._configuration.is_missing_from(vector)
        self._membership.record_settings_comparison(digest_vector(vector), has_newer)
        if not has_newer:
            self._note_compared(vm_id)

    def _note_compared(self, vm_id):
        """Note that a VM had nothing newer in the adopted view."""
        epoch = self._membership.epoch
        self._compared_epochs[vm_id] = epoch
        view = self._membership.view
        if view is None or not self.is_loaded:
            return
        if all(self._has_compared(one, epoch) for one in view.previous):
            self._membership.record_settings_read(epoch)

    def _has_compared(self, vm_ids, epoch):
        compared = [k for k in vm_ids if self._compared_epochs.get(k) == epoch]
        return len(compared) >= majority(len(vm_ids))

    def _push(self, subtree, value):
        view = self._membership.view
        for vm_id in view.members if view else ():
            if vm_id != self._membership.vm_id:
                self._send_values(vm_id, {subtree: value})

    # Changes.

    def apply(self, values, now):
        """Put newer subtrees in force.

        Parameters
        ----------
        values : dict of str to SubtreeValue
        now : float
        """
        taken = [n for n, value in values.items() if self._take(n, value, now)]
        if not taken:
            return
        self.is_loaded = True
        self._membership.set_settings(self._configuration.digest())
        vector = self._configuration.version_vector()
        self._configuration.acknowledge(self._membership.vm_id, vector)
        self._handle_change()

    def _take(self, subtree, value, now):
        if not self._configuration.apply(subtree, value):
            return False
        self._received_at[subtree] = now
        logger.info("settings %s version %d are in force", subtree, value.version)
        try:
            parsed = parse_subtree(subtree, value.content, subtree)
            replace_subtree(self.tree, subtree, parsed)
        except FindingsError as error:
            # Only a writer that bypasses the admin port can cause this.
            logger.error("settings %s are invalid, kept the old: %s", subtree, error)
        return True

    async def propose(self, proposal):
        """Write a change and wait until a majority has it in force.

        Returns
        -------
        configuration.ProposalResult

        Raises
        ------
        NoLeaseError
            If this VM hears no majority; nothing was written.
        """
        if not self._membership.has_lease(trio.current_time()):
            raise NoLeaseError("this VM hears no majority of the members")
        known = self._configuration.version_of(proposal.subtree)
        result = await propose_change(
            self._store, proposal, self._wait_for_majority, known
        )
        logger.info(
            "change %s of %s by %s: %s",
            proposal.change_id,
            proposal.subtree,
            proposal.author,
            result.state,
        )
        return result

    async def _wait_for_majority(self, subtree, value):
        self.apply({subtree: value}, trio.current_time())
        while True:
            self._push(subtree, value)
            for _ in range(round(PULL_PERIOD_S / ACCEPT_POLL_S)):
                if self._is_accepted(subtree, value.version):
                    return
                await trio.sleep(ACCEPT_POLL_S)

    def _is_accepted(self, subtree, version):
        sets = self._membership.list_quorum_sets()
        return self._configuration.is_accepted(subtree, version, sets)

    # Store.

    async def run(self):
        """Follow the store until cancelled."""
        after = 0
        while True:
            try:
                if self._has_to_read:
                    after = await self._read_all()
                else:
                    after = await self._watch(after)
            except TarragonchuteError as error:
                logger.debug("cannot follow the settings: %s", error)
                self._has_to_read = True
                await trio.sleep(RETRY_DELAY_S)

    async def _read_all(self):
        """Read every subtree and return the store's revision."""
        self._has_to_read = False
        asked = self._known_revision()
        epoch = self._membership.epoch
        entries, revision = await self._store.list(KEY_PREFIX)
        self._observe_revision(revision, asked)
        values = _read_entries(entries)
        self.apply(values, trio.current_time())
        # A store that was read and found empty says that there are no settings.
        self.is_loaded = True
        self._membership.record_settings_read(epoch)
        await self._check_store(entries, values)
        return revision

    async def _watch(self, after):
        """Wait for a change and return the store's revision."""
        asked = self._known_revision()
        with trio.CancelScope() as self._watch_scope:
            entries, revision = await self._store.watch(KEY_PREFIX, after, WATCH_WAIT_S)
            self._observe_revision(revision, asked)
            self.apply(_read_entries(entries), trio.current_time())
            # A lower revision than before means a store restored from a backup:
            # the whole tree has to be compared again.
            self._has_to_read |= revision < after
            return revision
        return after

    async def _check_store(self, entries, values):
        """Write newer subtrees back over older ones."""
        revisions = {entry.key[len(KEY_PREFIX) :]: entry.revision for entry in entries}
        for name in self._configuration.subtrees():
            newer = self._configuration.check_store(name, values.get(name))
            if newer is None or not self._membership.is_first_proposer(
                trio.current_time()
            ):
                continue
            try:
                await self._store.put(
                    KEY_PREFIX + name, newer.to_value(), revisions.get(name, 0)
                )
            except StoreConflictError:
                logger.info("another VM wrote %s back", name)


def _read_vector(body):
    if not isinstance(body, dict):
        raise ProtocolError("malformed version vector")
    try:
        return {str(name): int(version) for name, version in body.items()}
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"malformed version vector: {error}") from error


def _read_entries(entries):
    values = {}
    for entry in entries:
        try:
            values[entry.key[len(KEY_PREFIX) :]] = SubtreeValue.from_value(entry.value)
        except ProtocolError as error:
            logger.error("ignored %s in the store: %s", entry.key, error)
    return values
