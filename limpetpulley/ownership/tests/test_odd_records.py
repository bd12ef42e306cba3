"""A pool is served from a store in which an earlier build has left odd records."""

import json

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import Amount, JobKey, JobState
from ...fleet.vms import WaveOrder
from ...store import Put
from .test_daemons import make_config, run_scenario, two_step_spec

MAX = 2**63 - 1
HUGE = 10**30
JOBS = 6
#: time after a takeover within which ordinary jobs are accepted and complete, in seconds
SERVED_SECONDS = 3.0
LONG_LABEL = f"{'a' * 64}.example:80"
UNREADABLE = [b"", b"{", b"\xff", b"[]", b"null", b"7", b'"x"']
STORED_ID = "00000000000000aa"
STEP = {"count": 2, "need": {"cpu_millicores": 1000, "memory_mb": 100}, "estimate_seconds": 0.3}
DESCRIPTION = {
    "spec": {"payload": "0.3", "steps": [STEP]},
    "pool": "desk",
    "team": "agents",
    "attempts": 2,
    "accepted": 1.7e9,
    "priority": 0,
    "due_by": 1.7e9,
    "behind": False,
}
PROGRESS = {"done": [[0, 0, 0]], "failures": [], "crashes": [], "started": True}


def encode(document):
    return document if isinstance(document, bytes) else json.dumps(document).encode()


def with_step(**fields):
    return {**DESCRIPTION, "spec": {"payload": "0.3", "steps": [{**STEP, **fields}]}}


ODD_DESCRIPTIONS = [
    *UNREADABLE,
    {"pool": "desk"},
    {**DESCRIPTION, "team": None},
    {**DESCRIPTION, "team": "\ud800"},
    {**DESCRIPTION, "team": ["agents"]},
    {**DESCRIPTION, "attempts": -1},
    {**DESCRIPTION, "accepted": float("nan")},
    {**DESCRIPTION, "due_by": float("inf")},
    {**DESCRIPTION, "priority": HUGE},
    {**DESCRIPTION, "spec": {}},
    {**DESCRIPTION, "spec": {"payload": "0.3", "steps": []}},
    {**DESCRIPTION, "spec": {"payload": "0.3", "steps": [STEP] * 3, "occurrences": MAX}},
    with_step(count=MAX),
    with_step(count=-1),
    with_step(count=0),
    with_step(after=[0]),
    with_step(after=[7]),
    with_step(estimate_seconds=float("nan")),
    with_step(need={"cpu_millicores": -1000}),
    with_step(need={"cpu_millicores": HUGE}),
    with_step(lasting=True, max_per_worker=-1),
    with_step(lasting=True, may_miss=-1, count=10_000, max_per_worker=1),
    with_step(gang=True, count=17),
]
ODD_PROGRESS = [
    *UNREADABLE,
    {**PROGRESS, "done": [[0, 7, 0], [0, 0, 7], [7, 0, 0], [0, -1, -1]]},
    {**PROGRESS, "done": [[0, 0]]},
    {**PROGRESS, "done": ["x"]},
    {**PROGRESS, "failures": [[0, 7, 0, [1]]]},
    {**PROGRESS, "failures": [[0, 0, 0, None]]},
    {**PROGRESS, "crashes": [[0, 7, 0, [[1, 0.5]]]]},
    {**PROGRESS, "crashes": [[0, 0, 1, [[1, float("nan")]]]]},
    {**PROGRESS, "crashes": [[0, 0, 1, [[1, HUGE]]]]},
    {**PROGRESS, "ended": float("inf")},
]
ODD_SHARES = [
    *UNREADABLE,
    {"desk": [0, 0, 0], "tour": None},
    {"desk": "x", "tour": [0, 0, 0]},
    {"desk": [float("nan"), 0, 0]},
    {"desk": [-MAX, -MAX, -MAX], "tour": [-1, 0, 0]},
    {"tour": [1000]},
    {"\ud800": [0, 0, 0]},
]
ODD_ROSTERS = [
    *UNREADABLE,
    {"other-1": [LONG_LABEL, ""], "\ud800": ["10.0.0.1:80", ""]},
    {"other-1": [LONG_LABEL, "\ud800"]},
]
ODD_PLANNER_RECORDS = [
    *UNREADABLE,
    {"token": 1, "intents": [{"vm": "desk-0", "worker_id": "\ud800", "wait": 1.0}]},
    {"token": 1, "intents": [{"vm": "desk-0", "worker_id": "w", "wait": float("nan")}]},
    {"token": 1, "intents": [{"vm": "desk-0", "worker_id": "w", "wait": 1e300}]},
    {
        "token": 1,
        "peaks": [{"pool": "desk", "begun_at": 1e300, "seen_at": float("nan"), "height": HUGE}],
    },
]
ODD_HOMES = [*UNREADABLE, {"desk": -7}, {"desk": "x"}, {"desk": HUGE, "tour": 1e300}]
ODD_WAVES = [
    *UNREADABLE,
    {"begun": "x", "done": [], "completed": False},
    {"begun": 0.0, "done": [7, None], "completed": False},
    {"begun": float("nan"), "done": ["nobody"], "completed": "x"},
    {"begun": 0.0, "done": [["desk-0"]], "completed": False},
]
MEMBER = {"name": "other-1", "incarnation": 1, "address": "10.0.0.1:80", "strength": 1.0}
ODD_LAST_OWNERS = [
    *UNREADABLE,
    {**MEMBER, "address": LONG_LABEL},
    {**MEMBER, "name": ""},
    {**MEMBER, "incarnation": HUGE},
]
ODD_MEMBERS = [
    *UNREADABLE,
    {**MEMBER, "address": LONG_LABEL},
    {**MEMBER, "address": "x"},
    {**MEMBER, "incarnation": HUGE},
]
STORED_JOB = JobKey("desk", STORED_ID)


