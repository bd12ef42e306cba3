"""Sound jobs beside tasks that fail, are refused or reject: how long workers may stand idle."""

import itertools
import math

import attrs
import pytest

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, JobState, Step
from ...workers import EndedRun, ListedRun, StartOrder, StartOutcome
from .. import process_start_reply
from .test_planning import JOB, NOW, TASK, hold, make_pool_state, plan

#: time for which an accepted job may have nothing running although there is capacity, in seconds
MAX_IDLE_SECONDS = 3.0
TICK_SECONDS = 0.05
FAILED_RUN_SECONDS, SOUND_RUN_SECONDS = 0.2, 0.4
PLAY_SECONDS = 12.0
SOUND_JOB_INTERVAL_SECONDS = 0.6


@attrs.define
class Workers:
    """Workers of a pool that run jobs; those named ``bad...`` fail or are refused.

    :param outcome: how workers answer the start orders of bad jobs
    :param unhealthy_until: time until which all workers reject all orders
    :param refusing: worker that does not understand any order
    """

    pool_state: object
    outcome: StartOutcome = StartOutcome.STARTED
    unhealthy_until: float = 0.0
    refusing: str = ""
    positions: dict = attrs.field(factory=dict)
    started_at: dict = attrs.field(factory=dict)
    starts: list = attrs.field(factory=list)

    def carry_out(self, order, now):
        run = self.pool_state.runs[order.task]
        bad = order.task.job_id.startswith("bad")
        outcome = self.outcome if bad else StartOutcome.STARTED
        if now < self.unhealthy_until:
            outcome = StartOutcome.UNHEALTHY
        if order.worker_id == self.refusing:
            outcome = StartOutcome.REFUSED
        self.starts.append((now, order.task.job_id, order.worker_id, outcome))
        if outcome is StartOutcome.STARTED:
            self.started_at[order.task, order.number] = now
        process_start_reply(self.pool_state, run, outcome, 10.0 + now - NOW, now)

    def reply(self, now):
        for name, worker in self.pool_state.workers.items():
            rows, ends = [], []
            for run in worker.runs.values():
                bad = run.task.job_id.startswith("bad")
                seconds = FAILED_RUN_SECONDS if bad else SOUND_RUN_SECONDS
                if run.task.job_id == "lasting":
                    seconds = math.inf
                if now - self.started_at[run.task, run.number] < seconds:
                    rows.append(ListedRun(run.task, run.number))
                else:
                    kind = EndKind.FAILED if bad else EndKind.DONE
                    position = self.positions.setdefault(name, itertools.count(1))
                    ends.append(EndedRun(next(position), run.task, run.number, kind))
            hold(self.pool_state, name, rows, ends, clock=10.0 + now - NOW, now=now)

    def play(self, seconds, add_jobs):
        """Play some time; return the longest time for which a sound job had nothing running."""
        idle_since, longest, now = {}, 0.0, NOW
        while now < NOW + seconds:
            add_jobs(now)
            for order in plan(self.pool_state, now=now):
                if isinstance(order, StartOrder):
                    self.carry_out(order, now)
            waiting = {
                job_id
                for job_id in self.pool_state.ready
                if job_id.startswith("sound") and job_id not in self.pool_state.runs_by_job
            }
            idle_since = {job_id: idle_since.get(job_id, now) for job_id in waiting}
            longest = max([longest, *(now - since for since in idle_since.values())])
            now += TICK_SECONDS
            self.reply(now)
        return longest


def add_job(pool_state, name, step, now):
    job = Job(JobKey("quotes", name), JobSpec("", (step,)), "desk", max_attempts=4)
    pool_state.add_job(job, now)


def make_workers(count, **settings):
    names = tuple(f"w{number}" for number in range(count))
    pool_state = make_pool_state(Step(1, TASK), workers=names, cores=16)
    pool_state.remove_job(JOB)
    return Workers(pool_state, **settings)


