"""A soak of jobs of steps: real processes, and faults drawn from a seed, in series and overlapping.

``python -m tests.integration.soak --seeds 50`` plays fresh seeds; ``--first N`` begins with a seed.
The judges are the callers and the workers: see :func:`judge`.
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
#: the limit of the team in the configuration of the test, in thousandths of a core
LIMIT_MILLICORES = 8000
#: jobs a second
RATE = 5.0
#: part of the callers that give up after one refusal, and of those that cancel
GIVE_UP_PART = 0.2
CANCEL_PART = 0.1
#: time in which everything accepted is completed once the faults have ended: the longest lease on a
#: worker that a lost owner may have left, a takeover, and the work itself
FINISH_SECONDS = 45.0
#: pause between two faults of one series; several series run at once
GAP_SECONDS = (0.2, 1.5)
LENGTH_SECONDS = (0.3, 5.0)
SERIES = 3


@attrs.define
class Caller:
    """What one caller was told.

    :param refused: whether it gave up after a refusal that says that the job never runs
    :param forgotten: whether an accepted job was later said not to exist
    """

    job: str
    accepted: bool = False
    refused: bool = False
    cancelled: bool = False
    forgotten: bool = False
    state: str = ""

    @property
    def is_done(self) -> bool:
        """Return whether nothing more is to be told."""
        return not self.accepted or self.state in ("completed", "cancelled")


class Soak:
    """One play of a seed."""

    def __init__(self, system: StepsSystem, seed: int, seconds: float):
        self.system = system
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.callers: list[Caller] = []
        self.faults: list[str] = []

    async def play(self) -> None:
        """Play load and faults, then let everything finish."""
        await self.system.start(DAEMONS)
        await anyio.sleep(3.0)
        until = now() + self.seconds
        async with anyio.create_task_group() as tasks:
            for _ in range(SERIES):
                tasks.start_soon(self._break_things, until)
            await self._load(tasks, until)
        await self._finish()

    async def _load(self, tasks: anyio.abc.TaskGroup, until: float) -> None:
        while now() < until:
            await anyio.sleep(self.rng.expovariate(RATE))
            caller = Caller(f"{len(self.callers) + 1:016x}")
            self.callers.append(caller)
            tasks.start_soon(self._call, caller, until + 5.0)

    async def _call(self, caller: Caller, until: float) -> None:
        patient = self.rng.random() >= GIVE_UP_PART
        while now() < until and not caller.accepted:
            status, answer = await self._ask("PUT", caller.job, JOB)
            caller.accepted = status == 202
            never_runs = status == 503 and answer.get("reason") in ("late", "harms-others")
            if never_runs and not patient:
                caller.refused = True
                return
            await anyio.sleep(0.3)
        if caller.accepted and self.rng.random() < CANCEL_PART:
            status, _ = await self._ask("DELETE", caller.job)
            caller.cancelled = True

    async def _ask(self, method: str, job: str, body: object = None) -> tuple[int, dict]:
        names = list(self.system.daemons)
        if not names:
            return 0, {}
        return await self.system.ask(self.rng.choice(names), method, job, body)

    async def _finish(self) -> None:
        with anyio.move_on_after(FINISH_SECONDS):
            while left := [caller for caller in self.callers if not caller.is_done]:
                for caller in left:
                    status, answer = await self._ask("GET", caller.job)
                    caller.forgotten |= status == 404
                    caller.state = answer.get("state", caller.state)
                await anyio.sleep(0.2)

    # Faults

    async def _break_things(self, until: float) -> None:
        kinds = [
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
            kind: Callable[[float], Awaitable[None]] = self.rng.choice(kinds)
            length = min(self.rng.uniform(*LENGTH_SECONDS), max(0.1, until - now()))
            self.faults.append(f"{now():.2f} {kind.__name__} {length:.2f}")
            await kind(length)

    def _pick(self) -> str | None:
        """Return a daemon that may be harmed; one is always left alone."""
        names = sorted(self.system.daemons)
        return self.rng.choice(names[1:]) if len(names) > 2 else None

    async def kill(self, seconds: float) -> None:
        """Kill a daemon and start it again."""
        await self._end(signal.SIGKILL, seconds)

    async def leave(self, seconds: float) -> None:
        """Stop a daemon gracefully and start it again."""
        await self._end(signal.SIGTERM, seconds)

    async def _end(self, how: signal.Signals, seconds: float) -> None:
        name = self._pick()
        if name is None:
            return
        daemon = self.system.daemons.pop(name)
        daemon.process.send_signal(signal.SIGCONT)
        daemon.process.send_signal(how)
        await anyio.sleep(seconds)
        with anyio.fail_after(30):
            while daemon.process.poll() is None:
                await anyio.sleep(0.05)
        await self.system.start_daemon(name, "dc1")

    async def freeze(self, seconds: float) -> None:
        """Stop a daemon's process for a while."""
        name = self._pick()
        if name is not None:
            process = self.system.daemons[name].process
            process.send_signal(signal.SIGSTOP)
            await anyio.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    async def lose_store(self, seconds: float) -> None:
        """Cut a daemon off from the store."""
        name = self._pick()
        if name is not None:
            store = self.system.daemons[name].store
            store.refuse_connections = True
            await store.close_connections()
            await anyio.sleep(seconds)
            store.refuse_connections = False

    async def silence_store(self, seconds: float) -> None:
        """Let a daemon's connections to the store go silent for good."""
        name = self._pick()
        if name is not None:
            self.system.daemons[name].store.silence()

    async def silence_peers(self, seconds: float) -> None:
        """Let the connections to a daemon go silent, then cut them one way for a while."""
        name = self._pick()
        if name is not None:
            peers = self.system.daemons[name].peers
            peers.silence()
            peers.half_open = True
            await anyio.sleep(seconds)
            peers.half_open = False

    async def slow_peers(self, seconds: float) -> None:
        """Delay what daemons say to one of them."""
        name = self._pick()
        if name is not None:
            peers = self.system.daemons[name].peers
            peers.delay_seconds = self.rng.uniform(0.01, 0.3)
            await anyio.sleep(seconds)
            peers.delay_seconds = 0.0

    async def silence_workers(self, seconds: float) -> None:
        """Let all connections to the workers go silent for good."""
        assert self.system.way is not None
        self.system.way.silence()

    async def slow_workers(self, seconds: float) -> None:
        """Delay what is said to the workers."""
        assert self.system.way is not None
        self.system.way.delay_seconds = self.rng.uniform(0.01, 0.2)
        await anyio.sleep(seconds)
        self.system.way.delay_seconds = 0.0

    async def store_faults(self, seconds: float) -> None:
        """Let the store be away, slow, or lose answers."""
        fault = self.rng.choice(
            [{"outage": True}, {"slow_seconds": 0.3}, {"lose_answers": 3}, {"silent_watch": True}]
        )
        await self.system.call(self.system.platform, "POST", "/faults", fault)
        await anyio.sleep(seconds)
        calm = {"outage": False, "slow_seconds": 0.0, "lose_answers": 0, "silent_watch": False}
        await self.system.call(self.system.platform, "POST", "/faults", calm)


