"""What is learned about runs and workers, told as it happens."""

from __future__ import annotations

import attrs

from ..batch import TaskId

__all__ = ["Change"]


@attrs.frozen
class Change:
    """Something that was learned about a run, for the log.

    :param what: short name of the event
    """

    what: str
    worker_id: str
    task: TaskId | None = None
    number: int = 0
    detail: str = ""
