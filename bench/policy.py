"""Simulate deployments with the real decision code and print one table.

Everything runs in virtual time from one seed. `bench.driver` describes the load,
`bench.fakes` the targets, `bench.variants` the baseline and the switches.
"""

import argparse
import concurrent.futures
import logging
import pathlib
import sys
import time

from tarragonchute.settings import (
    DatasetSettings,
    FleetSettings,
    SettingsTree,
    TargetSettings,
    TeamSettings,
    load_tree_files,
)

from .driver import SERVICE_S, WARM_UP_S, Deployment, ProductWorld
from .variants import SWITCHES, BaselineWorld

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
PRODUCT = "product"
BASELINE = "baseline"
WORKER_PROCESSES = 5  # does not affect the results
SWITCH_SCALE = 0.25  # for runs with a switch and the runs they are compared with
QUICK_SCALE = 0.1

STRAGGLER_SHARE = 0.01
WIDE_DATASET_SHARDS = 110
WIDE_DEADLINE_MS = 300  # twice the p99 aim, so that the deadline alone cannot meet it

MAX_P99_MS = 150.0
MAX_EXTRA_LOAD = 0.05
MIN_GOODPUT = 0.90
MAX_P99_RATIO = 1.5

RESTART_PERIOD_S = 1.0  # of one of about 100 targets; a cold one takes 2 s to warm
DOMAIN_OUT_S = 1.5  # after the warm-up, as the next two
DOMAIN_DOWN_S = 4.5  # shut down once no new requests can arrive
DOMAIN_BACK_S = 6.0
DOMAIN_ROW_S = 9.0
MAX_DOMAIN_OUT_DELAY_S = 3.0
FALSE_STATUS_PERIOD_S = 0.5
FALSE_STATUS_FRACTION = 0.05  # of the targets, for each false state and period


# Deployments.


def build_deployment(name):
    """Return the `Deployment` of this name: midlands, queensland or wide."""
    if name == "midlands":
        tree = load_tree_files(EXAMPLES / "hollowmere").tree
        return Deployment(tree, 0.001, 0.0015)
    if name == "queensland":
        tree = load_tree_files(EXAMPLES / "shedlist").tree
        return Deployment(tree, 0.001, 0.001)
    return Deployment(build_wide_tree(), 0.001, 0.0015)


def build_wide_tree():
    """Return settings with one dataset of 110 shards of 2 servers of 2 slots."""
    targets, layout = {}, {}
    domains = {f"d{number}": True for number in range(4)}
    for number in range(WIDE_DATASET_SHARDS):
        pair = [f"wide-{number:03}-a", f"wide-{number:03}-b"]
        for offset, name in enumerate(pair):
            domain = f"d{(number + offset) % len(domains)}"
            targets[name] = TargetSettings(name, "10.0.0.1:80", domain, 2, 25)
        layout[f"wide-{number:03}"] = pair
    dataset = DatasetSettings("wide", targets, {"1": layout})
    team = TeamSettings("wide", 1, 0.95, WIDE_DEADLINE_MS, 3000, ["wide"])
    return SettingsTree(
        FleetSettings(domains, {}, 256), {"wide": team}, {"wide": dataset}
    )


# Faults.


def kill_replicas(world):
    """Kill one target of each dataset for the rest of the run."""
    at = WARM_UP_S + DOMAIN_OUT_S
    world.measured_from = at
    for dataset in world.tree.datasets.values():
        name = min(dataset.targets)
        world.queue.schedule(at, _kill, world.targets[name])


def restart_targets(world):
    """Restart a random target periodically, without notice; it comes back cold."""
    names = sorted(world.targets)

    def restart():
        world.targets[world.random.choice(names)].restart()
        if world.queue.now < world.load_ends:
            world.queue.schedule(world.queue.now + RESTART_PERIOD_S, restart)

    world.queue.schedule(WARM_UP_S, restart)


def take_domain_out(world):
    """Remove one failure domain, shut its targets down, and restore them cold."""
    domain = min(world.tree.fleet.domains)
    targets = [t for t in world.targets.values() if t.domain == domain]
    world.measured_from = WARM_UP_S + DOMAIN_OUT_S
    queue = world.queue
    queue.schedule(world.measured_from, world.set_domain, domain, False)
    for target in targets:
        target_out = world.measured_from + MAX_DOMAIN_OUT_DELAY_S
        queue.schedule(world.measured_from, _forbid_new_work_after, target, target_out)
        queue.schedule(WARM_UP_S + DOMAIN_DOWN_S, _kill, target)
        queue.schedule(WARM_UP_S + DOMAIN_BACK_S, _restore, target)
    queue.schedule(WARM_UP_S + DOMAIN_BACK_S, world.set_domain, domain, True)


