"""The configuration that the batch path works by: queues, pools, teams."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from .model import Amount

__all__ = ["AdviceConfig", "BatchConfig", "PoolConfig", "QueueConfig", "TeamConfig"]


@attrs.frozen
class AdviceConfig:
    """A queue whose steps need tickets from the advice service.

    :param decide_seconds: time that the service takes for a call
    :param per_worker_seconds: further time for each worker named
    :param valid_seconds: how long a ticket is valid
    """

    decide_seconds: float
    per_worker_seconds: float
    valid_seconds: float


@attrs.frozen
class QueueConfig:
    """A queue.

    :param host: host that its callers name, in lower case
    :param path_prefix: start of the path of its jobs
    :param priority: 0 comes first
    :param max_attempts: failed runs of a task after which its job has failed
    :param stretch: allowed factor over the run time of a job's longest chain
    :param latency_target_seconds: allowed time beyond that
    :param timeout_seconds: longest time for one answer
    :param public: whether no key is needed
    :param open_to: team that jobs without a key run for, empty for none
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_target_seconds: float = 0.0
    timeout_seconds: float = 0.0
    public: bool = False
    advice: AdviceConfig | None = None
    open_to: str = ""


@attrs.frozen
class PoolConfig:
    """A pool of workers.

    :param standby: whether its VMs are off and cost nothing
    :param guards: whether its workers reject what does not fit
    """

    name: str
    standby: bool = False
    guards: bool = True


@attrs.frozen
class TeamConfig:
    """A team.

    :param keys: access keys, or their digests where only these are known
    :param weight: its share when all is full
    :param limit: most that it may have running over all pools; 0 in a field for no limit
    """

    name: str
    keys: frozenset[str] = frozenset()
    weight: float = 1.0
    limit: Amount = Amount()


@attrs.frozen
class BatchConfig:
    """One version of the configuration."""

    version: int
    queues: dict[str, QueueConfig] = attrs.field(factory=dict)
    pools: dict[str, PoolConfig] = attrs.field(factory=dict)
    teams: dict[str, TeamConfig] = attrs.field(factory=dict)
    _by_host: dict[str, list[QueueConfig]] = attrs.field(init=False, factory=dict)
    _by_key: dict[str, str] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        for queue in self.queues.values():
            self._by_host.setdefault(queue.host, []).append(queue)
        for found in self._by_host.values():
            found.sort(key=lambda queue: -len(queue.path_prefix))
        for team in self.teams.values():
            for key in team.keys:
                self._by_key[key] = team.name

    def find_queue(self, host: str, path: str) -> QueueConfig | None:
        """Return the queue with the longest prefix that a path begins with, or None."""
        candidates: Iterable[QueueConfig] = self._by_host.get(host.lower(), ())
        return next((queue for queue in candidates if path.startswith(queue.path_prefix)), None)

    def find_team(self, key: str) -> str | None:
        """Return the team that an access key belongs to, or None."""
        return self._by_key.get(key)
