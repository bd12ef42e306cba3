"""Whether a job of steps is accepted, and when to come back if not. No I/O.

Answers queues that peak in turn at about five times their mean, beyond what their pool holds: a
job is accepted if it is predicted to end by the time it should, given what waits and runs ahead of
it; otherwise it is refused at once, with the time at which the queue is predicted to have drained
far enough.
"""

from __future__ import annotations

import math

import attrs

__all__ = ["Backlog", "JobOutlook", "Verdict", "assess_job", "objective_seconds"]

#: part of a job's slack that the predicted wait may take; the rest covers errors of the prediction
USABLE_SLACK = 0.8
#: part of a pool's room that a step may take at once before its objective counts it in waves;
#: from the users' rule for the objective
WAVE_SHARE = 0.25
#: time for orders, answers and storing around a step, in seconds
STEP_OVERHEAD_SECONDS = 0.08
#: shortest and longest time that a refused caller is asked to wait, in whole seconds
SHORTEST_RETRY_SECONDS = 1
LONGEST_RETRY_SECONDS = 30


@attrs.frozen
class Backlog:
    """What is ahead of a job.

    :param room_cores: processors of the pool that jobs with an end may use
    :param work_core_seconds: work of jobs that go first, what still runs included
    :param team_cores: most processors that the job's team may use here, infinite for no limit
    :param team_core_seconds: the part of that work that is the team's own
    """

    room_cores: float
    work_core_seconds: float
    team_cores: float = math.inf
    team_core_seconds: float = 0.0

    def wait_seconds(self) -> float:
        """Return the predicted wait until room is free."""
        waits = [
            work / cores if cores > 0 else math.inf
            for work, cores in (
                (self.work_core_seconds, self.room_cores),
                (self.team_core_seconds, self.team_cores),
            )
        ]
        return max(waits)


@attrs.frozen
class JobOutlook:
    """What a job needs.

    :param chain_seconds: run time of its longest chain of steps, in waves where a step is wide
    :param work_core_seconds: its processor time
    :param objective_seconds: longest time in which it should end
    :param elapsed_seconds: time since its caller first asked
    :param steps: number of steps in the chain
    """

    chain_seconds: float
    work_core_seconds: float
    objective_seconds: float
    elapsed_seconds: float = 0.0
    steps: int = 1


@attrs.frozen
class Verdict:
    """Whether a job is accepted.

    :param wait_seconds: predicted wait
    :param allowed_seconds: longest wait with which it would end in time
    :param retry_seconds: when to come back, if it is refused
    """

    accepted: bool
    wait_seconds: float
    allowed_seconds: float
    retry_seconds: int = 0


def objective_seconds(stretch: float, chain_seconds: float, target_seconds: float) -> float:
    """Return the longest time in which a job should end."""
    return stretch * chain_seconds + target_seconds


def assess_job(outlook: JobOutlook, backlog: Backlog) -> Verdict:
    """Decide about a job by its predicted end."""
    cores = min(backlog.room_cores, backlog.team_cores)
    own = max(
        outlook.chain_seconds,
        outlook.work_core_seconds / cores if cores > 0 else math.inf,
    )
    slack = outlook.objective_seconds - outlook.elapsed_seconds - own
    allowed = USABLE_SLACK * (slack - STEP_OVERHEAD_SECONDS * outlook.steps)
    wait = backlog.wait_seconds()
    if wait <= allowed:
        return Verdict(True, wait, allowed)
    return Verdict(False, wait, allowed, _retry_seconds(wait - allowed))


def _retry_seconds(late: float) -> int:
    if not math.isfinite(late):
        return LONGEST_RETRY_SECONDS
    return max(SHORTEST_RETRY_SECONDS, min(LONGEST_RETRY_SECONDS, math.ceil(late)))
