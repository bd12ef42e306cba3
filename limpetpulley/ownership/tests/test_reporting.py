"""The workers that a pool report lists, and how the owner applies the plan."""

import os

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step, TaskId
from ...batch.keys import BatchKeys
from ...batch.records import RosterEntry
from ...clock import ManualClock
from ...peer import batch_pb2 as pb
from ...pool import PoolState, process_hold_reply
from ...scheduling.arrivals import ArrivalEstimator
from ...store import MemoryStore
from ...telemetry import EventLog
from ...workers import EndedRun, HoldReply, ListedRun, ListedWorker
from .. import DaemonContext, Timing
from ..reporting import PoolReporter, RefusedWork
from ..roster import WorkerRoster
from .test_daemons import run_scenario


def make_reporter():
    clock = ManualClock(100.0)
    log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY))
    context = DaemonContext(
        MemoryStore(clock), BatchKeys("lp/"), None, clock, log, Timing(), None, clock.now
    )
    pool_state = PoolState("desk", 3, 0.2, 10.0, 5.0)
    job = Job(JobKey("q", "a"), JobSpec("", (Step(1),)), "desk")
    pool_state.add_job(job, 0.0, inherited=True)
    pool_state.unreconciled_workers = {"listed": 111.0, "unlisted": 111.0, "left": 111.0}
    roster = WorkerRoster(context, pool_state, None, lambda: None)
    roster.adopt(
        {name: RosterEntry(f"{name}:1", f"vm-{name}") for name in pool_state.unreconciled_workers}
    )
    for name in ("listed", "left"):
        pool_state.update_listed_worker(
            ListedWorker(name, "desk", f"{name}:1", 1, Amount(1000), f"vm-{name}")
        )
    pool_state.mark_unlisted("left")
    return pool_state, PoolReporter(
        context, pool_state, RefusedWork(), ArrivalEstimator(), roster, None, lambda: None
    )


def test_a_report_lists_every_unreconciled_worker():
    _, reporter = make_reporter()
    rows = {row.worker: row.vm for row in reporter.build_report().workers}
    expected = {name: f"vm-{name}" for name in ("listed", "unlisted", "left")}
    assert_that(rows, Equals(expected))


ALL_ENDED = [("listed", 1), ("unlisted", 0), ("left", 1)]


@pytest.mark.parametrize(
    ("ended", "may_start"),
    [
        ([("listed", 1)], False),
        (ALL_ENDED, True),
        # The end of another incarnation, or one that was reported before the worker was listed.
        ([("listed", 0), *ALL_ENDED[1:]], False),
        ([("listed", 2), *ALL_ENDED[1:]], False),
        ([*ALL_ENDED[:2], ("left", 0)], False),
    ],
)
def test_tasks_of_an_earlier_owner_start_once_all_unreconciled_workers_have_ended(ended, may_start):
    pool_state, reporter = make_reporter()
    reporter.apply_plan(set(), ended)
    assert_that(pool_state.may_start(pool_state.jobs["a"]), Equals(may_start))


@pytest.mark.parametrize(
    ("incarnation", "lost_at", "kept"),
    [(0, 102.0, 1), (1, 102.0, 1), (2, 102.0, 0), (2, None, 1)],
)
def test_runs_are_kept_if_an_earlier_incarnation_has_ended_or_no_connection_was_lost(
    incarnation, lost_at, kept
):
    pool_state, reporter = make_reporter()
    worker = pool_state.workers["listed"]
    pool_state.update_listed_worker(attrs.evolve(worker.listed, incarnation=2))
    running = (ListedRun(TaskId("a", 0, 0, 0), 1),)
    process_hold_reply(pool_state, worker, HoldReply(1.0, 2, running), 101.0, 101.0)
    worker.lost_at = lost_at
    reporter.apply_plan(set(), [("listed", incarnation)])
    assert_that((len(pool_state.runs), worker.ended), Equals((kept, not kept)))


@pytest.mark.parametrize("name", ["listed", "unlisted", "left"])
def test_an_unreconciled_worker_is_not_reported_as_cordoned(name):
    """Its runs are unknown: a planner that took its VM for drained would end them.

    A worker is unlisted for up to two seconds after an outage in which its entry expired.
    """
    _, reporter = make_reporter()
    reporter.apply_plan({"listed", "unlisted", "left"}, ())
    row = next(row for row in reporter.build_report().workers if row.worker == name)
    assert_that(row.cordoned, Equals(False))


@pytest.mark.parametrize("reconciled", [True, False])
def test_a_worker_is_not_reported_as_cordoned_before_it_is_reconciled(reconciled):
    pool_state, reporter = make_reporter()
    pool_state.workers["listed"].reconciled = reconciled
    reporter.apply_plan({"listed"}, ())
    row = next(row for row in reporter.build_report().workers if row.worker == "listed")
    assert_that(row.cordoned, Equals(reconciled))


def reply_with_ends(count, kind=EndKind.DONE, job_id="a"):
    ends = [
        EndedRun(number, TaskId(job_id, 0, 0, 0), number, kind) for number in range(1, 1 + count)
    ]
    return HoldReply(10.0, 1, (), tuple(ends))


