"""What scenarios expect, and what they remember for that."""

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
    """Jobs that were handed in together."""

    outcomes: list[JobOutcome] = attrs.field(factory=list)
    gone: anyio.Event = attrs.field(factory=anyio.Event)
    wanted: int = 0


@attrs.define
class Expectations:
    """The statements that start with ``expect``."""

    cluster: Cluster
    batches: dict[str, Batch] = attrs.field(factory=dict, kw_only=True)
    limits: dict[str, int] = attrs.field(factory=dict, kw_only=True)
    most_running: Counter[str] = attrs.field(factory=Counter, kw_only=True)
    shares: Any = attrs.field(factory=lambda: defaultdict(float), kw_only=True)
    runs_at_mark: dict[str, int] = attrs.field(factory=dict, kw_only=True)
    calls: list[tuple[float, int, int]] = attrs.field(factory=list, kw_only=True)
    change_refused: bool = attrs.field(default=False, kw_only=True)

    def held(self, kind: str, name: str) -> Any:
        """Return an object as the first daemon has it."""
        return next(iter(self.cluster.nodes.values())).replica.get(kind, name)

    def mark(self, name: str) -> None:
        self.runs_at_mark = {vm: len(e.runs) for vm, e in self.cluster.endpoints.items()}
        self.shares.clear()

    def expect_all(self, name: str, what: str, reason: str | None) -> None:
        outcomes = self.batches[name].outcomes
        assert outcomes and len(outcomes) == self.batches[name].wanted, f"{name} is not finished"
        others = [outcome for outcome in outcomes if not _matches(outcome, what, reason)]
        assert not others, f"{len(others)} of {len(outcomes)}: {others[0]}"

    def expect_least(self, name: str, count: str, what: str, reason: str | None) -> None:
        outcomes = self.batches[name].outcomes
        found = sum(_matches(outcome, what, reason) for outcome in outcomes)
        assert found >= int(count), f"{found} {what}: {Counter(map(_kind, outcomes))}"

    def expect_none(self, name: str, what: str, reason: str | None) -> None:
        found = [o for o in self.batches[name].outcomes if _matches(o, what, reason)]
        assert not found, f"{len(found)}: {found[0]}"

    def expect_fast(self, name: str, seconds: str) -> None:
        slow = [o for o in self.batches[name].outcomes if o.seconds > float(seconds)]
        assert not slow, f"{len(slow)} later than {seconds} s: {slow[0]}"

    def expect_runs(self, key: str, count: str) -> None:
        runs = [r for e in self.cluster.endpoints.values() for r in e.runs if r.key == key]
        assert len(runs) == int(count), f"{key} ran {len(runs)} times"

    def expect_quiet(self, vm: str) -> None:
        more = len(self.cluster.endpoints[vm].runs) - self.runs_at_mark[vm]
        assert more == 0, f"{more} runs were started at {vm}"

    def expect_busy(self, daemon: str) -> None:
        assert self.cluster.nodes[daemon].dispatcher.active, f"{daemon} runs no job"

    def expect_running(self, team: str, count: str) -> None:
        running = sum(e.running_by_team[team] for e in self.cluster.endpoints.values())
        assert running <= int(count), f"{team} runs {running}"

    async def expect_permits(self, name: str, count: str, seconds: str) -> None:
        is_team = name in self.limits
        resource = team_resource(name) if is_team else slot_resource(name)
        await self._until(lambda: self.cluster.held(resource) == int(count), seconds)
        assert self.cluster.held(resource) == int(count), f"{self.cluster.held(resource)} held"

    async def expect_vm(self, name: str, pool: str, phase: str, seconds: str) -> None:
        def there() -> bool:
            vm = self.held("vm", name)
            return vm is not None and vm.pool == pool and vm.phase == phase

        await self._until(there, seconds)
        assert there(), str(self.held("vm", name))

    async def expect_wave(self, name: str, state: str, seconds: str) -> None:
        def there() -> bool:
            wave = self.held("wave", name)
            return wave is not None and wave.state == state

        await self._until(there, seconds)
        assert there(), str(self.held("wave", name))

    async def expect_members(self, count: str, seconds: str) -> None:
        def there() -> bool:
            view = next(iter(self.cluster.nodes.values())).member.view
            return view is not None and len(view.members) == int(count) and view.state == "open"

        await self._until(there, seconds)
        assert there()

    def expect_share(self, team: str, low: str, high: str) -> None:
        part = self.shares[team] / sum(self.shares.values())
        assert float(low) <= part <= float(high), f"{team} had {part:.3f}"

    def expect_calls(self, writes: str, reads: str) -> None:
        first = 0
        for now, wrote, read in self.calls:
            while self.calls[first][0] < now - RATE_WINDOW_SECONDS:
                first += 1
            before = self.calls[first]
            assert wrote - before[1] <= int(writes) * RATE_WINDOW_SECONDS, f"{wrote - before[1]}"
            assert read - before[2] <= int(reads) * RATE_WINDOW_SECONDS, f"{read - before[2]}"

    def expect_change(self) -> None:
        assert self.change_refused

    @staticmethod
    async def _until(condition: Any, seconds: str) -> None:
        with anyio.move_on_after(float(seconds)):
            while not condition():
                await anyio.sleep(SAMPLE_SECONDS)


def _matches(outcome: JobOutcome, what: str, reason: str | None) -> bool:
    kinds = {
        "answered": outcome.status == 200,
        "refused": outcome.run == "no",
        "unknown": outcome.run == "unknown",
        "broken": outcome.status == 0,
        "failed": outcome.status >= 500 and not outcome.run,
    }
    return kinds[what] and (reason is None or outcome.reason == reason)


def _kind(outcome: JobOutcome) -> tuple[int, str, str]:
    return outcome.status, outcome.reason, outcome.run