def description_puts(keys, value):
    return [Put(keys.description(STORED_JOB), value)]


def progress_puts(keys, value):
    description = Put(keys.description(STORED_JOB), encode(DESCRIPTION))
    return [description, Put(keys.progress(STORED_JOB), value)]


def job_id_puts(keys, value):
    return [Put(keys.description(JobKey("desk", value.decode())), encode(DESCRIPTION))]


KINDS = {
    "description": (description_puts, ODD_DESCRIPTIONS),
    "job_id": (job_id_puts, [b"a.b", b"", b"a b"]),
    "progress": (progress_puts, ODD_PROGRESS),
    "shares": (lambda keys, value: [Put(keys.share("agents"), value)], ODD_SHARES),
    "share_queue": (lambda keys, value: [Put(keys.share_queue("agents"), value)], ODD_SHARES),
    "roster": (lambda keys, value: [Put(keys.roster("desk"), value)], ODD_ROSTERS),
    "planner": (lambda keys, value: [Put(keys.succession, value)], ODD_PLANNER_RECORDS),
    "homes": (lambda keys, value: [Put(keys.homes, value)], ODD_HOMES),
    "wave": (lambda keys, value: [Put(keys.wave("3"), value)], ODD_WAVES),
    "last_owner": (lambda keys, value: [Put(keys.last_owner("desk"), value)], ODD_LAST_OWNERS),
    "member": (lambda keys, value: [Put(keys.member("other-1"), value)], ODD_MEMBERS),
}
ROWS = [
    pytest.param(make_puts, encode(document), id=f"{kind}-{number}")
    for kind, (make_puts, documents) in KINDS.items()
    for number, document in enumerate(documents)
]


async def submit_and_follow(deployment):
    """Submit ordinary jobs until as many are accepted as there should be; follow them."""
    until = deployment.clock.now() + SERVED_SECONDS
    while len(deployment.accepted) < JOBS and deployment.clock.now() < until:
        await deployment.submit("desk", two_step_spec(0.1))
        await anyio.sleep(0.05)
    states = {}
    while deployment.clock.now() < until:
        await anyio.sleep(0.1)
        states = await deployment.states()
        if set(states.values()) == {JobState.COMPLETED} and len(states) == JOBS:
            break
    return list(states.values())


@pytest.mark.parametrize(("make_puts", "value"), ROWS)
def test_pool_is_served_beside_an_odd_stored_record(make_puts, value):
    async def scenario(deployment):
        fleet = deployment.fleet
        fleet.order_wave(WaveOrder("3", ("desk-3",), 1.0, 1))
        owner = fleet.owner_of("desk")
        keys = fleet.daemons[owner].node.context.keys
        planner = next(name for name, each in fleet.daemons.items() if each.node.planner)
        for name in {owner, planner}:
            fleet.kill(name)
        await fleet.store.commit([], make_puts(keys, value))
        while not fleet.owner_of("desk"):
            await anyio.sleep(0.01)
        return await submit_and_follow(deployment)

    expected = [JobState.COMPLETED] * JOBS
    limited = make_config(Amount(64_000, 640_000))
    assert_that(run_scenario(scenario, limited, moves=False), Equals(expected))
