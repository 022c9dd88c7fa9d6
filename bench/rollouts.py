"""Verdicts and exposure of simulated rollouts: ``python -m bench.rollouts``.

Prints, for each kind of version and each fleet, how many runs were rolled back, and in
how many the exposure exceeded its limit.
"""

import argparse
import logging
import random

from tests.rolloutworld import DURATION_S, SHARE, SLACK, World

FLEETS = ((6, 24.0), (58, 24.0), (58, 3.0), (6, 6.0), (6, 100.0))
"""VMs, and requests per second to the service."""

GOOD = (0.01, 0.01)
NOISY = (0.03, 0.05)
VERSIONS = {
    "good": (GOOD, GOOD, 0.0, None),
    "noisy, as the old one": (NOISY, NOISY, 0.0, None),
    "fails 30%": (GOOD, (0.3, 0.0), 0.0, None),
    "slow 40%": (GOOD, (0.0, 0.4), 0.0, None),
    "fails 40% from 5 s": (GOOD, (0.4, 0.0), 5.0, None),
    "fails 50% from 9 s": (GOOD, (0.5, 0.0), 9.0, None),
    "fails 50% on one route": (GOOD, (0.5, 0.0), 0.0, "r1"),
}
"""Shares of failed and of slow replies of the old and the new version, and when and on
which route the new one differs from the old one."""


def build_answer(old, new, start_s, only_route, seed):
    """Return the function that answers requests; see `tests.rolloutworld.World`."""
    source = random.Random(seed + 1000)

    def answer(version, route, since_order_s):
        is_new = version == "v2" and since_order_s >= start_s
        is_new = is_new and only_route in (None, route)
        failed, slow = new if is_new else old
        return source.random() >= failed, 4.0 if source.random() < slow else 1.0

    return answer


def run(behaviour, size, rate, seed):
    """Return the status at the end, and the exposure divided by its limit."""
    world = World(build_answer(*behaviour, seed), size, rate, seed)
    world.run(1.0)
    world.order()
    world.run(DURATION_S + 0.5)
    new = world.count_sent("v2", 0.0)
    limit = SHARE * (new + world.count_sent("v1", 0.0)) + SLACK
    return world.get_status(), new / limit


def main():
    """Run the simulations and print one line for each version and fleet."""
    parser = argparse.ArgumentParser(prog="bench.rollouts")
    parser.add_argument("--runs", type=int, default=24)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for name, behaviour in VERSIONS.items():
        for size, rate in FLEETS:
            results = [run(behaviour, size, rate, n) for n in range(options.runs)]
            back = sum(status == "rolled_back" for status, _ in results)
            over = sum(ratio > 1 for _, ratio in results)
            worst = max(ratio for _, ratio in results)
            print(
                f"{name:24} {size:3} VMs {rate:5.0f}/s: {back:2} of {options.runs} "
                f"rolled back, {over:2} over the limit, highest {worst:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
