"""Tests over real processes of a store that comes back from an older copy."""

import contextlib
import pathlib
import tempfile

import testtools
import trio

from standins.platform import PlatformOperator, build_configuration
from tarragonchute.httpio import bind_listeners, get_address, serve_http

from .test_httpio import reserve_closed_port
from .test_lost_answers import CONFIGURATION_BOUND_S
from .test_platform import Deployment
from .trial import run_async

VM_COUNT = 3
"""One failure domain: one VM watches the store, the others follow it."""

SETTLE_S = 2.0
"""Time after the start until followers follow, and after a write until all know it."""

REVISIONS_SINCE_COPY = 40
OUTAGE_S = 1.0
REWRITE_DELAY_S = 3.0
"""Time after a restore until the target writes its registration again."""


class FleetDeployment(Deployment):
    """A stand-in store and targets in this process, and several gateway processes.

    Attributes
    ----------
    vms : list of Deployment
        One for each process; the first is this deployment itself.
    """

    def __init__(self, nursery, folder):
        super().__init__(nursery, folder)
        self.vms = [self]
        self.operator = PlatformOperator(self.server)
        self.server.era = 1

    async def start(self, services):
        """Start all parts and return once all gateways are ready."""
        listeners = await bind_listeners("127.0.0.1:0")
        self.nursery.start_soon(serve_http, self.server.handle, listeners)
        for service in services:
            for domain in ("a", "b"):
                await self.add_target(service, domain)
        await self.write_configuration(1)
        self.server_address = get_address(listeners)
        for number in range(1, VM_COUNT):
            folder = self.folder / str(number)
            folder.mkdir()
            self.vms.append(Deployment(self.nursery, folder))
        addresses = [[await reserve_closed_port() for _ in range(3)] for _ in self.vms]
        seeds = [control for _, _, control in addresses]
        for number, vm in enumerate(self.vms):
            await vm.start_gateway(
                self.server_address, f"vm-{number}", addresses[number], seeds
            )
        for vm in self.vms:
            await vm.wait_until_ready()
        await trio.sleep(SETTLE_S)

    async def write_configuration(self, version):
        """Write a version whose orders have the prefix ``/order-VERSION/``."""
        text = build_configuration(version, ["s0"], "desk")
        text = text.replace("/order/", f"/order-{version}/")
        await self.operator.write("op/config", text)

    async def give_out_revisions(self, count=REVISIONS_SINCE_COPY):
        """Let other writers change the store."""
        for number in range(count):
            await self.operator.write("other/key", f"{number}")

    def kill(self):
        """End all processes."""
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()


@contextlib.asynccontextmanager
async def open_fleet():
    """Yield a `FleetDeployment` that is ready, and kill its processes at the end."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            deployment = FleetDeployment(nursery, pathlib.Path(folder))
            try:
                await deployment.start(("s0", "desk"))
                yield deployment
            finally:
                deployment.kill()
                with trio.CancelScope(shield=True):
                    for vm in deployment.vms:
                        if vm.process is not None:
                            await vm.process.wait()
                nursery.cancel_scope.cancel()


class ConfigurationTests(testtools.TestCase):
    """Configurations written after the restore."""

    async def check_that_new_version_is_in_force(self, away_s):
        async with open_fleet() as fleet:
            copy = fleet.server.copy()
            await fleet.give_out_revisions()
            await trio.sleep(SETTLE_S)
            await fleet.server.restore(copy, away_s)
            await fleet.write_configuration(2)
            await fleet.give_out_revisions(2 * REVISIONS_SINCE_COPY)
            with trio.move_on_after(CONFIGURATION_BOUND_S):
                for vm in fleet.vms:
                    while await self.order(vm, 2) != 200:
                        await trio.sleep(0.05)
            statuses = [await self.order(vm, 2) for vm in fleet.vms]
            self.assertEqual([200] * VM_COUNT, statuses)

    async def order(self, vm, version):
        return (await vm.call(f"/order-{version}/1", "POST", b"x")).status

    @run_async
    async def test_version_at_a_revision_that_was_given_out_before(self):
        """Guards against a configuration that is never put in force.

        Its revision had been given out before the restore, so that watches from a later
        revision did not return it.
        """
        await self.check_that_new_version_is_in_force(0.0)

    @run_async
    async def test_version_after_an_outage_and_a_restore(self):
        """Guards against followers that wait for a revision of the lost history."""
        await self.check_that_new_version_is_in_force(OUTAGE_S)

    @run_async
    async def test_accepted_version_that_the_copy_lacks_stays_in_force(self):
        """Guards against a return to an older configuration after a restore.

        A VM that starts then must get it from the others, not from the store.
        """
        async with open_fleet() as fleet:
            copy = fleet.server.copy()
            await fleet.write_configuration(2)
            await trio.sleep(SETTLE_S)
            await fleet.server.restore(copy)
            await trio.sleep(SETTLE_S)
            vm = fleet.vms[-1]
            vm.process.kill()
            await vm.process.wait()
            await vm.restart_gateway()
            await vm.wait_until_ready()
            statuses = [await self.order(vm, 2) for vm in fleet.vms]
            self.assertEqual([200] * VM_COUNT, statuses)


class RegistrationTests(testtools.TestCase):
    """Registrations that are lost, or that the copy has in an earlier state."""

    @run_async
    async def test_target_stays_draining(self):
        """Guards against requests to a target that had reported that it drains.

        The copy has its earlier registration, until it writes the next one.
        """
        async with open_fleet() as fleet:
            # VMs prefer it to the other one, which is of another failure domain.
            target = fleet.targets[-2]
            copy = fleet.server.copy()
            await target.change_state(fleet.server.store, "draining")
            await trio.sleep(SETTLE_S)
            before = len(target.ran)
            await fleet.server.restore(copy, OUTAGE_S)
            statuses = await self.order_for(REWRITE_DELAY_S, fleet)
            await target.change_state(fleet.server.store, "draining")
            statuses += await self.order_for(REWRITE_DELAY_S, fleet)
            self.assertEqual([], target.ran[before:])
            # The other target of the service is known all the time.
            self.assertEqual({200}, set(statuses))

    @run_async
    async def test_targets_that_the_copy_lacks_stay_usable(self):
        """Guards against refused requests until all targets have registered again."""
        async with open_fleet() as fleet:
            copy = fleet.server.copy()
            await fleet.server.restore(copy, OUTAGE_S)
            fleet.server.store.expire_leases()
            statuses = await self.order_for(REWRITE_DELAY_S, fleet)
            self.assertEqual({200}, set(statuses))

    async def order_for(self, duration_s, fleet):
        """Send orders through all VMs for a time and return the statuses."""
        statuses = []
        ends_at = trio.current_time() + duration_s
        while trio.current_time() < ends_at:
            for vm in fleet.vms:
                request_id = f"o{len(statuses)}-{ends_at}"
                response = await vm.call("/order-1/1", "POST", b"x", request_id)
                statuses.append(response.status)
            await trio.sleep(0.05)
        return statuses
