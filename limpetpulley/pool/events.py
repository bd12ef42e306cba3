"""Events of runs and workers, reported for the log."""

from __future__ import annotations

import attrs

from ..batch import TaskId

__all__ = ["PoolEvent"]


@attrs.frozen
class PoolEvent:
    """Event of a worker or one of its runs, for the log.

    :param event: name of the event in the log
    :param number: run number, 0 for an event of the worker itself
    """

    event: str
    worker_id: str
    task: TaskId | None = None
    number: int = 0
    detail: str = ""
