"""Matching of free permits to waiting jobs across daemons.

One daemon is the adviser of each group of permits. It learns from the members' reports which
permits are free and which jobs wait, and sends orders to transfer or to use permits. An order is
only advice: the members' ledgers alone decide which permits exist, so no limit is exceeded while
a group has two advisers, or none.
"""

from __future__ import annotations

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Mapping

import attrs

from .resource import is_team_group

__all__ = [
    "Adviser",
    "Claim",
    "GroupReport",
    "LimitAdviser",
    "Order",
    "SlotAdviser",
    "make_adviser",
]

REPORT_LIFETIME_SECONDS = 3.0
ORDER_LIFETIME_SECONDS = 0.3
IMBALANCE_FRACTION = 0.25


@attrs.frozen
class Claim:
    """Jobs of one team that wait at one member.

    :param team: the team
    :param ready: number of these jobs that wait only for permits of this group
    :param deadlines: earliest deadlines, ascending, in seconds from the report
    :param count: number of waiting jobs in all
    """

    team: str
    ready: int
    deadlines: tuple[float, ...]
    count: int


@attrs.frozen
class GroupReport:
    """Free permits, running jobs and waiting jobs of one member in one group.

    :param group: the group
    :param member: the reporting member
    :param data_centre: data centre of the member
    :param free: free permits by resource
    :param running: running jobs by team
    :param claims: waiting jobs
    :param done: identifiers of recent orders whose effect this report already includes
    """

    group: str
    member: str
    data_centre: str
    free: Mapping[str, int]
    running: Mapping[str, int]
    claims: tuple[Claim, ...]
    done: tuple[str, ...] = ()


@attrs.frozen
class Order:
    """Advice to use a permit for a waiting job, or to spread permits that no job needs now.

    :param order_id: unique identifier
    :param group: the group
    :param resource: resource that the permit is for
    :param source: member that holds the permit
    :param target: member at which the job waits; may be the source
    :param team: team whose job should start; empty if permits are only spread
    :param count: number of permits
    """

    order_id: str
    group: str
    resource: str
    source: str
    target: str
    team: str
    count: int = 1


@attrs.define
class _PendingOrder:
    """An order whose effect the reports of its source or its target may not include yet."""

    order: Order
    expires_at: float
    source_done: bool = False
    target_done: bool = False


#: free permits by member and resource
FreePermits = dict[tuple[str, str], int]
#: deadlines of ready jobs by member and team, ascending, in seconds from now
ReadyDeadlines = dict[tuple[str, str], list[float]]


