"""A task that crashes each worker that starts it is given up; tasks beside it are not."""

import random

import anyio
import attrs
import pytest

from ...batch import JobSpec, JobState, Step, TaskId
from .test_daemons import TASK, run_scenario

#: time from the start of a crashing task to the crash, in seconds
CRASH_SECONDS = 0.01
DOWN_SECONDS = 3.0
#: starts of a task after the third crash under it, of which one less is allowed
TOO_MANY_STARTS = 3
LOAD_SECONDS = 16.0
#: time from the last run of a lasting task within which it has to start again, in seconds
LONGEST_PAUSE_SECONDS = 9.0
#: time after the load until every job has ended, in seconds
SETTLE_SECONDS = 15.0
#: interval between two pairs of crashes for other reasons, and between the crashes of a pair, in
#: seconds
PAIR_INTERVAL_SECONDS, PAIR_GAP_SECONDS = 1.2, 0.15
#: time for which a crashed worker is still listed, and its VM down, in seconds
DARK_SECONDS = 4.5
#: innocent jobs that may be given up in four plays in which a worker crashes every 0.6 s
MAX_GIVEN_UP = 3


@attrs.define
class CrashingTasks:
    """Crashes each worker that starts one of certain tasks, shortly after the start."""

    deployment: object
    tasks: object
    culprits: set = attrs.field(factory=set)
    starts: dict = attrs.field(factory=dict)

    def watch(self):
        """Watch the starts of tasks on all workers."""
        record = self.deployment.fleet._record_start
        vms = self.deployment.fleet.vms

        def on_run_started(worker_id, order):
            record(worker_id, order)
            if order.task in self.culprits:
                self.starts.setdefault(order.task, []).append(worker_id)
                self.tasks.start_soon(self._crash, worker_id)

        vms.on_run_started = on_run_started
        for worker in vms.workers.workers.values():
            worker.on_run_started = on_run_started

    async def _crash(self, worker_id):
        await anyio.sleep(CRASH_SECONDS)
        self.deployment.fleet.vms.crash(worker_id, DOWN_SECONDS)

    def starts_after_third_crash(self):
        """Return the most starts of a task after three workers had crashed under it."""
        return max((len(workers) - 3 for workers in self.starts.values()), default=0)


async def submit_load(deployment, crashing, rng, step):
    """Submit jobs, each eighth with a task, or a gang, that crashes; return the ids of those."""
    culprit_ids = set()
    until = deployment.clock.now() + LOAD_SECONDS
    number = 0
    while deployment.clock.now() < until:
        number += 1
        seconds = rng.choice([0.3, 0.6, 1.0])
        spec = JobSpec(str(seconds), (attrs.evolve(step, estimate_seconds=seconds),))
        if number % 8 == 3:
            job_id = f"{number:015x}f"
            positions = range(step.count) if step.gang else [rng.randrange(step.count)]
            crashing.culprits.update(TaskId(job_id, 0, 0, position) for position in positions)
            culprit_ids.add(job_id)
            await deployment.submit("desk", spec, job_id=job_id)
        else:
            await deployment.submit("desk", spec, job_id=f"{number:015x}0")
        await anyio.sleep(rng.uniform(0.2, 0.8))
    return culprit_ids & set(deployment.accepted)


async def crash_at_random(deployment, rng):
    """Crash workers of the pool for other reasons."""
    while True:
        await anyio.sleep(rng.uniform(1.0, 3.0))
        workers = [
            name
            for name, worker in deployment.fleet.vms.listed_workers.items()
            if worker.pool == "desk"
        ]
        if workers:
            deployment.fleet.vms.crash(rng.choice(workers), DOWN_SECONDS)


async def kill_owners(deployment, rng):
    """Kill the pool's owner now and then; it is back a moment later."""
    while True:
        await anyio.sleep(rng.uniform(2.0, 5.0))
        name = deployment.fleet.owner_of("desk")
        if name is not None:
            deployment.fleet.kill(name)
            await anyio.sleep(0.5)
            deployment.fleet.start_daemon(name)


async def play(deployment, seed, step, disturbances=()):
    """Play a load with crashing tasks; return the states of both kinds of jobs, and the crashes."""
    rng = random.Random(seed)
    async with anyio.create_task_group() as crashes:
        crashing = CrashingTasks(deployment, crashes)
        crashing.watch()
        async with anyio.create_task_group() as tasks:
            for disturb in disturbances:
                tasks.start_soon(disturb, deployment, random.Random(seed + 1))
            culprit_ids = await submit_load(deployment, crashing, rng, step)
            tasks.cancel_scope.cancel()
        await anyio.sleep(SETTLE_SECONDS)
        states = await deployment.states()
    guilty = {job_id: states.pop(job_id) for job_id in culprit_ids}
    return guilty, states, crashing


