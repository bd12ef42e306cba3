"""Orders for gangs, steps with tickets, emptied workers and unanswered starts."""

from collections import Counter

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from ...batch import AdviceRule, Amount, EndKind, Job, JobKey, JobSpec, JobState, Step, TaskId
from ...workers import (
    Ended,
    HoldReply,
    ListedWorker,
    Running,
    RunPhase,
    StartOrder,
    StartOutcome,
    StopOrder,
)
from .. import PlanningLimits, PoolState, plan_orders
from ..tickets import StepKey

JOB = "00000000000000aa"
TASK = Amount(1000, 100)
NOW = 50.0


class Shares:
    """Teams may run so many processors."""

    def __init__(self, cores=1000):
        self.cores = cores

    def allows(self, team, running, more):
        return (running + more).cpu_millicores <= 1000 * self.cores


def make_book(*steps, workers=("w1", "w2"), cores=4, token=3):
    book = PoolState("desk", token, 0.2, 10.0, 5.0)
    for number, name in enumerate(workers):
        listed = ListedWorker(
            name, "desk", f"{name}:1", 1, Amount(cores * 1000, 8000), "", f"r{number // 2}"
        )
        worker = book.update_listed_worker(listed)
        worker.rostered = True
        hold(book, name)
    book.add_job(Job(JobKey("quotes", JOB), JobSpec("text", steps), "desk"), 0.0)
    return book


def hold(book, name, running=(), ended=(), clock=10.0, now=NOW):
    reply = HoldReply(clock, 1, tuple(running), tuple(ended))
    book.process_hold_reply(book.workers[name], reply, now, now)


def plan(book, shares=None, now=NOW):
    return plan_orders(book, shares or Shares(), now, now, PlanningLimits())


def task(position=0, step=0):
    return TaskId(JOB, 0, step, position)