@pytest.mark.parametrize(
    ("reply", "stored", "cordoned"),
    [
        (reply_with_ends(0), False, True),
        (reply_with_ends(1), False, False),
        (reply_with_ends(1), True, True),
        (reply_with_ends(1, EndKind.FAILED), False, False),
        (reply_with_ends(1, EndKind.STOPPED), False, True),
        (reply_with_ends(1, job_id="unknown"), False, True),
        (reply_with_ends(499, EndKind.STOPPED), False, True),
        (reply_with_ends(500, EndKind.STOPPED), False, False),
    ],
)
def test_a_worker_is_not_reported_as_cordoned_while_it_alone_has_ends(reply, stored, cordoned):
    """A planner that took its VM for drained would end it, and with it the only other record."""
    pool_state, reporter = make_reporter()
    process_hold_reply(pool_state, pool_state.workers["listed"], reply, 100.0, 100.0)
    reporter.apply_plan({"listed"}, ())
    if stored:
        pool_state.mark_stored({"a": pool_state.progress.newest["a"]})
    row = next(row for row in reporter.build_report().workers if row.worker == "listed")
    assert_that((row.cordoned, row.timed_runs), Equals((cordoned, 0)))


def test_an_end_behind_a_full_list_is_awaited_before_the_worker_is_reported_as_cordoned():
    pool_state, reporter = make_reporter()
    worker, found = pool_state.workers["listed"], []
    reporter.apply_plan({"listed"}, ())
    for count in (500, 1):
        reply = reply_with_ends(count, EndKind.STOPPED)
        process_hold_reply(pool_state, worker, reply, 100.0, 100.0)
        row = next(row for row in reporter.build_report().workers if row.worker == "listed")
        found.append(row.cordoned)
    assert_that(found, Equals([False, True]))


@pytest.mark.parametrize(
    ("token_offset", "outcome"), [(-1, pb.NOT_OWNER), (0, pb.ACCEPTED), (1, pb.ACCEPTED)]
)
def test_the_planner_heeds_no_report_of_an_owner_that_was_replaced(token_offset, outcome):
    """Its workers may be reported as empty although its successor has started runs there."""

    async def scenario(deployment):
        while not (
            nodes := [
                each.node
                for each in deployment.fleet.daemons.values()
                if each.node.planner and each.node.planner.restored
            ]
        ):
            await anyio.sleep(0.1)
        # The planner has just taken over, and the successor's reports don't reach it.
        nodes[0].planner.reports.latest.clear()
        token = nodes[0].directory.owners["desk"].token
        report = pb.PoolReport(pool="desk", token=token + token_offset)
        return (await nodes[0].ask_planner(report)).outcome, nodes[0].handle_pool_report(report)

    asked, handled = run_scenario(scenario)
    assert (asked, handled.outcome) == (outcome, outcome)


# Guards against tasks on a worker that is about to end, while its planner is being replaced.
@pytest.mark.parametrize(
    ("outcome", "seconds", "cordoned", "ended"),
    [
        (pb.ACCEPTED, 0.1, False, True),
        (pb.UNKNOWN, 0.1, True, True),
        (pb.UNKNOWN, 3.1, False, True),
        (pb.NOT_OWNER, 0.1, True, False),
        (pb.NOT_OWNER, 3.1, False, False),
    ],
)
def test_cordons_stay_while_the_planner_does_not_know_which_workers_to_cordon(
    outcome, seconds, cordoned, ended
):
    pool_state, reporter = make_reporter()
    reporter.apply_plan({"listed"}, ())
    reporter.context.clock.advance(seconds)
    incarnation = pb.WorkerIncarnation(worker="left", incarnation=1)
    plans = [pb.PoolPlan(outcome=outcome, ended_incarnations=[incarnation])]

    async def run():
        async with anyio.create_task_group() as tasks:

            async def send_report(report):
                if not plans:
                    tasks.cancel_scope.cancel()
                    await anyio.sleep_forever()
                return plans.pop()

            reporter.send_report = send_report
            await reporter.run()

    anyio.run(run)
    listed, left = pool_state.workers["listed"], pool_state.workers["left"]
    assert_that((listed.cordoned, left.ended), Equals((cordoned, ended)))


def make_labelled_reporter():
    """Return a pool's reporter; only one of its two workers has a lasting task's label."""
    pool_state, reporter = make_reporter()
    pool_state.unreconciled_workers = {}
    for name, labels in (("listed", {"kind-2"}), ("left", set())):
        listed = attrs.evolve(pool_state.workers[name].listed, labels=frozenset(labels))
        pool_state.update_listed_worker(listed)
    step = Step(1, Amount(1000), lasting=True, label="kind-2")
    pool_state.add_job(Job(JobKey("q", "b"), JobSpec("", (step,)), "desk"), 0.0)
    return pool_state, reporter


# Guards against LOST where the only worker that a lasting task may run on is moved to another pool.
def test_worker_that_a_lasting_task_needs_for_its_label_is_not_cordoned():
    pool_state, reporter = make_labelled_reporter()
    reporter.apply_plan({"listed", "left"}, ())
    cordoned = {name for name, worker in pool_state.workers.items() if worker.cordoned}
    assert_that(cordoned, Equals({"left"}))


def test_worker_stays_cordoned_although_a_lasting_task_needs_it_by_now():
    """Its VM may have been ordered away already."""
    pool_state, reporter = make_labelled_reporter()
    pool_state.workers["listed"].cordoned = True
    reporter.apply_plan({"listed"}, ())
    assert_that(pool_state.workers["listed"].cordoned, Equals(True))


def test_planner_is_told_that_a_worker_is_needed_for_a_lasting_task():
    """It drains the workers with the fewest lasting tasks first, and takes none that has any."""
    _, reporter = make_labelled_reporter()
    rows = {row.worker: row.lasting_runs for row in reporter.build_report().workers}
    assert_that(rows, Equals({"listed": 1, "left": 0}))
