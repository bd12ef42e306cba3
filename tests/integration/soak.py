"""A soak test of step jobs: real processes, and overlapping random faults drawn from a seed.

``python -m tests.integration.soak --seeds 50`` runs new seeds; ``--first N`` sets the first seed.
The results are checked against what callers and workers saw: see :func:`find_violations`.
"""

from __future__ import annotations

import argparse
import pathlib
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

import anyio
import attrs

from .system import now
from .test_steps import JOB, StepsSystem

DAEMONS = 4
#: limit of the team in the configuration of the test, in thousandths of a core
LIMIT_MILLICORES = 8000
#: mean submissions per second
RATE = 5.0
#: fraction of the callers that give up after one final refusal, and of those that cancel
GIVE_UP_FRACTION = 0.2
CANCEL_FRACTION = 0.1
#: time in which all accepted jobs complete once the faults have ended: the longest lease on a
#: worker that a lost owner may have left, a takeover, and the work itself
FINISH_SECONDS = 45.0
#: range of the pause between two faults of one series; several series run at once
GAP_SECONDS = (0.2, 1.5)
FAULT_SECONDS = (0.3, 5.0)
FAULT_SERIES = 3


@attrs.define
class Caller:
    """What one caller saw of its job.

    :param accepted: whether the job was accepted
    :param refused: whether it gave up after a refusal that says that the job never runs
    :param cancelled: whether it asked to cancel the job
    :param forgotten: whether a daemon later responded that the accepted job does not exist
    :param state: last state of the job that it saw
    """

    job: str
    accepted: bool = False
    refused: bool = False
    cancelled: bool = False
    forgotten: bool = False
    state: str = ""

    @property
    def is_done(self) -> bool:
        """Return whether no further response is expected."""
        return not self.accepted or self.state in ("completed", "cancelled")


class Soak:
    """One run of a seed."""

    def __init__(self, system: StepsSystem, seed: int, seconds: float):
        self.system = system
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.callers: list[Caller] = []
        self.faults: list[str] = []

    async def run(self) -> None:
        """Run load and faults, then wait until all accepted jobs have ended."""
        await self.system.start(DAEMONS)
        await anyio.sleep(3.0)
        until = now() + self.seconds
        async with anyio.create_task_group() as tasks:
            for _ in range(FAULT_SERIES):
                tasks.start_soon(self._inject_faults, until)
            await self._generate_load(tasks, until)
        await self._finish()

    async def _generate_load(self, tasks: anyio.abc.TaskGroup, until: float) -> None:
        while now() < until:
            await anyio.sleep(self.rng.expovariate(RATE))
            caller = Caller(f"{len(self.callers) + 1:016x}")
            self.callers.append(caller)
            tasks.start_soon(self._run_caller, caller, until + 5.0)

    async def _run_caller(self, caller: Caller, until: float) -> None:
        persistent = self.rng.random() >= GIVE_UP_FRACTION
        while now() < until and not caller.accepted:
            status, response = await self._request("PUT", caller.job, JOB)
            caller.accepted = status == 202
            never_runs = status == 503 and response.get("reason") in ("late", "harms-others")
            if never_runs and not persistent:
                caller.refused = True
                return
            await anyio.sleep(0.3)
        if caller.accepted and self.rng.random() < CANCEL_FRACTION:
            status, _ = await self._request("DELETE", caller.job)
            caller.cancelled = True

    async def _request(self, method: str, job: str, body: object = None) -> tuple[int, dict]:
        names = list(self.system.daemons)
        if not names:
            return 0, {}
        return await self.system.request(self.rng.choice(names), method, job, body)

    async def _finish(self) -> None:
        with anyio.move_on_after(FINISH_SECONDS):
            while pending := [caller for caller in self.callers if not caller.is_done]:
                for caller in pending:
                    status, response = await self._request("GET", caller.job)
                    caller.forgotten |= status == 404
                    caller.state = response.get("state", caller.state)
                await anyio.sleep(0.2)

    # Faults

    async def _inject_faults(self, until: float) -> None:
        faults = [
            self.kill,
            self.leave,
            self.freeze,
            self.lose_store,
            self.silence_store,
            self.silence_peers,
            self.slow_peers,
            self.silence_workers,
            self.slow_workers,
            self.store_faults,
        ]
        while now() < until:
            await anyio.sleep(self.rng.uniform(*GAP_SECONDS))
            fault: Callable[[float], Awaitable[None]] = self.rng.choice(faults)
            seconds = min(self.rng.uniform(*FAULT_SECONDS), max(0.1, until - now()))
            self.faults.append(f"{now():.2f} {fault.__name__} {seconds:.2f}")
            await fault(seconds)

    def _pick_daemon(self) -> str | None:
        """Return a daemon to disturb; the first one is always spared."""
        names = sorted(self.system.daemons)
        return self.rng.choice(names[1:]) if len(names) > 2 else None

    async def kill(self, seconds: float) -> None:
        """Kill a daemon and restart it."""
        await self._restart(signal.SIGKILL, seconds)

    async def leave(self, seconds: float) -> None:
        """Stop a daemon gracefully and restart it."""
        await self._restart(signal.SIGTERM, seconds)

    async def _restart(self, signum: signal.Signals, seconds: float) -> None:
        name = self._pick_daemon()
        if name is None:
            return
        daemon = self.system.daemons.pop(name)
        daemon.process.send_signal(signal.SIGCONT)
        daemon.process.send_signal(signum)
        await anyio.sleep(seconds)
        with anyio.fail_after(30):
            while daemon.process.poll() is None:
                await anyio.sleep(0.05)
        await self.system.start_daemon(name, "dc1")

    async def freeze(self, seconds: float) -> None:
        """Suspend the process of a daemon for a while."""
        name = self._pick_daemon()
        if name is not None:
            process = self.system.daemons[name].process
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    async def lose_store(self, seconds: float) -> None:
        """Cut a daemon off from the store."""
        name = self._pick_daemon()
        if name is not None:
            store = self.system.daemons[name].store_proxy
            store.refuse_connections = True
            await store.close_connections()
            await anyio.sleep(seconds)
            store.refuse_connections = False

    async def silence_store(self, seconds: float) -> None:
        """Silence the open connections of a daemon to the store permanently."""
        name = self._pick_daemon()
        if name is not None:
            self.system.daemons[name].store_proxy.silence()

    async def silence_peers(self, seconds: float) -> None:
        """Silence the open connections to a daemon and make new ones half-open for a while."""
        name = self._pick_daemon()
        if name is not None:
            peers = self.system.daemons[name].peer_proxy
            peers.silence()
            peers.half_open = True
            await anyio.sleep(seconds)
            peers.half_open = False

    async def slow_peers(self, seconds: float) -> None:
        """Delay the messages of other daemons to one daemon."""
        name = self._pick_daemon()
        if name is not None:
            peers = self.system.daemons[name].peer_proxy
            peers.delay_seconds = self.rng.uniform(0.01, 0.3)
            await anyio.sleep(seconds)
            peers.delay_seconds = 0.0

    async def silence_workers(self, seconds: float) -> None:
        """Silence the open connections to the workers permanently."""
        assert self.system.worker_proxy is not None
        self.system.worker_proxy.silence()

    async def slow_workers(self, seconds: float) -> None:
        """Delay the messages to the workers."""
        assert self.system.worker_proxy is not None
        self.system.worker_proxy.delay_seconds = self.rng.uniform(0.01, 0.2)
        await anyio.sleep(seconds)
        self.system.worker_proxy.delay_seconds = 0.0

    async def store_faults(self, seconds: float) -> None:
        """Make the store unavailable, slow, lose responses or silence its watches."""
        fault = self.rng.choice(
            [{"outage": True}, {"slow_seconds": 0.3}, {"lose_answers": 3}, {"silent_watch": True}]
        )
        await self.system.call(self.system.platform_port, "POST", "/faults", fault)
        await anyio.sleep(seconds)
        no_faults = {"outage": False, "slow_seconds": 0.0, "lose_answers": 0, "silent_watch": False}
        await self.system.call(self.system.platform_port, "POST", "/faults", no_faults)


