"""Unexpected errors in an owner: what they end, and that the pool is served all the same."""

import importlib
import inspect
import pkgutil
from collections import Counter

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ... import ownership, pool, scheduling
from ...batch import JobState
from ...exception import PoolStateError
from ...pool import PoolState
from ...pool import replies as replies_module
from .. import PoolOwner
from ..failures import SetAside
from .test_daemons import run_scenario, two_step_spec
from .test_unusable_workers import SERVED, judge, submit_to_desk

#: attributes of an owner, each with a method that is a loop of its own
LOOPS = {
    "writer": "run_creations",
    "share_manager": "run",
    "reporter": "run",
    "admission": "run_in_doubt_checks",
    "roster": "run",
    "ticket_fetcher": "run",
    "unknown_cancels": "run",
}
OWN_LOOPS = ("_run_planning", "_run_cleanup")
#: loops without which nothing is stored or started; they fail once
NEEDED_LOOPS = ("run_creations", "_run_planning")
#: number of errors of a loop that fails at each start
ALWAYS = 1000


def loop_rows():
    """Return each loop with the number of its errors."""
    loops = [*LOOPS.items(), *(("", name) for name in OWN_LOOPS)]
    rows = [(part, name, 1) for part, name in loops]
    return rows + [(part, name, ALWAYS) for part, name in loops if name not in NEEDED_LOOPS]


class Failing:
    """A loop that raises an error after it has run for a moment, once or at each start."""

    def __init__(self, loop, times, error):
        self.loop = loop
        self.times = times
        self.error = error
        self.starts = 0

    async def __call__(self):
        self.starts += 1
        if self.starts > self.times:
            await self.loop()
            return
        with anyio.move_on_after(0.3):
            await self.loop()
        raise self.error


def fail_loops(monkeypatch, part, name, times, error):
    """Let a loop of all owners of a pool fail."""
    create = PoolOwner.__init__

    def create_failing(owner, context, pool, *args, **kwargs):
        create(owner, context, pool, *args, **kwargs)
        if pool == "desk":
            target = getattr(owner, part) if part else owner
            setattr(target, name, Failing(getattr(target, name), times, error))

    monkeypatch.setattr(PoolOwner, "__init__", create_failing)


def tokens(deployment):
    """Return the number of owners that the pool has had."""
    return [
        entry.revision
        for key, entry in deployment.fleet.store.entries.items()
        if key.endswith("dir/owner/desk")
    ]


@pytest.mark.parametrize(
    "error", [RuntimeError("a"), ExceptionGroup("g", [KeyError("b")])], ids=["plain", "group"]
)
@pytest.mark.parametrize(("part", "name", "times"), loop_rows())
def test_an_error_in_one_loop_does_not_end_the_owner(monkeypatch, part, name, times, error):
    fail_loops(monkeypatch, part, name, times, error)

    async def scenario(deployment):
        started_at, claimed = deployment.clock.now(), tokens(deployment)
        await submit_to_desk(deployment)
        return await judge(deployment, started_at), tokens(deployment) == claimed

    assert_that(run_scenario(scenario, moves=False), Equals((SERVED, True)))


class FailingEnds:
    """Raises an error when the ends of some jobs are applied to a pool's state.

    :param times: number of errors
    """

    def __init__(self, monkeypatch, times):
        self.times = times
        self.raised = 0
        self.process_end = replies_module._process_end
        monkeypatch.setattr(replies_module, "_process_end", self)

    def __call__(self, pool_state, worker, end, now, wall_time):
        if pool_state.pool == "desk" and self.raised < self.times:
            # The run is removed, and its task neither done nor queued again.
            self.raised += 1
            run = worker.runs.get(end.task)
            if run is not None:
                pool_state.remove_run(run, replies_module.Proof.LISTED_END)
            raise RuntimeError("a change failed midway")
        self.process_end(pool_state, worker, end, now, wall_time)


@pytest.mark.parametrize("times", [1, 2])
def test_owner_ends_and_is_followed_after_a_change_that_failed_midway(monkeypatch, times):
    failing = FailingEnds(monkeypatch, times)

    async def scenario(deployment):
        started_at = deployment.clock.now()
        await submit_to_desk(deployment)
        _, *served = await judge(deployment, started_at)
        return served, deployment.refused, deployment.overlapping_tasks()

    served, refused, overlapping = run_scenario(scenario, moves=False)
    assert_that(served, Equals([*SERVED[1:]]))
    assert_that(overlapping, Equals([]))
    # After two failures new jobs are refused until the next owner has served for a moment.
    assert len(refused) <= 3 * (times - 1)
    assert all(each.retry_seconds for each in refused)
    assert failing.raised == times


def test_nothing_is_stored_of_a_state_that_a_failed_change_has_left():
    pool_state = PoolState("desk", 1, 0.2, 10.0, 4.0)
    failures = []
    pool_state.on_failure = failures.append
    with pytest.raises(PoolStateError):
        pool_state.add_job(None, 0.0)
    for change in (
        lambda: pool_state.mark_stored({}),
        lambda: pool_state.mark_unlisted("worker"),
        lambda: pool_state.cancel(None, 0.0),
    ):
        with pytest.raises(PoolStateError):
            change()
    assert len(failures) == 1
    assert isinstance(failures[0].__cause__, AttributeError)


