"""Planned orders for gangs, steps with tickets, drained workers and unanswered starts."""

import math
from collections import Counter

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from ...batch import AdviceConfig, Amount, EndKind, Job, JobKey, JobSpec, JobState, Step, TaskId
from ...workers import (
    EndedRun,
    HoldReply,
    ListedRun,
    ListedWorker,
    RunPhase,
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
)
from ..proofs import Proof
from ..tickets import StepKey

JOB = "00000000000000aa"
TASK = Amount(1000, 100)
NOW = 50.0


class Shares:
    """Shares that limit every team to the same number of processors."""

    def __init__(self, cores=1000):
        self.cores = cores

    def allows(self, team, running, more):
        return (running + more).cpu_millicores <= 1000 * self.cores


def make_pool_state(*steps, workers=("w1", "w2"), cores=4, token=3):
    pool_state = PoolState("desk", token, 0.2, 10.0, 5.0)
    for number, name in enumerate(workers):
        listed = ListedWorker(
            name, "desk", f"{name}:1", 1, Amount(cores * 1000, 8000), "", f"r{number // 2}"
        )
        worker = pool_state.update_listed_worker(listed)
        worker.in_roster = True
        hold(pool_state, name)
    pool_state.add_job(Job(JobKey("quotes", JOB), JobSpec("text", steps), "desk"), 0.0)
    return pool_state


def hold(pool_state, name, running=(), ended=(), clock=10.0, now=NOW):
    reply = HoldReply(clock, 1, tuple(running), tuple(ended))
    process_hold_reply(pool_state, pool_state.workers[name], reply, now, now)


def plan(pool_state, shares=None, now=NOW):
    return plan_orders(pool_state, shares or Shares(), now, now, PlanningLimits())


def task(position=0, step=0):
    return TaskId(JOB, 0, step, position)


@pytest.mark.parametrize(
    ("step", "workers", "cores", "shares", "runs_by_worker"),
    [
        (Step(4, TASK, gang=True), ("w1", "w2"), 2, 9, {"w1": 2, "w2": 2}),
        (Step(5, TASK, gang=True), ("w1", "w2"), 2, 9, {}),
        (Step(4, TASK, gang=True), ("w1", "w2"), 2, 3, {}),
        (Step(4, TASK, gang=True, same_rack=True), ("a", "b", "c", "d"), 2, 9, {"a": 2, "b": 2}),
        (
            Step(2, TASK, gang=True, same_rack=True, near_rack="r1"),
            ("a", "b", "c", "d"),
            2,
            9,
            {"c": 1, "d": 1},
        ),
        (Step(2, TASK, gang=True, max_per_worker=1), ("w1", "w2"), 2, 9, {"w1": 1, "w2": 1}),
        (Step(3, TASK, gang=True, max_per_worker=1), ("w1", "w2"), 2, 9, {}),
    ],
)
def test_gang_starts_completely_or_not_at_all(step, workers, cores, shares, runs_by_worker):
    orders = plan(make_pool_state(step, workers=workers, cores=cores), Shares(shares))
    assert_that(Counter(order.worker_id for order in orders), Equals(runs_by_worker))
    assert len({order.number for order in orders}) <= 1


def test_gang_that_lost_a_task_is_stopped_and_restarted():
    pool_state = make_pool_state(Step(2, TASK, gang=True))
    first = plan(pool_state)
    run = pool_state.runs[first[0].task]
    process_start_reply(pool_state, run, StartOutcome.NO_ROOM, 10.0, NOW)
    stops = plan(pool_state)
    assert_that([type(order) for order in stops], Equals([StopOrder]))
    other = first[1]
    ended = EndedRun(1, other.task, other.number, EndKind.STOPPED, "c1")
    hold(pool_state, other.worker_id, ended=[ended], clock=11.0)
    restarts = plan(pool_state, now=NOW + 1.0)
    assert_that(restarts, HasLength(2))
    assert len({order.number for order in restarts}) == 1 and restarts[0].number > first[0].number


