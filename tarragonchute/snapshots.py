"""Choice of the snapshot version of a dataset that a query reads."""

from . import errors

REFUSAL_EXPIRY_S = 5.0
"""Time for which a version is avoided after no replica of a shard had it."""


class Layout:
    """The shards of one published snapshot version of a dataset.

    Parameters
    ----------
    version : str
    shards : dict of str to list of str
        Shard to the ids of the targets that serve it.
    """

    __slots__ = ("version", "shards")

    def __init__(self, version, shards):
        self.version = version
        self.shards = shards


class SnapshotChooser:
    """Chooses among published layouts, and avoids versions that were refused recently.

    A version is refused if no replica of some shard has it.
    """

    __slots__ = ("_layouts", "_refused_at")

    def __init__(self):
        self._layouts = {}
        self._refused_at = {}

    def set_layouts(self, dataset, layouts):
        """Replace the published layouts of a dataset.

        A running query keeps the layout that it has pinned.

        Parameters
        ----------
        dataset : str
        layouts : dict of str to dict
            Version to its shards, the oldest version first.
        """
        self._layouts[dataset] = {
            version: Layout(version, shards) for version, shards in layouts.items()
        }
        removed = [
            pair
            for pair in self._refused_at
            if pair[0] == dataset and pair[1] not in layouts
        ]
        for key in removed:
            del self._refused_at[key]

    def set_tree(self, tree):
        """Replace the layouts of all datasets by those of a `SettingsTree`."""
        for name in [name for name in self._layouts if name not in tree.datasets]:
            self.set_layouts(name, {})
            del self._layouts[name]
        for name, dataset in tree.datasets.items():
            self.set_layouts(name, dataset.layouts)

    def pin(self, dataset, now):
        """Return the layout that a new query reads.

        This is the newest version that no shard refused in the last 5 s
        (`REFUSAL_EXPIRY_S`). If all were refused, it is the version whose refusal is
        the oldest.

        Parameters
        ----------
        dataset : str
        now : float
            Monotonic seconds.

        Raises
        ------
        UnknownDatasetError
            If the dataset is unknown or has no published version.
        """
        layouts = self._layouts.get(dataset)
        if not layouts:
            raise errors.UnknownDatasetError(f"dataset {dataset!r} has no version")
        for version in reversed(layouts):
            if not self._is_refused(dataset, version, now):
                return layouts[version]
        chosen = min(layouts, key=lambda version: self._refused_at[dataset, version])
        return layouts[chosen]

    def report_missing(self, dataset, version, shard, versions, now):
        """Record that no replica of a shard has a version.

        Parameters
        ----------
        dataset, version, shard : str
        versions : iterable of str
            Versions that the shard's targets have.
        now : float
            Monotonic seconds.
        """
        if version in self._layouts.get(dataset, ()):
            self._refused_at[dataset, version] = now

    def choose_alternative(self, dataset, version, versions, now):
        """Return the layout with which a query restarts after a refusal, or None.

        Parameters
        ----------
        dataset : str
        version : str
            The version that was refused.
        versions : set of str
            Versions that the targets of the refusing shard have.
        now : float
            Monotonic seconds.
        """
        layouts = self._layouts.get(dataset, {})
        for candidate in reversed(layouts):
            if candidate == version or candidate not in versions:
                continue
            if not self._is_refused(dataset, candidate, now):
                return layouts[candidate]
        return None

    def _is_refused(self, dataset, version, now):
        refused_at = self._refused_at.get((dataset, version))
        return refused_at is not None and now - refused_at < REFUSAL_EXPIRY_S
