"""Simulates nine VMs in virtual time: the real decision code with fake targets."""

import itertools
import random

from tarragonchute import errors
from tarragonchute.admission import Admission
from tarragonchute.budgets import Budgets
from tarragonchute.dispatches import Abort, Answer, Dispatch, Probe
from tarragonchute.errors import NotRunError, Outcome
from tarragonchute.holdercore import HolderCore
from tarragonchute.holders import ADVANCE_PERIOD_S, ANSWER_BATCH_S
from tarragonchute.messages import (
    ANSWERED,
    BOOKING,
    ShardAnswers,
    ShardGroup,
    ShardItem,
)
from tarragonchute.node import OVERLOAD_REFUSAL_FRACTION
from tarragonchute.placement import assign_holders
from tarragonchute.routing import Router
from tarragonchute.searches import (
    HOP_ALLOWANCE_MS,
    LOAD_REFUSALS,
    MIN_RETRY_TIME_FRACTION,
    SearchRun,
    SendGroup,
    subtract_merge_reserve,
)
from tarragonchute.settings import FleetSettings, SettingsTree
from tarragonchute.snapshots import SnapshotChooser

from .fakes import EventQueue, Exchange, FakeClient, FakeNetwork, FakeTarget

VM_COUNT = 9
SERVICE_S = 0.020  # mean of each target; equals `holdercore.DEFAULT_SERVICE_TIME_S`
BOOKINGS_PER_SEARCH = 0.02
WARM_UP_S = 2.0  # excluded from the figures
RAMP_S = 1.0  # the load rises to its full rate in this time
INITIAL_LOAD_FRACTION = 0.2  # of the full rate
MIN_LARGE_DATASET_SHARDS = 20  # smaller datasets do not count for latencies
DRAIN_S = 4.0  # simulated after the load; exceeds any deadline plus its skew
MAX_SETTINGS_DELAY_S = 0.9  # changed settings reach all VMs within this time


class DecisionClasses:
    """The classes of the decision code; a switch replaces one by a subclass.

    Parameters
    ----------
    router, admission, core, run, budgets : type
    """

    __slots__ = ("router", "admission", "core", "run", "budgets")

    def __init__(
        self,
        router=Router,
        admission=Admission,
        core=HolderCore,
        run=SearchRun,
        budgets=Budgets,
    ):
        self.router = router
        self.admission = admission
        self.core = core
        self.run = run
        self.budgets = budgets


class Deployment:
    """Settings and network delays of one simulated deployment.

    Parameters
    ----------
    tree : settings.SettingsTree
    least_s, most_s : float
        One-way delays between machines in seconds.
    """

    __slots__ = ("tree", "least_s", "most_s")

    def __init__(self, tree, least_s, most_s):
        self.tree = tree
        self.least_s = least_s
        self.most_s = most_s

    def get_connect_time_s(self, target):
        """Return the connect time of a target in seconds (section 1.5)."""
        return 0.005 if target.max_connections <= 25 else 0.001


class Counts:
    """Counters of one run.

    Attributes
    ----------
    latencies : list of float
        Seconds of the measured searches in large datasets that were not refused.
    coverages : list of float
        Coverage of the same searches.
    before : list of float
        Latencies after the warm-up and before the measured window.
    useful : int
        Shard answers in responses that were on time and in the measured window.
    offered : float
        Shard requests that the targets can serve in the measured window.
    too_low : int
        Searches that failed because their coverage was too low.
    late : int
        Searches that ended after their deadline.
    lost : int
        Searches that had not ended when the simulation stopped.
    breaches : int
        Violated limits of targets: slots, cold start, removed domain, connections.
    doubled : int
        Bookings that ran more than once, or ran and were reported as not run.
    """

    __slots__ = (
        "latencies",
        "coverages",
        "before",
        "searches",
        "refused",
        "too_low",
        "late",
        "lost",
        "bookings",
        "bookings_refused",
        "bookings_unknown",
        "first_attempts",
        "sent",
        "useful",
        "offered",
        "breaches",
        "doubled",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)
        self.latencies = []
        self.coverages = []
        self.before = []


