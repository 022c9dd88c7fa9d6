"""Fault matrix of the holder: every fault at every step, checked by an oracle.

The oracle implements section 1.2 of the design page. It consists of checks in the fake
target, which counts its own work, and of the recorded answers; it reads no state of
the holder.
"""

import heapq
import itertools
import random
from unittest import mock

import testtools

from tarragonchute import dispatches, health, holdercore, limits
from tarragonchute.dispatches import Abort, Answer, Dispatch, Probe
from tarragonchute.errors import NoLeaseError, NotHolderError
from tarragonchute.holdercore import HolderCore
from tarragonchute.messages import (
    BOOKING,
    SEARCH,
    ShardCancel,
    ShardGroup,
    ShardItem,
)
from tarragonchute.settings import TargetSettings
from tarragonchute.targets import TargetAnswer

# Copied from the design page, so that a wrong constant in the code is detected.
LEASE_S = 1.5
MAX_SHARD_TIME_S = 1.0
SKEW_S = 0.25
DRAIN_NOTICE_S = 3.0

CLOCK_OFFSET_S = 0.24  # how late the targets' clocks are, just below `SKEW_S`
SERVICE_S = 0.02
NETWORK_S = 0.0005
COLD_ANSWERS = 6  # completed requests after which a cold target is warm
TICK_S = 0.01
RELEASE_POLL_S = 0.001
LOAD_PERIOD_S = 0.015
LOAD_REMAINING_MS = 300
SUBJECT_REMAINING_MS = {SEARCH: 300, BOOKING: 8000}
SETTLE_S = 12.0
SETTLE_TICK_S = 0.05  # coarser: no check needs exact times while requests end
DOMAIN = "d1"


class FakeTarget:
    """A target that counts its running and its completed requests.

    A request whose connection was lost runs until the deadline on the target's clock.
    """

    def __init__(self, sim, target_id, slots=2):
        self.sim = sim
        self.target_id = target_id
        self.slots = slots
        self.boot_number = 1
        self.is_cold = True
        self.completed_count = 0
        self.cold_known_to = {"A", "B"}
        self.draining_since = None
        self.refuses_until = 0.0
        self.faults = []
        self.active = set()

    def settings(self):
        return TargetSettings(self.target_id, "x:1", DOMAIN, self.slots, 25)

    def become_cold(self):
        self.is_cold = True
        self.completed_count = 0
        # A holder learns that a target is cold only from an answer or a failure.
        self.cold_known_to = set()

    def restart(self):
        self.boot_number += 1
        self.become_cold()
        for exchange in list(self.active):
            self.active.discard(exchange)
            exchange.end("connection_lost")

    def receive(self, exchange):
        """Return a refusal code, or start to run the request and return None."""
        sim, dispatch = self.sim, exchange.dispatch
        if sim.now < self.refuses_until:
            return "connect_failed"
        if sim.now - CLOCK_OFFSET_S >= dispatch.wall_deadline:
            return "deadline_passed"
        if self.draining_since is not None:
            if sim.now > self.draining_since + DRAIN_NOTICE_S:
                sim.report("leaving", "new work 3 s after the target began draining")
            return "draining"
        if exchange.fault in ("shedding", "version_missing"):
            return exchange.fault
        self._run(exchange)
        return None

    def _run(self, exchange):
        sim = self.sim
        self.active.add(exchange)
        sim.record_run(exchange.dispatch)
        count = len(self.active)
        if count > self.slots:
            sim.report("slots", f"{count} requests in {self.slots} slots")
        if self.is_cold and count > 1 and exchange.core.name in self.cold_known_to:
            sim.report("cold", f"{count} requests at a target known to be cold")

    def continue_orphaned_work(self, exchange):
        """Run a request whose connection was lost until its deadline."""
        end = exchange.dispatch.deadline + CLOCK_OFFSET_S
        self.sim.call_at(end, self.active.discard, exchange)

    def finish(self, exchange):
        """End the request and return whether it was still running."""
        if exchange not in self.active:
            return False
        self.active.discard(exchange)
        self.completed_count += 1
        if self.completed_count >= COLD_ANSWERS:
            self.is_cold = False
        return True

    def build_answer(self, code, result=None):
        state = "cold" if self.is_cold else "warm"
        if self.draining_since is not None:
            state = "draining"
        return TargetAnswer(code, result, state, f"boot{self.boot_number}", ["v0"])

    def read_status(self):
        """Return a status that may be wrong: a cold target reports warm."""
        if self.sim.now < self.refuses_until:
            return None
        return "draining" if self.draining_since is not None else "warm"


