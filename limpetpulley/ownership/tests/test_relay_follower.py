"""A daemon on a slow link goes on to another relay, and to the store, if a relay is of no use."""

import anyio
import attrs
import pytest

from ...batch.keys import BatchKeys
from ...exception import PeerError
from ...peer import batch_pb2 as pb
from ...standin.virtual import VirtualClock, run_virtual
from ...store import Entry, MemoryStore, Mirror, Put, Snapshot
from ...telemetry import null_log
from ..context import DaemonContext, Timing
from ..directory import Directory, Member
from ..entry_client import EntryClient
from ..handlers import BatchHandlers
from ..relay_follower import RelayFollower

MAX_AGE_SECONDS = 1.5
SETTLING_SECONDS, PLAYED_SECONDS = 2.0, 12.0
#: time that a watch of the store waits for a change, in seconds
WATCH_SECONDS = 0.6
VALUE = b'{"name":"queue"}' * 20_000
RELAYS = ["fast-0", "fast-1"]


@attrs.define
class Reply:
    """Records the reply of a handler."""

    request: pb.EntriesRequest
    reply: pb.EntriesReply | None = None

    async def recv_message(self):
        return self.request

    async def send_message(self, message):
        self.reply = message


class Peers:
    """Relays with mirrors of their own, some of which do not answer."""

    def __init__(self, handlers, faults):
        self.handlers = handlers
        self.faults = faults
        self.calls = 0

    async def call(self, address, method, message, timeout):
        name = address.partition(":")[0]
        self.calls += 1
        fault = self.faults.get(name)
        with anyio.move_on_after(timeout):
            if fault == "refused":
                raise PeerError(f"{address}: connection refused")
            if fault == "silent":
                await anyio.sleep_forever()
            await anyio.sleep(0.001)
            reply = Reply(message)
            await self.handlers[name].FetchEntries(reply)
            return reply.reply
        raise PeerError(f"{address}: no reply")


@attrs.define
class CountingStore:
    """Counts the reads of a store."""

    store: MemoryStore
    reads: int = 0

    async def read(self, prefix):
        self.reads += 1
        return await self.store.read(prefix)

    def watch(self, prefix, after):
        return self._poll(prefix, after)

    async def _poll(self, prefix, after):
        while True:
            await anyio.sleep(WATCH_SECONDS)
            events = self.store.events_after(prefix, after)
            after = self.store.revision
            yield events


def make_mirror(store, clock, on_change=lambda events: None):
    return Mirror(store, "op/", clock, on_change)


def play(faults, stale=(), later=None):
    """Return delays of changes, later reads of the store, the relays' calls, and the oldest age."""

    async def run():
        clock = VirtualClock()
        store, keys = MemoryStore(clock), BatchKeys("lp/")
        store.apply([Put("op/entry", VALUE)])
        directory, handlers, mirrors = Directory(keys), {}, []
        local = Member("slow-0", 1, "slow-0:1", strength=0.125)
        for name in RELAYS:
            directory.members[name] = Member(name, 1, f"{name}:1", strength=2.15)
            context = DaemonContext(store, keys, None, clock, null_log(name), Timing(), None, clock)
            context.store_contact.note_answer(clock.now(), clock.now())
            handlers[name] = BatchHandlers(context, {})
            mirror = make_mirror(CountingStore(store), clock)
            handlers[name].mirrors["op/"] = mirror
            handlers[name].store_age = lambda: 0.0
            mirrors.append(mirror)
        changed_at, delays, ages, counting = [], [], [], CountingStore(store)
        context = DaemonContext(store, keys, None, clock, null_log("slow-0"), Timing(), None, clock)
        peers = Peers(handlers, faults)
        client = EntryClient(context, peers)
        mirror = make_mirror(
            counting, clock, lambda events: delays.append(clock.now() - changed_at[-1])
        )
        mirror.upstream = RelayFollower(context, local, directory, client, lambda: MAX_AGE_SECONDS)
        changed_at.append(clock.now())
        async with anyio.create_task_group() as tasks:
            for name, relay in zip(RELAYS, mirrors, strict=True):
                if name in stale:
                    await relay.load()
                else:
                    tasks.start_soon(relay.run)
            await anyio.sleep(0.01)
            tasks.start_soon(mirror.run)
            await anyio.sleep(SETTLING_SECONDS)
            until, counting.reads = clock.now() + PLAYED_SECONDS, 0
            peers.faults = later or faults
            while clock.now() < until:
                changed_at.append(clock.now())
                store.apply([Put("op/entry", VALUE + b"%d}" % len(changed_at))])
                for _ in range(30):
                    await anyio.sleep(0.1)
                    ages.append(mirror.age())
            tasks.cancel_scope.cancel()
        return delays[1:], counting.reads, peers.calls, max(ages)

    return run_virtual(run)


@pytest.mark.parametrize(
    ("faults", "stale", "longest", "reads"),
    [
        ({}, (), 0.7, 0),
        ({"fast-0": "refused"}, (), 0.7, 0),
        ({"fast-1": "refused"}, (), 0.7, 0),
        ({"fast-0": "silent"}, (), 2.7, 1),
        ({}, ("fast-0",), 0.7, 0),
        # Nobody else has the changes: the store is read once, and its watch followed.
        (dict.fromkeys(RELAYS, "refused"), (), 0.7, 1),
        (dict.fromkeys(RELAYS, "silent"), (), 2.7, 1),
        ({}, RELAYS, 0.7, 1),
    ],
)
def test_changes_arrive_whichever_relays_are_of_use(faults, stale, longest, reads):
    delays, counted, calls, _ = play(faults, stale)
    assert len(delays) == 4
    assert max(delays) <= longest
    assert counted <= reads
    assert calls <= 12 * PLAYED_SECONDS


@pytest.mark.parametrize("fault", ["refused", "silent"])
def test_copy_goes_on_with_a_watch_after_its_relays_are_lost(fault):
    delays, reads, *_ = play({}, later=dict.fromkeys(RELAYS, fault))
    assert len(delays) == 4
    assert max(delays) <= 2.7
    assert reads == 0


def test_wait_at_a_relay_does_not_count_as_age_of_the_copy():
    """A copy that seems older than it is would be asked for again at once."""
    delays, _, calls, oldest = play({})
    watches = (SETTLING_SECONDS + PLAYED_SECONDS) / WATCH_SECONDS
    assert calls <= 1 + watches + len(delays)
    # The relay's own copy is at most two watches old.
    assert oldest <= 2 * WATCH_SECONDS + 0.05


def test_small_copy_follows_the_store():
    async def run():
        clock = VirtualClock()
        directory = Directory(BatchKeys("lp/"))
        directory.members["fast-0"] = Member("fast-0", 1, "fast-0:1", strength=2.15)
        local = Member("slow-0", 1, "slow-0:1", strength=0.125)
        mirror = make_mirror(MemoryStore(clock), clock)
        follower = RelayFollower(None, local, directory, None, lambda: MAX_AGE_SECONDS)
        preferred = [follower.is_preferred(mirror)]
        for size in (10_000, 100_000):
            entry = Entry("op/entry", b"x" * size, size)
            mirror.apply_snapshot(Snapshot((entry,), size))
            preferred.append(follower.is_preferred(mirror))
        return preferred

    assert run_virtual(run) == [True, False, True]
