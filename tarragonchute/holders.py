"""Runs a `HolderCore` under trio: sends requests to the targets that this VM holds."""

import logging
import random
import time

import trio

from .dispatches import Abort, Answer, Dispatch, Probe
from .errors import (
    BadRequestError,
    ProtocolError,
)
from .holdercore import CANCELLED, HolderCore
from .messages import ShardAnswers, ShardCancel, ShardGroup
from .settings import TargetSettings
from .targets import TargetAnswer

logger = logging.getLogger(__name__)

ADVANCE_PERIOD_S = 0.01
IDLE_ADVANCE_PERIOD_S = 0.1  # ticks every 10 ms would cost an idle VM 3% of a core
ANSWER_BATCH_S = 0.001  # longest delay of an answer that is sent in a batch
STATUS_TIMEOUT_S = 1.0


class _Worker:
    """A reusable task that runs one dispatch after another.

    Waking an idle task is cheaper than starting a trio task for each dispatch.
    """

    __slots__ = ("task", "scope", "dispatch", "_idle_workers")

    def __init__(self, idle):
        self.task = None
        self.scope = None
        self.dispatch = None
        self._idle_workers = idle

    def assign(self, dispatch):
        """Set the dispatch that this worker runs next."""
        self.dispatch = dispatch
        dispatch.worker = self

    async def wait(self):
        """Wait in the idle list until a dispatch is assigned."""
        self._idle_workers.append(self)
        await trio.lowlevel.wait_task_rescheduled(self._stop_waiting)

    def _stop_waiting(self, _raise_cancel):
        self._idle_workers.remove(self)
        return trio.lowlevel.Abort.SUCCEEDED