def stop_store(world):
    """Stop the store for the whole measured time."""
    world.is_store_up = False


def report_false_states(world):
    """Let status endpoints report false states while targets restart without notice."""
    restart_targets(world)
    names = sorted(world.targets)

    def change_reported_states():
        for name in names:
            draw = world.random.random()
            state = "warm"
            if draw < FALSE_STATUS_FRACTION:
                state = "draining"
            elif draw < 2 * FALSE_STATUS_FRACTION:
                state = "cold"
            world.targets[name].reported_state = state
        if world.queue.now < world.load_ends:
            world.queue.schedule(
                world.queue.now + FALSE_STATUS_PERIOD_S, change_reported_states
            )

    world.queue.schedule(0.0, change_reported_states)


def _kill(target):
    target.restart()
    target.is_unreachable = True


def _restore(target):
    target.is_unreachable = False
    target.no_new_work_after = None


def _forbid_new_work_after(target, time_s):
    target.no_new_work_after = time_s


# Rows.


class Row:
    """One row of the table.

    Parameters
    ----------
    name : str
    deployments : tuple of str
        The switches are run on the first one only.
    load : float
        Fraction of the capacity.
    seconds : float
        Duration of the load after the warm-up.
    straggler_share : float
    fault : callable or None
        Schedules the faults in a `World`.
    is_scaled : bool
        Whether the run may be shortened; faults at fixed times need the full duration.
    has_switches : bool
        Whether the switches are run.
    """

    __slots__ = (
        "name",
        "deployments",
        "load",
        "seconds",
        "straggler_share",
        "fault",
        "is_scaled",
        "has_switches",
    )

    def __init__(
        self,
        name,
        deployments,
        load,
        seconds,
        straggler_share=0.0,
        fault=None,
        is_scaled=True,
        has_switches=True,
    ):
        self.name = name
        self.deployments = deployments
        self.load = load
        self.seconds = seconds
        self.straggler_share = straggler_share
        self.fault = fault
        self.is_scaled = is_scaled
        self.has_switches = has_switches


MIDLANDS_FIRST = ("midlands", "queensland")
QUEENSLAND_FIRST = ("queensland", "midlands")
WIDE = ("wide",)
ROWS = {
    row.name: row
    for row in (
        Row("steady 50%", MIDLANDS_FIRST, 0.5, 12.0),
        Row("steady 80%", QUEENSLAND_FIRST, 0.8, 8.0),
        Row("overload 120%", MIDLANDS_FIRST, 1.2, 6.0),
        Row("stragglers 80%", QUEENSLAND_FIRST, 0.8, 8.0, STRAGGLER_SHARE),
        Row("110 shards, stragglers 50%", WIDE, 0.5, 12.0, STRAGGLER_SHARE),
        Row("110 shards, stragglers 80%", WIDE, 0.8, 8.0, STRAGGLER_SHARE),
        Row("replica lost, 40%", MIDLANDS_FIRST, 0.4, 8.0, 0.0, kill_replicas),
        Row("cold restarts, 40%", QUEENSLAND_FIRST, 0.4, 10.0, 0.0, restart_targets),
        Row("cold restarts, 5%", MIDLANDS_FIRST, 0.05, 60.0, 0.0, restart_targets),
        Row(
            "domain out, 60%",
            MIDLANDS_FIRST,
            0.6,
            DOMAIN_ROW_S,
            0.0,
            take_domain_out,
            False,
            False,
        ),
        Row(
            "domain out, 40%",
            QUEENSLAND_FIRST,
            0.4,
            DOMAIN_ROW_S,
            0.0,
            take_domain_out,
            False,
        ),
        Row("store out 60 s, 5%", MIDLANDS_FIRST, 0.05, 60.0, 0.0, stop_store),
        Row("health lies, 40%", QUEENSLAND_FIRST, 0.4, 10.0, 0.0, report_false_states),
    )
}


