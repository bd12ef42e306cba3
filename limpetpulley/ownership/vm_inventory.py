"""The fleet planner's VMs: the platform's latest list, and which of them are being drained."""

from __future__ import annotations

import attrs

from ..fleet.vms import FleetVm

__all__ = ["MOVE_REASON", "WAVE_REASON", "VmInventory"]

#: reasons for draining a VM: maintenance in a wave, whose name follows, or a move out of its pool
WAVE_REASON = "wave"
MOVE_REASON = "move"


@attrs.define
class VmInventory:
    """The VMs as the planner knows them; all parts of one planner share it.

    :param vms: VMs of the latest list, by name
    :param listed_at: when that list was requested, by local time, in seconds
    :param draining: VMs that are being drained, with the reason
    :param cordon_sent_at: when the owner was first asked to cordon a VM's worker, by VM and local
        time, in seconds
    """

    vms: dict[str, FleetVm] = attrs.field(factory=dict)
    listed_at: float = 0.0
    draining: dict[str, str] = attrs.field(factory=dict)
    cordon_sent_at: dict[str, float] = attrs.field(factory=dict)
