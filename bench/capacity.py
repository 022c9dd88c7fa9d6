"""Measure the slopes behind docs/CAPACITY.md and extrapolate to the target size.

The real modules run in one process, without sockets. Each time is the minimum of
several repetitions, because other load on the machine only adds time.
"""

import argparse
import gc
import random
import sys
import time
import tracemalloc

import h11

from tarragonchute import wire
from tarragonchute.budgets import Budgets
from tarragonchute.configuration import Configuration, SubtreeValue
from tarragonchute.dispatches import Dispatch
from tarragonchute.holdercore import HolderCore
from tarragonchute.limits import WARM
from tarragonchute.membership import (
    HEARTBEAT_PERIOD_S,
    Member,
    Membership,
    View,
)
from tarragonchute.messages import (
    Heartbeat,
    LoadEstimate,
    ShardAnswer,
    ShardAnswers,
    ShardGroup,
    ShardItem,
)
from tarragonchute.placement import update_holders
from tarragonchute.routing import Router
from tarragonchute.searches import SearchRun, SendGroup
from tarragonchute.settings import (
    DatasetSettings,
    FleetSettings,
    SettingsTree,
    TargetSettings,
    TeamSettings,
    parse_subtree,
)
from tarragonchute.snapshots import SnapshotChooser
from tarragonchute.targets import TargetAnswer

VM_COUNT = 1600
TARGETS = 12_000
QUERIES_PER_S = 260_000
SHARDS = 110
CELL_SIZE = 5
CELLS = VM_COUNT // CELL_SIZE
CHANGES_PER_DAY = 4600
RESTARTS_PER_DAY = 760
FAILURES_PER_DAY = 19
DAY_S = 86_400
TCP_IP_BYTES = 66
"""Ethernet, IP and TCP headers of one segment with timestamps."""

FIRST_EPOCH = (1 << 32) + 123_456_789
"""Epoch of a view from the store: number 1 in the high, a hash in the low 32 bits."""

CPU_BUDGET_CORES = 0.045
MEMORY_BUDGET_MB = 128
TRAFFIC_BUDGET_KB_PER_S = 5
REPETITIONS = 5


class LineFit:
    """Least-squares line through measured points.

    Parameters
    ----------
    points : list of (float, float)
        Size and measured value.
    """

    __slots__ = ("points", "slope", "intercept")

    def __init__(self, points):
        self.points = points
        count = len(points)
        mean_x = sum(x for x, _ in points) / count
        mean_y = sum(y for _, y in points) / count
        square_sum = sum((x - mean_x) ** 2 for x, _ in points)
        product_sum = sum((x - mean_x) * (y - mean_y) for x, y in points)
        self.slope = product_sum / square_sum
        self.intercept = mean_y - self.slope * mean_x

    def at(self, size):
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def measure_seconds(action, repeat=1):
    """Return the minimum time of one call of `action` in seconds."""
    best = float("inf")
    for _ in range(REPETITIONS):
        started_at = time.perf_counter()
        for _ in range(repeat):
            action()
        best = min(best, (time.perf_counter() - started_at) / repeat)
    return best


