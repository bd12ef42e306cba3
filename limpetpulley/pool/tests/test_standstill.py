"""What the log tells of a job that could run and does not."""

import pytest

from ...batch import Step
from .test_planning import JOB, NOW, TASK, hold, make_pool_state, plan


def avoid(pool_state, name):
    pool_state.workers[name].avoid_until = NOW + 60.0


def silence(pool_state, name):
    pool_state.workers[name].silent = True


def cordon(pool_state, name):
    pool_state.workers[name].cordoned = True


@pytest.mark.parametrize(
    ("hinder", "reason"),
    [(avoid, "avoided"), (silence, "silent"), (cordon, "draining")],
)
def test_job_that_stands_still_is_reported_with_the_reason(hinder, reason):
    pool_state, events = make_pool_state(Step(1, TASK)), []
    pool_state.on_event = events.append
    for place in range(50):
        now = NOW + 0.11 * place
        for name in ("w1", "w2"):
            hold(pool_state, name, now=now)
            hinder(pool_state, name)
        assert plan(pool_state, now=now) == []
    told = [event for event in events if event.event == "job-stands-still"]
    assert [event.task.job_id for event in told] == [JOB] * 3
    assert all(f"2 workers {reason}" in event.detail for event in told)


def test_job_without_room_anywhere_is_not_reported():
    pool_state, events = make_pool_state(Step(1, TASK * 5)), []
    pool_state.on_event = events.append
    for place in range(40):
        now = NOW + 0.11 * place
        for name in ("w1", "w2"):
            hold(pool_state, name, now=now)
        assert plan(pool_state, now=now) == []
    assert events == []


def test_report_ends_when_the_job_runs():
    pool_state, events = make_pool_state(Step(1, TASK)), []
    pool_state.on_event = events.append
    for name in ("w1", "w2"):
        cordon(pool_state, name)
    plan(pool_state, now=NOW)
    pool_state.workers["w1"].cordoned = False
    hold(pool_state, "w1", now=NOW + 0.5)
    assert len(plan(pool_state, now=NOW + 0.5)) == 1
    hold(pool_state, "w1", now=NOW + 2.0)
    plan(pool_state, now=NOW + 2.0)
    assert pool_state.standstills == {} and events == []
