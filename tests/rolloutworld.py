"""A fleet with rollouts in virtual time: store, VMs, targets and callers."""

import heapq
import itertools
import random

import orjson

from tarragonchute.fleet import VmInfo
from tarragonchute.rolloutagents import RolloutAgent
from tarragonchute.rolloutcoordinator import TargetSummary
from tarragonchute.rolloutevidence import Outcome
from tarragonchute.rollouts import Rollouts
from tarragonchute.rolloutstates import (
    ERA_BITS,
    Phase,
    RolloutLimits,
    RolloutOrder,
    decode_state,
)
from tarragonchute.servicerollouts import SlackPart

STORE_DELAY_S = 0.3
"""Time until a change of the store reaches the VMs."""

PEER_DELAY_S = 0.01
TICK_S = 0.1
USUAL_S = 0.02
DURATION_S = 12.0
SHARE, SLACK = 0.1, 50.0


class Target:
    """A target as far as rollouts look at it; also its registration."""

    def __init__(self, version):
        self.software_version = version

    @property
    def registration(self):
        """The target's registration."""
        return self


class SimulatedVm:
    """One process of a VM with its view of the store.

    Attributes
    ----------
    is_paused, is_cut_from_store, is_cut_from_peers : bool
    holds_writes : bool
        Whether it is paused between judging and writing; its writes are kept.
    """

    def __init__(self, world, number, process=1):
        self.world = world
        domain = "abc"[number % 3]
        self.info = VmInfo(f"vm-{number}", domain, f"10.0.0.{number + 1}:1")
        self.rollouts = Rollouts(
            RolloutLimits(SHARE, SLACK),
            lambda service: SlackPart(1 / world.size, number, world.size),
        )
        self.rollouts.last_heard_at = lambda: self.heard_at
        self.agent = RolloutAgent(
            self.info.vm_id,
            f"p{process}",
            self.rollouts,
            lambda now: self.list_vms(),
            lambda rollout: world.summarize(rollout),
        )
        self.list_vms = lambda: [vm.info for vm in world.listed_vms]
        self.heard_at = world.now
        # Of the entries that this VM knows.
        self.revisions = {}
        # Changes on their way, which arrive in order.
        self.changes = []
        self.is_paused = False
        self.is_cut_from_store = False
        self.is_cut_from_peers = False
        self.holds_writes = False
        self.held = []

    def apply(self, key, value, revision):
        """Apply one entry of the store."""
        now = self.world.now
        self.revisions[key] = max(revision, self.revisions.get(key, 0))
        if key == "order":
            order = value and RolloutOrder("s", *value, revision)
            self.rollouts.set_order("s", order, now)
        elif key == "state":
            state = value and decode_state(value)
            self.rollouts.set_state("s", state, now, revision)

    def tick(self):
        """Do the periodic work, as `rolloutexchange` does."""
        world = self.world
        if not self.is_cut_from_store and world.is_store_up:
            self.heard_at = world.now
            while self.changes and self.changes[0][0] <= world.now:
                self.apply(*self.changes.pop(0)[1:])
        messages, changes = self.agent.advance(world.now)
        for message in messages:
            world.post(self, message)
        for change in changes:
            revisions = [self.revisions.get(key, 0) for key in ("state", "status")]
            if self.holds_writes:
                self.held.append((change, revisions))
            else:
                world.write(self, change, revisions)


