"""Tests of endpoint health, the retry budget and endpoints that are leaving."""

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


def test_failing_endpoint_is_ejected_and_readmitted_gradually():
    clock = ManualClock()
    health = EndpointHealth(clock)
    for _ in range(3):
        health.record_failure("v0", POOL)
    assert_that(health.is_available("v0"), Is(False))
    clock.advance(6.0)
    assert_that(health.is_available("v0"), Is(True))
    health.record_start("v0")
    assert_that(health.is_available("v0"), Is(False))
    health.record_end("v0")
    health.record_failure("v0", POOL)
    clock.advance(6.0)
    assert_that(health.is_available("v0"), Is(False))


def test_only_a_fraction_of_a_pool_is_ejected():
    health = EndpointHealth(ManualClock())
    for vm in POOL:
        for _ in range(5):
            health.record_failure(vm, POOL)
    assert_that(len(health.ejected_vms()), Equals(2))


def test_retracted_failures_do_not_eject_an_endpoint():
    health = EndpointHealth(ManualClock())
    for _ in range(3):
        health.record_failure("v0", POOL)
    for _ in range(3):
        health.retract_failure("v0")
    assert_that(health.is_available("v0"), Is(True))


def test_retries_are_limited_to_a_fraction_of_the_traffic():
    budget = RetryBudget(balance=0.0)
    for _ in range(50):
        budget.deposit()
    assert_that(sum(budget.try_withdraw() for _ in range(50)), Equals(10))


@pytest.mark.parametrize(
    ("phase", "listed", "answered", "takes_jobs"),
    [
        (VmPhase.JOINED, VmState.LIVE, False, True),
        (VmPhase.LEAVING, VmState.LIVE, False, False),
        (VmPhase.JOINED, VmState.LEAVING, False, False),
        (VmPhase.JOINED, None, False, False),
        (VmPhase.JOINED, VmState.LIVE, True, False),
    ],
)
def test_any_sign_of_leaving_stops_new_jobs(phase, listed, answered, takes_jobs):
    endpoints = EndpointSet("d", ManualClock(), EndpointHealth(ManualClock()))
    replica = ConfigReplica()
    replica.apply(Record("vm", "a", 1, Vm("a", "p", "h:1", "r", "d", phase=phase)))
    endpoints.update(replica)
    others = [ListedVm("other", VmState.LIVE)]
    endpoints.update_listed_vms([*others, ListedVm("a", listed)] if listed else others)
    if answered:
        endpoints.mark_leaving("a")
    assert_that(endpoints.takes_jobs("a"), Is(takes_jobs))


@pytest.mark.parametrize("others_leave", [True, False])
def test_ejected_endpoint_takes_jobs_while_no_other_is_left(others_leave):
    clock, replica = ManualClock(), ConfigReplica()
    endpoints = EndpointSet("d", clock, EndpointHealth(clock))
    for name in ("a", "b"):
        vm = Vm(name, "p", "h:1", "r", "d", phase=VmPhase.JOINED)
        replica.apply(Record("vm", name, 1, vm))
    endpoints.update(replica)
    endpoints.update_listed_vms([ListedVm(name, VmState.LIVE) for name in ("a", "b")])
    for _ in range(3):
        endpoints.health.record_failure("a", ("a", "b"))
    assert list(endpoints.in_pool("p")) == ["b"]
    if others_leave:
        endpoints.mark_leaving("b")
    assert list(endpoints.in_pool("p")) == (["a"] if others_leave else ["b"])
    assert endpoints.takes_jobs("a") is others_leave
