"""Orders for VMs: many at once, repeated until they are answered, never without permission."""

import os

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch.keys import BatchKeys
from ...exception import PlatformError
from ...fleet.maintenance import WaveProgress
from ...fleet.peak_forecast import PeakForecaster
from ...fleet.vms import FleetVm, Holder, OrderOutcome, Phase, WaveOrder
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Compare, MemoryStore, Put
from ...telemetry import EventLog
from .. import Around, Timing
from ..intents import IntentLog
from ..vmorders import OrderDesk, Urgency, VmOrder

DONE, BUSY, TOO_MANY = OrderOutcome.DONE, OrderOutcome.BUSY, OrderOutcome.TOO_MANY
LOST = PlatformError("no answer")


class Platform:
    """Answers orders as planned, after some time, and keeps what was ordered."""

    def __init__(self, answers, seconds=0.05):
        self.answers = list(answers)
        self.seconds = seconds
        self.orders = []

    async def move(self, vm, pool, holder):
        return await self._answer(vm, pool, holder.token)

    async def maintain(self, vm, wave, holder):
        return await self._answer(vm, wave, holder.token)

    async def _answer(self, *order):
        self.orders.append(order)
        answer = self.answers.pop(0) if self.answers else DONE
        await anyio.sleep(self.seconds)
        if isinstance(answer, Exception):
            raise answer
        return answer


def vm(number):
    return FleetVm(f"m-{number}", "desk", Phase.UP, f"w-{number}")


def play(platform, story, holds=lambda: True, may_go=lambda vm: True, waves=None):
    async def run():
        clock = VirtualClock()
        log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY))
        around = Around(
            MemoryStore(clock), BatchKeys("lp/"), None, clock, log, Timing(), None, clock.now
        )
        claim = await around.store.commit([], [Put(around.keys.owner("@planner"), b"")])
        intents = IntentLog(
            around, Compare(around.keys.owner("@planner"), claim.revision), PeakForecaster()
        )
        holder = Holder("entry-1", 7, holds)
        desk = OrderDesk(around, platform, holder, waves or {}, intents, may_go)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(intents.run)
            result = await story(desk, tasks, clock)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


def move(number, urgency=Urgency.LACKING):
    return VmOrder(vm(number), urgency, target="tour")


async def give(desk, tasks, clock, orders, seconds=2.0):
    desk.give(orders, tasks, clock.now())
    await anyio.sleep(seconds)


def test_orders_go_out_together():
    async def story(desk, tasks, clock):
        await give(desk, tasks, clock, [move(number) for number in range(20)], 0.01)
        return len(platform.orders), len(desk.giving)

    platform = Platform([])
    assert_that(play(platform, story), Equals((20, 20)))


@pytest.mark.parametrize(
    ("answers", "sent", "moving"),
    [
        ([DONE], 1, True),
        ([LOST, DONE], 2, True),
        ([LOST, LOST, DONE], 3, True),
        ([BUSY], 1, False),
        ([LOST, BUSY], 2, False),
        ([TOO_MANY], 1, False),
    ],
)
def test_an_order_is_given_again_with_the_same_token_until_it_is_answered(answers, sent, moving):
    async def story(desk, tasks, clock):
        away = []
        desk.give([move(1)], tasks, clock.now())
        for _ in range(len(answers)):
            await anyio.sleep(0.02)
            away.append(desk.has("m-1"))
            await anyio.sleep(0.33)
        return away, desk.has("m-1")

    platform = Platform(answers)
    away, after = play(platform, story)
    assert all(away)
    assert_that(after, Equals(moving))
    assert_that(platform.orders, Equals([("m-1", "tour", 7)] * sent))


@pytest.mark.parametrize("which", ["permission", "empty"])
def test_nothing_is_sent_again_once_the_reason_for_it_is_gone(which):
    answers = {"permission": True, "empty": True}

    async def story(desk, tasks, clock):
        desk.give([move(1)], tasks, clock.now())
        await anyio.sleep(0.1)
        answers[which] = False
        await anyio.sleep(1.0)
        return desk.has("m-1")

    platform = Platform([LOST, DONE])
    away = play(platform, story, lambda: answers["permission"], lambda vm: answers["empty"])
    assert_that((len(platform.orders), away), Equals((1, False)))


def test_the_most_urgent_go_first_when_the_rate_is_short():
    orders = [move(number, Urgency.NEEDLESS) for number in range(100)] + [move(200)]

    async def story(desk, tasks, clock):
        await give(desk, tasks, clock, orders, 0.01)
        return platform.orders[0][0], len(platform.orders)

    platform = Platform([])
    first, count = play(platform, story)
    assert_that(first, Equals("m-200"))
    assert count < 40


def test_a_wave_keeps_its_bound_though_orders_go_out_together():
    names = tuple(f"m-{number}" for number in range(10))
    waves = {"1": WaveProgress(WaveOrder("1", names, 30.0, 3), 0.0)}
    orders = [VmOrder(vm(number), Urgency.UPKEEP, wave="1") for number in range(10)]

    async def story(desk, tasks, clock):
        desk.settle({name: vm(number) for number, name in enumerate(names)}, clock.now())
        await give(desk, tasks, clock, orders, 0.5)
        return len(platform.orders), sorted(waves["1"].done), desk.unstored

    platform = Platform([])
    assert_that(play(platform, story, waves=waves), Equals((3, ["m-0", "m-1", "m-2"], {"1"})))
