"""The settings tree as this VM knows it, and changes to it.

`Configuration` is a pure state; `propose_change` writes a change through the store.
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
MAX_VALUE_BYTES = 900 * 1000
ACCEPT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 3.0
WRITE_TIMEOUT_S = 3.0
READ_BACK_PERIOD_S = 0.1


class SubtreeValue:
    """One subtree of the settings, as it is in the store.

    Parameters
    ----------
    version : int
        Rises by one with each change.
    content : str
        INI text.
    records : list of audit.AuditRecord
        Oldest first.
    """

    __slots__ = ("version", "content", "records")

    def __init__(self, version, content, records=()):
        self.version = version
        self.content = content
        self.records = list(records)

    def find_record(self, change_id):
        """Return the audit record of a change, or None."""
        found = (r for r in reversed(self.records) if r.change_id == change_id)
        return next(found, None)

    def to_body(self):
        """Return the JSON body."""
        return {
            "version": self.version,
            "content": self.content,
            "audit": [record.to_body() for record in self.records],
        }

    def to_value(self):
        """Return the text that the store keeps.

        Raises
        ------
        SettingsTooLargeError
            If it has more than `MAX_VALUE_BYTES` in UTF-8.
        """
        data = orjson.dumps(self.to_body())
        if len(data) > MAX_VALUE_BYTES:
            text = f"{len(data)} bytes are above the limit of {MAX_VALUE_BYTES}"
            raise SettingsTooLargeError(text)
        return data.decode()

    @classmethod
    def from_body(cls, body):
        """Rebuild the value from its JSON body.

        Raises
        ------
        ProtocolError
            If the body is malformed.
        """
        try:
            records = [audit.AuditRecord.from_body(one) for one in body["audit"]]
            return cls(int(body["version"]), str(body["content"]), records)
        except (KeyError, TypeError, ValueError) as error:
            raise ProtocolError(f"malformed settings: {error!r}") from error

    @classmethod
    def from_value(cls, text):
        """Rebuild the value from the store's text; raises `ProtocolError`."""
        try:
            body = orjson.loads(text)
        except ValueError as error:
            raise ProtocolError(f"malformed settings: {error}") from error
        return cls.from_body(body)


class Configuration:
    """The newest known version of each subtree. A version is never lowered."""

    def __init__(self):
        self._values = {}
        self._acknowledged = {}

    def get(self, subtree):
        """Return the `SubtreeValue`, or None."""
        return self._values.get(subtree)

    def subtrees(self):
        """Return the sorted names of the known subtrees."""
        return sorted(self._values)

    def apply(self, subtree, value):
        """Take a subtree if its version is higher than the known one.

        Returns
        -------
        bool
            Whether it was taken.
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
        """Return the digest of the version vector that heartbeats carry."""
        return compute_vector_digest(self.version_vector())

    def list_newer_than(self, vector):
        """Return a dict of subtree to value, of those that a peer lacks.

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
        """Whether a peer's version vector has any subtree in a newer version."""
        return any(n > self.version_of(name) for name, n in vector.items())

    def record_acknowledgement(self, vm_id, vector):
        """Take the version vector that a VM reports to have in force."""
        known = self._acknowledged.setdefault(vm_id, {})
        for name, version in vector.items():
            known[name] = max(version, known.get(name, 0))

    def drop_acknowledgements(self, vm_ids):
        """Drop the acknowledgements of VMs that restarted or left."""
        for vm_id in vm_ids:
            self._acknowledged.pop(vm_id, None)

    def is_accepted(self, subtree, version, member_sets):
        """Whether a majority of each set has acknowledged a version.

        Parameters
        ----------
        subtree : str
        version : int
        member_sets : iterable of iterable of str
            `Membership.list_quorum_sets` of the view that the store had after the
            change was written. VMs that join later read the settings after they
            joined.
        """
        return all(self._has_majority(subtree, version, one) for one in member_sets)

    def find_write_back(self, subtree, value):
        """Compare the store's value of a subtree with the known one.

        Parameters
        ----------
        subtree : str
        value : SubtreeValue or None
            As read from the store; None if the key does not exist.

        Returns
        -------
        SubtreeValue or None
            The value to write back by compare-and-swap, if the store returned an
            older one. The leased member with the lowest vm_id does this.
        """
        known = self._values.get(subtree)
        stored = 0 if value is None else value.version
        if known is None or stored >= known.version:
            return None
        logger.warning(
            "store_regressed: %s has version %d in the store and %d here",
            subtree,
            stored,
            known.version,
        )
        return known

    def count_acknowledged(self, subtree, version, vm_ids):
        """Return how many of the VMs have acknowledged a version."""
        known = [self._acknowledged.get(k, {}).get(subtree, 0) for k in set(vm_ids)]
        return sum(1 for one in known if one >= version)

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
    """What became of a proposed change."""

    ACCEPTED = "accepted"
    PENDING = "pending"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class Edit:
    """One operator's edit of a subtree.

    Parameters
    ----------
    author : str
    version : int
        Version that the edit makes, or would have made.
    changes : list of audit.OptionChange
        With secrets masked.
    """

    __slots__ = ("author", "version", "changes")

    def __init__(self, author, version, changes):
        self.author = author
        self.version = version
        self.changes = changes

    def __str__(self):
        shown = [f"{c.option}: {c.old!r} -> {c.new!r}" for c in self.changes]
        return f"{self.author} (version {self.version}): {'; '.join(shown)}"


