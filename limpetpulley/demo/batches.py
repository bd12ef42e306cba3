"""The part of the demonstration on jobs of steps: a lost owner and a wave."""

from __future__ import annotations

from collections import Counter

import anyio
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn

from ..batch import Amount, JobSpec, Step
from ..clock import SystemClock
from ..fleet.vms import WaveOrder
from ..ownership import Outcome, Submission
from ..standin.batchfleet import BatchFleet, make_fleet

__all__ = ["show_batches"]

POOL = "desk"
TASK = Amount(1000, 1000)
SHEETS = 5
POLL_SECONDS = 0.1
LONGEST_SECONDS = 30.0


async def show_batches(console: Console) -> None:
    """Run jobs of steps through the loss of their pool's owner and through a wave."""
    async with anyio.create_task_group() as tasks:
        fleet = make_fleet(tasks, SystemClock())
        for number in range(3):
            fleet.start_daemon(f"entry-{number + 1}")
        with anyio.fail_after(LONGEST_SECONDS):
            while fleet.owner_of(POOL) is None:
                await anyio.sleep(POLL_SECONDS)
            await _play(fleet, console)
        tasks.cancel_scope.cancel()


async def _play(fleet: BatchFleet, console: Console) -> None:
    owner = fleet.owner_of(POOL)
    console.print(f"[bold]Jobs of steps[/]: {owner} owns the pool; {SHEETS} jobs of 3 steps.")
    queue = fleet.config.queues["sheets"]
    step = Step(4, TASK, 0.4)
    steps = (step, Step(4, TASK, 0.4, after=(0,)), Step(2, TASK, 0.4, after=(1,)))
    ids = [f"{number:016x}" for number in range(SHEETS)]
    for job_id in ids:
        node = next(iter(fleet.daemons.values())).node
        result = await node.service.submit(Submission(queue, job_id, JobSpec("0.4", steps)), 5.0)
        assert result.outcome is Outcome.ACCEPTED, result
    total = len(ids) * sum(step.count for step in steps)
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed:.0f}"))
    with Progress(*columns, console=console, transient=not console.is_terminal) as progress:
        bar = progress.add_task("tasks done", total=total)
        killed = waved = False
        while (done := _tasks_done(fleet)) < total:
            progress.update(bar, completed=done)
            if done >= total // 4 and not killed:
                killed = True
                fleet.kill(str(owner))
                console.print(f"{owner} loses power; another daemon claims the pool.")
            if killed and not waved and fleet.owner_of(POOL):
                waved = True
                fleet.order_wave(WaveOrder("1", tuple(fleet.vms.vms), 25.0, 2))
                console.print("A wave takes all 6 VMs, 2 at once, emptied first.")
            await anyio.sleep(POLL_SECONDS)
        progress.update(bar, completed=total)
    while len(fleet.vms.maintained_vms.get("1", ())) < len(fleet.vms.vms):
        await anyio.sleep(POLL_SECONDS)
    runs = Counter(run.order.task for run in fleet.runs)
    console.print(
        f"{total} tasks done; {sum(runs.values()) - len(runs)} started a second time; "
        f"{fleet.owner_of(POOL)} owns the pool now. {len(fleet.vms.maintained_vms['1'])} VMs "
        f"maintained, at most {fleet.vms.most_down} at once; "
        f"{fleet.vms.interrupted_runs} runs ended by it.\n"
    )


def _tasks_done(fleet: BatchFleet) -> int:
    name = fleet.owner_of(POOL)
    if name is None:
        return 0
    book = fleet.daemons[name].node.owned[POOL].book
    return sum(len(job.done) for job in book.jobs.values())
