"""An unexpected error at each call of an external service concerns what the call was about only.

The calls are enumerated from the code: a call that is added is covered, or fails here until the
play reaches it.
"""

import ast
import contextlib
import functools
import inspect
import math
import pathlib
import sys
from collections import Counter

import anyio
import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from ...batch import Amount, JobState, TeamConfig
from ...batch.config import AdviceConfig
from ...batch.keys import BatchKeys
from ...batch.records import decode_job
from ...exception import ChangeUnknown, PoolStateError, StoreError, StoreUnavailable
from ...fleet.vms import VmPlatform, WaveOrder
from ...peer import PeerCaller
from ...standin import batchfleet
from ...standin.virtual import run_virtual
from ...store import Delete, Put, Store
from ...workers import OrderSender
from .. import Outcome, failure_tracker
from .. import owner as owner_module
from ..advice import Advice, Adviser
from ..call_guard import guard_adviser
from .test_daemons import NO_LIMIT, POOLS, Deployment, lasting_spec, make_config, two_step_spec

OWNERSHIP = pathlib.Path(__file__).parents[1]
MIRROR = OWNERSHIP.parent / "store" / "mirror.py"
SCANNED = {
    str(path): path.stem
    for path in (*sorted(OWNERSHIP.glob("*.py")), MIRROR)
    if path.stem != "call_guard"
}
#: names by which the code calls clients
PROTOCOLS = {
    "store": Store,
    "orders": OrderSender,
    "peers": PeerCaller,
    "adviser": Adviser,
    "platform": VmPlatform,
    "vms": VmPlatform,
}
#: function of the writer through which others write: they are the seams
PASSED_ON = ("writer", "commit")
#: writes of which one is carried out without an answer, so that the record is read again
LOST_ANSWERS = (
    ("intents", "_write", "commit"),
    ("roster", "_store", "commit"),
    ("wave_tracker", "_store_wave", "commit"),
    ("writer", "_create", "commit"),
    ("writer", "_store_progress", "commit"),
)
#: seams the record of which each takeover of a pool needs: with it, the pool is the victim
POOL_RECORDS = (("owner", "_read_roster", "get"), ("session", "claim", "commit"))
#: seams the record of which each takeover needs: while it cannot be read, no pool is taken over
SHARED_RECORDS = (("owner", "read", "read"),)
#: seams the record of which a team needs, that of all jobs of the play
TEAM_RECORDS = (("share_manager", "_store", "commit"),)
#: seams the record of which all tasks of teams with limits need
LIMIT_RECORDS = (("share_manager", "_read", "read"),)
#: seams that the play does not reach, with the tests of what uses them
NOT_REACHED = {
    ("abandoned_shares", "_last_claim", "get"): "test_abandoned_shares",
    ("entry_client", "_call", "call"): "test_entry_client",
    ("worker_client", "send", "pace"): "test_worker_client",
    ("worker_client", "_ask_incarnation", "hold"): "test_worker_client",
    ("set_aside_records", "_store", "commit"): "test_set_aside_retries",
    ("set_aside_records", "_store", "get"): "test_set_aside_retries",
}
ERRORS = (
    RuntimeError,
    UnicodeError,
    KeyError,
    lambda text: ExceptionGroup(text, [ValueError(text)]),
    TimeoutError,
    OSError,
    RecursionError,
)
TEAM_LIMIT = Amount(30_000, 60_000)
JOBS = 36
JOB_INTERVAL_SECONDS = 0.25
#: reason of the failure of an owner that is part of the play
PLAYED_FAILURE = "played failure"
#: when it fails, and time without a failure after which it is forgotten, in seconds
FAIL_SECONDS = 2.0
FORGET_SECONDS = 2.0
#: when the pool's owner is killed and another daemon leaves, in seconds after the start
KILL_SECONDS = 3.0
LEAVE_SECONDS = 6.0
LOAD_SECONDS = 1.5
FINISH_SECONDS = 5.0
#: time after the fault has gone in which all accepted jobs complete, in seconds
RECOVERY_SECONDS = 4.0
#: how long the records of ended jobs are kept, and the time between deletions, in seconds
KEEP_ENDED_SECONDS = 4.0
CLEANUP_INTERVAL_SECONDS = 2.0
#: longest time without a start on a pool although jobs come all the while, in seconds
MAX_IDLE_SECONDS = 3.0
#: attempts of a caller for one job, and the time between two, in seconds
ATTEMPTS = 4
ATTEMPT_INTERVAL_SECONDS = 0.5


def network_methods(protocol):
    """Return the methods of an interface that are called over a network."""
    return {
        name
        for name, method in vars(protocol).items()
        if not name.startswith("_") and (inspect.iscoroutinefunction(method) or name == "watch")
    }


METHODS = {receiver: network_methods(protocol) for receiver, protocol in PROTOCOLS.items()}