class Exchange:
    """One dispatch, from the write to the target to the holder's answer."""

    def __init__(self, sim, core, dispatch):
        self.sim = sim
        self.core = core
        self.dispatch = dispatch
        self.target = sim.targets[dispatch.target_id]
        self.fault = None
        self.is_ended = False
        self.has_reported = False
        sim.call_on_core(core, sim.now + sim.write_delay_s, self.send)

    def send(self):
        sim = self.sim
        if self.is_ended:
            return
        if self.target.faults:
            self.fault = self.target.faults.pop(0)
        code = self.target.receive(self)
        if code is not None:
            self.end(code)
            return
        spread = sim.service_spread and sim.random.expovariate(1 / sim.service_spread)
        sim.call_at(sim.now + SERVICE_S + spread, self.finish)
        sim.call_at(max(sim.now, self.dispatch.deadline), self.time_out)
        sim.run_step_hook("in flight", self.dispatch)

    def finish(self):
        fault = self.fault
        if fault in ("hang", "acknowledged hang"):
            return
        if fault in ("late", "connection_lost", "wrong_answer"):
            self.target.continue_orphaned_work(self)
            if fault == "late":
                self.sim.call_at(self.dispatch.deadline + 0.01, self._complete, "ok")
            else:
                self.end(fault)
        elif self.target.finish(self):
            self.end("ok")
            if fault == "doubled":
                self._complete("ok")

    def time_out(self):
        if self.is_ended:
            return
        if self.fault == "acknowledged hang":
            self.target.active.discard(self)
        else:
            self.target.continue_orphaned_work(self)
        self.end("timed_out")

    def cancel(self):
        """Cancel at the target, which continues the request unless it acknowledges."""
        if self.is_ended:
            return
        if self.fault == "cancel_lost":
            self.target.continue_orphaned_work(self)
            self.is_ended = True
            self.sim.call_at(self.dispatch.deadline, self._complete, "timed_out")
        else:
            self.target.active.discard(self)
            self.end("cancelled")

    def end(self, code):
        if not self.is_ended:
            self.is_ended = True
            self._complete(code)

    def _complete(self, code):
        sim, target = self.sim, self.target
        result = self.dispatch.attempt if code == "ok" else None
        answer = target.build_answer(code, result)
        if code in ("connection_lost", "timed_out", "connect_failed", "cancelled"):
            answer = TargetAnswer(code)
        answer.is_over = code == "timed_out" and self.fault == "acknowledged hang"
        # A client closes its connection after the first end of an exchange, so the
        # holder can learn nothing from a second one.
        reports_cold = answer.state == "cold" or code == "connection_lost"
        reports_cold = reports_cold and not self.has_reported
        self.has_reported = True
        sim.call_on_core(
            self.core,
            sim.now + NETWORK_S,
            self._deliver,
            answer,
            target.boot_number if reports_cold and target.is_cold else None,
        )

    def _deliver(self, answer, cold_boot):
        sim = self.sim
        actions = self.core.complete(self.dispatch, answer, sim.now)
        # Recorded before the actions, which may already send the next request.
        if cold_boot == self.target.boot_number:
            self.target.cold_known_to.add(self.core.name)
        sim.perform(self.core, actions)