class World:
    """Simulated targets, network and load; a subclass builds the VMs.

    Parameters
    ----------
    deployment : Deployment
    seed : int
    load : float
        Fraction of the capacity.
    seconds : float
        Duration of the load after the warm-up.
    straggler_share : float

    Attributes
    ----------
    measured_from, measured_until : float
        Window for the start of measured searches; a row of the table may move it.
    """

    def __init__(self, deployment, seed, load, seconds, straggler_share=0.0):
        # The load uses a separate random source, so that all variants get the same
        # load.
        self.random = random.Random(seed)
        self._load_random = random.Random(seed + 1)
        self.queue = EventQueue()
        self.deployment = deployment
        self.tree = deployment.tree
        self.network = FakeNetwork(self.random, deployment.least_s, deployment.most_s)
        self.mean_service_s = SERVICE_S * (1 + 9 * straggler_share)
        self.targets = {
            name: FakeTarget(
                self.queue,
                random.Random(f"{seed} {name}"),
                target,
                SERVICE_S,
                straggler_share,
            )
            for name, target in self.tree.list_targets().items()
        }
        self.load = load
        self.load_ends = WARM_UP_S + seconds
        self.measured_from = WARM_UP_S
        self.measured_until = self.load_ends
        self.is_store_up = True
        self.counts = Counts()
        self.open_searches = 0
        self.numbers = itertools.count(1)
        self.runs_by_key = {}
        self.refused_keys = []
        self._sent_shards = set()
        self.vms = self.build_vms()

    def build_vms(self):
        """Return the list of VMs."""
        raise NotImplementedError

    def run(self):
        """Run the simulation to its end and return the `Counts`."""
        for team in self.tree.teams.values():
            for dataset in team.datasets:
                self._plan_search(team, self.tree.datasets[dataset])
        self.queue.run(self.load_ends + DRAIN_S)
        return self._finish_counts()

    def compute_capacity(self, dataset):
        """Return the searches/s that the targets of a dataset can serve."""
        slots = sum(target.slots for target in dataset.targets.values())
        return slots / self.mean_service_s / count_shards(dataset)

    def set_domain(self, domain, is_in):
        """Remove or restore a failure domain; VMs learn it after a random delay."""
        domains = {**self.tree.fleet.domains, domain: is_in}
        fleet = FleetSettings(domains, {}, self.tree.fleet.max_in_flight)
        tree = SettingsTree(fleet, self.tree.teams, self.tree.datasets)
        for vm in self.vms:
            due = self.queue.now + self.random.uniform(0.1, MAX_SETTINGS_DELAY_S)
            self.queue.schedule(due, vm.apply_settings, tree, domain, is_in)

    def record_send(self, request_id, shard, key):
        """Record a request that is sent to a target."""
        self.counts.sent += 1
        name = (request_id, shard)
        if name not in self._sent_shards:
            self._sent_shards.add(name)
            self.counts.first_attempts += 1
        if key is not None:
            self.runs_by_key.setdefault(key, 0)

    def record_completion(self, key, answer):
        """Record a booking that a target ran."""
        if key is not None and answer.code == ANSWERED:
            self.runs_by_key[key] += 1

    def is_measured(self, time):
        """Return whether a time lies in the measured window."""
        return self.measured_from <= time < self.measured_until

    def record_search(self, dataset, started_at, deadline_s, coverage, is_answer):
        """Record the end of a search; coverage None means that it was refused."""
        self.open_searches -= 1
        counts = self.counts
        now = self.queue.now
        seconds = now - started_at
        if is_answer and seconds <= deadline_s and self.is_measured(now):
            counts.useful += coverage.answered
        is_large = count_shards(dataset) >= MIN_LARGE_DATASET_SHARDS
        if not self.is_measured(started_at):
            is_before = WARM_UP_S <= started_at < self.measured_from
            if is_before and is_large and coverage is not None:
                counts.before.append(seconds)
            return
        counts.searches += 1
        if coverage is None:
            counts.refused += 1
            return
        counts.late += seconds > deadline_s
        counts.too_low += not is_answer
        if is_large:
            counts.latencies.append(seconds)
            counts.coverages.append(coverage.fraction)

    def record_booking(self, key, outcome, started_at):
        """Record the end of a booking."""
        if outcome == Outcome.NOT_RUN:
            self.refused_keys.append(key)
        if self.is_measured(started_at):
            self.counts.bookings += 1
            self.counts.bookings_refused += outcome == Outcome.NOT_RUN
            self.counts.bookings_unknown += outcome == Outcome.UNKNOWN

    def _plan_search(self, team, dataset):
        now = self.queue.now
        rate = self.load * self.compute_capacity(dataset)
        if now < RAMP_S:
            rate *= INITIAL_LOAD_FRACTION + (1 - INITIAL_LOAD_FRACTION) * now / RAMP_S
        due = now + self._load_random.expovariate(rate)
        if due < self.load_ends:
            self.queue.schedule(due, self._start_search, team, dataset)

    def _start_search(self, team, dataset):
        self._plan_search(team, dataset)
        choose = self._load_random.choice
        vm = choose(self.vms)
        self.open_searches += 1
        vm.search(team, dataset)
        if self._load_random.random() < BOOKINGS_PER_SEARCH:
            shard = choose(list(get_latest_layout(dataset)))
            choose(self.vms).book(team, dataset, shard)

    def _finish_counts(self):
        counts = self.counts
        targets = self.targets.values()
        counts.lost = self.open_searches
        counts.breaches = sum(
            t.slot_breaches
            + t.cold_breaches
            + t.domain_breaches
            + t.connection_breaches
            for t in targets
        )
        counts.doubled = sum(runs > 1 for runs in self.runs_by_key.values())
        counts.doubled += sum(
            self.runs_by_key.get(key, 0) > 0 for key in self.refused_keys
        )
        slots = sum(t.slots for t in targets)
        seconds = self.measured_until - self.measured_from
        counts.offered = slots * seconds / self.mean_service_s
        return counts