class Figures:
    """Measured columns of one run; times in ms, fractions from 0 to 1."""

    __slots__ = (
        "p50",
        "p99",
        "p999",
        "steady_p99",
        "queries",
        "coverage",
        "least_coverage",
        "goodput",
        "extra",
        "refused",
        "too_low",
        "bookings_refused",
        "late",
        "breaches",
        "doubled",
        "lost",
    )

    def __init__(self, counts):
        latencies = sorted(counts.latencies)
        self.queries = len(latencies)
        self.p50 = compute_quantile_ms(latencies, 0.5)
        self.p99 = compute_quantile_ms(latencies, 0.99)
        self.p999 = compute_quantile_ms(latencies, 0.999)
        self.steady_p99 = compute_quantile_ms(sorted(counts.before), 0.99)
        self.coverage = sum(counts.coverages) / max(1, self.queries)
        self.least_coverage = min(counts.coverages, default=0.0)
        self.goodput = counts.useful / counts.offered
        self.extra = counts.sent / max(1, counts.first_attempts) - 1
        self.refused = counts.refused / max(1, counts.searches)
        self.too_low = counts.too_low / max(1, counts.searches)
        self.bookings_refused = counts.bookings_refused / max(1, counts.bookings)
        self.late = counts.late
        self.breaches = counts.breaches
        self.doubled = counts.doubled
        self.lost = counts.lost

    def list_values(self):
        """Return all values in the order of the columns."""
        return [getattr(self, name) for name in self.__slots__]


def compute_quantile_ms(ordered, fraction):
    """Return a quantile of ordered seconds in ms, 0 without samples."""
    if not ordered:
        return 0.0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)] * 1000


def measure(row_name, deployment, variant, seed, scale=1.0):
    """Run one row and return its `Figures`.

    Parameters
    ----------
    row_name : str
        Key of `ROWS`.
    deployment : str
        See `build_deployment`.
    variant : str
        `PRODUCT`, `BASELINE` or a key of `variants.SWITCHES`.
    seed : int
    scale : float
        Fraction of the row's duration.
    """
    row = ROWS[row_name]
    seconds = row.seconds * (scale if row.is_scaled else 1.0)
    arguments = [build_deployment(deployment), seed, row.load, seconds]
    arguments.append(row.straggler_share)
    if variant == BASELINE:
        world = BaselineWorld(*arguments)
    else:
        world = ProductWorld(*arguments, SWITCHES.get(variant))
    if row.fault is not None:
        row.fault(world)
    return Figures(world.run())


def list_cases(rows, is_quick):
    """Return the ``(row, deployment, variant, scale)`` of all runs."""
    cases = []
    scale = QUICK_SCALE if is_quick else 1.0
    for row in rows:
        for deployment in row.deployments:
            for variant in (PRODUCT, BASELINE):
                cases.append((row.name, deployment, variant, scale))
        if row.has_switches and not is_quick:
            for variant in (PRODUCT, *SWITCHES):
                cases.append((row.name, row.deployments[0], variant, SWITCH_SCALE))
    return list(dict.fromkeys(cases))


def run_cases(cases, seed, jobs):
    """Return a dict of each case to its `Figures`."""
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        # The longest runs start first, so that none of them delays the end.
        ordered = sorted(cases, key=_estimate_cost, reverse=True)
        futures = {
            case: pool.submit(measure, *case[:3], seed, case[3]) for case in ordered
        }
        return {case: futures[case].result() for case in cases}


def _estimate_cost(case):
    row = ROWS[case[0]]
    shards = 2 if case[1] == "wide" else 1
    return row.load * row.seconds * shards * (case[3] if row.is_scaled else 1.0)


# Output.

_HEADER = (
    "row",
    "variant",
    "queries",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "coverage mean",
    "least",
    "goodput %",
    "extra %",
    "refused %",
    "too low %",
    "late",
    "breaches",
    "doubled",
    "lost",
)


def print_table(results):
    """Print the table of the product, the baseline and the switches."""
    print(f"| {' | '.join(_HEADER)} |")
    print("|" + " --- |" * len(_HEADER))
    for (row, deployment, variant, scale), f in results.items():
        name = variant if variant in (PRODUCT, BASELINE) else f"no {variant}"
        if scale == SWITCH_SCALE:
            name += " (short)"
        cells = [
            f"{row}, {deployment}",
            name,
            f"{f.queries}",
            f"{f.p50:.1f}",
            f"{f.p99:.1f}",
            f"{f.p999:.1f}",
            f"{f.coverage:.4f}",
            f"{f.least_coverage:.3f}",
            f"{f.goodput * 100:.1f}",
            f"{f.extra * 100:.2f}",
            f"{f.refused * 100:.2f}",
            f"{f.too_low * 100:.2f}",
            *(f"{value}" for value in (f.late, f.breaches, f.doubled, f.lost)),
        ]
        print(f"| {' | '.join(cells)} |")


def list_aims(results):
    """Return ``(aim, measured, is_met)`` for each aim and row."""
    aims = []
    for (row, deployment, variant, scale), f in results.items():
        if variant != PRODUCT or scale == SWITCH_SCALE:
            continue
        place = f"{row}, {deployment}"
        wrong = (f.breaches, f.doubled, f.lost)
        text = "{} breaches, {} doubled, {} lost".format(*wrong)
        aims.append((f"{place}: no breach, doubled or lost", text, not any(wrong)))
        text = f"{f.extra * 100:.2f}%"
        aims.append((f"{place}: extra load <= 5%", text, f.extra <= MAX_EXTRA_LOAD))
        aims += _list_row_aims(row, place, f)
    return aims