class Adviser:
    """Assigns the free permits of one group to waiting jobs.

    :param group: the group
    :param name: name that makes order identifiers unique
    :param rng: random source for the choice among endpoints
    """

    def __init__(self, group: str, name: str, rng: random.Random):
        self.group = group
        self.name = name
        self.rng = rng
        self.weights: dict[str, float] = {}
        self.reports: dict[str, tuple[float, GroupReport]] = {}
        self.pending: dict[str, _PendingOrder] = {}
        self.order_numbers = itertools.count(1)
        self.contended = False
        self.unmet_deadlines: dict[tuple[str, str], float] = {}

    def receive(self, report: GroupReport, now: float) -> None:
        """Replace a member's report by a newer one."""
        self.reports[report.member] = (now, report)
        done = set(report.done)
        for order_id in done & self.pending.keys():
            pending = self.pending[order_id]
            pending.source_done |= pending.order.source == report.member
            pending.target_done |= pending.order.target == report.member
            if pending.source_done and pending.target_done:
                del self.pending[order_id]

    def refresh_report(self, member: str, now: float) -> None:
        """Extend the lifetime of a member's last report, which is still valid."""
        entry = self.reports.get(member)
        if entry is not None:
            self.reports[member] = (now, entry[1])

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting jobs at all members, by team."""
        totals: dict[str, int] = defaultdict(int)
        for _, report in self.reports.values():
            for claim in report.claims:
                totals[claim.team] += claim.count
        return dict(totals)

    def running(self) -> dict[str, int]:
        """Return the number of running jobs at all members, by team."""
        totals: dict[str, int] = defaultdict(int)
        for _, report in self.reports.values():
            for team, count in report.running.items():
                totals[team] += count
        return dict(totals)

    def match(self, now: float) -> list[Order]:
        """Return the orders that assign free permits to ready jobs, by the newest reports."""
        self._expire(now)
        free, ready = self._free_permits(), self._ready_deadlines(now)
        orders = self._assign(free, ready, now)
        self.unmet_deadlines = {key: now + deadlines[0] for key, deadlines in ready.items()}
        self.contended = bool(self.unmet_deadlines)
        return orders

    def _assign(self, free: FreePermits, ready: ReadyDeadlines, now: float) -> list[Order]:
        """Return orders for ready jobs; remove the permits and the jobs that they cover."""
        raise NotImplementedError

    def earliest_deadline_elsewhere(self, member: str) -> float:
        """Return the earliest deadline of the ready jobs at other members that got no permit.

        :returns: time on the clock given to :meth:`match`, infinite if there is no such job
        """
        return min(
            (due for (other, _), due in self.unmet_deadlines.items() if other != member),
            default=math.inf,
        )

    def balance(self, now: float) -> list[Order]:
        """Return orders that spread free permits evenly, while no job waits.

        Evenly spread permits are close to the member that receives the next job, and few of them
        are lost when a member fails.
        """
        self._expire(now)
        if self.contended or self.pending or self.waiting():
            return []
        free: dict[str, dict[str, int]] = defaultdict(dict)
        for member, (_, report) in self.reports.items():
            for resource in report.free:
                free[resource][member] = report.free[resource]
        orders = []
        for resource, counts in free.items():
            for member in self.reports:
                counts.setdefault(member, 0)
            orders += self._spread(resource, counts, now)
        return orders

    def _spread(self, resource: str, counts: dict[str, int], now: float) -> list[Order]:
        orders: list[Order] = []
        mean = sum(counts.values()) / len(counts)
        tolerance = max(1.0, mean * IMBALANCE_FRACTION)
        while True:
            source = max(counts, key=lambda member: (counts[member], member))
            target = min(counts, key=lambda member: (counts[member], member))
            if counts[source] - counts[target] <= 2 * tolerance:
                return orders
            count = max(1, min(int(counts[source] - mean), int(mean - counts[target] + 0.999)))
            counts[source] -= count
            counts[target] += count
            orders.append(self._create_order((source, resource), target, "", now, count))

    def _create_order(
        self, permit: tuple[str, str], target: str, team: str, now: float, count: int = 1
    ) -> Order:
        """Return a new order, which counts as pending from now on.

        :param permit: member that holds the permits, and their resource
        """
        source, resource = permit
        order = Order(
            f"{self.name}:{next(self.order_numbers)}",
            self.group,
            resource,
            source,
            target,
            team,
            count,
        )
        self.pending[order.order_id] = _PendingOrder(order, now + ORDER_LIFETIME_SECONDS)
        return order

    def _expire(self, now: float) -> None:
        for member, (received, _) in list(self.reports.items()):
            if now - received > REPORT_LIFETIME_SECONDS:
                del self.reports[member]
        for order_id, pending in list(self.pending.items()):
            if pending.expires_at <= now:
                del self.pending[order_id]

    def _free_permits(self) -> FreePermits:
        """Return the free permits that no pending order uses."""
        free = {
            (member, resource): count
            for member, (_, report) in self.reports.items()
            for resource, count in report.free.items()
            if count > 0
        }
        for pending in self.pending.values():
            key = (pending.order.source, pending.order.resource)
            if not pending.source_done and key in free:
                _consume(free, key, pending.order.count)
        return free

    def _running_with_pending(self) -> dict[str, int]:
        """Return the running jobs by team, with those that pending orders will start."""
        running: dict[str, int] = defaultdict(int, self.running())
        for pending in self.pending.values():
            if not pending.target_done and pending.order.team:
                running[pending.order.team] += 1
        return running

    def _ready_deadlines(self, now: float) -> ReadyDeadlines:
        """Return the deadlines of ready jobs that no pending order covers, in seconds from now."""
        ready: ReadyDeadlines = {}
        for member, (received, report) in self.reports.items():
            for claim in report.claims:
                reported = claim.deadlines[: claim.ready]
                if reported:
                    age = now - received
                    ready[member, claim.team] = [seconds - age for seconds in reported]
        for pending in self.pending.values():
            deadlines = ready.get((pending.order.target, pending.order.team))
            if not pending.target_done and deadlines:
                deadlines.pop(0)
                if not deadlines:
                    del ready[pending.order.target, pending.order.team]
        return ready


def _consume(free: FreePermits, key: tuple[str, str], count: int = 1) -> None:
    free[key] -= count
    if free[key] <= 0:
        del free[key]


class SlotAdviser(Adviser):
    """Assigns the slots of a pool to ready jobs.

    The team with the fewest running jobs relative to its weight goes first, which yields weighted
    max-min fair shares. Within a team the earliest deadline goes first.
    """

    def _assign(self, free: FreePermits, ready: ReadyDeadlines, now: float) -> list[Order]:
        orders = []
        running = self._running_with_pending()
        totals: dict[str, int] = defaultdict(int)
        for (_, resource), count in free.items():
            totals[resource] += count
        while ready and free:
            key = min(ready, key=lambda key: self._rank(key, running, ready[key]))
            target, team = key
            permit = self._choose_permit(free, totals, target)
            orders.append(self._create_order(permit, target, team, now))
            running[team] += 1
            totals[permit[1]] -= 1
            _consume(free, permit)
            _remove_earliest(ready, key)
        return orders

    def _rank(
        self, key: tuple[str, str], running: Mapping[str, int], deadlines: list[float]
    ) -> tuple[float, float, str]:
        member, team = key
        return ((running.get(team, 0) + 1) / self.weights.get(team, 1.0), deadlines[0], member)

    def _choose_permit(
        self, free: FreePermits, totals: Mapping[str, int], target: str
    ) -> tuple[str, str]:
        """Return a holder and resource.

        Permits that the target holds are preferred. Of two random candidates the one whose
        resource has more free permits is taken.
        """
        own = [key for key in free if key[0] == target]
        candidates = own or list(free)
        if len(candidates) > 2:
            candidates = self.rng.sample(candidates, 2)
        return max(candidates, key=lambda key: (totals[key[1]], free[key]))


class LimitAdviser(Adviser):
    """Transfers the permits of a team's limit to the members where its jobs wait.

    Jobs that wait for nothing else go first, by deadline. A member whose jobs also wait for a slot
    needs only a few free permits, so that the adviser of the slots counts its jobs as ready: it
    gets some of another member's permits when it has none, and nothing moves while each has some.
    """

    def _assign(self, free: FreePermits, ready: ReadyDeadlines, now: float) -> list[Order]:
        orders: list[Order] = []
        for _, key in sorted((due, key) for key, deadlines in ready.items() for due in deadlines):
            if not free:
                return orders
            target, team = key
            own = next((permit for permit in free if permit[0] == target), None)
            permit = own or max(free, key=lambda permit: (free[permit], permit))
            if own is None:
                orders.append(self._create_order(permit, target, team, now))
            _consume(free, permit)
            _remove_earliest(ready, key)
        for member, (_, report) in self.reports.items():
            for claim in report.claims:
                if claim.count > claim.ready:
                    orders += self._top_up(free, member, claim, now)
        return orders

    def _top_up(self, free: FreePermits, target: str, claim: Claim, now: float) -> list[Order]:
        """Return an order that transfers some permits to a member that has none free."""
        incoming = any(pending.order.target == target for pending in self.pending.values())
        if not free or incoming or any(permit[0] == target for permit in free):
            return []
        permit = max(free, key=lambda permit: (free[permit], permit))
        holder_needs_some = bool(self.reports[permit[0]][1].claims)
        count = free[permit] // 2 if holder_needs_some else min(free[permit], claim.count)
        if count < 1:
            return []
        _consume(free, permit, count)
        return [self._create_order(permit, target, claim.team, now, count)]


def make_adviser(group: str, name: str, rng: random.Random) -> Adviser:
    """Return the adviser for a group."""
    return (LimitAdviser if is_team_group(group) else SlotAdviser)(group, name, rng)


def _remove_earliest(ready: ReadyDeadlines, key: tuple[str, str]) -> None:
    ready[key].pop(0)
    if not ready[key]:
        del ready[key]
