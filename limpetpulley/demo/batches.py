"""Demonstration of batch jobs: the failure of a pool's owner and a maintenance wave."""

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
TASK_DEMAND = Amount(1000, 1000)
JOB_COUNT = 5
POLL_INTERVAL_SECONDS = 0.1
TIMEOUT_SECONDS = 30.0


async def show_batches(console: Console) -> None:
    """Run batch jobs while the owner of their pool fails and a maintenance wave is in progress."""
    async with anyio.create_task_group() as tasks:
        fleet = make_fleet(tasks, SystemClock())
        for number in range(3):
            fleet.start_daemon(f"entry-{number + 1}")
        with anyio.fail_after(TIMEOUT_SECONDS):
            while fleet.owner_of(POOL) is None:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
            await _run_batches(fleet, console)
        tasks.cancel_scope.cancel()


async def _run_batches(fleet: BatchFleet, console: Console) -> None:
    owner = fleet.owner_of(POOL)
    console.print(f"[bold]Batch jobs.[/] {owner} owns the pool; {JOB_COUNT} jobs of 3 steps each.")
    queue = fleet.config.queues["sheets"]
    step = Step(4, TASK_DEMAND, 0.4)
    steps = (step, Step(4, TASK_DEMAND, 0.4, after=(0,)), Step(2, TASK_DEMAND, 0.4, after=(1,)))
    ids = [f"{number:016x}" for number in range(JOB_COUNT)]
    for job_id in ids:
        node = next(iter(fleet.daemons.values())).node
        result = await node.service.submit(Submission(queue, job_id, JobSpec("0.4", steps)), 5.0)
        assert result.outcome is Outcome.ACCEPTED, result
    total = len(ids) * sum(step.count for step in steps)
    columns = (TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed:.0f}"))
    with Progress(*columns, console=console, transient=not console.is_terminal) as progress:
        bar = progress.add_task("tasks completed", total=total)
        owner_killed = wave_started = False
        while (completed := _completed_tasks(fleet)) < total:
            progress.update(bar, completed=completed)
            if completed >= total // 4 and not owner_killed:
                owner_killed = True
                fleet.kill(str(owner))
                console.print(f"{owner} fails; another daemon takes over the pool.")
            if owner_killed and not wave_started and fleet.owner_of(POOL):
                wave_started = True
                fleet.order_wave(WaveOrder("1", tuple(fleet.vms.vms), 25.0, 2))
                console.print(
                    "A maintenance wave covers all 6 VMs, 2 at a time, each drained first."
                )
            await anyio.sleep(POLL_INTERVAL_SECONDS)
        progress.update(bar, completed=total)
    while len(fleet.vms.maintained_vms.get("1", ())) < len(fleet.vms.vms):
        await anyio.sleep(POLL_INTERVAL_SECONDS)
    runs = Counter(run.order.task for run in fleet.runs)
    console.print(
        f"{total} tasks completed; {sum(runs.values()) - len(runs)} started a second time; "
        f"{fleet.owner_of(POOL)} now owns the pool. {len(fleet.vms.maintained_vms['1'])} VMs "
        f"maintained, at most {fleet.vms.most_down} at a time; "
        f"{fleet.vms.interrupted_runs} runs ended by the wave.\n"
    )


def _completed_tasks(fleet: BatchFleet) -> int:
    owner = fleet.owner_of(POOL)
    if owner is None:
        return 0
    state = fleet.daemons[owner].node.owned[POOL].pool_state
    return sum(len(job.done) for job in state.jobs.values())