class FakePermission:
    """A `Permission` that checks the leases and the holder of the simulation."""

    def __init__(self, sim, name):
        self.sim = sim
        self.name = name

    def check_target(self, target_id, now):
        if now >= self.sim.lease_until[self.name]:
            raise NoLeaseError
        if self.sim.holder != self.name:
            raise NotHolderError


class Simulation:
    """Two holders and their targets in virtual time, and the oracle's records."""

    def __init__(self, target_ids=("t1",), seed=1, write_delay_s=0.0):
        self.now = 100.0
        self.write_delay_s = write_delay_s
        self.load_remaining_ms = (LOAD_REMAINING_MS,)
        self.service_spread = 0.0
        self.tick_s = TICK_S
        self.random = random.Random(seed)
        self.violations = []
        self.targets = {name: FakeTarget(self, name) for name in target_ids}
        self.lease_until = {"A": float("inf"), "B": float("inf")}
        self.holder = "A"
        self.route = "A"
        self.epoch = 1
        self.cores_domain_out = set()
        self.paused_until = {"A": 0.0, "B": 0.0}
        self.submitted = {}
        self.answers = {}
        self.runs = {}
        self.key_runs = {}
        self.dispatch_limits = {}
        self.steps = {}
        self.exchanges = {}
        self.has_load = False
        self._events = []
        self._sequence = itertools.count()
        self._numbers = itertools.count(1)
        self.cores = {name: self._build_core(name) for name in "AB"}
        self._set_targets("A", self._list_settings())
        self.call_at(self.now, self._tick)

    def _build_core(self, name):
        core = HolderCore(FakePermission(self, name), self.random)
        core.name = name
        return core

    def _list_settings(self):
        return [target.settings() for target in self.targets.values()]

    # Time.

    def call_at(self, time, call, *arguments):
        self._push(time, time, None, call, arguments)

    def call_on_core(self, core, time, call, *arguments):
        """Call at a time, or in order of due time once a paused holder resumes."""
        self._push(time, time, core, call, arguments)

    def _push(self, time, due, core, call, arguments):
        event = (time, due, next(self._sequence), core, call, arguments)
        heapq.heappush(self._events, event)

    def run_until(self, time):
        while self._events and self._events[0][0] <= time:
            event_time, due, sequence, core, *rest = heapq.heappop(self._events)
            self.now = max(self.now, event_time)
            until = self.paused_until[core.name] if core else 0.0
            if self.now < until:
                heapq.heappush(self._events, (until, due, sequence, core, *rest))
            else:
                call, arguments = rest
                call(*arguments)
        self.now = time

    def _tick(self):
        for core in self.cores.values():
            if self.now >= self.paused_until[core.name]:
                self.perform(core, core.advance(self.now))
        self.call_at(self.now + self.tick_s, self._tick)

    # Requests.

    def submit(
        self,
        attempts,
        operation=SEARCH,
        team="a",
        remaining_ms=300,
        to=None,
        delay_s=0.0,
    ):
        """Send a group to the current holder and return the arguments of `deliver`."""
        number = next(self._numbers)
        target_ids = list(self.targets)
        items = [
            ShardItem(n, f"s{n}", target_ids[n % len(target_ids)]) for n in attempts
        ]
        key = f"key{number}" if operation == BOOKING else None
        before = self.now + remaining_ms / 1000 if key else None
        group = ShardGroup(
            f"r{number}",
            team,
            "ds",
            "v1",
            {},
            remaining_ms,
            items,
            operation,
            key,
            before,
        )
        name = to or self.holder or self.route
        for item in items:
            self.submitted[number, item.attempt] = name
        self.dispatch_limits[number] = before
        self.deliver(name, number, group, delay_s)
        return name, number, group

    def deliver(self, name, number, group, delay_s=0.0):
        core = self.cores[name]
        self.call_on_core(core, self.now + delay_s, self._submit, core, number, group)

    def _submit(self, core, number, group):
        self.perform(core, core.submit("e1", number, group, self.now, self.now))

    def cancel(self, name, number, group):
        core = self.cores[name]
        cancel = ShardCancel(group.request_id, [i.attempt for i in group.items])
        self.call_on_core(core, self.now, self._cancel, core, number, cancel)

    def _cancel(self, core, number, cancel):
        self.perform(core, core.cancel("e1", number, cancel, self.now))

    def perform(self, core, actions):
        for action in actions:
            if type(action) is Dispatch:
                self._dispatch(core, action)
            elif type(action) is Answer:
                self._record_answer(action)
            elif type(action) is Abort:
                self.exchanges[action.dispatch].cancel()
            elif type(action) is Probe:
                self.call_on_core(core, self.now + NETWORK_S, self._probe, core, action)

    def _probe(self, core, probe):
        state = self.targets[probe.target_id].read_status()
        self.perform(core, core.handle_status(probe.target_id, state, self.now))

    def _dispatch(self, core, dispatch):
        if self.holder != core.name or self.now >= self.lease_until[core.name]:
            self.report("permission", "sent without permission")
        if core.name in self.cores_domain_out:
            self.report("domain", "sent to a failure domain that is out")
        dispatch.set_wall_deadline(self.now, self.now)
        self.run_step_hook("between check and dispatch", dispatch)
        self.exchanges[dispatch] = Exchange(self, core, dispatch)

    # Load.

    def start_load(self):
        self.has_load = True
        self._load()

    def _load(self):
        if self.has_load:
            operation = self.random.choice((SEARCH, BOOKING))
            count = len(self.targets)
            attempts = range(2 * count)
            if operation == BOOKING:
                attempts = (self.random.randrange(count),)
            remaining_ms = self.random.choice(self.load_remaining_ms)
            self.submit(attempts, operation, remaining_ms=remaining_ms)
            self.call_at(self.now + LOAD_PERIOD_S, self._load)

    # Faults of the fleet.

    def pause(self, name, seconds):
        """Pause a holder; its lease expires if the pause is longer than the lease."""
        self.paused_until[name] = max(self.paused_until[name], self.now + seconds)
        if seconds > LEASE_S:
            self.expire_lease(name, self.now + LEASE_S)

    def expire_lease(self, name, time):
        """End a lease; the other holder takes over after the lease expiry wait."""
        self.lease_until[name] = min(time, self.lease_until[name])
        takeover_at = time + MAX_SHARD_TIME_S + SKEW_S
        if self.holder == name:
            self.call_at(takeover_at, self._take_over, name, self.epoch)

    def _take_over(self, name, epoch):
        if self.epoch == epoch:
            self._assign_targets(self._other(name))
            core = self.cores[name]
            self.call_on_core(core, self.now, self._set_targets, name, [])

    def move(self):
        """Move all targets to the other holder once this one has released them."""
        name, self.holder = self.holder, None
        self.epoch += 1
        core = self.cores[name]
        self.call_on_core(core, self.now, self._set_targets, name, [])
        self._await_release(name)

    def _await_release(self, name):
        if self.holder is not None:
            return
        if self.cores[name].released_epoch >= self.epoch:
            self._assign_targets(self._other(name))
        else:
            self.call_at(self.now + RELEASE_POLL_S, self._await_release, name)

    def _assign_targets(self, name):
        self.epoch += self.holder is not None
        self.holder = self.route = name
        self.lease_until[name] = float("inf")
        for target in self.targets.values():
            target.cold_known_to.add(name)
        core = self.cores[name]
        settings = self._list_settings()
        self.call_on_core(core, self.now, self._set_targets, name, settings)

    def _set_targets(self, name, settings):
        core = self.cores[name]
        self.perform(core, core.set_targets(settings, self.epoch, self.now))

    def _other(self, name):
        return "B" if name == "A" else "A"

    def take_domain_out(self, seconds):
        for core in self.cores.values():
            self.call_on_core(core, self.now, self._set_domain_out, core)
            self.call_on_core(core, self.now + seconds, self._set_domain_in, core)

    def _set_domain_out(self, core):
        self.cores_domain_out.add(core.name)
        self.perform(core, core.set_domain_out(DOMAIN, self.now))

    def _set_domain_in(self, core):
        self.cores_domain_out.discard(core.name)
        self.perform(core, core.set_domain_in(DOMAIN, self.now))
        for target in self.targets.values():
            target.cold_known_to.add(core.name)

    # Oracle.

    def report(self, kind, text):
        self.violations.append((kind, f"{self.now - 100:.3f} s: {text}"))

    def record_run(self, dispatch):
        attempt = dispatch.origin.number, dispatch.attempt
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        if self.runs[attempt] > 1:
            self.report("twice", f"attempt {attempt} ran twice")
        before = self.dispatch_limits.get(attempt[0])
        if before is not None and self.now >= before + MAX_SHARD_TIME_S + SKEW_S:
            self.report("late", f"{attempt} ran after its outcome became unknown")
        key = dispatch.group.idempotency_key
        if key is not None:
            self.key_runs[key] = self.key_runs.get(key, 0) + 1
            if self.key_runs[key] > 1:
                self.report("twice", f"{key} ran twice")

    def run_step_hook(self, step, dispatch):
        hook = self.steps.pop((step, dispatch.origin.number), None)
        if hook is not None:
            hook()

    def _record_answer(self, action):
        number, answer = action.origin.number, action.answer
        self.answers.setdefault((number, answer.attempt), []).append(answer)
        hook = self.steps.pop(("after answer", number), None)
        if hook is not None:
            # Queued, so that the holder's other actions at this time come first.
            self.call_at(self.now, hook)

    def settle(self):
        """Let all requests end, then run the checks that need complete records."""
        self.has_load = False
        self.tick_s = SETTLE_TICK_S
        self.run_until(self.now + SETTLE_S)
        for target in self.targets.values():
            target.faults = []
        self._check_service()
        for attempt in self.submitted:
            self._check_attempt(attempt)
        if any(core.invariant_violations for core in self.cores.values()):
            self.report("breach", "a holder violated an invariant")
        return self.violations

    def _check_service(self):
        """Check that each target serves requests again after the faults."""
        number = self.submit(range(len(self.targets)))[1]
        self.run_until(self.now + 1.0)
        for attempt in range(len(self.targets)):
            codes = [answer.code for answer in self.answers.get((number, attempt), [])]
            if codes != ["ok"]:
                self.report("service", f"no service after the faults: {codes}")

    def _check_attempt(self, attempt):
        answers = self.answers.get(attempt, [])
        if len(answers) != 1:
            codes = [answer.code for answer in answers]
            self.report("answers", f"attempt {attempt} got answers {codes}")
        runs = self.runs.get(attempt, 0)
        for answer in answers:
            if answer.outcome == "not_run" and runs:
                self.report(
                    "not_run", f"{attempt} ran, reported not run: {answer.code}"
                )
            if answer.outcome == "done" and not runs:
                self.report("done", f"{attempt} did not run")
            if answer.outcome == "done" and answer.result != attempt[1]:
                self.report("done", f"{attempt} got the answer of another")


