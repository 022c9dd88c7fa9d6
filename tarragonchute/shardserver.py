"""Searches shards for other VMs."""

import logging

import trio

from .errors import ProtocolError, TarragonchuteError
from .fanout import ShardQuery
from .subsearches import (
    Acknowledgement,
    Cancellation,
    Farewell,
    Greeting,
    Permission,
    Subsearch,
    SubsearchAnswer,
    decode_message,
)

logger = logging.getLogger(__name__)
decisions = logging.getLogger("tarragonchute.decisions")


class _Work:
    """A subsearch that runs."""

    __slots__ = ("query", "scope")

    def __init__(self, query, scope):
        self.query = query
        self.scope = scope


class ShardServer:
    """Answers the subsearches of all channels that other VMs opened.

    Parameters
    ----------
    vm_id : str
    context : queries.QueryContext
    find_times : callable
        Takes the name and the goal of a route; returns its `replicas.ReplyTimes`.
    count_end : callable
        Takes each `fanout.ShardQuery` that has ended.
    """

    def __init__(self, vm_id, context, find_times, count_end):
        self._vm_id = vm_id
        self._context = context
        self._find_times = find_times
        self._count_end = count_end
        self._greeted = set()
        self._waiting = set()
        self._running = {}
        self._nursery = None
        self._is_open = False

    async def run(self):
        """Search until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    def open(self, now):
        """Answer greetings from now on, because this VM knows the targets."""
        self._is_open = True
        while self._waiting:
            self._greet(self._waiting.pop(), now)

    def leave(self, now):
        """Ask the other VMs for no new subsearches; those in flight go on."""
        self._is_open = False
        for channel in list(self._greeted):
            channel.send(Farewell().encode(), now)

    def handle_frames(self, channel, payloads, now):
        """See `channels.ChannelOwner`."""
        try:
            messages = [decode_message(payload) for payload in payloads]
        except ProtocolError as error:
            logger.warning("channel closed: %s", error)
            channel.close()
            self.handle_close(channel, str(error), now)
            return
        # A VM that was paused reads requests and their cancellations together.
        cancelled = {m.number for m in messages if isinstance(m, Cancellation)}
        for message in messages:
            if isinstance(message, Greeting):
                self._take_greeting(channel, now)
            elif isinstance(message, Cancellation):
                self._cancel(channel, message.number)
            elif isinstance(message, Permission):
                self._permit(channel, message.number, now)
            elif isinstance(message, Subsearch) and message.number not in cancelled:
                self._start(channel, message, now)

    def handle_close(self, channel, reason, now):
        """See `channels.ChannelOwner`; nobody waits for the answers any more."""
        self._greeted.discard(channel)
        self._waiting.discard(channel)
        for number in list(self._running.get(channel, ())):
            self._cancel(channel, number)

    def _take_greeting(self, channel, now):
        if self._is_open:
            self._greet(channel, now)
        else:
            self._waiting.add(channel)

    def _greet(self, channel, now):
        self._greeted.add(channel)
        channel.send(Greeting(self._vm_id).encode(), now)

    def _cancel(self, channel, number):
        work = self._running.get(channel, {}).get(number)
        if work is not None:
            work.scope.cancel()

    def _permit(self, channel, number, now):
        work = self._running.get(channel, {}).get(number)
        if work is not None and not work.query.is_finished:
            work.query.permit(now)

    def _start(self, channel, subsearch, now):
        def report(answer):
            channel.send(answer.encode(), trio.current_time())

        channel.send(Acknowledgement(subsearch.number).encode(), now)
        times = self._find_times(subsearch.route_name, subsearch.goal_s)
        query = ShardQuery(subsearch, self._context, times, report, now)
        work = _Work(query, trio.CancelScope())
        self._running.setdefault(channel, {})[subsearch.number] = work
        self._nursery.start_soon(self._search, channel, subsearch, work, report, now)

    async def _search(self, channel, subsearch, work, report, now):
        query = work.query
        outcome = "cancelled"
        try:
            with work.scope:
                report(await query.run())
                outcome = "answered"
        except TarragonchuteError as error:
            outcome = str(error)
            report(SubsearchAnswer(subsearch.number, True, False, [], b"", [outcome]))
        finally:
            self._forget(channel, subsearch.number)
            self._count_end(query)
            self._log_end(query, subsearch, outcome, now)

    def _forget(self, channel, number):
        works = self._running[channel]
        del works[number]
        if not works:
            del self._running[channel]

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
        decisions.info("subsearch ended", extra=fields)
