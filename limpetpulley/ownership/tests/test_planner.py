"""The planner's answers to pool reports, given the list of VMs."""

import os

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...batch import BatchConfig, PoolConfig
from ...batch.keys import BatchKeys
from ...clock import ManualClock
from ...fleet.planner_record import OrderIntent, PlannerRecord, encode_planner_record
from ...fleet.vms import FleetVm, Phase, WaveOrder
from ...peer import batch_pb2 as pb
from ...store import MemoryStore, Put
from ...telemetry import EventLog
from .. import DaemonContext, Timing, WaveRegistry
from ..planner import VmPlanner
from ..vmorders import JOIN_MARGIN_SECONDS


class FakeVmList:
    """A platform whose list of VMs the test sets."""

    def __init__(self):
        self.vms = []

    async def list_vms(self):
        return self.vms


def make_planner(clock, vms, restored=True):
    """Return a planner that knows the orders of the one before, or has yet to read them."""
    config = BatchConfig(1, {}, {"desk": PoolConfig("desk"), "off": PoolConfig("off", True)})
    log = EventLog("entry-1", os.open(os.devnull, os.O_WRONLY))
    context = DaemonContext(
        MemoryStore(clock), BatchKeys("lp/"), None, clock, log, Timing(), None, clock.now
    )
    context.config = config
    registry = WaveRegistry(lambda name: name, lambda name, completed: b"")
    planner = VmPlanner(context, vms, registry, "entry-1", 1, lambda: 0.0)
    planner.restored = restored
    return planner


def make_report(*workers, incarnation=1, token=5, unreconciled=False):
    rows = [
        pb.WorkerReport(
            worker=worker,
            vm="m-1",
            timed_runs=1,
            incarnation=incarnation,
            unreconciled=unreconciled,
        )
        for worker in workers
    ]
    return pb.PoolReport(pool="desk", token=token, workers=rows)


def ended_workers(plan):
    return sorted((row.worker, row.incarnation) for row in plan.ended_incarnations)


def listed(phase=Phase.UP, worker="new", pool="desk"):
    return [FleetVm("m-1", pool, phase, worker)]


@pytest.mark.parametrize(
    ("before", "after", "ended"),
    [
        (listed(worker="old"), listed(worker="new"), ["old"]),
        (listed(Phase.MOVING, ""), listed(worker="new"), ["old"]),
        (listed(worker="old"), listed(Phase.MAINTENANCE, ""), ["new", "old"]),
        (listed(worker="old"), listed(worker="", pool="off"), ["new", "old"]),
        (listed(worker="old"), listed(Phase.DOWN, ""), ["new", "old"]),
        (listed(worker="old"), [FleetVm("m-2", "desk", Phase.UP, "w")], []),
        (listed(worker="old"), [], []),
    ],
)
def test_a_worker_has_ended_once_a_newer_list_shows_its_vm_without_it(before, after, ended):
    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        vms.vms = before
        await planner._plan_once()
        clock.advance(0.1)
        early = planner.handle_report(make_report("old", "new"))
        clock.advance(2.0)
        vms.vms = after
        await planner._plan_once()
        late = planner.handle_report(make_report("old", "new"))
        return ended_workers(early), ended_workers(late)

    assert_that(anyio.run(scenario), Equals(([], [(worker, 1) for worker in ended])))


OTHERS = [FleetVm("m-2", "desk", Phase.UP, "w")]


@pytest.mark.parametrize(
    ("lists", "ended"),
    [
        # Seconds since the last list, and the list.
        ([(2.0, OTHERS)], []),
        ([(2.0, OTHERS), (1.9, OTHERS)], []),
        ([(2.0, OTHERS), (2.0, OTHERS)], [("old", 1)]),
        ([(2.0, OTHERS), (1.0, OTHERS), (1.0, OTHERS)], [("old", 1)]),
        ([(2.0, OTHERS), (1.0, listed(worker="old") + OTHERS), (1.0, OTHERS)], []),
        ([(2.0, OTHERS), (1.0, []), (1.0, OTHERS)], [("old", 1)]),
        ([(2.0, []), (2.0, [])], []),
        ([(2.0, []), (2.0, OTHERS)], []),
    ],
)
@pytest.mark.parametrize("known", [True, False], ids=["known", "unknown"])
def test_vm_is_gone_only_if_lists_lack_it_for_some_time(known, lists, ended):
    """A list comes in pages, which are not a snapshot."""

    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        if known:
            vms.vms = listed(worker="old")
            await planner._plan_once()
        planner.handle_report(make_report("old"))
        for seconds, vms.vms in lists:
            clock.advance(seconds)
            await planner._plan_once()
        return ended_workers(planner.handle_report(make_report("old")))

    assert_that(anyio.run(scenario), Equals(ended))


