"""Store writes whose answers are lost, or that the store applies late, after newer ones."""

import anyio
import attrs
import pytest

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step, TaskId
from ...batch.keys import BatchKeys
from ...batch.records import decode_job, encode_description, encode_progress
from ...pool import PoolState, process_hold_reply
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Compare, MemoryStore, Put
from ...telemetry import null_log
from ...workers import EndedRun, HoldReply, ListedWorker
from .. import DaemonContext, Timing
from ..writer import ANSWER_TIMEOUT_SECONDS, SLOW_ANSWER_TIMEOUT_SECONDS, OwnerWriter, StoreOutcome

JOB_ID = "00000000000000ab"
KEY = JobKey("quotes", JOB_ID)
UNANSWERED_SECONDS = 60.0
ANSWER_SECONDS = 0.004


class DelayedCommitStore(MemoryStore):
    """A store that applies some commits late and does not answer them.

    ``commit_delays`` holds, for each of the next commits, the seconds until it is applied without
    an answer, or None for one that is answered normally.
    """

    def __init__(self, clock, tasks):
        super().__init__(clock)
        self.tasks = tasks
        self.commit_delays = []

    async def commit(self, compares, writes):
        delay = self.commit_delays.pop(0) if self.commit_delays else None
        if delay is None:
            return await super().commit(compares, writes)
        self.tasks.start_soon(self._commit_later, delay, compares, writes)
        await anyio.sleep(UNANSWERED_SECONDS)
        raise AssertionError("the writer did not time out")

    async def _commit_later(self, seconds, compares, writes):
        await anyio.sleep(seconds)
        await super().commit(compares, writes)


def run_scenario(scenario):
    async def run():
        async with anyio.create_task_group() as tasks:
            clock = VirtualClock()
            store = DelayedCommitStore(clock, tasks)
            keys = BatchKeys("lp/")
            claim_result = await store.commit([], [Put(keys.owner("desk"), b"{}")])
            context = DaemonContext(
                store, keys, None, clock, null_log("entry-1"), Timing(), tasks, clock.now
            )
            pool_state = PoolState("desk", 1, 0.2, 10.0, 4.0)
            claim = Compare(keys.owner("desk"), claim_result.revision)
            writer = OwnerWriter(context, pool_state, claim, lambda: None)
            for loop in (writer.run_creations, writer.run_flushes):
                tasks.start_soon(loop)
            result = await scenario(clock, store, pool_state, writer)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


def make_job():
    spec = JobSpec("", (Step(3, Amount(1, 1)),))
    return Job(KEY, spec, "desk", "", 2, accepted_at=1000.0, due_by=1010.0)


def finish_task(pool_state, position):
    """Mark a task of the job as done."""
    job = pool_state.jobs[JOB_ID]
    job.note_end(TaskId(JOB_ID, 0, 0, position), position + 1, EndKind.DONE, 1001.0)
    pool_state.progress.mark_changed(JOB_ID)


def stored_job(store, pool_state):
    entry = store.entries.get(BatchKeys("lp/").progress(KEY))
    description = encode_description(pool_state.jobs[JOB_ID])
    return decode_job(KEY, description, entry.value if entry else None)


@pytest.mark.parametrize("late", [0.0, 0.3, 1.2, 3.0, 6.0])
def test_late_write_of_progress_does_not_overwrite_newer_progress(late):
    async def scenario(clock, store, pool_state, writer):
        pool_state.add_job(make_job(), 1000.0)
        finish_task(pool_state, 0)
        await writer.flush()
        store.commit_delays = [late]
        finish_task(pool_state, 1)
        started_at = clock.now()
        await writer.flush()
        finish_task(pool_state, 2)
        await writer.flush()
        elapsed = clock.now() - started_at
        await anyio.sleep(10.0)
        return elapsed, len(stored_job(store, pool_state).done), pool_state.unstored_jobs()

    elapsed, done, unstored = run_scenario(scenario)
    assert elapsed < ANSWER_TIMEOUT_SECONDS + 0.5
    assert done == 3
    assert unstored == []


@pytest.mark.parametrize(
    ("commit_delays", "max_seconds"),
    [
        ([], 0.1),
        ([0.0], ANSWER_TIMEOUT_SECONDS + 0.1),
        ([4.0], ANSWER_TIMEOUT_SECONDS + 0.1),
    ],
)
def test_new_job_is_stored_although_an_answer_is_lost(commit_delays, max_seconds):
    async def scenario(clock, store, pool_state, writer):
        store.commit_delays = list(commit_delays)
        started_at = clock.now()
        outcome = StoreOutcome(make_job())
        writer.create(outcome)
        await outcome.settled.wait()
        return outcome.stored, clock.now() - started_at

    is_stored, elapsed = run_scenario(scenario)
    assert is_stored is True
    assert elapsed < max_seconds


