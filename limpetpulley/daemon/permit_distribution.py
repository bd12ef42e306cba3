"""Distribution of permits among daemons, coordinated by one adviser for each permit group."""

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

__all__ = ["PermitDistributor"]

REPORT_DELAY_SECONDS = 0.002
ADVICE_INTERVAL_SECONDS = 0.2
BALANCE_INTERVAL_SECONDS = 2.0
LOAD_VALIDITY_SECONDS = 1.0
MIN_FREE_PERMITS = 2
MAX_TRANSFER_ATTEMPTS = 5
TRANSFER_RETRY_SECONDS = 0.3


@attrs.frozen
class _GroupLoad:
    """Numbers of running and waiting jobs in a group, by team, as received from the adviser."""

    received_at: float
    running: dict[str, int]
    waiting: dict[str, int]


class PermitDistributor:
    """Reports to the advisers of groups, advises on groups itself and executes orders.

    :param clock: the daemon's clock
    :param member: this daemon's membership state
    :param ledger: the daemon's permits
    :param starter: starts the daemon's jobs
    :param peers: table of the other daemons
    :param peer_client: client for calls to other daemons
    :param tasks: task group for background calls
    :param rng: random source for the advisers
    """

    def __init__(
        self,
        clock: Clock,
        member: Member,
        ledger: Ledger,
        starter: Starter,
        peers: PeerTable,
        peer_client: PeerCaller,
        tasks: anyio.abc.TaskGroup,
        rng: random.Random,
    ):
        self.clock = clock
        self.member = member
        self.ledger = ledger
        self.starter = starter
        self.peers = peers
        self.peer_client = peer_client
        self.tasks = tasks
        self.rng = rng
        self.advisers: dict[str, Adviser] = {}
        self.advised_contention: dict[str, bool] = {}
        self.group_loads: dict[str, _GroupLoad] = {}
        self.unreported_groups: set[str] = set()
        self.last_reports: dict[str, dict[str, GroupReport]] = {}
        self.informed_advisers: dict[str, str | None] = {}
        # Candidates and groups that the advisers above follow from.
        self.informed_of: tuple[tuple[str, ...], list[str]] = ((), [])
        self.changes_pending = anyio.Event()
        starter.notify = self._notify_change

    async def run(self) -> None:
        """Report changes and refresh advice until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._repeat_advice)
            await self._report_pending_changes()

    async def _report_pending_changes(self) -> None:
        while True:
            await self.changes_pending.wait()
            await anyio.sleep(REPORT_DELAY_SECONDS)
            self.changes_pending = anyio.Event()
            self.report_changes()

    def report_changes(self) -> None:
        """Report the changed groups that are contended, have waiting jobs or handled an order."""
        self.unreported_groups |= self.starter.pop_changed_groups()
        if not self.member.is_member:
            return
        urgent = {group for group in self.unreported_groups if self._is_urgent(group)}
        self.unreported_groups -= urgent
        self.report(urgent)

    def report(self, groups: Iterable[str]) -> None:
        """Report groups to their advisers immediately."""
        batches: dict[str, list[GroupReport]] = defaultdict(list)
        for group in groups:
            adviser = self.peers.adviser_of(group)
            if adviser is not None:
                batches[adviser].append(self.starter.report(group))
                self.last_reports.get(adviser, {}).pop(group, None)
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
                self._call_in_background(adviser, "Report", batch)

    def report_to_new_advisers(self, groups: list[str]) -> None:
        """Report the groups whose adviser has changed since the last call.

        Until then the new adviser does not know which permits are free here, so that jobs at
        other members wait although this member has no job for them.

        :param groups: all groups
        """
        candidates = self.peers.find_adviser_candidates()
        if (candidates, groups) == self.informed_of or not self.member.is_member:
            return
        advisers = {group: self.peers.adviser_of(group) for group in groups}
        changed = [
            group
            for group, adviser in advisers.items()
            if adviser != self.informed_advisers.get(group)
        ]
        self.informed_advisers, self.informed_of = advisers, (candidates, groups)
        self.report(changed)

    def reports_by_adviser(self, groups: Iterable[str]) -> dict[str, list[GroupReport]]:
        """Return the reports that changed since the last heartbeat, by adviser.

        :param groups: groups to report
        """
        reports: dict[str, list[GroupReport]] = defaultdict(list)
        for group in groups:
            adviser = self.peers.adviser_of(group)
            if adviser is None or adviser == self.member.name:
                continue
            report = self.starter.report(group)
            last_reports = self.last_reports.setdefault(adviser, {})
            if last_reports.get(group) != report:
                last_reports[group] = report
                reports[adviser].append(report)
        return reports

    def forget_last_reports(self, adviser: str) -> None:
        """Forget what was reported to an adviser, because it may have missed a heartbeat.

        The next heartbeat reports all groups to it again.
        """
        self.last_reports.pop(adviser, None)

    def refresh_reports(self, member: str) -> None:
        """Mark the earlier reports of a member as still valid, as it reports only changes."""
        now = self.clock.now()
        for adviser in self.advisers.values():
            adviser.refresh_report(member, now)

    def receive_reports(self, reports: Iterable[GroupReport]) -> None:
        """Process reports of members and send the resulting orders and advice."""
        now = self.clock.now()
        groups = set()
        for report in reports:
            self._get_adviser(report.group).receive(report, now)
            groups.add(report.group)
        self._advise(groups, refresh=False)

    def receive_advice(self, batch: pb.AdviceBatch) -> None:
        """Apply an adviser's advice and execute its orders, if the sender may be an adviser.

        What is dropped needs no reply: an order that was not handled expires at its adviser, and
        the next report of the waiting jobs makes the adviser of the group order again.
        """
        if not self.peers.may_advise(batch.adviser):
            logging.info(
                "decision=advice from=%s orders=%d reason=not-a-member",
                batch.adviser,
                len(batch.orders),
            )
            return
        now = self.clock.now()
        for advice in batch.advice:
            was_contended = self.starter.is_contended(advice.group)
            self.starter.apply_advice(advice.group, advice.contended, advice.elsewhere_seconds)
            running, waiting = (
                convert.from_counts(advice.running),
                convert.from_counts(advice.waiting),
            )
            self.group_loads[advice.group] = _GroupLoad(now, running, waiting)
            if was_contended and not advice.contended:
                self._start_ready_jobs(advice.group)
        for message in batch.orders:
            self.execute_order(convert.from_order(message))

    def execute_order(self, order: Order) -> None:
        """Execute an order as the holder of its permits."""
        if order.target == self.member.name:
            self.starter.apply_order(order)
            return
        self.starter.mark_order_handled(order)
        if not self.peers.is_member(order.target):
            # Only a member of the same epoch can be credited.
            logging.info(
                "decision=transfer resource=%s to=%s reason=not-a-member",
                order.resource,
                order.target,
            )
            return
        try:
            free = self.ledger.free(order.resource)
            transfer = self.ledger.debit(order.resource, min(order.count, free))
        except PermitError:
            return
        start_guarded(self.tasks, self._send_transfer, order.target, transfer, order)

    def receive_transfer(self, transfer: Transfer, order: Order | None) -> bool:
        """Credit a transfer from another member; return whether it was credited.

        :param transfer: the transfer
        :param order: the order that the transfer executes, if any
        """
        already_received = transfer.transfer_id in self.ledger.transfer_results
        credited = self.ledger.credit(transfer)
        if credited and not already_received and order is not None:
            self.starter.apply_order(order)
        elif credited and not already_received:
            self.starter.start_all_ready()
        return credited

    def pool_load(self, group: str) -> PoolLoad:
        """Return the known numbers of running and waiting jobs in a pool's group."""
        adviser = self.advisers.get(group)
        if adviser is not None and self.peers.adviser_of(group) == self.member.name:
            return PoolLoad(0, adviser.running(), adviser.waiting())
        load = self.group_loads.get(group)
        if load is not None and self.clock.now() - load.received_at <= LOAD_VALIDITY_SECONDS:
            return PoolLoad(0, load.running, load.waiting)
        own = self.starter.report(group)
        return PoolLoad(0, own.running, {claim.team: claim.count for claim in own.claims})

    def send_free_permits(self) -> None:
        """Send all free permits to the other live members, in round-robin order."""
        other_members = [name for name in self.peers.live_members() if name != self.member.name]
        if not other_members:
            return
        for index, (resource, holding) in enumerate(list(self.ledger.holdings.items())):
            if holding.free > 0 and self.ledger.transfers_enabled:
                transfer = self.ledger.debit(resource, holding.free)
                target = other_members[index % len(other_members)]
                start_guarded(self.tasks, self._send_transfer, target, transfer, None)

    async def _repeat_advice(self) -> None:
        """Refresh the advice on contended groups and the reports of groups with waiting jobs."""
        balance_at = self.clock.now() + BALANCE_INTERVAL_SECONDS
        while True:
            await anyio.sleep(ADVICE_INTERVAL_SECONDS)
            waiting_groups = {POOL_PREFIX + pool for pool, _ in self.starter.waiting.counts}
            waiting_groups |= {team_group(team) for team in self.starter.waiting.team_counts}
            if waiting_groups and self.member.is_member:
                self.report(waiting_groups)
            contended = {group for group, flag in self.advised_contention.items() if flag}
            self._advise(contended, refresh=True)
            if self.clock.now() >= balance_at:
                balance_at = self.clock.now() + BALANCE_INTERVAL_SECONDS
                self._balance()

    def _advise(self, groups: Iterable[str], refresh: bool) -> None:
        """Match free permits to waiting jobs, and send orders and advice to the members.

        :param groups: groups that this member advises on
        :param refresh: whether to send advice even if contention has not changed
        """
        now = self.clock.now()
        orders: dict[str, list[Order]] = defaultdict(list)
        advice: dict[str, list[pb.Advice]] = defaultdict(list)
        for group in groups:
            adviser = self._get_adviser(group)
            for order in adviser.match(now):
                orders[order.source].append(order)
                self._log_order_decision(order)
            was_contended = self.advised_contention.get(group, False)
            self.advised_contention[group] = adviser.contended
            if refresh or was_contended != adviser.contended:
                for member in adviser.reports:
                    advice[member].append(self._make_advice(adviser, member, now))
        for member in {*orders, *advice}:
            self._send_orders(member, orders.get(member, []), advice.get(member, []))

    def _balance(self) -> None:
        """Balance the free permits of the groups that this member advises on."""
        now = self.clock.now()
        members = set(self.peers.live_members())
        orders: dict[str, list[Order]] = defaultdict(list)
        for group, adviser in self.advisers.items():
            if self.peers.adviser_of(group) != self.member.name:
                continue
            self.receive_reports([self.starter.report(group)])
            if members <= adviser.reports.keys():
                for order in adviser.balance(now):
                    orders[order.source].append(order)
                    self._log_order_decision(order)
        for member, member_orders in orders.items():
            self._send_orders(member, member_orders, [])

    def _send_orders(self, member: str, orders: list[Order], advice: list[pb.Advice]) -> None:
        batch = pb.AdviceBatch(
            adviser=self.member.name,
            epoch=self.ledger.epoch,
            advice=advice,
            orders=[convert.to_order(order) for order in orders],
        )
        if member == self.member.name:
            self.receive_advice(batch)
        else:
            self._call_in_background(member, "Advise", batch)

    def _make_advice(self, adviser: Adviser, member: str, now: float) -> pb.Advice:
        return pb.Advice(
            group=adviser.group,
            contended=adviser.contended,
            elsewhere_seconds=adviser.earliest_deadline_elsewhere(member) - now,
            running=adviser.running(),
            waiting=adviser.waiting(),
        )

    def _get_adviser(self, group: str) -> Adviser:
        adviser = self.advisers.get(group)
        if adviser is None:
            adviser = make_adviser(group, self.member.name, self.rng)
            self.advisers[group] = adviser
        adviser.weights = self.starter.weights
        return adviser

    def _is_urgent(self, group: str) -> bool:
        if self.starter.is_contended(group) or self.starter.handled_orders.get(group):
            return True
        if is_team_group(group):
            team = group.partition("/")[2]
            is_short = self.ledger.free(team_resource(team)) < MIN_FREE_PERMITS
            return is_short and team in self.starter.waiting.team_counts
        pool = group.removeprefix(POOL_PREFIX)
        return bool(self.starter.waiting.teams(pool))

    def _start_ready_jobs(self, group: str) -> None:
        if is_team_group(group):
            for pool in self.starter.waiting.pools(group.partition("/")[2]):
                self.starter.start_ready(pool)
        else:
            self.starter.start_ready(group.removeprefix(POOL_PREFIX))

    async def _send_transfer(self, target: str, transfer: Transfer, order: Order | None) -> None:
        """Send a transfer, with retries, until the target replies whether it was credited."""
        message = convert.to_transfer(transfer, order)
        for _ in range(MAX_TRANSFER_ATTEMPTS):
            info = self.peers.find(target)
            try:
                if info is not None:
                    reply = await self.peer_client.call(info.peer_address, "Send", message)
                    if not reply.credited and self.ledger.revert_debit(transfer):
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

    def _call_in_background(self, member: str, method: str, message: object) -> None:
        start_guarded(self.tasks, self._call_member, member, method, message)

    async def _call_member(self, member: str, method: str, message: object) -> None:
        info = self.peers.find(member)
        if info is None:
            return
        try:
            await self.peer_client.call(info.peer_address, method, message)
        except PeerError as error:
            logging.debug("peers: call failed: %s", error)

    def _notify_change(self) -> None:
        self.changes_pending.set()

    @staticmethod
    def _log_order_decision(order: Order) -> None:
        logging.info(
            "decision=order order=%s group=%s resource=%s from=%s to=%s team=%s reason=%s",
            order.order_id,
            order.group,
            order.resource,
            order.source,
            order.target,
            order.team,
            _order_reason(order),
        )


def _order_reason(order: Order) -> str:
    if not order.team:
        return "spread"
    return "use" if order.source == order.target else "move"