def unreadable(name="m-1"):
    return [FleetVm(name, "", Phase.UNKNOWN, problem="odd")]


@pytest.mark.parametrize(
    ("lists", "ended"),
    [
        # Seconds since the last list, and the list.
        ([(2.0, unreadable() + OTHERS)] * 4, []),
        ([(2.0, unreadable() + listed(Phase.DOWN, "") + OTHERS)] * 4, []),
        ([(2.0, unreadable("") + OTHERS)] * 4, []),
        ([(2.0, unreadable(""))] * 4, []),
        ([(2.0, OTHERS), (1.9, unreadable("") + OTHERS), (1.9, OTHERS)], []),
        ([(2.0, OTHERS), (1.9, unreadable() + OTHERS), (1.9, OTHERS)], []),
        ([(2.0, unreadable("") + OTHERS), (1.0, OTHERS), (1.9, OTHERS)], []),
        ([(2.0, unreadable("") + OTHERS), (1.0, OTHERS), (2.0, OTHERS)], [("old", 1)]),
        # Rows of other VMs hide nothing of this one.
        ([(2.0, unreadable("m-3") + listed(Phase.DOWN, ""))], [("old", 1)]),
        ([(2.0, unreadable("") + listed(Phase.DOWN, ""))], [("old", 1)]),
        ([(2.0, unreadable("m-3") + OTHERS), (2.0, unreadable("m-3") + OTHERS)], [("old", 1)]),
    ],
)
@pytest.mark.parametrize("known", [True, False], ids=["known", "unknown"])
def test_row_that_cannot_be_read_proves_nothing_about_a_vm_that_may_be_its_own(known, lists, ended):
    """Its worker's runs would count as ended and be started elsewhere."""

    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        if known:
            vms.vms = listed(worker="old")
            await planner._plan_once()
        planner.handle_report(make_report("old"))
        for seconds, vms.vms in lists:
            clock.advance(seconds)
            await planner._plan_once()
        return ended_workers(planner.handle_report(make_report("old")))

    assert_that(anyio.run(scenario), Equals(ended))


def test_vm_that_is_gone_stays_gone_when_a_row_without_a_name_comes():
    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        vms.vms = listed(worker="old")
        await planner._plan_once()
        planner.handle_report(make_report("old"))
        for vms.vms in [OTHERS, OTHERS, unreadable("") + OTHERS, unreadable("") + OTHERS]:
            clock.advance(2.0)
            await planner._plan_once()
        return ended_workers(planner.handle_report(make_report("old")))

    assert_that(anyio.run(scenario), Equals([("old", 1)]))


def test_row_that_cannot_be_read_is_logged_once_until_it_changes(monkeypatch):
    lines = []
    monkeypatch.setattr(
        EventLog,
        "write",
        lambda log, event, **fields: (
            lines.append((fields["vm"], fields["reason"])) if event == "vm-unreadable" else None
        ),
    )

    async def scenario():
        planner = make_planner(ManualClock(100.0), vms := FakeVmList())
        other = [FleetVm("", "", Phase.UNKNOWN, problem="other")]
        for vms.vms in [unreadable(), unreadable(), other + unreadable(), OTHERS, unreadable()]:
            await planner._plan_once()

    anyio.run(scenario)
    assert_that(lines, Equals([("m-1", "odd"), ("", "other"), ("m-1", "odd")]))


