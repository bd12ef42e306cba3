"""Handlers of calls from other daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..exception import ConfigError, PeerError
from ..idempotency import KeyState
from ..membership import decode_view
from ..peer import convert
from ..peer import peer_pb2 as pb
from ..peer.peer_grpc import PeerBase
from .departure import take_over
from .reporting import collect_report

if TYPE_CHECKING:
    from .node import Node

__all__ = ["PeerHandlers"]

MAX_WAIT_SECONDS = 3600.0


class PeerHandlers(PeerBase):
    """Server side of the protocol between daemons.

    :attr:`node` must be set before the first call.
    """

    node: Node

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        """Process a heartbeat and acknowledge it."""
        message = await stream.recv_message()
        node, member = self.node, self.node.member
        node.handle_heartbeat(message)
        acknowledged = member.acknowledge(message.sender.member, message.epoch)
        reply = pb.HeartbeatReply(
            sender=convert.to_member_info(member.info),
            epoch=member.view.epoch if member.view else 0,
            acknowledged=acknowledged,
            config_revision=node.replica.revision,
            leaving=node.leaving,
            is_member=member.is_member,
            plans_fleet=node.planner.holds_lease,
        )
        if member.view is not None and message.view_revision < member.view_revision:
            reply.view, reply.view_revision = node.encoded_view(), member.view_revision
        await stream.send_message(reply)

    async def Report(self, stream: Any) -> None:  # noqa: N802
        """Process reports as the adviser of their groups."""
        message = await stream.recv_message()
        await stream.send_message(pb.Done())
        self.node.permit_distributor.receive_reports(
            convert.from_report(report, message.member, message.data_centre)
            for report in message.reports
        )

    async def Advise(self, stream: Any) -> None:  # noqa: N802
        """Process advice and orders from an adviser."""
        message = await stream.recv_message()
        await stream.send_message(pb.Done())
        self.node.permit_distributor.receive_advice(message)

    async def Send(self, stream: Any) -> None:  # noqa: N802
        """Credit a permit transfer."""
        message = await stream.recv_message()
        order = convert.from_order(message.order) if message.HasField("order") else None
        credited = self.node.permit_distributor.receive_transfer(
            convert.from_transfer(message), order
        )
        await stream.send_message(pb.TransferReply(credited=credited))

    async def Collect(self, stream: Any) -> None:  # noqa: N802
        """Report the permits that this member holds, for a new view."""
        message = await stream.recv_message()
        reply = pb.CollectReply(member=self.node.member.name)
        try:
            view = decode_view(message.view)
            permits = await collect_report(self.node, view, message.view_revision)
        except (ConfigError, PeerError) as error:
            permits, reply.reason = None, str(error)
        if permits is not None:
            reply.reported = True
            reply.held.update(permits)
        await stream.send_message(reply)

    async def FetchConfig(self, stream: Any) -> None:  # noqa: N802
        """Return the configuration records that the other daemon is missing."""
        message = await stream.recv_message()
        replica = self.node.replica
        records, full = replica.changes_since(message.after)
        reply = pb.ConfigReply(revision=replica.revision, full=full)
        reply.records.extend(convert.to_config_record(record) for record in records)
        await stream.send_message(reply)

    async def ClaimKey(self, stream: Any) -> None:  # noqa: N802
        """Record the claim of an idempotency key."""
        message = await stream.recv_message()
        await stream.send_message(self.node.claims.record_claim(message))

    async def SettleKey(self, stream: Any) -> None:  # noqa: N802
        """Record the outcome of a keyed job."""
        message = await stream.recv_message()
        self.node.key_records.settle(message.key, message.job, KeyState(message.state))
        await stream.send_message(pb.Done())

    async def PutRecords(self, stream: Any) -> None:  # noqa: N802
        """Store key records that another member held."""
        message = await stream.recv_message()
        now = self.node.clock.now()
        self.node.key_records.put(
            convert.from_key_record(record, now) for record in message.records
        )
        await stream.send_message(pb.Done())

    async def AwaitAnswer(self, stream: Any) -> None:  # noqa: N802
        """Return the response of a keyed job that this daemon runs or ran."""
        message = await stream.recv_message()
        wait = min(max(0.0, message.wait_seconds), MAX_WAIT_SECONDS)
        reply = await self.node.keyed_jobs.await_answer(message.key, message.job, wait)
        await stream.send_message(reply)

    async def HandOver(self, stream: Any) -> None:  # noqa: N802
        """Take over the membership of a leaving daemon."""
        message = await stream.recv_message()
        taken = take_over(self.node, message)
        await stream.send_message(pb.HandoverReply(taken=taken))
