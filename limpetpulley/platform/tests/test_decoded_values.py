"""Whatever a decoder lets through can be used by what comes after it."""

import asyncio
import json
import os
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from ...address import Address
from ...api.batches import validate_spec
from ...batch import (
    AdviceConfig,
    Amount,
    EndKind,
    Job,
    JobKey,
    JobSpec,
    QueueConfig,
    Step,
    TaskId,
)
from ...batch.keys import BatchKeys
from ...batch.records import (
    RosterEntry,
    decode_job,
    decode_roster,
    decode_shares,
    decode_spec,
    encode_description,
    encode_progress,
    encode_roster,
    encode_spec,
)
from ...clock import ManualClock
from ...exception import AdviceError, NotOwnerError, RecordError, WorkerError
from ...fleet.peak_forecast import Peak, PeakForecaster
from ...fleet.planner_record import (
    OrderIntent,
    PlannerRecord,
    decode_planner_record,
    encode_planner_record,
)
from ...http_client import PooledHttpClient
from ...ownership import DaemonContext, Submission, Timing
from ...ownership.admission import AdmissionController
from ...ownership.directory import decode_member
from ...ownership.intents import IntentLog
from ...ownership.reporting import PoolReporter, RefusedWork
from ...ownership.roster import WorkerRoster
from ...ownership.unknown_cancels import UnknownCancels, decode_cancels, encode_cancels
from ...peer import batch_pb2 as pb
from ...pool import PoolState, process_hold_reply, process_start_reply, process_stop_reply
from ...pool.planning import PlanningLimits, plan_orders
from ...pool.queue_forecast import demand_by_team
from ...pool.tickets import TicketRequest
from ...quota.shares import ShareRecord, TeamShares
from ...scheduling.arrivals import ArrivalEstimator
from ...store import MemoryStore
from ...telemetry import EventLog
from ...tests.test_address import UnconnectedLoop
from ...workers import (
    EndedRun,
    HoldReply,
    ListedRun,
    ListedWorker,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from ...workers.wire import CONVERTER, HttpOrderSender, decode_listed
from ..advice import PlatformAdviser
from ..callers import decode_job_spec
from ..config import decode_config
from ..workers import PlatformOrderSender, decode_worker
from .odd_documents import MAX, CannedHttpClient, odd_documents, run_on
from .test_decode import WORKER

EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True)
WALL_TIME = 1.7e9
TASK = Amount(1000, 1000)
JOB_ID = "5c0e7a21d94b36f8"
TASKS = [TaskId(JOB_ID, 0, 0, 0), TaskId(JOB_ID, 0, 0, 1), TaskId(JOB_ID, 0, 1, 0)]
QUEUE = QueueConfig("quotes", "host", "/quotes/", "desk", stretch=2.0, latency_target_seconds=1.0)
ADDRESS = Address("127.0.0.1:80")
SENDERS = [PlatformOrderSender, HttpOrderSender]


def sound_job(job_id=JOB_ID):
    steps = (Step(2, TASK, 0.3, checkpoints=True), Step(1, TASK, 0.3, after=(0,), lasting=True))
    return Job(JobKey("quotes", job_id), JobSpec("x", steps), "desk", "agents", 2, WALL_TIME)