def test_gang_resumes_from_a_single_checkpoint():
    pool_state = make_pool_state(Step(2, TASK, gang=True, checkpoints=True))
    for order in plan(pool_state):
        row = ListedRun(order.task, order.number, f"c-{order.task.position}")
        hold(pool_state, order.worker_id, [row], clock=11.0)
    for worker in list(pool_state.workers.values()):
        pool_state.handle_worker_restart(worker, "test")
        for run in list(worker.runs.values()):
            pool_state.drop_run(run, Proof.NOT_LISTED)
        hold(pool_state, worker.worker_id)
    checkpoints = {order.checkpoint for order in plan(pool_state)}
    assert_that(checkpoints, HasLength(1))


def test_gang_failure_counts_once_per_run_number():
    job = Job(JobKey("q", JOB), JobSpec("", (Step(2, gang=True),)), "desk", max_attempts=2)
    for position in (0, 1):
        job.note_end(task(position), 7, EndKind.FAILED, 1.0)
    assert_that(job.state, Equals(JobState.QUEUED))
    job.note_end(task(1), 8, EndKind.FAILED, 1.0)
    assert_that(job.state, Equals(JobState.FAILED))


def test_step_starts_only_on_workers_with_a_ticket():
    pool_state = make_pool_state(Step(2, TASK))
    pool_state.tickets.advice_configs = {"quotes": AdviceConfig(0.02, 0.001, 3.0)}
    assert_that(plan(pool_state), Equals([]))
    workers = list(pool_state.workers.values())
    waiting = [(pool_state.jobs[JOB], pool_state.ready[JOB])]
    request = pool_state.tickets.next_request(waiting, workers, NOW)
    assert_that((request.step, request.workers), Equals((StepKey(JOB, 0, 0), ("w1", "w2"))))
    pool_state.tickets.mark_requested(request, NOW)
    assert_that(pool_state.tickets.next_request(waiting, workers, NOW), Equals(None))
    pool_state.tickets.store_tickets(request, {"w2": "t2"}, 3.0, NOW)
    orders = plan(pool_state)
    assert_that([(order.worker_id, order.ticket) for order in orders], Equals([("w2", "t2")] * 2))


@pytest.mark.parametrize(("age", "allowed_count"), [(1.0, 1), (3.5, 0)])
def test_ticket_is_used_only_while_valid(age, allowed_count):
    pool_state = make_pool_state(Step(2, TASK))
    pool_state.tickets.advice_configs = {"quotes": AdviceConfig(0.02, 0.001, 3.0)}
    request = pool_state.tickets.next_request(
        [(pool_state.jobs[JOB], pool_state.ready[JOB])], list(pool_state.workers.values()), NOW
    )
    pool_state.tickets.mark_requested(request, NOW)
    pool_state.tickets.store_tickets(request, {"w1": "t1"}, 3.0, NOW)
    workers = list(pool_state.workers.values())
    allowed_workers = pool_state.tickets.allowed_workers(
        pool_state.jobs[JOB], task(), workers, NOW + age
    )
    assert_that(allowed_workers, HasLength(allowed_count))


@pytest.mark.parametrize(
    ("may_miss", "cores", "stops"), [(0, 4, 0), (1, 4, 1), (2, 4, 2), (None, 4, 2), (2, 2, 0)]
)
def test_drained_worker_keeps_tasks_that_may_not_be_missing(may_miss, cores, stops):
    pool_state = make_pool_state(Step(4, TASK, lasting=True, may_miss=may_miss), cores=cores)
    pool_state.workers["w2"].cordoned = False
    rows = {}
    for number in range(4):
        name = "w1" if number < 2 else "w2"
        rows.setdefault(name, []).append(ListedRun(task(number), number + 1))
    for clock in (11.0, 12.0):
        for name, row in rows.items():
            hold(pool_state, name, row, clock=clock)
    pool_state.workers["w1"].cordoned = True
    stop_orders = [order for order in plan(pool_state) if isinstance(order, StopOrder)]
    assert_that(stop_orders, HasLength(stops))


def test_unanswered_start_is_resent_and_then_stopped():
    pool_state = make_pool_state(Step(1, TASK))
    (order,) = plan(pool_state)
    assert_that(plan(pool_state, now=NOW + 0.1), Equals([]))
    (resent,) = plan(pool_state, now=NOW + 0.6)
    assert_that((resent.task, resent.number), Equals((order.task, order.number)))
    (stop,) = plan(pool_state, now=NOW + 2.2)
    assert_that(stop, Equals(StopOrder(order.worker_id, order.task, order.number)))
    process_stop_reply(pool_state, stop, 12.0, NOW + 2.3)
    hold(pool_state, order.worker_id, clock=13.0, now=NOW + 2.4)
    (restart,) = plan(pool_state, now=NOW + 2.5)
    assert isinstance(restart, StartOrder) and restart.number > order.number


