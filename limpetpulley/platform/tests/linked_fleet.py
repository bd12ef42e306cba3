"""Daemons on links of limited capacity, with a large configuration that changes."""

import random
import string

import anyio
import attrs

from ...exception import HttpError
from ...http_client import HttpResponse
from ...ownership.listing import IDLE_INTERVAL_SECONDS, SILENCE_SECONDS
from ...standin.link import SHORT_QUEUE_CHUNKS, BandwidthLink
from ...store import Mirror, Put
from ...tasks import keep_running
from ..workers import SERVERS_PREFIX
from .config_fleet import CALL_SECONDS, KEY, ConfigFleet, StoreLink

__all__ = ["DAEMONS", "LIMIT_SECONDS", "WEAK_DAEMONS", "LinkedFleet", "Version"]

#: time within which a change must be in force, in seconds
LIMIT_SECONDS = 3.0
DAEMONS = [f"entry-{number}" for number in range(8)]
STRONG_DAEMONS, WEAK_DAEMONS = DAEMONS[:2], DAEMONS[2:]
BYTES_PER_MBIT = 125_000
STRONG_MBITS, WEAK_MBITS = 100, 5
STRONG_STRENGTH, WEAK_STRENGTH = 2.15, 0.125
#: time since the last part of an answer for which more is expected, in seconds
ARRIVAL_SECONDS = 1.0
#: what a link carries beside copies of the store's entries: callers, workers and headers
OTHER_BYTES_PER_SECOND = 100_000
OTHER_INTERVAL_SECONDS = 0.05
#: entries of workers, which each daemon mirrors as well, and time between two changes of each
WORKERS, HEARTBEAT_SECONDS = 80, 2.0
WORKER_VALUE_BYTES = 600
WORKERS_PER_WRITE = 4
PAGE_ITEMS = 1000
NAME_LETTERS = string.ascii_lowercase + string.digits


@attrs.define
class LinkedStoreLink(StoreLink):
    """A store's client whose answers arrive in chunks over the daemon's link.

    :param link: carries the answers, None for one without a limit
    """

    link: BandwidthLink | None = None

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
        """Return the answer of the platform.

        While parts of it arrive, the call may take longer than its timeout, up to the longest time.
        """
        self.calls += 1
        started_at, received = anyio.current_time(), 0
        with anyio.move_on_after(timeout) as scope:
            await anyio.sleep(CALL_SECONDS / 2)
            await self._lose_if(self.silent or (self.lost_target and self.lost_target in target))
            if self.refused_target and self.refused_target in target:
                return HttpResponse(429, b"")
            status, body = await self._ask(method, target, content)
            await self._lose_if(self.silent)
            await anyio.sleep(CALL_SECONDS / 2)
            async for size in self.link.carry(len(body)):
                await self._lose_if(self.silent)
                received += size
                if on_bytes is not None:
                    on_bytes(size)
                extended = min(started_at + longest, anyio.current_time() + ARRIVAL_SECONDS)
                scope.deadline = max(started_at + timeout, extended)
            return HttpResponse(status, body)
        raise HttpError(f"{address}: response timed out after {received} bytes")

    @staticmethod
    async def _lose_if(is_lost):
        if is_lost:
            await anyio.sleep_forever()


@attrs.frozen
class Version:
    """A version of the configuration.

    :param at: time at which it was written
    """

    number: int
    at: float
    queues: frozenset
    keys: frozenset

    def status(self, queue, key):
        """Return the status of an answer by this version."""
        if queue not in self.queues:
            return 404
        return 200 if key in self.keys else 401


