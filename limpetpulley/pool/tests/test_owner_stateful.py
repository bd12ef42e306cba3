"""Stateful test of a pool's owner with failing workers, takeovers and lost replies.

The store is two dictionaries, written the way the owner's writer does. The owner may be lost at any
moment; a new one takes over from the stored records and from what workers list. Replies may be lost
and orders may be executed late or twice.
"""

import math

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, JobState, Step
from ...batch.records import decode_job, encode_description, encode_progress
from ...clock import ManualClock
from ...exception import NotOwnerError, WorkerError
from ...standin.workers import MemoryWorker, RunPlan
from ...workers import ListedWorker, StartOrder, StopOrder
from .. import (
    PlanningLimits,
    PoolState,
    plan_orders,
    process_hold_reply,
    process_start_reply,
    process_stop_reply,
    requeue_speculative_tasks,
)

LEASE_SECONDS = 4.0
LONGEST_HOLD_SECONDS = 5.0
STOP_SECONDS = 0.2
CAPACITY = Amount(4, 4, 0)


class UnlimitedShares:
    """Shares without a limit for any team."""

    def allows(self, team, running, more):
        return True


@attrs.define
class PendingOrder:
    """An order that a worker has not received yet."""

    worker_id: str
    order: object
    token: int
    until: float


