"""A daemon's part in the ownership of pools: its lease, its claims, and their end."""

from __future__ import annotations

import anyio

from ..batch import BatchConfig
from ..exception import RecordError, StoreError, StoreUnavailable
from ..fleet.vms import VmPlatform
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from ..store import Event, Mirror
from ..tasks import keep_running, start_guarded
from ..workers import ListedWorker
from .around import Around
from .board import WaveBoard
from .borrowing import EntryBorrower
from .directory import PLANNER, Directory, Member, choose_claims, choose_release
from .handlers import BatchHandlers
from .owner import PoolOwner
from .planner import FleetPlanning
from .reporting import ask_planner
from .service import BatchService
from .session import Session

__all__ = ["BatchNode"]

#: time between two looks at pools without an owner, in seconds
LOOK_SECONDS = 0.2
#: time between two writes of log lines, in seconds
LOG_FLUSH_SECONDS = 0.1
#: longest time for storing what an owner knows before it gives its pool up
GIVE_UP_SECONDS = 1.0
#: time after its start in which a daemon claims slowly, so that the others that start with it get
#: their part; all daemons of a deployment start within 0.3 s of each other
SETTLE_SECONDS = 0.5
#: time for each claim in that time: what a daemon takes to make itself known, and the store to
#: tell the others
CLAIM_SECONDS = 0.15
#: time for which another daemon must hold fewer pools before one is handed over, so that claims
#: that are being made count; and between two that are handed over, in seconds
UNEVEN_SECONDS = 1.0


