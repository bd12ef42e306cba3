"""Status of a daemon and of its peers, for operators."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .node import Node

__all__ = ["build_status"]


def build_status(node: Node, owner_failures: Sequence[dict[str, object]] = ()) -> dict[str, Any]:
    """Return the status of a daemon as values that can be encoded as JSON.

    :param owner_failures: rows of the pools whose owners fail
    """
    member, view = node.member, node.member.view
    revisions = node.peers.config_revisions()
    daemons = [
        {
            "member": member.name,
            "data_centre": member.info.data_centre,
            "config_revision": node.replica.revision,
            "live": True,
            "in_view": member.is_member,
        }
    ]
    names = {*revisions, *(view.names if view else ())} - {member.name}
    for name in sorted(names):
        info = node.peers.find(name)
        daemons.append(
            {
                "member": name,
                "data_centre": info.data_centre if info else "",
                "config_revision": revisions.get(name, 0),
                "live": node.peers.is_live(name),
                "in_view": view is not None and name in view.names,
            }
        )
    return {
        "daemon": member.name,
        "ready": not node.unready_reason(),
        "reason": node.unready_reason(),
        "valid": member.is_valid(),
        "store_available": node.store_sync.available,
        "epoch": view.epoch if view else 0,
        "epoch_state": str(view.state) if view else "none",
        "quarantined": _count_quarantined_permits(node),
        "config_revision": node.replica.revision,
        "waiting": len(node.starter.waiting),
        "running": node.dispatcher.active,
        "held": node.dispatcher.held,
        "ejected": node.health.ejected_vms(),
        "records": len(node.key_records),
        "daemons": daemons,
        "teams": _team_rows(node),
        "owner_failures": list(owner_failures),
    }


def _count_quarantined_permits(node: Node) -> int:
    view = node.member.view
    return sum(sum(item.permits.values()) for item in view.quarantine) if view else 0


def _team_rows(node: Node) -> list[dict[str, Any]]:
    rows = []
    for team in node.replica.all("team"):
        running = sum(n for (_, name), n in node.starter.running.items() if name == team.name)
        rows.append(
            {
                "team": team.name,
                "weight": team.weight,
                "limit": team.limit,
                "running_here": running,
                "waiting_here": node.starter.waiting.team_counts[team.name],
            }
        )
    return rows