@pytest.mark.parametrize(
    ("phase", "reports", "ended"),
    [
        # Seconds of the report, token of its owner and incarnation of the worker in it.
        (Phase.DOWN, [(100.1, 5, 1), (105.5, 5, 1)], [("w", 1)]),
        (Phase.DOWN, [(100.1, 5, 1), (105.5, 5, 2)], []),
        (Phase.MOVING, [(100.1, 5, 1), (105.5, 5, 2)], []),
        (Phase.DOWN, [(100.1, 5, 1), (104.0, 5, 2), (105.5, 5, 2)], [("w", 2)]),
        (Phase.DOWN, [(100.1, 5, 1), (104.3, 5, 2), (105.5, 5, 2)], []),
        # An unlisted worker on the roster.
        (Phase.DOWN, [(100.1, 5, 0), (105.5, 5, 0)], [("w", 0)]),
        # Reports of an earlier build do not tell the incarnation.
        (Phase.DOWN, [(100.1, 5, None), (105.5, 5, None)], []),
    ],
)
@pytest.mark.parametrize("unreconciled", [False, True])
def test_next_incarnation_has_not_ended_by_a_list_older_than_its_first_report(
    phase, reports, ended, unreconciled
):
    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        vms.vms = listed(worker="w")
        await planner._plan_once()
        for seconds, token, incarnation in reports:
            if seconds > 105.0 > clock.now():
                clock.advance(105.0 - clock.now())
                vms.vms = listed(phase, "")
                await planner._plan_once()
            clock.advance(seconds - clock.now())
            report = make_report(
                "w", incarnation=incarnation, token=token, unreconciled=unreconciled
            )
            plan = planner.handle_report(report)
        return ended_workers(plan)

    assert_that(anyio.run(scenario), Equals(ended))


@pytest.mark.parametrize(
    ("incarnation", "unreconciled", "ended"),
    [(1, False, [("w", 1)]), (1, True, []), (0, True, []), (2, False, [])],
)
def test_an_earlier_owners_report_counts_for_workers_that_have_replied_to_this_one(
    incarnation, unreconciled, ended
):
    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        vms.vms = listed(worker="w")
        await planner._plan_once()
        planner.handle_report(make_report("w", incarnation=min(1, incarnation), token=5))
        clock.advance(5.0)
        vms.vms = listed(Phase.DOWN, "")
        await planner._plan_once()
        report = make_report("w", incarnation=incarnation, token=6, unreconciled=unreconciled)
        return ended_workers(planner.handle_report(report))

    assert_that(anyio.run(scenario), Equals(ended))


@pytest.mark.parametrize(
    ("after", "reason", "other"),
    [
        (listed(worker="new"), "other-worker", "new"),
        (listed(Phase.MOVING, ""), "moving", ""),
        (listed(Phase.MAINTENANCE, ""), "maintenance", ""),
        (listed(Phase.DOWN, "old"), "down", "old"),
        (listed(worker="", pool="off"), "standby", ""),
        ([FleetVm("m-2", "desk", Phase.UP, "w")], "not-listed", ""),
    ],
)
def test_a_worker_that_has_ended_is_logged_once_with_the_list_that_shows_it(
    after, reason, other, monkeypatch
):
    lines = []
    monkeypatch.setattr(EventLog, "write", lambda log, *event, **fields: lines.append(fields))

    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        vms.vms = listed(worker="old")
        await planner._plan_once()
        planner.handle_report(make_report("old"))
        clock.advance(2.0)
        vms.vms = after
        await planner._plan_once()
        # A VM counts as gone once lists have lacked it for some time.
        clock.advance(2.0)
        await planner._plan_once()
        clock.advance(0.25)
        lines.clear()
        for _ in range(3):
            planner.handle_report(make_report("old"))
        told = list(lines)
        vms.vms = listed(worker="old")
        await planner._plan_once()
        planner.handle_report(make_report("old"))
        return told, lines[len(told) :]

    told, later = anyio.run(scenario)
    expected = {
        "worker": "old",
        "life": 1,
        "vm": "m-1",
        "reason": reason,
        "listed_worker": other,
        "list_age": 0.25,
        "reported_for": 4.25,
        "token": 1,
        "pool": "desk",
        "pool_token": 5,
    }
    assert_that(told, Equals([expected]))
    assert "worker" not in {name for fields in later for name in fields}


