"""Events of runs and workers, reported for the log."""

from __future__ import annotations

import attrs

from ..batch import TaskId

__all__ = ["EndPositions", "LeaseFigures", "PoolEvent"]


@attrs.frozen
class EndPositions:
    """How far the ends that a worker has listed were processed and stored.

    :param processed_through: position of the last end that was processed
    :param stored_through: position up to which the ends were stored and acknowledged
    :param unstored: number of processed ends whose progress is not stored
    """

    processed_through: int
    stored_through: int
    unstored: int


@attrs.frozen
class LeaseFigures:
    """What an owner counts with of the lease of a worker, by the worker's clock.

    :param worker_seconds: the worker's time in its last reply, None before the first
    :param lease_seconds: lease after that reply, in seconds
    :param known_seconds: time from the incarnation's first list for this owner to that reply, in
        seconds, None before the first list
    """

    worker_seconds: float | None
    lease_seconds: float | None
    known_seconds: float | None


@attrs.frozen
class PoolEvent:
    """Event of a worker or one of its runs, for the log.

    :param event: name of the event in the log
    :param number: run number, 0 for an event of the worker itself
    :param life: incarnation of the worker that the event is about, 0 if it is not known
    :param next_life: incarnation that has replaced it, 0 if none has or it is not known
    :param position: position of an end in the worker's list, 0 for other events
    :param ends: the worker's ends before it was removed or a run on it was dropped
    :param reason: the proof that the run is over, for a run that was dropped
    :param lease: the worker's lease as it is counted, for a run that was dropped
    """

    event: str
    worker_id: str
    task: TaskId | None = None
    number: int = 0
    detail: str = ""
    life: int = 0
    next_life: int = attrs.field(default=0, kw_only=True)
    position: int = 0
    ends: EndPositions | None = None
    reason: str = attrs.field(default="", kw_only=True)
    lease: LeaseFigures | None = attrs.field(default=None, kw_only=True)
