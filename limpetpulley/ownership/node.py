"""A daemon's part in the ownership of pools: its lease, and the claims made under it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import TYPE_CHECKING

import anyio

from ..batch import BatchConfig
from ..exception import NotOwnerError, PoolStateError, StoreError, StoreFault, StoreUnavailable
from ..fleet.vms import VmPlatform
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from ..store import Event, Mirror
from ..tasks import keep_running, start_guarded
from ..workers import ListedWorker
from .call_guard import guard_peers, guard_vms
from .context import DaemonContext
from .directory import PLANNER, Directory, Member, choose_claims, choose_release
from .entry_client import EntryClient
from .failure_tracker import FailureTracker, as_failure
from .failures import OwnerFailure, describe_error, log_untaken
from .freshness import round_age
from .handlers import BatchHandlers
from .mirror_fallback import MirrorFallback
from .owner import PoolOwner
from .reporting import ask_planner
from .service import BatchService
from .session import Session
from .waves import WaveRegistry

if TYPE_CHECKING:
    from .planner import VmPlanner

__all__ = ["BatchNode"]

#: longest time between two checks for pools without an owner, in seconds
CLAIM_CHECK_SECONDS = 0.2
#: interval between two checks of this daemon's own record in the store, in seconds
RECORD_CHECK_SECONDS = 0.2
#: interval between two writes of log lines, in seconds
LOG_FLUSH_INTERVAL_SECONDS = 0.1
#: timeout for storing an owner's or planner's state during a hand-over, in seconds
HANDOVER_TIMEOUT_SECONDS = 1.0
#: time after its start for which a daemon limits its claims, so that daemons that start at the same
#: time get their share, in seconds; all daemons of a deployment start within 0.3 s of each other
STARTUP_SECONDS = 0.5
#: time per claim during the start-up, in seconds: covers the registration of a daemon in the store
#: and the store's notification of the others
STARTUP_CLAIM_SECONDS = 0.15
#: time for which an imbalance of pools must last before one is handed over, so that claims in
#: progress are counted; also the shortest time between two such hand-overs, in seconds
IMBALANCE_SECONDS = 1.0
#: age of the claims above which no pool is handed over for a retry, in seconds: more than the
#: interval between two renewals
MAX_HANDOVER_CLAIM_AGE_SECONDS = 0.4
#: reason of a failure in which the store did not answer the reads of a takeover
TAKEOVER_FAILED = "takeover-failed"


class BatchNode:
    """Claims pools, runs their owners and serves callers.

    :param member: this daemon
    :param peers: calls other daemons
    :param entry_peers: the same for copies of entries, on connections of their own: a long or late
        one must not hold up or close those of jobs; None for the same connections
    :param vms: client that lists VMs and sends orders for them
    :param wave_registry: maintenance waves that the operator has ordered
    """

    def __init__(
        self,
        context: DaemonContext,
        member: Member,
        peers: PeerCaller,
        vms: VmPlatform,
        wave_registry: WaveRegistry,
        entry_peers: PeerCaller | None = None,
    ):
        self.context = context
        self.member = member
        self.peers = guard_peers(peers, context.log)
        self.vms = guard_vms(vms, context.log)
        self.wave_registry = wave_registry
        self.planner: VmPlanner | None = None
        self.planner_scope = anyio.CancelScope()
        self.directory = Directory(context.keys)
        self.owned: dict[str, PoolOwner] = {}
        self.handlers = BatchHandlers(context, self.owned)
        self.handlers.handle_pool_report = self.handle_pool_report
        self.service = BatchService(context, member, self.directory, self.owned, self.peers)
        self.session = Session(
            context.store,
            context.keys,
            member,
            context.clock,
            context.log,
            self.stop_owners,
            context.store_contact,
            self._confirm_claims,
        )
        self.directory_mirror = Mirror(
            context.store,
            context.keys.directory,
            context.clock,
            self._apply_directory_events,
            self._on_directory_connection,
            contact=context.store_contact,
            on_watch_ended=partial(context.log_watch_ended, context.keys.directory),
            on_untaken=partial(log_untaken, context.log),
        )
        self.mirrors = {self.directory_mirror.prefix: self.directory_mirror}
        self.handlers.mirrors = self.mirrors
        self.entry_client = EntryClient(
            context, guard_peers(entry_peers, context.log) if entry_peers else self.peers
        )
        self.mirror_fallback = MirrorFallback(
            context, member, self.directory, self.entry_client, self.mirrors, self.session.age
        )
        self.handlers.store_age = self.session.age
        # Start of the current period in which claims are limited, by the local clock.
        self.started_at = context.clock.now()
        # Start of the current imbalance of pools between daemons, by the local clock.
        self.imbalanced_since: float | None = None
        self.failures = FailureTracker(context, self.directory, self.session)
        # Local time of the last claim that failed, by pool.
        self.failed_claims: dict[str, float] = {}
        self.leaving = False
        self.claim_check_requested = anyio.Event()

    def start(self) -> None:
        """Start all background loops."""
        for loop in (
            self.directory_mirror.run,
            self.session.run,
            self.mirror_fallback.run,
            self._claim_pools,
            self._run_record_checks,
            self._run_log_flushes,
        ):
            self.context.tasks.start_soon(keep_running, loop, self.context.log)

    async def leave(self) -> None:
        """Hand all pools and the planner's role over to other daemons and end the lease."""
        self.leaving = True
        planner, owners = self.planner, dict(self.owned)
        self.stop_planner()
        async with anyio.create_task_group() as tasks:
            if planner is not None:
                tasks.start_soon(self._finish_in_time, planner.hand_over)
            for owner in owners.values():
                tasks.start_soon(self._finish_in_time, owner.shut_down)
        claims = {PLANNER: planner.token} if planner is not None else {}
        self._tell_owners(PoolOwner.stop, owners.values())
        for pool, owner in owners.items():
            claims[pool] = owner.token
            self.owned.pop(pool, None)
        for step in (partial(self.session.stop_claiming, claims), self.session.end):
            try:
                await step()
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write("claims-not-released", reason=str(error))
            except Exception as error:
                self.context.log.write("claims-not-released", **describe_error(error))

    async def _finish_in_time(self, hand_over: Callable[[], Awaitable[None]]) -> None:
        """Store what the next owner or planner needs, unless the store takes too long."""
        try:
            with anyio.move_on_after(HANDOVER_TIMEOUT_SECONDS):
                await hand_over()
        except (StoreUnavailable, StoreError, NotOwnerError) as error:
            self.context.log.write("handover-incomplete", reason=str(error))
        except Exception as error:
            self.context.log.write("handover-incomplete", **describe_error(error))

    @property
    def is_ready(self) -> bool:
        """Return whether callers can be served: every pool has a live owner.

        A pool whose owners fail is no reason against a daemon, since it would be one against all.
        """
        config = self.context.config
        if config is None or self.leaving:
            return False
        return all(
            self.directory.owner_of(pool) is not None or pool in self.directory.failures
            for pool in config.pools
        )

    def apply_config(self, config: BatchConfig) -> None:
        """Apply a configuration if it is newer than the current one."""
        if self.context.config is not None and config.version <= self.context.config.version:
            return
        self.context.config = config
        self.context.log.write(
            "config-in-force",
            version=config.version,
            queues=len(config.queues),
            age=round_age(self.context.freshness.age()),
        )
        self.claim_check_requested.set()
        self._tell_owners(PoolOwner.request_planning)

    def update_workers(self, workers: dict[str, ListedWorker]) -> None:
        """Replace the list of workers with the platform's current one."""
        self.context.workers = workers
        self._tell_owners(PoolOwner.update_workers)

    def stop_owners(self) -> None:
        """Stop the planner and all owners, because the lease has ended."""
        # The other daemons may have lost their leases too, so claims are limited as at the start.
        self.started_at = self.context.clock.now()
        self.stop_planner()
        self._tell_owners(PoolOwner.stop)

    def _tell_owners(
        self, tell: Callable[[PoolOwner], None], owners: Iterable[PoolOwner] | None = None
    ) -> None:
        """Call a method of owners; an error of one concerns that one only.

        One whose pool state cannot be relied on is stopped: the pool is taken over again.

        :param owners: the owners, None for all
        """
        for owner in list(self.owned.values() if owners is None else owners):
            try:
                getattr(owner, tell.__name__)()
            except Exception as error:
                self.context.log.write(
                    "owner-not-told",
                    pool=owner.pool,
                    token=owner.token,
                    call=tell.__name__,
                    **describe_error(error),
                )
                if isinstance(error, PoolStateError):
                    owner.stop()

    def stop_planner(self) -> None:
        """Stop the fleet planner, so that this daemon sends no more orders for VMs."""
        self.planner_scope.cancel()

    def handle_pool_report(self, report: pb.PoolReport) -> pb.PoolPlan:
        """Answer a pool's report with a plan.

        The answer is NOT_OWNER if this daemon is not the planner, or if the report is from an owner
        that was replaced: its workers may have runs that it does not know.
        """
        claim = self.directory.owners.get(report.pool)
        if self.planner is None or (claim is not None and report.token < claim.token):
            return pb.PoolPlan(outcome=pb.NOT_OWNER)
        return self.planner.handle_report(report)

    async def ask_planner(self, report: pb.PoolReport) -> pb.PoolPlan | None:
        """Send a pool's report to the planner, in this or another daemon."""
        if self.planner is not None:
            return self.handle_pool_report(report)
        planner_member = self.directory.owner_of(PLANNER)
        address = planner_member.address if planner_member else None
        return await ask_planner(self.peers, address, report, self.context)

    async def _claim_pools(self) -> None:
        while True:
            with anyio.move_on_after(
                CLAIM_CHECK_SECONDS if self._is_startup_over() else STARTUP_CLAIM_SECONDS
            ):
                await self.claim_check_requested.wait()
            self.claim_check_requested = anyio.Event()
            if not self.leaving and self._may_claim():
                await self._claim_unowned_pools()
                await self.failures.forget()
                for pool, token in self.failures.due_retries().items():
                    await self._retry_set_aside(pool, token)
                if self._is_startup_over():
                    await self._rebalance()

    async def _retry_set_aside(self, pool: str, token: int) -> None:
        """Hand a pool over, so that its next owner tries again what is set aside."""
        owner = self.owned.get(pool)
        if owner is None or owner.token != token or not (owner.is_serving and owner.can_store):
            return
        if self.session.age() > MAX_HANDOVER_CLAIM_AGE_SECONDS:
            # The store may be away, and nobody else could claim the pool.
            return
        await self._finish_in_time(owner.shut_down)
        if not owner.can_store:
            # Until its progress is stored, nobody else knows the ends of its runs.
            self.context.log.write("handover-incomplete", pool=pool, reason="progress not stored")
            return
        owner.stop()
        await self.failures.retry(pool, token)

    async def _rebalance(self) -> None:
        """Hand a pool over if the pools have been distributed unevenly for some time."""
        now = self.context.clock.now()
        jobs = {
            pool: len(owner.pool_state.ready)
            for pool, owner in self.owned.items()
            if owner.is_serving and owner.can_store and pool not in self.directory.failures
        }
        pool = choose_release(self.directory, self.member, jobs)
        if pool is None:
            self.imbalanced_since = None
            return
        if self.imbalanced_since is None:
            self.imbalanced_since = now
        if now - self.imbalanced_since < IMBALANCE_SECONDS:
            return
        self.imbalanced_since = None
        owner = self.owned[pool]
        await self._finish_in_time(owner.shut_down)
        if not owner.can_store:
            # Until its progress is stored, nobody else knows the ends of its runs.
            self.context.log.write("handover-incomplete", pool=pool, reason="progress not stored")
            return
        owner.stop()
        self.context.log.write("pool-handed-over", pool=pool, token=owner.token, jobs=jobs[pool])
        try:
            await self.session.release({pool: owner.token})
        except (StoreUnavailable, StoreError) as error:
            # The claim is still valid, so this daemon takes the pool over again.
            self.context.log.write("claims-not-released", reason=str(error))

    def _may_claim(self) -> bool:
        return self.context.config is not None and self.directory_mirror.loaded.is_set()

    def _is_startup_over(self) -> bool:
        return self.context.clock.now() - self.started_at >= STARTUP_SECONDS

    async def _claim_unowned_pools(self) -> None:
        assert self.context.config is not None
        now = self.context.clock.now()
        pools = [*self.context.config.pools, PLANNER]
        selected = choose_claims(self.directory, self.member, pools, now)
        selected.sort(key=self._last_failed_claim)
        if not self._is_startup_over():
            allowed = int((now - self.started_at) / STARTUP_CLAIM_SECONDS)
            selected = selected[: max(0, allowed - len(self.owned) - (self.planner is not None))]
        own_claims = sorted(self._own_claims(), key=self._last_failed_claim)
        for pool in dict.fromkeys([*own_claims, *selected]):
            if pool in self.owned or (pool == PLANNER and self.planner is not None):
                continue
            previous = self.directory.owners.get(pool)
            try:
                token = await self.session.claim(pool, previous.token if previous else 0)
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write("claim-failed", pool=pool, reason=str(error))
                self.failed_claims[pool] = self.context.clock.now()
                if isinstance(error, StoreFault):
                    continue
                return
            self.failed_claims.pop(pool, None)
            if token:
                self.context.log.write(
                    "pool-claimed", pool=pool, token=token, lease=self.session.lease
                )
                self._start_owner(pool, token)

    def _own_claims(self) -> list[str]:
        """Return the pools claimed in the name of this daemon.

        Those without an owner here are claimed again: the owner has failed, or this daemon was
        restarted before its lease ended. After a loss of all daemons the leases have ended, and
        each daemon takes back what it claimed last.
        """
        claims = [
            pool
            for pool, claim in self.directory.owners.items()
            if claim.member == self.member.name
            and claim.incarnation <= self.member.incarnation
            and not self.failures.is_delayed(pool, claim.token)
        ]
        if not self._is_startup_over() and self.context.config is not None:
            claims += [
                pool
                for pool in (PLANNER, *self.context.config.pools)
                if self.directory.last_owners.get(pool) == self.member.name
                and pool not in self.directory.owners
                and pool not in self.directory.failures
            ]
        return claims

    def _last_failed_claim(self, pool: str) -> float:
        return self.failed_claims.get(pool, 0.0)

    def _start_owner(self, pool: str, token: int) -> None:
        if pool == PLANNER:
            # One daemon at a time needs it, so it is not loaded at the start.
            from .planner import VmPlanner

            self.planner = VmPlanner(
                self.context,
                self.vms,
                self.wave_registry,
                self.member.name,
                token,
                self.session.age,
            )
            self.failures.note_serving(PLANNER, token)
            start_guarded(self.context.tasks, self._run_planner, self.planner)
        else:
            owner = PoolOwner(
                self.context,
                pool,
                token,
                self.ask_planner,
                self.session.age,
                self.session.request_renewal,
                self.failures.find(pool).set_aside,
            )
            owner.admission.probation_seconds = self.failures.probation_seconds(pool)
            self.owned[pool] = owner
            start_guarded(self.context.tasks, self._run_owner, owner)

    def _confirm_claims(self) -> None:
        """Let the owners go on with what waits until their claims are confirmed."""
        self._tell_owners(PoolOwner.confirm_claim)

    async def _run_planner(self, planner: VmPlanner) -> None:
        try:
            with anyio.CancelScope() as self.planner_scope:
                await planner.run()
        except Exception as error:
            self.failures.note_failure(PLANNER, planner.token, as_failure(error))
            raise
        finally:
            self.planner = None
            self.failures.note_end(PLANNER, planner.token)
            self.context.log.write("planning-ended", token=planner.token)

    async def _run_owner(self, owner: PoolOwner) -> None:
        wait_scope = anyio.CancelScope()
        self.context.tasks.start_soon(self._note_takeover, owner, wait_scope)
        try:
            await owner.run()
            if owner.failure is not None:
                self.failures.note_failure(owner.pool, owner.token, owner.failure)
            elif not owner.scope.cancel_called:
                failure = OwnerFailure(TAKEOVER_FAILED)
                self.failures.note_failure(owner.pool, owner.token, failure, interrupted=True)
        except Exception as error:
            failure = owner.failure or as_failure(error)
            self.failures.note_failure(owner.pool, owner.token, failure)
            raise
        finally:
            wait_scope.cancel()
            if self.owned.get(owner.pool) is owner:
                del self.owned[owner.pool]
            self.failures.note_end(owner.pool, owner.token)
            self.context.log.write("pool-left", pool=owner.pool, token=owner.token)

    async def _note_takeover(self, owner: PoolOwner, scope: anyio.CancelScope) -> None:
        with scope:
            await owner.taken_over.wait()
            owner.admission.serving_since = self.context.clock.now()
            self.failures.note_serving(owner.pool, owner.token)

    def _apply_directory_events(self, events: list[Event]) -> None:
        for event, error in self.directory.apply(events, self.context.clock.now()):
            self.context.log.write(
                "record-unreadable",
                key=event.key,
                revision=event.revision,
                **describe_error(error),
            )
        changed = {event.key: event.revision for event in events}
        replaced = [
            owner
            for pool, owner in self.owned.items()
            if changed.get(self.context.keys.owner(pool), 0) > owner.token
        ]
        self._tell_owners(PoolOwner.stop, replaced)
        planner = self.planner
        if planner and changed.get(self.context.keys.owner(PLANNER), 0) > planner.token:
            self.stop_planner()
        self.claim_check_requested.set()

    def _on_directory_connection(self, reason: str) -> None:
        self.context.log.write(
            "directory-away" if reason else "directory-back",
            reason=reason,
            age=round(self.context.clock.now() - self.directory_mirror.last_reply_at, 2),
        )

    async def _run_record_checks(self) -> None:
        """Store this daemon's record again whenever it no longer stands under the session's lease.

        Without it other daemons take the pools for unowned by anybody that lives, for as long as
        the claims stand.
        """
        while True:
            await anyio.sleep(RECORD_CHECK_SECONDS)
            entry = self.directory_mirror.entries.get(self.context.keys.member(self.member.name))
            revision = entry.revision if entry else 0
            if self.session.is_record_standing(revision, self.directory_mirror.revision):
                continue
            try:
                await self.session.restore_record()
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write("member-record-not-stored", reason=str(error))

    async def _run_log_flushes(self) -> None:
        while True:
            self.context.log.flush()
            await anyio.sleep(LOG_FLUSH_INTERVAL_SECONDS)
