"""Tests that invalid messages from peers do not stop a daemon."""

import contextlib

import anyio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from ...api.tests.test_http import HEADERS, post, with_cluster
from ...exception import PeerError
from ...peer import peer_pb2 as pb
from ...standin.network import MemoryPeerCaller
from ...standin.virtual import run_virtual

NAMES = st.sampled_from(["", "x", "pool/main", "team/desk", "slot/vm-1", "d1", "pool/none"])
MESSAGES = st.one_of(
    st.builds(
        lambda group, team, ready, left: (
            "Report",
            pb.ReportBatch(
                member="ghost",
                reports=[
                    pb.GroupReport(
                        group=group,
                        free={"slot/vm-1": 9},
                        claims=[pb.Claim(team=team, ready=ready, deadlines=left, count=3)],
                    )
                ],
            ),
        ),
        NAMES,
        NAMES,
        st.integers(0, 5),
        st.lists(st.floats(width=32), max_size=3),
    ),
    st.builds(
        lambda adviser, group, resource, source, target, count: (
            "Advise",
            pb.AdviceBatch(
                adviser=adviser,
                advice=[pb.Advice(group=group, elsewhere_seconds=float("nan"))],
                orders=[
                    pb.Order(
                        order_id="o",
                        group=group,
                        resource=resource,
                        source=source,
                        target=target,
                        team="desk",
                        count=count,
                    )
                ],
            ),
        ),
        st.sampled_from(["ghost", "d1"]),
        NAMES,
        NAMES,
        NAMES,
        NAMES,
        st.integers(0, 99),
    ),
    st.builds(
        lambda name, count, epoch: (
            "Send",
            pb.PermitTransfer(transfer_id=name, resource=name, count=count, epoch=epoch),
        ),
        NAMES,
        st.integers(0, 1000),
        st.integers(50, 60),
    ),
    st.builds(
        lambda view: ("Collect", pb.CollectRequest(view=view, view_revision=10**9)),
        st.binary(max_size=20),
    ),
    st.builds(
        lambda view: ("HandOver", pb.Handover(member="m", epoch=9, view=view)),
        st.binary(max_size=20),
    ),
    st.builds(
        lambda name, state: ("SettleKey", pb.KeySettlement(key=name, job=name, state=state)),
        NAMES,
        st.sampled_from(["", "claimed", "nonsense"]),
    ),
    st.builds(
        lambda name: ("Exchange", pb.Heartbeat(sender=pb.MemberInfo(member=name), epoch=99)),
        NAMES,
    ),
)


@settings(max_examples=80, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(messages=st.lists(MESSAGES, min_size=1, max_size=5))
def test_daemon_serves_jobs_after_invalid_messages(messages):
    async def send_messages(cluster):
        held_before = cluster.held("team/desk")
        async with anyio.create_task_group() as tasks:
            caller = MemoryPeerCaller(cluster.network, "ghost", tasks)
            for method, message in messages:
                with contextlib.suppress(PeerError):
                    await caller.call("d1:2", method, message)
        await anyio.sleep(4)
        return (
            held_before,
            cluster.held("team/desk"),
            (await post(cluster, "/queues/jobs/jobs", HEADERS))[0],
        )

    before, after, status = run_virtual(with_cluster, send_messages)
    assert_that((after, status), Equals((before, 200)))
