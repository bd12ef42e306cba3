"""Tickets of the advice service: on which workers a step may run. No I/O.

Answers queues whose policy only the advice service knows, which takes a while for each call and
one call at a time: tickets are fetched as soon as a step may run, for the jobs that go first.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import attrs

from ..batch import AdviceRule, Job, TaskId
from ..workers import Worker

__all__ = ["StepKey", "TicketBook", "TicketRequest"]

#: most workers named in one call; from the platform's description of the service
WORKERS_A_CALL = 100
#: part of a ticket's life after which it is fetched again
RENEW_PART = 0.7
#: time before a step is asked for again after a call that gave no ticket, in seconds
ASK_AGAIN_SECONDS = 0.5


class StepKey(NamedTuple):
    """A step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


@attrs.frozen
class TicketRequest:
    """A call to make."""

    step: StepKey
    workers: tuple[str, ...]


@attrs.define
class _Held:
    asked_at: float
    asked: frozenset[str]
    tickets: dict[str, str] = attrs.field(factory=dict)
    valid_until: float = 0.0


class TicketBook:
    """Tickets by step, and what is to be asked next."""

    def __init__(self) -> None:
        self.rules: dict[str, AdviceRule] = {}
        self.held: dict[StepKey, _Held] = {}

    def needs_ticket(self, job: Job) -> bool:
        """Return whether a job's starts carry tickets."""
        return job.key.queue in self.rules

    def allowed(self, job: Job, task: TaskId, workers: list[Worker], now: float) -> list[Worker]:
        """Return the workers that a task may start on."""
        if not self.needs_ticket(job):
            return workers
        held = self.held.get(step_key(task))
        if held is None or now >= held.valid_until:
            return []
        return [worker for worker in workers if worker.worker_id in held.tickets]

    def ticket(self, task: TaskId, worker_id: str) -> str:
        """Return the ticket for a start, empty if none is held."""
        held = self.held.get(step_key(task))
        return held.tickets.get(worker_id, "") if held else ""

    def next_request(
        self, jobs: Iterable[tuple[Job, list[TaskId]]], workers: list[Worker], now: float
    ) -> TicketRequest | None:
        """Return the next call to make, or None.

        :param jobs: jobs in the order in which they are started, with their tasks that wait
        """
        names = frozenset(worker.worker_id for worker in workers[:WORKERS_A_CALL])
        if not names:
            return None
        for job, tasks in jobs:
            rule = self.rules.get(job.key.queue)
            if rule is None:
                continue
            for key in dict.fromkeys(step_key(task) for task in tasks):
                if self._is_due(key, rule, names, now):
                    return TicketRequest(key, tuple(sorted(names)))
        return None

    def note_asked(self, request: TicketRequest, now: float) -> None:
        """Note that a call is being made."""
        held = self.held.get(request.step)
        if held is None:
            self.held[request.step] = _Held(now, frozenset(request.workers))
        else:
            held.asked_at, held.asked = now, frozenset(request.workers)

    def note_tickets(
        self, request: TicketRequest, tickets: dict[str, str], valid_seconds: float, now: float
    ) -> None:
        """Take the tickets that a call gave.

        :param now: local time when the call was made: a ticket's life may have begun then
        """
        held = self.held[request.step]
        held.tickets, held.valid_until = tickets, now + valid_seconds

    def drop(self, task: TaskId) -> None:
        """Drop a step's tickets, because one was rejected."""
        self.held.pop(step_key(task), None)

    def forget(self, job_ids: Iterable[str]) -> None:
        """Forget the tickets of all jobs but these."""
        kept = set(job_ids)
        self.held = {key: held for key, held in self.held.items() if key.job_id in kept}

    def _is_due(self, key: StepKey, rule: AdviceRule, names: frozenset[str], now: float) -> bool:
        held = self.held.get(key)
        if held is None:
            return True
        if now - held.asked_at < ASK_AGAIN_SECONDS:
            return False
        ageing = now - held.asked_at > RENEW_PART * rule.valid_seconds
        return ageing or not names <= held.asked


def step_key(task: TaskId) -> StepKey:
    """Return the step of a task."""
    return StepKey(task.job_id, task.occurrence, task.step)