@pytest.mark.parametrize(
    ("answered", "kept"), [(True, 0), (False, 1)], ids=["answered", "unanswered"]
)
def test_rejection_of_a_resent_start_does_not_settle_the_other_transmissions(answered, kept):
    pool_state = make_pool_state(Step(1, TASK))
    (order,) = plan(pool_state)
    run = pool_state.runs[order.task]
    if not answered:
        plan(pool_state, now=NOW + 0.6)
    process_start_reply(pool_state, run, StartOutcome.NO_ROOM, 10.0, NOW + 0.7)
    assert_that(len(pool_state.runs), Equals(kept))
    if kept:
        assert_that(run.phase, Equals(RunPhase.STOPPING))


def test_task_is_restarted_if_its_acknowledged_run_is_not_listed():
    pool_state = make_pool_state(Step(1, TASK))
    (order,) = plan(pool_state)
    process_start_reply(pool_state, pool_state.runs[order.task], StartOutcome.STARTED, 10.0, NOW)
    hold(pool_state, order.worker_id, clock=10.05)
    assert_that(plan(pool_state), Equals([]))
    hold(pool_state, order.worker_id, clock=10.5)
    (restart,) = plan(pool_state)
    assert restart.number > order.number


def test_lasting_tasks_start_before_more_urgent_jobs():
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",), cores=1)
    lasting = Job(
        JobKey("watch", "00000000000000bb"),
        JobSpec("", (attrs.evolve(Step(1, TASK), lasting=True),)),
        "desk",
        priority=5,
        due_by=99.0,
    )
    pool_state.add_job(lasting, 0.0)
    (order,) = plan(pool_state)
    assert_that(order.task.job_id, Equals("00000000000000bb"))


def test_resent_start_after_the_end_does_not_restart_the_task():
    pool_state = make_pool_state(Step(1, TASK))
    (order,) = plan(pool_state)
    run = pool_state.runs[order.task]
    plan(pool_state, now=NOW + 0.6)
    process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, NOW + 0.7)
    process_start_reply(pool_state, run, StartOutcome.OLD_RUN, 11.0, NOW + 0.8)
    assert_that(plan(pool_state, now=NOW + 0.9), Equals([]))
    hold(
        pool_state,
        order.worker_id,
        ended=[EndedRun(1, order.task, order.number, EndKind.DONE)],
        clock=12,
    )
    assert_that(pool_state.jobs[JOB].state, Equals(JobState.COMPLETED))


@pytest.mark.parametrize(("listed", "kept"), [(True, True), (False, False)])
def test_ended_worker_is_removed_once_it_is_not_listed(listed, kept):
    pool_state = make_pool_state(Step(1, TASK))
    pool_state.workers["w1"].ended = True
    pool_state.handle_worker_restart(pool_state.workers["w1"], "test")
    if not listed:
        pool_state.mark_unlisted("w1")
    plan(pool_state)
    assert_that("w1" in pool_state.workers, Equals(kept))


def end_worker(pool_state, name):
    pool_state.workers[name].ended = True
    pool_state.handle_worker_restart(pool_state.workers[name], "test")


@pytest.mark.parametrize("answered", [True, False], ids=["answered", "unanswered"])
def test_tasks_of_a_worker_whose_vm_is_down_restart_at_once_elsewhere(answered):
    pool_state = make_pool_state(Step(1, TASK))
    (order,) = plan(pool_state)
    if answered:
        process_start_reply(
            pool_state, pool_state.runs[order.task], StartOutcome.STARTED, 10.0, NOW
        )
    end_worker(pool_state, order.worker_id)
    pool_state.workers[order.worker_id].cordoned = True
    stop, restart = plan(pool_state, now=NOW + 0.1)
    # The start may still be carried out on the worker's next incarnation.
    assert_that(stop, Equals(StopOrder(order.worker_id, order.task, order.number)))
    assert isinstance(restart, StartOrder) and restart.worker_id != order.worker_id


