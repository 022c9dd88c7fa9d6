"""Run the tests' stateful machines with a seed, and for longer than CI does.

Prints each violation with its seed and a minimal sequence of steps, and finally the
number of machines that found a violation.
"""

import argparse
import logging
import sys
import time

from tests import test_booking_machine, test_holder_machine, test_membership_machine

RUNS_PER_SEED = 20
HISTORIES_PER_SEED = 200


def run_membership(seed, steps):
    """Return the violations that the membership and settings oracles found."""
    all_violations = []
    for run_number in range(RUNS_PER_SEED):
        run_seed = seed * RUNS_PER_SEED + run_number
        violations = test_membership_machine.run_machine(run_seed, steps)
        all_violations += [f"run seed {run_seed}: {one}" for one in violations]
    return all_violations


def run_holder(seed, steps):
    """Return the first violation that the holder's oracle found, in a list."""
    return _collect_violations(test_holder_machine.run_machine, seed, steps)


def run_bookings(seed, steps):
    """Return the first violation that the bookings' oracle found, in a list."""
    return _collect_violations(test_booking_machine.run_machine, seed, steps)


MACHINES = {
    "membership": run_membership,
    "holder": run_holder,
    "bookings": run_bookings,
}


def _collect_violations(run_machine, seed, steps):
    try:
        run_machine(seed, steps, HISTORIES_PER_SEED)
    except AssertionError as error:
        return [str(error)]
    return []


def main():
    """Run the machines and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=80)
    parser.add_argument("--machine", choices=sorted(MACHINES))
    arguments = parser.parse_args()
    # Without a handler, log lines of injected faults would obscure the violations.
    logging.getLogger().addHandler(logging.NullHandler())
    names = [arguments.machine] if arguments.machine else list(MACHINES)
    failed = 0
    for name in names:
        started_at = time.monotonic()
        violations = MACHINES[name](arguments.seed, arguments.steps)
        failed += bool(violations)
        seconds = time.monotonic() - started_at
        print(
            f"{name}: seed {arguments.seed}, {arguments.steps} steps, "
            f"{len(violations)} violations, {seconds:.0f} s",
            flush=True,
        )
        for violation in violations:
            print(f"  {violation}")
    print(f"{failed} machines with violations; seed {arguments.seed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
