"""Runs the soak: ``python -m tools.soak --seed N --seconds S``.

Each run starts a store, 98 targets and some VM processes on loopback, and plays faults
that overlap. It prints what was answered, and each promise that was broken.
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

TOP = 5
LEAST_COVERAGE = 0.5
"""Of the search route that `standins.platform.build_configuration` writes."""

SETTLE_S = 6.0
"""Time after the last fault before searches count for the recovery: registrations
that lapsed are back, and VMs that were cut off have listed the store again."""

RECOVERY_S = 3.0


async def soak(seed, seconds, folder, vms=3, callers=4):
    """Play one seed and return its `Oracle` and the faults played.

    Parameters
    ----------
    seed : int
        Draws the faults and the requests. Times on a real machine still vary.
    seconds : float
        For which faults begin.
    folder : pathlib.Path
        For settings and logs.
    vms, callers : int
    """
    source = random.Random(seed)
    oracle = Oracle(TOP, LEAST_COVERAGE)
    async with trio.open_nursery() as nursery:
        world = World(nursery, folder, oracle, vms)
        try:
            await world.start()
            nursery.start_soon(world.watch_lag)
            people = [
                Caller(number, world, random.Random(f"{seed} {number}"))
                for number in range(callers)
            ]
            for person in people:
                nursery.start_soon(person.run)
            faults = Faults(world, source, nursery)
            await faults.play(seconds)
            await trio.sleep(SETTLE_S)
            for person in people:
                person.is_settled = True
            await trio.sleep(RECOVERY_S)
            full = sum(person.full for person in people)
            if oracle.blind_until < trio.current_time():
                oracle.check_recovery(full, sum(person.total for person in people))
        finally:
            world.close()
            nursery.cancel_scope.cancel()
    return oracle, faults.played


def play_seed(seed, seconds, vms, folder):
    """Play one seed, print the outcome and return the findings."""
    oracle, played = trio.run(soak, seed, seconds, pathlib.Path(folder), vms)
    answers = " ".join(f"{k}:{n}" for k, n in sorted(oracle.answered.items()))
    kinds = len({kind for _, kind in played})
    print(
        f"seed {seed}: {len(played)} faults of {kinds} kinds; answers {answers}; "
        f"{oracle.full} whole searches; {len(oracle.findings)} findings",
        flush=True,
    )
    for finding in oracle.findings[:20]:
        print(f"  {finding}")
    if oracle.findings:
        print(f"  faults: {played}")
        print(f"  logs: {folder}", flush=True)
    return oracle.findings


def main():
    """Play seeds and return the exit code."""
    parser = argparse.ArgumentParser(prog="tools.soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="default: a fresh one")
    parser.add_argument("--seeds", type=int, default=1, help="how many in a row")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--keep", help="folder for settings and logs")
    arguments = parser.parse_args()
    # Faults of the soak make the stand-ins log warnings by design.
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
