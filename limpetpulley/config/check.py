"""Validation of references and limits across the objects of a configuration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from ..exception import ConfigError, InvalidConfig
from .objects import AccessKey, Budget, ConfigObject, Pool, Queue, Team, Vm, Wave

__all__ = ["check_objects", "find_problems"]


def check_objects(objects: Iterable[ConfigObject]) -> None:
    """Check references between objects, totals and limits.

    :param objects: all objects of the configuration
    :raises InvalidConfig: an exception group of all problems found
    """
    problems = list(find_problems(objects))
    if problems:
        raise InvalidConfig("the configuration is inconsistent", problems)


def find_problems(objects: Iterable[ConfigObject]) -> Iterator[ConfigError]:
    """Yield each inconsistency between objects.

    >>> [str(problem) for problem in find_problems([Queue("rates", pool="desk")])]
    ["queue rates: pool 'desk' does not exist"]
    """
    objects = list(objects)
    teams = {value.name for value in objects if isinstance(value, Team)}
    pools = {value.name: value for value in objects if isinstance(value, Pool)}
    vms = [value for value in objects if isinstance(value, Vm)]
    step_pools = {value.pool for value in objects if isinstance(value, Queue) and value.steps}
    yield from _find_duplicates(objects)
    for value in objects:
        match value:
            case AccessKey() if value.team not in teams:
                yield ConfigError(f"key {value.name}: team {value.team!r} does not exist")
            case Queue():
                yield from _find_queue_problems(value, teams, pools)
                if not value.steps and value.pool in step_pools:
                    yield ConfigError(
                        f"queue {value.name}: pool {value.pool!r} serves jobs of steps"
                    )
            case Vm():
                for pool in (value.pool, value.move_to, value.home):
                    if pool and pool not in pools:
                        yield ConfigError(f"vm {value.name}: pool {pool!r} does not exist")
                    elif pool in step_pools:
                        yield ConfigError(
                            f"vm {value.name}: pool {pool!r} serves jobs of steps; its workers "
                            "register themselves"
                        )
            case Budget():
                yield from _find_budget_problems(value, pools, vms)
            case Wave():
                yield from _find_wave_problems(value, pools, step_pools)
    yield from _find_vm_problems(vms, pools)


def _find_duplicates(objects: list[ConfigObject]) -> Iterator[ConfigError]:
    counts = Counter((value.kind, value.name) for value in objects)
    for (kind, name), count in counts.items():
        if count > 1:
            yield ConfigError(f"{kind} {name}: defined {count} times")
    digests = Counter(value.digest for value in objects if isinstance(value, AccessKey))
    for value in objects:
        if isinstance(value, AccessKey) and digests[value.digest] > 1:
            yield ConfigError(f"key {value.name}: another key has the same digest")


def _find_queue_problems(
    queue: Queue, teams: set[str], pools: dict[str, Pool]
) -> Iterator[ConfigError]:
    if queue.pool not in pools:
        yield ConfigError(f"queue {queue.name}: pool {queue.pool!r} does not exist")
    if queue.open_to and queue.open_to not in teams:
        yield ConfigError(f"queue {queue.name}: team {queue.open_to!r} does not exist")
    if queue.run_seconds > queue.max_seconds:
        yield ConfigError(
            f"queue {queue.name}: run_seconds, {queue.run_seconds:g} s, is longer than "
            f"max_seconds, {queue.max_seconds:g} s"
        )


def _find_wave_problems(
    wave: Wave, pools: dict[str, Pool], step_pools: set[str]
) -> Iterator[ConfigError]:
    for pool in wave.pools:
        if pool not in pools:
            yield ConfigError(f"wave {wave.name}: pool {pool!r} does not exist")
        elif pool in step_pools or pools[pool].off:
            yield ConfigError(
                f"wave {wave.name}: the VMs of pool {pool!r} are not part of the configuration"
            )


def _find_budget_problems(
    budget: Budget, pools: dict[str, Pool], vms: list[Vm]
) -> Iterator[ConfigError]:
    if budget.target == "*":
        return
    targets = set(pools) if budget.scope == "pool" else {getattr(vm, budget.scope) for vm in vms}
    if budget.target not in targets:
        yield ConfigError(f"budget {budget.name}: {budget.scope} {budget.target!r} does not exist")


def _find_vm_problems(vms: list[Vm], pools: dict[str, Pool]) -> Iterator[ConfigError]:
    addresses = Counter(vm.address for vm in vms)
    for vm in vms:
        if addresses[vm.address] > 1:
            yield ConfigError(f"vm {vm.name}: another VM has the address {vm.address}")
    vm_counts = Counter(vm.pool for vm in vms)
    for pool in pools.values():
        if vm_counts[pool.name] and pool.min_vms > vm_counts[pool.name]:
            yield ConfigError(
                f"pool {pool.name}: min_vms is {pool.min_vms}, but it has "
                f"{vm_counts[pool.name]} VMs"
            )
