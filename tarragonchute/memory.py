"""Bounds the memory and the descriptors that all connections use together.

One account covers every connection that others open to this process: the bytes read and
not yet answered, and the answers not yet taken. The account decides who waits, who is
refused and who is closed. It performs no I/O and gets the time as an argument.
"""

import enum
import math
import resource

MEGABYTE = 1_000_000

DEFAULT_MEMORY_MB = 552
"""Memory of the largest VMs, for settings files that state none."""

BASE_BYTES = 48 * MEGABYTE
"""Memory of the process without callers: 28 MB at rest, 10 MB more for 12,000
registrations, and a margin for the garbage of requests."""

MAX_ASSUMED_DESCRIPTORS = 65_536
"""Assumed for a process with a greater limit or none; its memory is used up before."""

MIN_AVAILABLE_BYTES = 32 * MEGABYTE
"""Assumed if the settings state less than `BASE_BYTES` and this. With less, a single
request of the largest size and its answer would not fit."""

HELD_SHARE = 0.3
CONNECTION_SHARE = 0.3
REPLY_SHARE = 0.15
"""Parts of the memory above `BASE_BYTES`: bytes held for callers; connections with
their buffers in the kernel; incomplete replies of targets. What is left is for memory
that the allocator cannot reuse."""

CONNECTION_BYTES = 24 * 1024
"""Memory of one connection without data. Measured: 11 KB for an idle one, 19 KB for one
that has begun a request, and 22 KB with an answer not taken."""

MIN_KERNEL_BUFFER_BYTES = 16 * 1024
MAX_KERNEL_BUFFER_BYTES = 64 * 1024
"""Bounds of the receive and send buffers of one caller's connection. With less, a body
of 256 KB takes more than 16 round trips; more is not needed within a region."""

KERNEL_BUFFER_FACTOR = 2
"""The kernel doubles the size of a receive buffer that is set. Measured: 24 KB of
unread bytes with a size of 16 KB."""

MAX_REPLY_BYTES = 32 * MEGABYTE
MIN_REPLY_BYTES = 8 * 1024 * 1024
"""Bounds of the memory for incomplete replies. One reply has at most 8 MB."""

RESERVED_DESCRIPTORS = 200
"""Descriptors that callers never use: targets, other VMs, the store, log and files."""

DESCRIPTOR_MARGIN = 160
"""Descriptors kept free when those of targets and accepted channels exceed the reserve:
120 channels to leaders at the target size, the store, log and files. Those of targets
are counted only every second."""

MIN_CALLER_CONNECTIONS = 32
INTERNAL_SHARE = 0.25
CHANNEL_SHARE = 0.5
"""Parts of the descriptors that the listeners for other VMs, the probe and the metrics
may use, and that channels of other VMs may use. At the target size a leader serves
channels of hundreds of VMs, a relay some dozen followers."""

SMALL_BYTES = 32 * 1024
"""Connections that hold up to this are small: the headers and a small body."""

LARGE_FRACTION = 0.75
"""Fraction of the limit that connections which are not small may use. The rest is left
for ordinary callers, also while large requests run."""

PAUSE_FRACTION = 0.5
"""Fraction of the limit above which larger requests wait before more of them is read.
Small requests are read on."""

MIN_WEIGHED_S = 0.05
"""Least time by which sizes are weighed, so that fresh connections compare by size."""

MIN_UNUSED_S = 0.25
"""Time after which a connection without a request may be closed for a new one. A caller
that opens one to use it sends the request within a round trip."""

MIN_INACTIVE_S = 1.0
"""Time after which other connections may be closed for a new one: without a request,
with a request that is not complete, or with an answer of which nothing was taken."""

CROWDED_S = 1.0
"""Time after a refused connection during which answers end their connections. Callers
that send request after request on one connection then do not keep others out."""

RETRY_AFTER_S = 0.5
"""Mean delay after which a refused caller should try again: bodies that take memory
are answered, refused or closed in about this time."""


