"""Three daemons that own pools together, on virtual time without a network.

Covers normal load, loss and departure of owners, maintenance waves, store outages and team limits.
"""

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from ...batch import (
    Amount,
    BatchConfig,
    JobSpec,
    JobState,
    PoolConfig,
    QueueConfig,
    Step,
    TeamConfig,
)
from ...exception import StoreRefused, StoreUnavailable
from ...fleet.vms import OrderOutcome, WaveOrder
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
        pool: QueueConfig(
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
    pools = {pool: PoolConfig(pool) for pool in POOLS} | {"off": PoolConfig("off", standby=True)}
    return BatchConfig(1, queues, pools, {"agents": TeamConfig("agents", limit=limit)})


class Deployment:
    """Three daemons with their workers and VMs, and callers that submit jobs."""

    def __init__(self, tasks, config, seed=1, vms=4, moves=True):
        self.clock = VirtualClock()
        self.fleet = BatchFleet(tasks, self.clock, config, Amount(4000, 8000), seed)
        for number in range(vms):
            for pool in POOLS:
                self.fleet.vms.add(f"{pool}-{number}", pool, f"r{number % 2}")
        self.fleet.vms.add("off-0", "off", "r0")
        if not moves:
            self.fleet.vms.move = refuse_move
        self.accepted = {}
        self.refused = []
        self.count = 0

    async def start(self):
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

    def overlapping_tasks(self):
        """Return the tasks that ran on two workers at the same time."""
        overlapping, seen = [], {}
        for run in self.fleet.runs:
            before = seen.get(run.order.task)
            if before is not None and run.order.payload != "lasts":
                seconds = float(run.order.payload)
                if run.at < before.at + seconds and run.worker_id != before.worker_id:
                    overlapping.append(run.order.task)
            seen[run.order.task] = run
        return overlapping


def two_step_spec(seconds=0.3):
    step = Step(2, TASK, seconds)
    return JobSpec(str(seconds), (step, Step(1, TASK, seconds, after=(0,))))


def lasting_spec(count=3, may_miss=1):
    return JobSpec("lasts", (Step(count, TASK, lasting=True, may_miss=may_miss),))


async def refuse_move(vm, pool, holder):
    return OrderOutcome.BUSY


def run_scenario(scenario, config=None, seed=1, vms=4, moves=True):
    """Run a scenario with three daemons; return its result.

    :param vms: number of VMs of each pool
    :param moves: whether VMs may be moved between pools
    """

    async def run():
        async with anyio.create_task_group() as tasks:
            deployment = Deployment(tasks, config or make_config(), seed, vms, moves)
            await deployment.start()
            result = await scenario(deployment)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


async def submit_jobs(deployment, count, gap=0.25):
    for number in range(count):
        await deployment.submit(POOLS[number % 2], two_step_spec())
        await anyio.sleep(gap)


def test_normal_load_is_completed():
    async def scenario(deployment):
        await submit_jobs(deployment, 60)
        await anyio.sleep(2.0)
        return await deployment.states(), deployment.refused, deployment.overlapping_tasks()

    states, refused, overlapping_tasks = run_scenario(scenario)
    assert_that(refused, HasLength(0))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))
    assert_that(overlapping_tasks, HasLength(0))


@pytest.mark.parametrize("graceful", [True, False])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_job_is_lost_when_an_owner_stops(graceful, seed):
    async def scenario(deployment):
        job_id, _ = await deployment.submit("desk", lasting_spec())
        await submit_jobs(deployment, 10)
        lost_owner = deployment.fleet.owner_of("desk")
        if graceful:
            await deployment.fleet.leave(lost_owner)
        else:
            deployment.fleet.kill(lost_owner)
        await submit_jobs(deployment, 30)
        await anyio.sleep(8.0)
        owner = deployment.fleet.daemons[deployment.fleet.owner_of("desk")].node.owned["desk"]
        return (
            await deployment.states(),
            job_id,
            deployment.overlapping_tasks(),
            len(list(owner.pool_state.runs_of(job_id))),
        )

    states, job_id, overlapping_tasks, running = run_scenario(scenario, seed=seed)
    assert_that(states.pop(job_id), Is(JobState.RUNNING))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))
    assert_that(overlapping_tasks, HasLength(0))
    assert_that(running, Equals(3))


def test_pool_has_a_new_owner_soon_after_a_graceful_departure():
    async def scenario(deployment):
        leaving_owner = deployment.fleet.owner_of("desk")
        started_at = deployment.clock.now()
        await deployment.fleet.leave(leaving_owner)
        while deployment.fleet.owner_of("desk") is None:
            await anyio.sleep(0.005)
        return deployment.clock.now() - started_at

    assert run_scenario(scenario) < 0.3


