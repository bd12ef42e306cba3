"""State of a pool's workers and of the runs on them, as kept by the pool's owner."""

from __future__ import annotations

import enum
import math

import attrs

from ..address import Address
from ..batch import Amount, EndKind, TaskId
from .lease import WorkerLease

__all__ = [
    "EndedRun",
    "HoldReply",
    "ListedRun",
    "ListedWorker",
    "Run",
    "RunPhase",
    "StartOutcome",
    "Worker",
]

#: first time without new starts on a worker that rejects starts, in seconds; doubled with each
#: further rejection up to the maximum, which is short against the time that a job may stand still
FIRST_AVOID_SECONDS = 0.25
MAX_AVOID_SECONDS = 1.0
#: first time without new starts on a worker whose orders raise errors that nobody expects, in
#: seconds; doubled with each further one up to the maximum
FIRST_FAULT_PAUSE_SECONDS = 0.5
MAX_FAULT_PAUSE_SECONDS = 30.0
#: full speed of a run, in percent
FULL_SPEED = 100


@attrs.frozen
class ListedWorker:
    """A worker as listed by the platform.

    :param worker_id: identifier of the worker; a VM gets a new one each time that it comes up
    :param address: address on which it accepts orders
    :param incarnation: number of its process start. It names the incarnation, but a later one may
        have a lower number: the time of day that makes it may be set back
    :param vm: VM that it runs on
    :param labels: labels that steps may require, including its rack
    :param draining: whether it is being drained
    :param heartbeat: number of the heartbeat that wrote the entry, 0 if not told
    """

    worker_id: str
    pool: str
    address: Address
    incarnation: int
    capacity: Amount
    vm: str = ""
    rack: str = ""
    labels: frozenset[str] = frozenset()
    data_centre: str = ""
    draining: bool = False
    heartbeat: int = attrs.field(default=0, eq=False)


class RunPhase(enum.Enum):
    """Phase of a run."""

    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


class StartOutcome(enum.Enum):
    """Outcome of a start order on a worker.

    ``STALE_OWNER`` means that the worker has seen a newer owner's fencing token, ``OLD_RUN`` that
    the run number is not higher than that of a run of the task that has ended there, ``LATE`` that
    the requested lease has already expired, ``NO_ROOM`` that free capacity is insufficient,
    ``NO_TICKET`` that the ticket is missing, ``UNHEALTHY`` that the worker did not execute the
    order, ``REFUSED`` that it does not understand the order, and ``OTHER_WORKER`` that another
    worker uses the address.
    """

    STARTED = enum.auto()
    STALE_OWNER = enum.auto()
    OLD_RUN = enum.auto()
    LATE = enum.auto()
    NO_ROOM = enum.auto()
    NO_TICKET = enum.auto()
    UNHEALTHY = enum.auto()
    REFUSED = enum.auto()
    OTHER_WORKER = enum.auto()


@attrs.frozen
class ListedRun:
    """A run in progress, as listed by its worker.

    :param number: run number
    :param checkpoint: last checkpoint, empty for none
    :param percent: current speed, in percent of full speed
    :param gauge: for a task that serves requests, its tail latency over the last half second, in
        seconds; for others the processor usage, in cores
    """

    task: TaskId
    number: int
    checkpoint: str = ""
    percent: int = FULL_SPEED
    gauge: float = 0.0


@attrs.frozen
class EndedRun:
    """An ended run, which its worker lists until it is acknowledged.

    :param position: sequence number of the end in this incarnation of the worker
    :param number: run number
    :param checkpoint: last checkpoint, empty for none
    """

    position: int
    task: TaskId
    number: int
    kind: EndKind
    checkpoint: str = ""


