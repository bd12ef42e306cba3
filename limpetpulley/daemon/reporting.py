"""Reports for a new view, and the move of records to their new holders."""

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

RECORD_BATCH = 500


class RecordHolder(Protocol):
    """What a daemon needs to report for a view and to move its records."""

    member: Member
    book: KeyRecordTable
    peers: PeerTable
    client: PeerCaller
    clock: Clock

    def on_view(self) -> None:
        """Note that the view has changed."""


async def collect_report(node: RecordHolder, view: View, revision: int) -> dict[str, int] | None:
    """Return what this member holds, once its records are where the view wants them.

    :returns: None if this member may not report for the view
    :raises PeerError: if a record could not be moved
    """
    held = node.member.report(view, revision)
    node.on_view()
    if held is None:
        return None
    await push_records(node, view)
    return held


async def push_records(node: RecordHolder, view: View) -> None:
    """Send the records held here to the members that newly hold them in a view.

    :raises PeerError: if one of them does not answer
    """
    previous = [(info.member, info.data_centre) for info in view.previous]
    following = [(info.member, info.data_centre) for info in view.members]
    batches: dict[str, list[pb.KeyRecord]] = {}
    now = node.clock.now()
    for record in node.book.all():
        before = set(choose_holders(record.key, previous))
        for holder in set(choose_holders(record.key, following)) - before - {node.member.name}:
            batches.setdefault(holder, []).append(convert.to_key_record(record, now))
    for holder, records in batches.items():
        info = view.find(holder)
        assert info is not None
        await _push_records(node, info, records)


async def _push_records(node: RecordHolder, info: MemberInfo, records: list[pb.KeyRecord]) -> None:
    found = node.peers.find(info.member) or info
    for start in range(0, len(records), RECORD_BATCH):
        batch = pb.RecordBatch(records=records[start : start + RECORD_BATCH])
        await node.client.call(found.peer_address, "PutRecords", batch)
        await anyio.sleep(0)
    logging.info("decision=records to=%s count=%d reason=new-epoch", info.member, len(records))
