"""Logging set-up, and the recent requests that ``explain`` shows."""

import collections
import contextlib
import contextvars
import datetime
import json
import logging
import os
import sys
import time

_request_id = contextvars.ContextVar("request_id", default="")

_STANDARD_FIELDS = frozenset(logging.LogRecord("", 0, "", 0, "", (), None).__dict__) | {
    "message",
    "asctime",
    "request_id",
    "taskName",
}

MAX_TRACES = 2000
"""Requests that one VM remembers."""

MAX_TRACE_EVENTS = 400
"""Events of one request; a search of 110 shards records up to three for each."""

MAX_EVENTS = 30_000
"""Events of all requests together; 60,000 took 23 MB in a trial, and control on a node
may use 128 MB for several processes."""

NOTABLE_SHARE = 4
"""Failed requests may use one of so many parts of a trace book for themselves."""


@contextlib.contextmanager
def bind_request(request_id):
    """Put a request id on every log record inside the ``with`` block.

    Tasks started inside the block inherit the id.

    Parameters
    ----------
    request_id : str
    """
    token = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(token)


class RequestFilter(logging.Filter):
    """Adds `request_id` to every record; lets every record pass.

    A request id given in ``extra`` has precedence over the bound one.
    """

    def filter(self, record):
        """Add the request id."""
        if not getattr(record, "request_id", ""):
            record.request_id = _request_id.get()
        return True


class JsonFormatter(logging.Formatter):
    """Writes one JSON object a line.

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
        for name, value in _list_extra(record):
            # A field of `extra` must not hide one of the record itself.
            fields.setdefault(name, value)
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class TextFormatter(logging.Formatter):
    """Writes plain text for people, with extra fields as ``name=value``.

    Parameters
    ----------
    vm_id : str
    """

    def __init__(self, vm_id):
        super().__init__()
        self._vm_id = vm_id

    def format(self, record):
        """Return the record as text; a traceback follows on lines of its own."""
        parts = [
            _format_time(record.created),
            record.levelname,
            self._vm_id,
            getattr(record, "request_id", "") or "-",
            f"{record.name}:",
            record.getMessage(),
        ]
        parts += [f"{name}={value!r}" for name, value in _list_extra(record)]
        text = " ".join(parts)
        if record.exc_info:
            text = f"{text}\n{self.formatException(record.exc_info)}"
        return text


_FORMATTERS = {"json": JsonFormatter, "text": TextFormatter}


def configure_logging(log_format, level, vm_id, stream=None):
    """Send all records of the process to one stream.

    Parameters
    ----------
    log_format : str
        ``json`` or ``text``.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    vm_id : str
    stream : file object or None
        Standard error by default.

    Returns
    -------
    logging.Handler
        The only handler of the root logger.

    Raises
    ------
    ValueError
        If the format or the level is unknown.
    """
    if log_format not in _FORMATTERS:
        raise ValueError(f"unknown log format {log_format!r}")
    handler = logging.StreamHandler(stream or sys.stderr)
    # On the handler, because filters of a logger do not see its children's records.
    handler.addFilter(RequestFilter())
    handler.setFormatter(_FORMATTERS[log_format](vm_id))
    root = logging.getLogger()
    root.setLevel(level.upper())
    root.handlers[:] = [handler]
    return handler


MAX_PENDING_BYTES = 256 * 1024
"""Log text that waits for a slow reader before lines are dropped."""


MAX_LINES_PER_S = 300
MAX_BURST_LINES = 600
"""Log lines of one process; a line costs about as much as a reply of a target."""


class NonBlockingStream:
    """Writes log lines to a file descriptor and never waits for its reader.

    Parameters
    ----------
    fd : int
        Set to non-blocking mode.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    dropped : int
        Lines that were dropped since the start, because the reader is slow or there
        were too many. The next line that is written is preceded by their number.
    """

    def __init__(self, fd, clock=time.monotonic):
        self._fd = fd
        self._clock = clock
        self._pending = b""
        self._tokens = float(MAX_BURST_LINES)
        self._refilled_at = clock()
        self._reported = 0
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, text):
        """Take one line for the next `flush`."""
        data = text.encode("utf-8", "replace")
        if len(self._pending) + len(data) > MAX_PENDING_BYTES or not self._spend():
            self.dropped += 1
            return
        if self.dropped > self._reported:
            lines = self.dropped - self._reported
            notice = {"message": "log lines dropped", "lines": lines}
            self._pending += json.dumps(notice).encode() + b"\n"
            self._reported = self.dropped
        self._pending += data

    def _spend(self):
        now = self._clock()
        earned = (now - self._refilled_at) * MAX_LINES_PER_S
        self._refilled_at = now
        self._tokens = min(self._tokens + earned, MAX_BURST_LINES)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def flush(self):
        """Write as much as the reader takes now."""
        if not self._pending:
            return
        try:
            written = os.write(self._fd, self._pending)
        except BlockingIOError:
            return
        self._pending = self._pending[written:]


class TraceEvent:
    """One step of a request.

    Parameters
    ----------
    at : float
        Seconds on the clock of the trace book's user.
    name : str
        For example ``pinned``, ``sent`` or ``answered``.
    fields : dict
        Details that JSON can carry; no payloads and no secrets.
    """

    __slots__ = ("at", "name", "fields")

    def __init__(self, at, name, fields):
        self.at = at
        self.name = name
        self.fields = fields


class Trace:
    """What this VM remembers of one request.

    Parameters
    ----------
    request_id : str
    started_at : float
        Seconds on the clock of the trace book's user.
    wall_time : float or None
        Unix time in seconds of the start, to compare traces of several VMs.
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
        """Return the JSON form; times are milliseconds since the start."""
        return {
            "request_id": self.request_id,
            "started": self.wall_time and _format_time(self.wall_time),
            "code": self.code,
            "dropped_events": self.dropped,
            "events": [self._describe(event) for event in self.events],
        }

    def _describe(self, event):
        after_ms = round((event.at - self.started_at) * 1000, 3)
        # An event's own details must not replace its time and name.
        return {**event.fields, "ms": after_ms, "event": event.name}


