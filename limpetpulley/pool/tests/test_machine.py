"""A pool's owner against workers, crashes and lost answers, as a state machine.

The store is two dictionaries that are written as the owner's writer would. At any moment the owner
may be lost, a new one takes over from what is stored and from what workers list; answers are lost
and orders are carried out late or twice.
"""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ...batch import Amount, EndKind, Job, JobKey, JobSpec, JobState, Step
from ...batch.records import decode_job, encode_description, encode_progress
from ...clock import ManualClock
from ...exception import NotOwnerError, WorkerError
from ...standin.workers import MemoryWorker, TaskPlan
from ...workers import ListedWorker, StartOrder, StopOrder
from .. import PlanningLimits, PoolState, requeue_speculative_tasks, plan_orders

LEASE_SECONDS = 4.0
LONGEST_HOLD_SECONDS = 5.0
STOP_SECONDS = 0.2
CAPACITY = Amount(4, 4, 0)


class NoShares:
    """No team has a limit."""

    def allows(self, team, running, more):
        return True


@attrs.define
class Late:
    """An order that is on its way to a worker."""

    worker_id: str
    order: object
    token: int
    until: float


class OwnedPool(RuleBasedStateMachine):
    """Two workers, jobs of two steps, owners that come and go."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100.0)
        self.token = 0
        self.count = 0
        self.seed = 0
        self.descriptions = {}
        self.progress = {}
        self.late = []
        self.done_runs = {}
        self.accepted = []
        self.workers = {
            name: MemoryWorker(
                ListedWorker(name, "desk", f"{name}:1", 1, CAPACITY),
                self.clock,
                self.decide,
                self.note_started,
                LONGEST_HOLD_SECONDS,
            )
            for name in ("w1", "w2")
        }
        self.begin_owner()

    # What happens to runs

    def decide(self, order):
        job = self.read_job(order.task.job_id)
        self.seed += 1
        failed = self.seed % 7 == 0
        return TaskPlan(
            0.3 + 0.3 * (self.seed % 4),
            EndKind.FAILED if failed else EndKind.DONE,
            job.step_of(order.task).charge,
        )

    def note_started(self, worker_id, order):
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

    def begin_owner(self):
        self.token += 1
        self.book = PoolState("desk", self.token, STOP_SECONDS, LONGEST_HOLD_SECONDS, LEASE_SECONDS)
        for job_id in self.descriptions:
            self.book.add_job(self.read_job(job_id), 0.0, inherited=True)
        for worker in self.workers.values():
            self.book.update_listed_worker(worker.listed).rostered = True
        if self.book.inherited:
            until = self.clock.now() + 2 * LONGEST_HOLD_SECONDS
            self.book.unreconciled_workers = dict.fromkeys(self.workers, until)

    def flush(self):
        jobs = self.book.unstored_jobs()
        versions = {job.key.job_id: self.book.progress.newest[job.key.job_id] for job in jobs}
        for job in jobs:
            self.progress[job.key.job_id] = encode_progress(job)
        self.book.mark_stored(versions)

    def hold(self, name, answered):
        worker = self.book.workers[name]
        now = self.clock.now()
        until = None
        if worker.reconciled and worker.lease.worker_seconds is not None:
            until = worker.lease.extend(now, LEASE_SECONDS)
        try:
            reply = self.workers[name].look(self.token, worker.stored_through, until)
        except (WorkerError, NotOwnerError):
            return
        if answered:
            self.book.process_hold_reply(worker, reply, now, now)

    def carry(self, late):
        worker = self.workers[late.worker_id]
        try:
            if isinstance(late.order, StartOrder):
                return worker.start(late.order, late.token, late.until)
            if isinstance(late.order, StopOrder):
                return worker.stop(late.order, late.token)
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
        self.book.add_job(job, 0.0)
        self.accepted.append(job_id)

    @rule(fates=st.lists(st.sampled_from(["ok", "lost-answer", "late", "doubled"]), max_size=8))
    def plan(self, fates):
        self.plan_once(fates)

    def plan_once(self, fates):
        now = self.clock.now()
        orders = plan_orders(self.book, NoShares(), now, now, PlanningLimits())
        for number, order in enumerate(orders):
            fate = fates[number] if number < len(fates) else "ok"
            worker = self.book.workers[order.worker_id]
            if worker.lease.worker_seconds is None:
                continue
            late = Late(
                order.worker_id,
                order,
                self.token,
                worker.lease.extend(now, LEASE_SECONDS),
            )
            if fate == "late":
                self.late.append(late)
                continue
            answer = self.carry(late)
            if fate == "doubled":
                self.late.append(late)
            if answer is None or fate in ("lost-answer", "doubled"):
                continue
            if isinstance(order, StartOrder):
                run = self.book.runs.get(order.task)
                if run is not None and run.number == order.number:
                    self.book.process_start_reply(run, answer.outcome, answer.worker_seconds, now)
            else:
                self.book.process_stop_reply(order, answer, now)

    @rule(name=st.sampled_from(["w1", "w2"]), answered=st.booleans())
    def hold_worker(self, name, answered):
        self.hold(name, answered)

    @rule()
    def store(self):
        self.flush()

    @rule()
    def deliver_late(self):
        if self.late:
            self.carry(self.late.pop(0))

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.0, 3.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @rule(name=st.sampled_from(["w1", "w2"]))
    def miss_an_answer(self, name):
        worker = self.book.workers[name]
        worker.silent = True
        requeue_speculative_tasks(self.book, worker)

    @invariant()
    def use_is_what_the_workers_hold(self):
        held = Amount()
        for worker in self.book.workers.values():
            for run in worker.runs.values():
                held = held + run.charge
        assert self.book.usage.get("", Amount()) == held

    @rule()
    def lose_owner(self):
        self.begin_owner()

    @rule(name=st.sampled_from(["w1", "w2"]), seen=st.booleans())
    def crash_worker(self, name, seen):
        self.workers[name].restart()
        if seen:
            self.book.update_listed_worker(self.workers[name].listed)

    @rule(name=st.sampled_from(["w1", "w2"]), alive=st.booleans())
    def cut_worker(self, name, alive):
        self.workers[name].alive = alive

    @invariant()
    def rooms_hold(self):
        for worker in self.workers.values():
            assert worker.used().fits(CAPACITY)

    @invariant()
    def stored_jobs_are_known(self):
        assert set(self.accepted) <= set(self.book.jobs)

    def teardown(self):
        """With no more trouble, every accepted job ends, and each end is acknowledged."""
        for worker in self.workers.values():
            worker.alive = True
            self.book.update_listed_worker(worker.listed)
        self.late.clear()
        for _ in range(600):
            for name in self.workers:
                self.hold(name, True)
            self.flush()
            self.plan_once([])
            self.clock.advance(0.25)
            if self.ended():
                break
        for _ in range(40):
            for name in self.workers:
                self.hold(name, True)
            self.plan_once([])
            self.clock.advance(0.25)
        left = [run for worker in self.book.workers.values() for run in worker.runs.values()]
        assert not left, f"{left} are never forgotten"
        assert self.ended(), {job.key.job_id: job.state for job in self.book.jobs.values()}
        for name, worker in self.workers.items():
            self.hold(name, True)
            assert not worker.ended, f"{name} keeps ends that were never acknowledged"

    def ended(self):
        return all(
            self.read_job(job_id).state is JobState.COMPLETED for job_id in self.accepted
        ) and not any(worker.runs or worker.ended for worker in self.workers.values())


TestOwnedPool = OwnedPool.TestCase
TestOwnedPool.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
