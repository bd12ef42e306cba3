"""The fleet planner's VMs: the platform's latest list, and which of them are being drained."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from ..fleet.vms import FleetVm, Phase

__all__ = ["MOVE_REASON", "WAVE_REASON", "VmInventory"]

#: reasons for draining a VM: maintenance in a wave, whose name follows, or a move out of its pool
WAVE_REASON = "wave"
MOVE_REASON = "move"
#: time for which lists must lack a VM until it counts as gone, in seconds
MISSING_VM_SECONDS = 2.0


@attrs.define
class VmInventory:
    """The VMs as the planner knows them; all parts of one planner share it.

    :param vms: VMs of the latest list, by name, and those that it may have without a readable name
    :param unreadable: names of the VMs whose rows cannot be read now, with the reasons; one name is
        empty if the list has rows without a readable name
    :param listed_at: when that list was requested, by local time, in seconds
    :param first_listed_at: the same of the first list that was not empty, since the latest one with
        a row without a readable name; None before it
    :param missing_since: VMs that lists lack now, with when the first list of an unbroken row that
        lacks them was requested, by local time, in seconds
    :param draining: VMs that are being drained, with the reason
    :param cordon_sent_at: when the owner was first asked to cordon a VM's worker, by VM and local
        time, in seconds
    """

    vms: dict[str, FleetVm] = attrs.field(factory=dict)
    unreadable: dict[str, str] = attrs.field(factory=dict)
    listed_at: float = 0.0
    first_listed_at: float | None = None
    missing_since: dict[str, float] = attrs.field(factory=dict)
    draining: dict[str, str] = attrs.field(factory=dict)
    cordon_sent_at: dict[str, float] = attrs.field(factory=dict)
    _known: set[str] = attrs.field(factory=set)

    def update(self, listed: Sequence[FleetVm], listed_at: float) -> None:
        """Take in a list; an empty one does not tell that VMs are missing.

        Neither does one with a row without a readable name, which any of them may have: the VMs
        that it lacks are of unknown phase, unless earlier lists have shown that they are gone.
        """
        vms = {vm.name: vm for vm in listed if vm.phase is not Phase.UNKNOWN}
        # A VM that also has a row that cannot be read is as that one: nothing is known of it.
        odd = {vm.name: vm for vm in listed if vm.phase is Phase.UNKNOWN}
        self.unreadable = {name: vm.problem for name, vm in odd.items()}
        vms |= odd
        if vms.pop("", None) is not None:
            gone = {name for name in self._known if self.is_gone(name)}
            for name in self._known - vms.keys() - gone:
                vms[name] = FleetVm(name, "", Phase.UNKNOWN, problem="not listed by name")
            self.vms, self.listed_at = vms, listed_at
            self._known |= vms.keys()
            self.first_listed_at = None
            self.missing_since = {
                name: since
                for name, since in self.missing_since.items()
                if name in gone - vms.keys()
            }
            return
        self.vms, self.listed_at = vms, listed_at
        if vms:
            if self.first_listed_at is None:
                self.first_listed_at = listed_at
            self._known |= vms.keys()
            self.missing_since = {
                name: self.missing_since.get(name, listed_at) for name in self._known - vms.keys()
            }

    def readable_vms(self) -> list[FleetVm]:
        """Return the VMs of the latest list whose rows can be read."""
        return [vm for vm in self.vms.values() if vm.phase is not Phase.UNKNOWN]

    def is_gone(self, name: str) -> bool:
        """Return whether lists have lacked a VM for so long that it is gone.

        A list comes in pages, which are not a snapshot, so that one list may lack a VM.
        """
        since = self.missing_since.get(name, self.first_listed_at)
        if not self.vms or name in self.vms or since is None:
            return False
        return self.listed_at - since >= MISSING_VM_SECONDS
