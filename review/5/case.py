"""An executor is lost just after a lasting job has started there; its pool then starts nothing."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib.case import KEY, has_trouble, make_config, run_case  # noqa: E402
from review.lib.deployment import CannotRun, Client, Deployment  # noqa: E402

WAIT_SECONDS = 30.0


async def run(deployment: Deployment) -> bool:
    record = deployment.record
    route = make_config(deployment, stretch=4.0)
    executors = deployment.add_executors("drivers", 2)
    await deployment.start()
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    client = Client(deployment, route, KEY, 3000)
    entry = deployment.daemons[0]
    begun: dict[str, float] = {}

    def note_start(executor, task, number):
        begun.setdefault(task.split(".")[0], record.now())

    for executor in executors:
        executor.on_start = note_start
    lasting = {"count": 2, "cpu": 1500, "memMb": 1024, "estimateMs": 900, "longRunning": True,
               "antiAffinity": 1, "mayMiss": 1}
    if await client.submit(entry, "00000000000000e0", [lasting]) != 200:
        raise CannotRun("the job that lasts was not accepted")
    for _ in range(200):
        if all(executor.runs for executor in executors):
            break
        await asyncio.sleep(0.01)
    else:
        raise CannotRun("the job that lasts has not started")
    await asyncio.sleep(0.1)
    if has_trouble():
        executors[1].crash()
    await asyncio.sleep(8.0)
    short = {"count": 2, "cpu": 2000, "memMb": 256, "estimateMs": 1000, "seconds": 1.0}
    accepted: dict[str, float] = {}
    for number in range(5):
        job = f"{0xf0 + number:016x}"
        if await client.submit(entry, job, [short]) == 200:
            accepted[job] = record.now()
        await asyncio.sleep(0.5)
    if not accepted:
        raise CannotRun("no job was accepted")
    await asyncio.sleep(WAIT_SECONDS)
    broken = False
    used = executors[0].used("cpu")
    record.write(f"in use on {executors[0].name}: {used} of {executors[0].capacity['cpu']}")
    for job, since in accepted.items():
        status, answer = await client.call(entry, "GET", job)
        if job not in begun and status == 200:
            record.write(f"BROKEN: {job}, accepted {record.now() - since:.0f} s ago, has not begun")
            broken = True
    return broken


if __name__ == "__main__":
    run_case(__file__, run)
