"""Exceptions raised by the package.

Every error that a user of the package may want to handle derives from
:class:`LimpetpulleyError`. Problems that are found together are raised as one exception group.
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
    "WorkerFault",
    "StoreFault",
    "PoolStateError",
    "NotOwnerError",
    "HttpError",
    "AdviceError",
    "leaf_exceptions",
]


class LimpetpulleyError(Exception):
    """Base class of the errors raised by the package."""


class SettingsError(LimpetpulleyError):
    """A flag or an environment variable has an invalid value."""


class ConfigError(LimpetpulleyError):
    """A configuration object is invalid, or objects are inconsistent with each other."""


class InvalidConfig(ExceptionGroup[ConfigError]):  # noqa: N818
    """All problems of one configuration."""

    def derive(self, excs):
        """Return a group of the same class with a subset of the problems."""
        return InvalidConfig(self.message, excs)


class ConflictError(LimpetpulleyError):
    """Another operator changed an object after it was read.

    :param key: the object, as ``kind/name``
    :param seen: revision that the rejected change was based on, 0 for an absent object
    :param current: revision in force, 0 for an absent object
    :param changed_by: operator who wrote the revision in force, empty if unknown
    :param changed_at: time of that write in ISO 8601, empty if unknown
    """

    def __init__(
        self, key: str, seen: int, current: int, changed_by: str = "", changed_at: str = ""
    ):
        self.key = key
        self.seen = seen
        self.current = current
        self.changed_by = changed_by
        self.changed_at = changed_at
        author = f" by {changed_by} at {changed_at}" if changed_by else ""
        super().__init__(
            f"{key} was changed{author}: revision {current} is in force, yours is {seen}"
        )


class StoreError(LimpetpulleyError):
    """The platform's store rejected a request."""


class StoreUnavailable(StoreError):  # noqa: N818
    """The store did not respond; a write may or may not have taken effect."""


class ChangeUnknown(StoreUnavailable):  # noqa: N818
    """A change was sent to the store, and whether it took effect is unknown."""


class PlatformError(LimpetpulleyError):
    """The platform's VM service gave no usable response."""


class StoreRefused(StoreUnavailable):  # noqa: N818
    """The store refused a request without executing it."""


class PeerError(LimpetpulleyError):
    """Another daemon gave no usable response."""


class PeerUnreachable(PeerError):  # noqa: N818
    """No connection to another daemon could be made, so that no message was delivered."""


class PermitError(LimpetpulleyError):
    """More permits were requested than are free."""


class JobRefused(LimpetpulleyError):  # noqa: N818
    """A job is refused, or ends without a response from an endpoint.

    :param status: HTTP status of the response
    :param reason: short machine-readable reason
    :param detail: human-readable explanation
    :param run: ``no`` if the job certainly did not run, ``unknown`` otherwise
    :param retry_after: seconds after which the caller may retry, None if a retry is pointless
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
    """An attempt to run a job on an endpoint failed.

    :param reason: short machine-readable reason
    :param sent: whether any part of the request may have reached the endpoint
    """

    def __init__(self, reason: str, sent: bool):
        self.reason = reason
        self.sent = sent
        super().__init__(reason)


class RecordError(LimpetpulleyError):
    """A stored record or a received message cannot be decoded."""


class HttpError(LimpetpulleyError):
    """An HTTP request got no response; it may have been executed."""


class AdviceError(LimpetpulleyError):
    """The advice service did not respond."""


class WorkerError(LimpetpulleyError):
    """A worker did not respond; it may have executed the order, or may still execute it."""


class WorkerFault(WorkerError):  # noqa: N818
    """A call to a worker raised an error that its interface does not name."""


class StoreFault(StoreUnavailable):  # noqa: N818
    """A call to the store raised an error that its interface does not name."""


class PoolStateError(LimpetpulleyError):
    """A change of a pool's state failed midway, so that the state cannot be relied on.

    :param worker_id: worker whose reply or order was being applied, empty for none
    :param job_id: job that was being changed, empty for none
    """

    def __init__(self, text: str, worker_id: str = "", job_id: str = ""):
        self.worker_id = worker_id
        self.job_id = job_id
        super().__init__(text)


class NotOwnerError(LimpetpulleyError):
    """This daemon does not own the pool, or no longer owns it."""


def leaf_exceptions(group: BaseExceptionGroup) -> list[BaseException]:
    """Return the leaf exceptions of an exception group, including those of nested groups."""
    leaves: list[BaseException] = []
    for error in group.exceptions:
        leaves += leaf_exceptions(error) if isinstance(error, BaseExceptionGroup) else [error]
    return leaves
