"""An accepted job never starts, because idle services keep parts of its team's upper limit.

The operator raises the limit. Then the team has a small job run in each of three services, one by
one, and some seconds later, when nothing runs, it hands in a job for the fourth service. Its
only work item takes six tenths of the limit. With ``TROUBLE=0`` the limit stays as it was, and the
last job takes six tenths of that.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from local_platform import Deployment, Machine, Record, make_job, run_case  # noqa: E402

POOLS = ("desk", "lab", "shop", "yard")
MACHINES = 3
DAEMONS = {"entry-1": "baltic-a", "entry-2": "baltic-b", "entry-3": "baltic-c"}
#: upper limits of the team, at first and after the change, in thousandths of a core
FIRST_LIMIT, RAISED_LIMIT = 5_000, 10_000
#: fraction of the limit that the last job's work item takes
WIDE_FRACTION = 0.6
SMALL_STEP = {"seconds": 0.5, "cpu": 1_000}
#: time of calm before the change, after it, and before the last job, in seconds
CALM_SECONDS = 4.0
#: time after the last job in which accepted jobs must be completed
FINISH_SECONDS = 14.0


async def main(record: Record, trouble: bool) -> bool:
    """Play the case; return whether all accepted jobs were completed."""
    deployment = Deployment(record, POOLS)
    for pool in POOLS:
        for number in range(1, MACHINES + 1):
            zone = list(DAEMONS.values())[number % 3]
            machine = Machine(f"{pool}-{number}", pool, zone, deployment.store, record)
            deployment.machines.append(machine)
    try:
        await deployment.start(DAEMONS, FIRST_LIMIT)
        await deployment.wait_until_owned()
        await asyncio.sleep(CALM_SECONDS)
        limit = FIRST_LIMIT
        if trouble:
            limit = RAISED_LIMIT
            deployment.configure(limit)
        await asyncio.sleep(CALM_SECONDS)
        states: dict[str, str] = {}
        for number, pool in enumerate(POOLS[1:], 1):
            await submit(deployment, f"/{pool}/{number:016x}", SMALL_STEP, states)
            await ask(deployment, states, record.now() + FINISH_SECONDS)
        await asyncio.sleep(CALM_SECONDS)
        record.write(f"shares: {deployment.store.value('lp/share/team')}")
        wide_step = {"seconds": 0.5, "cpu": int(limit * WIDE_FRACTION)}
        await submit(deployment, f"/{POOLS[0]}/00000000000000e1", wide_step, states)
        await ask(deployment, states, record.now() + FINISH_SECONDS)
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
