"""Tests of the HTTP client with servers that close, reset, time out or send invalid data."""

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
    """Serves scripted responses, one script for each connection; None means no response."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        self.connections = 0

    async def handle(self, stream):
        self.connections += 1
        script = self.scripts.pop(0) if self.scripts else [GOOD] * 100
        async with stream:
            try:
                for response in script:
                    self.requests.append(await stream.receive())
                    if response is None:
                        await anyio.sleep_forever()
                    if response == "reset":
                        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                        linger = struct.pack("ii", 1, 0)
                        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                        return
                    for part in response if isinstance(response, list) else [response]:
                        await stream.send(part)
                        await anyio.sleep(0.01)
            except anyio.EndOfStream:
                return


def run_requests(server, count, timeout=0.4, gap=0.0):
    """Return the responses, or error texts, of requests made one after the other."""

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        http, results = PooledHttpClient(), []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.handle)
            for _ in range(count):
                try:
                    results.append(
                        await http.request(
                            "POST", f"127.0.0.1:{port}", "/a?b=1", {"X-Y": "z"}, b"hi", timeout
                        )
                    )
                except HttpError as error:
                    results.append(str(error))
                await anyio.sleep(gap)
            await http.aclose()
            tasks.cancel_scope.cancel()
        return results

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
        ([None], "response timed out"),
        (["reset"], "connection"),
        ([GOOD[:-1]], "connection closed"),
        ([b"SMTP ready\r\n"], "not an HTTP response"),
    ],
)
def test_response_is_complete_or_an_error(script, expected):
    (result,) = run_requests(ScriptedServer(script), 1)
    if isinstance(expected, str):
        assert_that(result, Contains(expected))
    else:
        assert_that(result, Equals(expected))


def test_request_is_encoded_correctly():
    server = ScriptedServer()
    run_requests(server, 1)
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    assert_that(head.splitlines()[0], Equals(b"POST /a?b=1 HTTP/1.1"))
    assert_that(head.splitlines()[2:], Equals([b"X-Y: z", b"Content-Length: 2"]))
    assert_that(body, Equals(b"hi"))


@pytest.mark.parametrize(
    ("scripts", "expected", "connections"),
    [
        ([[GOOD] * 3], [OK, OK, OK], 1),
        ([[CLOSING], [GOOD] * 2], [OK, OK, OK], 2),
        ([[GOOD], [GOOD] * 2], [OK, OK, OK], 2),
        ([[None], [GOOD] * 2], ["", OK, OK], 2),
        ([["reset"], [GOOD] * 2], ["", OK, OK], 2),
    ],
)
def test_connections_are_reused_while_they_respond(scripts, expected, connections):
    server = ScriptedServer(*scripts)
    results = run_requests(server, 3, gap=0.05)
    assert_that([each if each == OK else "" for each in results], Equals(expected))
    assert_that(server.connections, Equals(connections))


def test_timeout_closes_idle_connections_to_the_address():
    server = ScriptedServer([GOOD, None], [GOOD, None])

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        http, results = PooledHttpClient(), []

        async def call():
            try:
                results.append(await http.request("GET", address, "/", {}, b"", 0.3))
            except HttpError:
                results.append(None)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.handle)
            async with anyio.create_task_group() as requests:
                requests.start_soon(call)
                requests.start_soon(call)
            await call()
            await call()
            tasks.cancel_scope.cancel()
        return results

    assert_that(anyio.run(run), Equals([OK, OK, None, OK]))
    assert_that(server.connections, Equals(3))


def test_refused_connection_is_an_error():
    async def run():
        with pytest.raises(HttpError):
            await PooledHttpClient().request("GET", "127.0.0.1:9", "/", {}, b"", 1.0)

    anyio.run(run)


def test_number_of_connections_to_one_address_is_limited(monkeypatch):
    monkeypatch.setattr(http_client, "MAX_CONNECTIONS", 3)
    server = ScriptedServer()

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        http, results = PooledHttpClient(), []

        async def call():
            results.append(await http.request("GET", address, "/", {}, b"", 5.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, server.handle)
            async with anyio.create_task_group() as requests:
                for _ in range(20):
                    requests.start_soon(call)
            tasks.cancel_scope.cancel()
        return results

    assert_that(anyio.run(run), HasLength(20))
    assert_that(server.connections, Equals(3))


@pytest.mark.parametrize(
    ("gap", "longest", "expected"),
    [
        # Seconds between the parts of a response that takes longer than the timeout of 0.3 s.
        (0.1, 5.0, OK),
        (0.1, 0.0, "response timed out"),
        (0.1, 0.5, "response timed out"),
        (1.5, 5.0, "response timed out"),
    ],
)
def test_response_is_not_given_up_while_it_is_arriving(gap, longest, expected):
    async def handle(stream):
        async with stream:
            await stream.receive()
            for number in range(len(GOOD) // 5 + 1):
                await stream.send(GOOD[5 * number : 5 * number + 5] or b" ")
                await anyio.sleep(gap)

    async def run():
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            try:
                return await PooledHttpClient().request(
                    "GET", address, "/", {}, b"", 0.3, longest=longest
                )
            except HttpError as error:
                return str(error)
            finally:
                tasks.cancel_scope.cancel()

    result = anyio.run(run)
    if isinstance(expected, str):
        assert_that(result, Contains(expected))
    else:
        assert_that(result, Equals(expected))
