"""Figures of the pools and the planner."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

import attrs

from limpetpulley.ownership.directory import PLANNER
from limpetpulley.ownership.planner import LOG_INTERVAL_SECONDS
from limpetpulley.telemetry.trace import TraceLine

from .log import Log, number, text
from .owners import CLAIMED, Change, Span, find_owner_changes, find_owner_gaps

__all__ = [
    "Fleet",
    "FleetSample",
    "Moves",
    "PoolSample",
    "count_moves",
    "find_planner_changes",
    "find_planner_gaps",
    "make_fleet",
    "read_samples",
]

#: longest time between two ``fleet-load`` lines of a planner that works, in seconds
MAX_SAMPLE_INTERVAL_SECONDS = 2 * LOG_INTERVAL_SECONDS
#: events of a planner that name the token of its claim while the claim holds
PLANNER_TOKEN_EVENTS = frozenset({"succession-read", "vm-moved", "vm-maintained"})
DONE = "done"


@attrs.frozen
class PoolSample:
    """A pool in a ``fleet-load`` line.

    :param vms: VMs that are up, without those that are moved or drained for maintenance
    :param wanted: VMs that the planner found necessary
    :param used: processors in use, in VMs' worth
    :param arriving: processors that serve what is submitted now, in VMs' worth
    """

    seconds: float
    vms: float
    wanted: float
    used: float
    arriving: float


@attrs.frozen
class FleetSample:
    """VMs of all pools with orders, in a ``fleet-load`` line.

    :param emptying: VMs that are drained
    :param moving: VMs on their way to a pool
    :param ordering: VMs with an order that is not answered yet
    """

    seconds: float
    emptying: float
    moving: float
    ordering: float


@attrs.frozen
class Moves:
    """Orders for VMs, as answered.

    :param arrived: VMs that were ordered into each pool
    :param departed: VMs that were ordered out of each pool
    :param maintained: VMs whose maintenance was ordered
    :param failed: other answers, by outcome
    """

    arrived: dict[str, int]
    departed: dict[str, int]
    maintained: int
    failed: dict[str, int]

    @property
    def total(self) -> int:
        """Return the number of moves."""
        return sum(self.arrived.values())


@attrs.frozen
class Fleet:
    """Pools, owners and planner of a period.

    :param pools: samples by pool
    :param samples: samples of all pools together
    :param planner_changes: when another planner began
    :param planner_gaps: when no planner wrote
    :param owner_changes: claims and takeovers of pools
    :param owner_gaps: when a pool had no owner that served it, by pool
    """

    pools: dict[str, list[PoolSample]]
    samples: list[FleetSample]
    planner_changes: list[Change]
    planner_gaps: list[Span]
    owner_changes: list[Change]
    owner_gaps: dict[str, list[Span]]
    moves: Moves

    def vm_seconds(self, pool: str) -> float:
        """Return the time integral of a pool's VMs."""
        return integrate([(sample.seconds, sample.vms) for sample in self.pools[pool]])

    def used_vm_seconds(self, pool: str) -> float:
        """Return the time integral of a pool's processors in use, in VMs' worth."""
        return integrate([(sample.seconds, sample.used) for sample in self.pools[pool]])


def make_fleet(log: Log) -> Fleet:
    """Return the figures of pools, owners and planner of a log."""
    pools, samples = read_samples(log.lines)
    return Fleet(
        pools,
        samples,
        find_planner_changes(log.lines),
        find_planner_gaps([sample.seconds for sample in samples], log.begin, log.end),
        find_owner_changes(log.lines),
        find_owner_gaps(log.lines, log.end),
        count_moves(log.lines),
    )