@pytest.mark.parametrize(
    ("answered", "listed", "seconds", "stops"),
    [
        (True, True, 0.2, 0),
        (True, False, 0.2, 1),
        (False, True, 0.2, 1),
        (False, False, 0.2, 1),
        (False, False, 20.0, 0),
    ],
)
def test_a_late_start_is_stopped_on_a_worker_that_returns_under_the_same_id(
    answered, listed, seconds, stops
):
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    (order,) = plan(pool_state)
    if answered:
        process_start_reply(
            pool_state, pool_state.runs[order.task], StartOutcome.STARTED, 10.0, NOW
        )
    if listed:
        hold(pool_state, "w1", [ListedRun(order.task, order.number)], clock=10.1)
    end_worker(pool_state, "w1")
    plan(pool_state, now=NOW + seconds)
    returned = attrs.evolve(pool_state.workers["w1"].listed, incarnation=2)
    worker = pool_state.update_listed_worker(returned)
    assert not worker.ended and not worker.reconciled
    expected = [StopOrder("w1", order.task, order.number)] * stops
    assert_that(plan(pool_state, now=NOW + seconds + 0.1), Equals(expected))


def test_a_late_reply_of_a_worker_whose_vm_is_down_is_ignored():
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    (order,) = plan(pool_state)
    end_worker(pool_state, "w1")
    hold(pool_state, "w1", [ListedRun(order.task, order.number)], clock=10.5)
    assert_that(pool_state.runs, Equals({}))


@pytest.mark.parametrize(("clock", "stops"), [(11.1, 0), (11.4, 1)])
def test_adopted_run_may_still_be_stopped_by_the_earlier_owner(clock, stops):
    pool_state = make_pool_state(Step(2, TASK, lasting=True, may_miss=1))
    rows = {"w1": ListedRun(task(0), 1), "w2": ListedRun(task(1), 2)}
    for at in (11.0, clock):
        for name, row in rows.items():
            hold(pool_state, name, [row], clock=at)
    pool_state.workers["w1"].cordoned = True
    stop_orders = [order for order in plan(pool_state) if isinstance(order, StopOrder)]
    assert_that(stop_orders, HasLength(stops))


def next_incarnation(pool_state, name, incarnation=2):
    listed = attrs.evolve(pool_state.workers[name].listed, incarnation=incarnation)
    return pool_state.update_listed_worker(listed)


@pytest.mark.parametrize(
    ("seen_by", "answered", "may_start"),
    [("list", False, False), ("list", True, True), ("reply", True, True)],
)
def test_inherited_tasks_wait_for_the_current_incarnation_of_a_worker_that_restarted(
    seen_by, answered, may_start
):
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    pool_state.inherited.add(JOB)
    pool_state.unreconciled_workers = {"w1": NOW + 11.0}
    if seen_by == "list":
        next_incarnation(pool_state, "w1")
    if answered:
        reply = HoldReply(0.5, 2)
        process_hold_reply(pool_state, pool_state.workers["w1"], reply, NOW, NOW)
    assert_that(pool_state.may_start(pool_state.jobs[JOB]), Equals(may_start))


@pytest.mark.parametrize("seen_by", ["list", "reply"])
@pytest.mark.parametrize(
    ("answered", "listed", "kept"),
    [(False, False, True), (True, False, True), (True, True, False)],
    ids=["unanswered", "answered", "listed"],
)
def test_run_that_the_next_incarnation_may_have_started_is_stopped_there_first(
    answered, listed, kept, seen_by
):
    """A reply to a start order does not tell the incarnation."""
    pool_state = make_pool_state(Step(1, TASK), workers=("w1", "w2"))
    (order,) = plan(pool_state)
    name, run = order.worker_id, pool_state.runs[order.task]
    row = ListedRun(order.task, order.number)
    if answered:
        process_start_reply(pool_state, run, StartOutcome.STARTED, 10.2, NOW)
    if listed:
        hold(pool_state, name, [row], clock=10.3)
    if seen_by == "list":
        worker = next_incarnation(pool_state, name)
        assert pool_state.runs[run.task] is run and worker.listed.incarnation == 1
        pool_state.settle_suspicion(worker, worker.suspected, 2, 1)
        (order,) = plan(pool_state, now=NOW + 0.1)
    else:
        rows = (row,) if answered and not listed else ()
        reply = HoldReply(0.5, 2, rows)
        process_hold_reply(pool_state, pool_state.workers[name], reply, NOW, NOW)
        (order,) = plan(pool_state, now=NOW + 0.1)
    stop = StopOrder(name, run.task, run.number)
    assert_that((order == stop, pool_state.runs[run.task] is run), Equals((kept, kept)))
    if not kept:
        return
    process_stop_reply(pool_state, stop, 0.6, NOW + 0.2)
    stopped = (EndedRun(1, run.task, run.number, EndKind.STOPPED),)
    reply = HoldReply(1.0, 2, (), stopped)
    process_hold_reply(pool_state, pool_state.workers[name], reply, NOW + 0.3, NOW + 0.3)
    (restart,) = plan(pool_state, now=NOW + 0.4)
    assert isinstance(restart, StartOrder) and restart.number > run.number


