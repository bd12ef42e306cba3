"""A refusal that says that a job has not run is true, whatever comes after it.

Each row harms the writes of a job's description, then ends the owner or takes its capacity away,
while the caller asks again a few times. At the end another owner reads what is stored.
"""

import itertools

import anyio
import pytest

from ...exception import StoreRefused
from ...store import Put
from .batch_callers import job_document, run_callers

JOB_ID = "00000000000000ab"
LATENCY_TARGET_SECONDS = 10.0
#: time after the last answer in which late writes take effect, in seconds
SETTLE_SECONDS = 12.0
#: time for a takeover and the runs that follow it, in seconds
TAKEOVER_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.3


class HarmedWrites:
    """A daemon's client of the store that harms its next writes of a job's description.

    A fault is ``refused``, ``lost`` (neither applied nor answered), or the delay in seconds after
    which the write is applied without an answer.

    :param store: client that carries the calls out
    :param tasks: task group in which delayed writes are applied
    :param faults: the next writes' faults, in order; shared by all daemons
    """

    def __init__(self, store, tasks, faults):
        self.store = store
        self.tasks = tasks
        self.faults = faults

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def commit(self, compares, writes):
        is_description = any(
            isinstance(write, Put) and write.key.startswith("lp/job/") for write in writes
        )
        if not is_description or not self.faults:
            return await self.store.commit(compares, writes)
        fault = self.faults.pop(0)
        if fault == "refused":
            raise StoreRefused("the store is busy")
        if fault != "lost":
            self.tasks.start_soon(self._commit_later, fault, compares, writes)
        return await anyio.sleep_forever()

    async def _commit_later(self, seconds, compares, writes):
        await anyio.sleep(seconds)
        await self.store.commit(compares, writes)


async def keep_owner(callers):
    pass


async def kill_owner(callers):
    callers.fleet.kill(callers.owner_name)


async def depose_owner(callers):
    callers.fleet.daemons[callers.owner_name].node.session.abandon("test")


async def hand_over(callers):
    await callers.fleet.leave(callers.owner_name)


async def take_capacity(callers):
    """Let the owner refuse every new job."""
    for worker in callers.owner.pool_state.workers.values():
        worker.present = False


async def return_capacity(callers):
    for daemon in callers.fleet.daemons.values():
        if "desk" in daemon.node.owned:
            daemon.node.owned["desk"].update_workers()


async def ask_repeatedly(callers, at, time_lefts, answers):
    for number, time_left in enumerate(time_lefts):
        name = (
            at if number == 0 or at in callers.fleet.daemons else next(iter(callers.fleet.daemons))
        )
        answer = await callers.submit(name, JOB_ID, job_document(), time_left)
        answers.append(answer)
        if answer.status == 202:
            return
        await anyio.sleep(RETRY_INTERVAL_SECONDS)


FAULTS = [
    ("refused",),
    ("refused", "refused", 2.0),
    (0.0,),
    (0.0, "refused"),
    (2.0, "refused", "lost", "refused"),
    ("refused", 2.0, "refused"),
    (0.3, "lost", "lost", "lost", "lost", "lost"),
    (2.0, 6.0, 6.0, 6.0, 6.0, 6.0, 6.0),
    ("lost",) * 12,
]
#: what happens after the first submission, and which daemon gets it; the caller's connection would
#: end with an owner that is killed or leaves
EVENTS = [
    (keep_owner, "owner"),
    (keep_owner, "other"),
    (kill_owner, "other"),
    (depose_owner, "owner"),
    (depose_owner, "other"),
    (hand_over, "other"),
    (take_capacity, "owner"),
    (take_capacity, "other"),
]


@pytest.mark.parametrize("event_at", [0.002, 0.4, 1.6])
@pytest.mark.parametrize(("event", "place"), EVENTS)
@pytest.mark.parametrize("faults", FAULTS, ids=lambda faults: "-".join(map(str, faults)))
def test_refused_job_never_runs(faults, event, event_at, place):
    async def scenario(callers):
        remaining_faults, answers = list(faults), []
        for daemon in callers.fleet.daemons.values():
            context = daemon.node.context
            context.store = HarmedWrites(context.store, callers.fleet.tasks, remaining_faults)
        at = callers.daemon(place)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask_repeatedly, callers, at, (3.0, 0.4, 3.0, 1.0), answers)
            await anyio.sleep(event_at)
            await event(callers)
        remaining_faults.clear()
        await return_capacity(callers)
        await anyio.sleep(SETTLE_SECONDS)
        if callers.owner_name is not None and len(callers.fleet.daemons) > 1:
            callers.fleet.kill(callers.owner_name)
        await anyio.sleep(TAKEOVER_SECONDS)
        return answers, callers.is_stored(JOB_ID), callers.runs_of(JOB_ID)

    assert_refusals_hold(*run_callers(scenario, latency_target_seconds=LATENCY_TARGET_SECONDS))


def assert_refusals_hold(answers, is_stored, runs):
    history = [(answer.status, answer.reason) for answer in answers]
    assert {answer.status for answer in answers} <= {202, 503, 504}
    if answers[-1].status == 503:
        assert answers[-1].run == "no", history
        assert not is_stored, history
        assert not runs, history
    if answers[-1].status == 202:
        assert is_stored, history
        assert len(runs) == 2, history
    tasks = [run.order.task for run in runs]
    assert len(set(tasks)) == len(tasks), history
    # Once the outcome is in doubt, only a fresh decision may refuse, and then nothing is stored.
    for before, after in itertools.pairwise(answers):
        if before.status == 504 and after.status == 503:
            assert not is_stored or answers[-1].status == 202, history
