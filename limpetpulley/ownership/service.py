"""What any daemon does for a caller of the batch path: the pool's owner decides, wherever it is."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import attrs

from ..batch import JobKey, JobState, QueueRule
from ..batch.records import decode_job, encode_spec
from ..exception import PeerError, PeerUnreachable, RecordError, StoreUnavailable
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from .admission import Submission
from .context import DaemonContext
from .directory import Directory, Member
from .owner import PoolOwner

__all__ = ["BatchService", "Outcome", "SubmitResult"]

#: part of the caller's time after which looking for the pool's owner ends
SEARCH_PART = 0.5
#: longest search for the pool's owner, in seconds
LONGEST_SEARCH_SECONDS = 1.2
#: pause between two looks for the pool's owner
SEARCH_PAUSE_SECONDS = 0.05
#: longest time after which a call without an answer counts as broken off, and is made again; one
#: that took longer found an owner that cannot store, unless the pool has another one by then, in
#: seconds
BROKEN_SECONDS = 0.6
#: shortest time for which an owner that did not answer is asked once more, in seconds
ASK_AGAIN_SECONDS = 0.25
#: time within which an owner answers, in seconds
OWNER_ANSWER_SECONDS = 1.5
#: time until which a caller is told to come back if a pool has no owner, in whole seconds
NO_OWNER_RETRY_SECONDS = 1


class Outcome(enum.Enum):
    """What became of a request."""

    ACCEPTED = enum.auto()
    REFUSED = enum.auto()
    UNAVAILABLE = enum.auto()
    UNKNOWN = enum.auto()


@attrs.frozen
class SubmitResult:
    """What became of a job that was handed in.

    :param reason: short reason for the log
    :param retry_seconds: when to come back if it was not accepted, in whole seconds
    """

    outcome: Outcome
    reason: str = ""
    retry_seconds: int = NO_OWNER_RETRY_SECONDS


class BatchService:
    """Serves callers of jobs of steps.

    :param me: this daemon
    :param owned: the pools that this daemon owns
    :param peers: calls other daemons
    """

    def __init__(
        self,
        context: DaemonContext,
        me: Member,
        directory: Directory,
        owned: dict[str, PoolOwner],
        peers: PeerCaller,
    ):
        self.context = context
        self.me = me
        self.directory = directory
        self.owned = owned
        self.peers = peers

    async def submit(self, submission: Submission, time_left: float) -> SubmitResult:
        """Hand a job to its pool's owner.

        :param time_left: time in which the caller needs the answer, in seconds
        """
        message = pb.SubmitRequest(
            pool=submission.queue.pool,
            queue=submission.queue.name,
            job_id=submission.job_id,
            team=submission.team,
            spec=encode_spec(submission.spec),
            elapsed_seconds=submission.elapsed_seconds,
        )
        until, unknown = self.context.clock.now() + time_left, False
        while True:
            asked_at = self.context.clock.now()
            owner = self.directory.owner_of(message.pool)
            try:
                reply = await self._submit_once(submission, message, until - asked_at)
                break
            except PeerError as error:
                # The job may be stored by now; with the same id it is safe to ask again.
                unknown = True
                now = self.context.clock.now()
                self.context.log.write(
                    "owner-silent",
                    job=submission.job_id,
                    pool=message.pool,
                    reason=str(error),
                    left=round(until - now, 3),
                )
            same = self.directory.owner_of(message.pool) == owner
            cannot_store = same and now - asked_at > BROKEN_SECONDS
            if cannot_store or until - now < ASK_AGAIN_SECONDS:
                return SubmitResult(Outcome.UNKNOWN, "owner-silent")
            await anyio.sleep(SEARCH_PAUSE_SECONDS)
        if reply is None and unknown:
            return SubmitResult(Outcome.UNKNOWN, "owner-silent")
        if reply is None:
            return SubmitResult(Outcome.UNAVAILABLE, "no-owner")
        outcome = {pb.ACCEPTED: Outcome.ACCEPTED, pb.REFUSED: Outcome.REFUSED}.get(
            reply.outcome, Outcome.UNKNOWN
        )
        return SubmitResult(outcome, reply.reason, reply.retry_seconds or NO_OWNER_RETRY_SECONDS)

    async def _submit_once(
        self, submission: Submission, message: pb.SubmitRequest, time_left: float
    ) -> pb.SubmitReply | None:
        """Return the owner's reply, None if there is no owner.

        :raises PeerError: if the owner got the job and did not reply
        """
        message.time_left_seconds = wait = min(time_left, OWNER_ANSWER_SECONDS)

        def locally(owner: PoolOwner) -> Awaitable[pb.SubmitReply]:
            return submit_locally(owner, submission, wait)

        pool = submission.queue.pool
        return await self._ask(pool, locally, "Submit", message, time_left)

    async def find(self, queue: QueueRule, job_id: str, time_left: float) -> JobState | None:
        """Return a job's state, None if there is no such job.

        :raises StoreUnavailable: if it cannot be found out now
        """
        return await self._job(queue, job_id, time_left, "Find", find_locally)

    async def cancel(self, queue: QueueRule, job_id: str, time_left: float) -> JobState | None:
        """Cancel a job; return its state, None if there is no such job.

        :raises StoreUnavailable: if it could not be cancelled now
        """
        return await self._job(queue, job_id, time_left, "Cancel", cancel_locally)

    async def count_pending(self, queue: QueueRule, time_left: float) -> int:
        """Return how many accepted jobs of a queue have not begun.

        :raises StoreUnavailable: if the pool's owner cannot be asked
        """
        message = pb.PendingRequest(pool=queue.pool, queue=queue.name)
        reply = await self._reply(
            queue.pool, partial(_call, count_locally, message), "CountPending", message, time_left
        )
        return reply.pending

    async def _job(
        self,
        queue: QueueRule,
        job_id: str,
        time_left: float,
        method: str,
        locally: Callable[[PoolOwner, pb.JobRequest], Awaitable[pb.StateReply]],
    ) -> JobState | None:
        key = JobKey(queue.name, job_id)
        pool = queue.pool
        for _ in range(2):
            message = pb.JobRequest(pool=pool, queue=queue.name, job_id=job_id)
            reply = await self._reply(
                pool, partial(_call, locally, message), method, message, time_left
            )
            if reply.outcome == pb.ACCEPTED:
                return JobState(reply.state)
            elsewhere = await self._stored_pool(key)
            if elsewhere is None:
                return None
            if elsewhere == pool:
                break
            pool = elsewhere
        raise StoreUnavailable(f"the owner of {pool} does not know the job yet")

    async def _stored_pool(self, key: JobKey) -> str | None:
        """Return the pool of a stored job, None if none is stored."""
        entry = await self.context.store.get(self.context.keys.description(key))
        if entry is None:
            return None
        try:
            return decode_job(key, entry.value, None).pool
        except RecordError as error:
            raise StoreUnavailable(str(error)) from None

    async def _reply(
        self,
        pool: str,
        locally: Callable[[PoolOwner], Awaitable[Any]],
        method: str,
        message: Any,
        time_left: float,
    ) -> Any:
        """Return the reply of a pool's owner.

        :raises StoreUnavailable: if none is found, or it does not reply
        """
        try:
            reply = await self._ask(pool, locally, method, message, time_left)
        except PeerError as error:
            raise StoreUnavailable(str(error)) from None
        if reply is None:
            raise StoreUnavailable(f"pool {pool} has no owner")
        return reply

    async def _ask(
        self,
        pool: str,
        locally: Callable[[PoolOwner], Awaitable[Any]],
        method: str,
        message: Any,
        time_left: float,
    ) -> Any:
        """Return the reply of a pool's owner, None if none is found in time.

        :raises PeerError: if the owner got the message and did not reply
        """
        clock = self.context.clock
        until = clock.now() + min(LONGEST_SEARCH_SECONDS, time_left * SEARCH_PART)
        while True:
            owner = self.directory.owner_of(pool)
            if owner is not None and owner.name == self.me.name:
                mine = self.owned.get(pool)
                if mine is not None and mine.is_serving:
                    return await locally(mine)
            elif owner is not None:
                timeout = max(0.1, min(OWNER_ANSWER_SECONDS, time_left))
                try:
                    reply = await self.peers.call(owner.address, method, message, timeout)
                    if reply.outcome != pb.NOT_OWNER:
                        return reply
                except PeerUnreachable as error:
                    self.context.log.write("owner-unreachable", pool=pool, reason=str(error))
            if clock.now() >= until:
                return None
            await anyio.sleep(SEARCH_PAUSE_SECONDS)


async def _call(
    locally: Callable[[PoolOwner, Any], Awaitable[Any]], message: Any, owner: PoolOwner
) -> Any:
    return await locally(owner, message)


async def submit_locally(
    owner: PoolOwner, submission: Submission, wait_seconds: float
) -> pb.SubmitReply:
    """Hand a job to an owner in this process."""
    verdict = await owner.submit(submission, wait_seconds)
    if verdict is None:
        return pb.SubmitReply(outcome=pb.UNKNOWN, reason="not-known-to-be-stored")
    if verdict.accepted:
        return pb.SubmitReply(outcome=pb.ACCEPTED)
    return pb.SubmitReply(
        outcome=pb.REFUSED, reason=verdict.reason, retry_seconds=verdict.retry_seconds
    )


async def find_locally(owner: PoolOwner, message: pb.JobRequest) -> pb.StateReply:
    """Ask an owner in this process for a job's state."""
    job = owner.find(JobKey(message.queue, message.job_id))
    if job is None:
        return pb.StateReply(outcome=pb.ABSENT)
    return pb.StateReply(outcome=pb.ACCEPTED, state=owner.state_of(job))


async def cancel_locally(owner: PoolOwner, message: pb.JobRequest) -> pb.StateReply:
    """Cancel a job at an owner in this process."""
    state = await owner.cancel(JobKey(message.queue, message.job_id))
    if state is None:
        return pb.StateReply(outcome=pb.ABSENT)
    return pb.StateReply(outcome=pb.ACCEPTED, state=state)


async def count_locally(owner: PoolOwner, message: pb.PendingRequest) -> pb.PendingReply:
    """Count a queue's pending jobs at an owner in this process."""
    return pb.PendingReply(outcome=pb.ACCEPTED, pending=owner.count_pending(message.queue))