@pytest.mark.parametrize(
    ("tokens", "outcomes"),
    [
        ((5, 5, 6), (pb.ACCEPTED, pb.ACCEPTED, pb.ACCEPTED)),
        ((5, 6, 5, 6), (pb.ACCEPTED, pb.ACCEPTED, pb.NOT_OWNER, pb.ACCEPTED)),
    ],
)
def test_reports_of_a_replaced_owner_are_ignored(tokens, outcomes):
    """It may not know the runs that its successor has started on a cordoned worker."""
    planner = make_planner(ManualClock(100.0), FakeVmList())
    found, workers = [], []
    for token in tokens:
        report = make_report(f"seen-by-{token}")
        report.token = token
        found.append(planner.handle_report(report).outcome)
        workers.append(list(planner.reports.latest["desk"].by_worker))
    assert_that(tuple(found), Equals(outcomes))
    assert_that(workers[-1], Equals([f"seen-by-{max(tokens)}"]))
    assert_that(workers[-2], Equals([f"seen-by-{max(tokens[:-1])}"]))


@pytest.mark.parametrize(
    ("after", "pool", "seconds"),
    [
        (0.0, "desk", [1.75]),
        (1.5, "desk", [0.25]),
        (4.0, "desk", [0.2]),
        (0.0, "off", []),
        (9.0, "desk", []),
    ],
)
def test_the_plan_contains_when_vms_will_join_the_pool(after, pool, seconds):
    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        planner.dispatcher.moving = {
            "m-1": ("desk", clock.now() + Timing().move + JOIN_MARGIN_SECONDS)
        }
        clock.advance(after)
        vms.vms = listed(Phase.MOVING, "")
        await planner._plan_once()
        message = pb.PoolReport(pool=pool, token=5)
        return [round(value, 3) for value in planner.handle_report(message).coming_seconds]

    assert_that(anyio.run(scenario), Equals(seconds))


@pytest.mark.parametrize(
    ("vms", "runs", "may_remove"),
    [
        (listed(worker="old"), 0, True),
        (listed(worker="old"), 1, False),
        (listed(worker="new"), 1, True),
        (OTHERS, 0, True),
        (OTHERS, 1, False),
        ([FleetVm("m-1", "", Phase.UNKNOWN)], 0, True),
        ([FleetVm("m-1", "", Phase.UNKNOWN)], 1, False),
        ([FleetVm("", "", Phase.UNKNOWN)], 1, False),
    ],
)
def test_vm_that_one_list_lacks_is_ordered_away_only_if_it_is_drained(vms, runs, may_remove):
    async def scenario():
        clock, vm_list = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vm_list)
        vm_list.vms = vms
        await planner._plan_once()
        planner.inventory.cordon_sent_at["m-1"] = clock.now()
        clock.advance(0.1)
        report = make_report("old")
        report.workers[0].cordoned, report.workers[0].timed_runs = True, runs
        planner.handle_report(report)
        return planner.reports.may_remove(listed(worker="old")[0])

    assert_that(anyio.run(scenario), Equals(may_remove))


# Guards against runs that start, and end at once, on a worker that the planner before has just
# ordered away: with its cordon lifted, it takes tasks until its move or maintenance is seen.
@pytest.mark.parametrize(
    ("known", "outcome", "cordoned"),
    [
        ("nothing", pb.UNKNOWN, []),
        ("orders", pb.UNKNOWN, []),
        ("orders-and-list", pb.ACCEPTED, ["w"]),
    ],
)
def test_new_planner_lifts_no_cordon_before_it_knows_the_orders_of_the_planner_before(
    known, outcome, cordoned
):
    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms, restored=False)
        record = PlannerRecord(1, (OrderIntent("m-1", "w", "off", wait=3.0),))
        store, key = planner.context.store, planner.context.keys.succession
        await store.commit([], [Put(key, encode_planner_record(record))])
        vms.vms = listed(worker="w")
        if known != "nothing":
            await planner.intents._load()
        if known == "orders-and-list":
            await planner._plan_once()
        plan = planner.handle_report(make_report("w"))
        return plan.outcome, list(plan.cordoned_workers)

    assert_that(anyio.run(scenario), Equals((outcome, cordoned)))


def raise_fault(*args):
    """Raise an error that nobody expects."""
    raise RuntimeError("fault")


def test_error_about_one_report_is_an_answer_that_tells_nothing():
    planner = make_planner(ManualClock(100.0), FakeVmList())
    judge_ended = planner.reports.judge_ended
    planner.reports.judge_ended = lambda message, token: (
        raise_fault() if message.pool == "tour" else judge_ended(message, token)
    )
    found = {
        pool: planner.handle_report(pb.PoolReport(pool=pool, token=5)).outcome
        for pool in ("tour", "desk")
    }
    assert_that(found, Equals({"tour": pb.UNKNOWN, "desk": pb.ACCEPTED}))