#: functions of a pool's state that owners call and that change nothing, or only the forecast's own
#: state
READ_ONLY = {
    "QueueForecast",
    "awaits_next_incarnations",
    "demand_by_team",
    "expected_objective",
    "fits_empty_pool",
    "lasting_need",
    "least_workers",
    "may_live",
    "needed_workers",
    "pool_capacity",
    "predict_immediate_start",
    "queued_work",
    "ready_cores",
    "remaining_work",
    "reserve_workers",
    "team_usage",
    "unseen_usage",
}


def test_each_function_that_owners_call_on_a_pool_state_is_known_to_change_it_or_not():
    called = {}
    for info in pkgutil.iter_modules(ownership.__path__):
        if info.ispkg:
            continue
        module = importlib.import_module(f"{ownership.__name__}.{info.name}")
        for name, value in vars(module).items():
            origin = getattr(value, "__module__", "") or ""
            if callable(value) and origin.startswith((pool.__name__, scheduling.__name__)):
                called[name] = value
    takes_state = {
        name: value
        for name, value in called.items()
        if inspect.isfunction(value) and "pool_state" in inspect.signature(value).parameters
    }
    unmarked = {name for name, value in takes_state.items() if not hasattr(value, "__wrapped__")}
    assert unmarked - READ_ONLY == set()
    assert Counter(hasattr(value, "__wrapped__") for value in takes_state.values())[True] >= 6


def test_jobs_that_are_set_aside_are_left_alone_and_their_state_is_not_told():
    async def scenario(deployment):
        job_id, _ = await deployment.submit("desk", two_step_spec(5.0))
        fleet = deployment.fleet
        create = PoolOwner.__init__

        def create_without(owner, *args):
            create(owner, *args[:-1], SetAside(jobs=frozenset({job_id})))

        PoolOwner.__init__ = create_without
        try:
            fleet.kill(fleet.owner_of("desk"))
            started_at = deployment.clock.now()
            await submit_to_desk(deployment)
        finally:
            PoolOwner.__init__ = create
        queue = deployment.accepted.pop(job_id)
        node = fleet.daemons[fleet.owner_of("desk")].node
        answers = []
        for call in (node.service.find, node.service.cancel):
            try:
                answers.append(await call(queue, job_id, 2.0))
            except Exception as error:  # noqa: BLE001
                answers.append(type(error).__name__)
        return await judge(deployment, started_at), answers

    served, answers = run_scenario(scenario, moves=False)
    assert_that(served, Equals(SERVED))
    assert JobState.COMPLETED not in answers
    assert None not in answers


#: time after which what is set aside was tried again, in seconds
RETRY_WAIT_SECONDS = 30.0


class FailingFor:
    """Raises an error midway whenever the end of a job's task, or a worker's reply, is applied."""

    def __init__(self, monkeypatch, job_id="", worker_id=""):
        self.job_id = job_id
        self.worker_id = worker_id
        self.raised = 0
        self.process_end = replies_module._process_end
        self.drop_unlisted_runs = replies_module.drop_unlisted_runs
        monkeypatch.setattr(replies_module, "_process_end", self.end)
        monkeypatch.setattr(replies_module, "drop_unlisted_runs", self.drop)

    def end(self, pool_state, worker, end, now, wall_time):
        job = pool_state.jobs.get(end.task.job_id)
        if job is not None and job.key.job_id == self.job_id:
            self.raised += 1
            raise RuntimeError("an end cannot be applied")
        self.process_end(pool_state, worker, end, now, wall_time)

    def drop(self, pool_state, worker, reply):
        if worker.worker_id == self.worker_id:
            self.raised += 1
            raise RuntimeError("a reply cannot be applied")
        self.drop_unlisted_runs(pool_state, worker, reply)


@pytest.mark.parametrize("culprit", ["job", "worker"])
def test_what_owners_fail_on_again_and_again_is_set_aside_and_the_others_are_served(
    monkeypatch, culprit
):
    poison = "00000000000000ff"
    names = {"job": {"job_id": poison}, "worker": {"worker_id": "desk-2-1"}}
    failing = FailingFor(monkeypatch, **names[culprit])

    async def scenario(deployment):
        await deployment.submit("desk", two_step_spec(), job_id=poison)
        if culprit == "job":
            deployment.accepted.pop(poison)
        await anyio.sleep(4.0)
        started_at = deployment.clock.now()
        await submit_to_desk(deployment)
        owner = deployment.fleet.daemons[deployment.fleet.owner_of("desk")].node.owned["desk"]
        aside = owner.set_aside
        return await judge(deployment, started_at), set(aside.jobs), set(aside.workers)

    served, jobs, workers = run_scenario(scenario, moves=False)
    assert_that(served[1:], Equals(SERVED[1:]))
    assert_that(
        (jobs, workers), Equals(({poison}, set()) if culprit == "job" else (set(), {"desk-2-1"}))
    )
    assert failing.raised <= 4


# Guards against TWICE: an end that is acknowledged for a job that the owner does not know is lost.
def test_tasks_of_a_job_that_was_set_aside_are_not_started_again_after_they_have_ended(monkeypatch):
    poison = "00000000000000ff"
    failing = FailingFor(monkeypatch, job_id=poison)

    async def scenario(deployment):
        await deployment.submit("desk", two_step_spec(), job_id=poison)
        await submit_to_desk(deployment)
        failing.job_id = ""
        deployment.fleet.kill(deployment.fleet.owner_of("desk"))
        await anyio.sleep(RETRY_WAIT_SECONDS)
        starts = Counter(
            run.order.task for run in deployment.fleet.runs if run.order.task.job_id == poison
        )
        return await deployment.state(poison), set(starts.values())

    assert_that(run_scenario(scenario, moves=False), Equals((JobState.COMPLETED, {1})))
