"""The view: who the members are and what each was granted, as kept in the store."""

from __future__ import annotations

import enum
import json
from collections.abc import Mapping

import attrs
import cattrs

from ..exception import ConfigError

__all__ = [
    "Grant",
    "MemberInfo",
    "Quarantine",
    "Shadow",
    "View",
    "ViewState",
    "decode_view",
    "encode_view",
]


class ViewState(enum.StrEnum):
    """Whether a view is being prepared or in force."""

    COLLECTING = "collecting"
    OPEN = "open"


@attrs.frozen
class MemberInfo:
    """A member.

    :param member: unique name of this run of a daemon
    :param vm: name of its VM in the platform's list
    :param data_centre: where it runs
    :param peer_address: ``host:port`` for other daemons
    :param caller_address: ``host:port`` for jobs passed on to it
    :param incarnation: counts the daemons that the membership was handed on to
    """

    member: str
    vm: str
    data_centre: str
    peer_address: str
    caller_address: str
    incarnation: int = 0


@attrs.frozen
class Grant:
    """Permits added to one member in an open epoch.

    :param serial: number of the grant within the epoch
    :param member: who gets them
    :param permits: how many, by resource
    """

    serial: int
    member: str
    permits: Mapping[str, int]


@attrs.frozen
class Quarantine:
    """Permits that a lost member may still be using.

    :param serial: identifier within the epoch and those after it
    :param permits: how many, by resource
    :param seconds: how long they stay unused after a member first sees this
    :param lost: members that may use them; once all report again, none are in doubt
    """

    serial: int
    permits: Mapping[str, int]
    seconds: float
    lost: tuple[str, ...] = ()


@attrs.frozen
class Shadow:
    """Members of an earlier epoch, some of whom were lost with their records of keys.

    :param serial: identifier
    :param members: all of them, as name and data centre
    :param lost: names of the lost ones
    :param seconds: how long their records could last after a member first sees this
    """

    serial: int
    members: tuple[tuple[str, str], ...]
    lost: tuple[str, ...]
    seconds: float


@attrs.frozen
class View:
    """Members, limits and grants at one epoch.

    :param epoch: number of the epoch
    :param state: whether it is open
    :param members: the members that stay
    :param previous: members of the last open epoch
    :param proposer: member that collects the reports
    :param lost: members of the last open epoch that were left out without having finished
    :param left: members of the last open epoch that finished and left
    :param limits: permits that exist in all, by resource
    :param old_limits: limits of the last open epoch
    :param grants: permits added in this epoch
    :param quarantine: permits that nobody may use yet
    :param shadows: earlier members whose records may be missing
    :param excess: permits in use beyond the limits, which lapse with their jobs
    :param serial: last serial number given
    """

    epoch: int
    state: ViewState
    members: tuple[MemberInfo, ...]
    previous: tuple[MemberInfo, ...] = ()
    proposer: str = ""
    lost: tuple[str, ...] = ()
    left: tuple[str, ...] = ()
    limits: Mapping[str, int] = attrs.field(factory=dict)
    old_limits: Mapping[str, int] = attrs.field(factory=dict)
    grants: tuple[Grant, ...] = ()
    quarantine: tuple[Quarantine, ...] = ()
    shadows: tuple[Shadow, ...] = ()
    excess: Mapping[str, int] = attrs.field(factory=dict)
    serial: int = 0

    @property
    def names(self) -> frozenset[str]:
        """Return the members' names."""
        return frozenset(info.member for info in self.members)

    def find(self, member: str) -> MemberInfo | None:
        """Return a member by name."""
        return next((info for info in self.members if info.member == member), None)


_converter = cattrs.Converter(forbid_extra_keys=True)


def encode_view(view: View) -> bytes:
    """Return the store's value for a view."""
    return json.dumps(_converter.unstructure(view), separators=(",", ":")).encode()


def decode_view(data: bytes) -> View:
    """Return the view for a store's value.

    :raises ConfigError: if it cannot be read
    """
    try:
        return _converter.structure(json.loads(data), View)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise ConfigError(f"unreadable view: {error}") from None
