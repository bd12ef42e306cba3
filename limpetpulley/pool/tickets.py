"""Cache of the advice service's tickets, which say where a step may run. No I/O.

Some queues have a placement policy that only the advice service can evaluate. It is slow and
handles one call at a time, so tickets are fetched as soon as a step is ready, for the jobs that
start first.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import attrs

from ..batch import AdviceConfig, Job, TaskId
from ..workers import Worker

__all__ = ["StepKey", "TicketCache", "TicketRequest"]

#: maximum number of workers in one call; from the platform's description of the service
MAX_WORKERS_PER_CALL = 100
#: fraction of a ticket's lifetime after which it is renewed
RENEWAL_FRACTION = 0.7
#: delay before tickets for a step are requested again after a failed call, in seconds
RETRY_SECONDS = 0.5


class StepKey(NamedTuple):
    """Key of a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@attrs.frozen
class TicketRequest:
    """Call to the advice service for the tickets of one step."""

    step: StepKey
    workers: tuple[str, ...]


@attrs.define
class _StepTickets:
    requested_at: float
    requested_workers: frozenset[str]
    tickets: dict[str, str] = attrs.field(factory=dict)
    valid_until: float = 0.0


class TicketCache:
    """Tickets by step, and the choice of the next request."""

    def __init__(self) -> None:
        self.advice_configs: dict[str, AdviceConfig] = {}
        self.entries: dict[StepKey, _StepTickets] = {}

    def needs_ticket(self, job: Job) -> bool:
        """Return whether the start orders of a job must carry tickets."""
        return job.key.queue in self.advice_configs

    def allowed_workers(
        self, job: Job, task: TaskId, workers: list[Worker], now: float
    ) -> list[Worker]:
        """Return the workers that a task may start on."""
        if not self.needs_ticket(job):
            return workers
        entry = self.entries.get(step_key(task))
        if entry is None or now >= entry.valid_until:
            return []
        return [worker for worker in workers if worker.worker_id in entry.tickets]

    def ticket(self, task: TaskId, worker_id: str) -> str:
        """Return the ticket for a start order, empty if there is none."""
        entry = self.entries.get(step_key(task))
        return entry.tickets.get(worker_id, "") if entry else ""

    def next_request(
        self, jobs: Iterable[tuple[Job, list[TaskId]]], workers: list[Worker], now: float
    ) -> TicketRequest | None:
        """Return the next request to send, or None.

        :param jobs: jobs in start order, with their ready tasks
        """
        worker_ids = frozenset(worker.worker_id for worker in workers[:MAX_WORKERS_PER_CALL])
        if not worker_ids:
            return None
        for job, tasks in jobs:
            advice_config = self.advice_configs.get(job.key.queue)
            if advice_config is None:
                continue
            for key in dict.fromkeys(step_key(task) for task in tasks):
                if self._is_due(key, advice_config, worker_ids, now):
                    return TicketRequest(key, tuple(sorted(worker_ids)))
        return None

    def mark_requested(self, request: TicketRequest, now: float) -> None:
        """Record that a request is being sent."""
        entry = self.entries.get(request.step)
        if entry is None:
            self.entries[request.step] = _StepTickets(now, frozenset(request.workers))
        else:
            entry.requested_at, entry.requested_workers = now, frozenset(request.workers)

    def store_tickets(
        self, request: TicketRequest, tickets: dict[str, str], valid_seconds: float, now: float
    ) -> None:
        """Store the tickets that a request returned.

        :param now: local time when the request was sent: the tickets' lifetime may start then
        """
        # The step's earlier tickets may have been dropped while the call was under way.
        new_entry = _StepTickets(now, frozenset(request.workers))
        entry = self.entries.setdefault(request.step, new_entry)
        entry.tickets, entry.valid_until = tickets, now + valid_seconds

    def drop(self, task: TaskId) -> None:
        """Drop the tickets of a task's step, because a worker rejected one."""
        self.entries.pop(step_key(task), None)

    def retain(self, job_ids: Iterable[str]) -> None:
        """Drop the tickets of all other jobs."""
        kept_jobs = set(job_ids)
        self.entries = {
            key: entry for key, entry in self.entries.items() if key.job_id in kept_jobs
        }

    def _is_due(
        self, key: StepKey, advice_config: AdviceConfig, worker_ids: frozenset[str], now: float
    ) -> bool:
        entry = self.entries.get(key)
        if entry is None:
            return True
        if now - entry.requested_at < RETRY_SECONDS:
            return False
        needs_renewal = now - entry.requested_at > RENEWAL_FRACTION * advice_config.valid_seconds
        return needs_renewal or not worker_ids <= entry.requested_workers


def step_key(task: TaskId) -> StepKey:
    """Return the key of a task's step."""
    return StepKey(task.job_id, task.occurrence, task.step)
