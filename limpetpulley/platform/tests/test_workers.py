"""Orders to workers and VMs with the platform's calls."""

import json

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...api.server import HttpServer
from ...batch import Amount, EndKind, Job, JobKey, JobSpec, Step, TaskId
from ...clock import SystemClock
from ...exception import NotOwnerError, PlatformError, WorkerError
from ...fleet.vms import Holder, OrderOutcome, Phase
from ...http_client import PooledHttpClient
from ...pool import PoolState, process_hold_reply
from ...scheduling.pacing import latency_pressure, pace_fillers
from ...standin.workers import MemoryWorker, RunPlan
from ...workers import ListedWorker, PaceOrder, Run, StartOrder, StartOutcome, StopOrder, Worker
from ..vms import PlatformVms
from ..workers import PlatformOrderSender, encode_task
from .standin import PlatformStandin

TASK = TaskId("5c0e7a21d94b36f8", 0, 0, 3)


def with_worker(function, seconds=0.05):
    """Run a function with a worker behind a stand-in that listens on the loopback interface."""

    async def run():
        async with anyio.create_task_group() as tasks:
            platform = PlatformStandin()
            server = HttpServer(platform, "127.0.0.1", 0)
            await tasks.start(server.serve)
            address = f"127.0.0.1:{server.port}"
            listed = ListedWorker("i-1", "desk", address, 5, Amount(2000, 2000))
            plan = RunPlan(seconds, need=Amount(1500, 100))
            platform.workers["i-1"] = MemoryWorker(listed, SystemClock(), lambda order: plan)
            http = PooledHttpClient()
            result = await function(PlatformOrderSender(http), listed, platform)
            await http.aclose()
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(run)


def start_order(number=1, task=TASK):
    return StartOrder("i-1", task, number, "text")


def test_run_is_started_listed_and_acknowledged():
    async def scenario(workers, listed, platform):
        first = await workers.hold(listed, 3, 0, None, 0.0)
        reply = await workers.start(listed, start_order(), 3, first.worker_seconds + 5)
        again = await workers.start(listed, start_order(), 3, first.worker_seconds + 5)
        ended = await workers.hold(listed, 3, 0, None, 1.0)
        rest = await workers.hold(listed, 3, ended.ended[0].position, None, 0.0)
        return first, reply.outcome, again.outcome, ended.ended[0], rest

    first, outcome, again, end, rest = with_worker(scenario)
    assert_that((first.incarnation, first.running), Equals((5, ())))
    assert_that((outcome, again), Equals((StartOutcome.STARTED, StartOutcome.STARTED)))
    assert_that((end.task, end.number, end.kind), Equals((TASK, 1, EndKind.DONE)))
    assert_that(rest.ended, Equals(()))


def test_start_after_the_stop_of_its_run_is_rejected():
    async def scenario(workers, listed, platform):
        await workers.stop(listed, StopOrder("i-1", TASK, 4), 3)
        late = await workers.start(listed, start_order(4), 3, 1e6)
        return late.outcome

    assert_that(with_worker(scenario), Is(StartOutcome.OLD_RUN))


@pytest.mark.parametrize("call", ["start", "stop", "pace", "hold"])
def test_order_with_an_older_token_raises_not_owner(call):
    async def scenario(workers, listed, platform):
        await workers.hold(listed, 9, 0, None, 0.0)
        calls = {
            "start": lambda: workers.start(listed, start_order(), 3, 1e6),
            "stop": lambda: workers.stop(listed, StopOrder("i-1", TASK, 1), 3),
            "pace": lambda: workers.pace(listed, PaceOrder("i-1", TASK, 1, 50), 3),
            "hold": lambda: workers.hold(listed, 3, 0, None, 0.0),
        }
        if call == "pace":
            platform.answers = [(409, b'{"clockMs": 1, "reason": "fence"}')]
        with pytest.raises(NotOwnerError):
            await calls[call]()

    with_worker(scenario)


@pytest.mark.parametrize(
    ("status", "content", "outcome"),
    [
        (409, b'{"clockMs": 7, "reason": "room"}', StartOutcome.NO_ROOM),
        (409, b'{"clockMs": 7, "reason": "late"}', StartOutcome.LATE),
        (409, b'{"clockMs": 7, "reason": "ticket"}', StartOutcome.NO_TICKET),
        (400, b"", StartOutcome.REFUSED),
        (421, b"", StartOutcome.OTHER_WORKER),
        (429, b"", StartOutcome.UNHEALTHY),
        (503, b"", StartOutcome.UNHEALTHY),
    ],
)
def test_rejections_are_mapped_to_outcomes(status, content, outcome):
    async def scenario(workers, listed, platform):
        platform.answers = [(status, content)]
        return (await workers.start(listed, start_order(), 3, 1e6)).outcome

    assert_that(with_worker(scenario), Is(outcome))


