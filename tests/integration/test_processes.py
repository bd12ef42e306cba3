"""Seven daemons as processes under a mixed load, with faults; the endpoints are the judges."""

from __future__ import annotations

import random
import signal
from collections import Counter

import anyio
import attrs
import pytest

from limpetpulley.config import AccessKey, Team, Vm, VmPhase, digest_secret

from .system import Answered, ProcessSystem, now

SLOTS = 4
CONNECTIONS = 64
LIMITS = {"large": 12, "small": 6}
LOAD_SECONDS = 70.0
SEED = 7


async def load(system: ProcessSystem, until: float, rng: random.Random) -> None:
    """Hand in jobs of all kinds until a time."""
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
    """Hand in one job, unless its daemon is gone by now."""
    if daemon in system.daemons:
        await system.submit(daemon, queue, team, body, key, run_seconds=run)


async def faults(system: ProcessSystem, noted: dict[str, float]) -> None:
    """Let one thing after another go wrong."""
    await anyio.sleep(4)
    for proxy in system.endpoints.values():
        proxy.silence()
    await anyio.sleep(3)
    system.daemons["d2"].store.refuse_connections = True
    await system.daemons["d2"].store.close_connections()
    system.daemons["d3"].peers.silence()
    await anyio.sleep(6)
    system.daemons["d2"].store.refuse_connections = False
    system.daemons["d4"].process.send_signal(signal.SIGSTOP)
    noted["frozen"] = now()
    await anyio.sleep(8)
    system.daemons["d4"].process.send_signal(signal.SIGCONT)
    await anyio.sleep(3)
    await system.call(system.platform, "POST", "/faults", {"outage": True})
    await anyio.sleep(10)
    await system.call(system.platform, "POST", "/faults", {"outage": False})
    await anyio.sleep(3)
    noted["lowered"] = now()
    await system.apply("d1", [Team("large", 1.0, 5)])
    await anyio.sleep(4)
    vm = next(value for value in system.objects(LIMITS, SLOTS) if value.name == "vm-2")
    assert isinstance(vm, Vm)
    noted["drained"] = now()
    await system.apply("d1", [attrs.evolve(vm, phase=VmPhase.LEAVING)])
    await anyio.sleep(4)
    gone = system.daemons.pop("d5")
    gone.process.kill()
    await anyio.sleep(8)
    leaving = system.daemons.pop("d6")
    noted["left"] = now()
    leaving.process.send_signal(signal.SIGTERM)
    await anyio.sleep(4)
    key = AccessKey("small-key", "small", digest_secret("secret-small"), withdrawn=True)
    noted["withdrawn"] = now()
    await system.apply("d1", [key])


async def run_system(tmp_path, noted: dict[str, float]) -> tuple[ProcessSystem, dict]:
    """Run everything; return what was answered and recorded."""
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
                running.start_soon(load, system, now() + LOAD_SECONDS, random.Random(SEED))
                running.start_soon(faults, system, noted)
            records = await system.records()
        finally:
            system.stop_all()
            tasks.cancel_scope.cancel()
    return system, records


def most_at_once(runs: list[dict]) -> int:
    """Return the most runs that overlapped."""
    edges = sorted([(r["started"], 1) for r in runs] + [(r["ended"] or 1e18, -1) for r in runs])
    most = count = 0
    for _, change in sorted(edges, key=lambda edge: (edge[0], edge[1])):
        count += change
        most = max(most, count)
    return most


def check_limits(records: dict, noted: dict[str, float]) -> None:
    runs = [run for found in records.values() for run in found]
    for name, found in records.items():
        assert most_at_once(found) <= SLOTS, f"{name} ran {most_at_once(found)}"
    for team, limit in LIMITS.items():
        assert most_at_once([run for run in runs if run["team"] == team]) <= limit
    for run in runs:
        if run["team"] == "large" and run["started"] > noted["lowered"] + 2.0:
            others = sum(
                other["team"] == "large" and other["started"] <= run["started"] < other["ended"]
                for other in runs
            )
            assert others <= 5, f"{others} run after the limit was lowered"
    late = [run for run in records["vm-2"] if run["started"] > noted["drained"] + 3.0]
    assert not late, f"{len(late)} runs were started at the drained VM"


def check_answers(answered: list[Answered], records: dict, noted: dict[str, float]) -> None:
    runs = [run for found in records.values() for run in found]
    ran = {run["job"] for run in runs}
    keys = [run["key"] for run in runs if run["key"]]
    assert len(keys) == len(set(keys)), "a key ran twice"
    for found in answered:
        if found.status == 200:
            assert found.content == found.body, "an answer went to another request"
        if found.run == "no" and not found.key:
            assert found.job not in ran, f"not run, it said: {found}"
    cut_off = [f for f in answered if f.error and f.daemon not in ("d5", "d6")]
    assert not cut_off, f"{len(cut_off)} requests were cut off: {cut_off[0]}"
    at_stop = [f for f in answered if f.error and f.daemon == "d6" and f.sent_at < noted["left"]]
    assert not at_stop, f"a planned stop cut off {len(at_stop)}: {at_stop[0]}"
    after = noted["withdrawn"] + 3.0
    late = [f for f in answered if f.team == "small" and f.sent_at > after and f.status == 200]
    assert not late, f"{len(late)} jobs with a withdrawn key were accepted"
    good = sum(found.status == 200 for found in answered)
    others = Counter((f.status, f.reason, f.error[:20]) for f in answered if f.status != 200)
    assert good > 0.6 * len(answered), f"{good} of {len(answered)} were answered; {others}"


@pytest.mark.integration
def test_promises_hold_with_real_processes(tmp_path):
    noted: dict[str, float] = {}
    system, records = anyio.run(run_system, tmp_path, noted)
    check_limits(records, noted)
    most = max(proxy.max_open_connections for proxy in system.endpoints.values())
    assert most <= CONNECTIONS, f"{most} connections to one endpoint"
    check_answers(system.answered, records, noted)