class Pool:
    """The parts of an owner that use what was decoded."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY))
        self.state = PoolState("desk", 3, 0.2, 10.0, 5.0, lambda event: None)
        self.shares = TeamShares("desk")
        self.shares.set_limits({"agents": Amount(64_000)})
        self.shares.records = {"agents": ShareRecord(1, {"desk": (64_000, 0, 0)})}
        self.context = DaemonContext(
            MemoryStore(self.clock),
            BatchKeys("lp/"),
            None,
            self.clock,
            self.log,
            Timing(),
            None,
            lambda: WALL_TIME + self.clock.now(),
        )
        self.roster = WorkerRoster(self.context, self.state, None, lambda: None)
        self.refused = RefusedWork()
        self.arriving = ArrivalEstimator()
        self.reporter = PoolReporter(
            self.context,
            self.state,
            self.refused,
            self.arriving,
            self.roster,
            None,
            lambda: None,
        )
        self.admission = AdmissionController(
            self.context,
            self.state,
            self.shares,
            None,
            self.refused,
            self.arriving,
            lambda: None,
            UnknownCancels(self.context, "desk", None),
        )

    def close(self):
        self.log.flush()
        os.close(self.log.descriptor)

    def add_worker(self, listed):
        worker = self.state.update_listed_worker(listed)
        self.answer(worker, HoldReply(self.clock.now(), listed.incarnation))
        return worker

    def answer(self, worker, reply):
        process_hold_reply(self.state, worker, reply, self.clock.now(), self.context.wall_time())
        worker.in_roster = True

    def answer_as_sound_workers(self):
        for worker in list(self.state.workers.values()):
            if worker.worker_id.startswith("sound"):
                runs = tuple(ListedRun(run.task, run.number) for run in worker.runs.values())
                self.answer(worker, HoldReply(self.clock.now(), worker.listed.incarnation, runs))

    def use(self):
        """Plan, send, report and store for a while; return the orders."""
        sent = []
        for _ in range(4):
            self.state.claim_guard.pending.clear()
            self.answer_as_sound_workers()
            orders = plan_orders(
                self.state,
                self.shares,
                self.clock.now(),
                self.context.wall_time(),
                PlanningLimits(),
            )
            sent += orders
            for sender in SENDERS:
                self.send(sender(CannedHttpClient()), orders)
            self.report()
            self.clock.advance(0.6)
        return sent

    def send(self, sender, orders):
        async def run():
            for order in orders:
                worker = self.state.workers.get(order.worker_id)
                if worker is None:
                    continue
                until = 0.0
                if isinstance(order, StartOrder) and worker.lease.worker_seconds is not None:
                    until = worker.lease.extend(self.clock.now(), 4.0)
                await call_all(sender, worker.listed, order, until)
            for worker in self.state.workers.values():
                until = worker.lease.until_seconds
                await tolerate(sender.hold(worker.listed, 3, worker.stored_through, until, 0.5))

        run_on(asyncio.SelectorEventLoop(), run)

    def report(self):
        report = self.reporter.build_report()
        pb.PoolReport.FromString(report.SerializeToString())
        self.shares.plan(self.state.usage, demand_by_team(self.state))
        for job in self.state.jobs.values():
            progress = encode_progress(job)
            again = decode_job(job.key, encode_description(job), progress)
            assert (again.spec, again.state, encode_progress(again)) == (
                job.spec,
                job.state,
                progress,
            )
            pb.StateReply(outcome=pb.ACCEPTED, state=job.state)
        for worker in self.state.workers.values():
            self.log.write("worker", life=worker.listed.incarnation, worker=worker.worker_id)

    def assess(self, spec):
        submission = Submission(QUEUE, "00000000000000ff", spec, "agents", 0.1)
        job = self.admission._make_job(JobKey("quotes", submission.job_id), submission)
        self.admission._slack_seconds(job)
        verdict = self.admission.assess(job, submission)
        self.admission._log_verdict(submission, verdict)
        pb.SubmitReply(retry_seconds=verdict.retry_seconds)
        return job, verdict


async def tolerate(call):
    """Await a call to a worker, which may fail as its interface names it."""
    try:
        return await call
    except (WorkerError, NotOwnerError):
        return None


async def call_all(sender, listed, order, until):
    if isinstance(order, StartOrder):
        await tolerate(sender.start(listed, order, 3, until))
    elif isinstance(order, StopOrder):
        await tolerate(sender.stop(listed, order, 3))
    else:
        await tolerate(sender.pace(listed, order, 3))


def decode(function, *args):
    """Return what a decoder returns, None if it refuses."""
    try:
        return function(*args)
    except RecordError:
        return None


def use_pool(prepare, sound_workers=3):
    """Use a pool with a sound job, and what is added to it; the sound job's tasks are started."""
    pool = Pool()
    try:
        for number in range(sound_workers):
            pool.add_worker(
                ListedWorker(f"sound-{number}", "desk", ADDRESS, 1, Amount(8000, 8000), "vm")
            )
        prepare(pool)
        pool.state.add_job(sound_job("00000000000000aa"), WALL_TIME)
        orders = pool.use()
        sound = {order.task for order in orders if order.task.job_id == "00000000000000aa"}
        assert len(sound) >= 2
    finally:
        pool.close()


# Workers


LISTED = ListedWorker("i-1", "desk", ADDRESS, 5, Amount(16000, 32768), "m-1", "r1")
NATIVE_WORKER = CONVERTER.unstructure(LISTED)
WORKER_IDS = st.sampled_from(["i-1", "", "a b", "a\r\nX: y", "ä", "😀", "a/b", "x" * 3000])