def test_all_jobs_survive_a_restart_of_all_daemons():
    async def scenario(deployment):
        await submit_jobs(deployment, 8, gap=0.05)
        for name in DAEMON_NAMES:
            deployment.fleet.kill(name)
        for name in DAEMON_NAMES:
            deployment.fleet.start_daemon(name)
        while (
            deployment.fleet.owner_of("desk") is None or deployment.fleet.owner_of("tour") is None
        ):
            await anyio.sleep(0.1)
        await anyio.sleep(10.0)
        return await deployment.states(), deployment.overlapping_tasks()

    states, overlapping_tasks = run_scenario(scenario)
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))
    assert_that(overlapping_tasks, HasLength(0))


def test_job_submitted_repeatedly_runs_once():
    async def scenario(deployment):
        for name in DAEMON_NAMES:
            await deployment.submit("desk", two_step_spec(), at=name, job_id="00000000000000ff")
        await anyio.sleep(3.0)
        return deployment.refused, [run.order.task for run in deployment.fleet.runs]

    refused, tasks = run_scenario(scenario)
    assert_that(refused, HasLength(0))
    assert_that(len(tasks), Equals(len(set(tasks))))


def test_cancelled_job_stops_and_stays_cancelled():
    async def scenario(deployment):
        job_id, _ = await deployment.submit("desk", lasting_spec())
        await anyio.sleep(1.0)
        node = deployment.fleet.daemons[DAEMON_NAMES[0]].node
        returned_states = await node.service.cancel(deployment.accepted[job_id], job_id, 3.0)
        await anyio.sleep(1.0)
        running = [
            task for worker in deployment.fleet.workers.workers.values() for task in worker.runs
        ]
        return returned_states, await deployment.state(job_id), running

    returned_states, state, running = run_scenario(scenario)
    assert_that((returned_states, state), Equals((JobState.CANCELLED, JobState.CANCELLED)))
    assert_that(running, HasLength(0))


def test_repeated_cancellation_is_not_acknowledged_before_it_is_stored():
    async def scenario(deployment):
        job_id, _ = await deployment.submit("desk", lasting_spec())
        await anyio.sleep(1.0)
        owner = deployment.fleet.daemons[deployment.fleet.owner_of("desk")].node.owned["desk"]
        key = owner.pool_state.jobs[job_id].key
        flush, answered = owner.writer.flush, anyio.Event()

        async def delayed_flush():
            await answered.wait()
            await flush()

        owner.writer.flush = delayed_flush
        returned_states = []
        for _ in range(2):
            with anyio.move_on_after(0.4):
                returned_states.append(await owner.cancel(key))
        early_states = list(returned_states)
        answered.set()
        returned_states.append(await owner.cancel(key))
        return early_states, returned_states

    assert_that(run_scenario(scenario), Equals(([], [JobState.CANCELLED])))


def test_accepted_jobs_continue_during_a_store_outage():
    async def scenario(deployment):
        job_id, _ = await deployment.submit("desk", two_step_spec(1.0))
        await anyio.sleep(0.2)
        deployment.fleet.faults.outage = True
        await anyio.sleep(3.0)
        steps = {run.order.task.step for run in deployment.fleet.runs}
        started_at = deployment.clock.now()
        _, result = await deployment.submit("desk", two_step_spec())
        refused_after = deployment.clock.now() - started_at
        deployment.fleet.faults.outage = False
        await anyio.sleep(6.0)
        return steps, result.outcome, refused_after, await deployment.state(job_id)

    steps, outcome, refused_after, state = run_scenario(scenario)
    assert_that(steps, Equals({0, 1}))
    assert_that([Outcome.UNKNOWN, Outcome.UNAVAILABLE, Outcome.REFUSED], Contains(outcome))
    assert refused_after < 3.0
    assert_that(state, Is(JobState.COMPLETED))


def test_maintenance_wave_respects_its_limit_and_ends_no_run():
    async def scenario(deployment):
        await deployment.submit("desk", lasting_spec())
        await anyio.sleep(2.0)
        vms = tuple(deployment.fleet.vms.vms)
        deployment.fleet.order_wave(WaveOrder("7", vms, 40.0, 2))
        for _ in range(80):
            await submit_jobs(deployment, 1, gap=0.5)
        entry = await deployment.fleet.store.get("state/7")
        return deployment.fleet.vms, entry.value, await deployment.states(), deployment.refused

    vms, state, states, _ = run_scenario(scenario)
    assert_that(vms.maintained_vms["7"], HasLength(9))
    assert vms.most_down <= 2
    assert_that(vms.interrupted_runs, Equals(0))
    assert_that(state, Equals(b"completed"))
    assert_that(set(states.values()), Equals({JobState.COMPLETED, JobState.RUNNING}))