def get_latest_layout(dataset):
    """Return the shards of the newest version of a dataset."""
    return list(dataset.layouts.values())[-1]


def count_shards(dataset):
    """Return the number of shards of the newest version of a dataset."""
    return len(get_latest_layout(dataset))


class ProductWorld(World):
    """Simulated VMs with the product's decision code."""

    def __init__(
        self,
        deployment,
        seed,
        load,
        seconds,
        straggler_share=0.0,
        decision_classes=None,
    ):
        self.decision_classes = decision_classes or DecisionClasses()
        super().__init__(deployment, seed, load, seconds, straggler_share)

    def build_vms(self):
        """Return the VMs, each as the holder of its assigned targets."""
        names = [f"vm-{number}" for number in range(1, VM_COUNT + 1)]
        groups = []
        for dataset in self.tree.datasets.values():
            groups += get_latest_layout(dataset).values()
        self.holders = assign_holders(groups, names)
        self.vms_by_name = {name: ProductVm(self, name) for name in names}
        return list(self.vms_by_name.values())


class ProductVm:
    """Entry and holder parts of one simulated VM.

    Parameters
    ----------
    world : ProductWorld
    vm_id : str
    """

    def __init__(self, world, vm_id):
        decision_classes = world.decision_classes
        self.world = world
        self.queue = world.queue
        self.vm_id = vm_id
        self.admission = decision_classes.admission(world.tree.fleet.max_in_flight)
        self.admission.set_tree(world.tree)
        self.chooser = SnapshotChooser()
        self.chooser.set_tree(world.tree)
        seed = world.random.random()
        self.router = decision_classes.router(world.holders.get, random.Random(seed))
        self.router.set_tree(world.tree)
        self.budgets = decision_classes.budgets()
        self.core = decision_classes.core(self, random.Random(seed))
        self.open = {}
        self._clients = {}
        self._exchanges = {}
        self._batches = {}
        held = [t for n, t in world.tree.list_targets().items() if self._holds(n)]
        self._perform(self.core.set_targets(held, 1, 0.0))
        self.queue.schedule(world.random.random() * ADVANCE_PERIOD_S, self._advance)

    def check_target(self, target_id, now):
        """Permit every request, as the bench simulates no membership."""

    def apply_settings(self, tree, domain, is_in):
        """Apply settings in which a failure domain was removed or restored."""
        now = self.queue.now
        self.router.set_tree(tree)
        change = self.core.set_domain_in if is_in else self.core.set_domain_out
        self._perform(change(domain, now))

    def _holds(self, target_id):
        return self.world.holders[target_id] == self.vm_id

    # Entry.

    def search(self, team, dataset):
        """Start a search of a caller."""
        call = _SearchCall(self, team, dataset)
        try:
            self.admission.admit(team.name, self.queue.now)
        except NotRunError:
            self.world.record_search(dataset, self.queue.now, 0.0, None, False)
            return
        call.start()

    def book(self, team, dataset, shard):
        """Start a booking of a caller."""
        call = _BookingCall(self, team, dataset, shard)
        now = self.queue.now
        try:
            self.admission.admit(team.name, now)
        except NotRunError:
            self.world.record_booking(call.key, Outcome.NOT_RUN, now)
            return
        call.start()

    def release_admission(self, team, started_at, deadline_s, is_overloaded):
        """Release the admission of an ended request, as `node` does."""
        now = self.queue.now
        is_late = (
            now - started_at > (subtract_merge_reserve(deadline_s) + deadline_s) / 2
        )
        self.admission.release(team.name, is_late, is_overloaded, now)

    def send(self, vm_id, number, message):
        """Send a message to a holder."""
        due = self.queue.now + self.world.network.delay(self.vm_id, vm_id)
        holder = self.world.vms_by_name[vm_id]
        self.queue.schedule(due, holder.handle, self.vm_id, number, message)

    def handle_answers(self, vm_id, number, answers):
        """Handle answers from a holder."""
        call = self.open.get(number)
        if call is not None:
            call.handle_answers(vm_id, answers)

    # Holder.

    def handle(self, sender, number, message):
        """Handle a message from an entry VM."""
        now = self.queue.now
        handle_message = (
            self.core.submit if type(message) is ShardGroup else self.core.cancel
        )
        self._perform(handle_message(sender, number, message, now))

    def _advance(self):
        self._perform(self.core.advance(self.queue.now))
        self.queue.schedule(self.queue.now + ADVANCE_PERIOD_S, self._advance)

    def _perform(self, actions):
        for action in actions:
            kind = type(action)
            if kind is Dispatch:
                self._dispatch(action)
            elif kind is Answer:
                self._add_answer(action)
            elif kind is Abort:
                self._exchanges[action.dispatch].cancel()
            elif kind is Probe:
                due = self.queue.now + self._get_client(action.target_id).delay_s
                self.queue.schedule(due, self._probe, action.target_id)
            else:
                client = self._clients.pop(action.target_id, None)
                if client is not None:
                    client.close()

    def _dispatch(self, dispatch):
        group = dispatch.group
        key = group.idempotency_key
        self.world.record_send(group.request_id, dispatch.shard, key)
        client = self._get_client(dispatch.target_id)
        self._exchanges[dispatch] = Exchange(
            client, dispatch.deadline, key, dispatch, self._complete
        )

    def _complete(self, exchange, answer):
        del self._exchanges[exchange.subject]
        self.world.record_completion(exchange.key, answer)
        actions = self.core.complete(exchange.subject, answer, self.queue.now)
        self._perform(actions)

    def _probe(self, target_id):
        state = self.world.targets[target_id].read_status()
        due = self.queue.now + self._get_client(target_id).delay_s
        self.queue.schedule(due, self._end_probe, target_id, state)

    def _end_probe(self, target_id, state):
        self._perform(self.core.handle_status(target_id, state, self.queue.now))

    def _get_client(self, target_id):
        client = self._clients.get(target_id)
        if client is None:
            world = self.world
            target = world.targets[target_id]
            delay_s = world.network.delay(self.vm_id, target_id)
            connect_s = world.deployment.get_connect_time_s(target)
            client = FakeClient(self.queue, target, delay_s, connect_s)
            self._clients[target_id] = client
        return client

    def _add_answer(self, action):
        """Batch answers as `Holder` does; a request's last answer is sent at once."""
        origin = action.origin
        batch = self._batches.get(origin)
        if batch is None:
            batch = self._batches[origin] = []
            due = self.queue.now + ANSWER_BATCH_S
            self.queue.schedule(due, self._send_answers, origin, batch)
        batch.append(action.answer)
        if action.is_last:
            self._send_answers(origin, batch)

    def _send_answers(self, origin, batch):
        if self._batches.get(origin) is not batch:
            return
        del self._batches[origin]
        due = self.queue.now + self.world.network.delay(self.vm_id, origin.sender)
        entry = self.world.vms_by_name[origin.sender]
        answers = ShardAnswers(origin.request_id, batch)
        self.queue.schedule(
            due, entry.handle_answers, self.vm_id, origin.number, answers
        )


