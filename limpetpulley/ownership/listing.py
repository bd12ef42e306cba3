"""A daemon's mirror of the worker entries in the store."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from ..clock import Clock
from ..exception import RecordError
from ..store import Event, Mirror, Store
from ..telemetry import EventLog
from ..workers import ListedWorker
from .failures import describe_error, log_untaken
from .node import BatchNode

__all__ = ["WorkerListing"]

#: interval at which the worker entries, which change with every heartbeat, are updated, in seconds:
#: for a daemon whose pool expects VMs, for another that owns a pool, and for one that owns none
EXPECTING_INTERVAL_SECONDS = 0.1
OWNER_INTERVAL_SECONDS = 0.3
IDLE_INTERVAL_SECONDS = 2.0
#: longest time without an event of any worker before the watch is reopened, in seconds: slightly
#: more than a heartbeat, and short enough that a worker which leaves is not used for longer than
#: the platform allows (2 s)
SILENCE_SECONDS = 1.6
#: time after an outage of the store within which workers that live have their entries back, in
#: seconds; the platform says about two seconds
RETURN_SECONDS = 2.0


class WorkerListing:
    """Mirrors the worker entries and passes the list of workers to a daemon's pools.

    :param prefix: key prefix of the entries
    :param decode: returns the worker of an entry; raises
        :class:`~limpetpulley.exception.RecordError` if the entry cannot be read
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        clock: Clock,
        decode: Callable[[str, bytes], ListedWorker],
        node: BatchNode,
        log: EventLog,
    ):
        self.clock = clock
        self.decode = decode
        self.node = node
        self.log = log
        self.workers: dict[str, ListedWorker] = {}
        # Workers whose entries expired around an outage of the store.
        self.expired: set[str] = set()
        self.mirror = Mirror(
            store,
            prefix,
            clock,
            self._apply_events,
            poll_interval=self._poll_interval,
            watch_timeout=SILENCE_SECONDS,
            contact=node.context.store_contact,
            on_untaken=partial(log_untaken, log),
        )
        node.mirrors[prefix] = self.mirror

    def _poll_interval(self) -> float:
        if any(owner.pool_state.expected_join_times for owner in self.node.owned.values()):
            return EXPECTING_INTERVAL_SECONDS
        return OWNER_INTERVAL_SECONDS if self.node.owned else IDLE_INTERVAL_SECONDS

    def _apply_events(self, events: list[Event]) -> None:
        for event in events:
            worker_id = event.key.removeprefix(self.mirror.prefix)
            self.expired.discard(worker_id)
            if event.value is None:
                self.expired.add(worker_id)
                continue
            self.workers.pop(worker_id, None)
            try:
                worker = self.decode(event.key, event.value)
                if worker.worker_id != worker_id:
                    raise RecordError(f"names the worker {worker.worker_id!r}")
                self.workers[worker_id] = worker
            except RecordError as error:
                self.log.write("worker-unreadable", worker=worker_id, reason=str(error))
            except Exception as error:
                self.log.write("worker-unreadable", worker=worker_id, **describe_error(error))
        now = self.clock.now()
        if self.node.context.store_contact.seconds_since_outage(now) > RETURN_SECONDS:
            for worker_id in self.expired:
                self.workers.pop(worker_id, None)
            self.expired.clear()
        elif self.expired:
            self.log.write("workers-kept", workers=len(self.expired))
        self.node.update_workers(dict(self.workers))
