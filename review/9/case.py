"""Two accepted jobs of one team wait for each other for good: each service keeps half of its limit.

The team has a job run in each of two services, five work items of a core each: all that its
upper limit allows. Meanwhile it hands in two larger jobs, one for each service; the work item of
each takes six tenths of the limit, so that one after the other could run. With ``TROUBLE=0`` it
hands in only one of them.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from local_platform import Deployment, Machine, Record, make_job, run_case  # noqa: E402

POOLS = ("desk", "lab")
MACHINES = 3
DAEMONS = {"entry-1": "baltic-a", "entry-2": "baltic-b", "entry-3": "baltic-c"}
#: upper limit of the team, in thousandths of a core
LIMIT = 10_000
USUAL_STEP = {"seconds": 3.0, "cpu": 1_000, "count": 5}
LARGE_STEP = {"seconds": 1.0, "cpu": 6_000}
#: time of calm before the first jobs, and between them and the large ones, in seconds
CALM_SECONDS, LARGE_AT_SECONDS = 4.0, 1.0
#: time in which the usual jobs, and after it the large ones must be completed, in seconds
USUAL_SECONDS, FINISH_SECONDS = 8.0, 14.0


async def main(record: Record, trouble: bool) -> bool:
    """Play the case; return whether all accepted jobs were completed."""
    deployment = Deployment(record, POOLS)
    for pool in POOLS:
        for number in range(1, MACHINES + 1):
            zone = list(DAEMONS.values())[number % 3]
            machine = Machine(f"{pool}-{number}", pool, zone, deployment.store, record)
            deployment.machines.append(machine)
    try:
        await deployment.start(DAEMONS, LIMIT)
        await deployment.wait_until_owned()
        await asyncio.sleep(CALM_SECONDS)
        states: dict[str, str] = {}
        for number, pool in enumerate(POOLS, 1):
            await submit(deployment, f"/{pool}/{number:016x}", USUAL_STEP, states)
        await asyncio.sleep(LARGE_AT_SECONDS)
        for number, pool in enumerate(POOLS if trouble else POOLS[:1], 0xE1):
            await submit(deployment, f"/{pool}/{number:016x}", LARGE_STEP, states)
        await ask(deployment, states, record.now() + USUAL_SECONDS + FINISH_SECONDS)
        record.write(f"shares: {deployment.store.value('lp/share/team')}")
        running = [task for machine in deployment.machines for task in machine.running]
        record.write(f"running: {running}; states: {states}")
        return not {*states.values()} - {"completed"}
    finally:
        await deployment.stop()


async def submit(
    deployment: Deployment, path: str, step: dict[str, float], states: dict[str, str]
) -> None:
    """Submit a job; add it to the states if it is accepted."""
    status, _ = await deployment.request(deployment.daemons[0], "POST", path, make_job(step))
    if status == 200:
        states[path] = "accepted"


async def ask(deployment: Deployment, states: dict[str, str], until: float) -> None:
    """Ask for the states of the accepted jobs until all are completed, or until a time."""
    while {*states.values()} - {"completed"} and deployment.record.now() < until:
        await asyncio.sleep(1.0)
        for path in [each for each, state in states.items() if state != "completed"]:
            _, document = await deployment.request(deployment.daemons[1], "GET", path)
            states[path] = (document or {}).get("state", states[path])


if __name__ == "__main__":
    run_case(main, pathlib.Path(__file__).parent)
