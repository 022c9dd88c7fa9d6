"""The baseline, and variants of the product with one mechanism disabled."""

from tarragonchute.admission import Admission
from tarragonchute.budgets import Budgets, TokenBucket
from tarragonchute.errors import Outcome
from tarragonchute.health import TargetHealth
from tarragonchute.holdercore import MAX_QUEUED_PER_TEAM, HolderCore
from tarragonchute.limits import TargetLimiter
from tarragonchute.messages import ANSWERED
from tarragonchute.routing import Router
from tarragonchute.searches import (
    Coverage,
    SearchRun,
    SendGroup,
    subtract_merge_reserve,
)

from .driver import VM_COUNT, DecisionClasses, World, get_latest_layout
from .fakes import Exchange, FakeClient

ATTEMPT_TIMEOUT_S = 0.1  # baseline, per attempt; five times the mean service time


class _EmptyBucket(TokenBucket):
    def try_spend(self, now):
        return False


class _UnlimitedBucket(TokenBucket):
    def try_spend(self, now):
        return True


class _NoHedges(Budgets):
    def find(self, dataset, now):
        budget = super().find(dataset, now)
        budget.hedges = _EmptyBucket(0.0)
        return budget


class _UnlimitedRetries(Budgets):
    def find(self, dataset, now):
        budget = super().find(dataset, now)
        budget.retries = _UnlimitedBucket(0.0)
        return budget


class _FastStartLimiter(TargetLimiter):
    def restart(self, row):
        super().restart(row)
        row.slow_start_limit = row.slots
        self.update(row)


class _FastStartCore(HolderCore):
    def __init__(self, permission, random):
        super().__init__(permission, random)
        self._limiter = _FastStartLimiter()
        self._health = TargetHealth(self._limiter, random)


class _RandomRouter(Router):
    """Chooses uniformly among the replicas that did not fail recently."""

    def choose(self, targets, now):
        targets = list(targets)
        eligible = [
            t
            for t in targets
            if t not in self._out_of_service and not self._skips(t, now)
        ]
        eligible = eligible or [t for t in targets if t not in self._out_of_service]
        if not eligible:
            return None
        target = eligible[int(self._random() * len(eligible))]
        if target not in self._loads:
            self._add(target)
        return target, self._find_holder(target)

    def _skips(self, target, now):
        load = self._loads.get(target)
        return load is not None and now < load.skip_until


class _UnlimitedAdmission(Admission):
    """Admits all requests."""

    def admit(self, team, now):
        load = self._get_load(team)
        load.in_flight += 1
        self._in_flight += 1


class _NoCancels(SearchRun):
    """Does not cancel attempts whose result is no longer needed."""

    __slots__ = ()

    def _flush(self, now):
        return [a for a in super()._flush(now) if type(a) is SendGroup]


class _NoEarlyRefusalCore(HolderCore):
    """Queues requests even if their expected wait is too long."""

    def _is_overloaded(self, dispatch, row, now):
        return row.queue.count_team(dispatch.group.team) >= MAX_QUEUED_PER_TEAM


SWITCHES = {
    "hedging": DecisionClasses(budgets=_NoHedges),
    "retry budget": DecisionClasses(budgets=_UnlimitedRetries),
    "slow start": DecisionClasses(core=_FastStartCore),
    "load-aware choice": DecisionClasses(router=_RandomRouter),
    "admission": DecisionClasses(admission=_UnlimitedAdmission),
    "cancellation": DecisionClasses(run=_NoCancels),
    "early refusal": DecisionClasses(core=_NoEarlyRefusalCore),
}
"""Maps each mechanism to the decision classes without it."""


class BaselineWorld(World):
    """The baseline: independent entry VMs that send directly to the targets."""

    def build_vms(self):
        """Return the VMs."""
        return [BaselineVm(self, f"vm-{number}") for number in range(1, VM_COUNT + 1)]


