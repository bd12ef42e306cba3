"""Keeps count of a daemon's owners that fail, and tells the other daemons of them."""

from __future__ import annotations

import attrs

from ..exception import StoreError, StoreFault, StoreUnavailable
from ..tasks import start_guarded
from .context import DaemonContext
from .directory import PLANNER, Directory
from .failure_records import FORGET_SECONDS, FailureRecord, latest_failure
from .failures import OwnerFailure, describe_error
from .session import Session

__all__ = ["FailureTracker", "as_failure"]

#: failures in a row from which on the next owner refuses new jobs at first, and for how long after
#: its takeover, in seconds
PROBATION_FAILURES = 2
PROBATION_SECONDS = 0.5


class FailureTracker:
    """Failures in a row of the owners of each pool, and of the planner.

    :param directory: the failures that are stored
    :param session: releases the claims of owners that failed, with the record of the failure
    """

    def __init__(self, context: DaemonContext, directory: Directory, session: Session):
        self.context = context
        self.directory = directory
        self.session = session
        # Failures of owners of this daemon with their claims' tokens, by pool, since the store may
        # not take their records.
        self.own: dict[str, tuple[int, FailureRecord]] = {}
        # Token of each claim whose owner or planner serves, and since when, by pool.
        self.serving: dict[str, tuple[int, float]] = {}

    def find(self, pool: str) -> FailureRecord:
        """Return the failures in a row of a pool's owners, also those that are not stored yet."""
        _, own = self.own.get(pool, (0, None))
        if own is not None and self.context.clock.now() - own.seen_at > FORGET_SECONDS:
            own = None
        return latest_failure([self.directory.failures.get(pool), own])

    def is_delayed(self, pool: str, token: int) -> bool:
        """Return whether the owner with a claim of this daemon has failed a short time ago."""
        failed_token, record = self.own.get(pool, (0, FailureRecord()))
        return failed_token == token and self.context.clock.now() < record.claim_from

    def probation_seconds(self, pool: str) -> float:
        """Return how long the next owner of a pool refuses new jobs at first, in seconds."""
        return PROBATION_SECONDS if self.find(pool).failures >= PROBATION_FAILURES else 0.0

    def note_serving(self, pool: str, token: int) -> None:
        """Record that an owner, or the planner, begins to serve."""
        self.serving[pool] = token, self.context.clock.now()

    def note_end(self, pool: str, token: int) -> None:
        """Record that an owner, or the planner, has ended."""
        if self.serving.get(pool, (0, 0.0))[0] == token:
            del self.serving[pool]

    def note_failure(
        self, pool: str, token: int, failure: OwnerFailure, interrupted: bool = False
    ) -> None:
        """Release the claim of an owner that failed, so that another daemon has the next turn.

        :param interrupted: whether the store did not answer in the takeover, or the claim was lost
        """
        known, now = self.find(pool), self.context.clock.now()
        record = known.add(self.session.member.name, failure, interrupted, now)
        self.own[pool] = token, record
        start_guarded(self.context.tasks, self._store, pool, token, record)

    async def _store(self, pool: str, token: int, record: FailureRecord) -> None:
        is_stored, reason = False, "claim lost"
        try:
            is_stored = await self.session.release_failed(pool, token, record)
        except (StoreUnavailable, StoreError) as error:
            # The claim is still valid, so this daemon takes the pool over again after the delay.
            reason = str(error)
        self.context.log.write(
            "owner-failure-recorded",
            pool=pool,
            token=token,
            failures=record.failures,
            interrupted=record.interrupted,
            delay=record.delay_seconds,
            reason=record.reason,
            worker=record.worker,
            job=record.job,
            stored=is_stored or reason,
        )

    async def forget(self) -> None:
        """Delete the records of failures before owners that have served for some time since."""
        now = self.context.clock.now()
        for pool, (token, since) in list(self.serving.items()):
            if now - since < FORGET_SECONDS:
                continue
            self.own.pop(pool, None)
            record = self.directory.failures.get(pool)
            # What is set aside is told for as long as it is.
            if record is None or record.set_aside:
                continue
            try:
                await self.session.forget_failures(pool, token)
            except (StoreUnavailable, StoreError) as error:
                self.context.log.write("owner-failures-kept", pool=pool, reason=str(error))
                if not isinstance(error, StoreFault):
                    return

    def due_retries(self) -> dict[str, int]:
        """Return the pools whose owners are to try again what is set aside, with their tokens.

        The owner has served for some time, and hands its pool over.
        """
        now = self.context.clock.now()
        return {
            pool: token
            for pool, (token, since) in self.serving.items()
            if (record := self.directory.failures.get(pool)) is not None
            and record.set_aside
            and now - since >= record.retry_seconds
        }

    async def retry(self, pool: str, token: int) -> None:
        """Release a claim, so that the next owner tries again what is set aside."""
        record = self.find(pool).retried()
        record = attrs.evolve(record, seen_at=self.context.clock.now())
        await self._store(pool, token, record)

    def count(self) -> dict[str, int]:
        """Return the failures in a row of the owners of each pool and of the planner."""
        pools = (PLANNER, *self.context.config.pools) if self.context.config is not None else ()
        return {pool: self.find(pool).failures for pool in pools}

    def rows(self) -> list[dict[str, object]]:
        """Return the pools whose owners fail, and the planner, for operators."""
        rows: list[dict[str, object]] = []
        for pool, failures in self.count().items():
            if not failures:
                continue
            record, owner = self.find(pool), self.directory.owner_of(pool)
            rows.append(
                {
                    "pool": pool,
                    "failures": failures,
                    "owner": owner.name if owner else "",
                    "failed_on": list(record.members),
                    "reason": record.reason,
                    "worker": record.worker,
                    "job": record.job,
                    "set_aside": sorted(record.set_aside.jobs | record.set_aside.workers),
                }
            )
        return rows


def as_failure(error: BaseException) -> OwnerFailure:
    """Return why an owner or planner ended, from an error that no code expects."""
    return OwnerFailure(str(describe_error(error)["reason"]))
