"""Tests of the log formats and of the request traces."""

import io
import json
import logging
import os

import testtools

from tarragonchute import logs
from tarragonchute.logs import TraceBook, bind_request, configure_logging


class LoggingTests(testtools.TestCase):
    """Records as written."""

    def setUp(self):
        super().setUp()
        root = logging.getLogger()
        handlers, level = root.handlers[:], root.level
        self.addCleanup(root.setLevel, level)
        self.addCleanup(root.handlers.__setitem__, slice(None), handlers)

    def write(self, log_format, *arguments, **options):
        """Return what one record looks like."""
        stream = io.StringIO()
        configure_logging(log_format, "info", "vm-1", stream)
        with bind_request("r1"):
            logging.getLogger("test.child").info(*arguments, **options)
        logging.getLogger("test.child").debug("below the level")
        return stream.getvalue()

    def test_json_record(self):
        """Guards against lost extra fields and records without a request id."""
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
        """Guards against extra fields that only programs can see."""
        line = self.write("text", "sent", extra={"target": "a"})
        self.assertIn("INFO vm-1 r1 test.child: sent target='a'\n", line)


class TraceBookTests(testtools.TestCase):
    """Recent requests."""

    def test_events_are_in_milliseconds_since_the_start(self):
        """Guards against traces in which details replace the event's name."""
        book = TraceBook()
        book.add("r1", 10.0, "received", team="a")
        book.finish("r1", 10.25, "ok", event="hides nothing")
        body = book.get("r1").to_body()
        self.assertEqual("ok", body["code"])
        self.assertEqual(
            [
                {"ms": 0.0, "event": "received", "team": "a"},
                {"ms": 250.0, "event": "finished", "code": "ok"},
            ],
            body["events"],
        )

    def test_memory_is_bounded_and_failures_are_kept_longer(self):
        """Guards against a book that grows, or forgets what is asked about."""
        book = TraceBook(max_traces=8, max_trace_events=3, max_events=16)
        book.finish("failed", 0.0, "overloaded")
        for number in range(100):
            for step in range(5):
                book.add(f"r{number}", float(step), "step")
        self.assertEqual("overloaded", book.get("failed").code)
        self.assertIsNone(book.get("r0"))
        self.assertEqual(2, book.get("r99").dropped)
        self.assertLessEqual(book.events, 16)
        self.assertLessEqual(len(book), 8)


class NonBlockingStreamTests(testtools.TestCase):
    """Lines to a reader that may be slow."""

    def open(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.now = 0.0
        return reader, logs.NonBlockingStream(writer, lambda: self.now)

    def test_slow_reader_loses_lines_and_learns_how_many(self):
        """Guards against a process that waits for the reader of its log."""
        reader, stream = self.open()
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

    def test_lines_are_bounded_under_load(self):
        """Guards against a log that takes the processor from the requests."""
        _, stream = self.open()
        for _ in range(2 * logs.MAX_BURST_LINES):
            stream.write("x\n")
        self.assertEqual(logs.MAX_BURST_LINES, stream.dropped)
        self.now = 1.0
        for _ in range(2 * logs.MAX_LINES_PER_S):
            stream.write("x\n")
        self.assertEqual(logs.MAX_BURST_LINES + logs.MAX_LINES_PER_S, stream.dropped)