class SiteFinder(ast.NodeVisitor):
    """Finds the calls of clients in a module, as (module, function, method)."""

    def __init__(self, module):
        self.module = module
        self.functions = []
        self.sites = set()

    def visit_AsyncFunctionDef(self, node):  # noqa: N802
        self.functions.append(node.name)
        self.generic_visit(node)
        self.functions.pop()

    visit_FunctionDef = visit_AsyncFunctionDef  # noqa: N815

    def visit_Attribute(self, node):  # noqa: N802
        receiver = node.value
        name = getattr(receiver, "attr", getattr(receiver, "id", ""))
        site = (self.module, self.functions[-1] if self.functions else "", node.attr)
        is_client = node.attr in METHODS.get(name, ())
        is_write = node.attr == "commit" and (
            name == "writer" or (name == "self" and self.module == "writer")
        )
        if (is_client or is_write) and site[:2] != PASSED_ON:
            self.sites.add(site)
        self.generic_visit(node)


def find_sites():
    sites = set()
    for path, module in SCANNED.items():
        finder = SiteFinder(module)
        finder.visit(ast.parse(pathlib.Path(path).read_text()))
        sites |= finder.sites
    return sorted(sites)


SITES = find_sites()


def calling_site(method):
    """Return the seam at which the code now calls a method of a client."""
    frame = sys._getframe(1)
    while frame is not None:
        module = SCANNED.get(frame.f_code.co_filename)
        if module is not None and (module, frame.f_code.co_name) != PASSED_ON:
            return module, frame.f_code.co_name, method
        frame = frame.f_back
    return None


def subjects_of(args):
    """Return what a call is about: keys, a worker, a step, a VM, a daemon; the most special last"""
    if len(args) == 2 and isinstance(args[1], list | tuple):
        writes = [each.key for each in args[1] if isinstance(each, Put | Delete)]
        return writes or [each.key for each in args[0]]
    first = args[0] if args else ""
    for name in ("worker_id", "step"):
        first = getattr(first, name, first)
    return [str(first)]


class Fault:
    """Raises an error at one seam, for the first subject that is called there.

    :param times: how often
    """

    def __init__(self, site, times, make_error):
        self.site, self.times, self.make_error = site, times, make_error
        self.armed, self.victim, self.raised = False, None, 0
        self.seen, self.lost = Counter(), set()

    def visit(self, method, args):
        site = calling_site(method)
        self.seen[site] += 1
        if not self.armed or site != self.site or self.raised >= self.times:
            return
        subjects = subjects_of(args)
        if self.victim is None:
            self.victim = subjects[-1]
        if self.victim in subjects:
            self.raised += 1
            raise self.make_error("nobody expects this")

    def loses_answer(self, method):
        """Return whether the answer to the current call is lost: that of one write of a kind."""
        site = calling_site(method)
        if not self.armed or site not in LOST_ANSWERS or site in self.lost:
            return False
        self.lost.add(site)
        return True


class FaultyClient:
    """A client whose calls pass a fault first."""

    def __init__(self, client, fault):
        self.client, self.fault = client, fault

    def __getattr__(self, name):
        attribute = getattr(self.client, name)
        if name == "watch":
            return functools.partial(self.watch_faultily, attribute)
        if not inspect.iscoroutinefunction(attribute):
            return attribute

        async def call(*args, **kwargs):
            self.fault.visit(name, args)
            result = await attribute(*args, **kwargs)
            if self.fault.loses_answer(name):
                await anyio.sleep(1.0)
                raise StoreUnavailable("no answer")
            return result

        return call

    async def watch_faultily(self, watch, prefix, after):
        self.fault.visit("watch", (prefix,))
        async for events in watch(prefix, after):
            yield events
            self.fault.visit("watch", (prefix,))


class AllTickets:
    """An adviser that allows every worker."""

    async def advise(self, request):
        await anyio.sleep(0.01)
        return Advice(dict.fromkeys(request.workers, "ticket"), 10.0)


class Lines:
    """A log that keeps its events."""

    dropped_lines = 0

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))

    def flush(self):
        pass


def make_faulty(deployment, fault, monkeypatch):
    """Put a fault below the guards of all clients of a deployment; return its log."""
    monkeypatch.setattr(failure_tracker, "FORGET_SECONDS", FORGET_SECONDS)
    monkeypatch.setattr(owner_module, "CLEANUP_INTERVAL_SECONDS", CLEANUP_INTERVAL_SECONDS)
    fleet, log = deployment.fleet, Lines()
    make_store, start_daemon = fleet.make_store, fleet.start_daemon
    make_peers = batchfleet.MemoryPeerCaller
    monkeypatch.setattr(
        batchfleet, "MemoryPeerCaller", lambda *args: FaultyClient(make_peers(*args), fault)
    )
    fleet.make_store = lambda *args: FaultyClient(make_store(*args), fault)
    fleet.make_log = lambda name: log
    fleet.workers = FaultyClient(fleet.workers, fault)
    vms = fleet.vms
    fleet.vms = FaultyClient(vms, fault)

    def start_advised(name):
        node = start_daemon(name)
        node.context.timing = attrs.evolve(node.context.timing, keep_ended=KEEP_ENDED_SECONDS)
        node.context.adviser = guard_adviser(FaultyClient(AllTickets(), fault), log)
        return node

    fleet.start_daemon = start_advised
    return log


