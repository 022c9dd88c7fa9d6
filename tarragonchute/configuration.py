"""Versioned settings subtrees as known to this VM, and changes to them.

`Configuration` holds state only and does no input or output; `propose_change` writes
a change to the store.
"""

import configparser
import enum
import hashlib
import logging

import orjson
import trio

from . import audit
from .errors import (
    Finding,
    FindingsError,
    ProtocolError,
    SettingsConflictError,
    SettingsTooLargeError,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

logger = logging.getLogger(__name__)

KEY_PREFIX = "settings/"
# Less than `store.MAX_VALUE_BYTES`, so that the store accepts every subtree that passes
# this check.
MAX_SUBTREE_BYTES = 900 * 1000
ACCEPT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 3.0
WRITE_TIMEOUT_S = 3.0
WRITE_RETRY_INTERVAL_S = 0.1


class SubtreeValue:
    """One version of a settings subtree, as stored.

    Parameters
    ----------
    version : int
        Increases by one with each change.
    content : str
        INI text.
    records : list of audit.AuditRecord
        Audit records of its changes, oldest first.
    """

    __slots__ = ("version", "content", "records")

    def __init__(self, version, content, records=()):
        self.version = version
        self.content = content
        self.records = list(records)

    def find_record(self, change_id):
        """Return the audit record of a change, or None."""
        matches = (r for r in reversed(self.records) if r.change_id == change_id)
        return next(matches, None)

    def to_body(self):
        """Return the value as a JSON object."""
        return {
            "version": self.version,
            "content": self.content,
            "audit": [record.to_body() for record in self.records],
        }

    def to_value(self):
        """Return the JSON text to write to the store.

        Raises
        ------
        SettingsTooLargeError
            If the text exceeds `MAX_SUBTREE_BYTES` in UTF-8.
        """
        data = orjson.dumps(self.to_body())
        if len(data) > MAX_SUBTREE_BYTES:
            message = f"{len(data)} bytes exceed the limit of {MAX_SUBTREE_BYTES} bytes"
            raise SettingsTooLargeError(message)
        return data.decode()

    @classmethod
    def from_body(cls, body):
        """Return the value that a JSON object describes.

        Raises
        ------
        ProtocolError
            If a field is missing or has the wrong type.
        """
        try:
            records = [audit.AuditRecord.from_body(one) for one in body["audit"]]
            return cls(int(body["version"]), str(body["content"]), records)
        except (KeyError, TypeError, ValueError) as error:
            raise ProtocolError(f"malformed settings: {error!r}") from error

    @classmethod
    def from_value(cls, text):
        """Parse the JSON text of a store entry; raise `ProtocolError` if malformed."""
        try:
            body = orjson.loads(text)
        except ValueError as error:
            raise ProtocolError(f"malformed settings: {error}") from error
        return cls.from_body(body)


class Configuration:
    """The newest known version of each subtree; a known version never decreases.

    Also records which versions the other VMs have acknowledged.
    """

    def __init__(self):
        self._values = {}
        self._acknowledged = {}

    def get(self, subtree):
        """Return the `SubtreeValue`, or None if the subtree is unknown."""
        return self._values.get(subtree)

    def subtrees(self):
        """Return the sorted names of the known subtrees."""
        return sorted(self._values)

    def apply(self, subtree, value):
        """Store a subtree if its version is higher than the known one.

        Returns
        -------
        bool
            Whether the subtree was stored.
        """
        if value.version <= self.version_of(subtree):
            return False
        self._values[subtree] = value
        return True

    def version_of(self, subtree):
        """Return the known version; 0 if the subtree is unknown."""
        value = self._values.get(subtree)
        return 0 if value is None else value.version

    def version_vector(self):
        """Return a dict of subtree to version."""
        return {name: value.version for name, value in sorted(self._values.items())}

    def digest(self):
        """Return the digest of the version vector, which heartbeats carry."""
        return compute_vector_digest(self.version_vector())

    def list_newer_than(self, vector):
        """Return a dict of subtree to value of the subtrees newer than a peer's.

        Parameters
        ----------
        vector : dict of str to int
            The peer's version vector.
        """
        return {
            name: value
            for name, value in self._values.items()
            if value.version > vector.get(name, 0)
        }

    def is_behind(self, vector):
        """Whether a peer's version vector has a newer version of any subtree."""
        return any(n > self.version_of(name) for name, n in vector.items())

    def record_acknowledgement(self, vm_id, vector):
        """Record the version vector that a VM reports to have applied."""
        acknowledged = self._acknowledged.setdefault(vm_id, {})
        for name, version in vector.items():
            acknowledged[name] = max(version, acknowledged.get(name, 0))

    def drop_acknowledgements(self, vm_ids):
        """Drop the recorded acknowledgements of VMs that restarted or left."""
        for vm_id in vm_ids:
            self._acknowledged.pop(vm_id, None)

    def is_accepted(self, subtree, version, member_sets):
        """Whether a majority of each member set has acknowledged a version.

        Parameters
        ----------
        subtree : str
        version : int
        member_sets : iterable of iterable of str
            `Membership.list_quorum_sets` for the view that was in the store after
            the change was written. VMs that join later are not counted, because
            they read the settings from the store after joining.
        """
        return all(self._has_majority(subtree, version, one) for one in member_sets)

    def find_value_to_write_back(self, subtree, value):
        """Return the known value of a subtree if the store has an older one.

        Logs a warning in that case. The caller writes the value back only on the member
        with the lowest vm_id among those that hold a lease.

        Parameters
        ----------
        subtree : str
        value : SubtreeValue or None
            As read from the store; None if the key does not exist.

        Returns
        -------
        SubtreeValue or None
            None if the store is up to date or the subtree is unknown here.
        """
        known = self._values.get(subtree)
        stored_version = 0 if value is None else value.version
        if known is None or stored_version >= known.version:
            return None
        logger.warning(
            "store_regressed: subtree %s has version %d in the store, but version %d "
            "is known here",
            subtree,
            stored_version,
            known.version,
        )
        return known

    def count_acknowledged(self, subtree, version, vm_ids):
        """Return how many of the VMs have acknowledged a version."""
        acknowledged = [
            self._acknowledged.get(k, {}).get(subtree, 0) for k in set(vm_ids)
        ]
        return sum(1 for one in acknowledged if one >= version)

    def _has_majority(self, subtree, version, vm_ids):
        members = set(vm_ids)
        return 2 * self.count_acknowledged(subtree, version, members) > len(members)


def compute_vector_digest(vector):
    """Return the digest of a version vector, as heartbeats carry it.

    Parameters
    ----------
    vector : dict of str to int
    """
    data = orjson.dumps(vector, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=12).hexdigest()


class ProposalState(enum.StrEnum):
    """Outcome of a proposed change.

    ``pending``: written, but not yet acknowledged by a majority. ``unknown``: the
    write may or may not have taken effect. ``not_run``: nothing was written.
    """

    ACCEPTED = "accepted"
    PENDING = "pending"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class Edit:
    """One operator's changes to a subtree, for audit records and conflict errors.

    Parameters
    ----------
    author : str
    version : int
        Version that the edit created, or would have created.
    changes : list of audit.OptionChange
        Changed options, with secrets masked.
    """

    __slots__ = ("author", "version", "changes")

    def __init__(self, author, version, changes):
        self.author = author
        self.version = version
        self.changes = changes

    def __str__(self):
        lines = [f"{c.option}: {c.old!r} -> {c.new!r}" for c in self.changes]
        return f"{self.author} (version {self.version}): {'; '.join(lines)}"


class ConflictingEditsError(SettingsConflictError):
    """The subtree has changed since the version that the operator edited.

    Attributes
    ----------
    own : Edit
        The rejected edit.
    others : list of Edit
        The edits made since the base version, oldest first.
    """

    def __init__(self, subtree, own, others):
        others = list(others)
        earlier = "; ".join(str(edit) for edit in others) or "an unknown change"
        super().__init__(f"{subtree}: rejected {own}; it conflicts with {earlier}")
        self.own = own
        self.others = others


class ProposalResult:
    """Result of a proposed change.

    Parameters
    ----------
    state : ProposalState
    change_id : str
    version : int
        Version that the change created, or would have created.
    error : TarragonchuteError or None
        Reason for `CONFLICT`, `UNKNOWN` or `NOT_RUN`; None otherwise.
    """

    __slots__ = ("state", "change_id", "version", "error")

    def __init__(self, state, change_id, version, error=None):
        self.state = state
        self.change_id = change_id
        self.version = version
        self.error = error


class Proposal:
    """A proposed change of one subtree.

    Parameters
    ----------
    subtree : str
    base_version : int
        Version that the operator edited; 0 to create the subtree.
    content : str
        Complete new INI text, already checked by the caller.
    author : str
    change_id : str
        Random id, unique to this proposal.
    when : float
        Wall-clock Unix time in seconds.
    secrets : iterable of str
        Name patterns of the options whose values the audit records mask, besides
        ``token*``.
    """

    __slots__ = (
        "subtree",
        "base_version",
        "content",
        "author",
        "change_id",
        "when",
        "secrets",
    )

    def __init__(
        self, subtree, base_version, content, author, change_id, when, secrets=()
    ):
        self.subtree = subtree
        self.base_version = base_version
        self.content = content
        self.author = author
        self.change_id = change_id
        self.when = when
        self.secrets = tuple(secrets)

    @property
    def key(self):
        """Store key of the subtree."""
        return KEY_PREFIX + self.subtree

    @property
    def version(self):
        """Version that the change creates."""
        return self.base_version + 1

    def build_edit(self, old):
        """Return the `Edit` from the current value to the proposed one."""
        new_options = read_options(self.content, self.subtree)
        old_options = _read_old_options(old, self.subtree)
        changes = audit.list_changes(old_options, new_options, self.secrets)
        return Edit(self.author, self.version, changes)

    def build_value(self, old):
        """Return the `SubtreeValue` to write, with an audit record of this change.

        Raises
        ------
        FindingsError
            If the content is not valid INI text.
        """
        record = audit.AuditRecord(
            who=self.author,
            when=self.when,
            change_id=self.change_id,
            subtree=self.subtree,
            from_version=self.base_version,
            to_version=self.version,
            changes=self.build_edit(old).changes,
        )
        records = audit.append_record(old.records if old else [], record)
        return SubtreeValue(self.version, self.content, records)

    def build_conflict_error(self, current):
        """Return the error that lists this edit and the conflicting earlier ones."""
        records = current.records if current else []
        since_base = [r for r in records if r.to_version > self.base_version]
        others = [Edit(r.who, r.to_version, r.changes) for r in since_base]
        own = self.build_edit(current)
        return ConflictingEditsError(self.subtree, own, others)


async def propose_change(store, proposal, wait_for_majority, known_version=0):
    """Write a change to the store and wait until a majority has acknowledged it.

    Parameters
    ----------
    store : Store
    proposal : Proposal
    wait_for_majority : async callable
        Called with the subtree and the written `SubtreeValue`. Applies the value
        at this VM and returns as soon as `Configuration.is_accepted` is true; it
        is cancelled after `ACCEPT_TIMEOUT_S`.
    known_version : int
        Version of the subtree that this VM knows. If the store has a lower one, it has
        lost writes: nothing is written and the result is `NOT_RUN`.

    Returns
    -------
    ProposalResult

    Raises
    ------
    SettingsTooLargeError
        If the new value exceeds the limit; nothing was written.
    FindingsError
        If the content is not valid INI text; nothing was written.
    """
    try:
        entry = await _read(store, proposal.key)
        old = _parse_entry(entry)
        _check_base_version(proposal, old, known_version)
        value = proposal.build_value(old)
        expect = entry.revision if entry else 0
        await _write(store, proposal, value, expect)
    except SettingsConflictError as error:
        return _build_result(proposal, ProposalState.CONFLICT, error)
    except StoreOutcomeUnknownError as error:
        return _build_result(proposal, ProposalState.UNKNOWN, error)
    except StoreUnavailableError as error:
        return _build_result(proposal, ProposalState.NOT_RUN, error)
    with trio.move_on_after(ACCEPT_TIMEOUT_S):
        await wait_for_majority(proposal.subtree, value)
        return _build_result(proposal, ProposalState.ACCEPTED)
    return _build_result(proposal, ProposalState.PENDING)


def _build_result(proposal, state, error=None):
    return ProposalResult(state, proposal.change_id, proposal.version, error)


async def _read(store, key):
    with trio.move_on_after(READ_TIMEOUT_S):
        return await store.get(key)
    raise StoreUnavailableError("reading the settings from the store timed out")


def _parse_entry(entry):
    return None if entry is None else SubtreeValue.from_value(entry.value)


def _check_base_version(proposal, old, known_version):
    stored_version = 0 if old is None else old.version
    if stored_version < known_version:
        message = (
            f"store_regressed: the store has an older version of {proposal.subtree} "
            "than this VM"
        )
        raise StoreUnavailableError(message)
    if stored_version != proposal.base_version:
        raise proposal.build_conflict_error(old)


async def _write(store, proposal, value, expect):
    """Write the value by compare-and-swap; retry if the response is lost.

    Repeats the same compare-and-swap until it succeeds or conflicts. Repeating it is
    safe: the first request to take effect changes the revision of the key, so every
    other one, even if delayed, conflicts.
    """
    text = value.to_value()
    with trio.move_on_after(WRITE_TIMEOUT_S):
        try:
            await store.put(proposal.key, text, expect)
            return
        except StoreConflictError as error:
            _check_own_change(proposal, error.entry)
            return
        except StoreOutcomeUnknownError:
            logger.warning(
                "response to the write of settings change %s was lost; retrying",
                proposal.change_id,
            )
        await _retry_write(store, proposal, text, expect)
        return
    message = (
        f"write of change {proposal.change_id} timed out; it may have taken effect"
    )
    raise StoreOutcomeUnknownError(message)


async def _retry_write(store, proposal, text, expect):
    while True:
        try:
            await store.put(proposal.key, text, expect)
            return
        except StoreConflictError as error:
            _check_own_change(proposal, error.entry)
            return
        except (StoreOutcomeUnknownError, StoreUnavailableError):
            # An earlier request may have taken effect even if this one did not run,
            # so the outcome is still unknown.
            await trio.sleep(WRITE_RETRY_INTERVAL_S)


def _check_own_change(proposal, entry):
    """Raise the conflict unless the entry contains this proposal's change."""
    current = _parse_entry(entry)
    if current is None or current.find_record(proposal.change_id) is None:
        raise proposal.build_conflict_error(current)


def read_options(content, name):
    """Parse INI text and return a dict of ``section.option`` to value.

    Raises
    ------
    FindingsError
        If the content is not valid INI text.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(content, source=name)
    except configparser.Error as error:
        raise FindingsError([Finding(name, str(error))]) from error
    return {
        f"{section}.{option}": value
        for section in parser.sections()
        for option, value in parser.items(section)
    }


def _read_old_options(value, name):
    """Return the options of a stored value; an empty dict if it cannot be parsed."""
    try:
        return {} if value is None else read_options(value.content, name)
    except FindingsError:
        return {}
