"""A daemon that is told to stop answers each request that it has read before it is killed."""

import anyio
import attrs
import pytest

from ...ownership.daemon import BatchDaemon
from ...telemetry import null_log
from .config_fleet import run_config_scenario

GRACE_SECONDS = 6.0


class LateAnswers:
    """A link on which each answer of the store arrives some seconds later."""

    def __init__(self, link, seconds):
        self.link = link
        self.seconds = seconds

    async def request(self, method, address, target, headers, content, timeout, **callbacks):
        """Return the answer, unless the timeout ends before it arrives."""
        left = max(0.0, timeout - self.seconds)
        answer = await self.link.request(
            method, address, target, headers, content, left, **callbacks
        )
        await anyio.sleep(self.seconds)
        return answer


@attrs.define
class RequestedServer:
    """A server with one request under way, sent just before the server accepts no more.

    :param seconds: time from the request to its answer
    :param ends_at: when the request is answered
    """

    seconds: float
    ends_at: float = 0.0

    def stop(self):
        """Note when the last request is answered."""
        self.ends_at = anyio.current_time() + self.seconds

    @property
    def is_busy(self):
        """Return whether the last request is under way."""
        return anyio.current_time() < self.ends_at


@attrs.frozen
class Timing:
    grace: float = GRACE_SECONDS


@attrs.frozen
class Settings:
    timing: Timing = Timing()


@attrs.frozen
class Process:
    """What a daemon's stop needs of it."""

    node: object
    callers_server: RequestedServer
    log: object = null_log("entry")
    settings: Settings = Settings()


@pytest.mark.parametrize("answer_seconds", [0.0, 0.2, 0.6, 1.0, 1.3])
@pytest.mark.parametrize("request_seconds", [0.1, 1.2, 3.0])
def test_requests_are_not_cut_off_by_a_slow_handover(request_seconds, answer_seconds):
    async def scenario(fleet):
        node = fleet.daemons[fleet.owner_of("desk")].node
        transfers = node.context.store.transfers
        transfers.http = LateAnswers(transfers.http, answer_seconds)
        told_at = fleet.clock.now()
        await BatchDaemon.stop(Process(node, RequestedServer(request_seconds)))
        return fleet.clock.now() - told_at

    assert run_config_scenario(scenario) < GRACE_SECONDS
