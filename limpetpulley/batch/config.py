"""Configuration for jobs of steps: queues, pools and teams."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from .model import Amount

__all__ = ["AdviceConfig", "BatchConfig", "PoolConfig", "QueueConfig", "TeamConfig"]


@attrs.frozen
class AdviceConfig:
    """Settings of a queue whose steps need tickets from the advice service.

    :param decide_seconds: fixed part of the duration of a call to the service, in seconds
    :param per_worker_seconds: additional duration of a call for each worker in it, in seconds
    :param valid_seconds: validity of a ticket, in seconds
    """

    decide_seconds: float
    per_worker_seconds: float
    valid_seconds: float


@attrs.frozen
class QueueConfig:
    """Settings of a queue.

    :param host: host name in the requests of its callers, in lower case
    :param path_prefix: prefix of the URL paths of its jobs
    :param pool: pool whose workers run its jobs
    :param priority: jobs with a lower value start first, 0 is the highest priority
    :param max_attempts: number of failed runs of one task after which its job fails
    :param stretch: allowed duration of a job, as a multiple of its critical path
    :param latency_target_seconds: allowed duration in addition to that, in seconds
    :param timeout_seconds: longest time that its callers wait for a response, in seconds, 0 if not
        known
    :param public: whether requests without a valid access key are accepted
    :param advice: settings of the tickets that its steps need, None if they need none
    :param open_to: team that jobs without a valid access key are charged to, empty for none
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
    """Settings of a pool of workers.

    :param standby: whether its VMs are switched off and incur no cost
    :param guards: whether its workers reject tasks that exceed their capacity
    """

    name: str
    standby: bool = False
    guards: bool = True


@attrs.frozen
class TeamConfig:
    """Settings of a team.

    :param keys: access keys, or their digests where the keys themselves are not stored
    :param weight: weight of its fair share when capacity is scarce
    :param limit: maximum resources of its running tasks over all pools; 0 in a field for no limit
    """

    name: str
    keys: frozenset[str] = frozenset()
    weight: float = 1.0
    limit: Amount = Amount()


@attrs.frozen
class BatchConfig:
    """One version of the configuration.

    :param queues: queues by name
    :param pools: pools by name
    :param teams: teams by name
    """

    version: int
    queues: dict[str, QueueConfig] = attrs.field(factory=dict)
    pools: dict[str, PoolConfig] = attrs.field(factory=dict)
    teams: dict[str, TeamConfig] = attrs.field(factory=dict)
    _by_host: dict[str, list[QueueConfig]] = attrs.field(init=False, factory=dict)
    _by_key: dict[str, str] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        for queue in self.queues.values():
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: -len(queue.path_prefix))
        for team in self.teams.values():
            for key in team.keys:
                self._by_key[key] = team.name

    def find_queue(self, host: str, path: str) -> QueueConfig | None:
        """Return the queue of a host with the longest matching path prefix, or None."""
        candidates: Iterable[QueueConfig] = self._by_host.get(host.lower(), ())
        return next((queue for queue in candidates if path.startswith(queue.path_prefix)), None)

    def find_team(self, key: str) -> str | None:
        """Return the team of an access key or its digest, or None."""
        return self._by_key.get(key)