def measure_memory(build):
    """Return the size of the result of `build` in bytes."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


# Members.


def build_cell(size):
    """Return two `Membership` objects that share a view of `size` members."""
    members = {
        f"vm-{n:04}": Member(f"{n:016x}", f"10.0.0.1:{n}", f"d{n % 8}")
        for n in range(size)
    }
    view = View(FIRST_EPOCH, members)
    memberships = []
    for vm_id, member in list(members.items())[:2]:
        membership = Membership(vm_id, member.incarnation, "", "d0")
        membership.adopt_view(view, 0.0)
        membership.record_settings_read(view.epoch)
        membership.set_settings("d" * 24)
        memberships.append(membership)
    return memberships


def measure_heartbeat(size):
    """Return the seconds and the bytes that one heartbeat takes.

    It is built, encoded, decoded and handled.
    """
    one, other = build_cell(size)
    clock = [0.0]

    def send_all():
        clock[0] += HEARTBEAT_PERIOD_S
        for _, heartbeat in one.build_heartbeats(clock[0]):
            wire.encode_envelope(Heartbeat.KIND, one.vm_id, 0, heartbeat.to_body())

    def receive():
        clock[0] += HEARTBEAT_PERIOD_S / size
        envelope = wire.decode_envelope(frame[4:])
        heartbeat = Heartbeat.from_body(envelope.body)
        other.handle_heartbeat(envelope.sender, heartbeat, clock[0])

    heartbeat = one.build_heartbeats(clock[0])[0][1]
    frame = wire.encode_envelope(Heartbeat.KIND, one.vm_id, 0, heartbeat.to_body())
    sending = measure_seconds(send_all, 3) / (size - 1)
    receiving = measure_seconds(receive, 50)
    return sending + receiving, len(frame) + TCP_IP_BYTES


def build_replica_groups(targets):
    """Return replica groups of two targets each."""
    return [(f"t{n:05}-a", f"t{n:05}-b") for n in range(targets // 2)]


def measure_view_change(members, targets):
    """Return the seconds to reassign one VM's targets and to parse the view.

    The third value is the size of the view in characters.
    """
    groups = build_replica_groups(targets)
    vm_ids = [f"vm-{number:04}" for number in range(members)]
    current = update_holders(groups, vm_ids, {})
    seconds = measure_seconds(lambda: update_holders(groups, vm_ids[1:], current))
    rows = {k: Member("0" * 16, "10.0.0.1:7000", "d1") for k in vm_ids}
    view = View(2, rows, [], groups, (), current)
    text = view.to_value()
    parsing = measure_seconds(lambda: View.from_value(text))
    return seconds, parsing, len(text)


# Settings.


def build_tree(targets, per_dataset=220):
    """Return settings with `targets` targets in datasets of `per_dataset`."""
    datasets, teams = {}, {}
    for start in range(0, targets, per_dataset):
        name = f"dataset-{start}"
        rows, layout = {}, {}
        for number in range(start, min(start + per_dataset, targets), 2):
            pair = [f"t{number}-a", f"t{number}-b"]
            for target in pair:
                rows[target] = TargetSettings(target, "10.0.0.1:80", "d1", 2, 25)
            layout[f"s{number}"] = pair
        datasets[name] = DatasetSettings(name, rows, {"1": layout, "2": dict(layout)})
        teams[name] = TeamSettings(name, 1, 1.0, 150, 5000, [name])
    return SettingsTree(FleetSettings({"d1": True}, {}, 256), teams, datasets)


def measure_settings_change(targets, per_dataset=220):
    """Return the seconds to apply one changed dataset, and the length of its text."""
    tree = build_tree(targets)
    chooser, router = SnapshotChooser(), Router(lambda target: None, random.Random(1))
    configuration = Configuration()
    for name in tree.datasets:
        configuration.apply(f"dataset/{name}", SubtreeValue(1, "", []))
    lines = []
    for number in range(per_dataset):
        lines += [f"[target t{number}]", f"address = 10.0.0.1:{80 + number}"]
        lines += ["domain = d1", "slots = 2", "max_connections = 25"]
    lines.append("[layout 1]")
    for number in range(0, per_dataset, 2):
        lines.append(f"s{number} = t{number} t{number + 1}")
    text = "\n".join(lines)
    version = [1]

    def apply():
        version[0] += 1
        value = SubtreeValue(version[0], text, [])
        configuration.apply("dataset/dataset-0", value)
        configuration.digest()
        parse_subtree("dataset/dataset-0", text, "bench")
        chooser.set_tree(tree)
        router.set_tree(tree)

    return measure_seconds(apply), len(text)


# Shard requests.


class _AllowAllTargets:
    """Permission to send to every target."""

    def check_target(self, target_id, now):
        """Permit the request."""


def measure_holder(items=11):
    """Return the seconds of the holder's own code per shard request."""
    core = HolderCore(_AllowAllTargets())
    targets = [
        TargetSettings(f"t{n}", "10.0.0.1:80", "d1", 2, 25) for n in range(items)
    ]
    for probe in core.set_targets(targets, 1, 0.0):
        core.handle_status(probe.target_id, WARM, 0.0)
    for row in core.list_rows():
        row.state = WARM
        row.limit = 2
    state = [0, 0.0]
    answer = TargetAnswer("ok", {"hits": []}, "warm", "boot-1")

    def run():
        state[0] += 1
        state[1] += 0.01
        number, now = state
        group = ShardGroup(f"{number:032x}", "team", "ds", "1", {"q": 1}, 100.0, [])
        group.items = [ShardItem(n, f"s{n}", f"t{n}") for n in range(items)]
        for action in core.submit("vm-1", number, group, now):
            if type(action) is Dispatch:
                core.complete(action, answer, now + 0.004)
        core.advance(now + 0.005)

    return measure_seconds(run, 200) / items


