"""On whose fault failed runs are held, and what a doubted worker still takes."""

from collections import Counter

import attrs
import pytest

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step
from ...workers import EndedRun, StartOrder
from ..evidence import FailureEvidence
from ..retries import FAILURE_PACE, RetryDelays
from .test_crashes import keep_alive
from .test_planning import JOB, NOW, TASK, hold, make_pool_state, plan, task


@pytest.mark.parametrize(
    ("ends", "doubted"),
    [
        # Each row: job, worker, whether its run was done.
        ([("a", "w1", False)] * 3, set()),
        ([("a", "w1", False)] * 6, {"w1"}),
        ([("a", "w2", True), *[("a", "w1", False)] * 3], {"w1"}),
        ([("a", "w1", False), ("a", "w2", False)] * 9, set()),
        ([("a", "w1", False), ("b", "w1", False)] * 3, {"w1"}),
        ([("a", "w2", True), *[("a", "w1", False)] * 3, ("b", "w1", True)], set()),
        ([("a", "w2", True), *[("a", "w1", False)] * 2, ("b", "w1", False)], set()),
    ],
    ids=[
        "few-by-one-job",
        "many-by-one-job",
        "job-is-sound-elsewhere",
        "job-fails-elsewhere-too",
        "two-jobs",
        "worker-is-sound-for-another-job",
        "too-few-in-all",
    ],
)
def test_failed_runs_count_against_a_worker_unless_the_job_fails_elsewhere(ends, doubted):
    evidence = FailureEvidence()
    for job_id, worker_id, is_done in ends:
        evidence.note_end((job_id, 0, 0), worker_id, is_done, NOW)
    assert {name for name in ("w1", "w2") if evidence.is_doubted(name)} == doubted
    evidence.expire(NOW + 60.0)
    assert not any(map(evidence.is_doubted, ("w1", "w2")))
    assert evidence.ends == evidence.totals == {}


def make_doubting_pool_state(step, cores=4):
    """Return a pool of two workers, the first of which is doubted, and a job that waits."""
    pool_state = make_pool_state(step, cores=cores)
    for number in range(4):
        for name, is_done in (("w2", True), ("w1", False)):
            pool_state.evidence.note_end((f"x{number}", 0, 0), name, is_done, NOW)
    return pool_state


def starts(pool_state, now):
    keep_alive(pool_state, now)
    return [order.worker_id for order in plan(pool_state, now=now) if isinstance(order, StartOrder)]


@pytest.mark.parametrize(
    ("step", "expected"),
    [
        (Step(2, TASK), ["w2", "w2"]),
        (Step(1, TASK, label="gpu"), ["w1"]),
        (Step(2, Amount(4000, 100)), ["w2"]),
        (Step(2, Amount(1500, 100), max_per_worker=1), ["w2", "w1"]),
    ],
    ids=["other-has-room", "fits-nowhere-else", "busy", "not-busy"],
)
def test_doubted_worker_is_used_last(step, expected):
    pool_state = make_doubting_pool_state(step)
    worker = pool_state.workers["w1"]
    worker.listed = attrs.evolve(worker.listed, labels=frozenset(["gpu"]))
    pool_state.evidence.probed_at["w1"] = NOW
    assert starts(pool_state, NOW) == expected


def test_doubted_worker_of_a_busy_pool_takes_a_probe_now_and_then():
    pool_state = make_doubting_pool_state(Step(12, TASK))
    assert starts(pool_state, NOW) == ["w2"] * 4 + ["w1"]
    assert starts(pool_state, NOW + 0.5) == []
    assert starts(pool_state, NOW + 1.1) == ["w1"]


def test_worker_whose_probe_succeeds_takes_all_starts_again():
    pool_state = make_doubting_pool_state(Step(12, TASK))
    assert starts(pool_state, NOW)[-1] == "w1"
    (run,) = pool_state.workers["w1"].runs.values()
    ended = [EndedRun(1, run.task, run.number, EndKind.DONE)]
    hold(pool_state, "w1", (), ended, clock=10.3, now=NOW + 0.3)
    assert not pool_state.evidence.is_doubted("w1")
    assert [order.worker_id for order in plan(pool_state, now=NOW + 0.3)] == ["w1"] * 4


