"""The judge of the runs in zones: what it finds, and what it takes for allowed."""

import attrs
import pytest

from limpetpulley.batch import Amount, TaskId
from limpetpulley.clock import ManualClock
from limpetpulley.standin.workers import MemoryWorker, RunPlan
from limpetpulley.workers import ListedWorker, StartOrder

from .zone_judge import CALL, Call, TwiceJudge, Verdict

TASK = TaskId("0000000000000001", 0, 0, 0)
RUN_SECONDS = 2.0
LEASE_SECONDS = 4.0


@attrs.define(eq=False)
class Bench:
    """A judge and two workers on a clock that is advanced by hand."""

    clock: ManualClock = attrs.field(factory=ManualClock)
    judge: TwiceJudge = attrs.field(init=False)
    workers: list[MemoryWorker] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.judge = TwiceJudge(self.clock.now, lambda pool, token: 1.0 if token == 1 else None)
        self.workers = [self._make_worker(name) for name in ("one", "other")]

    def _make_worker(self, name: str) -> MemoryWorker:
        listed = ListedWorker(name, "desk", "", 1, Amount(1000, 1000))
        worker = MemoryWorker(listed, self.clock, lambda order: RunPlan(RUN_SECONDS))
        worker.observer = self.judge
        return worker

    def start(self, index: int, number: int, token: int) -> None:
        """Start a run of the task on a worker, as the owner with a token."""
        worker = self.workers[index]
        CALL.set(Call(f"owner-{token}", token, self.clock.now()))
        order = StartOrder(worker.listed.worker_id, TASK, number, "")
        worker.start(order, token, worker.time() + LEASE_SECONDS)

    def hold(self, index: int, acknowledged: int, token: int) -> None:
        """Extend a worker's lease and acknowledge its ends up to a position."""
        worker = self.workers[index]
        CALL.set(Call(f"owner-{token}", token, self.clock.now()))
        worker.hold(token, acknowledged, worker.time() + LEASE_SECONDS)

    def verdicts(self) -> list[Verdict]:
        """Return the verdicts of all findings."""
        return [finding.verdict for finding in self.judge.findings]


@pytest.fixture
def bench():
    return Bench()


def test_two_runs_at_once(bench):
    bench.start(0, 1, 1)
    bench.clock.advance(1.5)
    bench.start(1, 2, 1)
    assert bench.verdicts() == [Verdict.OVERLAP]
    assert bench.judge.findings[0].has_replaced_owner


def test_a_run_that_ended_unnoticed_or_on_a_worker_that_is_down_does_not_overlap(bench):
    bench.start(0, 1, 1)
    bench.clock.advance(RUN_SECONDS + 0.1)
    bench.start(1, 2, 2)
    bench.workers[1].crash()
    bench.workers.append(bench._make_worker("third"))
    bench.start(2, 3, 2)
    assert bench.verdicts() == []


@pytest.mark.parametrize("acknowledged_first", [True, False])
def test_a_start_after_an_end_that_is_acknowledged_before_or_later(bench, acknowledged_first):
    bench.start(0, 1, 1)
    bench.clock.advance(RUN_SECONDS + 0.1)
    if acknowledged_first:
        bench.hold(0, 1, 2)
    bench.start(1, 2, 1)
    assert bench.verdicts() == [Verdict.AFTER_DONE] * acknowledged_first
    bench.hold(0, 1, 2)
    assert bench.verdicts() == [Verdict.AFTER_DONE]
    text = str(bench.judge.findings[0])
    assert "ended 2.000 done, acknowledged 2.100 by owner-2 token 2" in text


def test_an_end_that_is_acknowledged_after_the_lease_has_lapsed_does_not_count(bench):
    bench.start(0, 1, 1)
    bench.clock.advance(LEASE_SECONDS + 0.1)
    bench.start(1, 2, 2)
    bench.hold(0, 1, 2)
    assert bench.verdicts() == []


def test_an_end_whose_lease_lapses_after_the_acknowledgement_counts(bench):
    bench.start(0, 1, 1)
    bench.clock.advance(RUN_SECONDS + 0.1)
    bench.hold(0, 1, 2)
    bench.clock.advance(LEASE_SECONDS + 1.0)
    bench.start(1, 2, 2)
    assert bench.verdicts() == [Verdict.AFTER_DONE]


def test_a_start_after_the_job_was_shown_as_completed(bench):
    bench.judge.show_completed(TASK.job_id)
    bench.clock.advance(0.9)
    bench.start(0, 1, 2)
    assert bench.verdicts() == []
    bench.clock.advance(RUN_SECONDS + 0.1)
    bench.start(0, 2, 2)
    assert bench.verdicts() == [Verdict.AFTER_COMPLETED]
    assert not bench.judge.findings[0].has_replaced_owner
