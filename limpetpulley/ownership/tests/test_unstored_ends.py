"""Ends of runs that are not stored yet, when their worker or their owner goes away."""

from collections import Counter

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, Step
from ...exception import NotOwnerError, StoreUnavailable
from ...fleet.vms import WaveOrder
from .. import node as node_module
from .test_daemons import TASK, run_scenario

RUN_SECONDS = 0.5
#: time after which the runs have ended, a wave has emptied and maintained its VMs, in seconds
WAVE_SECONDS = 2.0


def find_owner(deployment, name, pool):
    return deployment.fleet.daemons[name].node.owned.get(pool)


def lose_writes_of_progress(deployment, pool):
    """Let the store answer no write of progress of the pool's owner; return the owner's daemon."""
    name = deployment.fleet.owner_of(pool)
    writer = find_owner(deployment, name, pool).writer

    async def fail(jobs):
        await anyio.sleep(0.3)
        raise StoreUnavailable("no answer")

    writer._store_progress = fail
    return name


@pytest.mark.parametrize("leaves", [False, True])
def test_task_is_not_started_again_after_a_wave_beside_lost_writes_of_its_end(leaves):
    async def scenario(deployment):
        fleet = deployment.fleet
        spec = JobSpec(str(RUN_SECONDS), (Step(6, TASK, RUN_SECONDS),))
        await deployment.submit("desk", spec)
        await anyio.sleep(RUN_SECONDS / 2)
        owner = lose_writes_of_progress(deployment, "desk")
        fleet.order_wave(WaveOrder("7", ("desk-0", "desk-1", "desk-2", "desk-3"), 40.0, 4))
        await anyio.sleep(WAVE_SECONDS)
        if leaves:
            await fleet.leave(owner)
        else:
            fleet.kill(owner)
        await anyio.sleep(6.0)
        starts = Counter(run.order.task for run in fleet.runs)
        return sorted(starts.values()), fleet.vms.interrupted_runs, await deployment.states()

    starts, interrupted, states = run_scenario(scenario)
    assert_that(interrupted, Equals(0))
    assert_that([str(state) for state in states.values()], Equals(["completed"]))
    assert_that(starts, Equals([1] * 6))


def test_pool_is_not_handed_over_before_its_progress_is_stored(monkeypatch):
    async def scenario(deployment):
        spec = JobSpec(str(RUN_SECONDS), (Step(2, TASK, RUN_SECONDS),))
        await deployment.submit("desk", spec)
        await anyio.sleep(RUN_SECONDS / 2)
        name = lose_writes_of_progress(deployment, "desk")
        owner = find_owner(deployment, name, "desk")

        def choose(directory, local, jobs):
            return "desk" if local.name == name and "desk" in jobs else None

        monkeypatch.setattr(node_module, "choose_release", choose)
        await anyio.sleep(5.0)
        kept = find_owner(deployment, name, "desk") is owner and owner.is_serving
        unstored = len(owner.pool_state.unstored_jobs())
        del owner.writer._store_progress
        await anyio.sleep(3.0)
        handed_over = owner.stopped.is_set() and not owner.pool_state.unstored_jobs()
        return kept, unstored, handed_over, await deployment.states()

    kept, unstored, handed_over, states = run_scenario(scenario)
    assert_that((kept, unstored, handed_over), Equals((True, 1, True)))
    assert_that([str(state) for state in states.values()], Equals(["completed"]))


async def fail_flush():
    raise NotOwnerError("claim of pool desk is no longer valid")


@pytest.mark.parametrize("flush", [fail_flush, anyio.sleep_forever])
def test_handover_ends_although_the_claim_is_lost_or_ends_come_faster_than_writes(
    monkeypatch, flush
):
    async def scenario(deployment):
        name = deployment.fleet.owner_of("desk")
        node, owner = deployment.fleet.daemons[name].node, find_owner(deployment, name, "desk")
        monkeypatch.setattr(node_module, "choose_release", lambda directory, local, jobs: "desk")
        owner.writer.flush = flush
        node.imbalanced_since = 0.0
        await node._rebalance()
        return owner.scope.cancel_called

    assert_that(run_scenario(scenario), Equals(True))
