"""Case 1: servers in trouble send a body without end, in chunks of one byte."""

import asyncio
import os
import random
import time

from deployment import ZONES, Connection, Deployment, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))
VMS = 2
SHARE = 0.5
SPOILED = 0.04
TROUBLE_S = 5.0
"""share, x and for_s of one `garble` on a standard day of sites/shedlist-qld.toml."""
CALM_S = 4.0
RATE_PER_VM = 56.2 / 6
"""Requests per second: those of the sheet, over its six VMs. Six of ten are list-build,
two aisle-check and two plan-fetch."""
ROUTES = {"/list/x": 0.4, "/check/x": 0.25, "/plan/x": 1.5}
"""Time limits of the routes (timeout-ms) in seconds."""
MIX = ["/list/x"] * 6 + ["/check/x"] * 2 + ["/plan/x"] * 2
PATIENCE_S = 4.0
"""The consumer's own time limit (Request-Deadline). It is longer than the routes'."""
CHUNKS = b"1\r\nx\r\n" * 10_000
MAX_LAG_S = 0.25
"""If the event loop of the stand-ins is later than this, its times prove nothing."""


class Trouble:
    """Decides which answers of the servers in trouble are spoiled."""

    def __init__(self, record):
        self.is_on = False
        self.spoiled = 0
        self._record = record
        self._random = random.Random(1)

    async def behave(self, server, request, number, reader, writer):
        """Answer a request; send a body without end instead of x of the answers."""
        if not self.is_on or self._random.random() >= SPOILED:
            writer.write(await server.run(request))
            return True
        request_id = request.headers.get("request-id", "")
        self.spoiled += 1
        self._record.write(f"spoil {server.target_id} {request_id}")
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Stamp: {server.stamp(request)}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        try:
            while self.is_on:
                writer.write(CHUNKS)
                await writer.drain()
                await asyncio.sleep(0.02)
        except ConnectionError:
            pass
        writer.transport.abort()
        return False


class Consumers:
    """Sends requests at a steady rate, and keeps what became of them."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.results = []
        self._tasks = []

    async def run(self, name, duration_s):
        ends_at = time.monotonic() + duration_s
        number = 0
        while time.monotonic() < ends_at:
            for vm in self.deployment.vms:
                path = MIX[number % len(MIX)]
                request_id = f"{name}-{number}-{vm.name}"
                task = asyncio.create_task(self._send(vm, path, request_id, name))
                self._tasks.append(task)
            number += 1
            await asyncio.sleep(1 / RATE_PER_VM)

    async def finish(self):
        await asyncio.gather(*self._tasks)

    async def _send(self, vm, path, request_id, name):
        record = self.deployment.record
        record.write(f"send {vm.name} {path} {request_id}")
        started_at = time.monotonic()
        headers = [
            ("Request-Id", request_id),
            ("Request-Deadline", str(int(PATIENCE_S * 1000))),
        ]
        try:
            connection = await asyncio.wait_for(Connection.open(vm.front), PATIENCE_S)
            answer = connection.exchange("GET", path, headers)
            outcome = (await asyncio.wait_for(answer, PATIENCE_S))[0]
            connection.close()
        except (asyncio.TimeoutError, EOFError, OSError) as error:
            outcome = type(error).__name__
        elapsed_s = time.monotonic() - started_at
        record.write(f"end {request_id} {outcome} after {elapsed_s:.3f} s")
        self.results.append((name, path, outcome, elapsed_s))


async def watch_lag(lags):
    while True:
        due_at = time.monotonic() + 0.05
        await asyncio.sleep(0.05)
        lags.append(time.monotonic() - due_at)


def judge(record, results, name):
    """Return whether rule CONFIG is broken by the requests of one phase."""
    rows = [row for row in results if row[0] == name]
    late = [row for row in rows if row[3] > ROUTES[row[1]]]
    very_late = [row for row in late if row[3] > ROUTES[row[1]] + 0.5]
    served = sum(row[2] == 200 for row in rows)
    text = (
        f"{name}: {len(rows)} requests, {served} answered 200; {len(late)} without an "
        f"answer at their route's timeout-ms, {len(very_late)} without one 0.5 s later"
    )
    record.write(text)
    print(text)
    return len(very_late) >= 8 and len(very_late) > len(late) / 2


async def main():
    async with Deployment(FOLDER, ZONES[:VMS]) as deployment:
        record = deployment.record
        trouble = Trouble(record)
        lags = []
        lag_task = asyncio.create_task(watch_lag(lags))
        for service in {server.service for server in deployment.servers}:
            for server in deployment.list_servers(service):
                server.behave = trouble.behave
        chosen = random.Random(2).sample(
            deployment.servers, int(SHARE * len(deployment.servers))
        )
        for server in deployment.servers:
            if server not in chosen:
                server.behave = None
        consumers = Consumers(deployment)
        await consumers.run("calm", CALM_S)
        await consumers.finish()
        if judge(record, consumers.results, "calm"):
            return 2
        trouble.is_on = TROUBLE
        record.write(f"{len(chosen)} of {len(deployment.servers)} servers in trouble")
        await consumers.run("trouble", TROUBLE_S)
        await consumers.finish()
        trouble.is_on = False
        record.write(f"{trouble.spoiled} answers spoiled")
        is_broken = judge(record, consumers.results, "trouble")
        lag_task.cancel()
        lags.sort()
        lag = lags[int(0.95 * len(lags))]
        record.write(f"lag of the stand-ins: {lag:.3f} s (95th percentile)")
        print(f"{trouble.spoiled} answers spoiled; lag of the stand-ins {lag:.3f} s")
        if lag > MAX_LAG_S:
            return 2
        return int(is_broken)


if __name__ == "__main__":
    run_case(main)
