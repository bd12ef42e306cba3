"""What the demonstration does and prints."""

from __future__ import annotations

import json
import time
from collections import Counter

import anyio
import attrs
from rich.console import Console

from ..config import AccessKey, Vm, VmPhase, make_secret
from .batches import show_batches
from .system import DemoSystem

__all__ = ["tell"]

JOBS = 60
LONGEST_WAIT_SECONDS = 2.0


async def tell() -> None:
    """Run the demonstration and print what happens."""
    console = Console(highlight=False)
    started = time.monotonic()
    async with anyio.create_task_group() as tasks:
        system = DemoSystem(tasks)
        console.rule("limpetpulley in one process")
        await system.start()
        secrets = {"studios-1": make_secret(), "agents-1": make_secret()}
        await system.apply(system.objects(secrets))
        await _wait_ready(system)
        view = system.nodes[0].member.view
        assert view is not None
        console.print(
            f"[bold]3 daemons[/] in 3 data centres agreed on epoch {view.epoch}; "
            "4 endpoints of 4 slots; two teams with weights 3 and 1.\n"
        )
        await _share_out(system, secrets, console)
        await _run_once(system, secrets, console)
        await _withdraw(system, secrets, console)
        await _drain(system, secrets, console)
        await show_batches(console)
        await system.stop()
        console.print("All daemons left one by one; no request was cut off.")
        tasks.cancel_scope.cancel()
    console.rule(f"done in {time.monotonic() - started:.1f} s")


async def _wait_ready(system: DemoSystem) -> None:
    while True:
        views = [node.member.view for node in system.nodes]
        settled = all(
            view is not None and len(view.members) == 3 and view.state == "open" and view.limits
            for view in views
        )
        if settled and all(node.member.is_valid() for node in system.nodes):
            return
        await anyio.sleep(0.05)


async def _share_out(system: DemoSystem, secrets: dict[str, str], console: Console) -> None:
    """Let both teams ask for more than there is."""
    statuses: Counter[tuple[str, int]] = Counter()
    samples: Counter[str] = Counter()

    async def submit(team: str, index: int) -> None:
        response = await system.submit(
            index % 3, "quotes", secrets[f"{team}-1"], b"quote", run_seconds="0.15"
        )
        statuses[team, response.status] += 1

    async def sample() -> None:
        while True:
            await anyio.sleep(0.02)
            waiting = Counter[str]()
            for node in system.nodes:
                waiting.update(node.starter.waiting.team_counts)
            if len(waiting) < len(secrets):
                continue
            for node in system.nodes:
                for (_, team), count in node.starter.running.items():
                    samples[team] += count

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sample)
        async with anyio.create_task_group() as jobs:
            for index in range(JOBS):
                jobs.start_soon(submit, "studios", index)
                jobs.start_soon(submit, "agents", 0)
        tasks.cancel_scope.cancel()
    console.print(f"[bold]Sharing.[/] Each team hands in {JOBS} jobs at once, agents through one")
    console.print("daemon only. While both had jobs waiting, slots went:")
    total = samples.total() or 1
    for team in ("studios", "agents"):
        part = samples[team] / total
        answered = statuses[team, 200]
        console.print(f"  {team:8} {'█' * round(40 * part):40} {part:4.0%}   {answered} answered")
    console.print()


async def _run_once(system: DemoSystem, secrets: dict[str, str], console: Console) -> None:
    """Hand in one keyed job through all daemons at once."""
    answers: list[int] = []

    async def submit(node: int) -> None:
        response = await system.submit(
            node,
            "invoices",
            secrets["agents-1"],
            b"invoice 7",
            idempotency_key="invoice-7",
            run_seconds="0.2",
        )
        answers.append(response.status)

    async with anyio.create_task_group() as tasks:
        for node in (0, 1, 2):
            tasks.start_soon(submit, node)
    runs = sum(run.key == "invoice-7" for e in system.endpoints.values() for run in e.runs)
    other = await system.submit(
        0, "invoices", secrets["agents-1"], b"another", idempotency_key="invoice-7"
    )
    reason = json.loads(other.content)["reason"]
    console.print("[bold]At most once.[/] The same invoice, handed in through 3 daemons at once:")
    console.print(f"  answers {answers}, runs at the endpoints: [bold]{runs}[/]")
    console.print(f"  the same key with another body: {other.status} {reason}\n")


async def _withdraw(system: DemoSystem, secrets: dict[str, str], console: Console) -> None:
    """Withdraw a key and count how long it still works."""
    key = system.nodes[0].replica.get(AccessKey.kind, "agents-1")
    await system.apply([attrs.evolve(key, withdrawn=True)])
    began = time.monotonic()
    refused = 0
    while refused < 3:
        statuses = [
            (await system.submit(node, "quotes", secrets["agents-1"], b"x")).status
            for node in (0, 1, 2)
        ]
        refused = statuses.count(401)
    console.print("[bold]Keys.[/] The agents' key is withdrawn:")
    console.print(f"  refused by every daemon after {time.monotonic() - began:.2f} s\n")


async def _drain(system: DemoSystem, secrets: dict[str, str], console: Console) -> None:
    """Drain a VM while jobs run."""
    vm = system.nodes[0].replica.get(Vm.kind, "desk-2")
    before = len(system.endpoints["desk-2"].runs)
    lost: list[int] = []

    async def submit(index: int) -> None:
        response = await system.submit(
            index % 3, "quotes", secrets["studios-1"], b"quote", run_seconds="0.3"
        )
        if response.status != 200:
            lost.append(response.status)

    async with anyio.create_task_group() as tasks:
        for index in range(16):
            tasks.start_soon(submit, index)
        with anyio.move_on_after(LONGEST_WAIT_SECONDS):
            while not system.endpoints["desk-2"].running:
                await anyio.sleep(0.01)
        await system.apply([attrs.evolve(vm, phase=VmPhase.LEAVING)])
        began = time.monotonic()
        await anyio.sleep(0.1)
        running = len(system.endpoints["desk-2"].runs)
        for index in range(32):
            tasks.start_soon(submit, index)
        while system.nodes[0].replica.get(Vm.kind, "desk-2").phase is not VmPhase.DRAINED:
            await anyio.sleep(0.02)
        drained = time.monotonic() - began
    after = len(system.endpoints["desk-2"].runs) - running
    console.print("[bold]Draining.[/] desk-2 is told to leave while it runs jobs:")
    console.print(
        f"  {running - before} jobs ran on to their end, {after} new ones were sent to it, "
        f"{len(lost)} answers lost; drained after {drained:.1f} s\n"
    )
