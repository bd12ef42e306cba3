"""Leases that an owner can't see: each assumption about them is needed, or a task runs twice.

An owner's pool state and an emulated worker share a clock that a test advances. Each scenario ends
with the worker cut off; the task runs twice if its run lives on the worker once the pool state has
dropped it.
"""

import math
import random

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, Job, JobKey, JobSpec, Step
from ...pool import (
    PlanningLimits,
    PoolState,
    plan_orders,
    process_hold_reply,
    process_start_reply,
    reconcile,
    state,
)
from ...pool.proofs import CLAIM_SECONDS
from ...pool.state import MAX_ORDER_DELAY_SECONDS
from ...pool.tests.test_planning import JOB, TASK, Shares, task
from ...standin.workers import MemoryWorker, OrderFaults, RunPlan
from ...workers import HoldReply, ListedWorker, StartOrder, lease
from ...workers.lease import MIN_CLOCK_RATE, EarlierLease, WorkerLease
from ..owner import EARLIER_CALLS_SECONDS
from ..worker_client import MAX_UNRENEWED_CLAIM_SECONDS
from .test_daemons import run_scenario
from .test_inherited_leases import FIRST_LIFE_SECONDS as YOUNG_CLOCK_SECONDS
from .test_inherited_leases import RUN_SECONDS, observe, wait_until

EARLIER_TOKEN, TOKEN = 2, 3
LEASE_SECONDS, LONGEST_LEASE_SECONDS = 4.2, 10.0
#: age of a worker's first incarnation, longer than any lease, in seconds
FIRST_LIFE_SECONDS = 500.0
STEP_SECONDS = 0.01
#: time for which runs are watched after the worker was cut off, in seconds
WATCHED_SECONDS = 30.0


@attrs.define
class WorkerClock:
    """A worker's clock, which may be slow."""

    scene: "Scene"
    rate: float

    def now(self):
        return self.scene.now * self.rate


class Scene:
    """An owner's pool state and a worker; what the owner calls is answered at once."""

    def __init__(self, rate=1.0):
        self.now = 100.0
        listed = ListedWorker("w1", "desk", "w1:1", 1, Amount(4000, 8000))
        clock = WorkerClock(self, rate)
        self.truth = MemoryWorker(listed, clock, lambda order: RunPlan(math.inf, need=TASK))
        self.truth.max_lease_seconds = LONGEST_LEASE_SECONDS
        self.pool_state = PoolState("desk", TOKEN, 0.2, LONGEST_LEASE_SECONDS, LEASE_SECONDS)
        job = Job(JobKey("quotes", JOB), JobSpec("text", (Step(1, TASK),)), "desk")
        self.pool_state.add_job(job, 0.0, inherited=True)
        self.calls = []
        self.pass_time(FIRST_LIFE_SECONDS)
        # The owner has had the pool for long, unless a scenario tells otherwise.
        self.pool_state.earlier_calls_until = self.now - WATCHED_SECONDS

    @property
    def worker(self):
        return self.pool_state.workers["w1"]

    def pass_time(self, seconds):
        """Let time pass in one step."""
        self.now += seconds
        self.pool_state.scanned_at = self.now

    def enlist(self):
        """Let the owner see the entry of the worker's incarnation."""
        self.pool_state.update_listed_worker(self.truth.listed).in_roster = True

    def plan(self):
        """Return the orders of a planning round."""
        return plan_orders(self.pool_state, Shares(), self.now, self.now, PlanningLimits())

    def hold(self):
        """Send a hold as the owner's client does."""
        worker, until = self.worker, None
        if worker.reconciled and worker.lease.worker_seconds is not None:
            until = worker.lease.extend(self.now, LEASE_SECONDS)
        reply = self.truth.hold(TOKEN, worker.stored_through, until)
        process_hold_reply(self.pool_state, worker, reply, self.now, self.now)

    def start(self):
        """Start the task as the owner's client does."""
        [order] = self.plan()
        known = self.worker.lease
        until = known.extend(self.now, LEASE_SECONDS)
        least = known.min_worker_time(self.now)
        reply = self.truth.start(order, TOKEN, until)
        run = self.pool_state.runs[order.task]
        outcome, seconds = reply.outcome, reply.worker_seconds
        process_start_reply(self.pool_state, run, outcome, seconds, self.now, least)

    def call_later(self, seconds, call, *args):
        """Let a call arrive some time after the worker was cut off."""
        self.calls.append((self.now + seconds, call, args))

    def advance(self):
        """Let a moment pass, with the calls that arrive and the leases that lapse in it."""
        self.pass_time(STEP_SECONDS)
        for due in [each for each in self.calls if each[0] <= self.now]:
            self.calls.remove(due)
            due[1](*due[2])
        self.truth.advance()
        self.pool_state.expire_leases(self.now)

    def cut_off(self):
        """Return whether the task may start elsewhere while its run is on the worker."""
        until, is_dropped = self.now + WATCHED_SECONDS, False
        while self.now < until:
            self.advance()
            is_dropped |= task() not in self.pool_state.runs
            if is_dropped and task() in self.truth.runs:
                return True
        assert is_dropped, "the task was never started again"
        return False


