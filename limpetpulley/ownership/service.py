"""Serves callers that submit jobs of steps in any daemon, by forwarding to the pool's owner."""

from __future__ import annotations

import enum
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio
import attrs

from ..batch import JobKey, JobState, QueueConfig
from ..batch.records import decode_job, encode_spec
from ..exception import PeerError, PeerUnreachable, RecordError, StoreUnavailable
from ..peer import PeerCaller
from ..peer import batch_pb2 as pb
from .admission import Submission
from .context import DaemonContext
from .directory import Directory, Member
from .owner import PoolOwner

__all__ = ["BatchService", "Outcome", "SubmitResult"]

#: fraction of the caller's time for which the pool's owner is searched
SEARCH_FRACTION = 0.5
#: longest search for the pool's owner, in seconds
MAX_SEARCH_SECONDS = 1.2
#: interval between two attempts to find the pool's owner, in seconds
SEARCH_INTERVAL_SECONDS = 0.05
#: longest time after which a call without an answer counts as a broken connection and is repeated,
#: in seconds. A call that took longer reached an owner that cannot store the job; it is repeated
#: only if the pool has another owner by then
MAX_BROKEN_CALL_SECONDS = 0.6
#: shortest remaining time in which a call without an answer is repeated, in seconds
MIN_RETRY_SECONDS = 0.25
#: timeout of a call to an owner, in seconds
OWNER_TIMEOUT_SECONDS = 1.5
#: retry delay that callers get if a pool has no owner, in whole seconds
NO_OWNER_RETRY_SECONDS = 1


class Outcome(enum.Enum):
    """Outcome of a request."""

    ACCEPTED = enum.auto()
    REFUSED = enum.auto()
    UNAVAILABLE = enum.auto()
    UNKNOWN = enum.auto()


@attrs.frozen
class SubmitResult:
    """Outcome of a submission.

    :param reason: short reason for the log
    :param retry_seconds: retry delay if the job was not accepted, in whole seconds
    """

    outcome: Outcome
    reason: str = ""
    retry_seconds: int = NO_OWNER_RETRY_SECONDS


