"""On whose fault failed runs are held, and what a doubted worker still takes."""

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
        evidence.note_end(job_id, worker_id, is_done, NOW)
    assert {name for name in ("w1", "w2") if evidence.is_doubted(name)} == doubted
    evidence.expire(NOW + 60.0)
    assert not any(map(evidence.is_doubted, ("w1", "w2")))
    assert evidence.ends == {}


def make_doubting_pool_state(step, cores=4):
    """Return a pool of two workers, the first of which is doubted, and a job that waits."""
    pool_state = make_pool_state(step, cores=cores)
    for number in range(4):
        pool_state.evidence.note_end(f"x{number}", "w2", True, NOW)
        pool_state.evidence.note_end(f"x{number}", "w1", False, NOW)
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


def test_no_probe_starts_a_task_where_it_has_failed():
    pool_state = make_doubting_pool_state(Step(4, Amount(4000, 100)))
    for position in range(4):
        pool_state.failed_on[task(position)] = {"w1"}
    assert starts(pool_state, NOW) == ["w2"]
    pool_state.add_job(Job(JobKey("quotes", "0b"), JobSpec("", (Step(1, TASK),)), "desk"), NOW)
    assert starts(pool_state, NOW + 0.2) == ["w1"]


@pytest.mark.parametrize(("ran_seconds", "delay"), [(0.1, FAILURE_PACE.longest_seconds), (60, 0.0)])
def test_task_that_goes_on_failing_starts_at_growing_intervals(ran_seconds, delay):
    retries, unit = RetryDelays(), task()
    delays = []
    for _ in range(8):
        retries.note_setback(unit, NOW, ran_seconds)
        delays.append(retries.due_at[unit] - NOW)
    assert delays[0] == 0.0 and delays == sorted(delays) and delays[-1] == delay
    retries.forget_job(JOB)
    assert retries.is_due(unit, NOW)