class BatchNode:
    """Claims pools, runs their owners and serves callers.

    :param member: this daemon
    :param peers: calls other daemons
    :param vms: lists VMs and takes orders for them
    :param board: the waves that the operator has ordered
    """

    def __init__(
        self, around: Around, member: Member, peers: PeerCaller, vms: VmPlatform, board: WaveBoard
    ):
        self.around = around
        self.member = member
        self.peers = peers
        self.vms = vms
        self.board = board
        self.planning: FleetPlanning | None = None
        self.planning_scope = anyio.CancelScope()
        self.directory = Directory(around.keys)
        self.owned: dict[str, PoolOwner] = {}
        self.handlers = BatchHandlers(around, self.owned)
        self.handlers.plan_pool = self.plan_pool
        self.service = BatchService(around, member, self.directory, self.owned, peers)
        self.session = Session(
            around.store, around.keys, member, around.clock, around.log, self.lose_all
        )
        self.mirror = Mirror(
            around.store,
            around.keys.directory,
            around.clock,
            self._directory_changed,
            self._directory_lost,
        )
        self.mirrors = {self.mirror.prefix: self.mirror}
        self.handlers.mirrors = self.mirrors
        self.borrower = EntryBorrower(
            around, member, self.directory, peers, self.mirrors, self.session.age
        )
        self.handlers.store_age = self.session.age
        self.begun_at = around.clock.now()
        # Since when, by local time, another daemon has held fewer pools.
        self.uneven_since: float | None = None
        self.leaving = False
        self.look = anyio.Event()

    def start(self) -> None:
        """Start to take part."""
        for loop in (
            self.mirror.run,
            self.session.run,
            self.borrower.run,
            self._claim_pools,
            self._flush_log,
        ):
            self.around.tasks.start_soon(keep_running, loop)

    async def leave(self) -> None:
        """Hand all pools over and end the lease."""
        self.leaving = True
        await self._leave_planning()
        claims = {}
        for pool, owner in list(self.owned.items()):
            with anyio.move_on_after(GIVE_UP_SECONDS):
                await owner.give_up()
            owner.stop()
            claims[self.around.keys.owner(pool)] = owner.token
            self.owned.pop(pool, None)
        try:
            await self.session.release(claims)
            await self.session.end()
        except (StoreUnavailable, StoreError) as error:
            self.around.log.write("claims-not-released", reason=str(error))

    async def _leave_planning(self) -> None:
        """Let another daemon plan at once, before the pools are handed over."""
        planning = self.planning
        self.stop_planning()
        try:
            with anyio.move_on_after(GIVE_UP_SECONDS):
                if planning is not None:
                    await planning.hand_over()
                await self.session.step_back(
                    {self.around.keys.owner(PLANNER): planning.token} if planning else {}
                )
        except (StoreUnavailable, StoreError) as error:
            self.around.log.write("claims-not-released", reason=str(error))

    @property
    def is_ready(self) -> bool:
        """Return whether callers can be served: each pool has a live owner."""
        config = self.around.config
        if config is None or self.leaving:
            return False
        return all(self.directory.owner_of(pool) is not None for pool in config.pools)

    def use_config(self, config: BatchConfig) -> None:
        """Take a newer configuration."""
        if self.around.config is not None and config.version <= self.around.config.version:
            return
        self.around.config = config
        self.around.log.write("config-in-force", version=config.version, queues=len(config.queues))
        self.look.set()
        for owner in self.owned.values():
            owner.wake()

    def use_workers(self, workers: dict[str, ListedWorker]) -> None:
        """Take the platform's list of workers as it is now."""
        self.around.workers = workers
        for owner in self.owned.values():
            owner.follow_workers()

    def lose_all(self) -> None:
        """Stop all owners, because the lease has ended."""
        self.stop_planning()
        for owner in self.owned.values():
            owner.stop()

    def stop_planning(self) -> None:
        """Give no more orders for VMs."""
        self.planning_scope.cancel()

    def plan_pool(self, report: pb.PoolReport) -> pb.PoolPlan:
        """Take a pool's report if this daemon is the planner."""
        if self.planning is None:
            return pb.PoolPlan(outcome=pb.NOT_OWNER)
        return self.planning.take_report(report)

    async def ask_planner(self, report: pb.PoolReport) -> pb.PoolPlan | None:
        """Send a pool's report to the planner, wherever it is."""
        if self.planning is not None:
            return self.planning.take_report(report)
        planner = self.directory.owner_of(PLANNER)
        address = planner.address if planner else None
        return await ask_planner(self.peers, address, report, self.around)

    async def _claim_pools(self) -> None:
        while True:
            with anyio.move_on_after(LOOK_SECONDS if self._has_settled() else CLAIM_SECONDS):
                await self.look.wait()
            self.look = anyio.Event()
            if not self.leaving and self._may_claim():
                await self._claim_open_pools()
                if self._has_settled():
                    await self._even_out()

    async def _even_out(self) -> None:
        """Hand a pool over if this daemon has long held more of them than another one."""
        now = self.around.clock.now()
        jobs = {pool: len(owner.book.ready) for pool, owner in self.owned.items() if owner.serves}
        pool = choose_release(self.directory, self.member, jobs)
        if pool is None:
            self.uneven_since = None
            return
        if self.uneven_since is None:
            self.uneven_since = now
        if now - self.uneven_since < UNEVEN_SECONDS:
            return
        self.uneven_since = None
        owner = self.owned[pool]
        self.around.log.write("pool-handed-over", pool=pool, token=owner.token, jobs=jobs[pool])
        with anyio.move_on_after(GIVE_UP_SECONDS):
            await owner.give_up()
        owner.stop()
        try:
            await self.session.release({self.around.keys.owner(pool): owner.token})
        except (StoreUnavailable, StoreError) as error:
            # The claim stands, so this daemon takes the pool over again.
            self.around.log.write("claims-not-released", reason=str(error))

    def _may_claim(self) -> bool:
        return self.around.config is not None and self.mirror.loaded.is_set()

    def _has_settled(self) -> bool:
        return self.around.clock.now() - self.begun_at >= SETTLE_SECONDS

    async def _claim_open_pools(self) -> None:
        assert self.around.config is not None
        now = self.around.clock.now()
        pools = [*self.around.config.pools, PLANNER]
        chosen = choose_claims(self.directory, self.member, pools, now)
        if not self._has_settled():
            most = int((now - self.begun_at) / CLAIM_SECONDS)
            chosen = chosen[: max(0, most - len(self.owned) - (self.planning is not None))]
        for pool in dict.fromkeys([*self._orphans(), *chosen]):
            if pool in self.owned or (pool == PLANNER and self.planning is not None):
                continue
            held = self.directory.owners.get(pool)
            try:
                token = await self.session.claim(
                    self.around.keys.owner(pool), held.token if held else 0
                )
            except (StoreUnavailable, StoreError) as error:
                self.around.log.write("claim-failed", pool=pool, reason=str(error))
                return
            if token:
                self.around.log.write("pool-claimed", pool=pool, token=token)
                self._begin(pool, token)

    def _orphans(self) -> list[str]:
        """Return the pools that this daemon has claimed, but that have no live owner here.

        Their owner has failed, or this daemon was restarted before its lease ended.
        """
        return [
            pool
            for pool, claim in self.directory.owners.items()
            if claim.member == self.member.name and claim.incarnation <= self.member.incarnation
        ]

    def _begin(self, pool: str, token: int) -> None:
        if pool == PLANNER:
            self.planning = FleetPlanning(
                self.around, self.vms, self.board, self.member.name, token, self.session.age
            )
            start_guarded(self.around.tasks, self._plan, self.planning)
        else:
            owner = PoolOwner(self.around, pool, token, self.ask_planner, self.session.age)
            self.owned[pool] = owner
            start_guarded(self.around.tasks, self._own, owner)

    async def _plan(self, planning: FleetPlanning) -> None:
        try:
            with anyio.CancelScope() as self.planning_scope:
                await planning.run()
        finally:
            self.planning = None
            self.around.log.write("planning-ended", token=planning.token)

    async def _own(self, owner: PoolOwner) -> None:
        try:
            await owner.run()
        finally:
            if self.owned.get(owner.pool) is owner:
                del self.owned[owner.pool]
            self.around.log.write("pool-left", pool=owner.pool, token=owner.token)

    def _directory_changed(self, events: list[Event]) -> None:
        try:
            self.directory.apply(events, self.around.clock.now())
        except RecordError as error:
            self.around.log.write("record-unreadable", reason=str(error))
        changed = {event.key: event.revision for event in events}
        for pool, owner in self.owned.items():
            if changed.get(self.around.keys.owner(pool), 0) > owner.token:
                owner.stop()
        planning = self.planning
        if planning and changed.get(self.around.keys.owner(PLANNER), 0) > planning.token:
            self.stop_planning()
        self.look.set()

    def _directory_lost(self, reason: str) -> None:
        self.around.log.write(
            "directory-away" if reason else "directory-back",
            reason=reason,
            age=round(self.around.clock.now() - self.mirror.heard_at, 2),
        )

    async def _flush_log(self) -> None:
        while True:
            self.around.log.flush()
            await anyio.sleep(LOG_FLUSH_SECONDS)
