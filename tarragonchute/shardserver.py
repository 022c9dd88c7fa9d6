"""Serves the subsearches that other VMs delegate to this one."""

import logging

import trio

from .errors import ProtocolError, TarragonchuteError
from .fanout import DelegatedQuery
from .subsearches import (
    Acknowledgement,
    Cancellation,
    GoAway,
    Hello,
    RetryPermission,
    Subsearch,
    SubsearchAnswer,
    decode_message,
)

logger = logging.getLogger(__name__)
request_logger = logging.getLogger("tarragonchute.decisions")

SUBSEARCH_BYTES = 32 * 1024
"""Memory assumed for a subsearch in progress: its task, and a request and a reply of
some hundred bytes for each of a dozen shards. Estimated, not measured."""

BODY_COPIES = 2
"""The body is held as received, and as sent to targets."""


class _RunningSubsearch:
    """A subsearch in progress and the cancel scope of its task."""

    __slots__ = ("query", "scope")

    def __init__(self, query, scope):
        self.query = query
        self.scope = scope


class ShardServer:
    """Runs the subsearches that arrive on the channels from other VMs.

    Parameters
    ----------
    vm_id : str
        Id of this VM.
    context : queries.QueryContext
    find_reply_times : callable
        Called with the name and the goal of a route; returns its `replicas.ReplyTimes`.
    record_end : callable
        Called with each `fanout.DelegatedQuery` that has ended.

    Attributes
    ----------
    get_pause_s : callable
        Called with the time; returns for how long this process was just paused, in
        seconds.
    memory : memory.MemoryAccount or None
        Account in which the subsearches hold their bytes.
    """

    def __init__(self, vm_id, context, find_reply_times, record_end):
        self._vm_id = vm_id
        self._context = context
        self._find_reply_times = find_reply_times
        self._record_end = record_end
        self.get_pause_s = lambda now: 0.0
        self.memory = None
        # Channels whose `Hello` was answered, and those on which it is to be answered.
        self._answered_channels = set()
        self._waiting_channels = set()
        self._running = {}
        self._nursery = None
        self._is_accepting = False
        self._ended = trio.Event()

    async def run(self):
        """Run the tasks of the subsearches until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def wait_until_idle(self):
        """Wait until no subsearch is in progress."""
        while self._running:
            await self._ended.wait()

    def start_accepting(self, now):
        """Accept subsearches: answer each `Hello`, also those that arrived earlier.

        To be called once this VM knows the targets.
        """
        self._is_accepting = True
        while self._waiting_channels:
            self._send_hello(self._waiting_channels.pop(), now)

    def start_draining(self, now):
        """Send `GoAway` on each channel whose `Hello` was answered.

        Subsearches in flight continue.
        """
        self._is_accepting = False
        for channel in list(self._answered_channels):
            channel.send(GoAway().encode(), now)

    def handle_frames(self, channel, payloads, now):
        """See `channels.ChannelOwner`."""
        try:
            messages = [decode_message(payload) for payload in payloads]
        except ProtocolError as error:
            self._close_for_error(channel, str(error), now)
            return
        # After a pause of this VM, subsearches and their cancellations arrive in one
        # batch. The cancelled subsearches are not started.
        cancelled = {m.number for m in messages if isinstance(m, Cancellation)}
        for message in messages:
            if isinstance(message, Hello):
                self._handle_hello(channel, now)
            elif isinstance(message, Cancellation):
                self._cancel(channel, message.number)
            elif isinstance(message, RetryPermission):
                self._permit_retries(channel, message.number, now)
            elif isinstance(message, Subsearch) and message.number not in cancelled:
                if message.number in self._running.get(channel, ()):
                    reason = f"subsearch {message.number} is already in progress"
                    self._close_for_error(channel, reason, now)
                    return
                self._start(channel, message, now)

    def _close_for_error(self, channel, reason, now):
        logger.warning("closed a channel from another VM: %s", reason)
        channel.close()
        self.handle_close(channel, reason, now)

    def handle_close(self, channel, reason, now):
        """See `channels.ChannelOwner`; cancels the subsearches of the channel."""
        self._answered_channels.discard(channel)
        self._waiting_channels.discard(channel)
        for number in list(self._running.get(channel, ())):
            self._cancel(channel, number)

    def _handle_hello(self, channel, now):
        if self._is_accepting:
            self._send_hello(channel, now)
        else:
            self._waiting_channels.add(channel)

    def _send_hello(self, channel, now):
        self._answered_channels.add(channel)
        channel.send(Hello(self._vm_id).encode(), now)

    def _cancel(self, channel, number):
        running = self._running.get(channel, {}).get(number)
        if running is not None:
            running.scope.cancel()

    def _permit_retries(self, channel, number, now):
        running = self._running.get(channel, {}).get(number)
        if running is not None and not running.query.is_finished:
            running.query.permit_retries(now)

    def _start(self, channel, subsearch, now):
        def report(answer):
            channel.send(answer.encode(), trio.current_time())

        # The message may have waited while this process was paused; its times count
        # from when it was sent.
        subsearch.age(self.get_pause_s(now))
        if subsearch.limit_left_s <= 0:
            logger.info("dropped a subsearch whose time limit passed during a pause")
            reason = "the time limit had passed"
            report(SubsearchAnswer(subsearch.number, True, False, [], b"", [reason]))
            return
        size = SUBSEARCH_BYTES + len(subsearch.outgoing.body) * BODY_COPIES
        if self.memory is not None and not self.memory.reserve(size):
            # The other VM sends the shards elsewhere, because they were not asked.
            reasons, services = ["no room for a subsearch"], subsearch.services
            report(
                SubsearchAnswer(
                    subsearch.number, True, False, [], b"", reasons, services
                )
            )
            return
        try:
            self._start_task(channel, subsearch, report, size, now)
        except BaseException:
            self._release(size)
            raise

    def _start_task(self, channel, subsearch, report, size, now):
        channel.send(Acknowledgement(subsearch.number).encode(), now)
        times = self._find_reply_times(subsearch.route_name, subsearch.goal_s)
        query = DelegatedQuery(subsearch, self._context, times, report, now)
        running = _RunningSubsearch(query, trio.CancelScope())
        self._nursery.start_soon(
            self._search, channel, subsearch, running, report, size, now
        )
        self._running.setdefault(channel, {})[subsearch.number] = running

    async def _search(self, channel, subsearch, running, report, size, now):
        query = running.query
        outcome = "cancelled"
        try:
            with running.scope:
                report(await query.run())
                outcome = "answered"
        except TarragonchuteError as error:
            outcome = str(error)
            report(SubsearchAnswer(subsearch.number, True, False, [], b"", [outcome]))
        except Exception as error:
            # An error in one subsearch must not end the process.
            logger.exception("unexpected error in a subsearch")
            outcome = repr(error)
            report(SubsearchAnswer(subsearch.number, True, True, [], b"", [outcome]))
        finally:
            self._release(size)
            self._remove_running(channel, subsearch.number)
            self._record_end(query)
            self._log_end(query, subsearch, outcome, now)

    def _release(self, size):
        if self.memory is not None:
            self.memory.cancel_reservation(size)

    def _remove_running(self, channel, number):
        running_on_channel = self._running[channel]
        del running_on_channel[number]
        if not running_on_channel:
            del self._running[channel]
        self._ended.set()
        self._ended = trio.Event()

    def _log_end(self, query, subsearch, outcome, started_at):
        elapsed_s = trio.current_time() - started_at
        fields = {
            "request_id": subsearch.outgoing.request_id.decode("latin-1"),
            "route": subsearch.route_name,
            "outcome": outcome,
            "is_extra": subsearch.is_extra,
            **query.describe(),
            "ms": round(elapsed_s * 1000, 1),
        }
        request_logger.info("subsearch ended", extra=fields)