def read_descriptor_limit():
    """Return the greatest number of descriptors that this process may open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    is_limited = soft_limit != resource.RLIM_INFINITY
    return (
        min(soft_limit, MAX_ASSUMED_DESCRIPTORS)
        if is_limited
        else (MAX_ASSUMED_DESCRIPTORS)
    )


class MemoryLimits:
    """Limits that follow from the memory and the descriptors of the machine.

    Parameters
    ----------
    memory_mb : float
        In units of 1,000,000 bytes.
    max_descriptors : int

    Attributes
    ----------
    held_bytes : int
        For all connections together.
    reply_bytes : int
        For the incomplete replies of targets.
    kernel_buffer_bytes : int
        Size of the receive and of the send buffer of a caller's connection.
    caller_connections : int
        That memory allows; descriptors may allow fewer.
    internal_connections, channels : int
    max_descriptors : int
    """

    __slots__ = (
        "held_bytes",
        "reply_bytes",
        "kernel_buffer_bytes",
        "caller_connections",
        "internal_connections",
        "channels",
        "max_descriptors",
    )

    def __init__(self, memory_mb, max_descriptors):
        available = max(memory_mb * MEGABYTE - BASE_BYTES, MIN_AVAILABLE_BYTES)
        self.max_descriptors = max_descriptors
        self.held_bytes = int(available * HELD_SHARE)
        self.reply_bytes = int(
            min(max(available * REPLY_SHARE, MIN_REPLY_BYTES), MAX_REPLY_BYTES)
        )
        callers = max(max_descriptors - RESERVED_DESCRIPTORS, MIN_CALLER_CONNECTIONS)
        share = available * CONNECTION_SHARE
        buffer_bytes = (int(share / callers) - CONNECTION_BYTES) // KERNEL_BUFFER_FACTOR
        self.kernel_buffer_bytes = min(
            max(buffer_bytes, MIN_KERNEL_BUFFER_BYTES), MAX_KERNEL_BUFFER_BYTES
        )
        each = CONNECTION_BYTES + self.kernel_buffer_bytes * KERNEL_BUFFER_FACTOR
        self.caller_connections = min(callers, int(share / each))
        self.internal_connections = max(
            int(max_descriptors * INTERNAL_SHARE), MIN_CALLER_CONNECTIONS
        )
        self.channels = int(max_descriptors * CHANNEL_SHARE)

    @classmethod
    def from_process(cls):
        """Return the limits of a process whose settings state none."""
        return cls(DEFAULT_MEMORY_MB, read_descriptor_limit())


class Source(enum.Enum):
    """Who opened a connection; each has a limit of its own."""

    CALLER = "caller"
    INTERNAL = "internal"
    CHANNEL = "channel"


class Phase(enum.Enum):
    """What a connection does; decides whether it may be closed for others."""

    UNUSED = "unused"
    READING = "reading"
    RUNNING = "running"
    SENDING = "sending"
    IDLE = "idle"
    CLOSING = "closing"


class Holding:
    """One connection in the account.

    Attributes
    ----------
    size : int
        Bytes held for the connection.
    phase : Phase
    entered_at, progressed_at : float
        When the phase began, and when bytes of its answer were last taken, in monotonic
        seconds.
    is_refused : bool
        Whether the connection's request was refused; it has not run.
    """

    __slots__ = (
        "source",
        "size",
        "phase",
        "entered_at",
        "progressed_at",
        "is_refused",
        "close",
    )

    def __init__(self, source, close, now):
        self.source = source
        self.size = 0
        self.phase = Phase.UNUSED
        self.entered_at = self.progressed_at = now
        self.is_refused = False
        self.close = close

    @property
    def is_closing(self):
        """Whether the account has asked for the connection to be closed."""
        return self.phase is Phase.CLOSING


# In this order connections are closed to make room for a new one.
_CLOSED_FOR_NEW = (
    (Phase.UNUSED, MIN_UNUSED_S),
    (Phase.READING, MIN_INACTIVE_S),
    (Phase.SENDING, MIN_INACTIVE_S),
    (Phase.IDLE, MIN_INACTIVE_S),
)
# Channels of other VMs are idle for long, and requests wait for their answers there.
_CHANNELS_CLOSED_FOR_NEW = _CLOSED_FOR_NEW[:2]

CONNECTION_REFUSED = "connection_refused"
CONNECTION_CLOSED = "connection_closed"
REQUEST_REFUSED = "request_refused"
ANSWER_DROPPED = "answer_dropped"
ANSWER_NOT_TAKEN = "answer_not_taken"
EVENTS = (
    CONNECTION_REFUSED,
    CONNECTION_CLOSED,
    REQUEST_REFUSED,
    ANSWER_DROPPED,
    ANSWER_NOT_TAKEN,
)


class MemoryAccount:
    """The connections of one process and the bytes that are held for them.

    Parameters
    ----------
    limits : MemoryLimits

    Attributes
    ----------
    held_bytes : int
    closing_bytes : int
        Bytes of connections that are about to be closed; they are not in `held_bytes`.
    other_descriptors : int
        Descriptors in use by connections that this process opened.
    events : dict of str to int
        Number of connections and requests refused or closed, by reason, since the
        start.
    """

    __slots__ = (
        "limits",
        "held_bytes",
        "closing_bytes",
        "other_descriptors",
        "events",
        "_by_phase",
        "_counts",
        "_refused_at",
        "_reported",
    )

    def __init__(self, limits):
        self.limits = limits
        self.held_bytes = 0
        self.closing_bytes = 0
        self.other_descriptors = 0
        self.events = dict.fromkeys(EVENTS, 0)
        self._reported = dict(self.events)
        # The holdings of each source and phase, the one longest in its phase first.
        self._by_phase = {source: {phase: {} for phase in Phase} for source in Source}
        self._counts = dict.fromkeys(Source, 0)
        # When a connection of each source was last refused.
        self._refused_at = dict.fromkeys(Source, -math.inf)

    def open(self, source, close, now):
        """Return a `Holding` for a new connection, or None if it is refused.

        At the limit of its source, the connection that has been inactive for longest is
        closed for it, if there is one.

        Parameters
        ----------
        source : Source
        close : callable
            Called without arguments if the connection is to be closed.
        now : float
            Monotonic seconds.
        """
        is_full = self._counts[source] >= self.get_connection_limit(source)
        if is_full and not self._close_inactive(source, now):
            self.events[CONNECTION_REFUSED] += 1
            self._refused_at[source] = now
            return None
        holding = Holding(source, close, now)
        self._counts[source] += 1
        self._by_phase[source][holding.phase][holding] = None
        return holding

    def is_crowded(self, source, now):
        """Return whether connections of a source are to end with their next answer."""
        return now - self._refused_at[source] < CROWDED_S

    def release(self, holding):
        """Remove a connection that is closed."""
        if holding.is_closing:
            self.closing_bytes -= holding.size
        else:
            self.held_bytes -= holding.size
        self._counts[holding.source] -= 1
        del self._by_phase[holding.source][holding.phase][holding]

    def count_connections(self, source):
        """Return the number of open connections of a source."""
        return self._counts[source]

    def get_connection_limit(self, source):
        """Return the greatest number of connections of a source now."""
        limits = self.limits
        if source is Source.INTERNAL:
            return limits.internal_connections
        if source is Source.CHANNEL:
            return limits.channels
        others = self.other_descriptors + self._counts[Source.INTERNAL]
        others += self._counts[Source.CHANNEL] + DESCRIPTOR_MARGIN
        free = limits.max_descriptors - max(RESERVED_DESCRIPTORS, others)
        return min(limits.caller_connections, max(free, MIN_CALLER_CONNECTIONS))

    def enter(self, holding, phase, size, now):
        """Change the phase of a connection and the bytes held for it.

        Returns
        -------
        bool
            False if there is no room for the connection; it is to be refused or closed.
        """
        if holding.is_closing:
            return False
        self._move(holding, phase)
        holding.entered_at = holding.progressed_at = now
        return self.resize(holding, size, now)

    def resize(self, holding, size, now):
        """Change the bytes held for a connection.

        Above the limit, the largest and slowest connections that read a request or send
        an answer are closed. The request of one that reads has not run.

        Returns
        -------
        bool
            False if the connection is among them.
        """
        if holding.is_closing:
            return False
        is_growing = size > holding.size
        self.held_bytes += size - holding.size
        holding.size = size
        limit = self.limits.held_bytes * (1 if size <= SMALL_BYTES else LARGE_FRACTION)
        while is_growing and self.held_bytes > limit:
            largest = self._choose_largest(holding, now)
            is_sending = largest.phase is Phase.SENDING
            self.events[ANSWER_DROPPED if is_sending else REQUEST_REFUSED] += 1
            largest.is_refused = not is_sending
            self._evict(largest)
            if largest is holding:
                return False
            largest.close()
        return True

    def reserve(self, size):
        """Hold bytes for a request that has no connection; return False if refused."""
        if self.held_bytes + size > self.limits.held_bytes * LARGE_FRACTION:
            self.events[REQUEST_REFUSED] += 1
            return False
        self.held_bytes += size
        return True

    def cancel_reservation(self, size):
        """Stop holding the bytes of `reserve`."""
        self.held_bytes -= size

    def list_holdings(self, source, phase):
        """Return the holdings of a phase, the one longest in it first."""
        return list(self._by_phase[source][phase])

    def record_progress(self, holding, now):
        """Record that the caller has taken bytes of its answer."""
        holding.progressed_at = now

    def record_stall(self):
        """Count a connection that is closed because its answer is not taken."""
        self.events[ANSWER_NOT_TAKEN] += 1

    def must_pause(self, holding):
        """Return whether a connection is to wait before more of a request is read.

        The bytes of connections that are about to be closed count, because their memory
        is free only then.
        """
        used = self.held_bytes + self.closing_bytes
        is_large = holding.size > SMALL_BYTES
        return is_large and used > self.limits.held_bytes * PAUSE_FRACTION

    def list_new_events(self):
        """Return the number of events since the last call, by kind, without zeros.

        For one log line in a period, however many callers there are.
        """
        new = {
            kind: count - self._reported[kind]
            for kind, count in self.events.items()
            if count > self._reported[kind]
        }
        self._reported = dict(self.events)
        return new

    def _choose_largest(self, holding, now):
        """Return the connection that has held the most bytes for the longest time."""
        candidates = [holding]
        for phases in self._by_phase.values():
            candidates += phases[Phase.READING]
            candidates += phases[Phase.SENDING]

        def weigh(candidate):
            # A caller that sends or takes a few bytes now and then is slow, too.
            return candidate.size * max(now - candidate.entered_at, MIN_WEIGHED_S)

        return max(candidates, key=weigh)

    def _close_inactive(self, source, now):
        is_channel = source is Source.CHANNEL
        order = _CHANNELS_CLOSED_FOR_NEW if is_channel else _CLOSED_FOR_NEW
        for phase, min_inactive_s in order:
            holding = self._find_inactive(source, phase, now - min_inactive_s)
            if holding is not None:
                self.events[CONNECTION_CLOSED] += 1
                self._evict(holding)
                holding.close()
                return True
        return False

    def _find_inactive(self, source, phase, before):
        """Return the holding that has been inactive for longest, since `before`."""
        holdings = self._by_phase[source][phase]
        if phase is Phase.SENDING:
            holding = min(holdings, key=lambda h: h.progressed_at, default=None)
            since = holding and holding.progressed_at
        else:
            holding = next(iter(holdings), None)
            since = holding and holding.entered_at
        return holding if holding and since <= before else None

    def _evict(self, holding):
        self.held_bytes -= holding.size
        self.closing_bytes += holding.size
        self._move(holding, Phase.CLOSING)

    def _move(self, holding, phase):
        phases = self._by_phase[holding.source]
        del phases[holding.phase][holding]
        holding.phase = phase
        phases[phase][holding] = None