class Subject:
    """The group of attempts to which a fault is applied."""

    def __init__(self, sim, operation):
        self.sim = sim
        self.operation = operation
        self.sent = None

    def submit(self):
        self.sent = self.sim.submit(
            (1,), self.operation, "b", SUBJECT_REMAINING_MS[self.operation]
        )
        return self.sent

    def repeat(self):
        if self.sent is not None:
            self.sim.deliver(*self.sent)
            self.sim.deliver(*self.sent)

    def cancel(self):
        sim = self.sim
        if self.sent is not None:
            sim.cancel(*self.sent)


def _set_exchange_fault(kind):
    def apply(sim, subject):
        for target in sim.targets.values():
            for exchange in target.active:
                exchange.fault = kind
            target.faults = [kind] * 4

    return apply


def _drain(sim, subject):
    for target in sim.targets.values():
        target.draining_since = sim.now
    sim.call_at(sim.now + 3.6, _end_drain, sim)


def _end_drain(sim):
    for target in sim.targets.values():
        target.draining_since = None
        target.restart()


def _refuse_connections(sim, subject):
    for target in sim.targets.values():
        target.refuses_until = sim.now + 0.5


def _restart(sim, subject):
    for target in sim.targets.values():
        target.restart()


def _become_cold(sim, subject):
    for target in sim.targets.values():
        target.become_cold()


