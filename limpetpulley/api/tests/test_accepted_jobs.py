"""An accepted job gets real starts on workers that can run it, also one that is accepted late."""

import anyio
import pytest

from ...batch import Amount
from ...scheduling.batch_admission import Verdict
from .batch_callers import job_document, run_callers

JOB_ID = "00000000000000ab"
WORKER_CAPACITY = Amount(4000, 8000)


def largest_use(callers):
    """Return the most processors that runs of any worker reserve at the same time."""
    return max(worker.used().cpu_millicores for worker in callers.fleet.workers.workers.values())


@pytest.mark.parametrize("place", ["owner", "other"])
@pytest.mark.parametrize(
    "document",
    [
        job_document(),
        job_document(count=12),
        job_document(cores=4),
        job_document(count=4, cores=3, gang=True),
        job_document(count=4, max_per_worker=1),
        job_document(count=3, lasting=True, max_per_worker=1),
        job_document(near_rack="r1"),
        job_document(count=40, seconds=0.1),
    ],
)
def test_each_task_of_an_accepted_job_starts_on_a_listed_worker_with_room(document, place):
    async def scenario(callers):
        listed = set(callers.fleet.vms.listed_workers)
        answer = await callers.submit(callers.daemon(place), JOB_ID, document)
        most = 0
        for _ in range(60):
            most = max(most, largest_use(callers))
            await anyio.sleep(0.05)
        state = await callers.ask(callers.owner_name, "GET", JOB_ID)
        return answer, listed, callers.runs_of(JOB_ID), most, state.document["state"]

    answer, listed, runs, most, state = run_callers(scenario, moves=False)
    step = document["steps"][0]
    assert answer.status == 202
    assert {run.order.task.position for run in runs} == set(range(step["count"]))
    assert {run.worker_id for run in runs} <= listed
    assert 0 < most <= WORKER_CAPACITY.cpu_millicores
    assert state == ("running" if step.get("lasting") else "completed")


#: jobs that end late behind a backlog, by the number of VMs of four cores
LATE_JOBS = [
    (4, job_document()),
    (4, job_document(count=8)),
    (4, job_document(cores=4)),
    (4, job_document(count=8, cores=4)),
    (1, job_document()),
    (1, job_document(cores=2)),
    (1, job_document(cores=3)),
    (1, job_document(count=1, cores=4)),
    (1, job_document(count=3, cores=4)),
    (1, job_document(count=4, gang=True)),
    (2, job_document(count=2, gang=True, cores=4)),
]


@pytest.mark.parametrize("other_work", [False, True], ids=["alone", "beside other jobs"])
@pytest.mark.parametrize(("vms", "document"), LATE_JOBS)
def test_job_accepted_behind_others_gets_capacity_when_there_is_some(vms, document, other_work):
    async def scenario(callers):
        accept_behind(callers.owner.admission)
        answer = await callers.submit(callers.owner_name, JOB_ID, document)
        assert callers.owner.pool_state.jobs[JOB_ID].behind
        for number in range(20 if other_work else 0):
            await callers.submit(callers.owner_name, f"{number + 1:016x}", job_document(1, 1, 0.2))
            await anyio.sleep(0.1)
        await anyio.sleep(6.0)
        state = await callers.ask(callers.owner_name, "GET", JOB_ID)
        return answer, len(callers.runs_of(JOB_ID)), state.document["state"]

    answer, runs, state = run_callers(scenario, vms=vms, moves=False)
    assert answer.status == 202
    assert runs == document["steps"][0]["count"]
    assert state == "completed"


def accept_behind(admission):
    """Accept the next job as one that ends late, whatever the queue."""
    assess = admission.assess

    def accept(job, submission):
        admission.assess = assess
        job.behind = True
        return Verdict(True, reason="behind-others")

    admission.assess = accept
