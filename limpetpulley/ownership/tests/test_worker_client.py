"""Leases of workers that stop answering expire in time, and their tasks run elsewhere."""

import os

import anyio
import attrs
import pytest

from ...batch import Amount, EndKind, Job, JobKey, TaskId
from ...batch.keys import BatchKeys
from ...clock import ManualClock
from ...exception import WorkerError, WorkerFault
from ...pool import PlanningLimits, PoolState, plan_orders
from ...pool.state import MAX_ORDER_DELAY_SECONDS
from ...pool.tests.test_planning import Shares
from ...store import MemoryStore
from ...telemetry import EventLog
from ...workers import EndedRun, HoldReply, ListedWorker, Run, StopOrder
from .. import DaemonContext, Timing
from ..worker_client import MAX_LEASE_SECONDS, WorkerClient
from .test_daemons import TASK, JobSpec, Step, run_scenario, two_step_spec

#: tolerance for the expiry on a slow worker clock and for one planning round, in seconds
TOLERANCE_SECONDS = 0.4
#: greatest age of the last lease extension when a worker is lost, in seconds: a hold waits this
#: long for a run to end
MAX_EXTENSION_AGE_SECONDS = 1.0


class AnswerBlocker:
    """Passes holds on to the workers, but withholds the answers of ``blocked_worker``."""

    def __init__(self, deployment):
        self.original_hold = deployment.fleet.workers.hold
        self.blocked_worker = ""
        deployment.fleet.workers.hold = self.hold

    async def hold(self, listed, *args):
        reply = await self.original_hold(listed, *args)
        while listed.worker_id == self.blocked_worker:
            await anyio.sleep(1)
        return reply


def measure_restart_seconds(failure, speculative):
    """Return the time from a worker's loss to the next start of its task, in seconds.

    :param failure: ``refuses`` if calls to the worker fail; otherwise it receives calls, but its
        answers are lost
    :param speculative: whether the task may run speculatively
    """

    async def scenario(deployment):
        blocker = AnswerBlocker(deployment)
        await anyio.sleep(2.0)
        step = Step(2, TASK, 9.0, speculative=speculative)
        await deployment.submit("desk", JobSpec("9.0", (step,)))
        await anyio.sleep(0.4)
        first = deployment.fleet.runs[0]
        lost_at = deployment.clock.now()
        if failure == "refuses":
            deployment.fleet.workers.workers[first.worker_id].alive = False
        else:
            blocker.blocked_worker = first.worker_id
        await anyio.sleep(2 * MAX_LEASE_SECONDS)
        task_runs = [run for run in deployment.fleet.runs if run.order.task == first.order.task]
        return task_runs[1].at - lost_at

    return run_scenario(scenario)


@pytest.mark.parametrize("failure", ["refuses", "hears"])
def test_tasks_of_a_silent_worker_restart_after_its_lease_has_expired(failure):
    seconds = measure_restart_seconds(failure, speculative=False)
    assert seconds >= MAX_LEASE_SECONDS - MAX_EXTENSION_AGE_SECONDS - TOLERANCE_SECONDS
    assert seconds <= MAX_LEASE_SECONDS * 1.03 + TOLERANCE_SECONDS


@pytest.mark.parametrize(("failure", "max_seconds"), [("refuses", 1.0), ("hears", 2.5)])
def test_speculative_task_starts_elsewhere_before_the_lease_expires(failure, max_seconds):
    assert measure_restart_seconds(failure, speculative=True) < max_seconds


def test_first_of_two_speculative_runs_to_end_counts_and_the_other_is_stopped():
    async def scenario(deployment):
        await anyio.sleep(2.0)
        await deployment.submit("desk", JobSpec("2.0", (Step(1, TASK, 2.0, speculative=True),)))
        await anyio.sleep(0.5)
        worker = deployment.fleet.workers.workers[deployment.fleet.runs[0].worker_id]
        worker.alive = False
        await anyio.sleep(1.2)
        worker.alive = True
        await anyio.sleep(3.0)
        ends = [
            end.kind for each in deployment.fleet.workers.workers.values() for end in each.ended
        ]
        running = sum(len(each.runs) for each in deployment.fleet.workers.workers.values())
        return len(deployment.fleet.runs), running, ends, await deployment.states()

    starts, running, ends, states = run_scenario(scenario)
    assert (starts, running) == (2, 0)
    assert EndKind.LAPSED not in ends
    assert set(map(str, states.values())) == {"completed"}


