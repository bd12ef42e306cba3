"""Slow and malformed requests are cut off and do not affect other connections."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from .. import server as server_module
from ..http import read_body, send_json
from ..server import HttpServer

TEST_HEADERS_TIMEOUT_SECONDS = 0.3


async def echo_path(scope, receive, send):
    await read_body(receive, 100)
    await send_json(send, {"path": scope["path"]})


async def send_chunks(chunks, pause):
    """Send chunks with pauses.

    Return the response, the duration of the connection, and the response to a later valid request.
    """
    async with anyio.create_task_group() as tasks:
        server = HttpServer(echo_path, "127.0.0.1", 0)
        await tasks.start(server.serve)
        stream = await anyio.connect_tcp("127.0.0.1", server.port)
        started_at, response = anyio.current_time(), b""
        try:
            for chunk in chunks:
                await stream.send(chunk)
                await anyio.sleep(pause)
            with anyio.move_on_after(3.0):
                while b"}" not in response:
                    response += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        duration = anyio.current_time() - started_at
        await anyio.aclose_forcefully(stream)
        later_stream = await anyio.connect_tcp("127.0.0.1", server.port)
        await later_stream.send(b"POST /after HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx")
        later_response = await later_stream.receive()
        await anyio.aclose_forcefully(later_stream)
        tasks.cancel_scope.cancel()
    return response, duration, later_response


@pytest.mark.parametrize(
    ("chunks", "pause", "status"),
    [
        ([b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx"], 0.0, b"200"),
        ([b"POST /a HTTP/1.1\r\n", b"host: h\r\n", b"a: b\r\n", b"c: d\r\n"], 0.2, b""),
        ([b""], 0.5, b""),
        ([b"POST /a HTTP/1.1\r\nx: " + b"y" * 40_000 + b"\r\n\r\n"], 0.0, b""),
        ([b"POST /" + b"a" * 40_000 + b" HTTP/1.1\r\n\r\n"], 0.0, b""),
        ([b"\x16\x03\x01 not http\r\n\r\n"], 0.0, b"400"),
    ],
    ids=["valid", "slow headers", "no data", "large header", "large target", "not http"],
)
def test_bad_connections_are_closed_and_others_served(monkeypatch, chunks, pause, status):
    monkeypatch.setattr(server_module, "HEADERS_TIMEOUT_SECONDS", TEST_HEADERS_TIMEOUT_SECONDS)
    response, duration, later_response = anyio.run(send_chunks, chunks, pause)
    assert_that(response[9:12], Equals(status))
    assert_that(duration, LessThan(2.5))
    assert_that(later_response[9:12], Equals(b"200"))
