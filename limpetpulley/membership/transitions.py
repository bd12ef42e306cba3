"""How one view follows from another.

These functions decide only what the next view is; writing it is a compare-and-swap by the
caller, so of several daemons that decide at once only one succeeds.
"""

from __future__ import annotations

import zlib
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import attrs

from .view import Grant, MemberInfo, Quarantine, Shadow, View, ViewState

__all__ = [
    "append_grants",
    "divide",
    "open_view",
    "propose_view",
    "release_quarantine",
    "initial_view",
]


def divide(permits: Mapping[str, int], members: Sequence[str]) -> dict[str, dict[str, int]]:
    """Return an even division of permits among members.

    What is left over goes to different members for different resources.

    >>> divide({"team/a": 4}, ["x", "y"])
    {'x': {'team/a': 2}, 'y': {'team/a': 2}}
    """
    parts: dict[str, dict[str, int]] = {member: {} for member in members}
    for resource, count in permits.items():
        each, rest = divmod(count, len(members))
        offset = zlib.crc32(resource.encode()) % len(members)
        for index, member in enumerate(members):
            part = each + (1 if (index - offset) % len(members) < rest else 0)
            if part:
                parts[member][resource] = part
    return parts


def initial_view(founder: MemberInfo, limits: Mapping[str, int]) -> View:
    """Return the first view ever: one member holds everything."""
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
    """Return the collecting view that follows a view.

    :param view: the view in force, open or itself collecting
    :param proposer: member that is to collect the reports
    :param limits: limits to reach
    :param joining: daemons that become members
    :param lost: members to leave out that may still be running jobs
    :param leaving: members that have finished and leave
    """
    lost, leaving = set(lost), set(leaving)
    was_open = view.state is ViewState.OPEN
    previous = view.members if was_open else view.previous
    kept = {info.member: info for info in view.members if info.member not in lost | leaving}
    kept.update((info.member, info) for info in joining)
    before = {info.member for info in previous}
    return View(
        view.epoch + 1,
        ViewState.COLLECTING,
        tuple(sorted(kept.values(), key=lambda info: info.member)),
        previous=previous,
        proposer=proposer,
        lost=tuple(sorted((lost | (set() if was_open else set(view.lost))) & before)),
        left=tuple(sorted((leaving | (set() if was_open else set(view.left))) & before)),
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
    """Return the open view that follows from a collecting one and all its reports.

    :param view: the collecting view
    :param reports: permits held, by member and resource
    :param quarantine_seconds: longest time that a lost member's jobs may still run
    :param record_seconds: longest time that a lost member's records of keys could last
    """
    quarantine = _in_doubt(view)
    held = _add_up([*reports.values(), *(item.permits for item in quarantine)])
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
    shadows, grants = view.shadows, []
    if view.lost:
        quarantine = (*quarantine, Quarantine(serial, missing, quarantine_seconds, view.lost))
        members = tuple((info.member, info.data_centre) for info in view.previous)
        serial += 1
        shadows = (*shadows, Shadow(serial, members, view.lost, record_seconds))
    else:
        for member, permits in divide(missing, sorted(view.names)).items():
            if permits:
                grants.append(Grant(serial, member, permits))
    return attrs.evolve(
        view,
        state=ViewState.OPEN,
        grants=tuple(grants),
        quarantine=quarantine,
        shadows=shadows,
        excess=excess,
        serial=serial,
        old_limits={},
    )


def _in_doubt(view: View) -> tuple[Quarantine, ...]:
    """Return what stays in quarantine when a collecting view opens.

    A member that was left out and is back reports what its jobs still use, and uses nothing else;
    permits that were on their way to or from it are refused in every later epoch.
    """
    return tuple(
        item for item in view.quarantine if not item.lost or not view.names.issuperset(item.lost)
    )


def _add_up(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: dict[str, int] = defaultdict(int)
    for part in parts:
        for resource, count in part.items():
            total[resource] += count
    return total


def append_grants(view: View, limits: Mapping[str, int]) -> View | None:
    """Return an open view with what raised limits add, or None if no limit was raised.

    Permits that are still in use beyond an earlier, lower limit are not added again.
    """
    raised = {
        resource: limit - view.limits.get(resource, 0)
        for resource, limit in limits.items()
        if limit > view.limits.get(resource, 0)
    }
    if not raised:
        return None
    added = _beyond_excess(view, raised)
    reached = {resource: limits[resource] for resource in raised}
    return _grant(view, added, {**view.limits, **reached}, view.quarantine)


def release_quarantine(view: View, serials: Iterable[int]) -> View:
    """Return an open view in which quarantined permits are granted again."""
    released = set(serials)
    freed = _add_up(item.permits for item in view.quarantine if item.serial in released)
    left = tuple(item for item in view.quarantine if item.serial not in released)
    shadows = tuple(item for item in view.shadows if item.serial not in released)
    added = _beyond_excess(view, freed)
    return attrs.evolve(_grant(view, added, view.limits, left), shadows=shadows)


def _beyond_excess(view: View, counts: Mapping[str, int]) -> dict[str, int]:
    """Return permits without those that were in use beyond a limit when the epoch opened."""
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
        for member, permits in divide(added, sorted(view.names)).items()
        if permits
    ]
    return attrs.evolve(
        view,
        limits=dict(limits),
        grants=(*view.grants, *grants),
        quarantine=quarantine,
        serial=serial,
    )
