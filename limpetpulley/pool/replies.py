"""Workers' replies to holds and orders, as the pool state takes them in. No I/O."""

from __future__ import annotations

import attrs

from ..batch import EndKind
from ..workers import EndedRun, HoldReply, Run, RunPhase, StartOutcome, StopOrder, Worker
from ..workers.lease import MIN_CLOCK_RATE
from .crashes import clear_survivors, clear_suspect
from .ended_workers import report_sign_of_life
from .events import PoolEvent
from .evidence import weigh_run
from .inherited_leases import inherited_lease_seconds, may_have_inherited_leases
from .proofs import Proof
from .reconcile import SETTLE_MARGIN_SECONDS, drop_unlisted_runs, reconcile_running
from .rejections import handle_rejection
from .state import PoolState, lease_figures
from .state_changes import changes_state

__all__ = ["process_hold_reply", "process_start_reply", "process_stop_reply"]

#: outcomes of a start order that extend the worker's lease
LEASING_OUTCOMES = frozenset({StartOutcome.STARTED, StartOutcome.OLD_RUN, StartOutcome.NO_ROOM})
#: maximum number of ends in one reply of a worker; a longer list may be truncated
MAX_LISTED_ENDS = 500


@changes_state
def process_hold_reply(
    pool_state: PoolState,
    worker: Worker,
    reply: HoldReply,
    now: float,
    wall_time: float,
    sent_to: int | None = None,
) -> None:
    """Apply a worker's list of running and ended runs.

    Nothing is done for a worker that was removed or replaced since the hold was sent: its next
    entry, if it returns, is a new worker, which lists everything again. The incarnation that has
    replied lives after the hold was sent, so it is a later one than that which was known then,
    whatever their numbers. If another one has been listed meanwhile, the reply does not tell which
    of them is later; the reply to the next hold does.

    :param now: local time of the reply
    :param wall_time: wall-clock time, in seconds since 1970
    :param sent_to: incarnation that was known when the hold was sent, None if it is still that
    """
    if worker.ended and reply.incarnation in (0, worker.listed.incarnation):
        last = max((end.position for end in reply.ended), default=0)
        listed = f"{len(reply.running)} runs, ends up to position {last}"
        report_sign_of_life(pool_state, worker, "hold", now, listed)
    if pool_state.workers.get(worker.worker_id) is not worker:
        return
    known = worker.listed.incarnation
    if worker.ended or sent_to not in (None, known):
        return
    if reply.incarnation not in (0, known):
        current = attrs.evolve(worker.listed, incarnation=reply.incarnation)
        pool_state.replace_incarnation(worker, current, "answered")
    worker.lease.record_reply(reply.worker_seconds, now)
    worker.last_reply_at = now
    worker.lost_at = worker.restarted_at = None
    worker.silent = False
    if not worker.reconciled:
        worker.reconciled, worker.reconciled_at = True, now
        if worker.runs or may_have_inherited_leases(pool_state, now):
            worker.lease.assume_extended(inherited_lease_seconds(pool_state, worker))
        _report_first_list(pool_state, worker, reply)
    for end in sorted(reply.ended, key=lambda end: end.position):
        if end.position > worker.processed_through:
            _process_end(pool_state, worker, end, now, wall_time)
            worker.processed_through = end.position
    for row in reply.running:
        reconcile_running(pool_state, worker, row, reply.worker_seconds)
    worker.list_truncated = len(reply.ended) >= MAX_LISTED_ENDS
    if not worker.list_truncated:
        drop_unlisted_runs(pool_state, worker, reply)
    clear_survivors(pool_state, worker)
    if worker.worker_id in pool_state.unreconciled_workers:
        _reconcile_ends(pool_state, worker, reply, now)
    pool_state.acknowledge_ends(worker)


def _report_first_list(pool_state: PoolState, worker: Worker, reply: HoldReply) -> None:
    last = max((end.position for end in reply.ended), default=0)
    pool_state.on_event(
        PoolEvent(
            "worker-reconciled",
            worker.worker_id,
            detail=f"{len(reply.running)} runs, ends up to position {last}",
            life=worker.listed.incarnation,
            lease=lease_figures(worker),
        )
    )