@pytest.mark.parametrize("count", [1, 2, 4])
@pytest.mark.parametrize(
    ("bad_step", "outcome"),
    [
        (Step(6, TASK), StartOutcome.STARTED),
        (Step(3, TASK, lasting=True), StartOutcome.STARTED),
        (Step(3, TASK), StartOutcome.REFUSED),
    ],
    ids=["failing", "failing-lasting", "refused"],
)
def test_sound_jobs_start_beside_jobs_whose_runs_fail_on_all_workers(count, bad_step, outcome):
    workers = make_workers(count, outcome=outcome)
    numbers, next_at = itertools.count(), NOW

    def add_jobs(now):
        nonlocal next_at
        if now >= next_at:
            number, next_at = next(numbers), next_at + SOUND_JOB_INTERVAL_SECONDS
            add_job(workers.pool_state, f"sound{number}", Step(2, TASK), now)
            if number in (1, 2, 6, 7):
                add_job(workers.pool_state, f"bad{number}", bad_step, now)

    assert workers.play(PLAY_SECONDS, add_jobs) <= MAX_IDLE_SECONDS


@pytest.mark.parametrize("count", [1, 2, 4])
def test_sound_job_that_waits_alone_starts_soon_after_failures_of_another_job(count):
    workers = make_workers(count)
    jobs = iter([(NOW, "bad0", Step(12, Amount(4000, 100))), (NOW + 0.35, "sound0", Step(4, TASK))])
    upcoming = next(jobs)

    def add_jobs(now):
        nonlocal upcoming
        while upcoming and now >= upcoming[0]:
            add_job(workers.pool_state, upcoming[1], upcoming[2], now)
            upcoming = next(jobs, None)

    assert workers.play(PLAY_SECONDS, add_jobs) <= MAX_IDLE_SECONDS
    assert workers.pool_state.jobs["sound0"].state is JobState.COMPLETED


@pytest.mark.parametrize("count", [1, 2, 4])
@pytest.mark.parametrize("use", [Amount(9000, 100), Amount(1000, 5000)], ids=["cores", "memory"])
def test_sound_jobs_start_beside_failing_ones_where_lasting_tasks_use_half_of_the_pool(count, use):
    workers = make_workers(count)
    step = Step(count, use, lasting=True, max_per_worker=1)
    add_job(workers.pool_state, "lasting", step, NOW)
    numbers, next_at = itertools.count(), NOW + 0.5

    def add_jobs(now):
        nonlocal next_at
        if now >= next_at:
            number, next_at = next(numbers), next_at + SOUND_JOB_INTERVAL_SECONDS
            add_job(workers.pool_state, f"sound{number}", Step(2, TASK), now)
            if number in (1, 2, 6, 7):
                add_job(workers.pool_state, f"bad{number}", Step(6, TASK), now)

    assert workers.play(PLAY_SECONDS, add_jobs) <= MAX_IDLE_SECONDS


def test_worker_that_refuses_all_orders_does_not_draw_the_queue():
    workers = make_workers(2, refusing="w0")

    def add_jobs(now):
        if now == NOW:
            for number in range(10):
                add_job(workers.pool_state, f"sound{number}", Step(16, TASK), now)

    workers.play(PLAY_SECONDS, add_jobs)
    refused = [start for start in workers.starts if start[3] is StartOutcome.REFUSED]
    assert len(refused) <= 16 + 2 * PLAY_SECONDS
    states = {job.state for job in workers.pool_state.jobs.values()}
    assert states == {JobState.COMPLETED}


@pytest.mark.parametrize("count", [1, 2])
def test_jobs_start_soon_after_all_workers_were_unhealthy_for_a_moment(count):
    workers = make_workers(count, unhealthy_until=NOW + 1.5)

    def add_jobs(now):
        if now == NOW:
            add_job(workers.pool_state, "sound0", Step(8, TASK), now)

    assert workers.play(PLAY_SECONDS, add_jobs) <= 1.5 + MAX_IDLE_SECONDS