def _cancel_without_acknowledgement(sim, subject):
    _set_exchange_fault("cancel_lost")(sim, subject)
    subject.cancel()


def _remove_and_regain(sim, subject):
    sim.move()
    sim.call_at(sim.now + 0.015, _move_back, sim)


def _move_back(sim):
    if sim.holder is not None:
        sim.move()


FAULTS = {
    "answer late": _set_exchange_fault("late"),
    "answer lost": _set_exchange_fault("connection_lost"),
    "answer doubled": _set_exchange_fault("doubled"),
    "answer with a wrong id": _set_exchange_fault("wrong_answer"),
    "time-out": _set_exchange_fault("hang"),
    "time-out acknowledged": _set_exchange_fault("acknowledged hang"),
    "shed": _set_exchange_fault("shedding"),
    "draining": _drain,
    "version missing": _set_exchange_fault("version_missing"),
    "connection refused": _refuse_connections,
    "restart to cold": _restart,
    "cold without a restart": _become_cold,
    "short pause": lambda sim, subject: sim.pause(sim.holder or "A", 0.7),
    "long pause": lambda sim, subject: sim.pause(sim.holder or "A", 4.0),
    "group delivered twice": lambda sim, subject: subject.repeat(),
    "cancel": lambda sim, subject: subject.cancel(),
    "cancel not acknowledged": _cancel_without_acknowledgement,
    "target removed": lambda sim, subject: sim.holder and sim.move(),
    "target removed and regained": lambda sim, subject: (
        sim.holder and _remove_and_regain(sim, subject)
    ),
    "domain out": lambda sim, subject: sim.take_domain_out(1.0),
    "lease lapsed": lambda sim, subject: sim.expire_lease(sim.holder or "A", sim.now),
}
STEPS = (
    "before submit",
    "queued",
    "between check and dispatch",
    "in flight",
    "after answer",
)


