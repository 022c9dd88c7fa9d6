"""Tables of held targets and of other VMs' processes, and the rows of both."""


class Table:
    """Maps keys to rows, in insertion order.

    Parameters
    ----------
    name : str
        Used in error messages.
    """

    __slots__ = ("name", "_rows")

    def __init__(self, name):
        self.name = name
        self._rows = {}

    def add(self, key, row):
        """Add a row.

        Raises
        ------
        KeyError
            If the key is already present.
        """
        if key in self._rows:
            raise KeyError(f"table of {self.name} already has the key {key!r}")
        self._rows[key] = row
        return row

    def get(self, key):
        """Return the row, or None."""
        return self._rows.get(key)

    def remove(self, key):
        """Remove and return the row, or None if there is none."""
        return self._rows.pop(key, None)

    def keys(self):
        """Return a copy of the keys, so that rows may change during iteration."""
        return list(self._rows)

    def __iter__(self):
        return iter(list(self._rows.values()))

    def __contains__(self, key):
        return key in self._rows

    def __len__(self):
        return len(self._rows)


class TargetRow:
    """State of one target at its holder.

    Parameters
    ----------
    target_id : str
    address : str
        ``host:port``.
    domain : str
        Failure domain of the target.
    slots : int
        Requests that it runs concurrently when warm.
    max_connections : int
        Connections that it accepts from the whole fleet.

    Attributes
    ----------
    state : str
        Cold, warm, draining or dead; see `limits`.
    limit : int
        Requests that may currently be in flight; 0 admits none.
    in_flight : int
        Requests that may still occupy a slot of the target.
    connections : int
        Connections that this VM had open at the last probe.
    good_answers : int
        Consecutive good answers since the slow-start limit was last doubled.
    boot_id : str or None
        Boot id in the target's latest answer that had one; it changes with a restart.
    last_answer_at, last_probe_at : float or None
        Time in seconds of the latest answer or failure, and of the latest status
        read.
    gained_epoch : int
        Epoch of the view with which this VM gained the target.
    connection_limit : int
        Connections that this VM may open.
    slow_start_limit : int
        Slow-start component of `limit`, which doubles after good answers.
    shed_limit : float
        Component of `limit` that decreases on shed answers and increases on good
        ones.
    sequence : int
        Sequence number of the latest dispatch.
    lowered_sequence : int
        Value of `sequence` when `shed_limit` was last lowered.
    idle_since : float
        Time in seconds at which `in_flight` last became 0.
    is_unproven : bool
        Whether the target has not answered since it was last idle.
    latencies : list of float
        Recent latencies in seconds.
    median_latency, warm_median : float or None
        Median of recent latencies in seconds: in any state, and only while warm.
    slow_answers : int
        Number of consecutive answers that were too slow for a warm target.
    probe_due_at, probe_delay : float
        Time of the next status probe, and the current back-off, in seconds.
    is_probing : bool
        Whether a status probe has been issued and has not returned.
    first_status_by : float or None
        Time in seconds until which a gained target gets no requests unless its
        status was read; None if it need not wait.
    is_held : bool
        False once this VM has lost the target and only finishes its requests.
    queue : dispatches.FairQueue or None
    pending_settings : settings.TargetSettings or None
        Changed settings to apply once no request is in flight.
    """

    __slots__ = (
        "target_id",
        "address",
        "domain",
        "slots",
        "max_connections",
        "state",
        "limit",
        "in_flight",
        "connections",
        "good_answers",
        "boot_id",
        "median_latency",
        "last_answer_at",
        "last_probe_at",
        "gained_epoch",
        "connection_limit",
        "slow_start_limit",
        "shed_limit",
        "sequence",
        "lowered_sequence",
        "idle_since",
        "is_unproven",
        "latencies",
        "warm_median",
        "slow_answers",
        "probe_due_at",
        "probe_delay",
        "is_probing",
        "first_status_by",
        "is_held",
        "queue",
        "pending_settings",
    )

    def __init__(self, target_id, address, domain, slots, max_connections):
        self.target_id = target_id
        self.address = address
        self.domain = domain
        self.slots = slots
        self.max_connections = max_connections
        self.state = "cold"
        self.limit = 1
        self.in_flight = 0
        self.connections = 0
        self.good_answers = 0
        self.boot_id = None
        self.median_latency = None
        self.last_answer_at = None
        self.last_probe_at = None
        self.gained_epoch = 0
        self.connection_limit = 1
        self.slow_start_limit = 1
        self.shed_limit = float(slots)
        self.sequence = 0
        self.lowered_sequence = 0
        self.idle_since = 0.0
        self.is_unproven = False
        self.latencies = []
        self.warm_median = None
        self.slow_answers = 0
        self.probe_due_at = 0.0
        self.probe_delay = 0.0
        self.is_probing = False
        self.first_status_by = None
        self.is_held = True
        self.queue = None
        self.pending_settings = None


class MemberRow:
    """State of one process of another VM, from its heartbeats.

    Parameters
    ----------
    vm_id : str
    incarnation : str
        Id of that process. A restarted VM gets a new row, because its new process
        doesn't know the requests and grants of the former one.

    Attributes
    ----------
    epoch, released_epoch : int
        Highest values received.
    sent_at : float or None
        Newest send time received, in seconds of the peer's clock; echoed to it.
    echoed : float or None
        Newest of this VM's send times that the peer echoed, in seconds of this
        VM's clock.
    heard_at : float or None
        Time of the last heartbeat, in seconds of this VM's clock.
    granted_until : float or None
        End of the lease grant of the peer, in seconds of this VM's clock.
    digest : str or None
        Digest of the peer's settings.
    """

    __slots__ = (
        "vm_id",
        "incarnation",
        "epoch",
        "released_epoch",
        "sent_at",
        "echoed",
        "heard_at",
        "granted_until",
        "digest",
    )

    def __init__(self, vm_id, incarnation):
        self.vm_id = vm_id
        self.incarnation = incarnation
        self.epoch = 0
        self.released_epoch = 0
        self.sent_at = None
        self.echoed = None
        self.heard_at = None
        self.granted_until = None
        self.digest = None
