"""Transitions from one membership view to the next.

These functions only compute the next view. The caller writes it by compare-and-swap, so that
only one of several daemons that propose a view at once succeeds.
"""

from __future__ import annotations

import zlib
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from .view import Grant, MemberInfo, Quarantine, RecordLoss, View, ViewState

__all__ = [
    "append_grants",
    "divide_permits",
    "initial_view",
    "open_view",
    "propose_view",
    "release_quarantine",
]


def divide_permits(permits: Mapping[str, int], members: Sequence[str]) -> dict[str, dict[str, int]]:
    """Return an even division of permits among members.

    The remainder goes to different members for different resources.

    >>> divide_permits({"team/a": 4}, ["x", "y"])
    {'x': {'team/a': 2}, 'y': {'team/a': 2}}
    """
    parts: dict[str, dict[str, int]] = {member: {} for member in members}
    for resource, count in permits.items():
        share, remainder = divmod(count, len(members))
        offset = zlib.crc32(resource.encode()) % len(members)
        for index, member in enumerate(members):
            part = share + (1 if (index - offset) % len(members) < remainder else 0)
            if part:
                parts[member][resource] = part
    return parts


def initial_view(founder: MemberInfo, limits: Mapping[str, int]) -> View:
    """Return the first view of a fleet, in which one member holds all permits."""
    grants = (Grant(1, founder.member, dict(limits)),)
    return View(
        1,
        ViewState.OPEN,
        (founder,),
        proposer=founder.member,
        limits=dict(limits),
        grants=grants,
        serial=1,
    )


def propose_view(
    view: View,
    proposer: str,
    limits: Mapping[str, int],
    joining: Iterable[MemberInfo] = (),
    lost: Iterable[str] = (),
    leaving: Iterable[str] = (),
) -> View:
    """Return the next view, for which reports are to be collected.

    :param view: the current view, open or itself collecting
    :param proposer: member that is to collect the reports
    :param limits: limits of the new epoch, by resource
    :param joining: daemons to add as members
    :param lost: members to exclude, which may still be running jobs
    :param leaving: members that have finished their jobs and leave
    """
    lost, leaving = set(lost), set(leaving)
    was_open = view.state is ViewState.OPEN
    previous = view.members if was_open else view.previous
    members = {info.member: info for info in view.members if info.member not in lost | leaving}
    members.update((info.member, info) for info in joining)
    previous_names = {info.member for info in previous}
    return View(
        view.epoch + 1,
        ViewState.COLLECTING,
        tuple(sorted(members.values(), key=lambda info: info.member)),
        previous=previous,
        proposer=proposer,
        lost=tuple(sorted((lost | (set() if was_open else set(view.lost))) & previous_names)),
        left=tuple(sorted((leaving | (set() if was_open else set(view.left))) & previous_names)),
        limits=dict(limits),
        old_limits=view.limits if was_open else view.old_limits,
        quarantine=view.quarantine,
        shadows=view.shadows,
        serial=view.serial,
    )


def open_view(
    view: View,
    reports: Mapping[str, Mapping[str, int]],
    quarantine_seconds: float,
    record_seconds: float,
) -> View:
    """Return the open view that follows a collecting view and the reports of all its members.

    :param view: the collecting view
    :param reports: permits that each member reported, by member and resource
    :param quarantine_seconds: longest time that a lost member's jobs may still run
    :param record_seconds: longest time that a lost member's key records could last
    """
    quarantine = _remaining_quarantine(view)
    held = _sum_permits([*reports.values(), *(item.permits for item in quarantine)])
    missing = {
        resource: limit - held[resource]
        for resource, limit in view.limits.items()
        if limit > held[resource]
    }
    excess = {
        resource: count - view.limits.get(resource, 0)
        for resource, count in held.items()
        if count > view.limits.get(resource, 0)
    }
    serial = view.serial + 1
    record_losses, grants = view.shadows, []
    if view.lost:
        quarantine = (*quarantine, Quarantine(serial, missing, quarantine_seconds, view.lost))
        previous = tuple((info.member, info.data_centre) for info in view.previous)
        serial += 1
        record_losses = (*record_losses, RecordLoss(serial, previous, view.lost, record_seconds))
    else:
        for member, permits in divide_permits(missing, sorted(view.names)).items():
            if permits:
                grants.append(Grant(serial, member, permits))
    return attrs.evolve(
        view,
        state=ViewState.OPEN,
        grants=tuple(grants),
        quarantine=quarantine,
        shadows=record_losses,
        excess=excess,
        serial=serial,
        old_limits={},
    )


def _remaining_quarantine(view: View) -> tuple[Quarantine, ...]:
    """Return the quarantines that remain when a collecting view opens.

    A quarantine ends once all its lost members are back: they report what their jobs still use
    and use nothing else, and every later epoch refuses permits that were in transit to or from
    them.
    """
    return tuple(
        item for item in view.quarantine if not item.lost or not view.names.issuperset(item.lost)
    )


def _sum_permits(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: dict[str, int] = defaultdict(int)
    for part in parts:
        for resource, count in part.items():
            total[resource] += count
    return total


def append_grants(view: View, limits: Mapping[str, int]) -> View | None:
    """Return an open view that grants what raised limits add, or None if none was raised.

    Permits that are still in use beyond an earlier, lower limit are not granted again.
    """
    raised = {
        resource: limit - view.limits.get(resource, 0)
        for resource, limit in limits.items()
        if limit > view.limits.get(resource, 0)
    }
    if not raised:
        return None
    added = _deduct_excess(view, raised)
    new_limits = {resource: limits[resource] for resource in raised}
    return _grant(view, added, {**view.limits, **new_limits}, view.quarantine)


def release_quarantine(view: View, serials: Iterable[int]) -> View:
    """Return an open view that grants the permits of some quarantines again.

    :param serials: identifiers of the quarantines and record losses that have ended
    """
    released = set(serials)
    freed_permits = _sum_permits(
        item.permits for item in view.quarantine if item.serial in released
    )
    quarantine = tuple(item for item in view.quarantine if item.serial not in released)
    record_losses = tuple(item for item in view.shadows if item.serial not in released)
    added = _deduct_excess(view, freed_permits)
    return attrs.evolve(_grant(view, added, view.limits, quarantine), shadows=record_losses)


def _deduct_excess(view: View, counts: Mapping[str, int]) -> dict[str, int]:
    """Return permits less those in use beyond the limits when the epoch opened."""
    return {
        resource: count - view.excess.get(resource, 0)
        for resource, count in counts.items()
        if count > view.excess.get(resource, 0)
    }


def _grant(
    view: View,
    added: Mapping[str, int],
    limits: Mapping[str, int],
    quarantine: tuple[Quarantine, ...],
) -> View:
    serial = view.serial + 1
    grants = [
        Grant(serial, member, permits)
        for member, permits in divide_permits(added, sorted(view.names)).items()
        if permits
    ]
    return attrs.evolve(
        view,
        limits=dict(limits),
        grants=(*view.grants, *grants),
        quarantine=quarantine,
        serial=serial,
    )
