"""Leases that last longer than an owner, or the next one, counts."""

import os
import random

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import JobSpec, Step
from ...batch.keys import BatchKeys
from ...pool import process_start_reply
from ...standin.workers import OrderFaults
from ...store import MemoryStore
from ...telemetry import EventLog
from ...workers.lease import MIN_CLOCK_RATE
from .. import DaemonContext, Timing
from ..owner import EARLIER_CALLS_SECONDS
from ..worker_client import WorkerClient
from .test_daemons import TASK, run_scenario
from .test_inherited_leases import FIRST_LIFE_SECONDS as YOUNG_CLOCK_SECONDS
from .test_inherited_leases import RUN_SECONDS, observe, wait_until
from .test_lease_assumptions import (
    EARLIER_TOKEN,
    FIRST_LIFE_SECONDS,
    LEASE_SECONDS,
    LONGEST_LEASE_SECONDS,
    TOKEN,
    Scene,
)

#: time until the owner of a worker's new pool has called it, in seconds
JOIN_SECONDS = 0.05
#: longest time until the roster names a settled incarnation, and until a pool has its next owner
ROSTER_SECONDS, TAKEOVER_SECONDS = 2.0, 1.5


@attrs.define
class SceneClock:
    """The local clock of the owner in a scene."""

    scene: Scene

    def now(self):
        return self.scene.now


@attrs.define
class SceneOrders:
    """Carries out the starts of an owner's client on a scene's worker."""

    scene: Scene

    async def start(self, listed, order, token, until_seconds):
        return self.scene.truth.start(order, token, until_seconds)


async def hold_no_claim():
    return False


def make_client(scene):
    """Return the client of a scene's worker."""
    clock, orders = SceneClock(scene), SceneOrders(scene)
    log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY))
    context = DaemonContext(
        MemoryStore(clock), BatchKeys("lp/"), orders, clock, log, Timing(), None, clock.now
    )
    return WorkerClient(
        context,
        scene.pool_state,
        scene.worker,
        lambda: None,
        lambda: anyio.Event(),
        lambda: 0.0,
        hold_no_claim,
        lambda worker, reason: None,
    )


def hand_over(scene):
    """Return the scene of the next owner, which has the settled incarnations from the roster."""
    scene.pool_state.expire_leases(scene.now)
    following = Scene()
    following.now, following.truth = scene.now, scene.truth
    following.truth.clock.scene = following
    following.pool_state.settled_incarnations |= scene.pool_state.settled_incarnations
    following.pool_state.earlier_calls_until = following.now + EARLIER_CALLS_SECONDS
    return following


@pytest.mark.parametrize("hands_over", [False, True])
def test_the_lease_of_a_call_by_the_former_pool_of_a_worker_counts(hands_over):
    """Its next incarnation joins this pool, and carries out that call before any of this pool."""
    scene = Scene()
    scene.truth.restart()
    scene.pass_time(1.0)
    scene.truth.hold(EARLIER_TOKEN, 0, FIRST_LIFE_SECONDS)
    scene.enlist()
    scene.hold()
    if hands_over:
        scene = hand_over(scene)
        scene.enlist()
        scene.hold()
    scene.start()
    assert_that(scene.cut_off(), Equals(False))


@pytest.mark.parametrize("answer_seconds", [0.05, 0.5, 0.9])
def test_the_lease_of_a_start_that_an_unseen_incarnation_answers_slowly_counts(answer_seconds):
    """The incarnation before was young, so that the clock in the answer is not behind its own."""
    scene = Scene()
    scene.truth.restart()
    scene.pass_time(0.9)
    scene.enlist()
    scene.hold()
    scene.truth.restart()
    scene.pass_time(0.05)
    [order] = scene.plan()
    known = scene.worker.lease
    until, least = known.extend(scene.now, LEASE_SECONDS), known.min_worker_time(scene.now)
    scene.pass_time(answer_seconds)
    reply = scene.truth.start(order, TOKEN, until)
    run, seconds = scene.pool_state.runs[order.task], reply.worker_seconds
    process_start_reply(scene.pool_state, run, reply.outcome, seconds, scene.now, least)
    assert_that(scene.cut_off(), Equals(False))


def test_a_start_to_a_failing_worker_gives_no_longer_lease_than_the_next_owner_counts():
    """What was assumed at the first list is requested while the incarnation becomes settled."""
    scene = Scene()
    last_lease = EARLIER_CALLS_SECONDS + LONGEST_LEASE_SECONDS / MIN_CLOCK_RATE
    scene.pool_state.earlier_calls_until = scene.now + EARLIER_CALLS_SECONDS
    scene.pass_time(last_lease - 0.2)
    scene.enlist()
    scene.hold()
    client = make_client(scene)
    scene.pass_time(0.3)
    [order] = scene.plan()
    client.failing = True
    anyio.run(client.send, order)
    scene.pass_time(ROSTER_SECONDS)
    scene = hand_over(scene)
    scene.pass_time(TAKEOVER_SECONDS)
    scene.enlist()
    scene.hold()
    assert_that(scene.cut_off(), Equals(False))


@pytest.mark.parametrize(("former", "current"), [("desk", "tour"), ("tour", "desk")])
def test_no_task_runs_twice_on_a_worker_that_has_changed_its_pool(former, current):
    """A hold of the former one reaches the next incarnation, which is cut off after a start."""

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        monitor, hold, sent = observe(fleet), fleet.workers.hold, []
        await anyio.sleep(YOUNG_CLOCK_SECONDS)
        names = {name.rsplit("-", 2)[0]: name for name in fleet.workers.workers}
        fleet.vms.crash(names[current], 10 * YOUNG_CLOCK_SECONDS)
        name = names[former]
        worker = fleet.workers.workers[name]

        async def change_pool_first(listed, token, acknowledged, until, wait):
            if listed.worker_id == name and until is not None and not sent:
                sent.append(token)
                worker.restart()
                worker.listed = attrs.evolve(worker.listed, pool=current)
                reply = await hold(listed, token, acknowledged, until, 0.0)
                fleet.vms.listed_workers[name] = worker.listed
                fleet.vms.vms[worker.listed.vm].pool = current
                fleet.vms.on_workers_changed(fleet.vms.visible_workers())
                return reply
            return await hold(listed, token, acknowledged, until, wait)

        fleet.workers.hold = change_pool_first
        await wait_until(lambda: sent)
        await anyio.sleep(JOIN_SECONDS)
        spec = JobSpec(str(RUN_SECONDS), (Step(1, TASK, RUN_SECONDS),))
        await deployment.submit(current, spec)
        with anyio.fail_after(RUN_SECONDS):
            await wait_until(lambda: worker.runs)
        faults.unreachable.add(name)
        fleet.vms.add(f"{current}-1", current, "r1")
        await anyio.sleep(RUN_SECONDS + YOUNG_CLOCK_SECONDS)
        return [str(finding) for finding in monitor.findings], len(fleet.runs)

    result = run_scenario(scenario, vms=1, moves=False)
    assert_that(result, Equals(([], 2)))