def use_worker(listed):
    """Use an entry beside a sound worker, and call its address with the real client."""

    def prepare(pool):
        pool.add_worker(listed)
        entries = {listed.worker_id: RosterEntry(listed.address, listed.vm, listed.incarnation)}
        pool.roster.adopt(decode_roster(b"{}"))
        assert decode_roster(encode_roster(entries)) == entries

    use_pool(prepare)
    order = StartOrder(listed.worker_id, TASKS[0], 1, "x")

    async def run():
        for sender in SENDERS:
            await call_all(sender(PooledHttpClient()), listed, order, 60.0)

    run_on(UnconnectedLoop(), run)


@EXAMPLES
@given(value=odd_documents(WORKER), worker_id=WORKER_IDS)
def test_worker_of_the_platform_can_be_used(value, worker_id):
    listed = decode(decode_worker, f"servers/{worker_id}", value)
    if listed is not None:
        use_worker(listed)


@EXAMPLES
@given(value=odd_documents(NATIVE_WORKER))
def test_worker_of_the_own_protocol_can_be_used(value):
    listed = decode(decode_listed, "servers/i-1", value)
    if listed is not None:
        use_worker(listed)


# Replies of workers


HOLD = {
    "clockMs": 60_000,
    "born": 5,
    "running": [[f"{JOB_ID}.0.0.0", 2, "", 41, 7], [f"{JOB_ID}.0.1.0", 3, "c", 100, 7]],
    "finished": [[58, f"{JOB_ID}.0.0.1", 1, "failed", "c"], [59, "b.0.0.0", 1, "done", ""]],
}
NATIVE_HOLD = CONVERTER.unstructure(
    HoldReply(
        60.0,
        5,
        (ListedRun(TASKS[0], 2, "c", 41, 0.1), ListedRun(TASKS[2], 3)),
        (EndedRun(58, TASKS[1], 1, EndKind.FAILED, "c"), EndedRun(59, TASKS[0], 1, EndKind.DONE)),
    )
)


def use_replies(sender, hold, order):
    """Apply the same odd reply to holds and orders of one worker, beside a sound one."""

    def prepare(pool):
        worker = pool.add_worker(LISTED)
        pool.state.add_job(sound_job(), WALL_TIME, inherited=True)
        for order_, content in [(None, hold), *((each, order) for each in pool.use())]:
            client = sender(CannedHttpClient(content))
            apply_reply(pool, worker, client, order_)
            pool.clock.advance(0.2)
        for _ in range(2):
            apply_reply(pool, worker, sender(CannedHttpClient(hold)), None)

    use_pool(prepare)


def apply_reply(pool, worker, sender, order):
    async def run():
        now = pool.clock.now()
        if order is None:
            reply = await tolerate(sender.hold(worker.listed, 3, worker.stored_through, None, 0.0))
            if reply is not None:
                pool.answer(worker, reply)
        elif isinstance(order, StartOrder):
            reply = await tolerate(sender.start(worker.listed, order, 3, 60.0))
            run = pool.state.runs.get(order.task)
            if reply is not None and run is not None:
                process_start_reply(pool.state, run, reply.outcome, reply.worker_seconds, now)
        else:
            send = sender.stop if isinstance(order, StopOrder) else sender.pace
            seconds = await tolerate(send(worker.listed, order, 3))
            if seconds is not None and isinstance(order, StopOrder):
                process_stop_reply(pool.state, order, seconds, now)

    run_on(asyncio.SelectorEventLoop(), run)


@EXAMPLES
@given(hold=odd_documents(HOLD), order=odd_documents({"clockMs": 60_000, "reason": "late"}))
def test_reply_of_the_platforms_worker_can_be_used(hold, order):
    use_replies(PlatformOrderSender, hold, order)


@EXAMPLES
@given(
    hold=odd_documents(NATIVE_HOLD),
    order=odd_documents({"outcome": "started", "worker_seconds": 60.0}),
)
def test_reply_of_the_own_protocol_can_be_used(hold, order):
    use_replies(HttpOrderSender, hold, order)


# Jobs