def inherit_idle_worker(scene):
    """An earlier owner's call, meant for another incarnation, has given the longest lease."""
    scene.truth.restart()
    scene.pass_time(1.0)
    scene.truth.hold(EARLIER_TOKEN, 0, FIRST_LIFE_SECONDS)
    scene.pool_state.earlier_calls_until = scene.now + EARLIER_CALLS_SECONDS
    scene.enlist()
    scene.hold()
    scene.start()


def inherit_run(scene):
    """The worker runs the task under the longest lease that an earlier owner may have given."""
    order = StartOrder("w1", task(), 7, "text")
    scene.truth.start(order, EARLIER_TOKEN, math.inf)
    scene.enlist()
    scene.hold()
    scene.pass_time(1.0)
    scene.hold()


def inherit_on_slow_clock(scene):
    """The same as the first, on a worker with a slow clock."""
    inherit_idle_worker(scene)


def lose_worker(scene):
    """The worker is cut off right after a start."""
    scene.enlist()
    scene.hold()
    scene.start()


def answer_unseen(scene):
    """An incarnation of which the owner has not heard answers a start."""
    scene.enlist()
    scene.hold()
    scene.truth.restart()
    scene.pass_time(0.1)
    scene.start()


def answer_unseen_on_slow_clock(scene):
    """The same, on a worker with a slow clock."""
    answer_unseen(scene)


def renew_unseen(scene):
    """The same as the last but one, and a list of the incarnation before arrives last."""
    scene.enlist()
    scene.hold()
    late = scene.truth.hold(TOKEN, 0, None)
    answer_unseen(scene)
    process_hold_reply(scene.pool_state, scene.worker, late, scene.now, scene.now)


def call_next_incarnation(scene, late_seconds=0.5):
    """A hold for the incarnation before reaches the next one after its first list."""
    scene.enlist()
    scene.hold()
    scene.pass_time(0.5)
    scene.hold()
    until = scene.worker.lease.until_seconds
    scene.truth.restart()
    scene.enlist()
    scene.hold()
    scene.pass_time(late_seconds)
    scene.hold()
    scene.truth.hold(TOKEN, 0, until)
    scene.start()


def call_next_incarnation_late(scene):
    """The same, nearly as late as calls may be."""
    call_next_incarnation(scene, MAX_ORDER_DELAY_SECONDS - 1.0)


def call_second_next_incarnation(scene):
    """A hold reaches the incarnation after the next one; both have young clocks."""
    scene.enlist()
    scene.hold()
    scene.pass_time(0.5)
    scene.hold()
    until = scene.worker.lease.until_seconds
    for _ in range(2):
        scene.truth.restart()
        scene.enlist()
        scene.hold()
        scene.pass_time(0.5)
        scene.hold()
    scene.truth.hold(TOKEN, 0, until)
    scene.start()


def start_late_on_next_incarnation(scene):
    """A start without an answer reaches the next incarnation, which the owner can't call."""
    scene.enlist()
    scene.hold()
    [order] = scene.plan()
    until = scene.worker.lease.extend(scene.now, LEASE_SECONDS)
    scene.truth.restart()
    scene.enlist()
    late_seconds = MAX_ORDER_DELAY_SECONDS - 0.05
    scene.call_later(late_seconds, scene.truth.start, order, TOKEN, until)


def assume_nothing_at_first(monkeypatch):
    """The first list tells of the whole lease."""
    never = property(lambda self: -math.inf, lambda self, until: None)
    monkeypatch.setattr(PoolState, "earlier_calls_until", never, raising=False)


