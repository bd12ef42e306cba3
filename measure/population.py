"""Synthetic fleets, jobs and peers for the cost measurements."""

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

from .fleet import make_large_state


def make_vm(index: int, pools: int = 8) -> Vm:
    """Return a VM of a synthetic fleet."""
    return Vm(f"vm-{index}", f"pool-{index % pools}", f"192.0.2.1:{index + 1}", "r", "d")


def make_replica(values: list) -> ConfigReplica:
    """Return a replica with these objects, decoded as if read from the store."""
    replica = ConfigReplica()
    for number, value in enumerate(values):
        record_data = encode_record(
            Record(value.kind, value.name, 0, value, "operator", "2026", "id")
        )
        replica.apply(decode_record(value.kind, value.name, number + 1, record_data))
    return replica


def make_vm_state(count: int) -> tuple:
    """Return the state that a daemon keeps for VMs: records, endpoints, permits and limits."""
    replica = make_replica([make_vm(index) for index in range(count)])
    endpoints = EndpointSet("d", ManualClock(), EndpointHealth(ManualClock()))
    endpoints.update(replica)
    ledger = Ledger("a")
    ledger.grant({slot_resource(f"vm-{index}"): 1 for index in range(count)})
    view = initial_view(
        MemberInfo("a", "a", "d", "h:1", "h:2"),
        {slot_resource(f"vm-{index}"): 8 for index in range(count)},
    )
    return replica, endpoints, ledger, view


def make_waiting_jobs(count: int) -> WaitingJobs:
    """Return a queue with a number of waiting jobs."""
    waiting = WaitingJobs()
    for index in range(count):
        name = f"job-{index:015d}"
        job = WaitingJob(name, "t", "p", "q", index * 0.1, index * 0.1, print, print)
        waiting.add(job)
    return waiting


def make_key_records(count: int) -> KeyRecordTable:
    """Return a table with a number of idempotency key records."""
    table = KeyRecordTable(ManualClock())
    for index in range(count):
        table.claim(f"team/queue/key-{index:012d}", bytes(32), "member", f"job-{index}", 60.0)
    return table


def make_running_jobs(count: int) -> list:
    """Return the state that a daemon keeps for running jobs: request, job, attempt and response."""
    clock = ManualClock()
    connections = EndpointConnections(clock)
    queue = Queue("q", "p")
    states = []
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
        states.append((request, job, attempt))
    return states


def make_peers(count: int) -> tuple:
    """Return the state that a daemon keeps for peers that each report on thirty pools."""
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


def make_matching_round(members: int):
    """Return a call that matches permits to claims in a full pool.

    :param members: members that report on the pool
    """
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


def make_job_cycle(vms: int):
    """Return a call that starts and finishes a job in a pool with a number of VMs."""
    clock = ManualClock()
    endpoints = EndpointSet("d", clock, EndpointHealth(clock))
    endpoints.update(make_replica([make_vm(index, 1) for index in range(vms)]))
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


def make_config_change(vms: int):
    """Return a call that applies one change to a configuration with a number of VMs."""
    replica = make_replica([make_vm(index) for index in range(vms)])
    endpoints = EndpointSet("d", ManualClock(), EndpointHealth(ManualClock()))
    record_data = encode_record(Record("vm", "vm-1", 0, make_vm(1)))
    revision = vms + 1

    def run() -> None:
        nonlocal revision
        revision += 1
        replica.apply(decode_record("vm", "vm-1", revision, record_data))
        endpoints.update(replica)

    return run


def make_planning_round(vms: int):
    """Return a call that runs one planning round over a number of VMs."""
    state = make_large_state(vms, max(1, 264 * vms // 910), random.Random(1))
    return lambda: decide(state)
