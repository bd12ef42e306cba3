"""Cost slopes of memory, messages and processor time, extrapolated to the target fleet size."""

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
    make_config_change,
    make_job_cycle,
    make_key_records,
    make_matching_round,
    make_peers,
    make_planning_round,
    make_replica,
    make_running_jobs,
    make_vm,
    make_vm_state,
    make_waiting_jobs,
)
from .slopes import Slope, fit, measure_memory, measure_time, print_slopes

__all__ = ["main"]

HEARTBEAT_GROUPS = (1, 10, 20, 40)
CALLS_PER_BLOCK = 150
BLOCKS = 6
CHANGED_FRACTION = 0.3


def memory_slopes() -> list[Slope]:
    """Return the memory per object of each kind, in bytes."""
    sizes = (200, 400, 800, 1600)
    return [
        measure_memory("VM with endpoint, permits and limit", make_vm_state, sizes),
        measure_memory(
            "team", lambda n: make_replica([Team(f"t-{i}") for i in range(n)]), (50, 100, 200, 400)
        ),
        measure_memory(
            "pool", lambda n: make_replica([Pool(f"p-{i}") for i in range(n)]), (50, 100, 200, 400)
        ),
        measure_memory(
            "access key",
            lambda n: make_replica([AccessKey(f"k-{i}", "t", f"{i:064x}") for i in range(n)]),
            sizes,
        ),
        measure_memory("waiting job in the queue", make_waiting_jobs, (1000, 2000, 4000, 8000)),
        measure_memory(
            "running job, without its socket", make_running_jobs, (250, 500, 1000, 2000)
        ),
        measure_memory("peer, with reports on 30 pools", make_peers, (8, 16, 32, 64)),
        measure_memory("record of an idempotency key", make_key_records, (1000, 2000, 4000, 8000)),
    ]


def time_slopes() -> list[Slope]:
    """Return the processor time of each decision by the size of its input."""
    return [
        measure_time("start and end of a job, by VMs in its pool", make_job_cycle, (4, 8, 16, 32)),
        measure_time(
            "permit matching in one full pool, by members", make_matching_round, (4, 8, 16, 32)
        ),
        measure_time("one configuration change, by VMs", make_config_change, (114, 228, 455, 910)),
        measure_time("planning round, by VMs", make_planning_round, (114, 228, 455, 910)),
    ]


class _Peer(PeerBase):
    """Answers heartbeats; the other calls are not implemented."""

    async def Exchange(self, stream) -> None:  # noqa: N802
        await stream.recv_message()
        info = pb.MemberInfo(member="entry-2-0a1b2c3d", vm="entry-2", data_centre="almaty-1")
        await stream.send_message(pb.HeartbeatReply(sender=info, epoch=7, acknowledged=True))

    async def _unused(self, stream) -> None:
        raise NotImplementedError

    Report = Advise = Send = Collect = FetchConfig = _unused  # noqa: N815
    ClaimKey = SettleKey = PutRecords = AwaitAnswer = HandOver = _unused  # noqa: N815


def heartbeat(groups: int) -> pb.Heartbeat:
    """Return a heartbeat that reports on a number of idle pools of four VMs each."""
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


async def exchange_slopes(
    sizes: tuple[int, ...] = HEARTBEAT_GROUPS,
    calls_per_block: int = CALLS_PER_BLOCK,
    blocks_per_size: int = BLOCKS,
) -> list[Slope]:
    """Return processor time (both ends) and bytes of a heartbeat over real connections.

    :param sizes: numbers of groups that the heartbeats report
    :param calls_per_block: calls over which the processor time is averaged
    :param blocks_per_size: blocks of calls of each size, of which the fastest counts
    """
    cpu_us, byte_counts = [], []
    async with anyio.create_task_group() as tasks:
        server = PeerServer([_Peer()], "127.0.0.1", 0)
        await server.start()
        proxy = FaultProxy(server.port)
        await tasks.start(proxy.serve)
        client = PeerClient(PeerStub)
        for size in sizes:
            message = heartbeat(size)
            await client.call(f"127.0.0.1:{proxy.port}", "Exchange", message)
            bytes_before = proxy.bytes_forwarded
            for _ in range(calls_per_block):
                await client.call(f"127.0.0.1:{proxy.port}", "Exchange", message)
            byte_counts.append((proxy.bytes_forwarded - bytes_before) / calls_per_block)
            blocks = []
            for _ in range(blocks_per_size):
                started_at = time.process_time()
                for _ in range(calls_per_block):
                    await client.call(f"127.0.0.1:{server.port}", "Exchange", message)
                blocks.append((time.process_time() - started_at) / calls_per_block * 1e6)
            cpu_us.append(min(blocks))
        client.close()
        await server.stop()
        tasks.cancel_scope.cancel()
    return [
        fit("heartbeat and reply, both ends, by groups reported", "us", sizes, cpu_us),
        fit("bytes of a heartbeat and reply with framing, by groups", "B", sizes, byte_counts),
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
        ("record of a VM in the store", len(encode_record(Record("vm", "vm-1", 1, make_vm(1))))),
    ]


