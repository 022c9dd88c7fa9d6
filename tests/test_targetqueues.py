"""Tests of the order in which attempts wait, in virtual time and without network.

The targets of the load patterns run two requests each and queue some more, as those of
the deployment with customers do.
"""

import collections
import heapq
import random

import testtools

from tarragonchute.targetadmission import (
    QueuePolicy,
    RefusalReason,
    TargetAdmission,
)
from tarragonchute.targetloads import (
    BOUND_FACTOR,
    RECOVERY_S_PER_ATTEMPT,
    WORK_HALF_LIFE_S,
    TargetLoad,
)
from tarragonchute.targetqueues import CustomerShares, TargetQueue, WaitTerms

URGENT_WORK_S = 0.0057
LONG_WORK_S = 0.0165
TIME_LIMIT_S = 0.4
CONNECTIONS = 16


class FakeExchange:
    """One attempt, with what the simulation records of it."""

    def __init__(self, terms, work_s, arrived_at):
        self.terms = terms
        self.owner = None
        self.mean_reply_time_s = LONG_WORK_S
        self.has_waited_for_room = True
        self.work_s = work_s
        self.started_at = self.arrived_at = arrived_at
        self.sent_at = None
        self.ended_at = None
        self.refusal = None


class SimulatedTarget:
    """A target with slots and a queue of its own, and this VM's queue before it."""

    def __init__(self, policy, slots=2, slowness=1.0):
        self.admission = TargetAdmission(policy, "s")
        self.queue = self.admission.queue
        self.admission.load.slots = slots
        self.admission.load.is_assigned = True
        self.slowness = slowness
        self.in_flight = 0
        self.free_at = [0.0] * slots

    def send(self, exchange, now):
        """Send an attempt; return when it ends."""
        self.in_flight += 1
        exchange.sent_at = now
        free_at = heapq.heappop(self.free_at)
        ended_at = max(free_at, now) + exchange.work_s * self.slowness
        heapq.heappush(self.free_at, ended_at)
        return ended_at


class Simulation:
    """One service, and the leader that sends all its requests."""

    def __init__(self, targets=3, slowness=(), seed=1):
        policy = QueuePolicy()
        policy.is_active = True
        self.targets = [
            SimulatedTarget(policy, slowness=dict(slowness).get(index, 1.0))
            for index in range(targets)
        ]
        self.random = random.Random(seed)
        self.exchanges = []
        self._events = []
        self._count = 0

    def add_requests(self, name, rate, until, priority=1, weight=1.0, since=0.0):
        """Add the requests of a customer, `rate` a second at random times."""
        work_s = LONG_WORK_S if priority else URGENT_WORK_S
        now = since + self.random.expovariate(rate)
        while now < until:
            terms = WaitTerms(priority, name, weight, now + TIME_LIMIT_S)
            self._push(now, "arrive", FakeExchange(terms, work_s, now), None)
            now += self.random.expovariate(rate)

    def lose_target(self, now):
        """Let the last target go down; what waits for it goes elsewhere."""
        self._push(now, "lose", None, None)

    def run(self):
        """Run until all requests have ended."""
        while self._events:
            now, _, kind, exchange, target = heapq.heappop(self._events)
            if kind == "arrive":
                self.exchanges.append(exchange)
                self._place(exchange, now)
            elif kind == "lose":
                lost = self.targets.pop()
                for waiting in lost.queue.take_all():
                    self._place(waiting, now)
            elif target in self.targets:
                self._end(exchange, target, now)
        return self

    def share_served(self, *names):
        """Return the share of the requests of these customers that were answered."""
        own = [e for e in self.exchanges if e.terms.customer_name in names or not names]
        return sum(e.ended_at is not None for e in own) / len(own)

    def list_customers(self):
        return sorted({e.terms.customer_name for e in self.exchanges})

    def list_answer_times(self, priority):
        """Return the sorted answer times of the requests of a priority."""
        return sorted(
            e.ended_at - e.arrived_at
            for e in self.exchanges
            if e.terms.priority == priority and e.ended_at is not None
        )

    def _push(self, at, *event):
        self._count += 1
        heapq.heappush(self._events, (at, self._count, *event))

    def _place(self, exchange, now):
        self.targets[0].admission.record_start(exchange, now)
        for target in sorted(self.targets, key=lambda t: t.in_flight + len(t.queue)):
            bound = target.admission.compute_bound(CONNECTIONS, now)
            if target.in_flight + len(target.queue) < bound:
                self._send(target, exchange, now)
                return
            exchange.refusal = target.admission.find_refusal(
                exchange, target.in_flight, CONNECTIONS, now
            )
            if exchange.refusal is None:
                target.admission.offer(exchange, now)
                return

    def _send(self, target, exchange, now):
        target.admission.record_sent(exchange)
        self._push(target.send(exchange, now), "end", exchange, target)

    def _end(self, exchange, target, now):
        admission = target.admission
        admission.record_reply(exchange, 200, target.in_flight, now)
        target.in_flight -= 1
        if now <= exchange.terms.deadline:
            exchange.ended_at = now
        for expired in admission.take_expired(target.in_flight, CONNECTIONS, now):
            expired.refusal = RefusalReason.EXPIRED
        while waiting := admission.take(target.in_flight, CONNECTIONS, now):
            self._send(target, waiting, now)