def assume_request(monkeypatch):
    """Others request no longer leases than this owner."""
    original = WorkerLease.assume_extended
    monkeypatch.setattr(
        WorkerLease,
        "assume_extended",
        lambda self, length_seconds: original(self, min(length_seconds, LEASE_SECONDS)),
    )


def adopt_without_lease(monkeypatch):
    """An adopted run has no lease beyond this owner's."""
    original = reconcile._adopt

    def adopt(pool_state, worker, listed_run, worker_seconds):
        before = worker.lease.until_seconds
        run = original(pool_state, worker, listed_run, worker_seconds)
        worker.lease.until_seconds = before
        return run

    monkeypatch.setattr(reconcile, "_adopt", adopt)


def shorten(monkeypatch):
    """The last extension counts, also if an earlier one was longer."""
    original = WorkerLease.extend

    def extend(self, now, length_seconds):
        self.until_seconds = original(self, now, length_seconds)
        return self.until_seconds

    monkeypatch.setattr(WorkerLease, "extend", extend)


def forget_unseen(monkeypatch):
    """A start's answer tells of no other incarnation."""
    monkeypatch.setattr(WorkerLease, "note_unseen", lambda self, now, length_seconds: None)


def take_clock_for_exact(monkeypatch):
    """Workers' clocks are not slow."""
    monkeypatch.setattr(lease, "MIN_CLOCK_RATE", 1.0)


def keep_first_arrival(monkeypatch):
    """Each reply arrives when the first one did."""
    original = WorkerLease.record_reply

    def record_reply(self, worker_seconds, now):
        known, arrived_at = self.worker_seconds is not None, self.received_at
        original(self, worker_seconds, now)
        self.received_at = arrived_at if known else now

    monkeypatch.setattr(WorkerLease, "record_reply", record_reply)


def take_late_lease_for_exact(monkeypatch):
    """Late calls give no slow clock a longer lease."""
    monkeypatch.setattr(state, "MIN_CLOCK_RATE", 1.0)


def forget_earlier(monkeypatch):
    """Calls to an earlier incarnation give the next one nothing."""
    monkeypatch.setattr(PoolState, "_note_earlier_lease", lambda self, worker: None)


def keep_last_earlier(monkeypatch):
    """Only calls to the incarnation right before count."""
    original = PoolState._note_earlier_lease

    def note(self, worker):
        self.earlier_leases.pop(worker.worker_id, None)
        original(self, worker)

    monkeypatch.setattr(PoolState, "_note_earlier_lease", note)


def take_earlier_for_lapsed(monkeypatch):
    """A lease that earlier calls give has lapsed at once."""
    monkeypatch.setattr(EarlierLease, "has_lapsed", lambda self, lease, now: True)


def expect_no_late_call(monkeypatch):
    """No call is carried out late."""
    monkeypatch.setattr(state, "MAX_ORDER_DELAY_SECONDS", 0.0)


#: scenarios, and the rate of the worker's clock in each
SCENARIOS = {
    inherit_idle_worker: 1.0,
    inherit_on_slow_clock: MIN_CLOCK_RATE,
    inherit_run: MIN_CLOCK_RATE,
    lose_worker: MIN_CLOCK_RATE,
    answer_unseen: 1.0,
    answer_unseen_on_slow_clock: MIN_CLOCK_RATE,
    renew_unseen: 1.0,
    call_next_incarnation: 1.0,
    call_next_incarnation_late: 1.0,
    call_second_next_incarnation: 1.0,
    start_late_on_next_incarnation: MIN_CLOCK_RATE,
}

#: unsafe changes of an assumption, with a scenario that tells each from the code
MUTANTS = [
    (assume_nothing_at_first, inherit_idle_worker),
    (assume_request, inherit_idle_worker),
    (assume_request, inherit_run),
    (adopt_without_lease, inherit_run),
    (shorten, inherit_idle_worker),
    (shorten, inherit_run),
    (forget_unseen, answer_unseen),
    (forget_unseen, renew_unseen),
    (take_clock_for_exact, lose_worker),
    (take_clock_for_exact, inherit_on_slow_clock),
    (take_clock_for_exact, answer_unseen_on_slow_clock),
    (keep_first_arrival, inherit_run),
    (take_late_lease_for_exact, start_late_on_next_incarnation),
    (forget_earlier, call_next_incarnation),
    (take_earlier_for_lapsed, call_next_incarnation),
    (keep_last_earlier, call_second_next_incarnation),
    (expect_no_late_call, call_next_incarnation_late),
    (expect_no_late_call, start_late_on_next_incarnation),
]


