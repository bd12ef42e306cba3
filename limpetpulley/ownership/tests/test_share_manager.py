"""Shares of the teams' limits while the store does not answer."""

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, TeamConfig
from ...batch.keys import BatchKeys
from ...batch.records import decode_shares, encode_shares
from ...exception import StoreUnavailable
from ...pool import PoolState
from ...quota.shares import TeamShares
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Compare, Put
from ...telemetry import null_log
from .. import DaemonContext, Timing
from ..share_manager import ShareManager
from ..writer import OwnerWriter
from .test_daemons import make_config
from .test_writer import DelayedCommitStore

LIMIT = Amount(10000, 0, 0)
SHARE = (8000, 0, 0)


@pytest.mark.parametrize("late_seconds", [0.1, 3.0])
def test_returned_share_is_not_used_while_the_answer_of_the_store_is_missing(late_seconds):
    """The pool that takes the share and this one would exceed the team's limit together."""

    async def run():
        async with anyio.create_task_group() as tasks:
            clock = VirtualClock()
            store = DelayedCommitStore(clock, tasks)
            keys = BatchKeys("lp/")
            key = keys.share("agents")
            claim = await store.commit([], [Put(keys.owner("desk"), b"{}")])
            await store.commit([], [Put(key, encode_shares({"desk": SHARE}))])
            context = DaemonContext(
                store, keys, None, clock, null_log("entry-1"), Timing(), tasks, clock.now
            )
            context.config = make_config(LIMIT)
            pool_state, shares = PoolState("desk", 1, 0.2, 10.0, 4.0), TeamShares("desk")
            writer = OwnerWriter(
                context, pool_state, Compare(keys.owner("desk"), claim.revision), lambda: None
            )
            manager = ShareManager(context, pool_state, shares, writer)
            await manager.load()
            store.commit_delays = [late_seconds]
            with pytest.raises(StoreUnavailable):
                await manager._adjust()
            await anyio.sleep(late_seconds)
            entry = await store.get(key)
            stored = decode_shares(entry.value).get("desk", (0, 0, 0))
            allowed = shares.allows("agents", Amount(), Amount(4000, 0, 0))
            tasks.cancel_scope.cancel()
        return stored, allowed

    assert_that(run_virtual(run), Equals(((0, 0, 0), False)))


def test_division_of_a_team_is_not_taken_for_the_queue_of_another():
    """The tasks of a team that is named like another team's queue would never start."""

    async def run():
        async with anyio.create_task_group() as tasks:
            clock, keys = VirtualClock(), BatchKeys("lp/")
            store = DelayedCommitStore(clock, tasks)
            claim = await store.commit([], [Put(keys.owner("desk"), b"{}")])
            await store.commit(
                [], [Put(keys.share_queue("agents"), encode_shares({"desk": SHARE}))]
            )
            context = DaemonContext(
                store, keys, None, clock, null_log("entry-1"), Timing(), tasks, clock.now
            )
            teams = {name: TeamConfig(name, limit=LIMIT) for name in ("agents", "agents/waiting")}
            context.config = attrs.evolve(make_config(), teams=teams)
            pool_state, shares = PoolState("desk", 1, 0.2, 10.0, 4.0), TeamShares("desk")
            writer = OwnerWriter(
                context, pool_state, Compare(keys.owner("desk"), claim.revision), lambda: None
            )
            await ShareManager(context, pool_state, shares, writer).load()
            allowed = [shares.allows(team, Amount(), Amount(4000, 0, 0)) for team in teams]
            tasks.cancel_scope.cancel()
        return allowed

    assert_that(run_virtual(run), Equals([False, True]))