class LoadPatternTests(testtools.TestCase):
    """The patterns under which there is no room for all requests."""

    def add_usual_load(self, simulation, rate, until=5.0, customers=20):
        """Add customers with the same rate; every fourth one is urgent."""
        for number in range(customers):
            priority = 0 if number % 4 == 0 else 1
            name = f"c{number}"
            simulation.add_requests(name, rate / customers, until, priority)

    def check_fairness(self, simulation, names=()):
        """Check that no customer is served less than a quarter as often as all."""
        overall = simulation.share_served()
        for name in names or simulation.list_customers():
            served = simulation.share_served(name)
            self.assertGreaterEqual(served, overall / 4, name)

    def test_usual_load(self):
        """Guards against refusals while there is room."""
        simulation = Simulation()
        self.add_usual_load(simulation, 200)
        simulation.run()
        self.assertEqual(1.0, simulation.share_served())

    def test_one_customer_at_seven_times_its_usual(self):
        """Guards against one customer that takes the room of all others."""
        simulation = Simulation()
        self.add_usual_load(simulation, 240)
        simulation.add_requests("large", 7 * 60, 5.0, weight=5.0)
        simulation.run()
        others = [name for name in simulation.list_customers() if name != "large"]
        self.assertGreater(simulation.share_served(*others), 0.99)
        self.assertGreater(simulation.share_served("large"), 0.3)
        self.check_fairness(simulation)

    def test_many_users_at_once_on_one_route(self):
        """Guards against urgent requests that wait behind a crowd of others."""
        simulation = Simulation()
        self.add_usual_load(simulation, 150)
        for number in range(200):
            simulation.add_requests(f"user{number}", 20, 2.2, since=2.0)
        simulation.run()
        urgent = simulation.list_answer_times(0)
        self.assertGreater(simulation.share_served("c0", "c4", "c8"), 0.99)
        self.assertLess(urgent[int(0.99 * len(urgent))], 0.059)
        late = [e for e in simulation.exchanges if e.sent_at and not e.ended_at]
        self.assertLess(len(late), 0.02 * len(simulation.exchanges))

    def test_both_while_a_third_of_the_targets_is_lost(self):
        """Guards against the same with less room than the usual load needs."""
        simulation = Simulation()
        self.add_usual_load(simulation, 240)
        simulation.add_requests("large", 7 * 60, 5.0, weight=5.0)
        for number in range(100):
            simulation.add_requests(f"user{number}", 10, 2.2, since=2.0)
        simulation.lose_target(1.0)
        simulation.run()
        usual = [f"c{number}" for number in range(20)]
        self.check_fairness(simulation, usual)
        urgent = [f"c{number}" for number in range(0, 20, 4)]
        self.assertGreater(simulation.share_served(*urgent), 0.97)
        self.assertGreater(simulation.share_served("large"), 0.15)

    def test_overload_by_urgent_requests(self):
        """Guards against starving the customers of a less urgent priority."""
        simulation = Simulation()
        simulation.add_requests("urgent", 1500, 4.0, priority=0)
        for number in range(10):
            simulation.add_requests(f"c{number}", 20, 4.0)
        simulation.run()
        self.check_fairness(simulation)
        overall = simulation.share_served()
        self.assertGreater(simulation.share_served("urgent"), overall)

    def test_customers_without_an_allowance(self):
        """Guards against starving customers whose weight is 1 for want of a rate."""
        simulation = Simulation()
        for number in range(5):
            simulation.add_requests(f"rated{number}", 120, 4.0, weight=120.0)
        for number in range(3):
            simulation.add_requests(f"unrated{number}", 20, 4.0)
        simulation.run()
        self.assertLess(simulation.share_served(), 0.7)
        self.check_fairness(simulation)

    def test_one_target_at_a_fifth_of_its_speed(self):
        """Guards against attempts that wait at a slow target beyond their limit."""
        simulation = Simulation(slowness=[(0, 5.0)])
        self.add_usual_load(simulation, 240)
        simulation.run()
        self.assertGreater(simulation.share_served(), 0.99)


