"""Workers that are said to have ended: what confirms it, and signs of life that contradict it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..workers import Worker
from .events import PoolEvent

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["may_live", "report_sign_of_life"]


def may_live(worker: Worker) -> bool:
    """Return whether a worker may live although a list shows its VM as down.

    A VM that the platform does not reach may be listed so while its worker goes on. The connections
    of a process that has ended are closed by its host; calls to one that is only cut off time out,
    and its runs end with their lease.
    """
    return worker.reconciled and worker.lost_at is None


def report_sign_of_life(
    pool_state: PoolState, worker: Worker, kind: str, now: float, detail: str = ""
) -> None:
    """Report that an ended worker has shown itself in the same life; once for each kind of sign.

    A reply that was on its way when the worker ended is reported too, so the time since then is
    told.

    :param kind: what came from the worker: ``hold``, ``start`` or ``entry``
    :param now: local time, in seconds
    """
    if not worker.ended or kind in worker.signs_after_end:
        return
    worker.signs_after_end.add(kind)
    seconds = now - worker.ended_at
    text = f"{kind} {seconds:.2f} s after its end" if math.isfinite(seconds) else kind
    pool_state.on_event(
        PoolEvent(
            "ended-worker-answers",
            worker.worker_id,
            detail=f"{text}: {detail}" if detail else text,
            life=worker.listed.incarnation,
        )
    )
