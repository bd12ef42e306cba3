"""Daemons that own pools together, on virtual time: a calm day, a lost owner, a wave, an outage."""

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from ...batch import Amount, BatchConfig, JobSpec, JobState, PoolRule, QueueRule, Step, TeamRule
from ...exception import StoreRefused, StoreUnavailable
from ...fleet.vms import WaveOrder
from ...standin.batchfleet import BatchFleet
from ...standin.store import STORE_HOST
from ...standin.virtual import VirtualClock, run_virtual
from .. import Outcome, PoolOwner, Submission

POOLS = ("desk", "tour")
TASK = Amount(1000, 1000)
NO_LIMIT = Amount()
DAEMON_NAMES = ("entry-1", "entry-2", "entry-3")


def make_config(limit=NO_LIMIT):
    queues = {
        pool: QueueRule(
            pool,
            "host",
            f"/{pool}/",
            pool,
            max_attempts=2,
            stretch=2.0,
            latency_target_seconds=1.0,
            timeout_seconds=3.0,
        )
        for pool in POOLS
    }
    pools = {pool: PoolRule(pool) for pool in POOLS} | {"off": PoolRule("off", standby=True)}
    return BatchConfig(1, queues, pools, {"agents": TeamRule("agents", limit=limit)})


class Day:
    """A fleet of three daemons and callers that hand in jobs."""

    def __init__(self, tasks, config, seed=1):
        self.clock = VirtualClock()
        self.fleet = BatchFleet(tasks, self.clock, config, Amount(4000, 8000), seed)
        for number in range(4):
            for pool in POOLS:
                self.fleet.vms.add(f"{pool}-{number}", pool, f"r{number % 2}")
        self.fleet.vms.add("off-0", "off", "r0")
        self.accepted = {}
        self.refused = []
        self.count = 0

    async def begin(self):
        for name in DAEMON_NAMES:
            self.fleet.start_daemon(name)
        while not all(daemon.node.is_ready for daemon in self.fleet.daemons.values()):
            await anyio.sleep(0.1)
        while not all(self.fleet.owner_of(pool) for pool in POOLS):
            await anyio.sleep(0.1)

    async def submit(self, pool, spec, at=None, job_id=None):
        names = list(self.fleet.daemons)
        node = self.fleet.daemons[at or names[self.count % len(names)]].node
        self.count += 1
        job_id = job_id or f"{self.count:016x}"
        queue = self.fleet.config.queues[pool]
        result = await node.service.submit(Submission(queue, job_id, spec, "agents"), 3.0)
        if result.outcome is Outcome.ACCEPTED:
            self.accepted[job_id] = queue
        else:
            self.refused.append(result)
        return job_id, result

    async def state(self, job_id):
        node = next(iter(self.fleet.daemons.values())).node
        return await node.service.find(self.accepted[job_id], job_id, 3.0)

    async def states(self):
        return {job_id: await self.state(job_id) for job_id in self.accepted}

    def overlaps(self):
        """Return the tasks that were started on two workers at a time."""
        found, seen = [], {}
        for run in self.fleet.runs:
            before = seen.get(run.order.task)
            if before is not None and run.order.payload != "lasts":
                seconds = float(run.order.payload)
                if run.at < before.at + seconds and run.worker_id != before.worker_id:
                    found.append(run.order.task)
            seen[run.order.task] = run
        return found


def two_step_spec(seconds=0.3):
    step = Step(2, TASK, seconds)
    return JobSpec(str(seconds), (step, Step(1, TASK, seconds, after=(0,))))


def lasting(count=3, may_miss=1):
    return JobSpec("lasts", (Step(count, TASK, lasting=True, may_miss=may_miss),))


def run_scenario(story, config=None, seed=1):
    async def run():
        async with anyio.create_task_group() as tasks:
            day = Day(tasks, config or make_config(), seed)
            await day.begin()
            result = await story(day)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


async def hand_in(day, count, gap=0.25):
    for number in range(count):
        await day.submit(POOLS[number % 2], two_step_spec())
        await anyio.sleep(gap)


def test_a_calm_day_is_served_in_time():
    async def story(day):
        await hand_in(day, 60)
        await anyio.sleep(2.0)
        return await day.states(), day.refused, day.overlaps()

    states, refused, overlaps = run_scenario(story)
    assert_that(refused, HasLength(0))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))
    assert_that(overlaps, HasLength(0))