@pytest.mark.parametrize(
    ("lasting", "expected"),
    [(False, ["w2"]), (True, ["w2", "w1"])],
    ids=["ends-by-itself", "lasting"],
)
def test_only_tasks_that_end_by_themselves_wait_for_another_worker(lasting, expected):
    pool_state = make_doubting_pool_state(Step(4, Amount(4000, 100)))
    pool_state.evidence.probed_at["w1"] = NOW
    assert starts(pool_state, NOW) == ["w2"]
    spec = JobSpec("", (Step(1, TASK, lasting=lasting),))
    pool_state.add_job(Job(JobKey("quotes", "0b"), spec, "desk"), NOW)
    assert expected == ["w2", *starts(pool_state, NOW + 0.2)]


@pytest.mark.parametrize("cores", [4, 9])
def test_capacity_in_use_by_lasting_tasks_is_not_waited_for(cores):
    pool_state = make_doubting_pool_state(Step(1, Amount(4000, 100), lasting=True))
    pool_state.evidence.probed_at["w1"] = NOW
    assert starts(pool_state, NOW) == ["w2"]
    spec = JobSpec("", (Step(4, TASK),))
    pool_state.add_job(Job(JobKey("quotes", "0b"), spec, "desk"), NOW)
    assert starts(pool_state, NOW + 0.2) == ["w1"] * 4


def test_probe_may_be_a_gang_over_several_workers():
    pool_state = make_doubting_pool_state(Step(3, TASK))
    assert starts(pool_state, NOW) == ["w2"] * 3
    pool_state.add_job(
        Job(JobKey("quotes", "0c"), JobSpec("", (Step(1, TASK, label="gpu"),)), "desk"), NOW
    )
    spec = JobSpec("", (Step(3, TASK, gang=True),))
    pool_state.add_job(Job(JobKey("quotes", "0b"), spec, "desk"), NOW)
    assert Counter(starts(pool_state, NOW + 0.2)) in ({"w1": 3}, {"w1": 2, "w2": 1})


def test_without_a_trusted_worker_all_are_used():
    pool_state = make_doubting_pool_state(Step(12, TASK))
    pool_state.evidence.note_end(("y", 0, 0), "w3", True, NOW)
    for _ in range(4):
        pool_state.evidence.note_end(("y", 0, 0), "w2", False, NOW)
    assert len(starts(pool_state, NOW)) == 8


@pytest.mark.parametrize(
    ("interval", "same_number", "longest"),
    [(0.5, False, FAILURE_PACE.longest_seconds), (60.0, False, 0.0), (0.5, True, 0.0)],
    ids=["fails-at-once", "fails-rarely", "members-of-a-gang"],
)
def test_task_that_goes_on_failing_starts_at_growing_intervals(interval, same_number, longest):
    retries, unit, now = RetryDelays(), task(), NOW
    delays = []
    for number in range(1, 9):
        retries.note_setback(unit, 1 if same_number else number, now)
        delays.append(max(0.0, retries.due_at[unit] - now))
        now = max(now, retries.due_at[unit]) + interval
    assert delays[0] == 0.0 and delays == sorted(delays) and delays[-1] == longest
    retries.forget_job(JOB)
    assert retries.is_due(unit, NOW) and not retries.numbers


@pytest.mark.parametrize("ending", ["cancelled", "removed"])
def test_late_ends_of_an_ended_job_leave_no_evidence_about_its_tasks(ending):
    pool_state = make_pool_state(Step(2, TASK, lasting=True))
    orders = plan(pool_state, now=NOW)
    if ending == "cancelled":
        pool_state.cancel(pool_state.jobs[JOB], NOW)
    else:
        pool_state.remove_job(JOB)
    for position, order in enumerate(orders, 1):
        ended = [EndedRun(position, order.task, order.number, EndKind.FAILED)]
        hold(pool_state, order.worker_id, (), ended, clock=10.5, now=NOW + 0.5)
    assert pool_state.failed_on == {} and pool_state.retries.setbacks == {}
