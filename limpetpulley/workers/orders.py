"""Orders to workers, and the interface of what carries them."""

from __future__ import annotations

from typing import Protocol

import attrs

from ..batch import TaskId
from .state import HoldReply, ListedWorker, Run, StartOutcome

__all__ = ["PaceOrder", "StartOrder", "StartReply", "StopOrder", "OrderSender"]


@attrs.frozen
class StartOrder:
    """Start a run.

    :param checkpoint: progress to go on from, empty for none
    :param ticket: ticket of the advice service, empty for none
    """

    worker_id: str
    task: TaskId
    number: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class StopOrder:
    """Stop a run; one that is not there yet is then rejected for good."""

    worker_id: str
    task: TaskId
    number: int

    @classmethod
    def of(cls, run: Run) -> StopOrder:
        """Return the order to stop a run."""
        return cls(run.worker_id, run.task, run.number)


@attrs.frozen
class PaceOrder:
    """Let a run work at a part of its speed, in percent."""

    worker_id: str
    task: TaskId
    number: int
    percent: int


@attrs.frozen
class StartReply:
    """A worker's answer to a start, with its time."""

    outcome: StartOutcome
    worker_seconds: float


class OrderSender(Protocol):
    """Carries orders to workers.

    Every call raises :class:`~limpetpulley.exception.WorkerError` when no answer came; the order
    may then have been carried out, or may be later. Another owner's newer token raises
    :class:`~limpetpulley.exception.NotOwnerError`.
    """

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run that may live until a worker time."""

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run; return the worker's time."""

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set a run's speed; return the worker's time."""

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ends and return what runs and what has ended.

        :param acknowledged: position up to which ends may be forgotten
        :param until_seconds: worker time that runs may live to, None to leave it
        :param wait_seconds: longest time to wait for an end
        """
