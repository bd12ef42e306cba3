"""Forwarding of jobs to a member while this daemon may not start jobs itself."""

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
RESPONSE_MARGIN_SECONDS = 0.25
RETRY_AFTER_SECONDS = 2.0


class MemberForwarder:
    """Forwards jobs to live members through their callers' interface.

    :param clock: the daemon's clock
    :param member: this daemon's membership state
    :param peers: table of the other daemons
    :param connections: connections to the callers' interface of other members
    :param tasks: task group that the attempts run in
    :param rng: random source for the order in which members are tried
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
        """Return whether jobs must be forwarded because this daemon may not start them."""
        return not self.member.is_valid()

    async def forward(self, submission: Submission, deadline: float) -> EndpointResponse:
        """Forward a job to a live member and return the member's response.

        :param submission: the job
        :param deadline: when the response is due, in seconds on the clock
        :raises JobRefused: if no member accepts the job, or the response is lost
        """
        names = [name for name in self.peers.live_members() if name != self.member.name]
        self.rng.shuffle(names)
        for name in names[:MAX_MEMBERS_TRIED]:
            info = self.peers.find(name)
            if info is None:
                continue
            attempt = self._start_attempt(submission, info.caller_address, deadline)
            logging.info(
                "decision=forward job=%s queue=%s to=%s reason=not-a-valid-member",
                submission.job_id,
                submission.queue,
                name,
            )
            try:
                with anyio.move_on_after(
                    max(0.0, deadline - self.clock.now()) + RESPONSE_MARGIN_SECONDS
                ):
                    return await attempt.result()
                attempt.abandon()
                raise JobRefused(
                    504,
                    "deadline-passed",
                    "the daemon that the job was forwarded to did not respond in time",
                    "unknown",
                )
            except EndpointError as error:
                if error.sent:
                    raise JobRefused(
                        502,
                        "forwarding-failed",
                        f"the response of the other daemon was lost: {error.reason}",
                        "unknown",
                    ) from error
        raise JobRefused(
            503,
            "not-a-member",
            "this daemon may not start jobs now, and no live member accepted the job",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _start_attempt(self, submission: Submission, address: str, deadline: float) -> Attempt:
        headers = [*submission.headers, (b"forwarded-job", submission.job_id.encode())]
        if submission.secret:
            headers.append((b"authorization", b"Bearer " + submission.secret.encode()))
        time_left = max(0.0, deadline - self.clock.now())
        headers.append((b"time-left", b"%.3f" % time_left))
        attempt = Attempt(
            address,
            f"/queues/{submission.queue}/jobs",
            headers,
            submission.body,
            deadline,
            True,
            time_left,
            self.clock,
            self.connections,
            lambda: None,
            lambda ended: None,
        )
        start_guarded(self.tasks, attempt.run)
        return attempt
