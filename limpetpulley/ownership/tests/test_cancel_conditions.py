"""A stored cancel and a job with its identifier exclude each other, whoever owns pools."""

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from ...batch import Amount, Job, JobKey, JobSpec, JobState, Step
from ...exception import StoreFault, StoreUnavailable
from ...store import Put
from .. import Outcome, Submission
from ..unknown_cancels import UnknownCancels, encode_cancels
from ..writer import MAX_TRANSACTION_ENTRIES, StoreOutcome
from .test_cancel import (
    JOB_ID,
    LateWrites,
    cancel_until_answered,
    change_owner,
    runs_of_job,
)
from .test_daemons import lasting_spec, run_scenario
from .test_writer import run_scenario as run_writer

KEY = JobKey("desk", JOB_ID)


def moved_config(config, pool="tour"):
    """Return the next configuration, in which the queue of a pool is one of another pool."""
    queues = {**config.queues, "desk": attrs.evolve(config.queues["desk"], pool=pool)}
    return attrs.evolve(config, version=config.version + 1, queues=queues)


def apply_config(deployment, config, names=None):
    for name in names or list(deployment.fleet.daemons):
        deployment.fleet.daemons[name].node.apply_config(config)


def store_cancel(deployment, key=KEY):
    """Store a cancel as the owner of another pool does."""
    keys = next(iter(deployment.fleet.daemons.values())).node.context.keys
    deployment.fleet.store.apply([Put(keys.cancels(key.queue), encode_cancels([key]))])


async def submit_to(deployment, at, queue, job_id=JOB_ID, spec=None):
    node = deployment.fleet.daemons[at].node
    submission = Submission(queue, job_id, spec or lasting_spec(), "agents")
    return await node.service.submit(submission, 3.0)


# Guards against a job that runs after its cancel, because its queue has moved to another pool.
@pytest.mark.parametrize("late_seconds", [0.5, 3.0, 8.0])
@pytest.mark.parametrize("is_moved_first", [False, True])
def test_cancel_holds_for_a_submission_to_another_pool(late_seconds, is_moved_first):
    async def scenario(deployment):
        fleet = deployment.fleet
        before, after = fleet.config, moved_config(fleet.config)
        # The owner of the former pool gets the configuration late, if the queue has moved first.
        others = [name for name in fleet.daemons if name != fleet.owner_of("desk")]
        at = next(name for name in others if name != fleet.owner_of("tour"))
        if is_moved_first:
            apply_config(deployment, after, others)
            fleet.config = after
        state, _ = await cancel_until_answered(deployment, at)
        if not is_moved_first:
            apply_config(deployment, after)
        await anyio.sleep(late_seconds)
        submitter = fleet.owner_of("desk") if is_moved_first else at
        queue = (before if is_moved_first else after).queues["desk"]
        result = await submit_to(deployment, submitter, queue)
        await anyio.sleep(2.0)
        return state, result.outcome, result.reason, runs_of_job(deployment)

    assert_that(run_scenario(scenario), Equals((None, Outcome.REFUSED, "cancelled", [])))


# Guards against an owner that stores a job by what it read of cancels some time ago.
def test_owner_reads_cancels_that_others_have_stored_before_it_stores_a_job():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        queue = deployment.fleet.config.queues["desk"]
        await submit_to(deployment, owner, queue, "0" * 16)
        store_cancel(deployment)
        results = {}

        async def submit(job_id):
            results[job_id] = (await submit_to(deployment, owner, queue, job_id)).outcome

        async with anyio.create_task_group() as tasks:
            for job_id in (JOB_ID, "1" * 16, "2" * 16):
                tasks.start_soon(submit, job_id)
        await anyio.sleep(2.0)
        return results, runs_of_job(deployment)

    results, runs = run_scenario(scenario)
    expected = {JOB_ID: Outcome.REFUSED} | dict.fromkeys(("1" * 16, "2" * 16), Outcome.ACCEPTED)
    assert_that((results, runs), Equals((expected, [])))


# Guards against a repeated cancel that is forgotten, or deleted, when the first one would be.
def test_cancel_that_is_repeated_elsewhere_holds_from_its_last_time_on():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        queue, results = deployment.fleet.config.queues["desk"], []
        for job_id, wait_seconds in (("0" * 16, 13.0), ("1" * 16, 8.0)):
            store_cancel(deployment)
            results.append(await submit_to(deployment, owner, queue, job_id))
            await anyio.sleep(wait_seconds)
        results.append(await submit_to(deployment, owner, queue))
        return [result.reason for result in results]

    assert_that(run_scenario(scenario), Equals(["", "", "cancelled"]))


# Guards against a write that the store carries out after a cancel of its job was acknowledged.
@pytest.mark.parametrize("late", [True, False], ids=["late", "lost"])
@pytest.mark.parametrize("lost", [1, 2])
def test_late_write_of_a_job_has_no_effect_after_its_cancel_is_stored(lost, late):
    async def scenario(deployment):
        LateWrites(deployment, lost, late)
        fleet, results = deployment.fleet, []
        owner = fleet.owner_of("desk")

        async def submit():
            results.append(await submit_to(deployment, owner, fleet.config.queues["desk"]))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit)
            await anyio.sleep(0.3)
            store_cancel(deployment)
        await anyio.sleep(5.0)
        key = fleet.daemons[owner].node.context.keys.description(KEY)
        return results[0].reason, key in fleet.store.entries, runs_of_job(deployment)

    assert_that(run_scenario(scenario), Equals(("cancelled", False, [])))