class Holder:
    """Runs a `HolderCore` under trio.

    Parameters
    ----------
    permission : holdercore.Permission
    link : links.Link
        Channel over which answers are sent.
    create_client : callable
        Called with `TargetSettings` and the number of connections that the client
        may open; returns a `TargetClient`. A cancelled exchange must not return
        before the target has acknowledged the cancellation or the deadline has
        passed.
    wall_clock : callable
        Returns Unix time in seconds.
    clock : callable
        Returns seconds of the monotonic clock that `permission` also uses.
    random : random.Random, optional
        Source of jitter, by default the module `random`.
    observe_exchange : callable or None
        Called with the failure domain and result code of each exchange, for
        metrics.

    Attributes
    ----------
    core : HolderCore
        Makes the decisions, and keeps the counts for metrics.
    """

    def __init__(
        self,
        permission,
        link,
        create_client,
        wall_clock=time.time,
        clock=trio.current_time,
        random=random,
        observe_exchange=None,
    ):
        self.core = HolderCore(permission, random)
        self._observe_exchange = observe_exchange
        self._link = link
        self._create_client = create_client
        self._wall_clock = wall_clock
        self._clock = clock
        self._clients = {}
        self._nursery = None
        self._idle_workers = []
        self._batches = {}
        self._batch_added = None
        self._ticks = None

    async def run(self, timers, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled.

        Parameters
        ----------
        timers : timers.TimerService
        task_status : trio.TaskStatus
            Started once requests are accepted.
        """
        self._ticks = timers.subscribe("holder", ADVANCE_PERIOD_S, self._advance)
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                task_status.started()
                await self._send_batches()
        finally:
            self._ticks.cancel()
            self._nursery = None

    def handle(self, envelope):
        """Process a `shard_group` or `shard_cancel` message.

        Raises
        ------
        ProtocolError
            If the message is of another kind or malformed.
        """
        if envelope.kind == ShardGroup.KIND:
            group = ShardGroup.from_body(envelope.body)
            self.submit(envelope.sender, envelope.number, group)
        elif envelope.kind == ShardCancel.KIND:
            cancel = ShardCancel.from_body(envelope.body)
            self.cancel(envelope.sender, envelope.number, cancel)
        else:
            raise ProtocolError(f"unexpected message kind {envelope.kind}")

    def submit(self, sender, number, group):
        """Accept a group of attempts; see `HolderCore.submit`."""
        # The wall clock is read first, so that a pause between the two readings
        # can only make the deadline earlier.
        wall_time, now = self._wall_clock(), self._clock()
        actions = self.core.submit(sender, number, group, now, wall_time)
        self._perform(actions, wall_time, now)

    def cancel(self, sender, number, cancel):
        """Cancel attempts; see `HolderCore.cancel`."""
        wall_time, now = self._wall_clock(), self._clock()
        self._perform(self.core.cancel(sender, number, cancel, now), wall_time, now)

    def set_targets(self, targets, epoch):
        """Replace the held targets; see `HolderCore.set_targets`."""
        wall_time, now = self._wall_clock(), self._clock()
        self._perform(self.core.set_targets(targets, epoch, now), wall_time, now)

    def set_domain_out(self, domain):
        """Stop sending to the targets of a failure domain.

        See `HolderCore.set_domain_out`.
        """
        wall_time, now = self._wall_clock(), self._clock()
        self._perform(self.core.set_domain_out(domain, now), wall_time, now)

    def set_domain_in(self, domain):
        """Resume sending to the targets of a failure domain.

        See `HolderCore.set_domain_in`.
        """
        wall_time, now = self._wall_clock(), self._clock()
        self._perform(self.core.set_domain_in(domain, now), wall_time, now)

    def _advance(self, _now):
        wall_time, now = self._wall_clock(), self._clock()
        self._perform(self.core.advance(now), wall_time, now)
        is_idle = not (self.core.count_in_flight() or self.core.count_queued())
        self._ticks.period = IDLE_ADVANCE_PERIOD_S if is_idle else ADVANCE_PERIOD_S

    def _perform(self, actions, wall_time, now, worker=None):
        """Perform actions in order; an idle `worker` gets the first dispatch."""
        for action in actions:
            kind = type(action)
            if kind is Dispatch:
                action.set_wall_deadline(wall_time, now)
                self._start_dispatch(action, worker)
                worker = None
            elif kind is Answer:
                self._add_answer(action)
            elif kind is Abort:
                self._abort(action.dispatch)
            elif kind is Probe:
                self._nursery.start_soon(self._probe, action.target_id)
            else:
                self._close_client(action.target_id)

    # Exchanges.

    def _start_dispatch(self, dispatch, worker):
        """Assign a dispatch to the given worker, an idle one or a new one."""
        if worker is not None:
            worker.assign(dispatch)
        elif self._idle_workers:
            worker = self._idle_workers.pop()
            worker.assign(dispatch)
            trio.lowlevel.reschedule(worker.task)
        else:
            worker = _Worker(self._idle_workers)
            worker.assign(dispatch)
            self._nursery.start_soon(self._run_worker, worker)

    def _abort(self, dispatch):
        worker = dispatch.worker
        if worker.dispatch is dispatch and worker.scope is not None:
            worker.scope.cancel()

    async def _run_worker(self, worker):
        worker.task = trio.lowlevel.current_task()
        while True:
            with trio.CancelScope() as worker.scope:
                await self._run_dispatches(worker)
            if worker.scope.cancelled_caught:
                is_early = self._clock() < worker.dispatch.deadline
                answer = TargetAnswer(CANCELLED if is_early else "timed_out")
                self._finish(worker, answer)

    async def _run_dispatches(self, worker):
        """Run dispatches until one of them is cancelled.

        Successive dispatches share one cancel scope, because a scope for each would
        cost 10 µs. Once the scope is cancelled it is left, even if the exchange
        completed first, so that the cancellation cannot affect the next dispatch.
        """
        while not worker.scope.cancel_called:
            if worker.dispatch is None:
                await worker.wait()
            answer = await self._exchange(worker.dispatch)
            self._finish(worker, answer)

    def _finish(self, worker, answer):
        dispatch = worker.dispatch
        worker.dispatch = None
        if self._observe_exchange is not None:
            self._observe_exchange(dispatch.row.domain, answer.code)
        wall_time, now = self._wall_clock(), self._clock()
        actions = self.core.complete(dispatch, answer, now)
        self._perform(actions, wall_time, now, worker)

    async def _exchange(self, dispatch):
        if dispatch.is_abort_issued or not dispatch.is_running:
            return TargetAnswer(CANCELLED)
        if self._clock() >= dispatch.deadline:
            # Nothing was sent, so the target cannot have run the request.
            return TargetAnswer("deadline_passed")
        try:
            client = self._get_client(dispatch.row)
            return await client.exchange(dispatch.build_request())
        except BadRequestError as error:
            logger.warning(
                "request to target %s was not sent: %s", dispatch.target_id, error
            )
            return TargetAnswer(error.code)
        except Exception:
            # An error in one client must not stop the holder for other targets.
            logger.exception("exchange with target %s failed", dispatch.target_id)
            return TargetAnswer("wrong_answer")

    def _get_client(self, row):
        client = self._clients.get(row.target_id)
        if client is None:
            settings = TargetSettings(
                row.target_id,
                row.address,
                row.domain,
                row.slots,
                row.max_connections,
            )
            client = self._create_client(settings, row.connection_limit)
            self._clients[row.target_id] = client
        return client

    def _close_client(self, target_id):
        client = self._clients.pop(target_id, None)
        if client is not None:
            self._nursery.start_soon(client.aclose)

    async def _probe(self, target_id):
        row = self.core.get_row(target_id)
        if row is None:
            return
        state = None
        client = self._get_client(row)
        try:
            with trio.move_on_after(STATUS_TIMEOUT_S):
                state = await client.fetch_status()
        except Exception:
            logger.exception("failed to read the status of target %s", target_id)
        row.connections = client.connections
        wall_time, now = self._wall_clock(), self._clock()
        self._perform(self.core.handle_status(target_id, state, now), wall_time, now)

    # Answers.

    def _add_answer(self, action):
        """Add an answer to its request's batch; send the batch if it is the last."""
        origin = action.origin
        batch = self._batches.get(origin)
        if batch is None:
            batch = self._batches[origin] = []
        batch.append(action.answer)
        if action.is_last:
            del self._batches[origin]
            self._send(origin, batch)
        elif self._batch_added is not None:
            self._batch_added.set()

    async def _send_batches(self):
        while True:
            self._batch_added = trio.Event()
            if not self._batches:
                await self._batch_added.wait()
            await trio.sleep(ANSWER_BATCH_S)
            batches, self._batches = self._batches, {}
            for origin, batch in batches.items():
                self._send(origin, batch)

    def _send(self, origin, batch):
        body = ShardAnswers(origin.request_id, batch).to_body()
        try:
            self._link.send(origin.sender, ShardAnswers.KIND, body, origin.number)
        except ProtocolError as error:
            logger.error("answers to VM %s were not sent: %s", origin.sender, error)
