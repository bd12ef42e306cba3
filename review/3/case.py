"""Two executors crash while the same work item has just started there: its job is given up."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.lib.case import KEY, has_trouble, make_config, run_case  # noqa: E402
from review.lib.deployment import CannotRun, Client, Deployment  # noqa: E402

JOB = "00000000000000a7"
#: how often executors crash, after which time from the start of the work item, and for how long
CRASHES, AFTER_SECONDS, DOWN_SECONDS = 2, 0.15, 2.0


async def run(deployment: Deployment) -> bool:
    record = deployment.record
    route = make_config(deployment, stretch=4.0)
    route["maxAttempts"] = 4
    executors = deployment.add_executors("drivers", 8)
    await deployment.start()
    await deployment.wait_ready()
    await asyncio.sleep(1.0)
    client = Client(deployment, route, KEY, 3000)
    entry = deployment.daemons[0]
    started = asyncio.Queue()
    ends: list[str] = []

    def note_start(executor, task, number):
        if task.startswith(JOB):
            started.put_nowait(executor)

    def note_end(executor, task, number, how):
        if task.startswith(JOB):
            ends.append(how)

    for executor in executors:
        executor.on_start, executor.on_end = note_start, note_end
    phase = {"count": 1, "cpu": 2000, "memMb": 256, "estimateMs": 4000, "seconds": 4.0}
    if await client.submit(entry, JOB, [phase]) != 200:
        raise CannotRun("the job was not accepted")
    if has_trouble():
        for _ in range(CRASHES):
            executor = await asyncio.wait_for(started.get(), 20.0)
            await asyncio.sleep(AFTER_SECONDS)
            executor.crash()
            asyncio.get_running_loop().call_later(DOWN_SECONDS, executor.restart)
    for _ in range(40):
        await asyncio.sleep(0.5)
        status, answer = await client.call(entry, "GET", JOB)
        if status == 200 and answer["state"] in ("completed", "failed"):
            break
    else:
        raise CannotRun("the job has not ended")
    record.write(f"the job is {answer['state']}; its runs have ended as {ends}")
    if answer["state"] == "failed" and ends.count("failed") < route["maxAttempts"]:
        record.write(
            f"BROKEN: shown as failed after {ends.count('failed')} ends failed,"
            f" {route['maxAttempts']} attempts are allowed"
        )
        return True
    return False


if __name__ == "__main__":
    run_case(__file__, run)
