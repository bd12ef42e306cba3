"""The membership view: the members and the permits granted to each, as kept in the store."""

from __future__ import annotations

import enum
import json
from collections.abc import Mapping

import attrs
import cattrs

from ..exception import ConfigError
from ..json_decoding import parse_json

__all__ = [
    "Grant",
    "MemberInfo",
    "Quarantine",
    "RecordLoss",
    "View",
    "ViewState",
    "decode_view",
    "encode_view",
]


class ViewState(enum.StrEnum):
    """Whether reports for a view are still being collected or the view is in force."""

    COLLECTING = "collecting"
    OPEN = "open"


@attrs.frozen
class MemberInfo:
    """A member of the view.

    :param member: unique name of one run of a daemon
    :param vm: name of its VM in the platform's VM list
    :param data_centre: data centre that it runs in
    :param peer_address: ``host:port`` for calls from other daemons
    :param caller_address: ``host:port`` for jobs forwarded to it
    :param incarnation: how many times the membership was handed over to another daemon
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
    :param member: member that receives the permits
    :param permits: number of permits, by resource
    """

    serial: int
    member: str
    permits: Mapping[str, int]


@attrs.frozen
class Quarantine:
    """Permits that a lost member may still be using.

    :param serial: identifier, unique within this and later epochs
    :param permits: number of permits, by resource
    :param seconds: how long the permits stay unused after a member first sees the quarantine
    :param lost: members that may use them; once all of them report again, the quarantine ends
    """

    serial: int
    permits: Mapping[str, int]
    seconds: float
    lost: tuple[str, ...] = ()


@attrs.frozen
class RecordLoss:
    """Idempotency key records that were possibly lost with members of an earlier epoch.

    :param serial: identifier, unique within this and later epochs
    :param members: all members of the earlier epoch, as name and data centre
    :param lost: names of the members that were lost
    :param seconds: longest time that their records could last after a member first sees this
    """

    serial: int
    members: tuple[tuple[str, str], ...]
    lost: tuple[str, ...]
    seconds: float


@attrs.frozen
class View:
    """Members, limits and grants of one epoch.

    :param epoch: number of the epoch
    :param state: whether the epoch is open or reports are being collected
    :param members: members of the epoch
    :param previous: members of the last open epoch
    :param proposer: member that collects the reports
    :param lost: members of the last open epoch that were excluded before finishing their jobs
    :param left: members of the last open epoch that finished their jobs and left
    :param limits: total number of permits, by resource
    :param old_limits: limits of the last open epoch
    :param grants: permits added in this epoch
    :param quarantine: permits that no member may use yet
    :param shadows: losses of key records that may still matter
    :param excess: permits in use beyond the limits, which lapse when their jobs end
    :param serial: last serial number assigned to a grant, quarantine or record loss
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
    shadows: tuple[RecordLoss, ...] = ()
    excess: Mapping[str, int] = attrs.field(factory=dict)
    serial: int = 0

    @property
    def names(self) -> frozenset[str]:
        """Return the names of the members."""
        return frozenset(info.member for info in self.members)

    def find(self, member: str) -> MemberInfo | None:
        """Return the member with a name, or None."""
        return next((info for info in self.members if info.member == member), None)


_converter = cattrs.Converter(forbid_extra_keys=True)


def encode_view(view: View) -> bytes:
    """Return the stored form of a view."""
    return json.dumps(_converter.unstructure(view), separators=(",", ":")).encode()


def decode_view(data: bytes) -> View:
    """Return the view in its stored form.

    :raises ConfigError: if the value is not a valid view
    """
    try:
        return _converter.structure(parse_json(data), View)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise ConfigError(f"invalid view: {error}") from None