def advised_config(limit):
    config = make_config()
    desk = attrs.evolve(config.queues["desk"], advice=AdviceConfig(0.01, 0.0, 10.0))
    teams = {"agents": TeamConfig("agents", limit=limit)}
    return attrs.evolve(config, queues={**config.queues, "desk": desk}, teams=teams)


async def submit_until_accepted(deployment, pool, number):
    for attempt in range(ATTEMPTS):
        names = list(deployment.fleet.daemons)
        at, job_id = names[(number // 2 + attempt) % len(names)], f"{number:016x}"
        _, result = await deployment.submit(pool, two_step_spec(), at, job_id)
        if result.outcome is Outcome.ACCEPTED:
            return
        await anyio.sleep(ATTEMPT_INTERVAL_SECONDS)


async def ask_for_unknown_job(deployment):
    node = next(iter(deployment.fleet.daemons.values())).node
    for ask in (node.service.find, node.service.cancel):
        with contextlib.suppress(StoreError, ChangeUnknown):
            await ask(deployment.fleet.config.queues["desk"], "00000000000fffff", 1.0)


async def cancel_lasting_job(deployment, number):
    job_id = f"{number:016x}"
    _, result = await deployment.submit("tour", lasting_spec(), job_id=job_id)
    await anyio.sleep(0.5)
    if deployment.accepted.pop(job_id, None) is not None:
        node = next(iter(deployment.fleet.daemons.values())).node
        with contextlib.suppress(StoreError, ChangeUnknown):
            await node.service.cancel(deployment.fleet.config.queues["tour"], job_id, 3.0)


async def put_load_on(deployment, tasks):
    for number in range(JOBS):
        tasks.start_soon(submit_until_accepted, deployment, POOLS[number % 2], number + 1)
        if number % 8 == 0:
            tasks.start_soon(ask_for_unknown_job, deployment)
            tasks.start_soon(cancel_lasting_job, deployment, 1000 + number)
        await anyio.sleep(JOB_INTERVAL_SECONDS)


async def disturb(deployment, fault):
    """Order maintenance, let an owner fail, kill one, start it again, let a daemon leave."""
    fleet = deployment.fleet
    fleet.order_wave(WaveOrder("7", ("desk-3", "tour-3"), 30.0, 1))
    await anyio.sleep(FAIL_SECONDS)
    failing = fleet.owner_of("tour")
    if failing is not None:
        fleet.daemons[failing].node.owned["tour"]._fail(PoolStateError(PLAYED_FAILURE))
    await anyio.sleep(KILL_SECONDS - FAIL_SECONDS)
    killed = fleet.owner_of("desk")
    if killed is not None:
        fleet.kill(killed)
        fault.lost.clear()
    for daemon in fleet.daemons.values():
        daemon.node.stop_planner()
    await hand_over_standby_pool(fleet)
    if killed is not None:
        await anyio.sleep(1.0)
        fleet.start_daemon(killed)
    await anyio.sleep(LEAVE_SECONDS - KILL_SECONDS - 1.0)
    leaving = fleet.owner_of("tour")
    if leaving is not None:
        await fleet.leave(leaving)


async def hand_over_standby_pool(fleet):
    """Release the claim of a pool without jobs, as for an even distribution."""
    name = fleet.owner_of("off")
    if name is not None:
        node = fleet.daemons[name].node
        owner = node.owned["off"]
        await node._finish_in_time(owner.shut_down)
        owner.stop()
        with contextlib.suppress(StoreError):
            await node.session.release({"off": owner.token})


async def play(deployment, fault, armed_after, log):
    started_at = deployment.clock.now()

    async def arm():
        await anyio.sleep(armed_after)
        fault.armed = True

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(arm)
        tasks.start_soon(disturb, deployment, fault)
        await put_load_on(deployment, tasks)
        await anyio.sleep(FINISH_SECONDS)
    fault.armed = False
    await anyio.sleep(RECOVERY_SECONDS)
    return started_at


@attrs.frozen
class Judgement:
    """What is judged of a play.

    :param idle_seconds: longest time without a start, by pool
    """

    raised: int
    victim: str
    refused: list
    unfinished: list
    idle_seconds: dict
    twice: list
    failed_owners: list
    seen: Counter


def completed_jobs(store):
    """Return the jobs that were ever stored as completed; their records may have been removed.

    The log does not tell of an end whose write was carried out without an answer.
    """
    keys, descriptions, completed = BatchKeys("lp/"), {}, set()
    for event in store.history:
        path = event.key.removeprefix(keys.descriptions).removeprefix(keys.progress_records)
        if event.value is None or path == event.key:
            continue
        job = keys.parse_job_key(path)
        if event.key.startswith(keys.descriptions):
            descriptions[job] = event.value
        elif decode_job(job, descriptions[job], event.value).state is JobState.COMPLETED:
            completed.add(job.job_id)
    return completed


async def judge(deployment, fault, started_at, log):
    wanted = [f"{number + 1:016x}" for number in range(JOBS)]
    refused = [job for job in wanted if job not in deployment.accepted]
    unfinished = []
    for job in deployment.accepted.keys() - completed_jobs(deployment.fleet.store):
        try:
            state = await deployment.state(job)
        except (StoreError, ChangeUnknown) as error:
            state = error
        if state is not JobState.COMPLETED:
            unfinished.append(job)
    ended_at = started_at + JOBS * JOB_INTERVAL_SECONDS
    idle = {}
    for pool in POOLS:
        starts = [run.at for run in deployment.fleet.runs if run.worker_id.startswith(pool)]
        times = [started_at, *(at for at in starts if at < ended_at), ended_at]
        idle[pool] = max(b - a for a, b in zip(times, times[1:], strict=False))
    failed = [
        fields
        for event, fields in log.events
        if event == "owner-failed" and PLAYED_FAILURE not in fields["reason"]
    ]
    return Judgement(
        fault.raised,
        str(fault.victim),
        refused,
        unfinished,
        idle,
        deployment.overlapping_tasks(),
        failed,
        fault.seen,
    )


def run_fault(site, times, error, armed_after, monkeypatch):
    async def run():
        async with anyio.create_task_group() as tasks:
            deployment = Deployment(
                tasks, advised_config(NO_LIMIT if site in LIMIT_RECORDS else TEAM_LIMIT)
            )
            fault = Fault(site, times, error)
            log = make_faulty(deployment, fault, monkeypatch)
            fault.armed = armed_after == 0.0
            await deployment.start()
            started_at = await play(deployment, fault, armed_after, log)
            result = await judge(deployment, fault, started_at, log)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(run)


def make_rows():
    rows = []
    for index, site in enumerate(site for site in SITES if site not in NOT_REACHED):
        for number, (times, armed_after) in enumerate(
            [(1, 0.0), (1, LOAD_SECONDS), (math.inf, LOAD_SECONDS)]
        ):
            error = ERRORS[(index + number) % len(ERRORS)]
            often = "once" if times == 1 else "always"
            name = "-".join((*site, often, "load" if armed_after else "start"))
            rows.append(pytest.param(site, times, error, armed_after, id=name))
    return rows


@pytest.mark.parametrize(("site", "times", "error", "armed_after"), make_rows())
def test_unexpected_error_at_a_seam_concerns_its_subject_only(
    site, times, error, armed_after, monkeypatch
):
    result = run_fault(site, times, error, armed_after, monkeypatch)
    assert_that(result.raised, GreaterThan(0))
    assert_that(result.twice, Equals([]))
    assert_that(result.failed_owners, Equals([]))
    assert_that([job for job in result.unfinished if job not in result.victim], Equals([]))
    judged = [pool for pool in POOLS if not is_victim(pool, site, times, result.victim)]
    refused = [job for job in result.refused if pool_of(job) in judged]
    assert_that([job for job in refused if job not in result.victim], Equals([]))
    for pool in judged:
        assert_that(result.idle_seconds[pool], LessThan(MAX_IDLE_SECONDS))


def is_victim(pool, site, times, victim):
    """Return whether a pool cannot be served until the fault has gone."""
    if times == 1:
        return False
    return site in SHARED_RECORDS + TEAM_RECORDS or (
        site in POOL_RECORDS and victim.endswith(f"/{pool}")
    )


def pool_of(job_id):
    return POOLS[(int(job_id, 16) - 1) % 2]


def test_each_call_of_a_client_is_reached_or_known(monkeypatch):
    """A call that is added is among the rows above; a table entry without a call is outdated."""
    known = {*NOT_REACHED, *POOL_RECORDS, *SHARED_RECORDS, *TEAM_RECORDS, *LIMIT_RECORDS}
    assert_that(known - set(SITES), Equals(set()))
    result = run_fault(("none", "", ""), 1, RuntimeError, 0.0, monkeypatch)
    assert_that(set(result.seen) - set(SITES), Equals(set()))
    assert_that({site for site in SITES if not result.seen[site]}, Equals(set(NOT_REACHED)))
