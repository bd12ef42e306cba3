"""The HTTP client against servers that cut, reset, stay silent or talk nonsense."""

import socket
import struct

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength

from .. import http_client
from ..exception import HttpError
from ..http_client import HttpResponse, PooledHttpClient

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2\r\nbc\r\n0\r\n\r\n"
CLOSING = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"


class ScriptedServer:
    """Answers each request of each connection by a script; None is silence."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0

    async def handle(self, stream):
        self.connections += 1
        script = self.scripts.pop(0) if self.scripts else [GOOD] * 100
        async with stream:
            try:
                for answer in script:
                    self.requests.append(await stream.receive())
                    if answer is None:
                        await anyio.sleep_forever()
                    if answer == "reset":
                        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                        linger = struct.pack("ii", 1, 0)
                        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                        return
                    for part in answer if isinstance(answer, list) else [answer]:
                        await stream.send(part)
                        await anyio.sleep(0.01)
            except anyio.EndOfStream:
                return


def play(server, calls, timeout=0.4, gap=0.0):
    """Return the answers, or errors, of calls made one after the other."""

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        http, told = PooledHttpClient(), []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.handle)
            for _ in range(calls):
                try:
                    told.append(
                        await http.request(
                            "POST", f"127.0.0.1:{port}", "/a?b=1", {"X-Y": "z"}, b"hi", timeout
                        )
                    )
                except HttpError as error:
                    told.append(str(error))
                await anyio.sleep(gap)
            await http.aclose()
            tasks.cancel_scope.cancel()
        return told

    return anyio.run(run)


OK = HttpResponse(200, b"ok")


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([GOOD], OK),
        ([CHUNKED], HttpResponse(503, b"abc")),
        ([[GOOD[:10], GOOD[10:40], GOOD[40:]]], OK),
        ([CLOSING], OK),
        ([b""], "connection closed"),
        ([None], "no answer in time"),
        (["reset"], "connection"),
        ([GOOD[:-1]], "connection closed"),
        ([b"SMTP ready\r\n"], "not an HTTP answer"),
    ],
)
def test_an_answer_is_whole_or_an_error(script, expected):
    (told,) = play(ScriptedServer(script), 1)
    if isinstance(expected, str):
        assert_that(told, Contains(expected))
    else:
        assert_that(told, Equals(expected))


def test_a_request_is_sent_as_it_should_be():
    server = ScriptedServer()
    play(server, 1)
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    assert_that(head.splitlines()[0], Equals(b"POST /a?b=1 HTTP/1.1"))
    assert_that(head.splitlines()[2:], Equals([b"X-Y: z", b"Content-Length: 2"]))
    assert_that(body, Equals(b"hi"))


@pytest.mark.parametrize(
    ("scripts", "told", "connections"),
    [
        ([[GOOD] * 3], [OK, OK, OK], 1),
        ([[CLOSING], [GOOD] * 2], [OK, OK, OK], 2),
        ([[GOOD], [GOOD] * 2], [OK, OK, OK], 2),
        ([[None], [GOOD] * 2], ["", OK, OK], 2),
        ([["reset"], [GOOD] * 2], ["", OK, OK], 2),
    ],
)
def test_connections_are_kept_while_they_work(scripts, told, connections):
    server = ScriptedServer(*scripts)
    found = play(server, 3, gap=0.05)
    assert_that([each if each == OK else "" for each in found], Equals(told))
    assert_that(server.connections, Equals(connections))


def test_after_silence_no_idle_connection_is_trusted():
    server = ScriptedServer([GOOD, None], [GOOD, None])

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        http, told = PooledHttpClient(), []

        async def call():
            try:
                told.append(await http.request("GET", address, "/", {}, b"", 0.3))
            except HttpError:
                told.append(None)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.handle)
            async with anyio.create_task_group() as both:
                both.start_soon(call)
                both.start_soon(call)
            await call()
            await call()
            tasks.cancel_scope.cancel()
        return told

    assert_that(anyio.run(run), Equals([OK, OK, None, OK]))
    assert_that(server.connections, Equals(3))


def test_a_refused_connection_is_an_error_at_once():
    async def run():
        with pytest.raises(HttpError):
            await PooledHttpClient().request("GET", "127.0.0.1:9", "/", {}, b"", 1.0)

    anyio.run(run)


def test_calls_to_one_address_share_a_bounded_number_of_connections(monkeypatch):
    monkeypatch.setattr(http_client, "MAX_CONNECTIONS", 3)
    server = ScriptedServer()

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        http, told = PooledHttpClient(), []

        async def call():
            told.append(await http.request("GET", address, "/", {}, b"", 5.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.handle)
            async with anyio.create_task_group() as calls:
                for _ in range(20):
                    calls.start_soon(call)
            tasks.cancel_scope.cancel()
        return told

    assert_that(anyio.run(run), HasLength(20))
    assert_that(server.connections, Equals(3))
