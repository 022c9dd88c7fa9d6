"""Audit records of settings changes, bounded for each subtree."""

import fnmatch

import orjson

MAX_RECORDS = 200
MAX_BYTES = 64 * 1024
MAX_VALUE_CHARACTERS = 1024
MASKED = "********"

WRITTEN = "written"
"""The change is in the store. Whether a majority had acknowledged it by the time
that the operator was answered is not part of the value that was written."""


class OptionChange:
    """Old and new value of one option.

    Parameters
    ----------
    option : str
        ``section.option``.
    old, new : str or None
        None where the option did not exist, or exists no longer.
    """

    __slots__ = ("option", "old", "new")

    def __init__(self, option, old, new):
        self.option = option
        self.old = old
        self.new = new

    def to_body(self):
        """Return the JSON form."""
        return [self.option, self.old, self.new]


class AuditRecord:
    """Who changed what, and when.

    Parameters
    ----------
    who : str
        Operator.
    when : float
        Wall-clock Unix time in seconds.
    change_id : str
        Random id of the proposal.
    subtree : str
    from_version, to_version : int
    changes : list of OptionChange
        With secrets masked.
    outcome : str
        `WRITTEN`.
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
        """Return the JSON body."""
        body = {name: getattr(self, name) for name in self.__slots__}
        body["changes"] = [change.to_body() for change in self.changes]
        return body

    @classmethod
    def from_body(cls, body):
        """Rebuild the record from its JSON body."""
        changes = [OptionChange(*change) for change in body["changes"]]
        return cls(**{**body, "changes": changes})


def append_record(records, record):
    """Return the records with one more, bounded to the newest.

    Parameters
    ----------
    records : list of AuditRecord
        Oldest first.
    record : AuditRecord

    Returns
    -------
    list of AuditRecord
        At most `MAX_RECORDS` and `MAX_BYTES` of JSON, oldest first. The new record
        is always kept, without the values of its options if they are too long.
    """
    kept = [_shorten(record)]
    size = _measure(kept[0])
    for older in reversed(records[-MAX_RECORDS:]):
        size += _measure(older)
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
        Patterns of further options to mask, such as ``operator *.password``.
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
    """Whether the value of ``section.option`` must not be shown."""
    name = option.rpartition(".")[2].lower()
    if name.startswith("token"):
        return True
    patterns = [pattern.lower() for pattern in secrets]
    return any(
        fnmatch.fnmatchcase(name, one) or fnmatch.fnmatchcase(option.lower(), one)
        for one in patterns
    )


def _mask(value):
    return None if value is None else MASKED


def _measure(record):
    # One more for the comma between two records.
    return len(orjson.dumps(record.to_body())) + 1


def _shorten(record):
    """Return the record itself, or a copy whose values fit the bound."""
    if _measure(record) <= MAX_BYTES:
        return record
    short = [_shorten_change(change) for change in record.changes]
    body = {name: getattr(record, name) for name in AuditRecord.__slots__}
    copy = AuditRecord(**{**body, "changes": short})
    while copy.changes and _measure(copy) > MAX_BYTES:
        copy.changes = copy.changes[: len(copy.changes) // 2]
    return copy


def _shorten_change(change):
    old, new = (
        value and value[:MAX_VALUE_CHARACTERS] for value in (change.old, change.new)
    )
    return OptionChange(change.option, old, new)