@attrs.frozen
class HoldReply:
    """A worker's reply to a hold, with its running runs and its unacknowledged ended runs.

    :param worker_seconds: the worker's time
    :param incarnation: number of its process start, 0 if not reported
    """

    worker_seconds: float
    incarnation: int
    running: tuple[ListedRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()


@attrs.define(eq=False)
class Run:
    """A run of a task, from its start order until its end.

    :param number: run number; later runs of a task have higher ones
    :param charge: capacity that it reserves on the worker
    :param ordered_at: local time of the start order, None for a run adopted from an earlier owner
    :param sent_at: local time when the last order for it was sent, 0 if an order is yet to be sent
    :param start_sent_at: local time when the last start order for it was sent, 0 for a run adopted
        from an earlier owner
    :param settled_at: worker time by which the last order has taken effect: if a later list of the
        worker does not contain the run, it no longer exists; None while this is not known
    :param unanswered_starts: start orders that were sent and have no reply; each may still be
        executed
    :param started_at: local time of the first reply that told that it had started, None until then
        and for a run adopted from an earlier owner
    :param seen_running: whether its worker's current incarnation has listed it
    :param ticket: ticket of the advice service that its start order contains
    :param percent: speed that its worker reported last, in percent
    :param may_be_stopped_until: worker time until which a stop order of an earlier owner may still
        arrive and end it
    :param at_full_speed: whether it was last listed at full speed, after that time
    :param gauge: see :class:`ListedRun`
    :param ordered_speed: speed that was ordered last, in percent
    """

    task: TaskId
    number: int
    worker_id: str
    charge: Amount
    team: str = ""
    phase: RunPhase = RunPhase.STARTING
    checkpoint: str = ""
    ordered_at: float | None = None
    sent_at: float = 0.0
    start_sent_at: float = 0.0
    settled_at: float | None = None
    unanswered_starts: int = 0
    started_at: float | None = None
    seen_running: bool = False
    ticket: str = ""
    percent: int = 0
    may_be_stopped_until: float = 0.0
    at_full_speed: bool = False
    gauge: float = 0.0
    ordered_speed: int = FULL_SPEED


@attrs.define(eq=False)
class Worker:
    """State of a worker, as kept by its pool's owner.

    :param listed: its last description by the platform
    :param present: whether the platform currently lists it
    :param reconciled: whether it has replied to a hold with this owner's token
    :param reconciled_at: local time of its incarnation's first reply to one, None before it
    :param in_roster: whether the stored roster names it as a worker that may have runs of the pool
    :param cordoned: whether no more runs may be started on it
    :param ended: whether its VM is down or was moved or taken for maintenance, so that all its runs
        have ended
    :param ended_at: local time of the last scan of all runs before it was found to have ended
    :param signs_after_end: kinds of signs of life that it has shown since, for the log
    :param reported_orphans: tasks and numbers of the listed runs that were not current, for the log
    :param silent: whether its last call got no reply
    :param last_reply_at: local time of its last reply
    :param lost_at: local time at which a call failed without a timeout, None after a reply
    :param heartbeat_at: local time at which a new heartbeat of it was last seen
    :param suspected: entry of another incarnation that no reply has confirmed or refuted, None if
        there is none
    :param suspected_at: local time of the last scan of all runs before it was read
    :param restarted_at: local time at which its incarnation was found to have started, until that
        incarnation replies; None for the first one
    :param processed_through: position of the last ended run that was processed
    :param stored_through: position up to which ended runs are stored and may be acknowledged
    :param list_truncated: whether its last reply may have left out ended runs
    :param avoid_until: local time until which no run is started on it
    :param rejections: number of pauses after rejected starts since the last accepted one
    :param faults: number of orders since the last started run that raised errors which nobody
        expects
    :param speed_changed_at: local time when the speed of its filler runs was last changed
    :param used: capacity that its runs reserve
    :param lease: lease on its runs
    :param runs: runs on it, by task
    :param lost_starts: tasks and numbers of the runs that were dropped while it was silent, and
        whose start it is not known to have outlived
    """

    listed: ListedWorker
    present: bool = True
    reconciled: bool = False
    reconciled_at: float | None = None
    in_roster: bool = False
    cordoned: bool = False
    ended: bool = False
    ended_at: float = 0.0
    signs_after_end: set[str] = attrs.field(factory=set)
    reported_orphans: set[tuple[TaskId, int]] = attrs.field(factory=set)
    silent: bool = False
    last_reply_at: float = 0.0
    lost_at: float | None = None
    heartbeat_at: float = -math.inf
    suspected: ListedWorker | None = None
    suspected_at: float = 0.0
    restarted_at: float | None = None
    processed_through: int = 0
    stored_through: int = 0
    list_truncated: bool = False
    avoid_until: float = 0.0
    rejections: int = 0
    faults: int = 0
    speed_changed_at: float = 0.0
    used: Amount = Amount()
    lease: WorkerLease = attrs.field(factory=WorkerLease)
    runs: dict[TaskId, Run] = attrs.field(factory=dict)
    lost_starts: list[tuple[TaskId, int]] = attrs.field(factory=list)
    # Cached free capacity, preceded by the capacity and the usage that it was computed from.
    _room: tuple[Amount, Amount, Amount] | None = None

    @property
    def worker_id(self) -> str:
        """Return the worker's identifier."""
        return self.listed.worker_id

    @property
    def room(self) -> Amount:
        """Return the free capacity."""
        cached, capacity = self._room, self.listed.capacity
        if cached is None or cached[0] is not capacity or cached[1] is not self.used:
            cached = self._room = (capacity, self.used, capacity - self.used)
        return cached[2]

    @property
    def is_going(self) -> bool:
        """Return whether it is being emptied, or is not listed any more."""
        return self.cordoned or self.listed.draining or not self.present

    @property
    def ends_stored(self) -> bool:
        """Return whether no ended run is recorded only by the worker and in the owner's memory."""
        return not self.list_truncated and self.stored_through >= self.processed_through

    def add(self, run: Run) -> None:
        """Add a run and reserve its capacity."""
        self.runs[run.task] = run
        self.used = self.used + run.charge

    def remove(self, run: Run) -> None:
        """Remove a run and release its capacity."""
        del self.runs[run.task]
        self.used = self.used - run.charge

    def note_rejection(self, now: float) -> float:
        """Allow no starts on the worker for a while; return for how long, in seconds."""
        pause = min(MAX_AVOID_SECONDS, FIRST_AVOID_SECONDS * 2 ** min(self.rejections, 8))
        self.rejections += 1
        self.avoid_until = max(self.avoid_until, now + pause)
        return pause

    def note_fault(self, now: float) -> None:
        """Allow no starts on the worker for a while, because an order raised an error."""
        pause = min(MAX_FAULT_PAUSE_SECONDS, FIRST_FAULT_PAUSE_SECONDS * 2 ** min(self.faults, 8))
        self.faults += 1
        self.avoid_until = max(self.avoid_until, now + pause)
