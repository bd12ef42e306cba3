"""Seven daemon processes under mixed load and faults, checked against the endpoints' records."""

from __future__ import annotations

import random
import signal
from collections import Counter

import anyio
import attrs
import pytest

from limpetpulley.config import AccessKey, Team, Vm, VmPhase, digest_secret

from .system import ProcessSystem, RequestResult, now

SLOTS = 4
CONNECTIONS = 64
LIMITS = {"large": 12, "small": 6}
LOAD_SECONDS = 70.0
SEED = 7


async def generate_load(system: ProcessSystem, until: float, rng: random.Random) -> None:
    """Submit jobs with and without keys until a time."""
    async with anyio.create_task_group() as tasks:
        number = 0
        while now() < until:
            number += 1
            names = list(system.daemons)
            team = "large" if rng.random() < 0.7 else "small"
            run = f"{rng.uniform(0.05, 0.6):.3f}"
            body = f"body-{number}".encode()
            if rng.random() < 0.3:
                key = f"key-{number}"
                for daemon in rng.sample(names, min(3, len(names))):
                    tasks.start_soon(submit, system, daemon, "jobs", team, body, key, run)
            else:
                queue = rng.choice(["jobs", "safe"])
                tasks.start_soon(submit, system, rng.choice(names), queue, team, body, "", run)
            await anyio.sleep(rng.expovariate(18.0))


async def submit(
    system: ProcessSystem, daemon: str, queue: str, team: str, body: bytes, key: str, run: str
) -> None:
    """Submit one job, unless its daemon has ended."""
    if daemon in system.daemons:
        await system.submit(daemon, queue, team, body, key, run_seconds=run)


async def inject_faults(system: ProcessSystem, event_times: dict[str, float]) -> None:
    """Inject faults and configuration changes one after another.

    :param event_times: receives the time of each event that the checks refer to
    """
    await anyio.sleep(4)
    for proxy in system.endpoints.values():
        proxy.silence()
    await anyio.sleep(3)
    system.daemons["d2"].store_proxy.refuse_connections = True
    await system.daemons["d2"].store_proxy.close_connections()
    system.daemons["d3"].peer_proxy.silence()
    await anyio.sleep(6)
    system.daemons["d2"].store_proxy.refuse_connections = False
    system.daemons["d4"].process.send_signal(signal.SIGSTOP)
    event_times["frozen"] = now()
    await anyio.sleep(8)
    system.daemons["d4"].process.send_signal(signal.SIGCONT)
    await anyio.sleep(3)
    await system.call(system.platform_port, "POST", "/faults", {"outage": True})
    await anyio.sleep(10)
    await system.call(system.platform_port, "POST", "/faults", {"outage": False})
    await anyio.sleep(3)
    event_times["lowered"] = now()
    await system.apply("d1", [Team("large", 1.0, 5)])
    await anyio.sleep(4)
    vm = next(value for value in system.objects(LIMITS, SLOTS) if value.name == "vm-2")
    assert isinstance(vm, Vm)
    event_times["drained"] = now()
    await system.apply("d1", [attrs.evolve(vm, phase=VmPhase.LEAVING)])
    await anyio.sleep(4)
    gone = system.daemons.pop("d5")
    gone.process.kill()
    await anyio.sleep(8)
    leaving = system.daemons.pop("d6")
    event_times["left"] = now()
    leaving.process.send_signal(signal.SIGTERM)
    await anyio.sleep(4)
    key = AccessKey("small-key", "small", digest_secret("secret-small"), withdrawn=True)
    event_times["withdrawn"] = now()
    await system.apply("d1", [key])


