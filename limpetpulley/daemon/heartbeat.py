"""Heartbeats between daemons, and fetching of configuration that they show to be missing."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

import anyio
from absl import logging

from ..clock import Clock
from ..config import ConfigReplica
from ..exception import ConfigError, PeerError
from ..membership import Member
from ..peer import PeerCaller, convert
from ..peer import peer_pb2 as pb
from ..quota.adviser import GroupReport
from ..scheduling.starter import Starter
from ..settings import Settings
from ..tasks import start_guarded
from .peers import PeerTable
from .permit_distribution import PermitDistributor
from .store_sync import StoreSync

__all__ = ["Heartbeats"]

HEARTBEAT_INTERVAL_SECONDS = 1.0
MIN_HEARTBEAT_INTERVAL_SECONDS = 0.2


class HeartbeatNode(Protocol):
    """Parts of a node that heartbeats report from and that process the replies."""

    member: Member
    peers: PeerTable
    permit_distributor: PermitDistributor
    starter: Starter
    replica: ConfigReplica
    store_sync: StoreSync
    peer_client: PeerCaller
    clock: Clock
    settings: Settings
    tasks: anyio.abc.TaskGroup
    permit_groups: list[str]
    leaving: bool

    def busy_vms(self) -> list[str]:
        """Return the VMs that are not joined but still run jobs of this daemon."""


class Heartbeats:
    """Sends regular heartbeats to every other daemon and processes the replies.

    :param node: the daemon's node
    """

    def __init__(self, node: HeartbeatNode):
        self.node = node
        self.fetching_config = False
        self.planners: set[str] = set()
        self.broadcast_requested = anyio.Event()

    async def run(self) -> None:
        """Broadcast heartbeats until cancelled."""
        while True:
            self.broadcast_requested = anyio.Event()
            self.broadcast()
            await anyio.sleep(MIN_HEARTBEAT_INTERVAL_SECONDS)
            with anyio.move_on_after(HEARTBEAT_INTERVAL_SECONDS - MIN_HEARTBEAT_INTERVAL_SECONDS):
                await self.broadcast_requested.wait()

    def broadcast_soon(self) -> None:
        """Broadcast the next heartbeat early, because the state to report has changed."""
        self.broadcast_requested.set()

    def broadcast(self) -> None:
        """Send one heartbeat to every other daemon."""
        addresses = self.node.peers.addresses()
        reports: dict[str, list[GroupReport]] = {}
        if self.node.member.is_member:
            reports = self.node.permit_distributor.reports_by_adviser(self.node.permit_groups)
        for name, address in addresses.items():
            message = self._make_message(name, reports.get(name, []))
            start_guarded(self.node.tasks, self._exchange, address, message, name)
        self.node.peer_client.close_others([*addresses.values(), *self.node.settings.peers])
        known_addresses = {*addresses.values(), self.node.member.info.peer_address}
        for address in self.node.settings.peers:
            if address not in known_addresses:
                start_guarded(self.node.tasks, self._exchange, address, self._make_message("", []))

    def _make_message(self, name: str, reports: list[GroupReport]) -> pb.Heartbeat:
        node, member = self.node, self.node.member
        message = pb.Heartbeat(
            sender=convert.to_member_info(member.info),
            epoch=member.view.epoch if member.view else 0,
            config_revision=node.replica.revision,
            leaving=node.leaving,
            view_revision=member.view_revision,
            is_member=member.is_member,
            reports=[convert.to_report(report) for report in reports],
            busy_vms=node.busy_vms(),
        )
        if name in self.planners:
            message.demand.extend(self._count_demand())
        return message

    async def _exchange(self, address: str, message: pb.Heartbeat, name: str = "") -> None:
        node, member = self.node, self.node.member
        sent_at = node.clock.now()
        try:
            reply = await node.peer_client.call(address, "Exchange", message)
        except PeerError as error:
            logging.debug("peers: heartbeat failed: %s", error)
            node.permit_distributor.forget_last_reports(name)
            return
        if reply.sender.member == member.name:
            return
        info = convert.from_member_info(reply.sender)
        node.peers.record_contact(info, reply.config_revision, reply.is_member, reply.leaving)
        node.permit_distributor.report_to_new_advisers(node.permit_groups)
        if reply.view:
            node.store_sync.apply_view(reply.view, reply.view_revision)
        if reply.plans_fleet:
            self.planners.add(info.member)
        else:
            self.planners.discard(info.member)
        if reply.acknowledged:
            member.record_ack(info.member, sent_at, message.epoch)
        if reply.config_revision > node.replica.revision:
            await self.fetch_config(address)

    def _count_demand(self) -> list[pb.PoolDemand]:
        starter = self.node.starter
        running: Counter[str] = Counter()
        waiting: Counter[str] = Counter()
        for (pool, _), count in starter.running.items():
            running[pool] += count
        for (pool, _), count in starter.waiting.counts.items():
            waiting[pool] += count
        return [
            pb.PoolDemand(pool=pool, running=running[pool], waiting=waiting[pool])
            for pool in {*running, *waiting}
        ]

    async def fetch_config(self, address: str) -> None:
        """Fetch the configuration changes that this daemon is missing from a peer."""
        node = self.node
        if self.fetching_config:
            return
        self.fetching_config = True
        try:
            request = pb.ConfigRequest(after=node.replica.revision)
            reply = await node.peer_client.call(address, "FetchConfig", request)
            records = [convert.from_config_record(message) for message in reply.records]
            if reply.full:
                node.replica.apply_snapshot(records, reply.revision)
            for record in records:
                node.replica.apply(record)
            node.replica.advance(reply.revision)
            node.store_sync.config_loaded = True
            # Notifies the same listeners as a change that is read from the store.
            node.store_sync.on_config()
        except (PeerError, ConfigError) as error:
            logging.warning("peers: cannot fetch the configuration: %s", error)
        finally:
            self.fetching_config = False