def _list_row_aims(row, place, f):
    if row.startswith("110 shards"):
        text = f"{f.p99:.1f} ms"
        yield f"{place}: p99 <= 150 ms", text, f.p99 <= MAX_P99_MS
    elif row.startswith("overload"):
        text = f"{f.goodput * 100:.1f}%, {f.late} late"
        is_met = f.goodput >= MIN_GOODPUT and not f.late
        yield f"{place}: goodput >= 90%, none late", text, is_met
    elif row.startswith("domain out"):
        ratio = f.p99 / f.steady_p99 if f.steady_p99 else float("inf")
        text = f"{f.p99:.1f} ms is {ratio:.2f} times {f.steady_p99:.1f} ms"
        yield f"{place}: p99 <= 1.5 times steady", text, ratio <= MAX_P99_RATIO
        text = f"least {f.least_coverage:.3f}"
        yield f"{place}: coverage 100%", text, f.least_coverage >= 1.0
    elif row.startswith("store out"):
        text = f"{f.coverage:.4f} mean, {f.bookings_refused * 100:.0f}% refused"
        is_met = f.coverage >= 1.0 and not f.refused and f.bookings_refused >= 1.0
        yield f"{place}: searches go on, bookings are refused", text, is_met


def print_aims(results):
    """Print each aim with the measured value; return the number of missed aims."""
    print("\n| aim | measured | |\n| --- | --- | --- |")
    missed = 0
    for aim, measured, is_met in list_aims(results):
        missed += not is_met
        print(f"| {aim} | {measured} | {'met' if is_met else 'MISSED'} |")
    return missed


_COMPARED = (
    # Attribute, label, and the factor and amount that an increase must exceed.
    ("p99", "p99", 1.1, 2.0),
    ("extra", "extra load", 1.0, 0.01),
    ("refused", "refused", 1.0, 0.01),
    ("too_low", "coverage too low", 1.0, 0.01),
    ("late", "late", 1.0, 0.5),
    ("breaches", "breaches", 1.0, 0.5),
    ("doubled", "doubled", 1.0, 0.5),
    ("lost", "lost", 1.0, 0.5),
)


def compare(with_mechanism, without_mechanism):
    """Return descriptions of the values that are worse in the second `Figures`."""
    worse = []
    for name, label, factor, amount in _COMPARED:
        old, new = getattr(with_mechanism, name), getattr(without_mechanism, name)
        if new > old * factor + amount:
            worse.append(f"{label} {_format(name, old)} -> {_format(name, new)}")
    if without_mechanism.goodput < with_mechanism.goodput - 0.01:
        old, new = with_mechanism.goodput, without_mechanism.goodput
        worse.append(f"goodput {old * 100:.1f}% -> {new * 100:.1f}%")
    return worse


def _format(name, value):
    if name == "p99":
        return f"{value:.0f} ms"
    return f"{value * 100:.1f}%" if isinstance(value, float) else str(value)


def print_switches(results):
    """Print the benefit and the cost of each mechanism in each row."""
    print("\n| switched off | row | worse without it | better without it |")
    print("| --- | --- | --- | --- |")
    for switch in SWITCHES:
        for case, without_mechanism in results.items():
            if case[2] != switch:
                continue
            with_mechanism = results[(case[0], case[1], PRODUCT, case[3])]
            worse = "; ".join(compare(with_mechanism, without_mechanism)) or "-"
            better = "; ".join(compare(without_mechanism, with_mechanism)) or "-"
            if worse != "-" or better != "-":
                print(f"| {switch} | {case[0]} | {worse} | {better} |")


def main():
    """Run the rows and print the table, the aims and the switches."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=WORKER_PROCESSES)
    parser.add_argument("--quick", action="store_true", help="short and no switches")
    parser.add_argument("--row", action="append", help="only rows that contain this")
    arguments = parser.parse_args()
    logging.getLogger("tarragonchute").setLevel(logging.ERROR)
    wanted = arguments.row or [""]
    rows = [r for r in ROWS.values() if any(text in r.name for text in wanted)]
    started_at = time.monotonic()
    cases = list_cases(rows, arguments.quick)
    results = run_cases(cases, arguments.seed, arguments.jobs)
    print(f"Mean service time {SERVICE_S * 1000:.0f} ms, seed {arguments.seed}.\n")
    print_table(results)
    missed = print_aims(results)
    print_switches(results)
    print(f"\n{missed} aims missed; {time.monotonic() - started_at:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