@pytest.mark.parametrize("graceful", [True, False])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_lost_owner_loses_no_job(graceful, seed):
    async def story(day):
        job_id, _ = await day.submit("desk", lasting())
        await hand_in(day, 10)
        lost = day.fleet.owner_of("desk")
        if graceful:
            await day.fleet.leave(lost)
        else:
            day.fleet.kill(lost)
        await hand_in(day, 30)
        await anyio.sleep(8.0)
        owner = day.fleet.daemons[day.fleet.owner_of("desk")].node.owned["desk"]
        return await day.states(), job_id, day.overlaps(), len(list(owner.book.runs_of(job_id)))

    states, job_id, overlaps, running = run_scenario(story, seed=seed)
    assert_that(states.pop(job_id), Is(JobState.RUNNING))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))
    assert_that(overlaps, HasLength(0))
    assert_that(running, Equals(3))


def test_an_owner_that_leaves_hands_over_at_once():
    async def story(day):
        left = day.fleet.owner_of("desk")
        begun = day.clock.now()
        await day.fleet.leave(left)
        while day.fleet.owner_of("desk") is None:
            await anyio.sleep(0.005)
        return day.clock.now() - begun

    assert run_scenario(story) < 0.3


def test_all_daemons_lost_at_once_come_back_with_every_job():
    async def story(day):
        await hand_in(day, 8, gap=0.05)
        for name in DAEMON_NAMES:
            day.fleet.kill(name)
        for name in DAEMON_NAMES:
            day.fleet.start_daemon(name)
        while day.fleet.owner_of("desk") is None or day.fleet.owner_of("tour") is None:
            await anyio.sleep(0.1)
        await anyio.sleep(10.0)
        return await day.states(), day.overlaps()

    states, overlaps = run_scenario(story)
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))
    assert_that(overlaps, HasLength(0))


def test_the_same_job_handed_in_twice_is_one():
    async def story(day):
        for name in DAEMON_NAMES:
            await day.submit("desk", two_step_spec(), at=name, job_id="00000000000000ff")
        await anyio.sleep(3.0)
        return day.refused, [run.order.task for run in day.fleet.runs]

    refused, tasks = run_scenario(story)
    assert_that(refused, HasLength(0))
    assert_that(len(tasks), Equals(len(set(tasks))))


def test_a_cancelled_job_stops_and_stays_cancelled():
    async def story(day):
        job_id, _ = await day.submit("desk", lasting())
        await anyio.sleep(1.0)
        node = day.fleet.daemons[DAEMON_NAMES[0]].node
        told = await node.service.cancel(day.accepted[job_id], job_id, 3.0)
        await anyio.sleep(1.0)
        running = [task for worker in day.fleet.workers.workers.values() for task in worker.runs]
        return told, await day.state(job_id), running

    told, state, running = run_scenario(story)
    assert_that((told, state), Equals((JobState.CANCELLED, JobState.CANCELLED)))
    assert_that(running, HasLength(0))


def test_a_cancel_that_is_asked_for_again_is_not_acknowledged_before_it_is_stored():
    async def story(day):
        job_id, _ = await day.submit("desk", lasting())
        await anyio.sleep(1.0)
        owner = day.fleet.daemons[day.fleet.owner_of("desk")].node.owned["desk"]
        key = owner.book.jobs[job_id].key
        flush, answered = owner.writer.flush, anyio.Event()

        async def store_late():
            await answered.wait()
            await flush()

        owner.writer.flush = store_late
        told = []
        for _ in range(2):
            with anyio.move_on_after(0.4):
                told.append(await owner.cancel(key))
        early = list(told)
        answered.set()
        told.append(await owner.cancel(key))
        return early, told

    assert_that(run_scenario(story), Equals(([], [JobState.CANCELLED])))


def test_work_goes_on_while_the_store_is_away():
    async def story(day):
        job_id, _ = await day.submit("desk", two_step_spec(1.0))
        await anyio.sleep(0.2)
        day.fleet.faults.outage = True
        await anyio.sleep(3.0)
        steps = {run.order.task.step for run in day.fleet.runs}
        begun = day.clock.now()
        _, result = await day.submit("desk", two_step_spec())
        refused_after = day.clock.now() - begun
        day.fleet.faults.outage = False
        await anyio.sleep(6.0)
        return steps, result.outcome, refused_after, await day.state(job_id)

    steps, outcome, refused_after, state = run_scenario(story)
    assert_that(steps, Equals({0, 1}))
    assert_that([Outcome.UNKNOWN, Outcome.UNAVAILABLE, Outcome.REFUSED], Contains(outcome))
    assert refused_after < 3.0
    assert_that(state, Is(JobState.COMPLETED))