def run_scenario(fault, step, operation):
    """Apply a fault at a step of one request under load and return the violations."""
    sim = Simulation()
    sim.start_load()
    sim.run_until(sim.now + 0.8)
    subject = Subject(sim, operation)
    reached = []

    def apply():
        reached.append(sim.now)
        FAULTS[fault](sim, subject)

    if step == "before submit":
        if fault in ("group delivered twice", "cancel", "cancel not acknowledged"):
            # The copy or the cancel arrives before the group itself.
            subject.sent = ("A", 10**6, _build_overtaken_group(operation))
            sim.submitted[10**6, 1] = "A"
        apply()
        if subject.sent is None:
            subject.submit()
        else:
            sim.deliver(*subject.sent)
    elif step == "queued":
        number = subject.submit()[1]
        sim.run_until(sim.now)
        if sim.cores["A"].count_queued() and (number, 1) not in sim.runs:
            apply()
    else:
        number = next(sim._numbers)
        sim._numbers = itertools.count(number)
        sim.steps[step, number] = apply
        subject.submit()
    sim.run_until(sim.now + 4.5)
    if not reached:
        sim.report("scenario", f"step {step!r} was not reached")
    return sim.settle()


def _build_overtaken_group(operation):
    items = [ShardItem(1, "s1", "t1")]
    key = "late" if operation == BOOKING else None
    remaining_ms = SUBJECT_REMAINING_MS[operation]
    return ShardGroup("late", "b", "ds", "v1", {}, remaining_ms, items, operation, key)


