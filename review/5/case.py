"""A pool is handed over while an executor is cut off: its runs do not count in the tenant's limit."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib.case import KEY, has_trouble, make_config, run_case  # noqa: E402
from review.lib.deployment import BOUNDS, CannotRun, Client, Deployment  # noqa: E402

#: the tenant's limit, and what a work item needs, in thousandths of a core
LIMIT, ITEM = 32_000, 2_000
#: the pages' longest cut of executors, in seconds, and its largest share
CUT_SECONDS, CUT_SHARE = 5.5, 0.17


async def run(deployment: Deployment) -> bool:
    record = deployment.record
    route = make_config(deployment, upper_cpu=LIMIT, stretch=4.0)
    executors = deployment.add_executors("drivers", 8)
    await deployment.start()
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    client = Client(deployment, route, KEY, 3000)
    owner = deployment.owner("drivers")
    if owner is None:
        raise CannotRun("the pool has no owner")
    entry = next(each for each in deployment.daemons if each is not owner)
    allowed = LIMIT * (1 + BOUNDS["quotaOverage"]) + ITEM
    broken = False

    def check_start(executor, task, number):
        nonlocal broken
        running = sum(each.used("cpu") for each in executors)
        if running > allowed:
            record.write(f"BROKEN: {running} thousandths of a core run, {allowed:.0f} are allowed")
            broken = True

    for executor in executors:
        executor.on_start = check_start
    phase = {"count": LIMIT // ITEM, "cpu": ITEM, "memMb": 256, "estimateMs": 6000, "seconds": 6.0}
    if await client.submit(entry, "00000000000000a1", [phase]) != 200:
        raise CannotRun("the first job was not accepted")
    await asyncio.sleep(1.2)
    busy = [executor for executor in executors if executor.runs]
    record.write(f"at work: {({each.name: len(each.runs) for each in busy})}")
    if not busy:
        raise CannotRun("nothing runs")
    if has_trouble():
        if 1 / len(executors) > CUT_SHARE:
            raise CannotRun("too few executors")
        busy[0].cut = True
        record.write(f"{busy[0].name} is cut off from the daemons and runs on")
    await asyncio.sleep(0.3)
    record.write(f"SIGTERM to {owner.name}")
    owner.signal(signal.SIGTERM)
    await asyncio.sleep(0.8)
    phase = {"count": LIMIT // ITEM, "cpu": ITEM, "memMb": 256, "estimateMs": 1000, "seconds": 1.0}
    await client.submit(entry, "00000000000000a2", [phase])
    await asyncio.sleep(CUT_SECONDS - 1.1)
    if has_trouble():
        busy[0].cut = False
        record.write(f"{busy[0].name} is reached again")
    await asyncio.sleep(8.0)
    for job in ("00000000000000a1", "00000000000000a2"):
        await client.call(entry, "GET", job)
    return broken


if __name__ == "__main__":
    run_case(__file__, run)
