"""Pool-owning daemons, workers and VMs in one process, for simulations and the demonstration."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import anyio
import anyio.abc
import attrs

from ..batch import Amount, BatchConfig, PoolConfig, QueueConfig, TeamConfig
from ..batch.keys import BatchKeys
from ..clock import Clock
from ..fleet.vms import WaveOrder
from ..ownership import BatchNode, DaemonContext, Member, Timing, WaveRegistry
from ..ownership.directory import MIN_STRENGTH
from ..store import MemoryStore, Store, StoreContact
from ..telemetry import EventLog, null_log
from ..workers import ListedWorker, StartOrder
from .faults import Faults
from .network import MemoryNetwork, MemoryPeerCaller
from .store import STORE_HOST, FaultyStore
from .virtual import HOST, pause_host, resume_host
from .vms import MemoryVms
from .workers import MemoryWorkers, OrderFaults, RunPlan

__all__ = ["BatchFleet", "StartedRun", "make_fleet", "plan_by_payload", "sample_config"]

SAMPLE_POOL = "desk"
#: run time of a task whose payload does not set one
DEFAULT_RUN_SECONDS = 0.3
#: wall-clock time at zero of the fleet's clock, in seconds since 1970
WALL_CLOCK_OFFSET_SECONDS = 1_700_000_000.0


@attrs.frozen
class StartedRun:
    """A run that a worker started.

    :param at: time of the start, on the fleet's clock
    """

    at: float
    worker_id: str
    order: StartOrder


def plan_by_payload(order: StartOrder) -> RunPlan:
    """Return the plan of a run from its payload.

    The payload is the run time in seconds, empty for the default, or ``lasts`` for a run that does
    not end by itself.
    """
    need = Amount(1000, 1000)
    if order.payload == "lasts":
        return RunPlan(float("inf"), need=need)
    return RunPlan(float(order.payload or DEFAULT_RUN_SECONDS), need=need)


@attrs.define
class _Daemon:
    node: BatchNode
    tasks: _DaemonTasks


class BatchFleet:
    """A deployment of daemons, workers and VMs in memory.

    :param config: queues, pools and teams; the VMs of its standby pools run no worker
    :param capacity: capacity of each worker
    :param seed: seed of all random sources
    :param log_descriptor: file descriptor to which log lines are written, None for no log
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        clock: Clock,
        config: BatchConfig,
        capacity: Amount,
        seed: int = 1,
        log_descriptor: int | None = None,
    ):
        self.tasks = tasks
        self.clock = clock
        self.config = config
        self.rng = random.Random(seed)
        self.store = MemoryStore(clock)
        self.faults = Faults()
        self.network = MemoryNetwork(random.Random(seed))
        self.counts: Counter[str] = Counter()
        self.workers = MemoryWorkers()
        self.wave_registry = WaveRegistry(lambda name: f"state/{name}", self._encode_wave_state)
        self.daemons: dict[str, _Daemon] = {}
        self.paused: set[str] = set()
        # Strengths of the daemons that are stronger than the weakest, by name.
        self.strengths: dict[str, float] = {}
        self.runs: list[StartedRun] = []
        self.log_descriptor = log_descriptor
        standby_pools = frozenset(pool.name for pool in config.pools.values() if pool.standby)
        self.vms = MemoryVms(
            tasks,
            clock,
            self.workers,
            plan_by_payload,
            standby_pools,
            capacity,
            self._update_workers,
        )
        self.vms.on_run_started = self._record_start

    def start_daemon(self, name: str) -> BatchNode:
        """Start a daemon and return its node."""
        log = self.make_log(name)
        daemon_tasks: Any = _DaemonTasks(self.tasks, name)
        contact = StoreContact()
        context = DaemonContext(
            self.make_store(name, contact),
            BatchKeys("lp/"),
            self.workers,
            self.clock,
            log,
            Timing(move=1.5, maintenance=1.5, holder_lease=1.0),
            daemon_tasks,
            lambda: WALL_CLOCK_OFFSET_SECONDS + self.clock.now(),
            store_contact=contact,
        )
        incarnation = int(self.clock.now() * 1000) + 1
        strength = self.strengths.get(name, MIN_STRENGTH)
        member = Member(name, incarnation, f"{name}:1", "dc-1", strength)
        peers = MemoryPeerCaller(self.network, name, self.tasks)
        node = BatchNode(context, member, peers, self.vms, self.wave_registry)
        self.network.services[f"{name}:1"] = _HostHandlers(node.handlers, name)
        self.daemons[name] = _Daemon(node, daemon_tasks)
        node.apply_config(self.config)
        node.update_workers(self.vms.visible_workers())
        node.start()
        return node

    def make_log(self, name: str) -> EventLog:
        """Return a daemon's log."""
        if self.log_descriptor is None:
            return null_log(name)
        return EventLog(name, self.log_descriptor)

    def make_store(self, name: str, contact: StoreContact) -> Store:
        """Return a daemon's client of the store.

        :param contact: records the answers of the store to the daemon
        """
        return FaultyStore(
            self.store, self.faults, self.network, name, self.counts, self.tasks, self.rng
        )

    def kill(self, name: str) -> None:
        """Stop a daemon at once without any cleanup, as a power failure does."""
        daemon = self.daemons.pop(name)
        self.network.services.pop(f"{name}:1", None)
        daemon.tasks.cancel()

    async def leave(self, name: str) -> None:
        """Stop a daemon gracefully."""
        await self.daemons[name].node.leave()
        self.kill(name)

    def pause(self, name: str) -> None:
        """Pause a daemon's process, which keeps its connections."""
        self.paused.add(name)
        pause_host(name)

    def resume(self, name: str) -> None:
        """Let a paused daemon go on."""
        self.paused.discard(name)
        resume_host(name)
        self._update_workers(self.vms.visible_workers())

    def partition(
        self, daemons: Iterable[str], workers: Iterable[str], orders: OrderFaults
    ) -> Callable[[], None]:
        """Cut some daemons and workers off from all others and from the store.

        :param orders: faults of the orders to workers, in use by :attr:`workers`
        :returns: a function that ends the cut
        """
        daemons, workers = set(daemons), set(workers)
        other_workers = self.workers.workers.keys() - workers
        pairs = {frozenset((name, STORE_HOST)) for name in daemons}
        pairs |= {
            frozenset((name, other)) for name in daemons for other in self.daemons.keys() - daemons
        }
        order_pairs = {(name, worker) for name in daemons for worker in other_workers}
        order_pairs |= {
            (name, worker) for name in self.daemons.keys() - daemons for worker in workers
        }
        self.network.cut_pairs |= pairs
        orders.cut_pairs |= order_pairs

        def restore() -> None:
            self.network.cut_pairs -= pairs
            orders.cut_pairs -= order_pairs

        return restore

    def order_wave(self, wave: WaveOrder) -> None:
        """Order a maintenance wave."""
        self.wave_registry.waves[wave.name] = wave

    def owner_of(self, pool: str) -> str | None:
        """Return the running daemon that serves a pool as its owner, or None."""
        for name, daemon in self.daemons.items():
            owner = daemon.node.owned.get(pool)
            if owner is not None and owner.is_serving:
                return name
        return None

    def _update_workers(self, listed: dict[str, ListedWorker]) -> None:
        for name, daemon in self.daemons.items():
            if name not in self.paused:
                daemon.node.update_workers(listed)

    def _record_start(self, worker_id: str, order: StartOrder) -> None:
        self.runs.append(StartedRun(self.clock.now(), worker_id, order))

    def _encode_wave_state(self, name: str, completed: bool) -> bytes:
        return b"completed" if completed else b"running"


