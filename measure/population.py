"""Made-up fleets, jobs and peers whose cost is measured."""

from __future__ import annotations

import random

import anyio

from limpetpulley.clock import ManualClock
from limpetpulley.config import ConfigReplica, Queue, Record, Vm
from limpetpulley.config.replica import decode_record, encode_record
from limpetpulley.daemon.peers import PeerTable
from limpetpulley.exception import EndpointError
from limpetpulley.fleet.decide import decide
from limpetpulley.idempotency import KeyRecordTable
from limpetpulley.membership import Member, MemberInfo, initial_view
from limpetpulley.quota.adviser import Claim, GroupReport, make_adviser
from limpetpulley.quota.ledger import Ledger
from limpetpulley.quota.resource import pool_group, slot_resource, team_resource
from limpetpulley.routing import EndpointConnections, EndpointHealth, EndpointSet, JobRequest
from limpetpulley.routing.attempt import Attempt, Body, EndpointResponse
from limpetpulley.scheduling.starter import Starter
from limpetpulley.scheduling.waiting import WaitingJob, WaitingJobs

from .fleet import _large_state


def vm(index: int, pools: int = 8) -> Vm:
    """Return a VM of a made-up fleet."""
    return Vm(f"vm-{index}", f"pool-{index % pools}", f"192.0.2.1:{index + 1}", "r", "d")


def replica_of(values: list) -> ConfigReplica:
    """Return a replica with some objects, read as from the store."""
    replica = ConfigReplica()
    for number, value in enumerate(values):
        data = encode_record(Record(value.kind, value.name, 0, value, "operator", "2026", "id"))
        replica.apply(decode_record(value.kind, value.name, number + 1, data))
    return replica


def held_vms(count: int) -> tuple:
    """Return what a daemon holds for some VMs: records, endpoints and permits."""
    replica = replica_of([vm(index) for index in range(count)])
    endpoints = EndpointSet("d", ManualClock(), EndpointHealth(ManualClock()))
    endpoints.update(replica)
    ledger = Ledger("a")
    ledger.grant({slot_resource(f"vm-{index}"): 1 for index in range(count)})
    view = initial_view(
        MemberInfo("a", "a", "d", "h:1", "h:2"),
        {slot_resource(f"vm-{index}"): 8 for index in range(count)},
    )
    return replica, endpoints, ledger, view


def waiting_jobs(count: int) -> WaitingJobs:
    """Return a queue with some jobs."""
    waiting = WaitingJobs()
    for index in range(count):
        name = f"job-{index:015d}"
        job = WaitingJob(name, "t", "p", "q", index * 0.1, index * 0.1, print, print)
        waiting.add(job)
    return waiting


def records(count: int) -> KeyRecordTable:
    """Return a book with some records of keys."""
    book = KeyRecordTable(ManualClock())
    for index in range(count):
        book.claim(f"team/queue/key-{index:012d}", bytes(32), "member", f"job-{index}", 60.0)
    return book


def running_jobs(count: int) -> list:
    """Return what a daemon holds for some jobs that run: request, permits, attempt, answer."""
    clock = ManualClock()
    connections = EndpointConnections(clock)
    queue = Queue("q", "p")
    held = []
    for index in range(count):
        name = f"job-{index:015d}"
        headers = [(b"content-type", b"text/plain"), (b"job-id", name.encode())]
        request = JobRequest(name, "t", queue, 1.0, True, headers, Body(bytes(200)), 1.0)
        job = WaitingJob(name, "t", "p", "q", 1.0, 0.5, print, print)
        attempt = Attempt(
            f"h:{index + 1}",
            "/",
            list(headers),
            request.body,
            1.0,
            False,
            1.0,
            clock,
            connections,
            print,
            print,
        )
        _, receive = anyio.create_memory_object_stream[bytes | EndpointError](4)
        attempt.response = EndpointResponse(200, list(headers), receive)
        held.append((request, job, attempt))
    return held


def peers_with_reports(count: int) -> tuple:
    """Return what a daemon holds for some peers, each with a report on thirty pools."""
    clock = ManualClock()
    table = PeerTable(
        clock, Member(MemberInfo("a", "a", "d", "h:1", "h:2"), clock, Ledger("a"), 4, 9)
    )
    advisers = [make_adviser(pool_group(f"p-{n}"), "a", random.Random(1)) for n in range(30)]
    for index in range(count):
        table.record_contact(
            MemberInfo(f"m-{index}", f"m-{index}", "d", f"h{index}:1", f"h{index}:2")
        )
        for number, adviser in enumerate(advisers):
            free = {slot_resource(f"vm-{4 * number + n}"): 1 for n in range(4)}
            adviser.receive(GroupReport(adviser.group, f"m-{index}", "d", free, {}, ()), 0.0)
    return table, advisers


def adviser_with(members: int):
    """Return a round of advice on a full pool that so many members report on."""
    rng = random.Random(1)
    adviser = make_adviser(pool_group("p"), "a", rng)
    reports = [
        GroupReport(
            pool_group("p"),
            f"m-{index}",
            "d",
            {slot_resource(f"vm-{index % 6}"): 1},
            {"t": 5, "u": 2},
            (Claim("t", 4, (1.0, 2.0, 3.0, 4.0), 9), Claim("u", 1, (2.0,), 1)),
        )
        for index in range(members)
    ]
    now = 0.0

    def run() -> None:
        nonlocal now
        now += 1.0
        for report in reports:
            adviser.receive(report, now)
        adviser.match(now)

    return run


def starter_with(vms: int):
    """Return the start and end of a job in a pool of so many VMs."""
    clock = ManualClock()
    endpoints = EndpointSet("d", clock, EndpointHealth(clock))
    endpoints.update(replica_of([vm(index, 1) for index in range(vms)]))
    ledger = Ledger("a")
    ledger.grant({slot_resource(f"vm-{index}"): 8 for index in range(vms)})
    ledger.grant({team_resource("t"): 1000})
    starter = Starter("a", "d", clock, ledger, endpoints, random.Random(1))

    def run() -> None:
        started: list[str] = []
        job = WaitingJob("j", "t", "pool-0", "q", 10.0, 9.0, started.append, print)
        starter.submit(job)
        starter.finish(job, started[0])

    return run


def change_in(objects: int):
    """Return the taking of one change into a configuration of so many VMs."""
    replica = replica_of([vm(index) for index in range(objects)])
    endpoints = EndpointSet("d", ManualClock(), EndpointHealth(ManualClock()))
    data = encode_record(Record("vm", "vm-1", 0, vm(1)))
    revision = objects + 1

    def run() -> None:
        nonlocal revision
        revision += 1
        replica.apply(decode_record("vm", "vm-1", revision, data))
        endpoints.update(replica)

    return run


def planning_of(workers: int):
    """Return one planning round."""
    state = _large_state(workers, max(1, 264 * workers // 910), random.Random(1))
    return lambda: decide(state)
