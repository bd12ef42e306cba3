"""Exceptions raised by the package.

Every error that a caller of the package may want to handle derives from
:class:`LimpetpulleyError`. Several problems that are found together are raised as one
exception group.
"""

from __future__ import annotations

__all__ = [
    "LimpetpulleyError",
    "SettingsError",
    "ConfigError",
    "InvalidConfig",
    "ConflictError",
    "StoreError",
    "StoreUnavailable",
    "StoreRefused",
    "ChangeUnknown",
    "PlatformError",
    "PeerError",
    "PeerUnreachable",
    "PermitError",
    "JobRefused",
    "EndpointError",
    "RecordError",
    "WorkerError",
    "NotOwnerError",
    "HttpError",
    "AdviceError",
    "leaves",
]


class LimpetpulleyError(Exception):
    """Base class of the errors raised by the package."""


class SettingsError(LimpetpulleyError):
    """A flag or an environment variable has a value that is not allowed."""


class ConfigError(LimpetpulleyError):
    """One problem in a configuration object or between objects."""


class InvalidConfig(ExceptionGroup[ConfigError]):  # noqa: N818
    """All problems found in one configuration."""

    def derive(self, excs):
        """Return a group of the same class for a part of the problems."""
        return InvalidConfig(self.message, excs)


class ConflictError(LimpetpulleyError):
    """Another operator changed an object after it was read.

    :param key: the object, as ``kind/name``
    :param seen: the revision that the change was based on, 0 for an absent object
    :param current: the revision in force, 0 for an absent object
    :param changed_by: the operator that made the revision in force, if known
    :param changed_at: when that was, as ISO 8601 text, if known
    """

    def __init__(
        self, key: str, seen: int, current: int, changed_by: str = "", changed_at: str = ""
    ):
        self.key = key
        self.seen = seen
        self.current = current
        self.changed_by = changed_by
        self.changed_at = changed_at
        who = f" by {changed_by} at {changed_at}" if changed_by else ""
        super().__init__(f"{key} was changed{who}: revision {current} is in force, yours is {seen}")


class StoreError(LimpetpulleyError):
    """The platform's store refused a call."""


class StoreUnavailable(StoreError):  # noqa: N818
    """The store gave no answer; a write may or may not have taken effect."""


class ChangeUnknown(StoreUnavailable):  # noqa: N818
    """A change was sent to the store, and whether it took effect could not be settled."""


class PlatformError(LimpetpulleyError):
    """The platform's list or controls gave no usable answer."""


class StoreRefused(StoreUnavailable):  # noqa: N818
    """The store turned a call away and did nothing."""


class PeerError(LimpetpulleyError):
    """Another daemon gave no usable answer."""


class PeerUnreachable(PeerError):  # noqa: N818
    """Another daemon could not be connected to, so that it got no message."""


class PermitError(LimpetpulleyError):
    """More permits were asked for than are held free."""


class JobRefused(LimpetpulleyError):  # noqa: N818
    """A job is answered without the endpoint's answer.

    :param status: HTTP status of the answer
    :param reason: short machine-readable reason
    :param detail: sentence for people
    :param run: ``no`` if the job did certainly not run, ``unknown`` otherwise
    :param retry_after: seconds after which the caller may try again, if it makes sense
    """

    def __init__(
        self,
        status: int,
        reason: str,
        detail: str,
        run: str = "no",
        retry_after: float | None = None,
    ):
        self.status = status
        self.reason = reason
        self.detail = detail
        self.run = run
        self.retry_after = retry_after
        super().__init__(detail)


class EndpointError(LimpetpulleyError):
    """An attempt at an endpoint failed.

    :param reason: short machine-readable reason
    :param sent: whether any byte of the request may have reached the endpoint
    """

    def __init__(self, reason: str, sent: bool):
        self.reason = reason
        self.sent = sent
        super().__init__(reason)


class RecordError(LimpetpulleyError):
    """A record in the store, or a message from outside, cannot be read."""


class HttpError(LimpetpulleyError):
    """An HTTP call got no answer; the request may have been carried out."""


class AdviceError(LimpetpulleyError):
    """The advice service gave no answer."""


class WorkerError(LimpetpulleyError):
    """A worker gave no answer; the order may have been carried out, or may be later."""


class NotOwnerError(LimpetpulleyError):
    """This daemon does not own the pool, or owns it no longer."""


def leaf_exceptions(group: BaseExceptionGroup) -> list[BaseException]:
    """Return the errors of a group and of the groups within it."""
    found: list[BaseException] = []
    for error in group.exceptions:
        found += leaf_exceptions(error) if isinstance(error, BaseExceptionGroup) else [error]
    return found
