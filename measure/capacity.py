"""Slopes of state, messages and processor time, and what they come to at the target size."""

from __future__ import annotations

import time

import anyio
import attrs
from absl import logging

from limpetpulley.config import AccessKey, Pool, Record, Team
from limpetpulley.config.replica import encode_record
from limpetpulley.membership import MemberInfo, encode_view, initial_view
from limpetpulley.peer import PeerClient, PeerServer, convert
from limpetpulley.peer import peer_pb2 as pb
from limpetpulley.peer.peer_grpc import PeerBase, PeerStub
from limpetpulley.quota.adviser import Claim, GroupReport
from limpetpulley.quota.resource import pool_group, slot_resource
from limpetpulley.standin import FaultProxy

from .population import (
    adviser_with,
    change_in,
    held_vms,
    peers_with_reports,
    planning_of,
    records,
    replica_of,
    running_jobs,
    starter_with,
    vm,
    waiting_jobs,
)
from .slopes import Slope, fit, measure_memory, measure_time, print_slopes

__all__ = ["main"]

EXCHANGES = 150
BLOCKS = 6
CHANGED_PART = 0.3


def memory_slopes() -> list[Slope]:
    """Return bytes per object of each kind."""
    sizes = (200, 400, 800, 1600)
    return [
        measure_memory("VM with endpoint, permits and limit", held_vms, sizes),
        measure_memory(
            "team", lambda n: replica_of([Team(f"t-{i}") for i in range(n)]), (50, 100, 200, 400)
        ),
        measure_memory(
            "pool", lambda n: replica_of([Pool(f"p-{i}") for i in range(n)]), (50, 100, 200, 400)
        ),
        measure_memory(
            "access key",
            lambda n: replica_of([AccessKey(f"k-{i}", "t", f"{i:064x}") for i in range(n)]),
            sizes,
        ),
        measure_memory("waiting job in the queue", waiting_jobs, (1000, 2000, 4000, 8000)),
        measure_memory("running job, without its socket", running_jobs, (250, 500, 1000, 2000)),
        measure_memory("peer, with reports on 30 pools", peers_with_reports, (8, 16, 32, 64)),
        measure_memory("record of an idempotency key", records, (1000, 2000, 4000, 8000)),
    ]


def time_slopes() -> list[Slope]:
    """Return processor time of each decision by the size that it works on."""
    return [
        measure_time("start and end of a job, by VMs of its pool", starter_with, (4, 8, 16, 32)),
        measure_time("advice on one full pool, by members", adviser_with, (4, 8, 16, 32)),
        measure_time("one configuration change, by VMs", change_in, (114, 228, 455, 910)),
        measure_time("planning round, by VMs", planning_of, (114, 228, 455, 910)),
    ]