@pytest.mark.parametrize(
    ("status", "content"),
    [
        (500, b"{}"),
        (200, b"no json"),
        (200, b'{"clockMs": "x"}'),
        (200, b'{"clockMs": 1, "running": [["a"]]}'),
        (200, b'{"clockMs": 1, "finished": [[1, "a.0.0.0", 1, "melted", ""]]}'),
    ],
)
def test_invalid_reply_raises_worker_error(status, content):
    async def scenario(workers, listed, platform):
        platform.answers = [(status, content)]
        with pytest.raises(WorkerError):
            await workers.hold(listed, 3, 0, None, 0.0)

    with_worker(scenario)


@pytest.mark.parametrize(
    ("latency_ms", "pressure", "speeds"),
    [(10, 0.2, []), (30, 0.6, []), (42, 0.84, []), (45, 0.9, [66]), (100, 2.0, [29])],
)
def test_fillers_are_paced_by_the_tail_latency_that_a_worker_lists(latency_ms, pressure, speeds):
    serving = Step(1, Amount(1000, 10), lasting=True, latency_target_seconds=0.05)
    filler = Step(1, Amount(1000, 10), lasting=True, filler=True)

    async def scenario(workers, listed, platform):
        pool_state = PoolState("desk", 1, 0.2, 10.0, 5.0)
        worker = pool_state.workers["i-1"] = Worker(listed)
        pool_state.add_job(Job(JobKey("q", "a"), JobSpec("", (serving, filler)), "desk"), 0.0)
        rows = []
        for step, gauge in ((serving, latency_ms), (filler, 900)):
            task = TaskId("a", 0, len(rows), 0)
            rows.append([encode_task(task), len(rows) + 1, "", 100, gauge])
            pool_state.add_run(Run(task, len(rows), "i-1", step.charge), worker)
        reply = {"clockMs": 20000, "running": rows}
        platform.answers = [(200, json.dumps(reply).encode())]
        process_hold_reply(
            pool_state, worker, await workers.hold(listed, 3, 0, None, 0.0), 20.0, 0.0
        )
        return latency_pressure(pool_state, worker), pace_fillers(pool_state, 21.0)

    found, orders = with_worker(scenario)
    assert_that(found, Equals(pytest.approx(pressure)))
    assert_that([order.percent for order in orders], Equals(speeds))


def test_start_at_another_workers_address_is_detected():
    async def scenario(workers, listed, platform):
        other = attrs.evolve(listed, worker_id="i-2")
        return (await workers.start(other, start_order(), 3, 1e6)).outcome

    assert_that(with_worker(scenario), Is(StartOutcome.OTHER_WORKER))


def test_vms_are_listed_from_pages_and_ordered_with_holder_and_token():
    row = {"machine": "m-0", "pool": "desk", "state": "up", "zone": "dc-1", "id": "i-1"}

    async def scenario(workers, listed, platform):
        platform.machines = [{**row, "machine": f"m-{number}"} for number in range(7)]
        platform.machines[2] |= {"state": "upkeep", "id": "", "labels": ["a", "r2"]}
        vms = PlatformVms(workers.http, listed.address)
        listed_vms = await vms.list_vms()
        outcome = await vms.move("m-1", "tour", Holder("entry-1", 12))
        await vms.maintain("m-2", "1", Holder("entry-1", 12))
        platform.answers = [(409, b'{"reason": "busy"}')]
        busy = await vms.maintain("m-2", "1", Holder("entry-1", 12))
        lapsed = Holder("entry-1", 12, lambda: False)
        with pytest.raises(PlatformError):
            await vms.move("m-1", "tour", lapsed)
        platform.answers = [(429, b"{}")]
        too_many = await vms.move("m-3", "tour", Holder("entry-1", 12))
        platform.answers = [(429, b"{}")]
        with pytest.raises(PlatformError):
            await vms.list_vms()
        return listed_vms, (outcome, busy, too_many), platform.orders

    listed_vms, outcomes, orders = with_worker(scenario)
    assert_that([vm.name for vm in listed_vms], Equals([f"m-{number}" for number in range(7)]))
    assert_that((listed_vms[2].phase, listed_vms[2].rack), Equals((Phase.MAINTENANCE, "r2")))
    expected = (OrderOutcome.DONE, OrderOutcome.BUSY, OrderOutcome.TOO_MANY)
    assert_that(outcomes, Equals(expected))
    assert_that(
        [(name, headers["lease-holder"], headers["fencing-token"]) for name, headers, _ in orders],
        Equals([("machine-move", "entry-1", "12"), ("machine-upkeep", "entry-1", "12")]),
    )
