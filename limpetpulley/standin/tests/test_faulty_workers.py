"""Faults of the emulated workers, VMs, store and loop, and the monitor's verdicts."""

import random
from collections import Counter

import anyio
import attrs
import pytest

from ...batch import Amount, TaskId
from ...exception import StoreUnavailable
from ...fleet.vms import Phase
from ...store import Compare, MemoryStore, Put
from ...workers import ListedWorker, StartOrder
from ..faults import Faults
from ..network import MemoryNetwork
from ..run_monitor import RunMonitor, Verdict
from ..store import FaultyStore
from ..virtual import HOST, VirtualClock, pause_host, resume_host, run_virtual
from ..vms import MemoryVms
from ..workers import LATE_SECONDS, MemoryWorker, MemoryWorkers, OrderFaults, RunPlan

TASK = TaskId("0000000000000001", 0, 0, 0)
RUN_SECONDS = 1.0
CAPACITY = Amount(4000, 8000)
TOKEN = 5


def run_in_group(scenario):
    """Run a scenario with a task group on virtual time; return its result."""

    async def run():
        async with anyio.create_task_group() as tasks:
            result = await scenario(tasks)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


def make_vms(tasks):
    """Return VMs a and b with a worker each, and what the daemons were told last."""
    clock, told, workers = VirtualClock(), [], MemoryWorkers()
    vms = MemoryVms(
        tasks,
        clock,
        workers,
        lambda order: RunPlan(RUN_SECONDS),
        frozenset(),
        CAPACITY,
        told.append,
    )
    workers.faults = OrderFaults(tasks, random.Random(1))
    for name in ("a", "b"):
        vms.add(name, "desk", "r0")
    return vms, told


async def start_run(vms, worker_id, number=1):
    listed = vms.listed_workers[worker_id]
    with anyio.move_on_after(0.5):
        await vms.workers.start(listed, StartOrder(worker_id, TASK, number, ""), TOKEN, 100.0)


def make_worker(name, clock, observer):
    listed = ListedWorker(name, "desk", f"{name}:1", 1, CAPACITY)
    worker = MemoryWorker(listed, clock, lambda order: RunPlan(RUN_SECONDS))
    worker.observer = observer
    return worker


def test_late_order_is_carried_out_once_its_delay_is_over():
    async def scenario(tasks):
        vms, _ = make_vms(tasks)
        vms.workers.faults.late_share = 1.0
        await start_run(vms, "a-1")
        worker = vms.workers.workers["a-1"]
        before = dict(worker.runs)
        await anyio.sleep(LATE_SECONDS[1])
        worker.advance()
        return before, worker.highest_ended | worker.runs

    before, after = run_in_group(scenario)
    assert not before
    assert list(after) == [TASK]


@pytest.mark.parametrize("fault", ["lost", "mute", "unreachable"])
def test_silent_worker_runs_what_reaches_it(fault):
    async def scenario(tasks):
        vms, _ = make_vms(tasks)
        faults = vms.workers.faults
        faults.lost_reply_share = float(fault == "lost")
        faults.mute = {"a-1"} if fault == "mute" else set()
        faults.unreachable = {"a-1"} if fault == "unreachable" else set()
        with anyio.move_on_after(0.5) as scope:
            order = StartOrder("a-1", TASK, 1, "")
            await vms.workers.start(vms.listed_workers["a-1"], order, TOKEN, 100.0)
        return scope.cancelled_caught, list(vms.workers.workers["a-1"].runs)

    silent, runs = run_in_group(scenario)
    assert silent
    assert runs == ([] if fault == "unreachable" else [TASK])


def test_worker_that_returns_under_its_identifier_knows_nothing():
    async def scenario(tasks):
        vms, told = make_vms(tasks)
        await start_run(vms, "a-1")
        vms.crash("a-1", 0.5, entry_seconds=2.0, same_identifier=True)
        down = (await vms.list_vms())[0]
        await anyio.sleep(3.0)
        worker = vms.workers.workers["a-1"]
        return down, worker, told[-1]["a-1"]

    down, worker, listed = run_in_group(scenario)
    assert (down.phase, down.worker_id) == (Phase.DOWN, "")
    assert not worker.runs and not worker.highest_token
    assert listed.incarnation == 2


def test_expired_entry_and_lagging_list():
    async def scenario(tasks):
        vms, told = make_vms(tasks)
        vms.hide("a-1")
        hidden = set(told[-1])
        vms.show("a-1")
        await anyio.sleep(1.0)
        vms.choose_list_age = lambda: 0.8
        vms.crash("b-1", 5.0)
        lagging = [vm.phase for vm in await vms.list_vms()]
        await anyio.sleep(0.9)
        return hidden, set(told[-2]), lagging, [vm.phase for vm in await vms.list_vms()]

    hidden, shown, lagging, later = run_in_group(scenario)
    assert hidden == {"b-1"} and shown == {"a-1", "b-1"}
    assert lagging == [Phase.UP, Phase.UP]
    assert later == [Phase.UP, Phase.DOWN]


