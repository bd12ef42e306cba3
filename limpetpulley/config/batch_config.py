"""Rules for jobs of steps, made from the configuration objects."""

from __future__ import annotations

from collections import defaultdict

from ..batch import Amount, BatchConfig, PoolRule, QueueRule, TeamRule
from .objects import AccessKey, Pool, Queue, Team
from .replica import ConfigReplica

__all__ = ["make_batch_config"]

MILLICORES = 1000


def make_batch_config(replica: ConfigReplica, version: int) -> BatchConfig:
    """Return the rules for jobs of steps.

    Pools are those that a queue of such jobs uses, and those that are off until one of these
    needs their VMs.

    :param version: number of this configuration; later ones have higher numbers
    """
    queues = {queue.name: _queue(queue) for queue in replica.all(Queue.kind) if queue.steps}
    used = {queue.pool for queue in queues.values()}
    pools = {
        pool.name: PoolRule(pool.name, standby=pool.off)
        for pool in replica.all(Pool.kind)
        if pool.off or pool.name in used
    }
    keys: dict[str, set[str]] = defaultdict(set)
    for key in replica.all(AccessKey.kind):
        if not key.withdrawn:
            keys[key.team].add(key.digest)
    teams = {
        team.name: TeamRule(team.name, frozenset(keys[team.name]), team.weight, _limit(team))
        for team in replica.all(Team.kind)
    }
    return BatchConfig(version, queues, pools, teams)


def _queue(queue: Queue) -> QueueRule:
    return QueueRule(
        queue.name,
        host="",
        path_prefix=queue.path,
        pool=queue.pool,
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        latency_target_seconds=queue.latency_seconds,
        public=bool(queue.open_to),
        open_to=queue.open_to,
    )


def _limit(team: Team) -> Amount:
    return Amount(round(team.processors * MILLICORES), team.memory_mb, team.accelerators)