LOAD_FIELDS = [
    "running_cores",
    "waiting_core_seconds",
    "ready_cores",
    "refused_core_seconds",
    "lasting_cores",
    "arriving_cores",
]


@pytest.mark.parametrize("field", LOAD_FIELDS)
@pytest.mark.parametrize("value", [float("nan"), float("inf"), -float("inf"), 1e308])
def test_report_with_an_odd_load_concerns_its_own_pool_only(field, value):
    async def scenario():
        planner = make_planner(ManualClock(100.0), vms := FakeVmList())
        planner.context.config.pools["tour"] = PoolConfig("tour")
        vms.vms = [
            FleetVm("m-1", "desk", Phase.UP, "w", cores=4.0),
            FleetVm("m-2", "tour", Phase.UP, "v", cores=4.0),
        ]
        planner.handle_report(make_report("w"))
        planner.handle_report(pb.PoolReport(pool="tour", token=5, **{field: value}))
        await planner._plan_once()
        return set(planner.demand_history.samples)

    assert "desk" in anyio.run(scenario)


@pytest.mark.parametrize("seam", ["choose_for_maintenance", "choose_for_moves", "move_orders"])
def test_planner_goes_on_after_a_round_that_failed(seam):
    async def scenario():
        planner = make_planner(ManualClock(100.0), vms := FakeVmList())
        vms.vms = listed(worker="w")
        function, calls = getattr(planner.selector, seam), []

        def fail_at_first(*args):
            calls.append(args)
            return raise_fault() if len(calls) < 3 else function(*args)

        setattr(planner.selector, seam, fail_at_first)
        with anyio.move_on_after(1.5):
            await planner.run()
        return len(calls)

    assert anyio.run(scenario) > 3


@pytest.mark.parametrize("known", [True, False], ids=["loaded before", "loaded after"])
def test_vm_counts_as_down_for_a_maintenance_once_its_row_cannot_be_read(known):
    """A planner before may have ordered its maintenance, which the list does not show now."""

    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        waves = planner.wave_tracker.wave_registry.waves
        vms.vms = listed(worker="w") + OTHERS
        if known:
            waves["7"] = WaveOrder("7", ("m-1", "m-2"), 60.0, 1)
            await planner._plan_once()
        vms.vms = unreadable() + OTHERS
        await planner._plan_once()
        waves["7"] = WaveOrder("7", ("m-1", "m-2"), 60.0, 1)
        draining = []
        for _ in range(3):
            clock.advance(0.1)
            await planner._plan_once()
            draining.append(sorted(planner.inventory.draining))
        clock.advance(planner.context.timing.maintenance + 1.0)
        await planner._plan_once()
        return draining, sorted(planner.inventory.draining)

    assert_that(anyio.run(scenario), Equals(([[]] * 3, ["m-2"])))


# Guards against LOST where idle workers are cordoned although no pool receives their VMs.
@pytest.mark.parametrize(("standby", "drained"), [(True, 3), (False, 0)])
def test_surplus_vms_are_drained_only_if_a_pool_receives_them(standby, drained):
    async def scenario():
        clock, vms = ManualClock(100.0), FakeVmList()
        planner = make_planner(clock, vms)
        if not standby:
            del planner.context.config.pools["off"]
        vms.vms = [FleetVm(f"m-{n}", "desk", Phase.UP, f"w-{n}", cores=4.0) for n in range(6)]
        planner.demand_history.homes = {"desk": 6}
        planner.demand_history.forecaster.record("desk", True, 6, 80.0)
        for _ in range(40):
            clock.advance(0.1)
            planner.handle_report(pb.PoolReport(pool="desk", token=5))
            await planner._plan_once()
        return len(planner.inventory.draining)

    assert_that(anyio.run(scenario), Equals(drained))


IDLE_SECONDS = 4.0