@pytest.mark.parametrize("changed_meanwhile", [False, True])
def test_late_write_is_carried_out_under_its_condition_of_then(changed_meanwhile):
    async def scenario(tasks):
        store = MemoryStore(VirtualClock())
        rng = random.Random(1)
        faults = Faults(late_write_share=1.0)
        client = FaultyStore(store, faults, MemoryNetwork(rng), "a", Counter(), tasks, rng)
        with pytest.raises(StoreUnavailable):
            await client.commit([Compare("k", 0)], [Put("k", b"late")])
        if changed_meanwhile:
            await store.commit([], [Put("k", b"new")])
        await anyio.sleep(faults.late_write_seconds)
        return (await store.get("k")).value

    assert run_in_group(scenario) == (b"new" if changed_meanwhile else b"late")


def test_paused_host_goes_on_later_while_others_run():
    async def scenario(tasks):
        clock, steps = VirtualClock(), {"a": [], "b": []}

        async def step(host):
            HOST.set(host)
            while True:
                await anyio.sleep(0.1)
                steps[host].append(clock.now())

        tasks.start_soon(step, "a")
        tasks.start_soon(step, "b")
        await anyio.sleep(0.35)
        pause_host("a")
        await anyio.sleep(1.0)
        paused = {host: len(times) for host, times in steps.items()}
        resume_host("a")
        await anyio.sleep(0.35)
        return paused, {host: len(times) for host, times in steps.items()}

    paused, after = run_in_group(scenario)
    assert paused == {"a": 3, "b": 13}
    assert after["a"] >= 6


@attrs.frozen
class Course:
    """What happens to the first run of a task before its second one starts.

    :param starts_at: time of the second start, the first being at 0 s
    :param lease: lease of the first run's worker, in seconds
    :param listed: whether a reply with the end arrives right after it
    :param acknowledged: when the end is acknowledged, None if it is not
    """

    expected: Verdict | None
    starts_at: float
    lease: float = 9.0
    crashes: bool = False
    moves: bool = False
    copies: bool = False
    calm: bool = True
    listed: bool = False
    acknowledged: float | None = None
    completed: bool = False


COURSES = {
    "at the same time": Course(Verdict.OVERLAP, 0.5),
    "worker down": Course(None, 0.5, crashes=True),
    "copies": Course(None, 0.5, copies=True),
    "lease lapsed": Course(None, 0.9, lease=0.8),
    "end never known": Course(None, 1.5),
    "acknowledged before": Course(Verdict.AFTER_DONE, 1.5, acknowledged=1.2),
    "acknowledged later": Course(Verdict.AFTER_DONE, 1.5, acknowledged=2.0),
    "acknowledged after lapse": Course(None, 2.5, lease=2.0, acknowledged=2.2),
    "listed": Course(Verdict.AFTER_LISTED, 1.5, listed=True),
    "listed just now": Course(None, 1.1, listed=True),
    "listed beside a fault": Course(Verdict.AFTER_LISTED_DISTURBED, 1.5, listed=True, calm=False),
    "listed and moved": Course(
        Verdict.AFTER_LISTED_ORDERED_AWAY, 1.5, listed=True, moves=True, calm=False
    ),
    "completed": Course(Verdict.AFTER_COMPLETED, 1.5, completed=True),
    "copy of completed": Course(None, 1.5, completed=True, copies=True),
    "late copy of completed": Course(Verdict.AFTER_COMPLETED, 2.5, completed=True, copies=True),
}


@pytest.mark.parametrize("course", COURSES.values(), ids=COURSES)
def test_verdict_on_a_second_start(course):
    async def scenario():
        clock = VirtualClock()
        monitor = RunMonitor(
            clock, lambda task: True, lambda task: course.copies, lambda at: course.calm
        )
        first, second = (make_worker(name, clock, monitor) for name in "ab")
        begun_at = clock.now()

        async def wait_until(seconds):
            await anyio.sleep(max(0.0, begun_at + seconds - clock.now()))

        first.start(StartOrder("a", TASK, 1, ""), TOKEN, course.lease)
        if course.crashes:
            first.crash()
        if course.listed or course.completed:
            await wait_until(RUN_SECONDS + 0.05)
        if course.listed:
            monitor.answered(first, first.hold(TOKEN, 0, None))
        if course.moves:
            first.crash(Phase.MOVING.value)
        if course.completed:
            monitor.show_completed(TASK.job_id)
        later = course.acknowledged is not None and course.acknowledged > course.starts_at
        for is_late in (False, True):
            if is_late:
                await wait_until(course.starts_at)
                second.start(StartOrder("b", TASK, 2, ""), TOKEN, 100.0)
            if course.acknowledged is not None and later is is_late:
                await wait_until(course.acknowledged)
                first.hold(TOKEN, 1, None)
        return [finding.verdict for finding in monitor.findings]

    verdicts = run_virtual(scenario)
    assert verdicts == ([] if course.expected is None else [course.expected])
