"""Logging set-up, and the traces of recent requests that ``explain`` shows."""

import collections
import contextlib
import contextvars
import datetime
import json
import logging
import os
import sys
import time

_current_request_id = contextvars.ContextVar("request_id", default="")

_STANDARD_FIELDS = frozenset(logging.LogRecord("", 0, "", 0, "", (), None).__dict__) | {
    "message",
    "asctime",
    "request_id",
    "taskName",
}

MAX_TRACES = 2000
"""Traces that one VM keeps."""

MAX_TRACE_EVENTS = 400
"""Events of one trace; a search of 110 shards records up to three for each shard."""

MAX_EVENTS = 30_000
"""Events of all traces together. 60,000 of them occupy 23 MB, and all
control processes of a node share 128 MB."""

FAILED_TRACES_DIVISOR = 4
"""One part in this many of a `TraceBuffer` is reserved for failed requests."""


@contextlib.contextmanager
def bind_request(request_id):
    """Set the request id of all log records emitted inside the ``with`` block.

    Tasks started inside the block inherit the id.

    Parameters
    ----------
    request_id : str
    """
    token = _current_request_id.set(request_id)
    try:
        yield
    finally:
        _current_request_id.reset(token)


class RequestFilter(logging.Filter):
    """Adds `request_id` to every log record and drops none.

    A request id given in ``extra`` takes precedence over that of `bind_request`.
    """

    def filter(self, record):
        """Add the request id and return True."""
        if not getattr(record, "request_id", ""):
            record.request_id = _current_request_id.get()
        return True


class JsonFormatter(logging.Formatter):
    """Formats each record as one line of JSON.

    Parameters
    ----------
    vm_id : str
    """

    def __init__(self, vm_id):
        super().__init__()
        self._vm_id = vm_id

    def format(self, record):
        """Return the record as one line of JSON."""
        fields = {
            "time": _format_time(record.created),
            "level": record.levelname.lower(),
            "logger": record.name,
            "vm_id": self._vm_id,
            "request_id": getattr(record, "request_id", ""),
            "message": record.getMessage(),
        }
        for name, value in _list_extra_fields(record):
            # A field of `extra` must not replace one of the record itself.
            fields.setdefault(name, value)
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class TextFormatter(logging.Formatter):
    """Formats records as human-readable text, with extra fields as ``name=value``.

    Parameters
    ----------
    vm_id : str
    """

    def __init__(self, vm_id):
        super().__init__()
        self._vm_id = vm_id

    def format(self, record):
        """Return the record as one line of text, followed by the traceback if any."""
        parts = [
            _format_time(record.created),
            record.levelname,
            self._vm_id,
            getattr(record, "request_id", "") or "-",
            f"{record.name}:",
            record.getMessage(),
        ]
        parts += [f"{name}={value!r}" for name, value in _list_extra_fields(record)]
        text = " ".join(parts)
        if record.exc_info:
            text = f"{text}\n{self.formatException(record.exc_info)}"
        return text


_FORMATTERS = {"json": JsonFormatter, "text": TextFormatter}


def configure_logging(log_format, level, vm_id, stream=None):
    """Configure the root logger to write all records to one stream.

    Parameters
    ----------
    log_format : str
        ``json`` or ``text``.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    vm_id : str
    stream : file object or None
        Standard error if None.

    Returns
    -------
    logging.Handler
        The handler, which becomes the only one of the root logger.

    Raises
    ------
    ValueError
        If the format or the level is unknown.
    """
    if log_format not in _FORMATTERS:
        raise ValueError(f"unknown log format {log_format!r}")
    handler = logging.StreamHandler(stream or sys.stderr)
    # On the handler, because a logger's filters do not apply to its children's records.
    handler.addFilter(RequestFilter())
    handler.setFormatter(_FORMATTERS[log_format](vm_id))
    root = logging.getLogger()
    root.setLevel(level.upper())
    root.handlers[:] = [handler]
    return handler


MAX_PENDING_BYTES = 256 * 1024
"""Buffered log output beyond which lines are dropped, if the reader is slow."""


MAX_LINES_PER_S = 300
MAX_BURST_LINES = 600
"""Token bucket for the log lines of one process. Writing a line takes about as much CPU
time as processing a reply of a target."""


class NonBlockingStream:
    """Writes log lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    fd : int
        Is set to non-blocking mode.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    dropped : int
        Number of lines dropped since the start, because the reader is slow or the rate
        limit was exceeded. A notice with the number of newly dropped lines precedes
        the next line that is written.
    """

    def __init__(self, fd, clock=time.monotonic):
        self._fd = fd
        self._clock = clock
        self._pending = b""
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = clock()
        self._reported_dropped = 0
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text):
        """Buffer one line for the next `flush`, or drop it."""
        data = text.encode("utf-8", "replace")
        if (
            len(self._pending) + len(data) > MAX_PENDING_BYTES
            or not self._try_consume_token()
        ):
            self.dropped += 1
            return
        if self.dropped > self._reported_dropped:
            lines = self.dropped - self._reported_dropped
            notice = {"message": "log lines dropped", "lines": lines}
            self._pending += json.dumps(notice).encode() + b"\n"
            self._reported_dropped = self.dropped
        self._pending += data

    def _try_consume_token(self):
        now = self._clock()
        earned = (now - self._refilled_at) * MAX_LINES_PER_S
        self._refilled_at = now
        self._tokens = min(self._tokens + earned, MAX_BURST_LINES)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def flush(self):
        """Write as much of the buffer as the file descriptor accepts now."""
        if not self._pending:
            return
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        self._pending = self._pending[written:]