PLATFORM_JOB = {
    "spec": "x",
    "repeatCount": 0,
    "firstMs": 0,
    "intervalMs": 0,
    "phases": [
        {"count": 2, "cpu": 1000, "memMb": 100, "gpu": 0, "estimateMs": 300, "checkpointing": True},
        {
            "count": 2,
            "cpu": 1000,
            "memMb": 100,
            "estimateMs": 300,
            "after": [0],
            "gang": False,
            "sameRack": False,
            "antiAffinity": 1,
            "speculative": True,
            "longRunning": False,
            "targetMs": 0,
            "mayMiss": 1,
            "fills": False,
            "constraints": "",
            "affinity": "",
            "image": "",
        },
    ],
}
PLATFORM_LASTING_JOB = {
    "spec": "x",
    "phases": [
        {"count": 2, "cpu": 1000, "longRunning": True, "antiAffinity": 1, "mayMiss": 1},
        {"count": 1, "cpu": 100, "fills": True, "longRunning": True, "targetMs": 10},
    ],
}
NATIVE_JOB = {
    "payload": "x",
    "occurrences": 0,
    "first_due": 0.0,
    "interval_seconds": 0.0,
    "steps": [
        {"count": 2, "need": {"cpu_millicores": 1000, "memory_mb": 100}, "estimate_seconds": 0.3},
        {
            "count": 2,
            "need": {"cpu_millicores": 1000, "memory_mb": 100, "accelerators": 0},
            "estimate_seconds": 0.3,
            "after": [0],
            "max_per_worker": 1,
            "gang": True,
            "same_rack": False,
            "checkpoints": True,
            "latency_target_seconds": 0.0,
            "may_miss": 1,
            "label": "",
        },
    ],
}
LASTING_JOB = {
    "payload": "x",
    "steps": [
        {
            "count": 2,
            "need": {"cpu_millicores": 1000},
            "lasting": True,
            "may_miss": 1,
            "max_per_worker": 1,
            "filler": True,
            "latency_target_seconds": 0.1,
        }
    ],
}
TIMED_JOB = {**NATIVE_JOB, "occurrences": 3, "first_due": WALL_TIME, "interval_seconds": 1.0}


def use_job(spec):
    """Submit a job, and serve it beside a sound one even if it is refused."""

    def prepare(pool):
        job, verdict = pool.assess(spec)
        pool.log.write("request-answered", reason=verdict.reason, tasks=len(spec.steps))
        assert decode_spec(encode_spec(spec)) == spec
        if verdict.accepted:
            pool.state.add_job(job, WALL_TIME)
            pool.assess(spec)

    use_pool(prepare)


def parse_request(decode_body, content):
    spec = decode_body(content)
    validate_spec(spec)
    return spec


@EXAMPLES
@given(content=odd_documents(PLATFORM_JOB, PLATFORM_LASTING_JOB))
def test_job_of_the_platforms_caller_can_be_used(content):
    spec = decode(parse_request, decode_job_spec, content)
    if spec is not None:
        use_job(spec)


@EXAMPLES
@given(content=odd_documents(NATIVE_JOB, LASTING_JOB, TIMED_JOB))
def test_job_of_the_own_interface_can_be_used(content):
    spec = decode(parse_request, decode_spec, content)
    if spec is not None:
        use_job(spec)


@EXAMPLES
@given(content=odd_documents(NATIVE_JOB, LASTING_JOB, TIMED_JOB))
def test_job_that_another_daemon_sends_can_be_used(content):
    spec = decode(decode_spec, content)
    if spec is not None:
        use_job(spec)


def make_description(spec):
    return {
        "spec": spec,
        "pool": "desk",
        "team": "agents",
        "attempts": 2,
        "accepted": WALL_TIME,
        "priority": 1,
        "due_by": WALL_TIME + 4.0,
        "behind": False,
    }


DESCRIPTIONS = [make_description(spec) for spec in (NATIVE_JOB, LASTING_JOB, TIMED_JOB)]
PROGRESS = {
    "done": [[0, 0, 0]],
    "failures": [[0, 0, 1, [1048577]]],
    "crashes": [[0, 0, 1, [[1048577, 0.5], [1048578, 0.25]]]],
    "cancelled": False,
    "failed": False,
    "started": True,
    "ended": 0.0,
}
JOB_IDS = st.sampled_from([JOB_ID] * 6 + ["", "a.b", "a b", "ä", "a\r\nb", "x" * 5000])


def use_stored_job(job):
    def prepare(pool):
        pool.state.add_job(job, WALL_TIME, inherited=True)
        pool.log.write("job", job=job.key.job_id, tasks=sum(step.count for step in job.spec.steps))

    use_pool(prepare)