def test_outcome_is_unknown_if_all_answers_are_lost():
    async def scenario(clock, store, pool_state, writer):
        store.commit_delays = [4.0, 4.0]
        outcome = StoreOutcome(make_job())
        writer.create(outcome)
        started_at = clock.now()
        await outcome.settled.wait()
        return outcome.stored, clock.now() - started_at

    is_stored, elapsed = run_scenario(scenario)
    assert is_stored is None
    assert elapsed < ANSWER_TIMEOUT_SECONDS + SLOW_ANSWER_TIMEOUT_SECONDS + 0.1


@pytest.mark.parametrize("readable", [True, False])
def test_a_job_that_is_found_in_the_store_keeps_its_progress(readable):
    async def scenario(clock, store, pool_state, writer):
        keys, stored = BatchKeys("lp/"), make_job()
        stored.note_end(TaskId(JOB_ID, 0, 0, 1), 7, EndKind.DONE, 1001.0)
        progress = encode_progress(stored) if readable else b"{"
        puts = [Put(keys.description(KEY), encode_description(stored))]
        await store.commit([], [*puts, Put(keys.progress(KEY), progress)])
        outcome = StoreOutcome(attrs.evolve(make_job(), accepted_at=1002.0))
        writer.create(outcome)
        await outcome.settled.wait()
        return outcome.stored, len(outcome.job.done)

    assert run_scenario(scenario) == ((True, 1) if readable else (None, 0))


def add_worker(pool_state, state):
    """Add a worker that stays, or is about to go."""
    listed = ListedWorker("w1", "desk", "w1:1", 1, Amount(1000, 1000))
    if state == "draining":
        listed = attrs.evolve(listed, draining=True)
    worker = pool_state.update_listed_worker(listed)
    worker.cordoned = state == "cordoned"
    return worker


def take_away(pool_state, state):
    """Let the worker go after its reply."""
    if state in ("unlisted", "removed"):
        pool_state.mark_unlisted("w1")
    if state == "removed":
        pool_state.expire_leases(100.0)
    elif state == "ended":
        pool_state.end_workers([("w1", 1)], "test")


@pytest.mark.parametrize("flushing", [False, True])
@pytest.mark.parametrize(
    ("state", "max_seconds"),
    [
        ("present", 0.075),
        ("draining", 0.01),
        ("cordoned", 0.01),
        ("unlisted", 0.01),
        ("removed", 0.01),
        ("ended", 0.01),
    ],
)
def test_a_listed_end_is_stored_at_once_if_its_worker_goes_away(state, max_seconds, flushing):
    """Within 0.1 s otherwise; the worker's list is the only other record of the end."""

    async def scenario(clock, store, pool_state, writer):
        async def commit(compares, writes):
            await anyio.sleep(ANSWER_SECONDS)
            return await MemoryStore.commit(store, compares, writes)

        store.commit = commit
        pool_state.add_job(make_job(), 1000.0)
        worker = add_worker(pool_state, state)
        if flushing:
            finish_task(pool_state, 1)
            writer.flush_requested.set()
            await anyio.sleep(0.06 + ANSWER_SECONDS / 2)
        ends = (EndedRun(1, TaskId(JOB_ID, 0, 0, 0), 1, EndKind.DONE),)
        process_hold_reply(pool_state, worker, HoldReply(1.0, 1, (), ends), clock.now(), 1000.0)
        take_away(pool_state, state)
        writer.flush_requested.set()
        listed_at = clock.now()
        while not pool_state.progress.is_stored(JOB_ID):
            await writer.flushed.wait()
        return clock.now() - listed_at

    assert run_scenario(scenario) < max_seconds


@pytest.mark.parametrize("slow_seconds", [0.0, 0.3])
def test_a_write_confirms_the_claim_as_of_its_request(slow_seconds):
    """The claim may have passed to another owner before a slow answer arrives."""

    async def scenario(clock, store, pool_state, writer):
        commit = store.commit

        async def answer_slowly(compares, writes):
            result = await commit(compares, writes)
            await anyio.sleep(slow_seconds)
            return result

        store.commit = answer_slowly
        called_at = clock.now()
        await writer.commit([], [Put("lp/other", b"")])
        return writer.confirmed_at - called_at

    assert run_scenario(scenario) == pytest.approx(0.0, abs=0.001)
