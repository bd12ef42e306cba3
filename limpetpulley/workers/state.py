"""Workers of a pool and the runs on them, as their owner knows them."""

from __future__ import annotations

import enum

import attrs

from ..batch import Amount, EndKind, TaskId
from .lease import WorkerLease

__all__ = [
    "EndedRun",
    "HoldReply",
    "ListedWorker",
    "Run",
    "RunPhase",
    "ListedRun",
    "StartOutcome",
    "Worker",
]

#: first time without new starts on a worker that rejects or fails them; doubles each time
AVOID_SECONDS = 0.5
LONGEST_AVOID_SECONDS = 4.0
#: full speed, in percent
FULL_SPEED = 100


@attrs.frozen
class ListedWorker:
    """A worker as the platform lists it.

    :param worker_id: name of one life of a VM
    :param address: ``host:port`` where it takes orders
    :param incarnation: number of its start; a higher one knows nothing of a lower one's runs
    :param vm: VM that it runs on
    :param labels: labels that steps may ask for, its rack among them
    """

    worker_id: str
    pool: str
    address: str
    incarnation: int
    capacity: Amount
    vm: str = ""
    rack: str = ""
    labels: frozenset[str] = frozenset()
    data_centre: str = ""
    draining: bool = False


class RunPhase(enum.Enum):
    """How far a run is."""

    STARTING = enum.auto()
    RUNNING = enum.auto()
    STOPPING = enum.auto()


class StartOutcome(enum.Enum):
    """What a worker says to a start.

    ``STALE_OWNER`` is a newer owner's fencing token, ``OLD_RUN`` a run number that is not higher
    than one ended there, ``LATE`` a lease that has passed, ``NO_ROOM`` a lack of room,
    ``NO_TICKET`` a missing ticket, ``UNHEALTHY`` a worker that did nothing, ``REFUSED`` an order
    that it does not understand, ``OTHER_WORKER`` another worker at the address.
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
    """A run as its worker lists it.

    :param percent: speed that it works at
    :param gauge: for a task that serves, its tail latency in seconds over the last half second;
        for others the processors in use, in thousandths of a core
    """

    task: TaskId
    number: int
    checkpoint: str = ""
    percent: int = FULL_SPEED
    gauge: float = 0.0


@attrs.frozen
class EndedRun:
    """An end as its worker lists it, until it is acknowledged.

    :param position: number of the end in this incarnation of the worker
    """

    position: int
    task: TaskId
    number: int
    kind: EndKind
    checkpoint: str = ""


@attrs.frozen
class HoldReply:
    """A worker's answer to a hold: what runs there and what has ended.

    :param worker_seconds: the worker's time
    :param incarnation: its start, 0 if it does not say
    """

    worker_seconds: float
    incarnation: int
    running: tuple[ListedRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()


@attrs.define(eq=False)
class Run:
    """A run of a task that was ordered.

    :param number: run number; numbers of one task rise
    :param charge: room that it takes
    :param begun_at: local time of the order, None for a run of an earlier owner
    :param sent_at: local time when the last order about it was sent, 0 if it must be sent
    :param settled_at: worker time after which a list without it means that it is gone
    :param doubt_until: worker time until which an earlier owner's stop may still end it
    :param at_work: whether it was last listed at full speed, with no such doubt
    :param unanswered: starts that were sent and not answered; each may be carried out later
    :param ticket: ticket of the advice service that its start carries
    :param speed: percent that was ordered last
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
    settled_at: float | None = None
    unanswered_starts: int = 0
    ticket: str = ""
    percent: int = 0
    may_be_stopped_until: float = 0.0
    at_full_speed: bool = False
    gauge: float = 0.0
    ordered_speed: int = FULL_SPEED


@attrs.define(eq=False)
class Worker:
    """A worker as its pool's owner knows it.

    :param listed: what the platform lists of it, with its last known address
    :param present: whether the platform lists it now
    :param reconciled: whether it has answered a hold with this owner's token
    :param rostered: whether the store knows that it may hold runs of the pool
    :param cordoned: whether nothing more is to start there
    :param ended: whether its VM was ordered away, so that nothing runs there any more
    :param silent: whether its last call got no answer
    :param heard_at: local time of its last answer
    :param seen_through: position of the last end that was taken into account
    :param stored_through: position up to which ends are stored and may be acknowledged
    :param avoid_until: local time until which nothing is started there
    :param rejections: failures and rejections in a row
    :param paced_at: local time when the speed of its fillers was last changed
    """

    listed: ListedWorker
    present: bool = True
    reconciled: bool = False
    in_roster: bool = False
    cordoned: bool = False
    ended: bool = False
    silent: bool = False
    last_reply_at: float = 0.0
    processed_through: int = 0
    stored_through: int = 0
    avoid_until: float = 0.0
    consecutive_failures: int = 0
    speed_changed_at: float = 0.0
    used: Amount = Amount()
    lease: WorkerLease = attrs.field(factory=WorkerLease)
    runs: dict[TaskId, Run] = attrs.field(factory=dict)
    # The free room, and the capacity and use that it was worked out from.
    _room: tuple[Amount, Amount, Amount] | None = None

    @property
    def worker_id(self) -> str:
        """Return its name."""
        return self.listed.worker_id

    @property
    def room(self) -> Amount:
        """Return the room that is free."""
        kept, capacity = self._room, self.listed.capacity
        if kept is None or kept[0] is not capacity or kept[1] is not self.used:
            kept = self._room = (capacity, self.used, capacity - self.used)
        return kept[2]

    def add(self, run: Run) -> None:
        """Add a run."""
        self.runs[run.task] = run
        self.used = self.used + run.charge

    def remove(self, run: Run) -> None:
        """Remove a run."""
        del self.runs[run.task]
        self.used = self.used - run.charge

    def avoid(self, now: float) -> float:
        """Let nothing start here for a while; return for how long, in seconds."""
        self.consecutive_failures += 1
        pause = min(
            LONGEST_AVOID_SECONDS, AVOID_SECONDS * 2 ** min(self.consecutive_failures - 1, 8)
        )
        self.avoid_until = now + pause
        return pause
