"""The fleet planner's VMs: the platform's latest list, and which of them are being drained."""

from __future__ import annotations

import attrs

from ..fleet.vms import FleetVm

__all__ = ["MOVE_REASON", "WAVE_REASON", "VmInventory"]

#: reasons for draining a VM: maintenance in a wave, whose name follows, or a move out of its pool
WAVE_REASON = "wave"
MOVE_REASON = "move"
#: time for which lists must lack a VM until it counts as gone, in seconds
MISSING_VM_SECONDS = 2.0


@attrs.define
class VmInventory:
    """The VMs as the planner knows them; all parts of one planner share it.

    :param vms: VMs of the latest list, by name
    :param listed_at: when that list was requested, by local time, in seconds
    :param first_listed_at: the same of the first list that was not empty, None before it
    :param missing_since: VMs that lists lack now, with when the first list of an unbroken row that
        lacks them was requested, by local time, in seconds
    :param draining: VMs that are being drained, with the reason
    :param cordon_sent_at: when the owner was first asked to cordon a VM's worker, by VM and local
        time, in seconds
    """

    vms: dict[str, FleetVm] = attrs.field(factory=dict)
    listed_at: float = 0.0
    first_listed_at: float | None = None
    missing_since: dict[str, float] = attrs.field(factory=dict)
    draining: dict[str, str] = attrs.field(factory=dict)
    cordon_sent_at: dict[str, float] = attrs.field(factory=dict)
    _known: set[str] = attrs.field(factory=set)

    def update(self, vms: dict[str, FleetVm], listed_at: float) -> None:
        """Take in a list; an empty one does not tell that VMs are missing."""
        self.vms, self.listed_at = vms, listed_at
        if vms:
            if self.first_listed_at is None:
                self.first_listed_at = listed_at
            self._known |= vms.keys()
            self.missing_since = {
                name: self.missing_since.get(name, listed_at) for name in self._known - vms.keys()
            }

    def is_gone(self, name: str) -> bool:
        """Return whether lists have lacked a VM for so long that it is gone.

        A list comes in pages, which are not a snapshot, so that one list may lack a VM.
        """
        since = self.missing_since.get(name, self.first_listed_at)
        if not self.vms or name in self.vms or since is None:
            return False
        return self.listed_at - since >= MISSING_VM_SECONDS
