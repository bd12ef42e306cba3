"""Slow and malformed callers cannot hold the server up."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from .. import server as server_module
from ..http import read_body, send_json
from ..server import HttpServer

HEAD_SECONDS = 0.3


async def app(scope, receive, send):
    await read_body(receive, 100)
    await send_json(send, {"path": scope["path"]})


async def talk(pieces, pause):
    """Send pieces with pauses; return what came back and how long the connection lived."""
    async with anyio.create_task_group() as tasks:
        server = HttpServer(app, "127.0.0.1", 0)
        await tasks.start(server.serve)
        stream = await anyio.connect_tcp("127.0.0.1", server.port)
        began, answer = anyio.current_time(), b""
        try:
            for piece in pieces:
                await stream.send(piece)
                await anyio.sleep(pause)
            with anyio.move_on_after(3.0):
                while b"}" not in answer:
                    answer += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            pass
        lived = anyio.current_time() - began
        await anyio.aclose_forcefully(stream)
        good = await anyio.connect_tcp("127.0.0.1", server.port)
        await good.send(b"POST /after HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx")
        after = await good.receive()
        await anyio.aclose_forcefully(good)
        tasks.cancel_scope.cancel()
    return answer, lived, after


@pytest.mark.parametrize(
    ("pieces", "pause", "status"),
    [
        ([b"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 1\r\n\r\nx"], 0.0, b"200"),
        ([b"POST /a HTTP/1.1\r\n", b"host: h\r\n", b"a: b\r\n", b"c: d\r\n"], 0.2, b""),
        ([b""], 0.5, b""),
        ([b"POST /a HTTP/1.1\r\nx: " + b"y" * 40_000 + b"\r\n\r\n"], 0.0, b""),
        ([b"POST /" + b"a" * 40_000 + b" HTTP/1.1\r\n\r\n"], 0.0, b""),
        ([b"\x16\x03\x01 not http\r\n\r\n"], 0.0, b"400"),
    ],
    ids=["good", "slow head", "nothing", "large header", "large target", "not http"],
)
def test_bad_callers_are_let_go_and_others_served(monkeypatch, pieces, pause, status):
    monkeypatch.setattr(server_module, "HEAD_TIMEOUT_SECONDS", HEAD_SECONDS)
    answer, lived, after = anyio.run(talk, pieces, pause)
    assert_that(answer[9:12], Equals(status))
    assert_that(lived, LessThan(2.5))
    assert_that(after[9:12], Equals(b"200"))
