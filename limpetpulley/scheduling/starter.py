"""Start of waiting jobs with the permits that this daemon holds."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Protocol

import anyio
from absl import logging

from ..clock import Clock
from ..quota.adviser import Claim, GroupReport, Order
from ..quota.ledger import Ledger
from ..quota.resource import (
    POOL_PREFIX,
    TEAM_PREFIX,
    is_team_group,
    pool_group,
    slot_resource,
    team_group,
    team_resource,
    vm_of,
)
from .waiting import WaitingJob, WaitingJobs

__all__ = ["Starter", "VmAvailability"]

ADVICE_LIFETIME_SECONDS = 0.6
MAX_REPORTED_DEADLINES = 16
HANDLED_ORDER_LIFETIME_SECONDS = 1.0


class VmAvailability(Protocol):
    """Availability of the VMs' endpoints."""

    def in_pool(self, pool: str) -> Iterable[str]:
        """Return the VMs of a pool whose endpoints accept jobs now."""

    def takes_jobs(self, vm: str) -> bool:
        """Return whether a VM's endpoint accepts jobs now."""

    def is_near(self, vm: str) -> bool:
        """Return whether a VM is in this daemon's data centre."""


class Starter:
    """Starts waiting jobs as far as permits, shares and advice allow.

    In a group without contention, jobs start with the permits held here. In a contended group of
    slots, a job starts only on an order of the group's adviser, so that fleet-wide shares and
    deadlines decide. Advice that is not renewed expires.

    :param member: name of this member
    :param data_centre: data centre of this member
    :param clock: the daemon's clock
    :param ledger: permits held here
    :param vms: availability of the endpoints
    :param rng: random source for the choice between endpoints
    :param may_start: returns whether this daemon may start jobs now
    """

    def __init__(
        self,
        member: str,
        data_centre: str,
        clock: Clock,
        ledger: Ledger,
        vms: VmAvailability,
        rng: random.Random,
        may_start: Callable[[], bool] = lambda: True,
    ):
        self.member = member
        self.data_centre = data_centre
        self.clock = clock
        self.ledger = ledger
        self.vms = vms
        self.rng = rng
        self.may_start = may_start
        self.waiting = WaitingJobs()
        self.running: Counter[tuple[str, str]] = Counter()
        self.weights: dict[str, float] = {}
        self.contended_until: dict[str, float] = {}
        self.earliest_elsewhere: dict[str, tuple[float, float]] = {}
        self.changed: set[str] = set()
        self.handled_orders: dict[str, dict[str, float]] = {}
        self.notify: Callable[[], None] = lambda: None
        self.arrived = anyio.Event()

    def submit(self, job: WaitingJob) -> None:
        """Queue a job, and start it at once if permits allow."""
        self.waiting.add(job)
        self.arrived.set()
        self._mark_changed(job.pool, job.team)
        self.start_ready(job.pool)

    def cancel(self, job: WaitingJob) -> None:
        """Remove a job that has not started from the queue."""
        if job.queued:
            self.waiting.remove(job)
            self._mark_changed(job.pool, job.team)

    def finish(self, job: WaitingJob, vm: str) -> None:
        """Return the permits of an ended job and start the jobs that they allow."""
        self.ledger.release(slot_resource(vm))
        self.ledger.release(team_resource(job.team))
        self._count_running(job.pool, job.team, -1)
        self._mark_changed(job.pool, job.team)
        self.start_ready(job.pool)
        for pool in self.waiting.pools(job.team):
            if pool != job.pool:
                self.start_ready(pool)

    def drop_hopeless(self) -> None:
        """Abandon the waiting jobs that can no longer meet their deadline."""
        for job in self.waiting.pop_hopeless(self.clock.now()):
            self._mark_changed(job.pool, job.team)
            job.give_up()

    def start_ready(self, pool: str) -> None:
        """Start the jobs of a pool that the permits held here allow."""
        if self.is_contended(pool_group(pool)):
            return
        skipped: set[str] = set()
        while self.may_start():
            teams = [
                team
                for team in self.waiting.teams(pool)
                if team not in skipped and self._team_may_start(pool, team)
            ]
            if not teams:
                return
            team = min(teams, key=lambda team: self._weighted_load(pool, team))
            job = self.waiting.first(pool, team)
            vm = self.choose_vm(job) if job else None
            if job is None or vm is None:
                skipped.add(team)
                continue
            self._start(job, vm, "free-permit")

    def start_all_ready(self) -> None:
        """Start the jobs of all pools that the permits held here allow."""
        for pool in {pool for pool, _ in self.waiting.counts}:
            self.start_ready(pool)

    def apply_order(self, order: Order) -> None:
        """Start a job on an adviser's order, if the permits are held here."""
        self.mark_order_handled(order)
        if not order.team:
            return
        if is_team_group(order.group):
            for pool in self.waiting.pools(order.team):
                self._mark_changed(pool, order.team)
                self.start_ready(pool)
            return
        pool = order.group.removeprefix(POOL_PREFIX)
        vm = vm_of(order.resource)
        self._mark_changed(pool, order.team)
        job = self.waiting.first(pool, order.team, vm)
        if job is None or not self.may_start() or not self.vms.takes_jobs(vm):
            return
        startable = self.ledger.startable
        if startable(order.resource) > 0 and startable(team_resource(order.team)) > 0:
            self._start(job, vm, "order")

    def mark_order_handled(self, order: Order) -> None:
        """Record an order as handled, for the next report to its group's adviser."""
        self.handled_orders.setdefault(order.group, {})[order.order_id] = self.clock.now()
        self.changed.add(order.group)
        self.notify()

    def apply_advice(self, group: str, contended: bool, elsewhere_seconds: float) -> None:
        """Apply the adviser's advice on a group.

        :param contended: whether ready jobs at any daemon lack permits of the group
        :param elsewhere_seconds: time to the earliest deadline of ready jobs at other daemons
        """
        expires = self.clock.now() + ADVICE_LIFETIME_SECONDS
        if contended:
            self.contended_until[group] = expires
        else:
            self.contended_until.pop(group, None)
        self.earliest_elsewhere[group] = (self.clock.now() + elsewhere_seconds, expires)

    def is_contended(self, group: str) -> bool:
        """Return whether unexpired advice says that a group is contended."""
        return self.contended_until.get(group, 0.0) > self.clock.now()

    def choose_vm(self, job: WaitingJob) -> str | None:
        """Return a VM for a job: in this data centre if possible, the freer of two random ones."""
        found = [
            vm
            for vm in self.vms.in_pool(job.pool)
            if vm not in job.excluded and self.ledger.startable(slot_resource(vm)) > 0
        ]
        if not found:
            return None
        candidates = [vm for vm in found if self.vms.is_near(vm)] or found
        if len(candidates) > 2:
            candidates = self.rng.sample(candidates, 2)
        return max(candidates, key=lambda vm: self.ledger.free(slot_resource(vm)))

    def report(self, group: str) -> GroupReport:
        """Return the free permits, running jobs and waiting jobs of a group at this daemon."""
        handled_orders = self._recent_handled_orders(group)
        if is_team_group(group):
            team = group.removeprefix(TEAM_PREFIX)
            resource = team_resource(team)
            free = {resource: self.ledger.free(resource)}
            running = {team: self.ledger.holding(resource).used}
            claims = self._team_claims(team)
        else:
            pool = group.removeprefix(POOL_PREFIX)
            free = {
                slot_resource(vm): count
                for vm in self.vms.in_pool(pool)
                if (count := self.ledger.free(slot_resource(vm))) > 0
            }
            running = {team: n for (found, team), n in self.running.items() if found == pool}
            claims = self._pool_claims(pool)
        return GroupReport(
            group, self.member, self.data_centre, free, running, tuple(claims), handled_orders
        )

    def pop_changed_groups(self) -> set[str]:
        """Return and clear the groups that changed since the last call."""
        changed, self.changed = self.changed, set()
        return changed

    def _pool_claims(self, pool: str) -> Iterable[Claim]:
        for team in self.waiting.teams(pool):
            count = self.waiting.counts[pool, team]
            ready = min(count, self.ledger.startable(team_resource(team)))
            yield Claim(team, ready, self._seconds_left(pool, team, count), count)

    def _team_claims(self, team: str) -> Iterable[Claim]:
        count = self.waiting.team_counts[team]
        if not count:
            return
        ready: list[float] = []
        others: list[float] = []
        for pool in self.waiting.pools(team):
            deadlines = self._seconds_left(pool, team, count)
            slots = self._available_slots(pool, len(deadlines))
            ready += deadlines[:slots]
            others += deadlines[slots:]
        merged = (*sorted(ready), *sorted(others))
        yield Claim(team, len(ready), merged[:MAX_REPORTED_DEADLINES], count)

    def _seconds_left(self, pool: str, team: str, count: int) -> tuple[float, ...]:
        now = self.clock.now()
        deadlines = self.waiting.deadlines(pool, team, min(count, MAX_REPORTED_DEADLINES))
        return tuple(deadline - now for deadline in deadlines)

    def _available_slots(self, pool: str, wanted: int) -> int:
        """Return how many of a pool's jobs have a slot: all of them without contention."""
        if not self.is_contended(pool_group(pool)):
            return wanted
        free = sum(self.ledger.startable(slot_resource(vm)) for vm in self.vms.in_pool(pool))
        return min(wanted, free)

    def _team_may_start(self, pool: str, team: str) -> bool:
        if self.ledger.startable(team_resource(team)) < 1:
            return False
        earliest, expires = self.earliest_elsewhere.get(team_group(team), (math.inf, 0.0))
        if expires <= self.clock.now():
            return True
        job = self.waiting.first(pool, team)
        return job is None or job.deadline <= earliest

    def _weighted_load(self, pool: str, team: str) -> float:
        return (self.running[pool, team] + 1) / self.weights.get(team, 1.0)

    def _start(self, job: WaitingJob, vm: str, reason: str) -> None:
        self.ledger.acquire(slot_resource(vm))
        self.ledger.acquire(team_resource(job.team))
        self.waiting.remove(job)
        self._count_running(job.pool, job.team, 1)
        self._mark_changed(job.pool, job.team)
        logging.info(
            "decision=route job=%s team=%s queue=%s pool=%s vm=%s reason=%s left=%.3f free=%d",
            job.job_id,
            job.team,
            job.queue,
            job.pool,
            vm,
            reason,
            job.deadline - self.clock.now(),
            self.ledger.free(slot_resource(vm)),
        )
        job.start(vm)

    def _count_running(self, pool: str, team: str, change: int) -> None:
        self.running[pool, team] += change
        if not self.running[pool, team]:
            del self.running[pool, team]

    def _mark_changed(self, pool: str, team: str) -> None:
        self.changed.add(pool_group(pool))
        self.changed.add(team_group(team))
        self.notify()

    def _recent_handled_orders(self, group: str) -> tuple[str, ...]:
        handled_orders = self.handled_orders.get(group, {})
        oldest = self.clock.now() - HANDLED_ORDER_LIFETIME_SECONDS
        for order_id in [order_id for order_id, at in handled_orders.items() if at < oldest]:
            del handled_orders[order_id]
        return tuple(handled_orders)
