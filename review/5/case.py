"""Jobs whose start was turned away by an unhealthy executor are no longer counted as pending."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common import KEY, has_trouble, make_config, run_case  # noqa: E402
from review.deployment import BOUNDS, CannotRun, Client, Deployment  # noqa: E402

#: how long the executor is unhealthy, in seconds, and its share of the executors
GREY_SECONDS, GREY_SHARE = 6.5, 0.15
JOBS = 6
VISIBLE_SECONDS = BOUNDS["visible_ms"] / 1000 + 2.0


async def run(deployment: Deployment) -> bool:
    record = deployment.record
    route = make_config(deployment, stretch=4.0)
    executors = deployment.add_executors("drivers", 8)
    await deployment.start()
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    client = Client(deployment, route, KEY, 3000)
    entry = deployment.daemons[0]
    begun: set[str] = set()

    def note_start(executor, task, number):
        begun.add(task.split(".")[0])

    for executor in executors:
        executor.on_start = note_start
    # A job that lasts fills all executors but one.
    phase = {"count": 7, "cpu": 15000, "memMb": 256, "estimateMs": 900, "longRunning": True}
    if await client.submit(entry, "00000000000000b0", [phase]) != 200:
        raise CannotRun("the job that lasts was not accepted")
    for _ in range(50):
        await asyncio.sleep(0.1)
        idle = [executor for executor in executors if not executor.runs]
        if len(idle) == 1:
            break
    else:
        raise CannotRun(f"{len(idle)} executors are idle")
    grey = idle[0]
    short = {"count": 1, "cpu": 2000, "memMb": 256, "estimateMs": 2500, "seconds": 2.5}
    for number in range(40):
        if await client.submit(entry, f"{0xa0 + number:016x}", [short]) == 200:
            break
        await asyncio.sleep(0.25)
    else:
        raise CannotRun("no job was accepted for the idle executor")
    if has_trouble():
        if 1 / len(executors) > GREY_SHARE:
            raise CannotRun("too few executors")
        grey.unhealthy = True
        record.write(f"{grey.name} is unhealthy: it answers 503 to starts")
    accepted: dict[str, float] = {}
    for number in range(JOBS):
        job = f"{0xc0 + number:016x}"
        if await client.submit(entry, job, [short]) == 200:
            accepted[job] = record.now()
    if len(accepted) < 2:
        raise CannotRun("the jobs were not accepted")
    await asyncio.sleep(VISIBLE_SECONDS + 0.2)
    broken = False
    for daemon in deployment.daemons:
        asked_at = record.now()
        waiting = [
            job
            for job, since in accepted.items()
            if job not in begun and since < asked_at - VISIBLE_SECONDS
        ]
        status, answer = await client.call(daemon, "GET")
        if status != 200:
            raise CannotRun(f"the count was answered {status}")
        if answer["pending"] < len(waiting) / 2:
            record.write(
                f"BROKEN: {daemon.name} gives {answer['pending']} as pending, but {len(waiting)}"
                " jobs were accepted over 5 s before and have not begun"
            )
            broken = True
        for job in waiting[:1]:
            await client.call(daemon, "GET", job)
    return broken


if __name__ == "__main__":
    run_case(__file__, run)