def measure_entry():
    """Return the seconds of the entry's own code per shard of a 110-shard query."""
    tree = build_tree(2 * SHARDS)
    chooser = SnapshotChooser()
    chooser.set_tree(tree)
    holders = {t: f"vm-{n % CELL_SIZE}" for n, t in enumerate(tree.list_targets())}
    router = Router(holders.get, random.Random(1))
    router.set_tree(tree)
    budgets = Budgets()
    load = LoadEstimate(2, 0, 4.0)
    clock = [0.0]

    def run():
        clock[0] += 0.1
        now = clock[0]
        budget = budgets.find("dataset-0", now)
        search = SearchRun(
            "0" * 32, "team", "dataset-0", {}, 0.15, 1.0, chooser, router, budget
        )
        for action in search.start(now):
            if type(action) is SendGroup:
                answers = [
                    ShardAnswer(i.attempt, "ok", "done", {"hits": []}, load)
                    for i in action.message.items
                ]
                search.handle_answers(answers, now + 0.01, action.vm_id)
        search.result()

    return measure_seconds(run, 20) / SHARDS


def measure_wire(items=11):
    """Return the seconds per item to encode and decode a group and its answers."""
    rows = [ShardItem(n, f"s{n}", f"target-{n}") for n in range(items)]
    group = ShardGroup("0" * 32, "team", "ds", "1", {"text": "lantern"}, 100.0, rows)
    load = LoadEstimate(2, 0, 4.0)
    hits = {"hits": [{"id": n, "title": "a title of a book"} for n in range(3)]}
    answers = ShardAnswers(
        "0" * 32, [ShardAnswer(n, "ok", "done", hits, load) for n in range(items)]
    )

    def run():
        for message, kind in ((group, ShardGroup), (answers, ShardAnswers)):
            frame = wire.encode_envelope(kind.KIND, "vm-1", 1, message.to_body())
            kind.from_body(wire.decode_envelope(frame[4:]).body)

    return measure_seconds(run, 100) / items


def measure_floor():
    """Return the client-side seconds of one exchange with h11 alone."""
    connection = h11.Connection(h11.CLIENT)
    answer = (
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"X-State: warm\r\nX-Boot-Id: 1\r\nX-Request-Id: 1\r\nX-Shard: s0\r\n"
        b"X-Snapshot: 1\r\nContent-Length: 11\r\n\r\n" + b'{"hits":[]}'
    )
    headers = [
        ("Host", "10.0.0.1:80"),
        ("Content-Length", "12"),
        ("X-Request-Id", "0" * 32),
        ("X-Deadline-Ms", "1700000000000"),
        ("X-Snapshot", "1"),
    ]

    def run():
        target = "/v1/shards/s0/search"
        connection.send(h11.Request(method="POST", target=target, headers=headers))
        connection.send(h11.Data(data=b'{"text":"a"}'))
        connection.send(h11.EndOfMessage())
        connection.receive_data(answer)
        while not isinstance(connection.next_event(), h11.EndOfMessage):
            pass
        connection.start_next_cycle()

    return measure_seconds(run, 200)


