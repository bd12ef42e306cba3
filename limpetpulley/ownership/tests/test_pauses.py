"""An owner notices that its process was paused."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from .test_daemons import run_scenario


@pytest.mark.parametrize(("seconds", "noticed"), [(0.3, False), (1.2, True), (9.0, True)])
def test_owner_judges_no_lease_right_after_a_pause_of_its_process(seconds, noticed):
    async def scenario(deployment):
        name = deployment.fleet.owner_of("desk")
        owner = deployment.fleet.daemons[name].node.owned["desk"]
        now = owner.context.clock.now()
        owner.planned_at = now - seconds
        await owner._plan()
        return owner.pool_state.resumed_at == now

    assert_that(run_scenario(scenario), Equals(noticed))