class TraceEvent:
    """One event of a request.

    Parameters
    ----------
    at : float
        Time in seconds, on the clock of the caller of `TraceBuffer.add`.
    name : str
        For example ``pinned``, ``sent`` or ``answered``.
    fields : dict
        Details that JSON can represent; no payloads and no secrets.
    """

    __slots__ = ("at", "name", "fields")

    def __init__(self, at, name, fields):
        self.at = at
        self.name = name
        self.fields = fields


class Trace:
    """Events of one request on this VM.

    Parameters
    ----------
    request_id : str
    started_at : float
        Time in seconds, on the clock of the caller of `TraceBuffer.add`.
    wall_time : float or None
        Unix time of the start in seconds, to align the traces of several VMs.
    """

    __slots__ = (
        "request_id",
        "started_at",
        "wall_time",
        "events",
        "dropped",
        "code",
    )

    def __init__(self, request_id, started_at, wall_time=None):
        self.request_id = request_id
        self.started_at = started_at
        self.wall_time = wall_time
        self.events = []
        self.dropped = 0
        self.code = None

    def to_body(self):
        """Return the trace as a dict for JSON; times are in ms since the start."""
        return {
            "request_id": self.request_id,
            "started": self.wall_time and _format_time(self.wall_time),
            "code": self.code,
            "dropped_events": self.dropped,
            "events": [self._describe(event) for event in self.events],
        }

    def _describe(self, event):
        after_ms = round((event.at - self.started_at) * 1000, 3)
        # A detail must not replace the time or the name of the event.
        return {**event.fields, "ms": after_ms, "event": event.name}


class TraceBuffer:
    """Traces of this VM's recent requests, bounded in number and in events.

    Traces of requests that ended with an error code are kept longer than the others,
    because operators ask about these.

    Parameters
    ----------
    max_traces, max_trace_events, max_events : int
        Limits on traces, on the events of one trace and on all events.
    """

    def __init__(
        self,
        max_traces=MAX_TRACES,
        max_trace_events=MAX_TRACE_EVENTS,
        max_events=MAX_EVENTS,
    ):
        self._max_traces = max_traces
        self._max_trace_events = max_trace_events
        self._max_events = max_events
        self._recent = collections.OrderedDict()
        self._failed = collections.OrderedDict()
        self._recent_events = 0
        self._failed_events = 0

    def add(self, request_id, now, name, wall_time=None, **fields):
        """Record an event; the first one of a request starts its trace.

        Parameters
        ----------
        request_id : str
        now : float
            Seconds, on the same clock in every call.
        name : str
        wall_time : float or None
            Unix time in seconds; used for the first event of a request only.
        **fields
            Details that JSON can represent.
        """
        trace = self._recent.get(request_id)
        if trace is None:
            trace = self._start_trace(request_id, now, wall_time)
        if len(trace.events) >= self._max_trace_events:
            trace.dropped += 1
            return
        trace.events.append(TraceEvent(now, name, fields))
        self._recent_events += 1
        self._evict_oldest()

    def finish(self, request_id, now, code, **fields):
        """Record the end of a request.

        Parameters
        ----------
        request_id : str
        now : float
        code : str
            ``ok``, or the error code in the response to the caller.
        """
        self.add(request_id, now, "finished", code=code, **fields)
        trace = self._recent.get(request_id)
        if trace is not None:
            trace.code = code

    def get(self, request_id):
        """Return the `Trace` of a request, or None if unknown or evicted."""
        return self._recent.get(request_id) or self._failed.get(request_id)

    def __len__(self):
        return len(self._recent) + len(self._failed)

    @property
    def events(self):
        """Number of events in all traces."""
        return self._recent_events + self._failed_events

    def _start_trace(self, request_id, now, wall_time):
        trace = self._failed.pop(request_id, None)
        if trace is None:
            trace = Trace(request_id, now, wall_time)
        else:
            self._failed_events -= len(trace.events)
            self._recent_events += len(trace.events)
        self._recent[request_id] = trace
        return trace

    def _evict_oldest(self):
        max_traces = self._max_traces - self._max_traces // FAILED_TRACES_DIVISOR
        max_events = self._max_events - self._max_events // FAILED_TRACES_DIVISOR
        while len(self._recent) > max_traces or self._recent_events > max_events:
            _, trace = self._recent.popitem(last=False)
            self._recent_events -= len(trace.events)
            if trace.code not in (None, "ok"):
                self._keep_failed(trace)

    def _keep_failed(self, trace):
        self._failed[trace.request_id] = trace
        self._failed_events += len(trace.events)
        max_traces = self._max_traces // FAILED_TRACES_DIVISOR
        max_events = self._max_events // FAILED_TRACES_DIVISOR
        while len(self._failed) > max_traces or self._failed_events > max_events:
            _, dropped = self._failed.popitem(last=False)
            self._failed_events -= len(dropped.events)


def _list_extra_fields(record):
    return [
        (name, value)
        for name, value in record.__dict__.items()
        if name not in _STANDARD_FIELDS
    ]


def _format_time(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
