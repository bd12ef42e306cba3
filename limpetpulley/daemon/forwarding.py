"""Passing jobs on to a member, while this daemon may not start any."""

from __future__ import annotations

import random

import anyio
from absl import logging

from ..clock import Clock
from ..exception import EndpointError, JobRefused
from ..jobs import Submission
from ..membership import Member
from ..routing.attempt import Attempt, EndpointResponse
from ..routing.connections import Connections
from ..tasks import start_guarded
from .peers import PeerTable

__all__ = ["MemberForwarder"]

MAX_MEMBERS_TRIED = 3
MARGIN_SECONDS = 0.25
RETRY_AFTER_SECONDS = 2.0


class MemberForwarder:
    """Forwards jobs to live members over their callers' interface.

    :param clock: the daemon's clock
    :param member: this daemon's part in the membership
    :param peers: the other daemons
    :param connections: connections to the members' callers' interface
    :param tasks: task group for the attempts
    """

    def __init__(
        self,
        clock: Clock,
        member: Member,
        peers: PeerTable,
        connections: Connections,
        tasks: anyio.abc.TaskGroup,
        rng: random.Random,
    ):
        self.clock = clock
        self.member = member
        self.peers = peers
        self.tasks = tasks
        self.rng = rng
        self.connections = connections

    def must_forward(self) -> bool:
        """Return whether this daemon may not start jobs itself."""
        return not self.member.is_valid()

    async def forward(self, submission: Submission, deadline: float) -> EndpointResponse:
        """Return the answer that a member gives.

        :raises JobRefused: if no member takes the job, or the answer is lost
        """
        names = [name for name in self.peers.live() if name != self.member.name]
        self.rng.shuffle(names)
        for name in names[:MAX_MEMBERS_TRIED]:
            info = self.peers.find(name)
            if info is None:
                continue
            attempt = self._attempt(submission, info.caller_address, deadline)
            logging.info(
                "decision=forward job=%s queue=%s to=%s reason=not-a-valid-member",
                submission.job_id,
                submission.queue,
                name,
            )
            try:
                with anyio.move_on_after(max(0.0, deadline - self.clock.now()) + MARGIN_SECONDS):
                    return await attempt.result()
                attempt.abandon()
                raise JobRefused(
                    504, "deadline-passed", "the daemon that had the job is silent", "unknown"
                )
            except EndpointError as error:
                if error.sent:
                    raise JobRefused(
                        502, "forwarding-failed", f"the answer is lost: {error.reason}", "unknown"
                    ) from error
        raise JobRefused(
            503,
            "not-a-member",
            "this daemon may not start jobs now and knows no other that may",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _attempt(self, submission: Submission, address: str, deadline: float) -> Attempt:
        headers = [*submission.headers, (b"forwarded-job", submission.job_id.encode())]
        if submission.secret:
            headers.append((b"authorization", b"Bearer " + submission.secret.encode()))
        left = max(0.0, deadline - self.clock.now())
        headers.append((b"time-left", b"%.3f" % left))
        attempt = Attempt(
            address,
            f"/queues/{submission.queue}/jobs",
            headers,
            submission.body,
            deadline,
            True,
            left,
            self.clock,
            self.connections,
            lambda: None,
            lambda ended: None,
        )
        start_guarded(self.tasks, attempt.run)
        return attempt
