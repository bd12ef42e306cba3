"""Writes whose answers are lost, or that the store carries out late, after newer ones."""

import anyio
import pytest

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step, TaskId
from ...batch.keys import BatchKeys
from ...batch.records import decode_job, encode_description
from ...pool import PoolState
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Compare, MemoryStore, Put
from ...telemetry import quiet_log
from .. import Around, Timing
from ..writer import ANSWER_SECONDS, SLOW_ANSWER_SECONDS, OwnerWriter, StoreOutcome

JOB_ID = "00000000000000ab"
KEY = JobKey("quotes", JOB_ID)
NEVER = 60.0


class FaultyCommits(MemoryStore):
    """A store that carries some commits out late, and does not answer them.

    :param fates: for the next commits: seconds until it is carried out without an answer, None for
        one that works
    """

    def __init__(self, clock, tasks):
        super().__init__(clock)
        self.tasks = tasks
        self.fates = []

    async def commit(self, compares, writes):
        fate = self.fates.pop(0) if self.fates else None
        if fate is None:
            return await super().commit(compares, writes)
        self.tasks.start_soon(self._later, fate, compares, writes)
        await anyio.sleep(NEVER)
        raise AssertionError("the writer waits too long")

    async def _later(self, seconds, compares, writes):
        await anyio.sleep(seconds)
        await super().commit(compares, writes)


def play(story):
    async def start():
        async with anyio.create_task_group() as tasks:
            clock = VirtualClock()
            store = FaultyCommits(clock, tasks)
            keys = BatchKeys("lp/")
            claimed = await store.commit([], [Put(keys.owner("desk"), b"{}")])
            around = Around(
                store, keys, None, clock, quiet_log("entry-1"), Timing(), tasks, clock.now
            )
            book = PoolState("desk", 1, 0.2, 10.0, 4.0)
            claim = Compare(keys.owner("desk"), claimed.revision)
            writer = OwnerWriter(around, book, claim, lambda: None)
            for loop in (writer.run_creations, writer.run_flushes):
                tasks.start_soon(loop)
            result = await story(clock, store, book, writer)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(start)


def make_job():
    spec = JobSpec("", (Step(3, Amount(1, 1)),))
    return Job(KEY, spec, "desk", "", 2, accepted_at=1000.0, due_by=1010.0)


def end(book, position):
    """Let a task of the job be done."""
    job = book.jobs[JOB_ID]
    job.note_end(TaskId(JOB_ID, 0, 0, position), position + 1, EndKind.DONE, 1001.0)
    book.progress.mark_changed(JOB_ID)


def stored(store, book):
    entry = store.entries.get(BatchKeys("lp/").progress(KEY))
    described = encode_description(book.jobs[JOB_ID])
    return decode_job(KEY, described, entry.value if entry else None)


@pytest.mark.parametrize("late", [0.0, 0.3, 1.2, 3.0, 6.0])
def test_progress_that_is_stored_late_undoes_nothing(late):
    async def story(clock, store, book, writer):
        book.add_job(make_job(), 1000.0)
        end(book, 0)
        await writer.flush()
        store.fates = [late]
        end(book, 1)
        begun = clock.now()
        await writer.flush()
        end(book, 2)
        await writer.flush()
        taken = clock.now() - begun
        await anyio.sleep(10.0)
        return taken, len(stored(store, book).done), book.unstored_jobs()

    taken, done, unstored = play(story)
    assert taken < ANSWER_SECONDS + 0.5
    assert done == 3
    assert unstored == []


@pytest.mark.parametrize(
    ("fates", "longest"),
    [
        ([], 0.1),
        ([0.0], ANSWER_SECONDS + 0.1),
        ([4.0], ANSWER_SECONDS + 0.1),
    ],
)
def test_a_new_job_is_stored_though_an_answer_is_lost(fates, longest):
    async def story(clock, store, book, writer):
        store.fates = list(fates)
        begun = clock.now()
        outcome = StoreOutcome(make_job())
        writer.create(outcome)
        await outcome.settled.wait()
        return outcome.stored, clock.now() - begun

    found, taken = play(story)
    assert found is True
    assert taken < longest


def test_a_job_that_may_be_stored_is_in_doubt():
    async def story(clock, store, book, writer):
        store.fates = [4.0, 4.0]
        outcome = StoreOutcome(make_job())
        writer.create(outcome)
        begun = clock.now()
        await outcome.settled.wait()
        return outcome.stored, clock.now() - begun

    found, taken = play(story)
    assert found is None
    assert taken < ANSWER_SECONDS + SLOW_ANSWER_SECONDS + 0.1
