"""Conversion between protocol messages and the package's own types."""

from __future__ import annotations

from collections.abc import Mapping

from ..config import Record
from ..config.replica import decode_record, encode_record
from ..idempotency import KeyRecord, KeyState
from ..membership import MemberInfo
from ..quota.adviser import Claim, GroupReport, Order
from ..quota.ledger import Transfer
from . import peer_pb2 as pb

__all__ = [
    "from_config_record",
    "from_counts",
    "from_key_record",
    "from_member_info",
    "from_order",
    "from_report",
    "from_transfer",
    "to_config_record",
    "to_key_record",
    "to_member_info",
    "to_order",
    "to_report",
    "to_transfer",
]


def from_counts(counts: Mapping[str, int]) -> dict[str, int]:
    """Return a map field of a message, sorted by key.

    The iteration order of map fields differs between processes.
    """
    return dict(sorted(counts.items()))


def to_member_info(info: MemberInfo) -> pb.MemberInfo:
    """Return the message for a member."""
    return pb.MemberInfo(
        member=info.member,
        vm=info.vm,
        data_centre=info.data_centre,
        peer_address=info.peer_address,
        caller_address=info.caller_address,
        incarnation=info.incarnation,
    )


def from_member_info(message: pb.MemberInfo) -> MemberInfo:
    """Return the member that a message describes."""
    return MemberInfo(
        message.member,
        message.vm,
        message.data_centre,
        message.peer_address,
        message.caller_address,
        message.incarnation,
    )


def to_report(report: GroupReport) -> pb.GroupReport:
    """Return the message for a report; the member is named in the enclosing message."""
    return pb.GroupReport(
        group=report.group,
        free=report.free,
        running=report.running,
        claims=[
            pb.Claim(
                team=claim.team,
                ready=claim.ready,
                deadlines=claim.deadlines,
                count=claim.count,
            )
            for claim in report.claims
        ],
        done=report.done,
    )


def from_report(message: pb.GroupReport, member: str, data_centre: str) -> GroupReport:
    """Return the report in a message.

    :param member: name of the reporting member
    :param data_centre: its data centre
    """
    return GroupReport(
        message.group,
        member,
        data_centre,
        from_counts(message.free),
        from_counts(message.running),
        tuple(
            Claim(claim.team, claim.ready, tuple(claim.deadlines), claim.count)
            for claim in message.claims
        ),
        tuple(message.done),
    )


def to_order(order: Order) -> pb.Order:
    """Return the message for an order."""
    return pb.Order(
        order_id=order.order_id,
        group=order.group,
        resource=order.resource,
        source=order.source,
        target=order.target,
        team=order.team,
        count=order.count,
    )


def from_order(message: pb.Order) -> Order:
    """Return the order in a message."""
    return Order(
        message.order_id,
        message.group,
        message.resource,
        message.source,
        message.target,
        message.team,
        max(1, message.count),
    )


def to_transfer(transfer: Transfer, order: Order | None = None) -> pb.PermitTransfer:
    """Return the message for a transfer.

    :param order: order that the transfer fulfils, None if there is none
    """
    return pb.PermitTransfer(
        transfer_id=transfer.transfer_id,
        epoch=transfer.epoch,
        resource=transfer.resource,
        count=transfer.count,
        order=to_order(order) if order else None,
    )


def from_transfer(message: pb.PermitTransfer) -> Transfer:
    """Return the transfer in a message."""
    return Transfer(message.transfer_id, message.epoch, message.resource, message.count)


def to_config_record(record: Record) -> pb.ConfigRecord:
    """Return the message for a configuration record."""
    deleted = record.value is None
    return pb.ConfigRecord(
        kind=record.kind,
        name=record.name,
        revision=record.revision,
        value=b"" if deleted else encode_record(record),
        deleted=deleted,
    )


def from_config_record(message: pb.ConfigRecord) -> Record:
    """Return the configuration record in a message.

    :raises ConfigError: if its value cannot be read
    """
    value = None if message.deleted else message.value
    return decode_record(message.kind, message.name, message.revision, value)


def to_key_record(record: KeyRecord, now: float) -> pb.KeyRecord:
    """Return the message for the record of an idempotency key.

    :param now: current time on the clock by which the record expires
    """
    return pb.KeyRecord(
        key=record.key,
        body_digest=record.body_digest,
        owner=record.owner,
        job=record.job,
        state=record.state,
        lifetime_seconds=max(0.0, record.expires - now),
    )


def from_key_record(message: pb.KeyRecord, now: float) -> KeyRecord:
    """Return the record of an idempotency key in a message.

    :param now: current time on the clock by which the record is to expire
    """
    return KeyRecord(
        message.key,
        message.body_digest,
        message.owner,
        message.job,
        KeyState(message.state),
        now + message.lifetime_seconds,
    )