def find_violations(callers: list[Caller], judgement: dict, runs: list[dict]) -> list[str]:
    """Return the broken guarantees, judged by what callers and workers saw.

    :param judgement: overlapping runs and peak use, as the workers recorded them
    :param runs: all runs that the workers started
    """
    ran = {run["order"]["task"][0] for run in runs}
    violations = [f"{job} had overlapping runs" for job in judgement["overlaps"]]
    if judgement["most_millicores"] > LIMIT_MILLICORES:
        violations.append(
            f"{judgement['most_millicores']} millicores in use, limit {LIMIT_MILLICORES}"
        )
    for caller in callers:
        if caller.refused and caller.job in ran:
            violations.append(f"{caller.job} ran after a final refusal")
        if caller.forgotten:
            violations.append(f"{caller.job} was accepted and later reported as not found")
        reached_end = caller.state == "completed" or (
            caller.cancelled and caller.state == "cancelled"
        )
        if caller.accepted and not reached_end:
            violations.append(
                f"{caller.job} was accepted and is {caller.state or 'unknown'} at the end"
            )
    if sum(caller.accepted for caller in callers) < len(callers) / 4:
        violations.append("under a quarter of the jobs were accepted")
    return violations


async def run(seed: int, seconds: float, logs: pathlib.Path) -> tuple[list[str], Soak]:
    """Run a seed and return the broken guarantees."""
    async with anyio.create_task_group() as tasks:
        system = StepsSystem(tasks, logs)
        soak = Soak(system, seed, seconds)
        try:
            await soak.run()
            judgement = (await system.call(system.worker_port, "GET", "/judgement"))["answer"]
            runs = (await system.call(system.worker_port, "GET", "/runs"))["answer"]
        finally:
            system.stop_all()
            tasks.cancel_scope.cancel()
    return find_violations(soak.callers, judgement, runs), soak


def main() -> None:
    """Run seeds and print the broken guarantees and where the logs are."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds to run")
    parser.add_argument("--first", type=int, default=int(time.time()), help="first seed")
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of the load")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        logs = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, soak = anyio.run(run, seed, arguments.seconds, logs)
        accepted = sum(caller.accepted for caller in soak.callers)
        summary = f"{accepted} of {len(soak.callers)} accepted, {len(soak.faults)} faults"
        print(f"seed {seed}: {len(violations)} broken guarantees; {summary}", flush=True)
        if violations:
            failed += 1
            (logs / "faults").write_text("\n".join(soak.faults))
            print("\n".join(violations[:10]), f"logs: {logs}", sep="\n", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