@attrs.frozen
class Target:
    """The fleet size that is expected in two years."""

    vms: int = 910
    pools: int = 264
    teams: int = 32
    daemons: int = 12
    changes_per_day: int = 2400
    maintained_vms_per_day: float = 910 / 56


def print_target(slopes: dict[str, Slope], target: Target) -> None:
    """Print the cost of one daemon at the target size, with its calculation."""
    print(f"\nTarget: {target}\n")
    print("| item | calculation | result |")
    print("|---|---|---:|")
    for line in [*_message_lines(slopes, target), *_state_lines(slopes, target)]:
        print(line)


def _message_lines(slopes: dict[str, Slope], target: Target) -> list[str]:
    heartbeat_time = slopes["heartbeat and reply, both ends, by groups reported"]
    heartbeat_bytes = slopes["bytes of a heartbeat and reply with framing, by groups"]
    config_change = slopes["one configuration change, by VMs"]
    planning = slopes["planning round, by VMs"]
    groups = (target.pools + target.teams) / target.daemons
    peers = target.daemons - 1
    heartbeat_us = (
        heartbeat_time.intercept + max(0.0, heartbeat_time.slope) * groups * CHANGED_FRACTION
    )
    changed_bytes = heartbeat_bytes.intercept + heartbeat_bytes.slope * groups * CHANGED_FRACTION
    all_bytes = heartbeat_bytes.intercept + heartbeat_bytes.slope * groups
    change_us = config_change.intercept + config_change.slope * target.vms
    planning_us = planning.intercept + planning.slope * target.vms
    return [
        f"| heartbeats, processor time | {peers} sent and {peers} received per second, "
        f"{heartbeat_us:.0f} us for both ends of one "
        f"| {peers * heartbeat_us / 1e4:.2f} % of a core |",
        f"| heartbeats, bytes, {CHANGED_FRACTION:.0%} of the groups changed | {peers} x "
        f"({heartbeat_bytes.intercept:.0f} + {heartbeat_bytes.slope:.0f} x {groups:.1f} "
        f"x {CHANGED_FRACTION}) B per second "
        f"| {peers * changed_bytes / 1000:.1f} KB/s |",
        f"| heartbeats, bytes, all groups changed | {peers} x "
        f"({heartbeat_bytes.intercept:.0f} + "
        f"{heartbeat_bytes.slope:.0f} x {groups:.1f}) B per second "
        f"| {peers * all_bytes / 1000:.1f} KB/s |",
        f"| messages of contended jobs | 7 per job (measured under peaks), "
        f"{heartbeat_us:.0f} us each "
        f"| {7 * heartbeat_us / 1e4:.2f} % of a core for each such job per second |",
        f"| configuration changes | {target.changes_per_day} per day x "
        f"({config_change.intercept:.0f} + {config_change.slope:.2f} x {target.vms}) us "
        f"| {target.changes_per_day * change_us / 864e8 * 100:.4f} % of a core |",
        f"| planning, only at the planner | 2 rounds per second x ({planning.intercept:.0f} + "
        f"{planning.slope:.2f} x {target.vms}) us | {2 * planning_us / 1e4:.2f} % of a core |",
    ]


def _state_lines(slopes: dict[str, Slope], target: Target) -> list[str]:
    vm_bytes = slopes["VM with endpoint, permits and limit"].slope
    peer_bytes = slopes["peer, with reports on 30 pools"].slope
    standby_reads = (target.daemons - 1) / 2
    writes = target.daemons + 2 / 3 + 5 * target.maintained_vms_per_day / 86400
    return [
        f"| state of the fleet | {target.vms} VMs x {vm_bytes:.0f} B "
        f"| {target.vms * vm_bytes / 2**20:.2f} MB |",
        f"| state of the peers | {target.daemons - 1} x {peer_bytes:.0f} B "
        f"| {(target.daemons - 1) * peer_bytes / 2**20:.2f} MB |",
        f"| store, writes | {target.daemons} lease renewals per second, 2 of the planner "
        f"in 3 s, 5 for each of {target.maintained_vms_per_day:.1f} maintained VMs per day "
        f"| {writes:.1f} /s |",
        f"| store, reads | {target.daemons} probes per second, {target.daemons - 1} standby "
        f"planners in 2 s, {2 * target.daemons} open watches "
        f"| {target.daemons + standby_reads:.1f} /s and {2 * target.daemons} watches |",
    ]


def main() -> None:
    """Measure and print all slopes, message sizes and the extrapolation."""
    logging.set_verbosity(logging.FATAL)
    slopes = [*memory_slopes(), *time_slopes(), *anyio.run(exchange_slopes)]
    print_slopes(slopes)
    print("\n| message | bytes |\n|---|---:|")
    for name, size in message_sizes():
        print(f"| {name} | {size} |")
    print_target({slope.name: slope for slope in slopes}, Target())


if __name__ == "__main__":
    main()
