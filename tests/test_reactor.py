"""Tests of the reactor."""

import logging
import select
import socket
import time

import testtools

from tarragonchute.reactor import SLOW_POLL_S, Reactor


class SlowHandler:
    """Takes a given time to handle an event."""

    def __init__(self, fd, duration_s):
        self.fd = fd
        self.is_closed = False
        self._duration_s = duration_s

    def handle_event(self, events, now):
        time.sleep(self._duration_s)

    def abort(self, reason, now):
        self.is_closed = True


class SlowPollTests(testtools.TestCase):
    """Log of polls during which no other task runs."""

    def poll(self, duration_s):
        """Poll one handler that takes `duration_s`; return the log messages."""
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        reactor = Reactor()
        self.addCleanup(reactor.close)
        reactor.add(SlowHandler(reader.fileno(), duration_s), select.EPOLLIN)
        writer.send(b"x")
        with self.assertLogs("tarragonchute.reactor", logging.INFO) as logs:
            # `assertLogs` fails without any line.
            logging.getLogger("tarragonchute.reactor").info("polling")
            reactor.poll(0.0)
        return [record.getMessage() for record in logs.records[1:]]

    def test_slow_poll_is_logged(self):
        """Guards against late answers whose logs do not tell what kept the VM busy."""
        messages = self.poll(1.1 * SLOW_POLL_S)
        self.assertEqual(["events took long to handle"], messages)

    def test_fast_poll_is_not_logged(self):
        """Guards against a log line for each poll."""
        self.assertEqual([], self.poll(0.0))