def test_a_wave_keeps_its_bound_and_what_may_be_missed():
    async def story(day):
        await day.submit("desk", lasting())
        await anyio.sleep(2.0)
        vms = tuple(day.fleet.vms.vms)
        day.fleet.order_wave(WaveOrder("7", vms, 40.0, 2))
        for _ in range(80):
            await hand_in(day, 1, gap=0.5)
        entry = await day.fleet.store.get("state/7")
        return day.fleet.vms, entry.value, await day.states(), day.refused

    vms, state, states, _ = run_scenario(story)
    assert_that(vms.maintained["7"], HasLength(9))
    assert vms.most_down <= 2
    assert_that(vms.ended_runs, Equals(0))
    assert_that(state, Equals(b"completed"))
    assert_that(set(states.values()), Equals({JobState.COMPLETED, JobState.RUNNING}))


def test_a_team_stays_within_its_limit_over_all_pools():
    async def story(day):
        most = 0
        for _ in range(40):
            await day.submit("desk", two_step_spec(1.0))
            await day.submit("tour", two_step_spec(1.0))
            await anyio.sleep(0.1)
            workers = day.fleet.workers.workers.values()
            most = max(most, sum(worker.used().cpu_millicores for worker in workers))
        return most, len(day.accepted)

    most, accepted = run_scenario(story, make_config(Amount(5000, 0, 0)))
    assert most <= 5000
    assert accepted > 3


def test_a_daemon_that_the_store_turns_away_serves_through_the_new_owner():
    async def story(day):
        lost = day.fleet.owner_of("desk")
        day.fleet.network.cut_pairs.add(frozenset((lost, STORE_HOST)))
        await anyio.sleep(4.5)
        _, result = await day.submit("desk", two_step_spec(), at=lost)
        node = day.fleet.daemons[lost].node
        owner = node.directory.owner_of("desk")
        await anyio.sleep(3.0)
        return lost, owner.name, result.outcome, await day.states()

    lost, owner, outcome, states = run_scenario(story)
    assert owner != lost
    assert_that(outcome, Is(Outcome.ACCEPTED))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))


def test_a_job_that_the_store_turned_away_is_refused_and_never_runs():
    async def story(day):
        owner = day.fleet.owner_of("desk")
        writer = day.fleet.daemons[owner].node.owned["desk"].writer

        async def turn_away(compares, writes):
            raise StoreRefused("the store answered 503")

        writer.commit, kept = turn_away, writer.commit
        _, result = await day.submit("desk", two_step_spec(), at=owner)
        writer.commit = kept
        await anyio.sleep(3.0)
        return result, day.fleet.runs

    result, runs = run_scenario(story)
    assert_that(result.outcome, Is(Outcome.REFUSED))
    assert_that(runs, HasLength(0))
    assert result.retry_seconds >= 1


def test_a_daemon_that_has_left_is_no_member_any_more():
    async def story(day):
        node = day.fleet.daemons[DAEMON_NAMES[0]].node
        await node.leave()
        await anyio.sleep(3.0)
        others = day.fleet.daemons[DAEMON_NAMES[1]].node.directory.members
        return DAEMON_NAMES[0] in others

    assert_that(run_scenario(story), Is(False))


@pytest.mark.parametrize("error", [StoreUnavailable("no answer"), KeyError("a fault")])
def test_a_pool_whose_takeover_failed_is_taken_over_again(monkeypatch, error):
    take_over, failures = PoolOwner._take_over, []

    async def fail_once(owner):
        if owner.pool == "desk" and not failures:
            failures.append(owner.token)
            raise error
        await take_over(owner)

    monkeypatch.setattr(PoolOwner, "_take_over", fail_once)

    async def story(day):
        await hand_in(day, 4)
        await anyio.sleep(2.0)
        return day.refused, await day.states()

    refused, states = run_scenario(story)
    assert_that(failures, HasLength(1))
    assert_that(refused, HasLength(0))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))


def test_what_one_pool_gives_back_another_one_takes():
    async def story(day):
        wide = JobSpec("2.0", (Step(5, TASK, 2.0),))
        await day.submit("desk", wide)
        await anyio.sleep(0.5)
        record = day.fleet.config.queues["tour"]
        day.fleet.config.queues["tour"] = attrs.evolve(record, latency_target_seconds=30.0)
        for daemon in day.fleet.daemons.values():
            daemon.node.context.config.queues.update(day.fleet.config.queues)
        await day.submit("tour", wide)
        await anyio.sleep(12.0)
        return day.refused, await day.states()

    refused, states = run_scenario(story, make_config(Amount(5000, 0, 0)))
    assert_that(refused, HasLength(0))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))
