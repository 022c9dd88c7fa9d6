"""Run the soak test: ``python -m tools.soak --seed N --seconds S``.

Each run starts a store, 98 targets and several VM processes on loopback, and injects
overlapping faults. It prints the number of responses by status, and each violated
guarantee.
"""

import argparse
import logging
import pathlib
import random
import sys
import tempfile

import trio

from .callers import Caller
from .faults import Faults
from .oracle import Oracle
from .world import World

MAX_RECORDS = 5
MIN_COVERAGE = 0.5
"""Of the search route that `standins.platform.build_configuration` writes."""

SETTLE_TIME_S = 6.0
"""Time between the last fault and the recovery check. By then expired registrations
are renewed, and VMs that lost the store have listed its keys again."""

RECOVERY_CHECK_S = 3.0


async def soak(seed, seconds, folder, vms=3, caller_count=4):
    """Run the soak with one seed and return its `Oracle` and the injected faults.

    Parameters
    ----------
    seed : int
        Seed for the faults and the requests. Timing still varies from run to run.
    seconds : float
        Period in which faults are started.
    folder : pathlib.Path
        Receives the settings and logs of the VMs.
    vms, caller_count : int
        Number of VM processes and of concurrent callers.
    """
    source = random.Random(seed)
    oracle = Oracle(MAX_RECORDS, MIN_COVERAGE)
    async with trio.open_nursery() as nursery:
        world = World(nursery, folder, oracle, vms)
        try:
            await world.start()
            nursery.start_soon(world.watch_lag)
            callers = [
                Caller(number, world, random.Random(f"{seed} {number}"))
                for number in range(caller_count)
            ]
            for caller in callers:
                nursery.start_soon(caller.run)
            faults = Faults(world, source, nursery)
            await faults.play(seconds)
            await trio.sleep(SETTLE_TIME_S)
            for caller in callers:
                caller.is_counted_for_recovery = True
            await trio.sleep(RECOVERY_CHECK_S)
            complete_searches = sum(caller.complete_searches for caller in callers)
            if oracle.timing_unreliable_until < trio.current_time():
                oracle.check_recovery(
                    complete_searches, sum(caller.total_searches for caller in callers)
                )
        finally:
            world.close()
            nursery.cancel_scope.cancel()
    return oracle, faults.played


def play_seed(seed, seconds, vms, folder):
    """Run the soak with one seed, print the outcome and return the findings."""
    oracle, played = trio.run(soak, seed, seconds, pathlib.Path(folder), vms)
    answers = " ".join(
        f"{k}:{n}" for k, n in sorted(oracle.responses_by_status.items())
    )
    kinds = len({kind for _, kind in played})
    print(
        f"seed {seed}: {len(played)} faults of {kinds} kinds; answers {answers}; "
        f"{oracle.complete_searches} whole searches; {len(oracle.findings)} findings",
        flush=True,
    )
    for finding in oracle.findings[:20]:
        print(f"  {finding}")
    if oracle.findings:
        print(f"  faults: {played}")
        print(f"  logs: {folder}", flush=True)
    return oracle.findings


def main():
    """Run the soak for each seed and return the exit code."""
    parser = argparse.ArgumentParser(prog="tools.soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="default: a fresh one")
    parser.add_argument("--seeds", type=int, default=1, help="how many in a row")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--keep", help="folder for settings and logs")
    arguments = parser.parse_args()
    # The injected faults make the stand-ins log warnings; these are expected.
    logging.getLogger().addHandler(logging.NullHandler())
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(1, 1_000_000)
    failed = []
    for seed in range(first, first + arguments.seeds):
        base = arguments.keep or tempfile.mkdtemp(prefix="soak-")
        folder = pathlib.Path(base) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        if play_seed(seed, arguments.seconds, arguments.vms, folder):
            failed.append(seed)
    print(f"{arguments.seeds - len(failed)} passed, {len(failed)} failed")
    if failed:
        print(f"failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