# Tables.


def print_slopes():
    """Measure and print the slopes; return the fits for the extrapolation."""
    print("| measured | sizes | values | slope |")
    print("| --- | --- | --- | --- |")
    heartbeat = LineFit(
        [(n, measure_heartbeat(n)[0] * 1e6) for n in (10, 100, 400, 1600)]
    )
    _print_fit("one heartbeat, sent and taken, us", "members", heartbeat)
    frame_bytes = measure_heartbeat(CELL_SIZE)[1]
    sizes = (TARGETS // CELLS, *_TARGET_SIZES)
    changes = [(n, measure_view_change(CELL_SIZE, n)) for n in sizes]
    reassignment = LineFit([(n, (one[0] + one[1]) * 1e3) for n, one in changes])
    _print_fit(
        f"one member change in a cell of {CELL_SIZE}, ms",
        "targets of the cell",
        reassignment,
    )
    members = [(n, measure_view_change(n, 1000)) for n in (100, 400, 1600)]
    reassignment_by_members = LineFit(
        [(n, (one[0] + one[1]) * 1e3) for n, one in members]
    )
    _print_fit(
        "one member change, 1,000 targets, ms",
        "members of the cell",
        reassignment_by_members,
    )
    view_bytes = LineFit([(n, one[2] / 1e3) for n, one in changes])
    _print_fit("view in the store, KB", "targets of the cell", view_bytes)
    settings = [(n, measure_settings_change(n)) for n in (1000, 4000, 12_000)]
    settings_apply = LineFit([(n, one[0] * 1e3) for n, one in settings])
    _print_fit(
        "one dataset of 220 targets changed, ms", "targets in all", settings_apply
    )
    memory = LineFit(
        [(n, measure_memory(lambda n=n: build_tree(n)) / 1e6) for n in _TARGET_SIZES]
    )
    _print_fit("settings in memory, MB", "targets in all", memory)
    cell_memory = LineFit(
        [(n, measure_memory(lambda n=n: build_cell(n)) / 1e6) for n in (100, 400, 1600)]
    )
    _print_fit("two members' tables, MB", "members", cell_memory)
    shard = [measure_holder() * 1e6, measure_entry() * 1e6, measure_wire() * 1e6]
    print(f"| holder, us a shard request | - | {shard[0]:.1f} | - |")
    print(f"| entry, us a shard request | - | {shard[1]:.1f} | - |")
    print(f"| messages both ways, us a shard request | - | {shard[2]:.1f} | - |")
    print(
        f"| heartbeat with headers, bytes | cell of {CELL_SIZE} | {frame_bytes} | - |"
    )
    text_kb = settings[0][1][1] / 1e3
    return (
        heartbeat,
        frame_bytes,
        reassignment,
        settings_apply,
        memory,
        shard,
        text_kb,
        view_bytes,
    )


_TARGET_SIZES = (1000, 4000, 12_000)


def _print_fit(name, unit, fit):
    sizes = ", ".join(f"{x:,}" for x, _ in fit.points)
    values = ", ".join(f"{y:.2f}" for _, y in fit.points)
    print(f"| {name} | {sizes} {unit} | {values} | {fit.slope * 1000:.3f} for 1,000 |")


def print_control_budget(slopes):
    """Print the cost of the control traffic per node at the target size."""
    (
        heartbeat,
        frame_bytes,
        reassignment,
        settings_apply,
        memory,
        _,
        text_kb,
        view_size_kb,
    ) = slopes
    per_s = (CELL_SIZE - 1) / HEARTBEAT_PERIOD_S
    targets = TARGETS / CELLS
    heartbeat_cpu = per_s * heartbeat.at(CELL_SIZE) / 1e6
    changes_s = CHANGES_PER_DAY / DAY_S
    settings_cpu = changes_s * settings_apply.at(TARGETS) / 1e3
    # A restart takes 3 views: one marks the member, one removes it, one adds it.
    views_s = (RESTARTS_PER_DAY * 3 + FAILURES_PER_DAY * 2) / DAY_S
    # Each cell sees only its own changes. The smallest size equals the targets of a
    # cell, so its value needs no extrapolation.
    view_cpu = views_s / CELLS * reassignment.points[0][1] / 1e3
    cpu = heartbeat_cpu + settings_cpu + view_cpu
    settings_traffic = changes_s * text_kb
    view_traffic = views_s / CELLS * view_size_kb.at(targets)
    traffic = per_s * frame_bytes / 1e3 + settings_traffic + view_traffic
    print("\n| control of one node at the target size | value | budget | factor |")
    print("| --- | --- | --- | --- |")
    print(f"| heartbeats, % of a core | {100 * heartbeat_cpu:.2f} | | |")
    print(f"| settings changes, % of a core | {100 * settings_cpu:.2f} | | |")
    print(f"| view changes, % of a core | {100 * view_cpu:.3f} | | |")
    _print_budget("CPU in all, % of a core", 100 * cpu, 100 * CPU_BUDGET_CORES)
    print(f"| heartbeats sent, KB/s | {per_s * frame_bytes / 1e3:.2f} | | |")
    print(f"| settings taken, KB/s | {settings_traffic:.2f} | | |")
    print(f"| views taken, KB/s | {view_traffic:.4f} | | |")
    _print_budget("traffic in all, one way, KB/s", traffic, TRAFFIC_BUDGET_KB_PER_S)
    _print_budget("settings in memory, MB", memory.at(TARGETS), MEMORY_BUDGET_MB)


def _print_budget(name, value, budget):
    print(f"| {name} | {value:.2f} | {budget:g} | {value / budget:.2f} |")


def print_store_budget():
    """Print the rate of calls to the key-value store at the target size."""
    views_s = (RESTARTS_PER_DAY * 3 + FAILURES_PER_DAY * 2) / DAY_S
    changes_s = CHANGES_PER_DAY / DAY_S
    watches = 2 * CELLS
    rows = [
        ("views: one read and one write a change", views_s, views_s),
        ("settings: one read and one write a change", changes_s, changes_s),
        ("settings: read by one watcher of each cell", changes_s * CELLS, 0.0),
        ("watches re-armed every 10 s, 2 for each cell", watches / 10, 0.0),
        ("settings read again after a view change", views_s * CELL_SIZE, 0.0),
    ]
    print("\n| calls on the store at the target size | reads/s | writes/s |")
    print("| --- | --- | --- |")
    for name, reads, writes in rows:
        print(f"| {name} | {reads:.2f} | {writes:.3f} |")
    reads, writes = sum(r for _, r, _ in rows), sum(w for _, _, w in rows)
    print(f"| in all, without bookings | {reads:.1f} | {writes:.2f} |")
    print(f"| waiting watches at any time | {watches} | |")
    members = VM_COUNT // 8
    print(
        f"| a failure domain lost: {members} VMs expelled, in the first 5 s | "
        f"{2 * CELLS / 5:.0f} | {CELLS / 5:.0f} |"
    )


def print_work(shard):
    """Print the CPU use of shard requests per node at the target size."""
    per_node = QUERIES_PER_S * SHARDS / VM_COUNT
    own_us = sum(shard)
    floor_us = measure_floor() * 1e6
    print("\n| work of one node at the target size | value |")
    print("| --- | --- |")
    print(f"| shard requests/s sent to targets | {per_node:.0f} |")
    print(f"| own code and messages, us a shard request | {own_us:.1f} |")
    print(f"| cores for that | {per_node * own_us / 1e6:.1f} |")
    print(f"| h11 alone, us an exchange on the client's side | {floor_us:.0f} |")
    print(f"| cores for that | {per_node * floor_us / 1e6:.1f} |")


def main():
    """Print all tables."""
    argparse.ArgumentParser(description=__doc__.splitlines()[0]).parse_args()
    slopes = print_slopes()
    print_control_budget(slopes)
    print_store_budget()
    print_work(slopes[5])
    return 0


if __name__ == "__main__":
    sys.exit(main())