class BatchService:
    """Serves callers that submit, query and cancel jobs of steps.

    :param member: this daemon
    :param owned: owners of the pools that this daemon owns, by pool
    :param peers: calls other daemons
    """

    def __init__(
        self,
        context: DaemonContext,
        member: Member,
        directory: Directory,
        owned: dict[str, PoolOwner],
        peers: PeerCaller,
    ):
        self.context = context
        self.member = member
        self.directory = directory
        self.owned = owned
        self.peers = peers

    async def submit(self, submission: Submission, time_left: float) -> SubmitResult:
        """Submit a job to the owner of its pool.

        :param time_left: time until the caller's deadline, in seconds
        """
        message = pb.SubmitRequest(
            pool=submission.queue.pool,
            queue=submission.queue.name,
            job_id=submission.job_id,
            team=submission.team,
            spec=encode_spec(submission.spec),
            elapsed_seconds=submission.elapsed_seconds,
        )
        deadline, may_be_stored = self.context.clock.now() + time_left, False
        while True:
            attempted_at = self.context.clock.now()
            owner = self.directory.owner_of(message.pool)
            try:
                reply = await self._submit_once(submission, message, deadline - attempted_at)
                break
            except PeerError as error:
                # The job may be stored already; submitting it again under the same id is safe.
                may_be_stored = True
                now = self.context.clock.now()
                self.context.log.write(
                    "owner-silent",
                    job=submission.job_id,
                    pool=message.pool,
                    reason=str(error),
                    left=round(deadline - now, 3),
                )
            same_owner = self.directory.owner_of(message.pool) == owner
            owner_cannot_store = same_owner and now - attempted_at > MAX_BROKEN_CALL_SECONDS
            if owner_cannot_store or deadline - now < MIN_RETRY_SECONDS:
                return SubmitResult(Outcome.UNKNOWN, "owner-silent")
            await anyio.sleep(SEARCH_INTERVAL_SECONDS)
        if reply is None and may_be_stored:
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
        """Return the owner's reply, None if no owner was found in time.

        :raises PeerError: if the owner may have received the job but did not reply
        """
        message.time_left_seconds = wait_seconds = min(time_left, OWNER_TIMEOUT_SECONDS)

        def local_handler(owner: PoolOwner) -> Awaitable[pb.SubmitReply]:
            return submit_locally(owner, submission, wait_seconds)

        pool = submission.queue.pool
        return await self._call_owner(pool, local_handler, "Submit", message, time_left)

    async def find(self, queue: QueueConfig, job_id: str, time_left: float) -> JobState | None:
        """Return a job's state, None if there is no such job.

        :raises StoreUnavailable: if the state is not available now
        """
        return await self._request_job(queue, job_id, time_left, "Find", find_locally)

    async def cancel(self, queue: QueueConfig, job_id: str, time_left: float) -> JobState | None:
        """Cancel a job; return its state, None if there is no such job.

        :raises StoreUnavailable: if the job could not be cancelled now
        """
        return await self._request_job(queue, job_id, time_left, "Cancel", cancel_locally)

    async def count_pending(self, queue: QueueConfig, time_left: float) -> int:
        """Return the number of accepted jobs of a queue that have not started.

        :raises StoreUnavailable: if the pool's owner cannot be reached
        """
        message = pb.PendingRequest(pool=queue.pool, queue=queue.name)
        reply = await self._call_owner_or_raise(
            queue.pool,
            partial(_call_handler, count_locally, message),
            "CountPending",
            message,
            time_left,
        )
        return reply.pending

    async def _request_job(
        self,
        queue: QueueConfig,
        job_id: str,
        time_left: float,
        method: str,
        local_handler: Callable[[PoolOwner, pb.JobRequest], Awaitable[pb.StateReply]],
    ) -> JobState | None:
        key = JobKey(queue.name, job_id)
        pool = queue.pool
        for _ in range(2):
            message = pb.JobRequest(pool=pool, queue=queue.name, job_id=job_id)
            reply = await self._call_owner_or_raise(
                pool, partial(_call_handler, local_handler, message), method, message, time_left
            )
            if reply.outcome == pb.ACCEPTED:
                return JobState(reply.state)
            stored_pool = await self._stored_pool(key)
            if stored_pool is None:
                return None
            if stored_pool == pool:
                break
            pool = stored_pool
        raise StoreUnavailable(f"the owner of pool {pool} has not loaded the job yet")

    async def _stored_pool(self, key: JobKey) -> str | None:
        """Return the pool of a stored job, None if none is stored."""
        entry = await self.context.store.get(self.context.keys.description(key))
        if entry is None:
            return None
        try:
            return decode_job(key, entry.value, None).pool
        except RecordError as error:
            raise StoreUnavailable(str(error)) from None

    async def _call_owner_or_raise(
        self,
        pool: str,
        local_handler: Callable[[PoolOwner], Awaitable[Any]],
        method: str,
        message: Any,
        time_left: float,
    ) -> Any:
        """Return the reply of a pool's owner.

        :raises StoreUnavailable: if no owner is found in time, or it does not reply
        """
        try:
            reply = await self._call_owner(pool, local_handler, method, message, time_left)
        except PeerError as error:
            raise StoreUnavailable(str(error)) from None
        if reply is None:
            raise StoreUnavailable(f"pool {pool} has no owner")
        return reply

    async def _call_owner(
        self,
        pool: str,
        local_handler: Callable[[PoolOwner], Awaitable[Any]],
        method: str,
        message: Any,
        time_left: float,
    ) -> Any:
        """Return the reply of a pool's owner, None if no owner is found in time.

        :param local_handler: answers the request if the owner is in this process
        :raises PeerError: if the owner may have received the message but did not reply
        """
        clock = self.context.clock
        deadline = clock.now() + min(MAX_SEARCH_SECONDS, time_left * SEARCH_FRACTION)
        while True:
            owner = self.directory.owner_of(pool)
            if owner is not None and owner.name == self.member.name:
                local_owner = self.owned.get(pool)
                if local_owner is not None and local_owner.is_serving:
                    return await local_handler(local_owner)
            elif owner is not None:
                timeout = max(0.1, min(OWNER_TIMEOUT_SECONDS, time_left))
                try:
                    reply = await self.peers.call(owner.address, method, message, timeout)
                    if reply.outcome != pb.NOT_OWNER:
                        return reply
                except PeerUnreachable as error:
                    self.context.log.write("owner-unreachable", pool=pool, reason=str(error))
            if clock.now() >= deadline:
                return None
            await anyio.sleep(SEARCH_INTERVAL_SECONDS)


async def _call_handler(
    local_handler: Callable[[PoolOwner, Any], Awaitable[Any]], message: Any, owner: PoolOwner
) -> Any:
    return await local_handler(owner, message)


async def submit_locally(
    owner: PoolOwner, submission: Submission, wait_seconds: float
) -> pb.SubmitReply:
    """Submit a job to an owner in this process."""
    verdict = await owner.submit(submission, wait_seconds)
    if verdict is None:
        return pb.SubmitReply(outcome=pb.UNKNOWN, reason="not-known-to-be-stored")
    if verdict.accepted:
        return pb.SubmitReply(outcome=pb.ACCEPTED)
    return pb.SubmitReply(
        outcome=pb.REFUSED, reason=verdict.reason, retry_seconds=verdict.retry_seconds
    )


async def find_locally(owner: PoolOwner, message: pb.JobRequest) -> pb.StateReply:
    """Return a job's state from an owner in this process."""
    job = owner.find(JobKey(message.queue, message.job_id))
    if job is None:
        return pb.StateReply(outcome=pb.ABSENT)
    return pb.StateReply(outcome=pb.ACCEPTED, state=owner.reported_state(job))


async def cancel_locally(owner: PoolOwner, message: pb.JobRequest) -> pb.StateReply:
    """Cancel a job at an owner in this process."""
    state = await owner.cancel(JobKey(message.queue, message.job_id))
    if state is None:
        return pb.StateReply(outcome=pb.ABSENT)
    return pb.StateReply(outcome=pb.ACCEPTED, state=state)


async def count_locally(owner: PoolOwner, message: pb.PendingRequest) -> pb.PendingReply:
    """Count a queue's pending jobs at an owner in this process."""
    return pb.PendingReply(outcome=pb.ACCEPTED, pending=owner.count_pending(message.queue))
