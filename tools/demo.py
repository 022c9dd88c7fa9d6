"""Run three entry VMs and scaled-down forms of both deployments through faults.

Takes less than a minute and exits by itself. All processes run on loopback.
"""

import argparse
import signal
import sys
import tempfile

import trio

from tarragonchute.errors import TarragonchuteError
from tools.deployment import TOKEN, DatasetPlan, Deployment
from tools.load import LoadBalancer, LoadGenerator, PhaseReport

DOMAINS = ["d1", "d2", "d3"]
DATASETS = [
    DatasetPlan("catalogue", "hollowmere", 10, 2, 2, 25),
    DatasetPlan("schedules", "hollowmere", 1, 4, 4, 100),
    DatasetPlan("listmaker", "shedlist", 10, 2, 2, 25),
    DatasetPlan("planshelf", "shedlist", 1, 4, 2, 35),
]
SEARCHES_PER_TEAM = 60
SEARCH_INTERVAL_S = 0.03
SEARCHES_PER_BOOKING = 5


class Demo:
    """Runs load phases against a started deployment.

    Parameters
    ----------
    deployment : Deployment
    balancer : LoadBalancer
    """

    def __init__(self, deployment, balancer):
        self._deployment = deployment
        self._balancer = balancer
        self._load_generators = [
            LoadGenerator(
                balancer, "hollowmere", "catalogue", "schedules", ["s0"], seed=1
            ),
            LoadGenerator(
                balancer, "shedlist", "listmaker", "planshelf", ["s0"], seed=2
            ),
        ]
        self.reports = []

    async def run_phase(self, name, action=None):
        """Send load from both teams and print the phase's row of the table.

        Parameters
        ----------
        name : str
        action : callable or None
            Async function that injects the phase's fault, called after a third of the
            phase's duration.
        """
        report = PhaseReport(name)
        before = await self._count_received()
        async with trio.open_nursery() as nursery:
            for load_generator in self._load_generators:
                nursery.start_soon(
                    load_generator.run,
                    report,
                    SEARCHES_PER_TEAM,
                    SEARCH_INTERVAL_S,
                    SEARCHES_PER_BOOKING,
                )
            if action is not None:
                await trio.sleep(SEARCHES_PER_TEAM * SEARCH_INTERVAL_S / 3)
                await action()
        received = await self._count_received() - before
        self.reports.append(report)
        self._print_report(report, received)

    async def _count_received(self):
        counters = await self._deployment.read_target_counters()
        return sum(counts["received"] for counts in counters.values())

    def _print_report(self, report, received):
        mean, least = report.compute_mean_and_min_coverage()
        needed = report.requests * 10 + len(report.bookings)
        extra = 100 * (received - needed) / needed
        outcomes = list(report.bookings.values())
        errors = ", ".join(f"{k} {v}" for k, v in sorted(report.errors.items()))
        print(
            f"{report.name:24} {report.requests:8} "
            f"{report.compute_quantile_ms(0.5):7.1f} "
            f"{report.compute_quantile_ms(0.99):7.1f} "
            f"{mean:8.3f} {least:6.2f} {extra:7.1f} "
            f"{outcomes.count('done'):5}/{len(outcomes):<5} {errors or '-'}",
            flush=True,
        )

    async def count_violations(self):
        """Count violations of the guarantees that the targets observe.

        Returns
        -------
        doubled : int
            Bookings that ran more than once.
        violations : int
            Of the limits on slots, on cold targets and on connections.
        """
        counters = await self._deployment.read_target_counters()
        doubled = violations = 0
        for counts in counters.values():
            doubled += sum(1 for runs in counts["runs"].values() if runs > 1)
            violations += counts["slot_breaches"] + counts["cold_breaches"]
            violations += counts["connection_breaches"]
        return doubled, violations


async def run_demo(keeps_running):
    """Start the deployment, run all phases and return the exit code.

    Parameters
    ----------
    keeps_running : bool
        Whether to run no phases, but print the addresses and wait for Ctrl-C.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with Deployment(folder, DOMAINS, DATASETS) as deployment:
            balancer = LoadBalancer(deployment.callers)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(balancer.run)
                if keeps_running:
                    code = await _keep_running(deployment, balancer)
                else:
                    code = await _run_phases(deployment, balancer)
                nursery.cancel_scope.cancel()
    return code


async def _keep_running(deployment, balancer):
    await load_settings(deployment, deployment.vm_ids[0])
    await balancer.wait_healthy(len(deployment.vm_ids))
    print(f"token of the admin ports: {TOKEN}")
    for vm_id in deployment.vm_ids:
        caller, admin = deployment.callers[vm_id], deployment.admins[vm_id]
        print(f"{vm_id}: callers {caller}, admin {admin}")
    print("Ctrl-C ends it", flush=True)
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            break
    return 0


async def _run_phases(deployment, balancer):
    first, second, third = deployment.vm_ids
    await load_settings(deployment, first)
    await balancer.wait_healthy(len(deployment.vm_ids))
    print("3 entry VMs, 3 failure domains, 4 datasets, 48 targets")
    print(
        f"{'phase':24} {'searches':>8} {'p50 ms':>7} {'p99 ms':>7} "
        f"{'coverage':>8} {'least':>6} {'extra %':>7} {'bookings':>11} errors"
    )
    demo = Demo(deployment, balancer)

    async def take_domain_out():
        await deployment.set_domain_state(second, "d3", "out")

    async def bring_domain_back():
        await deployment.set_domain_state(second, "d3", "in")
        await balancer.wait_healthy(len(deployment.vm_ids))

    async def kill_vm():
        deployment.kill_vm(first)
        await deployment.control_vm_list(vms=[{"vm_id": first, "state": "gone"}])

    async def drain_vm():
        code = await deployment.drain_vm(second)
        print(f"{second} drained with exit code {code}")

    await demo.run_phase("warm-up")
    await demo.run_phase("steady")
    await demo.run_phase("failure domain d3 out", take_domain_out)
    await demo.run_phase("failure domain d3 back", bring_domain_back)
    await demo.run_phase(f"{first} killed", kill_vm)
    await demo.run_phase("after the kill")
    await demo.run_phase(f"{second} drained", drain_vm)
    await demo.run_phase(f"{third} alone")
    doubled, violations = await demo.count_violations()
    print(f"doubled bookings: {doubled}")
    print(f"breaches of slots, cold limits or connections: {violations}")
    return 1 if doubled or violations else 0


async def load_settings(deployment, vm_id):
    """Propose the settings through one VM, and retry until all are accepted.

    Proposals are rejected until the VM has a lease.

    Raises
    ------
    trio.TooSlowError
        After 20 seconds.
    """
    with trio.fail_after(20):
        while True:
            try:
                results = await deployment.load_settings(vm_id)
            except TarragonchuteError:
                results = []
            if results and all(result.error is None for result in results):
                return
            await trio.sleep(0.2)


def main():
    """Run the demo and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--keep", action="store_true", help="start the deployment and keep it running"
    )
    return trio.run(run_demo, parser.parse_args().keep)


if __name__ == "__main__":
    sys.exit(main())
