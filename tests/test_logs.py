"""Tests of the log formats, the request traces and the log stream."""

import io
import json
import logging
import os

import testtools

from tarragonchute import distribution, logs, peerrequests, storewatcher
from tarragonchute.logs import TraceBuffer, bind_request, configure_logging


class LoggingTests(testtools.TestCase):
    """Formatting of log records."""

    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.handlers.__setitem__, slice(None), handlers)

    def write(self, log_format, *arguments, **options):
        """Return the output for one record, logged as request r1."""
        stream = io.StringIO()
        configure_logging(log_format, "info", "vm-1", stream)
        with bind_request("r1"):
            logging.getLogger("test.child").info(*arguments, **options)
        logging.getLogger("test.child").debug("below the level")
        return stream.getvalue()

    def test_json_record(self):
        """Guards against lost extra fields and a missing request id.

        An extra field named like one of the record must not replace it.
        """
        extra = {"target": "a", "level": "hides nothing", "error": OSError("x")}
        line = self.write("json", "sent %d\n", 3, extra=extra)
        self.assertEqual(1, line.count("\n"))
        fields = json.loads(line)
        fields.pop("time")
        self.assertEqual(
            {
                "level": "info",
                "logger": "test.child",
                "vm_id": "vm-1",
                "request_id": "r1",
                "message": "sent 3\n",
                "target": "a",
                "error": "x",
            },
            fields,
        )

    def test_text_record(self):
        """Guards against extra fields that are missing in the text format."""
        line = self.write("text", "sent", extra={"target": "a"})
        self.assertIn("INFO vm-1 r1 test.child: sent target='a'\n", line)


class LoggerNameTests(testtools.TestCase):
    """Names of loggers, which operators match in the field ``logger``."""

    def test_names_do_not_follow_renamed_modules(self):
        """Guards against a renamed module changing the logger field of log lines."""
        names = [
            module.logger.name for module in (distribution, storewatcher, peerrequests)
        ]
        self.assertEqual(
            [
                "tarragonchute.distribution",
                "tarragonchute.feeds",
                "tarragonchute.inquiries",
            ],
            names,
        )


class TraceBufferTests(testtools.TestCase):
    """Traces of recent requests."""

    def test_events_are_in_milliseconds_since_the_start(self):
        """Guards against wrong times, and a detail that replaces the event's name."""
        buffer = TraceBuffer()
        buffer.add("r1", 10.0, "received", team="a")
        buffer.finish("r1", 10.25, "ok", event="hides nothing")
        body = buffer.get("r1").to_body()
        self.assertEqual("ok", body["code"])
        self.assertEqual(
            [
                {"ms": 0.0, "event": "received", "team": "a"},
                {"ms": 250.0, "event": "finished", "code": "ok"},
            ],
            body["events"],
        )

    def test_memory_is_bounded_and_failed_requests_are_kept_longer(self):
        """Guards against unbounded memory, and early eviction of failed requests."""
        buffer = TraceBuffer(max_traces=8, max_trace_events=3, max_events=16)
        buffer.finish("failed", 0.0, "overloaded")
        for number in range(100):
            for step in range(5):
                buffer.add(f"r{number}", float(step), "step")
        self.assertEqual("overloaded", buffer.get("failed").code)
        self.assertIsNone(buffer.get("r0"))
        self.assertEqual(2, buffer.get("r99").dropped)
        self.assertLessEqual(buffer.events, 16)
        self.assertLessEqual(len(buffer), 8)


class NonBlockingStreamTests(testtools.TestCase):
    """Log output to a reader that may be slow."""

    def open_stream(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.now = 0.0
        return reader, logs.NonBlockingStream(writer, lambda: self.now)

    def test_lines_for_a_slow_reader_are_dropped_and_counted(self):
        """Guards against a process that blocks on a slow reader of its log.

        Lines beyond the buffer are dropped, and a notice counts them.
        """
        reader, stream = self.open_stream()
        line = "x" * 20_000 + "\n"
        for _ in range(30):
            stream.write(line)
            stream.flush()
        self.assertGreater(stream.dropped, 0)
        dropped = stream.dropped
        text = b""
        while len(text) < (30 - dropped) * len(line):
            text += os.read(reader, 1 << 20)
            stream.flush()
        stream.write("last\n")
        stream.flush()
        notice = json.loads(os.read(reader, 1 << 20).splitlines()[0])
        self.assertEqual(dropped, notice["lines"])

    def test_line_rate_is_limited(self):
        """Guards against logging that uses the CPU time needed for requests."""
        _, stream = self.open_stream()
        for _ in range(2 * logs.MAX_BURST_LINES):
            stream.write("x\n")
        self.assertEqual(logs.MAX_BURST_LINES, stream.dropped)
        self.now = 1.0
        for _ in range(2 * logs.MAX_LINES_PER_S):
            stream.write("x\n")
        self.assertEqual(logs.MAX_BURST_LINES + logs.MAX_LINES_PER_S, stream.dropped)