@changes_state
def process_start_reply(
    pool_state: PoolState,
    run: Run,
    outcome: StartOutcome,
    worker_seconds: float,
    now: float,
    min_worker_seconds: float = 0.0,
) -> None:
    """Apply a worker's reply to a start order.

    :param min_worker_seconds: lower bound of the worker's time when the order was sent
    """
    worker = pool_state.workers.get(run.worker_id)
    is_unseen = (
        outcome in LEASING_OUTCOMES and worker_seconds < min_worker_seconds - SETTLE_MARGIN_SECONDS
    )
    if worker is not None and is_unseen:
        _note_unseen_incarnation(pool_state, worker, worker_seconds, min_worker_seconds, now)
    elif worker is not None and outcome in LEASING_OUTCOMES:
        # A young clock may be that of the next incarnation and not be behind.
        length_seconds = worker.lease.until_seconds - worker_seconds
        worker.lease.note_unseen(now, min(length_seconds, pool_state.longest_hold_seconds))
    if worker is not None and outcome is not StartOutcome.OTHER_WORKER:
        report_sign_of_life(pool_state, worker, "start", now, outcome.name.lower())
    if outcome is StartOutcome.STARTED:
        pool_state.note_started(run.task)
    if worker is None or pool_state.runs.get(run.task) is not run:
        return
    worker.last_reply_at = now
    run.unanswered_starts -= 1
    if run.phase is RunPhase.STOPPING:
        return
    if outcome is StartOutcome.STARTED:
        worker.rejections = 0
    if outcome in (StartOutcome.STARTED, StartOutcome.OLD_RUN):
        # An OLD_RUN has ended on the worker; if it ever started, its end is listed. Lists of the
        # incarnation before, which may arrive later, do not tell of it.
        run.settled_at = None if is_unseen else worker_seconds + SETTLE_MARGIN_SECONDS
        if run.started_at is None:
            run.started_at = now
        return
    if run.unanswered_starts:
        # An earlier transmission of this start order may still be executed.
        run.phase, run.settled_at, run.sent_at = RunPhase.STOPPING, None, 0.0
        return
    handle_rejection(pool_state, worker, run, outcome, now)
    pool_state.drop_run(run, Proof.REJECTED, f"rejected-{outcome.name.lower()}")


def _note_unseen_incarnation(
    pool_state: PoolState,
    worker: Worker,
    worker_seconds: float,
    min_worker_seconds: float,
    now: float,
) -> None:
    """Note a reply by a clock that has started anew; the next list tells of the incarnation."""
    worker.lease.note_unseen(now, pool_state.longest_hold_seconds)
    pool_state.on_event(
        PoolEvent(
            "worker-clock-behind",
            worker.worker_id,
            detail=f"{worker_seconds:.3f} s, expected at least {min_worker_seconds:.3f} s",
            life=worker.listed.incarnation,
        )
    )


@changes_state
def process_stop_reply(
    pool_state: PoolState, order: StopOrder, worker_seconds: float, now: float
) -> None:
    """Apply a worker's reply to a stop order."""
    pool_state.orphan_stops.pop(order, None)
    worker = pool_state.workers.get(order.worker_id)
    if worker is None or worker.ended:
        pool_state.late_stops_answered_at[order.worker_id] = now
    run = worker.runs.get(order.task) if worker else None
    if worker is not None and run is not None and run.number == order.number:
        run.settled_at = worker_seconds + pool_state.stop_seconds + SETTLE_MARGIN_SECONDS
        worker.last_reply_at = now


def _reconcile_ends(pool_state: PoolState, worker: Worker, reply: HoldReply, now: float) -> None:
    """Note that an unreconciled worker has listed its runs; wait further if it may hold more ends.

    Without another reply, the leases on its runs have expired after the longest lease.
    """
    if len(reply.ended) < MAX_LISTED_ENDS:
        pool_state.reconcile_worker(worker.worker_id)
    else:
        until = now + pool_state.longest_hold_seconds / MIN_CLOCK_RATE
        known_until = pool_state.unreconciled_workers[worker.worker_id]
        pool_state.unreconciled_workers[worker.worker_id] = max(known_until, until)


def _process_end(
    pool_state: PoolState, worker: Worker, end: EndedRun, now: float, wall_time: float
) -> None:
    run = worker.runs.get(end.task)
    if run is not None and run.number == end.number:
        if end.kind is EndKind.DONE and run.ordered_at is not None:
            pool_state.run_times.observe(
                pool_state.jobs.get(end.task.job_id), end.task, now - run.ordered_at
            )
        pool_state.remove_run(run, Proof.LISTED_END)
    job = pool_state.jobs.get(end.task.job_id)
    pool_state.on_event(
        PoolEvent(
            "run-ended",
            worker.worker_id,
            end.task,
            end.number,
            end.kind,
            worker.listed.incarnation,
            end.position,
        )
    )
    if job is None:
        pool_state.note_aside_end(worker, end)
        return
    pool_state.note_started(end.task)
    clear_suspect(pool_state, worker, end.task, end.number)
    if end.kind in (EndKind.DONE, EndKind.FAILED):
        weigh_run(pool_state, worker, end.task, end.kind is EndKind.DONE, now)
    if end.kind is EndKind.FAILED and job.needs_run(end.task):
        pool_state.failed_on.setdefault(end.task, set()).add(worker.worker_id)
        # The attempts of a task that ends by itself are limited; a lasting one may fail for ever.
        if job.step_of(end.task).lasting:
            pool_state.retries.note_setback(job.attempt_unit(end.task), end.number, now)
    if end.kind is not EndKind.DONE and end.checkpoint and job.needs_run(end.task):
        pool_state.checkpoints[job.attempt_unit(end.task)] = end.checkpoint
    if end.task in pool_state.runs:
        pool_state.tasks_to_check.add(end.task)
    changed = job.note_end(end.task, end.number, end.kind, wall_time)
    if changed:
        pool_state.progress.mark_changed(job.key.job_id)
        pool_state.update_ready_tasks(job, wall_time)
    else:
        pool_state.requeue_task(end.task)
    # An end that changes nothing may be part of progress that is not stored yet: it was listed
    # before, or by another worker.
    pool_state.progress.note_end(worker.worker_id, end.position, job.key.job_id)
