"""Which tasks are suspects of a crash, how they are started again and when they are given up."""

import attrs
import pytest

from ...batch import EndKind, JobState, Step
from ...batch.records import decode_job, encode_description, encode_progress
from ...workers import EndedRun, ListedRun, RunPhase, StartOrder, StartOutcome
from .. import process_start_reply, requeue_speculative_tasks
from .test_planning import JOB, NOW, TASK, hold, make_pool_state, plan, task

PLAIN = Step(1, TASK)


def start(pool_state, now):
    """Send the planned starts and confirm them; return them."""
    orders = [order for order in plan(pool_state, now=now) if isinstance(order, StartOrder)]
    for order in orders:
        process_start_reply(
            pool_state, pool_state.runs[order.task], StartOutcome.STARTED, 10.0, now
        )
    return orders


def crash(pool_state, name):
    """End a worker, as the list of VMs shows it."""
    pool_state.workers[name].ended = True
    pool_state.handle_worker_restart(pool_state.workers[name], "test")


def make_busy_pool_state(step, workers=4):
    return make_pool_state(step, workers=tuple(f"w{number}" for number in range(workers)))


def keep_alive(pool_state, now):
    """Let all workers that have not ended reply."""
    for name, worker in pool_state.workers.items():
        if not worker.ended:
            rows = [ListedRun(run.task, run.number) for run in worker.runs.values()]
            hold(pool_state, name, rows, clock=10.0 + now - NOW, now=now)


@pytest.mark.parametrize(
    ("event", "is_suspect"),
    [
        (None, True),
        ("reply-soon", True),
        ("reply-later", False),
        ("lost-soon", True),
        ("lost-later", False),
        ("cordoned", False),
        ("draining", False),
    ],
)
def test_only_runs_that_a_crashed_worker_did_not_outlive_are_suspects(event, is_suspect):
    pool_state = make_busy_pool_state(PLAIN)
    (order,) = start(pool_state, NOW)
    worker = pool_state.workers[order.worker_id]
    row = ListedRun(order.task, order.number)
    if event in ("reply-soon", "reply-later"):
        seconds = 0.01 if event == "reply-soon" else 0.3
        hold(pool_state, worker.worker_id, [row], clock=10.0 + seconds, now=NOW + seconds)
    elif event in ("lost-soon", "lost-later"):
        worker.lost_at = NOW + (0.01 if event == "lost-soon" else 0.7)
    elif event == "cordoned":
        worker.cordoned = True
    elif event == "draining":
        worker.listed = attrs.evolve(worker.listed, draining=True)
    crash(pool_state, worker.worker_id)
    assert (order.task in pool_state.suspects) is is_suspect
    assert pool_state.jobs[JOB].suspicion(order.task) == (1.0 if is_suspect else 0.0)


def test_suspects_of_one_crash_share_the_suspicion():
    pool_state = make_busy_pool_state(Step(4, TASK))
    orders = start(pool_state, NOW)
    assert len({order.worker_id for order in orders}) == 1
    crash(pool_state, orders[0].worker_id)
    assert [pool_state.jobs[JOB].suspicion(task(n)) for n in range(4)] == [0.25] * 4


def test_suspects_are_started_on_workers_of_their_own():
    pool_state = make_busy_pool_state(Step(4, TASK))
    crash(pool_state, start(pool_state, NOW)[0].worker_id)
    keep_alive(pool_state, NOW + 1.0)
    orders = start(pool_state, NOW + 1.0)
    assert len({order.worker_id for order in orders}) == len(orders) == 3
    keep_alive(pool_state, NOW + 1.1)
    assert start(pool_state, NOW + 1.15) == []
    keep_alive(pool_state, NOW + 1.3)
    assert len(start(pool_state, NOW + 1.35)) == 1
    keep_alive(pool_state, NOW + 1.6)
    assert pool_state.suspects == set()
    assert pool_state.jobs[JOB].crashes == {}


def test_suspects_of_a_job_are_started_one_by_one_after_a_crash_without_another_suspect():
    pool_state = make_busy_pool_state(Step(3, TASK, max_per_worker=1), workers=8)
    for order in start(pool_state, NOW):
        crash(pool_state, order.worker_id)
    for number in range(3):
        now = NOW + 1.0 + number
        keep_alive(pool_state, now)
        assert len(start(pool_state, now)) == 1
        keep_alive(pool_state, now + 0.1)
        assert start(pool_state, now + 0.15) == []
        keep_alive(pool_state, now + 0.3)
    assert pool_state.suspects == set()


