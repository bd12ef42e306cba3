"""The steps of the demonstration and what they print."""

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

__all__ = ["run_demo"]

JOBS_PER_TEAM = 60
START_TIMEOUT_SECONDS = 2.0


async def run_demo() -> None:
    """Run the demonstration and print its results."""
    console = Console(highlight=False)
    started = time.monotonic()
    async with anyio.create_task_group() as tasks:
        system = DemoSystem(tasks)
        console.rule("limpetpulley in one process")
        await system.start()
        secrets = {"studios-1": make_secret(), "agents-1": make_secret()}
        await system.apply(system.example_config(secrets))
        await _wait_ready(system)
        view = system.nodes[0].member.view
        assert view is not None
        console.print(
            f"[bold]3 daemons[/] in 3 data centres agreed on epoch {view.epoch}; "
            "4 endpoints with 4 slots each; two teams with weights 3 and 1.\n"
        )
        await _show_fair_sharing(system, secrets, console)
        await _show_at_most_once(system, secrets, console)
        await _show_key_withdrawal(system, secrets, console)
        await _show_drain(system, secrets, console)
        await show_batches(console)
        await system.stop()
        console.print("All daemons left one by one; no request was interrupted.")
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


async def _show_fair_sharing(system: DemoSystem, secrets: dict[str, str], console: Console) -> None:
    """Submit more jobs of two teams than there are slots for, and print their shares."""
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
            for index in range(JOBS_PER_TEAM):
                jobs.start_soon(submit, "studios", index)
                jobs.start_soon(submit, "agents", 0)
        tasks.cancel_scope.cancel()
    console.print(
        f"[bold]Fair sharing.[/] Each team submits {JOBS_PER_TEAM} jobs at once, the agents"
    )
    console.print("through one daemon only. Shares of the slots while both had waiting jobs:")
    total = samples.total() or 1
    for team in ("studios", "agents"):
        share = samples[team] / total
        answered = statuses[team, 200]
        console.print(f"  {team:8} {'█' * round(40 * share):40} {share:4.0%}   {answered} answered")
    console.print()


async def _show_at_most_once(system: DemoSystem, secrets: dict[str, str], console: Console) -> None:
    """Submit a job with an idempotency key through all daemons at once."""
    statuses: list[int] = []

    async def submit(node: int) -> None:
        response = await system.submit(
            node,
            "invoices",
            secrets["agents-1"],
            b"invoice 7",
            idempotency_key="invoice-7",
            run_seconds="0.2",
        )
        statuses.append(response.status)

    async with anyio.create_task_group() as tasks:
        for node in (0, 1, 2):
            tasks.start_soon(submit, node)
    runs = sum(run.key == "invoice-7" for e in system.endpoints.values() for run in e.runs)
    conflicting = await system.submit(
        0, "invoices", secrets["agents-1"], b"another", idempotency_key="invoice-7"
    )
    reason = json.loads(conflicting.content)["reason"]
    console.print("[bold]At most once.[/] The same invoice, submitted through 3 daemons at once:")
    console.print(f"  responses {statuses}, runs at the endpoints: [bold]{runs}[/]")
    console.print(f"  the same key with a different body: {conflicting.status} {reason}\n")


async def _show_key_withdrawal(
    system: DemoSystem, secrets: dict[str, str], console: Console
) -> None:
    """Withdraw an access key and measure how long it is still accepted."""
    key = system.nodes[0].replica.get(AccessKey.kind, "agents-1")
    await system.apply([attrs.evolve(key, withdrawn=True)])
    started = time.monotonic()
    rejected = 0
    while rejected < 3:
        statuses = [
            (await system.submit(node, "quotes", secrets["agents-1"], b"x")).status
            for node in (0, 1, 2)
        ]
        rejected = statuses.count(401)
    console.print("[bold]Access keys.[/] The key of the agents is withdrawn:")
    console.print(f"  rejected by all daemons after {time.monotonic() - started:.2f} s\n")


async def _show_drain(system: DemoSystem, secrets: dict[str, str], console: Console) -> None:
    """Drain a VM while jobs run."""
    vm = system.nodes[0].replica.get(Vm.kind, "desk-2")
    initial_runs = len(system.endpoints["desk-2"].runs)
    failed: list[int] = []

    async def submit(index: int) -> None:
        response = await system.submit(
            index % 3, "quotes", secrets["studios-1"], b"quote", run_seconds="0.3"
        )
        if response.status != 200:
            failed.append(response.status)

    async with anyio.create_task_group() as tasks:
        for index in range(16):
            tasks.start_soon(submit, index)
        with anyio.move_on_after(START_TIMEOUT_SECONDS):
            while not system.endpoints["desk-2"].running:
                await anyio.sleep(0.01)
        await system.apply([attrs.evolve(vm, phase=VmPhase.LEAVING)])
        started = time.monotonic()
        await anyio.sleep(0.1)
        runs_at_drain = len(system.endpoints["desk-2"].runs)
        for index in range(32):
            tasks.start_soon(submit, index)
        while system.nodes[0].replica.get(Vm.kind, "desk-2").phase is not VmPhase.DRAINED:
            await anyio.sleep(0.02)
        drain_seconds = time.monotonic() - started
    new_runs = len(system.endpoints["desk-2"].runs) - runs_at_drain
    console.print("[bold]Draining.[/] desk-2 is drained while it runs jobs:")
    console.print(
        f"  {runs_at_drain - initial_runs} jobs ran to completion, {new_runs} new ones were sent, "
        f"{len(failed)} responses lost; drained after {drain_seconds:.1f} s\n"
    )
