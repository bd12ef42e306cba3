"""Heartbeats between daemons."""

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
from .store_link import StoreLink
from .trading import Trader

__all__ = ["Heartbeats"]

HEARTBEAT_SECONDS = 1.0
SHORTEST_SECONDS = 0.2


class Beating(Protocol):
    """What a daemon tells others of, and what it does with their replies."""

    member: Member
    peers: PeerTable
    trader: Trader
    starter: Starter
    replica: ConfigReplica
    link: StoreLink
    client: PeerCaller
    clock: Clock
    settings: Settings
    tasks: anyio.abc.TaskGroup
    groups: list[str]
    leaving: bool

    def busy_vms(self) -> list[str]:
        """Return the VMs that run this daemon's jobs."""


class Heartbeats:
    """Tells every other daemon regularly what it needs to know, and fetches what is missing.

    :param node: the daemon
    """

    def __init__(self, node: Beating):
        self.node = node
        self.fetching = False
        self.planners: set[str] = set()
        self.beat_wanted = anyio.Event()

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.beat_wanted = anyio.Event()
            self.beat()
            await anyio.sleep(SHORTEST_SECONDS)
            with anyio.move_on_after(HEARTBEAT_SECONDS - SHORTEST_SECONDS):
                await self.beat_wanted.wait()

    def beat_soon(self) -> None:
        """Send the next heartbeat early, because there is news."""
        self.beat_wanted.set()

    def beat(self) -> None:
        """Send one heartbeat to each other daemon."""
        addresses = self.node.peers.addresses()
        reports: dict[str, list[GroupReport]] = {}
        if self.node.member.is_member:
            reports = self.node.trader.reports_by_adviser(self.node.groups)
        for name, address in addresses.items():
            message = self._message(name, reports.get(name, []))
            start_guarded(self.node.tasks, self._exchange, address, message, name)
        self.node.client.close_others([*addresses.values(), *self.node.settings.peers])
        known = {*addresses.values(), self.node.member.info.peer_address}
        for address in self.node.settings.peers:
            if address not in known:
                start_guarded(self.node.tasks, self._exchange, address, self._message("", []))

    def _message(self, name: str, reports: list[GroupReport]) -> pb.Heartbeat:
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
            message.demand.extend(self._demand())
        return message

    async def _exchange(self, address: str, message: pb.Heartbeat, name: str = "") -> None:
        node, member = self.node, self.node.member
        sent_at = node.clock.now()
        try:
            reply = await node.client.call(address, "Exchange", message)
        except PeerError as error:
            logging.debug("peers: %s", error)
            node.trader.forget_known(name)
            return
        if reply.sender.member == member.name:
            return
        info = convert.from_member_info(reply.sender)
        node.peers.hear(info, reply.config_revision, reply.is_member, reply.leaving)
        if reply.view:
            node.link.apply_view(reply.view, reply.view_revision)
        if reply.plans_fleet:
            self.planners.add(info.member)
        else:
            self.planners.discard(info.member)
        if reply.acknowledged:
            member.record_ack(info.member, sent_at, message.epoch)
        if reply.config_revision > node.replica.revision:
            await self.fetch_config(address)

    def _demand(self) -> list[pb.PoolDemand]:
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
        """Fetch from a peer the configuration that is missing here."""
        node = self.node
        if self.fetching:
            return
        self.fetching = True
        try:
            request = pb.ConfigRequest(after=node.replica.revision)
            reply = await node.client.call(address, "FetchConfig", request)
            records = [convert.from_config_record(message) for message in reply.records]
            if reply.full:
                node.replica.apply_snapshot(records, reply.revision)
            for record in records:
                node.replica.apply(record)
            node.replica.advance(reply.revision)
            node.link.config_loaded = True
            # Whoever uses the configuration hears of it here as from the store.
            node.link.on_config()
        except (PeerError, ConfigError) as error:
            logging.warning("peers: configuration: %s", error)
        finally:
            self.fetching = False