def test_team_stays_within_its_limit_across_all_pools():
    async def scenario(deployment):
        peak_millicores = 0
        for _ in range(40):
            await deployment.submit("desk", two_step_spec(1.0))
            await deployment.submit("tour", two_step_spec(1.0))
            await anyio.sleep(0.1)
            workers = deployment.fleet.workers.workers.values()
            peak_millicores = max(
                peak_millicores, sum(worker.used().cpu_millicores for worker in workers)
            )
        return peak_millicores, len(deployment.accepted)

    peak_millicores, accepted = run_scenario(scenario, make_config(Amount(5000, 0, 0)))
    assert peak_millicores <= 5000
    assert accepted > 3


def test_daemon_cut_off_from_the_store_forwards_to_the_new_owner():
    async def scenario(deployment):
        lost_owner = deployment.fleet.owner_of("desk")
        deployment.fleet.network.cut_pairs.add(frozenset((lost_owner, STORE_HOST)))
        await anyio.sleep(4.5)
        _, result = await deployment.submit("desk", two_step_spec(), at=lost_owner)
        node = deployment.fleet.daemons[lost_owner].node
        owner = node.directory.owner_of("desk")
        await anyio.sleep(3.0)
        return lost_owner, owner.name, result.outcome, await deployment.states()

    lost_owner, owner, outcome, states = run_scenario(scenario)
    assert owner != lost_owner
    assert_that(outcome, Is(Outcome.ACCEPTED))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))


def test_job_whose_write_the_store_refuses_is_refused_and_never_runs():
    async def scenario(deployment):
        owner = deployment.fleet.owner_of("desk")
        writer = deployment.fleet.daemons[owner].node.owned["desk"].writer

        async def refuse_writes(compares, writes):
            raise StoreRefused("the store answered 503")

        writer.commit, original_commit = refuse_writes, writer.commit
        _, result = await deployment.submit("desk", two_step_spec(), at=owner)
        writer.commit = original_commit
        await anyio.sleep(3.0)
        return result, deployment.fleet.runs

    result, runs = run_scenario(scenario)
    assert_that(result.outcome, Is(Outcome.REFUSED))
    assert_that(runs, HasLength(0))
    assert result.retry_seconds >= 1


def test_daemon_that_leaves_without_its_lease_begins_no_other():
    async def scenario(deployment):
        node = next(iter(deployment.fleet.daemons.values())).node
        await deployment.fleet.store.revoke_lease(node.session.lease)
        await node.leave()
        await anyio.sleep(2.0)
        return node.session.lease, node.session.closed

    assert run_scenario(scenario) == (0, True)


def test_daemon_that_has_left_is_no_longer_a_member():
    async def scenario(deployment):
        node = deployment.fleet.daemons[DAEMON_NAMES[0]].node
        await node.leave()
        await anyio.sleep(3.0)
        others = deployment.fleet.daemons[DAEMON_NAMES[1]].node.directory.members
        return DAEMON_NAMES[0] in others

    assert_that(run_scenario(scenario), Is(False))


@pytest.mark.parametrize("error", [StoreUnavailable("no answer"), KeyError("a fault")])
def test_failed_takeover_is_repeated(monkeypatch, error):
    take_over, failures = PoolOwner._take_over, []

    async def fail_once(owner):
        if owner.pool == "desk" and not failures:
            failures.append(owner.token)
            raise error
        await take_over(owner)

    monkeypatch.setattr(PoolOwner, "_take_over", fail_once)

    async def scenario(deployment):
        await submit_jobs(deployment, 4)
        await anyio.sleep(2.0)
        return deployment.refused, await deployment.states()

    refused, states = run_scenario(scenario)
    assert_that(failures, HasLength(1))
    assert_that(refused, HasLength(0))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))


def test_share_that_one_pool_returns_is_used_by_another():
    async def scenario(deployment):
        wide_spec = JobSpec("2.0", (Step(5, TASK, 2.0),))
        await deployment.submit("desk", wide_spec)
        await anyio.sleep(0.5)
        tour_queue = deployment.fleet.config.queues["tour"]
        deployment.fleet.config.queues["tour"] = attrs.evolve(
            tour_queue, latency_target_seconds=30.0
        )
        for daemon in deployment.fleet.daemons.values():
            daemon.node.context.config.queues.update(deployment.fleet.config.queues)
        await deployment.submit("tour", wide_spec)
        await anyio.sleep(12.0)
        return deployment.refused, await deployment.states()

    refused, states = run_scenario(scenario, make_config(Amount(5000, 0, 0)))
    assert_that(refused, HasLength(0))
    assert_that(set(states.values()), Equals({JobState.COMPLETED}))
