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
from ..exception import (
    ChangeUnknown,
    PeerError,
    PeerUnreachable,
    RecordError,
    StoreError,
    StoreUnavailable,
)
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
#: in seconds. A call that took longer reached an owner that does not answer; it is repeated only if
#: the pool has another owner by then
MAX_BROKEN_CALL_SECONDS = 0.6
#: shortest remaining time in which a call without an answer is repeated, in seconds
MIN_RETRY_SECONDS = 0.25
#: timeout of a call to an owner, in seconds
OWNER_TIMEOUT_SECONDS = 1.5
#: longest time for which an owner waits for the store before it answers that the outcome is
#: unknown, in seconds; the request is then repeated, at the next owner if there is one
OWNER_WAIT_SECONDS = 1.2
#: shortest time for which an owner's answer is awaited, in seconds. An answer that is ready after
#: the caller's deadline is delivered if the connection is still open
MIN_ANSWER_SECONDS = 1.0
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


@attrs.frozen
class _TimeLimits:
    """Time limits of a request, by the local clock.

    :param deadline: the caller's deadline; nothing is repeated after it
    :param answer_until: end of the wait for the owner's answer, not before the deadline
    """

    deadline: float
    answer_until: float


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
        limits, may_be_stored = self._limit_times(time_left), False
        while True:
            attempted_at, is_silent = self.context.clock.now(), False
            owner = self.directory.owner_of(message.pool)
            try:
                reply = await self._submit_once(submission, message, limits)
            except PeerError as error:
                reply, is_silent, may_be_stored = None, True, True
                self._log_silence(submission.job_id, message.pool, error, limits)
            if reply is None and not may_be_stored:
                return SubmitResult(Outcome.UNAVAILABLE, "no-owner")
            if reply is not None and (reply.outcome != pb.UNKNOWN or reply.reason == "unreadable"):
                break
            # The job may be stored already; submitting it again under the same id is safe.
            may_be_stored = True
            now = self.context.clock.now()
            same_owner = self.directory.owner_of(message.pool) == owner
            is_hopeless = is_silent and same_owner and now - attempted_at > MAX_BROKEN_CALL_SECONDS
            if is_hopeless or limits.deadline - now < MIN_RETRY_SECONDS:
                return SubmitResult(Outcome.UNKNOWN, reply.reason if reply else "owner-silent")
            await anyio.sleep(SEARCH_INTERVAL_SECONDS)
        outcome = {pb.ACCEPTED: Outcome.ACCEPTED, pb.REFUSED: Outcome.REFUSED}.get(
            reply.outcome, Outcome.UNKNOWN
        )
        return SubmitResult(outcome, reply.reason, reply.retry_seconds or NO_OWNER_RETRY_SECONDS)

    async def _submit_once(
        self, submission: Submission, message: pb.SubmitRequest, limits: _TimeLimits
    ) -> pb.SubmitReply | None:
        """Return the owner's reply, None if no owner was found in time.

        :raises PeerError: if the owner may have received the job but did not reply
        """
        wait_seconds = min(limits.answer_until - self.context.clock.now(), OWNER_WAIT_SECONDS)
        message.time_left_seconds = wait_seconds

        def local_handler(owner: PoolOwner) -> Awaitable[pb.SubmitReply]:
            return submit_locally(owner, submission, wait_seconds)

        pool = submission.queue.pool
        return await self._call_owner(pool, local_handler, "Submit", message, limits)

    def _limit_times(self, time_left: float) -> _TimeLimits:
        """Return the time limits of a request.

        :param time_left: time until the caller's deadline, in seconds
        """
        now = self.context.clock.now()
        return _TimeLimits(now + time_left, now + max(time_left, MIN_ANSWER_SECONDS))

    def _log_silence(self, job_id: str, pool: str, error: Exception, limits: _TimeLimits) -> None:
        left = limits.deadline - self.context.clock.now()
        self.context.log.write(
            "owner-silent", job=job_id, pool=pool, reason=str(error), left=round(left, 3)
        )

    async def find(self, queue: QueueConfig, job_id: str, time_left: float) -> JobState | None:
        """Return a job's state, None if there is no such job.

        :raises StoreUnavailable: if the state is not available now
        """
        limits = self._limit_times(time_left)
        return await self._request_job(queue, job_id, limits, "Find", find_locally)

    async def cancel(self, queue: QueueConfig, job_id: str, time_left: float) -> JobState | None:
        """Cancel a job; return its state, None if there is no such job.

        :raises ChangeUnknown: if it is unknown whether the job is cancelled
        :raises StoreUnavailable: if the job could not be cancelled now
        """
        limits, may_be_cancelled = self._limit_times(time_left), False
        while True:
            try:
                return await self._request_job(queue, job_id, limits, "Cancel", cancel_locally)
            except ChangeUnknown as error:
                may_be_cancelled = True
                self._log_silence(job_id, queue.pool, error, limits)
                if limits.deadline - self.context.clock.now() < MIN_RETRY_SECONDS:
                    raise
            except (StoreUnavailable, StoreError) as error:
                if may_be_cancelled:
                    raise ChangeUnknown(str(error)) from None
                raise
            await anyio.sleep(SEARCH_INTERVAL_SECONDS)

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
            self._limit_times(time_left),
        )
        return reply.pending

    async def _request_job(
        self,
        queue: QueueConfig,
        job_id: str,
        limits: _TimeLimits,
        method: str,
        local_handler: Callable[[PoolOwner, pb.JobRequest], Awaitable[pb.StateReply]],
    ) -> JobState | None:
        key = JobKey(queue.name, job_id)
        pool = queue.pool
        for _ in range(2):
            message = pb.JobRequest(pool=pool, queue=queue.name, job_id=job_id)
            reply = await self._call_owner_or_raise(
                pool, partial(_call_handler, local_handler, message), method, message, limits
            )
            if reply.outcome == pb.UNKNOWN:
                raise ChangeUnknown(
                    f"the owner of pool {pool} does not know whether the job is stored"
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
        limits: _TimeLimits,
    ) -> Any:
        """Return the reply of a pool's owner.

        :raises ChangeUnknown: if an owner may have received the message but did not reply
        :raises StoreUnavailable: if no owner is found in time
        """
        try:
            reply = await self._call_owner(pool, local_handler, method, message, limits)
        except PeerError as error:
            raise ChangeUnknown(str(error)) from None
        if reply is None:
            raise StoreUnavailable(f"pool {pool} has no owner")
        return reply

    async def _call_owner(
        self,
        pool: str,
        local_handler: Callable[[PoolOwner], Awaitable[Any]],
        method: str,
        message: Any,
        limits: _TimeLimits,
    ) -> Any:
        """Return the reply of a pool's owner, None if no owner is found in time.

        :param local_handler: answers the request if the owner is in this process
        :raises PeerError: if the owner may have received the message but did not reply
        """
        clock = self.context.clock
        started_at = clock.now()
        time_left = limits.deadline - started_at
        search_until = started_at + min(MAX_SEARCH_SECONDS, time_left * SEARCH_FRACTION)
        while True:
            owner = self.directory.owner_of(pool)
            timeout = min(OWNER_TIMEOUT_SECONDS, limits.answer_until - clock.now())
            if owner is not None and owner.name == self.member.name:
                local_owner = self.owned.get(pool)
                if local_owner is not None and local_owner.is_serving:
                    return await _call_locally(local_handler, local_owner, method, timeout)
            elif owner is not None:
                try:
                    reply = await self.peers.call(owner.address, method, message, timeout)
                    if reply.outcome != pb.NOT_OWNER:
                        return reply
                except PeerUnreachable as error:
                    self.context.log.write("owner-unreachable", pool=pool, reason=str(error))
            if clock.now() >= search_until:
                return None
            await anyio.sleep(SEARCH_INTERVAL_SECONDS)