def _skip_check_before_dispatch():
    """Skip the permission check only immediately before a dispatch."""
    start = HolderCore._start

    def start_unchecked(core, dispatch, now, actions):
        check = mock.patch.object(core, "_check_permission", lambda *_: None)
        with check:
            start(core, dispatch, now, actions)

    return mock.patch.object(HolderCore, "_start", start_unchecked)


def _build_new_origin(core, key, now, is_booking):
    return dispatches.OriginRequest(*key)


def _release_immediately(core):
    core._released_epoch = core._epoch


_ALL_CODES = frozenset(
    {*holdercore._FINISHED_CODES, "connection_lost", "timed_out", "wrong_answer"}
)

MECHANISMS = [
    # mechanism, patch that disables it, expected violation, faults that cause it
    (
        "cold limit",
        lambda: mock.patch.object(limits, "COLD_LIMIT", 2),
        "cold",
        ("restart to cold", "cold without a restart"),
    ),
    (
        "cold after a lost connection or a cold answer",
        lambda: mock.patch.object(limits.TargetLimiter, "restart", lambda *_: None),
        "cold",
        ("restart to cold", "cold without a restart"),
    ),
    (
        "slot counted until the deadline",
        lambda: mock.patch.object(holdercore, "_FINISHED_CODES", _ALL_CODES),
        "slots",
        ("answer lost", "answer late", "answer with a wrong id"),
    ),
    (
        "slot counted after a time-out without acknowledgement",
        lambda: mock.patch.object(holdercore, "_is_surely_over", lambda _: True),
        "slots",
        ("time-out",),
    ),
    (
        "slot counted for the skew of the clocks",
        lambda: mock.patch.object(holdercore, "SKEW_S", 0.0),
        "slots",
        ("answer lost", "answer late", "answer with a wrong id"),
    ),
    (
        "duplicate check",
        lambda: mock.patch.object(HolderCore, "_get_origin", _build_new_origin),
        "twice",
        ("group delivered twice",),
    ),
    (
        "permission check before dispatch",
        _skip_check_before_dispatch,
        "permission",
        ("lease lapsed", "long pause"),
    ),
    (
        "not-run proof",
        lambda: mock.patch.object(TargetAnswer, "is_provably_not_run", True),
        "not_run",
        ("answer lost", "answer late", "answer with a wrong id"),
    ),
    (
        "longest deadline of a dispatch",
        lambda: mock.patch.object(holdercore, "MAX_SHARD_TIME_S", 60.0),
        "slots",
        ("long pause",),
    ),
    (
        "release only when nothing is in flight",
        lambda: mock.patch.object(HolderCore, "_note_release", _release_immediately),
        "slots",
        ("target removed", "target removed and regained"),
    ),
    (
        "draining stops new work",
        lambda: mock.patch.object(health.TargetHealth, "_handle_draining"),
        "leaving",
        ("draining",),
    ),
    (
        "domain out stops new work",
        lambda: mock.patch.object(HolderCore, "set_domain_out", lambda *_: []),
        "domain",
        ("domain out",),
    ),
]


class MatrixTests(testtools.TestCase):
    """Applies every fault at every step to searches and bookings."""

    def test_matrix(self):
        """Guards against violations of guarantees in section 1.2 of the design page."""
        failed = {}
        for case in itertools.product(FAULTS, STEPS, (SEARCH, BOOKING)):
            violations = run_scenario(*case)
            if violations:
                failed[case] = violations[:3]
        self.assertEqual({}, failed)

    def test_oracle_detects_each_missing_mechanism(self):
        """Guards against an oracle or a matrix that detects nothing.

        Each mechanism is disabled in turn, and its violation must be found.
        """
        for name, disable, kind, faults in MECHANISMS:
            with disable():
                found = find_violation(kind, faults)
            self.assertIsNotNone(found, f"{name}: no {kind!r} violation seen")