class _DaemonTasks:
    """Starts the tasks of one daemon, so that all of them can be cancelled at once."""

    def __init__(self, tasks: anyio.abc.TaskGroup, host: str):
        self.tasks = tasks
        self.host = host
        self.scopes: dict[anyio.CancelScope, None] = {}
        self.cancelled = False

    def start_soon(self, function: Callable[..., Awaitable[Any]], *args: Any) -> None:
        """Start a task that is cancelled with its daemon."""
        self.tasks.start_soon(self._run, function, args)

    def cancel(self) -> None:
        """Cancel all tasks, including those that have not run yet."""
        self.cancelled = True
        for scope in self.scopes:
            scope.cancel()

    async def _run(self, function: Callable[..., Awaitable[Any]], args: tuple) -> None:
        HOST.set(self.host)
        if self.cancelled:
            return
        with anyio.CancelScope() as scope:
            self.scopes[scope] = None
            await function(*args)
        self.scopes.pop(scope, None)


class _HostHandlers:
    """A daemon's handlers, which run as code of that daemon's host."""

    def __init__(self, handlers: Any, host: str):
        self.handlers = handlers
        self.host = host

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:
        handler = getattr(self.handlers, name)

        async def handle(stream: Any) -> Any:
            HOST.set(self.host)
            # The next step waits while the host is paused.
            await anyio.sleep(0.0)
            return await handler(stream)

        return handle


def sample_config() -> BatchConfig:
    """Return a configuration with one queue, its pool, a standby pool and a team."""
    queue = QueueConfig(
        "sheets",
        "desk.example",
        "/sheets/",
        SAMPLE_POOL,
        max_attempts=3,
        stretch=3.0,
        latency_target_seconds=10.0,
        public=True,
    )
    pools = {SAMPLE_POOL: PoolConfig(SAMPLE_POOL), "spare": PoolConfig("spare", standby=True)}
    return BatchConfig(1, {"sheets": queue}, pools, {"studios": TeamConfig("studios")})


def make_fleet(tasks: anyio.abc.TaskGroup, clock: Clock) -> BatchFleet:
    """Return a fleet of six VMs, two of them in the standby pool."""
    fleet = BatchFleet(tasks, clock, sample_config(), Amount(4000, 8000))
    for number in range(4):
        fleet.vms.add(f"desk-{number}", SAMPLE_POOL, f"rack-{number % 2}")
    for number in range(2):
        fleet.vms.add(f"spare-{number}", "spare", "rack-2")
    return fleet
