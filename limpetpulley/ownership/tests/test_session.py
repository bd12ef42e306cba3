"""A daemon's lease survives hanging store calls, and is abandoned once it has expired."""

import contextlib
import math

import anyio
import pytest

from ...batch.keys import BatchKeys
from ...exception import StoreError, StoreRefused, StoreUnavailable
from ...standin.virtual import VirtualClock, run_virtual
from ...store import MemoryStore, Put
from ...telemetry import null_log
from ..directory import Member, decode_member
from ..session import (
    LEASE_SECONDS,
    MAX_CLAIMS_PER_TRANSACTION,
    MAX_REFUSED_DELAY_SECONDS,
    RENEW_INTERVAL_SECONDS,
    Session,
)

RUN_SECONDS = 10.0


class SlowStore(MemoryStore):
    """A store that answers renewals after a delay, or never; a delayed one takes effect halfway."""

    def __init__(self, clock, delays):
        super().__init__(clock)
        self.delays = delays
        self.renewals = 0

    async def renew_lease(self, lease):
        delay = self.delays(self.renewals)
        self.renewals += 1
        if delay == math.inf:
            # The connection is half-open: the request does not arrive.
            await anyio.sleep(RUN_SECONDS)
            raise StoreUnavailable("no answer")
        await anyio.sleep(delay / 2)
        renewed = await super().renew_lease(lease)
        await anyio.sleep(delay / 2)
        return renewed


def run_session(delays, stop_at=math.inf):
    """Return how often the lease was lost, and the longest time without a confirmed renewal."""

    async def run():
        clock = VirtualClock()
        store = SlowStore(clock, delays)
        losses = []
        member = Member("entry-1", 1, "192.0.2.1:7000")
        session = Session(
            store,
            BatchKeys("lp/"),
            member,
            clock,
            null_log("entry-1"),
            lambda: losses.append(clock.now()),
        )
        max_age = 0.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            started_at = clock.now()
            while clock.now() < started_at + RUN_SECONDS:
                await anyio.sleep(0.01)
                max_age = max(max_age, session.age())
            tasks.cancel_scope.cancel()
        return len(losses), max_age

    return run_virtual(run)


@pytest.mark.parametrize(
    ("delays", "losses"),
    [
        (lambda number: 0.002, 0),
        (lambda number: 0.3, 0),
        (lambda number: 0.8, 0),
        (lambda number: math.inf if number == 5 else 0.002, 0),
        (lambda number: math.inf if number % 4 == 3 else 0.002, 0),
        (lambda number: math.inf if number % 2 else 0.1, 0),
        (lambda number: (0.002, 0.4, 1.15)[min(number, 2)], 0),
    ],
    ids=[
        "fast",
        "slow",
        "very slow",
        "one lost",
        "one of four lost",
        "every other lost",
        "ever slower up to the timeout",
    ],
)
def test_the_lease_survives_hanging_renewals(delays, losses):
    lost_count, max_age = run_session(delays)
    assert lost_count == losses
    assert max_age < LEASE_SECONDS + longest_delay(delays)


def longest_delay(delays):
    return max(delay for delay in map(delays, range(20)) if delay < math.inf)


def test_an_expired_lease_is_abandoned_and_replaced():
    lost_count, _ = run_session(lambda number: math.inf if 3 <= number < 6 else 0.002)
    assert lost_count == 1


def test_the_age_of_a_lease_counts_from_its_request():
    """The answer may be late, and a permission based on the lease must not outlast it."""

    async def run():
        clock = VirtualClock()
        store = MemoryStore(clock)
        grant = store.grant_lease

        async def grant_slowly(seconds):
            lease = await grant(seconds)
            await anyio.sleep(1.0)
            return lease

        store.grant_lease = grant_slowly
        member = Member("entry-1", 1, "192.0.2.1:7000")
        session = Session(store, BatchKeys("lp/"), member, clock, null_log("entry-1"), lambda: None)
        await session._open()
        return session.age()

    assert run_virtual(run) >= 1.0


