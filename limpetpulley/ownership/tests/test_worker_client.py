"""The lease of a worker that stops to answer lapses as soon as it can, and its tasks go on."""

import anyio
import pytest

from ...batch import EndKind
from ..worker_client import MAX_LEASE_SECONDS
from .test_daemons import TASK, JobSpec, Step, run_scenario, two_step_spec

#: the lapse by a slow clock, and a plan
SLACK_SECONDS = 0.4
#: age that the last extension may have when a worker is lost: a hold waits so long for an end
HOLD_SECONDS = 1.0


class Silencer:
    """Lets holds reach their workers, and keeps the answers of one back once it is set."""

    def __init__(self, day):
        self.inner = day.fleet.workers.hold
        self.silent = ""
        day.fleet.workers.hold = self.hold

    async def hold(self, listed, *args):
        reply = await self.inner(listed, *args)
        while listed.worker_id == self.silent:
            await anyio.sleep(1)
        return reply


def play_loss(how, copies):
    """Return the seconds from a worker's loss to the next start of its task."""

    async def story(day):
        silencer = Silencer(day)
        await anyio.sleep(2.0)
        step = Step(2, TASK, 9.0, speculative=copies)
        await day.submit("desk", JobSpec("9.0", (step,)))
        await anyio.sleep(0.4)
        first = day.fleet.runs[0]
        lost_at = day.clock.now()
        if how == "refuses":
            day.fleet.workers.workers[first.worker_id].alive = False
        else:
            silencer.silent = first.worker_id
        await anyio.sleep(2 * MAX_LEASE_SECONDS)
        again = [run for run in day.fleet.runs if run.order.task == first.order.task]
        return again[1].at - lost_at

    return run_scenario(story)


@pytest.mark.parametrize("how", ["refuses", "hears"])
def test_tasks_of_a_silent_worker_start_again_when_its_lease_has_lapsed(how):
    seconds = play_loss(how, copies=False)
    assert seconds >= MAX_LEASE_SECONDS - HOLD_SECONDS - SLACK_SECONDS
    assert seconds <= MAX_LEASE_SECONDS * 1.03 + SLACK_SECONDS


@pytest.mark.parametrize(("how", "longest"), [("refuses", 1.0), ("hears", 2.5)])
def test_a_task_that_allows_copies_starts_elsewhere_without_waiting_for_the_lapse(how, longest):
    assert play_loss(how, copies=True) < longest


def test_of_two_copies_the_first_end_counts_and_the_other_is_stopped():
    async def story(day):
        await anyio.sleep(2.0)
        await day.submit("desk", JobSpec("2.0", (Step(1, TASK, 2.0, speculative=True),)))
        await anyio.sleep(0.5)
        worker = day.fleet.workers.workers[day.fleet.runs[0].worker_id]
        worker.alive = False
        await anyio.sleep(1.2)
        worker.alive = True
        await anyio.sleep(3.0)
        ends = [end.kind for each in day.fleet.workers.workers.values() for end in each.ended]
        running = sum(len(each.runs) for each in day.fleet.workers.workers.values())
        return len(day.fleet.runs), running, ends, await day.states()

    starts, running, ends, states = run_scenario(story)
    assert (starts, running) == (2, 0)
    assert EndKind.LAPSED not in ends
    assert set(map(str, states.values())) == {"completed"}


def test_a_worker_whose_calls_fail_for_a_moment_keeps_its_runs():
    async def story(day):
        await day.submit("desk", two_step_spec(3.0))
        await anyio.sleep(0.4)
        worker = day.fleet.workers.workers[day.fleet.runs[0].worker_id]
        for _ in range(6):
            worker.alive = False
            await anyio.sleep(0.5)
            worker.alive = True
            await anyio.sleep(0.5)
        await anyio.sleep(2.0)
        return worker, await day.states()

    worker, states = run_scenario(story)
    assert not [end for end in worker.ended if end.kind is EndKind.LAPSED]
    assert set(map(str, states.values())) == {"completed"}
