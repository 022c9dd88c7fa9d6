"""A fleet of VMs that share allowances, in virtual time and without network."""

import heapq
import itertools
import random

from tarragonchute.allowances import Allowances
from tarragonchute.customers import Customer
from tarragonchute.errors import AllowanceExceededError
from tarragonchute.fleet import KeyLease, VmInfo
from tarragonchute.gatewaymetrics import GatewayMetrics
from tarragonchute.grantmessages import decode_grant_message
from tarragonchute.grantroles import RoleTable
from tarragonchute.grants import AllowanceBounds, GrantBook

WINDOW_S = 5.0
BOUNDS = AllowanceBounds(WINDOW_S, 0.1, 20)
DELAY_S = 0.001
SWEEP_S = 0.05
GOAL_S = 0.1


class FakeLinks:
    """Carries asks and answers between the VMs of a `SimulatedFleet`."""

    def __init__(self, fleet, own_id):
        self.fleet = fleet
        self.own_id = own_id
        self.suspect_until = {}

    def set_vms(self, vms_by_id, now):
        pass

    def is_usable(self, vm_id, now):
        return now >= self.suspect_until.get(vm_id, 0.0)

    def send(self, vm_id, ask, now):
        self.fleet.messages += 1
        payload = ask.encode()
        self.fleet.call_later(DELAY_S, lambda: self.deliver(vm_id, payload))
        return True

    def deliver(self, vm_id, payload):
        fleet = self.fleet
        vm = fleet.vms.get(vm_id)
        if vm is not None and fleet.now < vm.paused_until:
            delay_s = vm.paused_until - fleet.now
            fleet.call_later(delay_s, lambda: self.deliver(vm_id, payload))
            return
        if vm is None or fleet.is_cut(self.own_id, vm_id):
            return
        answer = vm.book.answer(decode_grant_message(payload), fleet.now).encode()

        def deliver_answer():
            asker = fleet.vms.get(self.own_id)
            if asker is not None and not fleet.is_cut(self.own_id, vm_id):
                self.suspect_until.pop(vm_id, None)
                message = decode_grant_message(answer)
                asker.allowances.handle_answer(vm_id, message, fleet.now)

        fleet.call_later(DELAY_S + vm.delay_s, deliver_answer)

    def record_timeout(self, vm_id, now):
        self.suspect_until[vm_id] = now + 0.5

    def sweep(self, now):
        pass


class SimulatedVm:
    """One VM; `is_restart` if its key was in the store when it started."""

    def __init__(self, fleet, info, is_restart):
        self.info = info
        self.paused_until = 0.0
        self.delay_s = 0.0
        self.metrics = GatewayMetrics()
        self.key_lease = KeyLease(since=-1e9 if is_restart else fleet.now)
        self.roles = RoleTable(info.vm_id, self.key_lease)
        source = random.Random(info.vm_id)
        self.book = GrantBook(info.vm_id, info.domain, BOUNDS, self.roles, source)
        self.links = FakeLinks(fleet, info.vm_id)
        self.allowances = Allowances(
            info, self.roles, self.book, self.links, self.metrics, source
        )


class SimulatedFleet:
    """VMs with callers, an event queue, and a record of all requests.

    `is_in_touch` says whether a VM renews the lease of its key.
    """

    def __init__(self, vm_count=58, domains=3, seed=1, is_restart=True):
        self.now = 100.0
        self.random = random.Random(seed)
        self.events = []
        self.sequence = itertools.count()
        self.messages = 0
        self.cuts = set()
        self.out_of_touch = set()
        self.infos = {
            f"vm{n}": VmInfo(f"vm{n}", f"d{n % domains}", "", "127.0.0.1:1", 1.0, True)
            for n in range(vm_count)
        }
        self.customers = {}
        self.version = 0
        self.vms = {}
        self.granted = []
        self.refusals = []
        self.waits = []
        for vm_id in self.infos:
            self.start(vm_id, is_restart)

    def call_later(self, delay_s, action):
        heapq.heappush(self.events, (self.now + delay_s, next(self.sequence), action))

    def is_cut(self, vm_id, other_id):
        return vm_id != other_id and bool(self.cuts & {vm_id, other_id})

    def start(self, vm_id, is_restart=True):
        vm = self.vms[vm_id] = SimulatedVm(self, self.infos[vm_id], is_restart)
        self.update_list(vm_id, list(self.infos.values()))
        vm.allowances.apply_customers(
            list(self.customers.values()), self.version, self.now
        )
        self.sweep(vm)

    def sweep(self, vm):
        if self.vms.get(vm.info.vm_id) is not vm:
            return
        if vm.info.vm_id not in self.out_of_touch and self.now >= vm.paused_until:
            vm.key_lease.renew(self.now, self.now)
        vm.allowances.sweep(self.now)
        self.call_later(SWEEP_S, lambda: self.sweep(vm))

    def update_list(self, vm_id, infos):
        self.vms[vm_id].allowances.set_vms(infos, self.now)

    def remove_from_lists(self, removed_ids):
        infos = [i for i in self.infos.values() if i.vm_id not in removed_ids]
        for vm_id in self.vms:
            self.update_list(vm_id, infos)

    def set_customer(self, rate, burst, name="c", delay_s=0.0):
        """Put a limit in force, on each VM at a random time within `delay_s`."""
        self.version += 1
        self.customers[name] = Customer(name, rate, burst)
        customers, version = list(self.customers.values()), self.version
        for vm in self.vms.values():
            self.call_later(
                self.random.random() * delay_s,
                lambda vm=vm: vm.allowances.apply_customers(
                    customers, version, self.now
                ),
            )

    def get_grantor_id(self, name="c"):
        vm = next(iter(self.vms.values()))
        return vm.roles.get(name, self.now).grantor_id

    def request(self, vm_id, name="c"):
        vm = self.vms.get(vm_id)
        if vm is None or self.now < vm.paused_until:
            return
        waiter = vm.allowances.request(self.customers[name], GOAL_S, self.now)
        self.check(vm, waiter, self.now)

    def check(self, vm, waiter, started_at):
        if waiter.is_granted:
            self.granted.append(self.now)
            self.waits.append(self.now - started_at)
        elif waiter.error is not None:
            self.refusals.append((self.now, waiter.error))
        else:
            vm.allowances.check_timeout(waiter.account, self.now)
            self.call_later(0.0005, lambda: self.check(vm, waiter, started_at))

    def send_load(self, rate, until, choose_vm=None, name="c"):
        """Send requests at random times until a time."""
        if choose_vm is None:
            vm_ids = list(self.infos)
            choose_vm = lambda: self.random.choice(vm_ids)  # noqa: E731

        def send():
            if self.now < until:
                self.request(choose_vm(), name)
                self.call_later(self.random.expovariate(rate), send)

        self.call_later(self.random.expovariate(rate), send)

    def run(self, duration_s):
        ends_at = self.now + duration_s
        while self.events and self.events[0][0] <= ends_at:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = ends_at

    def count_refused(self):
        return sum(isinstance(e, AllowanceExceededError) for _, e in self.refusals)

    def count_unknown(self):
        return len(self.refusals) - self.count_refused()

    def find_fullest_window(self):
        """Return the largest number of granted requests in a window."""
        times = sorted(self.granted)
        fullest = first = 0
        for index, time in enumerate(times):
            while time - times[first] > WINDOW_S:
                first += 1
            fullest = max(fullest, index - first + 1)
        return fullest


def compute_limit(rate, burst):
    """Return the number of requests that a window may have."""
    return (rate * WINDOW_S + burst) * (1 + BOUNDS.overshoot) + BOUNDS.slack