@pytest.mark.parametrize("pools", [2, MAX_CLAIMS_PER_TRANSACTION + 1])
@pytest.mark.parametrize("replaced", [False, True], ids=["all held", "one replaced"])
def test_a_leaving_daemon_releases_its_claims_and_no_others(pools, replaced):
    names = [f"pool-{number}" for number in range(pools)]

    async def run():
        clock = VirtualClock()
        store, keys = MemoryStore(clock), BatchKeys("lp/")
        member = Member("entry-1", 1, "192.0.2.1:7000")
        session = Session(store, keys, member, clock, null_log("entry-1"), lambda: None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await anyio.sleep(0.1)
            claims = {name: await session.claim(name, 0) for name in names}
            if replaced:
                await store.commit([], [Put(keys.owner(names[0]), b"another's")])
            await session.stop_claiming(claims)
            await session.end()
            tasks.cancel_scope.cancel()
        return [entry.key for entry in (await store.read(keys.owners)).entries]

    expected = [BatchKeys("lp/").owner(names[0])] if replaced else []
    assert run_virtual(run) == expected


def test_refused_renewals_are_repeated_ever_more_rarely():
    """The store may refuse them because of the rate of calls."""

    async def run():
        clock = VirtualClock()
        store = SlowStore(clock, lambda number: 0.002)
        renew, refused_at = store.renew_lease, []

        async def refuse(lease):
            refused_at.append(clock.now())
            raise StoreRefused("the store returned status 429")

        member = Member("entry-1", 1, "192.0.2.1:7000")
        session = Session(store, BatchKeys("lp/"), member, clock, null_log("entry-1"), lambda: None)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await anyio.sleep(1.0)
            store.renew_lease = refuse
            await anyio.sleep(5.0)
            store.renew_lease = renew
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        return len(refused_at), session.age()

    refused_count, age = run_virtual(run)
    assert refused_count <= 5.0 / MAX_REFUSED_DELAY_SECONDS + 3
    assert age <= RENEW_INTERVAL_SECONDS + 0.1


class HangingClaims(MemoryStore):
    """A store that applies claims at once and answers them after a delay, in seconds."""

    claim_seconds = 0.0

    async def commit(self, compares, writes):
        result = await super().commit(compares, writes)
        if any(write.key.startswith(BatchKeys("lp/").owners) for write in writes):
            await anyio.sleep(self.claim_seconds)
        return result


@pytest.mark.parametrize(("lease_ends", "claimed"), [(False, True), (True, False)])
def test_a_claim_that_was_made_under_a_lease_that_has_ended_is_none(lease_ends, claimed):
    """Renewals of the next lease do not tell that the claim is valid."""

    async def run():
        clock = VirtualClock()
        store = HangingClaims(clock)
        member = Member("entry-1", 1, "192.0.2.1:7000")
        session = Session(store, BatchKeys("lp/"), member, clock, null_log("entry-1"), lambda: None)
        tokens = []

        async def claim():
            tokens.append(await session.claim("desk", 0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await anyio.sleep(0.5)
            store.claim_seconds = 2.0
            tasks.start_soon(claim)
            await anyio.sleep(0.1)
            if lease_ends:
                await store.revoke_lease(session.lease)
            await anyio.sleep(3.0)
            tasks.cancel_scope.cancel()
        return bool(tokens[0]), session.lease > 0

    assert run_virtual(run) == (claimed, True)


@pytest.mark.parametrize(("requests", "fewest", "most"), [(0, 3, 4), (1, 4, 5), (50, 18, 21)])
def test_a_requested_renewal_comes_soon_and_requests_do_not_add_up(requests, fewest, most):
    async def run():
        clock = VirtualClock()
        store = SlowStore(clock, lambda number: 0.002)
        renewed = []
        session = Session(
            store,
            BatchKeys("lp/"),
            Member("entry-1", 1, "192.0.2.1:7000"),
            clock,
            null_log("entry-1"),
            lambda: None,
            on_renewed=lambda: renewed.append(clock.now()),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await anyio.sleep(0.1)
            for _ in range(requests):
                session.request_renewal()
                await anyio.sleep(0.02)
            await anyio.sleep(1.0 - 0.02 * requests)
            tasks.cancel_scope.cancel()
        return len(renewed)

    assert fewest <= run_virtual(run) <= most


class LateFirstRecord(MemoryStore):
    """A store that does not answer the first write of a record, and carries it out late.

    :param tasks: task group in which it is carried out
    """

    def __init__(self, clock, tasks, key, late_seconds):
        super().__init__(clock)
        self.tasks, self.key, self.late_seconds = tasks, key, late_seconds
        self.is_late_due = True

    async def commit(self, compares, writes):
        if self.is_late_due and any(write.key == self.key for write in writes):
            self.is_late_due = False
            self.tasks.start_soon(self._commit_late, compares, writes)
            raise StoreUnavailable("no answer")
        return await super().commit(compares, writes)

    async def _commit_late(self, compares, writes):
        await anyio.sleep(self.late_seconds)
        with contextlib.suppress(StoreError):
            await super().commit(compares, writes)


# Guards against a record that goes with an earlier lease, which nobody renews.
@pytest.mark.parametrize("late_seconds", [0.02, 0.06, 0.5, 1.15, 1.38, 2.0])
def test_record_is_not_replaced_by_an_earlier_write_that_is_carried_out_late(late_seconds):
    async def run():
        clock, keys = VirtualClock(), BatchKeys("lp/")
        member = Member("entry-1", 1, "192.0.2.1:7000")
        leases = set()
        async with anyio.create_task_group() as tasks:
            store = LateFirstRecord(clock, tasks, keys.member(member.name), late_seconds)
            session = Session(store, keys, member, clock, null_log("entry-1"), lambda: None)
            tasks.start_soon(session.run)
            await anyio.sleep(0.2)
            for _ in range(40):
                await anyio.sleep(0.1)
                store.expire_leases()
                leases.add(store.lease_by_key.get(keys.member(member.name)))
            tasks.cancel_scope.cancel()
        return leases == {session.lease}

    assert run_virtual(run)


# Guards against a mark that a daemon leaves, which replaces the record of its next start.
def test_mark_of_a_leaving_daemon_that_is_late_does_not_replace_its_next_record():
    async def run():
        clock, keys = VirtualClock(), BatchKeys("lp/")
        store, late = MemoryStore(clock), []
        commit = store.commit

        async def lose(compares, writes):
            late.append((compares, writes))
            raise StoreUnavailable("no answer")

        async with anyio.create_task_group() as tasks:
            first, second = (
                Session(
                    store,
                    keys,
                    Member("entry-1", incarnation, "192.0.2.1:7000"),
                    clock,
                    null_log("entry-1"),
                    lambda: None,
                )
                for incarnation in (1, 2)
            )
            tasks.start_soon(first.run)
            await anyio.sleep(0.1)
            first.closed, store.commit = True, lose
            with pytest.raises(StoreUnavailable):
                await first.stop_claiming({})
            store.commit = commit
            tasks.start_soon(second.run)
            await anyio.sleep(0.3)
            for compares, writes in late:
                await store.commit(compares, writes)
            entry = await store.get(keys.member("entry-1"))
            tasks.cancel_scope.cancel()
        return decode_member(entry.value)

    assert run_virtual(run) == Member("entry-1", 2, "192.0.2.1:7000")
