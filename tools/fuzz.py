"""Run the stateful machines of the tests with a seed, longer than CI does.

Prints the seed and the shortest history of each violation, and ends with the number
of machines that found one.
"""

import argparse
import logging
import sys
import time

from tests import test_booking_machine, test_holder_machine, test_membership_machine

MEMBERSHIP_RUNS = 20
EXAMPLES = 200


def run_membership(seed, steps):
    """Return the violations of the membership and settings oracles."""
    found = []
    for number in range(MEMBERSHIP_RUNS):
        run_seed = seed * MEMBERSHIP_RUNS + number
        violations = test_membership_machine.run_machine(run_seed, steps)
        found += [f"run seed {run_seed}: {one}" for one in violations]
    return found


def run_holder(seed, steps):
    """Return the first violation of the holder's oracle."""
    return _collect(test_holder_machine.run_machine, seed, steps)


def run_bookings(seed, steps):
    """Return the first violation of the bookings' oracle."""
    return _collect(test_booking_machine.run_machine, seed, steps)


MACHINES = {
    "membership": run_membership,
    "holder": run_holder,
    "bookings": run_bookings,
}


def _collect(run_machine, seed, steps):
    try:
        run_machine(seed, steps, EXAMPLES)
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
    # Log lines of provoked faults would hide the violations.
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
