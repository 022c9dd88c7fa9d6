"""Audit records of settings changes; each subtree keeps a bounded number."""

import fnmatch

import orjson

MAX_RECORDS = 200
MAX_BYTES = 64 * 1024
MAX_VALUE_CHARACTERS = 1024
MASK = "********"

WRITTEN = "written"
"""The change is in the store. The record is written together with the change, so it
cannot say whether a majority acknowledged the change afterwards."""


class OptionChange:
    """Old and new value of one option.

    Parameters
    ----------
    option : str
        ``section.option``.
    old, new : str or None
        None if the option did not exist before, or no longer exists.
    """

    __slots__ = ("option", "old", "new")

    def __init__(self, option, old, new):
        self.option = option
        self.old = old
        self.new = new

    def to_body(self):
        """Return the change as a JSON array."""
        return [self.option, self.old, self.new]


class AuditRecord:
    """One settings change: who made it, when, and the changed options.

    Parameters
    ----------
    who : str
        Name of the operator.
    when : float
        Wall-clock Unix time in seconds.
    change_id : str
        Random id of the proposal.
    subtree : str
    from_version, to_version : int
    changes : list of OptionChange
        With secrets masked.
    outcome : str
        Always `WRITTEN`.
    """

    __slots__ = (
        "who",
        "when",
        "change_id",
        "subtree",
        "from_version",
        "to_version",
        "changes",
        "outcome",
    )

    def __init__(
        self,
        who,
        when,
        change_id,
        subtree,
        from_version,
        to_version,
        changes,
        outcome=WRITTEN,
    ):
        self.who = who
        self.when = when
        self.change_id = change_id
        self.subtree = subtree
        self.from_version = from_version
        self.to_version = to_version
        self.changes = list(changes)
        self.outcome = outcome

    def to_body(self):
        """Return the record as a JSON object."""
        body = {name: getattr(self, name) for name in self.__slots__}
        body["changes"] = [change.to_body() for change in self.changes]
        return body

    @classmethod
    def from_body(cls, body):
        """Return the record that a JSON object describes."""
        changes = [OptionChange(*change) for change in body["changes"]]
        return cls(**{**body, "changes": changes})


def append_record(records, record):
    """Return the records with a new one appended and the oldest dropped.

    Parameters
    ----------
    records : list of AuditRecord
        Oldest first.
    record : AuditRecord

    Returns
    -------
    list of AuditRecord
        At most `MAX_RECORDS` and `MAX_BYTES` of JSON, oldest first. The new record
        is always kept; if it alone is too large, its values are truncated and the
        last of its changes dropped.
    """
    kept = [_truncate(record)]
    size = _compute_size(kept[0])
    for older in reversed(records[-MAX_RECORDS:]):
        size += _compute_size(older)
        if size > MAX_BYTES or len(kept) == MAX_RECORDS:
            break
        kept.append(older)
    return kept[::-1]


def list_changes(old_options, new_options, secrets=()):
    """Return the changed options, with secrets masked.

    Parameters
    ----------
    old_options, new_options : dict of str to str
        ``section.option`` to value.
    secrets : iterable of str
        Patterns of more options to mask, such as ``operator *.password``.
        Options whose name starts with ``token`` are always masked.

    Returns
    -------
    list of OptionChange
    """
    changes = []
    for option in sorted(set(old_options) | set(new_options)):
        old, new = old_options.get(option), new_options.get(option)
        if old == new:
            continue
        if is_secret(option, secrets):
            old, new = _mask(old), _mask(new)
        changes.append(OptionChange(option, old, new))
    return changes


def is_secret(option, secrets=()):
    """Whether the value of ``section.option`` must be masked."""
    name = option.rpartition(".")[2].lower()
    if name.startswith("token"):
        return True
    patterns = [pattern.lower() for pattern in secrets]
    return any(
        fnmatch.fnmatchcase(name, one) or fnmatch.fnmatchcase(option.lower(), one)
        for one in patterns
    )


def _mask(value):
    return None if value is None else MASK


def _compute_size(record):
    # One byte more for the comma between two records.
    return len(orjson.dumps(record.to_body())) + 1


def _truncate(record):
    """Return the record itself, or a truncated copy that fits `MAX_BYTES`."""
    if _compute_size(record) <= MAX_BYTES:
        return record
    truncated = [_truncate_values(change) for change in record.changes]
    body = {name: getattr(record, name) for name in AuditRecord.__slots__}
    copy = AuditRecord(**{**body, "changes": truncated})
    while copy.changes and _compute_size(copy) > MAX_BYTES:
        copy.changes = copy.changes[: len(copy.changes) // 2]
    return copy


def _truncate_values(change):
    old, new = (
        value and value[:MAX_VALUE_CHARACTERS] for value in (change.old, change.new)
    )
    return OptionChange(change.option, old, new)
