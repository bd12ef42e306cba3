"""Turns of pools at one team's limit, played without a store: rounds of reads, plans and writes."""

import random
from collections import Counter

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount
from ..share_queue import ShareQueue
from ..share_records import QueueChange, QueuedWork, ShareRecord
from ..shares import TeamShares

TEAM = "agents"
LIMIT = Amount(10_000, 40_000, 0)
LIMIT_CORES = Amount(10_000)
ROUND_SECONDS = 0.2
NEVER = 10**9
#: rounds in which a turn is handed over while nothing runs; well below 3 s
TURN_ROUNDS = 8
#: rounds in which a turn ends whose pool has no owner any more
LOST_TURN_ROUNDS = 14


@attrs.define
class StoredRecord:
    """The two records of the team in the store."""

    record: ShareRecord = ShareRecord()
    revision: int = 0
    writes: int = 0

    def commit(self, change):
        """Apply a change if its record is unchanged; return whether it was."""
        is_queue = isinstance(change, QueueChange)
        expected = self.record.waiting_revision if is_queue else self.record.revision
        if expected != change.revision:
            return False
        self.revision, self.writes = self.revision + 1, self.writes + 1
        if is_queue:
            self.record = attrs.evolve(
                self.record, waiting=change.waiting, waiting_revision=self.revision
            )
        else:
            self.record = attrs.evolve(self.record, pools=change.pools, revision=self.revision)
        for dimension, maximum in enumerate((LIMIT.cpu_millicores, LIMIT.memory_mb)):
            assert sum(row[dimension] for row in self.record.pools.values()) <= maximum
        return True


class PlayedPool:
    """One pool with its tasks, as (amount, rounds) pairs."""

    def __init__(self, name, stored, tasks=(), flow=None):
        self.name, self.stored, self.waiting, self.flow = name, stored, list(tasks), flow
        self.running, self.started = [], 0
        self.replace_owner()

    def replace_owner(self):
        self.shares = TeamShares(self.name)
        self.shares.set_limits({TEAM: LIMIT})
        self.queue = ShareQueue(self.shares)
        self.read()

    def read(self):
        self.shares.records = {TEAM: self.stored.record}

    def usage(self):
        return sum((amount for amount, _ in self.running), Amount())

    def queued(self):
        units = Counter(amount for amount, _ in self.waiting)
        ends_never = [amount for amount, rounds in self.running if rounds >= NEVER]
        lasting = sum(ends_never, Amount())
        return {TEAM: QueuedWork(units, tuple(units), lasting)} if units else {}

    def run(self, number):
        """End and start tasks by what the pool has read last."""
        self.running = [(amount, end) for amount, end in self.running if end > number]
        if self.flow is not None and not self.waiting:
            self.waiting.append(self.flow)
        for task in list(self.waiting):
            amount, rounds = task
            while task in self.waiting and self.shares.allows(TEAM, self.usage(), amount):
                self.waiting.remove(task)
                self.running.append((amount, number + rounds))
                self.started += 1
                if self.flow is not None:
                    self.waiting.append(self.flow)

    def plan_shares(self):
        wanted = sum((amount for amount, _ in self.waiting), self.usage())
        return self.shares.plan({TEAM: self.usage()}, {TEAM: wanted}, queued=self.queued())

    def plan_queue(self, now):
        return self.queue.plan({TEAM: self.usage()}, self.queued(), now)


def play_round(pools, number, source, loss=0.0):
    """Let each pool run its tasks, read and write, in an order in which writes conflict."""
    phases = [pool for pool in pools for _ in range(2)]
    source.shuffle(phases)
    read = set()
    for pool in phases:
        if pool.name not in read:
            read.add(pool.name)
            pool.read()
            continue
        for plan in (pool.plan_shares, lambda pool=pool: pool.plan_queue(number * ROUND_SECONDS)):
            for change in plan():
                if not isinstance(change, QueueChange):
                    pool.shares.mark_pending([change])
                if pool.stored.commit(change) and source.random() >= loss:
                    pool.read()
        pool.run(number)
    used = sum((pool.usage() for pool in pools), Amount())
    assert used.fits(LIMIT), f"the team uses {used}"


def random_tasks(source):
    """Return tasks and gangs of any size that the limit allows."""
    tasks = []
    for _ in range(source.randint(0, 6)):
        cores = source.choice((500, 1000, 2000, 4600, 5400, 6000, 9000, 10_000))
        memory = source.choice((0, 1000, 8000, 25_000, 40_000))
        tasks.append((Amount(cores, memory), source.randint(1, 10)))
    return tasks


