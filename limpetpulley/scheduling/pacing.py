"""Speed control of filler tasks that share workers with serving tasks. No I/O.

Fillers only use idle processors, but they can disturb serving tasks that have a tail latency
target. The fillers of a worker are slowed before the target is exceeded for long, and sped up again
step by step while the latency is well below the target.
"""

from __future__ import annotations

from ..pool.state import PoolState
from ..pool.state_changes import changes_state
from ..workers import PaceOrder, RunPhase, Worker

__all__ = ["latency_pressure", "pace_fillers"]

#: fraction of the latency target above which fillers are slowed
SLOW_ABOVE = 0.85
#: fraction of the latency target below which fillers are sped up
SPEED_BELOW = 0.6
#: speed increase per change, in percentage points
SPEED_STEP = 10
#: minimum speed, in percent; slower fillers are paused
MIN_SPEED = 10
#: minimum time between changes on a worker, in seconds: the reported tail latency covers 0.5 s
MIN_CHANGE_SECONDS = 0.6


def latency_pressure(pool_state: PoolState, worker: Worker) -> float:
    """Return the highest ratio of tail latency to target of the serving tasks on a worker."""
    highest = 0.0
    for run in worker.runs.values():
        job = pool_state.jobs.get(run.task.job_id)
        if job is not None and run.phase is RunPhase.RUNNING:
            target = job.step_of(run.task).latency_target_seconds
            if target > 0:
                highest = max(highest, run.gauge / target)
    return highest


@changes_state
def pace_fillers(pool_state: PoolState, now: float) -> list[PaceOrder]:
    """Return the orders that change the speed of fillers; runs are updated as if they were sent.

    :param now: local time
    """
    orders: list[PaceOrder] = []
    for worker in pool_state.workers.values():
        if (
            now - worker.speed_changed_at < MIN_CHANGE_SECONDS
            or worker.last_reply_at <= worker.speed_changed_at
        ):
            continue
        fillers = [
            run
            for run in worker.runs.values()
            if run.phase is RunPhase.RUNNING
            and (job := pool_state.jobs.get(run.task.job_id)) is not None
            and job.step_of(run.task).filler
        ]
        if not fillers:
            continue
        pressure = latency_pressure(pool_state, worker)
        for run in fillers:
            ordered_speed = next_speed(run.ordered_speed, pressure)
            if ordered_speed != run.ordered_speed or run.percent != run.ordered_speed:
                run.ordered_speed = ordered_speed
                worker.speed_changed_at = now
                orders.append(PaceOrder(worker.worker_id, run.task, run.number, ordered_speed))
    return orders


def next_speed(ordered_speed: int, pressure: float) -> int:
    """Return the next speed of fillers at a latency pressure, in percent."""
    if pressure > SLOW_ABOVE:
        slower = int(ordered_speed * min(0.7, SLOW_ABOVE / pressure * 0.7))
        return slower if slower >= MIN_SPEED else 0
    if pressure < SPEED_BELOW:
        return min(100, ordered_speed + SPEED_STEP)
    return ordered_speed
