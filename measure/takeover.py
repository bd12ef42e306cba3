"""Time until a pool has an owner again, on virtual time: after a hand-over and after a loss."""

from __future__ import annotations

import anyio

from limpetpulley.batch import Amount
from limpetpulley.standin.batchfleet import BatchFleet, sample_config
from limpetpulley.standin.virtual import VirtualClock, run_virtual

POOL = "desk"
SEEDS = range(1, 11)
POLL_SECONDS = 0.005


async def measure(graceful: bool, seed: int) -> float:
    """Return the seconds between the end of a pool's owner and the next owner's readiness."""
    async with anyio.create_task_group() as tasks:
        clock = VirtualClock()
        fleet = BatchFleet(tasks, clock, sample_config(), Amount(4000, 8000), seed)
        for number in range(4):
            fleet.vms.add(f"desk-{number}", POOL, "r0")
        for number in range(3):
            fleet.start_daemon(f"entry-{number + 1}")
        while (owner := fleet.owner_of(POOL)) is None:
            await anyio.sleep(POLL_SECONDS)
        await anyio.sleep(2.0 + seed / 10)
        begun = clock.now()
        if graceful:
            await fleet.leave(owner)
        else:
            fleet.kill(owner)
        while fleet.owner_of(POOL) is None:
            await anyio.sleep(POLL_SECONDS)
        seconds = clock.now() - begun
        tasks.cancel_scope.cancel()
    return seconds


def main() -> None:
    """Print the median and the worst over the seeds."""
    for graceful, name in ((True, "hand-over"), (False, "loss")):
        found = sorted(run_virtual(measure, graceful, seed) for seed in SEEDS)
        print(f"{name}: p50 {found[len(found) // 2]:.3f} s, worst {found[-1]:.3f} s")


if __name__ == "__main__":
    main()