async def _call_locally(
    local_handler: Callable[[PoolOwner], Awaitable[Any]],
    owner: PoolOwner,
    method: str,
    timeout: float,
) -> Any:
    """Return the reply of an owner in this process.

    :param timeout: timeout of the call, in seconds
    :raises PeerError: if there is no reply
    """
    with anyio.move_on_after(timeout):
        return await local_handler(owner)
    raise PeerError(f"no reply to {method} from the owner of pool {owner.pool} in this process")


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
    key = JobKey(message.queue, message.job_id)
    job = owner.find(key)
    if job is None and owner.is_pending(key):
        return pb.StateReply(outcome=pb.UNKNOWN)
    if job is None:
        return pb.StateReply(outcome=pb.ABSENT)
    return pb.StateReply(outcome=pb.ACCEPTED, state=owner.reported_state(job))


async def cancel_locally(owner: PoolOwner, message: pb.JobRequest) -> pb.StateReply:
    """Cancel a job at an owner in this process."""
    try:
        state = await owner.cancel(JobKey(message.queue, message.job_id))
    except (StoreUnavailable, StoreError) as error:
        owner.context.log.write("cancel-in-doubt", job=message.job_id, reason=str(error))
        return pb.StateReply(outcome=pb.UNKNOWN)
    if state is None:
        return pb.StateReply(outcome=pb.ABSENT)
    return pb.StateReply(outcome=pb.ACCEPTED, state=state)


async def count_locally(owner: PoolOwner, message: pb.PendingRequest) -> pb.PendingReply:
    """Count a queue's pending jobs at an owner in this process."""
    return pb.PendingReply(outcome=pb.ACCEPTED, pending=owner.count_pending(message.queue))
