"""Speculative execution for silent workers: no run stays forever and no task is stuck."""

import pytest

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, JobState, Step, TaskId
from ...workers import (
    EndedRun,
    HoldReply,
    ListedRun,
    ListedWorker,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from .. import (
    PlanningLimits,
    PoolState,
    plan_orders,
    process_hold_reply,
    process_start_reply,
    process_stop_reply,
    requeue_speculative_tasks,
)
from .test_owner_stateful import UnlimitedShares

JOB_ID = "00000000000000ab"
TASK = TaskId(JOB_ID, 0, 0, 0)
LEASE_SECONDS = 4.0


class SpeculationScenario:
    """Pool state with two workers and a job of one task, started on a worker that falls silent."""

    def __init__(self, answered=True, speculative=True):
        self.now = 10.0
        self.pool_state = PoolState("desk", 1, 0.2, 10.0, LEASE_SECONDS)
        for name in ("w1", "w2"):
            listed = ListedWorker(name, "desk", f"{name}:1", 1, Amount(4, 4))
            self.pool_state.update_listed_worker(listed).in_roster = True
            self.hold(name)
        spec = JobSpec("", (Step(1, Amount(1, 1), speculative=speculative),))
        self.job = Job(JobKey("quotes", JOB_ID), spec, "desk", "t", 3, due_by=99.0)
        self.pool_state.add_job(self.job, self.now)
        self.first_start = self.plan()[0]
        self.silent_worker = self.pool_state.workers[self.first_start.worker_id]
        self.other_worker = next(
            w for w in self.pool_state.workers.values() if w is not self.silent_worker
        )
        if answered:
            self.reply_started(self.first_start)
        self.silent_worker.silent = True
        requeue_speculative_tasks(self.pool_state, self.silent_worker)

    def plan(self):
        return plan_orders(self.pool_state, UnlimitedShares(), self.now, self.now, PlanningLimits())

    def reply_started(self, order):
        run = self.pool_state.runs[order.task]
        process_start_reply(self.pool_state, run, StartOutcome.STARTED, self.now, self.now)

    def hold(self, name, running=(), ended=(), incarnation=1):
        self.now += 0.1
        worker = self.pool_state.workers[name]
        reply = HoldReply(self.now, incarnation, tuple(running), tuple(ended))
        process_hold_reply(self.pool_state, worker, reply, self.now, self.now)

    def start_speculative_run(self):
        self.second_start = next(order for order in self.plan() if isinstance(order, StartOrder))
        self.reply_started(self.second_start)

    def run_count_and_usage(self):
        """Return the number of runs on all workers and the millicores that the team uses."""
        run_count = sum(len(worker.runs) for worker in self.pool_state.workers.values())
        return run_count, self.pool_state.usage["t"].cpu_millicores


def test_speculative_run_starts_on_other_worker_and_both_runs_count_for_the_team():
    scenario = SpeculationScenario()
    scenario.start_speculative_run()
    assert scenario.second_start.worker_id == scenario.other_worker.worker_id
    assert scenario.second_start.number > scenario.first_start.number
    assert scenario.run_count_and_usage() == (2, 2)


def test_non_speculative_task_waits_for_the_lease():
    scenario = SpeculationScenario(speculative=False)
    assert scenario.plan() == []
    assert scenario.run_count_and_usage() == (1, 1)


def test_first_end_counts_even_of_the_superseded_run():
    scenario = SpeculationScenario()
    scenario.start_speculative_run()
    end = EndedRun(1, TASK, scenario.first_start.number, EndKind.DONE)
    scenario.hold(scenario.silent_worker.worker_id, ended=[end])
    assert scenario.job.state is JobState.COMPLETED
    assert scenario.plan() == [
        StopOrder(scenario.other_worker.worker_id, TASK, scenario.second_start.number)
    ]
    assert scenario.run_count_and_usage() == (1, 1)


def test_superseded_run_is_stopped_and_dropped_when_its_worker_answers_again():
    scenario = SpeculationScenario()
    scenario.start_speculative_run()
    stop = StopOrder(scenario.silent_worker.worker_id, TASK, scenario.first_start.number)
    scenario.hold(
        scenario.silent_worker.worker_id, running=[ListedRun(TASK, scenario.first_start.number)]
    )
    assert scenario.plan() == [stop]
    process_stop_reply(scenario.pool_state, stop, scenario.now, scenario.now)
    scenario.now += 1.0
    scenario.hold(scenario.silent_worker.worker_id)
    assert scenario.run_count_and_usage() == (1, 1)
    assert scenario.pool_state.runs[TASK].number == scenario.second_start.number


def test_run_without_replacement_becomes_current_again():
    scenario = SpeculationScenario()
    scenario.hold(
        scenario.silent_worker.worker_id, running=[ListedRun(TASK, scenario.first_start.number)]
    )
    assert scenario.pool_state.runs[TASK].number == scenario.first_start.number
    assert scenario.plan() == []
    assert scenario.run_count_and_usage() == (1, 1)


def test_superseded_run_with_unanswered_start_is_stopped():
    scenario = SpeculationScenario(answered=False)
    scenario.start_speculative_run()
    scenario.hold(scenario.silent_worker.worker_id)
    scenario.now += 1.0
    stop = StopOrder(scenario.silent_worker.worker_id, TASK, scenario.first_start.number)
    assert stop in scenario.plan()
    process_stop_reply(scenario.pool_state, stop, scenario.now, scenario.now)
    scenario.now += 1.0
    scenario.hold(scenario.silent_worker.worker_id)
    assert scenario.run_count_and_usage() == (1, 1)


@pytest.mark.parametrize("answered", [True, False])
def test_superseded_run_on_restarted_worker_is_dropped(answered):
    scenario = SpeculationScenario(answered)
    scenario.start_speculative_run()
    scenario.hold(scenario.silent_worker.worker_id, incarnation=2)
    for _ in range(3):
        scenario.now += 1.0
        for order in scenario.plan():
            process_stop_reply(scenario.pool_state, order, scenario.now, scenario.now)
        scenario.hold(scenario.silent_worker.worker_id, incarnation=2)
    assert scenario.run_count_and_usage() == (1, 1)
    assert scenario.pool_state.runs[TASK].number == scenario.second_start.number


def test_superseded_run_is_dropped_when_its_lease_has_expired():
    scenario = SpeculationScenario()
    scenario.start_speculative_run()
    scenario.now += LEASE_SECONDS * 3
    scenario.other_worker.lease.extend(scenario.now, LEASE_SECONDS)
    scenario.hold(
        scenario.other_worker.worker_id, running=[ListedRun(TASK, scenario.second_start.number)]
    )
    scenario.plan()
    assert scenario.run_count_and_usage() == (1, 1)
    assert scenario.pool_state.runs[TASK].number == scenario.second_start.number
