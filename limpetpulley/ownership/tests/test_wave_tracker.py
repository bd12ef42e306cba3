"""Progress of maintenance waves while the store does not answer."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...exception import StoreUnavailable
from ...fleet.vms import WaveOrder
from .test_daemons import run_scenario


@pytest.mark.parametrize("lost", [1, 2])
def test_wave_is_stored_as_completed_although_the_store_did_not_answer(lost):
    async def scenario(deployment):
        fleet = deployment.fleet
        node = next(d.node for d in fleet.daemons.values() if d.node.planner is not None)
        tracker = node.planner.wave_tracker
        store_wave, failures = tracker._store_wave, []

        async def fail_when_completed(wave):
            if wave.completed and len(failures) < lost:
                failures.append(wave.order.name)
                raise StoreUnavailable("no answer")
            await store_wave(wave)

        tracker._store_wave = fail_when_completed
        fleet.order_wave(WaveOrder("7", ("desk-0",), 20.0, 1))
        await anyio.sleep(15.0)
        entry = await fleet.store.get(node.context.keys.wave("7"))
        return len(failures), b'"completed": true' in entry.value

    assert_that(run_scenario(scenario), Equals((lost, True)))
