"""An executor is lost just after a lasting job has started there: another one starts nothing more.

Eight executors of 16 cores. A job that lasts has one work item on each of them; another one has
six large ones. Of the two executors with much room one is lost for good. Jobs whose work items fit
only on the other one are accepted, and never begin.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common import KEY, has_trouble, make_config, run_case  # noqa: E402
from review.deployment import CannotRun, Client, Deployment  # noqa: E402

CPU = 16_000
#: what a work item needs, in thousandths of a core: of the jobs that last, and of the later ones
SMALL, LARGE, LATER = 1_500, 7_400, 7_200
#: how long after the lasting job has started the executor is lost, in seconds
CRASH_SECONDS = 0.5
#: after which time from the acceptance of a job it is judged, in seconds
WAIT_SECONDS = 20.0


async def run(deployment: Deployment) -> bool:
    record = deployment.record
    route = make_config(deployment, stretch=4.0)
    executors = deployment.add_executors("drivers", 8, cpu=CPU)
    await deployment.start()
    await deployment.wait_ready()
    await asyncio.sleep(1.0)
    client = Client(deployment, route, KEY, 3000)
    entry = deployment.daemons[0]
    begun: set[str] = set()
    for executor in executors:
        executor.on_start = lambda executor, task, number: begun.add(task.split(".")[0])
    lasting = {"memMb": 1024, "estimateMs": 900, "longRunning": True, "antiAffinity": 1,
               "mayMiss": 1}
    large = {**lasting, "count": 6, "cpu": LARGE}
    small = {**lasting, "count": 8, "cpu": SMALL}
    if await client.submit(entry, "00000000000000e0", [large]) != 200:
        raise CannotRun("the first job that lasts was not accepted")
    await wait_for_runs(executors, 6)
    if await client.submit(entry, "00000000000000e1", [small]) != 200:
        raise CannotRun("the second job that lasts was not accepted")
    await wait_for_runs(executors, 8)
    free = [executor for executor in executors if executor.used("cpu") < LARGE]
    if len(free) != 2:
        raise CannotRun(f"{len(free)} executors have much room")
    await asyncio.sleep(CRASH_SECONDS)
    if has_trouble():
        free[1].crash()
    await asyncio.sleep(8.0)
    later = {"count": 1, "cpu": LATER, "memMb": 256, "estimateMs": 1000, "seconds": 1.0}
    accepted: dict[str, float] = {}
    for number in range(4):
        job = f"{0xf0 + number:016x}"
        if await client.submit(entry, job, [later]) == 200:
            accepted[job] = record.now()
        await asyncio.sleep(0.5)
    if not accepted:
        raise CannotRun("no job was accepted")
    await asyncio.sleep(WAIT_SECONDS)
    alive = [executor for executor in executors if not executor.is_down]
    in_use = sum(executor.used("cpu") for executor in alive)
    record.write(
        f"in use: {in_use} of {CPU * len(alive)}, on {free[0].name} {free[0].used('cpu')} of {CPU}"
    )
    broken = False
    for job, since in accepted.items():
        status, answer = await client.call(entry, "GET", job)
        if job not in begun and status == 200:
            record.write(
                f"BROKEN: {job}, accepted {record.now() - since:.0f} s ago, has nothing running;"
                f" its work item needs {LATER}, {CPU - free[0].used('cpu')} are free on"
                f" {free[0].name}, under half of the service's capacity is in use"
            )
            broken = True
    return broken and in_use * 2 < CPU * len(alive)


async def wait_for_runs(executors, count: int) -> None:
    for _ in range(500):
        if len([executor for executor in executors if executor.runs]) == count:
            return
        await asyncio.sleep(0.01)
    raise CannotRun(f"not {count} executors have a work item")


if __name__ == "__main__":
    run_case(__file__, run)
