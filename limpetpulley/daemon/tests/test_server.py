"""Tests of daemons with sockets: large bodies and responses, and truncated responses."""

import anyio
import httpcore
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...config import make_secret
from ...demo.system import DemoSystem

LARGE_BYTES = 3 * 1024 * 1024


async def with_system(function):
    """Run a function on a demonstration system whose daemons are all valid members."""
    async with anyio.create_task_group() as tasks:
        system = DemoSystem(tasks)
        await system.start()
        secret = make_secret()
        await system.apply(system.example_config({"studios-1": secret, "agents-1": make_secret()}))
        with anyio.fail_after(20):
            while not all(node.member.is_valid() for node in system.nodes):
                await anyio.sleep(0.05)
        await anyio.sleep(2.5)
        result = await function(system, secret)
        tasks.cancel_scope.cancel()
    return result


@pytest.mark.parametrize("streamed", [False, True])
def test_large_body_and_response_are_complete(streamed):
    body = bytes(range(256)) * (LARGE_BYTES // 256)

    async def chunks():
        for start in range(0, len(body), 100_000):
            yield body[start : start + 100_000]

    async def run(system, secret):
        address = system.nodes[0].member.info.caller_address
        headers = [("authorization", f"Bearer {secret}"), ("time-left", "5")]
        framing = (
            ("transfer-encoding", "chunked") if streamed else ("content-length", str(LARGE_BYTES))
        )
        response = await system.http.request(
            "POST",
            f"http://{address}/queues/quotes/jobs",
            headers=[*headers, framing],
            content=chunks() if streamed else body,
        )
        return response.status, response.content == body

    assert_that(anyio.run(with_system, run), Equals((200, True)))


def test_truncated_response_is_not_passed_on_as_complete():
    async def run(system, secret):
        for endpoint in system.endpoints.values():
            endpoint.truncate = True
        try:
            response = await system.submit(0, "invoices", secret, b"x" * 1000)
        except httpcore.RemoteProtocolError:
            return True
        return response.status >= 500

    assert_that(anyio.run(with_system, run), Is(True))
