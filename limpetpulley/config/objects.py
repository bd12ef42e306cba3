"""Configuration objects as operators write them."""

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


def _range(low: float, high: float):
    def check(instance: Any, attribute: attrs.Attribute, value: float) -> None:
        if isinstance(value, bool) or not low <= value <= high:
            raise ConfigError(f"{attribute.name} {value!r}: must be from {low:g} to {high:g}")

    return check


def _check_digest(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    if not isinstance(value, str) or not re.fullmatch(r"[0-9a-f]{64}", value):
        raise ConfigError("digest: must be the SHA-256 of the key in 64 hexadecimal digits")


def _check_time_of_day(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    if value and not re.fullmatch(r"([01]\d|2[0-3]):[0-5]\d", value):
        raise ConfigError(f"{attribute.name} {value!r}: must be HH:MM, in UTC")


def _check_instant(instance: Any, attribute: attrs.Attribute, value: str) -> None:
    if not value:
        return
    try:
        known_zone = datetime.fromisoformat(value).tzinfo is not None
    except ValueError:
        known_zone = False
    if not known_zone:
        raise ConfigError(f"{attribute.name} {value!r}: must be ISO 8601 with a time zone")


class VmPhase(enum.StrEnum):
    """Where a VM stands in its pool."""

    JOINED = "joined"
    LEAVING = "leaving"
    DRAINED = "drained"
    REBOOTING = "rebooting"


class WaveState(enum.StrEnum):
    """What the operators want of a maintenance wave, or how it ended."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    STOPPED = "stopped"
    DONE = "done"


@attrs.frozen
class Team:
    """A group of submitters with a share and an upper limit.

    :param name: unique name
    :param weight: share relative to the other teams when a pool is full
    :param limit: most jobs running at once across the fleet
    :param max_waiting: most jobs waiting at one daemon
    :param processors: most cores that its tasks of jobs of steps use at once, 0 for no limit
    :param memory_mb: most memory that they use at once, 0 for no limit
    :param accelerators: most accelerators that they use at once, 0 for no limit
    """

    kind: ClassVar[str] = "team"
    name: str = attrs.field(validator=_check_name)
    weight: float = attrs.field(default=1.0, validator=_range(0.001, MAX_WEIGHT))
    limit: int = attrs.field(default=1, validator=_range(0, MAX_COUNT))
    max_waiting: int = attrs.field(default=200, validator=_range(0, MAX_COUNT))
    processors: float = attrs.field(default=0.0, validator=_range(0, MAX_COUNT))
    memory_mb: int = attrs.field(default=0, validator=_range(0, MAX_MEMORY_MB))
    accelerators: int = attrs.field(default=0, validator=_range(0, MAX_COUNT))


@attrs.frozen
class AccessKey:
    """A key with which a team hands in jobs; only its digest is kept.

    :param name: unique name
    :param team: team that the key belongs to
    :param digest: SHA-256 of the secret, hexadecimal
    :param withdrawn: whether the key has stopped working
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
    :param min_vms: fewest VMs that planned work leaves in the pool
    :param off: whether its VMs are off until another pool of jobs of steps needs them
    """

    kind: ClassVar[str] = "pool"
    name: str = attrs.field(validator=_check_name)
    spare: bool = False
    min_vms: int = attrs.field(default=0, validator=_range(0, MAX_COUNT))
    off: bool = False


@attrs.frozen
class Queue:
    """A way in for jobs.

    :param name: unique name
    :param pool: pool that serves it
    :param path: path at the endpoint that runs its jobs
    :param idempotent: whether running a job twice is harmless
    :param open_to: team that jobs without a key run for; empty if a key is needed
    :param run_seconds: declared run time of a job, in seconds
    :param max_seconds: longest time a caller may give a job, in seconds
    :param steps: whether its jobs are jobs of steps
    :param priority: of its jobs of steps; 0 comes first
    :param max_attempts: failed runs of a task after which its job of steps has failed
    :param stretch: allowed factor over the run time of a job's longest chain of steps
    :param latency_seconds: allowed time beyond that, in seconds
    """

    kind: ClassVar[str] = "queue"
    name: str = attrs.field(validator=_check_name)
    pool: str = attrs.field(validator=_check_name)
    path: str = attrs.field(default="/")
    idempotent: bool = False
    open_to: str = attrs.field(default="", validator=_check_optional_name)
    run_seconds: float = attrs.field(default=1.0, validator=_range(0.001, MAX_SECONDS))
    max_seconds: float = attrs.field(default=60.0, validator=_range(0.01, MAX_SECONDS))
    steps: bool = False
    priority: int = attrs.field(default=0, validator=_range(0, MAX_COUNT))
    max_attempts: int = attrs.field(default=1, validator=_range(1, MAX_COUNT))
    stretch: float = attrs.field(default=1.0, validator=_range(1, MAX_COUNT))
    latency_seconds: float = attrs.field(default=10.0, validator=_range(0, MAX_SECONDS))

    @path.validator
    def _check_path(self, attribute: attrs.Attribute, value: str) -> None:
        if not re.fullmatch(r"/[A-Za-z0-9._~/-]{0,200}", value):
            raise ConfigError(f"path {value!r}: must start with '/' and hold plain characters")


@attrs.frozen
class Vm:
    """A machine of the fleet and the endpoint on it.

    :param name: unique name, as in the platform's list
    :param pool: the one pool it belongs to
    :param address: ``host:port`` of its endpoint
    :param rack: rack it stands in
    :param data_centre: data centre it stands in
    :param slots: most jobs it runs at once
    :param connections: most connections it accepts
    :param phase: where it stands in its pool
    :param wave: wave that it is leaving for, empty for another reason
    :param move_to: pool that it is moving to, empty if it stays
    :param home: pool that it was lent by, empty if it is at home
    :param maintained_in: name of the last wave that maintained it
    """

    kind: ClassVar[str] = "vm"
    name: str = attrs.field(validator=_check_name)
    pool: str = attrs.field(validator=_check_name)
    address: str = attrs.field()
    rack: str = attrs.field(validator=_check_name)
    data_centre: str = attrs.field(validator=_check_name)
    slots: int = attrs.field(default=8, validator=_range(1, 4096))
    connections: int = attrs.field(default=64, validator=_range(1, 65536))
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
    """Availability that planned work must leave.

    :param name: unique name
    :param scope: ``pool``, ``rack`` or ``data_centre``
    :param target: name of the pool, rack or data centre, or ``*`` for each of them
    :param max_unavailable: most VMs of the target that may be down at once
    """

    kind: ClassVar[str] = "budget"
    name: str = attrs.field(validator=_check_name)
    scope: str = attrs.field(validator=attrs.validators.in_(("pool", "rack", "data_centre")))
    target: str = "*"
    max_unavailable: int = attrs.field(default=1, validator=_range(0, MAX_COUNT))


@attrs.frozen
class Wave:
    """A maintenance wave over the VMs of some pools.

    :param name: unique name
    :param pools: the pools whose VMs are maintained; empty for all
    :param state: what the operators want, or how it ended
    :param max_failures: VMs that fail to come back, or fail after it, until the wave stops
    :param window_start: time of day from which VMs are taken, ``HH:MM`` UTC; empty for any
    :param window_end: time of day until which VMs are taken, ``HH:MM`` UTC; empty for any
    :param finish_by: when it must be finished, ISO 8601 with zone; empty for any time
    :param reason: why it was stopped, if it was
    """

    kind: ClassVar[str] = "wave"
    name: str = attrs.field(validator=_check_name)
    pools: tuple[str, ...] = ()
    state: WaveState = WaveState.RUNNING
    max_failures: int = attrs.field(default=2, validator=_range(1, MAX_COUNT))
    window_start: str = attrs.field(default="", validator=_check_time_of_day)
    window_end: str = attrs.field(default="", validator=_check_time_of_day)
    finish_by: str = attrs.field(default="", validator=_check_instant)
    reason: str = ""


ConfigObject = Team | AccessKey | Pool | Queue | Vm | Budget | Wave

KINDS: dict[str, type] = {cls.kind: cls for cls in (Team, AccessKey, Pool, Queue, Vm, Budget, Wave)}

_converter = cattrs.Converter(forbid_extra_keys=True)


def _check_type(value: Any, wanted: type) -> Any:
    """Take a plain value as it is; a text is never read as a number or a truth value."""
    if wanted is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not wanted:
        raise ConfigError(f"{value!r} is not a {wanted.__name__}")
    return value


def _check_choice(value: Any, wanted: type[enum.StrEnum]) -> enum.StrEnum:
    if value not in list(wanted):
        raise ConfigError(f"{value!r} is not one of {', '.join(wanted)}")
    return wanted(value)


for plain in (str, int, float, bool):
    _converter.register_structure_hook(plain, _check_type)
for choice in (VmPhase, WaveState):
    _converter.register_structure_hook(choice, _check_choice)


def structure_object(kind: str, fields: Any) -> ConfigObject:
    """Return the object of a kind with the given fields.

    :param kind: a key of :data:`KINDS`
    :param fields: mapping of field names to plain values
    :raises ConfigError: if the kind is unknown or a field is missing, extra or not allowed
    """
    cls = KINDS.get(kind)
    if cls is None:
        raise ConfigError(f"unknown kind {kind!r}; known: {', '.join(KINDS)}")
    if not isinstance(fields, dict):
        raise ConfigError(f"{kind}: must be a mapping of fields")
    try:
        return _converter.structure(fields, cls)
    except cattrs.BaseValidationError as error:
        messages = cattrs.transform_error(error, format_exception=_describe)
        raise ConfigError(f"{kind} {fields.get('name', '')}: {'; '.join(messages)}") from None
    except ConfigError as error:
        raise ConfigError(f"{kind} {fields.get('name', '')}: {error}") from None


def _describe(error: BaseException, wanted: type | None) -> str:
    if isinstance(error, KeyError):
        return f"field {error.args[0]} is missing"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return f"unknown fields: {', '.join(sorted(error.extra_fields))}"
    return str(error)


def unstructure_object(value: ConfigObject) -> dict[str, Any]:
    """Return an object's fields as plain values that JSON can carry.

    >>> unstructure_object(Pool("desk"))
    {'name': 'desk', 'spare': False, 'min_vms': 0, 'off': False}
    """
    return _converter.unstructure(value)
