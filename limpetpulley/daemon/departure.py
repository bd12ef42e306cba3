"""Graceful leave of a member, and takeover of its membership by another daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
from absl import logging

from ..exception import ConfigError, PeerError, StoreError
from ..membership import decode_view
from ..peer import convert
from ..peer import peer_pb2 as pb
from .reporting import push_records

if TYPE_CHECKING:
    from .node import Node

__all__ = ["leave", "take_over"]

MAX_WRITE_ATTEMPTS = 20
POLL_SECONDS = 0.05
TRANSFER_WAIT_SECONDS = 0.3
SUCCESSOR_WAIT_SECONDS = 5.0
HAND_OVER_RETRY_SECONDS = 0.2


async def leave(node: Node) -> None:
    """Leave the membership after all jobs of this daemon have ended.

    If the store is available, a view without this member is written. Otherwise, or if that
    fails, the membership is handed over to a daemon that is not a member yet, because the number
    of members that can acknowledge each other must not shrink. If there is no such daemon, the
    permits are sent to the other members.
    """
    if not node.member.is_member:
        return
    if node.store_sync.available:
        node.permit_distributor.send_free_permits()
        await anyio.sleep(TRANSFER_WAIT_SECONDS)
        if await _leave_through_store(node):
            return
    if not await _hand_over(node):
        node.member.stopped = True
        node.permit_distributor.send_free_permits()
        await anyio.sleep(TRANSFER_WAIT_SECONDS)


async def _leave_through_store(node: Node) -> bool:
    for _ in range(MAX_WRITE_ATTEMPTS):
        proposal = node.store_sync.proposer.propose_leaving(node.configured_limits())
        if proposal is None:
            return not node.member.is_member
        try:
            if await node.store_sync.write_view(proposal):
                await _push_records(node)
                return True
        except StoreError as error:
            logging.warning("leaving: cannot write the view: %s", error)
            return False
        await anyio.sleep(POLL_SECONDS)
    return False


async def _push_records(node: Node) -> None:
    view = node.member.view
    if view is not None and view.members:
        try:
            await push_records(node, view)
        except PeerError as error:
            logging.warning("leaving: cannot push key records: %s", error)


async def _hand_over(node: Node) -> bool:
    """Hand the membership over; return whether another daemon has taken it over."""
    if node.member.view is None or not node.ledger.transfers_enabled:
        return False
    with anyio.move_on_after(SUCCESSOR_WAIT_SECONDS):
        while not node.peers.handover_candidates():
            await anyio.sleep(POLL_SECONDS)
    candidates = node.peers.handover_candidates()
    if not candidates:
        return False
    node.member.stopped = True
    successor, message = candidates[0], _make_handover(node)
    while True:
        try:
            reply = await node.peer_client.call(successor.peer_address, "HandOver", message)
        except PeerError as error:
            logging.info("decision=hand-over member=%s reason=%s", node.member.name, error)
            await anyio.sleep(HAND_OVER_RETRY_SECONDS)
            continue
        logging.info(
            "decision=hand-over member=%s to=%s reason=%s",
            node.member.name,
            successor.member,
            "leaving" if reply.taken else "refused",
        )
        return reply.taken


def _make_handover(node: Node) -> pb.Handover:
    now = node.clock.now()
    return pb.Handover(
        member=node.member.name,
        epoch=node.ledger.epoch,
        view=node.encoded_view(),
        view_revision=node.member.view_revision,
        permits=[
            pb.Permits(resource=resource, held=held)
            for resource, held in node.ledger.report().items()
        ],
        records=[convert.to_key_record(record, now) for record in node.key_records.all()],
        incarnation=node.member.info.incarnation + 1,
    )


def take_over(node: Node, message: pb.Handover) -> bool:
    """Take over the membership of a leaving daemon; return whether this daemon now has it."""
    member = node.member
    if member.name == message.member:
        return True
    if member.is_member or node.leaving or message.epoch <= node.ledger.epoch:
        return False
    try:
        view = decode_view(message.view)
    except ConfigError as error:
        logging.warning("decision=take-over member=%s reason=%s", message.member, error)
        return False
    if message.member not in view.names or message.view_revision < member.view_revision:
        return False
    now = node.clock.now()
    info = attrs.evolve(member.info, member=message.member, incarnation=message.incarnation)
    permits = {permits.resource: permits.held for permits in message.permits}
    member.take_over(info, view, message.view_revision, message.epoch, permits)
    node.starter.member = info.member
    node.planner.name = info.member
    node.key_records.put(convert.from_key_record(record, now) for record in message.records)
    node.on_view()
    node.heartbeats.broadcast()
    logging.info("decision=take-over member=%s reason=handed-over", info.member)
    return True
