"""What a change of a pool's owner costs, on virtual time: after a hand-over and after a loss.

The time until the pool has an owner again, and what callers were told that the other daemons
answered meanwhile, each with a job every :data:`SUBMIT_SECONDS`.
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
#: pause between two jobs that are handed in at one daemon
SUBMIT_SECONDS = 0.05
#: time for an answer
ANSWER_SECONDS = 3.0
#: time for which jobs are handed in after the owner has ended
AFTER_SECONDS = 4.0
JOB = JobSpec("0.05", (Step(1, Amount(100, 10), 0.05),))


async def hand_in(fleet: BatchFleet, name: str, told: Counter[Outcome]) -> None:
    """Hand in jobs at one daemon until cancelled; count what is answered."""
    node, queue = fleet.daemons[name].node, fleet.config.queues[QUEUE]
    async with anyio.create_task_group() as tasks:
        for number in itertools.count():
            job_id = f"{name[-1]}{number:015x}"

            async def ask(job_id: str = job_id) -> None:
                result = await node.service.submit(
                    Submission(queue, job_id, JOB, "studios"), ANSWER_SECONDS
                )
                told[result.outcome] += 1

            tasks.start_soon(ask)
            await anyio.sleep(SUBMIT_SECONDS)


async def measure(graceful: bool, seed: int) -> tuple[float, Counter[Outcome]]:
    """Return the seconds from the end of a pool's owner to the next one, and what callers heard."""
    told: Counter[Outcome] = Counter()
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
                tasks.start_soon(hand_in, fleet, name, told)
        begun = clock.now()
        if graceful:
            await fleet.leave(owner)
        else:
            fleet.kill(owner)
        while fleet.owner_of(POOL) is None:
            await anyio.sleep(POLL_SECONDS)
        seconds = clock.now() - begun
        await anyio.sleep(AFTER_SECONDS)
        tasks.cancel_scope.cancel()
    return seconds, told


def main() -> None:
    """Print the median and the worst over the seeds."""
    for graceful, name in ((True, "hand-over"), (False, "loss")):
        plays = [run_virtual(measure, graceful, seed) for seed in SEEDS]
        found = sorted(seconds for seconds, _ in plays)
        told = sum((counts for _, counts in plays), Counter())
        answers = ", ".join(f"{count} {outcome.name.lower()}" for outcome, count in told.items())
        print(f"{name}: p50 {found[len(found) // 2]:.3f} s, worst {found[-1]:.3f} s; {answers}")


if __name__ == "__main__":
    main()