def find_violation(kind, faults):
    """Return the first scenario with a violation of the kind, and the violation."""
    for case in itertools.product(faults, STEPS, (SEARCH, BOOKING)):
        for violation in run_scenario(*case):
            if violation[0] == kind:
                return case, violation
    return None


class GainTests(testtools.TestCase):
    """A target that drains while another VM becomes its holder."""

    def _drain_and_take_over(self):
        sim = Simulation()
        sim.start_load()
        FAULTS["draining"](sim, None)
        sim.run_until(sim.now + 0.4)
        FAULTS["long pause"](sim, None)
        sim.run_until(sim.now + 4.0)
        return [kind for kind, _ in sim.settle()]

    def test_new_holder_sends_nothing(self):
        """Guards against a new holder that sends before it knows of the draining."""
        self.assertEqual([], self._drain_and_take_over())

    def test_oracle_detects_a_new_holder_that_does_not_wait(self):
        """Guards against a test that passes if the holder doesn't await the status."""
        has_room = limits.TargetLimiter().has_room
        with mock.patch.object(HolderCore, "_has_room", lambda _, row: has_room(row)):
            self.assertIn("leaving", self._drain_and_take_over())


class LateBookingTests(testtools.TestCase):
    """A group of a booking that reaches its holder late."""

    def _run_booking(self, delay_s, pause_s):
        sim = Simulation()
        # The lease stays valid, so that the group is not refused for lack of one.
        sim.paused_until["A"] = sim.now + pause_s
        sent = sim.submit((1,), BOOKING, delay_s=delay_s)
        sim.run_until(sim.now + 5.0)
        codes = [answer.code for answer in sim.answers[sent[1], 1]]
        return codes, [kind for kind, _ in sim.settle()]

    def test_late_group_does_not_run(self):
        """Guards against a booking that runs after its outcome became unknown.

        The group is delayed in the network, or its holder is paused.
        """
        for delay_s, pause_s in ((4.0, 0.0), (0.0, 4.0), (0.35, 0.0)):
            codes, violations = self._run_booking(delay_s, pause_s)
            self.assertEqual(["deadline_passed"], codes)
            self.assertEqual([], violations)
        self.assertEqual((["ok"], []), self._run_booking(0.1, 0.0))

    def test_oracle_detects_a_holder_that_ignores_the_limit(self):
        """Guards against an oracle that accepts a late booking."""
        submit = HolderCore.submit

        def submit_unlimited(core, sender, number, group, now, wall):
            group.dispatch_before = None
            return submit(core, sender, number, group, now, wall)

        for delay_s, pause_s in ((4.0, 0.0), (0.0, 4.0)):
            with mock.patch.object(HolderCore, "submit", submit_unlimited):
                self.assertIn("late", self._run_booking(delay_s, pause_s)[1])


class OverloadTests(testtools.TestCase):
    """Throughput under more load than the target can serve."""

    def test_most_of_the_capacity_is_used(self):
        """Guards against a throughput collapse under overload.

        A request sent too late times out, and occupies its slot without an answer.
        """
        sim = Simulation()
        sim.load_remaining_ms = (150,)
        sim.service_spread = SERVICE_S / 2
        sim.start_load()
        sim.run_until(sim.now + 10.0)
        answers = [answer for group in sim.answers.values() for answer in group]
        done = sum(answer.code == "ok" for answer in answers)
        # Two slots with 30 ms per request serve 66 requests/s; 100 are sent.
        self.assertGreater(done / 10.0, 0.8 * 66)
        self.assertEqual([], sim.settle())