class OrderTests(testtools.TestCase):
    """Which of the waiting attempts goes first."""

    def build(self, *rows):
        """Return a queue with rows of (name, priority, is_extra) or customer names."""
        queue = TargetQueue()
        for number, row in enumerate(rows):
            name, priority, is_extra = (row, 1, False) if isinstance(row, str) else row
            weight = 3.0 if name == "heavy" else 1.0
            exchange = f"{name}{number}"
            queue.offer(exchange, priority, name, weight, 9.0, 0.0, is_extra)
        return queue

    def drain(self, queue, **options):
        taken = []
        while (exchange := queue.take(0.0, **options)) is not None:
            taken.append(exchange)
        return taken

    def test_first_come_without_pressure(self):
        """Guards against another order than without customers while there is room."""
        queue = self.build("a", ("b", 0, False), ("c", 1, True), "a")
        self.assertEqual(["a0", "b1", "c2", "a3"], self.drain(queue, is_pressed=False))

    def test_hedges_and_retries_go_last(self):
        """Guards against hedges and retries that overtake first attempts."""
        queue = self.build(("a", 0, True), "b", ("a", 0, True), "b", ("c", 0, False))
        self.assertEqual(["c4", "b1", "b3", "a0", "a2"], self.drain(queue))

    def test_customers_take_turns_by_weight(self):
        """Guards against service by how much a customer asks for."""
        queue = self.build(*["many"] * 9, *["heavy"] * 9, *["few"] * 2)
        first = collections.Counter(
            name.rstrip("0123456789") for name in self.drain(queue)[:10]
        )
        self.assertEqual({"heavy": 6, "many": 2, "few": 2}, first)

    def test_idle_time_earns_nothing(self):
        """Guards against a customer that was idle and then takes all the room."""
        queue = self.build(*["a"] * 20)
        for _ in range(10):
            queue.take(0.0)
        for number in range(10):
            queue.offer(f"new{number}", 1, "new", 1.0, 9.0, 0.0)
        taken = self.drain(queue)[:10]
        self.assertIn(sum(name.startswith("new") for name in taken), (4, 5, 6))

    def test_removed_attempts_cost_nothing(self):
        """Guards against a customer that pays for requests whose callers left."""
        queue = self.build("a", "a", "a", "b", "b")
        for exchange in ("a0", "a1"):
            queue.remove(exchange)
        self.assertEqual(["a2", "b3", "b4"], self.drain(queue))
        self.assertEqual(0, len(queue))

    def test_attempts_from_before_go_first(self):
        """Guards against losing attempts whose sending failed, or from before a change.

        They waited when the configuration had no customers yet.
        """
        queue = self.build("a", ("b", 0, False))
        queue.append("old")
        queue.put_back(queue.take(0.0))
        queue.remove("a0")
        self.assertEqual(["old", "b1"], self.drain(queue))
        queue.append("old")
        queue.put_back("returned")
        self.assertEqual(["returned", "old"], queue.take_all())

    def test_queues_of_one_service_share_the_accounts(self):
        """Guards against a customer that gets its share once at each target."""
        shares = CustomerShares()
        first, second = TargetQueue(shares), TargetQueue(shares)
        for number in range(4):
            first.offer(f"a{number}", 1, "a", 1.0, 9.0, 0.0)
        second.offer("a9", 1, "a", 1.0, 9.0, 0.0)
        second.offer("b9", 1, "b", 1.0, 9.0, 0.0)
        first.take(0.0)
        self.assertEqual("b9", second.take(0.0))

    def test_count_ahead_matches_the_order(self):
        """Guards against wrong estimates of the wait, and so wrong refusals."""
        rows = ["a", "a", "b", ("c", 0, False), ("a", 1, True), "heavy", "heavy"]
        for name, priority, is_extra in [
            ("a", 1, False),
            ("d", 1, False),
            ("d", 0, False),
            ("d", 1, True),
        ]:
            queue = self.build(*rows)
            expected = queue.count_ahead(WaitTerms(priority, name, 1.0, 9.0, is_extra))
            queue.offer("new", priority, name, 1.0, 9.0, 0.0, is_extra)
            self.assertEqual(expected, self.drain(queue).index("new"), name)

    def test_attempts_without_time_are_not_taken(self):
        """Guards against sending what can no longer be answered in time."""
        queue = TargetQueue()
        queue.offer("late", 0, "a", 1.0, 1.0, 0.0)
        queue.offer("good", 1, "a", 1.0, 2.0, 0.0)
        self.assertEqual("good", queue.take(0.9, needed_s=0.2))
        self.assertEqual(["late"], queue.take_expired(0.9, 0.2))


