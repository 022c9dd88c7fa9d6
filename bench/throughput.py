"""Measure the CPU time per shard request of real processes, relative to a floor.

The floor is one exchange of the same size with h11 and trio alone, between two
processes. Only its client side counts, as the VMs are clients of the targets.
"""

import argparse
import os
import sys
import tempfile
import time

import h11
import trio

from tools.demo import load_settings
from tools.deployment import DatasetPlan, Deployment
from tools.load import LoadBalancer, LoadGenerator, PhaseReport

SHARDS = 110
DOMAINS = ["d1", "d2", "d3"]
DATASET = DatasetPlan("bench", "hollowmere", SHARDS, 2, 8, 100, service_ms=1)
BOOKING_DATASET = DatasetPlan("desk", "hollowmere", 1, 2, 4, 35)
FLOOR_EXCHANGES = 3000
IDLE_S = 5.0
BODY = b'{"text":"lantern"}'
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class FloorResult:
    """Client-side CPU time of one floor exchange in microseconds."""

    __slots__ = ("cpu_us",)

    def __init__(self, cpu_us):
        self.cpu_us = cpu_us


async def measure_floor(address):
    """Measure exchanges with a stand-in target through h11 and trio alone.

    Parameters
    ----------
    address : str
        Address of a stand-in target of the dataset.
    """
    host, _, port = address.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    connection = h11.Connection(h11.CLIENT)
    async with stream:
        started_at = time.process_time()
        for number in range(FLOOR_EXCHANGES):
            await _exchange(stream, connection, number)
        seconds = time.process_time() - started_at
    return FloorResult(seconds / FLOOR_EXCHANGES * 1e6)


async def _exchange(stream, connection, number):
    deadline_ms = str(int((time.time() + 0.5) * 1000))
    headers = [
        ("Host", "target"),
        ("Content-Length", str(len(BODY))),
        ("X-Request-Id", f"{number:032x}"),
        ("X-Deadline-Ms", deadline_ms),
        ("X-Snapshot", "1"),
    ]
    request = h11.Request(method="POST", target="/v1/shards/s0/search", headers=headers)
    data = connection.send(request) + connection.send(h11.Data(data=BODY))
    await stream.send_all(data + connection.send(h11.EndOfMessage()))
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(65536))
        elif isinstance(event, h11.EndOfMessage):
            break
    connection.start_next_cycle()


def read_cpu_seconds(pid):
    """Return the user plus system CPU seconds of a process."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def run_bench(searches, interval_s):
    """Start a deployment, measure, print the table and return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        datasets = [DATASET, BOOKING_DATASET]
        async with Deployment(folder, DOMAINS, datasets, log_level="warning") as one:
            balancer = LoadBalancer(one.callers)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(balancer.run)
                await load_settings(one, one.vm_ids[0])
                await balancer.wait_healthy(len(one.vm_ids))
                await _measure(one, balancer, searches, interval_s)
                nursery.cancel_scope.cancel()
    return 0


def _read_all(pids):
    return sum(read_cpu_seconds(pid) for pid in pids)


async def _measure_idle(pids):
    """Return the CPU seconds per second that the VMs use without searches."""
    before = _read_all(pids)
    await trio.sleep(IDLE_S)
    return (_read_all(pids) - before) / IDLE_S


async def _measure(deployment, balancer, searches, interval_s):
    callers = LoadGenerator(balancer, "hollowmere", "bench", "desk", ["s0"], 1000)
    warm_up = PhaseReport("warm-up")
    await callers.run(warm_up, 20, interval_s, searches_per_booking=1000)
    floor = await measure_floor(deployment.get_target_address("bench-s0-0"))
    pids = [deployment.processes[vm_id].pid for vm_id in deployment.vm_ids]
    idle_rate = await _measure_idle(pids)
    before = _read_all(pids)
    started_at = time.monotonic()
    report = PhaseReport("measured")
    await callers.run(report, searches, interval_s, searches_per_booking=1000)
    elapsed_s = time.monotonic() - started_at
    used = _read_all(pids) - before
    # Heartbeats and status reads of 222 targets continue without searches.
    own = used - idle_rate * elapsed_s
    shard_us = own / (searches * SHARDS) * 1e6
    mean, least = report.compute_mean_and_min_coverage()
    print(f"searches                        {report.requests} in {elapsed_s:.1f} s")
    print(f"errors                          {report.errors or '-'}")
    print(f"coverage mean, least            {mean:.4f} {least:.2f}")
    print(
        f"p50, p99 ms                     {report.compute_quantile_ms(0.5):.1f} "
        f"{report.compute_quantile_ms(0.99):.1f}"
    )
    print(f"floor, CPU us an exchange       {floor.cpu_us:.0f}")
    print(f"VMs without searches, % of a core  {100 * idle_rate / len(pids):.1f} each")
    print(f"VMs, CPU us a shard request     {shard_us:.0f}")
    print(f"ratio to the floor              {shard_us / floor.cpu_us:.2f}")
    print(f"shard requests a second a core  {1e6 / shard_us:.0f}")
    print(f"searches a second a core        {1e6 / shard_us / SHARDS:.1f}")


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--searches", type=int, default=60)
    parser.add_argument("--interval-ms", type=float, default=300.0)
    arguments = parser.parse_args()
    return trio.run(run_bench, arguments.searches, arguments.interval_ms / 1000)


if __name__ == "__main__":
    sys.exit(main())
