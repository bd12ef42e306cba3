"""Reports of held permits for a new view, and transfer of key records to their new holders."""

from __future__ import annotations

from typing import Protocol

import anyio
from absl import logging

from ..clock import Clock
from ..idempotency import KeyRecordTable, choose_holders
from ..membership import Member, MemberInfo, View
from ..peer import PeerCaller, convert
from ..peer import peer_pb2 as pb
from .peers import PeerTable

__all__ = ["collect_report", "push_records"]

MAX_RECORDS_PER_CALL = 500


class ReportingNode(Protocol):
    """Parts of a node that are needed to report for a view and to transfer its key records."""

    member: Member
    key_records: KeyRecordTable
    peers: PeerTable
    peer_client: PeerCaller
    clock: Clock

    def on_view(self) -> None:
        """Apply a changed view to the components."""


async def collect_report(node: ReportingNode, view: View, revision: int) -> dict[str, int] | None:
    """Return the permits that this member holds, after transferring its key records.

    :param view: the collecting view
    :param revision: store revision of the view
    :returns: permits by resource, or None if this member may not report for the view
    :raises PeerError: if a record cannot be transferred to a new holder
    """
    permits = node.member.report(view, revision)
    node.on_view()
    if permits is None:
        return None
    await push_records(node, view)
    return permits


async def push_records(node: ReportingNode, view: View) -> None:
    """Send the key records held here to the members that become their holders in a view.

    :raises PeerError: if one of the new holders does not answer
    """
    previous_members = [(info.member, info.data_centre) for info in view.previous]
    next_members = [(info.member, info.data_centre) for info in view.members]
    batches: dict[str, list[pb.KeyRecord]] = {}
    now = node.clock.now()
    for record in node.key_records.all():
        previous_holders = set(choose_holders(record.key, previous_members))
        for holder in (
            set(choose_holders(record.key, next_members)) - previous_holders - {node.member.name}
        ):
            batches.setdefault(holder, []).append(convert.to_key_record(record, now))
    for holder, records in batches.items():
        info = view.find(holder)
        assert info is not None
        await _push_to_holder(node, info, records)


async def _push_to_holder(
    node: ReportingNode, info: MemberInfo, records: list[pb.KeyRecord]
) -> None:
    target = node.peers.find(info.member) or info
    for start in range(0, len(records), MAX_RECORDS_PER_CALL):
        batch = pb.RecordBatch(records=records[start : start + MAX_RECORDS_PER_CALL])
        await node.peer_client.call(target.peer_address, "PutRecords", batch)
        await anyio.sleep(0)
    logging.info("decision=records to=%s count=%d reason=new-epoch", info.member, len(records))