class _Peer(PeerBase):
    """Answers heartbeats; the other calls are not used here."""

    async def Exchange(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        info = pb.MemberInfo(member="entry-2-0a1b2c3d", vm="entry-2", data_centre="almaty-1")
        await stream.send_message(pb.HeartbeatReply(sender=info, epoch=7, acknowledged=True))

    async def _unused(self, stream) -> None:
        raise NotImplementedError

    Report = Advise = Send = Collect = FetchConfig = _unused  # noqa: N815
    ClaimKey = SettleKey = PutRecords = AwaitAnswer = HandOver = _unused  # noqa: N815


def heartbeat(groups: int) -> pb.Heartbeat:
    """Return a heartbeat with reports on so many idle pools of four VMs."""
    reports = [
        convert.to_report(
            GroupReport(
                pool_group(f"pool-{index}"),
                "m",
                "d",
                {slot_resource(f"vm-{4 * index + n}"): 1 for n in range(4)},
                {},
                (),
            )
        )
        for index in range(groups)
    ]
    info = pb.MemberInfo(
        member="entry-1-0a1b2c3d",
        vm="entry-1",
        data_centre="almaty-1",
        peer_address="192.0.2.10:8402",
        caller_address="192.0.2.10:8400",
    )
    return pb.Heartbeat(sender=info, epoch=7, config_revision=1234, reports=reports)


async def exchange_slopes() -> list[Slope]:
    """Return processor time and bytes of a heartbeat, both ends, over real connections."""
    sizes, spent, sent = (1, 10, 20, 40), [], []
    async with anyio.create_task_group() as tasks:
        server = PeerServer(_Peer(), "127.0.0.1", 0)
        await server.start()
        proxy = FaultProxy(server.port)
        await tasks.start(proxy.serve)
        client = PeerClient(PeerStub)
        for size in sizes:
            message = heartbeat(size)
            await client.call(f"127.0.0.1:{proxy.port}", "Exchange", message)
            before = proxy.bytes_forwarded
            for _ in range(EXCHANGES):
                await client.call(f"127.0.0.1:{proxy.port}", "Exchange", message)
            sent.append((proxy.bytes_forwarded - before) / EXCHANGES)
            blocks = []
            for _ in range(BLOCKS):
                began = time.process_time()
                for _ in range(EXCHANGES):
                    await client.call(f"127.0.0.1:{server.port}", "Exchange", message)
                blocks.append((time.process_time() - began) / EXCHANGES * 1e6)
            spent.append(min(blocks))
        client.close()
        await server.stop()
        tasks.cancel_scope.cancel()
    return [
        fit("heartbeat and reply, both ends, by groups reported", "us", sizes, spent),
        fit("bytes of a heartbeat and reply with framing, by groups", "B", sizes, sent),
    ]


def message_sizes() -> list[tuple[str, int]]:
    """Return the encoded size of each kind of message."""
    order = pb.Order(
        order_id="entry-1-0a1b2c3d:123",
        group="pool/quotes",
        resource="slot/quotes-1",
        source="entry-1-0a1b2c3d",
        target="entry-2-0a1b2c3d",
        team="studio-a",
        count=1,
    )
    report = GroupReport(
        "pool/quotes",
        "m",
        "d",
        {slot_resource(f"quotes-{n}"): 1 for n in range(6)},
        {"studio-a": 5, "agents": 2},
        (Claim("studio-a", 16, tuple(float(n) for n in range(16)), 40),),
        ("entry-1-0a1b2c3d:123",) * 5,
    )
    batch = pb.ReportBatch(member="entry-1-0a1b2c3d", reports=[convert.to_report(report)])
    transfer = pb.PermitTransfer(
        transfer_id="entry-1-0a1b2c3d:7:55", epoch=7, resource="slot/quotes-1", count=1, order=order
    )
    view = initial_view(
        MemberInfo("entry-1-0a1b2c3d", "entry-1", "d", "192.0.2.10:8402", "192.0.2.10:8400"),
        {slot_resource(f"vm-{n}"): 8 for n in range(910)},
    )
    return [
        ("report on one full pool", batch.ByteSize()),
        ("order", order.ByteSize()),
        ("transfer of a permit", transfer.ByteSize()),
        ("claim of a key", pb.KeyClaim(key="t/q/" + "k" * 24, body_digest=bytes(32)).ByteSize()),
        ("view with 910 VMs and one member", len(encode_view(view))),
        ("record of a VM in the store", len(encode_record(Record("vm", "vm-1", 1, vm(1))))),
    ]


@attrs.frozen
class Target:
    """The size of two years from now."""

    vms: int = 910
    pools: int = 264
    teams: int = 32
    daemons: int = 12
    changes_a_day: int = 2400
    waves_a_day: float = 910 / 56


def print_target(slopes: dict[str, Slope], target: Target) -> None:
    """Print what one daemon spends at the target size, with the arithmetic."""
    print(f"\nTarget: {target}\n")
    print("| line | arithmetic | figure |")
    print("|---|---|---:|")
    for line in [*_message_lines(slopes, target), *_state_lines(slopes, target)]:
        print(line)


def _message_lines(slopes: dict[str, Slope], target: Target) -> list[str]:
    beat = slopes["heartbeat and reply, both ends, by groups reported"]
    wire = slopes["bytes of a heartbeat and reply with framing, by groups"]
    change = slopes["one configuration change, by VMs"]
    plan = slopes["planning round, by VMs"]
    groups = (target.pools + target.teams) / target.daemons
    peers = target.daemons - 1
    beat_us = beat.intercept + max(0.0, beat.slope) * groups * CHANGED_PART
    some = wire.intercept + wire.slope * groups * CHANGED_PART
    every = wire.intercept + wire.slope * groups
    change_us = change.intercept + change.slope * target.vms
    plan_us = plan.intercept + plan.slope * target.vms
    return [
        f"| heartbeats, processor | {peers} sent and {peers} received a second, "
        f"{beat_us:.0f} us for both ends of one | {peers * beat_us / 1e4:.2f} % of a core |",
        f"| heartbeats, bytes, {CHANGED_PART:.0%} of the groups changed | {peers} x "
        f"({wire.intercept:.0f} + {wire.slope:.0f} x {groups:.1f} x {CHANGED_PART}) B a second "
        f"| {peers * some / 1000:.1f} KB/s |",
        f"| heartbeats, bytes, every group changed | {peers} x ({wire.intercept:.0f} + "
        f"{wire.slope:.0f} x {groups:.1f}) B a second | {peers * every / 1000:.1f} KB/s |",
        f"| messages of contended jobs | 7 a job (measured under peaks), {beat_us:.0f} us each "
        f"| {7 * beat_us / 1e4:.2f} % of a core for each such job a second |",
        f"| configuration changes | {target.changes_a_day} a day x ({change.intercept:.0f} + "
        f"{change.slope:.2f} x {target.vms}) us "
        f"| {target.changes_a_day * change_us / 864e8 * 100:.4f} % of a core |",
        f"| planning, the planner only | 2 rounds a second x ({plan.intercept:.0f} + "
        f"{plan.slope:.2f} x {target.vms}) us | {2 * plan_us / 1e4:.2f} % of a core |",
    ]


def _state_lines(slopes: dict[str, Slope], target: Target) -> list[str]:
    vm_bytes = slopes["VM with endpoint, permits and limit"].slope
    peer_bytes = slopes["peer, with reports on 30 pools"].slope
    standby = (target.daemons - 1) / 2
    writes = target.daemons + 2 / 3 + 5 * target.waves_a_day / 86400
    return [
        f"| state of the fleet | {target.vms} VMs x {vm_bytes:.0f} B "
        f"| {target.vms * vm_bytes / 2**20:.2f} MB |",
        f"| state of the peers | {target.daemons - 1} x {peer_bytes:.0f} B "
        f"| {(target.daemons - 1) * peer_bytes / 2**20:.2f} MB |",
        f"| store, writes | {target.daemons} renewals a second, 2 of the planner in 3 s, 5 for "
        f"each of {target.waves_a_day:.1f} maintained VMs a day | {writes:.1f} /s |",
        f"| store, reads | {target.daemons} probes a second, {target.daemons - 1} standby planners "
        f"in 2 s, {2 * target.daemons} waiting watches "
        f"| {target.daemons + standby:.1f} /s and {2 * target.daemons} watches |",
    ]


def main() -> None:
    """Measure all slopes and print them."""
    logging.set_verbosity(logging.FATAL)
    slopes = [*memory_slopes(), *time_slopes(), *anyio.run(exchange_slopes)]
    print_slopes(slopes)
    print("\n| message | bytes |\n|---|---:|")
    for name, size in message_sizes():
        print(f"| {name} | {size} |")
    print_target({found.name: found for found in slopes}, Target())


if __name__ == "__main__":
    main()
