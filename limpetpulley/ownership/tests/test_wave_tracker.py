"""Progress of maintenance waves while the store does not answer."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...exception import StoreUnavailable
from ...fleet.vms import FleetVm, Phase, WaveOrder
from ...store import Put
from .test_daemons import run_scenario


@pytest.mark.parametrize("lost", [1, 2])
def test_wave_is_stored_as_completed_although_the_store_did_not_answer(lost):
    async def scenario(deployment):
        fleet = deployment.fleet
        node = next(d.node for d in fleet.daemons.values() if d.node.planner is not None)
        tracker = node.planner.wave_tracker
        store_wave, failures = tracker._store_wave, []

        async def fail_when_completed(wave):
            if wave.completed and len(failures) < lost:
                failures.append(wave.order.name)
                raise StoreUnavailable("no answer")
            await store_wave(wave)

        tracker._store_wave = fail_when_completed
        fleet.order_wave(WaveOrder("7", ("desk-0",), 20.0, 1))
        await anyio.sleep(15.0)
        entry = await fleet.store.get(node.context.keys.wave("7"))
        return len(failures), b'"completed": true' in entry.value

    assert_that(run_scenario(scenario), Equals((lost, True)))


class LateWaveWrite:
    """A store that carries out the first write of a wave's progress late, without an answer.

    :param tasks: task group in which it is carried out
    """

    def __init__(self, store, tasks, key, late_seconds):
        self.store, self.tasks, self.key, self.late_seconds = store, tasks, key, late_seconds
        self.is_late_due = True

    def __getattr__(self, name):
        return getattr(self.store, name)

    async def commit(self, compares, writes):
        if not self.is_late_due or not any(write.key == self.key for write in writes):
            return await self.store.commit(compares, writes)
        self.is_late_due = False
        self.tasks.start_soon(self._commit_late, compares, writes)
        raise StoreUnavailable("no answer")

    async def _commit_late(self, compares, writes):
        await anyio.sleep(self.late_seconds)
        await self.store.commit(compares, writes)


# Guards against a completed wave that is shown as running for good, since a write was late.
@pytest.mark.parametrize("late_seconds", [0.1, 1.0, 6.0, 10.0])
def test_late_write_of_a_wave_does_not_replace_a_later_one(late_seconds):
    async def scenario(deployment):
        fleet = deployment.fleet
        for daemon in fleet.daemons.values():
            context = daemon.node.context
            context.store = LateWaveWrite(
                context.store, fleet.tasks, context.keys.wave("7"), late_seconds
            )
        fleet.order_wave(WaveOrder("7", ("desk-0",), 20.0, 1))
        await anyio.sleep(15.0)
        states = [await fleet.store.get(key) for key in (context.keys.wave("7"), "state/7")]
        return b'"completed": true' in states[0].value, states[1].value

    assert_that(run_scenario(scenario), Equals((True, b"completed")))


def replace_rows(fleet, names, phases=frozenset(Phase)):
    """Let the list of VMs have rows that cannot be read for VMs in some phases."""
    list_vms = fleet.vms.list_vms

    async def list_with_odd_rows():
        return [
            (
                FleetVm(vm.name, "", Phase.UNKNOWN, problem="odd")
                if vm.name in names and vm.phase in phases
                else vm
            )
            for vm in await list_vms()
        ]

    fleet.vms.list_vms = list_with_odd_rows


def test_wave_goes_on_beside_a_vm_whose_row_cannot_be_read():
    """It is not complete without that VM."""

    async def scenario(deployment):
        fleet = deployment.fleet
        replace_rows(fleet, {"desk-0"})
        names = ("desk-0", "desk-1", "tour-1")
        fleet.order_wave(WaveOrder("7", names, 30.0, 1))
        await anyio.sleep(25.0)
        node = next(d.node for d in fleet.daemons.values() if d.node.planner is not None)
        wave = node.planner.wave_tracker.waves["7"]
        return wave.done, wave.completed

    assert_that(run_scenario(scenario), Equals(({"desk-1", "tour-1"}, False)))


def test_vms_whose_maintenance_cannot_be_read_count_as_down():
    async def scenario(deployment):
        fleet = deployment.fleet
        names = tuple(f"{pool}-{number}" for pool in ("desk", "tour") for number in range(3))
        replace_rows(fleet, set(names), {Phase.MAINTENANCE})
        fleet.order_wave(WaveOrder("7", names, 30.0, 1))
        most = 0
        for _ in range(250):
            await anyio.sleep(0.1)
            phases = [vm.phase for vm in fleet.vms._current_list()]
            most = max(most, phases.count(Phase.MAINTENANCE))
        return most

    assert_that(run_scenario(scenario), Equals(1))


def planner_of(fleet):
    """Return the fleet's planner."""
    return next(d.node.planner for d in fleet.daemons.values() if d.node.planner is not None)


@pytest.mark.parametrize("seam", ["encode_state", "_load_wave", "_restore_maintenance"])
@pytest.mark.parametrize("times", [1, 10_000])
def test_error_about_one_wave_concerns_that_wave_only(seam, times):
    """The planner goes on, and the wave is tried again."""

    async def scenario(deployment):
        fleet, failures = deployment.fleet, []
        planner = planner_of(fleet)
        part = fleet.wave_registry if seam == "encode_state" else planner.wave_tracker
        function = getattr(part, seam)

        def fail_for_one(subject, *args):
            name = getattr(getattr(subject, "order", subject), "name", subject)
            if name == "7" and len(failures) < times:
                failures.append(name)
                raise RuntimeError("fault")
            return function(subject, *args)

        setattr(part, seam, fail_for_one)
        fleet.order_wave(WaveOrder("7", ("desk-0",), 30.0, 1))
        fleet.order_wave(WaveOrder("8", ("tour-0",), 30.0, 1))
        await anyio.sleep(20.0)
        states = [await fleet.store.get(f"state/{name}") for name in "78"]
        same = planner_of(fleet) is planner
        return same, len(failures), [state and state.value for state in states]

    same, failures, states = run_scenario(scenario)
    assert same
    assert failures == 1 if times == 1 else 3 < failures < 20
    assert states == [b"completed" if times == 1 else None, b"completed"]


@pytest.mark.parametrize(
    "record",
    [
        b"",
        b"[]",
        b'{"begun":"x","done":[],"completed":false}',
        b'{"begun":NaN,"done":[],"completed":false}',
        b'{"begun":1,"done":[1,"a"],"completed":false}',
        b'{"begun":1,"done":7,"completed":false}',
        b'{"begun":1,"done":[],"completed":"no"}',
    ],
)
def test_wave_with_an_odd_stored_record_is_completed(record):
    async def scenario(deployment):
        fleet = deployment.fleet
        node = next(iter(fleet.daemons.values())).node
        planner = planner_of(fleet)
        fleet.store.apply([Put(node.context.keys.wave("7"), record)])
        fleet.order_wave(WaveOrder("7", ("desk-0",), 30.0, 1))
        await anyio.sleep(15.0)
        state = await fleet.store.get("state/7")
        return planner_of(fleet) is planner, state.value

    assert_that(run_scenario(scenario), Equals((True, b"completed")))
