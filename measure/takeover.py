"""Cost of a change of a pool's owner, on virtual time: after a hand-over and after a loss.

Measures the time until the pool has an owner again, and the outcomes of the jobs that are submitted
to each other daemon meanwhile, one every :data:`SUBMIT_SECONDS`.
"""

from __future__ import annotations

import itertools
from collections import Counter

import anyio

from limpetpulley.batch import Amount, JobSpec, Step
from limpetpulley.ownership import Outcome
from limpetpulley.ownership.admission import Submission
from limpetpulley.standin.batchfleet import BatchFleet, sample_config
from limpetpulley.standin.virtual import VirtualClock, run_virtual

POOL = "desk"
QUEUE = "sheets"
SEEDS = range(1, 11)
POLL_SECONDS = 0.005
#: pause between two submissions to one daemon
SUBMIT_SECONDS = 0.05
#: time-out of a submission
SUBMIT_TIMEOUT_SECONDS = 3.0
#: time for which jobs are still submitted once the pool has an owner again
TAIL_SECONDS = 4.0
JOB_SPEC = JobSpec("0.05", (Step(1, Amount(100, 10), 0.05),))


async def submit_jobs(fleet: BatchFleet, name: str, outcomes: Counter[Outcome]) -> None:
    """Submit jobs to one daemon until cancelled, and count their outcomes."""
    node, queue = fleet.daemons[name].node, fleet.config.queues[QUEUE]
    async with anyio.create_task_group() as tasks:
        for number in itertools.count():
            job_id = f"{name[-1]}{number:015x}"

            async def submit(job_id: str = job_id) -> None:
                result = await node.service.submit(
                    Submission(queue, job_id, JOB_SPEC, "studios"), SUBMIT_TIMEOUT_SECONDS
                )
                outcomes[result.outcome] += 1

            tasks.start_soon(submit)
            await anyio.sleep(SUBMIT_SECONDS)


async def measure(graceful: bool, seed: int) -> tuple[float, Counter[Outcome]]:
    """Return the seconds that a pool is without an owner, and the outcomes of submissions.

    :param graceful: whether the owner hands over instead of being killed
    """
    outcomes: Counter[Outcome] = Counter()
    async with anyio.create_task_group() as tasks:
        clock = VirtualClock()
        fleet = BatchFleet(tasks, clock, sample_config(), Amount(4000, 8000), seed)
        for number in range(4):
            fleet.vms.add(f"desk-{number}", POOL, "r0")
        for number in range(3):
            fleet.start_daemon(f"entry-{number + 1}")
        while (owner := fleet.owner_of(POOL)) is None:
            await anyio.sleep(POLL_SECONDS)
        await anyio.sleep(2.0 + seed / 10)
        for name in fleet.daemons:
            if name != owner:
                tasks.start_soon(submit_jobs, fleet, name, outcomes)
        owner_ended_at = clock.now()
        if graceful:
            await fleet.leave(owner)
        else:
            fleet.kill(owner)
        while fleet.owner_of(POOL) is None:
            await anyio.sleep(POLL_SECONDS)
        seconds = clock.now() - owner_ended_at
        await anyio.sleep(TAIL_SECONDS)
        tasks.cancel_scope.cancel()
    return seconds, outcomes


def main() -> None:
    """Print the median and the longest time over all seeds, and the outcomes."""
    for graceful, name in ((True, "hand-over"), (False, "loss")):
        results = [run_virtual(measure, graceful, seed) for seed in SEEDS]
        gaps = sorted(seconds for seconds, _ in results)
        outcomes = sum((counts for _, counts in results), Counter())
        summary = ", ".join(
            f"{count} {outcome.name.lower()}" for outcome, count in outcomes.items()
        )
        print(f"{name}: p50 {gaps[len(gaps) // 2]:.3f} s, worst {gaps[-1]:.3f} s; {summary}")


if __name__ == "__main__":
    main()
