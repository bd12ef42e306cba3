"""Configuration objects, as operators define them."""

from __future__ import annotations

import enum
import re
from datetime import datetime
from typing import Any, ClassVar

import attrs
import cattrs

from ..exception import ConfigError

__all__ = [
    "KINDS",
    "AccessKey",
    "Budget",
    "ConfigObject",
    "Pool",
    "Queue",
    "Team",
    "Vm",
    "VmPhase",
    "Wave",
    "WaveState",
    "structure_object",
    "unstructure_object",
]

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")
MAX_WEIGHT = 1000.0
MAX_COUNT = 1_000_000
MAX_MEMORY_MB = 1 << 40
MAX_SECONDS = 7 * 24 * 3600.0


def _check_name(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise ConfigError(
            f"{attribute.name} {value!r}: use 1 to 63 lower-case letters, digits, '.' or '-', "
            "starting and ending with a letter or digit"
        )


def _check_optional_name(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    if value:
        _check_name(instance, attribute, value)


def _range_validator(minimum: float, maximum: float):
    def check_range(instance: Any, attribute: attrs.Attribute, value: float) -> None:
        if isinstance(value, bool) or not minimum <= value <= maximum:
            raise ConfigError(
                f"{attribute.name} {value!r}: must be from {minimum:g} to {maximum:g}"
            )

    return check_range


def _check_digest(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    if not isinstance(value, str) or not re.fullmatch(r"[0-9a-f]{64}", value):
        raise ConfigError("digest: must be the SHA-256 of the key in 64 hexadecimal digits")


def _check_time_of_day(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    if value and not re.fullmatch(r"([01]\d|2[0-3]):[0-5]\d", value):
        raise ConfigError(f"{attribute.name} {value!r}: must be HH:MM, in UTC")


def _check_timestamp(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    if not value:
        return
    try:
        has_time_zone = datetime.fromisoformat(value).tzinfo is not None
    except ValueError:
        has_time_zone = False
    if not has_time_zone:
        raise ConfigError(f"{attribute.name} {value!r}: must be ISO 8601 with a time zone")


class VmPhase(enum.StrEnum):
    """Phase of a VM in its pool."""

    JOINED = "joined"
    LEAVING = "leaving"
    DRAINED = "drained"
    REBOOTING = "rebooting"


class WaveState(enum.StrEnum):
    """State of a maintenance wave: the one the operators requested, or how the wave ended."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    STOPPED = "stopped"
    DONE = "done"


@attrs.frozen
class Team:
    """A group of submitters with a weighted share and upper limits.

    :param name: unique name
    :param weight: weight of its share, relative to other teams, when a pool is full
    :param limit: maximum number of concurrently running jobs across the fleet
    :param max_waiting: maximum number of jobs waiting at one daemon
    :param processors: maximum number of cores used at once by the tasks of its jobs of steps, 0
        for no limit
    :param memory_mb: maximum memory used at once by these tasks, in megabytes, 0 for no limit
    :param accelerators: maximum number of accelerators used at once by these tasks, 0 for no limit
    """

    kind: ClassVar[str] = "team"
    name: str = attrs.field(validator=_check_name)
    weight: float = attrs.field(default=1.0, validator=_range_validator(0.001, MAX_WEIGHT))
    limit: int = attrs.field(default=1, validator=_range_validator(0, MAX_COUNT))
    max_waiting: int = attrs.field(default=200, validator=_range_validator(0, MAX_COUNT))
    processors: float = attrs.field(default=0.0, validator=_range_validator(0, MAX_COUNT))
    memory_mb: int = attrs.field(default=0, validator=_range_validator(0, MAX_MEMORY_MB))
    accelerators: int = attrs.field(default=0, validator=_range_validator(0, MAX_COUNT))


@attrs.frozen
class AccessKey:
    """A key that authorizes a team to submit jobs; only its digest is stored.

    :param name: unique name
    :param team: team that the key belongs to
    :param digest: SHA-256 of the secret, in hexadecimal
    :param withdrawn: whether the key is revoked
    """

    kind: ClassVar[str] = "key"
    name: str = attrs.field(validator=_check_name)
    team: str = attrs.field(validator=_check_name)
    digest: str = attrs.field(validator=_check_digest)
    withdrawn: bool = False


@attrs.frozen
class Pool:
    """A set of VMs that serve the same queues.

    :param name: unique name
    :param spare: whether its VMs may be lent to other pools
    :param min_vms: minimum number of VMs that planned maintenance and moves leave available
    :param off: whether it is a standby pool, whose VMs are off until another pool for jobs of steps
        needs them
    """

    kind: ClassVar[str] = "pool"
    name: str = attrs.field(validator=_check_name)
    spare: bool = False
    min_vms: int = attrs.field(default=0, validator=_range_validator(0, MAX_COUNT))
    off: bool = False


@attrs.frozen
class Queue:
    """A queue to which jobs are submitted.

    :param name: unique name
    :param pool: pool that serves it
    :param path: URL path of its jobs at the endpoint
    :param idempotent: whether a job may safely run more than once
    :param open_to: team that jobs without a key are attributed to; empty if a key is required
    :param run_seconds: declared run time of a job, in seconds
    :param max_seconds: longest deadline that a caller may set for a job, in seconds
    :param steps: whether its jobs are jobs of steps
    :param priority: priority of its jobs of steps; 0 is the highest
    :param max_attempts: number of failed runs of one task after which its job of steps fails
    :param stretch: allowed completion time of a job of steps, as a multiple of the run time of its
        longest chain of steps
    :param latency_seconds: allowance on top of that, in seconds
    """

    kind: ClassVar[str] = "queue"
    name: str = attrs.field(validator=_check_name)
    pool: str = attrs.field(validator=_check_name)
    path: str = attrs.field(default="/")
    idempotent: bool = False
    open_to: str = attrs.field(default="", validator=_check_optional_name)
    run_seconds: float = attrs.field(default=1.0, validator=_range_validator(0.001, MAX_SECONDS))
    max_seconds: float = attrs.field(default=60.0, validator=_range_validator(0.01, MAX_SECONDS))
    steps: bool = False
    priority: int = attrs.field(default=0, validator=_range_validator(0, MAX_COUNT))
    max_attempts: int = attrs.field(default=1, validator=_range_validator(1, MAX_COUNT))
    stretch: float = attrs.field(default=1.0, validator=_range_validator(1, MAX_COUNT))
    latency_seconds: float = attrs.field(default=10.0, validator=_range_validator(0, MAX_SECONDS))

    @path.validator
    def _check_path(self, attribute: attrs.Attribute, value: str) -> None:
        if not re.fullmatch(r"/[A-Za-z0-9._~/-]{0,200}", value):
            raise ConfigError(
                f"path {value!r}: must start with '/' and contain only letters, digits and ._~/-"
            )


@attrs.frozen
class Vm:
    """A VM of the fleet and the endpoint that runs on it.

    :param name: unique name, as in the platform's list
    :param pool: pool that it belongs to
    :param address: ``host:port`` of its endpoint
    :param rack: rack that it is in
    :param data_centre: data centre that it is in
    :param slots: maximum number of concurrent jobs
    :param connections: maximum number of connections that its endpoint accepts
    :param phase: its phase in the pool
    :param wave: maintenance wave for which it is leaving, empty if there is another reason
    :param move_to: pool that it is moving to, empty if it stays
    :param home: pool that lent it, empty if it is in its home pool
    :param maintained_in: name of the last wave that maintained it
    """

    kind: ClassVar[str] = "vm"
    name: str = attrs.field(validator=_check_name)
    pool: str = attrs.field(validator=_check_name)
    address: str = attrs.field()
    rack: str = attrs.field(validator=_check_name)
    data_centre: str = attrs.field(validator=_check_name)
    slots: int = attrs.field(default=8, validator=_range_validator(1, 4096))
    connections: int = attrs.field(default=64, validator=_range_validator(1, 65536))
    phase: VmPhase = VmPhase.JOINED
    wave: str = attrs.field(default="", validator=_check_optional_name)
    move_to: str = attrs.field(default="", validator=_check_optional_name)
    home: str = attrs.field(default="", validator=_check_optional_name)
    maintained_in: str = attrs.field(default="", validator=_check_optional_name)

    @address.validator
    def _check_address(self, attribute: attrs.Attribute, value: str) -> None:
        host, separator, port = str(value).rpartition(":")
        if not separator or not host or not port.isdigit() or not 0 < int(port) < 65536:
            raise ConfigError(f"address {value!r}: must be host:port")


@attrs.frozen
class Budget:
    """A disruption budget that planned work must respect.

    :param name: unique name
    :param scope: ``pool``, ``rack`` or ``data_centre``
    :param target: name of the pool, rack or data centre, or ``*`` for each of them
    :param max_unavailable: maximum number of VMs of the target that may be unavailable at once
    """

    kind: ClassVar[str] = "budget"
    name: str = attrs.field(validator=_check_name)
    scope: str = attrs.field(validator=attrs.validators.in_(("pool", "rack", "data_centre")))
    target: str = "*"
    max_unavailable: int = attrs.field(default=1, validator=_range_validator(0, MAX_COUNT))


@attrs.frozen
class Wave:
    """A maintenance wave over the VMs of some pools.

    :param name: unique name
    :param pools: pools whose VMs are maintained; empty for all pools
    :param state: state that the operators requested, or how the wave ended
    :param max_failures: number of VMs that do not return from maintenance, or fail after it, at
        which the wave stops
    :param window_start: start of the daily window in which the wave may drain VMs, ``HH:MM`` UTC;
        empty for any time
    :param window_end: end of that window, ``HH:MM`` UTC; empty for any time
    :param finish_by: deadline of the wave, ISO 8601 with a time zone; empty for none
    :param reason: why it was stopped; empty if it was not
    """

    kind: ClassVar[str] = "wave"
    name: str = attrs.field(validator=_check_name)
    pools: tuple[str, ...] = ()
    state: WaveState = WaveState.RUNNING
    max_failures: int = attrs.field(default=2, validator=_range_validator(1, MAX_COUNT))
    window_start: str = attrs.field(default="", validator=_check_time_of_day)
    window_end: str = attrs.field(default="", validator=_check_time_of_day)
    finish_by: str = attrs.field(default="", validator=_check_timestamp)
    reason: str = ""


ConfigObject = Team | AccessKey | Pool | Queue | Vm | Budget | Wave

KINDS: dict[str, type] = {cls.kind: cls for cls in (Team, AccessKey, Pool, Queue, Vm, Budget, Wave)}

_converter = cattrs.Converter(forbid_extra_keys=True)


def _structure_plain(value: Any, expected: type) -> Any:
    """Return a value of the expected type, or an int as a float; strings are never converted."""
    if expected is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not expected:
        raise ConfigError(f"{value!r} is not a {expected.__name__}")
    return value


def _structure_enum(value: Any, expected: type[enum.StrEnum]) -> enum.StrEnum:
    if value not in list(expected):
        raise ConfigError(f"{value!r} is not one of {', '.join(expected)}")
    return expected(value)


for plain_type in (str, int, float, bool):
    _converter.register_structure_hook(plain_type, _structure_plain)
for enum_type in (VmPhase, WaveState):
    _converter.register_structure_hook(enum_type, _structure_enum)


def structure_object(kind: str, fields: Any) -> ConfigObject:
    """Build an object of a kind from plain values.

    :param kind: a key of :data:`KINDS`
    :param fields: mapping of field names to plain values
    :raises ConfigError: if the kind is unknown, or a field is missing, unknown or invalid
    """
    cls = KINDS.get(kind)
    if cls is None:
        raise ConfigError(f"unknown kind {kind!r}; expected one of {', '.join(KINDS)}")
    if not isinstance(fields, dict):
        raise ConfigError(f"{kind}: must be a mapping of fields")
    try:
        return _converter.structure(fields, cls)
    except cattrs.BaseValidationError as error:
        messages = cattrs.transform_error(error, format_exception=_format_error)
        raise ConfigError(f"{kind} {fields.get('name', '')}: {'; '.join(messages)}") from None
    except ConfigError as error:
        raise ConfigError(f"{kind} {fields.get('name', '')}: {error}") from None


def _format_error(error: BaseException, expected: type | None) -> str:
    if isinstance(error, KeyError):
        return f"field {error.args[0]} is missing"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return f"unknown fields: {', '.join(sorted(error.extra_fields))}"
    return str(error)


def unstructure_object(value: ConfigObject) -> dict[str, Any]:
    """Return the fields of an object as plain values for JSON.

    >>> unstructure_object(Pool("desk"))
    {'name': 'desk', 'spare': False, 'min_vms': 0, 'off': False}
    """
    return _converter.unstructure(value)
