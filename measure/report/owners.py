"""Changes of the pools' owners, and the spans in which a pool had none."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import attrs

from limpetpulley.ownership.directory import PLANNER
from limpetpulley.telemetry.trace import TraceLine

from .log import number, text

__all__ = ["CLAIMED", "TAKEN_OVER", "Change", "Span", "find_owner_changes", "find_owner_gaps"]

CLAIMED = "pool-claimed"
TAKEN_OVER = "pool-taken-over"
OWNER_CHANGE_EVENTS = frozenset({CLAIMED, TAKEN_OVER})
#: events after which a pool's owner no longer serves it
OWNER_END_EVENTS = frozenset({"pool-left", "owner-deposed", "owner-failed"})


@attrs.frozen
class Span:
    """A time span, in seconds after the origin."""

    begin: float
    end: float

    @property
    def seconds(self) -> float:
        """Return the length."""
        return self.end - self.begin


@attrs.frozen
class Change:
    """A new planner, or a claim or takeover of a pool.

    :param pool: the pool, or :data:`PLANNER`
    :param event: the event that shows it
    :param token: token of the claim, 0 if the log does not tell it
    """

    seconds: float
    pool: str
    daemon: str
    event: str
    token: int = 0

    def describe(self) -> str:
        """Return the change as text without its time."""
        if self.pool == PLANNER:
            return f"planner is {self.daemon}"
        verb = "taken over" if self.event == TAKEN_OVER else "claimed"
        return f"{self.pool} {verb} by {self.daemon}"


def find_owner_changes(lines: Iterable[TraceLine]) -> list[Change]:
    """Return the claims and takeovers of pools."""
    return [
        Change(
            line.seconds,
            text(line.fields, "pool"),
            line.daemon,
            line.event,
            int(number(line.fields, "token")),
        )
        for line in lines
        if _is_owner_change(line)
    ]


def find_owner_gaps(lines: Iterable[TraceLine], end: float) -> dict[str, list[Span]]:
    """Return by pool when it had no owner, from the first line on that tells of one.

    An owner that ends without saying so, since its daemon was lost, counts until the last line of
    its daemon. A pool whose owner says nothing more and has no successor counts as owned.

    :param end: end of the period
    """
    tracker = _OwnerTracker()
    for line in lines:
        tracker.follow(line)
    for pool in list(tracker.free_since):
        tracker.close_gap(pool, end)
    return dict(tracker.gaps)


@attrs.define
class _OwnerTracker:
    """Follows which daemon serves each pool.

    :param owners: daemon and token of each pool's owner
    :param free_since: since when each other pool has no owner
    """

    owners: dict[str, tuple[str, float]] = attrs.Factory(dict)
    free_since: dict[str, float] = attrs.Factory(dict)
    last_line_at: dict[str, float] = attrs.Factory(dict)
    gaps: dict[str, list[Span]] = attrs.Factory(lambda: defaultdict(list))

    def follow(self, line: TraceLine) -> None:
        """Take the next line into account."""
        pool = text(line.fields, "pool")
        if line.event in ("daemon-started", "daemon-stopped"):
            for owned in [owned for owned, owner in self.owners.items() if owner[0] == line.daemon]:
                self._release(owned, self.last_line_at.get(line.daemon, line.seconds))
        elif _is_owner_change(line):
            self._follow_change(pool, line)
        elif line.event in OWNER_END_EVENTS and pool:
            self._follow_end(pool, line)
        self.last_line_at[line.daemon] = line.seconds

    def close_gap(self, pool: str, end: float) -> None:
        """Note that a pool has an owner again, or that the period ends."""
        gap = Span(self.free_since.pop(pool), end)
        if gap.seconds > 0:
            self.gaps[pool].append(gap)

    def _follow_change(self, pool: str, line: TraceLine) -> None:
        token, owner = number(line.fields, "token"), self.owners.get(pool)
        if owner and token > owner[1]:
            self._release(pool, self.last_line_at.get(owner[0], line.seconds))
        if pool not in self.owners:
            self.free_since.setdefault(pool, line.seconds)
            if line.event == TAKEN_OVER:
                self.owners[pool] = (line.daemon, token)
                self.close_gap(pool, line.seconds)

    def _follow_end(self, pool: str, line: TraceLine) -> None:
        owner = self.owners.get(pool)
        if owner is None:
            self.free_since.setdefault(pool, line.seconds)
        elif owner[0] == line.daemon and number(line.fields, "token", owner[1]) >= owner[1]:
            self._release(pool, line.seconds)

    def _release(self, pool: str, at: float) -> None:
        del self.owners[pool]
        self.free_since[pool] = at


def _is_owner_change(line: TraceLine) -> bool:
    pool = text(line.fields, "pool")
    return line.event in OWNER_CHANGE_EVENTS and bool(pool) and pool != PLANNER