def read_samples(
    lines: Iterable[TraceLine],
) -> tuple[dict[str, list[PoolSample]], list[FleetSample]]:
    """Return the pools' and the fleet's samples of the ``fleet-load`` lines.

    A pool without VMs has no size of a VM of its own: its last one counts, else 0 VMs' worth.
    """
    pools: dict[str, list[PoolSample]] = defaultdict(list)
    samples = []
    vm_cores: dict[str, float] = {}
    for line in lines:
        if line.event != "fleet-load":
            continue
        loads = line.fields.get("pools")
        for pool, load in loads.items() if isinstance(loads, dict) else ():
            if not isinstance(load, dict):
                continue
            vms, room = number(load, "vms"), number(load, "room")
            if vms > 0 and room > 0:
                vm_cores[pool] = room / vms
            cores = vm_cores.get(pool)
            used, arriving = (
                number(load, name) / cores if cores else 0.0 for name in ("used", "arriving")
            )
            pools[pool].append(
                PoolSample(line.seconds, vms, number(load, "wanted"), used, arriving)
            )
        on_their_way = (number(line.fields, name) for name in ("emptying", "moving", "ordering"))
        samples.append(FleetSample(line.seconds, *on_their_way))
    return dict(sorted(pools.items())), samples


def integrate(points: Sequence[tuple[float, float]]) -> float:
    """Return the time integral of values that hold until the next one.

    >>> integrate([(0.0, 2.0), (1.0, 3.0), (3.0, 9.0)])
    8.0
    """
    return sum(
        (points[index + 1][0] - begin) * value for index, (begin, value) in enumerate(points[:-1])
    )


def find_planner_changes(lines: Iterable[TraceLine]) -> list[Change]:
    """Return when another planner began: a newer token, or lines of another daemon.

    Lines of a former planner that does not know its successor yet are no change, as long as the
    successor writes.
    """
    changes: list[Change] = []
    daemon, token, written_at = "", 0.0, 0.0
    seen: set[str] = set()
    for line in lines:
        claimed = number(line.fields, "token") if _names_planner_token(line) else 0.0
        is_sample = line.event == "fleet-load"
        is_new_writer = (
            is_sample
            and line.daemon != daemon
            and (line.daemon not in seen or line.seconds - written_at > MAX_SAMPLE_INTERVAL_SECONDS)
        )
        if claimed > token or is_new_writer:
            daemon, token = line.daemon, max(claimed, token)
            changes.append(Change(line.seconds, PLANNER, daemon, line.event, int(claimed)))
            seen.add(daemon)
            written_at = line.seconds
        elif is_sample and line.daemon == daemon:
            written_at = line.seconds
    return changes


def find_planner_gaps(times: Sequence[float], begin: float, end: float) -> list[Span]:
    """Return the spans in which no planner wrote.

    :param times: when planners wrote, ordered
    :param begin: begin of the period
    :param end: end of the period
    """
    gaps = []
    previous, due = begin, begin
    for time in [*times, end]:
        if time - previous > MAX_SAMPLE_INTERVAL_SECONDS:
            gaps.append(Span(due, time))
        previous, due = time, time + LOG_INTERVAL_SECONDS
    return gaps


def count_moves(lines: Iterable[TraceLine]) -> Moves:
    """Return the answered orders for VMs."""
    arrived: Counter[str] = Counter()
    departed: Counter[str] = Counter()
    failed: Counter[str] = Counter()
    maintained = 0
    for line in lines:
        if line.event not in ("vm-moved", "vm-maintained"):
            continue
        outcome = text(line.fields, "outcome")
        if outcome != DONE:
            failed[f"{line.event}: {outcome or 'without outcome'}"] += 1
        elif line.event == "vm-maintained":
            maintained += 1
        else:
            arrived[text(line.fields, "target")] += 1
            departed[text(line.fields, "pool")] += 1
    return Moves(dict(arrived), dict(departed), maintained, dict(failed))


def _names_planner_token(line: TraceLine) -> bool:
    is_claim = line.event == CLAIMED and line.fields.get("pool") == PLANNER
    return is_claim or line.event in PLANNER_TOKEN_EVENTS