class World:
    """The simulation.

    Parameters
    ----------
    answer : callable
        Takes version, route and time since the order; returns whether the request
        succeeds and how long it takes, or None if it is refused.
    size : int
        Number of VMs.
    rate : float
        Requests per second to the service, over all VMs.

    Attributes
    ----------
    events : list of (float, str, str)
        Time, VM and version of each request sent.
    bad_answers : list of float
        Times of the new version's bad answers.
    statuses : list of (float, str)
        States written for the operator.
    lost_answers : int
        How many of the next writes take effect without an answer.
    """

    def __init__(self, answer, size=6, rate=24.0, seed=1, versions=("v1", "v2")):
        self.now = 100.0
        self.size = size
        self.rate = rate
        self.answer = answer
        self.random = random.Random(seed)
        self.store = {}
        self.revision = 1
        self.is_store_up = True
        self.targets = [Target(version) for version in versions for _ in range(3)]
        self.events = []
        self.bad_answers = []
        self.statuses = []
        self.lost_answers = 0
        self.ordered_at = None
        self._queue = []
        self._numbers = itertools.count()
        self.vms = [SimulatedVm(self, number) for number in range(size)]
        self.listed_vms = list(self.vms)
        old = [target for target in self.targets if target.software_version == "v1"]
        for vm in self.vms:
            vm.rollouts.filter("s", old, old)

    def order(self, version="v2", duration_s=DURATION_S):
        """Write an order, or withdraw it if the version is None."""
        self.ordered_at = self.now
        self.put("order", version and (version, duration_s))

    def put(self, key, value):
        """Write a key, and send the change to all VMs."""
        self.revision += 1
        self.store[key] = (value, self.revision)
        if key == "status":
            self.statuses.append((self.now - self.ordered_at, value))
        for vm in self.vms:
            delay_s = STORE_DELAY_S * (0.5 + self.random.random())
            vm.changes.append((self.now + delay_s, key, value, self.revision))

    def get_revisions(self):
        """Return the revisions of state and status."""
        return [self.store.get(key, (None, 0))[1] for key in ("state", "status")]

    def write(self, vm, change, revisions):
        """Write a state under the condition that the revisions are still the same."""
        if vm.is_cut_from_store or not self.is_store_up:
            return
        if self.get_revisions() == revisions:
            self.put("state", change.state.encode())
            if change.status is not None:
                self.put("status", change.status)
            if self.lost_answers:
                self.lost_answers -= 1
                return
        # After a conflict, the VM reads both keys.
        for key in ("state", "status"):
            vm.revisions[key] = 0
            if key in self.store:
                vm.apply(key, *self.store[key])

    def restore(self, keys):
        """Begin a new era with only these keys; the operator writes the order again."""
        self.revision = ((self.revision >> ERA_BITS) + 1 << ERA_BITS) + 1
        order, _ = self.store["order"]
        self.store = {key: self.store[key] for key in keys}
        for vm in self.vms:
            if "state" not in keys:
                vm.changes.append((self.now + 0.1, "state", None, self.revision))
            # VMs retain the order that the copy lacks; see `revisions`.
            vm.changes.append((self.now + 0.1, "order", order, 0))
        for key in keys:
            self.put(key, self.store[key][0])
        self.put("order", order)

    def post(self, vm, message):
        """Deliver a message to another VM after a moment, unless one is cut off."""
        data = orjson.dumps(message.body)
        receiver = next((v for v in self.vms if v.info.vm_id == message.vm.vm_id), None)
        if receiver is None or vm.is_cut_from_peers or receiver.is_cut_from_peers:
            vm.agent.record_failure(message)
            return
        self.call_later(PEER_DELAY_S, self._receive, receiver, data)

    def _receive(self, vm, data):
        if not vm.is_paused:
            vm.agent.receive(orjson.loads(data), self.now)

    def summarize(self, rollout):
        """Return the `TargetSummary` of the registered targets."""
        versions = [target.software_version for target in self.targets]
        new = versions.count(rollout.order.version)
        old = sum(version in rollout.base for version in versions)
        return TargetSummary(old, new, new)

    def restart(self, vm, delay_s=0.3):
        """End the process of a VM, and start the next one from the store's content."""
        self.kill(vm)

        def start():
            number = int(vm.info.vm_id.partition("-")[2])
            process = SimulatedVm(self, number, 2)
            process.rollouts.filter("s", self.targets, self.targets)
            for key in ("order", "state", "status"):
                if key in self.store:
                    process.apply(key, *self.store[key])
            self.vms.append(process)
            self.listed_vms.append(process)
            if vm in self.listed_vms:
                self.listed_vms.remove(vm)

        self.call_later(delay_s, start)

    def kill(self, vm, lease_s=12.0):
        """End the process of a VM; its key stays in the list until the lease ends."""
        self.vms.remove(vm)
        self.call_later(
            lease_s, lambda: vm in self.listed_vms and self.listed_vms.remove(vm)
        )

    def get_coordinators(self):
        """Return the coordinator and the deputy."""
        by_id = {vm.info.vm_id: vm for vm in self.vms}
        agent = self.vms[0].agent
        agent._update_vms({"s"}, self.now)
        return [by_id[info.vm_id] for info in agent._choose_coordinators("s")]

    def call_later(self, delay_s, function, *arguments):
        """Call a function at a later time."""
        at = self.now + delay_s
        heapq.heappush(self._queue, (at, next(self._numbers), function, arguments))

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self._run_tick()
            self.now += TICK_S

    def _run_tick(self):
        until = self.now + TICK_S
        for _ in range(self._draw_requests()):
            self.call_later(self.random.random() * TICK_S, self._send)
        while self._queue and self._queue[0][0] <= until:
            at, _, function, arguments = heapq.heappop(self._queue)
            self.now, start = max(at, self.now), self.now
            function(*arguments)
            self.now = max(start, self.now)
        self.now = until - TICK_S
        for vm in list(self.vms):
            if not vm.is_paused:
                vm.tick()

    def _draw_requests(self):
        expected = self.rate * TICK_S
        return int(expected) + (self.random.random() < expected % 1)

    def _send(self):
        vms = [vm for vm in self.vms if not vm.is_paused]
        vm = self.random.choice(vms)
        route = self.random.choice(("r1", "r2"))
        rollouts = vm.rollouts
        usable = rollouts.filter("s", self.targets, self.targets)
        choices = rollouts.choose_version("s", self.now)
        versions = [target.software_version for target in usable]
        if choices is not None:
            lists = [[v for v in versions if v in choice] for choice in choices]
            versions = next((found for found in lists if found), [])
        if not versions:
            return
        version = self.random.choice(versions)
        self.events.append((self.now, vm.info.vm_id, version))
        rollouts.record_sent("s", version)
        since_order_s = self.now - (self.ordered_at or self.now)
        answer = self.answer(version, route, since_order_s)
        if answer is None:
            rollouts.record(route, "s", version, Outcome.NOT_RUN, 0.0, self.now)
            return
        is_good, factor = answer
        elapsed_s = USUAL_S * factor * self.random.lognormvariate(0.0, 0.5)
        outcome = Outcome.GOOD if is_good else Outcome.FAILED
        if version == "v2" and (not is_good or factor > 2):
            self.call_later(elapsed_s, lambda: self.bad_answers.append(self.now))
        self.call_later(elapsed_s, self._end, vm, route, version, outcome, elapsed_s)

    def _end(self, vm, route, version, outcome, elapsed_s):
        vm.rollouts.record(route, "s", version, outcome, elapsed_s, self.now)

    def count_sent(self, version, since=0.0, until=1e9):
        """Return the number of requests sent to a version, by time since the order."""
        return sum(
            sent == version and since <= at - self.ordered_at < until
            for at, _, sent in self.events
        )

    def get_status(self):
        """Return the last status, or None."""
        return self.statuses[-1][1] if self.statuses else None

    def get_phase(self):
        """Return the phase in the store, or None."""
        value = self.store.get("state", (None, 0))[0]
        return value and Phase(orjson.loads(value)["phase"])
