"""Checks of a configuration as a whole."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from ..exception import ConfigError, InvalidConfig
from .objects import AccessKey, Budget, ConfigObject, Pool, Queue, Team, Vm, Wave

__all__ = ["check_objects", "find_problems"]


def check_objects(objects: Iterable[ConfigObject]) -> None:
    """Check references, sums and limits between objects.

    :param objects: all objects of the configuration
    :raises InvalidConfig: a group with each problem found
    """
    problems = list(find_problems(objects))
    if problems:
        raise InvalidConfig("the configuration does not hold together", problems)


def find_problems(objects: Iterable[ConfigObject]) -> Iterator[ConfigError]:
    """Yield each problem between objects.

    >>> [str(problem) for problem in find_problems([Queue("rates", pool="desk")])]
    ["queue rates: pool 'desk' does not exist"]
    """
    objects = list(objects)
    teams = {value.name for value in objects if isinstance(value, Team)}
    pools = {value.name: value for value in objects if isinstance(value, Pool)}
    vms = [value for value in objects if isinstance(value, Vm)]
    steps = {value.pool for value in objects if isinstance(value, Queue) and value.steps}
    yield from _find_repeated(objects)
    for value in objects:
        match value:
            case AccessKey() if value.team not in teams:
                yield ConfigError(f"key {value.name}: team {value.team!r} does not exist")
            case Queue():
                yield from _find_queue_problems(value, teams, pools)
                if not value.steps and value.pool in steps:
                    yield ConfigError(
                        f"queue {value.name}: pool {value.pool!r} serves jobs of steps"
                    )
            case Vm():
                for pool in (value.pool, value.move_to, value.home):
                    if pool and pool not in pools:
                        yield ConfigError(f"vm {value.name}: pool {pool!r} does not exist")
                    elif pool in steps:
                        yield ConfigError(
                            f"vm {value.name}: pool {pool!r} serves jobs of steps; its workers "
                            "make themselves known"
                        )
            case Budget():
                yield from _find_budget_problems(value, pools, vms)
            case Wave():
                yield from _find_wave_problems(value, pools, steps)
    yield from _find_vm_problems(vms, pools)


def _find_repeated(objects: list[ConfigObject]) -> Iterator[ConfigError]:
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
            f"queue {queue.name}: a job takes {queue.run_seconds:g} s, but its longest deadline "
            f"is {queue.max_seconds:g} s"
        )


def _find_wave_problems(
    wave: Wave, pools: dict[str, Pool], steps: set[str]
) -> Iterator[ConfigError]:
    for pool in wave.pools:
        if pool not in pools:
            yield ConfigError(f"wave {wave.name}: pool {pool!r} does not exist")
        elif pool in steps or pools[pool].off:
            yield ConfigError(
                f"wave {wave.name}: the VMs of pool {pool!r} are not part of the configuration"
            )


def _find_budget_problems(
    budget: Budget, pools: dict[str, Pool], vms: list[Vm]
) -> Iterator[ConfigError]:
    if budget.target == "*":
        return
    known = set(pools) if budget.scope == "pool" else {getattr(vm, budget.scope) for vm in vms}
    if budget.target not in known:
        yield ConfigError(f"budget {budget.name}: {budget.scope} {budget.target!r} does not exist")


def _find_vm_problems(vms: list[Vm], pools: dict[str, Pool]) -> Iterator[ConfigError]:
    addresses = Counter(vm.address for vm in vms)
    for vm in vms:
        if addresses[vm.address] > 1:
            yield ConfigError(f"vm {vm.name}: another VM has the address {vm.address}")
    sizes = Counter(vm.pool for vm in vms)
    for pool in pools.values():
        if sizes[pool.name] and pool.min_vms > sizes[pool.name]:
            yield ConfigError(
                f"pool {pool.name}: min_vms is {pool.min_vms}, but it has {sizes[pool.name]} VMs"
            )
