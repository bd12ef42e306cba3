"""A daemon's lease outlives calls to the store that hang, and is given up when it has ended."""

import math

import anyio
import pytest

from ...batch.keys import BatchKeys
from ...exception import StoreUnavailable
from ...standin.virtual import VirtualClock, run_virtual
from ...store import MemoryStore
from ...telemetry import quiet_log
from ..directory import Member
from ..session import LEASE_SECONDS, Session

PLAY_SECONDS = 10.0


class SlowStore(MemoryStore):
    """A store that answers some renewals late, after it has carried them out, or never."""

    def __init__(self, clock, delays):
        super().__init__(clock)
        self.delays = delays
        self.renewals = 0

    async def renew_lease(self, lease):
        delay = self.delays(self.renewals)
        self.renewals += 1
        if delay == math.inf:
            # The connection has gone silent: nothing arrives.
            await anyio.sleep(PLAY_SECONDS)
            raise StoreUnavailable("no answer")
        await anyio.sleep(delay / 2)
        known = await super().renew_lease(lease)
        await anyio.sleep(delay / 2)
        return known


def play(delays, stop_at=math.inf):
    """Return how often the lease was lost, and the longest time without a renewal known."""

    async def start():
        clock = VirtualClock()
        store = SlowStore(clock, delays)
        losses = []
        member = Member("entry-1", 1, "192.0.2.1:7000")
        session = Session(
            store,
            BatchKeys("lp/"),
            member,
            clock,
            quiet_log("entry-1"),
            lambda: losses.append(clock.now()),
        )
        oldest = 0.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            began = clock.now()
            while clock.now() < began + PLAY_SECONDS:
                await anyio.sleep(0.01)
                oldest = max(oldest, session.age())
            tasks.cancel_scope.cancel()
        return len(losses), oldest

    return run_virtual(start)


@pytest.mark.parametrize(
    ("delays", "losses"),
    [
        (lambda number: 0.002, 0),
        (lambda number: 0.3, 0),
        (lambda number: 0.8, 0),
        (lambda number: math.inf if number == 5 else 0.002, 0),
        (lambda number: math.inf if number % 4 == 3 else 0.002, 0),
        (lambda number: math.inf if number % 2 else 0.1, 0),
    ],
    ids=["fast", "slow", "very slow", "silent once", "silent again and again", "every other"],
)
def test_the_lease_outlives_calls_that_hang(delays, losses):
    found, oldest = play(delays)
    assert found == losses
    assert oldest < LEASE_SECONDS + longest_answer(delays)


def longest_answer(delays):
    return max(delay for delay in map(delays, range(20)) if delay < math.inf)


def test_a_lease_that_has_ended_is_given_up_and_begun_anew():
    found, _ = play(lambda number: math.inf if 3 <= number < 6 else 0.002)
    assert found == 1


def test_a_lease_counts_from_when_it_was_asked_for():
    """Its answer may come late; a permission that rests on it must not outlive it."""

    async def start():
        clock = VirtualClock()
        store = MemoryStore(clock)
        granted = store.grant_lease

        async def grant_slowly(seconds):
            lease = await granted(seconds)
            await anyio.sleep(1.0)
            return lease

        store.grant_lease = grant_slowly
        member = Member("entry-1", 1, "192.0.2.1:7000")
        session = Session(
            store, BatchKeys("lp/"), member, clock, quiet_log("entry-1"), lambda: None
        )
        await session._begin()
        return session.age()

    assert run_virtual(start) >= 1.0
