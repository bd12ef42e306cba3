"""Parts of a team's limit that a pool holds which was removed from the configuration."""

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, JobSpec, Step
from ...batch.records import decode_shares
from ...exception import StoreFault
from ...quota.share_records import ShareRecord
from ...store import Compare
from .. import Outcome
from ..abandoned_shares import AbandonedShares
from ..worker_client import EARLIER_CALLS_SECONDS
from .test_daemons import TASK, make_config, run_scenario
from .test_team_limit_turns import TURN_SECONDS, started

#: longest time for which a run may last without an owner, with the interval of the checks
UNOWNED_SECONDS = EARLIER_CALLS_SECONDS + 10.0 / 0.98 + 2.0
LARGE = JobSpec("lasts", (Step(1, Amount(3700, 1000), lasting=True),))


def set_pools(deployment, removed=None):
    """Apply the configuration of a deployment without a pool and its queue, or with all of them."""
    fleet, full = deployment.fleet, make_config(Amount(4000, 0, 0))
    config = attrs.evolve(
        full,
        version=fleet.config.version + 1,
        pools={name: pool for name, pool in full.pools.items() if name != removed},
        queues={name: queue for name, queue in full.queues.items() if name != removed},
    )
    fleet.config = config
    for daemon in fleet.daemons.values():
        daemon.node.apply_config(config)


async def end_owner(deployment, how):
    owner = deployment.fleet.owner_of("tour")
    if how == "kill":
        deployment.fleet.kill(owner)
    else:
        await deployment.fleet.leave(owner)


def play(scenario):
    return run_scenario(scenario, make_config(Amount(4000, 0, 0)), moves=False)


# Guards against LOST: a part of a limit that a pool without an owner holds for good.
@pytest.mark.parametrize("how", ["kill", "leave"])
@pytest.mark.parametrize("wait_seconds", [0.0, UNOWNED_SECONDS], ids=["before", "after"])
def test_task_starts_in_the_part_of_its_limit_that_a_removed_pool_held(how, wait_seconds):
    async def scenario(deployment):
        await deployment.submit("tour", JobSpec("1.0", (Step(3, TASK, 1.0),)))
        await anyio.sleep(0.6)
        set_pools(deployment, removed="tour")
        await end_owner(deployment, how)
        if not wait_seconds:
            job_id, result = await deployment.submit("desk", LARGE)
            await anyio.sleep(UNOWNED_SECONDS + TURN_SECONDS)
            return result.outcome, started(deployment, job_id)
        # With a share of its own, the pool's owner reads the records.
        await deployment.submit(
            "desk", JobSpec("lasts", (Step(1, Amount(100, 100), lasting=True),))
        )
        await anyio.sleep(wait_seconds)
        job_id, result = await deployment.submit("desk", LARGE)
        await anyio.sleep(TURN_SECONDS)
        return result.outcome, started(deployment, job_id)

    assert_that(play(scenario), Equals((Outcome.ACCEPTED, 1)))


# Guards against QUOTA: a part that is returned while tasks of the removed pool run.
def test_removed_pool_keeps_its_part_while_it_has_an_owner_and_some_time_after():
    async def scenario(deployment):
        await deployment.submit("tour", JobSpec("lasts", (Step(1, TASK, lasting=True),)))
        await anyio.sleep(0.6)
        set_pools(deployment, removed="tour")
        job_id, result = await deployment.submit("desk", LARGE)
        await anyio.sleep(UNOWNED_SECONDS + TURN_SECONDS)
        starts = [started(deployment, job_id)]
        await end_owner(deployment, "kill")
        await anyio.sleep(8.0)
        return result.outcome, [*starts, started(deployment, job_id)]

    assert_that(play(scenario), Equals((Outcome.ACCEPTED, [0, 0])))


# Guards against QUOTA: a part that is returned although its pool was claimed after the check.
def test_part_of_a_pool_that_is_claimed_meanwhile_is_not_returned(monkeypatch):
    async def check(shares, records):
        keys = shares.context.keys
        return {"tour": [Compare(keys.owner("tour"), 0)]} if shares.pool == "desk" else {}

    async def scenario(deployment):
        fleet = deployment.fleet
        await deployment.submit("tour", JobSpec("lasts", (Step(1, TASK, lasting=True),)))
        await deployment.submit("desk", JobSpec("lasts", (Step(1, TASK, lasting=True),)))
        await anyio.sleep(0.6)
        node = fleet.daemons[fleet.owner_of("desk")].node
        monkeypatch.setattr(AbandonedShares, "check", check)
        await anyio.sleep(3.0)
        return sorted((await read_shares(node.context)).keys())

    assert_that(play(scenario), Equals(["desk", "tour"]))


# Guards against QUOTA: a part that is returned though its pool had an owner between two checks.
@pytest.mark.parametrize(("has_owner", "abandoned"), [(False, ["tour"]), (True, [])])
def test_time_without_an_owner_begins_anew_after_each_owner(has_owner, abandoned):
    async def scenario(deployment):
        fleet = deployment.fleet
        set_pools(deployment, removed="tour")
        await end_owner(deployment, "kill")
        await anyio.sleep(5.0)
        shares = AbandonedShares(fleet.daemons[fleet.owner_of("desk")].node.context, "desk")
        records = {"agents": ShareRecord(1, {"tour": (1000, 0, 0)})}
        await shares.check(records)
        await anyio.sleep(UNOWNED_SECONDS - 10.0)
        if has_owner:
            set_pools(deployment)
            await anyio.sleep(3.0)
            set_pools(deployment, removed="tour")
            await end_owner(deployment, "leave")
        await anyio.sleep(12.0)
        shares.context = fleet.daemons[fleet.owner_of("desk")].node.context
        return list(await shares.check(records))

    assert_that(play(scenario), Equals(abandoned))


async def read_shares(context):
    return decode_shares((await context.store.get(context.keys.share("agents"))).value)


class UnreadableClaim:
    """A store that fails whenever the claim of a pool is read."""

    def __init__(self, store, key):
        self.store, self.key = store, key

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def get(self, key):
        if key == self.key:
            raise StoreFault("cannot be read")
        return await self.store.get(key)


# Guards against shares that are not adjusted because the claim of a removed pool cannot be read.
def test_pool_gets_its_share_although_the_claim_of_a_removed_pool_cannot_be_read():
    async def scenario(deployment):
        fleet = deployment.fleet
        await deployment.submit("tour", JobSpec("1.0", (Step(1, TASK, 1.0),)))
        await anyio.sleep(0.6)
        set_pools(deployment, removed="tour")
        await end_owner(deployment, "kill")
        context = fleet.daemons[fleet.owner_of("desk")].node.context
        context.store = UnreadableClaim(context.store, context.keys.owner("tour"))
        job_id, _ = await deployment.submit(
            "desk", JobSpec("lasts", (Step(2, TASK, lasting=True),))
        )
        await anyio.sleep(UNOWNED_SECONDS)
        return started(deployment, job_id), "tour" in await read_shares(context)

    assert_that(play(scenario), Equals((2, True)))