class LinkedFleet(ConfigFleet):
    """A fleet of two daemons on fast links and six on slow ones.

    :param queue_chunks: most chunks of a transfer that stand in the queue of a link at a time
    :ivar versions: versions written so far
    :ivar applied: times at which each daemon has applied versions, and their numbers
    """

    # The watches of the daemons, which all wait equally long, end at different times.
    start_gap_seconds = 0.037

    def __init__(self, tasks, clock, seed, queue_chunks=SHORT_QUEUE_CHUNKS):
        super().__init__(tasks, clock, seed)
        self.versions = []
        self.applied = {name: [] for name in DAEMONS}
        self.bulk_routes = []
        self.bulk_rng = random.Random(seed)
        self.platform.page_items = PAGE_ITEMS
        for name in DAEMONS:
            strong = name in STRONG_DAEMONS
            mbits = STRONG_MBITS if strong else WEAK_MBITS
            self.strengths[name] = STRONG_STRENGTH if strong else WEAK_STRENGTH
            link = BandwidthLink(mbits * BYTES_PER_MBIT, queue_chunks)
            self.network.links[name] = link
            tasks.start_soon(self._load_link, link)
        tasks.start_soon(self._send_heartbeats)

    async def _load_link(self, link):
        while True:
            link.enqueue(int(OTHER_BYTES_PER_SECOND * OTHER_INTERVAL_SECONDS))
            await anyio.sleep(OTHER_INTERVAL_SECONDS)

    async def _send_heartbeats(self):
        rng, first = random.Random(1), 0
        while True:
            writes = [
                Put(f"{SERVERS_PREFIX}{number % WORKERS}", rng.randbytes(WORKER_VALUE_BYTES))
                for number in range(first, first + WORKERS_PER_WRITE)
            ]
            self.platform.store.apply(writes)
            first += WORKERS_PER_WRITE
            await anyio.sleep(HEARTBEAT_SECONDS * WORKERS_PER_WRITE / WORKERS)

    def make_link(self, name):
        """Return a daemon's client of the store, whose answers its link carries."""
        return LinkedStoreLink(self.platform, link=self.network.links[name])

    def start_daemon(self, name):
        """Start a daemon, which has no configuration at first."""
        node = super().start_daemon(name)
        node.context.config = None
        workers = Mirror(
            node.context.store,
            SERVERS_PREFIX,
            self.clock,
            lambda events: None,
            poll_interval=lambda: IDLE_INTERVAL_SECONDS,
            watch_timeout=SILENCE_SECONDS,
            contact=node.context.store_contact,
        )
        node.mirrors[SERVERS_PREFIX] = workers
        node.context.tasks.start_soon(keep_running, workers.run)
        node.context.timing = attrs.evolve(node.context.timing, config_limit=LIMIT_SECONDS)
        return node

    def apply_entry(self, node, key, value):
        """Apply an entry of the operator to a daemon, and record which version it has."""
        super().apply_entry(node, key, value)
        config = node.context.config
        self.applied[node.member.name].append((self.clock.now(), config.version if config else 0))

    def add_queues(self, count):
        """Add queues, which nobody asks for, from the next version on."""
        rng = self.bulk_rng
        for _ in range(count):
            name = "".join(rng.choices(NAME_LETTERS, k=12))
            route = {
                "name": name,
                "host": f"{name[:4]}{rng.randrange(100)}.example",
                "pathPrefix": f"/{''.join(rng.choices(NAME_LETTERS, k=8))}/",
                "service": rng.choice(["desk", "tour"]),
                "priority": rng.randrange(10),
                "maxAttempts": rng.randrange(1, 5),
                "stretch": rng.choice([1.5, 2.0, 3.0]),
                "targetLatencyMs": rng.randrange(200, 9000),
                "timeoutMs": rng.randrange(2000, 60_000),
                "public": False,
            }
            self.bulk_routes.append(route)

    def make_routes(self, queues):
        """Return the rows of queues, and of those that nobody asks for."""
        return super().make_routes(queues) + self.bulk_routes

    async def configure(self, queues, keys=(KEY,)):
        """Write the next version of the configuration, with another time-out of one queue."""
        if self.bulk_routes:
            self.bulk_rng.choice(self.bulk_routes)["timeoutMs"] += 1000
        await super().configure(queues, keys)
        version = Version(self.version, self.clock.now(), frozenset(queues), frozenset(keys))
        self.versions.append(version)

    def lateness(self, name, version):
        """Return the time after which a daemon had a version or a later one, in seconds.

        It is the time until now for a daemon without any.
        """
        times = (at for at, number in self.applied[name] if number >= version.number)
        return next(times, self.clock.now()) - version.at