async def run_system(tmp_path, event_times: dict[str, float]) -> tuple[ProcessSystem, dict]:
    """Run load and faults; return the system and the runs that its endpoints recorded."""
    async with anyio.create_task_group() as tasks:
        system = ProcessSystem(tasks, tmp_path)
        try:
            await system.start_platform(6)
            await anyio.sleep(2)
            for index in range(7):
                await system.start_daemon(f"d{index + 1}", f"dc{index % 3 + 1}")
            await anyio.sleep(3)
            with anyio.fail_after(20):
                while not await system.status("d1"):
                    await anyio.sleep(0.2)
            assert (await system.apply("d1", system.objects(LIMITS, SLOTS)))["status"] == 200
            await system.wait_members(7, 60)
            await anyio.sleep(3)
            async with anyio.create_task_group() as running:
                running.start_soon(generate_load, system, now() + LOAD_SECONDS, random.Random(SEED))
                running.start_soon(inject_faults, system, event_times)
            records = await system.records()
        finally:
            system.stop_all()
            tasks.cancel_scope.cancel()
    return system, records


def max_overlap(runs: list[dict]) -> int:
    """Return the largest number of runs that overlapped."""
    edges = sorted([(r["started"], 1) for r in runs] + [(r["ended"] or 1e18, -1) for r in runs])
    max_count = count = 0
    for _, change in sorted(edges, key=lambda edge: (edge[0], edge[1])):
        count += change
        max_count = max(max_count, count)
    return max_count


def check_limits(records: dict, event_times: dict[str, float]) -> None:
    runs = [run for found in records.values() for run in found]
    for name, found in records.items():
        assert max_overlap(found) <= SLOTS, f"{name} ran {max_overlap(found)} jobs at once"
    for team, limit in LIMITS.items():
        assert max_overlap([run for run in runs if run["team"] == team]) <= limit
    for run in runs:
        if run["team"] == "large" and run["started"] > event_times["lowered"] + 2.0:
            others = sum(
                other["team"] == "large" and other["started"] <= run["started"] < other["ended"]
                for other in runs
            )
            assert others <= 5, f"{others} jobs ran after the limit was lowered"
    late = [run for run in records["vm-2"] if run["started"] > event_times["drained"] + 3.0]
    assert not late, f"{len(late)} runs were started at the drained VM"


def check_responses(
    requests: list[RequestResult], records: dict, event_times: dict[str, float]
) -> None:
    runs = [run for found in records.values() for run in found]
    ran = {run["job"] for run in runs}
    keys = [run["key"] for run in runs if run["key"]]
    assert len(keys) == len(set(keys)), "a key ran twice"
    for found in requests:
        if found.status == 200:
            assert found.content == found.body, "a response belongs to another request"
        if found.run == "no" and not found.key:
            assert found.job not in ran, f"reported as not run, but ran: {found}"
    cut_off = [f for f in requests if f.error and f.daemon not in ("d5", "d6")]
    assert not cut_off, f"{len(cut_off)} requests were cut off: {cut_off[0]}"
    at_stop = [
        f for f in requests if f.error and f.daemon == "d6" and f.sent_at < event_times["left"]
    ]
    assert not at_stop, f"a graceful stop cut off {len(at_stop)} requests: {at_stop[0]}"
    after = event_times["withdrawn"] + 3.0
    late = [f for f in requests if f.team == "small" and f.sent_at > after and f.status == 200]
    assert not late, f"{len(late)} jobs with a withdrawn key were accepted"
    succeeded = sum(found.status == 200 for found in requests)
    others = Counter((f.status, f.reason, f.error[:20]) for f in requests if f.status != 200)
    assert succeeded > 0.6 * len(
        requests
    ), f"{succeeded} of {len(requests)} were answered; {others}"


@pytest.mark.integration
def test_promises_hold_with_real_processes(tmp_path):
    event_times: dict[str, float] = {}
    system, records = anyio.run(run_system, tmp_path, event_times)
    check_limits(records, event_times)
    max_count = max(proxy.max_open_connections for proxy in system.endpoints.values())
    assert max_count <= CONNECTIONS, f"{max_count} connections to one endpoint"
    check_responses(system.requests, records, event_times)