@pytest.mark.parametrize("times", [1, 2])
def test_task_is_excused_once_if_several_workers_crash_at_once(times):
    pool_state = make_busy_pool_state(Step(2, TASK, max_per_worker=1))
    for number in range(times):
        orders = start(pool_state, NOW + number)
        assert len({order.worker_id for order in orders}) == 2
        pool_state.end_workers([(order.worker_id, 1) for order in orders], "test")
        keep_alive(pool_state, NOW + number + 0.5)
    assert pool_state.suspects == ({task(0), task(1)} if times > 1 else set())


def test_task_is_given_up_after_two_crashes_without_another_suspect():
    pool_state = make_busy_pool_state(PLAIN)
    for number in range(2):
        (order,) = start(pool_state, NOW + number)
        crash(pool_state, order.worker_id)
        keep_alive(pool_state, NOW + number + 0.5)
    assert start(pool_state, NOW + 3.0) == []
    assert pool_state.jobs[JOB].state is JobState.FAILED


def test_run_that_ends_on_a_living_worker_clears_its_task():
    pool_state = make_busy_pool_state(PLAIN)
    (order,) = start(pool_state, NOW)
    crash(pool_state, order.worker_id)
    (order,) = start(pool_state, NOW + 0.1)
    ended = [EndedRun(1, order.task, order.number, EndKind.STOPPED)]
    hold(pool_state, order.worker_id, (), ended, clock=10.2, now=NOW + 0.2)
    assert pool_state.suspects == set()


@pytest.mark.parametrize("restarted", [True, False])
def test_run_whose_lease_lapsed_counts_only_if_its_worker_had_crashed(restarted):
    pool_state = make_busy_pool_state(PLAIN)
    (order,) = start(pool_state, NOW)
    worker = pool_state.workers[order.worker_id]
    pool_state.expire_leases(NOW + 20.0)
    assert order.task in pool_state.suspects
    if restarted:
        returned = attrs.evolve(worker.listed, incarnation=2)
        pool_state.update_listed_worker(returned)
    else:
        hold(pool_state, worker.worker_id, clock=40.0, now=NOW + 30.0)
    assert pool_state.jobs[JOB].suspicion(order.task) == (1.0 if restarted else 0.0)


def test_task_that_may_have_crashed_its_worker_is_copied_once():
    pool_state = make_busy_pool_state(Step(1, TASK, speculative=True))
    for number in range(2):
        now = NOW + 0.1 * number
        (order,) = start(pool_state, now)
        requeue_speculative_tasks(pool_state, pool_state.workers[order.worker_id])
        pool_state.workers[order.worker_id].silent = True
    assert start(pool_state, NOW + 0.2) == []


def test_crashes_are_part_of_the_stored_progress():
    pool_state = make_busy_pool_state(PLAIN)
    (order,) = start(pool_state, NOW)
    crash(pool_state, order.worker_id)
    job = pool_state.jobs[JOB]
    assert pool_state.unstored_jobs() == [job]
    read = decode_job(job.key, encode_description(job), encode_progress(job))
    assert read.crashes == job.crashes
    successor = make_pool_state(PLAIN, token=4)
    successor.add_job(read, 0.0, inherited=True)
    assert order.task in successor.suspects


def lose_touch(pool_state, name, now):
    """Let a worker fall silent and its entry expire, until the leases of its runs have lapsed."""
    pool_state.workers[name].silent = True
    pool_state.mark_unlisted(name)
    pool_state.expire_leases(now)
    pool_state.expire_leases(now + 0.1)