@EXAMPLES
@given(description=odd_documents(*DESCRIPTIONS), job_id=JOB_IDS)
def test_stored_description_can_be_used(description, job_id):
    job = decode(decode_job, JobKey("quotes", job_id), description, None)
    if job is not None:
        use_stored_job(job)


@EXAMPLES
@given(number=st.integers(0, 2), progress=odd_documents(PROGRESS))
def test_stored_progress_can_be_used(number, progress):
    description = json.dumps(DESCRIPTIONS[number]).encode()
    job = decode(decode_job, JobKey("quotes", JOB_ID), description, progress)
    if job is not None:
        use_stored_job(job)


# Records


@EXAMPLES
@given(value=odd_documents({"desk": [1000, 0, 0], "tour": [2000, 100, 0], "off": [0, 0, 0]}))
def test_stored_shares_can_be_used(value):
    record = decode(decode_shares, value)
    if record is None:
        return
    pool = Pool()
    known = {name: row for name, row in record.items() if row is not None}
    unknown = frozenset(record.keys() - known.keys())
    pool.shares.records = {"agents": ShareRecord(1, known, unknown)}
    pool.state.add_job(sound_job(), WALL_TIME)
    assert all(number >= 0 for row in known.values() for number in row)
    for _ in range(3):
        changes = pool.shares.plan(pool.state.usage, demand_by_team(pool.state))
        pool.log.write("share-changed", shares=[change.pools for change in changes])
        share = pool.shares.share("agents")
        assert all(0 <= number <= MAX for number in share)
        assert pool.shares.available_cores("agents") >= 0
        pool.shares.records |= {change.team: ShareRecord(2, change.pools) for change in changes}
    pool.close()


@EXAMPLES
@given(
    value=odd_documents({"i-1": ["127.0.0.1:80", "m-1"], "i-2": ["10.0.0.1:80", ""]}),
    name=st.sampled_from(["i-3", "", "ä", "\ud800", "a\r\nb", "x" * 5000]),
)
def test_stored_roster_can_be_used(value, name):
    document = json.loads(value)
    if isinstance(document, dict):
        value = json.dumps({**document, name: ["127.0.0.1:81", "m-3"]}).encode()
    roster = decode(decode_roster, value)
    if roster is None:
        return

    def prepare(pool):
        pool.roster.adopt(roster)
        pool.state.unreconciled_workers = dict.fromkeys(pool.roster.inherited, 111.0)
        decode_roster(encode_roster(pool.roster.inherited))

    use_pool(prepare)


@EXAMPLES
@given(value=odd_documents({"jobs": [["desk", "0" * 16], ["tour", "f" * 16]]}))
def test_stored_cancels_can_be_used(value):
    keys = decode(decode_cancels, value)
    if keys is None:
        return

    def prepare(pool):
        cancels = pool.admission.unknown_cancels
        for key in keys:
            cancels.note(key)
        assert all(map(cancels.includes, keys))
        decode_cancels(encode_cancels(keys))

    use_pool(prepare)


RECORD = PlannerRecord(
    7,
    (OrderIntent("m-1", "i-1", "desk", "", 1.0), OrderIntent("m-2", "", "", "3", 0.5)),
    (Peak("desk", WALL_TIME - 30, WALL_TIME - 28, 5), Peak("tour", WALL_TIME, WALL_TIME, 4)),
)


INTENT_LOG = SimpleNamespace(started_at=100.0, context=SimpleNamespace(timing=Timing()))


@EXAMPLES
@given(value=odd_documents(json.loads(encode_planner_record(RECORD))))
def test_stored_record_of_a_planner_can_be_used(value):
    record = decode(decode_planner_record, value)
    if record is None:
        return
    forecaster = PeakForecaster()
    forecaster.restore([peak.shifted(100.0 - WALL_TIME) for peak in record.peaks], 100.0)
    for now in (100.0, 130.0, 200.0):
        for pool in ("desk", "tour"):
            forecaster.forecast(["desk", "tour"], now)
            forecaster.record(pool, True, 3, now)
    for intent in record.intents:
        pb.PoolPlan(ended_incarnations=[pb.WorkerIncarnation(worker=intent.worker_id)])
        pb.PoolReport(workers=[pb.WorkerReport(vm=intent.vm)])
        # What blocks the VM is bounded, also where the wait is not known.
        blocked_seconds = IntentLog.blocked_until(INTENT_LOG, intent) - INTENT_LOG.started_at
        assert intent.wait >= 0
        assert 0 <= blocked_seconds < 3600.0
    assert decode_planner_record(encode_planner_record(record)) == record