class ConflictingEditsError(SettingsConflictError):
    """Another edit of the same subtree came first.

    Attributes
    ----------
    own : Edit
        The refused edit.
    others : list of Edit
        The edits made since the base version, oldest first.
    """

    def __init__(self, subtree, own, others):
        others = list(others)
        first = "; ".join(str(edit) for edit in others) or "an unknown change"
        super().__init__(f"{subtree}: refused {own}; came first: {first}")
        self.own = own
        self.others = others


class ProposalResult:
    """Answer to a proposed change.

    Parameters
    ----------
    state : ProposalState
    change_id : str
    version : int
        Version that the change made, or would have made.
    error : TarragonchuteError or None
        Why the change is not in the store, or why that is unknown.
    """

    __slots__ = ("state", "change_id", "version", "error")

    def __init__(self, state, change_id, version, error=None):
        self.state = state
        self.change_id = change_id
        self.version = version
        self.error = error


class Proposal:
    """A change of one subtree.

    Parameters
    ----------
    subtree : str
    base_version : int
        Version that the operator edited; 0 creates the subtree.
    content : str
        The whole new INI text. The caller has checked it.
    author : str
    change_id : str
        Random, never used by another proposal.
    when : float
        Wall-clock Unix time in seconds.
    secrets : iterable of str
        Options to mask in the audit, besides ``token*``.
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
        """Version that the change makes."""
        return self.base_version + 1

    def make_edit(self, old):
        """Return the `Edit` against the current value."""
        options = read_options(self.content, self.subtree)
        before = _read_old_options(old, self.subtree)
        changes = audit.list_changes(before, options, self.secrets)
        return Edit(self.author, self.version, changes)

    def make_value(self, old):
        """Return the value to write.

        Raises
        ------
        FindingsError
            If the content is no INI text.
        """
        record = audit.AuditRecord(
            who=self.author,
            when=self.when,
            change_id=self.change_id,
            subtree=self.subtree,
            from_version=self.base_version,
            to_version=self.version,
            changes=self.make_edit(old).changes,
        )
        records = audit.append_record(old.records if old else [], record)
        return SubtreeValue(self.version, self.content, records)

    def make_conflict(self, current):
        """Return the error that shows this edit and those that came first."""
        records = current.records if current else []
        later = [r for r in records if r.to_version > self.base_version]
        others = [Edit(r.who, r.to_version, r.changes) for r in later]
        own = self.make_edit(current)
        return ConflictingEditsError(self.subtree, own, others)


async def propose_change(store, proposal, wait_for_majority, known_version=0):
    """Write a change and wait until a majority has acknowledged it.

    Parameters
    ----------
    store : Store
    proposal : Proposal
    wait_for_majority : async callable
        Called with the subtree and the written `SubtreeValue`. It applies the
        value at this VM and returns once `Configuration.is_accepted`. It is
        cancelled after `ACCEPT_TIMEOUT_S`.
    known_version : int
        Version of the subtree that this VM has. A store that returns a lower one
        is not written to.

    Returns
    -------
    ProposalResult

    Raises
    ------
    SettingsTooLargeError
        If the new value exceeds the limit; nothing was written.
    FindingsError
        If the content is no INI text; nothing was written.
    """
    try:
        entry = await _read(store, proposal.key)
        old = _read_value(entry)
        _check_base(proposal, old, known_version)
        value = proposal.make_value(old)
        expect = entry.revision if entry else 0
        await _write(store, proposal, value, expect)
    except SettingsConflictError as error:
        return _finish(proposal, ProposalState.CONFLICT, error)
    except StoreOutcomeUnknownError as error:
        return _finish(proposal, ProposalState.UNKNOWN, error)
    except StoreUnavailableError as error:
        return _finish(proposal, ProposalState.NOT_RUN, error)
    with trio.move_on_after(ACCEPT_TIMEOUT_S):
        await wait_for_majority(proposal.subtree, value)
        return _finish(proposal, ProposalState.ACCEPTED)
    return _finish(proposal, ProposalState.PENDING)


def _finish(proposal, state, error=None):
    return ProposalResult(state, proposal.change_id, proposal.version, error)


async def _read(store, key):
    with trio.move_on_after(READ_TIMEOUT_S):
        return await store.get(key)
    raise StoreUnavailableError("the store did not answer in time")


def _read_value(entry):
    return None if entry is None else SubtreeValue.from_value(entry.value)


def _check_base(proposal, old, known_version):
    stored = 0 if old is None else old.version
    if stored < known_version:
        text = f"store_regressed: {proposal.subtree} is older in the store than here"
        raise StoreUnavailableError(text)
    if stored != proposal.base_version:
        raise proposal.make_conflict(old)


async def _write(store, proposal, value, expect):
    """Write the value by compare-and-swap, and settle a lost answer.

    The same compare-and-swap is sent again while the key still has the expected
    revision: of all copies at most one can take effect, and a copy that is still
    under way cannot do so after the key has changed.
    """
    text = value.to_value()
    with trio.move_on_after(WRITE_TIMEOUT_S):
        try:
            await store.put(proposal.key, text, expect)
            return
        except StoreConflictError as error:
            _check_own(proposal, error.entry)
            return
        except StoreOutcomeUnknownError:
            logger.warning("answer to change %s was lost", proposal.change_id)
        await _settle_lost_answer(store, proposal, text, expect)
        return
    text = f"no answer tells whether change {proposal.change_id} was written"
    raise StoreOutcomeUnknownError(text)


async def _settle_lost_answer(store, proposal, text, expect):
    while True:
        try:
            await store.put(proposal.key, text, expect)
            return
        except StoreConflictError as error:
            _check_own(proposal, error.entry)
            return
        except (StoreOutcomeUnknownError, StoreUnavailableError):
            # An earlier copy may have taken effect, so this too is unknown.
            await trio.sleep(READ_BACK_PERIOD_S)


def _check_own(proposal, entry):
    """Return if the key has the own change; otherwise raise the conflict."""
    current = _read_value(entry)
    if current is None or current.find_record(proposal.change_id) is None:
        raise proposal.make_conflict(current)


def read_options(content, name):
    """Return a dict of ``section.option`` to value.

    Raises
    ------
    FindingsError
        If the content is no INI text.
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
    """Return the options of a stored value; none if it cannot be read."""
    try:
        return {} if value is None else read_options(value.content, name)
    except FindingsError:
        return {}
