"""Days of random faults in virtual time; no window may exceed the limit."""

import random

import testtools

from .allowancefleet import SimulatedFleet, SimulatedVm, compute_limit

KEY_LEASE_S = 12.0
RENEW_INTERVAL_S = 4.0
MAX_LIST_LAG_S = 1.0
FAULT_DURATIONS_S = (0.3, 2, 8, 15, 30)
FAULT_INTERVALS_S = (1, 5, 20, 30)
DAY_S = 200
SEEDS = (39, 49, 77)
"""The first two broke the limit while a VM relied on its list for its whole lease; on
the third, the smallest part of the rate was served."""

CUSTOMERS = ((2, 4), (20, 20), (20, 5), (50, 200), (5, 40))
VM_COUNTS = (6, 12, 30)


class FaultyFleet(SimulatedFleet):
    """A fleet whose VMs keep keys in a store and read their lists from it late."""

    def __init__(self, vm_count, seed):
        # The time when each key expires, and since when it has been there.
        self.keys = {}
        self.listed_since = {}
        self.lists = {}
        self.renewed_at = {}
        super().__init__(vm_count, seed=seed)

    def start(self, vm_id, is_restart=True):
        self.expire_keys()
        # All VMs of the first start have been there for long.
        is_first_start = self.now == 100.0
        if vm_id not in self.keys:
            self.listed_since[vm_id] = -1e9 if is_first_start else self.now
        vm = self.vms[vm_id] = SimulatedVm(self, self.infos[vm_id], True)
        vm.key_lease.since = self.listed_since[vm_id]
        self.lists[vm_id] = None
        vm.allowances.set_vms(
            list(self.infos.values()) if is_first_start else self.read_list(vm_id),
            self.now,
        )
        self.renew(vm)
        customers = list(self.customers.values())
        vm.allowances.apply_customers(customers, self.version, self.now)
        self.sweep(vm)
        self.call_later(0.2, lambda: self.synchronize(vm))

    def sweep(self, vm):
        if self.vms.get(vm.info.vm_id) is vm:
            if self.now >= vm.paused_until:
                vm.allowances.sweep(self.now)
            self.call_later(0.05, lambda: self.sweep(vm))

    def expire_keys(self):
        self.keys = {vm_id: at for vm_id, at in self.keys.items() if at > self.now}

    def read_list(self, vm_id):
        return [
            info
            for other_id, info in self.infos.items()
            if other_id in self.keys or other_id == vm_id
        ]

    def renew(self, vm):
        vm_id = vm.info.vm_id
        if vm_id not in self.out_of_touch:
            self.keys[vm_id] = self.now + KEY_LEASE_S
            self.renewed_at[vm_id] = self.now - self.random.random()
            vm.key_lease.renew(self.now, self.now)

    def synchronize(self, vm):
        """Renew the lease of a VM if it is due, and read its list."""
        vm_id = vm.info.vm_id
        if self.vms.get(vm_id) is not vm:
            return
        self.call_later(0.2 + 0.3 * self.random.random(), lambda: self.synchronize(vm))
        if self.now < vm.paused_until or vm_id in self.out_of_touch:
            return
        self.expire_keys()
        if vm_id not in self.keys:
            vm.key_lease.since = self.listed_since[vm_id] = self.now
            self.renew(vm)
        elif self.now - self.renewed_at[vm_id] >= RENEW_INTERVAL_S:
            self.renew(vm)
        infos = self.read_list(vm_id)
        if infos == self.lists[vm_id]:
            return
        self.lists[vm_id] = infos

        def apply():
            is_newest = self.lists[vm_id] is infos
            if self.vms.get(vm_id) is vm and self.now >= vm.paused_until and is_newest:
                vm.allowances.set_vms(infos, self.now)

        self.call_later(MAX_LIST_LAG_S * self.random.random(), apply)

    def inject_faults(self):
        """Inject one fault now, often at the grantor, and others later."""
        source = self.random
        interval_s = source.choice(FAULT_INTERVALS_S) * source.random()
        self.call_later(0.3 + interval_s, self.inject_faults)
        vm_id = self.get_grantor_id()
        if vm_id not in self.vms or source.random() < 0.4:
            vm_id = source.choice(list(self.vms))
        duration_s = source.choice(FAULT_DURATIONS_S)
        faults = [self.restart, self.kill, self.pause, self.cut, self.cut_off_domain]
        source.choice(faults)(vm_id, duration_s)

    def restart(self, vm_id, duration_s):
        self.kill(vm_id, 0.3)

    def kill(self, vm_id, duration_s):
        if len(self.vms) > 2:
            del self.vms[vm_id]
            self.call_later(duration_s, lambda: vm_id in self.vms or self.start(vm_id))

    def pause(self, vm_id, duration_s):
        self.vms[vm_id].paused_until = self.now + duration_s

    def cut(self, vm_id, duration_s):
        """Cut a VM off from the store, or from the other VMs."""
        cut_vms = self.random.choice((self.out_of_touch, self.cuts))
        cut_vms.add(vm_id)
        self.call_later(duration_s, lambda: cut_vms.discard(vm_id))

    def cut_off_domain(self, vm_id, duration_s):
        """Cut the failure domain of a VM off from the store."""
        domain = self.infos[vm_id].domain
        ids = {i for i, info in self.infos.items() if info.domain == domain}
        self.out_of_touch |= ids
        self.call_later(duration_s, lambda: self.out_of_touch.difference_update(ids))


def play_day(seed):
    """Return the fullest window, its limit, and the part of the rate served."""
    source = random.Random(seed)
    fleet = FaultyFleet(source.choice(VM_COUNTS), seed)
    rate, burst = source.choice(CUSTOMERS)
    fleet.set_customer(rate, burst)
    fleet.run(3)
    fleet.call_later(5, fleet.inject_faults)
    fleet.send_load(7 * rate, fleet.now + DAY_S)
    fleet.run(DAY_S)
    served = len(fleet.granted) / (rate * DAY_S)
    return fleet.find_fullest_window(), compute_limit(rate, burst), served


class RandomFaultTests(testtools.TestCase):
    """Customers at seven times their allowance while faults overlap."""

    def test_limit_holds(self):
        """Guards against two grantors.

        A VM was restarted while it waited to become grantor, was cut off while another
        joined, or woke from a pause after another had joined.
        """
        for seed in SEEDS:
            fullest, limit, served = play_day(seed)
            self.assertLessEqual(fullest, limit, f"seed {seed}")
            self.assertGreater(served, 0.3, f"seed {seed}")