def runs_twice(scenario):
    scene = Scene(SCENARIOS[scenario])
    scenario(scene)
    return scene.cut_off()


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.__name__)
def test_no_task_starts_elsewhere_while_its_run_may_live(scenario):
    assert_that(runs_twice(scenario), Equals(False))


@pytest.mark.parametrize(("mutate", "scenario"), MUTANTS, ids=lambda each: each.__name__)
def test_without_one_of_the_assumptions_a_task_runs_twice(monkeypatch, mutate, scenario):
    mutate(monkeypatch)
    assert_that(runs_twice(scenario), Equals(True))


def test_the_lease_of_a_start_that_an_unseen_incarnation_leaves_unanswered_counts():
    """The start is not late; the worker is cut off before anything tells of its restart."""

    async def scenario(deployment):
        fleet = deployment.fleet
        faults = fleet.workers.faults = OrderFaults(fleet.tasks, random.Random(1))
        monitor, start, sent = observe(fleet), fleet.workers.start, []
        await anyio.sleep(YOUNG_CLOCK_SECONDS)
        [(name, worker)] = [
            item for item in fleet.workers.workers.items() if item[0].startswith("desk")
        ]

        async def restart_first(listed, order, token, until):
            if not sent:
                worker.restart()
                faults.mute.add(name)
            sent.append(token)
            return await start(listed, order, token, until)

        fleet.workers.start = restart_first
        spec = JobSpec(str(RUN_SECONDS), (Step(1, TASK, RUN_SECONDS),))
        await deployment.submit("desk", spec)
        await wait_until(lambda: worker.runs)
        faults.unreachable.add(name)
        fleet.vms.add("desk-1", "desk", "r1")
        await anyio.sleep(WATCHED_SECONDS)
        return [str(finding) for finding in monitor.findings]

    assert_that(run_scenario(scenario, vms=1, moves=False), Equals([]))


def test_a_lease_that_the_last_late_call_of_an_earlier_owner_gives_counts():
    """The worker first answers its new owner after the time for which such calls may be late."""
    scene = Scene()
    scene.truth.restart()
    scene.pool_state.earlier_calls_until = scene.now + EARLIER_CALLS_SECONDS
    scene.pass_time(MAX_UNRENEWED_CLAIM_SECONDS + MAX_ORDER_DELAY_SECONDS - 0.1)
    scene.truth.hold(EARLIER_TOKEN, 0, FIRST_LIFE_SECONDS)
    scene.pass_time(0.5)
    scene.enlist()
    scene.hold()
    scene.start()
    assert_that(scene.cut_off(), Equals(False))


def test_a_worker_that_never_answers_is_given_up_once_no_late_hold_keeps_its_runs():
    """A hold for the incarnation before reaches the one with the run; no start is late."""
    scene = Scene()
    scene.truth.restart()
    scene.pool_state.unreconciled_workers = {
        "w1": scene.now + CLAIM_SECONDS + MAX_UNRENEWED_CLAIM_SECONDS / MIN_CLOCK_RATE
    }
    order = StartOrder("w1", task(), 7, "text")
    scene.truth.start(order, EARLIER_TOKEN, MAX_UNRENEWED_CLAIM_SECONDS)
    last = scene.truth.time() + MAX_UNRENEWED_CLAIM_SECONDS
    scene.call_later(5.0, scene.truth.hold, EARLIER_TOKEN, 0, last)
    scene.call_later(10.9, scene.truth.hold, EARLIER_TOKEN, 0, FIRST_LIFE_SECONDS)
    idle = ListedWorker("w2", "desk", "w2:1", 1, Amount(4000, 8000))
    worker = scene.pool_state.update_listed_worker(idle)
    worker.in_roster = True
    orders = []
    while task() in scene.truth.runs and not orders:
        scene.advance()
        process_hold_reply(scene.pool_state, worker, HoldReply(scene.now, 1), scene.now, scene.now)
        orders += scene.plan()
    assert_that(orders, Equals([]))
