"""A daemon's copy of the workers' entries in the store."""

from __future__ import annotations

from collections.abc import Callable

from ..clock import Clock
from ..exception import RecordError
from ..store import Event, Mirror, Store
from ..telemetry import EventLog
from ..workers import ListedWorker
from .node import BatchNode

__all__ = ["WorkerListing"]

#: time between two looks at the workers' entries, which change with every heartbeat, in seconds:
#: for a daemon whose pool expects VMs, for one that owns a pool, and for one that does not
EXPECTING_GAP_SECONDS = 0.1
OWNER_GAP_SECONDS = 0.3
IDLE_GAP_SECONDS = 2.0
#: longest time without news of any worker: a little more than a heartbeat, and short enough that a
#: worker which leaves is not used for longer than the platform allows (2 s)
SILENCE_SECONDS = 1.6


class WorkerListing:
    """Follows the workers' entries and tells a daemon's pools of them.

    :param prefix: prefix of the entries
    :param decode: returns the worker of an entry; raises
        :class:`~limpetpulley.exception.RecordError` if it is damaged
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
        self.decode = decode
        self.node = node
        self.log = log
        self.workers: dict[str, ListedWorker] = {}
        self.mirror = Mirror(
            store,
            prefix,
            clock,
            self._changed,
            gap=self._gap,
            silence=SILENCE_SECONDS,
        )
        node.mirrors[prefix] = self.mirror

    def _gap(self) -> float:
        if any(owner.book.expected_join_times for owner in self.node.owned.values()):
            return EXPECTING_GAP_SECONDS
        return OWNER_GAP_SECONDS if self.node.owned else IDLE_GAP_SECONDS

    def _changed(self, events: list[Event]) -> None:
        for event in events:
            worker_id = event.key.removeprefix(self.mirror.prefix)
            self.workers.pop(worker_id, None)
            if event.value is not None:
                try:
                    self.workers[worker_id] = self.decode(event.key, event.value)
                except RecordError as error:
                    self.log.write("worker-unreadable", worker=worker_id, reason=str(error))
        self.node.use_workers(dict(self.workers))
