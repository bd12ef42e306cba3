"""Tests of health, retries and the signs that an endpoint is leaving."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...clock import ManualClock
from ...config import ConfigReplica, Record, Vm, VmPhase
from ...vms import ListedVm, VmState
from ..endpoints import EndpointSet
from ..health import EndpointHealth
from ..retries import RetryBudget

POOL = [f"v{n}" for n in range(6)]


def test_endpoint_that_fails_everything_is_taken_out_and_brought_back_slowly():
    clock = ManualClock()
    health = EndpointHealth(clock)
    for _ in range(3):
        health.failed("v0", POOL)
    assert_that(health.usable("v0"), Is(False))
    clock.advance(6.0)
    assert_that(health.usable("v0"), Is(True))
    health.started("v0")
    assert_that(health.usable("v0"), Is(False))
    health.ended("v0")
    health.failed("v0", POOL)
    clock.advance(6.0)
    assert_that(health.usable("v0"), Is(False))


def test_no_more_than_a_part_of_a_pool_is_out():
    health = EndpointHealth(ManualClock())
    for vm in POOL:
        for _ in range(5):
            health.failed(vm, POOL)
    assert_that(len(health.ejected_vms()), Equals(2))


def test_fault_of_a_job_is_not_held_against_endpoints():
    health = EndpointHealth(ManualClock())
    for _ in range(3):
        health.failed("v0", POOL)
    for _ in range(3):
        health.refund("v0")
    assert_that(health.usable("v0"), Is(True))


def test_retries_are_a_fraction_of_the_traffic():
    budget = RetryBudget(saved=0.0)
    for _ in range(50):
        budget.earn()
    assert_that(sum(budget.spend() for _ in range(50)), Equals(10))


@pytest.mark.parametrize(
    ("phase", "listed", "answered", "takes"),
    [
        (VmPhase.JOINED, VmState.LIVE, False, True),
        (VmPhase.LEAVING, VmState.LIVE, False, False),
        (VmPhase.JOINED, VmState.LEAVING, False, False),
        (VmPhase.JOINED, None, False, False),
        (VmPhase.JOINED, VmState.LIVE, True, False),
    ],
)
def test_first_sign_of_leaving_counts(phase, listed, answered, takes):
    endpoints = EndpointSet("d", ManualClock(), EndpointHealth(ManualClock()))
    replica = ConfigReplica()
    replica.apply(Record("vm", "a", 1, Vm("a", "p", "h:1", "r", "d", phase=phase)))
    endpoints.update(replica)
    known = [ListedVm("other", VmState.LIVE)]
    endpoints.update_listed_vms([*known, ListedVm("a", listed)] if listed else known)
    if answered:
        endpoints.note_leaving("a")
    assert_that(endpoints.takes_jobs("a"), Is(takes))
