"""Errors that no code expects, as they are told in the log."""

from __future__ import annotations

import pathlib
import traceback
from collections.abc import Callable
from typing import Any

import attrs

from ..exception import leaf_exceptions
from ..store import Event
from ..telemetry import EventLog

__all__ = [
    "NOTHING_SET_ASIDE",
    "OwnerFailure",
    "SetAside",
    "describe_error",
    "describe_task",
    "log_untaken",
]

PACKAGE_FOLDER = str(pathlib.Path(__file__).parents[1])
#: most frames of this package that are told of an error
MAX_FRAMES = 6
#: longest text of an error, in characters
MAX_REASON_LENGTH = 300


@attrs.frozen
class OwnerFailure:
    """Why an owner ended although its claim was valid.

    :param reason: the error
    :param worker_id: worker whose reply or order was being applied, empty for none
    :param job_id: job that was being changed, empty for none
    :param is_refusal: whether the worker has refused the token of a valid claim
    """

    reason: str
    worker_id: str = ""
    job_id: str = ""
    is_refusal: bool = False


@attrs.frozen
class SetAside:
    """What an owner leaves alone, because owners before it have failed on it again and again.

    :param jobs: identifiers of jobs, whose state is not known then
    :param workers: identifiers of workers
    :param after_refusal: whether the claim was made because a worker had refused the last token
    """

    jobs: frozenset[str] = frozenset()
    workers: frozenset[str] = frozenset()
    after_refusal: bool = False

    def __bool__(self) -> bool:
        """Return whether anything is left alone."""
        return bool(self.jobs or self.workers)


NOTHING_SET_ASIDE = SetAside()


def describe_error(error: BaseException) -> dict[str, object]:
    """Return the log fields of an error: the first one of a group, and where it was raised."""
    errors = leaf_exceptions(error) if isinstance(error, BaseExceptionGroup) else [error]
    frames = [
        f"{frame.name}:{pathlib.Path(frame.filename).name}:{frame.lineno}"
        for frame in traceback.extract_tb(errors[0].__traceback__)
        if frame.filename.startswith(PACKAGE_FOLDER)
    ]
    fields: dict[str, object] = {
        "reason": repr(errors[0])[:MAX_REASON_LENGTH],
        "error": type(errors[0]).__name__,
        "trace": frames[-MAX_FRAMES:],
    }
    if len(errors) > 1:
        fields["errors"] = len(errors)
    return fields


def describe_task(function: Callable[..., Any]) -> str:
    """Return the name of a task's function, for the log."""
    return getattr(function, "__qualname__", repr(function))


def log_untaken(log: EventLog, event: Event, error: Exception) -> None:
    """Log that the consumer of a mirror did not take a change, which is passed to it again."""
    log.write("change-not-taken", key=event.key, revision=event.revision, **describe_error(error))
