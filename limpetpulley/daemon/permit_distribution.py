"""Trading of permits between daemons, on the advice of one adviser for each group."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable

import anyio
import attrs
from absl import logging

from ..clock import Clock
from ..exception import PeerError, PermitError
from ..membership import Member
from ..peer import PeerCaller, convert
from ..peer import peer_pb2 as pb
from ..quota.adviser import Adviser, GroupReport, Order, make_adviser
from ..quota.ledger import Ledger, Transfer
from ..quota.resource import POOL_PREFIX, is_team_group, team_group, team_resource
from ..scheduling.admission import PoolLoad
from ..scheduling.starter import Starter
from ..tasks import start_guarded
from .peers import PeerTable

__all__ = ["Trader"]

GATHER_SECONDS = 0.002
ADVICE_SECONDS = 0.2
BALANCE_SECONDS = 2.0
LOAD_LIFETIME_SECONDS = 1.0
FEW_PERMITS = 2
TRANSFER_TRIES = 5
TRANSFER_RETRY_SECONDS = 0.3


@attrs.frozen
class _Load:
    received: float
    running: dict[str, int]
    waiting: dict[str, int]


class Trader:
    """Reports to advisers, advises, and carries out orders.

    :param clock: the daemon's clock
    :param member: this daemon's part in the membership
    :param ledger: its permits
    :param starter: what starts its jobs
    :param peers: the other daemons
    :param client: calls to them
    :param tasks: task group for calls
    """

    def __init__(
        self,
        clock: Clock,
        member: Member,
        ledger: Ledger,
        starter: Starter,
        peers: PeerTable,
        client: PeerCaller,
        tasks: anyio.abc.TaskGroup,
        rng: random.Random,
    ):
        self.clock = clock
        self.member = member
        self.ledger = ledger
        self.starter = starter
        self.peers = peers
        self.client = client
        self.tasks = tasks
        self.rng = rng
        self.advisers: dict[str, Adviser] = {}
        self.advised: dict[str, bool] = {}
        self.loads: dict[str, _Load] = {}
        self.unreported: set[str] = set()
        self.known: dict[str, dict[str, GroupReport]] = {}
        self.wake = anyio.Event()
        starter.notify = self._wake

    async def run(self) -> None:
        """Report changes and repeat advice until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._refresh)
            await self._report_changes()

    async def _report_changes(self) -> None:
        while True:
            await self.wake.wait()
            await anyio.sleep(GATHER_SECONDS)
            self.wake = anyio.Event()
            self.flush()

    def flush(self) -> None:
        """Report the changed groups in which something waits or that are contended."""
        self.unreported |= self.starter.take_changed()
        if not self.member.is_member:
            return
        urgent = {group for group in self.unreported if self._is_urgent(group)}
        self.unreported -= urgent
        self.report(urgent)

    def report(self, groups: Iterable[str]) -> None:
        """Report groups to their advisers now."""
        batches: dict[str, list[GroupReport]] = defaultdict(list)
        for group in groups:
            adviser = self.peers.adviser_of(group)
            if adviser is not None:
                batches[adviser].append(self.starter.report(group))
                self.known.get(adviser, {}).pop(group, None)
        for adviser, reports in batches.items():
            if adviser == self.member.name:
                self.receive_reports(reports)
            else:
                batch = pb.ReportBatch(
                    member=self.member.name,
                    data_centre=self.starter.data_centre,
                    epoch=self.ledger.epoch,
                    reports=[convert.to_report(report) for report in reports],
                )
                self._post(adviser, "Report", batch)

    def reports_by_adviser(self, groups: Iterable[str]) -> dict[str, list[GroupReport]]:
        """Return the reports that changed by the member that advises, for heartbeats."""
        reports: dict[str, list[GroupReport]] = defaultdict(list)
        for group in groups:
            adviser = self.peers.adviser_of(group)
            if adviser is None or adviser == self.member.name:
                continue
            report = self.starter.report(group)
            known = self.known.setdefault(adviser, {})
            if known.get(group) != report:
                known[group] = report
                reports[adviser].append(report)
        return reports

    def forget_known(self, adviser: str) -> None:
        """Report everything anew to a member that may have missed a heartbeat."""
        self.known.pop(adviser, None)

    def touch_reports(self, member: str) -> None:
        """Note that what a member reported and did not report anew still holds."""
        now = self.clock.now()
        for adviser in self.advisers.values():
            adviser.touch(member, now)

    def receive_reports(self, reports: Iterable[GroupReport]) -> None:
        """Take members' reports and give the advice that they call for."""
        now = self.clock.now()
        groups = set()
        for report in reports:
            self._adviser(report.group).receive(report, now)
            groups.add(report.group)
        self._advise(groups, refresh=False)

    def receive_advice(self, batch: pb.AdviceBatch) -> None:
        """Take an adviser's advice and carry out its orders."""
        now = self.clock.now()
        for advice in batch.advice:
            was = self.starter.is_contended(advice.group)
            self.starter.advise(advice.group, advice.contended, advice.elsewhere_seconds)
            running, waiting = (
                convert.from_counts(advice.running),
                convert.from_counts(advice.waiting),
            )
            self.loads[advice.group] = _Load(now, running, waiting)
            if was and not advice.contended:
                self._start_group(advice.group)
        for message in batch.orders:
            self.carry_out(convert.from_order(message))

    def carry_out(self, order: Order) -> None:
        """Carry out an order as the holder of its permit."""
        if order.target == self.member.name:
            self.starter.follow(order)
            return
        self.starter.note_done(order)
        try:
            free = self.ledger.free(order.resource)
            transfer = self.ledger.debit(order.resource, min(order.count, free))
        except PermitError:
            return
        start_guarded(self.tasks, self._send, order.target, transfer, order)

    def receive_transfer(self, transfer: Transfer, order: Order | None) -> bool:
        """Take permits that another member sent; return whether they were credited."""
        known = transfer.transfer_id in self.ledger.answers
        credited = self.ledger.credit(transfer)
        if credited and not known and order is not None:
            self.starter.follow(order)
        elif credited and not known:
            self.starter.start_all_ready()
        return credited

    def pool_load(self, group: str) -> PoolLoad:
        """Return what is known of running and waiting jobs in a pool's group."""
        adviser = self.advisers.get(group)
        if adviser is not None and self.peers.adviser_of(group) == self.member.name:
            return PoolLoad(0, adviser.running(), adviser.waiting())
        load = self.loads.get(group)
        if load is not None and self.clock.now() - load.received <= LOAD_LIFETIME_SECONDS:
            return PoolLoad(0, load.running, load.waiting)
        own = self.starter.report(group)
        return PoolLoad(0, own.running, {claim.team: claim.count for claim in own.claims})

    def hand_out(self) -> None:
        """Send all free permits to the other live members, in turn."""
        others = [name for name in self.peers.live() if name != self.member.name]
        if not others:
            return
        for index, (resource, holding) in enumerate(list(self.ledger.holdings.items())):
            if holding.free > 0 and self.ledger.trading:
                transfer = self.ledger.debit(resource, holding.free)
                target = others[index % len(others)]
                start_guarded(self.tasks, self._send, target, transfer, None)

    async def _refresh(self) -> None:
        """Repeat advice on contended groups, and report again where something waits."""
        balance_at = self.clock.now() + BALANCE_SECONDS
        while True:
            await anyio.sleep(ADVICE_SECONDS)
            waiting = {POOL_PREFIX + pool for pool, _ in self.starter.waiting.counts}
            waiting |= {team_group(team) for team in self.starter.waiting.team_counts}
            if waiting and self.member.is_member:
                self.report(waiting)
            mine = {group for group, was in self.advised.items() if was}
            self._advise(mine, refresh=True)
            if self.clock.now() >= balance_at:
                balance_at = self.clock.now() + BALANCE_SECONDS
                self._balance()

    def _advise(self, groups: Iterable[str], refresh: bool) -> None:
        """Match the permits of groups, then send orders and advice to the members."""
        now = self.clock.now()
        orders: dict[str, list[Order]] = defaultdict(list)
        advice: dict[str, list[pb.Advice]] = defaultdict(list)
        for group in groups:
            adviser = self._adviser(group)
            for order in adviser.match(now):
                orders[order.source].append(order)
                self._log_order(order)
            was = self.advised.get(group, False)
            self.advised[group] = adviser.contended
            if refresh or was != adviser.contended:
                for member in adviser.reports:
                    advice[member].append(self._advice(adviser, member, now))
        for member in {*orders, *advice}:
            self._give_orders(member, orders.get(member, []), advice.get(member, []))

    def _balance(self) -> None:
        """Spread the free permits of the groups that this member advises on."""
        now = self.clock.now()
        members = set(self.peers.live())
        orders: dict[str, list[Order]] = defaultdict(list)
        for group, adviser in self.advisers.items():
            if self.peers.adviser_of(group) != self.member.name:
                continue
            self.receive_reports([self.starter.report(group)])
            if members <= adviser.reports.keys():
                for order in adviser.balance(now):
                    orders[order.source].append(order)
                    self._log_order(order)
        for member, found in orders.items():
            self._give_orders(member, found, [])

    def _give_orders(self, member: str, orders: list[Order], advice: list[pb.Advice]) -> None:
        batch = pb.AdviceBatch(
            adviser=self.member.name,
            epoch=self.ledger.epoch,
            advice=advice,
            orders=[convert.to_order(order) for order in orders],
        )
        if member == self.member.name:
            self.receive_advice(batch)
        else:
            self._post(member, "Advise", batch)

    def _advice(self, adviser: Adviser, member: str, now: float) -> pb.Advice:
        return pb.Advice(
            group=adviser.group,
            contended=adviser.contended,
            elsewhere_seconds=adviser.elsewhere(member) - now,
            running=adviser.running(),
            waiting=adviser.waiting(),
        )

    def _adviser(self, group: str) -> Adviser:
        adviser = self.advisers.get(group)
        if adviser is None:
            adviser = make_adviser(group, self.member.name, self.rng)
            self.advisers[group] = adviser
        adviser.weights = self.starter.weights
        return adviser

    def _is_urgent(self, group: str) -> bool:
        if self.starter.is_contended(group) or self.starter.done.get(group):
            return True
        if is_team_group(group):
            team = group.partition("/")[2]
            few = self.ledger.free(team_resource(team)) < FEW_PERMITS
            return few and team in self.starter.waiting.team_counts
        pool = group.removeprefix(POOL_PREFIX)
        return bool(self.starter.waiting.teams(pool))

    def _start_group(self, group: str) -> None:
        if is_team_group(group):
            for pool in self.starter.waiting.pools(group.partition("/")[2]):
                self.starter.start_ready(pool)
        else:
            self.starter.start_ready(group.removeprefix(POOL_PREFIX))

    async def _send(self, target: str, transfer: Transfer, order: Order | None) -> None:
        """Send a transfer until it is known whether it was credited."""
        message = convert.to_transfer(transfer, order)
        for _ in range(TRANSFER_TRIES):
            info = self.peers.find(target)
            try:
                if info is not None:
                    reply = await self.client.call(info.peer_address, "Send", message)
                    if not reply.credited and self.ledger.take_back(transfer):
                        self.starter.start_all_ready()
                    return
            except PeerError as error:
                logging.info(
                    "decision=transfer resource=%s to=%s reason=%s",
                    transfer.resource,
                    target,
                    error,
                )
            await anyio.sleep(TRANSFER_RETRY_SECONDS)
        logging.warning(
            "decision=transfer resource=%s to=%s reason=lost count=%d",
            transfer.resource,
            target,
            transfer.count,
        )
        self.member.permits_lost = True

    def _post(self, member: str, method: str, message: object) -> None:
        start_guarded(self.tasks, self._call, member, method, message)

    async def _call(self, member: str, method: str, message: object) -> None:
        info = self.peers.find(member)
        if info is None:
            return
        try:
            await self.client.call(info.peer_address, method, message)
        except PeerError as error:
            logging.debug("peers: %s", error)

    def _wake(self) -> None:
        self.wake.set()

    @staticmethod
    def _log_order(order: Order) -> None:
        logging.info(
            "decision=order order=%s group=%s resource=%s from=%s to=%s team=%s reason=%s",
            order.order_id,
            order.group,
            order.resource,
            order.source,
            order.target,
            order.team,
            _reason(order),
        )


def _reason(order: Order) -> str:
    if not order.team:
        return "spread"
    return "use" if order.source == order.target else "move"