class BoundTests(testtools.TestCase):
    """Attempts in flight at one target, and refusals before it."""

    def test_bound_of_a_leader(self):
        """Guards against a target that idles, or whose queue decides the order."""
        load = TargetLoad(2, is_assigned=True)
        self.assertEqual(2 * BOUND_FACTOR, load.compute_bound(0.0))
        for _ in range(5):
            load.record_refusal(1.0)
        self.assertEqual(2, load.compute_bound(1.0))

    def test_backpressure(self):
        """Guards against VMs with few requests that overrun a full target."""
        load = TargetLoad(2)
        load.record_refusal(0.0)
        self.assertEqual(2, load.compute_bound(0.0))
        load.record_refusal(0.0)
        self.assertEqual(1, load.compute_bound(0.0))
        self.assertEqual(4, load.compute_bound(3 * RECOVERY_S_PER_ATTEMPT))

    def test_fewer_slots(self):
        """Guards against a negative bound if a target under pressure loses slots."""
        load = TargetLoad(8)
        for _ in range(6):
            load.record_refusal(0.0)
        load.slots = 2
        self.assertEqual(1, load.compute_bound(0.0))

    def test_slow_replies(self):
        """Guards against a slow target that gets as many attempts as the others."""
        load = TargetLoad(2, is_assigned=True)
        for _ in range(4):
            load.record_reply(0.165, LONG_WORK_S, 4, 0.0)
        self.assertEqual(2, load.compute_bound(0.0))
        for _ in range(5):
            load.record_reply(LONG_WORK_S, LONG_WORK_S, 2, 0.0)
        self.assertEqual(4, load.compute_bound(0.0))

    def test_target_recovers_from_one_slow_reply(self):
        """Guards against a target that gets no more attempts after one slow reply."""
        admission = TargetAdmission(QueuePolicy(), "s")
        terms = WaitTerms(1, "a", 1.0, 1.0 + TIME_LIMIT_S)
        exchange = FakeExchange(terms, LONG_WORK_S, 1.0)
        admission.load.record_reply(2.0, LONG_WORK_S, 1, 1.0)
        admission.queue.offer(exchange, 1, "a", 1.0, terms.deadline, 1.0)
        self.assertEqual([], list(admission.take_expired(0, CONNECTIONS, 1.0)))
        self.assertIs(exchange, admission.take(0, CONNECTIONS, 1.0))

    def test_pause_is_not_work(self):
        """Guards against refusals after a pause of this VM in which replies waited."""
        policy = QueuePolicy()
        admission = TargetAdmission(policy, "s")
        exchange = FakeExchange(WaitTerms(1, "a", 1.0, 9.0), LONG_WORK_S, 0.0)
        exchange.sent_at = 0.0
        admission.record_reply(exchange, 200, 1, LONG_WORK_S)
        policy.get_pause_s = lambda now: 3.0
        admission.record_reply(exchange, 200, 1, 3.0)
        self.assertAlmostEqual(
            LONG_WORK_S, admission.load.estimate_answer_s(0, 0.0, LONG_WORK_S)
        )

    def test_estimate_ages(self):
        """Guards against refusals for a slow phase of which no reply tells any more."""
        load = TargetLoad(2)
        load.record_reply(2.0, LONG_WORK_S, 1, 1.0)
        self.assertEqual(2.0, load.estimate_answer_s(1, 0.0, 1.0))
        self.assertEqual(1.0, load.estimate_answer_s(1, 0.0, 1.0 + WORK_HALF_LIFE_S))
        self.assertAlmostEqual(
            LONG_WORK_S, load.estimate_answer_s(1, LONG_WORK_S, 100.0)
        )

    def test_refusals(self):
        """Guards against waits that cannot end in time, and late cold requests."""
        admission = TargetAdmission(QueuePolicy(), "s")
        admission.load.slots = 2
        for number in range(20):
            admission.queue.offer(number, 1, "a", 1.0, 9.0, 0.0)
        for terms, expected in (
            (WaitTerms(1, "a", 1.0, 0.1), RefusalReason.TOO_LATE),
            (WaitTerms(0, "a", 1.0, 0.1), None),
            (WaitTerms(0, "a", 1.0, 9.0, is_reserved=True), RefusalReason.RESERVATION),
        ):
            exchange = FakeExchange(terms, LONG_WORK_S, 0.0)
            refusal = admission.find_refusal(exchange, 4, CONNECTIONS, 0.0)
            self.assertIs(expected, refusal)
