"""The client of the platform's store, including faults of the store."""

import anyio
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from ...api.server import HttpServer
from ...exception import HttpError, StoreError, StoreUnavailable
from ...http_client import PooledHttpClient
from ...store import Compare, Delete, Put, StoreContact, Transfers
from .. import store as store_module
from ..store import PlatformStore
from .standin import PlatformStandin


def make_client(http, address):
    return PlatformStore(Transfers(http, address, StoreContact()))


def with_store(function):
    """Run a function with a client of a stand-in that listens on the loopback interface."""

    async def run():
        async with anyio.create_task_group() as tasks:
            platform = PlatformStandin()
            server = HttpServer(platform, "127.0.0.1", 0)
            await tasks.start(server.serve)
            http = PooledHttpClient()
            result = await function(make_client(http, f"127.0.0.1:{server.port}"), platform)
            await http.aclose()
            tasks.cancel_scope.cancel()
        return result

    return anyio.run(run)


def test_entries_are_read_from_several_pages():
    async def scenario(store, platform):
        for number in range(8):
            await store.commit([], [Put(f"a/{number}", bytes([number, 255]))])
        await store.commit([], [Put("b/0", b"other")])
        snapshot = await store.read("a/")
        return [(entry.key, entry.value) for entry in snapshot.entries], snapshot.revision

    entries, revision = with_store(scenario)
    assert_that(entries, Equals([(f"a/{number}", bytes([number, 255])) for number in range(8)]))
    assert_that(revision, Equals(10))


def test_commit_checks_its_conditions():
    async def scenario(store, platform):
        first = await store.commit([Compare("a", 0)], [Put("a", b"1")])
        again = await store.commit([Compare("a", 0)], [Put("a", b"2")])
        entry = await store.get("a")
        deleted = await store.commit([Compare("a", entry.revision)], [Delete("a")])
        return first.ok, again.ok, entry.value, deleted.ok, await store.get("a")

    assert_that(with_store(scenario), Equals((True, False, b"1", True, None)))


def test_revoking_a_lease_deletes_its_keys():
    async def scenario(store, platform):
        lease = await store.grant_lease(5.0)
        await store.commit([], [Put("a", b"1", lease)])
        renewed = await store.renew_lease(lease)
        await store.revoke_lease(lease)
        return renewed, await store.get("a"), await store.renew_lease(lease)

    assert_that(with_store(scenario), Equals((True, None, False)))


def test_write_with_an_unknown_lease_is_an_error():
    async def scenario(store, platform):
        with pytest.raises(StoreError):
            await store.commit([], [Put("a", b"1", 99)])

    with_store(scenario)


def test_watch_yields_changes_in_order():
    async def scenario(store, platform):
        changes = []

        async def commit_changes():
            await anyio.sleep(0.05)
            await store.commit([], [Put("a/1", b"1")])
            await store.commit([], [Put("b/1", b"1")])
            await store.commit([], [Delete("a/1")])

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(commit_changes)
            async for events in store.watch("a/", 0):
                changes += [(event.key, event.value) for event in events]
                if len(changes) == 2:
                    break
        return changes

    assert_that(with_store(scenario), Equals([("a/1", b"1"), ("a/1", None)]))


@pytest.mark.parametrize(
    ("status", "content", "error"),
    [
        (429, b"{}", StoreUnavailable),
        (503, b"{}", StoreUnavailable),
        (200, b"not json", StoreUnavailable),
        (200, b"[]", StoreUnavailable),
        (200, b'{"key": "a", "value": "%%", "revision": 1}', StoreUnavailable),
        (200, b'{"key": "a", "value": "", "revision": "x"}', StoreUnavailable),
        (400, b"{}", StoreError),
    ],
)
def test_invalid_responses_are_errors(status, content, error):
    async def scenario(store, platform):
        platform.answers = [(status, content)]
        with pytest.raises(error):
            await store.get("a")

    with_store(scenario)


def test_watch_from_a_compacted_revision_is_an_error():
    async def scenario(store, platform):
        platform.answers = [(410, b"{}")]
        with pytest.raises(StoreError):
            async for _ in store.watch("a/", 1):
                pass

    with_store(scenario)


def test_call_times_out_and_a_new_connection_works(monkeypatch):
    monkeypatch.setattr(store_module, "CALL_TIMEOUT_SECONDS", 0.2)

    async def scenario(store, platform):
        await store.commit([], [Put("a", b"1")])
        platform.answers = ["silence"]
        with pytest.raises(StoreUnavailable):
            await store.get("a")
        return (await store.get("a")).value

    assert_that(with_store(scenario), Equals(b"1"))


def test_keys_are_quoted_in_urls():
    async def scenario(store, platform):
        await store.commit([], [Put("a/&=? ü", b"1")])
        return await store.get("a/&=? ü"), await store.read("a/&")

    entry, snapshot = with_store(scenario)
    assert_that(entry.value, Equals(b"1"))
    assert_that(snapshot.entries, HasLength(1))
    assert_that(snapshot.entries, Contains(entry))
    assert_that(entry is None, Is(False))


class TimingOutHttp:
    """An HTTP client whose calls all time out; records their timeouts."""

    def __init__(self):
        self.timeouts = []

    async def request(
        self,
        method,
        address,
        target,
        headers,
        content,
        timeout,
        may_send=None,
        on_bytes=None,
        longest=0.0,
    ):
        self.timeouts.append(timeout)
        raise HttpError("no answer in time")


#: time after a disturbance until a daemon must apply what is stored, in seconds: the shortest
#: contact time of the users' bounds plus their bound on the delay of configuration changes
APPLY_DEADLINE_SECONDS = 3.0 + 2.0


def test_dead_watch_is_noticed_before_the_deadline_for_applying_changes():
    async def scenario():
        http = TimingOutHttp()
        with pytest.raises(StoreUnavailable):
            await anext(aiter(make_client(http, "192.0.2.1:1").watch("a/", 0)))
        return http.timeouts

    (timeout,) = anyio.run(scenario)
    assert timeout < APPLY_DEADLINE_SECONDS