def test_job_that_was_stored_before_the_cancel_is_cancelled_in_its_pool():
    async def scenario(deployment):
        fleet = deployment.fleet
        owner, queue = fleet.owner_of("desk"), fleet.config.queues["desk"]
        result = await submit_to(deployment, owner, queue)
        await anyio.sleep(1.0)
        after = moved_config(fleet.config)
        apply_config(deployment, after)
        fleet.config = after
        state, _ = await cancel_until_answered(deployment, fleet.owner_of("tour"))
        return result.outcome, state

    assert_that(run_scenario(scenario), Equals((Outcome.ACCEPTED, JobState.CANCELLED)))


# Guards against records of cancels that nobody deletes, since their queue has another pool now.
@pytest.mark.parametrize("is_known", [True, False], ids=["moved", "removed"])
def test_cancels_of_a_queue_that_has_left_its_pool_are_removed_from_the_store(is_known):
    async def scenario(deployment):
        fleet = deployment.fleet
        key = next(iter(fleet.daemons.values())).node.context.keys.cancels("desk")
        await cancel_until_answered(deployment, fleet.owner_of("desk"))
        after = moved_config(fleet.config)
        if not is_known:
            del after.queues["desk"]
        apply_config(deployment, after)
        stored = await fleet.store.get(key)
        await anyio.sleep(25.0)
        return stored is not None, await fleet.store.get(key)

    assert_that(run_scenario(scenario), Equals((True, None)))


class SilentReads:
    """A store that does not answer the first reads of the records of cancels."""

    def __init__(self, store, prefix, count):
        self.store, self.prefix, self.count = store, prefix, count

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def read(self, prefix):
        if prefix == self.prefix and self.count:
            self.count -= 1
            raise StoreUnavailable("no answer")
        return await self.store.read(prefix)


# Guards against cancels whose time never begins, since the store was silent as they were read.
@pytest.mark.parametrize("count", [1, 2])
def test_cancels_are_read_again_after_the_store_was_silent(count):
    async def scenario(deployment):
        fleet = deployment.fleet
        key = next(iter(fleet.daemons.values())).node.context.keys.cancels("desk")
        await cancel_until_answered(deployment, fleet.owner_of("desk"))
        for daemon in fleet.daemons.values():
            context = daemon.node.context
            context.store = SilentReads(context.store, context.keys.unknown_cancels, count)
        await change_owner(deployment, "kill")
        await anyio.sleep(35.0)
        return await fleet.store.get(key)

    assert_that(run_scenario(scenario), Equals(None))


class UnreadableCancels:
    """A store that fails whenever a record of cancels is read."""

    def __init__(self, store, prefix):
        self.store, self.prefix = store, prefix

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def get(self, key):
        if key.startswith(self.prefix):
            raise StoreFault("cannot be read")
        return await self.store.get(key)


# Guards against a queue that takes no jobs because the record of its cancels cannot be read.
def test_jobs_are_stored_although_the_cancels_of_their_queue_cannot_be_read():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        context = deployment.fleet.daemons[owner].node.context
        context.store = UnreadableCancels(context.store, context.keys.unknown_cancels)
        store_cancel(deployment, JobKey("desk", "f" * 16))
        queue = deployment.fleet.config.queues["desk"]
        return [
            (await submit_to(deployment, owner, queue, job_id)).outcome
            for job_id in ("0" * 16, "1" * 16)
        ]

    assert_that(run_scenario(scenario), Equals([Outcome.ACCEPTED] * 2))


@pytest.mark.parametrize("queues", [1, 3, 15, 40])
def test_transaction_of_jobs_of_many_queues_is_within_the_limit_of_the_store(queues):
    async def scenario(clock, store, pool_state, writer):
        writer.creation_guard = UnknownCancels(writer.context, "desk", writer)
        commit, sizes = store.commit, []

        async def count(compares, writes):
            sizes.append(len(compares) + len(writes))
            return await commit(compares, writes)

        store.commit = count
        spec = JobSpec("", (Step(1, Amount(1, 1)),))
        outcomes = [
            StoreOutcome(Job(JobKey(f"q-{number % queues}", f"{number:016x}"), spec, "desk", "", 2))
            for number in range(60)
        ]
        for outcome in outcomes:
            writer.create(outcome)
        for outcome in outcomes:
            await outcome.settled.wait()
        return {outcome.stored for outcome in outcomes}, max(sizes), len(sizes)

    stored, largest, count = run_writer(scenario)
    assert_that(stored, Equals({True}))
    assert_that(largest, LessThan(MAX_TRANSACTION_ENTRIES + 1))
    assert_that(count, LessThan(7))
