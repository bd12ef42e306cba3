"""In a fleet of hundreds of VMs, the pools that peak in turn get VMs while their peaks last."""

import pytest

from ...fleet.vms import WaveOrder
from .. import planner
from .fleet_simulation import FleetLoad, simulate_fleet

SEEDS = (1, 2)
PEAK_INTERVAL_SECONDS = FleetLoad().peak_seconds + FleetLoad().gap_seconds
#: longest time from the start of a peak until its pool has nine tenths of the VMs required, in
#: seconds
MAX_RAMP_SECONDS = 3.0


@pytest.fixture(scope="module", params=SEEDS)
def result(request):
    return simulate_fleet(FleetLoad(), request.param)


def test_a_peak_gets_its_vms_within_three_seconds(result):
    ramps = [
        result.ramp_seconds(pool, number * PEAK_INTERVAL_SECONDS)
        for number, pool in enumerate("abcd")
    ]
    assert max(ramps) < MAX_RAMP_SECONDS, ramps


def test_no_move_ends_a_task(result):
    assert result.lost == 0


def test_most_tasks_start_in_time(result):
    assert result.served_share > 0.8


def test_sequential_orders_are_too_slow_for_a_peak():
    """A loop that waits for the answer of each order sends ten orders per second."""
    slow_result = simulate_fleet(FleetLoad(orders_per_second=10.0))
    assert slow_result.ramp_seconds("a", 0.0) > MAX_RAMP_SECONDS


@pytest.mark.parametrize("order", ["abcd", "dcba", "abab", "aabb"])
def test_any_order_of_peaks_is_served(order):
    assert simulate_fleet(FleetLoad(order=order)).served_share > 0.75


def test_a_quiet_fleet_keeps_few_vms_in_use_and_moves_few():
    load = FleetLoad(peak=0.03)
    result = simulate_fleet(load)
    ticks = len(result.vms["a"])
    vms_in_use = sum(result.vms[pool][ticks // 2] for pool in "abcd")
    assert vms_in_use < sum(load.initial_vms.values()) / 2
    assert result.moves < sum(load.initial_vms.values())


@pytest.mark.parametrize("seed", SEEDS)
def test_a_wave_during_two_peaks_finishes_in_time_within_its_limit(seed):
    initial_vms = FleetLoad().initial_vms
    names = [f"{pool}-{n}" for pool, count in initial_vms.items() for n in range(count // 2)]
    names += [f"off-{n}" for n in range(23)]
    wave = WaveOrder("7", tuple(names), 26.0, 56)
    load = FleetLoad(wave=wave)
    result = simulate_fleet(load, seed)
    assert result.wave_seconds <= wave.seconds
    assert result.most_down <= wave.at_once
    assert result.lost == 0
    assert result.served_share > simulate_fleet(load=FleetLoad(), seed=seed).served_share - 0.1


def test_a_planning_round_may_send_many_orders():
    assert planner.BUSY_INTERVAL_SECONDS * FleetLoad().orders_per_second > 10
