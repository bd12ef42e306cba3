"""A job starts over three seconds after its cancelling was acknowledged.

A daemon is frozen as it takes a client's submission. The client cancels the job at another daemon,
which answers that there is none. The owner of the job's pool is stopped as planned, and started
again. The frozen daemon wakes, hands the submission on to the pool's next owner, and the job runs.
With ``TROUBLE=0`` nothing is frozen or stopped.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from local_platform import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Daemon,
    Deployment,
    Machine,
    Record,
    make_job,
    run_case,
)

POOLS = ("desk", "lab", "shop")
DAEMONS = {"entry-1": "baltic-a", "entry-2": "baltic-b", "entry-3": "baltic-c"}
CALM_SECONDS = 4.0
#: time for which the daemon is frozen, in seconds
FREEZE_SECONDS = 4.0
#: time after the submission at which it is cancelled, and the owner is stopped, in seconds
CANCEL_SECONDS, STOP_SECONDS = 0.3, 2.0
#: time for which the client waits for the answer to its submission, in seconds
PATIENCE_SECONDS = 9.0
JOB_ID = "00000000000000f1"
PATH = f"/{POOLS[0]}/{JOB_ID}"


async def main(record: Record, trouble: bool) -> bool:
    """Play the case; return whether nothing was started long after the cancelling."""
    starts: list[float] = []

    def on_start(machine: Machine, task: str, run: int) -> None:
        starts.append(record.now())
        record.write(f"owner of {machine.pool} now: {deployment.owner_of(machine.pool)}")

    deployment = Deployment(record, POOLS)
    for pool in POOLS:
        for number in (1, 2):
            name = f"{pool}-{number}"
            machine = Machine(name, pool, "baltic-a", deployment.store, record, on_start=on_start)
            deployment.machines.append(machine)
    try:
        await deployment.start(DAEMONS)
        await deployment.wait_until_owned()
        await asyncio.sleep(CALM_SECONDS)
        owner, frozen, other = choose_roles(deployment)
        record.write(f"owner {owner.name}, frozen {frozen.name}, other {other.name}")
        if trouble:
            frozen.send_signal(signal.SIGSTOP)
        body = make_job({"seconds": 1.0})
        submission = asyncio.create_task(
            deployment.request(frozen, "POST", PATH, body, PATIENCE_SECONDS)
        )
        await asyncio.sleep(CANCEL_SECONDS)
        status, _ = await deployment.request(other, "DELETE", PATH)
        cancelled_at = record.now()
        if status not in (200, 410):
            raise CannotRunError(f"the cancelling was answered {status}")
        await asyncio.sleep(STOP_SECONDS - CANCEL_SECONDS)
        if trouble:
            restart = asyncio.create_task(stop_and_start(owner))
            await asyncio.sleep(FREEZE_SECONDS - STOP_SECONDS)
            frozen.send_signal(signal.SIGCONT)
            await restart
        await submission
        await asyncio.sleep(1.0)
        await deployment.request(other, "GET", PATH)
        late = [at for at in starts if at > cancelled_at + BOUNDS["cancel_ms"] / 1000]
        record.write(f"cancelling acknowledged at {cancelled_at:.3f}; starts after it: {late}")
        return not late
    finally:
        await deployment.stop()


def choose_roles(deployment: Deployment) -> tuple[Daemon, Daemon, Daemon]:
    """Return the owner of the first pool and the two other daemons."""
    owner_name = deployment.owner_of(POOLS[0])
    others = [each for each in deployment.daemons if each.name != owner_name]
    owner = next(each for each in deployment.daemons if each.name == owner_name)
    return owner, *others


async def stop_and_start(daemon: Daemon) -> None:
    """Stop a daemon as planned, and start it again once it has ended."""
    daemon.send_signal(signal.SIGTERM)
    assert daemon.process is not None
    await daemon.process.wait()
    await daemon.start()


if __name__ == "__main__":
    run_case(main, pathlib.Path(__file__).parent)