@pytest.mark.parametrize("listed_again", [0, 1, 2], ids=["removed", "same", "next"])
@pytest.mark.parametrize("incarnation", [1, 2])
def test_late_reply_of_a_worker_that_was_removed_changes_nothing(incarnation, listed_again):
    pool_state = make_pool_state(Step(2, TASK), workers=("w1",))
    worker = pool_state.workers["w1"]
    pool_state.mark_unlisted("w1")
    pool_state.expire_leases(NOW + 1.0)
    if listed_again:
        pool_state.update_listed_worker(attrs.evolve(worker.listed, incarnation=listed_again))
    assert pool_state.workers.get("w1") is not worker
    pool_state.unreconciled_workers = {"w1": NOW + 99.0}
    reply = HoldReply(
        11.0,
        incarnation,
        (ListedRun(task(0), 1),),
        (EndedRun(1, task(1), 1, EndKind.DONE),),
    )
    process_hold_reply(pool_state, worker, reply, NOW + 1.1, NOW + 1.1)
    assert_that((pool_state.runs, worker.runs), Equals(({}, {})))
    assert_that((list(pool_state.unreconciled_workers), worker.stored_through), Equals((["w1"], 0)))


def test_run_that_a_removed_worker_lists_late_can_be_removed():
    """It was adopted on the removed worker, and its removal raised a KeyError."""
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    worker = pool_state.workers["w1"]
    pool_state.mark_unlisted("w1")
    pool_state.expire_leases(NOW + 1.0)
    for clock, row in ((11.0, (ListedRun(task(0), 1),)), (12.0, ())):
        ended = () if row else (EndedRun(1, task(0), 1, EndKind.DONE),)
        reply = HoldReply(clock, 1, row, ended)
        process_hold_reply(pool_state, worker, reply, NOW + 1.1, NOW + 1.1)
    assert_that(pool_state.runs, Equals({}))


@pytest.mark.parametrize("removed", ["lease-lapsed", "stopped", "ended"])
@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize(
    ("answers", "seconds", "stops"), [(1, 0.1, 1), (2, 0.1, 0), (1, 20.0, 0)], ids=str
)
def test_late_start_is_stopped_in_the_next_incarnation_although_its_run_was_removed(
    removed, times, answers, seconds, stops
):
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    (order,) = plan(pool_state)
    run = pool_state.runs[order.task]
    run.unanswered_starts = 2
    for _ in range(answers):
        process_start_reply(pool_state, run, StartOutcome.STARTED, 10.0, NOW)
    now = NOW + 0.5
    if removed == "lease-lapsed":
        now += 60.0
    elif removed == "stopped":
        run.phase = RunPhase.STOPPING
        process_stop_reply(pool_state, StopOrder.of(run), 10.0, NOW)
        hold(pool_state, "w1", clock=11.0)
    else:
        ended = EndedRun(1, order.task, order.number, EndKind.DONE)
        hold(pool_state, "w1", ended=[ended], clock=11.0)
    pool_state.workers["w1"].avoid_until = math.inf
    plan(pool_state, now=now)
    assert run not in pool_state.runs.values()
    now += seconds
    plan(pool_state, now=now)
    for incarnation in range(2, 2 + times):
        next_incarnation(pool_state, "w1", incarnation)
    expected = [StopOrder.of(run)] * stops
    assert_that(plan(pool_state, now=now + 0.3), Equals(expected))


