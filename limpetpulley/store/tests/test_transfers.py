"""The bytes of the store's answers are counted by purpose, also of answers that are given up."""

import anyio
import pytest

from ...exception import StoreUnavailable
from ...http_client import PooledHttpClient
from .. import StoreContact, Transfers

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 3000\r\n\r\n"


@pytest.mark.parametrize(
    ("parts", "error"),
    [
        ([HEAD, b"x" * 3000], ""),
        ([HEAD, b"x" * 1000], f"timed out after {len(HEAD) + 1000} bytes"),
        ([], "timed out after 0 bytes"),
    ],
)
def test_bytes_of_complete_and_of_incomplete_answers_are_counted(parts, error):
    async def handle(stream):
        async with stream:
            await stream.receive()
            for part in parts:
                await stream.send(part)
            await anyio.sleep_forever()

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        contact = StoreContact()
        transfers, reason = Transfers(PooledHttpClient(), address, contact), ""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            try:
                await transfers.request("read op/", "GET", "/", None, 0.4)
            except StoreUnavailable as raised:
                reason = str(raised)
            tasks.cancel_scope.cancel()
        return reason, contact.received_bytes["read op/"]

    reason, received = anyio.run(run)
    assert error in reason
    assert bool(reason) == bool(error)
    assert received == sum(map(len, parts))