class _SearchCall:
    """A search in progress and its timer, as in `searches.Searcher`."""

    __slots__ = (
        "vm",
        "team",
        "dataset",
        "number",
        "run",
        "started_at",
        "deadline_s",
        "timer_at",
    )

    def __init__(self, vm, team, dataset):
        self.vm = vm
        self.team = team
        self.dataset = dataset
        self.number = next(vm.world.numbers)
        self.started_at = vm.queue.now
        self.deadline_s = team.default_deadline_ms / 1000
        self.timer_at = float("inf")

    def start(self):
        vm, now = self.vm, self.started_at
        self.run = vm.world.decision_classes.run(
            f"r{self.number}",
            self.team.name,
            self.dataset.name,
            None,
            self.deadline_s,
            self.team.least_coverage,
            vm.chooser,
            vm.router,
            vm.budgets.find(self.dataset.name, now),
        )
        vm.open[self.number] = self
        self._perform(self.run.start(now))

    def handle_answers(self, vm_id, answers):
        now = self.vm.queue.now
        self._perform(self.run.handle_answers(answers.answers, now, vm_id))

    def _perform(self, actions):
        for action in actions:
            if type(action) is SendGroup and self.run.is_finished:
                continue
            self.vm.send(action.vm_id, self.number, action.message)
        if self.run.is_finished:
            self._finish()
            return
        due = self.run.next_due()
        if due < self.timer_at:
            self.timer_at = due
            self.vm.queue.schedule(due, self._wake, due)

    def _wake(self, due):
        if self.number not in self.vm.open or due != self.timer_at:
            return
        self.timer_at = float("inf")
        now = self.vm.queue.now
        actions = self.run.advance(now) if self.run.next_due() <= now else ()
        self._perform(actions)

    def _finish(self):
        vm = self.vm
        del vm.open[self.number]
        coverage, is_answer, load_refusals = None, True, 0
        try:
            result = self.run.result()
            coverage, load_refusals = result.coverage, result.load_refusals
        except errors.TarragonchuteError as error:
            is_answer = False
            load_refusals = error.load_refusals
            if not isinstance(error, NotRunError):
                coverage = error.coverage
        total = self.run.coverage().total
        is_overloaded = load_refusals > OVERLOAD_REFUSAL_FRACTION * total
        vm.release_admission(self.team, self.started_at, self.deadline_s, is_overloaded)
        vm.world.record_search(
            self.dataset, self.started_at, self.deadline_s, coverage, is_answer
        )