def judge(callers: list[Caller], judgement: dict, runs: list[dict]) -> list[str]:
    """Return what broke a promise, by what callers and workers saw."""
    ran = {run["order"]["task"][0] for run in runs}
    wrong = [f"{job} ran twice at once" for job in judgement["overlaps"]]
    if judgement["most_millicores"] > LIMIT_MILLICORES:
        wrong.append(
            f"{judgement['most_millicores']} millicores in use, {LIMIT_MILLICORES} allowed"
        )
    for caller in callers:
        if caller.refused and caller.job in ran:
            wrong.append(f"{caller.job} was refused for good, and ran")
        if caller.forgotten:
            wrong.append(f"{caller.job} was accepted, and later not known")
        ended = caller.state == "completed" or (caller.cancelled and caller.state == "cancelled")
        if caller.accepted and not ended:
            wrong.append(f"{caller.job} was accepted and is {caller.state or 'unknown'} at the end")
    if sum(caller.accepted for caller in callers) < len(callers) / 4:
        wrong.append("under a quarter of the jobs were accepted")
    return wrong


async def play(seed: int, seconds: float, logs: pathlib.Path) -> tuple[list[str], Soak]:
    """Play a seed; return what went wrong."""
    async with anyio.create_task_group() as tasks:
        system = StepsSystem(tasks, logs)
        soak = Soak(system, seed, seconds)
        try:
            await soak.play()
            judgement = (await system.call(system.workers, "GET", "/judgement"))["answer"]
            runs = (await system.call(system.workers, "GET", "/runs"))["answer"]
        finally:
            system.stop_all()
            tasks.cancel_scope.cancel()
    return judge(soak.callers, judgement, runs), soak


def main() -> None:
    """Play seeds and print what went wrong, with the logs' place."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5, help="how many")
    parser.add_argument("--first", type=int, default=int(time.time()), help="the first seed")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the load")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        logs = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        wrong, soak = anyio.run(play, seed, arguments.seconds, logs)
        accepted = sum(caller.accepted for caller in soak.callers)
        told = f"{accepted} of {len(soak.callers)} accepted, {len(soak.faults)} faults"
        print(f"seed {seed}: {len(wrong)} broken promises; {told}", flush=True)
        if wrong:
            failed += 1
            (logs / "faults").write_text("\n".join(soak.faults))
            print("\n".join(wrong[:10]), f"logs: {logs}", sep="\n", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