class BaselineVm:
    """An entry VM of the baseline: uniform random choice, fixed timeout, one retry.

    Parameters
    ----------
    world : BaselineWorld
    vm_id : str
    """

    def __init__(self, world, vm_id):
        self.world = world
        self.vm_id = vm_id
        self.excluded_domains = set()
        self._clients = {}

    def apply_settings(self, _tree, domain, is_in):
        """Apply settings in which a failure domain was removed or restored."""
        change = self.excluded_domains.discard if is_in else self.excluded_domains.add
        change(domain)

    def search(self, team, dataset):
        """Start a search of a caller."""
        _BaselineCall(self, team, dataset, get_latest_layout(dataset), None).start()

    def book(self, team, dataset, shard):
        """Start a booking of a caller."""
        world = self.world
        key = f"b{next(world.numbers)}"
        if not world.is_store_up:
            world.record_booking(key, Outcome.NOT_RUN, world.queue.now)
            return
        shards = {shard: get_latest_layout(dataset)[shard]}
        _BaselineCall(self, team, dataset, shards, key).start()

    def get_client(self, target_id):
        """Return the `FakeClient` of a target."""
        client = self._clients.get(target_id)
        if client is None:
            world = self.world
            target = world.targets[target_id]
            delay_s = world.network.delay(self.vm_id, target_id)
            connect_s = world.deployment.get_connect_time_s(target)
            client = FakeClient(world.queue, target, delay_s, connect_s)
            self._clients[target_id] = client
        return client


class _BaselineCall:
    """A search or booking of the baseline."""

    __slots__ = (
        "vm",
        "team",
        "dataset",
        "shards",
        "key",
        "request_id",
        "started_at",
        "deadline_s",
        "answered",
        "open",
        "is_finished",
    )

    def __init__(self, vm, team, dataset, shards, key):
        self.vm = vm
        self.team = team
        self.dataset = dataset
        self.shards = shards
        self.key = key
        self.request_id = key or f"r{next(vm.world.numbers)}"
        self.started_at = vm.world.queue.now
        self.deadline_s = team.default_deadline_ms / 1000
        self.answered = set()
        self.open = 0
        self.is_finished = False

    def start(self):
        due = self.started_at + subtract_merge_reserve(self.deadline_s)
        self.vm.world.queue.schedule(due, self._finish)
        for shard in self.shards:
            self._send(shard, None)

    def _send(self, shard, failed_target):
        world = self.vm.world
        now = world.queue.now
        eligible = [
            t
            for t in self.shards[shard]
            if t != failed_target
            and world.targets[t].domain not in self.vm.excluded_domains
        ]
        if not eligible:
            return
        target = world.random.choice(eligible)
        deadline = self.started_at + self.deadline_s
        client = self.vm.get_client(target)
        world.record_send(self.request_id, shard, self.key)
        subject = (shard, target, failed_target is not None)
        exchange = Exchange(client, deadline, self.key, subject, self._end)
        self.open += 1
        world.queue.schedule(now + ATTEMPT_TIMEOUT_S, self._time_out, exchange)

    def _time_out(self, exchange):
        if not exchange.is_ended and not self.is_finished:
            exchange.abandon()
            self._fail(exchange)

    def _end(self, exchange, answer):
        self.vm.world.record_completion(self.key, answer)
        if self.is_finished or exchange.is_abandoned:
            return
        if answer.code == ANSWERED:
            self.open -= 1
            self.answered.add(exchange.subject[0])
            self._finish_if_settled()
        else:
            self._fail(exchange)

    def _fail(self, exchange):
        shard, target, is_retry = exchange.subject
        self.open -= 1
        if not is_retry:
            self._send(shard, target)
        self._finish_if_settled()

    def _finish_if_settled(self):
        if not self.open:
            self._finish()

    def _finish(self):
        if self.is_finished:
            return
        self.is_finished = True
        world = self.vm.world
        if self.key is not None:
            outcome = Outcome.DONE if self.answered else Outcome.UNKNOWN
            world.record_booking(self.key, outcome, self.started_at)
            return
        total = len(self.shards)
        coverage = Coverage(len(self.answered), total, ())
        is_answer = coverage.fraction >= self.team.least_coverage
        world.record_search(
            self.dataset, self.started_at, self.deadline_s, coverage, is_answer
        )