STEPS = {
    "plain": Step(4, TASK),
    "speculative": Step(4, TASK, speculative=True),
    "gang": Step(3, TASK, gang=True),
    "lasting": Step(2, TASK, lasting=True, may_miss=1),
}


@pytest.mark.parametrize("kind", ["plain", "speculative", "gang"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_task_that_crashes_its_workers_is_given_up_before_it_is_started_too_often(kind, seed):
    guilty, innocent, crashing = run_scenario(
        lambda deployment: play(deployment, seed, STEPS[kind]), seed=seed, vms=8, moves=False
    )
    assert guilty
    assert crashing.starts_after_third_crash() < TOO_MANY_STARTS
    assert set(guilty.values()) == {JobState.FAILED}
    assert set(innocent.values()) == {JobState.COMPLETED}


@pytest.mark.parametrize("disturb", [crash_at_random, kill_owners])
@pytest.mark.parametrize("kind", ["plain", "speculative"])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_innocent_job_is_given_up_beside_other_crashes_and_lost_owners(disturb, kind, seed):
    guilty, innocent, crashing = run_scenario(
        lambda deployment: play(deployment, seed, STEPS[kind], [disturb]),
        seed=seed,
        vms=8,
        moves=False,
    )
    assert crashing.starts_after_third_crash() < TOO_MANY_STARTS
    assert set(guilty.values()) == {JobState.FAILED}
    assert set(innocent.values()) == {JobState.COMPLETED}


def test_lasting_task_that_crashes_its_workers_is_started_rarely_and_never_given_up():
    culprit = TaskId("000000000000000f", 0, 0, 1)

    async def scenario(deployment):
        async with anyio.create_task_group() as tasks:
            crashing = CrashingTasks(deployment, tasks)
            crashing.watch()
            crashing.culprits.add(culprit)
            spec = JobSpec("lasts", (STEPS["lasting"],))
            await deployment.submit("desk", spec, job_id=culprit.job_id)
            await deployment.submit("desk", spec, job_id="0000000000000010")
            await anyio.sleep(15.0)
            states = await deployment.states()
            starts = len(crashing.starts[culprit])
            await anyio.sleep(LONGEST_PAUSE_SECONDS)
            restarted = len(crashing.starts[culprit]) > starts
            runs = {
                task: run.started_at
                for daemon in deployment.fleet.daemons.values()
                for owner in daemon.node.owned.values()
                for task, run in owner.pool_state.runs.items()
            }
            tasks.cancel_scope.cancel()
        return states, starts, restarted, runs

    states, starts, restarted, runs = run_scenario(scenario, vms=8, moves=False)
    assert list(states.values()) == [JobState.RUNNING, JobState.RUNNING]
    assert starts - 3 < TOO_MANY_STARTS and restarted
    others = {culprit._replace(position=0)}
    others |= {TaskId("0000000000000010", 0, 0, position) for position in range(2)}
    assert others <= runs.keys()


async def crash_pairs_often(deployment, rng):
    """Crash two workers of the pool, one soon after the other, again and again."""
    vms, workers = deployment.fleet.vms, deployment.fleet.workers.workers
    while True:
        await anyio.sleep(rng.uniform(0.9, 1.1) * PAIR_INTERVAL_SECONDS)
        for _ in range(2):
            alive = [
                name
                for name, worker in vms.listed_workers.items()
                if worker.pool == "desk" and name in workers
            ]
            if alive:
                vms.crash(rng.choice(alive), DARK_SECONDS, DARK_SECONDS)
            await anyio.sleep(PAIR_GAP_SECONDS)


# Guards against LOST where workers crash so often that two crashes follow starts of one task.
@pytest.mark.parametrize("kind", ["plain", "gang"])
def test_few_innocent_jobs_are_given_up_where_workers_crash_often(kind):
    states = []
    for seed in range(2, 6):
        guilty, innocent, _ = run_scenario(
            lambda deployment, seed=seed: play(deployment, seed, STEPS[kind], [crash_pairs_often]),
            seed=seed,
            vms=8,
            moves=False,
        )
        assert set(guilty.values()) == {JobState.FAILED}
        states += innocent.values()
    assert states.count(JobState.FAILED) <= MAX_GIVEN_UP
    assert set(states) <= {JobState.COMPLETED, JobState.FAILED}
