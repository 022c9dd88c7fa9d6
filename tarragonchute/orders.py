"""Orders of bookings, and sending them to the holder of a target."""

import hashlib
import urllib.parse

import orjson
import trio

from . import errors
from .claims import RECORD_PREFIX
from .messages import ANSWERED, BOOKING, ShardGroup, ShardItem
from .searches import (
    FREE_RETRY_CODES,
    HOP_ALLOWANCE_MS,
    LOAD_REFUSALS,
    MIN_RETRY_TIME_FRACTION,
    NOT_SENT,
    RETRY_DELAY_S,
)


class BookingOrder:
    """A caller's order that must run at most once.

    Parameters
    ----------
    request_id, team, key, dataset, shard : str
        `key` is the caller's idempotency key.
    order : object
        JSON of the order.

    Attributes
    ----------
    dispatch_before : float or None
        Unix time in seconds after which it must not run; copied from the claim record.
    """

    __slots__ = (
        "request_id",
        "team",
        "key",
        "dataset",
        "shard",
        "order",
        "dispatch_before",
    )

    def __init__(self, request_id, team, key, dataset, shard, order):
        self.request_id = request_id
        self.team = team
        self.key = key
        self.dataset = dataset
        self.shard = shard
        self.order = order
        self.dispatch_before = None

    def record_key(self):
        """Return the key of the claim record in the store."""
        return f"{RECORD_PREFIX}{self.team}/{urllib.parse.quote(self.key, safe='')}"

    def digest(self):
        """Return a digest of dataset, shard and order.

        It must be equal in all requests with the same key. The sequence of JSON fields
        does not matter.
        """
        body = [self.dataset, self.shard, self.order]
        encoded = orjson.dumps(body, option=orjson.OPT_SORT_KEYS)
        return hashlib.sha256(encoded).hexdigest()


class DispatchResult:
    """Outcome of a dispatched order.

    Parameters
    ----------
    outcome : Outcome
    code : str
        `ANSWERED` or the code of an error.
    result : object
        JSON of the target's result, or None.
    """

    __slots__ = ("outcome", "code", "result")

    def __init__(self, outcome, code, result=None):
        self.outcome = outcome
        self.code = code
        self.result = result

    def to_error(self):
        """Return the exception for an outcome other than `done`, with the same code."""
        error_class = errors.NotRunError
        if self.outcome != errors.Outcome.NOT_RUN:
            error_class = errors.OutcomeUnknownError
        specific_class = errors.find_error_class(self.code)
        if specific_class is not None and specific_class.outcome == self.outcome:
            error_class = specific_class
        error = error_class(f"the booking failed with code {self.code}")
        error.code = self.code
        return error