@pytest.mark.parametrize("faults", [False, True])
@pytest.mark.parametrize("count", [2, 3, 6])
@pytest.mark.parametrize("seed", range(25))
def test_every_task_that_fits_the_limit_starts_in_bounded_time(seed, count, faults):
    source, stored = random.Random(seed), StoredRecord()
    pools = [PlayedPool(f"pool-{number}", stored, random_tasks(source)) for number in range(count)]
    tasks = [task for pool in pools for task in pool.waiting]
    bound = TURN_ROUNDS + sum(rounds + TURN_ROUNDS for _, rounds in tasks)
    for number in range(bound):
        if faults and source.random() < 0.03:
            source.choice(pools).replace_owner()
        play_round(pools, number, source, loss=0.05 if faults else 0.0)
    waiting = {pool.name: pool.waiting for pool in pools if pool.waiting}
    assert_that(waiting, Equals({}))


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "flows",
    [
        [(Amount(6000), 5), (Amount(6000), 5)],
        [(Amount(1000), 7), (Amount(6000), 5)],
        [(Amount(1000), 7), (Amount(9000), 5), (Amount(5400), 3)],
        [(Amount(500), 1), (Amount(10_000), 2), (Amount(10_000), 2), (Amount(10_000), 2)],
    ],
)
def test_no_pool_starves_beside_pools_with_endless_tasks(flows, seed):
    source, stored = random.Random(seed), StoredRecord()
    pools = [PlayedPool(f"pool-{n}", stored, flow=flow) for n, flow in enumerate(flows)]
    cycle = sum(rounds + TURN_ROUNDS for _, rounds in flows)
    for number in range(10 * cycle):
        play_round(pools, number, source)
    assert min(pool.started for pool in pools) >= 8


@pytest.mark.parametrize("seed", range(5))
def test_pool_without_an_owner_does_not_keep_its_turn(seed):
    source, stored = random.Random(seed), StoredRecord()
    stored.record = ShareRecord(waiting={"lost": (9000, 0, 0)})
    pools = [
        PlayedPool("desk", stored, [(Amount(6000), 3)]),
        PlayedPool("tour", stored, [(Amount(5000), 3)]),
    ]
    for number in range(LOST_TURN_ROUNDS + 3 + TURN_ROUNDS):
        play_round(pools, number, source)
    assert_that([pool.started for pool in pools], Equals([1, 1]))


@pytest.mark.parametrize("needed", [2000, 9500, 10_000])
@pytest.mark.parametrize("seed", range(5))
def test_pool_without_an_owner_does_not_hold_up_the_tasks_of_a_running_pool(seed, needed):
    """Such a pool needs no turn itself, since its own tasks make room."""
    source, stored = random.Random(seed), StoredRecord()
    busy = PlayedPool("desk", stored, flow=(Amount(1000), 3))
    for number in range(TURN_ROUNDS):
        play_round([busy], number, source)
    queue = attrs.evolve(stored.record, waiting={"lost": (needed, 0, 0)}, waiting_revision=10**6)
    stored.record, stored.revision = queue, 10**6
    for number in range(TURN_ROUNDS, 2 * (TURN_ROUNDS + LOST_TURN_ROUNDS)):
        play_round([busy], number, source)
    assert_that(busy.usage(), Equals(LIMIT_CORES))


@pytest.mark.parametrize("seed", range(5))
def test_tasks_that_never_end_elsewhere_hold_up_nothing_that_fits_beside_them(seed):
    source, stored = random.Random(seed), StoredRecord()
    lasting = PlayedPool("desk", stored, [(Amount(4900), NEVER)])
    for number in range(3):
        play_round([lasting], number, source)
    pools = [lasting, PlayedPool("tour", stored, [(Amount(6000), 1)])]
    for number in range(3, 10):
        play_round(pools, number, source)
    small = PlayedPool("film", stored, [(Amount(2000), 5)])
    for number in range(10, 10 + LOST_TURN_ROUNDS):
        play_round([*pools, small], number, source)
    assert_that(small.started, Equals(1))


@pytest.mark.parametrize("seed", range(5))
def test_idle_pools_leave_their_parts_to_a_pool_that_waits(seed):
    source, stored = random.Random(seed), StoredRecord()
    idle = [f"idle-{number}" for number in range(4)]
    stored.record = ShareRecord(pools=dict.fromkeys(idle, (1400, 0, 0)))
    pools = [PlayedPool(name, stored) for name in idle]
    pools.append(PlayedPool("tour", stored, [(Amount(6000), 1)]))
    for number in range(TURN_ROUNDS):
        play_round(pools, number, source)
    assert_that(pools[-1].started, Equals(1))


def test_part_into_which_no_waiting_task_fits_is_returned():
    shares = TeamShares("desk")
    shares.set_limits({TEAM: LIMIT})
    shares.records[TEAM] = ShareRecord(7, {"desk": (5400, 0, 0), "lab": (4600, 0, 0)})
    queued = {TEAM: QueuedWork({Amount(6000): 1}, (Amount(6000),))}
    (change,) = shares.plan({}, {TEAM: Amount(6000)}, queued=queued)
    assert_that(change.pools, Equals({"lab": (4600, 0, 0)}))


def test_division_is_not_written_anew_while_equal_tasks_follow_each_other():
    source, stored = random.Random(1), StoredRecord()
    pools = [PlayedPool(name, stored, flow=(Amount(1000), 2)) for name in ("desk", "tour")]
    for number in range(20):
        play_round(pools, number, source)
    before = stored.writes
    for number in range(20, 120):
        play_round(pools, number, source)
    assert_that(stored.writes, Equals(before))