def test_worker_keeps_its_runs_if_calls_fail_briefly():
    async def scenario(deployment):
        await deployment.submit("desk", two_step_spec(3.0))
        await anyio.sleep(0.4)
        worker = deployment.fleet.workers.workers[deployment.fleet.runs[0].worker_id]
        for _ in range(6):
            worker.alive = False
            await anyio.sleep(0.5)
            worker.alive = True
            await anyio.sleep(0.5)
        await anyio.sleep(2.0)
        return worker, await deployment.states()

    worker, states = run_scenario(scenario)
    assert not [end for end in worker.ended if end.kind is EndKind.LAPSED]
    assert set(map(str, states.values())) == {"completed"}


class ScriptedOrders:
    """Answers holds with the given replies and records the acknowledged positions."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.acknowledged = []

    async def hold(self, listed, token, acknowledged, until_seconds, wait_seconds):
        self.acknowledged.append(acknowledged)
        return self.answer()

    async def stop(self, listed, order, token):
        return self.answer()

    def answer(self):
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


def make_client(orders):
    clock = ManualClock(100.0)
    log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY))
    context = DaemonContext(
        MemoryStore(clock), BatchKeys("lp/"), orders, clock, log, Timing(), None, clock.now
    )
    pool_state = PoolState("desk", 3, 0.2, 10.0, 5.0)
    worker = pool_state.update_listed_worker(ListedWorker("w", "desk", "w:1", 1, Amount(1000)))
    return WorkerClient(
        context,
        pool_state,
        worker,
        lambda: None,
        lambda: anyio.Event(),
        lambda: 0.0,
        hold_no_claim,
        lambda worker, reason: None,
    )


async def hold_no_claim():
    return False


ENDED = tuple(
    EndedRun(position, TaskId("a", 0, 0, position), 1, EndKind.DONE) for position in (1, 2)
)
REPLY = HoldReply(10.0, 1, (), ENDED)
EMPTY_REPLY = HoldReply(10.0, 1, (), ())
FIRST_REPLY = HoldReply(0.5, 2, (), ())
NEXT_REPLY = HoldReply(0.5, 2, (), ENDED[:1])
STOP = StopOrder("w", TaskId("a", 0, 0, 9), 1)


@pytest.mark.parametrize(
    ("calls", "acknowledged"),
    [
        ([REPLY, REPLY, REPLY], [0, 2, 2]),
        ([REPLY, WorkerError("lost"), REPLY, REPLY], [0, 2, 0, 2]),
        ([REPLY, WorkerError("lost"), NEXT_REPLY, NEXT_REPLY], [0, 2, 0, 1]),
        # A stop order fails between two holds.
        ([REPLY, "stop", WorkerError("lost"), REPLY, REPLY], [0, 0, 2]),
        ([REPLY, "stop", 11.0, REPLY], [0, 2]),
        # A hold that is carried out late may reach the next incarnation.
        ([REPLY, EMPTY_REPLY, EMPTY_REPLY, REPLY, EMPTY_REPLY], [0, 2, 0, 0, 2]),
    ],
)
def test_no_end_is_acknowledged_to_an_incarnation_that_has_not_listed_it(calls, acknowledged):
    async def scenario():
        client = make_client(orders := ScriptedOrders(c for c in calls if c != "stop"))
        for call in [call for number, call in enumerate(calls) if calls[number - 1] != "stop"]:
            if call == "stop":
                await client.send(STOP)
                continue
            try:
                await client.hold()
            except WorkerError as error:
                client._log_failure(str(error))
        return orders.acknowledged

    assert anyio.run(scenario) == acknowledged


@pytest.mark.parametrize("found", ["answered", "listed", "listed-before"])
@pytest.mark.parametrize(
    ("failure", "seconds", "starts"),
    [
        (TimeoutError(), 1.0, 0),
        (TimeoutError(), MAX_ORDER_DELAY_SECONDS + 0.1, 1),
        (WorkerError("connection lost"), 1.0, 1),
    ],
)
def test_no_run_starts_whose_end_a_late_hold_to_the_earlier_incarnation_may_acknowledge(
    found, failure, seconds, starts
):
    async def scenario():
        client = make_client(orders := ScriptedOrders([REPLY, failure, FIRST_REPLY, FIRST_REPLY]))
        pool_state, clock = client.pool_state, client.context.clock
        pool_state.add_job(
            Job(JobKey("q", "b"), JobSpec("", (Step(1, Amount(1000)),)), "desk"), 0.0
        )
        client.worker.in_roster = True
        returned = attrs.evolve(client.worker.listed, incarnation=2)
        await client.hold()
        if found == "listed-before":
            answer = orders.answer

            def enlist_and_answer():
                pool_state.update_listed_worker(returned)
                return answer()

            orders.answer = enlist_and_answer

        with pytest.raises((WorkerError, TimeoutError)):
            await client.hold()
        if found == "listed":
            pool_state.update_listed_worker(returned)
        await client.hold()
        clock.advance(seconds)
        await client.hold()
        now = clock.now()
        return plan_orders(pool_state, Shares(), now, now, PlanningLimits())

    assert len(anyio.run(scenario)) == starts


@pytest.mark.parametrize("number", [-1, 1, 2, 3])
@pytest.mark.parametrize("listed", [True, False])
def test_a_reply_tells_the_current_incarnation_unless_another_was_listed_meanwhile(listed, number):
    async def scenario():
        reply = HoldReply(0.5, number)
        client = make_client(orders := ScriptedOrders([EMPTY_REPLY, reply, reply]))
        await client.hold()
        answer, found = orders.answer, []

        def enlist_and_answer():
            if listed and not found:
                next_listed = attrs.evolve(client.worker.listed, incarnation=2)
                client.pool_state.update_listed_worker(next_listed)
            return answer()

        orders.answer = enlist_and_answer
        for _ in range(2):
            await client.hold()
            found.append((client.worker.listed.incarnation, client.worker.reconciled))
        return found

    before = (2, False) if listed else (number, True)
    assert anyio.run(scenario) == [before, (number, True)]


@pytest.mark.parametrize(("read", "is_settled"), [("before", True), ("meanwhile", False)])
def test_the_known_incarnation_refutes_an_entry_that_was_read_before_its_hold(read, is_settled):
    """At the address in the entry nobody may answer."""

    async def scenario():
        client = make_client(orders := ScriptedOrders([EMPTY_REPLY, EMPTY_REPLY]))
        worker, answer = client.worker, orders.answer
        await client.hold()
        run = Run(STOP.task, STOP.number, "w", Amount(), seen_running=True)
        client.pool_state.add_run(run, worker)
        entry = attrs.evolve(worker.listed, incarnation=2, address="w:2")

        def enlist_and_answer():
            client.pool_state.update_listed_worker(entry)
            return answer()

        if read == "before":
            client.pool_state.update_listed_worker(entry)
        else:
            orders.answer = enlist_and_answer
        await client.hold()
        assert worker.listed.incarnation == 1 and run.task in worker.runs
        return worker.suspected is None

    assert anyio.run(scenario) == is_settled


@pytest.mark.parametrize("reply", [REPLY, NEXT_REPLY, HoldReply(0.5, 3, (), ENDED)])
@pytest.mark.parametrize(
    "failures",
    [[], [WorkerError("refused"), TimeoutError()], [WorkerFault("nobody expects this")] * 2],
)
def test_a_suspected_restart_is_checked_until_an_incarnation_answers(failures, reply):
    """The hold that is under way may hang, and the entry may have another address."""

    async def scenario():
        client = make_client(orders := ScriptedOrders([REPLY, *failures, reply]))
        worker = client.worker
        await client.hold()
        run = Run(STOP.task, STOP.number, "w", Amount(), seen_running=True)
        client.pool_state.add_run(run, worker)
        entry = attrs.evolve(worker.listed, incarnation=2, address="w:2")
        client.pool_state.update_listed_worker(entry)
        await client.check_restart()
        is_over = reply.incarnation != 1
        assert (worker.suspected, not worker.runs, client.checking) == (None, is_over, False)
        assert worker.listed.incarnation == reply.incarnation
        return orders.acknowledged[1:], worker.processed_through

    acknowledged, position = anyio.run(scenario)
    assert acknowledged == [0] * (len(failures) + 1)
    assert position == (2 if reply.incarnation == 1 else 0)


@pytest.mark.parametrize(("restarted", "settled"), [(False, 500.0), (True, None)])
def test_late_answer_to_a_stop_does_not_settle_the_run_of_the_next_incarnation(restarted, settled):
    """The next incarnation's clock starts anew."""

    async def scenario():
        client = make_client(orders := ScriptedOrders([]))
        pool_state, worker = client.pool_state, client.worker
        run = Run(STOP.task, STOP.number, "w", Amount(), unanswered_starts=1)
        pool_state.add_run(run, worker)
        pool_state.orphan_stops[STOP] = 0.0

        def answer():
            if restarted:
                listed = attrs.evolve(worker.listed, incarnation=2)
                pool_state.update_listed_worker(listed)
                pool_state.orphan_stops[STOP] = 0.0
            return 500.0

        orders.answer = answer
        await client.send(STOP)
        return run.settled_at and int(run.settled_at), list(pool_state.orphan_stops)

    assert anyio.run(scenario) == (settled, [STOP] if restarted else [])
