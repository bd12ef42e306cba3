"""The ``expect`` statements of scenarios, and the observations that they check."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

import anyio
import attrs

from limpetpulley.quota.resource import slot_resource, team_resource
from limpetpulley.standin.cluster import Cluster, JobOutcome

SAMPLE_SECONDS = 0.05
RATE_WINDOW_SECONDS = 60.0


@attrs.define
class Batch:
    """Jobs submitted by statements with the same name.

    :param outcomes: outcomes of the finished jobs
    :param cancelled: set when the callers cancel
    :param submitted: number of submitted jobs
    """

    outcomes: list[JobOutcome] = attrs.field(factory=list)
    cancelled: anyio.Event = attrs.field(factory=anyio.Event)
    submitted: int = 0


@attrs.define
class Expectations:
    """Implements the statements that start with ``expect``, one method for each grammar rule.

    :param batches: submitted jobs, by name
    :param limits: highest limit that each team has had
    :param most_running: most jobs of each team seen running at once
    :param shares: running jobs of each team, summed over the samples since the last mark
    :param runs_at_mark: runs that each endpoint had recorded at the last mark
    :param store_calls: time, writes and reads of the store so far, at each sample
    :param change_refused: whether the last configuration change was refused
    """

    cluster: Cluster
    batches: dict[str, Batch] = attrs.field(factory=dict, kw_only=True)
    limits: dict[str, int] = attrs.field(factory=dict, kw_only=True)
    most_running: Counter[str] = attrs.field(factory=Counter, kw_only=True)
    shares: Any = attrs.field(factory=lambda: defaultdict(float), kw_only=True)
    runs_at_mark: dict[str, int] = attrs.field(factory=dict, kw_only=True)
    store_calls: list[tuple[float, int, int]] = attrs.field(factory=list, kw_only=True)
    change_refused: bool = attrs.field(default=False, kw_only=True)

    def config_object(self, kind: str, name: str) -> Any:
        """Return a configuration object as the first daemon has it."""
        return next(iter(self.cluster.nodes.values())).replica.get(kind, name)

    def mark(self, name: str) -> None:
        self.runs_at_mark = {vm: len(e.runs) for vm, e in self.cluster.endpoints.items()}
        self.shares.clear()

    def expect_all(self, name: str, outcome_kind: str, reason: str | None) -> None:
        outcomes = self.batches[name].outcomes
        assert outcomes and len(outcomes) == self.batches[name].submitted, f"{name} is not finished"
        unexpected = [
            outcome for outcome in outcomes if not _matches(outcome, outcome_kind, reason)
        ]
        assert (
            not unexpected
        ), f"{len(unexpected)} of {len(outcomes)} are not {outcome_kind}: {unexpected[0]}"

    def expect_least(self, name: str, count: str, outcome_kind: str, reason: str | None) -> None:
        outcomes = self.batches[name].outcomes
        found = sum(_matches(outcome, outcome_kind, reason) for outcome in outcomes)
        assert found >= int(count), f"{found} {outcome_kind}: {Counter(map(_describe, outcomes))}"

    def expect_none(self, name: str, outcome_kind: str, reason: str | None) -> None:
        found = [o for o in self.batches[name].outcomes if _matches(o, outcome_kind, reason)]
        assert not found, f"{len(found)} are {outcome_kind}: {found[0]}"

    def expect_fast(self, name: str, seconds: str) -> None:
        slow = [o for o in self.batches[name].outcomes if o.seconds > float(seconds)]
        assert not slow, f"{len(slow)} took longer than {seconds} s: {slow[0]}"

    def expect_runs(self, key: str, count: str) -> None:
        runs = [r for e in self.cluster.endpoints.values() for r in e.runs if r.key == key]
        assert len(runs) == int(count), f"{key} ran {len(runs)} times"

    def expect_quiet(self, vm: str) -> None:
        new_runs = len(self.cluster.endpoints[vm].runs) - self.runs_at_mark[vm]
        assert new_runs == 0, f"{new_runs} new runs were started at {vm}"

    def expect_busy(self, daemon: str) -> None:
        assert self.cluster.nodes[daemon].dispatcher.active, f"{daemon} runs no job"

    def expect_running(self, team: str, count: str) -> None:
        running = sum(e.running_by_team[team] for e in self.cluster.endpoints.values())
        assert running <= int(count), f"{team} runs {running} jobs"

    async def expect_permits(self, name: str, count: str, seconds: str) -> None:
        is_team = name in self.limits
        resource = team_resource(name) if is_team else slot_resource(name)
        await self._wait_until(lambda: self.cluster.held(resource) == int(count), seconds)
        assert self.cluster.held(resource) == int(
            count
        ), f"{self.cluster.held(resource)} permits held"

    async def expect_vm(self, name: str, pool: str, phase: str, seconds: str) -> None:
        def is_reached() -> bool:
            vm = self.config_object("vm", name)
            return vm is not None and vm.pool == pool and vm.phase == phase

        await self._wait_until(is_reached, seconds)
        assert is_reached(), str(self.config_object("vm", name))

    async def expect_wave(self, name: str, state: str, seconds: str) -> None:
        def is_reached() -> bool:
            wave = self.config_object("wave", name)
            return wave is not None and wave.state == state

        await self._wait_until(is_reached, seconds)
        assert is_reached(), str(self.config_object("wave", name))

    async def expect_members(self, count: str, seconds: str) -> None:
        def is_reached() -> bool:
            view = next(iter(self.cluster.nodes.values())).member.view
            return view is not None and len(view.members) == int(count) and view.state == "open"

        await self._wait_until(is_reached, seconds)
        assert is_reached()

    def expect_share(self, team: str, low: str, high: str) -> None:
        share = self.shares[team] / sum(self.shares.values())
        assert float(low) <= share <= float(high), f"{team} had a share of {share:.3f}"

    def expect_calls(self, writes: str, reads: str) -> None:
        start = 0
        for now, total_writes, total_reads in self.store_calls:
            while self.store_calls[start][0] < now - RATE_WINDOW_SECONDS:
                start += 1
            window_start = self.store_calls[start]
            assert (
                total_writes - window_start[1] <= int(writes) * RATE_WINDOW_SECONDS
            ), f"{total_writes - window_start[1]} writes in {RATE_WINDOW_SECONDS:g} s"
            assert (
                total_reads - window_start[2] <= int(reads) * RATE_WINDOW_SECONDS
            ), f"{total_reads - window_start[2]} reads in {RATE_WINDOW_SECONDS:g} s"

    def expect_change(self) -> None:
        assert self.change_refused

    @staticmethod
    async def _wait_until(condition: Any, seconds: str) -> None:
        with anyio.move_on_after(float(seconds)):
            while not condition():
                await anyio.sleep(SAMPLE_SECONDS)


def _matches(outcome: JobOutcome, outcome_kind: str, reason: str | None) -> bool:
    kinds = {
        "answered": outcome.status == 200,
        "refused": outcome.run == "no",
        "unknown": outcome.run == "unknown",
        "broken": outcome.status == 0,
        "failed": outcome.status >= 500 and not outcome.run,
    }
    return kinds[outcome_kind] and (reason is None or outcome.reason == reason)


def _describe(outcome: JobOutcome) -> tuple[int, str, str]:
    return outcome.status, outcome.reason, outcome.run
