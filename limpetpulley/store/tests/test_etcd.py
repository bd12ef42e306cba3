"""The etcd client with the stand-in and with invalid responses."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from ...api.http import send_bytes
from ...api.server import HttpServer
from ...exception import StoreError, StoreUnavailable
from ...standin import FaultProxy, MemoryFleet, PlatformStandin
from ..etcd import EtcdStore
from ..memory import MemoryStore
from ..store import Compare, Delete, Put


async def with_store(app, function):
    """Run a function with a client of an application that listens on the loopback interface."""
    async with anyio.create_task_group() as tasks:
        server = HttpServer(app, "127.0.0.1", 0)
        await tasks.start(server.serve)
        store = EtcdStore(f"http://127.0.0.1:{server.port}", timeout=0.5)
        result = await function(store)
        await store.aclose()
        tasks.cancel_scope.cancel()
    return result


def make_standin():
    return PlatformStandin(MemoryStore(), MemoryFleet())


def test_writes_are_conditional_and_can_be_read():
    async def run(store):
        first = await store.commit([Compare("/a", 0)], [Put("/a", b"1"), Put("/b", b"2")])
        again = await store.commit([Compare("/a", 0)], [Put("/a", b"3")])
        await store.commit([Compare("/a", first.revision)], [Delete("/b")])
        snapshot = await store.read("/")
        return first.ok, again.ok, [(entry.key, entry.value) for entry in snapshot.entries]

    result = anyio.run(with_store, make_standin(), run)
    assert_that(result, Equals((True, False, [("/a", b"1")])))


def test_watch_yields_changes_and_deletions_in_order():
    async def run(store):
        start = (await store.read("/")).revision
        seen = []
        async with anyio.create_task_group() as tasks:

            async def watch():
                async for events in store.watch("/", start):
                    seen.extend((event.key, event.value) for event in events)
                    if len(seen) == 3:
                        tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await anyio.sleep(0.1)
            await store.commit([], [Put("/a", b"1")])
            await store.commit([], [Put("/a", b"2")])
            await store.commit([], [Delete("/a")])
        return seen

    result = anyio.run(with_store, make_standin(), run)
    assert_that(result, Equals([("/a", b"1"), ("/a", b"2"), ("/a", None)]))


def test_watch_on_a_dead_connection_is_reopened():
    async def run():
        async with anyio.create_task_group() as tasks:
            server = HttpServer(make_standin(), "127.0.0.1", 0)
            await tasks.start(server.serve)
            proxy = FaultProxy(server.port)
            await tasks.start(proxy.serve)
            store = EtcdStore(f"http://127.0.0.1:{proxy.port}", timeout=0.5, watch_idle_timeout=0.3)
            seen = []

            async def watch():
                async for events in store.watch("a/", 0):
                    seen.extend(event.key for event in events)

            tasks.start_soon(watch)
            await store.commit([], [Put("a/1", b"")])
            await anyio.sleep(0.2)
            proxy.silence()
            writer = EtcdStore(f"http://127.0.0.1:{server.port}", timeout=0.5)
            await writer.commit([], [Put("a/2", b"")])
            with anyio.move_on_after(3.0):
                while len(seen) < 2:
                    await anyio.sleep(0.05)
            server.stop()
            tasks.cancel_scope.cancel()
        return seen

    assert anyio.run(run) == ["a/1", "a/2"]


def test_keys_of_an_expired_lease_are_deleted():
    async def run(store):
        lease = await store.grant_lease(1)
        await store.commit([], [Put("/a", b"1", lease)])
        alive = await store.renew_lease(lease)
        await anyio.sleep(1.2)
        return alive, await store.renew_lease(lease), len((await store.read("/")).entries)

    assert_that(anyio.run(with_store, make_standin(), run), Equals((True, False, 0)))


def test_write_is_applied_although_its_response_is_lost():
    app = make_standin()
    app.faults.lose_answers = 1

    async def run(store):
        with pytest.raises(StoreUnavailable):
            await store.commit([], [Put("/a", b"1")])
        return len((await store.read("/")).entries)

    assert_that(anyio.run(with_store, app, run), Is(1))


INVALID_RESPONSES = [
    (200, b""),
    (200, b"not json"),
    (200, b"[]"),
    (200, b"{}"),
    (200, b'{"header": {}}'),
    (200, b'{"header": {"revision": "x"}}'),
    (500, b"{}"),
    (404, b"{}"),
    (400, b'{"message": "no"}'),
]


@pytest.mark.parametrize(("status", "content"), INVALID_RESPONSES)
def test_invalid_response_is_a_store_error(status, content):
    async def app(scope, receive, send):
        await send_bytes(send, status, content, b"application/json")

    async def run(store):
        for call in (store.read("/"), store.commit([], []), _watch(store)):
            with pytest.raises(StoreError):
                await call
        return True

    assert_that(anyio.run(with_store, app, run), Is(True))


async def _watch(store):
    async for _ in store.watch("/", 1):
        pass
    raise StoreError("the watch ended")
