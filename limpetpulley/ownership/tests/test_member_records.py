"""A daemon's record in the store stands for as long as its claims do."""

import anyio
import pytest

from ...store import Delete, Put
from .. import Outcome
from ..directory import Member, encode_member
from .test_daemons import lasting_spec, run_scenario

#: time until the record has to stand again, in seconds
RESTORE_SECONDS = 0.6
#: duration of the lease of an earlier attempt, in seconds
EARLIER_LEASE_SECONDS = 0.4


async def replace_record(deployment, name, kind):
    """Let a daemon's record be replaced as late writes of it or of its earlier life do."""
    fleet = deployment.fleet
    node = fleet.daemons[name].node
    key, member = node.context.keys.member(name), node.member
    if kind == "deleted":
        await fleet.store.commit([], [Delete(key)])
        return
    lease = await fleet.store.grant_lease(EARLIER_LEASE_SECONDS)
    incarnation = member.incarnation - (kind == "earlier-life")
    record = Member(name, incarnation, member.address, leaving=kind == "earlier-life")
    await fleet.store.commit([], [Put(key, encode_member(record), lease)])


# Guards against a pool without an owner for good: the claim stands, but not its daemon's record.
@pytest.mark.parametrize("kind", ["earlier-lease", "earlier-life", "deleted"])
def test_pool_keeps_its_owner_if_the_daemon_s_record_is_replaced(kind):
    async def scenario(deployment):
        fleet = deployment.fleet
        name = fleet.owner_of("desk")
        node = fleet.daemons[name].node
        token = node.owned["desk"].token
        await replace_record(deployment, name, kind)
        await anyio.sleep(RESTORE_SECONDS)
        found = {
            (each.node.directory.owner_of("desk"), each.node.is_ready)
            for each in fleet.daemons.values()
        }
        await anyio.sleep(3.0)
        _, result = await deployment.submit("desk", lasting_spec())
        return found == {(node.member, True)}, node.owned["desk"].token == token, result.outcome

    assert run_scenario(scenario) == (True, True, Outcome.ACCEPTED)


# Guards against two processes of one name that replace each other's record for ever.
def test_record_of_a_later_life_is_left_alone():
    async def scenario(deployment):
        fleet = deployment.fleet
        name = fleet.owner_of("desk")
        node = fleet.daemons[name].node
        key, later = node.context.keys.member(name), Member(name, 1 << 50, f"{name}:1")
        await fleet.store.commit([], [Put(key, encode_member(later))])
        await anyio.sleep(2.0)
        return (await fleet.store.get(key)).value == encode_member(later)

    assert run_scenario(scenario)


# Guards against a record that stands and is written again, which wakes all daemons.
def test_record_that_stands_is_not_written_again():
    async def scenario(deployment):
        fleet = deployment.fleet
        keys = [each.node.context.keys.member(name) for name, each in fleet.daemons.items()]
        before = [(await fleet.store.get(key)).revision for key in keys]
        await anyio.sleep(10.0)
        return before == [(await fleet.store.get(key)).revision for key in keys]

    assert run_scenario(scenario)
