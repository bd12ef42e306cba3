"""Status of the fleet for operators."""

from __future__ import annotations

from typing import Any

from ..config import Pool, Vm, VmPhase, Wave, WaveState
from ..exception import ConfigError
from .budgets import BudgetTracker
from .planner import FleetPlanner
from .preview import preview_wave
from .state import FleetState
from .waves import failed_vms, in_window, remaining_vms

__all__ = ["FleetReport"]

SECONDS_PER_VM = 20.0


class FleetReport:
    """Reports pools, VMs and waves to operators.

    :param planner: this daemon's planner, whether or not it holds the planner's lease
    """

    def __init__(self, planner: FleetPlanner):
        self.planner = planner
        self.replica = planner.replica
        self.endpoints = planner.endpoints

    def explain_vm(self, name: str) -> dict[str, Any] | None:
        """Return the state of a VM and the reasons for it, or None if there is no such VM."""
        vm = self.replica.get(Vm.kind, name)
        if vm is None:
            return None
        record = self.replica.records[f"{Vm.kind}/{name}"]
        step = self.planner.last_step.get(name)
        blocking = BudgetTracker(self.planner.state()).blocking_budget(vm)
        return {
            "vm": name,
            "pool": vm.pool,
            "home": vm.home or vm.pool,
            "phase": str(vm.phase),
            "wave": vm.wave,
            "moving_to": vm.move_to,
            "takes_jobs": self.endpoints.takes_jobs(name),
            "listed": str(self.endpoints.listed.get(name, "not listed")),
            "idle": self.planner.idle(name, record.revision),
            "out_for_failures": name in self.endpoints.health.ejected_vms(),
            "changed_by": record.changed_by,
            "changed_at": record.changed_at,
            "last_step": f"{step.kind}: {step.reason}" if step else "",
            "budget_that_holds_it": blocking.name if blocking else "",
            "maintained_in": vm.maintained_in,
        }

    def preview_wave(self, pools: tuple[str, ...]) -> dict[str, Any]:
        """Return the preview of a maintenance wave over some pools.

        :raises ConfigError: if a pool does not exist
        """
        for pool in pools:
            if self.replica.get(Pool.kind, pool) is None:
                raise ConfigError(f"pool {pool!r} does not exist")
        preview = preview_wave(self.planner.state(), Wave("preview", pools), SECONDS_PER_VM)
        return {
            "vms": preview.vms,
            "rounds": [list(names) for names in preview.rounds],
            "seconds": preview.seconds,
            "bound_seconds": preview.bound_seconds,
            "binding_budgets": list(preview.binding),
            "blocked": list(preview.blocked),
        }

    def fleet_status(self) -> dict[str, Any]:
        """Return the state of pools and waves."""
        state = self.planner.state()
        pools = []
        for pool in state.pools.values():
            vms = [status for status in state.vms.values() if status.vm.pool == pool.name]
            demand = state.demand[pool.name]
            pools.append(
                {
                    "pool": pool.name,
                    "vms": len(vms),
                    "available": sum(status.available for status in vms),
                    "lent": sum(1 for status in vms if status.vm.home),
                    "slots": self.endpoints.slots(pool.name),
                    "running": demand.running,
                    "waiting": demand.waiting,
                }
            )
        waves = [_wave_status(state, wave) for wave in state.waves]
        return {"pools": pools, "waves": waves, "plans_here": self.planner.holds_lease}


def _wave_status(state: FleetState, wave: Wave) -> dict[str, Any]:
    remaining = remaining_vms(state, wave)
    in_progress = [status for status in state.vms.values() if status.vm.wave == wave.name]
    done = [status for status in state.vms.values() if status.vm.maintained_in == wave.name]
    preview = preview_wave(state, wave, SECONDS_PER_VM)
    running = wave.state is WaveState.RUNNING
    return {
        "wave": wave.name,
        "state": str(wave.state),
        "reason": wave.reason,
        "done": len(done),
        "on_their_way": {
            status.vm.name: str(status.vm.phase)
            for status in in_progress
            if status.vm.phase is not VmPhase.JOINED
        },
        "left": len(remaining),
        "seconds_left": preview.seconds if running else 0.0,
        "binding_budgets": list(preview.binding),
        "failed": failed_vms(state, wave),
        "in_window": in_window(state, wave),
    }
