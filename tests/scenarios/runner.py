"""Runs scenarios with the daemons' own code on virtual time."""

from __future__ import annotations

import pathlib
from collections import Counter
from typing import Any

import anyio
import attrs
import lark

from limpetpulley.config import Budget, Pool, Queue, Team, Vm, VmPhase, Wave, WaveState
from limpetpulley.exception import LimpetpulleyError
from limpetpulley.idempotency import choose_holders
from limpetpulley.standin.cluster import Cluster
from limpetpulley.standin.virtual import run_virtual

from .expectations import SAMPLE_SECONDS, Batch, Expectations

HERE = pathlib.Path(__file__).parent
GRAMMAR = lark.Lark((HERE / "grammar.lark").read_text(), parser="earley", lexer="dynamic")


@attrs.define
class Scenario(Expectations):
    """One run of a scenario; each grammar rule has a method of the same name."""

    jobs: anyio.abc.TaskGroup

    async def watch_invariants(self) -> None:
        """Check the invariants periodically."""
        while True:
            await anyio.sleep(SAMPLE_SECONDS)
            self.check_invariants()

    def check_invariants(self) -> None:
        """Check budgets, slots and limits, and record what the expectations need."""
        node = next(iter(self.cluster.nodes.values()))
        out_of_service = [
            vm for vm in node.endpoints.vms.values() if vm.phase is not VmPhase.JOINED
        ]
        for budget in node.replica.all(Budget.kind):
            for target, down in Counter(getattr(vm, budget.scope) for vm in out_of_service).items():
                if budget.target in ("*", target):
                    assert (
                        down <= budget.max_unavailable
                    ), f"{budget.name}: {down} VMs of {target} are out of service"
        running: Counter[str] = Counter()
        for vm, endpoint in self.cluster.endpoints.items():
            slots = self.slots_of(vm)
            assert endpoint.most_running <= slots, f"{vm} ran {endpoint.most_running} of {slots}"
            running.update(endpoint.running_by_team)
        for team, count in running.items():
            self.most_running[team] = max(self.most_running[team], count)
            if team in self.limits:
                assert count <= self.limits[team], f"{team} runs {count} of {self.limits[team]}"
            self.shares[team] += count
        counts = self.cluster.counts
        self.store_calls.append((self.cluster.clock.now(), counts["write"], counts["read"]))

    def slots_of(self, vm: str) -> int:
        """Return the slots of a VM, 8 if no daemon has its record."""
        node = next(iter(self.cluster.nodes.values()), None)
        found = node.endpoints.vms.get(vm) if node else None
        return found.slots if found else 8

    async def execute(self, tree: lark.Tree) -> None:
        """Execute one statement."""
        arguments = [_argument(child) for child in tree.children]
        method = getattr(self, str(tree.data))
        result = method(*arguments)
        if result is not None:
            await result

    async def apply(self, *objects: Any) -> None:
        """Write configuration objects and record whether they were refused."""
        try:
            await self.cluster.apply(objects)
            self.change_refused = False
        except LimpetpulleyError:
            self.change_refused = True

    # Setup

    def daemons(self, count: str, centres: str) -> None:
        for index in range(int(count)):
            self.cluster.start(f"d{index + 1}", f"dc{index % int(centres) + 1}")

    async def endpoints(self, count: str, slots: str, pool: str | None) -> None:
        pool = pool or "main"
        before = len(self.cluster.endpoints)
        objects: list[Any] = [Pool(pool, spare=pool == "spare")]
        for index in range(int(count)):
            name = f"{pool}-{index + 1}"
            address = self.cluster.add_endpoint(name)
            position = before + index
            rack, centre = f"rack-{position // 2 + 1}", f"dc{position // 2 % 3 + 1}"
            objects.append(Vm(name, pool, address, rack, centre, int(slots)))
        await self.apply(*objects)

    async def team(self, name: str, weight: str, limit: str, waiting: str | None) -> None:
        self.limits[name] = int(limit)
        team = Team(name, float(weight), int(limit), int(waiting or 500))
        await self.apply(team, Cluster.key(name))

    async def queue(self, name: str, longest: str) -> None:
        await self.apply(Queue(name, "main", run_seconds=0.1, max_seconds=float(longest)))

    async def idempotent_queue(self, name: str, longest: str) -> None:
        queue = Queue(name, "main", idempotent=True, run_seconds=0.1, max_seconds=float(longest))
        await self.apply(queue)

    async def open_queue(self, name: str, team: str, longest: str) -> None:
        queue = Queue(name, "main", open_to=team, run_seconds=0.1, max_seconds=float(longest))
        await self.apply(queue)

    async def budget(self, scope: str, target: str, count: str) -> None:
        name = f"{scope}-{target}"
        target = "*" if target == "each" else target
        await self.apply(Budget(name, scope.replace("-", "_"), target, int(count)))

    async def settle(self) -> None:
        await self.cluster.settle()
        await anyio.sleep(4.0)

    async def wait(self, seconds: str) -> None:
        await anyio.sleep(float(seconds))

    # Jobs

    def submit(
        self, count: str, name: str, team: str, through: list[str], run: str, within: str, *rest
    ) -> None:
        options = dict(rest)
        batch = self.batches.setdefault(name, Batch())
        batch.submitted += int(count)
        for index in range(int(count)):
            daemon = through[index % len(through)]
            delay = index * float(options.get("every", 0))
            self.jobs.start_soon(self.submit_one, batch, daemon, team, run, within, options, delay)

    async def submit_one(
        self, batch: Batch, daemon: str, team: str, run: str, within: str, options: Any, delay: Any
    ) -> None:
        await anyio.sleep(delay)
        headers = {"run_seconds": run}
        if "key" in options:
            headers["idempotency_key"] = options["key"]
        if "failing" in options:
            headers["fail"] = options["failing"]
        body = options.get("body", "x").encode()
        queue = options.get("into", "jobs")
        key_team = "" if queue.startswith("open") else team
        if daemon not in self.cluster.nodes:
            daemon = list(self.cluster.nodes)[-1]
        outcome = await self.cluster.submit(
            daemon, queue, key_team, float(within), body, batch.cancelled, **headers
        )
        batch.outcomes.append(outcome)

    async def finish(self, name: str) -> None:
        batch = self.batches[name]
        with anyio.fail_after(120):
            while len(batch.outcomes) < batch.submitted:
                await anyio.sleep(0.01)

    def cancel(self, name: str) -> None:
        self.batches[name].cancelled.set()

    # Faults

    def kill(self, name: str) -> None:
        self.cluster.kill(name)

    def kill_holders(self, count: str, key: str, team: str) -> None:
        view = next(iter(self.cluster.nodes.values())).member.view
        members = [(info.member, info.data_centre) for info in view.members]
        for holder in choose_holders(f"{team}/jobs/{key}", members)[: int(count)]:
            info = view.find(holder)
            if info.vm in self.cluster.nodes:
                self.cluster.kill(info.vm)

    def freeze(self, name: str) -> None:
        self.cluster.network.frozen.add(name)

    def thaw(self, name: str) -> None:
        self.cluster.network.frozen.discard(name)

    def cut(self, name: str, other: str | None) -> None:
        if other:
            self.cluster.network.cut_pairs.add(frozenset((name, other)))
        else:
            self.cluster.network.cut.add(name)

    def heal(self) -> None:
        self.cluster.network.cut.clear()
        self.cluster.network.cut_pairs.clear()

    async def stop(self, name: str) -> None:
        await self.cluster.stop(name)

    def start_daemon(self, name: str, centre: str, rate: str | None) -> None:
        self.cluster.start(name, centre, float(rate or 1))

    def store_away(self) -> None:
        self.cluster.faults.outage = True

    def store_back(self) -> None:
        self.cluster.faults.outage = False
        self.cluster.faults.slow_seconds = 0.0

    def store_slow(self, seconds: str) -> None:
        self.cluster.faults.slow_seconds = float(seconds)

    def store_loses(self, count: str) -> None:
        self.cluster.faults.lose_answers = int(count)

    def watch_silent(self) -> None:
        self.cluster.faults.silent_watch = True

    def network(self, loss_rate: str, duplication_rate: str) -> None:
        self.cluster.network.loss_rate = float(loss_rate)
        self.cluster.network.duplication_rate = float(duplication_rate)

    def list_lag(self, seconds: str) -> None:
        self.cluster.fleet.list_lag_seconds = float(seconds)

    def endpoint_fails(self, name: str) -> None:
        self.cluster.endpoints[name].fail_all = True

    def endpoint_works(self, name: str) -> None:
        self.cluster.endpoints[name].fail_all = False

    def endpoint_leaves(self, name: str) -> None:
        self.cluster.endpoints[name].leaving = True

    def endpoint_truncates(self, name: str) -> None:
        self.cluster.endpoints[name].truncate = True

    def silence(self, name: str) -> None:
        self.cluster.nodes[name].dependencies.endpoints.silence()  # type: ignore[attr-defined]

    # Operators

    async def withdraw(self, team: str) -> None:
        await self.apply(attrs.evolve(Cluster.key(team), withdrawn=True))

    async def grant(self, team: str) -> None:
        await self.apply(Cluster.key(team))

    async def limit(self, team: str, count: str) -> None:
        await self.apply(attrs.evolve(self.config_object("team", team), limit=int(count)))
        if int(count) > self.limits[team]:
            self.limits[team] = int(count)

    async def drain(self, vm: str) -> None:
        await self.apply(attrs.evolve(self.config_object("vm", vm), phase=VmPhase.LEAVING))

    async def join(self, vm: str) -> None:
        await self.apply(attrs.evolve(self.config_object("vm", vm), phase=VmPhase.JOINED))

    async def move(self, vm: str, pool: str) -> None:
        fields = {"phase": VmPhase.LEAVING, "move_to": pool}
        await self.apply(attrs.evolve(self.config_object("vm", vm), **fields))

    async def wave(self, name: str, pools: list[str] | None) -> None:
        await self.apply(Wave(name, tuple(pools or ())))

    async def wave_state(self, name: str, state: str) -> None:
        await self.apply(attrs.evolve(self.config_object("wave", name), state=WaveState(state)))

    def reboots_take(self, seconds: str) -> None:
        self.cluster.fleet.reboot_seconds = float(seconds)

    def stuck(self, vm: str) -> None:
        self.cluster.fleet.get_or_add(vm).stuck = True

    def lose_rack(self, rack: str) -> None:
        node = next(iter(self.cluster.nodes.values()))
        for vm in list(node.endpoints.vms.values()):
            if vm.rack == rack:
                self.cluster.fleet.remove(vm.name)
                self.cluster.network.apps.pop(vm.address, None)


def _argument(child: Any) -> Any:
    if not isinstance(child, lark.Tree):
        return None if child is None else str(child)
    if child.data == "names":
        return [str(name) for name in child.children]
    return str(child.data), str(child.children[0])


async def run_statements(text: str, seed: int) -> None:
    """Run the statements of a scenario.

    :raises AssertionError: if an expectation or an invariant does not hold
    """
    tree = GRAMMAR.parse(text)
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, seed)
        async with anyio.create_task_group() as jobs:
            scenario = Scenario(cluster, jobs)
            jobs.start_soon(scenario.watch_invariants)
            for statement in tree.children:
                try:
                    await scenario.execute(statement)
                except AssertionError as error:
                    raise AssertionError(
                        f"{statement.data} {statement.children}: {error}"
                    ) from None
            scenario.check_invariants()
            jobs.cancel_scope.cancel()
        tasks.cancel_scope.cancel()


def run_scenario(path: pathlib.Path, seed: int) -> None:
    """Run the scenario in a file on virtual time."""
    run_virtual(run_statements, path.read_text(), seed)