@EXAMPLES
@given(
    value=odd_documents(
        {
            "name": "entry-1",
            "incarnation": 1,
            "address": "10.0.0.1:80",
            "data_centre": "dc-1",
            "strength": 1.0,
            "leaving": False,
        }
    )
)
def test_member_can_be_called(value):
    member = decode(decode_member, value)
    if member is None:
        return
    member.name.encode()
    member.data_centre.encode()
    assert member.strength > 0
    assert -MAX <= member.incarnation <= MAX
    call_peer(member.address)


def call_peer(address):
    """Name the host for a lookup as the socket library does."""
    host, _, port = address.rpartition(":")
    host.strip("[]").encode("idna")
    assert 0 < int(port) < 65536


ADVICE = {"healthy": [["i-1", "ticket-1"], ["sound-0", "ticket-0"]], "validMs": 500}


@EXAMPLES
@given(content=odd_documents(ADVICE))
def test_tickets_can_be_used(content):
    request = TicketRequest((JOB_ID, 0, 0), ("i-1", "sound-0"))
    adviser = PlatformAdviser(CannedHttpClient(content), ADDRESS)

    async def run():
        try:
            return await adviser.advise(request)
        except AdviceError:
            return None

    advice = run_on(asyncio.SelectorEventLoop(), run)
    if advice is None:
        return

    async def send():
        for worker_id, ticket in advice.tickets.items():
            worker_id.encode()
            order = StartOrder("sound-0", TASKS[0], 1, "x", "", ticket)
            for sender in SENDERS:
                await call_all(sender(CannedHttpClient()), LISTED, order, 60.0)
                await call_all(
                    sender(CannedHttpClient()), LISTED, PaceOrder("i", TASKS[0], 1, 50), 0
                )

    run_on(asyncio.SelectorEventLoop(), send)


CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "quotes",
            "host": "quotes.example",
            "pathPrefix": "/quotes/",
            "service": "desk",
            "priority": 1,
            "maxAttempts": 2,
            "stretch": 2.0,
            "targetLatencyMs": 1000,
            "timeoutMs": 3000,
            "public": True,
            "advice": {"decideMs": 10, "perItemMs": 1, "validMs": 500},
        }
    ],
    "services": [{"name": "desk"}, {"name": "off", "standby": True, "admissionCheck": True}],
    "tenants": [
        {
            "name": "agents",
            "apiKeys": ["k"],
            "weight": 2,
            "upperBound": {"cpu": 4000, "memMb": 0, "gpu": 0},
        }
    ],
}


@EXAMPLES
@given(value=odd_documents(CONFIG))
def test_configuration_can_be_used(value):
    config = decode(decode_config, value)
    if config is None:
        return
    config.find_queue("quotes.example", "/quotes/00")
    config.find_team("k")
    spec = JobSpec("x", (Step(2, TASK, 0.3),))
    for queue in config.queues.values():
        pool = Pool()
        pool.shares.set_limits({team.name: team.limit for team in config.teams.values()})
        pool.add_worker(LISTED)
        submission = Submission(queue, JOB_ID, spec, "agents", 0.1)
        job = pool.admission._make_job(JobKey(queue.name, JOB_ID), submission)
        verdict = pool.admission.assess(job, submission)
        pool.admission._log_verdict(submission, verdict)
        pool.state.add_job(job, WALL_TIME)
        pool.context.keys.description(job.key).encode()
        pool.context.keys.roster(queue.pool).encode()
        pb.SubmitRequest(pool=queue.pool, queue=queue.name, team=submission.team)
        if isinstance(queue.advice, AdviceConfig):
            pool.state.tickets.advice_configs = {queue.name: queue.advice}
        for _ in range(3):
            plan_orders(
                pool.state,
                pool.shares,
                pool.clock.now(),
                pool.context.wall_time(),
                PlanningLimits(),
            )
            pool.state.tickets.next_request(
                [(job, list(job.runnable_tasks(WALL_TIME)))],
                list(pool.state.workers.values()),
                pool.clock.now(),
            )
            pool.report()
            pool.clock.advance(0.3)
        pool.close()
