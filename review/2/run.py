"""Case 2: each version of the configuration stays in memory until a VM is killed."""

import asyncio
import json
import os
import time

from deployment import HOST, ZONES, Connection, Deployment, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))
VM_ZONES = (ZONES[0],) * 3 + (ZONES[1],) * 2 + (ZONES[2],)
"""The VMs of sites/shedlist-qld.toml."""
MEMORY_MB = 300
"""memory-mb of the VMs. The platform kills a process that exceeds it."""
HISTORY_S = 20.0
"""history-s of the store."""
GROWTHS = 3
ROUTES_PER_GROWTH = 350
"""`big_config` with count = 350, three times."""
STORM_S = 2.0
STORM_GAP_S = 0.08
STORM_PAUSE_S = 0.5
"""`config_storm` with for_s = 2.0 and gap_s = 0.08, again and again."""
LIMIT_S = 80.0
MIN_KILLED = 3
CONNECTIONS_PER_VM = 8
WORK_S = 0.25
VERSION_MARK = 777_777_777
TIMEOUT_MARK = 888_888_888
MAX_LOST = 3
"""More than three connections that end without an answer break the rule."""


def build_text(deployment, growths):
    """Return a configuration with the routes that were added so far, as JSON text.

    `VERSION_MARK` stands for the version and `TIMEOUT_MARK` for the time limit of one
    route, which differs from version to version.
    """
    body = deployment.build_configuration(VERSION_MARK)
    for number in range(growths * ROUTES_PER_GROWTH):
        body["routes"].append(
            {
                "name": f"r-{number:07d}",
                "host": HOST,
                "prefix": f"/bapu{number:04d}/ti/",
                "kind": "idempotent",
                "timeout-ms": 400,
                "goal-ms": 92,
                "priority": 1,
                "gather": deployment.shards,
                "max-attempts": 2,
                "top-k": 20,
                "min-coverage": 0.89,
            }
        )
    body["routes"][2]["timeout-ms"] = TIMEOUT_MARK
    return json.dumps(body)


def put_version(deployment, text, version):
    """Write one version, as the operator does."""
    text = text.replace(str(VERSION_MARK), str(version), 1)
    text = text.replace(str(TIMEOUT_MARK), str(1500 + version % 20), 1)
    deployment.store.put("op/config", text)
    deployment.record.write(f"version {version} confirmed")


class Platform:
    """Kills VMs that exceed their memory, as the platform does, and restarts them."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.killed = []
        self.peak_mb = {}

    async def run(self):
        while True:
            for vm in self.deployment.vms:
                await self._check(vm)
            await asyncio.sleep(0.1)

    async def _check(self, vm):
        if vm.process.poll() is not None:
            await asyncio.sleep(0.3)
            vm.start(self.deployment.seeds)
            return
        used_mb = read_memory_mb(vm.process.pid)
        self.peak_mb[vm.name] = max(self.peak_mb.get(vm.name, 0), used_mb)
        if used_mb > MEMORY_MB:
            text = f"{vm.name} uses {used_mb:.0f} MB and is killed"
            self.deployment.record.write(text)
            print(text)
            self.killed.append(vm.name)
            vm.process.kill()
            vm.process.wait()


def read_memory_mb(pid):
    try:
        with open(f"/proc/{pid}/status") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1000
    except OSError:
        pass
    return 0.0


class Consumer:
    """Sends orders on a kept connection, one after the other."""

    def __init__(self, deployment, vm, number, lost):
        self.deployment = deployment
        self.vm = vm
        self.name = f"{vm.name}-{number}"
        self.answered = 0
        self.is_stopped = False
        self._lost = lost

    async def run(self):
        number = 0
        while not self.is_stopped:
            try:
                connection = await Connection.open(self.vm.front)
                is_kept = False
                while not self.is_stopped:
                    number += 1
                    await self._send(connection, f"order-{self.name}-{number}", is_kept)
                    is_kept = True
                    await asyncio.sleep(0.05)
            except (OSError, EOFError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)

    async def _send(self, connection, request_id, is_kept):
        record = self.deployment.record
        record.write(f"send {self.vm.name} POST /order/x {request_id}")
        headers = [("Request-Id", request_id), ("Request-Deadline", "1500")]
        answer = connection.exchange("POST", "/order/x", headers, b"1")
        try:
            status, _, _ = await asyncio.wait_for(answer, 3.0)
        except EOFError:
            record.write(f"end {request_id} connection closed without an answer")
            if is_kept:
                self._lost.append(request_id)
            raise
        record.write(f"end {request_id} {status}")
        self.answered += 1


async def change_configuration(deployment, platform):
    """Let the configuration grow, then change it in quick succession."""
    version = 8
    for growths in range(1, GROWTHS + 1):
        text = build_text(deployment, growths)
        put_version(deployment, text, version)
        version += 3
        await asyncio.sleep(1.0)
    size_kb = len(deployment.store.items["op/config"]["value"]) * 0.75 / 1000
    deployment.record.write(f"the configuration has {size_kb:.0f} KB")
    ends_at = time.monotonic() + LIMIT_S
    versions = 0
    while time.monotonic() < ends_at and len(set(platform.killed)) < MIN_KILLED:
        storm_ends_at = time.monotonic() + STORM_S
        while time.monotonic() < storm_ends_at:
            put_version(deployment, text, version)
            version += 3
            versions += 1
            await asyncio.sleep(STORM_GAP_S)
        await asyncio.sleep(STORM_PAUSE_S)
    text = f"{versions} versions of {size_kb:.0f} KB were written"
    deployment.record.write(text)
    print(text)


async def main():
    async with Deployment(FOLDER, VM_ZONES, history_s=HISTORY_S) as deployment:
        for server in deployment.list_servers("planshelf"):
            server.work_s = WORK_S
        lost = []
        platform = Platform(deployment)
        consumers = [
            Consumer(deployment, vm, number, lost)
            for vm in deployment.vms
            for number in range(CONNECTIONS_PER_VM)
        ]
        tasks = [asyncio.create_task(consumer.run()) for consumer in consumers]
        tasks.append(asyncio.create_task(platform.run()))
        if TROUBLE:
            await change_configuration(deployment, platform)
            await asyncio.sleep(2.0)
        else:
            await asyncio.sleep(LIMIT_S / 2)
        for consumer in consumers:
            consumer.is_stopped = True
        tasks[-1].cancel()
        await asyncio.wait(tasks, timeout=4.0)
        ran = {rid for server in deployment.servers for rid in server.ran}
        passed_on = [request_id for request_id in lost if request_id in ran]
        answered = sum(consumer.answered for consumer in consumers)
        peak_mb = max(platform.peak_mb.values())
        text = (
            f"{answered} orders answered; {len(passed_on)} ran and their kept "
            f"connection was closed without an answer; {len(platform.killed)} "
            f"processes killed for their memory; peak {peak_mb:.0f} MB"
        )
        deployment.record.write(text)
        print(text)
        return int(len(passed_on) > MAX_LOST and bool(platform.killed))


if __name__ == "__main__":
    run_case(main)
