"""A job is cancelled while its storing is in doubt; the cancel is answered 410, and the job runs on.

For some seconds the answers to a part of the store's writes are lost, and these writes are carried
out late. A client that has no answer within 0.3 s leaves and cancels its job.
"""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

from review.common import (  # noqa: E402
    KEY,
    add_second_service,
    has_trouble,
    make_config,
    run_case,
)
from review.deployment import BOUNDS, CannotRun, Client, Deployment  # noqa: E402

#: the pages' largest share of the writes whose answers are lost, for how long at most, in seconds,
#: and when such writes are carried out, in seconds
LOST_SHARE, LOST_SECONDS, LATE_SECONDS = 0.35, 4.5, (1.0, 6.0)
#: jobs that are handed in during that time, the clients' time budget, and when they leave: after half
#: of the latency target of 600 ms
JOBS, BUDGET_MS, LEAVE_SECONDS = 30, 3000, 0.3
SEED = 45
CANCEL_SECONDS, STOP_SECONDS = BOUNDS["cancel_ms"] / 1000, BOUNDS["stopMs"] / 1000
CONTACT_SECONDS = BOUNDS["contactMs"] / 1000


async def run(deployment: Deployment) -> bool:
    record, store, chance = deployment.record, deployment.store, random.Random(SEED)
    route = make_config(deployment)
    other_route = add_second_service(deployment)
    executors = deployment.add_executors("drivers", 8)
    deployment.add_executors("depot", 8)
    await deployment.start()
    await deployment.wait_ready()
    await asyncio.sleep(3.0)
    client = Client(deployment, route, KEY, BUDGET_MS)
    other = Client(deployment, other_route, KEY, BUDGET_MS)
    cancelled: dict[str, float] = {}
    lost = total = 0
    broken = False

    def check_start(executor, task, number):
        nonlocal broken
        since = cancelled.get(task.split(".")[0])
        if since is not None and record.now() > since + CANCEL_SECONDS + LATE_SECONDS[1]:
            seconds = record.now() - since
            record.write(f"BROKEN: {task} starts {seconds:.1f} s after its cancel was acknowledged")
            broken = True

    for executor in executors:
        executor.on_start = check_start

    def lose(body):
        """Return when a write is carried out whose answer is lost, None for a sound one."""
        nonlocal lost, total
        total += 1
        if lost + 1 > LOST_SHARE * total or chance.random() >= LOST_SHARE:
            return None
        lost += 1
        keys = [row["key"] for row in body["writes"]]
        record.write(f"store: a write of {keys} gets no answer")
        return chance.uniform(*LATE_SECONDS)

    async def hand_in(number: int) -> None:
        """Hand a job in; leave and cancel it if there is no answer in time."""
        job = f"{0x5c0e7a2100000000 + number:016x}"
        daemon = deployment.daemons[number % len(deployment.daemons)]
        phase = {"count": 1, "cpu": 200, "memMb": 128, "estimateMs": 900, "longRunning": True}
        status = await client.submit(daemon, job, [phase], leave_after=LEAVE_SECONDS)
        if status == 200 and has_trouble():
            return
        while True:
            status, _ = await client.call(daemon, "DELETE", job)
            if status in (200, 410):
                cancelled[job] = record.now()
                return
            await asyncio.sleep(0.2)

    others = asyncio.create_task(use_other_service(other, deployment.daemons))
    await asyncio.sleep(1.0)
    if has_trouble():
        store.on_txn = lose
        record.write("the store's answers to a part of the writes are lost from now on")
    tasks = []
    for number in range(JOBS):
        tasks.append(asyncio.create_task(hand_in(number)))
        await asyncio.sleep(LOST_SECONDS / JOBS)
    store.on_txn = lambda body: None
    record.write(f"the store answers all writes again; {lost} of {total} answers were lost")
    others.cancel()
    await asyncio.wait_for(asyncio.gather(*tasks), 30.0)
    if not cancelled:
        raise CannotRun("no client was left in doubt")
    record.write(f"{len(cancelled)} of {JOBS} jobs were cancelled, each cancel was acknowledged")
    await asyncio.sleep(LATE_SECONDS[1] + CANCEL_SECONDS + STOP_SECONDS + CONTACT_SECONDS)
    for executor in executors:
        for task, row in executor.runs.items():
            job = task.split(".")[0]
            if job in cancelled:
                seconds = record.now() - cancelled[job]
                record.write(
                    f"BROKEN: {task} is at work on {executor.name}, run {row['run']},"
                    f" {seconds:.1f} s after its cancel was acknowledged"
                )
                broken = True
    return broken


async def use_other_service(client: Client, daemons) -> None:
    """Hand in a short job each 0.15 s at the other service, so that the store has ordinary load."""
    number = 0
    while True:
        number += 1
        phase = {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 300, "seconds": 0.3}
        daemon = daemons[number % len(daemons)]
        asyncio.ensure_future(client.submit(daemon, f"{0xb00000 + number:016x}", [phase]))
        await asyncio.sleep(0.15)


if __name__ == "__main__":
    run_case(__file__, run)