class OwnedPool(RuleBasedStateMachine):
    """Two workers, jobs of two steps, and owners that are replaced."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100.0)
        self.token = 0
        self.count = 0
        self.seed = 0
        self.descriptions = {}
        self.progress = {}
        self.delayed_orders = []
        self.done_runs = {}
        self.accepted = []
        self.workers = {
            name: MemoryWorker(
                ListedWorker(name, "desk", f"{name}:1", 1, CAPACITY),
                self.clock,
                self.plan_task,
                self.check_start,
                LONGEST_HOLD_SECONDS,
            )
            for name in ("w1", "w2")
        }
        self.start_owner()

    # Runs on the workers

    def plan_task(self, order):
        job = self.read_job(order.task.job_id)
        self.seed += 1
        failed = self.seed % 7 == 0
        return RunPlan(
            0.3 + 0.3 * (self.seed % 4),
            EndKind.FAILED if failed else EndKind.DONE,
            job.step_of(order.task).charge,
        )

    def check_start(self, worker_id, order):
        for worker in self.workers.values():
            worker.advance()
        holders = [name for name, worker in self.workers.items() if order.task in worker.runs]
        if self.read_job(order.task.job_id).step_of(order.task).speculative:
            return
        assert holders == [worker_id], f"{order.task} runs on {holders}"
        job = self.read_job(order.task.job_id)
        assert order.task not in job.done, f"{order.task} runs again after its end was stored"

    def read_job(self, job_id):
        key = JobKey("quotes", job_id)
        return decode_job(key, self.descriptions[job_id], self.progress.get(job_id))

    # The owner

    def start_owner(self):
        self.token += 1
        self.pool_state = PoolState(
            "desk",
            self.token,
            STOP_SECONDS,
            LONGEST_HOLD_SECONDS,
            LEASE_SECONDS,
            self.note_event,
        )
        # Workers whose lease has lapsed since their last reply: their tasks may start elsewhere
        # although they have ended there.
        self.lapsed = set()
        for job_id in self.descriptions:
            self.pool_state.add_job(self.read_job(job_id), 0.0, inherited=True)
        for worker in self.workers.values():
            self.pool_state.update_listed_worker(worker.listed).in_roster = True
        if self.pool_state.inherited:
            until = self.clock.now() + 2 * LONGEST_HOLD_SECONDS
            self.pool_state.unreconciled_workers = dict.fromkeys(self.workers, until)

    def note_event(self, change):
        if change.detail == "lease-lapsed":
            self.lapsed.add(change.worker_id)

    def flush(self):
        jobs = self.pool_state.unstored_jobs()
        versions = {job.key.job_id: self.pool_state.progress.newest[job.key.job_id] for job in jobs}
        for job in jobs:
            self.progress[job.key.job_id] = encode_progress(job)
        self.pool_state.mark_stored(versions)

    def hold(self, name, answered):
        worker = self.pool_state.workers[name]
        now = self.clock.now()
        until = None
        if worker.reconciled and worker.lease.worker_seconds is not None:
            until = worker.lease.extend(now, LEASE_SECONDS)
        self.check_ends_are_stored(name, worker.stored_through)
        try:
            reply = self.workers[name].hold(self.token, worker.stored_through, until)
        except (WorkerError, NotOwnerError):
            return
        if answered:
            process_hold_reply(self.pool_state, worker, reply, now, now)
            self.lapsed.discard(name)

    def check_ends_are_stored(self, name, through):
        """Check that each end `done` up to a position is part of the stored progress."""
        worker = self.pool_state.workers[name]
        if self.workers[name].listed.incarnation != worker.listed.incarnation:
            return
        for end in self.workers[name].ended:
            job = self.read_job(end.task.job_id)
            if end.position <= through and end.kind is EndKind.DONE:
                assert end.task in job.done, f"{end} is in no other record"

    def deliver(self, pending_order):
        worker = self.workers[pending_order.worker_id]
        try:
            if isinstance(pending_order.order, StartOrder):
                return worker.start(pending_order.order, pending_order.token, pending_order.until)
            if isinstance(pending_order.order, StopOrder):
                return worker.stop(pending_order.order, pending_order.token)
        except (WorkerError, NotOwnerError):
            return None
        return None

    @rule()
    def submit(self):
        self.count += 1
        job_id = f"{self.count:016x}"
        step = Step(2, Amount(1, 1, 0), speculative=self.count % 3 == 0)
        spec = JobSpec("", (step, attrs.evolve(step, count=1, after=(0,))))
        job = Job(JobKey("quotes", job_id), spec, "desk", "", 50, due_by=self.clock.now())
        self.descriptions[job_id] = encode_description(job)
        self.pool_state.add_job(job, 0.0)
        self.accepted.append(job_id)

    @rule(
        deliveries=st.lists(st.sampled_from(["ok", "lost-answer", "late", "doubled"]), max_size=8)
    )
    def plan(self, deliveries):
        self.plan_once(deliveries)

    def plan_once(self, deliveries):
        now = self.clock.now()
        orders = plan_orders(self.pool_state, UnlimitedShares(), now, now, PlanningLimits())
        for number, order in enumerate(orders):
            delivery = deliveries[number] if number < len(deliveries) else "ok"
            worker = self.pool_state.workers[order.worker_id]
            if worker.lease.worker_seconds is None:
                continue
            pending_order = PendingOrder(
                order.worker_id,
                order,
                self.token,
                worker.lease.extend(now, LEASE_SECONDS),
            )
            if delivery == "late":
                self.delayed_orders.append(pending_order)
                continue
            answer = self.deliver(pending_order)
            if delivery == "doubled":
                self.delayed_orders.append(pending_order)
            if answer is None or delivery in ("lost-answer", "doubled"):
                continue
            if isinstance(order, StartOrder):
                run = self.pool_state.runs.get(order.task)
                if run is not None and run.number == order.number:
                    process_start_reply(
                        self.pool_state, run, answer.outcome, answer.worker_seconds, now
                    )
            else:
                process_stop_reply(self.pool_state, order, answer, now)

    @rule(name=st.sampled_from(["w1", "w2"]), answered=st.booleans())
    def hold_worker(self, name, answered):
        self.hold(name, answered)

    @rule()
    def store(self):
        self.flush()

    @rule()
    def deliver_late(self):
        if self.delayed_orders:
            self.deliver(self.delayed_orders.pop(0))

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 3.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(name=st.sampled_from(["w1", "w2"]))
    def lose_replies(self, name):
        worker = self.pool_state.workers[name]
        worker.silent = True
        requeue_speculative_tasks(self.pool_state, worker)

    @invariant()
    def usage_equals_the_charges_of_all_runs(self):
        used = Amount()
        for worker in self.pool_state.workers.values():
            for run in worker.runs.values():
                used = used + run.charge
        assert self.pool_state.usage.get("", Amount()) == used

    @rule()
    def lose_owner(self):
        self.start_owner()

    @rule(name=st.sampled_from(["w1", "w2"]), seen=st.booleans())
    def restart_worker(self, name, seen):
        self.workers[name].restart()
        if seen:
            self.pool_state.update_listed_worker(self.workers[name].listed)

    @rule(name=st.sampled_from(["w1", "w2"]))
    def list_worker(self, name):
        self.pool_state.update_listed_worker(self.workers[name].listed)

    @rule(name=st.sampled_from(["w1", "w2"]), alive=st.booleans())
    def set_worker_reachable(self, name, alive):
        self.workers[name].alive = alive

    @invariant()
    def workers_that_may_be_taken_have_no_other_record_of_an_end(self):
        for name, worker in self.pool_state.workers.items():
            known = worker.reconciled and name not in self.lapsed
            if known and worker.ends_stored and not worker.runs:
                self.check_ends_are_stored(name, math.inf)

    @invariant()
    def workers_are_not_overcommitted(self):
        for worker in self.workers.values():
            assert worker.used().fits(CAPACITY)

    @invariant()
    def accepted_jobs_are_in_the_pool_state(self):
        assert set(self.accepted) <= set(self.pool_state.jobs)

    def teardown(self):
        """Without further failures, every accepted job ends and every end is acknowledged."""
        for worker in self.workers.values():
            worker.alive = True
            self.pool_state.update_listed_worker(worker.listed)
        self.delayed_orders.clear()
        for _ in range(600):
            for name in self.workers:
                self.hold(name, True)
            self.flush()
            self.plan_once([])
            self.clock.advance(0.25)
            if self.all_jobs_ended():
                break
        for _ in range(40):
            for name in self.workers:
                self.hold(name, True)
            self.plan_once([])
            self.clock.advance(0.25)
        remaining_runs = [
            run for worker in self.pool_state.workers.values() for run in worker.runs.values()
        ]
        assert not remaining_runs, f"{remaining_runs} are never removed"
        assert self.all_jobs_ended(), {
            job.key.job_id: job.state for job in self.pool_state.jobs.values()
        }
        for name, worker in self.workers.items():
            self.hold(name, True)
            assert not worker.ended, f"{name} still lists ends that were never acknowledged"

    def all_jobs_ended(self):
        return all(
            self.read_job(job_id).state is JobState.COMPLETED for job_id in self.accepted
        ) and not any(worker.runs or worker.ended for worker in self.workers.values())


class LastingWorkers(OwnedPool):
    """Workers that don't restart, are unlisted at times and work while nothing is stored."""

    restart_worker = None

    @rule(rounds=st.integers(1, 6))
    def work(self, rounds):
        """Let the owner and the workers work undisturbed, while nothing is stored."""
        for _ in range(rounds):
            for name in self.workers:
                self.hold(name, True)
            self.plan_once([])
            self.clock.advance(0.3)

    @rule(name=st.sampled_from(["w1", "w2"]))
    def unlist_and_list_worker(self, name):
        """Unlist a worker, as after an outage in which its entry expired, and list it again."""
        self.pool_state.mark_unlisted(name)
        self.pool_state.expire_leases(self.clock.now())
        self.pool_state.update_listed_worker(self.workers[name].listed).in_roster = True


TestOwnedPool = OwnedPool.TestCase
TestOwnedPool.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestLastingWorkers = LastingWorkers.TestCase
TestLastingWorkers.settings = TestOwnedPool.settings
