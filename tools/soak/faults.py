"""Faults of the soak test; each is a task that undoes its fault when it ends."""

import signal

import trio

from .proxy import ProxyMode
from .world import DRAIN_TIMEOUT_S, GRACE_S

CONFIGURATION_TIME_S = 5.0
"""Time within which a VM applies a configuration that the store has confirmed."""

AFTEREFFECT_S = 4.0
"""Time after a fault in which it may still delay or break requests of a VM."""


class Faults:
    """Injects randomly chosen faults.

    Parameters
    ----------
    world : world.World
    random_source : random.Random
    nursery : trio.Nursery

    Attributes
    ----------
    played : list of (float, str)
        Start time in seconds since the start of the soak, and the fault's name.
    """

    def __init__(self, world, random_source, nursery):
        self.played = []
        self._world = world
        self._random = random_source
        self._nursery = nursery
        self._started_at = trio.current_time()
        self._busy_vms = set()
        self._is_evacuating = False
        self._is_restoring = False
        self._kinds = (
            self._kill_vm,
            self._stop_vm,
            self._pause_vm,
            self._signal_settings,
            self._signal_in_series,
            self._change_configuration_in_series,
            self._refuse_store,
            self._disturb_store,
            self._reset_store,
            self._drop_history,
            self._lose_watch_answer,
            self._restore_store,
            self._slow_targets,
            self._refuse_targets,
            self._fail_targets,
            self._disturb_targets,
            self._spoil_targets,
            self._pause_targets,
            self._reset_targets,
            self._replace_target,
            self._repartition,
            self._evacuate,
        )

    async def play(self, duration_s):
        """Start overlapping faults, and return when all have ended."""
        ends_at = trio.current_time() + duration_s
        async with trio.open_nursery() as nursery:
            while trio.current_time() < ends_at:
                kind = self._random.choice(self._kinds)
                at = trio.current_time() - self._started_at
                self.played.append((round(at, 2), kind.__name__.strip("_")))
                nursery.start_soon(kind)
                await trio.sleep(self._random.uniform(0.1, 1.2))

    def _draw_duration_s(self):
        return self._random.uniform(0.2, 2.5)

    def _draw_targets(self, fraction=0.2):
        targets = self._world.targets
        return self._random.sample(targets, max(1, int(len(targets) * fraction)))

    def _draw_vm(self):
        """Return a VM that no other fault uses, or None; one VM always stays free."""
        free = [vm for vm in self._world.vms if vm not in self._busy_vms]
        return self._random.choice(free) if len(free) > 1 else None

    def _mark_disturbed(self, vms, duration_s=0.0):
        until = trio.current_time() + duration_s + AFTEREFFECT_S
        for vm in vms:
            vm.disturbed_until = max(vm.disturbed_until, until)

    async def _restart(self, vm, number):
        vm.send_signal(number)
        await vm.wait()
        await trio.sleep(self._random.uniform(0.0, 1.0))
        vm.start(self._world.list_seeds())
        await self._world.wait_until_ready(vm)

    async def _run_vm_fault(self, fault, is_planned=False):
        vm = self._draw_vm()
        if vm is None:
            return
        self._busy_vms.add(vm)
        if not is_planned:
            self._mark_disturbed([vm], GRACE_S + 10.0)
        try:
            await fault(vm)
        finally:
            self._busy_vms.discard(vm)
        vm.disturbed_until = trio.current_time() + AFTEREFFECT_S

    async def _kill_vm(self):
        await self._run_vm_fault(lambda vm: self._restart(vm, signal.SIGKILL))

    async def _stop_vm(self):
        await self._run_vm_fault(self._stop, is_planned=True)

    async def _stop(self, vm):
        await self._restart(vm, signal.SIGTERM)

    async def _signal_in_series(self):
        """Send SIGHUP and SIGTERM several times during one stop."""

        async def stop(vm):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._restart, vm, signal.SIGTERM)
                for _ in range(4):
                    await trio.sleep(self._random.uniform(0.0, 0.4))
                    number = self._random.choice((signal.SIGHUP, signal.SIGTERM))
                    if vm.was_ready:
                        vm.send_signal(number)

        await self._run_vm_fault(stop, is_planned=True)

    async def _change_configuration_in_series(self):
        for _ in range(self._random.randint(3, 10)):
            await self._world.write_configuration()
            await trio.sleep(self._random.uniform(0.0, 0.2))

    async def _pause_vm(self):
        async def pause(vm):
            vm.send_signal(signal.SIGSTOP)
            await trio.sleep(self._draw_duration_s())
            vm.send_signal(signal.SIGCONT)

        await self._run_vm_fault(pause)

    async def _signal_settings(self):
        for vm in self._world.vms:
            if vm.was_ready:
                vm.send_signal(signal.SIGHUP)

    async def _refuse_store(self):
        self._mark_disturbed(self._world.vms, 3.0)
        self._world.server.refuses = True
        await trio.sleep(self._draw_duration_s())
        self._world.server.refuses = False

    async def _disturb_store(self):
        vm = self._random.choice(self._world.vms)
        self._mark_disturbed([vm], 3.0)
        await self._run_proxy_fault(vm.store_proxy)

    async def _reset_store(self):
        vm = self._random.choice(self._world.vms)
        self._mark_disturbed([vm])
        vm.store_proxy.reset_connections()

    async def _drop_history(self):
        self._world.server.compact()

    async def _lose_watch_answer(self):
        """Lose the answer to one watch, while stale reads show old content.

        No VM counts as disturbed: a target that is removed then must get no requests
        all the same.
        """
        server = self._world.server
        if server.stale_revision is not None or self._is_restoring:
            return
        server.stale_revision = server.store.revision
        server.lost_watch_answers = 1
        # The targets of orders get the most requests.
        desks = [t for t in self._world.targets if t.service == "desk"]
        if desks:
            await self._replace(self._random.choice(desks))
        server.lost_watch_answers = 0
        server.stale_revision = None

    async def _restore_store(self):
        """Return the store to a copy some seconds old, at times after an outage.

        Without an outage no VM counts as disturbed: what the VMs have accepted must
        hold all the same.
        """
        world = self._world
        if self._is_restoring or world.server.stale_revision is not None:
            return
        self._is_restoring = True
        desk = self._random.choice([t for t in world.targets if t.service == "desk"])
        await world.add_target("desk", desk.domain)
        new_shard = await world.add_shard()
        copy = world.server.copy()
        async with trio.open_nursery() as nursery:
            # Lost with the store, as is the configuration.
            nursery.start_soon(self._withdraw, desk, True)
            await world.write_configuration()
            await trio.sleep(self._random.uniform(0.5, 4.0))
            lost_at = trio.current_time()
            away_s = self._random.choice((0.0, self._random.uniform(0.2, 1.5)))
            if away_s:
                self._mark_disturbed(world.vms, 3.0)
            await world.server.restore(copy, away_s)
            # Its revision had been given out to the configuration before.
            old_targets = await world.replace_shard(new_shard)
            nursery.start_soon(self._check_version, world.version)
            await trio.sleep(self._random.uniform(0.0, 2.0))
            await world.write_again(copy, lost_at)
        self._is_restoring = False
        for target in old_targets:
            await self._withdraw(target, True)

    async def _check_version(self, version):
        """Require a version of all processes that were undisturbed since its write."""
        world = self._world
        written_at = trio.current_time()
        processes = {vm: vm.lifetime for vm in world.vms}
        await trio.sleep(CONFIGURATION_TIME_S)
        if world.oracle.timing_unreliable_until > written_at:
            return
        calm = [
            lifetime
            for vm, lifetime in processes.items()
            if vm.lifetime is lifetime and vm.disturbed_until < written_at
        ]
        now = trio.current_time()
        world.oracle.record_version_in_force(version, calm, now)

    async def _run_proxy_fault(self, proxy):
        proxy.mode = self._random.choice(list(ProxyMode)[1:])
        proxy.delay_s = self._random.uniform(0.02, 0.4)
        await trio.sleep(self._draw_duration_s())
        proxy.mode = ProxyMode.PASS

    async def _slow_targets(self):
        targets = self._draw_targets()
        for target in targets:
            target.delay_s = self._random.uniform(0.05, 0.5)
        await trio.sleep(self._draw_duration_s())
        for target in targets:
            target.delay_s = 0.0

    async def _refuse_targets(self):
        await self._switch_targets("refuses")

    async def _fail_targets(self):
        await self._switch_targets("fails")

    async def _switch_targets(self, name):
        targets = self._draw_targets(0.1)
        for target in targets:
            setattr(target, name, True)
        await trio.sleep(self._draw_duration_s())
        for target in targets:
            setattr(target, name, False)

    async def _disturb_targets(self):
        targets = self._draw_targets(0.1)
        self._mark_disturbed(self._world.vms, 3.0)
        async with trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(self._run_proxy_fault, self._get_proxy(target))

    async def _spoil_targets(self):
        """Replace the replies of some targets by bytes without end.

        No VM counts as disturbed: each request must be answered in time all the same.
        """
        proxies = [self._get_proxy(target) for target in self._draw_targets(0.1)]
        for proxy in proxies:
            proxy.mode = ProxyMode.ENDLESS
        await trio.sleep(self._draw_duration_s())
        for proxy in proxies:
            proxy.mode = ProxyMode.PASS

    async def _pause_targets(self):
        """Let some targets, and those of the orders, ask for a pause."""
        started_at = trio.current_time()
        targets = set(self._draw_targets(0.1))
        targets |= {t for t in self._world.targets if t.service == "desk"}
        duration_s = self._random.uniform(1.0, 3.0)
        for target in targets:
            target.start_pause(duration_s)
        await trio.sleep(duration_s)
        oracle = self._world.oracle
        is_calm = all(vm.disturbed_until < started_at for vm in self._world.vms)
        for target in targets:
            if is_calm and oracle.timing_unreliable_until < started_at:
                oracle.check_pause(target.target_id, target.unwanted)

    async def _reset_targets(self):
        self._mark_disturbed(self._world.vms)
        for target in self._draw_targets():
            self._get_proxy(target).reset_connections()

    def _get_proxy(self, target):
        return self._world.proxies[target.target_id]

    async def _replace_target(self):
        await self._replace(self._random.choice(self._world.targets))

    async def _replace(self, target):
        """Add a target, then remove another one of the same service."""
        if target.is_leaving:
            return
        await self._world.add_target(target.service, target.domain)
        await trio.sleep(1.0)
        await self._remove(target, self._random.random() < 0.5)

    async def _remove(self, target, is_announced):
        if target.is_leaving or target not in self._world.targets:
            return
        if self._random.random() < 0.5:
            # Its replies say so before the store does.
            target.extra_headers["Server-Leaving"] = "1"
            await trio.sleep(self._random.uniform(0.0, 4.0))
            if target.is_leaving or target not in self._world.targets:
                return
        await self._withdraw(target, is_announced)

    async def _withdraw(self, target, is_announced):
        """Remove a target from the store, and end it some time later."""
        if target.is_leaving or target not in self._world.targets:
            return
        left_at = await self._world.remove_target(target, is_announced)
        if left_at is None:
            target.is_gone = True
            return
        if all(vm.disturbed_until < left_at for vm in self._world.vms):
            self._world.oracle.record_target_removal(
                target.target_id, left_at + DRAIN_TIMEOUT_S
            )
        await trio.sleep(DRAIN_TIMEOUT_S + 1.0)
        target.is_gone = True

    async def _repartition(self):
        for target in await self._world.repartition():
            await trio.sleep(DRAIN_TIMEOUT_S)
            await self._remove(target, is_announced=True)

    async def _evacuate(self):
        if self._is_evacuating:
            return
        self._is_evacuating = True
        key = f"op/evacuate/{self._random.choice(('a', 'b'))}"
        await self._world.operator.write(key, "{}")
        await trio.sleep(self._draw_duration_s())
        await self._world.operator.write(key, None)
        self._is_evacuating = False