async def plan_idle(planner, needed=(), wave=False, labels=("",) * 6):
    """Plan for a pool of six idle VMs for some time."""
    planner.platform.vms = [
        FleetVm(
            f"m-{n}",
            "desk",
            Phase.UP,
            f"w-{n}",
            f"r{n}",
            cores=4.0,
            labels=frozenset({label, f"r{n}"} - {""}),
        )
        for n, label in enumerate(labels)
    ]
    planner.demand_history.homes = {"desk": 6}
    if wave:
        vms = tuple(vm.name for vm in planner.platform.vms)
        planner.wave_tracker.wave_registry.waves["7"] = WaveOrder("7", vms, 60.0, 1)
    for _ in range(round(IDLE_SECONDS / 0.1)):
        planner.context.clock.advance(0.1)
        planner.handle_report(report_needed(needed))
        await planner._plan_once()


def report_needed(needed, cordoned=()):
    rows = [
        pb.WorkerReport(
            worker=f"w-{n}",
            vm=f"m-{n}",
            incarnation=1,
            needed=f"m-{n}" in needed,
            cordoned=f"w-{n}" in cordoned,
        )
        for n in range(6)
    ]
    return pb.PoolReport(pool="desk", token=5, workers=rows)


# Guards against LOST where the VMs that an accepted job cannot do without leave its pool.
@pytest.mark.parametrize(
    ("needed", "drained"),
    [
        ((), ["m-0", "m-1", "m-2"]),
        (("m-0", "m-1"), ["m-2", "m-3", "m-4"]),
        (("m-0", "m-1", "m-2", "m-3"), ["m-4", "m-5"]),
        (tuple(f"m-{n}" for n in range(6)), []),
    ],
)
def test_needed_vms_are_not_drained_for_moves(needed, drained):
    async def scenario():
        planner = make_planner(ManualClock(100.0), FakeVmList())
        await plan_idle(planner, needed)
        return sorted(planner.inventory.draining)

    assert_that(anyio.run(scenario), Equals(drained))


def test_needed_vms_are_drained_for_maintenance():
    async def scenario():
        planner = make_planner(ManualClock(100.0), FakeVmList())
        await plan_idle(planner, [f"m-{n}" for n in range(6)], wave=True)
        return list(planner.inventory.draining.values())

    assert_that(anyio.run(scenario), Equals(["wave 7"]))


@pytest.mark.parametrize(("ordered", "cordoned"), [(False, ["w-1", "w-2"]), (True, None)])
def test_cordon_of_a_needed_worker_ends_with_the_answer_to_its_report(ordered, cordoned):
    async def scenario():
        planner = make_planner(ManualClock(100.0), FakeVmList())
        await plan_idle(planner)
        if ordered:
            planner.dispatcher.in_flight.add("m-0")
        answer = planner.handle_report(report_needed(["m-0"]))
        return list(answer.cordoned_workers)

    assert_that(anyio.run(scenario), Equals(cordoned or ["w-0", "w-1", "w-2"]))


def test_move_is_not_ordered_once_the_vm_is_needed():
    async def scenario():
        planner = make_planner(ManualClock(100.0), FakeVmList())
        await plan_idle(planner)
        vm, found = planner.inventory.vms["m-0"], []
        planner.dispatcher.in_flight.add("m-0")
        for needed in ((), ("m-0",)):
            planner.context.clock.advance(0.1)
            planner.handle_report(report_needed(needed, cordoned=("w-0",)))
            found.append(planner.reports.may_remove(vm))
        return found

    assert_that(anyio.run(scenario), Equals([True, False]))


@pytest.mark.parametrize(
    ("labels", "drained"),
    [
        (["a", "a", "a", "b", "b", "b"], ["m-0", "m-1", "m-3"]),
        (["a", "b", "b", "b", "b", "b"], ["m-1", "m-2", "m-3"]),
        (["a", "b", "c", "d", "d", "d"], ["m-0", "m-3", "m-4"]),
        (["a", "b", "c", "d", "e", "f"], ["m-0", "m-1", "m-2"]),
        ([""] * 6, ["m-0", "m-1", "m-2"]),
    ],
)
def test_a_vm_with_each_label_stays_in_its_pool_if_possible(labels, drained):
    async def scenario():
        planner = make_planner(ManualClock(100.0), FakeVmList())
        await plan_idle(planner, labels=labels)
        return sorted(planner.inventory.draining)

    assert_that(anyio.run(scenario), Equals(drained))
