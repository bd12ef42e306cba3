"""Orders to workers and the interface for sending them."""

from __future__ import annotations

from typing import Protocol

import attrs

from ..batch import TaskId
from .state import HoldReply, ListedWorker, Run, StartOutcome

__all__ = ["OrderSender", "PaceOrder", "StartOrder", "StartReply", "StopOrder"]


@attrs.frozen
class StartOrder:
    """Order to start a run.

    :param number: run number
    :param payload: payload of the task's job
    :param checkpoint: checkpoint to resume from, empty for none
    :param ticket: ticket from the advice service, empty for none
    """

    worker_id: str
    task: TaskId
    number: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class StopOrder:
    """Order to stop a run; a start of this run that arrives later is rejected permanently."""

    worker_id: str
    task: TaskId
    number: int

    @classmethod
    def of(cls, run: Run) -> StopOrder:
        """Return the stop order for a run."""
        return cls(run.worker_id, run.task, run.number)


@attrs.frozen
class PaceOrder:
    """Order to change the speed of a run, to a percentage of full speed."""

    worker_id: str
    task: TaskId
    number: int
    percent: int


@attrs.frozen
class StartReply:
    """A worker's reply to a start order, with the worker's time."""

    outcome: StartOutcome
    worker_seconds: float


class OrderSender(Protocol):
    """Sends orders to workers.

    Every call raises :class:`~limpetpulley.exception.WorkerError` if there is no reply; the order
    may then have been executed, or may still be. If the worker has seen a newer owner's fencing
    token, it raises :class:`~limpetpulley.exception.NotOwnerError`.
    """

    async def start(
        self, worker: ListedWorker, order: StartOrder, token: int, until_seconds: float
    ) -> StartReply:
        """Start a run whose lease ends at a worker time.

        :param token: fencing token of the owner
        :param until_seconds: worker time until which the run may live
        """

    async def stop(self, worker: ListedWorker, order: StopOrder, token: int) -> float:
        """Stop a run and return the worker's time."""

    async def pace(self, worker: ListedWorker, order: PaceOrder, token: int) -> float:
        """Set the speed of a run and return the worker's time."""

    async def hold(
        self,
        worker: ListedWorker,
        token: int,
        acknowledged: int,
        until_seconds: float | None,
        wait_seconds: float,
    ) -> HoldReply:
        """Extend the lease, acknowledge ended runs and return the running and ended runs.

        :param acknowledged: position up to which the worker may discard ended runs
        :param until_seconds: worker time until which runs may live, None to leave it unchanged
        :param wait_seconds: longest time to wait for a run to end, in seconds
        """