class BookingSender:
    """Sends orders to holders; the `dispatch` of a `Booker`.

    Parameters
    ----------
    link : Link
    chooser : SnapshotChooser
    router : Router
    budgets : Budgets
    request_numbers : iterator of int
        Source of this VM's request numbers, shared with all other users of the link.
    """

    __slots__ = (
        "_link",
        "_chooser",
        "_router",
        "_budgets",
        "_request_numbers",
        "_open_dispatches",
    )

    def __init__(self, link, chooser, router, budgets, request_numbers):
        self._link = link
        self._chooser = chooser
        self._router = router
        self._budgets = budgets
        self._request_numbers = request_numbers
        self._open_dispatches = {}

    async def __call__(self, order, answer_deadline):
        """Send an order to one replica after another until it may have run.

        Parameters
        ----------
        order : BookingOrder
        answer_deadline : float
            Trio time in seconds.

        Returns
        -------
        DispatchResult
        """
        now = trio.current_time()
        try:
            layout = self._chooser.pin(order.dataset, now)
        except errors.UnknownDatasetError as error:
            return _build_not_run_result(error.code)
        replicas = layout.shards.get(order.shard, ())
        if not replicas:
            return _build_not_run_result("shard_unknown")
        retry_until = (
            answer_deadline - (answer_deadline - now) * MIN_RETRY_TIME_FRACTION
        )
        result = _build_not_run_result(errors.NoTargetError.code)
        while True:
            result = await self._try_replicas(
                order, layout.version, replicas, result, retry_until, answer_deadline
            )
            if result.code not in FREE_RETRY_CODES:
                return result
            # The last target tried did not receive the order, usually because it is
            # changing holders. Sending the order again cannot run it twice.
            if trio.current_time() + RETRY_DELAY_S > retry_until:
                return result
            await trio.sleep(RETRY_DELAY_S)

    async def _try_replicas(
        self, order, version, replicas, last_result, retry_until, answer_deadline
    ):
        """Send an order to each replica in turn until one may have run it.

        Returns
        -------
        DispatchResult
            Result of the last send, or `last_result` if nothing was sent.
        """
        untried_replicas = list(replicas)
        while self._try_admit_send(order, last_result, retry_until):
            choice = self._router.choose(untried_replicas, trio.current_time())
            if choice is None:
                break
            untried_replicas.remove(choice[0])
            last_result = await self._send_to_replica(
                order, version, choice, answer_deadline
            )
            if last_result.outcome != errors.Outcome.NOT_RUN:
                break
        return last_result

    def _try_admit_send(self, order, last_result, retry_until):
        """Check the time left and, after a load refusal, spend a retry token.

        Returns False if no time or no token is left.
        """
        now = trio.current_time()
        if now > retry_until:
            return False
        if last_result.code not in LOAD_REFUSALS:
            return True
        return self._budgets.find(order.dataset, now).retries.try_spend(now)

    async def _send_to_replica(self, order, version, choice, answer_deadline):
        target, vm_id = choice
        number = next(self._request_numbers)
        dispatch = self._open_dispatches[number] = _OpenSend(order.request_id, vm_id)
        self._router.record_sent(target)
        try:
            remaining_ms = (
                answer_deadline - trio.current_time()
            ) * 1000.0 - HOP_ALLOWANCE_MS
            group = _build_group(order, version, target, remaining_ms)
            if not self._link.send(vm_id, group.KIND, group.to_body(), number):
                dispatch.complete(_build_not_run_result(NOT_SENT))
            with trio.move_on_at(answer_deadline):
                await dispatch.completed_event.wait()
        finally:
            del self._open_dispatches[number]
            code = dispatch.result.code
            self._router.record_answer(target, code, dispatch.load, trio.current_time())
        return dispatch.result

    def handle_answers(self, vm_id, number, answers):
        """Process answers from a holder; return False if no dispatch awaits them.

        Parameters
        ----------
        vm_id : str
            Sender of the message.
        number : int
            Request number of the envelope.
        answers : ShardAnswers
        """
        dispatch = self._open_dispatches.get(number)
        if dispatch is None or dispatch.request_id != answers.request_id:
            return False
        for answer in answers.answers:
            if vm_id == dispatch.vm_id and answer.attempt == _ATTEMPT_NUMBER:
                dispatch.handle_answer(answer)
        return True

    def handle_holder_lost(self, vm_id):
        """Complete all dispatches to a lost VM; their outcome is unknown."""
        for dispatch in self._open_dispatches.values():
            if dispatch.vm_id == vm_id:
                dispatch.complete(_build_unknown_result())


class _OpenSend:
    """A send of an order whose answer is awaited."""

    __slots__ = ("request_id", "vm_id", "completed_event", "result", "load")

    def __init__(self, request_id, vm_id):
        self.request_id = request_id
        self.vm_id = vm_id
        self.completed_event = trio.Event()
        self.result = _build_unknown_result()
        self.load = None

    def complete(self, result):
        """Set the result; calls after the first are ignored."""
        if not self.completed_event.is_set():
            self.result = result
            self.completed_event.set()

    def handle_answer(self, answer):
        """Complete the dispatch with an answer of the holder."""
        outcome = errors.Outcome.UNKNOWN
        if answer.code == ANSWERED:
            outcome = errors.Outcome.DONE
        elif answer.outcome == errors.Outcome.NOT_RUN:
            outcome = errors.Outcome.NOT_RUN
        self.load = answer.load
        self.complete(DispatchResult(outcome, answer.code, answer.result))


_ATTEMPT_NUMBER = 1
"""Attempt number of every send; sends differ in their request numbers."""


def _build_not_run_result(code):
    return DispatchResult(errors.Outcome.NOT_RUN, code)


def _build_unknown_result():
    return DispatchResult(errors.Outcome.UNKNOWN, "outcome_unknown")


def _build_group(order, version, target, remaining_ms):
    return ShardGroup(
        order.request_id,
        order.team,
        order.dataset,
        version,
        order.order,
        remaining_ms,
        [ShardItem(_ATTEMPT_NUMBER, order.shard, target)],
        BOOKING,
        order.key,
        order.dispatch_before,
    )
