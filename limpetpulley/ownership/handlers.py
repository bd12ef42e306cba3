"""RPC handlers for requests of other daemons about the pools that this daemon owns."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import anyio

from ..batch.records import decode_spec
from ..exception import RecordError
from ..peer import BatchBase
from ..peer import batch_pb2 as pb
from ..store import Mirror
from .context import DaemonContext
from .entry_replies import EntryEncoder
from .failures import describe_error
from .owner import PoolOwner, Submission
from .service import cancel_locally, count_locally, find_locally, submit_locally

__all__ = ["BatchHandlers"]


#: age of the store's last answer up to which other daemons may fetch this daemon's copies of store
#: entries, in seconds
MAX_STORE_AGE_SECONDS = 1.0
#: longest wait for the next confirmation of a mirror, whatever the request says, in seconds
MAX_WAIT_SECONDS = 2.0
#: by how much later than the sender's copy a mirror must have been confirmed to be worth a reply
#: before the next confirmation, in seconds
MIN_GAIN_SECONDS = 0.1


class BatchHandlers(BatchBase):
    """Server side of the protocol between daemons.

    :param owned: owners of the pools that this daemon owns, by pool
    """

    def __init__(self, context: DaemonContext, owned: dict[str, PoolOwner]):
        self.context = context
        self.owned = owned
        self.mirrors: dict[str, Mirror] = {}
        self.encoder = EntryEncoder()
        self.started_at = context.clock.now()
        self.store_age: Callable[[], float] = lambda: math.inf
        self.handle_pool_report: Callable[[pb.PoolReport], pb.PoolPlan] = (
            lambda report: pb.PoolPlan()
        )

    async def Submit(self, stream: Any) -> None:  # noqa: N802
        """Accept or refuse a job."""
        reply = pb.SubmitReply(outcome=pb.UNKNOWN, reason="not-known-to-be-stored")
        await self._serve(stream, "Submit", self._submit, reply)

    async def Find(self, stream: Any) -> None:  # noqa: N802
        """Return a job's state."""
        handle = partial(self._ask_owner, find_locally, pb.StateReply(outcome=pb.NOT_OWNER))
        await self._serve(stream, "Find", handle, pb.StateReply(outcome=pb.UNKNOWN))

    async def Cancel(self, stream: Any) -> None:  # noqa: N802
        """Cancel a job."""
        handle = partial(self._ask_owner, cancel_locally, pb.StateReply(outcome=pb.NOT_OWNER))
        await self._serve(stream, "Cancel", handle, pb.StateReply(outcome=pb.UNKNOWN))

    async def CountPending(self, stream: Any) -> None:  # noqa: N802
        """Count a queue's pending jobs; a count that fails is none of this daemon's to give."""
        not_owner = pb.PendingReply(outcome=pb.NOT_OWNER)
        handle = partial(self._ask_owner, count_locally, not_owner)
        await self._serve(stream, "CountPending", handle, not_owner)

    async def ReportPool(self, stream: Any) -> None:  # noqa: N802
        """Answer a pool's report with a plan, if this daemon is the fleet planner."""
        await self._serve(stream, "ReportPool", self._report, pb.PoolPlan(outcome=pb.UNKNOWN))

    async def FetchEntries(self, stream: Any) -> None:  # noqa: N802
        """Return the entries of this daemon's copy of a prefix of the store."""
        await self._serve(stream, "FetchEntries", self._fetch_entries, pb.EntriesReply())

    async def _serve(
        self, stream: Any, method: str, handle: Callable[[Any], Awaitable[Any]], fault_reply: Any
    ) -> None:
        """Answer a message.

        :param fault_reply: answer after an error that nobody expects; it must not claim that the
            message had no effect, unless it cannot have had one
        """
        message = await stream.recv_message()
        try:
            reply = await handle(message)
        except Exception as error:
            self.context.log.write("message-fault", method=method, **describe_error(error))
            reply = fault_reply
        await stream.send_message(reply)

    async def _submit(self, message: pb.SubmitRequest) -> pb.SubmitReply:
        config = self.context.config
        queue = config.queues.get(message.queue) if config else None
        owner = self._serving_owner(message.pool)
        if owner is None or queue is None or queue.pool != message.pool:
            return pb.SubmitReply(outcome=pb.NOT_OWNER)
        try:
            spec = decode_spec(message.spec)
        except RecordError as error:
            self.context.log.write("message-unreadable", method="Submit", reason=str(error))
            return pb.SubmitReply(outcome=pb.UNKNOWN, reason="unreadable")
        submission = Submission(queue, message.job_id, spec, message.team, message.elapsed_seconds)
        return await submit_locally(owner, submission, message.time_left_seconds)

    async def _ask_owner(
        self, handler: Callable[[PoolOwner, Any], Awaitable[Any]], not_owner: Any, message: Any
    ) -> Any:
        owner = self._serving_owner(message.pool)
        return not_owner if owner is None else await handler(owner, message)

    async def _report(self, message: pb.PoolReport) -> pb.PoolPlan:
        return self.handle_pool_report(message)

    async def _fetch_entries(self, message: pb.EntriesRequest) -> pb.EntriesReply:
        arrived_at = self.context.clock.now()
        mirror = self.mirrors.get(message.prefix)
        if mirror is not None and mirror.loaded.is_set():
            await _wait_for_news(mirror, message)
        reply = pb.EntriesReply(store_silent=self._is_store_silent())
        if mirror is None or not mirror.loaded.is_set() or not self._can_reach_store():
            return reply
        reply.fresh, reply.revision, reply.age_seconds = True, mirror.revision, mirror.age()
        reply.waited_seconds = self.context.clock.now() - arrived_at
        if mirror.revision > message.after and not message.without_entries:
            reply.entries.extend(self.encoder.encode_rows(mirror, message))
        return reply

    def _can_reach_store(self) -> bool:
        """Return whether the store has answered a renewal or another call lately."""
        now = self.context.clock.now()
        is_renewed = self.store_age() <= MAX_STORE_AGE_SECONDS
        return is_renewed or self.context.store_contact.is_answering(now)

    def _is_store_silent(self) -> bool:
        """Return whether the store answers nothing, which a daemon cannot know at its start."""
        now = self.context.clock.now()
        if now - self.started_at <= MAX_STORE_AGE_SECONDS:
            return False
        contact = self.context.store_contact
        return not contact.is_answering(now) and not contact.is_anything_arriving(now)

    def _serving_owner(self, pool: str) -> PoolOwner | None:
        owner = self.owned.get(pool)
        return owner if owner is not None and owner.is_serving else None


async def _wait_for_news(mirror: Mirror, request: pb.EntriesRequest) -> None:
    """Wait until a mirror is newer than the copy of a request's sender, or was confirmed later."""
    sender_age = request.age_seconds if request.HasField("age_seconds") else math.inf
    known_at = mirror.clock.now() - sender_age + MIN_GAIN_SECONDS
    with anyio.move_on_after(min(request.wait_seconds, MAX_WAIT_SECONDS)):
        while mirror.revision <= request.after and mirror.confirmed_at <= known_at:
            await mirror.updated.wait()
