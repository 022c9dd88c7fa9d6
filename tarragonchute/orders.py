"""Orders of bookings, and their way to the holder of a target."""

import hashlib
import urllib.parse

import orjson
import trio

from . import errors
from .claims import RECORD_PREFIX
from .messages import ANSWERED, BOOKING, ShardGroup, ShardItem
from .searches import (
    HOLDER_REFUSALS,
    HOP_MS,
    LOAD_REFUSALS,
    NOT_SENT,
    RETRY_DELAY_S,
    RETRY_SHARE_LEFT,
)


class BookingOrder:
    """What a caller asks to run once.

    Parameters
    ----------
    request_id, team, key, dataset, shard : str
        `key` is the caller's idempotency key.
    order : object
        JSON of the order.

    Attributes
    ----------
    dispatch_before : float or None
        Unix time in seconds after which it must not run; set from the claim.
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
        """Return the key of the record in the store."""
        return f"{RECORD_PREFIX}{self.team}/{urllib.parse.quote(self.key, safe='')}"

    def digest(self):
        """Return a digest of everything that a repeated request must repeat."""
        body = [self.dataset, self.shard, self.order]
        text = orjson.dumps(body, option=orjson.OPT_SORT_KEYS)
        return hashlib.sha256(text).hexdigest()


class DispatchResult:
    """What became of a dispatched order.

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
        """Return the exception that tells this outcome, which is not `done`."""
        cls = errors.NotRunError
        if self.outcome != errors.Outcome.NOT_RUN:
            cls = errors.OutcomeUnknownError
        known = errors.find_error_class(self.code)
        if known is not None and known.outcome == self.outcome:
            cls = known
        error = cls(f"the booking ended with {self.code}")
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
    numbers : iterator of int
        Request numbers of this VM, shared with every other user of the link.
    """

    __slots__ = ("_link", "_chooser", "_router", "_budgets", "_numbers", "_open")

    def __init__(self, link, chooser, router, budgets, numbers):
        self._link = link
        self._chooser = chooser
        self._router = router
        self._budgets = budgets
        self._numbers = numbers
        self._open = {}

    async def __call__(self, order, answer_due):
        """Send an order until it may have run, and return what became of it.

        Parameters
        ----------
        order : BookingOrder
        answer_due : float
            Trio time in seconds.

        Returns
        -------
        DispatchResult
        """
        now = trio.current_time()
        try:
            layout = self._chooser.pin(order.dataset, now)
        except errors.UnknownDatasetError as error:
            return _build_refusal(error.code)
        replicas = layout.shards.get(order.shard, ())
        if not replicas:
            return _build_refusal("shard_unknown")
        retry_until = answer_due - (answer_due - now) * RETRY_SHARE_LEFT
        result = _build_refusal(errors.NoTargetError.code)
        while True:
            result = await self._try_each(
                order, layout.version, replicas, result, retry_until, answer_due
            )
            if result.code not in HOLDER_REFUSALS:
                return result
            # A target changes holders while a view is adopted. It did not see the
            # order, so a repeat after the hand-over cannot run it twice.
            if trio.current_time() + RETRY_DELAY_S > retry_until:
                return result
            await trio.sleep(RETRY_DELAY_S)

    async def _try_each(self, order, version, replicas, result, retry_until, due):
        """Offer an order to each replica in turn until one may have run it.

        Returns
        -------
        DispatchResult
            `result` if no replica has a holder.
        """
        untried = list(replicas)
        while self._may_send(order, result, retry_until):
            choice = self._router.choose(untried, trio.current_time())
            if choice is None:
                break
            untried.remove(choice[0])
            result = await self._try(order, version, choice, due)
            if result.outcome != errors.Outcome.NOT_RUN:
                break
        return result

    def _may_send(self, order, last, retry_until):
        now = trio.current_time()
        if now > retry_until:
            return False
        if last.code not in LOAD_REFUSALS:
            return True
        return self._budgets.find(order.dataset, now).retries.try_spend(now)

    async def _try(self, order, version, choice, answer_due):
        target, vm_id = choice
        number = next(self._numbers)
        dispatch = self._open[number] = _OpenDispatch(order.request_id, vm_id)
        self._router.note_sent(target)
        try:
            left_ms = (answer_due - trio.current_time()) * 1000.0 - HOP_MS
            group = _build_group(order, version, target, left_ms)
            if not self._link.send(vm_id, group.KIND, group.to_body(), number):
                dispatch.end(_build_refusal(NOT_SENT))
            with trio.move_on_at(answer_due):
                await dispatch.is_ended.wait()
        finally:
            del self._open[number]
            code = dispatch.result.code
            self._router.note_answer(target, code, dispatch.load, trio.current_time())
        return dispatch.result

    def handle_answers(self, vm_id, number, answers):
        """Take answers from a holder; return False if they are not awaited here.

        Parameters
        ----------
        vm_id : str
            Sender of the message.
        number : int
            Request number of the envelope.
        answers : ShardAnswers
        """
        dispatch = self._open.get(number)
        if dispatch is None or dispatch.request_id != answers.request_id:
            return False
        for answer in answers.answers:
            if vm_id == dispatch.vm_id and answer.attempt == _ATTEMPT:
                dispatch.take(answer)
        return True

    def handle_holder_lost(self, vm_id):
        """End what waits for a VM that was lost; its outcome is unknown."""
        for dispatch in self._open.values():
            if dispatch.vm_id == vm_id:
                dispatch.end(_build_unknown())


class _OpenDispatch:
    """One send of an order; each has a request number of its own."""

    __slots__ = ("request_id", "vm_id", "is_ended", "result", "load")

    def __init__(self, request_id, vm_id):
        self.request_id = request_id
        self.vm_id = vm_id
        self.is_ended = trio.Event()
        self.result = _build_unknown()
        self.load = None

    def end(self, result):
        """Take the first result; later ones are ignored."""
        if not self.is_ended.is_set():
            self.result = result
            self.is_ended.set()

    def take(self, answer):
        """Take an answer of the holder."""
        outcome = errors.Outcome.UNKNOWN
        if answer.code == ANSWERED:
            outcome = errors.Outcome.DONE
        elif answer.outcome == errors.Outcome.NOT_RUN:
            outcome = errors.Outcome.NOT_RUN
        self.load = answer.load
        self.end(DispatchResult(outcome, answer.code, answer.result))


_ATTEMPT = 1
"""Attempt number of an order; each send has a request number of its own."""


def _build_refusal(code):
    return DispatchResult(errors.Outcome.NOT_RUN, code)


def _build_unknown():
    return DispatchResult(errors.Outcome.UNKNOWN, "outcome_unknown")


def _build_group(order, version, target, left_ms):
    return ShardGroup(
        order.request_id,
        order.team,
        order.dataset,
        version,
        order.order,
        left_ms,
        [ShardItem(_ATTEMPT, order.shard, target)],
        BOOKING,
        order.key,
        order.dispatch_before,
    )