@pytest.mark.parametrize("listed_by", ["same", "other"])
def test_end_that_is_listed_again_is_acknowledged_only_once_it_is_stored(listed_by):
    """By a worker that was removed and is listed again, or of a copy on another worker."""
    pool_state = make_pool_state(Step(1, TASK))
    ended = [EndedRun(1, task(0), 1, EndKind.DONE)]
    hold(pool_state, "w1", ended=ended, clock=10.5)
    name = "w1" if listed_by == "same" else "w2"
    listed = pool_state.workers[name].listed
    if listed_by == "same":
        pool_state.mark_unlisted("w1")
        pool_state.expire_leases(NOW + 0.1)
    worker = pool_state.update_listed_worker(listed)
    hold(pool_state, name, ended=ended, clock=11.0)
    before = worker.stored_through
    pool_state.mark_stored({JOB: pool_state.progress.newest[JOB]})
    assert_that((before, worker.stored_through), Equals((0, 1)))


@pytest.mark.parametrize(("stored", "kept"), [(False, True), (True, False)])
def test_unlisted_worker_is_kept_until_its_ends_are_stored(stored, kept):
    """The next owner must find it on the roster: it has the only other record of the end."""
    pool_state = make_pool_state(Step(1, TASK), workers=("w1",))
    hold(pool_state, "w1", ended=[EndedRun(1, task(0), 1, EndKind.DONE)], clock=10.5)
    if stored:
        pool_state.mark_stored({JOB: pool_state.progress.newest[JOB]})
    pool_state.mark_unlisted("w1")
    pool_state.expire_leases(NOW + 0.1)
    assert_that("w1" in pool_state.workers, Equals(kept))
    pool_state.mark_stored({JOB: pool_state.progress.newest[JOB]})
    pool_state.expire_leases(NOW + 0.2)
    assert_that("w1" in pool_state.workers, Equals(False))


@pytest.mark.parametrize(("seconds", "restarted"), [(24.0, False), (26.0, True)])
@pytest.mark.parametrize("answered", [False, True])
def test_task_restarts_if_the_next_incarnation_of_its_worker_never_answers(
    answered, seconds, restarted
):
    """An order may be late by 15 s, and the lease is 10 s at most, on a slow clock."""
    pool_state = make_pool_state(Step(1, TASK))
    (order,) = plan(pool_state)
    if answered:
        run = pool_state.runs[order.task]
        process_start_reply(pool_state, run, StartOutcome.STARTED, 10.2, NOW)
    other = "w2" if order.worker_id == "w1" else "w1"
    next_incarnation(pool_state, order.worker_id)
    for now in (NOW + seconds - 1.0, NOW + seconds):
        hold(pool_state, other, clock=10.0 + now - NOW, now=now)
        orders = plan(pool_state, now=now)
    starts = [order.worker_id for order in orders if isinstance(order, StartOrder)]
    assert_that(starts, Equals([other] * restarted))


def test_unanswered_start_of_a_removed_job_is_stopped_and_not_repeated():
    pool_state = make_pool_state(Step(1, TASK))
    start = plan(pool_state)[0]
    pool_state.remove_job(JOB)
    orders = plan(pool_state, now=NOW + 0.6)
    assert_that(orders, Equals([StopOrder(start.worker_id, start.task, start.number)]))


def test_tickets_that_arrive_after_the_older_ones_were_dropped_are_used():
    pool_state = make_pool_state(Step(1, TASK))
    tickets = pool_state.tickets
    tickets.advice_configs = {"quotes": AdviceConfig(0.02, 0.001, 3.0)}
    waiting = [(pool_state.jobs[JOB], pool_state.ready[JOB])]
    request = tickets.next_request(waiting, list(pool_state.workers.values()), NOW)
    tickets.mark_requested(request, NOW)
    tickets.drop(task())
    tickets.store_tickets(request, {"w2": "t2"}, 3.0, NOW)
    orders = plan(pool_state, now=NOW + 0.1)
    assert_that([(order.worker_id, order.ticket) for order in orders], Equals([("w2", "t2")]))