class _BookingCall:
    """A booking in progress, as in `bookings.Booker` and `BookingSender`."""

    __slots__ = (
        "vm",
        "team",
        "dataset",
        "shard",
        "key",
        "request_id",
        "started_at",
        "answer_due",
        "deadline_s",
        "untried",
        "sent",
        "number",
    )

    def __init__(self, vm, team, dataset, shard):
        self.vm = vm
        self.team = team
        self.dataset = dataset
        self.shard = shard
        self.key = self.request_id = f"b{next(vm.world.numbers)}"
        self.started_at = vm.queue.now
        self.deadline_s = team.default_deadline_ms / 1000
        self.answer_due = self.started_at + subtract_merge_reserve(self.deadline_s)
        self.untried = list(get_latest_layout(dataset)[shard])
        self.sent = None
        self.number = None

    def start(self):
        if not self.vm.world.is_store_up:
            self._end(Outcome.NOT_RUN, errors.StoreUnavailableError.code)
            return
        self.vm.queue.schedule(self.answer_due, self._expire)
        self._try(None)

    def handle_answers(self, vm_id, answers):
        (answer,) = answers.answers
        target = self.sent
        self.vm.router.record_answer(
            target, answer.code, answer.load, self.vm.queue.now
        )
        del self.vm.open[self.number]
        self.sent = None
        if answer.code == ANSWERED:
            self._end(Outcome.DONE, answer.code)
        elif answer.outcome != Outcome.NOT_RUN:
            self._end(Outcome.UNKNOWN, answer.code)
        elif self._may_send(answer.code):
            self._try(answer.code)
        else:
            self._end(Outcome.NOT_RUN, answer.code)

    def _may_send(self, code):
        now = self.vm.queue.now
        left = self.answer_due - now
        if left < (self.answer_due - self.started_at) * MIN_RETRY_TIME_FRACTION:
            return False
        if code not in LOAD_REFUSALS:
            return True
        return self.vm.budgets.find(self.dataset.name, now).retries.try_spend(now)

    def _try(self, code):
        vm, now = self.vm, self.vm.queue.now
        choice = vm.router.choose(self.untried, now)
        if choice is None:
            self._end(Outcome.NOT_RUN, code)
            return
        self.sent, vm_id = choice
        self.untried.remove(self.sent)
        self.number = next(vm.world.numbers)
        vm.open[self.number] = self
        vm.router.record_sent(self.sent)
        vm.send(vm_id, self.number, self._build_group(self.sent, now))

    def _build_group(self, target, now):
        left_ms = (self.answer_due - now) * 1000 - HOP_ALLOWANCE_MS
        version = list(self.dataset.layouts)[-1]
        return ShardGroup(
            self.request_id,
            self.team.name,
            self.dataset.name,
            version,
            None,
            left_ms,
            [ShardItem(1, self.shard, target)],
            BOOKING,
            self.key,
        )

    def _expire(self):
        if self.sent is not None:
            del self.vm.open[self.number]
            now = self.vm.queue.now
            self.vm.router.record_answer(self.sent, "outcome_unknown", None, now)
            self._end(Outcome.UNKNOWN, "outcome_unknown")

    def _end(self, outcome, code):
        vm = self.vm
        self.sent = None
        is_overloaded = code == errors.OverloadedError.code
        vm.release_admission(self.team, self.started_at, self.deadline_s, is_overloaded)
        vm.world.record_booking(self.key, outcome, self.started_at)
