"""Conversion of configuration objects into the rules for jobs of steps."""

from __future__ import annotations

from collections import defaultdict

from ..batch import Amount, BatchConfig, PoolConfig, QueueConfig, TeamConfig
from .objects import AccessKey, Pool, Queue, Team
from .replica import ConfigReplica

__all__ = ["make_batch_config"]

MILLICORES_PER_CORE = 1000


def make_batch_config(replica: ConfigReplica, version: int) -> BatchConfig:
    """Return the rules for jobs of steps.

    They include the pools that serve a queue of such jobs, and the standby pools, whose VMs are
    off until one of these pools needs them.

    :param version: version number of this configuration; it increases with each configuration
    """
    queues = {
        queue.name: _make_queue_rule(queue) for queue in replica.all(Queue.kind) if queue.steps
    }
    step_pools = {queue.pool for queue in queues.values()}
    pools = {
        pool.name: PoolConfig(pool.name, standby=pool.off)
        for pool in replica.all(Pool.kind)
        if pool.off or pool.name in step_pools
    }
    digests: dict[str, set[str]] = defaultdict(set)
    for key in replica.all(AccessKey.kind):
        if not key.withdrawn:
            digests[key.team].add(key.digest)
    teams = {
        team.name: TeamConfig(
            team.name, frozenset(digests[team.name]), team.weight, _make_limit(team)
        )
        for team in replica.all(Team.kind)
    }
    return BatchConfig(version, queues, pools, teams)


def _make_queue_rule(queue: Queue) -> QueueConfig:
    return QueueConfig(
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


def _make_limit(team: Team) -> Amount:
    return Amount(round(team.processors * MILLICORES_PER_CORE), team.memory_mb, team.accelerators)