@pytest.mark.parametrize(
    ("step", "workers", "cores", "shares", "placed"),
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
def test_a_gang_starts_together_or_not_at_all(step, workers, cores, shares, placed):
    orders = plan(make_book(step, workers=workers, cores=cores), Shares(shares))
    assert_that(Counter(order.worker_id for order in orders), Equals(placed))
    assert len({order.number for order in orders}) <= 1


def test_a_gang_that_lost_a_task_is_stopped_and_started_anew():
    book = make_book(Step(2, TASK, gang=True))
    first = plan(book)
    run = book.runs[first[0].task]
    book.process_start_reply(run, StartOutcome.NO_ROOM, 10.0, NOW)
    stops = plan(book)
    assert_that([type(order) for order in stops], Equals([StopOrder]))
    other = first[1]
    ended = Ended(1, other.task, other.number, EndKind.STOPPED, "c1")
    hold(book, other.worker_id, ended=[ended], clock=11.0)
    again = plan(book, now=NOW + 1.0)
    assert_that(again, HasLength(2))
    assert len({order.number for order in again}) == 1 and again[0].number > first[0].number


def test_a_gang_goes_on_from_one_checkpoint():
    book = make_book(Step(2, TASK, gang=True, checkpoints=True))
    for order in plan(book):
        row = Running(order.task, order.number, f"c-{order.task.position}")
        hold(book, order.worker_id, [row], clock=11.0)
    for worker in list(book.workers.values()):
        book.restart_worker(worker, "test")
        for run in list(worker.runs.values()):
            book.drop_run(run, "test")
        hold(book, worker.worker_id)
    checkpoints = {order.checkpoint for order in plan(book)}
    assert_that(checkpoints, HasLength(1))


def test_a_gangs_failures_count_once_a_run():
    job = Job(JobKey("q", JOB), JobSpec("", (Step(2, gang=True),)), "desk", max_attempts=2)
    for position in (0, 1):
        job.note_end(task(position), 7, EndKind.FAILED, 1.0)
    assert_that(job.state, Equals(JobState.QUEUED))
    job.note_end(task(1), 8, EndKind.FAILED, 1.0)
    assert_that(job.state, Equals(JobState.FAILED))


def test_a_step_starts_only_where_it_has_a_ticket():
    book = make_book(Step(2, TASK))
    book.tickets.rules = {"quotes": AdviceRule(0.02, 0.001, 3.0)}
    assert_that(plan(book), Equals([]))
    workers = list(book.workers.values())
    waiting = [(book.jobs[JOB], book.ready[JOB])]
    request = book.tickets.next_request(waiting, workers, NOW)
    assert_that((request.step, request.workers), Equals((StepKey(JOB, 0, 0), ("w1", "w2"))))
    book.tickets.mark_requested(request, NOW)
    assert_that(book.tickets.next_request(waiting, workers, NOW), Equals(None))
    book.tickets.store_tickets(request, {"w2": "t2"}, 3.0, NOW)
    orders = plan(book)
    assert_that([(order.worker_id, order.ticket) for order in orders], Equals([("w2", "t2")] * 2))


@pytest.mark.parametrize(("age", "open_workers"), [(1.0, 1), (3.5, 0)])
def test_a_ticket_is_used_while_it_is_valid(age, open_workers):
    book = make_book(Step(2, TASK))
    book.tickets.rules = {"quotes": AdviceRule(0.02, 0.001, 3.0)}
    request = book.tickets.next_request(
        [(book.jobs[JOB], book.ready[JOB])], list(book.workers.values()), NOW
    )
    book.tickets.mark_requested(request, NOW)
    book.tickets.store_tickets(request, {"w1": "t1"}, 3.0, NOW)
    workers = list(book.workers.values())
    allowed = book.tickets.allowed(book.jobs[JOB], task(), workers, NOW + age)
    assert_that(allowed, HasLength(open_workers))


@pytest.mark.parametrize(
    ("may_miss", "cores", "stops"), [(0, 4, 0), (1, 4, 1), (2, 4, 2), (None, 4, 2), (2, 2, 0)]
)
def test_an_emptied_worker_keeps_what_may_not_be_missed(may_miss, cores, stops):
    book = make_book(Step(4, TASK, lasting=True, may_miss=may_miss), cores=cores)
    book.workers["w2"].cordoned = False
    rows = {}
    for number in range(4):
        name = "w1" if number < 2 else "w2"
        rows.setdefault(name, []).append(Running(task(number), number + 1))
    for clock in (11.0, 12.0):
        for name, row in rows.items():
            hold(book, name, row, clock=clock)
    book.workers["w1"].cordoned = True
    found = [order for order in plan(book) if isinstance(order, StopOrder)]
    assert_that(found, HasLength(stops))


def test_an_unanswered_start_is_sent_again_then_given_up():
    book = make_book(Step(1, TASK))
    (order,) = plan(book)
    assert_that(plan(book, now=NOW + 0.1), Equals([]))
    (again,) = plan(book, now=NOW + 0.6)
    assert_that((again.task, again.number), Equals((order.task, order.number)))
    (stop,) = plan(book, now=NOW + 2.2)
    assert_that(stop, Equals(StopOrder(order.worker_id, order.task, order.number)))
    book.process_stop_reply(stop, 12.0, NOW + 2.3)
    hold(book, order.worker_id, clock=13.0, now=NOW + 2.4)
    (anew,) = plan(book, now=NOW + 2.5)
    assert isinstance(anew, StartOrder) and anew.number > order.number


@pytest.mark.parametrize(
    ("answered", "kept"), [(True, 0), (False, 1)], ids=["answered", "unanswered"]
)
def test_a_rejected_copy_of_a_start_does_not_speak_for_the_others(answered, kept):
    book = make_book(Step(1, TASK))
    (order,) = plan(book)
    run = book.runs[order.task]
    if not answered:
        plan(book, now=NOW + 0.6)
    book.process_start_reply(run, StartOutcome.NO_ROOM, 10.0, NOW + 0.7)
    assert_that(len(book.runs), Equals(kept))
    if kept:
        assert_that(run.phase, Equals(RunPhase.STOPPING))


def test_a_run_that_is_not_listed_after_its_start_was_answered_is_started_anew():
    book = make_book(Step(1, TASK))
    (order,) = plan(book)
    book.process_start_reply(book.runs[order.task], StartOutcome.STARTED, 10.0, NOW)
    hold(book, order.worker_id, clock=10.05)
    assert_that(plan(book), Equals([]))
    hold(book, order.worker_id, clock=10.5)
    (anew,) = plan(book)
    assert anew.number > order.number


def test_lasting_work_goes_before_urgent_jobs():
    book = make_book(Step(1, TASK), workers=("w1",), cores=1)
    lasting = Job(
        JobKey("watch", "00000000000000bb"),
        JobSpec("", (attrs.evolve(Step(1, TASK), lasting=True),)),
        "desk",
        priority=5,
        due_by=99.0,
    )
    book.add_job(lasting, 0.0)
    (order,) = plan(book)
    assert_that(order.task.job_id, Equals("00000000000000bb"))


def test_a_copy_that_comes_after_the_end_does_not_start_the_task_anew():
    book = make_book(Step(1, TASK))
    (order,) = plan(book)
    run = book.runs[order.task]
    plan(book, now=NOW + 0.6)
    book.process_start_reply(run, StartOutcome.STARTED, 10.0, NOW + 0.7)
    book.process_start_reply(run, StartOutcome.OLD_RUN, 11.0, NOW + 0.8)
    assert_that(plan(book, now=NOW + 0.9), Equals([]))
    hold(book, order.worker_id, ended=[Ended(1, order.task, order.number, EndKind.DONE)], clock=12)
    assert_that(book.jobs[JOB].state, Equals(JobState.COMPLETED))


@pytest.mark.parametrize(("listed", "kept"), [(True, True), (False, False)])
def test_a_worker_that_has_ended_is_forgotten_once_it_is_not_listed(listed, kept):
    book = make_book(Step(1, TASK))
    book.workers["w1"].ended = True
    book.restart_worker(book.workers["w1"], "test")
    if not listed:
        book.mark_unlisted("w1")
    plan(book)
    assert_that("w1" in book.workers, Equals(kept))


@pytest.mark.parametrize(("clock", "stops"), [(11.1, 0), (11.4, 1)])
def test_a_taken_over_run_may_still_be_ended_by_the_earlier_owner(clock, stops):
    book = make_book(Step(2, TASK, lasting=True, may_miss=1))
    rows = {"w1": Running(task(0), 1), "w2": Running(task(1), 2)}
    for at in (11.0, clock):
        for name, row in rows.items():
            hold(book, name, [row], clock=at)
    book.workers["w1"].cordoned = True
    found = [order for order in plan(book) if isinstance(order, StopOrder)]
    assert_that(found, HasLength(stops))
