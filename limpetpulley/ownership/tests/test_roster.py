"""The stored list of workers that may hold runs, while the store loses answers and writes late."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength

from ...batch import JobSpec, Step
from ...batch.records import decode_roster
from ...workers import ListedWorker
from .test_daemons import TASK, run_scenario

RUN_SECONDS = 9.0


class LateRosterWrites:
    """A daemon's client of the store, which applies the next write of a roster late.

    :param delay: time until the write is applied, without an answer, in seconds
    """

    def __init__(self, store, tasks, key, delay):
        self.store = store
        self.tasks = tasks
        self.key = key
        self.delay = delay

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def commit(self, compares, writes):
        if self.delay is None or all(write.key != self.key for write in writes):
            return await self.store.commit(compares, writes)
        delay, self.delay = self.delay, None
        self.tasks.start_soon(self._commit_later, delay, compares, writes)
        await anyio.sleep_forever()
        raise AssertionError("unreachable")

    async def _commit_later(self, delay, compares, writes):
        await anyio.sleep(delay)
        await self.store.commit(compares, writes)


async def stored_names(deployment, pool):
    node = next(iter(deployment.fleet.daemons.values())).node
    entry = await deployment.fleet.store.get(node.context.keys.roster(pool))
    return set(decode_roster(entry.value))


def slow_answers(workers, worker_id, seconds):
    """Delay a worker's answers to holds."""
    hold = workers.hold

    async def hold_slowly(worker: ListedWorker, *args):
        reply = await hold(worker, *args)
        if worker.worker_id == worker_id:
            await anyio.sleep(seconds)
        return reply

    workers.hold = hold_slowly


@pytest.mark.parametrize("late_seconds", [0.0, 0.7, 2.0, 3.0, 5.0])
def test_late_roster_write_does_not_hide_live_runs_from_the_next_owner(late_seconds):
    async def scenario(deployment):
        fleet = deployment.fleet
        owner = fleet.owner_of("desk")
        context = fleet.daemons[owner].node.context
        key = context.keys.roster("desk")
        context.store = LateRosterWrites(context.store, fleet.tasks, key, late_seconds)
        fleet.vms.add("desk-7", "desk", "r0")
        await anyio.sleep(0.3)
        fleet.vms.add("desk-8", "desk", "r0")
        await anyio.sleep(1.2)
        step = Step(9, TASK, RUN_SECONDS)
        await deployment.submit("desk", JobSpec(str(RUN_SECONDS), (step,)), at=owner)
        await anyio.sleep(max(1.0, late_seconds - 1.0))
        names = await stored_names(deployment, "desk")
        used = {run.worker_id for run in fleet.runs}
        assert_that(used, HasLength(3))
        fleet.vms.add("desk-9", "desk", "r0")
        slow_answers(fleet.workers, "desk-8-1", 0.3)
        fleet.kill(owner)
        await anyio.sleep(RUN_SECONDS)
        return used - names, deployment.overlapping_tasks()

    assert_that(run_scenario(scenario, vms=1, moves=False), Equals((set(), [])))