# Guards against LOST where two executors are cut off just after the start of the same task.
@pytest.mark.parametrize("lasting", [True, False])
@pytest.mark.parametrize("times", [2, 5])
def test_job_is_not_given_up_because_touch_was_lost_with_its_workers(lasting, times):
    step = Step(2, TASK, lasting=lasting, max_per_worker=1, may_miss=1 if lasting else None)
    pool_state = make_busy_pool_state(step, workers=8)
    start(pool_state, NOW)
    for number in range(times):
        now = NOW + 20.0 * (number + 1)
        lose_touch(pool_state, pool_state.runs[task(0)].worker_id, now)
        keep_alive(pool_state, now + 1.0)
        start(pool_state, now + 1.0)
        assert task(0) in pool_state.runs
    assert not pool_state.jobs[JOB].state.is_final
    assert all(run.phase is not RunPhase.STOPPING for run in pool_state.runs_of(JOB))


# Guards against LOST and AVAIL of review/1: crashes soon after the start of the same lasting task.
@pytest.mark.parametrize("times", [2, 5])
def test_lasting_job_is_not_given_up_after_crashes_of_its_workers(times):
    step = Step(2, TASK, lasting=True, max_per_worker=1, may_miss=1)
    pool_state = make_busy_pool_state(step, workers=8)
    start(pool_state, NOW)
    for number in range(times):
        now = NOW + 6.0 * (number + 1)
        crash(pool_state, pool_state.runs[task(0)].worker_id)
        pool_state.mark_stored(dict(pool_state.progress.newest))
        keep_alive(pool_state, now)
        start(pool_state, now)
        assert task(0) in pool_state.runs
    assert not pool_state.jobs[JOB].state.is_final
    assert pool_state.runs[task(1)].phase is not RunPhase.STOPPING


# Guards against LOST where a worker falls silent after a start and its VM goes down much later.
@pytest.mark.parametrize(
    ("sign", "suspicion"),
    [("none", 0.0), ("heartbeat", 0.0), ("connection-lost", 1.0), ("down-at-once", 1.0)],
)
def test_crash_is_attributed_to_a_start_only_if_it_followed_at_once(sign, suspicion):
    pool_state = make_busy_pool_state(PLAIN)
    (order,) = start(pool_state, NOW)
    worker = pool_state.workers[order.worker_id]
    worker.silent = True
    if sign == "connection-lost":
        worker.lost_at = NOW + 0.1
    now = NOW + (0.3 if sign == "down-at-once" else 4.0)
    pool_state.scanned_at = now
    if sign == "heartbeat":
        pool_state.update_listed_worker(attrs.evolve(worker.listed, heartbeat=7))
    crash(pool_state, order.worker_id)
    assert pool_state.jobs[JOB].suspicion(order.task) == suspicion
    assert (order.task in pool_state.suspects) is (sign != "heartbeat")


def crash_others(pool_state, count, now):
    """End workers with which nothing had just started, one after another."""
    for number in range(count):
        pool_state.scanned_at = now + number / 10
        crash(pool_state, f"w{15 - number}")


# Guards against LOST where workers crash often for other reasons, two of them at once after a start
# of the same task.
@pytest.mark.parametrize(("others", "crashes"), [(0, 2), (1, 2), (4, 3), (10, 4)])
def test_task_is_given_up_later_where_workers_crash_for_other_reasons(others, crashes):
    pool_state = make_busy_pool_state(PLAIN, workers=16)
    crash_others(pool_state, others, NOW)
    for number in range(1, crashes + 1):
        keep_alive(pool_state, NOW + number)
        (order,) = start(pool_state, NOW + number)
        crash(pool_state, order.worker_id)
        pool_state.mark_stored(dict(pool_state.progress.newest))
    assert start(pool_state, NOW + crashes + 1) == []
    assert pool_state.jobs[JOB].state is JobState.FAILED


# Guards against LOST where something has just started on most workers that crash for other reasons.
def test_crashes_whose_suspects_are_cleared_count_as_crashes_for_other_reasons():
    pool_state = make_busy_pool_state(Step(4, TASK, max_per_worker=1), workers=16)
    for order in start(pool_state, NOW):
        pool_state.scanned_at = NOW + order.task.position / 10
        crash(pool_state, order.worker_id)
    history = pool_state.crash_history
    assert history.evidence(8, 1, NOW + 1.0) == 1.0
    for number in range(4):
        now = NOW + 1.0 + number
        pool_state.mark_stored(dict(pool_state.progress.newest))
        keep_alive(pool_state, now)
        assert len(start(pool_state, now)) == 1
        keep_alive(pool_state, now + 0.3)
    assert history.evidence(8, 1, NOW + 5.0) < 1.0