class TraceBook:
    """Recent requests of this VM with their events, bounded in memory.

    Requests that ended with an error code outlive the successful ones, because
    they are the ones that are asked about.

    Parameters
    ----------
    max_traces, max_trace_events, max_events : int
        Bounds on requests, events of one request and events in total.
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
        self._notable = collections.OrderedDict()
        self._recent_events = 0
        self._notable_events = 0

    def add(self, request_id, now, name, wall_time=None, **fields):
        """Record one event; the first one of a request starts its trace.

        Parameters
        ----------
        request_id : str
        now : float
            Seconds, on the same clock in every call.
        name : str
        wall_time : float or None
            Unix time in seconds; used from the first event only.
        **fields
            Details that JSON can carry.
        """
        trace = self._recent.get(request_id)
        if trace is None:
            trace = self._start(request_id, now, wall_time)
        if len(trace.events) >= self._max_trace_events:
            trace.dropped += 1
            return
        trace.events.append(TraceEvent(now, name, fields))
        self._recent_events += 1
        self._evict()

    def finish(self, request_id, now, code, **fields):
        """Record the end of a request.

        Parameters
        ----------
        request_id : str
        now : float
        code : str
            ``ok``, or the code of the error that the caller received.
        """
        self.add(request_id, now, "finished", code=code, **fields)
        trace = self._recent.get(request_id)
        if trace is not None:
            trace.code = code

    def get(self, request_id):
        """Return the `Trace`, or None if it is unknown or has been evicted."""
        return self._recent.get(request_id) or self._notable.get(request_id)

    def __len__(self):
        return len(self._recent) + len(self._notable)

    @property
    def events(self):
        """Number of events in memory."""
        return self._recent_events + self._notable_events

    def _start(self, request_id, now, wall_time):
        trace = self._notable.pop(request_id, None)
        if trace is None:
            trace = Trace(request_id, now, wall_time)
        else:
            self._notable_events -= len(trace.events)
            self._recent_events += len(trace.events)
        self._recent[request_id] = trace
        return trace

    def _evict(self):
        max_traces = self._max_traces - self._max_traces // NOTABLE_SHARE
        max_events = self._max_events - self._max_events // NOTABLE_SHARE
        while len(self._recent) > max_traces or self._recent_events > max_events:
            _, trace = self._recent.popitem(last=False)
            self._recent_events -= len(trace.events)
            if trace.code not in (None, "ok"):
                self._keep(trace)

    def _keep(self, trace):
        self._notable[trace.request_id] = trace
        self._notable_events += len(trace.events)
        max_traces = self._max_traces // NOTABLE_SHARE
        max_events = self._max_events // NOTABLE_SHARE
        while len(self._notable) > max_traces or self._notable_events > max_events:
            _, dropped = self._notable.popitem(last=False)
            self._notable_events -= len(dropped.events)


def _list_extra(record):
    return [
        (name, value)
        for name, value in record.__dict__.items()
        if name not in _STANDARD_FIELDS
    ]


def _format_time(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")
