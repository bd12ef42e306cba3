"""Changes of a pool's state, which fail as a whole.

A change that raises may have been made in part: a run may have been removed whose task has not been
queued again. Orders that are planned from such a state could start a task twice, so nothing is read
from it or stored of it any more, and the pool's owner ends. The next one reads what is stored.
"""

from __future__ import annotations

import functools
from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING, Any, Concatenate, ParamSpec, TypeVar

from ..batch import Job, TaskId
from ..exception import PoolStateError
from ..workers import (
    EndedRun,
    ListedRun,
    ListedWorker,
    PaceOrder,
    Run,
    StartOrder,
    StopOrder,
    Worker,
)

if TYPE_CHECKING:
    from .state import PoolState

__all__ = ["changes_state", "find_culprit"]

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


def changes_state(
    function: Callable[Concatenate[PoolState, Parameters], Result],
) -> Callable[Concatenate[PoolState, Parameters], Result]:
    """Mark a function that changes a pool's state: an unexpected error makes the state unusable.

    The function raises :class:`~limpetpulley.exception.PoolStateError` then, and whenever it is
    called again.
    """

    @functools.wraps(function)
    def change(
        pool_state: PoolState, /, *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> Result:
        if pool_state.failure is not None:
            raise pool_state.failure
        try:
            return function(pool_state, *args, **kwargs)
        except PoolStateError:
            raise
        except Exception as error:
            worker_id, job_id = find_culprit(error.__traceback__)
            failure = PoolStateError(f"{function.__name__}: {error!r}", worker_id, job_id)
            # The log tells where the first error was raised.
            failure.__cause__ = error
            pool_state.failure = failure
            pool_state.on_failure(failure)
            raise failure from error

    return change


def find_culprit(traceback: TracebackType | None) -> tuple[str, str]:
    """Return the worker and the job that the innermost frames of an error have in hand.

    :returns: their identifiers, empty for none
    """
    worker_id = job_id = ""
    frames = []
    while traceback is not None:
        frames.append(traceback.tb_frame)
        traceback = traceback.tb_next
    for frame in reversed(frames):
        for value in frame.f_locals.values():
            job_id = job_id or _job_of(value)
            worker_id = worker_id or _worker_of(value)
    return worker_id, job_id


def _worker_of(value: Any) -> str:
    if isinstance(value, Worker | ListedWorker | StartOrder | StopOrder | PaceOrder | Run):
        return value.worker_id
    return ""


def _job_of(value: Any) -> str:
    if isinstance(value, Job):
        return value.key.job_id
    if isinstance(value, TaskId):
        return value.job_id
    if isinstance(value, Run | ListedRun | EndedRun | StartOrder | StopOrder | PaceOrder):
        return value.task.job_id
    return ""
